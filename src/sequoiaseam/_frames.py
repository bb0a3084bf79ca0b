"""Frames that nodes send to each other over a WebSocket connection.

Durations are whole microseconds: deadlines travel as the time that is
left, so no two clocks are compared.
"""

from dataclasses import dataclass

import xxhash

from sequoiaseam._attempt import AttemptPlan, FenceSeen
from sequoiaseam._codec import Codec
from sequoiaseam._tables import Importance
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import Fence, Intent, OutcomeRecord, Vote
from sequoiaseam.errors import ErrorCode

Headers = tuple[tuple[str, str], ...]
Pressures = tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A request for the guarding node to run.

    ``budget`` is how many retries the call tree below may still spend.
    ``begun`` marks nested calls, ``depth`` counts the hops from the
    root.
    """

    call_id: int
    route: str
    pool: str
    method: str
    path: str
    headers: Headers
    body: bytes
    workspace: str
    importance: Importance
    weight: float
    remaining_us: int
    begun: bool
    budget: int
    root_id: str
    depth: int
    idempotent: bool
    attempt: AttemptPlan | None = None


@dataclass(frozen=True, slots=True)
class AnswerFrame:
    """The whole answer to a call; ``checksum`` is the body's xxh3."""

    call_id: int
    status: int
    headers: Headers
    body: bytes
    checksum: int
    pressures: Pressures
    budget: int
    queue_us: int
    service_us: int


@dataclass(frozen=True, slots=True)
class RefusalFrame:
    """A call that was refused or whose answer is not whole.

    ``unstarted`` is a proof that the attempt never starts; ``fences``
    are those that stopped it.
    """

    call_id: int
    code: ErrorCode
    verdict: Verdict
    message: str
    retry_after_us: int | None
    pressures: Pressures
    budget: int
    unstarted: bool = False
    fences: tuple[FenceSeen, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """The caller no longer waits for a call."""

    call_id: int


def compute_checksum(body: bytes) -> int:
    """Return the 64-bit checksum of a body."""
    return xxhash.xxh3_64_intdigest(body)


def create_frame_codec() -> Codec:
    """Return the codec of all frames between nodes."""
    return Codec(
        (
            CallFrame,
            AnswerFrame,
            RefusalFrame,
            CancelFrame,
            Intent,
            Fence,
            OutcomeRecord,
            Vote,
        ),
    )
