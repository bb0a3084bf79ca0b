"""State of a request in the filter chain, and the chain itself."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from sequoiaseam._attempt import RequestAttempts
from sequoiaseam._frames import Headers
from sequoiaseam._retry import RetryBudget
from sequoiaseam._tables import Importance, Route
from sequoiaseam.const import OPEN_WORKSPACE
from sequoiaseam.errors import RefusalError


@dataclass(slots=True)
class Exchange:
    """A request and the state that the filters attach to it.

    ``path`` includes the query string. ``token`` is the caller's key and
    never leaves the entry node. ``has_caller_request_id`` tells whether
    the caller supplied the request id.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    arrived: datetime
    # Reads the body up to a limit in bytes; None if it is already read.
    read_body: Callable[[int], Awaitable[bytes]] | None = None
    # Length of that body in bytes, None if it is not announced.
    announced_length: int | None = None
    token: str | None = None
    timeout: timedelta | None = None
    request_id: str | None = None
    has_caller_request_id: bool = False
    nested: bool = False
    route: Route | None = None
    workspace: str = OPEN_WORKSPACE
    weight: float = 1.0
    importance: Importance = Importance.NORMAL
    deadline: datetime | None = None
    begun: bool = False
    depth: int = 0
    root_id: str = ""
    budget: RetryBudget = field(default_factory=lambda: RetryBudget(0))
    # Pressure levels by pool, collected from downstream responses.
    pressures: dict[str, float] = field(default_factory=dict)
    retries: int = 0
    inside_rate: bool = False
    # In microseconds; None if the request was never given a slot.
    queue_us: int | None = None
    service_us: int | None = None
    attempts: RequestAttempts | None = None

    def get_route(self) -> Route:
        """Return the route that the route filter matched."""
        if self.route is None:
            raise RuntimeError("the route filter has not run")
        return self.route

    def get_deadline(self) -> datetime:
        """Return the deadline that the route filter set."""
        if self.deadline is None:
            raise RuntimeError("the route filter has not run")
        return self.deadline


@dataclass(frozen=True, slots=True)
class Response:
    """Complete response to a request."""

    status: int
    headers: Headers
    body: bytes


Handler = Callable[[Exchange], Awaitable[Response]]


class Filter(Protocol):
    """Step of the request path.

    A filter refuses a request, responds to it or calls the next handler.
    """

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Handle the request; raise RefusalError to refuse it."""


def chain_filters(filters: Sequence[Filter], terminal: Handler) -> Handler:
    """Return a handler that runs the filters in order, then terminal."""
    proceed = terminal
    for item in reversed(filters):
        proceed = _bind_filter(item, proceed)
    return proceed


def _bind_filter(item: Filter, proceed: Handler) -> Handler:
    async def run(exchange: Exchange) -> Response:
        return await item.run(exchange, proceed)

    return run


def convert_retry_after_us(error: RefusalError) -> int | None:
    """Return the Retry-After of a refusal in microseconds."""
    if error.retry_after is None:
        return None
    return error.retry_after // timedelta(microseconds=1)
