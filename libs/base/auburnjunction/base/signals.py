"""Awaitable stop and reload signals of the operating system."""

import signal
import socket
from collections.abc import Callable
from contextlib import contextmanager

import curio

RELOAD_SIGNAL = signal.SIGHUP
RELOAD_BYTE = bytes([RELOAD_SIGNAL])
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_reload() -> None:
    """Ignore a reload signal."""


class StopSignal:
    """Lets a curio task wait for a stop signal to the process."""

    def __init__(self, sock):
        self._sock = sock

    async def wait(
        self, on_reload: Callable[[], None] = ignore_reload
    ) -> None:
        """Return when a stop signal has arrived.

        Call on_reload at each reload signal.
        """
        while await self._sock.recv(1) == RELOAD_BYTE:
            on_reload()


@contextmanager
def catch_stop_signals():
    """Yield a StopSignal; main thread only.

    It handles SIGTERM and SIGINT as stop signals and SIGHUP as the
    reload signal, which announces changed settings.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(
        writer.fileno(), warn_on_full_buffer=False
    )
    previous = {
        signum: signal.signal(signum, lambda *_: None)
        for signum in (*STOP_SIGNALS, RELOAD_SIGNAL)
    }
    try:
        yield StopSignal(curio.io.Socket(reader))
    finally:
        for signum, handler in previous.items():
            signal.signal(signum, handler)
        signal.set_wakeup_fd(previous_fd)
        reader.close()
        writer.close()
