"""Control host process whose synced data is recorded, for power losses.

Run as a program, it runs the platform's control host. What the journal
has synced is recorded beside its folder, so that a test can end the process
and restore the folder to what a loss of all unsynced data leaves.
"""

import contextlib
import json
import os
import runpy
import shutil
import sys
from pathlib import Path
from typing import Final
from unittest.mock import patch

from sequoiaseam import _replica_runner
from sequoiaseam._files import DiskFileSystem
from sequoiaseam._journal import TEMPORARY_FILE_SUFFIX

CONTROL_PROGRAM: Final = Path(__file__).parent.parent / "platform" / "core.py"
NAMES_FILE: Final = "names.json"
# If this environment variable is set, appended records aren't recorded as
# synced.
BROKEN_SYNC_VARIABLE: Final = "SEQUOIASEAM_BROKEN_SYNC"


def get_record_folder(folder: str) -> Path:
    """Return the folder of the records about a data folder."""
    return Path(folder + "-synced")


class RecordingFileSystem(DiskFileSystem):
    """File system that records the synced length of files and names.

    Files are only appended to, so their length says what is durable. Each
    file is linked into the record, as its name may be removed later.
    """

    def sync(self, path: str) -> None:
        """Sync the file and record its length, in this order."""
        super().sync(path)
        if BROKEN_SYNC_VARIABLE in os.environ and not path.endswith(
            TEMPORARY_FILE_SUFFIX
        ):
            return
        self.record_length(path)

    def record_length(self, path: str) -> None:
        """Record the current length of a file as synced."""
        record = get_record_folder(str(Path(path).parent))
        record.mkdir(exist_ok=True)
        status = Path(path).stat()
        with contextlib.suppress(FileExistsError):
            os.link(path, record / f"{status.st_ino}")
        self._write(record / f"{status.st_ino}.length", str(status.st_size))

    def sync_folder(self, folder: str) -> None:
        """Sync the folder and record the file of each name."""
        super().sync_folder(folder)
        names = {
            path.name: path.stat().st_ino for path in Path(folder).iterdir()
        }
        record = get_record_folder(folder)
        self._write(record / NAMES_FILE, json.dumps(names))

    @staticmethod
    def _write(path: Path, content: str) -> None:
        temporary = path.with_suffix(".new")
        temporary.write_text(content)
        temporary.replace(path)


def lose_unsynced_data(folder: Path) -> None:
    """Restore a data folder to what has been synced."""
    record = get_record_folder(str(folder))
    if not (record / NAMES_FILE).exists():
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        return
    names = json.loads((record / NAMES_FILE).read_text())
    contents = {}
    for name, number in names.items():
        length_file = record / f"{number}.length"
        length = int(length_file.read_text()) if length_file.exists() else 0
        linked = record / f"{number}"
        data = linked.read_bytes() if linked.exists() else b""
        contents[name] = data[:length]
    for former in (folder, record):
        shutil.rmtree(former)
    folder.mkdir()
    files = RecordingFileSystem()
    for name, content in contents.items():
        files.append(f"{folder}/{name}", content)
        files.record_length(f"{folder}/{name}")
    files.sync_folder(str(folder))
    files.close()


def main() -> None:
    """Run the control host with a recorded disk."""
    patch.object(
        _replica_runner, "DiskFileSystem", RecordingFileSystem
    ).start()
    sys.path.insert(0, str(CONTROL_PROGRAM.parent))
    runpy.run_path(str(CONTROL_PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
