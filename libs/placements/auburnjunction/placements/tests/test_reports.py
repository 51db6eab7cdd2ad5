"""Headers of backend servers and owner nodes, also malformed ones."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.placements.reports import (
    LoadReport,
    ServerLoad,
    format_report,
    parse_report,
    parse_server_load,
)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2,1,3,140", ServerLoad(2, 1, 3, 140.0)),
        (b"0, 0, 3, 97.5", ServerLoad(0, 0, 3, 97.5)),
        (None, None),
        (b"", None),
        (b"2,1,3", None),
        (b"2,1,3,140,9", None),
        (b"-1,0,3,100", None),
        (b"0,0,0,100", None),
        (b"0,0,3,0", None),
        (b"0,0,3,nan", None),
        (b"0,0,3,9999999", None),
        (b"9999999,0,3,100", None),
    ],
)
def test_figures_that_are_not_credible_are_ignored(value, expected):
    """A malformed header must not fail a call or distort the choice."""
    assert parse_server_load(value) == expected


@given(st.binary(max_size=60))
def test_no_header_raises(value):
    parse_server_load(value)
    parse_report(value)


@given(
    st.integers(0, 9999),
    st.integers(0, 9999),
    st.integers(1, 9999),
    st.integers(20, 2000),
    st.integers(0, 100_000),
)
def test_report_arrives_as_sent(running, waiting, slots, speed, time_ms):
    report = LoadReport(
        running, waiting, slots, speed, time_ms / 1000, time_ms / 1000
    )
    assert parse_report(format_report(report)) == report
