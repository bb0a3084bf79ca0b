"""Commands of the replicated log, and the members of the fleet."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime

from sequoiaseam._tables import KeyRecord, Tables


class MemberState(enum.Enum):
    """State of a node's backend server as published to the fleet."""

    JOINING = "joining"
    WARMING = "warming"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """A backend server and its start, in Unix milliseconds."""

    server_id: str
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class Member:
    """A node with its backend server.

    ``incarnation`` increases with each start of the node. ``host`` and
    ``port`` are the address of the node's peer listener. ``pool`` is
    empty while no backend server is announced. ``leaving_server`` is the
    backend server that is leaving, if any: a node that restarts meanwhile
    may receive a late report in which the server still serves.
    """

    name: str
    incarnation: int
    host: str
    port: int
    pool: str
    domain: str
    region: str
    state: MemberState
    slots: int = 0
    leaving_server: LeavingServer | None = None


@dataclass(frozen=True, slots=True)
class EditTables:
    """Replace all tables if ``base_revision`` is the current revision."""

    edit_id: str
    operator: str
    base_revision: int
    tables: Tables


@dataclass(frozen=True, slots=True)
class AddKey:
    """Add a key to a workspace.

    ``base_revision`` is checked like that of ``EditTables`` unless it is
    None.
    """

    edit_id: str
    operator: str
    base_revision: int | None
    key: KeyRecord


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key.

    ``base_revision`` is checked like that of ``EditTables`` unless it is
    None.
    """

    edit_id: str
    operator: str
    base_revision: int | None
    key_id: str


@dataclass(frozen=True, slots=True)
class ReplaceDocument:
    """Replace all tables and keys with those of a document.

    The document states its own ``revision``, which must be greater than
    the current one. ``document`` holds the bytes as they were sent, so
    that the document can be read back. The edit id is the digest of the
    document, so that a resend is recognized.
    """

    edit_id: str
    operator: str
    base_revision: int
    revision: int
    tables: Tables
    keys: tuple[KeyRecord, ...]
    document: bytes


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Add or update members, and remove those that left.

    ``left`` maps a name to the incarnation that left, so that the expiry
    of an older incarnation doesn't remove a newer one.
    """

    updated: tuple[Member, ...] = ()
    left: Mapping[str, int] | None = None


@dataclass(frozen=True, slots=True)
class WitnessGroup:
    """Witnesses of a shard.

    ``epoch`` increases with each change of the group. ``incarnations``
    are those of the witnesses at the time the group was planned, in the
    same order.
    """

    epoch: int
    witnesses: tuple[str, ...]
    incarnations: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class WitnessesAssigned:
    """Assign new witness groups to some shards."""

    groups: Mapping[int, WitnessGroup]


@dataclass(frozen=True, slots=True)
class CrashReported:
    """Report the fingerprints running when a backend server crashed.

    With ``cleared`` the report means the opposite: these suspects have
    since run to completion.
    """

    crash_id: str
    fingerprints: tuple[int, ...]
    at: datetime
    cleared: bool = False


@dataclass(frozen=True, slots=True)
class ControlAddressSet:
    """Set the address of a control host that joins the replica group."""

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Restore:
    """Restore a backup in a new, empty group.

    It consists of the tables, the keys and the evacuated failure domains.
    ``revision`` is that of the backup, so that numbering continues there.
    """

    edit_id: str
    operator: str
    revision: int
    tables: Tables
    keys: tuple[KeyRecord, ...]
    evacuated_domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Evacuate a failure domain, or end its evacuation.

    Backend servers in an evacuated domain get no new requests. The command
    states the wanted state, so that sending it again changes nothing.
    """

    edit_id: str
    operator: str
    domain: str
    evacuated: bool


@dataclass(frozen=True, slots=True)
class SetQuotaLeases:
    """Let the leader lease the quota's buckets, or grant from them itself."""

    in_force: bool


@dataclass(frozen=True, slots=True)
class Noop:
    """Do nothing; committing it commits the entries of earlier terms."""


Command = (
    EditTables
    | AddKey
    | WithdrawKey
    | ReplaceDocument
    | MembersChanged
    | WitnessesAssigned
    | CrashReported
    | ControlAddressSet
    | Restore
    | SetEvacuation
    | SetQuotaLeases
    | Noop
)
COMMAND_TYPES: tuple[type[Command], ...] = (
    EditTables,
    AddKey,
    WithdrawKey,
    ReplaceDocument,
    MembersChanged,
    WitnessesAssigned,
    CrashReported,
    ControlAddressSet,
    Restore,
    SetEvacuation,
    SetQuotaLeases,
    Noop,
)
