"""Requests and answers between the command line and the control hosts."""

import enum
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Final, Protocol

from sequoiaseam._commands import Member
from sequoiaseam._metrics import NodeReport
from sequoiaseam._tables import Tables
from sequoiaseam.errors import ErrorCode, SeamError


class UnreachableError(SeamError):
    """No control host answered; nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.CONNECTION_LOST, message)


class EditOutcome(enum.Enum):
    """What became of an edit; UNKNOWN means it may take effect yet."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not found"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Replace all tables, if ``base_revision`` is still the newest."""

    edit_id: str
    operator: str
    base_revision: int
    tables: Tables


@dataclass(frozen=True, slots=True)
class AddKeyRequest:
    """Give a workspace a key; only the token's digest is sent."""

    edit_id: str
    operator: str
    key_id: str
    digest: bytes = field(repr=False)
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class WithdrawKeyRequest:
    """Withdraw a key."""

    edit_id: str
    operator: str
    key_id: str


@dataclass(frozen=True, slots=True)
class EditAnswer:
    """Answer to an edit.

    ``revision`` is the revision that the edit made, or on a conflict
    the newest one; 0 for an edit that makes none, such as draining.
    ``message`` says what is wrong with an invalid edit.
    """

    edit_id: str
    outcome: EditOutcome
    revision: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class ShowRequest:
    """Ask for the committed configuration."""


@dataclass(frozen=True, slots=True)
class KeySummary:
    """A key without its digest."""

    key_id: str
    workspace: str


@dataclass(frozen=True, slots=True)
class ShowAnswer:
    """The committed configuration and membership."""

    revision: int
    index: int
    tables: Tables
    keys: tuple[KeySummary, ...]
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """Ask for each change after ``after_index``."""

    after_index: int = 0


class FollowKind(enum.Enum):
    """Kinds of events that an operator can follow."""

    TABLES = "tables"
    KEY_ADDED = "key added"
    KEY_WITHDRAWN = "key withdrawn"
    MEMBERS = "members"
    WITNESSES = "witnesses"
    QUARANTINE = "quarantine"


@dataclass(frozen=True, slots=True)
class FollowEvent:
    """A committed change; ``tables`` is set for an edit of tables."""

    index: int
    revision: int
    kind: FollowKind
    summary: str
    operator: str = ""
    tables: Tables | None = None


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Ask for the newest report of each node."""


@dataclass(frozen=True, slots=True)
class HostReport:
    """A node's report, and its age when the answer was sent."""

    report: NodeReport
    age: timedelta


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """Reports by host, and the members that none is known of."""

    reports: Mapping[str, HostReport]
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask for the state of the control hosts and nodes."""


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """A control host as the leader sees it.

    ``role`` is leader, voter, learner or lost; ``heard`` is how long
    ago the leader last heard from it, None if it never did.
    """

    name: str
    identity: str
    role: str
    match_index: int
    heard: timedelta | None


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """State of the fleet as the leader sees it."""

    leader: str
    term: int
    commit_index: int
    revision: int
    replicas: tuple[ReplicaStatus, ...]
    members: tuple[Member, ...]
    lagging: tuple[str, ...] = ()
    quarantined: int = 0


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """Take the backend server of a node out of rotation."""

    edit_id: str
    operator: str
    host: str


@dataclass(frozen=True, slots=True)
class ReplaceRequest:
    """Replace one control host by another; ``new`` is its IP:port.

    ``old`` and ``new_name`` are the same where a host lost its disk.
    """

    edit_id: str
    operator: str
    old: str
    new_name: str
    new: str


@dataclass(frozen=True, slots=True)
class BackupRequest:
    """Ask for a snapshot of the whole state."""


@dataclass(frozen=True, slots=True)
class BackupAnswer:
    """A snapshot; its keys are digests, but keep it private still."""

    index: int
    revision: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class RestoreRequest:
    """Take over tables and keys of a backup in an empty group."""

    edit_id: str
    operator: str
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class InForceRequest:
    """Ask whether all nodes have applied a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Whether a revision is in force, and the hosts that lag behind."""

    in_force: bool
    lagging: tuple[str, ...] = ()


class OperatorClient(Protocol):
    """Everything that the command line asks of the control hosts.

    Each method raises UnreachableError when no control host could be
    asked, SeamError OUTCOME_UNKNOWN when an edit was sent and its
    answer was lost, and SeamError with another code when it was
    refused.
    """

    async def apply(self, request: ApplyRequest) -> EditAnswer:
        """Replace the tables."""

    async def add_key(self, request: AddKeyRequest) -> EditAnswer:
        """Add a key."""

    async def withdraw_key(self, request: WithdrawKeyRequest) -> EditAnswer:
        """Withdraw a key."""

    async def drain(self, request: DrainRequest) -> EditAnswer:
        """Drain a node's backend server."""

    async def replace(self, request: ReplaceRequest) -> EditAnswer:
        """Replace a control host."""

    async def show(self, request: ShowRequest) -> ShowAnswer:
        """Return the committed configuration."""

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowEvent]:
        """Yield committed changes until the stream is closed."""

    async def report(self, request: ReportRequest) -> ReportAnswer:
        """Return the reports of all nodes."""

    async def status(self, request: StatusRequest) -> StatusAnswer:
        """Return the state of the fleet."""

    async def backup(self, request: BackupRequest) -> BackupAnswer:
        """Return a snapshot."""

    async def restore(self, request: RestoreRequest) -> EditAnswer:
        """Take over a backup."""

    async def in_force(self, request: InForceRequest) -> InForceAnswer:
        """Return whether a revision is in force everywhere."""

    async def close(self) -> None:
        """Close the connections."""


OPERATOR_TYPES: Final[tuple[type[Any], ...]] = (
    ApplyRequest,
    AddKeyRequest,
    WithdrawKeyRequest,
    EditAnswer,
    ShowRequest,
    ShowAnswer,
    FollowRequest,
    FollowEvent,
    ReportRequest,
    ReportAnswer,
    StatusRequest,
    StatusAnswer,
    DrainRequest,
    ReplaceRequest,
    BackupRequest,
    BackupAnswer,
    RestoreRequest,
    InForceRequest,
    InForceAnswer,
)
