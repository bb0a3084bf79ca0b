"""Linear fits of a measured cost against its size."""

import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any

from bench._figures import Figure


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Least-squares line; ``standard_error`` is that of the slope."""

    slope: float
    intercept: float
    standard_error: float

    def predict(self, size: float) -> float:
        """Return the fitted value; ``size`` may lie outside the data."""
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class Series:
    """Measurements of one quantity at three or more sizes.

    ``size_unit`` names the unit of the sizes, such as ``"members"``.
    """

    name: str
    unit: str
    size_unit: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> LinearFit:
        """Return the least-squares line through the points."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        slope, intercept = statistics.linear_regression(sizes, values)
        mean = statistics.fmean(sizes)
        squared_deviations = sum((size - mean) ** 2 for size in sizes)
        squared_residuals = sum(
            (value - intercept - slope * size) ** 2
            for size, value in self.points
        )
        standard_error = (
            squared_residuals / max(1, len(sizes) - 2) / squared_deviations
        ) ** 0.5
        return LinearFit(slope, intercept, standard_error)

    def create_figures(self, measure: str) -> Iterator[Figure]:
        """Yield a figure for each point, then the fitted line."""
        for size, value in self.points:
            name = f"{self.name} at {size:g} {self.size_unit}"
            yield Figure(measure, "measured", name, self.unit, value)
        fit = self.fit()
        rows = {
            f"{self.name}, slope": (
                f"{self.unit} per {self.size_unit}",
                fit.slope,
            ),
            f"{self.name}, slope error": (
                f"{self.unit} per {self.size_unit}",
                fit.standard_error,
            ),
            f"{self.name}, base": (self.unit, fit.intercept),
        }
        for name, (unit, value) in rows.items():
            yield Figure(measure, "slope", name, unit, value)


def time_call(call: Callable[[], object], repeats: int) -> float:
    """Return the shortest processor time of a call in seconds.

    Takes the shortest of five rounds, as other processes share the host.
    """
    shortest = float("inf")
    for _ in range(5):
        started = time.process_time()
        for _ in range(repeats):
            call()
        shortest = min(shortest, (time.process_time() - started) / repeats)
    return shortest


def measure_memory(build: Callable[[], Any]) -> int:
    """Return the allocated bytes of the object that ``build`` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del retained
    return size


async def measure_memory_async(build: Callable[[], Awaitable[None]]) -> int:
    """Return the bytes that are still allocated after ``build``."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    await build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size
