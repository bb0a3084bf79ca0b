"""Names of the header fields that callers and backend servers use."""

from dataclasses import dataclass
from typing import Final

# Fields that concern one connection only (RFC 9110, 7.6.1).
HOP_FIELDS: Final = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ),
)


@dataclass(frozen=True, slots=True)
class Dialect:
    """Field names in lower case, as they stand on the wire.

    From callers: ``request_id``, ``remaining`` (milliseconds that the
    caller waits). To servers also ``caller`` (the pool beside which the
    request began), ``workspace`` and ``expected_server`` (the server's
    id; any other answers 421). From servers: ``not_run``, ``load``
    (running, waiting, slots).
    """

    request_id: bytes
    remaining: bytes
    caller: bytes
    workspace: bytes
    expected_server: bytes
    not_run: bytes
    load: bytes

    @property
    def owned(self) -> frozenset[bytes]:
        """Return the fields that the system sets itself."""
        return frozenset(
            (
                b"authorization",
                self.remaining,
                self.caller,
                self.workspace,
                self.expected_server,
            ),
        )

    @property
    def answered(self) -> frozenset[bytes]:
        """Return the fields of an answer that stay in the system."""
        return frozenset((self.load,))
