"""Tests of the brake on routes whose call trees fail."""

import random
import unittest
from datetime import timedelta

from sequoiaseam._clock import EPOCH
from sequoiaseam._route_throttle import (
    PROBE_FRACTION,
    SUCCESS_RATE_LIFETIME,
    SUCCESS_RATE_MIN,
    RouteThrottle,
)

MS = timedelta(milliseconds=1)
REQUESTS = 2000


class RouteThrottleTest(unittest.TestCase):
    """Guards against work for trees that fail, and against no work."""

    def run_requests(
        self,
        brake: RouteThrottle,
        rng: random.Random,
        success: float,
    ) -> float:
        """Return the part of the requests that is let in."""
        let_in = 0
        for number in range(REQUESTS):
            now = EPOCH + number * 10 * MS
            if brake.allow(now, "quotes"):
                let_in += 1
                failed = rng.random() >= success
                brake.record(now, "quotes", failed=failed)
        return let_in / REQUESTS

    def test_part_that_is_let_in(self) -> None:
        cases = (
            ("none succeed", 0.0, 0.0, 2 * PROBE_FRACTION),
            ("most succeed", 0.8, 0.95, 1.0),
            ("all succeed", 1.0, 1.0, 1.0),
        )
        for name, success, least, most in cases:
            with self.subTest(name=name):
                rng = random.Random(1)
                part = self.run_requests(RouteThrottle(rng), rng, success)
                self.assertGreaterEqual(part, least)
                self.assertLessEqual(part, most)

    def test_recovers_and_forgets(self) -> None:
        rng = random.Random(1)
        brake = RouteThrottle(rng)
        for _ in range(100):
            brake.record(EPOCH, "quotes", failed=True)
        self.assertTrue(brake.allow(EPOCH, "orders"))
        later = EPOCH + SUCCESS_RATE_LIFETIME + MS
        self.assertTrue(all(brake.allow(later, "quotes") for _ in range(50)))
        for _ in range(100):
            brake.record(later, "quotes", failed=True)
        for _ in range(4):
            brake.record(later, "quotes", failed=False)
        part = sum(brake.allow(later, "quotes") for _ in range(100)) / 100
        self.assertGreater(part, SUCCESS_RATE_MIN)


if __name__ == "__main__":
    unittest.main()
