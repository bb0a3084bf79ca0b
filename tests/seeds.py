"""Seeds of the fuzz schedules."""

import os
from collections.abc import Iterator
from typing import Final

DEFAULT: Final = 500


def iterate_seeds(default: int = DEFAULT) -> Iterator[int]:
    """Yield a seed for each schedule, as many as the environment asks."""
    yield from range(int(os.environ.get("SEQUOIASEAM_SCHEDULES", default)))
