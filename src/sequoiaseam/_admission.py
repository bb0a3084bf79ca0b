"""Admission of requests to one backend server."""

import random
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._limiter import Completion, Limiter
from sequoiaseam._pressure import (
    MEASUREMENT_INTERVAL,
    PoolPressure,
    PressureGauge,
)
from sequoiaseam._queue import Ticket, WaitingQueue
from sequoiaseam._retry import compute_retry_after
from sequoiaseam._tables import Pool
from sequoiaseam.errors import ErrorCode

TICK: Final = timedelta(milliseconds=50)
# Others get this many times the time that a lone ticket took.
ALONE_PAUSE: Final = 3


@dataclass(frozen=True, slots=True)
class Start:
    """Run the request of a ticket now."""

    ticket_id: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request of a ticket; it hasn't run."""

    ticket_id: int
    code: ErrorCode
    retry_after: timedelta


AdmissionAction = Start | Refuse


@dataclass(slots=True)
class _Run:
    started: datetime
    alone: bool
    kind: str
    # Nested calls in progress, since when, and their time so far.
    calls: int = 0
    since: datetime | None = None
    nested: timedelta = timedelta(0)


class Admission:
    """Limiter and queue of one backend server.

    Each ticket gets exactly one action, unless it is cancelled while it
    waits.
    """

    def __init__(
        self,
        pool: Pool,
        slots: int,
        now: datetime,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._rng = rng
        self._limiter = Limiter(_bound(pool, slots), pool.warmup, now)
        self._queue = WaitingQueue()
        self._gauge = PressureGauge(now)
        self._runs: dict[int, _Run] = {}
        self._alone = False
        # Since when the server is kept for a ticket that runs alone,
        # and until when others go first.
        self._blocked_since: datetime | None = None
        self._open_until = now
        self._draining = False
        self._area = 0.0
        self._area_from = now
        self._changed_at = now

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Return how many tickets wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests may work at once."""
        return self._limiter.limit

    def estimate(self, now: datetime) -> timedelta:
        """Return the time that a request is expected to run.

        A ticket is refused once less than that is left of its time.
        """
        return self._limiter.median.estimate(now)

    def offer(
        self,
        now: datetime,
        ticket: Ticket,
    ) -> tuple[AdmissionAction, ...]:
        """Take a ticket; it starts, is refused, or waits."""
        if ticket.ticket_id in self._runs or ticket.ticket_id in self._queue:
            raise ValueError(f"ticket {ticket.ticket_id} is in use")
        if self._draining:
            return (self._refuse(ticket.ticket_id, ErrorCode.DRAINING),)
        self._gauge.record_arrival(ticket.importance)
        if self._may_start_at_once(now, ticket):
            self._start(now, ticket)
            self._gauge.record_empty_queue()
            self._roll(now)
            return (Start(ticket.ticket_id),)
        self._queue.push(ticket)
        actions = self._pump(now)
        if len(self._queue) > self._pool.queue:
            actions += self._evict(now)
            # The victim may have kept others from starting.
            actions += self._pump(now)
        return tuple(actions)

    def finish(
        self,
        now: datetime,
        ticket_id: int,
        completion: Completion,
    ) -> tuple[AdmissionAction, ...]:
        """Free the slot of a request that ended."""
        run = self._runs.get(ticket_id)
        if run is None:
            return ()
        if run.calls:
            run.calls = 1
            self._resume(now, run)
        self._integrate(now)
        del self._runs[ticket_id]
        if run.alone:
            self._end_alone(now)
        self._limiter.finish(
            now,
            run.started,
            completion,
            run.nested,
            run.kind,
        )
        return tuple(self._pump(now))

    def suspend(
        self,
        now: datetime,
        ticket_id: int,
    ) -> tuple[AdmissionAction, ...]:
        """Note that a running request waits for a nested call.

        It keeps its slot, but the server may work on others meanwhile:
        the limit bounds requests that work, the slots those that work
        or wait.
        """
        run = self._runs.get(ticket_id)
        if run is None:
            return ()
        run.calls += 1
        if run.calls > 1:
            return ()
        run.since = now
        self._integrate(now)
        self._limiter.suspend(now)
        return tuple(self._pump(now))

    def resume(self, now: datetime, ticket_id: int) -> None:
        """Note the end of a nested call."""
        run = self._runs.get(ticket_id)
        if run is not None and run.calls:
            self._resume(now, run)

    def cancel(
        self,
        now: datetime,
        ticket_id: int,
    ) -> tuple[AdmissionAction, ...]:
        """Forget a ticket; a running one frees its slot.

        The caller closes the connection of a running one first.
        """
        if self._queue.remove(ticket_id) is not None:
            return tuple(self._pump(now))
        return self.finish(now, ticket_id, Completion.CANCELLED)

    def tick(self, now: datetime) -> tuple[AdmissionAction, ...]:
        """Drop tickets without time left, follow the limiter."""
        self._limiter.tick(now)
        return tuple(self._pump(now))

    def next_due(self, now: datetime) -> datetime:
        """Return when to call ``tick``."""
        due = now + TICK
        deadline = self._queue.find_next_deadline()
        if deadline is None:
            return due
        latest = deadline - self._limiter.median.estimate(now)
        return max(now, min(due, latest))

    def configure(
        self,
        now: datetime,
        pool: Pool,
        slots: int,
    ) -> tuple[AdmissionAction, ...]:
        """Take over an edited pool or newly announced slots."""
        self._pool = pool
        self._limiter.configure(_bound(pool, slots), pool.warmup)
        return self.tick(now)

    def hint(self, now: datetime, load: float) -> None:
        """Note the reported load, which may be stale or false."""
        self._limiter.hint(now, load)

    def drain(self, now: datetime) -> None:
        """Refuse new tickets; those that wait still run."""
        self._draining = True
        self._roll(now)

    def measure_pressure(self, now: datetime) -> PoolPressure:
        """Return the pressure to send with responses."""
        self._roll(now)
        return PoolPressure(self._pool.name, self._gauge.level)

    def _evict(self, now: datetime) -> list[AdmissionAction]:
        """Refuse the least important tickets over the queue's bound."""
        actions: list[AdmissionAction] = []
        while len(self._queue) > self._pool.queue:
            victim = self._queue.find_victim(newest=self._is_late(now))
            if victim is None:
                break
            self._queue.remove(victim.ticket_id)
            self._gauge.record_refusal(victim.importance)
            code = ErrorCode.QUEUE_FULL
            actions.append(self._refuse(victim.ticket_id, code))
        return actions

    def _pump(self, now: datetime) -> list[AdmissionAction]:
        """Start what may start, after dropping what is too late."""
        actions: list[AdmissionAction] = []
        if not self._queue:
            if self._alone:
                self._gauge.record_blocked()
            else:
                self._blocked_since = None
            self._gauge.record_empty_queue()
            self._roll(now)
            return actions
        # While others wait, a slot isn't risked on one that would just
        # about be in time.
        standing = self._is_late(now)
        latest = now + self._limiter.median.estimate(now, high=standing)
        for late in self._queue.expire(latest):
            self._gauge.record_refusal(late.importance)
            code = ErrorCode.DEADLINE
            actions.append(self._refuse(late.ticket_id, code))
        while (ticket := self._choose(now)) is not None:
            self._start(now, ticket)
            actions.append(Start(ticket.ticket_id))
        self._gauge.record_queue(self._queue.counts)
        self._roll(now)
        return actions

    def _choose(self, now: datetime) -> Ticket | None:
        if self._alone:
            self._gauge.record_blocked()
            return None
        if not self._has_room():
            return None
        alone = not self._runs or now >= self._open_until
        newest = self._is_late(now)
        ticket = self._queue.peek(newest=newest, alone=alone)
        if ticket is None or not ticket.alone:
            self._blocked_since = None
            return ticket
        self._blocked_since = self._blocked_since or now
        if not self._runs:
            return ticket
        # Nothing of its rank or below starts until the server is idle,
        # so the ticket doesn't starve.
        self._gauge.record_blocked()
        return None

    def _end_alone(self, now: datetime) -> None:
        """Give the others time in proportion to the ticket's."""
        self._alone = False
        if self._blocked_since is not None:
            taken = now - self._blocked_since
            self._open_until = now + ALONE_PAUSE * taken
            self._blocked_since = None

    def _resume(self, now: datetime, run: _Run) -> None:
        run.calls -= 1
        if not run.calls and run.since is not None:
            run.nested += now - run.since
            run.since = None
            self._integrate(now)
            self._limiter.start(now)

    def _may_start_at_once(self, now: datetime, ticket: Ticket) -> bool:
        """Tell whether a ticket needs no queue: nothing waits or hinders."""
        return (
            not self._queue
            and not self._alone
            and not ticket.alone
            and self._has_room()
            and ticket.deadline - now >= self._limiter.median.estimate(now)
        )

    def _has_room(self) -> bool:
        """Tell whether one more request may start."""
        limiter = self._limiter
        working = limiter.running < limiter.limit
        return working and len(self._runs) < limiter.slots

    def _start(self, now: datetime, ticket: Ticket) -> None:
        self._integrate(now)
        if ticket.ticket_id in self._queue:
            self._queue.start(ticket)
        self._gauge.record_start()
        self._limiter.start(now)
        self._runs[ticket.ticket_id] = _Run(now, ticket.alone, ticket.kind)
        self._alone = ticket.alone

    def _is_late(self, now: datetime) -> bool:
        """Tell whether the queue stands, so that the newest go first."""
        return self._queue.measure_age(now) > MEASUREMENT_INTERVAL

    def _integrate(self, now: datetime) -> None:
        elapsed = (now - self._changed_at).total_seconds()
        limiter = self._limiter
        busy = max(
            limiter.running / limiter.limit,
            len(self._runs) / limiter.slots,
        )
        self._area += busy * elapsed
        self._changed_at = now

    def _roll(self, now: datetime) -> None:
        age = now - self._area_from
        if age < MEASUREMENT_INTERVAL:
            return
        self._integrate(now)
        busy = self._area / age.total_seconds()
        self._area = 0.0
        self._area_from = now
        waited = self._queue.measure_age(now)
        self._gauge.advance(now, self._queue.counts, waited, busy)

    def _refuse(self, ticket_id: int, code: ErrorCode) -> Refuse:
        wait = compute_retry_after(self._rng, self._gauge.level)
        return Refuse(ticket_id, code, wait)


def _bound(pool: Pool, slots: int) -> int:
    """Return the most requests that may run; 0 slots means unknown."""
    return min(pool.slots, pool.connections, slots or pool.slots)
