"""Differences between two versions of the tables, row by row."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from sequoiaseam._tables import CallerLimits, Pool, Route, Tables, Workspace

RowT = TypeVar("RowT")


@dataclass(frozen=True, slots=True)
class ChangedRows:
    """Names of the rows that were added, removed or changed."""

    routes: frozenset[str]
    pools: frozenset[str]
    workspaces: frozenset[str]

    def count_rows(self) -> int:
        """Return the number of rows."""
        return len(self.routes) + len(self.pools) + len(self.workspaces)


@dataclass(frozen=True, slots=True)
class TablesDelta:
    """Current values of changed rows, and the names of removed ones.

    ``limits`` are the current ones, whether or not they changed.
    """

    limits: CallerLimits
    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    removed_routes: tuple[str, ...] = ()
    removed_pools: tuple[str, ...] = ()
    removed_workspaces: tuple[str, ...] = ()


def find_changed_keys(
    old: Mapping[str, object],
    new: Mapping[str, object],
) -> frozenset[str]:
    """Return the keys that were added, removed or changed in value."""
    if old is new:
        return frozenset()
    changed = {k for k, v in new.items() if old.get(k) != v}
    return frozenset(changed | (old.keys() - new.keys()))


def find_changed_rows(old: Tables, new: Tables) -> ChangedRows | None:
    """Return the rows in which the tables differ, None if they are one."""
    if old is new:
        return None
    return ChangedRows(
        find_changed_keys(old.routes, new.routes),
        find_changed_keys(old.pools, new.pools),
        find_changed_keys(old.workspaces, new.workspaces),
    )


def merge_changes(changes: Iterable[ChangedRows]) -> ChangedRows:
    """Return the rows that any of several changes touched."""
    routes, pools, workspaces = set[str](), set[str](), set[str]()
    for change in changes:
        routes |= change.routes
        pools |= change.pools
        workspaces |= change.workspaces
    return ChangedRows(
        frozenset(routes), frozenset(pools), frozenset(workspaces)
    )


def build_tables_delta(tables: Tables, changed: ChangedRows) -> TablesDelta:
    """Return the current state of the changed rows."""
    return TablesDelta(
        tables.limits,
        _select(tables.routes, changed.routes),
        _select(tables.pools, changed.pools),
        _select(tables.workspaces, changed.workspaces),
        _list_missing(tables.routes, changed.routes),
        _list_missing(tables.pools, changed.pools),
        _list_missing(tables.workspaces, changed.workspaces),
    )


def apply_tables_delta(tables: Tables, delta: TablesDelta) -> Tables:
    """Return the tables after a change."""
    return Tables(
        _merge(tables.routes, delta.routes, delta.removed_routes),
        _merge(tables.pools, delta.pools, delta.removed_pools),
        _merge(tables.workspaces, delta.workspaces, delta.removed_workspaces),
        delta.limits,
    )


def _select(
    rows: Mapping[str, RowT], names: frozenset[str]
) -> dict[str, RowT]:
    return {name: rows[name] for name in sorted(names) if name in rows}


def _list_missing(
    rows: Mapping[str, object], names: frozenset[str]
) -> tuple[str, ...]:
    return tuple(sorted(names - rows.keys()))


def _merge(
    rows: Mapping[str, RowT],
    changed: Mapping[str, RowT],
    removed: tuple[str, ...],
) -> dict[str, RowT]:
    kept = {name: row for name, row in rows.items() if name not in removed}
    return {**kept, **changed}
