"""Requests that wait until a node's view is known to be the newest.

A view shows what is in the configuration, but that a key or a route is
missing from it says little: it may have been added since. Such a finding
holds only if the view has been confirmed after the request arrived.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import Clock
from sequoiaseam._feed import NodeView, Ping
from sequoiaseam._logs import Level, log_event

# How long a request waits at most, and how much of the caller's time. A
# confirmation takes a few milliseconds while the control hosts are reachable.
WAIT_MAX: Final = timedelta(seconds=0.25)
WAIT_TIME_FRACTION: Final = 0.5
# Time between two pings that ask for a confirmation. It bounds the load on
# the control hosts while many requests have unknown keys.
REQUEST_INTERVAL: Final = timedelta(seconds=0.1)
WAITING_MAX: Final = 1_000  # requests
# A node that has done nothing for this long was paused; others may have
# learned of changes meanwhile.
PAUSE_MIN: Final = timedelta(seconds=0.5)


@dataclass(frozen=True, slots=True, eq=False)
class _Wait:
    """A request that needs a confirmation as of ``since`` or later."""

    since: datetime
    ends_at: datetime
    on_end: Callable[[], None]


class ConfirmationWaits:
    """Hold requests until the view is confirmed, for a limited time.

    Call ``tick`` at short intervals, and ``release_confirmed`` when the
    view has changed or was confirmed. ``post`` sends a message to the
    control host.
    """

    def __init__(
        self, clock: Clock, view: NodeView, post: Callable[[object], object]
    ) -> None:
        self._clock = clock
        self._view = view
        self._post = post
        self._waits: list[_Wait] = []
        self._requested_at: datetime | None = None
        self._active_at = clock.now()
        self._resumed_at: datetime | None = None
        self._outcome_counts = {"confirmed": 0, "timeout": 0, "rejected": 0}

    def is_confirmed(self, since: datetime) -> bool:
        """Return whether the view was the newest one at ``since``."""
        confirmed_at = self._view.confirmed_at
        return confirmed_at is not None and confirmed_at >= since

    def hold(
        self,
        arrived_at: datetime,
        timeout: timedelta,
        on_end: Callable[[], None],
        *,
        identified: bool,
    ) -> bool:
        """Hold a request if a confirmation is needed and may come in time.

        Return True if ``on_end`` will be called. ``timeout`` is the time
        that the caller waits. A request that is ``identified`` by the view
        needs a confirmation only right after this node was paused.
        """
        now = self._clock.now()
        self._record_activity(now)
        resumed_at = self._resumed_at
        is_resuming = resumed_at is not None and now < resumed_at + WAIT_MAX
        ends_at = now + min(WAIT_MAX, WAIT_TIME_FRACTION * timeout)
        since = arrived_at
        if identified:
            if resumed_at is None or not is_resuming:
                return False
            since = resumed_at
            ends_at = min(ends_at, resumed_at + WAIT_MAX)
        if self.is_confirmed(since):
            return False
        # Without a lease, the control hosts haven't confirmed for a while.
        can_be_confirmed = is_resuming or self._view.is_fresh(now)
        if not can_be_confirmed or len(self._waits) >= WAITING_MAX:
            self._outcome_counts["rejected"] += 1
            return False
        self._waits.append(_Wait(since, ends_at, on_end))
        self._request_confirmation(now)
        return True

    async def wait(self, arrived_at: datetime, time_left: timedelta) -> bool:
        """Hold a request that the view doesn't identify, as in ``hold``.

        Return whether the view has been confirmed since it arrived.
        """
        ended = asyncio.Event()
        if self.hold(arrived_at, time_left, ended.set, identified=False):
            await ended.wait()
        return self.is_confirmed(arrived_at)

    def tick(self) -> None:
        """End the waits that take too long; ask for a confirmation again."""
        now = self._clock.now()
        self._record_activity(now)
        due = [wait for wait in self._waits if now >= wait.ends_at]
        if due:
            self._waits = [wait for wait in self._waits if now < wait.ends_at]
            self._end(due, "timeout")
        if self._waits:
            self._request_confirmation(now)

    def release_confirmed(self) -> None:
        """End the waits for a confirmation that has arrived."""
        if not self._waits:
            return
        confirmed = [w for w in self._waits if self.is_confirmed(w.since)]
        if confirmed:
            self._waits = [
                wait
                for wait in self._waits
                if not self.is_confirmed(wait.since)
            ]
            self._end(confirmed, "confirmed")

    def format_metrics(self) -> bytes:
        """Return the counts of requests in the text format of Prometheus."""
        return b"".join(
            b'sequoiaseam_confirmation_waits_total{outcome="%s"} %d\n'
            % (outcome.encode(), count)
            for outcome, count in self._outcome_counts.items()
        )

    def _end(self, waits: list[_Wait], outcome: str) -> None:
        self._outcome_counts[outcome] += len(waits)
        for wait in waits:
            wait.on_end()

    def _request_confirmation(self, now: datetime) -> None:
        last = self._requested_at
        if last is not None and now - last < REQUEST_INTERVAL:
            return
        self._requested_at = now
        self._post(Ping(now, self._view.index, wants_newest=True))

    def _record_activity(self, now: datetime) -> None:
        """Notice that this process was paused, by the time since the last."""
        pause = now - self._active_at
        self._active_at = now
        if pause < PAUSE_MIN:
            return
        self._resumed_at = now
        self._requested_at = None
        confirmed_at = self._view.confirmed_at
        log_event(
            Level.INFO,
            "process was paused; confirming the configuration",
            duration=pause,
            confirmation_age=now - confirmed_at if confirmed_at else None,
            revision=self._view.revision,
        )
