"""Logs as JSON lines through absl.logging."""

import logging as standard_logging
import os
import select
from datetime import UTC, datetime

import orjson
from absl import logging

from auburnjunction.base.clocks import Clock, SystemClock

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
# Lines that one process writes in a second, in the long run and at once:
# formatting this many takes about a hundredth of a core.
LINES_PER_S = 50.0
BURST_LINES = 400.0
# What a pipe takes in one piece, or not at all (PIPE_BUF).
MAX_LINE_BYTES = 4096


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one JSON object on a line."""

    def __init__(self, node: str = "", data_centre: str = ""):
        super().__init__()
        self._common = {"node": node, "data_centre": data_centre}

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as a JSON line."""
        time = datetime.fromtimestamp(record.created, UTC)
        line = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.module,
            "message": record.getMessage(),
        }
        line.update({k: v for k, v in self._common.items() if v})
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


class BoundedStream:
    """Text stream that writes whole lines or none, and never waits.

    Lines above the rate, and those for which the reader leaves no room,
    are left out; the next line that is written tells how many.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Clock,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ):
        self.left_out = 0
        self._descriptor = descriptor
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_s = clock.monotonic()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write a line if the rate and the reader allow it."""
        if not self._take_token() or not self._has_room():
            self.left_out += 1
            return
        if self.left_out:
            notice = {"message": "log lines left out", "count": self.left_out}
            text = f"{orjson.dumps(notice).decode()}\n{text}"
        content = text.encode()
        if len(content) > MAX_LINE_BYTES:
            self.left_out += 1
            return
        os.write(self._descriptor, content)
        self.left_out = 0

    def flush(self) -> None:
        """Do nothing; lines are written at once."""

    def close(self) -> None:
        """Leave the descriptor open; it belongs to the process."""

    def _take_token(self) -> bool:
        now_s = self._clock.monotonic()
        earned = (now_s - self._filled_s) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _has_room(self) -> bool:
        # A pipe is writable while it takes a line of MAX_LINE_BYTES.
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(0))


def configure_logs(
    level: str = "info",
    node: str = "",
    data_centre: str = "",
    descriptor: int = STANDARD_ERROR,
) -> None:
    """Send absl logs as JSON lines to a descriptor.

    They are bounded and never block; see BoundedStream.
    """
    handler = logging.get_absl_handler()
    handler.python_handler.stream = BoundedStream(descriptor, SystemClock())
    handler.setFormatter(JsonFormatter(node, data_centre))
    logging.use_absl_handler()
    # It warns of each wait that ends just after its time limit.
    standard_logging.getLogger("curio.time").setLevel(standard_logging.ERROR)
    # Without this absl begins with a line that is not JSON.
    logging._warn_preinit_stderr = False
    logging.set_verbosity(getattr(logging, level.upper()))


def log_event(message: str, level: int = logging.INFO, **fields) -> None:
    """Log a message with typed fields, such as request_id or revision."""
    logger = logging.get_absl_logger()
    logger.log(
        logging.converter.absl_to_standard(level),
        message,
        extra={"fields": fields},
        stacklevel=2,
    )
