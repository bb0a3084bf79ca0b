"""Fallback for the workspace quota while no owner answers.

A change of owner takes one to three seconds, and a node may lose its way to an
owner that goes on. Meanwhile, the node keeps admitting requests at a rate that
the owner has allowed it with its last answer, for a limited time. The owner
keeps as much back, so that both together stay within the quota.
"""

from datetime import datetime, timedelta
from typing import Final

# The fallback starts after an ask has been unanswered for this long.
OWNER_SILENCE_MIN: Final = timedelta(milliseconds=250)
# Time from the last answer to the end of the fallback. It only has to cover a
# change of owner; a node that is partitioned for longer must stop.
FALLBACK_DURATION_MAX: Final = timedelta(seconds=3)
# It starts within this time of the last answer or not at all. A node that has
# asked nobody for longer may be unknown to a new owner.
FALLBACK_START_MAX: Final = timedelta(seconds=1)
# Lowest rate of a fallback, in tokens a second. Lower ones would yield less
# than a few tokens, while each node that has one may hold a token.
FALLBACK_RATE_MIN: Final = 2.0
# Unused allowance accumulates for at most this long.
ALLOWANCE_TIME_MAX: Final = timedelta(milliseconds=100)
MILLI: Final = 1000


class QuotaFallback:
    """The fallback allowance of one workspace at one node."""

    def __init__(self) -> None:
        # In tokens per 1,000 s, and until when it may be spent.
        self._rate = 0
        self._allowed_at: datetime | None = None
        self._unanswered_since: datetime | None = None
        self._level = 0.0
        self._refilled_at: datetime | None = None

    def allow(self, asked_at: datetime, rate: int) -> None:
        """Set the rate that the owner allows, in tokens per 1,000 s.

        ``asked_at`` is when the ask that it answers was sent.
        """
        self._allowed_at = asked_at
        self._rate = rate

    def get_rate(self, now: datetime) -> int:
        """Return the rate that is allowed, in tokens per 1,000 s."""
        allowed_at = self._allowed_at
        if allowed_at is None or now - allowed_at >= FALLBACK_DURATION_MAX:
            return 0
        return self._rate

    def measure_silence(self, now: datetime) -> timedelta:
        """Return for how long no owner has answered, 0 if one has."""
        if self._unanswered_since is None:
            return timedelta(0)
        return now - self._unanswered_since

    def record_unanswered(self, since: datetime) -> None:
        """Record that the owner hasn't answered, or can't grant, ``since``.

        Starts the fallback's allowance unless it has already started.
        """
        if self._unanswered_since is None:
            self._unanswered_since = since
            self._level = 0.0
            self._refilled_at = since + OWNER_SILENCE_MIN
            allowed_at = self._allowed_at
            if allowed_at is None or since - allowed_at > FALLBACK_START_MAX:
                self._rate = 0

    def record_answer(self) -> None:
        """Record an answer of the owner, which ends the fallback."""
        self._unanswered_since = None

    def take(self, now: datetime) -> bool:
        """Spend one token of the allowance; return False if none is left."""
        refilled_at = self._refilled_at
        if (
            self._unanswered_since is None
            or refilled_at is None
            or now <= refilled_at
        ):
            return False
        rate = self.get_rate(now) / MILLI
        level_max = 1 + rate * ALLOWANCE_TIME_MAX.total_seconds()
        self._level += rate * (now - refilled_at).total_seconds()
        self._level = min(self._level, level_max)
        self._refilled_at = now
        if not rate or self._level < 1:
            return False
        self._level -= 1
        return True
