"""Reports of backend servers on their load, and their encodings."""

import re

import attrs

# Speed of work on a host that is not shared; a greater number is slower.
USUAL_SPEED = 100.0
# Bounds of a credible speed: hosts are 0.5 to 1.6 times as slow as usual and
# up to five times slower during a fault.
MIN_SPEED = 20.0
MAX_SPEED = 2000.0
MAX_CALLS = 100_000
MAX_DURATION_MS = 3_600_000
NUMBER = rb"[0-9]{1,7}(?:\.[0-9]{1,4})?"
LOAD_PATTERN = re.compile(rb"\s*,\s*".join([NUMBER] * 4) + rb"\Z")
REPORT_PATTERN = re.compile(rb",".join([NUMBER] * 6) + rb"\Z")


@attrs.frozen(slots=True)
class ServerLoad:
    """What a backend server says of itself in a response."""

    running: int
    waiting: int
    slots: int
    speed: float


@attrs.frozen(slots=True)
class LoadReport:
    """What an owner node tells entry nodes of its backend server.

    Running and waiting calls are those that the owner node counts, slots the
    limit that it has in force. run_s is the time that the backend server took
    for the call that this is the answer to; 0 after a refusal. age_s is the
    age of the speed when the report was sent.
    """

    running: int
    waiting: int
    slots: int
    speed: float = USUAL_SPEED
    age_s: float = 0.0
    run_s: float = 0.0

    @property
    def busy(self) -> int:
        """Running and waiting calls."""
        return self.running + self.waiting


def parse_server_load(value: bytes | None) -> ServerLoad | None:
    """Return a backend server's figures; None if missing or not credible."""
    if value is None or not LOAD_PATTERN.match(value):
        return None
    running, waiting, slots, speed = map(float, value.split(b","))
    if max(running, waiting) > MAX_CALLS or not 1 <= slots <= MAX_CALLS:
        return None
    if not MIN_SPEED <= speed <= MAX_SPEED:
        return None
    return ServerLoad(int(running), int(waiting), int(slots), speed)


def format_report(report: LoadReport) -> bytes:
    """Return the value of the header between nodes."""
    return b"%d,%d,%d,%.0f,%.0f,%.1f" % (
        min(report.running, MAX_CALLS),
        min(report.waiting, MAX_CALLS),
        min(report.slots, MAX_CALLS),
        report.speed,
        min(report.age_s * 1000, MAX_DURATION_MS),
        min(report.run_s * 1000, MAX_DURATION_MS),
    )


def parse_report(value: bytes | None) -> LoadReport | None:
    """Return the report of an owner node; None if missing or invalid."""
    if value is None or not REPORT_PATTERN.match(value):
        return None
    running, waiting, slots, speed, age_ms, run_ms = map(
        float, value.split(b",")
    )
    if not (MIN_SPEED <= speed <= MAX_SPEED and slots >= 1):
        return None
    return LoadReport(
        int(running),
        int(waiting),
        int(slots),
        speed,
        age_ms / 1000,
        run_ms / 1000,
    )
