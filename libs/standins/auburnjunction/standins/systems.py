"""Drives whole deployments for failure tests and benchmarks."""

import contextlib
import subprocess
import time
from datetime import datetime
from pathlib import Path

import attrs
import orjson

from auburnjunction.base.errors import ExitCode
from auburnjunction.model.codecs import dump_snapshot_json
from auburnjunction.standins.deployments import Deployment, open_deployment
from auburnjunction.standins.processes import (
    HOST,
    fetch,
    find_binary,
    wait_until,
)
from auburnjunction.standins.workloads import TUTTIPULLO

CONVERGENCE_LIMIT_S = 5.0
LEAVING_LIMIT_S = 3.0
AUBURNCTL_TIMEOUT_S = 30.0
# The rate limits of the platform apply to each second.
REFUSED_RETRY_DELAY_S = 1.0
BASE_TIMEOUT_MS = 2000
NODE_OVERRIDES = {
    "routing": {"access_log_share": 1.0, "error_log_share": 1.0},
    "drain_limit_s": 10.0,
}


@attrs.frozen
class AuburnctlResult:
    """Exit code and output of auburnctl."""

    exit_code: int
    values: dict
    error: str


@attrs.define
class LoadRun:
    """A running auburn-load."""

    process: subprocess.Popen

    def finish(self) -> dict:
        """Wait until it exits and return its results."""
        output, errors = self.process.communicate(timeout=120)
        assert output, errors.decode()
        return orjson.loads(output)


class System:
    """A deployment with a configuration in force and every node ready."""

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.hosts = deployment.hosts
        self.revision = 0

    def run_auburnctl(self, *arguments: str, host: int = 0) -> AuburnctlResult:
        """Run auburnctl against one node."""
        address = self.deployment.operators_addresses[host]
        command = [find_binary("auburnctl"), "--output", "json"]
        command += ["--address", address, *arguments]
        completed = subprocess.run(
            command,
            capture_output=True,
            timeout=AUBURNCTL_TIMEOUT_S,
            check=False,
        )
        values = orjson.loads(completed.stdout) if completed.stdout else {}
        return AuburnctlResult(
            completed.returncode, values, completed.stderr.decode()
        )

    def write_change(self, number: int) -> str:
        """Write a changed configuration; return its path.

        The number is added to the first route's timeout, so that
        different numbers give different configurations.
        """
        snapshot = self.deployment.workload.snapshot
        timeout_ms = BASE_TIMEOUT_MS + number
        route = attrs.evolve(snapshot.routes[0], timeout_ms=timeout_ms)
        changed = attrs.evolve(snapshot, routes=(route, *snapshot.routes[1:]))
        path = self.deployment.directory / f"change-{number}.json"
        path.write_bytes(dump_snapshot_json(changed))
        return str(path)

    def commit_change(self, host: int = 0) -> int:
        """Commit a change; return its revision.

        It retries as an operator would: a burst of calls may exceed the
        write rate limit of the platform, which then refuses the commit.
        """
        path = self.write_change(self.revision + 1)
        arguments = ("apply", path, "--revision", str(self.revision))
        end_s = time.monotonic() + CONVERGENCE_LIMIT_S
        result = self.run_auburnctl(*arguments, host=host)
        while (
            result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
            and time.monotonic() < end_s
        ):
            time.sleep(REFUSED_RETRY_DELAY_S)
            result = self.run_auburnctl(*arguments, host=host)
        assert result.exit_code == 0, result.error
        self.revision = result.values["revision"]
        return self.revision

    def wait_in_force(self, hosts=None, timeout_s=CONVERGENCE_LIMIT_S):
        """Wait until the last change is in force on the hosts."""
        for host in hosts or self.hosts:
            wait_until(
                lambda host=host: (
                    self.deployment.read_revision(host) >= self.revision
                ),
                timeout_s,
                f"revision {self.revision} on {host.name}",
            )

    def start_load(self, duration_s: float, rate_per_s=20.0, **plan):
        """Start auburn-load with calls of every route to every node.

        It reads the executions of all backend servers settle_s after
        its last call.
        """
        mixes = [
            {
                "name": route.name,
                "path": f"{route.path_prefix}/{{n}}",
                "rate_per_s": rate_per_s,
                "priority": route.priority.name.lower(),
                "method": "GET" if route.repeatable else "POST",
                "body_bytes": 0 if route.repeatable else 100,
                "repeatable": route.repeatable,
            }
            for route in self.deployment.workload.snapshot.routes
        ]
        values = {
            "nodes": self.deployment.caller_addresses,
            "mixes": mixes,
            "duration_s": duration_s,
            "backends": [f"{HOST}:{host.backend_port}" for host in self.hosts],
            **plan,
        }
        path = self.deployment.directory / "load.json"
        path.write_bytes(orjson.dumps(values))
        command = [find_binary("auburn-load"), "--settings", str(path)]
        command += ["--output", "json", "--check-executions"]
        return LoadRun(
            subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
            )
        )

    def set_platform_faults(self, **faults) -> None:
        """Replace the faults of the platform stand-in."""
        body = orjson.dumps(faults)
        fetch(self.deployment.platform_port, "/faults", "POST", body)

    def read_platform_stats(self) -> dict:
        """Return the statistics of the platform stand-in."""
        return orjson.loads(fetch(self.deployment.platform_port, "/stats")[1])

    def list_revisions(self, node: str) -> list[int]:
        """Return the revisions that a node put in force, in order of time."""
        events = self.deployment.nodes[node].read_events()
        return [
            event["revision"]
            for event in events
            if event.get("message") == "configuration in force"
        ]

    def check_revisions_increase(self) -> None:
        """Check that revisions only increase between restarts of a node."""
        for name in self.deployment.nodes:
            runs = self._list_revisions_by_start(name)
            for revisions in runs:
                assert revisions == sorted(set(revisions)), (name, runs)

    def _list_revisions_by_start(self, node: str) -> list[list[int]]:
        runs: list[list[int]] = []
        for event in self.deployment.nodes[node].read_events():
            if event.get("message") == "node listening":
                runs.append([])
            if event.get("message") == "configuration in force":
                if not runs:
                    runs.append([])
                runs[-1].append(event["revision"])
        return runs

    def list_calls(self, node: str, since: datetime) -> list[dict]:
        """Return the access log entries of an entry node after a time."""
        return [
            event
            for event in self.deployment.nodes[node].read_events()
            if event.get("message") == "call"
            and datetime.fromisoformat(event["time"]) > since
        ]


def check_guarantees(result: dict) -> None:
    """Check the guarantees on calls.

    No call may get a wrong response, run twice unless it is repeatable,
    run although it was refused, or succeed without a finished execution.
    """
    assert result["wrong"] == 0, result
    history = result["history"]
    violations = history["doubled"], history["ran_although_refused"]
    assert violations == (0, 0), history
    assert history["lost"] == 0, history


def count_calls(result: dict, field: str) -> int:
    """Return a field of the results, such as sent, over all priorities."""
    return sum(row[field] for row in result["by_priority"])


@contextlib.contextmanager
def open_system(directory: Path, **options):
    """Yield a System of the workload TUTTIPULLO that is ready for calls."""
    options.setdefault("node_overrides", NODE_OVERRIDES)
    with open_deployment(TUTTIPULLO, directory, **options) as deployment:
        system = System(deployment)
        path = system.write_change(0)
        result = system.run_auburnctl("create", path)
        assert result.exit_code == 0, result.error
        system.revision = result.values["revision"]
        deployment.wait_ready()
        deployment.wait_known()
        yield system
