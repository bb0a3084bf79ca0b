"""The end of the entry side's chain: routing and retries."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._attempt import AttemptPlan, Denied, RequestAttempts
from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import Clock
from sequoiaseam._exchange import Answer, Exchange
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    RefusalFrame,
)
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._quarantine import (
    Standing,
    choose_trial,
    compute_fingerprint,
)
from sequoiaseam._retry import RetryShare
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode, RefusalError

MICROSECOND: Final = timedelta(microseconds=1)
QUARANTINE_RETRY_AFTER: Final = timedelta(minutes=1)
# A request that broke off twice may be what crashes the servers; they
# may crash twice (docs/design.md, 1.8).
INTERRUPTED_ATTEMPTS_MAX: Final = 2
# Time for the refusal to travel when the deadline passes on the way.
REFUSAL_TRANSIT_GRACE: Final = timedelta(milliseconds=50)
RESULTS_BY_CODE: Final = {
    ErrorCode.CONNECTION_LOST: CallResult.LOST,
    ErrorCode.TIMEOUT: CallResult.TIMEOUT,
    ErrorCode.INCOMPLETE: CallResult.FAILED,
    ErrorCode.SERVER_FAILED: CallResult.FAILED,
    ErrorCode.NO_SERVER: CallResult.LOST,
}

CallSender = Callable[[str, CallFrame], Awaitable[AnswerFrame | RefusalFrame]]
AttemptPlanner = Callable[[Exchange, str], AttemptPlan | None]


@dataclass(frozen=True, slots=True)
class DispatchHooks:
    """What the dispatcher needs of its node.

    ``call`` runs a call on a named node. ``plan_attempt`` sends the
    intents for an attempt at a named node and returns what that node
    must wait for.
    """

    call: CallSender
    plan_attempt: AttemptPlanner
    get_retry_share: Callable[[str], float]
    check_fingerprint: Callable[[datetime, int], Standing]
    list_members: Callable[[str], tuple[str, ...]]


class Dispatcher:
    """Send a request to a member of its pool; retry within bounds."""

    def __init__(
        self,
        clock: Clock,
        balancer: Balancer,
        pressure: PressureMap,
        hooks: DispatchHooks,
    ) -> None:
        self._clock = clock
        self._balancer = balancer
        self._pressure = pressure
        self._hooks = hooks
        self._shares: dict[str, tuple[float, RetryShare]] = {}

    async def run(self, exchange: Exchange) -> Answer:
        """Return the whole answer; raise the last refusal otherwise.

        Its verdict covers the attempts before it as well.
        """
        ran: list[Verdict] = []
        try:
            return await self._run(exchange, ran)
        except RefusalError as error:
            if error.verdict is Verdict.NOT_RUN and ran:
                raise RefusalError(
                    error.code,
                    error.message,
                    verdict=Verdict.MAY_HAVE_RUN,
                    retry_after=error.retry_after,
                ) from error
            raise

    async def _run(self, exchange: Exchange, ran: list[Verdict]) -> Answer:
        """Try until done; note the verdicts of attempts that may run."""
        pool = exchange.get_route().pool
        share = self._get_share(pool)
        share.record(self._clock.now())
        tried: frozenset[str] = frozenset()
        while True:
            name = self._choose_trial(exchange) or self._choose(pool, tried)
            try:
                return await self._attempt(exchange, name)
            except RefusalError as error:
                tried |= {name}
                if error.verdict is not Verdict.NOT_RUN:
                    ran.append(error.verdict)
                broken = len(ran) >= INTERRUPTED_ATTEMPTS_MAX
                if broken or not self._may_retry(exchange, error, share):
                    raise
                exchange.retries += 1

    def _choose_trial(self, exchange: Exchange) -> str | None:
        """Return the one node for a request that may crash servers."""
        route = exchange.get_route()
        fingerprint = compute_fingerprint(
            exchange.workspace,
            route.name,
            exchange.method,
            exchange.path,
            exchange.body,
        )
        standing = self._hooks.check_fingerprint(
            self._clock.now(), fingerprint
        )
        if standing is Standing.CLEAR:
            return None
        if standing is Standing.QUARANTINED:
            raise RefusalError(
                ErrorCode.QUARANTINED,
                "this request has crashed backend servers",
                retry_after=QUARANTINE_RETRY_AFTER,
            )
        return choose_trial(
            route.pool,
            fingerprint,
            self._hooks.list_members(route.pool),
        )

    def _choose(self, pool: str, tried: frozenset[str]) -> str:
        now = self._clock.now()
        name = self._balancer.choose(now, pool, tried)
        if name is None and tried:
            name = self._balancer.choose(now, pool)
        if name is None:
            raise RefusalError(
                ErrorCode.NO_SERVER,
                "no backend server of the pool is available",
                retry_after=timedelta(seconds=1),
            )
        return name

    def _may_retry(
        self,
        exchange: Exchange,
        error: RefusalError,
        share: RetryShare,
    ) -> bool:
        now = self._clock.now()
        attempts = exchange.attempts
        return (
            is_retryable(error, idempotent=exchange.get_route().idempotent)
            and (attempts is None or attempts.can_retry())
            and now < exchange.get_deadline()
            and share.allow(now)
            and exchange.budget.take()
        )

    def _get_share(self, pool: str) -> RetryShare:
        limit = self._hooks.get_retry_share(pool)
        kept = self._shares.get(pool)
        if kept is None or kept[0] != limit:
            kept = (limit, RetryShare(limit))
            self._shares[pool] = kept
        return kept[1]

    async def _attempt(self, exchange: Exchange, name: str) -> Answer:
        plan = self._hooks.plan_attempt(exchange, name)
        granted = exchange.budget.split()
        frame = create_call_frame(exchange, self._clock.now(), plan, granted)
        started = self._clock.now()
        self._balancer.start(started, name)
        result = CallResult.LOST
        try:
            limit = frame.remaining_us * MICROSECOND + REFUSAL_TRANSIT_GRACE
            async with asyncio.timeout(limit.total_seconds()):
                response = await self._hooks.call(name, frame)
            answer = self._unpack(exchange, response, plan)
            failed = answer.status >= 500
            result = CallResult.FAILED if failed else CallResult.OK
            return answer
        except RefusalError as error:
            _note_unstarted(exchange, plan, error)
            result = RESULTS_BY_CODE.get(error.code, CallResult.REFUSED)
            raise
        except TimeoutError as error:
            result = CallResult.TIMEOUT
            raise RefusalError(
                ErrorCode.TIMEOUT,
                "no answer in time",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        except asyncio.CancelledError:
            result = CallResult.REFUSED
            raise
        finally:
            now = self._clock.now()
            self._balancer.finish(now, name, result, now - started)

    def _note_refusal(
        self,
        attempts: RequestAttempts,
        plan: AttemptPlan,
        frame: RefusalFrame,
    ) -> None:
        """Take in what a refusal proves of its attempt."""
        attempts.record_denial(
            self._clock.now(),
            Denied(
                plan.intent.attempt,
                frame.code,
                frame.verdict,
                unstarted=frame.unstarted,
                fences=frame.fences,
            ),
        )

    def _unpack(
        self,
        exchange: Exchange,
        response: AnswerFrame | RefusalFrame,
        plan: AttemptPlan | None,
    ) -> Answer:
        exchange.budget.give_back(response.budget)
        self._pressure.observe(
            self._clock.now(),
            exchange.get_route().name,
            tuple(
                PoolPressure(pool, level) for pool, level in response.pressures
            ),
        )
        merge_pressures(exchange.pressures, dict(response.pressures))
        if isinstance(response, RefusalFrame):
            if plan is not None and exchange.attempts is not None:
                self._note_refusal(exchange.attempts, plan, response)
            raise convert_refusal(response)
        exchange.queue_us = response.queue_us
        exchange.service_us = response.service_us
        return Answer(response.status, response.headers, response.body)


def _note_unstarted(
    exchange: Exchange,
    plan: AttemptPlan | None,
    error: RefusalError,
) -> None:
    """Note that an attempt was never sent."""
    unsent = (
        error.code is ErrorCode.CONNECTION_LOST
        and error.verdict is Verdict.NOT_RUN
    )
    if unsent and plan is not None and exchange.attempts is not None:
        exchange.attempts.record_unstarted(plan.intent.attempt)


def is_retryable(error: RefusalError, *, idempotent: bool) -> bool:
    """Tell whether another attempt could help and would be safe."""
    if error.code in (
        ErrorCode.QUARANTINED,
        ErrorCode.DEADLINE,
        ErrorCode.TIMEOUT,
        ErrorCode.DUPLICATE,
        ErrorCode.ID_REUSED,
        ErrorCode.ID_EXPIRED,
        ErrorCode.RETRIES_EXHAUSTED,
        ErrorCode.CANCELLED,
    ):
        return False
    return idempotent or error.verdict is Verdict.NOT_RUN


def convert_refusal(frame: RefusalFrame) -> RefusalError:
    """Return the error that a refusal frame stands for."""
    retry_after = None
    if frame.retry_after_us is not None:
        retry_after = frame.retry_after_us * MICROSECOND
    return RefusalError(
        frame.code,
        frame.message,
        verdict=frame.verdict,
        retry_after=retry_after,
    )


def merge_pressures(
    into: dict[str, float],
    levels: Mapping[str, float],
) -> None:
    """Keep the highest level of each pool."""
    for pool, level in levels.items():
        into[pool] = max(level, into.get(pool, 0.0))


def create_call_frame(
    exchange: Exchange,
    now: datetime,
    attempt: AttemptPlan | None,
    granted: int,
) -> CallFrame:
    """Return the frame for an attempt; the link sets its call id."""
    route = exchange.get_route()
    return CallFrame(
        call_id=0,
        route=route.name,
        pool=route.pool,
        method=exchange.method,
        path=exchange.path,
        headers=exchange.headers,
        body=exchange.body,
        workspace=exchange.workspace,
        importance=exchange.importance,
        weight=exchange.weight,
        remaining_us=max(0, (exchange.get_deadline() - now) // MICROSECOND),
        begun=exchange.begun,
        budget=granted,
        root_id=exchange.root_id,
        depth=exchange.depth,
        idempotent=route.idempotent,
        attempt=attempt,
    )
