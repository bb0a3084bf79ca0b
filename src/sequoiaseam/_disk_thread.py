"""Thread for disk work that doesn't keep a stopped program running."""

import asyncio
import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, Final, TypeVar

POLL_INTERVAL_SECONDS: Final = 0.01

Result = TypeVar("Result")


class DiskThread:
    """Run functions one at a time in a thread of their own.

    Unlike the threads of an executor, it doesn't hold up the exit of the
    process, because a disk that stalls may not respond before a stop has to
    be done.
    """

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[
            tuple[Future[Any], Callable[[], Any]] | None
        ] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run_jobs, name=name, daemon=True
        )

    async def run(self, function: Callable[[], Result]) -> Result:
        """Run a function after those before it; return its result.

        If this coroutine is cancelled, a function that has started runs on.
        """
        if self._thread.ident is None:
            self._thread.start()
        future: Future[Result] = Future()
        self._jobs.put((future, function))
        return await asyncio.wrap_future(future)

    async def close(self, time_limit: timedelta) -> bool:
        """Wait for the function in progress; return whether it has ended."""
        self._jobs.put(None)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + time_limit.total_seconds()
        # Joining the thread would block the event loop.
        while (  # noqa: ASYNC110
            self._thread.is_alive() and loop.time() < deadline
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return not self._thread.is_alive()

    def _run_jobs(self) -> None:
        while (job := self._jobs.get()) is not None:
            future, function = job
            if not future.set_running_or_notify_cancel():
                continue
            try:
                result = function()
            except BaseException as error:  # noqa: BLE001
                future.set_exception(error)
            else:
                future.set_result(result)
