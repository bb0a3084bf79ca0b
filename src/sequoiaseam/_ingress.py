"""The entry side of a host: from a caller's request to its answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random
from typing import Final

import msgspec

from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._call_attribution import CallAttribution
from sequoiaseam._clock import Clock
from sequoiaseam._dialect import HOP_FIELDS, Dialect
from sequoiaseam._feed import NodeView
from sequoiaseam._http_server import HttpRequest, format_fields
from sequoiaseam._logs import BoundedLog, Level
from sequoiaseam._mesh_frames import (
    RunAnswer,
    RunCall,
    RunRefusal,
    RunResult,
)
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._quota import RefuseQuota
from sequoiaseam._quota_gate import QuotaGate
from sequoiaseam._retry import RetryShare, TreeRetryLimiter
from sequoiaseam._route_throttle import RouteThrottle
from sequoiaseam._tables import (
    Importance,
    Route,
    RouteIndex,
    combine_importance,
    find_most_common_importance,
)
from sequoiaseam.const import OPEN_WORKSPACE
from sequoiaseam.errors import (
    DEFAULT_HTTP_STATUS,
    HTTP_STATUS,
    ErrorCode,
)

MILLISECOND: Final = timedelta(milliseconds=1)
# Part of the objective that a request may wait for a slot.
PATIENCE_PART: Final = 1 / 8
# The same for a server's own call: a refusal loses the work of the run
# that makes it, and nobody comes back with it.
BEGUN_PATIENCE_PART: Final = 1 / 2
PATIENCE_MIN: Final = timedelta(milliseconds=15)
RETRY_AFTER: Final = timedelta(milliseconds=300)
# Servers that fail recover later than queues.
FAILING_WAIT: Final = timedelta(seconds=1)
# Refusals that show nothing but a stale view: the server wasn't asked.
MOVES_MAX: Final = 2
MOVABLE: Final = frozenset(
    (
        ErrorCode.DRAINING,
        ErrorCode.NO_SERVER,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.QUEUE_FULL,
    ),
)
# A server's own failures that another server may not have.
PASSING_FAILURES: Final = frozenset((500, 502, 503, 504))
# Retries in 10 s that a node makes however few requests enter there.
RETRIES_MIN: Final = 1.0
RESULTS: Final = {
    ErrorCode.CONNECTION_LOST: CallResult.LOST,
    ErrorCode.INCOMPLETE: CallResult.FAILED,
    ErrorCode.NO_SERVER: CallResult.LOST,
}
EMPTY: Final[frozenset[str]] = frozenset()


@dataclass(slots=True, eq=False)
class Passage:
    """A request on its way, until it is answered."""

    request: HttpRequest
    request_id: str
    importance: Importance = Importance.NORMAL
    workspace: str = OPEN_WORKSPACE
    weight: float = 1.0
    # Whose share of a queue the request takes; for a server's own call
    # the workspace of the request that it serves, where it is known.
    account: str = OPEN_WORKSPACE
    begun: bool = False
    # Whether it is a call of a run that was itself sent again.
    repeat: bool = False
    route: Route | None = None
    pool: str = ""
    deadline: datetime | None = None
    sends: int = 0
    moves: int = 0
    may_have_run: bool = False
    tried: frozenset[str] = EMPTY
    # A server's own failure, the answer unless a later send has a better.
    failure: RunAnswer | None = None
    asked: int | None = None
    timer: asyncio.TimerHandle | None = None
    # Gives up the call in progress.
    give_up: Callable[[], None] | None = field(default=None, repr=False)
    ended: bool = False


# Sends a call to a named host; returns what gives it up.
Sender = Callable[
    [str, RunCall, Callable[[RunResult | None], None]],
    Callable[[], None],
]


class Ingress:
    """Check, admit and forward callers' requests.

    ``caller`` is the pool beside which this host's callers run.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        dialect: Dialect,
        caller: str,
        view: NodeView,
        balancer: Balancer,
        pressure: PressureMap,
        quota: QuotaGate,
        attribution: CallAttribution,
        send: Sender,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._dialect = dialect
        self._dropped = HOP_FIELDS | dialect.owned
        self._caller_line = b"%s: %s\r\n" % (dialect.caller, caller.encode())
        self._view = view
        self._balancer = balancer
        self._pressure = pressure
        self._quota = quota
        self._attribution = attribution
        self._send = send
        self._log = BoundedLog(clock)
        self._index = RouteIndex(view.tables)
        self._usual = find_most_common_importance(view.tables)
        self._shares: dict[str, tuple[float, RetryShare]] = {}
        self._retries = TreeRetryLimiter(RETRIES_MIN)
        self._brake = RouteThrottle(rng)
        self.passages = 0

    def follow_view(self) -> None:
        """Take over new tables."""
        self._index = RouteIndex(self._view.tables)
        self._usual = find_most_common_importance(self._view.tables)

    # The filter chain.

    def handle(self, request: HttpRequest) -> None:
        """Start to serve a request."""
        raw_id = request.find(self._dialect.request_id) or b""
        passage = Passage(request, raw_id.decode("latin-1"))
        self.passages += 1
        request.abandon = lambda: self._abandon(passage)
        code = self._find_route(passage) or self._identify(passage)
        if code is not None:
            self._refuse(passage, code)
            return
        self._set_deadline(passage)
        if passage.begun:
            self._inherit(passage)
        self._check_pressure(passage)

    def _inherit(self, passage: Passage) -> None:
        """Give a server's own call the rank of the request it serves."""
        route = passage.route
        request = passage.request
        value = request.find(self._dialect.remaining)
        if route is None or value is None or not value.isdigit():
            return
        parent = self._attribution.find_parent(
            request.arrived + int(value) * MILLISECOND,
            route.name,
            route.timeout,
        )
        if parent is not None:
            passage.importance = Importance(parent.importance)
            passage.account = parent.account
            passage.weight = parent.weight
            passage.repeat = parent.repeat

    def _find_route(self, passage: Passage) -> ErrorCode | None:
        if not self._view.revision:
            return ErrorCode.STALE
        request = passage.request
        host = (request.find(b"host") or b"").decode("latin-1")
        path = request.target.partition("?")[0]
        name = host.rpartition(":")[0] or host
        passage.route = self._index.find(name.lower(), request.method, path)
        if passage.route is not None:
            return None
        fresh = self._view.is_fresh(request.arrived)
        return ErrorCode.UNKNOWN_ROUTE if fresh else ErrorCode.STALE

    def _identify(self, passage: Passage) -> ErrorCode | None:
        """Find the workspace by the key; check it on each request."""
        route = passage.route
        if route is None:
            return ErrorCode.UNKNOWN_ROUTE
        passage.importance = route.importance
        value = passage.request.find(b"authorization")
        if route.open and value is None:
            passage.begun = True
            return None
        view = self._view
        now = passage.request.arrived
        scheme, _, token = (value or b"").decode("latin-1").partition(" ")
        record = None
        if scheme.lower() == "bearer":
            record = view.keyring.identify(token.strip())
        row = view.tables.workspaces.get(record.workspace) if record else None
        if route.open and row is None:
            return None
        if not view.is_fresh(now):
            return ErrorCode.STALE
        if row is None:
            return ErrorCode.KEY_UNKNOWN
        passage.workspace = passage.account = row.name
        passage.weight = row.weight
        passage.importance = combine_importance(
            route.importance,
            row.importance,
            self._usual,
        )
        return None

    def _set_deadline(self, passage: Passage) -> None:
        route = passage.route
        request = passage.request
        if route is None:
            return
        limit = route.timeout
        value = request.find(self._dialect.remaining)
        if value is not None and value.isdigit():
            limit = min(limit, int(value) * MILLISECOND)
        passage.deadline = request.arrived + limit
        passage.timer = asyncio.get_running_loop().call_later(
            limit.total_seconds(),
            self._expire,
            passage,
        )

    def _check_pressure(self, passage: Passage) -> None:
        """Refuse what the pools that the route reaches have no room for.

        This comes before the quota: a token of a request that is refused
        here would be lost to its workspace.
        """
        route = passage.route
        if route is None:
            return
        now = self._clock.now()
        passage.pool = self._choose_pool(route)
        if not passage.begun:
            self._retries.record(now, passage.pool)
            wait = self._pressure.decide(
                now,
                route.name,
                passage.importance,
                passage.workspace,
                passage.weight,
            )
            if wait is not None:
                self._refuse(passage, ErrorCode.OVERLOAD, wait)
                return
            if not self._brake.allow(now, route.name):
                wait = FAILING_WAIT * self._rng.uniform(0.5, 1.5)
                self._refuse(passage, ErrorCode.OVERLOAD, wait, failing=True)
                return
        self._spend_quota(passage)

    def _spend_quota(self, passage: Passage) -> None:
        row = self._view.tables.workspaces.get(passage.workspace)
        if row is None or not row.limited:
            self._start(passage)
            return

        def decide(refused: RefuseQuota | None) -> None:
            passage.asked = None
            if passage.ended:
                return
            if refused is None:
                self._start(passage)
            else:
                self._refuse(
                    passage,
                    ErrorCode.QUOTA,
                    refused.retry_after,
                    inside_rate=refused.inside_rate,
                )

        passage.asked = self._quota.request(passage.workspace, decide)

    def _start(self, passage: Passage) -> None:
        now = self._clock.now()
        self._get_share(passage.pool).record(now)
        self._forward(passage, now)

    def _choose_pool(self, route: Route) -> str:
        """Draw a pool by the weights of the route's shares."""
        if not route.shares:
            return route.pool
        pools = [share.pool for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(pools, weights)[0]

    # Attempts.

    def _forward(self, passage: Passage, now: datetime) -> None:
        deadline = passage.deadline or now
        name = self._balancer.choose(now, passage.pool, passage.tried)
        if name is None:
            self._refuse(passage, ErrorCode.NO_SERVER)
            return
        call = self._create_call(passage, deadline - now)
        self._balancer.start(now, name)
        ended = False

        def finish(result: RunResult | None) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self._end_attempt(passage, name, now, result)

        def give_up() -> None:
            nonlocal ended
            if not ended:
                ended = True
                cancel()
                took = self._clock.now() - now
                self._balancer.finish(
                    now + took, name, CallResult.REFUSED, took
                )

        passage.give_up = give_up
        cancel = self._send(name, call, finish)

    def _create_call(self, passage: Passage, left: timedelta) -> RunCall:
        request = passage.request
        route = passage.route
        return RunCall(
            0,
            route.name if route else "",
            passage.pool,
            request.method,
            request.target,
            self._caller_line + format_fields(request.fields, self._dropped),
            request.body,
            passage.request_id,
            "" if passage.workspace == OPEN_WORKSPACE else passage.workspace,
            passage.account,
            int(passage.importance),
            passage.weight,
            find_patience(route, left, begun=passage.begun) // MILLISECOND,
            max(0, left // MILLISECOND),
            passage.begun,
            route.idempotent if route else False,
            passage.repeat or passage.sends > 0,
        )

    def _end_attempt(
        self,
        passage: Passage,
        name: str,
        started: datetime,
        result: RunResult | None,
    ) -> None:
        now = self._clock.now()
        passage.give_up = None
        outcome = self._classify(result)
        self._balancer.finish(now, name, outcome, now - started)
        if result is not None:
            self._observe(passage, name, now, result)
        if passage.ended:
            return
        passage.tried |= {name}
        if isinstance(result, RunAnswer):
            self._answer_or_retry(passage, result)
        else:
            self._retry_or_refuse(passage, result)

    @staticmethod
    def _classify(result: RunResult | None) -> CallResult:
        if result is None:
            return CallResult.LOST
        if isinstance(result, RunAnswer):
            failed = result.status >= 500
            return CallResult.FAILED if failed else CallResult.OK
        return RESULTS.get(ErrorCode(result.code), CallResult.REFUSED)

    def _observe(
        self,
        passage: Passage,
        name: str,
        now: datetime,
        result: RunResult,
    ) -> None:
        self._balancer.record_load(now, name, result.load)
        route = passage.route
        if route is not None:
            if not passage.begun and isinstance(result, RunAnswer):
                failed = result.status in PASSING_FAILURES
                self._brake.record(now, route.name, failed=failed)
            pressures = tuple(PoolPressure(*one) for one in result.pressures)
            self._pressure.observe(now, route.name, pressures)

    def _answer_or_retry(self, passage: Passage, result: RunAnswer) -> None:
        """Answer, or try a failure once more where that is safe."""
        if result.status in PASSING_FAILURES:
            passage.may_have_run = True
            passage.failure = result
            if self._may_send_again(
                passage,
                ErrorCode.SERVER_FAILED,
                may_have_run=True,
            ):
                self._forward(passage, self._clock.now())
                return
        self._answer(passage, result)

    def _retry_or_refuse(
        self,
        passage: Passage,
        result: RunRefusal | None,
    ) -> None:
        """Send once more where that is safe and within the bounds."""
        code = ErrorCode.CONNECTION_LOST
        may_have_run = True
        wait = RETRY_AFTER
        if result is not None:
            code = ErrorCode(result.code)
            may_have_run = result.may_have_run
            wait = max(wait, result.retry_after_ms * MILLISECOND)
        if may_have_run:
            passage.may_have_run = True
        if self._may_send_again(passage, code, may_have_run=may_have_run):
            self._forward(passage, self._clock.now())
        else:
            self._refuse(passage, code, wait)

    def _may_send_again(
        self,
        passage: Passage,
        code: ErrorCode,
        *,
        may_have_run: bool,
    ) -> bool:
        route = passage.route
        if route is None or (may_have_run and not route.idempotent):
            return False
        if code in MOVABLE and not may_have_run:
            passage.moves += 1
            return passage.moves <= MOVES_MAX
        if code not in (ErrorCode.SHED, ErrorCode.INCOMPLETE) and (
            not may_have_run
        ):
            return False
        if passage.sends >= route.retries:
            return False
        if not self._may_spend_retry(passage, route):
            return False
        passage.sends += 1
        self._log.log(
            Level.INFO,
            "request sent again",
            request_id=passage.request_id,
            code=code,
            route=route.name,
            may_have_run=may_have_run,
            sends=passage.sends,
            tried=sorted(passage.tried),
            age=self._clock.now() - passage.request.arrived,
        )
        return True

    def _may_spend_retry(self, passage: Passage, route: Route) -> bool:
        """Keep retries within the bounds of the pools that they reach.

        For a server's own call, the hosts of its pool keep the bound, as
        few root requests for that pool enter here.
        """
        now = self._clock.now()
        if not self._get_share(passage.pool).allow(now):
            return False
        if passage.begun:
            return True
        reach = self._pressure.find_calls_by_pool(route.name)
        costs = {**reach, passage.pool: reach.get(passage.pool, 1.0)}
        return self._retries.allow(now, costs, self._find_limit)

    def _find_limit(self, pool: str) -> float:
        row = self._view.tables.pools.get(pool)
        return row.retry_share if row else 0.0

    def _get_share(self, pool: str) -> RetryShare:
        limit = self._find_limit(pool)
        kept = self._shares.get(pool)
        if kept is None or kept[0] != limit:
            kept = (limit, RetryShare(limit))
            self._shares[pool] = kept
        return kept[1]

    # Ends.

    def _end(self, passage: Passage) -> None:
        passage.ended = True
        self.passages -= 1
        passage.request.abandon = None
        if passage.timer is not None:
            passage.timer.cancel()
        if passage.asked is not None:
            self._quota.cancel(passage.workspace, passage.asked)

    def _answer(self, passage: Passage, result: RunAnswer) -> None:
        self._end(passage)
        passage.request.respond(
            result.status,
            result.fields,
            result.body,
            result.length,
        )

    def _abandon(self, passage: Passage) -> None:
        """Stop the work of a caller that has left."""
        if passage.ended:
            return
        self._end(passage)
        if passage.give_up is not None:
            passage.give_up()

    def _expire(self, passage: Passage) -> None:
        if passage.ended:
            return
        give_up = passage.give_up
        if give_up is not None:
            # What is at a server may run until it hears of the cancel.
            passage.may_have_run = True
        self._refuse(passage, ErrorCode.TIMEOUT)
        if give_up is not None:
            give_up()

    def _refuse(
        self,
        passage: Passage,
        code: ErrorCode,
        wait: timedelta = RETRY_AFTER,
        **details: object,
    ) -> None:
        """Answer with a refusal; ``details`` are logged.

        A failure that a server gave goes before one of this node.
        """
        if passage.failure is not None:
            self._answer(passage, passage.failure)
            return
        self._end(passage)
        status = choose_status(code, may_have_run=passage.may_have_run)
        head = b"Content-Type: application/json\r\n"
        if status in (429, 503):
            head += b"Retry-After: %.3f\r\n" % wait.total_seconds()
        self._log.log(
            Level.INFO,
            "request refused",
            request_id=passage.request_id,
            code=code,
            status=status,
            route=passage.route.name if passage.route else "",
            workspace=passage.workspace,
            importance=passage.importance,
            may_have_run=passage.may_have_run,
            sends=passage.sends,
            moves=passage.moves,
            tried=sorted(passage.tried),
            age=self._clock.now() - passage.request.arrived,
            revision=self._view.revision,
            **details,
        )
        body = msgspec.json.encode({"code": code.value})
        passage.request.respond(status, head, body)


def choose_status(code: ErrorCode, *, may_have_run: bool) -> int:
    """Return the status that tells truly whether a request may have run.

    429 and 503 promise that it has not; 502 and 504 promise nothing, so
    they are used only where nothing can be promised.
    """
    status = HTTP_STATUS.get(code, DEFAULT_HTTP_STATUS)
    if may_have_run and status in (429, DEFAULT_HTTP_STATUS):
        return HTTP_STATUS[ErrorCode.CONNECTION_LOST]
    if not may_have_run and status in (502, 504):
        return DEFAULT_HTTP_STATUS
    return status


def find_patience(
    route: Route | None,
    left: timedelta,
    *,
    begun: bool,
) -> timedelta:
    """Return how long a request may wait for a slot.

    A refusal after a small part of the objective leaves the caller time
    to come back.
    """
    objective = route.objective if route else None
    part = BEGUN_PATIENCE_PART if begun else PATIENCE_PART
    return max(PATIENCE_MIN, part * min(objective or left, left))
