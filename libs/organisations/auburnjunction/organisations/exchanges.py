"""Exchanges with other nodes about quotas, one at a time with each."""

import random
from collections.abc import Callable

import attrs
import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import parse_message, post
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.contacts import ContactLog
from auburnjunction.organisations.holdings import QuotaHolder, Report
from auburnjunction.organisations.homes import QuotaHome
from auburnjunction.organisations.messages import (
    decode_grants,
    decode_ledgers,
    encode_reports,
)
from auburnjunction.organisations.rosters import Roster
from auburnjunction.schema import quotas_pb2 as pb

REPORT_TARGET = b"/quota-reports"
LEDGER_TARGET = b"/quota-ledgers"
# Time-out of an exchange; a node with a share of a core may stall for long,
# and what it has granted in an answer that comes too late is lost.
EXCHANGE_TIMEOUT_S = 1.0
INCARNATION_BITS = 63

OrganisationLister = Callable[[], dict[str, Organisation]]


@attrs.define
class QuotaStats:
    """Counts of charges, refusals and exchanges."""

    parts_charged: int = 0
    leases_charged: int = 0
    waits: int = 0
    refusals_exceeded: int = 0
    refusals_unanswered: int = 0
    refunds: int = 0
    exchanges: int = 0
    exchanges_failed: int = 0
    reports_handled: int = 0
    ledgers_handed_over: int = 0


@attrs.define(eq=False)
class HomeLink:
    """Exchanges with another node, one at a time.

    The next one reports on the organisations of pending, whose events are
    set after it.
    """

    pending: dict[str, curio.Event] = attrs.field(factory=dict)
    is_busy: bool = False


class QuotaExchanger:
    """Reports to home nodes, probes nodes and fetches ledgers."""

    def __init__(
        self,
        node: str,
        clock: Clock,
        pools: PoolRegistry,
        roster: Roster,
        contacts: ContactLog,
        holder: QuotaHolder,
        home: QuotaHome,
        list_organisations: OrganisationLister,
        stats: QuotaStats,
        rng: random.Random,
    ):
        self._node = node
        self._clock = clock
        self._pools = pools
        self._roster = roster
        self._contacts = contacts
        self._holder = holder
        self._home = home
        self._list_organisations = list_organisations
        self._stats = stats
        self._random = rng
        self._incarnation = rng.getrandbits(INCARNATION_BITS)
        self._links: dict[str, HomeLink] = {}
        # Runs the exchanges; set by its owner before the first one.
        self.group: curio.TaskGroup | None = None

    async def start_report(self, name: str) -> curio.Event | None:
        """Report to the home node; return an event, None if it is done."""
        home = self._roster.find_home(name)
        if home == self._node:
            self._report_here(name)
            return None
        link = self._links.setdefault(home, HomeLink())
        event = link.pending.setdefault(name, curio.Event())
        await self._start_link(home, link)
        return event

    async def _start_link(self, node: str, link: HomeLink) -> None:
        if not link.is_busy:
            link.is_busy = True
            await self.group.spawn(self._run_link, node, link)

    def _report_here(self, name: str) -> None:
        """Report to this node itself."""
        now_s = self._clock.monotonic()
        report = self._holder.make_report(name, self._node, now_s)
        grants = self._home.handle_reports(
            self._node,
            self._incarnation,
            [report],
            self._list_organisations(),
            now_s,
        )
        for grant in grants:
            self._holder.apply_grant(grant, report, self._node, now_s, now_s)

    async def _run_link(self, node: str, link: HomeLink) -> None:
        try:
            await self._exchange_reports(node, link)
            while link.pending:
                await self._exchange_reports(node, link)
        finally:
            link.is_busy = False

    async def _exchange_reports(self, node: str, link: HomeLink) -> None:
        batch, link.pending = link.pending, {}
        sent_s = self._clock.monotonic()
        reports = {
            name: self._holder.make_report(name, node, sent_s)
            for name in batch
        }
        try:
            response = await self._post_reports(node, reports)
        except PeerUnreachableError as exc:
            self._record_failure(node, list(batch), exc)
        else:
            self._apply_response(node, reports, response, sent_s)
        for event in batch.values():
            await event.set()

    async def _post_reports(
        self, node: str, reports: dict[str, Report]
    ) -> pb.QuotaResponse:
        message = encode_reports(
            self._node,
            self._incarnation,
            self._roster.node_count,
            reports.values(),
        )
        return await self._post(node, REPORT_TARGET, message, pb.QuotaResponse)

    async def _post(self, node: str, target: bytes, message, response_class):
        address = self._roster.find_address(node)
        if address is None:
            raise PeerUnreachableError(f"{node}: no address is known")
        self._stats.exchanges += 1
        body = await post(
            self._pools,
            address,
            target,
            message.SerializeToString(),
            EXCHANGE_TIMEOUT_S,
        )
        return parse_message(response_class, body)

    def _apply_response(
        self,
        node: str,
        reports: dict[str, Report],
        response: pb.QuotaResponse,
        sent_s: float,
    ) -> None:
        now_s = self._clock.monotonic()
        self._contacts.record(node, sent_s)
        self._roster.learn_count(response.node_count, now_s)
        for grant in decode_grants(response):
            report = reports.get(grant.organisation)
            if report is not None:
                self._holder.apply_grant(grant, report, node, sent_s, now_s)

    def _record_failure(
        self, node: str, names: list[str], error: PeerUnreachableError
    ) -> None:
        self._stats.exchanges_failed += 1
        self._holder.record_failure(names, self._clock.monotonic())
        if names:
            log_event(
                "no answer of a home node",
                logging.WARNING,
                node=node,
                organisations=len(names),
                reason=error.message,
            )

    async def probe(self, now_s: float) -> None:
        """Contact data centres that no recent exchange has reached."""
        for name in self._contacts.list_due(now_s):
            nodes = self._roster.list_live(name)
            if nodes:
                node = self._random.choice(nodes)
                link = self._links.setdefault(node, HomeLink())
                await self._start_link(node, link)

    async def fetch_ledgers(self, now_s: float) -> None:
        """Ask former home nodes for ledgers that this node lacks."""
        for node, names in self._home.list_wanted(now_s).items():
            await self.group.spawn(self._fetch_from, node, names)

    async def _fetch_from(self, node: str, names: list[str]) -> None:
        """Ask the former home node of organisations for their ledgers."""
        message = pb.LedgerRequest(node=self._node, organisations=names)
        try:
            response = await self._post(
                node, LEDGER_TARGET, message, pb.LedgerResponse
            )
        except PeerUnreachableError as exc:
            self._record_failure(node, [], exc)
            return
        self._home.adopt(
            decode_ledgers(response), response.kept, self._clock.monotonic()
        )
