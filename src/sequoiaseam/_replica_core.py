"""State that all replica roles share, and its persistence."""

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
    ProposalCommitted,
    Record,
    Rejected,
    ReplicaId,
    RestoredState,
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
# Size of the commands since the last snapshot at which the next one is due.
SNAPSHOT_INTERVAL_BYTES: Final = 8 * 1024 * 1024
# Entries kept in memory after a snapshot, so that a replica that lags
# slightly needs no snapshot transfer.
TRAILING_ENTRIES: Final = 256
TRAILING_BYTES: Final = 2 * 1024 * 1024
# Large commands are rejected while the log holds more, for example because
# the disk is too slow to save a snapshot.
LOG_MAX_BYTES: Final = 32 * 1024 * 1024
# Smaller commands, such as changes of members, are exempt from that limit.
SMALL_COMMAND_MAX_BYTES: Final = 8 * 1024


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Settings of a replica.

    ``hosts`` are the hosts that bootstrap the group at the first start.
    This host takes part only if it is among them and ``bootstrap`` is
    set; otherwise it asks them to let it join.
    """

    host: str
    hosts: tuple[str, ...]
    snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES
    trailing_entries: int = TRAILING_ENTRIES
    snapshot_chunk_bytes: int = 64 * 1024
    snapshot_interval_bytes: int = SNAPSHOT_INTERVAL_BYTES
    trailing_bytes: int = TRAILING_BYTES
    log_max_bytes: int = LOG_MAX_BYTES
    bootstrap: bool = True


@dataclass(slots=True)
class PendingPersist:
    """The Persist action that the adapter is carrying out.

    ``last_index`` is the last index that is durable once it is synced;
    a truncation in the meantime lowers it.
    """

    token: int
    last_index: int
    hard_state: HardState


class ReplicaCore:
    """Log, term, vote, role and changes not yet synced to disk."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        rng: random.Random,
        now: datetime,
    ) -> None:
        self._config = config
        self._rng = rng
        self._id = ReplicaId(config.host, restored.identity)
        self._hard_state = restored.hard_state
        self._submitted_hard_state = restored.hard_state
        self._synced_hard_state = restored.hard_state
        self._log = ReplicaLog(restored.snapshot, restored.entries)
        self._snapshot = restored.snapshot
        self._commit_index = (
            restored.snapshot.index if restored.snapshot else 0
        )
        self._synced_index = self._log.last_index
        self._verified_index = self._commit_index
        self._role = Role.FOLLOWER
        self._leader: ReplicaId | None = None
        # Whether a member of the group has answered that this host isn't a
        # member, and no leader has been heard from since.
        self._is_excluded = False
        self._disk_failed = False
        self._saving_snapshot = False
        # Size of the commands committed since the last snapshot was taken.
        self._bytes_since_snapshot = 0
        # Before a restart this replica may have acknowledged a leader
        # that still holds its lease, so it starts as if it had just
        # heard from one.
        self._last_leader_contact = now
        self._leader_sent_time = now
        self._election_deadline = self._draw_election_deadline(now)
        self._pending_persist: PendingPersist | None = None
        self._next_token = 1
        self._unsaved_changes: list[Entry | Truncated] = []
        self._actions: list[Action] = []
        self._deferred_sends: list[Send] = []
        self._pending_proposals: dict[int, Token] = {}
        self._announced_role: RoleChanged | None = None

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

    def _draw_election_deadline(self, now: datetime) -> datetime:
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
        """Send a message once the current term and vote are synced."""
        send = Send(message.header.target.host, message)
        if self._hard_state == self._synced_hard_state:
            self._actions.append(send)
        else:
            self._deferred_sends.append(send)

    def _set_hard_state(self, hard_state: HardState) -> None:
        if hard_state.term != self._hard_state.term:
            self._deferred_sends.clear()
            self._verified_index = self._commit_index
        self._hard_state = hard_state

    def _vote_for(self, candidate: ReplicaId) -> None:
        self._set_hard_state(replace(self._hard_state, vote=candidate))

    def _append_entry(self, entry: Entry) -> None:
        self._log.append(entry)
        self._unsaved_changes.append(entry)

    def _truncate(self, start: int) -> None:
        if start <= self._commit_index:
            raise AssertionError(
                f"entry {start} is committed; can't truncate it"
            )
        self._log.truncate(start)
        self._unsaved_changes.append(Truncated(start))
        self._lower_synced_index(start - 1)

    def _lower_synced_index(self, last_index: int) -> None:
        self._synced_index = min(self._synced_index, last_index)
        if self._pending_persist is not None:
            self._pending_persist.last_index = min(
                self._pending_persist.last_index,
                last_index,
            )

    def _flush(self) -> None:
        """Persist unsaved changes unless a Persist is in progress.

        Changes made in the meantime are batched for the next Persist.
        """
        hard_state_changed = self._hard_state != self._submitted_hard_state
        if self._pending_persist is not None or not (
            hard_state_changed or self._unsaved_changes
        ):
            return
        records: list[Record] = (
            [self._hard_state] if hard_state_changed else []
        )
        new_entries: list[Entry] = []
        for change in self._unsaved_changes:
            if isinstance(change, Entry):
                new_entries.append(change)
                continue
            if new_entries:
                records.append(Entries(tuple(new_entries)))
                new_entries = []
            records.append(change)
        if new_entries:
            records.append(Entries(tuple(new_entries)))
        self._unsaved_changes.clear()
        self._submitted_hard_state = self._hard_state
        token = self._next_token
        self._next_token += 1
        self._pending_persist = PendingPersist(
            token,
            self._log.last_index,
            self._hard_state,
        )
        self._actions.append(Persist(tuple(records), token))

    def _complete_persist(self, token: int) -> bool:
        """Record that a Persist is durable; return whether it was pending."""
        persisted = self._pending_persist
        if persisted is None or persisted.token != token:
            return False
        self._pending_persist = None
        self._synced_index = max(self._synced_index, persisted.last_index)
        self._synced_hard_state = persisted.hard_state
        if self._hard_state == self._synced_hard_state:
            self._actions.extend(self._deferred_sends)
            self._deferred_sends.clear()
        return True

    def _take_actions(self) -> Actions:
        """Return and clear the actions of the current call."""
        if not self._disk_failed:
            self._flush()
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def _commit_to(self, index: int) -> None:
        """Commit and apply the entries up to ``index``."""
        while self._commit_index < index:
            self._commit_index += 1
            entry = self._log.get(self._commit_index)
            self._bytes_since_snapshot += len(entry.command)
            self._actions.append(Apply(entry.index, entry.command))
            token = self._pending_proposals.pop(entry.index, None)
            if token is not None:
                self._actions.append(ProposalCommitted(token, entry.index))
        self._request_snapshot()

    def _request_snapshot(self) -> None:
        snapshot_index = self._snapshot.index if self._snapshot else 0
        snapshot_due = (
            snapshot_index + self._config.snapshot_interval_entries
            <= self._commit_index
            or self._bytes_since_snapshot
            >= self._config.snapshot_interval_bytes
        )
        membership = self._log.find_membership(self._commit_index)
        term = self._log.find_term(self._commit_index)
        if (
            self._saving_snapshot
            or not snapshot_due
            or membership is None
            or term is None
        ):
            return
        self._saving_snapshot = True
        self._bytes_since_snapshot = 0
        self._actions.append(
            SaveSnapshot(self._commit_index, term, membership),
        )

    def _announce_role(self) -> None:
        change = RoleChanged(self._role, self.term, self.leader)
        if change != self._announced_role:
            self._announced_role = change
            self._actions.append(change)

    def _become_follower(
        self,
        now: datetime,
        term: int,
        leader: ReplicaId | None,
    ) -> None:
        """Become a follower in ``term`` of ``leader``, None if unknown."""
        if term > self._hard_state.term:
            self._set_hard_state(HardState(term, None, self._hard_state.group))
            self._leader_sent_time = now
        if self._role is not Role.FOLLOWER:
            self._election_deadline = self._draw_election_deadline(now)
        self._role = Role.FOLLOWER
        self._leader = leader
        for token in self._pending_proposals.values():
            self._actions.append(
                Rejected(token, ErrorCode.OUTCOME_UNKNOWN, self.leader),
            )
        self._pending_proposals.clear()
        self._announce_role()

    def _reject(self, token: Token, reason: ErrorCode) -> None:
        self._actions.append(Rejected(token, reason, self.leader))

    def _confirm_local_read(self, token: Token, index: int) -> None:
        self._actions.append(Confirmed(token, index))
