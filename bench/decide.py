"""Benchmark of the decision code of the request path."""

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

MEASURED_CALLS: Final = 20_000
QUEUE_LENGTHS: Final = (0, 100, 1000)
SLOT_COUNT: Final = 100
WORKSPACE_COUNT: Final = 8
MEMBER_COUNT: Final = 12
STEP_INTERVAL: Final = timedelta(microseconds=500)

Step = Callable[[datetime], object]


def measure_step(step: Step) -> float:
    """Return the mean time of one call of a step in seconds."""
    now = EPOCH
    for _ in range(MEASURED_CALLS // 10):
        now += STEP_INTERVAL
        step(now)
    started = time.perf_counter()
    for _ in range(MEASURED_CALLS):
        now += STEP_INTERVAL
        step(now)
    return (time.perf_counter() - started) / MEASURED_CALLS


def build_admission_step(rng: random.Random, queue_length: int) -> Step:
    """Return a step that offers one ticket and finishes another.

    All slots are in use and ``queue_length`` tickets wait. With a
    length of zero half of the slots are in use.
    """
    pool = Pool("pool", SLOT_COUNT, SLOT_COUNT, queue_length, timedelta(0))
    admission = Admission(pool, SLOT_COUNT, EPOCH, rng)
    running_ids: list[int] = []
    ticket_ids = iter(range(10**9))

    def offer(now: datetime) -> None:
        ticket = Ticket(
            next(ticket_ids),
            rng.choice((Importance.LOW, Importance.NORMAL, Importance.HIGH)),
            f"workspace-{rng.randrange(WORKSPACE_COUNT)}",
            1.0,
            now,
            now + timedelta(minutes=5),
            begun=False,
        )
        record_started(admission.offer(now, ticket))

    def record_started(actions: tuple[object, ...]) -> None:
        running_ids.extend(
            action.ticket_id for action in actions if isinstance(action, Start)
        )

    def step(now: datetime) -> None:
        offer(now)
        ticket_id = running_ids.pop(rng.randrange(len(running_ids)))
        record_started(admission.finish(now, ticket_id, Completion.OK))

    for _ in range(
        SLOT_COUNT + queue_length if queue_length else SLOT_COUNT // 2
    ):
        offer(EPOCH)
    return step


def build_pressure_step(rng: random.Random) -> Step:
    """Return a step that records pressures and decides on a root request."""
    pressures = PressureMap(rng)
    pools = tuple(f"pool-{n}" for n in range(4))

    def step(now: datetime) -> None:
        levels = tuple(PoolPressure(pool, 1.5) for pool in pools)
        pressures.observe(now, "route", levels)
        workspace = f"workspace-{rng.randrange(WORKSPACE_COUNT)}"
        pressures.decide(now, "route", Importance.NORMAL, workspace, 1.0)

    return step


def build_retry_step() -> Step:
    """Return a step that spends a retry budget and its pool's retry share."""
    share = RetryShare(0.1)

    def step(now: datetime) -> None:
        share.record(now)
        budget = RetryBudget(3)
        delegated = budget.split()
        if share.allow(now) and budget.take():
            delegated -= 1
        budget.give_back(delegated)

    return step


def build_balancer_step(rng: random.Random) -> Step:
    """Return a step that chooses a member and records the call's result."""
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
        for n in range(MEMBER_COUNT)
    }
    balancer.update(EPOCH - timedelta(minutes=1), members)
    latency = timedelta(milliseconds=10)

    def step(now: datetime) -> None:
        member = balancer.choose(now, "pool")
        if member is not None:
            balancer.start(now, member)
            balancer.finish(now, member, CallResult.OK, latency)

    return step


def run(seed: int) -> Iterator[Figure]:
    """Measure each step; a single process has no target."""
    rng = random.Random(seed)
    steps: dict[str, Step] = {
        f"admission.queued-{queue_length}": build_admission_step(
            rng, queue_length
        )
        for queue_length in QUEUE_LENGTHS
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
