"""Tests of auburnjunction.storage."""
