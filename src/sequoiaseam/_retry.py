"""Limits on retries: per call tree, per pool, and per pool of a tree."""

import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta
from typing import Final

RETRY_WINDOW: Final = timedelta(seconds=10)
WINDOW_BUCKETS: Final = 10
RETRY_AFTER_MIN: Final = timedelta(milliseconds=100)
RETRY_AFTER_BASE: Final = timedelta(milliseconds=250)


class RetryBudget:
    """Number of retries that one part of a call tree may still make.

    Retries delegated to nested calls are deducted from the budget, and
    only those that they return unused are added again. The sum over the
    tree thus never exceeds the root's total, whatever the fan-out and
    whichever responses are lost.
    """

    def __init__(self, total: int) -> None:
        if total < 0:
            raise ValueError(f"retry budget must not be negative: {total}")
        self._remaining = total
        self._delegated = 0

    @property
    def remaining(self) -> int:
        """Return the number of retries left in this part of the tree."""
        return self._remaining

    def take(self) -> bool:
        """Spend one retry; return False if none is left."""
        if not self._remaining:
            return False
        self._remaining -= 1
        return True

    def split(self) -> int:
        """Delegate half of what is left, rounded up, to a nested call."""
        delegated = (self._remaining + 1) // 2
        self._remaining -= delegated
        self._delegated += delegated
        return delegated

    def give_back(self, count: int) -> None:
        """Add the retries that a nested call didn't use.

        The count comes from another node and must not enlarge the
        budget, so it is limited to the retries delegated.
        """
        count = max(0, min(count, self._delegated))
        self._delegated -= count
        self._remaining += count


class SlidingSum:
    """Sum of amounts over the last 10 s, in buckets of 1 s."""

    def __init__(self) -> None:
        # Number and sum of each bucket.
        self._buckets: deque[tuple[int, float]] = deque()
        self._window_origin: datetime | None = None
        self._total = 0.0

    def add(self, now: datetime, amount: float) -> None:
        """Add an amount at the current time."""
        bucket_number = self._expire_buckets(now)
        if self._buckets and self._buckets[-1][0] == bucket_number:
            previous_amount = self._buckets.pop()[1]
        else:
            previous_amount = 0.0
        self._buckets.append((bucket_number, previous_amount + amount))
        self._total += amount

    def measure(self, now: datetime) -> float:
        """Return the sum over the window."""
        self._expire_buckets(now)
        return self._total

    def _expire_buckets(self, now: datetime) -> int:
        """Drop expired buckets; return the number of the current one."""
        if self._window_origin is None:
            self._window_origin = now
        bucket_number = (now - self._window_origin) // (
            RETRY_WINDOW / WINDOW_BUCKETS
        )
        while (
            self._buckets
            and self._buckets[0][0] <= bucket_number - WINDOW_BUCKETS
        ):
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0.0
        return bucket_number


class RetryShare:
    """Limit on the share of retries in the calls to a pool.

    Over the last 10 s, retries are at most ``share`` of all calls. One
    retry is allowed at any traffic, unless the share is 0.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._calls = SlidingSum()
        self._retries = SlidingSum()

    def record(self, now: datetime) -> None:
        """Count a first attempt."""
        self._calls.add(now, 1)

    def allow(self, now: datetime) -> bool:
        """Count a retry and return True, or False if over the limit."""
        retries = self._retries.measure(now)
        total = self._calls.measure(now) + retries + 1
        retries_max = max(float(self._share > 0), self._share * total)
        if retries + 1 > retries_max:
            return False
        self._retries.add(now, 1)
        return True


class TreeRetryLimiter:
    """Limit on the retries of whole call trees, by pool.

    A retry repeats the nested calls of the previous run, so each pool
    that it reaches is charged the calls expected there. Over the last
    10 s, a pool is charged at most its retry share of the root requests
    for it, or ``retries_min`` if that is more. Each node enforces this for
    the requests that it receives, so it also holds for their sum.
    """

    def __init__(self, retries_min: float) -> None:
        self.retries_min = retries_min
        self._root_requests: dict[str, SlidingSum] = {}
        self._charged: dict[str, SlidingSum] = {}

    def record(self, now: datetime, pool: str) -> None:
        """Count a root request for a pool, whatever its outcome."""
        self._root_requests.setdefault(pool, SlidingSum()).add(now, 1)

    def allow(
        self,
        now: datetime,
        costs: Mapping[str, float],
        get_share: Callable[[str], float],
    ) -> bool:
        """Charge a retry and return True, or False if over the limit.

        ``costs`` are the calls that the retry makes by pool, including
        the one retried. ``get_share`` returns the retry share of a pool.
        """
        if not all(
            self._can_charge(now, pool, cost, get_share(pool))
            for pool, cost in costs.items()
        ):
            return False
        for pool, cost in costs.items():
            self._charged.setdefault(pool, SlidingSum()).add(now, cost)
        return True

    def _can_charge(
        self,
        now: datetime,
        pool: str,
        cost: float,
        share: float,
    ) -> bool:
        root_requests = self._root_requests.get(pool)
        charged = self._charged.get(pool)
        charged_max = share * (
            root_requests.measure(now) if root_requests else 0.0
        )
        charged_total = cost + (charged.measure(now) if charged else 0.0)
        return share > 0 and charged_total <= max(
            self.retries_min, charged_max
        )


def compute_retry_after(rng: random.Random, level: float) -> timedelta:
    """Return a jittered wait that doubles with each class shed.

    ``level`` is the pressure level from 0 to 4.
    """
    wait = RETRY_AFTER_BASE * math.exp2(max(0.0, min(level, 4.0)))
    # Jitter by up to half, because callers that are refused together would
    # otherwise retry together.
    return max(RETRY_AFTER_MIN, wait * rng.uniform(0.5, 1.5))
