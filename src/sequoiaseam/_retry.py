"""Retry budget of a call tree and retry share of a pool."""

import math
import random
from collections import deque
from datetime import datetime, timedelta
from typing import Final

SHARE_WINDOW: Final = timedelta(seconds=10)
BUCKETS: Final = 10
RETRY_AFTER_MIN: Final = timedelta(milliseconds=100)
RETRY_AFTER_BASE: Final = timedelta(milliseconds=250)


class RetryBudget:
    """Retries that one part of a call tree may still make.

    Parts given to nested calls leave the budget, and only what they
    return comes back, so the sum over the tree never exceeds the root's
    total, whatever the fan-out and whichever responses are lost.
    """

    def __init__(self, total: int) -> None:
        if total < 0:
            raise ValueError(f"a retry budget can't be {total}")
        self._remaining = total
        self._lent = 0

    @property
    def remaining(self) -> int:
        """Return how many retries are left here."""
        return self._remaining

    def take(self) -> bool:
        """Spend one retry; return False when none is left."""
        if not self._remaining:
            return False
        self._remaining -= 1
        return True

    def split(self) -> int:
        """Take half of the rest, rounded up, for a nested call."""
        part = (self._remaining + 1) // 2
        self._remaining -= part
        self._lent += part
        return part

    def give_back(self, count: int) -> None:
        """Put back what a nested call didn't use.

        A count over what was given is cut: it comes from another node
        and must not enlarge the budget.
        """
        count = max(0, min(count, self._lent))
        self._lent -= count
        self._remaining += count


class RetryShare:
    """Bound on the share of the traffic to a pool that is retries.

    Over the last 10 s, retries are at most ``share`` of all calls; one
    is allowed however small the traffic, unless the share is 0.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        # Start of the bucket, first attempts, retries.
        self._buckets: deque[list[float]] = deque()
        self._origin: datetime | None = None
        self._calls = 0.0
        self._retries = 0.0

    def record(self, now: datetime) -> None:
        """Count a first attempt."""
        self._find_bucket(now)[1] += 1
        self._calls += 1

    def allow(self, now: datetime) -> bool:
        """Count a retry and return True, or False if it is too many."""
        bucket = self._find_bucket(now)
        total = self._calls + self._retries + 1
        allowed = max(float(self._share > 0), self._share * total)
        if self._retries + 1 > allowed:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _find_bucket(self, now: datetime) -> list[float]:
        if self._origin is None:
            self._origin = now
        number = (now - self._origin) // (SHARE_WINDOW / BUCKETS)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS:
            _, calls, retries = self._buckets.popleft()
            self._calls -= calls
            self._retries -= retries
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0.0, 0.0])
        return self._buckets[-1]


def compute_retry_after(rng: random.Random, level: float) -> timedelta:
    """Return a jittered time to wait that doubles with each class shed.

    ``level`` is the pressure from 0 to 4.
    """
    wait = RETRY_AFTER_BASE * math.exp2(max(0.0, min(level, 4.0)))
    # Full jitter, because callers refused together resend together.
    return max(RETRY_AFTER_MIN, wait * rng.uniform(0.5, 1.5))
