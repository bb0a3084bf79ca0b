"""Tests of the attribution of nested calls to runs of a backend server."""

import random
import unittest
from datetime import timedelta
from typing import Final

from sequoiaseam._call_attribution import (
    RUNS_BEFORE_HALVING,
    CallAttribution,
    ParentRun,
)
from sequoiaseam._clock import EPOCH

MS: Final = timedelta(milliseconds=1)
ROUTE_TIMEOUT: Final = 700 * MS


def build_parent(run_id: int, route: str = "quotes") -> ParentRun:
    """Return a run that nested calls may belong to."""
    return ParentRun(run_id, route, 2, "coop", 1.0)


class FindParentTest(unittest.TestCase):
    """Guards against attributing a nested call to another request."""

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
                attribution = CallAttribution()
                for run_id, at in deadlines.items():
                    started_at = EPOCH + (run_id - 1) * 50 * MS
                    run = build_parent(run_id)
                    attribution.start_run(started_at, EPOCH + at * MS, run)
                call_deadline = EPOCH + deadline * MS
                if name == "before all":
                    call_deadline = EPOCH + 600 * MS
                found = attribution.find_parent(
                    call_deadline, "records", ROUTE_TIMEOUT
                )
                self.assertEqual(found.run_id if found else None, expected)

    def test_forgets_runs_that_ended(self) -> None:
        attribution = CallAttribution()
        attribution.start_run(EPOCH, EPOCH + 800 * MS, build_parent(1))
        attribution.end_run(1)
        attribution.end_run(1)
        found = attribution.find_parent(
            EPOCH + 800 * MS, "records", ROUTE_TIMEOUT
        )
        self.assertIsNone(found)


class OwnLimitTest(unittest.TestCase):
    """Guards against calls of a tree that lose their importance.

    The load is that of servers that allow calls 700 ms on routes whose
    timeout is a second, with up to 27 runs in progress.
    """

    def measure_found_fraction(self, limit: timedelta, seed: int) -> float:
        """Return the fraction of the later calls with the right parent."""
        rng = random.Random(seed)
        attribution = CallAttribution()
        now = EPOCH
        found = 0
        count = 600
        for number in range(count):
            now += rng.expovariate(20) * timedelta(seconds=1)
            run_deadline = now + rng.uniform(800, 1000) * MS
            attribution.start_run(now, run_deadline, build_parent(number))
            deadline = min(run_deadline, now + limit)
            rounding = rng.uniform(-1.0, 0.6) * MS
            parent = attribution.find_parent(
                deadline + rounding, "prices", timedelta(seconds=1)
            )
            if number >= count // 2:
                found += parent is not None and parent.run_id == number
            if number >= 20:
                attribution.end_run(number - 20)
        return found / (count - count // 2)

    def test_learns_a_limit_below_the_timeout(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                fraction = self.measure_found_fraction(700 * MS, seed)
                self.assertGreater(fraction, 0.85)

    def test_calls_without_a_limit_have_the_deadline_of_their_run(
        self,
    ) -> None:
        fraction = self.measure_found_fraction(timedelta(seconds=9), 1)
        self.assertGreater(fraction, 0.85)


class EstimateTest(unittest.TestCase):
    """Guards against retries that cost more nested calls than estimated."""

    def test_counts_calls_that_fit_several_runs(self) -> None:
        attribution = CallAttribution()
        for run_id in range(1, 41):
            route = ("quotes", "orders")[run_id % 2]
            started_at = EPOCH + run_id * 10 * MS
            run_deadline = started_at + 800 * MS
            attribution.start_run(
                started_at, run_deadline, build_parent(run_id, route)
            )
            other_run = build_parent(-run_id, "uploads")
            attribution.start_run(
                started_at, run_deadline + 0.4 * MS, other_run
            )
            if route == "quotes":
                for _ in range(2):
                    attribution.find_parent(
                        run_deadline + 0.6 * MS, "prices", ROUTE_TIMEOUT
                    )
            attribution.end_run(run_id)
            attribution.end_run(-run_id)
        self.assertEqual(
            attribution.compute_calls_per_run("quotes", "prices"), 0.0
        )
        self.assertAlmostEqual(
            attribution.estimate_calls_per_run("quotes", "prices"),
            2.0,
        )


class ReachTest(unittest.TestCase):
    """Guards against shedding requests that don't call the loaded pool."""

    def test_learns_calls_of_mixed_routes(self) -> None:
        """Let runs of "records" call "prices" four times, "uploads" never."""
        rng = random.Random(1)
        attribution = CallAttribution()
        now = EPOCH
        for number in range(0, 4000, 2):
            now += rng.expovariate(150) * timedelta(seconds=1)
            remaining = rng.uniform(300, 2000) * MS
            attribution.start_run(
                now, now + remaining, build_parent(number, "records")
            )
            upload = build_parent(number + 1, "uploads")
            attribution.start_run(now + MS, now + 250 * MS, upload)
            for _ in range(4):
                gap = rng.uniform(0.1, 1.2) * MS
                attribution.find_parent(
                    now + ROUTE_TIMEOUT + gap, "prices", ROUTE_TIMEOUT
                )
            if number >= 40:
                attribution.end_run(number - 40)
                attribution.end_run(number - 39)
        self.assertEqual(attribution.list_called_routes("records"), {"prices"})
        self.assertEqual(
            attribution.list_called_routes("uploads"), frozenset()
        )

    def test_follows_a_change_of_the_called_route(self) -> None:
        attribution = CallAttribution()
        for number in range(12 * RUNS_BEFORE_HALVING):
            now = EPOCH + number * 10 * MS
            attribution.start_run(now, now + 800 * MS, build_parent(number))
            called_route = "old" if number < RUNS_BEFORE_HALVING else "new"
            attribution.find_parent(
                now + 800 * MS, called_route, ROUTE_TIMEOUT
            )
            attribution.end_run(number)
        self.assertEqual(attribution.list_called_routes("quotes"), {"new"})


if __name__ == "__main__":
    unittest.main()
