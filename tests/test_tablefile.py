"""Tests of reading, writing and comparing tables as INI text."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiaseam._ini import FileError
from sequoiaseam._tablefile import (
    ChangeKind,
    ColumnChange,
    diff_tables,
    format_tables,
    parse_tables,
)
from sequoiaseam._tables import Importance, Pool, Route, Tables, Workspace
from sequoiaseam.errors import ErrorCode
from tests.builders import build_route, build_tables, damage_text

TABLES_INI = """\
[route accept]
path = /accept
methods = POST, PUT
pool = billing
class = critical
idempotent = no
timeout = 1.5s
body_limit = 2MiB

[pool billing]
slots = 50

[workspace coop]
rate = 2.5
burst = 10
"""
NAMES = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)
ROUTES = st.builds(
    build_route,
    name=NAMES,
    path=NAMES.map(lambda name: f"/{name}"),
    pool=NAMES,
    importance=st.sampled_from(Importance),
    idempotent=st.booleans(),
    timeout=st.timedeltas(timedelta(seconds=0.001), timedelta(minutes=5)),
)
WORKSPACES = st.builds(
    Workspace,
    name=NAMES.filter(lambda name: name != "open"),
    rate=st.floats(0.0, 1e6),
    burst=st.integers(0, 1000),
    weight=st.floats(0.001, 1e6),
)


class TableFileTest(unittest.TestCase):
    """Guards against tables that differ from the INI text they come from."""

    def test_reads_columns_and_defaults(self) -> None:
        tables = parse_tables(TABLES_INI)
        route = tables.routes["accept"]
        self.assertEqual(route.methods, ("POST", "PUT"))
        self.assertIs(route.importance, Importance.CRITICAL)
        self.assertEqual(route.timeout, timedelta(seconds=1.5))
        self.assertEqual(route.body_limit, 2 * 1024 * 1024)
        self.assertFalse(route.idempotent)
        self.assertEqual(tables.pools["billing"], Pool("billing", slots=50))
        self.assertEqual(tables.workspaces["coop"].weight, 1.0)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(ROUTES, min_size=1, unique_by=lambda route: route.path),
        st.lists(WORKSPACES, unique_by=lambda row: row.name),
    )
    def test_round_trip(
        self,
        routes: list[Route],
        workspaces: list[Workspace],
    ) -> None:
        unique = {route.name: route for route in routes}.values()
        tables = build_tables(*unique, workspaces=tuple(workspaces))
        text = format_tables(tables)
        self.assertEqual(parse_tables(text), tables)
        self.assertEqual(format_tables(parse_tables(text)), text)

    def test_reports_column_and_line_of_each_problem(self) -> None:
        cases = {
            ("class = critical", "class = top"): ("route accept", "class", 5),
            ("pool = billing", "pool = other"): ("route accept", "pool", 4),
            ("1.5s", "1.5"): ("route accept", "timeout", 7),
            ("1.5s", "9min"): ("route accept", "timeout", 7),
            ("2MiB", "9" * 400 + "MiB"): ("route accept", "body_limit", 8),
            ("POST, PUT", "POST,,PUT"): ("route accept", "methods", 3),
            ("slots = 50", "slots = 0"): ("pool billing", "slots", 11),
            ("slots", "slot"): ("pool billing", "slot", 11),
            ("burst = 10", ""): ("workspace coop", "burst", 13),
            ("rate = 2.5", "rate = nan"): ("workspace coop", "rate", 14),
            ("[pool billing]", "[pool Billing]"): ("pool Billing", "name", 10),
            ("[pool billing]", "[pools billing]"): ("pools billing", "", 10),
            ("[workspace coop]", "[route accept]"): ("route accept", "", 13),
        }
        for (old, new), expected in cases.items():
            with self.subTest(old=old, new=new):
                with self.assertRaises(FileError) as caught:
                    parse_tables(TABLES_INI.replace(old, new))
                error = caught.exception
                self.assertIs(error.code, ErrorCode.TABLE_INVALID)
                locations = {
                    (p.section, p.key, p.line) for p in error.problems
                }
                self.assertIn(expected, locations)

    def test_damaged_files_are_refused_or_round_trip(self) -> None:
        rng = random.Random(7)
        for number in range(500):
            text = damage_text(rng, TABLES_INI)
            with self.subTest(number=number, text=text):
                try:
                    tables = parse_tables(text)
                except FileError as error:
                    self.assertTrue(error.problems)
                else:
                    reparsed = parse_tables(format_tables(tables))
                    self.assertEqual(reparsed, tables)

    def test_reports_each_invalid_column_once(self) -> None:
        text = TABLES_INI.replace(
            "slots = 50", "slots = many\nqueue = 1000000"
        )
        text = text.replace("path = /accept", "path = a b").replace("10", "x")
        with self.assertRaises(FileError) as caught:
            parse_tables(text)
        self.assertEqual(
            [p.key for p in caught.exception.problems],
            ["path", "slots", "queue", "burst"],
        )

    def test_diff_names_rows_and_columns(self) -> None:
        old = build_tables()
        new = Tables(
            routes={
                "quotes": replace(old.routes["quotes"], retries=5),
                "more": build_route("more", "/more"),
            },
            pools=old.pools,
        )
        changes = {c.row: c for c in diff_tables(old, new)}
        self.assertEqual(
            {row: change.kind for row, change in changes.items()},
            {
                "quotes": ChangeKind.CHANGED,
                "more": ChangeKind.ADDED,
                "coop": ChangeKind.REMOVED,
            },
        )
        self.assertEqual(
            changes["quotes"].columns,
            (ColumnChange("retries", "2", "5"),),
        )
        self.assertEqual(diff_tables(old, old), ())
