"""Membership of one node: local backend servers, gossip and view."""

import random
from contextlib import asynccontextmanager

import attrs
import curio
import orjson

from auburnjunction.base.clocks import Clock
from auburnjunction.base.settings import SettingsError, parse_settings
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.http.clients import Address, PoolRegistry, parse_address
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.cluster_states import ClusterState, Listener
from auburnjunction.membership.crashes import Crash, CrashLog
from auburnjunction.membership.departures import Departure
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import make_response
from auburnjunction.membership.instances import LocalInstances
from auburnjunction.membership.joins import Joiner
from auburnjunction.membership.leases import Lease
from auburnjunction.membership.probes import Prober
from auburnjunction.membership.receivers import GossipReceiver
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.repairs import ViewRepair
from auburnjunction.membership.rounds import CrossRounds, GossipRounds
from auburnjunction.membership.senders import (
    GossipSender,
    MarkListener,
    MarkSource,
    ProofAgeSource,
    ProofListener,
    ignore_mark,
)
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.suspicions import SuspicionTimers
from auburnjunction.membership.urgent_pushers import UrgentPusher
from auburnjunction.model.services import Instance
from auburnjunction.model.snapshots import RevisionMark
from auburnjunction.storage.tables import Table

MILLISECONDS_PER_SECOND = 1000
# Interval of attempts to save departures when the node shuts down.
LAST_SAVE_INTERVAL_S = 0.2


class Membership:
    """Maintains the view of all nodes and gossips this node's record."""

    def __init__(
        self,
        cfg: MembershipSettings,
        node: str,
        data_centre: str,
        address: Address,
        clock: Clock,
        pools: PoolRegistry,
        table: Table | None,
        random: random.Random,
    ):
        self.on_mark: MarkListener = ignore_mark
        self._cfg = cfg
        self._clock = clock
        self._cluster = ClusterState(
            cfg, node, data_centre, address, clock, random
        )
        self._sender = GossipSender(self._cluster, pools)
        self._sender.on_peer_mark = self._queue_mark
        self._receiver = GossipReceiver(self._cluster, self._sender)
        self._locals = LocalInstances(self._cluster)
        self._prober = Prober(self._cluster, pools)
        self._suspicions = SuspicionTimers(self._cluster)
        repair = ViewRepair(self._cluster, self._sender)
        self._joiner = Joiner(self._cluster, self._sender, repair, table)
        self._rounds = GossipRounds(
            self._cluster,
            self._sender,
            self._prober,
            self._joiner,
            self._spawn,
        )
        self._cross_rounds = CrossRounds(
            self._cluster, self._sender, self._joiner, self._spawn
        )
        self._urgent_pusher = UrgentPusher(self._cluster, self._sender)
        self._group: curio.TaskGroup | None = None
        self._queued_marks: dict[RevisionMark, Address] = {}
        self.stats = self._cluster.stats

    @property
    def is_current(self) -> bool:
        """Whether the view is current; False after a pause of this process.

        It is True again after a successful exchange that began after the
        pause, or once the node counts as isolated; see PauseDetector.
        """
        return self._cluster.pause_detector.is_current

    @property
    def pause_count(self) -> int:
        """Number of pauses of this process detected since the start."""
        return self._cluster.pause_detector.pause_count

    @property
    def unreachable_data_centres(self) -> frozenset[str]:
        """Data centres that no link node of this one reaches."""
        return self._cluster.reachability.unreachable

    @property
    def mark_source(self) -> MarkSource:
        """Function that returns the mark of the revision in force here."""
        return self._sender.mark_source

    @mark_source.setter
    def mark_source(self, source: MarkSource) -> None:
        self._sender.mark_source = source

    def exchange_proofs(
        self, source: ProofAgeSource, listener: ProofListener
    ) -> None:
        """Send the age of this node's proof in gossip; pass on received ones.

        Only responses carry it, as their receiver knows how old they are.
        """
        self._sender.proof_age_source = source
        self._sender.on_proof = listener

    def announce(self, announcement: Announcement) -> Lease:
        """Renew the lease of a backend server of this host."""
        return self._locals.announce(announcement)

    def is_latest(self, announcement: Announcement) -> bool:
        """Return whether no later announcement of its instance is known."""
        return self._locals.is_latest(announcement)

    def log_departure_by_now(self, instance: str) -> None:
        """Log the departure of every incarnation that was born by now."""
        now_ms = int(self._clock.now().timestamp() * MILLISECONDS_PER_SECOND)
        self.log_departure(instance, now_ms)

    def log_departure(self, instance: str, born_ms: int) -> None:
        """Log the departure of a backend server without a lease here."""
        self._cluster.departures.add(Departure(instance, born_ms))
        self._locals.publish()

    @property
    def crashes(self) -> CrashLog:
        """Crashes of backend servers that this node knows of."""
        return self._cluster.crashes

    def report_crashes(self, crashes: list[Crash]) -> None:
        """Publish crashes that this node has seen."""
        self._cluster.add_crashes(crashes, own=True)

    @property
    def are_departures_saved(self) -> bool:
        """Whether the table holds every departure."""
        return self._cluster.departures.is_saved

    async def save_departures(self) -> None:
        """Write departures that are not saved yet to the table.

        If that takes over half of departure_save_limit_s, other nodes get
        this node's record, which lists them. Return after the limit in any
        case: a departure is in force without the table, and the periodic
        check retries the write.
        """
        if self._cluster.departures.is_saved:
            return
        limit_s = self._cfg.departure_save_limit_s / 2
        async with curio.ignore_after(limit_s):
            if await self._joiner.write_own_row():
                return
        async with curio.ignore_after(limit_s):
            await self._urgent_pusher.push_own_record()

    async def save_departures_until(self, end_s: float) -> None:
        """Write unsaved departures to the table until a monotonic time.

        Another process of this node reads them there.
        """
        while self._clock.monotonic() < end_s:
            if self._cluster.departures.is_saved:
                return
            limit_s = end_s - self._clock.monotonic()
            async with curio.ignore_after(limit_s):
                await self._joiner.write_own_row()
            await self._clock.sleep(LAST_SAVE_INTERVAL_S)

    async def needs_repetition(self, instance: str) -> bool:
        """Return whether its last announcement is to be refused.

        It may be from before a departure that was lost in a restart. Wait for
        the first contacts after the start, which may rule that out.
        """
        if not self._locals.is_unconfirmed(instance):
            return False
        await self._clock.sleep(self._cluster.recovery.first_contacts_left_s)
        return self._locals.is_unconfirmed(instance)

    def set_draining(self, instance: str, draining: bool) -> None:
        """Start or end the draining of a local backend server.

        While draining it is published as leaving. Raise
        UnknownInstanceError, a KeyError, if it has no lease here.
        """
        self._locals.set_draining(instance, draining)

    def set_leaving(self) -> None:
        """Announce that this node is leaving."""
        self._cluster.update_own_record(state=NodeState.LEAVING)
        self._cluster.queue_urgent_push(self._cluster.own_record)

    def find_instances(self, service: str) -> tuple[Instance, ...]:
        """Return the ready backend servers of a service.

        All data centres are included; nodes that are leaving or dead
        are not.
        """
        return self._cluster.view.find_ready(service)

    def find_instance(self, instance: str) -> Instance | None:
        """Return a backend server in any state, or None if unknown.

        This node's own record takes precedence over those of others.
        """
        for item in self._cluster.own_record.instances:
            if item.instance == instance:
                return item
        return self._cluster.view.find_instance(instance)

    def list_nodes(self, data_centre: str | None = None) -> list[Node]:
        """Return all known nodes, or those of one data centre.

        Alive nodes of an unreachable data centre are returned as
        suspect.
        """
        unreachable = self._cluster.reachability.unreachable
        return [
            _suspect_if_unreachable(record, unreachable)
            for record in self._cluster.view.list_nodes(data_centre)
        ]

    @property
    def node_count(self) -> int:
        """Number of known nodes that are not dead, including this one."""
        return sum(
            record.state is not NodeState.DEAD
            for record in self._cluster.view.list_nodes()
        )

    def list_instances(self) -> list[Instance]:
        """Return every known backend server in any state."""
        return self._cluster.view.list_instances()

    def subscribe(self, listener: Listener) -> None:
        """Register a function to call after each change of the view."""
        self._cluster.add_listener(listener)

    async def handle_gossip(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /gossip."""
        try:
            body = self._receiver.handle_request(request.body)
        except PeerUnreachableError as exc:
            return _make_bad_request(exc)
        return HttpResponse(200, [], body)

    async def handle_probe(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /probe."""
        try:
            response = await self._prober.handle_request(request.body)
        except PeerUnreachableError as exc:
            return _make_bad_request(exc)
        return make_response(response)

    async def handle_announce(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /announce; respond with state and lease as JSON."""
        try:
            announcement = parse_settings(request.body, Announcement)
            _check_address(announcement)
        except SettingsError as exc:
            error = {
                "code": exc.code,
                "field": exc.field,
                "problem": exc.problem,
                "mend": exc.mend,
            }
            return _make_json(400, error)
        lease = self.announce(announcement)
        content = {
            "instance": announcement.instance,
            "state": lease.published_state.name.lower(),
            "lease_s": announcement.lease_s,
        }
        return _make_json(200, content)

    async def run(self, group: curio.TaskGroup) -> None:
        """Start the periodic tasks of this membership in a group."""
        self._group = group
        clock = self._clock
        draw_s = self._rounds.draw_interval
        for step, interval_s in (
            (self._rounds.run_round, draw_s),
            (self._cross_rounds.run_round, draw_s),
            (self._joiner.refresh, self._joiner.draw_refresh_interval),
            (self._run_checks, self._cfg.check_interval_s),
        ):
            await group.spawn(run_forever, step, clock, interval_s)
        await self._spawn(self._joiner.start)

    async def _spawn(self, func, *args) -> None:
        # Daemon tasks only: a group stores the results of all others.
        await self._group.spawn(func, *args, daemon=True)

    async def _run_checks(self) -> None:
        """Process expired leases and suspicions, pauses and urgent pushes."""
        self._locals.check(self.mark_source().revision)
        self._suspicions.check()
        self._joiner.observe_table()
        self._cluster.pause_detector.tick()
        if not self._cluster.departures.is_saved:
            await self._spawn(self._joiner.save_departures)
        self.stats.pauses = self._cluster.pause_detector.pause_count
        if not self._cluster.pause_detector.is_current:
            await self._recover_from_pause()
        for push in self._urgent_pusher.take_pushes():
            await self._spawn(push)
        while self._queued_marks:
            mark, address = self._queued_marks.popitem()
            await self._spawn(self.on_mark, mark, address)

    async def _recover_from_pause(self) -> None:
        """After a pause, contact table and seeds if there are no peers."""
        cluster = self._cluster
        if not cluster.peers:
            await self._spawn(self._joiner.contact_after_pause)
        cluster.end_pause_if_isolated()

    def _queue_mark(self, mark: RevisionMark, address: Address) -> None:
        if mark.revision > self.mark_source().revision:
            self._queued_marks[mark] = address


def _suspect_if_unreachable(record: Node, unreachable: frozenset[str]) -> Node:
    is_alive = record.state is NodeState.ALIVE
    if not is_alive or record.data_centre not in unreachable:
        return record
    return attrs.evolve(record, state=NodeState.SUSPECT)


def _make_bad_request(exc: PeerUnreachableError) -> HttpResponse:
    return HttpResponse(400, [], exc.message.encode() + b"\n")


def _check_address(announcement: Announcement) -> None:
    try:
        parse_address(announcement.address)
    except ValueError as exc:
        problem, _, mend = str(exc).partition("|")
        raise SettingsError("address", problem, mend) from exc


def _make_json(status: int, value: dict) -> HttpResponse:
    headers = [(b"content-type", b"application/json")]
    return HttpResponse(status, headers, orjson.dumps(value) + b"\n")


@asynccontextmanager
async def open_membership(
    cfg: MembershipSettings,
    node: str,
    data_centre: str,
    address: Address,
    clock: Clock,
    pools: PoolRegistry,
    table: Table | None,
    random: random.Random,
):
    """Yield a Membership whose periodic tasks run inside the block."""
    membership = Membership(
        cfg, node, data_centre, address, clock, pools, table, random
    )
    async with open_task_group() as group:
        await membership.run(group)
        yield membership
