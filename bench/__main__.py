"""Run one benchmark: ``python -m bench NAME [--seed N]``."""

import importlib
import sys
from collections.abc import Callable, Iterable
from typing import Final

import cyclopts

from bench._figures import Figure, format_figure

BENCHMARK_NAMES: Final = (
    "latency",
    "overload",
    "decide",
    "control",
    "quota",
    "restart",
    "capacity",
    "once",
)

app = cyclopts.App(help="Run a benchmark and print its figures.")


@app.default
def measure(name: str, *, seed: int = 1) -> None:
    """Run the benchmark and print a JSON line for each figure.

    Parameters
    ----------
    name
        One of latency, overload, decide, control, quota, restart,
        capacity and once.
    seed
        Seed of all random number generators.
    """
    if name not in BENCHMARK_NAMES:
        print(f"unknown benchmark {name!r}", file=sys.stderr)
        sys.exit(2)
    module = importlib.import_module(f"bench.{name}")
    run: Callable[[int], Iterable[Figure]] = module.run
    for figure in run(seed):
        print(format_figure(figure), flush=True)


if __name__ == "__main__":
    app()
