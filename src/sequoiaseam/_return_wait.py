"""How long a refused caller should wait before it comes back."""

from datetime import timedelta
from random import Random
from typing import Final

from sequoiaseam.errors import ErrorCode

RETURN_WAIT_MIN: Final = timedelta(milliseconds=300)
# Time in which control hosts elect a leader and confirm the configuration.
# Until then, every request would be refused again.
RECOVERY_WAIT: Final = timedelta(seconds=1.5)
RECOVERY_JITTER: Final = 0.2
# Part of the route's objective after which a caller comes back for capacity.
# Surges last longer than a service time, and what is left of the objective
# has to be enough for the request itself.
OBJECTIVE_FRACTION_MIN: Final = 0.25
OBJECTIVE_FRACTION_MAX: Final = 0.6
# A caller that came back later than this would have too little time left.
REMAINING_FRACTION_MAX: Final = 0.5
CAPACITY_CODES: Final = frozenset(
    (
        ErrorCode.OVERLOAD,
        ErrorCode.QUEUE_FULL,
        ErrorCode.DEADLINE,
        ErrorCode.SHED,
        ErrorCode.NO_SERVER,
        ErrorCode.DRAINING,
        ErrorCode.EVACUATED,
    )
)


def compute_return_wait(
    rng: Random,
    code: ErrorCode,
    objective: timedelta | None,
    remaining: timedelta,
    suggested: timedelta,
) -> timedelta:
    """Return how long a caller should wait after a refusal with ``code``.

    ``objective`` is that of the route, ``remaining`` the time that the
    caller has left, ``suggested`` the wait that the part which refused it
    knows to be needed. The wait is random, as callers that are refused
    together should not come back together.
    """
    if code is ErrorCode.STALE:
        wait = RECOVERY_WAIT * rng.uniform(
            1 - RECOVERY_JITTER, 1 + RECOVERY_JITTER
        )
    elif code in CAPACITY_CODES:
        fraction = rng.uniform(OBJECTIVE_FRACTION_MIN, OBJECTIVE_FRACTION_MAX)
        wait = max(suggested, fraction * (objective or remaining))
    else:
        return max(RETURN_WAIT_MIN, suggested)
    return max(RETURN_WAIT_MIN, min(wait, REMAINING_FRACTION_MAX * remaining))
