"""Concurrency limit of one backend server, found from its latencies."""

import enum
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

# Relative latency above which a cut is tried.
TOLERANCE: Final = 1.5
# A trial cut to this part of the limit shows whether latency follows
# the number of running requests. It costs 30% for two windows at most.
TRIAL_RATIO: Final = 0.7
HALF: Final = 0.5
# Mean latencies of fewer samples vary by more than the tolerance.
WINDOW_SAMPLES: Final = 30
WINDOW_MIN: Final = timedelta(milliseconds=100)
# A slow server fills no window; it may still grow, but isn't cut.
WINDOW_MAX: Final = timedelta(seconds=1)
WINDOW_SAMPLES_MIN: Final = 3
TRIAL_MAX: Final = timedelta(seconds=5)
# A wrong cut loses throughput, a limit too high only time, so that a
# cut needs most of the gain that a saturated server would show.
TRIAL_GAIN: Final = 0.6
# A trial after which throughput rises by more than this compares two
# mixes of requests and proves nothing.
THROUGHPUT_RISE_MAX: Final = 1.5
# The limit grows only while requests use most of it.
BINDING: Final = 0.75
# A server that was saturated from the first request on shows only in
# a trial. None is due while the long-term latency was measured at less
# than this part of the load: then a rise of the latency shows it.
TRIAL_INTERVAL: Final = timedelta(seconds=5)
LOWER_LOAD: Final = 0.8
# Trials on servers with few requests last long; at this ratio of
# pauses to trials they cost about 1.5% of the throughput.
TRIAL_PAUSE: Final = 20
TRIAL_SAMPLES: Final = 60
# Samples that find the usual latency of a kind, and the part of its
# difference from the other kinds that a window corrects.
UNIT_SAMPLES: Final = 10
UNIT_GAIN: Final = 0.1
SHED_PAUSE_MIN: Final = 0.1  # seconds
COLD_SHARE: Final = 0.1
TIMEOUT_SHARE: Final = 0.1
# A level at which the server shed is approached fast up to this part.
SHED_MARGIN: Final = 0.9
SHED_PROBE: Final = 0.005
# Part of the level at which the server shed that the limit is cut to.
SHED_CUT: Final = 0.65
# Completions over which throughput is measured before and after a cut.
SHED_SAMPLES: Final = 100
# A cut with fewer completions until then is kept.
SHED_TRIAL_MAX: Final = timedelta(seconds=1)
HINT_LIFETIME: Final = timedelta(seconds=1)
HINT_FULL: Final = 0.95
MEDIAN_SAMPLES: Final = 65
# The median of a server that completes nothing is halved at this
# interval, so that requests are tried again.
MEDIAN_LIFETIME: Final = timedelta(seconds=1)


class Completion(enum.Enum):
    """How a request that ran on the backend server ended."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class _Trial:
    """Limit, mean running requests and latency before a cut."""

    began: datetime
    limit: float
    load: float
    latency: float


@dataclass(slots=True)
class _ShedTrial:
    """A cut after a shed, until the throughput under it is known.

    ``rate`` is the requests done in a second before, ``part`` the part
    of the running requests that the cut took.
    """

    began: datetime
    limit: float
    rate: float
    part: float
    done: list[datetime] = field(default_factory=list)


class MedianLatency:
    """Running median of service times."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MEDIAN_SAMPLES)
        self._last: datetime | None = None
        self._median = 0.0
        self._high = 0.0
        self._dirty = 0

    def record(self, now: datetime, latency: float) -> None:
        """Add a service time in seconds."""
        self._samples.append(latency)
        self._last = now
        self._dirty += 1
        # Sorting for each sample would dominate the cost of a decision.
        if self._dirty * 8 >= len(self._samples):
            ordered = sorted(self._samples)
            self._median = ordered[len(ordered) // 2]
            self._high = ordered[len(ordered) * 9 // 10]
            self._dirty = 0

    def estimate(self, now: datetime, *, high: bool = False) -> timedelta:
        """Return the median, or with ``high`` the 90th percentile.

        It is halved for each second without samples.
        """
        if self._last is None:
            return timedelta(0)
        idle = max(0.0, (now - self._last) / MEDIAN_LIFETIME - 1)
        value = self._high if high else self._median
        return timedelta(seconds=value * HALF ** min(idle, 60))


@dataclass(slots=True)
class _Unit:
    """Latency that counts as 1 for one kind, and the window's multiples."""

    seconds: float = 0.0
    count: int = 0
    window: float = 0.0
    window_count: int = 0


class KindUnits:
    """Latencies as multiples of what is usual for their kind.

    A mix of short and long requests that changes then looks the same;
    a server that turns slow raises all kinds alike.
    """

    def __init__(self) -> None:
        self._units: dict[str, _Unit] = {}

    def convert(
        self,
        kind: str,
        latency: float,
        present: float,
    ) -> float | None:
        """Return the multiple, None while the unit is being found.

        ``present`` is the multiple that other kinds show now.
        """
        unit = self._units.setdefault(kind, _Unit())
        if unit.count < UNIT_SAMPLES:
            unit.count += 1
            part = latency / max(present, 1e-9)
            unit.seconds += (part - unit.seconds) / unit.count
            return None
        value = latency / max(unit.seconds, 1e-9)
        unit.window += value
        unit.window_count += 1
        return value

    def align(self, mean: float) -> None:
        """Correct the units of kinds that differ from the mean multiple."""
        for unit in self._units.values():
            if unit.window_count >= UNIT_SAMPLES and mean > 0:
                own = unit.window / unit.window_count
                unit.seconds *= 1 + UNIT_GAIN * (own / mean - 1)
            unit.window = 0.0
            unit.window_count = 0


class Limiter:
    """Concurrency limit from the gradient of latency.

    Latencies are compared as multiples of what is usual for the kind.
    When the latency rises over its long-term value, the limit is cut on
    trial. If the latency falls with it, the server was saturated and
    the cut stays; otherwise the server is slow at any concurrency, the
    limit returns and the new latency becomes the long-term value.
    """

    def __init__(self, slots: int, warmup: timedelta, now: datetime) -> None:
        self._slots = slots
        self._warmup = warmup
        self._born = now
        self._limit = max(1.0, slots * COLD_SHARE) if warmup else slots
        # Long-term latency and that of the last window, as multiples.
        self._base: float | None = None
        self._present = 1.0
        self._units = KindUnits()
        # Mean running requests when the long-term latency was measured.
        self._base_load = 0.0
        self._trial: _Trial | None = None
        self._trial_due = now + WINDOW_MAX
        self._shed_load = 0.0
        self._shed_at: datetime | None = None
        self._shed_trial: _ShedTrial | None = None
        # Until then sheds are known not to follow the running requests.
        self._shed_known = now
        self._done: deque[datetime] = deque(maxlen=SHED_SAMPLES)
        self._hint = 0.0
        self._hint_at = now
        self._running = 0
        self._was_cut = False
        self._changed_at = now
        self._settling = False
        self._reset(now)
        self.median = MedianLatency()

    @property
    def limit(self) -> int:
        """Return how many requests may work at once."""
        return max(1, min(int(self._limit), self._slots))

    def _find_ceiling(self, now: datetime) -> float:
        """Return the bound that rises while the server is cold."""
        if not self._is_cold(now):
            return float(self._slots)
        part = (now - self._born) / self._warmup
        return max(1.0, self._slots * max(COLD_SHARE, part))

    @property
    def running(self) -> int:
        """Return how many requests run without waiting."""
        return self._running

    @property
    def slots(self) -> int:
        """Return how many requests may run or wait for nested calls."""
        return self._slots

    def start(self, now: datetime) -> None:
        """Count a request that starts or goes on working."""
        self._integrate(now)
        self._running += 1

    def suspend(self, now: datetime) -> None:
        """Count a request that stops working, for a nested call."""
        self._integrate(now)
        self._running -= 1

    def finish(
        self,
        now: datetime,
        started: datetime,
        completion: Completion,
        nested: timedelta = timedelta(0),
        kind: str = "",
    ) -> None:
        """Count a request of a kind that ended and adapt the limit.

        ``nested`` is the time it waited for nested calls, which says
        nothing of this server's capacity.
        """
        load = self._running
        self.suspend(now)
        if completion is Completion.SHED:
            self._shed(now, load)
        elif completion in (Completion.OK, Completion.TIMEOUT):
            latency = (now - started).total_seconds()
            self.median.record(now, latency)
            self._note_done(now, started)
            own = max(0.0, latency - nested.total_seconds())
            self._sample(started, own, completion, kind)
        self.tick(now)

    def tick(self, now: datetime) -> None:
        """Close the window when it is full."""
        if not self._was_cut:
            # Idle servers warm up as well; a limit too high is cut on
            # trial when the load comes.
            self._limit = self._find_ceiling(now)
        if self._settling and self._running <= self.limit:
            self._settling = False
            self._reset(now)
        age = now - self._window_from
        samples = TRIAL_SAMPLES if self._trial else WINDOW_SAMPLES
        full = self._count >= samples and age >= WINDOW_MIN
        if full or (self._trial and age >= TRIAL_MAX):
            self._close(now)
        elif age >= WINDOW_MAX and self._count >= WINDOW_SAMPLES_MIN:
            self._grow_early(now)

    def hint(self, now: datetime, load: float) -> None:
        """Note the load from 0 to 1 that the server reports."""
        self._hint = load
        self._hint_at = now

    def configure(self, slots: int, warmup: timedelta) -> None:
        """Take over new bounds."""
        self._slots = slots
        self._warmup = warmup
        self._limit = min(self._limit, float(slots))

    def _reset(self, now: datetime) -> None:
        self._window_from = now
        self._area = 0.0
        self._total = 0.0
        self._count = 0
        self._timeouts = 0
        self._changed_at = now

    def _integrate(self, now: datetime) -> None:
        elapsed = (now - self._changed_at).total_seconds()
        self._area += self._running * elapsed
        self._changed_at = now

    def _sample(
        self,
        started: datetime,
        latency: float,
        completion: Completion,
        kind: str,
    ) -> None:
        # Requests from before a trial cut would blur its effect.
        if self._settling or (self._trial and started < self._window_from):
            return
        if completion is Completion.TIMEOUT:
            # Its latency is that of the caller's patience.
            self._timeouts += 1
            return
        value = self._units.convert(kind, latency, self._present)
        if value is not None:
            self._count += 1
            self._total += value

    def _note_done(self, now: datetime, started: datetime) -> None:
        """Count a completion; judge a cut after a shed by them."""
        self._done.append(now)
        trial = self._shed_trial
        if trial is None or started < trial.began:
            return
        trial.done.append(now)
        if len(trial.done) >= SHED_SAMPLES:
            self._judge_shed(now, trial)

    def _judge_shed(self, now: datetime, trial: _ShedTrial) -> None:
        """Take the cut back if it cost throughput.

        A server that was full does as much with fewer requests. One that
        sheds for another reason does less, and sheds no smaller share.
        """
        self._shed_trial = None
        lost = 1 - _measure_rate(trial.done) / trial.rate
        if lost < TRIAL_GAIN * trial.part:
            return
        self._shed_known = now + TRIAL_INTERVAL
        self._shed_at = None
        self._limit = min(float(self._slots), trial.limit)
        self._reset(now)

    def _shed(self, now: datetime, load: int) -> None:
        """Cut, once for the requests that were running together."""
        if now < self._shed_known:
            return
        trial = self._shed_trial
        if trial is not None and now - trial.began < SHED_TRIAL_MAX:
            return
        usual = self.median.estimate(now).total_seconds()
        pause = max(SHED_PAUSE_MIN, 2 * usual)
        last = self._shed_at
        if last is not None and (now - last).total_seconds() < pause:
            return
        self._was_cut = True
        self._shed_at = now
        self._shed_load = float(load)
        self._trial = None
        self._settling = False
        limit = self._limit
        self._limit = max(1.0, min(limit, load) * SHED_CUT)
        self._shed_trial = None
        if len(self._done) == SHED_SAMPLES and load > 1:
            part = 1 - self._limit / load
            rate = _measure_rate(self._done)
            self._shed_trial = _ShedTrial(now, limit, rate, part)
        self._reset(now)

    def _measure_load(self, now: datetime) -> float:
        """Return the mean number of running requests in the window."""
        self._integrate(now)
        return self._area / (now - self._window_from).total_seconds()

    def _grow_early(self, now: datetime) -> None:
        """Grow after a window with few samples but a good latency."""
        latency = self._total / self._count
        good = self._base is None or latency <= TOLERANCE * self._base
        binding = self._measure_load(now) >= BINDING * self.limit
        if good and binding and self._trial is None:
            self._reset(now)
            self._grow(now)

    def _close(self, now: datetime) -> None:
        load = self._measure_load(now)
        count = self._count
        latency = self._total / max(1, count)
        late = self._timeouts > TIMEOUT_SHARE * (count + self._timeouts)
        if count:
            self._present = latency
            self._units.align(latency)
        self._reset(now)
        if self._trial is not None:
            enough = count >= WINDOW_SAMPLES
            self._judge(now, self._trial, load, latency, enough=enough)
        elif self._is_cold(now):
            self._set_base(latency, load)
            self._grow(now)
        else:
            self._adapt(now, load, latency, late=late)

    def _adapt(
        self,
        now: datetime,
        load: float,
        latency: float,
        *,
        late: bool,
    ) -> None:
        if self._base is None:
            self._set_base(latency, load)
        base = self._base or latency
        binding = load >= BINDING * self.limit
        raised = latency > TOLERANCE * base
        known = self._base_load <= LOWER_LOAD * load
        due = late or raised or (now >= self._trial_due and not known)
        if due and binding and self.limit > 1:
            self._cut(now, load, latency, HALF if late else TRIAL_RATIO)
        elif raised:
            base += 0.1 * (latency - base)
        else:
            if latency < base:
                base += 0.3 * (latency - base)
                self._base_load = min(self._base_load, load)
            if binding:
                self._grow(now)
        self._base = base

    def _cut(
        self,
        now: datetime,
        load: float,
        latency: float,
        ratio: float,
    ) -> None:
        self._was_cut = True
        self._trial = _Trial(now, self._limit, load, latency)
        self._limit = max(1.0, self._limit * ratio)
        self._settling = True

    def _judge(
        self,
        now: datetime,
        trial: _Trial,
        load: float,
        latency: float,
        *,
        enough: bool,
    ) -> None:
        """Keep the trial cut only when it lowered the latency."""
        self._trial = None
        cut = 1 - load / trial.load
        gain = 1 - latency / max(trial.latency, 1e-9)
        # Fewer requests at a time can't finish many more a second, unless
        # others came that are shorter by nature.
        shifted = (1 - cut) > THROUGHPUT_RISE_MAX * (1 - gain)
        if shifted:
            enough = False
        if enough and cut > 0.1 and gain >= TRIAL_GAIN * cut:
            # The latency may still include waiting in the server.
            self._trial_due = now
            if self._base is None or latency < self._base:
                self._set_base(latency, load)
            return
        pause = max(TRIAL_INTERVAL, TRIAL_PAUSE * (now - trial.began))
        self._trial_due = now + pause
        self._limit = trial.limit
        if enough and cut > 0.1:
            self._set_base(latency, load)
            self._grow(now)

    def _set_base(self, latency: float, load: float) -> None:
        self._base = latency
        self._base_load = load

    def _grow(self, now: datetime) -> None:
        step = math.sqrt(self._limit)
        if self._shed_at is not None:
            # Fast up to the level at which the server shed, slow near
            # it, then faster again, as the server may have recovered.
            gap = SHED_MARGIN * self._shed_load - self._limit
            age = (now - self._shed_at).total_seconds()
            slow = SHED_PROBE * self._limit * math.exp2(min(age, 20.0))
            step = max(HALF * gap, min(step, max(slow, 0.05)))
        # A hint only slows growth: it may be stale or false.
        if self._hint >= HINT_FULL and now - self._hint_at < HINT_LIFETIME:
            step *= HALF
        self._limit = min(self._find_ceiling(now), self._limit + step)

    def _is_cold(self, now: datetime) -> bool:
        return now - self._born < self._warmup


def _measure_rate(times: Sequence[datetime]) -> float:
    """Return the completions in a second over a run of them."""
    span = (times[-1] - times[0]).total_seconds()
    return (len(times) - 1) / max(span, 1e-6)
