"""Simulates two services in series, the second with a quarter of the room.

Compares ways to admit requests whose nested calls find no room: goodput,
and slot time spent on requests that fail. There is no network; admission at
the instances and the decisions at the entry nodes are the product's own.

    .venv/bin/python tools/bench_room.py [--seeds 3] [--loads 1.0,1.1,2.5]
"""

import argparse
import statistics
from collections.abc import Callable

from room_simulations import (
    BACK,
    END_S,
    FRONT,
    LATE_VALUE,
    PRIORITY_SHARES,
    UPLOAD_PRIORITY,
    VARIANTS,
    WARM_UP_S,
    Result,
    Simulation,
)

DEFAULT_LOADS = "1.0,1.1,1.3,1.6,2.0,2.5"


def summarise(results: list[Result]) -> list[str]:
    """Return the cells of a row: medians over the seeds."""

    def median(value: Callable[[Result], float]) -> float:
        return statistics.median(value(result) for result in results)

    measured_s = END_S - WARM_UP_S

    def share(result: Result, key, *fields: str) -> float:
        tally = result.tallies[key]
        return sum(getattr(tally, f) for f in fields) / tally.offered

    return [
        f"{median(lambda r: r.sum('in_time') / measured_s):.0f}",
        f"{median(lambda r: r.sum('late') / measured_s):.0f}",
        f"{median(lambda r: r.sum('failed') / r.sum('offered')):.3f}",
        f"{median(lambda r: r.sum('refused_twice') / r.sum('offered')):.3f}",
        f"{median(lambda r: r.wasted_s / r.used_s):.3f}",
        f"{median(lambda r: _find_value(r)):.3f}",
        *(
            f"{median(lambda r, k=key: share(r, k, 'in_time')):.2f}"
            for key in (
                *((FRONT, p) for p in PRIORITY_SHARES),
                (BACK, UPLOAD_PRIORITY),
            )
        ),
    ]


def _find_value(result: Result) -> float:
    value = result.sum("in_time") + LATE_VALUE * result.sum("late")
    return value / result.sum("offered")


HEADINGS = (
    "load",
    "admission",
    "in time a second",
    "late",
    "failed",
    "refused twice",
    "slot time wasted",
    "value",
    *(f"in time: {p.name.lower()}" for p in PRIORITY_SHARES),
    "uploads",
)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", default=DEFAULT_LOADS)
    parser.add_argument("--variants", type=int, default=len(VARIANTS))
    args = parser.parse_args()
    cases = [(float(load), False) for load in args.loads.split(",")]
    print("|", " | ".join(HEADINGS), "|")
    print("|", " | ".join("---" for _ in HEADINGS), "|")
    for load, bursts in [*cases, (1.1, True)]:
        for variant in VARIANTS[: args.variants]:
            results = [
                Simulation(variant, load, bursts, seed).run()
                for seed in range(args.seeds)
            ]
            name = f"{load}{' with bursts' if bursts else ''}"
            cells = [name, variant.name, *summarise(results)]
            print("|", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
