"""Load and pace that a backend server states in its responses."""

import math
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

FIELD_PARTS: Final = frozenset((3, 4))
DIGITS_MAX: Final = 9
# Pace of a server that works as usual, and the bounds of any other. Servers
# of a pool differ by up to three; a neighbour slows one by 2.5.
PACE_USUAL: Final = 1.0
PACE_MIN: Final = 0.5
PACE_MAX: Final = 4.0
PERCENT: Final = 100.0
# A pace lasts for some 0.6 s, so a single response decides little and those
# of 0.1 s decide most.
PACE_TIME_CONSTANT: Final = timedelta(milliseconds=100)
# Without another response, a pace counts for this long.
PACE_LIFETIME: Final = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests of a backend server and the duration of its work.

    ``pace`` is the duration relative to the usual one, 1.0 as usual, and
    None if the server doesn't state it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def utilization(self) -> float:
        """Return the used part of the slots, at most 1."""
        return min(1.0, (self.running + self.waiting) / max(1, self.slots))


def parse_server_load(value: bytes) -> ServerLoad | None:
    """Return the load in a header field's value, None if it is malformed."""
    parts = value.split(b",")
    if len(parts) not in FIELD_PARTS or not all(
        part.isdigit() and len(part) <= DIGITS_MAX for part in parts
    ):
        return None
    numbers = [int(part) for part in parts]
    pace = numbers[3] / PERCENT if len(numbers) > 3 else None
    return ServerLoad(numbers[0], numbers[1], numbers[2], pace)


class PaceAverage:
    """Moving average of the pace that a server states, within bounds."""

    def __init__(self) -> None:
        self._pace = PACE_USUAL
        self._stated_at: datetime | None = None

    def record(self, now: datetime, pace: float) -> None:
        """Add a stated pace; start anew after a time without any."""
        pace = min(PACE_MAX, max(PACE_MIN, pace))
        if self._stated_at is None or self._is_outdated(now):
            # As if the usual pace had been stated one time constant ago.
            self._pace = PACE_USUAL
            age = PACE_TIME_CONSTANT
        else:
            age = max(timedelta(0), now - self._stated_at)
        weight = -math.expm1(-(age / PACE_TIME_CONSTANT))
        self._pace += weight * (pace - self._pace)
        self._stated_at = now

    def get(self, now: datetime) -> float:
        """Return the average, that of usual work if there is none."""
        return PACE_USUAL if self._is_outdated(now) else self._pace

    def _is_outdated(self, now: datetime) -> bool:
        return self._stated_at is None or now - self._stated_at > PACE_LIFETIME
