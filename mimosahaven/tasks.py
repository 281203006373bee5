"""Background tasks that are referenced until they finish."""

import asyncio
import functools
from collections.abc import Callable
from collections.abc import Coroutine

from mimosahaven import errorlog


class BackgroundTasks:
    """Keeps references to running tasks and logs their failures."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(
        self,
        coroutine: Coroutine,
        on_error: Callable[[], None] | None = None,
    ) -> asyncio.Task:
        """Runs a coroutine as a task.

        Args:
          coroutine: The coroutine.
          on_error: Called if the task ends with an exception.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(
            functools.partial(self._on_done, on_error=on_error)
        )
        return task

    def cancel_all(self) -> None:
        """Cancels all running tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(
        self, task: asyncio.Task, on_error: Callable[[], None] | None
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled() or not task.exception():
            return
        errorlog.log_exception(
            "daemon: background task failed", task.exception()
        )
        if on_error is not None:
            on_error()
