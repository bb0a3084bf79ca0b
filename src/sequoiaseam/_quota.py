"""Workspace quota: one token bucket per workspace for the whole fleet.

The owner (the control leader) keeps ``level + outstanding <= burst`` for
each workspace, where ``outstanding`` counts the tokens that nodes hold.
Tokens spent in any window were outstanding at its start, or in the level,
or were refilled in it, so they are at most ``burst + rate * window``. This
holds whatever messages are lost or delayed, as a node's grant ends before
the owner stops counting it.

Amounts are integers, ``TOKEN`` units for a token and time in
microseconds, so that no rounding adds up to an extra token. Windows are
measured by the owner's clock: refilling 1% slower, for a clock that may
be that fast, would refuse 2% of a workspace's requests inside the rate.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._quota_fallback import QuotaFallback
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._tables import Workspace
from sequoiaseam.const import CLOCK_DRIFT, ELECTION_TIMEOUT_MIN

UNITS_PER_TOKEN: Final = 10**12  # units
_MICROSECOND: Final = timedelta(microseconds=1)
_SECOND_US: Final = 10**6

GRANT_TTL: Final = timedelta(milliseconds=500)
# A node ends a grant early enough for clocks that run apart by
# CLOCK_DRIFT each way, with as much again in hand.
NODE_TTL_FACTOR: Final = 1 - 4 * CLOCK_DRIFT
# The former owner may have granted until its leader lease ended.
TAKEOVER_WAIT: Final = (GRANT_TTL + ELECTION_TIMEOUT_MIN) * (
    1 + 4 * CLOCK_DRIFT
)

# Demand is counted over a horizon of two slots. Prefetched tokens cover
# the demand of this time and twice the last round trip, or that of the
# whole horizon up to a few tokens.
HORIZON: Final = timedelta(milliseconds=400)
TARGET_TIME: Final = timedelta(milliseconds=200)
TARGET_FEW: Final = 8  # tokens
_SLOT: Final = HORIZON / 2
# Pause between asks that no request waits for.
PREFETCH_PAUSE: Final = timedelta(milliseconds=25)
# Unused tokens go back after this long without a request, or earlier
# when this many should have come by then.
IDLE_TIMEOUT_MAX: Final = HORIZON
IDLE_TIMEOUT_MIN: Final = timedelta(milliseconds=20)
IDLE_ARRIVALS: Final = 10
# Below this level tokens are handed out only for requests that wait, so
# that a node where a workspace's requests newly enter finds some.
RESERVE_TIME: Final = timedelta(milliseconds=100)
RESERVE_TOKENS_MIN: Final = 20  # tokens
# A node with fewer arrivals in a horizon asks for each request.
PREFETCH_MIN: Final = 3

ASK_TIMEOUT: Final = timedelta(milliseconds=100)
ASK_TIMEOUT_MAX: Final = timedelta(milliseconds=400)
# Requests wait at most this long for a token that the owner says is
# inside the rate, or for an owner to answer at all: about an election
# and TAKEOVER_WAIT.
REQUEST_WAIT_MAX: Final = timedelta(seconds=2.5)
# The owner holds no more requests than it can serve in this time.
HOLD_MAX: Final = timedelta(seconds=2)
WAITING_MAX: Final = 10_000  # requests of a workspace at a node

RETRY_MIN: Final = timedelta(milliseconds=2)
RETRY_MAX: Final = timedelta(milliseconds=250)
# Nodes whose requests had to wait gather more of them before they ask
# again, so that all nodes together send at most about as many asks for a
# workspace as it has tokens, within these bounds for each pace slot.
ASKS_PER_SLOT_MIN: Final = 10
ASKS_PER_SLOT_MAX: Final = 100
PACE_SLOT: Final = timedelta(milliseconds=100)
PACE_MIN: Final = RETRY_MIN
PACE_MAX: Final = timedelta(milliseconds=100)
SESSION_TTL: Final = timedelta(seconds=10)
# A token owed to a node is given to others if the node doesn't ask for
# it within this time; it asks again after PACE_MAX or RETRY_MAX.
OWED_TTL: Final = timedelta(milliseconds=400)


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
    """The request has its token."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RefuseQuota:
    """The request gets no token.

    ``inside_rate`` is the owner's view, None if no owner answered.
    """

    request_id: int
    retry_after: timedelta
    inside_rate: bool | None


QuotaAction = SendAsk | SendSettle | Admit | RefuseQuota


@dataclass(slots=True)
class _Session:
    """One incarnation of a node as the owner knows it."""

    ask_id: int
    seen: datetime
    # Requests that the ideal bucket admitted less the tokens the node
    # got; negative while it holds prefetched ones.
    credit: int = 0
    # Grants that have not ended: ask id to grant id.
    grants: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Bucket:
    """A workspace's bucket; amounts in units."""

    refill: int  # units a microsecond
    burst: int
    updated: datetime
    level: int = 0
    outstanding: int = 0
    # A bucket that sees every request when it is asked for, with nothing
    # outstanding; tells whether a request is inside the rate.
    ideal: int = 0
    # Grant id to (end, units, session, ask id), in the order of the end.
    grants: dict[int, tuple[datetime, int, tuple[str, int], int]] = field(
        default_factory=dict
    )
    sessions: dict[tuple[str, int], _Session] = field(default_factory=dict)
    # Sessions with a positive credit.
    owed: dict[tuple[str, int], _Session] = field(default_factory=dict)
    pace: timedelta = PACE_MIN
    slot: datetime | None = None
    asks: int = 0

    def advance(self, now: datetime) -> None:
        """Refill up to now; the owner's clock defines the rate."""
        if now <= self.updated:
            return
        gained = (now - self.updated) // _MICROSECOND * self.refill
        self.updated = now
        room = self.burst - self.outstanding
        self.level = max(0, min(self.level + gained, room))
        self.ideal = min(self.ideal + gained, self.burst)

    def expire(self, now: datetime) -> None:
        """Count grants that ended without a settlement as spent."""
        while self.grants:
            grant_id, (end, _, _, _) = next(iter(self.grants.items()))
            if end > now:
                return
            # The tokens could be spent until the end, so they must limit
            # the refill until then.
            self.advance(end)
            self.end_grant(grant_id, 0)

    def end_grant(self, grant_id: int, returned: int) -> None:
        """End a grant, of which some tokens may come back unspent."""
        _, units, key, ask_id = self.grants.pop(grant_id)
        back = min(units, returned * UNITS_PER_TOKEN)
        self.outstanding -= units
        room = self.burst - self.outstanding
        self.level = max(0, min(self.level + back, room))
        session = self.sessions.get(key)
        if session is not None:
            session.grants.pop(ask_id, None)
            session.credit += back // UNITS_PER_TOKEN

    def count_owed(self, now: datetime, key: tuple[str, int]) -> int:
        """Return the tokens owed to others than the one who asks."""
        for other, session in list(self.owed.items()):
            if now - session.seen > OWED_TTL:
                del self.owed[other]
        return sum(
            session.credit
            for other, session in self.owed.items()
            if other != key
        )

    def count_ask(self, now: datetime) -> None:
        """Adapt the pace to the number of asks in the last slot."""
        self.asks += 1
        if self.slot is None:
            self.slot = now
        if now - self.slot < PACE_SLOT:
            return
        by_rate = self.refill * (PACE_SLOT // _MICROSECOND) // UNITS_PER_TOKEN
        most = min(max(by_rate, ASKS_PER_SLOT_MIN), ASKS_PER_SLOT_MAX)
        slots = (now - self.slot) / PACE_SLOT
        share = self.asks / slots / most
        # At most twice as fast for each slot, or eight times as slow.
        fastest = 0.5 ** min(slots, 10.0)
        pace = self.pace * min(8.0, max(fastest, share))
        self.pace = min(max(pace, PACE_MIN), PACE_MAX)
        self.slot = now
        self.asks = 0


def _compute_refill(rate: float) -> int:
    """Return units a microsecond for a rate in tokens a second."""
    return int(rate * (UNITS_PER_TOKEN // _SECOND_US))


class QuotaOwner:
    """The buckets, at the control leader for one term.

    A new owner knows nothing of its predecessor's grants, so it starts
    empty and grants nothing until they have ended.
    """

    def __init__(
        self,
        now: datetime,
        term: int,
        workspaces: Mapping[str, Workspace],
    ) -> None:
        self._term = term
        self._opens = now + TAKEOVER_WAIT
        self._next_grant = 1
        self._buckets: dict[str, _Bucket] = {}
        self.configure(now, workspaces)

    def configure(
        self,
        now: datetime,
        workspaces: Mapping[str, Workspace],
    ) -> None:
        """Take over rates and bursts, in force from now on."""
        for name, row in workspaces.items():
            refill, burst = (
                _compute_refill(row.rate),
                row.burst * UNITS_PER_TOKEN,
            )
            bucket = self._buckets.get(name)
            if bucket is None:
                started = max(now, self._opens)
                bucket = _Bucket(refill, burst, started, ideal=burst)
                self._buckets[name] = bucket
                continue
            bucket.expire(now)
            bucket.advance(now)
            bucket.refill, bucket.burst = refill, burst
            room = burst - bucket.outstanding
            bucket.level = max(0, min(bucket.level, room))
            bucket.ideal = min(bucket.ideal, burst)
        for name in self._buckets.keys() - workspaces.keys():
            bucket = self._buckets[name]
            # The row stays until its grants have ended, for the case that
            # the workspace is added again.
            bucket.expire(now)
            bucket.advance(now)
            bucket.refill = bucket.burst = bucket.level = bucket.ideal = 0

    def ask(self, now: datetime, ask: QuotaAsk) -> QuotaGrant:
        """Grant what the bucket has; repeated and old asks get nothing."""
        grant = self._decide(now, ask)
        return replace(grant, opening=True) if now < self._opens else grant

    def _decide(self, now: datetime, ask: QuotaAsk) -> QuotaGrant:
        bucket = self._buckets.get(ask.workspace)
        if bucket is None:
            return self._answer(ask, 0, retry_after=RETRY_MAX)
        bucket.expire(now)
        bucket.advance(now)
        bucket.count_ask(now)
        key = (ask.node, ask.incarnation)
        session = bucket.sessions.get(key)
        if session is None:
            session = bucket.sessions[key] = _Session(0, now)
        if ask.ask_id <= session.ask_id:
            return self._answer(ask, 0, retry_after=RETRY_MIN)
        session.ask_id, session.seen = ask.ask_id, now
        _reclaim(bucket, session, ask)
        session.credit += _charge_ideal(bucket, ask.arrived)
        tokens = self._issue(now, bucket, session, ask)
        left = max(0, ask.waiting - tokens)
        inside = self._count_inside(now, bucket, session, left)
        most = bucket.refill * (HOLD_MAX // _MICROSECOND) // UNITS_PER_TOKEN
        room = max(0, most - bucket.count_owed(now, key))
        session.credit = min(session.credit, room)
        hold = max(0, session.credit)
        bucket.owed.pop(key, None)
        if hold:
            bucket.owed[key] = session
        return self._answer(
            ask,
            tokens,
            inside=inside,
            hold=hold,
            retry_after=self._estimate_wait(now, bucket),
            pace=bucket.pace,
        )

    def settle(self, now: datetime, settle: QuotaSettle) -> None:
        """Take a settlement; repeated and late ones change nothing."""
        bucket = self._buckets.get(settle.workspace)
        if bucket is None or settle.owner_term != self._term:
            return
        bucket.expire(now)
        bucket.advance(now)
        if settle.grant_id in bucket.grants:
            bucket.end_grant(settle.grant_id, settle.returned)

    def tick(self, now: datetime) -> None:
        """Drop what has ended; call about once a second."""
        for name, bucket in list(self._buckets.items()):
            bucket.expire(now)
            bucket.advance(now)
            idle = [
                key
                for key, session in bucket.sessions.items()
                if now - session.seen > SESSION_TTL
            ]
            for key in idle:
                del bucket.sessions[key]
                bucket.owed.pop(key, None)
            if bucket.burst == bucket.outstanding == 0:
                del self._buckets[name]

    def _issue(
        self,
        now: datetime,
        bucket: _Bucket,
        session: _Session,
        ask: QuotaAsk,
    ) -> int:
        """Move tokens from the level to a grant and return how many."""
        if now < self._opens:
            return 0
        available = bucket.level // UNITS_PER_TOKEN
        key = (ask.node, ask.incarnation)
        # Requests that arrived earlier elsewhere and are inside the rate
        # come before those which are not.
        free = max(0, available - bucket.count_owed(now, key))
        tokens = min(ask.waiting, available, max(free, session.credit))
        spare = (available - tokens) - _compute_reserve(bucket)
        # Half of what is spare, so that nodes which ask at the same
        # moment all get some.
        tokens += max(0, min(ask.want - ask.waiting, spare // 2))
        if not tokens:
            return 0
        units = tokens * UNITS_PER_TOKEN
        bucket.level -= units
        bucket.outstanding += units
        grant_id = self._next_grant
        bucket.grants[grant_id] = (now + GRANT_TTL, units, key, ask.ask_id)
        session.grants[ask.ask_id] = grant_id
        session.credit -= tokens
        self._next_grant += 1
        return tokens

    def _count_inside(
        self,
        now: datetime,
        bucket: _Bucket,
        session: _Session,
        left: int,
    ) -> int:
        """Return how many of the requests left waiting are inside."""
        if now < self._opens:
            session.credit = left
            return left
        in_hand = sum(
            bucket.grants[grant_id][1] // UNITS_PER_TOKEN
            for grant_id in session.grants.values()
        )
        # Tokens spent beyond the ideal bucket's consent come out of it,
        # else it would promise more than the level ever holds.
        beyond = max(0, -in_hand - session.credit)
        bucket.ideal -= beyond * UNITS_PER_TOKEN
        session.credit = min(left, session.credit + beyond)
        return max(0, session.credit)

    def _estimate_wait(self, now: datetime, bucket: _Bucket) -> timedelta:
        """Return when the bucket will have a token."""
        if now < self._opens:
            return min(max(self._opens - now, RETRY_MIN), RETRY_MAX)
        if not bucket.refill:
            return RETRY_MAX
        missing = max(0, UNITS_PER_TOKEN - bucket.level)
        wait = (missing // bucket.refill + 1) * _MICROSECOND
        return max(wait, RETRY_MIN)

    def _answer(
        self,
        ask: QuotaAsk,
        tokens: int,
        *,
        inside: int = 0,
        hold: int = 0,
        retry_after: timedelta,
        pace: timedelta = RETRY_MIN,
    ) -> QuotaGrant:
        return QuotaGrant(
            node=ask.node,
            incarnation=ask.incarnation,
            workspace=ask.workspace,
            ask_id=ask.ask_id,
            owner_term=self._term,
            grant_id=self._next_grant - 1 if tokens else 0,
            tokens=tokens,
            ttl=GRANT_TTL,
            inside=inside,
            hold=hold,
            retry_after=retry_after,
            pace=pace,
        )


def _reclaim(bucket: _Bucket, session: _Session, ask: QuotaAsk) -> None:
    """Take back grants that the node says it will never use."""
    if not ask.abandoned:
        return
    for ask_id in [i for i in session.grants if i >= ask.abandoned]:
        grant_id = session.grants[ask_id]
        units = bucket.grants[grant_id][1]
        bucket.end_grant(grant_id, units // UNITS_PER_TOKEN)


def _charge_ideal(bucket: _Bucket, arrived: int) -> int:
    """Charge the ideal bucket; return how many arrivals it admits."""
    inside = min(arrived, max(0, bucket.ideal // UNITS_PER_TOKEN))
    bucket.ideal -= inside * UNITS_PER_TOKEN
    return inside


def _compute_reserve(bucket: _Bucket) -> int:
    """Return the tokens kept for requests that wait."""
    by_rate = bucket.refill * (RESERVE_TIME // _MICROSECOND) // UNITS_PER_TOKEN
    return max(
        RESERVE_TOKENS_MIN, min(bucket.burst // UNITS_PER_TOKEN // 2, by_rate)
    )


@dataclass(slots=True)
class _Held:
    """Tokens of one grant at a node."""

    term: int
    grant_id: int
    left: int
    end: datetime
    spent: int = 0


@dataclass(slots=True)
class _Waiting:
    """A request without a token yet."""

    request_id: int
    since: datetime
    # Last ask that counted it.
    ask_id: int = 0
    # The owner's view once it has answered.
    inside: bool | None = None


@dataclass(slots=True)
class _Account:
    """What a node knows about one workspace."""

    waiting: deque[_Waiting] = field(default_factory=deque)
    grants: list[_Held] = field(default_factory=list)
    # Arrivals: start of the current slot, counts of it and the one
    # before, time of the last one, and those not yet told to the owner.
    slot: datetime | None = None
    current: int = 0
    previous: int = 0
    last_arrival: datetime | None = None
    arrived: int = 0
    # Tokens to have in hand.
    target: int = 0
    # The ask on the way, its time and the arrivals it tells, and the
    # first ask given up since the last answer.
    ask_id: int = 0
    asked: datetime | None = None
    asked_arrived: int = 0
    timeout: timedelta = ASK_TIMEOUT
    round_trip: timedelta = timedelta(0)
    abandoned: int = 0
    # Earliest times for the next ask with and without waiting requests.
    next_ask: datetime | None = None
    next_prefetch: datetime | None = None
    retry_after: timedelta = RETRY_MAX
    fallback: QuotaFallback = field(default_factory=QuotaFallback)

    def count(self) -> int:
        """Return the tokens in hand."""
        return sum(grant.left for grant in self.grants)

    def find_idle(self) -> datetime | None:
        """Return when tokens in hand go back if no request comes."""
        if self.last_arrival is None:
            return None
        busiest = max(self.previous, self.current, 1)
        wait = max(IDLE_TIMEOUT_MIN, IDLE_ARRIVALS * _SLOT / busiest)
        return self.last_arrival + min(wait, IDLE_TIMEOUT_MAX)


class QuotaSpender:
    """A node's side: spends granted tokens, asks before it refuses.

    ``incarnation`` must differ after each restart of the node, so that
    a former grant is not taken for the answer to a new ask. With
    ``use_fallback`` it goes on while no owner answers; then workspaces may
    get a little more than their rate.
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
        self._accounts: dict[str, _Account] = {}
        # One sequence for all workspaces that outlives idle accounts, so
        # that an id is never used twice.
        self._last_ask = 0

    def request(
        self,
        now: datetime,
        workspace: str,
        request_id: int,
    ) -> tuple[QuotaAction, ...]:
        """Admit a root request, or queue it and ask the owner."""
        account = self._accounts.setdefault(workspace, _Account())
        _count_arrival(account, now)
        actions = self._drop_ended(now, workspace, account)
        if len(account.waiting) >= WAITING_MAX:
            refusal = RefuseQuota(request_id, account.retry_after, None)
            return (*actions, refusal)
        account.waiting.append(_Waiting(request_id, now))
        actions += self._serve(now, workspace, account)
        return actions + self._ask(now, workspace, account)

    def cancel(self, workspace: str, request_id: int) -> None:
        """Forget a waiting request."""
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
        """Take an answer; those to abandoned asks are not used."""
        account = self._accounts.get(grant.workspace)
        if account is None or account.asked is None:
            return ()
        expected = (self._node, self._incarnation, account.ask_id)
        if (grant.node, grant.incarnation, grant.ask_id) != expected:
            return ()
        if grant.tokens:
            end = account.asked + grant.ttl * NODE_TTL_FACTOR
            account.grants.append(
                _Held(grant.owner_term, grant.grant_id, grant.tokens, end),
            )
        # Owners in another region may take longer than ASK_TIMEOUT.
        account.round_trip = now - account.asked
        timeout = max(ASK_TIMEOUT, 2 * account.round_trip)
        account.timeout = min(timeout, ASK_TIMEOUT_MAX)
        account.asked = None
        account.abandoned = 0
        account.retry_after = grant.retry_after
        actions = self._drop_ended(now, grant.workspace, account)
        if grant.opening and self._use_fallback:
            # As good as no answer; what waits goes on by itself.
            account.fallback.record_unanswered(now)
            wait = min(grant.retry_after, RETRY_MAX)
            account.next_ask = now + wait
            return actions + self._serve(now, grant.workspace, account)
        account.fallback.record_answer()
        actions += self._serve(now, grant.workspace, account)
        actions += _sort_waiting(now, account, grant)
        return actions + self._ask(now, grant.workspace, account)

    def tick(self, now: datetime) -> tuple[QuotaAction, ...]:
        """End grants, repeat asks, refuse what has waited too long.

        Call at ``next_due``, or every few milliseconds.
        """
        actions: tuple[QuotaAction, ...] = ()
        for workspace, account in list(self._accounts.items()):
            _roll_slot(account, now)
            actions += self._drop_ended(now, workspace, account)
            actions += self._serve(now, workspace, account)
            actions += _refuse_impatient(account, now)
            idle = account.find_idle()
            if idle is not None and idle <= now:
                actions += self._settle_all(workspace, account)
            actions += self._ask(now, workspace, account)
            if _is_unused(account, now):
                del self._accounts[workspace]
        return actions

    def close(self) -> tuple[QuotaAction, ...]:
        """Return all tokens, at a planned shutdown."""
        actions: tuple[QuotaAction, ...] = ()
        for workspace, account in self._accounts.items():
            actions += self._settle_all(workspace, account)
        return actions

    def next_due(self) -> datetime | None:
        """Return when the next tick is needed."""
        times: list[datetime] = []
        for account in self._accounts.values():
            times.extend(_list_due(account))
        return min(times, default=None)

    def _serve(
        self,
        now: datetime,
        workspace: str,
        account: _Account,
    ) -> tuple[QuotaAction, ...]:
        """Admit waiting requests while there are tokens."""
        actions: list[QuotaAction] = []
        while account.waiting and account.grants:
            grant = account.grants[0]
            grant.left -= 1
            grant.spent += 1
            account.fallback.record_spent(now)
            actions.append(Admit(account.waiting.popleft().request_id))
            if not grant.left:
                actions.append(self._settle(workspace, account, grant))
        while account.waiting and self._may_stand_by(now, account):
            actions.append(Admit(account.waiting.popleft().request_id))
        return tuple(actions)

    def _may_stand_by(self, now: datetime, account: _Account) -> bool:
        return self._use_fallback and account.fallback.take(now)

    def _settle(
        self,
        workspace: str,
        account: _Account,
        grant: _Held,
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
                returned=grant.left,
            ),
        )

    def _settle_all(
        self,
        workspace: str,
        account: _Account,
    ) -> tuple[QuotaAction, ...]:
        grants = tuple(account.grants)
        return tuple(self._settle(workspace, account, g) for g in grants)

    def _drop_ended(
        self,
        now: datetime,
        workspace: str,
        account: _Account,
    ) -> tuple[QuotaAction, ...]:
        """Settle grants whose time is over."""
        ended = tuple(grant for grant in account.grants if grant.end <= now)
        return tuple(self._settle(workspace, account, g) for g in ended)

    def _ask(
        self,
        now: datetime,
        workspace: str,
        account: _Account,
    ) -> tuple[QuotaAction, ...]:
        """Ask for tokens if it is time to and none are on the way."""
        if account.asked is not None:
            if now - account.asked < account.timeout:
                return ()
            account.fallback.record_unanswered(account.asked)
            account.abandoned = account.abandoned or account.ask_id
            account.arrived += account.asked_arrived
            account.timeout = min(2 * account.timeout, ASK_TIMEOUT_MAX)
            account.asked = None
            account.next_ask = None
        want = _compute_want(account, now)
        if not want:
            return ()
        self._last_ask += 1
        account.ask_id = self._last_ask
        account.asked = now
        account.next_ask = None
        account.next_prefetch = now + PREFETCH_PAUSE
        for request in account.waiting:
            request.ask_id = account.ask_id
        ask = QuotaAsk(
            node=self._node,
            incarnation=self._incarnation,
            workspace=workspace,
            ask_id=account.ask_id,
            waiting=len(account.waiting),
            want=want,
            arrived=account.arrived,
            abandoned=account.abandoned,
        )
        account.asked_arrived, account.arrived = account.arrived, 0
        return (SendAsk(ask),)


def _roll_slot(account: _Account, now: datetime) -> None:
    """Move to the slot of now."""
    if account.slot is None:
        account.slot = now
    passed = (now - account.slot) // _SLOT
    if passed >= 1:
        account.previous = account.current if passed == 1 else 0
        account.current = 0
        account.slot += passed * _SLOT


def _count_arrival(account: _Account, now: datetime) -> None:
    _roll_slot(account, now)
    account.last_arrival = now
    account.current += 1
    account.arrived += 1


def _compute_want(account: _Account, now: datetime) -> int:
    """Return how many tokens to ask for, 0 for none."""
    waiting = len(account.waiting)
    if waiting:
        if account.next_ask is not None and now < account.next_ask:
            return 0
    elif account.next_prefetch is not None and now < account.next_prefetch:
        return 0
    demand = account.previous + account.current
    if demand < PREFETCH_MIN:
        account.target = 0
        return waiting
    cover = min(1.0, (TARGET_TIME + 2 * account.round_trip) / HORIZON)
    needed = max(int(demand * cover), min(demand, TARGET_FEW))
    # When requests wait, demand outran what was prefetched; then the
    # target grows faster than the count of arrivals does.
    floor = 2 * account.target if waiting else account.target * 3 // 4
    account.target = min(max(needed, floor), 2 * demand)
    in_hand = account.count()
    if not waiting and in_hand > account.target // 2:
        return 0
    return waiting + max(0, account.target - in_hand)


def _sort_waiting(
    now: datetime,
    account: _Account,
    grant: QuotaGrant,
) -> tuple[QuotaAction, ...]:
    """Hold the oldest requests inside the rate, refuse the asked rest."""
    asked = [w for w in account.waiting if w.ask_id == grant.ask_id]
    if not asked:
        return ()
    account.fallback.record_limited(now)
    for request in asked[: grant.hold]:
        request.inside = True
    refused = asked[grant.hold :]
    later = [w for w in account.waiting if w.ask_id != grant.ask_id]
    account.waiting = deque((*asked[: grant.hold], *later))
    wait = max(grant.retry_after, grant.pace) if grant.hold else grant.pace
    account.next_ask = now + min(wait, RETRY_MAX)
    return tuple(
        RefuseQuota(w.request_id, grant.retry_after, place < grant.inside)
        for place, w in enumerate(refused, start=grant.hold)
    )


def _refuse_impatient(
    account: _Account,
    now: datetime,
) -> tuple[QuotaAction, ...]:
    """Refuse the requests that have waited for too long."""
    actions: list[QuotaAction] = []
    while (
        account.waiting and now - account.waiting[0].since >= REQUEST_WAIT_MAX
    ):
        request = account.waiting.popleft()
        actions.append(
            RefuseQuota(
                request.request_id,
                account.retry_after,
                request.inside,
            ),
        )
    return tuple(actions)


def _is_unused(account: _Account, now: datetime) -> bool:
    if account.waiting or account.grants or account.asked is not None:
        return False
    last = account.last_arrival
    return last is None or now - last > SESSION_TTL


def _list_due(account: _Account) -> tuple[datetime, ...]:
    """Return the times at which the account needs a tick."""
    times = [grant.end for grant in account.grants]
    idle = account.find_idle()
    if account.grants and idle is not None:
        times.append(idle)
    if account.waiting:
        times.append(account.waiting[0].since + REQUEST_WAIT_MAX)
    if account.asked is not None:
        times.append(account.asked + account.timeout)
    elif account.waiting and account.next_ask is not None:
        times.append(account.next_ask)
    return tuple(times)
