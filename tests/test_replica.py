"""Tests of the replica's rules, one failure each."""

import random
import unittest
from datetime import timedelta

from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam._replica_messages import (
    MESSAGE_TYPES,
    Actions,
    Append,
    AppendReply,
    Ballot,
    BallotReply,
    Entry,
    HardState,
    Header,
    Membership,
    Persist,
    ProposalCommitted,
    Rejected,
    ReplicaId,
    ReplicaMessage,
    RestoredState,
    Role,
    Send,
    SnapshotChunk,
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
        fleet.check_agreement()

    def test_commands_commit_on_fleets_of_each_size(self) -> None:
        """Guard against quorums that are wrong for a size."""
        for size in (1, 2, 3, 5, 7):
            with self.subTest(size=size):
                fleet = start_fleet(size)
                for number in range(30):
                    self.propose(fleet, b"c%d" % number)
                self.finish(fleet)

    def test_nothing_is_acknowledged_without_sync(self) -> None:
        """Guard against counting entries that are not synced."""
        for slow_followers in (2, 0):
            with self.subTest(slow_followers=slow_followers):
                fleet = start_fleet(3)
                leader = fleet.require_leader()
                followers = [
                    h for h in fleet.running_hosts() if h is not leader
                ]
                for host in (leader, *followers[:slow_followers]):
                    host.max_disk_delay = 1000
                if slow_followers < 2:
                    fleet.isolate(followers[0].name)
                fleet.propose(leader, b"x")
                fleet.run(1.0)
                self.assertEqual({}, fleet.acked)
                self.assertTrue(leader.replica.lease_valid(leader.now))

    def test_failed_disk_steps_down(self) -> None:
        """Guard against a false acknowledgement by a failing disk."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        actions = leader.replica.propose(leader.now, b"x", "t")
        self.assertNotIn(ProposalCommitted, map(type, actions))
        actions = leader.replica.disk_failed(leader.now)
        self.assertIn(Rejected("t", ErrorCode.OUTCOME_UNKNOWN, None), actions)
        self.assertIs(Role.FOLLOWER, leader.replica.role)
        self.assertEqual((), leader.replica.synced(leader.now, 1))
        rejected = leader.replica.propose(leader.now, b"y", "u")
        expected = (Rejected("u", ErrorCode.DISK_FAILED, None),)
        self.assertEqual(expected, rejected)
        self.assertTrue(
            fleet.run_until(lambda: fleet.leader() not in (None, leader))
        )

    def test_follower_names_the_leader(self) -> None:
        """Guard against forwarding proposals to the wrong host."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        follower = next(h for h in fleet.running_hosts() if h is not leader)
        actions = follower.replica.propose(follower.now, b"x", "t")
        expected = (Rejected("t", ErrorCode.NOT_LEADER, leader.name),)
        self.assertEqual(expected, actions)

    def test_confirm_on_every_replica(self) -> None:
        """Guard against followers that can't tell the read index."""
        fleet = start_fleet(3)
        self.propose(fleet, b"x")
        for host in fleet.running_hosts():
            fleet.confirm(host)
        self.assertTrue(fleet.run_until(lambda: fleet.confirmed_count == 3, 1))
        isolated = fleet.require_leader()
        fleet.isolate(isolated.name)
        fleet.confirm(isolated)
        fleet.run(5.0)
        self.assertEqual(3, fleet.confirmed_count)

    def test_return_from_a_long_partition_deposes_nobody(self) -> None:
        """Guard against a term that grew during a silent partition."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        cut = next(h for h in fleet.running_hosts() if h is not leader)
        fleet.isolate(cut.name)
        fleet.run(60.0)
        for number in range(30):
            self.propose(fleet, b"c%d" % number)
        term = leader.replica.term
        fleet.blocked_links.clear()
        fleet.run(3.0)
        self.assertIs(leader, fleet.leader())
        self.assertEqual(term, leader.replica.term)
        self.finish(fleet)

    def test_second_host_lost_after_a_replacement(self) -> None:
        """Guard against loss of what only the first two had accepted."""
        fleet = start_fleet(3)
        lost, other = (
            h for h in fleet.running_hosts() if h is not fleet.leader()
        )
        fleet.isolate(other.name)
        for number in range(20):
            self.propose(fleet, b"c%d" % number)
        fleet.blocked_links.clear()
        identity = lost.identity
        lost.wipe()
        lost.start()
        fleet.run(2.0)
        fleet.replace(lost.name, lost.name)
        self.assertTrue(fleet.run_until(lambda: lost in fleet.voting_hosts()))
        fleet.run(3.0)
        membership = fleet.require_leader().replica.status().membership
        assert membership is not None
        self.assertNotIn(identity, membership.voters)
        self.assertIsNone(membership.outgoing)
        fleet.require_leader().stop()
        self.assertTrue(fleet.run_until(fleet.leader))
        self.propose(fleet, b"later")
        fleet.blocked_links.clear()
        fleet.start()
        self.finish(fleet)

    def test_wiped_disk_does_not_vote(self) -> None:
        """Guard against a wiped voter completing a quorum that lost data."""
        fleet = start_fleet(3)
        leader = fleet.require_leader()
        wiped, other = (h for h in fleet.running_hosts() if h is not leader)
        fleet.isolate(other.name)
        self.propose(fleet, b"x")
        leader.stop()
        wiped.wipe()
        wiped.start()
        fleet.blocked_links.clear()
        fleet.run(10.0)
        self.assertIsNone(fleet.leader())
        leader.start()
        self.assertTrue(fleet.run_until(fleet.leader))
        fleet.run(1.0)
        for host in (leader, other):
            self.assertIn(b"x", [command for _, command in host.applied])

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
                lambda: fleet.leader() and old not in fleet.voting_hosts()
            )
        )
        fleet.run(1.0)
        self.propose(fleet, b"y")
        self.finish(fleet)
        self.assertIn(fleet.hosts["h3"], fleet.voting_hosts())

    def test_learner_that_is_lost_can_be_let_go(self) -> None:
        """Guard against a lost learner that blocks later replacements."""
        fleet = start_fleet(3, spares=1)
        fleet.run(1.0)
        leader, spare = fleet.require_leader(), fleet.hosts["h3"]
        fleet.isolate("h3")
        old = next(h.name for h in fleet.running_hosts() if h is not leader)
        fleet.replace(old, "h3")
        # Two uncommitted changes could have quorums that don't meet.
        actions = leader.replica.cancel_replacement(leader.now, "t")
        expected = Rejected("t", ErrorCode.REPLICA_CHANGE, leader.name)
        self.assertEqual((expected,), actions)
        fleet.run(1.0)
        membership = fleet.membership()
        assert membership is not None
        self.assertEqual(spare.identity, membership.incoming)
        leader.run(leader.replica.cancel_replacement(leader.now, b""))
        fleet.run(5.0)
        membership = fleet.membership()
        assert membership is not None
        self.assertEqual(
            (None, None), (membership.incoming, membership.outgoing)
        )
        self.assertEqual((), leader.replica.status().waiting)
        fleet.blocked_links.clear()
        fleet.run(3.0)
        fleet.replace("", "h3")
        self.assertTrue(
            fleet.run_until(lambda: len(fleet.voting_hosts()) == 4)
        )
        self.finish(fleet)

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
        fleet.loss_rate = 0.3
        fleet.start()
        self.assertTrue(fleet.run_until(fleet.leader))
        fleet.run(3.0)
        groups = {
            host.replica.status().membership for host in fleet.running_hosts()
        }
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
        fleet.blocked_links.clear()
        self.assertTrue(fleet.run_until(fleet.leader))
        self.assertTrue(fleet.run_until(fleet.has_converged))
        fleet.check_agreement()


class RuleTest(unittest.TestCase):
    """One replica that hand-made messages reach, for rare orders."""

    def setUp(self) -> None:
        voters = tuple(ReplicaId(f"h{number}", "a") for number in range(3))
        self.me, self.peer, _ = voters
        first = Entry(1, 0, b"", Membership(voters))
        entries = (first, Entry(2, 1, b"x"), Entry(3, 1, b"y"))
        hard = HardState(1, None, "group")
        self.replica = Replica(
            ReplicaConfig("h0", ("h0", "h1", "h2")),
            RestoredState("a", hard, None, entries),
            random.Random(1),
            EPOCH,
        )

    def header(self, term: int, group: str = "group") -> Header:
        return Header(group, self.peer, self.me, term)

    def append(self, prev_index: int, *entries: Entry) -> Append:
        """Return entries of term 2, after one of that term but for 1."""
        term = 2 if prev_index > 1 else 0
        return Append(self.header(2), prev_index, term, entries, 0, EPOCH)

    def receive(self, seconds: float, message: ReplicaMessage) -> Actions:
        """Deliver a message so long after the start."""
        now = EPOCH + timedelta(seconds=seconds)
        return self.replica.receive(now, "h1", message)

    def sync(self, actions: Actions) -> Actions:
        """Report the Persist among the actions as durable."""
        tokens = [one.token for one in actions if isinstance(one, Persist)]
        return self.replica.synced(EPOCH, *tokens)

    def replies(self, actions: Actions) -> list[ReplicaMessage]:
        return [one.message for one in actions if isinstance(one, Send)]

    def test_vote_is_promised_after_a_start_and_a_heartbeat(self) -> None:
        """Guard against a second leader inside the first one's lease."""
        ballot = Ballot(self.header(5), trial=False, last_index=3, last_term=1)
        for seconds in (0.1, 0.59, 1.0, 1.49):
            with self.subTest(seconds=seconds):
                (reply,) = self.replies(self.receive(seconds, ballot))
                assert isinstance(reply, BallotReply)
                self.assertFalse(reply.granted)
                self.assertEqual(1, self.replica.term)
                heard = 0.9 if seconds > 0.5 else 0.0
                self.receive(heard, Append(self.header(1), 3, 1, (), 1, EPOCH))
        self.receive(1.51, ballot)
        self.assertEqual(5, self.replica.term)

    def test_vote_is_sent_once_synced(self) -> None:
        """Guard against a vote that a crash lets be cast again."""
        ballot = Ballot(self.header(5), trial=False, last_index=3, last_term=1)
        actions = self.receive(0.7, ballot)
        self.assertEqual([], self.replies(actions))
        (reply,) = self.replies(self.sync(actions))
        assert isinstance(reply, BallotReply)
        self.assertTrue(reply.granted)

    def test_other_group_is_ignored(self) -> None:
        """Guard against counting voters of another first start."""
        ballot = Ballot(
            self.header(5, "other"), trial=False, last_index=3, last_term=1
        )
        self.assertEqual((), self.receive(0.7, ballot))
        self.assertEqual(1, self.replica.term)

    def test_older_entries_commit_with_one_of_the_term(self) -> None:
        """Guard against committing what a later leader may truncate."""
        self.replica.tick(EPOCH + timedelta(seconds=2))
        granted = BallotReply(self.header(1), trial=True, granted=True)
        actions = self.sync(self.receive(2, granted))
        self.assertEqual(2, len(self.replies(actions)))
        granted = BallotReply(self.header(2), trial=False, granted=True)
        self.sync(self.receive(2, granted))
        self.assertIs(Role.LEADER, self.replica.role)
        for match, committed in ((3, 0), (4, 4)):
            reply = AppendReply(
                self.header(2),
                accepted=True,
                verified=match,
                match=match,
                sent=EPOCH,
            )
            self.receive(2, reply)
            self.assertEqual(committed, self.replica.commit_index)

    def test_replaced_entries_are_acknowledged_after_sync(self) -> None:
        """Guard against vouching for entries by the ones they replaced."""
        entry = Entry(3, 2, b"z")
        voters = Membership((self.me, self.peer))
        cases = {
            "truncation": (self.append(1, Entry(2, 2, b"s"), entry),),
            "snapshot": (
                SnapshotChunk(self.header(2), 2, 2, voters, 0, 1, b"s", EPOCH),
                self.append(2, entry),
            ),
        }
        for name, received in cases.items():
            with self.subTest(name):
                self.setUp()
                self.sync(self.receive(0.1, self.append(1)))
                for message in received:
                    self.receive(0.2, message)
                (reply,) = self.replies(self.receive(0.3, self.append(3)))
                assert isinstance(reply, AppendReply)
                self.assertEqual((3, True), (reply.verified, reply.accepted))
                self.assertLess(reply.match, 2)
