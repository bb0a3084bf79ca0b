"""Settings of the C library's allocator."""

import ctypes
from typing import Final

from sequoiaseam._logs import Level, describe_error, log_event

# Parameters of mallopt(3).
M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
# The defaults of glibc. It raises both as large blocks are freed, to 32 MB
# and 64 MB, unless they are set; the memory of bodies then stays in use.
THRESHOLD_BYTES: Final = 128 * 1024


def return_freed_memory() -> None:
    """Have the memory of large freed blocks returned to the system.

    Other C libraries than glibc have no such setting.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        log_event(Level.DEBUG, "allocator not set", **describe_error(error))
        return
    for parameter in (M_TRIM_THRESHOLD, M_MMAP_THRESHOLD):
        if not set_option(parameter, THRESHOLD_BYTES):
            log_event(Level.WARNING, "allocator not set", parameter=parameter)
