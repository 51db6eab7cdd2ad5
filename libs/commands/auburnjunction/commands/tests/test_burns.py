"""Tests of burn rates from logs and metrics, and of the HTML report."""

import xml.etree.ElementTree as ET

import curio
import orjson
import pytest

from auburnjunction.base.clocks import ManualClock, SystemClock
from auburnjunction.commands.access_logs import (
    AccessLogError,
    LogTotals,
    read_lines,
    read_logs,
)
from auburnjunction.commands.burns import BurnCalculator
from auburnjunction.commands.call_series import (
    CallCounts,
    SeriesKey,
    SeriesSet,
)
from auburnjunction.commands.metric_scrapes import MetricScraper
from auburnjunction.commands.objectives import (
    BurnWindow,
    Objective,
    ReportSettings,
)
from auburnjunction.commands.report_pages import render_page
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server

START_S = 1_800_000_000.0
SETTINGS = ReportSettings(
    objectives=(Objective("high", 0.9, 100.0),),
    windows=(BurnWindow("1h/5m", 3600, 300, 5.0),),
)


def make_series(bad_shares, calls=100):
    """Return a series with one minute of calls per share of bad calls."""
    series = SeriesSet()
    for minute, share in enumerate(bad_shares):
        counts = CallCounts(calls, failed=calls * share)
        key = SeriesKey("calendar", "high")
        series.add(key, START_S + minute * 60, counts)
    return series


@pytest.mark.parametrize(
    ("bad_shares", "long_burn", "short_burn", "state"),
    [
        ([0.0] * 60, 0.0, 0.0, "ok"),
        ([0.1] * 60, 1.0, 1.0, "ok"),
        ([0.6] * 60, 6.0, 6.0, "page"),
        # Above the limit over the hour, but not over the last five minutes.
        ([0.6] * 60 + [0.0] * 5, 5.5, 0.0, "ok"),
        # Above the limit over the last five minutes, but not over the hour.
        ([0.0] * 55 + [0.6] * 5, 0.5, 6.0, "ok"),
    ],
)
def test_fires_only_when_both_windows_exceed_the_limit(
    bad_shares, long_burn, short_burn, state
):
    series = make_series(bad_shares)
    report = BurnCalculator(SETTINGS).report(series, "test")
    (service,) = report.services
    (burn,) = service.burns
    assert burn.long_burn == pytest.approx(long_burn)
    assert burn.short_burn == pytest.approx(short_burn)
    assert service.state == report.state == state


@pytest.mark.parametrize(
    ("share", "budget_left"), [(0.0, 1.0), (0.05, 0.5), (0.2, -1.0)]
)
def test_budget_left_over_the_period(share, budget_left):
    report = BurnCalculator(SETTINGS).report(make_series([share] * 10), "")
    (service,) = report.services
    assert service.budget_left == pytest.approx(budget_left)
    assert service.points[-1].budget_left == pytest.approx(budget_left)


def test_window_below_min_calls_does_not_fire():
    series = make_series([1.0] * 5, calls=1)
    assert BurnCalculator(SETTINGS).report(series, "").state == "ok"


def make_line(**changes):
    values = {
        "time": "2026-12-04T05:00:00.000+00:00",
        "message": "call",
        "service": "calendar",
        "priority": 2,
        "outcome": "ok",
        "duration_ms": 10.0,
    }
    return orjson.dumps(values | changes)


@pytest.mark.parametrize(
    ("line", "counts", "bad_lines"),
    [
        (make_line(), (1, 0, 0), 0),
        (make_line(outcome="not-run"), (1, 1, 0), 0),
        (make_line(outcome="unknown", weight=10.0), (10, 10, 0), 0),
        (make_line(duration_ms=100.5, weight=100.0), (100, 0, 100), 0),
        (make_line(priority="high"), (1, 0, 0), 0),
        (make_line(message="node listening"), None, 0),
        (make_line(priority=9), None, 1),
        (make_line(time=5), None, 1),
        (b"Traceback", None, 1),
        (b"[]", None, 1),
    ],
)
def test_log_line_is_counted(line, counts, bad_lines):
    series = SeriesSet()
    totals = LogTotals()
    read_lines([line], SETTINGS, series, totals)
    assert totals.bad_lines == bad_lines
    found = [item.count(0, item.last_s) for _, item in series]
    assert found == ([CallCounts(*counts)] if counts else [])


def test_log_without_calls_is_an_error(tmp_path):
    path = tmp_path / "node.log"
    path.write_bytes(make_line(message="node listening"))
    with pytest.raises(AccessLogError, match="no call"):
        read_logs([path], SETTINGS, SeriesSet())


METRICS = """# HELP auburn_calls_total Calls
auburn_calls_total{{outcome="ok",priority="2",service="calendar"}} {ok}
auburn_calls_total{{outcome="unknown",priority="2",service="calendar"}} {bad}
auburn_call_duration_seconds_bucket{{le="0.1",outcome="ok",priority="2",service="calendar"}} {fast}
auburn_call_duration_seconds_bucket{{le="+Inf",outcome="ok",priority="2",service="calendar"}} {ok}
auburn_other 5
"""  # noqa: E501


@pytest.mark.parametrize(
    ("before", "after", "counts"),
    [
        ((10, 0, 10), (30, 5, 20), (25, 5, 10)),
        ((10, 0, 10), (10, 0, 10), None),
        # The node was restarted, which reset its counters.
        ((100, 9, 90), (4, 1, 4), (5, 1, 0)),
    ],
)
def test_counter_increases_between_scrapes_are_counted(before, after, counts):
    async def main():
        pages = [
            METRICS.format(ok=ok, bad=bad, fast=fast)
            for ok, bad, fast in (before, after)
        ]

        async def serve(_request):
            return HttpResponse(200, [], pages.pop(0).encode())

        clock = SystemClock()
        series = SeriesSet()
        async with open_server("127.0.0.1", 0, serve, clock) as server:
            pools = PoolRegistry(clock)
            node = f"127.0.0.1:{server.port}"
            scraper = MetricScraper(
                (node,), SETTINGS, ManualClock(START_S), pools, series
            )
            assert await scraper.scrape() == 1
            assert await scraper.scrape() == 1
            await pools.close()
        found = [item.count(0, item.last_s) for _, item in series]
        assert found == ([CallCounts(*counts)] if counts else [])

    curio.run(main)


def test_page_is_well_formed_and_escapes_names():
    series = make_series([0.3] * 20)
    series.add(SeriesKey("<b>&", "low"), START_S, CallCounts(50, failed=50))
    report = BurnCalculator(SETTINGS).report(series, "<source>")
    page = render_page(report)
    _, _, content = page.partition("\n")
    # Parsed as XML, which requires that every element is closed.
    closed = content.replace('charset="utf-8">', 'charset="utf-8"/>')
    closed = closed.replace('device-width">', 'device-width"/>')
    root = ET.fromstring(closed)
    assert len(root.findall(".//svg")) == 4
    assert len(root.findall(".//tbody/tr")) == 2
    assert "<b>&" not in page
    assert "http" not in page
