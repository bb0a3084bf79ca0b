"""Fallback for the workspace quota while no owner answers.

A change of owner takes one to three seconds. Meanwhile, each node keeps
admitting requests at about the rate at which it was granted tokens
before, so that all nodes together stay near the rate that the owner
allowed. Where the owner had begun to refuse requests, the rate is lower
than before.
"""

import math
from datetime import datetime, timedelta
from typing import Final

# The fallback starts after an ask has been unanswered for this long.
OWNER_SILENCE_MIN: Final = timedelta(milliseconds=250)
# Time after which the fallback ends. It only has to cover a change of
# owner; a node that is partitioned for longer must stop.
FALLBACK_DURATION_MAX: Final = timedelta(seconds=5)
# Time constant of the exponential average of the granted rate.
RATE_TIME_CONSTANT: Final = timedelta(seconds=4)
# Fraction of the previous rate that may be spent, if the owner has not
# limited the workspace within LIMITED_PERIOD, and if it has.
RATE_FACTOR_UNLIMITED: Final = 1.0
RATE_FACTOR_LIMITED: Final = 0.8
LIMITED_PERIOD: Final = timedelta(seconds=5)
# Unused allowance accumulates for at most this long.
ALLOWANCE_TIME_MAX: Final = timedelta(milliseconds=500)


class QuotaFallback:
    """The fallback allowance of one workspace at one node."""

    def __init__(self) -> None:
        # Averaged tokens per second spent under grants.
        self._granted_rate = 0.0
        self._rate_updated_at: datetime | None = None
        self._limited_at: datetime | None = None
        self._unanswered_since: datetime | None = None
        self._level = 0.0
        self._refilled_at: datetime | None = None

    def record_spent(self, now: datetime) -> None:
        """Count a token spent under a grant."""
        self._decay_rate(now)
        self._granted_rate += 1 / RATE_TIME_CONSTANT.total_seconds()

    def _decay_rate(self, now: datetime) -> None:
        if self._rate_updated_at is not None:
            self._granted_rate *= math.exp(
                (self._rate_updated_at - now) / RATE_TIME_CONSTANT
            )
        self._rate_updated_at = now

    def record_limited(self, now: datetime) -> None:
        """Record that the owner refused requests or made them wait."""
        self._limited_at = now

    def record_unanswered(self, since: datetime) -> None:
        """Record that the owner hasn't answered, or can't grant, ``since``.

        Starts the fallback's allowance unless it has already started.
        """
        if self._unanswered_since is None:
            self._unanswered_since = since
            self._decay_rate(since)
            self._level = 0.0
            self._refilled_at = since

    def record_answer(self) -> None:
        """Record an answer of the owner, which ends the fallback."""
        self._unanswered_since = None

    def take(self, now: datetime) -> bool:
        """Spend one token of the allowance; return False if none is left."""
        unanswered_since, refilled_at = (
            self._unanswered_since,
            self._refilled_at,
        )
        if unanswered_since is None or refilled_at is None:
            return False
        if (
            not OWNER_SILENCE_MIN
            <= now - unanswered_since
            <= FALLBACK_DURATION_MAX
        ):
            return False
        limited = (
            self._limited_at is not None
            and unanswered_since - self._limited_at <= LIMITED_PERIOD
        )
        rate = self._granted_rate * (
            RATE_FACTOR_LIMITED if limited else RATE_FACTOR_UNLIMITED
        )
        level_max = 1 + rate * ALLOWANCE_TIME_MAX.total_seconds()
        self._level += rate * (now - refilled_at).total_seconds()
        self._level = min(self._level, level_max)
        self._refilled_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True
