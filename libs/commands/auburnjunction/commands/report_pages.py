"""Rendering of the burn rate report as an HTML page."""

from datetime import UTC, datetime
from html import escape

from auburnjunction.commands.burns import (
    BurnReport,
    ServiceBurn,
)
from auburnjunction.commands.objectives import Objective
from auburnjunction.commands.plots import LinePlot, PlotLimit, PlotPoint

STYLE = """
:root { color-scheme: light dark;
  --page: #ffffff; --card: #f6f7f9; --text: #1c2430; --soft: #5b6675;
  --rule: #d9dee5; --line: #1f5fbf; --page-state: #b3261e;
  --ticket-state: #8a5a00; --ok-state: #1b6e3c; }
@media (prefers-color-scheme: dark) { :root {
  --page: #14181f; --card: #1d232c; --text: #e6eaf0; --soft: #9aa6b5;
  --rule: #343d49; --line: #7fb0ff; --page-state: #ff8a80;
  --ticket-state: #f2c14e; --ok-state: #7bd69b; } }
body { margin: 0 auto; max-width: 1180px; padding: 24px;
  background: var(--page); color: var(--text);
  font: 15px/1.5 system-ui, sans-serif; }
h1 { font-size: 24px; margin: 0 0 4px; }
h2 { font-size: 18px; margin: 32px 0 8px; }
h3 { font-size: 15px; margin: 0 0 8px; }
p { margin: 4px 0; color: var(--soft); }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%;
  font-variant-numeric: tabular-nums; }
th, td { padding: 6px 10px; text-align: right; white-space: nowrap;
  border-bottom: 1px solid var(--rule); }
th { color: var(--soft); font-weight: 600; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
.state { font-weight: 600; }
.page { color: var(--page-state); }
.ticket { color: var(--ticket-state); }
.ok { color: var(--ok-state); }
.cards { display: grid; gap: 16px;
  grid-template-columns: repeat(auto-fit, minmax(330px, 1fr)); }
.card { background: var(--card); border: 1px solid var(--rule);
  border-radius: 8px; padding: 14px; }
.card p { font-size: 13px; }
svg { width: 100%; height: auto; display: block; }
.grid { stroke: var(--rule); stroke-width: 1; }
.limit { stroke: var(--page-state); stroke-width: 1;
  stroke-dasharray: 4 3; }
.limit-label { fill: var(--page-state); font-size: 10px; }
.tick { fill: var(--soft); font-size: 10px; }
.line { fill: none; stroke: var(--line); stroke-width: 2;
  stroke-linejoin: round; }
"""

# Lower values are drawn at this limit of the axis.
BUDGET_AXIS_MIN = -1.0


def render_page(report: BurnReport) -> str:
    """Return the report as a self-contained HTML page."""
    time = datetime.fromtimestamp(report.time_s, UTC)
    cards = "".join(_render_card(service) for service in report.services)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width">'
        f"<title>Service-level burn</title><style>{STYLE}</style></head>"
        "<body><h1>Service-level burn</h1>"
        f"<p>Until {time:%Y-%m-%d %H:%M:%S} UTC, from "
        f"{escape(report.source)}. State: {_render_state(report.state)}</p>"
        f"<h2>Objectives</h2>{_render_table(report)}"
        f'<h2>Over time</h2><div class="cards">{cards}</div>'
        "<p>At a burn rate of 1 the error budget is used up exactly at "
        "the end of its period. A window fires when both its long and its "
        "short burn rate are above its limit.</p></body></html>\n"
    )


def _render_state(state: str) -> str:
    return f'<span class="state {state}">{escape(state)}</span>'


def _render_table(report: BurnReport) -> str:
    windows = report.services[0].burns if report.services else ()
    heads = [
        "service",
        "priority",
        "state",
        "objective",
        "calls",
        "failed",
        "slow",
        "good",
        "budget left",
        *(f"burn {burn.window}" for burn in windows),
    ]
    head = "".join(f"<th>{escape(text)}</th>" for text in heads)
    rows = "".join(_render_row(service) for service in report.services)
    return (
        f'<div class="scroll"><table><thead><tr>{head}</tr></thead>'
        f"<tbody>{rows}</tbody></table></div>"
    )


def _render_row(service: ServiceBurn) -> str:
    cells = [
        escape(service.service),
        escape(service.priority),
        _render_state(service.state),
        escape(describe_objective(service.objective)),
        f"{service.counts.calls:.0f}",
        f"{service.counts.failed:.0f}",
        f"{service.counts.slow:.0f}",
        f"{service.good_share:.3%}",
        f"{service.budget_left:.1%}",
        *(
            f"{burn.long_burn:.2f} / {burn.short_burn:.2f}"
            for burn in service.burns
        ),
    ]
    return f"<tr>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"


def describe_objective(objective: Objective) -> str:
    """Return an objective as text, such as 99.9% in 500 ms."""
    share = f"{objective.good_share * 100:g}%"
    if not objective.latency_ms:
        return share
    return f"{share} in {objective.latency_ms:g} ms"


def _render_card(service: ServiceBurn) -> str:
    title = f"{service.service}, {service.priority}"
    return (
        f'<section class="card"><h3>{escape(title)} '
        f"{_render_state(service.state)}</h3>"
        f"<p>Burn rate</p>{_plot_burn(service, title).render()}"
        f"<p>Error budget left</p>{_plot_budget(service, title).render()}"
        "</section>"
    )


def _plot_burn(service: ServiceBurn, title: str) -> LinePlot:
    limit = service.burns[0].max_burn
    highest = max((point.burn for point in service.points), default=0.0)
    return LinePlot(
        title=f"Burn rate of {title}",
        points=tuple(
            PlotPoint(point.time_s, point.burn) for point in service.points
        ),
        limits=(PlotLimit(limit, f"limit {limit:g}"),),
        high=max(highest, limit) * 1.15,
    )


def _plot_budget(service: ServiceBurn, title: str) -> LinePlot:
    lowest = min((point.budget_left for point in service.points), default=0.0)
    return LinePlot(
        title=f"Error budget left of {title}",
        points=tuple(
            PlotPoint(point.time_s, point.budget_left)
            for point in service.points
        ),
        limits=(PlotLimit(0.0, "used up"),),
        low=0.0 if lowest >= 0 else max(BUDGET_AXIS_MIN, lowest),
        high=1.0,
        value_format=".0%",
    )
