"""Header sanitization of requests and responses.

Names are compared in lower case and with ``_`` replaced by ``-``, since
many servers map both characters to the same variable name.
"""

import binascii
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from typing import Final
from urllib.parse import unquote_to_bytes

from sequoiaseam._verdict import Verdict
from sequoiaseam.const import (
    DEFAULT_HEADERS_LIMIT_BYTES,
    HANDLE_HEADER,
    HEADER_PREFIX,
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
)
from sequoiaseam.errors import ErrorCode, RefusalError

Headers = tuple[tuple[str, str], ...]
HeaderIndex = dict[str, list[str]]

NORMALIZED_PREFIX: Final = HEADER_PREFIX.lower()
NORMALIZED_TIMEOUT: Final = TIMEOUT_HEADER.lower()
NORMALIZED_HANDLE: Final = HANDLE_HEADER.lower()
NORMALIZED_IDEMPOTENCY_KEY: Final = IDEMPOTENCY_KEY_HEADER.lower()
CALLER_ALLOWED: Final = frozenset((NORMALIZED_TIMEOUT,))
NESTED_ALLOWED: Final = frozenset((NORMALIZED_TIMEOUT, NORMALIZED_HANDLE))

# RFC 9110, section 7.6.1, and those that older proxies treat the same way.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authentication-info",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ),
)

# Framing is regenerated at each hop; the entry node responds to Expect.
FRAMING_HEADERS: Final = frozenset(("content-length", "expect"))

# The Authorization header has the key, which must not leave the entry node.
NOT_FORWARDED: Final = HOP_BY_HOP_HEADERS | FRAMING_HEADERS | {"authorization"}

# End-to-end headers that a Connection header must not list for removal.
PROTECTED_HEADERS: Final = frozenset(
    (
        "authorization",
        "content-length",
        "content-type",
        "cookie",
        "host",
        "idempotency-key",
    ),
)

# Headers that a request may contain only once.
SINGLETON_HEADERS: Final = frozenset(
    ("content-length", "host", "idempotency-key", "transfer-encoding"),
)

# Longest timeout that a caller may request, the same as for a route.
TIMEOUT_MAX_MS: Final = 300_000
HEADER_NAME: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
BEARER_CREDENTIALS: Final = re.compile(
    r"bearer +([A-Za-z0-9._~+/-]+=*)", re.IGNORECASE
)
FORBIDDEN_CHARACTER: Final = re.compile(r"[\r\n\0]")
DIGITS: Final = re.compile(r"[0-9]{1,18}", re.ASCII)
PERCENT_ESCAPE: Final = re.compile(rb"%[2-7][0-9a-fA-F]")
JSON_ESCAPE: Final = re.compile(rb"\\u00([0-7][0-9a-fA-F])")

# Layers of percent-encoding that are decoded when searching for a secret.
ENCODING_LAYERS_MAX: Final = 3


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """A caller's headers: those that the node uses and those it forwards."""

    token: str | None
    timeout: timedelta | None
    request_id: str | None
    forwarded: Headers


@dataclass(frozen=True, slots=True)
class NestedHeaders:
    """Headers of a nested call from the node's own backend server."""

    handle: str
    timeout: timedelta | None
    request_id: str | None
    forwarded: Headers


def check_request(
    headers: Sequence[tuple[str, str]],
    raw_path: str,
    limit_bytes: int = DEFAULT_HEADERS_LIMIT_BYTES,
) -> CallerHeaders:
    """Sanitize the headers of a caller's request.

    ``raw_path`` is the request target as received, with the query.
    ``limit_bytes`` bounds the size of target and headers together.
    Raise RefusalError BAD_REQUEST, HEADERS_TOO_LARGE, FORGED_HEADER or
    KEY_EXPOSED; its verdict applies to this request only.
    """
    index = _index_by_name(headers)
    _check_common(headers, index, raw_path, limit_bytes)
    _check_forged_headers(headers, CALLER_ALLOWED)
    token = _extract_token(index)
    if token is not None:
        _check_secret_exposure(token, headers, raw_path)
    return CallerHeaders(
        token=token,
        timeout=_parse_timeout(index),
        request_id=_get_first(index, NORMALIZED_IDEMPOTENCY_KEY),
        forwarded=tuple(_select_forwarded(headers, index)),
    )


def check_nested_request(
    headers: Sequence[tuple[str, str]],
    raw_path: str,
) -> NestedHeaders:
    """Sanitize the headers of a backend server's nested request.

    Raise RefusalError as ``check_request`` does, and HANDLE_UNKNOWN
    unless there is exactly one handle that isn't empty.
    """
    index = _index_by_name(headers)
    _check_common(headers, index, raw_path, DEFAULT_HEADERS_LIMIT_BYTES)
    _check_forged_headers(headers, NESTED_ALLOWED)
    handles = index.get(NORMALIZED_HANDLE, [])
    if len(handles) != 1 or not handles[0]:
        raise _refuse(
            ErrorCode.HANDLE_UNKNOWN,
            f"exactly one {HANDLE_HEADER} header is needed",
        )
    other_headers = [
        (name, value)
        for name, value in headers
        if _normalize_name(name) != NORMALIZED_HANDLE
    ]
    _check_secret_exposure(handles[0], other_headers, raw_path)
    return NestedHeaders(
        handle=handles[0],
        timeout=_parse_timeout(index),
        request_id=_get_first(index, NORMALIZED_IDEMPOTENCY_KEY),
        forwarded=tuple(_select_forwarded(headers, index)),
    )


def check_body(token: str | None, body: bytes) -> None:
    """Raise RefusalError KEY_EXPOSED if the body contains the key.

    Takes 2 ms for a body of 1 MB, and 130 ms if all of it is
    percent-encoded. Check large bodies outside the event loop.
    """
    if token is not None and _contains_secret(body, token.encode("latin-1")):
        raise _refuse(
            ErrorCode.KEY_EXPOSED,
            "the key is also in the body",
        )


def sanitize_response(headers: Sequence[tuple[str, str]]) -> Headers:
    """Return the response headers that are forwarded to the caller.

    Those removed are the headers in ``NOT_FORWARDED``, those listed in
    Connection, and those with the project's own prefix, which only a
    node may set.
    """
    return tuple(_select_forwarded(headers, _index_by_name(headers)))


def _refuse(code: ErrorCode, message: str) -> RefusalError:
    return RefusalError(code, message, verdict=Verdict.NOT_RUN)


# Names repeat from request to request. The cache is bounded so that callers
# can't exhaust the memory with invented names.
@lru_cache(maxsize=1024)
def _normalize_name(name: str) -> str:
    """Return the form in which header names are compared."""
    return name.strip().lower().replace("_", "-")


@lru_cache(maxsize=1024)
def _is_header_name(name: str) -> bool:
    return HEADER_NAME.fullmatch(name) is not None


def _index_by_name(headers: Sequence[tuple[str, str]]) -> HeaderIndex:
    """Return the values by normalized name, in the order received."""
    index: HeaderIndex = {}
    for name, value in headers:
        index.setdefault(_normalize_name(name), []).append(value.strip())
    return index


def _get_first(index: HeaderIndex, name: str) -> str | None:
    values = index.get(name)
    return values[0] if values else None


def _check_common(
    headers: Sequence[tuple[str, str]],
    index: HeaderIndex,
    raw_path: str,
    limit_bytes: int,
) -> None:
    """Check size, names, values, duplicates, framing and Connection."""
    size_bytes = len(raw_path) + sum(len(n) + len(v) + 4 for n, v in headers)
    if size_bytes > limit_bytes:
        raise _refuse(
            ErrorCode.HEADERS_TOO_LARGE,
            f"the headers exceed {limit_bytes} bytes",
        )
    for name, value in headers:
        if not _is_header_name(name):
            raise _refuse(ErrorCode.BAD_REQUEST, "malformed header name")
        if FORBIDDEN_CHARACTER.search(value):
            raise _refuse(ErrorCode.BAD_REQUEST, "malformed header value")
    for name in SINGLETON_HEADERS:
        if len(index.get(name, ())) > 1:
            raise _refuse(ErrorCode.BAD_REQUEST, f"more than one {name}")
    _check_framing(index)
    protected = _list_connection_options(index) & PROTECTED_HEADERS
    if protected:
        raise _refuse(
            ErrorCode.BAD_REQUEST,
            "Connection names an end-to-end header",
        )


def _check_framing(index: HeaderIndex) -> None:
    """Refuse framing that two servers could read as different lengths.

    Such a difference permits request smuggling.
    """
    length = _get_first(index, "content-length")
    encoding = _get_first(index, "transfer-encoding")
    if length is not None and encoding is not None:
        raise _refuse(
            ErrorCode.BAD_REQUEST,
            "Content-Length and Transfer-Encoding",
        )
    if length is not None and not DIGITS.fullmatch(length):
        raise _refuse(ErrorCode.BAD_REQUEST, "malformed Content-Length")
    if encoding is not None and encoding.lower() != "chunked":
        raise _refuse(
            ErrorCode.BAD_REQUEST,
            "unsupported Transfer-Encoding",
        )


def _check_forged_headers(
    headers: Sequence[tuple[str, str]],
    allowed: frozenset[str],
) -> None:
    for name, _ in headers:
        normalized = _normalize_name(name)
        if normalized.startswith(NORMALIZED_PREFIX) and (
            normalized not in allowed or "_" in name
        ):
            raise _refuse(
                ErrorCode.FORGED_HEADER,
                f"callers may not send {HEADER_PREFIX}* headers",
            )


def _extract_token(index: HeaderIndex) -> str | None:
    """Return the key in the Authorization header, None without one."""
    if "proxy-authorization" in index:
        raise _refuse(
            ErrorCode.KEY_EXPOSED,
            "Proxy-Authorization is not accepted",
        )
    values = index.get("authorization")
    if not values:
        return None
    if len(values) > 1:
        raise _refuse(
            ErrorCode.KEY_EXPOSED,
            "more than one Authorization header",
        )
    match = BEARER_CREDENTIALS.fullmatch(values[0])
    if match is None:
        raise _refuse(
            ErrorCode.BAD_REQUEST,
            "Authorization must be a bearer token",
        )
    return match[1]


def _check_secret_exposure(
    secret: str,
    headers: Sequence[tuple[str, str]],
    raw_path: str,
) -> None:
    """Refuse a key or handle that also occurs outside its own header."""
    # No secret has a line break, so joined lines need only one search.
    lines = [raw_path]
    for name, value in headers:
        lines.append(name)
        if _normalize_name(name) != "authorization":
            lines.append(value)
    text = "\n".join(lines).encode("utf-8", "surrogateescape")
    if _contains_secret(text, secret.encode("latin-1")):
        raise _refuse(
            ErrorCode.KEY_EXPOSED,
            "the key is also elsewhere in the request",
        )


def _contains_secret(text: bytes, secret: bytes) -> bool:
    """Return whether a text contains the secret, plain or encoded."""
    lowered_secret = secret.lower()
    # Base64 encodes each group of three bytes independently, so whole groups
    # look the same whatever follows them.
    aligned = secret[: len(secret) // 3 * 3]
    if aligned and binascii.b2a_base64(aligned, newline=False) in text:
        return True
    for _ in range(ENCODING_LAYERS_MAX):
        if lowered_secret in text.lower():
            return True
        decoded = _decode_layer(text)
        if decoded == text:
            return False
        text = decoded
    return lowered_secret in text.lower()


def _decode_layer(text: bytes) -> bytes:
    """Decode one layer of percent and JSON escapes of ASCII."""
    if PERCENT_ESCAPE.search(text):
        text = unquote_to_bytes(text)
    if b"\\" in text:
        text = text.replace(b"\\/", b"/")
        text = JSON_ESCAPE.sub(lambda match: bytes((int(match[1], 16),)), text)
    return text


def _parse_timeout(index: HeaderIndex) -> timedelta | None:
    values = index.get(NORMALIZED_TIMEOUT)
    if not values:
        return None
    if len(values) > 1 or not DIGITS.fullmatch(values[0]):
        raise _refuse(
            ErrorCode.BAD_REQUEST,
            f"malformed {TIMEOUT_HEADER}",
        )
    milliseconds = int(values[0])
    if not 1 <= milliseconds <= TIMEOUT_MAX_MS:
        raise _refuse(
            ErrorCode.BAD_REQUEST,
            f"{TIMEOUT_HEADER} is outside 1 to {TIMEOUT_MAX_MS}",
        )
    return timedelta(milliseconds=milliseconds)


def _list_connection_options(index: HeaderIndex) -> frozenset[str]:
    """Return the normalized names that Connection headers list."""
    return frozenset(
        _normalize_name(name)
        for value in index.get("connection", ())
        for name in value.split(",")
    )


def _select_forwarded(
    headers: Sequence[tuple[str, str]],
    index: HeaderIndex,
) -> Iterator[tuple[str, str]]:
    """Yield the headers that are forwarded to the next hop."""
    connection_options = _list_connection_options(index)
    for name, value in headers:
        normalized = _normalize_name(name)
        if normalized in NOT_FORWARDED or normalized in connection_options:
            continue
        if normalized.startswith(NORMALIZED_PREFIX):
            continue
        yield name, value
