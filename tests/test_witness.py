"""Tests of the votes of a witness."""

import random
import unittest
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import WitnessGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import (
    ELIGIBILITY_DELAY,
    OUTCOME_MEMORY_MAX_BYTES,
    Decision,
    Fence,
    FenceMark,
    Intent,
    OutcomeRecord,
    RecordKey,
    Vote,
    Witness,
    mint_request_id,
    parse_request_id,
)
from sequoiaseam.const import (
    CLOCK_SKEW_MAX,
    OUTCOME_BODY_MAX_BYTES,
    WITNESS_RETENTION,
    WITNESS_SHARDS,
)
from sequoiaseam.errors import ErrorCode, RefusalError

GROUP = WitnessGroup(1, ("w1", "w2", "w3"))
ELIGIBLE_AT = EPOCH + ELIGIBILITY_DELAY + timedelta(seconds=1)


def build_key(number: int = 0, minted: datetime = ELIGIBLE_AT) -> RecordKey:
    """Return a key whose request id was minted at ``minted``."""
    rng = random.Random(number)
    return RecordKey("coop", mint_request_id(minted, rng))


def build_intent(attempt: str = "a", **changes: Any) -> Intent:
    """Return the intent of an attempt, by default not idempotent."""
    key = build_key()
    intent = Intent(key, attempt, b"digest", "g", 1, "e", ELIGIBLE_AT, 1, 3)
    return replace(intent, **changes)


def build_outcome(
    key: RecordKey | None = None,
    attempt: str = "a",
    body: bytes = b"booked",
) -> OutcomeRecord:
    """Return the record of a completed attempt."""
    key = key or build_key()
    return OutcomeRecord(key, attempt, b"digest", 200, (), body)


class WitnessTest(unittest.TestCase):
    """Guards against granting two attempts of one request id."""

    def setUp(self) -> None:
        self.witness = Witness("w1", EPOCH)
        self.assign_all_shards(GROUP, EPOCH)

    def assign_all_shards(
        self, group: WitnessGroup, now: datetime = ELIGIBLE_AT
    ) -> None:
        groups = dict.fromkeys(range(WITNESS_SHARDS), group)
        self.witness.assign(now, groups)

    def request_vote(
        self,
        message: Intent | Fence,
        now: datetime = ELIGIBLE_AT,
    ) -> Vote:
        vote = self.witness.receive(now, fresh=True, message=message)
        assert vote is not None
        return vote

    def assert_decision(
        self,
        decision: Decision,
        message: Intent | Fence,
        now: datetime = ELIGIBLE_AT,
    ) -> None:
        self.assertIs(self.request_vote(message, now).decision, decision)

    def test_grants_one_attempt_and_supersedes_only_named(self) -> None:
        invalid_retry = build_intent("c", supersedes=("b",))
        valid_retry = build_intent("b", supersedes=("a",))
        self.assert_decision(Decision.GRANTED, build_intent("a"))
        self.assert_decision(Decision.GRANTED, build_intent("a"))
        self.assert_decision(Decision.DUPLICATE, invalid_retry)
        self.assertEqual(self.request_vote(valid_retry).attempts, 2)
        self.assert_decision(Decision.DUPLICATE, build_intent("a"))
        other = build_intent("d", body_digest=b"other")
        self.assert_decision(Decision.MISMATCH, other)

    def test_abstains_where_records_may_be_lost(self) -> None:
        def build_minted_intent(at: datetime) -> Intent:
            return build_intent(key=build_key(minted=at))

        early = EPOCH + ELIGIBILITY_DELAY
        cases = {
            "other epoch": (build_intent(epoch=2), ELIGIBLE_AT),
            "minted too early": (build_minted_intent(early), ELIGIBLE_AT),
            "dropped": (build_intent(), ELIGIBLE_AT + WITNESS_RETENTION),
            "future": (
                build_minted_intent(ELIGIBLE_AT + CLOCK_SKEW_MAX * 1.1),
                ELIGIBLE_AT,
            ),
            "malformed": (
                build_intent(key=RecordKey("coop", "7")),
                ELIGIBLE_AT,
            ),
        }
        for name, (intent, now) in cases.items():
            with self.subTest(name):
                self.assert_decision(Decision.ABSTAIN, intent, now)
        intent = build_intent()
        vote = self.witness.receive(ELIGIBLE_AT, fresh=False, message=intent)
        assert vote is not None
        self.assertIs(vote.decision, Decision.ABSTAIN)

    def test_keeps_eligibility_only_without_a_gap(self) -> None:
        three, two = ("w1", "w2", "w4"), ("w1", "w2")
        cases = {
            "next epoch": ((WitnessGroup(2, three),), Decision.GRANTED),
            "missed epoch": ((WitnessGroup(3, three),), Decision.ABSTAIN),
            "smaller group": ((WitnessGroup(2, two),), Decision.ABSTAIN),
            "removed and returned": (
                (WitnessGroup(2, ("w2", "w3", "w4")), WitnessGroup(3, three)),
                Decision.ABSTAIN,
            ),
        }
        for name, (groups, decision) in cases.items():
            with self.subTest(name):
                self.setUp()
                for group in groups:
                    self.assign_all_shards(group)
                intent = build_intent(epoch=groups[-1].epoch)
                self.assert_decision(decision, intent)

    def test_counts_attempts_of_idempotent_requests(self) -> None:
        for name, decision in (
            ("a", Decision.GRANTED),
            ("b", Decision.GRANTED),
            ("c", Decision.EXHAUSTED),
        ):
            intent = build_intent(name, idempotent=True, limit=2)
            self.assert_decision(decision, intent)

    def test_fence_stops_attempts_not_proved_to_be_later(self) -> None:
        fence = Fence(build_key(), "f1", "e", 1)
        self.assert_decision(Decision.UNSEEN, fence)
        later = ELIGIBLE_AT + timedelta(seconds=2)
        self.assertEqual(
            self.request_vote(build_intent("a"), later).fence_age,
            timedelta(seconds=2),
        )
        for mark, decision in (
            (FenceMark("w2", "f1"), Decision.FENCED),
            (FenceMark("w1", "f0"), Decision.FENCED),
            (FenceMark("w1", "f1"), Decision.GRANTED),
        ):
            intent = build_intent("b", marks=(mark,))
            self.assert_decision(decision, intent)
        self.assertEqual(self.request_vote(fence).holders, ("b",))
        proved_fence = replace(fence, unstarted=("b",))
        self.assert_decision(Decision.UNSEEN, proved_fence)

    def test_returns_outcome_even_if_the_intent_was_lost(self) -> None:
        outcome = build_outcome()
        self.witness.receive(ELIGIBLE_AT, fresh=True, message=outcome)
        self.assertEqual(self.request_vote(build_intent("b")).outcome, outcome)
        other = build_intent("b", body_digest=b"other")
        self.assert_decision(Decision.MISMATCH, other)

    def test_outcome_bodies_are_bounded(self) -> None:
        body = b"x" * OUTCOME_BODY_MAX_BYTES
        count = OUTCOME_MEMORY_MAX_BYTES // OUTCOME_BODY_MAX_BYTES + 1
        for number in range(count):
            outcome = build_outcome(build_key(number), body=body)
            self.witness.receive(ELIGIBLE_AT, fresh=True, message=outcome)
        for number, kept in ((0, None), (count - 1, body)):
            found = self.request_vote(build_intent("b", key=build_key(number)))
            assert found.outcome is not None
            self.assertEqual(found.outcome.body, kept)

    def test_drops_records_after_retention(self) -> None:
        self.request_vote(build_intent("a"))
        for minutes, count in ((5, 1), (11, 0)):
            self.witness.tick(ELIGIBLE_AT + timedelta(minutes=minutes))
            self.assertEqual(len(self.witness), count)


class FirstGroupTest(unittest.TestCase):
    """Guards against early votes by a witness that may have lost grants.

    Before ELIGIBILITY_DELAY, only the incarnation named in the first
    group may vote, as a restarted witness has lost its records.
    """

    def test_only_first_assigned_incarnation_votes_at_once(self) -> None:
        chosen = WitnessGroup(1, ("w1", "w2", "w3"), (7, 8, 9))
        cases = {
            "chosen run": (chosen, 7, Decision.GRANTED),
            "restarted": (chosen, 70, Decision.ABSTAIN),
            "later group": (replace(chosen, epoch=2), 7, Decision.ABSTAIN),
            "no incarnations": (GROUP, 7, Decision.ABSTAIN),
        }
        for name, (group, incarnation, decision) in cases.items():
            with self.subTest(name):
                witness = Witness("w1", EPOCH, incarnation)
                witness.assign(
                    EPOCH,
                    dict.fromkeys(range(WITNESS_SHARDS), group),
                )
                vote = witness.receive(
                    EPOCH,
                    fresh=True,
                    message=build_intent(
                        key=build_key(minted=EPOCH),
                        epoch=group.epoch,
                    ),
                )
                self.assertIsNotNone(vote)
                if vote is not None:
                    self.assertIs(vote.decision, decision)


class RequestIdTest(unittest.TestCase):
    """Guards against accepting ids that witness records don't cover."""

    def test_parses_minted_ids_and_refuses_uncovered_ones(self) -> None:
        rng = random.Random(1)
        request_id = mint_request_id(ELIGIBLE_AT, rng)
        quoted = f'"{request_id.upper()}"'
        self.assertEqual(parse_request_id(quoted, ELIGIBLE_AT), request_id)
        future = mint_request_id(ELIGIBLE_AT + CLOCK_SKEW_MAX * 1.1, rng)
        old = mint_request_id(ELIGIBLE_AT - WITNESS_RETENTION, rng)
        cases = {
            "": ErrorCode.ID_MALFORMED,
            "6f9619ff-8b86-4011-b42d-00cf4fc964ff": ErrorCode.ID_MALFORMED,
            "ffffffff-ffff-7fff-bfff-ffffffffffff": ErrorCode.ID_MALFORMED,
            future: ErrorCode.ID_MALFORMED,
            old: ErrorCode.ID_EXPIRED,
        }
        for text, code in cases.items():
            with self.subTest(text):
                with self.assertRaises(RefusalError) as caught:
                    parse_request_id(text, ELIGIBLE_AT)
                self.assertIs(caught.exception.code, code)
                is_not_run = caught.exception.verdict is Verdict.NOT_RUN
                self.assertEqual(is_not_run, text[:1] in ("", "6"))
