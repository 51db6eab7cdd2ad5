"""Measures the distribution of revisions to nodes in three data centres.

The nodes are tasks of a few processes on loopback, each with its own
listener, membership and distributor, on one platform stand-in.
Exchanges between data centres are delayed by a round trip. Two
baselines are compared with the design: every node polls the platform,
and whole snapshots are sent instead of deltas. Prints JSON.
"""

import argparse
import os
import socket
import statistics
import sys
import time
from contextlib import (
    ExitStack,
)
from random import Random

import orjson
from distribution_fleets import Fleet
from distribution_trials import (
    CHANGE_GAP_S,
    FIRST_PORT,
    HOST,
    LAST_PORT,
    MODES,
    PROCESSES,
    ROUND_TRIP_S,
    ROUTES_PER_SERVICE,
    SERVICES,
    Trial,
)


def has_revision(revision: int):
    """Return a predicate: a node's report has at least this revision."""
    return lambda node: any(
        applied >= revision for applied, _ in node["applied"]
    )


def sum_bytes(nodes: list[dict], *kinds: str) -> int:
    """Return the bytes of the given kinds, summed over all nodes."""
    return sum(node[kind] for node in nodes for kind in kinds)


def run_trial(trial: Trial) -> dict:
    """Run one trial and return its figures."""
    fleet = Fleet(trial)
    try:
        fleet.run_on_one(0, "commit", 0)
        fleet.wait_for(has_revision(1))
        fleet.wait_for(lambda node: node["alive"] == trial.nodes)
        result = {
            "nodes": trial.nodes,
            "mode": trial.mode,
            "changes": trial.changes,
        }
        result.update(measure_idle(fleet))
        result.update(measure_changes(fleet, result))
        if trial.is_design:
            result.update(measure_storm(fleet))
        return result
    finally:
        fleet.stop()


def measure_idle(fleet: Fleet) -> dict:
    """Measure a fleet whose configuration does not change."""
    before, usage = fleet.report(), fleet.run_on_all("measure")
    reads = fleet.query_platform("stats")["reads"]
    idle_s = fleet.trial.idle_s
    time.sleep(idle_s)
    after, used = fleet.report(), fleet.run_on_all("measure")
    reads = fleet.query_platform("stats")["reads"] - reads
    count = len(after) * idle_s

    def rate(kind: str) -> float:
        size = sum_bytes(after, kind) - sum_bytes(before, kind)
        return round(size / count, 1)

    cpu_s = sum(u["cpu_s"] for u in used) - sum(u["cpu_s"] for u in usage)
    return {
        "idle_platform_reads_per_s": round(reads / idle_s, 1),
        "idle_control_bytes_per_node_s": rate("control"),
        "idle_gossip_bytes_per_node_s": rate("gossip"),
        "idle_platform_bytes_per_node_s": rate("platform"),
        "idle_core_share_per_node": round(cpu_s / count, 4),
        "max_rss_kb_per_process": max(u["max_rss_kb"] for u in used),
    }


def measure_changes(fleet: Fleet, idle: dict) -> dict:
    """Measure changes, each committed at the next process in turn."""
    before = fleet.report()
    start_s = time.monotonic()
    delays = []
    for number in range(1, fleet.trial.changes + 1):
        accepted_s = fleet.run_on_one(number, "commit", number)
        nodes = fleet.wait_for(has_revision(number + 1))
        delays += [
            1000 * max(0.0, find_in_force_s(node, number + 1) - accepted_s)
            for node in nodes
        ]
        time.sleep(CHANGE_GAP_S)
    after = fleet.report()
    elapsed_s = time.monotonic() - start_s
    changes = len(after) * fleet.trial.changes

    def per_change(kind: str) -> int:
        size = sum_bytes(after, kind) - sum_bytes(before, kind)
        idle_rate = idle.get(f"idle_{kind}_bytes_per_node_s", 0)
        return round((size - idle_rate * len(after) * elapsed_s) / changes)

    delays.sort()
    remote = sum_bytes(after, "remote") - sum_bytes(before, "remote")
    return {
        "convergence_ms": {
            "p50": round(statistics.median(delays), 1),
            "p99": round(delays[int(0.99 * (len(delays) - 1))], 1),
            "max": round(delays[-1], 1),
        },
        "control_bytes_per_node_change": per_change("control"),
        "platform_bytes_per_node_change": per_change("platform"),
        "remote_bytes_per_s": round(remote / elapsed_s),
    }


def find_in_force_s(node: dict, revision: int) -> float:
    """Return the time at which a node had at least the revision in force."""
    return min(at for applied, at in node["applied"] if applied >= revision)


def measure_storm(fleet: Fleet) -> dict:
    """Restart every node at once and measure the load on the platform."""
    fleet.query_platform("reset")
    restart_s = time.monotonic()
    fleet.run_on_all("restart")
    nodes = fleet.wait_for(lambda node: node["ready_s"] > 0)
    stats = fleet.query_platform("stats")
    ready = sorted(node["ready_s"] - restart_s for node in nodes)
    return {
        "storm_ready_s": {
            "p50": round(statistics.median(ready), 2),
            "max": round(ready[-1], 2),
        },
        "storm_peak_reads_per_s": stats["peak_reads_per_s"],
        "storm_peak_writes_per_s": stats["peak_writes_per_s"],
    }


def find_ports(count: int, random: Random) -> int:
    """Return the first port of a range of free ports."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        try:
            with ExitStack() as stack:
                for port in range(first, first + count):
                    sock = socket.socket()
                    stack.enter_context(sock)
                    sock.bind((HOST, port))
            return first
        except OSError:
            continue


def list_trials(modes: str, sizes: str) -> list[tuple[str, int]]:
    """Return the trials: the design first, then the largest fleets."""
    numbers = [int(size) for size in sizes.split(",")]
    trials = [(mode, n) for mode in modes.split(",") for n in numbers]
    return sorted(trials, key=lambda trial: (trial[0] != MODES[0], -trial[1]))


def main() -> int:
    """Run trials until the time limit; list the others as not run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="6,24,60,150")
    parser.add_argument("--modes", default=",".join(MODES))
    parser.add_argument("--limit-s", type=float, default=80.0)
    args = parser.parse_args()
    start_s = time.monotonic()
    trials, skipped = [], []
    random = Random()
    for mode, size in list_trials(args.modes, args.sizes):
        port = find_ports(size + 1, random)
        trial = Trial(mode, size, port + 1, port)
        if time.monotonic() - start_s > args.limit_s:
            skipped.append({"nodes": size, "mode": mode})
            continue
        try:
            trials.append(run_trial(trial))
        except (EOFError, OSError) as exc:
            trials.append({"nodes": size, "mode": mode, "failed": repr(exc)})
    result = {
        "cores": os.cpu_count(),
        "processes": PROCESSES,
        "round_trip_ms": ROUND_TRIP_S * 1000,
        "services": SERVICES,
        "routes": SERVICES * ROUTES_PER_SERVICE,
        "elapsed_s": round(time.monotonic() - start_s, 1),
        "trials": trials,
        "not_run": skipped,
    }
    print(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode())
    return 1 if any("failed" in trial for trial in trials) else 0


if __name__ == "__main__":
    sys.exit(main())
