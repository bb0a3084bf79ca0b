"""Priority queue of tickets with weighted fair queueing by workspace."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._tables import Importance

PRIORITY_COUNT: Final = 2 * len(Importance)


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a slot.

    ``arrived`` is when the ticket was offered to this server; its time
    in the queue is measured from then. ``begun`` marks a nested call,
    whose call tree has already used capacity. ``exclusive`` marks a
    request that may crash the server; it runs only while no other
    request does. ``latency_group`` groups requests of similar latency.
    ``deadline`` is when the response must be complete. ``start_by`` is
    how long the ticket may wait, so that a refusal isn't late.
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
    start_by: datetime | None = None

    @property
    def priority(self) -> int:
        """Return the queue priority; higher values start first."""
        return 2 * self.importance + self.begun


@dataclass(slots=True)
class _Flow:
    """Waiting tickets of one workspace at one priority."""

    weight: float
    # Virtual start time of the flow's next ticket.
    start_tag: float
    tickets: deque[Ticket] = field(default_factory=deque)


# Workspace and exclusiveness. Exclusive tickets have a flow of their own
# so that newer tickets of the workspace don't overtake them.
_FlowKey = tuple[str, bool]


class _FairQueue:
    """Start-time fair queueing of the workspaces at one priority."""

    def __init__(self) -> None:
        self.flows: dict[_FlowKey, _Flow] = {}
        self._finish_tags: dict[_FlowKey, float] = {}
        self._virtual_time = 0.0
        self._pinned_flow: _FlowKey | None = None

    def push(self, ticket: Ticket) -> None:
        key = (ticket.workspace, ticket.exclusive)
        flow = self.flows.get(key)
        if flow is None:
            start_tag = max(
                self._finish_tags.get(key, 0.0), self._virtual_time
            )
            flow = self.flows[key] = _Flow(ticket.weight, start_tag)
        flow.weight = ticket.weight
        flow.tickets.append(ticket)

    def select_flow(self, *, allow_exclusive: bool) -> _FlowKey | None:
        """Return the key of the flow to serve next.

        An exclusive flow stays selected until it is served. Without
        ``allow_exclusive``, exclusive flows are skipped.
        """
        if allow_exclusive and self._pinned_flow in self.flows:
            return self._pinned_flow
        keys = [key for key in self.flows if allow_exclusive or not key[1]]
        if not keys:
            return None
        key = min(keys, key=lambda k: (self.flows[k].start_tag, k))
        if allow_exclusive:
            self._pinned_flow = key if key[1] else None
        return key

    def charge(self, key: _FlowKey, weight: float) -> None:
        """Advance the virtual time and the flow's tags by one start."""
        flow = self.flows.get(key)
        start_tag = flow.start_tag if flow else self._finish_tags.get(key, 0.0)
        start_tag = max(start_tag, self._virtual_time)
        self._virtual_time = start_tag
        self._finish_tags[key] = start_tag + 1 / weight
        if flow:
            flow.start_tag = start_tag + 1 / weight
        if self._pinned_flow == key:
            self._pinned_flow = None
        # Finish tags up to the virtual time no longer affect the order.
        if len(self._finish_tags) > 2 * len(self.flows) + 64:
            self._finish_tags = {
                k: v
                for k, v in self._finish_tags.items()
                if v > self._virtual_time
            }

    def drop_flow(self, key: _FlowKey) -> None:
        """Remove a flow without tickets."""
        del self.flows[key]
        if self._pinned_flow == key:
            self._pinned_flow = None


class AdmissionQueue:
    """Tickets that wait for a slot, ordered by priority and fair share."""

    def __init__(self) -> None:
        self._fair_queues = [_FairQueue() for _ in range(PRIORITY_COUNT)]
        self._tickets: dict[int, Ticket] = {}
        self._counts_by_priority = [0] * PRIORITY_COUNT
        # By latency group, because how long before its deadline a ticket
        # must start depends on its group.
        self._deadline_heaps: dict[str, list[tuple[datetime, int]]] = {}
        self._start_by_heap: list[tuple[datetime, int]] = []
        self._arrival_order: deque[Ticket] = deque()

    def __len__(self) -> int:
        return len(self._tickets)

    def __contains__(self, ticket_id: int) -> bool:
        return ticket_id in self._tickets

    @property
    def counts_by_importance(self) -> list[int]:
        """Return the number of waiting tickets per importance."""
        counts = self._counts_by_priority
        return [a + b for a, b in zip(counts[::2], counts[1::2], strict=True)]

    def push(self, ticket: Ticket) -> None:
        """Add a ticket to the flow of its workspace."""
        self._tickets[ticket.ticket_id] = ticket
        self._counts_by_priority[ticket.priority] += 1
        self._fair_queues[ticket.priority].push(ticket)
        heap = self._deadline_heaps.setdefault(ticket.latency_group, [])
        heapq.heappush(heap, (ticket.deadline, ticket.ticket_id))
        if ticket.start_by is not None:
            heapq.heappush(
                self._start_by_heap, (ticket.start_by, ticket.ticket_id)
            )
        self._arrival_order.append(ticket)

    def peek(
        self,
        *,
        newest_first: bool = False,
        allow_exclusive: bool = True,
    ) -> Ticket | None:
        """Return the ticket to start next.

        ``newest_first`` selects the newest ticket of the workspace
        instead of the oldest, because under sustained overload only the
        newest ones can still meet their deadlines. Without
        ``allow_exclusive``, exclusive tickets are skipped.
        """
        for priority in range(PRIORITY_COUNT - 1, -1, -1):
            if not self._counts_by_priority[priority]:
                continue
            fair_queue = self._fair_queues[priority]
            key = fair_queue.select_flow(allow_exclusive=allow_exclusive)
            if key is None:
                continue
            take_newest = newest_first and not key[1]
            return fair_queue.flows[key].tickets[-1 if take_newest else 0]
        return None

    def dequeue(self, ticket: Ticket) -> None:
        """Remove a ticket that starts and charge its flow for it."""
        key = (ticket.workspace, ticket.exclusive)
        self._fair_queues[ticket.priority].charge(key, ticket.weight)
        self.remove(ticket.ticket_id)

    def remove(self, ticket_id: int) -> Ticket | None:
        """Remove a ticket without charging its flow; return it if found."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            return None
        priority = ticket.priority
        self._counts_by_priority[priority] -= 1
        fair_queue = self._fair_queues[priority]
        key = (ticket.workspace, ticket.exclusive)
        tickets = fair_queue.flows[key].tickets
        if tickets[0] is ticket:
            tickets.popleft()
        elif tickets[-1] is ticket:
            tickets.pop()
        else:
            tickets.remove(ticket)
        if not tickets:
            fair_queue.drop_flow(key)
        return ticket

    def list_by_priority(self) -> list[Ticket]:
        """Return the waiting tickets, the highest priority first.

        Those of one priority are in the order of their arrival.
        """
        return sorted(
            self._tickets.values(), key=lambda ticket: -ticket.priority
        )

    def find_victim(self, *, newest_first: bool = False) -> Ticket | None:
        """Return the ticket to evict when the queue is full.

        It has the lowest priority, belongs to the flow with the most
        waiting tickets relative to its weight, and is the one of them
        that would start last.
        """
        for priority in range(PRIORITY_COUNT):
            flows = self._fair_queues[priority].flows
            if not flows:
                continue
            flow = max(
                flows.values(),
                key=lambda f: len(f.tickets) / f.weight,
            )
            return flow.tickets[0 if newest_first else -1]
        return None

    def expire(
        self, now: datetime, get_service_time: Callable[[str], timedelta]
    ) -> tuple[Ticket, ...]:
        """Remove and return the tickets that it is too late to start.

        They have waited for as long as they may, or can't end by their
        deadlines. ``get_service_time`` returns the expected service time
        of a latency group.
        """
        expired = self._pop_before(self._start_by_heap, now)
        for latency_group, heap in list(self._deadline_heaps.items()):
            expired += self._pop_before(
                heap, now + get_service_time(latency_group)
            )
            if not heap:
                del self._deadline_heaps[latency_group]
        heap_size = sum(map(len, self._deadline_heaps.values()))
        if heap_size > 2 * len(self._tickets) + 64:
            self._compact()
        return tuple(expired)

    def _pop_before(
        self, heap: list[tuple[datetime, int]], limit: datetime
    ) -> list[Ticket]:
        """Remove and return the tickets of a heap that are due earlier."""
        popped = []
        while heap and heap[0][0] < limit:
            _, ticket_id = heapq.heappop(heap)
            ticket = self.remove(ticket_id)
            if ticket is not None:
                popped.append(ticket)
        return popped

    def find_next_expiry(
        self, get_service_time: Callable[[str], timedelta]
    ) -> datetime | None:
        """Return when the next ticket becomes too late, None without any.

        It may be a ticket that has already left the queue.
        """
        expiries = [
            heap[0][0] - get_service_time(latency_group)
            for latency_group, heap in self._deadline_heaps.items()
            if heap
        ]
        if self._start_by_heap:
            expiries.append(self._start_by_heap[0][0])
        return min(expiries, default=None)

    def measure_oldest_wait(self, now: datetime) -> timedelta:
        """Return how long the oldest ticket in the queue has waited."""
        while self._arrival_order:
            if self._arrival_order[0].ticket_id in self._tickets:
                return now - self._arrival_order[0].arrived
            self._arrival_order.popleft()
        return timedelta(0)

    def _compact(self) -> None:
        self._deadline_heaps = {}
        for ticket in self._tickets.values():
            heap = self._deadline_heaps.setdefault(ticket.latency_group, [])
            heapq.heappush(heap, (ticket.deadline, ticket.ticket_id))
        self._start_by_heap = [
            entry for entry in self._start_by_heap if entry[1] in self._tickets
        ]
        heapq.heapify(self._start_by_heap)
        self._arrival_order = deque(
            t for t in self._arrival_order if t.ticket_id in self._tickets
        )
