"""Tests of edits by whole documents and of routes by host."""

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
    base: int,
    *,
    text: bytes = b"",
    tables: Tables | None = None,
    keys: tuple[KeyRecord, ...] = (),
) -> ReplaceDocument:
    """Return the edit of a document."""
    document = b"%d %d " % (revision, base) + text
    return ReplaceDocument(
        document.hex(),
        "ana",
        base,
        revision,
        tables or build_tables(),
        keys,
        document,
    )


class DocumentTest(unittest.TestCase):
    """Guards against lost, doubled and half-applied documents."""

    def setUp(self) -> None:
        self.state = FleetState()
        self.index = 0

    def apply(self, edit: ReplaceDocument) -> EditStatus:
        """Apply an edit as the next entry of the log."""
        self.index += 1
        result = self.state.apply(self.index, edit)
        assert result is not None
        kept = self.state.find_result(edit.edit_id)
        self.assertEqual(kept, result)
        return result.status

    def test_answers_each_edit_by_base_and_revision(self) -> None:
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

    def test_one_of_two_edits_of_a_revision_wins(self) -> None:
        self.apply(build_edit(3, 0))
        one, other = build_edit(7, 3, text=b"a"), build_edit(7, 3, text=b"b")
        self.assertIs(self.apply(one), EditStatus.ACCEPTED)
        self.assertIs(self.apply(other), EditStatus.CONFLICT)
        self.assertIs(self.apply(one), EditStatus.ACCEPTED)
        self.assertEqual(self.state.document, one.document)

    def test_a_refused_edit_may_be_accepted_later(self) -> None:
        first, second = build_edit(3, 0), build_edit(7, 3)
        self.assertIs(self.apply(second), EditStatus.CONFLICT)
        self.apply(first)
        self.assertIs(self.apply(second), EditStatus.ACCEPTED)

    def test_a_snapshot_keeps_document_and_answers(self) -> None:
        edit = build_edit(3, 0, text=b"as sent")
        self.apply(edit)
        self.state = FleetState.load(self.state.dump())
        self.assertEqual(self.state.document, edit.document)
        self.assertIs(self.apply(edit), EditStatus.ACCEPTED)


class RouteIndexTest(unittest.TestCase):
    """Guards against requests on the wrong route."""

    def test_finds_the_longest_prefix_of_the_host(self) -> None:
        rows = {
            "all": ("", "/"),
            "any": ("", "/a"),
            "host": ("h.example", "/a/"),
            "deep": ("h.example", "/a/b/"),
            "other": ("i.example", "/a/"),
        }
        routes = {
            name: replace(build_route(name, path), host=host)
            for name, (host, path) in rows.items()
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
                found = index.find(host, "GET", path)
                self.assertEqual(found.name if found else None, expected)

    def test_finds_nothing_for_another_method(self) -> None:
        index = RouteIndex(build_tables())
        self.assertIsNone(index.find("", "POST", "/quotes"))


class ImportanceTest(unittest.TestCase):
    """Guards against a rank of workspaces that levels all routes."""

    def test_a_workspace_shifts_the_rank_of_its_routes(self) -> None:
        low, normal, high, top = Importance
        cases = (
            ((normal, normal, high), normal, normal, normal),
            ((normal, normal, high), top, normal, top),
            ((normal, normal, high), normal, high, high),
            ((normal, normal, high), top, high, top),
            ((high, high, low), low, low, low),
            ((high, high, low), top, low, normal),
            ((None, None, None), high, None, high),
            ((None, high, high), normal, None, normal),
        )
        for given, route, workspace, expected in cases:
            with self.subTest(given=given, route=route, workspace=workspace):
                rows = {
                    f"w{i}": Workspace(f"w{i}", 1.0, 1, importance=one)
                    for i, one in enumerate(given)
                }
                usual = find_most_common_importance(Tables(workspaces=rows))
                found = combine_importance(route, workspace, usual)
                self.assertIs(found, expected)


class SplitTest(unittest.TestCase):
    """Guards against routes that can't be split or held to their times."""

    def test_reports_unsound_rows(self) -> None:
        sound = build_tables()
        base = replace(
            sound.routes["quotes"],
            shares=(Share("history", 9.0), Share("other", 1.0)),
        )
        pools = {**sound.pools, "other": Pool("other")}
        minute = timedelta(minutes=1)
        cases: dict[str, tuple[Route, str]] = {
            "sound": (base, ""),
            "first pool differs": (replace(base, pool="other"), "shares"),
            "a pool twice": (
                replace(base, shares=(base.shares[0],) * 2),
                "shares",
            ),
            "no weight": (
                replace(base, shares=(Share("history", 0.0),)),
                "shares",
            ),
            "negative weight": (
                replace(base, shares=(Share("history", -1.0),)),
                "shares",
            ),
            "unknown pool": (
                replace(base, shares=(*base.shares, Share("gone", 1.0))),
                "pool",
            ),
            "late objective": (
                replace(base, objective=base.timeout + minute),
                "objective",
            ),
            "objective over the timeout": (
                replace(base, objective=base.timeout + minute * 0.9),
                "",
            ),
        }
        for name, (route, column) in cases.items():
            with self.subTest(name=name):
                tables = replace(sound, routes={"quotes": route}, pools=pools)
                columns = {p.column for p in find_problems(tables)}
                self.assertEqual(columns, {column} - {""})


if __name__ == "__main__":
    unittest.main()
