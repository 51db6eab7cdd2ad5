"""Clocks, errors, settings, logs, metrics, signals and tasks."""
