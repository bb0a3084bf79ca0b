"""Benchmark results and their output as JSON lines."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One result of a benchmark.

    ``target`` compares the value with the stated goal, such as
    ``"<= 2.0"``. It is set only for this project's variant and None
    for the others.
    """

    measure: str
    variant: str
    figure: str
    unit: str
    value: float
    target: str | None = None


def format_figure(figure: Figure) -> str:
    """Serialize the figure as one line of JSON."""
    return json.dumps(
        {
            "measure": figure.measure,
            "variant": figure.variant,
            "figure": figure.figure,
            "unit": figure.unit,
            "value": round(figure.value, 6),
            "target": figure.target,
        },
    )
