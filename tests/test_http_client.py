"""Tests of the HTTP/1.1 client for the backend server."""

import asyncio
import itertools
import socket
import time
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final, cast

from sequoiaseam._clock import ManualClock, ProcessClock
from sequoiaseam._http_client import (
    CONNECT_TIMEOUT,
    OVERHEAD_MAX_BYTES,
    BackendConnection,
    BackendPool,
    BackendResponse,
    Failure,
    Outcome,
    PendingRequest,
)
from sequoiaseam._memory import (
    DEFAULT_HELD_BYTES_LIMIT,
    MemoryBudget,
)
from tests.hosts import LOCALHOST, ReceivedRequest, ScriptedServer, echo_body

WAIT_LIMIT_SECONDS: Final = 20.0
# Stands for the socket of fake transports. It never has unread input.
IDLE_SOCKET, IDLE_PEER_SOCKET = socket.socketpair()
CORRELATION_FIELD: Final = (b"x-id", b"7")
RESPONSE_HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
RESPONSE: Final = RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nab"
STALE_RESPONSE: Final = (
    b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold"
)


class FakeTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.closed = False
        self.reading = True
        self.unsent_size = 0

    def write(self, data: bytes) -> None:
        self.writes.append(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent_size

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> socket.socket:
        """Return a socket without unread input."""
        assert name == "socket"
        return IDLE_SOCKET


def build_request(
    correlation_field: tuple[bytes, bytes] | None,
    *,
    idempotent: bool = True,
) -> PendingRequest:
    """Return a request whose outcome is ignored."""
    return PendingRequest(
        b"request",
        b"",
        correlation_field,
        head_only=False,
        idempotent=idempotent,
        on_outcome=lambda _: None,
    )


class ConnectionHarness:
    """A pool with one connection, on which a request was sent."""

    def __init__(
        self,
        *,
        head_only: bool = False,
        body: bytes = b"",
        pool: BackendPool | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.pool = pool or BackendPool(
            "127.0.0.1",
            1,
            self.clock,
            budget or MemoryBudget(DEFAULT_HELD_BYTES_LIMIT),
        )
        self.budget = self.pool.budget
        self.connection = BackendConnection(self.pool)
        self.transport = FakeTransport()
        self.connection.connection_made(cast("Any", self.transport))
        self.outcomes: list[Outcome] = []
        self.request = self.send(head_only=head_only, body=body)

    def send(
        self, *, head_only: bool = False, body: bytes = b""
    ) -> PendingRequest:
        """Send a request on the connection."""
        request = PendingRequest(
            b"request",
            body,
            CORRELATION_FIELD,
            head_only,
            idempotent=True,
            on_outcome=self.outcomes.append,
        )
        self.connection.send(request)
        return request

    def advance_clock(self, duration: timedelta) -> None:
        """Advance the clock and run the pool's periodic check."""
        self.pool.sweep(self.clock.advance(duration))

    def is_reusable(self) -> bool:
        """Return whether the pool would reuse the connection."""
        request = build_request((b"x-id", b"8"))
        return self.pool._acquire_idle(request) is self.connection


class ResponseTest(unittest.TestCase):
    """Guards against truncated, mismatched and malformed responses."""

    def test_outcome_of_each_kind_of_response(self) -> None:
        complete = BackendResponse(200, [], b"ab")
        cases: dict[str, tuple[bytes, Outcome | None, bool]] = {
            "complete": (RESPONSE, complete, True),
            "chunks": (
                RESPONSE_HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                complete,
                True,
            ),
            "interim first": (
                b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE,
                complete,
                True,
            ),
            "stale response first": (
                STALE_RESPONSE + RESPONSE,
                complete,
                True,
            ),
            "stale response only": (STALE_RESPONSE, None, False),
            "truncated": (RESPONSE[:-1], None, False),
            "second response after it": (
                RESPONSE + STALE_RESPONSE,
                complete,
                False,
            ),
            "bytes after it": (RESPONSE + b"\x00\x01", complete, False),
            "not HTTP": (b"\x00\x01\x02", Failure.GARBLED, False),
            "no correlation field": (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                Failure.GARBLED,
                False,
            ),
            "closing": (
                RESPONSE_HEAD
                + b"Connection: close\r\nContent-Length: 2\r\n\r\nab",
                complete,
                False,
            ),
            "two lengths": (
                RESPONSE_HEAD
                + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
                Failure.GARBLED,
                False,
            ),
        }
        for name, (sent, expected, reusable) in cases.items():
            for part_size in (1, len(sent)):
                with self.subTest(name=name, part_size=part_size):
                    harness = ConnectionHarness()
                    for offset in range(0, len(sent), part_size):
                        harness.connection.data_received(
                            sent[offset : offset + part_size],
                        )
                    self.assert_outcome(harness, expected)
                    self.assertEqual(harness.is_reusable(), reusable)

    def assert_outcome(
        self, harness: ConnectionHarness, expected: Outcome | None
    ) -> None:
        """Assert the status and body of the only outcome."""
        if expected is None:
            self.assertEqual(harness.outcomes, [])
            return
        (outcome,) = harness.outcomes
        if isinstance(expected, BackendResponse):
            assert isinstance(outcome, BackendResponse)
            self.assertEqual(
                (outcome.status, outcome.body),
                (expected.status, expected.body),
            )
        else:
            self.assertEqual(outcome, expected)

    def test_a_response_without_a_length_ends_at_close(self) -> None:
        cases = (
            ("closed", None, BackendResponse),
            ("reset", ConnectionResetError(), Failure),
        )
        for name, error, expected_type in cases:
            with self.subTest(name=name):
                harness = ConnectionHarness()
                harness.connection.data_received(RESPONSE_HEAD + b"\r\nab")
                self.assertEqual(harness.outcomes, [])
                harness.connection.connection_lost(error)
                self.assertIsInstance(harness.outcomes[0], expected_type)

    def test_request_on_a_lost_connection_may_have_run(self) -> None:
        harness = ConnectionHarness()
        harness.connection.connection_lost(None)
        self.assertEqual(harness.outcomes, [Failure.BROKEN])

    def test_response_to_head_has_no_body(self) -> None:
        harness = ConnectionHarness(head_only=True)
        harness.connection.data_received(
            RESPONSE_HEAD + b"Content-Length: 9\r\n\r\n",
        )
        (outcome,) = harness.outcomes
        self.assertIsInstance(outcome, BackendResponse)


class EndlessResponseTest(unittest.TestCase):
    """Guards against memory taken by responses that never end."""

    def test_an_endless_response_is_given_up(self) -> None:
        chunked_head = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        cases = {
            "field line": (RESPONSE_HEAD + b"X: ", b"a" * 1000),
            "field name": (RESPONSE_HEAD, b"a" * 1000),
            "fields": (RESPONSE_HEAD, b"X: a\r\n" * 100),
            "reason phrase": (b"HTTP/1.1 200 ", b"a" * 1000),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "chunk extension": (chunked_head + b"2;", b"a" * 1000),
            "trailers": (
                chunked_head + b"2\r\nab\r\n0\r\n",
                b"X: a\r\n" * 100,
            ),
            "body with a length": (
                RESPONSE_HEAD + b"Content-Length: 99999999999\r\n\r\n",
                b"a" * 1024 * 1024,
            ),
            "body in chunks": (
                chunked_head,
                b"100000\r\n" + b"a" * 0x100000 + b"\r\n",
            ),
            "body until close": (
                RESPONSE_HEAD + b"\r\n",
                b"a" * 1024 * 1024,
            ),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(name=name):
                harness = ConnectionHarness()
                harness.connection.data_received(start)
                sent = 0
                limit = 2 * (
                    OVERHEAD_MAX_BYTES + harness.budget.largest_response_bytes
                )
                while not harness.outcomes and sent < limit:
                    harness.connection.data_received(repeated)
                    sent += len(repeated)
                self.assertEqual(harness.outcomes, [Failure.OVERSIZED])
                self.assertTrue(harness.transport.closed)
                self.assertFalse(harness.is_reusable())
                self.assertFalse(harness.pool._receiving)
                self.assertEqual(harness.pool._incomplete_bodies_size, 0)
                self.assertEqual(harness.budget.held_bytes, 0)

    def test_a_body_in_small_chunks_is_complete(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(
            RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        count = OVERHEAD_MAX_BYTES
        for _ in range(count // 1024):
            harness.connection.data_received(b"1\r\na\r\n" * 1024)
        harness.connection.data_received(b"0\r\n\r\n")
        (outcome,) = harness.outcomes
        assert isinstance(outcome, BackendResponse)
        self.assertEqual(len(outcome.body), count)

    def test_the_largest_of_several_responses_is_given_up(self) -> None:
        pool = ConnectionHarness().pool
        ordinary, endless = (ConnectionHarness(pool=pool) for _ in range(2))
        head = RESPONSE_HEAD + b"\r\n"
        ordinary.connection.data_received(head + b"a")
        endless.connection.data_received(
            head + b"a" * pool.budget.largest_response_bytes
        )
        self.assertEqual(endless.outcomes, [Failure.OVERSIZED])
        self.assertEqual(ordinary.outcomes, [])
        self.assertEqual(pool.budget.held_bytes, 1)

    def test_ended_responses_are_not_counted(self) -> None:
        framings = (
            (b"Content-Length: 9\r\n\r\na", b"a" * 8, 9),
            (
                b"Transfer-Encoding: chunked\r\n\r\n9\r\na",
                b"a" * 8 + b"\r\n0\r\n\r\n",
                1,
            ),
        )
        ends: dict[str, Callable[[ConnectionHarness, bytes], None]] = {
            "complete": lambda h, rest: h.connection.data_received(rest),
            "cancelled": lambda h, _: h.request.cancel(),
            "closed": lambda h, _: h.connection.connection_lost(None),
        }
        for (start, rest, held_size), (name, end) in itertools.product(
            framings, ends.items()
        ):
            with self.subTest(start=start, name=name):
                harness = ConnectionHarness()
                harness.connection.data_received(RESPONSE_HEAD + start)
                self.assertEqual(harness.budget.held_bytes, held_size)
                end(harness, rest)
                self.assertEqual(harness.budget.held_bytes, 0)
                self.assertEqual(harness.pool._incomplete_bodies_size, 0)
                self.assertFalse(harness.pool._receiving)


class ReuseTest(unittest.TestCase):
    """Guards against requests on connections that the server has closed."""

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.connection.data_received(STALE_RESPONSE)
        self.assertTrue(harness.transport.closed)
        self.assertFalse(harness.is_reusable())

    def test_bytes_behind_the_last_response_end_no_request(self) -> None:
        """They may come once the server works on the next request."""
        cases = {
            "no response": b"extra\r\n",
            "part of a response": b"\r\nHTTP/1.1 2\x00",
            "response without an id": (
                b"HTTP/1.1 408 Any\r\nContent-Length: 1\r\n\r\nx"
            ),
            "stale response with bytes": STALE_RESPONSE + b"HTHTTP/1.",
            "response without a length": (
                b"HTTP/1.1 408 Any\r\nConnection: close\r\n\r\n"
            ),
        }
        for name, surplus in cases.items():
            for part_size in (1, 7, 1000):
                with self.subTest(name=name, part_size=part_size):
                    harness = ConnectionHarness()
                    harness.connection.data_received(RESPONSE)
                    harness.send()
                    sent = surplus + RESPONSE
                    for offset in range(0, len(sent), part_size):
                        harness.connection.data_received(
                            sent[offset : offset + part_size]
                        )
                    self.assertEqual(len(harness.outcomes), 2)
                    outcome = harness.outcomes[1]
                    assert isinstance(outcome, BackendResponse)
                    self.assertEqual(outcome.body, b"ab")
                    self.assertFalse(harness.is_reusable())

    def test_many_starts_of_responses_are_given_up(self) -> None:
        """Each is parsed with all that follows, which holds up the node."""
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.send()
        field = b"A: HTTP/1.1 200 OK\r\n"
        harness.connection.data_received(
            b"HTTP/1.1 200 OK\r\n" + 100 * field + b"bad\x00\r\n"
        )
        self.assertIs(harness.outcomes[1], Failure.OVERSIZED)

    def test_a_malformed_response_to_the_request_itself_ends_it(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.send()
        harness.connection.data_received(
            RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nx"
        )
        self.assertIs(harness.outcomes[1], Failure.GARBLED)

    def test_a_closed_pool_finishes_requests_and_keeps_no_connection(
        self,
    ) -> None:
        """Another server has been announced while a request is running."""
        harness = ConnectionHarness()
        harness.pool.close()
        self.assertFalse(harness.transport.closed)
        harness.connection.data_received(RESPONSE)
        self.assertEqual(len(harness.outcomes), 1)
        self.assertIsInstance(harness.outcomes[0], BackendResponse)
        self.assertTrue(harness.transport.closed)

    def test_a_connection_that_the_server_closes_is_not_reused(self) -> None:
        """The event loop reports the end of the data before the close."""
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.connection.eof_received()
        self.assertFalse(harness.is_reusable())

    def test_reuses_a_connection_for_part_of_the_announced_time(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(
            RESPONSE_HEAD
            + b"Keep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nab",
        )
        harness.advance_clock(timedelta(seconds=5))
        self.assertTrue(harness.connection.is_usable(harness.clock.now()))
        harness.advance_clock(timedelta(seconds=2))
        self.assertFalse(harness.is_reusable())

    def test_a_non_idempotent_request_gets_a_fresh_connection(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.advance_clock(timedelta(seconds=2))
        request = build_request((b"x-id", b"8"), idempotent=False)
        self.assertIsNone(harness.pool._acquire_idle(request))
        self.assertTrue(harness.is_reusable())

    def test_a_late_copy_can_not_answer_a_request_like_the_last(self) -> None:
        """Don't reuse a connection where a late copy would look right."""
        for name, correlation_field in (
            ("same id", CORRELATION_FIELD),
            ("no id", None),
        ):
            with self.subTest(name=name):
                harness = ConnectionHarness()
                harness.connection.data_received(RESPONSE)
                request = build_request(correlation_field)
                self.assertIsNone(harness.pool._acquire_idle(request))
                self.assertTrue(harness.is_reusable())

    def test_cancelling_closes_the_connection_without_an_outcome(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        request = harness.send()
        request.cancel()
        harness.connection.connection_lost(None)
        self.assertTrue(harness.transport.closed)
        self.assertEqual(len(harness.outcomes), 1)


def block_event_loop(duration: timedelta) -> None:
    """Delay the event loop, as a suspension of the process does."""
    time.sleep(duration.total_seconds())


def send_order(pool: BackendPool, request_id: int) -> asyncio.Future[Outcome]:
    """Send a request that isn't idempotent; return its outcome."""
    outcome: asyncio.Future[Outcome] = (
        asyncio.get_running_loop().create_future()
    )
    pool.send(
        PendingRequest(
            b"POST / HTTP/1.1\r\nX-Id: %d\r\n\r\n" % request_id,
            b"",
            (b"x-id", b"%d" % request_id),
            head_only=False,
            idempotent=False,
            on_outcome=outcome.set_result,
        )
    )
    return outcome


class PoolTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a pool and a scripted server."""

    async def asyncSetUp(self) -> None:
        self.server = ScriptedServer(echo_body)
        await self.server.start()
        self.addCleanup(self.server.close)
        self.budget = MemoryBudget(DEFAULT_HELD_BYTES_LIMIT)
        self.pool = BackendPool(
            LOCALHOST, self.server.port, ProcessClock(), self.budget
        )
        self.addCleanup(self.pool.close)

    def send(self, request_id: int) -> asyncio.Future[Outcome]:
        """Send a request that isn't idempotent; return its outcome."""
        return send_order(self.pool, request_id)


class LateConnectionTest(PoolTestCase):
    """Guards against servers that only a late loop takes for unreachable."""

    async def test_an_attempt_that_the_loop_finishes_late_is_repeated(
        self,
    ) -> None:
        outcome = self.send(1)
        # The attempt begins, and the kernel makes the connection.
        await asyncio.sleep(0)
        block_event_loop(1.5 * CONNECT_TIMEOUT)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            self.assertIsInstance(await outcome, BackendResponse)


class UnreadEndTest(PoolTestCase):
    """Guards against requests on connections whose end waits unread.

    While the event loop is late, the end of the stream, or bytes that are
    no response, wait in the kernel. Such a request counts as possibly run.
    """

    def end_stream(self, request: ReceivedRequest) -> None:
        """Close the server's side without letting the event loop run."""
        request.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)

    def send_surplus_bytes(self, request: ReceivedRequest) -> None:
        """Send bytes that belong to no request."""
        request.transport.write(
            b"HTTP/1.1 408 Any\r\nContent-Length: 0\r\n\r\n"
        )

    async def test_the_next_request_uses_another_connection(self) -> None:
        for name, disturb in (
            ("end of stream", self.end_stream),
            ("surplus bytes", self.send_surplus_bytes),
        ):
            with self.subTest(name=name):
                self.server.received.clear()
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    first = await self.send(1)
                    self.assertIsInstance(first, BackendResponse)
                    disturb(self.server.received[0])
                    second = await self.send(2)
                self.assertIsInstance(second, BackendResponse)


class LostConnectionsTest(PoolTestCase):
    """Guards against a restart of the server that isn't noticed."""

    async def test_an_unread_end_of_the_last_connection_is_a_loss(
        self,
    ) -> None:
        losses: list[None] = []
        pool = BackendPool(
            LOCALHOST,
            self.server.port,
            ProcessClock(),
            self.budget,
            lambda: losses.append(None),
        )
        self.addCleanup(pool.close)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await send_order(pool, 1)
            first = self.server.received[0]
            first.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
            outcome = send_order(pool, 2)
            self.assertIsInstance(await outcome, BackendResponse)
        self.assertEqual(len(losses), 1)


if __name__ == "__main__":
    unittest.main()
