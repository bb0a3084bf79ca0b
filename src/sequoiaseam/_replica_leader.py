"""Leader role: replication, lease, read index, membership changes."""

import random
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Final

from sequoiaseam._progress import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, Progress
from sequoiaseam._replica_core import ReplicaConfig
from sequoiaseam._replica_follower import ReplicaFollower
from sequoiaseam._replica_messages import (
    Append,
    AppendReply,
    ConfirmReply,
    Entry,
    Membership,
    ReplicaId,
    RestoredState,
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

# A voter rejects other candidates for ELECTION_TIMEOUT_MIN after the
# last message from the leader. The voter's clock may run fast and the
# leader's slow, each by CLOCK_DRIFT_MAX; the third CLOCK_DRIFT_MAX is a
# margin.
LEADER_LEASE: Final = ELECTION_TIMEOUT_MIN * (1 - 3 * CLOCK_DRIFT_MAX)
NEVER: Final = datetime.min.replace(tzinfo=UTC)
# A learner that lags by at most this many entries catches up within one
# heartbeat interval.
CAUGHT_UP_MAX_LAG_ENTRIES: Final = 64


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read index request that awaits confirmation by a quorum.

    ``token`` is set for a local request, ``requester`` for one that a
    follower forwarded.
    """

    requested_at: datetime
    token: Token = None
    requester: ReplicaId | None = None
    request_id: int = 0
    # Waits for the next regular heartbeat instead of triggering one.
    patient: bool = False


class ReplicaLeader(ReplicaFollower):
    """Replicate the log and commit the entries that a quorum has synced."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._term_start_index = 0
        self._leader_since = NEVER
        self._heartbeat_due = NEVER
        self._heartbeat_sent_time = NEVER
        self._progress: dict[ReplicaId, Progress] = {}
        self._pending_reads: list[PendingRead] = []

    def _start_leading(self, now: datetime) -> None:
        self._role = Role.LEADER
        self._leader = self._id
        self._leader_since = now
        self._progress = {}
        self._term_start_index = self._log.last_index + 1
        self._append_entry(Entry(self._term_start_index, self.term, b""))
        self._update_progress_table()
        self._announce_role()
        self._send_heartbeats(now)

    def _become_follower(
        self,
        now: datetime,
        term: int,
        leader: ReplicaId | None,
    ) -> None:
        super()._become_follower(now, term, leader)
        for read in self._pending_reads:
            if read.requester is None:
                self._reject(read.token, ErrorCode.NOT_LEADER)
        self._pending_reads = []

    def _update_progress_table(self) -> None:
        """Track exactly the other replicas of the current membership."""
        other_replicas = [
            replica
            for replica in self._membership().replicas
            if replica != self._id
        ]
        self._progress = {
            replica: self._progress.get(replica)
            or Progress(replica, self._log.last_index + 1)
            for replica in other_replicas
        }

    def _send_heartbeats(self, now: datetime) -> None:
        """Send a heartbeat, probe or snapshot chunk to every replica."""
        self._heartbeat_due = now + HEARTBEAT_INTERVAL
        self._heartbeat_sent_time = now
        for progress in self._progress.values():
            if progress.next_index <= self._log.base_index:
                self._send_snapshot_chunk(now, progress)
            else:
                self._send_append(now, progress, ())

    def _replicate_to(self, now: datetime, progress: Progress) -> None:
        """Send entries up to the limit of unacknowledged batches."""
        if (
            self._role is not Role.LEADER
            or progress.next_index <= self._log.base_index
        ):
            return
        while progress.can_send_batch:
            entries = self._log.read_batch(
                progress.next_index,
                MAX_BATCH_ENTRIES,
                MAX_BATCH_BYTES,
            )
            if not entries:
                return
            self._send_append(now, progress, entries)
            progress.next_index += len(entries)
            progress.inflight_batches.append(entries[-1].index)

    def _replicate_to_all(self, now: datetime) -> None:
        for progress in self._progress.values():
            self._replicate_to(now, progress)

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
                self._commit_index,
                now,
            ),
        )

    def _send_snapshot_chunk(self, now: datetime, progress: Progress) -> None:
        snapshot = self._snapshot
        if snapshot is None:
            return
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        chunk_end = (
            progress.snapshot_offset + self._config.snapshot_chunk_bytes
        )
        self._send(
            SnapshotChunk(
                self._header(progress.replica),
                snapshot.index,
                snapshot.term,
                snapshot.membership,
                progress.snapshot_offset,
                len(snapshot.data),
                snapshot.data[progress.snapshot_offset : chunk_end],
                now,
            ),
        )

    def _on_append_reply(self, now: datetime, reply: AppendReply) -> None:
        progress = self._find_progress(reply.header.term, reply.header.sender)
        if progress is None:
            return
        progress.record_contact(reply.sent)
        if reply.accepted:
            progress.record_accepted(reply.verified, reply.match)
            self._advance_commit_index(now)
        elif progress.record_rejected(reply.verified, reply.match):
            if progress.next_index <= self._log.base_index:
                self._send_snapshot_chunk(now, progress)
            else:
                self._send_append(now, progress, ())
        self._replicate_to(now, progress)
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
            # One chunk is in flight at a time. A duplicate reply sends
            # nothing; the next heartbeat resends a lost chunk.
            advanced = reply.received > progress.snapshot_offset
            progress.snapshot_offset = reply.received
            if advanced and progress.next_index <= self._log.base_index:
                self._send_snapshot_chunk(now, progress)
        self._answer_reads(now)

    def _find_progress(
        self,
        term: int,
        replica: ReplicaId,
    ) -> Progress | None:
        if self._role is not Role.LEADER or term != self.term:
            return None
        return self._progress.get(replica)

    def _advance_commit_index(self, now: datetime) -> None:
        """Commit the entries that a majority of the voters has synced."""
        membership = self._membership()
        matches = sorted(
            (
                self._synced_index
                if voter == self._id
                else self._progress[voter].match_index
                for voter in membership.voters
            ),
            reverse=True,
        )
        index = matches[membership.majority - 1]
        # Entries of earlier terms are committed only together with an
        # entry of the current term (Raft, section 5.4.2).
        if index <= self._commit_index or index < self._term_start_index:
            return
        self._commit_to(index)
        for progress in self._progress.values():
            if progress.next_index > self._log.base_index:
                self._send_append(now, progress, ())
        self._advance_membership(now)

    def _has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed."""
        return (
            self._role is Role.LEADER
            and self._commit_index >= self._term_start_index
        )

    def _quorum_contact_time(self, now: datetime) -> datetime:
        """Return the latest time at which a quorum is known to follow."""
        membership = self._membership()
        times = sorted(
            (
                now
                if voter == self._id
                else self._progress[voter].acked_sent_time or NEVER
                for voter in membership.voters
            ),
            reverse=True,
        )
        return times[membership.majority - 1]

    def lease_valid(self, now: datetime) -> bool:
        """Return whether the lease rules out another leader at ``now``."""
        return (
            not self._disk_failed
            and self._has_committed_in_term()
            and now - self._quorum_contact_time(now) < LEADER_LEASE
        )

    def _tick_leader(self, now: datetime) -> None:
        last_contact = max(self._quorum_contact_time(now), self._leader_since)
        if now - last_contact > ELECTION_TIMEOUT_MAX:
            self._step_down(now)
            return
        self._advance_membership(now)
        if self._role is Role.LEADER and now >= self._heartbeat_due:
            self._send_heartbeats(now)
        self._answer_reads(now)

    def _step_down(self, now: datetime) -> None:
        self._become_follower(now, self.term, None)

    def _add_read(self, now: datetime, read: PendingRead) -> None:
        """Queue a read; send heartbeats unless a round is open.

        A patient read waits for the next round.
        """
        self._pending_reads.append(read)
        if (
            not read.patient
            and self._quorum_contact_time(now) >= self._heartbeat_sent_time
        ):
            self._send_heartbeats(now)
        self._answer_reads(now)

    def _answer_reads(self, now: datetime) -> None:
        """Answer the reads requested up to the last quorum contact."""
        if not self._pending_reads or not self._has_committed_in_term():
            return
        confirmed = self._quorum_contact_time(now)
        unanswered = []
        for read in self._pending_reads:
            if read.requested_at > confirmed:
                unanswered.append(read)
            elif read.requester is None:
                self._confirm_local_read(read.token, self._commit_index)
            else:
                self._send(
                    ConfirmReply(
                        self._header(read.requester),
                        read.request_id,
                        self._commit_index,
                    ),
                )
        self._pending_reads = unanswered
        is_round_open = confirmed < self._heartbeat_sent_time
        if not is_round_open and any(not r.patient for r in unanswered):
            self._send_heartbeats(now)

    def _expire_reads(self, now: datetime) -> None:
        unanswered = []
        for read in self._pending_reads:
            if now - read.requested_at <= ELECTION_TIMEOUT_MAX:
                unanswered.append(read)
            elif read.requester is None:
                self._reject(read.token, ErrorCode.TIMEOUT)
        self._pending_reads = unanswered

    def _append_membership(self, membership: Membership) -> int:
        index = self._log.last_index + 1
        self._append_entry(Entry(index, self.term, b"", membership))
        self._update_progress_table()
        return index

    def _can_change_membership(self) -> bool:
        """Return whether the last membership change is committed."""
        return (
            self._has_committed_in_term()
            and self._log.membership_index <= self._commit_index
        )

    def _advance_membership(self, now: datetime) -> None:
        """Take the next replacement step once the last one is committed."""
        membership = self._membership()
        if not self._can_change_membership():
            return
        if self._id not in membership.voters:
            self._step_down(now)
            return
        next_membership = self._plan_next_membership(now, membership)
        if next_membership is not None:
            self._append_membership(next_membership)
            self._replicate_to_all(now)

    def _plan_next_membership(
        self,
        now: datetime,
        membership: Membership,
    ) -> Membership | None:
        incoming, outgoing = membership.incoming, membership.outgoing
        if incoming is not None:
            if not self._is_caught_up(now, self._progress[incoming]):
                return None
            if outgoing is None or not self._should_remove_first(
                now,
                membership,
            ):
                voters = tuple(sorted((*membership.voters, incoming)))
                return Membership(voters, None, outgoing)
        if outgoing is None:
            return None
        voters = tuple(
            voter for voter in membership.voters if voter != outgoing
        )
        return Membership(voters, incoming, None)

    def _is_caught_up(self, now: datetime, progress: Progress) -> bool:
        """Return whether a learner is up to date enough for a quorum."""
        lag_entries = self._log.last_index - progress.match_index
        return (
            progress.match_index >= self._term_start_index
            and lag_entries <= CAUGHT_UP_MAX_LAG_ENTRIES
            and now - (progress.acked_sent_time or NEVER)
            < ELECTION_TIMEOUT_MIN
        )

    def _should_remove_first(
        self,
        now: datetime,
        membership: Membership,
    ) -> bool:
        """Return whether to remove the outgoing voter before promotion.

        An outgoing voter that was wiped or doesn't answer would only
        raise the quorum if the learner became a voter next to it: with
        four voters, one of them lost, all three others would be needed.
        """
        incoming, outgoing = membership.incoming, membership.outgoing
        if outgoing is None or outgoing == self._id:
            return False
        wiped = incoming is not None and incoming.host == outgoing.host
        progress = self._progress.get(outgoing)
        acked = (progress.acked_sent_time if progress else None) or NEVER
        last_contact = max(acked, self._leader_since)
        unreachable = now - last_contact > ELECTION_TIMEOUT_MAX
        return (wiped or unreachable) and len(membership.voters) > 2
