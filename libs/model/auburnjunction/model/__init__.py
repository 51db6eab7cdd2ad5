"""Snapshots, services, routes, priorities and their validation."""
