"""Capacity benchmark: measure costs, fit and project them."""

import asyncio
from collections.abc import Iterator
from itertools import chain
from typing import Final

from bench import _capacity_code as code
from bench import _capacity_processes as processes
from bench._figures import Figure
from bench._projection import BENCHMARK_NAME, FixedCosts, project
from bench._slopes import LinearFit, Series

IDLE_NODE_CPU_TARGET: Final = "<= 15"
LIBRARIES_PROGRAM: Final = "node's libraries"
ENTRY_PROCESS: Final = "entry node"


def measure_decision_code(seed: int) -> Iterator[Series]:
    """Yield the cost series of the decision code."""
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


def create_import_figures(programs: dict[str, int]) -> Iterator[Figure]:
    """Yield the resident memory after importing each program's modules."""
    for name, size in programs.items():
        yield Figure(
            BENCHMARK_NAME,
            "measured",
            f"resident after the imports, {name}",
            "MB",
            size / 1e6,
        )


def create_process_figures(costs: processes.ProcessCosts) -> Iterator[Figure]:
    """Yield the processor time and resident memory of idle processes."""
    for name, value in costs.idle_cpu_ms.items():
        yield Figure(
            BENCHMARK_NAME,
            "measured",
            f"idle {name}",
            "ms/s",
            value,
            IDLE_NODE_CPU_TARGET if "node" in name else None,
        )
    for name, size in costs.resident_bytes.items():
        yield Figure(
            BENCHMARK_NAME,
            "measured",
            f"resident, idle {name}, 2 members",
            "MB",
            size / 1e6,
        )


def create_message_figures() -> Iterator[Figure]:
    """Yield the sizes of single messages."""
    members_bytes, groups_bytes = code.measure_domain_loss()
    rows = {
        "ping and pong": code.measure_ping(),
        "delta of an edit of the tables": code.measure_table_delta(),
        "delta of a lost failure domain": members_bytes,
        "delta of the witness groups after it": groups_bytes,
    }
    for name, size in rows.items():
        yield Figure(BENCHMARK_NAME, "measured", name, "bytes", size)


def run(seed: int) -> Iterator[Figure]:
    """Measure all cost series, then project them to the design size."""
    fits: dict[str, LinearFit] = {}
    # Measures calls first, while the host runs the fewest processes.
    costs = asyncio.run(processes.measure_calls(seed))
    yield from create_process_figures(costs)
    programs = dict(asyncio.run(processes.measure_imports()))
    yield from create_import_figures(programs)
    yield from create_message_figures()
    for series in chain(
        costs.series,
        (asyncio.run(processes.measure_transport()),),
        asyncio.run(processes.measure_links()),
        measure_decision_code(seed),
    ):
        fits[series.name] = series.fit()
        yield from series.create_figures(BENCHMARK_NAME)
    fixed_costs = FixedCosts(
        ping_bytes=code.measure_ping(),
        table_delta_bytes=code.measure_table_delta(),
        idle_node_ms=costs.idle_cpu_ms[ENTRY_PROCESS],
        idle_node_bytes=costs.resident_bytes[ENTRY_PROCESS],
        libraries_bytes=programs[LIBRARIES_PROGRAM],
    )
    yield from project(fits, fixed_costs)
