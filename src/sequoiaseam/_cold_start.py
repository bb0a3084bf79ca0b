"""Limit on the requests that a cold backend server gets in a second."""

from datetime import datetime, timedelta
from typing import Final

# Tokens that may be saved up, in seconds of the rate and at least. Together
# with the second that they are spent in, they stay below 1.5 times the rate
# plus 8, and leave room for requests that are sent within more than a second
# but received within one: at least 0.4 s of delay that differs.
BURST_SECONDS: Final = 0.1
BURST_MIN: Final = 2.0
# Requests of the last second count when a server turns out to be cold, as it
# may have been cold when it received them.
DEBT_SECONDS: Final = 1.0
# After the cold time, the rate doubles once in each of these times until the
# limit ends.
RAMP_DOUBLING_TIME: Final = timedelta(milliseconds=250)
RAMP_DURATION: Final = timedelta(seconds=2)
# Reports may be seconds late. Within this time after a response that stated
# that the server is cold, a report doesn't shorten the cold time.
REPORT_LATENESS_MAX: Final = timedelta(seconds=5)
# A longer statement is taken as this. It is the longest cold time of a pool.
COLD_TIME_MAX: Final = timedelta(minutes=10)
# Load to report to other nodes while no further request may start. It is the
# highest that they take into account.
EXHAUSTED_LOAD: Final = 2.0


class ColdStart:
    """Token bucket in force while a backend server is or may be cold.

    ``rate`` is in requests per second; 0 means that there is no limit.
    """

    def __init__(
        self,
        now: datetime,
        rate: float = 0.0,
        cold_time: timedelta = timedelta(0),
    ) -> None:
        self._rate = rate
        self._tokens = _compute_burst(rate)
        self._refilled_at = now
        # Whether the server may be cold until its next report.
        self._assumed = False
        # End of the stated cold time, None if the server was never cold.
        self._cold_until: datetime | None = None
        self._stated_in_response_at: datetime | None = None
        if cold_time > timedelta(0):
            self._cold_until = now + min(cold_time, COLD_TIME_MAX)

    @property
    def rate(self) -> float:
        """Return the limit in requests per second, 0 if there is none."""
        return self._rate

    def set_rate(self, now: datetime, rate: float) -> None:
        """Apply an edited limit."""
        if rate == self._rate:
            return
        self._refill(now)
        if not self._rate:
            # Requests weren't counted without a limit.
            self._tokens = _compute_burst(rate)
        self._rate = rate
        self._tokens = min(self._tokens, _compute_burst(rate))

    def inherit(self, now: datetime, former: "ColdStart") -> None:
        """Take over the tokens spent under a limit before a restart.

        Requests that were sent after the restart and before the first
        report have reached the new incarnation.
        """
        if former.is_limited(now):
            former._refill(now)
            self._tokens = min(self._tokens, former._tokens)

    # What is known of the server.

    def record_report(self, now: datetime, cold_time: timedelta) -> None:
        """Record the remaining cold time that a report states.

        It ends an assumption. A shorter time than known may come from a
        report that was late, so that one in a response takes precedence.
        """
        was_cold = self.is_cold(now)
        self._refill(now)
        self._assumed = False
        until = now + min(max(cold_time, timedelta(0)), COLD_TIME_MAX)
        if until > now or was_cold:
            stated_at = self._stated_in_response_at
            is_superseded = (
                stated_at is not None and now - stated_at < REPORT_LATENESS_MAX
            )
            if is_superseded and self._cold_until is not None:
                until = max(until, self._cold_until)
            self._cold_until = until
        self._discard_excess()

    def record_response(self, now: datetime, cold_time: timedelta) -> None:
        """Record the remaining cold time that a response states.

        Responses may be received in another order than they were begun, so
        that none shortens the known time.
        """
        if cold_time <= timedelta(0):
            return
        self._refill(now)
        until = now + min(cold_time, COLD_TIME_MAX)
        if self._cold_until is None or until > self._cold_until:
            self._cold_until = until
        self._stated_in_response_at = now
        self._discard_excess()

    def assume_cold(self, now: datetime) -> None:
        """Treat the server as cold until its next report."""
        self._refill(now)
        self._assumed = True
        self._discard_excess()

    def is_cold(self, now: datetime) -> bool:
        """Return whether the server is cold or may be cold."""
        return self._assumed or (
            self._cold_until is not None and now < self._cold_until
        )

    def is_limited(self, now: datetime) -> bool:
        """Return whether the limit is in force: while cold, and the ramp."""
        return self._rate > 0 and (
            self._assumed
            or (
                self._cold_until is not None
                and now < self._cold_until + RAMP_DURATION
            )
        )

    # Requests.

    def allows_start(self, now: datetime) -> bool:
        """Return whether a request may be sent to the server."""
        if not self.is_limited(now):
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def record_start(self, now: datetime) -> None:
        """Count a request that is sent to the server, cold or not."""
        if self._rate > 0:
            self._refill(now)
            debt_max = max(0.0, self._rate * DEBT_SECONDS - 1.0)
            self._tokens = max(self._tokens - 1.0, -debt_max)

    def estimate_wait(self, now: datetime, position: int) -> timedelta:
        """Return when the request at this position may start, from 1 on."""
        if not self.is_limited(now):
            return timedelta(0)
        self._refill(now)
        missing = max(0.0, position - self._tokens)
        # A rate close to 0 would overflow a date.
        return timedelta(
            seconds=min(
                missing / self._compute_rate(now),
                COLD_TIME_MAX.total_seconds(),
            )
        )

    def measure_load(self, now: datetime) -> float:
        """Return the load to report to other nodes because of the limit."""
        return 0.0 if self.allows_start(now) else EXHAUSTED_LOAD

    def _discard_excess(self) -> None:
        """Discard tokens beyond the burst, which a ramp has saved up."""
        self._tokens = min(self._tokens, _compute_burst(self._rate))

    def _compute_rate(self, now: datetime) -> float:
        """Return the present limit, which grows after the cold time."""
        if self._cold_until is None or self.is_cold(now):
            return self._rate
        elapsed = min(now - self._cold_until, RAMP_DURATION)
        growth: float = 2.0 ** (elapsed / RAMP_DOUBLING_TIME)
        return self._rate * growth

    def _refill(self, now: datetime) -> None:
        elapsed = (now - self._refilled_at).total_seconds()
        if elapsed <= 0:
            return
        self._refilled_at = now
        rate = self._compute_rate(now) if self.is_limited(now) else self._rate
        self._tokens = min(_compute_burst(rate), self._tokens + elapsed * rate)


def _compute_burst(rate: float) -> float:
    return max(BURST_MIN, rate * BURST_SECONDS)
