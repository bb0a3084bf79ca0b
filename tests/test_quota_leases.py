"""Tests of the quota leases: frozen leaders, lost holders, messages."""

import unittest
from collections import Counter, deque
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial
from random import Random
from typing import Any, Final

import msgspec

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import Command, SetQuotaLeases
from sequoiaseam._control_messages import Relay, create_control_codec
from sequoiaseam._leadership import Leadership
from sequoiaseam._quota import (
    GRANT_TTL,
    RETRY_AFTER_MAX,
    Admit,
    QuotaAction,
    QuotaSpender,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_host import QuotaHooks, QuotaHost
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
from sequoiaseam._quota_leases import (
    CLAIM_TIME_MIN,
    END_WAIT,
    HOLDER_LEASE,
    LEASE,
    LEASE_RETRY_AFTER_MIN,
    LEASE_TAKEOVER_WAIT,
    REPORT_INTERVAL,
    SHARDS,
    ControlGroup,
    LeaderQuota,
    QuotaLeaseAllocator,
    QuotaLeaseHolder,
    find_shard,
)
from sequoiaseam._quota_messages import QuotaAsk, QuotaGrant, QuotaSettles
from sequoiaseam._state import FleetState
from sequoiaseam._tables import Tables, Workspace
from sequoiaseam.const import CLOCK_DRIFT_MAX, ELECTION_TIMEOUT_MIN
from tests.builders import build_member

MS: Final = timedelta(milliseconds=1)
STEP: Final = 5 * MS
SECOND: Final = timedelta(seconds=1)
HOSTS: Final = ("c0", "c1", "c2")
CODEC: Final = create_control_codec()
NODES: Final = 6
MEMBERS: Final = 60
WORKSPACES: Final = {
    f"w{number}": Workspace(f"w{number}", 50.0, 50) for number in range(20)
}
# Requests per step over all workspaces: 40 a second in each.
REQUESTS_PER_STEP: Final = 4


class Group:
    """Three control hosts and some nodes; messages take one step."""

    def __init__(
        self, *, quota_leases: bool = True, members: int = MEMBERS
    ) -> None:
        self.now = EPOCH
        self.rng = Random(1)
        self.quota_leases = quota_leases
        self.state = FleetState()
        self.state.tables = Tables(workspaces=WORKSPACES)
        self.state.members = {
            f"m{number}": build_member(f"m{number}")
            for number in range(members)
        }
        self.leader: tuple[str, int] | None = None
        self.leadership: dict[str, Leadership] = {}
        self.hosts = {name: self.create_host(name) for name in HOSTS}
        self.frozen: set[str] = set()
        self.mail: deque[Callable[[], None]] = deque()
        self.spenders = [QuotaSpender(f"n{n}", 1) for n in range(NODES)]
        self.attached = {f"n{n}": HOSTS[n % 3] for n in range(NODES)}
        self.request_workspaces: dict[int, str] = {}
        self.admitted: Counter[str] = Counter()
        self.requested: Counter[str] = Counter()
        self.relays_per_message: Counter[bytes] = Counter()

    def create_host(self, name: str) -> QuotaHost:
        def is_lease_valid(_: datetime) -> bool:
            return self.leader is not None and self.leader[0] == name

        host = QuotaHost(
            name,
            self.rng.getrandbits(60),
            CODEC,
            QuotaHooks(
                post_to_node=self.post_to_node,
                post_to_host=partial(self.post_to_host, name),
                get_state=lambda: self.state,
                get_leader=lambda: self.leader,
                get_leadership=lambda: self.leadership.get(name),
                lease_valid=is_lease_valid,
                list_voters=lambda: HOSTS,
            ),
        )
        for other in HOSTS:
            host.record_host(other, capable=True)
        return host

    def elect(self, name: str) -> None:
        term = 1 if self.leader is None else self.leader[1] + 1
        self.leader = (name, term)
        self.leadership = {
            name: Leadership(
                self.now,
                term,
                lambda: self.state,
                self.rng,
                self.commit,
                host=name,
                assigns_witnesses=False,
                quota_leases=self.quota_leases,
            )
        }

    def commit(self, command: Command) -> None:
        if isinstance(command, SetQuotaLeases):
            self.state.apply(self.state.index + 1, command)
            for leadership in self.leadership.values():
                leadership.update_tables(self.now)

    def post_to_host(self, sender: str, name: str, message: Any) -> None:
        if isinstance(message, Relay) and not message.answer:
            self.relays_per_message[message.payload] += 1
        self.mail.append(lambda: self.receive(sender, name, message))

    def receive(self, sender: str, name: str, message: Any) -> None:
        host = self.hosts[name]
        if name in self.frozen:
            return
        if isinstance(message, QuotaLeaseReport):
            host.receive_report(self.now, sender, message)
        elif isinstance(message, QuotaLeaseAnswer):
            host.receive_answer(self.now, message)
        elif message.answer:
            self.post_to_node(message.node, CODEC.decode(message.payload))
        else:
            payload = CODEC.decode(message.payload)
            host.receive_relay(self.now, sender, message, payload)

    def post_to_node(self, node: str, message: Any) -> None:
        spender = self.spenders[int(node[1:])]
        self.mail.append(
            lambda: self.perform(node, spender.receive(self.now, message))
        )

    def perform(self, node: str, actions: tuple[QuotaAction, ...]) -> None:
        name = self.attached[node]
        for action in actions:
            if isinstance(action, Admit):
                workspace = self.request_workspaces[action.request_id]
                self.admitted[workspace] += 1
            elif isinstance(action, SendAsk | SendSettle):
                message = (
                    action.ask
                    if isinstance(action, SendAsk)
                    else QuotaSettles((action.settle,))
                )
                if name not in self.frozen:
                    self.hosts[name].receive_from_node(self.now, node, message)

    def freeze(self, name: str) -> None:
        """Freeze a host; its nodes have connected to other ones."""
        self.frozen.add(name)
        others = [host for host in HOSTS if host not in self.frozen]
        for number, node in enumerate(self.attached):
            if self.attached[node] in self.frozen:
                self.attached[node] = others[number % len(others)]

    def run(self, duration: timedelta, *, loaded: bool = True) -> None:
        for _ in range(duration // STEP):
            self.now += STEP
            mail, self.mail = self.mail, deque()
            for deliver in mail:
                deliver()
            for name, host in self.hosts.items():
                if name not in self.frozen:
                    host.tick(self.now)
            for name, leadership in self.leadership.items():
                if name not in self.frozen:
                    leadership.tick(self.now)
            for number, spender in enumerate(self.spenders):
                self.perform(f"n{number}", spender.tick(self.now))
            for _ in range(REQUESTS_PER_STEP if loaded else 0):
                self.request()

    def request(self) -> None:
        request_id = len(self.request_workspaces)
        node = self.rng.randrange(NODES)
        workspace = f"w{request_id % len(WORKSPACES)}"
        self.request_workspaces[request_id] = workspace
        self.requested[workspace] += 1
        spender = self.spenders[node]
        actions = spender.request(self.now, workspace, request_id)
        self.perform(f"n{node}", actions)

    def measure(self, duration: timedelta) -> dict[str, float]:
        """Run loaded; return the admitted part of each workspace's load."""
        admitted, requested = self.admitted.copy(), self.requested.copy()
        self.run(duration)
        return {
            w: (self.admitted[w] - admitted[w])
            / (self.requested[w] - requested[w])
            for w in WORKSPACES
        }

    def count_held(self) -> dict[str, int]:
        return {name: h.count_held()[0] for name, h in self.hosts.items()}

    def find_holder(self, workspace: str) -> str | None:
        leadership = next(iter(self.leadership.values()))
        return leadership.find_quota_holder(self.now, workspace)


def start_group(*, quota_leases: bool = True, members: int = MEMBERS) -> Group:
    """Return a group that has run for 8 s, the last 2 s under load."""
    group = Group(quota_leases=quota_leases, members=members)
    group.elect("c0")
    group.run(6 * SECOND, loaded=False)
    group.run(2 * SECOND)
    return group


class GroupTest(unittest.TestCase):
    """Guards against quota that waits for an election or a lost holder."""

    def test_frozen_leader_with_and_without_leases(self) -> None:
        for quota_leases in (True, False):
            with self.subTest(quota_leases=quota_leases):
                group = start_group(quota_leases=quota_leases)
                group.freeze("c0")
                before = group.measure(SECOND)
                group.elect("c1")
                after = group.measure(SECOND)
                # The nodes' unspent tokens last for a part of a second.
                if quota_leases:
                    self.assertGreater(min(before.values()), 0.9)
                    self.assertGreater(min(after.values()), 0.9)
                else:
                    self.assertLess(max(before.values()), 0.5)
                    self.assertLess(max(after.values()), 0.5)

    def test_leader_holds_nothing_and_the_others_share(self) -> None:
        group = start_group()
        held = group.count_held()
        self.assertEqual(held, {"c0": 0, "c1": 32, "c2": 32})

    def test_lost_holder_is_replaced_after_its_lease(self) -> None:
        group = start_group()
        lost = {w for w in WORKSPACES if group.find_holder(w) == "c1"}
        self.assertTrue(lost)
        group.freeze("c1")
        during = group.measure(2 * SECOND)
        for workspace in WORKSPACES.keys() - lost:
            self.assertGreater(during[workspace], 0.9)
        group.run(LEASE + GRANT_TTL + REPORT_INTERVAL - 2 * SECOND)
        # Requests that waited have a claim to the first tokens.
        group.run(2 * SECOND)
        after = group.measure(2 * SECOND)
        self.assertGreater(min(after.values()), 0.9)

    def test_new_leader_hands_its_leases_over(self) -> None:
        group = start_group()
        group.elect("c1")
        group.run(20 * SECOND)
        held = group.count_held()
        self.assertEqual(held["c1"], 0)
        self.assertEqual(sum(held.values()), SHARDS)

    def test_leaving_holder_is_replaced_without_waiting(self) -> None:
        group = start_group()
        group.hosts["c1"].leave(group.now)
        group.freeze("c1")
        group.run(2 * SECOND)
        self.assertEqual(group.count_held()["c2"], SHARDS)

    def test_message_is_passed_on_once(self) -> None:
        group = start_group()
        group.relays_per_message.clear()
        group.freeze("c1")
        group.elect("c2")
        group.run(3 * SECOND)
        self.assertTrue(group.relays_per_message)
        self.assertLessEqual(max(group.relays_per_message.values()), 2)

    def test_small_deployments_are_left_to_the_leader(self) -> None:
        for members, in_force in ((49, False), (50, True)):
            with self.subTest(members=members):
                group = start_group(members=members)
                self.assertEqual(group.state.quota_leases, in_force)
                self.assertEqual(
                    sum(group.count_held().values()) > 0, in_force
                )

    def test_leases_end_before_the_leader_grants_again(self) -> None:
        group = start_group()
        group.state.members = dict(list(group.state.members.items())[:20])
        group.run(29 * SECOND, loaded=False)
        self.assertTrue(group.state.quota_leases)
        group.run(3 * SECOND, loaded=False)
        self.assertFalse(group.state.quota_leases)
        self.assertEqual(sum(group.count_held().values()), 0)
        group.run(2 * SECOND)
        self.assertGreater(min(group.measure(SECOND).values()), 0.9)


def build_ask(ask_id: int) -> QuotaAsk:
    """Return an ask for a token of one workspace."""
    return QuotaAsk("n0", 1, "w0", ask_id, 1, 1, 1, 0)


class MessageTest(unittest.TestCase):
    """Guards against messages that an earlier version can't read."""

    def test_leases_work_after_encoding_and_old_hellos_are_read(self) -> None:
        report = QuotaLeaseReport("c1", 1 << 60, 3, EPOCH, ((4, 3 << 32),), 7)
        answer = QuotaLeaseAnswer(
            1 << 60, 3, EPOCH, ((4, 3 << 32),), ("c1",), bytes(SHARDS)
        )
        for message in (report, answer):
            self.assertEqual(CODEC.decode(CODEC.encode(message)), message)
        fields = {"name": "c1", "domain": "north"}
        hello = CODEC.decode(msgspec.msgpack.encode(("PeerHello", fields)))
        self.assertFalse(hello.quota_leases)
        later = fields | {"quota_leases": True, "later": 1}
        hello = CODEC.decode(msgspec.msgpack.encode(("PeerHello", later)))
        self.assertTrue(hello.quota_leases)


class HolderTest(unittest.TestCase):
    """Guards against a holder that grants without a lease."""

    def setUp(self) -> None:
        self.shard = find_shard("w0")
        self.holder = QuotaLeaseHolder("c1", 7)
        self.holder.configure(EPOCH, 1, WORKSPACES)

    def report(self, now: datetime, term: int = 1) -> QuotaLeaseReport:
        report = self.holder.report(now, term, 1)
        assert report is not None
        return report

    def answer(
        self, report: QuotaLeaseReport, *numbers: int
    ) -> QuotaLeaseAnswer:
        leases = tuple((self.shard, number) for number in numbers)
        return QuotaLeaseAnswer(
            report.session, report.term, report.sent, leases, (), bytes(SHARDS)
        )

    def ask(self, now: datetime) -> QuotaGrant | None:
        return self.holder.ask(now, build_ask(int((now - EPOCH) / MS) + 1))

    def test_lease_counts_from_the_time_of_the_report(self) -> None:
        report = self.report(EPOCH)
        self.holder.receive(EPOCH + SECOND, self.answer(report, 5))
        self.assertIsNotNone(self.ask(EPOCH + HOLDER_LEASE - MS))
        self.assertIsNone(self.ask(EPOCH + HOLDER_LEASE))

    def test_lease_ends_in_time_by_the_slowest_clock(self) -> None:
        slow, fast = 1 - CLOCK_DRIFT_MAX, 1 + CLOCK_DRIFT_MAX
        # The leader's clock is fast while the holder's is slow.
        self.assertLess(HOLDER_LEASE / slow * fast, LEASE)
        # An earlier leader may act for this long after an election.
        self.assertGreaterEqual(CLAIM_TIME_MIN / fast, ELECTION_TIMEOUT_MIN)

    def test_answer_to_an_earlier_report_has_no_effect(self) -> None:
        first = self.report(EPOCH)
        self.report(EPOCH + SECOND)
        self.holder.receive(EPOCH + SECOND, self.answer(first, 5))
        self.assertIsNone(self.ask(EPOCH + SECOND))

    def test_answer_to_an_earlier_term_or_process_has_no_effect(self) -> None:
        first = self.report(EPOCH, term=1)
        self.report(EPOCH + MS, term=2)
        self.holder.receive(EPOCH + 2 * MS, self.answer(first, 5))
        self.assertIsNone(self.ask(EPOCH + 2 * MS))
        other = QuotaLeaseHolder("c1", 8)
        report = other.report(EPOCH, 1, 1)
        assert report is not None
        self.holder.receive(EPOCH + 3 * MS, self.answer(report, 5))
        self.assertIsNone(self.ask(EPOCH + 3 * MS))

    def test_lease_ends_when_the_answer_lacks_it(self) -> None:
        self.holder.receive(EPOCH, self.answer(self.report(EPOCH), 5))
        self.assertIsNotNone(self.ask(EPOCH))
        report = self.report(EPOCH + SECOND)
        self.holder.receive(EPOCH + SECOND, self.answer(report))
        self.assertIsNone(self.ask(EPOCH + SECOND))

    def test_reported_lease_that_has_expired_is_not_started(self) -> None:
        self.holder.receive(EPOCH, self.answer(self.report(EPOCH), 5))
        report = self.report(EPOCH + HOLDER_LEASE - MS)
        self.assertEqual(report.held, ((self.shard, 5),))
        late = EPOCH + HOLDER_LEASE + 100 * MS
        self.holder.receive(late, self.answer(report, 5))
        self.assertIsNone(self.ask(late))

    def test_other_number_starts_no_lease(self) -> None:
        self.holder.receive(EPOCH, self.answer(self.report(EPOCH), 5))
        report = self.report(EPOCH + SECOND)
        self.holder.receive(EPOCH + SECOND, self.answer(report, 6))
        self.assertIsNone(self.ask(EPOCH + SECOND))

    def test_unanswered_report_is_not_repeated_at_once(self) -> None:
        self.report(EPOCH)
        self.assertIsNone(self.holder.report(EPOCH + REPORT_INTERVAL, 1, 1))
        # A new leader gets a report at once.
        self.report(EPOCH + REPORT_INTERVAL, term=2)

    def test_lease_that_ends_soon_is_not_reported_to_a_new_leader(
        self,
    ) -> None:
        self.holder.receive(EPOCH, self.answer(self.report(EPOCH), 5))
        report = self.report(EPOCH + HOLDER_LEASE - CLAIM_TIME_MIN - MS, 2)
        self.assertEqual(report.held, ((self.shard, 5),))
        report = self.report(EPOCH + HOLDER_LEASE - CLAIM_TIME_MIN, 3)
        self.assertEqual(report.held, ())
        self.assertIsNone(self.ask(report.sent))

    def test_older_tables_are_ignored(self) -> None:
        self.holder.configure(EPOCH, 0, {})
        self.holder.receive(EPOCH, self.answer(self.report(EPOCH), 5))
        self.assertEqual(self.holder.held, (self.shard,))
        self.assertGreater(self.holder.count_workspaces(), 0)


class AllocatorTest(unittest.TestCase):
    """Guards against a shard that is leased while another may hold it."""

    def setUp(self) -> None:
        self.allocator = QuotaLeaseAllocator(
            EPOCH, 3, "c0", EPOCH + LEASE_TAKEOVER_WAIT
        )
        self.sent = 0

    def receive(
        self,
        now: datetime,
        host: str,
        *held: tuple[int, int],
        session: int = 1,
        term: int = 3,
        index: int = 9,
        sent: datetime | None = None,
    ) -> dict[int, int] | None:
        self.sent += 1
        report = QuotaLeaseReport(
            host, session, term, sent or EPOCH + self.sent * MS, held, index
        )
        answer = self.allocator.receive(now, report, HOSTS, 9)
        return None if answer is None else dict(answer.leases)

    def test_confirms_at_once_and_gives_nothing_before_the_wait(self) -> None:
        self.assertEqual(self.receive(EPOCH, "c1", (4, 77)), {4: 77})
        last = EPOCH + LEASE_TAKEOVER_WAIT - MS
        # The confirmed lease has ended before the wait.
        self.assertEqual((self.receive(last, "c2") or {}).keys(), {4})
        given = self.receive(EPOCH + LEASE_TAKEOVER_WAIT, "c2", (4, 77)) or {}
        self.assertGreater(len(given), 1)

    def test_second_claim_is_denied(self) -> None:
        self.receive(EPOCH, "c1", (4, 77))
        self.assertEqual(self.receive(EPOCH, "c2", (4, 78)), {})

    def test_report_of_another_term_or_an_older_one_is_ignored(self) -> None:
        self.assertIsNone(self.receive(EPOCH, "c1", (4, 77), term=2))
        self.receive(EPOCH, "c1", (4, 77), sent=EPOCH + SECOND)
        self.assertIsNone(self.receive(EPOCH, "c1", sent=EPOCH))

    def test_new_process_does_not_end_the_former_ones_lease(self) -> None:
        start = EPOCH + LEASE_TAKEOVER_WAIT
        leased = self.receive(start, "c1")
        assert leased
        end = start + LEASE + GRANT_TTL
        for now in (start + SECOND, end - MS):
            given = self.receive(now, "c1", session=2) or {}
            self.assertFalse(given.keys() & leased.keys())
        given = self.receive(end, "c1", session=2) or {}
        self.assertTrue(given.keys() & leased.keys())

    def test_returned_shard_waits_for_its_grants(self) -> None:
        start = EPOCH + LEASE_TAKEOVER_WAIT
        leased = self.receive(start, "c1")
        assert leased
        for shard in range(SHARDS):
            self.receive(start, "c2", (shard, 1))
        self.receive(start + MS, "c1")
        early = start + GRANT_TTL
        self.assertFalse(
            (self.receive(early, "c2") or {}).keys() & leased.keys()
        )
        self.assertTrue(
            (self.receive(early + MS, "c1") or {}).keys() & leased.keys()
        )

    def test_host_that_lags_behind_the_tables_gets_nothing(self) -> None:
        start = EPOCH + LEASE_TAKEOVER_WAIT
        self.assertEqual(self.receive(start, "c1", index=8), {})


class LeaderQuotaTest(unittest.TestCase):
    """Guards against leases that start where they aren't allowed."""

    def test_leases_need_hosts_versions_and_the_setting(self) -> None:
        all_hosts = frozenset(HOSTS)
        cases = (
            ("all", HOSTS, all_hosts, True, True),
            ("two hosts", HOSTS[:2], all_hosts, True, None),
            ("older version", HOSTS, all_hosts - {"c2"}, True, None),
            ("switched off", HOSTS, all_hosts, False, None),
        )
        for name, voters, capable, enabled, expected in cases:
            with self.subTest(name=name):
                quota = LeaderQuota(
                    EPOCH, 1, "c0", WORKSPACES, enabled=enabled
                )
                group = ControlGroup(voters, capable)
                quota.plan(EPOCH, MEMBERS, group)
                planned = quota.plan(EPOCH + 10 * SECOND, MEMBERS, group)
                self.assertEqual(planned, expected)

    def test_state_set_by_an_earlier_leader_counts(self) -> None:
        # The command may have been committed long before it is applied
        # here, so an earlier leader may have leased everything.
        quota = LeaderQuota(EPOCH, 2, "c0", WORKSPACES, enabled=True)
        quota.update(EPOCH + SECOND, WORKSPACES, index=5, in_force=True)
        report = QuotaLeaseReport("c1", 1, 2, EPOCH, (), 5)
        early = EPOCH + LEASE_TAKEOVER_WAIT - MS
        answer = quota.receive_report(early, report, HOSTS)
        assert answer is not None
        self.assertEqual(answer.leases, ())

    def test_leases_wait_for_the_grants_of_the_leader(self) -> None:
        quota = LeaderQuota(EPOCH, 2, "c0", WORKSPACES, enabled=True)
        start = EPOCH + 60 * SECOND
        quota.update(start, WORKSPACES, index=5, in_force=True)
        for now, leased in (
            (start + GRANT_TTL - MS, False),
            (start + GRANT_TTL, True),
        ):
            report = QuotaLeaseReport("c1", 1, 2, now, (), 5)
            answer = quota.receive_report(now, report, HOSTS)
            assert answer is not None
            self.assertEqual(bool(answer.leases), leased)

    def test_leader_grants_until_leases_can_start(self) -> None:
        quota = LeaderQuota(EPOCH, 1, "c0", WORKSPACES, enabled=True)
        group = ControlGroup(HOSTS, frozenset(HOSTS))
        last = EPOCH + LEASE_TAKEOVER_WAIT - MS
        for now in (EPOCH, last):
            self.assertIsNone(quota.plan(now, MEMBERS, group))
        self.assertTrue(quota.plan(last + MS, MEMBERS, group))

    def test_state_is_reset_only_after_the_last_lease(self) -> None:
        quota = LeaderQuota(EPOCH, 2, "c0", WORKSPACES, in_force=True)
        group = ControlGroup(HOSTS, frozenset(HOSTS))
        start = EPOCH + 60 * SECOND
        self.assertIsNone(quota.plan(start, MEMBERS, group))
        now = start + END_WAIT
        report = QuotaLeaseReport("c1", 1, 2, now, (), 5)
        answer = quota.receive_report(now, report, HOSTS)
        assert answer is not None
        self.assertTrue(answer.leases)
        end = now + LEASE + GRANT_TTL
        for time in (now, end - MS):
            self.assertIsNone(quota.plan(time, MEMBERS, group))
        report = QuotaLeaseReport("c1", 1, 2, end, answer.leases, 5)
        answer = quota.receive_report(end, report, HOSTS)
        assert answer is not None
        self.assertEqual(answer.leases, ())
        planned = quota.plan(end, MEMBERS, group)
        self.assertIsNotNone(planned)
        self.assertFalse(planned)

    def test_leader_grants_nothing_while_leases_are_in_force(self) -> None:
        quota = LeaderQuota(EPOCH, 2, "c0", WORKSPACES, in_force=True)
        grant = quota.ask(EPOCH + 60 * SECOND, build_ask(1))
        self.assertEqual((grant.tokens, grant.opening), (0, True))
        self.assertEqual(grant.hold, 1)
        for wait, retry_after in (
            (SECOND, RETRY_AFTER_MAX),
            (200 * MS, 200 * MS),
            (-SECOND, LEASE_RETRY_AFTER_MIN),
        ):
            now = EPOCH + LEASE_TAKEOVER_WAIT - wait
            answer = quota.ask(now, build_ask(1))
            self.assertEqual(answer.retry_after, retry_after)


if __name__ == "__main__":
    unittest.main()
