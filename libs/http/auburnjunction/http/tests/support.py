"""Loopback address for tests that open listeners."""

import os

# Loopback address derived from the process ID, so that no other process
# and no outgoing connection occupies its ports.
LOOPBACK_HOST = f"127.{os.getpid() // 250 % 250 + 2}.{os.getpid() % 250}.1"
