"""The auburn-report program: burn rates of service-level objectives."""

import sys
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
from auburnjunction.base.errors import AuburnError, ErrorCode, ExitCode
from auburnjunction.base.logs import configure_logs
from auburnjunction.base.programs import parse_number, run_program
from auburnjunction.base.settings import read_settings
from auburnjunction.commands.access_logs import read_logs
from auburnjunction.commands.burns import (
    BurnCalculator,
    BurnReport,
    ServiceBurn,
)
from auburnjunction.commands.call_series import SeriesSet
from auburnjunction.commands.metric_scrapes import (
    MetricScraper,
    ScrapeError,
    scrape_nodes,
)
from auburnjunction.commands.objectives import ReportSettings
from auburnjunction.commands.report_pages import (
    describe_objective,
    render_page,
)
from auburnjunction.http.clients import PoolRegistry, parse_address

MIN_TABLE_WIDTH = 110


class ArgumentError(AuburnError):
    """Raised for an invalid combination of arguments."""

    code = ErrorCode.INVALID


class ReportError(AuburnError):
    """Raised when the report cannot be written."""


@cappa.command(name="auburn-report")
@attrs.frozen
class ReportCommand:
    """Report how fast services use up their error budgets.

    Calls are read from the access logs of nodes (--log), or scraped from
    their metrics during --duration-s (--node). Exit code 1 with --fail-on
    means that a burn rate window fires at that severity or above.
    """

    settings: Annotated[
        Path | None,
        cappa.Arg(long=True, help="JSON file with objectives and windows"),
    ] = None
    log: Annotated[
        list[Path],
        cappa.Arg(long=True, help="log file of a node; may be repeated"),
    ] = attrs.field(factory=list)
    node: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="HOST:PORT of a node's administration listener; "
            "may be repeated",
        ),
    ] = attrs.field(factory=list)
    duration_s: Annotated[
        float,
        cappa.Arg(
            long=True,
            parse=parse_number(0.1, 86_400, float),
            help="seconds for which metrics are scraped",
        ),
    ] = 30.0
    interval_s: Annotated[
        float,
        cappa.Arg(
            long=True,
            parse=parse_number(0.1, 3600, float),
            help="seconds between scrapes",
        ),
    ] = 1.0
    output: Annotated[
        str,
        cappa.Arg(long=True, choices=["table", "json"], help="output format"),
    ] = "table"
    html: Annotated[
        Path | None, cappa.Arg(long=True, help="path of an HTML page to write")
    ] = None
    fail_on: Annotated[
        str,
        cappa.Arg(
            long=True,
            choices=["never", "ticket", "page"],
            help="lowest severity that sets exit code 1",
        ),
    ] = "never"
    check: Annotated[
        bool, cappa.Arg(long=True, help="check the settings and exit")
    ] = attrs.field(factory=bool)


async def read_metrics(
    nodes: tuple[str, ...],
    settings: ReportSettings,
    clock: Clock,
    duration_s: float,
    interval_s: float,
) -> SeriesSet:
    """Return the calls that nodes count during a time.

    Raise ScrapeError when no node responds to the first scrape or no
    call was counted.
    """
    series = SeriesSet()
    pools = PoolRegistry(clock)
    scraper = MetricScraper(nodes, settings, clock, pools, series)
    try:
        await scrape_nodes(scraper, clock, duration_s, interval_s)
    finally:
        await pools.close()
    if not series:
        raise ScrapeError(
            f"no call was counted within {duration_s:g} s; "
            "scrape for longer with --duration-s"
        )
    return series


def make_report(command: ReportCommand, clock: Clock) -> BurnReport:
    """Return the report from the logs or nodes of a command."""
    settings = ReportSettings()
    if command.settings is not None:
        settings = read_settings(command.settings, ReportSettings)
    calculator = BurnCalculator(settings)
    if command.log:
        series = SeriesSet()
        totals = read_logs(command.log, settings, series)
        source = (
            f"{totals.calls} call lines in {len(command.log)} logs"
            f" ({totals.bad_lines} invalid lines skipped)"
        )
        return calculator.report(series, source)
    nodes = tuple(command.node)
    series = curio.run(
        read_metrics,
        nodes,
        settings,
        clock,
        command.duration_s,
        command.interval_s,
    )
    source = f"metrics of {len(nodes)} nodes"
    return calculator.report(series, source)


def make_report_table(report: BurnReport) -> Table:
    """Return the report as a table for the terminal."""
    table = Table(box=SIMPLE_HEAD, padding=(0, 1, 0, 0))
    for name in ("service", "priority", "state", "objective"):
        table.add_column(name, no_wrap=True)
    names = ["calls", "bad", "good", "budget"]
    if report.services:
        names += [burn.window for burn in report.services[0].burns]
    for name in names:
        table.add_column(name, justify="right", no_wrap=True)
    for service in report.services:
        table.add_row(*_make_cells(service))
    return table


def _make_cells(service: ServiceBurn) -> list[str]:
    return [
        service.service,
        service.priority,
        service.state,
        describe_objective(service.objective),
        f"{service.counts.calls:.0f}",
        f"{service.counts.bad:.0f}",
        f"{service.good_share:.2%}",
        f"{service.budget_left:.0%}",
        *(f"{burn.burn:.2f}" for burn in service.burns),
    ]


def dump_report(report: BurnReport) -> bytes:
    """Return the report as indented JSON."""
    values = attrs.asdict(report)
    values["state"] = report.state
    for value, service in zip(
        values["services"], report.services, strict=True
    ):
        value["state"] = service.state
    return orjson.dumps(values, option=orjson.OPT_INDENT_2)


def _check_command(command: ReportCommand) -> None:
    if bool(command.log) is bool(command.node):
        raise ArgumentError(
            "exactly one of --log and --node is needed; either may be repeated"
        )
    for text in command.node:
        try:
            parse_address(text)
        except ValueError as exc:
            problem = str(exc).replace("|", "; ")
            raise ArgumentError(f"--node: {problem}") from exc


def _write_page(report: BurnReport, path: Path) -> None:
    try:
        path.write_text(render_page(report), encoding="utf-8")
    except OSError as exc:
        raise ReportError(
            f"--html {path} cannot be written ({exc.strerror}); "
            "give a path in a directory that exists"
        ) from exc


def run_command(command: ReportCommand) -> int:
    """Print the report, write its page and return the exit code."""
    if command.check:
        if command.settings is not None:
            read_settings(command.settings, ReportSettings)
        print("the settings are valid")
        return ExitCode.OK
    _check_command(command)
    configure_logs("warning")
    report = make_report(command, SystemClock())
    if command.output == "json":
        sys.stdout.write(dump_report(report).decode() + "\n")
    else:
        width = max(Console().width, MIN_TABLE_WIDTH)
        Console(width=width).print(make_report_table(report))
    if command.html is not None:
        _write_page(report, command.html)
    failing_states = {
        "never": (),
        "ticket": ("ticket", "page"),
        "page": ("page",),
    }
    if report.state in failing_states[command.fail_on]:
        return ExitCode.FAILED
    return ExitCode.OK


def main() -> None:
    """Run auburn-report with the arguments of the process."""
    exit_codes = {
        ArgumentError: ExitCode.USAGE,
        ScrapeError: ExitCode.FAILED,
    }
    run_program(ReportCommand, run_command, exit_codes)


if __name__ == "__main__":
    main()
