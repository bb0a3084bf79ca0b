"""Figures that measurements print as JSON lines."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    ``target`` is a comparison with the stated goal, such as
    ``"<= 2.0"``, on this project's variant, and None elsewhere.
    """

    measure: str
    variant: str
    figure: str
    unit: str
    value: float
    target: str | None = None


def format_figure(figure: Figure) -> str:
    """Return the figure as one JSON line."""
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
