"""Runs a whole deployment on loopback and prints the results.

Starts the platform stand-in, three data centres with two nodes and two
backend server stand-ins each, creates a configuration through auburnctl,
sends calls of every priority, changes the configuration while they run
and stops everything. Exits with 1 if a call was lost, was executed more
than once or got a wrong response.
"""

import shutil
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from datetime import datetime
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import curio
import orjson
from rich.console import Console
from rich.table import Table

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.programs import run_program
from auburnjunction.commands.load_results import LoadResult
from auburnjunction.commands.loads import run_load
from auburnjunction.commands.mixes import CallMix, LoadPlan
from auburnjunction.model.codecs import dump_snapshot_json
from auburnjunction.model.routes import Route
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.standins.deployments import Deployment, open_deployment
from auburnjunction.standins.processes import (
    HOST,
    fetch,
    find_binary,
    wait_until,
)
from auburnjunction.standins.workloads import WORKLOADS, Workload

LOAD_DURATION_S = 6.0
CHANGE_AFTER_S = 2.0
RATE_PER_S = 20.0
BODY_BYTES = 200
CONVERGENCE_LIMIT_S = 5.0
CHANGED_TIMEOUT_MS = 2500
CONTROL_BYTES_METRICS = (
    "auburn_membership_bytes_sent_total",
    "auburn_membership_cross_bytes_sent_total",
    "auburn_distribution_bytes_local_total",
    "auburn_distribution_bytes_remote_total",
)


class DemoError(Exception):
    """Raised when the deployment does not behave as expected."""


@cappa.command(name="demo")
@attrs.frozen
class DemoCommand:
    """Run a whole deployment on loopback and print the results."""

    deployment: Annotated[
        str, cappa.Arg(long=True, help="tuttipullo or karafka")
    ] = "tuttipullo"
    keep: Annotated[
        bool, cappa.Arg(long=True, help="Keep logs and settings")
    ] = False


@attrs.frozen
class ChangeResult:
    """Delay from commit to in force on each node, for one revision."""

    revision: int
    times_s: tuple[float, ...]


def run_auburnctl(deployment: Deployment, *arguments: str) -> dict:
    """Run auburnctl against the first node; return its JSON output."""
    command = [find_binary("auburnctl"), "--output", "json"]
    command += ["--address", deployment.operators_addresses[0]]
    completed = subprocess.run(
        [*command, *arguments], capture_output=True, check=False
    )
    if completed.returncode:
        raise DemoError(
            f"auburnctl {arguments[0]}: {completed.stderr.decode()}"
        )
    return orjson.loads(completed.stdout)


def write_snapshot(deployment: Deployment, snapshot: Snapshot) -> str:
    """Write a configuration file and return its path."""
    path = deployment.directory / "configuration.json"
    path.write_bytes(dump_snapshot_json(snapshot))
    return str(path)


def create_configuration(deployment: Deployment) -> ChangeResult:
    """Create the workload's configuration and measure its convergence."""
    path = write_snapshot(deployment, deployment.workload.snapshot)
    commit = run_auburnctl(deployment, "create", path)
    return measure_convergence(deployment, commit)


def change_configuration(deployment: Deployment) -> ChangeResult:
    """Change one route's timeout and measure the convergence."""
    snapshot = deployment.workload.snapshot
    first = attrs.evolve(snapshot.routes[0], timeout_ms=CHANGED_TIMEOUT_MS)
    changed = attrs.evolve(snapshot, routes=(first, *snapshot.routes[1:]))
    path = write_snapshot(deployment, changed)
    commit = run_auburnctl(deployment, "apply", path, "--revision", "1")
    return measure_convergence(deployment, commit)


def measure_convergence(deployment: Deployment, commit: dict) -> ChangeResult:
    """Wait until a commit is in force on every node; return the delays."""
    revision = int(commit["revision"])
    wait_until(
        lambda: all(
            deployment.read_revision(host) >= revision
            for host in deployment.hosts
        ),
        CONVERGENCE_LIMIT_S,
        f"revision {revision} on every node",
    )
    times_s = [
        find_in_force_s(deployment, name, revision)
        - datetime.fromisoformat(commit["committed_at"]).timestamp()
        for name in deployment.nodes
    ]
    return ChangeResult(revision, tuple(times_s))


def find_in_force_s(deployment: Deployment, node: str, revision: int) -> float:
    """Return the time at which a node logged the revision as in force."""
    for event in deployment.nodes[node].read_events():
        in_force = event.get("message") == "configuration in force"
        if in_force and event.get("revision") == revision:
            return datetime.fromisoformat(event["time"]).timestamp()
    raise DemoError(f"{node} did not log revision {revision}")


def make_mix(route: Route) -> CallMix:
    """Return the call mix for one route."""
    method = "GET" if route.repeatable else "POST"
    return CallMix(
        name=route.name,
        path=f"{route.path_prefix}/{{n}}",
        rate_per_s=RATE_PER_S,
        priority=route.priority.name.lower(),
        method=method,
        body_bytes=0 if route.repeatable else BODY_BYTES,
        repeatable=route.repeatable,
    )


def make_plan(deployment: Deployment) -> LoadPlan:
    """Return a load plan that covers every route and checks executions."""
    routes = deployment.workload.snapshot.routes
    return LoadPlan(
        nodes=tuple(deployment.caller_addresses),
        mixes=tuple(make_mix(route) for route in routes),
        duration_s=LOAD_DURATION_S,
        backends=tuple(
            f"{HOST}:{host.backend_port}" for host in deployment.hosts
        ),
    )


def run_load_with_change(
    deployment: Deployment,
) -> tuple[LoadResult, ChangeResult]:
    """Run the load and change the configuration while it runs."""
    changes: list[ChangeResult] = []

    def change() -> None:
        time.sleep(CHANGE_AFTER_S)
        changes.append(change_configuration(deployment))

    thread = threading.Thread(target=change)
    thread.start()
    result = curio.run(run_load, make_plan(deployment), SystemClock())
    thread.join()
    if not changes:
        raise DemoError("the change during the load failed")
    return result, changes[0]


def read_control_bytes(port: int) -> int:
    """Return the control bytes that a node has exchanged with others."""
    total = 0.0
    for line in fetch(port, "/metrics")[1].decode().splitlines():
        if line.startswith(CONTROL_BYTES_METRICS):
            total += float(line.rpartition(" ")[2])
    return int(total)


def print_nodes(console: Console, deployment: Deployment) -> None:
    """Print each node's revision and control bytes."""
    table = Table(title="Nodes")
    for name in ("node", "data centre", "revision", "control bytes"):
        table.add_column(name)
    for host in deployment.hosts:
        table.add_row(
            host.name,
            host.data_centre,
            str(deployment.read_revision(host)),
            str(read_control_bytes(host.admin_port)),
        )
    console.print(table)


def print_changes(console: Console, changes: list[ChangeResult]) -> None:
    """Print the convergence time of each change."""
    table = Table(title="Changes, from commit to in force")
    for name in ("revision", "nodes", "median ms", "slowest ms"):
        table.add_column(name)
    for change in changes:
        table.add_row(
            str(change.revision),
            str(len(change.times_s)),
            f"{statistics.median(change.times_s) * 1000:.0f}",
            f"{max(change.times_s) * 1000:.0f}",
        )
    console.print(table)


def print_calls(console: Console, result: LoadResult) -> None:
    """Print the outcomes and latencies of the calls by priority."""
    table = Table(title="Calls")
    names = ("priority", "sent", "ok", "not run", "unknown", "wrong")
    for name in (*names, "p50 ms", "p99 ms"):
        table.add_column(name)
    for row in result.by_priority:
        table.add_row(
            row.priority,
            str(row.sent),
            str(row.ok),
            str(row.not_run),
            str(row.unknown),
            str(row.wrong),
            f"{row.latency.p50_ms:.1f}",
            f"{row.latency.p99_ms:.1f}",
        )
    console.print(table)


def find_faults(result: LoadResult, codes: dict) -> list[str]:
    """Return the faults of the run, one line each."""
    faults = []
    if result.violations:
        faults.append(f"{result.violations} calls violated a guarantee")
    lost = result.sent - sum(row.ok for row in result.by_priority)
    if lost:
        faults.append(f"{lost} calls got no successful response")
    for name, code in codes.items():
        if code != 0:
            faults.append(f"{name} ended with exit code {code}")
    return faults


def run_demo(workload: Workload, directory: Path, console: Console) -> int:
    """Run the deployment; return the exit code."""
    overrides = {"routing": {"access_log_share": 1.0, "error_log_share": 1.0}}
    with open_deployment(
        workload, directory, node_overrides=overrides
    ) as deployment:
        created = create_configuration(deployment)
        deployment.wait_ready()
        deployment.wait_for_all_instances()
        result, changed = run_load_with_change(deployment)
        print_nodes(console, deployment)
        print_changes(console, [created, changed])
        print_calls(console, result)
        faults = find_faults(result, deployment.stop())
    for fault in faults:
        console.print(f"fault: {fault}")
    console.print(
        f"executions checked: {result.history.executions}"
        if result.history
        else "executions not checked"
    )
    return 1 if faults else 0


def run_command(command: DemoCommand) -> int:
    """Run the demo in a temporary directory."""
    workload = WORKLOADS.get(command.deployment)
    if workload is None:
        names = " or ".join(WORKLOADS)
        print(f"--deployment: {command.deployment!r}; write {names}")
        return 2
    directory = Path(tempfile.mkdtemp(prefix="auburn-demo-"))
    try:
        return run_demo(workload, directory, Console())
    finally:
        if command.keep:
            print(f"logs and settings: {directory}")
        else:
            shutil.rmtree(directory)


if __name__ == "__main__":
    sys.exit(run_program(DemoCommand, run_command))
