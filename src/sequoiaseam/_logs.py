"""JSON-lines logs on absl.logging, through one place."""

import enum
import json
import logging
import sys
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, Final, TextIO

from absl import flags
from absl import logging as absl_logging

from sequoiaseam._clock import Clock

# A field whose name has one of these parts could hold a credential.
SECRET_PARTS: Final = frozenset(
    (
        "authorization",
        "cookie",
        "digest",
        "password",
        "secret",
        "secrets",
        "token",
    ),
)
# These are refused as the last part only: body_size and key_id are fine.
SECRET_ENDS: Final = frozenset(("body", "key"))
FIELDS: Final = "seam_fields"
LINES_MAX: Final = 20  # lines of one event a second
LIBRARIES: Final = ("aiohttp", "asyncio")


class Level(enum.Enum):
    """Levels of log lines, by their names in settings."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


NUMBERS: Final = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


class JsonFormatter(logging.Formatter):
    """Format a record as one line of JSON.

    Records of libraries get the event ``library`` and show only the
    first line of their template, exceptions only type and place: their
    arguments and messages may quote a request.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without the line feed."""
        fields = getattr(record, FIELDS, None)
        if fields is None:
            event = "library"
            fields = {"message": str(record.msg).partition("\n")[0]}
        else:
            event = str(record.msg)
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": event,
            "fields": {**fields, **_describe_exception(record)},
        }
        return json.dumps(line, ensure_ascii=False)


def _describe_exception(record: logging.LogRecord) -> dict[str, str]:
    if not record.exc_info or record.exc_info[0] is None:
        return {}
    kind, _, trace = record.exc_info
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    described = {"exception": kind.__name__}
    if trace is not None:
        file = Path(trace.tb_frame.f_code.co_filename).name
        described["raised_at"] = f"{file}:{trace.tb_lineno}"
    return described


def check_field(name: str) -> None:
    """Raise ValueError for a name that may not be logged."""
    parts = name.lower().split("_")
    if SECRET_PARTS.intersection(parts) or parts[-1] in SECRET_ENDS:
        raise ValueError(f"field {name!r} may not be logged")


def _convert(name: str, value: object) -> Any:
    """Return a value that JSON has; refuse bytes, which may be a body."""
    match value:
        case None | bool() | int() | float() | str():
            return value
        case enum.Enum():
            return value.value
        case datetime():
            return value.isoformat()
        case timedelta():
            return value.total_seconds()
        case tuple() | list():
            return [_convert(name, item) for item in value]
    raise ValueError(
        f"field {name!r} may not hold {type(value).__name__}",
    )


def log_event(level: Level, event: str, **fields: object) -> None:
    """Log an event; raise ValueError for a field that may not be logged.

    Field names such as key, token, digest, body or authorization are
    refused at every level, so tests catch them whatever is printed.
    """
    for name in fields:
        check_field(name)
    converted = {name: _convert(name, v) for name, v in fields.items()}
    absl_logging.get_absl_logger().log(
        NUMBERS[level],
        event,
        extra={FIELDS: converted},
    )


class RateLimitedLog:
    """Log at most ``LINES_MAX`` lines of each event a second.

    The first line after a pause tells how many were left out, so that
    the volume is bounded under load and nothing is lost silently.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: dict[str, list[int]] = {}

    def log(self, level: Level, event: str, **fields: object) -> None:
        """Log an event unless there were too many in this second."""
        second = int(self._clock.now().timestamp())
        count = self._counts.setdefault(event, [second, 0, 0])
        if count[0] != second:
            count[0], count[1] = second, 0
        count[1] += 1
        if count[1] > LINES_MAX:
            count[2] += 1
            return
        log_event(level, event, left_out=count[2], **fields)
        count[2] = 0


NUMBERS_ABSL: Final = {
    Level.DEBUG: absl_logging.DEBUG,
    Level.INFO: absl_logging.INFO,
    Level.WARNING: absl_logging.WARNING,
    Level.ERROR: absl_logging.ERROR,
}


def configure_logging(level: Level, stream: TextIO | None = None) -> None:
    """Send all logs to ``stream`` or standard error, as JSON lines."""
    if not flags.FLAGS.is_parsed():
        # absl prints a plain warning and ignores the stream otherwise.
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    handler.python_handler.stream = stream or sys.stderr
    absl_logging.set_verbosity(NUMBERS_ABSL[level])
    # Libraries log each request at info; only their warnings matter.
    for name in LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
