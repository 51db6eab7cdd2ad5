"""Starts a whole deployment as processes on loopback.

Only for the demo, benchmarks and tests: the system itself starts no
processes.
"""

import contextlib
import http.client
import signal
from collections.abc import Iterator
from pathlib import Path

import orjson

from auburnjunction.standins.hosts import HostPlan, NodeStatus, plan_hosts
from auburnjunction.standins.links import LinkMap, make_links
from auburnjunction.standins.processes import (
    HOST,
    ManagedProcess,
    fetch,
    find_port,
    is_answering,
    wait_until,
)
from auburnjunction.standins.workloads import Workload

READY_TIMEOUT_S = 30.0


class Deployment:
    """The platform stand-in, nodes and backend servers of one workload."""

    def __init__(
        self,
        workload: Workload,
        hosts: list[HostPlan],
        directory: Path,
        node_overrides: dict,
        backend_arguments: list[str],
        with_links: bool = False,
    ):
        self.workload = workload
        self.hosts = hosts
        self.directory = directory
        self.platform_port = find_port()
        self.platform = self._make_process(
            "platform",
            "auburn-standin-platform",
            "--port",
            str(self.platform_port),
        )
        links = []
        if with_links:
            links = make_links(
                workload.data_centres, hosts, self.platform_port, directory
            )
        self.link_map = LinkMap(links, self.platform_port)
        self.nodes = {
            host.name: self._make_node(host, node_overrides) for host in hosts
        }
        self.backends = {
            host.name: self._make_backend(host, backend_arguments)
            for host in hosts
        }

    @property
    def operators_addresses(self) -> list[str]:
        """HOST:PORT of every node's listener for operators."""
        return [f"{HOST}:{host.operators_port}" for host in self.hosts]

    @property
    def caller_addresses(self) -> list[str]:
        """HOST:PORT of every node's listener for callers."""
        return [f"{HOST}:{host.caller_port}" for host in self.hosts]

    @property
    def processes(self) -> list[ManagedProcess]:
        """Every process, in the order in which they start."""
        return [
            self.platform,
            *(link.process for link in self.link_map.links),
            *self.nodes.values(),
            *self.backends.values(),
        ]

    def start(self) -> None:
        """Start all processes and wait until the nodes are live.

        The nodes may not be ready yet.
        """
        self.platform.start()
        wait_until(
            lambda: is_answering(self.platform_port, "/stats"),
            READY_TIMEOUT_S,
            "platform stand-in",
        )
        self._start_links()
        for node in self.nodes.values():
            node.start()
        for host in self.hosts:
            self.wait_live(host)
        for backend in self.backends.values():
            backend.start()

    def _start_links(self) -> None:
        for link in self.link_map.links:
            link.process.start()
        for link in self.link_map.links:
            wait_until(
                lambda port=link.control_port: is_answering(port, "/stats"),
                READY_TIMEOUT_S,
                link.process.name,
            )

    def wait_live(self, host: HostPlan) -> None:
        """Wait until a node's administration listener answers.

        Raise ProcessEndedError at once if the node has ended instead.
        """
        wait_until(
            lambda: (
                self.nodes[host.name].require_running()
                and is_answering(host.admin_port, "/live")
            ),
            READY_TIMEOUT_S,
            f"{host.name} live",
        )

    def wait_ready(self, hosts: list[HostPlan] | None = None) -> None:
        """Wait until nodes, all by default, are ready for calls."""
        for host in hosts or self.hosts:
            wait_until(
                lambda port=host.admin_port: is_answering(port, "/ready"),
                READY_TIMEOUT_S,
                f"{host.name} ready",
            )

    def wait_known(self, hosts: list[HostPlan] | None = None) -> None:
        """Wait until nodes, all by default, list every backend server."""
        expected = len(self.hosts)
        for host in hosts or self.hosts:
            wait_until(
                lambda host=host: self.read_status(host).instances >= expected,
                READY_TIMEOUT_S,
                f"{expected} backend servers listed by {host.name}",
            )

    def read_status(self, host: HostPlan) -> NodeStatus:
        """Return a node's status; NodeStatus() if it is unreachable."""
        try:
            values = orjson.loads(fetch(host.admin_port, "/ready")[1])
        except (OSError, http.client.HTTPException, orjson.JSONDecodeError):
            return NodeStatus()
        return NodeStatus(**values)

    def read_revision(self, host: HostPlan) -> int:
        """Return the revision in force on a node; 0 if unreachable."""
        return self.read_status(host).revision

    def stop(self) -> dict[str, int | None]:
        """Stop backend servers, nodes, links, platform; return exit codes."""
        codes = {}
        for group in (self.backends, self.nodes):
            for process in group.values():
                process.send_signal(signal.SIGTERM)
            for process in group.values():
                if process.process is not None:
                    codes[process.name] = process.wait()
        for process in (
            *(link.process for link in self.link_map.links),
            self.platform,
        ):
            process.send_signal(signal.SIGTERM)
            codes[process.name] = process.wait()
        return codes

    def kill(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes:
            if process.running:
                process.kill()

    def _make_process(self, name: str, *arguments: str) -> ManagedProcess:
        path = self.directory / f"{name}.log"
        return ManagedProcess(name, list(arguments), path)

    def _make_node(self, host: HostPlan, overrides: dict) -> ManagedProcess:
        port = self.link_map.find_platform_port(host.data_centre)
        platform = f"{HOST}:{port}"
        translations = self.link_map.make_translations(host.data_centre)
        values = {
            "node": host.name,
            "data_centre": host.data_centre,
            "table_address": platform,
            "object_store_address": platform,
            "host": HOST,
            "caller_port": host.caller_port,
            "peer_port": host.peer_port,
            "admin_port": host.admin_port,
            "operators_port": host.operators_port,
            "address_translations": translations,
            **overrides,
        }
        membership = {"seeds": [f"{HOST}:{self.hosts[0].peer_port}"]}
        membership.update(overrides.get("membership", {}))
        values["membership"] = membership
        path = self.directory / f"{host.name}.json"
        path.write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2))
        return self._make_process(
            host.name,
            "auburn-node",
            "--settings",
            str(path),
        )

    def _make_backend(
        self, host: HostPlan, arguments: list[str]
    ) -> ManagedProcess:
        return self._make_process(
            f"backend-{host.name}",
            "auburn-standin-backend",
            "--service",
            host.service,
            "--instance",
            host.instance,
            "--port",
            str(host.backend_port),
            "--announce",
            f"{HOST}:{host.admin_port}",
            "--slots",
            str(self.workload.slots),
            "--connections",
            str(self.workload.connections),
            *arguments,
        )


@contextlib.contextmanager
def open_deployment(
    workload: Workload,
    directory: Path,
    hosts_per_data_centre: int = 2,
    node_overrides: dict | None = None,
    backend_arguments: list[str] | None = None,
    with_links: bool = False,
) -> Iterator[Deployment]:
    """Yield a started deployment; kill its processes afterwards."""
    directory.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(
        workload,
        plan_hosts(workload, hosts_per_data_centre),
        directory,
        node_overrides or {},
        backend_arguments or [],
        with_links,
    )
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.kill()
