"""Detection of requests that a backend server will never answer."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

# A request is silent after so many times the 90th percentile of its route's
# service times. A server five times slower, or one request in 100 of five
# times the length, stays below it by a factor of two.
SILENT_RATIO: Final = 10.0
# The same for requests that were sent before. A request that really takes so
# much longer than the others then gets the rest of its time.
REPEATED_SILENT_RATIO: Final = 2 * SILENT_RATIO
# Times of short requests vary by more than any ratio.
SILENT_TIME_MIN: Final = timedelta(milliseconds=100)
# Requests sent later on other connections that have to have ended.
LATER_ENDED_MIN: Final = 3
# Part of its time after which a request without such evidence is silent. The
# rest is left for a retry.
LONE_FRACTION: Final = 0.5
# If too few service times are known, a request is silent after so many times
# its route's objective. Without an objective it isn't, as a server may use all
# the time of its caller.
LONE_OBJECTIVE_RATIO: Final = 3.0
# Nor is it if too little of its time would be left for a retry.
LONE_FRACTION_MAX: Final = 0.9
LONE_TIME_MIN: Final = timedelta(milliseconds=200)
SERVICE_TIMES_MIN: Final = 8
SERVICE_TIMES_MAX: Final = 64  # for each route
ENDED_MAX: Final = 256
# Requests are checked about every 50 ms. What exceeds this was a pause of
# this process, in which it has read no responses.
CHECK_INTERVAL_MAX: Final = timedelta(milliseconds=150)


@dataclass(frozen=True, slots=True)
class SilentRequest:
    """A request that is taken to be never answered.

    ``later_ended`` is the number of requests sent after it that have
    ended, 0 if the time limit alone decided.
    """

    request_id: int
    quiet_time: timedelta
    later_ended: int


@dataclass(slots=True)
class _Outstanding:
    route: str
    started_at: datetime
    # Start of the time in which there has been no sign of work on it.
    quiet_since: datetime
    time_limit: timedelta
    objective: timedelta | None
    repeat: bool
    silent: bool = False


@dataclass(frozen=True, slots=True)
class _Ended:
    started_at: datetime
    ended_at: datetime
    # Service time relative to the 90th percentile of the route's.
    slowness: float


class UnansweredRequests:
    """Requests to one backend server that have no response yet."""

    def __init__(self, now: datetime) -> None:
        self._outstanding: dict[int, _Outstanding] = {}
        self._ended: deque[_Ended] = deque(maxlen=ENDED_MAX)
        self._service_times: dict[str, deque[timedelta]] = {}
        self._checked_at = now

    def start(
        self,
        now: datetime,
        request_id: int,
        route: str,
        time_limit: timedelta,
        objective: timedelta | None,
        *,
        repeat: bool,
    ) -> None:
        """Record a request that is sent and has so much time left.

        ``objective`` is the target latency of its route, if there is one.
        """
        self._outstanding[request_id] = _Outstanding(
            route, now, now, time_limit, objective, repeat
        )

    def finish(self, now: datetime, request_id: int) -> None:
        """Record the response to a request."""
        request = self._outstanding.pop(request_id, None)
        if request is None:
            return
        service_time = now - request.started_at
        usual = self._find_usual_time(request.route)
        if usual is not None:
            self._ended.append(
                _Ended(request.started_at, now, service_time / usual)
            )
        times = self._service_times.get(request.route)
        if times is None:
            times = deque(maxlen=SERVICE_TIMES_MAX)
            self._service_times[request.route] = times
        times.append(service_time)

    def discard(self, request_id: int) -> None:
        """Forget a request that has ended without a response."""
        self._outstanding.pop(request_id, None)

    def find_silent(
        self, now: datetime, is_quiet: Callable[[int], bool]
    ) -> list[SilentRequest]:
        """Return the requests that are newly taken to be never answered.

        ``is_quiet`` returns whether there is no sign of work on a request:
        it was sent whole, and neither a byte of the response nor a call
        that the server makes for it has come.
        """
        pause = now - self._checked_at - CHECK_INTERVAL_MAX
        self._checked_at = now
        silent = []
        for request_id, request in self._outstanding.items():
            if request.silent:
                continue
            if pause > timedelta(0):
                request.quiet_since = min(now, request.quiet_since + pause)
            if not is_quiet(request_id):
                request.quiet_since = now
                continue
            later_ended = self._judge(now, request)
            if later_ended is not None:
                request.silent = True
                silent.append(
                    SilentRequest(
                        request_id, now - request.quiet_since, later_ended
                    )
                )
        return silent

    def _judge(self, now: datetime, request: _Outstanding) -> int | None:
        """Return the number of later requests if silent, else None."""
        quiet_time = now - request.quiet_since
        if quiet_time < SILENT_TIME_MIN:
            return None
        usual = self._find_usual_time(request.route)
        if usual is None:
            if request.objective is None:
                return None
            bound = self._measure_slowness(request) * (
                LONE_OBJECTIVE_RATIO * request.objective
            )
            if bound > LONE_FRACTION_MAX * request.time_limit:
                return None
            return self._judge_lone(request, quiet_time, bound)
        ratio = REPEATED_SILENT_RATIO if request.repeat else SILENT_RATIO
        if quiet_time < ratio * usual:
            return None
        bound = ratio * usual * self._measure_slowness(request)
        if quiet_time < bound:
            return None
        later = sum(e.started_at > request.started_at for e in self._ended)
        if later >= LATER_ENDED_MIN:
            return later
        return self._judge_lone(
            request, quiet_time, LONE_FRACTION * request.time_limit
        )

    def _measure_slowness(self, request: _Outstanding) -> float:
        """Return how much longer than usual others have taken meanwhile.

        A server that has become slow shows it in them.
        """
        slowness = [
            ended.slowness
            for ended in self._ended
            if ended.ended_at > request.started_at
        ]
        return max([1.0, *slowness])

    @staticmethod
    def _judge_lone(
        request: _Outstanding, quiet_time: timedelta, bound: timedelta
    ) -> int | None:
        if request.repeat or quiet_time < max(bound, LONE_TIME_MIN):
            return None
        return 0

    def _find_usual_time(self, route: str) -> timedelta | None:
        """Return the 90th percentile of a route's service times, if known."""
        times = self._service_times.get(route)
        if times is None or len(times) < SERVICE_TIMES_MIN:
            return None
        usual = sorted(times)[len(times) * 9 // 10]
        return max(usual, timedelta(milliseconds=1))
