"""Dispatch of requests to nodes: choice of the node, and retries.

The dispatcher is the last step after the entry node's filters.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._attempt import AttemptPlan, Denied, RequestAttempts
from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import Clock
from sequoiaseam._exchange import Exchange, Response
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    RefusalFrame,
)
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._quarantine import (
    Standing,
    choose_trial_server,
    compute_fingerprint,
)
from sequoiaseam._retry import RetryShare
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode, RefusalError

MICROSECOND: Final = timedelta(microseconds=1)
QUARANTINE_RETRY_AFTER: Final = timedelta(minutes=1)
# A request with two attempts that may have run is not retried, as it may
# be what crashes the backend servers. At most two crashes per request are
# accepted (docs/design.md, 1.8).
INTERRUPTED_ATTEMPTS_MAX: Final = 2
# Extra time to wait for the refusal of a call whose deadline passes after
# it was sent.
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
    """Functions of the node that the dispatcher calls.

    ``call`` runs a call on the named node. ``plan_attempt`` sends the
    intents of an attempt on the named node to the witnesses; it returns
    the plan, or None for an idempotent request without a caller's id.
    ``get_retry_share`` returns the maximum share of retries for a pool,
    ``check_fingerprint`` whether a request is quarantined, and
    ``list_members`` the names of a pool's serving nodes.
    """

    call: CallSender
    plan_attempt: AttemptPlanner
    get_retry_share: Callable[[str], float]
    check_fingerprint: Callable[[datetime, int], Standing]
    list_members: Callable[[str], tuple[str, ...]]


class Dispatcher:
    """Send requests to nodes of their pool and retry within limits."""

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
        self._retry_shares: dict[str, tuple[float, RetryShare]] = {}

    async def run(self, exchange: Exchange) -> Response:
        """Return the complete answer or raise the last refusal.

        The verdict of the refusal covers all attempts of the request.
        """
        uncertain_verdicts: list[Verdict] = []
        try:
            return await self._run_with_retries(exchange, uncertain_verdicts)
        except RefusalError as error:
            if error.verdict is Verdict.NOT_RUN and uncertain_verdicts:
                raise RefusalError(
                    error.code,
                    error.message,
                    verdict=Verdict.MAY_HAVE_RUN,
                    retry_after=error.retry_after,
                ) from error
            raise

    async def _run_with_retries(
        self,
        exchange: Exchange,
        uncertain_verdicts: list[Verdict],
    ) -> Response:
        """Run attempts until one is answered or no retry is allowed.

        Verdicts of attempts that may have run are appended to
        ``uncertain_verdicts``.
        """
        pool = exchange.get_route().pool
        retry_share = self._get_retry_share(pool)
        retry_share.record(self._clock.now())
        tried: frozenset[str] = frozenset()
        while True:
            node = self._choose_trial_node(exchange) or self._choose_node(
                pool,
                tried,
            )
            try:
                return await self._run_attempt(exchange, node)
            except RefusalError as error:
                tried |= {node}
                if error.verdict is not Verdict.NOT_RUN:
                    uncertain_verdicts.append(error.verdict)
                too_many_interrupted = (
                    len(uncertain_verdicts) >= INTERRUPTED_ATTEMPTS_MAX
                )
                if too_many_interrupted or not self._may_retry(
                    exchange,
                    error,
                    retry_share,
                ):
                    raise
                exchange.retries += 1

    def _choose_trial_node(self, exchange: Exchange) -> str | None:
        """Return the trial node if the request is suspected of crashes.

        Return None if it is not, or if the pool has no node. Raise
        RefusalError QUARANTINED if it is quarantined.
        """
        route = exchange.get_route()
        fingerprint = compute_fingerprint(
            exchange.workspace,
            "",
            exchange.method,
            exchange.path,
            exchange.body,
        )
        standing = self._hooks.check_fingerprint(
            self._clock.now(),
            fingerprint,
        )
        if standing is Standing.CLEAR:
            return None
        if standing is Standing.QUARANTINED:
            raise RefusalError(
                ErrorCode.QUARANTINED,
                "this request has crashed backend servers",
                retry_after=QUARANTINE_RETRY_AFTER,
            )
        return choose_trial_server(
            route.pool,
            fingerprint,
            self._hooks.list_members(route.pool),
        )

    def _choose_node(self, pool: str, tried: frozenset[str]) -> str:
        now = self._clock.now()
        node = self._balancer.choose(now, pool, tried)
        if node is None and tried:
            node = self._balancer.choose(now, pool)
        if node is None:
            raise RefusalError(
                ErrorCode.NO_SERVER,
                "no backend server of the pool is available",
                retry_after=timedelta(seconds=1),
            )
        return node

    def _may_retry(
        self,
        exchange: Exchange,
        error: RefusalError,
        retry_share: RetryShare,
    ) -> bool:
        now = self._clock.now()
        attempts = exchange.attempts
        return (
            is_retryable(error, idempotent=exchange.get_route().idempotent)
            and (attempts is None or attempts.can_retry())
            and now < exchange.get_deadline()
            and retry_share.allow(now)
            and exchange.budget.take()
        )

    def _get_retry_share(self, pool: str) -> RetryShare:
        limit = self._hooks.get_retry_share(pool)
        cached = self._retry_shares.get(pool)
        if cached is None or cached[0] != limit:
            cached = (limit, RetryShare(limit))
            self._retry_shares[pool] = cached
        return cached[1]

    async def _run_attempt(self, exchange: Exchange, node: str) -> Response:
        plan = self._hooks.plan_attempt(exchange, node)
        granted_budget = exchange.budget.split()
        frame = create_call_frame(
            exchange,
            self._clock.now(),
            plan,
            granted_budget,
        )
        started = self._clock.now()
        self._balancer.start(started, node)
        result = CallResult.LOST
        try:
            limit = frame.remaining_us * MICROSECOND + REFUSAL_TRANSIT_GRACE
            async with asyncio.timeout(limit.total_seconds()):
                response = await self._hooks.call(node, frame)
            answer = self._process_response(exchange, response, plan)
            failed = answer.status >= 500
            result = CallResult.FAILED if failed else CallResult.OK
            return answer
        except RefusalError as error:
            _record_unsent(exchange, plan, error)
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
            self._balancer.finish(now, node, result, now - started)

    def _record_denial(
        self,
        attempts: RequestAttempts,
        plan: AttemptPlan,
        frame: RefusalFrame,
    ) -> None:
        """Record what a refusal proves about its attempt."""
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

    def _process_response(
        self,
        exchange: Exchange,
        response: AnswerFrame | RefusalFrame,
        plan: AttemptPlan | None,
    ) -> Response:
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
                self._record_denial(exchange.attempts, plan, response)
            raise convert_refusal(response)
        exchange.queue_us = response.queue_us
        exchange.service_us = response.service_us
        return Response(response.status, response.headers, response.body)


def _record_unsent(
    exchange: Exchange,
    plan: AttemptPlan | None,
    error: RefusalError,
) -> None:
    """Record that an attempt never starts if its call was not sent."""
    unsent = (
        error.code is ErrorCode.CONNECTION_LOST
        and error.verdict is Verdict.NOT_RUN
    )
    if unsent and plan is not None and exchange.attempts is not None:
        exchange.attempts.record_unstarted(plan.intent.attempt)


def is_retryable(error: RefusalError, *, idempotent: bool) -> bool:
    """Return whether another attempt may succeed and is safe."""
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
    """Return the error that corresponds to a refusal frame."""
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
    merged: dict[str, float],
    levels: Mapping[str, float],
) -> None:
    """Update ``merged`` with the higher level of each pool."""
    for pool, level in levels.items():
        merged[pool] = max(level, merged.get(pool, 0.0))


def create_call_frame(
    exchange: Exchange,
    now: datetime,
    plan: AttemptPlan | None,
    granted_budget: int,
) -> CallFrame:
    """Return the frame of an attempt; the peer link sets its call id."""
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
        budget=granted_budget,
        root_id=exchange.root_id,
        depth=exchange.depth,
        idempotent=route.idempotent,
        attempt=plan,
    )
