"""What backend servers say of themselves in the headers of responses."""

from collections.abc import Callable

import attrs

from auburnjunction.http.messages import HttpResponse
from auburnjunction.traffic.headers import HeaderNames

LEAVING_VALUE = b"1"


@attrs.frozen(slots=True)
class ServerNotice:
    """State of a backend server when it sent a response."""

    # Whether it is leaving, so that it should get no further calls.
    leaving: bool = False


NoticeObserver = Callable[[ServerNotice], None]


def ignore_notice(_notice: ServerNotice) -> None:
    """Ignore what a backend server says of itself."""


def read_notice(response: HttpResponse, names: HeaderNames) -> ServerNotice:
    """Return the notice in the headers of a response."""
    return ServerNotice(
        leaving=response.header(names.leaving) == LEAVING_VALUE
    )
