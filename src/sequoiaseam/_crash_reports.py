"""A node's crash reports, sent until they are in force."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from sequoiaseam._commands import CrashReported
from sequoiaseam._feed import NodeView
from sequoiaseam._gates import Waiters
from sequoiaseam._quarantine import QuarantineList
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import HEARTBEAT_INTERVAL

# How long the answer to a request that ran during a crash waits for the
# report to be in force, so that a resend meets it.
REPORT_WAIT: Final = timedelta(seconds=1)
REPORT_TRIES: Final = 30
# After it is in force here, other nodes have it by the next heartbeat
# of the control hosts and its delivery.
REPORT_SPREAD: Final = HEARTBEAT_INTERVAL + timedelta(milliseconds=50)


class CrashReporter:
    """The fleet's quarantine as this node knows it, and own reports."""

    def __init__(
        self,
        view: NodeView,
        post: Callable[[object], bool],
    ) -> None:
        self.quarantine = QuarantineList()
        self._view = view
        self._post = post
        self._known: frozenset[str] = frozenset()
        self._waiters: Waiters[str, None] = Waiters()
        self._tasks = TaskGroup()

    def follow_view(self) -> None:
        """Apply the reports that are new in the view."""
        for report in self._view.quarantine:
            if report.crash_id not in self._known:
                self.quarantine.apply(report)
                self._waiters.resolve(report.crash_id, None)
        self._known = frozenset(
            report.crash_id for report in self._view.quarantine
        )

    async def report(self, report: CrashReported) -> None:
        """Report a crash and wait until nodes act on the report."""
        in_force = self._waiters.expect(report.crash_id)
        self._tasks.start(self._repeat(report))
        await asyncio.wait((in_force,), timeout=REPORT_WAIT.total_seconds())
        self._waiters.forget(report.crash_id)
        await asyncio.sleep(REPORT_SPREAD.total_seconds())

    async def _repeat(self, report: CrashReported) -> None:
        """Send a report until it is in force; a leader may be lost."""
        for _ in range(REPORT_TRIES):
            if report.crash_id in self._known:
                return
            self._post(report)
            await asyncio.sleep(REPORT_WAIT.total_seconds())

    async def close(self) -> None:
        """Stop repeating reports."""
        await self._tasks.cancel()
