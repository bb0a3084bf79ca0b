"""Tests of the replicated state machine."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta
from unittest import mock

import msgspec
from bench._hosts import make_command, make_key

from sequoiaseam import _state
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import (
    AddKey,
    Command,
    CrashReported,
    EditTables,
    MembersChanged,
    Restore,
    SetQuotaLeases,
    WithdrawKey,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._keyring import Keyring
from sequoiaseam._state import EditStatus, FleetState
from sequoiaseam._tables import KeyRecord, Tables
from sequoiaseam.errors import ErrorCode, SeamError
from tests.builders import build_member, build_tables
from tests.seeds import iterate_seeds


def build_state() -> FleetState:
    """Return a state at revision 1."""
    state = FleetState()
    state.apply(1, EditTables("e1", "ana", 0, build_tables()))
    return state


class StateTest(unittest.TestCase):
    """Guards against edits that are lost, repeated or partly applied."""

    def test_status_of_each_edit(self) -> None:
        invalid_tables = replace(build_tables(), pools={})
        cases: tuple[tuple[Command, EditStatus], ...] = (
            (EditTables("a", "x", 0, build_tables()), EditStatus.CONFLICT),
            (EditTables("b", "x", 1, invalid_tables), EditStatus.INVALID),
            (AddKey("c", "x", 0, make_key(1)), EditStatus.CONFLICT),
            (AddKey("d", "x", 1, make_key(1, "no")), EditStatus.NOT_FOUND),
            (
                AddKey("e", "x", 1, KeyRecord("k", b"short", "coop")),
                EditStatus.INVALID,
            ),
            (AddKey("f", "x", None, make_key(1)), EditStatus.ACCEPTED),
            (AddKey("g", "x", None, make_key(1)), EditStatus.INVALID),
            (
                AddKey("h", "x", 2, replace(make_key(1), key_id="other")),
                EditStatus.INVALID,
            ),
            (EditTables("i", "x", 2, Tables()), EditStatus.INVALID),
            (WithdrawKey("j", "x", 2, "absent"), EditStatus.NOT_FOUND),
            (WithdrawKey("k", "x", 2, "k1"), EditStatus.ACCEPTED),
            (EditTables("l", "x", 3, Tables()), EditStatus.ACCEPTED),
        )
        state = build_state()
        for index, (command, status) in enumerate(cases, start=2):
            before = state.revision
            with self.subTest(command=command):
                result = state.apply(index, command)
                assert result is not None
                self.assertIs(result.status, status)
                accepted = status is EditStatus.ACCEPTED
                self.assertEqual(result.revision, before + accepted)
                self.assertEqual(result.index, index)

    def test_number_of_results_is_bounded(self) -> None:
        with mock.patch.object(_state, "EDIT_RESULTS_MAX", 3):
            state = build_state()
            for number in range(5):
                edit = WithdrawKey(f"w{number}", "x", None, "absent")
                state.apply(number + 2, edit)
        self.assertIsNone(state.find_result("w1"))
        self.assertIsNotNone(state.find_result("w2"))

    def test_older_incarnation_and_epoch_are_ignored(self) -> None:
        state = build_state()
        newer, older = build_member(incarnation=2), build_member()
        state.apply(2, MembersChanged((newer,)))
        state.apply(3, MembersChanged((older,), {"node-1": 1}))
        self.assertEqual(state.members, {"node-1": newer})
        state.apply(4, MembersChanged((), {"node-1": 2}))
        self.assertEqual(state.members, {})
        group = WitnessGroup(2, ("a",))
        state.apply(5, WitnessesAssigned({0: group}))
        state.apply(6, WitnessesAssigned({0: WitnessGroup(2, ("b",))}))
        self.assertEqual(state.groups, {0: group})

    def test_crash_reports_are_bounded_by_time_and_number(self) -> None:
        state = FleetState()
        for number in range(1005):
            state.apply(number + 1, CrashReported(f"c{number}", (1,), EPOCH))
        self.assertEqual(len(state.quarantine), 1000)
        state.apply(2000, CrashReported("c900", (1,), EPOCH))
        self.assertEqual(len(state.quarantine), 1000)
        after_retention = EPOCH + timedelta(minutes=10, seconds=1)
        state.apply(2001, CrashReported("late", (1,), after_retention))
        self.assertEqual([r.crash_id for r in state.quarantine], ["late"])

    def test_load_rejects_damaged_data_and_other_formats(self) -> None:
        data = build_state().dump()
        for invalid_data in (b"", data[:-1], b"\x92\x02" + data[2:]):
            with self.assertRaises(SeamError) as caught:
                FleetState.load(invalid_data)
            self.assertIs(caught.exception.code, ErrorCode.JOURNAL_DAMAGED)


class RestoreTest(unittest.TestCase):
    """Guards against a backup that overwrites a group in use."""

    def test_quota_leases_survive_a_snapshot_and_default_to_none(self) -> None:
        # A new leader that forgot them would grant beside their holders.
        state = build_state()
        state.apply(2, SetQuotaLeases(in_force=True))
        self.assertTrue(FleetState.load(state.dump()).quota_leases)
        version, fields = msgspec.msgpack.decode(state.dump())
        del fields["quota_leases"]
        older = msgspec.msgpack.encode((version, fields))
        self.assertFalse(FleetState.load(older).quota_leases)

    def test_backup_is_restored_into_an_empty_state_only(self) -> None:
        source = build_state()
        source.apply(source.index + 1, AddKey("k", "ana", None, make_key(1)))
        command = Restore(
            "r1",
            "ana",
            source.revision,
            source.tables,
            tuple(source.keys.values()),
        )
        restored = FleetState()
        groups = {3: WitnessGroup(1, ("a",), (1,))}
        restored.apply(1, WitnessesAssigned(groups))
        result = restored.apply(2, command)
        self.assertEqual(restored.revision, source.revision)
        self.assertEqual(
            (restored.tables, restored.keys), (source.tables, source.keys)
        )
        # A restored group has no witnesses and a higher epoch, so that its
        # next witnesses don't count as the first ones of their shard.
        self.assertEqual(restored.groups[3], WitnessGroup(2, ()))
        self.assertEqual(restored.groups[4], WitnessGroup(1, ()))
        self.assertEqual(restored.apply(3, command), result)
        second_result = restored.apply(4, replace(command, edit_id="r2"))
        self.assertIsNotNone(second_result)
        if second_result is not None:
            self.assertIs(second_result.status, EditStatus.CONFLICT)


class KeyringTest(unittest.TestCase):
    """Guards against a key that identifies the wrong workspace."""

    def test_identifies_only_known_keys(self) -> None:
        keyring = Keyring((make_key(1), make_key(2, "other")))
        record = keyring.identify("t2")
        self.assertEqual(record.workspace if record else "", "other")
        for token in ("", "t3", "T2", "\ud800"):
            self.assertIsNone(keyring.identify(token))


class _EditModel:
    """Minimal model of edits that gives their expected results."""

    def __init__(self) -> None:
        self.revision = 0
        self.workspaces: frozenset[str] = frozenset()
        self.keys: dict[str, str] = {}
        self.results: dict[str, tuple[bool, int]] = {}

    def apply(self, edit: Command) -> tuple[bool, int]:
        """Return whether an edit is accepted and the revision after it."""
        assert isinstance(edit, EditTables | AddKey | WithdrawKey)
        if edit.edit_id not in self.results:
            is_stale = edit.base_revision not in (None, self.revision)
            accepted = not is_stale and self.apply_change(edit)
            self.revision += accepted
            self.results[edit.edit_id] = (accepted, self.revision)
        return self.results[edit.edit_id]

    def apply_change(self, edit: EditTables | AddKey | WithdrawKey) -> bool:
        if isinstance(edit, WithdrawKey):
            return self.keys.pop(edit.key_id, None) is not None
        if isinstance(edit, AddKey):
            is_known = edit.key.key_id in self.keys
            if is_known or edit.key.workspace not in self.workspaces:
                return False
            self.keys[edit.key.key_id] = edit.key.workspace
            return True
        remaining = frozenset(edit.tables.workspaces)
        if not set(self.keys.values()) <= remaining:
            return False
        self.workspaces = remaining
        return True


class StateFuzzTest(unittest.TestCase):
    """Guards against edits that are lost, repeated or applied differently.

    Some edits are resent or have equal base revisions. One of two
    replicas restarts from its snapshot at random points.
    """

    def test_edits_match_the_model(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        state, replica, model = FleetState(), FleetState(), _EditModel()
        log: list[Command] = []
        for index in range(1, 40):
            command = make_command(rng, index, state.revision)
            if log and rng.random() < 0.2:
                command = rng.choice(log)
            log.append(command)
            before = state.revision
            result = state.apply(index, command)
            self.assertEqual(replica.apply(index, command), result)
            if isinstance(command, EditTables | AddKey | WithdrawKey):
                assert result is not None
                accepted = result.status is EditStatus.ACCEPTED
                outcome = (accepted, result.revision)
                self.assertEqual(outcome, model.apply(command))
            self.assertGreaterEqual(state.revision, before)
            self.assertEqual(state.revision, model.revision)
            self.assertEqual(
                {k: v.workspace for k, v in state.keys.items()},
                model.keys,
            )
            if rng.random() < 0.1:
                replica = FleetState.load(replica.dump())
                replica.apply(rng.randrange(index + 1), rng.choice(log))
        self.assertEqual(state.dump(), replica.dump())
