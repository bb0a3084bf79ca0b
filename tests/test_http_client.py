"""Tests of connections to the backend server."""

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

ECHO: Final = (b"x-id", b"7")
HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
ANSWER: Final = HEAD + b"Content-Length: 2\r\n\r\nab"
LATE: Final = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold"


class FakeTransport:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.closed = True


class Exchange:
    """A call on one connection of a pool."""

    def __init__(self, *, head_only: bool = False) -> None:
        self.clock = ManualClock()
        self.pool = BackendPool("127.0.0.1", 1, self.clock)
        self.connection = BackendConnection(self.pool)
        self.transport = FakeTransport()
        self.connection.connection_made(cast("Any", self.transport))
        self.outcomes: list[Outcome] = []
        self.send(head_only=head_only)

    def send(self, *, head_only: bool = False) -> PendingRequest:
        """Send a call on the connection."""
        call = PendingRequest(
            b"request",
            ECHO,
            head_only,
            idempotent=True,
            on_outcome=self.outcomes.append,
        )
        self.connection.send(call)
        return call

    def wait(self, time: timedelta) -> None:
        """Let time pass."""
        self.pool.sweep(self.clock.advance(time))

    def is_kept(self) -> bool:
        """Return whether the pool would use the connection again."""
        return self.pool._acquire_idle(idempotent=True) is self.connection


class AnswerTest(unittest.TestCase):
    """Guards against cut, crossed and invented answers."""

    def test_outcome_of_each_way_to_answer(self) -> None:
        whole = BackendResponse(200, [], b"ab")
        cases: dict[str, tuple[bytes, Outcome | None, bool]] = {
            "whole": (ANSWER, whole, True),
            "chunks": (
                HEAD
                + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                whole,
                True,
            ),
            "interim first": (
                b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER,
                whole,
                True,
            ),
            "late one first": (LATE + ANSWER, whole, True),
            "late one only": (LATE, None, False),
            "cut": (ANSWER[:-1], None, False),
            "a second one behind": (ANSWER + LATE, whole, False),
            "bytes behind": (ANSWER + b"\x00\x01", whole, False),
            "no answer": (b"\x00\x01\x02", Failure.GARBLED, False),
            "names no request": (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                Failure.GARBLED,
                False,
            ),
            "closing": (
                HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nab",
                whole,
                False,
            ),
            "two lengths": (
                HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
                Failure.GARBLED,
                False,
            ),
        }
        for name, (sent, expected, kept) in cases.items():
            for size in (1, len(sent)):
                with self.subTest(name=name, size=size):
                    exchange = Exchange()
                    for at in range(0, len(sent), size):
                        exchange.connection.data_received(
                            sent[at : at + size],
                        )
                    self.check(exchange, expected)
                    self.assertEqual(exchange.is_kept(), kept)

    def check(self, exchange: Exchange, expected: Outcome | None) -> None:
        """Compare status and body of the only outcome."""
        if expected is None:
            self.assertEqual(exchange.outcomes, [])
            return
        (outcome,) = exchange.outcomes
        if isinstance(expected, BackendResponse):
            assert isinstance(outcome, BackendResponse)
            self.assertEqual(
                (outcome.status, outcome.body),
                (expected.status, expected.body),
            )
        else:
            self.assertEqual(outcome, expected)

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        cases = (
            ("closed", None, BackendResponse),
            ("reset", ConnectionResetError(), Failure),
        )
        for name, error, kind in cases:
            with self.subTest(name=name):
                exchange = Exchange()
                exchange.connection.data_received(HEAD + b"\r\nab")
                self.assertEqual(exchange.outcomes, [])
                exchange.connection.connection_lost(error)
                self.assertIsInstance(exchange.outcomes[0], kind)

    def test_a_lost_connection_may_have_run_the_request(self) -> None:
        exchange = Exchange()
        exchange.connection.connection_lost(None)
        self.assertEqual(exchange.outcomes, [Failure.BROKEN])

    def test_answer_to_head_has_no_body(self) -> None:
        exchange = Exchange(head_only=True)
        exchange.connection.data_received(
            HEAD + b"Content-Length: 9\r\n\r\n",
        )
        (outcome,) = exchange.outcomes
        self.assertIsInstance(outcome, BackendResponse)


class ReuseTest(unittest.TestCase):
    """Guards against requests on connections that the server has ended."""

    def test_bytes_on_an_idle_connection_end_it(self) -> None:
        exchange = Exchange()
        exchange.connection.data_received(ANSWER)
        exchange.connection.data_received(LATE)
        self.assertTrue(exchange.transport.closed)
        self.assertFalse(exchange.is_kept())

    def test_keeps_a_connection_for_part_of_the_announced_time(self) -> None:
        exchange = Exchange()
        exchange.connection.data_received(
            HEAD + b"Keep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nab",
        )
        exchange.wait(timedelta(seconds=5))
        self.assertTrue(exchange.connection.is_usable(exchange.clock.now()))
        exchange.wait(timedelta(seconds=2))
        self.assertFalse(exchange.is_kept())

    def test_what_may_run_once_gets_a_fresh_connection(self) -> None:
        exchange = Exchange()
        exchange.connection.data_received(ANSWER)
        exchange.wait(timedelta(seconds=2))
        self.assertIsNone(exchange.pool._acquire_idle(idempotent=False))
        self.assertTrue(exchange.is_kept())

    def test_cancelling_ends_the_connection_and_reports_nothing(self) -> None:
        exchange = Exchange()
        exchange.connection.data_received(ANSWER)
        call = exchange.send()
        call.cancel()
        exchange.connection.connection_lost(None)
        self.assertTrue(exchange.transport.closed)
        self.assertEqual(len(exchange.outcomes), 1)


if __name__ == "__main__":
    unittest.main()
