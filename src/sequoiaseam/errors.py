"""Error codes, their HTTP statuses and the exceptions that carry them."""

import enum
from datetime import timedelta
from typing import Final

from sequoiaseam._verdict import Verdict


class ErrorCode(enum.Enum):
    """Codes in refusals, log lines and command-line errors."""

    # Requests refused as malformed or unknown.
    BAD_REQUEST = "BAD_REQUEST"
    FORGED_HEADER = "FORGED_HEADER"
    HEADERS_TOO_LARGE = "HEADERS_TOO_LARGE"
    BODY_TOO_LARGE = "BODY_TOO_LARGE"
    UNKNOWN_ROUTE = "UNKNOWN_ROUTE"
    METHOD_NOT_ALLOWED = "METHOD_NOT_ALLOWED"
    KEY_MISSING = "KEY_MISSING"
    KEY_UNKNOWN = "KEY_UNKNOWN"
    KEY_EXPOSED = "KEY_EXPOSED"
    HANDLE_UNKNOWN = "HANDLE_UNKNOWN"
    # Requests refused to protect capacity.
    STALE = "STALE"
    QUOTA = "QUOTA"
    OVERLOAD = "OVERLOAD"
    QUEUE_FULL = "QUEUE_FULL"
    DEADLINE = "DEADLINE"
    CANCELLED = "CANCELLED"
    NO_SERVER = "NO_SERVER"
    DRAINING = "DRAINING"
    EVACUATED = "EVACUATED"
    SHED = "SHED"
    RETRIES_EXHAUSTED = "RETRIES_EXHAUSTED"
    QUARANTINED = "QUARANTINED"
    # Requests refused by at-most-once execution.
    ID_MALFORMED = "ID_MALFORMED"
    ID_EXPIRED = "ID_EXPIRED"
    ID_REUSED = "ID_REUSED"
    DUPLICATE = "DUPLICATE"
    NO_WITNESSES = "NO_WITNESSES"
    # Responses that failed or are incomplete.
    SERVER_FAILED = "SERVER_FAILED"
    INCOMPLETE = "INCOMPLETE"
    CONNECTION_LOST = "CONNECTION_LOST"
    TIMEOUT = "TIMEOUT"
    INTERNAL = "INTERNAL"
    # Errors of configuration and operation.
    SETTING_INVALID = "SETTING_INVALID"
    TABLE_INVALID = "TABLE_INVALID"
    CONFLICT = "CONFLICT"
    OUTCOME_UNKNOWN = "OUTCOME_UNKNOWN"
    NOT_LEADER = "NOT_LEADER"
    ACCESS_DENIED = "ACCESS_DENIED"
    JOURNAL_DAMAGED = "JOURNAL_DAMAGED"
    DISK_FAILED = "DISK_FAILED"
    REPLICA_CHANGE = "REPLICA_CHANGE"
    NOT_FOUND = "NOT_FOUND"


HTTP_STATUS: Final = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.FORGED_HEADER: 400,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.KEY_MISSING: 401,
    ErrorCode.KEY_UNKNOWN: 401,
    ErrorCode.KEY_EXPOSED: 400,
    ErrorCode.HANDLE_UNKNOWN: 403,
    ErrorCode.QUOTA: 429,
    ErrorCode.ID_MALFORMED: 400,
    ErrorCode.ID_EXPIRED: 409,
    ErrorCode.ID_REUSED: 422,
    ErrorCode.DUPLICATE: 409,
    ErrorCode.SERVER_FAILED: 502,
    ErrorCode.INCOMPLETE: 502,
    ErrorCode.CONNECTION_LOST: 502,
    ErrorCode.TIMEOUT: 504,
    ErrorCode.DEADLINE: 504,
    ErrorCode.INTERNAL: 500,
}
DEFAULT_HTTP_STATUS: Final = 503


class SeamError(Exception):
    """Base class of all errors, with a code, a message and a location."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        location: str = "",
    ) -> None:
        super().__init__(f"{code.value}: {message}")
        self.code = code
        self.message = message
        # File, section and key, or table row and column.
        self.location = location


class RefusalError(SeamError):
    """A request that is refused or whose response is incomplete."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(code, message)
        self.verdict = verdict
        self.retry_after = retry_after

    @property
    def status(self) -> int:
        """Return the HTTP status of the error code."""
        return HTTP_STATUS.get(self.code, DEFAULT_HTTP_STATUS)
