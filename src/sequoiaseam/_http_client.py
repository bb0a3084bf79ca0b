"""HTTP/1.1 client for the backend server, with a connection pool.

Each connection carries one request at a time. The parser is llhttp
(httptools). A response is accepted only if it is complete and names its
request, because a server may send one late, twice or truncated.
"""

import asyncio
import enum
import fcntl
import re
import sys
import termios
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import partial
from typing import Any, Final

import httptools

from sequoiaseam._body_buffer import BodyBuffer
from sequoiaseam._clock import Clock
from sequoiaseam._http_server import STATUSES_WITHOUT_BODY, HeaderFields
from sequoiaseam._listeners import connect
from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._memory import (
    LARGE_MIN_BYTES,
    MemoryBudget,
    MemoryUse,
    ResponseReservation,
)
from sequoiaseam._unread_input import InputPoll, has_ended

CONNECT_TIMEOUT: Final = timedelta(seconds=1)
# A server may close an idle connection just as a request is sent. A request
# that isn't idempotent is sent only on connections idle for at most this long.
NON_IDEMPOTENT_IDLE_MAX: Final = timedelta(seconds=1)
# Idle connections that stay as a new one is opened for a request whose id is
# that of the last response on an idle one.
REPEATED_ID_IDLE_MAX: Final = 8
DEFAULT_IDLE_TIMEOUT: Final = timedelta(seconds=4)
# Fraction of the idle timeout announced by the server after which a
# connection isn't reused.
ANNOUNCED_IDLE_FRACTION: Final = 0.6
# Statuses of responses (RFC 9110, section 15). The parser accepts any three
# digits, but 101 only as the end of the protocol.
INTERIM_STATUSES: Final = range(100, 200)
FINAL_STATUSES: Final = range(200, 600)
# Bytes outside of bodies, such as header fields, that a server may send for
# a request, and the further ones for each byte of the bodies: a chunk of a
# single byte takes five more bytes.
OVERHEAD_MAX_BYTES: Final = 128 * 1024
OVERHEAD_PER_BODY_BYTE: Final = 8
# Starts of responses that are looked for in bytes that belong to no request.
# Each is parsed with all that follows it.
SURPLUS_RESPONSES_MAX: Final = 16
# The start of a response, or as much of it as the received data holds.
RESPONSE_START_PATTERN: Final = re.compile(
    rb"H(?:\Z|T(?:\Z|T(?:\Z|P(?:\Z|/(?:\Z|1(?:\Z|\.))))))"
)
KEEP_ALIVE_TIMEOUT_PATTERN: Final = re.compile(rb"timeout=(\d{1,6})")


class Failure(enum.Enum):
    """Why a request has no response."""

    UNREACHABLE = "unreachable"  # No connection, so nothing was sent.
    BROKEN = "broken"  # Sent; closed before a whole response.
    GARBLED = "garbled"  # Sent; received no valid response to it.
    OVERSIZED = "oversized"  # Sent; the response exceeded a size limit.


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """A complete response, with field names in lower case."""

    status: int
    fields: HeaderFields
    body: bytes


Outcome = BackendResponse | Failure
OutcomeCallback = Callable[[Outcome], None]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request to the backend server until its outcome.

    ``head`` is the encoded request up to its body. ``correlation_field`` is
    the field and value by which the response names its request, None if
    servers send no such field.
    """

    head: bytes
    body: bytes = field(repr=False)
    correlation_field: tuple[bytes, bytes] | None
    head_only: bool
    idempotent: bool
    on_outcome: OutcomeCallback = field(repr=False)
    connection: "BackendConnection | None" = None
    ended: bool = False

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome, unless the request has already ended."""
        if not self.ended:
            on_outcome = self.on_outcome
            self._end()
            on_outcome(outcome)

    def cancel(self) -> None:
        """Close the connection, which tells the server to stop.

        No outcome is reported.
        """
        self._end()
        if self.connection is not None:
            self.connection.abort()

    @property
    def is_quiet(self) -> bool:
        """Return whether it was sent whole and nothing came back yet."""
        return self.connection is not None and self.connection.is_quiet

    def retire_connection(self) -> None:
        """Let no other request be sent on the connection of this one."""
        if self.connection is not None:
            self.connection.retire()

    def _end(self) -> None:
        """Release the request's data and what the callback refers to.

        The callback's owner refers to this request. Such a cycle, and the
        body in it, would stay in memory until the next garbage collection.
        """
        self.ended = True
        self.head = self.body = b""
        self.on_outcome = _ignore_outcome


def _ignore_outcome(outcome: Outcome) -> None:
    """Ignore the outcome of a request that has ended."""


def _ignore_loss() -> None:
    """Ignore the loss of all connections."""


class BackendPool:
    """Connection pool of one backend server."""

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock,
        budget: MemoryBudget,
        on_connections_lost: Callable[[], None] = _ignore_loss,
    ) -> None:
        self._on_connections_lost = on_connections_lost
        self._host = host
        self._port = port
        self._clock = clock
        self.budget = budget
        # Time of the last sweep. Connections that count as idle since then
        # seem idle for longer than they are.
        self.last_sweep = clock.now()
        # All open connections.
        self.connections: set[BackendConnection] = set()
        self._idle: list[BackendConnection] = []
        # Connections on which a part of a body of unknown length has been
        # received.
        self._receiving: dict[BackendConnection, int] = {}
        self._incomplete_bodies_size = 0
        # Connections that aren't read until there is room for the response.
        self.waiting: set[BackendConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.opened_count = 0

    @property
    def in_use(self) -> bool:
        """Return whether connections are open or being opened."""
        return bool(self.connections or self._tasks)

    def send(self, request: PendingRequest) -> None:
        """Send a request on an idle connection or a new one."""
        connection = self._acquire_idle(request)
        if connection is not None:
            connection.send(request)
            return
        task = asyncio.get_running_loop().create_task(self._open(request))
        self._tasks.add(task)
        task.add_done_callback(partial(self._end_opening, request))

    def _acquire_idle(
        self, request: PendingRequest
    ) -> "BackendConnection | None":
        """Return an idle connection that suits the request, if any."""
        if request.correlation_field is None:
            # A late response to an earlier request could not be told apart.
            return None
        # The last sweep may be long ago if the event loop is late.
        now = self._clock.now()
        while self._idle:
            connection = self._idle[-1]
            is_lost = not connection.is_open or connection.has_unread_input
            if is_lost or not connection.is_usable(now):
                self._idle.pop()
                connection.abort()
                if is_lost:
                    self.record_loss()
                continue
            if connection.last_correlation_field == request.correlation_field:
                # Nor could a second copy of the last response.
                self._limit_idle()
                return None
            if (
                not request.idempotent
                and now - connection.idle_since > NON_IDEMPOTENT_IDLE_MAX
            ):
                return None
            return self._idle.pop()
        return None

    def _limit_idle(self) -> None:
        """Close the connection that has been idle for longest, of many.

        A caller that repeats an id leaves one behind with each request.
        """
        if len(self._idle) > REPEATED_ID_IDLE_MAX:
            self._idle.pop(0).abort()

    def _end_opening(
        self, request: PendingRequest, task: asyncio.Task[None]
    ) -> None:
        """Report the failure of a request whose connection failed to open.

        An error that isn't expected there must not leave it without an
        outcome. A part of the request may have been sent.
        """
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        log_event(
            Level.ERROR,
            "unexpected error; ending the request to the backend server",
            **describe_error(error),
        )
        is_unsent = request.connection is None
        request.finish(Failure.UNREACHABLE if is_unsent else Failure.BROKEN)

    async def _open(self, request: PendingRequest) -> None:
        try:
            connection = await connect(
                lambda: BackendConnection(self),
                self._host,
                self._port,
                CONNECT_TIMEOUT.total_seconds(),
            )
        except (OSError, TimeoutError):
            request.finish(Failure.UNREACHABLE)
            return
        self.opened_count += 1
        if request.ended:
            self.release(connection)
        else:
            connection.send(request)

    def release(self, connection: "BackendConnection") -> None:
        """Return a connection to the pool for the next request."""
        if self._closed:
            connection.abort()
        else:
            self._idle.append(connection)

    def record_body(self, connection: "BackendConnection", size: int) -> None:
        """Charge a body of unknown length, of which so much is held.

        If all of them take more than a single response may, or more is held
        than the budget allows, the largest one is given up.
        """
        added_size = size - self._receiving.get(connection, 0)
        self._receiving[connection] = size
        self._incomplete_bodies_size += added_size
        budget = self.budget
        budget.charge(MemoryUse.RESPONSES, added_size)
        if (
            budget.exceeded
            or self._incomplete_bodies_size > budget.largest_response_bytes
        ):
            largest = max(self._receiving, key=self._receiving.__getitem__)
            largest.reject_oversized()

    def end_body(self, connection: "BackendConnection") -> int:
        """Stop counting a body; return what the owner has to release."""
        size = self._receiving.pop(connection, 0)
        self._incomplete_bodies_size -= size
        return size

    def remove(self, connection: "BackendConnection") -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def record_loss(self) -> None:
        """Report that the server has closed the last open connection."""
        if not self._closed and not any(
            connection.is_open for connection in self.connections
        ):
            self._on_connections_lost()

    def sweep(self, now: datetime) -> None:
        """Close the connections that have been idle too long or cut off.

        Must be called about every 50 ms.
        """
        self.last_sweep = now
        for connection in [c for c in self._idle if not c.is_usable(now)]:
            self._idle.remove(connection)
            connection.abort()
        for connection in tuple(self.waiting):
            connection.check_cut_off()

    def close(self) -> None:
        """Close each connection once it carries no request."""
        self._closed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()


@dataclass(frozen=True, slots=True)
class _HeldMemory:
    """What is charged to the budget for a response."""

    budget: MemoryBudget
    charged_size: int
    reservation: ResponseReservation | None

    def release(self) -> None:
        """Release all of it, or stop waiting for it."""
        if self.reservation is not None:
            self.reservation.release()
        if self.charged_size:
            self.budget.release(MemoryUse.RESPONSES, self.charged_size)


class BackendConnection(asyncio.Protocol):
    """One connection to the backend server."""

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool
        self._transport: Any = None
        self._request: PendingRequest | None = None
        self._closed = False
        # Whether this side has closed the connection.
        self._aborted = False
        self._input_poll: InputPoll | None = None
        self._idle_timeout = DEFAULT_IDLE_TIMEOUT
        self.idle_since = pool.last_sweep
        # Names the last request that was sent on this connection.
        self.last_correlation_field: tuple[bytes, bytes] | None = None
        # Whether bytes may arrive that belong to an earlier request.
        self._reused = False
        # Skipped starts of responses since that request was sent.
        self._surplus_count = 0
        # Bytes received since that request was sent.
        self._received_size = 0
        self._received_body_size = 0
        # Of a response whose length is known: what had been read before the
        # rest was reserved, and the reservation of the rest.
        self._charged_size = 0
        self._reservation: ResponseReservation | None = None
        self._create_parser()

    def _create_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._parsing = False
        self._reset_response()

    def _reset_response(self) -> None:
        self._fields: HeaderFields = []
        self._body: BodyBuffer | None = None
        self._body_size = 0
        self._keeps_body = True
        # Length of a body that is kept, 0 if it isn't known.
        self._length = 0
        self._response: BackendResponse | None = None
        self._reads_until_close = False

    def is_usable(self, now: datetime) -> bool:
        """Return whether the server probably still accepts requests."""
        return not self._closed and now - self.idle_since < self._idle_timeout

    @property
    def is_open(self) -> bool:
        """Return whether neither side has closed the connection."""
        return not self._closed

    @property
    def has_unread_input(self) -> bool:
        """Return whether the end of the stream, or bytes, wait unread.

        No response is due on an idle connection, so it can't be used again.
        """
        if self._input_poll is None:
            self._input_poll = InputPoll(self._transport)
        return self._input_poll.check()

    @property
    def is_quiet(self) -> bool:
        """Return whether a request was sent whole and nothing came back."""
        return (
            not self._received_size
            and not self._transport.get_write_buffer_size()
        )

    def retire(self) -> None:
        """Close the connection once its request has ended."""
        self._closed = True

    def send(self, request: PendingRequest) -> None:
        """Send a request; the connection must be idle."""
        self._request = request
        request.connection = self
        self._reused = self.last_correlation_field is not None
        self.last_correlation_field = request.correlation_field
        self._received_size = self._received_body_size = 0
        self._surplus_count = 0
        self._reset_response()
        if len(request.body) > LARGE_MIN_BYTES:
            self._transport.write(request.head)
            # A write call of its own takes it without a copy.
            self._transport.write(request.body)
        else:
            self._transport.write(request.head + request.body)

    def abort(self) -> None:
        """Close the connection at once, without flushing."""
        self._closed = self._aborted = True
        self._request = None
        held = self._detach_memory()
        self._reset_response()
        if held is not None:
            held.release()
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport
        self._pool.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress.

        A response without a length is complete if the connection was
        closed without an error; any other is truncated.
        """
        self._closed = True
        self._pool.remove(self)
        if not self._aborted:
            self._pool.record_loss()
        if self._request is None:
            return
        if self._reads_until_close and exc is None:
            self._complete_response()
        self._finish_request(Failure.BROKEN)

    def eof_received(self) -> bool:
        """Complete a response without a length, which ends here.

        Before ``connection_lost`` follows, other callbacks may run, which
        must not send a request on this connection.
        """
        self._closed = True
        if self._reads_until_close and self._request is not None:
            self._complete_response()
            self._finish_request(Failure.GARBLED)
        return False

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes.

        Bytes without a request in progress close the connection.
        """
        if self._request is None:
            self.abort()
            return
        self._received_size += len(data)
        rest = memoryview(data)
        while rest and not self._parse(rest):
            if not self._is_surplus():
                # A response that was complete before the bad bytes is valid.
                self._finish_request(Failure.GARBLED)
                return
            start = RESPONSE_START_PATTERN.search(rest, not self._parsing)
            rest = rest[start.start() :] if start else rest[:0]
            self._create_parser()
            self._surplus_count += start is not None
            if self._surplus_count > SURPLUS_RESPONSES_MAX:
                self.reject_oversized()
                return
        if self._response is not None:
            self._finish_request(Failure.GARBLED)
        else:
            self._check_size()

    def _parse(self, data: memoryview) -> bool:
        """Parse received bytes; return False if they are malformed.

        The connection isn't used for another request then.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._closed = True
            return False
        self._parsing = True
        return True

    def _is_surplus(self) -> bool:
        """Return whether what is being parsed belongs to no request.

        A faulty server may send bytes after a response, which arrive while
        it works on the next request. They must not end that one.
        """
        return (
            self._reused
            and self._request is not None
            and self._response is None
            and not self._names_request()
        )

    def _names_request(self) -> bool:
        """Return whether the response belongs to the request in progress."""
        request = self._request
        return request is not None and (
            request.correlation_field is None
            or request.correlation_field in self._fields
        )

    def _check_size(self) -> None:
        """Give up an incomplete response that exceeds a size limit."""
        if self._request is None:
            # The parser's callbacks have ended it.
            return
        if self._exceeds_overhead():
            self.reject_oversized()
        elif self._length:
            if self._reservation is None:
                self._reserve()
        elif self._body_size:
            self._pool.record_body(self, self._body_size)

    def _exceeds_overhead(self) -> bool:
        """Return whether too little of the received data is a body."""
        body_size = self._received_body_size
        return (
            self._received_size - body_size
            > OVERHEAD_MAX_BYTES + OVERHEAD_PER_BODY_BYTE * body_size
        )

    def reject_oversized(self) -> None:
        """Give up a response that exceeds a size limit."""
        self._closed = True
        self._finish_request(Failure.OVERSIZED)

    # Memory of the response.

    def _reserve(self) -> None:
        """Reserve room for the rest of a response whose length is known.

        The connection isn't read until there is room. A response that is
        received whole at once needs none.
        """
        budget = self._pool.budget
        self._charged_size = self._body_size
        budget.charge(MemoryUse.RESPONSES, self._charged_size)
        self._reservation = budget.reserve_response(
            self._length - self._body_size, self._resume_reading
        )
        if not self._reservation.reserved:
            self._pool.waiting.add(self)
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        """Read the rest of a response, for which there is room now."""
        if self in self._pool.waiting:
            self._pool.waiting.remove(self)
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def check_cut_off(self) -> None:
        """End a waiting request whose response can't become complete.

        The event loop doesn't notice the end of a connection that it doesn't
        read. A server cuts off a response that stays unread.
        """
        transport = self._transport
        if (
            not transport.is_closing()
            and has_ended(transport)
            and self._body_size + _count_unread_bytes(transport) < self._length
        ):
            self._finish_request(Failure.BROKEN)

    def _detach_memory(self) -> _HeldMemory | None:
        """Return what is charged for the response, to be released once."""
        charged_size = self._charged_size + self._pool.end_body(self)
        reservation, self._reservation = self._reservation, None
        self._charged_size = 0
        if reservation is None and not charged_size:
            return None
        self._pool.waiting.discard(self)
        return _HeldMemory(self._pool.budget, charged_size, reservation)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; a surplus one closes the connection."""
        if self._response is not None:
            self._closed = True
            return
        self._reset_response()
        held = self._detach_memory()
        if held is not None:
            # The response before was a surplus one.
            held.release()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        if self._response is None:
            self._fields.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is marked."""
        if self._request is None or self._response is not None:
            return
        status = self._parser.get_status_code()
        is_interim = status in INTERIM_STATUSES
        if not is_interim and status not in FINAL_STATUSES:
            self._closed = True
            if not self._is_surplus():
                raise ValueError("a response without a status of HTTP")
        fields = dict(self._fields)
        length = fields.get(b"content-length")
        chunked = b"transfer-encoding" in fields
        # After an interim response, another one follows.
        has_body = not is_interim and status not in STATUSES_WITHOUT_BODY
        self._reads_until_close = has_body and length is None and not chunked
        if self._reads_until_close and self._is_surplus():
            # It would take the response to this request for its body.
            self._reads_until_close = False
            raise ValueError("a surplus response without a length")
        if self._request.head_only and not is_interim:
            self._closed = True
            self._complete_response()
        elif has_body and length is not None and not chunked:
            self._check_length(int(length))

    def _check_length(self, length: int) -> None:
        """Decide whether the body is kept, now that its length is known."""
        is_oversized = length > self._pool.budget.largest_response_bytes
        if is_oversized and self._is_surplus():
            raise ValueError("a surplus response that is too long")
        if is_oversized:
            self.reject_oversized()
        elif self._names_request():
            self._length = length
        else:
            self._keeps_body = False

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        size = len(body)
        self._received_body_size += size
        if (
            self._request is None
            or self._response is not None
            or not self._keeps_body
        ):
            return
        self._body_size += size
        if self._body is None:
            self._body = BodyBuffer(self._length or None)
        self._body.add(body)

    def on_message_complete(self) -> None:
        """Complete the response unless it is an interim one (1xx)."""
        status = self._parser.get_status_code()
        if self._response is None and status not in INTERIM_STATUSES:
            self._complete_response()

    # Outcomes.

    def _complete_response(self) -> None:
        """Store the response, unless it names another request."""
        request = self._request
        if request is None:
            return
        correlation_field = request.correlation_field
        if correlation_field is not None and not self._names_request():
            if any(name == correlation_field[0] for name, _ in self._fields):
                # A late response to an earlier request; the one to this
                # request follows.
                return
            self._closed = True
            if not self._reused:
                self._finish_request(Failure.GARBLED)
            return
        status = self._parser.get_status_code()
        if status not in FINAL_STATUSES:
            # Only trailers have shown that it isn't a surplus response.
            self._closed = True
            self._finish_request(Failure.GARBLED)
            return
        body, self._body = self._body, None
        self._response = BackendResponse(
            status,
            self._fields,
            b"" if body is None else body.take(),
        )

    def _finish_request(self, failure: Failure) -> None:
        """Report the response, or ``failure`` if there is none."""
        request, self._request = self._request, None
        response = self._response
        held = None
        if response is None:
            self.abort()
        else:
            held = self._detach_memory()
            self._release_or_close()
        # An idle connection would keep the body in memory.
        self._reset_response()
        try:
            if request is not None:
                request.finish(response or failure)
        finally:
            # Whoever keeps the response has charged it by now.
            if held is not None:
                held.release()

    def _release_or_close(self) -> None:
        """Return the connection to the pool, or close it."""
        self.idle_since = self._pool.last_sweep
        for name, value in self._fields:
            if name == b"connection" and b"close" in value.lower():
                self._closed = True
            elif name == b"keep-alive":
                self._read_keep_alive_timeout(value)
        if (
            self._closed
            or self._reads_until_close
            # Of a request that was answered before it was sent whole.
            or self._transport.get_write_buffer_size()
        ):
            self.abort()
        else:
            self._pool.release(self)

    def _read_keep_alive_timeout(self, value: bytes) -> None:
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
        if match is not None:
            self._idle_timeout = timedelta(
                seconds=ANNOUNCED_IDLE_FRACTION * int(match.group(1)),
            )


def _count_unread_bytes(transport: Any) -> int:
    """Return the number of bytes that wait unread in the kernel."""
    buffer = bytearray(4)
    descriptor = transport.get_extra_info("socket").fileno()
    fcntl.ioctl(descriptor, termios.FIONREAD, buffer)
    return int.from_bytes(buffer, sys.byteorder)
