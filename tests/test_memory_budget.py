"""Tests of the bound on held bytes, and of what callers make a node hold."""

import functools
import unittest
from dataclasses import replace
from datetime import timedelta
from typing import Any, Final

from sequoiaseam._clock import ManualClock
from sequoiaseam._exchange import Exchange, Response
from sequoiaseam._filters import BodyFilter
from sequoiaseam._http_server import (
    STALL_TIMEOUT,
    HttpRequest,
    HttpServer,
    ServerConnection,
    UnreadRefusal,
)
from sequoiaseam._memory import (
    LARGE_MIN_BYTES,
    SMALL_RESPONSE_MAX_BYTES,
    MemoryBudget,
    MemoryUse,
)
from sequoiaseam._tables import Importance
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode, RefusalError
from tests.builders import build_route
from tests.hosts import API_KEY, HostCluster, echo_body
from tests.test_http_server import (
    CHUNKED_FIELD,
    CRLF,
    GET_LINE,
    HOST_FIELD,
    POST_LINE,
    FakeTransport,
    RequestRecorder,
)

MEBIBYTE: Final = 1024 * 1024
LIMIT_BYTES: Final = 10 * MEBIBYTE
# Of a response that waits for those before it.
LARGE_BYTES: Final = SMALL_RESPONSE_MAX_BYTES + 1
SWEEP_TIME: Final = timedelta(seconds=1)


class MemoryBudgetTest(unittest.TestCase):
    """Guards against held bytes whose sum nothing bounds."""

    def setUp(self) -> None:
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.granted: list[str] = []

    def measure_room(self, importance: Importance, size: int) -> int:
        """Return the bytes that requests of one size may hold."""
        budget = MemoryBudget(LIMIT_BYTES)
        while budget.reserve_request(MemoryUse.REQUESTS, size, importance):
            pass
        return budget.held_bytes

    def test_less_important_and_large_requests_are_refused_first(
        self,
    ) -> None:
        small = [
            self.measure_room(importance, LARGE_MIN_BYTES)
            for importance in Importance
        ]
        large = [
            self.measure_room(importance, LARGE_MIN_BYTES + 1)
            for importance in Importance
        ]
        for room in (small, large):
            self.assertEqual(sorted(set(room)), room)
        # Large requests of any importance leave room to all small ones.
        self.assertLess(large[-1], small[0])
        self.assertLess(small[-1], LIMIT_BYTES)

    def test_the_largest_request_fits_alone_whatever_its_importance(
        self,
    ) -> None:
        size = self.budget.largest_request_bytes
        self.assertTrue(
            self.budget.reserve_request(
                MemoryUse.REQUESTS, size, Importance.LOW
            )
        )
        self.assertFalse(
            self.budget.reserve_request(
                MemoryUse.REQUESTS, size, Importance.CRITICAL
            )
        )

    def test_a_part_of_a_large_request_counts_as_large(self) -> None:
        self.budget.charge(
            MemoryUse.REQUESTS, int(0.6 * LIMIT_BYTES) - MEBIBYTE // 4
        )
        for total_size, expected in ((0, True), (MEBIBYTE, False)):
            with self.subTest(total_size=total_size):
                fits = self.budget.reserve_request(
                    MemoryUse.REQUESTS, 1024, Importance.HIGH, total_size
                )
                self.assertEqual(expected, fits)

    def test_responses_wait_until_they_fit(self) -> None:
        self.budget.charge(MemoryUse.RESPONSES, LIMIT_BYTES - LARGE_BYTES)
        reserve = self.budget.reserve_response
        large = reserve(2 * LARGE_BYTES, lambda: self.granted.append("large"))
        later = reserve(LARGE_BYTES, lambda: self.granted.append("later"))
        reserve(1024, lambda: self.granted.append("small"))
        # The small one doesn't wait for the large ones, and the one that
        # fits doesn't overtake the one before it.
        self.assertEqual(["small"], self.granted)
        self.assertTrue(self.budget.take_shortage())
        self.budget.release(MemoryUse.RESPONSES, 2 * LARGE_BYTES)
        self.assertEqual(["small", "large"], self.granted)
        large.release()
        large.release()
        self.assertEqual(["small", "large", "later"], self.granted)
        later.release()
        expected = LIMIT_BYTES - 3 * LARGE_BYTES + 1024
        self.assertEqual(expected, self.budget.held_bytes)

    def test_one_response_that_leads_out_passes_a_full_budget(self) -> None:
        """Guard against nodes that are full of answers for each other."""
        self.budget.charge(MemoryUse.RESPONSES, LIMIT_BYTES)
        reservations = [
            self.budget.reserve_response(
                MEBIBYTE,
                functools.partial(self.granted.append, name),
                leads_out=leads_out,
            )
            for name, leads_out in (("in", False), ("a", True), ("b", True))
        ]
        self.assertEqual(["a"], self.granted)
        reservations[1].release()
        self.assertEqual(["a", "b"], self.granted)
        reservations[2].release()
        reservations[0].release()
        self.assertEqual(["a", "b"], self.granted)
        self.assertEqual(LIMIT_BYTES, self.budget.held_bytes)

    def test_a_response_that_stops_waiting_lets_the_next_one_in(self) -> None:
        self.budget.charge(MemoryUse.RESPONSES, LIMIT_BYTES - MEBIBYTE)
        reserve = self.budget.reserve_response
        first = reserve(2 * MEBIBYTE, lambda: self.granted.append("first"))
        reserve(MEBIBYTE, lambda: self.granted.append("second"))
        first.release()
        self.assertEqual(["second"], self.granted)
        self.assertEqual(LIMIT_BYTES, self.budget.held_bytes)
        self.assertEqual(LIMIT_BYTES, self.budget.peak_bytes)


class UrgentTargets:
    """Classifier for which a target in ``/urgent/`` is critical."""

    def find_importance(self, request: HttpRequest) -> Importance:
        """Return the importance by the target."""
        urgent = request.target.startswith("/urgent/")
        return Importance.CRITICAL if urgent else Importance.LOW

    def refuse_unread(self, request: HttpRequest, size: int) -> UnreadRefusal:
        """Return a refusal that names the target."""
        del size
        return UnreadRefusal(
            503, b"Retry-After: 1\r\n", request.target.encode()
        )


class CallerMemoryTest(unittest.TestCase):
    """Guards against callers that make a node hold more than it may."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.recorder = RequestRecorder()
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.server = HttpServer(
            self.clock, self.recorder, self.budget, UrgentTargets()
        )

    def open_connection(self) -> tuple[ServerConnection, FakeTransport]:
        """Return a new connection of a caller."""
        connection = ServerConnection(self.server)
        transport: Any = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def fill(self, fraction: float) -> None:
        """Hold so much of the budget."""
        self.budget.charge(MemoryUse.CALLS, int(fraction * LIMIT_BYTES))

    def count_held(self) -> int:
        """Return the bytes held for callers."""
        return self.budget.held_bytes - self.budget.get_held_bytes(
            MemoryUse.CALLS
        )

    def test_a_body_is_charged_before_it_is_read(self) -> None:
        connection, _ = self.open_connection()
        connection.data_received(
            POST_LINE + HOST_FIELD + b"Content-Length: 3000000\r\n\r\n"
        )
        self.assertGreater(self.count_held(), 3_000_000)

    def test_a_body_that_does_not_fit_is_refused_unread(self) -> None:
        self.fill(0.4)
        connection, transport = self.open_connection()
        connection.data_received(
            POST_LINE
            + HOST_FIELD
            + b"Expect: 100-continue\r\nContent-Length: 3000000\r\n\r\n"
        )
        head, _, body = transport.written.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: 1", head)
        self.assertIn(b"Connection: close", head)
        self.assertEqual(b"/a", body)
        for _ in range(3):
            connection.data_received(bytes(MEBIBYTE))
        self.assertEqual(0, self.count_held())
        self.assertEqual([], self.recorder.requests)

    def test_important_and_small_requests_are_served_beside_it(self) -> None:
        self.fill(0.62)
        for target, length, expected in (
            (b"/a", 1000, 0),
            (b"/urgent/a", 1000, 1),
            (b"/urgent/a", 1_000_000, 1),
        ):
            with self.subTest(target=target, length=length):
                connection, _ = self.open_connection()
                connection.data_received(
                    b"POST %s HTTP/1.1\r\n" % target
                    + HOST_FIELD
                    + b"Content-Length: %d\r\n\r\n" % length
                    + bytes(length)
                )
                self.assertEqual(expected, len(self.recorder.requests))

    def test_a_chunked_body_is_refused_once_it_does_not_fit(self) -> None:
        connection, transport = self.open_connection()
        connection.data_received(POST_LINE + HOST_FIELD + CHUNKED_FIELD + CRLF)
        chunk = b"%x\r\n" % 65536 + bytes(65536) + CRLF
        for _ in range(2 * LIMIT_BYTES // 65536):
            connection.data_received(chunk)
        self.assertTrue(transport.written.startswith(b"HTTP/1.1 503 "))
        self.assertEqual(0, self.count_held())
        self.assertLess(self.budget.peak_bytes, 0.6 * LIMIT_BYTES)

    def test_many_small_fields_that_are_half_sent_are_charged(self) -> None:
        connection, _ = self.open_connection()
        connection.data_received(
            GET_LINE + HOST_FIELD + b"a:b\r\n" * 1000 + b"c"
        )
        self.assertGreater(self.count_held(), 100_000)
        connection.connection_lost(None)
        self.assertEqual(0, self.count_held())

    def test_nothing_stays_charged_after_any_end(self) -> None:
        request = (
            POST_LINE
            + HOST_FIELD
            + b"Content-Length: 200000\r\n\r\n"
            + bytes(200_000)
        )
        get = GET_LINE + HOST_FIELD + CRLF
        cases = {
            "response": (request, "respond"),
            "pipelined responses in another order": (get * 3, "respond back"),
            "response and malformed request": (request + b"\x00", "respond"),
            "caller leaves": (request + get * 3, "lose"),
            "caller leaves before the body": (request[:1000], "lose"),
            "caller leaves with responses held back": (get * 3, "last"),
            "malformed chunk": (
                POST_LINE + HOST_FIELD + CHUNKED_FIELD + b"\r\nxyz\r\n",
                "",
            ),
            "timeout": (request[:1000], "expire"),
        }
        for name, (sent, action) in cases.items():
            with self.subTest(name=name):
                self.recorder.requests.clear()
                connection, _ = self.open_connection()
                connection.data_received(sent)
                self.finish(connection, action)
                self.assertEqual(0, self.count_held())

    def finish(self, connection: ServerConnection, action: str) -> None:
        """Bring the requests of a connection to an end."""
        requests = list(self.recorder.requests)
        if action.startswith("respond"):
            if action.endswith("back"):
                requests.reverse()
            for request in requests:
                request.respond(200, b"", bytes(100_000))
        elif action == "last":
            requests[-1].respond(200, b"", bytes(100_000))
            self.assertGreater(self.count_held(), 100_000)
            connection.connection_lost(None)
        elif action == "lose":
            self.assertGreater(self.count_held(), 0)
            connection.connection_lost(None)
        elif action == "expire":
            connection.check_timeout(
                self.clock.now() + 2 * self.server.limits.idle_time
            )

    def test_unread_responses_are_charged_until_they_are_sent(self) -> None:
        connection, transport = self.open_connection()
        connection.data_received(GET_LINE + HOST_FIELD + CRLF)
        transport.unsent_size = 1_000_000
        self.recorder.requests[0].respond(200, b"", bytes(1_000_000))
        self.assertEqual(1_000_000, self.count_held())
        transport.unsent_size = 10_000
        connection.resume_writing()
        self.assertEqual(10_000, self.count_held())
        transport.unsent_size = 0
        connection.check_timeout(self.clock.now())
        self.assertEqual(0, self.count_held())

    def test_callers_that_stall_make_room_for_requests(self) -> None:
        """A reader and a sender that stall, while small orders are refused."""
        reader, reader_transport = self.open_connection()
        reader.data_received(GET_LINE + HOST_FIELD + CRLF)
        reader_transport.unsent_size = 4 * MEBIBYTE
        self.recorder.requests.pop().respond(200, b"", bytes(4 * MEBIBYTE))
        # The one that has stalled for longest is cut off first.
        self.clock.advance(SWEEP_TIME)
        sender, sender_transport = self.open_connection()
        sender.data_received(
            b"POST /urgent/b HTTP/1.1\r\n"
            + HOST_FIELD
            + b"Content-Length: 1500000\r\n\r\nx"
        )
        self.fill(0.15)
        order, order_transport = self.open_connection()
        order.data_received(GET_LINE + HOST_FIELD + CRLF)
        self.assertTrue(order_transport.written.startswith(b"HTTP/1.1 503 "))
        self.server._sweep()
        self.assertFalse(reader_transport.closed)
        self.clock.advance(STALL_TIMEOUT + SWEEP_TIME)
        # Without a refusal since, nobody is cut off.
        self.server._sweep()
        self.assertFalse(reader_transport.closed)
        order, _ = self.open_connection()
        order.data_received(GET_LINE + HOST_FIELD + CRLF)
        self.server._sweep()
        self.assertTrue(reader_transport.closed)
        reader.connection_lost(None)
        self.assertFalse(sender_transport.closed)
        self.fill(0.5)
        order, _ = self.open_connection()
        order.data_received(GET_LINE + HOST_FIELD + CRLF)
        self.server._sweep()
        self.assertTrue(sender_transport.written.startswith(b"HTTP/1.1 408 "))
        self.assertEqual(0, self.count_held())

    def test_an_error_of_one_end_leaves_nothing_charged(self) -> None:
        connection, _ = self.open_connection()
        connection.data_received((GET_LINE + HOST_FIELD + CRLF) * 3)
        ended: list[str] = []

        def fail() -> None:
            raise MemoryError

        for request, action in zip(
            self.recorder.requests,
            (fail, lambda: ended.append("second"), fail),
            strict=True,
        ):
            request.on_disconnect = action
        connection.connection_lost(None)
        self.assertEqual(["second"], ended)
        self.assertEqual(0, self.count_held())

    def test_slow_readers_make_room_for_responses_that_wait(self) -> None:
        connections = []
        for _ in range(2):
            connection, transport = self.open_connection()
            connections.append((connection, transport))
            connection.data_received(GET_LINE + HOST_FIELD + CRLF)
            transport.unsent_size = 4 * MEBIBYTE
            request = self.recorder.requests.pop()
            request.respond(200, b"", bytes(4 * MEBIBYTE))
            self.clock.advance(SWEEP_TIME)
        granted: list[bool] = []
        self.budget.reserve_response(
            4 * MEBIBYTE, lambda: granted.append(True)
        )
        self.server._sweep()
        self.assertFalse(connections[0][1].closed)
        self.clock.advance(STALL_TIMEOUT)
        # The second caller reads, if slowly.
        connections[1][1].unsent_size -= 1
        self.server._sweep()
        self.assertTrue(connections[0][1].closed)
        connections[0][0].connection_lost(None)
        self.server._sweep()
        self.assertFalse(connections[1][1].closed)
        self.assertEqual([True], granted)


class BodyFilterTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies whose sum ends ``sequoiaseam-node``."""

    async def asyncSetUp(self) -> None:
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.filter = BodyFilter(ManualClock(), MEBIBYTE, self.budget)
        # What was held as the next step of the chain ran.
        self.held: list[int] = []

    async def proceed(self, _: Exchange) -> Response:
        """Record what is held and respond."""
        self.held.append(self.budget.held_bytes)
        return Response(200, (), b"")

    async def run_request(self, announced_length: int | None) -> None:
        """Run a request with a body of 1,000 bytes."""

        async def read_body(limit: int) -> bytes:
            return bytes(min(limit, 1000))

        now = ManualClock().now()
        exchange = Exchange(
            "POST",
            "/a",
            (),
            b"",
            now,
            read_body,
            announced_length,
            route=replace(build_route("a", "/a"), body_limit=MEBIBYTE),
            deadline=now + SWEEP_TIME,
        )
        await self.filter.run(exchange, self.proceed)

    async def test_copies_are_charged_until_the_response(self) -> None:
        for length, expected in ((1000, 4000), (None, 4 * MEBIBYTE), (0, 0)):
            with self.subTest(length=length):
                await self.run_request(length)
                self.assertEqual(expected, self.held.pop())
                self.assertEqual(0, self.budget.held_bytes)

    async def test_what_does_not_fit_is_refused_unread(self) -> None:
        self.budget.charge(MemoryUse.REQUESTS, LIMIT_BYTES)
        with self.assertRaises(RefusalError) as caught:
            await self.run_request(1000)
        error = caught.exception
        self.assertIs(ErrorCode.OVERLOAD, error.code)
        self.assertIs(Verdict.NOT_RUN, error.verdict)
        self.assertIsNotNone(error.retry_after)
        await self.run_request(0)
        self.assertEqual([LIMIT_BYTES], self.held)


class NodeMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a refusal for want of memory that misleads callers."""

    async def test_a_request_refused_unread_has_not_run(self) -> None:
        cluster = HostCluster((echo_body,))
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        budget = cluster.nodes[0]._memory
        held = int(0.8 * budget.limit_bytes)
        budget.charge(MemoryUse.CALLS, held)
        response = await cluster.send_request(
            "/order/1", method="POST", body=bytes(1000), key=API_KEY
        )
        self.assertEqual(503, response.status)
        self.assertIn("Retry-After: ", response.head)
        self.assertEqual(b'{"code":"OVERLOAD"}', response.body)
        self.assertEqual([], cluster.servers[0].received)
        budget.release(MemoryUse.CALLS, held)
        response = await cluster.send_request(
            "/order/1", method="POST", body=bytes(1000)
        )
        self.assertEqual(200, response.status)
        self.assertEqual(0, budget.held_bytes)


if __name__ == "__main__":
    unittest.main()
