"""What backend servers say of themselves in the headers of responses."""

import re
from collections.abc import Callable

import attrs

from auburnjunction.http.messages import HttpResponse
from auburnjunction.traffic.headers import HeaderNames

LEAVING_VALUE = b"1"
RATE_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?\Z")


@attrs.frozen(slots=True)
class ServerNotice:
    """State of a backend server when it sent a response."""

    # Whether it is leaving, so that it should get no further calls.
    leaving: bool = False
    # Calls per second that it takes from all nodes together; None if it
    # names no limit.
    rate_limit_per_s: float | None = None


NoticeObserver = Callable[[ServerNotice], None]


def ignore_notice(_notice: ServerNotice) -> None:
    """Ignore what a backend server says of itself."""


def read_notice(response: HttpResponse, names: HeaderNames) -> ServerNotice:
    """Return the notice in the headers of a response."""
    return ServerNotice(
        leaving=response.header(names.leaving) == LEAVING_VALUE,
        rate_limit_per_s=_parse_rate(response.header(names.rate_limit)),
    )


def _parse_rate(value: bytes | None) -> float | None:
    """Return a decimal number, or None if it is missing or malformed."""
    if value is None or not RATE_PATTERN.match(value):
        return None
    return float(value)
