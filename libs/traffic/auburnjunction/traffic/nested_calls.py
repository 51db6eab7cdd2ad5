"""Nested calls of requests: tallies at their node, and reports of them."""

import math
import re
from collections.abc import Mapping
from urllib.parse import quote, unquote

import attrs

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.calls import NotRunError, TrafficError

# Called services in a report and in the profile of a route. Requests call one
# or two; the bound limits the header of an answer to about 1 kB.
MAX_CALLED_SERVICES = 8
# Share of the time to the objective of a request that a nested call may take
# until its service counts as congested. With 0.3, the work of a slow instance
# alone was congestion, and half of the requests were refused at usual load.
CONGESTED_SHARE = 0.6
COUNTS_PATTERN = re.compile(r"([0-9]{1,6})/([0-9]{1,6})/([0-9]{1,6})")
# Codes of failed calls that mean that the called service had no room, or not
# in time. A backend server that sheds calls within its slots fails; admitting
# fewer requests does not mend that.
NO_ROOM_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.NO_ROOM,
        ErrorCode.OVERLOADED,
        ErrorCode.TIMEOUT,
    }
)


@attrs.define(slots=True)
class NestedTally:
    """Calls to one service, and those for which it had no room in time.

    Some of the congested ones were refused, or ended without an answer.
    """

    calls: int = 0
    congested: int = 0
    refused: int = 0


NestedReport = Mapping[str, NestedTally]


def has_no_room(error: TrafficError) -> bool:
    """Return whether a call ended because its service had no room."""
    if error.code in NO_ROOM_CODES:
        return True
    # No instance could be offered the call, as those known have refused.
    unavailable = error.code is ErrorCode.UNAVAILABLE
    return unavailable and isinstance(error, NotRunError)


class NestedCallTracker:
    """Tallies the nested calls of the requests that run at this node.

    State is bounded by the requests in flight.
    """

    def __init__(self):
        self._tallies: dict[str, dict[str, NestedTally]] = {}
        self._due_s: dict[str, float] = {}

    def start_request(self, request_id: str, due_s: float = math.inf) -> None:
        """Begin to tally the nested calls of a request due at a time."""
        self._tallies[request_id] = {}
        self._due_s[request_id] = due_s

    def takes_too_long(
        self, parent_id: str, start_s: float, end_s: float
    ) -> bool:
        """Return whether a nested call takes much of its request's time.

        Those that begin when the request is late already say nothing.
        """
        left_s = self._due_s.get(parent_id, math.inf) - start_s
        return left_s > 0 and end_s - start_s > left_s * CONGESTED_SHARE

    def record_call(
        self,
        parent_id: str,
        service: str,
        congested: bool,
        refused: bool = False,
    ) -> None:
        """Count a nested call that has ended.

        It is ignored if its request does not run here any more.
        """
        tallies = self._tallies.get(parent_id)
        if tallies is None:
            return
        tally = tallies.get(service)
        if tally is None:
            if len(tallies) >= MAX_CALLED_SERVICES:
                return
            tally = tallies[service] = NestedTally()
        tally.calls += 1
        tally.congested += congested
        tally.refused += refused

    def end_request(self, request_id: str) -> NestedReport:
        """Return the tallies of a request by called service."""
        self._due_s.pop(request_id, None)
        return self._tallies.pop(request_id, {})


def format_nested_report(report: NestedReport) -> bytes:
    """Return a report as the value of a header."""
    return ",".join(
        f"{quote(service, safe='')}="
        f"{tally.calls}/{tally.congested}/{tally.refused}"
        for service, tally in report.items()
    ).encode("ascii")


def parse_nested_report(value: bytes | None) -> NestedReport:
    """Return the report in a header; malformed entries are left out."""
    report: dict[str, NestedTally] = {}
    if not value:
        return report
    entries = value.decode("latin-1").split(",")[:MAX_CALLED_SERVICES]
    for entry in entries:
        service, _, counts = entry.partition("=")
        match = COUNTS_PATTERN.fullmatch(counts)
        if match is None:
            continue
        tally = NestedTally(*map(int, match.groups()))
        if tally.refused <= tally.congested <= tally.calls:
            report[unquote(service)] = tally
    return report
