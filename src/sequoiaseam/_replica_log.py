"""In-memory log of a replica."""

from collections.abc import Iterable

from sequoiaseam._replica_messages import Entry, Membership, Snapshot


class ReplicaLog:
    """Entries after a base index, and the memberships they set.

    A membership takes effect when its entry is appended. Truncating
    that entry restores the previous membership.
    """

    def __init__(
        self,
        snapshot: Snapshot | None,
        entries: Iterable[Entry],
    ) -> None:
        self._base_index = 0
        self._base_term = 0
        self._entries: list[Entry] = []
        # Total size of the commands in ``_entries``.
        self._size_bytes = 0
        self._memberships: list[tuple[int, Membership]] = []
        if snapshot is not None:
            self._reset(snapshot)
        for entry in entries:
            self.append(entry)

    @property
    def base_index(self) -> int:
        """Return the index before the first entry in memory."""
        return self._base_index

    @property
    def size_bytes(self) -> int:
        """Return the total size of the commands in memory."""
        return self._size_bytes

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> Membership | None:
        """Return the newest membership, or None before the first."""
        return self._memberships[-1][1] if self._memberships else None

    @property
    def membership_index(self) -> int:
        """Return the index that set the newest membership."""
        return self._memberships[-1][0] if self._memberships else 0

    def find_membership(self, index: int) -> Membership | None:
        """Return the membership in force at ``index``."""
        for start, membership in reversed(self._memberships):
            if start <= index:
                return membership
        return None

    def find_term(self, index: int) -> int | None:
        """Return the term at ``index``, or None if it isn't in memory."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        """Return the entry at ``index``, which must be in memory."""
        return self._entries[index - self._base_index - 1]

    def read_batch(
        self,
        start: int,
        max_entries: int,
        byte_budget: int,
    ) -> tuple[Entry, ...]:
        """Return entries from ``start``, at least one if there is any.

        Return at most ``max_entries`` entries and, except for the first
        entry, at most ``byte_budget`` bytes of commands.
        """
        entries: list[Entry] = []
        offset = start - self._base_index - 1
        for entry in self._entries[offset : offset + max_entries]:
            byte_budget -= len(entry.command)
            if entries and byte_budget < 0:
                break
            entries.append(entry)
        return tuple(entries)

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} doesn't follow the last entry",
            )
        self._entries.append(entry)
        self._size_bytes += len(entry.command)
        if entry.membership is not None:
            self._memberships.append((entry.index, entry.membership))

    def truncate(self, start: int) -> None:
        """Discard the entries from ``start`` on."""
        self._remove_entries(slice(max(0, start - self._base_index - 1), None))
        while self._memberships and self._memberships[-1][0] >= start:
            self._memberships.pop()

    def find_previous_term_end(self, index: int) -> int:
        """Return the last index before the term of ``index``.

        The base index is the lower bound.
        """
        term = self.find_term(index)
        while index > self._base_index and self.find_term(index) == term:
            index -= 1
        return index

    def compact(self, index: int) -> None:
        """Discard the entries up to ``index``."""
        term = self.find_term(index)
        if term is None or index <= self._base_index:
            return
        membership = self.find_membership(index)
        self._remove_entries(slice(index - self._base_index))
        self._base_index = index
        self._base_term = term
        later_memberships = [
            item for item in self._memberships if item[0] > index
        ]
        if membership is not None:
            later_memberships.insert(0, (index, membership))
        self._memberships = later_memberships

    def find_trailing_start(
        self, index: int, max_entries: int, max_bytes: int
    ) -> int:
        """Return the index before the newest entries up to ``index``.

        They are at most ``max_entries`` entries and ``max_bytes`` bytes of
        commands.
        """
        start = index
        oldest = max(self._base_index, index - max_entries)
        while start > oldest:
            max_bytes -= len(self.get(start).command)
            if max_bytes < 0:
                break
            start -= 1
        return start

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Continue from the snapshot; return whether entries were kept.

        Later entries are kept only if the entry at the snapshot's index
        has the same term; otherwise the logs diverged.
        """
        if self.find_term(snapshot.index) == snapshot.term:
            self.compact(snapshot.index)
            return True
        self._reset(snapshot)
        return False

    def _reset(self, snapshot: Snapshot) -> None:
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries = []
        self._size_bytes = 0
        self._memberships = [(snapshot.index, snapshot.membership)]

    def _remove_entries(self, positions: slice) -> None:
        for entry in self._entries[positions]:
            self._size_bytes -= len(entry.command)
        del self._entries[positions]
