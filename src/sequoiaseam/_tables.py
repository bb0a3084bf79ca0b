"""Tables of routes, pools and workspaces, with validation and lookup."""

import enum
import re
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Final

from sequoiaseam.const import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_HEADERS_LIMIT_BYTES,
    DEFAULT_ROUTE_TIMEOUT,
    OPEN_WORKSPACE,
)
from sequoiaseam.errors import ErrorCode, SeamError

NAME_PATTERN: Final = re.compile(r"[a-z][a-z0-9-]{0,62}")
METHODS: Final = frozenset(
    ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
)
ROUTE_TIMEOUT_MAX: Final = timedelta(minutes=5)
WARMUP_MAX: Final = timedelta(minutes=10)
ROUTE_RETRIES_MAX: Final = 16
BODY_LIMIT_MAX_BYTES: Final = 64 * 1024 * 1024
# Maximum of a pool's slots, connections and queue.
POOL_LIMIT_MAX: Final = 100_000
RATE_MAX_PER_S: Final = 1_000_000.0
BURST_MAX_REQUESTS: Final = 10_000_000
SHARE_WEIGHT_MAX: Final = 1e9
# Value of a pool's slots or queue that is derived from the slots that each
# backend server announces.
AS_ANNOUNCED: Final = -1
# Fraction of the announced slots to use: some backend servers slow down when
# nearly all of their slots are taken.
USABLE_SLOTS_FRACTION: Final = 0.94
# Waiting requests per slot if the pool's queue is AS_ANNOUNCED.
QUEUE_PER_SLOT: Final = 0.5
# An objective that exceeds the timeout by this much or more is rejected: it is
# given in the wrong unit.
OBJECTIVE_EXCESS_MAX: Final = timedelta(minutes=1)


class Importance(enum.IntEnum):
    """Priority class of a request; the lowest is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


@dataclass(frozen=True, slots=True)
class Share:
    """A pool's share of a route's requests, by weight."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A row of the table of routes.

    ``path`` is a prefix that matches whole segments; one that ends with
    a slash matches only paths below it. ``host`` is the value of the
    Host header field that the route matches, "" for any. ``worth`` is
    the weight of a complete response in the reports. ``retries`` is the
    maximum number of attempts beyond the first over the whole call
    tree. ``body_limit`` is in bytes. ``shares`` splits the requests over
    pools by weight; ``pool`` is then the first of them. ``objective``
    is the target latency; responses within it are valued most.
    """

    name: str
    path: str
    pool: str
    methods: tuple[str, ...] = ("GET",)
    importance: Importance = Importance.NORMAL
    open: bool = False
    idempotent: bool = True
    timeout: timedelta = DEFAULT_ROUTE_TIMEOUT
    retries: int = 2
    worth: float = 1.0
    body_limit: int = DEFAULT_BODY_LIMIT_BYTES
    host: str = ""
    shares: tuple[Share, ...] = ()
    objective: timedelta | None = None

    @property
    def pools(self) -> tuple[str, ...]:
        """Return the names of all pools that the route's requests go to."""
        if not self.shares:
            return (self.pool,)
        return tuple(share.pool for share in self.shares)


@dataclass(frozen=True, slots=True)
class Pool:
    """A row of the table of pools.

    ``slots`` and ``connections`` are limits of each backend server of
    the pool; with ``AS_ANNOUNCED``, ``slots`` follows the number that
    each backend server announces. ``queue`` limits the requests that
    wait for a backend server; with ``AS_ANNOUNCED`` it is a fraction of
    its slots. ``retry_share`` is the maximum share of retries in a
    node's traffic to the pool. ``cold_rate`` is how many requests per
    second a backend server gets while it is cold, 0 for no limit.
    """

    name: str
    slots: int = 100
    connections: int = 1000
    queue: int = 200
    warmup: timedelta = timedelta(seconds=10)
    retry_share: float = 0.1
    cold_rate: float = 0.0

    def for_server(
        self, announced_slots: int, warmup_remaining: timedelta
    ) -> "Pool":
        """Return the limits of the pool for one backend server.

        ``announced_slots`` is the number that the backend server
        announces, 0 if none; ``warmup_remaining`` is how much longer it
        is slow.
        """
        slots, queue = self.slots, self.queue
        if slots == AS_ANNOUNCED:
            slots = max(1, int(announced_slots * USABLE_SLOTS_FRACTION))
        if queue == AS_ANNOUNCED:
            queue = max(1, int(slots * QUEUE_PER_SLOT))
        return replace(self, slots=slots, queue=queue, warmup=warmup_remaining)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A row of the table of workspaces.

    ``rate`` is in requests per second, ``burst`` in requests;
    ``limited`` is False for a workspace without these limits. If the
    ``importance`` differs from the one that most workspaces have, the
    difference is added to the importance of its requests' routes.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    limited: bool = True
    importance: Importance | None = None


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A caller's key; only the SHA-256 digest of its token is stored."""

    key_id: str
    digest: bytes
    workspace: str


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the sizes and times of callers' requests.

    Sizes are in bytes; ``headers`` limits the total size of the request
    target and the header fields. ``headers_time`` limits how long
    callers may take to send them, ``idle_time`` how long a connection
    may stay idle.
    """

    headers: int = DEFAULT_HEADERS_LIMIT_BYTES
    body: int = BODY_LIMIT_MAX_BYTES
    headers_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Tables:
    """All rows by name, and the nodes' limits on plain connections."""

    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class TableProblem:
    """A problem in the tables and its location."""

    table: str
    row: str
    column: str
    message: str

    def __str__(self) -> str:
        return f"[{self.table} {self.row}] {self.column}: {self.message}"


def _check_range(
    table: str,
    row: str,
    values: Mapping[str, tuple[float, float, float]],
) -> Iterator[TableProblem]:
    """Yield a problem for each (value, minimum, maximum) out of range."""
    for column, (value, minimum, maximum) in values.items():
        if not minimum <= value <= maximum:
            yield TableProblem(
                table,
                row,
                column,
                f"{value:g} is outside {minimum:g} to {maximum:g}",
            )


def _check_name(table: str, key: str, name: str) -> Iterator[TableProblem]:
    if key != name or not NAME_PATTERN.fullmatch(name):
        yield TableProblem(
            table,
            key,
            "name",
            "must be 1 to 63 of a-z, 0-9 and -, starting with a letter",
        )


def _check_path(route: Route) -> Iterator[TableProblem]:
    path = route.path
    malformed = (
        not path.startswith("/")
        or "//" in path
        or any(segment in (".", "..") for segment in path.split("/"))
        or any(char <= " " or char in "?#%" or char > "~" for char in path)
    )
    if malformed:
        yield TableProblem(
            "route",
            route.name,
            "path",
            f"{path!r} is not a plain absolute path prefix",
        )


def _check_methods(route: Route) -> Iterator[TableProblem]:
    unknown = sorted(set(route.methods) - METHODS)
    if unknown or not route.methods:
        yield TableProblem(
            "route",
            route.name,
            "methods",
            f"unknown or no methods: {', '.join(unknown)}",
        )
    if len(set(route.methods)) != len(route.methods):
        yield TableProblem("route", route.name, "methods", "repeats one")


def _check_route(key: str, route: Route) -> Iterator[TableProblem]:
    yield from _check_name("route", key, route.name)
    yield from _check_path(route)
    yield from _check_methods(route)
    yield from _check_shares(route)
    yield from _check_objective(route)
    yield from _check_range(
        "route",
        key,
        {
            "timeout": (
                route.timeout.total_seconds(),
                0.001,
                ROUTE_TIMEOUT_MAX.total_seconds(),
            ),
            "retries": (route.retries, 0, ROUTE_RETRIES_MAX),
            "worth": (route.worth, 0.0, 1e6),
            "body_limit": (route.body_limit, 0, BODY_LIMIT_MAX_BYTES),
        },
    )


def _check_shares(route: Route) -> Iterator[TableProblem]:
    pools = [share.pool for share in route.shares]
    weights = [share.weight for share in route.shares]
    if route.shares and (
        route.pool != pools[0]
        or len(set(pools)) != len(pools)
        or any(not 0.0 <= weight <= SHARE_WEIGHT_MAX for weight in weights)
        or sum(weights) <= 0.0
    ):
        yield TableProblem("route", route.name, "shares", "can't be split")


def _check_objective(route: Route) -> Iterator[TableProblem]:
    objective = route.objective
    # The excess is subtracted, as a sum with the longest timeout overflows.
    if objective is not None and not (
        timedelta(0) < objective
        and objective - OBJECTIVE_EXCESS_MAX < route.timeout
    ):
        yield TableProblem(
            "route",
            route.name,
            "objective",
            "must be above zero and near or under the timeout",
        )


def _check_pool(key: str, pool: Pool) -> Iterator[TableProblem]:
    yield from _check_name("pool", key, pool.name)
    yield from _check_range(
        "pool",
        key,
        {
            "slots": (
                1 if pool.slots == AS_ANNOUNCED else pool.slots,
                1,
                POOL_LIMIT_MAX,
            ),
            "connections": (pool.connections, 1, POOL_LIMIT_MAX),
            "queue": (
                0 if pool.queue == AS_ANNOUNCED else pool.queue,
                0,
                POOL_LIMIT_MAX,
            ),
            "warmup": (
                pool.warmup.total_seconds(),
                0.0,
                WARMUP_MAX.total_seconds(),
            ),
            "retry_share": (pool.retry_share, 0.0, 1.0),
            "cold_rate": (pool.cold_rate, 0.0, RATE_MAX_PER_S),
        },
    )


def _check_workspace(key: str, row: Workspace) -> Iterator[TableProblem]:
    yield from _check_name("workspace", key, row.name)
    if key == OPEN_WORKSPACE:
        yield TableProblem(
            "workspace",
            key,
            "name",
            "is reserved for open routes",
        )
    yield from _check_range(
        "workspace",
        key,
        {
            "rate": (row.rate, 0.0, RATE_MAX_PER_S),
            "burst": (row.burst, 0, BURST_MAX_REQUESTS),
            "weight": (row.weight, 0.001, 1e6),
        },
    )


def _check_references(tables: Tables) -> Iterator[TableProblem]:
    """Check that routes name existing pools and don't match alike."""
    routes_by_match: dict[tuple[str, str, str], str] = {}
    for key, route in tables.routes.items():
        for pool in route.pools:
            if pool not in tables.pools:
                yield TableProblem(
                    "route",
                    key,
                    "pool",
                    f"no pool is named {pool!r}",
                )
        for method in route.methods:
            match_key = (route.host, route.path, method)
            other = routes_by_match.setdefault(match_key, key)
            if other != key:
                yield TableProblem(
                    "route",
                    key,
                    "path",
                    f"{method} {route.path} is route {other!r} already",
                )


def find_problems(tables: Tables) -> tuple[TableProblem, ...]:
    """Return all problems in the tables."""
    problems: list[TableProblem] = []
    for key, route in tables.routes.items():
        problems.extend(_check_route(key, route))
    for key, pool in tables.pools.items():
        problems.extend(_check_pool(key, pool))
    for key, workspace in tables.workspaces.items():
        problems.extend(_check_workspace(key, workspace))
    problems.extend(_check_references(tables))
    return tuple(problems)


def validate_tables(tables: Tables) -> None:
    """Raise ``SeamError`` TABLE_INVALID if the tables are invalid."""
    problems = find_problems(tables)
    if problems:
        raise SeamError(
            ErrorCode.TABLE_INVALID,
            "; ".join(map(str, problems)),
            location=f"{problems[0].table} {problems[0].row}",
        )


def match_route(
    tables: Tables,
    method: str,
    path: str,
) -> tuple[Route | None, bool]:
    """Return the route with the longest matching path prefix.

    The flag says whether any route matches the path, regardless of the
    method. Routes for a specific host are skipped.
    """
    best: Route | None = None
    path_matches = False
    for route in tables.routes.values():
        if route.host or not _is_prefix(route.path, path):
            continue
        path_matches = True
        is_longer = best is None or len(route.path) > len(best.path)
        if method in route.methods and is_longer:
            best = route
    return best, path_matches


def _is_prefix(prefix: str, path: str) -> bool:
    if path == prefix:
        return True
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path.startswith(prefix) and path[len(prefix)] == "/"


def find_most_common_importance(tables: Tables) -> Importance | None:
    """Return the importance that most workspaces have.

    Return the lowest of several equally common ones, and None if no
    workspace has an importance.
    """
    counts = Counter(
        row.importance
        for row in tables.workspaces.values()
        if row.importance is not None
    )
    if not counts:
        return None
    highest_count = max(counts.values())
    return min(
        importance
        for importance, count in counts.items()
        if count == highest_count
    )


def combine_importance(
    route: Importance,
    workspace: Importance | None,
    baseline: Importance | None,
) -> Importance:
    """Return the importance of a workspace's request on a route.

    ``baseline`` is the importance that most workspaces have; a workspace
    above or below it shifts the route's importance by the difference.
    """
    if workspace is None or baseline is None:
        return route
    level = route + workspace - baseline
    return Importance(min(max(level, min(Importance)), max(Importance)))


def parse_hostname(authority: str) -> str:
    """Return the name in a Host field, without a port, in lower case."""
    return (authority.rpartition(":")[0] or authority).lower()


class RouteIndex:
    """Index of routes by host and path, for lookups without a scan."""

    def __init__(self, tables: Tables) -> None:
        self._routes: dict[tuple[str, str], list[Route]] = {}
        for route in tables.routes.values():
            key = (route.host, route.path)
            self._routes.setdefault(key, []).append(route)

    def find(self, host: str, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Routes for this host take precedence over routes for any host.
        """
        for route_host in (host, ""):
            for prefix in _iter_prefixes(path):
                for route in self._routes.get((route_host, prefix), ()):
                    if method in route.methods:
                        return route
        return None


def _iter_prefixes(path: str) -> Iterator[str]:
    """Yield the path's prefixes of whole segments, longest first."""
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end:
            yield path[:end]
