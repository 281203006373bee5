"""Tasks of the event loop that are kept until they end."""

import asyncio
from collections.abc import Coroutine

from loguru import logger


class Tasks:
    """Keeps references to running tasks and logs those that fail."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Runs a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.opt(exception=task.exception()).error("daemon: task failed")
