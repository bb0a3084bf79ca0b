"""Bounded queue by class, call trees in progress and workspace."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._tables import Importance

LEVELS: Final = 2 * len(Importance)


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a slot.

    ``arrived`` is the time of the offer at this server; the queue's age
    is measured from it. ``begun`` marks nested calls, whose call tree
    has used capacity. ``alone`` marks a request that may crash
    the server; it runs only while nothing else does. ``kind`` groups
    requests of like latency.
    """

    ticket_id: int
    importance: Importance
    workspace: str
    weight: float
    arrived: datetime
    deadline: datetime
    begun: bool
    exclusive: bool = False
    latency_group: str = ""

    @property
    def priority(self) -> int:
        """Return the rank; higher ones start first."""
        return 2 * self.importance + self.begun


@dataclass(slots=True)
class _Flow:
    """Waiting tickets of one workspace at one level."""

    weight: float
    # Virtual time up to which the workspace has been served.
    served: float
    tickets: deque[Ticket] = field(default_factory=deque)


# Tickets that run alone wait in a flow of their own, so that newer
# tickets of the workspace don't overtake them.
_FlowKey = tuple[str, bool]


class _Level:
    """Weighted fair order of the workspaces at one level."""

    def __init__(self) -> None:
        self.flows: dict[_FlowKey, _Flow] = {}
        self._served: dict[_FlowKey, float] = {}
        self._virtual = 0.0
        self._pinned: _FlowKey | None = None

    def push(self, ticket: Ticket) -> None:
        key = (ticket.workspace, ticket.exclusive)
        flow = self.flows.get(key)
        if flow is None:
            served = max(self._served.get(key, 0.0), self._virtual)
            flow = self.flows[key] = _Flow(ticket.weight, served)
        flow.weight = ticket.weight
        flow.tickets.append(ticket)

    def choose(self, *, alone: bool) -> _FlowKey | None:
        """Return the flow to serve next; one that is alone stays.

        Without ``alone``, flows of tickets that run alone are left out.
        """
        if alone and self._pinned in self.flows:
            return self._pinned
        keys = [key for key in self.flows if alone or not key[1]]
        if not keys:
            return None
        key = min(keys, key=lambda k: (self.flows[k].served, k))
        if alone:
            self._pinned = key if key[1] else None
        return key

    def charge(self, key: _FlowKey, weight: float) -> None:
        """Count one start of the workspace."""
        flow = self.flows.get(key)
        served = flow.served if flow else self._served.get(key, 0.0)
        served = max(served, self._virtual)
        self._virtual = served
        self._served[key] = served + 1 / weight
        if flow:
            flow.served = served + 1 / weight
        if self._pinned == key:
            self._pinned = None
        # Workspaces that have fallen behind need no memory.
        if len(self._served) > 2 * len(self.flows) + 64:
            self._served = {
                k: v for k, v in self._served.items() if v > self._virtual
            }

    def drop_flow(self, key: _FlowKey) -> None:
        """Forget a flow without tickets."""
        del self.flows[key]
        if self._pinned == key:
            self._pinned = None


class WaitingQueue:
    """Tickets in the order in which they should start."""

    def __init__(self) -> None:
        self._levels = [_Level() for _ in range(LEVELS)]
        self._tickets: dict[int, Ticket] = {}
        self._counts = [0] * LEVELS
        self._deadlines: list[tuple[datetime, int]] = []
        self._arrivals: deque[Ticket] = deque()

    def __len__(self) -> int:
        return len(self._tickets)

    def __contains__(self, ticket_id: int) -> bool:
        return ticket_id in self._tickets

    @property
    def counts(self) -> list[int]:
        """Return how many tickets of each class wait."""
        counts = self._counts
        return [a + b for a, b in zip(counts[::2], counts[1::2], strict=True)]

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._tickets[ticket.ticket_id] = ticket
        self._counts[ticket.priority] += 1
        self._levels[ticket.priority].push(ticket)
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.ticket_id))
        self._arrivals.append(ticket)

    def peek(
        self,
        *,
        newest: bool = False,
        alone: bool = True,
    ) -> Ticket | None:
        """Return the ticket to start next.

        ``newest`` takes the last one of the workspace instead of the
        first: under lasting overload it alone still has time left.
        Without ``alone``, tickets that run alone are passed over.
        """
        for rank in range(LEVELS - 1, -1, -1):
            if not self._counts[rank]:
                continue
            level = self._levels[rank]
            key = level.choose(alone=alone)
            if key is None:
                continue
            last = newest and not key[1]
            return level.flows[key].tickets[-1 if last else 0]
        return None

    def start(self, ticket: Ticket) -> None:
        """Remove a ticket that starts and charge its workspace."""
        key = (ticket.workspace, ticket.exclusive)
        self._levels[ticket.priority].charge(key, ticket.weight)
        self.remove(ticket.ticket_id)

    def remove(self, ticket_id: int) -> Ticket | None:
        """Remove a ticket that doesn't start here."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            return None
        rank = ticket.priority
        self._counts[rank] -= 1
        level = self._levels[rank]
        key = (ticket.workspace, ticket.exclusive)
        tickets = level.flows[key].tickets
        if tickets[0] is ticket:
            tickets.popleft()
        elif tickets[-1] is ticket:
            tickets.pop()
        else:
            tickets.remove(ticket)
        if not tickets:
            level.drop_flow(key)
        return ticket

    def find_victim(self, *, newest: bool = False) -> Ticket | None:
        """Return the ticket to evict from a queue that is too long.

        It is of the lowest level, of the workspace that waits with most
        tickets for its weight, and the one that would start last.
        """
        for rank in range(LEVELS):
            flows = self._levels[rank].flows
            if not flows:
                continue
            flow = max(
                flows.values(),
                key=lambda f: len(f.tickets) / f.weight,
            )
            return flow.tickets[0 if newest else -1]
        return None

    def expire(self, latest: datetime) -> tuple[Ticket, ...]:
        """Remove and return the tickets with a deadline before it."""
        gone = []
        while self._deadlines and self._deadlines[0][0] < latest:
            _, ticket_id = heapq.heappop(self._deadlines)
            ticket = self.remove(ticket_id)
            if ticket is not None:
                gone.append(ticket)
        if len(self._deadlines) > 2 * len(self._tickets) + 64:
            self._compact()
        return tuple(gone)

    def find_next_deadline(self) -> datetime | None:
        """Return the earliest deadline, perhaps of a ticket that left."""
        return self._deadlines[0][0] if self._deadlines else None

    def measure_age(self, now: datetime) -> timedelta:
        """Return how long the oldest ticket has waited."""
        while self._arrivals:
            if self._arrivals[0].ticket_id in self._tickets:
                return now - self._arrivals[0].arrived
            self._arrivals.popleft()
        return timedelta(0)

    def _compact(self) -> None:
        self._deadlines = [
            entry for entry in self._deadlines if entry[1] in self._tickets
        ]
        heapq.heapify(self._deadlines)
        self._arrivals = deque(
            t for t in self._arrivals if t.ticket_id in self._tickets
        )
