"""Announcements, gossip and failure detection."""
