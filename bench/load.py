"""Open-loop load on loopback: requests start regardless of answers."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from hdrh.histogram import HdrHistogram

LATENCY_MAX_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3


@dataclass(slots=True)
class LoadResult:
    """Latencies in microseconds of complete answers, and failures by name."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, LATENCY_MAX_US, SIGNIFICANT_DIGITS
        ),
    )
    failures: Counter[str] = field(default_factory=Counter)

    def get_percentile(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return float(self.latencies.get_value_at_percentile(percentile)) / 1000


async def run_load(
    send: Callable[[], Awaitable[str]],
    *,
    rate: float,
    seconds: float,
    rng: Random,
) -> LoadResult:
    """Call ``send`` ``rate`` times a second with Poisson arrivals.

    ``send`` returns "" for a complete answer, else the name of the failure.
    Latency is measured from the time at which the request was due, so that
    a late start isn't hidden, but includes at most 1 ms of lateness.
    """
    result = LoadResult()
    tasks: set[asyncio.Task[None]] = set()
    started_at = time.perf_counter()
    due_after = 0.0

    async def measure(due_at: float) -> None:
        failure = await send()
        if failure:
            result.failures[failure] += 1
            return
        latency_us = (time.perf_counter() - due_at) * 1e6
        result.latencies.record_value(max(1, int(latency_us)))

    while due_after < seconds:
        due_after += rng.expovariate(rate)
        wait = started_at + due_after - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        # Limited because lateness from the event loop's coarse timer would
        # mask the compared latencies.
        due_at = max(started_at + due_after, time.perf_counter() - 0.001)
        task = asyncio.create_task(measure(due_at))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return result
