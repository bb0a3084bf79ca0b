"""Handles: per-request tokens that link nested calls to their request.

A backend server receives a handle with each request and sends it with the
calls that it makes while it serves the request.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Protocol

from sequoiaseam._tables import Importance


class Budget(Protocol):
    """The share of a call tree's retry budget that one call holds."""

    @property
    def remaining(self) -> int:
        """Return how many retries are left."""

    def take(self) -> bool:
        """Consume one retry; return False if none is left."""

    def split(self) -> int:
        """Remove a share for a nested call and return its size."""

    def give_back(self, count: int) -> None:
        """Return retries that a nested call did not use."""


def _do_nothing() -> None:
    """Serve as the default callback."""


@dataclass(slots=True)
class CallContext:
    """State of a running request that its nested calls inherit.

    ``deadline`` is a time of this node's clock. ``depth`` is 0 for a root
    request. ``pressures`` maps pools to the highest level that nested
    calls reported. The callbacks tell the admission control when the
    request starts and stops waiting for a nested call.
    """

    root_id: str
    workspace: str
    route: str
    importance: Importance
    weight: float
    deadline: datetime
    budget: Budget
    depth: int = 0
    pressures: dict[str, float] = field(default_factory=dict)
    on_nested_start: Callable[[], None] = _do_nothing
    on_nested_end: Callable[[], None] = _do_nothing

    def collect_pressure(self, pool: str, level: float) -> None:
        """Record a reported level; keep the highest one for the pool."""
        self.pressures[pool] = max(level, self.pressures.get(pool, 0.0))


class HandleTable:
    """Handles of the requests running on the node's backend server.

    ``token_source`` must return unguessable text; ``issue`` raises
    ValueError for empty text or a handle that is in use.
    """

    def __init__(self, token_source: Callable[[], str]) -> None:
        self._token_source = token_source
        self._contexts: dict[str, CallContext] = {}

    def __len__(self) -> int:
        """Return the number of handles in use."""
        return len(self._contexts)

    def issue(self, context: CallContext) -> str:
        """Issue a new handle for a request."""
        handle = self._token_source()
        if not handle or handle in self._contexts:
            raise ValueError("token source returned an empty or used token")
        self._contexts[handle] = context
        return handle

    def find(self, handle: str) -> CallContext | None:
        """Return the context of a handle, None for an unknown handle."""
        return self._contexts.get(handle)

    def revoke(self, handle: str) -> None:
        """Invalidate a handle; unknown handles are ignored."""
        self._contexts.pop(handle, None)
