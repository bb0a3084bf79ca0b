"""Simulated control hosts and nodes for the feed and member leases.

True time in seconds advances in steps of 0.1 s. Each process has its own
clock, and messages are delayed, lost, duplicated and reordered.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import (
    AddKey,
    Command,
    CrashReported,
    EditTables,
    Member,
    MembersChanged,
    MemberState,
    Noop,
    WithdrawKey,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._feed import FeedMessage, FeedSource, NodeView, Pong
from sequoiaseam._keyring import compute_digest
from sequoiaseam._members import MemberRegistry, MemberReport
from sequoiaseam._state import FleetState
from sequoiaseam._tables import KeyRecord, Pool, Route, Tables, Workspace

STEP_S: Final = 0.1
POOLS: Final = ("history", "billing", "geology")
# Pools that nodes subscribe to; None stands for the pools of all routes.
POOL_SUBSCRIPTIONS: Final = (
    None,
    frozenset(("history",)),
    frozenset(("billing",)),
)
TOKEN_COUNT: Final = 4
WORKSPACES: Final = ("coop", "farm")

PendingMessages = list[tuple[float, Callable[[], None]]]


def time_at(seconds: float) -> datetime:
    """Return the time some seconds after the start."""
    return EPOCH + timedelta(seconds=seconds)


def make_member(name: str, incarnation: int, pool: str = "history") -> Member:
    """Return a serving member."""
    return Member(
        name=name,
        incarnation=incarnation,
        host="127.0.0.1",
        port=7001,
        pool=pool,
        domain="domain-1",
        region="south",
        state=MemberState.SERVING,
    )


def make_key(number: int, workspace: str = "coop") -> KeyRecord:
    """Return the key whose token is ``t`` followed by the number."""
    return KeyRecord(f"k{number}", compute_digest(f"t{number}"), workspace)


def make_tables(pools: Iterable[str], workspaces: Iterable[str]) -> Tables:
    """Return tables with a route for each pool."""
    return Tables(
        routes={p: Route(name=p, path=f"/{p}", pool=p) for p in pools},
        pools={p: Pool(name=p) for p in pools},
        workspaces={w: Workspace(w, 100.0, 200) for w in workspaces},
    )


def make_command(rng: random.Random, number: int, revision: int) -> Command:
    """Return a random command, mostly an edit and sometimes invalid."""
    edit_id = f"e{number}"
    base = rng.choice((revision, revision, revision, revision + 1, 0))
    optional_base = rng.choice((base, None, None))
    rows = [name for name in WORKSPACES if rng.random() < 0.8]
    tables = make_tables(rng.sample(POOLS, 2), rows)
    key = make_key(rng.randrange(TOKEN_COUNT), rng.choice(WORKSPACES))
    name, incarnation = f"m{rng.randrange(5)}", rng.randrange(3)
    member = make_member(name, incarnation, rng.choice(POOLS[:2]))
    group = WitnessGroup(rng.randrange(40), (f"m{rng.randrange(5)}",))
    commands: tuple[Command, ...] = (
        EditTables(edit_id, "ana", base, tables),
        AddKey(edit_id, "ana", optional_base, key),
        AddKey(edit_id, "eva", None, key),
        WithdrawKey(
            edit_id, "ana", optional_base, f"k{rng.randrange(TOKEN_COUNT)}"
        ),
        MembersChanged((member,)),
        MembersChanged((), {name: incarnation}),
        WitnessesAssigned({rng.randrange(2): group}),
        CrashReported(f"c{rng.randrange(99)}", (number,), EPOCH),
        Noop(),
    )
    return rng.choice(commands)


@dataclass(frozen=True, slots=True)
class RatedClock:
    """A clock with an offset in seconds and a rate close to 1."""

    rate: float
    offset: float

    def read(self, seconds: float) -> datetime:
        """Return the clock's time at a true time."""
        return time_at(self.offset + seconds * self.rate)

    def invert(self, when: datetime) -> float:
        """Return the true time at which the clock reads ``when``."""
        return ((when - EPOCH).total_seconds() - self.offset) / self.rate


@dataclass
class FeedHost:
    """A control host that lags behind the log and may be partitioned."""

    clock: RatedClock
    state: FleetState = field(default_factory=FleetState)
    # True time and index of the last read-index confirmation.
    confirmed: tuple[float, int] = (0.0, 0)
    partitioned: bool = False

    def __post_init__(self) -> None:
        self.source = FeedSource(self.state)


@dataclass
class FeedNode:
    """A node that is subscribed to one control host at a time."""

    name: str
    clock: RatedClock
    host: FeedHost
    view: NodeView = field(default_factory=NodeView)


class FeedFleet:
    """Lagging control hosts and the nodes that switch between them."""

    def __init__(self, rng: random.Random) -> None:
        self.now = 0.0
        self.log: list[Command] = []
        # True time of the withdrawal of each currently unknown token.
        self.withdrawn: dict[str, float] = {}
        # Longest time after a key's withdrawal for which a view that
        # still has the key stays fresh if its node receives nothing more.
        self.longest_exposure = 0.0
        self._rng = rng
        self._pending: PendingMessages = []
        self._loss = rng.choice((0.0, 0.2))
        self._reference_state = FleetState()
        self.hosts = [FeedHost(self._make_clock()) for _ in range(3)]
        self.nodes = [
            FeedNode(f"n{i}", self._make_clock(), rng.choice(self.hosts))
            for i in range(2)
        ]

    def step(self) -> None:
        """Advance by one step."""
        self.now += STEP_S
        if self._rng.random() < 0.3:
            number, revision = len(self.log), self._reference_state.revision
            self._commit(make_command(self._rng, number, revision))
        for host in self.hosts:
            self._step_host(host)
        for node in self.nodes:
            self._step_node(node)
        due = [event for at, event in self._pending if at <= self.now]
        self._pending = [m for m in self._pending if m[0] > self.now]
        self._rng.shuffle(due)
        for event in due:
            event()
        for node in self.nodes:
            self._measure_exposure(node)

    def deliver_all(self) -> FleetState:
        """Deliver all messages; return the state that the log produces."""
        self._loss = 0.0
        for node in self.nodes:
            self._apply_log(node.host)
            self._subscribe(node)
        while self._pending:
            self._pending.pop(0)[1]()
        return self._reference_state

    def _make_clock(self) -> RatedClock:
        rate = self._rng.choice((0.99, 1.0, 1.01))
        return RatedClock(rate, self._rng.uniform(0, 1e6))

    def _commit(self, command: Command) -> None:
        self.log.append(command)
        known = set(self._reference_state.keys)
        self._reference_state.apply(len(self.log), command)
        for key_id in known - self._reference_state.keys.keys():
            self.withdrawn[f"t{key_id[1:]}"] = self.now
        for key_id in self._reference_state.keys:
            self.withdrawn.pop(f"t{key_id[1:]}", None)

    def _measure_exposure(self, node: FeedNode) -> None:
        view = node.view
        if view.fresh_until is None:
            return
        stale_at = node.clock.invert(view.fresh_until)
        # A key might be withdrawn right after the latest confirmation.
        last_confirmed = max(host.confirmed[0] for host in self.hosts)
        self.longest_exposure = max(
            self.longest_exposure, stale_at - last_confirmed
        )
        for token, at in self.withdrawn.items():
            if view.keyring.identify(token) is not None:
                self.longest_exposure = max(
                    self.longest_exposure, stale_at - at
                )

    def _deliver_unreliably(self, event: Callable[[], None]) -> None:
        """Schedule an event that may be delayed, duplicated or lost."""
        for _ in range(self._rng.choice((1, 1, 1, 2))):
            if self._rng.random() >= self._loss:
                delay = self._rng.choice((0.0, 0.01, 0.2, 1.5))
                self._pending.append((self.now + delay, event))

    def _send(self, node: FeedNode, message: FeedMessage | None) -> None:
        if message is not None:
            self._deliver_unreliably(lambda: self._deliver(node, message))

    def _deliver(self, node: FeedNode, message: FeedMessage) -> None:
        if not node.view.apply(node.clock.read(self.now), message):
            self._subscribe(node)

    def _subscribe(self, node: FeedNode) -> None:
        view = node.view
        answer = node.host.source.subscribe(
            node.name,
            view.index,
            view.pools,
            has_pool_members=view.has_pool_members,
        )
        self._send(node, answer)

    def _step_host(self, host: FeedHost) -> None:
        if self._rng.random() < 0.03:
            host.partitioned = not host.partitioned
        if host.partitioned:
            return
        if self._rng.random() < 0.5:
            host.confirmed = (self.now, len(self.log))
        if self._rng.random() < 0.5:
            self._apply_log(host)

    def _apply_log(self, host: FeedHost) -> None:
        nodes = {node.name: node for node in self.nodes}
        for command in self.log[host.state.index :]:
            index = host.state.index + 1
            host.state.apply(index, command)
            for name, message in host.source.publish(index, command):
                if nodes[name].host is host:
                    self._send(nodes[name], message)

    def _step_node(self, node: FeedNode) -> None:
        rng = self._rng
        if rng.random() < 0.1:
            node.host.source.unsubscribe(node.name)
            node.host = rng.choice(self.hosts)
            node.view.follow_pools(
                rng.choice((*POOL_SUBSCRIPTIONS, node.view.pools))
            )
            self._subscribe(node)
        if rng.random() < 0.02:
            node.view = NodeView()
            self._subscribe(node)
        if rng.random() < 0.3:
            host, view = node.host, node.view
            sent = view.build_ping(node.clock.read(self.now)).sent
            self._deliver_unreliably(
                lambda: self._answer_ping(node, view, host, sent)
            )

    def _answer_ping(
        self,
        node: FeedNode,
        view: NodeView,
        host: FeedHost,
        sent: datetime,
    ) -> None:
        at, index = host.confirmed
        age = host.clock.read(self.now) - host.clock.read(at)
        pong = Pong(sent, index, age)
        self._deliver_unreliably(
            lambda: view.receive_pong(node.clock.read(self.now), pong)
        )


class LeaseFleet:
    """Nodes that fail and restart, and a leader that may change.

    A live node's reports arrive at most 2 s apart. Proposals may be lost,
    but no two of them within 5 s.
    """

    def __init__(self, rng: random.Random) -> None:
        self.now = 0.0
        self.members: dict[str, Member] = {}
        # True times at which the failed nodes failed and the leader started.
        self.failed_at: dict[str, float] = {}
        self.leading_since = 0.0
        self._rng = rng
        self._registry = MemberRegistry(EPOCH)
        self._incarnations = dict.fromkeys("abcd", 1)
        self._reported_at = dict.fromkeys("abcd", 0.0)
        self._pending: list[tuple[float, MemberReport]] = []
        self._pending_commits: list[tuple[float, MembersChanged]] = []
        self._proposal_lost_at = 0.0

    def step(self) -> list[MembersChanged]:
        """Advance by one step; return the commands committed in it."""
        self.now += STEP_S
        for name in self._incarnations:
            self._step_node(name)
        self._step_leader()
        due = [
            command for at, command in self._pending_commits if at <= self.now
        ]
        self._pending_commits = [
            c for c in self._pending_commits if c[0] > self.now
        ]
        return due

    def is_live(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation of a node is running."""
        is_current = self._incarnations[name] == incarnation
        return is_current and name not in self.failed_at

    def _step_node(self, name: str) -> None:
        rng = self._rng
        if rng.random() < 0.01:
            if self.failed_at.pop(name, None) is None:
                self.failed_at[name] = self.now
                return
            self._incarnations[name] += 1
            self._reported_at[name] = 0.0
        if name in self.failed_at:
            return
        if rng.random() < 0.2 or self.now >= self._reported_at[name] + 1.9:
            self._reported_at[name] = self.now
            report = MemberReport(make_member(name, self._incarnations[name]))
            duplicate_at = self.now + rng.random() / 2
            self._pending += [(self.now, report), (duplicate_at, report)]

    def _step_leader(self) -> None:
        rng, now = self._rng, time_at(self.now)
        due = [report for at, report in self._pending if at <= self.now]
        self._pending = [m for m in self._pending if m[0] > self.now]
        rng.shuffle(due)
        proposed = self._registry.process_reports(now, tuple(due))
        proposed += self._registry.tick(now, self.members)
        if rng.random() < 0.02:
            self.leading_since = self.now
            self._registry.start_leading(now, self.members)
        for command in proposed:
            assert isinstance(command, MembersChanged)
            if self.now - self._proposal_lost_at > 5 and rng.random() < 0.1:
                self._proposal_lost_at = self.now
            else:
                self._pending_commits.append((self.now + STEP_S, command))
