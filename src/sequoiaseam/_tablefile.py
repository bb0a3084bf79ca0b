"""Parse and format tables as INI text, and compare two sets of tables."""

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
    """A column's key in the file, its parser and its formatter."""

    title: str
    parse: Callable[[str], Any]
    format: Callable[[Any], str]


def _parse_importance(text: str) -> Importance:
    names = [importance.name.lower() for importance in Importance]
    if text not in names:
        raise ValueError(f"{text!r} is none of {', '.join(names)}")
    return Importance[text.upper()]


def _format_importance(value: Importance) -> str:
    return value.name.lower()


def _parse_methods(text: str) -> tuple[str, ...]:
    return tuple(method.strip() for method in text.split(","))


def _parse_word(text: str) -> str:
    if not text or any(char.isspace() for char in text):
        raise ValueError(f"{text!r} is not one word")
    return text


# Pairs of a parser and a formatter.
WORD_FORMAT: Final = (_parse_word, str)
INTEGER_FORMAT: Final = (parse_integer, str)
DECIMAL_FORMAT: Final = (parse_decimal, format_decimal)
DURATION_FORMAT: Final = (parse_duration, format_duration)
FLAG_FORMAT: Final = (parse_flag, format_flag)

# Columns by table and by attribute of its row type, in file order.
COLUMNS: Final[Mapping[str, Mapping[str, Column]]] = {
    "route": {
        "path": Column("path", *WORD_FORMAT),
        "methods": Column("methods", _parse_methods, ", ".join),
        "pool": Column("pool", *WORD_FORMAT),
        "importance": Column(
            "class",
            _parse_importance,
            _format_importance,
        ),
        "open": Column("open", *FLAG_FORMAT),
        "idempotent": Column("idempotent", *FLAG_FORMAT),
        "timeout": Column("timeout", *DURATION_FORMAT),
        "retries": Column("retries", *INTEGER_FORMAT),
        "worth": Column("worth", *DECIMAL_FORMAT),
        "body_limit": Column("body_limit", parse_size, format_size),
    },
    "pool": {
        "slots": Column("slots", *INTEGER_FORMAT),
        "connections": Column("connections", *INTEGER_FORMAT),
        "queue": Column("queue", *INTEGER_FORMAT),
        "warmup": Column("warmup", *DURATION_FORMAT),
        "retry_share": Column("retry_share", *DECIMAL_FORMAT),
        "cold_rate": Column("cold_rate", *DECIMAL_FORMAT),
    },
    "workspace": {
        "rate": Column("rate", *DECIMAL_FORMAT),
        "burst": Column("burst", *INTEGER_FORMAT),
        "weight": Column("weight", *DECIMAL_FORMAT),
    },
}
ROW_TYPES: Final[Mapping[str, type[Route] | type[Pool] | type[Workspace]]] = {
    "route": Route,
    "pool": Pool,
    "workspace": Workspace,
}


class ChangeKind(enum.Enum):
    """How a row differs between two sets of tables."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class ColumnChange:
    """A column's old and new value as text, empty if there is no row."""

    column: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that differs between two sets of tables."""

    kind: ChangeKind
    table: str
    row: str
    columns: tuple[ColumnChange, ...]


def _get_defaults(row_type: type[Row]) -> dict[str, Any]:
    return {
        column_field.name: column_field.default
        for column_field in fields(row_type)
        if column_field.default is not MISSING
    }


def _get_placeholder(attribute: str, name: str) -> str | int:
    """Return a value for a required column that is missing or invalid.

    With it the row's other columns can still be validated. The path is
    unique to the route, so that it doesn't conflict with another one.
    """
    return {"path": f"/-/{name}", "pool": "-"}.get(attribute, 1)


def _take_row(
    ini: IniFile,
    row_type: type[RowT],
    table: str,
    name: str,
) -> RowT:
    """Remove and parse the section of a row; report its problems."""
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
            value = _get_placeholder(attribute, name)
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
    """Validate the tables; skip keys whose problem is already reported."""
    reported = {(p.section, p.key) for p in ini.problems}
    for problem in find_problems(tables):
        section = f"{problem.table} {problem.row}"
        column = COLUMNS[problem.table].get(problem.column)
        key = column.title if column else problem.column
        if (section, key) not in reported:
            ini.report(section, key, problem.message)


def _build_tables(ini: IniFile) -> Tables:
    """Return the tables; raise FileError TABLE_INVALID if invalid."""
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
    """Read and parse a file.

    Raise FileError TABLE_INVALID with all problems.
    """
    return _build_tables(read_ini(path, ErrorCode.TABLE_INVALID))


def format_row(table: str, row: Row) -> Mapping[str, str]:
    """Return a row's columns as text, by their keys in the file."""
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
    """Return the rows that differ, ordered by table and name."""
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
