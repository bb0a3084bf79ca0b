"""Witness: votes on attempts, so that a request runs at most once.

A witness remembers, for each request id, which attempts it granted. An
attempt may start only with grants from a majority of the shard's group
for the same slot. docs/at-most-once.md has the argument.
"""

import enum
import hashlib
import random
import re
import uuid
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from typing import Final

import msgspec
import xxhash

from sequoiaseam._commands import WitnessGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam.const import (
    CLOCK_DRIFT,
    CLOCK_SKEW,
    LEASE,
    OUTCOME_BODY_LIMIT,
    WITNESS_RETENTION,
    WITNESS_SHARDS,
)
from sequoiaseam.errors import ErrorCode, RefusalError

# A witness votes only on ids minted this long after its start or
# assignment. Members of an older group may vote for LEASE after the
# change was committed. An id may lie CLOCK_SKEW in the future of the
# clock that checks it, and that clock CLOCK_SKEW ahead of this one.
ELIGIBILITY_DELAY: Final = LEASE * (1 + 2 * CLOCK_DRIFT) + 2 * CLOCK_SKEW

# Bytes of outcomes that one witness keeps at most; the oldest lose their
# headers and bodies. A node may spend 32 MB on all control.
OUTCOME_MEMORY_MAX_BYTES: Final = 4 * 1024 * 1024

# Older ids are refused at the entry, because some witness may already
# have dropped their records by its own clock.
ID_AGE_MAX: Final = WITNESS_RETENTION - 2 * CLOCK_SKEW

DIGEST_SIZE: Final = 16
UUID_TEXT: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
)
UNIX_EPOCH: Final = datetime(1970, 1, 1, tzinfo=UTC)
BUCKET: Final = timedelta(seconds=10)
FIRST_EPOCH: Final = 1


class Decision(enum.Enum):
    """A witness's answer to an intent or a fence."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    MISMATCH = "mismatch"
    FENCED = "fenced"
    EXHAUSTED = "exhausted"
    ABSTAIN = "abstain"
    UNSEEN = "unseen"


@dataclass(frozen=True, slots=True)
class RecordKey:
    """Identity of a request: ids of two workspaces never meet.

    ``workspace`` has a route appended for nested calls (``make_key``).
    """

    workspace: str
    request_id: str


def make_record_key(
    workspace: str,
    request_id: str,
    nested_route: str = "",
) -> RecordKey:
    """Return the identity of a root request or of a nested call.

    A backend server may pass its request's id on to several services,
    so the ids of nested calls are kept apart by route.
    """
    scope = f"{workspace}/{nested_route}" if nested_route else workspace
    return RecordKey(scope, request_id)


@dataclass(frozen=True, slots=True)
class FenceMark:
    """A fence that was proved older than the request at its entry."""

    witness: str
    fence_id: str


@dataclass(frozen=True, slots=True)
class Intent:
    """Ask the witnesses to grant an attempt; goes from entry to witness.

    ``supersedes`` lists attempts of the same entry that are proved never
    to start. ``limit`` bounds the attempts granted for the id.
    """

    key: RecordKey
    attempt: str
    body_digest: bytes
    guard: str
    guard_incarnation: int
    entry: str
    entered: datetime
    epoch: int
    limit: int
    idempotent: bool = False
    supersedes: tuple[str, ...] = ()
    marks: tuple[FenceMark, ...] = ()


@dataclass(frozen=True, slots=True)
class Fence:
    """Stop every attempt that entered before; goes from entry to witness.

    ``unstarted`` lists attempts of this entry that are proved never to
    start.
    """

    key: RecordKey
    fence_id: str
    entry: str
    epoch: int
    unstarted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """Response of a non-idempotent request, for its resends.

    ``body`` is None when it was too large to keep.
    """

    key: RecordKey
    attempt: str
    body_digest: bytes
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Vote:
    """Answer to the guarding node for an intent, or the entry for a fence.

    ``attempt`` is the fence's id for a fence. ``attempts`` is the slot
    granted, counted from 1. ``holders`` are the live attempts that a
    fence found. ``fence_id`` and ``fence_age`` come with FENCED.
    """

    key: RecordKey
    attempt: str
    decision: Decision
    witness: str
    attempts: int = 0
    outcome: OutcomeRecord | None = None
    holders: tuple[str, ...] = ()
    fence_id: str = ""
    fence_age: timedelta = timedelta(0)


WITNESS_MESSAGES: Final = (Intent, Fence, OutcomeRecord, Vote)


def compute_shard(key: RecordKey) -> int:
    """Return the shard of a request id, 0 to WITNESS_SHARDS - 1."""
    text = f"{key.workspace}/{key.request_id}"
    return xxhash.xxh3_64_intdigest(text.encode()) % WITNESS_SHARDS


def compute_body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that tells whether an id is reused."""
    head = f"{method} {path}\n".encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_SIZE).digest()


def mint_request_id(now: datetime, rng: random.Random) -> str:
    """Return a fresh UUID version 7 for a request without an id."""
    milliseconds = (now - UNIX_EPOCH) // timedelta(milliseconds=1)
    value = (milliseconds & (1 << 48) - 1) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def read_mint_time(request_id: str) -> datetime:
    """Return when a UUID version 7 was made, by its maker's clock."""
    milliseconds = int(request_id[:8] + request_id[9:13], 16)
    return UNIX_EPOCH + timedelta(milliseconds=milliseconds)


def parse_request_id(text: str, now: datetime) -> str:
    """Return the id in lower case.

    Raise RefusalError ID_MALFORMED unless it is a UUID version 7 with a
    time that isn't in the future, and ID_EXPIRED when its records may
    be gone. Only a malformed text is proved not to have run: another
    node, or this one earlier or later, may accept the others.
    """
    request_id = text.strip().strip('"').lower()
    if not UUID_TEXT.fullmatch(request_id):
        raise RefusalError(
            ErrorCode.ID_MALFORMED,
            "the idempotency key must be a UUID version 7",
        )
    try:
        minted = read_mint_time(request_id)
    except OverflowError:
        minted = datetime.max.replace(tzinfo=UTC)
    if minted > now + CLOCK_SKEW:
        raise RefusalError(
            ErrorCode.ID_MALFORMED,
            "the idempotency key's time is in the future",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    if minted < now - ID_AGE_MAX:
        raise RefusalError(
            ErrorCode.ID_EXPIRED,
            "the idempotency key is too old",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return request_id


_PACKED: Final = msgspec.msgpack.Decoder(
    tuple[str, int, tuple[tuple[str, str], ...], bytes | None],
)


@dataclass(slots=True)
class _Record:
    """What a witness knows of one id.

    ``slots`` has an attempt for each grant, or "" once the attempt is
    proved never to start; a slot is never granted again. ``outcome`` is
    encoded, which takes half the memory.
    """

    digest: bytes = b""
    slots: tuple[str, ...] = ()
    outcome: bytes | None = None
    fence: tuple[str, datetime] | None = None

    def discard(self, attempts: tuple[str, ...]) -> None:
        """Mark attempts as never to start."""
        if attempts:
            self.slots = tuple(
                "" if slot in attempts else slot for slot in self.slots
            )

    def holders(self) -> tuple[str, ...]:
        """Return the attempts that may start."""
        return tuple(filter(None, self.slots))

    def unpack_outcome(self, key: RecordKey) -> OutcomeRecord | None:
        """Return the outcome as it was received."""
        if self.outcome is None:
            return None
        packed = _PACKED.decode(self.outcome)
        attempt, status, headers, body = packed
        return OutcomeRecord(
            key,
            attempt,
            self.digest,
            status,
            headers,
            body,
        )

    def pack_outcome(self, outcome: OutcomeRecord) -> int:
        """Keep an outcome; return its size in bytes."""
        self.outcome = msgspec.msgpack.encode(
            (
                outcome.attempt,
                outcome.status,
                outcome.headers,
                outcome.body,
            ),
        )
        return len(self.outcome)


@dataclass(slots=True)
class _Assignment:
    """A shard's group and the time after which ids must be minted."""

    group: WitnessGroup
    eligible: datetime


@dataclass(slots=True)
class _Outcomes:
    """Sizes of the outcomes kept whole, oldest first."""

    sizes: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    total: int = 0

    def add(self, name: bytes, size: int) -> tuple[bytes, ...]:
        """Add one; return those that must be shortened."""
        self.drop(name)
        self.sizes[name] = size
        self.total += size
        evicted = []
        while self.total > OUTCOME_MEMORY_MAX_BYTES:
            oldest = next(iter(self.sizes))
            self.drop(oldest)
            evicted.append(oldest)
        return tuple(evicted)

    def drop(self, name: bytes) -> None:
        """Forget one, if it is there."""
        self.total -= self.sizes.pop(name, 0)


class Witness:
    """Votes of one node for the shards assigned to it; memory only."""

    def __init__(
        self,
        name: str,
        now: datetime,
        incarnation: int = 0,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._started = now
        self._shards: dict[int, _Assignment] = {}
        self._records: dict[bytes, _Record] = {}
        self._buckets: dict[int, list[bytes]] = {}
        self._outcomes = _Outcomes()

    def __len__(self) -> int:
        """Return the number of records kept."""
        return len(self._records)

    def assign(
        self,
        now: datetime,
        groups: Mapping[int, WitnessGroup],
    ) -> None:
        """Take over the groups of all shards as of a new fleet state.

        A member keeps its eligibility only from one epoch to the next
        and while the group doesn't shrink; otherwise a majority of this
        group might not meet one of a group that it didn't see.
        """
        shards: dict[int, _Assignment] = {}
        for shard, group in groups.items():
            if self._name not in group.witnesses:
                continue
            old = self._shards.get(shard)
            if old is not None and _is_successor(old.group, group):
                shards[shard] = _Assignment(group, old.eligible)
            elif self._is_first(group):
                shards[shard] = _Assignment(group, UNIX_EPOCH)
            else:
                shards[shard] = _Assignment(group, now + ELIGIBILITY_DELAY)
        self._shards = shards

    def _is_first(self, group: WitnessGroup) -> bool:
        """Tell whether this run was chosen for a shard's first group.

        No attempt was granted before the first group, and this run has
        forgotten nothing since.
        """
        place = group.witnesses.index(self._name)
        return (
            group.epoch == FIRST_EPOCH
            and place < len(group.incarnations)
            and group.incarnations[place] == self._incarnation != 0
        )

    def receive(
        self,
        now: datetime,
        *,
        fresh: bool,
        message: Intent | Fence | OutcomeRecord,
    ) -> Vote | None:
        """Return the vote on an intent or a fence; store an outcome.

        ``fresh`` says whether the node's view, and so the groups given
        to ``assign``, is covered by its freshness lease.
        """
        if isinstance(message, OutcomeRecord):
            self._store(now, message)
            return None
        if not UUID_TEXT.fullmatch(message.key.request_id):
            return self._vote(message, Decision.ABSTAIN)
        if not fresh or not self._can_vote(now, message):
            return self._vote(message, Decision.ABSTAIN)
        if isinstance(message, Fence):
            return self._fence(now, message)
        return self._decide(now, message)

    def tick(self, now: datetime) -> None:
        """Drop the records of ids past the retention."""
        oldest = _bucket(now - WITNESS_RETENTION)
        for number in [b for b in self._buckets if b < oldest]:
            for name in self._buckets.pop(number):
                self._outcomes.drop(name)
                self._records.pop(name, None)

    def _can_vote(self, now: datetime, message: Intent | Fence) -> bool:
        assignment = self._shards.get(compute_shard(message.key))
        if assignment is None or assignment.group.epoch != message.epoch:
            return False
        return self._covers(now, message.key, assignment)

    def _covers(
        self,
        now: datetime,
        key: RecordKey,
        assignment: _Assignment,
    ) -> bool:
        """Tell whether no record of the id can have been lost."""
        minted = read_mint_time(key.request_id)
        return (
            minted > assignment.eligible
            and minted <= now + CLOCK_SKEW
            and minted > now - WITNESS_RETENTION
        )

    def _record(self, key: RecordKey) -> _Record:
        """Return the id's record, made if need be."""
        name = _pack(key)
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _Record()
            number = _bucket(read_mint_time(key.request_id))
            self._buckets.setdefault(number, []).append(name)
        return record

    def _fence(self, now: datetime, fence: Fence) -> Vote:
        record = self._record(fence.key)
        record.discard(fence.unstarted)
        record.fence = (fence.fence_id, now)
        holders = record.holders()
        decision = Decision.DUPLICATE if holders else Decision.UNSEEN
        return self._vote(
            fence,
            decision,
            holders=holders,
            outcome=record.unpack_outcome(fence.key),
        )

    def _decide(self, now: datetime, intent: Intent) -> Vote:
        record = self._record(intent.key)
        if record.digest and record.digest != intent.body_digest:
            return self._vote(intent, Decision.MISMATCH)
        if intent.attempt in record.slots:
            slot = record.slots.index(intent.attempt) + 1
            return self._vote(intent, Decision.GRANTED, attempts=slot)
        if record.outcome is not None:
            return self._vote(
                intent,
                Decision.DUPLICATE,
                attempts=len(record.slots),
                outcome=record.unpack_outcome(intent.key),
            )
        fenced = self._find_fence(now, record, intent)
        if fenced is not None:
            return fenced
        return self._grant(record, intent)

    def _find_fence(
        self,
        now: datetime,
        record: _Record,
        intent: Intent,
    ) -> Vote | None:
        """Return a vote if a fence stops the attempt."""
        if record.fence is None:
            return None
        fence_id, placed = record.fence
        if FenceMark(self._name, fence_id) in intent.marks:
            return None
        return self._vote(
            intent,
            Decision.FENCED,
            attempts=len(record.slots),
            fence_id=fence_id,
            fence_age=now - placed,
        )

    def _grant(self, record: _Record, intent: Intent) -> Vote:
        record.discard(intent.supersedes)
        taken = len(record.slots)
        if record.holders() and not intent.idempotent:
            return self._vote(intent, Decision.DUPLICATE, attempts=taken)
        if taken >= intent.limit:
            return self._vote(intent, Decision.EXHAUSTED, attempts=taken)
        record.digest = intent.body_digest
        record.slots = (*record.slots, intent.attempt)
        return self._vote(intent, Decision.GRANTED, attempts=taken + 1)

    def _store(self, now: datetime, outcome: OutcomeRecord) -> None:
        """Keep an outcome if the id's record can't have been lost."""
        assignment = self._shards.get(compute_shard(outcome.key))
        if assignment is None or not self._covers(
            now,
            outcome.key,
            assignment,
        ):
            return
        record = self._record(outcome.key)
        if record.outcome is not None or (
            record.digest and record.digest != outcome.body_digest
        ):
            return
        if outcome.body and len(outcome.body) > OUTCOME_BODY_LIMIT:
            outcome = replace(outcome, body=None)
        record.digest = outcome.body_digest
        name, size = _pack(outcome.key), record.pack_outcome(outcome)
        if outcome.attempt not in record.slots:
            # The intent was lost on its way here.
            record.slots = (*record.slots, outcome.attempt)
        for evicted in self._outcomes.add(name, size):
            self._shorten(evicted)

    def _shorten(self, name: bytes) -> None:
        """Keep of an outcome only which attempt ran, and its status."""
        record = self._records[name]
        packed = record.outcome
        if packed is not None:
            attempt, status, _, _ = _PACKED.decode(packed)
            record.outcome = msgspec.msgpack.encode(
                (attempt, status, (), None),
            )

    def _vote(
        self,
        message: Intent | Fence,
        decision: Decision,
        *,
        attempts: int = 0,
        outcome: OutcomeRecord | None = None,
        holders: tuple[str, ...] = (),
        fence_id: str = "",
        fence_age: timedelta = timedelta(0),
    ) -> Vote:
        name = (
            message.fence_id if isinstance(message, Fence) else message.attempt
        )
        return Vote(
            key=message.key,
            attempt=name,
            decision=decision,
            witness=self._name,
            attempts=attempts,
            outcome=outcome,
            holders=holders,
            fence_id=fence_id,
            fence_age=fence_age,
        )


def _is_successor(old: WitnessGroup, new: WitnessGroup) -> bool:
    """Tell whether no group between the two can have been missed."""
    if new.epoch == old.epoch:
        return True
    return new.epoch == old.epoch + 1 and len(new.witnesses) >= len(
        old.witnesses,
    )


def _bucket(minted: datetime) -> int:
    return (minted - UNIX_EPOCH) // BUCKET


def _pack(key: RecordKey) -> bytes:
    """Return the key in one object, which takes less memory."""
    return key.workspace.encode() + bytes.fromhex(
        key.request_id.replace("-", ""),
    )
