"""Admission control for requests to one backend server."""

import random
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._cold_start import ColdStart
from sequoiaseam._limiter import Completion, Limiter
from sequoiaseam._pressure import (
    MEASUREMENT_INTERVAL,
    PoolPressure,
    PressureGauge,
)
from sequoiaseam._queue import AdmissionQueue, Ticket
from sequoiaseam._retry import compute_retry_after
from sequoiaseam._tables import Pool
from sequoiaseam.errors import ErrorCode

TICK_INTERVAL: Final = timedelta(milliseconds=50)
# After an exclusive ticket, the others may run for this multiple of the
# time for which the server was reserved for it.
EXCLUSIVE_PAUSE_RATIO: Final = 3


@dataclass(frozen=True, slots=True)
class Start:
    """Start the request of a ticket."""

    ticket_id: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request of a ticket, which hasn't run."""

    ticket_id: int
    code: ErrorCode
    retry_after: timedelta


AdmissionAction = Start | Refuse


@dataclass(slots=True)
class _RunningRequest:
    started: datetime
    exclusive: bool
    latency_group: str
    # Number of requests that ran when it started, with itself.
    concurrency: int
    # Nested calls in progress, the start of the current wait for them and
    # the total of earlier waits.
    nested_calls: int = 0
    nested_since: datetime | None = None
    nested_time: timedelta = timedelta(0)


class Admission:
    """Admission control for one backend server, by a limiter and a queue.

    Each ticket gets exactly one action unless it is cancelled while it
    waits.
    """

    def __init__(
        self,
        pool: Pool,
        slots: int,
        now: datetime,
        rng: random.Random,
        cold_start: ColdStart | None = None,
    ) -> None:
        self._pool = pool
        self._rng = rng
        # Without one, requests start at any rate.
        self._cold_start = cold_start or ColdStart(now)
        self._limiter = Limiter(_compute_slots(pool, slots), pool.warmup, now)
        self._queue = AdmissionQueue()
        self._pressure_gauge = PressureGauge(now)
        self._runs: dict[int, _RunningRequest] = {}
        self._exclusive_running = False
        # Start of the reservation of the server for an exclusive ticket,
        # and end of the pause in which other tickets take precedence.
        self._reserved_since: datetime | None = None
        self._shared_until = now
        self._draining = False
        self._utilization_integral = 0.0
        self._interval_started_at = now
        self._integrated_at = now

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """Return the upper bound of the limit."""
        return self._limiter.slots

    @property
    def limit(self) -> int:
        """Return how many requests may be processed concurrently."""
        return self._limiter.limit

    def offer(
        self,
        now: datetime,
        ticket: Ticket,
    ) -> tuple[AdmissionAction, ...]:
        """Start, queue or refuse a ticket."""
        if ticket.ticket_id in self._runs or ticket.ticket_id in self._queue:
            raise ValueError(
                f"ticket {ticket.ticket_id} is already waiting or running",
            )
        if self._draining:
            return (self._refuse(ticket.ticket_id, ErrorCode.DRAINING),)
        self._pressure_gauge.record_arrival(ticket.importance)
        if self._can_start_immediately(now, ticket):
            self._start(now, ticket)
            self._pressure_gauge.record_empty_queue()
            self._update_pressure(now)
            return (Start(ticket.ticket_id),)
        self._queue.push(ticket)
        actions = self._dispatch(now)
        if len(self._queue) > self._pool.queue:
            actions += self._evict_excess(now)
            # The evicted ticket may have kept others from starting.
            actions += self._dispatch(now)
        return tuple(actions)

    def finish(
        self,
        now: datetime,
        ticket_id: int,
        completion: Completion,
    ) -> tuple[AdmissionAction, ...]:
        """Release the slot of a request that has ended."""
        run = self._runs.get(ticket_id)
        if run is None:
            return ()
        if run.nested_calls:
            run.nested_calls = 1
            self._end_nested_call(now, run)
        self._integrate_utilization(now)
        del self._runs[ticket_id]
        if run.exclusive:
            self._end_exclusive_run(now)
        self._limiter.finish(
            now,
            run.started,
            completion,
            run.nested_time,
            run.latency_group,
            run.concurrency,
        )
        return tuple(self._dispatch(now))

    def suspend(
        self,
        now: datetime,
        ticket_id: int,
    ) -> tuple[AdmissionAction, ...]:
        """Record that a running request waits for a nested call.

        It keeps its slot but no longer counts towards the limit: the
        limit bounds requests that are being processed, the slots also
        those that wait for nested calls.
        """
        run = self._runs.get(ticket_id)
        if run is None:
            return ()
        run.nested_calls += 1
        if run.nested_calls > 1:
            return ()
        run.nested_since = now
        self._integrate_utilization(now)
        self._limiter.suspend(now)
        return tuple(self._dispatch(now))

    def resume(self, now: datetime, ticket_id: int) -> None:
        """Record the end of a nested call."""
        run = self._runs.get(ticket_id)
        if run is not None and run.nested_calls:
            self._end_nested_call(now, run)

    def cancel(
        self,
        now: datetime,
        ticket_id: int,
    ) -> tuple[AdmissionAction, ...]:
        """Remove a ticket and release its slot if it is running.

        The caller must close the connection of a running request first.
        """
        if self._queue.remove(ticket_id) is not None:
            return tuple(self._dispatch(now))
        return self.finish(now, ticket_id, Completion.CANCELLED)

    def tick(self, now: datetime) -> tuple[AdmissionAction, ...]:
        """Refuse tickets that can't meet their deadline; update the limit."""
        self._limiter.tick(now)
        return tuple(self._dispatch(now))

    def next_due(self, now: datetime) -> datetime:
        """Return when to call ``tick`` next."""
        due = now + TICK_INTERVAL
        expiry = self._queue.find_next_expiry(
            lambda group: self._limiter.service_times.estimate(now, group)
        )
        if self._queue:
            cold_wait = self._cold_start.estimate_wait(now, 1)
            if cold_wait:
                due = min(due, now + cold_wait)
        return due if expiry is None else max(now, min(due, expiry))

    def configure(
        self,
        now: datetime,
        pool: Pool,
        slots: int,
    ) -> tuple[AdmissionAction, ...]:
        """Apply an edited pool or a newly announced number of slots."""
        self._pool = pool
        self._limiter.configure(_compute_slots(pool, slots), pool.warmup)
        return self.tick(now)

    def record_load(self, now: datetime, load: float) -> None:
        """Record the load reported by the server, maybe stale or false."""
        self._limiter.record_load(now, load)

    def drain(self, now: datetime) -> None:
        """Refuse new tickets; those that already wait still run."""
        self._draining = True
        self._update_pressure(now)

    def measure_pressure(self, now: datetime) -> PoolPressure:
        """Return the pool's pressure to report with responses."""
        self._update_pressure(now)
        return PoolPressure(self._pool.name, self._pressure_gauge.level)

    def _evict_excess(self, now: datetime) -> list[AdmissionAction]:
        """Refuse the lowest-priority tickets beyond the queue's capacity."""
        actions: list[AdmissionAction] = []
        while len(self._queue) > self._pool.queue:
            victim = self._queue.find_victim(
                newest_first=self._has_standing_queue(now)
            )
            if victim is None:
                break
            self._queue.remove(victim.ticket_id)
            self._pressure_gauge.record_refusal(victim.importance)
            code = ErrorCode.QUEUE_FULL
            actions.append(self._refuse(victim.ticket_id, code))
        return actions

    def _dispatch(self, now: datetime) -> list[AdmissionAction]:
        """Refuse tickets that are too late and start those that fit."""
        actions: list[AdmissionAction] = []
        if not self._queue:
            if self._exclusive_running:
                self._pressure_gauge.record_blocked()
            else:
                self._reserved_since = None
            self._pressure_gauge.record_empty_queue()
            self._update_pressure(now)
            return actions
        # With a standing queue, don't spend a slot on a ticket that could
        # only just meet its deadline.
        has_standing_queue = self._has_standing_queue(now)
        service_times = self._limiter.service_times
        is_limited = self._cold_start.is_limited(now)
        if is_limited:
            # What waits for a cold server doesn't show the load of the pool.
            self._pressure_gauge.record_blocked()
        for expired in self._queue.expire(
            now,
            lambda group: service_times.estimate(
                now, group, p90=has_standing_queue
            ),
        ):
            self._pressure_gauge.record_refusal(expired.importance)
            code = ErrorCode.DEADLINE
            if is_limited:
                # Another server, which isn't cold, may run it in time.
                code = ErrorCode.QUEUE_FULL
            actions.append(self._refuse(expired.ticket_id, code))
        while (ticket := self._select_next(now)) is not None:
            self._start(now, ticket)
            actions.append(Start(ticket.ticket_id))
        if is_limited:
            actions += self._refuse_beyond_cold_limit(now)
        self._pressure_gauge.record_queue(self._queue.counts_by_importance)
        self._update_pressure(now)
        return actions

    def _refuse_beyond_cold_limit(
        self, now: datetime
    ) -> list[AdmissionAction]:
        """Refuse the tickets that a cold server can't start in time.

        Higher priorities come first. Others learn at once that they have to
        look for another server.
        """
        actions: list[AdmissionAction] = []
        position = 1
        for ticket in self._queue.list_by_priority():
            start_by = ticket.deadline
            if ticket.start_by is not None:
                start_by = min(start_by, ticket.start_by)
            wait = self._cold_start.estimate_wait(now, position)
            if now + wait <= start_by:
                position += 1
                continue
            self._queue.remove(ticket.ticket_id)
            code = ErrorCode.QUEUE_FULL
            actions.append(self._refuse(ticket.ticket_id, code))
        return actions

    def _select_next(self, now: datetime) -> Ticket | None:
        if self._exclusive_running:
            self._pressure_gauge.record_blocked()
            return None
        if not self._has_free_slot() or not self._cold_start.allows_start(now):
            return None
        allow_exclusive = not self._runs or now >= self._shared_until
        newest_first = self._has_standing_queue(now)
        ticket = self._queue.peek(
            newest_first=newest_first, allow_exclusive=allow_exclusive
        )
        if ticket is None or not ticket.exclusive:
            self._reserved_since = None
            return ticket
        self._reserved_since = self._reserved_since or now
        if not self._runs:
            return ticket
        # No ticket of the same or a lower priority starts until the server
        # is idle; otherwise the exclusive ticket would starve.
        self._pressure_gauge.record_blocked()
        return None

    def _end_exclusive_run(self, now: datetime) -> None:
        """Reserve time for other tickets in proportion to the reservation."""
        self._exclusive_running = False
        if self._reserved_since is not None:
            reserved_time = now - self._reserved_since
            self._shared_until = now + EXCLUSIVE_PAUSE_RATIO * reserved_time
            self._reserved_since = None

    def _end_nested_call(self, now: datetime, run: _RunningRequest) -> None:
        run.nested_calls -= 1
        if not run.nested_calls and run.nested_since is not None:
            run.nested_time += now - run.nested_since
            run.nested_since = None
            self._integrate_utilization(now)
            self._limiter.start(now)

    def _can_start_immediately(self, now: datetime, ticket: Ticket) -> bool:
        """Return whether a ticket can start without being queued."""
        return (
            not self._queue
            and not self._exclusive_running
            and not ticket.exclusive
            and self._has_free_slot()
            and self._cold_start.allows_start(now)
            and ticket.deadline - now
            >= self._limiter.service_times.estimate(now, ticket.latency_group)
        )

    def _has_free_slot(self) -> bool:
        """Return whether one more request may start."""
        limiter = self._limiter
        below_limit = limiter.running < limiter.limit
        return below_limit and len(self._runs) < limiter.slots

    def _start(self, now: datetime, ticket: Ticket) -> None:
        self._integrate_utilization(now)
        if ticket.ticket_id in self._queue:
            self._queue.dequeue(ticket)
        self._pressure_gauge.record_start()
        self._cold_start.record_start(now)
        concurrency = self._limiter.start(now)
        self._runs[ticket.ticket_id] = _RunningRequest(
            now, ticket.exclusive, ticket.latency_group, concurrency
        )
        self._exclusive_running = ticket.exclusive

    def _has_standing_queue(self, now: datetime) -> bool:
        """Return whether there is a standing queue.

        The newest tickets of each workspace then start first.
        """
        return self._queue.measure_oldest_wait(now) > MEASUREMENT_INTERVAL

    def _integrate_utilization(self, now: datetime) -> None:
        elapsed = (now - self._integrated_at).total_seconds()
        limiter = self._limiter
        utilization = max(
            limiter.running / limiter.limit,
            len(self._runs) / limiter.slots,
        )
        self._utilization_integral += utilization * elapsed
        self._integrated_at = now

    def _update_pressure(self, now: datetime) -> None:
        age = now - self._interval_started_at
        if age < MEASUREMENT_INTERVAL:
            return
        self._integrate_utilization(now)
        utilization = self._utilization_integral / age.total_seconds()
        self._utilization_integral = 0.0
        self._interval_started_at = now
        oldest_wait = self._queue.measure_oldest_wait(now)
        self._pressure_gauge.advance(
            now, self._queue.counts_by_importance, oldest_wait, utilization
        )

    def _refuse(self, ticket_id: int, code: ErrorCode) -> Refuse:
        retry_after = compute_retry_after(
            self._rng, self._pressure_gauge.level
        )
        return Refuse(ticket_id, code, retry_after)


def _compute_slots(pool: Pool, slots: int) -> int:
    """Return the bound on running requests; 0 ``slots`` means unknown."""
    return min(pool.slots, pool.connections, slots or pool.slots)
