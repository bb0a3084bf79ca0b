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
    """A host together with the random identity of its data folder.

    A host whose disk was wiped has another identity, so that it can't
    vote a second time or vouch for entries that it has lost.
    """

    host: str
    identity: str


@dataclass(frozen=True, slots=True)
class Membership:
    """Replicas that vote, and the replacement in progress, if any.

    ``incoming`` is a learner until it has caught up and votes;
    ``outgoing`` is the voter that leaves in the same sequence.
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
    """Return the name of the group with these initial voters.

    Every message carries it, so replicas that adopted different
    initial voters never count each other's votes.
    """
    text = "\n".join(f"{one.host} {one.identity}" for one in sorted(voters))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log; internal entries have an empty command."""

    index: int
    term: int
    command: bytes
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State after ``index``, with the membership in force there."""

    index: int
    term: int
    membership: Membership
    data: bytes


# Records of the journal.


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """Identity of the data folder."""

    identity: str


@dataclass(frozen=True, slots=True)
class HardState:
    """Term, vote in that term, and group; a group of "" means none."""

    term: int = 0
    vote: ReplicaId | None = None
    group: str = ""


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries appended to the end of the log."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Truncated:
    """The entries from ``start`` on are discarded."""

    start: int


@dataclass(frozen=True, slots=True)
class SnapshotReference:
    """The log continues the snapshot in the file ``name``."""

    name: str
    index: int
    term: int


Record = IdentityRecord | HardState | Entries | Truncated | SnapshotReference
RECORD_TYPES: Final = (
    IdentityRecord,
    HardState,
    Entries,
    Truncated,
    SnapshotReference,
)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What the journal held at start."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


# Messages between replicas.


@dataclass(frozen=True, slots=True)
class Hello:
    """An empty replica asks a host whether it is empty too."""

    asker: ReplicaId


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Answer to Hello; ``group`` is "" when the answering one is empty.

    ``hosts`` are then those in its settings, otherwise those of the
    group's members.
    """

    asker: ReplicaId
    replica: ReplicaId
    group: str
    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Header:
    """Part of every message inside a group.

    The receiver drops what is addressed to another identity or group.
    """

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: int


@dataclass(frozen=True, slots=True)
class Ballot:
    """Request for a vote in ``header.term``.

    With ``trial`` (pre-vote) the term is the one that the sender would
    start; the receiver's state does not change.
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
    """Entries after ``prev_index``, or a heartbeat without any.

    ``sent`` is a time of the leader's clock that replies return.
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

    Accepted: the log equals the leader's up to ``verified`` and is
    synced up to ``match``. Otherwise ``verified`` is the index that did
    not match and ``match`` the one that the leader should try next.
    """

    header: Header
    accepted: bool
    verified: int
    match: int
    sent: datetime


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot's data at ``offset`` of ``size`` bytes."""

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
    """How many bytes of the snapshot the receiver has."""

    header: Header
    index: int
    received: int
    sent: datetime


@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """A follower asks the leader for a read index.

    A ``patient`` one waits for the next heartbeat.
    """

    header: Header
    request_id: int
    patient: bool = False


@dataclass(frozen=True, slots=True)
class ConfirmReply:
    """The read index for a ConfirmRequest."""

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


# Actions for the adapter, to be carried out in the order given.


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host; it may be lost."""

    to: str
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Append the records to the journal, sync, then call ``synced``."""

    records: tuple[Record, ...]
    token: int


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Dump the state as of ``index`` and save it in the journal.

    Then call ``snapshot_saved`` with the snapshot.
    """

    index: int
    term: int
    membership: Membership


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the state by the snapshot and save it in the journal.

    Then call ``snapshot_saved`` with it.
    """

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed command; internal entries have ``b""``."""

    index: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """The proposal is committed at ``index``."""

    token: Token
    index: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A proposal or confirmation failed.

    Only the reason OUTCOME_UNKNOWN leaves open whether the proposal
    will be committed.
    """

    token: Token
    reason: ErrorCode
    leader: str | None


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Whatever was acknowledged before the request is in ``index``."""

    token: Token
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role, the term or the known leader changed."""

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
    """State of a replica for operators.

    On the leader, ``match_indexes`` holds the last index that each
    other replica is known to have synced, and ``acked_at`` the time at
    which the leader sent the newest message that the replica has
    answered, or None before its first answer. Both are empty on other
    replicas. ``waiting`` lists the empty replicas that asked to join.
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
