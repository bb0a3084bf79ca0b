"""Settings of the state machines run by the library hypothesis."""

import os
from typing import Final

from hypothesis import HealthCheck, settings

SCHEDULES: Final = os.environ.get("SEQUOIASEAM_SCHEDULES")


def build_settings(examples: int, steps: int) -> settings:
    """Return the settings of one machine.

    The examples are the same in each run, unless the environment asks
    for a number of random ones.
    """
    return settings(
        max_examples=int(SCHEDULES or examples),
        stateful_step_count=steps,
        derandomize=SCHEDULES is None,
        deadline=None,
        database=None,
        print_blob=True,
        # Slow examples on a busy machine are no fault.
        suppress_health_check=list(HealthCheck),
    )
