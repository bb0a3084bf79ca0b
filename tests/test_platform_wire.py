"""Tests of the platform's wire formats and settings."""

import json
import sys
import tempfile
import unittest
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from typing import Any, Final

from sequoiaseam._state import FleetState
from sequoiaseam._tables import Importance, Pool
from sequoiaseam.errors import SeamError

PLATFORM_DIRECTORY: Final = Path(__file__).parent.parent / "platform"
sys.path.insert(0, str(PLATFORM_DIRECTORY))

import wire  # noqa: E402

ROUTE: Final = {
    "host": "Quotes.example",
    "path-prefix": "/q/",
    "route-type": "safe",
    "timeout-s": 0.8,
    "target-latency-s": 1.5,
    "priority": 2,
    "weighted-services": [
        {"service": "one", "weight": 90},
        {"service": "two", "weight": 10},
    ],
    "max-attempts": 2,
    "allow-anonymous": False,
}
DOCUMENT: Final = {
    "version": "0000001f",
    "base-version": "00000005",
    "routes": {"r-1": ROUTE},
    "services": {
        "one": {"health-check-path": "/health", "max-connections": 30},
        "two": {"health-check-path": "/health", "max-connections": 40},
    },
    "limits": {
        "max-header-bytes": 8192,
        "max-body-bytes": 1000,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    },
    "tenants": {
        "coop": {
            "api-keys": ["k1", "k2"],
            "priority": 1,
            "rate-per-s": 318.5,
            "burst": 318,
        },
        "club": {"api-keys": ["k3"]},
    },
}
HEARTBEAT: Final = {
    "service": "one",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 173,
    "state": "ready",
    "cold-remaining-s": 1.5,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
SETTINGS: Final = """
node-name = "side-1"
ip-address = "10.1.0.26"
zone = "north"
region = "south"
internal-port-range = [7000, 7015]
seed-nodes = ["10.1.0.31:8540"]
bootstrap = true
bounds = ["grace-period-s=7.5", "strict-revocation=true"]
unknown = "ignored"
[listen-addresses]
control-plane = "10.1.0.26:8540"
"""


def encode_json(document: dict[str, Any]) -> bytes:
    """Return a document encoded as JSON."""
    return json.dumps(document).encode()


class DocumentTest(unittest.TestCase):
    """Guards against misread or invalid configuration documents."""

    def test_decodes_every_field(self) -> None:
        edit = wire.decode_document(encode_json(DOCUMENT))
        self.assertEqual((edit.base_revision, edit.revision), (5, 31))
        self.assertEqual(edit.document, encode_json(DOCUMENT))
        route = edit.tables.routes["r-1"]
        self.assertEqual(
            (route.host, route.path, route.pool, route.retries, route.open),
            ("quotes.example", "/q/", "one", 1, False),
        )
        self.assertEqual(
            (route.timeout, route.objective, route.importance),
            (
                timedelta(seconds=0.8),
                timedelta(seconds=1.5),
                Importance.NORMAL,
            ),
        )
        self.assertEqual(
            [(share.pool, share.weight) for share in route.shares],
            [("one", 90), ("two", 10)],
        )
        self.assertTrue(route.idempotent)
        coop = edit.tables.workspaces["coop"]
        self.assertEqual(
            (coop.rate, coop.burst, coop.limited, coop.importance),
            (318.5, 318, True, Importance.HIGH),
        )
        club = edit.tables.workspaces["club"]
        self.assertEqual((club.limited, club.importance), (False, None))
        self.assertEqual(
            sorted(key.workspace for key in edit.keys),
            ["club", "coop", "coop"],
        )
        self.assertEqual(edit.tables.limits.headers, 8192)

    def test_only_safe_and_download_routes_are_idempotent(self) -> None:
        """A request of any other type must not run twice."""
        for route_type, idempotent in (
            ("safe", True),
            ("download", True),
            ("unsafe", False),
            ("upload", False),
            ("", False),
            ("Safe", False),
        ):
            with self.subTest(route_type=route_type):
                route = {**ROUTE, "route-type": route_type}
                edit = wire.decode_document(
                    encode_json({**DOCUMENT, "routes": {"r-1": route}})
                )
                self.assertEqual(
                    edit.tables.routes["r-1"].idempotent, idempotent
                )

    def test_refuses_invalid_documents(self) -> None:
        def change_document(**fields: Any) -> bytes:
            return encode_json({**DOCUMENT, **fields})

        def change_route(**fields: Any) -> bytes:
            wire_fields = {k.replace("_", "-"): v for k, v in fields.items()}
            return change_document(routes={"r-1": {**ROUTE, **wire_fields}})

        valid_document = encode_json(DOCUMENT)
        tenants: Any = DOCUMENT["tenants"]
        cases = {
            "truncated": valid_document[:-20],
            "empty": b"",
            "not text": b"\xff\xfe",
            "a list": b"[]",
            "no routes": change_document(routes=None),
            "version not hexadecimal": change_document(version="xyz"),
            "version not above the base": change_document(version="00000005"),
            "unknown pool": change_route(
                weighted_services=[{"service": "three", "weight": 1}],
            ),
            "no pool": change_route(weighted_services=[]),
            "no weight": change_route(
                weighted_services=[{"service": "one", "weight": 0}],
            ),
            "no attempts": change_route(max_attempts=0),
            "no timeout": change_route(timeout_s=0),
            "late objective": change_route(target_latency_s=60.8),
            "same place": change_document(routes={"r-1": ROUTE, "r-2": ROUTE}),
            "shared key": change_document(
                tenants={**tenants, "club": {"api-keys": ["k1"]}},
            ),
        }
        for name, body in cases.items():
            with self.subTest(name=name):
                self.assertFalse(is_accepted(body))
        self.assertTrue(is_accepted(valid_document))


def is_accepted(body: bytes) -> bool:
    """Return whether a fleet at version 5 accepts a document."""
    state = FleetState()
    state.revision = 5
    try:
        result = state.apply(1, wire.decode_document(body))
    except SeamError:
        return False
    return result is not None and result.status.value == "accepted"


class ColdServerTest(unittest.TestCase):
    """Guards against cold servers that get requests without a limit."""

    def decode_pool(self, **fields: object) -> Pool:
        services = {"one": {"max-connections": 30, **fields}, "two": {}}
        body = encode_json({**DOCUMENT, "services": services})
        return wire.decode_document(body).tables.pools["one"]

    def test_decodes_the_limit_and_the_time_of_a_service(self) -> None:
        pool = self.decode_pool(**{"cold-per-s": 12.5, "cold-start-s": 6})
        self.assertEqual(pool.cold_rate, 12.5)
        self.assertEqual(pool.warmup, timedelta(seconds=6))

    def test_a_service_without_them_is_as_before(self) -> None:
        pool = self.decode_pool()
        self.assertEqual(pool.cold_rate, 0.0)
        self.assertEqual(pool.warmup, Pool("one").warmup)

    def test_refuses_values_out_of_range(self) -> None:
        for name in ("cold-per-s", "cold-start-s"):
            services: dict[str, Any] = {"one": {name: -1}, "two": {}}
            body = encode_json({**DOCUMENT, "services": services})
            with self.subTest(name=name):
                self.assertFalse(is_accepted(body))

    def test_bounds_the_time_of_a_false_heartbeat(self) -> None:
        report = wire.decode_heartbeat(
            "i-1", encode_json({**HEARTBEAT, "cold-remaining-s": 1e300})
        )
        self.assertEqual(report.warmup_remaining, timedelta(minutes=10))

    def test_names_the_header_of_the_cold_time(self) -> None:
        name = b"x-sequoiaseam-cold-start-ms"
        self.assertEqual(wire.HEADER_NAMES.warmup_remaining, name)
        self.assertIn(name, wire.HEADER_NAMES.internal_response_fields)


class HeartbeatTest(unittest.TestCase):
    """Guards against routing to servers that don't exist or have left."""

    def test_decodes_a_heartbeat(self) -> None:
        report = wire.decode_heartbeat("i-1", encode_json(HEARTBEAT))
        self.assertEqual(
            (report.server_id, report.pool, report.host, report.port),
            ("i-1", "one", "10.128.0.9", 8080),
        )
        self.assertEqual(report.warmup_remaining, timedelta(seconds=1.5))
        self.assertFalse(report.leaving)
        leaving = wire.decode_heartbeat(
            "i-1", encode_json({**HEARTBEAT, "state": "draining"})
        )
        self.assertTrue(leaving.leaving)
        self.assertEqual(replace(leaving, leaving=False), report)

    def test_refuses_malformed_heartbeats(self) -> None:
        cases = {
            "state": {**HEARTBEAT, "state": "dancing"},
            "slots": {**HEARTBEAT, "slots": "many"},
            "address": {**HEARTBEAT, "address": "here"},
            "sequence": {
                k: v for k, v in HEARTBEAT.items() if k != "sequence"
            },
        }
        for name, heartbeat in cases.items():
            with self.subTest(name=name), self.assertRaises(SeamError):
                wire.decode_heartbeat("i-1", encode_json(heartbeat))
        for body in (b"", b"\xff", b"null", b"[1]"):
            with self.subTest(body=body), self.assertRaises(SeamError):
                wire.decode_heartbeat("i-1", body)

    def test_decodes_the_start_time_of_a_leave(self) -> None:
        cases = ((b"", 0), (b'{"born": 7}', 7), (b"\xff", 0), (b"[]", 0))
        for body, started_at in cases:
            with self.subTest(body=body):
                self.assertEqual(wire.decode_leave(body), started_at)


class SettingsTest(unittest.TestCase):
    """Guards against processes that start with misread settings."""

    def test_reads_known_settings(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.toml"
            path.write_text(SETTINGS)
            settings = wire.read_settings(str(path))
            self.assertEqual(
                settings.shutdown_time_limit, timedelta(seconds=7.5)
            )
            self.assertEqual(settings.internal_port_range, (7000, 7015))
            self.assertTrue(settings.bootstrap)
            path.write_text("node-name = 3")
            with self.assertRaises(SeamError):
                wire.read_settings(str(path))


if __name__ == "__main__":
    unittest.main()
