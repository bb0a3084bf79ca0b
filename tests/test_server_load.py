"""Tests of the load and pace that backend servers state."""

import random
import unittest
from datetime import timedelta

from sequoiaseam._clock import EPOCH
from sequoiaseam._server_load import (
    PACE_LIFETIME,
    PACE_MAX,
    PACE_MIN,
    PACE_USUAL,
    PaceAverage,
    ServerLoad,
    parse_server_load,
)
from tests.seeds import iterate_seeds


class ServerLoadTest(unittest.TestCase):
    """Guards against load fields that are misread or end a run."""

    def test_reads_three_or_four_numbers(self) -> None:
        self.assertEqual(
            parse_server_load(b"3,1,8"), ServerLoad(3, 1, 8, None)
        )
        self.assertEqual(
            parse_server_load(b"3,1,8,250"), ServerLoad(3, 1, 8, 2.5)
        )

    def test_utilization_is_at_most_one(self) -> None:
        for value, utilization in (
            (b"3,1,8", 0.5),
            (b"8,999999999,8", 1.0),
            (b"0,0,0", 0.0),
            (b"1,0,0,100", 1.0),
        ):
            with self.subTest(value=value):
                load = parse_server_load(value)
                assert load is not None
                self.assertEqual(load.utilization, utilization)

    def test_ignores_any_other_form(self) -> None:
        for value in (
            b"",
            b",",
            b"3,1",
            b"3,1,8,",
            b"3,1,8,100,5",
            b"3,1,8,-100",
            b"3,1,8,1.5",
            b"3,1,8,100%",
            b"3, 1, 8",
            b"3,1,8,nan",
            b"3;1;8",
            b"3,1,8," + b"9" * 10,
            b"9" * 5000 + b",1,8",
            "3,1,\N{SUPERSCRIPT TWO}".encode(),
            "3,1,\N{ARABIC-INDIC DIGIT EIGHT}".encode(),
        ):
            with self.subTest(value=value[:20]):
                self.assertIsNone(parse_server_load(value))

    def test_no_bytes_raise(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                value = bytes(
                    rng.choice(b"0123456789,, .-\x00\xff")
                    for _ in range(rng.randrange(20))
                )
                parse_server_load(value)


class PaceAverageTest(unittest.TestCase):
    """Guards against a pace that is followed late, for too long or too far."""

    STEP = timedelta(milliseconds=10)

    def setUp(self) -> None:
        self.now = EPOCH
        self.average = PaceAverage()

    def record(self, pace: float, duration: timedelta) -> float:
        """State a pace for some time and return the average."""
        for _ in range(duration // self.STEP):
            self.now += self.STEP
            self.average.record(self.now, pace)
        return self.average.get(self.now)

    def test_follows_a_neighbour_within_its_time(self) -> None:
        """A neighbour makes work 2.5 times as long for 0.6 s."""
        self.assertAlmostEqual(self.record(1.0, timedelta(seconds=1)), 1.0)
        slowed = self.record(2.5, timedelta(milliseconds=300))
        self.assertGreater(slowed, 2.3)
        restored = self.record(1.0, timedelta(milliseconds=300))
        self.assertLess(restored, 1.2)

    def test_one_response_decides_little(self) -> None:
        self.record(1.0, timedelta(seconds=1))
        self.assertLess(self.record(4.0, self.STEP), 1.4)

    def test_a_false_pace_is_bounded(self) -> None:
        second = timedelta(seconds=1)
        self.assertLessEqual(self.record(1e7, second), PACE_MAX)
        self.assertGreaterEqual(self.record(0.0, 2 * second), PACE_MIN)

    def test_a_pace_is_forgotten(self) -> None:
        self.record(4.0, timedelta(seconds=1))
        self.now += PACE_LIFETIME + self.STEP
        self.assertEqual(self.average.get(self.now), PACE_USUAL)
        self.assertLess(self.record(4.0, self.STEP), 3.0)


if __name__ == "__main__":
    unittest.main()
