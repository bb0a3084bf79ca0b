"""Types of the frames between nodes, and their codec.

They are separate from ``_mesh``, which is compiled, because the codec
reads their annotations at run time.
"""

from typing import Annotated, Final

import msgspec

from sequoiaseam._tables import (
    BODY_LIMIT_MAX_BYTES,
    ROUTE_TIMEOUT_MAX,
    Importance,
)
from sequoiaseam.errors import ErrorCode

DURATION_MAX_MS: Final = int(ROUTE_TIMEOUT_MAX.total_seconds() * 1000)
# Values outside of these ranges make a frame malformed.
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=DURATION_MAX_MS)]
# Others have no status line, and the caller would be left without an answer.
FinalStatus = Annotated[int, msgspec.Meta(ge=200, le=599)]
Weight = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
# Bodies of callers' requests are limited, those of responses only by the
# memory of the node that reads them.
CallBodyLength = Annotated[int, msgspec.Meta(ge=0, le=BODY_LIMIT_MAX_BYTES)]
AnswerBodyLength = Annotated[int, msgspec.Meta(ge=0, lt=2**40)]
Capacity = Annotated[int, msgspec.Meta(ge=0)]


class RunCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request for another node to run on its backend server.

    ``fields`` holds the encoded header lines to forward.
    ``remaining_ms`` is the time until the deadline when the frame was
    sent; a duration avoids comparing the clocks of two nodes.
    ``patience_ms`` is how long the call may wait for a slot.
    ``account`` is the workspace whose share of the queue it uses.
    ``repeat`` is set if the call, or the run that it is nested in, was
    sent before. ``body_length`` isn't 0 if the body follows in parts, and
    is then its length; ``body`` is empty.
    """

    call_id: int
    route: str
    pool: str
    method: str
    target: str
    fields: bytes
    body: bytes
    request_id: str
    workspace: str
    account: str
    importance: Importance
    weight: Weight
    patience_ms: DurationMs
    remaining_ms: DurationMs
    begun: bool
    idempotent: bool
    repeat: bool
    body_length: CallBodyLength = 0


class RunAnswer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The complete response of the backend server.

    ``length`` is the length of the body in bytes, for HEAD the announced
    one. ``load`` is the utilization of the server, 1.0 or more while
    requests are queued. ``pressures`` lists each pool that a run of the
    route reaches, with its pressure level and the calls per run.
    ``body_length`` isn't 0 if the body follows in parts after a grant, and
    is then its length; ``body`` is empty. ``capacity`` is how many runs the
    executing node allows at the same time, 0 if unknown. ``pace`` is the
    duration of work there relative to the usual one.
    """

    call_id: int
    status: FinalStatus
    fields: bytes
    body: bytes
    length: int
    load: float
    pressures: list[tuple[str, float, float]]
    body_length: AnswerBodyLength = 0
    capacity: Capacity = 0
    pace: float = 1.0


class RunRefusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A call without a response.

    ``may_have_run`` is set if the backend server may have run the request.
    ``load``, ``pressures``, ``capacity`` and ``pace`` are those of an answer.
    """

    call_id: int
    code: ErrorCode
    may_have_run: bool
    retry_after_ms: int
    load: float
    pressures: list[tuple[str, float, float]]
    capacity: Capacity = 0
    pace: float = 1.0


class RunCancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Cancellation of a call whose caller no longer waits."""

    call_id: int


class MeshPing(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Keep-alive, returned unchanged by the receiver."""

    number: int


class MeshLeave(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Announcement that the node that runs calls closes the connection.

    It starts no call after the one with this id, 0 if there was none.
    """

    last_call_id: int


class BodyPart(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Next part of the announced body of a call, or of its answer."""

    call_id: int
    data: bytes


class BodyGrant(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Permission to send the announced body of an answer."""

    call_id: int


RunResult = RunAnswer | RunRefusal
Frame = (
    RunCall
    | RunAnswer
    | RunRefusal
    | RunCancel
    | MeshPing
    | MeshLeave
    | BodyPart
    | BodyGrant
)

_encoder: Final = msgspec.msgpack.Encoder()
encode_frame: Final = _encoder.encode
encode_frame_into: Final = _encoder.encode_into
decode_frame: Final = msgspec.msgpack.Decoder(Frame).decode
