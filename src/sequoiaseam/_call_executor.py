"""The guarding side of a node: runs calls on its backend server."""

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
# A backend server that misses this many announcements is gone.
ANNOUNCEMENTS_MISSED: Final = 3
# How long a broken-off request stays a suspect: a server that restarts
# at once is known to have crashed only by its next announcement.
SUSPECT_TIME: Final = 2 * ANNOUNCE_INTERVAL
COMPLETIONS: Final = {
    ErrorCode.SHED: Completion.SHED,
    ErrorCode.TIMEOUT: Completion.TIMEOUT,
    ErrorCode.DEADLINE: Completion.CANCELLED,
}


@dataclass(frozen=True, slots=True)
class CallExecutorHooks:
    """What a guard needs of the rest of its node.

    ``post`` sends a message to a named node; ``report_crash`` returns
    once the report is in force or after a short time.
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
    """One backend server from its announcement until it is gone."""

    announcement: Announcement
    client: BackendClient
    gate: AsyncAdmission
    heard: datetime
    # Set once the server is known to have crashed.
    report: "asyncio.Task[None] | None" = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """A call on this node with what belongs to its run."""

    call: CallFrame
    arrived: datetime
    deadline: datetime
    budget: RetryBudget
    pressures: dict[str, float]


class DeniedError(RefusalError):
    """An attempt that the witnesses did not grant."""

    def __init__(self, denied: Denied) -> None:
        super().__init__(
            denied.code,
            "the witnesses did not grant the attempt",
            verdict=denied.verdict,
        )
        self.denied = denied


def _take_outcome(result: Granted | Denied) -> Response | None:
    """Return an outcome on record, None for a grant; else raise."""
    if isinstance(result, Granted):
        return None
    outcome = result.outcome
    if outcome is not None and outcome.body is not None:
        return Response(outcome.status, outcome.headers, outcome.body)
    raise DeniedError(result)


class CallExecutor:
    """Admit calls, run each on the backend server, answer whole."""

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
        self._watch = CrashWatch()
        self._tracker = AttemptTracker(name, incarnation)
        self._grants: PendingFutures[str, Granted | Denied] = PendingFutures()
        self._ids = itertools.count(1)
        self._tasks = TaskGroup()
        self._draining = False
        self._active = 0
        self._idle = asyncio.Event()
        # Attempts that are proved never to start, until it is reported.
        self._unstarted: set[str] = set()

    @property
    def announcement(self) -> Announcement | None:
        """Return what the backend server last said of itself."""
        return self._session.announcement if self._session else None

    @property
    def draining(self) -> bool:
        """Tell whether new calls are refused."""
        session = self._session
        return self._draining or (
            session is not None and session.announcement.state == "draining"
        )

    async def wait_idle(self) -> None:
        """Wait until no call runs or waits."""
        while self._active:
            self._idle.clear()
            await self._idle.wait()

    def accept_announcement(self, announcement: Announcement) -> None:
        """Take in an announcement of the backend server."""
        now = self._clock.now()
        session = self._session
        if session is None or _is_other(session.announcement, announcement):
            self._replace(now, announcement)
            return
        session.heard = now
        resized = session.announcement.slots != announcement.slots
        session.announcement = announcement
        if resized:
            self.configure()
        session.gate.admission.record_load(now, announcement.load)
        if announcement.state == "draining":
            session.gate.admission.drain(now)

    def _replace(self, now: datetime, announcement: Announcement) -> None:
        session = self._session
        if session is not None and _is_restart(
            session.announcement,
            announcement,
        ):
            self._tasks.start(self._report_crash(now))
        self._detach()
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
        """Forget the backend server after its own goodbye."""
        self._detach()

    def configure(self) -> None:
        """Apply a change of the pool's row."""
        session = self._session
        if session is None:
            return
        pool = self._hooks.get_pool(session.announcement.pool)
        if pool is not None:
            session.gate.configure(pool, session.announcement.slots)

    def drain(self) -> None:
        """Refuse new calls; those admitted run to their end."""
        self._draining = True
        if self._session is not None:
            self._session.gate.admission.drain(self._clock.now())

    def receive_vote(self, vote: Vote) -> None:
        """Take in a witness's vote."""
        self._settle(self._tracker.record_vote(self._clock.now(), vote))

    def tick(self, now: datetime) -> None:
        """Expire what is overdue; call every 50 ms."""
        self._settle(self._tracker.tick(now))
        self._report_cleared(now)
        session = self._session
        if session is None:
            return
        session.gate.tick(now)
        if now - session.heard > ANNOUNCEMENTS_MISSED * ANNOUNCE_INTERVAL:
            log_event(Level.WARNING, "backend server not heard from")
            self._detach()

    def _settle(self, actions: tuple[Granted | Denied, ...]) -> None:
        for action in actions:
            self._grants.resolve(action.attempt, action)

    async def run(self, call: CallFrame) -> AnswerFrame | RefusalFrame:
        """Run a call; a refusal comes back as a frame."""
        self._active += 1
        try:
            return await self._answer(call)
        finally:
            self._active -= 1
            if not self._active:
                self._idle.set()

    async def _answer(self, call: CallFrame) -> AnswerFrame | RefusalFrame:
        budget = RetryBudget(call.budget)
        pressures: dict[str, float] = {}
        try:
            return await self._run(call, budget, pressures)
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

    async def _run(
        self,
        call: CallFrame,
        budget: RetryBudget,
        pressures: dict[str, float],
    ) -> AnswerFrame:
        arrived = self._clock.now()
        deadline = arrived + call.remaining_us * MICROSECOND
        grant = self._expect_grant(call, arrived, deadline)
        try:
            return await self._admit(
                Admitted(call, arrived, deadline, budget, pressures),
                grant,
            )
        except (RefusalError, asyncio.CancelledError):
            # Has no effect on an attempt that has started.
            if call.attempt is not None:
                self._refuse_attempt(call.attempt)
            raise

    def _expect_grant(
        self,
        call: CallFrame,
        now: datetime,
        deadline: datetime,
    ) -> "asyncio.Future[Granted | Denied] | None":
        """Register the attempt before anything else can refuse it."""
        plan = call.attempt
        if plan is None:
            return None
        future = self._grants.create(plan.intent.attempt)
        self._settle(self._tracker.register_call(now, plan, deadline))
        return future

    async def _admit(
        self,
        admitted: "Admitted",
        grant: "asyncio.Future[Granted | Denied] | None",
    ) -> AnswerFrame:
        call, arrived = admitted.call, admitted.arrived
        session = self._get_session(call.pool)
        fingerprint = compute_fingerprint(
            call.workspace,
            call.route,
            call.method,
            call.path,
            call.body,
        )
        standing = self._watch.check(
            arrived,
            fingerprint,
            self._hooks.quarantine,
        )
        if standing is Standing.QUARANTINED:
            raise RefusalError(
                ErrorCode.QUARANTINED,
                "this request has crashed backend servers",
            )
        if grant is not None:
            recorded = _take_outcome(await grant)
            if recorded is not None:
                return self._create_answer(admitted, recorded)
        ticket = Ticket(
            next(self._ids),
            call.importance,
            call.workspace,
            call.weight,
            # The wait for the witnesses is not one for capacity.
            self._clock.now(),
            admitted.deadline,
            call.begun,
            standing is Standing.SUSPECT,
            call.route,
        )
        await session.gate.acquire(ticket)
        started = self._clock.now()
        run = self._serve(session, ticket, admitted, fingerprint)
        if call.idempotent:
            answer = await run
        else:
            # A resend is given the outcome, so the run goes on when the
            # first caller has gone.
            answer = await asyncio.shield(self._tasks.start(run))
        return self._create_answer(
            admitted,
            answer,
            queued=started - arrived,
            service=self._clock.now() - started,
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
        return session

    def _refuse_attempt(self, plan: AttemptPlan) -> None:
        attempt = plan.intent.attempt
        self._grants.discard(attempt)
        if self._tracker.refuse(self._clock.now(), attempt):
            self._unstarted.add(attempt)

    async def _serve(
        self,
        session: BackendSession,
        ticket: Ticket,
        admitted: "Admitted",
        fingerprint: int,
    ) -> Response:
        completion = Completion.CANCELLED
        try:
            self._start_attempt(admitted.call)
            answer = await self._send(
                session,
                ticket.ticket_id,
                admitted,
                fingerprint,
            )
            failed = answer.status >= 500
            completion = Completion.FAILED if failed else Completion.OK
        except RefusalError as error:
            completion = COMPLETIONS.get(error.code, Completion.FAILED)
            self._end_attempt(admitted.call, error.verdict)
            raise
        except asyncio.CancelledError:
            self._end_attempt(admitted.call, Verdict.MAY_HAVE_RUN)
            raise
        finally:
            if completion is Completion.CANCELLED:
                session.gate.cancel(ticket.ticket_id)
            else:
                session.gate.release(ticket.ticket_id, completion)
        self._record_outcome(admitted.call, answer)
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

    def _end_attempt(self, call: CallFrame, verdict: Verdict) -> None:
        """End an attempt without an outcome.

        A backend server that shed the request, or that could not be
        reached, has not run it; the entry node may try elsewhere.
        """
        plan = call.attempt
        if plan is None:
            return
        attempt = plan.intent.attempt
        self._tracker.abandon(self._clock.now(), attempt)
        if verdict is Verdict.NOT_RUN:
            self._unstarted.add(attempt)

    async def _send(
        self,
        session: BackendSession,
        ticket_id: int,
        admitted: "Admitted",
        fingerprint: int,
    ) -> Response:
        call = admitted.call
        handle = self._handles.issue(
            CallContext(
                root_id=call.root_id,
                workspace=call.workspace,
                route=call.route,
                importance=call.importance,
                weight=call.weight,
                deadline=admitted.deadline,
                budget=admitted.budget,
                depth=call.depth,
                pressures=admitted.pressures,
                on_nested_start=functools.partial(
                    session.gate.suspend,
                    ticket_id,
                ),
                on_nested_end=functools.partial(
                    session.gate.resume,
                    ticket_id,
                ),
            ),
        )
        run_id = next(self._ids)
        self._watch.start(fingerprint, run_id)
        broken = False
        try:
            return await session.client.send(
                BackendRequest(
                    call.method,
                    call.path,
                    call.headers,
                    call.body,
                    handle,
                    call.root_id,
                    max(
                        admitted.deadline - self._clock.now(),
                        MICROSECOND,
                    ),
                ),
            )
        except RefusalError as error:
            if error.code in (ErrorCode.INCOMPLETE, ErrorCode.NO_SERVER):
                broken = True
                await self._check_crash(session)
            raise
        finally:
            self._handles.revoke(handle)
            if broken:
                asyncio.get_running_loop().call_later(
                    SUSPECT_TIME.total_seconds(),
                    functools.partial(
                        self._watch.finish,
                        run_id,
                        whole=False,
                    ),
                )
            else:
                self._watch.finish(run_id)

    async def _check_crash(self, session: BackendSession) -> None:
        """Wait for the crash report if the backend server is gone.

        Every request that ran waits for the same report: whichever of
        them is tried again first may be the one that crashed it.
        """
        reachable = await session.client.is_reachable()
        if not reachable and self._session is session:
            self._detach()
            session.report = self._tasks.start(
                self._report_crash(self._clock.now()),
            )
        if session.report is not None:
            await asyncio.shield(session.report)

    async def _report_crash(self, now: datetime) -> None:
        crash_id = f"{self._name}-{now.timestamp():.6f}"
        report = self._watch.crash(now, crash_id)
        if report is not None:
            log_event(
                Level.ERROR,
                "backend server died",
                crash=crash_id,
                running=len(report.fingerprints),
            )
            await self._hooks.report_crash(report)

    def _report_cleared(self, now: datetime) -> None:
        """Tell the fleet of suspects that ran whole here."""
        report = self._watch.report_cleared(
            now,
            f"{self._name}-cleared-{now.timestamp():.6f}",
            self._hooks.quarantine,
        )
        if report is not None:
            self._tasks.start(self._hooks.report_crash(report))

    def _detach(self) -> None:
        session, self._session = self._session, None
        if session is None:
            return
        session.gate.refuse_all()
        self._tasks.start(self._close(session))

    async def _close(self, session: BackendSession) -> None:
        """Close the client once no call uses it any more."""
        await session.gate.wait_idle()
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
        if session is not None:
            now = self._clock.now()
            own = session.gate.admission.measure_pressure(now)
            level = max(own.level, pressures.get(own.pool, 0.0))
            pressures = {**pressures, own.pool: level}
        return tuple(pressures.items())

    def _create_answer(
        self,
        admitted: "Admitted",
        answer: Response,
        queued: timedelta = timedelta(0),
        service: timedelta = timedelta(0),
    ) -> AnswerFrame:
        return AnswerFrame(
            admitted.call.call_id,
            answer.status,
            answer.headers,
            answer.body,
            compute_checksum(answer.body),
            self._collect_pressures(admitted.pressures),
            admitted.budget.remaining,
            queued // MICROSECOND,
            service // MICROSECOND,
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
            if attempt in self._unstarted:
                self._unstarted.discard(attempt)
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
        """End everything."""
        session = self._session
        self._detach()
        if session is not None:
            await session.client.close()
        await self._tasks.cancel()


def _is_other(old: Announcement, new: Announcement) -> bool:
    """Tell whether two announcements are of different server starts.

    A server that drained and serves again has started anew.
    """
    if old.state == "draining" and new.state != "draining":
        return True
    return (old.pool, old.url, old.instance) != (
        new.pool,
        new.url,
        new.instance,
    )


def _is_restart(old: Announcement, new: Announcement) -> bool:
    """Tell whether the server ended without a goodbye and came back."""
    return bool(old.instance) and old.instance != new.instance
