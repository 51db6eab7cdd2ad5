"""Joining through seeds from the settings and the table."""

from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.records import NodeState
from auburnjunction.membership.repairs import ViewRepair
from auburnjunction.membership.seeds import MAX_SEEDS, SeedTable
from auburnjunction.membership.senders import GossipSender
from auburnjunction.storage.tables import PlatformError, Table

# Average number of nodes of a data centre that read the table in one
# refresh interval.
READERS_PER_REFRESH = 2
# Minimum and maximum backoff of table reads by a node without peers.
TABLE_BACKOFF_S = (2.0, 60.0)
# Only nodes with unsaved departures retry this often. A departure is lost if
# all nodes end between the return of the table and the retry.
MAX_SAVE_BACKOFF_S = 1.0
# Jitter of the first table reads after a restart: 200 nodes restarting
# together, with two reads each, stay below 2000 reads per second.
REJOIN_SPREAD_S = 0.2
# Jitter of the first table write of nodes that start together, as a
# share of the refresh interval.
FIRST_WRITE_SHARE = 1 / 6


class Backoff:
    """Exponential backoff with jitter between a minimum and a maximum."""

    def __init__(self, cluster: ClusterState, min_s: float, max_s: float):
        self._cluster = cluster
        self._min_s = min_s
        self._max_s = max_s
        self._wait_s = min_s
        self._next_s = 0.0

    def start_if_due(self) -> bool:
        """Return whether the wait is over; if so, start the next one."""
        now_s = self._cluster.clock.monotonic()
        if now_s < self._next_s:
            return False
        jitter = self._cluster.random.uniform(0.5, 1.5)
        self._next_s = now_s + self._wait_s * jitter
        self._wait_s = min(self._wait_s * 2, self._max_s)
        return True

    def reset(self) -> None:
        """Reset the next wait to the minimum."""
        self._wait_s = self._min_s


class Joiner:
    """Contacts seeds at start, without peers and at random intervals."""

    def __init__(
        self,
        cluster: ClusterState,
        sender: GossipSender,
        repair: ViewRepair,
        table: Table | None,
    ):
        self._cluster = cluster
        self._sender = sender
        self._repair = repair
        self._seed_table = (
            SeedTable(cluster, table) if table is not None else None
        )
        self._seed_backoff = Backoff(cluster, 0.5, 2.0)
        self._table_backoff = Backoff(cluster, *TABLE_BACKOFF_S)
        self._reads_own_data_centre = False
        self._pause_backoff = Backoff(cluster, 0.5, 2.0)
        self._discovery_backoff = Backoff(cluster, 2.0, 60.0)
        self._save_backoff = Backoff(cluster, 0.5, MAX_SAVE_BACKOFF_S)
        # Whether a fresh start is under way, in which other nodes contact
        # this one before it needs the table.
        self._is_starting_fresh = False

    async def join(self) -> None:
        """Contact a few seeds; read more from the table if all fail.

        Reads alternate between the rows of this data centre and those
        of all. They back off, so that many nodes without peers do not
        exceed the read limit of the platform.
        """
        if self._is_starting_fresh or not self._seed_backoff.start_if_due():
            return
        if await self._contact_seeds(self._cluster.cfg.seed_addresses):
            return
        if self._seed_table is None or not self._table_backoff.start_if_due():
            return
        await self._wait_at_random(self._cluster.cfg.table_spread_s)
        self._reads_own_data_centre = not self._reads_own_data_centre
        try:
            if self._reads_own_data_centre:
                await self._contact_seeds(await self._read_own_data_centre())
            else:
                await self._contact_seeds(await self._seed_table.read_any())
        except PlatformError as exc:
            log_event(
                "cannot read seeds from the table; will retry",
                error=exc.message,
            )

    def observe_table(self) -> None:
        """Detect a restore of the table from an older copy."""
        if self._seed_table is not None:
            self._seed_table.observe_generation()

    def reset_backoffs(self) -> None:
        """Reset the join backoffs once this node has a peer."""
        self._seed_backoff.reset()
        self._table_backoff.reset()

    async def refresh(self) -> None:
        """Renew this node's row; on few nodes, also discover new nodes."""
        if not await self._renew_own_row():
            return
        count = 1 + len(self._cluster.peers)
        if self._cluster.random.random() < READERS_PER_REFRESH / count:
            await self._discover_nodes()

    async def discover_data_centres(self) -> None:
        """Discover other data centres while none is known, with backoff."""
        if self._is_starting_fresh:
            return
        if self._discovery_backoff.start_if_due():
            await self._discover_nodes()

    async def start(self) -> None:
        """Join, then write this node's row for the first time."""
        cfg = self._cluster.cfg
        if cfg.fresh_start and await self._start_fresh():
            return
        if await self._rejoin():
            await self.write_own_row()
            return
        if cfg.first_write_spread_s:
            # Other nodes discover this one from its row when they read
            # the table.
            await self._wait_at_random(cfg.first_write_spread_s)
            await self.write_own_row()
            await self.join()
            return
        await self.join()
        await self._wait_at_random(cfg.table_refresh_s * FIRST_WRITE_SHARE)
        await self.write_own_row()

    async def _start_fresh(self) -> bool:
        """Insert this node's row, then join; return whether it did.

        Do neither if the table holds a row from before a restart.
        """
        if self._seed_table is None:
            return False
        self._is_starting_fresh = True
        try:
            return await self._insert_and_join()
        finally:
            self._is_starting_fresh = False

    async def _insert_and_join(self) -> bool:
        cfg = self._cluster.cfg
        start_s = self._cluster.clock.monotonic()
        await self._wait_at_random(cfg.first_write_spread_s)
        try:
            if not await self._seed_table.insert_own_row():
                return False
            passed_s = self._cluster.clock.monotonic() - start_s
            # By then every other node has written its row as well.
            rows_s = max(0.0, cfg.first_write_spread_s - passed_s)
            await self._cluster.clock.sleep(rows_s)
            await self._wait_at_random(cfg.table_spread_s)
            if not self._has_joined():
                await self._contact_fleet()
        except PlatformError as exc:
            log_event(
                "cannot join through the table; will retry",
                error=exc.message,
            )
        return True

    def _has_joined(self) -> bool:
        """Return whether nodes here and of other data centres are known."""
        data_centres = self._cluster.view.list_data_centres()
        return bool(self._cluster.peers) and len(data_centres) > 1

    async def _renew_own_row(self) -> bool:
        """Write this node's row if it is due; return whether it is there."""
        if self._seed_table is None or self._seed_table.is_own_row_recent:
            return True
        return await self.write_own_row()

    async def _rejoin(self) -> bool:
        """Contact nodes of every data centre after a restart.

        Return whether one responded. The table still holds the peers'
        rows from before the restart, so there is no need to wait until
        they are written.
        """
        if self._seed_table is None:
            return False
        await self._wait_at_random(REJOIN_SPREAD_S)
        try:
            if not await self._seed_table.find_own_row():
                return False
            return await self._contact_fleet()
        except PlatformError as exc:
            log_event(
                "cannot read peers from the table; joining through seeds",
                error=exc.message,
            )
            return False

    async def _contact_fleet(self) -> bool:
        """Contact nodes of every data centre from their rows.

        Return whether one responded; raise PlatformError.
        """
        fleet = await self._seed_table.read_fleet()
        local_addresses = fleet.pop(self._cluster.own_record.data_centre, [])
        responded = await self._contact_seeds(local_addresses)
        for addresses in fleet.values():
            address = self._cluster.random.choice(addresses)
            responded = await self._contact_seeds([address]) or responded
        return responded

    async def write_own_row(self) -> bool:
        """Write this node's row; return whether the write succeeded."""
        if self._seed_table is None:
            return False
        try:
            await self._seed_table.write_own_row()
        except PlatformError as exc:
            log_event(
                "cannot write this node's row to the table; will retry",
                error=exc.message,
            )
            return False
        return True

    async def save_departures(self) -> None:
        """Write unsaved departures into this node's row, with backoff."""
        if self._save_backoff.start_if_due() and await self.write_own_row():
            self._save_backoff.reset()

    async def contact_after_pause(self) -> None:
        """Contact table and seeds after a pause, while there are no peers."""
        if self._pause_backoff.start_if_due():
            await self.write_own_row()
            await self._contact_seeds(self._cluster.cfg.seed_addresses)

    def draw_refresh_interval(self) -> float:
        """Return a random delay until the next refresh, in seconds."""
        interval_s = self._cluster.cfg.table_refresh_s
        return interval_s * self._cluster.random.uniform(0.5, 1.5)

    async def _discover_nodes(self) -> None:
        """Contact seeds that are not addresses of known nodes."""
        addresses = list(self._cluster.cfg.seed_addresses)
        if self._seed_table is not None:
            try:
                addresses += await self._read_own_data_centre()
                addresses += await self._seed_table.read_all_data_centres()
            except PlatformError as exc:
                log_event(
                    "cannot read seeds from the table; using those found",
                    error=exc.message,
                )
        known = {
            record.address
            for record in self._cluster.view.list_nodes()
            if record.state is not NodeState.DEAD
        }
        await self._contact_seeds([a for a in addresses if a not in known])

    async def _wait_at_random(self, limit_s: float) -> None:
        """Wait for a random time of at most limit_s."""
        await self._cluster.clock.sleep(
            self._cluster.random.uniform(0.0, limit_s)
        )

    async def _read_own_data_centre(self) -> list[Address]:
        own = self._cluster.own_record.data_centre
        return await self._seed_table.read_data_centre(own)

    async def _contact_seeds(self, addresses: list[Address]) -> bool:
        """Exchange views with a few nodes; return whether one responded."""
        own = self._cluster.own_record.address
        others = [a for a in addresses if a != own]
        count = min(len(others), MAX_SEEDS)
        responded = False
        for address in self._cluster.random.sample(others, count):
            try:
                await self._exchange_views(address)
                responded = True
            except PeerUnreachableError:
                self._cluster.stats.failed_exchanges += 1
        return responded

    async def _exchange_views(self, address: Address) -> None:
        cluster = self._cluster
        if len(cluster.view) == 1:
            await self._sender.pull_view(address, cross=True)
            return
        response = await self._sender.send_records(
            address, [cluster.own_record], cross=True
        )
        if response.view_digest != cluster.view.digest:
            await self._repair.compare(address, cross=True)
