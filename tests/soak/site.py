"""What a soak runs: hosts, services, routes, load and limits."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Final

from tests.platform_fleet import CONTROL_ADDRESSES
from tests.soak.schedule import name_server_relay

BODY_BYTES_MAX: Final = 2000
LARGE_BODY_BYTES: Final = 300_000
# Largest body relative to the mean one, where a route has a mean one.
BODY_FACTOR_MAX: Final = 6.0


@dataclass(frozen=True, slots=True)
class Work:
    """How long a backend server works on a request, without its calls."""

    mean: float
    spread: float
    longest: float
    tail_ratio: float = 0.0
    tail_factor: float = 1.0

    def draw(self, rng: random.Random) -> float:
        """Return a time in seconds, log-normal with a tail."""
        seconds = self.mean * rng.lognormvariate(
            -(self.spread**2) / 2, self.spread
        )
        if rng.random() < self.tail_ratio:
            seconds *= self.tail_factor
        return min(seconds, self.longest)


@dataclass(frozen=True, slots=True)
class RouteKind:
    """A route of the configuration.

    ``weight`` 0 is one of nested calls, or of large bodies: requests to
    these have, or ask for, a body of the shared content.

    ``timeout`` is the least that edits set, and the time that callers give.
    Without ``work``, backend servers draw times and nested calls themselves.
    """

    prefix: str
    service: str
    method: str
    weight: float = 0
    timeout: float = 4.0
    target_latency: tuple[float, float] = (1.5, 3)
    priorities: tuple[int, int] = (0, 2)
    work: Work | None = None
    error_ratio: float = 0.0
    body_bytes: int = 0
    answer_bytes: int = 0
    # Prefixes of the nested calls, which are made one after the other.
    calls: tuple[str, ...] = ()
    large: bool = False
    # Another service to which edits move the route.
    other_service: str = ""

    @property
    def idempotent(self) -> bool:
        """Return whether requests may run more than once."""
        return self.method == "GET"

    @property
    def nested(self) -> bool:
        """Return whether only backend servers send requests."""
        return not (self.weight or self.large)

    def draw_body(self, rng: random.Random) -> bytes:
        """Return the body of a request."""
        if self.idempotent:
            return b""
        if not self.body_bytes:
            size = rng.randrange(1, BODY_BYTES_MAX)
            return rng.randbytes(LARGE_BODY_BYTES if size < 20 else size)
        factor = min(rng.lognormvariate(0, 0.6), BODY_FACTOR_MAX)
        return rng.randbytes(round(self.body_bytes * factor))


@dataclass(frozen=True, slots=True)
class Pool:
    """The backend servers of a service."""

    slots: int = 64
    # Requests beyond the slots and these are shed.
    queue: float = math.inf
    speeds: tuple[float, ...] = (1.0,)
    # A server that has just started is slow for some time.
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    # After which an idle connection is closed.
    idle_seconds: float = math.inf
    announces_load: bool = False
    connections: tuple[int, int] = (60, 100)
    settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment and its load."""

    name: str
    # Service of each node's backend server, by the node's address.
    services: Mapping[str, str]
    routes: tuple[RouteKind, ...]
    pools: Mapping[str, Pool]
    # API keys of each workspace.
    keys: Mapping[str, tuple[str, ...]]
    # Zones of nodes and control hosts that aren't in the one of the fleet.
    zones: Mapping[str, str] = field(default_factory=dict)
    controls: tuple[str, ...] = CONTROL_ADDRESSES
    bounds: tuple[str, ...] = ("grace-period-s=6",)
    # Further parts of the configuration.
    settings: Mapping[str, Any] = field(default_factory=dict)
    callers_per_node: int = 5
    # Part of the callers that open a connection for each request.
    opening_callers_per_node: int = 2
    # Mean time between the requests of a caller; callers draw their own if
    # it is 0.
    think_seconds: float = 0.0
    # Longest time for which callers reuse an idle connection.
    idle_seconds: float = math.inf
    # Part of the requests that callers give up before they are answered, and
    # at the end of their time.
    leaving_ratio: float = 0.0
    punctual_ratio: float = 0.0
    # Every how many nodes have a relay to their backend server.
    relayed_servers: int = 1
    # Hosts to which others connect through a relay, and whose disk and clock
    # may be disturbed.
    hooked_hosts: tuple[str, ...] = ()
    # Time in which each node that can serves a request.
    window_seconds: float = 5.0
    # Whether each node serves each route before the actions start.
    serves_all_first: bool = True

    @property
    def nodes(self) -> tuple[str, ...]:
        """Return the addresses of the nodes."""
        return tuple(self.services)

    @property
    def root_routes(self) -> tuple[RouteKind, ...]:
        """Return the routes that callers use."""
        return tuple(route for route in self.routes if route.weight)

    @property
    def nested_routes(self) -> tuple[RouteKind, ...]:
        """Return the routes that backend servers use."""
        return tuple(route for route in self.routes if route.nested)

    @property
    def large_routes(self) -> tuple[RouteKind, ...]:
        """Return the routes of requests for large bodies."""
        return tuple(route for route in self.routes if route.large)

    def list_server_relays(self) -> list[str]:
        """Return the names of the relays to backend servers."""
        return [
            name_server_relay(node)
            for node in self.nodes[:: self.relayed_servers]
        ]

    def find_route(self, prefix: str) -> RouteKind:
        """Return the route of a prefix or target."""
        start = f"/{prefix.split('/')[1]}/"
        return next(route for route in self.routes if route.prefix == start)


STORES: Final = Site(
    name="stores",
    services={
        "127.0.2.1": "front",
        "127.0.2.2": "front",
        "127.0.2.3": "store",
        "127.0.2.4": "store",
        "127.0.2.5": "store",
    },
    routes=(
        RouteKind("/read/", "store", "GET", weight=4),
        RouteKind("/ship/", "store", "POST", weight=3),
        RouteKind("/view/", "front", "GET", weight=3),
        RouteKind("/order/", "front", "POST", weight=4),
        RouteKind("/stock/", "store", "GET"),
        RouteKind("/charge/", "store", "POST"),
    ),
    pools={"store": Pool(), "front": Pool()},
    keys={"coop": ("key-coop",), "guild": ("key-guild",)},
)

# Runs that last for most of the time limits and of a stop.
LONG_WORK: Final = Work(5.0, 0.03, 5.2)
AUDITS: Final = replace(
    STORES,
    name="audits",
    routes=(
        *STORES.routes,
        RouteKind(
            "/audit/", "store", "GET", weight=4, timeout=6.0, work=LONG_WORK
        ),
        RouteKind(
            "/transfer/",
            "store",
            "POST",
            weight=8,
            timeout=6.0,
            work=LONG_WORK,
        ),
        RouteKind(
            "/closing/",
            "front",
            "POST",
            weight=4,
            timeout=6.0,
            work=Work(2.4, 0.1, 3.0),
            calls=("/tally/",),
        ),
        RouteKind(
            "/tally/",
            "store",
            "GET",
            timeout=3.5,
            work=Work(2.4, 0.1, 2.8),
        ),
    ),
    callers_per_node=12,
    opening_callers_per_node=4,
    serves_all_first=False,
)
