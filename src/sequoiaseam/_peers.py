"""WebSocket connections between nodes, many calls on each by id.

Each node opens its own connection to every node that it calls. Answers
are matched by call id; one that nobody waits for any more is dropped.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any, Final

import aiohttp
from aiohttp import web

from sequoiaseam._access import Identity
from sequoiaseam._codec import Codec
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    CancelFrame,
    RefusalFrame,
    compute_checksum,
)
from sequoiaseam._logs import Level, log_event
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam.const import CONNECTION_TIMEOUT
from sequoiaseam.errors import ErrorCode, RefusalError, SeamError

PROOF_HEADER: Final = "x-sequoiaseam-proof"
PEER_PATH: Final = "/peer"
MESSAGE_MAX_BYTES: Final = 72 * 1024 * 1024
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# A ping that is not answered within half this time ends the connection,
# so a silent one is found within 1.5 times this time.
HEARTBEAT_INTERVAL_SECONDS: Final = CONNECTION_TIMEOUT.total_seconds() / 1.5

# Time between attempts to reach a node again.
RECONNECT_INTERVAL_SECONDS: Final = 0.5

CallHandler = Callable[[CallFrame], Awaitable[AnswerFrame | RefusalFrame]]
MessageHandler = Callable[[Any], None]


def _create_lost(*, sent: bool) -> RefusalError:
    return RefusalError(
        ErrorCode.CONNECTION_LOST,
        "the connection to the guarding node was lost",
        verdict=Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
    )


class PeerLink:
    """This node's connection to one other node."""

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        codec: Codec,
        create_proof: Callable[[], str],
        on_message: MessageHandler,
        on_lost: Callable[[], None],
        on_found: Callable[[], None],
        is_wanted: Callable[[], bool],
    ) -> None:
        self._url = url
        self._session = session
        self._codec = codec
        self._create_proof = create_proof
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_found = on_found
        self._is_wanted = is_wanted
        self._restoring: asyncio.Task[None] | None = None
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._next_id = 0
        self._used = True
        self._tasks = TaskGroup()

    def take_used(self) -> bool:
        """Tell whether anything was sent since the last time asked."""
        used = self._used or bool(self._pending)
        self._used = False
        return used

    @property
    def url(self) -> str:
        """Return the address that the link connects to."""
        return self._url

    async def call(self, frame: CallFrame) -> AnswerFrame | RefusalFrame:
        """Send a call and return its answer; raise RefusalError if lost.

        Cancelling this coroutine cancels the call on the other node.
        """
        self._used = True
        await self._connect()
        self._next_id += 1
        call_id = self._next_id
        future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[call_id] = future
        try:
            await self._send(replace(frame, call_id=call_id))
            return _check_answer(await future)
        except asyncio.CancelledError:
            self.post(CancelFrame(call_id))
            raise
        finally:
            self._pending.pop(call_id, None)

    def post(self, message: object) -> None:
        """Send a message that needs no answer; drop it if unreachable."""
        self._used = True
        self._tasks.start(self._post(message))

    async def _post(self, message: object) -> None:
        try:
            await self._connect()
            await self._send(message)
        except RefusalError:
            return

    async def _send(self, message: object) -> None:
        socket = self._socket
        if socket is None or socket.closed:
            raise _create_lost(sent=False)
        try:
            await socket.send_bytes(self._codec.encode(message))
        except (ConnectionError, aiohttp.ClientError, RuntimeError) as error:
            # A part of the frame may have left; a call may have run.
            raise _create_lost(sent=True) from error

    async def _connect(self) -> None:
        if self._socket is not None and not self._socket.closed:
            return
        if self._connecting is None or self._connecting.done():
            self._connecting = self._tasks.start(self._open())
        # Shielded, because other calls wait for the same attempt.
        await asyncio.shield(self._connecting)
        if self._socket is None:
            raise _create_lost(sent=False)

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._socket = await self._session.ws_connect(
                    self._url,
                    heartbeat=HEARTBEAT_INTERVAL_SECONDS,
                    max_msg_size=MESSAGE_MAX_BYTES,
                    compress=0,
                    headers={PROOF_HEADER: self._create_proof()},
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._socket = None
            log_event(
                Level.WARNING,
                "peer connection failed",
                url=self._url,
                error=type(error).__name__,
            )
            self._on_lost()
            self._restore()
            return
        self._on_found()
        self._tasks.start(self._read(self._socket))

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    self._receive(self._codec.decode(message.data))
        except SeamError as error:
            log_event(
                Level.WARNING,
                "malformed frame from peer",
                url=self._url,
                code=error.code.value,
            )
        finally:
            await socket.close()
            self._fail_pending(socket)

    def _fail_pending(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        if self._socket is socket:
            self._socket = None
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(_create_lost(sent=True))
        if self._socket is None:
            self._on_lost()
            self._restore()

    def _restore(self) -> None:
        """Open the connection again in the background.

        A member whose connection is lost gets no calls, so no call
        would ever open it.
        """
        if self._restoring is None or self._restoring.done():
            self._restoring = self._tasks.start(self._keep_opening())

    async def _keep_opening(self) -> None:
        while self._is_wanted():
            await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)
            with contextlib.suppress(RefusalError):
                await self._connect()
                return

    def _receive(self, message: Any) -> None:
        if isinstance(message, AnswerFrame | RefusalFrame):
            future = self._pending.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
        else:
            self._on_message(message)

    async def close(self) -> None:
        """Close the connection and end its tasks."""
        if self._socket is not None:
            await self._socket.close()
        await self._tasks.cancel()


def _check_answer(
    frame: AnswerFrame | RefusalFrame,
) -> AnswerFrame | RefusalFrame:
    """Raise INCOMPLETE when an answer's body is not what was sent."""
    if isinstance(frame, AnswerFrame) and (
        frame.checksum != compute_checksum(frame.body)
    ):
        raise RefusalError(
            ErrorCode.INCOMPLETE,
            "the answer's checksum does not match its body",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return frame


class PeerServer:
    """Accept other nodes' connections and run their calls."""

    def __init__(
        self,
        codec: Codec,
        verify: Callable[[str], Identity],
        run_call: CallHandler,
        on_message: MessageHandler,
    ) -> None:
        self._codec = codec
        self._verify = verify
        self._run_call = run_call
        self._on_message = on_message
        self._tasks = TaskGroup()
        self._sockets: set[web.WebSocketResponse] = set()

    def create_app(self) -> web.Application:
        """Return the application to serve on the peer listener."""
        app = web.Application()
        app.router.add_get(PEER_PATH, self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        try:
            self._verify(request.headers.get(PROOF_HEADER, ""))
        except SeamError as error:
            return web.json_response(
                {"code": error.code.value, "message": error.message},
                status=403,
            )
        socket = web.WebSocketResponse(
            heartbeat=HEARTBEAT_INTERVAL_SECONDS,
            max_msg_size=MESSAGE_MAX_BYTES,
            compress=False,
        )
        await socket.prepare(request)
        self._sockets.add(socket)
        try:
            await self._serve(socket)
        finally:
            self._sockets.discard(socket)
        return socket

    async def _serve(self, socket: web.WebSocketResponse) -> None:
        running: dict[int, asyncio.Task[Any]] = {}
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    frame = self._codec.decode(message.data)
                    self._dispatch(socket, running, frame)
        except SeamError as error:
            log_event(
                Level.WARNING,
                "malformed frame from peer",
                code=error.code.value,
            )
        finally:
            # The guard keeps a non-idempotent run going for its outcome.
            for task in running.values():
                task.cancel()

    def _dispatch(
        self,
        socket: web.WebSocketResponse,
        running: dict[int, asyncio.Task[Any]],
        frame: Any,
    ) -> None:
        if isinstance(frame, CallFrame):
            task = self._tasks.start(self._answer(socket, frame))
            running[frame.call_id] = task
            task.add_done_callback(
                lambda _: running.pop(frame.call_id, None),
            )
        elif isinstance(frame, CancelFrame):
            if frame.call_id in running:
                running[frame.call_id].cancel()
        else:
            self._on_message(frame)

    async def _answer(
        self,
        socket: web.WebSocketResponse,
        call: CallFrame,
    ) -> None:
        try:
            data = self._codec.encode(await self._run_call(call))
        except Exception as error:  # noqa: BLE001
            # Without an answer the caller would wait for its deadline.
            log_event(
                Level.ERROR,
                "call failed",
                route=call.route,
                error=type(error).__name__,
            )
            data = self._codec.encode(_create_failure(call))
        if socket.closed:
            return
        with contextlib.suppress(ConnectionError, RuntimeError):
            # The caller sees a lost connection and decides by itself.
            await socket.send_bytes(data)

    async def drain(self, limit: timedelta) -> None:
        """Wait until all calls are answered, at most ``limit``."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._tasks.drain()
        except TimeoutError:
            log_event(Level.WARNING, "drain limit reached")

    async def close(self) -> None:
        """End all calls and connections."""
        await self._tasks.cancel()
        for socket in list(self._sockets):
            await socket.close()


def _create_failure(call: CallFrame) -> RefusalFrame:
    """Return the refusal for a call that met an unexpected error."""
    return RefusalFrame(
        call.call_id,
        ErrorCode.INTERNAL,
        Verdict.MAY_HAVE_RUN,
        "the guarding node failed to handle the call",
        None,
        (),
        0,
    )
