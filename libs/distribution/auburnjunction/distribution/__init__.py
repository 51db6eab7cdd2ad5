"""Commit log, head readers, push tree, pulls and snapshot in force."""
