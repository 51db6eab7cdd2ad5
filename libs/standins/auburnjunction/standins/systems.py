"""Drives whole deployments, for tests under failure and for benches."""

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
COMMAND_TIMEOUT_S = 30.0
# The platform counts its rates by the second.
REFUSED_WAIT_S = 1.0
FIRST_TIMEOUT_MS = 2000
NODE_OVERRIDES = {
    "routing": {"access_log_share": 1.0, "error_log_share": 1.0},
    "drain_limit_s": 10.0,
}


@attrs.frozen
class ControlResult:
    """Exit code and output of auburnctl."""

    exit_code: int
    values: dict
    error: str


@attrs.define
class LoadRun:
    """A running auburn-load."""

    process: subprocess.Popen

    def finish(self) -> dict:
        """Wait for the end; return the results."""
        output, errors = self.process.communicate(timeout=120)
        assert output, errors.decode()
        return orjson.loads(output)


class System:
    """A deployment with a configuration in force and every node ready."""

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.hosts = deployment.hosts
        self.revision = 0

    def run_auburnctl(self, *arguments: str, host: int = 0) -> ControlResult:
        """Run auburnctl against one node."""
        address = self.deployment.operators_addresses[host]
        command = [find_binary("auburnctl"), "--output", "json"]
        command += ["--address", address, *arguments]
        done = subprocess.run(
            command,
            capture_output=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        values = orjson.loads(done.stdout) if done.stdout else {}
        return ControlResult(done.returncode, values, done.stderr.decode())

    def write_change(self, number: int) -> str:
        """Write a configuration that differs by its number."""
        snapshot = self.deployment.workload.snapshot
        timeout_ms = FIRST_TIMEOUT_MS + number
        route = attrs.evolve(snapshot.routes[0], timeout_ms=timeout_ms)
        changed = attrs.evolve(snapshot, routes=(route, *snapshot.routes[1:]))
        path = self.deployment.directory / f"change-{number}.json"
        path.write_bytes(dump_snapshot_json(changed))
        return str(path)

    def change(self, host: int = 0) -> int:
        """Commit a change; return its revision.

        An operator tries again while the platform refuses writes above
        its rate, which calls that come in a bunch may bring about.
        """
        path = self.write_change(self.revision + 1)
        arguments = ("apply", path, "--revision", str(self.revision))
        end_s = time.monotonic() + CONVERGENCE_LIMIT_S
        result = self.run_auburnctl(*arguments, host=host)
        while (
            result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
            and time.monotonic() < end_s
        ):
            time.sleep(REFUSED_WAIT_S)
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
        """Start a load of every route on every node.

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
        """Return the counts of the platform stand-in."""
        return orjson.loads(fetch(self.deployment.platform_port, "/stats")[1])

    def list_revisions(self, node: str) -> list[int]:
        """Return the revisions a node had in force, in order of time."""
        events = self.deployment.nodes[node].read_events()
        return [
            event["revision"]
            for event in events
            if event.get("message") == "configuration in force"
        ]

    def check_never_back(self) -> None:
        """Check on every node that revisions only rose since its start."""
        for name in self.deployment.nodes:
            runs = self._split_runs(name)
            for revisions in runs:
                assert revisions == sorted(set(revisions)), (name, runs)

    def _split_runs(self, node: str) -> list[list[int]]:
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
        """Return access log lines of an entry node after a time."""
        return [
            event
            for event in self.deployment.nodes[node].read_events()
            if event.get("message") == "call"
            and datetime.fromisoformat(event["time"]) > since
        ]


def check_promises(result: dict) -> None:
    """Check that no call was wrong, doubled, lost or run though refused."""
    assert result["wrong"] == 0, result
    history = result["history"]
    broken = history["doubled"], history["ran_although_refused"]
    assert broken == (0, 0), history
    assert history["lost"] == 0, history


def count(result: dict, field: str) -> int:
    """Return the sum of a field over all priorities."""
    return sum(row[field] for row in result["by_priority"])


@contextlib.contextmanager
def open_system(directory: Path, **options):
    """Yield a System of Tuttipullo that serves calls."""
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
