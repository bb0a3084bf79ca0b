"""Times of the steps of a planned stop.

Each step comes after its time, or after its fraction of the shutdown time
limit if that is earlier. All count from SIGTERM.
"""

from datetime import datetime, timedelta
from typing import Final

# Until then, calls by nodes that haven't learned of the stop yet are served,
# so that the capacity of the backend server is used.
SERVING_TIME: Final = timedelta(seconds=1.5)
SERVING_FRACTION: Final = 0.3
# By then, callers and other nodes have learned of the stop.
NOTICE_TIME: Final = timedelta(seconds=2.5)
NOTICE_FRACTION: Final = 0.45
# From then on, callers' requests are refused. The rest of the time is for
# those in progress.
ADMISSION_TIME: Final = NOTICE_TIME + timedelta(milliseconds=250)
ADMISSION_FRACTION: Final = 0.5
# Fractions of the time limit between which a stop refuses what is still in
# progress: a node that is late needs more time for the rest of its stop. A
# stop may break off requests only in the last sixth.
RUNS_END_FRACTION_MIN: Final = 5 / 6
RUNS_END_FRACTION_MAX: Final = 0.92
# Fraction of it after which unsent responses are dropped, at the latest.
SENDING_FRACTION: Final = 0.95
# Fraction of it after which connections that still wait to be closed are left
# to the end of the process, at the latest.
CLOSE_FRACTION: Final = 0.96
# Passes of the event loop from the end of runs to the end of the process, in
# which refusals are sent and what waits in the kernel is read.
END_PASSES: Final = 6
# Passes that the close and the end of the process take.
CLOSE_PASSES: Final = 2
# Waits over which the mean lateness is taken.
LATENESS_SAMPLES: Final = 20


class StopSchedule:
    """Times of the steps of a stop of a node, and how late it is.

    ``noticed_at`` is when the process noticed SIGTERM. If it was late then,
    by ``start_lateness``, the signal may have come earlier by as much: what
    has to be done by a time counts from there.
    """

    def __init__(
        self,
        noticed_at: datetime,
        time_limit: timedelta,
        start_lateness: timedelta = timedelta(0),
    ) -> None:
        started_at = noticed_at - start_lateness
        self.started_at: Final = started_at
        self._noticed_at: Final = noticed_at
        self._time_limit: Final = time_limit
        self.serving_ends_at: Final = started_at + min(
            SERVING_TIME, SERVING_FRACTION * time_limit
        )
        self.notice_ends_at: Final = started_at + min(
            NOTICE_TIME, NOTICE_FRACTION * time_limit
        )
        self.admission_ends_at: Final = started_at + min(
            ADMISSION_TIME, ADMISSION_FRACTION * time_limit
        )
        # What is taken on late in the stop has to end by then. If the signal
        # came before it was noticed, the kill comes that much earlier, too.
        self._late_calls_end_at: Final = (
            started_at + RUNS_END_FRACTION_MIN * time_limit
        )
        # Runs have this time however late the node is.
        self.runs_end_at_least: Final = (
            noticed_at + RUNS_END_FRACTION_MIN * time_limit
        )
        self._wait_count = 0
        self._lateness_max = timedelta(0)
        self._lateness_mean = timedelta(0)

    def may_outlast(self, deadline: datetime) -> bool:
        """Return whether a call with a deadline may outlast the stop.

        One that may not is ended by its deadline before the stop ends it,
        however late the node is and whatever the backend server does.
        """
        return deadline > self._late_calls_end_at

    def record_wait(self, lateness: timedelta) -> None:
        """Record by how much a wait was longer than it was meant to be."""
        lateness = max(timedelta(0), lateness)
        self._wait_count += 1
        self._lateness_max = max(self._lateness_max, lateness)
        self._lateness_mean += (lateness - self._lateness_mean) / min(
            self._wait_count, LATENESS_SAMPLES
        )

    def find_runs_end(self) -> datetime:
        """Return when to refuse what is still in progress.

        The rest of the stop has time for two waits as late as the latest so
        far, as a later one may be longer, and for passes that are late as
        usual: a kill would cut the requests in progress.
        """
        rest = self._lateness_max + END_PASSES * self._lateness_mean
        return self._limit(RUNS_END_FRACTION_MAX, self.find_close_end() - rest)

    def find_sending_end(self) -> datetime:
        """Return when to drop responses that aren't sent."""
        return self._limit(
            SENDING_FRACTION, self.find_close_end() - self._lateness_mean
        )

    def find_close_end(self) -> datetime:
        """Return when to leave all else to the end of the process.

        The wait that is then in progress may be as late as the latest.
        """
        return self._limit(
            CLOSE_FRACTION,
            self.started_at + self._time_limit - self._lateness_max,
        )

    @property
    def close_time_limit(self) -> timedelta:
        """Return the time from when SIGTERM was noticed to the close's end."""
        return self.find_close_end() - self._noticed_at

    def _limit(self, fraction_max: float, time: datetime) -> datetime:
        """Return a time between the least end of runs and a fraction."""
        latest = self.started_at + fraction_max * self._time_limit
        return max(self.runs_end_at_least, min(latest, time))

    def has_time_for_pass(self, now: datetime) -> bool:
        """Return whether the process still ends in time after another pass.

        A pass reads and answers what waits in the kernel, which the end of
        the process would reset as a kill does. So it may be begun later than
        a wait, up to the latest time at which the kill may come. Runs are
        waited for up to their least end in any case.
        """
        passes = (1 + CLOSE_PASSES) * self._lateness_mean
        return now < self.runs_end_at_least or (
            now + passes <= self._noticed_at + self._time_limit
        )
