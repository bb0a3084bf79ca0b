"""One replica of the replicated log; Raft without any I/O.

Raft as published (Ongaro 2014) with pre-vote, check-quorum, leader
lease, read index, learners, replacement of one replica at a time and
snapshots. The adapter carries the returned actions out in their order;
disk work (Persist, SaveSnapshot, InstallSnapshot) must also be done in
that order.
"""

import random
from dataclasses import dataclass, replace
from datetime import datetime
from functools import singledispatchmethod
from typing import Final

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
    Restored,
    Role,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    Token,
)
from sequoiaseam.const import ELECTION_TIMEOUT_MAX
from sequoiaseam.errors import ErrorCode

# Proposals that may wait for their commit before others are refused.
PROPOSALS_LIMIT: Final = 4096


@dataclass(frozen=True, slots=True)
class Asked:
    """A confirmation that was asked of the leader."""

    token: Token
    deadline: datetime


class Replica(ReplicaElection):
    """A replica: the calls of the adapter and the messages."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: Restored,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._asked: dict[int, Asked] = {}

    # Calls of the adapter.

    def tick(self, now: datetime) -> Actions:
        """Let time pass; to be called every 20 to 50 ms."""
        if self._disk_failed:
            return ()
        if not self._hard_state.group:
            self._tick_without_group(now)
        elif self._role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_deadline or self._is_only_member():
            self._start_pre_vote(now)
        self._expire_confirms(now)
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
        elif self._accept_message(sender, message):
            self._handle(message, now)
        return self._take_actions()

    def propose(
        self,
        now: datetime,
        command: bytes,
        token: Token,
    ) -> Actions:
        """Append a command; Proposed or Rejected follows for its token."""
        if self._refuse_unless_leading(token):
            return self._take_actions()
        if len(self._pending_proposals) >= PROPOSALS_LIMIT:
            self._reject(token, ErrorCode.OVERLOAD)
            return self._take_actions()
        index = self._log.last_index + 1
        self._append_entry(Entry(index, self.term, command))
        self._pending_proposals[index] = token
        self._replicate_to_all(now)
        return self._take_actions()

    def confirm(
        self,
        now: datetime,
        token: Token,
        *,
        patient: bool = False,
    ) -> Actions:
        """Ask for a read index; Confirmed or Rejected follows.

        A ``patient`` one costs no message to the other replicas.
        """
        if self._role is Role.LEADER and not self._disk_failed:
            self._add_read(now, PendingRead(now, token, patient=patient))
        elif self._leader is None or self._disk_failed:
            self._reject(token, ErrorCode.NOT_LEADER)
        else:
            # Random, so that a late reply to an earlier run of this
            # replica doesn't answer a newer request.
            request_id = self._rng.getrandbits(63)
            deadline = now + ELECTION_TIMEOUT_MAX
            self._asked[request_id] = Asked(token, deadline)
            header = self._header(self._leader)
            self._send(ConfirmRequest(header, request_id, patient))
        return self._take_actions()

    def synced(self, now: datetime, token: int) -> Actions:
        """Record that the Persist with this token is durable."""
        if not self._disk_failed and self._complete_persist(token):
            self._after_sync(now)
        return self._take_actions()

    def snapshot_saved(self, now: datetime, snapshot: Snapshot) -> Actions:
        """Record that a snapshot is durable in the journal."""
        if self._disk_failed:
            return ()
        self._saving_snapshot = False
        if self._snapshot is None or snapshot.index > self._snapshot.index:
            self._snapshot = snapshot
            keep = self._config.trailing_entries
            self._log.compact(snapshot.index - keep)
        self._synced_index = max(self._synced_index, snapshot.index)
        self._after_sync(now)
        return self._take_actions()

    def fail_disk(self, now: datetime) -> Actions:
        """Record that the disk failed; the replica stays silent.

        What the disk holds is unknown from here on, so the process has
        to open the journal again to take part.
        """
        self._disk_failed = True
        self._become_follower(now, self.term, None)
        self._drop_confirms()
        return self._take_actions()

    def replace(
        self,
        now: datetime,
        old: str,
        new: str,
        token: Token,
    ) -> Actions:
        """Replace the replica on ``old`` by the one that waits on ``new``.

        Without ``old``, the new one joins the others. Proposed follows
        when it is a learner; ``status`` shows the remaining steps.
        Rejected with NOT_FOUND if there are no such replicas, or with
        REPLICA_CHANGE while another change is under way; but a learner
        that was lost may be the old one.
        """
        if self._refuse_unless_leading(token):
            return self._take_actions()
        waiting = {one.host: one for one in self._list_join_candidates()}
        planned = self._plan_replacement(old, waiting.get(new))
        return self._change_membership(now, planned, token)

    def retire(self, now: datetime, host: str, token: Token) -> Actions:
        """Remove the voter on a host without a successor."""
        if self._refuse_unless_leading(token):
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
        """Let go of a learner that doesn't catch up.

        The old replica stays if it hasn't left yet.
        """
        if self._refuse_unless_leading(token):
            return self._take_actions()
        planned: Membership | ErrorCode = ErrorCode.REPLICA_CHANGE
        membership = self._membership()
        if membership.incoming is not None and self._can_change_membership():
            planned = Membership(membership.voters)
        return self._change_membership(now, planned, token)

    def status(self) -> ReplicaStatus:
        """Return the state for operators."""
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
            matches=tuple(
                (one.replica.host, one.match_index) for one in progress
            ),
            acked=tuple(
                (one.replica.host, one.acked_sent_time) for one in progress
            ),
            waiting=self._list_join_candidates(),
        )

    # Messages.

    def _accept_message(self, sender: str, message: GroupMessage) -> bool:
        """Return whether a message is meant for this replica.

        A message to this very identity shows an empty replica that the
        group has it as a voter or learner, so it joins.
        """
        header = message.header
        if header.target != self._id or header.sender.host != sender:
            return False
        if not self._hard_state.group and header.group:
            self._set_hard_state(replace(self._hard_state, group=header.group))
        return header.group == self._hard_state.group

    @singledispatchmethod
    def _handle(self, message: GroupMessage, _now: datetime) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    def _(self, message: Append, now: datetime) -> None:
        self._on_append(now, message)

    @_handle.register
    def _(self, message: SnapshotChunk, now: datetime) -> None:
        self._on_snapshot_chunk(now, message)

    @_handle.register
    def _(self, message: AppendReply, now: datetime) -> None:
        if not self._step_down_if_newer(now, message.header.term):
            self._on_append_reply(now, message)

    @_handle.register
    def _(self, message: SnapshotReply, now: datetime) -> None:
        if not self._step_down_if_newer(now, message.header.term):
            self._on_snapshot_reply(now, message)

    @_handle.register
    def _(self, message: ConfirmRequest, now: datetime) -> None:
        if self._role is Role.LEADER:
            read = PendingRead(
                now,
                requester=message.header.sender,
                request_id=message.request_id,
                patient=message.patient,
            )
            self._add_read(now, read)

    @_handle.register
    def _(self, message: ConfirmReply, now: datetime) -> None:
        asked = self._asked.pop(message.request_id, None)
        if asked is not None:
            self._confirm_local_read(asked.token, message.index)
        self._step_down_if_newer(now, message.header.term)

    @_handle.register
    def _(self, message: BallotReply, now: datetime) -> None:
        if not self._step_down_if_newer(now, message.header.term):
            self._on_ballot_reply(now, message)

    @_handle.register
    def _(self, message: Ballot, now: datetime) -> None:
        self._on_ballot(now, message)

    # Confirmations and replacement.

    def _refuse_unless_leading(self, token: Token) -> bool:
        if self._disk_failed:
            self._reject(token, ErrorCode.DISK_FAILED)
        elif self._role is not Role.LEADER:
            self._reject(token, ErrorCode.NOT_LEADER)
        else:
            return False
        return True

    def _expire_confirms(self, now: datetime) -> None:
        if self._role is Role.LEADER:
            self._expire_reads(now)
        late = [
            key for key, asked in self._asked.items() if now >= asked.deadline
        ]
        for key in late:
            self._reject(self._asked.pop(key).token, ErrorCode.TIMEOUT)

    def _drop_confirms(self) -> None:
        for asked in self._asked.values():
            self._reject(asked.token, ErrorCode.DISK_FAILED)
        self._asked.clear()

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
            # A learner that was lost itself may be exchanged.
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
