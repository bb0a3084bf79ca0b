"""Streams of messages between the system's processes, on plain TCP.

Each stream has a connection of its own. Its first frame names the method
and proves who calls; then both sides send messages of a `Codec` until one
of them closes. A frame is a length of four bytes, a kind and the content.
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
from sequoiaseam._listeners import Listener, open_listener
from sequoiaseam._logs import Level, log_event
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.errors import ErrorCode, SeamError

HEAD: Final = struct.Struct(">IB")
FRAME_LIMIT: Final = 72 * 1024 * 1024  # bytes
# What is kept unread before the sender has to wait.
MAX_UNREAD_BYTES: Final = 1024 * 1024  # bytes
CONNECT_SECONDS: Final = 1.0
OPEN_SECONDS: Final = 2.0

_encode: Final = msgspec.msgpack.Encoder().encode
_decode_opening: Final = msgspec.msgpack.Decoder(tuple[str, str]).decode
_decode_refusal: Final = msgspec.msgpack.Decoder(tuple[str, str]).decode


class Kind(enum.IntEnum):
    """What a frame holds."""

    OPENING = 0  # The method's path and the proof.
    MESSAGE = 1
    REFUSAL = 2  # A code of errors.ErrorCode and a text.


class StreamEndedError(Exception):
    """The connection ended before the answer came."""


class Connection(asyncio.Protocol):
    """Frames of one connection, read one by one."""

    def __init__(self) -> None:
        self._transport: Any = None
        self._received = bytearray()
        self._frames: deque[tuple[int, bytes]] = deque()
        self._unread = 0  # bytes
        self._ended = False
        self._reader: asyncio.Future[None] | None = None
        self._writers: list[asyncio.Future[None]] = []
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever reads or writes."""
        del exc
        self._ended = True
        self._paused = False
        self._wake()
        self.resume_writing()

    def eof_received(self) -> bool:
        """Close: a side that sends no more has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Split what has arrived into frames."""
        received = self._received
        received += data
        start = 0
        while len(received) - start >= HEAD.size:
            size, kind = HEAD.unpack_from(received, start)
            if size > FRAME_LIMIT:
                self.abort()
                return
            begin = start + HEAD.size
            if len(received) - begin < size:
                break
            start = begin + size
            self._frames.append((kind, bytes(received[begin:start])))
            self._unread += size
        del received[:start]
        if self._unread > MAX_UNREAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def _wake(self) -> None:
        reader, self._reader = self._reader, None
        if reader is not None and not reader.done():
            reader.set_result(None)

    def pause_writing(self) -> None:
        """Let senders wait."""
        self._paused = True

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._paused = False
        writers, self._writers = self._writers, []
        for writer in writers:
            if not writer.done():
                writer.set_result(None)

    async def read(self) -> tuple[int, bytes] | None:
        """Return the next frame, None once the connection has ended."""
        while not self._frames:
            if self._ended:
                return None
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        frame = self._frames.popleft()
        before = self._unread
        self._unread -= len(frame[1])
        if self._unread <= MAX_UNREAD_BYTES < before and not self._ended:
            self._transport.resume_reading()
        return frame

    async def write(self, kind: Kind, content: bytes) -> None:
        """Send a frame; raise StreamEndedError if there is no way to."""
        while self._paused:
            writer = asyncio.get_running_loop().create_future()
            self._writers.append(writer)
            await writer
        if self._ended:
            raise StreamEndedError
        self._transport.write(HEAD.pack(len(content), kind) + content)

    def close(self) -> None:
        """End the connection after what was written."""
        self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        self._transport.abort()


class Stream:
    """Messages in both directions; iteration ends with the connection."""

    def __init__(self, connection: Connection, codec: Codec) -> None:
        self._connection = connection
        self._codec = codec

    async def send_message(self, message: object) -> None:
        """Send a message; raise StreamEndedError if there is no way to."""
        content = self._codec.encode(message)
        await self._connection.write(Kind.MESSAGE, content)

    async def recv_message(self) -> Any:
        """Return the next message, None at the end.

        Raise SeamError with the other side's code if it refuses.
        """
        frame = await self._connection.read()
        if frame is None:
            return None
        kind, content = frame
        if kind == Kind.REFUSAL:
            code, text = _decode_refusal(content)
            raise SeamError(ErrorCode(code), text)
        return self._codec.decode(content)

    def abort(self) -> None:
        """End the stream at once."""
        self._connection.abort()

    def __aiter__(self) -> "Stream":
        return self

    async def __anext__(self) -> Any:
        message = await self.recv_message()
        if message is None:
            raise StopAsyncIteration
        return message


StreamFunction = Callable[[Stream, Identity], Awaitable[None]]


class RpcServer:
    """Serve streams of methods that are given as functions, by path.

    Each stream is let in only with a proof that the verifier accepts. It
    is closed when its function returns.
    """

    def __init__(
        self,
        verifier: ProofChecker,
        clock: Clock,
        codec: Codec,
        methods: Mapping[str, StreamFunction],
    ) -> None:
        self._verifier = verifier
        self._clock = clock
        self._codec = codec
        self._methods = methods
        self._tasks = TaskGroup()
        self._connections: set[Connection] = set()
        self._listener: Listener | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._listener = await open_listener(self._accept, host, port)

    async def close(self) -> None:
        """Stop listening and end all streams."""
        if self._listener is not None:
            self._listener.server.close()
        await self._tasks.cancel()
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> Connection:
        connection = Connection()
        self._tasks.start(self._serve(connection))
        return connection

    async def _serve(self, connection: Connection) -> None:
        self._connections.add(connection)
        try:
            await self._run(connection)
        except (StreamEndedError, TimeoutError) as error:
            # The caller has left, or never said what it wants.
            log_event(
                Level.DEBUG,
                "stream ended by its caller",
                error=type(error).__name__,
            )
        except SeamError as error:
            with contextlib.suppress(StreamEndedError):
                content = _encode((error.code.value, error.message))
                await connection.write(Kind.REFUSAL, content)
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _run(self, connection: Connection) -> None:
        async with asyncio.timeout(OPEN_SECONDS):
            frame = await connection.read()
        if frame is None:
            return
        try:
            path, proof = _decode_opening(frame[1])
        except msgspec.DecodeError as error:
            raise SeamError(ErrorCode.BAD_REQUEST, "no opening") from error
        function = self._methods.get(path)
        if frame[0] != Kind.OPENING or function is None:
            raise SeamError(ErrorCode.BAD_REQUEST, "unknown method")
        identity = self._verifier.verify(self._clock.now(), proof)
        await function(Stream(connection, self._codec), identity)


class Channel:
    """Where streams to one process are opened."""

    def __init__(self, host: str, port: int, codec: Codec) -> None:
        self._host = host
        self._port = port
        self._codec = codec

    def open_stream(self, path: str, proof: str) -> "Opening":
        """Return a context that opens a stream and ends it.

        Entering raises OSError if there is no connection.
        """
        return Opening(self, path, proof)

    async def connect(self, path: str, proof: str) -> Stream:
        """Open a stream; raise OSError if there is no connection."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    Connection,
                    self._host,
                    self._port,
                )
        except TimeoutError as error:
            # Tells it from the loss of an answer.
            raise ConnectionError("no connection in time") from error
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
        """Send one message and return its answer.

        Raise StreamEndedError or TimeoutError if the answer is lost,
        and OSError if the request surely wasn't sent.
        """
        async with self.open_stream(path, proof) as stream:
            async with asyncio.timeout(timeout_seconds):
                await stream.send_message(request)
                answer = await stream.recv_message()
        if answer is None:
            raise StreamEndedError
        return answer


class Opening:
    """A stream that is opened on entry and ended on exit.

    It ends at once, also on a connection that takes no more bytes.
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
