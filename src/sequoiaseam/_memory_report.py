"""Logs and metrics on the memory of a process and what peers use of it."""

import resource
from datetime import timedelta
from pathlib import Path
from typing import Final

from sequoiaseam._logs import Level, log_event
from sequoiaseam._memory import MemoryBudget, MemoryUse
from sequoiaseam._process_end import read_peak_memory

REPORT_INTERVAL: Final = timedelta(seconds=10)
PAGE_BYTES: Final = resource.getpagesize()


def read_resident_memory() -> int | None:
    """Return the resident size of this process in bytes, None if unknown."""
    try:
        fields = Path("/proc/self/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None


def describe_memory(budget: MemoryBudget) -> dict[str, object]:
    """Return log fields on the bytes held by use."""
    held = {
        f"held_{use.name.lower()}": budget.get_held_bytes(use)
        for use in MemoryUse
    }
    return {
        **held,
        "held_peak": budget.peak_bytes,
        "held_limit": budget.limit_bytes,
    }


def log_memory(name: str, budget: MemoryBudget) -> None:
    """Log the memory of this process and the bytes held by use."""
    log_event(
        Level.INFO,
        "memory",
        host=name,
        resident=read_resident_memory(),
        resident_peak=read_peak_memory(),
        **describe_memory(budget),
    )


def format_memory_metrics(budget: MemoryBudget) -> bytes:
    """Return gauges in the text format of Prometheus."""
    gauges = {
        "resident_bytes": read_resident_memory(),
        "resident_peak_bytes": read_peak_memory(),
        "held_peak_bytes": budget.peak_bytes,
        "held_limit_bytes": budget.limit_bytes,
    }
    for use in MemoryUse:
        name = f'held_bytes{{use="{use.name.lower()}"}}'
        gauges[name] = budget.get_held_bytes(use)
    lines = [
        f"sequoiaseam_{name} {size}\n"
        for name, size in gauges.items()
        if size is not None
    ]
    return "".join(lines).encode()
