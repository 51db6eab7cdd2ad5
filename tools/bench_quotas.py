"""Compares three ways to enforce a quota over all nodes, in a simulation.

The designs are equal shares of the bound, leases by home nodes, and counts
of usage that spread by gossip. Each run has one organisation, a seed and no
network; times are simulated. Prints a table in Markdown.
"""

import argparse
import random
from collections.abc import Iterator
from typing import Protocol

import attrs

from auburnjunction.base.sums import SlidingSum
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.limits import (
    ACCOUNTING_SLOTS,
    find_limits,
)
from auburnjunction.organisations.tests.fleet_support import (
    HTTP_BYTES,
    SETTINGS,
    Fleet,
)

SEED = 20261206
NODE_COUNTS = (12, 61, 195, 1000)
# A usual demand of one request a second at each node, or 1.25 in all. Quotas
# are 1.6 times the usual demand.
QUOTA_FACTOR = 1.6
SMALL = Organisation("small", rate_per_s=2.0, burst=4.0)
# Factor of the usual demand in a surge.
SURGE = 7.5
WARM_UP_S = 3.0
SPAN_S = 15.0
# Demand, as a share of the quota, that moves to another data centre.
SHIFTED_SHARE = 0.8
FOLLOW_SPAN_S = 10.0
# Time for the last requests of a case to end.
GAP_S = 0.2
GOSSIP_INTERVAL_S = 0.5
# A node's number, its version and its count.
ENTRY_BYTES = 12


class Design(Protocol):
    """A way to enforce the quota of one organisation."""

    # Messages and bytes that all nodes have sent.
    messages: int
    bytes: int

    def advance(self, time_s: float) -> None:
        """Run what is due until a time."""

    def request(self, node: int) -> None:
        """Handle a request at a node."""

    def list_runs(self) -> list[float]:
        """Return the times at which requests were admitted or run."""


class EqualShares:
    """Each node admits its part of the bound."""

    def __init__(self, node_count: int, organisation: Organisation):
        limits = find_limits(organisation, SETTINGS)
        bound = attrs.evolve(limits, shared=limits.leased + limits.shared)
        self._parts = [
            bound.find_part(node_count, i) for i in range(node_count)
        ]
        self._spent = [make_sum() for _ in range(node_count)]
        self._now_s = 0.0
        self._runs: list[float] = []
        self.messages = self.bytes = 0

    def advance(self, time_s: float) -> None:
        """Move the time; nothing else happens."""
        self._now_s = time_s

    def request(self, node: int) -> None:
        """Admit a request if the node's part has room."""
        spent = self._spent[node]
        if spent.find_total(self._now_s) < self._parts[node]:
            spent.add(1, self._now_s)
            self._runs.append(self._now_s)

    def list_runs(self) -> list[float]:
        """Return the times of admission."""
        return self._runs


class Leases:
    """Equal parts, and leases by the home node: the nodes' own code."""

    def __init__(self, node_count: int, organisation: Organisation):
        self._fleet = Fleet(
            node_count, [organisation], SEED, refused_share=0.0
        )
        self._start_s = self._fleet.now_s
        self._organisation = organisation

    @property
    def messages(self) -> int:
        """Messages of all nodes."""
        return self._fleet.messages

    @property
    def bytes(self) -> int:
        """Bytes of these messages."""
        return self._fleet.bytes

    def advance(self, time_s: float) -> None:
        """Run the events until a time."""
        duration_s = self._start_s + time_s - self._fleet.now_s
        self._fleet.advance(max(0.0, duration_s))

    def request(self, node: int) -> None:
        """Handle a request at a node."""
        self._fleet.nodes[f"n{node}"].request(self._organisation)

    def list_runs(self) -> list[float]:
        """Return the times at which requests ran."""
        runs = self._fleet.runs.get(self._organisation.name, [])
        return [time_s - self._start_s for time_s in runs]


class GossipedCounts:
    """Each node knows the others' counts of the window by gossip.

    It admits requests while the sum is below the quota; overage and slack
    are for the age of what it knows.
    """

    def __init__(self, node_count: int, organisation: Organisation):
        cfg = SETTINGS
        self._limit = (
            organisation.rate_per_s * cfg.quota_window_s + organisation.burst
        )
        self._rng = random.Random(SEED)
        self._spent = [make_sum() for _ in range(node_count)]
        # Version and count of each node, as each node knows them.
        self._known = [[(0.0, 0)] * node_count for _ in range(node_count)]
        self._sums = [0] * node_count
        self._due: list[tuple[float, int]] = [
            (self._rng.uniform(0, GOSSIP_INTERVAL_S), node)
            for node in range(node_count)
        ]
        self._due.sort()
        self._now_s = 0.0
        self._runs: list[float] = []
        self.messages = self.bytes = 0

    def advance(self, time_s: float) -> None:
        """Run the rounds of gossip until a time."""
        while self._due[0][0] <= time_s:
            self._now_s, node = self._due.pop(0)
            self._due.append((self._now_s + GOSSIP_INTERVAL_S, node))
            self._gossip(node, self._rng.randrange(len(self._known)))
        self._now_s = time_s

    def request(self, node: int) -> None:
        """Admit a request while the known sum is below the quota."""
        own = self._spent[node]
        total = self._sums[node] + own.find_total(self._now_s)
        if total < self._limit:
            own.add(1, self._now_s)
            self._runs.append(self._now_s)

    def list_runs(self) -> list[float]:
        """Return the times of admission."""
        return self._runs

    def _gossip(self, first: int, second: int) -> None:
        for node in {first, second}:
            count = self._spent[node].find_total(self._now_s)
            self._known[node][node] = (self._now_s, round(count))
        merged = list(map(max, self._known[first], self._known[second]))
        total = sum(count for _, count in merged)
        entries = sum(count > 0 for _, count in merged)
        for node in {first, second}:
            self._known[node] = merged.copy()
            self._sums[node] = total - merged[node][1]
        self.messages += 2
        self.bytes += 2 * (entries * ENTRY_BYTES + HTTP_BYTES)


DESIGNS = {
    "equal shares": EqualShares,
    "leases": Leases,
    "gossiped counts": GossipedCounts,
}


def make_sum() -> SlidingSum:
    """Return a sliding sum as the nodes use it."""
    return SlidingSum(SETTINGS.accounting_s, ACCOUNTING_SLOTS)


def play(
    design: Design, demand: Iterator[tuple[float, int]], until_s: float
) -> None:
    """Offer requests, given as times and nodes, until a time."""
    for time_s, node in demand:
        if time_s >= until_s:
            break
        design.advance(time_s)
        design.request(node)
    design.advance(until_s + GAP_S)


def draw_demand(
    rate_per_s: float, nodes: range, from_s: float = WARM_UP_S
) -> Iterator[tuple[float, int]]:
    """Yield times and nodes of requests at a constant mean rate."""
    rng = random.Random(SEED)
    time_s = from_s
    while True:
        time_s += rng.expovariate(rate_per_s)
        yield time_s, rng.choice(nodes)


def find_peak(times_s: list[float]) -> int:
    """Return the most requests within any window."""
    times_s = sorted(times_s)
    first = peak = 0
    for index, time_s in enumerate(times_s):
        while time_s - times_s[first] > SETTINGS.quota_window_s:
            first += 1
        peak = max(peak, index - first + 1)
    return peak


@attrs.frozen
class Result:
    """What one design does with one organisation."""

    refused_usual: float
    messages_per_s: float
    bytes_per_s: float
    overshoot: float
    used_spread: float
    used_at_one: float
    follow_s: float


def measure(design_class, node_count: int, organisation) -> Result:
    """Run all cases of a design."""
    quota_per_s = organisation.rate_per_s
    usual_per_s = quota_per_s / QUOTA_FACTOR
    everywhere, end_s = range(node_count), WARM_UP_S + SPAN_S

    usual = design_class(node_count, organisation)
    usual.advance(WARM_UP_S)
    messages, size = usual.messages, usual.bytes
    offered = take_until(draw_demand(usual_per_s, everywhere), end_s)
    offered_count = sum(1 for _ in offered)
    play(usual, draw_demand(usual_per_s, everywhere), end_s)

    surge = design_class(node_count, organisation)
    play(surge, draw_demand(SURGE * usual_per_s, everywhere), end_s)
    one = design_class(node_count, organisation)
    play(one, draw_demand(2 * quota_per_s, range(1)), end_s)
    bound = sum(attrs.astuple(find_limits(organisation, SETTINGS)))
    steady_s = WARM_UP_S + SETTINGS.quota_window_s
    steady_span_s = end_s - steady_s
    return Result(
        1 - len(usual.list_runs()) / offered_count,
        (usual.messages - messages) / SPAN_S / node_count,
        (usual.bytes - size) / SPAN_S / node_count,
        max(find_peak(surge.list_runs()), find_peak(one.list_runs())) / bound,
        count_from(surge, steady_s) / steady_span_s / quota_per_s,
        count_from(one, steady_s) / steady_span_s / quota_per_s,
        measure_follow(design_class, node_count, organisation),
    )


def take_until(demand, until_s: float):
    """Yield the requests before a time."""
    for item in demand:
        if item[0] >= until_s:
            return
        yield item


def count_from(design: Design, from_s: float) -> int:
    """Return the number of requests that ran from a time on."""
    return sum(time_s >= from_s for time_s in design.list_runs())


def measure_follow(design_class, node_count: int, organisation) -> float:
    """Return how much a demand loses that moves to other nodes.

    It moves from a sixth of the nodes to another sixth. The result is in
    seconds of the whole demand, lost within FOLLOW_SPAN_S.
    """
    demand_per_s = SHIFTED_SHARE * organisation.rate_per_s
    size = max(1, node_count // 6)
    design = design_class(node_count, organisation)
    shift_s, end_s = WARM_UP_S + SPAN_S, WARM_UP_S + SPAN_S + FOLLOW_SPAN_S
    play(design, draw_demand(demand_per_s, range(size)), shift_s)
    after = list(
        take_until(
            draw_demand(demand_per_s, range(size, 2 * size), shift_s + GAP_S),
            end_s,
        )
    )
    play(design, iter(after), end_s)
    runs = design.list_runs()
    served = sum(time_s >= shift_s + GAP_S for time_s in runs)
    return (len(after) - served) / demand_per_s


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--nodes", type=int, nargs="*", default=list(NODE_COUNTS)
    )
    args = parser.parse_args()
    print(
        "| nodes | quota | design | refused, usual | messages/s | bytes/s "
        "| peak / bound | used, spread | used, one node | lost by a shift |"
    )
    print(
        "| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    )
    for count in args.nodes:
        rate_per_s = QUOTA_FACTOR * count
        large = Organisation("large", rate_per_s=rate_per_s, burst=rate_per_s)
        for organisation in (large, SMALL):
            for name, design_class in DESIGNS.items():
                result = measure(design_class, count, organisation)
                print(
                    format_row(count, organisation, name, result), flush=True
                )


def format_row(
    count: int, organisation: Organisation, name: str, result: Result
) -> str:
    """Return a row of the table."""
    return (
        f"| {count} | {organisation.rate_per_s:g}/s | {name} "
        f"| {max(0.0, result.refused_usual):.3f} "
        f"| {result.messages_per_s:.2f} | {result.bytes_per_s:.0f} "
        f"| {result.overshoot:.2f} | {result.used_spread:.2f} "
        f"| {result.used_at_one:.2f} | {max(0.0, result.follow_s):.2f} s |"
    )


if __name__ == "__main__":
    main()
