"""Content of large bodies, which is sent and checked without keeping it.

It is the same for all, from a place on that the id of the request gives, and
repeats after a number of bytes that no size or offset is a multiple of.
"""

import random
from collections.abc import Iterator
from typing import Final

# A prime.
PERIOD_BYTES: Final = 1_000_003
# Longest part that is sent or compared at once, as much as asyncio receives.
PART_BYTES_MAX: Final = 256 * 1024
_PERIOD: Final = random.Random(0).randbytes(PERIOD_BYTES)
_CONTENT: Final = _PERIOD + _PERIOD[:PART_BYTES_MAX]
_VIEW: Final = memoryview(_CONTENT)


def find_start(request_id: str, *, is_answer: bool = False) -> int:
    """Return where the content of a request or its answer starts."""
    return (int(request_id, 16) + is_answer * PERIOD_BYTES // 2) % PERIOD_BYTES


def iterate_parts(start: int, size: int, longest: int) -> Iterator[memoryview]:
    """Yield the content from a start on."""
    sent = 0
    while sent < size:
        at = (start + sent) % PERIOD_BYTES
        length = min(longest, size - sent)
        yield _VIEW[at : at + length]
        sent += length


def describe_content(request_id: str, size: int) -> bytes:
    """Return what stands for a large body in the record."""
    return f"{size} bytes for {request_id}".encode()


class ReceivedBody:
    """A body of a known size, which arrives in parts.

    It is kept, or compared with the content from a start on.
    """

    def __init__(self, size: int, start: int | None = None) -> None:
        self.size = size
        self._missing = size
        self._start = start
        self._position = start or 0
        self._kept = bytearray()
        # Whether it is the content, as far as it is compared.
        self.sound = True

    @property
    def complete(self) -> bool:
        """Return whether all of it has arrived."""
        return not self._missing

    @property
    def kept(self) -> bytes:
        """Return the body, if it is kept."""
        return bytes(self._kept)

    def feed(self, data: bytes) -> bytes:
        """Take a part and return what comes behind the body."""
        part, rest = data[: self._missing], data[self._missing :]
        self._missing -= len(part)
        if self._start is None:
            self._kept += part
        else:
            self._compare(part)
        return rest

    def _compare(self, data: bytes) -> None:
        for offset in range(0, len(data), PART_BYTES_MAX):
            part = data[offset : offset + PART_BYTES_MAX]
            at = self._position % PERIOD_BYTES
            self.sound &= _CONTENT[at : at + len(part)] == part
            self._position += len(part)
