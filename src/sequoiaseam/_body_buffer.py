"""Collection of a body that arrives in parts, without copies of it."""

import io


class BodyBuffer:
    """The parts of one body; ``length`` is its size in bytes if known.

    A body of known length is allocated once: buffers that grow would leave
    gaps in memory where many bodies arrive at the same time. A list of parts
    would take many times the size of small ones.
    """

    def __init__(self, length: int | None) -> None:
        self._length = length
        self.size = 0
        # The body while it is a single part.
        self._first_part = b""
        self._buffer: io.BytesIO | None = None

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.size += len(part)
        if self._buffer is not None:
            self._buffer.write(part)
        elif self._first_part:
            self._buffer = self._create_buffer()
            self._buffer.write(self._first_part)
            self._buffer.write(part)
            self._first_part = b""
        else:
            self._first_part = part

    def _create_buffer(self) -> io.BytesIO:
        buffer = io.BytesIO()
        if self._length is not None and self._length >= self.size:
            buffer.seek(self._length - 1)
            buffer.write(b"\0")
            buffer.seek(0)
        return buffer

    def take(self) -> bytes:
        """Return the body, which isn't held here any longer.

        It must be complete if its length is known.
        """
        buffer, self._buffer = self._buffer, None
        part, self._first_part = self._first_part, b""
        self.size = 0
        # The content of the buffer isn't copied.
        return part if buffer is None else buffer.getvalue()
