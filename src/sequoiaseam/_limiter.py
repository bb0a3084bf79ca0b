"""Adaptive concurrency limit of one backend server."""

import enum
import math
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

# Ratio of the latency to the baseline above which a lower limit is tried.
LATENCY_TOLERANCE_RATIO: Final = 1.5
# A trial lowers the limit to this fraction to test whether the latency
# depends on concurrency. It costs at most 30% of the throughput for two
# windows.
TRIAL_LIMIT_RATIO: Final = 0.7
HALF: Final = 0.5
# The mean latency of fewer samples varies by more than the tolerance.
FULL_WINDOW_SAMPLES: Final = 30
WINDOW_DURATION_MIN: Final = timedelta(milliseconds=100)
# A slow server doesn't fill its windows. From this age on, a window with
# few samples may raise the limit, but never lowers it.
SPARSE_WINDOW_AGE: Final = timedelta(seconds=1)
SPARSE_WINDOW_SAMPLES_MIN: Final = 3
TRIAL_DURATION_MAX: Final = timedelta(seconds=5)
# Part of the latency reduction expected of a saturated server that a
# trial must show. A limit that is too low loses throughput, one that is
# too high only adds latency, so most of the reduction is required.
TRIAL_EFFECT_RATIO_MIN: Final = 0.6
# If throughput rises by a larger factor during a trial, the mix of
# requests has changed and the trial is inconclusive.
THROUGHPUT_RISE_RATIO_MAX: Final = 1.5
# The limit grows, or is lowered on trial, only while at least this
# fraction of it is in use.
LIMIT_UTILIZATION_MIN: Final = 0.75
# Only a trial can detect a server that was saturated from the first
# request on. No periodic trial is needed if the baseline was measured at
# less than this fraction of the current concurrency, because saturation
# then shows as a rise over the baseline.
TRIAL_INTERVAL_MIN: Final = timedelta(seconds=5)
BASELINE_CONCURRENCY_RATIO_MAX: Final = 0.8
# Ratio of the pause after a trial to the trial's duration. Trials on
# servers with few requests take long; at this ratio they cost about 1.5%
# of the throughput.
TRIAL_PAUSE_RATIO: Final = 20
FULL_TRIAL_SAMPLES: Final = 60
# Number of samples that set the baseline of a latency group, and the part
# of its deviation from the other groups that each window corrects.
GROUP_BASELINE_SAMPLES: Final = 10
GROUP_BASELINE_GAIN: Final = 0.1
# Fraction of the slots that a server gets when its warmup starts. Only the
# last reduction after sheds goes below it.
MINIMUM_LIMIT_RATIO: Final = 0.1
TIMEOUT_RATIO_MAX: Final = 0.1
# The limit grows fast up to this fraction of the concurrency at which the
# server last shed a request.
SHED_FAST_GROWTH_RATIO: Final = 0.9
SHED_SLOW_GROWTH_PER_SECOND: Final = 0.05
# After a shed, the limit is lowered to this fraction of the concurrency at
# which it happened.
SHED_LIMIT_RATIO: Final = 0.65
# Number of sheds at a lowered limit after which it is lowered again, and of
# reductions after which sheds that go on don't depend on concurrency.
SHEDS_PER_REDUCTION: Final = 3
SHED_REDUCTIONS_MAX: Final = 4
# Each reduction is given this many service times to show an effect.
REDUCTION_SERVICE_TIMES: Final = 2
# A full server sheds at once and accepts a request when another one ends, so
# that there are many sheds for each request accepted at the same concurrency.
# With at least this many of these for each shed, sheds don't depend on it.
ACCEPTED_PER_SHED_MIN: Final = 0.5
# Fewer accepted requests don't show that a server isn't full.
ACCEPTED_SAMPLES_MIN: Final = 5
# Sheds are then ignored for the longer of this time and this multiple of the
# time that it took to find out.
SHEDS_IGNORED_MIN: Final = timedelta(seconds=5)
SHEDS_IGNORED_RATIO: Final = 5
# Sheds that are further apart are judged separately.
SHED_SERIES_GAP: Final = timedelta(seconds=5)
LOAD_REPORT_TTL: Final = timedelta(seconds=1)
LOAD_REPORT_FULL: Final = 0.95
SERVICE_TIME_SAMPLES: Final = 65
# The estimate for a server without completions is halved at this interval,
# so that it is offered requests again.
SERVICE_TIME_HALF_LIFE: Final = timedelta(seconds=1)


class Completion(enum.Enum):
    """How a request that ran on the backend server ended."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class _Trial:
    """Limit, mean concurrency and latency before a trial."""

    started_at: datetime
    limit: float
    concurrency: float
    latency: float


@dataclass(slots=True)
class _ShedSeries:
    """Sheds that have lowered the limit, and those that followed.

    ``limit`` is that before the series. ``sheds`` counts those of requests
    started since ``reduced_at``, and ``accepted`` the others that have ended,
    by the concurrency at their start.
    """

    started_at: datetime
    limit: float
    reduced_at: datetime
    last_shed_at: datetime
    reductions: int = 0
    sheds: int = 0
    accepted: Counter[int] = field(default_factory=Counter)

    def count_accepted(self, concurrency: int) -> int:
        """Return how many were accepted at ``concurrency`` or above."""
        return sum(
            count
            for accepted_at, count in self.accepted.items()
            if accepted_at >= concurrency
        )


class ServiceTimeEstimator:
    """Median and 90th percentile of recent service times."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=SERVICE_TIME_SAMPLES)
        self._last_recorded_at: datetime | None = None
        self._median = 0.0
        self._p90 = 0.0
        self._unsorted_count = 0

    def record(self, now: datetime, latency: float) -> None:
        """Add a service time in seconds."""
        self._samples.append(latency)
        self._last_recorded_at = now
        self._unsorted_count += 1
        # Sorting on every sample would dominate the cost of a decision.
        if self._unsorted_count * 8 >= len(self._samples):
            ordered = sorted(self._samples)
            self._median = ordered[len(ordered) // 2]
            self._p90 = ordered[len(ordered) * 9 // 10]
            self._unsorted_count = 0

    def estimate(self, now: datetime, *, p90: bool = False) -> timedelta:
        """Return the median, or the 90th percentile if ``p90`` is set.

        The estimate is halved for each second without samples after
        the first.
        """
        if self._last_recorded_at is None:
            return timedelta(0)
        idle = max(
            0.0, (now - self._last_recorded_at) / SERVICE_TIME_HALF_LIFE - 1
        )
        seconds = self._p90 if p90 else self._median
        return timedelta(seconds=seconds * HALF ** min(idle, 60))


class ServiceTimes:
    """Recent service times by latency group.

    A server may run requests of very different durations, so that a
    value for all of them would fit none.
    """

    def __init__(self) -> None:
        self._estimators: dict[str, ServiceTimeEstimator] = {}

    def record(self, now: datetime, group: str, latency: float) -> None:
        """Add a service time in seconds."""
        estimator = self._estimators.get(group)
        if estimator is None:
            estimator = self._estimators[group] = ServiceTimeEstimator()
        estimator.record(now, latency)

    def estimate(
        self, now: datetime, group: str, *, p90: bool = False
    ) -> timedelta:
        """Return the estimate for a group, 0 if it is unknown."""
        estimator = self._estimators.get(group)
        if estimator is None:
            return timedelta(0)
        return estimator.estimate(now, p90=p90)


@dataclass(slots=True)
class _GroupBaseline:
    """Baseline latency of a group and its normalized latencies in a window."""

    seconds: float = 0.0
    count: int = 0
    window_sum: float = 0.0
    window_count: int = 0


class LatencyNormalizer:
    """Latencies relative to the baseline of their latency group.

    A change in the mix of short and long requests doesn't affect the
    normalized latency, while a server that becomes slow raises it for
    all groups alike.
    """

    def __init__(self) -> None:
        self._baselines: dict[str, _GroupBaseline] = {}

    def normalize(
        self,
        latency_group: str,
        latency: float,
        reference: float,
    ) -> float | None:
        """Return the normalized latency, or None without a baseline yet.

        ``latency`` is in seconds. ``reference`` is the current
        normalized latency of the other groups.
        """
        baseline = self._baselines.setdefault(latency_group, _GroupBaseline())
        if baseline.count < GROUP_BASELINE_SAMPLES:
            baseline.count += 1
            sample = latency / max(reference, 1e-9)
            baseline.seconds += (sample - baseline.seconds) / baseline.count
            return None
        normalized = latency / max(baseline.seconds, 1e-9)
        baseline.window_sum += normalized
        baseline.window_count += 1
        return normalized

    def correct_baselines(self, mean: float) -> None:
        """Adjust baselines of groups that deviate from the overall mean."""
        for baseline in self._baselines.values():
            if baseline.window_count >= GROUP_BASELINE_SAMPLES and mean > 0:
                group_mean = baseline.window_sum / baseline.window_count
                baseline.seconds *= 1 + GROUP_BASELINE_GAIN * (
                    group_mean / mean - 1
                )
            baseline.window_sum = 0.0
            baseline.window_count = 0


class Limiter:
    """Concurrency limit adapted to the gradient of latency.

    Latencies are normalized by latency group. When the latency rises
    above the baseline, the limit is lowered on trial. If the latency
    falls with it, the server was saturated and the lower limit is kept.
    Otherwise, the server is slow at any concurrency: the limit is
    restored and the new latency becomes the baseline.
    """

    def __init__(self, slots: int, warmup: timedelta, now: datetime) -> None:
        self._slots = slots
        self._warmup = warmup
        self._created_at = now
        self._limit = (
            max(1.0, slots * MINIMUM_LIMIT_RATIO) if warmup else slots
        )
        # Normalized latencies: long-term and of the last window.
        self._baseline_latency: float | None = None
        self._window_latency = 1.0
        self._normalizer = LatencyNormalizer()
        # Mean concurrency when the baseline latency was measured.
        self._baseline_concurrency = 0.0
        self._trial: _Trial | None = None
        self._next_trial_at = now + SPARSE_WINDOW_AGE
        self._shed_concurrency = 0.0
        self._shed_series: _ShedSeries | None = None
        # When the limit was last raised or lowered.
        self._grown_at = now
        # Sheds are ignored until this time if they don't depend on
        # concurrency.
        self._sheds_ignored_until = now
        self._reported_load = 0.0
        self._load_reported_at = now
        self._running = 0
        self._was_reduced = False
        self._integrated_at = now
        self._settling = False
        self._reset_window(now)
        self.service_times = ServiceTimes()
        self._mixed_service_times = ServiceTimeEstimator()

    @property
    def limit(self) -> int:
        """Return how many requests may be processed concurrently."""
        return max(1, min(int(self._limit), self._slots))

    def _compute_limit_max(self, now: datetime) -> float:
        """Return the upper bound of the limit, which rises in warmup."""
        if not self._is_warming_up(now):
            return float(self._slots)
        warmup_ratio = (now - self._created_at) / self._warmup
        return max(1.0, self._slots * max(MINIMUM_LIMIT_RATIO, warmup_ratio))

    @property
    def running(self) -> int:
        """Return how many requests run and don't wait for nested calls."""
        return self._running

    @property
    def slots(self) -> int:
        """Return how many requests may run or wait for nested calls."""
        return self._slots

    def start(self, now: datetime) -> int:
        """Record that a request starts or resumes; return how many run."""
        self._integrate_concurrency(now)
        self._running += 1
        return self._running

    def suspend(self, now: datetime) -> None:
        """Record that a request waits for a nested call."""
        self._integrate_concurrency(now)
        self._running -= 1

    def finish(
        self,
        now: datetime,
        started: datetime,
        completion: Completion,
        nested: timedelta = timedelta(0),
        latency_group: str = "",
        concurrency: int = 0,
    ) -> None:
        """Record the end of a request and adapt the limit.

        ``nested`` is the time it waited for nested calls. It is
        subtracted because it doesn't depend on this server's capacity.
        ``concurrency`` is what ``start`` has returned, 0 if it isn't known.
        """
        concurrency = concurrency or self._running
        self.suspend(now)
        series = self._shed_series
        if completion is Completion.SHED:
            self._handle_shed(now, started, concurrency)
        elif series is not None and started >= series.reduced_at:
            series.accepted[concurrency] += 1
        if completion in (Completion.OK, Completion.TIMEOUT):
            latency = (now - started).total_seconds()
            self.service_times.record(now, latency_group, latency)
            self._mixed_service_times.record(now, latency)
            own_time = max(0.0, latency - nested.total_seconds())
            self._record_latency(started, own_time, completion, latency_group)
        self.tick(now)

    def tick(self, now: datetime) -> None:
        """Update the limit if the measurement window is complete."""
        if not self._was_reduced:
            # The warmup also applies to idle servers. If the limit is too
            # high, a trial lowers it once there is load.
            self._limit = self._compute_limit_max(now)
        if self._settling and self._running <= self.limit:
            self._settling = False
            self._reset_window(now)
        age = now - self._window_started_at
        samples = FULL_TRIAL_SAMPLES if self._trial else FULL_WINDOW_SAMPLES
        full = self._sample_count >= samples and age >= WINDOW_DURATION_MIN
        if full or (self._trial and age >= TRIAL_DURATION_MAX):
            self._close_window(now)
        elif (
            age >= SPARSE_WINDOW_AGE
            and self._sample_count >= SPARSE_WINDOW_SAMPLES_MIN
        ):
            self._grow_after_sparse_window(now)

    def record_load(self, now: datetime, load: float) -> None:
        """Record the load from 0 to 1 that the server reports."""
        self._reported_load = load
        self._load_reported_at = now

    def configure(self, slots: int, warmup: timedelta) -> None:
        """Apply a new number of slots and warmup time."""
        self._slots = slots
        self._warmup = warmup
        self._limit = min(self._limit, float(slots))

    def _reset_window(self, now: datetime) -> None:
        self._window_started_at = now
        self._concurrency_integral = 0.0
        self._latency_sum = 0.0
        self._sample_count = 0
        self._timeout_count = 0
        self._integrated_at = now

    def _integrate_concurrency(self, now: datetime) -> None:
        elapsed = (now - self._integrated_at).total_seconds()
        self._concurrency_integral += self._running * elapsed
        self._integrated_at = now

    def _record_latency(
        self,
        started: datetime,
        latency: float,
        completion: Completion,
        latency_group: str,
    ) -> None:
        # Requests that started before a trial would distort its result.
        if self._settling or (
            self._trial and started < self._window_started_at
        ):
            return
        if completion is Completion.TIMEOUT:
            # The latency of a timeout reflects the caller's deadline.
            self._timeout_count += 1
            return
        normalized = self._normalizer.normalize(
            latency_group, latency, self._window_latency
        )
        if normalized is not None:
            self._sample_count += 1
            self._latency_sum += normalized

    def _handle_shed(
        self, now: datetime, started: datetime, concurrency: int
    ) -> None:
        """Lower the limit, unless sheds don't depend on concurrency.

        A full server sheds no more below its capacity. If sheds go on at one
        lower limit after another, or at a concurrency at which others are
        accepted, they have another reason, and a low limit would only keep
        slots idle.
        """
        if now < self._sheds_ignored_until:
            return
        series = self._shed_series
        if series is None or now - series.last_shed_at > SHED_SERIES_GAP:
            series = _ShedSeries(now, self._limit, now, now)
            self._shed_series = series
        elif started < series.reduced_at:
            return
        series.last_shed_at = now
        series.sheds += 1
        accepted = series.count_accepted(concurrency)
        if series.reductions and self._has_grown_back(
            series, concurrency, accepted
        ):
            series.started_at = now
            series.reductions = 0
        if not series.reductions:
            self._reduce_after_shed(now, series, concurrency)
            return
        median = self._mixed_service_times.estimate(now)
        age = now - series.reduced_at
        if (
            series.sheds < SHEDS_PER_REDUCTION
            or age < REDUCTION_SERVICE_TIMES * median
        ):
            return
        if (
            series.reductions >= SHED_REDUCTIONS_MAX
            or accepted >= ACCEPTED_PER_SHED_MIN * series.sheds
        ):
            self._ignore_sheds(now, series)
        else:
            self._reduce_after_shed(now, series, concurrency)

    def _has_grown_back(
        self, series: _ShedSeries, concurrency: int, accepted: int
    ) -> bool:
        """Return whether the limit has grown to the capacity once more.

        ``accepted`` is the number of requests accepted at ``concurrency`` or
        above. All others were accepted below.
        """
        accepted_below = series.accepted.total() - accepted
        return accepted < ACCEPTED_SAMPLES_MIN and (
            concurrency > SHED_FAST_GROWTH_RATIO * self._shed_concurrency
            or accepted_below >= ACCEPTED_SAMPLES_MIN * series.sheds
        )

    def _reduce_after_shed(
        self, now: datetime, series: _ShedSeries, concurrency: int
    ) -> None:
        """Lower the limit.

        At low load, all sheds happen at a low concurrency, whatever their
        reason is. So only the last reduction is unbounded.
        """
        series.reduced_at = now
        series.reductions += 1
        series.sheds = 0
        series.accepted.clear()
        limit = min(self._limit, concurrency) * SHED_LIMIT_RATIO
        limit_min = MINIMUM_LIMIT_RATIO * self._slots
        if self._limit <= limit_min:
            series.reductions = SHED_REDUCTIONS_MAX
        if series.reductions < SHED_REDUCTIONS_MAX:
            limit = max(limit, limit_min)
        self._was_reduced = True
        self._trial = None
        self._settling = False
        self._limit = max(1.0, min(self._limit, limit))
        self._shed_concurrency = (
            float(concurrency)
            if self._limit < concurrency
            else self._limit / SHED_LIMIT_RATIO
        )
        self._grown_at = now
        self._reset_window(now)

    def _ignore_sheds(self, now: datetime, series: _ShedSeries) -> None:
        """Restore the limit, as sheds don't depend on concurrency."""
        self._shed_series = None
        self._sheds_ignored_until = now + max(
            SHEDS_IGNORED_MIN, SHEDS_IGNORED_RATIO * (now - series.started_at)
        )
        self._limit = min(float(self._slots), series.limit)
        self._trial = None
        self._settling = False
        self._reset_window(now)

    def _measure_concurrency(self, now: datetime) -> float:
        """Return the mean concurrency in the current window."""
        self._integrate_concurrency(now)
        return (
            self._concurrency_integral
            / (now - self._window_started_at).total_seconds()
        )

    def _grow_after_sparse_window(self, now: datetime) -> None:
        """Raise the limit if a window with few samples has low latency."""
        latency = self._latency_sum / self._sample_count
        latency_normal = (
            self._baseline_latency is None
            or latency <= LATENCY_TOLERANCE_RATIO * self._baseline_latency
        )
        limit_used = (
            self._measure_concurrency(now)
            >= LIMIT_UTILIZATION_MIN * self.limit
        )
        if latency_normal and limit_used and self._trial is None:
            self._reset_window(now)
            self._increase_limit(now)

    def _close_window(self, now: datetime) -> None:
        concurrency = self._measure_concurrency(now)
        count = self._sample_count
        latency = self._latency_sum / max(1, count)
        many_timeouts = self._timeout_count > TIMEOUT_RATIO_MAX * (
            count + self._timeout_count
        )
        if count:
            self._window_latency = latency
            self._normalizer.correct_baselines(latency)
        self._reset_window(now)
        if self._trial is not None:
            enough_samples = count >= FULL_WINDOW_SAMPLES
            self._evaluate_trial(
                now,
                self._trial,
                concurrency,
                latency,
                enough_samples=enough_samples,
            )
        elif self._is_warming_up(now):
            self._set_baseline(latency, concurrency)
            self._increase_limit(now)
        else:
            self._adjust_limit(
                now, concurrency, latency, many_timeouts=many_timeouts
            )

    def _adjust_limit(
        self,
        now: datetime,
        concurrency: float,
        latency: float,
        *,
        many_timeouts: bool,
    ) -> None:
        if self._baseline_latency is None:
            self._set_baseline(latency, concurrency)
        baseline_latency = self._baseline_latency or latency
        limit_used = concurrency >= LIMIT_UTILIZATION_MIN * self.limit
        raised = latency > LATENCY_TOLERANCE_RATIO * baseline_latency
        baseline_measured_lower = (
            self._baseline_concurrency
            <= BASELINE_CONCURRENCY_RATIO_MAX * concurrency
        )
        due = (
            many_timeouts
            or raised
            or (now >= self._next_trial_at and not baseline_measured_lower)
        )
        if due and limit_used and self.limit > 1:
            self._start_trial(
                now,
                concurrency,
                latency,
                HALF if many_timeouts else TRIAL_LIMIT_RATIO,
            )
        elif raised:
            baseline_latency += 0.1 * (latency - baseline_latency)
        else:
            if latency < baseline_latency:
                baseline_latency += 0.3 * (latency - baseline_latency)
                self._baseline_concurrency = min(
                    self._baseline_concurrency, concurrency
                )
            if limit_used:
                self._increase_limit(now)
        self._baseline_latency = baseline_latency

    def _start_trial(
        self,
        now: datetime,
        concurrency: float,
        latency: float,
        ratio: float,
    ) -> None:
        self._was_reduced = True
        self._trial = _Trial(now, self._limit, concurrency, latency)
        self._limit = max(1.0, self._limit * ratio)
        self._settling = True

    def _evaluate_trial(
        self,
        now: datetime,
        trial: _Trial,
        concurrency: float,
        latency: float,
        *,
        enough_samples: bool,
    ) -> None:
        """Keep the lower limit only if it reduced the latency."""
        self._trial = None
        concurrency_drop = 1 - concurrency / trial.concurrency
        latency_drop = 1 - latency / max(trial.latency, 1e-9)
        # Lower concurrency can't raise throughput by much unless the new
        # requests are inherently shorter.
        mix_changed = (1 - concurrency_drop) > THROUGHPUT_RISE_RATIO_MAX * (
            1 - latency_drop
        )
        if mix_changed:
            enough_samples = False
        if (
            enough_samples
            and concurrency_drop > 0.1
            and latency_drop >= TRIAL_EFFECT_RATIO_MIN * concurrency_drop
        ):
            # The latency may still include queueing in the server, so the
            # next trial may start at once.
            self._next_trial_at = now
            if (
                self._baseline_latency is None
                or latency < self._baseline_latency
            ):
                self._set_baseline(latency, concurrency)
            return
        pause = max(
            TRIAL_INTERVAL_MIN, TRIAL_PAUSE_RATIO * (now - trial.started_at)
        )
        self._next_trial_at = now + pause
        self._limit = trial.limit
        if enough_samples and concurrency_drop > 0.1:
            self._set_baseline(latency, concurrency)
            self._increase_limit(now)

    def _set_baseline(self, latency: float, concurrency: float) -> None:
        self._baseline_latency = latency
        self._baseline_concurrency = concurrency

    def _increase_limit(self, now: datetime) -> None:
        step = math.sqrt(self._limit)
        series = self._shed_series
        if series is not None:
            # Grow fast up to the concurrency at which the server shed,
            # slowly near it, and faster again as time passes because the
            # server may have recovered.
            gap = SHED_FAST_GROWTH_RATIO * self._shed_concurrency - self._limit
            age = (now - series.reduced_at).total_seconds()
            slow_step = (
                SHED_SLOW_GROWTH_PER_SECOND
                * (now - self._grown_at).total_seconds()
                * self._limit
                * math.exp2(min(age, 20.0))
            )
            step = max(HALF * gap, min(step, max(slow_step, 0.05)))
        # A reported load may be stale or false, so it only slows growth.
        if (
            self._reported_load >= LOAD_REPORT_FULL
            and now - self._load_reported_at < LOAD_REPORT_TTL
        ):
            step *= HALF
        self._grown_at = now
        self._limit = min(self._compute_limit_max(now), self._limit + step)

    def _is_warming_up(self, now: datetime) -> bool:
        return now - self._created_at < self._warmup
