"""What tells afterwards how a process ended.

A process that the kernel ends can't write a line. So a program with a data
folder keeps a marker there, from which its next process learns whether it
ended in order.
"""

import contextlib
import faulthandler
import json
import os
import resource
import stat
import sys
import traceback
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, Final, TextIO

from sequoiaseam._logs import Level, describe_error, log_event

MARKER_FILE: Final = "last-process.json"
MARKER_SIZE_MAX_BYTES: Final = 4096
# Calls in which an unexpected error came about, the innermost last.
LOGGED_FRAMES_MAX: Final = 8
KIBIBYTE: Final = 1024


def read_peak_memory() -> int:
    """Return the largest resident size of this process so far in bytes.

    What ``getrusage`` returns includes that of the process that started it.
    """
    with contextlib.suppress(OSError, ValueError):
        for line in Path("/proc/self/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * KIBIBYTE
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE


def read_address_space_limit() -> int | None:
    """Return the limit of this process' address space in bytes, if any."""
    limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    return None if limit == resource.RLIM_INFINITY else limit


def list_frames(error: BaseException) -> list[str]:
    """Return where an error was raised, without its message.

    The message may quote a request.
    """
    frames = traceback.extract_tb(error.__traceback__)
    return [
        f"{Path(frame.filename).name}:{frame.lineno}"
        for frame in frames[-LOGGED_FRAMES_MAX:]
    ]


def log_process_end(
    name: str,
    reason: str,
    status: int,
    error: BaseException | None = None,
    **details: object,
) -> None:
    """Log that this process ends, why and with which status.

    Nothing that fails here may keep the process from its end.
    """
    with contextlib.suppress(Exception):
        log_event(
            Level.INFO if status == 0 else Level.ERROR,
            "process ended",
            host=name,
            reason=reason,
            status=status,
            peak_memory=read_peak_memory(),
            address_space_limit=read_address_space_limit(),
            **details,
            **({} if error is None else _describe(error)),
        )


def _describe(error: BaseException) -> dict[str, object]:
    return {**describe_error(error), "frames": list_frames(error)}


def enable_crash_log(stream: TextIO | None = None) -> bool:
    """Have a crash of compiled code write its calls; return whether it will.

    The output is opened anew, so that it doesn't wait for the reader of a
    full pipe, while other users of the same pipe do. A socket can't be.
    """
    try:
        descriptor = (stream or sys.stderr).fileno()
        if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            return False
        flags = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_CLOEXEC
        faulthandler.enable(os.open(f"/proc/self/fd/{descriptor}", flags))
    except (OSError, ValueError, AttributeError):
        return False
    return True


@dataclass(frozen=True, slots=True)
class FormerProcess:
    """What a marker tells of the last process of a host.

    ``reason`` is empty for one that didn't end in order.
    """

    started_at: str
    ended_at: str
    reason: str


class EndMarker:
    """Marker of a running process in a data folder.

    Its methods wait for the disk, so they are called in threads, and nothing
    is synced: what the last process was may be lost with the machine. A disk
    that fails leaves it unknown.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / MARKER_FILE
        self._started_at = ""

    def start(self, now: datetime) -> FormerProcess | None:
        """Mark this process as running; return what is known of the last."""
        former = self._read()
        self._started_at = now.isoformat()
        self._write({})
        if former is None:
            return None
        return FormerProcess(
            str(former.get("started_at", "")),
            str(former.get("ended_at", "")),
            str(former.get("reason", "")),
        )

    def end(self, now: datetime, reason: str) -> None:
        """Record that this process ends in order.

        A process that was started before this one has ended owns the marker.
        """
        marker = self._read()
        if (
            marker is not None
            and marker.get("started_at") == self._started_at
            and marker.get("process") == os.getpid()
        ):
            self._write({"ended_at": now.isoformat(), "reason": reason})

    def _read(self) -> dict[str, Any] | None:
        try:
            with self._path.open("rb") as file:
                marker = json.loads(file.read(MARKER_SIZE_MAX_BYTES))
        except (OSError, ValueError):
            return None
        return marker if isinstance(marker, dict) else None

    def _write(self, details: dict[str, str]) -> None:
        """Replace the marker; remove one that can't be replaced."""
        marker = {
            "process": os.getpid(),
            "started_at": self._started_at,
            **details,
        }
        try:
            self._path.write_text(json.dumps(marker))
        except OSError:
            with contextlib.suppress(OSError):
                self._path.unlink()


def log_former_process(name: str, former: FormerProcess) -> None:
    """Log whether the last process of this host ended in order."""
    log_event(
        Level.INFO if former.reason else Level.WARNING,
        "last process ended in order"
        if former.reason
        else "last process did not end in order",
        host=name,
        started_at=former.started_at,
        ended_at=former.ended_at,
        reason=former.reason,
    )
