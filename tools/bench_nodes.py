"""Measures the control overhead of real nodes, one process for each.

For each size: convergence of changes, then processor time, memory and
control bytes of idle nodes, then the simultaneous restart of all nodes
after a kill, with the load on the platform. Prints JSON.
"""

import statistics
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import orjson

from auburnjunction.base.programs import run_program
from auburnjunction.standins.deployments import Deployment, open_deployment
from auburnjunction.standins.processes import fetch, wait_until
from auburnjunction.standins.systems import System
from auburnjunction.standins.workloads import TUTTIPULLO

DEFAULT_SIZES = "6,24,60"
CHANGES = 5
IDLE_S = 10.0
SETTLE_S = 5.0
RESTART_LIMIT_S = 120.0
CONVERGENCE_LIMIT_S = 60.0
PROCESSOR_METRIC = "auburn_process_cpu_seconds_total"
MEMORY_METRIC = "auburn_process_peak_resident_bytes"
BYTES_METRICS = (
    "auburn_membership_bytes_sent_total",
    "auburn_distribution_bytes_local_total",
)
CROSS_BYTES_METRICS = (
    "auburn_membership_cross_bytes_sent_total",
    "auburn_distribution_bytes_remote_total",
)
PLATFORM_READS_METRIC = "auburn_distribution_platform_reads_total"


@cappa.command(name="bench_nodes")
@attrs.frozen
class BenchCommand:
    """Measure the control overhead of real nodes."""

    sizes: Annotated[
        str, cappa.Arg(long=True, help="numbers of nodes, with commas")
    ] = DEFAULT_SIZES
    data_centres: Annotated[
        int, cappa.Arg(long=True, help="data centres of every size")
    ] = 3


@attrs.frozen
class NodeSample:
    """Counters of one node at one point in time."""

    time_s: float
    processor_s: float
    memory_bytes: float
    local_bytes: float
    cross_bytes: float


@attrs.frozen
class IdleResult:
    """Resource use of an idle node; platform reads are of all nodes."""

    processor_percent: float
    processor_max_percent: float
    bytes_per_s: float
    # Of the node that sends the most, which is a link between data centres.
    bytes_per_s_max: float
    cross_bytes_per_s: float
    platform_reads_per_s: float


@attrs.frozen
class RestartResult:
    """Duration and platform load of a restart; peaks since the start."""

    lasted_s: float
    reads_per_s: float
    peak_reads_per_s: float
    peak_writes_per_s: float


@attrs.frozen
class SizeResult:
    """Results for one fleet size.

    Bytes are those of control exchanges, as counted by each sender.
    """

    nodes: int
    data_centres: int
    convergence_p50_ms: float
    convergence_p99_ms: float
    convergence_max_ms: float
    change_bytes_per_node: float
    change_cross_bytes: float
    idle_processor_percent: float
    idle_processor_max_percent: float
    idle_bytes_per_s: float
    idle_bytes_per_s_max: float
    idle_cross_bytes_per_s: float
    memory_max_mb: float
    idle_platform_reads_per_s: float
    return_s: float
    return_reads_per_s: float
    peak_reads_per_s: float
    peak_writes_per_s: float


def read_metrics(port: int) -> dict[str, float]:
    """Return each metric of a node, summed over its labels."""
    totals: dict[str, float] = {}
    for line in fetch(port, "/metrics")[1].decode().splitlines():
        if line.startswith("#") or not line:
            continue
        name = line.partition("{")[0].partition(" ")[0]
        value = float(line.rpartition(" ")[2])
        totals[name] = totals.get(name, 0.0) + value
    return totals


def sample_node(port: int) -> NodeSample:
    """Return the counters of one node."""
    metrics = read_metrics(port)
    return NodeSample(
        time.monotonic(),
        metrics[PROCESSOR_METRIC],
        metrics[MEMORY_METRIC],
        sum(metrics[name] for name in BYTES_METRICS),
        sum(metrics[name] for name in CROSS_BYTES_METRICS),
    )


def sample_nodes(deployment: Deployment) -> list[NodeSample]:
    """Return the counters of every node."""
    return [sample_node(host.admin_port) for host in deployment.hosts]


def measure_change(system: System) -> list[float]:
    """Commit a change; return each node's delay in milliseconds."""
    path = system.write_change(system.revision + 1)
    result = system.run_auburnctl(
        "apply", path, "--revision", str(system.revision)
    )
    if result.exit_code:
        raise RuntimeError(result.error)
    system.revision = result.values["revision"]
    system.wait_in_force(timeout_s=CONVERGENCE_LIMIT_S)
    committed = datetime.fromisoformat(result.values["committed_at"])
    return [
        (find_in_force_time(system, name) - committed).total_seconds() * 1000
        for name in system.deployment.nodes
    ]


def find_in_force_time(system: System, node: str) -> datetime:
    """Return the time when a node logged the last revision as in force."""
    for event in system.deployment.nodes[node].read_events():
        in_force = event.get("message") == "configuration in force"
        if in_force and event["revision"] == system.revision:
            return datetime.fromisoformat(event["time"])
    raise RuntimeError(f"{node} did not log revision {system.revision}")


def find_quantile(values: list[float], share: float) -> float:
    """Return the quantile of the values for a share from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_restart(system: System) -> RestartResult:
    """Kill all nodes, start them together and measure until ready."""
    deployment = system.deployment
    for node in deployment.nodes.values():
        node.kill()
    before = system.read_platform_stats()
    start_s = time.monotonic()
    for node in deployment.nodes.values():
        node.start()
    for host in deployment.hosts:
        wait_until(
            lambda host=host: deployment.read_status(host).ready,
            RESTART_LIMIT_S,
            f"{host.name} ready again",
        )
    lasted_s = time.monotonic() - start_s
    after = system.read_platform_stats()
    return RestartResult(
        lasted_s,
        (after["reads"] - before["reads"]) / lasted_s,
        after["peak_reads_per_s"],
        after["peak_writes_per_s"],
    )


def measure_size(
    count: int, data_centre_count: int, directory: Path
) -> SizeResult:
    """Start a deployment with this number of nodes and measure it."""
    data_centres = tuple(f"dc-{n:02}" for n in range(data_centre_count))
    workload = attrs.evolve(TUTTIPULLO, data_centres=data_centres)
    with open_deployment(
        workload, directory, count // data_centre_count
    ) as deployment:
        system = System(deployment)
        created = system.run_auburnctl("create", system.write_change(0))
        if created.exit_code:
            raise RuntimeError(created.error)
        system.revision = created.values["revision"]
        deployment.wait_ready()
        deployment.wait_for_all_instances()
        time.sleep(SETTLE_S)
        idle = measure_idle(system)
        before = sample_nodes(deployment)
        started_s = time.monotonic()
        delays = [d for _ in range(CHANGES) for d in measure_change(system)]
        lasted_s = time.monotonic() - started_s
        after = sample_nodes(deployment)
        restarted = measure_restart(system)
    local = sum(
        b.local_bytes - a.local_bytes
        for a, b in zip(before, after, strict=True)
    )
    cross = sum(
        b.cross_bytes - a.cross_bytes
        for a, b in zip(before, after, strict=True)
    )
    idle_total = idle.bytes_per_s * lasted_s * count
    idle_cross = idle.cross_bytes_per_s * lasted_s * count
    return SizeResult(
        nodes=count,
        data_centres=len(data_centres),
        convergence_p50_ms=statistics.median(delays),
        convergence_p99_ms=find_quantile(delays, 0.99),
        convergence_max_ms=max(delays),
        change_bytes_per_node=(local + cross - idle_total) / CHANGES / count,
        change_cross_bytes=(cross - idle_cross) / CHANGES,
        idle_processor_percent=idle.processor_percent,
        idle_processor_max_percent=idle.processor_max_percent,
        idle_bytes_per_s=idle.bytes_per_s,
        idle_bytes_per_s_max=idle.bytes_per_s_max,
        idle_cross_bytes_per_s=idle.cross_bytes_per_s,
        memory_max_mb=max(s.memory_bytes for s in after) / 1e6,
        idle_platform_reads_per_s=idle.platform_reads_per_s,
        return_s=restarted.lasted_s,
        return_reads_per_s=restarted.reads_per_s,
        peak_reads_per_s=restarted.peak_reads_per_s,
        peak_writes_per_s=restarted.peak_writes_per_s,
    )


def find_bytes_per_s(before: NodeSample, after: NodeSample) -> float:
    """Return the bytes per second that a node sent between two samples."""
    sent = after.local_bytes + after.cross_bytes
    sent -= before.local_bytes + before.cross_bytes
    return sent / (after.time_s - before.time_s)


def measure_idle(system: System) -> IdleResult:
    """Return the mean and maximum resource use of idle nodes."""
    deployment = system.deployment
    reads = system.read_platform_stats()["reads"]
    before = sample_nodes(deployment)
    time.sleep(IDLE_S)
    after = sample_nodes(deployment)
    reads = system.read_platform_stats()["reads"] - reads
    pairs = list(zip(before, after, strict=True))
    shares = [
        (b.processor_s - a.processor_s) / (b.time_s - a.time_s)
        for a, b in pairs
    ]
    local = sum(b.local_bytes - a.local_bytes for a, b in pairs)
    cross = sum(b.cross_bytes - a.cross_bytes for a, b in pairs)
    node_seconds = sum(b.time_s - a.time_s for a, b in pairs)
    return IdleResult(
        processor_percent=100 * statistics.mean(shares),
        processor_max_percent=100 * max(shares),
        bytes_per_s=(local + cross) / node_seconds,
        bytes_per_s_max=max(find_bytes_per_s(a, b) for a, b in pairs),
        cross_bytes_per_s=cross / node_seconds,
        platform_reads_per_s=reads * len(pairs) / node_seconds,
    )


def run_command(command: BenchCommand) -> int:
    """Measure every size and print the results."""
    results = []
    for size in command.sizes.split(","):
        with tempfile.TemporaryDirectory(prefix="auburn-bench-") as name:
            results.append(
                measure_size(int(size), command.data_centres, Path(name))
            )
    values = [attrs.asdict(result) for result in results]
    print(orjson.dumps(values, option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(run_program(BenchCommand, run_command))
