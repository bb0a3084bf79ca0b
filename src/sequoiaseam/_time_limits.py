"""Time limits that callers set for nested calls, learned by called route.

A backend server may allow a call less time than the route's timeout. Its
limit shows as a span that recurs between the start of a run and the
deadline of a call, while spans to unrelated runs are spread.
"""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Final

MILLISECOND: Final = timedelta(milliseconds=1)
# Spans of one limit differ by rounding to milliseconds and by transit times.
SPREAD_BINS: Final = 1
# Calls to have seen, and the fraction of them that must have the same span.
# Some have the deadline of their run instead of the limit, and with thirty
# runs in progress a tenth of the calls fit any span by coincidence.
CALLS_MIN: Final = 8.0
FRACTION_MIN: Final = 0.25
# Counts are halved above this number of calls, so that a new limit is found.
CALLS_BEFORE_HALVING: Final = 200
COUNT_MIN: Final = 0.5


class TimeLimitEstimator:
    """Estimate the time limit of the calls to each route."""

    def __init__(self) -> None:
        self._calls: Counter[str] = Counter()
        # By called route, the number of calls by span in milliseconds.
        self._counts: dict[str, dict[int, float]] = {}
        self._limits: dict[str, timedelta] = {}

    def record(self, route: str, spans: Iterable[timedelta]) -> None:
        """Add a call: the spans to its deadline from each run's start."""
        counts = self._counts.setdefault(route, {})
        seen = {span // MILLISECOND for span in spans}
        for span in seen:
            counts[span] = counts.get(span, 0.0) + 1
        self._calls[route] += 1
        self._update_limit(route, counts, seen)
        if self._calls[route] > CALLS_BEFORE_HALVING:
            self._halve(route, counts)

    def find(self, route: str) -> timedelta | None:
        """Return the limit of calls to a route, None if it isn't known."""
        return self._limits.get(route)

    def _update_limit(
        self, route: str, counts: dict[int, float], seen: set[int]
    ) -> None:
        """Take the most frequent of the spans of a call, if it is one."""
        calls = self._calls[route]
        if calls < CALLS_MIN or not seen:
            return
        best = max(seen, key=lambda span: _sum_near(counts, span))
        if _sum_near(counts, best) >= FRACTION_MIN * calls:
            # The middle of the bin.
            self._limits[route] = (best + 0.5) * MILLISECOND

    def _halve(self, route: str, counts: dict[int, float]) -> None:
        """Let older calls count less; forget a limit that is gone."""
        self._calls[route] //= 2
        self._counts[route] = counts = {
            span: count / 2
            for span, count in counts.items()
            if count / 2 >= COUNT_MIN
        }
        limit = self._limits.get(route)
        if limit is not None and (
            _sum_near(counts, limit // MILLISECOND)
            < FRACTION_MIN * self._calls[route]
        ):
            del self._limits[route]


def _sum_near(counts: dict[int, float], span: int) -> float:
    """Return the calls whose span is about this one."""
    return sum(
        counts.get(span + offset, 0.0)
        for offset in range(-SPREAD_BINS, SPREAD_BINS + 1)
    )
