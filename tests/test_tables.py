"""Tests of table validation, route matching and the command codec."""

import unittest
from dataclasses import replace
from datetime import timedelta

from sequoiaseam._codec import Codec
from sequoiaseam._commands import COMMAND_TYPES, EditTables
from sequoiaseam._tables import (
    Pool,
    Tables,
    Workspace,
    find_problems,
    match_route,
)
from sequoiaseam.errors import ErrorCode, SeamError
from tests.builders import build_route, build_tables


class TableProblemsTest(unittest.TestCase):
    """Guards against accepting invalid tables."""

    def test_reports_the_column_of_each_problem(self) -> None:
        valid_tables = build_tables()
        route = valid_tables.routes["quotes"]
        cases = {
            "pool": replace(route, pool="absent"),
            "path": replace(route, path="/a/../b"),
            "methods": replace(route, methods=("FETCH",)),
            "timeout": replace(route, timeout=timedelta(0)),
            "retries": replace(route, retries=99),
            "name": replace(route, name="Quotes"),
        }
        for column, invalid_route in cases.items():
            with self.subTest(column=column):
                problems = find_problems(
                    replace(valid_tables, routes={"quotes": invalid_route}),
                )
                self.assertIn(column, {p.column for p in problems})

    def test_accepts_valid_tables(self) -> None:
        self.assertEqual(find_problems(build_tables()), ())

    def test_refuses_reserved_workspace(self) -> None:
        tables = Tables(workspaces={"open": Workspace("open", 1.0, 1)})
        self.assertEqual(find_problems(tables)[0].column, "name")

    def test_refuses_two_routes_for_one_method_and_path(self) -> None:
        tables = build_tables(
            build_route("one", "/same"),
            build_route("two", "/same"),
        )
        self.assertEqual(find_problems(tables)[0].column, "path")

    def test_the_longest_durations_are_compared(self) -> None:
        """Guard against an error of the check, which ends control hosts."""
        longest = replace(
            build_route(), timeout=timedelta.max, objective=timedelta.max
        )
        problems = find_problems(build_tables(longest))
        self.assertEqual({"timeout"}, {p.column for p in problems})
        too_long = replace(build_route(), objective=timedelta.max)
        problems = find_problems(build_tables(too_long))
        self.assertEqual({"objective"}, {p.column for p in problems})

    def test_refuses_nan(self) -> None:
        tables = Tables(pools={"p": Pool("p", retry_share=float("nan"))})
        self.assertEqual(find_problems(tables)[0].column, "retry_share")


class MatchRouteTest(unittest.TestCase):
    """Guards against sending a request to another route's pool."""

    def test_longest_prefix_on_segment_boundary(self) -> None:
        tables = build_tables(
            build_route("a", "/a"),
            build_route("ab", "/a/b"),
            build_route("post", "/a/b", methods=("POST",)),
        )
        cases = {
            ("GET", "/a"): "a",
            ("GET", "/a/bc"): "a",
            ("GET", "/a/b/c"): "ab",
            ("POST", "/a/b"): "post",
            ("GET", "/ab"): None,
        }
        for (method, path), name in cases.items():
            with self.subTest(method=method, path=path):
                route, _ = match_route(tables, method, path)
                self.assertEqual(route.name if route else None, name)


class CodecTest(unittest.TestCase):
    """Guards against messages altered by encoding and decoding."""

    def test_round_trip_of_a_command(self) -> None:
        codec = Codec(COMMAND_TYPES)
        command = EditTables("e1", "ana", 0, build_tables())
        self.assertEqual(codec.decode(codec.encode(command)), command)

    def test_refuses_unknown_types_and_malformed_data(self) -> None:
        codec = Codec(COMMAND_TYPES)
        for data in (b"", b"\xc1", b"\x92\xa4Evil\x80", b"\x92\xa4Noop"):
            with self.subTest(data=data):
                with self.assertRaises(SeamError) as caught:
                    codec.decode(data)
                self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)
