"""Prints verdicts and exposure of simulated roll-outs as a table.

Usage: simulate_rollouts.py [SEEDS]
"""

import statistics
import sys

from auburnjunction.rollouts.orders import Phase
from auburnjunction.rollouts.tests.simulations import BEHAVIOURS, Simulation

DEFAULT_SEEDS = 30


def main() -> None:
    """Simulate each behaviour with the seeds 0 to SEEDS - 1."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    print(
        "| version | rolled back | ended after, median and latest, s | "
        "exposure / limit, median and most | bad answers, most | "
        "last request after the 50th bad answer, most, s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for behaviour in BEHAVIOURS:
        results = []
        for seed in range(seeds):
            simulation = Simulation(behaviour, seed)
            result = simulation.run()
            exposure = result.exposed / result.find_limit(simulation.settings)
            results.append((result, exposure))
        found = [r for r, _ in results]
        ends_s = [r.ended_s for r in found]
        exposures = [exposure for _, exposure in results]
        verdicts = sum(r.phase is Phase.CONDEMNED for r in found)
        late_s = max(r.last_s - r.fiftieth_s for r in found)
        is_bad = behaviour.name.startswith("bad")
        late = f"{late_s:.1f}" if is_bad and late_s > 0 else "-"
        print(
            f"| {behaviour.name} | {verdicts} of {seeds} "
            f"| {statistics.median(ends_s):.1f}, {max(ends_s):.1f} "
            f"| {statistics.median(exposures):.2f}, {max(exposures):.2f} "
            f"| {max(r.bad for r in found)} | {late} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
