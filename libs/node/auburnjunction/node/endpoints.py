"""Request handlers of the administration and the peer listener."""

from collections.abc import Awaitable, Callable

import attrs
import orjson

from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

READY_PATHS = ("/ready", "/readyz")

RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@attrs.frozen
class Readiness:
    """Body of the /ready response."""

    ready: bool
    reason: str
    revision: int
    # Ready backend servers in this node's view, in all data centres.
    instances: int = 0


class AdminHandler:
    """Handles /live, /ready, /metrics and /announce."""

    def __init__(
        self,
        read_readiness: Callable[[], Readiness],
        metrics: MetricRegistry,
        announce: RequestHandler,
    ):
        self._read_readiness = read_readiness
        self._metrics = metrics
        self._announce = announce

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request from this host."""
        path = request.path
        if path == "/announce":
            return await self._announce(request)
        if request.method != b"GET":
            return make_text_response(405, "use GET")
        if path == "/live":
            return make_text_response(200, "live")
        if path in READY_PATHS:
            return self._make_readiness_response()
        if path == "/metrics":
            headers = [(b"content-type", METRICS_CONTENT_TYPE)]
            return HttpResponse(200, headers, self._metrics.render())
        return make_text_response(
            404, "known paths: /live, /ready, /metrics, /announce"
        )

    def _make_readiness_response(self) -> HttpResponse:
        readiness = self._read_readiness()
        status = 200 if readiness.ready else 503
        headers = [(b"content-type", b"application/json")]
        return HttpResponse(
            status, headers, orjson.dumps(attrs.asdict(readiness))
        )


def make_text_response(status: int, text: str) -> HttpResponse:
    """Return a plain text response."""
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    return HttpResponse(status, headers, f"{text}\n".encode())


class PeerDispatcher:
    """Dispatches requests of other nodes to control and call handlers."""

    def __init__(
        self,
        control_handlers: dict[bytes, RequestHandler],
        forward_call: RequestHandler,
    ):
        self._control_handlers = control_handlers
        self._forward_call = forward_call

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request from another node."""
        handle_control = self._control_handlers.get(request.target)
        if (
            handle_control is not None
            and request.header(b"auburn-call") is None
        ):
            # Generated code parses bytes only.
            content = bytes(request.body)
            if isinstance(request.body, bytearray):
                request.body.clear()
            request.body = content
            return await handle_control(request)
        return await self._forward_call(request)
