"""Settings of the placement of calls in data centres."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class PlacementSettings:
    """Settings of placement; it is on if regions names any data centre."""

    # Region of each data centre. One that is not named counts as in a region
    # of its own.
    regions: dict[str, str] = attrs.field(factory=dict)
    # Price of a kilobyte of request and answer that crosses a boundary, in
    # milliseconds of completion. Together with the costs below, 30 kB between
    # data centres, or 10 kB between regions, weigh as much as a refusal.
    data_centre_price_ms_per_kb: float = attrs.field(
        default=10.0, validator=check_range(0.0, 1000.0)
    )
    region_price_ms_per_kb: float = attrs.field(
        default=30.0, validator=check_range(0.0, 1000.0)
    )
    # What an answer after the objective, and a refusal, cost the caller, in
    # milliseconds of completion. A late answer has lost 0.55 to 0.88 of its
    # value (the users' table of requests).
    late_cost_ms: float = attrs.field(
        default=200.0, validator=check_range(0.0, 60_000.0)
    )
    refusal_cost_ms: float = attrs.field(
        default=300.0, validator=check_range(0.0, 60_000.0)
    )
    # Factor of both for a nested call, which fails its parent.
    nested_weight: float = attrs.field(
        default=2.0, validator=check_range(1.0, 100.0)
    )
    # Gain in completion that is needed for leaving the data centre; smaller
    # ones are within the error of the model.
    min_gain_ms: float = attrs.field(
        default=5.0, validator=check_range(0.0, 10_000.0)
    )
    # Bounds of the share of calls that are sent to one other data centre, and
    # of its change. Reports are up to a second old, so the share moves by
    # little within this time.
    max_share: float = attrs.field(
        default=0.5, validator=check_range(0.0, 1.0)
    )
    share_change_per_s: float = attrs.field(
        default=0.25, validator=check_range(0.001, 10.0)
    )
    # Age at which a report has no weight any more, and the half-lives of its
    # weight below it. The speed of a host changes many times a second.
    report_age_ms: float = attrs.field(
        default=1000.0, validator=check_range(10.0, 60_000.0)
    )
    busy_half_life_ms: float = attrs.field(
        default=250.0, validator=check_range(1.0, 60_000.0)
    )
    speed_half_life_ms: float = attrs.field(
        default=400.0, validator=check_range(1.0, 60_000.0)
    )
    # Random instances that are compared for an attempt. With 3 instead of 2,
    # the 99th percentile was 2 to 9% lower in tools/bench_placement.py; with
    # many, nodes with the same old reports would choose the same instance.
    samples: int = attrs.field(default=3, validator=check_range(1, 10))
    # Mean of running and waiting calls, as a share of slots, from which a data
    # centre counts as full.
    full_load: float = attrs.field(
        default=0.95, validator=check_range(0.1, 10.0)
    )

    @property
    def is_enabled(self) -> bool:
        """Whether calls are placed by expected completion."""
        return bool(self.regions)
