"""Histories of ready backend servers per node, and checks of leaving."""

import time

import attrs
import curio

# A backend server that is leaving gets no new calls after this time.
LEAVING_LIMIT_S = 3.0
POLL_INTERVAL_S = 0.02


@attrs.frozen
class LeaveEvent:
    """A backend server begins to leave."""

    time_s: float
    instance: str


@attrs.frozen
class ReadyEvent:
    """The backend servers that a node would route new calls to."""

    time_s: float
    node: str
    instances: frozenset[str]


class HistoryRecorder:
    """Records events of a cluster while it runs."""

    def __init__(self, cluster):
        self.events: list[LeaveEvent | ReadyEvent] = []
        self._cluster = cluster

    def record_leave(self, instance: str) -> None:
        """Record that a backend server begins to leave now."""
        self.events.append(LeaveEvent(time.monotonic(), instance))

    async def watch(self) -> None:
        """Poll and record the ready backend servers until cancelled."""
        while True:
            for member in self._cluster.running:
                ready = frozenset(member.ready())
                now_s = time.monotonic()
                self.events.append(ReadyEvent(now_s, member.node, ready))
            await curio.sleep(POLL_INTERVAL_S)


def find_late_selections(
    events: list[LeaveEvent | ReadyEvent], limit_s: float = LEAVING_LIMIT_S
) -> list[tuple[str, str, float]]:
    """Return (node, instance, seconds late) of those ready after limit_s."""
    left = {e.instance: e.time_s for e in events if isinstance(e, LeaveEvent)}
    return [
        (event.node, instance, event.time_s - left[instance] - limit_s)
        for event in events
        if isinstance(event, ReadyEvent)
        for instance in event.instances & left.keys()
        if event.time_s > left[instance] + limit_s
    ]


def find_returns(
    events: list[LeaveEvent | ReadyEvent],
) -> list[tuple[str, str]]:
    """Return (node, instance) of those ready again after leaving."""
    left = {e.instance: e.time_s for e in events if isinstance(e, LeaveEvent)}
    removed: set[tuple[str, str]] = set()
    returns = []
    for event in events:
        if not isinstance(event, ReadyEvent):
            continue
        for instance, time_s in left.items():
            key = (event.node, instance)
            if event.time_s < time_s:
                continue
            if instance not in event.instances:
                removed.add(key)
            elif key in removed:
                returns.append(key)
    return returns


def find_max_delay(events: list[LeaveEvent | ReadyEvent]) -> float:
    """Return the longest time from leaving to the last ready event."""
    left = {e.instance: e.time_s for e in events if isinstance(e, LeaveEvent)}
    return max(
        (
            event.time_s - left[instance]
            for event in events
            if isinstance(event, ReadyEvent)
            for instance in event.instances & left.keys()
            if event.time_s > left[instance]
        ),
        default=0.0,
    )
