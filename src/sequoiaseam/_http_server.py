"""HTTP/1.1 server for callers, with one protocol object per connection.

Requests are parsed by llhttp (httptools). Requests that it accepts but that
a backend server could interpret differently are rejected here (RFC 9112,
sections 3, 6 and 7).
"""

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final, Protocol

import httptools

from sequoiaseam._body_buffer import BodyBuffer
from sequoiaseam._clock import Clock
from sequoiaseam._connection_limit import (
    CALLER_FRACTION,
    DEFAULT_DESCRIPTOR_LIMIT,
    IDLE_MIN,
    ConnectionLimit,
    compute_connection_limit,
)
from sequoiaseam._listeners import (
    Listener,
    accept_waiting,
    open_listener,
    register_accepted,
)
from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._memory import (
    DEFAULT_HELD_BYTES_LIMIT,
    LARGE_MIN_BYTES,
    MemoryBudget,
    MemoryUse,
)
from sequoiaseam._tables import CallerLimits, Importance
from sequoiaseam._tasks import TaskGroup, run_each
from sequoiaseam._turned_away import (
    CLOSED_IDLE,
    STALLED,
    TOO_MANY_CONNECTIONS,
    TurnedAwayCallers,
)
from sequoiaseam._unread_input import (
    end_connection,
    find_readable,
    has_ended,
    has_unread_input,
)

HeaderFields = list[tuple[bytes, bytes]]

SWEEP_INTERVAL: Final = timedelta(milliseconds=250)
# Time from the last response to the close, for callers that send on. They
# would lose a response that isn't received yet (RFC 9112, section 9.6).
CLOSE_TIMEOUT: Final = timedelta(seconds=2)
# How long a stop waits for the first request on a new connection. Its caller
# has opened it to send one, and may have sent it as the connection is closed.
FIRST_REQUEST_TIMEOUT: Final = timedelta(milliseconds=500)
# Requests read beyond those in progress before reading is paused.
PIPELINED_REQUESTS_MAX: Final = 4
# How much is parsed at a time while requests begin in the data. The event loop
# reads up to 256 KiB at once, which may hold thousands of requests.
PARSED_PART_BYTES: Final = 4 * 1024
# The same within a chunked body, whose end isn't known.
PARSED_CHUNKED_BYTES: Final = 64 * 1024
# Callers who have sent more requests than this ahead of the responses have the
# later ones read in turn, a limited number for all of them together in each
# interval. The event loop would have no time for other callers.
SENT_AHEAD_MAX: Final = 64
SENT_AHEAD_REQUESTS_PER_INTERVAL: Final = 32
SENT_AHEAD_INTERVAL: Final = timedelta(milliseconds=10)
# How much of a caller's is parsed in its turn.
SENT_AHEAD_PART_BYTES: Final = 512
# Pipelined requests handled at the same time. The responses of all but the
# first are held back until it is their turn.
CONCURRENT_REQUESTS_MAX: Final = 4
# What a request takes besides its bytes, and each of its header fields.
REQUEST_OVERHEAD_BYTES: Final = 4 * 1024
FIELD_OVERHEAD_BYTES: Final = 176
# By how much the room for a body without an announced length grows.
CHUNKED_STEP_BYTES: Final = 64 * 1024
# How long a caller may read nothing of a response, or send nothing of a
# request that it has begun, while others wait for the memory that it takes.
STALL_TIMEOUT: Final = timedelta(seconds=5)
# Pipelined requests with other methods wait for the response to the one
# before (RFC 9112, section 9.3.2).
SAFE_METHODS: Final = frozenset(("GET", "HEAD", "OPTIONS"))
METHOD_PATTERN: Final = re.compile(r"[A-Z]{1,20}")
CONTENT_LENGTH_PATTERN: Final = re.compile(rb"[0-9]{1,18}")
FIELD_VALUE_PATTERN: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
REASON_PHRASES: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUS_LINES: Final = {
    status: f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\n".encode()
    for status in range(200, 600)
}
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A complete request, with field names in lower case.

    ``on_disconnect`` is called once if the caller disconnects before the
    response, or if the handler fails.
    """

    method: str
    target: str
    fields: HeaderFields
    body: bytes
    arrived_at: datetime
    keep_alive: bool
    connection: "ServerConnection" = field(repr=False)
    # Bytes that are charged to the memory budget until the response.
    held_bytes: int = 0
    on_disconnect: Callable[[], None] | None = field(default=None, repr=False)

    def get_field(self, name: bytes) -> bytes | None:
        """Return the value of the first field with this name, or None."""
        for field_name, value in self.fields:
            if field_name == name:
                return value
        return None

    def respond(
        self,
        status: int,
        header_lines: bytes,
        body: bytes,
        length: int | None = None,
    ) -> None:
        """Send the response; ``header_lines`` are complete field lines.

        ``length`` replaces the body's length in responses to HEAD.
        """
        self.connection.respond(self, status, header_lines, body, length)


@dataclass(frozen=True, slots=True)
class _Response:
    """A response until it is written; see ``HttpRequest.respond``."""

    status: int
    header_lines: bytes
    body: bytes
    length: int | None
    # Bytes charged because it waits for the responses before it.
    charged_bytes: int


@dataclass(frozen=True, slots=True)
class UnreadRefusal:
    """The response to a request that isn't read to its end."""

    status: int
    header_lines: bytes = b""
    body: bytes = b""


class RejectedRequestError(Exception):
    """A request that is rejected before it is complete."""

    def __init__(self, refusal: UnreadRefusal, reason: str) -> None:
        super().__init__(reason)
        self.refusal = refusal
        self.reason = reason


class MalformedRequestError(RejectedRequestError):
    """A request that is malformed, too large or too slow."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(UnreadRefusal(status), reason)


class RequestClassifier(Protocol):
    """Tells requests apart that don't all fit into memory.

    The body of the requests that it gets isn't read yet.
    """

    def find_importance(self, request: HttpRequest) -> Importance:
        """Return the importance of a request."""

    def refuse_unread(self, request: HttpRequest, size: int) -> UnreadRefusal:
        """Return the refusal of a request of this size in bytes."""


class _EqualRequests:
    """Classifier of a server whose requests are all alike."""

    def find_importance(self, request: HttpRequest) -> Importance:
        """Return the same importance for each request."""
        del request
        return Importance.CRITICAL

    def refuse_unread(self, request: HttpRequest, size: int) -> UnreadRefusal:
        """Return the refusal, which asks the caller to come back later."""
        del request, size
        return UnreadRefusal(503, b"Retry-After: 1\r\n")


class RequestHandler(Protocol):
    """Handles complete requests and responds to each exactly once."""

    def handle(self, request: HttpRequest) -> None:
        """Start handling a request, possibly responding later."""


class HttpServer:
    """Server that accepts callers' connections and enforces limits.

    Without a ``budget``, it has one of its own.
    """

    def __init__(
        self,
        clock: Clock,
        handler: RequestHandler,
        budget: MemoryBudget | None = None,
        classifier: RequestClassifier | None = None,
        connection_limit: ConnectionLimit | None = None,
        listener_name: str = "callers",
    ) -> None:
        self.clock = clock
        self.handler = handler
        self.budget = budget or MemoryBudget(DEFAULT_HELD_BYTES_LIMIT)
        self.classifier = classifier or _EqualRequests()
        self.limits = CallerLimits()
        self._connection_limit = connection_limit or ConnectionLimit(
            compute_connection_limit(DEFAULT_DESCRIPTOR_LIMIT, CALLER_FRACTION)
        )
        self.turned_away = TurnedAwayCallers(listener_name, clock)
        # Set during shutdown: each response then closes its connection.
        self.closing = False
        self._accepting = True
        # Connections that ``stop_listening`` has accepted and that aren't
        # registered yet.
        self._unregistered_count = 0
        self.connections: set[ServerConnection] = set()
        # Those that wait for their turn to have more requests read.
        self._sent_ahead: deque[ServerConnection] = deque()
        self._in_turns = False
        self._listener: Listener | None = None
        self._tasks = TaskGroup()

    async def start(self, host: str, port: int, backlog: int) -> int:
        """Start listening and return the port."""
        self._listener = await open_listener(
            lambda: ServerConnection(self),
            host,
            port,
            backlog,
        )
        self._tasks.start_periodic(SWEEP_INTERVAL, self._sweep)
        return self._listener.port

    @property
    def busy(self) -> bool:
        """Return whether a request or a response is in progress.

        A request may also wait in the kernel, on an idle connection or one
        that isn't accepted yet, or be about to come on a new one.
        """
        now = self.clock.now()
        if self._unregistered_count or any(
            connection.busy or connection.awaits_first_request(now)
            for connection in self.connections
        ):
            return True
        descriptors = {
            connection.descriptor
            for connection in self.connections
            if connection.idle
        }
        if self._listener is not None:
            descriptors.add(self._listener.descriptor)
        return bool(find_readable(descriptors))

    def close_idle(self) -> int:
        """Close the connections that have no request, read or unread.

        Return how many. A caller that sends a request on one of them at this
        moment gets no response.
        """
        return sum(
            connection.close_if_idle() for connection in list(self.connections)
        )

    def stop_listening(self) -> None:
        """Accept the connections that wait in the kernel and stop listening.

        The kernel would reset them as the listener is closed. Both are one
        step, as callers may keep connecting while the event loop is late.
        """
        if self._listener is None:
            return
        for accepted in accept_waiting(self._listener):
            self._unregistered_count += 1
            self._tasks.start(self._register_accepted(accepted))
        self._listener.server.close()
        self._listener = None

    async def _register_accepted(self, accepted: socket.socket) -> None:
        """Have the event loop handle a connection."""
        try:
            await register_accepted(lambda: ServerConnection(self), accepted)
        finally:
            self._unregistered_count -= 1

    def stop_accepting(self) -> int:
        """Stop listening, and close the idle connections; return how many."""
        self.stop_listening()
        self._accepting = False
        return self.close_idle()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        await self._tasks.cancel()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.abort()

    def register(self, connection: "ServerConnection") -> bool:
        """Add a new connection; return False if it has to be closed.

        The event loop may report one that it accepted before the listener
        was closed.
        """
        if not self._accepting:
            return False
        if not self.closing:
            self._close_idle_for_room()
        if self._connection_limit.is_full(len(self.connections)):
            self.turned_away.record(
                TOO_MANY_CONNECTIONS, open=len(self.connections)
            )
            return False
        self.connections.add(connection)
        return True

    def _close_idle_for_room(self) -> None:
        """Close connections that wait for their callers, if there are many."""
        now = self.clock.now()
        for connection in self._connection_limit.select_idle(
            self.connections, now
        ):
            connection.close_for_room(now)

    def queue_sent_ahead(self, connection: "ServerConnection") -> None:
        """Let a caller who has sent far ahead wait for its turn."""
        self._sent_ahead.append(connection)
        if len(self._sent_ahead) == 1 and not self._in_turns:
            self._schedule_turns()

    def _schedule_turns(self) -> None:
        asyncio.get_running_loop().call_later(
            SENT_AHEAD_INTERVAL.total_seconds(), self._read_sent_ahead
        )

    def _read_sent_ahead(self) -> None:
        """Read the next requests of callers who have sent far ahead."""
        self._in_turns = True
        request_count = 0
        try:
            for _ in range(len(self._sent_ahead)):
                request_count += self._sent_ahead.popleft().parse_later()
                is_enough = request_count >= SENT_AHEAD_REQUESTS_PER_INTERVAL
                if is_enough and not self.closing:
                    break
        finally:
            # An error in one caller's turn must not end those of the others.
            self._in_turns = False
            if self._sent_ahead:
                self._schedule_turns()

    def _sweep(self) -> None:
        now = self.clock.now()
        for connection in list(self.connections):
            connection.check_timeout(now)
        if self.budget.take_shortage():
            self._cut_off_stalled(now)

    def _cut_off_stalled(self, now: datetime) -> None:
        """Make room by ending requests whose callers neither read nor send.

        The one that has stalled for longest is the first.
        """
        stalled = [c for c in self.connections if c.is_stalled(now)]
        stalled.sort(key=lambda connection: connection.progressed_at)
        missing_bytes = self.budget.missing_bytes
        for connection in stalled:
            if missing_bytes <= 0:
                return
            # An event loop closes the connection, and so releases this, later.
            missing_bytes -= connection.stalled_bytes
            connection.cut_off()


class ServerConnection(asyncio.Protocol):
    """A caller's connection; responses are sent in order of requests."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: Any = None
        self._parser: Any = httptools.HttpRequestParser(self)
        # Requests not yet handled, and those in progress, in order.
        self._waiting: deque[HttpRequest] = deque()
        self._in_progress: deque[HttpRequest] = deque()
        # Responses that wait for the one to the first request in progress.
        self._held_responses: dict[int, _Response] = {}
        # Whether ``_start_waiting`` is running, which must not recurse.
        self._starting = False
        # Set with the last response. Data received after it is discarded.
        self._ended = False
        # Response to what follows the last complete request. The error itself
        # would keep the received data in memory by its traceback.
        self._rejected: UnreadRefusal | None = None
        self._reading_paused = False
        # Received data that isn't parsed yet, and what is charged for it.
        self._unparsed = b""
        self._unparsed_charge = 0
        self._parsing = False
        self._parse_scheduled = False
        # Requests read since all data was last parsed.
        self._sent_ahead = 0
        # Whether responses wait for the kernel to take them.
        self._write_paused = False
        # Set when the last response of a shutdown waits for one more read.
        self._last_read_begun = False
        self._opened_at = self._phase_started_at = server.clock.now()
        # Whether a request has begun to arrive.
        self._used = False
        self._reading = False
        # Why the connection ended, for logs.
        self.end_cause = ""
        # Bytes charged for the request that is being read.
        self._held_bytes = 0
        # Bytes of responses that the kernel hadn't taken when that was last
        # checked.
        self._unsent_bytes = 0
        # When the caller has last read a part of a response, or sent one of a
        # body.
        self.progressed_at = self._opened_at
        self._reset_request()

    def _reset_request(self) -> None:
        self._release_held()
        self._target = b""
        self._fields: HeaderFields = []
        self._body: BodyBuffer | None = None
        self._body_length = 0
        self._received_size = 0
        self._in_body = False
        # Whether the caller waits for a 100 response before the body.
        self._expects_continue = False

    @property
    def busy(self) -> bool:
        """Return whether a request or its response is in progress."""
        return (
            bool(self._in_progress)
            or self._reading
            or bool(self._waiting)
            or bool(self._unparsed)
            or self._transport.get_write_buffer_size() > 0
        )

    @property
    def idle(self) -> bool:
        """Return whether the connection waits for a request."""
        return not self.busy and not self._ended

    def awaits_first_request(self, now: datetime) -> bool:
        """Return whether the caller is about to send its first request."""
        return (
            not self._used
            and not self._ended
            and now - self._opened_at < FIRST_REQUEST_TIMEOUT
        )

    @property
    def descriptor(self) -> int:
        """Return the file descriptor of the socket."""
        return int(self._transport.get_extra_info("socket").fileno())

    @property
    def has_unread_input(self) -> bool:
        """Return whether input waits in the kernel for the event loop."""
        return has_unread_input(self._transport)

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        self._transport = transport
        if not self._server.register(self):
            self._ended = True
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler of the disconnect."""
        if exc is not None:
            self.end_cause = type(exc).__name__
        self._ended = True
        self._server.connections.discard(self)
        # It refers back to this connection, which would stay in memory until
        # a garbage collection.
        self._parser = None
        self._record_unsent(0, self._server.clock.now())
        waiting, self._waiting = self._waiting, deque()
        self._drop_unparsed()
        self._reset_request()
        in_progress, self._in_progress = self._in_progress, deque()
        held_responses, self._held_responses = self._held_responses, {}
        for response in held_responses.values():
            self._release_response(response)
        for request in (*in_progress, *waiting):
            self._release_request(request)
        run_each(
            request.on_disconnect
            for request in in_progress
            if request.on_disconnect is not None
        )

    def eof_received(self) -> bool:
        """Close the connection; half-closed ones are not supported."""
        self.end_cause = "end of stream"
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data; ignore any that follows a malformed request.

        Requests are started after the data is parsed, so that the last
        response before a close is that to the last request that was read.
        """
        if self._rejected is not None or self._ended:
            return
        if self._unparsed or len(data) > PARSED_PART_BYTES:
            self._unparsed += data
            self._parse_on()
            self._charge_unparsed()
            return
        self._parsing = True
        try:
            rejected = self._parse(data)
        finally:
            self._parsing = False
        if rejected is not None:
            self._refuse(rejected)
            return
        self._note_progress()
        self._start_waiting()
        if self._is_full:
            self._pause_reading()

    def _note_progress(self) -> None:
        if self._reading and self._in_body:
            self.progressed_at = self._server.clock.now()

    @property
    def _is_full(self) -> bool:
        """Return whether no more requests are to be read for now."""
        waiting_count = len(self._waiting)
        return waiting_count >= PIPELINED_REQUESTS_MAX or (
            self._write_paused and waiting_count > 0
        )

    def _charge_unparsed(self) -> None:
        """Charge the data that stays unparsed for now."""
        difference = len(self._unparsed) - self._unparsed_charge
        self._unparsed_charge = len(self._unparsed)
        if difference > 0:
            self._server.budget.charge(MemoryUse.REQUESTS, difference)
        elif difference < 0:
            self._server.budget.release(MemoryUse.REQUESTS, -difference)

    def _drop_unparsed(self) -> None:
        self._unparsed = b""
        self._charge_unparsed()

    def _parse_on(self) -> None:
        """Parse received data up to the next requests, and start those.

        The rest is left to later passes of the event loop, so that callers
        who send many requests ahead don't hold up the others.
        """
        if self._parsing or self._parse_scheduled or not self._unparsed:
            return
        self._parsing = True
        try:
            rejected = self._parse_until_complete()
            if rejected is not None:
                self._refuse(rejected)
                return
            self._note_progress()
            self._start_waiting()
        finally:
            self._parsing = False
        if not self._unparsed:
            self._sent_ahead = 0
        elif (
            len(self._unparsed) <= PARSED_PART_BYTES
            and not self._is_full
            and not self._is_paced
        ):
            self._parse_on()
            return
        elif not self._is_full:
            self._schedule_parsing()
        if self._unparsed or self._is_full:
            self._pause_reading()

    def _schedule_parsing(self) -> None:
        self._parse_scheduled = True
        if self._is_paced:
            self._server.queue_sent_ahead(self)
        else:
            asyncio.get_running_loop().call_soon(self.parse_later)

    @property
    def _is_paced(self) -> bool:
        """Return whether the caller's requests are read in turn."""
        return self._sent_ahead > SENT_AHEAD_MAX and not self._server.closing

    def parse_later(self) -> int:
        """Parse on in a later pass; return how many requests were read."""
        self._parse_scheduled = False
        count = self._sent_ahead
        if not self._ended and self._rejected is None:
            self._go_on()
        return max(0, self._sent_ahead - count)

    def _parse_until_complete(self) -> RejectedRequestError | None:
        """Parse until a request is complete; return the error, if any."""
        count = len(self._waiting)
        while (
            self._unparsed
            and len(self._waiting) == count
            and not self._is_full
        ):
            size = (
                SENT_AHEAD_PART_BYTES if self._is_paced else PARSED_PART_BYTES
            )
            if self._in_body and self._reading:
                size = max(
                    size,
                    PARSED_CHUNKED_BYTES
                    if self._is_chunked
                    else self._body_length - self._received_size,
                )
            part = self._unparsed[:size]
            self._unparsed = self._unparsed[size:]
            rejected = self._parse(part)
            if rejected is not None:
                return rejected
        self._sent_ahead += len(self._waiting) - count
        return None

    def _parse(self, data: bytes) -> RejectedRequestError | None:
        """Parse data; return the error if it is rejected.

        Its traceback would keep the data until a garbage collection.
        """
        try:
            self._parser.feed_data(data)
            if self._reading and not self._in_body:
                self._reserve(self._head_size)
        except RejectedRequestError as rejection:
            return rejection.with_traceback(None)
        except httptools.HttpParserCallbackError as error:
            rejected = error.__context__
            if not isinstance(rejected, RejectedRequestError):
                raise
            return rejected.with_traceback(None)
        except httptools.HttpParserUpgrade:
            return MalformedRequestError(
                501, "protocol upgrade is not supported"
            )
        except httptools.HttpParserError as error:
            return MalformedRequestError(400, type(error).__name__)
        return None

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_request()
        self._reading = self._used = True
        self._phase_started_at = self._server.clock.now()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Validate and add a header field."""
        if self._in_body:
            raise MalformedRequestError(
                400, "trailer fields are not supported"
            )
        self._count_header_bytes(len(name) + len(value) + 4)
        if not FIELD_VALUE_PATTERN.fullmatch(value):
            raise MalformedRequestError(
                400, "field value contains a control character"
            )
        self._fields.append((name.lower(), value.strip(b" \t")))

    def _count_header_bytes(self, size: int) -> None:
        self._received_size += size
        if self._received_size > self._server.limits.headers:
            raise MalformedRequestError(
                431, "request header exceeds the size limit"
            )

    def on_headers_complete(self) -> None:
        """Validate the request header before the body is read."""
        length = check_framing(self._fields, self._parser.get_http_version())
        if not METHOD_PATTERN.fullmatch(
            self._parser.get_method().decode("latin-1")
        ):
            raise MalformedRequestError(400, "method")
        if self._parser.should_upgrade():
            raise MalformedRequestError(
                501, "protocol upgrade is not supported"
            )
        if self._target[:1] != b"/":
            raise MalformedRequestError(
                400, "request target is not an absolute path"
            )
        if length > self._server.limits.body:
            raise MalformedRequestError(
                413, "request body exceeds the size limit"
            )
        if length or self._is_chunked:
            self._body = BodyBuffer(None if self._is_chunked else length)
        self._body_length = length
        self._reserve(REQUEST_OVERHEAD_BYTES + self._head_size + length)
        self._in_body = True
        self._received_size = 0
        self._handle_expectation()

    @property
    def _is_chunked(self) -> bool:
        return any(name == b"transfer-encoding" for name, _ in self._fields)

    @property
    def _head_size(self) -> int:
        """Return the memory that the header takes as long as it is read."""
        return self._received_size + FIELD_OVERHEAD_BYTES * len(self._fields)

    def _reserve(self, size: int) -> None:
        """Charge the request up to a size; reject it if it doesn't fit."""
        missing = size - self._held_bytes
        if missing <= 0:
            return
        server = self._server
        reserve = server.budget.reserve_request
        # Most requests fit whatever their importance.
        if not reserve(MemoryUse.REQUESTS, missing, Importance.LOW, size):
            request = self._create_request(b"")
            importance = server.classifier.find_importance(request)
            if not reserve(MemoryUse.REQUESTS, missing, importance, size):
                raise RejectedRequestError(
                    server.classifier.refuse_unread(request, size),
                    "request doesn't fit into memory",
                )
        self._held_bytes = size

    def _release_held(self) -> None:
        """Release what is charged for the request that is being read."""
        size, self._held_bytes = self._held_bytes, 0
        if size:
            self._server.budget.release(MemoryUse.REQUESTS, size)

    def _release_request(self, request: HttpRequest) -> None:
        """Release what is charged for a request that was read."""
        size, request.held_bytes = request.held_bytes, 0
        if size:
            self._server.budget.release(MemoryUse.REQUESTS, size)

    def _release_response(self, response: _Response) -> None:
        """Release what is charged for a response that was held back."""
        if response.charged_bytes:
            self._server.budget.release(
                MemoryUse.RESPONSES, response.charged_bytes
            )

    def _handle_expectation(self) -> None:
        expected = [v for name, v in self._fields if name == b"expect"]
        if not expected:
            return
        if expected[0].lower() != b"100-continue" or len(expected) > 1:
            raise MalformedRequestError(
                417, "unsupported value of the Expect field"
            )
        self._expects_continue = True
        self._send_continue()

    def _send_continue(self) -> None:
        """Send a 100 response if it is due and the next to be sent."""
        if (
            self._expects_continue
            and not self._in_progress
            and not self._waiting
        ):
            self._expects_continue = False
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._expects_continue = False
        self._received_size += len(body)
        if self._received_size > self._server.limits.body:
            raise MalformedRequestError(
                413, "request body exceeds the size limit"
            )
        # Covered already if the length was announced.
        self._reserve_chunked()
        if self._body is not None:
            self._body.add(body)

    def _reserve_chunked(self) -> None:
        """Reserve room for a body whose length isn't known."""
        if self._received_size > self._held_bytes - REQUEST_OVERHEAD_BYTES:
            self._reserve(
                REQUEST_OVERHEAD_BYTES
                + self._received_size
                + CHUNKED_STEP_BYTES
            )

    def _take_body(self) -> bytes:
        """Return the body and let go of it."""
        body, self._body = self._body, None
        return b"" if body is None else body.take()

    def _create_request(self, body: bytes) -> HttpRequest:
        return HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._fields,
            body,
            self._server.clock.now(),
            self._parser.should_keep_alive(),
            self,
        )

    def on_message_complete(self) -> None:
        """Queue the request behind those in progress."""
        self._reading = False
        self._expects_continue = False
        request = self._create_request(self._take_body())
        self._phase_started_at = request.arrived_at
        request.held_bytes, self._held_bytes = self._held_bytes, 0
        self._waiting.append(request)

    def _start_waiting(self) -> None:
        """Handle waiting requests, as far as they may run side by side."""
        if self._starting:
            return
        self._starting = True
        while self._waiting and self._may_start(self._waiting[0]):
            request = self._waiting.popleft()
            self._in_progress.append(request)
            self._start(request)
        self._starting = False

    def _start(self, request: HttpRequest) -> None:
        """Pass a request to the handler.

        An error must not reach the event loop, which would close the
        connection, or the code that responded to the request before.
        """
        try:
            self._server.handler.handle(request)
        except Exception as error:  # noqa: BLE001
            log_event(
                Level.ERROR,
                "unexpected error; refusing the request",
                **describe_error(error),
            )
            if request.on_disconnect is not None:
                request.on_disconnect()
            request.respond(500, b"", b"")

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _may_start(self, request: HttpRequest) -> bool:
        in_progress = self._in_progress
        if self._write_paused and not self._server.closing:
            # Its response would only add to those that the caller doesn't
            # read.
            return False
        return not in_progress or (
            len(in_progress) < CONCURRENT_REQUESTS_MAX
            and request.method in SAFE_METHODS
            and all(r.method in SAFE_METHODS for r in in_progress)
        )

    # Responses.

    def respond(
        self,
        request: HttpRequest,
        status: int,
        header_lines: bytes,
        body: bytes,
        length: int | None,
    ) -> None:
        """Send the response once the ones before it have been sent.

        It is dropped if the request is no longer in progress.
        """
        if request not in self._in_progress:
            return
        charged_bytes = 0
        if request is not self._in_progress[0]:
            charged_bytes = len(body)
            self._server.budget.charge(MemoryUse.RESPONSES, charged_bytes)
        response = _Response(status, header_lines, body, length, charged_bytes)
        self._held_responses[id(request)] = response
        while self._in_progress:
            first = self._in_progress[0]
            next_response = self._held_responses.pop(id(first), None)
            if next_response is None:
                return
            self._in_progress.popleft()
            self._release_request(first)
            is_closed = self._send(first, next_response)
            self._release_response(next_response)
            if is_closed:
                return
        self._go_on()
        self._send_continue()

    def _go_on(self) -> None:
        """Read and start more requests, now that there is room for them."""
        more_read = bool(self._in_progress or self._waiting or self._unparsed)
        self._start_waiting()
        self._parse_on()
        self._charge_unparsed()
        if (
            self._reading_paused
            and not self._ended
            and self._rejected is None
            and not self._unparsed
            and not self._is_full
            and not (self._server.closing and more_read)
        ):
            self._reading_paused = False
            self._transport.resume_reading()

    def _send(self, request: HttpRequest, response: _Response) -> bool:
        """Send a response; return whether the connection is then closed.

        The last response before a close may not leave behind a request
        that was read, nor one that waited unread. During shutdown no more
        are read after a response, so that a caller can't prolong it.
        """
        self._phase_started_at = self._server.clock.now()
        is_last_read = not (
            self._in_progress or self._waiting or self._unparsed
        )
        should_close = not request.keep_alive or (
            self._server.closing
            and is_last_read
            and not self._begin_last_read()
        )
        self._write(
            request.method,
            response.status,
            response.header_lines,
            response.body,
            response.length,
            should_close,
        )
        if not should_close and is_last_read:
            should_close = self._refuse_rejected()
        if should_close:
            # Also if the caller has announced that it sends no more: some
            # send an empty line after the body.
            self._end()
        elif self._server.closing and not is_last_read:
            self._pause_reading()
        return should_close

    def _begin_last_read(self) -> bool:
        """Return whether to read once more before the close of a shutdown.

        Pipelined requests may have been sent long ago if the event loop is
        late.
        """
        if self._last_read_begun or not self.has_unread_input:
            return False
        self._last_read_begun = True
        return True

    def _end(self) -> None:
        """Close the sending side; leave it to the caller to close the other.

        Closing both with data unread would reset the connection.
        """
        self._ended = True
        self._reading = False
        self._drop_unparsed()
        self._phase_started_at = self._server.clock.now()
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.abort()

    def _close(self) -> None:
        """Close the connection once all that was written is sent."""
        self._ended = True
        self._transport.close()

    def _write(
        self,
        method: str,
        status: int,
        header_lines: bytes,
        body: bytes,
        length: int | None,
        should_close: bool,  # noqa: FBT001
    ) -> None:
        size = len(body) if length is None else length
        framing = (
            b""
            if status in STATUSES_WITHOUT_BODY
            else b"Content-Length: %d\r\n" % (size)
        )
        end = b"Connection: close\r\n\r\n" if should_close else b"\r\n"
        content = (
            b""
            if method == "HEAD" or status in STATUSES_WITHOUT_BODY
            else body
        )
        head = (STATUS_LINES[status], header_lines, framing, end)
        if len(content) <= LARGE_MIN_BYTES:
            self._transport.write(b"".join((*head, content)))
            return
        # A transport keeps a reference to data that it can't send at once.
        self._transport.write(b"".join(head))
        self._transport.write(content)
        self._measure_unsent()

    def _refuse(self, error: RejectedRequestError) -> None:
        """Respond to a rejected request and close the connection.

        Complete requests before it are answered first.
        """
        if isinstance(error, MalformedRequestError):
            self._server.turned_away.record_malformed(
                error.refusal.status, error.reason
            )
        else:
            self._server.turned_away.count(f"status_{error.refusal.status}")
        self._drop_unparsed()
        self._reset_request()
        self._reading = False
        self._rejected = error.refusal
        self._start_waiting()
        if self._ended:
            return
        if self._in_progress or self._waiting:
            self._pause_reading()
        else:
            self._refuse_rejected()
            self._end()

    def _refuse_rejected(self) -> bool:
        """Respond to a rejected request, if there was one."""
        if self._rejected is None:
            return False
        refusal = self._rejected
        self._write(
            "GET",
            refusal.status,
            refusal.header_lines,
            refusal.body,
            None,
            should_close=True,
        )
        return True

    # Data that the caller hasn't read.

    def pause_writing(self) -> None:
        """Start no more requests while responses aren't read."""
        self._write_paused = True
        self._measure_unsent()

    def resume_writing(self) -> None:
        """Release what the kernel has taken; called by the transport."""
        self._write_paused = False
        self._measure_unsent()
        if not self._ended:
            self._go_on()

    def _measure_unsent(self) -> None:
        self._record_unsent(
            self._transport.get_write_buffer_size(), self._server.clock.now()
        )

    def _record_unsent(self, size: int, now: datetime) -> None:
        """Charge the bytes of responses that the kernel hasn't taken."""
        previous, self._unsent_bytes = self._unsent_bytes, size
        if size < previous or size > previous == 0:
            self.progressed_at = now
        if size > previous:
            self._server.budget.charge(MemoryUse.UNSENT, size - previous)
        elif size < previous:
            self._server.budget.release(MemoryUse.UNSENT, previous - size)

    def is_stalled(self, now: datetime) -> bool:
        """Return whether the caller is cut off while memory is short.

        That is one who neither reads nor sends what is due, or who has sent
        far ahead.
        """
        if self._is_paced:
            # What it has sent ahead takes memory, and can be sent again.
            return True
        is_due = self._unsent_bytes > 0 or (self._reading and self._in_body)
        return is_due and now - self.progressed_at > STALL_TIMEOUT

    @property
    def stalled_bytes(self) -> int:
        """Return what is held for what the caller doesn't read or send."""
        return (
            self._unsent_bytes
            + self._held_bytes
            + self._unparsed_charge
            + sum(request.held_bytes for request in self._waiting)
        )

    def cut_off(self) -> None:
        """End the request, or the response, of a caller that has stalled."""
        log_event(
            Level.WARNING,
            "caller cut off; it has stalled and memory is short",
            unsent=self._unsent_bytes,
            held=self._held_bytes,
            stalled_time=self._server.clock.now() - self.progressed_at,
        )
        self._server.turned_away.count(STALLED)
        if self._unsent_bytes:
            self.abort()
        else:
            self._refuse(
                MalformedRequestError(408, "request not received in time")
            )

    # Connections closed to make room for others.

    def find_idle_since(self, now: datetime) -> datetime | None:
        """Return since when it waits for its caller, None if it doesn't."""
        if self._in_progress:
            return None
        if self._is_paced:
            # It makes progress, but at the expense of callers who wait for a
            # connection. The idle ones are closed before it.
            return now
        if self._unsent_bytes or (self._reading and self._in_body):
            is_idle = now - self.progressed_at > STALL_TIMEOUT
            return self.progressed_at if is_idle else None
        is_idle = now - self._phase_started_at > IDLE_MIN
        return self._phase_started_at if is_idle else None

    def close_for_room(self, now: datetime) -> None:
        """Close an idle connection, unless its caller has just sent more."""
        if self.has_unread_input and not self._reading_paused:
            return
        self._server.turned_away.record(
            CLOSED_IDLE,
            idle_time=now - max(self._phase_started_at, self.progressed_at),
            unsent=self._unsent_bytes,
            held=self._held_bytes,
        )
        if self._unsent_bytes:
            self.abort()
        elif self._reading:
            self._refuse(
                MalformedRequestError(408, "request not received in time")
            )
            # Without waiting for the caller, as after other responses.
            self._close()
        elif self.idle:
            self.close_if_idle()
        else:
            self.abort()

    # Timeouts and closing.

    def check_timeout(self, now: datetime) -> None:
        """Close the connection if the caller is too slow or idle too long."""
        limits = self._server.limits
        age = now - self._phase_started_at
        self._record_unsent(self._transport.get_write_buffer_size(), now)
        if self._reading_paused and has_ended(self._transport):
            # The event loop doesn't report it while reading is paused.
            self.end_cause = "end of stream"
            self._transport.abort()
            return
        if self._in_progress:
            return
        if self._waiting and self._server.closing:
            # A stop answers them, although the caller doesn't read.
            self._start_waiting()
            return
        if self._reading:
            slow = not self._in_body and age > limits.headers_time
            if (slow or age > limits.idle_time) and not self.has_unread_input:
                self._refuse(
                    MalformedRequestError(408, "request not received in time")
                )
        elif self._transport.get_write_buffer_size() > 0:
            # The caller still reads the last response.
            self._phase_started_at = now
        elif self._ended:
            if age > CLOSE_TIMEOUT:
                self._close()
        elif age > limits.idle_time:
            self.close_if_idle()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is in progress.

        One with input that isn't read yet stays open: the kernel would
        reset it, although the caller may have sent a request long ago.
        """
        if not self.idle or self.has_unread_input:
            return False
        end_connection(self._transport)
        self._close()
        return True

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self.end_cause = "aborted"
        self._transport.abort()


def check_framing(fields: HeaderFields, version: str) -> int:
    """Return the Content-Length, or 0; reject ambiguous requests.

    Repeated lengths, a length together with a transfer coding and any
    coding other than a single "chunked" can be interpreted in two ways
    (RFC 9112, section 6.3).
    """
    host_field_count = length_count = coding_count = length = 0
    for name, value in fields:
        if name == b"host":
            host_field_count += 1
        elif name == b"content-length":
            length_count += 1
            if not CONTENT_LENGTH_PATTERN.fullmatch(value):
                raise MalformedRequestError(400, "invalid Content-Length")
            length = int(value)
        elif name == b"transfer-encoding":
            coding_count += 1
            if value.lower() != b"chunked":
                raise MalformedRequestError(501, "unsupported transfer coding")
    if length_count > 1 or coding_count > 1 or (length_count and coding_count):
        raise MalformedRequestError(400, "conflicting framing fields")
    if host_field_count != 1:
        raise MalformedRequestError(400, "Host field is missing or repeated")
    if version != "1.1":
        raise MalformedRequestError(400, "unsupported HTTP version")
    return length


def format_fields(fields: HeaderFields, dropped: frozenset[bytes]) -> bytes:
    """Return the field lines without those in ``dropped``.

    Fields listed in a Connection field are hop-by-hop and dropped, too.
    """
    connection_options: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    lines = [
        b"%s: %s\r\n" % (name, value)
        for name, value in fields
        if name not in dropped and name not in connection_options
    ]
    return b"".join(lines)
