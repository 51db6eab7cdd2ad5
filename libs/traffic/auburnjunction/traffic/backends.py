"""HTTP exchanges between an owner node and its backend server."""

from collections.abc import Callable

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import Address, ConnectionPool, connect
from auburnjunction.http.errors import (
    ConnectError,
    ConnectTimeoutError,
    ExchangeTimeoutError,
    HttpError,
    NotSentError,
)
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.resources import ProcessResources
from auburnjunction.model.services import DEFAULT_HEALTH_PATH
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Call, NotRunError, UnknownRunError
from auburnjunction.traffic.headers import (
    DEFAULT_HEADER_NAMES,
    NOT_RUN_STATUSES,
    HeaderNames,
    drop_headers,
    strip_headers,
)
from auburnjunction.traffic.notices import (
    NoticeObserver,
    ignore_notice,
    read_notice,
)

# Statuses with which a backend server may report that it did not run a call.
SHED_STATUSES = frozenset({400, 429, 503})
SHED_VALUE = b"1"
MISDIRECTED_STATUS = 421
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
PROTOCOL = ErrorCode.PROTOCOL

StartCheck = Callable[[], None]


def allow_start() -> None:
    """Let every call be sent."""


class ShedError(NotRunError):
    """The backend server shed the call without running any of it."""

    code = ErrorCode.SHED


class MisplacedError(NotRunError):
    """Another instance uses the address; it did not run the call."""

    code = ErrorCode.MISPLACED


class BackendClient:
    """Sends calls to one backend server and classifies their outcomes.

    After a call has timed out, calls are refused as not run until a probe
    on a new connection is answered, because a call sent to an unresponsive
    backend server would end with an unknown outcome.
    """

    def __init__(
        self,
        cfg: AdmissionSettings,
        address: Address,
        connections: int,
        clock: Clock,
        instance: str = "",
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        resources: ProcessResources | None = None,
    ):
        self.address = address
        self.health_target = DEFAULT_HEALTH_PATH.encode()
        self._instance = instance.encode()
        self._names = names
        self._replaced_headers = frozenset(
            {names.request_id, names.deadline, names.instance}
        )
        self._cfg = cfg
        self._clock = clock
        self._pool = ConnectionPool(
            address,
            clock,
            max_connections=connections,
            idle_limit_s=cfg.idle_limit_s,
            connect_timeout_s=cfg.connect_timeout_s,
            resources=resources,
            is_local=True,
        )
        self._suspect = False
        self._probing = False
        # Whether the last probe of the suspect backend server failed.
        self._probe_failed = False
        self._refuse_until_s = 0.0

    @property
    def suspect(self) -> bool:
        """Whether a call timed out and no probe has been answered since."""
        return self._suspect

    async def send(
        self,
        call: Call,
        timeout_s: float,
        check_start: StartCheck = allow_start,
        on_notice: NoticeObserver = ignore_notice,
    ) -> HttpResponse:
        """Return the backend server's complete response.

        check_start is called once a connection is available, just before
        the request is written, and may raise NotRunError. on_notice gets
        the notice of each response, also of one that is a refusal. Raise
        NotRunError or UnknownRunError.
        """
        await self._require_responsive()
        now_s = self._clock.monotonic()
        if now_s < self._refuse_until_s:
            raise NotRunError(
                "no connection to the backend server within the last "
                f"{self._cfg.reconnect_delay_s} s"
            )
        end_s = now_s + timeout_s
        if self._cfg.deadline_checks:
            end_s = min(end_s, call.deadline_s)
        response = await self._exchange(call, end_s, check_start)
        if not is_misdirected(response, self._names):
            on_notice(read_notice(response, self._names))
        check_response(response, self._names)
        response.headers = strip_headers(response.headers)
        return response

    def _make_request(self, call: Call, now_s: float) -> HttpRequest:
        """Return the request that is sent to the backend server."""
        names = self._names
        remaining_ms = max(0, int((call.deadline_s - now_s) * 1000))
        headers = strip_headers(call.request.headers)
        headers = drop_headers(headers, self._replaced_headers)
        headers.append((names.deadline, b"%d" % remaining_ms))
        headers.append((names.request_id, call.request_id.encode("latin-1")))
        if names.instance:
            headers.append((names.instance, self._instance))
        req = call.request
        return HttpRequest(
            req.method, req.target, headers, req.body, account=req.account
        )

    async def probe(self) -> None:
        """Probe the backend server if it is suspect.

        Any complete response ends the suspicion, whatever its status: the
        reported health may be outdated or wrong.
        """
        if not self._suspect or self._probing:
            return
        self._probing = True
        try:
            self._probe_failed = not await self._send_probe()
            self._suspect = self._probe_failed
        finally:
            self._probing = False

    async def _send_probe(self) -> bool:
        host = (b"host", str(self.address).encode())
        request = HttpRequest(b"GET", self.health_target, [host])
        try:
            await self._pool.exchange(
                request, self._cfg.probe_timeout_s, max_idle_s=0.0
            )
        except HttpError:
            return False
        return True

    async def has_ended(self) -> bool:
        """Return whether the backend server accepts no connection any more.

        A connection that is not established in time proves nothing.
        """
        timeout_s = self._cfg.connect_timeout_s
        try:
            conn = await connect(self.address, self._clock, timeout_s)
        except ConnectTimeoutError:
            return False
        except ConnectError:
            return True
        await conn.close()
        return False

    async def close_idle(self) -> None:
        """Close the idle connections."""
        await self._pool.close()

    async def _require_responsive(self) -> None:
        # The first call after a timeout waits for a probe. Once that has
        # failed, calls are refused without a probe.
        if self._suspect and not self._probe_failed:
            await self.probe()
        if self._suspect:
            raise NotRunError(
                "the backend server has answered no probe since a timeout",
                ErrorCode.UNRESPONSIVE,
            )

    async def _exchange(
        self,
        call: Call,
        end_s: float,
        check_start: StartCheck,
    ) -> HttpResponse:
        max_idle_s = self._find_idle_limit(call)
        limit_s = self._find_remaining(end_s)
        try:
            async with self._pool.lease(max_idle_s, limit_s) as conn:
                check_start()
                # The wait for the connection has shortened the deadline.
                limit_s = self._find_remaining(end_s)
                return await conn.exchange(
                    self._make_request(call, self._clock.monotonic()),
                    limit_s,
                    lambda response: matches_call(response, call, self._names),
                )
        except ConnectError as exc:
            await self._pool.close()
            self._refuse_until_s = (
                self._clock.monotonic() + self._cfg.reconnect_delay_s
            )
            raise NotRunError(exc.message) from exc
        except NotSentError as exc:
            # Due to this call or to the load, not to the backend server.
            raise NotRunError(exc.message) from exc
        except ExchangeTimeoutError as exc:
            await self._mark_suspect()
            raise UnknownRunError(exc.message, ErrorCode.TIMEOUT) from exc
        except HttpError as exc:
            raise UnknownRunError(exc.message, exc.code) from exc

    def _find_remaining(self, end_s: float) -> float:
        """Return the time until then; raise NotRunError if it has passed."""
        remaining_s = end_s - self._clock.monotonic()
        if remaining_s <= 0:
            raise NotRunError("the deadline has passed", ErrorCode.TIMEOUT)
        return remaining_s

    def _find_idle_limit(self, call: Call) -> float:
        if call.repeatable:
            return self._cfg.idle_limit_s
        return self._cfg.unrepeatable_idle_limit_s

    async def _mark_suspect(self) -> None:
        # The idle connections may be unresponsive too.
        self._suspect = True
        await self._pool.close()


def matches_call(
    response: HttpResponse, call: Call, names: HeaderNames
) -> bool:
    """Return whether the response may be the answer to the call."""
    request_id = response.header(names.request_id)
    return request_id in (None, call.request_id.encode("latin-1"))


def is_misdirected(response: HttpResponse, names: HeaderNames) -> bool:
    """Return whether another instance than the intended one responded."""
    return bool(names.instance) and response.status == MISDIRECTED_STATUS


def check_response(response: HttpResponse, names: HeaderNames) -> None:
    """Raise an error unless the response may be passed on to the caller."""
    if is_misdirected(response, names):
        raise MisplacedError("another instance uses the address")
    is_shed = response.header(names.not_run) == SHED_VALUE
    if is_shed and response.status in SHED_STATUSES:
        raise ShedError(
            f"the backend server shed the call with status {response.status}"
        )
    if names.statuses_imply_not_run and response.status in NOT_RUN_STATUSES:
        raise UnknownRunError(
            f"the backend server answered {response.status} without the "
            "header that marks a call as not run",
            ErrorCode.PROTOCOL,
        )
    if names.signature:
        _check_success(response, names)


def _check_success(response: HttpResponse, names: HeaderNames) -> None:
    """Raise an error for a success that is not the backend server's own.

    Such a response has no signature header, or has a content encoding.
    """
    if not FIRST_SUCCESS <= response.status < FIRST_REDIRECT:
        return
    if response.header(names.signature) is None:
        raise UnknownRunError(
            f"response status {response.status} without the signature header",
            PROTOCOL,
        )
    if response.header(b"content-encoding") is not None:
        raise UnknownRunError(
            f"response status {response.status} with a content encoding",
            PROTOCOL,
        )
