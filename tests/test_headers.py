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
AUTH = ("Authorization", f"Bearer {TOKEN}")
HANDLE = ("Sequoiaseam-Handle", "h-93xY-random")
ENCODED = "".join(f"%{ord(c):02x}" for c in TOKEN)
TWICE = ENCODED.replace("%", "%25")


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

    def test_extracts_and_forwards(self) -> None:
        found = check_request(
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
        self.assertEqual(found.token, TOKEN)
        self.assertEqual(found.timeout, timedelta(seconds=1.5))
        self.assertEqual(found.request_id, "abc")
        self.assertEqual(
            [name for name, _ in found.forwarded],
            ["Idempotency-Key", "traceparent", "tracestate", "Accept"],
        )

    def test_without_key(self) -> None:
        found = check_request((("Accept", "*/*"),), "/q")
        self.assertIsNone(found.token)
        self.assertIsNone(found.timeout)

    def test_refuses_exposed_key(self) -> None:
        plain = base64.b64encode(f"{TOKEN}:".encode()).decode()
        cases = {
            "twice": (AUTH, AUTH),
            "two spellings": (AUTH, ("authorization", "Bearer x")),
            "underscore": (AUTH, ("X_Key", TOKEN)),
            "proxy": (AUTH, ("Proxy-Authorization", "Basic x")),
            "proxy spelled": (("PROXY_AUTHORIZATION", "x"),),
            "other header": (AUTH, ("X-Key", f"a {TOKEN} b")),
            "other case": (AUTH, ("X-Key", TOKEN.upper())),
            "encoded": (AUTH, ("X-Key", ENCODED)),
            "cookie": (AUTH, ("Cookie", f"a=1; k={TOKEN}")),
            "base64": (AUTH, ("X-Basic", plain)),
            "name": (AUTH, (f"X-{TOKEN}", "1")),
            "hop": (AUTH, ("Keep-Alive", TOKEN)),
            "referer": (AUTH, ("Referer", f"http://x/?k={ENCODED}")),
        }
        for name, headers in cases.items():
            with self.subTest(name):
                self.assert_refused(ErrorCode.KEY_EXPOSED, *headers)
        for path in (
            f"/q?k={TOKEN}",
            f"/{TOKEN}",
            f"/q?{ENCODED}",
            f"/{TWICE}",
        ):
            with self.subTest(path):
                self.assert_refused(ErrorCode.KEY_EXPOSED, AUTH, path=path)

    def test_refuses_forged(self) -> None:
        for name in (
            "Sequoiaseam-Handle",
            "SEQUOIASEAM-VERDICT",
            "sequoiaseam_code",
            "Sequoiaseam_Timeout_Ms",
            "Sequoiaseam-",
        ):
            with self.subTest(name):
                self.assert_refused(ErrorCode.FORGED_HEADER, (name, "1"))

    def test_refuses_malformed(self) -> None:
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

    def test_refuses_oversized(self) -> None:
        big = ("X", "x" * 16_384)
        self.assert_refused(ErrorCode.HEADERS_TOO_LARGE, big)

    def test_refuses_key_in_body(self) -> None:
        escaped = TOKEN.replace("-", "\\u002d")
        for text in (f"a={TOKEN}", f"a={ENCODED}", f'{{"k": "{escaped}"}}'):
            with self.subTest(text):
                with self.assertRaises(RefusalError) as caught:
                    check_body(TOKEN, text.encode())
                self.assertIs(caught.exception.code, ErrorCode.KEY_EXPOSED)
        check_body(TOKEN, b"100% harmless \xff")
        check_body(None, b"anything")


class CheckNestedRequestTest(unittest.TestCase):
    """Guards against nested calls without or with a leaked handle."""

    def test_extracts_handle(self) -> None:
        found = check_nested_request((HANDLE, ("Accept", "*/*")), "/q")
        self.assertEqual(found.handle, HANDLE[1])
        self.assertEqual(found.forwarded, (("Accept", "*/*"),))

    def test_refuses(self) -> None:
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
    """Guards against a backend server speaking for the node."""

    def test_removes_hop_by_hop_and_own(self) -> None:
        cleaned = sanitize_response(
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
            cleaned,
            (
                ("Content-Type", "text/plain"),
                ("Set-Cookie", "a=1"),
                ("Set-Cookie", "b=2"),
            ),
        )
