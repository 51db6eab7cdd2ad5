"""Response builders and request parsers shared by the stand-ins."""

from typing import TypeVar
from urllib.parse import parse_qs

import attrs
import orjson

from auburnjunction.base.settings import SettingsError, parse_settings
from auburnjunction.http.connections import ServerConnection
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.pipelines import PeerDisconnectedError

T = TypeVar("T")

JSON_HEADERS = [(b"content-type", b"application/json")]


def make_json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a JSON response; attrs instances become objects."""
    body = orjson.dumps(value, default=attrs.asdict)
    return HttpResponse(status, list(JSON_HEADERS), body)


def make_text_response(
    status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None
) -> HttpResponse:
    """Return a response with one line of text."""
    return HttpResponse(status, list(headers or []), f"{text}\n".encode())


def parse_body(request: HttpRequest, body_class: type[T]) -> T | HttpResponse:
    """Return the JSON body as an attrs instance, or a 400 response."""
    try:
        return parse_settings(request.body or b"{}", body_class)
    except SettingsError as exc:
        return make_text_response(400, exc.message)


def read_query(request: HttpRequest) -> dict[str, str]:
    """Return the first value of each query parameter."""
    query = request.target.partition(b"?")[2].decode("latin-1")
    values = parse_qs(query, keep_blank_values=True)
    return {name: items[0] for name, items in values.items()}


async def send_truncated(conn: ServerConnection, body: bytes) -> None:
    """Send half of a response, then close the connection."""
    size = max(2, len(body))
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
    await conn.stream.sock.sendall(head + b"?" * (size // 2))
    raise PeerDisconnectedError(
        f"injected fault: response of {size} bytes truncated"
    )
