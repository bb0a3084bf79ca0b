"""Numbers, durations and sizes with units, as text and back."""

import math
import re
from datetime import timedelta
from typing import Final

DURATION: Final = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|min|h)")
SIZE: Final = re.compile(r"([0-9]{1,15})(B|KiB|MiB|GiB)")
WHOLE: Final = re.compile(r"[0-9]{1,18}")
DECIMAL: Final = re.compile(r"[0-9]+(?:\.[0-9]+)?(?:e[+-]?[0-9]+)?")
# Longest first, so that formatting finds the shortest exact text.
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
    match = DURATION.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} is not a duration with a unit, such as 30s or 500ms",
        )
    try:
        return float(match[1]) * DURATION_UNITS[match[2]]
    except OverflowError as error:
        raise ValueError(f"{text!r} is too long") from error


def format_duration(value: timedelta) -> str:
    """Return the exact text with the longest unit that fits."""
    if not value:
        return "0s"
    for unit, length in DURATION_UNITS.items():
        if not value % length:
            return f"{value // length}{unit}"
    raise AssertionError(value)


def parse_size(text: str) -> int:
    """Parse text such as ``64KiB`` to bytes; raise ValueError if not."""
    match = SIZE.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} is not a size with a unit, such as 64KiB",
        )
    return int(match[1]) * SIZE_UNITS[match[2]]


def format_size(value: int) -> str:
    """Return the exact text with the largest unit that fits."""
    if not value:
        return "0B"
    for unit, length in SIZE_UNITS.items():
        if not value % length:
            return f"{value // length}{unit}"
    raise AssertionError(value)


def parse_whole(text: str) -> int:
    """Parse a whole number; raise ValueError if it isn't one."""
    if not WHOLE.fullmatch(text):
        raise ValueError(f"{text!r} is not a whole number")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parse a finite decimal number; raise ValueError if it isn't one."""
    if not DECIMAL.fullmatch(text) or not math.isfinite(float(text)):
        raise ValueError(f"{text!r} is not a number")
    return float(text)


def format_decimal(value: float) -> str:
    """Return the shortest text that parses to the same number."""
    return repr(float(value)).removesuffix(".0")


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no``; raise ValueError if neither."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def format_flag(value: object) -> str:
    """Return ``yes`` or ``no``."""
    return "yes" if value else "no"
