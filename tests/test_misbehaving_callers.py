"""Tests of programs whose callers use far more than they need.

Each test starts its own processes with low limits, sends them a crowd of one
form of misbehaviour, and checks that each process lives, that its memory and
descriptors stay within what its settings name, and that an ordinary request
is answered while the crowd is still connected. There are no checks of times
or of how many of the crowd's requests are served.

Run this module apart from other load; see tests/__main__.py.
"""

import asyncio
import contextlib
import json
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar, Final, Protocol

import aiohttp

from tests.hosts import ScriptedServer
from tests.misbehaving_callers import (
    BODY_MAX_BYTES,
    HEADER_MAX_BYTES,
    Crowd,
    Form,
    FrameForms,
    HttpForms,
    Target,
)
from tests.platform_fleet import PlatformFleet, ProcessLimits

CONTROL_ADDRESS: Final = "127.0.1.1"
NODE_ADDRESS: Final = "127.0.2.1"
SECOND_NODE_ADDRESS: Final = "127.0.2.2"
# Below those of the platform's smallest hosts, so that a small crowd sends
# more than a process may hold.
LIMITS: Final = ProcessLimits(memory_megabytes=160, file_descriptors=256)
# More than the descriptors of a process. With bodies of the largest size, they
# send more than twice its memory.
CALLER_COUNT: Final = 400
# Callers with long requests, which together are more than a process may hold.
LONG_REQUEST_CALLER_COUNT: Final = 40
LONG_REQUEST_FORMS: Final = frozenset(
    (
        "excess_with_length",
        "excess_without_length",
        "excess_of_short_fields",
        "trailers",
        "requests_sent_ahead",
    )
)
# How long the crowd may send, in seconds. It stays connected afterwards.
SENDING_TIME: Final = 3.0
SAMPLE_INTERVAL: Final = 0.02
WAIT_TIMEOUT: Final = 40.0
POLL_INTERVAL: Final = 0.1
REPORT_INTERVAL: Final = 1.5
REQUEST_TIMEOUT: Final = 5.0
API_KEY: Final = "key-one"
RESPONSE_BODY_BYTES: Final = 256 * 1024
CALL_PATH: Final = "/sequoiaseam/rpc"
READY_PATH: Final = "/sequoiaseam/readiness"
AUTHORIZATION: Final = f"Authorization: Bearer {API_KEY}"
# Limits within which a single request is served in calm.
DEFAULT_HEADER_MAX_BYTES: Final = 16 * 1024
DEFAULT_BODY_MAX_BYTES: Final = 64 * 1024 * 1024


def build_document(limits: dict[str, Any]) -> bytes:
    """Return a configuration with one route and these limits of callers.

    The other routes make it large enough for slow readers.
    """
    route = {
        "host": "any.example",
        "path-prefix": "/read/",
        "route-type": "safe",
        "timeout-s": 30,
        "target-latency-s": 1,
        "max-attempts": 2,
        "service": "store",
    }
    routes = {"r-1": route} | {
        f"other-{row}": {**route, "path-prefix": f"/other-{row}/"}
        for row in range(400)
    }
    return json.dumps(
        {
            "version": "00000003",
            "base-version": "00000000",
            "routes": routes,
            "services": {"store": {"max-connections": 100}},
            "tenants": {"coop": {"api-keys": [API_KEY], "rate-per-s": 0}},
            "limits": limits,
        }
    ).encode()


def respond_with_large_body(request: Any) -> None:
    """Send a response that is larger than the kernel's buffers are at first.

    A request with a body gets the body's size instead.
    """
    name = "x-sequoiaseam-attempt-id"
    size = len(request.body)
    body = b"%d" % size if size else bytes(RESPONSE_BODY_BYTES)
    request.transport.write(
        b"HTTP/1.1 200 OK\r\n"
        + f"{name}: {request.find_field(name)}\r\n".encode()
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


class CallersCase(unittest.IsolatedAsyncioTestCase):
    """A control host and a node with a backend server."""

    limits: ClassVar[ProcessLimits | None] = LIMITS
    document_limits: ClassVar[dict[str, Any]] = {
        "max-header-bytes": HEADER_MAX_BYTES,
        "max-body-bytes": BODY_MAX_BYTES,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    }

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(Path(folder.name))
        self.fleet.controls = (CONTROL_ADDRESS,)
        if self.limits is not None:
            for address in (
                CONTROL_ADDRESS,
                NODE_ADDRESS,
                SECOND_NODE_ADDRESS,
            ):
                self.fleet.limits[address] = self.limits
        self.addAsyncCleanup(self.fleet.close)
        self.report_sequence = 0
        self.server = ScriptedServer(respond_with_large_body)
        await self.server.start()
        self.addCleanup(self.server.close)
        await self.fleet.start(CONTROL_ADDRESS)
        await self.fleet.start(NODE_ADDRESS)
        document = build_document(self.document_limits)
        await self.wait_for_status(
            200,
            lambda: self.call_api(
                CONTROL_ADDRESS, "call=configuration.put", document
            ),
        )
        await self.wait_for_status(200, self.send_report)
        reporting = asyncio.create_task(self.send_reports())
        self.addCleanup(reporting.cancel)
        await self.wait_for_status(200, self.request_route)

    async def wait_for_status(
        self, expected: int, request: Callable[[], Awaitable[int]]
    ) -> None:
        """Repeat a request until it gets a response with this status."""
        status = 0
        try:
            async with asyncio.timeout(WAIT_TIMEOUT):
                while True:
                    status = await request()
                    if status == expected:
                        return
                    await asyncio.sleep(POLL_INTERVAL)
        except TimeoutError:
            self.fail(f"last status {status}, expected {expected}")

    async def send(
        self,
        method: str,
        address: str,
        port: int,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> int:
        """Send a request on a new connection.

        Return its status, or 0 without a complete response.
        """
        try:
            async with (
                aiohttp.ClientSession(
                    timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
                ) as session,
                session.request(
                    method,
                    f"http://{address}:{port}{path}",
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def call_api(
        self, address: str, query: str, body: bytes = b""
    ) -> int:
        """Call the API of a process and return the status."""
        path = f"{CALL_PATH}?{query}"
        return await self.send(
            "POST", address, self.fleet.api_port, path, body
        )

    async def send_reports(self) -> None:
        """Send heartbeats until cancelled, as a backend server does."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            await self.send_report()

    async def send_report(self) -> int:
        """Send the heartbeat of the backend server."""
        self.report_sequence += 1
        report = {
            "service": "store",
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-s": 0,
            "sequence": self.report_sequence,
            "born": 1,
        }
        return await self.call_api(
            NODE_ADDRESS,
            "call=instances.heartbeat&of=i-1",
            json.dumps(report).encode(),
        )

    async def request_path(self, path: str) -> int:
        """Send a caller's request to the node."""
        return await self.send(
            "GET",
            NODE_ADDRESS,
            self.fleet.outbound_port,
            path,
            headers={
                "Host": "any.example",
                "Authorization": f"Bearer {API_KEY}",
                "X-Sequoiaseam-Attempt-Id": "7",
            },
        )

    async def request_route(self) -> int:
        """Send an ordinary caller's request."""
        return await self.request_path("/read/1")

    async def request_readiness(self, address: str = NODE_ADDRESS) -> int:
        """Send a readiness check."""
        return await self.send(
            "GET", address, self.fleet.ready_port, READY_PATH
        )


class FormsCase(CallersCase):
    """A crowd of each form at one path or port."""

    expected_status: ClassVar[int] = 200

    def get_target(self) -> Target:
        """Return where the crowd sends its requests."""
        raise NotImplementedError

    async def send_ordinary(self) -> int:
        """Send an ordinary request to the same listener."""
        raise NotImplementedError

    def create_forms(self) -> HttpForms:
        """Return the forms of requests to the target."""
        return HttpForms(self.get_target())

    async def check_form(self, select: Callable[[HttpForms], Form]) -> None:
        """Check the processes while a crowd of a form is connected."""
        name = select.__name__
        form: Form = getattr(self.create_forms(), name)()
        count = (
            LONG_REQUEST_CALLER_COUNT
            if name in LONG_REQUEST_FORMS
            else CALLER_COUNT
        )
        crowd = Crowd(self.get_target(), form, count)
        peaks: dict[str, int] = {}
        sampling = asyncio.create_task(self.sample_descriptors(peaks))
        try:
            await crowd.run(SENDING_TIME)
            await self.wait_for_status(
                self.expected_status, self.send_ordinary
            )
            await self.wait_for_status(200, self.request_route)
        finally:
            sampling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampling
            await crowd.dismiss()
            self.check_processes(peaks)

    async def sample_descriptors(self, peaks: dict[str, int]) -> None:
        """Record the most descriptors of each process, until cancelled."""
        while True:
            for address in self.fleet.processes:
                count = self.fleet.count_descriptors(address)
                peaks[address] = max(peaks.get(address, 0), count)
            await asyncio.sleep(SAMPLE_INTERVAL)

    def check_processes(self, peaks: dict[str, int]) -> None:
        """Check that each process lives and has stayed within its limits."""
        for address, process in self.fleet.processes.items():
            memory = self.fleet.find_peak_memory(address)
            print(
                f"{self.id()} {address}: {memory / 1e6:.0f} MB,"
                f" {peaks[address]} descriptors"
            )
            with self.subTest(address=address, check="process lives"):
                self.assertIsNone(process.returncode)
            with self.subTest(address=address, check="memory"):
                self.assertGreater(memory, 0)
                self.assertLess(memory, LIMITS.memory_bytes)
            with self.subTest(address=address, check="descriptors"):
                self.assertLessEqual(peaks[address], LIMITS.file_descriptors)


class FormChecker(Protocol):
    """What the tests of the forms need."""

    async def check_form(self, select: Callable[[HttpForms], Form]) -> None:
        """Check the processes while a crowd of a form is connected."""


class FormsMixin:
    """One test for each form of misbehaviour."""

    async def test_whole_bodies(self: FormChecker) -> None:
        await self.check_form(HttpForms.whole_bodies)

    async def test_small_pieces(self: FormChecker) -> None:
        await self.check_form(HttpForms.small_pieces)

    async def test_one_byte_chunks(self: FormChecker) -> None:
        await self.check_form(HttpForms.one_byte_chunks)

    async def test_stop_before_the_end(self: FormChecker) -> None:
        await self.check_form(HttpForms.stop_before_the_end)

    async def test_excess_with_length(self: FormChecker) -> None:
        await self.check_form(HttpForms.excess_with_length)

    async def test_excess_without_length(self: FormChecker) -> None:
        await self.check_form(HttpForms.excess_without_length)

    async def test_short_fields(self: FormChecker) -> None:
        await self.check_form(HttpForms.short_fields)

    async def test_excess_of_short_fields(self: FormChecker) -> None:
        await self.check_form(HttpForms.excess_of_short_fields)

    async def test_query_parameters(self: FormChecker) -> None:
        await self.check_form(HttpForms.query_parameters)

    async def test_trailers(self: FormChecker) -> None:
        await self.check_form(HttpForms.trailers)

    async def test_requests_sent_ahead(self: FormChecker) -> None:
        await self.check_form(HttpForms.requests_sent_ahead)

    async def test_slow_senders(self: FormChecker) -> None:
        await self.check_form(HttpForms.slow_senders)

    async def test_slow_readers(self: FormChecker) -> None:
        await self.check_form(HttpForms.slow_readers)

    async def test_stop_half_way(self: FormChecker) -> None:
        await self.check_form(HttpForms.stop_half_way)


class RoutedPathTest(FormsMixin, FormsCase):
    """Guards against callers of a route that end a node."""

    def get_target(self) -> Target:
        """Return a path with a route."""
        return Target(
            NODE_ADDRESS,
            self.fleet.outbound_port,
            "/read/1",
            fields=(AUTHORIZATION, "X-Sequoiaseam-Attempt-Id: 8"),
        )

    async def send_ordinary(self) -> int:
        """Send a request to the route."""
        return await self.request_route()


class UnroutedPathTest(FormsMixin, FormsCase):
    """Guards against callers without a route that end a node."""

    expected_status = 404

    def get_target(self) -> Target:
        """Return a path without a route."""
        return Target(NODE_ADDRESS, self.fleet.outbound_port, "/none")

    async def send_ordinary(self) -> int:
        """Send a request without a route."""
        return await self.request_path("/none")


class ReadinessTest(FormsMixin, FormsCase):
    """Guards against readiness checks that end a node."""

    def get_target(self) -> Target:
        """Return the readiness path."""
        return Target(NODE_ADDRESS, self.fleet.ready_port, READY_PATH)

    async def send_ordinary(self) -> int:
        """Send a readiness check."""
        return await self.request_readiness()


class ReportListenerTest(FormsMixin, FormsCase):
    """Guards against callers of the server's listener that end a node."""

    def get_target(self) -> Target:
        """Return the largest response of the listener for reports."""
        return Target(NODE_ADDRESS, self.fleet.api_port, "/metrics")

    async def send_ordinary(self) -> int:
        """Send a heartbeat."""
        return await self.send_report()


class OperatorListenerTest(FormsMixin, FormsCase):
    """Guards against callers of the operators' API that end a host."""

    def get_target(self) -> Target:
        """Return the call that reads the configuration."""
        return Target(
            CONTROL_ADDRESS,
            self.fleet.api_port,
            f"{CALL_PATH}?call=configuration.get",
            method="POST",
            fields=("Content-Length: 0",),
        )

    def create_forms(self) -> HttpForms:
        """Return the forms of calls that read or put a configuration."""
        return OperatorForms(self.get_target())

    async def send_ordinary(self) -> int:
        """Read the configuration."""
        return await self.call_api(CONTROL_ADDRESS, "call=configuration.get")


class OperatorForms(HttpForms):
    """Forms of calls whose bodies are configurations."""

    def _announce(self, size: int) -> bytes:
        return self._begin_call(f"Content-Length: {size}")

    def _begin_chunked(self) -> bytes:
        return self._begin_call("Transfer-Encoding: chunked")

    def _begin_call(self, field: str) -> bytes:
        target = Target(
            self.target.host,
            self.target.port,
            f"{CALL_PATH}?call=configuration.put",
        )
        return target.format_head(field, method="POST")


class InternalPortTest(FormsMixin, FormsCase):
    """Guards against callers of the internal port that end a host."""

    def get_target(self) -> Target:
        """Return the internal port, with a path that HTTP servers have."""
        return Target(CONTROL_ADDRESS, self.fleet.internal_port, "/")

    def create_forms(self) -> HttpForms:
        """Return the forms of frames."""
        return FrameForms(self.get_target())

    async def send_ordinary(self) -> int:
        """Start another node, which attaches itself to the control host."""
        if SECOND_NODE_ADDRESS not in self.fleet.processes:
            await self.fleet.start(SECOND_NODE_ADDRESS)
        return await self.request_readiness(SECOND_NODE_ADDRESS)


class CalmTest(CallersCase):
    """Guards against limits that refuse a single request within them."""

    limits = None
    document_limits: ClassVar[dict[str, Any]] = {
        "max-header-bytes": DEFAULT_HEADER_MAX_BYTES,
        "max-body-bytes": DEFAULT_BODY_MAX_BYTES,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    }

    async def exchange(self, *pieces: bytes, pause: float = 0.0) -> bytes:
        """Send a request in pieces; return its status line."""
        reader, writer = await asyncio.open_connection(
            NODE_ADDRESS, self.fleet.outbound_port
        )
        try:
            async with asyncio.timeout(WAIT_TIMEOUT):
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(pause)
                return await reader.readline()
        finally:
            writer.close()

    async def test_single_requests_within_the_limits(self) -> None:
        target = Target(
            NODE_ADDRESS,
            self.fleet.outbound_port,
            "/read/1",
            fields=(AUTHORIZATION, "X-Sequoiaseam-Attempt-Id: 8"),
        )
        forms = HttpForms(target)
        head = target.format_head(is_complete=False)
        short_fields = b"a:b\r\n" * (
            (DEFAULT_HEADER_MAX_BYTES - 2 * len(head)) // 6
        )
        parameters = "a=&" * ((DEFAULT_HEADER_MAX_BYTES - 1024) // 3)
        upload = target.format_head(
            f"Content-Length: {DEFAULT_BODY_MAX_BYTES}", method="POST"
        )
        chunked = forms.one_byte_chunks().pieces
        slow = target.format_head("Content-Length: 3", method="POST")
        requests: dict[str, tuple[bytes, ...]] = {
            "short fields": (head + short_fields + b"\r\n",),
            "query parameters": (
                target.format_head(path=f"/read/1?{parameters}"),
            ),
            "largest body": (upload, bytes(DEFAULT_BODY_MAX_BYTES)),
            "one-byte chunks": (*chunked, b"0\r\n\r\n"),
        }
        for name, pieces in requests.items():
            with self.subTest(name):
                status_line = await self.exchange(*pieces)
                self.assertIn(b" 200 ", status_line)
        with self.subTest("slow sender"):
            status_line = await self.exchange(
                slow[:20], slow[20:], b"a", b"b", b"c", pause=1.0
            )
            self.assertIn(b" 200 ", status_line)


if __name__ == "__main__":
    unittest.main()
