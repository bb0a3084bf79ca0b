"""Tests of pool pressure and the shedding of root requests."""

import heapq
import math
import os
import random
import unittest
from collections import Counter
from dataclasses import replace
from datetime import datetime, timedelta

from sequoiaseam._admission import Admission, AdmissionAction, Start
from sequoiaseam._clock import EPOCH
from sequoiaseam._limiter import Completion
from sequoiaseam._pressure import (
    PoolPressure,
    PressureMap,
    compute_rate_cap,
    divide_refusals,
)
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Importance, Pool

SCHEDULES = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
LOW, NORMAL, HIGH, CRITICAL = Importance


class DecideTest(unittest.TestCase):
    """Guards against shedding the wrong root requests."""

    def setUp(self) -> None:
        self.map = PressureMap(random.Random(1))

    def observe(self, now: datetime, level: float) -> None:
        for _ in range(50):
            pressure = PoolPressure("billing", level)
            self.map.observe(now, "accept", (pressure,))

    def is_refused(self, now: datetime, importance: Importance) -> bool:
        retry_after = self.map.decide(now, "accept", importance, "coop", 1.0)
        return retry_after is not None

    def test_refuses_by_class_on_routes_that_use_the_pool(self) -> None:
        self.observe(EPOCH, 2.0)
        refused = [c for c in Importance if self.is_refused(EPOCH, c)]
        self.assertEqual(refused, [LOW, NORMAL])
        other = self.map.decide(EPOCH, "other", LOW, "coop", 1.0)
        self.assertIsNone(other)

    def test_level_decays_within_a_second_without_updates(self) -> None:
        self.observe(EPOCH, 3.0)
        self.assertTrue(self.is_refused(EPOCH + 250 * MS, HIGH))
        later = EPOCH + SECOND
        self.assertFalse(self.is_refused(later, LOW))
        collected = self.map.collect(later, frozenset({"billing", "new"}))
        self.assertEqual([p.level for p in collected], [0.0, 0.0])

    def test_admits_first_request_after_a_long_pause(self) -> None:
        # Other routes may have kept the pool under pressure meanwhile.
        self.observe(EPOCH, 1.5)
        self.assertFalse(self.is_refused(EPOCH, NORMAL))
        later = EPOCH + 200 * SECOND
        self.observe(later, 1.5)
        self.assertFalse(self.is_refused(later, NORMAL))

    def test_refuses_workspace_over_its_fair_share_first(self) -> None:
        now = EPOCH
        refused: Counter[str] = Counter()
        sent: Counter[str] = Counter()
        for n in range(4000):
            now += MS
            self.observe(now, 1.5)
            # "big" sends 8 times as many requests as each other workspace.
            workspace = "big" if n % 10 < 8 else f"w{n % 10}"
            retry_after = self.map.decide(
                now, "accept", NORMAL, workspace, 1.0
            )
            if n > 1000:
                sent[workspace] += 1
                refused[workspace] += retry_after is not None
        refused_fraction = sum(refused.values()) / sum(sent.values())
        self.assertAlmostEqual(refused_fraction, 0.5, delta=0.05)
        self.assertEqual(refused["w8"] + refused["w9"], 0)


class PressureMapFuzzTest(unittest.TestCase):
    """Guards against shedding a class before the classes below it."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        pressures = PressureMap(rng)
        now = EPOCH
        for _ in range(80):
            now += rng.choice((0, 1, 30, 400, 20_000, 300_000)) * MS
            route = rng.choice(("accept", "browse"))
            if rng.random() < 0.4:
                level = rng.choice((0.0, 0.5, 1.0, 2.7, 3.95))
                pool = PoolPressure(rng.choice("pq"), level)
                pressures.observe(now, route, (pool,))
                continue
            (p, q) = pressures.collect(now, frozenset("pq"))
            highest_level = max(p.level, q.level)
            importance = rng.choice(list(Importance))
            workspace = rng.choice("abc")
            refusal = pressures.decide(now, route, importance, workspace, 1.0)
            if importance >= highest_level:
                self.assertIsNone(refusal)
            if refusal is not None:
                self.assertGreater(refusal.retry_after, timedelta(0))

    def test_refuses_lower_classes_completely(self) -> None:
        pressures = PressureMap(random.Random(1))
        for n in range(200):
            now = EPOCH + n * 20 * MS
            pressures.observe(now, "r", (PoolPressure("p", 2.5),))
            self.assertIsNotNone(pressures.decide(now, "r", LOW, "a", 1.0))
            self.assertIsNone(pressures.decide(now, "r", CRITICAL, "a", 1.0))


class CostOrderTest(unittest.TestCase):
    """Guards against refusing cheap requests in place of costly ones.

    The load is one class with many requests that call a scarce pool eight
    times each, and few that call it once.
    """

    POOL = "billing"

    def simulate(
        self, level: float, costly_share: float = 0.8
    ) -> tuple[dict[str, float], float]:
        """Return the admitted fractions by route, and that of all calls."""
        rng = random.Random(1)
        pressures = PressureMap(random.Random(2))
        calls = {"costly": 8.0, "cheap": 1.0}
        sent: Counter[str] = Counter()
        admitted: Counter[str] = Counter()
        for index in range(30_000):
            now = EPOCH + index * MS
            for route, count in calls.items():
                pressure = PoolPressure(self.POOL, level, count)
                pressures.observe(now, route, (pressure,))
            route = "costly" if rng.random() < costly_share else "cheap"
            # Each workspace uses one of the routes only.
            workspace = f"{route}{rng.randrange(5)}"
            refusal = pressures.decide(now, route, NORMAL, workspace, 1.0)
            if index > 5000:
                sent[route] += 1
                admitted[route] += refusal is None
        load = sum(calls[route] * admitted[route] for route in calls)
        return (
            {route: admitted[route] / sent[route] for route in calls},
            load / sum(calls[route] * sent[route] for route in calls),
        )

    def test_costly_requests_are_refused_first(self) -> None:
        admitted, load = self.simulate(1.5)
        self.assertGreater(admitted["cheap"], 0.95)
        self.assertAlmostEqual(load, 0.5, delta=0.05)

    def test_costly_requests_are_not_starved(self) -> None:
        for costly_share in (0.2, 0.8):
            with self.subTest(costly_share=costly_share):
                admitted, load = self.simulate(1.9, costly_share)
                mean = (
                    costly_share * admitted["costly"]
                    + (1 - costly_share) * admitted["cheap"]
                )
                # The fair shares of workspaces are refused in whole requests.
                self.assertGreater(admitted["costly"], 0.9 * 0.25 * mean)
                self.assertGreater(admitted["cheap"], admitted["costly"])
                self.assertAlmostEqual(load, 0.1, delta=0.03)

    def test_the_refusal_says_what_decided_it(self) -> None:
        pressures = PressureMap(random.Random(1))
        levels = (PoolPressure("quotes", 0.5), PoolPressure("billing", 3.0, 8))
        for _ in range(50):
            pressures.observe(EPOCH, "accept", levels)
        refusal = pressures.decide(EPOCH, "accept", NORMAL, "coop", 1.0)
        assert refusal is not None
        self.assertEqual((refusal.pool, refusal.calls), ("billing", 8.0))
        self.assertAlmostEqual(refusal.level, 3.0)

    def test_any_call_count_has_a_band(self) -> None:
        pressures = PressureMap(random.Random(1))
        for calls in (0.0, -1.0, math.nan, math.inf, 1e300):
            for _ in range(2):
                pressure = PoolPressure("billing", 0.0, calls)
                pressures.observe(EPOCH, f"r{calls}", (pressure,))
            pressures.decide(EPOCH, f"r{calls}", NORMAL, "coop", 1.0)

    def test_divisions(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                costs = sorted(
                    (rng.choice((0.2, 1, 4, 8, 64)) for _ in range(3)),
                    reverse=True,
                )
                rates = [rng.choice((0.01, 1, 20)) for _ in costs]
                loads = [
                    rate * cost
                    for rate, cost in zip(rates, costs, strict=True)
                ]
                fraction = rng.uniform(0, 0.99)
                refused = divide_refusals(
                    list(zip(rates, loads, strict=True)), fraction
                )
                refused_load = sum(
                    load * part
                    for load, part in zip(loads, refused, strict=True)
                )
                self.assertAlmostEqual(refused_load, fraction * sum(loads))
                self.assertEqual(refused, sorted(refused, reverse=True))
                mean = sum(
                    rate * (1 - part)
                    for rate, part in zip(rates, refused, strict=True)
                ) / sum(rates)
                self.assertGreaterEqual(1 - max(refused), 0.25 * mean - 1e-9)


class RateCapTest(unittest.TestCase):
    """Guards against rate caps that shed too much or too little."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            rng = random.Random(seed)
            rates = {
                str(n): (rng.expovariate(1), rng.choice((0.5, 1, 4)))
                for n in range(rng.randrange(1, 9))
            }
            shed_fraction = rng.random()
            cap = compute_rate_cap(rates, shed_fraction)
            admitted = sum(min(r, cap * w) for r, w in rates.values())
            total = sum(r for r, _ in rates.values())
            with self.subTest(seed=seed):
                self.assertAlmostEqual(admitted, (1 - shed_fraction) * total)


class SheddingSimulation:
    """Simulation of a backend server and a node that admits requests.

    Requests, responses and refusals take ``delay`` between the two. With
    ``resends``, callers resend a request that was refused or is past its
    deadline after 100 ms, until it has run.
    """

    def __init__(self, *, resends: bool = False) -> None:
        self.rng = random.Random(7)
        pool = Pool("p", slots=20, queue=40, warmup=timedelta(0))
        self.admission = Admission(pool, 0, EPOCH, self.rng)
        self.map = PressureMap(self.rng)
        self.resends = resends
        self.speed = 1.0
        self.now = EPOCH
        self.delay = 10 * MS
        self.events: list[tuple[datetime, int, str, Ticket]] = []
        self.sequence = 0
        self.rates: dict[Importance, float] = {}
        self.sent: Counter[Importance] = Counter()
        self.served: Counter[Importance] = Counter()

    def run(self, seconds: float) -> float:
        """Run and return the final level at the admitting node."""
        end = self.now + seconds * SECOND
        self.sent.clear()
        self.served.clear()
        while self.now < end:
            self.now += MS
            for importance, rate in self.rates.items():
                if self.rng.random() < rate / 1000:
                    self.create_request(importance)
            while self.events and self.events[0][0] <= self.now:
                _, _, kind, ticket = heapq.heappop(self.events)
                getattr(self, kind)(ticket)
            self.apply(self.admission.tick(self.now))
        (pressure,) = self.map.collect(self.now, frozenset({"p"}))
        return pressure.level

    def schedule(self, delay: timedelta, kind: str, ticket: Ticket) -> None:
        self.sequence += 1
        event = (self.now + delay, self.sequence, kind, ticket)
        heapq.heappush(self.events, event)

    def create_request(self, importance: Importance) -> None:
        self.sent[importance] += 1
        self.sequence += 1
        self.enter(
            Ticket(
                self.sequence,
                importance,
                f"w{self.rng.randrange(4)}",
                1.0,
                self.now,
                self.now + SECOND,
                begun=False,
            ),
        )

    def enter(self, ticket: Ticket) -> None:
        if self.map.decide(
            self.now,
            "r",
            ticket.importance,
            ticket.workspace,
            1.0,
        ):
            self.resend(ticket)
        else:
            self.schedule(self.delay, "offer", ticket)

    def offer(self, ticket: Ticket) -> None:
        self.tickets = getattr(self, "tickets", {})
        self.tickets[ticket.ticket_id] = ticket
        self.apply(self.admission.offer(self.now, ticket))

    def apply(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            ticket = self.tickets[action.ticket_id]
            if isinstance(action, Start):
                work = 40 * MS * self.rng.uniform(0.5, 1.5) / self.speed
                self.schedule(work, "finish", ticket)
            else:
                self.schedule(self.delay, "refused", ticket)

    def finish(self, ticket: Ticket) -> None:
        actions = self.admission.finish(
            self.now,
            ticket.ticket_id,
            Completion.OK,
        )
        self.served[ticket.importance] += 1
        self.schedule(self.delay, "answer", ticket)
        self.apply(actions)

    def answer(self, _: Ticket) -> None:
        pressure = self.admission.measure_pressure(self.now)
        self.map.observe(self.now, "r", (pressure,))

    def refused(self, ticket: Ticket) -> None:
        self.answer(ticket)
        self.resend(ticket)

    def resend(self, ticket: Ticket) -> None:
        if self.resends:
            self.sequence += 1
            resent = replace(
                ticket,
                ticket_id=self.sequence,
                arrived=self.now + 100 * MS,
                deadline=self.now + 1.1 * SECOND,
            )
            self.schedule(100 * MS, "enter", resent)


class SheddingTest(unittest.TestCase):
    """Guards against slow, unfair or oscillating shedding.

    The server can process 500 requests per second.
    """

    def test_level_reaches_admitting_node_within_a_second(self) -> None:
        simulation = SheddingSimulation()
        simulation.rates = {LOW: 200.0, HIGH: 200.0}
        self.assertLess(simulation.run(3), 0.2)
        simulation.rates = {LOW: 1000.0, HIGH: 200.0}
        self.assertGreater(simulation.run(1), 0.5)

    def test_serves_critical_class_at_20_to_1(self) -> None:
        simulation = SheddingSimulation(resends=True)
        simulation.rates = {LOW: 2000.0, CRITICAL: 100.0}
        simulation.run(1)
        simulation.run(5)
        served_fraction = (
            simulation.served[CRITICAL] / simulation.sent[CRITICAL]
        )
        self.assertGreater(served_fraction, 0.99)
        # The remaining capacity serves the other class.
        self.assertGreater(simulation.served[LOW], 5 * 400 * 0.9)

    def test_does_not_oscillate(self) -> None:
        simulation = SheddingSimulation()
        simulation.rates = {LOW: 700.0, NORMAL: 300.0, CRITICAL: 100.0}
        simulation.run(3)
        levels = []
        served_count = 0
        for _ in range(40):
            levels.append(simulation.run(0.1))
            served_count += sum(simulation.served.values())
        self.assertLess(max(levels) - min(levels), 0.6)
        self.assertGreater(served_count, 4 * 500 * 0.9)

    def test_recovers_while_callers_resend(self) -> None:
        simulation = SheddingSimulation(resends=True)
        simulation.rates = {LOW: 200.0, CRITICAL: 100.0}
        simulation.run(2)
        simulation.speed = 0.25
        simulation.run(2)
        simulation.speed = 1.0
        # The 350 refused requests are resent every 100 ms until they ran.
        simulation.run(5)
        self.assertLess(simulation.run(1), 0.3)
        self.assertGreater(simulation.served[LOW], 180)
