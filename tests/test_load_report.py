"""Tests of the logs, metrics and tables on load."""

import json
import unittest
from datetime import timedelta
from typing import Any
from unittest import mock

from sequoiaseam._clock import ManualClock
from sequoiaseam._load_report import (
    ANSWERED,
    ROUTES_MAX,
    OutcomeCounts,
    ServerCapacity,
    log_route_load,
    log_server_load,
)
from sequoiaseam._load_table import tabulate_load
from sequoiaseam._logs import RateLimitedLog
from sequoiaseam._tables import USABLE_SLOTS_FRACTION
from sequoiaseam.errors import ErrorCode
from tests.hosts import HostCluster, ReceivedRequest, echo_body

MS = timedelta(milliseconds=1)
# The servers of the cluster announce eight slots.
SERVER_SLOTS = int(8 * USABLE_SLOTS_FRACTION)
TIME = "2026-12-07T10:00:00.5+00:00"


def build_capacity(limit: int) -> ServerCapacity:
    """Return the capacity of a server with 78 slots."""
    return ServerCapacity("s1", "billing", 78, limit, 1, 2, 3.5)


def format_line(event: str, **fields: Any) -> str:
    """Return a log line as a supervisor may store it."""
    record = {"time": TIME, "event": event, "fields": fields}
    return f"12.5 node-1 {json.dumps(record)}"


class LoadLogTest(unittest.TestCase):
    """Guards against refusals whose logs don't show who was full."""

    def setUp(self) -> None:
        self.log = RateLimitedLog(ManualClock())
        self.outcomes = OutcomeCounts()
        self.lines: list[tuple[str, dict[str, Any]]] = []
        patcher = mock.patch(
            "sequoiaseam._logs.log_event",
            lambda _, event, **fields: self.lines.append((event, fields)),
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_logs_a_limit_below_the_slots(self) -> None:
        log_server_load(self.log, "h1", build_capacity(78), self.outcomes)
        self.assertEqual(self.lines, [])
        log_server_load(self.log, "h1", build_capacity(1), self.outcomes)
        ((event, fields),) = self.lines
        self.assertEqual(event, "load of the backend server")
        self.assertEqual((fields["limit"], fields["slots"]), (1, 78))

    def test_logs_slot_time_of_calls_that_were_not_answered(self) -> None:
        self.outcomes.record_response("a", 200, 30 * MS)
        self.outcomes.record_response("b", 500, 20 * MS)
        self.outcomes.record_cancellation("b", 15 * MS)
        self.outcomes.record_refusal("b", ErrorCode.DEADLINE)
        log_server_load(self.log, "h1", build_capacity(78), self.outcomes)
        ((_, fields),) = self.lines
        self.assertEqual(fields["slot_time"], 65 * MS)
        self.assertEqual(fields["slot_time_lost"], 35 * MS)
        self.assertEqual(fields["refused"], ["DEADLINE:1"])

    def test_logs_each_loss_once(self) -> None:
        self.outcomes.record_response("calm", 200)
        self.outcomes.record_refusal("busy", ErrorCode.OVERLOAD)
        self.outcomes.record_refusal("busy", ErrorCode.OVERLOAD)
        for _ in range(2):
            log_route_load(self.log, "h1", self.outcomes)
        ((event, fields),) = self.lines
        self.assertEqual(event, "requests of a route")
        self.assertEqual(fields["route"], "busy")
        self.assertEqual(fields["refused"], ["OVERLOAD:2"])

    def test_bounds_the_routes(self) -> None:
        for index in range(2 * ROUTES_MAX):
            self.outcomes.record_response(f"r{index}", 200)
        totals = list(self.outcomes.iterate_totals())
        self.assertEqual(len(totals), ROUTES_MAX + 1)
        self.assertEqual(sum(total[2] for total in totals), 2 * ROUTES_MAX)


class LoadTableTest(unittest.TestCase):
    """Guards against tables that leave out lines of a second."""

    def test_sums_by_second(self) -> None:
        lines = [
            format_line(
                "load of the backend server",
                pool="billing",
                slots=78,
                limit=limit,
                running=1,
                queued=0,
                slot_time=0.5,
                slot_time_lost=0.25,
                pressure_level=level,
                refused=["DEADLINE:2"],
            )
            for limit, level in ((1, 3.5), (3, 2.0))
        ]
        lines += [
            format_line(
                "requests of a route",
                route="quote",
                answered=3,
                failed=1,
                cancelled=0,
                refused=["OVERLOAD:4"],
            ),
            "12.5 node-1 requests of a route, cut o",
            format_line("memory", resident=1),
        ]
        requests, servers = tabulate_load(lines)
        self.assertEqual(
            requests.rows,
            [["10:00:00", "quote", "3", "1", "0", "OVERLOAD 4"]],
        )
        self.assertEqual(
            servers.rows,
            [
                [
                    *("10:00:00", "billing", "156", "4", "2", "0"),
                    *("1", "0.5", "3.50", "DEADLINE 4"),
                ]
            ],
        )


class LoadMetricsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against outcomes that a node doesn't count."""

    async def test_counts_outcomes_of_requests_and_calls(self) -> None:
        def fail_orders(request: ReceivedRequest) -> None:
            if b"/order/" in request.head:
                request.respond(500, b"failed")
            else:
                echo_body(request)

        cluster = HostCluster([fail_orders])
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        await cluster.send_request("/read/1")
        await cluster.send_request("/order/1")
        await cluster.send_request("/unknown/1")
        text = cluster.nodes[0].format_metrics().decode()
        for line in (
            f'requests_total{{route="read",outcome="{ANSWERED}"}} 1',
            'requests_total{route="order",outcome="FAILED"} 1',
            'requests_total{route="",outcome="UNKNOWN_ROUTE"} 1',
            'server_calls_total{route="order",outcome="FAILED"} 1',
            f"server_slots {SERVER_SLOTS}",
            f"server_limit {SERVER_SLOTS}",
        ):
            with self.subTest(line=line):
                self.assertIn(f"sequoiaseam_{line}\n", text)


if __name__ == "__main__":
    unittest.main()
