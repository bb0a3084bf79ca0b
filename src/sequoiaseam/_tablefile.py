"""Tables as INI text, and the differences between two of them."""

import enum
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any, Final, TypeVar

from sequoiaseam._ini import IniFile, parse_ini, read_ini
from sequoiaseam._tables import (
    Importance,
    Pool,
    Route,
    Tables,
    Workspace,
    find_problems,
)
from sequoiaseam._units import (
    format_decimal,
    format_duration,
    format_flag,
    format_size,
    parse_decimal,
    parse_duration,
    parse_flag,
    parse_integer,
    parse_size,
)
from sequoiaseam.errors import ErrorCode

Row = Route | Pool | Workspace
RowT = TypeVar("RowT", Route, Pool, Workspace)


@dataclass(frozen=True, slots=True)
class Column:
    """A column's name in the file, its parser and its formatter."""

    title: str
    parse: Callable[[str], Any]
    format: Callable[[Any], str]


def _parse_importance(text: str) -> Importance:
    names = [level.name.lower() for level in Importance]
    if text not in names:
        raise ValueError(f"{text!r} is none of {', '.join(names)}")
    return Importance[text.upper()]


def _format_importance(value: Importance) -> str:
    return value.name.lower()


def _parse_methods(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(","))


def _parse_word(text: str) -> str:
    if not text or any(c.isspace() for c in text):
        raise ValueError(f"{text!r} is not one word")
    return text


WORD: Final = (_parse_word, str)
WHOLE: Final = (parse_integer, str)
DECIMAL: Final = (parse_decimal, format_decimal)
DURATION: Final = (parse_duration, format_duration)
FLAG: Final = (parse_flag, format_flag)

# Columns by attribute of the row types, in the order of the file.
COLUMNS: Final[Mapping[str, Mapping[str, Column]]] = {
    "route": {
        "path": Column("path", *WORD),
        "methods": Column("methods", _parse_methods, ", ".join),
        "pool": Column("pool", *WORD),
        "importance": Column(
            "class",
            _parse_importance,
            _format_importance,
        ),
        "open": Column("open", *FLAG),
        "idempotent": Column("idempotent", *FLAG),
        "timeout": Column("timeout", *DURATION),
        "retries": Column("retries", *WHOLE),
        "worth": Column("worth", *DECIMAL),
        "body_limit": Column("body_limit", parse_size, format_size),
    },
    "pool": {
        "slots": Column("slots", *WHOLE),
        "connections": Column("connections", *WHOLE),
        "queue": Column("queue", *WHOLE),
        "warmup": Column("warmup", *DURATION),
        "retry_share": Column("retry_share", *DECIMAL),
    },
    "workspace": {
        "rate": Column("rate", *DECIMAL),
        "burst": Column("burst", *WHOLE),
        "weight": Column("weight", *DECIMAL),
    },
}
ROW_TYPES: Final[Mapping[str, type[Route] | type[Pool] | type[Workspace]]] = {
    "route": Route,
    "pool": Pool,
    "workspace": Workspace,
}


class ChangeKind(enum.Enum):
    """What happens to a row."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class ColumnChange:
    """A column's old and new value, as text; empty where there is none."""

    column: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that two tables differ in."""

    kind: ChangeKind
    table: str
    row: str
    columns: tuple[ColumnChange, ...]


def _get_defaults(row_type: type[Row]) -> dict[str, Any]:
    return {
        item.name: item.default
        for item in fields(row_type)
        if item.default is not MISSING
    }


def _make_placeholder(attribute: str, name: str) -> str | int:
    """Return a value for a required column whose text is bad.

    The row's other columns are checked with it. The path is one that no
    other route has.
    """
    return {"path": f"/-/{name}", "pool": "-"}.get(attribute, 1)


def _take_row(
    ini: IniFile,
    row_type: type[RowT],
    table: str,
    name: str,
) -> RowT:
    """Take one section; problems in it are noted."""
    section = f"{table} {name}"
    defaults = _get_defaults(row_type)
    values: dict[str, Any] = {}
    for attribute, column in COLUMNS[table].items():
        value = ini.take(
            section,
            column.title,
            column.parse,
            defaults.get(attribute),
        )
        if value is None:
            value = _make_placeholder(attribute, name)
        values[attribute] = value
    return row_type(name=name, **values)


def _take_rows(
    ini: IniFile,
    row_type: type[RowT],
    table: str,
) -> dict[str, RowT]:
    rows: dict[str, RowT] = {}
    for section in tuple(ini.sections):
        kind, _, name = section.partition(" ")
        if kind == table:
            rows[name] = _take_row(ini, row_type, table, name)
    return rows


def _report_table_problems(ini: IniFile, tables: Tables) -> None:
    """Note what validation finds beyond the problems of parsing."""
    reported = {(p.section, p.key) for p in ini.problems}
    for problem in find_problems(tables):
        section = f"{problem.table} {problem.row}"
        column = COLUMNS[problem.table].get(problem.column)
        key = column.title if column else problem.column
        if (section, key) not in reported:
            ini.report(section, key, problem.message)


def _build_tables(ini: IniFile) -> Tables:
    """Return the tables; raise FileError TABLE_INVALID if unsound."""
    tables = Tables(
        routes=_take_rows(ini, Route, "route"),
        pools=_take_rows(ini, Pool, "pool"),
        workspaces=_take_rows(ini, Workspace, "workspace"),
    )
    ini.report_unknown(
        section
        for section in ini.sections
        if section.partition(" ")[0] in COLUMNS
    )
    _report_table_problems(ini, tables)
    ini.raise_problems(ErrorCode.TABLE_INVALID)
    return tables


def parse_tables(text: str, file: str = "tables") -> Tables:
    """Parse INI text; raise FileError TABLE_INVALID with all problems."""
    return _build_tables(parse_ini(file, text))


def load_tables(path: Path) -> Tables:
    """Read and parse a file; raise FileError TABLE_INVALID if bad."""
    return _build_tables(read_ini(path, ErrorCode.TABLE_INVALID))


def format_row(table: str, row: Row) -> Mapping[str, str]:
    """Return a row's columns as text, by their titles in the file."""
    return {
        column.title: column.format(getattr(row, attribute))
        for attribute, column in COLUMNS[table].items()
    }


def get_rows(tables: Tables, table: str) -> Mapping[str, Row]:
    """Return the rows of the table ``route``, ``pool`` or ``workspace``."""
    rows: Mapping[str, Row] = getattr(tables, f"{table}s")
    return rows


def format_tables(tables: Tables) -> str:
    """Return canonical INI text: every column, rows sorted by name."""
    sections: list[str] = []
    for table in COLUMNS:
        for name, row in sorted(get_rows(tables, table).items()):
            lines = [f"[{table} {name}]"]
            lines.extend(
                f"{title} = {value}"
                for title, value in format_row(table, row).items()
            )
            sections.append("\n".join(lines) + "\n")
    return "\n".join(sections)


def _diff_row(
    table: str,
    name: str,
    old: Row | None,
    new: Row | None,
) -> RowChange | None:
    before = format_row(table, old) if old else {}
    after = format_row(table, new) if new else {}
    columns = tuple(
        ColumnChange(
            column.title,
            before.get(column.title, ""),
            after.get(column.title, ""),
        )
        for column in COLUMNS[table].values()
        if before.get(column.title) != after.get(column.title)
    )
    if not columns:
        return None
    if old is None:
        return RowChange(ChangeKind.ADDED, table, name, columns)
    if new is None:
        return RowChange(ChangeKind.REMOVED, table, name, columns)
    return RowChange(ChangeKind.CHANGED, table, name, columns)


def diff_tables(old: Tables, new: Tables) -> tuple[RowChange, ...]:
    """Return the rows that differ, by table and name."""
    changes: list[RowChange] = []
    for table in COLUMNS:
        before = get_rows(old, table)
        after = get_rows(new, table)
        for name in sorted({*before, *after}):
            change = _diff_row(
                table,
                name,
                before.get(name),
                after.get(name),
            )
            if change is not None:
                changes.append(change)
    return tuple(changes)
