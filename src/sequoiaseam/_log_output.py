"""Output of log lines that never waits for the reader.

A process whose output is a pipe would otherwise stop serving as soon as the
pipe is full, because its reader is slow, stopped or has never read.
"""

import io
import os
import select
import stat
from collections.abc import Callable
from typing import Final, TextIO

# A pipe that is ready takes this many bytes without waiting (POSIX).
LINE_MAX_BYTES: Final = select.PIPE_BUF


class LogOutput(io.TextIOBase):
    """Text stream for lines that drops what its reader has no room for.

    ``format_loss`` returns the line that tells how many lines were dropped;
    it precedes the next line that is written. A file has always room.
    """

    def __init__(
        self, descriptor: int, format_loss: Callable[[int], str]
    ) -> None:
        self._descriptor = descriptor
        self._format_loss = format_loss
        self._dropped_lines = 0
        self._is_file = stat.S_ISREG(os.fstat(descriptor).st_mode)
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write a line, or drop it; an error of the reader drops it, too."""
        if self._dropped_lines and self._write_line(
            self._format_loss(self._dropped_lines)
        ):
            self._dropped_lines = 0
        if self._dropped_lines or not self._write_line(text):
            self._dropped_lines += 1
        return len(text)

    def _write_line(self, text: str) -> bool:
        """Return whether the whole line was written."""
        line = text.encode(errors="replace")
        if not self._is_file and (
            len(line) > LINE_MAX_BYTES or not self._has_room()
        ):
            return False
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            # The reader is gone or the disk is full.
            return False

    def _has_room(self) -> bool:
        return self._poll.poll(0) == [(self._descriptor, select.POLLOUT)]


def open_log_output(
    stream: TextIO, format_loss: Callable[[int], str]
) -> TextIO | LogOutput:
    """Return an output to the stream's descriptor.

    A stream without one, which is in memory, is returned itself.
    """
    try:
        descriptor = stream.fileno()
    except (OSError, AttributeError):
        return stream
    stream.flush()
    return LogOutput(descriptor, format_loss)
