"""Follower's side of replication: entries and snapshot chunks."""

import random
from datetime import datetime

from sequoiaseam._replica_core import ReplicaConfig, ReplicaCore
from sequoiaseam._replica_messages import (
    Append,
    AppendReply,
    Entry,
    Header,
    InstallSnapshot,
    Restored,
    Role,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)


class ReplicaFollower(ReplicaCore):
    """Store what the leader sends and acknowledge it once synced."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: Restored,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        # Index of the snapshot being received and the leader's term.
        self._receiving = (0, 0)
        self._received = bytearray()

    def _follow(self, now: datetime, header: Header) -> bool:
        """Follow the sender unless its term is over."""
        if header.term < self.term:
            return False
        if (
            header.term > self.term
            or self._role is not Role.FOLLOWER
            or self._leader != header.sender
        ):
            self._become_follower(now, header.term, header.sender)
        self._heard = now
        self._election_deadline = self._draw_deadline(now)
        return True

    def _on_append(self, now: datetime, message: Append) -> None:
        if not self._follow(now, message.header):
            self._refuse(message.header, message.prev_index, message.sent)
            return
        self._echo = message.sent
        if not self._has_previous(message):
            hint = self._log.last_index
            if message.prev_index <= hint:
                hint = self._log.find_conflict(message.prev_index)
            self._refuse(
                message.header,
                message.prev_index,
                message.sent,
                max(self._commit_index, hint),
            )
            return
        self._store(message.entries)
        last = message.prev_index + len(message.entries)
        self._verified_index = max(self._verified_index, last)
        self._commit_to(min(message.commit, self._verified_index))
        # New entries are acknowledged once, after their sync.
        if not message.entries or self._verified_index <= self._synced_index:
            self._acknowledge()

    def _has_previous(self, message: Append) -> bool:
        # Committed entries are the same in every leader's log.
        if message.prev_index <= self._commit_index:
            return True
        term = self._log.find_term(message.prev_index)
        return term == message.prev_term

    def _store(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.index <= self._commit_index:
                continue
            term = self._log.find_term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate(entry.index)
            self._append_entry(entry)

    def _acknowledge(self) -> None:
        """Tell the leader what is synced."""
        if self._leader is None:
            return
        self._send(
            AppendReply(
                self._header(self._leader),
                accepted=True,
                verified=self._verified_index,
                match=min(self._verified_index, self._synced_index),
                sent=self._echo,
            ),
        )

    def _refuse(
        self,
        header: Header,
        index: int,
        sent: datetime,
        hint: int = 0,
    ) -> None:
        """Say that ``index`` doesn't match, or that the term is over."""
        self._send(
            AppendReply(
                self._header(header.sender),
                accepted=False,
                verified=index,
                match=hint,
                sent=sent,
            ),
        )

    def _on_snapshot_chunk(self, now: datetime, chunk: SnapshotChunk) -> None:
        if not self._follow(now, chunk.header):
            self._refuse(chunk.header, chunk.index, chunk.sent)
            return
        self._echo = chunk.sent
        if chunk.index <= self._commit_index:
            self._verified_index = max(self._verified_index, chunk.index)
            self._acknowledge()
            return
        self._store_chunk(chunk)
        self._send(
            SnapshotReply(
                self._header(chunk.header.sender),
                chunk.index,
                len(self._received),
                chunk.sent,
            ),
        )
        if len(self._received) == chunk.size:
            self._install(
                Snapshot(
                    chunk.index,
                    chunk.index_term,
                    chunk.membership,
                    bytes(self._received),
                ),
            )
            self._received = bytearray()

    def _store_chunk(self, chunk: SnapshotChunk) -> None:
        # Two leaders' dumps of the same state may differ in bytes, so
        # a transfer starts over when the term changes.
        source = (chunk.index, chunk.header.term)
        if self._receiving != source:
            self._receiving = source
            self._received = bytearray()
        if chunk.offset == len(self._received):
            self._received += chunk.data

    def _install(self, snapshot: Snapshot) -> None:
        committed = self._commit_index
        if not self._log.install(snapshot):
            self._unsaved.clear()
            self._limit_synced(committed)
        self._commit_index = snapshot.index
        self._verified_index = max(self._verified_index, snapshot.index)
        self._out.append(InstallSnapshot(snapshot))
