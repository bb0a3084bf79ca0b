"""Tests of document edits, route lookup by host and route importance."""

import unittest
from dataclasses import replace
from datetime import timedelta

from sequoiaseam._commands import ReplaceDocument
from sequoiaseam._state import EditStatus, FleetState
from sequoiaseam._tables import (
    Importance,
    KeyRecord,
    Pool,
    Route,
    RouteIndex,
    Share,
    Tables,
    Workspace,
    combine_importance,
    find_most_common_importance,
    find_problems,
)
from tests.builders import build_route, build_tables


def build_edit(
    revision: int,
    base_revision: int,
    *,
    text: bytes = b"",
    tables: Tables | None = None,
    keys: tuple[KeyRecord, ...] = (),
) -> ReplaceDocument:
    """Return an edit that replaces the configuration document."""
    document = b"%d %d " % (revision, base_revision) + text
    return ReplaceDocument(
        document.hex(),
        "ana",
        base_revision,
        revision,
        tables or build_tables(),
        keys,
        document,
    )


class DocumentTest(unittest.TestCase):
    """Guards against documents lost, applied twice or applied in part."""

    def setUp(self) -> None:
        self.state = FleetState()
        self.index = 0

    def apply(self, edit: ReplaceDocument) -> EditStatus:
        """Apply an edit as the next log entry; check its stored result."""
        self.index += 1
        result = self.state.apply(self.index, edit)
        assert result is not None
        stored = self.state.find_result(edit.edit_id)
        self.assertEqual(stored, result)
        return result.status

    def test_accepts_edits_by_base_revision_and_revision(self) -> None:
        first = build_edit(5, 0)
        self.assertIs(self.apply(first), EditStatus.ACCEPTED)
        cases = (
            ("wrong base", build_edit(9, 4), EditStatus.CONFLICT),
            ("same revision", build_edit(5, 5), EditStatus.INVALID),
            ("older revision", build_edit(4, 5), EditStatus.INVALID),
            (
                "unknown pool",
                build_edit(9, 5, tables=replace(build_tables(), pools={})),
                EditStatus.INVALID,
            ),
            (
                "shared key",
                build_edit(
                    9,
                    5,
                    keys=(
                        KeyRecord("a", b"1" * 32, "coop"),
                        KeyRecord("b", b"1" * 32, "club"),
                    ),
                ),
                EditStatus.INVALID,
            ),
            ("resend", first, EditStatus.ACCEPTED),
        )
        for name, edit, expected in cases:
            with self.subTest(name=name):
                self.assertIs(self.apply(edit), expected)
                self.assertEqual(self.state.revision, 5)
                self.assertEqual(self.state.document, first.document)

    def test_one_of_two_edits_with_the_same_base_is_accepted(self) -> None:
        self.apply(build_edit(3, 0))
        one, other = build_edit(7, 3, text=b"a"), build_edit(7, 3, text=b"b")
        self.assertIs(self.apply(one), EditStatus.ACCEPTED)
        self.assertIs(self.apply(other), EditStatus.CONFLICT)
        self.assertIs(self.apply(one), EditStatus.ACCEPTED)
        self.assertEqual(self.state.document, one.document)

    def test_refused_edit_can_be_accepted_later(self) -> None:
        first, second = build_edit(3, 0), build_edit(7, 3)
        self.assertIs(self.apply(second), EditStatus.CONFLICT)
        self.apply(first)
        self.assertIs(self.apply(second), EditStatus.ACCEPTED)

    def test_snapshot_keeps_document_and_edit_results(self) -> None:
        edit = build_edit(3, 0, text=b"as sent")
        self.apply(edit)
        self.state = FleetState.load(self.state.dump())
        self.assertEqual(self.state.document, edit.document)
        self.assertIs(self.apply(edit), EditStatus.ACCEPTED)


class RouteIndexTest(unittest.TestCase):
    """Guards against matching a request to the wrong route."""

    def test_finds_the_longest_path_prefix_of_a_host(self) -> None:
        locations = {
            "all": ("", "/"),
            "any": ("", "/a"),
            "host": ("h.example", "/a/"),
            "deep": ("h.example", "/a/b/"),
            "other": ("i.example", "/a/"),
        }
        routes = {
            name: replace(build_route(name, path), host=host)
            for name, (host, path) in locations.items()
        }
        index = RouteIndex(Tables(routes=routes))
        cases = (
            ("h.example", "/a/x", "host"),
            ("h.example", "/a/b/x", "deep"),
            ("h.example", "/a/b/", "deep"),
            ("h.example", "/a/b", "host"),
            ("h.example", "/a/bc/d", "host"),
            ("h.example", "/a", "any"),
            ("h.example", "/ab", "all"),
            ("i.example", "/a/b/x", "other"),
            ("", "/a/b/x", "any"),
            ("", "/", "all"),
        )
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                route = index.find(host, "GET", path)
                self.assertEqual(route.name if route else None, expected)

    def test_finds_nothing_for_another_method(self) -> None:
        index = RouteIndex(build_tables())
        self.assertIsNone(index.find("", "POST", "/quotes"))


class ImportanceTest(unittest.TestCase):
    """Guards against workspace importance replacing that of the routes."""

    def test_workspace_shifts_the_importance_of_its_routes(self) -> None:
        low, normal, high, critical = Importance
        cases = (
            ((normal, normal, high), normal, normal, normal),
            ((normal, normal, high), critical, normal, critical),
            ((normal, normal, high), normal, high, high),
            ((normal, normal, high), critical, high, critical),
            ((high, high, low), low, low, low),
            ((high, high, low), critical, low, normal),
            ((None, None, None), high, None, high),
            ((None, high, high), normal, None, normal),
        )
        for workspace_importances, route, workspace, expected in cases:
            with self.subTest(
                workspace_importances=workspace_importances,
                route=route,
                workspace=workspace,
            ):
                workspaces = {
                    f"w{i}": Workspace(f"w{i}", 1.0, 1, importance=importance)
                    for i, importance in enumerate(workspace_importances)
                }
                baseline = find_most_common_importance(
                    Tables(workspaces=workspaces)
                )
                combined = combine_importance(route, workspace, baseline)
                self.assertIs(combined, expected)


class RouteSharesAndObjectiveTest(unittest.TestCase):
    """Guards against accepting invalid pool shares or latency objectives."""

    def test_reports_the_invalid_column(self) -> None:
        valid_tables = build_tables()
        valid_route = replace(
            valid_tables.routes["quotes"],
            shares=(Share("history", 9.0), Share("other", 1.0)),
        )
        pools = {**valid_tables.pools, "other": Pool("other")}
        minute = timedelta(minutes=1)
        cases: dict[str, tuple[Route, str]] = {
            "valid": (valid_route, ""),
            "first pool differs": (
                replace(valid_route, pool="other"),
                "shares",
            ),
            "a pool twice": (
                replace(valid_route, shares=(valid_route.shares[0],) * 2),
                "shares",
            ),
            "no weight": (
                replace(valid_route, shares=(Share("history", 0.0),)),
                "shares",
            ),
            "negative weight": (
                replace(valid_route, shares=(Share("history", -1.0),)),
                "shares",
            ),
            "unknown pool": (
                replace(
                    valid_route,
                    shares=(*valid_route.shares, Share("gone", 1.0)),
                ),
                "pool",
            ),
            "late objective": (
                replace(valid_route, objective=valid_route.timeout + minute),
                "objective",
            ),
            "objective over the timeout": (
                replace(
                    valid_route, objective=valid_route.timeout + minute * 0.9
                ),
                "",
            ),
        }
        for name, (route, column) in cases.items():
            with self.subTest(name=name):
                tables = replace(
                    valid_tables, routes={"quotes": route}, pools=pools
                )
                columns = {p.column for p in find_problems(tables)}
                self.assertEqual(columns, {column} - {""})


if __name__ == "__main__":
    unittest.main()
