"""Hosts of a deployment: their data centres, services and ports."""

import itertools

import attrs

from auburnjunction.standins.processes import find_port
from auburnjunction.standins.workloads import Workload


@attrs.define
class HostPlan:
    """One host with the ports of its node and its backend server."""

    name: str
    data_centre: str
    service: str
    caller_port: int
    peer_port: int
    admin_port: int
    operators_port: int
    backend_port: int

    @property
    def instance(self) -> str:
        """Name of the backend server on this host."""
        return f"{self.service}@{self.name}"


@attrs.frozen
class NodeStatus:
    """Readiness of a node as GET /ready reports it."""

    ready: bool = False
    reason: str = "unreachable"
    revision: int = 0
    instances: int = 0


def plan_hosts(
    workload: Workload, hosts_per_data_centre: int
) -> list[HostPlan]:
    """Assign services to hosts in turn, so that each has an instance."""
    services = itertools.cycle(size.service for size in workload.sizes)
    return [
        HostPlan(
            f"{data_centre}-host-{number}",
            data_centre,
            next(services),
            *(find_port() for _ in range(5)),
        )
        for number in range(1, hosts_per_data_centre + 1)
        for data_centre in workload.data_centres
    ]
