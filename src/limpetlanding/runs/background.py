"""Background tasks of one owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class BackgroundTasks:
    """Tasks that run beside their owner; a failure is logged."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        # The loop itself holds tasks by weak references only.
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(log_task_exception)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their ends."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def log_task_exception(task: asyncio.Task[Any]) -> None:
    """Log the exception of a task that has ended with one."""
    if not task.cancelled() and task.exception() is not None:
        logger.bind(step='run').opt(exception=task.exception()).error(
            'background task failed'
        )
