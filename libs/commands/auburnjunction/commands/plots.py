"""Line plots rendered as inline SVG."""

from datetime import UTC, datetime
from html import escape

import attrs

WIDTH = 360
HEIGHT = 150
LEFT = 44
RIGHT = 10
TOP = 12
BOTTOM = 24
GRID_LINES = 4


@attrs.frozen
class PlotPoint:
    """A value at a time in seconds since the epoch."""

    time_s: float
    value: float


@attrs.frozen
class PlotLimit:
    """A labelled dashed line that marks a limit."""

    value: float
    label: str


@attrs.frozen
class LinePlot:
    """A plot of one value over time, with limits."""

    title: str
    points: tuple[PlotPoint, ...]
    limits: tuple[PlotLimit, ...] = ()
    low: float = 0.0
    high: float = 1.0
    # Format of the axis labels, such as ".1f" or ".0%".
    value_format: str = ".1f"

    def render(self) -> str:
        """Return the plot as an SVG element."""
        parts = [
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" '
            f'aria-label="{escape(self.title)}">',
            f"<title>{escape(self.title)}</title>",
            *self._draw_grid(),
            *(self._draw_limit(limit) for limit in self.limits),
            self._draw_line(),
            *self._draw_time_labels(),
            "</svg>",
        ]
        return "".join(parts)

    def _draw_grid(self) -> list[str]:
        parts = []
        for index in range(GRID_LINES + 1):
            value = self.low + (self.high - self.low) * index / GRID_LINES
            y = self._scale_y(value)
            parts.append(_draw_horizontal_line(y, "grid"))
            label = format(value, self.value_format)
            parts.append(
                f'<text class="tick" x="{LEFT - 6}" y="{y + 3:.1f}" '
                f'text-anchor="end">{escape(label)}</text>'
            )
        return parts

    def _draw_limit(self, limit: PlotLimit) -> str:
        y = self._scale_y(limit.value)
        return (
            f"{_draw_horizontal_line(y, 'limit')}"
            f'<text class="limit-label" x="{WIDTH - RIGHT}" y="{y - 4:.1f}" '
            f'text-anchor="end">{escape(limit.label)}</text>'
        )

    def _draw_line(self) -> str:
        pairs = (
            f"{self._scale_x(point.time_s):.1f},{self._scale_y(point.value):.1f}"
            for point in self.points
        )
        return f'<polyline class="line" points="{" ".join(pairs)}"/>'

    def _draw_time_labels(self) -> list[str]:
        if not self.points:
            return []
        y = HEIGHT - 8
        ends = (
            (self.points[0], LEFT, "start"),
            (self.points[-1], WIDTH - RIGHT, "end"),
        )
        return [
            f'<text class="tick" x="{x}" y="{y}" text-anchor="{anchor}">'
            f"{format_time(point.time_s)}</text>"
            for point, x, anchor in ends
        ]

    def _scale_x(self, time_s: float) -> float:
        start_s = self.points[0].time_s
        span_s = (self.points[-1].time_s - start_s) or 1.0
        return LEFT + (WIDTH - LEFT - RIGHT) * (time_s - start_s) / span_s

    def _scale_y(self, value: float) -> float:
        span = (self.high - self.low) or 1.0
        share = min(1.0, max(0.0, (value - self.low) / span))
        return TOP + (HEIGHT - TOP - BOTTOM) * (1.0 - share)


def _draw_horizontal_line(y: float, css_class: str) -> str:
    return (
        f'<line class="{css_class}" x1="{LEFT}" x2="{WIDTH - RIGHT}" '
        f'y1="{y:.1f}" y2="{y:.1f}"/>'
    )


def format_time(time_s: float) -> str:
    """Return the UTC time of day of seconds since the epoch."""
    return datetime.fromtimestamp(time_s, UTC).strftime("%H:%M:%S")
