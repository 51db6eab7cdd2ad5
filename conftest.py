"""Set-up of all tests."""

import gc

import pytest


@pytest.fixture(autouse=True, scope="module")
def small_heap():
    """Keep what is loaded before a module out of garbage collections.

    A full collection of it stops the process for up to 0.3 s, which nodes
    and servers that share the process of a test take for a failure.
    """
    gc.collect()
    gc.freeze()
