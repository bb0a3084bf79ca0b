"""Tests of structured logging."""

import fcntl
import io
import json
import logging
import os
import signal
import sys
import tempfile
import unittest
from datetime import timedelta
from typing import Any, Final

from sequoiaseam._logs import Level, configure_logging, log_event


class LogsTest(unittest.TestCase):
    """Guards against credentials and request bodies in log lines."""

    def setUp(self) -> None:
        self.stream = io.StringIO()
        configure_logging(Level.INFO, self.stream)
        self.addCleanup(configure_logging, Level.ERROR, sys.stderr)

    def read_lines(self) -> list[dict[str, Any]]:
        return [
            json.loads(line) for line in self.stream.getvalue().splitlines()
        ]

    def test_writes_one_json_line_for_each_event(self) -> None:
        log_event(Level.INFO, "started", key_id="k1", wait=timedelta(0, 2))
        log_event(Level.DEBUG, "hidden")
        (line,) = self.read_lines()
        self.assertEqual(
            list(line),
            ["time", "level", "logger", "event", "fields"],
        )
        self.assertEqual(line["fields"], {"key_id": "k1", "wait": 2.0})

    def test_refuses_fields_that_may_hold_a_credential(self) -> None:
        names = ("key", "api_key", "token", "Token", "key_digest", "body")
        for name in (*names, "authorization", "request_body", "secret_1"):
            with self.subTest(name=name), self.assertRaises(ValueError):
                log_event(Level.DEBUG, "event", **{name: 1})
        with self.assertRaises(ValueError):
            log_event(Level.DEBUG, "event", data=b"bytes")

    def test_omits_message_arguments_of_libraries(self) -> None:
        logger = logging.getLogger("library")
        try:
            raise RuntimeError("Bearer abc")
        except RuntimeError:
            logger.exception("failed: %s", "Bearer abc")
        (line,) = self.read_lines()
        self.assertEqual(line["fields"]["exception"], "RuntimeError")
        self.assertNotIn("abc", json.dumps(line))


class SlowReaderTest(unittest.TestCase):
    """Guards against a process that stops serving as nobody reads its logs."""

    PIPE_SIZE_BYTES: Final = 16 * 1024

    def setUp(self) -> None:
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, self.PIPE_SIZE_BYTES)
        self.reader = self.enterContext(os.fdopen(reader, "rb"))
        self.writer = self.enterContext(os.fdopen(writer, "w"))
        # A write that blocks ends with InterruptedError.
        previous = signal.signal(signal.SIGALRM, self.interrupt)
        self.addCleanup(signal.signal, signal.SIGALRM, previous)
        self.addCleanup(signal.alarm, 0)
        signal.alarm(5)
        configure_logging(Level.INFO, self.writer)
        self.addCleanup(configure_logging, Level.ERROR, sys.stderr)

    @staticmethod
    def interrupt(*_: object) -> None:
        raise InterruptedError("a write waits for the reader")

    def read_events(self) -> list[dict[str, Any]]:
        """Return the log events that are in the pipe."""
        data = self.reader.read1(self.PIPE_SIZE_BYTES)
        return [json.loads(line) for line in data.splitlines()]

    def test_lines_without_room_are_dropped_and_reported(self) -> None:
        for number in range(1000):
            log_event(Level.INFO, "event", number=number)
        numbers = [event["fields"]["number"] for event in self.read_events()]
        self.assertEqual(list(range(len(numbers))), numbers)
        self.assertGreater(len(numbers), 50)
        log_event(Level.INFO, "later")
        loss, later = self.read_events()
        self.assertEqual({"lines": 1000 - len(numbers)}, loss["fields"])
        self.assertEqual("later", later["event"])

    def test_a_long_line_does_not_wait(self) -> None:
        log_event(Level.INFO, "event", text="a" * 2 * self.PIPE_SIZE_BYTES)
        log_event(Level.INFO, "later")
        loss, later = self.read_events()
        self.assertEqual({"lines": 1}, loss["fields"])
        self.assertEqual("later", later["event"])

    def test_a_reader_that_is_gone_is_no_error(self) -> None:
        self.reader.close()
        log_event(Level.INFO, "event")
        self.writer.close()

    def test_lines_of_any_length_go_to_a_file(self) -> None:
        with tempfile.TemporaryFile("w+") as file:
            configure_logging(Level.INFO, file)
            log_event(Level.INFO, "event", text="a" * 100_000)
            file.seek(0)
            (line,) = file.read().splitlines()
        self.assertEqual(100_000, len(json.loads(line)["fields"]["text"]))
