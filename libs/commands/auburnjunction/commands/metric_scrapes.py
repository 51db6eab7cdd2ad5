"""Periodic scraping of call counters from the /metrics of nodes."""

import math
import re
from collections import defaultdict

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.commands.access_logs import parse_priority_name
from auburnjunction.commands.call_series import (
    CallCounts,
    SeriesKey,
    SeriesSet,
)
from auburnjunction.commands.objectives import ReportSettings
from auburnjunction.http.clients import PoolRegistry, parse_address
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest
from auburnjunction.traffic.calls import Outcome

SCRAPE_TIMEOUT_S = 2.0
CALLS_METRIC = "auburn_calls_total"
BUCKETS_METRIC = "auburn_call_duration_seconds_bucket"

_LINE = re.compile(r"^(\w+)\{([^}]*)\} ([^ ]+)$", re.MULTILINE)
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class ScrapeError(AuburnError):
    """Raised when metrics cannot be read."""

    code = ErrorCode.UNAVAILABLE


@attrs.define
class CallTotals:
    """Cumulative counters of one service and priority at one node."""

    calls: float = 0.0
    ok: float = 0.0
    # Calls that ended ok, by upper bound of the histogram bucket in seconds.
    ok_within: dict[float, float] = attrs.field(factory=dict)

    def classify(self, latency_ms: float) -> CallCounts:
        """Return the cumulative counts for a latency limit; 0 sets none.

        The limit is rounded up to the next bound of a histogram bucket.
        """
        fast = self.ok
        if latency_ms:
            bounds = [b for b in self.ok_within if b >= latency_ms / 1000]
            bound = min(bounds, default=math.inf)
            fast = self.ok_within.get(bound, self.ok)
        return CallCounts(self.calls, self.calls - self.ok, self.ok - fast)


NodeTotals = dict[SeriesKey, CallTotals]


def read_totals(text: str) -> NodeTotals:
    """Parse the call counters in the text of a node's metrics."""
    totals: NodeTotals = defaultdict(CallTotals)
    for name, labels_text, value in _LINE.findall(text):
        if name not in (CALLS_METRIC, BUCKETS_METRIC):
            continue
        labels = dict(_LABEL.findall(labels_text))
        key = SeriesKey(
            labels["service"], parse_priority_name(labels["priority"])
        )
        _add_value(totals[key], name, labels, float(value))
    return dict(totals)


def _add_value(
    totals: CallTotals, name: str, labels: dict[str, str], value: float
) -> None:
    ok = labels["outcome"] == Outcome.OK
    if name == CALLS_METRIC:
        totals.calls += value
        totals.ok += value if ok else 0.0
    elif ok:
        totals.ok_within[float(labels["le"])] = value


class MetricScraper:
    """Scrapes the metrics of nodes and adds the increases to series."""

    def __init__(
        self,
        nodes: tuple[str, ...],
        settings: ReportSettings,
        clock: Clock,
        pools: PoolRegistry,
        series: SeriesSet,
    ):
        self._nodes = nodes
        self._settings = settings
        self._clock = clock
        self._pools = pools
        self._series = series
        self._previous: dict[str, NodeTotals] = {}

    async def scrape(self) -> int:
        """Scrape every node; return the number of nodes that responded.

        The first scrape of a node only sets the baseline of its counters.
        """
        responded = 0
        for node in self._nodes:
            try:
                totals = await self._read_node(node)
            except ScrapeError:
                continue
            responded += 1
            if node in self._previous:
                self._add_increases(self._previous[node], totals)
            self._previous[node] = totals
        return responded

    async def _read_node(self, node: str) -> NodeTotals:
        pool = self._pools.get(parse_address(node))
        request = HttpRequest(b"GET", b"/metrics", [(b"host", node.encode())])
        try:
            response = await pool.exchange(request, SCRAPE_TIMEOUT_S)
            return read_totals(response.body.decode())
        except (HttpError, KeyError, ValueError) as exc:
            raise ScrapeError(f"metrics of {node}: {exc}") from exc

    def _add_increases(self, previous: NodeTotals, totals: NodeTotals) -> None:
        now_s = self._clock.now().timestamp()
        for key, current in totals.items():
            objective = self._settings.find_objective(
                key.service, key.priority
            )
            before = previous.get(key, CallTotals())
            if current.calls < before.calls:
                # The node was restarted, which reset its counters.
                before = CallTotals()
            counts = _subtract(
                current.classify(objective.latency_ms),
                before.classify(objective.latency_ms),
            )
            if counts.calls:
                self._series.add(key, now_s, counts)


def _subtract(left: CallCounts, right: CallCounts) -> CallCounts:
    return CallCounts(
        left.calls - right.calls,
        left.failed - right.failed,
        left.slow - right.slow,
    )


async def scrape_nodes(
    scraper: MetricScraper, clock: Clock, duration_s: float, interval_s: float
) -> None:
    """Scrape metrics at an interval for a duration.

    Raise ScrapeError when no node responds to the first scrape.
    """
    if not await scraper.scrape():
        raise ScrapeError(
            "no node responded to GET /metrics; give HOST:PORT of nodes' "
            "administration listeners"
        )
    end_s = clock.monotonic() + duration_s
    while clock.monotonic() < end_s:
        await clock.sleep(interval_s)
        await scraper.scrape()
