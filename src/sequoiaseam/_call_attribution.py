"""Which run a backend server's own call belongs to, without a handle.

A server passes on the time that is left: its call ends with the request
that it serves, or, where the call's route allows less, that long after
the run began. Both are known here to the millisecond, so the runs that
fit are few. What each route calls is learned from calls that fit runs of
one route only.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

# A server rounds the time left to a millisecond either way, and the
# request reaches it within about one more.
EARLIEST: Final = timedelta(microseconds=-500)
LATEST: Final = timedelta(microseconds=1900)
TYPICAL: Final = timedelta(microseconds=600)
# A server may take this much longer to begin a run than to read it.
LATEST_START: Final = timedelta(microseconds=2900)
# Calls a run below this, or this part of what another route shows for
# the same call, are chance fits.
CALLS_MIN: Final = 0.1
CALLS_PART: Final = 0.25
# Counts are halved at this number of runs, so that they follow changes.
RUNS_BEFORE_HALVING: Final = 2000


@dataclass(frozen=True, slots=True)
class ParentRun:
    """A run that a call may belong to."""

    run_id: int
    route: str
    importance: int
    account: str
    weight: float
    # Whether it repeats a run, itself or as a call of one that does.
    repeat: bool = False


@dataclass(slots=True)
class _Run:
    parent: ParentRun
    deadline: datetime
    began: datetime


@dataclass(slots=True)
class _Calls:
    """Runs of a route and the calls that fit them, by called route.

    ``calls`` are those that fit runs of this route only, ``nearest``
    those that fit one of its runs best.
    """

    runs: float = 0.0
    calls: dict[str, float] = field(default_factory=dict)
    nearest: dict[str, float] = field(default_factory=dict)

    def halve(self) -> None:
        """Give what is older half of the weight."""
        self.runs /= 2
        self.calls = {k: v / 2 for k, v in self.calls.items()}
        self.nearest = {k: v / 2 for k, v in self.nearest.items()}


class CallAttribution:
    """Runs in progress on one server, and what each route calls."""

    def __init__(self) -> None:
        self._runs: dict[int, _Run] = {}
        self._by_deadline: list[tuple[datetime, int]] = []
        self._by_start: list[tuple[datetime, int]] = []
        self._routes: dict[str, _Calls] = {}

    def start_run(
        self, now: datetime, deadline: datetime, run: ParentRun
    ) -> None:
        """Note a run that begins."""
        self._runs[run.run_id] = _Run(run, deadline, now)
        insort(self._by_deadline, (deadline, run.run_id))
        insort(self._by_start, (now, run.run_id))
        counted = self._routes.setdefault(run.route, _Calls())
        counted.runs += 1
        if counted.runs > RUNS_BEFORE_HALVING:
            counted.halve()

    def end_run(self, run_id: int) -> None:
        """Forget a run."""
        run = self._runs.pop(run_id, None)
        if run is not None:
            _remove(self._by_deadline, (run.deadline, run_id))
            _remove(self._by_start, (run.began, run_id))

    def find_parent(
        self,
        deadline: datetime,
        route: str,
        limit: timedelta,
    ) -> ParentRun | None:
        """Return the run that fits a call best, if any, and learn.

        ``deadline`` is the call's and ``limit`` the timeout of the
        ``route`` that it calls.
        """
        fits = list(_find(self._by_deadline, deadline, LATEST))
        if not fits:
            fits = list(_find(self._by_start, deadline - limit, LATEST_START))
        if not fits:
            return None
        parents = [self._runs[run_id].parent for _, run_id in fits]
        if all(one.route == parents[0].route for one in parents):
            calls = self._routes[parents[0].route].calls
            calls[route] = calls.get(route, 0.0) + 1
        gaps = [abs(gap - TYPICAL) for gap, _ in fits]
        best = parents[gaps.index(min(gaps))]
        nearest = self._routes[best.route].nearest
        nearest[route] = nearest.get(route, 0.0) + 1
        return best

    def list_called_routes(self, route: str) -> frozenset[str]:
        """Return the routes that runs of a route call."""
        counted = self._routes.get(route)
        if counted is None or not counted.calls:
            return frozenset()
        return frozenset(
            called
            for called in counted.calls
            if self.compute_calls_per_run(route, called)
            >= max(CALLS_MIN, CALLS_PART * self._find_most(called))
        )

    def compute_calls_per_run(self, route: str, called: str) -> float:
        """Return how many calls to ``called`` a run of a route makes."""
        counted = self._routes.get(route)
        if counted is None or not counted.runs:
            return 0.0
        return counted.calls.get(called, 0.0) / counted.runs

    def estimate_calls_per_run(self, route: str, called: str) -> float:
        """Return about how many calls a run of a route makes.

        Unlike ``count_calls``, no call is left out, but some may be
        another route's.
        """
        counted = self._routes.get(route)
        if counted is None or not counted.runs:
            return 0.0
        return counted.nearest.get(called, 0.0) / counted.runs

    def _find_most(self, called: str) -> float:
        return max(
            self.compute_calls_per_run(route, called) for route in self._routes
        )


def _find(
    ordered: list[tuple[datetime, int]],
    time: datetime,
    latest: timedelta,
) -> Iterator[tuple[timedelta, int]]:
    """Yield the runs whose time lies shortly before, with the gap."""
    at = bisect_left(ordered, (time - latest, 0))
    while at < len(ordered):
        gap = time - ordered[at][0]
        if gap < EARLIEST:
            return
        yield gap, ordered[at][1]
        at += 1


def _remove(
    ordered: list[tuple[datetime, int]],
    item: tuple[datetime, int],
) -> None:
    at = bisect_left(ordered, item)
    if at < len(ordered) and ordered[at] == item:
        del ordered[at]
