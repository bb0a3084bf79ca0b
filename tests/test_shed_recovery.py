"""Tests of the concurrency limit of servers that shed for a time."""

import heapq
import itertools
import random
import unittest
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._admission import Admission, AdmissionAction, Start
from sequoiaseam._clock import EPOCH
from sequoiaseam._limiter import Completion
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Importance, Pool
from tests.seeds import iterate_seeds

MS: Final = timedelta(milliseconds=1)
SECOND: Final = timedelta(seconds=1)
SLOTS: Final = 73
MEAN_WORK: Final = 57 * MS
# Requests a second that would occupy all slots.
CAPACITY: Final = SLOTS / (MEAN_WORK / SECOND)
MAX_WAIT: Final = 150 * MS
TIMEOUT: Final = 700 * MS
SHEDDING_TIME: Final = 8.5 * SECOND
# Time in which a service has to be usable again after an overload.
RECOVERY_TIME: Final = 5 * SECOND
# The target for goodput is 0.9 of what the servers can answer.
REFUSED_FRACTION_MAX: Final = 0.1
# More than a few sheds would spend the retries of a pool.
SHED_FRACTION_MAX: Final = 0.02


@dataclass
class Outcomes:
    """What became of the requests of a time."""

    arrived: int = 0
    answered: int = 0
    refused: int = 0
    shed: int = 0

    @property
    def refused_fraction(self) -> float:
        """Return the part that was refused without having been sent."""
        return self.refused / self.arrived


class SheddingServer:
    """A server that gets requests at a rate, whatever its limit is.

    With ``shed_probability``, it sheds requests at any concurrency, and
    beyond ``capacity`` concurrent requests all of them.
    """

    def __init__(self, seed: int, load: float) -> None:
        self.rng = random.Random(seed)
        self.rate = load * CAPACITY
        self.shed_probability = 0.0
        self.capacity = SLOTS
        self.now = EPOCH
        self.outcomes = Outcomes()
        pool = Pool("billing", SLOTS, 1000, 150, timedelta(0))
        self.admission = Admission(pool, SLOTS, self.now, self.rng)
        # Requests that the server has accepted and not answered.
        self._working = 0
        self._ids = itertools.count(1)
        self._ends: list[tuple[datetime, int, Completion]] = []
        self._next_tick = self.now

    def run(self, duration: timedelta) -> Outcomes:
        """Return what became of the requests of the next time."""
        self.outcomes = Outcomes()
        ends_at = self.now + duration
        next_arrival = self.now + self._draw_gap()
        while self.now < ends_at:
            next_end = self._ends[0][0] if self._ends else ends_at
            self.now = min(next_arrival, next_end, self._next_tick)
            if self.now == next_arrival:
                next_arrival = self.now + self._draw_gap()
                self._offer()
            elif self.now == next_end and self._ends:
                self._finish()
            else:
                self._next_tick = self.now + 50 * MS
                self._apply(self.admission.tick(self.now))
        return self.outcomes

    def _draw_gap(self) -> timedelta:
        return SECOND * self.rng.expovariate(self.rate)

    def _offer(self) -> None:
        self.outcomes.arrived += 1
        ticket = Ticket(
            next(self._ids),
            Importance.NORMAL,
            "coop",
            1.0,
            self.now,
            self.now + TIMEOUT,
            begun=True,
            latency_group="price-table",
            start_by=self.now + MAX_WAIT,
        )
        self._apply(self.admission.offer(self.now, ticket))

    def _finish(self) -> None:
        _, ticket_id, completion = heapq.heappop(self._ends)
        if completion is Completion.OK:
            self._working -= 1
            self.outcomes.answered += 1
        else:
            self.outcomes.shed += 1
        self._apply(self.admission.finish(self.now, ticket_id, completion))

    def _apply(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            if not isinstance(action, Start):
                self.outcomes.refused += 1
                continue
            is_shed = (
                self.rng.random() < self.shed_probability
                or self._working >= self.capacity
            )
            duration = 1 * MS
            if not is_shed:
                self._working += 1
                duration = MEAN_WORK * self.rng.uniform(0.5, 1.5)
            completion = Completion.SHED if is_shed else Completion.OK
            heapq.heappush(
                self._ends, (self.now + duration, action.ticket_id, completion)
            )


class ShedRecoveryTest(unittest.TestCase):
    """Guards against idle slots for seconds after a server has shed.

    The load is that of a pool of which few slots are in use: a part of them
    was enough for all requests, and refusals at the entry, which answer the
    queues of the pool, reduced the calls to it further.
    """

    def test_sheds_at_low_load_do_not_cost_slots(self) -> None:
        for load in (0.02, 0.1, 0.4):
            for seed in iterate_seeds(3):
                with self.subTest(load=load, seed=seed):
                    server = SheddingServer(seed, load)
                    server.run(3 * SECOND)
                    server.shed_probability = 0.55
                    refused = server.run(SHEDDING_TIME).refused_fraction
                    self.assertLessEqual(refused, REFUSED_FRACTION_MAX)
                    server.shed_probability = 0.0
                    server.run(RECOVERY_TIME)
                    refused = server.run(4 * SECOND).refused_fraction
                    self.assertLessEqual(refused, REFUSED_FRACTION_MAX)

    def test_a_full_server_sheds_little(self) -> None:
        """Guard against a limit that ignores what a server can take."""
        for capacity in (20, 10, 5):
            for seed in iterate_seeds(3):
                with self.subTest(capacity=capacity, seed=seed):
                    server = SheddingServer(seed, load=0.6)
                    server.run(3 * SECOND)
                    server.capacity = capacity
                    server.run(RECOVERY_TIME)
                    outcomes = server.run(10 * SECOND)
                    rate = capacity / (MEAN_WORK / SECOND)
                    self.assertGreater(outcomes.answered, 0.85 * 10 * rate)
                    self.assertLessEqual(
                        outcomes.shed, SHED_FRACTION_MAX * outcomes.arrived
                    )

    def test_a_nearly_lost_server_sheds_little(self) -> None:
        """Guard against a limit that stays above a tenth of the slots."""
        for seed in iterate_seeds(3):
            with self.subTest(seed=seed):
                server = SheddingServer(seed, load=1.2)
                server.run(3 * SECOND)
                server.capacity = 5
                server.run(RECOVERY_TIME)
                outcomes = server.run(10 * SECOND)
                self.assertLessEqual(
                    outcomes.shed, SHED_FRACTION_MAX * outcomes.arrived
                )


if __name__ == "__main__":
    unittest.main()
