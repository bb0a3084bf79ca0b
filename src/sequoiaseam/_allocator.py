"""Settings of the C library's allocator, and the return of free memory."""

import ctypes
from datetime import timedelta
from typing import Any, Final

from sequoiaseam._logs import Level, log_event
from sequoiaseam._memory import MemoryBudget

# Parameters of mallopt(3).
M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
# Larger blocks are returned as they are freed. Without a setting, glibc raises
# its thresholds as large blocks are freed, to 32 MB and 64 MB.
THRESHOLD_BYTES: Final = 64 * 1024
TRIM_INTERVAL: Final = timedelta(milliseconds=250)
# Bytes released by peers after which smaller free blocks are looked for.
TRIM_MIN_BYTES: Final = 8 * 1024 * 1024


def _find_function(name: str) -> Any:
    """Return a function of the C library, None if it has no such one."""
    return getattr(ctypes.CDLL(None), name, None)


def limit_allocator_cache() -> None:
    """Have the memory of large freed blocks returned to the system.

    Other C libraries than glibc have no such setting.
    """
    set_option = _find_function("mallopt")
    if set_option is None:
        log_event(Level.INFO, "allocator has no settings")
        return
    for parameter in (M_TRIM_THRESHOLD, M_MMAP_THRESHOLD):
        if not set_option(parameter, THRESHOLD_BYTES):
            log_event(
                Level.WARNING,
                "allocator refuses a setting",
                parameter=parameter,
            )


class MemoryTrimmer:
    """Returns free memory after much of what was held is released.

    Free blocks between others in use stay with the process otherwise.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._trimmed_at_bytes = 0
        self._trim = _find_function("malloc_trim")

    def check(self) -> None:
        """Return free memory if enough was released since the last time."""
        released_bytes = self._budget.released_bytes
        if (
            self._trim is not None
            and released_bytes - self._trimmed_at_bytes >= TRIM_MIN_BYTES
        ):
            self._trimmed_at_bytes = released_bytes
            self._trim(0)
