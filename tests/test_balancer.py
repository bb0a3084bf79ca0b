"""Tests of load balancing among the members of a pool."""

import os
import random
import unittest
from collections import Counter, deque
from dataclasses import replace
from datetime import timedelta
from itertools import pairwise

from sequoiaseam._balance_report import format_balance_metrics
from sequoiaseam._balancer import (
    REPORTED_CAPACITY_MAX,
    Balancer,
    CallResult,
    PoolBalance,
)
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._server_load import PACE_MAX, PACE_MIN
from tests.builders import build_member

SCHEDULES = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def build_members(
    count: int,
    domain: str = "domain-1",
    prefix: str = "m",
) -> dict[str, Member]:
    """Return members of one pool that are in service."""
    return {
        f"{prefix}{n}": build_member(f"{prefix}{n}", domain=domain)
        for n in range(count)
    }


class Fixture:
    """Balancer whose members have completed their ramp-up."""

    def __init__(self, members: dict[str, Member]) -> None:
        self.balancer = Balancer(
            "me",
            "domain-1",
            "south",
            random.Random(5),
        )
        self.members = members
        self.balancer.update(EPOCH, members)
        self.now = EPOCH + 20 * SECOND
        self.latency = dict.fromkeys(members, 10 * MS)
        self.failing: set[str] = set()
        self.refusing: set[str] = set()

    def call(self) -> str:
        """Make one call and return the name of its member."""
        name = self.balancer.choose(self.now, "history")
        assert name is not None
        self.balancer.start(self.now, name)
        result, latency = CallResult.OK, self.latency[name]
        if name in self.failing:
            result, latency = CallResult.FAILED, MS
        elif name in self.refusing:
            result, latency = CallResult.REFUSED, MS
        self.now += latency
        self.balancer.finish(self.now, name, result, latency)
        return name

    def count_calls(self, calls: int = 300) -> Counter[str]:
        """Make sequential calls and count them by member."""
        return Counter(self.call() for _ in range(calls))

    def count_concurrent_calls(self, calls: int) -> Counter[str]:
        """Make calls, up to six at the same time, and count them by member."""
        counts: Counter[str] = Counter()
        in_flight: deque[str] = deque()
        for _ in range(calls):
            name = self.balancer.choose(self.now, "history")
            assert name is not None
            counts[name] += 1
            self.balancer.start(self.now, name)
            in_flight.append(name)
            self.now += 2 * MS
            if len(in_flight) == 6:
                self.complete(in_flight.popleft())
        while in_flight:
            self.complete(in_flight.popleft())
        return counts

    def complete(self, name: str) -> None:
        """Complete a call successfully."""
        latency = self.latency[name]
        self.balancer.finish(self.now, name, CallResult.OK, latency)


class SelectionTest(unittest.TestCase):
    """Guards against load on slow, distant or unavailable members."""

    def test_slow_member_gets_fewer_calls(self) -> None:
        fixture = Fixture(build_members(3))
        fixture.latency["m0"] = 80 * MS
        self.assertLess(fixture.count_calls()["m0"], 30)

    def test_fast_refusals_attract_no_calls(self) -> None:
        fixture = Fixture(build_members(3))
        fixture.refusing = {"m0"}
        self.assertLess(fixture.count_calls()["m0"], 60)

    def test_prefers_own_domain_unless_slower(self) -> None:
        members = build_members(2) | build_members(2, "domain-2", "far")
        fixture = Fixture(members)
        local_counts = fixture.count_calls()
        self.assertGreater(local_counts["m0"] + local_counts["m1"], 290)
        for name in ("m0", "m1"):
            fixture.latency[name] = 60 * MS
        slow_counts = fixture.count_calls()
        self.assertGreater(slow_counts["far0"] + slow_counts["far1"], 200)

    def test_avoids_silent_member_before_pings_fail(self) -> None:
        fixture = Fixture(build_members(2))
        fixture.count_calls(20)
        fixture.balancer.start(fixture.now, "m0")
        fixture.now += 300 * MS
        self.assertEqual(fixture.count_calls(20)["m0"], 0)

    def test_leaves_the_only_silent_member_of_its_domain(self) -> None:
        members = build_members(1) | build_members(3, "domain-2", "far")
        fixture = Fixture(members)
        for _ in range(50):
            name = fixture.call()
            fixture.balancer.record_load(fixture.now, name, 0.1)
        self.assertGreater(fixture.count_calls(20)["m0"], 15)
        fixture.balancer.start(fixture.now, "m0")
        fixture.now += 100 * MS
        self.assertEqual(fixture.count_calls(20)["m0"], 0)

    def test_reported_load_does_not_override_latency(self) -> None:
        fixture = Fixture(build_members(2))
        for name, load in (("m0", 0.0), ("m1", 1.0)):
            fixture.balancer.record_load(fixture.now, name, load)
        fixture.latency["m0"] = 80 * MS
        self.assertGreater(fixture.count_calls(100)["m1"], 60)
        fixture.balancer.record_load(fixture.now, "m0", float("nan"))

    def test_false_capacity_and_pace_are_bounded(self) -> None:
        fixture = Fixture(build_members(2))
        for pace in (1e300, -1e300, float("nan"), float("inf"), 0.0):
            with self.subTest(pace=pace):
                fixture.balancer.record_load(
                    fixture.now, "m0", 0.5, 2**60, pace
                )
                peer = fixture.balancer._peers["m0"]
                self.assertLessEqual(
                    peer.reported_capacity, REPORTED_CAPACITY_MAX
                )
                self.assertLessEqual(peer.reported_pace, PACE_MAX)
                self.assertGreaterEqual(peer.reported_pace, PACE_MIN)
                self.assertGreater(fixture.count_calls(100)["m1"], 20)

    def test_new_member_ramps_up(self) -> None:
        fixture = Fixture(build_members(2))
        fixture.balancer.update(fixture.now, build_members(3))
        fixture.latency["m2"] = 10 * MS
        self.assertLess(fixture.count_concurrent_calls(100)["m2"], 10)
        fixture.now += 10 * SECOND
        self.assertGreater(fixture.count_concurrent_calls(100)["m2"], 20)

    def test_unavailable_and_excluded_members_get_no_calls(self) -> None:
        members = build_members(4)
        members["m0"] = replace(members["m0"], state=MemberState.DRAINING)
        members["m1"] = replace(members["m1"], state=MemberState.JOINING)
        fixture = Fixture(members)
        fixture.balancer.mark_unreachable(fixture.now, "m2")
        self.assertEqual(fixture.count_calls(20), {"m3": 20})
        choose = fixture.balancer.choose
        excluded = frozenset({"m3"})
        self.assertIsNone(choose(fixture.now, "history", excluded))
        self.assertIsNone(choose(fixture.now, "absent"))
        fixture.balancer.mark_reachable(fixture.now, "m2")
        self.assertEqual(choose(fixture.now, "history", excluded), "m2")


class EjectionTest(unittest.TestCase):
    """Guards against a backend server that attracts calls by failing fast."""

    def test_probes_ejected_member_at_growing_intervals(self) -> None:
        fixture = Fixture(build_members(4))
        fixture.failing = {"m0"}
        fixture.count_calls(3000)
        # Without ejection, 750 of the 3,000 calls of 10 ms would have failed.
        probe_times = [
            fixture.now for _ in range(12_000) if fixture.call() == "m0"
        ]
        intervals = [b - a for a, b in pairwise(probe_times)]
        self.assertLess(len(probe_times), 8)
        self.assertGreater(max(intervals), 15 * SECOND)
        fixture.failing = set()
        fixture.now += 40 * SECOND
        fixture.count_calls(1500)
        self.assertGreater(fixture.count_calls(400)["m0"], 50)

    def test_ejects_at_most_half_of_the_pool(self) -> None:
        for size in (1, 2, 3, 5):
            with self.subTest(size=size):
                fixture = Fixture(build_members(size))
                fixture.failing = set(fixture.members)
                counts = fixture.count_calls(500)
                used_count = sum(c > 20 for c in counts.values())
                self.assertGreaterEqual(used_count, size - size // 2)

    def test_calls_the_only_available_member_although_it_was_ejected(
        self,
    ) -> None:
        """Guard against refusals for want of a server that is sound again."""
        for cause in ("draining", "unreachable", "evacuated"):
            with self.subTest(cause=cause):
                members = build_members(1)
                members |= build_members(1, "domain-2", prefix="other")
                fixture = Fixture(members)
                fixture.failing = {"m0"}
                # Failed probes have prolonged the ejection.
                fixture.count_calls(3000)
                fixture.failing = set()
                evacuated: tuple[str, ...] = ()
                if cause == "draining":
                    members["other0"] = replace(
                        members["other0"], state=MemberState.DRAINING
                    )
                elif cause == "evacuated":
                    evacuated = ("domain-2",)
                fixture.balancer.update(fixture.now, members, evacuated)
                if cause == "unreachable":
                    fixture.balancer.mark_unreachable(fixture.now, "other0")
                self.assertEqual(
                    fixture.balancer.choose(fixture.now, "history"), "m0"
                )


class BalancerFuzz:
    """Seeded random schedule, checked against a model of the members."""

    def __init__(self, seed: int, other_nodes: int = 0) -> None:
        self.rng = random.Random(seed)
        # Members of another pool, which call this one as well.
        self.others = {
            f"other{n}": build_member(f"other{n}", pool="other")
            for n in range(other_nodes)
        }
        self.balancer = Balancer("me", "d0", "south", self.rng)
        self.now = EPOCH
        self.members: dict[str, Member] = {}
        self.unreachable: set[str] = set()
        self.in_flight: list[str] = []

    def run(self, step_count: int) -> None:
        """Run the schedule."""
        actions = (
            self.change_member,
            self.toggle_reachability,
            self.call,
            self.call,
            self.complete,
        )
        for _ in range(step_count):
            self.now += self.rng.choice((0, 1, 50, 2000)) * MS
            self.rng.choice((*actions, self.complete))()

    def change_member(self) -> None:
        name = f"m{self.rng.randrange(6)}"
        if self.rng.random() < 0.2:
            self.members.pop(name, None)
            self.unreachable.discard(name)
        else:
            previous = self.members.get(name)
            restarted = previous is None or self.rng.random() < 0.1
            member = build_member(
                name,
                incarnation=(previous.incarnation if previous else 0)
                + restarted,
                domain=f"d{self.rng.randrange(2)}",
                pool=self.rng.choice(("history", "billing")),
                state=self.rng.choice(list(MemberState)),
            )
            if restarted:
                self.unreachable.discard(name)
            self.members[name] = member
        self.balancer.update(self.now, self.members | self.others)

    def toggle_reachability(self) -> None:
        if self.members:
            name = self.rng.choice(list(self.members))
            if name in self.unreachable:
                self.unreachable.discard(name)
                self.balancer.mark_reachable(self.now, name)
            else:
                self.unreachable.add(name)
                self.balancer.mark_unreachable(self.now, name)

    def call(self) -> None:
        exclude = frozenset(self.rng.sample(["m0", "m1", "m2"], 1))
        name = self.balancer.choose(self.now, "history", exclude)
        available = {
            n
            for n, m in self.members.items()
            if m.pool == "history"
            and m.state in (MemberState.WARMING, MemberState.SERVING)
            and n not in self.unreachable | exclude
        }
        if name is None:
            # At most half of the pool can be ejected.
            pool_size = sum(m.pool == "history" for m in self.members.values())
            assert 2 * len(available) <= pool_size, (
                "available members are ignored"
            )
            return
        assert name in available, f"{name} must not be called"
        self.balancer.start(self.now, name)
        self.in_flight.append(name)

    def complete(self) -> None:
        if self.in_flight:
            name = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
            result = self.rng.choice(list(CallResult))
            self.balancer.finish(self.now, name, result, 5 * MS)
            if self.others:
                self.balancer.record_load(
                    self.now,
                    name,
                    self.rng.choice((0.0, 0.5, 3.0, -1.0, float("nan"))),
                    self.rng.choice((0, 1, 53, 2**60)),
                    self.rng.choice((0.0, 1.0, 9.0, float("nan"))),
                )


class BalancerFuzzTest(unittest.TestCase):
    """Guards against calls to unavailable, lost or excluded members."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                BalancerFuzz(seed).run(150)

    def test_schedules_with_many_callers(self) -> None:
        for seed in range(SCHEDULES // 2):
            with self.subTest(seed=seed):
                BalancerFuzz(seed, other_nodes=60).run(150)


class ManyCallersTest(unittest.TestCase):
    """Guards against the choice for many callers in other pools."""

    def test_only_pools_with_eight_nodes_a_member_use_it(self) -> None:
        for node_count, expected in ((23, False), (24, True)):
            with self.subTest(node_count=node_count):
                members = build_members(3)
                for n in range(node_count - 3):
                    members[f"o{n}"] = build_member(f"o{n}", pool="other")
                balancer = Fixture(members).balancer
                group = balancer._groups["history"]
                self.assertEqual(group.has_many_callers, expected)
                self.assertFalse(balancer._groups["other"].has_many_callers)

    def test_calls_of_one_node_are_spread_evenly(self) -> None:
        members = build_members(3)
        for n in range(60):
            members[f"o{n}"] = build_member(f"o{n}", pool="other")
        fixture = Fixture(members)
        counts = fixture.count_concurrent_calls(300)
        self.assertGreater(min(counts.values()), 80)

    def test_a_false_capacity_attracts_at_most_half_more(self) -> None:
        members = build_members(3)
        for n in range(60):
            members[f"o{n}"] = build_member(f"o{n}", pool="other")
        fixture = Fixture(members)
        names = sorted(build_members(3))
        for name, capacity in zip(names, (53, 53, 100_000), strict=True):
            fixture.balancer.record_load(
                fixture.now, name, 0.74, capacity, 1.0
            )
        counts = fixture.count_calls(3000)
        self.assertLess(counts[names[2]], 0.5 * 3000)

    def test_large_pools_are_sampled(self) -> None:
        members = build_members(40)
        for n in range(280):
            members[f"o{n}"] = build_member(f"o{n}", pool="other")
        counts = Fixture(members).count_calls(2000)
        self.assertEqual(len(counts), 40)


class PoolBalanceTest(unittest.TestCase):
    """Guards against uneven load that no operator sees."""

    def setUp(self) -> None:
        self.fixture = Fixture(build_members(3))
        self.balancer = self.fixture.balancer

    def report(self, *loads: float) -> None:
        for n, load in enumerate(loads):
            self.balancer.record_load(self.fixture.now, f"m{n}", load)

    def refuse(self, name: str) -> None:
        now = self.fixture.now
        self.balancer.start(now, name)
        self.balancer.finish(now, name, CallResult.REFUSED, MS)

    def test_tells_the_fullest_and_the_emptiest_member(self) -> None:
        self.report(0.5, 1.2, 0.3)
        (balance,) = self.balancer.list_balances(self.fixture.now)
        self.assertEqual(
            (balance.pool, balance.fullest, balance.emptiest),
            ("history", "m1", "m2"),
        )
        self.assertEqual(
            (balance.fullest_load, balance.emptiest_load), (1.2, 0.3)
        )

    def test_counts_refusals_while_another_member_had_capacity(self) -> None:
        self.report(1.0, 1.0, 0.9)
        self.refuse("m0")
        self.report(1.0, 1.0, 0.3)
        self.refuse("m0")
        self.refuse("m2")
        self.balancer.update(self.fixture.now, build_members(3))
        (balance,) = self.balancer.list_balances(self.fixture.now)
        self.assertEqual(
            (balance.refused, balance.refused_with_capacity), (3, 1)
        )

    def test_old_reports_are_left_out(self) -> None:
        self.report(1.0, 1.0, 0.9)
        self.fixture.now += 3 * SECOND
        self.assertEqual(self.balancer.list_balances(self.fixture.now), [])

    def test_metrics_escape_the_name_of_a_pool(self) -> None:
        balance = PoolBalance('a"b\n', "m1", 1.25, "m2", 0.5, 3, 1)
        label = r'pool="a\"b\n"'
        refused = "sequoiaseam_pool_refused_calls"
        self.assertEqual(
            format_balance_metrics([balance]).decode().splitlines(),
            [
                f'sequoiaseam_pool_load{{{label},server="fullest"}} 1.25',
                f'sequoiaseam_pool_load{{{label},server="emptiest"}} 0.5',
                f"{refused}{{{label}}} 3",
                f"{refused}_with_capacity{{{label}}} 1",
            ],
        )
