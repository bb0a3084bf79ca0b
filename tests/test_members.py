"""Tests of membership leases and witness assignment."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from typing import Final

from bench._hosts import LeaseFleet, time_at

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import (
    Command,
    Member,
    MembersChanged,
    MemberState,
    WitnessGroup,
)
from sequoiaseam._members import (
    WITNESS_SETTLE_TIME,
    MemberGone,
    MemberRegistry,
    MemberReport,
    plan_witnesses,
)
from sequoiaseam._state import merge_members
from sequoiaseam.const import WITNESS_SHARDS
from tests.builders import build_member
from tests.seeds import iterate_seeds


class RegistryTest(unittest.TestCase):
    """Guards against removing live nodes and keeping failed ones."""

    def setUp(self) -> None:
        self.registry = MemberRegistry(EPOCH)
        self.members = {
            name: build_member(name, incarnation=5) for name in "abc"
        }
        self.registry.start_leading(EPOCH, self.members)

        self.elapsed_tenths = 0

    def process_reports(
        self, seconds: float, *members: Member
    ) -> tuple[Command, ...]:
        reports = tuple(MemberReport(member) for member in members)
        return self.registry.process_reports(time_at(seconds), reports)

    def tick_until(self, seconds: float) -> tuple[Command, ...]:
        commands: tuple[Command, ...] = ()
        while self.elapsed_tenths < round(seconds * 10):
            self.elapsed_tenths += 1
            now = time_at(self.elapsed_tenths / 10)
            commands += self.registry.tick(now, self.members)
        return commands

    def test_expired_members_are_removed_in_one_command(self) -> None:
        self.assertEqual(self.tick_until(3.0), ())
        self.assertEqual(self.process_reports(3.0, self.members["c"]), ())
        self.assertEqual(self.tick_until(3.4), ())
        expected = MembersChanged((), {"a": 5, "b": 5})
        self.assertEqual(self.tick_until(3.5), (expected,))
        # The command is repeated only if it wasn't committed in time.
        self.assertEqual(self.tick_until(4.4), ())
        self.assertEqual(self.tick_until(4.6), (expected,))

    def test_new_leader_grants_full_leases(self) -> None:
        self.tick_until(3.0)
        self.registry.start_leading(time_at(3.0), self.members)
        self.assertEqual(self.tick_until(6.4), ())
        self.assertNotEqual(self.tick_until(6.5), ())

    def test_pause_of_the_leader_does_not_expire_leases(self) -> None:
        self.tick_until(2.0)
        self.elapsed_tenths += 100
        self.assertEqual(self.tick_until(13.4), ())
        self.assertNotEqual(self.tick_until(13.6), ())

    def test_draining_is_forwarded_at_once_and_not_reverted(self) -> None:
        draining = replace(self.members["a"], state=MemberState.DRAINING)
        reports = (MemberReport(draining, 2),)
        commands = self.registry.process_reports(time_at(0.1), reports)
        self.assertEqual(commands, (MembersChanged((draining,), {}),))
        late_reports = (MemberReport(self.members["a"], 1),)
        self.assertEqual(
            self.registry.process_reports(time_at(0.2), late_reports), ()
        )

    def test_older_incarnation_is_ignored(self) -> None:
        older = replace(self.members["a"], incarnation=4, port=9)
        self.assertEqual(self.process_reports(3.0, older), ())
        stopped_reports = (MemberGone("a", 4),)
        self.assertEqual(
            self.registry.process_reports(time_at(3.0), stopped_reports), ()
        )
        # The older report doesn't renew the lease either.
        commands = self.tick_until(3.5)
        assert isinstance(commands[0], MembersChanged)
        self.assertIn("a", commands[0].left or {})

    def test_stopped_incarnation_is_not_added_again(self) -> None:
        commands = self.registry.process_reports(
            time_at(0.1), (MemberGone("a", 5),)
        )
        self.assertEqual(commands, (MembersChanged((), {"a": 5}),))
        del self.members["a"]
        self.registry.tick(time_at(0.2), self.members)
        self.assertEqual(
            self.process_reports(0.3, build_member("a", incarnation=5)), ()
        )
        newer = build_member("a", incarnation=6)
        self.assertEqual(
            self.process_reports(0.4, newer),
            (MembersChanged((newer,), {}),),
        )


class RegistryFuzzTest(unittest.TestCase):
    """Guards against expiry of live nodes and late expiry of failed ones.

    Reports are delayed by up to 2 s, repeated and reordered. The leader
    changes and proposals may be lost.
    """

    def test_leases(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                self.run_schedule(LeaseFleet(random.Random(seed)))

    def run_schedule(self, fleet: LeaseFleet) -> None:
        for _ in range(120):
            for command in fleet.step():
                for name, incarnation in (command.left or {}).items():
                    live = fleet.is_live(name, incarnation)
                    self.assertFalse(
                        live, f"{name} was removed while live at {fleet.now}"
                    )
                fleet.members = merge_members(fleet.members, command)
            for name, failed_at in fleet.failed_at.items():
                if fleet.now > max(failed_at, fleet.leading_since) + 5:
                    self.assertNotIn(name, fleet.members)


def build_members(count: int, domains: int) -> dict[str, Member]:
    """Return ``count`` members spread over failure domains."""
    return {
        f"n{i}": build_member(f"n{i}", domain=f"d{i % domains}")
        for i in range(count)
    }


class _SpreadCase(unittest.TestCase):
    def check_spread(
        self,
        group: WitnessGroup,
        members: dict[str, Member],
    ) -> None:
        names = set(group.witnesses)
        self.assertEqual(len(names), len(group.witnesses))
        self.assertEqual(len(names), min(3, len(members)))
        domain_count = len({members[name].domain for name in names})
        domains = len({member.domain for member in members.values()})
        self.assertEqual(domain_count, min(3, domains, len(members)))


class WitnessPlanTest(_SpreadCase):
    """Guards against plans that cost a shard its majority."""

    def test_first_groups_span_domains_and_balance_the_load(self) -> None:
        for count, domains in ((12, 4), (3, 3), (4, 2), (2, 2), (1, 1)):
            with self.subTest(count=count, domains=domains):
                members = build_members(count, domains)
                plan = plan_witnesses(members, {}, random.Random(1))
                assert plan is not None
                self.assertEqual(len(plan.groups), WITNESS_SHARDS)
                load = Counter[str]()
                for group in plan.groups.values():
                    self.check_spread(group, members)
                    load.update(group.witnesses)
                self.assertLessEqual(
                    max(load.values()) - min(load.values()), 2
                )

    def test_no_plan_without_members(self) -> None:
        self.assertIsNone(plan_witnesses({}, {}, random.Random(1)))

    def test_unsettled_shard_changes_only_without_a_majority(self) -> None:
        members = build_members(6, 3)
        group = WitnessGroup(1, ("n0", "n1", "n2"))
        groups = dict.fromkeys(range(WITNESS_SHARDS), group)
        unsettled = frozenset(groups)
        for lost, changed in ((("n0",), False), (("n0", "n1"), True)):
            with self.subTest(lost=lost):
                remaining = {k: v for k, v in members.items() if k not in lost}
                plan = plan_witnesses(
                    remaining,
                    groups,
                    random.Random(1),
                    unsettled=unsettled,
                )
                self.assertEqual(plan is not None, changed)


# Seconds of a step that is long enough for every shard to settle.
SETTLING_STEP: Final = WITNESS_SETTLE_TIME.total_seconds() + 2.5


class WitnessFuzzTest(_SpreadCase):
    """Guards against replacing two witnesses of a shard at a time.

    Nodes join, drain and leave at random. After that, plans must stop
    and leave groups spread over the failure domains.
    """

    def test_plans_converge_after_membership_changes(self) -> None:
        for seed in iterate_seeds(100):
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        domains = rng.choice((1, 2, 3, 4))
        members = build_members(rng.randrange(1, 8), domains)
        registry = MemberRegistry(EPOCH)
        groups: dict[int, WitnessGroup] = {}
        now, node_number, idle_plans = 0.0, 100, 0
        for step in range(120):
            node_number += 1
            if step < 15:
                self.change_members(rng, members, f"n{node_number}", domains)
            now += (
                rng.choice((1.0, SETTLING_STEP))
                if step < 15
                else SETTLING_STEP
            )
            if step == 10:
                registry.start_leading(time_at(now), members)
            registry.tick(time_at(now), members)
            plan = registry.plan(time_at(now), groups, rng)
            # The next plan skips a shard that the last one changed.
            idle_plans = idle_plans + 1 if plan is None else 0
            if step > 20 and idle_plans > 1:
                break
            if plan is None:
                continue
            for shard, group in plan.groups.items():
                self.check_change(groups.get(shard), group, members)
            groups |= plan.groups
        self.assertGreater(idle_plans, 1)
        for group in groups.values():
            available_members = {
                name: member
                for name, member in members.items()
                if member.state is not MemberState.DRAINING
            }
            if len(available_members) >= 3:
                self.check_spread(group, available_members)

    def change_members(
        self,
        rng: random.Random,
        members: dict[str, Member],
        name: str,
        domains: int,
    ) -> None:
        if len(members) > 4 and rng.random() < 0.4:
            del members[rng.choice(sorted(members))]
        if rng.random() < 0.5:
            domain = f"d{rng.randrange(domains)}"
            members[name] = build_member(name, domain=domain)
        if len(members) > 4 and rng.random() < 0.2:
            draining_name = rng.choice(sorted(members))
            state = MemberState.DRAINING
            members[draining_name] = replace(
                members[draining_name], state=state
            )

    def check_change(
        self,
        old: WitnessGroup | None,
        new: WitnessGroup,
        members: dict[str, Member],
    ) -> None:
        self.assertEqual(len(set(new.witnesses)), len(new.witnesses))
        if old is None:
            return
        self.assertEqual(new.epoch, old.epoch + 1)
        removed = set(old.witnesses) - set(new.witnesses)
        added = set(new.witnesses) - set(old.witnesses)
        self.assertEqual(len(added), 1)
        self.assertLessEqual(len(removed), 1)
        # A live witness is replaced only while the others are live too.
        if removed & members.keys():
            self.assertLessEqual(set(old.witnesses), members.keys())


class SettleTest(unittest.TestCase):
    """Guards against a second change before the first new witness votes."""

    def test_second_replacement_waits(self) -> None:
        members = build_members(6, 3)
        registry, rng = MemberRegistry(EPOCH), random.Random(1)
        registry.tick(EPOCH, members)
        plan = registry.plan(EPOCH, {}, rng)
        assert plan is not None
        groups = dict(plan.groups)
        settle_seconds = WITNESS_SETTLE_TIME.total_seconds()
        lost, restarted, _ = groups[0].witnesses
        remaining = {k: v for k, v in members.items() if k != lost}
        # Another witness restarts and loses its records.
        cases = (
            (0.1, 1, 0),
            (settle_seconds, 2, 0),
            (2 * settle_seconds, 2, 1),
        )
        for seconds, incarnation, changes in cases:
            row = replace(remaining[restarted], incarnation=incarnation)
            registry.tick(time_at(seconds), remaining | {restarted: row})
            plan = registry.plan(time_at(seconds), groups, rng)
            self.assertEqual(plan is not None and 0 in plan.groups, changes)
