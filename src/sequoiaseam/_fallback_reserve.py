"""Tokens that the owner of a quota keeps back for silent nodes.

With each answer, the owner allows a node a rate at which it may go on alone
while no owner answers, for a limited time. Until the node asks again, the
owner doesn't know whether it spends at that rate, and keeps that part of the
refill back. What the node didn't need is free again with its next ask.

Amounts are integers in units of the bucket, and rates in units per
microsecond.
"""

import heapq
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._quota_fallback import (
    FALLBACK_DURATION_MAX,
)
from sequoiaseam.const import CLOCK_DRIFT_MAX

# From the last answer to the end of a node's fallback, by the owner's clock.
RESERVATION_DURATION: Final = FALLBACK_DURATION_MAX * (1 + 4 * CLOCK_DRIFT_MAX)
_MICROSECOND: Final = timedelta(microseconds=1)

SessionKey = tuple[str, int]


@dataclass(slots=True)
class _Reservation:
    """What one node may spend alone."""

    rate: int
    starts_at: datetime
    ends_at: datetime
    # Identifies the last ask, so that events of earlier ones are ignored.
    version: int
    accrues: bool = False

    def count_units(self, now: datetime) -> int:
        """Return the units kept back since the last ask."""
        if not self.accrues or now <= self.starts_at:
            return 0
        return (now - self.starts_at) // _MICROSECOND * self.rate


class FallbackReserve:
    """The reservations of one bucket."""

    def __init__(self) -> None:
        # Sum of the rates that nodes may hold.
        self.promised_rate = 0
        # Units kept back that may become free again.
        self.units = 0
        self._reservations: dict[SessionKey, _Reservation] = {}
        # Starts and ends: time, version and session.
        self._events: list[tuple[datetime, int, SessionKey]] = []
        self._accruing_rate = 0
        self._last_version = 0

    def advance(self, since: datetime, now: datetime) -> int:
        """Return the units to keep back from the refill of a time."""
        kept = 0
        while self._events and self._events[0][0] <= now:
            time, version, key = heapq.heappop(self._events)
            reservation = self._reservations.get(key)
            if reservation is None or reservation.version != version:
                continue
            if time > since:
                kept += (time - since) // _MICROSECOND * self._accruing_rate
                since = time
            if reservation.accrues:
                # The node may have spent all of it.
                self._remove(now, key, reservation)
                continue
            reservation.accrues = True
            reservation.starts_at = since
            self._accruing_rate += reservation.rate
            heapq.heappush(self._events, (reservation.ends_at, version, key))
        kept += max(0, (now - since) // _MICROSECOND) * self._accruing_rate
        self.units += kept
        return kept

    def limit(self, room: int) -> None:
        """Keep at most ``room`` units."""
        self.units = min(self.units, room)

    def end(self, now: datetime, key: SessionKey) -> int:
        """End the reservation of a node; return the units kept for it.

        The node has spent them, or they are free again.
        """
        reservation = self._reservations.get(key)
        if reservation is None:
            return 0
        kept = min(self.units, reservation.count_units(now))
        self._remove(now, key, reservation)
        return kept

    def find_room(self, key: SessionKey, refill_rate: int) -> int:
        """Return the rate that may be promised to a node at most."""
        reservation = self._reservations.get(key)
        own_rate = reservation.rate if reservation else 0
        return max(0, refill_rate - self.promised_rate + own_rate)

    def promise(
        self,
        now: datetime,
        key: SessionKey,
        rate: int,
        starts_at: datetime,
    ) -> None:
        """Keep units back for a node from ``starts_at`` on.

        A former reservation must have been ended.
        """
        if not rate:
            return
        self._last_version += 1
        reservation = _Reservation(
            rate,
            starts_at,
            now + RESERVATION_DURATION,
            self._last_version,
        )
        self._reservations[key] = reservation
        self.promised_rate += rate
        heapq.heappush(self._events, (starts_at, reservation.version, key))

    def _remove(
        self, now: datetime, key: SessionKey, reservation: _Reservation
    ) -> None:
        del self._reservations[key]
        self.promised_rate -= reservation.rate
        if reservation.accrues:
            self._accruing_rate -= reservation.rate
            self.units -= min(self.units, reservation.count_units(now))
