"""Tests of the feed from control hosts to nodes."""

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    AddKey,
    Command,
    EditTables,
    MembersChanged,
    WithdrawKey,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._feed import (
    ENTRIES_KEPT,
    FEED_TYPES,
    FeedDelta,
    FeedMessage,
    FeedSnapshot,
    FeedSource,
    NodeView,
    Pong,
    collect_pools,
    collect_witnesses,
)
from sequoiaseam._keyring import compute_digest
from sequoiaseam._state import FleetState
from sequoiaseam._tables import KeyRecord
from sequoiaseam.const import LEASE
from tests.builders import build_member, build_route, build_tables
from tests.seeds import iterate_seeds

HISTORY = frozenset(("history",))
BILLING = frozenset(("billing",))


def build_key(number: int) -> KeyRecord:
    """Return the key with the token ``t`` and the number."""
    return KeyRecord(f"k{number}", compute_digest(f"t{number}"), "coop")


def feed(source: FeedSource, state: FleetState, command: Command) -> object:
    """Apply a command and return the messages."""
    index = state.index + 1
    state.apply(index, command)
    return source.publish(index, command)


class FeedTest(unittest.TestCase):
    """Guards against views that go back, leak or grow stale."""

    def setUp(self) -> None:
        self.state = FleetState()
        self.state.apply(1, EditTables("e1", "ana", 0, build_tables()))
        self.source = FeedSource(self.state)
        self.view = NodeView()

    def subscribe(self, pools: frozenset[str] | None = None) -> None:
        self.view.follow(pools)
        message = self.source.subscribe(
            "n",
            self.view.index,
            pools,
            covered=self.view.covered,
        )
        if message is not None:
            self.assertTrue(self.view.apply(EPOCH, message))

    def feed(self, command: Command) -> FeedMessage:
        messages = feed(self.source, self.state, command)
        assert isinstance(messages, tuple)
        ((_, message),) = messages
        assert isinstance(message, FeedDelta | FeedSnapshot)
        codec = Codec(FEED_TYPES)
        decoded = codec.decode(codec.encode(message))
        assert isinstance(decoded, FeedDelta | FeedSnapshot)
        return decoded

    def test_only_members_of_followed_pools_and_witnesses(self) -> None:
        self.subscribe(HISTORY)
        one = build_member("one")
        two = build_member("two", pool="billing")
        self.view.apply(EPOCH, self.feed(MembersChanged((one, two))))
        self.assertEqual(set(self.view.members), {"one"})
        groups = {0: WitnessGroup(1, ("two",))}
        self.view.apply(EPOCH, self.feed(WitnessesAssigned(groups)))
        self.assertEqual(set(self.view.members), {"one", "two"})
        moved = replace(one, pool="billing")
        self.view.apply(EPOCH, self.feed(MembersChanged((moved,))))
        self.assertEqual(set(self.view.members), {"two"})

    def test_all_routes_pools_follow_the_tables(self) -> None:
        two = build_member("two", pool="billing")
        self.state.apply(2, MembersChanged((two,)))
        self.source = FeedSource(self.state)
        self.subscribe(None)
        self.assertEqual(set(self.view.members), set())
        tables = build_tables(build_route("b", "/b", "billing"))
        edit = EditTables("e2", "ana", 1, tables)
        self.view.apply(EPOCH, self.feed(edit))
        self.assertEqual(set(self.view.members), {"two"})

    def test_gap_asks_for_resync_and_duplicates_are_harmless(self) -> None:
        self.subscribe()
        first = self.feed(AddKey("a", "x", None, build_key(1)))
        second = self.feed(AddKey("b", "x", None, build_key(2)))
        self.assertFalse(self.view.apply(EPOCH, second))
        self.assertEqual(self.view.index, 1)
        self.assertTrue(self.view.apply(EPOCH, first))
        self.assertEqual(self.view.index, 3)
        self.assertTrue(self.view.apply(EPOCH, first))
        self.assertEqual(len(self.view.keyring), 2)

    def test_late_subscription_gets_delta_or_snapshot(self) -> None:
        self.subscribe()
        for number in range(ENTRIES_KEPT + 1):
            if number == 1:
                middle = self.source.subscribe("m", 2, None)
                self.assertIsNone(middle)
            feed(self.source, self.state, MembersChanged())
        self.source.unsubscribe("m")
        for index, kind in ((1, FeedSnapshot), (2, FeedDelta)):
            message = self.source.subscribe("n", index, None)
            self.assertIsInstance(message, kind)

    def test_lagging_host_never_takes_a_node_back(self) -> None:
        self.subscribe()
        self.view.apply(EPOCH, self.feed(MembersChanged()))
        lagging = FleetState()
        lagging.apply(1, EditTables("e1", "ana", 0, build_tables()))
        behind = FeedSource(lagging)
        self.view.follow(BILLING)
        answer = behind.subscribe("n", 2, BILLING, covered=False)
        self.assertIsNone(answer)
        messages = feed(behind, lagging, MembersChanged())
        assert isinstance(messages, tuple)
        self.assertIsInstance(messages[0][1], FeedSnapshot)
        self.view.apply(EPOCH, messages[0][1])
        self.assertTrue(self.view.covered)

    def test_messages_for_former_pools_are_ignored(self) -> None:
        self.subscribe(HISTORY)
        old = self.feed(MembersChanged((build_member("one"),)))
        self.subscribe(BILLING)
        index = self.view.index
        self.assertTrue(self.view.apply(EPOCH, old))
        self.assertEqual(self.view.index, index)
        self.assertEqual(set(self.view.members), set())

    def test_lease_counts_from_the_ping_once_applied(self) -> None:
        self.subscribe()
        sent = self.view.ping(EPOCH).sent
        self.view.receive(EPOCH, Pong(sent, 2, timedelta(seconds=1)))
        self.assertFalse(self.view.is_fresh(EPOCH))
        self.view.apply(EPOCH, self.feed(MembersChanged()))
        # 2.5 s less the margin for clocks that run apart.
        for after, fresh in ((2.4, True), (2.5, False)):
            now = EPOCH + timedelta(seconds=after)
            self.assertIs(self.view.is_fresh(now), fresh)
        future = EPOCH + timedelta(seconds=9)
        self.view.receive(EPOCH, Pong(future, 1, timedelta(0)))
        self.assertFalse(self.view.is_fresh(future))


@dataclass
class _Clock:
    rate: float
    offset: float

    def read(self, seconds: float) -> datetime:
        return EPOCH + timedelta(seconds=self.offset + seconds * self.rate)


@dataclass
class _Host:
    clock: _Clock
    state: FleetState = field(default_factory=FleetState)
    confirmed: tuple[float, int] = (0.0, 0)
    cut: bool = False

    def __post_init__(self) -> None:
        self.source = FeedSource(self.state)


@dataclass
class _Node:
    name: str
    clock: _Clock
    host: _Host
    view: NodeView = field(default_factory=NodeView)
    index: int = 0


class _World:
    """Hosts that lag and nodes that move, on a bad network."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.log: list[Command] = []
        self.withdrawn: dict[str, float] = {}
        self.mail: list[tuple[float, Callable[[], None]]] = []
        self.hosts = [_Host(self.build_clock()) for _ in range(3)]
        self.nodes = [
            _Node(f"n{i}", self.build_clock(), rng.choice(self.hosts))
            for i in range(2)
        ]
        self.loss = rng.choice((0.0, 0.2))

    def build_clock(self) -> _Clock:
        rate = self.rng.choice((0.99, 1.0, 1.01))
        return _Clock(rate, self.rng.uniform(0, 1e6))

    def post(self, event: Callable[[], None]) -> None:
        """Deliver an event late, twice or not at all."""
        for _ in range(self.rng.choice((1, 1, 1, 2))):
            if self.rng.random() >= self.loss:
                delay = self.rng.choice((0.0, 0.01, 0.2, 1.5))
                self.mail.append((self.now + delay, event))

    def send(self, node: _Node, message: FeedMessage | None) -> None:
        if message is not None:
            self.post(lambda: self.deliver(node, message))

    def deliver(self, node: _Node, message: FeedMessage) -> None:
        if not node.view.apply(node.clock.read(self.now), message):
            self.subscribe(node)

    def subscribe(self, node: _Node) -> None:
        view = node.view
        answer = node.host.source.subscribe(
            node.name,
            view.index,
            view.pools,
            covered=view.covered,
        )
        self.send(node, answer)

    def step(self) -> None:
        self.now += 0.1
        if self.rng.random() < 0.3:
            self.commit()
        for host in self.hosts:
            self.step_host(host)
        for node in self.nodes:
            self.step_node(node)
        due = [event for at, event in self.mail if at <= self.now]
        self.mail = [m for m in self.mail if m[0] > self.now]
        self.rng.shuffle(due)
        for event in due:
            event()

    def commit(self) -> None:
        rng, number = self.rng, len(self.log)
        pools = rng.sample(("history", "billing", "geology"), 2)
        routes = [build_route(p, f"/{p}", p) for p in pools]
        member = build_member(
            f"m{rng.randrange(5)}",
            incarnation=rng.randrange(3),
            pool=rng.choice(("history", "billing")),
        )
        group = WitnessGroup(number, (f"m{rng.randrange(5)}",))
        token = rng.randrange(4)
        left = MembersChanged((), {member.name: member.incarnation})
        commands: tuple[Command, ...] = (
            EditTables(f"e{number}", "x", number, build_tables(*routes)),
            AddKey(f"e{number}", "x", None, build_key(token)),
            WithdrawKey(f"e{number}", "x", None, f"k{token}"),
            MembersChanged((member,)),
            left,
            WitnessesAssigned({rng.randrange(2): group}),
        )
        command = rng.choice(commands)
        if isinstance(command, EditTables) and number:
            revision = self.replay().revision
            command = replace(command, base_revision=revision)
        if isinstance(command, WithdrawKey):
            self.withdrawn[f"t{token}"] = self.now
        if isinstance(command, AddKey):
            self.withdrawn.pop(f"t{token}", None)
        self.log.append(command)

    def replay(self) -> FleetState:
        state = FleetState()
        for index, command in enumerate(self.log, start=1):
            state.apply(index, command)
        return state

    def step_host(self, host: _Host) -> None:
        if self.rng.random() < 0.03:
            host.cut = not host.cut
        if host.cut:
            return
        if self.rng.random() < 0.5:
            host.confirmed = (self.now, len(self.log))
        if self.rng.random() < 0.5:
            self.catch_up(host)

    def catch_up(self, host: _Host) -> None:
        names = {node.name: node for node in self.nodes}
        for command in self.log[host.state.index :]:
            index = host.state.index + 1
            host.state.apply(index, command)
            for name, message in host.source.publish(index, command):
                if names[name].host is host:
                    self.send(names[name], message)

    def step_node(self, node: _Node) -> None:
        if self.rng.random() < 0.1:
            node.host.source.unsubscribe(node.name)
            node.host = self.rng.choice(self.hosts)
            pools = self.rng.choice((None, HISTORY, BILLING, node.view.pools))
            node.view.follow(pools)
            self.subscribe(node)
        if self.rng.random() < 0.02:
            node.view, node.index = NodeView(), 0
            self.subscribe(node)
        if self.rng.random() < 0.3:
            host = node.host
            ping = node.view.ping(node.clock.read(self.now))
            self.post(lambda: self.answer(node, host, ping.sent))

    def answer(self, node: _Node, host: _Host, sent: datetime) -> None:
        at, index = host.confirmed
        age = host.clock.read(self.now) - host.clock.read(at)
        pong = Pong(sent, index, age)
        view = node.view
        self.post(lambda: view.receive(node.clock.read(self.now), pong))


class FeedFuzzTest(unittest.TestCase):
    """Guards against stale keys on nodes, and views that diverge."""

    def test_against_the_log(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        world = _World(rng)
        for _ in range(80):
            world.step()
            for node in world.nodes:
                self.check(world, node)
        world.loss = 0.0
        for node in world.nodes:
            world.catch_up(node.host)
            world.subscribe(node)
        world.now += 10
        while world.mail:
            world.mail.pop(0)[1]()
        for node in world.nodes:
            self.check_converged(world.replay(), node.view)

    def check(self, world: _World, node: _Node) -> None:
        view = node.view
        self.assertGreaterEqual(view.index, node.index)
        node.index = view.index
        if not view.is_fresh(node.clock.read(world.now)):
            return
        for token, at in world.withdrawn.items():
            if world.now >= at + LEASE.total_seconds():
                self.assertIsNone(view.keyring.identify(token))

    def check_converged(self, state: FleetState, view: NodeView) -> None:
        self.assertEqual(view.index, state.index)
        self.assertEqual(view.revision, state.revision)
        self.assertEqual(view.tables, state.tables)
        self.assertEqual(view.groups, state.groups)
        for number in range(4):
            known = f"k{number}" in state.keys
            identified = view.keyring.identify(f"t{number}") is not None
            self.assertEqual(identified, known)
        pools = view.pools
        wanted = collect_pools(state.tables) if pools is None else pools
        witnesses = collect_witnesses(state.groups.values())
        members = {
            name: member
            for name, member in state.members.items()
            if member.pool in wanted or name in witnesses
        }
        self.assertEqual(view.members, members)
