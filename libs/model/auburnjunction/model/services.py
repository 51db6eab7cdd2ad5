"""Services and the instances that serve them."""

from enum import IntEnum

import attrs

DEFAULT_HEALTH_PATH = "/health"


@attrs.frozen(slots=True)
class Service:
    """A named group of backend servers with the same function."""

    name: str
    resources: tuple[str, ...] = ()
    queue_limit: int = 64
    attempt_timeout_ms: int = 2000
    # Path of the health check on the backend server.
    health_path: str = DEFAULT_HEALTH_PATH


class InstanceState(IntEnum):
    """State of one backend server, as announced by its own node."""

    STARTING = 1
    READY = 2
    LEAVING = 3
    GONE = 4


@attrs.frozen(slots=True)
class Instance:
    """One backend server as announced, and the node that owns it."""

    instance: str
    service: str
    state: InstanceState
    slots: int
    load_percent: int
    node: str
    data_centre: str
    host: str
    peer_port: int
    resources: tuple[str, ...] = ()
    # Start of this incarnation in milliseconds since the epoch; 0 if unknown.
    born_ms: int = 0
    # Version of its software; empty if unknown.
    version: str = ""
