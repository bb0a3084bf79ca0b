"""The guarding side of a host: admits calls, runs them on its server."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

from sequoiaseam._admission import Admission, AdmissionAction, Refuse, Start
from sequoiaseam._announcements import ServerReport
from sequoiaseam._call_attribution import CallAttribution, ParentRun
from sequoiaseam._clock import Clock
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
from sequoiaseam._logs import Level, log_event
from sequoiaseam._mesh_frames import (
    RunAnswer,
    RunCall,
    RunRefusal,
    RunResult,
)
from sequoiaseam._pressure import PressureMap
from sequoiaseam._queue import Ticket
from sequoiaseam._retry import TreeRetryLimiter
from sequoiaseam._tables import Importance, Pool
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.errors import ErrorCode

TICK: Final = timedelta(milliseconds=50)
MILLISECOND: Final = timedelta(milliseconds=1)
# Levels from below are collected anew after this time.
PASS_ON: Final = timedelta(milliseconds=50)
# A server that misses three of its reports is gone.
SILENCE: Final = timedelta(seconds=6)
LENGTHLESS: Final = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
HINT_PARTS: Final = 3
# Repeated runs in 10 s that a server takes however few requests it gets.
SERVER_RETRIES_MIN: Final = 2.0
WRONG_SERVER: Final = 421


@dataclass(slots=True, eq=False)
class _Run:
    """A call on this host until its result is sent."""

    call: RunCall
    deadline: datetime
    finish: Callable[[RunResult], None]
    ticket_id: int
    sent: PendingRequest | None = None


@dataclass(frozen=True, slots=True)
class _PassedOn:
    """Levels of the pools that a route's runs call, for a short time."""

    at: datetime
    levels: list[tuple[str, float, float]]


@dataclass(slots=True, eq=False)
class _Session:
    """One run of the backend server, from its first report on."""

    report: ServerReport
    pool: BackendPool
    admission: Admission
    heard: datetime
    # Set after a refused connection, until the server's next report.
    refused: bool = False


class HostCallExecutor:
    """Run calls on the server beside this host, within its limits."""

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        header_names: HeaderNames,
        pressure: PressureMap,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._header_names = header_names
        self._dropped = (
            HOP_BY_HOP_FIELDS | header_names.internal_response_fields
        )
        self._session: _Session | None = None
        self._runs: dict[int, _Run] = {}
        self._ids = itertools.count(1)
        self._tasks = TaskGroup()
        self._ended = asyncio.Event()
        self.attribution = CallAttribution()
        self._pressure = pressure
        self._passed_on: dict[str, _PassedOn] = {}
        self._repeats = TreeRetryLimiter(SERVER_RETRIES_MIN)
        self._get_pool: Callable[[str], Pool | None] = lambda _: None
        self.closing = False

    def start(self, get_pool: Callable[[str], Pool | None]) -> None:
        """Begin to look after the queue."""
        self._get_pool = get_pool
        self._tasks.start(self._tick())

    async def close(self) -> None:
        """End the tasks and connections."""
        await self._tasks.cancel()
        if self._session is not None:
            self._session.pool.close()

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        while self._runs:
            self._ended.clear()
            await self._ended.wait()

    @property
    def report(self) -> ServerReport | None:
        """Return the server's newest report, None while there is none."""
        return None if self._session is None else self._session.report

    def is_serving(self, now: datetime) -> bool:
        """Return whether other hosts may send calls here."""
        session = self._session
        return (
            session is not None
            and not self.closing
            and not session.report.leaving
            and not session.refused
            and now - session.heard < SILENCE
        )

    # The server's own word.

    def accept_report(self, now: datetime, report: ServerReport) -> None:
        """Follow the server's report; start anew for another run of it."""
        session = self._session
        if session is None or not session.report.is_same_incarnation(report):
            self._replace(now, report)
            return
        session.report = report
        session.heard = now
        session.refused = False
        if report.leaving:
            self._refuse_waiting(now)

    def _replace(self, now: datetime, report: ServerReport) -> None:
        if self._session is not None:
            self._refuse_waiting(now)
            self._session.pool.close()
        pool = self._get_pool(report.pool) or Pool(report.pool)
        self._session = _Session(
            report,
            BackendPool(report.host, report.port, self._clock),
            Admission(
                pool.for_server(report.slots, report.warmup_remaining),
                report.slots,
                now,
                self._rng,
            ),
            now,
        )
        log_event(
            Level.INFO,
            "server announced",
            server=report.server_id,
            pool=report.pool,
            slots=report.slots,
            leaving=report.leaving,
        )

    def _refuse_waiting(self, now: datetime) -> None:
        """Send back what has not started."""
        session = self._session
        if session is None:
            return
        for run in [r for r in self._runs.values() if r.sent is None]:
            session.admission.cancel(now, run.ticket_id)
            self._refuse(run, ErrorCode.DRAINING)

    # Calls.

    def run(
        self,
        call: RunCall,
        finish: Callable[[RunResult], None],
    ) -> Callable[[], None]:
        """Start a call; return what gives it up."""
        now = self._clock.now()
        run = _Run(
            call,
            now + call.remaining_ms * MILLISECOND,
            finish,
            next(self._ids),
        )
        self._runs[run.ticket_id] = run
        session = self._session
        if session is None or session.report.pool != call.pool:
            self._refuse(run, ErrorCode.NO_SERVER)
        elif not self.is_serving(now):
            self._refuse(run, ErrorCode.DRAINING)
        elif not self._may_repeat(now, call):
            self._refuse(run, ErrorCode.RETRIES_EXHAUSTED)
        else:
            patience = call.patience_ms * MILLISECOND
            wait_until = (
                now + patience + session.admission.estimate_service_time(now)
            )
            ticket = Ticket(
                run.ticket_id,
                Importance(call.importance),
                call.account,
                call.weight,
                now,
                min(run.deadline, wait_until),
                call.begun,
                latency_group=call.route,
            )
            self._perform(now, session, session.admission.offer(now, ticket))
        return lambda: self._cancel(run)

    def _may_repeat(self, now: datetime, call: RunCall) -> bool:
        """Keep repeated runs within the pool's share of retries."""
        if call.repeat:
            return self._repeats.allow(now, {call.pool: 1.0}, self._get_share)
        if not call.begun:
            self._repeats.record(now, call.pool)
        return True

    def _get_share(self, name: str) -> float:
        pool = self._get_pool(name)
        return pool.retry_share if pool else 0.0

    def _cancel(self, run: _Run) -> None:
        if self._runs.pop(run.ticket_id, None) is None:
            return
        self._ended.set()
        if run.sent is not None:
            self.attribution.end_run(run.ticket_id)
            run.sent.cancel()
        session = self._session
        if session is not None:
            now = self._clock.now()
            actions = session.admission.cancel(now, run.ticket_id)
            self._perform(now, session, actions)

    def _perform(
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
                self._send(now, session, run)
            elif isinstance(action, Refuse):
                self._refuse(run, action.code, action.retry_after)

    def _send(self, now: datetime, session: _Session, run: _Run) -> None:
        call = run.call
        parent = ParentRun(
            run.ticket_id,
            call.route,
            call.importance,
            call.account,
            call.weight,
            call.repeat,
        )
        self.attribution.start_run(now, run.deadline, parent)
        echo = None
        if call.request_id:
            echo = (self._header_names.request_id, call.request_id.encode())
        run.sent = PendingRequest(
            self._format(now, session.report, run),
            echo,
            call.method == "HEAD",
            call.idempotent,
            lambda outcome: self._end(session, run, outcome),
        )
        session.pool.send(run.sent)

    def _format(
        self,
        now: datetime,
        report: ServerReport,
        run: _Run,
    ) -> bytes:
        """Return the request as the backend server gets it."""
        call = run.call
        header_names = self._header_names
        left = max(0, (run.deadline - now) // MILLISECOND)
        parts = [
            f"{call.method} {call.target} HTTP/1.1\r\n".encode("latin-1"),
            call.fields,
            b"%s: %d\r\n" % (header_names.remaining_time, left),
            b"%s: %s\r\n"
            % (header_names.expected_server_id, report.server_id.encode()),
        ]
        if call.workspace:
            parts.append(
                b"%s: %s\r\n"
                % (header_names.workspace, call.workspace.encode()),
            )
        if call.body or call.method not in LENGTHLESS:
            parts.append(b"content-length: %d\r\n" % len(call.body))
        parts.append(b"\r\n")
        parts.append(call.body)
        return b"".join(parts)

    # Outcomes.

    def _end(self, session: _Session, run: _Run, outcome: Outcome) -> None:
        now = self._clock.now()
        self._ended.set()
        self.attribution.end_run(run.ticket_id)
        known = self._runs.pop(run.ticket_id, None) is not None
        completion, result = self._judge(now, session, run, outcome)
        actions = session.admission.finish(now, run.ticket_id, completion)
        if known:
            run.finish(result)
        if session is self._session:
            self._perform(now, session, actions)

    def _judge(
        self,
        now: datetime,
        session: _Session,
        run: _Run,
        outcome: Outcome,
    ) -> tuple[Completion, RunResult]:
        if isinstance(outcome, Failure):
            return self._judge_failure(now, session, run, outcome)
        code = self._find_refusal(now, session, outcome)
        if code is ErrorCode.INCOMPLETE:
            result = self._create_refusal(now, run, code, may_have_run=True)
            return Completion.FAILED, result
        if code is not None:
            return Completion.SHED, self._create_refusal(now, run, code)
        completion = Completion.OK
        if outcome.status >= 500:
            completion = Completion.FAILED
        return completion, self._create_answer(now, run, outcome)

    def _judge_failure(
        self,
        now: datetime,
        session: _Session,
        run: _Run,
        failure: Failure,
    ) -> tuple[Completion, RunResult]:
        if failure is Failure.UNREACHABLE:
            session.refused = True
            result = self._create_refusal(now, run, ErrorCode.NO_SERVER)
            return Completion.CANCELLED, result
        log_event(
            Level.INFO,
            "no whole answer from the server",
            request_id=run.call.request_id,
            reason=failure.value,
        )
        code = ErrorCode.INCOMPLETE
        result = self._create_refusal(now, run, code, may_have_run=True)
        return Completion.FAILED, result

    def _find_refusal(
        self,
        now: datetime,
        session: _Session,
        answer: BackendResponse,
    ) -> ErrorCode | None:
        """Return why an answer isn't the server's result, if it isn't."""
        refused = answer.status == WRONG_SERVER
        for name, value in answer.fields:
            if name == self._header_names.not_run:
                refused = True
            elif name == self._header_names.load:
                self._hint(now, session, value)
            elif name == b"content-encoding":
                return ErrorCode.INCOMPLETE
        return ErrorCode.SHED if refused else None

    def _hint(
        self,
        now: datetime,
        session: _Session,
        value: bytes,
    ) -> None:
        """Take the load that the server tells, if it can be read."""
        parts = value.split(b",")
        if len(parts) != HINT_PARTS or not all(p.isdigit() for p in parts):
            return
        running, waiting, slots = map(int, parts)
        load = min(1.0, (running + waiting) / max(1, slots))
        session.admission.record_load(now, load)

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
            format_fields(answer.fields, self._dropped),
            answer.body,
            length,
            self._measure_load(),
            self._list_pressures(now, run.call.route),
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
            code.value,
            may_have_run,
            retry_after // MILLISECOND,
            self._measure_load(),
            self._list_pressures(now, run.call.route),
        )

    def _refuse(
        self,
        run: _Run,
        code: ErrorCode,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        self._runs.pop(run.ticket_id, None)
        self._ended.set()
        now = self._clock.now()
        run.finish(self._create_refusal(now, run, code, retry_after))

    def _measure_load(self) -> float:
        session = self._session
        if session is None:
            return 0.0
        admission = session.admission
        return (admission.running + admission.queued) / admission.limit

    def _list_pressures(
        self,
        now: datetime,
        route: str,
    ) -> list[tuple[str, float, float]]:
        """Return the levels of this pool and of those that it calls."""
        session = self._session
        if session is None:
            return []
        own = session.admission.measure_pressure(now)
        passed_on = self._passed_on.get(route)
        if passed_on is None or now - passed_on.at >= PASS_ON:
            passed_on = _PassedOn(now, self._collect_below(now, route))
            self._passed_on[route] = passed_on
        return [(own.pool, own.level, 1.0), *passed_on.levels]

    def _collect_below(
        self,
        now: datetime,
        route: str,
    ) -> list[tuple[str, float, float]]:
        reach: dict[str, float] = {}
        for called in self.attribution.list_called_routes(route):
            count = self.attribution.estimate_calls_per_run(route, called)
            for pool, calls in self._pressure.find_calls_by_pool(
                called
            ).items():
                reach[pool] = reach.get(pool, 0.0) + count * calls
        return [
            (one.pool, one.level, reach[one.pool])
            for one in self._pressure.collect(now, reach)
        ]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            session = self._session
            if session is not None:
                now = self._clock.now()
                if self._runs:
                    actions = session.admission.tick(now)
                    self._perform(now, session, actions)
                session.pool.sweep(now)


def _read_length(fields: HeaderFields) -> int:
    for name, value in fields:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
