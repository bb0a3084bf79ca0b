"""Push of the fleet's state to nodes, and the nodes' view of it.

A control host answers a subscription with a snapshot or with the changes
since the node's log index, then sends one delta for each log entry. A
delta says after which index it applies, so a node notices a gap.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from types import MappingProxyType
from typing import Final

from sequoiaseam._commands import (
    Command,
    CrashReported,
    Member,
    WitnessGroup,
)
from sequoiaseam._keyring import Keyring
from sequoiaseam._state import FleetState, add_crash_report
from sequoiaseam._tables import KeyRecord, Tables
from sequoiaseam.const import CLOCK_DRIFT, LEASE

# Log entries kept for nodes that come back; at 1,400 edits and 95
# membership events a day this is more than half a day.
CHANGE_RECORDS_MAX: Final = 1000
PENDING_DELTAS: Final = 64
PENDING_PONGS: Final = 16

# The lease is counted on the node's clock and the confirmation's age on
# the control host's; either may run apart from true time.
LEASE_ON_NODE: Final = LEASE * (1 - 2 * CLOCK_DRIFT)
AGE_FACTOR: Final = 1 + 2 * CLOCK_DRIFT


@dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """All that a node needs, as of a log index.

    ``pools`` are those whose members the node gets, None for the pools
    of all routes.
    """

    index: int
    revision: int
    pools: frozenset[str] | None
    tables: Tables
    keys: tuple[KeyRecord, ...]
    members: tuple[Member, ...]
    groups: Mapping[int, WitnessGroup]
    quarantine: tuple[CrashReported, ...]


@dataclass(frozen=True, slots=True)
class FeedDelta:
    """What changed after one log index up to another.

    Rows hold the values as of ``index``, so a delta that starts before
    a node's index applies too. ``tables`` is None if unchanged.
    ``pools`` is as in a snapshot; a view applies only its own.
    """

    after: int
    index: int
    revision: int
    pools: frozenset[str] | None = None
    tables: Tables | None = None
    keys: tuple[KeyRecord, ...] = ()
    withdrawn: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()
    groups: Mapping[int, WitnessGroup] = field(default_factory=dict)
    quarantine: tuple[CrashReported, ...] = ()


FeedMessage = FeedSnapshot | FeedDelta


@dataclass(frozen=True, slots=True)
class Ping:
    """A node's question for a freshness lease, with its own time."""

    sent: datetime
    index: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a ping.

    ``index`` is the committed index of the host's last read-index
    confirmation, ``age`` the time since that confirmation's round began,
    at the moment the pong is made.
    """

    sent: datetime
    index: int
    age: timedelta


FEED_TYPES: Final = (FeedSnapshot, FeedDelta, Ping, Pong)


@dataclass(frozen=True, slots=True)
class _Entry:
    """Which rows a log entry touched."""

    after: int
    index: int
    tables: bool
    keys: frozenset[str]
    members: frozenset[str]
    shards: frozenset[int]
    crashes: tuple[CrashReported, ...]
    # Pools that routes began to use, so that their members are new to
    # nodes which follow the pools of all routes.
    pools: frozenset[str]


@dataclass(slots=True)
class _Subscriber:
    pools: frozenset[str] | None
    # The index which the node has reached with what was sent so far.
    index: int
    # Set while this host lags behind the node and owes it a snapshot.
    owed: bool = False


def collect_route_pools(tables: Tables) -> frozenset[str]:
    """Return the pools that routes name."""
    return frozenset(route.pool for route in tables.routes.values())


def collect_witnesses(groups: Iterable[WitnessGroup]) -> frozenset[str]:
    """Return the names of all witnesses of the groups."""
    return frozenset(name for group in groups for name in group.witnesses)


def _find_changed(
    old: Mapping[str, object],
    new: Mapping[str, object],
) -> frozenset[str]:
    """Return the keys whose values differ."""
    if old is new:
        return frozenset()
    changed = {k for k, v in new.items() if old.get(k) != v}
    return frozenset(changed | (old.keys() - new.keys()))


class FeedSource:
    """Control host's side: what to send to which node."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._subscribers: dict[str, _Subscriber] = {}
        self._entries: deque[_Entry] = deque(maxlen=CHANGE_RECORDS_MAX)
        self._remember()

    def subscribe(
        self,
        node: str,
        index: int,
        pools: frozenset[str] | None,
        *,
        has_pool_members: bool = True,
    ) -> FeedMessage | None:
        """Register a node and return what brings it up to date.

        ``pools`` None means the pools of all routes. ``has_pool_members``
        tells whether the node's view holds the members of those pools; if
        not, the node needs a snapshot. Return None if the node is up to
        date, or if this host lags behind it; a node that is ahead of the
        host gets its messages from ``publish`` later.
        """
        # Index 0 is a node without any view.
        needs_snapshot = index == 0 or not has_pool_members
        subscriber = _Subscriber(pools, index, owed=needs_snapshot)
        self._subscribers[node] = subscriber
        if self._state.index < index:
            return None
        if not needs_snapshot and self._state.index == index:
            return None
        return self._bring_up(subscriber)

    def unsubscribe(self, node: str) -> None:
        """Forget a node."""
        self._subscribers.pop(node, None)

    def publish(
        self,
        index: int,
        command: Command,
    ) -> tuple[tuple[str, FeedMessage], ...]:
        """Return the messages after a command was applied to the state."""
        entry = self._compare(index, command)
        self._entries.append(entry)
        self._remember()
        messages: list[tuple[str, FeedMessage]] = []
        cache: dict[tuple[frozenset[str] | None, int], FeedMessage] = {}
        for name, subscriber in self._subscribers.items():
            if subscriber.owed and subscriber.index <= index:
                messages.append((name, self._bring_up(subscriber)))
            elif subscriber.index < index:
                # Most nodes are at the same index with the same pools.
                key = (subscriber.pools, subscriber.index)
                if key not in cache:
                    cache[key] = self._bring_up(subscriber)
                subscriber.index = index
                messages.append((name, cache[key]))
        return tuple(messages)

    def replace_state(self, state: FleetState) -> None:
        """Continue with a state that was loaded from a snapshot.

        The log between is unknown, so nodes behind it get snapshots.
        """
        self._state = state
        self._entries.clear()
        self._remember()

    def _remember(self) -> None:
        """Keep what the next command's effect is compared with."""
        state = self._state
        self._index = state.index
        self._tables = state.tables
        self._keys = state.keys
        self._members = state.members
        self._groups = state.groups

    def _compare(self, index: int, command: Command) -> _Entry:
        """Return which rows differ from before the command."""
        state = self._state
        shards: frozenset[int] = frozenset()
        if state.groups is not self._groups:
            shards = frozenset(
                shard
                for shard, group in state.groups.items()
                if self._groups.get(shard) != group
            )
        pools: frozenset[str] = frozenset()
        if state.tables is not self._tables:
            pools = collect_route_pools(state.tables) - collect_route_pools(
                self._tables
            )
        return _Entry(
            after=self._index,
            index=index,
            tables=state.tables is not self._tables,
            keys=_find_changed(self._keys, state.keys),
            members=_find_changed(self._members, state.members),
            shards=shards,
            crashes=(command,) if isinstance(command, CrashReported) else (),
            pools=pools,
        )

    def _bring_up(self, subscriber: _Subscriber) -> FeedMessage:
        """Return a delta from the subscriber's index, or a snapshot."""
        entries = [e for e in self._entries if e.index > subscriber.index]
        gapless = bool(entries) and entries[0].after <= subscriber.index
        if subscriber.owed or not gapless:
            subscriber.owed = False
            message: FeedMessage = self._build_snapshot(subscriber.pools)
        else:
            message = self._build_delta(subscriber, entries)
        subscriber.index = self._state.index
        return message

    def _build_snapshot(self, pools: frozenset[str] | None) -> FeedSnapshot:
        state = self._state
        return FeedSnapshot(
            index=state.index,
            revision=state.revision,
            pools=pools,
            tables=state.tables,
            keys=tuple(state.keys.values()),
            members=self._select(pools, state.members),
            groups=dict(state.groups),
            quarantine=state.quarantine,
        )

    def _build_delta(
        self,
        subscriber: _Subscriber,
        entries: list[_Entry],
    ) -> FeedDelta:
        state = self._state
        keys = frozenset[str]().union(*(e.keys for e in entries))
        names = frozenset[str]().union(*(e.members for e in entries))
        shards = frozenset[int]().union(*(e.shards for e in entries))
        groups = {shard: state.groups[shard] for shard in sorted(shards)}
        touched = names | collect_witnesses(groups.values())
        if subscriber.pools is None:
            fresh = frozenset[str]().union(*(e.pools for e in entries))
            touched |= self._find_in_pools(fresh)
        return FeedDelta(
            after=subscriber.index,
            index=state.index,
            revision=state.revision,
            pools=subscriber.pools,
            tables=state.tables if any(e.tables for e in entries) else None,
            keys=tuple(state.keys[k] for k in keys if k in state.keys),
            withdrawn=tuple(k for k in keys if k not in state.keys),
            members=self._select(subscriber.pools, touched),
            left=self._find_left(subscriber.pools, names),
            groups=groups,
            quarantine=tuple(c for e in entries for c in e.crashes),
        )

    def _find_in_pools(self, pools: frozenset[str]) -> frozenset[str]:
        members = self._state.members.values()
        return frozenset(m.name for m in members if m.pool in pools)

    def _select(
        self,
        pools: frozenset[str] | None,
        names: Iterable[str],
    ) -> tuple[Member, ...]:
        """Return the members of some names that a node needs."""
        state = self._state
        wanted = collect_route_pools(state.tables) if pools is None else pools
        witnesses = collect_witnesses(state.groups.values())
        present = (state.members.get(name) for name in names)
        return tuple(
            member
            for member in present
            if member is not None
            and (member.pool in wanted or member.name in witnesses)
        )

    def _find_left(
        self,
        pools: frozenset[str] | None,
        names: frozenset[str],
    ) -> tuple[str, ...]:
        """Return touched names that the node no longer needs.

        A member that moved to a pool outside the node's leaves its view
        as well.
        """
        kept = {member.name for member in self._select(pools, names)}
        return tuple(sorted(names - kept))


class NodeView:
    """A node's view of the fleet's state, and how fresh it is."""

    def __init__(self) -> None:
        self.index = 0
        self.revision = 0
        # Pools whose members the view follows, None for those of all
        # routes, and whether it has them yet.
        self.pools: frozenset[str] | None = None
        self.has_pool_members = False
        self.tables = Tables()
        self.keyring = Keyring(())
        self.members: Mapping[str, Member] = MappingProxyType({})
        self.groups: Mapping[int, WitnessGroup] = MappingProxyType({})
        self.quarantine: tuple[CrashReported, ...] = ()
        self._keys: dict[str, KeyRecord] = {}
        # When the index last moved, by the node's clock.
        self.updated: datetime | None = None
        # End of the lease, by the node's clock.
        self.fresh_until: datetime | None = None
        self._pongs: list[Pong] = []
        self._pending: dict[int, FeedDelta] = {}

    def follow_pools(self, pools: frozenset[str] | None) -> None:
        """Change the pools; subscribe again to get their members."""
        if pools != self.pools:
            self.pools = pools
            self.has_pool_members = False
            self._pending.clear()

    def apply(self, now: datetime, message: FeedMessage) -> bool:
        """Apply a snapshot or delta; return False to ask for a resync.

        Repeated and older messages change nothing. A delta from beyond
        the view's index waits for those between.
        """
        before = self.index
        if message.pools != self.pools:
            # On its way since before the pools changed.
            return True
        if isinstance(message, FeedSnapshot):
            if message.index >= self.index:
                self._load(message)
        elif message.index > self.index:
            self._pending[message.index] = message
            if len(self._pending) > PENDING_DELTAS:
                del self._pending[max(self._pending)]
        self._drain_pending()
        self._drain_pongs()
        if self.index > before:
            self.updated = now
        return not self._pending

    def build_ping(self, now: datetime) -> Ping:
        """Return the question for the next lease."""
        return Ping(now, self.index)

    def receive_pong(self, now: datetime, pong: Pong) -> None:
        """Take an answer; its lease counts once its index is applied."""
        if pong.sent > now or pong.age < timedelta(0):
            return
        self._pongs.append(pong)
        if len(self._pongs) > PENDING_PONGS:
            del self._pongs[0]
        self._drain_pongs()

    def is_fresh(self, now: datetime) -> bool:
        """Return whether keyed requests may be served."""
        return self.fresh_until is not None and now < self.fresh_until

    def _drain_pongs(self) -> None:
        waiting = []
        for pong in self._pongs:
            if pong.index > self.index:
                waiting.append(pong)
                continue
            until = pong.sent - pong.age * AGE_FACTOR + LEASE_ON_NODE
            if self.fresh_until is None or until > self.fresh_until:
                self.fresh_until = until
        self._pongs = waiting

    def _drain_pending(self) -> None:
        for index in sorted(self._pending):
            delta = self._pending[index]
            if index <= self.index:
                del self._pending[index]
            elif self.has_pool_members and delta.after <= self.index:
                del self._pending[index]
                self._merge(delta)

    def _load(self, snapshot: FeedSnapshot) -> None:
        self.index = snapshot.index
        self.revision = snapshot.revision
        self.has_pool_members = True
        self.tables = snapshot.tables
        self._set_keys({key.key_id: key for key in snapshot.keys})
        self.members = MappingProxyType(
            {member.name: member for member in snapshot.members},
        )
        self.groups = MappingProxyType(dict(snapshot.groups))
        self.quarantine = snapshot.quarantine

    def _merge(self, delta: FeedDelta) -> None:
        self.index = delta.index
        self.revision = delta.revision
        if delta.tables is not None:
            self.tables = delta.tables
        if delta.keys or delta.withdrawn:
            keys = {
                key_id: key
                for key_id, key in self._keys.items()
                if key_id not in delta.withdrawn
            }
            keys.update((key.key_id, key) for key in delta.keys)
            self._set_keys(keys)
        if delta.groups:
            self.groups = MappingProxyType({**self.groups, **delta.groups})
        for report in delta.quarantine:
            self.quarantine = add_crash_report(self.quarantine, report)
        if delta.members or delta.left:
            # The log has settled which incarnation counts, so rows are
            # taken as they are.
            members = {
                name: member
                for name, member in self.members.items()
                if name not in delta.left
            }
            members.update((m.name, m) for m in delta.members)
            self.members = MappingProxyType(members)
        if delta.tables is not None or delta.groups or delta.members:
            self._prune_members()

    def _set_keys(self, keys: dict[str, KeyRecord]) -> None:
        self._keys = keys
        self.keyring = Keyring(keys.values())

    def _prune_members(self) -> None:
        """Drop members that no delta will update any more."""
        pools = self.pools
        wanted = collect_route_pools(self.tables) if pools is None else pools
        witnesses = collect_witnesses(self.groups.values())
        self.members = MappingProxyType(
            {
                name: member
                for name, member in self.members.items()
                if member.pool in wanted or name in witnesses
            },
        )
