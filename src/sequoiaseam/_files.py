"""File operations that the journal needs, and their interface."""

import os
from pathlib import Path
from typing import BinaryIO, Protocol


class FileSystem(Protocol):
    """Access to files by path; failures raise OSError.

    Appended data is durable only after ``sync`` of the file. Created,
    renamed and removed names are durable only after ``sync_folder``.
    """

    def make_folder(self, folder: str) -> None:
        """Create the folder unless it exists."""

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the names of the files in the folder."""

    def open(self, path: str) -> BinaryIO:
        """Open the file for reading."""

    def append(self, path: str, data: bytes) -> None:
        """Append to the file, creating it if necessary."""

    def sync(self, path: str) -> None:
        """Make the contents of the file durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync_folder(self, folder: str) -> None:
        """Make the directory entries of the folder durable."""


class DiskFileSystem:
    """Files of the operating system.

    A file that was appended to stays open until it is renamed or removed,
    or until ``close``.
    """

    def __init__(self) -> None:
        self._descriptors: dict[str, int] = {}

    def make_folder(self, folder: str) -> None:
        """Create the folder and its parents unless they exist."""
        Path(folder).mkdir(parents=True, exist_ok=True)

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the names of the files in the folder, sorted."""
        return tuple(sorted(os.listdir(folder)))  # noqa: PTH208

    def open(self, path: str) -> BinaryIO:
        """Open the file for reading."""
        return Path(path).open("rb")

    def append(self, path: str, data: bytes) -> None:
        """Append to the file, creating it if necessary."""
        descriptor = self._get_descriptor(path)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, path: str) -> None:
        """Make the contents of the file durable."""
        os.fsync(self._get_descriptor(path))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""
        self._close_file(old)
        self._close_file(new)
        Path(old).replace(new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        self._close_file(path)
        Path(path).unlink()

    def sync_folder(self, folder: str) -> None:
        """Make the directory entries of the folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all open files."""
        for path in tuple(self._descriptors):
            self._close_file(path)

    def _get_descriptor(self, path: str) -> int:
        if path not in self._descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptors[path] = os.open(path, flags, 0o600)
        return self._descriptors[path]

    def _close_file(self, path: str) -> None:
        descriptor = self._descriptors.pop(path, None)
        if descriptor is not None:
            os.close(descriptor)
