"""Priorities of requests, most urgent first."""

from enum import IntEnum


class Priority(IntEnum):
    """Priority of a request; a lower number is more urgent."""

    CRITICAL = 1
    HIGH = 2
    NORMAL = 3
    LOW = 4


class ClaimMode(IntEnum):
    """What an owner node does when the claims table is unreachable."""

    NONE = 0
    REQUIRED = 1
    BEST_EFFORT = 2
