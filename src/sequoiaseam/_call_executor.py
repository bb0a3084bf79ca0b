"""Execution of calls on the node's backend server."""

import asyncio
import functools
import itertools
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from sequoiaseam._admission import Admission
from sequoiaseam._attempt import (
    AttemptPlan,
    AttemptTracker,
    Denied,
    Granted,
)
from sequoiaseam._backend import Announcement, BackendClient, BackendRequest
from sequoiaseam._clock import Clock
from sequoiaseam._commands import CrashReported
from sequoiaseam._exchange import Response, convert_retry_after_us
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    RefusalFrame,
    compute_checksum,
)
from sequoiaseam._handles import CallContext, HandleTable
from sequoiaseam._limiter import Completion
from sequoiaseam._logs import Level, log_event
from sequoiaseam._pending import AsyncAdmission, PendingFutures
from sequoiaseam._quarantine import (
    CrashWatch,
    QuarantineList,
    Standing,
    compute_fingerprint,
)
from sequoiaseam._queue import Ticket
from sequoiaseam._retry import RetryBudget
from sequoiaseam._tables import Pool
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import Vote
from sequoiaseam.const import ANNOUNCE_INTERVAL
from sequoiaseam.errors import ErrorCode, RefusalError

MICROSECOND: Final = timedelta(microseconds=1)
# A backend server that misses this many announcements is considered gone.
MISSED_ANNOUNCEMENTS_MAX: Final = 3
# How long an interrupted request is kept as a crash suspect. The crash of a
# server that restarts at once is detected only by its next announcement.
CRASH_SUSPECT_DURATION: Final = 2 * ANNOUNCE_INTERVAL
EVACUATED_MESSAGE: Final = "the failure domain is evacuated"
COMPLETION_BY_CODE: Final = {
    ErrorCode.SHED: Completion.SHED,
    ErrorCode.TIMEOUT: Completion.TIMEOUT,
    ErrorCode.DEADLINE: Completion.CANCELLED,
}


@dataclass(frozen=True, slots=True)
class CallExecutorHooks:
    """Functions and state of the node that the call executor uses.

    ``post`` sends a message to the node with the given name.
    ``report_crash`` returns once the report is in force, or after a short
    timeout.
    """

    post: Callable[[str, object], None]
    quarantine: QuarantineList
    report_crash: Callable[
        [CrashReported],
        Coroutine[Any, Any, None],
    ]
    get_pool: Callable[[str], Pool | None]


@dataclass(slots=True)
class BackendSession:
    """State of a backend server from its announcement until it is gone."""

    announcement: Announcement
    client: BackendClient
    async_admission: AsyncAdmission
    last_announced_at: datetime
    # Set once a crash of the server is detected.
    crash_report_task: "asyncio.Task[None] | None" = None


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A received call and the state of its execution."""

    call: CallFrame
    arrived_at: datetime
    deadline: datetime
    budget: RetryBudget
    pressures: dict[str, float]


class DeniedError(RefusalError):
    """The witnesses did not grant the attempt."""

    def __init__(self, denied: Denied) -> None:
        super().__init__(
            denied.code,
            "the witnesses did not grant the attempt",
            verdict=denied.verdict,
        )
        self.denied = denied


def _get_recorded_outcome(result: Granted | Denied) -> Response | None:
    """Return the recorded outcome, or None if granted.

    Raise DeniedError if the attempt is denied without a recorded outcome.
    """
    if isinstance(result, Granted):
        return None
    outcome = result.outcome
    if outcome is not None and outcome.body is not None:
        return Response(outcome.status, outcome.headers, outcome.body)
    raise DeniedError(result)


class CallExecutor:
    """Admit calls and run them on the backend server.

    An answer is returned once it is complete.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: Clock,
        rng: Random,
        handles: HandleTable,
        hooks: CallExecutorHooks,
    ) -> None:
        self._name = name
        self._clock = clock
        self._rng = rng
        self._handles = handles
        self._hooks = hooks
        self._session: BackendSession | None = None
        self._crash_watch = CrashWatch()
        self._tracker = AttemptTracker(name, incarnation)
        self._pending_grants: PendingFutures[str, Granted | Denied] = (
            PendingFutures()
        )
        self._ids = itertools.count(1)
        self._tasks = TaskGroup()
        self._draining = False
        # Whether the failure domain of this host is evacuated.
        self._evacuated = False
        self._active_calls = 0
        self._idle = asyncio.Event()
        # Attempts proved never to start that have not been reported yet.
        self._unstarted_attempts: set[str] = set()

    @property
    def announcement(self) -> Announcement | None:
        """Return the latest announcement of the backend server, if any."""
        return self._session.announcement if self._session else None

    @property
    def draining(self) -> bool:
        """Return whether new calls are refused."""
        session = self._session
        return self._draining or (
            session is not None and session.announcement.state == "draining"
        )

    async def wait_idle(self) -> None:
        """Wait until no calls are running or queued."""
        while self._active_calls:
            self._idle.clear()
            await self._idle.wait()

    def accept_announcement(self, announcement: Announcement) -> None:
        """Process an announcement of the backend server."""
        now = self._clock.now()
        session = self._session
        if session is None or _is_different_start(
            session.announcement, announcement
        ):
            self._replace_session(now, announcement)
            return
        session.last_announced_at = now
        resized = session.announcement.slots != announcement.slots
        session.announcement = announcement
        if resized:
            self.configure()
        session.async_admission.admission.record_load(now, announcement.load)
        if announcement.state == "draining":
            session.async_admission.admission.drain(now)

    def _replace_session(
        self, now: datetime, announcement: Announcement
    ) -> None:
        session = self._session
        if session is not None and _is_crash_restart(
            session.announcement,
            announcement,
        ):
            self._tasks.start(self._report_crash(now))
        self._end_session()
        pool = self._hooks.get_pool(announcement.pool)
        if pool is None:
            pool = Pool(announcement.pool, slots=announcement.slots)
        admission = Admission(pool, announcement.slots, now, self._rng)
        self._session = BackendSession(
            announcement,
            BackendClient(announcement),
            AsyncAdmission(admission, self._clock),
            now,
        )
        log_event(
            Level.INFO,
            "backend server announced",
            pool=announcement.pool,
            slots=announcement.slots,
        )

    def withdraw(self) -> None:
        """Remove the backend server after it withdrew its announcement."""
        self._end_session()

    def configure(self) -> None:
        """Apply changed settings of the pool."""
        session = self._session
        if session is None:
            return
        pool = self._hooks.get_pool(session.announcement.pool)
        if pool is not None:
            session.async_admission.configure(pool, session.announcement.slots)

    def drain(self) -> None:
        """Refuse new calls; calls already admitted complete."""
        self._draining = True
        if self._session is not None:
            self._session.async_admission.admission.drain(self._clock.now())

    def set_evacuated(self, *, evacuated: bool) -> None:
        """Refuse calls while the failure domain of this host is evacuated.

        Those that wait for a slot are refused; runs in progress go on.
        """
        self._evacuated = evacuated
        if evacuated and self._session is not None:
            self._session.async_admission.refuse_all(
                ErrorCode.EVACUATED, EVACUATED_MESSAGE
            )

    def refuse_queued(self) -> None:
        """Refuse the calls that wait for a slot, at the end of a drain."""
        if self._session is not None:
            self._session.async_admission.refuse_all(
                ErrorCode.DRAINING, "the node is draining"
            )

    @property
    def active_calls(self) -> int:
        """Return the number of calls that are running or queued."""
        return self._active_calls

    def receive_vote(self, vote: Vote) -> None:
        """Process the vote of a witness."""
        self._resolve_grants(
            self._tracker.record_vote(self._clock.now(), vote)
        )

    def tick(self, now: datetime) -> None:
        """Expire overdue attempts and tickets; call every 50 ms."""
        self._resolve_grants(self._tracker.tick(now))
        self._report_cleared(now)
        session = self._session
        if session is None:
            return
        session.async_admission.tick(now)
        if (
            now - session.last_announced_at
            > MISSED_ANNOUNCEMENTS_MAX * ANNOUNCE_INTERVAL
        ):
            log_event(Level.WARNING, "backend server missed its announcements")
            self._end_session()

    def _resolve_grants(self, actions: tuple[Granted | Denied, ...]) -> None:
        for action in actions:
            self._pending_grants.resolve(action.attempt, action)

    async def run(self, call: CallFrame) -> AnswerFrame | RefusalFrame:
        """Run a call and return the answer or the refusal."""
        self._active_calls += 1
        try:
            return await self._run_or_refuse(call)
        finally:
            self._active_calls -= 1
            if not self._active_calls:
                self._idle.set()

    async def _run_or_refuse(
        self, call: CallFrame
    ) -> AnswerFrame | RefusalFrame:
        budget = RetryBudget(call.budget)
        pressures: dict[str, float] = {}
        try:
            return await self._run_call(call, budget, pressures)
        except DeniedError as error:
            return self._create_refusal(
                call,
                error,
                budget,
                pressures,
                denied=error.denied,
            )
        except RefusalError as error:
            return self._create_refusal(call, error, budget, pressures)

    async def _run_call(
        self,
        call: CallFrame,
        budget: RetryBudget,
        pressures: dict[str, float],
    ) -> AnswerFrame:
        arrived_at = self._clock.now()
        deadline = arrived_at + call.remaining_us * MICROSECOND
        grant = self._register_attempt(call, arrived_at, deadline)
        try:
            return await self._admit_and_run(
                ReceivedCall(call, arrived_at, deadline, budget, pressures),
                grant,
            )
        except (RefusalError, asyncio.CancelledError):
            # Has no effect on an attempt that has started.
            if call.attempt is not None:
                self._refuse_attempt(call.attempt)
            raise

    def _register_attempt(
        self,
        call: CallFrame,
        now: datetime,
        deadline: datetime,
    ) -> "asyncio.Future[Granted | Denied] | None":
        """Register the attempt, before the call can be refused.

        Return a future for the decision of the witnesses, or None if the
        call has no attempt.
        """
        plan = call.attempt
        if plan is None:
            return None
        future = self._pending_grants.create(plan.intent.attempt)
        self._resolve_grants(self._tracker.register_call(now, plan, deadline))
        return future

    async def _admit_and_run(
        self,
        received: "ReceivedCall",
        grant: "asyncio.Future[Granted | Denied] | None",
    ) -> AnswerFrame:
        call, arrived_at = received.call, received.arrived_at
        session = self._get_session(call.pool)
        fingerprint = compute_fingerprint(
            call.workspace,
            "",
            call.method,
            call.path,
            call.body,
        )
        standing = self._crash_watch.check(
            arrived_at,
            fingerprint,
            self._hooks.quarantine,
        )
        if standing is Standing.QUARANTINED:
            raise RefusalError(
                ErrorCode.QUARANTINED,
                "this request has crashed backend servers",
            )
        if grant is not None:
            recorded = _get_recorded_outcome(await grant)
            if recorded is not None:
                return self._create_answer(received, recorded)
            # The evacuation may have begun meanwhile.
            self._require_not_evacuated()
        ticket = Ticket(
            next(self._ids),
            call.importance,
            call.workspace,
            call.weight,
            # Excludes the wait for the witnesses, which is not caused by a
            # lack of capacity.
            self._clock.now(),
            received.deadline,
            call.begun,
            standing is Standing.SUSPECT,
            call.route,
        )
        await session.async_admission.acquire(ticket)
        started_at = self._clock.now()
        run = self._run_on_server(session, ticket, received, fingerprint)
        if call.idempotent:
            answer = await run
        else:
            # Continue when the caller disconnects, because a resent
            # request is answered with the recorded outcome.
            answer = await asyncio.shield(self._tasks.start(run))
        return self._create_answer(
            received,
            answer,
            queue_time=started_at - arrived_at,
            service_time=self._clock.now() - started_at,
        )

    def _get_session(self, pool: str) -> BackendSession:
        session = self._session
        if session is None or session.announcement.pool != pool:
            raise RefusalError(
                ErrorCode.NO_SERVER,
                "no backend server of the pool is announced here",
            )
        if self._draining:
            raise RefusalError(ErrorCode.DRAINING, "the node is draining")
        self._require_not_evacuated()
        return session

    def _require_not_evacuated(self) -> None:
        if self._evacuated:
            raise RefusalError(ErrorCode.EVACUATED, EVACUATED_MESSAGE)

    def _refuse_attempt(self, plan: AttemptPlan) -> None:
        attempt = plan.intent.attempt
        self._pending_grants.discard(attempt)
        if self._tracker.refuse(self._clock.now(), attempt):
            self._unstarted_attempts.add(attempt)

    async def _run_on_server(
        self,
        session: BackendSession,
        ticket: Ticket,
        received: "ReceivedCall",
        fingerprint: int,
    ) -> Response:
        completion = Completion.CANCELLED
        try:
            self._start_attempt(received.call)
            answer = await self._send_request(
                session,
                ticket.ticket_id,
                received,
                fingerprint,
            )
            failed = answer.status >= 500
            completion = Completion.FAILED if failed else Completion.OK
        except RefusalError as error:
            completion = COMPLETION_BY_CODE.get(error.code, Completion.FAILED)
            self._abandon_attempt(received.call, error.verdict)
            raise
        except asyncio.CancelledError:
            self._abandon_attempt(received.call, Verdict.MAY_HAVE_RUN)
            raise
        finally:
            if completion is Completion.CANCELLED:
                session.async_admission.cancel(ticket.ticket_id)
            else:
                session.async_admission.release(ticket.ticket_id, completion)
        self._record_outcome(received.call, answer)
        return answer

    def _start_attempt(self, call: CallFrame) -> None:
        plan = call.attempt
        if plan is None:
            return
        now = self._clock.now()
        if not self._tracker.start(now, plan.intent.attempt):
            raise RefusalError(
                ErrorCode.DEADLINE,
                "the attempt is too late to start",
            )

    def _abandon_attempt(self, call: CallFrame, verdict: Verdict) -> None:
        """End an attempt without an outcome.

        A backend server that shed the request or that was unreachable
        has not run it, so the entry node may retry on another node.
        """
        plan = call.attempt
        if plan is None:
            return
        attempt = plan.intent.attempt
        self._tracker.abandon(self._clock.now(), attempt)
        if verdict is Verdict.NOT_RUN:
            self._unstarted_attempts.add(attempt)

    async def _send_request(
        self,
        session: BackendSession,
        ticket_id: int,
        received: "ReceivedCall",
        fingerprint: int,
    ) -> Response:
        call = received.call
        handle = self._handles.issue(
            CallContext(
                root_id=call.root_id,
                workspace=call.workspace,
                route=call.route,
                importance=call.importance,
                weight=call.weight,
                deadline=received.deadline,
                budget=received.budget,
                depth=call.depth,
                pressures=received.pressures,
                on_nested_start=functools.partial(
                    session.async_admission.suspend,
                    ticket_id,
                ),
                on_nested_end=functools.partial(
                    session.async_admission.resume,
                    ticket_id,
                ),
            ),
        )
        run_id = next(self._ids)
        self._crash_watch.start(fingerprint, run_id)
        answered = interrupted = False
        try:
            response = await session.client.send(
                BackendRequest(
                    call.method,
                    call.path,
                    call.headers,
                    call.body,
                    handle,
                    call.root_id,
                    max(
                        received.deadline - self._clock.now(),
                        MICROSECOND,
                    ),
                ),
            )
            answered = True
        except RefusalError as error:
            if error.code in (ErrorCode.INCOMPLETE, ErrorCode.NO_SERVER):
                interrupted = True
                await self._check_crash(session)
            raise
        finally:
            self._handles.revoke(handle)
            if interrupted:
                asyncio.get_running_loop().call_later(
                    CRASH_SUSPECT_DURATION.total_seconds(),
                    functools.partial(
                        self._crash_watch.finish,
                        run_id,
                        whole=False,
                    ),
                )
            else:
                self._crash_watch.finish(run_id, whole=answered)
        return response

    async def _check_crash(self, session: BackendSession) -> None:
        """Wait for the crash report if the backend server is unreachable.

        All requests that were running wait for the same report, because
        the first one to be retried may be the one that caused the crash.
        """
        reachable = await session.client.is_reachable()
        if not reachable and self._session is session:
            self._end_session()
            session.crash_report_task = self._tasks.start(
                self._report_crash(self._clock.now()),
            )
        if session.crash_report_task is not None:
            await asyncio.shield(session.crash_report_task)

    async def _report_crash(self, now: datetime) -> None:
        crash_id = f"{self._name}-{now.timestamp():.6f}"
        report = self._crash_watch.crash(now, crash_id)
        if report is not None:
            log_event(
                Level.ERROR,
                "backend server crashed",
                crash=crash_id,
                running=len(report.fingerprints),
            )
            await self._hooks.report_crash(report)

    def _report_cleared(self, now: datetime) -> None:
        """Report suspects that completed here without a crash."""
        report = self._crash_watch.report_cleared(
            now,
            f"{self._name}-cleared-{now.timestamp():.6f}",
            self._hooks.quarantine,
        )
        if report is not None:
            self._tasks.start(self._hooks.report_crash(report))

    def _end_session(self) -> None:
        session, self._session = self._session, None
        if session is None:
            return
        session.async_admission.refuse_all(
            ErrorCode.NO_SERVER, "the backend server is gone"
        )
        self._tasks.start(self._close_client(session))

    async def _close_client(self, session: BackendSession) -> None:
        """Close the client once no call uses it."""
        await session.async_admission.wait_idle()
        await session.client.close()

    def _record_outcome(self, call: CallFrame, answer: Response) -> None:
        plan = call.attempt
        if plan is None:
            return
        record = self._tracker.complete(
            self._clock.now(),
            plan.intent.attempt,
            answer.status,
            answer.headers,
            answer.body,
        )
        if record is not None and plan.group is not None:
            for witness in plan.group.witnesses:
                self._hooks.post(witness, record)

    def _collect_pressures(
        self,
        pressures: dict[str, float],
    ) -> tuple[tuple[str, float], ...]:
        session = self._session
        # An evacuated server is idle, unlike the others of its pool.
        if session is not None and not self._evacuated:
            now = self._clock.now()
            own_pressure = session.async_admission.admission.measure_pressure(
                now
            )
            level = max(
                own_pressure.level, pressures.get(own_pressure.pool, 0.0)
            )
            pressures = {**pressures, own_pressure.pool: level}
        return tuple(pressures.items())

    def _create_answer(
        self,
        received: "ReceivedCall",
        answer: Response,
        queue_time: timedelta = timedelta(0),
        service_time: timedelta = timedelta(0),
    ) -> AnswerFrame:
        return AnswerFrame(
            received.call.call_id,
            answer.status,
            answer.headers,
            answer.body,
            compute_checksum(answer.body),
            self._collect_pressures(received.pressures),
            received.budget.remaining,
            queue_time // MICROSECOND,
            service_time // MICROSECOND,
        )

    def _create_refusal(
        self,
        call: CallFrame,
        error: RefusalError,
        budget: RetryBudget,
        pressures: dict[str, float],
        denied: Denied | None = None,
    ) -> RefusalFrame:
        unstarted = denied is not None and denied.unstarted
        if call.attempt is not None:
            attempt = call.attempt.intent.attempt
            if attempt in self._unstarted_attempts:
                self._unstarted_attempts.discard(attempt)
                unstarted = True
        return RefusalFrame(
            call.call_id,
            error.code,
            error.verdict,
            error.message,
            convert_retry_after_us(error),
            self._collect_pressures(pressures),
            budget.remaining,
            unstarted,
            denied.fences if denied is not None else (),
        )

    async def close(self) -> None:
        """Cancel all tasks and close the connection to the server."""
        session = self._session
        self._end_session()
        if session is not None:
            await session.client.close()
        await self._tasks.cancel()


def _is_different_start(old: Announcement, new: Announcement) -> bool:
    """Return whether the announcements are from different server starts.

    A server that serves again after draining has been restarted.
    """
    if old.state == "draining" and new.state != "draining":
        return True
    return (old.pool, old.url, old.instance) != (
        new.pool,
        new.url,
        new.instance,
    )


def _is_crash_restart(old: Announcement, new: Announcement) -> bool:
    """Return whether the server restarted without withdrawing first."""
    return bool(old.instance) and old.instance != new.instance
