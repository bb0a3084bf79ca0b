"""Tests of the limits on accepted connections."""

import unittest
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Final

from sequoiaseam._connection_limit import (
    API_FRACTION,
    CALLER_FRACTION,
    CONNECTIONS_MIN,
    INTERNAL_FRACTION,
    MESH_FRACTION,
    OPERATOR_FRACTION,
    RESERVED_MIN,
    SCAN_INTERVAL,
    ConnectionLimit,
    compute_connection_limit,
)

START: Final = datetime(2026, 1, 1, tzinfo=UTC)
# Of the platform's nodes and control hosts.
NODE_DESCRIPTORS: Final = 4100
CONTROL_DESCRIPTORS: Final = 4096


@dataclass(eq=False)
class FakeConnection:
    """A connection that has been idle for some time, or isn't."""

    idle_time: timedelta | None

    def find_idle_since(self, now: datetime) -> datetime | None:
        """Return since when it has been idle."""
        return None if self.idle_time is None else now - self.idle_time


def build_connections(idle_seconds: list[int | None]) -> list[FakeConnection]:
    """Return connections with these idle times."""
    return [
        FakeConnection(None if s is None else timedelta(seconds=s))
        for s in idle_seconds
    ]


class ShareTest(unittest.TestCase):
    """Guards against listeners that leave no descriptors for links."""

    def test_shares_leave_descriptors_for_what_a_process_opens(self) -> None:
        for descriptors, fractions in (
            (
                NODE_DESCRIPTORS,
                (CALLER_FRACTION, API_FRACTION, API_FRACTION, MESH_FRACTION),
            ),
            (CONTROL_DESCRIPTORS, (OPERATOR_FRACTION, INTERNAL_FRACTION)),
        ):
            with self.subTest(descriptors=descriptors):
                limits = [
                    compute_connection_limit(descriptors, fraction)
                    for fraction in fractions
                ]
                # 210 slots of a server, links to 58 nodes and control hosts.
                self.assertGreaterEqual(descriptors - sum(limits), 300)

    def test_callers_of_a_node_may_upload_three_thousand_at_once(self) -> None:
        limit = compute_connection_limit(NODE_DESCRIPTORS, CALLER_FRACTION)
        self.assertGreater(limit, 3000)

    def test_few_descriptors_leave_a_reserve(self) -> None:
        limit = compute_connection_limit(256, CALLER_FRACTION)
        self.assertEqual(256 - RESERVED_MIN, limit)
        limit = compute_connection_limit(64, CALLER_FRACTION)
        self.assertEqual(CONNECTIONS_MIN, limit)


class IdleTest(unittest.TestCase):
    """Guards against new callers refused for idle ones, or progress lost."""

    def test_the_longest_idle_are_closed_first(self) -> None:
        limit = ConnectionLimit(32)
        connections = build_connections([*([None] * 28), 3, 9, 5, 7])
        selected = limit.select_idle(connections, START)
        self.assertEqual([connections[29], connections[31]], selected)

    def test_nothing_is_closed_while_there_is_room(self) -> None:
        limit = ConnectionLimit(32)
        self.assertEqual(
            (), limit.select_idle(build_connections([60] * 29), START)
        )

    def test_connections_that_make_progress_stay(self) -> None:
        limit = ConnectionLimit(32)
        connections = build_connections([None] * 32)
        self.assertEqual([], limit.select_idle(connections, START))
        self.assertTrue(limit.is_full(len(connections)))
        self.assertFalse(limit.is_full(31))

    def test_a_crowd_does_not_have_all_looked_at_each_time(self) -> None:
        limit = ConnectionLimit(32)
        connections = build_connections([60] * 32)
        self.assertEqual(2, len(limit.select_idle(connections, START)))
        soon = START + SCAN_INTERVAL / 2
        self.assertEqual((), limit.select_idle(connections, soon))
        later = START + SCAN_INTERVAL
        self.assertEqual(2, len(limit.select_idle(connections, later)))


if __name__ == "__main__":
    unittest.main()
