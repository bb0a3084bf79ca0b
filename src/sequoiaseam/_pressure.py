"""Pressure of pools, measured at servers and applied to root requests."""

import math
import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._retry import compute_retry_after
from sequoiaseam._tables import Importance

CLASS_COUNT: Final = len(Importance)
# Part of the highest class is always admitted at the root, because its
# responses carry the level and thus show when servers recover.
LEVEL_MAX: Final = CLASS_COUNT - 0.05

# As in CoDel, a queue is standing if its delay stays above the target
# for a whole interval; shorter delays are bursts.
QUEUE_DELAY_TARGET: Final = timedelta(milliseconds=5)
MEASUREMENT_INTERVAL: Final = timedelta(milliseconds=100)

# Fraction of the excess load removed per interval. It is below 1 because
# the effect of a change is only visible after a round trip.
RAISE_GAIN: Final = 0.5
# A standing queue is removed over this many intervals. A queue that takes
# at most 2 intervals to serve is a burst and drains by itself.
QUEUE_DRAIN_INTERVALS: Final = 10
BURST_INTERVALS: Final = 2
LOWER_GAIN: Final = 0.7
# While slots stay free, each step down is larger than the previous one by
# this factor, so that an outdated demand estimate doesn't delay recovery.
LOWER_STEP_GROWTH: Final = 1.8
# Number of intervals until a change of level affects the arrivals.
FEEDBACK_DELAY_INTERVALS: Final = 3
# With a smaller fraction of slots free, the level isn't lowered, so that
# it doesn't oscillate around full load.
SPARE_FRACTION_MIN: Final = 0.05
# Classes with fewer requests per interval are readmitted in one step.
CLASS_LOAD_MIN: Final = 0.01
LOWER_STEP_MIN: Final = 0.005
LOWER_STEP_MAX: Final = 0.5
# Estimates average over about this many tickets, so that on servers with
# a low request rate they don't follow noise.
SMOOTHING_TICKETS: Final = 20
SMOOTHING_FACTOR_MIN: Final = 0.05
SMOOTHING_FACTOR_MAX: Final = 0.5
# Factor per interval for the load estimate of a class that is shed and
# can't be measured; it halves the estimate in about 0.66 s.
SHED_LOAD_DECAY: Final = 0.9

# The load of a class can't be measured if a smaller fraction is admitted.
MEASURABLE_FRACTION_MIN: Final = 0.05

# Levels that aren't updated decay to 0 between these ages.
DECAY_START_AGE: Final = timedelta(milliseconds=300)
DECAY_END_AGE: Final = timedelta(seconds=1)
# The levels that the domain's nodes have measured arrive twice a second.
DOMAIN_DECAY_START_AGE: Final = timedelta(milliseconds=700)
DOMAIN_DECAY_END_AGE: Final = timedelta(seconds=1.5)
RISE_TIME_CONSTANT: Final = timedelta(milliseconds=50)
FALL_TIME_CONSTANT: Final = timedelta(milliseconds=100)
# A smoothed level this close to the reported one is set to it, as
# otherwise a small fraction of a shed class would still be admitted.
LEVEL_TOLERANCE: Final = 0.005
ROUTE_POOL_LIFETIME: Final = timedelta(seconds=60)
# Rate, in requests per interval, from which a workspace has a fair share of
# its own at a node. The rate of one that sends less often than twice a second
# is a matter of chance.
MEASURABLE_RATE_MIN: Final = 0.2
# Before that many intervals, a low rate only means that it isn't known yet.
RATE_MEASUREMENT_INTERVALS: Final = 10
# Key of the others, which is no name of a workspace.
SPARSE_WORKSPACES: Final = ""
# Call counts are smoothed because each host counts a route's calls
# separately.
CALLS_SMOOTHING_FACTOR: Final = 0.1
# Call counts this far from the middle of their band, in bands, belong to
# another one. It is above 0.5 so that a count at an edge doesn't alternate.
BAND_EDGE: Final = 0.7
# Range of the bands. Call counts come from other nodes and may be any number.
BAND_CALLS_MIN: Final = 1 / 16
BAND_CALLS_MAX: Final = 1024.0
# The mix of routes changes slowly, and a node sees few requests of each.
BAND_LOAD_RETAINED: Final = 0.98
# A band of routes is admitted at least this fraction of the mean.
MEAN_ADMISSION_FRACTION_MIN: Final = 0.25
# Accuracy of the smallest admission, in halvings.
ADMISSION_HALVINGS: Final = 10


@dataclass(frozen=True, slots=True)
class PoolPressure:
    """Pressure level of a pool, from 0.0 (none) to 4.0.

    Importance classes below the integer part of the level are shed
    completely. Of the class equal to it, the fractional part is shed,
    starting with the workspaces that exceed their fair share the most.
    ``calls`` is the number of calls to the pool that one run of a route
    makes; it is 1 for the pool that runs the route.
    """

    pool: str
    level: float
    calls: float = 1.0


@dataclass(frozen=True, slots=True)
class RootRefusal:
    """Refusal of a root request, and what decided it.

    ``calls`` is the number of calls that its run would make to ``pool``.
    """

    retry_after: timedelta
    pool: str
    level: float
    calls: float


class PressureGauge:
    """Compute the pressure level of one backend server from its queue."""

    def __init__(self, now: datetime) -> None:
        self.level = 0.0
        self._interval_start = now
        self._arrivals = [0] * CLASS_COUNT
        self._starts = 0
        self._refusals = 0
        self._queue_emptied = False
        self._blocked = False
        self._start_rate = 0.0
        self._loads = [0.0] * CLASS_COUNT
        self._lower_steps = 0
        self._recent_levels = deque(
            [0.0] * FEEDBACK_DELAY_INTERVALS, maxlen=FEEDBACK_DELAY_INTERVALS
        )

    def record_arrival(self, importance: Importance) -> None:
        """Count an offered ticket."""
        self._arrivals[importance] += 1

    def record_start(self) -> None:
        """Count a ticket that starts."""
        self._starts += 1

    def record_refusal(self, importance: Importance) -> None:
        """Count a ticket refused because of a full queue or a deadline."""
        self._refusals += importance >= int(self.level)

    def record_queue(self, queued: Sequence[int]) -> None:
        """Record the number of waiting tickets by class.

        Tickets of classes that are already shed are ignored, so that
        they can't raise the level to the next class.
        """
        if not any(queued[int(self.level) :]):
            self._queue_emptied = True

    def record_empty_queue(self) -> None:
        """Record that no ticket is waiting."""
        self._queue_emptied = True

    def record_blocked(self) -> None:
        """Record that the queue is blocked by a ticket that runs alone.

        The delays and refusals of the interval don't indicate load then.
        """
        self._blocked = True

    def advance(
        self,
        now: datetime,
        queued: Sequence[int],
        oldest_age: timedelta,
        utilization: float,
    ) -> None:
        """Close the intervals that have ended and update the level.

        ``queued`` is the number of waiting tickets by class,
        ``oldest_age`` the time that the oldest has waited, and
        ``utilization`` the fraction of the concurrency limit in use.
        """
        count = (now - self._interval_start) // MEASUREMENT_INTERVAL
        if count <= 0:
            return
        self._interval_start += count * MEASUREMENT_INTERVAL
        self._update_estimates(count)
        waiting = sum(queued[int(self.level) :])
        is_standing = (
            waiting
            and not self._queue_emptied
            and oldest_age > QUEUE_DELAY_TARGET
        )
        if self._blocked:
            self._blocked = False
        elif is_standing or self._refusals:
            self._lower_steps = 0
            self._raise_level(waiting)
        elif utilization < 1 - SPARE_FRACTION_MIN or self._queue_emptied:
            for _ in range(min(count, 100)):
                self._lower_level(max(1 - utilization, SPARE_FRACTION_MIN))
        self._recent_levels.append(self.level)
        self._arrivals = [0] * CLASS_COUNT
        self._starts = 0
        self._refusals = 0
        self._queue_emptied = waiting == 0

    def _update_estimates(self, count: int) -> None:
        """Update the estimates of the start rate and the load by class."""
        observed = sum(self._arrivals) + self._starts
        smoothing = observed / count / SMOOTHING_TICKETS
        smoothing = min(
            SMOOTHING_FACTOR_MAX, max(SMOOTHING_FACTOR_MIN, smoothing)
        )
        smoothing = 1 - (1 - smoothing) ** min(count, 100)
        self._start_rate += smoothing * (
            self._starts / count - self._start_rate
        )
        for rank in range(CLASS_COUNT):
            level = min(self._recent_levels)
            admitted_fraction = min(1.0, max(0.0, rank + 1 - level))
            if admitted_fraction > MEASURABLE_FRACTION_MIN:
                load = self._arrivals[rank] / count / admitted_fraction
                self._loads[rank] += smoothing * (load - self._loads[rank])
            else:
                self._loads[rank] *= SHED_LOAD_DECAY**count

    def _get_admitted_fraction(self, rank: int) -> float:
        """Return the fraction of a class that the level admits."""
        return min(1.0, max(0.0, rank + 1 - self.level))

    def _sum_admitted_load(self, lowest_rank: int) -> float:
        """Return the load admitted from a class and all above it.

        The load is in arrivals per interval.
        """
        return sum(
            self._loads[rank] * self._get_admitted_fraction(rank)
            for rank in range(lowest_rank, CLASS_COUNT)
        )

    def _raise_level(self, queued: int) -> None:
        """Shed the arrivals in excess of starts, lowest class first."""
        excess = self._sum_admitted_load(int(self.level)) - self._start_rate
        standing_queue = max(0.0, queued - BURST_INTERVALS * self._start_rate)
        excess = RAISE_GAIN * (excess + standing_queue / QUEUE_DRAIN_INTERVALS)
        if excess <= 0:
            # The server is fast enough to drain the queue.
            return
        for rank in range(int(self.level), CLASS_COUNT):
            admitted_load = self._loads[rank] * self._get_admitted_fraction(
                rank
            )
            if admitted_load > excess:
                admitted_fraction = self._get_admitted_fraction(rank) * (
                    1 - excess / admitted_load
                )
                self.level = min(rank + 1 - admitted_fraction, LEVEL_MAX)
                return
            excess -= admitted_load
            self.level = min(rank + 1.0, LEVEL_MAX)
            # Don't shed from classes whose load the server can handle.
            if self._sum_admitted_load(rank + 1) <= self._start_rate:
                return

    def _lower_level(self, spare_fraction: float) -> None:
        """Readmit about as much load as the free slots can handle."""
        if not self.level:
            return
        capacity = self._start_rate / max(
            1 - spare_fraction, SPARE_FRACTION_MIN
        )
        rank = max(0, math.ceil(self.level) - 1)
        while rank and self._loads[rank] < CLASS_LOAD_MIN:
            self.level = float(rank)
            rank -= 1
        load = self._loads[rank]
        readmitted_load = LOWER_GAIN * spare_fraction * capacity
        step = readmitted_load / load if load > 0 else LOWER_STEP_MAX
        step = max(step, LOWER_STEP_MIN) * LOWER_STEP_GROWTH**self._lower_steps
        step = min(step, LOWER_STEP_MAX)
        self._lower_steps = min(self._lower_steps + 1, 20)
        self.level = max(0.0, self.level - step)


@dataclass(slots=True)
class _PoolLevel:
    """Pressure level of one pool, as reported in responses."""

    level: float
    updated_at: datetime

    def compute_decayed(self, now: datetime) -> float:
        """Return the level after its decay since the last update."""
        age = now - self.updated_at
        if age <= DECAY_START_AGE:
            return self.level
        remaining_fraction = (DECAY_END_AGE - age) / (
            DECAY_END_AGE - DECAY_START_AGE
        )
        return self.level * max(0.0, remaining_fraction)

    def update(self, now: datetime, level: float) -> None:
        """Move towards a new level; rise faster than fall."""
        decayed_level = self.compute_decayed(now)
        time_constant = (
            RISE_TIME_CONSTANT if level > decayed_level else FALL_TIME_CONSTANT
        )
        smoothing = 1 - math.exp(
            -max((now - self.updated_at) / time_constant, 0.02)
        )
        self.level = decayed_level + smoothing * (level - decayed_level)
        if abs(self.level - level) < LEVEL_TOLERANCE:
            self.level = level
        self.updated_at = now


@dataclass(slots=True)
class _ReachedPool:
    """A pool that a route calls, directly or through nested calls."""

    last_seen: datetime
    calls: float
    # Binary logarithm of the number of calls, rounded.
    band: int

    def update(self, now: datetime, calls: float) -> None:
        """Update the moving average of calls per run."""
        self.last_seen = now
        if calls == self.calls:
            return
        self.calls += CALLS_SMOOTHING_FACTOR * (calls - self.calls)
        magnitude = _measure_magnitude(self.calls)
        if abs(magnitude - self.band) > BAND_EDGE:
            self.band = round(magnitude)


def _measure_magnitude(calls: float) -> float:
    """Return the binary logarithm of a number of calls, within bounds."""
    return math.log2(min(BAND_CALLS_MAX, max(BAND_CALLS_MIN, calls)))


@dataclass(slots=True)
class _WorkspaceDemand:
    """Arrivals of one workspace and the fraction of them to refuse."""

    weight: float
    arrivals: int = 0
    rate: float = 0.0
    refused_fraction: float = 0.0
    # Sum of the refused fractions of arrivals, minus the refusals made.
    pending_refusals: float = 0.0


@dataclass(slots=True)
class _FairShare:
    """Fair sharing of one pool and class between workspaces."""

    interval_start: datetime
    # Number of intervals since the first arrival.
    intervals: int = 0
    fraction: float = 0.0
    demands: dict[str, _WorkspaceDemand] = field(default_factory=dict)
    # All workspaces whose rates at this node are too low to be measured.
    sparse_demand: _WorkspaceDemand = field(
        default_factory=lambda: _WorkspaceDemand(0.0)
    )

    def record(self, now: datetime, workspace: str, weight: float) -> None:
        """Count an arrival."""
        count = (now - self.interval_start) // MEASUREMENT_INTERVAL
        if count > 0:
            self._close_intervals(count)
            self.intervals += count
            self.interval_start += count * MEASUREMENT_INTERVAL
        demand = self.demands.get(workspace)
        if demand is None:
            demand = self.demands[workspace] = _WorkspaceDemand(weight)
        demand.weight = weight
        demand.arrivals += 1

    def should_refuse(self, workspace: str, fraction: float) -> bool:
        """Return whether to refuse the current arrival of a workspace."""
        if abs(fraction - self.fraction) > 0.01:
            self._apply_fraction(fraction)
        demand = self.demands[workspace]
        if demand.rate < MEASURABLE_RATE_MIN and self.intervals >= (
            RATE_MEASUREMENT_INTERVALS
        ):
            demand = self.sparse_demand
        demand.pending_refusals += demand.refused_fraction
        if demand.pending_refusals < 1:
            return False
        demand.pending_refusals -= 1
        return True

    def _close_intervals(self, count: int) -> None:
        retained_fraction = 0.8 ** min(count, 50)
        for name, demand in list(self.demands.items()):
            interval_rate = demand.arrivals / count
            demand.rate = (
                retained_fraction * demand.rate
                + (1 - retained_fraction) * interval_rate
            )
            demand.arrivals = 0
            if demand.rate < 1e-3:
                del self.demands[name]
        if not self.demands:
            # Refusals that are due from an earlier surge don't count.
            self.sparse_demand.pending_refusals = 0.0
        self._apply_fraction(self.fraction)

    def _apply_fraction(self, fraction: float) -> None:
        """Cap all workspaces at the same rate relative to their weight.

        Those with a low rate are capped together. Without any other they
        make up the whole load, also if none of them arrived lately.
        """
        self.fraction = fraction
        sparse = self.sparse_demand
        sparse.rate = sparse.weight = 0.0
        measured: dict[str, _WorkspaceDemand] = {}
        for name, demand in self.demands.items():
            if demand.rate < MEASURABLE_RATE_MIN:
                sparse.rate += demand.rate
                sparse.weight += demand.weight
            else:
                measured[name] = demand
        rates = {
            name: (demand.rate, demand.weight)
            for name, demand in measured.items()
        }
        if sparse.weight > 0:
            rates[SPARSE_WORKSPACES] = (sparse.rate, sparse.weight)
        rate_cap = compute_rate_cap(rates, fraction)
        for demand in (*measured.values(), sparse):
            allowed_rate = rate_cap * demand.weight
            exceeds_cap = demand.rate > allowed_rate
            demand.refused_fraction = (
                1 - allowed_rate / demand.rate if exceeds_cap else 0.0
            )
        if not measured:
            sparse.refused_fraction = fraction


@dataclass(slots=True)
class _CostBand:
    """Root requests of one class that make about as many calls to a pool."""

    fair_share: _FairShare
    # Requests of the current interval and the calls that they make.
    arrivals: int = 0
    calls: float = 0.0
    # The same per interval.
    rate: float = 0.0
    load: float = 0.0
    refused_fraction: float = 0.0


@dataclass(slots=True)
class _CostOrder:
    """Order of refusal of the root requests for one pool and class.

    Those that make most calls to the pool are refused first, as refusing
    one of them leaves room for several others. Among those that make
    about as many calls, the fair shares of workspaces decide.
    """

    interval_start: datetime
    fraction: float = 0.0
    bands: dict[int, _CostBand] = field(default_factory=dict)

    def record(
        self,
        now: datetime,
        reached_pool: _ReachedPool,
        workspace: str,
        weight: float,
    ) -> _CostBand:
        """Count an arrival; return its band."""
        count = (now - self.interval_start) // MEASUREMENT_INTERVAL
        if count > 0:
            self.interval_start += count * MEASUREMENT_INTERVAL
            self._close_intervals(count)
        number = reached_pool.band
        band = self.bands.get(number)
        if band is None:
            band = self.bands[number] = _CostBand(_FairShare(now))
            self._apply_fraction(self.fraction)
        band.arrivals += 1
        band.calls += reached_pool.calls
        band.fair_share.record(now, workspace, weight)
        return band

    def should_refuse(
        self, band: _CostBand, workspace: str, fraction: float
    ) -> bool:
        """Return whether to refuse the current arrival of a workspace."""
        if len(self.bands) == 1:
            return band.fair_share.should_refuse(workspace, fraction)
        if abs(fraction - self.fraction) > 0.01:
            self._apply_fraction(fraction)
        return band.fair_share.should_refuse(workspace, band.refused_fraction)

    def _close_intervals(self, count: int) -> None:
        retained: float = BAND_LOAD_RETAINED ** min(count, 1000)
        for number, band in list(self.bands.items()):
            band.rate = retained * band.rate + (1 - retained) * (
                band.arrivals / count
            )
            band.load = retained * band.load + (1 - retained) * (
                band.calls / count
            )
            band.arrivals = 0
            band.calls = 0.0
            if band.rate < 1e-6 and len(self.bands) > 1:
                del self.bands[number]
        self._apply_fraction(self.fraction)

    def _apply_fraction(self, fraction: float) -> None:
        self.fraction = fraction
        if not fraction or len(self.bands) == 1:
            return
        numbers = sorted(self.bands, reverse=True)
        refused_fractions = divide_refusals(
            [
                (self.bands[number].rate, self.bands[number].load)
                for number in numbers
            ],
            fraction,
        )
        for number, refused_fraction in zip(
            numbers, refused_fractions, strict=True
        ):
            self.bands[number].refused_fraction = refused_fraction


def divide_refusals(
    demands: Sequence[tuple[float, float]], fraction: float
) -> list[float]:
    """Return the fraction of each demand to refuse, the first ones first.

    ``demands`` are pairs of a request rate and the load that it causes. The
    given fraction of the whole load is refused, but no demand is admitted
    less than a quarter as often as the mean request.
    """
    if not sum(load for _, load in demands):
        return [fraction] * len(demands)
    refused = _refuse_in_order(demands, fraction, 0.0)
    if _is_admission_fair(demands, refused):
        return refused
    lowest, highest = 0.0, 1 - fraction
    for _ in range(ADMISSION_HALVINGS):
        admitted_min = (lowest + highest) / 2
        refused = _refuse_in_order(demands, fraction, admitted_min)
        if _is_admission_fair(demands, refused):
            highest = admitted_min
        else:
            lowest = admitted_min
    return _refuse_in_order(demands, fraction, highest)


def _refuse_in_order(
    demands: Sequence[tuple[float, float]],
    fraction: float,
    admitted_min: float,
) -> list[float]:
    """Refuse a fraction of the load; admit a fraction of each demand."""
    remaining = fraction * sum(load for _, load in demands)
    refused_fractions = []
    refused_max = 1 - admitted_min
    for _, load in demands:
        if remaining <= 0:
            refused_fractions.append(0.0)
            continue
        refused = min(refused_max, remaining / load if load else 1.0)
        refused_fractions.append(refused)
        # A demand below the maximum takes all the rest. The difference isn't
        # always 0 then: machine code may round its product and sum at once.
        remaining = (
            remaining - refused * load if refused >= refused_max else 0.0
        )
    return refused_fractions


def _is_admission_fair(
    demands: Sequence[tuple[float, float]], refused_fractions: Sequence[float]
) -> bool:
    """Return whether each demand is admitted a quarter of the mean or more."""
    requests = admitted = 0.0
    for (rate, _), refused in zip(demands, refused_fractions, strict=True):
        requests += rate
        admitted += rate * (1 - refused)
    admitted_min = MEAN_ADMISSION_FRACTION_MIN * admitted
    return (1 - max(refused_fractions)) * requests >= admitted_min


def compute_rate_cap(
    rates: Mapping[str, tuple[float, float]],
    fraction: float,
) -> float:
    """Return the rate per unit of weight above which load is refused.

    ``rates`` has a rate and a weight for each workspace. The cap refuses
    the given fraction of the total load (max-min fairness): a workspace
    below its fair share isn't limited.
    """
    remaining_rate = (1 - fraction) * sum(rate for rate, _ in rates.values())
    remaining_weight = sum(weight for _, weight in rates.values())
    for rate, own_weight in sorted(
        rates.values(), key=lambda rw: rw[0] / rw[1]
    ):
        if rate * remaining_weight > remaining_rate * own_weight:
            return remaining_rate / remaining_weight
        remaining_rate -= rate
        remaining_weight -= own_weight
    return math.inf


class PressureMap:
    """Pressure levels of pools and the pools of routes, as seen by a node."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._levels: dict[str, _PoolLevel] = {}
        # Mean levels in this failure domain, and when they arrived.
        self._domain_levels: Mapping[str, float] = {}
        self._domain_levels_at: datetime | None = None
        self._route_pools: dict[str, dict[str, _ReachedPool]] = {}
        self._cost_orders: dict[tuple[str, Importance], _CostOrder] = {}

    def observe(
        self,
        now: datetime,
        route: str,
        pressures: tuple[PoolPressure, ...],
    ) -> None:
        """Update levels and the pools of a route from a response."""
        pools = self._route_pools.setdefault(route, {})
        for pressure in pressures:
            reached_pool = pools.get(pressure.pool)
            if reached_pool is None:
                pools[pressure.pool] = _ReachedPool(
                    now,
                    pressure.calls,
                    round(_measure_magnitude(pressure.calls)),
                )
            else:
                reached_pool.update(now, pressure.calls)
            pool_level = self._levels.get(pressure.pool)
            if pool_level is None:
                pool_level = _PoolLevel(0.0, now - DECAY_END_AGE)
                self._levels[pressure.pool] = pool_level
            pool_level.update(now, pressure.level)

    def observe_domain(
        self, now: datetime, levels: Mapping[str, float]
    ) -> None:
        """Set the levels that all nodes of the domain have measured."""
        self._domain_levels = levels
        self._domain_levels_at = now

    def _measure_level(self, now: datetime, pool: str) -> float:
        """Return the higher of this node's level and that of the domain."""
        pool_level = self._levels.get(pool)
        own_level = pool_level.compute_decayed(now) if pool_level else 0.0
        if self._domain_levels_at is None or pool not in self._domain_levels:
            return own_level
        remaining_fraction = (
            DOMAIN_DECAY_END_AGE - (now - self._domain_levels_at)
        ) / (DOMAIN_DECAY_END_AGE - DOMAIN_DECAY_START_AGE)
        domain_level = self._domain_levels[pool] * min(
            1.0, max(0.0, remaining_fraction)
        )
        return max(own_level, domain_level)

    def decide(
        self,
        now: datetime,
        route: str,
        importance: Importance,
        workspace: str,
        weight: float,
    ) -> RootRefusal | None:
        """Return the refusal of a root request, None if it is admitted.

        This must be called for each root request, because it counts the
        arrivals from which the order of refusal within a class and the
        fair shares of workspaces are computed.
        """
        highest_level = 0.0
        limiting_pool = ""
        limiting_order: _CostOrder | None = None
        limiting_band: _CostBand | None = None
        reached_pools = self._route_pools.get(route, {})
        for pool, reached_pool in list(reached_pools.items()):
            if now - reached_pool.last_seen > ROUTE_POOL_LIFETIME:
                del reached_pools[pool]
                continue
            key = (pool, importance)
            order = self._cost_orders.get(key)
            if order is None:
                order = self._cost_orders[key] = _CostOrder(now)
            band = order.record(now, reached_pool, workspace, weight)
            level = self._measure_level(now, pool)
            if level > highest_level:
                highest_level, limiting_pool = level, pool
                limiting_order, limiting_band = order, band
        if limiting_order is None or limiting_band is None:
            return None
        if importance == int(highest_level):
            is_refused = limiting_order.should_refuse(
                limiting_band, workspace, highest_level - importance
            )
        else:
            is_refused = importance < highest_level
        if not is_refused:
            return None
        return RootRefusal(
            compute_retry_after(self._rng, highest_level - importance),
            limiting_pool,
            highest_level,
            reached_pools[limiting_pool].calls,
        )

    def find_calls_by_pool(self, route: str) -> Mapping[str, float]:
        """Return the average calls that one run of a route makes, by pool."""
        reached_pools = self._route_pools.get(route, {})
        return {
            pool: reached_pool.calls
            for pool, reached_pool in reached_pools.items()
        }

    def collect(
        self,
        now: datetime,
        pools: Iterable[str],
    ) -> tuple[PoolPressure, ...]:
        """Return the levels of pools to include in a response."""
        return tuple(
            PoolPressure(pool, self._measure_level(now, pool))
            for pool in sorted(pools)
        )
