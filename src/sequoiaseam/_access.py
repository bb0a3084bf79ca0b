"""Authentication of connections by proofs of a shared secret.

A proof contains role, name, time, nonce and an HMAC-SHA-256 of them. It
shows that the peer knows a shared secret; it does not encrypt anything.
"""

import base64
import binascii
import enum
import hashlib
import hmac
from collections import deque
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Final, Protocol

from sequoiaseam.const import CLOCK_SKEW_MAX
from sequoiaseam.errors import ErrorCode, SeamError

PROOF_VALIDITY: Final = timedelta(seconds=30)
SECRET_BYTES_MIN: Final = 16  # bytes
NAME_LENGTH_MAX: Final = 200  # characters
NONCE_LENGTH_MAX: Final = 64  # characters
PROOF_LENGTH_LIMIT: Final = 1024  # characters
# Maximum number of used proofs remembered to detect replays. Only proofs
# with a valid MAC are remembered, so only holders of a secret can reach
# the limit. 1,200 nodes that all reconnect several times within 30 s stay
# well below it.
USED_PROOFS_MAX: Final = 50_000
PROOF_VERSION: Final = "1"
_EPOCH: Final = datetime(1970, 1, 1, tzinfo=UTC)


class Role(enum.Enum):
    """Permissions of a peer: fleet member, or operator who may edit."""

    FLEET = "fleet"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Identity:
    """Role and name of the peer that opened a connection."""

    role: Role
    name: str


class Credentials:
    """Shared secrets by role; the current one, listed first, signs.

    Raise ``SeamError`` SETTING_INVALID if a secret is too short, or if
    the roles share one, as a node could then edit as an operator.
    """

    def __init__(
        self,
        fleet: tuple[bytes, ...],
        operators: tuple[bytes, ...] = (),
    ) -> None:
        if any(
            len(secret) < SECRET_BYTES_MIN for secret in (*fleet, *operators)
        ):
            raise SeamError(
                ErrorCode.SETTING_INVALID,
                f"a secret is shorter than {SECRET_BYTES_MIN} bytes",
            )
        if set(fleet) & set(operators):
            raise SeamError(
                ErrorCode.SETTING_INVALID,
                "fleet and operators must not share a secret",
            )
        self._secrets = {Role.FLEET: fleet, Role.OPERATOR: operators}

    def sign(self, now: datetime, role: Role, name: str, nonce: str) -> str:
        """Return a signed proof.

        Raise SeamError ACCESS_DENIED if the role has no secret.
        """
        secrets = self._secrets[role]
        if not secrets:
            raise SeamError(
                ErrorCode.ACCESS_DENIED,
                f"no secret for the role {role.value}",
            )
        payload = _format_payload(role, name, now, nonce)
        return f"{payload}.{_compute_mac(secrets[0], payload)}"

    def check(self, role: Role, payload: str, mac: str) -> bool:
        """Return whether any secret of the role produces the MAC."""
        matches = [
            hmac.compare_digest(_compute_mac(secret, payload), mac)
            for secret in self._secrets[role]
        ]
        return any(matches)


class Verifier:
    """Verify proofs, each valid for one use within 30 s of signing."""

    def __init__(self, credentials: Credentials) -> None:
        self._credentials = credentials
        self._used_payloads: set[str] = set()
        self._expirations: deque[tuple[datetime, str]] = deque()

    def verify(self, now: datetime, proof: str) -> Identity:
        """Return the peer; raise SeamError ACCESS_DENIED if invalid."""
        payload, _, mac = proof.rpartition(".")
        parsed = (
            _parse_payload(payload)
            if len(proof) < PROOF_LENGTH_LIMIT
            else None
        )
        if parsed is None or not mac.isascii():
            raise _create_denial("malformed proof")
        identity, signed_at = parsed
        if not self._credentials.check(identity.role, payload, mac):
            raise _create_denial("wrong secret")
        if not now - PROOF_VALIDITY <= signed_at <= now + CLOCK_SKEW_MAX:
            raise _create_denial("the proof has expired or is from the future")
        self._record_use(now, signed_at, payload)
        return identity

    def _record_use(
        self,
        now: datetime,
        signed_at: datetime,
        payload: str,
    ) -> None:
        """Remember a proof until it expires; refuse it if already used."""
        while self._expirations and self._expirations[0][0] < now:
            self._used_payloads.discard(self._expirations.popleft()[1])
        if payload in self._used_payloads:
            raise _create_denial("the proof was used before")
        if len(self._used_payloads) >= USED_PROOFS_MAX:
            raise _create_denial("too many connections opened within 30 s")
        # The queue is ordered by the time of use. Each entry is kept for
        # the longest validity, which covers proofs signed by a peer whose
        # clock is slightly ahead.
        expires = max(now, signed_at) + PROOF_VALIDITY + CLOCK_SKEW_MAX
        self._used_payloads.add(payload)
        self._expirations.append((expires, payload))


class ProofChecker(Protocol):
    """Verify the proof of the peer that opened a connection."""

    def verify(self, now: datetime, proof: str) -> Identity:
        """Return the peer; raise SeamError ACCESS_DENIED if invalid."""


class TrustedNetwork:
    """Unsigned proofs, for networks that admit only trusted hosts.

    A proof contains no time, so a host whose clock is wrong can take
    part as well.
    """

    def __init__(self, name: str, role: Role = Role.FLEET) -> None:
        self._name = name
        self._role = role

    def create_proof(self) -> str:
        """Return a proof that states the role and name of this peer."""
        return f"{self._role.value}.{self._name}"

    def verify(self, now: datetime, proof: str) -> Identity:
        """Return the peer stated in the proof, which is not authenticated."""
        del now
        role, _, name = proof.partition(".")
        if role not in {known_role.value for known_role in Role} or not name:
            raise _create_denial("malformed proof")
        return Identity(Role(role), name)


def _create_denial(message: str) -> SeamError:
    return SeamError(ErrorCode.ACCESS_DENIED, message)


def _compute_mac(secret: bytes, payload: str) -> str:
    return hmac.new(secret, payload.encode(), hashlib.sha256).hexdigest()


def _encode(text: str) -> str:
    return base64.urlsafe_b64encode(text.encode()).decode()


def _decode(text: str) -> str:
    return base64.b64decode(text, altchars=b"-_", validate=True).decode()


def _format_payload(
    role: Role,
    name: str,
    signed_at: datetime,
    nonce: str,
) -> str:
    microseconds = (signed_at - _EPOCH) // timedelta(microseconds=1)
    fields = (
        PROOF_VERSION,
        role.value,
        _encode(name),
        str(microseconds),
        _encode(nonce),
    )
    return ".".join(fields)


def _parse_payload(payload: str) -> tuple[Identity, datetime] | None:
    """Return identity and signing time, or None if it is malformed.

    The payload must equal its canonical form.
    """
    try:
        version, role, name, microseconds, nonce = payload.split(".")
        identity = Identity(Role(role), _decode(name))
        signed_at = _EPOCH + timedelta(microseconds=int(microseconds))
        decoded_nonce = _decode(nonce)
    except (ValueError, binascii.Error, OverflowError):
        return None
    valid = (
        version == PROOF_VERSION
        and 0 < len(identity.name) <= NAME_LENGTH_MAX
        and 0 < len(decoded_nonce) <= NONCE_LENGTH_MAX
        and payload
        == _format_payload(
            identity.role,
            identity.name,
            signed_at,
            decoded_nonce,
        )
    )
    return (identity, signed_at) if valid else None
