"""Choice among the members of a pool."""

import enum
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._commands import Member, MemberState

RAMP: Final = timedelta(seconds=10)
RAMP_START: Final = 0.1
# Members elsewhere are used only when they are this much better.
FAR_DOMAIN: Final = 1.3
FAR_REGION: Final = 3.0
# While a member of the own domain has this much room, calls stay there:
# traffic between domains costs more than a short wait.
NEAR_LOAD_MAX: Final = 0.7
SMOOTHING: Final = 0.2
# Latencies of members that aren't chosen fade to the pool's at this
# interval, so that one slow call doesn't exclude a member for good.
LATENCY_LIFETIME: Final = timedelta(seconds=5)
LATENCY_DEFAULT: Final = 0.01
# A member without a latency is tried early, even in another domain.
UNKNOWN_PART: Final = 0.5
# Fast refusals and errors must not attract more calls. The memory of
# them fades by half in 4 s, as nothing else brings calls back.
TROUBLE_PENALTY: Final = 8.0
TROUBLE_MIN: Final = 0.02
TROUBLE_FADE: Final = timedelta(seconds=4)
# A reported load may at most halve a member's share: it may be false.
HINT_WEIGHT: Final = 1.0
HINT_LIFETIME: Final = timedelta(seconds=2)
FAILURES_TO_EJECT: Final = 3
FAILURE_SHARE: Final = 0.5
FAILURE_SAMPLES: Final = 20
EJECTION_BASE: Final = timedelta(seconds=1)
EJECTION_MAX: Final = timedelta(seconds=30)
EJECTION_MEMORY: Final = timedelta(seconds=60)
# A trial whose result never comes is repeated after this time.
TRIAL_TIMEOUT: Final = timedelta(seconds=2)


class CallResult(enum.Enum):
    """How a call to a member ended."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    TIMEOUT = "timeout"
    LOST = "lost"


@dataclass(slots=True)
class _Peer:
    """What this node has measured of one member."""

    member: Member
    since: datetime
    in_flight: int = 0
    # Last answer, or start of the first call in flight.
    heard: datetime | None = None
    latency: float | None = None
    latency_at: datetime | None = None
    # Recent share of calls that were refused or failed.
    trouble: float = 0.0
    trouble_at: datetime | None = None
    failures: float = 0.0
    samples: int = 0
    consecutive: int = 0
    lost: bool = False
    ejections: int = 0
    ejected_until: datetime | None = None
    ejected_at: datetime | None = None
    trial_at: datetime | None = None
    load: float = 0.0
    load_at: datetime | None = None

    def is_open(self) -> bool:
        """Return whether calls may go to the member at all."""
        state = self.member.state
        serves = state in (MemberState.WARMING, MemberState.SERVING)
        return serves and not self.lost

    def fade_trouble(self, now: datetime) -> float:
        """Return the recent share of calls refused or failed."""
        if self.trouble_at is None:
            return 0.0
        age = (now - self.trouble_at) / TROUBLE_FADE
        trouble = self.trouble * math.exp2(-min(age, 60.0))
        # Without load the least difference would decide.
        return trouble if trouble > TROUBLE_MIN else 0.0

    def measure_ramp(self, now: datetime) -> float:
        """Return the part of a full share that the member may take."""
        return min(1.0, max(RAMP_START, (now - self.since) / RAMP))

    def has_room(self, now: datetime) -> bool:
        """Return whether the member told lately that it has room."""
        known = self.load_at is not None and now - self.load_at < HINT_LIFETIME
        return (
            known
            and self.load < NEAR_LOAD_MAX
            and not self.fade_trouble(now)
            and now - self.since >= RAMP
        )

    def reset_failures(self) -> None:
        """Forget results from before an ejection or its end."""
        self.failures = 0.0
        self.trouble = 0.0
        self.samples = 0
        self.consecutive = 0


@dataclass(slots=True)
class _Group:
    """Members of one pool by nearness."""

    near: list[_Peer] = field(default_factory=list)
    domain: list[_Peer] = field(default_factory=list)
    region: list[_Peer] = field(default_factory=list)

    def iterate(self) -> Iterable[_Peer]:
        """Yield all members."""
        yield from self.near
        yield from self.domain
        yield from self.region


class Balancer:
    """Choose members by this node's own measurements."""

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
        self._groups: dict[str, _Group] = {}

    def update(self, now: datetime, members: Mapping[str, Member]) -> None:
        """Take over the members of the pools that this node calls."""
        peers: dict[str, _Peer] = {}
        for name, member in members.items():
            old = self._peers.get(name)
            if old is None or old.member.incarnation != member.incarnation:
                peers[name] = _Peer(member, now)
                peers[name].in_flight = old.in_flight if old else 0
            else:
                old.member = member
                peers[name] = old
        self._peers = peers
        self._groups = {}
        for peer in peers.values():
            self._place(peer)
        for group in self._groups.values():
            self._restore_half(group)

    def choose(
        self,
        now: datetime,
        pool: str,
        exclude: frozenset[str] = frozenset(),
    ) -> str | None:
        """Return the member to call, or None when there is none."""
        group = self._groups.get(pool)
        if group is None:
            return None
        trial = self._find_trial(now, group, exclude)
        if trial is not None:
            trial.trial_at = now
            return trial.member.name
        near = self._choose_near(now, group, exclude)
        if near is not None:
            return near.member.name
        best: _Peer | None = None
        least = 0.0
        for peers, penalty in (
            (group.near, 1.0),
            (group.domain, FAR_DOMAIN),
            (group.region, FAR_REGION),
        ):
            for peer in self._sample(peers, exclude):
                score = penalty * self._score(now, group, peer)
                if best is None or score < least:
                    best, least = peer, score
        return best.member.name if best else None

    def _choose_near(
        self,
        now: datetime,
        group: _Group,
        exclude: frozenset[str],
    ) -> _Peer | None:
        """Return the better of two members nearby that have room."""
        best: _Peer | None = None
        least = 0.0
        for peer in self._sample(group.near, exclude):
            if not peer.has_room(now):
                continue
            score = self._score(now, group, peer)
            if best is None or score < least:
                best, least = peer, score
        return best

    def start(self, now: datetime, name: str) -> None:
        """Count a call to a member."""
        peer = self._peers.get(name)
        if peer is not None:
            if not peer.in_flight:
                peer.heard = now
            peer.in_flight += 1

    def finish(
        self,
        now: datetime,
        name: str,
        result: CallResult,
        latency: timedelta,
    ) -> None:
        """Learn from the end of a call."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.in_flight = max(0, peer.in_flight - 1)
        peer.heard = now
        trouble = result is not CallResult.OK
        peer.trouble = peer.fade_trouble(now)
        peer.trouble += SMOOTHING * (trouble - peer.trouble)
        peer.trouble_at = now
        if result is CallResult.REFUSED:
            # Says nothing of the server's errors.
            peer.trial_at = None
            return
        if result in (CallResult.OK, CallResult.TIMEOUT):
            self._learn_latency(now, peer, latency.total_seconds())
        if peer.ejected_until is not None:
            self._judge_trial(now, peer, result)
        else:
            self._count_failure(now, peer, failed=result != CallResult.OK)

    def mark_unreachable(self, now: datetime, name: str) -> None:  # noqa: ARG002
        """Stop using a member whose connection is silent or closed."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.lost = True

    def mark_reachable(self, now: datetime, name: str) -> None:
        """Use a member again, with a ramp if it had been lost."""
        peer = self._peers.get(name)
        if peer is not None and peer.lost:
            peer.lost = False
            peer.since = now

    def record_load(self, now: datetime, name: str, load: float) -> None:
        """Note the load from 0 to 1 that a member reports."""
        peer = self._peers.get(name)
        if peer is not None and load == load:
            peer.load = min(1.0, max(0.0, load))
            peer.load_at = now

    def _place(self, peer: _Peer) -> None:
        member = peer.member
        group = self._groups.setdefault(member.pool, _Group())
        if member.region != self._region:
            group.region.append(peer)
        elif member.domain != self._domain:
            group.domain.append(peer)
        else:
            group.near.append(peer)

    def _sample(
        self,
        peers: list[_Peer],
        exclude: frozenset[str],
    ) -> list[_Peer]:
        usable = [
            peer
            for peer in peers
            if peer.ejected_until is None
            and peer.is_open()
            and peer.member.name not in exclude
        ]
        if len(usable) < 2:
            return usable
        # In random order, because the first of equals is taken.
        first = int(self._rng.random() * len(usable))
        second = int(self._rng.random() * (len(usable) - 1))
        second += second >= first
        return [usable[first], usable[second]]

    def _score(self, now: datetime, group: _Group, peer: _Peer) -> float:
        """Return the expected wait of one more call; less is better."""
        latency = self._expect(now, group, peer)
        if peer.in_flight and peer.heard is not None:
            # A member that has gone silent is avoided before the pings
            # tell: its answers take at least as long as the silence.
            latency = max(latency, (now - peer.heard).total_seconds())
        score = (peer.in_flight + 1) * latency
        score *= 1 + TROUBLE_PENALTY * peer.fade_trouble(now)
        if peer.load_at and now - peer.load_at < HINT_LIFETIME:
            score *= 1 + HINT_WEIGHT * peer.load
        return score / peer.measure_ramp(now)

    def _expect(self, now: datetime, group: _Group, peer: _Peer) -> float:
        """Return the latency, which fades to the pool's best."""
        if peer.latency is None or peer.latency_at is None:
            known = [
                p.latency for p in group.iterate() if p.latency is not None
            ]
            return UNKNOWN_PART * min(known, default=LATENCY_DEFAULT)
        age = (now - peer.latency_at) / LATENCY_LIFETIME
        if age < 1:
            return peer.latency
        return peer.latency * max(0.1, math.exp2(1 - age))

    def _learn_latency(
        self,
        now: datetime,
        peer: _Peer,
        latency: float,
    ) -> None:
        if peer.latency is None:
            peer.latency = latency
        peer.latency += SMOOTHING * (latency - peer.latency)
        peer.latency_at = now

    def _count_failure(
        self,
        now: datetime,
        peer: _Peer,
        *,
        failed: bool,
    ) -> None:
        peer.samples += 1
        part = max(1 / peer.samples, 1 / FAILURE_SAMPLES)
        peer.failures += part * (failed - peer.failures)
        peer.consecutive = peer.consecutive + 1 if failed else 0
        many = (
            peer.samples >= FAILURE_SAMPLES and peer.failures > FAILURE_SHARE
        )
        if many or peer.consecutive >= FAILURES_TO_EJECT:
            group = self._groups[peer.member.pool]
            if self._may_eject(group):
                self._eject(now, peer)

    def _may_eject(self, group: _Group) -> bool:
        peers = list(group.iterate())
        ejected = sum(p.ejected_until is not None for p in peers)
        return 2 * (ejected + 1) <= len(peers)

    def _eject(self, now: datetime, peer: _Peer) -> None:
        last = peer.ejected_at
        if last is not None and now - last > EJECTION_MEMORY:
            peer.ejections = 0
        # The exponent is bounded so that the product can't overflow.
        span = EJECTION_BASE * 2 ** min(peer.ejections, 10)
        span = min(span, EJECTION_MAX) * self._rng.uniform(0.8, 1.2)
        peer.ejections += 1
        peer.ejected_at = now
        peer.ejected_until = now + span
        peer.trial_at = None
        peer.reset_failures()

    def _judge_trial(
        self,
        now: datetime,
        peer: _Peer,
        result: CallResult,
    ) -> None:
        """End or prolong an ejection by the result of its trial."""
        if peer.trial_at is None:
            # A call from before the ejection.
            return
        peer.trial_at = None
        if result is not CallResult.OK:
            self._eject(now, peer)
            return
        peer.ejected_until = None
        peer.since = now
        peer.reset_failures()

    def _find_trial(
        self,
        now: datetime,
        group: _Group,
        exclude: frozenset[str],
    ) -> _Peer | None:
        for peer in group.iterate():
            if (
                peer.ejected_until is not None
                and now >= peer.ejected_until
                and peer.is_open()
                and peer.member.name not in exclude
                and not _is_tried(now, peer)
            ):
                return peer
        return None

    def _restore_half(self, group: _Group) -> None:
        """Take back the oldest ejections when members have left."""
        peers = list(group.iterate())
        ejected = sorted(
            (p for p in peers if p.ejected_until is not None),
            key=lambda p: p.ejected_at or p.since,
        )
        for peer in ejected[: max(0, len(ejected) - len(peers) // 2)]:
            peer.ejected_until = None
            peer.reset_failures()


def _is_tried(now: datetime, peer: _Peer) -> bool:
    return peer.trial_at is not None and now - peer.trial_at < TRIAL_TIMEOUT
