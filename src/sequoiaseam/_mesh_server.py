"""Calls that a node runs for other nodes.

It refuses those whose bodies don't fit into its memory. A large body of an
answer is sent once the other node has granted it.
"""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any, Final

import msgspec

from sequoiaseam._connection_limit import (
    DEFAULT_DESCRIPTOR_LIMIT,
    MESH_FRACTION,
    ConnectionLimit,
    compute_connection_limit,
)
from sequoiaseam._listeners import (
    ClosingConnection,
    Listener,
    accept_waiting,
    open_listener,
    register_accepted,
)
from sequoiaseam._logs import Level, log_event
from sequoiaseam._memory import LARGE_MIN_BYTES, MemoryBudget, MemoryUse
from sequoiaseam._mesh_bodies import (
    IncomingCall,
    UnexpectedFrameError,
    create_incomplete_refusal,
)
from sequoiaseam._mesh_connection import FrameConnection, FrameTooLongError
from sequoiaseam._mesh_frames import (
    BodyGrant,
    BodyPart,
    MeshLeave,
    MeshPing,
    RunAnswer,
    RunCall,
    RunCancel,
    RunRefusal,
    RunResult,
)
from sequoiaseam._tasks import TaskGroup, run_each
from sequoiaseam.errors import ErrorCode

# By then, the other node has ended a call whose deadline has passed. If it
# hangs, the answer isn't kept for it.
ANSWER_GRACE: Final = timedelta(seconds=1)
# For calls that don't fit into the memory of a node.
MEMORY_RETRY_AFTER_MS: Final = 500
# Time for other nodes to learn that a node closes its connections.
LEAVE_TIMEOUT: Final = timedelta(milliseconds=100)

# Runs a call and returns the function that cancels it.
CallRunner = Callable[
    [RunCall, Callable[[RunResult], None]], Callable[[], None]
]


class MeshServer:
    """Accept connections of other nodes and run their calls."""

    def __init__(
        self,
        run: CallRunner,
        budget: MemoryBudget,
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self._run = run
        self._connection_limit = connection_limit or ConnectionLimit(
            compute_connection_limit(DEFAULT_DESCRIPTOR_LIMIT, MESH_FRACTION)
        )
        self._budget = budget
        self._listener: Listener | None = None
        self._connections: set[_IncomingConnection] = set()
        self._closing = False
        self._all_closed = asyncio.Event()
        # Handling of connections that ``leave`` has accepted.
        self._tasks = TaskGroup()

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        self._listener = await open_listener(self._accept, host, port)
        return self._listener.port

    def _accept(self) -> asyncio.Protocol:
        if self._connection_limit.is_full(len(self._connections)):
            log_event(
                Level.WARNING,
                "mesh connection refused; too many are open",
                open=len(self._connections),
            )
            return ClosingConnection()
        incoming = _IncomingConnection(self._run, self._remove, self._budget)
        self._connections.add(incoming)
        if self._closing:
            incoming.leave()
        return incoming.connection

    def _remove(self, incoming: "_IncomingConnection") -> None:
        self._connections.discard(incoming)
        if not self._connections:
            self._all_closed.set()

    @property
    def has_unsent_data(self) -> bool:
        """Return whether results are still being sent to other nodes."""
        return any(incoming.has_unsent_data for incoming in self._connections)

    def leave(self) -> None:
        """Start no more calls, and announce it to the other nodes.

        They learn which calls weren't started.
        """
        if self._closing:
            return
        self._closing = True
        if self._listener is not None:
            for accepted in accept_waiting(self._listener):
                self._tasks.start(register_accepted(self._accept, accepted))
            self._listener.server.close()
        for incoming in self._connections:
            incoming.leave()

    async def close(self) -> None:
        """Leave, stop listening and close all connections.

        The other nodes close the connections as they learn of it. Those that
        remain after LEAVE_TIMEOUT are aborted.
        """
        self.leave()
        await self._tasks.drain()
        if self._connections:
            self._all_closed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEAVE_TIMEOUT.total_seconds()):
                    await self._all_closed.wait()
        for incoming in list(self._connections):
            incoming.connection.abort()


class _RunningCall:
    """A call that runs for another node, until its result is posted.

    It doesn't refer to the call, whose body would stay in memory.
    """

    def __init__(
        self,
        owner: "_IncomingConnection",
        call_id: int,
        charged_bytes: int,
        ends_at: float,
    ) -> None:
        self._owner = owner
        self._call_id = call_id
        self.charged_bytes = charged_bytes
        # Deadline, as a time of the event loop in seconds.
        self.ends_at = ends_at
        self.cancel: Callable[[], None] | None = None
        self.finished = False

    def finish(self, result: RunResult) -> None:
        """Post the result of the call."""
        self.finished = True
        self.cancel = None
        self._owner.finish_call(self._call_id, result)


class _IncomingConnection:
    """Connection opened by another node, and the calls it sent."""

    def __init__(
        self,
        run: CallRunner,
        on_close: Callable[["_IncomingConnection"], None],
        budget: MemoryBudget,
    ) -> None:
        self._run = run
        self._on_close = on_close
        self._budget = budget
        self._running: dict[int, _RunningCall] = {}
        self._arriving: dict[int, IncomingCall] = {}
        # Ends of waits for bodies, and for the other node to take them.
        self._timers: dict[int, asyncio.TimerHandle] = {}
        # What is left of the bodies of refused calls. The other node stops
        # sending them, and cancels the calls, as it learns of the refusals.
        self._ignored: dict[int, int] = {}
        # Bodies of answers that wait for a grant.
        self._offered: dict[int, bytes] = {}
        self._last_call_id = 0
        self._leaving = False
        self.connection = FrameConnection(
            self._handle_frame,
            self._handle_close,
            budget,
            pauses_reading=True,
        )

    @property
    def has_unsent_data(self) -> bool:
        """Return whether results are still being sent to the other node."""
        if self.connection.closed:
            return False
        return bool(self._offered) or self.connection.has_unsent_data

    def _handle_frame(self, frame: Any) -> None:
        if isinstance(frame, RunCall):
            if not self._leaving:
                self._receive_call(frame)
        elif isinstance(frame, RunCancel):
            self._cancel_call(frame.call_id)
        elif isinstance(frame, MeshPing):
            self.connection.post(frame)
        elif isinstance(frame, BodyPart):
            if not self._leaving:
                self._receive_part(frame)
        elif isinstance(frame, BodyGrant):
            self._send_body(frame.call_id)

    def leave(self) -> None:
        """Start no more calls, and announce it to the other node."""
        self._leaving = True
        for call_id in list(self._arriving):
            # Later calls may have started.
            self._refuse_arriving(call_id, ErrorCode.DRAINING)
        self.connection.post(MeshLeave(self._last_call_id))

    def _receive_call(self, call: RunCall) -> None:
        call_id = call.call_id
        if (
            call_id in self._running
            or call_id in self._arriving
            or (call.body and call.body_length)
        ):
            msg = "call sent twice"
            raise UnexpectedFrameError(msg)
        self._last_call_id = call_id
        size = len(call.target) + len(call.fields)
        size += len(call.body) + call.body_length
        if not self._budget.reserve_request(
            MemoryUse.CALLS, size, call.importance
        ):
            if call.body_length:
                self._ignored[call_id] = call.body_length
            self._post_refusal(
                call_id, ErrorCode.OVERLOAD, MEMORY_RETRY_AFTER_MS
            )
        elif call.body_length:
            loop = asyncio.get_running_loop()
            self._arriving[call_id] = IncomingCall(call, size, loop.time())
            # The other node may have fallen silent.
            self._timers[call_id] = loop.call_later(
                call.remaining_ms / 1000, self._expire, call_id
            )
        else:
            self._start_call(call, size)

    def _receive_part(self, part: BodyPart) -> None:
        call_id = part.call_id
        arriving = self._arriving.get(call_id)
        if arriving is None:
            self._ignore_part(part)
            return
        call = arriving.add(part.data, asyncio.get_running_loop().time())
        if call is not None:
            del self._arriving[call_id]
            self._cancel_timer(call_id)
            self._start_call(call, arriving.charged_bytes)

    def _ignore_part(self, part: BodyPart) -> None:
        left = self._ignored.pop(part.call_id, 0) - len(part.data)
        if left < 0 or not part.data:
            msg = "body part of no call"
            raise UnexpectedFrameError(msg)
        if left:
            self._ignored[part.call_id] = left

    def _expire(self, call_id: int) -> None:
        self._refuse_arriving(call_id, ErrorCode.DEADLINE)

    def _refuse_arriving(self, call_id: int, code: ErrorCode) -> None:
        """Refuse a call whose body is incomplete: it hasn't run."""
        missing_bytes = self._drop_arriving(call_id)
        self._ignored[call_id] = missing_bytes
        self._post_refusal(call_id, code, 0)

    def _drop_arriving(self, call_id: int) -> int:
        """Release a call; return how much of its body is missing."""
        call = self._arriving.pop(call_id)
        self._cancel_timer(call_id)
        self._budget.release(MemoryUse.CALLS, call.charged_bytes)
        return call.missing_bytes

    def _post_refusal(
        self, call_id: int, code: ErrorCode, retry_after_ms: int
    ) -> None:
        self.connection.post(
            RunRefusal(
                call_id,
                code,
                may_have_run=False,
                retry_after_ms=retry_after_ms,
                # Further calls go to other nodes first.
                load=1.0,
                pressures=[],
            )
        )

    def _start_call(self, call: RunCall, charged_bytes: int) -> None:
        ends_at = asyncio.get_running_loop().time() + call.remaining_ms / 1000
        running = _RunningCall(self, call.call_id, charged_bytes, ends_at)
        self._running[call.call_id] = running
        cancel = self._run(call, running.finish)
        if not running.finished:
            running.cancel = cancel

    def finish_call(self, call_id: int, result: RunResult) -> None:
        """Post the result of a call, unless it was cancelled."""
        running = self._running.pop(call_id, None)
        if running is None:
            return
        self._budget.release(MemoryUse.CALLS, running.charged_bytes)
        if not self.connection.closed:
            self._post_result(result, running.ends_at)

    def _post_result(self, result: RunResult, ends_at: float) -> None:
        """Post a result, without its body if that is large."""
        body = b""
        announced = result
        if (
            isinstance(result, RunAnswer)
            and len(result.body) > LARGE_MIN_BYTES
        ):
            body = result.body
            announced = msgspec.structs.replace(
                result, body=b"", body_length=len(body)
            )
        if not self._post_if_it_fits(announced):
            log_event(
                Level.WARNING,
                "result too long for the node that called",
                frame=type(result).__name__,
            )
            self.connection.post(create_incomplete_refusal(result))
        elif body:
            self._budget.charge(MemoryUse.RESPONSES, len(body))
            self._offered[result.call_id] = body
            self._timers[result.call_id] = asyncio.get_running_loop().call_at(
                ends_at + ANSWER_GRACE.total_seconds(),
                self._expire_answer,
                result.call_id,
            )

    def _expire_answer(self, call_id: int) -> None:
        """Give up an answer that the other node hasn't taken in time."""
        if self._drop_answer(call_id):
            self.connection.post(
                RunRefusal(
                    call_id,
                    ErrorCode.INCOMPLETE,
                    may_have_run=True,
                    retry_after_ms=0,
                    load=1.0,
                    pressures=[],
                )
            )

    def _drop_answer(self, call_id: int) -> bool:
        """Release the body of an answer; return whether it wasn't sent."""
        self._cancel_timer(call_id)
        body = self._offered.pop(call_id, None)
        if body is not None:
            self._budget.release(MemoryUse.RESPONSES, len(body))
        return self.connection.drop_body(call_id) or body is not None

    def _post_if_it_fits(self, result: RunResult) -> bool:
        """Post a result that isn't too long, if need be without pressures."""
        return self._try_to_post(result) or self._try_to_post(
            msgspec.structs.replace(result, pressures=[])
        )

    def _try_to_post(self, result: RunResult) -> bool:
        try:
            self.connection.post(result)
        except FrameTooLongError:
            return False
        return True

    def _cancel_timer(self, call_id: int) -> None:
        timer = self._timers.pop(call_id, None)
        if timer is not None:
            timer.cancel()

    def _send_body(self, call_id: int) -> None:
        body = self._offered.pop(call_id, None)
        if body is not None:
            self.connection.post_body(
                call_id, body, len(body), self._cancel_timer
            )
        elif call_id in self._running or call_id > self._last_call_id:
            msg = "grant of no body"
            raise UnexpectedFrameError(msg)

    def _cancel_call(self, call_id: int) -> None:
        if call_id in self._arriving:
            self._drop_arriving(call_id)
        self._ignored.pop(call_id, None)
        self._drop_answer(call_id)
        running = self._running.pop(call_id, None)
        if running is not None:
            self._cancel_running(running)

    def _cancel_running(self, running: _RunningCall) -> None:
        self._budget.release(MemoryUse.CALLS, running.charged_bytes)
        cancel, running.cancel = running.cancel, None
        if cancel is not None:
            cancel()

    def _handle_close(self) -> None:
        """Cancel the calls of the node that lost its connection."""
        for call_id in list(self._arriving):
            self._drop_arriving(call_id)
        for call_id in list(self._timers):
            self._drop_answer(call_id)
        running_calls, self._running = self._running, {}
        run_each(
            partial(self._cancel_running, running)
            for running in running_calls.values()
        )
        self._on_close(self)
