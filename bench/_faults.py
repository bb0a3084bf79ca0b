"""Random loads and faults for the simulated quota fleet."""

import random
from collections.abc import Iterator
from datetime import timedelta
from typing import Any, Final
from unittest import mock

from bench._fleet import SECOND, Network, QuotaFleet, SkewedClock
from sequoiaseam import _quota
from sequoiaseam._tables import Workspace
from sequoiaseam.const import ELECTION_TIMEOUT_MIN

PLAIN: Final[dict[str, Any]] = {"RESERVE_TIME": _quota.RESERVE_TIME}
NAMES: Final = ("a", "b", "c")
LENGTH: Final = 4 * SECOND
# Longer than any request waits.
END: Final = LENGTH + 4 * SECOND
OVERLAP: Final = int(ELECTION_TIMEOUT_MIN.total_seconds() * SECOND)
# Nodes that hoard get all tokens which they ask for and never return
# any, so that they spend grants as late as they may.
HOARDING: Final[dict[str, Any]] = {
    "RESERVE_TIME": timedelta(0),
    "RESERVE_TOKENS_MIN": 0,
    "IDLE_TIMEOUT_MIN": timedelta(seconds=9),
    "IDLE_TIMEOUT_MAX": timedelta(seconds=9),
}


def run_faults(rng: random.Random, *, hoard: bool) -> QuotaFleet:
    """Run a fleet under a random load with up to five faults."""
    row = make_row(rng)
    network = Network(
        delay=rng.choice((100, 1500, 40_000)),
        jitter=rng.choice((0, 2000, 300_000)),
        loss=rng.choice((0.0, 0.1, 0.3)),
        duplication=rng.choice((0.0, 0.3)),
    )
    clocks = {name: make_clock(rng) for name in NAMES}
    fleet = QuotaFleet(rng, row, network, clocks, make_clock(rng))
    fleet.extra_demand_max = row.burst if hoard else 0
    arrivals = plan_crowds(rng, row) if hoard else plan_poisson(rng, row)
    for when in arrivals:
        name = rng.choice(NAMES)
        fleet.schedule_at(when, lambda name=name: fleet.request(name))  # type: ignore[misc]
    for _ in range(rng.randrange(6)):
        fleet.schedule_at(rng.randrange(LENGTH), lambda: disturb(fleet, rng))
    with mock.patch.multiple(_quota, **(HOARDING if hoard else PLAIN)):
        fleet.run(LENGTH)
        fleet.network = Network()
        fleet.run(END)
    return fleet


def plan_poisson(rng: random.Random, row: Workspace) -> Iterator[int]:
    """Yield Poisson arrivals at a multiple of the rate."""
    load = row.rate * rng.choice((0.5, 1.0, 4.0))
    when = 0
    while when < LENGTH:
        when += int(rng.expovariate(load) * SECOND)
        yield when


def plan_crowds(rng: random.Random, row: Workspace) -> Iterator[int]:
    """Yield crowds of arrivals after times without any."""
    when = 0
    while when < LENGTH:
        when += rng.randrange(10_000, 900_000)
        yield from [when] * rng.choice((2, row.burst * 2))


def make_row(rng: random.Random) -> Workspace:
    """Return a workspace with some rate and burst."""
    rate = rng.choice((3.0, 20.0, 60.0))
    return Workspace("w", rate, rng.choice((1, 7, 60)))


def make_clock(rng: random.Random) -> SkewedClock:
    """Return a clock up to 1% fast or slow."""
    ppm = rng.choice((-10_000, 0, 10_000))
    return SkewedClock(ppm, rng.randrange(10**9))


def disturb(fleet: QuotaFleet, rng: random.Random) -> None:
    """Let one thing go wrong, or change the rate and burst."""
    name = rng.choice(NAMES)
    events = (
        lambda: fleet.restart(name),
        lambda: fleet.network.partitioned.symmetric_difference_update(name),
        lambda: fleet.network.send_blocked.symmetric_difference_update(name),
        lambda: fleet.start_owner(make_clock(rng), rng.randrange(OVERLAP)),
        lambda: fleet.edit(make_row(rng)),
    )
    rng.choice(events)()
