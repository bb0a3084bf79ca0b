"""Tests of retry budgets, retry shares and Retry-After."""

import os
import random
import unittest
from datetime import timedelta

from sequoiaseam._clock import EPOCH
from sequoiaseam._retry import (
    RetryBudget,
    RetryShare,
    TreeRetryLimiter,
    compute_retry_after,
)

SCHEDULES = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply at each level of a call tree."""

    def test_split_takes_half_rounded_up(self) -> None:
        for total, split in ((0, 0), (1, 1), (2, 1), (5, 3)):
            with self.subTest(total=total):
                budget = RetryBudget(total)
                self.assertEqual(budget.split(), split)
                self.assertEqual(budget.remaining, total - split)

    def test_give_back_is_limited_to_split_amount(self) -> None:
        budget = RetryBudget(4)
        budget.split()
        budget.give_back(100)
        budget.give_back(100)
        budget.give_back(-3)
        self.assertEqual(budget.remaining, 4)

    def test_rejects_negative_total(self) -> None:
        with self.assertRaises(ValueError):
            RetryBudget(-1)


class CallTreeFuzz:
    """Random call tree with concurrent calls and lost responses."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.retries = 0

    def call(self, budget: RetryBudget, depth: int) -> None:
        """Simulate one run that makes nested calls."""
        unused_budgets = []
        for _ in range(self.rng.randrange(5) if depth else 0):
            unused_budgets.append(self.attempt(budget, depth))
            while self.rng.random() < 0.5 and budget.take():
                self.retries += 1
                unused_budgets.append(self.attempt(budget, depth))
            while unused_budgets and self.rng.random() < 0.5:
                self.respond(budget, unused_budgets)
        while unused_budgets:
            self.respond(budget, unused_budgets)

    def attempt(self, budget: RetryBudget, depth: int) -> int:
        """Make one attempt and return the unused rest of its budget."""
        child = RetryBudget(budget.split())
        self.call(child, depth - 1)
        return child.remaining

    def respond(self, budget: RetryBudget, unused_budgets: list[int]) -> None:
        """Deliver the response of a random attempt, or lose it."""
        unused_budget = unused_budgets.pop(
            self.rng.randrange(len(unused_budgets))
        )
        if self.rng.random() < 0.7:
            budget.give_back(unused_budget)


class CallTreeFuzzTest(unittest.TestCase):
    """Guards against a call tree that exceeds its root's retry budget."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                fuzz = CallTreeFuzz(seed)
                total = seed % 17
                fuzz.call(RetryBudget(total), 4)
                self.assertLessEqual(fuzz.retries, total)


class RetryShareTest(unittest.TestCase):
    """Guards against retries that overload a failing pool."""

    def test_limits_retries_in_any_window(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.check_schedule(random.Random(seed))

    def check_schedule(self, rng: random.Random) -> None:
        share = rng.choice((0.0, 0.1, 0.3))
        retry_share = RetryShare(share)
        now = EPOCH
        calls, retries = 0, 0
        for _ in range(rng.randrange(300)):
            now += timedelta(milliseconds=rng.choice((0, 1, 20)))
            if rng.random() < 0.5:
                retry_share.record(now)
                calls += 1
            else:
                retries += retry_share.allow(now)
            # The schedule is shorter than one window.
            retries_max = max(float(share > 0), share * (calls + retries))
            self.assertLessEqual(retries, retries_max + 1e-9)

    def test_ignores_calls_outside_the_window(self) -> None:
        retry_share = RetryShare(0.1)
        for _ in range(100):
            retry_share.record(EPOCH)
        later = EPOCH + timedelta(seconds=30)
        self.assertTrue(retry_share.allow(later))
        self.assertFalse(retry_share.allow(later))


class TreeRetryLimiterTest(unittest.TestCase):
    """Guards against retries that multiply in the pools of nested calls."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.check_schedule(random.Random(seed))

    def check_schedule(self, rng: random.Random) -> None:
        share, retries_min = (
            rng.choice((0.0, 0.1, 0.3)),
            rng.choice((1.0, 2.0)),
        )
        limiter = TreeRetryLimiter(retries_min)
        root_requests = {"quotes": 0, "prices": 0}
        charged = {"quotes": 0.0, "prices": 0.0}
        now = EPOCH
        for _ in range(rng.randrange(300)):
            now += timedelta(milliseconds=rng.choice((0, 1, 20)))
            if rng.random() < 0.5:
                pool = rng.choice(("quotes", "prices"))
                limiter.record(now, pool)
                root_requests[pool] += 1
                continue
            costs = {"quotes": 1.0, "prices": rng.choice((0.5, 8.0))}
            if limiter.allow(now, costs, lambda _: share):
                for pool, cost in costs.items():
                    charged[pool] += cost
            # The schedule is shorter than one window.
            for pool, count in root_requests.items():
                charged_max = max(retries_min, share * count) if share else 0.0
                self.assertLessEqual(charged[pool], charged_max + 1e-9)

    def test_refuses_retry_if_any_pool_is_at_its_limit(self) -> None:
        limiter = TreeRetryLimiter(1.0)
        for _ in range(100):
            limiter.record(EPOCH, "quotes")
        costs = {"quotes": 1.0, "prices": 8.0}
        self.assertFalse(limiter.allow(EPOCH, costs, lambda _: 0.1))
        allowed = [
            limiter.allow(EPOCH, {"quotes": 1.0}, lambda _: 0.1)
            for _ in range(20)
        ]
        self.assertEqual(sum(allowed), 10)


class RetryAfterTest(unittest.TestCase):
    """Guards against callers that all retry at the same time."""

    def test_grows_with_pressure_and_varies(self) -> None:
        rng = random.Random(1)
        means = []
        for level in (0.0, 1.0, 2.0, 4.0, 99.0):
            waits = [compute_retry_after(rng, level) for _ in range(200)]
            self.assertGreater(max(waits), 2 * min(waits))
            means.append(sum(waits, timedelta()) / len(waits))
        self.assertEqual(means[:4], sorted(means[:4]))
        self.assertLess(means[4], timedelta(seconds=6))
