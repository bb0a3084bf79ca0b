"""Attribution of a backend server's nested calls to the runs they serve.

Used for calls without a handle. A backend server passes on its remaining
time: a nested call's deadline is that of the request it serves or, if the
called route's timeout is shorter, the start of the run plus that timeout.
The host knows both to the millisecond, so few runs match. Which routes a
route calls is learned from calls that match runs of one route only. A server
may also allow a call any shorter time; then the run is one that outlasts the
call and whose route makes such calls, probably the one that was last active.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

# Range of the gap between a call's deadline and that of its run. This host
# and a backend server each round the remaining time to a millisecond, and
# the request takes up to about one more to reach the server.
GAP_MIN: Final = timedelta(microseconds=-1200)
GAP_MAX: Final = timedelta(microseconds=1900)
GAP_TYPICAL: Final = timedelta(microseconds=600)
# Replaces GAP_MAX for matches by the start of a run, as a backend server
# may start a run somewhat later than it reads the request.
START_GAP_MAX: Final = timedelta(microseconds=2900)
# A called route is taken for a coincidental match if it has fewer calls
# per run than CALLS_PER_RUN_MIN, or than this fraction of the highest
# value of any route for the same called route.
CALLS_PER_RUN_MIN: Final = 0.1
CALLS_FRACTION_MIN: Final = 0.25
# Number of calls for which the routes that make them are looked up once.
LOOKUPS_PER_UPDATE: Final = 50
# Counts are halved above this number of runs, so that they adapt when a
# route starts to call others.
RUNS_BEFORE_HALVING: Final = 2000


@dataclass(frozen=True, slots=True)
class ParentRun:
    """A run that a nested call may belong to."""

    run_id: int
    route: str
    importance: int
    account: str
    weight: float
    # Whether the run, or one that it is nested in, is a retry.
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class FoundParent:
    """The run that a nested call belongs to, certainly or probably."""

    run: ParentRun
    certain: bool


@dataclass(slots=True)
class _Run:
    parent: ParentRun
    deadline: datetime
    began_at: datetime
    # Start of the run or end of its last call, and its calls in progress.
    active_at: datetime
    calls_in_progress: int = 0


@dataclass(slots=True)
class _CallCounts:
    """Number of runs of a route and of matching calls by called route.

    ``unambiguous`` counts calls that match runs of this route only,
    ``best_fits`` those for which one of its runs is the best match.
    """

    runs: float = 0.0
    unambiguous: dict[str, float] = field(default_factory=dict)
    best_fits: dict[str, float] = field(default_factory=dict)

    def halve(self) -> None:
        """Halve all counts, so that recent runs weigh more."""
        self.runs /= 2
        self.unambiguous = {k: v / 2 for k, v in self.unambiguous.items()}
        self.best_fits = {k: v / 2 for k, v in self.best_fits.items()}


class CallAttribution:
    """Active runs of one backend server and the routes they call."""

    def __init__(self) -> None:
        self._runs: dict[int, _Run] = {}
        self._runs_by_deadline: list[tuple[datetime, int]] = []
        self._runs_by_start: list[tuple[datetime, int]] = []
        self._counts_by_route: dict[str, _CallCounts] = {}
        # Routes that call a route, and the lookups left before an update.
        self._callers: dict[str, frozenset[str]] = {}
        self._lookups_left = 0

    def start_run(
        self, now: datetime, deadline: datetime, run: ParentRun
    ) -> None:
        """Register a run that starts at ``now``."""
        self._runs[run.run_id] = _Run(run, deadline, now, now)
        insort(self._runs_by_deadline, (deadline, run.run_id))
        insort(self._runs_by_start, (now, run.run_id))
        counts = self._counts_by_route.setdefault(run.route, _CallCounts())
        counts.runs += 1
        if counts.runs > RUNS_BEFORE_HALVING:
            counts.halve()

    def end_run(self, run_id: int) -> None:
        """Remove a run; unknown ids are ignored."""
        run = self._runs.pop(run_id, None)
        if run is not None:
            _remove(self._runs_by_deadline, (run.deadline, run_id))
            _remove(self._runs_by_start, (run.began_at, run_id))

    def has_made_call(self, run_id: int) -> bool:
        """Return whether a call was attributed to a run."""
        run = self._runs.get(run_id)
        return run is not None and (
            run.calls_in_progress > 0 or run.active_at > run.began_at
        )

    @property
    def has_runs(self) -> bool:
        """Return whether the backend server runs a request."""
        return bool(self._runs)

    def start_call(
        self,
        now: datetime,
        deadline: datetime,
        route: str,
        timeout: timedelta,
    ) -> FoundParent | None:
        """Return the run that makes a call, if any; count the call.

        ``deadline`` is the call's deadline, ``route`` the called route
        and ``timeout`` the timeout of that route. ``end_call`` must follow
        if a run is returned.
        """
        parent = self.find_parent(deadline, route, timeout)
        certain = parent is not None
        if parent is None:
            parent = self._guess_parent(now, deadline, route)
        if parent is None:
            return None
        self._runs[parent.run_id].calls_in_progress += 1
        return FoundParent(parent, certain)

    def end_call(self, now: datetime, run_id: int) -> None:
        """Record the end of a call that ``start_call`` attributed to a run."""
        run = self._runs.get(run_id)
        if run is not None:
            run.calls_in_progress -= 1
            run.active_at = now

    def _guess_parent(
        self, now: datetime, deadline: datetime, route: str
    ) -> ParentRun | None:
        """Return the run that most probably makes a call.

        It outlasts the call, is of a route that makes such calls, and was
        active last: a server works little between two calls of a run.
        """
        callers = self._list_callers(route)
        candidates = [
            run
            for run in self._runs.values()
            if run.deadline >= deadline and run.parent.route in callers
        ]
        if not candidates:
            return None
        if len({run.parent.route for run in candidates}) == 1:
            self._count_call(candidates[0].parent.route, route)
        return min(
            candidates,
            key=lambda run: (run.calls_in_progress, now - run.active_at),
        ).parent

    def _list_callers(self, route: str) -> frozenset[str]:
        """Return the routes whose runs call a route."""
        if not self._lookups_left:
            self._callers.clear()
            self._lookups_left = LOOKUPS_PER_UPDATE
        self._lookups_left -= 1
        callers = self._callers.get(route)
        if callers is None:
            callers = self._callers[route] = frozenset(
                caller
                for caller in self._counts_by_route
                if route in self.list_called_routes(caller)
            )
        return callers

    def _count_call(self, caller: str, route: str) -> None:
        """Count a call that certainly comes from a run of one route."""
        counts = self._counts_by_route[caller]
        for calls in (counts.unambiguous, counts.best_fits):
            calls[route] = calls.get(route, 0.0) + 1

    def find_parent(
        self,
        deadline: datetime,
        route: str,
        timeout: timedelta,
    ) -> ParentRun | None:
        """Return the run that fits a call's deadline, if any; count the call.

        The arguments are those of ``start_call``.
        """
        candidates = list(
            _find_within_gap(self._runs_by_deadline, deadline, GAP_MAX)
        )
        if not candidates:
            candidates = list(
                _find_within_gap(
                    self._runs_by_start, deadline - timeout, START_GAP_MAX
                )
            )
        if not candidates:
            return None
        parents = [self._runs[run_id].parent for _, run_id in candidates]
        if all(parent.route == parents[0].route for parent in parents):
            calls = self._counts_by_route[parents[0].route].unambiguous
            calls[route] = calls.get(route, 0.0) + 1
        gaps = [abs(gap - GAP_TYPICAL) for gap, _ in candidates]
        best = parents[gaps.index(min(gaps))]
        best_fits = self._counts_by_route[best.route].best_fits
        best_fits[route] = best_fits.get(route, 0.0) + 1
        return best

    def list_called_routes(self, route: str) -> frozenset[str]:
        """Return the routes that a route calls, without coincidences."""
        counts = self._counts_by_route.get(route)
        if counts is None or not counts.unambiguous:
            return frozenset()
        return frozenset(
            called
            for called in counts.unambiguous
            if self.compute_calls_per_run(route, called)
            >= max(
                CALLS_PER_RUN_MIN,
                CALLS_FRACTION_MIN * self._find_max_calls_per_run(called),
            )
        )

    def compute_calls_per_run(self, route: str, called: str) -> float:
        """Return the mean number of calls to ``called`` per run of a route.

        Counts only calls that match runs of this route alone.
        """
        counts = self._counts_by_route.get(route)
        if counts is None or not counts.runs:
            return 0.0
        return counts.unambiguous.get(called, 0.0) / counts.runs

    def estimate_calls_per_run(self, route: str, called: str) -> float:
        """Estimate the number of calls to ``called`` per run of a route.

        Unlike ``compute_calls_per_run``, this includes calls that match
        runs of several routes, some of which may belong to another route.
        """
        counts = self._counts_by_route.get(route)
        if counts is None or not counts.runs:
            return 0.0
        return counts.best_fits.get(called, 0.0) / counts.runs

    def _find_max_calls_per_run(self, called: str) -> float:
        return max(
            self.compute_calls_per_run(route, called)
            for route in self._counts_by_route
        )


def _find_within_gap(
    ordered: list[tuple[datetime, int]],
    time: datetime,
    gap_max: timedelta,
) -> Iterator[tuple[timedelta, int]]:
    """Yield gap and id of the runs whose time is just before ``time``."""
    index = bisect_left(ordered, (time - gap_max, 0))
    while index < len(ordered):
        gap = time - ordered[index][0]
        if gap < GAP_MIN:
            return
        yield gap, ordered[index][1]
        index += 1


def _remove(
    ordered: list[tuple[datetime, int]],
    item: tuple[datetime, int],
) -> None:
    index = bisect_left(ordered, item)
    if index < len(ordered) and ordered[index] == item:
        del ordered[index]
