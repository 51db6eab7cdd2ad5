"""Wires up a node from its settings."""
