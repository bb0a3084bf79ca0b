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
    ELIGIBLE_AT,
    GROUP,
    build_intent,
    build_key,
    build_outcome,
)

DEADLINE = ELIGIBLE_AT + timedelta(seconds=1)
CALL_EXPIRED_AT = ELIGIBLE_AT + CALL_LIFETIME + CLOCK_SKEW_MAX


def build_vote(
    witness: str,
    decision: Decision = Decision.GRANTED,
    attempt: str = "a",
    **changes: Any,
) -> Vote:
    """Return a vote on the default request."""
    vote = Vote(build_key(), attempt, decision, witness)
    return replace(vote, **changes)


class AttemptTrackerTest(unittest.TestCase):
    """Guards against attempts that start twice or without a majority."""

    def setUp(self) -> None:
        self.tracker = AttemptTracker("g", 1)
        self.plan = AttemptPlan(build_intent(), GROUP)

    def register_call(
        self,
        plan: AttemptPlan | None = None,
        now: datetime = ELIGIBLE_AT,
    ) -> tuple[AttemptAction, ...]:
        return self.tracker.register_call(now, plan or self.plan, DEADLINE)

    def record_vote(
        self, *args: Any, **changes: Any
    ) -> tuple[AttemptAction, ...]:
        return self.tracker.record_vote(
            ELIGIBLE_AT, build_vote(*args, **changes)
        )

    def grant_by_majority(self) -> None:
        """Record grants of a majority of the witnesses."""
        self.record_vote("w1", attempts=1)
        self.record_vote("w2", attempts=1)

    def register_denied_call(self, *votes: Vote) -> Denied:
        """Register a call and return the denial caused by the last vote."""
        self.setUp()
        self.register_call()
        for vote in votes[:-1]:
            self.assertEqual(self.tracker.record_vote(ELIGIBLE_AT, vote), ())
        (denied,) = self.tracker.record_vote(ELIGIBLE_AT, votes[-1])
        assert isinstance(denied, Denied)
        return denied

    def test_starts_once_with_a_majority(self) -> None:
        self.assertEqual(self.register_call(), ())
        self.assertFalse(self.tracker.start(ELIGIBLE_AT, "a"))
        for witness in ("w1", "w1", "stranger"):
            self.assertEqual(self.record_vote(witness, attempts=1), ())
        self.assertEqual(self.record_vote("w2", attempts=1), (Granted("a"),))
        self.assertTrue(self.tracker.start(ELIGIBLE_AT, "a"))
        self.assertFalse(self.tracker.start(ELIGIBLE_AT, "a"))
        self.assertFalse(self.tracker.refuse(ELIGIBLE_AT, "a"))
        self.tracker.complete(ELIGIBLE_AT, "a", 200, (), b"")
        self.assertEqual(self.register_call(), ())
        self.assertFalse(self.tracker.start(ELIGIBLE_AT, "a"))

    def test_counts_votes_that_arrive_before_the_call(self) -> None:
        self.grant_by_majority()
        self.assertEqual(self.register_call(), (Granted("a"),))

    def test_denies_with_the_code_of_the_votes(self) -> None:
        cases = {
            Decision.DUPLICATE: ErrorCode.DUPLICATE,
            Decision.MISMATCH: ErrorCode.ID_REUSED,
            Decision.EXHAUSTED: ErrorCode.RETRIES_EXHAUSTED,
            Decision.ABSTAIN: ErrorCode.NO_WITNESSES,
            Decision.FENCED: ErrorCode.NO_WITNESSES,
        }
        for decision, code in cases.items():
            with self.subTest(decision):
                denied = self.register_denied_call(
                    build_vote("w1", decision),
                    build_vote("w2", decision),
                )
                self.assertIs(denied.code, code)
                self.assertIs(denied.verdict, Verdict.MAY_HAVE_RUN)
                self.assertEqual(self.register_call(), ())
                self.assertFalse(self.tracker.start(ELIGIBLE_AT, "a"))

    def test_grants_of_different_slots_do_not_add_up(self) -> None:
        plan = AttemptPlan(build_intent(idempotent=True), GROUP)
        self.register_call(plan)
        self.assertEqual(self.record_vote("w1", attempts=1), ())
        self.assertEqual(self.record_vote("w2", attempts=2), ())
        self.assertEqual(self.record_vote("w3", attempts=2), (Granted("a"),))

    def test_denial_carries_the_outcome(self) -> None:
        denied = self.register_denied_call(
            build_vote("w1", Decision.ABSTAIN),
            build_vote("w2", Decision.DUPLICATE, outcome=build_outcome()),
        )
        self.assertIs(denied.verdict, Verdict.RAN)
        self.assertEqual(denied.outcome, build_outcome())

    def test_refused_or_late_attempt_never_starts(self) -> None:
        for end_attempt in (
            lambda: self.tracker.refuse(ELIGIBLE_AT, "a"),
            lambda: self.tracker.tick(DEADLINE),
        ):
            self.setUp()
            self.register_call()
            self.assertTrue(end_attempt())
            self.grant_by_majority()
            self.assertFalse(self.tracker.start(ELIGIBLE_AT, "a"))

    def test_proves_nothing_about_calls_it_may_have_dropped(self) -> None:
        old_intent = replace(self.plan.intent, guard_incarnation=0)
        self.register_call()
        self.tracker.refuse(ELIGIBLE_AT, "a")
        self.tracker.tick(CALL_EXPIRED_AT - timedelta(seconds=1))
        self.assertEqual(self.register_call(), ())
        self.tracker.tick(CALL_EXPIRED_AT)
        before = ELIGIBLE_AT - CLOCK_SKEW_MAX - timedelta(seconds=1)
        for plan, now in (
            (AttemptPlan(old_intent, GROUP), ELIGIBLE_AT),
            (self.plan, CALL_EXPIRED_AT),
            (AttemptPlan(build_intent("b"), GROUP), before),
        ):
            (denied,) = self.register_call(plan, now)
            assert isinstance(denied, Denied)
            self.assertFalse(denied.unstarted)

    def test_own_id_starts_without_witnesses_and_once(self) -> None:
        plan = AttemptPlan(build_intent(), None)
        self.assertEqual(self.register_call(plan), (Granted("a"),))
        self.assertTrue(self.tracker.start(ELIGIBLE_AT, "a"))
        self.assertEqual(self.register_call(plan), ())

    def test_outcome_keeps_only_small_bodies(self) -> None:
        for excess, kept in ((0, True), (1, False)):
            self.setUp()
            self.grant_by_majority()
            self.register_call()
            self.tracker.start(ELIGIBLE_AT, "a")
            body = bytes(OUTCOME_BODY_MAX_BYTES + excess)
            record = self.tracker.complete(ELIGIBLE_AT, "a", 200, (), body)
            assert record is not None
            self.assertEqual(record.body is not None, kept)


class AttemptMessageTest(unittest.TestCase):
    """Guards against messages that don't survive encoding and decoding."""

    def test_round_trip(self) -> None:
        codec = Codec((*WITNESS_MESSAGES, *ATTEMPT_MESSAGES))
        seen = FenceSeen("w1", "f", timedelta(seconds=1.5))
        denied = Denied("a", ErrorCode.DUPLICATE, Verdict.RAN, fences=(seen,))
        vote = build_vote("w1", outcome=build_outcome())
        for message in (AttemptPlan(build_intent(), GROUP), vote, denied):
            self.assertEqual(codec.decode(codec.encode(message)), message)


class FenceTrackerTest(unittest.TestCase):
    """Guards against the verdict "not run" without proof."""

    def compute_verdict(
        self, *votes: Vote, now: datetime = ELIGIBLE_AT
    ) -> Verdict:
        tracker = FenceTracker()
        fence = Fence(build_key(), "f", "e", 1)
        tracker.register_fence(ELIGIBLE_AT, fence, GROUP, DEADLINE)
        actions = [a for vote in votes for a in tracker.record_vote(now, vote)]
        actions += tracker.tick(ELIGIBLE_AT + FENCE_TIMEOUT)
        (fenced,) = actions
        return fenced.verdict

    def test_verdict_by_the_votes(self) -> None:
        # Each vote is a witness and "?" if it abstains, "-" if it has seen
        # no attempt, or the attempt that holds its grant.
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
                self.assertIs(self.compute_verdict(*votes), verdict)

    def test_outcome_proves_a_run(self) -> None:
        outcome = build_outcome(attempt="b")
        vote = build_vote("w1", Decision.DUPLICATE, "f", outcome=outcome)
        self.assertIs(self.compute_verdict(vote), Verdict.RAN)

    def test_late_votes_prove_nothing(self) -> None:
        votes = [build_vote(w, Decision.UNSEEN, "f") for w in ("w1", "w2")]
        late = self.compute_verdict(*votes, now=ELIGIBLE_AT + FENCE_TIMEOUT)
        self.assertIs(late, Verdict.MAY_HAVE_RUN)


class RequestAttemptsTest(unittest.TestCase):
    """Guards against retries beyond the limit or while a run is possible."""

    def open_request(self, limit: int = 3, **changes: Any) -> RequestAttempts:
        options = {"idempotent": False, "has_caller_id": True, **changes}
        entry = EntryAttempts("e", 1)
        return entry.open(
            ELIGIBLE_AT, build_key(), b"d", limit=limit, **options
        )

    def test_supersedes_only_attempts_proved_unstarted(self) -> None:
        request = self.open_request()
        first = request.plan("g", 1, GROUP).intent
        with self.assertRaises(ValueError):
            request.plan("g", 1, GROUP)
        request.record_unstarted(first.attempt)
        second = request.plan("h", 1, GROUP).intent
        self.assertEqual(second.supersedes, (first.attempt,))
        code, verdict = ErrorCode.CONNECTION_LOST, Verdict.MAY_HAVE_RUN
        unproved = Denied(second.attempt, code, verdict, unstarted=False)
        self.assertFalse(request.record_denial(ELIGIBLE_AT, unproved))
        self.assertFalse(request.can_retry())
        self.assertEqual(
            request.create_fence(GROUP).unstarted, (first.attempt,)
        )
        request.record_unstarted(second.attempt)
        self.assertFalse(request.can_retry())

    def test_limit_bounds_attempts(self) -> None:
        request = self.open_request(2, idempotent=True)
        request.plan("g", 1, GROUP)
        request.plan("g", 1, GROUP)
        self.assertFalse(request.can_retry())

    def test_own_id_gets_a_verdict_without_a_fence(self) -> None:
        request = self.open_request(has_caller_id=False)
        plan = request.plan("g", 1, None)
        with self.assertRaises(ValueError):
            self.open_request().plan("g", 1, None)
        self.assertIs(request.find_known_verdict(), Verdict.MAY_HAVE_RUN)
        request.record_unstarted(plan.intent.attempt)
        self.assertIs(request.find_known_verdict(), Verdict.NOT_RUN)
        self.assertIsNone(self.open_request().find_known_verdict())

    def test_passes_only_fences_older_than_the_request(self) -> None:
        now = ELIGIBLE_AT + timedelta(seconds=1)
        min_age = FENCE_TIMEOUT + timedelta(seconds=1)
        for factor, passed in ((0.99, False), (1.1, True)):
            request = self.open_request()
            denied = Denied(
                request.plan("g", 1, GROUP).intent.attempt,
                ErrorCode.NO_WITNESSES,
                Verdict.MAY_HAVE_RUN,
                fences=(FenceSeen("w1", "f0", min_age * factor),),
            )
            self.assertEqual(request.record_denial(now, denied), passed)
            marks = request.plan("g", 1, GROUP).intent.marks
            self.assertEqual(len(marks), int(passed))
