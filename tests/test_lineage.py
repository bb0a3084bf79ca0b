"""Tests of finding the run that a server's own call belongs to."""

import random
import unittest
from datetime import timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._lineage import RUNS_KEPT, Lineage, Parent

MS: Final = timedelta(milliseconds=1)
LIMIT: Final = 700 * MS


def build_parent(run_id: int, route: str = "quotes") -> Parent:
    """Return a run of a route."""
    return Parent(run_id, route, 2, "coop", 1.0)


class FindParentTest(unittest.TestCase):
    """Guards against calls that count for another request."""

    def test_finds_the_run_by_deadline_or_by_start(self) -> None:
        deadlines = {1: 800.0, 2: 900.0, 3: 900.4}
        cases = (
            ("same deadline", 800.7, 1),
            ("nearer of two", 901.0, 3),
            ("before all", 700.0, None),
            ("between", 850.0, None),
            ("own limit from the start", 701.0, 1),
        )
        for name, deadline, expected in cases:
            with self.subTest(name=name):
                lineage = Lineage()
                for run_id, at in deadlines.items():
                    began = EPOCH + (run_id - 1) * 50 * MS
                    run = build_parent(run_id)
                    lineage.start(began, EPOCH + at * MS, run)
                time = EPOCH + deadline * MS
                if name == "before all":
                    time = EPOCH + 600 * MS
                found = lineage.find_parent(time, "records", LIMIT)
                self.assertEqual(found.run_id if found else None, expected)

    def test_forgets_runs_that_ended(self) -> None:
        lineage = Lineage()
        lineage.start(EPOCH, EPOCH + 800 * MS, build_parent(1))
        lineage.end(1)
        lineage.end(1)
        found = lineage.find_parent(EPOCH + 800 * MS, "records", LIMIT)
        self.assertIsNone(found)


class EstimateTest(unittest.TestCase):
    """Guards against repeats that cost more below than was expected."""

    def test_counts_calls_that_fit_several_runs(self) -> None:
        lineage = Lineage()
        for run_id in range(1, 41):
            route = ("quotes", "orders")[run_id % 2]
            began = EPOCH + run_id * 10 * MS
            ends = began + 800 * MS
            lineage.start(began, ends, build_parent(run_id, route))
            other = build_parent(-run_id, "uploads")
            lineage.start(began, ends + 0.4 * MS, other)
            if route == "quotes":
                for _ in range(2):
                    lineage.find_parent(ends + 0.6 * MS, "prices", LIMIT)
            lineage.end(run_id)
            lineage.end(-run_id)
        self.assertEqual(lineage.count_calls("quotes", "prices"), 0.0)
        self.assertAlmostEqual(
            lineage.estimate_calls("quotes", "prices"),
            2.0,
        )


class ReachTest(unittest.TestCase):
    """Guards against shedding requests that don't reach a pool."""

    def test_learns_calls_of_mixed_routes(self) -> None:
        """Runs of "records" call "prices" four times; uploads never."""
        rng = random.Random(1)
        lineage = Lineage()
        now = EPOCH
        for number in range(0, 4000, 2):
            now += rng.expovariate(150) * timedelta(seconds=1)
            left = rng.uniform(300, 2000) * MS
            lineage.start(now, now + left, build_parent(number, "records"))
            upload = build_parent(number + 1, "uploads")
            lineage.start(now + MS, now + 250 * MS, upload)
            for _ in range(4):
                late = rng.uniform(0.1, 1.2) * MS
                lineage.find_parent(now + LIMIT + late, "prices", LIMIT)
            if number >= 40:
                lineage.end(number - 40)
                lineage.end(number - 39)
        self.assertEqual(lineage.list_calls("records"), {"prices"})
        self.assertEqual(lineage.list_calls("uploads"), frozenset())

    def test_follows_a_change_of_what_a_route_calls(self) -> None:
        lineage = Lineage()
        for number in range(12 * RUNS_KEPT):
            now = EPOCH + number * 10 * MS
            lineage.start(now, now + 800 * MS, build_parent(number))
            called = "old" if number < RUNS_KEPT else "new"
            lineage.find_parent(now + 800 * MS, called, LIMIT)
            lineage.end(number)
        self.assertEqual(lineage.list_calls("quotes"), {"new"})


if __name__ == "__main__":
    unittest.main()
