"""Command line, error output and exit codes of the binaries."""

import sys
from collections.abc import Callable, Sequence
from importlib.metadata import version
from typing import TypeVar

import cappa
from rich.console import Console

from auburnjunction.base.errors import AuburnError, ErrorCode, ExitCode
from auburnjunction.base.settings import SettingsError

T = TypeVar("T")

DISTRIBUTION = "auburnjunction-base"
MAX_PORT = 65535

EXIT_BY_CODE = {
    ErrorCode.INVALID: ExitCode.INVALID_CONFIGURATION,
    ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorCode.CONFLICT: ExitCode.CONFLICT,
    ErrorCode.UNAVAILABLE: ExitCode.PLATFORM_UNAVAILABLE,
    ErrorCode.UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
    ErrorCode.TIMEOUT: ExitCode.TIMEOUT,
}


def parse_arguments(
    command_class: type[T], argv: Sequence[str] | None = None
) -> T:
    """Parse the command line; if it is invalid, print one line and exit."""
    output = cappa.Output(
        error_console=Console(stderr=True, soft_wrap=True, highlight=False),
        error_format="{prog}: {message}",
    )
    return cappa.parse(
        command_class,
        argv=None if argv is None else list(argv),
        version=version(DISTRIBUTION),
        completion=False,
        color=False,
        output=output,
    )


def parse_number(
    low: float, high: float, kind: type[int] | type[float] = int
) -> Callable[[str], float]:
    """Return a parser for numeric arguments from low to high."""
    expected = "whole number" if kind is int else "number"
    remedy = f"write a {expected} from {low} to {high}"

    def parse(text: str) -> float:
        try:
            value = kind(text)
        except ValueError:
            raise ValueError(
                f"{text!r} is not a {expected}; {remedy}"
            ) from None
        if not low <= value <= high:
            raise ValueError(f"{text} is out of range; {remedy}")
        return value

    return parse


parse_port = parse_number(1, MAX_PORT)
parse_port_or_any = parse_number(0, MAX_PORT)


def run_program(
    command_class: type[T],
    run: Callable[[T], int | None],
    exit_codes: dict[type[AuburnError], int] | None = None,
) -> None:
    """Run a binary and exit with its exit code.

    An AuburnError is printed as one line on standard error. Its exit
    code is looked up in exit_codes by class, then by the error's code.
    """
    command = parse_arguments(command_class)
    try:
        sys.exit(run(command) or ExitCode.OK)
    except AuburnError as exc:
        print_error(exc.message)
        sys.exit(find_exit_code(exc, exit_codes or {}))
    except KeyboardInterrupt:
        sys.exit(ExitCode.FAILED)


def find_exit_code(
    error: AuburnError, exit_codes: dict[type[AuburnError], int]
) -> int:
    """Return the exit code for an error."""
    if isinstance(error, SettingsError):
        return ExitCode.SETTINGS
    for error_class, exit_code in exit_codes.items():
        if isinstance(error, error_class):
            return exit_code
    return EXIT_BY_CODE.get(error.code, ExitCode.FAILED)


def print_error(message: str) -> None:
    """Print an error as one line on standard error."""
    program = sys.argv[0].rpartition("/")[2]
    line = " ".join(message.split())
    print(f"{program}: {line}", file=sys.stderr)
