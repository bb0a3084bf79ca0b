"""Measure the workspace quota on a simulated network.

Compares each request's fate with one exact bucket that sees all arrivals
at once. Requests are counted as refused inside the rate if that bucket
admits them; where a load is several times the rate, which request of a
crowd gets the next token is arbitrary, so there the admitted numbers are
compared.
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

ONE_WAY_US: Final = 1500
# Longest time until the bucket has filled, and for requests to end.
SETTLE: Final = 6 * SECOND
FAULT_RUNS: Final = 200

Pick = Callable[[random.Random, int, int], int]


def pick_any(rng: random.Random, _: int, nodes: int) -> int:
    """Return a random node."""
    return rng.randrange(nodes)


def pick_shifting(_: random.Random, when: int, nodes: int) -> int:
    """Return one node for a second, then the next."""
    return when // SECOND % nodes


@dataclass(frozen=True, slots=True)
class Case:
    """A load on one workspace and what goes wrong meanwhile.

    ``load`` is in requests a second, ``length`` in seconds. The events
    run at seconds after the start of the load. ``strict`` compares each
    request instead of the numbers.
    """

    name: str
    row: Workspace
    load: float
    nodes: int
    length: int
    pick: Pick = pick_any
    events: tuple[tuple[float, Callable[[QuotaFleet], None]], ...] = ()
    strict: bool = True
    target: str | None = "<= 0.001"
    # Largest error of any clock, in ppm.
    drift: int = 0
    delay: int = ONE_WAY_US


def _build_row(rate: float, burst: int) -> Workspace:
    return Workspace("w", rate, burst)


def _fail_over(fleet: QuotaFleet) -> None:
    """Lose the owner; a new one starts after an election."""
    nodes = {f"n{i}" for i in range(100)}
    fleet.network.partitioned.update(nodes)

    def elect() -> None:
        fleet.network.partitioned.clear()
        fleet.start_owner(SkewedClock())

    fleet.schedule_at(fleet.now + SECOND, elect)


def _cut(fleet: QuotaFleet) -> None:
    fleet.network.partitioned.update(("n0", "n1"))


def _heal(fleet: QuotaFleet) -> None:
    fleet.network.partitioned.clear()


def _edit(rate: float, burst: int) -> Callable[[QuotaFleet], None]:
    return lambda fleet: fleet.edit(_build_row(rate, burst))


SMALL: Final = _build_row(5.0, 10)
LARGE: Final = _build_row(2000.0, 2000)
CASES: Final = (
    Case("small, 100 nodes", SMALL, 5.0, 100, 4000),
    Case("large, shifting entry", LARGE, 2000.0, 10, 10, pick_shifting),
    Case(
        "large, burst of 0.1 s, shifting entry",
        _build_row(2000.0, 200),
        1900.0,
        10,
        10,
        pick_shifting,
    ),
    Case(
        "large, shifting entry, owner 60 ms away",
        LARGE,
        2000.0,
        10,
        6,
        pick_shifting,
        delay=60_000,
    ),
    Case("large, 100 nodes", LARGE, 1900.0, 100, 4),
    Case("small at 8x", SMALL, 40.0, 100, 200, strict=False),
    Case(
        "large at 8x",
        _build_row(500.0, 1000),
        4000.0,
        100,
        5,
        strict=False,
    ),
    Case(
        "owner failover",
        _build_row(200.0, 400),
        180.0,
        10,
        20,
        events=((5.0, _fail_over),),
        target=None,
    ),
    Case(
        "partition",
        _build_row(200.0, 400),
        180.0,
        10,
        15,
        events=((5.0, _cut), (9.0, _heal)),
        target=None,
    ),
    Case(
        "rate edited under load",
        _build_row(200.0, 400),
        190.0,
        10,
        15,
        events=((5.0, _edit(100.0, 50)), (10.0, _edit(400.0, 800))),
        strict=False,
    ),
    Case(
        "clocks 1% apart",
        _build_row(200.0, 400),
        190.0,
        10,
        15,
        drift=10_000,
    ),
)


def run_case(case: Case, seed: int) -> QuotaFleet:
    """Run a case and return the fleet."""
    rng = random.Random(f"{case.name} {seed}")
    clocks = {
        f"n{i}": SkewedClock(rng.randint(-case.drift, case.drift))
        for i in range(case.nodes)
    }
    network = Network(delay=case.delay)
    fleet = QuotaFleet(rng, case.row, network, clocks)
    start = SETTLE
    for at, event in case.events:
        when = start + int(at * SECOND)
        fleet.schedule_at(when, lambda event=event: event(fleet))  # type: ignore[misc]
    end = start + case.length * SECOND
    arrival = start + rng.expovariate(case.load / SECOND)
    while arrival < end:
        node = f"n{case.pick(rng, int(arrival) - start, case.nodes)}"
        fleet.schedule_at(int(arrival), lambda node=node: fleet.request(node))  # type: ignore[misc]
        arrival += rng.expovariate(case.load / SECOND)
    fleet.run(end + SETTLE)
    return fleet


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures of all cases."""
    for case in CASES:
        yield from _summarize(case, run_case(case, seed))
    fleets = [
        run_faults(random.Random(f"{number} {seed}"), hoard=number % 2 == 1)
        for number in range(FAULT_RUNS)
    ]
    worst = max(map(measure_overshoot, fleets))
    yield Figure(
        "quota",
        f"{FAULT_RUNS} runs with random faults",
        "worst overshoot",
        "requests",
        worst,
        "<= 0",
    )


def _count_refused(case: Case, fleet: QuotaFleet) -> float:
    """Return the share of requests refused inside the rate."""
    inside = find_inside_rate(fleet, case.row.burst)
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
    waited = sum(wait > 0 for wait in waits)
    count = len(fleet.outcomes)
    rows: tuple[tuple[str, str, float, str | None], ...] = (
        ("worst overshoot", "requests", measure_overshoot(fleet), "<= 0"),
        (
            "refused inside rate",
            "ratio",
            _count_refused(case, fleet),
            case.target,
        ),
        ("messages per request", "1", fleet.messages / count, None),
        ("waited for an ask", "ratio", waited / len(admitted), None),
        ("wait p50", "ms", waits[len(waits) // 2] / 1000, None),
        ("wait p99", "ms", waits[len(waits) * 99 // 100] / 1000, None),
        ("requests", "1", count, None),
    )
    for figure, unit, value, target in rows:
        yield Figure("quota", case.name, figure, unit, value, target)
