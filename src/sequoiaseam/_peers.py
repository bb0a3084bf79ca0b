"""WebSocket connections between nodes, each multiplexing many calls.

Each node opens its own connection to every node that it calls. Answers
are matched to calls by call id; an answer without a pending call is
dropped.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any, Final, Protocol

import aiohttp
from aiohttp import web

from sequoiaseam._access import Identity
from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    CancelFrame,
    RefusalFrame,
    compute_checksum,
)
from sequoiaseam._logs import Level, log_event
from sequoiaseam._silence import SilenceTimer
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
from sequoiaseam.errors import ErrorCode, RefusalError, SeamError

PROOF_HEADER: Final = "x-sequoiaseam-proof"
PEER_PATH: Final = "/peer"
MESSAGE_MAX_BYTES: Final = 72 * 1024 * 1024
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Time for the other node to confirm that a connection is closed.
CLOSE_TIMEOUT_SECONDS: Final = 0.5
# Delay before each attempt to reconnect to a node.
RECONNECT_INTERVAL_SECONDS: Final = 0.5
# Time to send refusals at the end of a drain.
REFUSAL_TIMEOUT_SECONDS: Final = 0.5

ENDING_TYPES: Final = frozenset(
    (
        aiohttp.WSMsgType.CLOSE,
        aiohttp.WSMsgType.CLOSING,
        aiohttp.WSMsgType.CLOSED,
        aiohttp.WSMsgType.ERROR,
    )
)

CallHandler = Callable[[CallFrame], Awaitable[AnswerFrame | RefusalFrame]]
MessageHandler = Callable[[Any], None]


def _create_connection_lost_error(*, sent: bool) -> RefusalError:
    return RefusalError(
        ErrorCode.CONNECTION_LOST,
        "the connection to the guarding node was lost",
        verdict=Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
    )


class WebSocket(Protocol):
    """What both ends of a connection have in common."""

    async def receive(self, timeout: float | None = None) -> Any:  # noqa: ASYNC109
        """Return the next message; raise TimeoutError if none comes."""

    async def ping(self) -> None:
        """Send a ping."""

    async def pong(self, message: bytes) -> None:
        """Send the answer to a ping."""


async def iterate_messages(
    socket: WebSocket, clock: Clock
) -> AsyncIterator[bytes]:
    """Yield the messages of the other node until the connection ends.

    It also ends once the other node answers no pings for
    CONNECTION_TIMEOUT, unless this process itself was late.
    """
    interval_seconds = CONNECTION_PING_INTERVAL.total_seconds()
    silence = SilenceTimer(
        clock.now(), CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
    )
    while True:
        try:
            message = await socket.receive(interval_seconds)
        except TimeoutError:
            if silence.check(clock.now()):
                log_event(
                    Level.WARNING, "closing unresponsive peer connection"
                )
                return
            # Without room to send, the other node is silent as well.
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(interval_seconds):
                    await socket.ping()
            continue
        silence.restart(clock.now())
        if message.type is aiohttp.WSMsgType.PING:
            with contextlib.suppress(ConnectionError):
                await socket.pong(message.data)
        elif message.type is aiohttp.WSMsgType.BINARY:
            yield message.data
        elif message.type in ENDING_TYPES:
            return


class PeerLink:
    """Connection of this node to one other node."""

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        codec: Codec,
        clock: Clock,
        create_proof: Callable[[], str],
        on_message: MessageHandler,
        on_disconnected: Callable[[], None],
        on_connected: Callable[[], None],
        should_reconnect: Callable[[], bool],
    ) -> None:
        self._url = url
        self._session = session
        self._codec = codec
        self._clock = clock
        self._create_proof = create_proof
        self._on_message = on_message
        self._on_disconnected = on_disconnected
        self._on_connected = on_connected
        self._should_reconnect = should_reconnect
        self._reconnect_task: asyncio.Task[None] | None = None
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._pending_answers: dict[int, asyncio.Future[Any]] = {}
        # Calls that have no result yet, including those not sent yet.
        self._open_calls = 0
        self._idle = asyncio.Event()
        self._last_call_id = 0
        self._used_since_check = True
        self._tasks = TaskGroup()

    def test_and_clear_used(self) -> bool:
        """Return whether the link was used since the previous check.

        A link with pending calls counts as used.
        """
        was_used = self._used_since_check or bool(self._pending_answers)
        self._used_since_check = False
        return was_used

    @property
    def url(self) -> str:
        """Return the URL that the link connects to."""
        return self._url

    async def call(self, frame: CallFrame) -> AnswerFrame | RefusalFrame:
        """Send a call and return its answer.

        Raise RefusalError if the connection is lost. Cancelling this
        coroutine cancels the call on the other node.
        """
        self._used_since_check = True
        self._open_calls += 1
        try:
            return await self._call(frame)
        finally:
            self._open_calls -= 1
            if not self._open_calls:
                self._idle.set()

    async def _call(self, frame: CallFrame) -> AnswerFrame | RefusalFrame:
        await self._connect()
        self._last_call_id += 1
        call_id = self._last_call_id
        future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_answers[call_id] = future
        try:
            await self._send(replace(frame, call_id=call_id))
            return _check_answer(await future)
        except asyncio.CancelledError:
            self.post(CancelFrame(call_id))
            raise
        finally:
            self._pending_answers.pop(call_id, None)

    def post(self, message: object) -> None:
        """Send a message that has no answer; drop it if unreachable."""
        self._used_since_check = True
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
            raise _create_connection_lost_error(sent=False)
        try:
            await socket.send_bytes(self._codec.encode(message))
        except (ConnectionError, aiohttp.ClientError, RuntimeError) as error:
            # The frame may have been sent, so the call may have run.
            raise _create_connection_lost_error(sent=True) from error

    async def _connect(self) -> None:
        if self._socket is not None and not self._socket.closed:
            return
        if self._connect_task is None or self._connect_task.done():
            self._connect_task = self._tasks.start(self._open())
        # Shielded, because other calls await the same connection attempt.
        await asyncio.shield(self._connect_task)
        if self._socket is None:
            raise _create_connection_lost_error(sent=False)

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._socket = await self._session.ws_connect(
                    self._url,
                    autoping=False,
                    timeout=aiohttp.ClientWSTimeout(
                        ws_close=CLOSE_TIMEOUT_SECONDS
                    ),
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
            self._on_disconnected()
            self._start_reconnecting()
            return
        self._on_connected()
        self._tasks.start(self._read(self._socket))

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        try:
            async for data in iterate_messages(socket, self._clock):
                self._receive(self._codec.decode(data))
        except SeamError as error:
            log_event(
                Level.WARNING,
                "malformed frame from peer",
                url=self._url,
                code=error.code.value,
            )
        finally:
            try:
                # A node that doesn't read holds up the frame that announces
                # the close.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                        await socket.close()
            finally:
                # Also when this task is cancelled, as the calls would wait
                # until their deadlines.
                self._fail_pending(socket)

    def _fail_pending(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        if self._socket is socket:
            self._socket = None
        failed_answers, self._pending_answers = self._pending_answers, {}
        for future in failed_answers.values():
            if not future.done():
                future.set_exception(_create_connection_lost_error(sent=True))
        if self._socket is None:
            self._on_disconnected()
            self._start_reconnecting()

    def _start_reconnecting(self) -> None:
        """Reconnect in the background.

        The balancer sends no calls to an unreachable member, so no
        call would open the connection again.
        """
        if self._reconnect_task is None or self._reconnect_task.done():
            self._reconnect_task = self._tasks.start(self._reconnect())

    async def _reconnect(self) -> None:
        while self._should_reconnect():
            await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)
            with contextlib.suppress(RefusalError):
                await self._connect()
                return

    def _receive(self, message: Any) -> None:
        if isinstance(message, AnswerFrame | RefusalFrame):
            future = self._pending_answers.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
        else:
            self._on_message(message)

    async def retire(self) -> None:
        """Close the connection once the calls in progress have ended.

        The other node may still run them. Changes of the connection are no
        longer reported.
        """
        self._on_connected = self._on_disconnected = lambda: None
        while self._open_calls:
            self._idle.clear()
            await self._idle.wait()
        await self.close()

    async def close(self) -> None:
        """Close the connection and cancel its tasks."""
        if self._socket is not None:
            await self._socket.close()
        await self._tasks.cancel()


def _check_answer(
    frame: AnswerFrame | RefusalFrame,
) -> AnswerFrame | RefusalFrame:
    """Return the frame; raise INCOMPLETE if its checksum does not match."""
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
    """Accept connections of other nodes and run their calls."""

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        verify: Callable[[str], Identity],
        run_call: CallHandler,
        on_message: MessageHandler,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._verify = verify
        self._run_call = run_call
        self._on_message = on_message
        self._tasks = TaskGroup()
        # Set at the end of a drain: cancelled calls are answered.
        self._refusing = False
        self._sockets: set[web.WebSocketResponse] = set()

    def create_app(self) -> web.Application:
        """Return the web application of the peer listener."""
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
            timeout=CLOSE_TIMEOUT_SECONDS,
            autoping=False,
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
        calls_in_progress: dict[int, asyncio.Task[Any]] = {}
        try:
            async for data in iterate_messages(socket, self._clock):
                frame = self._codec.decode(data)
                self._dispatch(socket, calls_in_progress, frame)
        except SeamError as error:
            log_event(
                Level.WARNING,
                "malformed frame from peer",
                code=error.code.value,
            )
        finally:
            # The executing node does not cancel a non-idempotent
            # request, because its outcome must be recorded.
            for task in calls_in_progress.values():
                task.cancel()

    def _dispatch(
        self,
        socket: web.WebSocketResponse,
        calls_in_progress: dict[int, asyncio.Task[Any]],
        frame: Any,
    ) -> None:
        if isinstance(frame, CallFrame):
            task = self._tasks.start(self._run_and_answer(socket, frame))
            calls_in_progress[frame.call_id] = task
            task.add_done_callback(
                lambda _: calls_in_progress.pop(frame.call_id, None),
            )
        elif isinstance(frame, CancelFrame):
            if frame.call_id in calls_in_progress:
                calls_in_progress[frame.call_id].cancel()
        else:
            self._on_message(frame)

    async def _run_and_answer(
        self,
        socket: web.WebSocketResponse,
        call: CallFrame,
    ) -> None:
        try:
            data = self._codec.encode(await self._run_call(call))
        except asyncio.CancelledError:
            if not self._refusing:
                raise
            data = self._codec.encode(
                _create_refusal(
                    call, ErrorCode.DRAINING, "the node is draining"
                )
            )
        except Exception as error:  # noqa: BLE001
            # Without an answer, the calling node would wait until the
            # deadline of the call.
            log_event(
                Level.ERROR,
                "call failed",
                route=call.route,
                error=type(error).__name__,
            )
            data = self._codec.encode(
                _create_refusal(
                    call,
                    ErrorCode.INTERNAL,
                    "the guarding node failed to handle the call",
                )
            )
        if socket.closed:
            return
        with contextlib.suppress(ConnectionError, RuntimeError):
            # The calling node detects the lost connection and decides
            # whether to retry.
            await socket.send_bytes(data)

    async def drain(self, max_wait: timedelta) -> None:
        """Wait at most ``max_wait`` until all calls are answered."""
        try:
            async with asyncio.timeout(max_wait.total_seconds()):
                await self._tasks.drain()
        except TimeoutError:
            log_event(Level.WARNING, "drain timed out with calls in progress")

    async def refuse_all(self) -> None:
        """Cancel the calls in progress and answer that they may have run."""
        self._refusing = True
        # A node that doesn't read must not hold up the stop.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFUSAL_TIMEOUT_SECONDS):
                await self._tasks.cancel()

    async def close(self) -> None:
        """Cancel all calls and close all connections."""
        await self._tasks.cancel()
        for socket in list(self._sockets):
            await socket.close()


def _create_refusal(
    call: CallFrame, code: ErrorCode, message: str
) -> RefusalFrame:
    """Return the refusal of a call that may have run."""
    return RefusalFrame(
        call.call_id,
        code,
        Verdict.MAY_HAVE_RUN,
        message,
        None,
        (),
        0,
    )
