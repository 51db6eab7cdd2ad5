"""Command-line program of the backend server stand-in."""

from contextlib import asynccontextmanager
from typing import Annotated

import attrs
import cappa
import curio
from absl import logging

from auburnjunction.base.clocks import Clock, SystemClock
from auburnjunction.base.errors import ExitCode
from auburnjunction.base.logs import configure_logs, log_event
from auburnjunction.base.programs import run_program
from auburnjunction.base.settings import SettingsError
from auburnjunction.base.signals import catch_stop_signals
from auburnjunction.base.tasks import open_task_group
from auburnjunction.http.clients import (
    Address,
    PoolRegistry,
)
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.http.servers import HttpServer, open_server
from auburnjunction.membership.announcements import Announcement
from auburnjunction.standins.announcers import Announcer
from auburnjunction.standins.arguments import (
    make_address_option,
    make_number_option,
    make_port_option,
)
from auburnjunction.standins.backend_servers import BackendServer
from auburnjunction.standins.fault_injectors import BackendSettings

# Time for requests to arrive that the node sent before it processed the
# announcement of leaving.
LEAVING_GRACE_S = 0.2


@cappa.command(name="auburn-standin-backend")
@attrs.frozen
class BackendCommand:
    """Serve requests as a backend server of one service.

    It announces itself to its node, echoes each request's body with its
    x-call-id and idempotency-key, lists executions at GET /executions
    and sets faults at POST /faults. On SIGTERM it announces leaving,
    finishes in-flight requests, announces gone and exits with 0.
    """

    service: Annotated[str, cappa.Arg(long=True, help="name of the service")]
    instance: Annotated[
        str, cappa.Arg(long=True, help="unique name of the instance")
    ]
    port: Annotated[int, make_port_option("TCP port to listen on")]
    announce: Annotated[
        Address | None,
        make_address_option(
            "HOST:PORT of its node; without it, no announcements are sent"
        ),
    ] = None
    host: Annotated[
        str, cappa.Arg(long=True, help="IP address to listen on")
    ] = "127.0.0.1"
    slots: Annotated[
        int,
        make_number_option(
            1, 100_000, int, "maximum number of requests that run at once"
        ),
    ] = 6
    connections: Annotated[
        int,
        make_number_option(
            1,
            100_000,
            int,
            "number of connections above which requests are shed",
        ),
    ] = 130
    delay_ms: Annotated[
        float, make_number_option(0, 600_000, float, "mean service time")
    ] = 5.0
    jitter: Annotated[
        float,
        make_number_option(
            0, 1, float, "variation of the service time, as a share of it"
        ),
    ] = 0.2
    seed: Annotated[
        int, make_number_option(0, 2**31, int, "random seed of the variation")
    ] = 1
    lease_s: Annotated[
        float, make_number_option(0.5, 300, float, "lease of the announcement")
    ] = 10.0
    drain_s: Annotated[
        float,
        make_number_option(
            0, 3600, float, "time to finish in-flight requests"
        ),
    ] = 30.0
    resources: Annotated[
        list[str],
        cappa.Arg(long=True, help="resource that it has; repeatable"),
    ] = attrs.field(factory=list)

    @property
    def settings(self) -> BackendSettings:
        """Identity, limits and service times of the stand-in."""
        return BackendSettings(
            service=self.service,
            instance=self.instance,
            slots=self.slots,
            connections=self.connections,
            delay_ms=self.delay_ms,
            jitter=self.jitter,
            seed=self.seed,
        )

    def make_announcement(self, port: int) -> Announcement:
        """Return the first announcement.

        Raise SettingsError if the arguments are invalid.
        """
        try:
            return Announcement(
                instance=self.instance,
                service=self.service,
                address=f"{self.host}:{port}",
                slots=self.slots,
                connections=self.connections,
                resources=tuple(self.resources),
                lease_s=self.lease_s,
            )
        except ValueError as exc:
            raise SettingsError(
                "(arguments)", str(exc).replace("|", "; "), "correct it"
            ) from exc


@attrs.frozen
class RunningBackend:
    """A backend server stand-in that listens and announces itself."""

    backend: BackendServer
    server: HttpServer
    announcer: Announcer | None
    group: curio.TaskGroup
    clock: Clock

    async def leave(self, drain_s: float) -> int:
        """Announce leaving, drain in-flight requests, announce gone.

        Return the number of requests that were cut off after drain_s.
        """
        self.backend.stopping = True
        await self._announce("leaving")
        await self.clock.sleep(LEAVING_GRACE_S)
        cut_off = await self.server.drain(drain_s)
        await self.group.cancel_remaining()
        await self._announce("gone")
        return cut_off

    async def _announce(self, state: str) -> None:
        if self.announcer is None:
            return
        load_percent = self.backend.reported_load_percent
        self.announcer.update(state, load_percent)
        if not await self.announcer.announce_with_retries():
            logging.warning(
                "the node did not accept the announcement of state %s", state
            )


@asynccontextmanager
async def open_backend(command: BackendCommand, clock: Clock):
    """Yield a RunningBackend that listens until the block ends."""
    backend = BackendServer(command.settings, clock)
    pools = PoolRegistry(clock)
    announcer = None
    async with (
        open_server(
            command.host, command.port, backend.handle, clock
        ) as server,
        open_task_group() as group,
    ):
        backend.attach(server)
        if command.announce is not None:
            announcement = command.make_announcement(server.port)
            announcer = Announcer(announcement, command.announce, clock, pools)
            await group.spawn(announcer.announce_until_cancelled, backend)
        yield RunningBackend(backend, server, announcer, group, clock)
        await pools.close()


async def serve_backend(command: BackendCommand) -> int:
    """Serve until a stop signal; return the exit code."""
    clock = SystemClock()
    with catch_stop_signals() as stop:
        async with open_backend(command, clock) as running:
            log_event(
                "backend server ready",
                instance=command.instance,
                service=command.service,
                port=running.server.port,
            )
            await stop.wait()
            cut_off = await running.leave(command.drain_s)
    log_event("backend server stopped", cut_off=cut_off)
    return ExitCode.FAILED if cut_off else ExitCode.OK


def run_backend(command: BackendCommand) -> int:
    """Run the server in a new curio kernel."""
    configure_logs()
    return curio.run(serve_backend, command)


def main() -> None:
    """Run the command-line program."""
    exit_codes = {AddressInUseError: ExitCode.ADDRESS_IN_USE}
    run_program(BackendCommand, run_backend, exit_codes)


if __name__ == "__main__":
    main()
