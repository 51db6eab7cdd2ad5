"""The auburn-load program: open-loop load generator for nodes."""

import random
import sys
import uuid
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import curio
import orjson
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from auburnjunction.base.clocks import Clock, SystemClock
from auburnjunction.base.errors import ExitCode
from auburnjunction.base.logs import configure_logs
from auburnjunction.base.programs import run_program
from auburnjunction.base.settings import SettingsError, read_settings
from auburnjunction.base.tasks import open_task_group
from auburnjunction.commands.callers import Caller, CallRecord
from auburnjunction.commands.histories import HistoryError, check_backends
from auburnjunction.commands.load_results import LoadResult, ResultCollector
from auburnjunction.commands.mixes import CallMix, LoadPlan
from auburnjunction.http.clients import PoolRegistry

# Step of time while a mix has no arrivals, and polling interval while
# the last calls are in flight.
IDLE_INTERVAL_S = 0.02


class LoadRunner:
    """Open-loop generator: sends each call when due, regardless of others."""

    def __init__(self, plan: LoadPlan, clock: Clock, pools: PoolRegistry):
        self._plan = plan
        self._clock = clock
        self._random = random.Random(plan.seed)
        self._caller = Caller(plan, clock, pools, self._random)
        self._load_id = uuid.uuid4().hex[:8]
        self._in_flight = 0
        self._failure: Exception | None = None
        self._start_s = 0.0
        self.results = ResultCollector(plan.warm_up_s)

    async def run(self) -> None:
        """Send all calls of the plan and wait until they have ended.

        Raise the first unexpected exception of a call, if any.
        """
        self._start_s = self._clock.monotonic()
        async with open_task_group() as calls:
            async with curio.TaskGroup(wait=all) as arrivals:
                for index, mix in enumerate(self._plan.mixes):
                    rng = random.Random(self._plan.seed * 1000 + index)
                    await arrivals.spawn(
                        self._generate_arrivals, mix, rng, calls
                    )
            while self._in_flight:
                await self._clock.sleep(IDLE_INTERVAL_S)
        if self._failure is not None:
            raise self._failure

    async def _generate_arrivals(
        self, mix: CallMix, rng: random.Random, calls: curio.TaskGroup
    ) -> None:
        """Start the calls of one mix at Poisson arrivals.

        Each interval is drawn for the mean rate at the previous arrival.
        """
        due_s = 0.0
        while True:
            rate_per_s = mix.find_rate_per_s(due_s)
            if rate_per_s > 0:
                due_s += rng.expovariate(rate_per_s)
            else:
                due_s += IDLE_INTERVAL_S
            if due_s >= self._plan.duration_s:
                return
            wait_s = due_s - self._elapsed_s()
            if wait_s > 0:
                await self._clock.sleep(wait_s)
            if rate_per_s > 0:
                await self._start_call(mix, due_s, calls)

    async def _start_call(
        self, mix: CallMix, due_s: float, calls: curio.TaskGroup
    ) -> None:
        self.results.count_due(mix.priority, due_s)
        number = len(self.results.records)
        saturated = self._in_flight >= self._plan.max_in_flight
        if saturated or number >= self._plan.max_calls:
            return
        record = CallRecord(f"{self._load_id}-{number}", mix, due_s)
        self.results.records.append(record)
        self._in_flight += 1
        # A task group does not retain daemon tasks after they end.
        await calls.spawn(self._run_call, record, number, daemon=True)

    async def _run_call(self, record: CallRecord, number: int) -> None:
        record.started_s = self._elapsed_s()
        try:
            await self._caller.call(record, number)
        except Exception as exc:
            self._failure = self._failure or exc
        finally:
            record.ended_s = self._elapsed_s()
            self._in_flight -= 1

    def _elapsed_s(self) -> float:
        return self._clock.monotonic() - self._start_s


async def run_load(plan: LoadPlan, clock: Clock) -> LoadResult:
    """Run a load plan and return its results.

    Raise HistoryError when the executions cannot be read for the check.
    """
    pools = PoolRegistry(clock, max_connections=plan.max_connections_per_node)
    runner = LoadRunner(plan, clock, pools)
    try:
        await runner.run()
        history = None
        if plan.backends:
            history = await check_backends(
                runner.results.records,
                plan.backends,
                clock,
                pools,
                plan.settle_s,
            )
    finally:
        await pools.close()
    return runner.results.summarise(plan.duration_s, history)


def dump_result(result: LoadResult) -> bytes:
    """Return a result as indented JSON."""
    return orjson.dumps(attrs.asdict(result), option=orjson.OPT_INDENT_2)


def make_result_table(result: LoadResult) -> Table:
    """Return the results by priority as a table for the terminal."""
    table = Table(box=SIMPLE_HEAD, padding=(0, 1, 0, 0))
    table.add_column("priority", no_wrap=True)
    for name in (
        "due",
        "ok",
        "failed",
        "not run",
        "unknown",
        "wrong",
        "ok/s",
        "p50 ms",
        "p99 ms",
        "max ms",
    ):
        table.add_column(name, justify="right")
    for row in result.by_priority:
        latency = row.latency
        cells = (
            row.due,
            row.ok,
            row.failed,
            row.not_run,
            row.unknown,
            row.wrong,
            f"{row.ok_per_s:.1f}",
            f"{latency.p50_ms:.1f}",
            f"{latency.p99_ms:.1f}",
            f"{latency.max_ms:.1f}",
        )
        table.add_row(row.priority, *(str(cell) for cell in cells))
    return table


@cappa.command(name="auburn-load")
@attrs.frozen
class LoadCommand:
    """Send calls to nodes at the rates of a plan and report the results.

    Exit code 1 means that a call got the wrong response, was lost, was
    executed more than once although it is not repeatable, or was executed
    although it was refused.
    """

    settings: Annotated[
        Path, cappa.Arg(long=True, help="JSON file with the plan")
    ]
    output: Annotated[
        str,
        cappa.Arg(long=True, choices=["table", "json"], help="output format"),
    ] = "table"
    check: Annotated[
        bool, cappa.Arg(long=True, help="check the plan and exit")
    ] = attrs.field(factory=bool)
    check_executions: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="compare calls with executions of the plan's backends",
        ),
    ] = attrs.field(factory=bool)


def _read_plan(command: LoadCommand) -> LoadPlan:
    plan = read_settings(command.settings, LoadPlan)
    if command.check_executions and not plan.backends:
        raise SettingsError(
            "backends",
            "is empty, so there are no executions to check",
            "list the HOST:PORT of each backend server stand-in",
        )
    if not command.check_executions:
        plan = attrs.evolve(plan, backends=())
    return plan


def run_command(command: LoadCommand) -> int:
    """Run a command: load, print the results, return the exit code."""
    plan = _read_plan(command)
    if command.check:
        print(f"{command.settings}: the plan is valid")
        return ExitCode.OK
    configure_logs("warning")
    result = curio.run(run_load, plan, SystemClock())
    if command.output == "json":
        sys.stdout.write(dump_result(result).decode() + "\n")
    else:
        _print_result(result)
    return ExitCode.FAILED if result.violations else ExitCode.OK


def _print_result(result: LoadResult) -> None:
    console = Console()
    console.print(make_result_table(result))
    delay = result.start_delay
    print(
        f"start delay of calls: p50 {delay.p50_ms:.1f} ms, "
        f"p99 {delay.p99_ms:.1f} ms"
    )
    if result.not_sent:
        print(f"not sent, beyond the limits of the plan: {result.not_sent}")
    history = result.history
    if history is None:
        return
    print(
        f"executions {history.executions}, doubled {history.doubled}, "
        f"lost {history.lost}, wasted {history.wasted}, "
        f"ran although refused {history.ran_although_refused}"
    )
    for example in history.examples:
        print(example)


def main() -> None:
    """Run auburn-load with the arguments of the process."""
    exit_codes = {HistoryError: ExitCode.FAILED}
    run_program(LoadCommand, run_command, exit_codes)


if __name__ == "__main__":
    main()
