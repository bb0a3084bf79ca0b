"""Fault injection tests of the replicated log and its journal.

The environment variable SEQUOIASEAM_SCHEDULES sets the number of
schedules, SEQUOIASEAM_SEED the seed of the first one.
"""

import os
import random
import unittest
from typing import Final

from sequoiaseam._replica_messages import Membership
from tests.replica_fakes import CrashError, FakeFleet, FakeHost

SCHEDULES: Final = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
FIRST_SEED: Final = int(os.environ.get("SEQUOIASEAM_SEED", "0"))
FAULT_SECONDS: Final = 5.0


class Schedule:
    """Fleet with the faults that a seed selects."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        size = self.rng.choice((1, 3, 3, 3, 5))
        spares = self.rng.choice((0, 1))
        self.fleet = FakeFleet(seed, size, spares)
        self.wiped_host: FakeHost | None = None
        self.command_count = 0
        self.generates_load = True
        self.faults = self.rng.sample(
            (
                self.crash_host,
                lambda: self.set_disk_fault(CrashError, 6),
                lambda: self.set_disk_fault(OSError, 3),
                self.set_disk_delay,
                self.toggle_link,
                self.toggle_isolation,
                self.disturb_network,
                self.wipe_voter,
                self.use_spare,
            ),
            self.rng.randint(1, 9),
        )

    def run(self) -> None:
        """Inject faults, end them and check the result."""
        fleet = self.fleet.start()
        fleet.call_later(0.5, self.repair)
        fleet.call_later(0.1, self.generate_load)
        if self.rng.random() < 0.9:
            fleet.run_until(fleet.leader, 5.0)
        end = fleet.time + FAULT_SECONDS
        while fleet.time < end:
            self.rng.choice(self.faults)()
            fleet.run(self.rng.choice((0.02, 0.1, 0.3, 1.0)))
        self.end_faults()
        fleet.run_until(self.is_healthy)
        assert self.is_healthy(), (
            "the group didn't recover after the faults ended"
        )
        acked = len(fleet.acked)
        assert fleet.run_until(lambda: len(fleet.acked) > acked + 3)
        self.generates_load = False
        assert fleet.run_until(fleet.has_converged), (
            "voters didn't apply the same commands"
        )
        fleet.check_agreement()

    def end_faults(self) -> None:
        """End all faults and restart hosts that are down or failed."""
        fleet = self.fleet
        fleet.blocked_links.clear()
        fleet.loss_rate = fleet.duplication_rate = 0.0
        fleet.max_delay = 0.005
        for host in fleet.hosts.values():
            host.max_disk_delay = 0.002
            host.disk.fault = str
            if not host.is_running or host.replica.status().failed:
                self.restart_host(host)

    def is_healthy(self) -> bool:
        """Return whether the group is fully operational.

        It has a leader that has committed its whole log, no replacement is
        in progress and no voter's disk was wiped.
        """
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
            and not self.has_wiped_voter(membership)
        )

    def has_wiped_voter(self, membership: Membership) -> bool:
        """Return whether a voter's disk was wiped after it joined."""
        wiped = self.wiped_host
        return wiped is not None and any(
            voter.host == wiped.name and voter != wiped.identity
            for voter in membership.voters
        )

    # Load and repair of the group.

    def generate_load(self) -> None:
        """Send proposals and read-index requests, also to followers."""
        for _ in range(self.rng.choice((1, 1, 1, 12))):
            host = self.choose_host()
            if not host.is_running:
                continue
            if self.rng.random() < 0.4:
                self.fleet.confirm(host)
            else:
                self.command_count += 1
                size = self.rng.choice((1, 1, 50))
                self.fleet.propose(host, b"%d-" % self.command_count * size)
        if self.generates_load:
            self.fleet.call_later(0.4 * self.rng.random(), self.generate_load)

    def repair(self) -> None:
        """Restart failed hosts at random and replace a wiped replica."""
        for host in self.fleet.hosts.values():
            down = not host.is_running or host.replica.status().failed
            if down and self.rng.random() < 0.5:
                self.restart_host(host)
        leader = self.fleet.leader()
        if leader is not None and self.wiped_host is not None:
            self.fleet.replace(self.wiped_host.name, self.wiped_host.name)
            if self.is_healthy():
                self.wiped_host = None
        self.fleet.call_later(0.5, self.repair)

    def restart_host(self, host: FakeHost) -> None:
        """Restart a host; a running one first loses its process or power."""
        if host.is_running:
            host.stop(power=self.rng.random() < 0.5)
        host.start()

    # Faults.

    def choose_host(self) -> FakeHost:
        """Return a random host, with at least 50% probability a leader."""
        hosts = list(self.fleet.hosts.values())
        leaders = [host for host in hosts if host.is_leader]
        if leaders and self.rng.random() < 0.5:
            return self.rng.choice(leaders)
        return self.rng.choice(hosts)

    def crash_host(self) -> None:
        """Stop a process or cut a host's power; often restart soon."""
        host = self.choose_host()
        if host.is_running:
            host.stop(power=self.rng.random() < 0.7)
            if self.rng.random() < 0.7:
                delay = 0.2 * self.rng.random()
                self.fleet.call_later(delay, host.start)

    def set_disk_fault(self, error: type[Exception], limit: int) -> None:
        """Raise an error in one of the next file operations of a host."""
        host = self.choose_host()
        remaining = [self.rng.randrange(limit)]

        def fault(_operation: str) -> None:
            remaining[0] -= 1
            if remaining[0] < 0:
                raise error

        host.disk.fault = fault

    def set_disk_delay(self) -> None:
        """Change the maximum delay of a disk."""
        self.choose_host().max_disk_delay = self.rng.choice(
            (0.002, 0.05, 0.5, 2.0)
        )

    def toggle_link(self) -> None:
        """Block or unblock one direction between two hosts."""
        pair = [self.choose_host().name, self.choose_host().name]
        self.rng.shuffle(pair)
        self.fleet.blocked_links ^= {(pair[0], pair[1])}

    def toggle_isolation(self) -> None:
        """Isolate a host, or unblock all links if some are blocked."""
        if not self.fleet.blocked_links:
            self.fleet.isolate(self.choose_host().name)
        else:
            self.fleet.blocked_links.clear()

    def disturb_network(self) -> None:
        """Change message loss, duplication and delay.

        Messages with different delays are reordered.
        """
        self.fleet.loss_rate = self.rng.choice((0.0, 0.05, 0.3))
        self.fleet.duplication_rate = self.rng.choice((0.0, 0.1))
        self.fleet.max_delay = self.rng.choice((0.005, 0.1, 0.6))

    def wipe_voter(self) -> None:
        """Wipe a voter's disk, unless another wiped one is being replaced."""
        voting_hosts = self.fleet.voting_hosts()
        if (
            len(voting_hosts) > 2
            and self.wiped_host is None
            and self.is_healthy()
        ):
            self.wiped_host = self.rng.choice(voting_hosts)
            self.wiped_host.wipe()
            self.wiped_host.start()

    def use_spare(self) -> None:
        """Replace a voter by the spare host, or cancel a replacement."""
        leader = self.fleet.leader()
        spare = list(self.fleet.hosts.values())[-1]
        voting_hosts = self.fleet.voting_hosts()
        if leader is None:
            return
        if self.rng.random() < 0.2:
            leader.run(leader.replica.cancel_replacement(leader.now, b""))
        elif spare.is_running and spare not in voting_hosts:
            self.fleet.replace(self.rng.choice(voting_hosts).name, spare.name)


class ReplicaFuzzTest(unittest.TestCase):
    """Guards against lost commands, disagreement and stalls."""

    def test_schedules(self) -> None:
        """Run each schedule and check its result."""
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(seed=seed):
                Schedule(seed).run()
