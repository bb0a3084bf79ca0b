"""Workspace quota: one token bucket per workspace for the whole fleet.

The owner (the control leader) keeps the invariant
``level + outstanding <= burst`` for each workspace, where
``outstanding`` counts the tokens granted to nodes. Every token spent in
a window was outstanding or in the level when the window began, or was
refilled during it, so the total is at most ``burst + rate * window``.
Lost or delayed messages don't break this bound, because a node stops
using a grant before the owner stops counting it.

Amounts are integers in units of 1 / ``UNITS_PER_TOKEN`` token, and time
is in microseconds, so that rounding errors can't accumulate to an extra
token. Windows are measured by the owner's clock. Refilling 1% slower, to
allow for a clock that may be 1% fast, would refuse 2% of the requests
that are inside a workspace's rate.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._fallback_reserve import (
    RESERVATION_DURATION,
    FallbackReserve,
)
from sequoiaseam._quota_fallback import (
    FALLBACK_RATE_MIN,
    MILLI,
    OWNER_SILENCE_MIN,
    QuotaFallback,
)
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._tables import Workspace
from sequoiaseam.const import CLOCK_DRIFT_MAX, ELECTION_TIMEOUT_MIN

UNITS_PER_TOKEN: Final = 10**12
_MICROSECOND: Final = timedelta(microseconds=1)
_MICROSECONDS_PER_SECOND: Final = 10**6

GRANT_TTL: Final = timedelta(milliseconds=500)
# Shortens the lifetime of a grant at a node. The clocks of node and owner
# may each drift by CLOCK_DRIFT_MAX in opposite directions; the factor allows
# for twice that difference.
NODE_TTL_FACTOR: Final = 1 - 4 * CLOCK_DRIFT_MAX
# A new owner grants nothing for this long, as its predecessor may have
# issued grants until its leader lease expired.
TAKEOVER_WAIT: Final = (GRANT_TTL + ELECTION_TIMEOUT_MIN) * (
    1 + 4 * CLOCK_DRIFT_MAX
)

# A node counts arrivals over a window of two slots. It prefetches tokens
# for the demand of PREFETCH_TIME plus two round trips, but at least
# PREFETCH_TOKENS_MIN or the demand of the whole window if that is less.
DEMAND_WINDOW: Final = timedelta(milliseconds=400)
PREFETCH_TIME: Final = timedelta(milliseconds=200)
PREFETCH_TOKENS_MIN: Final = 8
_DEMAND_SLOT: Final = DEMAND_WINDOW / 2
# Minimum interval between asks while no request is waiting.
PREFETCH_INTERVAL_MIN: Final = timedelta(milliseconds=25)
# A node returns unused tokens after IDLE_TIMEOUT_MAX without a request,
# or earlier once IDLE_ARRIVALS_MISSED requests would have arrived at the
# recent rate, but not before IDLE_TIMEOUT_MIN.
IDLE_TIMEOUT_MAX: Final = DEMAND_WINDOW
IDLE_TIMEOUT_MIN: Final = timedelta(milliseconds=20)
IDLE_ARRIVALS_MISSED: Final = 10
# The owner keeps about the tokens refilled in this time for waiting
# requests instead of granting them for prefetching, so that a node that
# starts to receive a workspace's requests finds some.
RESERVE_TIME: Final = timedelta(milliseconds=100)
RESERVE_TOKENS_MIN: Final = 20
# A node with fewer arrivals in DEMAND_WINDOW doesn't prefetch: it asks
# for a token for each request.
PREFETCH_ARRIVALS_MIN: Final = 3

# Time after which a node sends an unanswered ask again. It doubles with
# each timeout, up to the maximum.
ASK_TIMEOUT: Final = timedelta(milliseconds=100)
ASK_TIMEOUT_MAX: Final = timedelta(milliseconds=400)
# Maximum time that a request waits for a token that the owner holds for
# it, or for any owner to answer. Covers about one leader election plus
# TAKEOVER_WAIT.
REQUEST_WAIT_MAX: Final = timedelta(seconds=2.5)
# The owner holds at most as many requests as the refill can serve in this
# time.
HELD_TIME_MAX: Final = timedelta(seconds=2)
WAITING_REQUESTS_MAX: Final = 10_000  # per workspace and node

RETRY_AFTER_MIN: Final = timedelta(milliseconds=2)
RETRY_AFTER_MAX: Final = timedelta(milliseconds=250)
# The pace is the time that a node with waiting requests lets pass before
# it asks again, to batch more requests into one ask. The owner adapts it
# so that all nodes together send about as many asks for a workspace as
# there are tokens refilled, within these limits per PACE_SLOT.
ASKS_PER_PACE_SLOT_MIN: Final = 10
ASKS_PER_PACE_SLOT_MAX: Final = 100
PACE_SLOT: Final = timedelta(milliseconds=100)
PACE_MIN: Final = RETRY_AFTER_MIN
PACE_MAX: Final = timedelta(milliseconds=100)
SESSION_TTL: Final = timedelta(seconds=10)
# The owner stops reserving tokens for a node that hasn't asked for this
# long. A node with held requests asks again after at most PACE_MAX or
# RETRY_AFTER_MAX.
OWED_TTL: Final = timedelta(milliseconds=400)

# Time constant of the exponential averages of granted tokens, from which the
# rates of the nodes' fallbacks follow.
GRANTED_TIME_CONSTANT: Final = timedelta(seconds=4)
# An ask that took this much longer than others of its node says nothing of
# what the node has spent since.
ASK_DELAY_MAX: Final = OWNER_SILENCE_MIN
# Time for which nodes may spend alone that a predecessor has answered.
FORMER_FALLBACK_DURATION: Final = RESERVATION_DURATION + (
    ELECTION_TIMEOUT_MIN * (1 + 4 * CLOCK_DRIFT_MAX)
)
_UNITS_PER_MILLI: Final = UNITS_PER_TOKEN // _MICROSECONDS_PER_SECOND // MILLI


@dataclass(frozen=True, slots=True)
class SendAsk:
    """Send the ask to the owner."""

    ask: QuotaAsk


@dataclass(frozen=True, slots=True)
class SendSettle:
    """Send the settlement to the owner."""

    settle: QuotaSettle


@dataclass(frozen=True, slots=True)
class Admit:
    """Let the request run; a token has been spent on it."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RefuseQuota:
    """Refuse the request, as it gets no token.

    ``inside_rate`` tells whether the owner counted the request as inside
    the workspace's rate; it is None if no owner answered.
    """

    request_id: int
    retry_after: timedelta
    inside_rate: bool | None


QuotaAction = SendAsk | SendSettle | Admit | RefuseQuota


@dataclass(slots=True)
class _RateAverage:
    """Exponential average of a number of tokens a second."""

    value: float = 0.0
    updated_at: datetime | None = None

    def add(self, now: datetime, tokens: int) -> None:
        """Count tokens; a negative number takes some back."""
        self.value = max(
            0.0,
            self.read(now) + tokens / GRANTED_TIME_CONSTANT.total_seconds(),
        )
        self.updated_at = now

    def read(self, now: datetime) -> float:
        """Return the average in tokens a second."""
        if self.updated_at is None:
            return 0.0
        age = max(timedelta(0), now - self.updated_at)
        return self.value * math.exp(-(age / GRANTED_TIME_CONSTANT))


@dataclass(slots=True)
class _Session:
    """The owner's state for one incarnation of a node."""

    last_ask_id: int
    last_asked_at: datetime
    granted: _RateAverage = field(default_factory=_RateAverage)
    # Least time from the sending of an ask to its receipt, as of the last
    # one. It includes the difference of the clocks.
    transit: timedelta | None = None
    # Number of requests that the ideal bucket admitted minus the tokens
    # granted to the node; negative while it holds prefetched tokens.
    credit: int = 0
    # Active grants: ask id to grant id.
    grants: dict[int, int] = field(default_factory=dict)

    def is_late(self, now: datetime, sent: datetime) -> bool:
        """Return whether an ask took long; call before updating the time."""
        transit = now - sent
        least = transit
        if self.transit is not None:
            drift = 2 * CLOCK_DRIFT_MAX * (now - self.last_asked_at)
            least = min(transit, self.transit + drift)
        self.transit = least
        return transit - least > ASK_DELAY_MAX


@dataclass(slots=True)
class _Bucket:
    """A workspace's token bucket; amounts are in units, not tokens."""

    refill_rate: int  # units per microsecond
    burst: int
    refilled_at: datetime
    level: int = 0
    outstanding: int = 0
    # Level of a reference bucket that is charged for each request as it
    # is reported and never has tokens outstanding. It decides whether a
    # request is inside the rate.
    ideal_level: int = 0
    # Grant id to (expiry, units, session key, ask id), ordered by expiry.
    grants: dict[int, tuple[datetime, int, tuple[str, int], int]] = field(
        default_factory=dict
    )
    sessions: dict[tuple[str, int], _Session] = field(default_factory=dict)
    # Sessions with a positive credit.
    owed_sessions: dict[tuple[str, int], _Session] = field(
        default_factory=dict
    )
    pace: timedelta = PACE_MIN
    pace_slot_start: datetime | None = None
    pace_slot_asks: int = 0
    granted: _RateAverage = field(default_factory=_RateAverage)
    reserve: FallbackReserve = field(default_factory=FallbackReserve)
    # Until when nodes that this owner hasn't heard of may spend what its
    # predecessor has allowed them, and the sum of the rates of the others.
    former_until: datetime | None = None
    former_heard_rate: int = 0

    def refill(self, now: datetime) -> None:
        """Add the tokens gained until ``now`` by the owner's clock."""
        if now <= self.refilled_at:
            return
        refilled = (now - self.refilled_at) // _MICROSECOND * self.refill_rate
        kept = self.reserve.advance(self.refilled_at, now)
        kept += self._count_former_units(now)
        self.refilled_at = now
        room = self.burst - self.outstanding
        self.level = max(0, min(self.level + max(0, refilled - kept), room))
        self.reserve.limit(max(0, room - self.level))
        self.ideal_level = min(self.ideal_level + refilled, self.burst)

    def _count_former_units(self, now: datetime) -> int:
        """Return what nodes may have spent that this owner doesn't know."""
        until = self.former_until
        if until is None or until <= self.refilled_at:
            return 0
        rate = max(0, self.refill_rate - self.former_heard_rate)
        return (min(now, until) - self.refilled_at) // _MICROSECOND * rate

    def end_reservation(
        self, now: datetime, key: tuple[str, int], *, is_unspent: bool
    ) -> None:
        """End what was kept back for a node, as it has asked."""
        kept = self.reserve.end(now, key)
        if is_unspent:
            room = self.burst - self.outstanding - self.reserve.units
            self.level = max(self.level, min(self.level + kept, room))

    def expire_grants(self, now: datetime) -> None:
        """Count grants that expired without a settlement as spent."""
        while self.grants:
            grant_id, (expires_at, _, _, _) = next(iter(self.grants.items()))
            if expires_at > now:
                return
            # The node could spend the tokens until the grant expired, so
            # they limit the refill up to that time.
            self.refill(expires_at)
            self.end_grant(grant_id, 0)

    def end_grant(self, grant_id: int, returned: int) -> None:
        """Remove a grant and put its unspent tokens back in the bucket."""
        _, units, session_key, ask_id = self.grants.pop(grant_id)
        returned_units = min(units, returned * UNITS_PER_TOKEN)
        self.outstanding -= units
        room = self.burst - self.outstanding
        self.level = max(0, min(self.level + returned_units, room))
        session = self.sessions.get(session_key)
        if session is not None:
            session.grants.pop(ask_id, None)
            session.credit += returned_units // UNITS_PER_TOKEN
            if returned_units:
                self.record_granted(
                    self.refilled_at,
                    session,
                    -(returned_units // UNITS_PER_TOKEN),
                )

    def record_granted(
        self, now: datetime, session: _Session, tokens: int
    ) -> None:
        """Count tokens that a node got, or returned if negative."""
        session.granted.add(now, tokens)
        self.granted.add(now, tokens)

    def count_owed_to_others(
        self, now: datetime, session_key: tuple[str, int]
    ) -> int:
        """Return the number of tokens owed to all other sessions."""
        for other_key, session in list(self.owed_sessions.items()):
            if now - session.last_asked_at > OWED_TTL:
                del self.owed_sessions[other_key]
        return sum(
            session.credit
            for other_key, session in self.owed_sessions.items()
            if other_key != session_key
        )

    def record_ask(self, now: datetime) -> None:
        """Count an ask; at the end of a slot, adapt the pace."""
        self.pace_slot_asks += 1
        if self.pace_slot_start is None:
            self.pace_slot_start = now
        if now - self.pace_slot_start < PACE_SLOT:
            return
        asks_by_rate = (
            self.refill_rate * (PACE_SLOT // _MICROSECOND) // UNITS_PER_TOKEN
        )
        asks_max = min(
            max(asks_by_rate, ASKS_PER_PACE_SLOT_MIN), ASKS_PER_PACE_SLOT_MAX
        )
        slots = (now - self.pace_slot_start) / PACE_SLOT
        load = self.pace_slot_asks / slots / asks_max
        # The pace may shrink by at most half per elapsed slot and grow at
        # most eightfold per adjustment.
        factor_min = 0.5 ** min(slots, 10.0)
        pace = self.pace * min(8.0, max(factor_min, load))
        self.pace = min(max(pace, PACE_MIN), PACE_MAX)
        self.pace_slot_start = now
        self.pace_slot_asks = 0


def _compute_refill_rate(rate: float) -> int:
    """Convert a rate in tokens per second to units per microsecond."""
    return int(rate * (UNITS_PER_TOKEN // _MICROSECONDS_PER_SECOND))


class QuotaOwner:
    """The token buckets at the control leader, for one term.

    A new owner doesn't know its predecessor's grants, so it starts with
    empty buckets and grants nothing until those grants have expired. The
    holder of a quota lease owns buckets too, for the time of its lease;
    it needs no ``takeover_wait``, as the leader waits before it leases.

    With ``keeps_former``, it also keeps back what nodes may spend that
    its predecessor has answered, until ``release_former`` or for
    FORMER_FALLBACK_DURATION.
    """

    def __init__(
        self,
        now: datetime,
        term: int,
        workspaces: Mapping[str, Workspace],
        *,
        takeover_wait: timedelta = TAKEOVER_WAIT,
        keeps_former: bool = False,
    ) -> None:
        self._term = term
        self._former_until = (
            now + FORMER_FALLBACK_DURATION if keeps_former else None
        )
        self._grants_from = now + takeover_wait
        self._next_grant_id = 1
        self._buckets: dict[str, _Bucket] = {}
        self.configure(now, workspaces)

    def configure(
        self,
        now: datetime,
        workspaces: Mapping[str, Workspace],
    ) -> None:
        """Apply changed rates and bursts from ``now`` on."""
        for name, workspace in workspaces.items():
            refill_rate, burst = (
                _compute_refill_rate(workspace.rate),
                workspace.burst * UNITS_PER_TOKEN,
            )
            bucket = self._buckets.get(name)
            if bucket is None:
                refilled_at = max(now, self._grants_from)
                bucket = _Bucket(
                    refill_rate,
                    burst,
                    refilled_at,
                    ideal_level=burst,
                    former_until=self._former_until,
                )
                self._buckets[name] = bucket
                continue
            bucket.expire_grants(now)
            bucket.refill(now)
            bucket.refill_rate, bucket.burst = refill_rate, burst
            room = burst - bucket.outstanding
            bucket.level = max(0, min(bucket.level, room))
            bucket.ideal_level = min(bucket.ideal_level, burst)
        for name in self._buckets.keys() - workspaces.keys():
            bucket = self._buckets[name]
            # Keep the bucket until its grants have ended, in case the
            # workspace is added again before then.
            bucket.expire_grants(now)
            bucket.refill(now)
            bucket.refill_rate = bucket.burst = bucket.level = (
                bucket.ideal_level
            ) = 0

    def release_former(self, now: datetime) -> None:
        """Record that all nodes that may have spent alone can ask again."""
        if self._former_until is None:
            return
        self._former_until = None
        for bucket in self._buckets.values():
            bucket.refill(now)
            bucket.former_until = None

    def ask(self, now: datetime, ask: QuotaAsk) -> QuotaGrant:
        """Grant available tokens; duplicate and outdated asks get none."""
        if ask.sent is None:
            # The nodes of this fleet have no fallback.
            self.release_former(now)
        grant = self._process_ask(now, ask)
        return (
            replace(grant, opening=True) if now < self._grants_from else grant
        )

    def _process_ask(self, now: datetime, ask: QuotaAsk) -> QuotaGrant:
        bucket = self._buckets.get(ask.workspace)
        if bucket is None:
            # Before it grants, a new owner may not have applied all edits.
            is_opening = now < self._grants_from
            return self._build_grant(
                ask,
                0,
                retry_after=RETRY_AFTER_MAX,
                fallback_rate=ask.fallback_rate if is_opening else 0,
            )
        bucket.expire_grants(now)
        bucket.refill(now)
        bucket.record_ask(now)
        session_key = (ask.node, ask.incarnation)
        session = bucket.sessions.get(session_key)
        if session is None:
            session = bucket.sessions[session_key] = _Session(0, now)
            bucket.former_heard_rate += _read_held_rate(bucket, ask)
        if ask.ask_id <= session.last_ask_id:
            return self._build_grant(ask, 0, retry_after=RETRY_AFTER_MIN)
        is_late = ask.sent is not None and session.is_late(now, ask.sent)
        is_unspent = not is_late and ask.unanswered_for < OWNER_SILENCE_MIN
        bucket.end_reservation(now, session_key, is_unspent=is_unspent)
        session.last_ask_id, session.last_asked_at = ask.ask_id, now
        _reclaim_abandoned(bucket, session, ask)
        session.credit += _charge_ideal_bucket(bucket, ask.arrived)
        tokens = self._issue_grant(now, bucket, session, ask)
        unserved = max(0, ask.waiting - tokens)
        inside_rate = self._count_inside_rate(now, bucket, session, unserved)
        held_max = (
            bucket.refill_rate
            * (HELD_TIME_MAX // _MICROSECOND)
            // UNITS_PER_TOKEN
        )
        room = max(0, held_max - bucket.count_owed_to_others(now, session_key))
        session.credit = min(session.credit, room)
        hold = max(0, session.credit)
        bucket.owed_sessions.pop(session_key, None)
        if hold:
            bucket.owed_sessions[session_key] = session
        return self._build_grant(
            ask,
            tokens,
            fallback_rate=self._allow_fallback(now, bucket, session, ask),
            inside=inside_rate,
            hold=hold,
            retry_after=self._estimate_wait(now, bucket),
            pace=bucket.pace,
        )

    def _allow_fallback(
        self,
        now: datetime,
        bucket: _Bucket,
        session: _Session,
        ask: QuotaAsk,
    ) -> int:
        """Return the rate of the node's fallback, in tokens per 1,000 s.

        As much is kept back until the node asks again.
        """
        if ask.sent is None:
            return 0
        session_key = (ask.node, ask.incarnation)
        held_rate = _read_held_rate(bucket, ask)
        former_until = bucket.former_until
        if now < self._grants_from or (
            former_until is not None and now < former_until
        ):
            # Other nodes may still spend the rest of the rate.
            rate = held_rate
        else:
            rate = _compute_fallback_rate(now, bucket, session)
        rate = min(
            rate, bucket.reserve.find_room(session_key, bucket.refill_rate)
        )
        if rate < _compute_refill_rate(FALLBACK_RATE_MIN):
            rate = 0
        starts_in = OWNER_SILENCE_MIN - ask.unanswered_for
        # The node goes on with the former rate if the answer is lost.
        bucket.reserve.promise(
            now,
            session_key,
            max(rate, held_rate),
            max(now, now + starts_in, self._grants_from),
        )
        return rate // _UNITS_PER_MILLI

    def settle(self, now: datetime, settle: QuotaSettle) -> None:
        """Apply a settlement; duplicate and late ones have no effect."""
        bucket = self._buckets.get(settle.workspace)
        if bucket is None or settle.owner_term != self._term:
            return
        bucket.expire_grants(now)
        bucket.refill(now)
        if settle.grant_id in bucket.grants:
            bucket.end_grant(settle.grant_id, settle.returned)

    def tick(self, now: datetime) -> None:
        """Remove expired state; call about once per second."""
        for name, bucket in list(self._buckets.items()):
            bucket.expire_grants(now)
            bucket.refill(now)
            idle_keys = [
                key
                for key, session in bucket.sessions.items()
                if now - session.last_asked_at > SESSION_TTL
            ]
            for key in idle_keys:
                del bucket.sessions[key]
                bucket.owed_sessions.pop(key, None)
            if bucket.burst == bucket.outstanding == 0:
                del self._buckets[name]

    def _issue_grant(
        self,
        now: datetime,
        bucket: _Bucket,
        session: _Session,
        ask: QuotaAsk,
    ) -> int:
        """Move tokens from the level to a new grant; return the number."""
        if now < self._grants_from:
            return 0
        available = bucket.level // UNITS_PER_TOKEN
        session_key = (ask.node, ask.incarnation)
        # Tokens owed to other nodes are for requests that arrived earlier
        # and are inside the rate; those take precedence over requests
        # beyond the rate.
        unowed = max(
            0, available - bucket.count_owed_to_others(now, session_key)
        )
        tokens = min(ask.waiting, available, max(unowed, session.credit))
        spare = (available - tokens) - _compute_reserve(bucket)
        # Grant at most half of the spare tokens for prefetching, so that
        # nodes that ask at the same time all get some.
        tokens += max(0, min(ask.want - ask.waiting, spare // 2))
        if not tokens:
            return 0
        units = tokens * UNITS_PER_TOKEN
        bucket.level -= units
        bucket.outstanding += units
        grant_id = self._next_grant_id
        bucket.grants[grant_id] = (
            now + GRANT_TTL,
            units,
            session_key,
            ask.ask_id,
        )
        session.grants[ask.ask_id] = grant_id
        bucket.record_granted(now, session, tokens)
        session.credit -= tokens
        self._next_grant_id += 1
        return tokens

    def _count_inside_rate(
        self,
        now: datetime,
        bucket: _Bucket,
        session: _Session,
        unserved: int,
    ) -> int:
        """Return how many of the unserved requests are inside the rate."""
        if now < self._grants_from:
            session.credit = unserved
            return unserved
        outstanding_tokens = sum(
            bucket.grants[grant_id][1] // UNITS_PER_TOKEN
            for grant_id in session.grants.values()
        )
        # Charge the ideal bucket for tokens spent beyond what it admitted;
        # otherwise it would promise more tokens than the level ever has.
        overspent = max(0, -outstanding_tokens - session.credit)
        bucket.ideal_level -= overspent * UNITS_PER_TOKEN
        session.credit = min(unserved, session.credit + overspent)
        return max(0, session.credit)

    def _estimate_wait(self, now: datetime, bucket: _Bucket) -> timedelta:
        """Return the time until the bucket has a token."""
        if now < self._grants_from:
            return min(
                max(self._grants_from - now, RETRY_AFTER_MIN), RETRY_AFTER_MAX
            )
        if not bucket.refill_rate:
            return RETRY_AFTER_MAX
        missing = max(0, UNITS_PER_TOKEN - bucket.level)
        wait = (missing // bucket.refill_rate + 1) * _MICROSECOND
        return max(wait, RETRY_AFTER_MIN)

    def _build_grant(
        self,
        ask: QuotaAsk,
        tokens: int,
        *,
        inside: int = 0,
        hold: int = 0,
        retry_after: timedelta,
        pace: timedelta = RETRY_AFTER_MIN,
        fallback_rate: int = 0,
    ) -> QuotaGrant:
        return QuotaGrant(
            node=ask.node,
            incarnation=ask.incarnation,
            workspace=ask.workspace,
            ask_id=ask.ask_id,
            owner_term=self._term,
            grant_id=self._next_grant_id - 1 if tokens else 0,
            tokens=tokens,
            ttl=GRANT_TTL,
            inside=inside,
            hold=hold,
            retry_after=retry_after,
            pace=pace,
            fallback_rate=fallback_rate,
        )


def _read_held_rate(bucket: _Bucket, ask: QuotaAsk) -> int:
    """Return the rate that the node's fallback may spend at."""
    return min(ask.fallback_rate * _UNITS_PER_MILLI, bucket.refill_rate)


def _compute_fallback_rate(
    now: datetime, bucket: _Bucket, session: _Session
) -> int:
    """Return a node's share of the rate, at most what it was granted."""
    granted = session.granted.read(now)
    total = max(granted, bucket.granted.read(now))
    share = granted / total if total else 0.0
    return min(_compute_refill_rate(granted), int(bucket.refill_rate * share))


def _reclaim_abandoned(
    bucket: _Bucket, session: _Session, ask: QuotaAsk
) -> None:
    """Return the tokens of grants that the node reports as abandoned."""
    if not ask.abandoned:
        return
    for ask_id in [i for i in session.grants if i >= ask.abandoned]:
        grant_id = session.grants[ask_id]
        units = bucket.grants[grant_id][1]
        bucket.end_grant(grant_id, units // UNITS_PER_TOKEN)


def _charge_ideal_bucket(bucket: _Bucket, arrived: int) -> int:
    """Charge the ideal bucket; return the number of admitted arrivals."""
    admitted = min(arrived, max(0, bucket.ideal_level // UNITS_PER_TOKEN))
    bucket.ideal_level -= admitted * UNITS_PER_TOKEN
    return admitted


def _compute_reserve(bucket: _Bucket) -> int:
    """Return the number of tokens reserved for waiting requests."""
    reserve_by_rate = (
        bucket.refill_rate * (RESERVE_TIME // _MICROSECOND) // UNITS_PER_TOKEN
    )
    return max(
        RESERVE_TOKENS_MIN,
        min(bucket.burst // UNITS_PER_TOKEN // 2, reserve_by_rate),
    )


@dataclass(slots=True)
class _LocalGrant:
    """The tokens of one grant at a node."""

    term: int
    grant_id: int
    remaining: int
    expires_at: datetime
    spent: int = 0


@dataclass(slots=True)
class _WaitingRequest:
    """A request that waits for a token."""

    request_id: int
    queued_at: datetime
    # Last ask that included the request.
    ask_id: int = 0
    # True once the owner holds the request as inside the rate.
    inside_rate: bool | None = None


@dataclass(slots=True)
class _WorkspaceAccount:
    """A node's state for one workspace."""

    waiting: deque[_WaitingRequest] = field(default_factory=deque)
    grants: list[_LocalGrant] = field(default_factory=list)
    # Arrivals: start of the current slot, counts for this and the
    # previous slot, time of the last arrival, and the number not yet
    # reported to the owner.
    demand_slot_start: datetime | None = None
    slot_arrivals: int = 0
    previous_slot_arrivals: int = 0
    last_arrival_at: datetime | None = None
    unreported_arrivals: int = 0
    # Number of unspent tokens to hold.
    prefetch_target: int = 0
    # The pending ask: its id, the time it was sent and the number of
    # arrivals it reports; then its timeout, the last round trip and the
    # first ask that has been abandoned since the last answer.
    ask_id: int = 0
    asked_at: datetime | None = None
    reported_arrivals: int = 0
    ask_timeout: timedelta = ASK_TIMEOUT
    round_trip: timedelta = timedelta(0)
    first_abandoned_ask_id: int = 0
    # Earliest time of the next ask, with and without waiting requests.
    next_ask_at: datetime | None = None
    next_prefetch_at: datetime | None = None
    retry_after: timedelta = RETRY_AFTER_MAX
    fallback: QuotaFallback = field(default_factory=QuotaFallback)

    def count_tokens(self) -> int:
        """Return the number of unspent tokens."""
        return sum(grant.remaining for grant in self.grants)

    def compute_idle_deadline(self) -> datetime | None:
        """Return when to return unspent tokens if no request arrives."""
        if self.last_arrival_at is None:
            return None
        slot_arrivals_max = max(
            self.previous_slot_arrivals, self.slot_arrivals, 1
        )
        wait = max(
            IDLE_TIMEOUT_MIN,
            IDLE_ARRIVALS_MISSED * _DEMAND_SLOT / slot_arrivals_max,
        )
        return self.last_arrival_at + min(wait, IDLE_TIMEOUT_MAX)


class QuotaSpender:
    """Spends granted tokens at a node; asks the owner before refusing.

    ``incarnation`` must differ after each restart of the node, so that a
    grant to an earlier process is not mistaken for the answer to a new
    ask. With ``use_fallback``, the node keeps admitting requests while no
    owner answers; workspaces may then slightly exceed their rate.
    """

    def __init__(
        self,
        node: str,
        incarnation: int = 0,
        *,
        use_fallback: bool = False,
    ) -> None:
        self._use_fallback = use_fallback
        self._node = node
        self._incarnation = incarnation
        self._accounts: dict[str, _WorkspaceAccount] = {}
        # One sequence for all workspaces, kept when idle accounts are
        # deleted, so that an id is never reused.
        self._last_ask_id = 0

    def request(
        self,
        now: datetime,
        workspace: str,
        request_id: int,
    ) -> tuple[QuotaAction, ...]:
        """Admit a root request, or queue it and ask the owner."""
        account = self._accounts.setdefault(workspace, _WorkspaceAccount())
        _record_arrival(account, now)
        actions = self._settle_expired(now, workspace, account)
        if len(account.waiting) >= WAITING_REQUESTS_MAX:
            refusal = RefuseQuota(request_id, account.retry_after, None)
            return (*actions, refusal)
        account.waiting.append(_WaitingRequest(request_id, now))
        actions += self._admit_waiting(now, workspace, account)
        return actions + self._ask_if_due(now, workspace, account)

    def cancel(self, workspace: str, request_id: int) -> None:
        """Remove a request from the queue."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.waiting = deque(
                w for w in account.waiting if w.request_id != request_id
            )

    def receive(
        self,
        now: datetime,
        grant: QuotaGrant,
    ) -> tuple[QuotaAction, ...]:
        """Process an answer; ignore answers to abandoned asks."""
        account = self._accounts.get(grant.workspace)
        if account is None or account.asked_at is None:
            return ()
        expected_key = (self._node, self._incarnation, account.ask_id)
        if (grant.node, grant.incarnation, grant.ask_id) != expected_key:
            return ()
        if grant.tokens:
            expires_at = account.asked_at + grant.ttl * NODE_TTL_FACTOR
            account.grants.append(
                _LocalGrant(
                    grant.owner_term, grant.grant_id, grant.tokens, expires_at
                ),
            )
        # An owner in another region may take longer than ASK_TIMEOUT.
        account.round_trip = now - account.asked_at
        timeout = max(ASK_TIMEOUT, 2 * account.round_trip)
        account.ask_timeout = min(timeout, ASK_TIMEOUT_MAX)
        account.fallback.allow(account.asked_at, grant.fallback_rate)
        account.asked_at = None
        account.first_abandoned_ask_id = 0
        account.retry_after = grant.retry_after
        actions = self._settle_expired(now, grant.workspace, account)
        if grant.opening and self._use_fallback:
            # The owner can't grant yet, which counts as no answer: admit
            # waiting requests from the fallback.
            account.fallback.record_unanswered(now)
            wait = min(grant.retry_after, RETRY_AFTER_MAX)
            account.next_ask_at = now + wait
            return actions + self._admit_waiting(now, grant.workspace, account)
        account.fallback.record_answer()
        actions += self._admit_waiting(now, grant.workspace, account)
        actions += _hold_or_refuse(now, account, grant)
        return actions + self._ask_if_due(now, grant.workspace, account)

    def tick(self, now: datetime) -> tuple[QuotaAction, ...]:
        """Settle expired grants, repeat asks, refuse overdue requests.

        Call at the time from ``next_due``, or every few milliseconds.
        """
        actions: tuple[QuotaAction, ...] = ()
        for workspace, account in list(self._accounts.items()):
            _advance_demand_slot(account, now)
            actions += self._settle_expired(now, workspace, account)
            actions += self._admit_waiting(now, workspace, account)
            actions += _refuse_timed_out(account, now)
            idle_deadline = account.compute_idle_deadline()
            if idle_deadline is not None and idle_deadline <= now:
                actions += self._settle_all(workspace, account)
            actions += self._ask_if_due(now, workspace, account)
            if _is_unused(account, now):
                del self._accounts[workspace]
        return actions

    def close(self) -> tuple[QuotaAction, ...]:
        """Return all tokens to the owner, for a planned shutdown."""
        actions: tuple[QuotaAction, ...] = ()
        for workspace, account in self._accounts.items():
            actions += self._settle_all(workspace, account)
        return actions

    def next_due(self) -> datetime | None:
        """Return the time at which the next tick is due, if any."""
        times: list[datetime] = []
        for account in self._accounts.values():
            times.extend(_list_due_times(account))
        return min(times, default=None)

    def _admit_waiting(
        self,
        now: datetime,
        workspace: str,
        account: _WorkspaceAccount,
    ) -> tuple[QuotaAction, ...]:
        """Admit waiting requests while tokens or fallback quota last."""
        actions: list[QuotaAction] = []
        while account.waiting and account.grants:
            grant = account.grants[0]
            grant.remaining -= 1
            grant.spent += 1
            actions.append(Admit(account.waiting.popleft().request_id))
            if not grant.remaining:
                actions.append(self._settle(workspace, account, grant))
        while account.waiting and self._try_fallback(now, account):
            actions.append(Admit(account.waiting.popleft().request_id))
        return tuple(actions)

    def _try_fallback(self, now: datetime, account: _WorkspaceAccount) -> bool:
        return self._use_fallback and account.fallback.take(now)

    def _settle(
        self,
        workspace: str,
        account: _WorkspaceAccount,
        grant: _LocalGrant,
    ) -> SendSettle:
        account.grants.remove(grant)
        return SendSettle(
            QuotaSettle(
                node=self._node,
                incarnation=self._incarnation,
                workspace=workspace,
                owner_term=grant.term,
                grant_id=grant.grant_id,
                spent=grant.spent,
                returned=grant.remaining,
            ),
        )

    def _settle_all(
        self,
        workspace: str,
        account: _WorkspaceAccount,
    ) -> tuple[QuotaAction, ...]:
        grants = tuple(account.grants)
        return tuple(self._settle(workspace, account, g) for g in grants)

    def _settle_expired(
        self,
        now: datetime,
        workspace: str,
        account: _WorkspaceAccount,
    ) -> tuple[QuotaAction, ...]:
        """Settle grants that have expired."""
        expired = tuple(
            grant for grant in account.grants if grant.expires_at <= now
        )
        return tuple(self._settle(workspace, account, g) for g in expired)

    def _ask_if_due(
        self,
        now: datetime,
        workspace: str,
        account: _WorkspaceAccount,
    ) -> tuple[QuotaAction, ...]:
        """Ask for tokens if an ask is due and none is pending."""
        if account.asked_at is not None:
            if now - account.asked_at < account.ask_timeout:
                return ()
            account.fallback.record_unanswered(account.asked_at)
            account.first_abandoned_ask_id = (
                account.first_abandoned_ask_id or account.ask_id
            )
            account.unreported_arrivals += account.reported_arrivals
            account.ask_timeout = min(2 * account.ask_timeout, ASK_TIMEOUT_MAX)
            account.asked_at = None
            account.next_ask_at = None
        want = _compute_want(account, now)
        if not want:
            return ()
        self._last_ask_id += 1
        account.ask_id = self._last_ask_id
        account.asked_at = now
        account.next_ask_at = None
        account.next_prefetch_at = now + PREFETCH_INTERVAL_MIN
        for request in account.waiting:
            request.ask_id = account.ask_id
        ask = QuotaAsk(
            node=self._node,
            incarnation=self._incarnation,
            workspace=workspace,
            ask_id=account.ask_id,
            waiting=len(account.waiting),
            want=want,
            arrived=account.unreported_arrivals,
            abandoned=account.first_abandoned_ask_id,
            sent=now if self._use_fallback else None,
            fallback_rate=account.fallback.get_rate(now),
            unanswered_for=account.fallback.measure_silence(now),
        )
        account.reported_arrivals, account.unreported_arrivals = (
            account.unreported_arrivals,
            0,
        )
        return (SendAsk(ask),)


def _advance_demand_slot(account: _WorkspaceAccount, now: datetime) -> None:
    """Start a new slot if ``now`` is past the current one."""
    if account.demand_slot_start is None:
        account.demand_slot_start = now
    slots_passed = (now - account.demand_slot_start) // _DEMAND_SLOT
    if slots_passed >= 1:
        account.previous_slot_arrivals = (
            account.slot_arrivals if slots_passed == 1 else 0
        )
        account.slot_arrivals = 0
        account.demand_slot_start += slots_passed * _DEMAND_SLOT


def _record_arrival(account: _WorkspaceAccount, now: datetime) -> None:
    _advance_demand_slot(account, now)
    account.last_arrival_at = now
    account.slot_arrivals += 1
    account.unreported_arrivals += 1


def _compute_want(account: _WorkspaceAccount, now: datetime) -> int:
    """Return the number of tokens to ask for; 0 means no ask."""
    waiting = len(account.waiting)
    if waiting:
        if account.next_ask_at is not None and now < account.next_ask_at:
            return 0
    elif (
        account.next_prefetch_at is not None and now < account.next_prefetch_at
    ):
        return 0
    demand = account.previous_slot_arrivals + account.slot_arrivals
    if demand < PREFETCH_ARRIVALS_MIN:
        account.prefetch_target = 0
        return waiting
    cover_ratio = min(
        1.0, (PREFETCH_TIME + 2 * account.round_trip) / DEMAND_WINDOW
    )
    needed = max(int(demand * cover_ratio), min(demand, PREFETCH_TOKENS_MIN))
    # Waiting requests mean that demand exceeded the prefetched tokens, so
    # the target doubles instead of following the arrival count.
    target_min = (
        2 * account.prefetch_target
        if waiting
        else account.prefetch_target * 3 // 4
    )
    account.prefetch_target = min(max(needed, target_min), 2 * demand)
    tokens_held = account.count_tokens()
    if not waiting and tokens_held > account.prefetch_target // 2:
        return 0
    return waiting + max(0, account.prefetch_target - tokens_held)


def _hold_or_refuse(
    now: datetime,
    account: _WorkspaceAccount,
    grant: QuotaGrant,
) -> tuple[QuotaAction, ...]:
    """Hold as many requests as the owner allows, refuse the others.

    Applies to the requests that the ask included, the oldest first.
    """
    asked_requests = [w for w in account.waiting if w.ask_id == grant.ask_id]
    if not asked_requests:
        return ()
    for request in asked_requests[: grant.hold]:
        request.inside_rate = True
    refused = asked_requests[grant.hold :]
    later_requests = [w for w in account.waiting if w.ask_id != grant.ask_id]
    account.waiting = deque((*asked_requests[: grant.hold], *later_requests))
    retry_delay = (
        max(grant.retry_after, grant.pace) if grant.hold else grant.pace
    )
    account.next_ask_at = now + min(retry_delay, RETRY_AFTER_MAX)
    return tuple(
        RefuseQuota(w.request_id, grant.retry_after, place < grant.inside)
        for place, w in enumerate(refused, start=grant.hold)
    )


def _refuse_timed_out(
    account: _WorkspaceAccount,
    now: datetime,
) -> tuple[QuotaAction, ...]:
    """Refuse requests that have waited for REQUEST_WAIT_MAX."""
    actions: list[QuotaAction] = []
    while (
        account.waiting
        and now - account.waiting[0].queued_at >= REQUEST_WAIT_MAX
    ):
        request = account.waiting.popleft()
        actions.append(
            RefuseQuota(
                request.request_id,
                account.retry_after,
                request.inside_rate,
            ),
        )
    return tuple(actions)


def _is_unused(account: _WorkspaceAccount, now: datetime) -> bool:
    if account.waiting or account.grants or account.asked_at is not None:
        return False
    last_arrival_at = account.last_arrival_at
    return last_arrival_at is None or now - last_arrival_at > SESSION_TTL


def _list_due_times(account: _WorkspaceAccount) -> tuple[datetime, ...]:
    """Return the times at which the account is due for a tick."""
    times = [grant.expires_at for grant in account.grants]
    idle_deadline = account.compute_idle_deadline()
    if account.grants and idle_deadline is not None:
        times.append(idle_deadline)
    if account.waiting:
        times.append(account.waiting[0].queued_at + REQUEST_WAIT_MAX)
    if account.asked_at is not None:
        times.append(account.asked_at + account.ask_timeout)
    elif account.waiting and account.next_ask_at is not None:
        times.append(account.next_ask_at)
    return tuple(times)
