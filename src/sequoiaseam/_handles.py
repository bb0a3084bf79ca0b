"""Handles: per-request tokens that a backend server's calls carry."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Protocol

from sequoiaseam._tables import Importance


class Budget(Protocol):
    """The part of a retry budget that a call tree's node holds."""

    @property
    def remaining(self) -> int:
        """Return how many retries are left."""

    def take(self) -> bool:
        """Use one retry; return False if none is left."""

    def split(self) -> int:
        """Give a part of what is left to a nested call."""

    def give_back(self, count: int) -> None:
        """Return retries that a nested call did not use."""


def _ignore() -> None:
    """Do nothing."""


@dataclass(slots=True)
class CallContext:
    """What a guarding node needs to run a request's nested calls.

    ``deadline`` is by this node's clock. ``depth`` is 0 for a root
    request. ``pressures`` collects the highest level by pool that the
    nested calls reported. The callbacks tell the admission that the
    request waits for a nested call.
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
    on_nested_start: Callable[[], None] = _ignore
    on_nested_end: Callable[[], None] = _ignore

    def collect_pressure(self, pool: str, level: float) -> None:
        """Keep the highest level of a pool."""
        self.pressures[pool] = max(level, self.pressures.get(pool, 0.0))


class HandleTable:
    """Handles of the requests running on the node's backend server.

    ``token_source`` must return unguessable text; the tables take none
    that is in use.
    """

    def __init__(self, token_source: Callable[[], str]) -> None:
        self._source = token_source
        self._contexts: dict[str, CallContext] = {}

    def __len__(self) -> int:
        """Return the number of handles in use."""
        return len(self._contexts)

    def issue(self, context: CallContext) -> str:
        """Return a new handle for a request."""
        handle = self._source()
        if not handle or handle in self._contexts:
            raise ValueError("the token source repeats itself")
        self._contexts[handle] = context
        return handle

    def find(self, handle: str) -> CallContext | None:
        """Return the request that a handle was issued for."""
        return self._contexts.get(handle)

    def revoke(self, handle: str) -> None:
        """End a handle with its request."""
        self._contexts.pop(handle, None)
