"""Tests of the throttling of routes whose call trees fail."""

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
    """Guards against admitting trees that fail and against admitting none."""

    def measure_admitted_fraction(
        self,
        throttle: RouteThrottle,
        rng: random.Random,
        success_rate: float,
    ) -> float:
        """Return the fraction of requests that the throttle admits."""
        admitted = 0
        for index in range(REQUESTS):
            now = EPOCH + index * 10 * MS
            if throttle.allow(now, "quotes"):
                admitted += 1
                failed = rng.random() >= success_rate
                throttle.record(now, "quotes", failed=failed)
        return admitted / REQUESTS

    def test_admitted_fraction(self) -> None:
        cases = (
            ("none succeed", 0.0, 0.0, 2 * PROBE_FRACTION),
            ("most succeed", 0.8, 0.95, 1.0),
            ("all succeed", 1.0, 1.0, 1.0),
        )
        for name, success_rate, fraction_min, fraction_max in cases:
            with self.subTest(name=name):
                rng = random.Random(1)
                admitted_fraction = self.measure_admitted_fraction(
                    RouteThrottle(rng), rng, success_rate
                )
                self.assertGreaterEqual(admitted_fraction, fraction_min)
                self.assertLessEqual(admitted_fraction, fraction_max)

    def test_discards_outdated_rate_and_recovers(self) -> None:
        rng = random.Random(1)
        throttle = RouteThrottle(rng)
        for _ in range(100):
            throttle.record(EPOCH, "quotes", failed=True)
        self.assertTrue(throttle.allow(EPOCH, "orders"))
        later = EPOCH + SUCCESS_RATE_LIFETIME + MS
        self.assertTrue(
            all(throttle.allow(later, "quotes") for _ in range(50))
        )
        for _ in range(100):
            throttle.record(later, "quotes", failed=True)
        for _ in range(4):
            throttle.record(later, "quotes", failed=False)
        admitted_fraction = (
            sum(throttle.allow(later, "quotes") for _ in range(100)) / 100
        )
        self.assertGreater(admitted_fraction, SUCCESS_RATE_MIN)


if __name__ == "__main__":
    unittest.main()
