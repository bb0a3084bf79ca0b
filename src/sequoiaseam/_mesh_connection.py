"""Connections between nodes, on which frames are exchanged.

A frame consists of a four-byte length prefix and a MessagePack array
whose first item is the tag of its type. Frames posted within one
iteration of the event loop are sent in one write.

A body larger than LARGE_MIN_BYTES follows its frame in parts, which are
written only while the kernel takes them, so that other frames don't wait
behind it.
"""

import asyncio
import struct
from collections.abc import Callable
from typing import Any, Final

import msgspec

from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._memory import MemoryBudget, MemoryUse
from sequoiaseam._mesh_bodies import OutgoingBodies, UnexpectedFrameError
from sequoiaseam._mesh_frames import (
    Frame,
    RunCall,
    decode_frame,
    encode_frame,
    encode_frame_into,
)
from sequoiaseam._tasks import run_each
from sequoiaseam._unread_input import InputPoll, has_unread_input

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
# A write follows the first frame that is posted in the same iteration of the
# event loop. One that failed is repeated with a later frame, such as a ping.
FLUSH_OVERDUE_SECONDS: Final = 0.25


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
        # Time of the event loop at which a write that hasn't come has failed.
        self._flush_overdue_at = 0.0
        self._end_poll: InputPoll | None = None
        # Set before ``closed``: nothing more can be written.
        self._ending = False
        self.received_data = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection.

        uvloop doesn't read from a connection after an error here.
        """
        self._transport = transport
        try:
            # Writing is paused whenever the kernel doesn't take all data.
            self._transport.set_write_buffer_limits(0)
            self._write_parts()
        except Exception as error:  # noqa: BLE001
            log_event(
                Level.ERROR,
                "unexpected error; closing mesh connection",
                **describe_error(error),
            )
            self.abort()

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
        run_each((self._on_close, self._bodies.clear))

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
        loop = asyncio.get_running_loop()
        if not self._outgoing or loop.time() > self._flush_overdue_at:
            self._flush_overdue_at = loop.time() + FLUSH_OVERDUE_SECONDS
            loop.call_soon(self._flush)
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
