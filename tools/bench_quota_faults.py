"""Measures leases of quotas under faults, and with many organisations.

A simulation without a network, with a seed. Prints what one organisation of
61 nodes loses of its usual demand by each fault, and how many requests wait
with 73 organisations of skewed sizes.
"""

import random

from bench_quotas import QUOTA_FACTOR, SEED, draw_demand, take_until

from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.tests.fleet_support import Fleet

NODE_COUNT = 61
ORGANISATION_COUNT = 73
# Requests a second of all organisations.
TOTALS_PER_S = (100.0, 400.0, 1000.0)
WARM_UP_S = 3.0
SPAN_S = 36.0
MIX_SPAN_S = 20.0
FAULTS = (
    "none",
    "the home node leaves and returns after 3 s",
    "the home node crashes",
    "the home node crashes and returns after 3 s",
    "the home node is frozen for 3 s",
    "its data centre is cut off for 10 s",
    "all nodes restart within 1 s",
)


def apply_fault(fleet: Fleet, fault: str, home: str) -> None:
    """Let a fault happen."""
    centre = fleet.nodes[home].data_centre
    if "leaves" in fault:
        fleet.leave(home, 3.0)
    elif "returns" in fault:
        fleet.restart(home, 3.0)
    elif "crashes" in fault:
        fleet.restart(home, 10 * SPAN_S)
    elif "frozen" in fault:
        fleet.pause(home, 3.0)
    elif "cut off" in fault:
        nodes = fleet.nodes.values()
        fleet.cut({node.name for node in nodes if node.data_centre == centre})
        fleet.at(fleet.now_s + 10.0, lambda: fleet.cut(set()))
    elif "restart" in fault:
        for name in fleet.nodes:
            fleet.restart(name, 1.0)


def offer(fleet: Fleet, organisation: Organisation, demand) -> None:
    """Schedule requests, given as times from now and nodes."""

    def make_request(node):
        def request() -> None:
            if node.is_up and fleet.now_s >= node.paused_until_s:
                node.request(organisation)

        return request

    for time_s, index in demand:
        node = fleet.nodes[f"n{index}"]
        fleet.at(fleet.now_s + time_s, make_request(node))


def measure_fault(fault: str) -> None:
    """Print the loss by a fault, in seconds of the demand."""
    rate_per_s = QUOTA_FACTOR * NODE_COUNT
    organisation = Organisation(
        "large", rate_per_s=rate_per_s, burst=rate_per_s
    )
    fleet = Fleet(NODE_COUNT, [organisation], SEED, refused_share=0.0)
    fleet.advance(WARM_UP_S)
    home = fleet.nodes["n0"].roster.find_home(organisation.name)
    # Callers at the home node itself are not counted.
    others = [i for i in range(NODE_COUNT) if f"n{i}" != home]
    demand = draw_demand(NODE_COUNT, others, 0.0)
    offer(fleet, organisation, take_until(demand, SPAN_S))
    apply_fault(fleet, fault, home)
    fleet.advance(SPAN_S + 1.0)
    peak = fleet.find_peak("large") / fleet.find_bound("large")
    print(f"| {fault} | {fleet.refused / NODE_COUNT:.1f} s | {peak:.2f} |")


def measure_mix(total_per_s: float) -> None:
    """Print the waits and messages with organisations of skewed sizes."""
    weights = [1 / (rank + 1) for rank in range(ORGANISATION_COUNT)]
    shares = [weight / sum(weights) for weight in weights]
    organisations = [
        Organisation(
            f"o{rank}",
            rate_per_s=QUOTA_FACTOR * total_per_s * share,
            burst=QUOTA_FACTOR * total_per_s * share,
        )
        for rank, share in enumerate(shares)
    ]
    fleet = Fleet(NODE_COUNT, organisations, SEED, refused_share=0.0)
    fleet.advance(WARM_UP_S)
    fleet.messages = fleet.bytes = 0
    rng = random.Random(SEED)
    demand = draw_demand(total_per_s, range(NODE_COUNT), 0.0)
    for item in take_until(demand, MIX_SPAN_S):
        offer(fleet, rng.choices(organisations, shares)[0], [item])
    fleet.advance(MIX_SPAN_S + 1.0)
    node_seconds = NODE_COUNT * MIX_SPAN_S
    print(
        f"| {total_per_s:g}/s | {fleet.refused / fleet.offered:.4f} "
        f"| {fleet.waits / fleet.offered:.2f} "
        f"| {fleet.messages / node_seconds:.1f} "
        f"| {fleet.bytes / node_seconds:.0f} |"
    )


def main() -> None:
    """Print both tables."""
    print("| fault | lost | peak / bound |")
    print("| --- | ---: | ---: |")
    for fault in FAULTS:
        measure_fault(fault)
    print()
    print("| all demand | refused | wait | messages/s | bytes/s |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for total_per_s in TOTALS_PER_S:
        measure_mix(total_per_s)


if __name__ == "__main__":
    main()
