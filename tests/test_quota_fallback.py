"""Tests of the quota fallback of a node while no owner answers."""

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
OWNER_LOST_AT: Final = EPOCH + timedelta(seconds=20)


def build_fallback(rate: int, *, limited: bool = False) -> QuotaFallback:
    """Return a fallback whose owner was lost after 20 s at a rate."""
    fallback = QuotaFallback()
    for number in range(20 * rate):
        fallback.record_spent(EPOCH + timedelta(seconds=number / rate))
    if limited:
        fallback.record_limited(OWNER_LOST_AT - timedelta(seconds=1))
    fallback.record_unanswered(OWNER_LOST_AT)
    fallback.record_unanswered(OWNER_LOST_AT + timedelta(seconds=1))
    return fallback


def take_all(fallback: QuotaFallback, seconds: float) -> int:
    """Take all available tokens after the loss; return their number."""
    steps = round(seconds / STEP.total_seconds())
    taken = 0
    for number in range(steps):
        while fallback.take(OWNER_LOST_AT + number * STEP):
            taken += 1
    return taken


class QuotaFallbackTest(unittest.TestCase):
    """Guards against a fleet that stops or overspends without an owner."""

    def test_goes_on_at_the_previous_rate(self) -> None:
        cases = (
            ("busy", 50, False, 2.0, 75, 101),
            ("limited", 50, True, 2.0, 60, 81),
            ("few", 2, False, 4.0, 4, 9),
            ("ends", 50, False, 60.0, 200, 251),
        )
        for name, rate, limited, seconds, min_taken, max_taken in cases:
            with self.subTest(name=name):
                fallback = build_fallback(rate, limited=limited)
                taken = take_all(fallback, seconds)
                self.assertGreaterEqual(taken, min_taken)
                self.assertLessEqual(taken, max_taken)

    def test_spends_nothing_while_the_owner_may_answer(self) -> None:
        fallback = build_fallback(50)
        self.assertFalse(
            fallback.take(OWNER_LOST_AT + OWNER_SILENCE_MIN - STEP)
        )
        self.assertTrue(fallback.take(OWNER_LOST_AT + OWNER_SILENCE_MIN))
        self.assertFalse(
            fallback.take(OWNER_LOST_AT + FALLBACK_DURATION_MAX + STEP)
        )

    def test_an_answer_ends_the_fallback(self) -> None:
        fallback = build_fallback(50)
        fallback.record_answer()
        self.assertFalse(fallback.take(OWNER_LOST_AT + OWNER_SILENCE_MIN))

    def test_a_node_without_previous_grants_spends_nothing(self) -> None:
        fallback = QuotaFallback()
        fallback.record_unanswered(OWNER_LOST_AT)
        self.assertEqual(take_all(fallback, 4.0), 0)


class SpenderTest(unittest.TestCase):
    """Guards against waiting for an owner that is lost or can't grant yet."""

    def run_through_loss(
        self, *, use_fallback: bool, new_owner_answers: bool
    ) -> int:
        """Return how many of 100 requests are admitted in 2 s without owner.

        Before the loss, the owner granted 50 tokens a second for 10 s.
        """
        spender = QuotaSpender("node", 1, use_fallback=use_fallback)
        owner = QuotaOwner(
            EPOCH - timedelta(seconds=60),
            1,
            {"coop": Workspace("coop", 200.0, 200)},
        )
        new_owner = QuotaOwner(EPOCH + timedelta(hours=1), 2, {})
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
                if lost and not new_owner_answers:
                    continue
                answering_owner = new_owner if lost else owner
                grant = answering_owner.ask(now, action.ask)
                further_actions = spender.receive(now, grant)
                actions.extend(
                    a for a in further_actions if not isinstance(a, SendAsk)
                )
        return admitted

    def test_goes_on_only_if_the_fallback_is_enabled(self) -> None:
        # Tokens granted before the loss are spent in any case.
        for new_owner_answers in (False, True):
            with self.subTest(new_owner_answers=new_owner_answers):
                without_fallback = self.run_through_loss(
                    use_fallback=False,
                    new_owner_answers=new_owner_answers,
                )
                with_fallback = self.run_through_loss(
                    use_fallback=True,
                    new_owner_answers=new_owner_answers,
                )
                self.assertLess(without_fallback, 40)
                self.assertGreater(with_fallback, 80)


if __name__ == "__main__":
    unittest.main()
