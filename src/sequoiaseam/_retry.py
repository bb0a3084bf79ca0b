"""Bounds on retries: of a call tree, to a pool, through all its pools."""

import math
import random
from collections import deque
from collections.abc import Callable, Mapping
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


class SlidingSum:
    """Sum of amounts over the last 10 s, to a tenth of that."""

    def __init__(self) -> None:
        # Number of the bucket and its sum.
        self._buckets: deque[tuple[int, float]] = deque()
        self._origin: datetime | None = None
        self._total = 0.0

    def add(self, now: datetime, amount: float) -> None:
        """Count an amount."""
        number = self._forget(now)
        if self._buckets and self._buckets[-1][0] == number:
            amount_before = self._buckets.pop()[1]
        else:
            amount_before = 0.0
        self._buckets.append((number, amount_before + amount))
        self._total += amount

    def measure(self, now: datetime) -> float:
        """Return the sum."""
        self._forget(now)
        return self._total

    def _forget(self, now: datetime) -> int:
        """Drop old buckets; return the number of the present one."""
        if self._origin is None:
            self._origin = now
        number = (now - self._origin) // (SHARE_WINDOW / BUCKETS)
        while self._buckets and self._buckets[0][0] <= number - BUCKETS:
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0.0
        return number


class RetryShare:
    """Bound on the share of the traffic to a pool that is retries.

    Over the last 10 s, retries are at most ``share`` of all calls; one
    is allowed however small the traffic, unless the share is 0.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._calls = SlidingSum()
        self._retries = SlidingSum()

    def record(self, now: datetime) -> None:
        """Count a first attempt."""
        self._calls.add(now, 1)

    def allow(self, now: datetime) -> bool:
        """Count a retry and return True, or False if it is too many."""
        retries = self._retries.measure(now)
        total = self._calls.measure(now) + retries + 1
        allowed = max(float(self._share > 0), self._share * total)
        if retries + 1 > allowed:
            return False
        self._retries.add(now, 1)
        return True


class TreeRetryLimiter:
    """Bound on the retries of whole call trees, by pool.

    A retry repeats the nested calls of the run before it, so it is
    charged to each pool that it reaches, by the calls expected there.
    Over the last 10 s, a pool is charged at most ``share`` of the root
    requests for it, or ``least`` where that is more. Each node keeps to
    it for what it sees, so their sum does too.
    """

    def __init__(self, least: float) -> None:
        self._least = least
        self._roots: dict[str, SlidingSum] = {}
        self._spent: dict[str, SlidingSum] = {}

    def record(self, now: datetime, pool: str) -> None:
        """Count a root request for a pool, answered or not."""
        self._roots.setdefault(pool, SlidingSum()).add(now, 1)

    def allow(
        self,
        now: datetime,
        costs: Mapping[str, float],
        shares: Callable[[str], float],
    ) -> bool:
        """Charge a retry and return True, or False if it is too much.

        ``costs`` are the calls that it makes by pool, its own included.
        """
        if not all(
            self._has_room(now, pool, cost, shares(pool))
            for pool, cost in costs.items()
        ):
            return False
        for pool, cost in costs.items():
            self._spent.setdefault(pool, SlidingSum()).add(now, cost)
        return True

    def _has_room(
        self,
        now: datetime,
        pool: str,
        cost: float,
        share: float,
    ) -> bool:
        roots = self._roots.get(pool)
        spent = self._spent.get(pool)
        allowed = share * (roots.measure(now) if roots else 0.0)
        total = cost + (spent.measure(now) if spent else 0.0)
        return share > 0 and total <= max(self._least, allowed)


def compute_retry_after(rng: random.Random, level: float) -> timedelta:
    """Return a jittered time to wait that doubles with each class shed.

    ``level`` is the pressure from 0 to 4.
    """
    wait = RETRY_AFTER_BASE * math.exp2(max(0.0, min(level, 4.0)))
    # Full jitter, because callers refused together resend together.
    return max(RETRY_AFTER_MIN, wait * rng.uniform(0.5, 1.5))
