"""Tasks of roll-outs on one node: orders, judgement, writes, exchange."""

import random
from contextlib import asynccontextmanager

import curio
import xxhash
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.memberships import Membership
from auburnjunction.rollouts.contacts import FleetContacts
from auburnjunction.rollouts.orders import (
    UNKNOWN_AGE_SHARE,
    Phase,
    ReadOrder,
    Rollout,
    RolloutAdapters,
)
from auburnjunction.rollouts.peers import RolloutPeers
from auburnjunction.rollouts.selectors import FleetVersionSelector
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.states import ServiceState
from auburnjunction.rollouts.statistics import RolloutMetrics, RolloutStats
from auburnjunction.rollouts.writers import StatusWriter
from auburnjunction.storage.tables import PlatformError

# Interval of the steps that read orders, plan shares and push news.
STEP_INTERVAL_S = 0.1
# Interval of exchanges of evidence while a roll-out is under way. Pulling
# from one peer each time, evidence takes about 1.5 s to 61 nodes. It is a
# smaller part of rollback_ms where that is short.
ACTIVE_INTERVAL_S = 0.25
ROLLBACK_PART = 0.05
# Interval of exchanges of roll-outs that have ended, for restarted nodes. A
# node that missed the push of an order learns of it within a smaller part of
# config_apply_ms.
IDLE_INTERVAL_S = 2.0
APPLY_PART = 0.8
# Interval at which counters are published.
PUBLISH_INTERVAL_S = 0.4
# Interval at which readers read the status row of a roll-out under way; they
# may be cut off from the node that writes the verdict.
STATUS_INTERVAL_S = 1.0
# A node is a reader of the head until this long after its last read. Reads
# are long polls of up to 5 s.
READER_S = 6.0
# Time for which all nodes must have reported that they send to the target
# only before the roll-out is completed.
FULL_S = 0.4
# Peers that a starting node asks for roll-outs.
START_PEERS = 2


class RolloutCoordinator:
    """Runs the roll-outs that this node knows of."""

    def __init__(
        self,
        settings: RolloutSettings,
        selector: FleetVersionSelector,
        membership: Membership,
        peers: RolloutPeers,
        adapters: RolloutAdapters,
        clock: Clock,
        rng: random.Random,
        stats: RolloutStats,
    ):
        self._contacts = FleetContacts(
            lambda: peers.node_count,
            settings.contact_ms / 1000,
            clock.monotonic(),
        )
        self._active_interval_s = min(
            ACTIVE_INTERVAL_S, ROLLBACK_PART * settings.rollback_ms / 1000
        )
        self._idle_interval_s = min(
            IDLE_INTERVAL_S, APPLY_PART * settings.config_apply_ms / 1000
        )
        self.selector = selector
        self._membership = membership
        self._peers = peers
        self._adapters = adapters
        self._clock = clock
        self._random = rng
        self._stats = stats
        self._group: curio.TaskGroup | None = None
        self._writers: dict[str, StatusWriter] = {}
        self._unread: dict[str, ReadOrder] = {}
        self._is_reading = False
        self._era: int | None = None
        self._published_s = 0.0
        self._status_read_s = 0.0
        self._full_since_s: dict[str, float] = {}
        self._start_peers_left = START_PEERS

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /rollouts of another node."""
        return await self._peers.handle(request)

    async def run(self, group: curio.TaskGroup) -> None:
        """Start the tasks in a group."""
        self._group = group
        await group.spawn(run_forever, self.step, self._clock, STEP_INTERVAL_S)
        await group.spawn(
            run_forever,
            self.exchange,
            self._clock,
            lambda: self._random.uniform(0.8, 1.2) * self._find_interval(),
        )

    @property
    def _is_reader(self) -> bool:
        age_s = self._clock.monotonic() - self._adapters.orders.read_s
        return age_s < READER_S

    def _list_rollouts(self) -> list[tuple[str, ServiceState]]:
        states = self.selector.states.items()
        return [(name, s) for name, s in states if s.rollout is not None]

    def _find_interval(self) -> float:
        phases = [s.rollout.phase for _, s in self._list_rollouts()]
        is_active = any(not phase.is_final for phase in phases)
        if is_active or self._start_peers_left:
            return self._active_interval_s
        return self._idle_interval_s

    async def exchange(self) -> None:
        """Exchange with one peer, if there is anything to exchange.

        Without a known roll-out, only a starting node asks its peers.
        """
        if not self._list_rollouts() and not self._start_peers_left:
            return
        peer = self._peers.choose_peer()
        if peer is None:
            return
        has_responded = await self._peers.exchange(peer)
        if has_responded and self._start_peers_left:
            self._start_peers_left -= 1

    async def step(self) -> None:
        """Adopt orders, judge targets, write statuses and push news."""
        await self._start_reading_orders()
        now_s = self._clock.monotonic()
        self._contacts.observe(now_s)
        self._publish(now_s)
        for service, state in list(self.selector.states.items()):
            self._refresh(service, state, now_s)
        await self._write_statuses()
        await self._check_statuses(now_s)
        await self._push_news()

    def _publish(self, now_s: float) -> None:
        if now_s - self._published_s < PUBLISH_INTERVAL_S:
            return
        self._published_s = now_s
        for _, state in self._list_rollouts():
            if not state.rollout.phase.is_final:
                state.publish(now_s)

    async def _start_reading_orders(self) -> None:
        """Start to read the status rows of new orders."""
        source = self._adapters.orders
        for read in source.take():
            self._unread[read.order.service] = read
        if self._era is not None and source.era > self._era:
            for service, state in self._list_rollouts():
                if state.rollout.phase.is_final:
                    self._find_writer(service).is_lost = True
        self._era = source.era
        if self._unread and not self._is_reading:
            # A slow store must not delay the judgement.
            await self._group.spawn(self._read_orders, daemon=True)

    async def _read_orders(self) -> None:
        """Adopt the orders, each with its status row."""
        self._is_reading = True
        try:
            for service, read in list(self._unread.items()):
                await self._read_order(read)
                if self._unread.get(service) is read:
                    del self._unread[service]
        except PlatformError as exc:
            # The remaining orders are kept for the next step.
            self._stats.failed_status_calls += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                "status row of a roll-out not read: %s",
                5,
                exc.message,
            )
        finally:
            self._is_reading = False

    async def _read_order(self, read: ReadOrder) -> None:
        order = read.order
        held = self.selector.find_state(order.service).rollout
        if held is not None and held.order == order:
            return
        writer = self._find_writer(order.service)
        status = await writer.read()
        phase = status.find_phase(order.target)
        age_s = 0.0
        if phase is Phase.RUNNING and not read.is_fresh:
            age_s = UNKNOWN_AGE_SHARE * order.judging_s
        self._stats.orders += 1
        started_s = self._clock.monotonic() - age_s
        self._peers.adopt(Rollout(order, started_s, phase))
        state = self.selector.find_state(order.service)
        if state.rollout.phase.is_final and not phase.is_final:
            writer.is_lost = True

    def _refresh(
        self, service: str, state: ServiceState, now_s: float
    ) -> None:
        instances = self._membership.find_instances(service)
        if not state.is_active:
            state.observe_instances(instances, now_s)
            return
        contact = self._contacts.find(state.book, now_s)
        if state.refresh(
            instances,
            now_s,
            has_contact=contact.has_others,
            has_majority=contact.has_majority,
        ):
            self._stats.verdicts += 1
            self._peers.report(service)

    def _find_writer(self, service: str) -> StatusWriter:
        writer = self._writers.get(service)
        if writer is None:
            writer = self._writers[service] = StatusWriter(
                service,
                self.selector.find_state(service),
                self._adapters.statuses,
                self._clock,
                self._random,
                self._stats,
            )
        return writer

    def _find_wanted(self, service: str, state: ServiceState) -> Phase | None:
        """Return the phase that the status row should have, if to write."""
        phase = state.rollout.phase
        if phase.is_final:
            return phase if self._find_writer(service).is_lost else None
        if phase is Phase.CONDEMNED:
            return Phase.ROLLED_BACK
        if phase is Phase.ACCEPTED and self._is_everywhere(service, state):
            return Phase.COMPLETED
        return Phase.RUNNING if phase is Phase.ORDERED else None

    def _is_everywhere(self, service: str, state: ServiceState) -> bool:
        """Return whether all connected nodes send to the target only.

        Nodes that have published nothing for contact_s are left out.
        """
        now_s = self._clock.monotonic()
        contact = self._contacts.find(state.book, now_s)
        is_past_ramp = state.rollout.is_past_ramp(now_s)
        if (
            (contact.has_unheard and not is_past_ramp)
            or not (contact.has_majority and contact.are_full)
            or not state.is_full
        ):
            self._full_since_s.pop(service, None)
            return False
        since_s = self._full_since_s.setdefault(service, now_s)
        return now_s - since_s >= FULL_S

    async def _write_statuses(self) -> None:
        for service, state in self._list_rollouts():
            writer = self._find_writer(service)
            wanted = self._find_wanted(service, state)
            if writer.plan(wanted, self._is_reader):
                await self._group.spawn(
                    self._write_status, service, state, daemon=True
                )

    async def _write_status(self, service: str, state: ServiceState) -> None:
        def is_wanted(phase: Phase) -> bool:
            return self._find_wanted(service, state) is phase

        if await self._find_writer(service).write(is_wanted):
            self._peers.report(service)

    async def _check_statuses(self, now_s: float) -> None:
        """Read the status rows of roll-outs under way, as a reader."""
        if now_s - self._status_read_s < STATUS_INTERVAL_S:
            return
        self._status_read_s = now_s
        if not self._is_reader:
            return
        for service, state in self._list_rollouts():
            if not state.rollout.phase.is_final:
                await self._group.spawn(
                    self._check_status, service, state, daemon=True
                )

    async def _check_status(self, service: str, state: ServiceState) -> None:
        target = state.rollout.order.target
        writer = self._find_writer(service)
        try:
            status = await writer.read()
        except PlatformError:
            self._stats.failed_status_calls += 1
            return
        phase = status.find_phase(target)
        if phase >= Phase.RUNNING and writer.adopt(target, phase):
            self._peers.report(service)
        now_s = self._clock.monotonic()
        if self._contacts.find(state.book, now_s).has_unheard:
            await self._exchange_acceptance(service, state, target)

    async def _exchange_acceptance(
        self, service: str, state: ServiceState, target: str
    ) -> None:
        """Write that the target is accepted, or read it, in the store.

        A part of the fleet that is cut off from the others, but not from the
        store, then raises its share in time for the completion.
        """
        writer = self._find_writer(service)
        try:
            if state.rollout.phase is Phase.ACCEPTED:
                await writer.share_acceptance()
            elif state.rollout.phase is Phase.RUNNING:
                status = await writer.read_acceptance()
                if status.phase is Phase.ACCEPTED and writer.adopt(
                    target, Phase.ACCEPTED
                ):
                    self._peers.report(service)
        except PlatformError:
            self._stats.failed_status_calls += 1

    async def _push_news(self) -> None:
        if not self._peers.news:
            return
        services = set(self._peers.news)
        self._peers.news.clear()
        for target in self._peers.choose_targets():
            await self._group.spawn(
                self._peers.push, target, services, daemon=True
            )


@asynccontextmanager
async def open_rollouts(
    settings: RolloutSettings,
    node: str,
    data_centre: str,
    membership: Membership,
    pools: PoolRegistry,
    adapters: RolloutAdapters | None,
    clock: Clock,
    rng: random.Random,
    metrics: MetricRegistry,
):
    """Yield a running RolloutCoordinator, or None if roll-outs are off."""
    if not settings.enabled or adapters is None:
        yield None
        return
    # Differs between restarts of the node, whose counters start from 0.
    text = f"{node}/{rng.getrandbits(64)}"
    source = xxhash.xxh64_intdigest(text.encode())
    identity = NodeIdentity(node, data_centre, source, clock.monotonic())
    selector = FleetVersionSelector(identity, settings, clock, rng)
    stats = RolloutStats()
    peers = RolloutPeers(
        identity, selector, membership, pools, clock, rng, stats
    )
    coordinator = RolloutCoordinator(
        settings, selector, membership, peers, adapters, clock, rng, stats
    )
    RolloutMetrics(metrics, stats, selector)
    log_event("roll-outs are judged by this node", source=source)
    async with open_task_group() as group:
        await coordinator.run(group)
        yield coordinator
