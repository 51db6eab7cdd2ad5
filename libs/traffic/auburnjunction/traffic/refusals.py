"""Responses to requests that a listener refuses before it reads them."""

from urllib.parse import unquote

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.errors import RefusedMessageError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.headers import (
    CALL_HEADER,
    DEFAULT_HEADER_NAMES,
    HeaderNames,
    make_error_response,
)


def find_caller_request_id(request: HttpRequest, names: HeaderNames) -> str:
    """Return the request id that a caller has set, or an empty string."""
    if not names.preserves_request_id:
        return ""
    return (request.header(names.request_id) or b"").decode("latin-1")


def find_forwarded_request_id(request: HttpRequest) -> str:
    """Return the request id of a forwarded call, or an empty string."""
    value = request.header(CALL_HEADER) or b""
    return unquote(value.partition(b";")[0].decode("latin-1"))


def make_refusal(
    request_id: str,
    error: RefusedMessageError,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> HttpResponse:
    """Return the response to a request that did not run."""
    cause = NotRunError(
        error.message, ErrorCode.OVERLOADED, error.retry_after_s
    )
    response = make_error_response(cause, request_id, names)
    response.status = error.status
    return response
