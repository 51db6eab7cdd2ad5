"""A fleet of nodes that share quotas, simulated without a network."""

import heapq
import itertools
import random
from collections.abc import Callable

from auburnjunction.http.clients import Address
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.organisations.tests.node_support import SimulatedNode

SETTINGS = OrganisationSettings(
    quota_window_s=5.0, quota_overage=0.1, quota_slack=20.0
)
# Ranges of the time after which a node sees another one fail, and return.
FAILURE_DETECTION_S = (1.0, 6.0)
RETURN_DETECTION_S = (0.2, 1.5)
# Time from the announcement of a leaving node to its end.
LEAVING_S = 1.0
ONE_WAY_S = (0.0003, 0.0054)
HTTP_BYTES = 120


class Fleet:
    """Nodes, the network between them, and what their callers see."""

    def __init__(
        self,
        node_count: int,
        organisations: list[Organisation],
        seed: int = 1,
        data_centres: int = 3,
        settings: OrganisationSettings = SETTINGS,
        is_fresh: bool = True,
        refused_share: float = 0.02,
    ):
        self.rng = random.Random(seed)
        self.settings = settings
        # Part of the requests that their instance refuses.
        self._refused_share = refused_share
        self._initial = organisations
        self.organisations = {item.name: item for item in organisations}
        # Late enough for any process to have been started a window ago.
        self.now_s = 1000.0
        self._events: list = []
        self._order = itertools.count()
        # Whether any process was stopped or cut off so far.
        self.has_faults = False
        self._cuts: set[frozenset[str]] = set()
        # Times of the last changes of what two nodes can see of each other.
        self._changes: dict[tuple, tuple[float, bool]] = {}
        self.runs: dict[str, list[float]] = {}
        self.offered = self.refused = self.waits = 0
        self.messages = self.bytes = 0
        self.nodes = {
            f"n{index}": SimulatedNode(
                self, f"n{index}", f"dc-{index % data_centres}"
            )
            for index in range(node_count)
        }
        self.records = [
            Node(
                node.name,
                node.data_centre,
                Address("host", 1),
                NodeState.ALIVE,
                incarnation=1,
                version=1,
            )
            for node in self.nodes.values()
        ]
        for node in self.nodes.values():
            node.start()
        if is_fresh:
            self._start_fresh()

    def _start_fresh(self) -> None:
        for node in self.nodes.values():
            node.roster.refresh(self.now_s)
            node.home.update(self.organisations, self.now_s)
            node.home.start_fresh()
            node.holder.start_fresh()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        entry = (max(time_s, self.now_s), next(self._order), action)
        heapq.heappush(self._events, entry)

    def advance(self, duration_s: float) -> None:
        """Run all events of a span of time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run(self, node: SimulatedNode, charge) -> None:
        """Run a charged request, up to quota_transit_s later.

        The charge of a request that its instance refuses is taken back.
        """
        if self.rng.random() < self._refused_share:
            node.later(
                self.rng.uniform(0, 3),
                lambda: node.holder.refund(charge, self.now_s),
            )
            return
        delay_s = self.settings.quota_transit_s
        if self.rng.random() < 0.9:
            delay_s = 0.01
        times_s = self.runs.setdefault(charge.organisation, [])
        times_s.append(self.now_s + self.rng.uniform(0, delay_s))

    def post(self, sender, other: str, message, handle, receive) -> None:
        """Deliver a message and its response, unless the network is cut."""
        receiver = self.nodes[other]
        incarnation = sender.incarnation
        size = len(message.SerializeToString()) if message else 40
        self.messages += 1
        self.bytes += size + HTTP_BYTES

        def deliver() -> None:
            result, response = handle(receiver)
            self.messages += 1
            self.bytes += len(response.SerializeToString()) + HTTP_BYTES
            # A process that has ended gets no response.
            is_same = sender.incarnation == incarnation
            if is_same and not self.is_cut(sender, receiver):
                sender.later(
                    self._draw_delay(sender, receiver), receive, result
                )

        if not self.is_cut(sender, receiver) and receiver.is_up:
            receiver.later(self._draw_delay(sender, receiver), deliver)

    def is_cut(self, first: SimulatedNode, second: SimulatedNode) -> bool:
        """Return whether two nodes are cut off from each other."""
        return frozenset((first.name, second.name)) in self._cuts

    def cut(self, names: set[str]) -> None:
        """Cut nodes off from all others; an empty set heals the network."""
        self.has_faults = True
        self._cuts = {
            frozenset((first, second))
            for first in names
            for second in self.nodes.keys() - names
        }

    def restart(self, name: str, down_s: float) -> None:
        """Kill a node's process and start another one later."""
        self.has_faults = True
        node = self.nodes[name]
        node.is_up = False
        self.at(self.now_s + down_s, node.start)

    def leave(self, name: str, down_s: float) -> None:
        """Let a node leave in order, and start again later."""
        self.has_faults = True
        self.nodes[name].is_leaving = True
        self.at(self.now_s + LEAVING_S, lambda: self.restart(name, down_s))

    def pause(self, name: str, duration_s: float) -> None:
        """Stop a node's process for a while."""
        self.has_faults = True
        self.nodes[name].paused_until_s = self.now_s + duration_s

    def set_quota(self, name: str, rate_per_s: float, burst: float) -> None:
        """Bring another quota into force at all nodes."""
        self.organisations[name] = Organisation(
            name, rate_per_s=rate_per_s, burst=burst
        )

    def scale_quotas(self, factor: float) -> None:
        """Bring the initial quotas, times a factor, into force."""
        for item in self._initial:
            self.set_quota(
                item.name, item.rate_per_s * factor, item.burst * factor
            )

    def find_state(
        self, viewer: SimulatedNode, node: SimulatedNode
    ) -> NodeState:
        """Return a node's state in the view of another one.

        The view follows the truth after a random time.
        """
        key = (viewer.name, node.name, viewer.incarnation)
        if node.is_leaving and not self.is_cut(viewer, node):
            self._changes[key] = (self.now_s, False)
            return NodeState.LEAVING
        if viewer is node:
            return NodeState.ALIVE
        is_paused = self.now_s < node.paused_until_s
        is_alive = node.is_up and not is_paused
        is_alive = is_alive and not self.is_cut(viewer, node)
        changed_s, seen = self._changes.setdefault(key, (self.now_s, True))
        if is_alive == seen:
            self._changes[key] = (self.now_s, seen)
        elif self.now_s - changed_s >= self.rng.uniform(
            *(RETURN_DETECTION_S if is_alive else FAILURE_DETECTION_S)
        ):
            seen = is_alive
            self._changes[key] = (self.now_s, seen)
        return NodeState.ALIVE if seen else NodeState.DEAD

    def find_bound(self, name: str) -> float:
        """Return the number of requests that may run in any window."""
        organisation = self.organisations[name]
        cfg = self.settings
        quota = organisation.rate_per_s * cfg.quota_window_s
        quota += organisation.burst
        return quota * (1 + cfg.quota_overage) + cfg.quota_slack

    def find_peak(
        self, name: str, from_s: float = 0.0, to_s: float = float("inf")
    ) -> int:
        """Return the most requests that ran within any window."""
        times_s = sorted(
            t for t in self.runs.get(name, ()) if from_s <= t <= to_s
        )
        first = peak = 0
        for index, time_s in enumerate(times_s):
            while time_s - times_s[first] > self.settings.quota_window_s:
                first += 1
            peak = max(peak, index - first + 1)
        return peak

    def _draw_delay(self, first, second) -> float:
        is_local = first.data_centre == second.data_centre
        return ONE_WAY_S[not is_local] * self.rng.uniform(1, 1.5)
