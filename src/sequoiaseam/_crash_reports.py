"""Crash reports of a node, resent until they are in force."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from sequoiaseam._commands import CrashReported
from sequoiaseam._feed import NodeView
from sequoiaseam._pending import PendingFutures
from sequoiaseam._quarantine import (
    QUARANTINE_CRASH_THRESHOLD,
    QuarantineList,
)
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import HEARTBEAT_INTERVAL

# How long the response to a request that was running at a crash waits for
# the report to be in force, so that the report applies to a resend. Also
# the interval between resends of the report.
REPORT_IN_FORCE_TIMEOUT: Final = timedelta(seconds=1)
REPORT_SENDS_MAX: Final = 30
# Once a report is in force on this node, the other nodes receive it with
# the next heartbeat of the control hosts; the rest is for its delivery.
REPORT_PROPAGATION_DELAY: Final = HEARTBEAT_INTERVAL + timedelta(
    milliseconds=50
)


class CrashReporter:
    """Sender of this node's crash reports.

    It also keeps this node's copy of the fleet-wide quarantine.
    """

    def __init__(
        self,
        view: NodeView,
        post: Callable[[object], bool],
        crash_threshold: int = QUARANTINE_CRASH_THRESHOLD,
    ) -> None:
        self.quarantine = QuarantineList(crash_threshold)
        self._view = view
        self._post = post
        self._applied_crash_ids: frozenset[str] = frozenset()
        self._waiters: PendingFutures[str, None] = PendingFutures()
        self._tasks = TaskGroup()

    def follow_view(self) -> None:
        """Apply the reports that are new in the node's view."""
        for report in self._view.quarantine:
            if report.crash_id not in self._applied_crash_ids:
                self.quarantine.apply(report)
                self._waiters.resolve(report.crash_id, None)
        self._applied_crash_ids = frozenset(
            report.crash_id for report in self._view.quarantine
        )

    async def report(self, report: CrashReported) -> None:
        """Send a report and wait until all nodes should apply it.

        Stop waiting for the report to be in force after
        REPORT_IN_FORCE_TIMEOUT; resends continue in the background.
        """
        in_force = self._waiters.create(report.crash_id)
        self._tasks.start(self._resend_until_in_force(report))
        await asyncio.wait(
            (in_force,), timeout=REPORT_IN_FORCE_TIMEOUT.total_seconds()
        )
        self._waiters.discard(report.crash_id)
        await asyncio.sleep(REPORT_PROPAGATION_DELAY.total_seconds())

    async def _resend_until_in_force(self, report: CrashReported) -> None:
        """Resend a report until it is in force.

        A report may be lost when the leader fails.
        """
        for _ in range(REPORT_SENDS_MAX):
            if report.crash_id in self._applied_crash_ids:
                return
            self._post(report)
            await asyncio.sleep(REPORT_IN_FORCE_TIMEOUT.total_seconds())

    async def close(self) -> None:
        """Stop resending reports."""
        await self._tasks.cancel()
