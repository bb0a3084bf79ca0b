"""Tests of the choice among a pool's members."""

import os
import random
import unittest
from collections import Counter, deque
from dataclasses import replace
from datetime import timedelta
from itertools import pairwise

from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import Member, MemberState
from tests.builders import build_member

SCHEDULES = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def build_members(
    count: int,
    domain: str = "domain-1",
    prefix: str = "m",
) -> dict[str, Member]:
    """Return serving members of one pool."""
    return {
        f"{prefix}{n}": build_member(f"{prefix}{n}", domain=domain)
        for n in range(count)
    }


class Fixture:
    """A balancer whose members have been there for a while."""

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
        """Make one call and return the member."""
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

    def count(self, calls: int = 300) -> Counter[str]:
        """Make calls and count them by member."""
        return Counter(self.call() for _ in range(calls))

    def count_overlapping(self, calls: int) -> Counter[str]:
        """Make calls of which six are in flight at a time."""
        counts: Counter[str] = Counter()
        flying: deque[str] = deque()
        for _ in range(calls):
            name = self.balancer.choose(self.now, "history")
            assert name is not None
            counts[name] += 1
            self.balancer.start(self.now, name)
            flying.append(name)
            self.now += 2 * MS
            if len(flying) == 6:
                self.end(flying.popleft())
        while flying:
            self.end(flying.popleft())
        return counts

    def end(self, name: str) -> None:
        """End a call well."""
        latency = self.latency[name]
        self.balancer.finish(self.now, name, CallResult.OK, latency)


class ChoiceTest(unittest.TestCase):
    """Guards against load on members that are worse than others."""

    def test_slow_member_gets_less(self) -> None:
        fixture = Fixture(build_members(3))
        fixture.latency["m0"] = 80 * MS
        self.assertLess(fixture.count()["m0"], 30)

    def test_fast_refusals_attract_nothing(self) -> None:
        fixture = Fixture(build_members(3))
        fixture.refusing = {"m0"}
        self.assertLess(fixture.count()["m0"], 60)

    def test_own_domain_only_while_as_good(self) -> None:
        members = build_members(2) | build_members(2, "domain-2", "far")
        fixture = Fixture(members)
        near = fixture.count()
        self.assertGreater(near["m0"] + near["m1"], 290)
        for name in ("m0", "m1"):
            fixture.latency[name] = 60 * MS
        late = fixture.count()
        self.assertGreater(late["far0"] + late["far1"], 200)

    def test_silent_member_is_avoided_before_pings_tell(self) -> None:
        fixture = Fixture(build_members(2))
        fixture.count(20)
        fixture.balancer.start(fixture.now, "m0")
        fixture.now += 300 * MS
        self.assertEqual(fixture.count(20)["m0"], 0)

    def test_reported_load_is_only_a_hint(self) -> None:
        fixture = Fixture(build_members(2))
        for name, load in (("m0", 0.0), ("m1", 1.0)):
            fixture.balancer.record_load(fixture.now, name, load)
        fixture.latency["m0"] = 80 * MS
        self.assertGreater(fixture.count(100)["m1"], 60)
        fixture.balancer.record_load(fixture.now, "m0", float("nan"))

    def test_new_member_ramps_up(self) -> None:
        fixture = Fixture(build_members(2))
        fixture.balancer.update(fixture.now, build_members(3))
        fixture.latency["m2"] = 10 * MS
        self.assertLess(fixture.count_overlapping(100)["m2"], 10)
        fixture.now += 10 * SECOND
        self.assertGreater(fixture.count_overlapping(100)["m2"], 20)

    def test_draining_joining_lost_and_excluded_get_nothing(self) -> None:
        members = build_members(4)
        members["m0"] = replace(members["m0"], state=MemberState.DRAINING)
        members["m1"] = replace(members["m1"], state=MemberState.JOINING)
        fixture = Fixture(members)
        fixture.balancer.mark_unreachable(fixture.now, "m2")
        self.assertEqual(fixture.count(20), {"m3": 20})
        choose = fixture.balancer.choose
        excluded = frozenset({"m3"})
        self.assertIsNone(choose(fixture.now, "history", excluded))
        self.assertIsNone(choose(fixture.now, "absent"))
        fixture.balancer.mark_reachable(fixture.now, "m2")
        self.assertEqual(choose(fixture.now, "history", excluded), "m2")


class EjectionTest(unittest.TestCase):
    """Guards against a server that attracts calls by failing fast."""

    def test_ejects_and_tries_again_after_growing_times(self) -> None:
        fixture = Fixture(build_members(4))
        fixture.failing = {"m0"}
        fixture.count(3000)
        # 3,000 calls of 10 ms: without ejection 750 would have failed.
        tries = [fixture.now for _ in range(12_000) if fixture.call() == "m0"]
        gaps = [b - a for a, b in pairwise(tries)]
        self.assertLess(len(tries), 8)
        self.assertGreater(max(gaps), 15 * SECOND)
        fixture.failing = set()
        fixture.now += 40 * SECOND
        fixture.count(1500)
        self.assertGreater(fixture.count(400)["m0"], 50)

    def test_never_more_than_half(self) -> None:
        for size in (1, 2, 3, 5):
            with self.subTest(size=size):
                fixture = Fixture(build_members(size))
                fixture.failing = set(fixture.members)
                counts = fixture.count(500)
                used = sum(c > 20 for c in counts.values())
                self.assertGreaterEqual(used, size - size // 2)


class BalancerFuzz:
    """A seeded schedule against simple rules."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.balancer = Balancer("me", "d0", "south", self.rng)
        self.now = EPOCH
        self.members: dict[str, Member] = {}
        self.lost: set[str] = set()
        self.calls: list[str] = []

    def run(self, steps: int) -> None:
        """Run the schedule."""
        acts = (self.change, self.lose, self.call, self.call, self.end)
        for _ in range(steps):
            self.now += self.rng.choice((0, 1, 50, 2000)) * MS
            self.rng.choice((*acts, self.end))()

    def change(self) -> None:
        name = f"m{self.rng.randrange(6)}"
        if self.rng.random() < 0.2:
            self.members.pop(name, None)
            self.lost.discard(name)
        else:
            old = self.members.get(name)
            restarted = old is None or self.rng.random() < 0.1
            member = build_member(
                name,
                incarnation=(old.incarnation if old else 0) + restarted,
                domain=f"d{self.rng.randrange(2)}",
                pool=self.rng.choice(("history", "billing")),
                state=self.rng.choice(list(MemberState)),
            )
            if restarted:
                self.lost.discard(name)
            self.members[name] = member
        self.balancer.update(self.now, dict(self.members))

    def lose(self) -> None:
        if self.members:
            name = self.rng.choice(list(self.members))
            if name in self.lost:
                self.lost.discard(name)
                self.balancer.mark_reachable(self.now, name)
            else:
                self.lost.add(name)
                self.balancer.mark_unreachable(self.now, name)

    def call(self) -> None:
        exclude = frozenset(self.rng.sample(["m0", "m1", "m2"], 1))
        name = self.balancer.choose(self.now, "history", exclude)
        usable = {
            n
            for n, m in self.members.items()
            if m.pool == "history"
            and m.state in (MemberState.WARMING, MemberState.SERVING)
            and n not in self.lost | exclude
        }
        if name is None:
            # At most half of the pool can be ejected.
            size = sum(m.pool == "history" for m in self.members.values())
            assert 2 * len(usable) <= size, "usable members are ignored"
            return
        assert name in usable, f"{name} must not be called"
        self.balancer.start(self.now, name)
        self.calls.append(name)

    def end(self) -> None:
        if self.calls:
            name = self.calls.pop(self.rng.randrange(len(self.calls)))
            result = self.rng.choice(list(CallResult))
            self.balancer.finish(self.now, name, result, 5 * MS)


class BalancerFuzzTest(unittest.TestCase):
    """Guards against calls to members that must get none."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                BalancerFuzz(seed).run(150)
