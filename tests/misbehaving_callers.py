"""Callers that use far more than they need, as real connections.

A form of misbehaviour is the bytes that each caller of a crowd sends, and how
it sends and reads. Each caller keeps its connection open until it is closed by
the server or the crowd is dismissed.
"""

import asyncio
import contextlib
import itertools
import socket
import struct
from dataclasses import dataclass, field
from typing import Final

# Limits of the configuration that the tests use, below the usual ones, so that
# a small crowd goes beyond what a process may hold.
HEADER_MAX_BYTES: Final = 8 * 1024
BODY_MAX_BYTES: Final = 1024 * 1024
# What a caller sends that goes beyond a limit. Sixteen of them are more than a
# process may hold.
EXCESS_BYTES: Final = 16 * BODY_MAX_BYTES
EXCESS_PIECE_BYTES: Final = 64 * 1024
SMALL_PIECE_BYTES: Final = 2 * 1024
SMALL_PIECES_BODY_BYTES: Final = 128 * 1024
CHUNK_COUNT: Final = 4 * 1024  # of one byte each
PIPELINED_BYTES: Final = 1024 * 1024
SLOW_READER_REQUESTS: Final = 32
# Of a receive buffer; the kernel doubles it. What a caller doesn't read then
# stays with the server.
RECEIVE_BUFFER_BYTES: Final = 4 * 1024
SLOW_INTERVAL: Final = 0.2
# Of a connection to the internal port of a control host.
FRAME_HEADER: Final = struct.Struct(">IB")
OPENING_MAX_BYTES: Final = 64 * 1024
FRAME_MAX_BYTES: Final = 40 * 1024 * 1024
OPENING_KIND: Final = 0


@dataclass(frozen=True, slots=True)
class Form:
    """What each caller of a crowd sends, and how it sends and reads.

    ``pause`` is the time in seconds between two pieces. ``read_size`` bytes
    are read in each SLOW_INTERVAL after the last piece, 0 for none.
    """

    pieces: tuple[bytes, ...]
    pause: float = 0.0
    read_size: int = 0


@dataclass(frozen=True, slots=True)
class Target:
    """Where callers send their requests, and those requests' header."""

    host: str
    port: int
    path: str
    method: str = "GET"
    fields: tuple[str, ...] = ()

    def format_head(
        self,
        *fields: str,
        method: str = "",
        path: str = "",
        is_complete: bool = True,
    ) -> bytes:
        """Return the header of a request with further fields."""
        lines = (
            f"{method or self.method} {path or self.path} HTTP/1.1",
            "Host: any.example",
            *self.fields,
            *fields,
        )
        end = "\r\n\r\n" if is_complete else "\r\n"
        return ("\r\n".join(lines) + end).encode()


def split(data: bytes, size: int) -> tuple[bytes, ...]:
    """Return the data in pieces of a size."""
    return tuple(
        data[start : start + size] for start in range(0, len(data), size)
    )


class HttpForms:
    """Forms of misbehaviour of callers that send HTTP requests."""

    def __init__(self, target: Target) -> None:
        self.target = target

    def _announce(self, size: int) -> bytes:
        return self.target.format_head(
            f"Content-Length: {size}", method="POST"
        )

    def _begin_chunked(self) -> bytes:
        return self.target.format_head(
            "Transfer-Encoding: chunked", method="POST"
        )

    def whole_bodies(self) -> Form:
        """Return bodies of the largest size, each in one piece."""
        body = bytes(BODY_MAX_BYTES)
        return Form((self._announce(BODY_MAX_BYTES) + body,))

    def small_pieces(self) -> Form:
        """Return bodies in small pieces."""
        body = bytes(SMALL_PIECES_BODY_BYTES)
        return Form(
            (self._announce(len(body)), *split(body, SMALL_PIECE_BYTES))
        )

    def one_byte_chunks(self) -> Form:
        """Return chunked bodies of one byte a chunk, without their end."""
        chunks = b"1\r\nx\r\n" * CHUNK_COUNT
        return Form((self._begin_chunked(), *split(chunks, 4 * 1024)))

    def stop_before_the_end(self) -> Form:
        """Return bodies of the largest size without their last byte."""
        body = bytes(BODY_MAX_BYTES - 1)
        return Form((self._announce(BODY_MAX_BYTES) + body,))

    def excess_with_length(self) -> Form:
        """Return bodies far over the limit, whose length is declared."""
        pieces = split(bytes(EXCESS_BYTES), EXCESS_PIECE_BYTES)
        return Form((self._announce(EXCESS_BYTES), *pieces))

    def excess_without_length(self) -> Form:
        """Return bodies far over the limit, in chunks."""
        chunk = (
            b"%x\r\n" % EXCESS_PIECE_BYTES
            + bytes(EXCESS_PIECE_BYTES)
            + b"\r\n"
        )
        count = EXCESS_BYTES // EXCESS_PIECE_BYTES
        return Form((self._begin_chunked(), *itertools.repeat(chunk, count)))

    def short_fields(self) -> Form:
        """Return unfinished headers of legal size with many short fields."""
        head = self.target.format_head(is_complete=False)
        return Form((head + b"a:\r\n" * (HEADER_MAX_BYTES // 6),))

    def excess_of_short_fields(self) -> Form:
        """Return headers far over the limit that consist of short fields."""
        head = self.target.format_head(is_complete=False)
        fields = split(b"a:\r\n" * (EXCESS_BYTES // 16), EXCESS_PIECE_BYTES)
        return Form((head, *fields))

    def query_parameters(self) -> Form:
        """Return targets of legal size with many parameters, sent ahead."""
        separator = "&" if "?" in self.target.path else "?"
        parameters = "a=&" * (HEADER_MAX_BYTES // 4)
        path = f"{self.target.path}{separator}{parameters}"
        request = self.target.format_head(path=path)
        return Form((request,) * 32)

    def trailers(self) -> Form:
        """Return chunked bodies that many trailer fields follow."""
        fields = split(b"a:\r\n" * (EXCESS_BYTES // 16), EXCESS_PIECE_BYTES)
        return Form((self._begin_chunked() + b"1\r\nx\r\n0\r\n", *fields))

    def requests_sent_ahead(self) -> Form:
        """Return many requests on a connection whose responses aren't read."""
        request = self.target.format_head()
        requests = request * (PIPELINED_BYTES // len(request))
        return Form(split(requests, EXCESS_PIECE_BYTES))

    def slow_senders(self) -> Form:
        """Return requests that are sent byte by byte."""
        return Form(split(self.target.format_head(), 1), pause=SLOW_INTERVAL)

    def slow_readers(self) -> Form:
        """Return callers that read some bytes now and then."""
        requests = self.target.format_head() * SLOW_READER_REQUESTS
        return Form((requests,), read_size=64)

    def stop_half_way(self) -> Form:
        """Return headers that end in the middle."""
        head = self.target.format_head("X-Half: 1")
        return Form((head[: len(head) // 2],))


class FrameForms(HttpForms):
    """Forms of callers of an internal port of a control host.

    Where a form consists of parts of HTTP only, its bytes are sent as they
    are: the port may be reached by any program.
    """

    def _announce(self, size: int) -> bytes:
        """Return the header of a frame that may open a stream."""
        size = min(size, OPENING_MAX_BYTES)
        return FRAME_HEADER.pack(size, OPENING_KIND)

    def _begin_chunked(self) -> bytes:
        return b""

    def whole_bodies(self) -> Form:
        """Return frames of the largest size that may open a stream."""
        body = bytes(OPENING_MAX_BYTES)
        return Form((self._announce(OPENING_MAX_BYTES) + body,) * 16)

    def small_pieces(self) -> Form:
        """Return such frames in small pieces."""
        body = bytes(OPENING_MAX_BYTES)
        return Form(
            (self._announce(len(body)), *split(body, SMALL_PIECE_BYTES))
        )

    def one_byte_chunks(self) -> Form:
        """Return frames of one byte."""
        frames = (FRAME_HEADER.pack(1, OPENING_KIND) + b"x") * CHUNK_COUNT
        return Form(split(frames, 4 * 1024))

    def stop_before_the_end(self) -> Form:
        """Return frames of the largest size without their last byte."""
        body = bytes(OPENING_MAX_BYTES - 1)
        return Form((self._announce(OPENING_MAX_BYTES) + body,))

    def excess_with_length(self) -> Form:
        """Return frames that are far too large to open a stream."""
        header = FRAME_HEADER.pack(FRAME_MAX_BYTES, OPENING_KIND)
        pieces = split(bytes(EXCESS_BYTES), EXCESS_PIECE_BYTES)
        return Form((header, *pieces))


@dataclass(slots=True)
class Crowd:
    """Callers of one form, each on a connection of its own."""

    target: Target
    form: Form
    count: int
    _sockets: list[socket.socket] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def run(self, time_limit: float) -> None:
        """Let all callers send, for this many seconds at most."""
        for _ in range(self.count):
            self._tasks.append(asyncio.create_task(self._run_caller()))
        await asyncio.wait(self._tasks, timeout=time_limit)

    async def dismiss(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._sockets:
            connection.close()

    async def _run_caller(self) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setblocking(False)  # noqa: FBT003
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        # The server may close the connection at any time.
        with contextlib.suppress(OSError):
            await loop.sock_connect(
                connection, (self.target.host, self.target.port)
            )
            for piece in self.form.pieces:
                await loop.sock_sendall(connection, piece)
                if self.form.pause:
                    await asyncio.sleep(self.form.pause)
            is_open = self.form.read_size > 0
            while is_open:
                await asyncio.sleep(SLOW_INTERVAL)
                data = await loop.sock_recv(connection, self.form.read_size)
                is_open = bool(data)
