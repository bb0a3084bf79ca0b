"""Bidirectional message streams between processes over plain TCP.

Each stream uses its own connection. The first frame carries the method
path and the caller's proof of identity; after it both sides send messages
encoded by a `Codec` until one of them closes. A frame consists of a
four-byte length, a one-byte kind and the content.
"""

import asyncio
import contextlib
import enum
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import msgspec

from sequoiaseam._access import Identity, ProofChecker
from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._connection_limit import (
    DEFAULT_DESCRIPTOR_LIMIT,
    INTERNAL_FRACTION,
    ConnectionLimit,
    compute_connection_limit,
)
from sequoiaseam._listeners import (
    ClosingConnection,
    Listener,
    accept_waiting,
    connect,
    open_listener,
    register_accepted,
)
from sequoiaseam._logs import Level, log_event
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._turned_away import (
    TOO_MANY_CONNECTIONS,
    UNPROVEN,
    TurnedAwayCallers,
)
from sequoiaseam._unread_input import has_unread_input
from sequoiaseam.errors import ErrorCode, SeamError

FRAME_HEADER: Final = struct.Struct(">IB")
# Holds the largest document of a configuration.
MAX_FRAME_BYTES: Final = 40 * 1024 * 1024
# Before the other side has proved who it is.
OPENING_MAX_BYTES: Final = 64 * 1024
# Streams whose callers haven't proved who they are. Each may hold a frame of
# OPENING_MAX_BYTES and one read of the event loop, 256 KiB; a new one takes
# the place of the oldest.
UNPROVEN_STREAMS_MAX: Final = 128
# Above this amount of unread content, reading from the socket is paused, so
# that the sender has to wait.
MAX_UNREAD_BYTES: Final = 1024 * 1024
# The same for frames, which take more memory than their content if small.
UNREAD_FRAMES_MAX: Final = 4096
# Several round trips between regions. A lost first packet is repeated by the
# system after 1 s only, by a new connection earlier.
CONNECT_TIMEOUT_SECONDS: Final = 0.5
OPENING_TIMEOUT_SECONDS: Final = 2.0

_encode: Final = msgspec.msgpack.Encoder().encode
_decode_opening: Final = msgspec.msgpack.Decoder(tuple[str, str]).decode
_decode_refusal: Final = msgspec.msgpack.Decoder(tuple[str, str]).decode


class Kind(enum.IntEnum):
    """The kind of content that a frame carries."""

    OPENING = 0  # The method path and the caller's proof.
    MESSAGE = 1
    REFUSAL = 2  # The value of an errors.ErrorCode and a message.
    COMPRESSED_MESSAGE = 3


class StreamEndedError(Exception):
    """The connection ended before an answer arrived."""


class Connection(asyncio.Protocol):
    """Split the bytes of one connection into frames, with flow control."""

    def __init__(self, frame_max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._transport: Any = None
        self._received = bytearray()
        self._frames: deque[tuple[int, bytes]] = deque()
        self._unread_bytes = 0
        self._ended = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiters: list[asyncio.Future[None]] = []
        self._write_paused = False
        self._frame_max_bytes = frame_max_bytes
        # Whether only the first frame may be read, which opens a stream.
        self._opening_only = frame_max_bytes < MAX_FRAME_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport

    def allow_large_frames(self) -> None:
        """Read also frames beyond those that open a stream."""
        self._frame_max_bytes = MAX_FRAME_BYTES
        self._opening_only = False
        if not self._ended:
            self.data_received(b"")
            if not self._has_much_unread:
                self._transport.resume_reading()

    @property
    def _has_much_unread(self) -> bool:
        return (
            self._unread_bytes > MAX_UNREAD_BYTES
            or len(self._frames) > UNREAD_FRAMES_MAX
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake all pending reads and writes."""
        del exc
        self._ended = True
        self._write_paused = False
        self._wake_reader()
        self.resume_writing()

    def eof_received(self) -> bool:
        """Close the connection; half-closed connections aren't supported."""
        return False

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into frames; abort on an oversized one."""
        received = self._received
        received += data
        start = 0
        while len(received) - start >= FRAME_HEADER.size:
            content_size, kind = FRAME_HEADER.unpack_from(received, start)
            if content_size > MAX_FRAME_BYTES:
                self.abort()
                return
            if content_size > self._frame_max_bytes:
                # Read on once the other side has proved who it is.
                self._transport.pause_reading()
                break
            content_start = start + FRAME_HEADER.size
            if len(received) - content_start < content_size:
                break
            start = content_start + content_size
            self._frames.append((kind, bytes(received[content_start:start])))
            self._unread_bytes += content_size
            if self._opening_only:
                # Read on once the other side has proved who it is.
                self._transport.pause_reading()
                break
        del received[:start]
        if self._has_much_unread:
            self._transport.pause_reading()
        self._wake_reader()

    def _wake_reader(self) -> None:
        waiter, self._read_waiter = self._read_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def pause_writing(self) -> None:
        """Make writes wait until the send buffer has drained."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Wake the writes that wait for the send buffer."""
        self._write_paused = False
        waiters, self._write_waiters = self._write_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def read(self) -> tuple[int, bytes] | None:
        """Return the next frame, or None once the connection has ended."""
        while not self._frames:
            if self._ended:
                return None
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        had_much_unread = self._has_much_unread
        frame = self._frames.popleft()
        self._unread_bytes -= len(frame[1])
        if had_much_unread and not self._has_much_unread and not self._ended:
            self._transport.resume_reading()
        return frame

    @property
    def has_input(self) -> bool:
        """Return whether a frame or data in the kernel waits to be read."""
        return bool(self._frames) or (
            not self._ended and has_unread_input(self._transport)
        )

    @property
    def delays_opening(self) -> bool:
        """Return whether a part of the first frame was read, or none came."""
        if self._transport is None or self._ended:
            return False
        return bool(self._received) or not has_unread_input(self._transport)

    async def write(self, kind: Kind, content: bytes) -> None:
        """Send a frame; raise StreamEndedError if the connection ended."""
        while self._write_paused:
            waiter = asyncio.get_running_loop().create_future()
            self._write_waiters.append(waiter)
            await waiter
        if self._ended:
            raise StreamEndedError
        self._transport.write(FRAME_HEADER.pack(len(content), kind) + content)

    def close(self) -> None:
        """Close the connection after flushing buffered frames."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately, dropping buffered frames."""
        self._transport.abort()


class Stream:
    """A message stream; iteration yields messages until it ends."""

    def __init__(self, connection: Connection, codec: Codec) -> None:
        self._connection = connection
        self._codec = codec

    async def send_message(self, message: object) -> None:
        """Send a message; raise StreamEndedError if the stream ended."""
        encoded = self._codec.encode_compressed(message)
        kind = Kind.COMPRESSED_MESSAGE if encoded.compressed else Kind.MESSAGE
        await self._connection.write(kind, encoded.content)

    async def recv_message(self) -> Any:
        """Return the next message, or None at the end of the stream.

        Raise SeamError with the peer's error code if the peer sent a
        refusal.
        """
        frame = await self._connection.read()
        if frame is None:
            return None
        kind, content = frame
        if kind == Kind.REFUSAL:
            code, message = _decode_refusal(content)
            raise SeamError(ErrorCode(code), message)
        if kind == Kind.COMPRESSED_MESSAGE:
            return self._codec.decode_compressed(content)
        return self._codec.decode(content)

    def abort(self) -> None:
        """Close the stream immediately."""
        self._connection.abort()

    def __aiter__(self) -> "Stream":
        return self

    async def __anext__(self) -> Any:
        message = await self.recv_message()
        if message is None:
            raise StopAsyncIteration
        return message


StreamHandler = Callable[[Stream, Identity], Awaitable[None]]


def create_stopping_error() -> SeamError:
    """Create the error of a request that another host has to execute."""
    return SeamError(ErrorCode.CONNECTION_LOST, "this host is stopping")


class RpcServer:
    """Accept streams and pass each one to the handler of its method path.

    A stream is accepted only if the verifier accepts the caller's proof.
    It is closed when its handler returns.
    """

    def __init__(
        self,
        verifier: ProofChecker,
        clock: Clock,
        codec: Codec,
        methods: Mapping[str, StreamHandler],
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self._verifier = verifier
        self._clock = clock
        self._codec = codec
        self._methods = methods
        self._tasks = TaskGroup()
        self._connections: set[Connection] = set()
        # In order of arrival.
        self._unproven: dict[Connection, None] = {}
        self._connection_limit = connection_limit or ConnectionLimit(
            compute_connection_limit(
                DEFAULT_DESCRIPTOR_LIMIT, INTERNAL_FRACTION
            )
        )
        self.turned_away = TurnedAwayCallers("internal", clock)
        self._accepting = True
        self._listener: Listener | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening on ``host`` and ``port``."""
        self._listener = await open_listener(self._accept, host, port)

    def stop_accepting(self) -> None:
        """Stop listening and refuse streams that aren't open yet.

        Their callers may have sent a request, which would be unknown if the
        kernel reset their connections.
        """
        self._accepting = False
        if self._listener is None:
            return
        for accepted in accept_waiting(self._listener):
            self._tasks.start(register_accepted(self._accept, accepted))
        self._listener.server.close()
        self._listener = None

    async def close(self) -> None:
        """Stop listening and close all streams."""
        self.stop_accepting()
        await self._tasks.cancel()
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> asyncio.Protocol:
        count = len(self._connections)
        if len(self._unproven) >= self._unproven_max:
            self._abort_oldest_unproven()
        if self._connection_limit.is_full(count):
            self.turned_away.record(TOO_MANY_CONNECTIONS, open=count)
            return ClosingConnection()
        connection = Connection(OPENING_MAX_BYTES)
        self._connections.add(connection)
        self._unproven[connection] = None
        self._tasks.start(self._serve(connection))
        return connection

    @property
    def _unproven_max(self) -> int:
        limit = self._connection_limit.connections_max
        return min(UNPROVEN_STREAMS_MAX, max(1, limit // 2))

    def _abort_oldest_unproven(self) -> None:
        """Make room for a caller that may prove who it is.

        Those whose opening waits unread stay: many nodes may connect at once.
        """
        for connection in self._unproven:
            if connection.delays_opening:
                del self._unproven[connection]
                self.turned_away.record(UNPROVEN, open=len(self._connections))
                connection.abort()
                return

    async def _serve(self, connection: Connection) -> None:
        try:
            await self._run_method(connection)
        except (StreamEndedError, TimeoutError) as error:
            # The caller disconnected, or sent no opening frame in time.
            log_event(
                Level.DEBUG,
                "stream ended by the caller",
                error=type(error).__name__,
            )
        except SeamError as error:
            with contextlib.suppress(StreamEndedError):
                content = _encode((error.code.value, error.message))
                await connection.write(Kind.REFUSAL, content)
        finally:
            self._connections.discard(connection)
            self._unproven.pop(connection, None)
            connection.close()

    async def _read_opening(
        self, connection: Connection
    ) -> tuple[int, bytes] | None:
        """Return the first frame; raise TimeoutError if it doesn't come.

        One that waits unread when the time is over has come while the event
        loop was late.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OPENING_TIMEOUT_SECONDS):
                return await connection.read()
        if not connection.has_input:
            raise TimeoutError
        async with asyncio.timeout(OPENING_TIMEOUT_SECONDS):
            return await connection.read()

    async def _run_method(self, connection: Connection) -> None:
        frame = await self._read_opening(connection)
        if frame is None:
            return
        try:
            path, proof = _decode_opening(frame[1])
        except msgspec.DecodeError as error:
            raise SeamError(ErrorCode.BAD_REQUEST, "no opening") from error
        handler = self._methods.get(path)
        if frame[0] != Kind.OPENING or handler is None:
            raise SeamError(ErrorCode.BAD_REQUEST, "unknown method")
        identity = self._verifier.verify(self._clock.now(), proof)
        self._unproven.pop(connection, None)
        connection.allow_large_frames()
        if not self._accepting:
            raise create_stopping_error()
        await handler(Stream(connection, self._codec), identity)


class Channel:
    """Open streams to one address, each on a connection of its own."""

    def __init__(self, host: str, port: int, codec: Codec) -> None:
        self._host = host
        self._port = port
        self._codec = codec

    def open_stream(self, path: str, proof: str) -> "StreamContext":
        """Return a context manager that opens a stream and closes it.

        Entering it raises OSError if the connection can't be made.
        """
        return StreamContext(self, path, proof)

    async def connect(self, path: str, proof: str) -> Stream:
        """Open a stream; raise OSError if the connection can't be made."""
        try:
            connection = await connect(
                Connection, self._host, self._port, CONNECT_TIMEOUT_SECONDS
            )
        except TimeoutError as error:
            # A TimeoutError would look like a lost answer, although no
            # request was sent.
            raise ConnectionError("connection attempt timed out") from error
        await connection.write(Kind.OPENING, _encode((path, proof)))
        return Stream(connection, self._codec)

    async def call(
        self,
        path: str,
        request: object,
        *,
        proof: str,
        timeout_seconds: float,
    ) -> Any:
        """Send a request and return the answer.

        ``timeout_seconds`` bounds sending and waiting together, without
        the connection attempt. Raise StreamEndedError or TimeoutError if
        the answer is lost, and another OSError if the request was
        certainly not sent.
        """
        async with self.open_stream(path, proof) as stream:
            async with asyncio.timeout(timeout_seconds):
                await stream.send_message(request)
                answer = await stream.recv_message()
        if answer is None:
            raise StreamEndedError
        return answer


class StreamContext:
    """Context manager that opens a stream on entry and closes it on exit.

    The stream is aborted rather than flushed, so that leaving doesn't
    block on a connection whose peer reads no more.
    """

    def __init__(self, channel: Channel, path: str, proof: str) -> None:
        self._channel = channel
        self._path = path
        self._proof = proof
        self._stream: Stream | None = None

    async def __aenter__(self) -> Stream:
        self._stream = await self._channel.connect(self._path, self._proof)
        return self._stream

    async def __aexit__(self, *_: object) -> None:
        if self._stream is not None:
            self._stream.abort()
