"""Tests of the attribution of nested calls to runs of a backend server."""

import heapq
import random
import unittest
from dataclasses import replace
from datetime import datetime, timedelta
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


class ShortCallTest(unittest.TestCase):
    """Guards against calls of a tree that lose their importance.

    The load is a server whose runs make four calls one after the other,
    each with a random time limit below that of its run. A third of the
    runs are important. Other runs make no calls.
    """

    def simulate(self, seed: int) -> tuple[float, float]:
        """Return the fractions of calls with a run and the right class."""
        rng = random.Random(seed)
        attribution = CallAttribution()
        events: list[tuple[float, int, int]] = []
        importance_by_run: dict[int, int] = {}
        deadline_by_run: dict[int, datetime] = {}
        found_run_ids: dict[int, int] = {}
        found_count = right_count = count = 0
        at = 0.0
        for number in range(0, 1200, 2):
            at += rng.expovariate(0.03)
            importance_by_run[number] = 3 if rng.random() < 1 / 3 else 1
            heapq.heappush(events, (at, number, 0))
        while events:
            at, number, made = heapq.heappop(events)
            now = EPOCH + at * MS
            if not made:
                deadline_by_run[number] = now + rng.uniform(800, 1000) * MS
                attribution.start_run(
                    now,
                    deadline_by_run[number],
                    replace(
                        build_parent(number, "records"),
                        importance=importance_by_run[number],
                    ),
                )
                upload = build_parent(number + 1, "uploads")
                attribution.start_run(now, now + 2500 * MS, upload)
            else:
                attribution.end_call(now, found_run_ids.pop(number, -1))
            if made == 4:
                attribution.end_run(number)
                attribution.end_run(number + 1)
                continue
            sent_at = now + rng.uniform(1, 5) * MS
            deadline = min(
                deadline_by_run[number] - rng.uniform(0, 1) * MS,
                sent_at + rng.uniform(600, 700) * MS,
            )
            found = attribution.start_call(
                sent_at, deadline, "prices", timedelta(seconds=1)
            )
            if number >= 600:
                count += 1
                found_count += found is not None
                right_count += found is not None and (
                    found.run.importance == importance_by_run[number]
                )
            if found is not None:
                found_run_ids[number] = found.run.run_id
            ended_at = at + rng.uniform(100, 220)
            heapq.heappush(events, (ended_at, number, made + 1))
        return found_count / count, right_count / count

    def test_calls_have_the_importance_of_their_tree(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                found, right = self.simulate(seed)
                self.assertGreater(found, 0.95)
                self.assertGreater(right, 0.8)


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
