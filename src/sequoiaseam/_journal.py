"""Durable journal of a replica: an append-only file and a snapshot.

The log file is a sequence of frames: magic, length of the payload,
xxh3 checksum over length and payload, and the payload, which is a
MessagePack array of encoded records. A frame is written with one call
and synced before the next one is written, so a crash can damage only
the last frame. A new log file replaces the old one at each start and
with each snapshot.
"""

import re
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import msgspec
import xxhash

from sequoiaseam._codec import Codec
from sequoiaseam._files import FileSystem
from sequoiaseam._replica_messages import (
    RECORD_TYPES,
    Entries,
    Entry,
    HardState,
    IdentityRecord,
    Record,
    Restored,
    Snapshot,
    SnapshotReference,
    Truncated,
)
from sequoiaseam.errors import ErrorCode, SeamError

MAGIC: Final = b"\xa5SQ1"
HEADER: Final = struct.Struct(">4sIQ")
LOG_PREFIX: Final = "log-"
LOG_NAME: Final = re.compile(r"log-[0-9]+")
SNAPSHOT_PREFIX: Final = "snapshot-"
TEMPORARY_SUFFIX: Final = ".tmp"

RECORDS: Final = Codec(RECORD_TYPES)
SNAPSHOTS: Final = Codec((Snapshot,))
PAYLOAD: Final = msgspec.msgpack.Decoder(tuple[bytes, ...])


def compute_checksum(payload: bytes) -> int:
    """Return the xxh3 64-bit checksum of a payload and its length."""
    digest = xxhash.xxh3_64(len(payload).to_bytes(4, "big"))
    digest.update(payload)
    return digest.intdigest()


def pack_frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    checksum = compute_checksum(payload)
    return HEADER.pack(MAGIC, len(payload), checksum) + payload


def unpack_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at ``offset``, or None."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if magic != MAGIC or len(payload) != length:
        return None
    return payload if compute_checksum(payload) == checksum else None


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether an undamaged frame starts after ``offset``."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if unpack_frame(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Return the frame that holds the records."""
    encoded = tuple(RECORDS.encode(record) for record in records)
    return pack_frame(msgspec.msgpack.encode(encoded))


class Journal:
    """Journal in one folder; every failure of the disk is final.

    After DISK_FAILED it is unknown what the disk holds, so every later
    call fails as well until the folder is opened again.
    """

    def __init__(self, folder: str, files: FileSystem) -> None:
        self._folder = folder
        self._files = files
        self._failed = False
        self._sequence = 0
        self._identity = ""
        self._hard_state = HardState()
        self._snapshot: Snapshot | None = None
        self._reference: SnapshotReference | None = None
        self._entries: list[Entry] = []

    def open(self, make_identity: Callable[[], str]) -> Restored:
        """Read the folder, drop a torn tail and return the contents.

        An empty folder gets the identity that ``make_identity``
        returns. Raise SeamError JOURNAL_DAMAGED or DISK_FAILED.
        """
        with self._guard():
            self._files.make_folder(self._folder)
            names = self._files.list_names(self._folder)
            numbers = [
                int(name.removeprefix(LOG_PREFIX))
                for name in names
                if LOG_NAME.fullmatch(name)
            ]
            if numbers:
                self._sequence = max(numbers)
                self._load()
            elif any(self._is_snapshot(name) for name in names):
                raise self._damage("the log file is missing")
            self._remove_others(names)
        if not self._identity:
            self._identity = make_identity()
        # A new file, because after a failed sync the old one may read
        # back bytes that are not on the disk and that a later sync
        # doesn't write again.
        self._replace_log()
        return Restored(
            self._identity,
            self._hard_state,
            self._snapshot,
            tuple(self._entries),
        )

    def append(self, records: tuple[Record, ...]) -> None:
        """Append the records; return once they are durable.

        Raise SeamError DISK_FAILED.
        """
        with self._guard():
            path = self._path(self._log_name)
            self._files.append(path, encode_records(records))
            self._files.sync(path)
        for record in records:
            self._apply(record)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make the snapshot durable and discard the log before it.

        Raise SeamError DISK_FAILED.
        """
        if self._snapshot and snapshot.index <= self._snapshot.index:
            return
        name = f"{SNAPSHOT_PREFIX}{snapshot.index}"
        frame = pack_frame(SNAPSHOTS.encode(snapshot))
        old = self._reference
        self._write_file(name, frame)
        self._entries = self._keep_entries(snapshot)
        self._snapshot = snapshot
        self._reference = SnapshotReference(
            name,
            snapshot.index,
            snapshot.term,
        )
        self._replace_log()
        if old is not None and old.name != name:
            with self._guard():
                self._files.remove(self._path(old.name))

    @property
    def _log_name(self) -> str:
        return f"{LOG_PREFIX}{self._sequence}"

    @staticmethod
    def _is_snapshot(name: str) -> bool:
        return name.startswith(SNAPSHOT_PREFIX) and not name.endswith(
            TEMPORARY_SUFFIX,
        )

    def _path(self, name: str) -> str:
        return f"{self._folder}/{name}"

    @contextmanager
    def _guard(self) -> Iterator[None]:
        """Turn errors of the disk into DISK_FAILED, also later ones."""
        if self._failed:
            raise SeamError(
                ErrorCode.DISK_FAILED,
                "an earlier write failed; restart to recover",
                location=self._folder,
            )
        try:
            yield
        except OSError as error:
            self._failed = True
            raise SeamError(
                ErrorCode.DISK_FAILED,
                str(error),
                location=self._folder,
            ) from error

    def _write_file(self, name: str, data: bytes) -> None:
        """Create a whole file so that a crash leaves all or nothing."""
        with self._guard():
            temporary = self._path(name + TEMPORARY_SUFFIX)
            names = self._files.list_names(self._folder)
            if name + TEMPORARY_SUFFIX in names:
                self._files.remove(temporary)
            self._files.append(temporary, data)
            self._files.sync(temporary)
            self._files.rename(temporary, self._path(name))
            self._files.sync_folder(self._folder)

    def _replace_log(self) -> None:
        """Write a new log file with the current contents."""
        old = self._sequence
        records: list[Record] = [
            IdentityRecord(self._identity),
            self._hard_state,
        ]
        if self._reference is not None:
            records.append(self._reference)
        if self._entries:
            records.append(Entries(tuple(self._entries)))
        name = f"{LOG_PREFIX}{old + 1}"
        self._write_file(name, encode_records(tuple(records)))
        self._sequence = old + 1
        if old:
            with self._guard():
                self._files.remove(self._path(f"{LOG_PREFIX}{old}"))

    def _keep_entries(self, snapshot: Snapshot) -> list[Entry]:
        """Return the entries that continue the snapshot's history."""
        for position, entry in enumerate(self._entries):
            if entry.index == snapshot.index:
                same = entry.term == snapshot.term
                return self._entries[position + 1 :] if same else []
        return []

    def _load(self) -> None:
        path = self._path(self._log_name)
        data = self._files.read(path)
        offset = 0
        while offset < len(data):
            payload = unpack_frame(data, offset)
            if payload is None:
                self._check_tail(data, offset)
                break
            for encoded in PAYLOAD.decode(payload):
                self._apply(self._decode(RECORDS, encoded))
            offset += HEADER.size + len(payload)
        if not self._identity:
            raise self._damage("the log has no identity")

    def _check_tail(self, data: bytes, offset: int) -> None:
        """Raise JOURNAL_DAMAGED unless a torn write explains the rest."""
        # The first frame is synced before the file gets its name, so
        # damage there is not the trace of a crash.
        if offset == 0 or has_frame_after(data, offset):
            raise self._damage(f"checksum mismatch at byte {offset}")

    def _apply(self, record: Record) -> None:
        match record:
            case IdentityRecord(identity):
                self._identity = identity
            case HardState():
                self._hard_state = record
            case SnapshotReference():
                self._reference = record
                self._snapshot = self._read_snapshot(record)
            case Truncated(start):
                self._truncate(start)
            case Entries(entries):
                for entry in entries:
                    self._append_entry(entry)

    @property
    def _base_index(self) -> int:
        return self._snapshot.index if self._snapshot else 0

    def _truncate(self, start: int) -> None:
        del self._entries[max(0, start - self._base_index - 1) :]

    def _append_entry(self, entry: Entry) -> None:
        expected = self._base_index + len(self._entries) + 1
        if entry.index <= self._base_index:
            return
        if entry.index != expected:
            raise self._damage(
                f"entry {entry.index} where {expected} was expected",
            )
        self._entries.append(entry)

    def _read_snapshot(self, reference: SnapshotReference) -> Snapshot:
        names = self._files.list_names(self._folder)
        if reference.name not in names:
            raise self._damage(f"{reference.name} is missing")
        data = self._files.read(self._path(reference.name))
        payload = unpack_frame(data, 0)
        if payload is None:
            raise self._damage(f"checksum mismatch in {reference.name}")
        snapshot: Snapshot = self._decode(SNAPSHOTS, payload)
        return snapshot

    def _decode(self, codec: Codec, data: bytes) -> Any:
        try:
            return codec.decode(data)
        except SeamError as error:
            raise self._damage("undecodable record") from error

    def _damage(self, message: str) -> SeamError:
        return SeamError(
            ErrorCode.JOURNAL_DAMAGED,
            message,
            location=self._path(self._log_name),
        )

    def _remove_others(self, names: tuple[str, ...]) -> None:
        """Remove what an interrupted snapshot left behind."""
        keep = {self._log_name}
        if self._reference is not None:
            keep.add(self._reference.name)
        for name in names:
            if name not in keep and name.startswith(
                (LOG_PREFIX, SNAPSHOT_PREFIX),
            ):
                self._files.remove(self._path(name))
