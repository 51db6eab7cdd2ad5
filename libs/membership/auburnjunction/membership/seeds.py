"""Rows of the platform's table through which nodes discover peers."""

import math

from google.protobuf.message import DecodeError

from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.records import (
    Node,
    decode_departures,
    encode_departures,
)
from auburnjunction.schema import control_pb2 as pb
from auburnjunction.storage.tables import (
    Row,
    Table,
    VersionConflictError,
)

ROW_PREFIX = "nodes/"
# Sorts after the keys of all rows of a data centre.
AFTER_SEPARATOR = chr(ord("/") + 1)
MAX_ROWS = 200
MAX_SEEDS = 3
MAX_DATA_CENTRES = 64
# A row expires after this many refresh intervals without a write, and is
# written again after the second number of them.
ROW_LIFETIME_REFRESHES = 5
ROW_REWRITE_REFRESHES = 2


class SeedTable:
    """Reads and writes the rows of nodes in the platform's table."""

    def __init__(self, cluster: ClusterState, table: Table):
        self._cluster = cluster
        self._table = table
        self._version: int | None = None
        self._written_s = -math.inf
        # Table generation of the last write of the row.
        self._written_generation = 0

    @property
    def is_own_row_recent(self) -> bool:
        """Whether this node's row needs no further write yet."""
        cluster = self._cluster
        age_s = cluster.clock.monotonic() - self._written_s
        limit_s = cluster.cfg.table_refresh_s * ROW_REWRITE_REFRESHES
        return (
            age_s < limit_s
            and cluster.departures.is_saved
            and not self._may_have_lost_row
        )

    @property
    def _may_have_lost_row(self) -> bool:
        """Whether the table was restored after the last write of the row."""
        return 0 < self._written_generation < self._cluster.table_generation

    def observe_generation(self) -> None:
        """Detect whether the table has been restored."""
        self._cluster.observe_table_generation(self._table.generation)

    async def insert_own_row(self) -> bool:
        """Write this node's first row; return whether there was none.

        An existing row is left as it is. Raise PlatformError.
        """
        self._version = 0
        try:
            await self.write_own_row()
        except VersionConflictError:
            return False
        self._cluster.recovery.record_first_read(False, 0.0)
        return True

    async def write_own_row(self) -> None:
        """Write this node's row; raise PlatformError if that fails.

        The next write after a failure reads the row's version again.
        """
        cluster = self._cluster
        own = cluster.own_record
        key = make_key(own)
        timeout_s = cluster.cfg.table_timeout_s
        started_s = cluster.clock.monotonic()
        version, self._version = self._version, None
        if version is None or self._may_have_lost_row:
            version = await self._read_version(key)
        generation = cluster.table_generation
        change_count = cluster.departures.change_count
        value = self._make_row().SerializeToString()
        cluster.stats.table_writes += 1
        row = await self._table.put_if(key, value, version, timeout_s)
        self.observe_generation()
        # A restore during the write may have lost it, so the generation
        # from before is the one that counts.
        self._written_generation = generation or cluster.table_generation
        self._version = row.version
        self._written_s = started_s
        cluster.departures.mark_saved(change_count)
        cluster.record_table_response(started_s)

    async def _read_version(self, key: str) -> int:
        """Return the version of this node's row, 0 if there is none.

        The departures in the row are restored into the departure log.
        """
        self._cluster.stats.table_reads += 1
        row = await self._table.get(key, self._cluster.cfg.table_timeout_s)
        self._cluster.has_read_row = True
        if row is None:
            return 0
        message = _parse_row(row)
        if message is not None:
            departures = decode_departures(message.departures)
            self._cluster.departures.restore(departures)
        return row.version

    async def find_own_row(self) -> bool:
        """Return whether this node has a row from before its restart.

        Raise PlatformError if the table does not respond.
        """
        cluster = self._cluster
        started_s = cluster.clock.monotonic()
        self._version = await self._read_version(make_key(cluster.own_record))
        duration_s = cluster.clock.monotonic() - started_s
        found = self._version != 0
        cluster.recovery.record_first_read(found, duration_s)
        return found

    async def read_fleet(self) -> dict[str, list[Address]]:
        """Return other nodes' addresses by data centre.

        In a fleet with more rows than fit into one page, those are nodes of
        this data centre and a few of each other one.
        """
        rows = await self._scan(ROW_PREFIX, "", MAX_ROWS)
        if len(rows) == MAX_ROWS:
            own = self._cluster.own_record.data_centre
            prefix = f"{ROW_PREFIX}{own}/"
            rows = await self._scan(prefix, "", MAX_ROWS)
            rows += [
                row
                for row in await self._scan_all_data_centres()
                if not row.key.startswith(prefix)
            ]
        fleet: dict[str, list[Address]] = {}
        for message in self._parse_rows(rows):
            address = Address(message.host, message.peer_port)
            fleet.setdefault(message.data_centre, []).append(address)
        return fleet

    async def read_data_centre(self, data_centre: str) -> list[Address]:
        """Return addresses of nodes of one data centre."""
        prefix = f"{ROW_PREFIX}{data_centre}/"
        return self._read_addresses(await self._scan(prefix, "", MAX_ROWS))

    async def read_any(self) -> list[Address]:
        """Return addresses of nodes of any data centre."""
        return self._read_addresses(await self._scan(ROW_PREFIX, "", MAX_ROWS))

    async def read_all_data_centres(self) -> list[Address]:
        """Return addresses of a few nodes of every data centre."""
        return self._read_addresses(await self._scan_all_data_centres())

    async def _scan_all_data_centres(self) -> list[Row]:
        """Return the first rows of every data centre."""
        found = []
        after = ""
        for _ in range(MAX_DATA_CENTRES):
            rows = await self._scan(ROW_PREFIX, after, MAX_SEEDS)
            if not rows:
                break
            found += rows
            data_centre = rows[-1].key.split("/")[1]
            after = f"{ROW_PREFIX}{data_centre}{AFTER_SEPARATOR}"
        return found

    async def _scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        cluster = self._cluster
        started_s = cluster.clock.monotonic()
        cluster.stats.table_reads += 1
        rows = await self._table.scan(
            prefix, after, limit, cluster.cfg.table_timeout_s
        )
        cluster.record_table_response(started_s)
        return rows

    def _make_row(self) -> pb.NodeRow:
        cluster = self._cluster
        own = cluster.own_record
        keep_s = cluster.cfg.table_refresh_s * ROW_LIFETIME_REFRESHES
        expires_s = cluster.clock.now().timestamp() + keep_s
        return pb.NodeRow(
            node=own.node,
            data_centre=own.data_centre,
            host=own.address.host,
            peer_port=own.address.port,
            expires_ms=int(expires_s * 1000),
            departures=encode_departures(cluster.departures.list_all()),
        )

    def _read_addresses(self, rows: list[Row]) -> list[Address]:
        return [
            Address(message.host, message.peer_port)
            for message in self._parse_rows(rows)
        ]

    def _parse_rows(self, rows: list[Row]) -> list[pb.NodeRow]:
        """Return the rows of other nodes that have not expired."""
        now_ms = self._cluster.clock.now().timestamp() * 1000
        own = self._cluster.own_record.node
        messages = (_parse_row(row) for row in rows)
        return [
            message
            for message in messages
            if message is not None
            and message.expires_ms > now_ms
            and message.node != own
        ]


def make_key(record: Node) -> str:
    """Return the key of a node's row."""
    return f"{ROW_PREFIX}{record.data_centre}/{record.node}"


def _parse_row(row: Row) -> pb.NodeRow | None:
    try:
        return pb.NodeRow.FromString(row.value)
    except DecodeError:
        log_event("cannot parse the row of a node; skipping it", key=row.key)
        return None
