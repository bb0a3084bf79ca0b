"""At-most-once execution of requests on the entry and executing nodes.

The entry node plans the attempts of a request (``EntryAttempts``) and
uses fences to prove that a refused request never runs
(``FenceTracker``). The executing node, called ``guard`` in messages,
starts an attempt once a majority of witnesses has granted it
(``AttemptTracker``). These classes do no I/O; their callers send the
messages. docs/at-most-once.md contains the correctness argument.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._commands import WitnessGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import (
    Decision,
    Fence,
    FenceMark,
    Intent,
    OutcomeRecord,
    RecordKey,
    Vote,
)
from sequoiaseam.const import (
    CLOCK_DRIFT_MAX,
    CLOCK_SKEW_MAX,
    OUTCOME_BODY_MAX_BYTES,
)
from sequoiaseam.errors import ErrorCode

# A forwarded call that arrives later than this after its request entered
# is not started, so that a node can forget older attempts.
CALL_LIFETIME: Final = timedelta(seconds=10)

# Maximum time from sending a fence to concluding "not run" from it. A
# request that entered later than this after a fence was placed entered
# after the caller received that verdict, so the fence need not stop it.
FENCE_TIMEOUT: Final = timedelta(milliseconds=500)

# Minimum Retry-After of a refusal that was proved with a fence. An earlier
# resend may be stopped by the same fence.
FENCE_RETRY_AFTER_MIN: Final = FENCE_TIMEOUT * 2

# Maximum number of attempts whose votes are buffered before their calls
# arrive.
EARLY_VOTE_ATTEMPTS_MAX: Final = 10_000


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Plan of an attempt, sent to the executing node with the call.

    ``group`` is None when no witness is asked: the entry node generated
    the request id, so no other node can have an attempt of it.
    """

    intent: Intent
    group: WitnessGroup | None


@dataclass(frozen=True, slots=True)
class FenceSeen:
    """A fence that stopped an attempt, and its age at that time."""

    witness: str
    fence_id: str
    age: timedelta


@dataclass(frozen=True, slots=True)
class Granted:
    """The attempt may start on the executing node."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Denied:
    """This call does not start the attempt.

    ``verdict`` is RAN if an outcome is recorded for the request id, and
    MAY_HAVE_RUN otherwise. ``unstarted`` is True when it is proved that
    the attempt never starts, so that a later one may supersede it.
    """

    attempt: str
    code: ErrorCode
    verdict: Verdict
    outcome: OutcomeRecord | None = None
    unstarted: bool = True
    fences: tuple[FenceSeen, ...] = ()


@dataclass(frozen=True, slots=True)
class Fenced:
    """Verdict on a request id that a fence has established."""

    fence_id: str
    verdict: Verdict


AttemptAction = Granted | Denied

# Message types that the codec needs in addition to WITNESS_MESSAGES. They
# are part of the forwarded call and of its refusal.
ATTEMPT_MESSAGES: Final = (AttemptPlan, Denied)


def count_majority(group: WitnessGroup) -> int:
    """Return the number of witnesses that form a majority of a group."""
    return len(group.witnesses) // 2 + 1


@dataclass(slots=True)
class _AttemptState:
    """Votes and progress of an attempt on the executing node."""

    plan: AttemptPlan
    deadline: datetime
    votes: dict[str, Vote] = field(default_factory=dict)
    granted: bool = False
    started: bool = False


class AttemptTracker:
    """Decide on the executing node which attempts may start."""

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._active: dict[str, _AttemptState] = {}
        # Attempts that ended, with the time from which a duplicate of
        # their call is rejected as too late.
        self._ended: dict[str, datetime] = {}
        self._early_votes: dict[str, list[Vote]] = {}
        self._early_since: dict[str, datetime] = {}
        self.denials: Counter[ErrorCode] = Counter()

    def register_call(
        self,
        now: datetime,
        plan: AttemptPlan,
        deadline: datetime,
    ) -> tuple[AttemptAction, ...]:
        """Register a forwarded call, whose votes may already be buffered."""
        intent = plan.intent
        attempt_id = intent.attempt
        if attempt_id in self._active or attempt_id in self._ended:
            return ()
        wrong_target = (intent.guard, intent.guard_incarnation) != (
            self._name,
            self._incarnation,
        )
        from_future = intent.entered > now + CLOCK_SKEW_MAX
        if wrong_target or from_future or now >= _compute_call_expiry(intent):
            # The call is meant for another node or an earlier process of
            # this node, which may have started the attempt; or this
            # process may have forgotten the attempt; or the entry time is
            # so far ahead that the attempt would be remembered too long.
            return (
                self._deny(
                    attempt_id,
                    ErrorCode.CONNECTION_LOST,
                    unstarted=False,
                ),
            )
        state = self._active[attempt_id] = _AttemptState(plan, deadline)
        for vote in self._pop_early_votes(attempt_id):
            self._add_vote(state, vote)
        return self._decide(now, state)

    def record_vote(
        self,
        now: datetime,
        vote: Vote,
    ) -> tuple[AttemptAction, ...]:
        """Count a vote on an attempt."""
        state = self._active.get(vote.attempt)
        if state is not None:
            self._add_vote(state, vote)
            return self._decide(now, state)
        if vote.attempt not in self._ended:
            self._store_early_vote(now, vote)
        return ()

    def start(self, now: datetime, attempt_id: str) -> bool:
        """Mark a granted attempt as started; return False if it must not."""
        state = self._active.get(attempt_id)
        if state is None or not state.granted or state.started:
            return False
        if now >= state.deadline:
            return False
        state.started = True
        return True

    def refuse(self, now: datetime, attempt_id: str) -> bool:
        """End an unstarted attempt; return True if it never starts.

        True also covers duplicates of the call that arrive later.
        """
        state = self._active.get(attempt_id)
        if state is None or state.started:
            return False
        self._end_attempt(now, state)
        return True

    def complete(
        self,
        now: datetime,
        attempt_id: str,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> OutcomeRecord | None:
        """End a started attempt; return the outcome to send to witnesses."""
        state = self._active.get(attempt_id)
        if state is None or not state.started:
            return None
        self._end_attempt(now, state)
        intent = state.plan.intent
        if state.plan.group is None or intent.idempotent:
            return None
        return OutcomeRecord(
            key=intent.key,
            attempt=attempt_id,
            body_digest=intent.body_digest,
            status=status,
            headers=headers,
            body=body if len(body) <= OUTCOME_BODY_MAX_BYTES else None,
        )

    def abandon(self, now: datetime, attempt_id: str) -> None:
        """End a started attempt whose outcome is unknown."""
        state = self._active.get(attempt_id)
        if state is not None and state.started:
            self._end_attempt(now, state)

    def tick(self, now: datetime) -> tuple[AttemptAction, ...]:
        """Deny attempts past their deadline and forget old ones.

        A granted attempt that has not started by its deadline is ended
        without a denial and never starts.
        """
        expired = [
            candidate
            for candidate in self._active.values()
            if now >= candidate.deadline
        ]
        for state in expired:
            if state.granted and not state.started:
                self._end_attempt(now, state)
        denied = tuple(
            self._deny_entry(now, state)
            for state in expired
            if not state.granted
        )
        self._forget(now)
        return denied

    def _forget(self, now: datetime) -> None:
        """Drop expired ended attempts and expired early votes."""
        while self._ended:
            attempt_id, expires = next(iter(self._ended.items()))
            if now < expires:
                break
            del self._ended[attempt_id]
        while self._early_since:
            attempt_id, received = next(iter(self._early_since.items()))
            if now < received + CALL_LIFETIME:
                break
            self._pop_early_votes(attempt_id)

    def _decide(
        self,
        now: datetime,
        state: _AttemptState,
    ) -> tuple[AttemptAction, ...]:
        if state.granted:
            return ()
        group = state.plan.group
        intent = state.plan.intent
        if group is None:
            state.granted = True
            return (Granted(intent.attempt),)
        grants = _count_grants(state.votes, intent)
        if grants >= count_majority(group):
            state.granted = True
            return (Granted(intent.attempt),)
        if _awaits_votes(state.votes, grants, group):
            return ()
        return (self._deny_entry(now, state),)

    def _deny_entry(self, now: datetime, state: _AttemptState) -> Denied:
        self._end_attempt(now, state)
        votes = tuple(state.votes.values())
        outcome = next((v.outcome for v in votes if v.outcome), None)
        return self._deny(
            state.plan.intent.attempt,
            _choose_code({vote.decision for vote in votes}),
            outcome=outcome,
            fences=tuple(
                FenceSeen(vote.witness, vote.fence_id, vote.fence_age)
                for vote in votes
                if vote.decision is Decision.FENCED
            ),
        )

    def _deny(
        self,
        attempt_id: str,
        code: ErrorCode,
        *,
        outcome: OutcomeRecord | None = None,
        unstarted: bool = True,
        fences: tuple[FenceSeen, ...] = (),
    ) -> Denied:
        self.denials[code] += 1
        return Denied(
            attempt=attempt_id,
            code=code,
            verdict=Verdict.RAN if outcome else Verdict.MAY_HAVE_RUN,
            outcome=outcome,
            unstarted=unstarted,
            fences=fences,
        )

    def _add_vote(self, state: _AttemptState, vote: Vote) -> None:
        """Record the first vote of each witness of the group."""
        group = state.plan.group
        if group is not None and vote.witness in group.witnesses:
            state.votes.setdefault(vote.witness, vote)

    def _end_attempt(self, now: datetime, state: _AttemptState) -> None:
        intent = state.plan.intent
        del self._active[intent.attempt]
        if now < _compute_call_expiry(intent):
            self._ended[intent.attempt] = _compute_call_expiry(intent)

    def _store_early_vote(self, now: datetime, vote: Vote) -> None:
        if len(self._early_votes) >= EARLY_VOTE_ATTEMPTS_MAX:
            return
        self._early_since.setdefault(vote.attempt, now)
        self._early_votes.setdefault(vote.attempt, []).append(vote)

    def _pop_early_votes(self, attempt_id: str) -> list[Vote]:
        self._early_since.pop(attempt_id, None)
        return self._early_votes.pop(attempt_id, [])


def _compute_call_expiry(intent: Intent) -> datetime:
    """Return when a call is too late, by the executing node's clock."""
    return intent.entered + CALL_LIFETIME + CLOCK_SKEW_MAX


def _count_grants(votes: dict[str, Vote], intent: Intent) -> int:
    """Return the highest number of grants that may be added up.

    Grants of an idempotent request are added up per slot only; otherwise
    more attempts than the request's limit could start.
    """
    grants_by_slot = Counter(
        vote.attempts if intent.idempotent else 0
        for vote in votes.values()
        if vote.decision is Decision.GRANTED
    )
    return max(grants_by_slot.values(), default=0)


def _awaits_votes(
    votes: dict[str, Vote],
    grants: int,
    group: WitnessGroup,
) -> bool:
    """Return whether to wait for more votes.

    At least a majority must answer, so that a denial reports enough
    fences for the next attempt to pass all of them.
    """
    majority = count_majority(group)
    outstanding = len(group.witnesses) - len(votes)
    return grants + outstanding >= majority or len(votes) < majority


def _choose_code(decisions: set[Decision]) -> ErrorCode:
    """Return the error code for votes without a majority of grants."""
    if Decision.MISMATCH in decisions:
        return ErrorCode.ID_REUSED
    if Decision.DUPLICATE in decisions:
        return ErrorCode.DUPLICATE
    if Decision.EXHAUSTED in decisions:
        return ErrorCode.RETRIES_EXHAUSTED
    return ErrorCode.NO_WITNESSES


@dataclass(slots=True)
class _PendingFence:
    """A fence for which the entry node collects votes."""

    fence: Fence
    group: WitnessGroup
    deadline: datetime
    votes: dict[str, Vote] = field(default_factory=dict)


class FenceTracker:
    """Prove on the entry node that a request has not run and never will."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingFence] = {}
        self.verdicts: Counter[Verdict] = Counter()

    def register_fence(
        self,
        now: datetime,
        fence: Fence,
        group: WitnessGroup,
        deadline: datetime,
    ) -> tuple[Fenced, ...]:
        """Start to collect votes; call this before sending the fence."""
        capped_deadline = min(deadline, now + FENCE_TIMEOUT)
        self._pending[fence.fence_id] = _PendingFence(
            fence,
            group,
            capped_deadline,
        )
        return self.tick(now)

    def record_vote(self, now: datetime, vote: Vote) -> tuple[Fenced, ...]:
        """Count a vote on a fence."""
        pending = self._pending.get(vote.attempt)
        if pending is None:
            return ()
        if now >= pending.deadline:
            return self.tick(now)
        if vote.witness not in pending.group.witnesses:
            return ()
        pending.votes.setdefault(vote.witness, vote)
        verdict = _compute_fence_verdict(pending.votes, pending.group)
        if verdict is None:
            return ()
        return (self._conclude(pending, verdict),)

    def tick(self, now: datetime) -> tuple[Fenced, ...]:
        """Conclude fences that have no proof by their deadline."""
        return tuple(
            self._conclude(pending, Verdict.MAY_HAVE_RUN)
            for pending in tuple(self._pending.values())
            if now >= pending.deadline
        )

    def _conclude(self, pending: _PendingFence, verdict: Verdict) -> Fenced:
        del self._pending[pending.fence.fence_id]
        self.verdicts[verdict] += 1
        return Fenced(pending.fence.fence_id, verdict)


def _compute_fence_verdict(
    votes: dict[str, Vote],
    group: WitnessGroup,
) -> Verdict | None:
    """Return the verdict on the id, or None while votes may change it.

    The id never runs if no attempt has or can still get a majority of
    grants: a witness that answered the fence no longer grants attempts
    that entered before it.
    """
    if any(vote.outcome for vote in votes.values()):
        return Verdict.RAN
    answers = [
        vote
        for vote in votes.values()
        if vote.decision in (Decision.UNSEEN, Decision.DUPLICATE)
    ]
    grants_by_attempt = Counter(
        attempt_id for vote in answers for attempt_id in vote.holders
    )
    most_grants = max(grants_by_attempt.values(), default=0)
    unknown = len(group.witnesses) - len(answers)
    if most_grants + unknown < count_majority(group):
        return Verdict.NOT_RUN
    outstanding = len(group.witnesses) - len(votes)
    if (
        most_grants + unknown - outstanding >= count_majority(group)
        or not outstanding
    ):
        return Verdict.MAY_HAVE_RUN
    return None


@dataclass(slots=True)
class RequestAttempts:
    """Attempts of one request, planned by its entry node.

    ``has_caller_id`` is True if the caller supplied the request id.
    Other nodes may then have attempts of it, so witnesses are asked.
    """

    entry_node: str
    id_prefix: str
    key: RecordKey
    body_digest: bytes
    entered: datetime
    limit: int
    idempotent: bool
    has_caller_id: bool
    _planned: int = 0
    _charged: int = 0
    _fenced: bool = False
    _unresolved: set[str] = field(default_factory=set)
    _unstarted: tuple[str, ...] = ()
    _marks: dict[str, FenceMark] = field(default_factory=dict)

    def can_retry(self) -> bool:
        """Return whether another attempt is allowed."""
        if self._fenced or (self._unresolved and not self.idempotent):
            return False
        return self._charged < self.limit

    def plan(
        self,
        executor: str,
        executor_incarnation: int,
        group: WitnessGroup | None,
    ) -> AttemptPlan:
        """Return the next attempt, whose intent the caller must send.

        The intent goes to all witnesses of the plan's group. Raise
        ValueError if ``can_retry()`` is False, or if the request has a
        caller's id and ``group`` is None.
        """
        if not self.can_retry():
            raise ValueError("the request allows no further attempt")
        if not self.has_caller_id:
            group = None
        elif group is None:
            raise ValueError(
                "a request with a caller's id needs a witness group",
            )
        self._planned += 1
        self._charged += 1
        attempt_id = f"{self.id_prefix}.{self._planned}"
        self._unresolved.add(attempt_id)
        intent = Intent(
            key=self.key,
            attempt=attempt_id,
            body_digest=self.body_digest,
            guard=executor,
            guard_incarnation=executor_incarnation,
            entry=self.entry_node,
            entered=self.entered,
            epoch=group.epoch if group else 0,
            limit=self.limit,
            idempotent=self.idempotent,
            supersedes=self._unstarted,
            marks=tuple(self._marks.values()),
        )
        return AttemptPlan(intent, group)

    def record_unstarted(self, attempt_id: str) -> None:
        """Record the proof that an attempt never starts."""
        if attempt_id in self._unresolved:
            self._unresolved.remove(attempt_id)
            self._unstarted = (*self._unstarted, attempt_id)

    def record_denial(self, now: datetime, denied: Denied) -> bool:
        """Record a denial; return True if a retry may pass its fences.

        That is the case if the denial reports a fence that is newly
        proved older than the request and another attempt is allowed.
        """
        if denied.unstarted:
            self.record_unstarted(denied.attempt)
        elapsed = (now - self.entered) * (1 + 2 * CLOCK_DRIFT_MAX)
        conclusion_time = FENCE_TIMEOUT * (1 + 2 * CLOCK_DRIFT_MAX)
        passed = False
        for seen in denied.fences:
            # The witness measured the age before now, so the fence was
            # placed and concluded before the request entered.
            if (
                seen.age * (1 - 2 * CLOCK_DRIFT_MAX)
                > elapsed + conclusion_time
            ):
                mark = FenceMark(seen.witness, seen.fence_id)
                passed |= self._marks.get(seen.witness) != mark
                self._marks[seen.witness] = mark
        if passed:
            # The stopped attempt does not count towards the limit; the
            # next one replaces it.
            self._charged -= 1
        return passed and self.can_retry()

    def find_known_verdict(self) -> Verdict | None:
        """Return the verdict of a refusal, or None if it needs a fence."""
        if self.has_caller_id:
            return None
        return Verdict.MAY_HAVE_RUN if self._unresolved else Verdict.NOT_RUN

    def create_fence(self, group: WitnessGroup) -> Fence:
        """Return a fence that stops and reports all attempts of the id.

        No further attempt can be planned afterwards.
        """
        self._fenced = True
        return Fence(
            key=self.key,
            fence_id=f"{self.id_prefix}.f",
            entry=self.entry_node,
            epoch=group.epoch,
            unstarted=self._unstarted,
        )


class EntryAttempts:
    """Create the attempt records of requests that enter at one node."""

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._count = 0

    def open(
        self,
        now: datetime,
        key: RecordKey,
        body_digest: bytes,
        *,
        limit: int,
        idempotent: bool,
        has_caller_id: bool,
    ) -> RequestAttempts:
        """Return the attempt record of a request that enters now.

        ``limit`` is the maximum number of attempts: one plus the retries.
        """
        self._count += 1
        return RequestAttempts(
            entry_node=self._name,
            id_prefix=f"{self._name}.{self._incarnation:x}.{self._count:x}",
            key=key,
            body_digest=body_digest,
            entered=now,
            limit=limit,
            idempotent=idempotent,
            has_caller_id=has_caller_id,
        )
