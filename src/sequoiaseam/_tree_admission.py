"""Admission of call trees by the probability that they succeed.

A call tree fails if one of its calls is rejected, and what it has run until
then is lost. Where a pool rejects a part of its requests, the trees with many
calls there are therefore not begun, except for some that show whether the pool
has recovered.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

from sequoiaseam._domain_load import PoolRejections
from sequoiaseam._tables import Importance

CLASS_COUNT: Final = len(Importance)
# Below this probability of success, trees are admitted in proportion to it.
TREE_SUCCESS_MIN: Final = 0.3
# Fraction of trees that is always admitted, to detect a recovery.
PROBE_FRACTION: Final = 0.1
# Calls of the last moments count most, so that a recovery shows within a
# second or two.
CALLS_HALF_LIFE: Final = timedelta(milliseconds=500)
# Number of calls of this node that weigh as much as the domain's rate. Without
# one, a rate of 0 has this weight, so that few rejections change nothing.
DOMAIN_RATE_WEIGHT: Final = 10.0
# Rates without an update lose their effect between these ages. Those of the
# domain arrive twice a second.
DECAY_START_AGE: Final = timedelta(milliseconds=700)
DECAY_END_AGE: Final = timedelta(seconds=1.5)
# With fewer rejections left after their decay, a pool isn't tracked.
TRACKED_REJECTIONS_MIN: Final = 0.02
# Pools by call rate are a few per node; this bounds the memory.
TRACKED_POOLS_MAX: Final = 1000


@dataclass(frozen=True, slots=True)
class TreeForecast:
    """Probability that a call tree succeeds, and the pool that decides it.

    ``rejection_rate`` is the fraction of calls that ``pool`` rejects after
    retries, ``calls`` the number of nested calls to it.
    """

    success: float
    pool: str
    rejection_rate: float
    calls: float


@dataclass(slots=True)
class _RecentCalls:
    """Calls to a pool by one class that have ended, fewer with age."""

    updated_at: datetime
    total: float = 0.0
    rejected: float = 0.0
    # Since the last report.
    unreported: int = 0
    unreported_rejected: int = 0

    def decay(self, now: datetime) -> None:
        """Reduce the counts by the time since the last update."""
        factor: float = 0.5 ** ((now - self.updated_at) / CALLS_HALF_LIFE)
        self.total *= factor
        self.rejected *= factor
        self.updated_at = now


class TreeAdmission:
    """Forecast the success of call trees and admit them in proportion.

    Only the calls that are rejected in the end, after their retries, count.
    Calls that fail otherwise are the matter of ``RouteThrottle``.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._calls: dict[tuple[str, int], _RecentCalls] = {}
        self._domain_rates: dict[tuple[str, int], float] = {}
        self._domain_rates_at: datetime | None = None

    @property
    def has_rejections(self) -> bool:
        """Return whether any pool may reject calls."""
        return bool(self._calls or self._domain_rates)

    def record(
        self,
        now: datetime,
        pool: str,
        importance: int,
        *,
        rejected: bool,
    ) -> None:
        """Record the end of a call to a pool, after its retries."""
        key = (pool, importance)
        calls = self._calls.get(key)
        if calls is None:
            # Without rejections, there is nothing to keep count of.
            if not rejected and key not in self._domain_rates:
                return
            if len(self._calls) >= TRACKED_POOLS_MAX:
                return
            calls = self._calls[key] = _RecentCalls(now)
        calls.decay(now)
        calls.total += 1
        calls.unreported += 1
        if rejected:
            calls.rejected += 1
            calls.unreported_rejected += 1

    def take_rejections(self, now: datetime) -> tuple[PoolRejections, ...]:
        """Return the calls recorded since the last call of this method."""
        if self._domain_rates_at is not None and (
            now - self._domain_rates_at > DECAY_END_AGE
        ):
            self._domain_rates = {}
            self._domain_rates_at = None
        reports = []
        for key, calls in list(self._calls.items()):
            calls.decay(now)
            if (
                calls.rejected < TRACKED_REJECTIONS_MIN
                and not calls.unreported_rejected
                and key not in self._domain_rates
            ):
                # Also while calls go on, as each of them costs an update.
                del self._calls[key]
            elif calls.unreported:
                reports.append(
                    PoolRejections(
                        key[0],
                        key[1],
                        calls.unreported,
                        calls.unreported_rejected,
                    )
                )
                calls.unreported = calls.unreported_rejected = 0
        return tuple(reports)

    def observe_domain(
        self, now: datetime, rates: Mapping[str, Mapping[int, float]]
    ) -> None:
        """Set the rates, by pool and class, that the domain's nodes see."""
        self._domain_rates = {
            (pool, importance): min(1.0, max(0.0, rate))
            for pool, rates_by_class in rates.items()
            for importance, rate in rates_by_class.items()
        }
        self._domain_rates_at = now

    def forecast(
        self,
        now: datetime,
        importance: int,
        root_pool: str,
        calls_by_pool: Mapping[str, float],
    ) -> TreeForecast | None:
        """Return what is expected of a tree, or None if no pool rejects.

        ``calls_by_pool`` are the calls that a run makes, with the one in
        ``root_pool`` that is the run itself. That one isn't counted, as its
        rejection loses no work and the caller can send it again.
        """
        success = lowest = 1.0
        pool = ""
        pool_rate = pool_calls = 0.0
        for name, calls in calls_by_pool.items():
            nested = calls - 1 if name == root_pool else calls
            if nested <= 0:
                continue
            rate = self._measure_rate(now, name, importance)
            if rate <= 0:
                continue
            pool_success: float = (1 - rate) ** nested
            success *= pool_success
            if pool_success < lowest:
                lowest = pool_success
                pool, pool_rate, pool_calls = name, rate, nested
        if not pool:
            return None
        return TreeForecast(success, pool, pool_rate, pool_calls)

    def admit(
        self, forecast: TreeForecast | None, admitted_fraction: float
    ) -> bool:
        """Return whether to begin a tree.

        ``admitted_fraction`` is what the outcomes of the route's own trees
        allow. The two limits aren't multiplied, as the route's trees fail
        for the rejections that the forecast expects.
        """
        fraction = admitted_fraction
        if forecast is not None and forecast.success < TREE_SUCCESS_MIN:
            fraction = max(
                PROBE_FRACTION,
                min(fraction, forecast.success / TREE_SUCCESS_MIN),
            )
        return fraction >= 1 or self._rng.random() < fraction

    def _measure_rate(
        self, now: datetime, pool: str, importance: int
    ) -> float:
        """Return the fraction of calls of a class that a pool rejects.

        Higher classes are served first, so what they see is a lower bound.
        It counts where the class makes hardly any calls itself; otherwise
        a few rejections of a rare class would decide for all others.
        """
        highest = 0.0
        for rank in range(importance, CLASS_COUNT):
            key = (pool, rank)
            rejected = DOMAIN_RATE_WEIGHT * self._measure_domain_rate(now, key)
            total = DOMAIN_RATE_WEIGHT
            calls = self._calls.get(key)
            if calls is not None:
                age = now - calls.updated_at
                factor: float = compute_remaining_fraction(age)
                factor *= 0.5 ** (age / CALLS_HALF_LIFE)
                rejected += factor * calls.rejected
                total += factor * calls.total
            highest = max(highest, rejected / total)
            if rank == importance and total >= 2 * DOMAIN_RATE_WEIGHT:
                break
        return highest

    def _measure_domain_rate(
        self, now: datetime, key: tuple[str, int]
    ) -> float:
        rate = self._domain_rates.get(key, 0.0)
        if not rate or self._domain_rates_at is None:
            return 0.0
        return rate * compute_remaining_fraction(now - self._domain_rates_at)


def compute_remaining_fraction(age: timedelta) -> float:
    """Return what remains of the effect of rates of an age."""
    remaining: float = (DECAY_END_AGE - age) / (
        DECAY_END_AGE - DECAY_START_AGE
    )
    return min(1.0, max(0.0, remaining))
