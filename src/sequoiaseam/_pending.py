"""Futures for coroutines that wait for a decision or an answer."""

import asyncio
from collections.abc import Hashable
from datetime import datetime
from typing import Generic, TypeVar

from sequoiaseam._admission import (
    Admission,
    AdmissionAction,
    Refuse,
    Start,
)
from sequoiaseam._clock import Clock
from sequoiaseam._limiter import Completion
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Pool
from sequoiaseam.errors import ErrorCode, RefusalError

Key = TypeVar("Key", bound=Hashable)
Result = TypeVar("Result")


class PendingFutures(Generic[Key, Result]):
    """Futures by key; results for unknown keys are ignored."""

    def __init__(self) -> None:
        self._futures: dict[Key, asyncio.Future[Result]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def create(self, key: Key) -> asyncio.Future[Result]:
        """Create and return a future for the key."""
        future: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[key] = future
        return future

    def list_keys(self) -> list[Key]:
        """Return the keys of the pending futures."""
        return list(self._futures)

    def discard(self, key: Key) -> None:
        """Remove the key's future without resolving it."""
        self._futures.pop(key, None)

    def resolve(self, key: Key, result: Result) -> None:
        """Set the result of the key's future."""
        future = self._futures.pop(key, None)
        if future is not None and not future.done():
            future.set_result(result)

    def fail(self, key: Key, error: Exception) -> None:
        """Set the error as the exception of the key's future."""
        future = self._futures.pop(key, None)
        if future is not None and not future.done():
            future.set_exception(error)


class AsyncAdmission:
    """Asynchronous interface to the admission of a backend server.

    Requests are passed to the admission. The actions that it returns,
    immediately or later, resolve the futures of the waiting coroutines.
    """

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self.admission = admission
        self._clock = clock
        self._pending: PendingFutures[int, None] = PendingFutures()
        self._idle = asyncio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self.admission.running:
            self._idle.clear()
            await self._idle.wait()

    async def acquire(self, ticket: Ticket) -> None:
        """Wait for a slot; raise RefusalError if the ticket is refused."""
        future = self._pending.create(ticket.ticket_id)
        self._apply_actions(self.admission.offer(self._clock.now(), ticket))
        try:
            await future
        except asyncio.CancelledError:
            self.cancel(ticket.ticket_id)
            raise

    def cancel(self, ticket_id: int) -> None:
        """Cancel a waiting or running ticket."""
        self._pending.discard(ticket_id)
        self._apply_actions(
            self.admission.cancel(self._clock.now(), ticket_id)
        )

    def release(self, ticket_id: int, completion: Completion) -> None:
        """Release the slot of a request that has ended."""
        self._apply_actions(
            self.admission.finish(self._clock.now(), ticket_id, completion),
        )

    def suspend(self, ticket_id: int) -> None:
        """Record that a running request waits for a nested call."""
        self._apply_actions(
            self.admission.suspend(self._clock.now(), ticket_id),
        )

    def resume(self, ticket_id: int) -> None:
        """Record the end of a nested call."""
        self.admission.resume(self._clock.now(), ticket_id)

    def refuse_all(self, code: ErrorCode, message: str) -> None:
        """Refuse all waiting requests, which haven't run."""
        for ticket_id in self._pending.list_keys():
            self._pending.fail(ticket_id, RefusalError(code, message))
            self.admission.cancel(self._clock.now(), ticket_id)

    def configure(self, pool: Pool, slots: int) -> None:
        """Apply an edited pool; requests that now fit are started."""
        self._apply_actions(
            self.admission.configure(self._clock.now(), pool, slots),
        )

    def tick(self, now: datetime) -> None:
        """Refuse requests that can no longer meet their deadline."""
        self._apply_actions(self.admission.tick(now))

    def _apply_actions(self, actions: tuple[AdmissionAction, ...]) -> None:
        if not self.admission.running:
            self._idle.set()
        for action in actions:
            if isinstance(action, Start):
                self._pending.resolve(action.ticket_id, None)
            elif isinstance(action, Refuse):
                self._pending.fail(
                    action.ticket_id,
                    RefusalError(
                        action.code,
                        "the backend server has no capacity in time",
                        retry_after=action.retry_after,
                    ),
                )
