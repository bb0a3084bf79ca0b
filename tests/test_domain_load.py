"""Tests of overload control in fleets whose nodes each see few requests."""

import random
import unittest
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._domain_load import (
    DomainLoad,
    DomainLoadAggregator,
    NodeLoad,
    RouteOutcomes,
)
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._route_throttle import PROBE_FRACTION, RouteThrottle
from sequoiaseam._tables import Importance
from tests.seeds import iterate_seeds

MS: Final = timedelta(milliseconds=1)
SECOND: Final = timedelta(seconds=1)
PING_INTERVAL: Final = 500 * MS
NODES: Final = 100
WORKSPACES: Final = 140
REQUESTS_PER_SECOND: Final = 150
DURATION: Final = 20 * SECOND
ROUTE: Final = "quotes"
POOL: Final = "billing"
RESPONSE_TIME: Final = 700 * MS


class SparseLoadTest(unittest.TestCase):
    """Guards against overload that no single node can see.

    The load is a fleet with a request every 0.7 s at each node, of any of
    140 workspaces, while a pool that their route reaches is overloaded.
    """

    def simulate(
        self, seed: int, level: float, importance: Importance
    ) -> float:
        """Return the fraction of requests that the nodes refuse."""
        rng = random.Random(seed)
        nodes = [PressureMap(random.Random(i)) for i in range(NODES)]
        pressures = (PoolPressure(POOL, level),)
        for node in nodes:
            node.observe(EPOCH, ROUTE, pressures)
        responses: list[tuple[datetime, PressureMap]] = []
        next_pong = EPOCH
        now = EPOCH
        refused = count = 0
        while now < EPOCH + DURATION:
            now += SECOND * rng.expovariate(REQUESTS_PER_SECOND)
            if now >= next_pong:
                next_pong += PING_INTERVAL
                for node in nodes:
                    node.observe_domain(now, {POOL: level})
            while responses and responses[0][0] <= now:
                responses.pop(0)[1].observe(now, ROUTE, pressures)
            node = rng.choice(nodes)
            workspace = f"w{rng.randrange(WORKSPACES)}"
            count += 1
            if node.decide(now, ROUTE, importance, workspace, 1.0) is None:
                responses.append((now + RESPONSE_TIME, node))
            else:
                refused += 1
        return refused / count

    def test_a_part_of_a_class_is_refused(self) -> None:
        for seed in iterate_seeds(3):
            for level in (1.3, 1.7):
                with self.subTest(seed=seed, level=level):
                    refused = self.simulate(seed, level, Importance.NORMAL)
                    self.assertAlmostEqual(refused, level - 1, delta=0.12)

    def test_whole_classes_are_refused_or_admitted(self) -> None:
        for importance, fraction in (
            (Importance.LOW, 1.0),
            (Importance.HIGH, 0.0),
        ):
            with self.subTest(importance=importance):
                refused = self.simulate(1, 1.5, importance)
                self.assertAlmostEqual(refused, fraction, delta=0.02)

    def test_costly_requests_are_refused_first(self) -> None:
        rng = random.Random(1)
        nodes = [PressureMap(random.Random(i)) for i in range(NODES)]
        calls = {"costly": 8.0, "cheap": 1.0}
        sent = dict.fromkeys(calls, 0)
        admitted = dict.fromkeys(calls, 0)
        now = next_pong = EPOCH
        while now < EPOCH + 2 * DURATION:
            now += SECOND * rng.expovariate(REQUESTS_PER_SECOND)
            if now >= next_pong:
                next_pong += PING_INTERVAL
                for node in nodes:
                    for route, count in calls.items():
                        pressure = PoolPressure(POOL, 1.5, count)
                        node.observe(now, route, (pressure,))
                    node.observe_domain(now, {POOL: 1.5})
            route = rng.choice(("costly", "cheap"))
            workspace = f"w{rng.randrange(WORKSPACES)}"
            refusal = rng.choice(nodes).decide(
                now, route, Importance.NORMAL, workspace, 1.0
            )
            if now > EPOCH + DURATION:
                sent[route] += 1
                admitted[route] += refusal is None
        load = sum(calls[route] * admitted[route] for route in calls)
        load /= sum(calls[route] * sent[route] for route in calls)
        self.assertAlmostEqual(load, 0.5, delta=0.12)
        self.assertGreater(admitted["cheap"] / sent["cheap"], 0.85)

    def test_a_busy_workspace_is_refused_before_sparse_ones(self) -> None:
        pressures = PressureMap(random.Random(1))
        rng = random.Random(2)
        refused = dict.fromkeys(("busy", "sparse"), 0)
        now = EPOCH
        pressures.observe(now, ROUTE, (PoolPressure(POOL, 1.4),))
        for index in range(4000):
            now += 10 * MS
            if index % 40 == 0:
                pressures.observe_domain(now, {POOL: 1.4})
            kind = "sparse" if rng.random() < 0.1 else "busy"
            workspace = f"w{rng.randrange(100)}" if kind == "sparse" else kind
            waited = pressures.decide(
                now, ROUTE, Importance.NORMAL, workspace, 1.0
            )
            refused[kind] += waited is not None
        self.assertGreater(refused["busy"], 4000 * 0.3)
        self.assertLess(refused["sparse"], 4000 * 0.1 * 0.1)

    def test_levels_of_the_domain_expire(self) -> None:
        pressures = PressureMap(random.Random(1))
        pressures.observe(EPOCH, ROUTE, (PoolPressure(POOL, 0.0),))
        pressures.observe_domain(EPOCH, {POOL: 3.0})
        for age, level in ((600 * MS, 3.0), (1100 * MS, 1.5), (2 * SECOND, 0)):
            with self.subTest(age=age):
                (pressure,) = pressures.collect(EPOCH + age, {POOL})
                self.assertAlmostEqual(pressure.level, level)


class SparseFailureTest(unittest.TestCase):
    """Guards against trees that are begun though nearly all of them fail.

    The load is a route whose trees fail everywhere, with a request every
    second at each node.
    """

    def test_the_whole_domain_stops_a_failing_route(self) -> None:
        rng = random.Random(1)
        nodes = [RouteThrottle(random.Random(i)) for i in range(NODES)]
        aggregator = DomainLoadAggregator()
        now = EPOCH
        admitted = [0, 0]
        steps = 200
        for step in range(steps):
            now += 100 * MS
            for _ in range(10):
                node = rng.choice(nodes)
                if node.allow(now, ROUTE):
                    admitted[step >= steps // 2] += 1
                    node.record(now, ROUTE, failed=rng.random() < 0.95)
            if step % 5 == 0:
                for i, node in enumerate(nodes):
                    outcomes = node.take_outcomes()
                    aggregator.record(
                        now, f"n{i}", NodeLoad(POOL, 0.0, outcomes)
                    )
                    rates = aggregator.summarize(now).success_rates
                    node.observe_domain(now, rates)
        self.assertLess(admitted[1] / (10 * steps / 2), 4 * PROBE_FRACTION)


class AggregatorTest(unittest.TestCase):
    """Guards against summaries of nodes that are gone or of few responses."""

    def setUp(self) -> None:
        self.aggregator = DomainLoadAggregator()

    def test_levels_are_means_of_recent_reports(self) -> None:
        self.aggregator.record(EPOCH, "gone", NodeLoad(POOL, 4.0))
        now = EPOCH + 2 * SECOND
        for node, level in (("a", 1.0), ("b", 2.0)):
            self.aggregator.record(now, node, NodeLoad(POOL, level))
        self.aggregator.record(now, "c", NodeLoad("idle", 0.0))
        self.aggregator.record(now, "d", NodeLoad("", 0.0))
        self.assertEqual(
            self.aggregator.summarize(now), DomainLoad({POOL: 1.5}, {})
        )

    def test_success_rates_need_enough_responses(self) -> None:
        cases: tuple[tuple[str, int, int, dict[str, float]], ...] = (
            ("few", 0, 5, {}),
            ("failing", 2, 18, {ROUTE: 0.1}),
            ("mostly well", 15, 5, {}),
        )
        for name, succeeded, failed, expected in cases:
            with self.subTest(name=name):
                aggregator = DomainLoadAggregator()
                outcomes = RouteOutcomes(ROUTE, succeeded, failed)
                aggregator.record(EPOCH, "a", NodeLoad(POOL, 0.0, (outcomes,)))
                rates = aggregator.summarize(EPOCH).success_rates
                self.assertEqual(rates, expected)

    def test_old_responses_are_forgotten(self) -> None:
        outcomes = RouteOutcomes(ROUTE, 0, 100)
        self.aggregator.record(EPOCH, "a", NodeLoad(POOL, 0.0, (outcomes,)))
        later = EPOCH + 10 * SECOND
        self.assertEqual(self.aggregator.summarize(later).success_rates, {})


if __name__ == "__main__":
    unittest.main()
