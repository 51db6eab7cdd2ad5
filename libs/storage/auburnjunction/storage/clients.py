"""HTTP/1.1 clients of the platform's table and object store."""

import base64
import binascii
from urllib.parse import quote, urlencode

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

# Writes use only connections idle for at most this time: the peer may close
# one that is idle for longer, and the outcome of the write is then unknown.
MAX_WRITE_IDLE_S = 1.0
# Share of a read's time-out for the attempt on a pooled connection, so that
# time is left for a new connection if that one does not respond.
FIRST_READ_TIMEOUT_SHARE = 0.5


class PlatformClient:
    """Sends requests to the platform and raises errors as Table does."""

    def __init__(self, address: Address, clock: Clock, pools: PoolRegistry):
        self._clock = clock
        self._pools = pools
        self.set_address(address)
        # Set when a read times out, cleared when one completes within
        # the time-out of its first attempt.
        self._is_slow = False

    def set_address(self, address: Address) -> None:
        """Send all further requests to another address."""
        self._address = address
        self._host = str(address).encode()

    async def read(
        self,
        target: str,
        timeout_s: float,
        first_timeout_s: float | None = None,
    ) -> HttpResponse:
        """Return the response to a GET request, sent again if it fails.

        The attempt on a pooled connection times out after first_timeout_s
        seconds, by default a share of timeout_s; the second attempt uses
        a new connection, if time remains. While the platform is slow, one
        request is sent on a new connection with the whole time-out. Raise
        UnavailableError if no complete response arrived.
        """
        start_s = self._clock.monotonic()
        if first_timeout_s is None:
            first_timeout_s = timeout_s * FIRST_READ_TIMEOUT_SHARE
        request = self._make_request(b"GET", target)
        try:
            response = await self._read_pooled(request, first_timeout_s)
            if response is None:
                remaining_s = start_s + timeout_s - self._clock.monotonic()
                if remaining_s <= 0:
                    raise ExchangeTimeoutError(
                        f"no response from {self._address} "
                        f"within {timeout_s:.3f} s"
                    )
                response = await self._exchange(request, remaining_s, 0.0)
        except ExchangeTimeoutError as exc:
            self._is_slow = True
            raise UnavailableError(f"platform: {exc.message}") from exc
        except HttpError as exc:
            raise UnavailableError(f"platform: {exc.message}") from exc
        if self._is_slow:
            self._is_slow = self._clock.monotonic() - start_s > first_timeout_s
        return response

    async def _read_pooled(
        self, request: HttpRequest, timeout_s: float
    ) -> HttpResponse | None:
        """Return the response on a pooled connection, or None.

        Return None if the exchange failed or the platform is slow.
        """
        if self._is_slow:
            return None
        try:
            return await self._exchange(request, timeout_s, None)
        except HttpError:
            return None

    async def write(
        self,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: list[tuple[bytes, bytes]],
        method: bytes = b"PUT",
    ) -> HttpResponse:
        """Send a write request once and return the response.

        Raise UnavailableError if no byte was sent, UnknownOutcomeError
        if the exchange failed later.
        """
        request = self._make_request(method, target, body, headers)
        try:
            return await self._exchange(request, timeout_s, MAX_WRITE_IDLE_S)
        except NotSentError as exc:
            raise UnavailableError(f"platform: {exc.message}") from exc
        except HttpError as exc:
            raise UnknownOutcomeError(f"platform: {exc.message}") from exc

    def _make_request(self, method, target, body=b"", headers=()):
        all_headers = [(b"host", self._host), *headers]
        return HttpRequest(method, target.encode("ascii"), all_headers, body)

    async def _exchange(
        self, request: HttpRequest, timeout_s: float, max_idle_s: float | None
    ) -> HttpResponse:
        pool = self._pools.get(self._address)
        return await pool.exchange(request, timeout_s, max_idle_s)


class HttpTable:
    """HTTP client of the platform's table, which is never restored."""

    generation = 0

    def __init__(self, address: Address, clock: Clock, pools: PoolRegistry):
        self._client = PlatformClient(address, clock, pools)

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row, or None if there is none."""
        response = await self._client.read(_row_target(key), timeout_s)
        if response.status == 404 and _read_version(response) == 0:
            return None
        _check_read_status(response)
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
        _check_write_status(response)
        version = _read_version(response)
        if version is None:
            raise UnknownOutcomeError("platform: response without row-version")
        return Row(key, value, version)

    async def insert_if_absent(
        self, key: str, value: bytes, timeout_s: float
    ) -> Row:
        """Insert the row; raise VersionConflictError if there is one."""
        return await self.put_if(key, value, 0, timeout_s)

    async def scan(
        self, prefix: str, after: str, limit: int, timeout_s: float
    ) -> list[Row]:
        """Return rows with the prefix and a key above after, in key order."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self._client.read(f"{ROWS_PATH}?{query}", timeout_s)
        _check_read_status(response)
        return load_rows(response.body)


class HttpObjectStore:
    """HTTP client of the platform's object store."""

    def __init__(self, address: Address, clock: Clock, pools: PoolRegistry):
        self._client = PlatformClient(address, clock, pools)

    async def put(
        self, digest: bytes, content: bytes, timeout_s: float
    ) -> None:
        """Store content under its digest."""
        target = f"{OBJECTS_PATH}/{digest.hex()}"
        response = await self._client.write(target, content, timeout_s, [])
        _check_write_status(response)

    async def get(self, digest: bytes, timeout_s: float) -> bytes | None:
        """Return the content, or None if there is none."""
        target = f"{OBJECTS_PATH}/{digest.hex()}"
        response = await self._client.read(target, timeout_s)
        if response.status == 404:
            return None
        _check_read_status(response)
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
    """Parse rows from JSON; raise UnavailableError if it is invalid."""
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
        raise UnavailableError(f"platform: invalid rows: {exc}") from exc


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
        raise UnavailableError("platform: response without row-version")
    return Row(key, response.body, version)


def _make_conflict(
    key: str, response: HttpResponse, expected_version: int
) -> PlatformError:
    version = _read_version(response)
    if version is None:
        return UnknownOutcomeError("platform: status 409 without row-version")
    current = Row(key, response.body, version) if version else None
    return VersionConflictError(
        f"row {key} is at version {version}, not {expected_version}", current
    )


def _check_read_status(response: HttpResponse) -> None:
    if response.status != 200:
        raise UnavailableError(f"platform: status {response.status}")


def _check_write_status(response: HttpResponse) -> None:
    if response.status in (200, 201):
        return
    message = f"platform: status {response.status}"
    if response.header(OUTCOME_HEADER) == NOT_APPLIED:
        raise UnavailableError(message)
    raise UnknownOutcomeError(message)
