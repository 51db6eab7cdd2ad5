"""Short-lived tasks that run concurrently with their creator."""

from contextlib import asynccontextmanager

import curio
from absl import logging


class BackgroundTasks:
    """Runs short-lived tasks and drops each one when it ends."""

    def __init__(self):
        self._tasks: set[curio.Task] = set()

    async def spawn(self, function, *args) -> None:
        """Run an async function as a task; log its exceptions."""
        task = await curio.spawn(self._run, function, args, daemon=True)
        self._tasks.add(task)

    async def cancel(self) -> None:
        """Cancel every task that is still running."""
        for task in list(self._tasks):
            await task.cancel()

    async def _run(self, function, args) -> None:
        try:
            await function(*args)
        except curio.CancelledError:
            raise
        except Exception:
            logging.exception("background task %s failed", function)
        finally:
            self._tasks.discard(await curio.current_task())


@asynccontextmanager
async def open_background_tasks():
    """Yield a BackgroundTasks; cancel its running tasks on exit."""
    tasks = BackgroundTasks()
    try:
        yield tasks
    finally:
        await tasks.cancel()
