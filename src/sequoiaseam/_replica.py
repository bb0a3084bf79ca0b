"""One replica of the replicated log: Raft without I/O.

Implements Raft as published (Ongaro 2014) with pre-vote, check-quorum,
leader lease, read index, learners, replacement of one replica at a time
and snapshots. The caller performs the returned actions in order; disk
work (Persist, SaveSnapshot, InstallSnapshot) must also complete in that
order.
"""

import random
from dataclasses import dataclass, replace
from datetime import datetime
from functools import singledispatchmethod
from typing import Final

from sequoiaseam._replica_core import SMALL_COMMAND_MAX_BYTES
from sequoiaseam._replica_core import ReplicaConfig as ReplicaConfig
from sequoiaseam._replica_election import ReplicaElection
from sequoiaseam._replica_leader import PendingRead
from sequoiaseam._replica_messages import (
    Actions,
    Append,
    AppendReply,
    Ballot,
    BallotReply,
    ConfirmReply,
    ConfirmRequest,
    Entry,
    GroupMessage,
    Hello,
    HelloReply,
    Membership,
    ReplicaId,
    ReplicaMessage,
    ReplicaStatus,
    RestoredState,
    Role,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    Token,
)
from sequoiaseam.const import ELECTION_TIMEOUT_MAX
from sequoiaseam.errors import ErrorCode

# Further proposals are rejected while this many wait for their commit.
PENDING_PROPOSALS_MAX: Final = 4096


@dataclass(frozen=True, slots=True)
class PendingConfirm:
    """A read index requested from a leader and not yet received."""

    token: Token
    leader: ReplicaId
    deadline: datetime


class Replica(ReplicaElection):
    """Entry points of a replica: calls of its owner and messages."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._pending_confirms: dict[int, PendingConfirm] = {}

    # Calls of the owner.

    def tick(self, now: datetime) -> Actions:
        """Perform what is due at ``now``; call this every 20 to 50 ms."""
        if self._disk_failed:
            return ()
        if not self._hard_state.group:
            self._tick_without_group(now)
        elif self._role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_deadline or self._is_only_member():
            self._start_pre_vote(now)
        self._reject_former_confirms()
        self._expire_pending_confirms(now)
        self._expire_join_requests(now)
        return self._take_actions()

    def receive(
        self,
        now: datetime,
        sender: str,
        message: ReplicaMessage,
    ) -> Actions:
        """Handle a message from the host ``sender``."""
        if self._disk_failed:
            return ()
        if isinstance(message, Hello):
            self._on_hello(now, sender, message)
        elif isinstance(message, HelloReply):
            self._on_hello_reply(sender, message)
        elif self._accept_group_message(sender, message):
            self._handle_group_message(message, now)
        self._reject_former_confirms()
        return self._take_actions()

    def propose(
        self,
        now: datetime,
        command: bytes,
        token: Token,
    ) -> Actions:
        """Append a command.

        ProposalCommitted or Rejected follows for its token.
        """
        if self._reject_unless_leader(token):
            return self._take_actions()
        if not self._has_room(command):
            self._reject(token, ErrorCode.OVERLOAD)
            return self._take_actions()
        index = self._log.last_index + 1
        self._append_entry(Entry(index, self.term, command))
        self._pending_proposals[index] = token
        self._replicate_to_all(now)
        return self._take_actions()

    def _has_room(self, command: bytes) -> bool:
        """Return whether the log can take another command.

        Small commands, such as changes of members, go on while the log is
        too large for another edit.
        """
        size_bytes = self._log.size_bytes
        return len(self._pending_proposals) < PENDING_PROPOSALS_MAX and (
            size_bytes + len(command) <= self._config.log_max_bytes
            or len(command) <= SMALL_COMMAND_MAX_BYTES
            or size_bytes <= self._config.trailing_bytes
        )

    def confirm(
        self,
        now: datetime,
        token: Token,
        *,
        patient: bool = False,
    ) -> Actions:
        """Request a read index; Confirmed or Rejected follows.

        With ``patient``, the request waits for the leader's next regular
        heartbeat and causes no extra one.
        """
        if self._role is Role.LEADER and not self._disk_failed:
            self._add_read(now, PendingRead(now, token, patient=patient))
        elif self._leader is None or self._disk_failed:
            self._reject(token, ErrorCode.NOT_LEADER)
        else:
            # Random, so that a late reply to a request from before a
            # restart of this replica doesn't answer a newer request.
            request_id = self._rng.getrandbits(63)
            deadline = now + ELECTION_TIMEOUT_MAX
            self._pending_confirms[request_id] = PendingConfirm(
                token, self._leader, deadline
            )
            header = self._header(self._leader)
            self._send(ConfirmRequest(header, request_id, patient))
        return self._take_actions()

    def synced(self, now: datetime, token: int) -> Actions:
        """Record that the Persist with this token is durable."""
        if not self._disk_failed and self._complete_persist(token):
            self._after_sync(now)
        return self._take_actions()

    def snapshot_saved(self, now: datetime, snapshot: Snapshot) -> Actions:
        """Record that the snapshot is durable in the journal."""
        if self._disk_failed:
            return ()
        self._saving_snapshot = False
        if self._snapshot is None or snapshot.index > self._snapshot.index:
            self._snapshot = snapshot
            self._log.compact(
                self._log.find_trailing_start(
                    snapshot.index,
                    self._config.trailing_entries,
                    self._config.trailing_bytes,
                )
            )
        self._synced_index = max(self._synced_index, snapshot.index)
        self._after_sync(now)
        return self._take_actions()

    def disk_failed(self, now: datetime) -> Actions:
        """Record that the disk failed and stop taking part.

        It is unknown what the disk holds from here on, so the owner has
        to open the journal again and create a new replica from it.
        """
        self._disk_failed = True
        self._become_follower(now, self.term, None)
        self._reject_pending_confirms()
        return self._take_actions()

    def replace(
        self,
        now: datetime,
        old: str,
        new: str,
        token: Token,
    ) -> Actions:
        """Replace the replica on ``old`` by the one that waits on ``new``.

        If ``old`` is empty, the new replica is added to the group.
        ProposalCommitted follows when it is a learner; ``status`` shows
        the remaining steps. Rejected follows with NOT_FOUND if there are
        no such replicas, and with REPLICA_CHANGE while another change is
        in progress, except that a lost learner may itself be replaced.
        """
        if self._reject_unless_leader(token):
            return self._take_actions()
        waiting = {
            replica.host: replica for replica in self._list_join_candidates()
        }
        planned = self._plan_replacement(old, waiting.get(new))
        return self._change_membership(now, planned, token)

    def remove_voter(self, now: datetime, host: str, token: Token) -> Actions:
        """Remove the voter on a host without a replacement."""
        if self._reject_unless_leader(token):
            return self._take_actions()
        membership = self._membership()
        planned: Membership | ErrorCode = ErrorCode.NOT_FOUND
        if (
            not self._can_change_membership()
            or membership.replicas != membership.voters
        ):
            planned = ErrorCode.REPLICA_CHANGE
        else:
            for voter in membership.voters:
                if voter.host == host:
                    planned = replace(membership, outgoing=voter)
        return self._change_membership(now, planned, token)

    def cancel_replacement(self, now: datetime, token: Token) -> Actions:
        """Remove the learner of a replacement that doesn't complete.

        The replica that it should replace remains a voter unless it has
        been removed already.
        """
        if self._reject_unless_leader(token):
            return self._take_actions()
        planned: Membership | ErrorCode = ErrorCode.REPLICA_CHANGE
        membership = self._membership()
        if membership.incoming is not None and self._can_change_membership():
            planned = Membership(membership.voters)
        return self._change_membership(now, planned, token)

    def status(self) -> ReplicaStatus:
        """Return the state for operators and the repair of the group."""
        leading = self._role is Role.LEADER
        progress = self._progress.values() if leading else ()
        return ReplicaStatus(
            replica=self._id,
            role=self._role,
            term=self.term,
            leader=self.leader,
            failed=self._disk_failed,
            commit_index=self._commit_index,
            last_index=self._log.last_index,
            snapshot_index=self._snapshot.index if self._snapshot else 0,
            membership=self._log.membership,
            match_indexes=tuple(
                (one.replica.host, one.match_index) for one in progress
            ),
            acked_at=tuple(
                (one.replica.host, one.acked_sent_time) for one in progress
            ),
            waiting=self._list_join_candidates(),
            excluded=self._is_excluded,
        )

    # Messages.

    def _accept_group_message(
        self, sender: str, message: GroupMessage
    ) -> bool:
        """Return whether a message is addressed to this replica.

        An empty replica adopts the group of a message to its identity,
        since the message shows that it is a voter or learner there.
        """
        header = message.header
        if header.target != self._id or header.sender.host != sender:
            if header.target.host == self._id.host:
                # The group counts this host's former replica as a member.
                # This host's settings may list no host that still is one.
                self._hello_hosts.add(sender)
            return False
        if not self._hard_state.group and header.group:
            self._set_hard_state(replace(self._hard_state, group=header.group))
        return header.group == self._hard_state.group

    @singledispatchmethod
    def _handle_group_message(
        self, message: GroupMessage, _now: datetime
    ) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle_group_message.register
    def _(self, message: Append, now: datetime) -> None:
        self._on_append(now, message)

    @_handle_group_message.register
    def _(self, message: SnapshotChunk, now: datetime) -> None:
        self._on_snapshot_chunk(now, message)

    @_handle_group_message.register
    def _(self, message: AppendReply, now: datetime) -> None:
        if not self._step_down_if_newer(now, message.header.term):
            self._on_append_reply(now, message)

    @_handle_group_message.register
    def _(self, message: SnapshotReply, now: datetime) -> None:
        if not self._step_down_if_newer(now, message.header.term):
            self._on_snapshot_reply(now, message)

    @_handle_group_message.register
    def _(self, message: ConfirmRequest, now: datetime) -> None:
        if self._role is Role.LEADER:
            read = PendingRead(
                now,
                requester=message.header.sender,
                request_id=message.request_id,
                patient=message.patient,
            )
            self._add_read(now, read)

    @_handle_group_message.register
    def _(self, message: ConfirmReply, now: datetime) -> None:
        pending = self._pending_confirms.pop(message.request_id, None)
        if pending is not None:
            self._confirm_local_read(pending.token, message.index)
        self._step_down_if_newer(now, message.header.term)

    @_handle_group_message.register
    def _(self, message: BallotReply, now: datetime) -> None:
        if not self._step_down_if_newer(now, message.header.term):
            self._on_ballot_reply(now, message)

    @_handle_group_message.register
    def _(self, message: Ballot, now: datetime) -> None:
        self._on_ballot(now, message)

    # Read indexes and membership changes.

    def _reject_unless_leader(self, token: Token) -> bool:
        if self._disk_failed:
            self._reject(token, ErrorCode.DISK_FAILED)
        elif self._role is not Role.LEADER:
            self._reject(token, ErrorCode.NOT_LEADER)
        else:
            return False
        return True

    def _reject_former_confirms(self) -> None:
        """Reject the confirmations requested from a former leader.

        It may be lost, and another leader can confirm at once.
        """
        former_ids = [
            request_id
            for request_id, pending in self._pending_confirms.items()
            if pending.leader != self._leader
        ]
        for request_id in former_ids:
            token = self._pending_confirms.pop(request_id).token
            self._reject(token, ErrorCode.NOT_LEADER)

    def _expire_pending_confirms(self, now: datetime) -> None:
        if self._role is Role.LEADER:
            self._expire_reads(now)
        expired_ids = [
            request_id
            for request_id, pending in self._pending_confirms.items()
            if now >= pending.deadline
        ]
        for request_id in expired_ids:
            self._reject(
                self._pending_confirms.pop(request_id).token, ErrorCode.TIMEOUT
            )

    def _reject_pending_confirms(self) -> None:
        for pending in self._pending_confirms.values():
            self._reject(pending.token, ErrorCode.DISK_FAILED)
        self._pending_confirms.clear()

    def _change_membership(
        self,
        now: datetime,
        planned: Membership | ErrorCode,
        token: Token,
    ) -> Actions:
        if isinstance(planned, ErrorCode):
            self._reject(token, planned)
            return self._take_actions()
        index = self._append_membership(planned)
        self._pending_proposals[index] = token
        self._replicate_to_all(now)
        self._send_heartbeats(now)
        return self._take_actions()

    def _plan_replacement(
        self,
        old: str,
        new: ReplicaId | None,
    ) -> Membership | ErrorCode:
        membership = self._membership()
        if new is None:
            return ErrorCode.NOT_FOUND
        if not self._can_change_membership():
            return ErrorCode.REPLICA_CHANGE
        if membership.incoming is not None:
            # A lost learner may be replaced.
            if membership.incoming.host != old:
                return ErrorCode.REPLICA_CHANGE
            return replace(membership, incoming=new)
        if membership.outgoing is not None:
            return ErrorCode.REPLICA_CHANGE
        if not old:
            return replace(membership, incoming=new)
        for voter in membership.voters:
            if voter.host == old:
                return replace(membership, incoming=new, outgoing=voter)
        return ErrorCode.NOT_FOUND
