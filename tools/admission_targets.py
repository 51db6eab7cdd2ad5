"""Aggregates results of the admission bench and checks their targets."""

import statistics

from auburnjunction.model.priorities import Priority


def aggregate_runs(runs: list[dict]) -> dict:
    """Return the median, minimum and maximum of each figure."""
    aggregated = {}
    for group, figures in runs[0].items():
        aggregated[group] = {}
        for name in figures:
            values = [run[group][name] for run in runs]
            values = [value for value in values if value is not None]
            aggregated[group][name] = (
                [statistics.median(values), min(values), max(values)]
                if values
                else None
            )
    return aggregated


def check_targets(case: dict, flood: Priority) -> list[dict]:
    """Return each target with its measured value and whether it is met."""
    half_load, full_load, overload = (
        case[f"shares {f}x"] for f in (0.5, 1.0, 4.0)
    )
    rows = [
        (
            "goodput at 4x over 1x",
            overload["all"]["goodput_share_of_capacity"][0]
            / full_load["all"]["goodput_share_of_capacity"][0],
            ">=",
            0.9,
        ),
        ("wasted work at 4x", overload["all"]["wasted_share"][0], "<=", 0.02),
    ]
    if flood is Priority.LOW:
        critical, reference = overload["critical"], half_load["critical"]
        goodput = critical["good_share"][0] / reference["good_share"][0]
        latency = critical["p99_ms"][0] / reference["p99_ms"][0]
        rows.append(("critical goodput, 4x over quiet", goodput, ">=", 0.99))
        rows.append(("critical p99, 4x over quiet", latency, "<=", 1.5))
    else:
        for priority in list(Priority)[1:]:
            name = priority.name.lower()
            kept = overload[name]["kept_of_guarantee"][0]
            rows.append((f"{name} kept of its guarantee", kept, ">=", 1.0))
    return [
        {
            "target": name,
            "measured": round(value, 4),
            "bound": f"{sign} {bound}",
            "met": value >= bound if sign == ">=" else value <= bound,
        }
        for name, value, sign, bound in rows
    ]


def print_case(name: str, case: dict, targets: list[dict]) -> None:
    """Print one case as a table."""
    print(f"\n{name}: good share, p50 and p99 in ms by priority")
    for run, groups in case.items():
        cells = [
            f"{g[:4]} {f['good_share'][0]:.3f} {_format(f['p50_ms'])}"
            f" {_format(f['p99_ms'])}"
            for g, f in groups.items()
            if g != "all"
        ]
        total = groups["all"]
        print(
            f"  {run:12} {'  '.join(cells)}"
            f"  goodput {total['goodput_share_of_capacity'][0]:.2f}"
            f"  wasted {total['wasted_share'][0]:.3f}"
            f"  lag {total['loop_lag_p99_ms'][0]:.1f}"
        )
    for row in targets:
        verdict = "met" if row["met"] else "MISSED"
        print(
            f"  {verdict:6} {row['target']}: {row['measured']} {row['bound']}"
        )


def _format(values) -> str:
    return "     -" if values is None else f"{values[0]:6.1f}"
