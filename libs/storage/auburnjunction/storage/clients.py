"""Clients of the platform's table and object store over HTTP/1.1."""

import base64
import binascii
from urllib.parse import quote, urlencode

import curio
import orjson

from auburnjunction.base.clocks import Clock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import (
    ExchangeTimeoutError,
    HttpError,
    NotSentError,
)
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.storage.tables import (
    PlatformError,
    Row,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

IF_VERSION_HEADER = b"if-version"
ROW_VERSION_HEADER = b"row-version"
OUTCOME_HEADER = b"outcome"
NOT_APPLIED = b"not-applied"
ROWS_PATH = "/table/rows"
OBJECTS_PATH = "/objects"

# A connection idle for longer carries no write.
MAX_WRITE_IDLE_S = 1.0
# A read on a pooled connection gets this share of its time, so that a
# silent connection leaves time for a fresh one.
FIRST_READ_SHARE = 0.5


class PlatformClient:
    """Exchanges with the platform, ended as the ports demand."""

    def __init__(self, address: Address, clock: Clock, pools: PoolRegistry):
        self._clock = clock
        self._pools = pools
        self.redirect(address)
        # Set while answers take more than the first read's share.
        self._slow = False

    def redirect(self, address: Address) -> None:
        """Send what comes from now on to another address."""
        self._address = address
        self._host = str(address).encode()

    async def read(
        self, target: str, timeout_s: float, first_s: float | None = None
    ) -> HttpResponse:
        """Return the response to a GET, on a second connection if needed.

        The first connection gets first_s seconds, by default a share of
        the time. A slow platform is asked once, with all the time. Raise
        UnavailableError when there was no whole response.
        """
        start_s = self._clock.monotonic()
        if first_s is None:
            first_s = timeout_s * FIRST_READ_SHARE
        request = self._make_request(b"GET", target)
        try:
            response = await self._read_fast(request, first_s)
            if response is None:
                left_s = start_s + timeout_s - self._clock.monotonic()
                response = await self._exchange(request, left_s, 0.0)
        except ExchangeTimeoutError as exc:
            self._slow = True
            raise UnavailableError(f"platform: {exc.message}") from exc
        except HttpError as exc:
            raise UnavailableError(f"platform: {exc.message}") from exc
        if self._slow:
            self._slow = self._clock.monotonic() - start_s > first_s
        return response

    async def _read_fast(
        self, request: HttpRequest, timeout_s: float
    ) -> HttpResponse | None:
        """Return the response on a pooled connection, or None."""
        if self._slow:
            return None
        try:
            return await self._exchange(request, timeout_s, None)
        except HttpError:
            await self._pools.get(self._address).close()
            return None

    async def write(
        self,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: list[tuple[bytes, bytes]],
        method: bytes = b"PUT",
    ) -> HttpResponse:
        """Return the response to a write, which is sent once.

        Raise UnavailableError when no byte was sent, else
        UnknownOutcomeError.
        """
        request = self._make_request(method, target, body, headers)
        try:
            return await self._exchange(request, timeout_s, MAX_WRITE_IDLE_S)
        except NotSentError as exc:
            raise UnavailableError(f"platform: {exc.message}") from exc
        except HttpError as exc:
            await self._pools.get(self._address).close()
            raise UnknownOutcomeError(f"platform: {exc.message}") from exc

    def _make_request(self, method, target, body=b"", headers=()):
        all_headers = [(b"host", self._host), *headers]
        return HttpRequest(method, target.encode("ascii"), all_headers, body)

    async def _exchange(
        self, request: HttpRequest, timeout_s: float, max_idle_s: float | None
    ) -> HttpResponse:
        pool = self._pools.get(self._address)
        end_s = self._clock.monotonic() + timeout_s
        sent = False
        try:
            async with (
                curio.timeout_after(max(timeout_s, 0.0)),
                pool.lease(max_idle_s) as conn,
            ):
                left_s = end_s - self._clock.monotonic()
                sent = True
                return await conn.exchange(request, max(left_s, 0.0))
        except curio.TaskTimeout as exc:
            if not sent:
                raise NotSentError(
                    f"no connection to {self._address} in time"
                ) from exc
            raise ExchangeTimeoutError(
                f"no answer of {self._address} in time"
            ) from exc


class HttpTable:
    """Table of the platform, reached over HTTP."""

    def __init__(self, address: Address, clock: Clock, pools: PoolRegistry):
        self._client = PlatformClient(address, clock, pools)

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row, or None when there is none."""
        response = await self._client.read(_row_target(key), timeout_s)
        if response.status == 404 and _read_version(response) == 0:
            return None
        _require_read(response)
        return _read_row(key, response)

    async def put_if(
        self, key: str, value: bytes, expected_version: int, timeout_s: float
    ) -> Row:
        """Replace the row if it is at the expected version."""
        headers = [(IF_VERSION_HEADER, b"%d" % expected_version)]
        response = await self._client.write(
            _row_target(key), value, timeout_s, headers
        )
        if response.status == 409:
            raise _make_conflict(key, response, expected_version)
        _require_written(response)
        version = _read_version(response)
        if version is None:
            raise UnknownOutcomeError("platform: answer without row-version")
        return Row(key, value, version)

    async def insert_if_absent(
        self, key: str, value: bytes, timeout_s: float
    ) -> Row:
        """Insert the row; raise VersionConflictError if there is one."""
        return await self.put_if(key, value, 0, timeout_s)

    async def scan(
        self, prefix: str, after: str, limit: int, timeout_s: float
    ) -> list[Row]:
        """Return rows with the prefix and a key above after, by key."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self._client.read(f"{ROWS_PATH}?{query}", timeout_s)
        _require_read(response)
        return load_rows(response.body)


class HttpObjectStore:
    """Object store of the platform, reached over HTTP."""

    def __init__(self, address: Address, clock: Clock, pools: PoolRegistry):
        self._client = PlatformClient(address, clock, pools)

    async def put(
        self, digest: bytes, content: bytes, timeout_s: float
    ) -> None:
        """Store content under its digest."""
        target = f"{OBJECTS_PATH}/{digest.hex()}"
        response = await self._client.write(target, content, timeout_s, [])
        _require_written(response)

    async def get(self, digest: bytes, timeout_s: float) -> bytes | None:
        """Return the content, or None when there is none."""
        target = f"{OBJECTS_PATH}/{digest.hex()}"
        response = await self._client.read(target, timeout_s)
        if response.status == 404:
            return None
        _require_read(response)
        return response.body


def dump_rows(rows: list[Row]) -> bytes:
    """Return rows as JSON with base64 values."""
    values = [
        {
            "key": row.key,
            "value": base64.b64encode(row.value).decode("ascii"),
            "version": row.version,
        }
        for row in rows
    ]
    return orjson.dumps({"rows": values})


def load_rows(content: bytes) -> list[Row]:
    """Read rows from JSON; raise UnavailableError if it is bad."""
    try:
        return [
            Row(
                value["key"],
                base64.b64decode(value["value"], validate=True),
                int(value["version"]),
            )
            for value in orjson.loads(content)["rows"]
        ]
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise UnavailableError(f"platform: bad rows: {exc}") from exc


def _row_target(key: str) -> str:
    return f"{ROWS_PATH}/{quote(key, safe='')}"


def _read_version(response: HttpResponse) -> int | None:
    value = response.header(ROW_VERSION_HEADER)
    if value is None or not value.isdigit():
        return None
    return int(value)


def _read_row(key: str, response: HttpResponse) -> Row:
    version = _read_version(response)
    if version is None:
        raise UnavailableError("platform: answer without row-version")
    return Row(key, response.body, version)


def _make_conflict(
    key: str, response: HttpResponse, expected_version: int
) -> PlatformError:
    version = _read_version(response)
    if version is None:
        return UnknownOutcomeError("platform: conflict without row-version")
    current = Row(key, response.body, version) if version else None
    return VersionConflictError(
        f"row {key} is at version {version}, not {expected_version}", current
    )


def _require_read(response: HttpResponse) -> None:
    if response.status != 200:
        raise UnavailableError(f"platform: status {response.status}")


def _require_written(response: HttpResponse) -> None:
    if response.status in (200, 201):
        return
    message = f"platform: status {response.status}"
    if response.header(OUTCOME_HEADER) == NOT_APPLIED:
        raise UnavailableError(message)
    raise UnknownOutcomeError(message)
