"""Structured logging as JSON lines, based on absl.logging."""

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
from sequoiaseam._log_output import open_log_output

# Fields whose name contains one of these parts may hold a credential.
SECRET_NAME_PARTS: Final = frozenset(
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
# Rejected as the last part only: body_size and key_id are allowed.
SECRET_NAME_ENDINGS: Final = frozenset(("body", "key"))
RECORD_FIELDS_ATTRIBUTE: Final = "seam_fields"
EVENT_LINES_PER_SECOND_MAX: Final = 20
LIBRARY_LOGGERS: Final = ("aiohttp", "asyncio")


class Level(enum.Enum):
    """Log levels, with their names in settings as values."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


LOGGING_LEVELS: Final = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


class JsonFormatter(logging.Formatter):
    """Format a record as one line of JSON.

    Records of libraries get the event ``library`` and only the first
    line of their message template. Exceptions are reduced to their type
    and location. Arguments and exception messages are omitted, because
    they may quote a request.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line without a trailing newline."""
        fields = getattr(record, RECORD_FIELDS_ATTRIBUTE, None)
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
    if not record.exc_info or record.exc_info[1] is None:
        return {}
    return describe_error(record.exc_info[1])


def describe_error(error: BaseException) -> dict[str, str]:
    """Return fields with the error's type and where it was raised.

    Its message is omitted, because it may quote a request.
    """
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    details = {"exception": type(error).__name__}
    if traceback is not None:
        file = Path(traceback.tb_frame.f_code.co_filename).name
        details["raised_at"] = f"{file}:{traceback.tb_lineno}"
    return details


def check_field_name(name: str) -> None:
    """Raise ValueError if a field of this name may not be logged."""
    parts = name.lower().split("_")
    if (
        SECRET_NAME_PARTS.intersection(parts)
        or parts[-1] in SECRET_NAME_ENDINGS
    ):
        raise ValueError(f"field {name!r} may not be logged")


def _convert_value(name: str, value: object) -> Any:
    """Convert a value for JSON; reject bytes, which may be a body."""
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
            return [_convert_value(name, item) for item in value]
    raise ValueError(
        f"field {name!r} has unsupported type {type(value).__name__}",
    )


def log_event(level: Level, event: str, **fields: object) -> None:
    """Log an event; raise ValueError for a field that may not be logged.

    Field names such as key, token, digest, body or authorization are
    rejected even if the level is disabled, so that tests detect them
    at any verbosity.
    """
    for name in fields:
        check_field_name(name)
    converted = {name: _convert_value(name, v) for name, v in fields.items()}
    absl_logging.get_absl_logger().log(
        LOGGING_LEVELS[level],
        event,
        extra={RECORD_FIELDS_ATTRIBUTE: converted},
    )


class RateLimitedLog:
    """Write at most EVENT_LINES_PER_SECOND_MAX lines of each event.

    The limit bounds the log volume under load. The next line of the event
    that is written reports in ``left_out`` how many were suppressed,
    so that no line is lost silently.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By event: current second, its lines, lines suppressed since the
        # last one written.
        self._counts: dict[str, list[int]] = {}

    def log(self, level: Level, event: str, **fields: object) -> None:
        """Log an event, or count it if its limit is reached."""
        second = int(self._clock.now().timestamp())
        count = self._counts.setdefault(event, [second, 0, 0])
        if count[0] != second:
            count[0], count[1] = second, 0
        count[1] += 1
        if count[1] > EVENT_LINES_PER_SECOND_MAX:
            count[2] += 1
            return
        log_event(level, event, left_out=count[2], **fields)
        count[2] = 0


def _format_loss(line_count: int) -> str:
    """Return the line that reports dropped lines."""
    record = logging.makeLogRecord(
        {
            "name": absl_logging.get_absl_logger().name,
            "levelname": logging.getLevelName(logging.WARNING),
            "msg": "log lines dropped; the reader of the output is too slow",
            RECORD_FIELDS_ATTRIBUTE: {"lines": line_count},
        }
    )
    return JsonFormatter().format(record) + "\n"


ABSL_VERBOSITIES: Final = {
    Level.DEBUG: absl_logging.DEBUG,
    Level.INFO: absl_logging.INFO,
    Level.WARNING: absl_logging.WARNING,
    Level.ERROR: absl_logging.ERROR,
}


def configure_logging(level: Level, stream: TextIO | None = None) -> None:
    """Write all logs as JSON lines to ``stream`` or standard error.

    Lines that the stream's reader has no room for are dropped, counted
    and reported in the next line.
    """
    if not flags.FLAGS.is_parsed():
        # Otherwise absl prints a plain-text warning and ignores the stream.
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    handler.python_handler.stream = open_log_output(
        stream or sys.stderr, _format_loss
    )
    absl_logging.set_verbosity(ABSL_VERBOSITIES[level])
    # These libraries log each request at INFO, so only warnings are kept.
    for name in LIBRARY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
