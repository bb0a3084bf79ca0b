"""Replicated state machine: tables, keys, members and witness groups.

Every replica applies the same commands at the same log indices, so
applying a command must be deterministic: nothing here uses a clock or a
random source. Mappings are replaced rather than changed in place, so a
reference taken before a command remains a valid view of the older state.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod
from types import MappingProxyType
from typing import Final

import msgspec

from sequoiaseam._commands import (
    AddKey,
    Command,
    ControlAddressSet,
    CrashReported,
    EditTables,
    Member,
    MembersChanged,
    ReplaceDocument,
    Restore,
    SetEvacuation,
    SetQuotaLeases,
    WithdrawKey,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._tables import KeyRecord, Tables, validate_tables
from sequoiaseam.const import WITNESS_SHARDS
from sequoiaseam.errors import ErrorCode, SeamError

FORMAT_VERSION: Final = 1
# Number of edit results kept for resends. Operators resend within minutes;
# 10,000 edits are about a week at 1,400 edits a day.
EDIT_RESULTS_MAX: Final = 10_000
# Number of results of refused documents kept for the callers that wait for
# them; enough for several operators at the same time.
REFUSED_RESULTS_MAX: Final = 64
KEY_DIGEST_LENGTH: Final = 32  # bytes
CRASH_REPORTS_MAX: Final = 1000
CRASH_RETENTION: Final = timedelta(minutes=10)
KEY_ID_LENGTH_MAX: Final = 64  # characters
# Bound what orders with made-up names may add to the state, of which each
# snapshot and each node has a copy.
DOMAIN_LENGTH_MAX: Final = 256  # characters
EVACUATED_DOMAINS_MAX: Final = 256


class EditStatus(enum.Enum):
    """Outcome of an edit."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not found"


@dataclass(frozen=True, slots=True)
class EditResult:
    """Result of an edit; a resend of the edit gets the same result.

    ``revision`` is the current revision after the edit, ``index`` the
    index of the log entry that decided it.
    """

    edit_id: str
    status: EditStatus
    revision: int
    index: int
    message: str = ""


Edit = (
    EditTables
    | AddKey
    | WithdrawKey
    | Restore
    | ReplaceDocument
    | SetEvacuation
)


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Serialized layout of the state."""

    index: int
    revision: int
    tables: Tables
    keys: Mapping[str, KeyRecord]
    members: Mapping[str, Member]
    groups: Mapping[int, WitnessGroup]
    quarantine: tuple[CrashReported, ...]
    results: tuple[EditResult, ...]
    controls: Mapping[str, ControlAddressSet]
    document: bytes = b""
    evacuated_domains: tuple[str, ...] = ()
    quota_leases: bool = False


def add_crash_report(
    reports: tuple[CrashReported, ...],
    report: CrashReported,
) -> tuple[CrashReported, ...]:
    """Return the reports with one added and expired ones removed.

    A report whose id is already known is ignored. Age is measured from
    the newest report instead of a clock, so that replicas agree.
    """
    if any(known.crash_id == report.crash_id for known in reports):
        return reports
    merged = (*reports, report)
    newest_at = max(known.at for known in merged)
    recent = [r for r in merged if newest_at - r.at <= CRASH_RETENTION]
    return tuple(recent[-CRASH_REPORTS_MAX:])


def merge_members(
    members: Mapping[str, Member],
    change: MembersChanged,
) -> dict[str, Member]:
    """Return the members after a change.

    An older incarnation neither overwrites nor removes a newer one.
    """
    merged = dict(members)
    for name, incarnation in (change.left or {}).items():
        current = merged.get(name)
        if current is not None and current.incarnation <= incarnation:
            del merged[name]
    for member in change.updated:
        current = merged.get(member.name)
        if current is None or current.incarnation <= member.incarnation:
            merged[member.name] = member
    return merged


def _compute_next_revision(revision: int, edit: Edit) -> int:
    """Return the revision after an accepted edit.

    Documents are based on a revision, so an evacuation must not change it.
    """
    if isinstance(edit, SetEvacuation):
        return revision
    if isinstance(edit, ReplaceDocument):
        return edit.revision
    return revision + 1


class FleetState:
    """Replicated state of the fleet."""

    def __init__(self) -> None:
        self.index = 0
        self.revision = 0
        self.tables = Tables()
        self.keys: Mapping[str, KeyRecord] = MappingProxyType({})
        self.members: Mapping[str, Member] = MappingProxyType({})
        self.groups: Mapping[int, WitnessGroup] = MappingProxyType({})
        self.quarantine: tuple[CrashReported, ...] = ()
        self.control_addresses: Mapping[str, ControlAddressSet] = (
            MappingProxyType({})
        )
        # The last accepted document, byte for byte as it was sent.
        self.document = b""
        # Sorted names of the failure domains whose backend servers get no
        # new requests.
        self.evacuated_domains: tuple[str, ...] = ()
        # Whether a leader may lease the quota to other control hosts. A new
        # leader then reckons with leases of its predecessors.
        self.quota_leases = False
        self._results: dict[str, EditResult] = {}
        # Results of refused documents, for callers that wait for one.
        # They don't decide resends and aren't part of a snapshot.
        self._refused_results: dict[str, EditResult] = {}

    def apply(self, index: int, command: Command) -> EditResult | None:
        """Apply the command at a log index; return the result of an edit.

        An index that was already applied is ignored, so that entries can
        be replayed after a snapshot was loaded.
        """
        if index <= self.index:
            return None
        self.index = index
        if isinstance(command, Edit):
            return self._apply_edit(command)
        self._apply_command(command)
        return None

    def find_result(self, edit_id: str) -> EditResult | None:
        """Return the result of an edit if it is still kept."""
        return self._results.get(edit_id) or self._refused_results.get(edit_id)

    def dump(self) -> bytes:
        """Serialize the whole state as a snapshot."""
        snapshot = _Snapshot(
            self.index,
            self.revision,
            self.tables,
            dict(self.keys),
            dict(self.members),
            dict(self.groups),
            self.quarantine,
            tuple(self._results.values()),
            dict(self.control_addresses),
            self.document,
            self.evacuated_domains,
            self.quota_leases,
        )
        return msgspec.msgpack.encode((FORMAT_VERSION, snapshot))

    @classmethod
    def load(cls, data: bytes) -> "FleetState":
        """Load a snapshot; raise SeamError JOURNAL_DAMAGED if invalid."""
        try:
            version, raw = msgspec.msgpack.decode(
                data,
                type=tuple[int, msgspec.Raw],
            )
            if version != FORMAT_VERSION:
                raise SeamError(
                    ErrorCode.JOURNAL_DAMAGED,
                    f"snapshot format {version} is not known",
                )
            snapshot = msgspec.msgpack.decode(raw, type=_Snapshot)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise SeamError(
                ErrorCode.JOURNAL_DAMAGED,
                "malformed snapshot",
            ) from error
        return cls._restore(snapshot)

    @classmethod
    def _restore(cls, snapshot: _Snapshot) -> "FleetState":
        state = cls()
        state.index = snapshot.index
        state.revision = snapshot.revision
        state.tables = snapshot.tables
        state.keys = MappingProxyType(dict(snapshot.keys))
        state.members = MappingProxyType(dict(snapshot.members))
        state.groups = MappingProxyType(dict(snapshot.groups))
        state.quarantine = snapshot.quarantine
        state.control_addresses = MappingProxyType(dict(snapshot.controls))
        state.document = snapshot.document
        state.evacuated_domains = snapshot.evacuated_domains
        state.quota_leases = snapshot.quota_leases
        state._results = {r.edit_id: r for r in snapshot.results}
        return state

    def _apply_edit(self, edit: Edit) -> EditResult:
        """Decide an edit once; a resend gets the result of the first."""
        known_result = self._results.get(edit.edit_id)
        if known_result is not None:
            return known_result
        base_revision = (
            None
            if isinstance(edit, Restore | SetEvacuation)
            else edit.base_revision
        )
        if base_revision is not None and base_revision != self.revision:
            status = EditStatus.CONFLICT
            message = f"the revision is {self.revision}, not {base_revision}"
        else:
            status, message = self._execute_edit(edit)
        if status is EditStatus.ACCEPTED:
            self.revision = _compute_next_revision(self.revision, edit)
        result = EditResult(
            edit.edit_id,
            status,
            self.revision,
            self.index,
            message,
        )
        if isinstance(edit, ReplaceDocument) and (
            status is not EditStatus.ACCEPTED
        ):
            # The refusal isn't final: a document that arrived before the
            # one it is based on may be accepted when it is sent again.
            self._refused_results[edit.edit_id] = result
            if len(self._refused_results) > REFUSED_RESULTS_MAX:
                del self._refused_results[next(iter(self._refused_results))]
            return result
        self._results[edit.edit_id] = result
        if len(self._results) > EDIT_RESULTS_MAX:
            del self._results[next(iter(self._results))]
        return result

    @singledispatchmethod
    def _execute_edit(self, edit: Edit) -> tuple[EditStatus, str]:
        """Execute an edit; return its status and, if refused, why."""
        raise TypeError(f"{type(edit).__name__} is not an edit")

    @_execute_edit.register
    def _execute_edit_tables(self, edit: EditTables) -> tuple[EditStatus, str]:
        try:
            validate_tables(edit.tables)
        except SeamError as error:
            return EditStatus.INVALID, error.message
        # The edit is refused rather than the keys removed with their
        # workspace: a row missing from an edited file by mistake must not
        # silently lock out the workspace's callers.
        missing_workspaces = sorted(
            {key.workspace for key in self.keys.values()}
            - set(edit.tables.workspaces),
        )
        if missing_workspaces:
            return (
                EditStatus.INVALID,
                "workspaces still have keys, withdraw them first: "
                + ", ".join(missing_workspaces),
            )
        self.tables = edit.tables
        return EditStatus.ACCEPTED, ""

    @_execute_edit.register
    def _execute_replace_document(
        self,
        edit: ReplaceDocument,
    ) -> tuple[EditStatus, str]:
        if edit.revision <= self.revision:
            return (
                EditStatus.INVALID,
                f"the revision is {self.revision} already",
            )
        try:
            validate_tables(edit.tables)
        except SeamError as error:
            return EditStatus.INVALID, error.message
        digests = {key.digest for key in edit.keys}
        if len(digests) != len(edit.keys):
            return EditStatus.INVALID, "two keys are the same"
        self.tables = edit.tables
        self.keys = MappingProxyType({key.key_id: key for key in edit.keys})
        self.document = edit.document
        return EditStatus.ACCEPTED, ""

    @_execute_edit.register
    def _execute_add_key(self, edit: AddKey) -> tuple[EditStatus, str]:
        key = edit.key
        if key.workspace not in self.tables.workspaces:
            return (
                EditStatus.NOT_FOUND,
                f"no workspace is named {key.workspace!r}",
            )
        if not 0 < len(key.key_id) <= KEY_ID_LENGTH_MAX:
            return EditStatus.INVALID, "the key id is empty or too long"
        if len(key.digest) != KEY_DIGEST_LENGTH:
            return EditStatus.INVALID, "the digest is not a SHA-256 digest"
        if key.key_id in self.keys:
            return EditStatus.INVALID, f"key {key.key_id!r} exists already"
        if any(known.digest == key.digest for known in self.keys.values()):
            return EditStatus.INVALID, "another key has this digest"
        self.keys = MappingProxyType({**self.keys, key.key_id: key})
        return EditStatus.ACCEPTED, ""

    @_execute_edit.register
    def _execute_withdraw_key(
        self, edit: WithdrawKey
    ) -> tuple[EditStatus, str]:
        if edit.key_id not in self.keys:
            return EditStatus.NOT_FOUND, f"no key has the id {edit.key_id!r}"
        remaining = {k: v for k, v in self.keys.items() if k != edit.key_id}
        self.keys = MappingProxyType(remaining)
        return EditStatus.ACCEPTED, ""

    @_execute_edit.register
    def _execute_restore(self, edit: Restore) -> tuple[EditStatus, str]:
        if self.revision:
            return (
                EditStatus.CONFLICT,
                f"the group is in use, its revision is {self.revision}",
            )
        try:
            validate_tables(edit.tables)
        except SeamError as error:
            return EditStatus.INVALID, error.message
        self.tables = edit.tables
        self.keys = MappingProxyType({key.key_id: key for key in edit.keys})
        # An order that this group has acknowledged stays in force.
        self.evacuated_domains = tuple(
            sorted({*self.evacuated_domains, *edit.evacuated_domains})
        )
        self.revision = max(0, edit.revision - 1)
        # Requests may have run before the data was lost, so no witness
        # may be treated as the first one of its shard.
        self.groups = MappingProxyType(
            {
                shard: WitnessGroup(self._get_epoch(shard) + 1, ())
                for shard in range(WITNESS_SHARDS)
            },
        )
        return EditStatus.ACCEPTED, ""

    @_execute_edit.register
    def _execute_set_evacuation(
        self, edit: SetEvacuation
    ) -> tuple[EditStatus, str]:
        if not 0 < len(edit.domain) <= DOMAIN_LENGTH_MAX:
            return (
                EditStatus.INVALID,
                "the name of the failure domain is empty or too long",
            )
        domains = set(self.evacuated_domains)
        if edit.evacuated:
            domains.add(edit.domain)
        else:
            domains.discard(edit.domain)
        if len(domains) > EVACUATED_DOMAINS_MAX:
            return EditStatus.INVALID, "too many failure domains are evacuated"
        self.evacuated_domains = tuple(sorted(domains))
        return EditStatus.ACCEPTED, ""

    def _get_epoch(self, shard: int) -> int:
        group = self.groups.get(shard)
        return 0 if group is None else group.epoch

    @singledispatchmethod
    def _apply_command(self, command: Command) -> None:
        """Apply a command that is not an edit; Noop changes nothing."""

    @_apply_command.register
    def _apply_members(self, command: MembersChanged) -> None:
        merged = merge_members(self.members, command)
        self.members = MappingProxyType(merged)

    @_apply_command.register
    def _apply_witnesses(self, command: WitnessesAssigned) -> None:
        merged = dict(self.groups)
        for shard, group in command.groups.items():
            current = merged.get(shard)
            # Two plans may have been computed from the same groups. The
            # epoch of a shard never decreases, and no epoch may stand for
            # two different groups.
            if current is None or current.epoch < group.epoch:
                merged[shard] = group
        self.groups = MappingProxyType(merged)

    @_apply_command.register
    def _apply_quota_leases(self, command: SetQuotaLeases) -> None:
        self.quota_leases = command.in_force

    @_apply_command.register
    def _apply_address(self, command: ControlAddressSet) -> None:
        self.control_addresses = MappingProxyType(
            {**self.control_addresses, command.name: command},
        )

    @_apply_command.register
    def _apply_crash(self, command: CrashReported) -> None:
        self.quarantine = add_crash_report(self.quarantine, command)
