"""Tests of loading the settings and secrets files."""

import contextlib
import random
import tempfile
import unittest
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from sequoiaseam._ini import FileError, FileProblem
from sequoiaseam._settings import (
    Endpoint,
    load_control_settings,
    load_node_settings,
    load_secrets,
)
from sequoiaseam.errors import ErrorCode
from tests.builders import damage_text

NODE_INI = """\
[node]
name = node-1
domain = d1
region = south
[listen]
callers = 0.0.0.0:8000
peers = 10.0.0.1:8001
local = 127.0.0.1:8002
[control]
hosts =
    c1 10.0.0.8:7000
    c2 10.0.0.9:7000
[access]
secrets = secrets.ini
[limits]
body = 64KiB
drain_timeout = 500ms
"""
CONTROL_INI = """\
[control]
name = c1
domain = d1
region = south
data = data
listen = 0.0.0.0:7000
[replicas]
c1 = 10.0.0.8:7000
[access]
secrets = secrets.ini
"""
SECRETS_INI = (
    f"[fleet]\ncurrent = {'ab' * 32}\n[operators]\ncurrent = {'cd' * 32}\n"
)


class SettingsTest(unittest.TestCase):
    """Guards against starting with invalid or partly ignored settings."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.secrets = self.write_file("secrets.ini", SECRETS_INI)

    def write_file(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        path.chmod(0o600)
        return path

    def load_invalid(
        self,
        load: Callable[[Path], object],
        text: str,
    ) -> tuple[FileProblem, ...]:
        """Check that loading the text fails; return the problems."""
        with self.assertRaises(FileError) as caught:
            load(self.write_file("x.ini", text))
        self.assertIs(caught.exception.code, ErrorCode.SETTING_INVALID)
        return caught.exception.problems

    def test_loads_valid_settings(self) -> None:
        node = load_node_settings(self.write_file("node.ini", NODE_INI))
        self.assertEqual(node.control_hosts["c2"], Endpoint("10.0.0.9", 7000))
        self.assertEqual(node.body_limit, 65536)
        self.assertEqual(node.drain_timeout, timedelta(seconds=0.5))
        self.assertEqual(node.memory_limit_bytes, 2 * 1024**3)
        self.assertEqual(node.secrets.fleet, (b"\xab" * 32,))
        self.assertNotIn("xab", repr(node))
        control = load_control_settings(self.write_file("c.ini", CONTROL_INI))
        self.assertEqual(control.data, self.folder / "data")

    def test_reports_key_and_line_of_each_problem(self) -> None:
        cases = {
            ("name = node-1", "name = a b"): ("node", "name", 2),
            ("region = south", ""): ("node", "region", 1),
            ("region = south", "zone = d1"): ("node", "zone", 4),
            ("127.0.0.1:8002", "10.0.0.1:8002"): ("listen", "local", 8),
            ("10.0.0.1:8001", "0.0.0.0:8001"): ("listen", "peers", 7),
            ("0.0.0.0:8000", "localhost:8000"): ("listen", "callers", 6),
            ("0.0.0.0:8000", "127.0.0.1:8002"): ("listen", "", 5),
            ("c2 10", "c1 10"): ("control", "hosts", 10),
            ("secrets.ini", "a\0b"): ("access", "secrets", 14),
            ("500ms", "500"): ("limits", "drain_timeout", 17),
            ("500ms", "3h"): ("limits", "drain_timeout", 17),
            ("64KiB", "1GiB"): ("limits", "body", 16),
            ("domain = d1", "name = other"): ("node", "name", 3),
            ("[limits]", "[limit]"): ("limit", "", 15),
        }
        for (old, new), expected in cases.items():
            with self.subTest(old=old, new=new):
                problems = self.load_invalid(
                    load_node_settings, NODE_INI.replace(old, new)
                )
                locations = {(p.section, p.key, p.line) for p in problems}
                self.assertIn(expected, locations)

    def test_refuses_invalid_groups_of_control_hosts(self) -> None:
        cases = {
            "c2 = 10.0.0.8:7000\nc3 = 10.0.0.7:7000": "used twice",
            "c2 = 10.0.0.9:7000": "lists 2 hosts",
        }
        for extra, message in cases.items():
            with self.subTest(message=message):
                text = CONTROL_INI.replace("[access]", f"{extra}\n[access]")
                problems = self.load_invalid(load_control_settings, text)
                self.assertIn(message, problems[0].message)
        text = CONTROL_INI.replace("c1 = ", "c4 = ")
        problems = self.load_invalid(load_control_settings, text)
        self.assertIn("does not include c1", problems[0].message)

    def test_reports_all_problems_of_both_files_at_once(self) -> None:
        self.write_file("secrets.ini", "[fleet]\ncurrent = abcd\n")
        text = NODE_INI.replace("64KiB", "64").replace("d1", "?")
        problems = self.load_invalid(load_node_settings, text)
        self.assertEqual(
            {p.key for p in problems},
            {"domain", "body", "current"},
        )

    def test_refuses_invalid_secrets_without_printing_them(self) -> None:
        cases = {
            "[fleet]\ncurrent = 0123\n": "shorter than 32 bytes",
            "[fleet]\ncurrent = 0123zz\n": "not hexadecimal",
            "[operators]\n": "is required",
        }
        for text, message in cases.items():
            with self.subTest(message=message):
                path = self.write_file("secrets.ini", text)
                with self.assertRaises(FileError) as caught:
                    load_secrets(path, ("fleet",))
                self.assertIn(message, str(caught.exception))
                self.assertNotIn("0123", str(caught.exception))

    def test_refuses_secrets_that_others_can_read(self) -> None:
        self.secrets.chmod(0o640)
        with self.assertRaises(FileError) as caught:
            load_secrets(self.secrets, ("fleet",))
        self.assertIn("0640", str(caught.exception))

    def test_refuses_malformed_ini(self) -> None:
        for text in ("name = x\n", "[node]\nname\n", "[node\n", ""):
            with self.subTest(text=text):
                self.load_invalid(load_node_settings, text)
        with self.assertRaises(FileError):
            load_node_settings(self.folder / "absent.ini")

    def test_damaged_files_raise_only_file_errors(self) -> None:
        rng = random.Random(7)
        for number in range(500):
            self.write_file("secrets.ini", damage_text(rng, SECRETS_INI))
            for load, text in (
                (load_node_settings, NODE_INI),
                (load_control_settings, CONTROL_INI),
            ):
                damaged = self.write_file("x.ini", damage_text(rng, text))
                with (
                    self.subTest(number=number, text=damaged.read_bytes()),
                    contextlib.suppress(FileError),
                ):
                    load(damaged)
