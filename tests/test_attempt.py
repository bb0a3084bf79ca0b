"""Tests of at-most-once execution on the entry and executing nodes."""

import unittest
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any

from sequoiaseam._attempt import (
    ATTEMPT_MESSAGES,
    CALL_LIFETIME,
    FENCE_TIMEOUT,
    AttemptAction,
    AttemptPlan,
    AttemptTracker,
    Denied,
    EntryAttempts,
    FenceSeen,
    FenceTracker,
    Granted,
    RequestAttempts,
)
from sequoiaseam._codec import Codec
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import WITNESS_MESSAGES, Decision, Fence, Vote
from sequoiaseam.const import CLOCK_SKEW_MAX, OUTCOME_BODY_MAX_BYTES
from sequoiaseam.errors import ErrorCode
from tests.test_witness import (
    GROUP,
    READY,
    build_intent,
    build_key,
    build_outcome,
)

DEADLINE = READY + timedelta(seconds=1)
LATE = READY + CALL_LIFETIME + CLOCK_SKEW_MAX


def build_vote(
    witness: str,
    decision: Decision = Decision.GRANTED,
    attempt: str = "a",
    **changes: Any,
) -> Vote:
    """Return a witness's vote."""
    vote = Vote(build_key(), attempt, decision, witness)
    return replace(vote, **changes)


class AttemptTrackerTest(unittest.TestCase):
    """Guards against starts without a majority and repeated starts."""

    def setUp(self) -> None:
        self.tracker = AttemptTracker("g", 1)
        self.plan = AttemptPlan(build_intent(), GROUP)

    def expect(
        self,
        plan: AttemptPlan | None = None,
        now: datetime = READY,
    ) -> tuple[AttemptAction, ...]:
        return self.tracker.register_call(now, plan or self.plan, DEADLINE)

    def vote(self, *args: Any, **changes: Any) -> tuple[AttemptAction, ...]:
        return self.tracker.record_vote(READY, build_vote(*args, **changes))

    def grant(self) -> None:
        """Deliver grants of a majority for the attempt."""
        self.vote("w1", attempts=1)
        self.vote("w2", attempts=1)

    def deny(self, *votes: Vote) -> Denied:
        """Return the denial that the last of the votes leads to."""
        self.setUp()
        self.expect()
        for vote in votes[:-1]:
            self.assertEqual(self.tracker.record_vote(READY, vote), ())
        (denied,) = self.tracker.record_vote(READY, votes[-1])
        assert isinstance(denied, Denied)
        return denied

    def test_starts_once_with_a_majority(self) -> None:
        self.assertEqual(self.expect(), ())
        self.assertFalse(self.tracker.start(READY, "a"))
        for witness in ("w1", "w1", "stranger"):
            self.assertEqual(self.vote(witness, attempts=1), ())
        self.assertEqual(self.vote("w2", attempts=1), (Granted("a"),))
        self.assertTrue(self.tracker.start(READY, "a"))
        self.assertFalse(self.tracker.start(READY, "a"))
        self.assertFalse(self.tracker.refuse(READY, "a"))
        self.tracker.complete(READY, "a", 200, (), b"")
        self.assertEqual(self.expect(), ())
        self.assertFalse(self.tracker.start(READY, "a"))

    def test_counts_votes_ahead_of_the_call(self) -> None:
        self.grant()
        self.assertEqual(self.expect(), (Granted("a"),))

    def test_denies_by_the_votes(self) -> None:
        cases = {
            Decision.DUPLICATE: ErrorCode.DUPLICATE,
            Decision.MISMATCH: ErrorCode.ID_REUSED,
            Decision.EXHAUSTED: ErrorCode.RETRIES_EXHAUSTED,
            Decision.ABSTAIN: ErrorCode.NO_WITNESSES,
            Decision.FENCED: ErrorCode.NO_WITNESSES,
        }
        for decision, code in cases.items():
            with self.subTest(decision):
                denied = self.deny(
                    build_vote("w1", decision),
                    build_vote("w2", decision),
                )
                self.assertIs(denied.code, code)
                self.assertIs(denied.verdict, Verdict.MAY_HAVE_RUN)
                self.assertEqual(self.expect(), ())
                self.assertFalse(self.tracker.start(READY, "a"))

    def test_grants_of_different_slots_do_not_add_up(self) -> None:
        plan = AttemptPlan(build_intent(idempotent=True), GROUP)
        self.expect(plan)
        self.assertEqual(self.vote("w1", attempts=1), ())
        self.assertEqual(self.vote("w2", attempts=2), ())
        self.assertEqual(self.vote("w3", attempts=2), (Granted("a"),))

    def test_denial_carries_the_outcome(self) -> None:
        denied = self.deny(
            build_vote("w1", Decision.ABSTAIN),
            build_vote("w2", Decision.DUPLICATE, outcome=build_outcome()),
        )
        self.assertIs(denied.verdict, Verdict.RAN)
        self.assertEqual(denied.outcome, build_outcome())

    def test_refused_or_late_attempt_never_starts(self) -> None:
        for end in (
            lambda: self.tracker.refuse(READY, "a"),
            lambda: self.tracker.tick(DEADLINE),
        ):
            self.setUp()
            self.expect()
            self.assertTrue(end())
            self.grant()
            self.assertFalse(self.tracker.start(READY, "a"))

    def test_proves_nothing_of_calls_it_may_have_forgotten(self) -> None:
        old = replace(self.plan.intent, guard_incarnation=0)
        self.expect()
        self.tracker.refuse(READY, "a")
        self.tracker.tick(LATE - timedelta(seconds=1))
        self.assertEqual(self.expect(), ())
        self.tracker.tick(LATE)
        before = READY - CLOCK_SKEW_MAX - timedelta(seconds=1)
        for plan, now in (
            (AttemptPlan(old, GROUP), READY),
            (self.plan, LATE),
            (AttemptPlan(build_intent("b"), GROUP), before),
        ):
            (denied,) = self.expect(plan, now)
            assert isinstance(denied, Denied)
            self.assertFalse(denied.unstarted)

    def test_own_id_starts_without_witnesses_and_once(self) -> None:
        plan = AttemptPlan(build_intent(), None)
        self.assertEqual(self.expect(plan), (Granted("a"),))
        self.assertTrue(self.tracker.start(READY, "a"))
        self.assertEqual(self.expect(plan), ())

    def test_outcome_keeps_only_small_bodies(self) -> None:
        for excess, kept in ((0, True), (1, False)):
            self.setUp()
            self.grant()
            self.expect()
            self.tracker.start(READY, "a")
            body = bytes(OUTCOME_BODY_MAX_BYTES + excess)
            record = self.tracker.complete(READY, "a", 200, (), body)
            assert record is not None
            self.assertEqual(record.body is not None, kept)


class AttemptMessageTest(unittest.TestCase):
    """Guards against messages that change when encoded and decoded."""

    def test_round_trip(self) -> None:
        codec = Codec((*WITNESS_MESSAGES, *ATTEMPT_MESSAGES))
        seen = FenceSeen("w1", "f", timedelta(seconds=1.5))
        denied = Denied("a", ErrorCode.DUPLICATE, Verdict.RAN, fences=(seen,))
        vote = build_vote("w1", outcome=build_outcome())
        for message in (AttemptPlan(build_intent(), GROUP), vote, denied):
            self.assertEqual(codec.decode(codec.encode(message)), message)


class FenceTrackerTest(unittest.TestCase):
    """Guards against a "not run" verdict without a proof."""

    def judge(self, *votes: Vote, now: datetime = READY) -> Verdict:
        tracker = FenceTracker()
        fence = Fence(build_key(), "f", "e", 1)
        tracker.register_fence(READY, fence, GROUP, DEADLINE)
        actions = [a for vote in votes for a in tracker.record_vote(now, vote)]
        actions += tracker.tick(READY + FENCE_TIMEOUT)
        (fenced,) = actions
        return fenced.verdict

    def test_verdict_by_the_votes(self) -> None:
        # "?" abstains, "-" has seen no attempt, letters are holders.
        cases = {
            "w1- w2-": Verdict.NOT_RUN,
            "w1-": Verdict.MAY_HAVE_RUN,
            "w1- w2? w3b": Verdict.MAY_HAVE_RUN,
            "w1b w2b": Verdict.MAY_HAVE_RUN,
            "w1b w2c w3-": Verdict.NOT_RUN,
            "w1- w1- w9- w8-": Verdict.MAY_HAVE_RUN,
        }
        decisions = {"?": Decision.ABSTAIN, "-": Decision.UNSEEN}
        for text, verdict in cases.items():
            votes = [
                build_vote(
                    part[:2],
                    decisions.get(part[2], Decision.DUPLICATE),
                    "f",
                    holders=(part[2],) if part[2].isalpha() else (),
                )
                for part in text.split()
            ]
            with self.subTest(text):
                self.assertIs(self.judge(*votes), verdict)

    def test_outcome_proves_a_run(self) -> None:
        outcome = build_outcome(attempt="b")
        vote = build_vote("w1", Decision.DUPLICATE, "f", outcome=outcome)
        self.assertIs(self.judge(vote), Verdict.RAN)

    def test_late_votes_prove_nothing(self) -> None:
        votes = [build_vote(w, Decision.UNSEEN, "f") for w in ("w1", "w2")]
        late = self.judge(*votes, now=READY + FENCE_TIMEOUT)
        self.assertIs(late, Verdict.MAY_HAVE_RUN)


class RequestAttemptsTest(unittest.TestCase):
    """Guards against retries without a proof or beyond the limit."""

    def open(self, limit: int = 3, **changes: Any) -> RequestAttempts:
        options = {"idempotent": False, "has_caller_id": True, **changes}
        entries = EntryAttempts("e", 1)
        return entries.open(READY, build_key(), b"d", limit=limit, **options)

    def test_supersedes_only_what_is_proved(self) -> None:
        request = self.open()
        first = request.plan("g", 1, GROUP).intent
        with self.assertRaises(ValueError):
            request.plan("g", 1, GROUP)
        request.record_unstarted(first.attempt)
        second = request.plan("h", 1, GROUP).intent
        self.assertEqual(second.supersedes, (first.attempt,))
        code, verdict = ErrorCode.CONNECTION_LOST, Verdict.MAY_HAVE_RUN
        unsure = Denied(second.attempt, code, verdict, unstarted=False)
        self.assertFalse(request.record_denial(READY, unsure))
        self.assertFalse(request.can_retry())
        self.assertEqual(
            request.create_fence(GROUP).unstarted, (first.attempt,)
        )
        request.record_unstarted(second.attempt)
        self.assertFalse(request.can_retry())

    def test_limit_bounds_attempts(self) -> None:
        request = self.open(2, idempotent=True)
        request.plan("g", 1, GROUP)
        request.plan("g", 1, GROUP)
        self.assertFalse(request.can_retry())

    def test_own_id_is_judged_without_a_fence(self) -> None:
        request = self.open(has_caller_id=False)
        plan = request.plan("g", 1, None)
        with self.assertRaises(ValueError):
            self.open().plan("g", 1, None)
        self.assertIs(request.find_known_verdict(), Verdict.MAY_HAVE_RUN)
        request.record_unstarted(plan.intent.attempt)
        self.assertIs(request.find_known_verdict(), Verdict.NOT_RUN)
        self.assertIsNone(self.open().find_known_verdict())

    def test_passes_only_fences_older_than_the_request(self) -> None:
        now = READY + timedelta(seconds=1)
        least = FENCE_TIMEOUT + timedelta(seconds=1)
        for factor, passed in ((0.99, False), (1.1, True)):
            request = self.open()
            denied = Denied(
                request.plan("g", 1, GROUP).intent.attempt,
                ErrorCode.NO_WITNESSES,
                Verdict.MAY_HAVE_RUN,
                fences=(FenceSeen("w1", "f0", least * factor),),
            )
            self.assertEqual(request.record_denial(now, denied), passed)
            marks = request.plan("g", 1, GROUP).intent.marks
            self.assertEqual(len(marks), int(passed))
