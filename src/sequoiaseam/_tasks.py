"""Groups of background tasks that are cancelled together."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from datetime import timedelta
from functools import partial
from typing import Any, Final, TypeVar

from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam.errors import RefusalError

# How often a step of a stop is tried.
STEP_ATTEMPTS: Final = 2
# Failed steps that a process logs. Some are tried in each pass of a wait.
STEP_FAILURES_LOGGED_MAX: Final = 50

ResultT = TypeVar("ResultT")


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


def is_cancelled() -> bool:
    """Return whether the current task itself is to be cancelled.

    Otherwise, an error of this type comes from something that it awaits.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def run_each(actions: Iterable[Callable[[], object]]) -> None:
    """Run all actions; log the errors of those that fail."""
    for action in actions:
        try:
            action()
        except Exception as error:  # noqa: BLE001
            with contextlib.suppress(Exception):
                log_event(
                    Level.ERROR,
                    "unexpected error; going on with the others",
                    action=_get_name(action),
                    **describe_error(error),
                )


class StepGuard:
    """Runs the steps of a stop, of which each may fail.

    What fails is logged and tried once more, as the reason may be a lack of
    memory or descriptors that has passed. The steps after it follow in any
    case, because requests are owed their answers.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._failure_count = 0

    def run(self, step: Callable[[], ResultT]) -> ResultT | None:
        """Run a step; return its result, None if it failed twice."""
        for _ in range(STEP_ATTEMPTS):
            try:
                return step()
            except Exception as error:  # noqa: BLE001
                self._record_failure(step, error)
        return None

    async def wait(
        self, step: Callable[[], Awaitable[ResultT]]
    ) -> ResultT | None:
        """Wait for a step; return its result, None if it failed twice.

        A cancellation of the stop itself is raised.
        """
        for _ in range(STEP_ATTEMPTS):
            try:
                return await step()
            except asyncio.CancelledError as error:
                if is_cancelled():
                    raise
                self._record_failure(step, error)
            except Exception as error:  # noqa: BLE001
                self._record_failure(step, error)
        return None

    def _record_failure(self, step: object, error: BaseException) -> None:
        self._failure_count += 1
        if self._failure_count > STEP_FAILURES_LOGGED_MAX:
            return
        with contextlib.suppress(Exception):
            log_event(
                Level.ERROR,
                "step failed",
                host=self._host,
                step=_get_name(step),
                **describe_error(error),
            )


def _get_name(step: object) -> str:
    while isinstance(step, partial):
        step = step.func
    return getattr(step, "__qualname__", "")


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
