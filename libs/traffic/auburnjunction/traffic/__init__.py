"""Routing, priorities, limits, retries, claims and draining."""
