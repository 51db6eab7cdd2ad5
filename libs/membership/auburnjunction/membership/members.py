"""Membership of one node: its backend servers and its view of all."""

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
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import make_response
from auburnjunction.membership.instances import LocalInstances
from auburnjunction.membership.joins import Joiner
from auburnjunction.membership.leases import Lease
from auburnjunction.membership.probes import Prober
from auburnjunction.membership.receivers import GossipReceiver
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.repairs import ViewRepair
from auburnjunction.membership.rosters import Listener, Roster
from auburnjunction.membership.rounds import CrossRounds, GossipRounds
from auburnjunction.membership.senders import (
    GossipSender,
    MarkListener,
    MarkSource,
    ignore_mark,
)
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.spreads import UrgentSpread
from auburnjunction.membership.suspicions import SuspicionTimers
from auburnjunction.model.services import Instance
from auburnjunction.model.snapshots import RevisionMark
from auburnjunction.storage.tables import Table


class Membership:
    """What this node knows of nodes and backend servers, and tells."""

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
        self._roster = Roster(cfg, node, data_centre, address, clock, random)
        self._sender = GossipSender(self._roster, pools)
        self._sender.heard_mark = self._hear_mark
        self._receiver = GossipReceiver(self._roster, self._sender)
        self._locals = LocalInstances(self._roster)
        self._prober = Prober(self._roster, pools)
        self._suspicions = SuspicionTimers(self._roster)
        repair = ViewRepair(self._roster, self._sender)
        self._joiner = Joiner(self._roster, self._sender, repair, table)
        self._rounds = GossipRounds(
            self._roster,
            self._sender,
            self._prober,
            self._joiner,
            self._spawn,
        )
        self._cross_rounds = CrossRounds(
            self._roster, self._sender, self._joiner, self._spawn
        )
        self._spread = UrgentSpread(self._roster, self._sender)
        self._group: curio.TaskGroup | None = None
        self._heard: dict[RevisionMark, Address] = {}
        self.stats = self._roster.stats

    @property
    def is_current(self) -> bool:
        """False after a pause of this process.

        It turns true again when an exchange with a peer has succeeded
        since; see PauseDetector.
        """
        return self._roster.pauses.is_current

    @property
    def pause_count(self) -> int:
        """Pauses of this process noticed since the start."""
        return self._roster.pauses.pauses

    @property
    def unreachable_data_centres(self) -> frozenset[str]:
        """Data centres that the links of this one do not reach."""
        return self._roster.contacts.unreachable

    @property
    def mark_source(self) -> MarkSource:
        """Function that returns the revision in force here."""
        return self._sender.mark_source

    @mark_source.setter
    def mark_source(self, source: MarkSource) -> None:
        self._sender.mark_source = source

    def announce(self, announcement: Announcement) -> Lease:
        """Take in the announcement of a backend server of this host."""
        return self._locals.announce(announcement)

    async def save_departures(self) -> None:
        """Have the table keep departures that it does not hold yet.

        Give up after the limit of the settings, as a departure also
        holds without the table; the attempt is then repeated later.
        """
        if self._roster.departures.is_saved:
            return
        async with curio.ignore_after(self._cfg.departure_save_limit_s):
            await self._joiner.check_table()

    def set_draining(self, instance: str, draining: bool) -> None:
        """Show a local backend server as leaving until undrained.

        Raise UnknownInstanceError, a KeyError, when it has not
        announced itself here.
        """
        self._locals.set_draining(instance, draining)

    def set_leaving(self) -> None:
        """Announce that this node is leaving."""
        self._roster.renew_own(state=NodeState.LEAVING)
        self._roster.mark_urgent(self._roster.own)

    def find_instances(self, service: str) -> tuple[Instance, ...]:
        """Return the ready backend servers of a service.

        They are on nodes that are neither leaving nor dead, in every
        data centre.
        """
        return self._roster.view.find_ready(service)

    def find_instance(self, instance: str) -> Instance | None:
        """Return a backend server in whatever state it is.

        One of this host comes before one that another node names.
        """
        for item in self._roster.own.instances:
            if item.instance == instance:
                return item
        return self._roster.view.find_instance(instance)

    def list_nodes(self, data_centre: str | None = None) -> list[Node]:
        """Return all known nodes, or those of one data centre.

        Nodes of a data centre that is not reached are suspect.
        """
        unreachable = self._roster.contacts.unreachable
        return [
            _doubt_unreached(record, unreachable)
            for record in self._roster.view.list_nodes(data_centre)
        ]

    def list_instances(self) -> list[Instance]:
        """Return every known backend server in whatever state it is."""
        return self._roster.view.list_instances()

    def subscribe(self, listener: Listener) -> None:
        """Call a function after changes of backend servers or nodes."""
        self._roster.add_listener(listener)

    async def handle_gossip(self, request: HttpRequest) -> HttpResponse:
        """Answer POST /gossip."""
        try:
            answer = self._receiver.answer(request.body)
        except PeerUnreachableError as exc:
            return _refuse(exc)
        return HttpResponse(200, [], answer)

    async def handle_probe(self, request: HttpRequest) -> HttpResponse:
        """Answer POST /probe."""
        try:
            response = await self._prober.answer(request.body)
        except PeerUnreachableError as exc:
            return _refuse(exc)
        return make_response(response)

    async def handle_announce(self, request: HttpRequest) -> HttpResponse:
        """Answer POST /announce with the state and the lease as JSON."""
        try:
            announcement = parse_settings(request.body, Announcement)
            _check_address(announcement)
        except SettingsError as exc:
            fault = {
                "code": exc.code,
                "field": exc.field,
                "problem": exc.problem,
                "mend": exc.mend,
            }
            return _make_json(400, fault)
        lease = self.announce(announcement)
        answer = {
            "instance": announcement.instance,
            "state": lease.shown_state.name.lower(),
            "lease_s": announcement.lease_s,
        }
        return _make_json(200, answer)

    async def run(self, group: curio.TaskGroup) -> None:
        """Start the tasks of this membership in a group."""
        self._group = group
        clock = self._clock
        draw_s = self._rounds.draw_interval
        for step, interval_s in (
            (self._rounds.run_round, draw_s),
            (self._cross_rounds.run_round, draw_s),
            (self._joiner.refresh, self._joiner.draw_refresh_interval),
            (self._check, self._cfg.check_interval_s),
        ):
            await group.spawn(run_forever, step, clock, interval_s)
        await self._spawn(self._joiner.start)

    async def _spawn(self, func, *args) -> None:
        # The group keeps results of tasks that are not daemons.
        await self._group.spawn(func, *args, daemon=True)

    async def _check(self) -> None:
        """Do what is due: leases, suspicions, pauses, urgent records."""
        self._locals.check(self.mark_source().revision)
        self._suspicions.check()
        self._roster.pauses.tick()
        if not self._roster.departures.is_saved:
            await self._spawn(self._joiner.save_departures)
        self.stats.pauses = self._roster.pauses.pauses
        if not self._roster.pauses.is_current:
            await self._recheck()
        for job in self._spread.take_jobs():
            await self._spawn(job)
        while self._heard:
            mark, address = self._heard.popitem()
            await self._spawn(self.on_mark, mark, address)

    async def _recheck(self) -> None:
        """After a pause, find someone to make an exchange with."""
        roster = self._roster
        if not roster.peers:
            await self._spawn(self._joiner.recheck)
        roster.end_isolation()

    def _hear_mark(self, mark: RevisionMark, address: Address) -> None:
        if mark.revision > self.mark_source().revision:
            self._heard[mark] = address


def _doubt_unreached(record: Node, unreachable: frozenset[str]) -> Node:
    is_alive = record.state is NodeState.ALIVE
    if not is_alive or record.data_centre not in unreachable:
        return record
    return attrs.evolve(record, state=NodeState.SUSPECT)


def _refuse(exc: PeerUnreachableError) -> HttpResponse:
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
    """Yield a Membership whose tasks run until the block ends."""
    membership = Membership(
        cfg, node, data_centre, address, clock, pools, table, random
    )
    async with open_task_group() as group:
        await membership.run(group)
        yield membership
