"""Slopes of what something costs against its size."""

import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any

from bench._figures import Figure


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Line by least squares; ``standard_error`` is the slope's."""

    slope: float
    intercept: float
    standard_error: float

    def predict(self, size: float) -> float:
        """Return the value at a size, measured or not."""
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class Series:
    """Values of one quantity at three or more sizes."""

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> LinearFit:
        """Return the line through the points."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        slope, base = statistics.linear_regression(sizes, values)
        mean = statistics.fmean(sizes)
        spread = sum((size - mean) ** 2 for size in sizes)
        rest = sum(
            (value - base - slope * size) ** 2 for size, value in self.points
        )
        error = (rest / max(1, len(sizes) - 2) / spread) ** 0.5
        return LinearFit(slope, base, error)

    def describe(self, measure: str) -> Iterator[Figure]:
        """Yield each point and the line."""
        for size, value in self.points:
            name = f"{self.name} at {size:g} {self.per}"
            yield Figure(measure, "measured", name, self.unit, value)
        fit = self.fit()
        rows = {
            f"{self.name}, slope": (f"{self.unit} per {self.per}", fit.slope),
            f"{self.name}, slope error": (
                f"{self.unit} per {self.per}",
                fit.standard_error,
            ),
            f"{self.name}, base": (self.unit, fit.intercept),
        }
        for name, (unit, value) in rows.items():
            yield Figure(measure, "slope", name, unit, value)


def time_call(call: Callable[[], object], repeats: int) -> float:
    """Return the least processor time of a call in seconds.

    Of five rounds the best counts, as others share the machine.
    """
    best = float("inf")
    for _ in range(5):
        started = time.process_time()
        for _ in range(repeats):
            call()
        best = min(best, (time.process_time() - started) / repeats)
    return best


def measure_memory(build: Callable[[], Any]) -> int:
    """Return the bytes that what ``build`` returns keeps allocated."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return size


async def measure_memory_async(build: Callable[[], Awaitable[None]]) -> int:
    """Return the bytes that ``build`` leaves allocated."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    await build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size
