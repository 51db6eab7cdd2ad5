"""Quarantine and probation of requests in a simulated fleet, no network."""

import heapq
import itertools
from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.messages import HttpRequest
from auburnjunction.membership.crashes import (
    CRASH_LIMIT,
    JOINT_HOLD_S,
    Crash,
    CrashLog,
    decode_crashes,
    encode_crashes,
)
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.fingerprints import compute_fingerprint
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES
from auburnjunction.traffic.quarantines import Quarantine

# The users' limits: nodes know of the third crash within this time, and then
# at most so many repeats of the request reach backend servers.
CONTACT_S = 3.0
MAX_REPEATS = 3
NODES = 16
MESSAGE_S = 0.2
RESTART_S = 3.0
INTERVAL_S = 0.5
END_S = 60.0
REQUEST = HttpRequest(b"POST", b"/boxes/2", [(b"host", b"mesh")], b"poison")
FINGERPRINT = compute_fingerprint(REQUEST, DEFAULT_HEADER_NAMES)


@attrs.define(eq=False)
class SimulatedNode:
    """A node with its backend server."""

    name: str
    clock: ManualClock
    log: CrashLog = None
    quarantine: Quarantine = None
    ready_s: float = 0.0
    incarnation: int = 1
    runs: dict = attrs.field(factory=dict)

    def restart(self, peer=None):
        """Lose the log; take over that of a peer, as gossip does."""
        self.log = CrashLog(self.clock, self.on_clearance)
        self.quarantine = Quarantine(self.log)
        if peer is not None:
            messages = encode_crashes(peer.log.select(), self.clock)
            self.log.add(decode_crashes(messages, self.clock))

    def on_clearance(self, clearances):
        self.cleared = clearances

    cleared: list = attrs.field(factory=list)

    @property
    def instance(self):
        return Instance(
            self.name,
            "box",
            InstanceState.READY,
            3,
            0,
            self.name,
            "one",
            "h",
            1,
        )


class SimulatedFleet:
    """Nodes that pass on crashes, and backend servers that may crash."""

    def __init__(self, crashes_servers, run_s, seed=0):
        self.clock = ManualClock()
        self.random = Random(seed)
        self.crashes_servers = crashes_servers
        self.run_s = run_s
        self.nodes = [SimulatedNode(f"n{i}", self.clock) for i in range(NODES)]
        for node in self.nodes:
            node.restart()
        self.cut = set()
        self.starts = []
        self.crashes_s = []
        self.answers = []
        self._events = []
        self._order = itertools.count()

    def at(self, delay_s, action, *args):
        time_s = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (time_s, next(self._order), action, args))

    def run(self, end_s=END_S):
        end_s += self.clock.monotonic()
        while self._events and self._events[0][0] <= end_s:
            time_s, _, action, args = heapq.heappop(self._events)
            self.clock.advance(time_s - self.clock.monotonic())
            action(*args)

    def call_repeatedly(self, index):
        """Send the request at a node; come again like an eager caller."""
        self.at(INTERVAL_S, self.call_repeatedly, index)
        entry = self.nodes[index]
        call = Call(
            "1",
            "r",
            "box",
            Priority.NORMAL,
            True,
            ClaimMode.NONE,
            1e9,
            1,
            REQUEST,
        )
        reached = [
            n for n in self.nodes if (n in self.cut) == (entry in self.cut)
        ]
        try:
            if entry.quarantine.is_on_probation(call):
                call.probe = True
                instance = entry.quarantine.choose_probed(
                    call, [n.instance for n in reached]
                )
                owner = next(n for n in reached if n.name == instance.node)
            else:
                entry.quarantine.check(call)
                owner = self.random.choice(reached)
            if self.clock.monotonic() < owner.ready_s:
                return
            owner.quarantine.start_run(call)
        except NotRunError:
            return
        self.starts.append((self.clock.monotonic(), owner))
        owner.runs[id(call)] = call, self.clock.monotonic()
        self.at(self.run_s, self.end_run, owner, call, owner.incarnation)

    def end_run(self, owner, call, incarnation):
        if owner.incarnation != incarnation:
            return
        if self.crashes_servers:
            self.end_server(owner)
            return
        del owner.runs[id(call)]
        owner.quarantine.end_run(call)
        owner.log.record_answer(FINGERPRINT)
        self.answers.append(self.clock.monotonic())
        if owner.cleared:
            self.spread(owner, "clear", owner.cleared)

    def end_server(self, owner):
        """End the backend server of a node with all that it runs."""
        now_s = self.clock.monotonic()
        started = [s for _, s in owner.runs.values()]
        for call, _ in owner.runs.values():
            owner.quarantine.end_run(call)
        owner.runs = {}
        if started:
            crash = Crash(
                FINGERPRINT,
                owner.name,
                owner.incarnation,
                now_s,
                now_s - max(started),
            )
            self.crashes_s.append(now_s)
            owner.log.add([crash])
            self.spread(owner, "add", [crash])
        owner.incarnation += 1
        owner.ready_s = now_s + RESTART_S

    def spread(self, sender, kind, items):
        for node in self.nodes:
            if node is not sender:
                self.at(MESSAGE_S, self.deliver, sender, node, kind, items)

    def deliver(self, sender, node, kind, items):
        if (node in self.cut) != (sender in self.cut):
            self.at(1.0, self.deliver, sender, node, kind, items)
            return
        getattr(node.log, kind)(items)

    def count_repeats(self):
        """Return the runs at connected nodes that came too late."""
        limit_s = self.crashes_s[CRASH_LIMIT - 1] + CONTACT_S
        return sum(s > limit_s and n not in self.cut for s, n in self.starts)


def start(fleet, callers, entries, spread_s):
    for number in range(callers):
        fleet.at(
            spread_s * number / callers,
            fleet.call_repeatedly,
            number * entries // callers % NODES,
        )


# Guards against a crashing request that is sent again to all backend servers
# once a quarantine has ended, however its callers are spread, and though a
# node restarts or is cut off.
@pytest.mark.parametrize("run_s", [0.05, 0.3, 2.0])
@pytest.mark.parametrize("spread_s", [0.0, 0.1, 3.0])
@pytest.mark.parametrize(("callers", "entries"), [(1, 1), (8, 1), (8, 16)])
@pytest.mark.parametrize("fault", [None, "restart", "cut"])
def test_crashing_request_stays_held(run_s, spread_s, callers, entries, fault):
    fleet = SimulatedFleet(True, run_s)
    if fault == "cut":
        fleet.cut = {fleet.nodes[15]}
    start(fleet, callers, entries, spread_s)
    if fault == "restart":
        fleet.at(8.0, fleet.nodes[3].restart, fleet.nodes[0])
    fleet.run()
    assert fleet.count_repeats() <= MAX_REPEATS


@settings(max_examples=60, deadline=None)
@given(
    run_s=st.floats(0.05, 2.0),
    spread_s=st.floats(0.0, 3.0),
    callers=st.integers(1, 16),
    seed=st.integers(0, 1000),
)
def test_crashing_request_stays_held_for_any_callers(
    run_s, spread_s, callers, seed
):
    fleet = SimulatedFleet(True, run_s, seed)
    start(fleet, callers, NODES, spread_s)
    fleet.run()
    assert fleet.count_repeats() <= MAX_REPEATS


# Guards against a harmless request that stays refused after one cause from
# outside has ended all backend servers that ran it, and against a probe at
# each node.
@pytest.mark.parametrize("run_s", [0.5, 2.0])
@pytest.mark.parametrize("fault", [None, "restart"])
def test_harmless_request_is_released_by_one_probe(run_s, fault):
    fleet = SimulatedFleet(False, run_s)
    start(fleet, 8, 16, 0.0)
    fleet.at(run_s * 0.7, lambda: [fleet.end_server(n) for n in fleet.nodes])
    if fault == "restart":
        fleet.at(8.0, fleet.nodes[3].restart, fleet.nodes[0])
    held_until_s = fleet.clock.monotonic() + run_s + JOINT_HOLD_S
    fleet.run()
    assert fleet.nodes[0].log.is_empty
    first_s = min(s for s in fleet.answers if s > held_until_s - 1.0)
    probes = [s for s, _ in fleet.starts if held_until_s - 3 < s < first_s]
    assert len(probes) == 1
    assert len([s for s in fleet.answers if s > first_s + 2.0]) > 100
