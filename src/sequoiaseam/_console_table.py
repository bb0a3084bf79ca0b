"""Tables of plain text that fit the width of a console."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from rich.box import SIMPLE_HEAD
from rich.cells import cell_len
from rich.console import Console, Group
from rich.table import Table
from rich.text import Text


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

    def measure(self, column: int) -> int:
        """Return the width of a column, with padding and divider."""
        cells = (self.titles[column], *(row[column] for row in self.rows))
        lines = (line for cell in cells for line in cell.split("\n"))
        return max(map(cell_len, lines)) + 2

    def split(self, width: int) -> Iterator[Table]:
        """Yield as few tables as needed so that no cell is cut off."""
        start = sum(map(self.measure, range(self.keys)))
        used = start
        chosen: list[int] = []
        for column in range(self.keys, len(self.titles)):
            needed = self.measure(column)
            if chosen and used + needed > width:
                yield self.build(chosen)
                chosen = []
                used = start
            chosen.append(column)
            used += needed
        yield self.build(chosen)

    def render(self, console: Console) -> Group:
        """Return the tables for a console, one below the other."""
        return Group(*self.split(console.width))
