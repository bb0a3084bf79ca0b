"""Futures for requests that wait for a decision.

A gate passes requests to decision code and turns the actions that come
back, then or later, into results of the waiting coroutines.
"""

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
    """Futures by key; a result without a waiter is dropped."""

    def __init__(self) -> None:
        self._futures: dict[Key, asyncio.Future[Result]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def create(self, key: Key) -> asyncio.Future[Result]:
        """Return a new future for the key."""
        future: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[key] = future
        return future

    def list_keys(self) -> list[Key]:
        """Return the keys that are waited for."""
        return list(self._futures)

    def discard(self, key: Key) -> None:
        """Drop the key's future."""
        self._futures.pop(key, None)

    def resolve(self, key: Key, result: Result) -> None:
        """Give the key's waiter its result."""
        future = self._futures.pop(key, None)
        if future is not None and not future.done():
            future.set_result(result)

    def fail(self, key: Key, error: Exception) -> None:
        """Raise the error in the key's waiter."""
        future = self._futures.pop(key, None)
        if future is not None and not future.done():
            future.set_exception(error)


class AsyncAdmission:
    """Let requests wait for a slot of the backend server."""

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self.admission = admission
        self._clock = clock
        self._waiters: PendingFutures[int, None] = PendingFutures()
        self._idle = asyncio.Event()

    async def wait_idle(self) -> None:
        """Wait until nothing runs."""
        while self.admission.running:
            self._idle.clear()
            await self._idle.wait()

    async def acquire(self, ticket: Ticket) -> None:
        """Wait for a slot; raise RefusalError when there is none."""
        future = self._waiters.create(ticket.ticket_id)
        self._perform(self.admission.offer(self._clock.now(), ticket))
        try:
            await future
        except asyncio.CancelledError:
            self.cancel(ticket.ticket_id)
            raise

    def cancel(self, ticket_id: int) -> None:
        """Give up a ticket, waiting or running."""
        self._waiters.discard(ticket_id)
        self._perform(self.admission.cancel(self._clock.now(), ticket_id))

    def release(self, ticket_id: int, completion: Completion) -> None:
        """Free a slot."""
        self._perform(
            self.admission.finish(self._clock.now(), ticket_id, completion),
        )

    def suspend(self, ticket_id: int) -> None:
        """Note that a running request waits for a nested call."""
        self._perform(
            self.admission.suspend(self._clock.now(), ticket_id),
        )

    def resume(self, ticket_id: int) -> None:
        """Note that a nested call ended."""
        self.admission.resume(self._clock.now(), ticket_id)

    def refuse_all(self) -> None:
        """Refuse everything that waits: the backend server is gone."""
        for ticket_id in self._waiters.list_keys():
            self._waiters.fail(
                ticket_id,
                RefusalError(
                    ErrorCode.NO_SERVER,
                    "the backend server is gone",
                ),
            )
            self.admission.cancel(self._clock.now(), ticket_id)

    def configure(self, pool: Pool, slots: int) -> None:
        """Take over an edited pool; start what may start now."""
        self._perform(
            self.admission.configure(self._clock.now(), pool, slots),
        )

    def tick(self, now: datetime) -> None:
        """Refuse what can no longer be served in time."""
        self._perform(self.admission.tick(now))

    def _perform(self, actions: tuple[AdmissionAction, ...]) -> None:
        if not self.admission.running:
            self._idle.set()
        for action in actions:
            if isinstance(action, Start):
                self._waiters.resolve(action.ticket_id, None)
            elif isinstance(action, Refuse):
                self._waiters.fail(
                    action.ticket_id,
                    RefusalError(
                        action.code,
                        "the backend server has no capacity in time",
                        retry_after=action.retry_after,
                    ),
                )
