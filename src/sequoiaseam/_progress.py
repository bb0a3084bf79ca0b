"""Replication progress of one replica, as the leader tracks it."""

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime
from typing import Final

from sequoiaseam._replica_messages import ReplicaId

# Bounds on the entries sent to a replica before it acknowledges them.
MAX_INFLIGHT_BATCHES: Final = 8
MAX_BATCH_ENTRIES: Final = 128
MAX_BATCH_BYTES: Final = 128 * 1024


@dataclass(slots=True)
class Progress:
    """State of replication to one replica.

    ``next_index`` is the first entry not sent yet and ``match_index``
    the last one known to be synced. While ``probing``, only heartbeats
    are sent, to find the last index where the logs agree.
    ``acked_sent_time`` is the newest send time echoed by a reply.
    ``inflight_batches`` has the last index of each unacknowledged batch.
    """

    replica: ReplicaId
    next_index: int
    match_index: int = 0
    acked_sent_time: datetime | None = None
    probing: bool = True
    inflight_batches: deque[int] = field(default_factory=deque)
    snapshot_index: int = 0
    snapshot_offset: int = 0

    @property
    def can_send_batch(self) -> bool:
        """Return whether another batch may be sent."""
        return (
            not self.probing
            and len(self.inflight_batches) < MAX_INFLIGHT_BATCHES
        )

    def record_contact(self, sent_time: datetime) -> None:
        """Record that a reply echoed this send time."""
        if self.acked_sent_time is None or sent_time > self.acked_sent_time:
            self.acked_sent_time = sent_time

    def record_accepted(self, verified_index: int, match_index: int) -> None:
        """Record an accepted append."""
        self.match_index = max(self.match_index, match_index)
        while (
            self.inflight_batches
            and self.inflight_batches[0] <= self.match_index
        ):
            self.inflight_batches.popleft()
        if self.next_index <= self.match_index:
            self.next_index = self.match_index + 1
        if self.probing and verified_index >= self.next_index - 1:
            self.probing = False
            self.next_index = verified_index + 1

    def record_rejected(self, prev_index: int, match_hint: int) -> bool:
        """Back up to where the logs may agree; return False if stale."""
        if not self.match_index < prev_index < self.next_index:
            return False
        self.probing = True
        self.inflight_batches.clear()
        self.next_index = (
            max(self.match_index, min(prev_index - 1, match_hint)) + 1
        )
        return True
