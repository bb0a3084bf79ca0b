"""Stops requests that crash the backend servers that run them.

A crash shows as a connection that breaks while a request runs and a
server that then accepts no connection. What was running becomes suspect
on the whole fleet; after several crashes a request is refused unrun.
"""

import asyncio
import re
from datetime import timedelta
from random import Random
from typing import Final, Protocol

from sequoiaseam._clock import Clock
from sequoiaseam._crash_reports import CrashReporter
from sequoiaseam._listeners import accepts_connections
from sequoiaseam._logs import Level, log_event
from sequoiaseam._mesh_frames import RunCall
from sequoiaseam._quarantine import (
    SHARED_CRASH_THRESHOLD,
    CrashWatch,
    Standing,
    compute_fingerprint,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._tables import parse_hostname
from sequoiaseam._tasks import TaskGroup

# Time for a crashed process to release its port.
CHECK_DELAY: Final = timedelta(milliseconds=20)
CONNECT_TIMEOUT: Final = timedelta(seconds=1)
CLEAR_INTERVAL: Final = timedelta(seconds=1)
CRASH_ID_BITS: Final = 64
HOST_FIELD: Final = re.compile(rb"^host: ([^\r]*)", re.MULTILINE)


class ConnectionCheck(Protocol):
    """Returns whether an address accepts connections."""

    async def __call__(
        self, host: str, port: int, timeout_seconds: float
    ) -> bool:
        """Try to connect."""


class CrashGuard:
    """Watch the runs on this host's backend server for crashes."""

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        reporter: CrashReporter,
        check_connection: ConnectionCheck = accepts_connections,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._reporter = reporter
        self._check_connection = check_connection
        self._watch = CrashWatch(SHARED_CRASH_THRESHOLD)
        # Runs that broke off and may have crashed the server.
        self._unexplained: set[int] = set()
        self._tasks = TaskGroup()

    def start(self) -> None:
        """Start to report suspects that have run to their ends."""
        self._tasks.start_periodic(CLEAR_INTERVAL, self._report_cleared)

    async def close(self) -> None:
        """Cancel the tasks."""
        await self._tasks.cancel()

    def is_quarantined(self, call: RunCall) -> bool:
        """Return whether a call may not run."""
        standing = self._watch.check(
            self._clock.now(),
            _compute_call_fingerprint(call),
            self._reporter.quarantine,
        )
        return standing is Standing.QUARANTINED

    def start_run(self, run_id: int, call: RunCall) -> None:
        """Record that the server runs a call."""
        self._watch.start(_compute_call_fingerprint(call), run_id)

    def end_run(self, run_id: int, *, complete: bool) -> None:
        """Record the end of a run that can't have crashed the server.

        ``complete`` tells whether the server ran the call to its end.
        """
        self._watch.finish(run_id, whole=complete)

    def end_broken_run(self, run_id: int, endpoint: Endpoint) -> None:
        """Check whether the server crashed, as a run broke off."""
        if not self._unexplained:
            self._tasks.start(self._check_server(endpoint))
        self._unexplained.add(run_id)

    async def _check_server(self, endpoint: Endpoint) -> None:
        await asyncio.sleep(CHECK_DELAY.total_seconds())
        is_running = await self._check_connection(
            endpoint.host, endpoint.port, CONNECT_TIMEOUT.total_seconds()
        )
        unexplained, self._unexplained = self._unexplained, set()
        if is_running:
            for run_id in unexplained:
                self._watch.finish(run_id, whole=False)
            return
        crash_id = f"{self._rng.getrandbits(CRASH_ID_BITS):016x}"
        report = self._watch.crash(self._clock.now(), crash_id)
        if report is None:
            return
        log_event(
            Level.WARNING,
            "backend server crashed",
            server=str(endpoint),
            crash=crash_id,
            suspects=len(report.fingerprints),
        )
        self._tasks.start(self._reporter.report(report))

    def _report_cleared(self) -> None:
        report_id = f"{self._rng.getrandbits(CRASH_ID_BITS):016x}"
        report = self._watch.report_cleared(
            self._clock.now(), report_id, self._reporter.quarantine
        )
        if report is not None:
            self._tasks.start(self._reporter.report(report))


def _compute_call_fingerprint(call: RunCall) -> int:
    found = HOST_FIELD.search(call.fields)
    authority = found[1].decode("latin-1") if found else ""
    return compute_fingerprint(
        call.workspace,
        parse_hostname(authority),
        call.method,
        call.target,
        call.body,
    )
