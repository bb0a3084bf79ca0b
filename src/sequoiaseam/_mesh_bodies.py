"""Bodies between nodes that are too large for one frame.

They are announced by their length and follow in parts. The side that
receives one reserves its memory before the first part comes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, cast

import msgspec

from sequoiaseam._body_buffer import BodyBuffer
from sequoiaseam._memory import MemoryBudget, MemoryUse
from sequoiaseam._mesh_frames import (
    BodyGrant,
    BodyPart,
    Frame,
    RunAnswer,
    RunCall,
    RunRefusal,
    RunResult,
)
from sequoiaseam.errors import ErrorCode

PART_MAX_BYTES: Final = 64 * 1024


class UnexpectedFrameError(Exception):
    """A frame that a correct node doesn't send."""


@dataclass(slots=True, eq=False)
class _OutgoingBody:
    """A body of which not all parts were written, and its charge."""

    unsent: memoryview
    charged_bytes: int
    on_end: Callable[[int], None] | None


class OutgoingBodies:
    """Bodies that are sent on one connection, in turn."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bodies: dict[int, _OutgoingBody] = {}

    def __len__(self) -> int:
        return len(self._bodies)

    def add(
        self,
        call_id: int,
        body: bytes,
        charged_bytes: int,
        on_end: Callable[[int], None] | None,
    ) -> None:
        """Add a body; its charge as a response is released at its end.

        ``on_end`` is called once no part is left, unless it was dropped.
        """
        self._bodies[call_id] = _OutgoingBody(
            memoryview(body), charged_bytes, on_end
        )

    def take_part(self) -> BodyPart:
        """Return the next part of the body whose turn it is.

        It refers to the body and must be encoded at once.
        """
        call_id = next(iter(self._bodies))
        body = self._bodies.pop(call_id)
        part = body.unsent[:PART_MAX_BYTES]
        body.unsent = body.unsent[PART_MAX_BYTES:]
        if body.unsent:
            self._bodies[call_id] = body
        else:
            self._budget.release(MemoryUse.RESPONSES, body.charged_bytes)
            if body.on_end is not None:
                body.on_end(call_id)
        return BodyPart(call_id, cast("bytes", part))

    def drop(self, call_id: int) -> bool:
        """Stop sending a body; return whether parts of it were left."""
        body = self._bodies.pop(call_id, None)
        if body is None:
            return False
        self._budget.release(MemoryUse.RESPONSES, body.charged_bytes)
        return True

    def list_call_ids(self) -> list[int]:
        """Return the ids of the calls whose bodies have parts left."""
        return list(self._bodies)

    def clear(self) -> None:
        """Stop sending all bodies."""
        for call_id in self.list_call_ids():
            self.drop(call_id)


class BodyCollector:
    """Joins the parts of a body of known length."""

    def __init__(self, length: int) -> None:
        self._buffer = BodyBuffer(length)
        self._length = length

    @property
    def missing(self) -> int:
        """Return how many bytes haven't come."""
        return self._length - self._buffer.size

    def add(self, data: bytes) -> bool:
        """Add the next part; return whether the body is complete."""
        if not data or len(data) > self.missing:
            msg = "body part of a wrong size"
            raise UnexpectedFrameError(msg)
        self._buffer.add(data)
        return not self.missing

    def take(self) -> bytes:
        """Return the complete body, which isn't held here any longer."""
        return self._buffer.take()


class IncomingCall:
    """A call whose body isn't complete."""

    def __init__(
        self, call: RunCall, charged_bytes: int, arrived_at: float
    ) -> None:
        self._call = call
        self._body = BodyCollector(call.body_length)
        self.charged_bytes = charged_bytes
        # Time of the event loop, in seconds.
        self._arrived_at = arrived_at

    @property
    def missing_bytes(self) -> int:
        """Return how much of the body hasn't come."""
        return self._body.missing

    def add(self, data: bytes, now: float) -> RunCall | None:
        """Add a part; return the call if the body is complete.

        The time that the body took is subtracted from the time it has.
        """
        if not self._body.add(data):
            return None
        call = self._call
        elapsed_ms = max(0, int((now - self._arrived_at) * 1000))
        return msgspec.structs.replace(
            call,
            body=self._body.take(),
            body_length=0,
            patience_ms=max(0, call.patience_ms - elapsed_ms),
            remaining_ms=max(0, call.remaining_ms - elapsed_ms),
        )


class IncomingAnswer:
    """An announced answer until its body is complete and passed on.

    The other node sends the body once there is memory for it.
    """

    def __init__(
        self,
        announced: RunAnswer,
        budget: MemoryBudget,
        post: Callable[[Frame], None],
    ) -> None:
        self._announced = announced
        self._post = post
        self._body = BodyCollector(announced.body_length)
        self._granted = False
        self._reservation = budget.reserve_response(
            announced.body_length, self._grant, leads_out=True
        )

    def _grant(self) -> None:
        self._granted = True
        self._post(BodyGrant(self._announced.call_id))

    def add(self, data: bytes) -> RunAnswer | None:
        """Add a part; return the answer if its body is complete."""
        if not self._granted:
            msg = "body part without a grant"
            raise UnexpectedFrameError(msg)
        if not self._body.add(data):
            return None
        return msgspec.structs.replace(
            self._announced, body=self._body.take(), body_length=0
        )

    def release(self) -> None:
        """Release the memory of the body; may be repeated."""
        self._reservation.release()


def create_incomplete_refusal(result: RunResult) -> RunRefusal:
    """Return what takes the place of a result that can't be passed on."""
    return RunRefusal(
        result.call_id,
        ErrorCode.INCOMPLETE,
        may_have_run=True,
        retry_after_ms=0,
        load=result.load,
        pressures=[],
        capacity=result.capacity,
        pace=result.pace,
    )
