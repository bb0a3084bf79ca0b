"""Load of a failure domain, collected from its nodes by a control host.

In a large fleet a single node gets too few responses to know the load of
the pools that it calls, or how many call trees of a route fail. Nodes
report what they measure with each ping and get the whole with each pong.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

# A node that stopped or moved to another control host doesn't count longer
# than this. Nodes ping twice a second.
REPORT_LIFETIME: Final = timedelta(seconds=1.5)
# Each pong needs the summary, which doesn't change faster.
SUMMARY_LIFETIME: Final = timedelta(milliseconds=100)
# Responses of the last seconds count most.
OUTCOME_HALF_LIFE: Final = timedelta(seconds=1)
# The success rate of fewer responses says little.
OUTCOMES_MIN: Final = 10.0
# Higher success rates change nothing at a node and aren't sent.
SUCCESS_RATE_SENT_MAX: Final = 0.6
LEVEL_SENT_MIN: Final = 0.01
# Rejections of the last moments count most, so that a recovery shows within
# two seconds.
REJECTION_HALF_LIFE: Final = timedelta(milliseconds=500)
# Lower rates of rejection change nothing, also for trees of many calls.
REJECTION_RATE_SENT_MIN: Final = 0.02


@dataclass(frozen=True, slots=True)
class RouteOutcomes:
    """Responses to a route's root requests since a node's last report."""

    route: str
    succeeded: int
    failed: int


@dataclass(frozen=True, slots=True)
class PoolRejections:
    """Calls of a class to a pool since a node's last report.

    ``calls`` have ended, ``rejected`` of them by the pool's rejection, after
    their retries. Nodes report the pools that reject calls only.
    """

    pool: str
    importance: int
    calls: int
    rejected: int


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """What a node has measured: its pool's pressure level, and responses."""

    pool: str
    level: float
    outcomes: tuple[RouteOutcomes, ...] = ()
    rejections: tuple[PoolRejections, ...] = ()


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """Mean pressure level by pool, and success rate by failing route.

    ``rejection_rates`` are the fractions of calls that pools reject after
    retries, by pool and importance.
    """

    levels: Mapping[str, float]
    success_rates: Mapping[str, float]
    rejection_rates: Mapping[str, Mapping[int, float]] = field(
        default_factory=dict
    )

    @property
    def has_content(self) -> bool:
        """Return whether there is anything to tell the nodes."""
        return bool(self.levels or self.success_rates or self.rejection_rates)


@dataclass(slots=True)
class _OutcomeCounts:
    """Responses of a route or of a pool to a class, fewer with age."""

    updated_at: datetime
    succeeded: float = 0.0
    failed: float = 0.0
    half_life: timedelta = OUTCOME_HALF_LIFE

    def decay(self, now: datetime) -> None:
        """Reduce the counts by the time since the last update."""
        factor = 0.5 ** ((now - self.updated_at) / self.half_life)
        self.succeeded *= factor
        self.failed *= factor
        self.updated_at = now

    @property
    def success_rate(self) -> float:
        """Return the fraction that succeeded, 1 if there are too few."""
        total = self.succeeded + self.failed
        return self.succeeded / total if total >= OUTCOMES_MIN else 1.0


class DomainLoadAggregator:
    """Combine the reports of the nodes that a control host serves."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[datetime, NodeLoad]] = {}
        self._counts_by_route: dict[str, _OutcomeCounts] = {}
        self._counts_by_pool: dict[tuple[str, int], _OutcomeCounts] = {}
        self._summary = DomainLoad({}, {})
        self._summarized_at: datetime | None = None

    def record(self, now: datetime, node: str, load: NodeLoad) -> None:
        """Replace the report of a node and add its responses."""
        self._reports[node] = (now, load)
        for outcomes in load.outcomes:
            counts = self._counts_by_route.setdefault(
                outcomes.route, _OutcomeCounts(now)
            )
            counts.decay(now)
            counts.succeeded += outcomes.succeeded
            counts.failed += outcomes.failed
        for rejections in load.rejections:
            counts = self._counts_by_pool.setdefault(
                (rejections.pool, rejections.importance),
                _OutcomeCounts(now, half_life=REJECTION_HALF_LIFE),
            )
            counts.decay(now)
            counts.succeeded += rejections.calls - rejections.rejected
            counts.failed += rejections.rejected

    def summarize(self, now: datetime) -> DomainLoad:
        """Return the load of the domain as of about now."""
        if (
            self._summarized_at is None
            or now - self._summarized_at >= SUMMARY_LIFETIME
        ):
            self._summarized_at = now
            self._summary = DomainLoad(
                self._average_levels(now),
                self._find_failing_routes(now),
                self._find_rejecting_pools(now),
            )
        return self._summary

    def _average_levels(self, now: datetime) -> dict[str, float]:
        levels_by_pool: dict[str, list[float]] = {}
        for node, (reported_at, load) in list(self._reports.items()):
            if now - reported_at > REPORT_LIFETIME:
                del self._reports[node]
            elif load.pool:
                levels_by_pool.setdefault(load.pool, []).append(load.level)
        means = {
            pool: sum(levels) / len(levels)
            for pool, levels in levels_by_pool.items()
        }
        return {
            pool: mean for pool, mean in means.items() if mean > LEVEL_SENT_MIN
        }

    def _find_failing_routes(self, now: datetime) -> dict[str, float]:
        rates: dict[str, float] = {}
        for route, counts in list(self._counts_by_route.items()):
            counts.decay(now)
            if counts.succeeded + counts.failed < 1:
                del self._counts_by_route[route]
            elif counts.success_rate < SUCCESS_RATE_SENT_MAX:
                rates[route] = counts.success_rate
        return rates

    def _find_rejecting_pools(
        self, now: datetime
    ) -> dict[str, dict[int, float]]:
        rates: dict[str, dict[int, float]] = {}
        for (pool, importance), counts in list(self._counts_by_pool.items()):
            counts.decay(now)
            rate = 1 - counts.success_rate
            if counts.succeeded + counts.failed < 1:
                del self._counts_by_pool[pool, importance]
            elif rate > REJECTION_RATE_SENT_MIN:
                rates.setdefault(pool, {})[importance] = rate
        return rates
