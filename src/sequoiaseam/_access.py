"""Proofs of membership that open each connection.

A proof carries role, name, time, nonce and an HMAC-SHA-256 over them. It
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

from sequoiaseam.const import CLOCK_SKEW
from sequoiaseam.errors import ErrorCode, SeamError

PROOF_VALIDITY: Final = timedelta(seconds=30)
SECRET_BYTES_MIN: Final = 16  # bytes
NAME_LENGTH_MAX: Final = 200  # characters
NONCE_LENGTH_MAX: Final = 64  # characters
PROOF_LENGTH_LIMIT: Final = 1024  # characters
# Nonces are kept only for proofs with a valid code, so only holders of
# the secret can fill the memory; 1,200 nodes that all reconnect several
# times within 30 s stay well below.
USED_PROOFS_MAX: Final = 50_000
PROOF_VERSION: Final = "1"
_EPOCH: Final = datetime(1970, 1, 1, tzinfo=UTC)


class Role(enum.Enum):
    """What a peer may do: take part in the fleet, or also edit."""

    FLEET = "fleet"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Identity:
    """Who opened a connection."""

    role: Role
    name: str


class Credentials:
    """Shared secrets by role, the current one first.

    Raise ``SeamError`` SETTING_INVALID if a secret is too short or if
    the roles share one, since a node could then edit.
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
        """Return a proof; raise SeamError if the role has no secret."""
        secrets = self._secrets[role]
        if not secrets:
            raise SeamError(
                ErrorCode.ACCESS_DENIED,
                f"no secret for the role {role.value}",
            )
        payload = _format_payload(role, name, now, nonce)
        return f"{payload}.{_compute_code(secrets[0], payload)}"

    def check(self, role: Role, payload: str, code: str) -> bool:
        """Return whether any secret of the role made the code."""
        results = [
            hmac.compare_digest(_compute_code(secret, payload), code)
            for secret in self._secrets[role]
        ]
        return any(results)


class Verifier:
    """Check proofs; each is accepted once, for 30 s."""

    def __init__(self, credentials: Credentials) -> None:
        self._credentials = credentials
        self._seen: set[str] = set()
        self._order: deque[tuple[datetime, str]] = deque()

    def verify(self, now: datetime, proof: str) -> Identity:
        """Return the peer; raise SeamError ACCESS_DENIED if unproven."""
        payload, _, code = proof.rpartition(".")
        parsed = (
            _parse_payload(payload)
            if len(proof) < PROOF_LENGTH_LIMIT
            else None
        )
        if parsed is None or not code.isascii():
            raise _deny("malformed proof")
        identity, sent = parsed
        if not self._credentials.check(identity.role, payload, code):
            raise _deny("wrong secret")
        if not now - PROOF_VALIDITY <= sent <= now + CLOCK_SKEW:
            raise _deny("the proof has expired or is from the future")
        self._use(now, sent, payload)
        return identity

    def _use(self, now: datetime, sent: datetime, payload: str) -> None:
        """Remember a proof until it has expired by its own time."""
        while self._order and self._order[0][0] < now:
            self._seen.discard(self._order.popleft()[1])
        if payload in self._seen:
            raise _deny("the proof was used before")
        if len(self._seen) >= USED_PROOFS_MAX:
            raise _deny("too many connections opened within 30 s")
        # The queue is ordered by the time of use; keeping each entry for
        # the longest validity covers proofs from slightly ahead clocks.
        kept_until = max(now, sent) + PROOF_VALIDITY + CLOCK_SKEW
        self._seen.add(payload)
        self._order.append((kept_until, payload))


class ProofChecker(Protocol):
    """Tells who opened a connection."""

    def verify(self, now: datetime, proof: str) -> Identity:
        """Return the peer; raise SeamError ACCESS_DENIED if unproven."""


class TrustedNetwork:
    """Proofs without a secret, where the network admits only members.

    A proof carries no time, so a host whose time of day is wrong takes
    part as well.
    """

    def __init__(self, name: str, role: Role = Role.FLEET) -> None:
        self._name = name
        self._role = role

    def create_proof(self) -> str:
        """Return what names this peer and its role."""
        return f"{self._role.value}.{self._name}"

    def verify(self, now: datetime, proof: str) -> Identity:
        """Return the peer that the proof names."""
        del now
        role, _, name = proof.partition(".")
        if role not in {one.value for one in Role} or not name:
            raise _deny("malformed proof")
        return Identity(Role(role), name)


def _deny(message: str) -> SeamError:
    return SeamError(ErrorCode.ACCESS_DENIED, message)


def _compute_code(secret: bytes, payload: str) -> str:
    return hmac.new(secret, payload.encode(), hashlib.sha256).hexdigest()


def _encode(text: str) -> str:
    return base64.urlsafe_b64encode(text.encode()).decode()


def _decode(text: str) -> str:
    return base64.b64decode(text, altchars=b"-_", validate=True).decode()


def _format_payload(role: Role, name: str, sent: datetime, nonce: str) -> str:
    micros = (sent - _EPOCH) // timedelta(microseconds=1)
    fields = (
        PROOF_VERSION,
        role.value,
        _encode(name),
        str(micros),
        _encode(nonce),
    )
    return ".".join(fields)


def _parse_payload(payload: str) -> tuple[Identity, datetime] | None:
    """Return identity and time, or None unless it has the one format."""
    try:
        version, role, name, micros, nonce = payload.split(".")
        identity = Identity(Role(role), _decode(name))
        sent = _EPOCH + timedelta(microseconds=int(micros))
        plain_nonce = _decode(nonce)
    except (ValueError, binascii.Error, OverflowError):
        return None
    sound = (
        version == PROOF_VERSION
        and 0 < len(identity.name) <= NAME_LENGTH_MAX
        and 0 < len(plain_nonce) <= NONCE_LENGTH_MAX
        and payload
        == _format_payload(identity.role, identity.name, sent, plain_nonce)
    )
    return (identity, sent) if sound else None
