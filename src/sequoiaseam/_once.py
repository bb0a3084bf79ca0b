"""Adapter of the at-most-once records on the entry and witness side."""

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
from sequoiaseam._exchange import Answer, Exchange, Next
from sequoiaseam._feed import NodeView
from sequoiaseam._gates import Waiters
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
    make_key,
    parse_request_id,
)
from sequoiaseam.errors import ErrorCode, RefusalError

# Witnesses are assigned within seconds of the nodes' start.
NO_WITNESSES_RETRY_AFTER: Final = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class OnceHooks:
    """What the at-most-once records need of their node."""

    post: Callable[[str, object], None]
    find_incarnation: Callable[[str], int]
    mint: Callable[[datetime], str]


class OnceFilter:
    """Give each request its id; make a refusal's verdict true.

    A refusal of a request with a caller's id may claim "not run" only
    when the witnesses rule out every attempt of the id.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: Clock,
        view: NodeView,
        hooks: OnceHooks,
    ) -> None:
        self._clock = clock
        self._view = view
        self._hooks = hooks
        self._entries = EntryAttempts(name, incarnation)
        self._fences = FenceTracker()
        self._waiters: Waiters[str, Verdict] = Waiters()

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Pass on; settle the verdict of a refusal."""
        self._assign_id(exchange)
        try:
            return await proceed(exchange)
        except RefusalError as error:
            verdict = await self._settle_verdict(exchange, error)
            raise _with_verdict(exchange, error, verdict) from error

    def _assign_id(self, exchange: Exchange) -> None:
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
                # On an idempotent route an id of another form does no
                # harm; it is not used.
                exchange.request_id = None
                exchange.caller_id = False
        if exchange.request_id is None:
            exchange.request_id = self._hooks.mint(now)
        if not exchange.nested:
            exchange.root_id = exchange.request_id

    def open(self, exchange: Exchange) -> None:
        """Open the attempts of a request; its body is known now."""
        route = exchange.get_route()
        if exchange.request_id is None:
            raise RuntimeError("the request has no id")
        if route.idempotent and not exchange.caller_id:
            return
        exchange.attempts = self._entries.open(
            exchange.arrived,
            make_key(
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
            has_caller_id=exchange.caller_id,
        )

    def plan(self, exchange: Exchange, guard: str) -> AttemptPlan | None:
        """Send the intents of the next attempt; return its plan."""
        attempts = exchange.attempts
        if attempts is None:
            return None
        group = self._find_group(attempts.key)
        if attempts.has_caller_id and (group is None or not group.witnesses):
            raise RefusalError(
                ErrorCode.NO_WITNESSES,
                "no witnesses are assigned yet",
                retry_after=NO_WITNESSES_RETRY_AFTER,
            )
        plan = attempts.plan(
            guard,
            self._hooks.find_incarnation(guard),
            group,
        )
        if plan.group is not None:
            self._post_all(plan.group.witnesses, plan.intent)
        return plan

    def _find_group(self, key: RecordKey) -> WitnessGroup | None:
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
            self.open(exchange)
        attempts = exchange.attempts
        if attempts is None:
            return error.verdict
        judged = attempts.find_known_verdict()
        if judged is not None:
            return judged
        return await self._ask_witnesses(attempts, exchange)

    async def _ask_witnesses(
        self,
        attempts: RequestAttempts,
        exchange: Exchange,
    ) -> Verdict:
        group = self._find_group(attempts.key)
        if group is None or not group.witnesses:
            return Verdict.MAY_HAVE_RUN
        now = self._clock.now()
        fence = attempts.create_fence(group)
        future = self._waiters.expect(fence.fence_id)
        deadline = max(exchange.get_deadline(), now + FENCE_RETRY_AFTER_MIN)
        self._conclude(
            self._fences.register_fence(now, fence, group, deadline)
        )
        self._post_all(group.witnesses, fence)
        try:
            return await future
        except asyncio.CancelledError:
            self._waiters.forget(fence.fence_id)
            raise

    def receive_vote(self, vote: Vote) -> None:
        """Take in a vote on a fence."""
        self._conclude(self._fences.record_vote(self._clock.now(), vote))

    def tick(self, now: datetime) -> None:
        """Conclude fences that got no proof in time."""
        self._conclude(self._fences.tick(now))

    def _conclude(self, actions: tuple[Fenced, ...]) -> None:
        for action in actions:
            self._waiters.resolve(action.fence_id, action.verdict)


class OpenFilter:
    """Open the attempts once the body is there."""

    def __init__(self, once: OnceFilter) -> None:
        self._once = once

    async def run(self, exchange: Exchange, proceed: Next) -> Answer:
        """Pass on with the attempts open."""
        self._once.open(exchange)
        return await proceed(exchange)


def _with_verdict(
    exchange: Exchange,
    error: RefusalError,
    verdict: Verdict,
) -> RefusalError:
    """Return the refusal with the proved verdict.

    A fence stops resends for a moment, hence the least Retry-After.
    """
    retry_after = error.retry_after
    fenced = exchange.caller_id and not exchange.get_route().idempotent
    if fenced and verdict is Verdict.NOT_RUN:
        retry_after = max(
            retry_after or FENCE_RETRY_AFTER_MIN, FENCE_RETRY_AFTER_MIN
        )
    return RefusalError(
        error.code,
        error.message,
        verdict=verdict,
        retry_after=retry_after,
    )


class WitnessHost:
    """Run this node's witness on messages of other nodes."""

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
        """Take over the witness groups of the view."""
        self._witness.assign(self._clock.now(), self._view.groups)

    def receive(self, message: Intent | Fence | OutcomeRecord) -> None:
        """Vote on an intent or a fence; keep an outcome."""
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
        """Drop records past their retention."""
        self._witness.tick(now)
