"""Slopes at several sizes, and their projection to the design size."""

import asyncio
from collections.abc import Iterator
from itertools import chain
from typing import Final

from bench import _capacity_code as code
from bench import _capacity_processes as processes
from bench._figures import Figure
from bench._projection import MEASURE, FixedCosts, project
from bench._slopes import LinearFit, Series

IDLE_TARGET: Final = "<= 15"
LIBRARIES: Final = "node's libraries"
ENTRY: Final = "entry node"


def measure_code(seed: int) -> Iterator[Series]:
    """Yield the slopes of the decision code."""
    yield from chain(
        code.measure_members(),
        code.measure_routes(),
        code.measure_workspaces(),
        code.measure_quota(seed),
        code.measure_hosts(seed),
        code.measure_edits(),
        code.measure_witnesses(seed),
        code.measure_reports(seed),
    )


def describe_programs(programs: dict[str, int]) -> Iterator[Figure]:
    """Yield what is resident after the imports alone."""
    for name, size in programs.items():
        yield Figure(
            MEASURE,
            "measured",
            f"resident after the imports, {name}",
            "MB",
            size / 1e6,
        )


def describe_processes(costs: processes.ProcessCosts) -> Iterator[Figure]:
    """Yield what idle processes use."""
    for name, value in costs.idle_ms.items():
        yield Figure(
            MEASURE,
            "measured",
            f"idle {name}",
            "ms/s",
            value,
            IDLE_TARGET if "node" in name else None,
        )
    for name, size in costs.resident.items():
        yield Figure(
            MEASURE,
            "measured",
            f"resident, idle {name}, 2 members",
            "MB",
            size / 1e6,
        )


def describe_constants() -> Iterator[Figure]:
    """Yield sizes of single messages."""
    left, groups = code.measure_domain_loss()
    rows = {
        "ping and pong": code.measure_ping(),
        "delta of an edit of the tables": code.measure_table_delta(),
        "delta of a lost failure domain": left,
        "delta of the witness groups after it": groups,
    }
    for name, size in rows.items():
        yield Figure(MEASURE, "measured", name, "bytes", size)


def run(seed: int) -> Iterator[Figure]:
    """Measure all slopes, then project them."""
    fits: dict[str, LinearFit] = {}
    # The calls go first, while the machine's processes are the fewest.
    costs = asyncio.run(processes.measure_calls(seed))
    yield from describe_processes(costs)
    programs = dict(asyncio.run(processes.measure_programs()))
    yield from describe_programs(programs)
    yield from describe_constants()
    for series in chain(
        costs.series,
        (asyncio.run(processes.measure_transport()),),
        asyncio.run(processes.measure_links()),
        measure_code(seed),
    ):
        fits[series.name] = series.fit()
        yield from series.create_figures(MEASURE)
    known = FixedCosts(
        ping_bytes=code.measure_ping(),
        table_delta_bytes=code.measure_table_delta(),
        idle_node_ms=costs.idle_ms[ENTRY],
        idle_node_bytes=costs.resident[ENTRY],
        libraries_bytes=programs[LIBRARIES],
    )
    yield from project(fits, known)
