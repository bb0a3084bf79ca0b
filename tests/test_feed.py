"""Tests of the feed from control hosts to nodes."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from bench._hosts import TOKENS, FeedFleet, make_key

from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    AddKey,
    Command,
    EditTables,
    MembersChanged,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._feed import (
    CHANGE_RECORDS_MAX,
    FEED_TYPES,
    FeedDelta,
    FeedMessage,
    FeedSnapshot,
    FeedSource,
    NodeView,
    Pong,
    collect_route_pools,
    collect_witnesses,
)
from sequoiaseam._state import FleetState
from sequoiaseam.const import CONFIGURATION_LEASE
from tests.builders import build_member, build_route, build_tables
from tests.seeds import iterate_seeds

HISTORY = frozenset(("history",))
BILLING = frozenset(("billing",))


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
        self.view.follow_pools(pools)
        message = self.source.subscribe(
            "n",
            self.view.index,
            pools,
            has_pool_members=self.view.has_pool_members,
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
        first = self.feed(AddKey("a", "x", None, make_key(1)))
        second = self.feed(AddKey("b", "x", None, make_key(2)))
        self.assertFalse(self.view.apply(EPOCH, second))
        self.assertEqual(self.view.index, 1)
        self.assertTrue(self.view.apply(EPOCH, first))
        self.assertEqual(self.view.index, 3)
        self.assertTrue(self.view.apply(EPOCH, first))
        self.assertEqual(len(self.view.keyring), 2)

    def test_late_subscription_gets_delta_or_snapshot(self) -> None:
        self.subscribe()
        for number in range(CHANGE_RECORDS_MAX + 1):
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
        self.view.follow_pools(BILLING)
        answer = behind.subscribe("n", 2, BILLING, has_pool_members=False)
        self.assertIsNone(answer)
        messages = feed(behind, lagging, MembersChanged())
        assert isinstance(messages, tuple)
        self.assertIsInstance(messages[0][1], FeedSnapshot)
        self.view.apply(EPOCH, messages[0][1])
        self.assertTrue(self.view.has_pool_members)

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
        sent = self.view.build_ping(EPOCH).sent
        self.view.receive_pong(EPOCH, Pong(sent, 2, timedelta(seconds=1)))
        self.assertFalse(self.view.is_fresh(EPOCH))
        self.view.apply(EPOCH, self.feed(MembersChanged()))
        # 2.5 s less the margin for clocks that run apart.
        for after, fresh in ((2.4, True), (2.5, False)):
            now = EPOCH + timedelta(seconds=after)
            self.assertIs(self.view.is_fresh(now), fresh)
        future = EPOCH + timedelta(seconds=9)
        self.view.receive_pong(EPOCH, Pong(future, 1, timedelta(0)))
        self.assertFalse(self.view.is_fresh(future))


class FeedFuzzTest(unittest.TestCase):
    """Guards against stale keys on nodes, and views that diverge.

    Control hosts lag and are cut off, nodes move, restart and change
    their pools, messages are lost, late, repeated and reordered, and the
    clocks run apart by up to 1%.
    """

    def test_against_the_log(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                self.run_schedule(FeedFleet(random.Random(seed)))

    def run_schedule(self, fleet: FeedFleet) -> None:
        for _ in range(80):
            before = [(node.view, node.view.index) for node in fleet.nodes]
            fleet.step()
            for view, index in before:
                self.assertGreaterEqual(view.index, index)
        self.assertLess(fleet.exposure, CONFIGURATION_LEASE.total_seconds())
        state = fleet.heal()
        for node in fleet.nodes:
            self.check_converged(state, node.view)

    def check_converged(self, state: FleetState, view: NodeView) -> None:
        for name in ("index", "revision", "tables", "groups", "quarantine"):
            self.assertEqual(getattr(view, name), getattr(state, name))
        for number in range(TOKENS):
            identified = view.keyring.identify(f"t{number}") is not None
            self.assertEqual(identified, f"k{number}" in state.keys)
        pools = view.pools
        wanted = collect_route_pools(state.tables) if pools is None else pools
        witnesses = collect_witnesses(state.groups.values())
        members = {
            name: member
            for name, member in state.members.items()
            if member.pool in wanted or name in witnesses
        }
        self.assertEqual(view.members, members)
