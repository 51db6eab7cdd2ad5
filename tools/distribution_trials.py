"""Trials of the distribution bench and the configuration they use."""

import attrs

from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import (
    Snapshot,
    sort_snapshot,
)

HOST = "127.0.0.1"
FIRST_PORT = 20_000
LAST_PORT = 32_000
DATA_CENTRES = 3
PROCESSES = 6
ROUND_TRIP_S = 0.010
SERVICES = 290
ROUTES_PER_SERVICE = 3
DESIGN_CHANGES = 5
BASELINE_CHANGES = 2
CHANGE_GAP_S = 0.2
DESIGN_IDLE_S = 2.0
BASELINE_IDLE_S = 1.0
POLL_S = 1.0
WAIT_LIMIT_S = 15.0
STEP_S = 0.02
MODES = ("design", "whole_snapshots", "every_node_polls")


@attrs.frozen
class Trial:
    """One run: a mode with a number of nodes."""

    mode: str
    nodes: int
    first_port: int
    platform_port: int

    @property
    def cfg(self) -> DistributionSettings:
        """Settings of the distributors."""
        share = 0.0 if self.mode == "whole_snapshots" else 0.5
        return DistributionSettings(delta_share=share)

    @property
    def is_design(self) -> bool:
        """Whether this trial measures the design and not a baseline."""
        return self.mode == MODES[0]

    @property
    def changes(self) -> int:
        """Number of changes that are measured."""
        return DESIGN_CHANGES if self.is_design else BASELINE_CHANGES

    @property
    def idle_s(self) -> float:
        """Duration of the idle measurement."""
        return DESIGN_IDLE_S if self.is_design else BASELINE_IDLE_S

    def list_node_numbers(self, process: int) -> list[int]:
        """Return the numbers of the nodes of a process."""
        return list(range(process, self.nodes, PROCESSES))


def make_snapshot(change: int) -> Snapshot:
    """Return a configuration of the target size with one changed route."""
    services = tuple(
        Service(f"service-{i:03d}", ("forms", "lists"))
        for i in range(SERVICES)
    )
    routes = [
        Route(
            f"route-{i:03d}-{j}",
            f"/service-{i:03d}/{j}",
            f"service-{i:03d}",
            ("GET", "POST"),
            "forms",
        )
        for i in range(SERVICES)
        for j in range(ROUTES_PER_SERVICE)
    ]
    routes[0] = attrs.evolve(routes[0], timeout_ms=1000 + change)
    return sort_snapshot(Snapshot(services, tuple(routes)))
