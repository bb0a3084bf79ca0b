"""Types of the frames between nodes, and their codec.

They stand apart from the connections because the codec reads their
annotations at run time.
"""

from typing import Final

import msgspec


class RunCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request for the node beside the backend server to run.

    ``fields`` are whole lines to forward. ``remaining_ms`` is the time
    left when the frame was sent, so that no two clocks are compared.
    ``patience_ms`` is how long it may wait for a slot.
    ``account`` is the workspace whose share of the queue it takes.
    ``repeat`` tells that it, or the run that makes it, was sent before.
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
    importance: int
    weight: float
    patience_ms: int
    remaining_ms: int
    begun: bool
    idempotent: bool
    repeat: bool


class RunAnswer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The backend server's whole answer.

    ``pressures`` are the level of each pool that a run of the route
    reaches and the calls that it makes there. ``load`` is the share of
    the server in use, 1.0 or more while requests wait.
    """

    call_id: int
    status: int
    fields: bytes
    body: bytes
    length: int
    load: float
    pressures: list[tuple[str, float, float]]


class RunRefusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No answer: a code of errors.ErrorCode and whether it may have run."""

    call_id: int
    code: str
    may_have_run: bool
    retry_after_ms: int
    load: float
    pressures: list[tuple[str, float, float]]


class RunCancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The caller no longer waits."""

    call_id: int


class MeshPing(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Keep-alive; the other side returns it."""

    number: int


RunResult = RunAnswer | RunRefusal
Frame = RunCall | RunAnswer | RunRefusal | RunCancel | MeshPing

encode_frame: Final = msgspec.msgpack.Encoder().encode
decode_frame: Final = msgspec.msgpack.Decoder(
    RunCall | RunAnswer | RunRefusal | RunCancel | MeshPing,
).decode
