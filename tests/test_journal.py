"""Tests of the journal with crashes, torn writes and disk errors."""

import contextlib
import itertools
import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

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
from sequoiaseam._replica_runner import JournalOpener
from sequoiaseam.errors import ErrorCode, SeamError
from tests.replica_fakes import CrashError, FakeDisk

VOTER = ReplicaId("h0", "a")
MEMBERSHIP = Membership((VOTER,))


def make_entries(start: int, count: int, term: int = 1) -> Entries:
    """Return a record of ``count`` consecutive entries."""
    indexes = range(start, start + count)
    return Entries(tuple(Entry(i, term, b"c%d" % i) for i in indexes))


def make_snapshot(index: int, term: int = 1) -> Snapshot:
    """Return a snapshot at ``index``."""
    return Snapshot(index, term, MEMBERSHIP, b"s%d" % index)


def reopen(disk: FakeDisk, identity: str = "other") -> RestoredState:
    """Return the state that a new journal on the disk restores."""
    return Journal("data", disk).open(lambda: identity)


class JournalTest(unittest.TestCase):
    """Guards against acknowledged records that a restart doesn't restore."""

    def setUp(self) -> None:
        self.disk = FakeDisk(random.Random(1))
        self.journal = Journal("data", self.disk)
        self.journal.open(lambda: "first")

    def assert_open_fails(self, code: ErrorCode) -> None:
        """Expect opening the journal to fail with ``code``."""
        with self.assertRaises(SeamError) as caught:
            reopen(self.disk)
        self.assertIs(code, caught.exception.code)

    def test_records_survive_a_restart(self) -> None:
        """Guard against records that are lost or applied out of order."""
        hard_state = HardState(3, VOTER, "group")
        self.journal.append((hard_state, make_entries(1, 9)))
        self.journal.append((Truncated(6), make_entries(6, 2, 3)))
        self.disk.crash()
        restored = reopen(self.disk)
        self.assertEqual("first", restored.identity)
        self.assertEqual(hard_state, restored.hard_state)
        terms = [entry.term for entry in restored.entries]
        self.assertEqual([1, 1, 1, 1, 1, 3, 3], terms)

    def test_snapshot_replaces_earlier_entries(self) -> None:
        """Guard against an ever growing log and a tail of another term."""
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

    def test_torn_last_frame_is_discarded(self) -> None:
        """Guard against a start that fails after a crash during a write."""
        self.journal.append((make_entries(1, 3),))
        path, file = next(iter(self.disk.files.items()))
        first_size = len(file.data)
        self.journal.append((make_entries(4, 3),))
        full_data = file.data
        for size in range(first_size, len(full_data)):
            with self.subTest(size=size):
                file.data = file.durable = full_data[:size]
                self.disk.files = {path: file}
                self.assertEqual(3, len(reopen(self.disk).entries))
                self.assertEqual(3, len(reopen(self.disk).entries))

    def test_damage_before_the_last_frame_is_an_error(self) -> None:
        """Guard against discarding acknowledged entries."""
        for number in range(1, 4):
            self.journal.append((make_entries(number, 1),))
        file = next(iter(self.disk.files.values()))
        full_data = file.data
        last_frame_at = full_data.rindex(FRAME_MAGIC)
        for offset in range(last_frame_at):
            damaged = bytearray(full_data)
            damaged[offset] ^= 0x40
            file.data = file.durable = bytes(damaged)
            self.assert_open_fails(ErrorCode.JOURNAL_DAMAGED)
        file.data = full_data[: FRAME_HEADER.size]
        self.assert_open_fails(ErrorCode.JOURNAL_DAMAGED)

    def test_missing_or_damaged_snapshot_is_an_error(self) -> None:
        """Guard against an empty start in a group that has made progress."""
        self.journal.append((make_entries(1, 9),))
        self.journal.save_snapshot(make_snapshot(6))
        saved_files = dict(self.disk.files)
        for missing in saved_files:
            with self.subTest(missing=missing):
                self.disk.files = {
                    path: file
                    for path, file in saved_files.items()
                    if path != missing
                }
                self.assert_open_fails(ErrorCode.JOURNAL_DAMAGED)
        self.disk.files = saved_files
        saved_files["data/snapshot-6"].data = b"\0" * 80
        self.assert_open_fails(ErrorCode.JOURNAL_DAMAGED)

    def test_disk_error_fails_all_later_calls(self) -> None:
        """Guard against reporting success for writes after a failed sync."""
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
        """Guard against a crash after which neither state is restored."""
        for seed in range(40):
            for step in range(14):
                with self.subTest(seed=seed, step=step):
                    self.crash_at(seed, step)

    def crash_at(self, seed: int, step: int) -> None:
        """Crash at the given operation and check the restored state."""
        self.disk = FakeDisk(random.Random(seed))
        self.journal = Journal("data", self.disk)
        self.journal.open(lambda: "first")
        self.journal.append((make_entries(1, 4),))
        remaining = [step]

        def fail(_operation: str) -> None:
            remaining[0] -= 1
            if remaining[0] < 0:
                raise CrashError

        self.disk.fault = fail
        synced_count = 4
        try:
            self.journal.append((make_entries(5, 2),))
            synced_count = 6
            self.journal.save_snapshot(make_snapshot(5))
            self.journal.append((make_entries(7, 2),))
            synced_count = 8
        except CrashError:
            pass
        self.disk.fault = str
        self.disk.crash()
        restored = reopen(self.disk)
        snapshot_index = restored.snapshot.index if restored.snapshot else 0
        self.assertEqual("first", restored.identity)
        self.assertGreaterEqual(
            snapshot_index + len(restored.entries), synced_count
        )
        reopen(self.disk)

    def test_interrupted_starts_keep_synced_records(self) -> None:
        """Guard against a start that removes what isn't replaced for good.

        Each start ends at a random operation, by a kill, a loss of power
        or a disk error, and the next one finds what it left behind.
        """
        for seed in range(600):
            with self.subTest(seed=seed):
                self.interrupt_starts(random.Random(seed))

    def interrupt_starts(self, rng: random.Random) -> None:
        """Interrupt a write and some starts; check the restored state."""
        self.disk = FakeDisk(rng)
        self.journal = Journal("data", self.disk)
        self.journal.open(lambda: "first")
        self.journal.append((HardState(2), make_entries(1, 4)))
        if rng.random() < 0.5:
            self.journal.save_snapshot(make_snapshot(2))
        actions: list[Callable[[], object]] = [
            lambda: self.journal.save_snapshot(make_snapshot(4))
        ]
        actions += [lambda: reopen(self.disk)] * rng.randint(1, 3)
        for action in actions:
            self.interrupt(action, rng.randrange(14), rng)
        self.disk.crash()
        restored = reopen(self.disk)
        self.assertEqual("first", restored.identity)
        self.assertEqual(HardState(2), restored.hard_state)
        snapshot_index = restored.snapshot.index if restored.snapshot else 0
        self.assertEqual(4, snapshot_index + len(restored.entries))

    def interrupt(
        self, action: Callable[[], object], step: int, rng: random.Random
    ) -> None:
        """Fail one operation of the disk, and perhaps lose power."""
        remaining = itertools.count(step, -1)
        error = rng.choice((CrashError(), OSError(5, "Input/output error")))

        def fail(_operation: str) -> None:
            if not next(remaining):
                raise error

        self.disk.fault = fail
        with contextlib.suppress(CrashError, SeamError):
            action()
        self.disk.fault = str
        if rng.random() < 0.4:
            self.disk.crash()

    def test_empty_folder_gets_a_new_identity(self) -> None:
        """Guard against a wiped replica that votes under its old identity."""
        self.assertEqual("first", reopen(self.disk).identity)
        wiped = FakeDisk(random.Random(2))
        self.assertEqual("second", reopen(wiped, "second").identity)

    def test_real_file_system(self) -> None:
        """Guard against a fake file system that differs from the real one."""
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


class JournalOpenerTest(unittest.TestCase):
    """Guards against replicas that stay failed after a disk error."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.opener = JournalOpener(
            folder.name, lambda: "first", replaces_damaged=True
        )

    def test_disk_error_while_a_damaged_journal_is_emptied(self) -> None:
        """Guard against an error that the replica doesn't try again after."""
        (self.folder / "log-1").write_bytes(b"damaged")
        with (
            patch.object(
                DiskFileSystem, "remove", side_effect=OSError(5, "I/O error")
            ),
            self.assertRaises(SeamError) as caught,
        ):
            self.opener.open()
        self.assertIs(ErrorCode.DISK_FAILED, caught.exception.code)
        self.assertEqual("first", self.opener.open()[1].identity)

    def test_failed_journals_are_closed(self) -> None:
        """Guard against removed log files that still take up the disk."""
        counts = []
        for _ in range(3):
            journal, _ = self.opener.open()
            with (
                patch("os.fsync", side_effect=OSError(5, "I/O error")),
                self.assertRaises(SeamError),
            ):
                journal.append((HardState(2),))
            counts.append(len(list(Path("/proc/self/fd").iterdir())))
        self.assertEqual(counts[0], counts[2])
