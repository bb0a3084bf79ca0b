"""Request filters of the entry node."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import Clock
from sequoiaseam._confirmation_waits import ConfirmationWaits
from sequoiaseam._exchange import Exchange, Handler, Response
from sequoiaseam._feed import NodeView
from sequoiaseam._handles import HandleTable
from sequoiaseam._headers import (
    check_body,
    check_nested_request,
    check_request,
)
from sequoiaseam._memory import MemoryBudget, MemoryUse
from sequoiaseam._metrics import NodeMetrics, RequestSample
from sequoiaseam._paths import check_path
from sequoiaseam._pressure import PressureMap
from sequoiaseam._quota_gate import QuotaError, QuotaGate
from sequoiaseam._retry import RetryBudget
from sequoiaseam._tables import Route, Workspace, match_route
from sequoiaseam._verdict import Verdict
from sequoiaseam.const import DEFAULT_ROUTE_TIMEOUT, OPEN_WORKSPACE
from sequoiaseam.errors import ErrorCode, RefusalError

NESTING_DEPTH_MAX: Final = 16
# Copies of a body that this node makes on its way to another one.
BODY_COPIES_MAX: Final = 4
# When requests that don't fit into memory may come back.
MEMORY_RETRY_AFTER: Final = timedelta(seconds=1)
UNMATCHED_LABEL: Final = "none"


class MetricsFilter:
    """Record the outcome of each request in the metrics."""

    def __init__(self, clock: Clock, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._metrics = metrics

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Call the next filter and record its answer or refusal."""
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
                queue_time=_to_timedelta(exchange.queue_us),
                service_time=_to_timedelta(exchange.service_us),
                total_time=now - exchange.arrived,
                root=not exchange.nested,
            ),
        )


def _to_timedelta(microseconds: int | None) -> timedelta | None:
    return (
        None if microseconds is None else timedelta(microseconds=microseconds)
    )


class CallerHeadersFilter:
    """Check the headers of a caller's request.

    The caller's key is removed from them, so it is never forwarded.
    ``headers_limit`` is the maximum size of the headers in bytes.
    """

    def __init__(self, headers_limit: int) -> None:
        self._headers_limit = headers_limit

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Replace the headers with those that may be forwarded."""
        checked = check_request(
            exchange.headers,
            exchange.path,
            self._headers_limit,
        )
        exchange.headers = checked.forwarded
        exchange.token = checked.token
        exchange.timeout = checked.timeout
        exchange.request_id = checked.request_id
        exchange.has_caller_request_id = checked.request_id is not None
        return await proceed(exchange)


class NestedCallFilter:
    """Link a nested call to the request its backend server is running."""

    def __init__(self, handles: HandleTable) -> None:
        self._handles = handles

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Inherit workspace, importance, deadline and retry budget."""
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
        exchange.headers = checked.forwarded
        exchange.timeout = checked.timeout
        exchange.request_id = checked.request_id
        exchange.has_caller_request_id = checked.request_id is not None
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
    """Match the request to a route; set its deadline and retry budget."""

    def __init__(
        self, view: NodeView, confirmation_waits: ConfirmationWaits
    ) -> None:
        self._view = view
        self._confirmation_waits = confirmation_waits

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Refuse requests whose path or method matches no route."""
        path = exchange.path.partition("?")[0]
        check_path(path)
        method = exchange.method
        route, path_known = match_route(self._view.tables, method, path)
        if route is None:
            # It may have been added since the view's last confirmation.
            timeout = exchange.timeout or DEFAULT_ROUTE_TIMEOUT
            if not await self._confirmation_waits.wait(
                exchange.arrived, timeout
            ):
                raise create_stale_error()
            route, path_known = match_route(self._view.tables, method, path)
        if route is None:
            self._refuse(exchange, path_known=path_known)
        else:
            self._assign(exchange, route)
        return await proceed(exchange)

    @staticmethod
    def _refuse(exchange: Exchange, *, path_known: bool) -> None:
        if path_known:
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
    """Identify the workspace of the request by the caller's key."""

    def __init__(
        self,
        clock: Clock,
        view: NodeView,
        confirmation_waits: ConfirmationWaits,
    ) -> None:
        self._clock = clock
        self._view = view
        self._confirmation_waits = confirmation_waits

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Check the key unless the route is open; require a fresh view."""
        if exchange.get_route().open:
            exchange.workspace = OPEN_WORKSPACE
        else:
            try:
                await self._identify(exchange)
            except RefusalError as error:
                raise _weaken_verdict(exchange, error) from error
        return await proceed(exchange)

    async def _identify(self, exchange: Exchange) -> None:
        if not self._view.is_fresh(self._clock.now()):
            raise create_stale_error()
        if exchange.token is None:
            raise RefusalError(
                ErrorCode.KEY_MISSING,
                "the route needs a key: Authorization: Bearer KEY",
            )
        workspace = self._find_workspace(exchange.token)
        if workspace is None:
            # It may have been added since the view's last confirmation.
            timeout = exchange.get_route().timeout
            if not await self._confirmation_waits.wait(
                exchange.arrived, timeout
            ):
                raise create_stale_error()
            workspace = self._find_workspace(exchange.token)
        if workspace is None:
            raise RefusalError(ErrorCode.KEY_UNKNOWN, "the key is not valid")
        exchange.workspace = workspace.name
        exchange.weight = workspace.weight

    def _find_workspace(self, token: str) -> Workspace | None:
        view = self._view
        record = view.keyring.identify(token)
        return view.tables.workspaces.get(record.workspace) if record else None


def _weaken_verdict(exchange: Exchange, error: RefusalError) -> RefusalError:
    """Return the refusal with a verdict that holds for earlier attempts.

    Without a workspace, the witnesses can't be asked about the request
    id. A request that is not idempotent and has a caller's id may thus
    have run earlier, and its refusal must not claim "not run".
    """
    if not exchange.has_caller_request_id or exchange.get_route().idempotent:
        return error
    return RefusalError(
        error.code,
        error.message,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=error.retry_after,
    )


def create_stale_error() -> RefusalError:
    """Return the refusal of a node whose configuration may be outdated."""
    return RefusalError(
        ErrorCode.STALE,
        "the node can't confirm the newest configuration",
        retry_after=timedelta(seconds=1),
    )


class DrainFilter:
    """Refuse callers' requests that the end of a drain may break off."""

    def __init__(self) -> None:
        # Set once callers have learned of the drain.
        self.ends_at: datetime | None = None

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Refuse a request whose deadline comes after the end."""
        ends_at = self.ends_at
        if ends_at is not None and exchange.get_deadline() > ends_at:
            raise RefusalError(ErrorCode.DRAINING, "the node is draining")
        return await proceed(exchange)


class QuotaFilter:
    """Spend one quota token of the workspace for each root request."""

    def __init__(self, quota_gate: QuotaGate) -> None:
        self._quota_gate = quota_gate

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Refuse requests that exceed the workspace's rate and burst."""
        if exchange.workspace != OPEN_WORKSPACE:
            try:
                exchange.inside_rate = await self._quota_gate.acquire(
                    exchange.workspace,
                )
            except QuotaError as error:
                exchange.inside_rate = error.inside_rate
                raise
        return await proceed(exchange)


class PressureFilter:
    """Refuse root requests that an overloaded pool would refuse later."""

    def __init__(self, clock: Clock, pressure: PressureMap) -> None:
        self._clock = clock
        self._pressure = pressure

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Refuse the request if a pool on its route has no room for it.

        Less important requests are refused first.
        """
        refusal = self._pressure.decide(
            self._clock.now(),
            exchange.get_route().name,
            exchange.importance,
            exchange.workspace,
            exchange.weight,
        )
        if refusal is not None:
            raise RefusalError(
                ErrorCode.OVERLOAD,
                "a service that the request needs is overloaded",
                retry_after=refusal.retry_after,
            )
        return await proceed(exchange)


class BodyFilter:
    """Read the body within the size limit and the request's deadline.

    ``body_limit`` is the node's maximum body size in bytes; the route's
    own limit applies if it is smaller. ``budget`` is charged with the body
    from before it is read until the response.
    """

    def __init__(
        self, clock: Clock, body_limit: int, budget: MemoryBudget
    ) -> None:
        self._clock = clock
        self._body_limit = body_limit
        self._budget = budget

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Refuse a body that exceeds a limit or contains the key."""
        read_body = exchange.read_body
        if read_body is None:
            return await self._proceed(exchange, proceed)
        limit = min(exchange.get_route().body_limit, self._body_limit)
        size = exchange.announced_length
        size = limit if size is None else min(size, limit)
        charged = BODY_COPIES_MAX * size
        if charged and not self._budget.reserve_request(
            MemoryUse.REQUESTS, charged, exchange.importance
        ):
            raise RefusalError(
                ErrorCode.OVERLOAD,
                "the body does not fit into memory",
                retry_after=MEMORY_RETRY_AFTER,
            )
        try:
            exchange.body = await self._read_body(exchange, read_body, limit)
            return await self._proceed(exchange, proceed)
        finally:
            self._budget.release(MemoryUse.REQUESTS, charged)

    async def _proceed(self, exchange: Exchange, proceed: Handler) -> Response:
        check_body(exchange.token, exchange.body)
        exchange.token = None
        return await proceed(exchange)

    async def _read_body(
        self,
        exchange: Exchange,
        read_body: Callable[[int], Awaitable[bytes]],
        limit: int,
    ) -> bytes:
        """Return the body; refuse the request if the deadline passes."""
        remaining = exchange.get_deadline() - self._clock.now()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                return await read_body(limit)
        except TimeoutError as error:
            raise RefusalError(
                ErrorCode.DEADLINE,
                "the body did not arrive in time",
            ) from error
