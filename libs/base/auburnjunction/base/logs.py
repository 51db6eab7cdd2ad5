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
# Token bucket for the log lines of a process. Formatting lines at this rate
# takes about 1 % of a core.
LINES_PER_S = 50.0
BURST_LINES = 400.0
# PIPE_BUF: up to this size a write to a pipe is atomic.
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
    """Non-blocking text stream that writes whole lines or drops them.

    A line is dropped when it exceeds the rate limit or MAX_LINE_BYTES,
    or when the descriptor is not writable because the reader lags. The
    number of dropped lines is written before the next line.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Clock,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ):
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_s = clock.monotonic()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write a line, or drop it; see the class for the conditions."""
        if not self._take_token() or not self._is_writable():
            self.dropped_lines += 1
            return
        content = text.encode()
        if len(content) > MAX_LINE_BYTES:
            self.dropped_lines += 1
            return
        notice = self._make_notice()
        has_room = len(notice) + len(content) <= MAX_LINE_BYTES
        try:
            os.write(
                self._descriptor, notice + content if has_room else content
            )
        except OSError:
            # The reader has gone; there is nowhere to report it.
            self.dropped_lines += 1
            return
        if has_room:
            self.dropped_lines = 0

    def flush(self) -> None:
        """Do nothing; lines are not buffered."""

    def close(self) -> None:
        """Leave the descriptor open; it belongs to the process."""

    def _make_notice(self) -> bytes:
        """Return a line with the number of dropped lines, if any."""
        if not self.dropped_lines:
            return b""
        report = {"message": "log lines left out", "count": self.dropped_lines}
        return orjson.dumps(report) + b"\n"

    def _take_token(self) -> bool:
        now_s = self._clock.monotonic()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _is_writable(self) -> bool:
        # poll reports a pipe as writable only if MAX_LINE_BYTES fit into it.
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(0))


def configure_logs(
    level: str = "info",
    node: str = "",
    data_centre: str = "",
    descriptor: int = STANDARD_ERROR,
) -> None:
    """Send absl logs as JSON lines to a descriptor.

    Logging is rate-limited and never blocks; see BoundedStream.
    """
    handler = logging.get_absl_handler()
    handler.python_handler.stream = BoundedStream(descriptor, SystemClock())
    handler.setFormatter(JsonFormatter(node, data_centre))
    logging.use_absl_handler()
    # curio.time warns of each wait that ends just after its time-out.
    standard_logging.getLogger("curio.time").setLevel(standard_logging.ERROR)
    # Suppresses absl's initial warning line, which is not JSON.
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
