"""Randomized soak: faults from outside on a deployment under load.

A seed gives a plan of faults that overlap; the promises are checked
against what callers and backend servers have seen.
"""

import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

import attrs

from auburnjunction.base.errors import ExitCode
from auburnjunction.standins.hosts import HostPlan
from auburnjunction.standins.systems import (
    System,
    check_promises,
    open_system,
)

# Faults begin up to this long before the load ends.
LAST_FAULT_S = 2.0
# From the end of the load until executions are read: a frozen backend
# server and a queue behind it have ended by then.
SETTLE_S = 12.0
# Time in which everything must be in force again after the faults.
RETURN_LIMIT_S = 30.0
UNCERTAIN_CODES = (
    ExitCode.OK,
    ExitCode.CONFLICT,
    ExitCode.PLATFORM_UNAVAILABLE,
    ExitCode.UNKNOWN_OUTCOME,
)


@attrs.frozen
class SoakEvent:
    """One step of a plan; a fault and its end are two steps."""

    at_s: float
    name: str
    target: int = 0


@attrs.frozen
class FaultKind:
    """How a fault begins and ends, and how long it lasts at most."""

    begin: str
    end: str = ""
    longest_s: float = 0.0
    # Whether it is aimed at one host.
    is_aimed: bool = True


KINDS = (
    FaultKind("kill", "start", 2.0),
    FaultKind("terminate", "start", 2.0),
    FaultKind("freeze", "thaw", 5.0),
    FaultKind("freeze_backend", "thaw_backend", 3.0),
    FaultKind("cut", "rejoin", 4.0),
    FaultKind("cut_one_way", "rejoin", 4.0),
    FaultKind("silence_links", "rejoin", 3.0),
    FaultKind("delay_links", "rejoin", 4.0),
    FaultKind("platform_down", "platform_up", 4.0, is_aimed=False),
    FaultKind("platform_silent", "platform_up", 3.0, is_aimed=False),
    FaultKind("lose_answers", "platform_up", 4.0, is_aimed=False),
    FaultKind("change", is_aimed=False),
)


def make_plan(seed: int, duration_s: float, hosts: int) -> list[SoakEvent]:
    """Return the steps of a seed in the order of time."""
    rng = random.Random(seed)
    events = []
    for _ in range(rng.randint(4, 8)):
        kind = rng.choice(KINDS)
        at_s = rng.uniform(0.5, duration_s - LAST_FAULT_S)
        target = rng.randrange(hosts) if kind.is_aimed else 0
        # Faults come in series, and overlap.
        for _ in range(rng.choice((1, 1, 2))):
            events.append(SoakEvent(at_s, kind.begin, target))
            at_s += rng.uniform(0.1, kind.longest_s or 1.0)
            if kind.end:
                events.append(SoakEvent(at_s, kind.end, target))
            at_s += rng.uniform(0.1, 1.0)
    return sorted(events, key=lambda event: event.at_s)


class Soak:
    """Carries the steps of a plan out on a running system."""

    def __init__(self, system: System):
        self._system = system
        self._nodes = system.deployment.nodes
        self._backends = system.deployment.backends

    def run(self, plan: list[SoakEvent]) -> None:
        """Do each step at its time."""
        start_s = time.monotonic()
        for event in plan:
            time.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            step: Callable = getattr(self, f"_{event.name}")
            step(self._system.hosts[event.target])

    def heal(self) -> None:
        """End every fault; have all of it running."""
        self._platform_up()
        for host in self._system.hosts:
            self._rejoin(host)
            self._thaw(host)
            self._thaw_backend(host)
            self._start(host)

    def _kill(self, host: HostPlan) -> None:
        self._nodes[host.name].kill()

    def _terminate(self, host: HostPlan) -> None:
        self._nodes[host.name].send_signal(signal.SIGTERM)

    def _start(self, host: HostPlan) -> None:
        node = self._nodes[host.name]
        if node.running:
            node.send_signal(signal.SIGCONT)
            node.wait(0.0)
        if not node.running:
            node.start()

    def _freeze(self, host: HostPlan) -> None:
        self._nodes[host.name].send_signal(signal.SIGSTOP)

    def _thaw(self, host: HostPlan) -> None:
        self._nodes[host.name].send_signal(signal.SIGCONT)

    def _freeze_backend(self, host: HostPlan) -> None:
        self._backends[host.name].send_signal(signal.SIGSTOP)

    def _thaw_backend(self, host: HostPlan) -> None:
        self._backends[host.name].send_signal(signal.SIGCONT)

    def _cut(self, host: HostPlan) -> None:
        self._set_links(host, cut="both")

    def _cut_one_way(self, host: HostPlan) -> None:
        self._set_links(host, cut="to-server")

    def _silence_links(self, host: HostPlan) -> None:
        self._set_links(host, silent=True)

    def _delay_links(self, host: HostPlan) -> None:
        self._set_links(host, delay_ms=80.0, jitter_ms=120.0)

    def _rejoin(self, host: HostPlan) -> None:
        self._set_links(host)

    def _set_links(self, host: HostPlan, **faults) -> None:
        for link in self._system.deployment.link_map.links:
            ends = (link.data_centre, link.target_data_centre)
            if host.data_centre in ends:
                link.set_faults(**faults)

    def _platform_down(self, _host: HostPlan) -> None:
        self._system.set_platform_faults(down=True)

    def _platform_silent(self, _host: HostPlan) -> None:
        self._system.set_platform_faults(silent=True)

    def _lose_answers(self, _host: HostPlan) -> None:
        self._system.set_platform_faults(lost_answers=2)

    def _platform_up(self, _host: HostPlan | None = None) -> None:
        self._system.set_platform_faults()

    def _change(self, _host: HostPlan) -> None:
        """Try to commit a change; under faults it may fail or be lost."""
        system = self._system
        path = system.write_change(system.revision + 1)
        for host, node in enumerate(self._nodes.values()):
            if node.running:
                result = system.run_auburnctl(
                    "apply",
                    path,
                    "--revision",
                    str(system.revision),
                    host=host,
                )
                if result.exit_code in UNCERTAIN_CODES:
                    return


def run_soak(directory: Path, seed: int, duration_s: float = 12.0) -> None:
    """Run one seed; raise AssertionError or TimeoutError if it fails."""
    with open_system(directory, with_links=True) as system:
        plan = make_plan(seed, duration_s, len(system.hosts))
        load = system.start_load(duration_s, settle_s=SETTLE_S)
        soak = Soak(system)
        try:
            soak.run(plan)
        finally:
            soak.heal()
        system.deployment.wait_ready()
        result = load.finish()
        check_promises(result)
        commit_last(system)
        system.wait_in_force(timeout_s=RETURN_LIMIT_S)
        system.check_never_back()


def commit_last(system: System) -> None:
    """Commit a change on top of whatever the soak has left behind."""
    read = [system.deployment.read_revision(host) for host in system.hosts]
    system.revision = max(read)
    system.change()
