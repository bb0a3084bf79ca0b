"""Durable journal of a replica: an append-only log file and a snapshot.

A log file is a sequence of frames. A frame consists of a magic number,
the payload's length, an xxh3 checksum over length and payload, and the
payload, a MessagePack array of encoded records. A frame is written with
one call and synced before the next one is written, so a crash can
damage only the last frame. A new log file replaces the old one at each
start and with each snapshot. Its initial frames are synced before the file
gets its name, so a crash can't damage them. Entries are read and written in
frames of limited size, so that no copy of the whole log is needed.
"""

import itertools
import os
import re
import struct
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, BinaryIO, Final

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
    LogFileHeader,
    Record,
    RestoredState,
    Snapshot,
    SnapshotReference,
    Truncated,
)
from sequoiaseam.errors import ErrorCode, SeamError

FRAME_MAGIC: Final = b"\xa5SQ1"
FRAME_HEADER: Final = struct.Struct(">4sIQ")
LOG_FILE_PREFIX: Final = "log-"
LOG_FILE_PATTERN: Final = re.compile(r"log-[0-9]+")
SNAPSHOT_FILE_PREFIX: Final = "snapshot-"
TEMPORARY_FILE_SUFFIX: Final = ".tmp"
# An initial frame has at most this many bytes of commands, or one entry.
INITIAL_FRAME_MAX_BYTES: Final = 1024 * 1024

RECORD_CODEC: Final = Codec(RECORD_TYPES)
SNAPSHOT_CODEC: Final = Codec((Snapshot,))
PAYLOAD_DECODER: Final = msgspec.msgpack.Decoder(tuple[bytes, ...])


def compute_checksum(payload: bytes) -> int:
    """Return the 64-bit xxh3 checksum over a payload's length and data."""
    digest = xxhash.xxh3_64(len(payload).to_bytes(4, "big"))
    digest.update(payload)
    return digest.intdigest()


def pack_frame(payload: bytes) -> bytes:
    """Return the frame of a payload: its header and the payload."""
    checksum = compute_checksum(payload)
    return FRAME_HEADER.pack(FRAME_MAGIC, len(payload), checksum) + payload


def read_frame(file: BinaryIO) -> bytes | None:
    """Return the payload of the frame at the file's position.

    Return None if the frame is incomplete or damaged.
    """
    header = file.read(FRAME_HEADER.size)
    if len(header) < FRAME_HEADER.size:
        return None
    magic, length, checksum = FRAME_HEADER.unpack(header)
    start = file.tell()
    # A damaged length may be that of no frame.
    if magic != FRAME_MAGIC or length > file.seek(0, os.SEEK_END) - start:
        return None
    file.seek(start)
    payload = file.read(length)
    return payload if compute_checksum(payload) == checksum else None


def has_valid_frame_after(file: BinaryIO, offset: int) -> bool:
    """Return whether a valid frame starts after ``offset``."""
    file.seek(offset)
    data = file.read()
    position = data.find(FRAME_MAGIC, 1)
    while position >= 0:
        file.seek(offset + position)
        if read_frame(file) is not None:
            return True
        position = data.find(FRAME_MAGIC, position + 1)
    return False


def split_entries(entries: Iterable[Entry]) -> Iterator[Entries]:
    """Yield the entries in records of at most INITIAL_FRAME_MAX_BYTES.

    A larger entry gets a record of its own.
    """
    batch: list[Entry] = []
    size_bytes = 0
    for entry in entries:
        size_bytes += len(entry.command)
        if batch and size_bytes > INITIAL_FRAME_MAX_BYTES:
            yield Entries(tuple(batch))
            batch, size_bytes = [], len(entry.command)
        batch.append(entry)
    if batch:
        yield Entries(tuple(batch))


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Return a frame with the records as payload."""
    encoded = tuple(RECORD_CODEC.encode(record) for record in records)
    return pack_frame(msgspec.msgpack.encode(encoded))


class Journal:
    """Journal in one folder.

    After a disk error it is unknown what the disk holds, so every later
    call raises DISK_FAILED as well. A new journal must open the folder
    again.
    """

    def __init__(self, folder: str, files: FileSystem) -> None:
        self._folder = folder
        self._files = files
        self._failed = False
        self._log_number = 0
        self._initial_frames = 1
        self._identity = ""
        self._hard_state = HardState()
        self._snapshot: Snapshot | None = None
        self._snapshot_reference: SnapshotReference | None = None
        self._entries: list[Entry] = []

    def open(self, create_identity: Callable[[], str]) -> RestoredState:
        """Read the folder, drop a torn last write and return the contents.

        An empty folder gets the identity that ``create_identity``
        returns. Raise SeamError JOURNAL_DAMAGED or DISK_FAILED.
        """
        with self._handle_disk_errors():
            self._files.make_folder(self._folder)
            names = self._files.list_names(self._folder)
            numbers = [
                int(name.removeprefix(LOG_FILE_PREFIX))
                for name in names
                if LOG_FILE_PATTERN.fullmatch(name)
            ]
            if numbers:
                self._log_number = max(numbers)
                self._load_log()
            elif any(self._is_snapshot_file(name) for name in names):
                raise self._create_damage_error("the log file is missing")
            self._remove_stale_files(names)
        if not self._identity:
            self._identity = create_identity()
        # Starts a new file: after a failed sync, reading the old one may
        # return bytes that are not on the disk and that a later sync
        # doesn't write again.
        self._replace_log_file()
        return RestoredState(
            self._identity,
            self._hard_state,
            self._snapshot,
            tuple(self._entries),
        )

    def append(self, records: tuple[Record, ...]) -> None:
        """Append the records and wait until they are durable.

        Raise SeamError DISK_FAILED.
        """
        with self._handle_disk_errors():
            path = self._build_path(self._log_file_name)
            self._files.append(path, encode_records(records))
            self._files.sync(path)
        for record in records:
            self._apply_record(record)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make the snapshot durable and discard the entries that it covers.

        Raise SeamError DISK_FAILED.
        """
        if self._snapshot and snapshot.index <= self._snapshot.index:
            return
        name = f"{SNAPSHOT_FILE_PREFIX}{snapshot.index}"
        frame = pack_frame(SNAPSHOT_CODEC.encode(snapshot))
        old = self._snapshot_reference
        self._write_file_atomically(name, (frame,))
        self._entries = self._find_entries_after(snapshot)
        self._snapshot = snapshot
        self._snapshot_reference = SnapshotReference(
            name,
            snapshot.index,
            snapshot.term,
        )
        self._replace_log_file()
        if old is not None and old.name != name:
            with self._handle_disk_errors():
                self._files.remove(self._build_path(old.name))

    @property
    def _log_file_name(self) -> str:
        return f"{LOG_FILE_PREFIX}{self._log_number}"

    @staticmethod
    def _is_snapshot_file(name: str) -> bool:
        return name.startswith(SNAPSHOT_FILE_PREFIX) and not name.endswith(
            TEMPORARY_FILE_SUFFIX,
        )

    def _build_path(self, name: str) -> str:
        return f"{self._folder}/{name}"

    @contextmanager
    def _handle_disk_errors(self) -> Iterator[None]:
        """Raise DISK_FAILED for a disk error and in every call after it."""
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

    def _write_file_atomically(
        self, name: str, frames: Iterable[bytes]
    ) -> None:
        """Create or replace a file atomically, also if the host crashes."""
        with self._handle_disk_errors():
            temporary = self._build_path(name + TEMPORARY_FILE_SUFFIX)
            names = self._files.list_names(self._folder)
            if name + TEMPORARY_FILE_SUFFIX in names:
                self._files.remove(temporary)
            for frame in frames:
                self._files.append(temporary, frame)
            self._files.sync(temporary)
            self._files.rename(temporary, self._build_path(name))
            self._files.sync_folder(self._folder)

    def _replace_log_file(self) -> None:
        """Write the current contents to a new log file; remove the old one."""
        old = self._log_number
        batches = tuple(split_entries(self._entries))
        records: list[Record] = [
            LogFileHeader(1 + len(batches)),
            IdentityRecord(self._identity),
            self._hard_state,
        ]
        if self._snapshot_reference is not None:
            records.append(self._snapshot_reference)
        name = f"{LOG_FILE_PREFIX}{old + 1}"
        self._write_file_atomically(
            name,
            itertools.chain(
                (encode_records(tuple(records)),),
                (encode_records((batch,)) for batch in batches),
            ),
        )
        self._log_number = old + 1
        if old:
            with self._handle_disk_errors():
                self._files.remove(self._build_path(f"{LOG_FILE_PREFIX}{old}"))

    def _find_entries_after(self, snapshot: Snapshot) -> list[Entry]:
        """Return the entries after the snapshot.

        There are none unless the log has the snapshot's last entry with
        the same term, since otherwise the later ones may conflict.
        """
        for position, entry in enumerate(self._entries):
            if entry.index == snapshot.index:
                same = entry.term == snapshot.term
                return self._entries[position + 1 :] if same else []
        return []

    def _load_log(self) -> None:
        path = self._build_path(self._log_file_name)
        self._initial_frames = 1
        with self._files.open(path) as file:
            for frame_count in itertools.count():
                offset = file.tell()
                payload = read_frame(file)
                if payload is None:
                    self._check_torn_tail(file, offset, frame_count)
                    break
                for encoded in PAYLOAD_DECODER.decode(payload):
                    self._apply_record(self._decode(RECORD_CODEC, encoded))
        if not self._identity:
            raise self._create_damage_error("the log has no identity")

    def _check_torn_tail(
        self, file: BinaryIO, offset: int, frame_count: int
    ) -> None:
        """Raise JOURNAL_DAMAGED unless the rest can be a torn last write."""
        is_incomplete = frame_count < self._initial_frames
        if is_incomplete or has_valid_frame_after(file, offset):
            raise self._create_damage_error(
                f"checksum mismatch at byte {offset}"
            )

    def _apply_record(self, record: Record) -> None:
        match record:
            case LogFileHeader(initial_frames):
                self._initial_frames = initial_frames
            case IdentityRecord(identity):
                self._identity = identity
            case HardState():
                self._hard_state = record
            case SnapshotReference():
                self._snapshot_reference = record
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
            raise self._create_damage_error(
                f"entry {entry.index} where {expected} was expected",
            )
        self._entries.append(entry)

    def _read_snapshot(self, reference: SnapshotReference) -> Snapshot:
        names = self._files.list_names(self._folder)
        if reference.name not in names:
            raise self._create_damage_error(f"{reference.name} is missing")
        with self._files.open(self._build_path(reference.name)) as file:
            payload = read_frame(file)
        if payload is None:
            raise self._create_damage_error(
                f"checksum mismatch in {reference.name}"
            )
        snapshot: Snapshot = self._decode(SNAPSHOT_CODEC, payload)
        return snapshot

    def _decode(self, codec: Codec, data: bytes) -> Any:
        try:
            return codec.decode(data)
        except SeamError as error:
            raise self._create_damage_error("undecodable record") from error

    def _create_damage_error(self, message: str) -> SeamError:
        return SeamError(
            ErrorCode.JOURNAL_DAMAGED,
            message,
            location=self._build_path(self._log_file_name),
        )

    def _remove_stale_files(self, names: tuple[str, ...]) -> None:
        """Remove files that an interrupted write or snapshot left behind."""
        keep = {self._log_file_name}
        if self._snapshot_reference is not None:
            keep.add(self._snapshot_reference.name)
        stale = [
            name
            for name in names
            if name not in keep
            and name.startswith((LOG_FILE_PREFIX, SNAPSHOT_FILE_PREFIX))
        ]
        if stale:
            # The process may have been killed, or have had a disk error,
            # between a rename and the sync of the folder. The stale files
            # are then all that a loss of power would leave.
            self._files.sync_folder(self._folder)
        for name in stale:
            self._files.remove(self._build_path(name))
