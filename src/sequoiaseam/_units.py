"""Parse and format numbers, and durations and sizes with units."""

import math
import re
from datetime import timedelta
from typing import Final

DURATION_PATTERN: Final = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|min|h)")
SIZE_PATTERN: Final = re.compile(r"([0-9]{1,15})(B|KiB|MiB|GiB)")
INTEGER_PATTERN: Final = re.compile(r"[0-9]{1,18}")
DECIMAL_PATTERN: Final = re.compile(r"[0-9]+(?:\.[0-9]+)?(?:e[+-]?[0-9]+)?")
# Ordered from the longest unit to the shortest: format_duration uses the
# first unit that divides the value. SIZE_UNITS is ordered likewise.
DURATION_UNITS: Final = {
    "h": timedelta(hours=1),
    "min": timedelta(minutes=1),
    "s": timedelta(seconds=1),
    "ms": timedelta(milliseconds=1),
    "us": timedelta(microseconds=1),
}
SIZE_UNITS: Final = {
    "GiB": 1024**3,
    "MiB": 1024**2,
    "KiB": 1024,
    "B": 1,
}


def parse_duration(text: str) -> timedelta:
    """Parse text such as ``500ms``; raise ValueError if malformed."""
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} is not a duration with a unit, such as 30s or 500ms",
        )
    try:
        return float(match[1]) * DURATION_UNITS[match[2]]
    except OverflowError as error:
        raise ValueError(f"{text!r} is too long") from error


def format_duration(value: timedelta) -> str:
    """Format a duration exactly, in the longest unit that divides it."""
    if not value:
        return "0s"
    for unit, unit_duration in DURATION_UNITS.items():
        if not value % unit_duration:
            return f"{value // unit_duration}{unit}"
    raise AssertionError(value)


def parse_size(text: str) -> int:
    """Parse text such as ``64KiB`` to bytes; raise ValueError if malformed."""
    match = SIZE_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} is not a size with a unit, such as 64KiB",
        )
    return int(match[1]) * SIZE_UNITS[match[2]]


def format_size(value: int) -> str:
    """Format a size in bytes exactly, in the largest unit that divides it."""
    if not value:
        return "0B"
    for unit, unit_bytes in SIZE_UNITS.items():
        if not value % unit_bytes:
            return f"{value // unit_bytes}{unit}"
    raise AssertionError(value)


def parse_integer(text: str) -> int:
    """Parse a non-negative integer; raise ValueError if malformed."""
    if not INTEGER_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} is not a whole number")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parse a finite, non-negative decimal number.

    Raise ValueError if the text is malformed or the number too large.
    """
    if not DECIMAL_PATTERN.fullmatch(text) or not math.isfinite(float(text)):
        raise ValueError(f"{text!r} is not a number")
    return float(text)


def format_decimal(value: float) -> str:
    """Return the shortest text that parses to the same number."""
    return repr(float(value)).removesuffix(".0")


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no``; raise ValueError for any other text."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def format_flag(value: object) -> str:
    """Return ``yes`` for a true value, ``no`` otherwise."""
    return "yes" if value else "no"
