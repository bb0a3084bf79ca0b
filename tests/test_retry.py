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
    """Guards against retries that multiply at each hop."""

    def test_nested_call_takes_half_rounded_up(self) -> None:
        for total, part in ((0, 0), (1, 1), (2, 1), (5, 3)):
            with self.subTest(total=total):
                budget = RetryBudget(total)
                self.assertEqual(budget.split(), part)
                self.assertEqual(budget.remaining, total - part)

    def test_returns_no_more_than_was_given(self) -> None:
        budget = RetryBudget(4)
        budget.split()
        budget.give_back(100)
        budget.give_back(100)
        budget.give_back(-3)
        self.assertEqual(budget.remaining, 4)

    def test_refuses_negative_total(self) -> None:
        with self.assertRaises(ValueError):
            RetryBudget(-1)


class TreeFuzz:
    """A random call tree with losses and concurrent calls."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.retries = 0

    def call(self, budget: RetryBudget, depth: int) -> None:
        """Emulate one service that makes nested calls."""
        unused = []
        for _ in range(self.rng.randrange(5) if depth else 0):
            unused.append(self.attempt(budget, depth))
            while self.rng.random() < 0.5 and budget.take():
                self.retries += 1
                unused.append(self.attempt(budget, depth))
            while unused and self.rng.random() < 0.5:
                self.respond(budget, unused)
        while unused:
            self.respond(budget, unused)

    def attempt(self, budget: RetryBudget, depth: int) -> int:
        """Make one attempt; return what it leaves of its part."""
        child = RetryBudget(budget.split())
        self.call(child, depth - 1)
        return child.remaining

    def respond(self, budget: RetryBudget, unused: list[int]) -> None:
        """Deliver one response in any order, or lose it."""
        rest = unused.pop(self.rng.randrange(len(unused)))
        if self.rng.random() < 0.7:
            budget.give_back(rest)


class TreeFuzzTest(unittest.TestCase):
    """Guards against a tree that spends more than the root's budget."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                fuzz = TreeFuzz(seed)
                total = seed % 17
                fuzz.call(RetryBudget(total), 4)
                self.assertLessEqual(fuzz.retries, total)


class RetryShareTest(unittest.TestCase):
    """Guards against retries that add load to a pool in trouble."""

    def test_share_over_any_window(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.check_schedule(random.Random(seed))

    def check_schedule(self, rng: random.Random) -> None:
        share = rng.choice((0.0, 0.1, 0.3))
        limit = RetryShare(share)
        now = EPOCH
        calls, retries = 0, 0
        for _ in range(rng.randrange(300)):
            now += timedelta(milliseconds=rng.choice((0, 1, 20)))
            if rng.random() < 0.5:
                limit.record(now)
                calls += 1
            else:
                retries += limit.allow(now)
            # The schedule is shorter than one window.
            bound = max(float(share > 0), share * (calls + retries))
            self.assertLessEqual(retries, bound + 1e-9)

    def test_old_traffic_does_not_count(self) -> None:
        limit = RetryShare(0.1)
        for _ in range(100):
            limit.record(EPOCH)
        later = EPOCH + timedelta(seconds=30)
        self.assertTrue(limit.allow(later))
        self.assertFalse(limit.allow(later))


class TreeRetryLimiterTest(unittest.TestCase):
    """Guards against retries that multiply in the pools below."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.check_schedule(random.Random(seed))

    def check_schedule(self, rng: random.Random) -> None:
        share, least = rng.choice((0.0, 0.1, 0.3)), rng.choice((1.0, 2.0))
        ledger = TreeRetryLimiter(least)
        roots = {"quotes": 0, "prices": 0}
        spent = {"quotes": 0.0, "prices": 0.0}
        now = EPOCH
        for _ in range(rng.randrange(300)):
            now += timedelta(milliseconds=rng.choice((0, 1, 20)))
            if rng.random() < 0.5:
                pool = rng.choice(("quotes", "prices"))
                ledger.record(now, pool)
                roots[pool] += 1
                continue
            costs = {"quotes": 1.0, "prices": rng.choice((0.5, 8.0))}
            if ledger.allow(now, costs, lambda _: share):
                for pool, cost in costs.items():
                    spent[pool] += cost
            # The schedule is shorter than one window.
            for pool, count in roots.items():
                bound = max(least, share * count) if share else 0.0
                self.assertLessEqual(spent[pool], bound + 1e-9)

    def test_one_full_pool_refuses_the_whole_tree(self) -> None:
        ledger = TreeRetryLimiter(1.0)
        for _ in range(100):
            ledger.record(EPOCH, "quotes")
        costs = {"quotes": 1.0, "prices": 8.0}
        self.assertFalse(ledger.allow(EPOCH, costs, lambda _: 0.1))
        allowed = [
            ledger.allow(EPOCH, {"quotes": 1.0}, lambda _: 0.1)
            for _ in range(20)
        ]
        self.assertEqual(sum(allowed), 10)


class RetryAfterTest(unittest.TestCase):
    """Guards against callers that all come back at once."""

    def test_grows_with_pressure_and_varies(self) -> None:
        rng = random.Random(1)
        means = []
        for level in (0.0, 1.0, 2.0, 4.0, 99.0):
            waits = [compute_retry_after(rng, level) for _ in range(200)]
            self.assertGreater(max(waits), 2 * min(waits))
            means.append(sum(waits, timedelta()) / len(waits))
        self.assertEqual(means[:4], sorted(means[:4]))
        self.assertLess(means[4], timedelta(seconds=6))
