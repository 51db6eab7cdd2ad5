"""Tests of the organisations library."""
