"""Endpoints of a node's administration listener, for its own host."""

from collections.abc import Awaitable, Callable

import attrs
import orjson

from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

READY_PATHS = ("/ready", "/readyz")

AnnounceHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@attrs.frozen
class Readiness:
    """Whether a node takes calls, and why not."""

    ready: bool
    reason: str
    revision: int
    # Ready backend servers that this node knows, in all data centres.
    instances: int = 0


class AdminHandler:
    """Answers /live, /ready, /metrics and /announce."""

    def __init__(
        self,
        read_readiness: Callable[[], Readiness],
        metrics: MetricRegistry,
        announce: AnnounceHandler,
    ):
        self._read_readiness = read_readiness
        self._metrics = metrics
        self._announce = announce

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request of the host."""
        path = request.path
        if path == "/announce":
            return await self._announce(request)
        if request.method != b"GET":
            return make_text_response(405, "use GET")
        if path == "/live":
            return make_text_response(200, "live")
        if path in READY_PATHS:
            return self._answer_ready()
        if path == "/metrics":
            headers = [(b"content-type", METRICS_CONTENT_TYPE)]
            return HttpResponse(200, headers, self._metrics.render())
        return make_text_response(
            404, "known paths: /live, /ready, /metrics, /announce"
        )

    def _answer_ready(self) -> HttpResponse:
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
    """Passes each request of another node to the part it is for."""

    def __init__(
        self,
        controls: dict[bytes, AnnounceHandler],
        forward: AnnounceHandler,
    ):
        self._controls = controls
        self._forward = forward

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request of another node."""
        control = self._controls.get(request.target)
        if control is not None and request.header(b"auburn-call") is None:
            return await control(request)
        return await self._forward(request)
