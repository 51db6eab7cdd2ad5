"""Output of auburnctl as tables or JSON."""

from collections.abc import Sequence
from datetime import UTC, datetime

import attrs
import orjson
from rich.console import Console
from rich.table import Table

from auburnjunction.distribution.records import Commit
from auburnjunction.model.codecs import dump_snapshot_json
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.schema import control_pb2 as pb

Values = dict[str, object]


@attrs.frozen
class View:
    """The result of a command.

    JSON output prints the values. Table output prints the title and the
    rows; columns are the keys of a row to show.
    """

    values: object
    rows: Sequence[Values] = ()
    columns: Sequence[str] = ()
    title: str = ""


def print_view(view: View, output: str) -> None:
    """Print a view to standard output as JSON or a table."""
    if output == "json":
        print(orjson.dumps(view.values, option=orjson.OPT_INDENT_2).decode())
        return
    console = Console(soft_wrap=True)
    if view.title:
        console.print(view.title, markup=False, highlight=False)
    if view.columns:
        console.print(_make_table(view))


def _make_table(view: View) -> Table:
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in view.columns:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in view.rows:
        table.add_row(*(_format(row.get(name)) for name in view.columns))
    return table


def _format(value: object) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return "" if value is None else str(value)


def list_commit_values(commit: Commit) -> Values:
    """Return a commit as JSON-compatible values."""
    return {
        "revision": commit.revision,
        "digest": commit.digest.hex(),
        "base_revision": commit.base_revision,
        "operation_id": commit.operation_id,
        "operator": commit.operator,
        "comment": commit.comment,
        "committed_at": format_time(commit.committed_at),
    }


def list_snapshot_values(snapshot: Snapshot) -> Values:
    """Return a configuration in the structure of its JSON file."""
    return orjson.loads(dump_snapshot_json(snapshot))


def list_node_values(record: pb.NodeRecord) -> Values:
    """Return a node as JSON-compatible values."""
    return {
        "node": record.node,
        "data_centre": record.data_centre,
        "address": f"{record.host}:{record.peer_port}",
        "state": format_state(pb.NodeState, record.state),
        "revision": record.revision,
        "backends": len(record.instances),
    }


def list_backend_values(
    instance: pb.InstanceRecord, record: pb.NodeRecord | None = None
) -> Values:
    """Return a backend server as JSON-compatible values."""
    values = {
        "instance": instance.instance,
        "service": instance.service,
        "state": format_state(pb.InstanceState, instance.state),
        "slots": instance.slots,
        "load_percent": instance.load_percent,
        "resources": list(instance.resources),
    }
    if record is not None:
        values["node"] = record.node
        values["data_centre"] = record.data_centre
    return values


def format_state(enum, value: int) -> str:
    """Return the lower-case name of a protobuf state without its prefix."""
    return enum.Name(value).rpartition("STATE_")[2].lower()


def format_time(time: datetime) -> str:
    """Return a time as ISO 8601 in UTC with milliseconds."""
    text = time.astimezone(UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")
