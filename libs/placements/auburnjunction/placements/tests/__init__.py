"""Tests of auburnjunction.placements."""
