"""Tests of structured logging."""

import io
import json
import logging
import sys
import unittest
from datetime import timedelta
from typing import Any

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
