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

DEFAULT_CONSTANTS: Final[dict[str, Any]] = {
    "RESERVE_TIME": _quota.RESERVE_TIME
}
NODE_NAMES: Final = ("a", "b", "c")
FAULT_PHASE_US: Final = 4 * SECOND
# The run goes on without faults for longer than any request waits.
RUN_END_US: Final = FAULT_PHASE_US + 4 * SECOND
OWNER_OVERLAP_MAX_US: Final = int(
    ELECTION_TIMEOUT_MIN.total_seconds() * SECOND
)
# The owner keeps no reserve, and nodes return no unused tokens, as
# 9 seconds are longer than a run. Nodes thus hoard all tokens that they ask
# for and spend their grants as late as possible.
HOARDING_CONSTANTS: Final[dict[str, Any]] = {
    "RESERVE_TIME": timedelta(0),
    "RESERVE_TOKENS_MIN": 0,
    "IDLE_TIMEOUT_MIN": timedelta(seconds=9),
    "IDLE_TIMEOUT_MAX": timedelta(seconds=9),
}


def run_faults(rng: random.Random, *, hoard: bool) -> QuotaFleet:
    """Run a quota fleet under a random load with up to five faults.

    With ``hoard``, nodes ask for more tokens than they need and keep them.
    """
    workspace = create_workspace(rng)
    network = Network(
        delay=rng.choice((100, 1500, 40_000)),
        jitter=rng.choice((0, 2000, 300_000)),
        loss=rng.choice((0.0, 0.1, 0.3)),
        duplication=rng.choice((0.0, 0.3)),
    )
    clocks = {name: create_clock(rng) for name in NODE_NAMES}
    fleet = QuotaFleet(rng, workspace, network, clocks, create_clock(rng))
    fleet.extra_demand_max = workspace.burst if hoard else 0
    arrivals = (
        plan_bursts(rng, workspace) if hoard else plan_poisson(rng, workspace)
    )
    for arrival_us in arrivals:
        name = rng.choice(NODE_NAMES)
        fleet.schedule_at(arrival_us, lambda name=name: fleet.request(name))  # type: ignore[misc]
    for _ in range(rng.randrange(6)):
        fleet.schedule_at(
            rng.randrange(FAULT_PHASE_US), lambda: inject_fault(fleet, rng)
        )
    with mock.patch.multiple(
        _quota, **(HOARDING_CONSTANTS if hoard else DEFAULT_CONSTANTS)
    ):
        fleet.run(FAULT_PHASE_US)
        fleet.network = Network()
        fleet.run(RUN_END_US)
    return fleet


def plan_poisson(rng: random.Random, workspace: Workspace) -> Iterator[int]:
    """Yield the times of Poisson arrivals at a multiple of the rate."""
    load = workspace.rate * rng.choice((0.5, 1.0, 4.0))
    arrival_us = 0
    while arrival_us < FAULT_PHASE_US:
        arrival_us += int(rng.expovariate(load) * SECOND)
        yield arrival_us


def plan_bursts(rng: random.Random, workspace: Workspace) -> Iterator[int]:
    """Yield the times of arrivals in bursts, with idle times between them."""
    arrival_us = 0
    while arrival_us < FAULT_PHASE_US:
        arrival_us += rng.randrange(10_000, 900_000)
        yield from [arrival_us] * rng.choice((2, workspace.burst * 2))


def create_workspace(rng: random.Random) -> Workspace:
    """Return a workspace with a random rate and burst."""
    rate = rng.choice((3.0, 20.0, 60.0))
    return Workspace("w", rate, rng.choice((1, 7, 60)))


def create_clock(rng: random.Random) -> SkewedClock:
    """Return a clock that is exact, or 1% fast or slow."""
    ppm = rng.choice((-10_000, 0, 10_000))
    return SkewedClock(ppm, rng.randrange(10**9))


def inject_fault(fleet: QuotaFleet, rng: random.Random) -> None:
    """Inject one random fault, or change the rate and burst."""
    name = rng.choice(NODE_NAMES)
    faults = (
        lambda: fleet.restart(name),
        lambda: fleet.network.partitioned.symmetric_difference_update(name),
        lambda: fleet.network.send_blocked.symmetric_difference_update(name),
        lambda: fleet.start_owner(
            create_clock(rng), rng.randrange(OWNER_OVERLAP_MAX_US)
        ),
        lambda: fleet.edit(create_workspace(rng)),
    )
    rng.choice(faults)()
