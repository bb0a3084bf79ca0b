"""Tests of differences between two versions of the tables."""

import itertools
import random
import unittest
from dataclasses import replace
from datetime import timedelta

import msgspec

from sequoiaseam._tables import CallerLimits, Pool, Tables, Workspace
from sequoiaseam._tables_delta import (
    TablesDelta,
    apply_tables_delta,
    build_tables_delta,
    find_changed_rows,
    merge_changes,
)
from tests.builders import build_route
from tests.seeds import iterate_seeds

ROW_NAMES = tuple(f"r{i}" for i in range(6))


def build_random_tables(rng: random.Random) -> Tables:
    """Return tables with a random choice of rows and values."""
    return Tables(
        {
            name: build_route(name, f"/{name}", rng.choice("ab"))
            for name in ROW_NAMES
            if rng.random() < 0.6
        },
        {
            name: Pool(name, slots=rng.randint(1, 3))
            for name in ROW_NAMES
            if rng.random() < 0.6
        },
        {
            name: Workspace(name, rng.randint(1, 3), 1)
            for name in ROW_NAMES
            if rng.random() < 0.6
        },
        CallerLimits(headers=rng.randint(1, 2)),
    )


class TablesDeltaTest(unittest.TestCase):
    """Guards against nodes whose tables differ from the control hosts'."""

    def test_deltas_lead_to_the_same_tables_as_whole_ones(self) -> None:
        for seed in iterate_seeds(50):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                versions = [build_random_tables(rng) for _ in range(5)]
                for start in range(len(versions)):
                    self.check_update(versions, start)

    def check_update(self, versions: list[Tables], start: int) -> None:
        """Check one delta over all versions after ``start``.

        A node may have applied some of them already.
        """
        changes = [
            change
            for old, new in itertools.pairwise(versions)
            for change in (find_changed_rows(old, new),)
            if change is not None
        ][start:]
        delta = build_tables_delta(versions[-1], merge_changes(changes))
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(delta), type=TablesDelta
        )
        for version in versions[start:]:
            updated = apply_tables_delta(version, decoded)
            self.assertEqual(updated, versions[-1])

    def test_the_same_tables_have_no_difference(self) -> None:
        tables = build_random_tables(random.Random(1))
        self.assertIsNone(find_changed_rows(tables, tables))

    def test_size_grows_with_the_change_only(self) -> None:
        workspaces = {f"w{i}": Workspace(f"w{i}", 10, 5) for i in range(500)}
        old = Tables(workspaces=workspaces)
        row = replace(workspaces["w7"], rate=20)
        new = replace(
            old,
            workspaces={**workspaces, "w7": row},
            limits=CallerLimits(idle_time=timedelta(seconds=5)),
        )
        changed = find_changed_rows(old, new)
        assert changed is not None
        delta = build_tables_delta(new, changed)
        self.assertEqual(delta.workspaces, {"w7": row})
        self.assertEqual(delta.limits, new.limits)
        self.assertLess(len(msgspec.msgpack.encode(delta)), 500)


if __name__ == "__main__":
    unittest.main()
