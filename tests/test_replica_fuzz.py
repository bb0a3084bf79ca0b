"""Seeded schedules of faults against the replicated log and its journal.

SEQUOIASEAM_SCHEDULES sets how many run, SEQUOIASEAM_SEED the first.
"""

import os
import random
import unittest
from typing import Final

from sequoiaseam._replica_messages import Membership
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
        self.working = True
        self.faulty = self.rng.sample(
            (
                self.crash,
                lambda: self.set_fault(CrashError, 6),
                lambda: self.set_fault(OSError, 3),
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
        fleet.call_later(0.5, self.repair)
        fleet.call_later(0.1, self.work)
        if self.rng.random() < 0.9:
            fleet.run_until(fleet.leader, 5.0)
        end = fleet.time + CHAOS_SECONDS
        while fleet.time < end:
            self.rng.choice(self.faulty)()
            fleet.run(self.rng.choice((0.02, 0.1, 0.3, 1.0)))
        self.heal()
        fleet.run_until(self.is_whole)
        assert self.is_whole(), "no progress after healing"
        acked = len(fleet.acked)
        assert fleet.run_until(lambda: len(fleet.acked) > acked + 3)
        self.working = False
        assert fleet.run_until(fleet.has_converged), "no agreement"
        fleet.check_agreement()

    def heal(self) -> None:
        """End all faults; hosts that are down start again."""
        fleet = self.fleet
        fleet.blocked_links.clear()
        fleet.loss_rate = fleet.duplication_rate = 0.0
        fleet.max_delay = 0.005
        for host in fleet.hosts.values():
            host.max_disk_delay = 0.002
            host.disk.fault = str
            if not host.is_running or host.replica.status().failed:
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
            host = self.pick()
            if not host.is_running:
                continue
            if self.rng.random() < 0.4:
                self.fleet.confirm(host)
            else:
                self.number += 1
                size = self.rng.choice((1, 1, 50))
                self.fleet.propose(host, b"%d-" % self.number * size)
        if self.working:
            self.fleet.call_later(0.4 * self.rng.random(), self.work)

    def repair(self) -> None:
        """Restart what is down and replace what was wiped."""
        for host in self.fleet.hosts.values():
            down = not host.is_running or host.replica.status().failed
            if down and self.rng.random() < 0.5:
                self.restart(host)
        leader = self.fleet.leader()
        if leader is not None and self.wiped is not None:
            self.fleet.replace(self.wiped.name, self.wiped.name)
            if self.is_whole():
                self.wiped = None
        self.fleet.call_later(0.5, self.repair)

    def restart(self, host: FakeHost) -> None:
        """Start a host again after a loss of power or of the process."""
        if host.is_running:
            host.stop(power=self.rng.random() < 0.5)
        host.start()

    # Faults.

    def pick(self) -> FakeHost:
        """Return a host, a leader half of the time."""
        hosts = list(self.fleet.hosts.values())
        leading = [one for one in hosts if one.is_leader]
        if leading and self.rng.random() < 0.5:
            return self.rng.choice(leading)
        return self.rng.choice(hosts)

    def crash(self) -> None:
        """Stop a process or cut a host's power, often only for a moment."""
        host = self.pick()
        if host.is_running:
            host.stop(power=self.rng.random() < 0.7)
            if self.rng.random() < 0.7:
                delay = 0.2 * self.rng.random()
                self.fleet.call_later(delay, host.start)

    def set_fault(self, error: type[Exception], limit: int) -> None:
        """Crash in, or fail from, one of the next file operations."""
        host = self.pick()
        left = [self.rng.randrange(limit)]

        def fault(_operation: str) -> None:
            left[0] -= 1
            if left[0] < 0:
                raise error

        host.disk.fault = fault

    def slow_disk(self) -> None:
        """Let disk work take up to a while."""
        self.pick().max_disk_delay = self.rng.choice((0.002, 0.05, 0.5, 2.0))

    def cut_link(self) -> None:
        """Cut or restore one direction between two hosts."""
        pair = [self.pick().name, self.pick().name]
        self.rng.shuffle(pair)
        self.fleet.blocked_links ^= {(pair[0], pair[1])}

    def isolate(self) -> None:
        """Cut a host off silently, or end all cuts."""
        if not self.fleet.blocked_links:
            self.fleet.isolate(self.pick().name)
        else:
            self.fleet.blocked_links.clear()

    def disturb_network(self) -> None:
        """Lose, duplicate, delay and so reorder messages."""
        self.fleet.loss_rate = self.rng.choice((0.0, 0.05, 0.3))
        self.fleet.duplication_rate = self.rng.choice((0.0, 0.1))
        self.fleet.max_delay = self.rng.choice((0.005, 0.1, 0.6))

    def wipe(self) -> None:
        """Wipe a disk, one until its replacement is complete."""
        members = self.fleet.voting_hosts()
        if len(members) > 2 and self.wiped is None and self.is_whole():
            self.wiped = self.rng.choice(members)
            self.wiped.wipe()
            self.wiped.start()

    def use_spare(self) -> None:
        """Replace a live replica by the spare host, or give that up."""
        leader = self.fleet.leader()
        spare = list(self.fleet.hosts.values())[-1]
        members = self.fleet.voting_hosts()
        if leader is None:
            return
        if self.rng.random() < 0.2:
            leader.run(leader.replica.cancel_replacement(leader.now, b""))
        elif spare.is_running and spare not in members:
            self.fleet.replace(self.rng.choice(members).name, spare.name)


class ReplicaFuzzTest(unittest.TestCase):
    """All schedules of the run."""

    def test_schedules(self) -> None:
        """Guard against loss, disagreement and stalls under faults."""
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(seed=seed):
                Schedule(seed).run()
