"""Ports of the platform's table and object store, and their clients."""
