"""Plain-text tables that fit the width of a console."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from rich.box import SIMPLE_HEAD
from rich.cells import cell_len
from rich.console import Console, Group
from rich.table import Table
from rich.text import Text


@dataclass(frozen=True, slots=True)
class ConsoleTable:
    """Rows of text cells, split into several tables if too wide.

    The first ``key_column_count`` columns identify a row and are
    repeated in each table. ``right_aligned`` holds the indexes of the
    right-aligned columns. With ``has_total_row``, a divider separates
    the last row from the others.
    """

    column_titles: Sequence[str]
    rows: Sequence[Sequence[str]]
    key_column_count: int = 1
    right_aligned: frozenset[int] = frozenset()
    title: str = ""
    has_total_row: bool = False

    def build_table(self, columns: Sequence[int]) -> Table:
        """Return one table of the key columns and the given others."""
        table = Table(
            title=Text(self.title) if self.title else None,
            title_justify="left",
            box=SIMPLE_HEAD,
            pad_edge=False,
            padding=(0, 1, 0, 0),
        )
        selected = (*range(self.key_column_count), *columns)
        for column in selected:
            table.add_column(
                self.column_titles[column],
                justify="right" if column in self.right_aligned else "left",
                no_wrap=True,
            )
        last_body_row = len(self.rows) - 2 if self.has_total_row else -1
        for index, row in enumerate(self.rows):
            table.add_row(
                *(Text(row[column]) for column in selected),
                end_section=index == last_body_row,
            )
        return table

    def measure_width(self, column: int) -> int:
        """Return a column's width in characters, with padding and divider."""
        cells = (
            self.column_titles[column],
            *(row[column] for row in self.rows),
        )
        lines = (line for cell in cells for line in cell.split("\n"))
        return max(map(cell_len, lines)) + 2

    def split_columns(self, width: int) -> Iterator[Table]:
        """Yield as few tables as fit ``width`` without truncated cells."""
        key_width = sum(map(self.measure_width, range(self.key_column_count)))
        used_width = key_width
        selected: list[int] = []
        for column in range(self.key_column_count, len(self.column_titles)):
            column_width = self.measure_width(column)
            if selected and used_width + column_width > width:
                yield self.build_table(selected)
                selected = []
                used_width = key_width
            selected.append(column)
            used_width += column_width
        yield self.build_table(selected)

    def render(self, console: Console) -> Group:
        """Return the tables for a console, stacked vertically."""
        return Group(*self.split_columns(console.width))
