"""Tables of the load that nodes have logged, second by second."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, Final

from sequoiaseam._console_table import ConsoleTable

ROUTE_EVENT: Final = "requests of a route"
SERVER_EVENT: Final = "load of the backend server"
# Fields of both events that hold a number.
ROUTE_FIELDS: Final = ("answered", "failed", "cancelled")
SERVER_FIELDS: Final = (
    "slots",
    "limit",
    "running",
    "queued",
    "slot_time",
    "slot_time_lost",
)


@dataclass(slots=True)
class _Second:
    """Sums over the lines of one second, of one route or pool."""

    sums: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    pressure_level: float = 0.0

    def add(self, fields: Mapping[str, Any], names: Iterable[str]) -> None:
        for name in names:
            self.sums[name] += fields[name]
        for entry in fields["refused"]:
            code, _, count = entry.rpartition(":")
            self.refused[code] += int(count)
        self.pressure_level = max(
            self.pressure_level, fields.get("pressure_level", 0.0)
        )

    def list_cells(self, names: Iterable[str]) -> list[str]:
        return [f"{round(self.sums[name], 1):g}" for name in names]

    def describe_refused(self) -> str:
        return " ".join(
            f"{code} {count}" for code, count in self.refused.most_common()
        )


_Seconds = dict[tuple[str, str], _Second]


def tabulate_load(lines: Iterable[str]) -> tuple[ConsoleTable, ConsoleTable]:
    """Return the requests by second and route, and the load by pool.

    ``lines`` are log lines of any nodes, in any order, each with any prefix
    before its JSON object. Other lines are skipped. Counts leave out nodes
    that answered all requests of a second.
    """
    routes: _Seconds = defaultdict(_Second)
    pools: _Seconds = defaultdict(_Second)
    for line in lines:
        event, second, fields = _parse_line(line)
        if event == ROUTE_EVENT:
            routes[second, fields["route"]].add(fields, ROUTE_FIELDS)
        elif event == SERVER_EVENT:
            pools[second, fields["pool"]].add(fields, SERVER_FIELDS)
    return (
        ConsoleTable(
            ("time", "route", *ROUTE_FIELDS, "refused"),
            [
                [
                    *key,
                    *second.list_cells(ROUTE_FIELDS),
                    second.describe_refused(),
                ]
                for key, second in sorted(routes.items())
            ],
            key_column_count=2,
            right_aligned=frozenset((2, 3, 4)),
            title="requests of callers and of backend servers",
        ),
        ConsoleTable(
            ("time", "pool", *SERVER_FIELDS, "level", "refused"),
            [
                [
                    *key,
                    *second.list_cells(SERVER_FIELDS),
                    f"{second.pressure_level:.2f}",
                    second.describe_refused(),
                ]
                for key, second in sorted(pools.items())
            ],
            key_column_count=2,
            right_aligned=frozenset(range(2, 9)),
            title="backend servers; slot times in seconds",
        ),
    )


def _parse_line(line: str) -> tuple[str, str, Mapping[str, Any]]:
    """Return event, time of day to the second, and fields of a log line."""
    if ROUTE_EVENT not in line and SERVER_EVENT not in line:
        return "", "", {}
    try:
        record = json.loads(line[line.index("{") :])
        written_at = datetime.fromisoformat(record["time"])
        return record["event"], f"{written_at:%H:%M:%S}", record["fields"]
    except (ValueError, KeyError, TypeError):
        # It was cut off, or another program wrote it.
        return "", "", {}
