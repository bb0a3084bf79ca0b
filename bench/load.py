"""Open-loop load on loopback: requests start on time, whatever returns."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from hdrh.histogram import HdrHistogram

MICROSECONDS_MAX: Final = 60_000_000
DIGITS: Final = 3


@dataclass(slots=True)
class LoadResult:
    """Times of whole answers in microseconds, and other ends by name."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MICROSECONDS_MAX, DIGITS),
    )
    failures: Counter[str] = field(default_factory=Counter)

    def get_percentile(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return float(self.latencies.get_value_at_percentile(percentile)) / 1000


async def run_load(
    send: Callable[[], Awaitable[str]],
    *,
    rate: float,
    seconds: float,
    rng: Random,
) -> LoadResult:
    """Call ``send`` at ``rate`` a second with Poisson arrivals.

    ``send`` returns "" for a whole answer, else what came instead. A
    time counts from when the request was due, so that a late start is
    not hidden.
    """
    result = LoadResult()
    tasks: set[asyncio.Task[None]] = set()
    started = time.perf_counter()
    due = 0.0

    async def measure(due_at: float) -> None:
        end = await send()
        if end:
            result.failures[end] += 1
            return
        micros = (time.perf_counter() - due_at) * 1e6
        result.latencies.record_value(max(1, int(micros)))

    while due < seconds:
        due += rng.expovariate(rate)
        wait = started + due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        # The event loop's timer is coarse; lateness that comes from it
        # would hide the times that are compared.
        due_at = max(started + due, time.perf_counter() - 0.001)
        task = asyncio.create_task(measure(due_at))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return result
