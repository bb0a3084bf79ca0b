"""Adaptive throttling of routes whose call trees mostly fail."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

from sequoiaseam._domain_load import RouteOutcomes

# Number of responses over which the success rate is averaged.
SUCCESS_RATE_SAMPLES: Final = 10
# Below this success rate, requests are admitted in proportion to it.
SUCCESS_RATE_MIN: Final = 0.3
# Fraction that is always admitted, to detect when the route recovers.
PROBE_FRACTION: Final = 0.1
# A success rate without a response for this long is discarded as outdated.
SUCCESS_RATE_LIFETIME: Final = timedelta(seconds=2)


@dataclass(slots=True)
class _RouteStats:
    """Recent fraction of a route's responses that weren't failures."""

    updated_at: datetime
    success_rate: float = 1.0


class RouteThrottle:
    """Admit fewer requests on routes that servers fail to answer.

    A call tree fails if any of its calls fails. Once nearly all trees of
    a route fail, running more of them only takes capacity from other
    routes, and a request that has run can't be retried.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._stats_by_route: dict[str, _RouteStats] = {}
        # Numbers of responses that succeeded and failed, by route.
        self._unreported: dict[str, tuple[int, int]] = {}

    def record(self, now: datetime, route: str, *, failed: bool) -> None:
        """Record a server's response to a root request."""
        succeeded, failures = self._unreported.get(route, (0, 0))
        self._unreported[route] = (succeeded + (not failed), failures + failed)
        stats = self._get_stats(now, route)
        stats.updated_at = now
        stats.success_rate += (
            (not failed) - stats.success_rate
        ) / SUCCESS_RATE_SAMPLES

    def take_outcomes(self) -> tuple[RouteOutcomes, ...]:
        """Return the responses recorded since the last call."""
        unreported, self._unreported = self._unreported, {}
        return tuple(
            RouteOutcomes(route, succeeded, failed)
            for route, (succeeded, failed) in unreported.items()
        )

    def observe_domain(
        self, now: datetime, success_rates: Mapping[str, float]
    ) -> None:
        """Take over the rates that all nodes of the domain have measured."""
        for route, success_rate in success_rates.items():
            self._stats_by_route[route] = _RouteStats(now, success_rate)

    def allow(self, now: datetime, route: str) -> bool:
        """Return whether to admit a root request."""
        admitted_fraction = self.compute_admitted_fraction(now, route)
        return admitted_fraction >= 1 or self._rng.random() < admitted_fraction

    def compute_admitted_fraction(self, now: datetime, route: str) -> float:
        """Return the fraction of root requests to admit."""
        success_rate = self._get_stats(now, route).success_rate
        if success_rate >= SUCCESS_RATE_MIN:
            return 1.0
        return max(PROBE_FRACTION, success_rate / SUCCESS_RATE_MIN)

    def _get_stats(self, now: datetime, route: str) -> _RouteStats:
        stats = self._stats_by_route.get(route)
        if stats is None or now - stats.updated_at > SUCCESS_RATE_LIFETIME:
            stats = self._stats_by_route[route] = _RouteStats(now)
        return stats
