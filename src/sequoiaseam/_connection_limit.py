"""Limits on accepted connections, and which are closed for new ones.

Decisions only: the owner of a listener carries them out. A connection is idle
if it waits for its caller, who has neither sent nor read anything for a while.
Idle ones are closed before a new one is refused.
"""

from collections.abc import Collection, Sequence
from datetime import datetime, timedelta
from typing import Final, Protocol, TypeVar

# Descriptors of a process that isn't told how many it may have.
DEFAULT_DESCRIPTOR_LIMIT: Final = 4096
# Shares of a process's descriptors. What is left is for files, links that it
# opens to other nodes and control hosts, and its backend server. Of 4,100,
# callers get 3,034, more than the 3,000 that upload at the same time at most.
CALLER_FRACTION: Final = 0.74
# Of the listeners for readiness checks and for the server's reports, each.
API_FRACTION: Final = 0.04
MESH_FRACTION: Final = 0.08
# Of a control host, which serves no other callers.
OPERATOR_FRACTION: Final = 0.25
INTERNAL_FRACTION: Final = 0.55
CONNECTIONS_MIN: Final = 8
# Descriptors that no listener gets, where its share would leave fewer.
RESERVED_MIN: Final = 128
# Room for new connections is made before the limit is reached, as closed ones
# keep their descriptors until the event loop's next pass.
ROOM_FRACTION: Final = 1 / 16
# Callers without a request in progress may be closed after this time, and
# those who don't go on reading or sending a body after STALL_TIMEOUT.
IDLE_MIN: Final = timedelta(seconds=1)
# Between two looks at all connections that find none to close.
SCAN_INTERVAL: Final = timedelta(milliseconds=100)


def compute_connection_limit(descriptors: int, fraction: float) -> int:
    """Return the connections that a listener with this share may accept."""
    share = min(int(fraction * descriptors), descriptors - RESERVED_MIN)
    return max(CONNECTIONS_MIN, share)


class LimitedConnection(Protocol):
    """A connection that may be closed to make room."""

    def find_idle_since(self, now: datetime) -> datetime | None:
        """Return since when it has been idle, or None if it isn't."""


ConnectionT = TypeVar("ConnectionT", bound=LimitedConnection)


class ConnectionLimit:
    """The connections that one listener may have at the same time."""

    def __init__(self, connections_max: int) -> None:
        self.connections_max = connections_max
        self._room = max(1, int(ROOM_FRACTION * connections_max))
        self._scanned_at: datetime | None = None

    def is_full(self, count: int) -> bool:
        """Return whether a new connection has to be refused."""
        return count >= self.connections_max

    def select_idle(
        self, connections: Collection[ConnectionT], now: datetime
    ) -> Sequence[ConnectionT]:
        """Return the connections to close for new ones, longest idle first.

        None while there is room, or soon after the last look: a crowd that
        keeps connecting must not have all connections looked at each time.
        """
        if len(connections) < self.connections_max - self._room:
            return ()
        scanned_at = self._scanned_at
        if scanned_at is not None and now - scanned_at < SCAN_INTERVAL:
            return ()
        self._scanned_at = now
        idle: list[tuple[datetime, int, ConnectionT]] = []
        for connection in connections:
            since = connection.find_idle_since(now)
            if since is not None:
                idle.append((since, len(idle), connection))
        idle.sort(key=lambda item: item[:2])
        return [connection for _, _, connection in idle[: self._room]]
