"""Tests of the validation of request paths."""

import unittest

from sequoiaseam._paths import check_path
from sequoiaseam.errors import ErrorCode, RefusalError


class CheckPathTest(unittest.TestCase):
    """Guards against paths that reach another route's resources.

    A backend server may resolve encoded or relative segments that the
    route's prefix match doesn't.
    """

    def test_refuses_what_servers_read_differently(self) -> None:
        for path in (
            "/quotes/../accept",
            "/quotes/./7",
            "/quotes/%2e%2e/accept",
            "/quotes/%2E./accept",
            "/quotes%2F..%2Faccept",
            "/quotes/..%5Caccept",
            "/quotes/%00",
        ):
            with (
                self.subTest(path=path),
                self.assertRaises(RefusalError) as caught,
            ):
                check_path(path)
            self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)

    def test_accepts_plain_and_encoded_names(self) -> None:
        for path in ("/", "/quotes/7", "/quotes/a%20b", "/quotes/...", "/ü"):
            with self.subTest(path=path):
                check_path(path)
