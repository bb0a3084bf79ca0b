"""Multiplexed calls between nodes over plain TCP connections.

A frame consists of a four-byte length prefix and a MessagePack array
whose first item is the tag of its type. Each node opens its own
connection to every node that it calls: the side that opened it sends
calls, the other side sends the results. Frames posted within one
iteration of the event loop are sent in one write.

A body larger than LARGE_MIN_BYTES follows its frame in parts, which are
written only while the kernel takes them, so that other frames don't wait
behind it. The node that runs calls refuses those whose bodies don't fit
into its memory; the node that waits for an answer grants its body.
"""

import asyncio
import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, Final

import msgspec

from sequoiaseam._clock import Clock
from sequoiaseam._listeners import (
    Listener,
    accept_waiting,
    connect,
    open_listener,
    register_accepted,
)
from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._memory import LARGE_MIN_BYTES, MemoryBudget, MemoryUse
from sequoiaseam._mesh_bodies import (
    IncomingAnswer,
    IncomingCall,
    OutgoingBodies,
    UnexpectedFrameError,
)
from sequoiaseam._mesh_frames import (
    BodyGrant,
    BodyPart,
    Frame,
    MeshLeave,
    MeshPing,
    RunAnswer,
    RunCall,
    RunCancel,
    RunRefusal,
    RunResult,
    decode_frame,
    encode_frame,
    encode_frame_into,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._silence import SilenceTimer
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._unread_input import InputPoll, has_unread_input
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
from sequoiaseam.errors import ErrorCode

LENGTH_PREFIX: Final = struct.Struct(">I")
# Holds a body of LARGE_MIN_BYTES with the header fields of a response, which
# are at most 128 KiB unless its body is large, and 64 KiB for names and
# pressure levels. Those of a caller are shorter.
FRAME_MAX_BYTES: Final = 256 * 1024
# More of a body waits until other input and output of the node is handled.
PARTS_PER_PASS_MAX: Final = 4
# A node that doesn't read as much gets no more calls, and none of its calls
# are read.
UNSENT_MAX_BYTES: Final = 4 * 1024 * 1024
# By then, the other node has ended a call whose deadline has passed. If it
# hangs, the answer isn't kept for it.
ANSWER_GRACE: Final = timedelta(seconds=1)
# For calls that don't fit into the memory of a node.
MEMORY_RETRY_AFTER_MS: Final = 500
CONNECT_TIMEOUT: Final = timedelta(seconds=1)
# A link without calls for this long is closed, so that in a large fleet a
# node holds and checks only the connections that it uses.
LINK_IDLE_TIMEOUT: Final = timedelta(seconds=10)
# Time for other nodes to learn that a node closes its connections.
LEAVE_TIMEOUT: Final = timedelta(milliseconds=100)


ResultCallback = Callable[[RunResult | None], None]
SilenceCallback = Callable[[], None]
# Runs a call and returns the function that cancels it.
CallRunner = Callable[
    [RunCall, Callable[[RunResult], None]], Callable[[], None]
]


class FrameTooLongError(Exception):
    """A frame that the other node would refuse to read."""


class FrameConnection(asyncio.Protocol):
    """Split received data into frames and batch the frames to send.

    ``received_data`` is set by any data; the owner resets it. If
    ``pauses_reading`` is set, nothing is read while the other side leaves
    more than UNSENT_MAX_BYTES unread.
    """

    def __init__(
        self,
        on_frame: Callable[[Any], None],
        on_close: Callable[[], None],
        budget: MemoryBudget,
        *,
        pauses_reading: bool = False,
    ) -> None:
        self._on_frame = on_frame
        self._on_close = on_close
        self._budget = budget
        self._pauses_reading = pauses_reading
        self._reading_paused = False
        self._write_paused = False
        # What the kernel hasn't taken, as it is charged.
        self._unsent_bytes = 0
        # The start of a frame that hasn't come whole, as it is charged.
        self._buffered_bytes = 0
        self._bodies = OutgoingBodies(budget)
        self._parts_scheduled = False
        self._transport: Any = None
        self._buffer = bytearray()
        self._outgoing: list[bytes] = []
        self._outgoing_frames: list[Frame] = []
        self._end_poll: InputPoll | None = None
        # Set before ``closed``: nothing more can be written.
        self._ending = False
        self.received_data = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport
        # Writing is paused whenever the kernel doesn't take all data.
        self._transport.set_write_buffer_limits(0)
        self._write_parts()

    def pause_writing(self) -> None:
        """Write no parts of bodies for now."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Go on, as the kernel has taken all data."""
        self._write_paused = False
        self._charge_unsent(0)
        self._schedule_parts()

    def eof_received(self) -> bool:
        """Let the event loop close the connection."""
        self._ending = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed and notify its owner."""
        del exc
        self.closed = self._ending = True
        self._charge_unsent(0)
        self._charge_buffer()
        self._on_close()
        self._bodies.clear()

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame.

        A frame that is too long or malformed closes the connection.
        """
        self.received_data = True
        buffer = self._buffer
        if buffer:
            buffer += data
            if not self._has_whole_frame():
                self._charge_buffer()
                return
            data = bytes(buffer)
            buffer.clear()
        buffer += data[self._handle_frames(data) :]
        if buffer or self._buffered_bytes:
            self._charge_buffer()

    def _has_whole_frame(self) -> bool:
        """Return whether the buffer has a whole frame or an invalid one."""
        if len(self._buffer) < LENGTH_PREFIX.size:
            return False
        size = int(LENGTH_PREFIX.unpack_from(self._buffer)[0])
        is_too_long = size > FRAME_MAX_BYTES
        return is_too_long or len(self._buffer) >= LENGTH_PREFIX.size + size

    def _charge_buffer(self) -> None:
        """Charge the start of a frame, in place of what it was."""
        if self.closed:
            self._buffer.clear()
        size = len(self._buffer)
        self._change_charge(MemoryUse.CALLS, size - self._buffered_bytes)
        self._buffered_bytes = size

    def _change_charge(self, use: MemoryUse, added: int) -> None:
        if added > 0:
            self._budget.charge(use, added)
        elif added < 0:
            self._budget.release(use, -added)

    def _handle_frames(self, data: bytes) -> int:
        """Pass on each complete frame; return the end of the last one."""
        start = 0
        while len(data) - start >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(data, start)
            if size > FRAME_MAX_BYTES:
                self._abort_with_warning("frame too long")
                return len(data)
            end = start + LENGTH_PREFIX.size + size
            if len(data) < end:
                break
            content = data[start + LENGTH_PREFIX.size : end]
            start = end
            if not self._handle_content(content):
                return len(data)
        return start

    def _handle_content(self, content: bytes) -> bool:
        """Pass on a frame; return False if that closes the connection."""
        try:
            frame = decode_frame(content)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._abort_with_warning("malformed frame")
            return False
        try:
            self._on_frame(frame)
        except UnexpectedFrameError as error:
            self._abort_with_warning(str(error))
            return False
        except Exception as error:  # noqa: BLE001
            log_event(
                Level.ERROR,
                "unexpected error; closing mesh connection",
                frame=type(frame).__name__,
                **describe_error(error),
            )
            self.abort()
            return False
        return True

    def _abort_with_warning(self, reason: str) -> None:
        log_event(
            Level.WARNING,
            "closing mesh connection after an invalid frame",
            reason=reason,
        )
        self.abort()

    def post(self, frame: Frame) -> None:
        """Send a frame, batched with others of this event loop iteration.

        Raise FrameTooLongError if the other node wouldn't read it.
        """
        content = encode_frame(frame)
        if len(content) > FRAME_MAX_BYTES:
            raise FrameTooLongError
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(LENGTH_PREFIX.pack(len(content)))
        self._outgoing.append(content)
        self._outgoing_frames.append(frame)

    def _flush(self) -> None:
        if self._ending or self._transport is None or not self._outgoing:
            return
        if self._has_calls_to_send and self._has_ended():
            # What is written now would count as sent.
            self._ending = True
            return
        outgoing, self._outgoing = self._outgoing, []
        self._outgoing_frames = []
        self._transport.write(b"".join(outgoing))
        if self._write_paused:
            self._measure_unsent()

    def post_body(
        self,
        call_id: int,
        body: bytes,
        charged_bytes: int = 0,
        on_end: Callable[[int], None] | None = None,
    ) -> None:
        """Send the body of a frame that was posted before, in parts.

        What it is charged with as a response is released at its end, and
        ``on_end`` is called with the id unless it was dropped.
        """
        self._bodies.add(call_id, body, charged_bytes, on_end)
        self._schedule_parts()

    def drop_body(self, call_id: int) -> bool:
        """Stop sending a body; return whether parts of it were left."""
        return bool(self._bodies) and self._bodies.drop(call_id)

    def list_incomplete_bodies(self) -> list[int]:
        """Return the ids of calls whose posted bodies have parts left."""
        return self._bodies.list_call_ids()

    def _schedule_parts(self) -> None:
        if self._bodies and not self._parts_scheduled:
            self._parts_scheduled = True
            asyncio.get_running_loop().call_soon(self._write_scheduled_parts)

    def _write_scheduled_parts(self) -> None:
        self._parts_scheduled = False
        self._write_parts()

    def _write_parts(self) -> None:
        """Write parts of bodies while the kernel takes them."""
        # Precedes the parts, as it may announce their bodies.
        self._flush()
        if self._transport is None or not self._bodies:
            return
        if not self._ending and self._has_ended():
            # The last part counts as sent if it is written.
            self._ending = True
        for _ in range(PARTS_PER_PASS_MAX):
            if self._ending or self._write_paused or not self._bodies:
                break
            # The transport may keep it, so each part has its own.
            data = bytearray()
            encode_frame_into(
                self._bodies.take_part(), data, LENGTH_PREFIX.size
            )
            LENGTH_PREFIX.pack_into(data, 0, len(data) - LENGTH_PREFIX.size)
            self._transport.write(data)
        if self._write_paused:
            self._measure_unsent()
        elif not self._ending:
            self._schedule_parts()

    def _measure_unsent(self) -> None:
        if not self.closed:
            self._charge_unsent(self._transport.get_write_buffer_size())

    def _charge_unsent(self, size: int) -> None:
        """Charge what the kernel hasn't taken, in place of what it was."""
        added = size - self._unsent_bytes
        self._unsent_bytes = size
        self._change_charge(MemoryUse.UNSENT, added)
        if self._pauses_reading:
            self._limit_reading()

    def _limit_reading(self) -> None:
        if self.closed or self._transport.is_closing():
            return
        if self._reading_paused != self.congested:
            self._reading_paused = self.congested
            if self._reading_paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    @property
    def congested(self) -> bool:
        """Return whether the other side leaves too much data unread."""
        return self._unsent_bytes > UNSENT_MAX_BYTES

    @property
    def _has_calls_to_send(self) -> bool:
        return any(isinstance(f, RunCall) for f in self._outgoing_frames)

    def _has_ended(self) -> bool:
        """Return whether the other side has closed the connection."""
        if self._end_poll is None:
            self._end_poll = InputPoll(self._transport, end_only=True)
        return self._end_poll.check()

    def list_unwritten(self) -> list[Frame]:
        """Return the posted frames of which nothing was written."""
        return self._outgoing_frames

    @property
    def has_unread_data(self) -> bool:
        """Return whether data waits in the kernel for the event loop."""
        return self._transport is not None and has_unread_input(
            self._transport
        )

    @property
    def has_unsent_data(self) -> bool:
        """Return whether posted frames are not yet in the socket's buffer."""
        if self.closed or self._transport is None:
            return False
        return (
            bool(self._outgoing or self._bodies)
            or self._transport.get_write_buffer_size() > 0
        )

    def change_owner(
        self,
        on_frame: Callable[[Any], None],
        on_close: Callable[[], None],
    ) -> None:
        """Notify another owner from now on."""
        self._on_frame = on_frame
        self._on_close = on_close

    def close_idle(self) -> None:
        """Close the connection without notifying its owner."""
        self._on_close = lambda: None
        self.abort()

    def abort(self) -> None:
        """Close the connection at once, without flushing."""
        self._ending = True
        if self._transport is not None:
            self._transport.abort()


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call without a result."""

    on_result: ResultCallback
    on_silence: SilenceCallback
    answer: IncomingAnswer | None = None

    def finish(self, result: RunResult | None) -> None:
        """Pass on the result, and release the memory of an answer."""
        try:
            self.on_result(result)
        finally:
            self.release()

    def release(self) -> None:
        """Release the memory of an answer."""
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.release()


class _PendingCalls:
    """Calls on one connection that wait for their results."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.by_id: dict[int, _PendingCall] = {}

    def read_result(
        self, frame: Any, connection: FrameConnection
    ) -> RunResult | None:
        """Return the result of a call if the frame completes one."""
        if isinstance(frame, RunAnswer):
            if frame.body_length:
                return self._await_body(frame, connection)
            return frame
        if isinstance(frame, RunRefusal):
            return frame
        if isinstance(frame, BodyPart):
            call = self.by_id.get(frame.call_id)
            if call is None:
                # Sent before the other node learned that it was cancelled.
                return None
            if call.answer is None:
                msg = "body part of no answer"
                raise UnexpectedFrameError(msg)
            return call.answer.add(frame.data)
        return None

    def _await_body(
        self, announced: RunAnswer, connection: FrameConnection
    ) -> RunResult | None:
        """Wait for the body of an answer, or give up one that never fits."""
        call = self.by_id.get(announced.call_id)
        if call is None:
            return None
        if call.answer is not None or announced.body:
            msg = "body announced twice"
            raise UnexpectedFrameError(msg)
        if announced.body_length > self._budget.largest_response_bytes:
            connection.post(RunCancel(announced.call_id))
            return create_incomplete_refusal(announced)
        call.answer = IncomingAnswer(announced, self._budget, connection.post)
        return None

    def take(
        self, call_id: int, connection: FrameConnection
    ) -> _PendingCall | None:
        """Remove a call that has ended, and stop sending its body."""
        if connection.drop_body(call_id):
            connection.post(RunCancel(call_id))
        return self.by_id.pop(call_id, None)


class _SilentConnection:
    """Connection to a silent node with calls in progress.

    The node may only be late, and a result may still come by the deadline of
    the call.
    """

    def __init__(
        self,
        connection: FrameConnection,
        pending: _PendingCalls,
        on_end: Callable[["_SilentConnection"], None],
    ) -> None:
        self._connection = connection
        self._pending = pending
        self._on_end = on_end
        connection.change_owner(self._handle_frame, self._handle_close)

    def _handle_frame(self, frame: Any) -> None:
        if isinstance(frame, MeshLeave):
            for call_id in [
                i for i in self._pending.by_id if i > frame.last_call_id
            ]:
                self._finish(call_id, create_unsent_refusal(call_id))
            return
        result = self._pending.read_result(frame, self._connection)
        if result is not None:
            self._finish(result.call_id, result)

    def _finish(self, call_id: int, result: RunResult) -> None:
        call = self._pending.take(call_id, self._connection)
        self._close_if_unused()
        if call is not None:
            call.finish(result)

    def cancel(self, call_id: int) -> None:
        """Cancel a call, unless it isn't pending here."""
        call = self._pending.by_id.pop(call_id, None)
        if call is not None:
            call.release()
            self._connection.drop_body(call_id)
            self._connection.post(RunCancel(call_id))
            self._close_if_unused()

    def _close_if_unused(self) -> None:
        if not self._pending.by_id:
            # The end of the connection cancels what the node still runs.
            self.close()

    def _handle_close(self) -> None:
        self._on_end(self)
        calls = list(self._pending.by_id.values())
        self._pending.by_id.clear()
        for call in calls:
            call.finish(None)

    def close(self) -> None:
        """Close the connection."""
        self._on_end(self)
        self._connection.close_idle()


class MeshLink:
    """Connection from this node to another, opened on demand.

    ``on_reachability_change`` is called with whether the other node can
    be reached. It isn't called when a connection is closed as idle.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock,
        on_reachability_change: Callable[[bool], None],
        budget: MemoryBudget,
    ) -> None:
        self.endpoint = endpoint
        self._budget = budget
        self._on_reachability_change = on_reachability_change
        self._closed = False
        self._unreachable = False
        # Whether the other node has announced that it closes the connection.
        self._peer_leaves = False
        self._clock = clock
        self._connection: FrameConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._pending = _PendingCalls(budget)
        self._silent_connections: set[_SilentConnection] = set()
        self._retired = False
        self._unsent: dict[int, RunCall] = {}
        self._next_id = 0
        self._ping_count = 0
        self._silence = SilenceTimer(
            clock.now(), CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
        )
        self._last_call_at = clock.now()

    def call(
        self,
        call: RunCall,
        on_result: ResultCallback,
        on_silence: SilenceCallback = lambda: None,
    ) -> int:
        """Send a call and return its id, which ``cancel`` accepts.

        ``on_result`` receives the result, or None if the connection was
        lost after the call was sent. If no connection could be opened or the
        other node closes it without having started the call, it receives the
        refusal made by ``create_unsent_refusal``, possibly before this method
        returns. ``on_silence`` is called if the other node falls silent; the
        call goes on and ends with a result as any other.
        """
        self._next_id += 1
        call_id = self._next_id
        connection = self._connection
        if self._peer_leaves or (connection and connection.congested):
            on_result(create_unsent_refusal(call_id))
            return call_id
        call = msgspec.structs.replace(call, call_id=call_id)
        self._pending.by_id[call_id] = _PendingCall(on_result, on_silence)
        self._last_call_at = self._clock.now()
        if connection is not None:
            self._post_call(connection, call)
        else:
            self._unsent[call_id] = call
            self._start_connecting()
        return call_id

    def _post_call(self, connection: FrameConnection, call: RunCall) -> None:
        """Send a call, with its body in parts if it is large."""
        body = call.body
        is_large = len(body) > LARGE_MIN_BYTES
        if is_large:
            call = msgspec.structs.replace(
                call, body=b"", body_length=len(body)
            )
        try:
            connection.post(call)
        except FrameTooLongError:
            self._pending.by_id.pop(call.call_id).finish(
                create_unsent_refusal(
                    call.call_id, ErrorCode.HEADERS_TOO_LARGE
                )
            )
            return
        if is_large:
            connection.post_body(call.call_id, body)

    def cancel(self, call_id: int) -> None:
        """Cancel a call, also on the other node if it was sent."""
        call = self._pending.by_id.pop(call_id, None)
        if call is None:
            for silent_connection in list(self._silent_connections):
                silent_connection.cancel(call_id)
            return
        call.release()
        if self._unsent.pop(call_id, None) is None and self._connection:
            self._connection.drop_body(call_id)
            self._connection.post(RunCancel(call_id))

    def _start_connecting(self) -> None:
        if self._connect_task is None:
            self._connect_task = asyncio.get_running_loop().create_task(
                self._connect(),
            )

    def _create_connection(self) -> FrameConnection:
        return FrameConnection(
            self._handle_frame, self._handle_close, self._budget
        )

    async def _connect(self) -> None:
        try:
            connection = await connect(
                self._create_connection,
                self.endpoint.host,
                self.endpoint.port,
                CONNECT_TIMEOUT.total_seconds(),
            )
        except (OSError, TimeoutError) as error:
            log_event(
                Level.WARNING,
                "could not connect to node",
                peer=str(self.endpoint),
                error=type(error).__name__,
            )
            self._unreachable = True
            self._on_reachability_change(False)  # noqa: FBT003
            self._fail_unsent()
        else:
            self._use_connection(connection)
        finally:
            self._connect_task = None

    def _use_connection(self, connection: FrameConnection) -> None:
        """Send the calls that waited for a connection.

        The other node may have closed it, or announced that, before this
        step: nothing written on it would run.
        """
        if connection.closed or self._peer_leaves:
            connection.close_idle()
            self._unreachable = True
            self._peer_leaves = False
            self._fail_unsent()
            return
        self._connection = connection
        self._unreachable = False
        self._silence.restart(self._clock.now())
        self._on_reachability_change(True)  # noqa: FBT003
        unsent, self._unsent = self._unsent, {}
        for call in unsent.values():
            self._post_call(connection, call)

    def _fail_unsent(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for call_id in unsent:
            call = self._pending.by_id.pop(call_id)
            call.finish(create_unsent_refusal(call_id))

    def _handle_frame(self, frame: Any) -> None:
        if isinstance(frame, MeshLeave):
            # It may come before this node learns that it is connected.
            self._handle_leave(frame.last_call_id)
        elif self._connection is not None:
            self._handle_result(frame, self._connection)
        if self._peer_leaves and not self._pending.by_id and self._connection:
            self._connection.abort()

    def _handle_result(self, frame: Any, connection: FrameConnection) -> None:
        if isinstance(frame, BodyPart) and frame.call_id > self._next_id:
            msg = "body part of an unknown call"
            raise UnexpectedFrameError(msg)
        result = self._pending.read_result(frame, connection)
        if result is not None:
            call = self._pending.take(result.call_id, connection)
            if call is not None:
                call.finish(result)

    def _handle_leave(self, last_call_id: int) -> None:
        """Refuse the calls that the other node hasn't started."""
        self._peer_leaves = True
        self._unreachable = True
        self._on_reachability_change(False)  # noqa: FBT003
        for call_id in [i for i in self._pending.by_id if i > last_call_id]:
            self._unsent.pop(call_id, None)
            if self._connection is not None:
                self._connection.drop_body(call_id)
            call = self._pending.by_id.pop(call_id, None)
            if call is not None:
                call.finish(create_unsent_refusal(call_id))

    def _handle_close(self) -> None:
        """Report the calls that were sent as lost: each may have run."""
        connection, self._connection = self._connection, None
        unwritten: set[int] = set()
        if connection is not None:
            # A call runs once its body is complete.
            unwritten.update(connection.list_incomplete_bodies())
            unwritten.update(
                frame.call_id
                for frame in connection.list_unwritten()
                if isinstance(frame, RunCall)
            )
        if not self._closed and not self._peer_leaves:
            self._unreachable = True
            self._on_reachability_change(False)  # noqa: FBT003
        self._peer_leaves = False
        pending, self._pending = self._pending, _PendingCalls(self._budget)
        unsent = set(self._unsent)
        for call_id, call in pending.by_id.items():
            if call_id in unsent:
                self._pending.by_id[call_id] = call
            elif call_id in unwritten:
                call.finish(create_unsent_refusal(call_id))
            else:
                call.finish(None)

    def _take_incomplete(
        self, connection: FrameConnection
    ) -> dict[int, _PendingCall]:
        """Withdraw the calls whose bodies are incomplete: none has run."""
        calls = {}
        for call_id in connection.list_incomplete_bodies():
            call = self._pending.take(call_id, connection)
            if call is not None:
                calls[call_id] = call
        return calls

    def _keep_for_calls(self, connection: FrameConnection) -> bool:
        """Keep a silent connection for the calls in progress.

        Return False if there are none. None counts as unsent, as the
        connection may still be written to.
        """
        if not self._pending.by_id:
            return False
        pending, self._pending = self._pending, _PendingCalls(self._budget)
        calls = list(pending.by_id.values())
        self._connection = None
        self._peer_leaves = False
        self._unreachable = True
        self._silent_connections.add(
            _SilentConnection(
                connection, pending, self._silent_connections.discard
            )
        )
        self._on_reachability_change(False)  # noqa: FBT003
        for call in calls:
            call.on_silence()
        return True

    def tick(self, now: datetime) -> None:
        """Send a ping if needed, and close an unresponsive connection.

        No ping is needed if data was received since the last tick and no
        call is pending. A lost connection is reopened without a call to
        send, because unreachable nodes receive no calls.
        """
        connection = self._connection
        if connection is None:
            if self._unreachable and not self._retired:
                self._start_connecting()
            return
        is_idle = now - self._last_call_at >= LINK_IDLE_TIMEOUT
        if is_idle and not self._pending.by_id:
            self._connection = None
            self._peer_leaves = False
            connection.close_idle()
            return
        if connection.received_data:
            # Any received data proves as much as a returned ping.
            connection.received_data = False
            self._silence.restart(now)
            if not self._pending.by_id:
                return
        elif self._silence.check(now) and not connection.has_unread_data:
            self._handle_silence(connection)
            return
        self._ping_count += 1
        connection.post(MeshPing(self._ping_count))

    def _handle_silence(self, connection: FrameConnection) -> None:
        incomplete = self._take_incomplete(connection)
        is_kept = self._keep_for_calls(connection)
        log_event(
            Level.WARNING,
            "closing unresponsive connection to node",
            peer=str(self.endpoint),
            kept_for_calls=is_kept,
        )
        if not is_kept:
            connection.abort()
        for call_id, call in incomplete.items():
            call.finish(create_unsent_refusal(call_id))

    @property
    def busy(self) -> bool:
        """Return whether a call waits for its result."""
        return bool(self._pending.by_id or self._silent_connections)

    def retire(self) -> None:
        """Refuse the calls that were not sent, and report no more changes.

        The caller goes on with ``tick`` and closes the link once it isn't
        busy. The other node may still be running the calls that were sent.
        """
        self._retired = True
        self._on_reachability_change = lambda _: None
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._fail_unsent()

    def close(self) -> None:
        """Close the connection."""
        self._closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        for silent_connection in list(self._silent_connections):
            silent_connection.close()
        if self._connection is not None:
            self._connection.abort()


def create_unsent_refusal(
    call_id: int, code: ErrorCode = ErrorCode.CONNECTION_LOST
) -> RunRefusal:
    """Return the refusal of a call that was never sent."""
    return RunRefusal(
        call_id,
        code,
        may_have_run=False,
        retry_after_ms=0,
        load=0.0,
        pressures=[],
    )


def create_incomplete_refusal(result: RunResult) -> RunRefusal:
    """Return what takes the place of a result that can't be passed on."""
    return RunRefusal(
        result.call_id,
        ErrorCode.INCOMPLETE,
        may_have_run=True,
        retry_after_ms=0,
        load=result.load,
        pressures=[],
    )


class MeshServer:
    """Accept connections of other nodes and run their calls."""

    def __init__(self, run: CallRunner, budget: MemoryBudget) -> None:
        self._run = run
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

    def _accept(self) -> FrameConnection:
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
        self._on_close(self)
        for call_id in list(self._arriving):
            self._drop_arriving(call_id)
        for call_id in list(self._timers):
            self._drop_answer(call_id)
        running_calls, self._running = self._running, {}
        for running in running_calls.values():
            self._cancel_running(running)


class Mesh:
    """Links to other nodes, by name.

    ``on_reachability_change`` is called with a node's name and whether
    it can be reached.
    """

    def __init__(
        self,
        clock: Clock,
        on_reachability_change: Callable[[str, bool], None],
        budget: MemoryBudget,
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._on_reachability_change = on_reachability_change
        self._links: dict[str, MeshLink] = {}
        # Links to former members and addresses that calls still use.
        self._retired_links: set[MeshLink] = set()
        self._tasks = TaskGroup()

    def start(self) -> None:
        """Start to check the links at regular intervals."""
        self._tasks.start_periodic(CONNECTION_PING_INTERVAL, self._tick)

    def _tick(self) -> None:
        now = self._clock.now()
        for link in list(self._links.values()):
            link.tick(now)
        for link in list(self._retired_links):
            if link.busy:
                link.tick(now)
            self._close_if_unused(link)

    def get_link(self, name: str, endpoint: Endpoint) -> MeshLink:
        """Return the link to a node, a new one if its address changed."""
        old_link = self._links.get(name)
        if old_link is not None and old_link.endpoint == endpoint:
            return old_link
        link = self._links[name] = MeshLink(
            endpoint,
            self._clock,
            lambda reachable: self._on_reachability_change(name, reachable),
            self._budget,
        )
        if old_link is not None:
            self._retire(old_link)
        return link

    def retire_links_except(self, retained: set[str]) -> None:
        """Close the links to all nodes that are not in ``retained``.

        A link stays open until the calls that were sent on it have ended: a
        node that has lost its lease, for example, still runs them.
        """
        for name in set(self._links) - retained:
            self._retire(self._links.pop(name))

    def _retire(self, link: MeshLink) -> None:
        self._retired_links.add(link)
        link.retire()
        self._close_if_unused(link)

    def _close_if_unused(self, link: MeshLink) -> None:
        if not link.busy:
            self._retired_links.discard(link)
            link.close()

    async def close(self) -> None:
        """Close all links."""
        with contextlib.suppress(asyncio.CancelledError):
            await self._tasks.cancel()
        for link in (*self._links.values(), *self._retired_links):
            link.close()
