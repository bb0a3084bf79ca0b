"""Tests of the choice between failure domains, without a network."""

import heapq
import itertools
import random
import unittest
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import Member
from tests.builders import build_member
from tests.seeds import iterate_seeds

POOL: Final = "history"
SLOTS: Final = 8
SERVICE_TIME: Final = timedelta(milliseconds=100)
WARMUP: Final = timedelta(seconds=15)
MEASURED_TIME: Final = timedelta(seconds=10)
SECOND: Final = timedelta(seconds=1)


@dataclass(slots=True)
class SimulatedMember:
    """A member that serves calls in order of arrival, one a slot."""

    domain: str
    speed: float = 1.0
    # End of the last call on each slot.
    slots: list[datetime] = field(default_factory=lambda: [EPOCH] * SLOTS)

    def serve(self, now: datetime, rng: random.Random) -> datetime:
        """Return when a call that arrives now ends."""
        started_at = max(now, heapq.heappop(self.slots))
        duration = SERVICE_TIME * rng.uniform(0.5, 1.5) / self.speed
        ended_at = started_at + duration
        heapq.heappush(self.slots, ended_at)
        return ended_at

    def measure_load(self, now: datetime) -> float:
        """Return the work in progress and waiting, as a part of the slots."""
        backlog = sum(
            max(timedelta(0), end - now) / SERVICE_TIME for end in self.slots
        )
        return backlog / SLOTS


@dataclass(slots=True)
class Outcome:
    """What the calls of each domain's nodes met."""

    calls: int = 0
    calls_elsewhere: int = 0
    waiting_time: timedelta = timedelta(0)

    @property
    def fraction_elsewhere(self) -> float:
        """Return the fraction of the calls that left their domain."""
        return self.calls_elsewhere / self.calls

    @property
    def mean_wait(self) -> timedelta:
        """Return the mean time beyond that of an idle member."""
        return self.waiting_time / self.calls


def simulate(
    seed: int,
    members: dict[str, SimulatedMember],
    utilization_by_domain: dict[str, float],
    nodes_per_domain: int = 10,
) -> Outcome:
    """Send Poisson arrivals of each domain's nodes through balancers.

    Utilization is relative to the slots of all members divided equally
    among the domains.
    """
    rng = random.Random(seed)
    rows: dict[str, Member] = {
        name: build_member(name, domain=member.domain)
        for name, member in members.items()
    }
    domains = sorted(utilization_by_domain)
    balancers = [
        (domain, Balancer(f"{domain}-{i}", domain, "south", rng))
        for domain in domains
        for i in range(nodes_per_domain)
    ]
    for _, balancer in balancers:
        balancer.update(EPOCH, rows)
    capacity = (
        SLOTS * len(members) / len(domains) / SERVICE_TIME.total_seconds()
    )
    rates = [
        utilization_by_domain[domain] * capacity / nodes_per_domain
        for domain, _ in balancers
    ]
    outcome = Outcome()
    events: list[tuple[datetime, int, int, str, datetime]] = []
    ids = itertools.count()
    now = EPOCH
    while now < EPOCH + WARMUP + MEASURED_TIME:
        now += SECOND * rng.expovariate(sum(rates))
        while events and events[0][0] <= now:
            ended_at, _, index, name, started_at = heapq.heappop(events)
            balancer = balancers[index][1]
            balancer.finish(
                ended_at, name, CallResult.OK, ended_at - started_at
            )
            load = members[name].measure_load(ended_at)
            balancer.record_load(ended_at, name, load)
        (index,) = rng.choices(range(len(balancers)), rates)
        domain, balancer = balancers[index]
        chosen = balancer.choose(now, POOL)
        assert chosen is not None
        balancer.start(now, chosen)
        ended_at = members[chosen].serve(now, rng)
        heapq.heappush(events, (ended_at, next(ids), index, chosen, now))
        if now >= EPOCH + WARMUP:
            outcome.calls += 1
            outcome.calls_elsewhere += members[chosen].domain != domain
            outcome.waiting_time += max(
                timedelta(0), ended_at - now - SERVICE_TIME
            )
    return outcome


def build_simulated(**counts: int) -> dict[str, SimulatedMember]:
    """Return a number of members for each domain."""
    return {
        f"{domain}-m{i}": SimulatedMember(domain)
        for domain, count in counts.items()
        for i in range(count)
    }


class LocalityTest(unittest.TestCase):
    """Guards against calls that leave their domain or wait without need."""

    def test_even_load_stays_in_its_domains(self) -> None:
        """Calls gain nothing elsewhere, whether members are idle or busy."""
        for utilization in (0.2, 0.6, 0.9):
            for seed in iterate_seeds(2):
                with self.subTest(utilization=utilization, seed=seed):
                    outcome = simulate(
                        seed,
                        build_simulated(a=6, b=6, c=6),
                        dict.fromkeys("abc", utilization),
                    )
                    self.assertLess(outcome.fraction_elsewhere, 0.2)
                    self.assertLess(outcome.mean_wait, SERVICE_TIME)

    def test_even_load_of_many_callers_stays_in_its_domains(self) -> None:
        """Each of them calls a single member less than once a second."""
        for seed in iterate_seeds(2):
            with self.subTest(seed=seed):
                outcome = simulate(
                    seed,
                    build_simulated(a=6, b=6, c=6),
                    dict.fromkeys("abc", 0.6),
                    nodes_per_domain=300,
                )
                self.assertLess(outcome.fraction_elsewhere, 0.2)
                self.assertLess(outcome.mean_wait, SERVICE_TIME)

    def test_shift_of_all_callers_to_one_domain_uses_the_others(self) -> None:
        for seed in iterate_seeds(2):
            with self.subTest(seed=seed):
                outcome = simulate(
                    seed,
                    build_simulated(a=6, b=6, c=6),
                    {"a": 2.1, "b": 0.05, "c": 0.05},
                )
                self.assertGreater(outcome.fraction_elsewhere, 0.4)
                self.assertLess(outcome.mean_wait, SERVICE_TIME)

    def test_a_domain_with_few_members_is_not_overloaded(self) -> None:
        for seed in iterate_seeds(2):
            with self.subTest(seed=seed):
                outcome = simulate(
                    seed,
                    build_simulated(a=1, b=8),
                    dict.fromkeys("ab", 0.7),
                )
                self.assertLess(outcome.mean_wait, SERVICE_TIME)

    def test_a_domain_with_slow_members_is_not_overloaded(self) -> None:
        for seed in iterate_seeds(2):
            with self.subTest(seed=seed):
                members = build_simulated(a=4, b=4)
                for member in members.values():
                    if member.domain == "a":
                        member.speed = 0.4
                outcome = simulate(seed, members, dict.fromkeys("ab", 0.5))
                self.assertLess(outcome.mean_wait, 3 * SERVICE_TIME)


if __name__ == "__main__":
    unittest.main()
