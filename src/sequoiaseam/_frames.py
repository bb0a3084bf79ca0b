"""Frames that nodes exchange over a WebSocket connection.

Durations are whole microseconds. A deadline is sent as the remaining
time, so that no clocks of two nodes are compared.
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
    """Request to run on the executing node.

    ``budget`` is the number of retries left for the call and its nested
    calls. ``begun`` is true for nested calls. ``depth`` is the number of
    hops from the root request, whose id is ``root_id``. ``attempt`` is
    None for calls that don't need at-most-once execution.
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
    """Complete response to a call.

    ``checksum`` is the 64-bit xxh3 of the body, ``budget`` the number of
    retries left. ``pressures`` holds pressure levels by pool.
    """

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
    """Refusal of a call, or failure to get a complete response.

    If ``unstarted`` is true, the attempt is proved never to start.
    ``fences`` are the fences that prevented its start.
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
    """Notice that the caller no longer waits for a call."""

    call_id: int


def compute_checksum(body: bytes) -> int:
    """Return the 64-bit xxh3 checksum of a body."""
    return xxhash.xxh3_64_intdigest(body)


def create_frame_codec() -> Codec:
    """Create the codec of the messages between nodes."""
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
