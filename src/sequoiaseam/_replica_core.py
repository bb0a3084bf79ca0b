"""State that all roles of a replica share, and its persistence."""

import random
from dataclasses import dataclass, replace
from datetime import datetime
from typing import Final

from sequoiaseam._replica_log import ReplicaLog
from sequoiaseam._replica_messages import (
    Action,
    Actions,
    Apply,
    Confirmed,
    Entries,
    Entry,
    GroupMessage,
    HardState,
    Header,
    Membership,
    Persist,
    Proposed,
    Record,
    Rejected,
    ReplicaId,
    Restored,
    Role,
    RoleChanged,
    SaveSnapshot,
    Send,
    Token,
    Truncated,
)
from sequoiaseam.const import ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN
from sequoiaseam.errors import ErrorCode

SNAPSHOT_INTERVAL_ENTRIES: Final = 1000
# Entries that stay in memory after a snapshot, so that a replica that
# is only a little behind needs no snapshot transfer.
TRAILING_ENTRIES: Final = 256


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Settings of a replica.

    ``hosts`` are the hosts that form the group at the first start. This
    one takes part in that only if it is among them and ``forms`` is set;
    otherwise it asks them to let it join.
    """

    host: str
    hosts: tuple[str, ...]
    snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES
    trailing_entries: int = TRAILING_ENTRIES
    snapshot_chunk_bytes: int = 64 * 1024
    bootstrap: bool = True


@dataclass(slots=True)
class Persisting:
    """The Persist that the adapter works on.

    ``last`` is the last index that is durable once it is synced; a
    truncation meanwhile lowers it.
    """

    token: int
    last: int
    hard_state: HardState


class ReplicaCore:
    """Log, term, vote, role and everything on its way to the disk."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: Restored,
        rng: random.Random,
        now: datetime,
    ) -> None:
        self._config = config
        self._rng = rng
        self._id = ReplicaId(config.host, restored.identity)
        self._hard_state = restored.hard_state
        self._hard_flushed = restored.hard_state
        self._hard_synced = restored.hard_state
        self._log = ReplicaLog(restored.snapshot, restored.entries)
        self._snapshot = restored.snapshot
        self._commit_index = (
            restored.snapshot.index if restored.snapshot else 0
        )
        self._synced_index = self._log.last_index
        self._verified_index = self._commit_index
        self._role = Role.FOLLOWER
        self._leader: ReplicaId | None = None
        self._disk_failed = False
        self._saving_snapshot = False
        # The vote promise of an earlier run may still be in force, so
        # a start counts as having heard from a leader.
        self._heard = now
        self._echo = now
        self._election_deadline = self._draw_deadline(now)
        self._persisting: Persisting | None = None
        self._next_token = 1
        self._unsaved: list[Entry | Truncated] = []
        self._out: list[Action] = []
        self._held: list[Send] = []
        self._pending_proposals: dict[int, Token] = {}
        self._announced: RoleChanged | None = None

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self._role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._hard_state.term

    @property
    def leader(self) -> str | None:
        """Return the host name of the known leader."""
        return self._leader.host if self._leader else None

    @property
    def commit_index(self) -> int:
        """Return the last index known to be committed."""
        return self._commit_index

    def _membership(self) -> Membership:
        return self._log.membership or Membership(())

    def _draw_deadline(self, now: datetime) -> datetime:
        spread = ELECTION_TIMEOUT_MAX - ELECTION_TIMEOUT_MIN
        return now + ELECTION_TIMEOUT_MIN + spread * self._rng.random()

    def _header(self, target: ReplicaId, term: int | None = None) -> Header:
        return Header(
            self._hard_state.group,
            self._id,
            target,
            self._hard_state.term if term is None else term,
        )

    def _send(self, message: GroupMessage) -> None:
        """Send a message once the term and vote it shows are synced."""
        send = Send(message.header.target.host, message)
        if self._hard_state == self._hard_synced:
            self._out.append(send)
        else:
            self._held.append(send)

    def _set_hard_state(self, hard_state: HardState) -> None:
        if hard_state.term != self._hard_state.term:
            self._held.clear()
            self._verified_index = self._commit_index
        self._hard_state = hard_state

    def _vote_for(self, candidate: ReplicaId) -> None:
        self._set_hard_state(replace(self._hard_state, vote=candidate))

    def _append_entry(self, entry: Entry) -> None:
        self._log.append(entry)
        self._unsaved.append(entry)

    def _truncate(self, start: int) -> None:
        if start <= self._commit_index:
            raise AssertionError(f"entry {start} is already committed")
        self._log.truncate(start)
        self._unsaved.append(Truncated(start))
        self._limit_synced(start - 1)

    def _limit_synced(self, last: int) -> None:
        self._synced_index = min(self._synced_index, last)
        if self._persisting is not None:
            self._persisting.last = min(self._persisting.last, last)

    def _flush(self) -> None:
        """Persist what is unsaved unless a Persist is under way.

        Entries that arrive meanwhile are gathered for the next one.
        """
        dirty = self._hard_state != self._hard_flushed
        if self._persisting is not None or not (dirty or self._unsaved):
            return
        records: list[Record] = [self._hard_state] if dirty else []
        batch: list[Entry] = []
        for change in self._unsaved:
            if isinstance(change, Entry):
                batch.append(change)
                continue
            if batch:
                records.append(Entries(tuple(batch)))
                batch = []
            records.append(change)
        if batch:
            records.append(Entries(tuple(batch)))
        self._unsaved.clear()
        self._hard_flushed = self._hard_state
        token = self._next_token
        self._next_token += 1
        self._persisting = Persisting(
            token,
            self._log.last_index,
            self._hard_state,
        )
        self._out.append(Persist(tuple(records), token))

    def _complete_persist(self, token: int) -> bool:
        """Record that a Persist is durable; return whether it is new."""
        done = self._persisting
        if done is None or done.token != token:
            return False
        self._persisting = None
        self._synced_index = max(self._synced_index, done.last)
        self._hard_synced = done.hard_state
        if self._hard_state == self._hard_synced:
            self._out.extend(self._held)
            self._held.clear()
        return True

    def _take_actions(self) -> Actions:
        """Return the actions gathered by the current call."""
        if not self._disk_failed:
            self._flush()
        actions = tuple(self._out)
        self._out.clear()
        return actions

    def _commit_to(self, index: int) -> None:
        """Apply what is committed up to ``index``."""
        while self._commit_index < index:
            self._commit_index += 1
            entry = self._log.get(self._commit_index)
            self._out.append(Apply(entry.index, entry.command))
            token = self._pending_proposals.pop(entry.index, None)
            if token is not None:
                self._out.append(Proposed(token, entry.index))
        self._request_snapshot()

    def _request_snapshot(self) -> None:
        covered = self._snapshot.index if self._snapshot else 0
        due = (
            covered + self._config.snapshot_interval_entries
            <= self._commit_index
        )
        membership = self._log.find_membership(self._commit_index)
        term = self._log.find_term(self._commit_index)
        if (
            self._saving_snapshot
            or not due
            or membership is None
            or term is None
        ):
            return
        self._saving_snapshot = True
        self._out.append(SaveSnapshot(self._commit_index, term, membership))

    def _announce(self) -> None:
        change = RoleChanged(self._role, self.term, self.leader)
        if change != self._announced:
            self._announced = change
            self._out.append(change)

    def _become_follower(
        self,
        now: datetime,
        term: int,
        leader: ReplicaId | None,
    ) -> None:
        """Follow ``leader``, or none, in ``term``."""
        if term > self._hard_state.term:
            self._set_hard_state(HardState(term, None, self._hard_state.group))
            self._echo = now
        if self._role is not Role.FOLLOWER:
            self._election_deadline = self._draw_deadline(now)
        self._role = Role.FOLLOWER
        self._leader = leader
        for token in self._pending_proposals.values():
            self._out.append(
                Rejected(token, ErrorCode.OUTCOME_UNKNOWN, self.leader),
            )
        self._pending_proposals.clear()
        self._announce()

    def _reject(self, token: Token, reason: ErrorCode) -> None:
        self._out.append(Rejected(token, reason, self.leader))

    def _confirm_local_read(self, token: Token, index: int) -> None:
        self._out.append(Confirmed(token, index))
