"""Tests of the replica's rules, one failure each."""

import unittest

from sequoiaseam._codec import Codec
from sequoiaseam._replica_messages import (
    MESSAGE_TYPES,
    Append,
    Proposed,
    Rejected,
    Role,
    Send,
)
from sequoiaseam.errors import ErrorCode
from tests.replica_fakes import FakeFleet, FakeHost


def start_fleet(size: int, spares: int = 0) -> FakeFleet:
    """Return a fleet that has a leader."""
    fleet = FakeFleet(1, size, spares).start()
    assert fleet.run_until(fleet.leader)
    return fleet


class ReplicaTest(unittest.TestCase):
    """Small fleets with fake disks and a fake network."""

    def propose(self, fleet: FakeFleet, command: bytes) -> None:
        """Propose on the leader and expect an acknowledgement."""
        fleet.propose(fleet.require_leader(), command)
        self.assertTrue(fleet.run_until(lambda: command in fleet.acked))

    def finish(self, fleet: FakeFleet) -> None:
        """Expect all replicas to agree on everything acknowledged."""
        self.assertTrue(fleet.run_until(fleet.has_converged))
        fleet.check_end()

    def test_commands_commit_on_fleets_of_each_size(self) -> None:
        """Guard against quorums that are wrong for a size."""
        for size in (1, 2, 3, 5, 7):
            with self.subTest(size=size):
                fleet = start_fleet(size)
                for number in range(30):
                    self.propose(fleet, b"c%d" % number)
                self.finish(fleet)

    def test_nothing_is_acknowledged_without_sync(self) -> None:
        """Guard against counting the leader's own unsynced entry."""
        fleet = start_fleet(3)
        for host in fleet.hosts.values():
            host.disk_delay = 1000
        leader = fleet.require_leader()
        fleet.propose(leader, b"x")
        fleet.run(1.0)
        self.assertEqual({}, fleet.acked)
        self.assertTrue(leader.replica.lease_valid(leader.now))

    def test_failed_disk_steps_down(self) -> None:
        """Guard against a false acknowledgement by a failing disk."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        actions = leader.replica.propose(leader.now, b"x", "t")
        self.assertNotIn(Proposed, map(type, actions))
        actions = leader.replica.fail_disk(leader.now)
        self.assertIn(
            Rejected("t", ErrorCode.OUTCOME_UNKNOWN, None),
            actions,
        )
        self.assertIs(Role.FOLLOWER, leader.replica.role)
        self.assertEqual((), leader.replica.synced(leader.now, 1))
        rejected = leader.replica.propose(leader.now, b"y", "u")
        expected = (Rejected("u", ErrorCode.DISK_FAILED, None),)
        self.assertEqual(expected, rejected)
        self.assertTrue(
            fleet.run_until(lambda: fleet.leader() not in (None, leader)),
        )

    def test_follower_names_the_leader(self) -> None:
        """Guard against forwarding proposals to the wrong host."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        follower = next(h for h in fleet.live() if h is not leader)
        actions = follower.replica.propose(follower.now, b"x", "t")
        expected = (Rejected("t", ErrorCode.NOT_LEADER, leader.name),)
        self.assertEqual(expected, actions)

    def test_confirm_on_every_replica(self) -> None:
        """Guard against followers that can't tell the read index."""
        fleet = start_fleet(3)
        self.propose(fleet, b"x")
        for host in fleet.live():
            fleet.confirm(host)
        self.assertTrue(fleet.run_until(lambda: fleet.confirmed == 3, 1))
        isolated = fleet.require_leader()
        fleet.isolate(isolated.name)
        fleet.confirm(isolated)
        fleet.run(5.0)
        self.assertEqual(3, fleet.confirmed)

    def test_return_from_a_long_partition_deposes_nobody(self) -> None:
        """Guard against a term that grew during a silent partition."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        cut = next(h for h in fleet.live() if h is not leader)
        fleet.isolate(cut.name)
        fleet.run(60.0)
        for number in range(30):
            self.propose(fleet, b"c%d" % number)
        term = leader.replica.term
        fleet.cut.clear()
        fleet.run(3.0)
        self.assertIs(leader, fleet.leader())
        self.assertEqual(term, leader.replica.term)
        self.finish(fleet)

    def test_second_host_lost_after_a_replacement(self) -> None:
        """Guard against loss of what only the first two had accepted."""
        fleet = start_fleet(3)
        lost, other = (h for h in fleet.live() if h is not fleet.leader())
        fleet.isolate(other.name)
        for number in range(20):
            self.propose(fleet, b"c%d" % number)
        fleet.cut.clear()
        identity = lost.identity
        lost.wipe()
        lost.start()
        fleet.run(2.0)
        fleet.replace(lost.name, lost.name)
        self.assertTrue(fleet.run_until(lambda: lost in fleet.members()))
        fleet.run(3.0)
        membership = fleet.require_leader().replica.status().membership
        assert membership is not None
        self.assertNotIn(identity, membership.voters)
        self.assertIsNone(membership.outgoing)
        fleet.require_leader().stop()
        self.assertTrue(fleet.run_until(fleet.leader))
        self.propose(fleet, b"later")
        fleet.cut.clear()
        for host in fleet.hosts.values():
            if not host.up:
                host.start()
        self.finish(fleet)

    def test_wiped_disk_does_not_vote(self) -> None:
        """Guard against a wiped voter completing a quorum that lost data."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        wiped, other = (h for h in fleet.live() if h is not leader)
        fleet.isolate(other.name)
        self.propose(fleet, b"x")
        leader.stop()
        wiped.wipe()
        wiped.start()
        fleet.cut.clear()
        fleet.run(10.0)
        self.assertIsNone(fleet.leader())
        leader.start()
        self.assertTrue(fleet.run_until(fleet.leader))
        self.finish_without(fleet, wiped)

    def finish_without(self, fleet: FakeFleet, missing: FakeHost) -> None:
        """Expect the others to have everything acknowledged."""
        for host in fleet.hosts.values():
            if host is not missing:
                commands = [bytes(command) for _, command in host.applied]
                self.assertLessEqual(set(fleet.acked), set(commands))

    def test_group_forms_only_when_all_are_empty(self) -> None:
        """Guard against two groups after a first start in parts."""
        fleet = FakeFleet(1, 3)
        fleet.hosts["h0"].start()
        fleet.hosts["h1"].start()
        fleet.run(5.0)
        self.assertEqual({}, fleet.leaders)
        fleet.hosts["h2"].start()
        self.assertTrue(fleet.run_until(fleet.leader))
        self.finish(fleet)

    def test_planned_replacement_by_another_host(self) -> None:
        """Guard against a replaced leader that goes on leading."""
        fleet = start_fleet(3, spares=1)
        self.propose(fleet, b"x")
        old = fleet.require_leader()
        fleet.run(1.0)
        fleet.replace(old.name, "h3")
        self.assertTrue(
            fleet.run_until(
                lambda: fleet.leader() and old not in fleet.members(),
            ),
        )
        fleet.run(1.0)
        self.propose(fleet, b"y")
        self.finish(fleet)
        self.assertIn(fleet.hosts["h3"], fleet.members())

    def test_replacement_needs_an_empty_replica(self) -> None:
        """Guard against adding a host that never asked to join."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        for old, new in (("h0", "h1"), ("h0", "h9"), ("h9", "h9")):
            with self.subTest(old=old, new=new):
                actions = leader.replica.replace(leader.now, old, new, "t")
                expected = Rejected("t", ErrorCode.NOT_FOUND, leader.name)
                self.assertEqual((expected,), actions)

    def test_messages_survive_encoding(self) -> None:
        """Guard against types that the codec can't carry."""
        codec = Codec(MESSAGE_TYPES)
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        actions = leader.replica.propose(leader.now, b"x", "t")
        sent = [one.message for one in actions if isinstance(one, Send)]
        self.assertIn(Append, map(type, sent))
        for message in sent:
            self.assertEqual(message, codec.decode(codec.encode(message)))

    def test_hosts_with_other_settings_form_no_group(self) -> None:
        """Guard against two groups when settings list different hosts."""
        fleet = FakeFleet(1, 3, 1)
        fleet.loss = 0.3
        fleet.start()
        self.assertTrue(fleet.run_until(fleet.leader))
        fleet.run(3.0)
        groups = {host.replica.status().membership for host in fleet.live()}
        self.assertEqual({None, fleet.membership()}, groups)

    def vote_on(self, host: FakeHost) -> bool:
        """Return whether the host is a voter in its own log."""
        membership = host.replica.status().membership
        return membership is not None and host.identity in membership.voters

    def test_leader_that_removes_itself_is_cut_off(self) -> None:
        """Guard against a stall: only the old leader has all entries."""
        fleet = start_fleet(1, spares=1)
        old = fleet.require_leader()
        fleet.run(1.0)
        fleet.replace("h0", "h1")
        while self.vote_on(old):
            fleet.run(0.0005)
        fleet.propose(old, b"x")
        fleet.isolate(old.name)
        fleet.run(5.0)
        fleet.cut.clear()
        self.assertTrue(fleet.run_until(fleet.leader))
        self.assertTrue(fleet.run_until(fleet.has_converged))
        fleet.check_end()
