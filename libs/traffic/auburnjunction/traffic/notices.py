"""What backend servers say of themselves in the headers of responses."""

from collections.abc import Callable

import attrs

from auburnjunction.http.messages import HttpResponse
from auburnjunction.traffic.headers import HeaderNames, parse_rate

LEAVING_VALUE = b"1"


@attrs.frozen(slots=True)
class ServerNotice:
    """State of a backend server when it sent a response."""

    # Whether it is leaving, so that it should get no further calls.
    leaving: bool = False
    # Calls per second that it takes from all nodes together; None if it
    # names no limit.
    rate_limit_per_s: float | None = None
    # Its load header as it was sent; None if there is none.
    load: bytes | None = None


NoticeObserver = Callable[[ServerNotice], None]


def ignore_notice(_notice: ServerNotice) -> None:
    """Ignore what a backend server says of itself."""


def read_notice(response: HttpResponse, names: HeaderNames) -> ServerNotice:
    """Return the notice in the headers of a response."""
    return ServerNotice(
        leaving=response.header(names.leaving) == LEAVING_VALUE,
        rate_limit_per_s=parse_rate(response.header(names.rate_limit)),
        load=response.header(names.server_load),
    )
