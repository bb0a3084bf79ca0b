"""Checks, admission, forwarding and retries of callers' requests."""

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
from sequoiaseam._confirmation_waits import ConfirmationWaits
from sequoiaseam._domain_load import (
    DomainLoad,
    PoolRejections,
    RouteOutcomes,
)
from sequoiaseam._feed import NodeView
from sequoiaseam._header_names import HOP_BY_HOP_FIELDS, HeaderNames
from sequoiaseam._http_server import (
    HttpRequest,
    UnreadRefusal,
    format_fields,
)
from sequoiaseam._load_report import OutcomeCounts
from sequoiaseam._logs import Level, RateLimitedLog
from sequoiaseam._memory import MemoryBudget, MemoryUse
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
from sequoiaseam._return_wait import compute_return_wait
from sequoiaseam._route_throttle import RouteThrottle
from sequoiaseam._stop_schedule import StopSchedule
from sequoiaseam._tables import (
    Importance,
    Route,
    RouteIndex,
    combine_importance,
    find_most_common_importance,
    parse_hostname,
)
from sequoiaseam._tree_admission import TreeAdmission
from sequoiaseam.const import DEFAULT_ROUTE_TIMEOUT, OPEN_WORKSPACE
from sequoiaseam.errors import (
    DEFAULT_HTTP_STATUS,
    HTTP_STATUS,
    ErrorCode,
)

MILLISECOND: Final = timedelta(milliseconds=1)
# Milliseconds of 12 digits are 31 years. More would overflow a date.
REMAINING_TIME_DIGITS_MAX: Final = 12
REMAINING_TIME_MAX: Final = 10**REMAINING_TIME_DIGITS_MAX * MILLISECOND
# Fraction of the route's objective that a request may wait for a slot.
SLOT_WAIT_FRACTION: Final = 1 / 8
# The same for nested calls. It is larger because a refusal wastes the work
# of the run that makes the call, and no caller retries it.
NESTED_SLOT_WAIT_FRACTION: Final = 1 / 2
SLOT_WAIT_LIMIT_MIN: Final = timedelta(milliseconds=15)
# Mean value, before jitter. Failing backend servers take longer to recover
# than full queues.
FAILING_ROUTE_RETRY_AFTER: Final = timedelta(seconds=1)
# Timers of uvloop are in whole milliseconds and may fire before their time.
TIMER_RESOLUTION: Final = MILLISECOND
# How long a response may be in transit at the deadline: a backend server that
# ends its work at the deadline responds shortly after it. The caller's own
# deadline may also be later than the one counted from the request's arrival.
RESPONSE_TRANSIT_TIME: Final = timedelta(milliseconds=50)
# A reroute follows a refusal that only shows that this host's view was
# stale. The backend server didn't get the call, so it isn't a retry.
REROUTES_MAX: Final = 2
REROUTABLE_CODES: Final = frozenset(
    (
        ErrorCode.DRAINING,
        ErrorCode.EVACUATED,
        ErrorCode.NO_SERVER,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.QUEUE_FULL,
    ),
)
# Failures of a backend server that another one may not have.
RETRYABLE_STATUSES: Final = frozenset((500, 502, 503, 504))
# Retries charged to a pool within 10 s that are always allowed, however few
# requests this host receives.
POOL_RETRIES_MIN: Final = 1.0
CALL_RESULTS: Final = {
    ErrorCode.CONNECTION_LOST: CallResult.LOST,
    ErrorCode.INCOMPLETE: CallResult.FAILED,
    ErrorCode.NO_SERVER: CallResult.LOST,
}
NO_HOSTS: Final[frozenset[str]] = frozenset()


@dataclass(slots=True, eq=False)
class _Attempt:
    """A call for a request that is in progress on a host."""

    host_name: str
    started_at: datetime
    cancel_call: Callable[[], None] | None = field(default=None, repr=False)
    # Whether the balancer has been told of the end, or of the silence.
    recorded: bool = False


@dataclass(slots=True, eq=False)
class PendingRequest:
    """State of a request until its response is sent."""

    request: HttpRequest
    request_id: str
    importance: Importance = Importance.NORMAL
    workspace: str = OPEN_WORKSPACE
    weight: float = 1.0
    # Workspace whose queue share is charged. For a nested call, it is that
    # of the request being served, if known.
    account: str = OPEN_WORKSPACE
    # Whether a backend server makes the call while it serves a request.
    nested: bool = False
    # Whether the call belongs to a run that is itself a retry.
    repeat: bool = False
    # Run of this host's backend server that makes the call, if known.
    parent_run_id: int | None = None
    route: Route | None = None
    # Whether the view has the route and a workspace for the key, if any.
    identified: bool = True
    pool: str = ""
    deadline: datetime | None = None
    retries: int = 0
    reroutes: int = 0
    may_have_run: bool = False
    tried_hosts: frozenset[str] = NO_HOSTS
    # Failure response of a backend server, which is returned unless a
    # retry gets a better one.
    server_failure: RunAnswer | None = None
    quota_request_id: int | None = None
    timer: asyncio.TimerHandle | None = None
    # Attempts in progress. All but the latest are on silent hosts.
    attempts: list[_Attempt] = field(default_factory=list)
    finished: bool = False

    @property
    def route_name(self) -> str:
        """Return the name of the route, "" without one."""
        return self.route.name if self.route else ""


# Sends a call to a host by name; returns a callback that cancels it. The last
# argument is called if the host falls silent while the call is in progress.
CallSender = Callable[
    [str, RunCall, Callable[[RunResult | None], None], Callable[[], None]],
    Callable[[], None],
]


class Ingress:
    """Check, admit and forward callers' requests.

    ``caller_pool`` is the pool that this host's callers belong to.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        header_names: HeaderNames,
        caller_pool: str,
        view: NodeView,
        confirmation_waits: ConfirmationWaits,
        balancer: Balancer,
        pressure: PressureMap,
        quota_gate: QuotaGate,
        attribution: CallAttribution,
        budget: MemoryBudget,
        send_call: CallSender,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._header_names = header_names
        self._dropped_fields = HOP_BY_HOP_FIELDS | header_names.reserved_fields
        self._caller_pool_line = b"%s: %s\r\n" % (
            header_names.caller_pool,
            caller_pool.encode(),
        )
        self._view = view
        self._confirmation_waits = confirmation_waits
        self._balancer = balancer
        self._pressure = pressure
        self._quota_gate = quota_gate
        self._attribution = attribution
        self._budget = budget
        self._send_call = send_call
        self._log = RateLimitedLog(clock)
        self._route_index = RouteIndex(view.tables)
        self._usual_importance = find_most_common_importance(view.tables)
        self._retry_shares: dict[str, tuple[float, RetryShare]] = {}
        self._tree_retry_limiter = TreeRetryLimiter(POOL_RETRIES_MIN)
        self._route_throttle = RouteThrottle(rng)
        self._tree_admission = TreeAdmission(rng)
        self._pending_requests: set[PendingRequest] = set()
        self.outcomes = OutcomeCounts()
        # Set late in a drain: callers' requests are refused, but not the
        # calls of backend servers, whose runs need them to finish.
        self.closing = False
        # Set at the start of a drain.
        self.stop_schedule: StopSchedule | None = None
        # Cleared at the end of a drain, when nothing that is sent can finish.
        self.sending_enabled = True

    @property
    def pending_request_count(self) -> int:
        """Return the number of requests that have no response yet."""
        return len(self._pending_requests)

    def update_tables(self) -> None:
        """Update what is derived from the tables after they change."""
        self._route_index = RouteIndex(self._view.tables)
        self._usual_importance = find_most_common_importance(self._view.tables)

    # Load of the failure domain.

    def take_outcomes(self) -> tuple[RouteOutcomes, ...]:
        """Return the responses to root requests since the last call."""
        return self._route_throttle.take_outcomes()

    def take_rejections(self) -> tuple[PoolRejections, ...]:
        """Return the calls to pools that reject some since the last call."""
        return self._tree_admission.take_rejections(self._clock.now())

    def observe_domain(self, load: DomainLoad) -> None:
        """Apply what the nodes of this failure domain have measured."""
        now = self._clock.now()
        self._pressure.observe_domain(now, load.levels)
        self._route_throttle.observe_domain(now, load.success_rates)
        self._tree_admission.observe_domain(now, load.rejection_rates)

    # Requests that don't fit into memory.

    def find_importance(self, request: HttpRequest) -> Importance:
        """Return the importance of a request whose body isn't read yet."""
        pending = PendingRequest(request, "")
        if self._identify(pending):
            return Importance.LOW
        return pending.importance

    def refuse_unread(self, request: HttpRequest, size: int) -> UnreadRefusal:
        """Return the refusal of a request that isn't read to its end."""
        raw_id = request.get_field(self._header_names.request_id) or b""
        pending = PendingRequest(request, raw_id.decode("latin-1"))
        code = ErrorCode.OVERLOAD
        self._find_route(pending)
        route = pending.route
        pending.deadline = request.arrived_at + self._find_timeout(pending)
        wait = self._compute_return_wait(pending, code, timedelta(0))
        self._log.log(
            Level.INFO,
            "request refused; its body does not fit into memory",
            request_id=pending.request_id,
            route=route.name if route else "",
            size=size,
            held=self._budget.held_bytes,
            limit=self._budget.limit_bytes,
        )
        return UnreadRefusal(
            choose_status(code, may_have_run=False),
            format_refusal_fields(wait),
            encode_refusal(code),
        )

    # Checks of new requests.

    def handle(self, request: HttpRequest) -> None:
        """Start handling a request."""
        raw_id = request.get_field(self._header_names.request_id) or b""
        pending = PendingRequest(request, raw_id.decode("latin-1"))
        self._pending_requests.add(pending)
        request.on_disconnect = lambda: self._abandon(pending)
        code = self._identify(pending)
        held = self._view.revision > 0 and self._confirmation_waits.hold(
            request.arrived_at,
            self._find_timeout(pending),
            lambda: self._resume(pending),
            identified=pending.identified,
        )
        if not held:
            self._take_on(pending, code)

    def _resume(self, pending: PendingRequest) -> None:
        """Go on with a request that was held until a confirmation."""
        if not pending.finished:
            self._take_on(pending, self._identify(pending))

    def _take_on(
        self, pending: PendingRequest, code: ErrorCode | None
    ) -> None:
        """Take on a request, unless it is refused with ``code``."""
        is_known = pending.identified or self._confirmation_waits.is_confirmed(
            pending.request.arrived_at
        )
        if not is_known:
            # The route or the key may have been added meanwhile.
            code = ErrorCode.STALE
        if code is not None:
            self._refuse(pending, code)
            return
        self._set_deadline(pending)
        if pending.deadline is not None and (
            pending.deadline <= self._clock.now()
        ):
            # It waited behind another request on its connection.
            self._refuse(pending, ErrorCode.DEADLINE)
            return
        if pending.nested:
            self._inherit_from_parent(pending)
        self._check_overload(pending)

    def _inherit_from_parent(self, pending: PendingRequest) -> None:
        """Apply importance, account and weight of the request being served."""
        route = pending.route
        request = pending.request
        remaining = self._read_remaining_time(request)
        if route is None or remaining is None:
            return
        found = self._attribution.start_call(
            request.arrived_at,
            request.arrived_at + remaining,
            route.name,
            route.timeout,
        )
        if found is None:
            return
        parent = found.run
        pending.parent_run_id = parent.run_id
        pending.importance = Importance(parent.importance)
        pending.account = parent.account
        pending.weight = parent.weight
        # A guess must not spend what the pool may repeat.
        pending.repeat = parent.repeat and found.certain

    def _identify(self, pending: PendingRequest) -> ErrorCode | None:
        """Find the route and the workspace; return why there is none."""
        pending.route = None
        pending.identified = True
        pending.nested = False
        pending.importance = Importance.NORMAL
        pending.workspace = pending.account = OPEN_WORKSPACE
        pending.weight = 1.0
        return self._find_route(pending) or self._authenticate(pending)

    def _find_route(self, pending: PendingRequest) -> ErrorCode | None:
        if not self._view.revision:
            return ErrorCode.STALE
        request = pending.request
        authority = (request.get_field(b"host") or b"").decode("latin-1")
        path = request.target.partition("?")[0]
        pending.route = self._route_index.find(
            parse_hostname(authority), request.method, path
        )
        if pending.route is not None:
            return None
        pending.identified = False
        return ErrorCode.UNKNOWN_ROUTE

    def _authenticate(self, pending: PendingRequest) -> ErrorCode | None:
        """Find the workspace of the request by its API key."""
        route = pending.route
        if route is None:
            return ErrorCode.UNKNOWN_ROUTE
        pending.importance = route.importance
        authorization = pending.request.get_field(b"authorization")
        if route.open and authorization is None:
            pending.nested = True
            return None
        view = self._view
        now = pending.request.arrived_at
        scheme, _, token = (
            (authorization or b"").decode("latin-1").partition(" ")
        )
        key_record = None
        if scheme.lower() == "bearer":
            key_record = view.keyring.identify(token.strip())
        workspace = (
            view.tables.workspaces.get(key_record.workspace)
            if key_record
            else None
        )
        if workspace is None:
            pending.identified = False
            return None if route.open else ErrorCode.KEY_UNKNOWN
        if not view.is_fresh(now):
            return ErrorCode.STALE
        pending.workspace = pending.account = workspace.name
        pending.weight = workspace.weight
        pending.importance = combine_importance(
            route.importance,
            workspace.importance,
            self._usual_importance,
        )
        return None

    def _read_remaining_time(self, request: HttpRequest) -> timedelta | None:
        """Return how long the caller waits, None if it doesn't say."""
        value = request.get_field(self._header_names.remaining_time)
        if value is None or not value.isdigit():
            return None
        digits = value.lstrip(b"0")
        if len(digits) > REMAINING_TIME_DIGITS_MAX:
            return REMAINING_TIME_MAX
        return int(digits or b"0") * MILLISECOND

    def _find_timeout(self, pending: PendingRequest) -> timedelta:
        """Return how long the request may take."""
        route = pending.route
        if route is None:
            return DEFAULT_ROUTE_TIMEOUT
        stated = self._read_remaining_time(pending.request)
        return route.timeout if stated is None else min(route.timeout, stated)

    def _set_deadline(self, pending: PendingRequest) -> None:
        if pending.route is None:
            return
        timeout = self._find_timeout(pending)
        pending.deadline = pending.request.arrived_at + timeout
        self._start_timer(pending, pending.deadline)

    def _start_timer(self, pending: PendingRequest, ends_at: datetime) -> None:
        remaining = ends_at - self._clock.now() + TIMER_RESOLUTION
        pending.timer = asyncio.get_running_loop().call_later(
            max(0.0, remaining.total_seconds()),
            self._expire,
            pending,
        )

    def _may_take_on(self, pending: PendingRequest) -> bool:
        """Return whether a drain allows the request to be taken on.

        After the admission time, that is a call of the backend server which
        the drain won't break off. A request without a key on an open route
        is one only if that server runs something.
        """
        schedule = self.stop_schedule
        now = self._clock.now()
        # The time counts also before ``closing`` is set, which a late event
        # loop does after it has read requests that were sent long after it.
        is_over = self.closing or (
            schedule is not None and now >= schedule.admission_ends_at
        )
        if not is_over:
            return True
        deadline = (pending.deadline or now) + RESPONSE_TRANSIT_TIME
        return (
            pending.nested
            and self._attribution.has_runs
            and schedule is not None
            and not schedule.may_outlast(deadline)
        )

    def _check_overload(self, pending: PendingRequest) -> None:
        """Refuse the request if a pool that it may reach is overloaded.

        This precedes the quota check, as a request refused here would
        waste a quota token of its workspace.
        """
        route = pending.route
        if route is None:
            return
        now = self._clock.now()
        pending.pool = self._choose_pool(route)
        if not self._may_take_on(pending):
            self._refuse(pending, ErrorCode.DRAINING)
            return
        if not pending.nested:
            self._tree_retry_limiter.record(
                now, pending.pool, pending.importance
            )
            refusal = self._pressure.decide(
                now,
                route.name,
                pending.importance,
                pending.workspace,
                pending.weight,
            )
            if refusal is not None:
                self._refuse(
                    pending,
                    ErrorCode.OVERLOAD,
                    refusal.retry_after,
                    pool=refusal.pool,
                    pool_level=round(refusal.level, 3),
                    calls=round(refusal.calls, 2),
                )
                return
            if not self._may_begin_tree(pending, route, now):
                return
        self._spend_quota(pending)

    def _may_begin_tree(
        self, pending: PendingRequest, route: Route, now: datetime
    ) -> bool:
        """Return whether the tree may complete; refuse the request if not."""
        admission = self._tree_admission
        forecast = None
        if admission.has_rejections:
            forecast = admission.forecast(
                now,
                pending.importance,
                pending.pool,
                self._pressure.find_calls_by_pool(route.name),
            )
        fraction = self._route_throttle.compute_admitted_fraction(
            now, route.name
        )
        if admission.admit(forecast, fraction):
            return True
        details: dict[str, object] = {}
        if forecast is not None:
            details = {
                "pool": forecast.pool,
                "calls": round(forecast.calls, 2),
                "rejection_rate": round(forecast.rejection_rate, 3),
                "success": round(forecast.success, 4),
            }
        retry_after = FAILING_ROUTE_RETRY_AFTER * self._rng.uniform(0.5, 1.5)
        self._refuse(
            pending,
            ErrorCode.OVERLOAD,
            retry_after,
            failing=True,
            **details,
        )
        return False

    def _spend_quota(self, pending: PendingRequest) -> None:
        workspace = self._view.tables.workspaces.get(pending.workspace)
        if workspace is None or not workspace.limited:
            self._start_attempts(pending)
            return

        def handle_decision(refused: RefuseQuota | None) -> None:
            pending.quota_request_id = None
            if pending.finished:
                return
            if refused is None:
                self._start_attempts(pending)
            else:
                self._refuse(
                    pending,
                    ErrorCode.QUOTA,
                    refused.retry_after,
                    inside_rate=refused.inside_rate,
                )

        pending.quota_request_id = self._quota_gate.request(
            pending.workspace, handle_decision
        )

    def _start_attempts(self, pending: PendingRequest) -> None:
        now = self._clock.now()
        if not self._stop_allows_attempt(now):
            self._refuse(pending, ErrorCode.DRAINING)
            return
        self._get_retry_share(pending.pool).record(now, pending.importance)
        self._forward(pending, now)

    def _choose_pool(self, route: Route) -> str:
        """Choose a pool at random by the weights of the route's shares."""
        if not route.shares:
            return route.pool
        pools = [share.pool for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(pools, weights)[0]

    # Attempts.

    def _stop_allows_attempt(self, now: datetime) -> bool:
        """Return whether a drain has time for an attempt that starts now.

        A late node refuses what is in progress from the least end of runs
        on, and a request that hasn't run can be repeated by its caller.
        """
        schedule = self.stop_schedule
        return self.sending_enabled and (
            schedule is None or now < schedule.runs_end_at_least
        )

    def _has_time_for_retry(self, pending: PendingRequest) -> bool:
        """Return whether the deadline and a drain allow another attempt."""
        now = self._clock.now()
        deadline = pending.deadline or now
        return self._stop_allows_attempt(now) and deadline > now

    def _forward(self, pending: PendingRequest, now: datetime) -> None:
        host_name = self._balancer.choose(
            now,
            pending.pool,
            pending.tried_hosts,
            pending.route.objective if pending.route else None,
        )
        if host_name is None:
            self._refuse_unless_running(pending, ErrorCode.NO_SERVER)
            return
        deadline = pending.deadline or now
        call = self._create_call(pending, deadline - now)
        self._balancer.start(now, host_name)
        attempt = _Attempt(host_name, now)
        pending.attempts.append(attempt)
        attempt.cancel_call = self._send_call(
            host_name,
            call,
            lambda result: self._finish_attempt(pending, attempt, result),
            lambda: self._handle_silence(pending, attempt),
        )

    def _create_call(
        self, pending: PendingRequest, remaining: timedelta
    ) -> RunCall:
        request = pending.request
        route = pending.route
        return RunCall(
            0,
            route.name if route else "",
            pending.pool,
            request.method,
            request.target,
            self._caller_pool_line
            + format_fields(request.fields, self._dropped_fields),
            request.body,
            pending.request_id,
            "" if pending.workspace == OPEN_WORKSPACE else pending.workspace,
            pending.account,
            pending.importance,
            pending.weight,
            compute_slot_wait_limit(route, remaining, nested=pending.nested)
            // MILLISECOND,
            max(0, remaining // MILLISECOND),
            pending.nested,
            route.idempotent if route else False,
            pending.repeat or pending.retries > 0,
        )

    def _finish_attempt(
        self,
        pending: PendingRequest,
        attempt: _Attempt,
        result: RunResult | None,
    ) -> None:
        if attempt not in pending.attempts:
            # It was cancelled.
            return
        pending.attempts.remove(attempt)
        host_name = attempt.host_name
        now = self._clock.now()
        self._record_end(pending, attempt, self._classify(result))
        if result is not None:
            self._record_response(pending, host_name, now, result)
        pending.tried_hosts |= {host_name}
        if isinstance(result, RunAnswer):
            self._respond_or_retry(pending, result)
        else:
            self._retry_or_refuse(pending, host_name, result)

    def _record_end(
        self,
        pending: PendingRequest,
        attempt: _Attempt,
        result: CallResult,
    ) -> None:
        """Tell the balancer how an attempt ended, once."""
        if attempt.recorded:
            return
        attempt.recorded = True
        now = self._clock.now()
        self._balancer.finish(
            now,
            attempt.host_name,
            result,
            now - attempt.started_at,
            pending.route_name,
        )

    def _handle_silence(
        self, pending: PendingRequest, attempt: _Attempt
    ) -> None:
        """Begin another attempt, if that is allowed, as a host is silent.

        The host may only be late, and its server at work, so the attempt
        isn't given up. The first one to get an answer ends the others.
        """
        if attempt not in pending.attempts:
            return
        self._record_end(pending, attempt, CallResult.LOST)
        pending.tried_hosts |= {attempt.host_name}
        code = ErrorCode.CONNECTION_LOST
        if self._may_retry(pending, code, may_have_run=True):
            self._forward(pending, self._clock.now())
        else:
            self._refuse_unless_running(pending, code)

    @staticmethod
    def _classify(result: RunResult | None) -> CallResult:
        if result is None:
            return CallResult.LOST
        if isinstance(result, RunAnswer):
            failed = result.status >= 500
            return CallResult.FAILED if failed else CallResult.OK
        return CALL_RESULTS.get(result.code, CallResult.REFUSED)

    def _record_response(
        self,
        pending: PendingRequest,
        host_name: str,
        now: datetime,
        result: RunResult,
    ) -> None:
        self._balancer.record_load(
            now, host_name, result.load, result.capacity, result.pace
        )
        route = pending.route
        if route is not None:
            if not pending.nested and isinstance(result, RunAnswer):
                failed = result.status in RETRYABLE_STATUSES
                self._route_throttle.record(now, route.name, failed=failed)
            pressures = tuple(
                PoolPressure(*pressure) for pressure in result.pressures
            )
            self._pressure.observe(now, route.name, pressures)

    def _respond_or_retry(
        self, pending: PendingRequest, result: RunAnswer
    ) -> None:
        """Send the response, or retry a failure if that is safe."""
        if result.status in RETRYABLE_STATUSES:
            pending.may_have_run = True
            self._keep_failure(pending, result)
            if self._is_running(pending):
                return
            if self._may_retry(
                pending,
                ErrorCode.SERVER_FAILED,
                may_have_run=True,
            ):
                self._forward(pending, self._clock.now())
                return
        self._respond(pending, result)

    def _keep_failure(
        self, pending: PendingRequest, failure: RunAnswer | None
    ) -> None:
        """Keep a failure response, charged as long as it is kept."""
        kept, pending.server_failure = pending.server_failure, failure
        if failure is not None:
            self._budget.charge(MemoryUse.RESPONSES, len(failure.body))
        if kept is not None:
            self._budget.release(MemoryUse.RESPONSES, len(kept.body))

    def _retry_or_refuse(
        self,
        pending: PendingRequest,
        host_name: str,
        result: RunRefusal | None,
    ) -> None:
        """Retry if that is safe and within the limits, or else refuse."""
        code = ErrorCode.CONNECTION_LOST
        may_have_run = True
        retry_after = timedelta(0)
        if result is not None:
            code = result.code
            may_have_run = result.may_have_run
            retry_after = result.retry_after_ms * MILLISECOND
        if may_have_run:
            pending.may_have_run = True
        if self._is_running(pending):
            return
        if self._may_retry(pending, code, may_have_run=may_have_run):
            self._forward(pending, self._clock.now())
        else:
            self._refuse_unless_running(
                pending, code, retry_after, refused_by=host_name
            )

    @staticmethod
    def _is_running(pending: PendingRequest) -> bool:
        """Return whether an attempt is in progress on a responsive host.

        What becomes of an attempt on a silent host doesn't matter then.
        """
        return any(not attempt.recorded for attempt in pending.attempts)

    def _refuse_unless_running(
        self,
        pending: PendingRequest,
        code: ErrorCode,
        retry_after: timedelta = timedelta(0),
        **details: object,
    ) -> None:
        """Refuse a request for which no other attempt may be begun.

        While it has an attempt on a silent host, a server may be at work on
        it, and the result may still come.
        """
        if not pending.attempts or pending.server_failure is not None:
            self._refuse(pending, code, retry_after, **details)
            return
        now = self._clock.now()
        self._log.log(
            Level.INFO,
            "request waits for a silent node",
            request_id=pending.request_id,
            code=code,
            route=pending.route_name,
            hosts=[attempt.host_name for attempt in pending.attempts],
            age=now - pending.request.arrived_at,
            time_left=pending.deadline - now if pending.deadline else None,
            **details,
        )

    def _may_retry(
        self,
        pending: PendingRequest,
        code: ErrorCode,
        *,
        may_have_run: bool,
    ) -> bool:
        route = pending.route
        if route is None or not self._has_time_for_retry(pending):
            return False
        if may_have_run and not route.idempotent:
            return False
        if code in REROUTABLE_CODES and not may_have_run:
            pending.reroutes += 1
            return pending.reroutes <= REROUTES_MAX
        if code not in (ErrorCode.SHED, ErrorCode.INCOMPLETE) and (
            not may_have_run
        ):
            return False
        if pending.retries >= route.retries:
            return False
        if not self._may_spend_retry(pending, route):
            return False
        pending.retries += 1
        self._log.log(
            Level.INFO,
            "request retried",
            request_id=pending.request_id,
            code=code,
            route=route.name,
            may_have_run=may_have_run,
            sends=pending.retries,
            tried=sorted(pending.tried_hosts),
            age=self._clock.now() - pending.request.arrived_at,
        )
        return True

    def _may_spend_retry(self, pending: PendingRequest, route: Route) -> bool:
        """Charge a retry to the limits of the pools that it reaches.

        The limits are divided by class. A nested call has that of its run.
        For a nested call, the tree's limit is enforced by the hosts of the
        called pool, as this host receives few root requests for that pool.
        """
        now = self._clock.now()
        importance = pending.importance
        if not self._get_retry_share(pending.pool).allow(now, importance):
            return False
        if pending.nested:
            return True
        calls_by_pool = self._pressure.find_calls_by_pool(route.name)
        costs = {
            **calls_by_pool,
            pending.pool: calls_by_pool.get(pending.pool, 1.0),
        }
        return self._tree_retry_limiter.allow(
            now, costs, self._get_retry_share_limit, importance
        )

    def _get_retry_share_limit(self, pool: str) -> float:
        pool_entry = self._view.tables.pools.get(pool)
        return pool_entry.retry_share if pool_entry else 0.0

    def _get_retry_share(self, pool: str) -> RetryShare:
        max_share = self._get_retry_share_limit(pool)
        cached = self._retry_shares.get(pool)
        if cached is None or cached[0] != max_share:
            cached = (max_share, RetryShare(max_share))
            self._retry_shares[pool] = cached
        return cached[1]

    # Completion.

    def _record_call(
        self, pending: PendingRequest, code: ErrorCode | None
    ) -> None:
        """Record whether the pool rejected a call, after its retries.

        ``code`` is that of the refusal, None for a response. Calls that end
        otherwise say nothing about the pool. Those of repeated runs are
        refused by a limit on retries without having been sent.
        """
        rejected = code is ErrorCode.SHED or (
            code is ErrorCode.RETRIES_EXHAUSTED and not pending.repeat
        )
        if code is None or rejected:
            self._tree_admission.record(
                self._clock.now(),
                pending.pool,
                pending.importance,
                rejected=rejected,
            )

    def _finish(self, pending: PendingRequest) -> None:
        pending.finished = True
        self._pending_requests.discard(pending)
        pending.request.on_disconnect = None
        # The closures of its attempts refer to each other and to the request
        # until a garbage collection.
        pending.request.body = b""
        self._keep_failure(pending, None)
        if pending.parent_run_id is not None:
            self._attribution.end_call(
                self._clock.now(), pending.parent_run_id
            )
        if pending.timer is not None:
            pending.timer.cancel()
        if pending.quota_request_id is not None:
            self._quota_gate.cancel(
                pending.workspace, pending.quota_request_id
            )
        self._cancel_attempts(pending)

    def _cancel_attempts(self, pending: PendingRequest) -> None:
        attempts, pending.attempts = pending.attempts, []
        for attempt in attempts:
            if attempt.cancel_call is not None:
                attempt.cancel_call()
            self._record_end(pending, attempt, CallResult.REFUSED)

    def _respond(self, pending: PendingRequest, result: RunAnswer) -> None:
        self._finish(pending)
        self._record_call(pending, None)
        self.outcomes.record_response(pending.route_name, result.status)
        pending.request.respond(
            result.status,
            result.fields,
            result.body,
            result.length,
        )

    def _abandon(self, pending: PendingRequest) -> None:
        """Cancel the work for a caller that has disconnected."""
        if pending.finished:
            return
        attempts = pending.attempts
        self._finish(pending)
        self.outcomes.record_cancellation(pending.route_name)
        self._log.log(
            Level.INFO,
            "request cancelled; its connection was closed",
            request_id=pending.request_id,
            route=pending.route_name,
            cause=pending.request.connection.end_cause,
            may_have_run=pending.may_have_run or bool(attempts),
            attempt_host=",".join(a.host_name for a in attempts),
            tried=sorted(pending.tried_hosts),
            age=self._clock.now() - pending.request.arrived_at,
        )

    def refuse_pending(self) -> None:
        """Refuse all requests that have no response yet."""
        for pending in list(self._pending_requests):
            self._interrupt(pending, ErrorCode.DRAINING)

    def _expire(self, pending: PendingRequest) -> None:
        """Refuse a request at its deadline, or later if a server has it."""
        ends_at = pending.deadline
        if pending.finished or ends_at is None:
            return
        if pending.attempts:
            ends_at += RESPONSE_TRANSIT_TIME
        if self._clock.now() < ends_at:
            self._start_timer(pending, ends_at)
        else:
            self._interrupt(pending, ErrorCode.TIMEOUT)

    def _interrupt(self, pending: PendingRequest, code: ErrorCode) -> None:
        """Refuse a request and cancel its attempts in progress."""
        if pending.attempts:
            # A sent call may still run until the cancellation arrives.
            pending.may_have_run = True
        self._refuse(pending, code)

    def _refuse(
        self,
        pending: PendingRequest,
        code: ErrorCode,
        retry_after: timedelta = timedelta(0),
        **details: object,
    ) -> None:
        """Respond with a refusal and log it with ``details``.

        ``retry_after`` is how long the refusing part suggests to wait.
        If a backend server returned a failure response, it is sent instead.
        """
        failure = pending.server_failure
        if failure is not None:
            self._respond(pending, failure)
            return
        self._finish(pending)
        self._record_call(pending, code)
        self.outcomes.record_refusal(pending.route_name, code)
        now = self._clock.now()
        schedule = self.stop_schedule
        status = choose_status(code, may_have_run=pending.may_have_run)
        wait = None
        if status in (429, 503):
            wait = self._compute_return_wait(pending, code, retry_after)
        self._log.log(
            Level.INFO,
            "request refused",
            request_id=pending.request_id,
            code=code,
            status=status,
            route=pending.route_name,
            workspace=pending.workspace,
            importance=pending.importance,
            may_have_run=pending.may_have_run,
            sends=pending.retries,
            moves=pending.reroutes,
            tried=sorted(pending.tried_hosts),
            age=now - pending.request.arrived_at,
            time_left=pending.deadline - now if pending.deadline else None,
            stop_age=now - schedule.started_at if schedule else None,
            revision=self._view.revision,
            **details,
        )
        pending.request.respond(
            status, format_refusal_fields(wait), encode_refusal(code)
        )

    def _compute_return_wait(
        self, pending: PendingRequest, code: ErrorCode, suggested: timedelta
    ) -> timedelta:
        now = self._clock.now()
        route = pending.route
        return compute_return_wait(
            self._rng,
            code,
            route.objective if route else None,
            (pending.deadline or now + DEFAULT_ROUTE_TIMEOUT) - now,
            suggested,
        )


def format_refusal_fields(retry_after: timedelta | None) -> bytes:
    """Return the header lines of a refusal."""
    lines = b"Content-Type: application/json\r\n"
    if retry_after is None:
        return lines
    return lines + b"Retry-After: %.3f\r\n" % retry_after.total_seconds()


def encode_refusal(code: ErrorCode) -> bytes:
    """Return the body of a refusal."""
    body: bytes = msgspec.json.encode({"code": code.value})
    return body


def choose_status(code: ErrorCode, *, may_have_run: bool) -> int:
    """Return a status that is correct about whether a request may have run.

    429 and 503 guarantee that it has not run. 502 and 504 guarantee
    nothing, so they are used only if it may have run.
    """
    status = HTTP_STATUS.get(code, DEFAULT_HTTP_STATUS)
    if may_have_run and status in (429, DEFAULT_HTTP_STATUS):
        return HTTP_STATUS[ErrorCode.CONNECTION_LOST]
    if not may_have_run and status in (502, 504):
        return DEFAULT_HTTP_STATUS
    return status


def compute_slot_wait_limit(
    route: Route | None,
    remaining: timedelta,
    *,
    nested: bool,
) -> timedelta:
    """Return how long a request may wait for a slot.

    A refusal after a small fraction of the objective leaves the caller
    enough time to retry.
    """
    objective = route.objective if route else None
    fraction = NESTED_SLOT_WAIT_FRACTION if nested else SLOT_WAIT_FRACTION
    return max(
        SLOT_WAIT_LIMIT_MIN, fraction * min(objective or remaining, remaining)
    )
