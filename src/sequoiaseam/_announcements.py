"""Reports that a backend server sends to the node on its host."""

from collections import deque
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Final

# Bound on the remembered servers whose stop arrived while the node knew no
# report of theirs, as another server on the host was the latest.
STOPPED_SERVERS_MAX: Final = 16


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One report of a backend server.

    ``started_at_ms`` is the Unix time of the server's start in
    milliseconds, ``sequence`` the number of the report since then.
    Together they order reports that arrive late. ``warmup_remaining`` is
    how much longer the server is slow after its start.
    """

    server_id: str
    pool: str
    host: str
    port: int
    started_at_ms: int
    sequence: int
    slots: int = 0
    leaving: bool = False
    warmup_remaining: timedelta = timedelta(0)

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return a key that increases with each report."""
        return self.started_at_ms, self.sequence

    def is_same_incarnation(self, other: "ServerReport") -> bool:
        """Return whether both reports are from the same server start."""
        own = (
            self.server_id,
            self.started_at_ms,
            self.host,
            self.port,
            self.pool,
        )
        return own == (
            other.server_id,
            other.started_at_ms,
            other.host,
            other.port,
            other.pool,
        )


class StaleReportFilter:
    """Reject reports that arrive after a later one or after a stop."""

    def __init__(self) -> None:
        self._newest: ServerReport | None = None
        # Servers that reported their stop, with their start time in ms.
        self._stopped: deque[tuple[str, int]] = deque(
            maxlen=STOPPED_SERVERS_MAX
        )

    def accept(self, report: ServerReport) -> bool:
        """Record a report and return True, or False if it is stale.

        A report is stale if a later one was accepted before, or if the
        server is already leaving since the same start: a server that
        leaves only comes back with a new start.
        """
        for server_id, started_at_ms in self._stopped:
            if (
                report.server_id == server_id
                and report.started_at_ms <= started_at_ms
            ):
                return False
        newest = self._newest
        if newest is not None:
            if report.sort_key < newest.sort_key:
                return False
            if newest.is_same_incarnation(report) and newest.leaving:
                return False
        self._newest = report
        return True

    def record_leave(
        self, server_id: str, started_at_ms: int
    ) -> ServerReport | None:
        """Record that a server leaves; return its last report as leaving.

        ``started_at_ms`` 0 means the start that is known. Return None if
        the latest report isn't from this server or is from a later start.
        """
        newest = self._newest
        if newest is None or newest.server_id != server_id:
            self._stopped.append((server_id, started_at_ms))
            return None
        if started_at_ms and started_at_ms < newest.started_at_ms:
            return None
        self._newest = replace(newest, leaving=True)
        return self._newest
