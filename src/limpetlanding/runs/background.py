"""Runs coroutines as background tasks."""

import asyncio
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from loguru import logger


class BackgroundTasks:
    """Background tasks of one object; an exception in a task is logged."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a background task and return the task."""
        task = asyncio.get_running_loop().create_task(work)
        # The event loop has only weak references to tasks.
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(log_task_exception)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextmanager
def errors_logged(step: str) -> Iterator[None]:
    """Log an unexpected exception, so that a loop of the process continues.

    Parameters
    ----------
    step : str
        What the block does, for the log.
    """
    try:
        yield
    except Exception as error:
        logger.bind(step=step).opt(exception=error).error('unexpected error')


def log_task_exception(task: asyncio.Task[Any]) -> None:
    """Log the exception of an ended task, if it has raised one."""
    if not task.cancelled() and task.exception() is not None:
        logger.bind(step='run').opt(exception=task.exception()).error(
            'background task failed'
        )
