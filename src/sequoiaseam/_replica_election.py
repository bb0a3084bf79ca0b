"""Elections: pre-vote, votes and protection of an active leader."""

import random
from datetime import datetime

from sequoiaseam._replica_core import ReplicaConfig
from sequoiaseam._replica_joining import ReplicaJoining
from sequoiaseam._replica_messages import (
    Ballot,
    BallotReply,
    HardState,
    ReplicaId,
    RestoredState,
    Role,
)
from sequoiaseam.const import ELECTION_TIMEOUT_MIN


class ReplicaElection(ReplicaJoining):
    """Run for leader and vote on other candidates."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._votes: set[ReplicaId] = set()

    def _step_down_if_newer(self, now: datetime, term: int) -> bool:
        """Become a follower if ``term`` is newer; return whether it is."""
        if term <= self.term:
            return False
        self._become_follower(now, term, None)
        return True

    def _is_only_member(self) -> bool:
        """Return whether there are no other voters to wait for."""
        return (
            self._config.hosts == (self._id.host,)
            and self._membership().voters == (self._id,)
            and self._leader is None
        )

    def _start_pre_vote(self, now: datetime) -> None:
        """Ask for pre-votes, which don't start a new term."""
        self._election_deadline = self._draw_election_deadline(now)
        # The group may have removed this replica while it was lost, and the
        # leader sends nothing to a removed one, so its own log can't tell.
        # A new leader may also have truncated the entry that added it.
        self._send_hellos()
        if (
            not self._is_electable()
            or self._hard_state != self._synced_hard_state
        ):
            return
        self._role = Role.PRE_CANDIDATE
        self._leader = None
        self._announce_role()
        self._votes = {self._id}
        self._request_votes(trial=True)
        self._count_votes(now)

    def _is_electable(self) -> bool:
        """Return whether this replica may run for leader.

        A voter whose removal isn't known to be committed must be able
        to, since the other voters may lack an entry that only it has.
        """
        if self._id in self._membership().voters:
            return True
        index = self._log.membership_index
        previous = self._log.find_membership(index - 1)
        return (
            index > self._commit_index
            and previous is not None
            and self._id in previous.voters
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
        hard_state = HardState(self.term + 1, self._id, self._hard_state.group)
        self._set_hard_state(hard_state)
        self._role = Role.CANDIDATE
        self._election_deadline = self._draw_election_deadline(now)
        self._announce_role()
        # This replica's own vote counts once it is synced.
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
            and not self._must_withhold_vote(now)
            and self._is_log_up_to_date(ballot)
        )
        if ballot.trial:
            granted = granted and header.term > self.term
        elif not self._must_withhold_vote(now):
            self._step_down_if_newer(now, header.term)
            granted = granted and self._hard_state.vote in (
                None,
                header.sender,
            )
            if granted:
                self._vote_for(header.sender)
                self._election_deadline = self._draw_election_deadline(now)
        self._send(
            BallotReply(self._header(header.sender), ballot.trial, granted),
        )

    def _must_withhold_vote(self, now: datetime) -> bool:
        """Return whether this replica must protect an active leader.

        Withholding the vote keeps a replica that was partitioned from
        deposing a leader that the others still hear from, and keeps
        the leader's lease valid.
        """
        if self._role is Role.LEADER:
            return self.lease_valid(now)
        return now - self._last_leader_contact < ELECTION_TIMEOUT_MIN

    def _is_log_up_to_date(self, ballot: Ballot) -> bool:
        own_log = (self._log.last_term, self._log.last_index)
        return (ballot.last_term, ballot.last_index) >= own_log

    def _on_ballot_reply(self, now: datetime, reply: BallotReply) -> None:
        expected = Role.PRE_CANDIDATE if reply.trial else Role.CANDIDATE
        current = reply.trial or reply.header.term == self.term
        if reply.granted and current and self._role is expected:
            self._votes.add(reply.header.sender)
            self._count_votes(now)

    def _after_sync(self, now: datetime) -> None:
        if self._role is Role.LEADER:
            self._advance_commit_index(now)
            self._answer_reads(now)
        elif self._role is Role.FOLLOWER:
            self._acknowledge()
        elif (
            self._role is Role.CANDIDATE
            and self._hard_state == self._synced_hard_state
        ):
            self._votes.add(self._id)
            self._count_votes(now)
