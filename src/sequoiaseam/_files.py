"""The few file operations that the journal needs."""

import os
from pathlib import Path
from typing import Protocol


class FileSystem(Protocol):
    """Files by path; errors are OSError.

    What was appended, renamed or removed is durable only after ``sync``
    of the file, or ``sync_folder`` for names.
    """

    def make_folder(self, folder: str) -> None:
        """Create the folder unless it exists."""

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the names of the files in the folder."""

    def read(self, path: str) -> bytes:
        """Return the whole file."""

    def append(self, path: str, data: bytes) -> None:
        """Write at the end of the file, creating it if necessary."""

    def sync(self, path: str) -> None:
        """Make the contents of the file durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync_folder(self, folder: str) -> None:
        """Make the names in the folder durable."""


class DiskFileSystem:
    """Files of the operating system; appended files stay open."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}

    def make_folder(self, folder: str) -> None:
        """Create the folder unless it exists."""
        Path(folder).mkdir(parents=True, exist_ok=True)

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the names of the files in the folder."""
        return tuple(sorted(os.listdir(folder)))  # noqa: PTH208

    def read(self, path: str) -> bytes:
        """Return the whole file."""
        return Path(path).read_bytes()

    def append(self, path: str, data: bytes) -> None:
        """Write at the end of the file, creating it if necessary."""
        handle = self._handle(path)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, path: str) -> None:
        """Make the contents of the file durable."""
        os.fsync(self._handle(path))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""
        self._close(old)
        self._close(new)
        Path(old).replace(new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        self._close(path)
        Path(path).unlink()

    def sync_folder(self, folder: str) -> None:
        """Make the names in the folder durable."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Close all files."""
        for path in tuple(self._open):
            self._close(path)

    def _handle(self, path: str) -> int:
        if path not in self._open:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._open[path] = os.open(path, flags, 0o600)
        return self._open[path]

    def _close(self, path: str) -> None:
        handle = self._open.pop(path, None)
        if handle is not None:
            os.close(handle)
