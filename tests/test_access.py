"""Tests of the proofs that authenticate connections."""

import random
import unittest
from datetime import timedelta

from sequoiaseam import _access
from sequoiaseam._access import Credentials, Identity, Role, Verifier
from sequoiaseam._clock import EPOCH
from sequoiaseam.errors import ErrorCode, SeamError

FLEET_SECRET = b"fleet-secret-0123456"
NEWER_FLEET_SECRET = b"fleet-secret-newer-1"
OPERATOR_SECRET = b"operator-secret-0123"


class AccessTest(unittest.TestCase):
    """Guards against invalid proofs, replays and wrong roles."""

    def setUp(self) -> None:
        self.credentials = Credentials((FLEET_SECRET,), (OPERATOR_SECRET,))
        self.verifier = Verifier(self.credentials)
        self.proof = self.credentials.sign(EPOCH, Role.FLEET, "node.1", "n")

    def assert_denied(self, proof: str, after: float = 0.0) -> None:
        with self.assertRaises(SeamError) as caught:
            self.verifier.verify(EPOCH + timedelta(seconds=after), proof)
        self.assertIs(caught.exception.code, ErrorCode.ACCESS_DENIED)

    def test_accepts_a_proof_once(self) -> None:
        identity = self.verifier.verify(EPOCH, self.proof)
        self.assertEqual(identity, Identity(Role.FLEET, "node.1"))
        # A replay is refused both before and after the proof expires.
        for after in (0.0, 5.0, 29.9, 30.0, 31.0, 60.0):
            self.assert_denied(self.proof, after)

    def test_a_proof_from_a_fast_clock_is_still_used_once(self) -> None:
        ahead = EPOCH + timedelta(seconds=5)
        proof = self.credentials.sign(ahead, Role.FLEET, "n", "x")
        self.verifier.verify(EPOCH, proof)
        for after in (0.0, 30.0, 34.9, 35.0, 40.0):
            self.assert_denied(proof, after)

    def test_refuses_expired_and_future_proofs(self) -> None:
        for after in (-5.1, 30.1):
            self.assert_denied(self.proof, after)

    def test_roles_are_separate(self) -> None:
        self.assert_denied(self.proof.replace(".fleet.", ".operator."))
        other = Credentials((OPERATOR_SECRET,), (FLEET_SECRET,))
        self.assert_denied(other.sign(EPOCH, Role.OPERATOR, "ana", "n"))
        proof = self.credentials.sign(EPOCH, Role.OPERATOR, "ana", "n")
        identity = self.verifier.verify(EPOCH, proof)
        self.assertIs(identity.role, Role.OPERATOR)

    def test_rotation_accepts_the_previous_secret(self) -> None:
        verifier = Verifier(
            Credentials((NEWER_FLEET_SECRET, FLEET_SECRET), (OPERATOR_SECRET,))
        )
        verifier.verify(EPOCH, self.proof)
        old = Verifier(Credentials((NEWER_FLEET_SECRET,), (OPERATOR_SECRET,)))
        with self.assertRaises(SeamError):
            old.verify(EPOCH, self.proof)

    def test_any_changed_character_is_refused(self) -> None:
        rng = random.Random(1)
        for position in range(len(self.proof)):
            old = self.proof[position]
            new = rng.choice([c for c in "0aB.-=_é\n" if c != old])
            changed = self.proof[:position] + new + self.proof[position + 1 :]
            with self.subTest(position=position, new=new):
                self.assert_denied(changed)
        for malformed in ("", ".", "....", "1.fleet.a.9e9.a.b", "x" * 5000):
            self.assert_denied(malformed)

    def test_memory_is_bounded_and_freed(self) -> None:
        original_max, _access.USED_PROOFS_MAX = _access.USED_PROOFS_MAX, 3  # type: ignore[misc]
        self.addCleanup(setattr, _access, "USED_PROOFS_MAX", original_max)
        for number in range(3):
            proof = self.credentials.sign(EPOCH, Role.FLEET, "n", f"{number}")
            self.verifier.verify(EPOCH, proof)
        self.assert_denied(self.credentials.sign(EPOCH, Role.FLEET, "n", "9"))
        later = EPOCH + timedelta(seconds=36)
        proof = self.credentials.sign(later, Role.FLEET, "n", "10")
        self.verifier.verify(later, proof)

    def test_refuses_weak_and_shared_secrets(self) -> None:
        for fleet, operators in (
            ((b"short",), ()),
            ((FLEET_SECRET,), (FLEET_SECRET,)),
        ):
            with self.assertRaises(SeamError) as caught:
                Credentials(fleet, operators)
            code = caught.exception.code
            self.assertIs(code, ErrorCode.SETTING_INVALID)
