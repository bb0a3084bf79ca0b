"""Replication of the fleet's state from control hosts to nodes.

A control host answers a subscription with a snapshot or with the changes
since the node's log index, then sends a delta for each log entry. Each
delta states the index that it follows, so that a node detects gaps.
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
from sequoiaseam._domain_load import DomainLoad, NodeLoad
from sequoiaseam._keyring import Keyring
from sequoiaseam._state import FleetState, add_crash_report
from sequoiaseam._tables import KeyRecord, Tables
from sequoiaseam._tables_delta import (
    ChangedRows,
    TablesDelta,
    apply_tables_delta,
    build_tables_delta,
    find_changed_keys,
    find_changed_rows,
    merge_changes,
)
from sequoiaseam.const import CLOCK_DRIFT_MAX, CONFIGURATION_LEASE

# Number of log entries whose changes are kept for nodes that reconnect;
# at 1,400 edits and 95 membership events a day this is more than half a
# day.
CHANGE_RECORDS_MAX: Final = 1000
# Number of changed rows in those changes. A node that lags behind more gets a
# snapshot.
CHANGED_ROWS_MAX: Final = 50_000
PENDING_DELTAS_MAX: Final = 64
PENDING_PONGS_MAX: Final = 16

# The node's clock measures the lease, and the control host's clock the age
# of the confirmation. Both may drift from true time.
NODE_LEASE_DURATION: Final = CONFIGURATION_LEASE * (1 - 2 * CLOCK_DRIFT_MAX)
AGE_DRIFT_FACTOR: Final = 1 + 2 * CLOCK_DRIFT_MAX


@dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """Complete state for a node, as of a log index.

    ``pools`` are the pools whose members the snapshot includes; None
    means the pools of all routes.
    """

    index: int
    revision: int
    pools: frozenset[str] | None
    tables: Tables
    keys: tuple[KeyRecord, ...]
    members: tuple[Member, ...]
    groups: Mapping[int, WitnessGroup]
    quarantine: tuple[CrashReported, ...]
    evacuated: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FeedDelta:
    """Changes after log index ``after`` up to ``index``.

    Rows hold the values as of ``index``, so a delta that starts before
    a node's index can be applied as well. ``tables`` is None if
    unchanged, and otherwise holds the rows that changed. ``pools`` is as
    in a snapshot; a view ignores deltas for pools other than its own.
    ``evacuated`` holds all evacuated failure domains, None if unchanged.
    """

    after: int
    index: int
    revision: int
    pools: frozenset[str] | None = None
    tables: TablesDelta | None = None
    keys: tuple[KeyRecord, ...] = ()
    withdrawn: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()
    groups: Mapping[int, WitnessGroup] = field(default_factory=dict)
    quarantine: tuple[CrashReported, ...] = ()
    evacuated: tuple[str, ...] | None = None


FeedMessage = FeedSnapshot | FeedDelta


@dataclass(frozen=True, slots=True)
class Ping:
    """Request of a node for a freshness lease, with its load if it has any.

    ``sent`` is the time on the node's clock. A ping with ``wants_newest`` is
    answered once the control host has confirmed the configuration after
    its receipt.
    """

    sent: datetime
    index: int
    load: NodeLoad | None = None
    wants_newest: bool = False


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a ping, with the ping's ``sent``.

    ``index`` is the committed index of the control host's last read-index
    confirmation. ``age`` is the time from the start of that confirmation
    round to the receipt of the ping, zero if the round started later, so
    that the index was the newest one at ``sent - age``. ``load`` is that of
    the nodes of the control host, None if there is nothing to say.
    """

    sent: datetime
    index: int
    age: timedelta
    load: DomainLoad | None = None


FEED_TYPES: Final = (FeedSnapshot, FeedDelta, Ping, Pong)


@dataclass(frozen=True, slots=True)
class _ChangeRecord:
    """Rows that a log entry changed."""

    after: int
    index: int
    tables: ChangedRows | None
    keys: frozenset[str]
    members: frozenset[str]
    shards: frozenset[int]
    crashes: tuple[CrashReported, ...]
    # Pools that routes began to use; their members are new to nodes that
    # follow the pools of all routes.
    added_pools: frozenset[str]
    evacuations_changed: bool = False

    def count_rows(self) -> int:
        """Return the number of rows that are named in this record."""
        return (
            (self.tables.count_rows() if self.tables is not None else 0)
            + len(self.keys)
            + len(self.members)
            + len(self.shards)
            + len(self.crashes)
        )


@dataclass(slots=True)
class _Subscriber:
    pools: frozenset[str] | None
    # Log index that the node reaches with the messages sent so far.
    index: int
    # Whether the next message must be a snapshot. It is sent once this
    # host has reached the node's index.
    snapshot_due: bool = False


def collect_route_pools(tables: Tables) -> frozenset[str]:
    """Return the pools used by routes, all parts of a split included."""
    return frozenset(
        pool for route in tables.routes.values() for pool in route.pools
    )


def collect_witnesses(groups: Iterable[WitnessGroup]) -> frozenset[str]:
    """Return the names of all witnesses of the groups."""
    return frozenset(name for group in groups for name in group.witnesses)


class FeedSource:
    """Control host's side of the feed; selects what each node is sent."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._subscribers: dict[str, _Subscriber] = {}
        self._change_records: deque[_ChangeRecord] = deque()
        self._changed_row_count = 0
        self._save_baseline()

    def subscribe(
        self,
        node: str,
        index: int,
        pools: frozenset[str] | None,
        *,
        has_pool_members: bool = True,
    ) -> FeedMessage | None:
        """Register a node and return the message that updates it, if any.

        ``pools`` None means the pools of all routes. ``has_pool_members``
        tells whether the node's view holds the members of those pools; if
        not, the node needs a snapshot. Return None if the node is up to
        date, or if this host lags behind it; a node that is ahead of the
        host gets its messages from ``publish`` later.
        """
        # A node at index 0 has no state yet.
        needs_snapshot = index == 0 or not has_pool_members
        subscriber = _Subscriber(pools, index, snapshot_due=needs_snapshot)
        self._subscribers[node] = subscriber
        if self._state.index < index:
            return None
        if not needs_snapshot and self._state.index == index:
            return None
        return self._build_update(subscriber)

    def unsubscribe(self, node: str) -> None:
        """Remove a node."""
        self._subscribers.pop(node, None)

    def publish(
        self,
        index: int,
        command: Command,
    ) -> tuple[tuple[str, FeedMessage], ...]:
        """Return the messages for a command just applied to the state.

        Each is paired with the name of the node that it goes to.
        """
        record = self._build_change_record(index, command)
        self._add_change_record(record)
        self._save_baseline()
        messages: list[tuple[str, FeedMessage]] = []
        cache: dict[tuple[frozenset[str] | None, int], FeedMessage] = {}
        for name, subscriber in self._subscribers.items():
            if subscriber.snapshot_due and subscriber.index <= index:
                messages.append((name, self._build_update(subscriber)))
            elif subscriber.index < index:
                # Most nodes have the same index and the same pools, so
                # that they can share a message.
                cache_key = (subscriber.pools, subscriber.index)
                if cache_key not in cache:
                    cache[cache_key] = self._build_update(subscriber)
                subscriber.index = index
                messages.append((name, cache[cache_key]))
        return tuple(messages)

    def replace_state(self, state: FleetState) -> None:
        """Continue with a state that was loaded from a snapshot.

        The log entries between the old state and the new one are unknown,
        so nodes behind the new index get snapshots.
        """
        self._state = state
        self._change_records.clear()
        self._changed_row_count = 0
        self._save_baseline()

    def _add_change_record(self, record: _ChangeRecord) -> None:
        """Append a record; remove the oldest ones beyond the limits."""
        records = self._change_records
        records.append(record)
        self._changed_row_count += record.count_rows()
        while (
            len(records) > CHANGE_RECORDS_MAX
            or self._changed_row_count > CHANGED_ROWS_MAX
        ):
            self._changed_row_count -= records.popleft().count_rows()

    def _save_baseline(self) -> None:
        """Save the state that the next command's effect is compared with."""
        state = self._state
        self._baseline_index = state.index
        self._baseline_tables = state.tables
        self._baseline_keys = state.keys
        self._baseline_members = state.members
        self._baseline_groups = state.groups
        self._baseline_evacuated = state.evacuated_domains

    def _build_change_record(
        self, index: int, command: Command
    ) -> _ChangeRecord:
        """Return the rows that the command changed."""
        state = self._state
        shards: frozenset[int] = frozenset()
        if state.groups is not self._baseline_groups:
            shards = frozenset(
                shard
                for shard, group in state.groups.items()
                if self._baseline_groups.get(shard) != group
            )
        added_pools: frozenset[str] = frozenset()
        if state.tables is not self._baseline_tables:
            added_pools = collect_route_pools(
                state.tables
            ) - collect_route_pools(self._baseline_tables)
        return _ChangeRecord(
            after=self._baseline_index,
            index=index,
            tables=find_changed_rows(self._baseline_tables, state.tables),
            keys=find_changed_keys(self._baseline_keys, state.keys),
            members=find_changed_keys(self._baseline_members, state.members),
            shards=shards,
            crashes=(command,) if isinstance(command, CrashReported) else (),
            added_pools=added_pools,
            evacuations_changed=(
                state.evacuated_domains != self._baseline_evacuated
            ),
        )

    def _build_update(self, subscriber: _Subscriber) -> FeedMessage:
        """Return a delta from the subscriber's index, or a snapshot."""
        records = [
            r for r in self._change_records if r.index > subscriber.index
        ]
        contiguous = bool(records) and records[0].after <= subscriber.index
        if subscriber.snapshot_due or not contiguous:
            subscriber.snapshot_due = False
            message: FeedMessage = self._build_snapshot(subscriber.pools)
        else:
            message = self._build_delta(subscriber, records)
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
            members=self._select_members(pools, state.members),
            groups=dict(state.groups),
            quarantine=state.quarantine,
            evacuated=state.evacuated_domains,
        )

    def _build_delta(
        self,
        subscriber: _Subscriber,
        records: list[_ChangeRecord],
    ) -> FeedDelta:
        state = self._state
        keys = frozenset[str]().union(*(r.keys for r in records))
        changed_members = frozenset[str]().union(*(r.members for r in records))
        shards = frozenset[int]().union(*(r.shards for r in records))
        groups = {shard: state.groups[shard] for shard in sorted(shards)}
        candidates = changed_members | collect_witnesses(groups.values())
        if subscriber.pools is None:
            added_pools = frozenset[str]().union(
                *(r.added_pools for r in records)
            )
            candidates |= self._find_members_in_pools(added_pools)
        return FeedDelta(
            after=subscriber.index,
            index=state.index,
            revision=state.revision,
            pools=subscriber.pools,
            tables=self._build_tables_delta(records),
            keys=tuple(state.keys[k] for k in keys if k in state.keys),
            withdrawn=tuple(k for k in keys if k not in state.keys),
            members=self._select_members(subscriber.pools, candidates),
            left=self._find_removed(subscriber.pools, changed_members),
            groups=groups,
            quarantine=tuple(c for r in records for c in r.crashes),
            evacuated=state.evacuated_domains
            if any(r.evacuations_changed for r in records)
            else None,
        )

    def _build_tables_delta(
        self, records: list[_ChangeRecord]
    ) -> TablesDelta | None:
        changes = [r.tables for r in records if r.tables is not None]
        if not changes:
            return None
        return build_tables_delta(self._state.tables, merge_changes(changes))

    def _find_members_in_pools(self, pools: frozenset[str]) -> frozenset[str]:
        members = self._state.members.values()
        return frozenset(m.name for m in members if m.pool in pools)

    def _select_members(
        self,
        pools: frozenset[str] | None,
        names: Iterable[str],
    ) -> tuple[Member, ...]:
        """Return those of the named members that a node needs."""
        state = self._state
        followed_pools = (
            collect_route_pools(state.tables) if pools is None else pools
        )
        witnesses = collect_witnesses(state.groups.values())
        candidates = (state.members.get(name) for name in names)
        return tuple(
            member
            for member in candidates
            if member is not None
            and (member.pool in followed_pools or member.name in witnesses)
        )

    def _find_removed(
        self,
        pools: frozenset[str] | None,
        names: frozenset[str],
    ) -> tuple[str, ...]:
        """Return the changed members that the node no longer needs.

        A member that moved to a pool that the node doesn't follow is
        removed from its view as well.
        """
        needed = {member.name for member in self._select_members(pools, names)}
        return tuple(sorted(names - needed))


class NodeView:
    """A node's copy of the fleet's state, and how long it is fresh."""

    def __init__(self) -> None:
        self.index = 0
        self.revision = 0
        # Pools whose members the view follows, or None for the pools of
        # all routes, and whether the view holds their members yet.
        self.pools: frozenset[str] | None = None
        self.has_pool_members = False
        self.tables = Tables()
        self.keyring = Keyring(())
        self.members: Mapping[str, Member] = MappingProxyType({})
        self.groups: Mapping[int, WitnessGroup] = MappingProxyType({})
        self.quarantine: tuple[CrashReported, ...] = ()
        self.evacuated_domains: tuple[str, ...] = ()
        self._keys: dict[str, KeyRecord] = {}
        # Time of the last change of the index, on the node's clock.
        self.updated_at: datetime | None = None
        # End of the lease, on the node's clock.
        self.fresh_until: datetime | None = None
        # Latest time at which the view is known to have been the newest one.
        self.confirmed_at: datetime | None = None
        self._pending_pongs: list[Pong] = []
        self._pending_deltas: dict[int, FeedDelta] = {}

    def follow_pools(self, pools: frozenset[str] | None) -> None:
        """Change the pools; the caller must resubscribe for their members."""
        if pools != self.pools:
            self.pools = pools
            self.has_pool_members = False
            self._pending_deltas.clear()

    def apply(self, now: datetime, message: FeedMessage) -> bool:
        """Apply a snapshot or delta; return False if a resync is needed.

        Repeated and older messages have no effect. A delta that follows
        a gap is held until the missing deltas have arrived.
        """
        previous_index = self.index
        if message.pools != self.pools:
            # Sent before the pools changed.
            return True
        if isinstance(message, FeedSnapshot):
            if message.index >= self.index:
                self._load_snapshot(message)
        elif message.index > self.index:
            self._pending_deltas[message.index] = message
            if len(self._pending_deltas) > PENDING_DELTAS_MAX:
                del self._pending_deltas[max(self._pending_deltas)]
        self._apply_pending_deltas()
        self._apply_pending_pongs()
        if self.index > previous_index:
            self.updated_at = now
        return not self._pending_deltas

    def build_ping(self, now: datetime, load: NodeLoad | None = None) -> Ping:
        """Return a ping that requests the next lease."""
        return Ping(now, self.index, load)

    def receive_pong(self, now: datetime, pong: Pong) -> None:
        """Accept a pong; its lease starts to count once its index is applied.

        Pongs with a ping from the future or a negative age are ignored.
        """
        if pong.sent > now or pong.age < timedelta(0):
            return
        self._pending_pongs.append(pong)
        if len(self._pending_pongs) > PENDING_PONGS_MAX:
            del self._pending_pongs[0]
        self._apply_pending_pongs()

    def is_fresh(self, now: datetime) -> bool:
        """Return whether the lease allows requests with a key to be served."""
        return self.fresh_until is not None and now < self.fresh_until

    def _apply_pending_pongs(self) -> None:
        pending = []
        for pong in self._pending_pongs:
            if pong.index > self.index:
                pending.append(pong)
                continue
            confirmed_at = pong.sent - pong.age * AGE_DRIFT_FACTOR
            if self.confirmed_at is None or confirmed_at > self.confirmed_at:
                self.confirmed_at = confirmed_at
                self.fresh_until = confirmed_at + NODE_LEASE_DURATION
        self._pending_pongs = pending

    def _apply_pending_deltas(self) -> None:
        for index in sorted(self._pending_deltas):
            delta = self._pending_deltas[index]
            if index <= self.index:
                del self._pending_deltas[index]
            elif self.has_pool_members and delta.after <= self.index:
                del self._pending_deltas[index]
                self._merge_delta(delta)

    def _load_snapshot(self, snapshot: FeedSnapshot) -> None:
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
        self.evacuated_domains = snapshot.evacuated

    def _merge_delta(self, delta: FeedDelta) -> None:
        self.index = delta.index
        self.revision = delta.revision
        if delta.tables is not None:
            self.tables = apply_tables_delta(self.tables, delta.tables)
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
        if delta.evacuated is not None:
            self.evacuated_domains = delta.evacuated
        if delta.members or delta.left:
            # The replicated log has decided which incarnation is current,
            # so rows are taken without comparing incarnations.
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
        """Remove members that deltas will no longer update."""
        pools = self.pools
        followed_pools = (
            collect_route_pools(self.tables) if pools is None else pools
        )
        witnesses = collect_witnesses(self.groups.values())
        self.members = MappingProxyType(
            {
                name: member
                for name, member in self.members.items()
                if member.pool in followed_pools or name in witnesses
            },
        )
