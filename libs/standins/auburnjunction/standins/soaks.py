"""Randomized fault soak of a deployment under load.

A seed determines a plan of overlapping faults. The guarantees are checked
against the calls of callers and the executions of backend servers.
"""

import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import orjson

from auburnjunction.base.errors import ExitCode
from auburnjunction.standins.hosts import HostPlan
from auburnjunction.standins.processes import fetch
from auburnjunction.standins.systems import (
    System,
    check_guarantees,
    open_system,
)

# The first fault of a series begins at least this long before the load ends.
LAST_FAULT_MARGIN_S = 2.0
# Time between the end of the load and the reading of executions, enough
# for a frozen backend server to resume and work off its queue.
SETTLE_S = 12.0
# Time after the faults within which the final change must be in force on
# every node.
RECOVERY_LIMIT_S = 30.0
# Longest time in which a node ends after SIGTERM: its drain limit and notice.
STOP_LIMIT_S = 15.0
# Rate limit that one backend server names, a fraction of its load; no window
# may hold more than this ratio of it and these calls, from this long after
# its first response with the limit.
RATE_LIMIT_PER_S = 3.0
RATE_LIMIT_LONGEST_S = 6.0
RATE_WINDOW_S = 4.0
RATE_EXCESS_RATIO = 1.5
RATE_EXCESS_CALLS = 5
RATE_NOTICE_S = 1.0
# One backend server departs; from this long after its node has accepted the
# departure it gets no calls, except this long after its host was disturbed.
DRAIN_S = 2.0
CONTACT_S = 3.0
# Exit codes of auburnctl after which a change is not tried on another node:
# it is committed or conflicts with another change, the platform or the node
# is unavailable, or the outcome is unknown.
FINAL_EXIT_CODES = (
    ExitCode.OK,
    ExitCode.CONFLICT,
    ExitCode.PLATFORM_UNAVAILABLE,
    ExitCode.UNKNOWN_OUTCOME,
)


@attrs.frozen
class SoakEvent:
    """One step of a plan: a fault begins or ends."""

    at_s: float
    name: str
    target: int = 0


@attrs.frozen
class FaultKind:
    """Steps that begin and end a fault, and its maximum duration."""

    begin: str
    end: str = ""
    longest_s: float = 0.0
    # Whether its target is one host.
    is_aimed: bool = True


FAULT_KINDS = (
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
    """Return the steps of a seed, sorted by time."""
    rng = random.Random(seed)
    events = []
    for _ in range(rng.randint(4, 8)):
        kind = rng.choice(FAULT_KINDS)
        at_s = rng.uniform(0.5, duration_s - LAST_FAULT_MARGIN_S)
        target = rng.randrange(hosts) if kind.is_aimed else 0
        # A fault may be repeated, and faults overlap.
        for _ in range(rng.choice((1, 1, 2))):
            events.append(SoakEvent(at_s, kind.begin, target))
            at_s += rng.uniform(0.1, kind.longest_s or 1.0)
            if kind.end:
                events.append(SoakEvent(at_s, kind.end, target))
            at_s += rng.uniform(0.1, 1.0)
    target = rng.randrange(hosts)
    at_s = rng.uniform(0.5, duration_s - RATE_LIMIT_LONGEST_S)
    events.append(SoakEvent(at_s, "limit_rate", target))
    events.append(SoakEvent(at_s + RATE_LIMIT_LONGEST_S, "lift_rate", target))
    target = (target + rng.randrange(1, hosts)) % hosts
    events.append(SoakEvent(rng.uniform(0.5, duration_s), "depart", target))
    return sorted(events, key=lambda event: event.at_s)


class Soak:
    """Runs the steps of a plan on a running system."""

    def __init__(self, system: System):
        self._system = system
        self._nodes = system.deployment.nodes
        self._backends = system.deployment.backends
        # Hosts whose nodes have been terminated and not started since.
        self._terminated: set[str] = set()
        # Spans of wall clock time in which backend servers named a limit.
        self.rate_limits: dict[str, list[float]] = {}
        # Hosts whose backend servers have departed.
        self._departed: set[str] = set()
        # Wall clock times at which a host's processes started or resumed.
        self._disturbed_s: dict[str, list[float]] = {}

    def run(self, plan: list[SoakEvent]) -> None:
        """Run each step at its time."""
        start_s = time.monotonic()
        for event in plan:
            time.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            step: Callable = getattr(self, f"_{event.name}")
            step(self._system.hosts[event.target])

    def end_faults(self) -> None:
        """End every fault and restart every stopped node."""
        self._platform_up()
        for host in self._system.hosts:
            self._rejoin(host)
            self._thaw(host)
            self._thaw_backend(host)
            if host.name in self._terminated:
                # A node that still drains cannot be started yet.
                self._nodes[host.name].wait(STOP_LIMIT_S)
            self._start(host)

    def _kill(self, host: HostPlan) -> None:
        self._nodes[host.name].kill()

    def _terminate(self, host: HostPlan) -> None:
        self._nodes[host.name].send_signal(signal.SIGTERM)
        self._terminated.add(host.name)

    def _start(self, host: HostPlan) -> None:
        node = self._nodes[host.name]
        if node.running:
            node.send_signal(signal.SIGCONT)
            node.wait(0.0)
        if not node.running:
            node.start()
            self._record_disturbance(host)
            self._terminated.discard(host.name)

    def _freeze(self, host: HostPlan) -> None:
        self._nodes[host.name].send_signal(signal.SIGSTOP)

    def _thaw(self, host: HostPlan) -> None:
        self._nodes[host.name].send_signal(signal.SIGCONT)
        self._record_disturbance(host)

    def _freeze_backend(self, host: HostPlan) -> None:
        self._backends[host.name].send_signal(signal.SIGSTOP)

    def _thaw_backend(self, host: HostPlan) -> None:
        self._backends[host.name].send_signal(signal.SIGCONT)
        self._record_disturbance(host)

    def _record_disturbance(self, host: HostPlan) -> None:
        self._disturbed_s.setdefault(host.name, []).append(time.time())

    def _cut(self, host: HostPlan) -> None:
        self._set_link_faults(host, cut="both")

    def _cut_one_way(self, host: HostPlan) -> None:
        self._set_link_faults(host, cut="to-server")

    def _silence_links(self, host: HostPlan) -> None:
        self._set_link_faults(host, silent=True)

    def _delay_links(self, host: HostPlan) -> None:
        self._set_link_faults(host, delay_ms=80.0, jitter_ms=120.0)

    def _rejoin(self, host: HostPlan) -> None:
        self._set_link_faults(host)

    def _set_link_faults(self, host: HostPlan, **faults) -> None:
        for link in self._system.deployment.link_map.links:
            ends = (link.data_centre, link.target_data_centre)
            if host.data_centre in ends:
                link.set_faults(**faults)

    def _limit_rate(self, host: HostPlan) -> None:
        self._set_backend_faults(host, rate_limit_per_s=RATE_LIMIT_PER_S)
        self.rate_limits.setdefault(host.name, []).append(time.time())

    def _lift_rate(self, host: HostPlan) -> None:
        self._set_backend_faults(host)
        self.rate_limits[host.name].append(time.time())

    def _depart(self, host: HostPlan) -> None:
        self._set_backend_faults(host, departed=True)
        self._departed.add(host.name)

    def _set_backend_faults(self, host: HostPlan, **faults) -> None:
        # A frozen process takes the request once it resumes. This excuses no
        # calls after a departure.
        self._backends[host.name].send_signal(signal.SIGCONT)
        body = orjson.dumps(faults)
        fetch(host.backend_port, "/faults", "POST", body)

    def check_departures(self) -> None:
        """Check that no departed backend server got calls."""
        for host in self._system.hosts:
            if host.name in self._departed:
                stats = orjson.loads(fetch(host.backend_port, "/stats")[1])
                spans_s = [
                    (s, s + CONTACT_S)
                    for s in self._disturbed_s.get(host.name, ())
                ]
                check_departure(
                    stats["departed_s"], spans_s, list_execution_starts(host)
                )

    def check_rate_limits(self) -> None:
        """Check that no backend server got more than the limit it named."""
        for host in self._system.hosts:
            if host.name in self.rate_limits:
                start_s, end_s = self.rate_limits[host.name]
                starts_s = [
                    s
                    for s in list_execution_starts(host)
                    if start_s + RATE_NOTICE_S <= s < end_s
                ]
                check_rate(starts_s)

    def _platform_down(self, _host: HostPlan) -> None:
        self._system.set_platform_faults(down=True)

    def _platform_silent(self, _host: HostPlan) -> None:
        self._system.set_platform_faults(silent=True)

    def _lose_answers(self, _host: HostPlan) -> None:
        self._system.set_platform_faults(lost_answers=2)

    def _platform_up(self, _host: HostPlan | None = None) -> None:
        self._system.set_platform_faults()

    def _change(self, _host: HostPlan) -> None:
        """Try to commit a change through one running node after another.

        Under faults it may fail or its outcome may be unknown.
        """
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
                if result.exit_code in FINAL_EXIT_CODES:
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
            soak.end_faults()
        system.deployment.wait_ready()
        result = load.finish()
        check_guarantees(result)
        soak.check_rate_limits()
        soak.check_departures()
        commit_final_change(system)
        system.wait_in_force(timeout_s=RECOVERY_LIMIT_S)
        system.check_revisions_increase()


def list_execution_starts(host: HostPlan) -> list[float]:
    """Return when a host's backend server began to run each request."""
    starts_s: list[float] = []
    while True:
        path = f"/executions?after={len(starts_s)}"
        page = orjson.loads(fetch(host.backend_port, path)[1])
        starts_s += [e["started_s"] for e in page["executions"]]
        if len(starts_s) >= page["total"]:
            return starts_s


def check_rate(starts_s: list[float]) -> None:
    """Check the number of starts in every window; the limit is the target."""
    limit = RATE_EXCESS_RATIO * RATE_LIMIT_PER_S * RATE_WINDOW_S
    limit += RATE_EXCESS_CALLS
    for index, first_s in enumerate(starts_s):
        window = [s for s in starts_s[index:] if s < first_s + RATE_WINDOW_S]
        assert len(window) <= limit, (
            f"{len(window)} calls in {RATE_WINDOW_S} s from {first_s:.3f}, "
            f"allowed {limit:.0f} at {RATE_LIMIT_PER_S} a second"
        )


def check_departure(
    departed_s: float,
    excused_s: list[tuple[float, float]],
    starts_s: list[float],
) -> None:
    """Check that no call started after a departure, 0 if there is none."""
    if not departed_s:
        return
    late_s = [
        s - departed_s
        for s in starts_s
        if s > departed_s + DRAIN_S
        and not any(first_s <= s <= last_s for first_s, last_s in excused_s)
    ]
    assert not late_s, (
        f"{len(late_s)} calls later than {DRAIN_S} s after a departure, the "
        f"first {late_s[0]:.3f} s after it"
    )


def commit_final_change(system: System) -> None:
    """Commit a change on top of the latest revision in force on any node."""
    revisions = [
        system.deployment.read_revision(host) for host in system.hosts
    ]
    system.revision = max(revisions)
    system.commit_change()
