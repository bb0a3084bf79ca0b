"""Load balancing among the members of a pool."""

import enum
import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._commands import Member, MemberState
from sequoiaseam._load_estimate import (
    CALLERS_PER_MEMBER_MIN,
    CANDIDATES_MAX,
    LoadEstimate,
    PoolLoad,
    compute_capacity_ratio,
    compute_local_speed_fraction,
    compute_rank,
    find_usual_capacity,
    limit_slowness,
    sample_candidates,
)
from sequoiaseam._server_load import PACE_MAX, PACE_MIN, PACE_USUAL

RAMP_DURATION: Final = timedelta(seconds=10)
RAMP_START_FRACTION: Final = 0.1
# Members in another failure domain or region are only chosen if their
# scores are better by these factors.
OTHER_DOMAIN_PENALTY: Final = 1.3
OTHER_REGION_PENALTY: Final = 3.0
# Up to this mean load of the members in the same failure domain, a call
# doesn't wait for a slot there, so that it gains nothing elsewhere.
LOCAL_LOAD_MAX: Final = 0.7
# With a higher mean load, a call leaves the domain if the one elsewhere is
# lower by this much. A load that exceeds the slots by this fraction costs a
# wait of the same fraction of the mean service time.
LOAD_ADVANTAGE_MIN: Final = 0.2
# A call also leaves the domain rather than take this many times as long as
# at a member of mean speed.
LOCAL_SLOWNESS_MAX: Final = 1.5
# The same for a member that has not responded for this many mean latencies;
# calls of a pool differ in length.
LOCAL_SILENCE_MAX: Final = 4.0
# Load that counts as much as all calls being refused or failing.
UNSUCCESSFUL_LOAD: Final = 4.0
# A report above this is taken as this, so that none decides alone.
REPORTED_LOAD_MAX: Final = 2.0
LOCALITY_LOAD_LIFETIME: Final = timedelta(seconds=3)
# Fraction of each report in the mean load of a domain's members.
LOCALITY_SMOOTHING_FACTOR: Final = 0.1
SMOOTHING_FACTOR: Final = 0.2
# The slowness of a member that isn't chosen decays with this half-life once
# it is this old, so that one slow call doesn't exclude a member for good.
SLOWNESS_HALF_LIFE: Final = timedelta(seconds=5)
# Mean latency of a pool that isn't known yet.
LATENCY_DEFAULT_S: Final = 0.01
LATENCY_MIN_S: Final = 1e-6
MEAN_SMOOTHING_FACTOR: Final = 0.05
# A member without a slowness is assumed to be faster than the fastest one,
# so that it is tried early, even in another failure domain.
UNKNOWN_SLOWNESS_FACTOR: Final = 0.5
# Calls that are refused or fail quickly must not attract more calls. Their
# rate decays with a half-life of 4 s, because a member that is avoided for
# it gets no calls that would lower it.
UNSUCCESSFUL_PENALTY: Final = 8.0
UNSUCCESSFUL_RATE_MIN: Final = 0.02
UNSUCCESSFUL_RATE_HALF_LIFE: Final = timedelta(seconds=4)
# A reported load may be false, so it can at most halve a member's share.
REPORTED_LOAD_WEIGHT: Final = 1.0
REPORTED_LOAD_LIFETIME: Final = timedelta(seconds=2)
# A call whose objective is shorter than this many mean latencies of its pool
# prefers members that are fast at this moment.
SHORT_OBJECTIVE_LATENCIES: Final = 10.0
# A member that reports less than this has capacity for more calls.
CAPACITY_LOAD_MAX: Final = 0.7
# Bounds the calculation with a false capacity.
REPORTED_CAPACITY_MAX: Final = 100_000
CONSECUTIVE_FAILURES_TO_EJECT: Final = 3
FAILURE_RATE_MAX: Final = 0.5
FAILURE_RATE_SAMPLES: Final = 20
EJECTION_DURATION_BASE: Final = timedelta(seconds=1)
EJECTION_DURATION_MAX: Final = timedelta(seconds=30)
EJECTION_COUNT_LIFETIME: Final = timedelta(seconds=60)
# A probe of an ejected member without a result is repeated after this time.
PROBE_TIMEOUT: Final = timedelta(seconds=2)


class CallResult(enum.Enum):
    """How a call to a member ended."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    TIMEOUT = "timeout"
    LOST = "lost"


@dataclass(slots=True)
class _Peer:
    """Measurements that this node has made of one member."""

    member: Member
    ramp_started_at: datetime
    in_flight: int = 0
    # Time of the last response, or of the start of the first call in flight.
    last_heard_at: datetime | None = None
    # Moving average of the latency, relative to the mean latency of the
    # pool's members for the same kind of call.
    slowness: float | None = None
    slowness_updated_at: datetime | None = None
    # Moving average of calls that were refused or failed.
    unsuccessful_rate: float = 0.0
    last_result_at: datetime | None = None
    failure_rate: float = 0.0
    samples: int = 0
    consecutive_failures: int = 0
    unreachable: bool = False
    ejection_count: int = 0
    ejected_until: datetime | None = None
    ejected_at: datetime | None = None
    probe_started_at: datetime | None = None
    reported_load: float = 0.0
    reported_capacity: int = 0
    reported_pace: float = PACE_USUAL
    estimate: LoadEstimate = field(default_factory=LoadEstimate)
    load_reported_at: datetime | None = None
    # Whether the member's failure domain is evacuated, or was before the
    # current ramp.
    evacuated: bool = False
    was_evacuated: bool = False

    def is_available(self) -> bool:
        """Return whether the member may be called at all."""
        state = self.member.state
        serves = state in (MemberState.WARMING, MemberState.SERVING)
        return serves and not self.unreachable and not self.evacuated

    def set_evacuated(self, now: datetime, *, evacuated: bool) -> None:
        """Stop calling the member, or call it again, with a ramp.

        Results from before say little about the server by then.
        """
        if self.evacuated and not evacuated:
            self.ramp_started_at = now
            self.was_evacuated = True
            self.reset_failures()
        self.evacuated = evacuated

    def is_load_known(self, now: datetime) -> bool:
        """Return whether the member reported its load recently."""
        return (
            self.load_reported_at is not None
            and now - self.load_reported_at < REPORTED_LOAD_LIFETIME
        )

    def compute_unsuccessful_rate(self, now: datetime) -> float:
        """Return the recent rate of calls refused or failed."""
        if self.last_result_at is None:
            return 0.0
        age = (now - self.last_result_at) / UNSUCCESSFUL_RATE_HALF_LIFE
        unsuccessful_rate = self.unsuccessful_rate * math.exp2(-min(age, 60.0))
        # At low load, even a tiny difference would decide the choice.
        return (
            unsuccessful_rate
            if unsuccessful_rate > UNSUCCESSFUL_RATE_MIN
            else 0.0
        )

    def compute_ramp_fraction(self, now: datetime) -> float:
        """Return the fraction of a full share that the member may take."""
        return min(
            1.0,
            max(
                RAMP_START_FRACTION,
                (now - self.ramp_started_at) / RAMP_DURATION,
            ),
        )

    def reset_failures(self) -> None:
        """Discard the results from before an ejection or its end."""
        self.failure_rate = 0.0
        self.unsuccessful_rate = 0.0
        self.samples = 0
        self.consecutive_failures = 0


@dataclass(slots=True)
class _LocalityLoad:
    """Mean load of a pool's members in this or in other failure domains.

    Each node calls any single member too rarely to know its load.
    """

    load: float = 0.0
    unsuccessful_rate: float = 0.0
    reported_at: datetime | None = None

    def record_load(self, now: datetime, load: float) -> None:
        """Add a member's report; start anew after a time without any."""
        if not self.is_known(now):
            self.load, self.unsuccessful_rate = load, 0.0
        self.load += LOCALITY_SMOOTHING_FACTOR * (load - self.load)
        self.reported_at = now

    def record_result(self, *, unsuccessful: bool) -> None:
        """Add the result of a call."""
        self.unsuccessful_rate += LOCALITY_SMOOTHING_FACTOR * (
            unsuccessful - self.unsuccessful_rate
        )

    def is_known(self, now: datetime) -> bool:
        """Return whether a member reported its load recently."""
        return (
            self.reported_at is not None
            and now - self.reported_at < LOCALITY_LOAD_LIFETIME
        )

    def compute_excess(self) -> float:
        """Return the load beyond which calls wait or fail, 0 if none."""
        unsuccessful_load = UNSUCCESSFUL_LOAD * self.unsuccessful_rate
        return max(0.0, self.load + unsuccessful_load - LOCAL_LOAD_MAX)


@dataclass(slots=True)
class _PoolMembers:
    """Members of one pool, grouped by locality."""

    local: list[_Peer] = field(default_factory=list)
    other_domains: list[_Peer] = field(default_factory=list)
    other_regions: list[_Peer] = field(default_factory=list)
    has_many_callers: bool = False
    load: PoolLoad = field(default_factory=PoolLoad)
    refused: int = 0
    refused_with_capacity: int = 0

    def iterate(self) -> Iterable[_Peer]:
        """Yield all members."""
        yield from self.local
        yield from self.other_domains
        yield from self.other_regions

    def list_available(self) -> list[_Peer]:
        """Return the members that may be called, ejected ones included."""
        return [peer for peer in self.iterate() if peer.is_available()]

    def count(self) -> int:
        """Return the number of members."""
        return (
            len(self.local) + len(self.other_domains) + len(self.other_regions)
        )


@dataclass(frozen=True, slots=True)
class PoolBalance:
    """Loads of a pool's members that reported recently, and refusals.

    ``refused_with_capacity`` counts calls that a member refused while
    another one had reported a low load.
    """

    pool: str
    fullest: str
    fullest_load: float
    emptiest: str
    emptiest_load: float
    refused: int
    refused_with_capacity: int


class Balancer:
    """Choose members of pools by this node's own measurements."""

    def __init__(
        self,
        name: str,
        domain: str,
        region: str,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._domain = domain
        self._region = region
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._groups: dict[str, _PoolMembers] = {}
        # By pool and latency group; by pool alone with None as the group.
        self._mean_latencies_s: dict[tuple[str, str | None], float] = {}
        # By pool, and whether the members are in this failure domain.
        self._locality_loads: dict[tuple[str, bool], _LocalityLoad] = {}

    def update(
        self,
        now: datetime,
        members: Mapping[str, Member],
        evacuated_domains: Collection[str] = (),
    ) -> None:
        """Set the members of the pools that this node calls.

        Those in evacuated failure domains are never chosen.
        """
        peers: dict[str, _Peer] = {}
        for name, member in members.items():
            old = self._peers.get(name)
            if old is None or old.member.incarnation != member.incarnation:
                peers[name] = _Peer(member, now)
                peers[name].in_flight = old.in_flight if old else 0
            else:
                old.member = member
                peers[name] = old
            peers[name].set_evacuated(
                now, evacuated=member.domain in evacuated_domains
            )
        self._peers = peers
        former_groups, self._groups = self._groups, {}
        for peer in peers.values():
            self._add_to_group(peer)
        for pool, group in self._groups.items():
            self._limit_ejections(group)
            if pool in former_groups:
                former = former_groups[pool]
                group.load = former.load
                group.refused = former.refused
                group.refused_with_capacity = former.refused_with_capacity
            group.has_many_callers = (
                len(peers) >= CALLERS_PER_MEMBER_MIN * group.count()
            )

    def choose(
        self,
        now: datetime,
        pool: str,
        exclude: frozenset[str] = frozenset(),
        objective: timedelta | None = None,
    ) -> str | None:
        """Return the member to call, or None if there is none.

        A call with a short ``objective`` prefers fast members if many nodes
        call the pool.
        """
        group = self._groups.get(pool)
        if group is None:
            return None
        probed = self._find_probe_target(now, group, exclude)
        if probed is not None:
            probed.probe_started_at = now
            return probed.member.name
        if group.has_many_callers:
            shared = self._choose_by_share(now, pool, exclude, objective)
            return shared.member.name if shared else None
        if self._prefers_local(now, pool):
            local = self._choose_local(now, group, exclude)
            if local is not None:
                return local.member.name
        best: _Peer | None = None
        least = 0.0
        for peers, penalty in (
            (group.local, 1.0),
            (group.other_domains, OTHER_DOMAIN_PENALTY),
            (group.other_regions, OTHER_REGION_PENALTY),
        ):
            for peer in self._sample_two(peers, exclude):
                score = penalty * self._score(now, group, peer)
                if best is None or score < least:
                    best, least = peer, score
        return best.member.name if best else None

    def _choose_by_share(
        self,
        now: datetime,
        pool: str,
        exclude: frozenset[str],
        objective: timedelta | None,
    ) -> _Peer | None:
        """Return a member by this node's calls and the members' shares.

        Members of other regions are only called if there are no others.
        """
        group = self._groups[pool]
        local = _select_usable(group.local, exclude)
        usable = local
        if not local or self._rng.random() >= self._compute_local_fraction(
            now, group, local
        ):
            usable = local + _select_usable(group.other_domains, exclude)
        usable = usable or _select_usable(group.other_regions, exclude)
        if len(usable) < 2:
            return usable[0] if usable else None
        if len(usable) > CANDIDATES_MAX:
            indexes = sample_candidates(self._rng, len(usable))
            usable = [usable[index] for index in indexes]
        usual_capacity = find_usual_capacity(
            [peer.reported_capacity for peer in usable]
        )
        prefers_fast = self._is_short(pool, objective)
        best: _Peer | None = None
        least = 0.0
        for peer in usable:
            rank = compute_rank(
                self._rng,
                peer.in_flight,
                self._measure_slowness(now, group, peer),
                self._compute_share(now, group, peer, usual_capacity),
                prefers_fast=prefers_fast,
            )
            if best is None or rank < least:
                best, least = peer, rank
        return best

    def _compute_local_fraction(
        self, now: datetime, group: _PoolMembers, local: list[_Peer]
    ) -> float:
        """Return the part of the calls that stay in this failure domain."""
        fraction = group.load.compute_local_fraction(now)
        if fraction <= 0.0:
            return 0.0
        slowness = min(self._measure_slowness(now, group, p) for p in local)
        return fraction * compute_local_speed_fraction(slowness)

    def _is_short(self, pool: str, objective: timedelta | None) -> bool:
        """Return whether a pool's calls take much of an objective."""
        if not objective:
            return False
        mean_s = self._mean_latencies_s.get((pool, None), LATENCY_DEFAULT_S)
        return objective.total_seconds() < SHORT_OBJECTIVE_LATENCIES * mean_s

    def _measure_slowness(
        self, now: datetime, group: _PoolMembers, peer: _Peer
    ) -> float:
        """Return the slowness that this node has measured itself."""
        slowness = 1.0
        if peer.slowness is not None:
            slowness = self._estimate_slowness(now, group, peer)
        if peer.in_flight:
            silence = self._measure_silence(now, peer) / LOCAL_SILENCE_MAX
            slowness = max(slowness, silence)
        return limit_slowness(slowness)

    def _compute_share(
        self,
        now: datetime,
        group: _PoolMembers,
        peer: _Peer,
        usual_capacity: int,
    ) -> float:
        """Return a member's share, relative to that of an ordinary one."""
        share = peer.estimate.compute_share_factor(now, group.load.mean)
        if peer.reported_capacity != usual_capacity:
            share *= compute_capacity_ratio(
                peer.reported_capacity, usual_capacity
            )
        if now - peer.ramp_started_at < RAMP_DURATION:
            share *= max(peer.compute_ramp_fraction(now), group.load.ramp_min)
        if peer.unsuccessful_rate > UNSUCCESSFUL_RATE_MIN:
            unsuccessful_rate = peer.compute_unsuccessful_rate(now)
            share /= 1 + UNSUCCESSFUL_PENALTY * unsuccessful_rate
        return share

    def _prefers_local(self, now: datetime, pool: str) -> bool:
        """Return whether a call should stay in this failure domain.

        It stays there while it would not wait much less elsewhere.
        """
        local = self._get_locality_load(pool, local=True)
        if not local.is_known(now):
            return False
        excess = local.compute_excess()
        if not excess:
            return True
        elsewhere = self._get_locality_load(pool, local=False)
        return (
            elsewhere.is_known(now)
            and excess - elsewhere.compute_excess() < LOAD_ADVANTAGE_MIN
        )

    def _get_locality_load(self, pool: str, *, local: bool) -> _LocalityLoad:
        return self._locality_loads.setdefault((pool, local), _LocalityLoad())

    def _get_load_around(self, peer: _Peer) -> _LocalityLoad:
        """Return the mean load of the members that a peer is one of."""
        member = peer.member
        is_local = (
            member.domain == self._domain and member.region == self._region
        )
        return self._get_locality_load(member.pool, local=is_local)

    def _choose_local(
        self,
        now: datetime,
        group: _PoolMembers,
        exclude: frozenset[str],
    ) -> _Peer | None:
        """Return the better of two members in this failure domain.

        Return None if both are clearly slower than the pool's mean, or
        silent: there may be only one.
        """
        best: _Peer | None = None
        least = 0.0
        for peer in self._sample_two(group.local, exclude):
            if (
                peer.slowness or 0.0
            ) > LOCAL_SLOWNESS_MAX or self._measure_silence(
                now, peer
            ) > LOCAL_SILENCE_MAX:
                continue
            if (
                peer.was_evacuated
                and self._rng.random() >= peer.compute_ramp_fraction(now)
            ):
                # All members of the domain come back at once, so that none
                # of them would take the calls beyond the ramp.
                continue
            score = self._score(now, group, peer)
            if best is None or score < least:
                best, least = peer, score
        return best

    def start(self, now: datetime, name: str) -> None:
        """Record the start of a call to a member."""
        peer = self._peers.get(name)
        if peer is not None:
            if not peer.in_flight:
                peer.last_heard_at = now
            peer.in_flight += 1
            peer.estimate.record_start()

    def finish(
        self,
        now: datetime,
        name: str,
        result: CallResult,
        latency: timedelta,
        latency_group: str = "",
    ) -> None:
        """Update the measurements of a member at the end of a call.

        Calls of one ``latency_group`` take about the same time.
        """
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.in_flight = max(0, peer.in_flight - 1)
        peer.estimate.record_end()
        peer.last_heard_at = now
        unsuccessful = result is not CallResult.OK
        self._get_load_around(peer).record_result(unsuccessful=unsuccessful)
        peer.unsuccessful_rate = peer.compute_unsuccessful_rate(now)
        peer.unsuccessful_rate += SMOOTHING_FACTOR * (
            unsuccessful - peer.unsuccessful_rate
        )
        peer.last_result_at = now
        if result is CallResult.REFUSED:
            self._count_refusal(now, peer)
            # A refusal doesn't tell whether the server fails.
            peer.probe_started_at = None
            return
        if result in (CallResult.OK, CallResult.TIMEOUT):
            self._update_slowness(
                now, peer, latency.total_seconds(), latency_group
            )
        if peer.ejected_until is not None:
            self._finish_probe(now, peer, result)
        else:
            self._count_failure(now, peer, failed=result != CallResult.OK)

    def list_balances(self, now: datetime) -> list[PoolBalance]:
        """Return the balance of each pool with two recent reports."""
        balances = []
        for pool, group in self._groups.items():
            known = [p for p in group.iterate() if p.is_load_known(now)]
            if len(known) < 2:
                continue
            fullest = max(known, key=_get_reported_load)
            emptiest = min(known, key=_get_reported_load)
            balances.append(
                PoolBalance(
                    pool,
                    fullest.member.name,
                    fullest.estimate.load,
                    emptiest.member.name,
                    emptiest.estimate.load,
                    group.refused,
                    group.refused_with_capacity,
                )
            )
        return balances

    def _count_refusal(self, now: datetime, refusing: _Peer) -> None:
        group = self._groups[refusing.member.pool]
        group.refused += 1
        peers = [*group.local, *group.other_domains]
        # Of large pools, only some members are looked at for each refusal.
        for index in sample_candidates(self._rng, len(peers)):
            peer = peers[index]
            if (
                peer is not refusing
                and peer.is_available()
                and peer.is_load_known(now)
                and peer.estimate.load < CAPACITY_LOAD_MAX
            ):
                group.refused_with_capacity += 1
                return

    def mark_unreachable(self, now: datetime, name: str) -> None:  # noqa: ARG002
        """Stop calling a member whose connection is silent or closed."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.unreachable = True
            self._limit_ejections(self._groups[peer.member.pool])

    def mark_reachable(self, now: datetime, name: str) -> None:
        """Call a member again, with a ramp if it was unreachable."""
        peer = self._peers.get(name)
        if peer is not None and peer.unreachable:
            peer.unreachable = False
            peer.ramp_started_at = now

    def record_load(
        self,
        now: datetime,
        name: str,
        load: float,
        capacity: int = 0,
        pace: float = PACE_USUAL,
    ) -> None:
        """Record the load that a member reports, over 1 if calls wait.

        ``capacity`` is how many runs it allows at the same time, 0 if
        unknown, and ``pace`` the relative duration of its work.
        """
        peer = self._peers.get(name)
        if peer is not None and load == load:
            self._get_load_around(peer).record_load(
                now, min(REPORTED_LOAD_MAX, max(0.0, load))
            )
            peer.reported_load = min(1.0, max(0.0, load))
            peer.load_reported_at = now
            peer.reported_capacity = min(REPORTED_CAPACITY_MAX, capacity)
            peer.reported_pace = (
                min(PACE_MAX, max(PACE_MIN, pace))
                if pace == pace
                else PACE_USUAL
            )
            peer.estimate.record_report(
                now, load, peer.reported_capacity, peer.reported_pace
            )
            group = self._groups[peer.member.pool]
            group.load.record_report(
                now, load, is_local=peer.member.domain == self._domain
            )

    def _add_to_group(self, peer: _Peer) -> None:
        member = peer.member
        group = self._groups.setdefault(member.pool, _PoolMembers())
        if member.region != self._region:
            group.other_regions.append(peer)
        elif member.domain != self._domain:
            group.other_domains.append(peer)
        else:
            group.local.append(peer)

    def _sample_two(
        self,
        peers: list[_Peer],
        exclude: frozenset[str],
    ) -> list[_Peer]:
        usable = _select_usable(peers, exclude)
        if len(usable) < 2:
            return usable
        # The order is random because the first of equal scores is chosen.
        first = int(self._rng.random() * len(usable))
        second = int(self._rng.random() * (len(usable) - 1))
        second += second >= first
        return [usable[first], usable[second]]

    def _score(self, now: datetime, group: _PoolMembers, peer: _Peer) -> float:
        """Return the expected relative wait of another call.

        It is 1 for a member of mean speed without calls; lower is better.
        """
        # Avoid a silent member even before pings detect it: its responses
        # take at least as long as the silence has lasted.
        slowness = max(
            self._estimate_slowness(now, group, peer),
            self._measure_silence(now, peer),
        )
        score = (peer.in_flight + 1) * slowness
        score *= 1 + UNSUCCESSFUL_PENALTY * peer.compute_unsuccessful_rate(now)
        if (
            peer.load_reported_at
            and now - peer.load_reported_at < REPORTED_LOAD_LIFETIME
        ):
            score *= 1 + REPORTED_LOAD_WEIGHT * peer.reported_load
        return score / peer.compute_ramp_fraction(now)

    def _measure_silence(self, now: datetime, peer: _Peer) -> float:
        """Return the silence of a member with calls in flight.

        It is relative to the pool's mean latency, 0 without such calls.
        """
        if not peer.in_flight or peer.last_heard_at is None:
            return 0.0
        mean_latency_s = self._mean_latencies_s.get(
            (peer.member.pool, None), LATENCY_DEFAULT_S
        )
        silence = now - peer.last_heard_at
        return silence.total_seconds() / max(mean_latency_s, LATENCY_MIN_S)

    def _estimate_slowness(
        self, now: datetime, group: _PoolMembers, peer: _Peer
    ) -> float:
        """Return a member's expected latency relative to the pool's mean.

        An old value decays to a tenth; an unknown one is derived from
        the pool's lowest.
        """
        if peer.slowness is None or peer.slowness_updated_at is None:
            known = [
                p.slowness for p in group.iterate() if p.slowness is not None
            ]
            return UNKNOWN_SLOWNESS_FACTOR * min(known, default=1.0)
        age = (now - peer.slowness_updated_at) / SLOWNESS_HALF_LIFE
        if age < 1:
            return peer.slowness
        return peer.slowness * max(0.1, math.exp2(1 - age))

    def _update_slowness(
        self,
        now: datetime,
        peer: _Peer,
        latency_s: float,
        latency_group: str,
    ) -> None:
        pool = peer.member.pool
        mean_s = self._update_mean((pool, latency_group), latency_s)
        self._update_mean((pool, None), latency_s)
        slowness = latency_s / max(mean_s, LATENCY_MIN_S)
        if peer.slowness is None:
            peer.slowness = slowness
        peer.slowness += SMOOTHING_FACTOR * (slowness - peer.slowness)
        peer.slowness_updated_at = now

    def _update_mean(
        self, key: tuple[str, str | None], latency_s: float
    ) -> float:
        """Add a latency to a moving average and return the average."""
        mean_s = self._mean_latencies_s.get(key, latency_s)
        mean_s += MEAN_SMOOTHING_FACTOR * (latency_s - mean_s)
        self._mean_latencies_s[key] = mean_s
        return mean_s

    def _count_failure(
        self,
        now: datetime,
        peer: _Peer,
        *,
        failed: bool,
    ) -> None:
        peer.samples += 1
        smoothing = max(1 / peer.samples, 1 / FAILURE_RATE_SAMPLES)
        peer.failure_rate += smoothing * (failed - peer.failure_rate)
        peer.consecutive_failures = (
            peer.consecutive_failures + 1 if failed else 0
        )
        exceeds_rate = (
            peer.samples >= FAILURE_RATE_SAMPLES
            and peer.failure_rate > FAILURE_RATE_MAX
        )
        if (
            exceeds_rate
            or peer.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
        ):
            group = self._groups[peer.member.pool]
            if self._may_eject(group):
                self._eject(now, peer)

    def _may_eject(self, group: _PoolMembers) -> bool:
        peers = group.list_available()
        ejected = sum(p.ejected_until is not None for p in peers)
        return 2 * (ejected + 1) <= len(peers)

    def _eject(self, now: datetime, peer: _Peer) -> None:
        last_ejected_at = peer.ejected_at
        if (
            last_ejected_at is not None
            and now - last_ejected_at > EJECTION_COUNT_LIFETIME
        ):
            peer.ejection_count = 0
        # Bound the exponent so that the product can't overflow.
        duration = EJECTION_DURATION_BASE * 2 ** min(peer.ejection_count, 10)
        duration = min(duration, EJECTION_DURATION_MAX) * self._rng.uniform(
            0.8, 1.2
        )
        peer.ejection_count += 1
        peer.ejected_at = now
        peer.ejected_until = now + duration
        peer.probe_started_at = None
        peer.reset_failures()

    def _finish_probe(
        self,
        now: datetime,
        peer: _Peer,
        result: CallResult,
    ) -> None:
        """End or extend an ejection, depending on the probe's result."""
        if peer.probe_started_at is None:
            # The call started before the ejection.
            return
        peer.probe_started_at = None
        if result is not CallResult.OK:
            self._eject(now, peer)
            return
        peer.ejected_until = None
        peer.ramp_started_at = now
        peer.reset_failures()

    def _find_probe_target(
        self,
        now: datetime,
        group: _PoolMembers,
        exclude: frozenset[str],
    ) -> _Peer | None:
        for peer in group.iterate():
            if (
                peer.ejected_until is not None
                and now >= peer.ejected_until
                and peer.is_available()
                and peer.member.name not in exclude
                and not _is_probe_pending(now, peer)
            ):
                return peer
        return None

    def _limit_ejections(self, group: _PoolMembers) -> None:
        """End the oldest ejections while over half the pool is ejected.

        The proportion grows when other members leave, drain, become
        unreachable or are evacuated.
        """
        peers = group.list_available()
        ejected = sorted(
            (p for p in peers if p.ejected_until is not None),
            key=lambda p: p.ejected_at or p.ramp_started_at,
        )
        for peer in ejected[: max(0, len(ejected) - len(peers) // 2)]:
            peer.ejected_until = None
            peer.reset_failures()


def _get_reported_load(peer: _Peer) -> float:
    return peer.estimate.load


def _select_usable(peers: list[_Peer], exclude: frozenset[str]) -> list[_Peer]:
    return [
        peer
        for peer in peers
        if peer.ejected_until is None
        and peer.is_available()
        and peer.member.name not in exclude
    ]


def _is_probe_pending(now: datetime, peer: _Peer) -> bool:
    return (
        peer.probe_started_at is not None
        and now - peer.probe_started_at < PROBE_TIMEOUT
    )
