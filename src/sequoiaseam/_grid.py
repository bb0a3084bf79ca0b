"""Tables of plain text that fit the width of a console."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from rich.box import SIMPLE_HEAD
from rich.console import Console, Group
from rich.table import Table
from rich.text import Text

WIDTH_MAX: Final = 1000


@dataclass(frozen=True, slots=True)
class Grid:
    """Rows of text; the first ``keys`` columns name a row.

    ``numbers`` are the columns aligned to the right. ``total`` sets the
    last row apart.
    """

    titles: Sequence[str]
    rows: Sequence[Sequence[str]]
    keys: int = 1
    numbers: frozenset[int] = frozenset()
    name: str = ""
    total: bool = False

    def build(self, columns: Sequence[int]) -> Table:
        """Return the keys and some of the other columns as one table."""
        table = Table(
            title=Text(self.name) if self.name else None,
            title_justify="left",
            box=SIMPLE_HEAD,
            pad_edge=False,
            padding=(0, 1, 0, 0),
        )
        chosen = (*range(self.keys), *columns)
        for column in chosen:
            table.add_column(
                self.titles[column],
                justify="right" if column in self.numbers else "left",
                no_wrap=True,
            )
        last = len(self.rows) - 2 if self.total else -1
        for number, row in enumerate(self.rows):
            table.add_row(
                *(Text(row[column]) for column in chosen),
                end_section=number == last,
            )
        return table

    def split(self, console: Console) -> Iterator[Table]:
        """Yield as few tables as needed so that no cell is cut off."""
        wide = console.options.update(width=WIDTH_MAX)
        chosen: list[int] = []
        for column in range(self.keys, len(self.titles)):
            table = self.build((*chosen, column))
            width = console.measure(table, options=wide).maximum
            if chosen and width > console.width:
                yield self.build(chosen)
                chosen = []
            chosen.append(column)
        yield self.build(chosen)

    def render(self, console: Console) -> Group:
        """Return the tables for a console, one below the other."""
        return Group(*self.split(console))
