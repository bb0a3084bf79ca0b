"""Filters of the request path on the entry node."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Final

from sequoiaseam._clock import Clock
from sequoiaseam._exchange import Answer, Exchange, Next
from sequoiaseam._feed import NodeView
from sequoiaseam._handles import HandleTable
from sequoiaseam._headers import (
    check_body,
    check_nested_request,
    check_request,
)
from sequoiaseam._metrics import NodeMetrics, RequestSample
from sequoiaseam._paths import check_path
from sequoiaseam._pressure import PressureMap
from sequoiaseam._quota_gate import QuotaError, QuotaGate
from sequoiaseam._retry import RetryBudget
from sequoiaseam._tables import Route, match_route
from sequoiaseam._verdict import Verdict
from sequoiaseam.const import OPEN_WORKSPACE
from sequoiaseam.errors import ErrorCode, RefusalError

NESTING_DEPTH_MAX: Final = 16
UNMATCHED_LABEL: Final = "none"


class MetricsFilter:
    """Record how each request ended."""

    def __init__(self, clock: Clock, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._metrics = metrics

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Pass on; record the answer or the refusal."""
        try:
            answer = await proceed(exchange)
        except RefusalError as error:
            self._record(exchange, error.code, error.verdict)
            raise
        code = ErrorCode.SERVER_FAILED if answer.status >= 500 else None
        self._record(exchange, code, Verdict.RAN)
        return answer

    def _record(
        self,
        exchange: Exchange,
        code: ErrorCode | None,
        verdict: Verdict,
    ) -> None:
        route = exchange.route
        now = self._clock.now()
        self._metrics.record(
            now,
            RequestSample(
                route=route.name if route else UNMATCHED_LABEL,
                pool=route.pool if route else UNMATCHED_LABEL,
                workspace=exchange.workspace,
                importance=exchange.importance,
                code=code,
                verdict=verdict,
                inside_rate=exchange.inside_rate,
                worth=route.worth if route else 0.0,
                retries=exchange.retries,
                queue_time=_convert_us(exchange.queue_us),
                service_time=_convert_us(exchange.service_us),
                total_time=now - exchange.arrived,
                root=not exchange.nested,
            ),
        )


def _convert_us(value: int | None) -> timedelta | None:
    return None if value is None else timedelta(microseconds=value)


class CallerHeadersFilter:
    """Take in a caller's headers; the key stays on this node.

    ``limit`` bounds the headers, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Replace the headers by those that may be forwarded."""
        checked = check_request(
            exchange.headers,
            exchange.path,
            self._limit,
        )
        exchange.headers = checked.forward
        exchange.token = checked.token
        exchange.timeout = checked.timeout
        exchange.request_id = checked.request_id
        exchange.caller_id = checked.request_id is not None
        return await proceed(exchange)


class NestedCallFilter:
    """Bind a backend server's own call to the request it serves."""

    def __init__(self, handles: HandleTable) -> None:
        self._handles = handles

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Take workspace, class, deadline and budget from the handle."""
        checked = check_nested_request(exchange.headers, exchange.path)
        context = self._handles.find(checked.handle)
        if context is None:
            raise RefusalError(
                ErrorCode.HANDLE_UNKNOWN,
                "the handle is not of a request that runs here",
            )
        if context.depth >= NESTING_DEPTH_MAX:
            raise RefusalError(
                ErrorCode.BAD_REQUEST,
                f"calls are nested more than {NESTING_DEPTH_MAX} deep",
            )
        exchange.nested = True
        exchange.begun = True
        exchange.headers = checked.forward
        exchange.timeout = checked.timeout
        exchange.request_id = checked.request_id
        exchange.caller_id = checked.request_id is not None
        exchange.workspace = context.workspace
        exchange.importance = context.importance
        exchange.weight = context.weight
        exchange.deadline = context.deadline
        exchange.depth = context.depth + 1
        exchange.root_id = context.root_id
        exchange.budget = RetryBudget(context.budget.split())
        exchange.pressures = context.pressures
        context.on_nested_start()
        try:
            return await proceed(exchange)
        finally:
            context.on_nested_end()
            context.budget.give_back(exchange.budget.remaining)


class RouteFilter:
    """Match the request to a route; set its deadline and budget."""

    def __init__(self, clock: Clock, view: NodeView) -> None:
        self._clock = clock
        self._view = view

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Refuse unknown routes and methods."""
        path = exchange.path.partition("?")[0]
        check_path(path)
        route, known = match_route(self._view.tables, exchange.method, path)
        if route is None:
            self._refuse(exchange, known=known)
        else:
            self._assign(exchange, route)
        return await proceed(exchange)

    def _refuse(self, exchange: Exchange, *, known: bool) -> None:
        if not known and not self._view.is_fresh(self._clock.now()):
            raise create_stale_error()
        if known:
            raise RefusalError(
                ErrorCode.METHOD_NOT_ALLOWED,
                f"no route takes {exchange.method} here",
            )
        raise RefusalError(ErrorCode.UNKNOWN_ROUTE, "no route matches")

    @staticmethod
    def _assign(exchange: Exchange, route: Route) -> None:
        exchange.route = route
        timeout = route.timeout
        if exchange.timeout is not None:
            timeout = min(timeout, exchange.timeout)
        deadline = exchange.arrived + timeout
        if exchange.deadline is not None:
            deadline = min(deadline, exchange.deadline)
        exchange.deadline = deadline
        if not exchange.nested:
            exchange.importance = route.importance
            exchange.budget = RetryBudget(route.retries)


class AuthenticationFilter:
    """Find the workspace that the request runs for."""

    def __init__(self, clock: Clock, view: NodeView) -> None:
        self._clock = clock
        self._view = view

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Check the key on each request, on a fresh view only."""
        if exchange.get_route().open:
            exchange.workspace = OPEN_WORKSPACE
        else:
            try:
                self._identify(exchange)
            except RefusalError as error:
                raise _soften(exchange, error) from error
        return await proceed(exchange)

    def _identify(self, exchange: Exchange) -> None:
        if not self._view.is_fresh(self._clock.now()):
            raise create_stale_error()
        if exchange.token is None:
            raise RefusalError(
                ErrorCode.KEY_MISSING,
                "the route needs a key: Authorization: Bearer KEY",
            )
        record = self._view.keyring.identify(exchange.token)
        if record is None:
            raise RefusalError(ErrorCode.KEY_UNKNOWN, "the key is not valid")
        row = self._view.tables.workspaces.get(record.workspace)
        if row is None:
            raise RefusalError(ErrorCode.KEY_UNKNOWN, "the key is not valid")
        exchange.workspace = row.name
        exchange.weight = row.weight


def _soften(exchange: Exchange, error: RefusalError) -> RefusalError:
    """Claim "not run" only where no earlier attempt can have run.

    Without a workspace the witnesses can't be asked about the id.
    """
    if not exchange.caller_id or exchange.get_route().idempotent:
        return error
    return RefusalError(
        error.code,
        error.message,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=error.retry_after,
    )


def create_stale_error() -> RefusalError:
    """Return the refusal of a node without a fresh configuration."""
    return RefusalError(
        ErrorCode.STALE,
        "the node can't confirm the newest configuration",
        retry_after=timedelta(seconds=1),
    )


class QuotaFilter:
    """Spend one token of the workspace for a root request."""

    def __init__(self, gate: QuotaGate) -> None:
        self._gate = gate

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Refuse what is over the workspace's rate and burst."""
        if exchange.workspace != OPEN_WORKSPACE:
            try:
                exchange.inside_rate = await self._gate.acquire(
                    exchange.workspace,
                )
            except QuotaError as error:
                exchange.inside_rate = error.inside_rate
                raise
        return await proceed(exchange)


class PressureFilter:
    """Refuse at the root what a pool below would refuse."""

    def __init__(self, clock: Clock, pressure: PressureMap) -> None:
        self._clock = clock
        self._pressure = pressure

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Refuse the least important requests first."""
        retry_after = self._pressure.decide(
            self._clock.now(),
            exchange.get_route().name,
            exchange.importance,
            exchange.workspace,
            exchange.weight,
        )
        if retry_after is not None:
            raise RefusalError(
                ErrorCode.OVERLOAD,
                "a service that the request needs is overloaded",
                retry_after=retry_after,
            )
        return await proceed(exchange)


class BodyFilter:
    """Read the body within the route's limit and the deadline."""

    def __init__(self, clock: Clock, body_limit: int) -> None:
        self._clock = clock
        self._body_limit = body_limit

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Refuse a body over the limit or one that shows the key."""
        if exchange.read_body is not None:
            exchange.body = await self._read(exchange, exchange.read_body)
        check_body(exchange.token, exchange.body)
        exchange.token = None
        return await proceed(exchange)

    async def _read(
        self,
        exchange: Exchange,
        read: Callable[[int], Awaitable[bytes]],
    ) -> bytes:
        """Read the body before the deadline, or refuse the request."""
        limit = min(exchange.get_route().body_limit, self._body_limit)
        left = exchange.get_deadline() - self._clock.now()
        try:
            async with asyncio.timeout(left.total_seconds()):
                return await read(limit)
        except TimeoutError as error:
            raise RefusalError(
                ErrorCode.DEADLINE,
                "the body did not arrive in time",
            ) from error
