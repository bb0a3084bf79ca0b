"""Tests of header sanitization."""

import base64
import unittest
from datetime import timedelta

from sequoiaseam._headers import (
    check_body,
    check_nested_request,
    check_request,
    sanitize_response,
)
from sequoiaseam.errors import ErrorCode, RefusalError

TOKEN = "k7-Qz_93xY.longRandomToken"
AUTHORIZATION = ("Authorization", f"Bearer {TOKEN}")
HANDLE = ("Sequoiaseam-Handle", "h-93xY-random")
PERCENT_ENCODED = "".join(f"%{ord(c):02x}" for c in TOKEN)
DOUBLE_ENCODED = PERCENT_ENCODED.replace("%", "%25")


class CheckRequestTest(unittest.TestCase):
    """Guards against leaked keys, forged headers and smuggled bodies."""

    def assert_refused(
        self,
        code: ErrorCode,
        *headers: tuple[str, str],
        path: str = "/q",
    ) -> None:
        with self.assertRaises(RefusalError) as caught:
            check_request(headers, path)
        self.assertIs(caught.exception.code, code)
        self.assertNotIn(TOKEN, str(caught.exception))

    def test_extracts_fields_and_forwards_the_rest(self) -> None:
        checked = check_request(
            (
                ("AUTHORIZATION", f"bearer {TOKEN}"),
                ("Sequoiaseam-Timeout-Ms", "1500"),
                ("Idempotency-Key", "abc"),
                ("traceparent", "00-1-2-01"),
                ("tracestate", "a=b"),
                ("Accept", "*/*"),
                ("Connection", "keep-alive, X-Hop"),
                ("Keep-Alive", "5"),
                ("x_hop", "1"),
                ("TE", "trailers"),
                ("Trailer", "X-Sum"),
                ("Upgrade", "h2c"),
                ("Content-Length", "3"),
            ),
            "/q?a=%20b",
        )
        self.assertEqual(checked.token, TOKEN)
        self.assertEqual(checked.timeout, timedelta(seconds=1.5))
        self.assertEqual(checked.request_id, "abc")
        self.assertEqual(
            [name for name, _ in checked.forwarded],
            ["Idempotency-Key", "traceparent", "tracestate", "Accept"],
        )

    def test_accepts_a_request_without_a_key(self) -> None:
        checked = check_request((("Accept", "*/*"),), "/q")
        self.assertIsNone(checked.token)
        self.assertIsNone(checked.timeout)

    def test_refuses_exposed_key(self) -> None:
        basic_credentials = base64.b64encode(f"{TOKEN}:".encode()).decode()
        cases = {
            "twice": (AUTHORIZATION, AUTHORIZATION),
            "two spellings": (AUTHORIZATION, ("authorization", "Bearer x")),
            "underscore": (AUTHORIZATION, ("X_Key", TOKEN)),
            "proxy": (AUTHORIZATION, ("Proxy-Authorization", "Basic x")),
            "proxy spelled": (("PROXY_AUTHORIZATION", "x"),),
            "other header": (AUTHORIZATION, ("X-Key", f"a {TOKEN} b")),
            "other case": (AUTHORIZATION, ("X-Key", TOKEN.upper())),
            "encoded": (AUTHORIZATION, ("X-Key", PERCENT_ENCODED)),
            "cookie": (AUTHORIZATION, ("Cookie", f"a=1; k={TOKEN}")),
            "base64": (AUTHORIZATION, ("X-Basic", basic_credentials)),
            "name": (AUTHORIZATION, (f"X-{TOKEN}", "1")),
            "hop": (AUTHORIZATION, ("Keep-Alive", TOKEN)),
            "referer": (
                AUTHORIZATION,
                ("Referer", f"http://x/?k={PERCENT_ENCODED}"),
            ),
        }
        for name, headers in cases.items():
            with self.subTest(name):
                self.assert_refused(ErrorCode.KEY_EXPOSED, *headers)
        for path in (
            f"/q?k={TOKEN}",
            f"/{TOKEN}",
            f"/q?{PERCENT_ENCODED}",
            f"/{DOUBLE_ENCODED}",
        ):
            with self.subTest(path):
                self.assert_refused(
                    ErrorCode.KEY_EXPOSED, AUTHORIZATION, path=path
                )

    def test_refuses_forged_headers(self) -> None:
        for name in (
            "Sequoiaseam-Handle",
            "SEQUOIASEAM-VERDICT",
            "sequoiaseam_code",
            "Sequoiaseam_Timeout_Ms",
            "Sequoiaseam-",
        ):
            with self.subTest(name):
                self.assert_refused(ErrorCode.FORGED_HEADER, (name, "1"))

    def test_refuses_malformed_headers(self) -> None:
        cases = {
            "two lengths": (("Content-Length", "3"), ("content-length", "3")),
            "list of lengths": (("Content-Length", "3, 3"),),
            "signed length": (("Content-Length", "+3"),),
            "other digits": (("Content-Length", "\u0663"),),
            "both": (
                ("Content-Length", "3"),
                ("Transfer-Encoding", "chunked"),
            ),
            "encoding": (("Transfer-Encoding", "gzip, chunked"),),
            "spelled": (("Content-Length", "3"), ("Content_Length", "4")),
            "name": (("Bad Name", "1"),),
            "space": (("Content-Length ", "3"),),
            "value": (("X", "a\r\nY: b"),),
            "scheme": (("Authorization", f"Basic {TOKEN}"),),
            "two keys": (("Authorization", "Bearer a b"),),
            "two ids": (("Idempotency-Key", "a"), ("idempotency_key", "b")),
            "nominated": (("Connection", "Content-Length"),),
            "timeout": (("Sequoiaseam-Timeout-Ms", "soon"),),
            "no time": (("Sequoiaseam-Timeout-Ms", "0"),),
            "two hosts": (("Host", "a"), ("Host", "b")),
        }
        for name, headers in cases.items():
            with self.subTest(name):
                self.assert_refused(ErrorCode.BAD_REQUEST, *headers)

    def test_refuses_oversized_headers(self) -> None:
        oversized = ("X", "x" * 16_384)
        self.assert_refused(ErrorCode.HEADERS_TOO_LARGE, oversized)

    def test_refuses_key_in_body(self) -> None:
        json_escaped = TOKEN.replace("-", "\\u002d")
        for text in (
            f"a={TOKEN}",
            f"a={PERCENT_ENCODED}",
            f'{{"k": "{json_escaped}"}}',
        ):
            with self.subTest(text):
                with self.assertRaises(RefusalError) as caught:
                    check_body(TOKEN, text.encode())
                self.assertIs(caught.exception.code, ErrorCode.KEY_EXPOSED)
        check_body(TOKEN, b"100% harmless \xff")
        check_body(None, b"anything")


class CheckNestedRequestTest(unittest.TestCase):
    """Guards against nested calls with a missing or leaked handle."""

    def test_extracts_handle(self) -> None:
        checked = check_nested_request((HANDLE, ("Accept", "*/*")), "/q")
        self.assertEqual(checked.handle, HANDLE[1])
        self.assertEqual(checked.forwarded, (("Accept", "*/*"),))

    def test_refuses_invalid_nested_requests(self) -> None:
        cases = (
            ((), ErrorCode.HANDLE_UNKNOWN),
            ((HANDLE, HANDLE), ErrorCode.HANDLE_UNKNOWN),
            ((("Sequoiaseam_Handle", "h"),), ErrorCode.FORGED_HEADER),
            ((HANDLE, ("Sequoiaseam-Code", "1")), ErrorCode.FORGED_HEADER),
            ((HANDLE, ("Cookie", HANDLE[1])), ErrorCode.KEY_EXPOSED),
            ((HANDLE, ("Content-Length", "x")), ErrorCode.BAD_REQUEST),
        )
        for headers, code in cases:
            with self.subTest(code=code, headers=headers):
                with self.assertRaises(RefusalError) as caught:
                    check_nested_request(headers, "/q")
                self.assertIs(caught.exception.code, code)


class SanitizeResponseTest(unittest.TestCase):
    """Guards against backend servers that forge the node's headers."""

    def test_removes_hop_by_hop_and_reserved_headers(self) -> None:
        sanitized = sanitize_response(
            (
                ("Content-Type", "text/plain"),
                ("Connection", "close, X-Hop"),
                ("X-Hop", "1"),
                ("Transfer-Encoding", "chunked"),
                ("sequoiaseam-verdict", "not run"),
                ("Set-Cookie", "a=1"),
                ("Set-Cookie", "b=2"),
            ),
        )
        self.assertEqual(
            sanitized,
            (
                ("Content-Type", "text/plain"),
                ("Set-Cookie", "a=1"),
                ("Set-Cookie", "b=2"),
            ),
        )
