"""Tests of the admission of call trees at pools that reject calls."""

import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._domain_load import (
    DomainLoad,
    DomainLoadAggregator,
    NodeLoad,
    PoolRejections,
)
from sequoiaseam._feed import Ping, Pong
from sequoiaseam._retry import RetryShare, TreeRetryLimiter
from sequoiaseam._route_throttle import RouteThrottle
from sequoiaseam._tables import Importance
from sequoiaseam._tree_admission import (
    PROBE_FRACTION,
    TREE_SUCCESS_MIN,
    TreeAdmission,
    TreeForecast,
)
from tests.seeds import iterate_seeds

MS: Final = timedelta(milliseconds=1)
SECOND: Final = timedelta(seconds=1)
PING_INTERVAL: Final = 500 * MS
SCARCE: Final = "scarce"
SHARE: Final = 0.2
RETRIES_MAX: Final = 2


@dataclass(frozen=True)
class RootLoad:
    """Root requests of a route, and the calls of a run to the scarce pool.

    A route without nested calls runs in the scarce pool itself.
    """

    name: str
    importance: Importance
    rate: float
    value: float
    nested_calls: int = 0


IMPORTANT: Final = RootLoad("important", Importance.CRITICAL, 39, 4.0)
# Many cheap roots, eight calls each, of several routes.
CHEAP: Final = tuple(
    RootLoad(f"cheap{index}", Importance.NORMAL, 15, 1.6, 8)
    for index in range(10)
)


class Node:
    """Decisions of one node as an entry and beside a calling server."""

    def __init__(self, rng: random.Random) -> None:
        self.throttle = RouteThrottle(rng)
        self.admission = TreeAdmission(rng)
        self.share = RetryShare(SHARE)
        self.tree_retries = TreeRetryLimiter(1.0)


@dataclass
class Counts:
    """Root requests, trees begun, and those that succeeded, by route."""

    arrived: Counter[str] = field(default_factory=Counter)
    begun: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)

    def measure_served(self, routes: tuple[RootLoad, ...]) -> float:
        """Return the fraction of the routes' requests that were served."""
        arrived = sum(self.arrived[route.name] for route in routes)
        return sum(self.served[route.name] for route in routes) / arrived

    def measure_begun(self, routes: tuple[RootLoad, ...]) -> float:
        """Return the fraction of the routes' trees that were begun."""
        arrived = sum(self.arrived[route.name] for route in routes)
        return sum(self.begun[route.name] for route in routes) / arrived

    def measure_earned(self, routes: tuple[RootLoad, ...]) -> float:
        """Return the sum of the values of the routes' responses."""
        return sum(self.served[route.name] * route.value for route in routes)


class ScarcePoolSimulation:
    """Nodes of one domain and a pool that may reject calls.

    ``rejects`` returns whether the pool rejects a call at a time.
    """

    def __init__(
        self,
        seed: int,
        routes: tuple[RootLoad, ...],
        rejects: Callable[[random.Random, datetime], bool],
        node_count: int = 20,
    ) -> None:
        self.rng = random.Random(seed)
        self.nodes = [Node(self.rng) for _ in range(node_count)]
        self.server_retries = TreeRetryLimiter(2.0)
        self.routes = routes
        self.rejects = rejects
        self.aggregator = DomainLoadAggregator()
        self.now = EPOCH
        self.next_ping = EPOCH

    def run(self, duration: timedelta) -> Counts:
        """Return what the requests of the next time have come to."""
        counts = Counts()
        rates = [route.rate for route in self.routes]
        ends_at = self.now + duration
        while self.now < ends_at:
            self.now += SECOND * self.rng.expovariate(sum(rates))
            if self.now >= self.next_ping:
                self.next_ping = self.now + PING_INTERVAL
                self.ping()
            (route,) = self.rng.choices(self.routes, rates)
            self.handle_root(route, counts)
        return counts

    def ping(self) -> None:
        for index, node in enumerate(self.nodes):
            load = NodeLoad(
                "pool",
                0.0,
                node.throttle.take_outcomes(),
                node.admission.take_rejections(self.now),
            )
            self.aggregator.record(self.now, f"n{index}", load)
        summary = self.aggregator.summarize(self.now)
        for node in self.nodes:
            node.throttle.observe_domain(self.now, summary.success_rates)
            node.admission.observe_domain(self.now, summary.rejection_rates)

    def handle_root(self, route: RootLoad, counts: Counts) -> None:
        entry = self.rng.choice(self.nodes)
        counts.arrived[route.name] += 1
        root_pool = route.name if route.nested_calls else SCARCE
        calls_by_pool = {root_pool: 1.0}
        if route.nested_calls:
            calls_by_pool[SCARCE] = float(route.nested_calls)
        entry.tree_retries.record(self.now, root_pool, route.importance)
        forecast = entry.admission.forecast(
            self.now, route.importance, root_pool, calls_by_pool
        )
        fraction = entry.throttle.compute_admitted_fraction(
            self.now, route.name
        )
        if not entry.admission.admit(forecast, fraction):
            return
        counts.begun[route.name] += 1
        if not route.nested_calls:
            counts.served[route.name] += self.call(entry, route, nested=False)
            return
        server_node = self.rng.choice(self.nodes)
        succeeded = all(
            self.call(server_node, route, nested=True)
            for _ in range(route.nested_calls)
        )
        entry.throttle.record(self.now, route.name, failed=not succeeded)
        counts.served[route.name] += succeeded

    def call(self, node: Node, route: RootLoad, *, nested: bool) -> bool:
        """Return whether a call to the scarce pool is answered."""
        importance = route.importance
        node.share.record(self.now, importance)
        self.server_retries.record(self.now, SCARCE, importance, nested=nested)
        answered = not self.rejects(self.rng, self.now)
        for _ in range(RETRIES_MAX):
            if answered or not self.may_retry(node, importance, nested=nested):
                break
            answered = not self.rejects(self.rng, self.now)
        node.admission.record(
            self.now, SCARCE, importance, rejected=not answered
        )
        return answered

    def may_retry(
        self, node: Node, importance: Importance, *, nested: bool
    ) -> bool:
        costs = {SCARCE: 1.0}
        if not node.share.allow(self.now, importance):
            return False
        if not nested and not node.tree_retries.allow(
            self.now, costs, lambda _: SHARE, importance
        ):
            return False
        return self.server_retries.allow(
            self.now, costs, lambda _: SHARE, importance
        )


def reject_some(rng: random.Random, _: datetime) -> bool:
    """Reject 0.55 of the requests, whatever the load."""
    return rng.random() < 0.55


def reject_some_until(
    recovers_at: datetime,
) -> Callable[[random.Random, datetime], bool]:
    """Return a pool that rejects 0.55 of the requests until a time."""
    return lambda rng, now: now < recovers_at and reject_some(rng, now)


class LimitedPool:
    """A pool that rejects what exceeds its rate in 50 ms."""

    def __init__(self, rate: float) -> None:
        self.limit = rate * 0.05
        self.interval = -1
        self.count = 0

    def __call__(self, _: random.Random, now: datetime) -> bool:
        interval = (now - EPOCH) // (50 * MS)
        if interval != self.interval:
            self.interval, self.count = interval, 0
        self.count += 1
        return self.count > self.limit


def simulate(
    seed: int, rejects: Callable[[random.Random, datetime], bool]
) -> Counts:
    """Return the counts of 15 s, 5 s after the pool begins to reject."""
    simulation = ScarcePoolSimulation(seed, (IMPORTANT, *CHEAP), rejects)
    simulation.run(5 * SECOND)
    return simulation.run(15 * SECOND)


class ScarcePoolTest(unittest.TestCase):
    """Guards against trees that use a scarce pool and then fail.

    The load is many cheap roots of ten routes, which ask the scarce pool
    eight times each, and few important ones, which ask it once.
    """

    def test_many_cheap_roots_and_few_important_ones(self) -> None:
        # The pool serves a quarter of the calls that all trees would make.
        for seed in iterate_seeds(3):
            with self.subTest(seed=seed):
                counts = simulate(seed, LimitedPool(300))
                self.assertGreater(counts.measure_served((IMPORTANT,)), 0.5)
                self.assertGreaterEqual(
                    counts.measure_earned((IMPORTANT,)),
                    counts.measure_earned(CHEAP),
                )
                # The trees that are begun use what is left.
                self.assertGreater(counts.measure_served(CHEAP), 0)
                self.assertGreater(counts.measure_begun(CHEAP), PROBE_FRACTION)

    def test_a_pool_that_rejects_whatever_its_load(self) -> None:
        for seed in iterate_seeds(3):
            with self.subTest(seed=seed):
                counts = simulate(seed, reject_some)
                # 0.45 to the power of eight of them would succeed.
                self.assertLess(
                    counts.measure_begun(CHEAP), 2 * PROBE_FRACTION
                )
                self.assertEqual(counts.measure_begun((IMPORTANT,)), 1.0)
                self.assertGreater(
                    counts.measure_served((IMPORTANT,)),
                    max(counts.measure_served((route,)) for route in CHEAP),
                )

    def test_a_pool_that_recovers(self) -> None:
        for seed in iterate_seeds(3):
            with self.subTest(seed=seed):
                simulation = ScarcePoolSimulation(
                    seed,
                    (IMPORTANT, *CHEAP),
                    reject_some_until(EPOCH + 10 * SECOND),
                )
                simulation.run(12 * SECOND)
                counts = simulation.run(5 * SECOND)
                self.assertGreater(counts.measure_begun(CHEAP), 0.9)

    def test_nothing_changes_where_nothing_is_rejected(self) -> None:
        counts = simulate(1, lambda _rng, _now: False)
        routes = (IMPORTANT, *CHEAP)
        self.assertEqual(counts.measure_served(routes), 1.0)


class ForecastTest(unittest.TestCase):
    """Guards against forecasts from missing, stale or foreign figures."""

    CALLS: Final = {"quotes": 1.0, SCARCE: 8.0}

    def setUp(self) -> None:
        self.admission = TreeAdmission(random.Random(1))

    def forecast(
        self, now: datetime, importance: Importance = Importance.NORMAL
    ) -> TreeForecast | None:
        return self.admission.forecast(now, importance, "quotes", self.CALLS)

    def record(
        self, now: datetime, importance: Importance, rejected: int, total: int
    ) -> None:
        for index in range(total):
            self.admission.record(
                now, SCARCE, importance, rejected=index < rejected
            )

    def test_follows_the_calls_of_this_node(self) -> None:
        self.record(EPOCH, Importance.NORMAL, 50, 90)
        found = self.forecast(EPOCH)
        assert found is not None
        # Ten calls that weren't rejected stand for the unknown rest.
        self.assertAlmostEqual(found.rejection_rate, 0.5)
        self.assertAlmostEqual(found.success, 0.5**8)
        self.assertEqual((found.pool, found.calls), (SCARCE, 8.0))

    def test_follows_the_domain_where_this_node_sees_nothing(self) -> None:
        self.admission.observe_domain(
            EPOCH, {SCARCE: {int(Importance.NORMAL): 0.5}}
        )
        found = self.forecast(EPOCH)
        assert found is not None
        self.assertAlmostEqual(found.success, 0.5**8)

    def test_stale_rates_lose_their_effect(self) -> None:
        self.record(EPOCH, Importance.NORMAL, 50, 50)
        self.admission.observe_domain(
            EPOCH, {SCARCE: {int(Importance.NORMAL): 0.5}}
        )
        self.assertIsNone(self.forecast(EPOCH + 2 * SECOND))
        # Each node reports what it has recorded, and then forgets it.
        for half_seconds in range(20):
            self.admission.take_rejections(EPOCH + half_seconds * 500 * MS)
        self.assertFalse(self.admission.has_rejections)

    def test_few_rejections_of_a_rare_class_decide_for_no_other(self) -> None:
        self.record(EPOCH, Importance.CRITICAL, 2, 2)
        self.record(EPOCH, Importance.NORMAL, 1, 501)
        found = self.forecast(EPOCH)
        assert found is not None
        self.assertGreater(found.success, 0.9)

    def test_a_pool_that_has_recovered_is_forgotten_while_it_is_called(
        self,
    ) -> None:
        self.record(EPOCH, Importance.NORMAL, 1, 1)
        now = EPOCH
        for _ in range(100):
            now += 100 * MS
            self.admission.record(
                now, SCARCE, Importance.NORMAL, rejected=False
            )
            self.admission.take_rejections(now)
        self.assertFalse(self.admission.has_rejections)

    def test_lower_classes_are_served_no_better_than_higher_ones(self) -> None:
        self.record(EPOCH, Importance.HIGH, 50, 90)
        for importance in Importance:
            with self.subTest(importance=importance):
                found = self.forecast(EPOCH, importance)
                self.assertEqual(
                    found is not None, importance <= Importance.HIGH
                )

    def test_unknown_calls_and_the_run_itself_forbid_nothing(self) -> None:
        self.record(EPOCH, Importance.NORMAL, 50, 50)
        cases: tuple[tuple[str, dict[str, float]], ...] = (
            (SCARCE, {}),
            (SCARCE, {SCARCE: 1.0}),
            ("quotes", {"quotes": 1.0}),
        )
        for root_pool, calls_by_pool in cases:
            with self.subTest(calls=calls_by_pool):
                found = self.admission.forecast(
                    EPOCH, Importance.NORMAL, root_pool, calls_by_pool
                )
                self.assertIsNone(found)

    def test_pools_without_rejections_are_not_tracked(self) -> None:
        self.record(EPOCH, Importance.NORMAL, 0, 1000)
        self.assertFalse(self.admission.has_rejections)
        self.assertEqual(self.admission.take_rejections(EPOCH), ())

    def test_probes_are_admitted(self) -> None:
        forecast = TreeForecast(0.0, SCARCE, 1.0, 8.0)
        admitted = sum(
            self.admission.admit(forecast, 1.0) for _ in range(10_000)
        )
        self.assertAlmostEqual(admitted / 10_000, PROBE_FRACTION, delta=0.02)

    def test_limits_of_failed_and_forecast_trees_arent_multiplied(
        self,
    ) -> None:
        forecast = TreeForecast(0.5 * TREE_SUCCESS_MIN, SCARCE, 0.5, 4.0)
        admitted = sum(
            self.admission.admit(forecast, 0.5) for _ in range(10_000)
        )
        self.assertAlmostEqual(admitted / 10_000, 0.5, delta=0.03)


class RejectionMessagesTest(unittest.TestCase):
    """Guards against rates that nodes of two releases can't exchange."""

    def test_rates_by_pool_and_class(self) -> None:
        aggregator = DomainLoadAggregator()
        reports = (
            PoolRejections(SCARCE, Importance.NORMAL, 100, 50),
            PoolRejections(SCARCE, Importance.HIGH, 100, 1),
            PoolRejections("few", Importance.NORMAL, 5, 5),
        )
        aggregator.record(EPOCH, "a", NodeLoad("quotes", 0.0, (), reports))
        summary = aggregator.summarize(EPOCH)
        self.assertEqual(
            summary.rejection_rates, {SCARCE: {int(Importance.NORMAL): 0.5}}
        )
        later = aggregator.summarize(EPOCH + 10 * SECOND)
        self.assertFalse(later.has_content)

    def test_messages_keep_the_rates(self) -> None:
        codec = Codec((Ping, Pong))
        load = NodeLoad(
            "quotes", 0.0, (), (PoolRejections(SCARCE, 1, 100, 50),)
        )
        domain_load = DomainLoad({}, {}, {SCARCE: {1: 0.5}})
        for message in (
            Ping(EPOCH, 1, load),
            Pong(EPOCH, 1, SECOND, domain_load),
        ):
            with self.subTest(message=type(message).__name__):
                decoded = codec.decode(codec.encode(message))
                self.assertEqual(decoded, message)


if __name__ == "__main__":
    unittest.main()
