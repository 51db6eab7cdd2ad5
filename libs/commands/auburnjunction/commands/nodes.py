"""The auburn-node program: runs one node from a settings file."""

import gc
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import curio

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.errors import ExitCode
from auburnjunction.base.logs import STANDARD_OUTPUT, configure_logs
from auburnjunction.base.programs import run_program
from auburnjunction.base.settings import SettingsError, describe_settings
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.http.selectors import RetainingSelector
from auburnjunction.node.checks import (
    ListenerError,
    PlatformSettingsError,
    check_platform,
)
from auburnjunction.node.nodes import run_node
from auburnjunction.node.settings import (
    DEFAULT_CONFIG,
    NodeSettings,
    read_node_settings,
)

EXIT_CODES = {
    ListenerError: ExitCode.ADDRESS_IN_USE,
    PlatformSettingsError: ExitCode.PLATFORM_UNAVAILABLE,
}


@cappa.command(name="auburn-node")
@attrs.frozen
class NodeCommand:
    """Run one node until SIGTERM or SIGINT, then drain and stop it."""

    settings: Annotated[
        Path | None, cappa.Arg(long=True, help="JSON settings file")
    ] = None
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit")
    ] = False
    check_platform: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Check the settings and the platform, and exit"
        ),
    ] = False
    describe: Annotated[
        bool,
        cappa.Arg(
            long=True, help="List all settings with their defaults and exit"
        ),
    ] = False


def print_settings() -> None:
    """Print each setting with its type and default."""
    for name, kind, default in describe_settings(NodeSettings):
        print(f"{name}\t{kind}\t{DEFAULT_CONFIG.get(name, default)}")


def run_command(command: NodeCommand) -> int:
    """Run the node, or the check or listing that the options select."""
    if command.describe:
        print_settings()
        return ExitCode.OK
    cfg = load_settings(command)
    if command.check_platform:
        curio.run(check_platform, cfg, SystemClock())
    if command.check or command.check_platform:
        print(f"{command.settings}: settings are valid")
        return ExitCode.OK
    configure_logs(cfg.log_level, cfg.node, cfg.data_centre, STANDARD_OUTPUT)
    gc.freeze()
    try:
        remaining = curio.run(
            run_node, cfg, SystemClock(), selector=RetainingSelector()
        )
    except AddressInUseError as exc:
        raise ListenerError(cfg, exc) from exc
    return ExitCode.FAILED if remaining else ExitCode.OK


def load_settings(command: NodeCommand) -> NodeSettings:
    """Read the settings file of the command.

    Raise SettingsError when it is not given or invalid.
    """
    if command.settings is None:
        raise SettingsError(
            "--settings", "missing", "give the path of a JSON settings file"
        )
    return read_node_settings(command.settings)


def main() -> None:
    """Run auburn-node with the arguments of the process."""
    run_program(NodeCommand, run_command, EXIT_CODES)


if __name__ == "__main__":
    main()
