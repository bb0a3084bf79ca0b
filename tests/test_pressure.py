"""Tests of the pressure of pools and refusal at the root."""

import heapq
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
)
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Importance, Pool

SCHEDULES = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
LOW, NORMAL, HIGH, CRITICAL = Importance


class DecideTest(unittest.TestCase):
    """Guards against refusing the wrong requests at the root."""

    def setUp(self) -> None:
        self.map = PressureMap(random.Random(1))

    def observe(self, now: datetime, level: float) -> None:
        for _ in range(50):
            pressure = PoolPressure("billing", level)
            self.map.observe(now, "accept", (pressure,))

    def decide(self, now: datetime, importance: Importance) -> bool:
        retry = self.map.decide(now, "accept", importance, "coop", 1.0)
        return retry is not None

    def test_by_class_on_routes_that_reach_the_pool(self) -> None:
        self.observe(EPOCH, 2.0)
        refused = [c for c in Importance if self.decide(EPOCH, c)]
        self.assertEqual(refused, [LOW, NORMAL])
        other = self.map.decide(EPOCH, "other", LOW, "coop", 1.0)
        self.assertIsNone(other)

    def test_fades_within_a_second_without_updates(self) -> None:
        self.observe(EPOCH, 3.0)
        self.assertTrue(self.decide(EPOCH + 250 * MS, HIGH))
        later = EPOCH + SECOND
        self.assertFalse(self.decide(later, LOW))
        collected = self.map.collect(later, frozenset({"billing", "new"}))
        self.assertEqual([p.level for p in collected], [0.0, 0.0])

    def test_first_request_after_a_long_pause(self) -> None:
        # The pool may be under pressure from other routes meanwhile.
        self.observe(EPOCH, 1.5)
        self.assertFalse(self.decide(EPOCH, NORMAL))
        later = EPOCH + 200 * SECOND
        self.observe(later, 1.5)
        self.assertFalse(self.decide(later, NORMAL))

    def test_workspace_over_its_share_is_refused_first(self) -> None:
        now = EPOCH
        refused: Counter[str] = Counter()
        sent: Counter[str] = Counter()
        for n in range(4000):
            now += MS
            self.observe(now, 1.5)
            # "big" sends 8 times as much as each of the others.
            name = "big" if n % 10 < 8 else f"w{n % 10}"
            wait = self.map.decide(now, "accept", NORMAL, name, 1.0)
            if n > 1000:
                sent[name] += 1
                refused[name] += wait is not None
        total = sum(refused.values()) / sum(sent.values())
        self.assertAlmostEqual(total, 0.5, delta=0.05)
        self.assertEqual(refused["w8"] + refused["w9"], 0)


class MapFuzzTest(unittest.TestCase):
    """Guards against a class refused before a lower one."""

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
            top = max(p.level, q.level)
            importance = rng.choice(list(Importance))
            name = rng.choice("abc")
            wait = pressures.decide(now, route, importance, name, 1.0)
            if importance >= top:
                self.assertIsNone(wait)
            if wait is not None:
                self.assertGreater(wait, timedelta(0))

    def test_lower_classes_are_refused_entirely(self) -> None:
        pressures = PressureMap(random.Random(1))
        for n in range(200):
            now = EPOCH + n * 20 * MS
            pressures.observe(now, "r", (PoolPressure("p", 2.5),))
            self.assertIsNotNone(pressures.decide(now, "r", LOW, "a", 1.0))
            self.assertIsNone(pressures.decide(now, "r", CRITICAL, "a", 1.0))


class CapTest(unittest.TestCase):
    """Guards against shares that refuse too much or too little."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            rng = random.Random(seed)
            rates = {
                str(n): (rng.expovariate(1), rng.choice((0.5, 1, 4)))
                for n in range(rng.randrange(1, 9))
            }
            part = rng.random()
            cap = compute_rate_cap(rates, part)
            kept = sum(min(r, cap * w) for r, w in rates.values())
            total = sum(r for r, _ in rates.values())
            with self.subTest(seed=seed):
                self.assertAlmostEqual(kept, (1 - part) * total)


class Loop:
    """One server with its admission, and one entry node before it.

    Responses and refusals take ``delay`` to the entry node. Callers
    resend what was refused or late after 100 ms, without end.
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
        """Run and return the level at the root at the end."""
        end = self.now + seconds * SECOND
        self.sent.clear()
        self.served.clear()
        while self.now < end:
            self.now += MS
            for importance, rate in self.rates.items():
                if self.rng.random() < rate / 1000:
                    self.arrive(importance)
            while self.events and self.events[0][0] <= self.now:
                _, _, kind, ticket = heapq.heappop(self.events)
                getattr(self, kind)(ticket)
            self.act(self.admission.tick(self.now))
        (known,) = self.map.collect(self.now, frozenset({"p"}))
        return known.level

    def plan(self, wait: timedelta, kind: str, ticket: Ticket) -> None:
        self.sequence += 1
        event = (self.now + wait, self.sequence, kind, ticket)
        heapq.heappush(self.events, event)

    def arrive(self, importance: Importance) -> None:
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
            self.plan(self.delay, "offer", ticket)

    def offer(self, ticket: Ticket) -> None:
        self.tickets = getattr(self, "tickets", {})
        self.tickets[ticket.ticket_id] = ticket
        self.act(self.admission.offer(self.now, ticket))

    def act(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            ticket = self.tickets[action.ticket_id]
            if isinstance(action, Start):
                work = 40 * MS * self.rng.uniform(0.5, 1.5) / self.speed
                self.plan(work, "finish", ticket)
            else:
                self.plan(self.delay, "refused", ticket)

    def finish(self, ticket: Ticket) -> None:
        actions = self.admission.finish(
            self.now,
            ticket.ticket_id,
            Completion.OK,
        )
        self.served[ticket.importance] += 1
        self.plan(self.delay, "answer", ticket)
        self.act(actions)

    def answer(self, _: Ticket) -> None:
        pressure = self.admission.measure_pressure(self.now)
        self.map.observe(self.now, "r", (pressure,))

    def refused(self, ticket: Ticket) -> None:
        self.answer(ticket)
        self.resend(ticket)

    def resend(self, ticket: Ticket) -> None:
        if self.resends:
            self.sequence += 1
            again = replace(
                ticket,
                ticket_id=self.sequence,
                arrived=self.now + 100 * MS,
                deadline=self.now + 1.1 * SECOND,
            )
            self.plan(100 * MS, "enter", again)


class LoopTest(unittest.TestCase):
    """Guards against slow, unfair or oscillating shedding.

    The server does 500 requests a second.
    """

    def test_reaches_the_root_within_a_second(self) -> None:
        loop = Loop()
        loop.rates = {LOW: 200.0, HIGH: 200.0}
        self.assertLess(loop.run(3), 0.2)
        loop.rates = {LOW: 1000.0, HIGH: 200.0}
        self.assertGreater(loop.run(1), 0.5)

    def test_important_class_is_served_at_20_to_1(self) -> None:
        loop = Loop(resends=True)
        loop.rates = {LOW: 2000.0, CRITICAL: 100.0}
        loop.run(1)
        loop.run(5)
        part = loop.served[CRITICAL] / loop.sent[CRITICAL]
        self.assertGreater(part, 0.99)
        # And what is left goes to the others.
        self.assertGreater(loop.served[LOW], 5 * 400 * 0.9)

    def test_does_not_oscillate(self) -> None:
        loop = Loop()
        loop.rates = {LOW: 700.0, NORMAL: 300.0, CRITICAL: 100.0}
        loop.run(3)
        levels = []
        done = 0
        for _ in range(40):
            levels.append(loop.run(0.1))
            done += sum(loop.served.values())
        self.assertLess(max(levels) - min(levels), 0.6)
        self.assertGreater(done, 4 * 500 * 0.9)

    def test_recovers_while_callers_resend(self) -> None:
        loop = Loop(resends=True)
        loop.rates = {LOW: 200.0, CRITICAL: 100.0}
        loop.run(2)
        loop.speed = 0.25
        loop.run(2)
        loop.speed = 1.0
        # The 350 refused ones come back every 100 ms until they ran.
        loop.run(5)
        self.assertLess(loop.run(1), 0.3)
        self.assertGreater(loop.served[LOW], 180)
