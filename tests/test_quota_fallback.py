"""Tests of what a node spends while no owner of the quota answers."""

import unittest
from datetime import timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._quota import Admit, QuotaOwner, QuotaSpender, SendAsk
from sequoiaseam._quota_fallback import (
    FALLBACK_DURATION_MAX,
    OWNER_SILENCE_MIN,
    QuotaFallback,
)
from sequoiaseam._tables import Workspace

STEP: Final = timedelta(milliseconds=10)
LOST: Final = EPOCH + timedelta(seconds=20)


def build_lost(rate: int, *, limited: bool = False) -> QuotaFallback:
    """Return an allowance after 20 s at a rate; then the owner is lost."""
    fallback = QuotaFallback()
    for number in range(20 * rate):
        fallback.record_spent(EPOCH + timedelta(seconds=number / rate))
    if limited:
        fallback.record_limited(LOST - timedelta(seconds=1))
    fallback.record_unanswered(LOST)
    fallback.record_unanswered(LOST + timedelta(seconds=1))
    return fallback


def count_taken(fallback: QuotaFallback, seconds: float) -> int:
    """Return how many tokens may be taken from the loss on."""
    steps = round(seconds / STEP.total_seconds())
    taken = 0
    for number in range(steps):
        while fallback.take(LOST + number * STEP):
            taken += 1
    return taken


class QuotaFallbackTest(unittest.TestCase):
    """Guards against a fleet that stops, or one that spends too much."""

    def test_goes_on_at_the_rate_before(self) -> None:
        cases = (
            ("busy", 50, False, 2.0, 75, 101),
            ("limited", 50, True, 2.0, 60, 81),
            ("few", 2, False, 4.0, 4, 9),
            ("ends", 50, False, 60.0, 200, 251),
        )
        for name, rate, limited, seconds, least, most in cases:
            with self.subTest(name=name):
                fallback = build_lost(rate, limited=limited)
                taken = count_taken(fallback, seconds)
                self.assertGreaterEqual(taken, least)
                self.assertLessEqual(taken, most)

    def test_spends_nothing_while_the_owner_may_answer(self) -> None:
        fallback = build_lost(50)
        self.assertFalse(fallback.take(LOST + OWNER_SILENCE_MIN - STEP))
        self.assertTrue(fallback.take(LOST + OWNER_SILENCE_MIN))
        self.assertFalse(fallback.take(LOST + FALLBACK_DURATION_MAX + STEP))

    def test_an_answer_ends_it(self) -> None:
        fallback = build_lost(50)
        fallback.record_answer()
        self.assertFalse(fallback.take(LOST + OWNER_SILENCE_MIN))

    def test_a_node_that_was_granted_nothing_spends_nothing(self) -> None:
        fallback = QuotaFallback()
        fallback.record_unanswered(LOST)
        self.assertEqual(count_taken(fallback, 4.0), 0)


class SpenderTest(unittest.TestCase):
    """Guards against waiting for an owner that is lost or new."""

    def run_through_loss(self, *, use_fallback: bool, opening: bool) -> int:
        """Return how many of 100 requests in 2 s of loss are admitted.

        Before, 50 a second were granted for 10 s.
        """
        spender = QuotaSpender("node", 1, use_fallback=use_fallback)
        owner = QuotaOwner(
            EPOCH - timedelta(seconds=60),
            1,
            {"coop": Workspace("coop", 200.0, 200)},
        )
        new = QuotaOwner(EPOCH + timedelta(hours=1), 2, {})
        admitted = 0
        for number in range(600):
            now = EPOCH + number * timedelta(milliseconds=20)
            lost = number >= 500
            actions = [
                *spender.tick(now),
                *spender.request(now, "coop", number),
            ]
            for action in actions:
                admitted += lost and isinstance(action, Admit)
                if not isinstance(action, SendAsk):
                    continue
                if lost and not opening:
                    continue
                answering = new if lost else owner
                grant = answering.ask(now, action.ask)
                more = spender.receive(now, grant)
                actions.extend(a for a in more if not isinstance(a, SendAsk))
        return admitted

    def test_goes_on_only_where_that_is_allowed(self) -> None:
        # What is in hand when the owner is lost is spent in any case.
        for opening in (False, True):
            with self.subTest(opening=opening):
                strict = self.run_through_loss(
                    use_fallback=False,
                    opening=opening,
                )
                standing_by = self.run_through_loss(
                    use_fallback=True,
                    opening=opening,
                )
                self.assertLess(strict, 40)
                self.assertGreater(standing_by, 80)


if __name__ == "__main__":
    unittest.main()
