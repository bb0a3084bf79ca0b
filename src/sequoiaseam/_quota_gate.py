"""Asynchronous adapter for the quota spender of a node."""

import asyncio
import itertools
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import Clock
from sequoiaseam._quota import (
    Admit,
    QuotaAction,
    QuotaSpender,
    RefuseQuota,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_messages import (
    QuotaGrant,
    QuotaSettle,
    QuotaSettles,
)
from sequoiaseam.errors import ErrorCode, RefusalError

# Well below GRANT_TTL, after which the owner counts a grant as spent.
SETTLE_FLUSH_INTERVAL: Final = timedelta(milliseconds=150)

DecisionCallback = Callable[[RefuseQuota | None], None]


class QuotaGate:
    """Makes root requests wait for a token of their workspace."""

    def __init__(
        self,
        spender: QuotaSpender,
        clock: Clock,
        send: Callable[[object], bool],
    ) -> None:
        self._spender = spender
        self._clock = clock
        self._send = send
        self._request_ids = itertools.count(1)
        self._waiting: dict[int, DecisionCallback] = {}
        self._pending_settles: list[QuotaSettle] = []
        self._last_flush_at = clock.now()

    def request(self, workspace: str, on_decision: DecisionCallback) -> int:
        """Request a token; return an id for ``cancel``.

        ``on_decision`` is called with None or with the refusal, possibly
        before this method returns.
        """
        request_id = next(self._request_ids)
        self._waiting[request_id] = on_decision
        now = self._clock.now()
        self._perform(self._spender.request(now, workspace, request_id))
        return request_id

    def cancel(self, workspace: str, request_id: int) -> None:
        """Cancel a request that has not been decided yet."""
        if self._waiting.pop(request_id, None) is not None:
            self._spender.cancel(workspace, request_id)

    async def acquire(self, workspace: str) -> bool:
        """Spend a token; raise QuotaError if none is available.

        Return True, as an admitted request is inside the workspace's rate.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[RefuseQuota | None] = loop.create_future()
        request_id = self.request(workspace, future.set_result)
        try:
            refusal = await future
        except asyncio.CancelledError:
            self.cancel(workspace, request_id)
            raise
        if refusal is None:
            return True
        raise QuotaError(refusal)

    def close(self) -> None:
        """Return all tokens to the owner, before a planned shutdown."""
        self._perform(self._spender.close())
        self._flush()

    def receive(self, grant: QuotaGrant) -> None:
        """Process the owner's answer to an ask."""
        self._perform(self._spender.receive(self._clock.now(), grant))

    def tick(self, now: datetime) -> None:
        """Repeat asks, settle expired grants, refuse overdue requests."""
        self._perform(self._spender.tick(now))
        if now - self._last_flush_at >= SETTLE_FLUSH_INTERVAL:
            self._last_flush_at = now
            self._flush()

    def _flush(self) -> None:
        """Send all pending settlements in one message."""
        if self._pending_settles:
            settles, self._pending_settles = tuple(self._pending_settles), []
            self._send(QuotaSettles(settles))

    def _perform(self, actions: tuple[QuotaAction, ...]) -> None:
        for action in actions:
            if isinstance(action, SendAsk):
                self._send(action.ask)
            elif isinstance(action, SendSettle):
                self._pending_settles.append(action.settle)
            elif isinstance(action, Admit):
                self._report_decision(action.request_id, None)
            else:
                self._report_decision(action.request_id, action)

    def _report_decision(
        self, request_id: int, refusal: RefuseQuota | None
    ) -> None:
        on_decision = self._waiting.pop(request_id, None)
        if on_decision is not None:
            on_decision(refusal)


class QuotaError(RefusalError):
    """A root request was refused a token."""

    def __init__(self, refusal: RefuseQuota) -> None:
        super().__init__(
            ErrorCode.QUOTA,
            "the workspace is over its rate and burst",
            retry_after=refusal.retry_after,
        )
        self.inside_rate = bool(refusal.inside_rate)
