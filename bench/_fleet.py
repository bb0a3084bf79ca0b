"""Simulated fleet of quota spenders and owners on an unreliable network.

Events run in true time, counted in microseconds. Each process has its
own clock, which may run apart from true time.
"""

import bisect
import heapq
import random
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import singledispatchmethod
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._quota import (
    GRANT_TTL,
    UNITS_PER_TOKEN,
    Admit,
    QuotaAction,
    QuotaOwner,
    QuotaSpender,
    RefuseQuota,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._tables import Workspace

SECOND: Final = 1_000_000
_MILLION: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class SkewedClock:
    """A clock that starts at an offset and runs fast by some ppm."""

    ppm: int = 0
    offset_us: int = 0

    def read(self, true_us: int) -> datetime:
        """Return the clock's time at a true time."""
        return EPOCH + timedelta(microseconds=self.read_us(true_us))

    def read_us(self, true_us: int) -> int:
        """Return the clock's time in microseconds."""
        elapsed = true_us * (_MILLION + self.ppm) // _MILLION
        return self.offset_us + elapsed

    def invert(self, when: datetime) -> int:
        """Return the first true time at which the clock shows ``when``."""
        local = (when - EPOCH) // timedelta(microseconds=1) - self.offset_us
        return -(-local * _MILLION // (_MILLION + self.ppm))


@dataclass(slots=True)
class Network:
    """Delay in microseconds and shares of messages that go wrong."""

    delay: int = 1500
    jitter: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    # Nodes that can't reach the owner, and those that only hear it.
    partitioned: set[str] = field(default_factory=set)
    send_blocked: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Owner:
    owner: QuotaOwner
    clock: SkewedClock
    started: int
    # The former leader answers until its lease has ended.
    ends: int | None = None


@dataclass(slots=True)
class _Node:
    spender: QuotaSpender
    clock: SkewedClock
    incarnation: int = 0
    due: int | None = None


@dataclass(slots=True)
class Outcome:
    """What became of a request; times in true microseconds."""

    arrived_at: int
    decided_at: int | None = None
    admitted: bool = False
    inside: bool | None = None


class QuotaFleet:
    """Nodes, owners and the network between them, for one workspace."""

    def __init__(
        self,
        rng: random.Random,
        workspace: Workspace,
        network: Network,
        clocks: Mapping[str, SkewedClock],
        owner_clock: SkewedClock | None = None,
    ) -> None:
        self.rng = rng
        self.network = network
        self.now = 0
        self.outcomes: list[Outcome] = []
        self.spent: list[int] = []
        self.messages = 0
        # Each ask wants up to so many more tokens than the node needs.
        self.extra_demand_max = 0
        # True times of changes to rate and burst.
        self.workspace_edits: list[tuple[int, Workspace]] = [(0, workspace)]
        self._workspace = workspace
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._owners: list[_Owner] = []
        self._nodes = {
            name: _Node(QuotaSpender(name, 0), clock)
            for name, clock in clocks.items()
        }
        self.start_owner(owner_clock or SkewedClock())

    def schedule_at(self, when: int, event: Callable[[], None]) -> None:
        """Run an event at a true time."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, event))

    def run(self, until: int) -> None:
        """Run all events up to a true time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def start_owner(self, clock: SkewedClock, overlap: int = 0) -> None:
        """Start a new owner; the old one answers some time longer."""
        for old in self._owners:
            if old.ends is None:
                old.ends = self.now + overlap
        rows = {self._workspace.name: self._workspace}
        term = len(self._owners) + 1
        owner = QuotaOwner(clock.read(self.now), term, rows)
        self._owners.append(_Owner(owner, clock, self.now))

    def list_terms(self) -> list[tuple[int, int, SkewedClock]]:
        """Return from when until when each owner answers, by which clock."""
        return [
            (
                owner.started,
                sys.maxsize if owner.ends is None else owner.ends,
                owner.clock,
            )
            for owner in self._owners
        ]

    def edit(self, workspace: Workspace) -> None:
        """Change rate and burst.

        A new leader commits nothing before the old one's lease has
        ended, so the edit waits until the old owner is silent.
        """
        former = max((owner.ends or 0) for owner in self._owners)
        if former > self.now:
            self.schedule_at(former, lambda: self.edit(workspace))
            return
        self._workspace = workspace
        self.workspace_edits.append((self.now, workspace))
        current = self._owners[-1]
        now = current.clock.read(self.now)
        current.owner.configure(now, {workspace.name: workspace})

    def restart(self, name: str) -> None:
        """Restart a node; its waiting requests are lost."""
        node = self._nodes[name]
        node.incarnation += 1
        node.spender = QuotaSpender(name, node.incarnation)

    def request(self, name: str) -> None:
        """Let a root request enter at a node."""
        node = self._nodes[name]
        request_id = len(self.outcomes)
        self.outcomes.append(Outcome(self.now))
        now = node.clock.read(self.now)
        workspace = self._workspace.name
        actions = node.spender.request(now, workspace, request_id)
        self._carry_out(name, actions)

    def _tick(self, name: str, incarnation: int) -> None:
        node = self._nodes[name]
        if node.due != self.now or node.incarnation != incarnation:
            return
        node.due = None
        actions = node.spender.tick(node.clock.read(self.now))
        self._carry_out(name, actions)

    def _carry_out(self, name: str, actions: tuple[QuotaAction, ...]) -> None:
        for action in actions:
            self._act(action, name)
        node = self._nodes[name]
        due = node.spender.next_due()
        if due is None:
            return
        when = max(self.now + 1, node.clock.invert(due))
        if node.due is None or when < node.due or node.due < self.now:
            node.due = when
            number = node.incarnation
            self.schedule_at(when, lambda: self._tick(name, number))

    @singledispatchmethod
    def _act(self, action: QuotaAction, name: str) -> None:
        raise TypeError(f"unknown action {action} of {name}")

    @_act.register
    def _act_admit(self, action: Admit, name: str) -> None:
        del name
        outcome = self.outcomes[action.request_id]
        assert outcome.decided_at is None
        outcome.decided_at, outcome.admitted = self.now, True
        self.spent.append(self.now)

    @_act.register
    def _act_refuse(self, action: RefuseQuota, name: str) -> None:
        del name
        outcome = self.outcomes[action.request_id]
        assert outcome.decided_at is None
        outcome.decided_at, outcome.inside = self.now, action.inside_rate

    @_act.register
    def _act_ask(self, action: SendAsk, name: str) -> None:
        more = self.rng.randint(0, self.extra_demand_max)
        ask = replace(action.ask, want=action.ask.want + more)
        self._send(name, lambda: self._answer(name, ask), up=True)

    @_act.register
    def _act_settle(self, action: SendSettle, name: str) -> None:
        settle = action.settle
        self._send(name, lambda: self._take(settle), up=True)

    def _send(self, name: str, event: Callable[[], None], *, up: bool) -> None:
        self.messages += 1
        network = self.network
        unreachable = name in network.partitioned or (
            up and name in network.send_blocked
        )
        if unreachable or self.rng.random() < network.loss:
            return
        for _ in range(1 + (self.rng.random() < network.duplication)):
            delay = network.delay + self.rng.randint(0, network.jitter)
            self.schedule_at(self.now + delay, event)

    def _find_owners(self) -> list[_Owner]:
        """Return the owners that still answer, the newest last."""
        return [
            owner
            for owner in self._owners
            if owner.ends is None or owner.ends > self.now
        ]

    def _answer(self, name: str, ask: QuotaAsk) -> None:
        owner = self.rng.choice(self._find_owners())
        grant = owner.owner.ask(owner.clock.read(self.now), ask)
        self._send(name, lambda: self._receive(name, grant), up=False)

    def _take(self, settle: QuotaSettle) -> None:
        for owner in self._find_owners():
            owner.owner.settle(owner.clock.read(self.now), settle)

    def _receive(self, name: str, grant: QuotaGrant) -> None:
        node = self._nodes[name]
        actions = node.spender.receive(node.clock.read(self.now), grant)
        self._carry_out(name, actions)


class Allowance:
    """Units that the rate allows, by the clock of the owner.

    While a former owner still answers, it refills by its own clock, so
    the faster one counts.
    """

    def __init__(self, fleet: QuotaFleet) -> None:
        marks = {at for at, _ in fleet.workspace_edits}
        for start, end, _ in fleet.list_terms():
            marks.update((start, end))
        self._marks = sorted(marks)
        self._pieces: list[tuple[int, int, SkewedClock, int]] = []
        total = 0
        for mark in self._marks:
            row = [row for at, row in fleet.workspace_edits if at <= mark][-1]
            clocks = [c for s, e, c in fleet.list_terms() if s <= mark < e]
            clock = max(clocks, key=lambda c: c.ppm, default=SkewedClock())
            if self._pieces:
                total = self.compute(mark)
            refill = int(row.rate * (UNITS_PER_TOKEN // SECOND))
            self._pieces.append((total, clock.read_us(mark), clock, refill))

    def compute(self, when: int) -> int:
        """Return the units from the start up to a true time."""
        place = bisect.bisect(self._marks, when, hi=len(self._pieces)) - 1
        total, since, clock, refill = self._pieces[place]
        return total + (clock.read_us(when) - since) * refill


def measure_overshoot(fleet: QuotaFleet) -> float:
    """Return the worst of spent - burst - rate * window, in tokens.

    All windows between two spent tokens are checked, in exact integers;
    after a burst was lowered, grants made before count for their life.
    """
    life = int(GRANT_TTL.total_seconds() * SECOND * 1.02)
    ends = [at + life for at, _ in fleet.workspace_edits[1:]] + [sys.maxsize]
    bursts = [
        (at, end, row.burst * UNITS_PER_TOKEN)
        for (at, row), end in zip(fleet.workspace_edits, ends, strict=True)
    ]
    allowance = Allowance(fleet)
    lowest, worst = (
        sys.maxsize * UNITS_PER_TOKEN,
        -sys.maxsize * UNITS_PER_TOKEN,
    )
    for number, when in enumerate(fleet.spent):
        value = number * UNITS_PER_TOKEN - allowance.compute(when)
        burst = max(b for at, end, b in bursts if at <= when < end)
        lowest = min(lowest, value + burst)
        worst = max(worst, value + UNITS_PER_TOKEN - lowest)
    return worst / UNITS_PER_TOKEN


def find_inside_rate(fleet: QuotaFleet, level: int) -> list[bool]:
    """Return which requests one exact bucket admits, in arrival order.

    The bucket sees all arrivals at once and starts with ``level``.
    """
    allowance = Allowance(fleet)
    units, last = level * UNITS_PER_TOKEN, 0
    inside = []
    for outcome in fleet.outcomes:
        allowed = allowance.compute(outcome.arrived_at)
        rows = [
            row
            for at, row in fleet.workspace_edits
            if at <= outcome.arrived_at
        ]
        units = min(units + allowed - last, rows[-1].burst * UNITS_PER_TOKEN)
        last = allowed
        inside.append(units >= UNITS_PER_TOKEN)
        units -= UNITS_PER_TOKEN * inside[-1]
    return inside
