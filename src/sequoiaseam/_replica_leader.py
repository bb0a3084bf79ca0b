"""Leader's side: replication, lease, read index and replacement."""

import random
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Final

from sequoiaseam._progress import BATCH_ENTRIES, BATCH_SIZE, Progress
from sequoiaseam._replica_core import ReplicaConfig
from sequoiaseam._replica_follower import ReplicaFollower
from sequoiaseam._replica_messages import (
    Append,
    AppendReply,
    ConfirmReply,
    Entry,
    Membership,
    ReplicaId,
    Restored,
    Role,
    SnapshotChunk,
    SnapshotReply,
    Token,
)
from sequoiaseam.const import (
    CLOCK_DRIFT_MAX,
    ELECTION_TIMEOUT_MAX,
    ELECTION_TIMEOUT_MIN,
    HEARTBEAT_INTERVAL,
)
from sequoiaseam.errors import ErrorCode

# A voter refuses others for ELECTION_TIMEOUT_MIN after it heard from
# the leader. Its clock may be fast and the leader's slow, each by
# CLOCK_DRIFT_MAX; the third part is a margin.
LEADER_LEASE: Final = ELECTION_TIMEOUT_MIN * (1 - 3 * CLOCK_DRIFT_MAX)
NEVER: Final = datetime.min.replace(tzinfo=UTC)
# A learner this many entries behind catches up within a heartbeat.
CAUGHT_UP_ENTRIES: Final = 64


@dataclass(frozen=True, slots=True)
class Read:
    """A read index that waits for the next confirmation by a quorum.

    Either ``token`` is set or, for a follower's request, ``asker``.
    """

    requested: datetime
    token: Token = None
    asker: ReplicaId | None = None
    request_id: int = 0
    # Waits for the next heartbeat instead of asking for one.
    patient: bool = False


class ReplicaLeader(ReplicaFollower):
    """Replicate to the others and commit what a quorum has synced."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: Restored,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._term_start = 0
        self._led_since = NEVER
        self._beat_due = NEVER
        self._beat_sent = NEVER
        self._progress: dict[ReplicaId, Progress] = {}
        self._reads: list[Read] = []

    def _start_leading(self, now: datetime) -> None:
        self._role = Role.LEADER
        self._leader = self._id
        self._led_since = now
        self._progress = {}
        self._term_start = self._log.last_index + 1
        self._append_entry(Entry(self._term_start, self.term, b""))
        self._match_progress()
        self._announce()
        self._beat(now)

    def _become_follower(
        self,
        now: datetime,
        term: int,
        leader: ReplicaId | None,
    ) -> None:
        super()._become_follower(now, term, leader)
        for read in self._reads:
            if read.asker is None:
                self._reject(read.token, ErrorCode.NOT_LEADER)
        self._reads = []

    def _match_progress(self) -> None:
        """Follow the membership with the progress table."""
        others = [
            one for one in self._membership().replicas if one != self._id
        ]
        self._progress = {
            one: self._progress.get(one)
            or Progress(one, self._log.last_index + 1)
            for one in others
        }

    def _beat(self, now: datetime) -> None:
        """Send a heartbeat, or a probe, to every replica."""
        self._beat_due = now + HEARTBEAT_INTERVAL
        self._beat_sent = now
        for progress in self._progress.values():
            if progress.next_index <= self._log.base_index:
                self._send_chunk(now, progress)
            else:
                self._send_append(now, progress, ())

    def _pump(self, now: datetime, progress: Progress) -> None:
        """Send the entries that the flow control admits."""
        if (
            self._role is not Role.LEADER
            or progress.next_index <= self._log.base_index
        ):
            return
        while progress.has_room:
            entries = self._log.read(
                progress.next_index,
                BATCH_ENTRIES,
                BATCH_SIZE,
            )
            if not entries:
                return
            self._send_append(now, progress, entries)
            progress.next_index += len(entries)
            progress.batches.append(entries[-1].index)

    def _pump_all(self, now: datetime) -> None:
        for progress in self._progress.values():
            self._pump(now, progress)

    def _send_append(
        self,
        now: datetime,
        progress: Progress,
        entries: tuple[Entry, ...],
    ) -> None:
        prev_index = progress.next_index - 1
        self._send(
            Append(
                self._header(progress.replica),
                prev_index,
                self._log.find_term(prev_index) or 0,
                entries,
                self._commit,
                now,
            ),
        )

    def _send_chunk(self, now: datetime, progress: Progress) -> None:
        snapshot = self._snapshot
        if snapshot is None:
            return
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.offset = 0
        end = progress.offset + self._config.chunk_size
        self._send(
            SnapshotChunk(
                self._header(progress.replica),
                snapshot.index,
                snapshot.term,
                snapshot.membership,
                progress.offset,
                len(snapshot.data),
                snapshot.data[progress.offset : end],
                now,
            ),
        )

    def _on_append_reply(self, now: datetime, reply: AppendReply) -> None:
        progress = self._find_progress(reply.header.term, reply.header.sender)
        if progress is None:
            return
        progress.record_contact(reply.sent)
        if reply.accepted:
            progress.accept(reply.verified, reply.match)
            self._advance(now)
        elif progress.refuse(reply.verified, reply.match):
            if progress.next_index <= self._log.base_index:
                self._send_chunk(now, progress)
            else:
                self._send_append(now, progress, ())
        self._pump(now, progress)
        self._answer_reads(now)

    def _on_snapshot_reply(
        self,
        now: datetime,
        reply: SnapshotReply,
    ) -> None:
        progress = self._find_progress(reply.header.term, reply.header.sender)
        if progress is None:
            return
        progress.record_contact(reply.sent)
        if reply.index == progress.snapshot_index:
            # One chunk at a time; a duplicate reply sends nothing, and
            # the next heartbeat repeats a lost chunk.
            advanced = reply.received > progress.offset
            progress.offset = reply.received
            if advanced and progress.next_index <= self._log.base_index:
                self._send_chunk(now, progress)
        self._answer_reads(now)

    def _find_progress(
        self,
        term: int,
        replica: ReplicaId,
    ) -> Progress | None:
        if self._role is not Role.LEADER or term != self.term:
            return None
        return self._progress.get(replica)

    def _advance(self, now: datetime) -> None:
        """Commit what a majority of the voters has synced."""
        membership = self._membership()
        matches = sorted(
            (
                self._synced
                if voter == self._id
                else self._progress[voter].match
                for voter in membership.voters
            ),
            reverse=True,
        )
        index = matches[membership.majority - 1]
        # Entries of earlier terms commit only along with one of this
        # term (Raft, section 5.4.2).
        if index <= self._commit or index < self._term_start:
            return
        self._commit_to(index)
        for progress in self._progress.values():
            if progress.next_index > self._log.base_index:
                self._send_append(now, progress, ())
        self._move_membership(now)

    def _has_committed(self) -> bool:
        """Return whether an entry of this term is committed."""
        return self._role is Role.LEADER and self._commit >= self._term_start

    def _quorum_time(self, now: datetime) -> datetime:
        """Return a time at which a quorum still followed this leader."""
        membership = self._membership()
        times = sorted(
            (
                now
                if voter == self._id
                else self._progress[voter].acked or NEVER
                for voter in membership.voters
            ),
            reverse=True,
        )
        return times[membership.majority - 1]

    def lease_valid(self, now: datetime) -> bool:
        """Return whether no other replica can be leader at ``now``."""
        return (
            not self._failed
            and self._has_committed()
            and now - self._quorum_time(now) < LEADER_LEASE
        )

    def _tick_leader(self, now: datetime) -> None:
        contact = max(self._quorum_time(now), self._led_since)
        if now - contact > ELECTION_TIMEOUT_MAX:
            self._step_down(now)
            return
        self._move_membership(now)
        if self._role is Role.LEADER and now >= self._beat_due:
            self._beat(now)
        self._answer_reads(now)

    def _step_down(self, now: datetime) -> None:
        self._become_follower(now, self.term, None)

    def _add_read(self, now: datetime, read: Read) -> None:
        """Queue a read; start a round of heartbeats if none is open.

        Patient reads wait for the next round.
        """
        self._reads.append(read)
        if not read.patient and self._quorum_time(now) >= self._beat_sent:
            self._beat(now)
        self._answer_reads(now)

    def _answer_reads(self, now: datetime) -> None:
        """Answer the reads that a quorum has confirmed since."""
        if not self._reads or not self._has_committed():
            return
        confirmed = self._quorum_time(now)
        waiting = []
        for read in self._reads:
            if read.requested > confirmed:
                waiting.append(read)
            elif read.asker is None:
                self._confirm_local(read.token, self._commit)
            else:
                self._send(
                    ConfirmReply(
                        self._header(read.asker),
                        read.request_id,
                        self._commit,
                    ),
                )
        answered = len(waiting) < len(self._reads)
        self._reads = waiting
        if answered and any(not read.patient for read in waiting):
            self._beat(now)

    def _expire_reads(self, now: datetime) -> None:
        waiting = []
        for read in self._reads:
            if now - read.requested <= ELECTION_TIMEOUT_MAX:
                waiting.append(read)
            elif read.asker is None:
                self._reject(read.token, ErrorCode.TIMEOUT)
        self._reads = waiting

    def _append_membership(self, membership: Membership) -> int:
        index = self._log.last_index + 1
        self._append_entry(Entry(index, self.term, b"", membership))
        self._match_progress()
        return index

    def _may_change(self) -> bool:
        """Return whether the last change of the membership committed."""
        return (
            self._has_committed()
            and self._log.membership_index <= self._commit
        )

    def _move_membership(self, now: datetime) -> None:
        """Take the next step of a replacement once the last committed."""
        membership = self._membership()
        if not self._may_change():
            return
        if self._id not in membership.voters:
            self._step_down(now)
            return
        following = self._plan_membership(now, membership)
        if following is not None:
            self._append_membership(following)
            self._pump_all(now)

    def _plan_membership(
        self,
        now: datetime,
        membership: Membership,
    ) -> Membership | None:
        incoming, outgoing = membership.incoming, membership.outgoing
        if incoming is not None:
            if not self._is_caught_up(now, self._progress[incoming]):
                return None
            if outgoing is None or not self._is_lost(now, membership):
                voters = tuple(sorted((*membership.voters, incoming)))
                return Membership(voters, None, outgoing)
        if outgoing is None:
            return None
        voters = tuple(one for one in membership.voters if one != outgoing)
        return Membership(voters, incoming, None)

    def _is_caught_up(self, now: datetime, progress: Progress) -> bool:
        """Return whether a learner could join a quorum at once."""
        behind = self._log.last_index - progress.match
        return (
            progress.match >= self._term_start
            and behind <= CAUGHT_UP_ENTRIES
            and now - (progress.acked or NEVER) < ELECTION_TIMEOUT_MIN
        )

    def _is_lost(self, now: datetime, membership: Membership) -> bool:
        """Return whether the outgoing replica should leave first.

        One that was wiped or doesn't answer would only raise the quorum
        if the learner became a voter beside it: of four voters with one
        lost, all three others would be needed.
        """
        incoming, outgoing = membership.incoming, membership.outgoing
        if outgoing is None or outgoing == self._id:
            return False
        wiped = incoming is not None and incoming.host == outgoing.host
        progress = self._progress.get(outgoing)
        acked = (progress.acked if progress else None) or NEVER
        contact = max(acked, self._led_since)
        silent = now - contact > ELECTION_TIMEOUT_MAX
        return (wiped or silent) and len(membership.voters) > 2
