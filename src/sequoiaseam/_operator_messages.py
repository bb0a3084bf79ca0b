"""Messages between the command-line client and the control hosts."""

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
    """No control host could be reached; no edit took effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.CONNECTION_LOST, message)


class EditOutcome(enum.Enum):
    """Outcome of an edit; UNKNOWN means that it may still take effect."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not found"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Replace all tables if ``base_revision`` is still the newest."""

    edit_id: str
    operator: str
    base_revision: int
    tables: Tables


@dataclass(frozen=True, slots=True)
class AddKeyRequest:
    """Add a key to a workspace; only the digest of its token is sent."""

    edit_id: str
    operator: str
    key_id: str
    digest: bytes = field(repr=False)
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class WithdrawKeyRequest:
    """Withdraw a workspace's key."""

    edit_id: str
    operator: str
    key_id: str


@dataclass(frozen=True, slots=True)
class EditAnswer:
    """Answer to an edit.

    ``revision`` is the revision that the edit created, or the newest one
    on a conflict or for an edit that creates none, such as a drain. It is
    0 if the outcome is unknown. ``message`` says what is wrong with an
    invalid edit.
    """

    edit_id: str
    outcome: EditOutcome
    revision: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class ShowRequest:
    """Request the committed configuration."""


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
    evacuated_domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """Subscribe to the changes after log index ``after_index``."""

    after_index: int = 0


class FollowKind(enum.Enum):
    """Kind of a committed change that an operator can follow."""

    TABLES = "tables"
    KEY_ADDED = "key added"
    KEY_WITHDRAWN = "key withdrawn"
    MEMBERS = "members"
    WITNESSES = "witnesses"
    QUARANTINE = "quarantine"
    EVACUATION = "evacuation"


@dataclass(frozen=True, slots=True)
class FollowEvent:
    """A committed change; ``tables`` is set only for edits of tables."""

    index: int
    revision: int
    kind: FollowKind
    summary: str
    operator: str = ""
    tables: Tables | None = None


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Request the newest report of each node."""


@dataclass(frozen=True, slots=True)
class HostReport:
    """A node's report and its age at the time the answer was sent."""

    report: NodeReport
    age: timedelta


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """Reports by host, and the members without a report."""

    reports: Mapping[str, HostReport]
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request the state of the control hosts and nodes."""


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """State of a control host's replica as seen by the leader.

    ``role`` is leader, voter, learner, lost or waiting, which means that
    the host isn't a member and asks to join. ``heard`` is the time since
    the leader last received an acknowledgement from it, None if it never
    did.
    """

    name: str
    identity: str
    role: str
    match_index: int
    heard: timedelta | None


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """State of the fleet as seen by the leader."""

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
    """Drain a node's backend server, taking it out of rotation."""

    edit_id: str
    operator: str
    host: str


@dataclass(frozen=True, slots=True)
class EvacuateRequest:
    """Evacuate a failure domain, or end its evacuation."""

    edit_id: str
    operator: str
    domain: str
    evacuated: bool


@dataclass(frozen=True, slots=True)
class ReplaceRequest:
    """Replace a control host; ``new`` is the IP:port of the new one.

    ``old`` and ``new_name`` are equal for a host that lost its disk. An
    empty ``new`` leaves the known address unchanged.
    """

    edit_id: str
    operator: str
    old: str
    new_name: str
    new: str


@dataclass(frozen=True, slots=True)
class BackupRequest:
    """Request a snapshot of the whole state."""


@dataclass(frozen=True, slots=True)
class BackupAnswer:
    """A snapshot; it is confidential although keys are stored as digests."""

    index: int
    revision: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class RestoreRequest:
    """Restore the tables and keys of a backup into an empty group."""

    edit_id: str
    operator: str
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class InForceRequest:
    """Request whether all nodes have applied a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Whether all nodes have applied a revision, and those that haven't."""

    in_force: bool
    lagging: tuple[str, ...] = ()


class OperatorClient(Protocol):
    """Interface that the command line uses to call the control hosts.

    Each method raises UnreachableError if no control host could be
    reached, SeamError OUTCOME_UNKNOWN if an edit was sent but its answer
    was lost, and SeamError with another code if the request was refused.
    """

    async def apply(self, request: ApplyRequest) -> EditAnswer:
        """Replace the tables."""

    async def add_key(self, request: AddKeyRequest) -> EditAnswer:
        """Add a key."""

    async def withdraw_key(self, request: WithdrawKeyRequest) -> EditAnswer:
        """Withdraw a key."""

    async def drain(self, request: DrainRequest) -> EditAnswer:
        """Drain a node's backend server."""

    async def evacuate(self, request: EvacuateRequest) -> EditAnswer:
        """Evacuate a failure domain, or end its evacuation."""

    async def replace(self, request: ReplaceRequest) -> EditAnswer:
        """Replace a control host."""

    async def show(self, request: ShowRequest) -> ShowAnswer:
        """Return the committed configuration."""

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowEvent]:
        """Yield committed changes until the caller stops iterating."""

    async def report(self, request: ReportRequest) -> ReportAnswer:
        """Return the reports of all nodes."""

    async def status(self, request: StatusRequest) -> StatusAnswer:
        """Return the state of the fleet."""

    async def backup(self, request: BackupRequest) -> BackupAnswer:
        """Return a snapshot."""

    async def restore(self, request: RestoreRequest) -> EditAnswer:
        """Restore a backup into an empty group."""

    async def in_force(self, request: InForceRequest) -> InForceAnswer:
        """Return whether all nodes have applied a revision."""

    async def close(self) -> None:
        """Close the connections."""


OPERATOR_MESSAGE_TYPES: Final[tuple[type[Any], ...]] = (
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
    EvacuateRequest,
    ReplaceRequest,
    BackupRequest,
    BackupAnswer,
    RestoreRequest,
    InForceRequest,
    InForceAnswer,
)
