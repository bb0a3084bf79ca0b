"""Groups of background tasks that are cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam.errors import RefusalError


class TaskGroup:
    """Background tasks of one component, whose failures are logged.

    ``asyncio.TaskGroup`` cancels all tasks when one fails, which a server
    must not do.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self,
        coroutine: Coroutine[Any, Any, Any],
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task of the group and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        # A refusal is the response to a request and is raised in the code
        # that awaits it.
        if error is not None and not isinstance(error, RefusalError):
            log_event(
                Level.ERROR,
                "background task failed",
                **describe_error(error),
            )

    def start_periodic(
        self, interval: timedelta, action: Callable[[], None]
    ) -> asyncio.Task[Any]:
        """Start a task that calls ``action`` after each interval.

        An unexpected error is logged and doesn't end the task, because
        the process would go on without its timeouts or pings.
        """
        return self.start(_call_periodically(interval, action))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they are done."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Wait until all tasks are done, without cancelling them."""
        while self._tasks:
            await asyncio.wait(self._tasks)


async def _call_periodically(
    interval: timedelta, action: Callable[[], None]
) -> None:
    while True:
        await asyncio.sleep(interval.total_seconds())
        try:
            action()
        except Exception as error:  # noqa: BLE001
            log_event(
                Level.ERROR,
                "periodic action failed",
                action=getattr(action, "__qualname__", ""),
                **describe_error(error),
            )
