"""Actions of the auburnctl commands on the administration API."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs

from auburnjunction.base.errors import ErrorCode
from auburnjunction.commands.control_differences import compare_snapshots
from auburnjunction.commands.control_errors import ControlError
from auburnjunction.commands.control_files import (
    InvalidFileError,
    read_configuration,
)
from auburnjunction.commands.control_views import (
    View,
    list_backend_values,
    list_commit_values,
    list_node_values,
    list_snapshot_values,
)
from auburnjunction.distribution.records import Commit
from auburnjunction.model.codecs import digest_snapshot
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.model.validators import validate_snapshot
from auburnjunction.operators.clients import OperatorsClient
from auburnjunction.operators.errors import OperatorsError
from auburnjunction.schema import control_pb2 as pb

POLL_INTERVAL_S = 0.1
COMMIT_COLUMNS = (
    "revision",
    "base_revision",
    "operator",
    "comment",
    "committed_at",
    "operation_id",
)
NODE_COLUMNS = (
    "node",
    "data_centre",
    "address",
    "state",
    "revision",
    "backends",
)
BACKEND_COLUMNS = (
    "instance",
    "service",
    "state",
    "slots",
    "load_percent",
    "node",
    "data_centre",
)
ROUTE_COLUMNS = (
    "name",
    "path_prefix",
    "methods",
    "service",
    "resource",
    "priority",
    "repeatable",
    "claims",
)


def validate_file(path: Path) -> View:
    """Validate a configuration file locally, without a call to a node."""
    snapshot = read_configuration(path)
    problems = validate_snapshot(snapshot)
    if problems:
        raise InvalidFileError(path, problems)
    values = {
        "valid": True,
        "services": len(snapshot.services),
        "routes": len(snapshot.routes),
        "digest": digest_snapshot(snapshot).hex(),
    }
    return View(
        values,
        title=f"valid: {values['services']} services, "
        f"{values['routes']} routes",
    )


def make_commit_view(commit: Commit, title: str = "") -> View:
    """Return a view of one commit."""
    values = list_commit_values(commit)
    return View(values, [values], COMMIT_COLUMNS, title)


@attrs.frozen
class ChangeOptions:
    """Base revision and metadata of a change."""

    base_revision: int
    operation_id: str
    operator: str
    comment: str


async def apply_file(
    client: OperatorsClient, path: Path, options: ChangeOptions
) -> View:
    """Validate a configuration file and commit it."""
    validate_file(path)
    commit = await client.apply(
        options.operation_id,
        options.base_revision,
        read_configuration(path),
        options.operator,
        options.comment,
    )
    return make_commit_view(commit, f"accepted as revision {commit.revision}")


async def roll_back(
    client: OperatorsClient, revision: int, options: ChangeOptions
) -> View:
    """Commit the content of an old revision as a new revision."""
    commit = await client.rollback(
        options.operation_id,
        options.base_revision,
        revision,
        options.operator,
        options.comment,
    )
    return make_commit_view(commit, f"accepted as revision {commit.revision}")


async def get_configuration(client: OperatorsClient, revision: int) -> View:
    """Return a revision with its configuration."""
    found = await client.get(revision)
    commit = list_commit_values(found.commit)
    values = list_snapshot_values(found.snapshot)
    return View(
        {"commit": commit, "configuration": values},
        values["routes"],
        ROUTE_COLUMNS,
        f"revision {found.commit.revision}, "
        f"{len(found.snapshot.services)} services",
    )


async def list_services(client: OperatorsClient) -> View:
    """Return the services of the head with the names of their routes."""
    found = await client.get()
    rows = [
        {
            "service": service.name,
            "resources": list(service.resources),
            "queue_limit": service.queue_limit,
            "attempt_timeout_ms": service.attempt_timeout_ms,
            "routes": _list_route_names(found.snapshot, service.name),
        }
        for service in found.snapshot.services
    ]
    columns = (
        "service",
        "resources",
        "queue_limit",
        "attempt_timeout_ms",
        "routes",
    )
    return View(rows, rows, columns, f"revision {found.commit.revision}")


def _list_route_names(snapshot: Snapshot, service: str) -> list[str]:
    return [r.name for r in snapshot.routes if r.service == service]


async def compare_revisions(
    client: OperatorsClient, old: str, new: str
) -> View:
    """Return the differences between two revisions or files."""
    before = await _load_snapshot(client, old)
    after = await _load_snapshot(client, new)
    rows = [attrs.asdict(d) for d in compare_snapshots(before, after)]
    title = "" if rows else "no differences"
    columns = ("kind", "name", "change", "fields")
    return View(rows, rows, columns if rows else (), title)


async def _load_snapshot(client: OperatorsClient, source: str) -> Snapshot:
    if source == "head":
        return (await client.get()).snapshot
    if source.isdigit():
        return (await client.get(int(source))).snapshot
    return read_configuration(Path(source))


async def list_history(
    client: OperatorsClient, before: int, limit: int
) -> View:
    """Return commits up to revision before, newest first."""
    rows = [list_commit_values(c) for c in await client.history(before, limit)]
    return View(rows, rows, COMMIT_COLUMNS)


async def find_operation(client: OperatorsClient, operation_id: str) -> View:
    """Return the commit of an operation id.

    Raise ControlError with NOT_FOUND when there is none.
    """
    commit = await client.find_operation(operation_id)
    if commit is None:
        raise ControlError(
            f"operation {operation_id} has not been applied",
            ErrorCode.NOT_FOUND,
            "repeat the change with the same operation id; it is applied once",
        )
    return make_commit_view(commit, f"applied as revision {commit.revision}")


async def list_nodes(client: OperatorsClient) -> View:
    """Return the nodes with the revision that is in force on each."""
    rows = [list_node_values(record) for record in await client.list_nodes()]
    rows.sort(key=lambda row: (row["data_centre"], row["node"]))
    return View(rows, rows, NODE_COLUMNS)


async def list_backends(client: OperatorsClient, service: str) -> View:
    """Return the backend servers of a service, or of all."""
    rows = [
        list_backend_values(instance, record)
        for record in await client.list_nodes()
        for instance in record.instances
        if service in ("", instance.service)
    ]
    rows.sort(key=lambda row: (row["service"], row["instance"]))
    return View(rows, rows, BACKEND_COLUMNS)


async def drain_instance(
    client: OperatorsClient, instance: str, drain: bool
) -> View:
    """Start or end the draining of a backend server."""
    values = list_backend_values(await client.drain(instance, drain))
    return View(values, [values], BACKEND_COLUMNS[:5])


@attrs.frozen
class WaitOptions:
    """Revision, number of nodes and time to wait for.

    Revision 0 means the head; 0 nodes means every live node.
    """

    revision: int
    nodes: int
    deadline_s: float


async def wait_until_in_force(
    client: OperatorsClient,
    options: WaitOptions,
    report_progress: Callable[[str], None],
) -> View:
    """Wait until a revision is in force on enough nodes.

    Raise ControlError with TIMEOUT at the deadline.
    """
    revision = options.revision
    if not revision:
        revision = (await client.get()).commit.revision
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    progress = ""
    while True:
        try:
            in_force, alive = _count_in_force(
                await client.list_nodes(), revision
            )
            progress = f"{in_force} of {alive} nodes"
            report_progress(progress)
            if in_force >= (options.nodes or max(alive, 1)):
                return _make_wait_view(revision, in_force, alive)
        except OperatorsError as exc:
            if exc.code is not ErrorCode.UNAVAILABLE:
                raise
            progress = exc.message
        if loop.time() - start_s >= options.deadline_s:
            raise ControlError(
                f"revision {revision} is not in force on enough nodes after "
                f"{options.deadline_s:g} s ({progress})",
                ErrorCode.TIMEOUT,
                "see 'auburnctl nodes' for the revision in force on each node",
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _make_wait_view(revision: int, in_force: int, alive: int) -> View:
    values = {"revision": revision, "in_force": in_force, "alive": alive}
    title = f"revision {revision} is in force on {in_force} of {alive} nodes"
    return View(values, title=title)


def _count_in_force(
    records: list[pb.NodeRecord], revision: int
) -> tuple[int, int]:
    alive = [r for r in records if r.state == pb.NODE_STATE_ALIVE]
    in_force = [r for r in alive if r.revision >= revision]
    return len(in_force), len(alive)
