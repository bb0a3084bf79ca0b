"""Callers' connections to nodes, and callers that send at random."""

import asyncio
import contextlib
import itertools
import math
import random
import socket
from collections.abc import Iterator
from typing import Final

from sequoiaseam._unread_input import find_readable
from tests.soak.calls import Call, End
from tests.soak.record import Record
from tests.soak.relay import FaultRelay, RelayedConnection
from tests.soak.site import Site

CHUNK_BYTES: Final = 64 * 1024
CHUNKED: Final = "Transfer-Encoding: chunked"
# Over the request's time limit. No node takes so long on a busy machine.
ANSWER_SLACK_SECONDS: Final = 10.0
# Before a caller connects again to a node that refused a connection.
RECONNECT_SECONDS: Final = 0.15
# Mean times between the requests of a caller, one of which it has. Short ones
# send often as a node closes, long ones leave connections idle.
THINK_SECONDS: Final = (0.01, 0.05, 0.2, 1.0)
# Longest wait after a refusal; the response may ask for a longer one.
RETURN_WAIT_SECONDS_MAX: Final = 0.4
# Pause within a request that is sent in two parts.
SEND_PAUSE_SECONDS_MAX: Final = 0.4


class RequestIds:
    """Ids that are unique within a soak."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._counter: Iterator[int] = itertools.count(1)

    def create(self) -> str:
        """Return the next id."""
        return f"{self._seed % 2**32:08x}{next(self._counter):08x}"


def encode_head(call: Call, remaining_ms: int, framing: str = "") -> bytes:
    """Return the head of a request, with a field on its body if it has one."""
    lines = [
        f"{call.method} {call.target} HTTP/1.1",
        "Host: any.example",
        f"X-Sequoiaseam-Attempt-Id: {call.request_id}",
        f"X-Sequoiaseam-Deadline-Remaining-Ms: {remaining_ms}",
    ]
    if call.key:
        lines.append(f"Authorization: Bearer {call.key}")
    if framing:
        lines.append(framing)
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


def encode_request(
    call: Call, remaining_ms: int, *, chunked: bool = False
) -> bytes:
    """Return the bytes of a request."""
    body, framing = call.body, ""
    if call.method != "GET" and chunked:
        framing = CHUNKED
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    elif call.method != "GET":
        framing = f"Content-Length: {len(body)}"
    return encode_head(call, remaining_ms, framing) + body


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields, with names in lower case."""
    first_line, *lines = head.decode("latin-1").split("\r\n")
    parts = (line.partition(":") for line in lines)
    return first_line, {
        name.lower(): value.strip() for name, _, value in parts
    }


class CallerConnection:
    """A connection to a node that carries one request at a time.

    It goes through the relay if there is one.
    """

    def __init__(
        self,
        record: Record,
        host: str,
        port: int,
        relay: FaultRelay | None = None,
    ) -> None:
        self._record = record
        self._host = host
        self._port = port
        self._relay = relay
        self._relayed: RelayedConnection | None = None
        self._sent_bytes = 0
        self._buffer = b""
        self._closed = False
        self.used = False
        self.idle_since = 0.0

    async def open(self) -> None:
        """Connect; raise OSError if the node refuses."""
        if self._relay is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        else:
            opened, self._relayed = await self._relay.connect()
            self._reader, self._writer = await asyncio.open_connection(
                sock=opened
            )
        # ``drain`` then waits until the kernel has all data.
        self._writer.transport.set_write_buffer_limits(0)

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return not (
            self._closed
            or self._reader.at_eof()
            or self._reader.exception() is not None
        )

    def close(self) -> None:
        """Close the connection."""
        self._closed = True
        self._writer.transport.abort()

    async def send(
        self,
        call: Call,
        message: bytes,
        split: int = 0,
        pause: float = 0.0,
        patience: float = math.inf,
    ) -> None:
        """Send a request, await the answer and record how it ends.

        With ``split`` the rest of the message is sent after a pause. The
        caller gives up after ``patience`` seconds.
        """
        call.connection = "kept" if self.used else "new"
        self.used = True
        self._record.start_call(call)
        end = End.ABANDONED
        limit = call.timeout + ANSWER_SLACK_SECONDS
        try:
            async with asyncio.timeout(min(limit, patience)):
                end = await self._exchange(call, message, split, pause)
        except TimeoutError:
            end = End.SILENT if limit < patience else End.ABANDONED
        finally:
            self.idle_since = self._record.now()
            call.arrived_at = self._find_arrival(call)
            if end is not End.ANSWERED:
                self.close()
            self._record.end_call(call, end)

    def _find_arrival(self, call: Call) -> float:
        """Return when all was sent, and passed on by a relay."""
        relayed = self._relayed
        if relayed is None:
            return call.sent_at
        if relayed.passed_bytes < self._sent_bytes:
            return math.inf
        return max(call.sent_at, relayed.passed_at)

    async def _exchange(
        self, call: Call, message: bytes, split: int, pause: float
    ) -> End:
        socket_descriptor = self._writer.get_extra_info("socket").fileno()
        if find_readable((socket_descriptor,)):
            # It has ended, which a late soak hasn't noticed yet.
            return End.UNSENT
        self._sent_bytes += len(message)
        try:
            if split:
                self._writer.write(message[:split])
                await self._writer.drain()
                await asyncio.sleep(pause)
            self._writer.write(message[split:])
            await self._writer.drain()
        except OSError:
            return End.UNSENT
        call.sent_at = self._record.now()
        try:
            if await self._read_answer(call):
                return End.ANSWERED
        except OSError:
            # The kernel resets a connection that is closed before the
            # process has read all.
            return End.CUT if self._buffer else End.UNREAD
        return self._classify_close()

    def _classify_close(self) -> End:
        """Return whether the node had read all when it closed.

        Data that arrives after the close is answered with a reset, which
        the socket reports as an error. A relay may still have such data.
        """
        if self._buffer:
            return End.CUT
        if (
            self._relayed is not None
            and self._relayed.passed_bytes < self._sent_bytes
        ):
            return End.UNREAD
        error = self._writer.get_extra_info("socket").getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        return End.UNREAD if error else End.CUT

    async def _read_answer(self, call: Call) -> bool:
        """Read the answer; return False if the connection ends before it."""
        while b"\r\n\r\n" not in self._buffer:
            if not await self._receive():
                return False
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        first_line, fields = parse_head(head)
        if not first_line.startswith("HTTP/1.1 ") or (
            "content-length" not in fields
        ):
            self._record.fail(f"bytes that are no answer: {head!r}", call)
            return False
        size = int(fields["content-length"])
        while len(rest) < size:
            if not await self._receive():
                return False
            rest = self._buffer.partition(b"\r\n\r\n")[2]
        call.status = int(first_line.split(" ")[1])
        call.signature = fields.get("x-sequoiaseam-response-signature", "")
        call.answer, self._buffer = rest[:size], rest[size:]
        if self._buffer:
            self._record.fail(f"bytes after an answer: {rest!r}", call)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return True

    async def _receive(self) -> bytes:
        data = await self._reader.read(CHUNK_BYTES)
        self._buffer += data
        return data


class Caller:
    """A caller on one host that sends requests one after the other.

    It uses its connection as long as HTTP allows, or opens one for each
    request, and keeps on while its node is stopping.
    """

    def __init__(
        self,
        record: Record,
        rng: random.Random,
        ids: RequestIds,
        site: Site,
        node: str,
        port: int,
        *,
        keeps_connection: bool,
    ) -> None:
        self._record = record
        self._rng = rng
        self._ids = ids
        self._site = site
        self._node = node
        self._endpoint = (node, port)
        self._path = ""
        self._relay: FaultRelay | None = None
        self._keeps_connection = keeps_connection
        self._think_seconds = site.think_seconds or rng.choice(THINK_SECONDS)
        self._connection: CallerConnection | None = None
        self._stopping = asyncio.Event()
        # Name under which requests count that a stopping node gets.
        self.strike = ""

    def use_relay(self, name: str, relay: FaultRelay) -> None:
        """Reach the node through a relay."""
        self._path = name
        self._relay = relay

    async def run(self) -> None:
        """Send requests until the caller is to stop."""
        while not self._stopping.is_set():
            try:
                connection = await self._connect()
            except OSError:
                await self._wait(RECONNECT_SECONDS)
                continue
            call = await self._send_request(connection)
            wait = self._rng.expovariate(1 / self._think_seconds)
            if call.status in (429, 503):
                wait = max(
                    wait, self._rng.uniform(0.05, RETURN_WAIT_SECONDS_MAX)
                )
            await self._wait(wait)
        if self._connection is not None:
            self._connection.close()

    def stop(self) -> None:
        """Send no further requests."""
        self._stopping.set()

    async def _wait(self, seconds: float) -> None:
        """Wait unless the caller is to stop."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._stopping.wait()

    async def _connect(self) -> CallerConnection:
        connection = self._connection
        if (
            connection is not None
            and connection.usable
            and self._record.now() - connection.idle_since
            < self._site.idle_seconds
        ):
            return connection
        if connection is not None:
            connection.close()
        connection = CallerConnection(
            self._record, *self._endpoint, self._relay
        )
        self._connection = None
        await connection.open()
        self._connection = connection
        return connection

    async def _send_request(self, connection: CallerConnection) -> Call:
        rng = self._rng
        site = self._site
        routes = site.root_routes
        (route,) = rng.choices(routes, [route.weight for route in routes])
        request_id = self._ids.create()
        body = route.draw_body(rng)
        workspace = rng.choice(sorted(site.keys))
        keys = site.keys[workspace]
        call = Call(
            request_id,
            self._node,
            route.method,
            route.prefix + request_id,
            body,
            route.idempotent,
            workspace,
            site.services[self._node],
            route.timeout,
            key=keys[0] if len(keys) == 1 else rng.choice(keys),
            path=self._path,
        )
        if self.strike and self._record.is_stopped(
            (self._node,), self._record.now(), self._record.now()
        ):
            self._record.strikes[self.strike] += 1
        message = encode_request(
            call,
            round(route.timeout * 1000),
            chunked=rng.random() < 0.3,
        )
        split = 0
        if rng.random() < 0.15:
            split = rng.randrange(1, len(message))
        pause = rng.uniform(0, SEND_PAUSE_SECONDS_MAX)
        await connection.send(
            call, message, split, pause, self._draw_patience(route.timeout)
        )
        if not self._keeps_connection:
            connection.close()
        return call

    def _draw_patience(self, timeout: float) -> float:
        """Return how long the caller waits for an answer."""
        site = self._site
        if not site.leaving_ratio:
            return math.inf
        draw = self._rng.random()
        if draw < site.leaving_ratio:
            return timeout * self._rng.random()
        draw -= site.leaving_ratio
        return timeout if draw < site.punctual_ratio else math.inf
