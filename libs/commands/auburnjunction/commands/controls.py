"""The auburnctl program: manages configurations and backend servers."""

import asyncio
import sys
from typing import Annotated, Literal

import attrs
import cappa
import orjson

from auburnjunction.base.errors import AuburnError, ExitCode
from auburnjunction.base.programs import parse_arguments
from auburnjunction.commands.control_commands import Command
from auburnjunction.commands.control_errors import (
    UsageError,
    choose_exit_code,
    format_error,
    list_error_values,
)
from auburnjunction.commands.control_views import print_view
from auburnjunction.http.clients import Address, parse_address
from auburnjunction.operators.clients import OperatorsClient

DEFAULT_ADDRESS = "127.0.0.1:7403"


@cappa.command(
    name="auburnctl",
    help="Creates, changes and inspects configurations.",
)
@attrs.define
class Auburnctl:
    """The subcommand and the options common to all subcommands."""

    command: cappa.Subcommands[Command]
    address: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            propagate=True,
            help="Operators' HOST:PORT of a node; repeat to add fallbacks.",
        ),
    ] = attrs.field(factory=list)
    output: Annotated[
        Literal["table", "json"],
        cappa.Arg(long=True, propagate=True, help="Output format."),
    ] = "table"
    timeout_s: Annotated[
        float,
        cappa.Arg(
            long="--timeout-s",
            propagate=True,
            help="Timeout of a call in seconds.",
        ),
    ] = 10.0


def run_command(options: Auburnctl) -> int:
    """Run a parsed command and return its exit code."""
    try:
        addresses = parse_addresses(options.address or [DEFAULT_ADDRESS])
        client = OperatorsClient(addresses, options.timeout_s)
        view = asyncio.run(options.command.run(client))
    except AuburnError as exc:
        print_error(exc, options.output)
        return choose_exit_code(exc)
    except KeyboardInterrupt:
        return ExitCode.FAILED
    print_view(view, options.output)
    return ExitCode.OK


def parse_addresses(texts: list[str]) -> list[Address]:
    """Parse the values of --address; raise UsageError when invalid."""
    try:
        return [parse_address(text) for text in texts]
    except ValueError as exc:
        problem, _, mend = str(exc).partition("|")
        raise UsageError(f"--address: {problem}", mend) from exc


def print_error(exc: AuburnError, output: str) -> None:
    """Print an error to standard error as one line or as JSON."""
    if output == "json":
        values = {"error": list_error_values(exc)}
        print(orjson.dumps(values).decode(), file=sys.stderr)
    else:
        print(f"auburnctl: {format_error(exc)}", file=sys.stderr)


def main() -> None:
    """Run auburnctl with the arguments of the process."""
    sys.exit(run_command(parse_arguments(Auburnctl)))


if __name__ == "__main__":
    main()
