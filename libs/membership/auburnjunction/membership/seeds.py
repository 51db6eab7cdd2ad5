"""Rows of the platform's table by which nodes find each other."""

from google.protobuf.message import DecodeError

from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address
from auburnjunction.membership.departures import Departure
from auburnjunction.membership.records import Node
from auburnjunction.membership.rosters import Roster
from auburnjunction.schema import control_pb2 as pb
from auburnjunction.storage.tables import (
    Row,
    Table,
)

ROW_PREFIX = "nodes/"
# Sorts behind every key of a data centre's rows.
AFTER_SEPARATOR = chr(ord("/") + 1)
MAX_ROWS = 200
MAX_SEEDS = 3
MAX_DATA_CENTRES = 64
# A row outlives this many refreshes that fail.
ROW_REFRESHES = 5


class SeedTable:
    """Rows of nodes in the platform's table."""

    def __init__(self, roster: Roster, table: Table):
        self._roster = roster
        self._table = table
        self._version: int | None = None

    async def write_own(self) -> None:
        """Refresh this node's row; raise PlatformError if that fails.

        After a failure the row's version is read again.
        """
        roster = self._roster
        own = roster.own
        key = make_key(own)
        timeout_s = roster.cfg.table_timeout_s
        started_s = roster.clock.monotonic()
        version, self._version = self._version, None
        if version is None:
            version = await self._read_version(key)
        change_count = roster.departures.change_count
        value = self._make_row().SerializeToString()
        roster.stats.table_writes += 1
        row = await self._table.put_if(key, value, version, timeout_s)
        self._version = row.version
        roster.departures.note_saved(change_count)
        roster.note_table(started_s)

    async def _read_version(self, key: str) -> int:
        """Return the version that an earlier life or write left.

        The departures that it saved are known again from then on.
        """
        self._roster.stats.table_reads += 1
        row = await self._table.get(key, self._roster.cfg.table_timeout_s)
        if row is None:
            return 0
        message = _parse_row(row)
        if message is not None:
            self._roster.departures.recall(
                Departure(item.instance, item.born_ms)
                for item in message.departures
            )
        return row.version

    async def find_own(self) -> bool:
        """Tell whether an earlier life of this node left a row.

        Raise PlatformError if the table does not answer.
        """
        own = self._roster.own
        self._version = await self._read_version(make_key(own))
        return self._version != 0

    async def read_fleet(self) -> dict[str, list[Address]]:
        """Return addresses by data centre; none if one page is too small.

        One read finds all nodes of a small fleet.
        """
        rows = await self._scan(ROW_PREFIX, "", MAX_ROWS)
        fleet: dict[str, list[Address]] = {}
        if len(rows) == MAX_ROWS:
            return fleet
        for message in self._parse_rows(rows):
            address = Address(message.host, message.peer_port)
            fleet.setdefault(message.data_centre, []).append(address)
        return fleet

    async def read_data_centre(self, data_centre: str) -> list[Address]:
        """Return addresses of one data centre's rows."""
        prefix = f"{ROW_PREFIX}{data_centre}/"
        return self._read_addresses(await self._scan(prefix, "", MAX_ROWS))

    async def read_any(self) -> list[Address]:
        """Return addresses of nodes of whatever data centre."""
        return self._read_addresses(await self._scan(ROW_PREFIX, "", MAX_ROWS))

    async def read_others(self) -> list[Address]:
        """Return addresses of a few nodes of every data centre."""
        addresses = []
        after = ""
        for _ in range(MAX_DATA_CENTRES):
            rows = await self._scan(ROW_PREFIX, after, MAX_SEEDS)
            if not rows:
                break
            addresses += self._read_addresses(rows)
            data_centre = rows[-1].key.split("/")[1]
            after = f"{ROW_PREFIX}{data_centre}{AFTER_SEPARATOR}"
        return addresses

    async def _scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        roster = self._roster
        started_s = roster.clock.monotonic()
        roster.stats.table_reads += 1
        rows = await self._table.scan(
            prefix, after, limit, roster.cfg.table_timeout_s
        )
        roster.note_table(started_s)
        return rows

    def _make_row(self) -> pb.NodeRow:
        roster = self._roster
        own = roster.own
        keep_s = roster.cfg.table_refresh_s * ROW_REFRESHES
        expires_s = roster.clock.now().timestamp() + keep_s
        return pb.NodeRow(
            node=own.node,
            data_centre=own.data_centre,
            host=own.address.host,
            peer_port=own.address.port,
            expires_ms=int(expires_s * 1000),
            departures=[
                pb.DepartureRecord(instance=d.instance, born_ms=d.born_ms)
                for d in roster.departures.list_all()
            ],
        )

    def _read_addresses(self, rows: list[Row]) -> list[Address]:
        return [
            Address(message.host, message.peer_port)
            for message in self._parse_rows(rows)
        ]

    def _parse_rows(self, rows: list[Row]) -> list[pb.NodeRow]:
        """Return the rows of other nodes that have not expired."""
        now_ms = self._roster.clock.now().timestamp() * 1000
        own = self._roster.own.node
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
        log_event("a row of a node is unreadable", key=row.key)
        return None
