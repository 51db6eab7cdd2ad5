"""Versions of services and roll-outs."""
