"""Control of the processes of one trial of the distribution bench."""

import multiprocessing
import time
from contextlib import (
    suppress,
)

from distribution_nodes import run_platform, run_process
from distribution_trials import (
    PROCESSES,
    WAIT_LIMIT_S,
    Trial,
)


class Fleet:
    """Starts the processes of one trial and sends commands to them."""

    def __init__(self, trial: Trial):
        self.trial = trial
        context = multiprocessing.get_context("fork")
        self._platform, child = context.Pipe()
        self._children = [
            context.Process(
                target=run_platform,
                args=(trial.platform_port, child),
                daemon=True,
            )
        ]
        self._children[0].start()
        self.query_platform("stats")
        self._conns = []
        for process in range(min(PROCESSES, trial.nodes)):
            conn, child = context.Pipe()
            self._conns.append(conn)
            self._children.append(
                context.Process(
                    target=run_process,
                    args=(trial, process, child),
                    daemon=True,
                )
            )
        for child in self._children[1:]:
            child.start()

    def query_platform(self, message: str) -> dict:
        """Send a message to the platform and return its counts."""
        self._platform.send(message)
        return self._platform.recv()

    def run_on_all(self, *message) -> list:
        """Send a command to all processes and return their results."""
        for conn in self._conns:
            conn.send(message)
        return [conn.recv() for conn in self._conns]

    def run_on_one(self, index: int, *message):
        """Send a command to one process and return its result."""
        conn = self._conns[index % len(self._conns)]
        conn.send(message)
        return conn.recv()

    def report(self) -> list[dict]:
        """Return the reports of all nodes."""
        return [
            node for result in self.run_on_all("report") for node in result
        ]

    def wait_for(self, condition) -> list[dict]:
        """Wait until every node's report meets a condition; return them."""
        end_s = time.monotonic() + WAIT_LIMIT_S
        while True:
            nodes = self.report()
            if all(condition(node) for node in nodes):
                return nodes
            if time.monotonic() > end_s:
                raise TimeoutError(
                    f"not every node met the condition in {WAIT_LIMIT_S} s"
                )
            time.sleep(0.05)

    def stop(self) -> None:
        """End all processes."""
        with suppress(EOFError, OSError):
            self.run_on_all("stop")
        with suppress(OSError):
            self._platform.send("stop")
        for child in self._children:
            child.join(5)
            if child.is_alive():
                child.terminate()
