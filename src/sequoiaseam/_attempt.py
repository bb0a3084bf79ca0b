"""Attempts: both nodes' sides of running a request at most once.

The entry node plans attempts (``EntryAttempts``) and proves refusals
(``FenceTracker``); the guarding node starts an attempt once a majority
of witnesses granted it (``AttemptTracker``). The adapter only forwards
messages. docs/at-most-once.md has the argument.
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
from sequoiaseam.const import CLOCK_DRIFT, CLOCK_SKEW, OUTCOME_BODY_LIMIT
from sequoiaseam.errors import ErrorCode

# A forwarded call that arrives later than this after its entry is not
# started, so that a node need not remember older attempts.
CALL_LIFETIME: Final = timedelta(seconds=10)

# Longest time from sending a fence to concluding "not run" from it. A
# request that entered later than this after a fence was placed entered
# after the caller was told, so it may pass the fence.
FENCE_TIMEOUT: Final = timedelta(milliseconds=500)

# Smallest Retry-After of a refusal that was proved with a fence; a
# resend that comes sooner may be refused by the fence once more.
FENCE_RETRY_AFTER_MIN: Final = FENCE_TIMEOUT * 2

# Votes that may come ahead of their calls, over all attempts.
EARLY_VOTE_ATTEMPTS_MAX: Final = 10_000


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """An attempt; goes with the forwarded call to the guarding node.

    ``group`` is None when no witnesses are asked: the id is the entry
    node's own, so no other node can have an attempt of it.
    """

    intent: Intent
    group: WitnessGroup | None


@dataclass(frozen=True, slots=True)
class FenceSeen:
    """A fence that stopped an attempt, and its age when it did."""

    witness: str
    fence_id: str
    age: timedelta


@dataclass(frozen=True, slots=True)
class Granted:
    """The attempt may start on the guarding node."""

    attempt: str


@dataclass(frozen=True, slots=True)
class Denied:
    """The attempt will not start on account of this call.

    ``verdict`` is what is known of the id: RAN with the recorded
    outcome, else MAY_HAVE_RUN. ``unstarted`` is True when it is proved
    that the attempt never starts, so that it may be superseded.
    """

    attempt: str
    code: ErrorCode
    verdict: Verdict
    outcome: OutcomeRecord | None = None
    unstarted: bool = True
    fences: tuple[FenceSeen, ...] = ()


@dataclass(frozen=True, slots=True)
class Fenced:
    """What a fence proved of a request id."""

    fence_id: str
    verdict: Verdict


AttemptAction = Granted | Denied

# Besides WITNESS_MESSAGES; they go with the call and with its refusal.
ATTEMPT_MESSAGES: Final = (AttemptPlan, Denied)


def count_majority(group: WitnessGroup) -> int:
    """Return how many witnesses of a group are a majority."""
    return len(group.witnesses) // 2 + 1


@dataclass(slots=True)
class _Attempt:
    """An attempt that the guarding node collects votes for."""

    plan: AttemptPlan
    deadline: datetime
    votes: dict[str, Vote] = field(default_factory=dict)
    granted: bool = False
    started: bool = False


class AttemptTracker:
    """Decide on the guarding node which attempts may start."""

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._live: dict[str, _Attempt] = {}
        # Attempts that ended, with the time until which a late copy of
        # their call could still be accepted.
        self._ended: dict[str, datetime] = {}
        self._early: dict[str, list[Vote]] = {}
        self._early_since: dict[str, datetime] = {}
        self.denials: Counter[ErrorCode] = Counter()

    def register_call(
        self,
        now: datetime,
        plan: AttemptPlan,
        deadline: datetime,
    ) -> tuple[AttemptAction, ...]:
        """Take in a forwarded call; its votes may have come already."""
        intent = plan.intent
        attempt = intent.attempt
        if attempt in self._live or attempt in self._ended:
            return ()
        elsewhere = (intent.guard, intent.guard_incarnation) != (
            self._name,
            self._incarnation,
        )
        early = intent.entered > now + CLOCK_SKEW
        if elsewhere or early or now >= _forget_time(intent):
            # Another run of this node may have started the attempt, or
            # this one may have forgotten that it did, or would have to
            # remember it for too long.
            return (
                self._deny(
                    attempt,
                    ErrorCode.CONNECTION_LOST,
                    unstarted=False,
                ),
            )
        entry = self._live[attempt] = _Attempt(plan, deadline)
        for vote in self._take_early(attempt):
            self._count(entry, vote)
        return self._decide(now, entry)

    def record_vote(
        self,
        now: datetime,
        vote: Vote,
    ) -> tuple[AttemptAction, ...]:
        """Count a vote on an attempt."""
        entry = self._live.get(vote.attempt)
        if entry is not None:
            self._count(entry, vote)
            return self._decide(now, entry)
        if vote.attempt not in self._ended:
            self._keep_early(now, vote)
        return ()

    def start(self, now: datetime, attempt: str) -> bool:
        """Begin to run a granted attempt; return False if it must not."""
        entry = self._live.get(attempt)
        if entry is None or not entry.granted or entry.started:
            return False
        if now >= entry.deadline:
            return False
        entry.started = True
        return True

    def refuse(self, now: datetime, attempt: str) -> bool:
        """Give an attempt up; return True if it never starts.

        The promise holds for later copies of the call, too.
        """
        entry = self._live.get(attempt)
        if entry is None or entry.started:
            return False
        self._end(now, entry)
        return True

    def complete(
        self,
        now: datetime,
        attempt: str,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> OutcomeRecord | None:
        """End a started attempt; return the outcome for the witnesses."""
        entry = self._live.get(attempt)
        if entry is None or not entry.started:
            return None
        self._end(now, entry)
        intent = entry.plan.intent
        if entry.plan.group is None or intent.idempotent:
            return None
        return OutcomeRecord(
            key=intent.key,
            attempt=attempt,
            body_digest=intent.body_digest,
            status=status,
            headers=headers,
            body=body if len(body) <= OUTCOME_BODY_LIMIT else None,
        )

    def abandon(self, now: datetime, attempt: str) -> None:
        """End a started attempt whose outcome is not known."""
        entry = self._live.get(attempt)
        if entry is not None and entry.started:
            self._end(now, entry)

    def tick(self, now: datetime) -> tuple[AttemptAction, ...]:
        """Deny attempts past their deadline and forget old ones.

        A granted attempt that was not started by then never starts.
        """
        late = [e for e in self._live.values() if now >= e.deadline]
        for entry in late:
            if entry.granted and not entry.started:
                self._end(now, entry)
        denied = tuple(
            self._deny_entry(now, entry) for entry in late if not entry.granted
        )
        self._forget(now)
        return denied

    def _forget(self, now: datetime) -> None:
        """Drop the oldest ended attempts and votes without a call."""
        while self._ended:
            attempt, until = next(iter(self._ended.items()))
            if now < until:
                break
            del self._ended[attempt]
        while self._early_since:
            attempt, since = next(iter(self._early_since.items()))
            if now < since + CALL_LIFETIME:
                break
            self._take_early(attempt)

    def _decide(
        self,
        now: datetime,
        entry: _Attempt,
    ) -> tuple[AttemptAction, ...]:
        if entry.granted:
            return ()
        group = entry.plan.group
        intent = entry.plan.intent
        if group is None:
            entry.granted = True
            return (Granted(intent.attempt),)
        grants = _count_grants(entry.votes, intent)
        if grants >= count_majority(group):
            entry.granted = True
            return (Granted(intent.attempt),)
        if _is_open(entry.votes, grants, group):
            return ()
        return (self._deny_entry(now, entry),)

    def _deny_entry(self, now: datetime, entry: _Attempt) -> Denied:
        self._end(now, entry)
        votes = tuple(entry.votes.values())
        outcome = next((v.outcome for v in votes if v.outcome), None)
        return self._deny(
            entry.plan.intent.attempt,
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
        attempt: str,
        code: ErrorCode,
        *,
        outcome: OutcomeRecord | None = None,
        unstarted: bool = True,
        fences: tuple[FenceSeen, ...] = (),
    ) -> Denied:
        self.denials[code] += 1
        return Denied(
            attempt=attempt,
            code=code,
            verdict=Verdict.RAN if outcome else Verdict.MAY_HAVE_RUN,
            outcome=outcome,
            unstarted=unstarted,
            fences=fences,
        )

    def _count(self, entry: _Attempt, vote: Vote) -> None:
        """Keep the first vote of each witness of the group."""
        group = entry.plan.group
        if group is not None and vote.witness in group.witnesses:
            entry.votes.setdefault(vote.witness, vote)

    def _end(self, now: datetime, entry: _Attempt) -> None:
        intent = entry.plan.intent
        del self._live[intent.attempt]
        if now < _forget_time(intent):
            self._ended[intent.attempt] = _forget_time(intent)

    def _keep_early(self, now: datetime, vote: Vote) -> None:
        if len(self._early) >= EARLY_VOTE_ATTEMPTS_MAX:
            return
        self._early_since.setdefault(vote.attempt, now)
        self._early.setdefault(vote.attempt, []).append(vote)

    def _take_early(self, attempt: str) -> list[Vote]:
        self._early_since.pop(attempt, None)
        return self._early.pop(attempt, [])


def _forget_time(intent: Intent) -> datetime:
    """Return when a call is too late, by the guarding node's clock."""
    return intent.entered + CALL_LIFETIME + CLOCK_SKEW


def _count_grants(votes: dict[str, Vote], intent: Intent) -> int:
    """Return the grants that add up to a majority.

    Grants of an idempotent request add up only for the same slot, or
    more attempts than its limit could start.
    """
    slots = Counter(
        vote.attempts if intent.idempotent else 0
        for vote in votes.values()
        if vote.decision is Decision.GRANTED
    )
    return max(slots.values(), default=0)


def _is_open(
    votes: dict[str, Vote],
    grants: int,
    group: WitnessGroup,
) -> bool:
    """Tell whether to wait for more votes.

    A majority is heard in any case, so that a denial tells of enough
    fences for the next attempt to pass them all.
    """
    majority = count_majority(group)
    missing = len(group.witnesses) - len(votes)
    return grants + missing >= majority or len(votes) < majority


def _choose_code(decisions: set[Decision]) -> ErrorCode:
    """Return the code for votes that gave no majority."""
    if Decision.MISMATCH in decisions:
        return ErrorCode.ID_REUSED
    if Decision.DUPLICATE in decisions:
        return ErrorCode.DUPLICATE
    if Decision.EXHAUSTED in decisions:
        return ErrorCode.RETRIES_EXHAUSTED
    return ErrorCode.NO_WITNESSES


@dataclass(slots=True)
class _FenceWait:
    """A fence that the entry node collects votes for."""

    fence: Fence
    group: WitnessGroup
    deadline: datetime
    votes: dict[str, Vote] = field(default_factory=dict)


class FenceTracker:
    """Prove on the entry node that a request did not and will not run."""

    def __init__(self) -> None:
        self._waits: dict[str, _FenceWait] = {}
        self.verdicts: Counter[Verdict] = Counter()

    def register_fence(
        self,
        now: datetime,
        fence: Fence,
        group: WitnessGroup,
        deadline: datetime,
    ) -> tuple[Fenced, ...]:
        """Wait for the votes; call it before the fence is sent."""
        limit = min(deadline, now + FENCE_TIMEOUT)
        self._waits[fence.fence_id] = _FenceWait(fence, group, limit)
        return self.tick(now)

    def record_vote(self, now: datetime, vote: Vote) -> tuple[Fenced, ...]:
        """Count a vote on a fence."""
        wait = self._waits.get(vote.attempt)
        if wait is None:
            return ()
        if now >= wait.deadline:
            return self.tick(now)
        if vote.witness not in wait.group.witnesses:
            return ()
        wait.votes.setdefault(vote.witness, vote)
        verdict = _judge_fence(wait.votes, wait.group)
        if verdict is None:
            return ()
        return (self._conclude(wait, verdict),)

    def tick(self, now: datetime) -> tuple[Fenced, ...]:
        """Conclude the fences that got no proof in time."""
        return tuple(
            self._conclude(wait, Verdict.MAY_HAVE_RUN)
            for wait in tuple(self._waits.values())
            if now >= wait.deadline
        )

    def _conclude(self, wait: _FenceWait, verdict: Verdict) -> Fenced:
        del self._waits[wait.fence.fence_id]
        self.verdicts[verdict] += 1
        return Fenced(wait.fence.fence_id, verdict)


def _judge_fence(
    votes: dict[str, Vote],
    group: WitnessGroup,
) -> Verdict | None:
    """Return the verdict on the id, or None while votes may change it.

    The id has not run and won't if no attempt has, or can still get, a
    majority: a witness that answered grants nothing older any more.
    """
    if any(vote.outcome for vote in votes.values()):
        return Verdict.RAN
    sound = [
        vote
        for vote in votes.values()
        if vote.decision in (Decision.UNSEEN, Decision.DUPLICATE)
    ]
    holders = Counter(name for vote in sound for name in vote.holders)
    most = max(holders.values(), default=0)
    silent = len(group.witnesses) - len(sound)
    if most + silent < count_majority(group):
        return Verdict.NOT_RUN
    unheard = len(group.witnesses) - len(votes)
    if most + silent - unheard >= count_majority(group) or not unheard:
        return Verdict.MAY_HAVE_RUN
    return None


@dataclass(slots=True)
class RequestAttempts:
    """Attempts of one request, planned by the node that it entered.

    ``named`` says that the caller gave the id, so that other nodes may
    have attempts of it; only then witnesses are asked.
    """

    entry: str
    attempt_prefix: str
    key: RecordKey
    body_digest: bytes
    entered: datetime
    limit: int
    idempotent: bool
    has_caller_id: bool
    _count: int = 0
    _spent: int = 0
    _fenced: bool = False
    _open: set[str] = field(default_factory=set)
    _unstarted: tuple[str, ...] = ()
    _marks: dict[str, FenceMark] = field(default_factory=dict)

    def can_retry(self) -> bool:
        """Tell whether another attempt is allowed."""
        if self._fenced or (self._open and not self.idempotent):
            return False
        return self._spent < self.limit

    def plan(
        self,
        guard: str,
        guard_incarnation: int,
        group: WitnessGroup | None,
    ) -> AttemptPlan:
        """Return the next attempt; send its intent to the plan's group.

        Raise ValueError unless ``can_retry()``, and for a named request
        without a group.
        """
        if not self.can_retry():
            raise ValueError("another attempt is not allowed")
        if not self.has_caller_id:
            group = None
        elif group is None:
            raise ValueError("a named request needs witnesses")
        self._count += 1
        self._spent += 1
        attempt = f"{self.attempt_prefix}.{self._count}"
        self._open.add(attempt)
        intent = Intent(
            key=self.key,
            attempt=attempt,
            body_digest=self.body_digest,
            guard=guard,
            guard_incarnation=guard_incarnation,
            entry=self.entry,
            entered=self.entered,
            epoch=group.epoch if group else 0,
            limit=self.limit,
            idempotent=self.idempotent,
            supersedes=self._unstarted,
            marks=tuple(self._marks.values()),
        )
        return AttemptPlan(intent, group)

    def record_unstarted(self, attempt: str) -> None:
        """Note that an attempt is proved never to start."""
        if attempt in self._open:
            self._open.remove(attempt)
            self._unstarted = (*self._unstarted, attempt)

    def record_denial(self, now: datetime, denied: Denied) -> bool:
        """Note a denial; return True if another attempt may be granted.

        That is so when all fences that stopped this one are proved to
        be older than the request.
        """
        if denied.unstarted:
            self.record_unstarted(denied.attempt)
        elapsed = (now - self.entered) * (1 + 2 * CLOCK_DRIFT)
        told = FENCE_TIMEOUT * (1 + 2 * CLOCK_DRIFT)
        passed = False
        for seen in denied.fences:
            # The witness measured the age before now, so the fence was
            # placed, and its verdict told, before the request entered.
            if seen.age * (1 - 2 * CLOCK_DRIFT) > elapsed + told:
                mark = FenceMark(seen.witness, seen.fence_id)
                passed |= self._marks.get(seen.witness) != mark
                self._marks[seen.witness] = mark
        if passed:
            # The next attempt stands for the one that a fence stopped.
            self._spent -= 1
        return passed and self.can_retry()

    def find_known_verdict(self) -> Verdict | None:
        """Return the verdict of a refusal, or None if a fence must tell."""
        if self.has_caller_id:
            return None
        return Verdict.MAY_HAVE_RUN if self._open else Verdict.NOT_RUN

    def create_fence(self, group: WitnessGroup) -> Fence:
        """Return a fence that stops and checks all attempts of the id.

        No attempt may be planned after it.
        """
        self._fenced = True
        return Fence(
            key=self.key,
            fence_id=f"{self.attempt_prefix}.f",
            entry=self.entry,
            epoch=group.epoch,
            unstarted=self._unstarted,
        )


class EntryAttempts:
    """Open the attempts of the requests that enter at one node."""

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
        """Return the attempts of a request that enters now.

        ``limit`` is the most attempts allowed: one plus the retries.
        """
        self._count += 1
        return RequestAttempts(
            entry=self._name,
            attempt_prefix=f"{self._name}.{self._incarnation:x}.{self._count:x}",
            key=key,
            body_digest=body_digest,
            entered=now,
            limit=limit,
            idempotent=idempotent,
            has_caller_id=has_caller_id,
        )
