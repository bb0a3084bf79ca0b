"""Names of HTTP header fields exchanged with callers and servers."""

from dataclasses import dataclass
from typing import Final

# Fields that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_FIELDS: Final = frozenset(
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
class HeaderNames:
    """Field names in lower case, as sent on the wire.

    Callers send ``request_id`` and ``remaining_time`` (milliseconds that
    the caller still waits). Requests to backend servers also carry
    ``caller_pool`` (the pool of the host that received the request),
    ``workspace`` and ``expected_server_id`` (a server with another id
    responds with status 421). Backend servers send ``not_run``,
    ``load`` (numbers of running and waiting requests and of slots, and
    from some the duration of work in percent of the usual one) and
    ``warmup_remaining`` (milliseconds for which they are still cold; "" if
    they send no such field).
    """

    request_id: bytes
    remaining_time: bytes
    caller_pool: bytes
    workspace: bytes
    expected_server_id: bytes
    not_run: bytes
    load: bytes
    warmup_remaining: bytes = b""

    @property
    def reserved_fields(self) -> frozenset[bytes]:
        """Return the request fields that are not taken over from callers."""
        return frozenset(
            (
                b"authorization",
                self.remaining_time,
                self.caller_pool,
                self.workspace,
                self.expected_server_id,
            ),
        )

    @property
    def internal_response_fields(self) -> frozenset[bytes]:
        """Return the response fields that are not passed on to callers."""
        return frozenset((self.load, self.warmup_remaining))
