"""Tests of the links between nodes."""

import asyncio
import socket
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final, cast
from unittest.mock import patch

import msgspec

from sequoiaseam._clock import ManualClock, ProcessClock
from sequoiaseam._memory import DEFAULT_HELD_BYTES_LIMIT, MemoryBudget
from sequoiaseam._mesh import LINK_IDLE_TIMEOUT, Mesh, MeshLink
from sequoiaseam._mesh_connection import LENGTH_PREFIX, FrameConnection
from sequoiaseam._mesh_frames import (
    Frame,
    MeshLeave,
    MeshPing,
    RunAnswer,
    RunCall,
    RunCancel,
    RunRefusal,
    RunResult,
    decode_frame,
    encode_frame,
)
from sequoiaseam._mesh_server import MeshServer
from sequoiaseam._settings import Endpoint
from sequoiaseam._tables import Importance
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
from sequoiaseam.errors import ErrorCode
from tests.hosts import LOCALHOST

WAIT_LIMIT_SECONDS: Final = 20.0

CALL: Final = RunCall(
    *(1, "read", "store", "GET", "/", b"", b"", "id", "", "open"),
    *(Importance.NORMAL, 1.0, 10, 1000, False, True, False),
)

# Isn't idempotent.
ORDER: Final = msgspec.structs.replace(CALL, idempotent=False)

# Stands for the socket of fake transports. It never has unread input.
IDLE_SOCKET, IDLE_PEER_SOCKET = socket.socketpair()


def create_budget() -> MemoryBudget:
    """Return a budget of the usual size."""
    return MemoryBudget(DEFAULT_HELD_BYTES_LIMIT)


class RecordingTransport:
    """A transport that records what is written and whether it is aborted."""

    def __init__(self) -> None:
        self.aborted = False
        self.written = b""
        self.socket = IDLE_SOCKET

    def set_write_buffer_limits(self, high: int) -> None:
        """Accept any limit, as all data is taken at once."""

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.aborted = True

    def get_extra_info(self, name: str) -> socket.socket:
        """Return the socket, of which nothing is read."""
        assert name == "socket"
        return self.socket


class RecordingConnection(FrameConnection):
    """A connection that records the frames to send."""

    def __init__(self, link: MeshLink) -> None:
        super().__init__(
            link._handle_frame, link._handle_close, create_budget()
        )
        self.posted: list[Frame] = []

    def post(self, frame: Frame) -> None:
        self.posted.append(frame)


class OpenLink:
    """A link with an open connection whose frames are recorded."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.reachable: list[bool] = []
        self.connecting_count = 0
        self.link = MeshLink(
            Endpoint("127.0.0.1", 1),
            self.clock,
            self.reachable.append,
            create_budget(),
        )
        self.link._start_connecting = (  # type: ignore[method-assign]
            self.count_connecting
        )
        self.connect()

    def connect(self) -> None:
        """Give the link a new connection."""
        self.transport = RecordingTransport()
        self.connection = RecordingConnection(self.link)
        self.connection.connection_made(cast("Any", self.transport))
        self.link._connection = self.connection

    def count_connecting(self) -> None:
        """Count attempts to connect instead of making them."""
        self.connecting_count += 1

    def run_ticks(self, duration: timedelta, *, echo: bool = True) -> None:
        """Check the link regularly for a time, with echoes to its pings."""
        end = self.clock.now() + duration
        while self.clock.now() < end:
            self.link.tick(self.clock.advance(CONNECTION_PING_INTERVAL))
            self.connection.received_data = echo


class IdleLinkTest(unittest.TestCase):
    """Guards against the cost of connections that no call uses."""

    def test_an_idle_link_is_closed_and_stays_reachable(self) -> None:
        harness = OpenLink()
        harness.run_ticks(LINK_IDLE_TIMEOUT + 5 * CONNECTION_PING_INTERVAL)
        self.assertTrue(harness.transport.aborted)
        harness.connection.connection_lost(None)
        self.assertEqual(harness.reachable, [])
        self.assertEqual(harness.connecting_count, 0)

    def test_a_call_opens_a_closed_link_again(self) -> None:
        harness = OpenLink()
        harness.run_ticks(2 * LINK_IDLE_TIMEOUT)
        harness.link.call(CALL, lambda _: None)
        self.assertEqual(harness.connecting_count, 1)

    def test_a_late_close_does_not_affect_the_next_connection(self) -> None:
        harness = OpenLink()
        harness.run_ticks(2 * LINK_IDLE_TIMEOUT)
        old_connection = harness.connection
        harness.connect()
        results: list[object] = []
        harness.link.call(CALL, results.append)
        old_connection.connection_lost(None)
        self.assertEqual((results, harness.reachable), ([], []))

    def test_a_link_with_a_call_in_progress_stays_open(self) -> None:
        harness = OpenLink()
        call_id = harness.link.call(CALL, lambda _: None)
        harness.run_ticks(3 * LINK_IDLE_TIMEOUT)
        self.assertFalse(harness.transport.aborted)
        pings = [
            p for p in harness.connection.posted if isinstance(p, MeshPing)
        ]
        self.assertGreater(len(pings), 10)
        harness.link._handle_frame(
            RunAnswer(call_id, 200, b"", b"", 0, 0.0, [])
        )
        harness.run_ticks(CONNECTION_PING_INTERVAL)
        self.assertTrue(harness.transport.aborted)

    def test_a_silent_link_is_lost_and_connected_again(self) -> None:
        harness = OpenLink()
        results: list[object] = []
        call_id = harness.link.call(CALL, results.append)
        ticks = CONNECTION_TIMEOUT + 2 * CONNECTION_PING_INTERVAL
        harness.run_ticks(ticks, echo=False)
        self.assertEqual((results, harness.reachable), ([], [False]))
        connecting_count = harness.connecting_count
        harness.run_ticks(CONNECTION_PING_INTERVAL)
        self.assertEqual(harness.connecting_count, connecting_count + 1)
        harness.link.cancel(call_id)
        self.assertTrue(harness.transport.aborted)

    def test_a_silent_link_without_calls_in_progress_is_closed(self) -> None:
        """Let the last call end while the node has been silent."""
        harness = OpenLink()
        call_id = harness.link.call(CALL, lambda _: None)
        harness.run_ticks(
            CONNECTION_TIMEOUT - CONNECTION_PING_INTERVAL, echo=False
        )
        self.assertEqual(harness.reachable, [])
        harness.link.cancel(call_id)
        harness.run_ticks(2 * CONNECTION_PING_INTERVAL, echo=False)
        self.assertTrue(harness.transport.aborted)
        harness.connection.connection_lost(None)
        self.assertEqual(harness.reachable, [False])
        harness.run_ticks(CONNECTION_PING_INTERVAL)
        self.assertEqual(harness.connecting_count, 1)


class SilentNodeTest(unittest.TestCase):
    """Guards against calls given up because their node is late.

    Nobody else may answer them, also if they can be repeated: a retry may be
    refused.
    """

    def setUp(self) -> None:
        self.harness = OpenLink()
        self.link = self.harness.link
        self.connection = self.harness.connection
        self.transport = self.harness.transport
        self.results: list[object] = []
        self.call_id = self.link.call(ORDER, self.results.append)
        self.answer = RunAnswer(self.call_id, 200, b"", b"", 0, 0.0, [])

    def fall_silent(self) -> None:
        """Let the node send nothing until it counts as silent."""
        self.harness.run_ticks(2 * CONNECTION_TIMEOUT, echo=False)
        self.assertEqual(self.harness.reachable, [False])
        self.assertGreater(self.harness.connecting_count, 0)

    def test_a_late_result_is_passed_on(self) -> None:
        self.fall_silent()
        self.assertEqual((self.results, self.transport.aborted), ([], False))
        self.assertTrue(self.link.busy)
        self.connection._on_frame(self.answer)
        self.assertEqual(self.results, [self.answer])
        self.assertTrue(self.transport.aborted)
        self.assertFalse(self.link.busy)

    def test_silence_is_reported_once_and_ends_no_call(self) -> None:
        """Let a late result come to a call that can be repeated."""
        results: list[object] = []
        silences: list[bool] = []
        call_id = self.link.call(
            CALL, results.append, lambda: silences.append(self.link.busy)
        )
        self.fall_silent()
        self.harness.run_ticks(2 * CONNECTION_TIMEOUT, echo=False)
        self.assertEqual((self.results, results), ([], []))
        self.assertEqual(silences, [True])
        self.assertNotIn(RunCancel(call_id), self.connection.posted)
        answer = RunAnswer(call_id, 200, b"", b"", 0, 0.0, [])
        self.connection._on_frame(answer)
        self.assertEqual(results, [answer])

    def test_a_call_may_be_cancelled_as_it_is_reported_silent(self) -> None:
        """Have the first report cancel both calls of a request."""
        second: list[object] = []
        ids: list[int] = []

        def cancel_all() -> None:
            for call_id in ids:
                self.link.cancel(call_id)

        ids += [
            self.link.call(CALL, second.append, cancel_all) for _ in range(2)
        ]
        self.fall_silent()
        self.assertIn(RunCancel(ids[1]), self.connection.posted)
        self.connection._on_frame(RunAnswer(ids[1], 200, b"", b"", 0, 0.0, []))
        self.assertEqual(second, [])

    def test_the_end_of_the_connection_is_that_of_its_calls_only(self) -> None:
        self.fall_silent()
        self.harness.connect()
        later: list[object] = []
        self.link.call(ORDER, later.append)
        self.connection.connection_lost(None)
        self.assertEqual((self.results, later), ([None], []))
        self.assertFalse(self.harness.transport.aborted)

    def test_a_call_that_was_not_started_has_not_run(self) -> None:
        second: list[object] = []
        self.link.call(ORDER, second.append)
        self.fall_silent()
        self.connection._on_frame(MeshLeave(self.call_id))
        (result,) = second
        assert isinstance(result, RunRefusal), result
        self.assertFalse(result.may_have_run)
        self.assertEqual(self.results, [])

    def test_a_call_that_may_still_be_written_is_not_unsent(self) -> None:
        """Let the node count as silent in the pass that posts the call."""
        with patch.object(
            self.connection, "list_unwritten", lambda: self.connection.posted
        ):
            self.fall_silent()
        self.assertEqual(self.results, [])

    def test_a_cancelled_call_ends_at_the_node(self) -> None:
        self.fall_silent()
        self.link.cancel(self.call_id)
        self.assertIn(RunCancel(self.call_id), self.connection.posted)
        self.assertTrue(self.transport.aborted)
        self.assertFalse(self.link.busy)

    def test_a_node_that_was_removed_is_not_connected_again(self) -> None:
        self.link.retire()
        self.harness.run_ticks(2 * CONNECTION_TIMEOUT, echo=False)
        self.assertEqual(self.harness.connecting_count, 0)
        self.connection._on_frame(self.answer)
        self.assertEqual(self.results, [self.answer])


class LateLoopTest(unittest.TestCase):
    """Guards against calls lost because this node's event loop is late.

    The other node is at work on them, and its answers wait in the kernel.
    """

    def test_a_late_check_is_no_proof_of_silence(self) -> None:
        """Delay the loop between a call and the first ping after it."""
        harness = OpenLink()
        harness.run_ticks(3 * CONNECTION_PING_INTERVAL)
        harness.connection.received_data = False
        harness.link.call(CALL, lambda _: None)
        harness.link.tick(harness.clock.advance(2 * CONNECTION_TIMEOUT))
        self.assertFalse(harness.transport.aborted)
        self.assertIsInstance(harness.connection.posted[-1], MeshPing)

    def test_a_connection_with_unread_data_is_not_silent(self) -> None:
        harness = OpenLink()
        harness.link.call(CALL, lambda _: None)
        harness.transport.socket, peer_socket = socket.socketpair()
        self.addCleanup(harness.transport.socket.close)
        self.addCleanup(peer_socket.close)
        peer_socket.send(b"an echo")
        harness.run_ticks(2 * CONNECTION_TIMEOUT, echo=False)
        self.assertFalse(harness.transport.aborted)


class RemovedMemberTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls without a result when a member is removed."""

    async def test_a_call_that_was_not_sent_is_refused_as_not_run(
        self,
    ) -> None:
        """Remove the member while its link is still connecting."""
        mesh = Mesh(ManualClock(), lambda *_: None, create_budget())
        self.addAsyncCleanup(mesh.close)
        link = mesh.get_link("host-1", Endpoint(LOCALHOST, 1))
        results: list[RunResult | None] = []
        link.call(CALL, results.append)
        mesh.retire_links_except(set())
        (result,) = results
        self.assertIsInstance(result, RunRefusal)
        assert isinstance(result, RunRefusal)
        self.assertFalse(result.may_have_run)

    async def test_a_link_to_a_former_address_is_closed_after_its_calls(
        self,
    ) -> None:
        clock = ManualClock()
        mesh = Mesh(clock, lambda *_: None, create_budget())
        self.addAsyncCleanup(mesh.close)
        link = mesh.get_link("host-1", Endpoint(LOCALHOST, 1))
        transport = RecordingTransport()
        connection = RecordingConnection(link)
        connection.connection_made(cast("Any", transport))
        link._connection = connection
        results: list[RunResult | None] = []
        call_id = link.call(CALL, results.append)
        self.assertIsNot(mesh.get_link("host-1", Endpoint(LOCALHOST, 2)), link)
        mesh._tick()
        self.assertFalse(transport.aborted)
        answer = RunAnswer(call_id, 200, b"", b"", 0, 0.0, [])
        link._handle_frame(answer)
        mesh._tick()
        self.assertEqual((results, transport.aborted), ([answer], True))


class LeavingNodeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that count as run though no node started them.

    A request that isn't idempotent can't go to another node then.
    """

    async def asyncSetUp(self) -> None:
        self.started: list[RunCall] = []
        self.responds = True
        self.server = MeshServer(self.run_call, create_budget())
        self.port = await self.server.start(LOCALHOST, 0)
        self.reachable: list[bool] = []
        self.link = MeshLink(
            Endpoint(LOCALHOST, self.port),
            ProcessClock(),
            self.reachable.append,
            create_budget(),
        )
        self.addCleanup(self.link.close)
        self.addAsyncCleanup(self.server.close)
        # The link is connected once the first call has its result.
        results = self.send_call()
        await self.wait_for_result(results)

    def run_call(
        self, call: RunCall, on_result: Callable[[RunResult], None]
    ) -> Callable[[], None]:
        """Record a call; answer it or leave it in progress."""
        self.started.append(call)
        if self.responds:
            on_result(RunAnswer(call.call_id, 200, b"", b"", 0, 0.0, []))
        return lambda: None

    def send_call(self) -> list[RunResult | None]:
        """Send a call and return the list for its result."""
        results: list[RunResult | None] = []
        self.link.call(CALL, results.append)
        return results

    async def wait_for_result(
        self, results: list[RunResult | None]
    ) -> RunResult | None:
        """Return the result of a call once it has come."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not results:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        (result,) = results
        return result

    def assert_not_run(self, result: RunResult | None) -> None:
        """Check that a result lets the call go to another node."""
        assert isinstance(result, RunRefusal), result
        self.assertFalse(result.may_have_run)
        self.assertIs(result.code, ErrorCode.CONNECTION_LOST)

    async def test_a_call_that_crosses_the_close_has_not_run(self) -> None:
        results = self.send_call()
        await self.server.close()
        self.assert_not_run(await self.wait_for_result(results))
        self.assertEqual(len(self.started), 1)
        self.assertEqual(self.reachable, [True, False])

    async def test_a_call_in_progress_at_the_close_may_have_run(self) -> None:
        self.responds = False
        results = self.send_call()
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while len(self.started) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        await self.server.close()
        self.assertIsNone(await self.wait_for_result(results))

    async def test_a_call_after_the_announcement_has_not_run(self) -> None:
        """Send it while an earlier one keeps the connection open."""
        self.responds = False
        earlier = self.send_call()
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while len(self.started) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        closing = asyncio.create_task(self.server.close())
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while self.reachable[-1]:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        self.assert_not_run(await self.wait_for_result(self.send_call()))
        self.assertIsNone(await self.wait_for_result(earlier))
        await closing

    async def test_a_call_after_an_end_that_waits_unread_has_not_run(
        self,
    ) -> None:
        """Send it while the event loop is late."""
        (incoming,) = self.server._connections
        transport = incoming.connection._transport
        transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.assert_not_run(await self.wait_for_result(self.send_call()))
        self.assertEqual(len(self.started), 1)

    async def test_a_call_on_a_connection_that_is_not_accepted_has_not_run(
        self,
    ) -> None:
        """Send it while the event loop of the node that closes is late."""
        connection = socket.create_connection((LOCALHOST, self.port))
        self.addCleanup(connection.close)
        content = encode_frame(CALL)
        connection.sendall(LENGTH_PREFIX.pack(len(content)) + content)
        await self.server.close()
        reader, writer = await asyncio.open_connection(sock=connection)
        self.addCleanup(writer.close)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            prefix = await reader.readexactly(LENGTH_PREFIX.size)
            content = await reader.readexactly(*LENGTH_PREFIX.unpack(prefix))
        self.assertEqual(decode_frame(content), MeshLeave(0))

    async def test_a_connection_made_after_the_close_runs_no_call(
        self,
    ) -> None:
        """An event loop may report one that it accepted before."""
        await self.server.close()
        incoming = self.server._accept()
        connection = OpenLink()
        connection.link._connection = connection.connection
        results: list[RunResult | None] = []
        connection.link.call(CALL, results.append)
        transport = RecordingTransport()
        await asyncio.sleep(0)
        incoming.connection_made(cast("Any", transport))
        await asyncio.sleep(0)
        connection.connection.data_received(transport.written)
        self.assert_not_run(await self.wait_for_result(results))

    async def test_a_call_on_a_connection_that_is_not_accepted(self) -> None:
        """Send it as the node closes while its event loop is late."""
        sender = OpenLink()
        results: list[RunResult | None] = []
        sender.link.call(CALL, results.append)
        (call,) = sender.connection.posted
        content = encode_frame(call)
        with socket.create_connection((LOCALHOST, self.port)) as connection:
            connection.sendall(LENGTH_PREFIX.pack(len(content)) + content)
            await self.server.close()
            reader, writer = await asyncio.open_connection(sock=connection)
            self.addCleanup(writer.close)
            async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                sender.connection.data_received(await reader.read())
        self.assert_not_run(await self.wait_for_result(results))

    async def test_a_call_that_was_not_written_has_not_run(self) -> None:
        """Send it before the loss of the connection is reported."""
        for name in ("eof_received", "abort", "connection_lost"):
            with self.subTest(name=name):
                connection = FrameConnection(
                    self.link._handle_frame,
                    self.link._handle_close,
                    create_budget(),
                )
                transport = RecordingTransport()
                connection.connection_made(cast("Any", transport))
                self.link._connection = connection
                if name == "eof_received":
                    connection.eof_received()
                elif name == "abort":
                    connection.abort()
                results = self.send_call()
                if name != "connection_lost":
                    await asyncio.sleep(0)
                connection.connection_lost(None)
                await asyncio.sleep(0)
                self.assertEqual(transport.written, b"")
                self.assert_not_run(await self.wait_for_result(results))


class EarlyEndTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls on connections that end as they are made.

    Data and the end of a connection may be read before the task that made
    it goes on. Calls written then would count as run, or get no result.
    """

    async def asyncSetUp(self) -> None:
        self.reachable: list[bool] = []
        self.transport = RecordingTransport()
        self.link = MeshLink(
            Endpoint(LOCALHOST, 1),
            ProcessClock(),
            self.reachable.append,
            create_budget(),
        )
        self.addCleanup(self.link.close)

    async def expect_not_run(
        self, end: Callable[[FrameConnection], None]
    ) -> None:
        """Expect a refusal of calls around the end of the connection."""

        async def connect(
            create_protocol: Callable[[], FrameConnection], *_: object
        ) -> FrameConnection:
            connection = create_protocol()
            connection.connection_made(cast("Any", self.transport))
            end(connection)
            self.link.call(CALL, later.append)
            return connection

        earlier: list[RunResult | None] = []
        later: list[RunResult | None] = []
        with patch("sequoiaseam._mesh.connect", connect):
            self.link.call(CALL, earlier.append)
            await asyncio.sleep(0.01)
        for results in (earlier, later):
            (result,) = results
            assert isinstance(result, RunRefusal), result
            self.assertFalse(result.may_have_run)
        self.assertEqual(self.transport.written, b"")
        self.assertFalse(any(self.reachable))
        self.assertFalse(self.link.busy)
        # The next check connects again.
        with patch.object(self.link, "_start_connecting") as start_connecting:
            self.link.tick(ProcessClock().now())
        start_connecting.assert_called_once()

    async def test_the_connection_is_lost(self) -> None:
        await self.expect_not_run(lambda c: c.connection_lost(None))

    async def test_the_other_node_leaves(self) -> None:
        content = encode_frame(MeshLeave(0))
        frame = LENGTH_PREFIX.pack(len(content)) + content
        await self.expect_not_run(lambda c: c.data_received(frame))


if __name__ == "__main__":
    unittest.main()
