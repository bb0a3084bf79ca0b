"""Tests of the workspace quota."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from bench._faults import run_faults
from bench._fleet import (
    SECOND,
    Network,
    QuotaFleet,
    SkewedClock,
    find_inside_rate,
    measure_overshoot,
)

from sequoiaseam._clock import EPOCH
from sequoiaseam._quota import (
    REQUEST_WAIT_MAX,
    TAKEOVER_WAIT,
    Admit,
    QuotaAction,
    QuotaOwner,
    QuotaSpender,
    RefuseQuota,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._tables import Workspace
from tests.seeds import iterate_seeds

# A new owner grants nothing before this time, as grants of the previous
# owner may still be valid.
GRANTS_START = EPOCH + TAKEOVER_WAIT
MS = timedelta(milliseconds=1)


def build_ask(ask_id: int, waiting: int = 1, want: int = 0) -> QuotaAsk:
    """Return an ask for tokens of the workspace ``w``."""
    want = max(want, waiting)
    return QuotaAsk("n", 0, "w", ask_id, waiting, want, waiting, 0)


def get_last_ask(actions: tuple[QuotaAction, ...]) -> QuotaAsk:
    """Return the last ask in the actions."""
    return [a.ask for a in actions if isinstance(a, SendAsk)][-1]


class OwnerTest(unittest.TestCase):
    """Guards against granting tokens that the bucket doesn't hold."""

    def setUp(self) -> None:
        workspaces = {"w": Workspace("w", rate=10.0, burst=5)}
        self.owner = QuotaOwner(EPOCH, 7, workspaces)
        self.full_at = GRANTS_START + timedelta(seconds=1)

    def test_starts_empty_and_waits_until_earlier_grants_expire(self) -> None:
        just_before = GRANTS_START - MS
        grant = self.owner.ask(just_before, build_ask(1))
        self.assertEqual((grant.tokens, grant.hold), (0, 1))
        grant = self.owner.ask(GRANTS_START + 200 * MS, build_ask(2, 9))
        self.assertEqual(grant.tokens, 2)

    def test_repeated_and_older_asks_get_nothing(self) -> None:
        self.assertEqual(self.owner.ask(self.full_at, build_ask(2)).tokens, 1)
        for ask_id in (2, 1):
            again = self.owner.ask(self.full_at, build_ask(ask_id))
            self.assertEqual(again.tokens, 0)
        unknown = QuotaAsk("n", 0, "absent", 1, 1, 1, 1, 0)
        self.assertEqual(self.owner.ask(self.full_at, unknown).tokens, 0)

    def test_outstanding_tokens_limit_the_refill(self) -> None:
        first = self.owner.ask(self.full_at, build_ask(1, 5))
        self.assertEqual(first.tokens, 5)
        before_end = self.full_at + 499 * MS
        self.assertEqual(self.owner.ask(before_end, build_ask(2)).tokens, 0)
        settle = QuotaSettle("n", 0, "w", 7, first.grant_id, 3, 2)
        # Settlements of another term and duplicates have no effect.
        self.owner.settle(before_end, replace(settle, owner_term=6))
        self.assertEqual(self.owner.ask(before_end, build_ask(3)).tokens, 0)
        for _ in range(2):
            self.owner.settle(before_end, settle)
        grant = self.owner.ask(before_end, build_ask(4, 9))
        self.assertEqual(grant.tokens, 2)

    def test_unsettled_grant_counts_as_spent(self) -> None:
        self.owner.ask(self.full_at, build_ask(1, 5))
        after_end = self.full_at + 500 * MS
        self.assertEqual(self.owner.ask(after_end, build_ask(2)).tokens, 0)
        later = after_end + 200 * MS
        self.assertEqual(self.owner.ask(later, build_ask(3, 9)).tokens, 2)

    def test_lowered_burst_and_removed_workspace(self) -> None:
        self.owner.configure(self.full_at, {"w": Workspace("w", 10.0, 2)})
        grant = self.owner.ask(self.full_at, build_ask(1, 9))
        self.assertEqual(grant.tokens, 2)
        self.owner.configure(self.full_at, {})
        self.owner.configure(self.full_at, {"w": Workspace("w", 10.0, 2)})
        later = self.full_at + 400 * MS
        self.assertEqual(self.owner.ask(later, build_ask(2)).tokens, 0)


class SpenderTest(unittest.TestCase):
    """Guards against spending tokens that may be granted to others."""

    def setUp(self) -> None:
        self.spender = QuotaSpender("n", 3)

    def grant(self, ask: QuotaAsk, tokens: int, hold: int = 0) -> QuotaGrant:
        key = (ask.node, ask.incarnation, ask.workspace, ask.ask_id)
        ttl, wait, pace = 1000 * MS, 10 * MS, 2 * MS
        return QuotaGrant(*key, 1, 5, tokens, ttl, hold, hold, wait, pace)

    def test_spends_once_and_settles(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        actions = self.spender.receive(EPOCH + 3 * MS, self.grant(ask, 1))
        settle = QuotaSettle("n", 3, "w", 1, 5, 1, 0)
        self.assertEqual(actions, (Admit(1), SendSettle(settle)))
        again = self.spender.receive(EPOCH + 4 * MS, self.grant(ask, 1))
        self.assertEqual(again, ())

    def test_asks_before_it_refuses(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        self.spender.request(EPOCH, "w", 2)
        actions = self.spender.receive(EPOCH + MS, self.grant(ask, 0))
        self.assertEqual(
            actions, (RefuseQuota(1, 10 * MS, inside_rate=False),)
        )
        actions = self.spender.tick(EPOCH + 3 * MS)
        self.assertEqual(get_last_ask(actions).waiting, 1)

    def test_grant_expires_relative_to_the_time_of_its_ask(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        late = EPOCH + 99 * MS
        self.spender.receive(late, self.grant(ask, 3))
        just_before = EPOCH + 959 * MS
        # Another arrival prevents the unused tokens from being returned.
        self.spender.request(just_before - MS, "w", 2)
        self.assertIn(Admit(3), self.spender.request(just_before, "w", 3))
        ask = get_last_ask(self.spender.request(just_before, "w", 4))
        self.spender.receive(just_before + MS, self.grant(ask, 9))
        end = just_before + 960 * MS
        self.assertNotIn(Admit(5), self.spender.request(end, "w", 5))

    def test_lost_ask_is_abandoned_and_its_grant_unused(self) -> None:
        lost = get_last_ask(self.spender.request(EPOCH, "w", 1))
        now = EPOCH + 100 * MS
        ask = get_last_ask(self.spender.tick(now))
        self.assertEqual(ask.abandoned, lost.ask_id)
        self.assertEqual(self.spender.receive(now, self.grant(lost, 1)), ())
        actions = self.spender.receive(now, self.grant(ask, 1))
        self.assertIn(Admit(1), actions)

    def test_answer_to_an_earlier_incarnation_is_ignored(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        restarted = QuotaSpender("n", 4)
        restarted.request(EPOCH, "w", 1)
        self.assertEqual(restarted.receive(EPOCH, self.grant(ask, 1)), ())

    def test_held_request_is_refused_after_the_maximum_wait(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        self.spender.receive(EPOCH, self.grant(ask, 0, hold=1))
        actions = self.spender.tick(EPOCH + REQUEST_WAIT_MAX)
        self.assertIn(RefuseQuota(1, 10 * MS, inside_rate=True), actions)

    def test_cancelled_request_takes_no_token(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        self.spender.cancel("w", 1)
        actions = self.spender.receive(EPOCH, self.grant(ask, 1))
        self.assertNotIn(Admit(1), actions)
        settles = [
            action.settle.returned
            for action in self.spender.tick(EPOCH + 450 * MS)
            if isinstance(action, SendSettle)
        ]
        self.assertEqual(settles, [1])

    def test_shutdown_returns_all_tokens(self) -> None:
        ask = get_last_ask(self.spender.request(EPOCH, "w", 1))
        self.spender.receive(EPOCH, self.grant(ask, 3))
        settle = QuotaSettle("n", 3, "w", 1, 5, 1, 2)
        self.assertEqual(self.spender.close(), (SendSettle(settle),))


class QuotaFuzzTest(unittest.TestCase):
    """Guards against exceeding the rate by even one token in any window.

    Messages are lost, delayed, duplicated and reordered; nodes restart
    and are partitioned, owners fail over while the old one still
    answers, rate and burst are edited, and clocks drift by up to 1%.
    """

    def test_never_over_the_rate(self) -> None:
        for seed in iterate_seeds():
            # Nodes that hoard keep all tokens that they can get.
            hoard = seed % 2 == 1
            with self.subTest(seed=seed):
                fleet = run_faults(random.Random(seed), hoard=hoard)
                self.assertLessEqual(measure_overshoot(fleet), 0)


class QuotaFairnessTest(unittest.TestCase):
    """Guards against refusals inside the rate on a network without faults."""

    def test_small_workspace_over_many_nodes(self) -> None:
        rng = random.Random(1)
        names = [f"n{i}" for i in range(100)]
        clocks = dict.fromkeys(names, SkewedClock())
        workspace = Workspace("w", 5.0, 10)
        fleet = QuotaFleet(rng, workspace, Network(), clocks)
        start, when = 5 * SECOND, 5.0 * SECOND
        while (when := when + rng.expovariate(5.0) * SECOND) < 200 * SECOND:
            name = rng.choice(names)
            fleet.schedule_at(int(when), lambda name=name: fleet.request(name))  # type: ignore[misc]
        fleet.run(start + 220 * SECOND)
        inside_rate = find_inside_rate(fleet, 10)
        wrongly_refused = [
            outcome
            for outcome, is_inside in zip(
                fleet.outcomes, inside_rate, strict=True
            )
            if is_inside and not outcome.admitted
        ]
        self.assertLessEqual(len(wrongly_refused), len(fleet.outcomes) / 1000)
