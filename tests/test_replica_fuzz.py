"""Seeded schedules of faults against the replicated log and its journal.

SEQUOIASEAM_SCHEDULES sets how many run, SEQUOIASEAM_SEED the first.
"""

import os
import random
import unittest
from collections.abc import Callable
from typing import Final

from sequoiaseam._replica_messages import Membership, Role
from tests.replica_fakes import CrashError, FakeFleet, FakeHost

SCHEDULES: Final = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
FIRST_SEED: Final = int(os.environ.get("SEQUOIASEAM_SEED", "0"))
CHAOS_SECONDS: Final = 5.0


class Schedule:
    """One fleet and the faults that the seed draws for it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        size = self.rng.choice((1, 3, 3, 3, 5))
        spares = self.rng.choice((0, 1))
        self.fleet = FakeFleet(seed, size, spares)
        self.wiped: FakeHost | None = None
        self.number = 0
        self.faulty = self.rng.sample(
            (
                self.crash,
                self.crash_in_operation,
                self.fail_operation,
                self.slow_disk,
                self.cut_link,
                self.isolate,
                self.disturb_network,
                self.wipe,
                self.use_spare,
            ),
            self.rng.randint(1, 9),
        )

    def run(self) -> None:
        """Run the faults, heal everything and check the outcome."""
        fleet = self.fleet.start()
        fleet.after(0.5, self.repair)
        fleet.after(0.1, self.work)
        if self.rng.random() < 0.9:
            fleet.run_until(fleet.leader, 5.0)
        end = fleet.time + CHAOS_SECONDS
        while fleet.time < end:
            self.rng.choice(self.faulty)()
            fleet.run(self.rng.choice((0.05, 0.3, 1.0)))
        self.heal()
        fleet.run_until(self.is_whole)
        assert self.is_whole(), "no progress after healing"
        acked = len(fleet.acked)
        assert fleet.run_until(lambda: len(fleet.acked) > acked + 3)
        fleet.after = self.stop_work  # type: ignore[method-assign]
        assert fleet.run_until(fleet.has_converged), "no agreement"
        fleet.check_end()

    def stop_work(
        self,
        delay: float,
        call: Callable[..., None],
        host: FakeHost | None = None,
        *arguments: object,
    ) -> None:
        """Schedule anything but more proposals."""
        if call != self.work:
            FakeFleet.after(self.fleet, delay, call, host, *arguments)

    def heal(self) -> None:
        """End all faults; hosts that are down start again."""
        fleet = self.fleet
        fleet.cut.clear()
        fleet.loss = fleet.duplication = 0.0
        fleet.delay = 0.005
        for host in fleet.hosts.values():
            host.disk_delay = 0.002
            host.disk.fault = str
            if not host.up or host.replica.status().failed:
                self.restart(host)

    def is_whole(self) -> bool:
        """Return whether a leader leads and no replacement is open."""
        leader = self.fleet.leader()
        if leader is None:
            return False
        status = leader.replica.status()
        membership = status.membership
        assert membership is not None
        return (
            status.commit_index == status.last_index
            and membership.incoming is None
            and membership.outgoing is None
            and not self.is_wiped_voter(membership)
        )

    def is_wiped_voter(self, membership: Membership) -> bool:
        """Return whether a voter's disk was wiped since it joined."""
        wiped = self.wiped
        return wiped is not None and any(
            voter.host == wiped.name and voter != wiped.identity
            for voter in membership.voters
        )

    # Load and repair.

    def work(self) -> None:
        """Propose and confirm, also on replicas that don't lead."""
        for _ in range(self.rng.choice((1, 1, 1, 12))):
            host = self.rng.choice(list(self.fleet.hosts.values()))
            leading = [
                host
                for host in self.fleet.live()
                if host.replica.role is Role.LEADER
            ]
            if leading and self.rng.random() < 0.7:
                host = self.rng.choice(leading)
            if not host.up:
                continue
            if self.rng.random() < 0.4:
                self.fleet.confirm(host)
            else:
                self.number += 1
                size = self.rng.choice((1, 1, 50))
                self.fleet.propose(host, b"%d-" % self.number * size)
        self.fleet.after(0.4 * self.rng.random(), self.work)

    def repair(self) -> None:
        """Restart what is down and replace what was wiped."""
        for host in self.fleet.hosts.values():
            down = not host.up or host.replica.status().failed
            if down and self.rng.random() < 0.5:
                self.restart(host)
        leader = self.fleet.leader()
        if leader is not None and self.wiped is not None:
            self.fleet.replace(self.wiped.name, self.wiped.name)
            if self.is_whole():
                self.wiped = None
        self.fleet.after(0.5, self.repair)

    def restart(self, host: FakeHost) -> None:
        """Start a host again after a loss of power or of the process."""
        if host.up:
            host.stop(power=self.rng.random() < 0.5)
        host.start()

    # Faults.

    def pick(self) -> FakeHost:
        """Return a host, the leader half of the time."""
        leader = self.fleet.leader()
        if leader is not None and self.rng.random() < 0.5:
            return leader
        return self.rng.choice(list(self.fleet.hosts.values()))

    def crash(self) -> None:
        """Stop a process or cut a host's power."""
        host = self.pick()
        if host.up:
            host.stop(power=self.rng.random() < 0.7)

    def crash_in_operation(self) -> None:
        """Cut the power in one of the next file operations."""
        self.set_fault(CrashError, 6)

    def fail_operation(self) -> None:
        """Let the disk fail, or be full, from one operation on."""
        self.set_fault(OSError, 3)

    def set_fault(self, error: type[Exception], limit: int) -> None:
        """Raise the error in a file operation that the seed draws."""
        host = self.pick()
        left = [self.rng.randrange(limit)]

        def fault(_operation: str) -> None:
            left[0] -= 1
            if left[0] < 0:
                raise error

        host.disk.fault = fault

    def slow_disk(self) -> None:
        """Let disk work take up to a while."""
        self.pick().disk_delay = self.rng.choice((0.002, 0.05, 0.5, 2.0))

    def cut_link(self) -> None:
        """Cut or restore one direction between two hosts."""
        names = list(self.fleet.hosts)
        self.fleet.cut ^= {(self.rng.choice(names), self.rng.choice(names))}

    def isolate(self) -> None:
        """Cut a host off silently, or end all cuts."""
        if self.fleet.cut:
            self.fleet.cut.clear()
        else:
            self.fleet.isolate(self.pick().name)

    def disturb_network(self) -> None:
        """Lose, duplicate, delay and so reorder messages."""
        self.fleet.loss = self.rng.choice((0.0, 0.05, 0.3))
        self.fleet.duplication = self.rng.choice((0.0, 0.1))
        self.fleet.delay = self.rng.choice((0.005, 0.1, 0.6))

    def wipe(self) -> None:
        """Wipe a disk, one until its replacement is complete."""
        members = self.fleet.members()
        if len(members) > 2 and self.wiped is None and self.is_whole():
            self.wiped = self.rng.choice(members)
            self.wiped.wipe()
            self.wiped.start()

    def use_spare(self) -> None:
        """Replace a live replica by the spare host."""
        members = self.fleet.members()
        spare = list(self.fleet.hosts.values())[-1]
        if members and spare.up and spare not in members:
            self.fleet.replace(self.rng.choice(members).name, spare.name)


class ReplicaFuzzTest(unittest.TestCase):
    """All schedules of the run."""

    def test_schedules(self) -> None:
        """Guard against loss, disagreement and stalls under faults."""
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(seed=seed):
                Schedule(seed).run()
