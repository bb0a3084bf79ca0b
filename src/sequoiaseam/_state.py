"""State machine of the replicated log: tables, keys, members, groups.

Every replica applies the same commands at the same indices, so nothing
here depends on a clock or a random source. The mappings are replaced,
never changed in place; a reference taken before a command stays valid.
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
    WithdrawKey,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._tables import KeyRecord, Tables, validate_tables
from sequoiaseam.const import WITNESS_SHARDS
from sequoiaseam.errors import ErrorCode, SeamError

FORMAT_VERSION: Final = 1
# An operator's resend comes within minutes; 10,000 edits are about a
# week at 1,400 edits a day.
EDIT_RESULTS_MAX: Final = 10_000
# Several operators' refused documents that are being answered.
REFUSED_KEPT: Final = 64
DIGEST_LENGTH: Final = 32
CRASHES_KEPT: Final = 1000
CRASH_RETENTION: Final = timedelta(minutes=10)
KEY_ID_LIMIT: Final = 64  # characters


class EditStatus(enum.Enum):
    """What became of an edit."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not found"


@dataclass(frozen=True, slots=True)
class EditResult:
    """Answer to an edit; the first one is kept for its resends.

    ``revision`` is the newest one after the edit, ``index`` that of the
    log entry which decided.
    """

    edit_id: str
    status: EditStatus
    revision: int
    index: int
    message: str = ""


Edit = EditTables | AddKey | WithdrawKey | Restore | ReplaceDocument


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Layout of a dump."""

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


def add_crash_report(
    reports: tuple[CrashReported, ...],
    report: CrashReported,
) -> tuple[CrashReported, ...]:
    """Return the reports with one more, without old and repeated ones.

    Age counts from the newest report, so that replicas agree.
    """
    if any(known.crash_id == report.crash_id for known in reports):
        return reports
    merged = (*reports, report)
    newest = max(known.at for known in merged)
    recent = [r for r in merged if newest - r.at <= CRASH_RETENTION]
    return tuple(recent[-CRASHES_KEPT:])


def merge_members(
    members: Mapping[str, Member],
    change: MembersChanged,
) -> dict[str, Member]:
    """Return the members after a change.

    An older incarnation neither overwrites nor removes a newer one.
    """
    changed = dict(members)
    for name, incarnation in (change.left or {}).items():
        present = changed.get(name)
        if present is not None and present.incarnation <= incarnation:
            del changed[name]
    for member in change.updated:
        present = changed.get(member.name)
        if present is None or present.incarnation <= member.incarnation:
            changed[member.name] = member
    return changed


def _find_revision(revision: int, edit: Edit) -> int:
    """Return the revision after an accepted edit."""
    if isinstance(edit, ReplaceDocument):
        return edit.revision
    return revision + 1


class FleetState:
    """Everything that the fleet agrees on."""

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
        # The newest whole document, as it was sent.
        self.document = b""
        self._results: dict[str, EditResult] = {}
        # Answers to refused documents, for whoever waits for one.
        self._refused: dict[str, EditResult] = {}

    def apply(self, index: int, command: Command) -> EditResult | None:
        """Apply the command at a log index; return an edit's answer.

        An index that was applied before is ignored, so replay after a
        snapshot is harmless.
        """
        if index <= self.index:
            return None
        self.index = index
        if isinstance(command, Edit):
            return self._answer(command)
        self._apply(command)
        return None

    def find_result(self, edit_id: str) -> EditResult | None:
        """Return the kept answer to an edit."""
        return self._results.get(edit_id) or self._refused.get(edit_id)

    def dump(self) -> bytes:
        """Return a snapshot of the whole state."""
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
        )
        return msgspec.msgpack.encode((FORMAT_VERSION, snapshot))

    @classmethod
    def load(cls, data: bytes) -> "FleetState":
        """Restore a dump; raise SeamError JOURNAL_DAMAGED if unsound."""
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
        state._results = {r.edit_id: r for r in snapshot.results}
        return state

    def _answer(self, edit: Edit) -> EditResult:
        """Decide an edit once; a resend gets the first answer."""
        kept = self._results.get(edit.edit_id)
        if kept is not None:
            return kept
        base = None if isinstance(edit, Restore) else edit.base_revision
        if base is not None and base != self.revision:
            status = EditStatus.CONFLICT
            message = f"the revision is {self.revision}, not {base}"
        else:
            status, message = self._decide(edit)
        if status is EditStatus.ACCEPTED:
            self.revision = _find_revision(self.revision, edit)
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
            # One that came before the document it builds on may be
            # accepted when it is sent again.
            self._refused[edit.edit_id] = result
            if len(self._refused) > REFUSED_KEPT:
                del self._refused[next(iter(self._refused))]
            return result
        self._results[edit.edit_id] = result
        if len(self._results) > EDIT_RESULTS_MAX:
            del self._results[next(iter(self._results))]
        return result

    @singledispatchmethod
    def _decide(self, edit: Edit) -> tuple[EditStatus, str]:
        """Carry out an edit or say why not."""
        raise TypeError(f"{type(edit).__name__} is not an edit")

    @_decide.register
    def _decide_tables(self, edit: EditTables) -> tuple[EditStatus, str]:
        try:
            validate_tables(edit.tables)
        except SeamError as error:
            return EditStatus.INVALID, error.message
        # Refused instead of removing the keys too: one missing row in
        # an edited file must not silently cut off a workspace's callers.
        orphans = sorted(
            {key.workspace for key in self.keys.values()}
            - set(edit.tables.workspaces),
        )
        if orphans:
            return (
                EditStatus.INVALID,
                "workspaces still have keys, withdraw them first: "
                + ", ".join(orphans),
            )
        self.tables = edit.tables
        return EditStatus.ACCEPTED, ""

    @_decide.register
    def _decide_document(
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

    @_decide.register
    def _decide_add(self, edit: AddKey) -> tuple[EditStatus, str]:
        key = edit.key
        if key.workspace not in self.tables.workspaces:
            return (
                EditStatus.NOT_FOUND,
                f"no workspace is named {key.workspace!r}",
            )
        if not 0 < len(key.key_id) <= KEY_ID_LIMIT:
            return EditStatus.INVALID, "the key id is empty or too long"
        if len(key.digest) != DIGEST_LENGTH:
            return EditStatus.INVALID, "the digest is not a SHA-256 digest"
        if key.key_id in self.keys:
            return EditStatus.INVALID, f"key {key.key_id!r} exists already"
        if any(known.digest == key.digest for known in self.keys.values()):
            return EditStatus.INVALID, "another key has this digest"
        self.keys = MappingProxyType({**self.keys, key.key_id: key})
        return EditStatus.ACCEPTED, ""

    @_decide.register
    def _decide_withdraw(self, edit: WithdrawKey) -> tuple[EditStatus, str]:
        if edit.key_id not in self.keys:
            return EditStatus.NOT_FOUND, f"no key has the id {edit.key_id!r}"
        kept = {k: v for k, v in self.keys.items() if k != edit.key_id}
        self.keys = MappingProxyType(kept)
        return EditStatus.ACCEPTED, ""

    @_decide.register
    def _decide_restore(self, edit: Restore) -> tuple[EditStatus, str]:
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
        self.revision = max(0, edit.revision - 1)
        # Requests may have run before the loss, so that no witness may
        # count as the first one of its shard.
        self.groups = MappingProxyType(
            {
                shard: WitnessGroup(self._get_epoch(shard) + 1, ())
                for shard in range(WITNESS_SHARDS)
            },
        )
        return EditStatus.ACCEPTED, ""

    def _get_epoch(self, shard: int) -> int:
        group = self.groups.get(shard)
        return 0 if group is None else group.epoch

    @singledispatchmethod
    def _apply(self, command: Command) -> None:
        """Apply a command that is not an edit; Noop changes nothing."""

    @_apply.register
    def _apply_members(self, command: MembersChanged) -> None:
        changed = merge_members(self.members, command)
        self.members = MappingProxyType(changed)

    @_apply.register
    def _apply_witnesses(self, command: WitnessesAssigned) -> None:
        changed = dict(self.groups)
        for shard, group in command.groups.items():
            present = changed.get(shard)
            # Two planners may have run against the same groups; a shard's
            # epoch never goes back or names two groups.
            if present is None or present.epoch < group.epoch:
                changed[shard] = group
        self.groups = MappingProxyType(changed)

    @_apply.register
    def _apply_address(self, command: ControlAddressSet) -> None:
        self.control_addresses = MappingProxyType(
            {**self.control_addresses, command.name: command},
        )

    @_apply.register
    def _apply_crash(self, command: CrashReported) -> None:
        self.quarantine = add_crash_report(self.quarantine, command)
