"""Tables of routes, pools and workspaces, and their validation."""

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

NAME: Final = re.compile(r"[a-z][a-z0-9-]{0,62}")
METHODS: Final = frozenset(
    ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
)
TIMEOUT_MAX: Final = timedelta(minutes=5)
WARMUP_MAX: Final = timedelta(minutes=10)
RETRIES_MAX: Final = 16
BODY_LIMIT_MAX_BYTES: Final = 64 * 1024 * 1024
SLOTS_MAX: Final = 100_000
RATE_MAX: Final = 1_000_000.0
BURST_MAX: Final = 10_000_000
WEIGHT_MAX: Final = 1e9
# Slots or queue of a pool that follow what each server announces.
AS_ANNOUNCED: Final = -1
# Some servers slow down when nearly all of their slots are taken.
SLOTS_USED: Final = 0.94
# Waiting requests for each slot, where the table gives no number.
QUEUE_PART: Final = 0.5
# An objective this far above the timeout is a mistake of units.
OBJECTIVE_EXCESS: Final = timedelta(minutes=1)


class Importance(enum.IntEnum):
    """Class of a request; the lowest is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


@dataclass(frozen=True, slots=True)
class Share:
    """A pool's part of a route's requests."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A row of the table of routes.

    ``path`` is a prefix matched on whole segments; one that ends with a
    slash matches only paths below it. ``host`` is the Host field that
    the route is for, "" for any. ``worth`` weighs a
    whole answer in the reports. ``retries`` bounds the attempts beyond
    the first over the whole call tree. ``body_limit`` is in bytes.
    ``shares`` splits the requests over pools by weight; ``pool`` is
    then the first of them. Answers within ``objective`` earn most.
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


@dataclass(frozen=True, slots=True)
class Pool:
    """A row of the table of pools.

    ``slots`` and ``connections`` bound each backend server of the pool;
    ``AS_ANNOUNCED`` slots are what each server announces. ``queue``
    bounds the requests that wait for one; ``AS_ANNOUNCED`` is then a
    part of its slots.
    ``retry_share`` is the share of a node's traffic to the pool that
    may be retries.
    """

    name: str
    slots: int = 100
    connections: int = 1000
    queue: int = 200
    warmup: timedelta = timedelta(seconds=10)
    retry_share: float = 0.1

    def for_server(self, announced: int, cold: timedelta) -> "Pool":
        """Return the pool as it bounds one server.

        ``announced`` are the slots that the server tells, 0 if none,
        and ``cold`` is how much longer it is slow.
        """
        slots, queue = self.slots, self.queue
        if slots == AS_ANNOUNCED:
            slots = max(1, int(announced * SLOTS_USED))
        if queue == AS_ANNOUNCED:
            queue = max(1, int(slots * QUEUE_PART))
        return replace(self, slots=slots, queue=queue, warmup=cold)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace: rate in requests a second, burst in requests.

    ``limited`` is False for one without rate and burst. A workspace of
    another ``importance`` than most raises or lowers that of its
    requests' routes by the difference.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    limited: bool = True
    importance: Importance | None = None


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A caller's key, kept only as the SHA-256 digest of its token."""

    key_id: str
    digest: bytes
    workspace: str


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle.

    Sizes are in bytes; ``headers`` bounds target and fields together.
    """

    headers: int = DEFAULT_HEADERS_LIMIT_BYTES
    body: int = BODY_LIMIT_MAX_BYTES
    headers_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Tables:
    """All rows by name, and the limits of nodes on plain connections."""

    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class TableProblem:
    """One thing wrong with the tables, and where."""

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
    """Yield a problem for each (value, least, most) out of range."""
    for column, (value, least, most) in values.items():
        if not least <= value <= most:
            yield TableProblem(
                table,
                row,
                column,
                f"{value:g} is outside {least:g} to {most:g}",
            )


def _check_name(table: str, key: str, name: str) -> Iterator[TableProblem]:
    if key != name or not NAME.fullmatch(name):
        yield TableProblem(
            table,
            key,
            "name",
            "must be 1 to 63 of a-z, 0-9 and -, starting with a letter",
        )


def _check_path(route: Route) -> Iterator[TableProblem]:
    path = route.path
    bad = (
        not path.startswith("/")
        or "//" in path
        or any(part in (".", "..") for part in path.split("/"))
        or any(c <= " " or c in "?#%" or c > "~" for c in path)
    )
    if bad:
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
                TIMEOUT_MAX.total_seconds(),
            ),
            "retries": (route.retries, 0, RETRIES_MAX),
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
        or any(not 0.0 <= weight <= WEIGHT_MAX for weight in weights)
        or sum(weights) <= 0.0
    ):
        yield TableProblem("route", route.name, "shares", "can't be split")


def _check_objective(route: Route) -> Iterator[TableProblem]:
    objective = route.objective
    if objective is not None and not (
        timedelta(0) < objective < route.timeout + OBJECTIVE_EXCESS
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
                SLOTS_MAX,
            ),
            "connections": (pool.connections, 1, SLOTS_MAX),
            "queue": (
                0 if pool.queue == AS_ANNOUNCED else pool.queue,
                0,
                SLOTS_MAX,
            ),
            "warmup": (
                pool.warmup.total_seconds(),
                0.0,
                WARMUP_MAX.total_seconds(),
            ),
            "retry_share": (pool.retry_share, 0.0, 1.0),
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
            "rate": (row.rate, 0.0, RATE_MAX),
            "burst": (row.burst, 0, BURST_MAX),
            "weight": (row.weight, 0.001, 1e6),
        },
    )


def _check_joins(tables: Tables) -> Iterator[TableProblem]:
    """Check the references between rows."""
    taken: dict[tuple[str, str, str], str] = {}
    for key, route in tables.routes.items():
        for pool in (route.pool, *(share.pool for share in route.shares)):
            if pool not in tables.pools:
                yield TableProblem(
                    "route",
                    key,
                    "pool",
                    f"no pool is named {pool!r}",
                )
        for method in route.methods:
            place = (route.host, route.path, method)
            other = taken.setdefault(place, key)
            if other != key:
                yield TableProblem(
                    "route",
                    key,
                    "path",
                    f"{method} {route.path} is route {other!r} already",
                )


def find_problems(tables: Tables) -> tuple[TableProblem, ...]:
    """Return everything that is wrong with the tables."""
    problems: list[TableProblem] = []
    for key, route in tables.routes.items():
        problems.extend(_check_route(key, route))
    for key, pool in tables.pools.items():
        problems.extend(_check_pool(key, pool))
    for key, workspace in tables.workspaces.items():
        problems.extend(_check_workspace(key, workspace))
    problems.extend(_check_joins(tables))
    return tuple(problems)


def validate_tables(tables: Tables) -> None:
    """Raise ``SeamError`` TABLE_INVALID unless the tables are sound."""
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

    The flag tells whether some route matches the path at all, with
    another method perhaps.
    """
    best: Route | None = None
    known = False
    for route in tables.routes.values():
        if route.host or not _is_prefix(route.path, path):
            continue
        known = True
        longer = best is None or len(route.path) > len(best.path)
        if method in route.methods and longer:
            best = route
    return best, known


def _is_prefix(prefix: str, path: str) -> bool:
    if path == prefix:
        return True
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path.startswith(prefix) and path[len(prefix)] == "/"


def find_most_common_importance(tables: Tables) -> Importance | None:
    """Return the importance that most workspaces have, the least of them.

    None if no workspace has any.
    """
    given = Counter(
        row.importance
        for row in tables.workspaces.values()
        if row.importance is not None
    )
    if not given:
        return None
    most = max(given.values())
    return min(one for one, count in given.items() if count == most)


def combine_importance(
    route: Importance,
    workspace: Importance | None,
    usual: Importance | None,
) -> Importance:
    """Return the importance of a workspace's request on a route."""
    if workspace is None or usual is None:
        return route
    level = route + workspace - usual
    return Importance(min(max(level, min(Importance)), max(Importance)))


class RouteIndex:
    """Routes by host and path, for lookups without a scan."""

    def __init__(self, tables: Tables) -> None:
        self._routes: dict[tuple[str, str], list[Route]] = {}
        for route in tables.routes.values():
            key = (route.host, route.path)
            self._routes.setdefault(key, []).append(route)

    def find(self, host: str, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Routes of the very host go before those of any host.
        """
        for known in (host, ""):
            for prefix in _list_prefixes(path):
                for route in self._routes.get((known, prefix), ()):
                    if method in route.methods:
                        return route
        return None


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the path's prefixes on whole segments, longest first."""
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end:
            yield path[:end]
