"""Types of the replicated log: identities, records, messages, actions."""

import enum
import hashlib
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Final

from sequoiaseam.errors import ErrorCode

Token = Hashable


class Role(enum.Enum):
    """Role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True, order=True)
class ReplicaId:
    """A host and the random identity of its data folder.

    A host whose disk was wiped gets a new identity, so that it can't
    vote twice in a term or acknowledge entries that it has lost.
    """

    host: str
    identity: str


@dataclass(frozen=True, slots=True)
class Membership:
    """Voters of the group and the replacement in progress, if any.

    ``incoming`` is a learner, which becomes a voter once it has caught
    up; ``outgoing`` is the voter that is removed by the same replacement.
    """

    voters: tuple[ReplicaId, ...]
    incoming: ReplicaId | None = None
    outgoing: ReplicaId | None = None

    @property
    def majority(self) -> int:
        """Return the number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    @property
    def replicas(self) -> tuple[ReplicaId, ...]:
        """Return the voters and the learner."""
        if self.incoming is None:
            return self.voters
        return (*self.voters, self.incoming)


def compute_group_id(voters: Iterable[ReplicaId]) -> str:
    """Return the identifier of the group with these initial voters.

    All messages inside a group carry it, so replicas that started with
    different initial voters never count each other's votes.
    """
    text = "\n".join(
        f"{voter.host} {voter.identity}" for voter in sorted(voters)
    )
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Entry:
    """Log entry; entries of the replicas themselves have an empty command."""

    index: int
    term: int
    command: bytes
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State machine after ``index``, with the membership at that index."""

    index: int
    term: int
    membership: Membership
    data: bytes


# Records of the journal.


@dataclass(frozen=True, slots=True)
class LogFileHeader:
    """Number of frames that a log file had when it was created."""

    initial_frames: int


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """Identity of the data folder."""

    identity: str


@dataclass(frozen=True, slots=True)
class HardState:
    """Term, vote in that term and group; ``group`` is "" before joining."""

    term: int = 0
    vote: ReplicaId | None = None
    group: str = ""


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries that were appended to the log."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Truncated:
    """Removal of all entries from index ``start`` on."""

    start: int


@dataclass(frozen=True, slots=True)
class SnapshotReference:
    """Snapshot file ``name`` that precedes the entries of the log."""

    name: str
    index: int
    term: int


Record = (
    LogFileHeader
    | IdentityRecord
    | HardState
    | Entries
    | Truncated
    | SnapshotReference
)
RECORD_TYPES: Final = (
    LogFileHeader,
    IdentityRecord,
    HardState,
    Entries,
    Truncated,
    SnapshotReference,
)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """Contents of the journal when it was opened."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


# Messages between replicas.


@dataclass(frozen=True, slots=True)
class Hello:
    """Question whether the receiver is empty too, or request to join.

    Empty replicas send it, and those that hear from no leader.
    """

    asker: ReplicaId


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Answer to Hello; ``group`` is "" if the answering replica is empty.

    ``hosts`` are then the hosts in its settings, otherwise those of the
    group's members.
    """

    asker: ReplicaId
    replica: ReplicaId
    group: str
    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Header:
    """Header of all messages inside a group.

    The receiver drops messages to another identity or group.
    """

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: int


@dataclass(frozen=True, slots=True)
class Ballot:
    """Vote request for ``header.term``.

    With ``trial`` it is a pre-vote: the term is the one that the sender
    would start, and the receiver's state does not change.
    """

    header: Header
    trial: bool
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class BallotReply:
    """Answer to a Ballot."""

    header: Header
    trial: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after ``prev_index``; without entries, a heartbeat.

    ``sent`` is the leader's time of sending, which the reply returns.
    """

    header: Header
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent: datetime


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to Append.

    If accepted, the log equals the leader's up to ``verified`` and is
    synced up to ``match``. Otherwise ``verified`` is the index that did
    not match, and ``match`` is the one that the leader should try next.
    """

    header: Header
    accepted: bool
    verified: int
    match: int
    sent: datetime


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot's data, at ``offset`` of ``size`` bytes in all."""

    header: Header
    index: int
    index_term: int
    membership: Membership
    offset: int
    size: int
    data: bytes
    sent: datetime


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Answer to SnapshotChunk with the number of bytes received so far."""

    header: Header
    index: int
    received: int
    sent: datetime


@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Request of a follower to the leader for a read index.

    With ``patient``, the leader waits for its next regular heartbeat
    instead of sending one for this request.
    """

    header: Header
    request_id: int
    patient: bool = False


@dataclass(frozen=True, slots=True)
class ConfirmReply:
    """Answer to ConfirmRequest with the read index."""

    header: Header
    request_id: int
    index: int


GroupMessage = (
    Ballot
    | BallotReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | ConfirmRequest
    | ConfirmReply
)
ReplicaMessage = Hello | HelloReply | GroupMessage
MESSAGE_TYPES: Final = (
    Hello,
    HelloReply,
    Ballot,
    BallotReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    ConfirmRequest,
    ConfirmReply,
)


# Actions that the caller of a replica performs in the given order.


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the host ``to``; delivery isn't guaranteed."""

    to: str
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Append the records to the journal, sync it and call ``synced``."""

    records: tuple[Record, ...]
    token: int


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Save a snapshot of the state at ``index`` in the journal.

    Call ``snapshot_saved`` with the snapshot afterwards.
    """

    index: int
    term: int
    membership: Membership


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the state by the snapshot and save it in the journal.

    Call ``snapshot_saved`` with the snapshot afterwards.
    """

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed command; it is empty for internal entries."""

    index: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """The proposal with this token is committed at ``index``."""

    token: Token
    index: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The proposal or confirmation with this token failed.

    With the reason OUTCOME_UNKNOWN, a proposal may still be committed;
    with any other reason it won't be.
    """

    token: Token
    reason: ErrorCode
    leader: str | None


@dataclass(frozen=True, slots=True)
class Confirmed:
    """``index`` covers all entries acknowledged before the request."""

    token: Token
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The replica's role, term or known leader changed."""

    role: Role
    term: int
    leader: str | None


Action = (
    Send
    | Persist
    | SaveSnapshot
    | InstallSnapshot
    | Apply
    | ProposalCommitted
    | Rejected
    | Confirmed
    | RoleChanged
)
Actions = tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """State of a replica, for operators and the repair of the group.

    On the leader, ``match_indexes`` holds the last index that each
    other replica is known to have synced, and ``acked_at`` the time at
    which the leader sent the newest message that the replica has
    answered, or None before its first answer. Both are empty on other
    replicas. ``waiting`` lists the replicas that asked to join: empty ones,
    and those that the group removed while they were lost. ``excluded``
    tells whether this replica is such a removed one.
    """

    replica: ReplicaId
    role: Role
    term: int
    leader: str | None
    failed: bool
    commit_index: int
    last_index: int
    snapshot_index: int
    membership: Membership | None
    match_indexes: tuple[tuple[str, int], ...]
    acked_at: tuple[tuple[str, datetime | None], ...]
    waiting: tuple[ReplicaId, ...]
    excluded: bool = False
