"""Bound on the bytes that peers make a node hold.

Callers, backend servers and other nodes decide how much data they send and
how fast they read. All of it is charged to one budget before it is read or
kept, so that the sum stays within the memory of the process.

A caller's request is charged by its connection from the header to the
response, a call of another node by the link to its result. A response is
charged by the connection or link that reads it, and from the moment it is
handed over by the one that sends it on: both charge it for that moment.
"""

import enum
from collections import deque
from collections.abc import Callable
from typing import Final

from sequoiaseam._tables import Importance

# Of the memory limit of the process. The program, the state of its requests
# and what allocators add take the rest.
HELD_FRACTION: Final = 0.45
DEFAULT_MEMORY_LIMIT_BYTES: Final = 300 * 1000 * 1000
# Budget of a part that isn't given one.
DEFAULT_HELD_BYTES_LIMIT: Final = 128 * 1024 * 1024
# Larger data is written apart from its header and leaves a part of the budget
# to smaller data.
LARGE_MIN_BYTES: Final = 64 * 1024
# Fraction of the budget up to which a request is accepted, by importance.
# Above the last one only responses are, as requests can still be refused.
REQUEST_FRACTIONS: Final = {
    Importance.LOW: 0.60,
    Importance.NORMAL: 0.65,
    Importance.HIGH: 0.70,
    Importance.CRITICAL: 0.75,
}
# The same for large requests. All are lower, so that large requests can't
# take the room of small ones.
LARGE_REQUEST_FRACTIONS: Final = {
    Importance.LOW: 0.50,
    Importance.NORMAL: 0.53,
    Importance.HIGH: 0.56,
    Importance.CRITICAL: 0.59,
}
# Larger responses don't hold up smaller ones.
SMALL_RESPONSE_MAX_BYTES: Final = 1024 * 1024
# Beyond the budget, for one response at a time.
OVERDRAFT_FRACTION: Final = 0.15
# Fraction of the budget that a single response may take.
RESPONSE_FRACTION: Final = 0.50


def compute_held_bytes_limit(memory_limit_bytes: int) -> int:
    """Return the bytes that a process with this memory limit may hold."""
    return int(HELD_FRACTION * memory_limit_bytes)


class MemoryUse(enum.IntEnum):
    """What held data is part of."""

    REQUESTS = 0  # Requests of this host's callers.
    CALLS = 1  # Calls of other nodes.
    RESPONSES = 2  # Responses that aren't written yet.
    UNSENT = 3  # Written data that the kernel hasn't taken.


class ResponseReservation:
    """Bytes that are reserved for a response, or will be.

    ``on_reserved`` is called once, possibly before ``reserve_response``
    returns, unless the reservation is released before.
    """

    def __init__(
        self,
        budget: "MemoryBudget",
        size: int,
        on_reserved: Callable[[], None],
        leads_out: bool,  # noqa: FBT001
    ) -> None:
        self._budget = budget
        self.size = size
        self._on_reserved: Callable[[], None] | None = on_reserved
        self.leads_out = leads_out
        self.reserved = False
        # Whether it was granted beyond the limit.
        self.is_overdraft = False

    def grant(self) -> None:
        """Charge the bytes and notify the owner; for the budget only."""
        on_reserved, self._on_reserved = self._on_reserved, None
        self.reserved = True
        self._budget.charge(MemoryUse.RESPONSES, self.size)
        if on_reserved is not None:
            on_reserved()

    def release(self) -> None:
        """Release the bytes, or stop waiting for them; may be repeated."""
        self._on_reserved = None
        if self.reserved:
            self.reserved = False
            if self.is_overdraft:
                self._budget.end_overdraft()
            self._budget.release(MemoryUse.RESPONSES, self.size)
        else:
            self._budget.forget(self)


class MemoryBudget:
    """Account of held bytes by use, and what may be added to them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        # Sum of all that was released.
        self.released_bytes = 0
        # Whether a request was refused since the last look.
        self._refused = False
        # Whether a response takes what the limit doesn't cover.
        self._overdrawn = False
        self._held_by_use = [0 for _ in MemoryUse]
        # Responses that don't fit yet, in order of arrival. Small ones don't
        # wait for large ones.
        self._waiting_small: deque[ResponseReservation] = deque()
        self._waiting_large: deque[ResponseReservation] = deque()

    def get_held_bytes(self, use: MemoryUse) -> int:
        """Return the bytes that are held for a use."""
        return self._held_by_use[use]

    @property
    def largest_request_bytes(self) -> int:
        """Return the size of the largest request that is ever accepted."""
        fraction = LARGE_REQUEST_FRACTIONS[Importance.LOW]
        return int(fraction * self.limit_bytes)

    @property
    def largest_response_bytes(self) -> int:
        """Return the size of the largest response that is ever accepted."""
        return int(RESPONSE_FRACTION * self.limit_bytes)

    @property
    def exceeded(self) -> bool:
        """Return whether more is held than the budget allows."""
        return self.held_bytes > self.limit_bytes

    @property
    def has_waiting(self) -> bool:
        """Return whether responses wait for room."""
        return bool(self._waiting_small or self._waiting_large)

    @property
    def missing_bytes(self) -> int:
        """Return what has to be released until all that is small fits.

        That is requests of any importance, and the responses that wait.
        """
        limit = int(REQUEST_FRACTIONS[Importance.LOW] * self.limit_bytes)
        missing = self.held_bytes + LARGE_MIN_BYTES - limit
        for waiting in (self._waiting_small, self._waiting_large):
            if waiting:
                needed = self.held_bytes + waiting[0].size - self.limit_bytes
                missing = max(missing, needed)
        return missing

    def take_shortage(self) -> bool:
        """Return whether anything was refused or had to wait since then.

        Something that still waits counts each time.
        """
        refused, self._refused = self._refused, False
        return refused or self.has_waiting or self.exceeded

    def charge(self, use: MemoryUse, size: int) -> None:
        """Add bytes that are already held or can't be refused."""
        self._held_by_use[use] += size
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def release(self, use: MemoryUse, size: int) -> None:
        """Subtract bytes that are no longer held."""
        self._held_by_use[use] -= size
        self.held_bytes -= size
        self.released_bytes += size
        if self.has_waiting:
            self._grant_waiting()

    def reserve_request(
        self,
        use: MemoryUse,
        size: int,
        importance: Importance,
        total_size: int = 0,
    ) -> bool:
        """Charge a request before it is read; return False if it can't be.

        ``total_size`` is that of the request if ``size`` is a part of it.
        """
        is_large = max(size, total_size) > LARGE_MIN_BYTES
        fractions = LARGE_REQUEST_FRACTIONS if is_large else REQUEST_FRACTIONS
        fraction = fractions[importance]
        if self.held_bytes + size > fraction * self.limit_bytes:
            self._refused = True
            return False
        self.charge(use, size)
        return True

    def reserve_response(
        self,
        size: int,
        on_reserved: Callable[[], None],
        *,
        leads_out: bool = False,
    ) -> ResponseReservation:
        """Charge a response before it is read, at once or later.

        One that ``leads_out`` goes on to a caller, which frees its memory
        here and at the node that offers it.
        """
        reservation = ResponseReservation(self, size, on_reserved, leads_out)
        waiting = self._get_waiting(size)
        if not waiting and self._fits_response(size):
            reservation.grant()
        else:
            waiting.append(reservation)
            self._grant_overdraft()
        return reservation

    def forget(self, reservation: ResponseReservation) -> None:
        """Remove a reservation that may be waiting."""
        waiting = self._get_waiting(reservation.size)
        if reservation in waiting:
            waiting.remove(reservation)
            self._grant_waiting()

    def end_overdraft(self) -> None:
        """Let another response take what the limit doesn't cover."""
        self._overdrawn = False

    def _get_waiting(self, size: int) -> deque[ResponseReservation]:
        if size > SMALL_RESPONSE_MAX_BYTES:
            return self._waiting_large
        return self._waiting_small

    def _fits_response(self, size: int) -> bool:
        return self.held_bytes + size <= self.limit_bytes

    def _grant_waiting(self) -> None:
        for waiting in (self._waiting_small, self._waiting_large):
            while waiting and self._fits_response(waiting[0].size):
                waiting.popleft().grant()
        self._grant_overdraft()

    def _grant_overdraft(self) -> None:
        """Let one response through that frees memory once it has passed.

        Two nodes that are full of answers for each other would wait for each
        other otherwise.
        """
        if self._overdrawn:
            return
        room = int((1 + OVERDRAFT_FRACTION) * self.limit_bytes)
        for waiting in (self._waiting_small, self._waiting_large):
            for reservation in waiting:
                fits = self.held_bytes + reservation.size <= room
                if reservation.leads_out and fits:
                    waiting.remove(reservation)
                    self._overdrawn = reservation.is_overdraft = True
                    reservation.grant()
                    return
