"""What a node may spend of a workspace's rate while no owner answers.

A change of the owner takes one to three seconds. Meanwhile each node goes
on at about the rate at which it was granted tokens before, so that all
nodes together stay near what the owner allowed them. Where the owner had
begun to refuse, less is spent than before.
"""

import math
from datetime import datetime, timedelta
from typing import Final

# The owner is taken for lost after this long without an answer.
OWNER_SILENCE_MIN: Final = timedelta(milliseconds=250)
# No longer than a change of the owner takes; a node that is cut off for
# longer must not go on.
FALLBACK_MAX: Final = timedelta(seconds=5)
# Time over which the rate before is averaged.
AVERAGE: Final = timedelta(seconds=4)
# Part of the rate before, where the owner had refused nothing lately,
# and where it had.
PART_FREE: Final = 1.0
PART_LIMITED: Final = 0.8
LIMITED_FOR: Final = timedelta(seconds=5)
# Unused allowance is kept for this long.
KEPT: Final = timedelta(milliseconds=500)


class QuotaFallback:
    """The allowance of one workspace on one node."""

    def __init__(self) -> None:
        # Tokens a second under grants.
        self._rate = 0.0
        self._recorded: datetime | None = None
        self._limited: datetime | None = None
        self._silent: datetime | None = None
        self._level = 0.0
        self._filled: datetime | None = None

    def record_spent(self, now: datetime) -> None:
        """Count a token that was spent under a grant."""
        self._fade(now)
        self._rate += 1 / AVERAGE.total_seconds()

    def _fade(self, now: datetime) -> None:
        if self._recorded is not None:
            self._rate *= math.exp((self._recorded - now) / AVERAGE)
        self._recorded = now

    def record_limited(self, now: datetime) -> None:
        """Note that the owner refused, or let requests wait."""
        self._limited = now

    def record_unanswered(self, asked: datetime) -> None:
        """Note that an ask of some time had no answer yet."""
        if self._silent is None:
            self._silent = asked
            self._fade(asked)
            self._level = 0.0
            self._filled = asked

    def record_answer(self) -> None:
        """Note an answer of the owner."""
        self._silent = None

    def take(self, now: datetime) -> bool:
        """Spend one of the allowance; return False if there is none."""
        silent, filled = self._silent, self._filled
        if silent is None or filled is None:
            return False
        if not OWNER_SILENCE_MIN <= now - silent <= FALLBACK_MAX:
            return False
        limited = (
            self._limited is not None and silent - self._limited <= LIMITED_FOR
        )
        rate = self._rate * (PART_LIMITED if limited else PART_FREE)
        most = 1 + rate * KEPT.total_seconds()
        self._level += rate * (now - filled).total_seconds()
        self._level = min(self._level, most)
        self._filled = now
        if self._level < 1:
            return False
        self._level -= 1
        return True
