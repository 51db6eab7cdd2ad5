"""Parsing of calls from the access logs of nodes."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

import attrs
import orjson

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.commands.call_series import (
    CallCounts,
    SeriesKey,
    SeriesSet,
)
from auburnjunction.commands.objectives import Objective, ReportSettings
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.calls import Outcome

CALL_MESSAGE = "call"


class AccessLogError(AuburnError):
    """Raised when a log cannot be read or no log contains a call."""

    code = ErrorCode.NOT_FOUND


@attrs.frozen
class LoggedCall:
    """A call parsed from an access log line.

    The weight is the number of calls that a sampled line represents.
    """

    key: SeriesKey
    time_s: float
    outcome: str
    duration_ms: float
    weight: float

    def classify(self, objective: Objective) -> CallCounts:
        """Return the call counted as good, failed or slow by an objective."""
        if self.outcome != Outcome.OK:
            return CallCounts(self.weight, failed=self.weight)
        limit_ms = objective.latency_ms
        if limit_ms and self.duration_ms > limit_ms:
            return CallCounts(self.weight, slow=self.weight)
        return CallCounts(self.weight)


@attrs.define
class LogTotals:
    """Numbers of lines read, of calls among them and of invalid lines."""

    lines: int = 0
    calls: int = 0
    bad_lines: int = 0


def parse_priority_name(value: object) -> str:
    """Return the lower-case name of a priority given by number or name.

    Raise ValueError when there is no such priority.
    """
    text = str(value)
    if text.isdigit():
        return Priority(int(text)).name.lower()
    if text.upper() not in Priority.__members__:
        raise ValueError(f"{text!r} is not a priority")
    return text.lower()


def parse_call(line: bytes) -> LoggedCall | None:
    """Return the call of a log line, or None for any other event.

    Raise ValueError when the line is not a JSON object, or is a call
    with a missing or invalid field.
    """
    values = orjson.loads(line)
    if not isinstance(values, dict):
        raise ValueError("log line is not a JSON object")
    if values.get("message") != CALL_MESSAGE:
        return None
    try:
        return LoggedCall(
            SeriesKey(
                values["service"] or "(none)",
                parse_priority_name(values["priority"]),
            ),
            datetime.fromisoformat(values["time"]).timestamp(),
            str(values["outcome"]),
            float(values["duration_ms"]),
            float(values.get("weight", 1.0)),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(
            f"call has a missing or invalid field: {exc}"
        ) from exc


def read_lines(
    lines: Iterable[bytes],
    settings: ReportSettings,
    series: SeriesSet,
    totals: LogTotals,
) -> None:
    """Add the calls of log lines to the series and update the totals."""
    for line in lines:
        totals.lines += 1
        try:
            call = parse_call(line)
        except ValueError:
            totals.bad_lines += 1
            continue
        if call is None:
            continue
        totals.calls += 1
        key = call.key
        objective = settings.find_objective(key.service, key.priority)
        series.add(key, call.time_s, call.classify(objective))


def read_logs(
    paths: Iterable[Path], settings: ReportSettings, series: SeriesSet
) -> LogTotals:
    """Add the calls of log files to the series.

    Raise AccessLogError when a file cannot be read or no file contains
    a call.
    """
    totals = LogTotals()
    names = []
    for path in paths:
        names.append(str(path))
        try:
            with path.open("rb") as log:
                read_lines(log, settings, series, totals)
        except OSError as exc:
            raise AccessLogError(
                f"log {path} cannot be read ({exc.strerror}); "
                "give the path of a node's log file"
            ) from exc
    if not totals.calls:
        raise AccessLogError(
            f"no call found in {', '.join(names)} ({totals.lines} lines); "
            "give logs of nodes whose access_log_share is above 0"
        )
    return totals
