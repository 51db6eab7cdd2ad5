"""Seeded simulation of a fleet that judges a version, without network.

Nodes hold real service states and pull evidence from one random node every
GOSSIP_S. Instances have three slots each, of different speeds.
"""

import heapq
import math
import random
from collections.abc import Callable

import attrs

from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.rollouts.orders import Order, Phase, Rollout
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.states import ServiceState

SERVICE = "orders"
OLD, NEW = "v1", "v2"
ROUTES = (("read", 0.6), ("list", 0.25), ("pay", 0.1), ("rare", 0.05))
RAMP_S = 12.0
RESERVE_S = 3.0
GOSSIP_S = 0.25
# Instances have run for this long at the order.
LEAD_S = 4.0
SLOTS = 3
MEDIAN_S = 0.04
SIGMA = 0.5
# Queued requests of an instance beyond which it refuses further ones.
QUEUE = 6
# Deadline of requests; a later answer counts as bad.
DEADLINE_S = 0.4
# Bad answers after which the time limit of a rollback begins.
BAD_LIMIT = 50


@attrs.frozen
class Situation:
    """What an answer of the version under test depends on."""

    age_s: float
    route: str
    busy: int
    instance: int


@attrs.frozen
class Behaviour:
    """Share of bad answers and factor of durations of a version."""

    name: str
    # Times from and to which the fleet gets that many times the requests.
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    bad: Callable[[Situation], float] = lambda _: 0.0
    slow: Callable[[Situation], float] = lambda _: 1.0


@attrs.define
class Backend:
    """One simulated instance."""

    instance: Instance
    index: int
    speed: float
    slots: list[float] = attrs.field(factory=lambda: [0.0] * SLOTS)
    waiting: list[float] = attrs.field(factory=list)

    def count_busy(self, now_s: float) -> int:
        """Return the slots in use."""
        return sum(end_s > now_s for end_s in self.slots)

    def is_full(self, now_s: float) -> bool:
        """Return whether a further request would be refused."""
        self.waiting = [s for s in self.waiting if s > now_s]
        return len(self.waiting) >= QUEUE


@attrs.define
class Result:
    """Outcome of one simulated roll-out."""

    phase: Phase
    # Time of the verdict, or of acceptance by all nodes at share 1.
    ended_s: float
    requests: int = 0
    exposed: int = 0
    bad: int = 0
    # Times of the 50th bad answer and of the last request to the target.
    fiftieth_s: float = math.inf
    last_s: float = 0.0

    def find_limit(self, settings: RolloutSettings) -> float:
        """Return the requests that a bad version may get."""
        share = settings.exposure_share
        return share * self.requests + settings.exposure_slack


class Simulation:
    """One roll-out over a fleet of nodes."""

    def __init__(
        self,
        behaviour: Behaviour,
        seed: int,
        nodes: int = 20,
        instances: int = 30,
        rate_per_s: float = 660.0,
    ):
        self._behaviour = behaviour
        self._random = random.Random(seed)
        self._rate_per_s = rate_per_s
        self.settings = RolloutSettings(enabled=True)
        self._nodes = [
            ServiceState(
                NodeIdentity(f"n{i}", f"dc{i % 3}", i + 1, -100.0),
                self.settings,
                self._random,
            )
            for i in range(nodes)
        ]
        self._backends = {}
        for version in (OLD, NEW):
            for i in range(instances):
                self._add_backend(version, i)
        self._instances = tuple(b.instance for b in self._backends.values())
        self._pending: list[tuple] = []
        self._weights = [
            self._random.lognormvariate(0, 0.7) for _ in self._nodes
        ]

    def _add_backend(self, version: str, index: int) -> None:
        instance = Instance(
            f"{version}-{index}", SERVICE, InstanceState.READY, SLOTS, 0,
            f"h{index}", f"dc{index % 3}", "127.0.0.1", 1, (),
            1000 if version == OLD else 90_000, version,
        )  # fmt: skip
        speed = self._random.uniform(0.6, 1.6)
        self._backends[instance.instance] = Backend(instance, index, speed)

    def run(self) -> Result:
        """Return the outcome by the end of the reserve."""
        result = Result(Phase.ORDERED, math.inf)
        for state in self._nodes:
            for at_s in (-LEAD_S, 0.0):
                state.observe_instances(self._instances, at_s)
        now_s, next_round_s = 0.0, 0.0
        end_s = RAMP_S + RESERVE_S
        order = Order(SERVICE, NEW, RAMP_S, 0, 5)
        for state in self._nodes:
            state.adopt(Rollout(order, 0.0, Phase.RUNNING), len(self._nodes))
        while now_s < end_s:
            now_s += self._random.expovariate(self._find_rate(now_s))
            while next_round_s <= now_s:
                self._end_requests(next_round_s, result)
                self._run_round(next_round_s, result)
                next_round_s += GOSSIP_S
            self._send(now_s, result)
        result.phase = max(s.rollout.phase for s in self._nodes)
        return result

    def _find_rate(self, now_s: float) -> float:
        start_s, end_s, factor = self._behaviour.burst
        is_burst = start_s <= now_s < end_s
        return self._rate_per_s * (factor if is_burst else 1.0)

    def _run_round(self, now_s: float, result: Result) -> None:
        for state in self._nodes:
            state.publish(now_s)
        count = len(self._nodes)
        for state in self._nodes:
            peer = self._random.choice(self._nodes)
            held = state.book.list_sequences()
            state.book.merge(peer.book.select_news(held))
            state.adopt(peer.rollout, count)
            heard = state.book.find_nodes(now_s - 3.0)
            state.refresh(
                self._instances,
                now_s,
                len(heard) > 1,
                2 * len(heard) > count,
            )
        phases = [state.rollout.phase for state in self._nodes]
        shares = [state.share for state in self._nodes]
        is_ended = Phase.CONDEMNED in phases or min(shares) >= 1.0
        if is_ended:
            result.ended_s = min(result.ended_s, now_s)

    def _send(self, now_s: float, result: Result) -> None:
        state = self._random.choices(self._nodes, self._weights)[0]
        names, weights = zip(*ROUTES, strict=True)
        route = self._random.choices(names, weights)[0]
        result.requests += 1
        for is_first in (True, False):
            found = state.select(route, self._instances, is_first, now_s)
            local = [
                i
                for i in found.instances
                if i.data_centre == state.data_centre
            ]
            two = self._random.choices(local, k=2)
            backends = [self._backends[i.instance] for i in two]
            backend = min(backends, key=lambda b: b.count_busy(now_s))
            busy = backend.count_busy(now_s)
            if found.has_fallback and busy >= SLOTS:
                continue
            if not backend.is_full(now_s):
                self._run_request(state, route, backend, now_s, result)
            return

    def _run_request(
        self, state, route: str, backend: Backend, now_s, result: Result
    ) -> None:
        is_new = backend.instance.version == NEW
        busy = backend.count_busy(now_s)
        index = backend.slots.index(min(backend.slots))
        start_s = max(now_s, backend.slots[index])
        if start_s > now_s:
            backend.waiting.append(start_s)
        work_s = MEDIAN_S * self._random.lognormvariate(0, SIGMA)
        bad_share = 0.002
        if is_new:
            situation = Situation(now_s, route, busy, backend.index)
            work_s *= self._behaviour.slow(situation)
            bad_share = max(bad_share, self._behaviour.bad(situation))
            result.exposed += 1
            result.last_s = now_s
        end_s = start_s + work_s * backend.speed
        backend.slots[index] = end_s
        is_late = end_s - now_s > DEADLINE_S
        is_bad = is_late or self._random.random() < bad_share
        entry = (end_s, self._random.random(), state, route, backend, now_s)
        heapq.heappush(self._pending, (*entry, is_bad, is_late))

    def _end_requests(self, now_s: float, result: Result) -> None:
        while self._pending and self._pending[0][0] <= now_s:
            entry = heapq.heappop(self._pending)
            end_s, _, state, route, backend, start_s, is_bad, is_late = entry
            instance = backend.instance
            if is_bad and instance.version == NEW:
                result.bad += 1
                if result.bad == BAD_LIMIT:
                    result.fiftieth_s = end_s
            duration_s = end_s - start_s
            state.count_answer(
                route, instance, is_bad, is_late, duration_s, end_s
            )


BEHAVIOURS = (
    Behaviour("good"),
    Behaviour("good, 1.3 times slower", slow=lambda _: 1.3),
    Behaviour(
        "good, a third of its instances 5 times slower for 3 s",
        slow=lambda s: 5.0 if s.instance % 3 == 0 and 4 < s.age_s < 7 else 1,
    ),
    Behaviour(
        "good, one instance fails all",
        bad=lambda s: 1.0 if s.instance == 4 else 0.0,
    ),
    Behaviour("good, 2.4 times the requests from 4 to 7 s", (4, 7, 2.4)),
    Behaviour("good, 1.7 times the requests from 8 to 11 s", (8, 11, 1.7)),
    Behaviour("bad: fails 30% at once", bad=lambda _: 0.3),
    Behaviour("bad: fails 10% at once", bad=lambda _: 0.1),
    Behaviour("bad: fails 30% from 5 s on", bad=lambda s: 0.3 * (s.age_s > 5)),
    Behaviour("bad: fails 30% from 8 s on", bad=lambda s: 0.3 * (s.age_s > 8)),
    Behaviour(
        "bad: fails 30% from 10 s on", bad=lambda s: 0.3 * (s.age_s > 10)
    ),
    Behaviour(
        "bad: fails 50% with 2 or more slots in use",
        bad=lambda s: 0.5 * (s.busy >= 2),
    ),
    Behaviour(
        "bad: fails 40% on a route with 5% of the requests",
        bad=lambda s: 0.4 * (s.route == "rare"),
    ),
    Behaviour("bad: 3 times slower", slow=lambda _: 3.0),
    Behaviour("bad: 5 times slower", slow=lambda _: 5.0),
    Behaviour(
        "bad: 4 times slower from 6 s on",
        slow=lambda s: 4.0 if s.age_s > 6 else 1.0,
    ),
)
