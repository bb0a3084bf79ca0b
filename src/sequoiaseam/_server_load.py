"""Load and pace that a backend server states in its responses."""

from dataclasses import dataclass
from typing import Final

FIELD_PARTS: Final = frozenset((3, 4))
DIGITS_MAX: Final = 9
PERCENT: Final = 100.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests of a backend server and the duration of its work.

    ``pace`` is the duration relative to the usual one, 1.0 as usual, and
    None if the server doesn't state it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def utilization(self) -> float:
        """Return the used part of the slots, at most 1."""
        return min(1.0, (self.running + self.waiting) / max(1, self.slots))


def parse_server_load(value: bytes) -> ServerLoad | None:
    """Return the load in a header field's value, None if it is malformed."""
    parts = value.split(b",")
    if len(parts) not in FIELD_PARTS or not all(
        part.isdigit() and len(part) <= DIGITS_MAX for part in parts
    ):
        return None
    numbers = [int(part) for part in parts]
    pace = numbers[3] / PERCENT if len(numbers) > 3 else None
    return ServerLoad(numbers[0], numbers[1], numbers[2], pace)
