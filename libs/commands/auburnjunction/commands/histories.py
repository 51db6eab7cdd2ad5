"""Consistency check of a load's calls against recorded executions."""

from collections import defaultdict

import attrs
import orjson

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.commands.callers import CallOutcome, CallRecord
from auburnjunction.http.clients import PoolRegistry, parse_address
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest

PAGE_TIMEOUT_S = 10.0
MAX_EXAMPLES = 5
FINISHED_STATES = frozenset({"finished", "failed"})


class HistoryError(AuburnError):
    """Raised when executions cannot be read from a backend server."""

    code = ErrorCode.UNAVAILABLE


@attrs.frozen(slots=True)
class ExecutionRecord:
    """One execution of a call at a backend server."""

    call_id: str
    instance: str
    state: str
    late: bool


@attrs.define
class HistoryResult:
    """Result of checking calls against executions.

    - doubled: non-repeatable calls that were executed more than once
    - ran_although_refused: calls with outcome "not run" that were
      executed
    - lost: calls with outcome "ok" without a finished execution
    - wasted: executions beyond the one whose result the caller received
    """

    checked_calls: int = 0
    executions: int = 0
    doubled: int = 0
    ran_although_refused: int = 0
    lost: int = 0
    wasted: int = 0
    examples: list[str] = attrs.field(factory=list)

    @property
    def violations(self) -> int:
        """Number of violated guarantees; wasted executions do not count."""
        return self.doubled + self.ran_although_refused + self.lost

    def add_example(self, problem: str, record: CallRecord) -> None:
        """Record a call that violated a guarantee, up to MAX_EXAMPLES."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(
                f"{problem}: {record.call_id} ({record.mix.name})"
            )


def check_history(
    records: list[CallRecord], executions: list[ExecutionRecord]
) -> HistoryResult:
    """Check the outcome of each call against its executions."""
    executions_by_call: dict[str, list[ExecutionRecord]] = defaultdict(list)
    for execution in executions:
        executions_by_call[execution.call_id].append(execution)
    result = HistoryResult(checked_calls=len(records))
    for record in records:
        call_executions = executions_by_call.get(record.call_id, [])
        result.executions += len(call_executions)
        result.wasted += _count_wasted(record, call_executions)
        _check_call(record, call_executions, result)
    return result


def _check_call(
    record: CallRecord,
    call_executions: list[ExecutionRecord],
    result: HistoryResult,
) -> None:
    if len(call_executions) > 1 and not record.mix.repeatable:
        result.doubled += 1
        result.add_example("doubled", record)
    if call_executions and record.outcome is CallOutcome.NOT_RUN:
        result.ran_although_refused += 1
        result.add_example("ran although refused", record)
    finished = any(item.state in FINISHED_STATES for item in call_executions)
    if record.outcome is CallOutcome.OK and not finished:
        result.lost += 1
        result.add_example("lost", record)


def _count_wasted(
    record: CallRecord, call_executions: list[ExecutionRecord]
) -> int:
    useful = record.outcome in (CallOutcome.OK, CallOutcome.FAILED)
    return len(call_executions) - (1 if useful and call_executions else 0)


async def read_executions(
    backends: tuple[str, ...], pools: PoolRegistry
) -> list[ExecutionRecord]:
    """Return the executions recorded by backend server stand-ins.

    Raise HistoryError when one cannot be reached or its response is
    invalid.
    """
    executions: list[ExecutionRecord] = []
    for address in backends:
        executions += await _read_backend_executions(address, pools)
    return executions


async def _read_backend_executions(
    address: str, pools: PoolRegistry
) -> list[ExecutionRecord]:
    executions: list[ExecutionRecord] = []
    pool = pools.get(parse_address(address))
    while True:
        target = b"/executions?after=%d" % len(executions)
        request = HttpRequest(b"GET", target, [(b"host", address.encode())])
        try:
            response = await pool.exchange(request, PAGE_TIMEOUT_S)
        except HttpError as exc:
            raise HistoryError(
                f"executions of {address} cannot be read: {exc.message}"
            ) from exc
        page = _parse_page(address, response.body)
        executions += page
        if not page:
            return executions


def _parse_page(address: str, body: bytes) -> list[ExecutionRecord]:
    try:
        return [
            ExecutionRecord(
                value["call_id"],
                value["instance"],
                value["state"],
                value["late"],
            )
            for value in orjson.loads(body)["executions"]
        ]
    except (KeyError, TypeError, ValueError) as exc:
        raise HistoryError(
            f"{address} returned invalid executions, so it is not a "
            f"backend server stand-in: {exc}"
        ) from exc


async def check_backends(
    records: list[CallRecord],
    backends: tuple[str, ...],
    clock: Clock,
    pools: PoolRegistry,
    settle_s: float,
) -> HistoryResult:
    """Wait settle_s for executions to end, then check the calls."""
    await clock.sleep(settle_s)
    return check_history(records, await read_executions(backends, pools))
