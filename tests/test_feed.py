"""Tests of the feed from control hosts to nodes."""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from bench._hosts import TOKEN_COUNT, FeedFleet, make_key

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
from sequoiaseam._tables import Share
from sequoiaseam.const import CONFIGURATION_LEASE
from tests.builders import build_member, build_route, build_tables
from tests.seeds import iterate_seeds

HISTORY = frozenset(("history",))
BILLING = frozenset(("billing",))


def apply_and_publish(
    source: FeedSource, state: FleetState, command: Command
) -> object:
    """Apply a command and return the messages for the subscribers."""
    index = state.index + 1
    state.apply(index, command)
    return source.publish(index, command)


class FeedTest(unittest.TestCase):
    """Guards against views that go back, grow stale or hold other pools."""

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

    def apply_and_publish(self, command: Command) -> FeedMessage:
        messages = apply_and_publish(self.source, self.state, command)
        assert isinstance(messages, tuple)
        ((_, message),) = messages
        assert isinstance(message, FeedDelta | FeedSnapshot)
        codec = Codec(FEED_TYPES)
        decoded = codec.decode(codec.encode(message))
        assert isinstance(decoded, FeedDelta | FeedSnapshot)
        return decoded

    def test_view_has_members_of_followed_pools_and_witnesses(self) -> None:
        self.subscribe(HISTORY)
        one = build_member("one")
        two = build_member("two", pool="billing")
        self.view.apply(
            EPOCH, self.apply_and_publish(MembersChanged((one, two)))
        )
        self.assertEqual(set(self.view.members), {"one"})
        groups = {0: WitnessGroup(1, ("two",))}
        self.view.apply(
            EPOCH, self.apply_and_publish(WitnessesAssigned(groups))
        )
        self.assertEqual(set(self.view.members), {"one", "two"})
        moved_member = replace(one, pool="billing")
        self.view.apply(
            EPOCH, self.apply_and_publish(MembersChanged((moved_member,)))
        )
        self.assertEqual(set(self.view.members), {"two"})

    def test_pools_of_all_routes_follow_the_tables(self) -> None:
        two = build_member("two", pool="billing")
        self.state.apply(2, MembersChanged((two,)))
        self.source = FeedSource(self.state)
        self.subscribe(None)
        self.assertEqual(set(self.view.members), set())
        tables = build_tables(build_route("b", "/b", "billing"))
        edit = EditTables("e2", "ana", 1, tables)
        self.view.apply(EPOCH, self.apply_and_publish(edit))
        self.assertEqual(set(self.view.members), {"two"})

    def test_members_of_each_part_of_a_split_are_known(self) -> None:
        """Guard against a split whose later parts get no requests."""
        one, two = build_member("one"), build_member("two", pool="billing")
        self.state.apply(2, MembersChanged((one, two)))
        self.source = FeedSource(self.state)
        self.subscribe(None)
        self.assertEqual({"one"}, set(self.view.members))
        halves = (Share("history", 50), Share("billing", 50))
        swapped = (Share("billing", 1), Share("history", 99))
        edits = (
            ("part added", build_route(shares=halves), {"one", "two"}),
            (
                "weights changed",
                build_route(pool="billing", shares=swapped),
                {"one", "two"},
            ),
            ("part removed", build_route(pool="billing"), {"two"}),
            ("part moved", build_route(shares=halves), {"one", "two"}),
            ("split ended", build_route(), {"one"}),
        )
        for revision, (name, route, expected) in enumerate(edits, start=1):
            with self.subTest(name):
                edit = EditTables(name, "ana", revision, build_tables(route))
                self.view.apply(EPOCH, self.apply_and_publish(edit))
                self.assertEqual(expected, set(self.view.members))
                snapshot = self.source.subscribe("other", 0, None)
                self.source.unsubscribe("other")
                assert isinstance(snapshot, FeedSnapshot)
                names = {member.name for member in snapshot.members}
                self.assertEqual(expected, names)

    def test_gap_requires_resync_and_duplicates_are_ignored(self) -> None:
        self.subscribe()
        first = self.apply_and_publish(AddKey("a", "x", None, make_key(1)))
        second = self.apply_and_publish(AddKey("b", "x", None, make_key(2)))
        self.assertFalse(self.view.apply(EPOCH, second))
        self.assertEqual(self.view.index, 1)
        self.assertTrue(self.view.apply(EPOCH, first))
        self.assertEqual(self.view.index, 3)
        self.assertTrue(self.view.apply(EPOCH, first))
        self.assertEqual(len(self.view.keyring), 2)

    def test_resubscription_gets_delta_or_snapshot(self) -> None:
        self.subscribe()
        for number in range(CHANGE_RECORDS_MAX + 1):
            if number == 1:
                message_at_head = self.source.subscribe("m", 2, None)
                self.assertIsNone(message_at_head)
            apply_and_publish(self.source, self.state, MembersChanged())
        self.source.unsubscribe("m")
        for index, message_type in ((1, FeedSnapshot), (2, FeedDelta)):
            message = self.source.subscribe("n", index, None)
            self.assertIsInstance(message, message_type)

    def test_lagging_host_does_not_revert_a_view(self) -> None:
        self.subscribe()
        self.view.apply(EPOCH, self.apply_and_publish(MembersChanged()))
        lagging_state = FleetState()
        lagging_state.apply(1, EditTables("e1", "ana", 0, build_tables()))
        lagging_source = FeedSource(lagging_state)
        self.view.follow_pools(BILLING)
        answer = lagging_source.subscribe(
            "n", 2, BILLING, has_pool_members=False
        )
        self.assertIsNone(answer)
        messages = apply_and_publish(
            lagging_source, lagging_state, MembersChanged()
        )
        assert isinstance(messages, tuple)
        self.assertIsInstance(messages[0][1], FeedSnapshot)
        self.view.apply(EPOCH, messages[0][1])
        self.assertTrue(self.view.has_pool_members)

    def test_messages_for_previous_pools_are_ignored(self) -> None:
        self.subscribe(HISTORY)
        previous_message = self.apply_and_publish(
            MembersChanged((build_member("one"),))
        )
        self.subscribe(BILLING)
        index = self.view.index
        self.assertTrue(self.view.apply(EPOCH, previous_message))
        self.assertEqual(self.view.index, index)
        self.assertEqual(set(self.view.members), set())

    def test_lease_starts_at_the_ping_once_entries_are_applied(self) -> None:
        self.subscribe()
        sent = self.view.build_ping(EPOCH).sent
        self.view.receive_pong(EPOCH, Pong(sent, 2, timedelta(seconds=1)))
        self.assertFalse(self.view.is_fresh(EPOCH))
        self.view.apply(EPOCH, self.apply_and_publish(MembersChanged()))
        # The lease lasts 2.5 s less the margin for clock drift.
        for after, fresh in ((2.4, True), (2.5, False)):
            now = EPOCH + timedelta(seconds=after)
            self.assertIs(self.view.is_fresh(now), fresh)
        future_ping = EPOCH + timedelta(seconds=9)
        self.view.receive_pong(EPOCH, Pong(future_ping, 1, timedelta(0)))
        self.assertFalse(self.view.is_fresh(future_ping))


class FeedFuzzTest(unittest.TestCase):
    """Guards against withdrawn keys on nodes and views that diverge.

    Control hosts lag and are isolated. Nodes change hosts and pools and
    restart. Messages are lost, delayed, repeated and reordered. Clock
    rates are wrong by up to 1%.
    """

    def test_views_match_the_log(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                self.run_schedule(FeedFleet(random.Random(seed)))

    def run_schedule(self, fleet: FeedFleet) -> None:
        for _ in range(80):
            before = [(node.view, node.view.index) for node in fleet.nodes]
            fleet.step()
            for view, index in before:
                self.assertGreaterEqual(view.index, index)
        self.assertLess(
            fleet.longest_exposure, CONFIGURATION_LEASE.total_seconds()
        )
        state = fleet.deliver_all()
        for node in fleet.nodes:
            self.check_converged(state, node.view)

    def check_converged(self, state: FleetState, view: NodeView) -> None:
        for name in ("index", "revision", "tables", "groups", "quarantine"):
            self.assertEqual(getattr(view, name), getattr(state, name))
        for number in range(TOKEN_COUNT):
            identified = view.keyring.identify(f"t{number}") is not None
            self.assertEqual(identified, f"k{number}" in state.keys)
        pools = view.pools
        followed_pools = (
            collect_route_pools(state.tables) if pools is None else pools
        )
        witnesses = collect_witnesses(state.groups.values())
        members = {
            name: member
            for name, member in state.members.items()
            if member.pool in followed_pools or name in witnesses
        }
        self.assertEqual(view.members, members)
