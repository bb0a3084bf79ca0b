"""Tests of the journal on a disk that loses, tears and fails."""

import random
import tempfile
import unittest

from sequoiaseam._files import DiskFileSystem
from sequoiaseam._journal import FRAME_HEADER, FRAME_MAGIC, Journal
from sequoiaseam._replica_messages import (
    Entries,
    Entry,
    HardState,
    Membership,
    ReplicaId,
    RestoredState,
    Snapshot,
    Truncated,
)
from sequoiaseam.errors import ErrorCode, SeamError
from tests.replica_fakes import CrashError, FakeDisk

VOTER = ReplicaId("h0", "a")
MEMBERSHIP = Membership((VOTER,))


def make_entries(start: int, count: int, term: int = 1) -> Entries:
    """Return a record of consecutive entries."""
    indexes = range(start, start + count)
    return Entries(tuple(Entry(i, term, b"c%d" % i) for i in indexes))


def make_snapshot(index: int, term: int = 1) -> Snapshot:
    """Return a snapshot at ``index``."""
    return Snapshot(index, term, MEMBERSHIP, b"s%d" % index)


def reopen(disk: FakeDisk, identity: str = "other") -> RestoredState:
    """Return what a new journal on the disk restores."""
    return Journal("data", disk).open(lambda: identity)


class JournalTest(unittest.TestCase):
    """Journals on a fake disk, and one on the real disk."""

    def setUp(self) -> None:
        self.disk = FakeDisk(random.Random(1))
        self.journal = Journal("data", self.disk)
        self.journal.open(lambda: "first")

    def assert_error(self, code: ErrorCode) -> None:
        """Expect opening the journal to fail with ``code``."""
        with self.assertRaises(SeamError) as caught:
            reopen(self.disk)
        self.assertIs(code, caught.exception.code)

    def test_contents_survive_a_restart(self) -> None:
        """Guard against records that are lost or applied in disorder."""
        hard = HardState(3, VOTER, "group")
        self.journal.append((hard, make_entries(1, 9)))
        self.journal.append((Truncated(6), make_entries(6, 2, 3)))
        self.disk.crash()
        restored = reopen(self.disk)
        self.assertEqual("first", restored.identity)
        self.assertEqual(hard, restored.hard_state)
        terms = [entry.term for entry in restored.entries]
        self.assertEqual([1, 1, 1, 1, 1, 3, 3], terms)

    def test_snapshot_replaces_the_log_before_it(self) -> None:
        """Guard against a log that grows, and against a foreign tail."""
        for term, kept in ((1, 3), (2, 0)):
            with self.subTest(term=term):
                self.setUp()
                self.journal.append((HardState(2), make_entries(1, 9)))
                self.journal.save_snapshot(make_snapshot(6, term))
                self.disk.crash()
                restored = reopen(self.disk)
                self.assertEqual(make_snapshot(6, term), restored.snapshot)
                self.assertEqual(HardState(2), restored.hard_state)
                self.assertEqual(kept, len(restored.entries))
                self.assertEqual(2, len(self.disk.files))

    def test_torn_tail_is_cut(self) -> None:
        """Guard against a crash in a write that blocks the next start."""
        self.journal.append((make_entries(1, 3),))
        path, file = next(iter(self.disk.files.items()))
        whole = len(file.data)
        self.journal.append((make_entries(4, 3),))
        complete = file.data
        for size in range(whole, len(complete)):
            with self.subTest(size=size):
                file.data = file.durable = complete[:size]
                self.disk.files = {path: file}
                self.assertEqual(3, len(reopen(self.disk).entries))
                self.assertEqual(3, len(reopen(self.disk).entries))

    def test_damage_before_the_tail_is_an_error(self) -> None:
        """Guard against dropping entries that were acknowledged."""
        for number in range(1, 4):
            self.journal.append((make_entries(number, 1),))
        file = next(iter(self.disk.files.values()))
        complete = file.data
        last = complete.rindex(FRAME_MAGIC)
        for spot in range(last):
            damaged = bytearray(complete)
            damaged[spot] ^= 0x40
            file.data = file.durable = bytes(damaged)
            self.assert_error(ErrorCode.JOURNAL_DAMAGED)
        file.data = complete[: FRAME_HEADER.size]
        self.assert_error(ErrorCode.JOURNAL_DAMAGED)

    def test_missing_or_damaged_snapshot_is_an_error(self) -> None:
        """Guard against starting empty beside a group that moved on."""
        self.journal.append((make_entries(1, 9),))
        self.journal.save_snapshot(make_snapshot(6))
        names = dict(self.disk.files)
        for lost in names:
            with self.subTest(lost=lost):
                self.disk.files = {
                    name: file for name, file in names.items() if name != lost
                }
                self.assert_error(ErrorCode.JOURNAL_DAMAGED)
        self.disk.files = names
        names["data/snapshot-6"].data = b"\0" * 80
        self.assert_error(ErrorCode.JOURNAL_DAMAGED)

    def test_failed_disk_fails_every_later_call(self) -> None:
        """Guard against writing after a failed sync as if it had worked."""
        for operation in ("append", "sync", "rename", "sync_folder"):
            with self.subTest(operation=operation):
                self.setUp()
                self.journal.append((make_entries(1, 3),))

                def fail(name: str, failing: str = operation) -> None:
                    if name == failing:
                        raise OSError(28, "No space left on device")

                self.disk.fault = fail
                with self.assertRaises(SeamError) as caught:
                    self.journal.append((make_entries(4, 1),))
                    self.journal.save_snapshot(make_snapshot(3))
                self.assertIs(ErrorCode.DISK_FAILED, caught.exception.code)
                self.disk.fault = str
                with self.assertRaises(SeamError):
                    self.journal.append((make_entries(5, 1),))
                self.disk.crash()
                restored = reopen(self.disk)
                self.assertEqual("first", restored.identity)
                self.assertGreaterEqual(len(restored.entries), 3)

    def test_crash_at_every_operation(self) -> None:
        """Guard against a crash that leaves neither old nor new state."""
        for seed in range(40):
            for step in range(14):
                with self.subTest(seed=seed, step=step):
                    self.crash_at(seed, step)

    def crash_at(self, seed: int, step: int) -> None:
        """Crash at the given operation and check what is restored."""
        self.disk = FakeDisk(random.Random(seed))
        self.journal = Journal("data", self.disk)
        self.journal.open(lambda: "first")
        self.journal.append((make_entries(1, 4),))
        left = [step]

        def fail(_operation: str) -> None:
            left[0] -= 1
            if left[0] < 0:
                raise CrashError

        self.disk.fault = fail
        synced = 4
        try:
            self.journal.append((make_entries(5, 2),))
            synced = 6
            self.journal.save_snapshot(make_snapshot(5))
            self.journal.append((make_entries(7, 2),))
            synced = 8
        except CrashError:
            pass
        self.disk.fault = str
        self.disk.crash()
        restored = reopen(self.disk)
        start = restored.snapshot.index if restored.snapshot else 0
        self.assertEqual("first", restored.identity)
        self.assertGreaterEqual(start + len(restored.entries), synced)
        reopen(self.disk)

    def test_wiped_folder_gets_a_new_identity(self) -> None:
        """Guard against a wiped replica that votes as its old self."""
        self.assertEqual("first", reopen(self.disk).identity)
        wiped = FakeDisk(random.Random(2))
        self.assertEqual("second", reopen(wiped, "second").identity)

    def test_real_disk(self) -> None:
        """Guard against a fake file system that differs from the real."""
        with tempfile.TemporaryDirectory() as folder:
            files = DiskFileSystem()
            journal = Journal(folder, files)
            journal.open(lambda: "first")
            journal.append((HardState(2), make_entries(1, 9)))
            journal.save_snapshot(make_snapshot(6))
            journal.append((make_entries(10, 1),))
            files.append(f"{folder}/log-2", FRAME_MAGIC)
            files.close()
            files = DiskFileSystem()
            restored = Journal(folder, files).open(lambda: "other")
            self.assertEqual("first", restored.identity)
            self.assertEqual(4, len(restored.entries))
            self.assertEqual(("log-3", "snapshot-6"), files.list_names(folder))
            files.close()
