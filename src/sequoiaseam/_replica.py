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
from sequoiaseam._replica_leader import Read, ReplicaLeader
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
    HardState,
    Hello,
    HelloReply,
    Membership,
    ReplicaId,
    ReplicaMessage,
    ReplicaStatus,
    Restored,
    Role,
    Send,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    Token,
    compute_group,
)
from sequoiaseam.const import (
    ELECTION_TIMEOUT_MAX,
    ELECTION_TIMEOUT_MIN,
    HEARTBEAT_INTERVAL,
)
from sequoiaseam.errors import ErrorCode

# Proposals that may wait for their commit before others are refused.
PROPOSALS_LIMIT: Final = 4096
# Empty replicas that are remembered as candidates for a replacement.
WAITING_LIMIT: Final = 16


@dataclass(frozen=True, slots=True)
class Asked:
    """A confirmation that was asked of the leader."""

    token: Token
    deadline: datetime


class Replica(ReplicaLeader):
    """A replica: elections, first start and the calls of the adapter."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: Restored,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._votes: set[ReplicaId] = set()
        self._asked: dict[int, Asked] = {}
        self._empty: dict[str, ReplicaId] = {}
        self._greeted = set(config.hosts)
        self._found_group = False
        self._waiting: dict[str, ReplicaId] = {}
        self._hello_due = now

    # Calls of the adapter.

    def tick(self, now: datetime) -> Actions:
        """Let time pass; to be called every 20 to 50 ms."""
        if self._failed:
            return ()
        if not self._hard.group:
            self._tick_empty(now)
        elif self._role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self._deadline or self._is_alone():
            self._start_election(now)
        self._expire_confirms(now)
        return self._finish()

    def receive(
        self,
        now: datetime,
        sender: str,
        message: ReplicaMessage,
    ) -> Actions:
        """Handle a message from the host ``sender``."""
        if self._failed:
            return ()
        if isinstance(message, Hello):
            self._on_hello(sender, message)
        elif isinstance(message, HelloReply):
            self._on_hello_reply(sender, message)
        elif self._accept_message(sender, message):
            self._handle(message, now)
        return self._finish()

    def propose(
        self,
        now: datetime,
        command: bytes,
        token: Token,
    ) -> Actions:
        """Append a command; Proposed or Rejected follows for its token."""
        if self._refuse_unless_leading(token):
            return self._finish()
        if len(self._proposals) >= PROPOSALS_LIMIT:
            self._reject(token, ErrorCode.OVERLOAD)
            return self._finish()
        index = self._log.last_index + 1
        self._append_entry(Entry(index, self.term, command))
        self._proposals[index] = token
        self._pump_all(now)
        return self._finish()

    def confirm(self, now: datetime, token: Token) -> Actions:
        """Ask for a read index; Confirmed or Rejected follows."""
        if self._role is Role.LEADER and not self._failed:
            self._add_read(now, Read(now, token))
        elif self._leader is None or self._failed:
            self._reject(token, ErrorCode.NOT_LEADER)
        else:
            # Random, so that a late reply to an earlier run of this
            # replica doesn't answer a newer request.
            request_id = self._rng.getrandbits(63)
            deadline = now + ELECTION_TIMEOUT_MAX
            self._asked[request_id] = Asked(token, deadline)
            header = self._header(self._leader)
            self._send(ConfirmRequest(header, request_id))
        return self._finish()

    def synced(self, now: datetime, token: int) -> Actions:
        """Record that the Persist with this token is durable."""
        if not self._failed and self._finish_persist(token):
            self._after_sync(now)
        return self._finish()

    def snapshot_saved(self, now: datetime, snapshot: Snapshot) -> Actions:
        """Record that a snapshot is durable in the journal."""
        if self._failed:
            return ()
        self._saving = False
        if self._snapshot is None or snapshot.index > self._snapshot.index:
            self._snapshot = snapshot
            keep = self._config.trailing_entries
            self._log.compact(snapshot.index - keep)
        self._synced = max(self._synced, snapshot.index)
        self._after_sync(now)
        return self._finish()

    def fail_disk(self, now: datetime) -> Actions:
        """Record that the disk failed; the replica stays silent.

        What the disk holds is unknown from here on, so the process has
        to open the journal again to take part.
        """
        self._failed = True
        self._become_follower(now, self.term, None)
        self._drop_confirms()
        return self._finish()

    def replace(
        self,
        now: datetime,
        old: str,
        new: str,
        token: Token,
    ) -> Actions:
        """Replace the replica on host ``old`` by the empty one on ``new``.

        Proposed follows when the new one is a learner; ``status`` shows
        the remaining steps.
        """
        if self._refuse_unless_leading(token):
            return self._finish()
        waiting = {one.host: one for one in self._list_waiting()}
        membership = self._plan_replacement(old, waiting.get(new))
        if isinstance(membership, ErrorCode):
            self._reject(token, membership)
            return self._finish()
        index = self._append_membership(membership)
        self._proposals[index] = token
        self._waiting.pop(new, None)
        self._pump_all(now)
        self._beat(now)
        return self._finish()

    def status(self) -> ReplicaStatus:
        """Return the state for operators."""
        leading = self._role is Role.LEADER
        progress = self._progress.values() if leading else ()
        return ReplicaStatus(
            replica=self._id,
            role=self._role,
            term=self.term,
            leader=self.leader,
            failed=self._failed,
            commit_index=self._commit,
            last_index=self._log.last_index,
            snapshot_index=self._snapshot.index if self._snapshot else 0,
            membership=self._log.membership,
            matches=tuple((one.replica.host, one.match) for one in progress),
            acked=tuple((one.replica.host, one.acked) for one in progress),
            waiting=self._list_waiting(),
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
        if not self._hard.group and header.group:
            self._set_hard(replace(self._hard, group=header.group))
        return header.group == self._hard.group

    @singledispatchmethod
    def _handle(self, message: GroupMessage, _now: datetime) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    def _(self, message: Append, now: datetime) -> None:
        self._on_append(now, message)

    @_handle.register
    def _(self, message: SnapshotChunk, now: datetime) -> None:
        self._on_chunk(now, message)

    @_handle.register
    def _(self, message: AppendReply, now: datetime) -> None:
        if not self._yield_to_term(now, message.header.term):
            self._on_append_reply(now, message)

    @_handle.register
    def _(self, message: SnapshotReply, now: datetime) -> None:
        if not self._yield_to_term(now, message.header.term):
            self._on_snapshot_reply(now, message)

    @_handle.register
    def _(self, message: ConfirmRequest, now: datetime) -> None:
        if self._role is Role.LEADER:
            read = Read(
                now,
                asker=message.header.sender,
                request_id=message.request_id,
            )
            self._add_read(now, read)

    @_handle.register
    def _(self, message: ConfirmReply, now: datetime) -> None:
        asked = self._asked.pop(message.request_id, None)
        if asked is not None:
            self._confirm_local(asked.token, message.index)
        self._yield_to_term(now, message.header.term)

    @_handle.register
    def _(self, message: BallotReply, now: datetime) -> None:
        if not self._yield_to_term(now, message.header.term):
            self._on_ballot_reply(now, message)

    @_handle.register
    def _(self, message: Ballot, now: datetime) -> None:
        self._on_ballot(now, message)

    def _yield_to_term(self, now: datetime, term: int) -> bool:
        """Step down when ``term`` is newer; return whether it is."""
        if term <= self.term:
            return False
        self._become_follower(now, term, None)
        return True

    # Elections.

    def _is_alone(self) -> bool:
        """Return whether there is no one to wait for."""
        return (
            self._config.hosts == (self._id.host,)
            and self._membership().voters == (self._id,)
            and self._leader is None
        )

    def _start_election(self, now: datetime) -> None:
        """Ask whether an election could be won, without a new term."""
        self._deadline = self._draw_deadline(now)
        if self._id not in self._membership().voters:
            # The entry that made it a learner may have been truncated
            # by another leader, which then doesn't know of it.
            self._greet()
        if not self._may_lead() or self._hard != self._hard_synced:
            return
        self._role = Role.PRE_CANDIDATE
        self._leader = None
        self._announce()
        self._votes = {self._id}
        self._request_votes(trial=True)
        self._count_votes(now)

    def _may_lead(self) -> bool:
        """Return whether this replica may stand for election.

        A voter whose removal isn't known to be committed must, since
        the others may lack an entry that only it has.
        """
        if self._id in self._membership().voters:
            return True
        index = self._log.membership_index
        before = self._log.find_membership(index - 1)
        return (
            index > self._commit
            and before is not None
            and self._id in before.voters
        )

    def _request_votes(self, *, trial: bool) -> None:
        term = self.term + 1 if trial else self.term
        for voter in self._membership().voters:
            if voter != self._id:
                self._send(
                    Ballot(
                        self._header(voter, term),
                        trial,
                        self._log.last_index,
                        self._log.last_term,
                    ),
                )

    def _campaign(self, now: datetime) -> None:
        hard = HardState(self.term + 1, self._id, self._hard.group)
        self._set_hard(hard)
        self._role = Role.CANDIDATE
        self._deadline = self._draw_deadline(now)
        self._announce()
        # The own vote counts once it is synced.
        self._votes = set()
        self._request_votes(trial=False)

    def _count_votes(self, now: datetime) -> None:
        membership = self._membership()
        votes = self._votes.intersection(membership.voters)
        if len(votes) < membership.majority:
            return
        if self._role is Role.PRE_CANDIDATE:
            self._campaign(now)
        elif self._role is Role.CANDIDATE:
            self._start_leading(now)

    def _on_ballot(self, now: datetime, ballot: Ballot) -> None:
        header = ballot.header
        granted = (
            header.term >= self.term
            and not self._is_promised(now)
            and self._is_current(ballot)
        )
        if ballot.trial:
            granted = granted and header.term > self.term
        elif not self._is_promised(now):
            self._yield_to_term(now, header.term)
            granted = granted and self._hard.vote in (None, header.sender)
            if granted:
                self._vote_for(header.sender)
                self._deadline = self._draw_deadline(now)
        self._send(
            BallotReply(self._header(header.sender), ballot.trial, granted),
        )

    def _is_promised(self, now: datetime) -> bool:
        """Return whether a leader may count on this replica's vote.

        A replica that was cut off can't depose a leader that the others
        still hear from, and a leader's lease stays valid.
        """
        if self._role is Role.LEADER:
            return self.lease_valid(now)
        return now - self._heard < ELECTION_TIMEOUT_MIN

    def _is_current(self, ballot: Ballot) -> bool:
        own = (self._log.last_term, self._log.last_index)
        return (ballot.last_term, ballot.last_index) >= own

    def _on_ballot_reply(self, now: datetime, reply: BallotReply) -> None:
        expected = Role.PRE_CANDIDATE if reply.trial else Role.CANDIDATE
        current = reply.trial or reply.header.term == self.term
        if reply.granted and current and self._role is expected:
            self._votes.add(reply.header.sender)
            self._count_votes(now)

    def _after_sync(self, now: datetime) -> None:
        if self._role is Role.LEADER:
            self._advance(now)
            self._answer_reads(now)
        elif self._role is Role.FOLLOWER:
            self._acknowledge()
        elif self._role is Role.CANDIDATE and self._hard == self._hard_synced:
            self._votes.add(self._id)
            self._count_votes(now)

    # First start.

    def _tick_empty(self, now: datetime) -> None:
        if now < self._hello_due:
            return
        # Once there is a group, only an operator can let this one in.
        self._hello_due = now + (
            ELECTION_TIMEOUT_MAX if self._found_group else HEARTBEAT_INTERVAL
        )
        if self._config.hosts == (self._id.host,):
            self._adopt()
            return
        self._greet()

    def _greet(self) -> None:
        """Ask all known hosts, so that a leader may add this replica."""
        members = {one.host for one in self._membership().replicas}
        for host in sorted((self._greeted | members) - {self._id.host}):
            self._out.append(Send(host, Hello(self._id)))

    def _on_hello(self, sender: str, message: Hello) -> None:
        if message.asker.host != sender:
            return
        known = message.asker in self._membership().replicas
        room = len(self._waiting) < WAITING_LIMIT or sender in self._waiting
        if self._hard.group and not known and room:
            self._waiting[sender] = message.asker
        hosts = self._config.hosts
        if self._hard.group:
            hosts = tuple(one.host for one in self._membership().replicas)
        reply = HelloReply(message.asker, self._id, self._hard.group, hosts)
        self._out.append(Send(sender, reply))

    def _on_hello_reply(self, sender: str, message: HelloReply) -> None:
        """Form the group once every listed host has said it is empty.

        They must list the same hosts, or they would form two groups. A
        member of a group names the others, so that its leader learns of
        this replica whatever its settings list.
        """
        if message.asker != self._id:
            return
        if message.group:
            self._found_group = True
            self._greeted.update(message.hosts)
        same = set(message.hosts) == set(self._config.hosts)
        if self._hard.group or message.group or not same:
            self._empty.pop(sender, None)
            return
        if message.replica.host == sender:
            self._empty[sender] = message.replica
        others = set(self._config.hosts) - {self._id.host}
        if others <= self._empty.keys():
            self._adopt()

    def _adopt(self) -> None:
        """Start a group of the listed hosts.

        Each host appends the same first entry on its own, so it needs
        no quorum.
        """
        hosts = set(self._config.hosts) - {self._id.host}
        voters = tuple(
            sorted({self._id, *(self._empty[host] for host in hosts)}),
        )
        self._set_hard(HardState(group=compute_group(voters)))
        self._append_entry(Entry(1, 0, b"", Membership(voters)))
        self._commit_to(1)

    # Confirmations and replacement.

    def _refuse_unless_leading(self, token: Token) -> bool:
        if self._failed:
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

    def _list_waiting(self) -> tuple[ReplicaId, ...]:
        members = self._membership().replicas
        return tuple(
            one for one in self._waiting.values() if one not in members
        )

    def _plan_replacement(
        self,
        old: str,
        new: ReplicaId | None,
    ) -> Membership | ErrorCode:
        membership = self._membership()
        if new is None:
            return ErrorCode.NOT_FOUND
        if (
            not self._has_committed()
            or self._log.membership_index > self._commit
        ):
            return ErrorCode.REPLICA_CHANGE
        if membership.incoming is not None:
            # A learner that was lost itself may be exchanged.
            if membership.incoming.host != old:
                return ErrorCode.REPLICA_CHANGE
            return replace(membership, incoming=new)
        if membership.outgoing is not None:
            return ErrorCode.REPLICA_CHANGE
        for voter in membership.voters:
            if voter.host == old:
                return replace(membership, incoming=new, outgoing=voter)
        return ErrorCode.NOT_FOUND
