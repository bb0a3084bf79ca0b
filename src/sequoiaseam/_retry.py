"""Limits on retries: per call tree, per pool, and per pool of a tree."""

import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._tables import Importance

CLASS_COUNT: Final = len(Importance)
RETRY_WINDOW: Final = timedelta(seconds=10)
WINDOW_BUCKETS: Final = 10
# Number of attempts over which the fraction of retries is averaged. It is
# small because a class could use the whole limit before the average rises.
RETRY_FRACTION_SAMPLES: Final = 20
# Bounds the retries per call that follow from a fraction near 1.
RETRY_FRACTION_REST_MIN: Final = 0.05
# Each class leaves at least the rest of what it may use to the next lower one.
RESERVED_FRACTION_MAX: Final = 7 / 8
# Higher classes may ask for more in the coming seconds than in the last
# ones, while what lower classes have used counts for the whole window.
RESERVED_MARGIN: Final = 1.5
# Part of the share of their own root requests that is kept for higher
# classes when no call was retried lately. At the onset of rejections, a
# single call tree of a lower class could otherwise use the whole limit.
RESERVED_SHARE_FRACTION: Final = 0.5
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


class _ClassSums:
    """Sums over the last 10 s by importance class."""

    def __init__(self) -> None:
        self._sums = [SlidingSum() for _ in range(CLASS_COUNT)]

    def add(self, now: datetime, importance: int, amount: float) -> None:
        """Add an amount of a class at the current time."""
        self._sums[importance].add(now, amount)

    def measure(self, now: datetime, lowest: int, end: int) -> float:
        """Return the sum of the classes from ``lowest`` to before ``end``."""
        total = 0.0
        for importance in range(lowest, end):
            total += self._sums[importance].measure(now)
        return total


class _RetryDivision:
    """Division of the retries to one pool between importance classes.

    A class may not use what the classes above it need in the same 10 s:
    what they have asked for, or what their calls will ask for if they are
    retried as often as the latest calls to the pool were. The pool's limit
    on all retries is enforced by the caller.
    """

    def __init__(self) -> None:
        self._roots = _ClassSums()
        self._nested = _ClassSums()
        self._asked = _ClassSums()
        self._used = _ClassSums()
        # Fraction of the latest first attempts and retries that are retries.
        self._retry_fraction = 0.0

    def record(self, now: datetime, importance: int, *, nested: bool) -> None:
        """Count a first attempt."""
        calls = self._nested if nested else self._roots
        calls.add(now, importance, 1.0)
        self._retry_fraction -= self._retry_fraction / RETRY_FRACTION_SAMPLES

    def measure_roots(self, now: datetime) -> float:
        """Return the number of first attempts that aren't nested."""
        return self._roots.measure(now, 0, CLASS_COUNT)

    def measure_used(self, now: datetime) -> float:
        """Return what all classes have used."""
        return self._used.measure(now, 0, CLASS_COUNT)

    def ask(
        self,
        now: datetime,
        importance: int,
        cost: float,
        share: float,
        limit: float,
    ) -> bool:
        """Count a retry that is asked for; return whether to allow it.

        ``limit`` is what all classes may use. A retry that is allowed is
        only counted by ``use``.
        """
        used_max = self._measure_available(now, importance, share, limit)
        if cost <= limit:
            # One that never fits must not keep the limit from other classes.
            self._asked.add(now, importance, cost)
        self._retry_fraction += (
            1 - self._retry_fraction
        ) / RETRY_FRACTION_SAMPLES
        return (
            share > 0
            and self.measure_used(now) + cost <= limit
            and self._used.measure(now, 0, importance + 1) + cost <= used_max
        )

    def use(self, now: datetime, importance: int, cost: float) -> None:
        """Count a retry that is made."""
        self._used.add(now, importance, cost)

    def _measure_available(
        self, now: datetime, importance: int, share: float, limit: float
    ) -> float:
        """Return the part of the limit that higher classes don't need."""
        fraction = self._retry_fraction
        retries_per_call = fraction / max(
            1 - fraction, RETRY_FRACTION_REST_MIN
        )
        available = limit
        for rank in range(CLASS_COUNT - 1, importance, -1):
            roots = self._roots.measure(now, rank, rank + 1)
            calls = roots + self._nested.measure(now, rank, rank + 1)
            asked = self._asked.measure(now, rank, rank + 1)
            needed = max(
                RESERVED_SHARE_FRACTION * share * roots,
                RESERVED_MARGIN * max(asked, calls * retries_per_call),
            )
            available -= min(RESERVED_FRACTION_MAX * available, needed)
        return available


class RetryShare:
    """Limit on the share of retries in the calls to a pool.

    Over the last 10 s, retries are at most ``share`` of all calls. One
    retry is allowed at any traffic, unless the share is 0. Classes below
    the highest may only use what the classes above them don't need.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._division = _RetryDivision()

    def record(
        self, now: datetime, importance: Importance = Importance.NORMAL
    ) -> None:
        """Count a first attempt."""
        self._division.record(now, importance, nested=False)

    def allow(
        self, now: datetime, importance: Importance = Importance.NORMAL
    ) -> bool:
        """Count a retry and return True, or False if over the limit."""
        division = self._division
        retries = division.measure_used(now)
        total = division.measure_roots(now) + retries + 1
        retries_max = max(float(self._share > 0), self._share * total)
        allowed = division.ask(now, importance, 1.0, self._share, retries_max)
        is_first = retries == 0 and self._share > 0
        if not (allowed or is_first):
            return False
        division.use(now, importance, 1.0)
        return True


class TreeRetryLimiter:
    """Limit on the retries of whole call trees, by pool.

    A retry repeats the nested calls of the previous run, so each pool
    that it reaches is charged the calls expected there. Over the last
    10 s, a pool is charged at most its retry share of the root requests
    for it, or ``retries_min`` if that is more. Each node enforces this for
    the requests that it receives, so it also holds for their sum. Classes
    below the highest may only use what the classes above them don't need.
    """

    def __init__(self, retries_min: float) -> None:
        self.retries_min = retries_min
        self._divisions: dict[str, _RetryDivision] = {}

    def record(
        self,
        now: datetime,
        pool: str,
        importance: Importance = Importance.NORMAL,
        *,
        nested: bool = False,
    ) -> None:
        """Count a first request for a pool, whatever its outcome.

        Nested calls don't raise the limit; they only show how many retries
        a class may need.
        """
        self._get_division(pool).record(now, importance, nested=nested)

    def allow(
        self,
        now: datetime,
        costs: Mapping[str, float],
        get_share: Callable[[str], float],
        importance: Importance = Importance.NORMAL,
    ) -> bool:
        """Charge a retry and return True, or False if over the limit.

        ``costs`` are the calls that the retry makes by pool, including
        the one retried. ``get_share`` returns the retry share of a pool.
        """
        allowed = True
        for pool, cost in costs.items():
            division = self._get_division(pool)
            share = get_share(pool)
            limit = max(self.retries_min, share * division.measure_roots(now))
            if not division.ask(now, importance, cost, share, limit):
                allowed = False
        if allowed:
            for pool, cost in costs.items():
                self._get_division(pool).use(now, importance, cost)
        return allowed

    def _get_division(self, pool: str) -> _RetryDivision:
        division = self._divisions.get(pool)
        if division is None:
            division = self._divisions[pool] = _RetryDivision()
        return division


def compute_retry_after(rng: random.Random, level: float) -> timedelta:
    """Return a jittered wait that doubles with each class shed.

    ``level`` is the pressure level from 0 to 4.
    """
    wait = RETRY_AFTER_BASE * math.exp2(max(0.0, min(level, 4.0)))
    # Jitter by up to half, because callers that are refused together would
    # otherwise retry together.
    return max(RETRY_AFTER_MIN, wait * rng.uniform(0.5, 1.5))
