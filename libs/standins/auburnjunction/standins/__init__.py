"""Development stand-ins for the platform and backend servers."""
