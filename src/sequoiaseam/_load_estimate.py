"""Estimates of the load of members that many nodes call.

When many nodes choose among few members by the same old data, a choice of
the best one overloads the members in turn. Each node therefore spreads its
own calls in progress evenly, which it knows without delay, and old reports
change the shares of the members only a little.
"""

import math
import random
from collections.abc import Sequence
from datetime import datetime
from typing import Final

from sequoiaseam._server_load import PACE_MAX, PACE_MIN, PACE_USUAL

# Nodes for each member of a pool from which on a node's own calls tell it
# little about the load of the members.
CALLERS_PER_MEMBER_MIN: Final = 8
# More members than this are sampled for each call, which bounds its cost.
CANDIDATES_MAX: Final = 8
# A report with false figures can at most raise a share by this factor, or
# lower it. A raised share overloads one member; a lowered one is divided
# among the others.
SHARE_RAISE_MAX: Final = 1.1
SHARE_LOWER_MAX: Final = 2.5
# Load reports say nothing about the load after this time.
LOAD_LIFETIME_S: Final = 2.0
LOAD_MAX: Final = 2.0
# A neighbour slows a server for this long.
PACE_LIFETIME_S: Final = 0.6
# Logarithm of the change of a share for each load by which a member differs
# from the pool's mean. With three members at 0.74 of their slots and data
# 0.5 s old, the shares oscillate from 1.0 on.
LOAD_GAIN: Final = 0.3
# Members of a pool have about the same number of slots.
CAPACITY_RATIO_MAX: Final = 1.5
CAPACITY_RATIO_MIN: Final = 0.1
SLOWNESS_MAX: Final = 8.0
# Calls in progress weigh this much more than the random part of the choice.
IN_FLIGHT_WEIGHT: Final = 3.0
# Up to the first load, a call doesn't wait and stays in its failure domain;
# from the second one on, all members are chosen alike.
LOCAL_LOAD_MIN: Final = 0.55
LOCAL_LOAD_MAX: Final = 0.7
# From this slowness of its members on, no call stays there.
LOCAL_SLOWNESS_MAX: Final = 1.5
# From this mean load on, a member that returns gets more than its ramp allows,
# and at most this fraction of its share.
RAMP_LOAD_MIN: Final = 0.9
RAMP_MIN_MAX: Final = 0.5
SMOOTHING_TIME_S: Final = 1.0


class LoadEstimate:
    """What one node knows about the load of one member."""

    def __init__(self) -> None:
        self.load = 0.0
        self.capacity = 0
        self._pace = PACE_USUAL
        self._reported_at: datetime | None = None
        # Calls sent less those that have ended since the last report.
        self._sent_since = 0

    def record_start(self) -> None:
        """Count a call that was sent."""
        self._sent_since += 1

    def record_end(self) -> None:
        """Count a call that has ended."""
        self._sent_since -= 1

    def record_report(
        self, now: datetime, load: float, capacity: int, pace: float
    ) -> None:
        """Record what the member reports."""
        self.load = min(LOAD_MAX, max(0.0, load))
        self.capacity = capacity
        self._pace = min(PACE_MAX, max(PACE_MIN, pace))
        self._reported_at = now
        self._sent_since = 0

    def compute_share_factor(self, now: datetime, mean_load: float) -> float:
        """Return the factor of the member's share that its reports cause."""
        if self._reported_at is None:
            return 1.0
        age_s = max(0.0, (now - self._reported_at).total_seconds())
        if age_s >= LOAD_LIFETIME_S:
            return 1.0
        load = self.load
        if self.capacity:
            load += self._sent_since / self.capacity
        load = min(LOAD_MAX, max(0.0, load))
        trust = 1.0 - age_s / LOAD_LIFETIME_S
        factor = math.exp(LOAD_GAIN * trust * (mean_load - load))
        # A pace only lowers shares, those of the slowed members: a false one
        # must not attract calls.
        if age_s < PACE_LIFETIME_S and self._pace > PACE_USUAL:
            pace_trust = 1.0 - age_s / PACE_LIFETIME_S
            factor /= math.sqrt(1.0 + pace_trust * (self._pace - PACE_USUAL))
        return min(SHARE_RAISE_MAX, max(1.0 / SHARE_LOWER_MAX, factor))


class _SmoothedLoad:
    """Average of reported loads over time."""

    def __init__(self) -> None:
        self.load = 0.0
        self._reported_at: datetime | None = None

    def record(self, now: datetime, load: float) -> None:
        if self._reported_at is None:
            self.load = load
        else:
            age_s = max(0.0, (now - self._reported_at).total_seconds())
            weight = -math.expm1(-age_s / SMOOTHING_TIME_S)
            self.load += weight * (load - self.load)
        self._reported_at = now

    def get(self, now: datetime) -> float | None:
        """Return the average, None without a recent report."""
        if self._reported_at is None:
            return None
        age_s = (now - self._reported_at).total_seconds()
        return self.load if age_s < LOAD_LIFETIME_S else None


class PoolLoad:
    """Average loads of the members of a pool, as one node knows them."""

    def __init__(self) -> None:
        self._local = _SmoothedLoad()
        self._elsewhere = _SmoothedLoad()
        self._all = _SmoothedLoad()

    @property
    def mean(self) -> float:
        """Return the average of all members."""
        return self._all.load

    @property
    def ramp_min(self) -> float:
        """Return the least fraction of a share for a member that returns.

        If the others are overloaded, it gets more than its ramp allows.
        """
        return min(RAMP_MIN_MAX, max(0.0, self._all.load - RAMP_LOAD_MIN))

    def record_report(
        self, now: datetime, load: float, *, is_local: bool
    ) -> None:
        """Add the load that a member in or outside of this domain reports."""
        load = min(LOAD_MAX, max(0.0, load))
        self._all.record(now, load)
        (self._local if is_local else self._elsewhere).record(now, load)

    def compute_local_fraction(self, now: datetime) -> float:
        """Return the part of the calls that stay in this failure domain.

        The higher one of the loads here and elsewhere decides: a false low
        one doesn't overload the members here, and when some members are
        overloaded, all nodes spread their calls over all of them.
        """
        local = self._local.get(now)
        if local is None:
            return 0.0
        elsewhere = self._elsewhere.get(now)
        load = local if elsewhere is None else max(local, elsewhere)
        fraction = (LOCAL_LOAD_MAX - load) / (LOCAL_LOAD_MAX - LOCAL_LOAD_MIN)
        return min(1.0, max(0.0, fraction))


def compute_local_speed_fraction(slowness: float) -> float:
    """Return the part of the calls that stay with members of a slowness."""
    fraction = (LOCAL_SLOWNESS_MAX - slowness) / (LOCAL_SLOWNESS_MAX - 1.0)
    return min(1.0, max(0.0, fraction))


def limit_slowness(slowness: float) -> float:
    """Return a slowness within the bounds of its effect."""
    return min(SLOWNESS_MAX, max(1.0 / SLOWNESS_MAX, slowness))


def find_usual_capacity(capacities: list[int]) -> int:
    """Return the lower median of the known capacities, 0 without any.

    A mean would follow a single false capacity.
    """
    known = sorted(capacity for capacity in capacities if capacity)
    return known[(len(known) - 1) // 2] if known else 0


def compute_capacity_ratio(capacity: int, usual_capacity: int) -> float:
    """Return a capacity relative to the usual one, 1 if it is unknown."""
    if not capacity or not usual_capacity:
        return 1.0
    return min(
        CAPACITY_RATIO_MAX, max(CAPACITY_RATIO_MIN, capacity / usual_capacity)
    )


def compute_rank(
    rng: random.Random,
    in_flight: int,
    slowness: float,
    share: float,
    *,
    prefers_fast: bool,
) -> float:
    """Return the rank of a member for a call; the least is chosen.

    The minimum of exponential values is that of a member with a probability
    in proportion to its share and speed. A node with calls in progress thus
    spreads these evenly over the slots, and one without any chooses at
    random. Calls in progress already reflect the speed of the member, so
    that it has a lower weight there, except for a call that ``prefers_fast``.
    """
    drawn = -math.log(1.0 - rng.random())
    waiting = IN_FLIGHT_WEIGHT * in_flight
    if prefers_fast:
        return (waiting + drawn) * slowness * slowness / share
    return (waiting * math.sqrt(slowness) + drawn * slowness) / share


def sample_candidates(rng: random.Random, count: int) -> Sequence[int]:
    """Return the indexes of the members to compare."""
    if count <= CANDIDATES_MAX:
        return range(count)
    return [int(rng.random() * count) for _ in range(CANDIDATES_MAX)]
