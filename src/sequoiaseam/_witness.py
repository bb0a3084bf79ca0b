"""Witness that votes on attempts so that a request runs at most once.

For each request id, a witness records which attempts it granted. An
attempt may start only when a majority of the shard's witness group has
granted it the same slot. docs/at-most-once.md contains the proof.
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
    CLOCK_DRIFT_MAX,
    CLOCK_SKEW_MAX,
    CONFIGURATION_LEASE,
    OUTCOME_BODY_MAX_BYTES,
    WITNESS_RETENTION,
    WITNESS_SHARDS,
)
from sequoiaseam.errors import ErrorCode, RefusalError

# A witness votes only on ids minted more than this long after it started
# or was assigned. Witnesses of the previous group may keep voting for
# CONFIGURATION_LEASE after the change is committed. An id's timestamp may be
# up to CLOCK_SKEW_MAX ahead of the clock that checks it, and that clock may be
# up to CLOCK_SKEW_MAX ahead of this witness's clock.
ELIGIBILITY_DELAY: Final = (
    CONFIGURATION_LEASE * (1 + 2 * CLOCK_DRIFT_MAX) + 2 * CLOCK_SKEW_MAX
)

# Maximum total size of the outcomes that a witness keeps in full. Beyond
# it, the oldest outcomes lose their headers and bodies. A node may use
# 32 MB for all control data.
OUTCOME_MEMORY_MAX_BYTES: Final = 4 * 1024 * 1024

# The entry node rejects older ids, because a witness whose clock is ahead
# may already have dropped their records.
REQUEST_ID_AGE_MAX: Final = WITNESS_RETENTION - 2 * CLOCK_SKEW_MAX

BODY_DIGEST_BYTES: Final = 16
UUID7_PATTERN: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
)
UNIX_EPOCH: Final = datetime(1970, 1, 1, tzinfo=UTC)
EXPIRY_BUCKET_WIDTH: Final = timedelta(seconds=10)
FIRST_GROUP_EPOCH: Final = 1


class Decision(enum.Enum):
    """Decision of a witness on an intent or a fence."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    MISMATCH = "mismatch"
    FENCED = "fenced"
    EXHAUSTED = "exhausted"
    ABSTAIN = "abstain"
    UNSEEN = "unseen"


@dataclass(frozen=True, slots=True)
class RecordKey:
    """Identity of a request, scoped to its workspace.

    For nested calls, ``workspace`` includes the route; see
    ``make_record_key``.
    """

    workspace: str
    request_id: str


def make_record_key(
    workspace: str,
    request_id: str,
    nested_route: str = "",
) -> RecordKey:
    """Return the identity of a root request or of a nested call.

    The keys of nested calls include the route, because a backend server
    may reuse the id of its request for calls to several services.
    """
    scope = f"{workspace}/{nested_route}" if nested_route else workspace
    return RecordKey(scope, request_id)


@dataclass(frozen=True, slots=True)
class FenceMark:
    """A fence proved to have been placed before the request entered."""

    witness: str
    fence_id: str


@dataclass(frozen=True, slots=True)
class Intent:
    """Request from the entry node to a witness to grant an attempt.

    ``supersedes`` lists attempts of the same entry node that are proved
    never to start. ``limit`` is the maximum number of attempts granted
    for the id.
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
    """Request from the entry node to stop all earlier attempts of an id.

    ``unstarted`` lists attempts of this entry node that are proved never
    to start.
    """

    key: RecordKey
    fence_id: str
    entry: str
    epoch: int
    unstarted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """Response to a non-idempotent request, kept to answer resends.

    ``body`` is None if it was too large to keep.
    """

    key: RecordKey
    attempt: str
    body_digest: bytes
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Vote:
    """Vote of a witness on an intent or a fence.

    A vote on an intent goes to the executing node, one on a fence to
    the entry node. For a fence, ``attempt`` is the id of the fence.
    For GRANTED, ``attempts`` is the granted slot, counted from 1.
    ``holders`` are the granted attempts that a fence found and that
    weren't proved never to start. ``fence_id`` and ``fence_age`` are set
    for FENCED only.
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
    """Return the shard of a request, from 0 to WITNESS_SHARDS - 1."""
    text = f"{key.workspace}/{key.request_id}"
    return xxhash.xxh3_64_intdigest(text.encode()) % WITNESS_SHARDS


def compute_body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return a digest that detects an id reused for another request."""
    prefix = f"{method} {path}\n".encode()
    return hashlib.blake2b(
        prefix + body, digest_size=BODY_DIGEST_BYTES
    ).digest()


def mint_request_id(now: datetime, rng: random.Random) -> str:
    """Return a new UUID version 7 for a request without an id."""
    milliseconds = (now - UNIX_EPOCH) // timedelta(milliseconds=1)
    value = (milliseconds & (1 << 48) - 1) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def read_mint_time(request_id: str) -> datetime:
    """Return the timestamp of a UUID version 7, by its creator's clock."""
    milliseconds = int(request_id[:8] + request_id[9:13], 16)
    return UNIX_EPOCH + timedelta(milliseconds=milliseconds)


def parse_request_id(text: str, now: datetime) -> str:
    """Parse an idempotency key and return it as a lower-case UUID.

    Raise RefusalError with ID_MALFORMED unless it is a UUID version 7
    whose timestamp isn't in the future, and with ID_EXPIRED if its
    records may have been dropped. Only a key that isn't a UUID version 7
    is proved not to have run: another node may accept a key that this one
    rejects for its timestamp, and so may this node at another time.
    """
    request_id = text.strip().strip('"').lower()
    if not UUID7_PATTERN.fullmatch(request_id):
        raise RefusalError(
            ErrorCode.ID_MALFORMED,
            "the idempotency key must be a UUID version 7",
        )
    try:
        minted = read_mint_time(request_id)
    except OverflowError:
        minted = datetime.max.replace(tzinfo=UTC)
    if minted > now + CLOCK_SKEW_MAX:
        raise RefusalError(
            ErrorCode.ID_MALFORMED,
            "the idempotency key's time is in the future",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    if minted < now - REQUEST_ID_AGE_MAX:
        raise RefusalError(
            ErrorCode.ID_EXPIRED,
            "the idempotency key is too old",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return request_id


_OUTCOME_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[str, int, tuple[tuple[str, str], ...], bytes | None],
)


@dataclass(slots=True)
class _RequestRecord:
    """State that a witness keeps for one request id.

    ``slots`` holds the attempt of each grant, or "" once that attempt is
    proved never to start. A slot is never granted again. ``fence`` is the
    id of the latest fence and the time it was placed. The outcome is kept
    encoded, which takes half the memory.
    """

    body_digest: bytes = b""
    slots: tuple[str, ...] = ()
    encoded_outcome: bytes | None = None
    fence: tuple[str, datetime] | None = None

    def mark_unstarted(self, attempts: tuple[str, ...]) -> None:
        """Clear the slots of attempts that are proved never to start."""
        if attempts:
            self.slots = tuple(
                "" if slot in attempts else slot for slot in self.slots
            )

    def list_live_attempts(self) -> tuple[str, ...]:
        """Return the granted attempts not proved never to start."""
        return tuple(filter(None, self.slots))

    def unpack_outcome(self, key: RecordKey) -> OutcomeRecord | None:
        """Decode the stored outcome; return None if there is none."""
        if self.encoded_outcome is None:
            return None
        fields = _OUTCOME_DECODER.decode(self.encoded_outcome)
        attempt, status, headers, body = fields
        return OutcomeRecord(
            key,
            attempt,
            self.body_digest,
            status,
            headers,
            body,
        )

    def pack_outcome(self, outcome: OutcomeRecord) -> int:
        """Encode and store an outcome; return its size in bytes."""
        self.encoded_outcome = msgspec.msgpack.encode(
            (
                outcome.attempt,
                outcome.status,
                outcome.headers,
                outcome.body,
            ),
        )
        return len(self.encoded_outcome)


@dataclass(slots=True)
class _ShardAssignment:
    """Witness group of a shard; votes cover ids minted after a time."""

    group: WitnessGroup
    eligible_after: datetime


@dataclass(slots=True)
class _OutcomeSizes:
    """Sizes in bytes of the outcomes kept in full, oldest first."""

    sizes: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    total_bytes: int = 0

    def add(self, packed_key: bytes, size: int) -> tuple[bytes, ...]:
        """Add an outcome; return the keys of those to truncate."""
        self.drop(packed_key)
        self.sizes[packed_key] = size
        self.total_bytes += size
        evicted = []
        while self.total_bytes > OUTCOME_MEMORY_MAX_BYTES:
            oldest = next(iter(self.sizes))
            self.drop(oldest)
            evicted.append(oldest)
        return tuple(evicted)

    def drop(self, packed_key: bytes) -> None:
        """Remove an outcome if it is present."""
        self.total_bytes -= self.sizes.pop(packed_key, 0)


class Witness:
    """Witness of one node for its assigned shards.

    All state is kept in memory only and is lost on a restart.
    """

    def __init__(
        self,
        name: str,
        now: datetime,
        incarnation: int = 0,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._started = now
        self._assignments: dict[int, _ShardAssignment] = {}
        self._records: dict[bytes, _RequestRecord] = {}
        self._expiry_buckets: dict[int, list[bytes]] = {}
        self._outcome_sizes = _OutcomeSizes()

    def __len__(self) -> int:
        """Return the number of records kept."""
        return len(self._records)

    def assign(
        self,
        now: datetime,
        groups: Mapping[int, WitnessGroup],
    ) -> None:
        """Apply the witness groups of all shards in a new fleet state.

        A witness stays eligible for older ids only from one epoch to the
        next and if the group doesn't shrink. Otherwise, a majority of the
        new group might not intersect a majority of a group that this
        witness missed.
        """
        shards: dict[int, _ShardAssignment] = {}
        for shard, group in groups.items():
            if self._name not in group.witnesses:
                continue
            previous = self._assignments.get(shard)
            if previous is not None and _is_successor(previous.group, group):
                shards[shard] = _ShardAssignment(
                    group, previous.eligible_after
                )
            elif self._is_initial_member(group):
                shards[shard] = _ShardAssignment(group, UNIX_EPOCH)
            else:
                shards[shard] = _ShardAssignment(
                    group, now + ELIGIBILITY_DELAY
                )
        self._assignments = shards

    def _is_initial_member(self, group: WitnessGroup) -> bool:
        """Return whether this process is in the shard's first group.

        No attempt was granted before the first group existed, and this
        process has lost no records since.
        """
        position = group.witnesses.index(self._name)
        return (
            group.epoch == FIRST_GROUP_EPOCH
            and position < len(group.incarnations)
            and group.incarnations[position] == self._incarnation != 0
        )

    def receive(
        self,
        now: datetime,
        *,
        fresh: bool,
        message: Intent | Fence | OutcomeRecord,
    ) -> Vote | None:
        """Return the vote on an intent or a fence, or store an outcome.

        ``fresh`` tells whether the node's freshness lease is valid for
        its view, and so for the groups passed to ``assign``.
        """
        if isinstance(message, OutcomeRecord):
            self._store_outcome(now, message)
            return None
        if not UUID7_PATTERN.fullmatch(message.key.request_id):
            return self._build_vote(message, Decision.ABSTAIN)
        if not fresh or not self._can_vote(now, message):
            return self._build_vote(message, Decision.ABSTAIN)
        if isinstance(message, Fence):
            return self._place_fence(now, message)
        return self._vote_on_intent(now, message)

    def tick(self, now: datetime) -> None:
        """Drop the records of ids older than the retention period."""
        oldest = _compute_bucket(now - WITNESS_RETENTION)
        for expired in [
            bucket for bucket in self._expiry_buckets if bucket < oldest
        ]:
            for packed_key in self._expiry_buckets.pop(expired):
                self._outcome_sizes.drop(packed_key)
                self._records.pop(packed_key, None)

    def _can_vote(self, now: datetime, message: Intent | Fence) -> bool:
        assignment = self._assignments.get(compute_shard(message.key))
        if assignment is None or assignment.group.epoch != message.epoch:
            return False
        return self._is_eligible(now, message.key, assignment)

    def _is_eligible(
        self,
        now: datetime,
        key: RecordKey,
        assignment: _ShardAssignment,
    ) -> bool:
        """Return whether no record of the id can have been lost."""
        minted = read_mint_time(key.request_id)
        return (
            minted > assignment.eligible_after
            and minted <= now + CLOCK_SKEW_MAX
            and minted > now - WITNESS_RETENTION
        )

    def _get_or_create_record(self, key: RecordKey) -> _RequestRecord:
        """Return the record of an id, creating it if necessary."""
        packed_key = _pack_key(key)
        record = self._records.get(packed_key)
        if record is None:
            record = self._records[packed_key] = _RequestRecord()
            bucket = _compute_bucket(read_mint_time(key.request_id))
            self._expiry_buckets.setdefault(bucket, []).append(packed_key)
        return record

    def _place_fence(self, now: datetime, fence: Fence) -> Vote:
        record = self._get_or_create_record(fence.key)
        record.mark_unstarted(fence.unstarted)
        record.fence = (fence.fence_id, now)
        holders = record.list_live_attempts()
        decision = Decision.DUPLICATE if holders else Decision.UNSEEN
        return self._build_vote(
            fence,
            decision,
            holders=holders,
            outcome=record.unpack_outcome(fence.key),
        )

    def _vote_on_intent(self, now: datetime, intent: Intent) -> Vote:
        record = self._get_or_create_record(intent.key)
        if record.body_digest and record.body_digest != intent.body_digest:
            return self._build_vote(intent, Decision.MISMATCH)
        if intent.attempt in record.slots:
            slot = record.slots.index(intent.attempt) + 1
            return self._build_vote(intent, Decision.GRANTED, attempts=slot)
        if record.encoded_outcome is not None:
            return self._build_vote(
                intent,
                Decision.DUPLICATE,
                attempts=len(record.slots),
                outcome=record.unpack_outcome(intent.key),
            )
        fenced = self._check_fence(now, record, intent)
        if fenced is not None:
            return fenced
        return self._grant(record, intent)

    def _check_fence(
        self,
        now: datetime,
        record: _RequestRecord,
        intent: Intent,
    ) -> Vote | None:
        """Return a FENCED vote if a fence stops the attempt, else None."""
        if record.fence is None:
            return None
        fence_id, placed_at = record.fence
        if FenceMark(self._name, fence_id) in intent.marks:
            return None
        return self._build_vote(
            intent,
            Decision.FENCED,
            attempts=len(record.slots),
            fence_id=fence_id,
            fence_age=now - placed_at,
        )

    def _grant(self, record: _RequestRecord, intent: Intent) -> Vote:
        record.mark_unstarted(intent.supersedes)
        used_slots = len(record.slots)
        if record.list_live_attempts() and not intent.idempotent:
            return self._build_vote(
                intent, Decision.DUPLICATE, attempts=used_slots
            )
        if used_slots >= intent.limit:
            return self._build_vote(
                intent, Decision.EXHAUSTED, attempts=used_slots
            )
        record.body_digest = intent.body_digest
        record.slots = (*record.slots, intent.attempt)
        return self._build_vote(
            intent, Decision.GRANTED, attempts=used_slots + 1
        )

    def _store_outcome(self, now: datetime, outcome: OutcomeRecord) -> None:
        """Store an outcome if no record of the id can have been lost."""
        assignment = self._assignments.get(compute_shard(outcome.key))
        if assignment is None or not self._is_eligible(
            now,
            outcome.key,
            assignment,
        ):
            return
        record = self._get_or_create_record(outcome.key)
        if record.encoded_outcome is not None or (
            record.body_digest and record.body_digest != outcome.body_digest
        ):
            return
        if outcome.body and len(outcome.body) > OUTCOME_BODY_MAX_BYTES:
            outcome = replace(outcome, body=None)
        record.body_digest = outcome.body_digest
        packed_key, size = _pack_key(outcome.key), record.pack_outcome(outcome)
        if outcome.attempt not in record.slots:
            # The intent was lost before it reached this witness.
            record.slots = (*record.slots, outcome.attempt)
        for evicted in self._outcome_sizes.add(packed_key, size):
            self._truncate_outcome(evicted)

    def _truncate_outcome(self, packed_key: bytes) -> None:
        """Reduce a stored outcome to its attempt and status."""
        record = self._records[packed_key]
        encoded = record.encoded_outcome
        if encoded is not None:
            attempt, status, _, _ = _OUTCOME_DECODER.decode(encoded)
            record.encoded_outcome = msgspec.msgpack.encode(
                (attempt, status, (), None),
            )

    def _build_vote(
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
        answered_id = (
            message.fence_id if isinstance(message, Fence) else message.attempt
        )
        return Vote(
            key=message.key,
            attempt=answered_id,
            decision=decision,
            witness=self._name,
            attempts=attempts,
            outcome=outcome,
            holders=holders,
            fence_id=fence_id,
            fence_age=fence_age,
        )


def _is_successor(old: WitnessGroup, new: WitnessGroup) -> bool:
    """Return whether no group in between can have been missed.

    A group of the next epoch must not be smaller either; see
    ``Witness.assign``.
    """
    if new.epoch == old.epoch:
        return True
    return new.epoch == old.epoch + 1 and len(new.witnesses) >= len(
        old.witnesses,
    )


def _compute_bucket(minted: datetime) -> int:
    return (minted - UNIX_EPOCH) // EXPIRY_BUCKET_WIDTH


def _pack_key(key: RecordKey) -> bytes:
    """Encode the key as a single object to save memory."""
    return key.workspace.encode() + bytes.fromhex(
        key.request_id.replace("-", ""),
    )
