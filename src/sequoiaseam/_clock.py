"""Clock interface, with a process clock and a manual clock."""

import time
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Final, Protocol

INCARNATION_RANDOM_BITS: Final = 10
EPOCH: Final = datetime(2026, 1, 1, tzinfo=UTC)


class Clock(Protocol):
    """Source of the current time in UTC, which never decreases."""

    def now(self) -> datetime:
        """Return the current time."""


class ProcessClock:
    """Wall-clock time at process start, advanced by the boot-time clock.

    Later adjustments of the wall clock have no effect. Time during which
    the host is suspended counts, so that leases expire in the meantime.
    """

    def __init__(self) -> None:
        self._start = datetime.now(tz=UTC)
        self._origin_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the current time."""
        elapsed_ns = (
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) - self._origin_ns
        )
        return self._start + timedelta(microseconds=elapsed_ns // 1000)


class ManualClock:
    """Clock for tests and emulation that advances only on request."""

    def __init__(self, start: datetime = EPOCH) -> None:
        self._now = start

    def now(self) -> datetime:
        """Return the current time."""
        return self._now

    def advance(self, step: timedelta) -> datetime:
        """Advance the clock by ``step`` and return the new time."""
        self._now += step
        return self._now


def create_incarnation(now: datetime, rng: Random) -> int:
    """Return a number that identifies one run of a process.

    It is the start time in microseconds with random low bits.
    """
    start_us = int(now.timestamp() * 1_000_000)
    return start_us << INCARNATION_RANDOM_BITS | rng.getrandbits(
        INCARNATION_RANDOM_BITS
    )
