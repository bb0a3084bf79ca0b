"""Speed of the decision code of the request path."""

import random
import time
from collections.abc import Callable, Iterator
from datetime import datetime, timedelta
from typing import Final

from bench._figures import Figure
from sequoiaseam._admission import Admission, Start
from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._limiter import Completion
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._queue import Ticket
from sequoiaseam._retry import RetryBudget, RetryShare
from sequoiaseam._tables import Importance, Pool

CALLS: Final = 20_000
QUEUES: Final = (0, 100, 1000)
SLOTS: Final = 100
WORKSPACES: Final = 8
MEMBERS: Final = 12
STEP: Final = timedelta(microseconds=500)

Step = Callable[[datetime], object]


def measure_step(step: Step) -> float:
    """Return the seconds that one call of a step takes."""
    now = EPOCH
    for _ in range(CALLS // 10):
        now += STEP
        step(now)
    began = time.perf_counter()
    for _ in range(CALLS):
        now += STEP
        step(now)
    return (time.perf_counter() - began) / CALLS


def build_admission_step(rng: random.Random, queued: int) -> Step:
    """Return a step that offers a ticket and finishes another.

    All slots are taken and as many tickets wait as given, unless none
    should wait.
    """
    pool = Pool("pool", SLOTS, SLOTS, queued, timedelta(0))
    admission = Admission(pool, SLOTS, EPOCH, rng)
    running: list[int] = []
    numbers = iter(range(10**9))

    def offer(now: datetime) -> None:
        ticket = Ticket(
            next(numbers),
            rng.choice((Importance.LOW, Importance.NORMAL, Importance.HIGH)),
            f"workspace-{rng.randrange(WORKSPACES)}",
            1.0,
            now,
            now + timedelta(minutes=5),
            begun=False,
        )
        note(admission.offer(now, ticket))

    def note(actions: tuple[object, ...]) -> None:
        running.extend(
            action.ticket_id for action in actions if isinstance(action, Start)
        )

    def step(now: datetime) -> None:
        offer(now)
        ticket_id = running.pop(rng.randrange(len(running)))
        note(admission.finish(now, ticket_id, Completion.OK))

    for _ in range(SLOTS + queued if queued else SLOTS // 2):
        offer(EPOCH)
    return step


def build_pressure_step(rng: random.Random) -> Step:
    """Return a step that learns from a response and decides a root."""
    pressures = PressureMap(rng)
    pools = tuple(f"pool-{n}" for n in range(4))

    def step(now: datetime) -> None:
        levels = tuple(PoolPressure(pool, 1.5) for pool in pools)
        pressures.observe(now, "route", levels)
        name = f"workspace-{rng.randrange(WORKSPACES)}"
        pressures.decide(now, "route", Importance.NORMAL, name, 1.0)

    return step


def build_retry_step() -> Step:
    """Return a step of a budget's life and the share of its pool."""
    share = RetryShare(0.1)

    def step(now: datetime) -> None:
        share.record(now)
        budget = RetryBudget(3)
        part = budget.split()
        if share.allow(now) and budget.take():
            part -= 1
        budget.give_back(part)

    return step


def build_balancer_step(rng: random.Random) -> Step:
    """Return a step that chooses a member and learns from the call."""
    balancer = Balancer("node-0", "domain-0", "region", rng)
    members = {
        f"node-{n}": Member(
            f"node-{n}",
            1,
            "127.0.0.1",
            7001,
            "pool",
            f"domain-{n % 3}",
            "region",
            MemberState.SERVING,
        )
        for n in range(MEMBERS)
    }
    balancer.update(EPOCH - timedelta(minutes=1), members)
    latency = timedelta(milliseconds=10)

    def step(now: datetime) -> None:
        name = balancer.choose(now, "pool")
        if name is not None:
            balancer.start(now, name)
            balancer.finish(now, name, CallResult.OK, latency)

    return step


def run(seed: int) -> Iterator[Figure]:
    """Measure each step; no target is set for one process."""
    rng = random.Random(seed)
    steps: dict[str, Step] = {
        f"admission.queued-{queued}": build_admission_step(rng, queued)
        for queued in QUEUES
    }
    steps["pressure.observe-decide"] = build_pressure_step(rng)
    steps["retry.budget-share"] = build_retry_step()
    steps["balancer.choose-finish"] = build_balancer_step(rng)
    for name, step in steps.items():
        seconds = measure_step(step)
        for figure, unit, value in (
            ("time", "us/call", seconds * 1e6),
            ("rate", "calls/s", 1 / seconds),
        ):
            yield Figure(
                "decide",
                "sequoiaseam",
                f"{name}.{figure}",
                unit,
                value,
            )
