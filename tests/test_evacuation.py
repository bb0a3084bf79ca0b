"""Tests of the evacuation of a failure domain, without a network."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any
from unittest import mock

import msgspec

from sequoiaseam import _state
from sequoiaseam._announcements import ServerReport
from sequoiaseam._balancer import RAMP_DURATION, Balancer, CallResult
from sequoiaseam._clock import EPOCH, ManualClock
from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    COMMAND_TYPES,
    EditTables,
    Member,
    MemberState,
    Restore,
    SetEvacuation,
)
from sequoiaseam._crash_guard import CrashGuard
from sequoiaseam._crash_reports import CrashReporter
from sequoiaseam._evacuation import count_servers, find_emptied_pools
from sequoiaseam._feed import (
    FEED_TYPES,
    FeedDelta,
    FeedMessage,
    FeedSnapshot,
    FeedSource,
    NodeView,
)
from sequoiaseam._host_call_executor import HostCallExecutor
from sequoiaseam._http_client import BackendResponse, PendingRequest
from sequoiaseam._ingress import REROUTABLE_CODES
from sequoiaseam._memory import DEFAULT_MEMORY_LIMIT_BYTES, MemoryBudget
from sequoiaseam._mesh_frames import RunAnswer, RunCall, RunRefusal, RunResult
from sequoiaseam._operator_messages import FollowKind
from sequoiaseam._operator_requests import describe_command
from sequoiaseam._pressure import PressureMap
from sequoiaseam._state import (
    DOMAIN_LENGTH_MAX,
    EditResult,
    EditStatus,
    FleetState,
)
from sequoiaseam._tables import AS_ANNOUNCED, Importance, Pool
from sequoiaseam.errors import ErrorCode
from tests.builders import build_member, build_tables
from tests.hosts import HEADER_NAMES
from tests.seeds import iterate_seeds

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def build_order(
    edit_id: str, domain: str = "domain-2", *, evacuated: bool = True
) -> SetEvacuation:
    """Return an order."""
    return SetEvacuation(edit_id, "ana", domain, evacuated)


def build_state() -> FleetState:
    """Return a state at revision 1."""
    state = FleetState()
    state.apply(1, EditTables("e1", "ana", 0, build_tables()))
    return state


class StateTest(unittest.TestCase):
    """Guards against orders that are lost, or come back after their end."""

    def setUp(self) -> None:
        self.state = build_state()

    def apply(self, command: SetEvacuation | EditTables) -> EditResult:
        result = self.state.apply(self.state.index + 1, command)
        assert result is not None
        return result

    def test_domains_are_sorted_and_leave_the_revision(self) -> None:
        for number, domain in enumerate(("east", "west", "central")):
            result = self.apply(build_order(f"s{number}", domain))
            self.assertIs(result.status, EditStatus.ACCEPTED)
            self.assertEqual(result.revision, 1)
        self.assertEqual(
            self.state.evacuated_domains, ("central", "east", "west")
        )
        self.apply(build_order("x", "east", evacuated=False))
        self.assertEqual(self.state.evacuated_domains, ("central", "west"))
        # A document that is based on the revision before is still accepted.
        edit = EditTables("e2", "ana", 1, build_tables())
        self.assertIs(self.apply(edit).status, EditStatus.ACCEPTED)
        self.assertEqual(self.state.evacuated_domains, ("central", "west"))

    def test_setting_the_current_state_again_changes_nothing(self) -> None:
        for evacuated, domains in ((True, ("domain-2",)), (False, ())):
            first = self.apply(
                build_order(f"a{evacuated}", evacuated=evacuated)
            )
            again = self.apply(
                build_order(f"b{evacuated}", evacuated=evacuated)
            )
            self.assertEqual(
                (again.status, again.revision, again.message),
                (first.status, first.revision, first.message),
            )
            self.assertEqual(self.state.evacuated_domains, domains)

    def test_a_late_resend_does_not_bring_an_order_back(self) -> None:
        order = build_order("a")
        first = self.apply(order)
        self.apply(build_order("b", evacuated=False))
        self.assertEqual(self.apply(order), first)
        self.assertEqual(self.state.evacuated_domains, ())

    def test_names_and_their_number_are_bounded(self) -> None:
        for number, domain in enumerate(("", "d" * (DOMAIN_LENGTH_MAX + 1))):
            for evacuated in (True, False):
                order = build_order(
                    f"{number}{evacuated}", domain, evacuated=evacuated
                )
                self.assertIs(self.apply(order).status, EditStatus.INVALID)
        with mock.patch.object(_state, "EVACUATED_DOMAINS_MAX", 2):
            statuses = [
                self.apply(build_order(f"n{n}", f"d{n % 3}")).status
                for n in range(4)
            ]
        self.assertEqual(
            statuses,
            [
                EditStatus.ACCEPTED,
                EditStatus.ACCEPTED,
                EditStatus.INVALID,
                EditStatus.ACCEPTED,
            ],
        )
        self.assertEqual(self.state.evacuated_domains, ("d0", "d1"))

    def test_snapshot_holds_the_domains_and_replay_adds_nothing(self) -> None:
        order = build_order("a")
        result = self.apply(order)
        self.apply(build_order("b", "domain-3"))
        loaded = FleetState.load(self.state.dump())
        self.assertEqual(
            loaded.evacuated_domains, self.state.evacuated_domains
        )
        # Entries before the snapshot are replayed after a restart.
        self.assertIsNone(loaded.apply(2, build_order("old", evacuated=False)))
        self.assertEqual(
            loaded.evacuated_domains, self.state.evacuated_domains
        )
        self.assertEqual(loaded.find_result("a"), result)

    def test_replay_of_the_log_gives_the_same_state(self) -> None:
        codec = Codec(COMMAND_TYPES)
        commands = [
            EditTables("e1", "ana", 0, build_tables()),
            build_order("a", "east"),
            build_order("b", "west"),
            build_order("c", "east", evacuated=False),
            build_order("a", "east"),
        ]
        replayed = FleetState()
        for index, command in enumerate(commands, start=1):
            replayed.apply(index, codec.decode(codec.encode(command)))
        self.assertEqual(replayed.evacuated_domains, ("west",))

    def test_snapshot_of_the_older_format_loads_as_empty(self) -> None:
        version, snapshot = msgspec.msgpack.decode(self.state.dump())
        del snapshot["evacuated_domains"]
        older = msgspec.msgpack.encode((version, snapshot))
        loaded = FleetState.load(older)
        self.assertEqual(loaded.evacuated_domains, ())
        self.assertEqual(loaded.revision, 1)

    def test_restore_takes_over_the_domains_of_the_backup(self) -> None:
        self.apply(build_order("a"))
        backup = FleetState.load(self.state.dump())
        restored = FleetState()
        restored.apply(1, build_order("n", "domain-1"))
        restored.apply(
            2,
            Restore(
                "r",
                "ana",
                backup.revision,
                backup.tables,
                (),
                backup.evacuated_domains,
            ),
        )
        # An order that the new group has acknowledged isn't lost either.
        self.assertEqual(restored.evacuated_domains, ("domain-1", "domain-2"))

    def test_followers_are_told_of_an_order(self) -> None:
        order = build_order("a")
        self.apply(order)
        event = describe_command(self.state, order)
        assert event is not None
        self.assertIs(event.kind, FollowKind.EVACUATION)
        self.assertEqual(event.summary, "domain-2 evacuated")


class FeedTest(unittest.TestCase):
    """Guards against nodes that miss an order or its withdrawal."""

    def setUp(self) -> None:
        self.state = build_state()
        self.source = FeedSource(self.state)
        self.view = NodeView()

    def subscribe(self, view: NodeView) -> object:
        message = self.source.subscribe(
            "n",
            view.index,
            None,
            has_pool_members=view.has_pool_members,
        )
        return self.deliver(view, message)

    def deliver(self, view: NodeView, message: object) -> object:
        """Apply a message as it is decoded by the node."""
        if message is None:
            return None
        codec = Codec(FEED_TYPES)
        decoded = codec.decode(codec.encode(message))
        self.assertTrue(view.apply(EPOCH, decoded))
        return decoded

    def publish(self, command: SetEvacuation | EditTables) -> list[object]:
        index = self.state.index + 1
        self.state.apply(index, command)
        return [m for _, m in self.source.publish(index, command)]

    def test_a_connected_node_gets_each_change(self) -> None:
        self.subscribe(self.view)
        for order, expected in (
            (build_order("a"), ("domain-2",)),
            (build_order("b", "domain-1"), ("domain-1", "domain-2")),
            (build_order("c", evacuated=False), ("domain-1",)),
        ):
            (message,) = self.publish(order)
            self.deliver(self.view, message)
            self.assertEqual(self.view.evacuated_domains, expected)

    def test_other_changes_state_no_domains(self) -> None:
        self.subscribe(self.view)
        self.deliver(self.view, self.publish(build_order("a"))[0])
        for command in (
            EditTables("e2", "ana", 1, build_tables()),
            build_order("again"),
        ):
            (message,) = self.publish(command)
            assert isinstance(message, FeedDelta)
            self.assertIsNone(message.evacuated)
            self.deliver(self.view, message)
            self.assertEqual(self.view.evacuated_domains, ("domain-2",))

    def test_a_late_node_gets_the_domains_with_its_first_snapshot(
        self,
    ) -> None:
        self.publish(build_order("a"))
        message = self.subscribe(self.view)
        assert isinstance(message, FeedSnapshot)
        self.assertEqual(message.evacuated, ("domain-2",))
        self.assertEqual(self.view.evacuated_domains, ("domain-2",))

    def test_a_node_that_reconnects_gets_what_it_missed(self) -> None:
        self.subscribe(self.view)
        self.source.unsubscribe("n")
        self.publish(build_order("a"))
        self.publish(build_order("b", "domain-1"))
        self.publish(build_order("c", evacuated=False))
        message = self.subscribe(self.view)
        self.assertIsInstance(message, FeedDelta)
        self.assertEqual(self.view.evacuated_domains, ("domain-1",))
        self.source.unsubscribe("n")
        self.publish(build_order("d", "domain-1", evacuated=False))
        self.subscribe(self.view)
        self.assertEqual(self.view.evacuated_domains, ())

    def test_a_host_with_a_loaded_snapshot_sends_the_domains(self) -> None:
        self.subscribe(self.view)
        self.source.unsubscribe("n")
        self.publish(build_order("a"))
        self.source.replace_state(FleetState.load(self.state.dump()))
        message = self.subscribe(self.view)
        self.assertIsInstance(message, FeedSnapshot)
        self.assertEqual(self.view.evacuated_domains, ("domain-2",))

    def test_messages_of_older_hosts_mean_none(self) -> None:
        decoder = msgspec.msgpack.Decoder(FeedSnapshot)
        message = self.source.subscribe("n", 0, None, has_pool_members=False)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        del fields["evacuated"]
        decoded = decoder.decode(msgspec.msgpack.encode(fields))
        self.assertEqual(decoded.evacuated, ())


class FeedFuzzTest(unittest.TestCase):
    """Guards against views that differ from the log after lost messages."""

    def test_views_match_the_log(self) -> None:
        for seed in iterate_seeds(100):
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        """Order at random; a node loses and repeats messages, and resyncs."""
        state = build_state()
        source = FeedSource(state)
        view = NodeView()
        sent: list[FeedMessage] = []

        def subscribe() -> None:
            message = source.subscribe(
                "n", view.index, None, has_pool_members=view.has_pool_members
            )
            if message is not None:
                view.apply(EPOCH, message)

        for number in range(60):
            command = build_order(
                f"e{rng.randrange(50)}",
                f"d{rng.randrange(4)}",
                evacuated=rng.random() < 0.5,
            )
            index = state.index + 1
            state.apply(index, command)
            for _, message in source.publish(index, command):
                sent.append(message)
                if rng.random() < 0.7:
                    view.apply(EPOCH, message)
            if sent and rng.random() < 0.2:
                view.apply(EPOCH, rng.choice(sent))
            if rng.random() < 0.2:
                subscribe()
            if rng.random() < 0.05:
                state = FleetState.load(state.dump())
                source.replace_state(state)
            if number % 20 == 19:
                subscribe()
                self.assertEqual(view.index, state.index)
                self.assertEqual(
                    view.evacuated_domains, state.evacuated_domains
                )


class BalancerFuzzTest(unittest.TestCase):
    """Guards against a choice of an evacuated member in any state."""

    def test_evacuated_members_are_never_chosen(self) -> None:
        for seed in iterate_seeds(100):
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        balancer = Balancer("m0", "d0", "south", rng)
        members = {
            f"m{n}": build_member(f"m{n}", domain=f"d{n % 3}")
            for n in range(9)
        }
        evacuated: frozenset[str] = frozenset()
        now = EPOCH
        for _ in range(400):
            now += rng.choice((1, 10, 500)) * MS
            if rng.random() < 0.05:
                restarted = rng.choice(list(members))
                member = members[restarted]
                members[restarted] = replace(
                    member, incarnation=member.incarnation + 1
                )
            if rng.random() < 0.1:
                evacuated = frozenset(
                    d for d in ("d0", "d1", "d2") if rng.random() < 0.3
                )
            balancer.update(now, members, evacuated)
            excluded = frozenset(rng.sample(list(members), 2))
            name = balancer.choose(now, "history", excluded)
            if name is None:
                # At most half of the members that are left are ejected.
                left = [
                    m for m in members.values() if m.domain not in evacuated
                ]
                usable = [m for m in left if m.name not in excluded]
                self.assertLessEqual(2 * len(usable), len(left))
                continue
            self.assertNotIn(members[name].domain, evacuated)
            balancer.start(now, name)
            balancer.record_load(now, name, rng.random() * 2)
            balancer.finish(now, name, rng.choice(list(CallResult)), 10 * MS)


class BalancerTest(unittest.TestCase):
    """Guards against calls to an evacuated server, or a surge at its end."""

    def setUp(self) -> None:
        self.rng = random.Random(5)
        self.balancer = Balancer("near-0", "domain-1", "south", self.rng)
        self.members: dict[str, Member] = {
            f"{prefix}-{n}": build_member(f"{prefix}-{n}", domain=domain)
            for prefix, domain in (("near", "domain-1"), ("far", "domain-2"))
            for n in range(3)
        }
        self.balancer.update(EPOCH, self.members)
        self.now = EPOCH + 2 * RAMP_DURATION

    def evacuate(self, *domains: str) -> None:
        self.balancer.update(self.now, self.members, domains)

    def call(
        self,
        result: CallResult = CallResult.OK,
        exclude: frozenset[str] = frozenset(),
    ) -> str | None:
        """Make one call; return the name of its member, None without one."""
        name = self.balancer.choose(self.now, "history", exclude)
        if name is not None:
            self.balancer.start(self.now, name)
            self.now += 10 * MS
            self.balancer.finish(self.now, name, result, 10 * MS)
            self.balancer.record_load(self.now, name, 0.1)
        return name

    def count_domains(self, calls: int) -> Counter[str]:
        """Make calls and count them by the domains of their members."""
        names = [self.call() for _ in range(calls)]
        return Counter(self.members[name].domain for name in names if name)

    def test_first_calls_of_the_own_domain_go_elsewhere(self) -> None:
        """Calls stay in a domain of low load, where this node's server is."""
        self.count_domains(100)
        self.assertGreater(self.count_domains(100)["domain-1"], 90)
        self.evacuate("domain-1")
        self.assertEqual(self.count_domains(200), {"domain-2": 200})

    def test_retries_do_not_fall_back_on_an_evacuated_member(self) -> None:
        self.evacuate("domain-2")
        tried = frozenset(("near-0", "near-1"))
        self.assertEqual(self.call(exclude=tried), "near-2")
        self.assertIsNone(self.call(exclude=tried | {"near-2"}))

    def test_an_ejected_member_is_not_probed(self) -> None:
        ejected = {"far-1", "far-2"}
        for name in ejected:
            others = frozenset(self.members) - {name}
            for _ in range(3):
                self.call(CallResult.FAILED, others)
        self.assertIsNone(
            self.balancer.choose(
                self.now, "history", frozenset(self.members) - ejected
            )
        )
        self.now += 60 * SECOND
        self.evacuate("domain-2")
        self.assertEqual(self.count_domains(200), {"domain-1": 200})
        self.evacuate()
        # The probe that was due comes first after the withdrawal.
        self.assertIn(self.call(), ejected)

    def test_no_member_is_left_if_all_domains_are_evacuated(self) -> None:
        self.evacuate("domain-1", "domain-2")
        self.assertIsNone(self.call())

    def test_a_member_that_joins_or_restarts_meanwhile_is_evacuated(
        self,
    ) -> None:
        self.members["far-3"] = build_member("far-3", domain="domain-2")
        self.members["far-0"] = replace(self.members["far-0"], incarnation=2)
        self.evacuate("domain-2")
        self.assertEqual(self.count_domains(200), {"domain-1": 200})

    def test_members_ramp_up_after_the_withdrawal(self) -> None:
        def count_concurrent(calls: int) -> int:
            """Return the calls to the other domain, six at a time."""
            far_count = 0
            in_flight: list[str] = []
            for _ in range(calls):
                name = self.balancer.choose(self.now, "history")
                assert name is not None
                far_count += self.members[name].domain == "domain-2"
                self.balancer.start(self.now, name)
                in_flight.append(name)
                self.now += 2 * MS
                if len(in_flight) == 6:
                    done = in_flight.pop(0)
                    self.balancer.finish(
                        self.now, done, CallResult.OK, 10 * MS
                    )
            for done in in_flight:
                self.balancer.finish(self.now, done, CallResult.OK, 10 * MS)
            return far_count

        before = count_concurrent(200)
        self.evacuate("domain-2")
        self.assertEqual(count_concurrent(200), 0)
        self.now += 60 * SECOND
        self.evacuate()
        during_ramp = count_concurrent(200)
        self.now += RAMP_DURATION
        self.assertLess(during_ramp, before / 2)
        self.assertGreater(count_concurrent(200), before / 2)

    def test_calls_of_the_own_domain_come_back_with_the_ramp(self) -> None:
        """Calls stay in a domain of low load, but not in one that is cold."""
        self.count_domains(200)
        self.evacuate("domain-1")
        self.count_domains(200)
        self.evacuate()
        self.assertLess(self.count_domains(50)["domain-1"], 25)
        self.now += RAMP_DURATION
        self.call()
        self.assertGreater(self.count_domains(100)["domain-1"], 90)

    def test_the_ramp_starts_at_the_withdrawal_only_once(self) -> None:
        self.evacuate("domain-2")
        self.evacuate()
        peer = self.balancer._peers["far-0"]
        started_at = peer.ramp_started_at
        self.assertEqual(started_at, self.now)
        self.now += SECOND
        self.evacuate()
        self.assertEqual(peer.ramp_started_at, started_at)
        near = self.balancer._peers["near-0"]
        self.assertEqual(near.ramp_started_at, EPOCH)

    def test_half_of_the_members_that_are_left_stay_in_use(self) -> None:
        """Evacuated members don't count as ones that could be called."""
        self.evacuate("domain-2")
        for name in ("near-0", "near-1", "near-2"):
            others = frozenset(self.members) - {name}
            for _ in range(3):
                self.call(CallResult.FAILED, others)
        ejected = [
            name
            for name, peer in self.balancer._peers.items()
            if peer.ejected_until is not None
        ]
        self.assertEqual(len(ejected), 1)

    def test_ejections_end_if_an_evacuation_leaves_too_few(self) -> None:
        for name in ("near-0", "near-1", "near-2"):
            others = frozenset(self.members) - {name}
            for _ in range(3):
                self.call(CallResult.FAILED, others)
        self.evacuate("domain-2")
        self.assertGreaterEqual(len({self.call() for _ in range(50)}), 2)

    def test_without_an_order_choices_are_as_before(self) -> None:
        """The same seed gives the same choices."""
        other = Balancer("near-0", "domain-1", "south", random.Random(5))
        other.update(EPOCH, self.members, ())
        for _ in range(200):
            self.assertEqual(
                self.balancer.choose(self.now, "history"),
                other.choose(self.now, "history"),
            )


class FakeConnections:
    """The connections to a backend server, which send nothing."""

    def __init__(self) -> None:
        self.sent: list[PendingRequest] = []
        self.opens = True

    def send(self, request: PendingRequest) -> None:
        """Record a request, and that it is on a connection."""
        self.sent.append(request)
        if self.opens:
            request.connection = mock.Mock()

    def sweep(self, now: object) -> None:
        """Have nothing to sweep."""

    def close(self) -> None:
        """Have nothing to close."""


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that run, or are lost, in an evacuated domain."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        rng = Random(1)
        reporter = CrashReporter(NodeView(), lambda _message: True)
        budget = MemoryBudget(DEFAULT_MEMORY_LIMIT_BYTES)
        self.executor = HostCallExecutor(
            self.clock,
            rng,
            HEADER_NAMES,
            PressureMap(rng),
            CrashGuard(self.clock, rng, reporter),
            budget,
        )
        self.addAsyncCleanup(self.executor.close)
        self.executor._get_pool = lambda name: Pool(
            name, slots=AS_ANNOUNCED, queue=100, warmup=timedelta(0)
        )
        self.executor.accept_report(
            self.clock.now(),
            ServerReport("server", "store", "127.0.0.1", 1, 1, 1, 2),
        )
        self.connections = FakeConnections()
        assert self.executor._session is not None
        session: Any = self.executor._session
        session.connections = self.connections
        self.results: dict[int, RunResult] = {}

    def run_call(self, call_id: int) -> None:
        call = RunCall(
            *(call_id, "read", "store", "GET", "/read/1", b"", b""),
            *(str(call_id), "coop", "coop", Importance.NORMAL, 1.0),
            *(1000, 5000, False, True, False),
        )

        def record(result: RunResult) -> None:
            self.assertNotIn(call_id, self.results)
            self.results[call_id] = result

        self.executor.run(call, record)

    def set_evacuated(self, *, evacuated: bool) -> None:
        self.executor.set_evacuated(self.clock.now(), evacuated=evacuated)

    def assert_refused(self, call_id: int) -> None:
        result = self.results[call_id]
        assert isinstance(result, RunRefusal)
        self.assertIs(result.code, ErrorCode.EVACUATED)
        self.assertFalse(result.may_have_run)

    async def test_waiting_calls_are_refused_and_runs_end(self) -> None:
        for call_id in range(1, 7):
            self.run_call(call_id)
        running = len(self.connections.sent)
        self.assertIn(running, (1, 2))
        self.set_evacuated(evacuated=True)
        waiting = set(range(running + 1, 7))
        self.assertEqual(set(self.results), waiting)
        for call_id in waiting:
            self.assert_refused(call_id)
        for request in list(self.connections.sent):
            request.finish(BackendResponse(200, [], b"whole"))
        self.assertEqual(len(self.connections.sent), running)
        for call_id in range(1, running + 1):
            result = self.results[call_id]
            assert isinstance(result, RunAnswer)
            self.assertEqual(result.status, 200)
        self.assertFalse(self.executor.busy)

    async def test_later_calls_are_refused_until_the_withdrawal(self) -> None:
        self.set_evacuated(evacuated=True)
        self.set_evacuated(evacuated=True)
        self.run_call(1)
        self.assert_refused(1)
        self.assertEqual(self.connections.sent, [])
        self.set_evacuated(evacuated=False)
        self.run_call(2)
        self.assertEqual(len(self.connections.sent), 1)

    async def test_calls_without_a_connection_have_not_run(self) -> None:
        """The server has got nothing of a call that is still connecting."""
        self.connections.opens = False
        for call_id in range(1, 4):
            self.run_call(call_id)
        self.set_evacuated(evacuated=True)
        for call_id in range(1, 4):
            self.assert_refused(call_id)
        self.assertTrue(all(r.ended for r in self.connections.sent))
        self.assertFalse(self.executor.busy)
        assert self.executor._session is not None
        self.assertEqual(self.executor._session.admission.running, 0)

    async def test_an_evacuated_server_does_not_count_as_an_idle_one(
        self,
    ) -> None:
        """Its pool's other servers have its load, so they are under more."""
        self.run_call(1)
        self.set_evacuated(evacuated=True)
        self.run_call(2)
        self.connections.sent[0].finish(BackendResponse(200, [], b"whole"))
        for call_id in (1, 2):
            self.assertEqual(self.results[call_id].pressures, [])
        self.assertIsNone(self.executor.measure_pressure(self.clock.now()))
        self.set_evacuated(evacuated=False)
        self.assertIsNotNone(self.executor.measure_pressure(self.clock.now()))

    async def test_a_server_that_restarts_meanwhile_gets_no_calls(
        self,
    ) -> None:
        self.set_evacuated(evacuated=True)
        self.executor.accept_report(
            self.clock.now(),
            ServerReport("server", "store", "127.0.0.1", 1, 2, 1, 2),
        )
        self.run_call(1)
        self.assert_refused(1)

    async def test_the_server_counts_as_cold_after_the_withdrawal_only(
        self,
    ) -> None:
        with mock.patch.object(
            HostCallExecutor, "assume_cold", autospec=True
        ) as assume_cold:
            self.set_evacuated(evacuated=False)
            self.set_evacuated(evacuated=True)
            assume_cold.assert_not_called()
            self.set_evacuated(evacuated=False)
            assume_cold.assert_called_once_with(
                self.executor, self.clock.now()
            )

    def test_the_entry_node_may_reroute_a_refused_call(self) -> None:
        self.assertIn(ErrorCode.EVACUATED, REROUTABLE_CODES)


class EmptiedPoolsTest(unittest.TestCase):
    """Guards against an order that unnoticed leaves a pool no server."""

    def test_pools_that_would_have_no_server_left(self) -> None:
        members = [
            build_member("a", pool="both", domain="east"),
            build_member("b", pool="both", domain="west"),
            build_member("c", pool="one", domain="east"),
            build_member("d", pool="leaving", domain="east"),
            build_member(
                "e", pool="leaving", domain="west", state=MemberState.DRAINING
            ),
            build_member("f", pool="", domain="east"),
            build_member(
                "g", pool="joining", domain="east", state=MemberState.JOINING
            ),
        ]
        self.assertEqual(
            find_emptied_pools(members, (), "east"), ("leaving", "one")
        )
        self.assertEqual(find_emptied_pools(members, (), "west"), ())
        self.assertEqual(
            find_emptied_pools(members, ("east",), "west"), ("both",)
        )
        # Given again, an order empties nothing.
        self.assertEqual(find_emptied_pools(members, ("east",), "east"), ())
        self.assertEqual(count_servers(members, "east"), 3)
        self.assertEqual(count_servers(members, "absent"), 0)


if __name__ == "__main__":
    unittest.main()
