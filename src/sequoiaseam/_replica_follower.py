"""Follower role: appending entries and receiving snapshots."""

import random
from datetime import datetime

from sequoiaseam._replica_core import ReplicaConfig, ReplicaCore
from sequoiaseam._replica_messages import (
    Append,
    AppendReply,
    Entry,
    Header,
    InstallSnapshot,
    RestoredState,
    Role,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)


class ReplicaFollower(ReplicaCore):
    """Store entries and snapshots; acknowledge them once synced."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        # Index of the snapshot being received, and its sender's term.
        self._transfer_source = (0, 0)
        self._received_data = bytearray()

    def _follow_sender(self, now: datetime, header: Header) -> bool:
        """Follow the sender; return False if its term is stale."""
        if header.term < self.term:
            return False
        if (
            header.term > self.term
            or self._role is not Role.FOLLOWER
            or self._leader != header.sender
        ):
            self._become_follower(now, header.term, header.sender)
        self._is_excluded = False
        self._last_leader_contact = now
        self._election_deadline = self._draw_election_deadline(now)
        return True

    def _on_append(self, now: datetime, message: Append) -> None:
        if not self._follow_sender(now, message.header):
            self._reject_append(
                message.header,
                message.prev_index,
                message.sent,
            )
            return
        self._leader_sent_time = message.sent
        if not self._matches_previous_entry(message):
            match_hint = self._log.last_index
            if message.prev_index <= match_hint:
                match_hint = self._log.find_previous_term_end(
                    message.prev_index,
                )
            self._reject_append(
                message.header,
                message.prev_index,
                message.sent,
                max(self._commit_index, match_hint),
            )
            return
        self._store_entries(message.entries)
        last = message.prev_index + len(message.entries)
        self._verified_index = max(self._verified_index, last)
        self._commit_to(min(message.commit, self._verified_index))
        # New entries are acknowledged only once, when they are synced.
        if not message.entries or self._verified_index <= self._synced_index:
            self._acknowledge()

    def _matches_previous_entry(self, message: Append) -> bool:
        # Every leader's log has the same committed entries.
        if message.prev_index <= self._commit_index:
            return True
        term = self._log.find_term(message.prev_index)
        return term == message.prev_term

    def _store_entries(self, entries: tuple[Entry, ...]) -> None:
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
        """Send the leader the last verified and the last synced index."""
        if self._leader is None:
            return
        self._send(
            AppendReply(
                self._header(self._leader),
                accepted=True,
                verified=self._verified_index,
                match=min(self._verified_index, self._synced_index),
                sent=self._leader_sent_time,
            ),
        )

    def _reject_append(
        self,
        header: Header,
        index: int,
        sent: datetime,
        match_hint: int = 0,
    ) -> None:
        """Reject a mismatch at ``index``, or a stale term."""
        self._send(
            AppendReply(
                self._header(header.sender),
                accepted=False,
                verified=index,
                match=match_hint,
                sent=sent,
            ),
        )

    def _on_snapshot_chunk(self, now: datetime, chunk: SnapshotChunk) -> None:
        if not self._follow_sender(now, chunk.header):
            self._reject_append(chunk.header, chunk.index, chunk.sent)
            return
        self._leader_sent_time = chunk.sent
        if chunk.index <= self._commit_index:
            self._verified_index = max(self._verified_index, chunk.index)
            self._acknowledge()
            return
        self._store_snapshot_chunk(chunk)
        self._send(
            SnapshotReply(
                self._header(chunk.header.sender),
                chunk.index,
                len(self._received_data),
                chunk.sent,
            ),
        )
        if len(self._received_data) == chunk.size:
            self._install_snapshot(
                Snapshot(
                    chunk.index,
                    chunk.index_term,
                    chunk.membership,
                    bytes(self._received_data),
                ),
            )
            self._received_data = bytearray()

    def _store_snapshot_chunk(self, chunk: SnapshotChunk) -> None:
        # Two leaders may serialize the same state to different bytes,
        # so a transfer restarts when the term changes.
        transfer_source = (chunk.index, chunk.header.term)
        if self._transfer_source != transfer_source:
            self._transfer_source = transfer_source
            self._received_data = bytearray()
        if chunk.offset == len(self._received_data):
            self._received_data += chunk.data

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        commit_index = self._commit_index
        if not self._log.install_snapshot(snapshot):
            self._unsaved_changes.clear()
            self._lower_synced_index(commit_index)
        self._commit_index = snapshot.index
        self._bytes_since_snapshot = 0
        self._verified_index = max(self._verified_index, snapshot.index)
        self._actions.append(InstallSnapshot(snapshot))
