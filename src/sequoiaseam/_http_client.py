"""HTTP/1.1 connections to the backend server, kept and reused.

One request at a time on a connection. The parser is llhttp (httptools).
An answer counts only when it is whole and names its request, because a
server may send one late, twice, or cut.
"""

import asyncio
import enum
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final

import httptools

from sequoiaseam._clock import Clock
from sequoiaseam._http_server import BODILESS, Fields

CONNECT_TIMEOUT: Final = timedelta(seconds=1)
# A server may close an idle connection just as a request is sent; what
# isn't idempotent goes only on connections that were used this recently.
FRESH_IDLE: Final = timedelta(seconds=1)
IDLE_DEFAULT: Final = timedelta(seconds=4)
# Part of the announced idle time after which a connection isn't reused.
IDLE_PART: Final = 0.6
KEEP_ALIVE_TIMEOUT: Final = re.compile(rb"timeout=(\d{1,6})")


class Failure(enum.Enum):
    """Why there is no answer."""

    UNREACHABLE = "unreachable"  # No connection, so nothing was sent.
    BROKEN = "broken"  # Sent; the connection ended without a whole answer.
    GARBLED = "garbled"  # Sent; what came back is no answer to it.


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """A whole answer; names of fields are in lower case."""

    status: int
    fields: Fields
    body: bytes


Outcome = BackendResponse | Failure
OnOutcome = Callable[[Outcome], None]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request to the backend server until its outcome.

    ``data`` is the whole message. ``echo`` is the field and value by
    which the answer names its request, None where servers name none.
    """

    data: bytes
    echo: tuple[bytes, bytes] | None
    head_only: bool
    idempotent: bool
    done: OnOutcome = field(repr=False)
    connection: "BackendConnection | None" = None
    ended: bool = False

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome once."""
        if not self.ended:
            self.ended = True
            self.done(outcome)

    def cancel(self) -> None:
        """Give up: close the connection, which tells the server."""
        self.ended = True
        if self.connection is not None:
            self.connection.abort()


class BackendPool:
    """Connections to one backend server."""

    def __init__(self, host: str, port: int, clock: Clock) -> None:
        self._host = host
        self._port = port
        # Time of the last sweep, near enough for idle times.
        self.swept = clock.now()
        self._idle: list[BackendConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0

    def send(self, request: PendingRequest) -> None:
        """Send on a kept connection, or open one."""
        connection = self._take(idempotent=request.idempotent)
        if connection is not None:
            connection.send(request)
            return
        task = asyncio.get_running_loop().create_task(self._open(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take(self, *, idempotent: bool) -> "BackendConnection | None":
        now = self.swept
        while self._idle:
            connection = self._idle[-1]
            if not connection.is_usable(now):
                self._idle.pop()
                connection.abort()
                continue
            if not idempotent and now - connection.since > FRESH_IDLE:
                return None
            return self._idle.pop()
        return None

    async def _open(self, request: PendingRequest) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(self),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError):
            request.finish(Failure.UNREACHABLE)
            return
        self.opened += 1
        if request.ended:
            self.give_back(connection)
        else:
            connection.send(request)

    def give_back(self, connection: "BackendConnection") -> None:
        """Keep a connection for the next request."""
        self._idle.append(connection)

    def forget(self, connection: "BackendConnection") -> None:
        """Drop a connection that has ended."""
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self, now: datetime) -> None:
        """Close the connections that have been idle too long.

        To be called every 50 ms or so.
        """
        self.swept = now
        for connection in [c for c in self._idle if not c.is_usable(now)]:
            self._idle.remove(connection)
            connection.abort()

    def close(self) -> None:
        """End the idle connections; others end with their call."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()


class BackendConnection(asyncio.Protocol):
    """One connection to the backend server."""

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool
        self._transport: Any = None
        self._call: PendingRequest | None = None
        self._closed = False
        self._keep_for = IDLE_DEFAULT
        self.since = pool.swept
        self._start_parser()

    def _start_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self._fields: Fields = []
        self._chunks: list[bytes] = []
        self._answer: BackendResponse | None = None
        self._until_end = False

    def is_usable(self, now: datetime) -> bool:
        """Return whether the server can be expected to still read."""
        return not self._closed and now - self.since < self._keep_for

    def send(self, request: PendingRequest) -> None:
        """Send a request."""
        self._call = request
        request.connection = self
        self._reset()
        self._transport.write(request.data)

    def abort(self) -> None:
        """End the connection at once."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a cut answer; an answer may also end with its connection."""
        self._closed = True
        self._pool.forget(self)
        if self._call is None:
            return
        if self._until_end and exc is None:
            self._complete()
        self._settle(Failure.BROKEN)

    def eof_received(self) -> bool:
        """End an answer without a length; its end is the connection's."""
        if self._until_end and self._call is not None:
            self._complete()
            self._settle(Failure.GARBLED)
        return False

    def data_received(self, data: bytes) -> None:
        """Parse; bytes that belong to no request end the connection."""
        if self._call is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # An answer that was whole before the bad bytes counts.
            self._closed = True
            self._settle(Failure.GARBLED)
            return
        if self._answer is not None:
            self._settle(Failure.GARBLED)

    # Parser.

    def on_message_begin(self) -> None:
        """Begin an answer; one beyond the own ends the connection."""
        if self._answer is not None:
            self._closed = True
        else:
            self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        if self._answer is None:
            self._fields.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Find out where the answer ends."""
        if self._call is None or self._answer is not None:
            return
        status = self._parser.get_status_code()
        names = {name for name, _ in self._fields}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._until_end = not framed and status not in BODILESS
        if self._call.head_only and status >= 200:
            self._closed = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._answer is None:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Take the answer if it is this request's."""
        if self._answer is None and self._parser.get_status_code() >= 200:
            self._complete()

    # Outcomes.

    def _complete(self) -> None:
        """Note the whole answer, unless it names another request."""
        request = self._call
        if request is None:
            return
        if request.echo is not None and request.echo not in self._fields:
            if any(name == request.echo[0] for name, _ in self._fields):
                # A late answer to an earlier request; the own follows.
                return
            self._closed = True
            self._settle(Failure.GARBLED)
            return
        self._answer = BackendResponse(
            self._parser.get_status_code(),
            self._fields,
            b"".join(self._chunks),
        )

    def _settle(self, otherwise: Failure) -> None:
        """Report the answer, or why there is none."""
        request, self._call = self._call, None
        if self._answer is None:
            self.abort()
        else:
            self._keep()
        if request is not None:
            request.finish(self._answer or otherwise)

    def _keep(self) -> None:
        """Return the connection to the pool unless it ends."""
        self.since = self._pool.swept
        for name, value in self._fields:
            if name == b"connection" and b"close" in value.lower():
                self._closed = True
            elif name == b"keep-alive":
                self._note_timeout(value)
        if self._closed or self._until_end:
            self.abort()
        else:
            self._pool.give_back(self)

    def _note_timeout(self, value: bytes) -> None:
        match = KEEP_ALIVE_TIMEOUT.search(value)
        if match is not None:
            self._keep_for = timedelta(
                seconds=IDLE_PART * int(match.group(1)),
            )
