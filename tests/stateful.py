"""Hypothesis settings for state machine tests."""

import os
from typing import Final

from hypothesis import HealthCheck, settings

SCHEDULES: Final = os.environ.get("SEQUOIASEAM_SCHEDULES")


def build_settings(examples: int, steps: int) -> settings:
    """Return the settings of one state machine.

    Every run generates the same examples, unless SEQUOIASEAM_SCHEDULES
    sets a number of random ones.
    """
    return settings(
        max_examples=int(SCHEDULES or examples),
        stateful_step_count=steps,
        derandomize=SCHEDULES is None,
        deadline=None,
        database=None,
        print_blob=True,
        # Examples may be slow on a busy machine without any fault.
        suppress_health_check=list(HealthCheck),
    )
