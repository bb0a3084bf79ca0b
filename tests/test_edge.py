"""Tests of the HTTP server for callers, on loopback."""

import asyncio
import json
import unittest
from unittest import mock

from sequoiaseam import _edge
from sequoiaseam._clock import ManualClock
from sequoiaseam._edge import Edge, start_listener
from sequoiaseam._exchange import Exchange, Response
from sequoiaseam.errors import ErrorCode, RefusalError

HOST = "127.0.0.1"


async def answer(exchange: Exchange) -> Response:
    """Echo the body; refuse one path."""
    if exchange.path == "/refused":
        raise RefusalError(ErrorCode.OVERLOAD, "no capacity")
    if exchange.read_body is not None:
        exchange.body = await exchange.read_body(10)
    return Response(200, (("Set-Cookie", "a=1"),), exchange.body)


class EdgeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against HTTP that is not answered as documented."""

    async def asyncSetUp(self) -> None:
        edge = Edge(ManualClock(), answer)
        runner, self.port = await start_listener(edge.handle, HOST, 0)
        self.addAsyncCleanup(runner.cleanup)

    async def send(self, data: bytes) -> bytes:
        """Return all that comes back until the server closes."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(data)
        received = await reader.read()
        writer.close()
        return received

    async def test_malformed_requests_get_the_documented_refusal(
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

    async def test_whole_body_and_headers_come_back(self) -> None:
        received = await self.send(
            b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        )
        self.assertIn(b"Set-Cookie: a=1", received)
        self.assertTrue(received.endswith(b"\r\n\r\nabc"))

    async def test_a_caller_that_expects_100_is_invited(self) -> None:
        received = await self.send(
            b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 100 Continue\r\n"))
        self.assertIn(b"HTTP/1.1 200 OK", received)

    async def test_connections_over_the_limit_are_closed(self) -> None:
        with mock.patch.object(_edge, "CONNECTIONS_MAX", 1):
            _, first = await asyncio.open_connection(HOST, self.port)
            reader, second = await asyncio.open_connection(HOST, self.port)
            self.assertEqual(await reader.read(), b"")
            for writer in (first, second):
                writer.close()

    async def test_a_connection_without_a_request_is_closed(self) -> None:
        with mock.patch.object(_edge, "FIRST_REQUEST_TIMEOUT_SECONDS", 0.05):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET / HT")
            self.assertEqual(await reader.read(), b"")
            writer.close()
