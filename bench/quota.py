"""Measure the workspace quota on a simulated network.

The reference is one exact token bucket that sees all arrivals without
delay. A request is refused inside the rate if the reference admits it. At
a load of several times the rate, it is arbitrary which of the concurrent
requests gets the next token, so only the numbers of admitted requests are
compared there.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from bench._faults import run_faults
from bench._figures import Figure
from bench._fleet import (
    SECOND,
    Network,
    QuotaFleet,
    SkewedClock,
    find_inside_rate,
    measure_overshoot,
)
from sequoiaseam._tables import Workspace

ONE_WAY_DELAY_US: Final = 1500
# Time in which the bucket is sure to fill, and all requests to end.
SETTLE_TIME_US: Final = 6 * SECOND
FAULT_RUN_COUNT: Final = 200

SelectNode = Callable[[random.Random, int, int], int]


def select_random_node(rng: random.Random, _: int, nodes: int) -> int:
    """Return the number of a random node."""
    return rng.randrange(nodes)


def select_rotating_node(_: random.Random, at_us: int, nodes: int) -> int:
    """Return the number of a node that changes every second."""
    return at_us // SECOND % nodes


@dataclass(frozen=True, slots=True)
class Case:
    """Load on one workspace, with faults and edits as events.

    ``request_rate`` is in requests per second, ``duration`` in seconds.
    Events have a time in seconds after the start of the load. ``strict``
    compares each request with the reference instead of the numbers of
    admitted requests.
    """

    name: str
    workspace: Workspace
    request_rate: float
    nodes: int
    duration: int
    select_node: SelectNode = select_random_node
    events: tuple[tuple[float, Callable[[QuotaFleet], None]], ...] = ()
    strict: bool = True
    target: str | None = "<= 0.001"
    # Maximum error of the rate of any clock.
    clock_drift_ppm: int = 0
    delay_us: int = ONE_WAY_DELAY_US


def _build_workspace(rate: float, burst: int) -> Workspace:
    return Workspace("w", rate, burst)


def _fail_over_owner(fleet: QuotaFleet) -> None:
    """Disconnect the owner; a new one is elected a second later."""
    nodes = {f"n{i}" for i in range(100)}
    fleet.network.partitioned.update(nodes)

    def elect() -> None:
        fleet.network.partitioned.clear()
        fleet.start_owner(SkewedClock())

    fleet.schedule_at(fleet.now + SECOND, elect)


def _partition(fleet: QuotaFleet) -> None:
    fleet.network.partitioned.update(("n0", "n1"))


def _heal(fleet: QuotaFleet) -> None:
    fleet.network.partitioned.clear()


def _edit_workspace(rate: float, burst: int) -> Callable[[QuotaFleet], None]:
    return lambda fleet: fleet.edit(_build_workspace(rate, burst))


SMALL_WORKSPACE: Final = _build_workspace(5.0, 10)
LARGE_WORKSPACE: Final = _build_workspace(2000.0, 2000)
CASES: Final = (
    Case("small, 100 nodes", SMALL_WORKSPACE, 5.0, 100, 4000),
    Case(
        "large, shifting entry",
        LARGE_WORKSPACE,
        2000.0,
        10,
        10,
        select_rotating_node,
    ),
    Case(
        "large, burst of 0.1 s, shifting entry",
        _build_workspace(2000.0, 200),
        1900.0,
        10,
        10,
        select_rotating_node,
    ),
    Case(
        "large, shifting entry, owner 60 ms away",
        LARGE_WORKSPACE,
        2000.0,
        10,
        6,
        select_rotating_node,
        delay_us=60_000,
    ),
    Case("large, 100 nodes", LARGE_WORKSPACE, 1900.0, 100, 4),
    Case("small at 8x", SMALL_WORKSPACE, 40.0, 100, 200, strict=False),
    Case(
        "large at 8x",
        _build_workspace(500.0, 1000),
        4000.0,
        100,
        5,
        strict=False,
    ),
    Case(
        "owner failover",
        _build_workspace(200.0, 400),
        180.0,
        10,
        20,
        events=((5.0, _fail_over_owner),),
        target=None,
    ),
    Case(
        "partition",
        _build_workspace(200.0, 400),
        180.0,
        10,
        15,
        events=((5.0, _partition), (9.0, _heal)),
        target=None,
    ),
    Case(
        "rate edited under load",
        _build_workspace(200.0, 400),
        190.0,
        10,
        15,
        events=(
            (5.0, _edit_workspace(100.0, 50)),
            (10.0, _edit_workspace(400.0, 800)),
        ),
        strict=False,
    ),
    Case(
        "clocks 1% apart",
        _build_workspace(200.0, 400),
        190.0,
        10,
        15,
        clock_drift_ppm=10_000,
    ),
)


def run_case(case: Case, seed: int) -> QuotaFleet:
    """Run a case and return the fleet with its outcomes."""
    rng = random.Random(f"{case.name} {seed}")
    clocks = {
        f"n{i}": SkewedClock(
            rng.randint(-case.clock_drift_ppm, case.clock_drift_ppm)
        )
        for i in range(case.nodes)
    }
    network = Network(delay=case.delay_us)
    fleet = QuotaFleet(rng, case.workspace, network, clocks)
    start_us = SETTLE_TIME_US
    for at, event in case.events:
        at_us = start_us + int(at * SECOND)
        fleet.schedule_at(at_us, lambda event=event: event(fleet))  # type: ignore[misc]
    end_us = start_us + case.duration * SECOND
    arrival_us = start_us + rng.expovariate(case.request_rate / SECOND)
    while arrival_us < end_us:
        node = (
            f"n{case.select_node(rng, int(arrival_us) - start_us, case.nodes)}"
        )
        fleet.schedule_at(
            int(arrival_us),
            lambda node=node: fleet.request(node),  # type: ignore[misc]
        )
        arrival_us += rng.expovariate(case.request_rate / SECOND)
    fleet.run(end_us + SETTLE_TIME_US)
    return fleet


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures of all cases and of the random fault runs."""
    for case in CASES:
        yield from _summarize(case, run_case(case, seed))
    fleets = [
        run_faults(random.Random(f"{number} {seed}"), hoard=number % 2 == 1)
        for number in range(FAULT_RUN_COUNT)
    ]
    worst_overshoot = max(map(measure_overshoot, fleets))
    yield Figure(
        "quota",
        f"{FAULT_RUN_COUNT} runs with random faults",
        "worst overshoot",
        "requests",
        worst_overshoot,
        "<= 0",
    )


def _compute_refused_share(case: Case, fleet: QuotaFleet) -> float:
    """Return the share of requests refused inside the rate."""
    inside = find_inside_rate(fleet, case.workspace.burst)
    outcomes = fleet.outcomes
    if case.strict:
        refused = sum(
            exact and not outcome.admitted
            for exact, outcome in zip(inside, outcomes, strict=True)
        )
    else:
        admitted = sum(outcome.admitted for outcome in outcomes)
        refused = max(0, sum(inside) - admitted)
    return refused / len(outcomes)


def _summarize(case: Case, fleet: QuotaFleet) -> Iterator[Figure]:
    admitted = [o for o in fleet.outcomes if o.admitted]
    waits = sorted(
        (o.decided_at or o.arrived_at) - o.arrived_at for o in admitted
    )
    waited_count = sum(wait > 0 for wait in waits)
    request_count = len(fleet.outcomes)
    rows: tuple[tuple[str, str, float, str | None], ...] = (
        ("worst overshoot", "requests", measure_overshoot(fleet), "<= 0"),
        (
            "refused inside rate",
            "ratio",
            _compute_refused_share(case, fleet),
            case.target,
        ),
        ("messages per request", "1", fleet.messages / request_count, None),
        ("waited for an ask", "ratio", waited_count / len(admitted), None),
        ("wait p50", "ms", waits[len(waits) // 2] / 1000, None),
        ("wait p99", "ms", waits[len(waits) * 99 // 100] / 1000, None),
        ("requests", "1", request_count, None),
    )
    for figure, unit, value, target in rows:
        yield Figure("quota", case.name, figure, unit, value, target)
