"""Circuit breaker for the claims table."""

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.storage.tables import (
    Row,
    Table,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

# Share of the timeout after which an operation with an unknown outcome opens
# the circuit.
SLOW_TIMEOUT_SHARE = 0.9


class CircuitBreakerTable:
    """Table with an operation timeout and a circuit breaker.

    An operation that times out raises UnknownOutcomeError. After a failure
    the circuit is open: one operation at a time, after a retry delay,
    probes the table, and all others raise UnavailableError at once.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        timeout_s: float,
        retry_delay_s: float,
    ):
        self._table = table
        self._clock = clock
        self._timeout_s = timeout_s
        self._retry_delay_s = retry_delay_s
        self._is_open = False
        self._probing = False
        self._next_probe_s = 0.0

    async def get(self, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        return await self._guard(self._table.get, key)

    async def put_if(self, key: str, value: bytes, version: int) -> Row:
        """Write the row if its version matches; 0 means no row."""
        return await self._guard(self._table.put_if, key, value, version)

    async def _guard(self, operation, *arguments):
        now_s = self._clock.monotonic()
        if self._is_open and (self._probing or now_s < self._next_probe_s):
            raise UnavailableError(
                "the table is unavailable: circuit breaker open"
            )
        probing = self._probing = self._is_open
        try:
            result = await self._run(operation, *arguments)
        except UnavailableError:
            self._open_circuit()
            raise
        except UnknownOutcomeError:
            # A write whose answer is lost early is resolved by reading the
            # row, for which the circuit must stay closed.
            if (
                self._clock.monotonic() - now_s
                >= SLOW_TIMEOUT_SHARE * self._timeout_s
            ):
                self._open_circuit()
            raise
        except VersionConflictError:
            self._is_open = False
            raise
        finally:
            if probing:
                self._probing = False
        self._is_open = False
        return result

    def _open_circuit(self) -> None:
        self._is_open = True
        self._next_probe_s = self._clock.monotonic() + self._retry_delay_s

    async def _run(self, operation, *arguments):
        try:
            async with curio.timeout_after(self._timeout_s):
                return await operation(*arguments, self._timeout_s)
        except curio.TaskTimeout as exc:
            # A write may still take effect.
            raise UnknownOutcomeError(
                f"the table did not answer within {self._timeout_s} s"
            ) from exc
