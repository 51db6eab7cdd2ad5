"""Task groups and periodic background tasks."""

from contextlib import asynccontextmanager

import curio
from absl import logging


class OwnedTaskGroup(curio.TaskGroup):
    """Task group that releases each task when it ends.

    curio.TaskGroup keeps every ended non-daemon task until it is joined,
    so a group that exists as long as its process would grow without bound.
    """

    async def spawn(self, coro, *args, daemon=True):
        """Start a task that is cancelled when the group is closed."""
        return await super().spawn(coro, *args, daemon=daemon)


@asynccontextmanager
async def open_task_group():
    """Yield a task group whose tasks are cancelled on exit."""
    group = OwnedTaskGroup(wait=None)
    try:
        async with group:
            yield group
    finally:
        await group.cancel_remaining()


async def run_forever(step, clock, interval_s) -> None:
    """Call an async function periodically and log its errors.

    The interval is a number of seconds or a function that returns one.
    """
    while True:
        delay_s = interval_s() if callable(interval_s) else interval_s
        await clock.sleep(delay_s)
        try:
            await step()
        except curio.CancelledError:
            raise
        except Exception:
            logging.exception("background step %s failed", step)
