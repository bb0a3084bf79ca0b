"""Pressure of pools, measured at servers and obeyed at the root."""

import math
import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._retry import compute_retry_after
from sequoiaseam._tables import Importance

CLASSES: Final = len(Importance)
# The top class is never refused entirely at the root, so that servers
# still show when they recover.
LEVEL_MAX: Final = CLASSES - 0.05

# As in CoDel: waiting above the target for a whole interval is a
# standing queue; shorter waits are bursts.
DELAY_TARGET: Final = timedelta(milliseconds=5)
MEASUREMENT_INTERVAL: Final = timedelta(milliseconds=100)

# Part of the excess that one interval removes; less than 1 because the
# effect shows only after a round trip.
RAISE_GAIN: Final = 0.5
# A standing queue is removed over this many intervals; as much as two
# intervals serve is a burst, which is left to drain by itself.
DRAIN_INTERVALS: Final = 10
BURST_INTERVALS: Final = 2
LOWER_GAIN: Final = 0.7
# While slots stay free, the step down grows by this factor with each
# interval, so that an old estimate of the demand doesn't delay recovery.
LOWER_GROWTH: Final = 1.8
# Intervals until a level shows in the arrivals.
LAG: Final = 3
# Free slots below this part are kept, so that the level doesn't
# oscillate around full load.
SPARE_MIN: Final = 0.05
# Classes with fewer requests an interval are let in at once.
LOAD_MIN: Final = 0.01
LOWER_STEP_MIN: Final = 0.005
LOWER_STEP_MAX: Final = 0.5
# Estimates average over about this many tickets, so that servers with
# few requests a second don't follow noise.
SMOOTHING_COUNT: Final = 20
SMOOTHING_MIN: Final = 0.05
SMOOTHING_MAX: Final = 0.5
# A class that is shed isn't seen; its last known load fades by half in
# 2.3 s.
MEMORY_FADE: Final = 0.9

# A class of which less than this part is let in can't be measured.
HIDDEN: Final = 0.05

# Levels without an update fade between these ages.
FADE_START: Final = timedelta(milliseconds=300)
FADE_END: Final = timedelta(seconds=1)
ATTACK: Final = timedelta(milliseconds=50)
RELEASE: Final = timedelta(milliseconds=100)
# Rounding must not leave a shed class a little open.
SNAP: Final = 0.005
ROUTE_MEMORY: Final = timedelta(seconds=60)
# Hosts count the calls of a route each for itself.
REACH_SMOOTHING: Final = 0.1


@dataclass(frozen=True, slots=True)
class PoolPressure:
    """Pressure of a pool from 0.0 (none) to 4.0.

    All classes below the whole part are shed, and of the class equal to
    it the fraction, from the workspaces most over their fair share.
    ``calls`` is how many calls to the pool a run of a route makes; 1 for
    the pool that runs it.
    """

    pool: str
    level: float
    calls: float = 1.0


class PressureGauge:
    """Pressure of one backend server, from its queue."""

    def __init__(self, now: datetime) -> None:
        self.level = 0.0
        self._from = now
        self._arrived = [0] * CLASSES
        self._started = 0
        self._refused = 0
        self._emptied = False
        self._blocked = False
        self._start_rate = 0.0
        self._loads = [0.0] * CLASSES
        self._lowered = 0
        self._levels = deque([0.0] * LAG, maxlen=LAG)

    def record_arrival(self, importance: Importance) -> None:
        """Count an offered ticket."""
        self._arrived[importance] += 1

    def record_start(self) -> None:
        """Count a ticket that starts."""
        self._started += 1

    def record_refusal(self, importance: Importance) -> None:
        """Count a ticket refused for want of room or time."""
        self._refused += importance >= int(self.level)

    def record_queue(self, queued: Sequence[int]) -> None:
        """Note how many tickets of each class wait.

        Those of classes that are shed already don't count: they must
        not raise the level to the next class.
        """
        if not any(queued[int(self.level) :]):
            self._emptied = True

    def record_empty_queue(self) -> None:
        """Note that no ticket waits."""
        self._emptied = True

    def record_blocked(self) -> None:
        """Note that the queue waits for a ticket that runs alone.

        Its delays and refusals then say nothing of the load.
        """
        self._blocked = True

    def advance(
        self,
        now: datetime,
        queued: Sequence[int],
        age: timedelta,
        busy: float,
    ) -> None:
        """Close intervals that are over.

        ``queued`` counts the waiting tickets by class, ``age`` is that
        of the oldest one, ``busy`` the part of the limit in use.
        """
        count = (now - self._from) // MEASUREMENT_INTERVAL
        if count <= 0:
            return
        self._from += count * MEASUREMENT_INTERVAL
        self._smooth(count)
        waiting = sum(queued[int(self.level) :])
        standing = waiting and not self._emptied and age > DELAY_TARGET
        if self._blocked:
            self._blocked = False
        elif standing or self._refused:
            self._lowered = 0
            self._raise(waiting)
        elif busy < 1 - SPARE_MIN or self._emptied:
            for _ in range(min(count, 100)):
                self._lower(max(1 - busy, SPARE_MIN))
        self._levels.append(self.level)
        self._arrived = [0] * CLASSES
        self._started = 0
        self._refused = 0
        self._emptied = waiting == 0

    def _smooth(self, count: int) -> None:
        """Update the estimates of starts and of demand by class."""
        seen = sum(self._arrived) + self._started
        part = seen / count / SMOOTHING_COUNT
        part = min(SMOOTHING_MAX, max(SMOOTHING_MIN, part))
        part = 1 - (1 - part) ** min(count, 100)
        self._start_rate += part * (self._started / count - self._start_rate)
        for rank in range(CLASSES):
            level = min(self._levels)
            open_part = min(1.0, max(0.0, rank + 1 - level))
            if open_part > HIDDEN:
                load = self._arrived[rank] / count / open_part
                self._loads[rank] += part * (load - self._loads[rank])
            else:
                self._loads[rank] *= MEMORY_FADE**count

    def _find_open(self, rank: int) -> float:
        """Return the part of a class that the level lets in."""
        return min(1.0, max(0.0, rank + 1 - self.level))

    def _expect(self, least: int) -> float:
        """Return the arrivals to expect of a class and those above."""
        return sum(
            self._loads[rank] * self._find_open(rank)
            for rank in range(least, CLASSES)
        )

    def _raise(self, queued: int) -> None:
        """Shed the excess of arrivals over starts, lowest class first."""
        excess = self._expect(int(self.level)) - self._start_rate
        standing = max(0.0, queued - BURST_INTERVALS * self._start_rate)
        excess = RAISE_GAIN * (excess + standing / DRAIN_INTERVALS)
        if excess <= 0:
            # The queue drains by itself.
            return
        for rank in range(int(self.level), CLASSES):
            rate = self._loads[rank] * self._find_open(rank)
            if rate > excess:
                open_part = self._find_open(rank) * (1 - excess / rate)
                self.level = min(rank + 1 - open_part, LEVEL_MAX)
                return
            excess -= rate
            self.level = min(rank + 1.0, LEVEL_MAX)
            # Classes whose own load fits aren't touched.
            if self._expect(rank + 1) <= self._start_rate:
                return

    def _lower(self, spare: float) -> None:
        """Readmit about the load that fits into the free slots."""
        if not self.level:
            return
        capacity = self._start_rate / max(1 - spare, SPARE_MIN)
        rank = max(0, math.ceil(self.level) - 1)
        while rank and self._loads[rank] < LOAD_MIN:
            self.level = float(rank)
            rank -= 1
        load = self._loads[rank]
        room = LOWER_GAIN * spare * capacity
        step = room / load if load > 0 else LOWER_STEP_MAX
        step = max(step, LOWER_STEP_MIN) * LOWER_GROWTH**self._lowered
        step = min(step, LOWER_STEP_MAX)
        self._lowered = min(self._lowered + 1, 20)
        self.level = max(0.0, self.level - step)


@dataclass(slots=True)
class _Known:
    """Level of one pool as its responses last told it."""

    level: float
    at: datetime

    def fade(self, now: datetime) -> float:
        """Return the level, less the part lost without updates."""
        age = now - self.at
        if age <= FADE_START:
            return self.level
        left = (FADE_END - age) / (FADE_END - FADE_START)
        return self.level * max(0.0, left)

    def merge(self, now: datetime, level: float) -> None:
        """Follow a new value, faster up than down."""
        old = self.fade(now)
        span = ATTACK if level > old else RELEASE
        part = 1 - math.exp(-max((now - self.at) / span, 0.02))
        self.level = old + part * (level - old)
        if abs(self.level - level) < SNAP:
            self.level = level
        self.at = now


@dataclass(slots=True)
class _Reach:
    """A pool that runs of a route reach."""

    seen: datetime
    calls: float

    def merge(self, now: datetime, calls: float) -> None:
        """Follow a new count of calls."""
        self.seen = now
        self.calls += REACH_SMOOTHING * (calls - self.calls)


@dataclass(slots=True)
class _Demand:
    """Arrivals of one workspace and what is refused of them."""

    weight: float
    count: int = 0
    rate: float = 0.0
    refused_part: float = 0.0
    # Sum of refused parts not yet turned into refusals.
    owed: float = 0.0


@dataclass(slots=True)
class _Split:
    """Arrivals for one pool and class by workspace."""

    at: datetime
    fraction: float = 0.0
    demands: dict[str, _Demand] = field(default_factory=dict)

    def record(self, now: datetime, workspace: str, weight: float) -> None:
        """Count an arrival."""
        count = (now - self.at) // MEASUREMENT_INTERVAL
        if count > 0:
            self._roll(count)
            self.at += count * MEASUREMENT_INTERVAL
        demand = self.demands.get(workspace)
        if demand is None:
            demand = self.demands[workspace] = _Demand(weight)
        demand.weight = weight
        demand.count += 1

    def decide(self, workspace: str, fraction: float) -> bool:
        """Return whether to refuse this arrival of the workspace."""
        if abs(fraction - self.fraction) > 0.01:
            self._share(fraction)
        demand = self.demands[workspace]
        demand.owed += demand.refused_part
        if demand.owed < 1:
            return False
        demand.owed -= 1
        return True

    def _roll(self, count: int) -> None:
        keep = 0.8 ** min(count, 50)
        for name, demand in list(self.demands.items()):
            fresh = demand.count / count
            demand.rate = keep * demand.rate + (1 - keep) * fresh
            demand.count = 0
            if demand.rate < 1e-3:
                del self.demands[name]
        self._share(self.fraction)

    def _share(self, fraction: float) -> None:
        """Cap the workspaces at a common rate for their weight."""
        self.fraction = fraction
        rates = {
            name: (demand.rate, demand.weight)
            for name, demand in self.demands.items()
        }
        cap = compute_rate_cap(rates, fraction)
        for demand in self.demands.values():
            allowed = cap * demand.weight
            over = demand.rate > allowed
            demand.refused_part = 1 - allowed / demand.rate if over else 0.0


def compute_rate_cap(
    rates: Mapping[str, tuple[float, float]],
    fraction: float,
) -> float:
    """Return the rate for weight 1 above which load is refused.

    ``rates`` has a rate and a weight for each workspace. With the cap,
    the given fraction of all load is refused, and a workspace below its
    fair share loses nothing.
    """
    left = (1 - fraction) * sum(rate for rate, _ in rates.values())
    weight = sum(weight for _, weight in rates.values())
    for rate, part in sorted(rates.values(), key=lambda rw: rw[0] / rw[1]):
        if rate * weight > left * part:
            return left / weight
        left -= rate
        weight -= part
    return math.inf


class PressureMap:
    """What one node knows of the pressure of pools."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._levels: dict[str, _Known] = {}
        self._routes: dict[str, dict[str, _Reach]] = {}
        self._splits: dict[tuple[str, Importance], _Split] = {}

    def observe(
        self,
        now: datetime,
        route: str,
        pressures: tuple[PoolPressure, ...],
    ) -> None:
        """Learn from a response which pools a route reaches."""
        pools = self._routes.setdefault(route, {})
        for pressure in pressures:
            reach = pools.get(pressure.pool)
            if reach is None:
                pools[pressure.pool] = _Reach(now, pressure.calls)
            else:
                reach.merge(now, pressure.calls)
            known = self._levels.get(pressure.pool)
            if known is None:
                known = _Known(0.0, now - FADE_END)
                self._levels[pressure.pool] = known
            known.merge(now, pressure.level)

    def decide(
        self,
        now: datetime,
        route: str,
        importance: Importance,
        workspace: str,
        weight: float,
    ) -> timedelta | None:
        """Return when to retry a root request that is refused.

        None lets the request in. Each root request must come here, as
        the workspaces' shares are counted here.
        """
        top = 0.0
        split: _Split | None = None
        for pool, reach in list(self._routes.get(route, {}).items()):
            if now - reach.seen > ROUTE_MEMORY:
                del self._routes[route][pool]
                continue
            key = (pool, importance)
            counted = self._splits.setdefault(key, _Split(now))
            counted.record(now, workspace, weight)
            level = self._levels[pool].fade(now)
            if level > top:
                top, split = level, counted
        if split is None or not self._is_refused(
            split,
            importance,
            workspace,
            top,
        ):
            return None
        return compute_retry_after(self._rng, top - importance)

    def find_calls_by_pool(self, route: str) -> Mapping[str, float]:
        """Return the calls that a run of a route makes, by pool."""
        reached = self._routes.get(route, {})
        return {pool: reach.calls for pool, reach in reached.items()}

    def collect(
        self,
        now: datetime,
        pools: Iterable[str],
    ) -> tuple[PoolPressure, ...]:
        """Return the levels of pools to send on with a response."""
        return tuple(
            PoolPressure(pool, known.fade(now) if known else 0.0)
            for pool in sorted(pools)
            for known in (self._levels.get(pool),)
        )

    def _is_refused(
        self,
        split: _Split,
        importance: Importance,
        workspace: str,
        level: float,
    ) -> bool:
        if importance != int(level):
            return importance < level
        return split.decide(workspace, level - int(level))
