"""What a backend server says of itself to the node beside it."""

from collections import deque
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Final

# Servers on one host that end before the node hears of them.
GONE_KEPT: Final = 16


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One report of a backend server.

    ``started_at_ms`` is the Unix time of the server's start in milliseconds
    and ``sequence`` the number of the report since then; together they
    order reports that arrive late. ``warmup_remaining`` is how much longer the
    server is slow after its start.
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
    def order(self) -> tuple[int, int]:
        """Return what grows with each report."""
        return self.started_at_ms, self.sequence

    def is_same_incarnation(self, other: "ServerReport") -> bool:
        """Return whether both are of one start of one server."""
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
    """Pass on reports in their order; one that was overtaken is old."""

    def __init__(self) -> None:
        self._newest: ServerReport | None = None
        # Servers that said they are gone, with their start.
        self._gone: deque[tuple[str, int]] = deque(maxlen=GONE_KEPT)

    def accept(self, report: ServerReport) -> bool:
        """Return whether no later report was taken before; note it.

        Once a run of the server is leaving, it doesn't come back.
        """
        for server_id, started_at_ms in self._gone:
            if (
                report.server_id == server_id
                and report.started_at_ms <= started_at_ms
            ):
                return False
        newest = self._newest
        if newest is not None:
            if report.order < newest.order:
                return False
            if newest.is_same_incarnation(report) and newest.leaving:
                return False
        self._newest = report
        return True

    def record_leave(
        self, server_id: str, started_at_ms: int
    ) -> ServerReport | None:
        """Note that a server is gone; return the report that says so.

        ``started_at_ms`` 0 means the run that is known. Return None if it
        isn't the newest server's.
        """
        newest = self._newest
        if newest is None or newest.server_id != server_id:
            self._gone.append((server_id, started_at_ms))
            return None
        if started_at_ms and started_at_ms < newest.started_at_ms:
            return None
        self._newest = replace(newest, leaving=True)
        return self._newest
