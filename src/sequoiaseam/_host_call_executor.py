"""Execution of calls on the backend server of the host."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random
from typing import Final

import msgspec

from sequoiaseam._admission import Admission, AdmissionAction, Refuse, Start
from sequoiaseam._announcements import ServerReport
from sequoiaseam._call_attribution import CallAttribution, ParentRun
from sequoiaseam._clock import Clock
from sequoiaseam._cold_start import ColdStart
from sequoiaseam._crash_guard import CrashGuard
from sequoiaseam._header_names import HOP_BY_HOP_FIELDS, HeaderNames
from sequoiaseam._http_client import (
    BackendPool,
    BackendResponse,
    Failure,
    Outcome,
    PendingRequest,
)
from sequoiaseam._http_server import HeaderFields, format_fields
from sequoiaseam._limiter import Completion
from sequoiaseam._load_report import OutcomeCounts, ServerCapacity
from sequoiaseam._logs import Level, RateLimitedLog, log_event
from sequoiaseam._memory import MemoryBudget
from sequoiaseam._mesh_frames import (
    RunAnswer,
    RunCall,
    RunRefusal,
    RunResult,
)
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._queue import Ticket
from sequoiaseam._retry import TreeRetryLimiter
from sequoiaseam._server_load import (
    PACE_USUAL,
    PaceAverage,
    parse_server_load,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._stop_schedule import StopSchedule
from sequoiaseam._tables import Pool
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._unanswered import UnansweredRequests
from sequoiaseam.errors import ErrorCode

TICK_INTERVAL: Final = timedelta(milliseconds=50)
MILLISECOND: Final = timedelta(milliseconds=1)
# How long the pressure levels of the called pools are cached.
PRESSURE_CACHE_TTL: Final = timedelta(milliseconds=50)
# A backend server that misses three reports is considered gone.
REPORT_SILENCE_TIMEOUT: Final = timedelta(seconds=6)
METHODS_WITHOUT_BODY: Final = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
# A malformed field may be long, and a log line has its start only.
LOGGED_FIELD_BYTES_MAX: Final = 60
# Retries that a backend server accepts in 10 s at any request rate.
SERVER_RETRIES_MIN: Final = 2.0
# Part of the fleet's retries that the servers of a pool divide among them.
# The rest covers nodes that restart and so forget what they have counted.
FLEET_RETRIES_FRACTION: Final = 0.7
# A quarantine lasts for minutes; callers give up long before.
QUARANTINE_RETRY_AFTER: Final = timedelta(minutes=1)
MISDIRECTED_REQUEST_STATUS: Final = 421
COLD_TIME_DIGITS_MAX: Final = 9


@dataclass(slots=True, eq=False)
class _Run:
    """A call in progress on this host until its result is sent."""

    call: RunCall
    arrived_at: datetime
    deadline: datetime
    on_result: Callable[[RunResult], None]
    ticket_id: int
    server_request: PendingRequest | None = None
    # When it was sent to the backend server, which occupies a slot.
    sent_at: datetime | None = None

    def measure_slot_time(self, now: datetime) -> timedelta:
        """Return for how long the call has occupied a slot."""
        return timedelta(0) if self.sent_at is None else now - self.sent_at

    def release_body(self) -> None:
        """Release the body, which the run's closures would keep in memory."""
        if self.call.body:
            self.call = msgspec.structs.replace(self.call, body=b"")


@dataclass(frozen=True, slots=True)
class _CachedPressures:
    """Pressure levels of the pools that the runs of a route call.

    Each entry is a pool, its level and the calls to it per run.
    """

    collected_at: datetime
    levels: list[tuple[str, float, float]]


@dataclass(slots=True, eq=False)
class _Session:
    """One incarnation of the backend server from its first report on."""

    report: ServerReport
    connections: BackendPool
    admission: Admission
    cold_start: ColdStart
    unanswered: UnansweredRequests
    last_reported_at: datetime
    # True from a failed connection until the next report of the server.
    connection_refused: bool = False
    pace: PaceAverage = field(default_factory=PaceAverage)


class HostCallExecutor:
    """Admit calls and run them on the backend server of this host."""

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        header_names: HeaderNames,
        pressure: PressureMap,
        crash_guard: CrashGuard,
        budget: MemoryBudget,
        fleet_retries: int = 0,
    ) -> None:
        self._crash_guard = crash_guard
        self._budget = budget
        self._fleet_retries = fleet_retries
        self._clock = clock
        self._rng = rng
        self._header_names = header_names
        self._dropped_fields = (
            HOP_BY_HOP_FIELDS | header_names.internal_response_fields
        )
        self._session: _Session | None = None
        # Of former incarnations, while they run calls.
        self._former_pools: list[BackendPool] = []
        self._runs: dict[int, _Run] = {}
        self._ids = itertools.count(1)
        self._tasks = TaskGroup()
        self.attribution = CallAttribution()
        self.outcomes = OutcomeCounts()
        self._pressure = pressure
        self._cached_pressures: dict[str, _CachedPressures] = {}
        self._retry_limiter = TreeRetryLimiter(SERVER_RETRIES_MIN)
        self._get_pool: Callable[[str], Pool | None] = lambda _: None
        self._get_objective: Callable[[str], timedelta | None] = lambda _: None
        self._log = RateLimitedLog(clock)
        self._cold_start_timer: asyncio.TimerHandle | None = None
        self.closing = False
        # Whether the failure domain of this host is evacuated.
        self._evacuated = False
        # Set at the start of a drain.
        self._stop_schedule: StopSchedule | None = None

    def start(
        self,
        get_pool: Callable[[str], Pool | None],
        get_objective: Callable[[str], timedelta | None] = lambda _: None,
    ) -> None:
        """Start the periodic processing of the queue.

        ``get_objective`` returns the objective of a route, if it has one.
        """
        self._get_pool = get_pool
        self._get_objective = get_objective
        self._tasks.start_periodic(TICK_INTERVAL, self._tick)
        self._crash_guard.start()

    def set_pool_size(self, server_count: int) -> None:
        """Divide the fleet's retries among the servers of this pool."""
        self._retry_limiter.retries_min = max(
            SERVER_RETRIES_MIN,
            FLEET_RETRIES_FRACTION * self._fleet_retries / server_count,
        )

    async def close(self) -> None:
        """Cancel the tasks and close the connections."""
        if self._cold_start_timer is not None:
            self._cold_start_timer.cancel()
        await self._tasks.cancel()
        await self._crash_guard.close()
        if self._session is not None:
            self._session.connections.close()

    @property
    def busy(self) -> bool:
        """Return whether a call is in progress."""
        return bool(self._runs)

    @property
    def call_count(self) -> int:
        """Return the number of calls in progress."""
        return len(self._runs)

    @property
    def report(self) -> ServerReport | None:
        """Return the latest report of the backend server, if any."""
        return None if self._session is None else self._session.report

    def is_serving(self, now: datetime) -> bool:
        """Return whether other hosts may send calls here."""
        session = self._session
        return (
            session is not None
            and not self.closing
            and not session.report.leaving
            and not session.connection_refused
            and now - session.last_reported_at < REPORT_SILENCE_TIMEOUT
        )

    def measure_pressure(self, now: datetime) -> PoolPressure | None:
        """Return the pressure on the backend server, None without one.

        An evacuated server is idle. It would lower the mean of its pool,
        whose other servers have its load.
        """
        session = self._session
        if session is None or self._evacuated:
            return None
        return session.admission.measure_pressure(now)

    def measure_capacity(self, now: datetime) -> ServerCapacity | None:
        """Return what the backend server may run and runs, if any."""
        session = self._session
        if session is None:
            return None
        admission = session.admission
        return ServerCapacity(
            session.report.server_id,
            session.report.pool,
            admission.slots,
            admission.limit,
            admission.running,
            admission.queued,
            admission.measure_pressure(now).level,
        )

    # Reports of the backend server.

    def accept_report(self, now: datetime, report: ServerReport) -> None:
        """Process a report; start a new session for a new incarnation."""
        session = self._session
        if session is None or not session.report.is_same_incarnation(report):
            self._replace_session(now, report)
            return
        session.report = report
        session.last_reported_at = now
        session.connection_refused = False
        self._update_cold_rate(now, session)
        session.cold_start.record_report(now, report.warmup_remaining)
        if report.leaving:
            self._refuse_queued(now, session)

    def _replace_session(self, now: datetime, report: ServerReport) -> None:
        """Start a session; calls that the former server runs go on.

        The queued ones are refused last, as calls may come in their place.
        """
        former = self._session
        pool = self._get_pool(report.pool) or Pool(report.pool)
        cold_start = ColdStart(now, pool.cold_rate, report.warmup_remaining)
        if former is not None:
            cold_start.inherit(now, former.cold_start)
        self._session = _Session(
            report,
            BackendPool(
                report.host,
                report.port,
                self._clock,
                self._budget,
                lambda: self._assume_cold(cold_start, "connections lost"),
            ),
            Admission(
                pool.for_server(report.slots, report.warmup_remaining),
                report.slots,
                now,
                self._rng,
                cold_start,
            ),
            cold_start,
            UnansweredRequests(now),
            now,
        )
        log_event(
            Level.INFO,
            "backend server announced",
            server=report.server_id,
            pool=report.pool,
            slots=report.slots,
            leaving=report.leaving,
        )
        if former is not None:
            self._refuse_queued(now, former)
            former.connections.close()
            self._former_pools.append(former.connections)

    def assume_cold(self, now: datetime) -> None:
        """Treat the server as cold until its next report."""
        session = self._session
        if session is None:
            # It gets no requests before its first report.
            return
        self._assume_cold(session.cold_start, "evacuation withdrawn")
        actions = session.admission.tick(now)
        self._apply_actions(now, session, actions)

    def _assume_cold(self, cold_start: ColdStart, reason: str) -> None:
        now = self._clock.now()
        if cold_start.rate > 0 and not cold_start.is_cold(now):
            report = self.report
            self._log.log(
                Level.INFO,
                "backend server may be cold",
                server=report.server_id if report else "",
                reason=reason,
                rate=cold_start.rate,
            )
        cold_start.assume_cold(now)

    def _update_cold_rate(self, now: datetime, session: _Session) -> None:
        """Apply the pool's limit, which may be edited or known late."""
        pool = self._get_pool(session.report.pool)
        if pool is not None:
            session.cold_start.set_rate(now, pool.cold_rate)

    def _refuse_queued(
        self,
        now: datetime,
        session: _Session,
        is_refused: Callable[[_Run], bool] = lambda _: True,
        code: ErrorCode = ErrorCode.DRAINING,
    ) -> None:
        """Refuse the calls that haven't started, all or some of them."""
        for run in [
            r
            for r in self._runs.values()
            if r.server_request is None and is_refused(r)
        ]:
            session.admission.cancel(now, run.ticket_id)
            self._refuse(run, code)

    # The evacuation of this host's failure domain.

    def set_evacuated(self, now: datetime, *, evacuated: bool) -> None:
        """Refuse calls while the failure domain of this host is evacuated.

        Those that wait are refused as not run, and may be rerouted. Runs in
        progress go on to their ends.
        """
        was_evacuated, self._evacuated = self._evacuated, evacuated
        if evacuated and not was_evacuated:
            self._refuse_unsent(now)
        elif was_evacuated and not evacuated:
            self.assume_cold(now)

    def _refuse_unsent(self, now: datetime) -> None:
        """Refuse the calls of which the backend server has got nothing.

        They are queued, or their connections are still being opened.
        """
        if self._session is not None:
            self._refuse_queued(now, self._session, code=ErrorCode.EVACUATED)
        for run in list(self._runs.values()):
            request = run.server_request
            if request is not None and request.connection is None:
                self._cancel(run)
                run.on_result(
                    self._create_refusal(now, run, ErrorCode.EVACUATED)
                )

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Start only calls from now on that can't outlast the stop.

        Other servers can run the rest from their start to their end.
        """
        self._stop_schedule = schedule
        session = self._session
        if session is not None:
            now = self._clock.now()
            self._refuse_queued(now, session, self._may_outlast_stop)

    def _may_outlast_stop(self, run: _Run) -> bool:
        schedule = self._stop_schedule
        return schedule is not None and schedule.may_outlast(run.deadline)

    def refuse_queued(self) -> None:
        """Refuse all calls that haven't been sent to the backend server."""
        if self._session is not None:
            self._refuse_queued(self._clock.now(), self._session)

    def refuse_all(self) -> None:
        """Refuse all calls; those sent to the backend server may have run."""
        now = self._clock.now()
        self.refuse_queued()
        for run in list(self._runs.values()):
            self._log_broken_off(now, run)
            self._cancel(run)
            run.on_result(
                self._create_refusal(
                    now, run, ErrorCode.DRAINING, may_have_run=True
                )
            )

    def _log_broken_off(self, now: datetime, run: _Run) -> None:
        schedule = self._stop_schedule
        report = self.report
        self._log.log(
            Level.INFO,
            "run broken off at the end of a stop",
            request_id=run.call.request_id,
            route=run.call.route,
            server=report.server_id if report else "",
            age=now - run.arrived_at,
            time_left=run.deadline - now,
            stop_age=now - schedule.started_at if schedule else None,
        )

    # Calls.

    def run(
        self,
        call: RunCall,
        on_result: Callable[[RunResult], None],
    ) -> Callable[[], None]:
        """Start a call; return a callback that cancels it."""
        now = self._clock.now()
        run = _Run(
            call,
            now,
            now + call.remaining_ms * MILLISECOND,
            on_result,
            next(self._ids),
        )
        self._runs[run.ticket_id] = run
        session = self._session
        if session is None or session.report.pool != call.pool:
            self._refuse(run, ErrorCode.NO_SERVER)
        elif self._evacuated:
            self._refuse(run, ErrorCode.EVACUATED)
        elif not self.is_serving(now) or self._may_outlast_stop(run):
            self._refuse(run, ErrorCode.DRAINING)
        elif self._crash_guard.is_quarantined(call):
            self._refuse(run, ErrorCode.QUARANTINED, QUARANTINE_RETRY_AFTER)
        elif not self._allow_run(now, call):
            self._refuse(run, ErrorCode.RETRIES_EXHAUSTED)
        else:
            ticket = Ticket(
                run.ticket_id,
                call.importance,
                call.account,
                call.weight,
                now,
                run.deadline,
                call.begun,
                latency_group=call.route,
                start_by=now + call.patience_ms * MILLISECOND,
            )
            self._apply_actions(
                now, session, session.admission.offer(now, ticket)
            )
            self._schedule_cold_start(now, session)
        return lambda: self._cancel(run)

    def _schedule_cold_start(self, now: datetime, session: _Session) -> None:
        """Wake up when the limit of a cold server allows the next start.

        Calls may wait for less than the interval of the ticks.
        """
        if self._cold_start_timer is not None or not session.admission.queued:
            return
        wait = session.cold_start.estimate_wait(now, 1)
        if timedelta(0) < wait < TICK_INTERVAL:
            # Timers may fire up to a millisecond before their time.
            self._cold_start_timer = asyncio.get_running_loop().call_later(
                (wait + MILLISECOND).total_seconds(), self._start_waiting
            )

    def _start_waiting(self) -> None:
        self._cold_start_timer = None
        session = self._session
        if session is not None:
            now = self._clock.now()
            actions = session.admission.tick(now)
            self._apply_actions(now, session, actions)
            self._schedule_cold_start(now, session)

    def _allow_run(self, now: datetime, call: RunCall) -> bool:
        """Return whether the pool's retry share allows the run; count it."""
        if call.repeat:
            return self._retry_limiter.allow(
                now, {call.pool: 1.0}, self._get_retry_share, call.importance
            )
        self._retry_limiter.record(
            now, call.pool, call.importance, nested=call.begun
        )
        return True

    def _get_retry_share(self, name: str) -> float:
        pool = self._get_pool(name)
        return pool.retry_share if pool else 0.0

    def _cancel(self, run: _Run) -> None:
        if self._runs.pop(run.ticket_id, None) is None:
            return
        now = self._clock.now()
        run.release_body()
        self.outcomes.record_cancellation(
            run.call.route, run.measure_slot_time(now)
        )
        if run.server_request is not None:
            self.attribution.end_run(run.ticket_id)
            self._crash_guard.end_run(run.ticket_id, complete=False)
            run.server_request.cancel()
        session = self._session
        if session is not None:
            session.unanswered.discard(run.ticket_id)
            actions = session.admission.cancel(now, run.ticket_id)
            self._apply_actions(now, session, actions)

    def _apply_actions(
        self,
        now: datetime,
        session: _Session,
        actions: tuple[AdmissionAction, ...],
    ) -> None:
        for action in actions:
            run = self._runs.get(action.ticket_id)
            if run is None:
                continue
            if isinstance(action, Start):
                self._send_request(now, session, run)
            elif isinstance(action, Refuse):
                self._refuse(run, action.code, action.retry_after)

    def _send_request(
        self, now: datetime, session: _Session, run: _Run
    ) -> None:
        call = run.call
        run.sent_at = now
        parent = ParentRun(
            run.ticket_id,
            call.route,
            call.importance,
            call.account,
            call.weight,
            call.repeat,
        )
        self.attribution.start_run(now, run.deadline, parent)
        correlation_field = None
        if call.request_id:
            correlation_field = (
                self._header_names.request_id,
                call.request_id.encode("latin-1"),
            )
        run.server_request = PendingRequest(
            self._format_head(now, session.report, run),
            call.body,
            correlation_field,
            call.method == "HEAD",
            call.idempotent,
            lambda outcome: self._finish_run(session, run, outcome),
        )
        self._crash_guard.start_run(run.ticket_id, call)
        session.unanswered.start(
            now,
            run.ticket_id,
            call.route,
            run.deadline - now,
            self._get_objective(call.route),
            repeat=call.repeat,
        )
        session.connections.send(run.server_request)

    def _format_head(
        self,
        now: datetime,
        report: ServerReport,
        run: _Run,
    ) -> bytes:
        """Return the encoded request to the backend server up to its body."""
        call = run.call
        header_names = self._header_names
        remaining_ms = max(0, (run.deadline - now) // MILLISECOND)
        parts = [
            f"{call.method} {call.target} HTTP/1.1\r\n".encode("latin-1"),
            call.fields,
            b"%s: %d\r\n" % (header_names.remaining_time, remaining_ms),
            b"%s: %s\r\n"
            % (header_names.expected_server_id, report.server_id.encode()),
        ]
        if call.workspace:
            parts.append(
                b"%s: %s\r\n"
                % (header_names.workspace, call.workspace.encode()),
            )
        if call.body or call.method not in METHODS_WITHOUT_BODY:
            parts.append(b"content-length: %d\r\n" % len(call.body))
        parts.append(b"\r\n")
        return b"".join(parts)

    # Outcomes.

    def _finish_run(
        self, session: _Session, run: _Run, outcome: Outcome
    ) -> None:
        now = self._clock.now()
        run.release_body()
        self.attribution.end_run(run.ticket_id)
        if isinstance(outcome, BackendResponse):
            session.unanswered.finish(now, run.ticket_id)
        else:
            session.unanswered.discard(run.ticket_id)
        pending = self._runs.pop(run.ticket_id, None) is not None
        completion, result = self._classify_outcome(now, session, run, outcome)
        if outcome is Failure.BROKEN:
            self._crash_guard.end_broken_run(
                run.ticket_id,
                Endpoint(session.report.host, session.report.port),
            )
        else:
            self._crash_guard.end_run(
                run.ticket_id, complete=isinstance(result, RunAnswer)
            )
        actions = session.admission.finish(now, run.ticket_id, completion)
        if pending:
            self._record_result(now, run, result)
            run.on_result(result)
        if session is self._session:
            self._apply_actions(now, session, actions)

    def _report_unanswered(self, now: datetime, session: _Session) -> None:
        """Report the requests that the server will never answer.

        They keep their slots until they end, as the server may still be at
        work. Their connections are used for no other request.
        """
        for silent in session.unanswered.find_silent(now, self._is_quiet):
            run = self._runs.get(silent.request_id)
            if run is None or run.server_request is None:
                continue
            run.server_request.retire_connection()
            self._log.log(
                Level.INFO,
                "request unanswered by the backend server",
                request_id=run.call.request_id,
                route=run.call.route,
                server=session.report.server_id,
                quiet_time=silent.quiet_time,
                later_ended=silent.later_ended,
                time_left=run.deadline - now,
            )

    def _is_quiet(self, run_id: int) -> bool:
        run = self._runs.get(run_id)
        return (
            run is not None
            and run.server_request is not None
            and run.server_request.is_quiet
            and not self.attribution.has_made_call(run_id)
        )

    def _classify_outcome(
        self,
        now: datetime,
        session: _Session,
        run: _Run,
        outcome: Outcome,
    ) -> tuple[Completion, RunResult]:
        if isinstance(outcome, Failure):
            return self._classify_failure(now, session, run, outcome)
        code = self._find_error_code(now, session, outcome)
        if code is ErrorCode.INCOMPLETE:
            result = self._create_refusal(now, run, code, may_have_run=True)
            return Completion.FAILED, result
        if code is not None:
            return Completion.SHED, self._create_refusal(now, run, code)
        completion = Completion.OK
        if outcome.status >= 500:
            completion = Completion.FAILED
        return completion, self._create_answer(now, run, outcome)

    def _classify_failure(
        self,
        now: datetime,
        session: _Session,
        run: _Run,
        failure: Failure,
    ) -> tuple[Completion, RunResult]:
        if failure is Failure.UNREACHABLE:
            session.connection_refused = True
            self._assume_cold(session.cold_start, "connection refused")
            result = self._create_refusal(now, run, ErrorCode.NO_SERVER)
            return Completion.CANCELLED, result
        log_event(
            Level.INFO,
            "no complete response from the backend server",
            request_id=run.call.request_id,
            reason=failure.value,
        )
        code = ErrorCode.INCOMPLETE
        result = self._create_refusal(now, run, code, may_have_run=True)
        return Completion.FAILED, result

    def _find_error_code(
        self,
        now: datetime,
        session: _Session,
        answer: BackendResponse,
    ) -> ErrorCode | None:
        """Return the error code if the answer is not a result, else None."""
        refused = answer.status == MISDIRECTED_REQUEST_STATUS
        for name, value in answer.fields:
            if name == self._header_names.not_run:
                refused = True
            elif name == self._header_names.load:
                self._record_server_load(now, session, value)
            elif name == self._header_names.warmup_remaining:
                _record_cold_time(now, session.cold_start, value)
            elif name == b"content-encoding":
                return ErrorCode.INCOMPLETE
        return ErrorCode.SHED if refused else None

    def _record_server_load(
        self,
        now: datetime,
        session: _Session,
        value: bytes,
    ) -> None:
        """Record the load that the server reports; ignore malformed values."""
        load = parse_server_load(value)
        if load is None:
            self._log.log(
                Level.WARNING,
                "malformed load of a backend server ignored",
                server=session.report.server_id,
                value=value[:LOGGED_FIELD_BYTES_MAX].decode("latin-1"),
            )
            return
        session.admission.record_load(now, load.utilization)
        if load.pace is not None:
            session.pace.record(now, load.pace)

    def _create_answer(
        self,
        now: datetime,
        run: _Run,
        answer: BackendResponse,
    ) -> RunAnswer:
        length = len(answer.body)
        if run.call.method == "HEAD":
            length = _read_length(answer.fields)
        return RunAnswer(
            run.call.call_id,
            answer.status,
            format_fields(answer.fields, self._dropped_fields),
            answer.body,
            length,
            self._measure_load(),
            self._list_pressures(now, run.call.route),
            capacity=self._get_capacity(),
            pace=self._get_pace(now),
        )

    def _create_refusal(
        self,
        now: datetime,
        run: _Run,
        code: ErrorCode,
        retry_after: timedelta = timedelta(0),
        *,
        may_have_run: bool = False,
    ) -> RunRefusal:
        return RunRefusal(
            run.call.call_id,
            code,
            may_have_run,
            retry_after // MILLISECOND,
            self._measure_load(),
            self._list_pressures(now, run.call.route),
            self._get_capacity(),
            self._get_pace(now),
        )

    def _refuse(
        self,
        run: _Run,
        code: ErrorCode,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        self._runs.pop(run.ticket_id, None)
        run.release_body()
        now = self._clock.now()
        self.outcomes.record_refusal(run.call.route, code)
        run.on_result(self._create_refusal(now, run, code, retry_after))

    def _record_result(
        self, now: datetime, run: _Run, result: RunResult
    ) -> None:
        slot_time = run.measure_slot_time(now)
        if isinstance(result, RunAnswer):
            self.outcomes.record_response(
                run.call.route, result.status, slot_time
            )
        else:
            self.outcomes.record_refusal(
                run.call.route, result.code, slot_time
            )

    def _measure_load(self) -> float:
        session = self._session
        if session is None:
            return 0.0
        admission = session.admission
        load = (admission.running + admission.queued) / admission.limit
        return max(load, session.cold_start.measure_load(self._clock.now()))

    def _get_capacity(self) -> int:
        """Return how many runs are allowed at once, 0 without a server."""
        session = self._session
        return 0 if session is None else session.admission.limit

    def _get_pace(self, now: datetime) -> float:
        session = self._session
        return PACE_USUAL if session is None else session.pace.get(now)

    def _list_pressures(
        self,
        now: datetime,
        route: str,
    ) -> list[tuple[str, float, float]]:
        """Return the pressure levels of this pool and the pools it calls."""
        session = self._session
        if session is None:
            return []
        cached = self._cached_pressures.get(route)
        if cached is None or now - cached.collected_at >= PRESSURE_CACHE_TTL:
            cached = _CachedPressures(
                now, self._collect_called_pressures(now, route)
            )
            self._cached_pressures[route] = cached
        own_pressure = self.measure_pressure(now)
        if own_pressure is None:
            return [*cached.levels]
        return [(own_pressure.pool, own_pressure.level, 1.0), *cached.levels]

    def _collect_called_pressures(
        self,
        now: datetime,
        route: str,
    ) -> list[tuple[str, float, float]]:
        calls_by_pool: dict[str, float] = {}
        for called in self.attribution.list_called_routes(route):
            count = self.attribution.estimate_calls_per_run(route, called)
            for pool, calls in self._pressure.find_calls_by_pool(
                called
            ).items():
                calls_by_pool[pool] = (
                    calls_by_pool.get(pool, 0.0) + count * calls
                )
        return [
            (pressure.pool, pressure.level, calls_by_pool[pressure.pool])
            for pressure in self._pressure.collect(now, calls_by_pool)
        ]

    def _tick(self) -> None:
        session = self._session
        if session is None:
            return
        now = self._clock.now()
        self._update_cold_rate(now, session)
        if self._runs:
            actions = session.admission.tick(now)
            self._apply_actions(now, session, actions)
            self._schedule_cold_start(now, session)
        self._report_unanswered(now, session)
        session.connections.sweep(now)
        if self._former_pools:
            self._former_pools = [p for p in self._former_pools if p.in_use]
            for pool in self._former_pools:
                pool.sweep(now)


def _record_cold_time(
    now: datetime, cold_start: ColdStart, value: bytes
) -> None:
    """Record the cold time that a response states; ignore other values."""
    if value.isdigit() and len(value) <= COLD_TIME_DIGITS_MAX:
        cold_start.record_response(now, int(value) * MILLISECOND)


def _read_length(fields: HeaderFields) -> int:
    for name, value in fields:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
