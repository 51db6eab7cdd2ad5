"""Manages processes that the demo, benchmarks and tests start."""

import contextlib
import http.client
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import orjson

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
FETCH_TIMEOUT_S = 5.0
FIRST_PORT = 20_000
LAST_PORT = 32_000


def find_binary(name: str) -> str:
    """Return the path of a program in the directory of this Python."""
    return str(Path(sys.executable).parent / name)


class ProcessEndedError(Exception):
    """A process that should be running has ended."""


@attrs.define
class ManagedProcess:
    """One process of the deployment."""

    name: str
    arguments: list[str]
    log_path: Path
    process: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self) -> int:
        """Process id; the process must have been started."""
        return self.process.pid

    def start(self) -> None:
        """Start the process; its output goes to the log file."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [find_binary(self.arguments[0]), *self.arguments[1:]],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def require_running(self) -> bool:
        """Return True; raise ProcessEndedError if the process has ended."""
        if not self.running:
            lines = self.log_path.read_text().splitlines() or ["no output"]
            raise ProcessEndedError(
                f"process {self.name} has ended; last log line: {lines[-1]}"
            )
        return True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Return the exit code, or None if it still runs after timeout_s."""
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process, even if it is stopped by SIGSTOP."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def read_events(self) -> list[dict]:
        """Return the log lines that are JSON objects."""
        events = []
        for line in self.log_path.read_bytes().splitlines():
            with contextlib.suppress(orjson.JSONDecodeError):
                events.append(orjson.loads(line))
        return [event for event in events if isinstance(event, dict)]


_next_port = itertools.count(FIRST_PORT + os.getpid() * 37 % 10_000)


def find_port() -> int:
    """Return a TCP port that is free on loopback."""
    while True:
        span = LAST_PORT - FIRST_PORT
        port = FIRST_PORT + (next(_next_port) - FIRST_PORT) % span
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


def fetch(
    port: int, path: str, method: str = "GET", body: bytes | None = None
) -> tuple[int, bytes]:
    """Return status and body of a request to a loopback port."""
    conn = http.client.HTTPConnection(HOST, port, timeout=FETCH_TIMEOUT_S)
    try:
        conn.request(method, path, body=body)
        response = conn.getresponse()
        return response.status, response.read()
    finally:
        conn.close()


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> None:
    """Poll a condition until it holds.

    Raise TimeoutError with the description after timeout_s.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"{description} not seen within {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)


def is_answering(port: int, path: str) -> bool:
    """Return whether a loopback port answers GET path with 200."""
    try:
        return fetch(port, path)[0] == 200
    except (OSError, http.client.HTTPException):
        return False
