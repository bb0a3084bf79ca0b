"""Brake on routes whose call trees fail: their work would be wasted."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

# Answers over which the share of successes is measured.
SAMPLES: Final = 10
# With a smaller share, fewer requests are let in, in proportion.
SUCCESS_MIN: Final = 0.3
# Part that is let in always, to see when the route recovers.
PROBE_PART: Final = 0.1
# Without an answer for this long, what is known is too old.
MEMORY: Final = timedelta(seconds=2)


@dataclass(slots=True)
class _Known:
    """Recent share of a route's answers that weren't failures."""

    at: datetime
    success: float = 1.0


class RouteThrottle:
    """Let in fewer requests on routes that servers fail to answer.

    A tree of calls fails with any of them. Once nearly all trees of a
    route do, running more of them only takes capacity from others, and
    a request that has run can't come back.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._routes: dict[str, _Known] = {}

    def record(self, now: datetime, route: str, *, failed: bool) -> None:
        """Count a server's answer to a root request."""
        known = self._find(now, route)
        known.at = now
        known.success += ((not failed) - known.success) / SAMPLES

    def allow(self, now: datetime, route: str) -> bool:
        """Return whether to let a root request in."""
        success = self._find(now, route).success
        if success >= SUCCESS_MIN:
            return True
        part = max(PROBE_PART, success / SUCCESS_MIN)
        return self._rng.random() < part

    def _find(self, now: datetime, route: str) -> _Known:
        known = self._routes.get(route)
        if known is None or now - known.at > MEMORY:
            known = self._routes[route] = _Known(now)
        return known
