"""Seeds of the randomized schedules."""

import os
from collections.abc import Iterator
from typing import Final

DEFAULT_SCHEDULES: Final = 500


def iterate_seeds(default_count: int = DEFAULT_SCHEDULES) -> Iterator[int]:
    """Yield one seed per schedule, as many as SEQUOIASEAM_SCHEDULES sets."""
    yield from range(
        int(os.environ.get("SEQUOIASEAM_SCHEDULES", default_count))
    )
