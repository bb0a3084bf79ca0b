"""Simulated fleet of quota spenders and owners on an unreliable network.

Events are scheduled in true time, in microseconds. Each process has its
own clock, which may drift from true time.
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
_PPM_SCALE: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class SkewedClock:
    """A clock with an initial offset and a drift in parts per million."""

    ppm: int = 0
    offset_us: int = 0

    def read(self, true_us: int) -> datetime:
        """Return the clock's time at a true time in microseconds."""
        return EPOCH + timedelta(microseconds=self.read_us(true_us))

    def read_us(self, true_us: int) -> int:
        """Return the clock's time in microseconds at a true time."""
        elapsed = true_us * (_PPM_SCALE + self.ppm) // _PPM_SCALE
        return self.offset_us + elapsed

    def invert(self, when: datetime) -> int:
        """Return the first true time at which the clock reads ``when``."""
        local = (when - EPOCH) // timedelta(microseconds=1) - self.offset_us
        return -(-local * _PPM_SCALE // (_PPM_SCALE + self.ppm))


@dataclass(slots=True)
class Network:
    """Delays in microseconds and rates of lost and duplicate messages."""

    delay: int = 1500
    jitter: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    # Nodes without any connection to the owner, and nodes that receive its
    # messages but can't send to it.
    partitioned: set[str] = field(default_factory=set)
    send_blocked: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _OwnerTerm:
    owner: QuotaOwner
    clock: SkewedClock
    started_at: int
    # A former leader answers until its lease has ended.
    ends_at: int | None = None


@dataclass(slots=True)
class _Node:
    spender: QuotaSpender
    clock: SkewedClock
    incarnation: int = 0
    due_at: int | None = None


@dataclass(slots=True)
class Outcome:
    """Result of a request; times are true times in microseconds."""

    arrived_at: int
    decided_at: int | None = None
    admitted: bool = False
    inside: bool | None = None


class QuotaFleet:
    """Nodes, quota owners and their network, for one workspace."""

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
        # Upper bound of the tokens that each ask requests beyond its need.
        self.extra_demand_max = 0
        # Rate and burst with the true times from which they apply.
        self.workspace_edits: list[tuple[int, Workspace]] = [(0, workspace)]
        self._workspace = workspace
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0
        self._owners: list[_OwnerTerm] = []
        self._nodes = {
            name: _Node(QuotaSpender(name, 0), clock)
            for name, clock in clocks.items()
        }
        self.start_owner(owner_clock or SkewedClock())

    def schedule_at(self, when: int, event: Callable[[], None]) -> None:
        """Schedule an event at a true time."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, event))

    def run(self, until: int) -> None:
        """Run all events up to a true time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def start_owner(self, clock: SkewedClock, overlap: int = 0) -> None:
        """Start a new owner; the old one answers for ``overlap`` longer."""
        for old in self._owners:
            if old.ends_at is None:
                old.ends_at = self.now + overlap
        rows = {self._workspace.name: self._workspace}
        term = len(self._owners) + 1
        owner = QuotaOwner(clock.read(self.now), term, rows)
        self._owners.append(_OwnerTerm(owner, clock, self.now))

    def list_terms(self) -> list[tuple[int, int, SkewedClock]]:
        """Return the start, end and clock of each owner's term."""
        return [
            (
                owner.started_at,
                sys.maxsize if owner.ends_at is None else owner.ends_at,
                owner.clock,
            )
            for owner in self._owners
        ]

    def edit(self, workspace: Workspace) -> None:
        """Change rate and burst.

        A new leader commits nothing before the old one's lease has
        ended, so the edit is delayed until the old owner stops answering.
        """
        lease_end = max((owner.ends_at or 0) for owner in self._owners)
        if lease_end > self.now:
            self.schedule_at(lease_end, lambda: self.edit(workspace))
            return
        self._workspace = workspace
        self.workspace_edits.append((self.now, workspace))
        current = self._owners[-1]
        now = current.clock.read(self.now)
        current.owner.configure(now, {workspace.name: workspace})

    def restart(self, name: str) -> None:
        """Restart a node, which loses its queued requests."""
        node = self._nodes[name]
        node.incarnation += 1
        node.spender = QuotaSpender(name, node.incarnation)

    def request(self, name: str) -> None:
        """Submit a root request at an entry node."""
        node = self._nodes[name]
        request_id = len(self.outcomes)
        self.outcomes.append(Outcome(self.now))
        now = node.clock.read(self.now)
        workspace = self._workspace.name
        actions = node.spender.request(now, workspace, request_id)
        self._perform_all(name, actions)

    def _tick(self, name: str, incarnation: int) -> None:
        node = self._nodes[name]
        if node.due_at != self.now or node.incarnation != incarnation:
            return
        node.due_at = None
        actions = node.spender.tick(node.clock.read(self.now))
        self._perform_all(name, actions)

    def _perform_all(
        self, name: str, actions: tuple[QuotaAction, ...]
    ) -> None:
        for action in actions:
            self._perform(action, name)
        node = self._nodes[name]
        due_at = node.spender.next_due()
        if due_at is None:
            return
        when = max(self.now + 1, node.clock.invert(due_at))
        if node.due_at is None or when < node.due_at or node.due_at < self.now:
            node.due_at = when
            incarnation = node.incarnation
            self.schedule_at(when, lambda: self._tick(name, incarnation))

    @singledispatchmethod
    def _perform(self, action: QuotaAction, name: str) -> None:
        raise TypeError(f"unknown action {action} of {name}")

    @_perform.register
    def _perform_admit(self, action: Admit, name: str) -> None:
        del name
        outcome = self.outcomes[action.request_id]
        assert outcome.decided_at is None
        outcome.decided_at, outcome.admitted = self.now, True
        self.spent.append(self.now)

    @_perform.register
    def _perform_refuse(self, action: RefuseQuota, name: str) -> None:
        del name
        outcome = self.outcomes[action.request_id]
        assert outcome.decided_at is None
        outcome.decided_at, outcome.inside = self.now, action.inside_rate

    @_perform.register
    def _perform_ask(self, action: SendAsk, name: str) -> None:
        extra = self.rng.randint(0, self.extra_demand_max)
        ask = replace(action.ask, want=action.ask.want + extra)
        self._send(name, lambda: self._answer_ask(name, ask), to_owner=True)

    @_perform.register
    def _perform_settle(self, action: SendSettle, name: str) -> None:
        settle = action.settle
        self._send(name, lambda: self._receive_settle(settle), to_owner=True)

    def _send(
        self, name: str, event: Callable[[], None], *, to_owner: bool
    ) -> None:
        self.messages += 1
        network = self.network
        unreachable = name in network.partitioned or (
            to_owner and name in network.send_blocked
        )
        if unreachable or self.rng.random() < network.loss:
            return
        for _ in range(1 + (self.rng.random() < network.duplication)):
            delay = network.delay + self.rng.randint(0, network.jitter)
            self.schedule_at(self.now + delay, event)

    def _list_answering_owners(self) -> list[_OwnerTerm]:
        """Return the owners that still answer, newest last."""
        return [
            owner
            for owner in self._owners
            if owner.ends_at is None or owner.ends_at > self.now
        ]

    def _answer_ask(self, name: str, ask: QuotaAsk) -> None:
        owner = self.rng.choice(self._list_answering_owners())
        grant = owner.owner.ask(owner.clock.read(self.now), ask)
        self._send(
            name, lambda: self._receive_grant(name, grant), to_owner=False
        )

    def _receive_settle(self, settle: QuotaSettle) -> None:
        for owner in self._list_answering_owners():
            owner.owner.settle(owner.clock.read(self.now), settle)

    def _receive_grant(self, name: str, grant: QuotaGrant) -> None:
        node = self._nodes[name]
        actions = node.spender.receive(node.clock.read(self.now), grant)
        self._perform_all(name, actions)


class Allowance:
    """Cumulative units that the rate allows, by the owner's clock.

    While a former owner still answers, it refills by its own clock, so
    the faster of the clocks applies.
    """

    def __init__(self, fleet: QuotaFleet) -> None:
        breakpoints = {at for at, _ in fleet.workspace_edits}
        for start, end, _ in fleet.list_terms():
            breakpoints.update((start, end))
        self._breakpoints = sorted(breakpoints)
        self._segments: list[tuple[int, int, SkewedClock, int]] = []
        units = 0
        for breakpoint_us in self._breakpoints:
            row = [
                row for at, row in fleet.workspace_edits if at <= breakpoint_us
            ][-1]
            clocks = [
                c for s, e, c in fleet.list_terms() if s <= breakpoint_us < e
            ]
            clock = max(clocks, key=lambda c: c.ppm, default=SkewedClock())
            if self._segments:
                units = self.compute(breakpoint_us)
            units_per_us = int(row.rate * (UNITS_PER_TOKEN // SECOND))
            self._segments.append(
                (units, clock.read_us(breakpoint_us), clock, units_per_us)
            )

    def compute(self, when: int) -> int:
        """Return the units allowed from the start up to a true time."""
        index = (
            bisect.bisect(self._breakpoints, when, hi=len(self._segments)) - 1
        )
        units, clock_us, clock, units_per_us = self._segments[index]
        return units + (clock.read_us(when) - clock_us) * units_per_us


def measure_overshoot(fleet: QuotaFleet) -> float:
    """Return the maximum of spent - burst - rate * window, in tokens.

    Checks all windows between two spent tokens in exact integers. After
    the burst is lowered, the former burst applies until the grants made
    under it have expired.
    """
    grant_life_us = int(GRANT_TTL.total_seconds() * SECOND * 1.02)
    ends = [at + grant_life_us for at, _ in fleet.workspace_edits[1:]] + [
        sys.maxsize
    ]
    bursts = [
        (at, end, row.burst * UNITS_PER_TOKEN)
        for (at, row), end in zip(fleet.workspace_edits, ends, strict=True)
    ]
    allowance = Allowance(fleet)
    lowest, worst = (
        sys.maxsize * UNITS_PER_TOKEN,
        -sys.maxsize * UNITS_PER_TOKEN,
    )
    for spent_before, when in enumerate(fleet.spent):
        value = spent_before * UNITS_PER_TOKEN - allowance.compute(when)
        burst = max(b for at, end, b in bursts if at <= when < end)
        lowest = min(lowest, value + burst)
        worst = max(worst, value + UNITS_PER_TOKEN - lowest)
    return worst / UNITS_PER_TOKEN


def find_inside_rate(fleet: QuotaFleet, initial_tokens: int) -> list[bool]:
    """Return which requests one exact bucket admits, in arrival order.

    The bucket sees all arrivals without delay and starts with
    ``initial_tokens``.
    """
    allowance = Allowance(fleet)
    units, previous = initial_tokens * UNITS_PER_TOKEN, 0
    admitted = []
    for outcome in fleet.outcomes:
        allowed = allowance.compute(outcome.arrived_at)
        rows = [
            row
            for at, row in fleet.workspace_edits
            if at <= outcome.arrived_at
        ]
        units = min(
            units + allowed - previous, rows[-1].burst * UNITS_PER_TOKEN
        )
        previous = allowed
        admitted.append(units >= UNITS_PER_TOKEN)
        units -= UNITS_PER_TOKEN * admitted[-1]
    return admitted
