"""Tests of the memory that responses of backend servers take."""

import asyncio
import socket
import struct
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import Final

import uvloop

from sequoiaseam._clock import ProcessClock
from sequoiaseam._http_client import (
    BackendPool,
    BackendResponse,
    Failure,
    Outcome,
)
from sequoiaseam._memory import LARGE_MIN_BYTES, MemoryBudget, MemoryUse
from tests.hosts import (
    LOCALHOST,
    HostCluster,
    ReceivedRequest,
    ScriptedServer,
    echo_body,
)
from tests.test_http_client import (
    RESPONSE,
    RESPONSE_HEAD,
    STALE_RESPONSE,
    ConnectionHarness,
    send_order,
)

WAIT_LIMIT_SECONDS: Final = 20.0
SWEEP_SECONDS: Final = 0.05
KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * 1024
LOOPS: Final = (asyncio.new_event_loop, uvloop.new_event_loop)
# What an event loop reads at once.
READ_MAX_BYTES: Final = 256 * KIBIBYTE
BUDGET_BYTES: Final = 1000
LENGTH_HEAD: Final = RESPONSE_HEAD + b"Content-Length: 100\r\n\r\n"


class FullBudget(MemoryBudget):
    """A budget of which only some bytes are left."""

    def __init__(self, free_bytes: int = 0) -> None:
        super().__init__(BUDGET_BYTES)
        self.taken_bytes = BUDGET_BYTES - free_bytes
        self.charge(MemoryUse.REQUESTS, self.taken_bytes)

    @property
    def response_bytes(self) -> int:
        """Return what responses hold."""
        return self.get_held_bytes(MemoryUse.RESPONSES)

    def make_room(self) -> None:
        """Release all that isn't held by responses."""
        self.release(MemoryUse.REQUESTS, self.taken_bytes)


def start_waiting() -> tuple[FullBudget, ConnectionHarness]:
    """Return a connection that waits for room for a response."""
    budget = FullBudget()
    harness = ConnectionHarness(budget=budget)
    harness.connection.data_received(LENGTH_HEAD + b"a" * 10)
    return budget, harness


class WaitingResponseTest(unittest.TestCase):
    """Guards against responses that are read without room for them."""

    def test_reading_pauses_until_there_is_room(self) -> None:
        budget, harness = start_waiting()
        self.assertFalse(harness.transport.reading)
        self.assertEqual(budget.response_bytes, 10)
        self.assertEqual(harness.outcomes, [])
        budget.make_room()
        self.assertTrue(harness.transport.reading)
        self.assertEqual(budget.response_bytes, 100)
        harness.connection.data_received(b"a" * 90)
        (outcome,) = harness.outcomes
        assert isinstance(outcome, BackendResponse)
        self.assertEqual(outcome.body, b"a" * 100)
        self.assertEqual(budget.held_bytes, 0)
        self.assertTrue(harness.is_reusable())

    def test_a_response_that_is_read_whole_does_not_wait(self) -> None:
        """Its memory is taken already."""
        budget = FullBudget()
        harness = ConnectionHarness(budget=budget)
        harness.connection.data_received(RESPONSE)
        self.assertIsInstance(harness.outcomes[0], BackendResponse)
        self.assertEqual(budget.response_bytes, 0)

    def test_bytes_are_held_until_the_outcome_is_handled(self) -> None:
        """Whoever keeps the response charges it without a gap."""
        held: list[int] = []
        harness = ConnectionHarness()
        harness.request.on_outcome = lambda _: held.append(
            harness.budget.held_bytes
        )
        harness.connection.data_received(LENGTH_HEAD + b"a" * 10)
        harness.connection.data_received(b"a" * 90)
        self.assertEqual(held, [100])
        self.assertEqual(harness.budget.held_bytes, 0)

    def test_an_error_of_the_owner_releases_the_bytes(self) -> None:
        harness = ConnectionHarness()

        def fail(_: Outcome) -> None:
            raise ZeroDivisionError

        harness.request.on_outcome = fail
        harness.connection.data_received(LENGTH_HEAD + b"a" * 10)
        with self.assertRaises(ZeroDivisionError):
            harness.connection.data_received(b"a" * 90)
        self.assertEqual(harness.budget.held_bytes, 0)

    def test_each_end_releases_what_waits(self) -> None:
        ends: dict[str, Callable[[ConnectionHarness], None]] = {
            "cancelled": lambda h: h.request.cancel(),
            "aborted": lambda h: h.connection.abort(),
            "closed": lambda h: h.connection.connection_lost(None),
            "reset": lambda h: h.connection.connection_lost(OSError()),
            "given up": lambda h: h.connection.reject_oversized(),
        }
        for name, end in ends.items():
            with self.subTest(name=name):
                budget, harness = start_waiting()
                end(harness)
                self.assertEqual(budget.response_bytes, 0)
                self.assertFalse(budget.has_waiting)
                self.assertFalse(harness.pool.waiting)
                budget.make_room()
                # A closed transport must not be read again.
                self.assertFalse(harness.transport.reading)
                self.assertEqual(budget.held_bytes, 0)

    def test_room_for_a_connection_that_is_closing(self) -> None:
        """The event loop may report its end later."""
        budget, harness = start_waiting()
        harness.transport.abort()
        budget.make_room()
        self.assertFalse(harness.transport.reading)
        harness.connection.connection_lost(None)
        self.assertEqual(harness.outcomes, [Failure.BROKEN])
        self.assertEqual(budget.held_bytes, 0)

    def test_each_end_releases_what_is_reserved(self) -> None:
        ends: dict[str, Callable[[ConnectionHarness], None]] = {
            "complete": lambda h: h.connection.data_received(b"a" * 90),
            "surplus bytes": lambda h: h.connection.data_received(
                b"a" * 90 + STALE_RESPONSE
            ),
            "cancelled": lambda h: h.request.cancel(),
            "aborted": lambda h: h.connection.abort(),
            "end of stream": lambda h: h.connection.connection_lost(None),
            "reset": lambda h: h.connection.connection_lost(OSError()),
            "given up": lambda h: h.connection.reject_oversized(),
        }
        for name, end in ends.items():
            with self.subTest(name=name):
                harness = ConnectionHarness()
                harness.connection.data_received(LENGTH_HEAD + b"a" * 10)
                self.assertEqual(harness.budget.held_bytes, 100)
                end(harness)
                harness.connection.connection_lost(None)
                self.assertEqual(harness.budget.held_bytes, 0)

    def test_a_response_beyond_the_largest_is_given_up_at_once(self) -> None:
        harness = ConnectionHarness()
        length = harness.budget.largest_response_bytes + 1
        harness.connection.data_received(
            RESPONSE_HEAD + b"Content-Length: %d\r\n\r\na" % length
        )
        self.assertEqual(harness.outcomes, [Failure.OVERSIZED])
        self.assertTrue(harness.transport.closed)
        self.assertEqual(harness.budget.held_bytes, 0)

    def test_a_surplus_response_of_any_length_ends_no_request(self) -> None:
        for length in (10, 10**12):
            with self.subTest(length=length):
                harness = ConnectionHarness()
                harness.connection.data_received(RESPONSE)
                harness.send()
                surplus = b"HTTP/1.1 408 Any\r\nContent-Length: %d\r\n\r\n"
                harness.connection.data_received(surplus % length + b"a" * 5)
                self.assertEqual(harness.budget.held_bytes, 0)
                harness.connection.data_received(b"a" * 5 + RESPONSE)
                self.assertIsInstance(harness.outcomes[1], BackendResponse)
                self.assertFalse(harness.is_reusable())

    def test_responses_without_a_body_reserve_nothing(self) -> None:
        length_line = b"Content-Length: 100\r\n\r\n"
        id_line = b"X-Id: 7\r\n"
        cases: dict[str, tuple[bytes, bool]] = {
            "HEAD": (RESPONSE_HEAD + length_line, True),
            "204": (
                b"HTTP/1.1 204 Any\r\n" + id_line + length_line,
                False,
            ),
            "304": (
                b"HTTP/1.1 304 Any\r\n" + id_line + length_line,
                False,
            ),
            "interim": (
                b"HTTP/1.1 103 Any\r\n" + id_line + length_line + RESPONSE,
                False,
            ),
        }
        for name, (sent, head_only) in cases.items():
            with self.subTest(name=name):
                budget = FullBudget()
                harness = ConnectionHarness(head_only=head_only, budget=budget)
                for offset in range(len(sent)):
                    harness.connection.data_received(sent[offset : offset + 1])
                    self.assertLessEqual(budget.response_bytes, 2)
                self.assertIsInstance(harness.outcomes[0], BackendResponse)
                self.assertEqual(budget.response_bytes, 0)

    def test_a_body_of_unknown_length_is_charged_as_it_comes(self) -> None:
        chunked_head = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for head, chunk in (
            (chunked_head, b"64\r\n" + b"a" * 100 + b"\r\n"),
            (RESPONSE_HEAD + b"\r\n", b"a" * 100),
        ):
            with self.subTest(head=head):
                budget = FullBudget(free_bytes=300)
                harness = ConnectionHarness(budget=budget)
                harness.connection.data_received(head)
                for count in (1, 2, 3):
                    harness.connection.data_received(chunk)
                    self.assertEqual(budget.response_bytes, 100 * count)
                self.assertEqual(harness.outcomes, [])
                harness.connection.data_received(chunk)
                self.assertEqual(harness.outcomes, [Failure.OVERSIZED])
                self.assertEqual(budget.response_bytes, 0)

    def test_a_surplus_body_is_released_when_the_next_response_begins(
        self,
    ) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(RESPONSE)
        harness.send()
        stale_head = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\n"
        harness.connection.data_received(
            stale_head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n"
        )
        self.assertEqual(harness.budget.held_bytes, 3)
        harness.connection.data_received(b"0\r\n\r\nHTTP/1.1 ")
        self.assertEqual(harness.budget.held_bytes, 0)


class CopyTest(unittest.TestCase):
    """Guards against bodies that are held more than once."""

    def test_a_large_body_is_written_as_it_is(self) -> None:
        for size, expected_writes in (
            (LARGE_MIN_BYTES, 1),
            (LARGE_MIN_BYTES + 1, 2),
        ):
            with self.subTest(size=size):
                body = bytes(size)
                harness = ConnectionHarness(body=body)
                writes = harness.transport.writes
                self.assertEqual(len(writes), expected_writes)
                self.assertEqual(b"".join(writes), b"request" + body)
                if expected_writes > 1:
                    self.assertIs(writes[1], body)
                harness.connection.data_received(RESPONSE)
                self.assertEqual(harness.request.body, b"")

    def test_a_request_that_is_not_sent_whole_ends_its_connection(
        self,
    ) -> None:
        """The next request on it would follow the rest, which is held."""
        harness = ConnectionHarness(body=bytes(LARGE_MIN_BYTES + 1))
        harness.transport.unsent_size = 1
        harness.connection.data_received(RESPONSE)
        self.assertIsInstance(harness.outcomes[0], BackendResponse)
        self.assertTrue(harness.transport.closed)
        self.assertFalse(harness.is_reusable())

    def test_a_response_takes_its_size_once(self) -> None:
        size = 16 * MEBIBYTE
        part = bytes(READ_MAX_BYTES)
        chunk = b"%x\r\n%b\r\n" % (len(part), part)
        for name, framing, sent, end in (
            ("length", b"Content-Length: %d" % size, part, b""),
            ("chunks", b"Transfer-Encoding: chunked", chunk, b"0\r\n\r\n"),
        ):
            with self.subTest(name=name):
                harness = ConnectionHarness()
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                harness.connection.data_received(
                    RESPONSE_HEAD + framing + b"\r\n\r\n"
                )
                for _ in range(size // len(part)):
                    harness.connection.data_received(sent)
                harness.connection.data_received(end)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                (outcome,) = harness.outcomes
                assert isinstance(outcome, BackendResponse)
                self.assertEqual(len(outcome.body), size)
                # A buffer that grows is up to an eighth larger.
                self.assertLess(peak, 1.125 * size + 4 * READ_MAX_BYTES)

    def test_small_chunks_take_little_more_than_their_bytes(self) -> None:
        count = 32 * KIBIBYTE
        harness = ConnectionHarness()
        harness.connection.data_received(
            RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(count // KIBIBYTE):
            harness.connection.data_received(b"2\r\nab\r\n" * KIBIBYTE)
        kept, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept, 2 * 2 * count)


class Client:
    """A pool with a scripted server, in a running event loop."""

    def __init__(
        self,
        handler: Callable[[ReceivedRequest], None],
        budget: MemoryBudget,
    ) -> None:
        self.server = ScriptedServer(handler)
        self.budget = budget
        self.clock = ProcessClock()
        self.pool: BackendPool

    async def start(self) -> None:
        """Start the server and create the pool."""
        await self.server.start()
        self.pool = BackendPool(
            LOCALHOST, self.server.port, self.clock, self.budget
        )

    async def wait_for_waiting(self) -> None:
        """Wait until a connection isn't read for lack of room."""
        while not self.pool.waiting:  # noqa: ASYNC110
            await asyncio.sleep(0)

    async def sweep(self, count: int) -> None:
        """Check the connections a number of times, as a node does."""
        for _ in range(count):
            await asyncio.sleep(SWEEP_SECONDS)
            self.pool.sweep(self.clock.now())

    def close(self) -> None:
        """Close the pool and the server."""
        self.pool.close()
        self.server.close()


def respond_with_size(request: ReceivedRequest, size: int) -> None:
    """Respond with a body of zeros."""
    request.respond(200, bytes(size))


def respond_slowly(
    request: ReceivedRequest, length: int, unread: bytes, *, reset: bool
) -> None:
    """Begin a response, send more of it later, and close the connection."""
    transport = request.transport
    transport.write(
        f"HTTP/1.1 200 OK\r\nX-Id: {request.find_field('x-id')}\r\n"
        f"Content-Length: {length}\r\n\r\na".encode()
    )

    def close() -> None:
        if reset:
            # The kernel resets the connection instead of ending it.
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            transport.abort()
        else:
            transport.close()

    loop = asyncio.get_running_loop()
    loop.call_later(0.1, transport.write, unread)
    loop.call_later(0.2, close)


class SimultaneousResponses:
    """A handler that responds once a number of requests have come."""

    def __init__(self, count: int, size: int) -> None:
        self.count = count
        self.size = size
        self.requests: list[ReceivedRequest] = []

    def __call__(self, request: ReceivedRequest) -> None:
        self.requests.append(request)
        if len(self.requests) == self.count:
            for waiting in self.requests:
                respond_with_size(waiting, self.size)
            self.requests.clear()


class SocketTest(unittest.TestCase):
    """Guards against responses lost or held while they wait for room."""

    def run_on_each_loop(
        self,
        handler: Callable[[ReceivedRequest], None],
        limit_bytes: int,
        scenario: Callable[[Client], Awaitable[None]],
    ) -> None:
        """Run a scenario on both event loops; expect that nothing is held."""
        for create_loop in LOOPS:
            client = Client(handler, MemoryBudget(limit_bytes))

            async def run(client: Client = client) -> None:
                await client.start()
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    await scenario(client)
                client.close()

            with (
                self.subTest(loop=create_loop.__module__),
                asyncio.Runner(loop_factory=create_loop) as runner,
            ):
                runner.run(run())
                self.assertEqual(client.budget.held_bytes, 0)
                self.assertFalse(client.budget.has_waiting)

    def test_responses_wait_for_each_other(self) -> None:
        """All that are sent at once would exceed the budget several times."""
        size, count = MEBIBYTE, 24
        limit_bytes = 8 * size

        async def scenario(client: Client) -> None:
            tasks = [send_order(client.pool, index) for index in range(count)]
            for outcome in await asyncio.gather(*tasks):
                assert isinstance(outcome, BackendResponse)
                self.assertEqual(outcome.body, bytes(size))
            # What is read with the head is held without room for it.
            self.assertLessEqual(
                client.budget.peak_bytes,
                limit_bytes + count * READ_MAX_BYTES,
            )
            self.assertGreater(client.budget.peak_bytes, limit_bytes // 2)

        self.run_on_each_loop(
            SimultaneousResponses(count, size), limit_bytes, scenario
        )

    def test_a_response_that_is_cut_off_while_it_waits_fails(self) -> None:
        async def scenario(client: Client) -> None:
            client.budget.charge(MemoryUse.REQUESTS, limit_bytes)
            outcome = send_order(client.pool, 1)
            await client.wait_for_waiting()
            while not outcome.done():
                await client.sweep(1)
            self.assertIs(await outcome, Failure.BROKEN)
            self.assertFalse(client.pool.waiting)
            client.budget.release(MemoryUse.REQUESTS, limit_bytes)

        limit_bytes = 4 * MEBIBYTE
        for unread in (b"", bytes(10 * KIBIBYTE)):
            for reset in (False, True):
                with self.subTest(unread=len(unread), reset=reset):
                    self.run_on_each_loop(
                        partial(
                            respond_slowly,
                            length=MEBIBYTE,
                            unread=unread,
                            reset=reset,
                        ),
                        limit_bytes,
                        scenario,
                    )

    def test_a_response_that_is_sent_whole_before_the_end_is_read(
        self,
    ) -> None:
        """The server may close while the rest waits in the kernel."""
        unread = bytes(10 * KIBIBYTE)

        async def scenario(client: Client) -> None:
            client.budget.charge(MemoryUse.REQUESTS, limit_bytes)
            outcome = send_order(client.pool, 1)
            await client.wait_for_waiting()
            await client.sweep(8)
            self.assertFalse(outcome.done())
            client.budget.release(MemoryUse.REQUESTS, limit_bytes)
            response = await outcome
            assert isinstance(response, BackendResponse)
            self.assertEqual(response.body, b"a" + unread)

        limit_bytes = 4 * MEBIBYTE
        self.run_on_each_loop(
            partial(
                respond_slowly,
                length=1 + len(unread),
                unread=unread,
                reset=False,
            ),
            limit_bytes,
            scenario,
        )

    def test_a_cancelled_request_stops_waiting(self) -> None:
        async def scenario(client: Client) -> None:
            client.budget.charge(MemoryUse.REQUESTS, limit_bytes)
            send_order(client.pool, 1)
            await client.wait_for_waiting()
            (connection,) = client.pool.waiting
            request = connection._request
            assert request is not None
            request.cancel()
            self.assertFalse(client.budget.has_waiting)
            await client.server.received[0].closed.wait()
            client.budget.release(MemoryUse.REQUESTS, limit_bytes)

        limit_bytes = 4 * MEBIBYTE
        self.run_on_each_loop(
            partial(respond_with_size, size=MEBIBYTE), limit_bytes, scenario
        )


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes that stay charged after requests to nodes."""

    async def expect_nothing_held(self, cluster: HostCluster) -> None:
        """Wait until no node holds bytes."""
        budgets = [node._memory for node in cluster.nodes]
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while any(b.held_bytes for b in budgets):  # noqa: ASYNC110
                await asyncio.sleep(SWEEP_SECONDS)

    async def start_cluster(
        self, handler: Callable[[ReceivedRequest], None], *, remote: bool
    ) -> HostCluster:
        """Start a node, or another one too that runs its requests."""
        cluster = HostCluster((handler,) * (2 if remote else 1))
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        if remote:
            cluster.report_server(0, 2, leaving=True)
        return cluster

    async def test_large_bodies_in_both_directions(self) -> None:
        body = bytes(4 * MEBIBYTE)
        for remote in (False, True):
            with self.subTest(remote=remote):
                cluster = await self.start_cluster(echo_body, remote=remote)
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    response = await cluster.send_request(
                        "/slow/1", method="POST", body=body
                    )
                self.assertEqual(response.status, 200)
                self.assertEqual(response.body, body)
                await self.expect_nothing_held(cluster)

    async def test_a_request_whose_response_waits_ends_at_its_deadline(
        self,
    ) -> None:
        size = MEBIBYTE

        def fill_budget(request: ReceivedRequest) -> None:
            budget = cluster.nodes[-1]._memory
            budget.charge(MemoryUse.REQUESTS, budget.limit_bytes)
            respond_with_size(request, size)

        for remote in (False, True):
            with self.subTest(remote=remote):
                cluster = await self.start_cluster(fill_budget, remote=remote)
                response = await cluster.send_request(
                    "/order/1", "X-Left-Ms: 300"
                )
                self.assertEqual(response.status, 504)
                (request,) = cluster.servers[-1].received
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    await request.closed.wait()
                budget = cluster.nodes[-1]._memory
                self.assertFalse(budget.has_waiting)
                budget.release(MemoryUse.REQUESTS, budget.limit_bytes)
                await self.expect_nothing_held(cluster)

    async def test_a_waiting_response_of_a_replaced_server_is_cut_off(
        self,
    ) -> None:
        """The end of its server ends the request, not a minute later."""

        def begin_response(request: ReceivedRequest) -> None:
            budget.charge(MemoryUse.REQUESTS, budget.limit_bytes)
            respond_slowly(request, MEBIBYTE, b"b", reset=False)

        cluster = await self.start_cluster(begin_response, remote=False)
        executor = cluster.nodes[0]._executor
        budget = cluster.nodes[0]._memory
        session = executor._session
        assert session is not None
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            task = asyncio.create_task(cluster.send_request("/slow/1"))
            while not budget.has_waiting:  # noqa: ASYNC110
                await asyncio.sleep(0)
            cluster.nodes[0].accept_server_report(
                replace(session.report, started_at_ms=2)
            )
            self.assertIsNot(executor._session, session)
            response = await task
        self.assertEqual(response.status, 502)
        budget.release(MemoryUse.REQUESTS, budget.limit_bytes)
        await self.expect_nothing_held(cluster)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while executor._former_pools:  # noqa: ASYNC110
                await asyncio.sleep(SWEEP_SECONDS)


if __name__ == "__main__":
    unittest.main()
