"""Background tasks that are kept, logged and cancelled together."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from sequoiaseam._logs import Level, log_event
from sequoiaseam.errors import RefusalError


class TaskGroup:
    """Tasks of one component; a failed one is logged, not lost.

    ``asyncio.TaskGroup`` ends all tasks when one fails, which a server
    must not do.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self,
        coroutine: Coroutine[Any, Any, Any],
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task of the group."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        # A refusal is a request's answer; whoever waits for it gets it.
        if error is not None and not isinstance(error, RefusalError):
            log_event(
                Level.ERROR,
                "background task failed",
                error=repr(error),
            )

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Wait until all tasks have ended by themselves."""
        while self._tasks:
            await asyncio.wait(self._tasks)
