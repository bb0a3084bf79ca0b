"""What a leader knows about another replica."""

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime
from typing import Final

from sequoiaseam._replica_messages import ReplicaId

# Bounds on what is sent to a replica before it acknowledges.
BATCHES_LIMIT: Final = 8
BATCH_ENTRIES: Final = 128
BATCH_SIZE: Final = 128 * 1024


@dataclass(slots=True)
class Progress:
    """Replication to one replica.

    ``next_index`` is the first entry not sent yet and ``match_index``
    the last one known to be synced. While ``probing``, only heartbeats
    are sent, to find where the logs agree. ``acked_sent_time`` is the
    newest sending time that a reply returned.
    """

    replica: ReplicaId
    next_index: int
    match_index: int = 0
    acked_sent_time: datetime | None = None
    probing: bool = True
    batches: deque[int] = field(default_factory=deque)
    snapshot_index: int = 0
    offset: int = 0

    @property
    def has_room(self) -> bool:
        """Return whether another batch may be sent."""
        return not self.probing and len(self.batches) < BATCHES_LIMIT

    def record_contact(self, sent: datetime) -> None:
        """Record that a reply returned this sending time."""
        if self.acked_sent_time is None or sent > self.acked_sent_time:
            self.acked_sent_time = sent

    def accept(self, verified: int, match: int) -> None:
        """Record an accepted append."""
        self.match_index = max(self.match_index, match)
        while self.batches and self.batches[0] <= self.match_index:
            self.batches.popleft()
        if self.next_index <= self.match_index:
            self.next_index = self.match_index + 1
        if self.probing and verified >= self.next_index - 1:
            self.probing = False
            self.next_index = verified + 1

    def refuse(self, prev_index: int, hint: int) -> bool:
        """Go back to where logs may agree; return whether it is news."""
        if not self.match_index < prev_index < self.next_index:
            return False
        self.probing = True
        self.batches.clear()
        self.next_index = max(self.match_index, min(prev_index - 1, hint)) + 1
        return True
