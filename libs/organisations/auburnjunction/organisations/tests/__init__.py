"""Tests of organisations."""
