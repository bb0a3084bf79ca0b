"""Adapter for at-most-once execution on entry nodes and witnesses.

It connects the decision code, which does no I/O, to the filter chain and
to the messages between nodes.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._attempt import (
    FENCE_RETRY_AFTER_MIN,
    AttemptPlan,
    EntryAttempts,
    Fenced,
    FenceTracker,
    RequestAttempts,
)
from sequoiaseam._clock import Clock
from sequoiaseam._commands import WitnessGroup
from sequoiaseam._exchange import Exchange, Handler, Response
from sequoiaseam._feed import NodeView
from sequoiaseam._pending import PendingFutures
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import (
    Fence,
    Intent,
    OutcomeRecord,
    RecordKey,
    Vote,
    Witness,
    compute_body_digest,
    compute_shard,
    make_record_key,
    parse_request_id,
)
from sequoiaseam.errors import ErrorCode, RefusalError

# Witnesses are assigned within seconds of the start of the nodes.
NO_WITNESSES_RETRY_AFTER: Final = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class AtMostOnceHooks:
    """Functions of the node that the at-most-once filter calls.

    ``post`` sends a message to a named node.
    """

    post: Callable[[str, object], None]
    find_incarnation: Callable[[str], int]
    mint_request_id: Callable[[datetime], str]


class AtMostOnceFilter:
    """Assign request ids and correct the verdicts of refusals.

    If the caller chose the request id, a refusal may state "not run" only
    if the witnesses prove that no attempt of the id has run or will run.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: Clock,
        view: NodeView,
        hooks: AtMostOnceHooks,
    ) -> None:
        self._clock = clock
        self._view = view
        self._hooks = hooks
        self._entry_attempts = EntryAttempts(name, incarnation)
        self._fence_tracker = FenceTracker()
        self._waiters: PendingFutures[str, Verdict] = PendingFutures()

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Forward the request; determine the verdict of a refusal."""
        self._assign_request_id(exchange)
        try:
            return await proceed(exchange)
        except RefusalError as error:
            verdict = await self._settle_verdict(exchange, error)
            raise _replace_verdict(exchange, error, verdict) from error

    def _assign_request_id(self, exchange: Exchange) -> None:
        route = exchange.get_route()
        now = self._clock.now()
        if exchange.request_id is not None:
            try:
                exchange.request_id = parse_request_id(
                    exchange.request_id,
                    now,
                )
            except RefusalError:
                if not route.idempotent:
                    raise
                # On idempotent routes, an unusable id is harmless and is
                # replaced by a new one.
                exchange.request_id = None
                exchange.has_caller_request_id = False
        if exchange.request_id is None:
            exchange.request_id = self._hooks.mint_request_id(now)
        if not exchange.nested:
            exchange.root_id = exchange.request_id

    def open_attempts(self, exchange: Exchange) -> None:
        """Start tracking the attempts of a request whose body is read."""
        route = exchange.get_route()
        if exchange.request_id is None:
            raise RuntimeError("the request has no request id")
        if route.idempotent and not exchange.has_caller_request_id:
            return
        exchange.attempts = self._entry_attempts.open(
            exchange.arrived,
            make_record_key(
                exchange.workspace,
                exchange.request_id,
                route.name if exchange.nested else "",
            ),
            compute_body_digest(
                exchange.method,
                exchange.path,
                exchange.body,
            ),
            limit=1 + route.retries,
            idempotent=route.idempotent,
            has_caller_id=exchange.has_caller_request_id,
        )

    def plan_attempt(
        self, exchange: Exchange, executor: str
    ) -> AttemptPlan | None:
        """Plan the next attempt and send its intents to the witnesses.

        Return None if the request's attempts aren't tracked.
        """
        attempts = exchange.attempts
        if attempts is None:
            return None
        group = self._find_witness_group(attempts.key)
        if attempts.has_caller_id and (group is None or not group.witnesses):
            raise RefusalError(
                ErrorCode.NO_WITNESSES,
                "no witnesses are assigned yet",
                retry_after=NO_WITNESSES_RETRY_AFTER,
            )
        plan = attempts.plan(
            executor,
            self._hooks.find_incarnation(executor),
            group,
        )
        if plan.group is not None:
            self._post_all(plan.group.witnesses, plan.intent)
        return plan

    def _find_witness_group(self, key: RecordKey) -> WitnessGroup | None:
        return self._view.groups.get(compute_shard(key))

    def _post_all(self, names: Iterable[str], message: object) -> None:
        for name in names:
            self._hooks.post(name, message)

    async def _settle_verdict(
        self,
        exchange: Exchange,
        error: RefusalError,
    ) -> Verdict:
        route = exchange.get_route()
        if error.verdict is Verdict.RAN or route.idempotent:
            return error.verdict
        if exchange.attempts is None:
            self.open_attempts(exchange)
        attempts = exchange.attempts
        if attempts is None:
            return error.verdict
        local_verdict = attempts.find_known_verdict()
        if local_verdict is not None:
            return local_verdict
        return await self._ask_witnesses(attempts, exchange)

    async def _ask_witnesses(
        self,
        attempts: RequestAttempts,
        exchange: Exchange,
    ) -> Verdict:
        group = self._find_witness_group(attempts.key)
        if group is None or not group.witnesses:
            return Verdict.MAY_HAVE_RUN
        now = self._clock.now()
        fence = attempts.create_fence(group)
        verdict_future = self._waiters.create(fence.fence_id)
        deadline = max(exchange.get_deadline(), now + FENCE_RETRY_AFTER_MIN)
        self._resolve_waiters(
            self._fence_tracker.register_fence(now, fence, group, deadline)
        )
        self._post_all(group.witnesses, fence)
        try:
            return await verdict_future
        except asyncio.CancelledError:
            self._waiters.discard(fence.fence_id)
            raise

    def receive_vote(self, vote: Vote) -> None:
        """Process a vote on a fence."""
        self._resolve_waiters(
            self._fence_tracker.record_vote(self._clock.now(), vote)
        )

    def tick(self, now: datetime) -> None:
        """Conclude the fences that timed out without a proof."""
        self._resolve_waiters(self._fence_tracker.tick(now))

    def _resolve_waiters(self, actions: tuple[Fenced, ...]) -> None:
        for action in actions:
            self._waiters.resolve(action.fence_id, action.verdict)


class OpenAttemptsFilter:
    """Start tracking the attempts once the body is read."""

    def __init__(self, at_most_once: AtMostOnceFilter) -> None:
        self._at_most_once = at_most_once

    async def run(self, exchange: Exchange, proceed: Handler) -> Response:
        """Start tracking the attempts and forward the request."""
        self._at_most_once.open_attempts(exchange)
        return await proceed(exchange)


def _replace_verdict(
    exchange: Exchange,
    error: RefusalError,
    verdict: Verdict,
) -> RefusalError:
    """Return the refusal with the given verdict.

    A fence also stops resends for a short time. After a fence, Retry-After
    is therefore at least FENCE_RETRY_AFTER_MIN.
    """
    retry_after = error.retry_after
    uses_fence = (
        exchange.has_caller_request_id and not exchange.get_route().idempotent
    )
    if uses_fence and verdict is Verdict.NOT_RUN:
        retry_after = max(
            retry_after or FENCE_RETRY_AFTER_MIN, FENCE_RETRY_AFTER_MIN
        )
    return RefusalError(
        error.code,
        error.message,
        verdict=verdict,
        retry_after=retry_after,
    )


class WitnessAdapter:
    """Pass messages of other nodes to this node's witness."""

    def __init__(
        self,
        witness: Witness,
        clock: Clock,
        view: NodeView,
        post: Callable[[str, object], None],
    ) -> None:
        self._witness = witness
        self._clock = clock
        self._view = view
        self._post = post

    def assign(self) -> None:
        """Apply the witness groups of the node's view."""
        self._witness.assign(self._clock.now(), self._view.groups)

    def receive(self, message: Intent | Fence | OutcomeRecord) -> None:
        """Answer an intent or a fence with a vote, or store an outcome."""
        now = self._clock.now()
        vote = self._witness.receive(
            now,
            fresh=self._view.is_fresh(now),
            message=message,
        )
        if vote is None:
            return
        if isinstance(message, Fence):
            self._post(message.entry, vote)
        elif isinstance(message, Intent):
            self._post(message.guard, vote)

    def tick(self, now: datetime) -> None:
        """Drop records older than the retention period."""
        self._witness.tick(now)
