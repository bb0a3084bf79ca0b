"""Tests of the HTTP/1.1 client for the backend server."""

import unittest
from datetime import timedelta
from typing import Any, Final, cast

from sequoiaseam._clock import ManualClock
from sequoiaseam._http_client import (
    BackendConnection,
    BackendPool,
    BackendResponse,
    Failure,
    Outcome,
    PendingRequest,
)

CORRELATION_FIELD: Final = (b"x-id", b"7")
RESPONSE_HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
RESPONSE: Final = RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nab"
STALE_RESPONSE: Final = (
    b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold"
)


class FakeTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.closed = True


class ConnectionHarness:
    """A pool with one connection, on which a request was sent."""

    def __init__(self, *, head_only: bool = False) -> None:
        self.clock = ManualClock()
        self.pool = BackendPool("127.0.0.1", 1, self.clock)
        self.connection = BackendConnection(self.pool)
        self.transport = FakeTransport()
        self.connection.connection_made(cast("Any", self.transport))
        self.outcomes: list[Outcome] = []
        self.send(head_only=head_only)

    def send(self, *, head_only: bool = False) -> PendingRequest:
        """Send a request on the connection."""
        request = PendingRequest(
            b"request",
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
        return self.pool._acquire_idle(idempotent=True) is self.connection


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


class ReuseTest(unittest.TestCase):
    """Guards against requests on connections that the server has closed."""

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.connection.data_received(STALE_RESPONSE)
        self.assertTrue(harness.transport.closed)
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
        self.assertIsNone(harness.pool._acquire_idle(idempotent=False))
        self.assertTrue(harness.is_reusable())

    def test_cancelling_closes_the_connection_without_an_outcome(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        request = harness.send()
        request.cancel()
        harness.connection.connection_lost(None)
        self.assertTrue(harness.transport.closed)
        self.assertEqual(len(harness.outcomes), 1)


if __name__ == "__main__":
    unittest.main()
