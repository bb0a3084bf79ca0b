"""Tests of requests that crash the backend servers that run them."""

import asyncio
import unittest
from random import Random
from typing import Any, Final

from sequoiaseam._clock import ManualClock
from sequoiaseam._commands import CrashReported
from sequoiaseam._crash_guard import CrashGuard
from sequoiaseam._crash_reports import CrashReporter
from sequoiaseam._feed import FeedDelta, NodeView
from sequoiaseam._mesh_frames import RunCall
from sequoiaseam._quarantine import SHARED_CRASH_THRESHOLD
from sequoiaseam._settings import Endpoint
from sequoiaseam._tables import Importance
from tests.hosts import HostCluster, ReceivedRequest, echo_body

ENDPOINT: Final = Endpoint("127.0.0.1", 1)
WAIT_LIMIT_SECONDS: Final = 20.0


def build_call(target: str) -> RunCall:
    """Return a call that its target identifies."""
    return RunCall(
        *(1, "read", "store", "GET", target, b"", b"", "id", "coop", "coop"),
        *(Importance.NORMAL, 1.0, 10, 1000, False, True, False),
    )


class GuardHarness:
    """A guard whose server runs or not, and the reports that it sends."""

    def __init__(self) -> None:
        self.server_runs = False
        self.checked = asyncio.Event()
        self.reports: list[CrashReported] = []
        self._index = 0
        self.view = NodeView()
        self.view.has_pool_members = True
        self.clock = ManualClock()
        self.reporter = CrashReporter(
            self.view, self._post, SHARED_CRASH_THRESHOLD
        )
        self.guard = CrashGuard(
            self.clock, Random(1), self.reporter, self._check
        )

    def _post(self, message: Any) -> bool:
        """Apply a report at once, as if the control hosts had sent it."""
        if message not in self.reports:
            self.reports.append(message)
            self._index += 1
            delta = FeedDelta(
                self._index - 1, self._index, 1, quarantine=(message,)
            )
            self.view.apply(self.clock.now(), delta)
            self.reporter.follow_view()
        return True

    async def _check(
        self, host: str, port: int, timeout_seconds: float
    ) -> bool:
        del host, port, timeout_seconds
        self.checked.set()
        return self.server_runs

    async def break_off(self, *run_ids: int) -> None:
        """End runs by broken connections and wait for the check."""
        self.checked.clear()
        for run_id in run_ids:
            self.guard.end_broken_run(run_id, ENDPOINT)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await self.checked.wait()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def close(self) -> None:
        """Cancel all tasks."""
        await self.guard.close()
        await self.reporter.close()


class CrashGuardTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that crash one server after the other."""

    async def asyncSetUp(self) -> None:
        self.harness = GuardHarness()
        self.guard = self.harness.guard
        self.addAsyncCleanup(self.harness.close)

    async def crash(self, *targets: str) -> None:
        """Run calls on a server that crashes."""
        for run_id, target in enumerate(targets):
            self.guard.start_run(run_id, build_call(target))
        await self.harness.break_off(*range(len(targets)))

    async def test_a_request_is_refused_after_its_third_crash(self) -> None:
        for crashes in range(SHARED_CRASH_THRESHOLD):
            with self.subTest(crashes=crashes):
                self.assertFalse(self.guard.is_quarantined(build_call("/bad")))
                await self.crash("/bad", f"/bystander-{crashes}")
        self.assertTrue(self.guard.is_quarantined(build_call("/bad")))
        for crashes in range(SHARED_CRASH_THRESHOLD):
            bystander = build_call(f"/bystander-{crashes}")
            self.assertFalse(self.guard.is_quarantined(bystander))

    async def test_a_broken_connection_is_not_a_crash(self) -> None:
        self.harness.server_runs = True
        for _ in range(2 * SHARED_CRASH_THRESHOLD):
            await self.crash("/cut")
        self.assertEqual(self.harness.reports, [])
        self.assertFalse(self.guard.is_quarantined(build_call("/cut")))

    async def test_a_request_that_completes_is_cleared(self) -> None:
        for _ in range(SHARED_CRASH_THRESHOLD - 1):
            await self.crash("/good", "/bad")
        self.guard.start_run(7, build_call("/good"))
        self.guard.end_run(7, complete=True)
        self.guard._report_cleared()
        await asyncio.sleep(0)
        await self.crash("/good", "/bad")
        self.assertFalse(self.guard.is_quarantined(build_call("/good")))
        self.assertTrue(self.guard.is_quarantined(build_call("/bad")))

    async def test_runs_still_in_progress_are_suspects(self) -> None:
        """Suspect also the runs whose connections close a moment later."""
        self.guard.start_run(8, build_call("/slow"))
        await self.crash("/bad")
        (report,) = self.harness.reports
        self.assertEqual(len(report.fingerprints), 2)

    async def test_other_callers_requests_are_not_affected(self) -> None:
        for _ in range(SHARED_CRASH_THRESHOLD):
            await self.crash("/bad")
        self.assertFalse(self.guard.is_quarantined(build_call("/other")))


class CrashingServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a node that goes on sending what crashes its server."""

    async def test_a_crashing_request_is_stopped(self) -> None:
        cluster = HostCluster((echo_body,))
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        node, server = cluster.nodes[0], cluster.servers[0]
        crashes = 0

        def crash(request: ReceivedRequest) -> None:
            nonlocal crashes
            if b"/order/bad" not in request.head:
                echo_body(request)
                return
            crashes += 1
            server.close()
            request.transport.abort()

        server.handler = crash
        statuses = []
        for restart in range(2 * SHARED_CRASH_THRESHOLD):
            response = await cluster.send_request("/order/bad", method="POST")
            statuses.append(response.status)
            if response.status == 503:
                self.assertIn(b"QUARANTINED", response.body)
                break
            await self.wait_for_crash(node._executor._crash_guard, restart)
            await server.start()
            cluster.report_server(0, restart + 2)
        self.assertEqual(crashes, SHARED_CRASH_THRESHOLD)
        self.assertEqual(statuses, [502] * SHARED_CRASH_THRESHOLD + [503])
        other = await cluster.send_request("/order/good", method="POST")
        self.assertEqual(other.status, 200)

    async def wait_for_crash(self, guard: CrashGuard, restart: int) -> None:
        """Wait until the guard has noticed one more crash."""
        crash_ids = guard._watch._local_list._crash_ids
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while len(crash_ids) <= restart:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
