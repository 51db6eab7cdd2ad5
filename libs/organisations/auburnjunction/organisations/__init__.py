"""Authentication and quotas of organisations."""
