"""Joining: contact with seeds from settings and the table."""

from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.records import NodeState
from auburnjunction.membership.repairs import ViewRepair
from auburnjunction.membership.rosters import Roster
from auburnjunction.membership.seeds import MAX_SEEDS, SeedTable
from auburnjunction.membership.senders import GossipSender
from auburnjunction.storage.tables import PlatformError, Table

# Nodes of a data centre that read the table in one refresh interval.
READERS_PER_REFRESH = 2
# Least and greatest wait between reads of the table by a lone node.
TABLE_WAITS_S = (2.0, 60.0)
# Time over which a herd of restarted nodes spreads its reads: 200 nodes
# with two each stay below 2000 in a second.
REJOIN_SPREAD_S = 0.2
# Share of the refresh interval over which a herd of starting nodes
# spreads its first writes.
FIRST_WRITE_SHARE = 1 / 6


class Backoff:
    """Jittered waits that double from a least to a greatest."""

    def __init__(self, roster: Roster, min_s: float, max_s: float):
        self._roster = roster
        self._min_s = min_s
        self._max_s = max_s
        self._wait_s = min_s
        self._next_s = 0.0

    def is_due(self) -> bool:
        """Tell whether the wait is over; if so begin a longer one."""
        now_s = self._roster.clock.monotonic()
        if now_s < self._next_s:
            return False
        jitter = self._roster.random.uniform(0.5, 1.5)
        self._next_s = now_s + self._wait_s * jitter
        self._wait_s = min(self._wait_s * 2, self._max_s)
        return True

    def reset(self) -> None:
        """Begin with the least wait again."""
        self._wait_s = self._min_s


class Joiner:
    """Contacts seeds at the start, when alone and now and then."""

    def __init__(
        self,
        roster: Roster,
        sender: GossipSender,
        repair: ViewRepair,
        table: Table | None,
    ):
        self._roster = roster
        self._sender = sender
        self._repair = repair
        self._rows = SeedTable(roster, table) if table is not None else None
        self._seed_backoff = Backoff(roster, 0.5, 2.0)
        self._table_backoff = Backoff(roster, *TABLE_WAITS_S)
        self._reads_own = False
        self._recheck_backoff = Backoff(roster, 0.5, 2.0)
        self._search_backoff = Backoff(roster, 2.0, 60.0)
        self._save_backoff = Backoff(roster, 0.5, 8.0)

    async def join(self) -> None:
        """Contact a few seeds; read the table if none answers.

        Reads of the table, of the own data centre and of all in turn,
        back off, so that a herd of lone nodes stays within what the
        platform bears.
        """
        if not self._seed_backoff.is_due():
            return
        if await self._contact(self._roster.cfg.seed_addresses):
            return
        if self._rows is None or not self._table_backoff.is_due():
            return
        await self._wait(self._roster.cfg.table_spread_s)
        self._reads_own = not self._reads_own
        try:
            if self._reads_own:
                await self._contact(await self._read_own())
            else:
                await self._contact(await self._rows.read_any())
        except PlatformError as exc:
            log_event("the table gives no seeds", error=exc.message)

    def note_peer(self) -> None:
        """Note that this node has a peer, so the next join is prompt."""
        self._seed_backoff.reset()
        self._table_backoff.reset()

    async def refresh(self) -> None:
        """Write the own row; as one of a few, look for unknown nodes."""
        if self._rows is not None and not await self.check_table():
            return
        count = 1 + len(self._roster.peers)
        if self._roster.random.random() < READERS_PER_REFRESH / count:
            await self._search()

    async def search_others(self) -> None:
        """Look for other data centres while none is known."""
        if self._search_backoff.is_due():
            await self._search()

    async def start(self) -> None:
        """Join, then write the own row for the first time."""
        cfg = self._roster.cfg
        if await self._rejoin():
            await self.check_table()
            return
        if cfg.first_write_spread_s:
            # The others find this node in the table when they read it.
            await self._wait(cfg.first_write_spread_s)
            await self.check_table()
            await self.join()
            return
        await self.join()
        await self._wait(cfg.table_refresh_s * FIRST_WRITE_SHARE)
        await self.check_table()

    async def _rejoin(self) -> bool:
        """Contact nodes of every data centre after a restart.

        Tell if one answered. The rows of an earlier life's peers stand in
        the table, so that there is no need to wait for them.
        """
        if self._rows is None:
            return False
        await self._wait(REJOIN_SPREAD_S)
        try:
            if not await self._rows.find_own():
                return False
            fleet = await self._rows.read_fleet()
        except PlatformError as exc:
            log_event("the table gives no seeds", error=exc.message)
            return False
        near = fleet.pop(self._roster.own.data_centre, [])
        answered = await self._contact(near)
        for addresses in fleet.values():
            address = self._roster.random.choice(addresses)
            answered = await self._contact([address]) or answered
        return answered

    async def check_table(self) -> bool:
        """Write the own row; tell whether the table answered."""
        if self._rows is None:
            return False
        try:
            await self._rows.write_own()
        except PlatformError as exc:
            log_event("the own row is not written", error=exc.message)
            return False
        return True

    async def save_departures(self) -> None:
        """Write departures into the own row that it does not hold yet."""
        if self._save_backoff.is_due() and await self.check_table():
            self._save_backoff.reset()

    async def recheck(self) -> None:
        """After a pause and alone, ask the table or the seeds."""
        if self._recheck_backoff.is_due():
            await self.check_table()
            await self._contact(self._roster.cfg.seed_addresses)

    def draw_refresh_interval(self) -> float:
        """Return the seconds until the next refresh."""
        interval_s = self._roster.cfg.table_refresh_s
        return interval_s * self._roster.random.uniform(0.5, 1.5)

    async def _search(self) -> None:
        """Contact seeds whose address is of no live node in the view."""
        addresses = list(self._roster.cfg.seed_addresses)
        if self._rows is not None:
            try:
                addresses += await self._read_own()
                addresses += await self._rows.read_others()
            except PlatformError as exc:
                log_event("the table gives no seeds", error=exc.message)
        known = {
            record.address
            for record in self._roster.view.list_nodes()
            if record.state is not NodeState.DEAD
        }
        await self._contact([a for a in addresses if a not in known])

    async def _wait(self, limit_s: float) -> None:
        """Wait at random up to a limit in seconds."""
        await self._roster.clock.sleep(
            self._roster.random.uniform(0.0, limit_s)
        )

    async def _read_own(self) -> list[Address]:
        own = self._roster.own.data_centre
        return await self._rows.read_data_centre(own)

    async def _contact(self, addresses: list[Address]) -> bool:
        """Exchange views with a few addresses; tell if one answered."""
        own = self._roster.own.address
        others = [a for a in addresses if a != own]
        count = min(len(others), MAX_SEEDS)
        answered = False
        for address in self._roster.random.sample(others, count):
            try:
                await self._exchange_views(address)
                answered = True
            except PeerUnreachableError:
                self._roster.stats.failed_exchanges += 1
        return answered

    async def _exchange_views(self, address: Address) -> None:
        roster = self._roster
        if len(roster.view) == 1:
            await self._sender.pull_all(address, cross=True)
            return
        response = await self._sender.send_records(
            address, [roster.own], cross=True
        )
        if response.view_digest != roster.view.digest:
            await self._repair.compare(address, cross=True)
