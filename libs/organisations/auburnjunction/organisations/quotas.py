"""Charging of requests to quotas, and the exchanges between nodes for it."""

import random
from contextlib import asynccontextmanager

import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import make_response, parse_message
from auburnjunction.membership.memberships import Membership
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.contacts import ContactLog
from auburnjunction.organisations.errors import QuotaExceededError
from auburnjunction.organisations.exchanges import QuotaExchanger, QuotaStats
from auburnjunction.organisations.holdings import (
    REPORT_INTERVAL_S,
    Charge,
    QuotaHolder,
)
from auburnjunction.organisations.homes import QuotaHome
from auburnjunction.organisations.messages import (
    decode_reports,
    encode_grants,
    encode_ledgers,
)
from auburnjunction.organisations.rosters import Roster
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.schema import quotas_pb2 as pb

# Longest wait of a request for the answer of the home node. Most answers take
# one round trip, but nodes with a share of a core stall for 0.1 s and more. A
# request that is refused within its quota is lost for its caller.
MAX_WAIT_S = 0.25
# A whole system that starts for the first time has no configuration for
# seconds; a node that restarts gets one sooner.
MIN_FRESH_S = 1.0
# Interval of checks for a changed view, and of those for ledgers that a
# leaving node still has.
VIEW_INTERVAL_S = 0.1
# Longest wait of a node that leaves for the next home nodes, which see the
# change and ask for the ledgers within 0.2 s mostly.
LEAVING_LIMIT_S = 0.5


class Quotas:
    """Charges requests to the quotas of their organisations."""

    def __init__(
        self,
        node: str,
        settings: OrganisationSettings,
        clock: Clock,
        snapshots: SnapshotHolder,
        membership: Membership,
        pools: PoolRegistry,
        rng: random.Random,
    ):
        self._node = node
        self._settings = settings
        self._clock = clock
        self._snapshots = snapshots
        self._started_s = clock.monotonic()
        self._ticked_s = self._started_s
        self._may_be_fresh = settings.fresh_start
        self._roster = Roster(
            node,
            membership.list_nodes,
            lambda: membership.unreachable_data_centres,
        )
        contacts = ContactLog(node, self._roster)
        self._home = QuotaHome(node, settings, self._roster, contacts, rng)
        self._holder = QuotaHolder(
            settings,
            self._roster,
            self._started_s + settings.accounting_s,
            rng,
        )
        self._is_view_new = False
        if settings.quota_window_s:
            membership.subscribe(self._note_view)
        self.stats = QuotaStats()
        self._exchanger = QuotaExchanger(
            node,
            clock,
            pools,
            self._roster,
            contacts,
            self._holder,
            self._home,
            self._list_organisations,
            self.stats,
            rng,
        )

    async def run(self, group: curio.TaskGroup) -> None:
        """Start the periodic task in a group, unless there are no quotas."""
        self._exchanger.group = group
        if self._settings.quota_window_s:
            await group.spawn(
                run_forever, self.tick, self._clock, REPORT_INTERVAL_S
            )
            await group.spawn(
                run_forever, self.follow_view, self._clock, VIEW_INTERVAL_S
            )

    async def charge(self, name: str) -> Charge | None:
        """Charge a request to an organisation; None if it has no quota.

        Raise QuotaExceededError if there is no room. If nothing is at hand,
        wait for the answer of the organisation's home node for at most
        MAX_WAIT_S.
        """
        organisation = self._find_organisation(name)
        if organisation is None:
            return None
        now_s = self._clock.monotonic()
        charge = self._holder.try_charge(organisation, now_s)
        if charge is None or charge.account is not None:
            # Leases are for what exceeds the equal part.
            self._holder.count_attempt(name)
        if charge is None:
            charge = await self._ask(organisation, now_s)
        if charge.account is None:
            self.stats.parts_charged += 1
        else:
            self.stats.leases_charged += 1
        return charge

    def refund(self, charge: Charge | None) -> None:
        """Take back the charge of a request that certainly has not run."""
        if charge is not None:
            now_s = self._clock.monotonic()
            self.stats.refunds += self._holder.refund(charge, now_s)

    async def tick(self) -> None:
        """Read the view, and report to the home nodes where that is due."""
        now_s = self._clock.monotonic()
        elapsed_s, self._ticked_s = now_s - self._ticked_s, now_s
        self._update_home(now_s)
        self._check_fresh_start(now_s)
        for name in self._holder.list_due(now_s, elapsed_s):
            if self._find_organisation(name) is not None:
                await self._exchanger.start_report(name)
        if self._home.ledger_count:
            await self._exchanger.probe(now_s)
            await self._exchanger.fetch_ledgers(now_s)

    async def follow_view(self) -> None:
        """Fetch ledgers at once when the view of the nodes has changed.

        The former home node may be about to end.
        """
        if self._is_view_new:
            now_s = self._clock.monotonic()
            self._update_home(now_s)
            await self._exchanger.fetch_ledgers(now_s)

    async def leave(self, limit_s: float) -> None:
        """Wait until the ledgers are handed over.

        Wait for limit_s, and LEAVING_LIMIT_S, at most. Call it once this node
        has announced that it is leaving.
        """
        if not self._settings.quota_window_s:
            return
        now_s = self._clock.monotonic()
        end_s = now_s + min(limit_s, LEAVING_LIMIT_S)
        self._update_home(now_s)
        while self._home.has_ledgers_to_hand_over():
            if self._clock.monotonic() >= end_s:
                log_event("quota ledgers not handed over", logging.WARNING)
                return
            await self._clock.sleep(VIEW_INTERVAL_S)

    async def handle_reports(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /quota-reports."""
        try:
            message = parse_message(pb.QuotaRequest, request.body)
        except PeerUnreachableError as exc:
            return _make_bad_request(exc)
        now_s = self._clock.monotonic()
        self._roster.learn_count(message.node_count, now_s)
        grants = self._home.handle_reports(
            message.node,
            message.incarnation,
            decode_reports(message),
            self._list_organisations(),
            now_s,
        )
        self.stats.reports_handled += len(grants)
        return make_response(encode_grants(self._roster.node_count, grants))

    async def handle_ledgers(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /quota-ledgers."""
        try:
            message = parse_message(pb.LedgerRequest, request.body)
        except PeerUnreachableError as exc:
            return _make_bad_request(exc)
        now_s = self._clock.monotonic()
        self._roster.refresh(now_s)
        states, kept = self._home.hand_over(
            message.node, message.organisations, now_s
        )
        self.stats.ledgers_handed_over += len(states)
        return make_response(encode_ledgers(states, kept))

    def _list_organisations(self) -> dict[str, Organisation]:
        current = self._snapshots.current
        if current is None:
            return {}
        return current.snapshot.organisations_by_name

    def _note_view(self) -> None:
        self._is_view_new = True

    def _update_home(self, now_s: float) -> None:
        self._is_view_new = False
        self._roster.refresh(now_s)
        self._home.update(
            [
                name
                for name, organisation in self._list_organisations().items()
                if organisation.rate_per_s > 0
            ],
            now_s,
        )

    def _find_organisation(self, name: str) -> Organisation | None:
        current = self._snapshots.current
        if not self._settings.quota_window_s or current is None:
            return None
        organisation = current.snapshot.organisations_by_name.get(name)
        if organisation is None or organisation.rate_per_s <= 0:
            return None
        return organisation

    async def _ask(self, organisation: Organisation, now_s: float) -> Charge:
        """Charge a request once the home node has answered."""
        self.stats.waits += 1
        limit_s = now_s + MAX_WAIT_S
        while now_s < limit_s and (
            self._holder.find_refusal(organisation, now_s) is None
        ):
            await self._wait_for_answer(organisation.name, limit_s - now_s)
            now_s = self._clock.monotonic()
            charge = self._holder.try_charge(organisation, now_s)
            if charge is not None:
                return charge
        raise self._make_error(organisation, now_s)

    async def _wait_for_answer(self, name: str, limit_s: float) -> None:
        holding = self._holder.get_holding(name)
        holding.waiting += 1
        try:
            event = await self._exchanger.start_report(name)
            if event is not None:
                async with curio.ignore_after(limit_s):
                    await event.wait()
        finally:
            holding.waiting -= 1

    def _make_error(
        self, organisation: Organisation, now_s: float
    ) -> QuotaExceededError:
        holding = self._holder.get_holding(organisation.name)
        retry_after_s = self._holder.find_room(organisation, now_s)
        if holding.answer_age_s(now_s) < REPORT_INTERVAL_S * 2:
            self.stats.refusals_exceeded += 1
        else:
            self.stats.refusals_unanswered += 1
        limits = holding.limits
        return QuotaExceededError(
            f"the quota of organisation {organisation.name} is spent: "
            f"{limits.leased + limits.shared} requests in "
            f"{self._settings.quota_window_s:g} s over all nodes, "
            f"{holding.part} of them at this node alone; "
            f"{holding.describe_answer(now_s)}",
            retry_after_s,
        )

    def _check_fresh_start(self, now_s: float) -> None:
        if not self._may_be_fresh or self._snapshots.current is None:
            return
        self._may_be_fresh = False
        if now_s - self._started_s >= MIN_FRESH_S:
            log_event("quotas start without a wait")
            self._home.start_fresh()
            self._holder.start_fresh()


def _make_bad_request(exc: PeerUnreachableError) -> HttpResponse:
    return HttpResponse(400, [], exc.message.encode() + b"\n")


@asynccontextmanager
async def open_quotas(
    node: str,
    settings: OrganisationSettings,
    clock: Clock,
    snapshots: SnapshotHolder,
    membership: Membership,
    pools: PoolRegistry,
    rng: random.Random,
):
    """Yield Quotas whose periodic task runs inside the block."""
    quotas = Quotas(node, settings, clock, snapshots, membership, pools, rng)
    async with open_task_group() as group:
        await quotas.run(group)
        yield quotas
