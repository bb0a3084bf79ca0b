"""Tests of the HTTP server for callers, over loopback."""

import asyncio
import json
import time
import unittest
from unittest import mock

from sequoiaseam import _edge
from sequoiaseam._clock import ManualClock
from sequoiaseam._edge import Edge, start_listener
from sequoiaseam._exchange import Exchange, Response
from sequoiaseam.errors import ErrorCode, RefusalError

HOST = "127.0.0.1"


def block_event_loop(seconds: float) -> None:
    """Delay the event loop, as a suspension of the process does."""
    time.sleep(seconds)


async def handle_exchange(exchange: Exchange) -> Response:
    """Echo the request body, but refuse the path ``/refused``."""
    if exchange.path == "/refused":
        raise RefusalError(ErrorCode.OVERLOAD, "no capacity")
    if exchange.read_body is not None:
        exchange.body = await exchange.read_body(10)
    return Response(200, (("Set-Cookie", "a=1"),), exchange.body)


class EdgeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against HTTP responses other than the documented ones."""

    async def asyncSetUp(self) -> None:
        edge = Edge(ManualClock(), handle_exchange)
        runner, self.port = await start_listener(edge.handle, HOST, 0)
        self.addAsyncCleanup(runner.cleanup)

    async def send(self, data: bytes) -> bytes:
        """Send data and return all that is received until the close."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(data)
        received = await reader.read()
        writer.close()
        return received

    async def test_refusals_have_the_documented_code(
        self,
    ) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        cases = {
            "BAD_REQUEST": head
            + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "HEADERS_TOO_LARGE": head + b"A: " + b"a" * 140_000 + b"\r\n\r\n",
            "BODY_TOO_LARGE": head + b"Content-Length: 11\r\n\r\n" + b"a" * 11,
            "OVERLOAD": b"GET /refused HTTP/1.1\r\nHost: a\r\n"
            b"Connection: close\r\n\r\n",
        }
        for code, data in cases.items():
            with self.subTest(code=code):
                received = await self.send(data)
                header, _, body = received.partition(b"\r\n\r\n")
                self.assertIn(f"Sequoiaseam-Code: {code}".encode(), header)
                self.assertEqual(json.loads(body)["code"], code)

    async def test_returns_complete_body_and_headers(self) -> None:
        received = await self.send(
            b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        )
        self.assertIn(b"Set-Cookie: a=1", received)
        self.assertTrue(received.endswith(b"\r\n\r\nabc"))

    async def test_sends_100_continue_for_an_expectation(self) -> None:
        received = await self.send(
            b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 100 Continue\r\n"))
        self.assertIn(b"HTTP/1.1 200 OK", received)

    async def test_closes_connections_over_the_limit(self) -> None:
        with mock.patch.object(_edge, "CONNECTIONS_MAX", 1):
            _, first = await asyncio.open_connection(HOST, self.port)
            reader, second = await asyncio.open_connection(HOST, self.port)
            self.assertEqual(await reader.read(), b"")
            for writer in (first, second):
                writer.close()

    async def test_closes_connections_without_a_request(self) -> None:
        with mock.patch.object(_edge, "FIRST_REQUEST_TIMEOUT_SECONDS", 0.05):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET / HT")
            self.assertEqual(await reader.read(), b"")
            writer.close()

    async def test_a_first_request_as_the_loop_is_late_is_answered(
        self,
    ) -> None:
        """Delay the loop from before the request until after the timeout."""
        timeout_seconds = 0.05
        with mock.patch.object(
            _edge, "FIRST_REQUEST_TIMEOUT_SECONDS", timeout_seconds
        ):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            block_event_loop(2 * timeout_seconds)
            response = await reader.readline()
            writer.close()
        self.assertEqual(response, b"HTTP/1.1 200 OK\r\n")
