"""Frames between nodes on plain connections, many calls on each.

A frame is a length of four bytes and a MessagePack array whose first
item is the type's tag. Each node opens its own connection to every node
that it calls; whoever opened it sends calls, the other side answers.
What is posted within one turn of the loop leaves in one write.
"""

import asyncio
import contextlib
import struct
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Final

import msgspec

from sequoiaseam._clock import Clock
from sequoiaseam._listeners import Listener, open_listener
from sequoiaseam._logs import Level, log_event
from sequoiaseam._mesh_frames import (
    Frame,
    MeshPing,
    RunAnswer,
    RunCall,
    RunCancel,
    RunRefusal,
    RunResult,
    decode_frame,
    encode_frame,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT

LENGTH: Final = struct.Struct(">I")
FRAME_LIMIT: Final = 72 * 1024 * 1024  # bytes
CONNECT_TIMEOUT: Final = timedelta(seconds=1)


OnResult = Callable[[RunResult | None], None]
# Runs a call; the function that it returns gives the call up.
Runner = Callable[[RunCall, Callable[[RunResult], None]], Callable[[], None]]


class FrameConnection(asyncio.Protocol):
    """Split what arrives into frames; gather what leaves."""

    def __init__(
        self,
        on_frame: Callable[[Any], None],
        on_end: Callable[[], None],
    ) -> None:
        self._on_frame = on_frame
        self._on_end = on_end
        self._transport: Any = None
        self._received = bytearray()
        self._out: list[bytes] = []
        self.heard = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the connection has ended."""
        del exc
        self.closed = True
        self._on_end()

    def data_received(self, data: bytes) -> None:
        """Hand over each whole frame."""
        self.heard = True
        received = self._received
        received += data
        start = 0
        while len(received) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(received, start)
            if size > FRAME_LIMIT:
                self._fail("frame too long")
                return
            end = start + LENGTH.size + size
            if len(received) < end:
                break
            content = bytes(received[start + LENGTH.size : end])
            start = end
            try:
                frame = decode_frame(content)
            except msgspec.DecodeError:
                self._fail("malformed frame")
                return
            self._on_frame(frame)
        del received[:start]

    def _fail(self, reason: str) -> None:
        log_event(Level.WARNING, "mesh connection ended", reason=reason)
        self.abort()

    def post(self, frame: Frame) -> None:
        """Send a frame with the others of this turn of the loop."""
        if not self._out:
            asyncio.get_running_loop().call_soon(self._flush)
        content = encode_frame(frame)
        self._out.append(LENGTH.pack(len(content)))
        self._out.append(content)

    def _flush(self) -> None:
        out, self._out = self._out, []
        if not self.closed:
            self._transport.write(b"".join(out))

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class MeshLink:
    """This node's connection to one other node, opened when needed."""

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock,
        on_change: Callable[[bool], None],
    ) -> None:
        self.endpoint = endpoint
        # Told whether the other node can be reached.
        self._on_change = on_change
        self._closed = False
        self._clock = clock
        self._connection: FrameConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._pending: dict[int, OnResult] = {}
        self._unsent: dict[int, RunCall] = {}
        self._next_id = 0
        self._pings = 0
        self._asked = clock.now()

    def call(self, call: RunCall, done: OnResult) -> int:
        """Send a call; ``done`` gets the result, None if it was lost.

        Return its id, with which it can be given up. A call that was
        never sent ends as a refusal by ``fail_unsent``.
        """
        self._next_id += 1
        call_id = self._next_id
        call = msgspec.structs.replace(call, call_id=call_id)
        self._pending[call_id] = done
        if self._connection is not None:
            self._connection.post(call)
        else:
            self._unsent[call_id] = call
            self._open()
        return call_id

    def cancel(self, call_id: int) -> None:
        """Give a call up; the other node is told."""
        if self._pending.pop(call_id, None) is None:
            return
        if self._unsent.pop(call_id, None) is None and self._connection:
            self._connection.post(RunCancel(call_id))

    def _open(self) -> None:
        if self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(
                self._connect(),
            )

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: FrameConnection(self._receive, self._end),
                    self.endpoint.host,
                    self.endpoint.port,
                )
        except (OSError, TimeoutError) as error:
            log_event(
                Level.WARNING,
                "node not reached",
                peer=str(self.endpoint),
                error=type(error).__name__,
            )
            self._on_change(False)  # noqa: FBT003
            self._fail_unsent()
        else:
            self._connection = connection
            self._asked = self._clock.now()
            self._on_change(True)  # noqa: FBT003
            unsent, self._unsent = self._unsent, {}
            for call in unsent.values():
                connection.post(call)
        finally:
            self._opening = None

    def _fail_unsent(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for call_id in unsent:
            done = self._pending.pop(call_id)
            done(create_unsent(call_id))

    def _receive(self, frame: Any) -> None:
        if isinstance(frame, RunAnswer | RunRefusal):
            done = self._pending.pop(frame.call_id, None)
            if done is not None:
                done(frame)

    def _end(self) -> None:
        """Report all calls as lost: each may have run."""
        self._connection = None
        if not self._closed:
            self._on_change(False)  # noqa: FBT003
        pending, self._pending = self._pending, {}
        unsent = set(self._unsent)
        for call_id, done in pending.items():
            if call_id in unsent:
                self._pending[call_id] = done
            else:
                done(None)

    def tick(self, now: datetime) -> None:
        """Ping unless something came; end a silent connection.

        A connection that was lost is opened again without a call, since
        a node that can't be reached gets none.
        """
        connection = self._connection
        if connection is None:
            self._open()
            return
        if connection.heard:
            # What came in shows as much as an echo would.
            connection.heard = False
            self._asked = now
            if not self._pending:
                return
        elif now - self._asked > CONNECTION_TIMEOUT:
            log_event(
                Level.WARNING,
                "connection to node is silent",
                peer=str(self.endpoint),
            )
            connection.abort()
            return
        self._pings += 1
        connection.post(MeshPing(self._pings))

    def close(self) -> None:
        """End the connection."""
        self._closed = True
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None:
            self._connection.abort()


def create_unsent(call_id: int) -> RunRefusal:
    """Return the refusal of a call that never left this node."""
    return RunRefusal(
        call_id,
        "CONNECTION_LOST",
        may_have_run=False,
        retry_after_ms=0,
        load=0.0,
        pressures=[],
    )


class MeshServer:
    """Accept other nodes' connections and run their calls."""

    def __init__(self, run: Runner) -> None:
        self._run = run
        self._listener: Listener | None = None
        self._connections: set[_Incoming] = set()

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._listener = await open_listener(self._accept, host, port)
        return self._listener.port

    def _accept(self) -> FrameConnection:
        incoming = _Incoming(self._run, self._connections.discard)
        self._connections.add(incoming)
        return incoming.connection

    @property
    def busy(self) -> int:
        """Return how many calls are in progress."""
        return sum(len(one.running) for one in self._connections)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._listener is not None:
            self._listener.server.close()
        for incoming in list(self._connections):
            incoming.connection.abort()


class _Incoming:
    """Another node's connection to this one, with its calls."""

    def __init__(
        self,
        run: Runner,
        forget: Callable[["_Incoming"], None],
    ) -> None:
        self._run = run
        self._forget = forget
        self.running: dict[int, Callable[[], None]] = {}
        self.connection = FrameConnection(self._receive, self._end)

    def _receive(self, frame: Any) -> None:
        if isinstance(frame, RunCall):
            self._start(frame)
        elif isinstance(frame, RunCancel):
            cancel = self.running.pop(frame.call_id, None)
            if cancel is not None:
                cancel()
        elif isinstance(frame, MeshPing):
            self.connection.post(frame)

    def _start(self, call: RunCall) -> None:
        ended = False

        def finish(result: RunResult) -> None:
            nonlocal ended
            ended = True
            self.running.pop(call.call_id, None)
            if not self.connection.closed:
                self.connection.post(result)

        cancel = self._run(call, finish)
        if not ended:
            self.running[call.call_id] = cancel

    def _end(self) -> None:
        """Give up the calls of a node that is gone."""
        self._forget(self)
        running, self.running = self.running, {}
        for cancel in running.values():
            cancel()


class Mesh:
    """Links to all other nodes."""

    def __init__(
        self,
        clock: Clock,
        on_change: Callable[[str, bool], None],
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._links: dict[str, MeshLink] = {}
        self._tasks = TaskGroup()

    def start(self) -> None:
        """Begin to look after the links."""
        self._tasks.start(self._tick())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(CONNECTION_PING_INTERVAL.total_seconds())
            now = self._clock.now()
            for link in list(self._links.values()):
                link.tick(now)

    def get_link(self, name: str, endpoint: Endpoint) -> MeshLink:
        """Return the link to a node at its present address."""
        link = self._links.get(name)
        if link is None or link.endpoint != endpoint:
            if link is not None:
                link.close()
            link = self._links[name] = MeshLink(
                endpoint,
                self._clock,
                lambda reached: self._on_change(name, reached),
            )
        return link

    def close_links_except(self, kept: set[str]) -> None:
        """Close the links to nodes that are not in ``kept``."""
        for name in set(self._links) - kept:
            self._links.pop(name).close()

    async def close(self) -> None:
        """Close all links."""
        with contextlib.suppress(asyncio.CancelledError):
            await self._tasks.cancel()
        for link in self._links.values():
            link.close()
