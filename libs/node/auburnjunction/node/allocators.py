"""Set-up of the C library's allocator for processes with a memory limit."""

import ctypes

from absl import logging

# Numbers of mallopt() parameters in glibc's malloc.h.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Larger blocks are mapped, so that they return to the system when they are
# freed. By default glibc raises the threshold up to 32 MiB with the first
# large block that is freed, and the freed bodies of a surge stay in the heap.
MAPPED_BYTES = 256 * 1024
TRIMMED_BYTES = 1024 * 1024


def return_freed_memory() -> None:
    """Make the allocator return freed memory to the system early."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logging.info("the C library has no mallopt; its defaults are used")
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIMMED_BYTES)
