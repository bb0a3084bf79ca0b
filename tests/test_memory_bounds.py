"""Tests of what control hosts keep of edits, in memory and on disk.

Limits count bytes or rows, as the size of a configuration isn't limited by
the number of edits.
"""

import asyncio
import functools
import gc
import itertools
import random
import tempfile
import tracemalloc
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final

from sequoiaseam._codec import Codec
from sequoiaseam._commands import COMMAND_TYPES, EditTables
from sequoiaseam._feed import FeedDelta, FeedSnapshot, FeedSource
from sequoiaseam._files import DiskFileSystem
from sequoiaseam._journal import Journal
from sequoiaseam._operator_messages import FollowEvent
from sequoiaseam._operator_requests import FollowEventLog
from sequoiaseam._replica import ReplicaConfig
from sequoiaseam._replica_messages import Entries, Entry, Rejected
from sequoiaseam._state import FleetState
from sequoiaseam.errors import ErrorCode
from tests.builders import build_route, build_tables
from tests.replica_fakes import FakeDisk, FakeFleet

MEBIBYTE: Final = 1024 * 1024
LARGE_COMMAND_BYTES: Final = 256 * 1024
# Of a large configuration.
ROUTE_COUNT: Final = 360
COMMAND_CODEC: Final = Codec(COMMAND_TYPES)


def build_edit(
    number: int, timeout: timedelta = timedelta(seconds=2)
) -> EditTables:
    """Return an edit of large tables that shares no rows with others."""
    routes = (
        build_route(f"r{row}", f"/path{row}", timeout=timeout)
        for row in range(ROUTE_COUNT)
    )
    edit = EditTables(f"e{number}", "ana", number, build_tables(*routes))
    decoded: EditTables = COMMAND_CODEC.decode(COMMAND_CODEC.encode(edit))
    return decoded


def measure_memory(action: Callable[[], Any]) -> tuple[Any, int, int]:
    """Return the result of an action, the bytes it keeps and their peak."""
    gc.collect()
    tracemalloc.start()
    try:
        result = action()
        gc.collect()
        kept, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return result, kept, peak


class LogSizeTest(unittest.TestCase):
    """Guards against a log of large edits that no host can read again."""

    def start_fleet(self) -> FakeFleet:
        """Return a fleet with the limits that control hosts have."""
        fleet = FakeFleet(1, 3)
        for host in fleet.hosts.values():
            host.config = ReplicaConfig(host.name, tuple(fleet.hosts))
        fleet.start()
        assert fleet.run_until(fleet.leader)
        return fleet

    def propose_large_commands(self, fleet: FakeFleet, count: int) -> None:
        padding = bytes(LARGE_COMMAND_BYTES)
        for number in range(count):
            command = b"%d" % number + padding
            fleet.propose(fleet.require_leader(), command)
            self.assertTrue(
                fleet.run_until(functools.partial(fleet.acked.get, command))
            )
            for host in fleet.running_hosts():
                # The state doesn't grow with the number of edits.
                host.applied.clear()

    def test_log_is_limited_in_bytes(self) -> None:
        fleet = self.start_fleet()
        for _ in range(6):
            self.propose_large_commands(fleet, 40)
            fleet.run(0.5)
            for host in fleet.running_hosts():
                with self.subTest(host=host.name):
                    entries = host.replica._log._entries
                    in_memory = sum(len(entry.command) for entry in entries)
                    self.assertLess(in_memory, 16 * MEBIBYTE)
                    self.assertLess(measure_disk(host.disk), 16 * MEBIBYTE)

    def test_restarted_host_saves_a_snapshot_of_a_large_log(self) -> None:
        fleet = self.start_fleet()
        host = next(h for h in fleet.running_hosts() if not h.is_leader)
        self.propose_large_commands(fleet, 30)
        host.stop(power=False)
        host.start()
        fleet.run(1.0)
        self.propose_large_commands(fleet, 10)
        fleet.run(1.0)
        self.assertLess(measure_disk(host.disk), 8 * MEBIBYTE)

    def test_lagging_host_catches_up_by_a_snapshot(self) -> None:
        fleet = self.start_fleet()
        host = next(h for h in fleet.running_hosts() if not h.is_leader)
        fleet.isolate(host.name)
        self.propose_large_commands(fleet, 60)
        fleet.blocked_links.clear()
        leader = fleet.require_leader().replica
        self.assertTrue(
            fleet.run_until(
                lambda: host.replica.commit_index == leader.commit_index
            )
        )

    def test_large_commands_wait_while_no_snapshot_is_saved(self) -> None:
        """Guard against a log that grows as long as a disk stalls."""
        fleet = self.start_fleet()
        leader = fleet.require_leader()
        leader.max_disk_delay = 1000.0
        leader.disk_free_at = fleet.time + 1000.0
        codes = []
        for number in range(200):
            command = b"%d" % number + bytes(LARGE_COMMAND_BYTES)
            actions = leader.replica.propose(leader.now, command, command)
            codes += [a.reason for a in actions if isinstance(a, Rejected)]
            leader.run(actions)
            fleet.run(0.05)
        self.assertEqual({ErrorCode.OVERLOAD}, set(codes))
        size = leader.replica._log.size_bytes
        self.assertLessEqual(size, leader.config.log_max_bytes)
        fleet.propose(leader, b"small")
        self.assertTrue(fleet.run_until(lambda: b"small" in fleet.acked))


def measure_disk(disk: FakeDisk) -> int:
    """Return the total size of the files in bytes."""
    return sum(len(file.data) for file in disk.files.values())


class JournalMemoryTest(unittest.TestCase):
    """Guards against a start that takes several times the log's size."""

    def test_open_takes_little_more_than_the_entries(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        journal = Journal(folder.name, DiskFileSystem())
        journal.open(lambda: "first")
        entry_count, padding = 160, bytes(LARGE_COMMAND_BYTES)
        for index in range(1, entry_count + 1):
            entry = Entry(index, 1, b"%d" % index + padding)
            journal.append((Entries((entry,)),))
        log_size = entry_count * LARGE_COMMAND_BYTES
        # The first start reads single entries, the second one the frames
        # that the first has written.
        for _ in range(2):
            restored, _, peak = measure_memory(
                lambda: Journal(folder.name, DiskFileSystem()).open(
                    lambda: "other"
                )
            )
            self.assertEqual(entry_count, len(restored.entries))
            self.assertLess(peak, log_size + 8 * MEBIBYTE)
            del restored

    def test_damaged_initial_frame_is_an_error(self) -> None:
        """Guard against discarding entries of the last initial frame."""
        disk = FakeDisk(random.Random(1))
        journal = Journal("data", disk)
        journal.open(lambda: "first")
        for index in range(1, 10):
            command = b"%d" % index + bytes(LARGE_COMMAND_BYTES)
            journal.append((Entries((Entry(index, 1, command),)),))
        journal = Journal("data", disk)
        journal.open(lambda: "other")
        file = next(iter(disk.files.values()))
        for removed in (1, LARGE_COMMAND_BYTES, 6 * LARGE_COMMAND_BYTES):
            with self.subTest(removed=removed):
                damaged = FakeDisk(random.Random(1))
                damaged.append(next(iter(disk.files)), file.data[:-removed])
                with self.assertRaisesRegex(Exception, "checksum"):
                    Journal("data", damaged).open(lambda: "third")


class RetainedEditsTest(unittest.TestCase):
    """Guards against memory that grows with table size times edits."""

    EDIT_COUNT: Final = 100

    def record_edits(self) -> FollowEventLog:
        """Return a log with the events of edits of large tables."""
        state, log = FleetState(), FollowEventLog()
        for number in range(self.EDIT_COUNT):
            edit = build_edit(number)
            state.apply(number + 1, edit)
            log.record(state, edit)
        return log

    def test_followed_events_take_little_memory(self) -> None:
        log, kept, _ = measure_memory(self.record_edits)
        self.assertLess(kept, 8 * MEBIBYTE)

        async def follow() -> list[FollowEvent]:
            return [await log.wait(n) for n in range(self.EDIT_COUNT)]

        events = asyncio.run(follow())
        expected = list(range(1, self.EDIT_COUNT + 1))
        self.assertEqual(expected, [event.index for event in events])
        self.assertEqual(build_edit(0).tables, events[-1].tables)

    def test_changes_for_nodes_are_limited_in_rows(self) -> None:
        state = FleetState()
        source = FeedSource(state)
        timeouts = itertools.cycle(
            (timedelta(seconds=1), timedelta(seconds=2))
        )
        for number, timeout in zip(range(300), timeouts, strict=False):
            edit = build_edit(number, timeout)
            state.apply(number + 1, edit)
            source.publish(number + 1, edit)
        for index, expected in ((1, FeedSnapshot), (250, FeedDelta)):
            message = source.subscribe("n", index, None)
            self.assertIs(type(message), expected)


if __name__ == "__main__":
    unittest.main()
