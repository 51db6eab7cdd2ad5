"""Release of ended tasks, and cancellation when a group is closed."""

import weakref

import curio

from auburnjunction.base.tasks import open_task_group


async def finish():
    return None


def test_group_releases_ended_tasks():
    async def main():
        async with open_task_group() as group:
            ended = weakref.WeakSet()
            for _ in range(10):
                ended.add(await group.spawn(finish))
            async with curio.timeout_after(5):
                while len(ended):
                    await curio.sleep(0.01)

    curio.run(main)


def test_group_cancels_running_tasks():
    cancelled = []

    async def run_until_cancelled():
        try:
            await curio.sleep(60)
        finally:
            cancelled.append(True)

    async def main():
        async with open_task_group() as group:
            for _ in range(3):
                await group.spawn(run_until_cancelled)
            await curio.sleep(0)

    curio.run(main)
    assert cancelled == [True] * 3
