"""Tests of how long refused callers are told to wait."""

import unittest
from datetime import timedelta
from random import Random
from typing import Final

from sequoiaseam._return_wait import RETURN_WAIT_MIN, compute_return_wait
from sequoiaseam.errors import ErrorCode

SECOND: Final = timedelta(seconds=1)
MS: Final = timedelta(milliseconds=1)
SAMPLES: Final = 200


def sample_waits(
    code: ErrorCode,
    *,
    objective: timedelta | None = 3 * SECOND,
    remaining: timedelta = 5 * SECOND,
    suggested: timedelta = timedelta(0),
) -> list[timedelta]:
    """Return the waits of callers that are refused together."""
    rng = Random(1)
    return [
        compute_return_wait(rng, code, objective, remaining, suggested)
        for _ in range(SAMPLES)
    ]


class SurgeTest(unittest.TestCase):
    """Guards against callers that come back during the same surge.

    The load is a surge of seconds; callers come back once.
    """

    def test_callers_come_back_spread_and_in_time(self) -> None:
        """Half of the objective stays for the request itself."""
        for code in (ErrorCode.OVERLOAD, ErrorCode.QUEUE_FULL):
            with self.subTest(code=code):
                waits = sample_waits(code)
                self.assertGreater(min(waits), 700 * MS)
                self.assertLess(max(waits), 1900 * MS)
                self.assertGreater(max(waits) - min(waits), 700 * MS)

    def test_a_short_objective_gives_a_short_wait(self) -> None:
        waits = sample_waits(
            ErrorCode.OVERLOAD,
            objective=800 * MS,
            remaining=3 * SECOND,
        )
        self.assertGreaterEqual(min(waits), RETURN_WAIT_MIN)
        self.assertLess(max(waits), 500 * MS)

    def test_a_longer_wait_that_is_known_to_be_needed_is_kept(self) -> None:
        waits = sample_waits(ErrorCode.OVERLOAD, suggested=2 * SECOND)
        self.assertEqual(set(waits), {2 * SECOND})

    def test_a_caller_can_still_use_what_is_left_of_its_time(self) -> None:
        waits = sample_waits(ErrorCode.OVERLOAD, remaining=SECOND)
        self.assertLessEqual(max(waits), SECOND / 2)


class OutageTest(unittest.TestCase):
    """Guards against callers that come back before the control hosts do."""

    def test_the_wait_covers_an_election(self) -> None:
        for objective in (None, 300 * MS):
            with self.subTest(objective=objective):
                waits = sample_waits(ErrorCode.STALE, objective=objective)
                self.assertGreaterEqual(min(waits), 1200 * MS)
                self.assertLessEqual(max(waits), 1800 * MS)


class QuotaTest(unittest.TestCase):
    """Guards against waits that end before a workspace has quota again."""

    def test_the_wait_for_quota_is_not_changed(self) -> None:
        waits = sample_waits(
            ErrorCode.QUOTA, remaining=SECOND, suggested=4 * SECOND
        )
        self.assertEqual(set(waits), {4 * SECOND})


if __name__ == "__main__":
    unittest.main()
