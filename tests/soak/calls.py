"""What callers and backend servers of a soak saw of each request."""

import enum
import math
from dataclasses import dataclass, field


class End(enum.Enum):
    """How a request ended, as its caller saw it."""

    ANSWERED = "answered"
    UNSENT = "the connection ended before all was sent"
    UNREAD = "the connection ended before the node had read all"
    CUT = "the connection ended after the node had read all"
    SILENT = "no answer"
    ABANDONED = "given up by the caller"


@dataclass(slots=True, eq=False)
class Run:
    """A run of a request on a backend server; ``end`` is empty at first."""

    server: str
    node: str
    started_at: float
    ended_at: float = math.inf
    end: str = ""
    status: int = 0
    signature: str = ""
    body: bytes = b""
    # Whether the server itself ended its connection to the node.
    broken_off: bool = False
    # Name of the relay between the node and the server, if there is one.
    path: str = ""
    # What the server got of the request; see ``Call.expected``.
    received: tuple[object, ...] = ()


@dataclass(slots=True, eq=False)
class Call:
    """A request of a caller, or of a backend server that serves one.

    ``node`` is the address of the node that it is sent to, ``path`` the
    name of the relay on the way to it, if there is one.
    """

    request_id: str
    node: str
    method: str
    target: str
    body: bytes
    idempotent: bool
    workspace: str
    caller_service: str
    timeout: float
    key: str = ""
    nested: bool = False
    path: str = ""
    connection: str = ""
    started_at: float = math.inf
    sent_at: float = math.inf
    # When a relay had passed all of it on; ``sent_at`` without a relay.
    arrived_at: float = math.inf
    ended_at: float = math.inf
    # When the connection was last seen open, if a late soak saw its end.
    open_until: float = math.inf
    end: End | None = None
    status: int = 0
    signature: str = ""
    answer: bytes = b""
    runs: list[Run] = field(default_factory=list)

    @property
    def expected(self) -> tuple[object, ...]:
        """Return what a backend server has to get of the request."""
        return (
            *(self.method, self.target, self.body),
            *(self.caller_service, self.workspace, ""),
        )

    @property
    def served(self) -> bool:
        """Return whether the request was successful."""
        return self.end is End.ANSWERED and 200 <= self.status < 300


@dataclass(slots=True, eq=False)
class Period:
    """A stop or a fault, from its start to its end."""

    what: str
    start: float
    end: float = math.inf
