"""HTTP/1.1 server for callers: one protocol object a connection.

The parser is llhttp (httptools); what it lets pass and a backend server
might read in another way is refused here (RFC 9112, sections 3, 6, 7).
"""

import asyncio
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final, Protocol

import httptools

from sequoiaseam._clock import Clock
from sequoiaseam._listeners import Listener, open_listener
from sequoiaseam._logs import Level, log_event
from sequoiaseam._tables import CallerLimits
from sequoiaseam._tasks import TaskGroup

HeaderFields = list[tuple[bytes, bytes]]

SWEEP: Final = timedelta(milliseconds=250)
# Requests that a connection may have read beyond the one in progress.
PIPELINE_MAX: Final = 4
METHOD: Final = re.compile(r"[A-Z]{1,20}")
DIGITS: Final = re.compile(rb"[0-9]{1,18}")
VALUE: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
REASONS: Final = {
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
    status: f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n".encode()
    for status in range(200, 600)
}
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A whole request; names of fields are in lower case.

    ``on_disconnect`` is called once if the caller disconnects before the
    response.
    """

    method: str
    target: str
    fields: HeaderFields
    body: bytes
    arrived_at: datetime
    keep_alive: bool
    connection: "ServerConnection" = field(repr=False)
    on_disconnect: Callable[[], None] | None = field(default=None, repr=False)

    def get_field(self, name: bytes) -> bytes | None:
        """Return the value of the first field with this name, or None."""
        for known, value in self.fields:
            if known == name:
                return value
        return None

    def respond(
        self,
        status: int,
        head: bytes,
        body: bytes,
        length: int | None = None,
    ) -> None:
        """Send the answer; ``head`` holds whole field lines.

        ``length`` replaces the body's length for answers to HEAD.
        """
        self.connection.respond(self, status, head, body, length)


class MalformedRequestError(Exception):
    """A request that is refused before it is whole."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Handler(Protocol):
    """Takes whole requests and answers each once, then or later."""

    def handle(self, request: HttpRequest) -> None:
        """Start to serve a request."""


class HttpServer:
    """Connections of callers, their limits and their end."""

    def __init__(self, clock: Clock, handler: Handler) -> None:
        self.clock = clock
        self.handler = handler
        self.limits = CallerLimits()
        # Time of the last sweep, near enough for limits in seconds.
        self.swept = clock.now()
        # Set while the process stops: each answer ends its connection.
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self._listener: Listener | None = None
        self._answered = asyncio.Event()
        self._tasks = TaskGroup()

    async def start(self, host: str, port: int, backlog: int) -> int:
        """Listen; return the port."""
        self._listener = await open_listener(
            lambda: ServerConnection(self),
            host,
            port,
            backlog,
        )
        self._tasks.start(self._sweep())
        return self._listener.port

    async def wait_idle(self) -> None:
        """Wait until no connection has a request in progress."""
        while any(one.busy for one in self.connections):
            self._answered.clear()
            await self._answered.wait()

    def note_answer(self) -> None:
        """Wake whoever waits for the end of requests."""
        self._answered.set()

    def close_idle(self) -> None:
        """End the connections that wait for a request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        await self._tasks.cancel()
        if self._listener is not None:
            self._listener.server.close()
        for connection in list(self.connections):
            connection.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP.total_seconds())
            self.swept = now = self.clock.now()
            for connection in list(self.connections):
                connection.check_timeout(now)


class ServerConnection(asyncio.Protocol):
    """One caller's connection; answers go out in order of requests."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._since = server.swept
        self._reading = False
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._fields: HeaderFields = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._in_body = False

    @property
    def busy(self) -> bool:
        """Return whether a request is in progress."""
        return self._current is not None or self._reading

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request in progress: its caller has left."""
        del exc
        self._server.connections.discard(self)
        self._server.note_answer()
        self._waiting.clear()
        current, self._current = self._current, None
        if current is not None and current.on_disconnect is not None:
            current.on_disconnect()

    def eof_received(self) -> bool:
        """Close: a caller that sends no more has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, MalformedRequestError):
                raise
            self._refuse(cause)
        except httptools.HttpParserUpgrade:
            self._refuse(MalformedRequestError(501, "upgrade"))
        except httptools.HttpParserError as error:
            self._refuse(MalformedRequestError(400, type(error).__name__))

    # Parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset()
        self._reading = True
        self._since = self._server.swept

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        if self._in_body:
            raise MalformedRequestError(400, "trailer fields")
        self._count(len(name) + len(value) + 4)
        if not VALUE.fullmatch(value):
            raise MalformedRequestError(400, "control character in a field")
        self._fields.append((name.lower(), value.strip(b" \t")))

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > self._server.limits.headers:
            raise MalformedRequestError(431, "headers over the limit")

    def on_headers_complete(self) -> None:
        """Check the head before any of the body is taken."""
        length = check_framing(self._fields, self._parser.get_http_version())
        if not METHOD.fullmatch(self._parser.get_method().decode("latin-1")):
            raise MalformedRequestError(400, "method")
        if self._parser.should_upgrade():
            raise MalformedRequestError(501, "upgrade")
        if self._target[:1] != b"/":
            raise MalformedRequestError(400, "target is not a path")
        if length > self._server.limits.body:
            raise MalformedRequestError(413, "body over the limit")
        self._in_body = True
        self._size = 0
        self._answer_expectation()

    def _answer_expectation(self) -> None:
        expected = [v for name, v in self._fields if name == b"expect"]
        if not expected:
            return
        if expected[0].lower() != b"100-continue" or len(expected) > 1:
            raise MalformedRequestError(417, "unknown expectation")
        if self._current is None and not self._waiting:
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._size += len(body)
        if self._size > self._server.limits.body:
            raise MalformedRequestError(413, "body over the limit")
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over, or keep it for later."""
        self._reading = False
        now = self._server.clock.now()
        self._since = now
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._fields,
            b"".join(self._chunks),
            now,
            self._parser.should_keep_alive(),
            self,
        )
        if self._current is not None:
            self._waiting.append(request)
            if len(self._waiting) >= PIPELINE_MAX:
                self._transport.pause_reading()
            return
        self._current = request
        self._server.handler.handle(request)

    # Answers.

    def respond(
        self,
        request: HttpRequest,
        status: int,
        head: bytes,
        body: bytes,
        length: int | None,
    ) -> None:
        """Send the answer to the request in progress."""
        if request is not self._current:
            return
        self._current = None
        self._since = self._server.swept
        self._server.note_answer()
        close = self._server.closing or not request.keep_alive
        self._write(request.method, status, head, body, length, close)
        if close:
            self._transport.close()
        elif self._waiting:
            self._current = self._waiting.popleft()
            self._transport.resume_reading()
            self._server.handler.handle(self._current)

    def _write(
        self,
        method: str,
        status: int,
        head: bytes,
        body: bytes,
        length: int | None,
        close: bool,  # noqa: FBT001
    ) -> None:
        size = len(body) if length is None else length
        framing = (
            b""
            if status in STATUSES_WITHOUT_BODY
            else b"Content-Length: %d\r\n" % (size)
        )
        end = b"Connection: close\r\n\r\n" if close else b"\r\n"
        content = (
            b""
            if method == "HEAD" or status in STATUSES_WITHOUT_BODY
            else body
        )
        self._transport.write(
            b"".join((STATUS_LINES[status], head, framing, end, content)),
        )

    def _refuse(self, error: MalformedRequestError) -> None:
        """Answer a malformed request and end the connection."""
        log_event(
            Level.INFO,
            "malformed request refused",
            status=error.status,
            reason=error.reason,
        )
        if self._current is None and not self._waiting:
            self._write("GET", error.status, b"", b"", 0, close=True)
        self._transport.close()

    # Time and end.

    def check_timeout(self, now: datetime) -> None:
        """End the connection when its caller takes or idles too long."""
        limits = self._server.limits
        age = now - self._since
        if self._current is not None:
            return
        if self._reading:
            slow = not self._in_body and age > limits.headers_time
            if slow or age > limits.idle_time:
                self._refuse(MalformedRequestError(408, "request too slow"))
        elif age > limits.idle_time:
            self._transport.close()

    def close_if_idle(self) -> None:
        """End the connection unless a request is in progress."""
        if not self.busy and not self._waiting:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        self._transport.abort()


def check_framing(fields: HeaderFields, version: str) -> int:
    """Return the announced length of the body; refuse an unclear one.

    Two lengths, a length beside a transfer coding, and any coding but
    one plain "chunked" could be read in two ways (RFC 9112, 6.3).
    """
    hosts = lengths = codings = length = 0
    for name, value in fields:
        if name == b"host":
            hosts += 1
        elif name == b"content-length":
            lengths += 1
            if not DIGITS.fullmatch(value):
                raise MalformedRequestError(400, "content length")
            length = int(value)
        elif name == b"transfer-encoding":
            codings += 1
            if value.lower() != b"chunked":
                raise MalformedRequestError(501, "transfer coding")
    if lengths > 1 or codings > 1 or (lengths and codings):
        raise MalformedRequestError(400, "framing given twice")
    if hosts != 1:
        raise MalformedRequestError(400, "host missing or repeated")
    if version != "1.1":
        raise MalformedRequestError(400, "HTTP version")
    return length


def format_fields(fields: HeaderFields, dropped: frozenset[bytes]) -> bytes:
    """Return field lines without those that are dropped.

    Fields that a Connection field names concern one connection, too.
    """
    named: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    lines = [
        b"%s: %s\r\n" % (name, value)
        for name, value in fields
        if name not in dropped and name not in named
    ]
    return b"".join(lines)
