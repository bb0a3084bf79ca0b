"""Tests of the memory that bodies take on links between nodes."""

import asyncio
import gc
import tracemalloc
import unittest
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any, Final
from unittest.mock import patch

import msgspec
import uvloop

from sequoiaseam._clock import ProcessClock
from sequoiaseam._memory import (
    LARGE_MIN_BYTES,
    OVERDRAFT_FRACTION,
    MemoryBudget,
    MemoryUse,
)
from sequoiaseam._mesh import MeshLink
from sequoiaseam._mesh_bodies import PART_MAX_BYTES
from sequoiaseam._mesh_connection import (
    FRAME_MAX_BYTES,
    LENGTH_PREFIX,
    UNSENT_MAX_BYTES,
)
from sequoiaseam._mesh_frames import (
    BodyGrant,
    BodyPart,
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
from sequoiaseam.errors import ErrorCode
from tests.hosts import (
    LOCALHOST,
    TABLES,
    HostCluster,
    Response,
    ScriptedServer,
    echo_body,
)

WAIT_LIMIT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.002
# For what must not come.
SETTLE_SECONDS: Final = 0.1
MIB: Final = 1024 * 1024
LIMIT_BYTES: Final = 128 * MIB
CALL: Final = RunCall(
    *(1, "order", "store", "POST", "/", b"", b"", "id", "", "open"),
    *(Importance.NORMAL, 1.0, 60_000, 60_000, False, False, False),
)
ANSWER: Final = RunAnswer(1, 200, b"", b"", 0, 0.0, [])
PART: Final = bytes(range(256)) * (PART_MAX_BYTES // 256)


def make_body(size: int) -> bytes:
    """Return a body whose parts differ."""
    return Random(size).randbytes(size)


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


class RawPeer:
    """The other side of a connection, whose frames a test sends."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, *frames: Frame) -> None:
        """Send frames."""
        for frame in frames:
            content = encode_frame(frame)
            self._writer.write(LENGTH_PREFIX.pack(len(content)) + content)

    def send_bytes(self, data: bytes) -> None:
        """Send a part of a frame."""
        self._writer.write(data)

    async def receive(self) -> Any:
        """Return the next frame but pings, None at the end."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while True:
                try:
                    prefix = await self._reader.readexactly(4)
                    (size,) = LENGTH_PREFIX.unpack(prefix)
                    content = await self._reader.readexactly(size)
                except (asyncio.IncompleteReadError, ConnectionError):
                    return None
                frame = decode_frame(content)
                if not isinstance(frame, MeshPing):
                    return frame

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class MeshTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a node that runs calls, and links to it."""

    @classmethod
    def setUpClass(cls) -> None:
        """Use uvloop, as the programs do."""
        policy = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, policy)

    async def asyncSetUp(self) -> None:
        self.caller_budget = MemoryBudget(LIMIT_BYTES)
        self.runner_budget = MemoryBudget(LIMIT_BYTES)
        self.started: list[RunCall] = []
        self.finish: list[Callable[[RunResult], None]] = []
        self.cancelled_count = 0
        self.answer: Callable[[RunCall], RunResult] | None = None
        self.server = MeshServer(self.run_call, self.runner_budget)
        self.port = await self.server.start(LOCALHOST, 0)
        self.link = self.create_link(self.port)
        self.addAsyncCleanup(self.close)

    async def close(self) -> None:
        """Close all, and expect that nothing is held."""
        self.link.close()
        await self.server.close()
        await self.expect_nothing_held()

    async def expect_nothing_held(self) -> None:
        """Expect that all memory of the nodes is released soon."""
        await wait_until(
            lambda: (
                not (
                    self.caller_budget.held_bytes
                    or self.runner_budget.held_bytes
                )
            )
        )

    def create_link(self, port: int) -> MeshLink:
        """Return a link to a port."""
        return MeshLink(
            Endpoint(LOCALHOST, port),
            ProcessClock(),
            lambda _: None,
            self.caller_budget,
        )

    def run_call(
        self, call: RunCall, on_result: Callable[[RunResult], None]
    ) -> Callable[[], None]:
        """Record a call; answer it or leave it in progress."""
        if self.answer is not None:
            on_result(self.answer(call))
            return lambda: None
        self.started.append(call)
        self.finish.append(on_result)
        return self.count_cancelled

    def count_cancelled(self) -> None:
        """Count a call that is cancelled."""
        self.cancelled_count += 1

    def send(
        self, body: bytes = b"", fields: bytes = b""
    ) -> tuple[int, list[RunResult | None]]:
        """Send a call; return its id and the list for its result."""
        results: list[RunResult | None] = []
        call = msgspec.structs.replace(CALL, body=body, fields=fields)
        return self.link.call(call, results.append), results

    async def call(
        self, body: bytes = b"", fields: bytes = b""
    ) -> RunResult | None:
        """Return the result of a call."""
        _, results = self.send(body, fields)
        await wait_until(lambda: results)
        (result,) = results
        return result

    async def connect(self) -> RawPeer:
        """Return a connection to the node that runs calls."""
        peer = RawPeer(*await asyncio.open_connection(LOCALHOST, self.port))
        self.addCleanup(peer.close)
        return peer

    async def listen(self) -> asyncio.Queue[RawPeer]:
        """Replace the node that runs calls; return its connections."""
        peers: asyncio.Queue[RawPeer] = asyncio.Queue()

        def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            peer = RawPeer(reader, writer)
            self.addCleanup(peer.close)
            peers.put_nowait(peer)

        server = await asyncio.start_server(
            accept, LOCALHOST, 0, limit=PART_MAX_BYTES
        )
        self.addCleanup(server.close)
        self.link.close()
        self.link = self.create_link(server.sockets[0].getsockname()[1])
        return peers

    def assert_refused(
        self, result: Any, code: ErrorCode, *, may_have_run: bool = False
    ) -> None:
        """Check that a result is a refusal."""
        self.assertIsInstance(result, RunRefusal)
        self.assertEqual(
            (result.code, result.may_have_run), (code, may_have_run)
        )


def echo(call: RunCall) -> RunResult:
    """Return the body of a call as its answer."""
    return msgspec.structs.replace(
        ANSWER, call_id=call.call_id, body=call.body, length=len(call.body)
    )


class WholeBodyTest(MeshTestCase):
    """Guards against bodies that change on the way."""

    async def test_bodies_of_all_sizes_arrive_whole(self) -> None:
        self.answer = echo
        for size in (
            *(0, 1, LARGE_MIN_BYTES, LARGE_MIN_BYTES + 1),
            *(2 * PART_MAX_BYTES, 5 * MIB + 3),
        ):
            with self.subTest(size=size):
                body = make_body(size)
                result = await self.call(body)
                assert isinstance(result, RunAnswer), result
                self.assertTrue(result.body == body)
                self.assertEqual(
                    (result.length, result.body_length), (size, 0)
                )
        await self.expect_nothing_held()

    async def test_bodies_at_once_arrive_whole(self) -> None:
        self.answer = echo
        bodies = [make_body(MIB + 1000 * i) for i in range(8)]
        results = await asyncio.gather(*map(self.call, bodies))
        for body, result in zip(bodies, results, strict=True):
            assert isinstance(result, RunAnswer), result
            self.assertTrue(result.body == body)
        await self.expect_nothing_held()


class WholeBodyOnAsyncioTest(WholeBodyTest):
    """Guards against the same on the event loop of the tests."""

    @classmethod
    def setUpClass(cls) -> None:
        """Use the loop of asyncio."""


class PeakMemoryTest(MeshTestCase):
    """Guards against bodies that are held more than once on a node."""

    BODY_BYTES: Final = 16 * MIB
    OTHER_BYTES: Final = 2 * MIB

    def start_tracing(self) -> None:
        """Count what is allocated from now on."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def test_the_body_of_a_call(self) -> None:
        """Only the node that runs the call allocates memory for it."""
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER, call_id=call.call_id, length=len(call.body)
        )
        body = make_body(self.BODY_BYTES)
        self.start_tracing()
        result = await self.call(body)
        assert isinstance(result, RunAnswer), result
        self.assertEqual(result.length, self.BODY_BYTES)
        current, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, self.BODY_BYTES + self.OTHER_BYTES)
        self.assertLess(current, self.OTHER_BYTES)

    async def test_the_body_of_an_answer(self) -> None:
        """Only the node that waits for it allocates memory for it."""
        body = make_body(self.BODY_BYTES)
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER, call_id=call.call_id, body=body
        )
        self.start_tracing()
        result = await self.call()
        assert isinstance(result, RunAnswer), result
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, self.BODY_BYTES + self.OTHER_BYTES)
        del result
        await asyncio.sleep(0)
        current, _ = tracemalloc.get_traced_memory()
        self.assertLess(current, self.OTHER_BYTES)

    async def test_the_charges_cover_the_bodies(self) -> None:
        self.answer = echo
        await self.call(make_body(self.BODY_BYTES))
        for name, budget in (
            ("runner", self.runner_budget),
            ("caller", self.caller_budget),
        ):
            with self.subTest(name=name):
                self.assertGreaterEqual(budget.peak_bytes, self.BODY_BYTES)
                self.assertLess(
                    budget.peak_bytes, self.BODY_BYTES + self.OTHER_BYTES
                )


class SmallCallsTest(MeshTestCase):
    """Guards against small calls that wait for a large one."""

    async def test_small_calls_are_answered_meanwhile(self) -> None:
        self.answer = echo
        _, large = self.send(bytes(60 * MIB))
        count = 0
        while not large:
            await self.call(b"small")
            count += 1
        (result,) = large
        assert isinstance(result, RunAnswer), result
        self.assertGreater(count, 3)


class UnreadDataTest(MeshTestCase):
    """Guards against memory without bound for nodes that don't read."""

    async def test_a_large_body_is_not_written_ahead(self) -> None:
        peers = await self.listen()
        call_id, results = self.send(bytes(60 * MIB))
        peer = await peers.get()
        unsent = self.caller_budget.get_held_bytes
        await wait_until(lambda: unsent(MemoryUse.UNSENT))
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertLess(
            unsent(MemoryUse.UNSENT), 2 * PART_MAX_BYTES, "a part at a time"
        )
        peer.close()
        await wait_until(lambda: results)
        self.assert_refused(results[0], ErrorCode.CONNECTION_LOST)
        self.assertEqual(call_id, 1)

    async def test_a_node_that_does_not_read_gets_no_more_calls(self) -> None:
        peers = await self.listen()
        body = bytes(LARGE_MIN_BYTES)
        self.send(body)
        await peers.get()
        refused: list[RunResult | None] = []
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not refused:
                _, refused = self.send(body)
                await asyncio.sleep(0)
        self.assert_refused(refused[0], ErrorCode.CONNECTION_LOST)
        self.assertLess(
            self.caller_budget.get_held_bytes(MemoryUse.UNSENT),
            UNSENT_MAX_BYTES + 2 * LARGE_MIN_BYTES,
        )

    async def test_calls_of_a_node_that_does_not_read_wait(self) -> None:
        """They are read and answered once it reads again."""
        body = bytes(LARGE_MIN_BYTES)
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER, call_id=call.call_id, body=body
        )
        peer = await self.connect()
        count = 600
        peer.send(
            *(msgspec.structs.replace(CALL, call_id=i) for i in range(count))
        )
        unsent = self.runner_budget.get_held_bytes
        await wait_until(lambda: unsent(MemoryUse.UNSENT) > UNSENT_MAX_BYTES)
        peer.send(
            *(
                msgspec.structs.replace(CALL, call_id=count + i)
                for i in range(count)
            )
        )
        await asyncio.sleep(SETTLE_SECONDS)
        peak_bytes = self.runner_budget.peak_bytes
        self.assertLess(peak_bytes, count * (LARGE_MIN_BYTES + 100))
        for _ in range(2 * count):
            self.assertIsInstance(await peer.receive(), RunAnswer)
        await self.expect_nothing_held()


class ReservationTest(MeshTestCase):
    """Guards against calls that are read though there is no memory."""

    async def test_a_call_that_does_not_fit_has_not_run(self) -> None:
        self.answer = echo
        self.runner_budget.limit_bytes = 4 * MIB
        result = await self.call(bytes(3 * MIB))
        self.assert_refused(result, ErrorCode.OVERLOAD)
        assert isinstance(result, RunRefusal)
        self.assertGreater(result.retry_after_ms, 0)
        self.assertLess(self.runner_budget.peak_bytes, MIB)
        result = await self.call(bytes(MIB))
        self.assertIsInstance(result, RunAnswer)
        # Nothing of the refused call is left on the connection.
        (incoming,) = self.server._connections
        await wait_until(lambda: not incoming._ignored)
        await self.expect_nothing_held()

    async def test_small_calls_are_charged_until_their_results(self) -> None:
        _, results = self.send(bytes(1000), bytes(500))
        await wait_until(lambda: self.started)
        held = self.runner_budget.get_held_bytes
        self.assertGreaterEqual(held(MemoryUse.CALLS), 1500)
        self.finish[0](ANSWER)
        self.assertEqual(held(MemoryUse.CALLS), 0)
        await wait_until(lambda: results)

    async def test_a_small_call_that_does_not_fit_has_not_run(self) -> None:
        self.runner_budget.limit_bytes = 1000
        self.assert_refused(await self.call(bytes(1000)), ErrorCode.OVERLOAD)
        self.assertFalse(self.started)

    async def test_a_large_call_is_charged_until_its_cancellation(
        self,
    ) -> None:
        call_id, _ = self.send(bytes(MIB))
        await wait_until(lambda: self.started)
        self.assertGreaterEqual(self.runner_budget.held_bytes, MIB)
        self.link.cancel(call_id)
        await self.expect_nothing_held()
        self.assertEqual(self.cancelled_count, 1)

    async def test_a_large_call_is_charged_until_its_connection_ends(
        self,
    ) -> None:
        _, results = self.send(bytes(MIB))
        await wait_until(lambda: self.started)
        self.link.close()
        await wait_until(lambda: results)
        self.assertEqual(results, [None])
        await self.expect_nothing_held()
        self.assertEqual(self.cancelled_count, 1)


class IncompleteFrameTest(MeshTestCase):
    """Guards against starts of frames that aren't charged."""

    async def test_the_start_of_a_frame_is_charged_until_it_is_whole(
        self,
    ) -> None:
        peer = await self.connect()
        content = encode_frame(msgspec.structs.replace(CALL, body=PART))
        data = LENGTH_PREFIX.pack(len(content)) + content
        peer.send_bytes(data[:2])
        await wait_until(lambda: self.runner_budget.held_bytes == 2)
        peer.send_bytes(data[2:60_000])
        await wait_until(lambda: self.runner_budget.held_bytes == 60_000)
        peer.send_bytes(data[60_000:])
        await wait_until(lambda: self.started)
        self.assertTrue(self.started[0].body == PART)
        self.finish[0](ANSWER)
        await self.expect_nothing_held()
        peer.send_bytes(data[:1000])
        await wait_until(lambda: self.runner_budget.held_bytes == 1000)
        peer.close()
        await self.expect_nothing_held()

    async def test_the_end_of_a_frame_makes_room_for_an_answer(self) -> None:
        peer = await self.connect()
        peer.send_bytes(LENGTH_PREFIX.pack(len(PART)) + PART[:1000])
        held = self.runner_budget
        await wait_until(lambda: held.held_bytes == 1004)
        granted: list[bool] = []
        reservation = held.reserve_response(
            held.limit_bytes - 1000, lambda: granted.append(True)
        )
        self.assertFalse(granted)
        peer.send_bytes(PART[1000:])
        await wait_until(lambda: granted)
        reservation.release()

    async def test_a_frame_whose_rest_comes_with_the_end_is_read(
        self,
    ) -> None:
        """Let this side learn of the end between the two parts."""
        peers = await self.listen()
        _, results = self.send()
        peer = await peers.get()
        self.assertIsInstance(await peer.receive(), RunCall)
        content = encode_frame(ANSWER)
        data = LENGTH_PREFIX.pack(len(content)) + content
        peer.send_bytes(data[:5])
        await wait_until(lambda: self.caller_budget.held_bytes)
        connection = self.link._connection
        assert connection is not None
        with patch.object(connection, "_has_ended", lambda: True):
            _, later = self.send()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        peer.send_bytes(data[5:6])
        await wait_until(lambda: self.caller_budget.held_bytes == 6)
        peer.send_bytes(data[6:])
        await wait_until(lambda: results)
        self.assertEqual(results, [ANSWER])
        peer.close()
        await wait_until(lambda: later)
        self.assert_refused(later[0], ErrorCode.CONNECTION_LOST)


class IncompleteCallTest(MeshTestCase):
    """Guards against incomplete calls that run, or hold memory."""

    LENGTH: Final = 3 * PART_MAX_BYTES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.peer = await self.connect()

    async def send_start(self) -> None:
        """Send a call and the first of the three parts of its body."""
        self.peer.send(
            msgspec.structs.replace(CALL, body_length=self.LENGTH),
            BodyPart(1, PART),
        )
        await wait_until(lambda: self.runner_budget.held_bytes)

    async def test_the_run_starts_with_the_last_part(self) -> None:
        """The time that the parts took is subtracted from its time."""
        await self.send_start()
        await asyncio.sleep(0.2)
        self.assertFalse(self.started)
        self.peer.send(BodyPart(1, PART), BodyPart(1, PART))
        await wait_until(lambda: self.started)
        (call,) = self.started
        self.assertTrue(call.body == 3 * PART)
        self.assertEqual(call.body_length, 0)
        for duration_ms in (call.remaining_ms, call.patience_ms):
            self.assertLessEqual(duration_ms, 60_000 - 190)
            self.assertGreater(duration_ms, 0)
        self.finish[0](ANSWER)
        self.assertEqual(await self.peer.receive(), ANSWER)

    async def test_a_cancelled_call(self) -> None:
        await self.send_start()
        self.peer.send(RunCancel(1))
        await self.expect_nothing_held()
        self.peer.send(msgspec.structs.replace(CALL, call_id=2))
        await wait_until(lambda: self.started)
        self.assertEqual([call.call_id for call in self.started], [2])

    async def test_a_call_whose_connection_ends(self) -> None:
        await self.send_start()
        self.peer.close()
        await self.expect_nothing_held()
        self.assertFalse(self.started)

    async def test_a_call_whose_deadline_passes(self) -> None:
        self.peer.send(
            msgspec.structs.replace(
                CALL, body_length=self.LENGTH, remaining_ms=50
            ),
            BodyPart(1, PART),
        )
        self.assert_refused(await self.peer.receive(), ErrorCode.DEADLINE)
        await self.expect_nothing_held()
        # Sent before the refusal came.
        self.peer.send(BodyPart(1, PART))
        self.peer.send(RunCancel(1))
        self.peer.send(msgspec.structs.replace(CALL, call_id=2))
        await wait_until(lambda: self.started)

    async def test_a_call_to_a_node_that_leaves(self) -> None:
        """A later call has started, so the last id doesn't tell."""
        await self.send_start()
        self.peer.send(msgspec.structs.replace(CALL, call_id=2))
        await wait_until(lambda: self.started)
        self.server.leave()
        self.assert_refused(await self.peer.receive(), ErrorCode.DRAINING)
        self.assertEqual(await self.peer.receive(), MeshLeave(2))
        self.peer.send(BodyPart(1, PART), BodyPart(1, PART))
        self.peer.send(
            msgspec.structs.replace(CALL, call_id=3, body_length=self.LENGTH),
            BodyPart(3, PART),
        )
        await asyncio.sleep(SETTLE_SECONDS)
        self.finish[0](msgspec.structs.replace(ANSWER, call_id=2))
        self.assertIsInstance(await self.peer.receive(), RunAnswer)
        self.assertEqual(len(self.started), 1)


class IncompleteSendTest(MeshTestCase):
    """Guards against calls that count as run though parts are unsent."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.peers = await self.listen()
        self.call_id, self.results = self.send(bytes(60 * MIB))
        self.peer = await self.peers.get()
        unsent = self.caller_budget.get_held_bytes
        await wait_until(lambda: unsent(MemoryUse.UNSENT))

    async def assert_not_run(self) -> None:
        """Check that the call is refused as not run."""
        await wait_until(lambda: self.results)
        self.assert_refused(self.results[0], ErrorCode.CONNECTION_LOST)

    async def test_the_connection_ends(self) -> None:
        self.peer.close()
        await self.assert_not_run()
        await self.expect_nothing_held()

    async def test_the_node_leaves(self) -> None:
        self.peer.send(MeshLeave(0))
        await self.assert_not_run()
        await self.expect_nothing_held()

    async def test_the_node_falls_silent(self) -> None:
        """An earlier call keeps the connection open."""
        connection = self.link._connection
        assert connection is not None
        _, earlier = self.send()
        await asyncio.sleep(0)
        with (
            patch.object(self.link._silence, "check", lambda _: True),
            patch.object(self.link, "_start_connecting"),
        ):
            self.link.tick(ProcessClock().now())
        await self.assert_not_run()
        self.assertFalse(connection.list_incomplete_bodies())
        self.assertFalse(earlier)
        self.assertTrue(self.link.busy)

    async def test_the_call_is_cancelled(self) -> None:
        self.link.cancel(self.call_id)
        connection = self.link._connection
        assert connection is not None
        self.assertFalse(connection.list_incomplete_bodies())
        frames: list[Any] = []
        while not frames or not isinstance(frames[-1], RunCancel):
            frames.append(await self.peer.receive())
            self.assertIsNotNone(frames[-1])
        self.assertFalse(self.results)
        await self.expect_nothing_held()

    async def test_the_call_is_refused(self) -> None:
        """The node learns from the cancellation that no part follows."""
        self.peer.send(
            RunRefusal(1, ErrorCode.OVERLOAD, False, 0, 1.0, [])  # noqa: FBT003
        )
        await wait_until(lambda: self.results)
        frame: Any = None
        while not isinstance(frame, RunCancel):
            frame = await self.peer.receive()
            self.assertIsNotNone(frame)
        await self.expect_nothing_held()


class AnswerTest(MeshTestCase):
    """Guards against answers that don't fit, or are dropped."""

    BODY: Final = bytes(MIB)

    async def send_answered(self) -> tuple[int, list[RunResult | None]]:
        """Send a call whose large answer finds no memory at the caller."""
        # One answer at a time may exceed the limit by a fraction.
        room = int((1 + OVERDRAFT_FRACTION) * self.caller_budget.limit_bytes)
        self.filled = room - MIB // 2
        self.caller_budget.charge(MemoryUse.REQUESTS, self.filled)
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER, call_id=call.call_id, body=self.BODY
        )
        call_id, results = self.send()
        await wait_until(lambda: self.caller_budget.has_waiting)
        self.assertEqual(
            self.runner_budget.get_held_bytes(MemoryUse.RESPONSES), MIB
        )
        self.assertTrue(self.server.has_unsent_data)
        return call_id, results

    async def test_an_answer_waits_until_it_fits(self) -> None:
        _, results = await self.send_answered()
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertFalse(results)
        self.caller_budget.release(MemoryUse.REQUESTS, self.filled)
        await wait_until(lambda: results)
        (result,) = results
        assert isinstance(result, RunAnswer), result
        self.assertTrue(result.body == self.BODY)
        await self.expect_nothing_held()
        self.assertFalse(self.server.has_unsent_data)

    async def test_small_answers_do_not_wait(self) -> None:
        await self.send_answered()
        self.answer = echo
        self.assertIsInstance(await self.call(b"small"), RunAnswer)
        self.caller_budget.release(MemoryUse.REQUESTS, self.filled)

    async def test_a_cancelled_call(self) -> None:
        call_id, results = await self.send_answered()
        self.link.cancel(call_id)
        self.assertFalse(self.caller_budget.has_waiting)
        self.caller_budget.release(MemoryUse.REQUESTS, self.filled)
        await self.expect_nothing_held()
        self.assertFalse(results)

    async def test_the_end_of_the_connection(self) -> None:
        _, results = await self.send_answered()
        (incoming,) = self.server._connections
        incoming.connection.abort()
        await wait_until(lambda: results)
        self.assertEqual(results, [None])
        self.assertFalse(self.caller_budget.has_waiting)
        self.caller_budget.release(MemoryUse.REQUESTS, self.filled)
        await self.expect_nothing_held()

    async def test_a_silent_node_sends_its_answer_late(self) -> None:
        _, results = await self.send_answered()
        with (
            patch.object(self.link._silence, "check", lambda _: True),
            patch.object(self.link, "_start_connecting"),
        ):
            connection = self.link._connection
            assert connection is not None
            connection.received_data = False
            self.link.tick(ProcessClock().now())
        self.assertIsNone(self.link._connection)
        self.caller_budget.release(MemoryUse.REQUESTS, self.filled)
        await wait_until(lambda: results)
        self.assertIsInstance(results[0], RunAnswer)
        await self.expect_nothing_held()

    async def test_an_answer_that_a_hanging_node_does_not_take(self) -> None:
        """It is given up soon after the deadline, whether granted or not."""
        held = self.runner_budget.get_held_bytes
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER, call_id=call.call_id, body=bytes(16 * MIB)
        )
        for granted in (False, True):
            with (
                self.subTest(granted=granted),
                patch("sequoiaseam._mesh_server.ANSWER_GRACE", timedelta(0)),
            ):
                peer = await self.connect()
                peer.send(msgspec.structs.replace(CALL, remaining_ms=50))
                if granted:
                    peer.send(BodyGrant(1))
                announced = await peer.receive()
                self.assertEqual(announced.body_length, 16 * MIB)
                await wait_until(lambda: not held(MemoryUse.RESPONSES))
                # The other node had granted it before it hung.
                peer.send(BodyGrant(1))
                frame: Any = None
                while not isinstance(frame, RunRefusal):
                    frame = await peer.receive()
                    self.assertIsNotNone(frame)
                self.assert_refused(
                    frame, ErrorCode.INCOMPLETE, may_have_run=True
                )
                self.answer = echo
                peer.send(msgspec.structs.replace(CALL, call_id=2))
                self.assertIsInstance(await peer.receive(), RunAnswer)
                self.answer = lambda call: msgspec.structs.replace(
                    ANSWER, call_id=call.call_id, body=bytes(16 * MIB)
                )

    async def test_a_sent_answer_leaves_no_timer(self) -> None:
        self.answer = echo
        self.assertIsInstance(await self.call(self.BODY), RunAnswer)
        (incoming,) = self.server._connections
        self.assertFalse(incoming._timers)

    async def test_an_answer_that_never_fits(self) -> None:
        self.caller_budget.limit_bytes = MIB
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER, call_id=call.call_id, body=self.BODY
        )
        result = await self.call()
        self.assert_refused(result, ErrorCode.INCOMPLETE, may_have_run=True)
        await self.expect_nothing_held()
        self.answer = echo
        self.assertIsInstance(await self.call(b"small"), RunAnswer)


class LongFrameTest(MeshTestCase):
    """Guards against a long header that closes a link with its calls."""

    async def test_an_answer_with_long_fields_is_incomplete(self) -> None:
        _, other = self.send()
        await wait_until(lambda: self.started)
        for body in (b"", bytes(MIB)):
            with self.subTest(size=len(body)):
                self.answer = lambda call, body=body: msgspec.structs.replace(
                    ANSWER,
                    call_id=call.call_id,
                    body=body,
                    fields=bytes(FRAME_MAX_BYTES),
                )
                result = await self.call()
                self.assert_refused(
                    result, ErrorCode.INCOMPLETE, may_have_run=True
                )
                self.assertEqual(self.runner_budget.held_bytes, 1)
        self.finish[0](ANSWER)
        await wait_until(lambda: other)
        self.assertEqual(other, [ANSWER])

    async def test_a_call_with_long_fields_has_not_run(self) -> None:
        _, other = self.send()
        await wait_until(lambda: self.started)
        result = await self.call(fields=bytes(FRAME_MAX_BYTES))
        self.assert_refused(result, ErrorCode.HEADERS_TOO_LARGE)
        self.finish[0](ANSWER)
        await wait_until(lambda: other)
        self.assertEqual(other, [ANSWER])

    async def test_an_answer_with_many_pressures_comes_without(self) -> None:
        self.answer = lambda call: msgspec.structs.replace(
            ANSWER,
            call_id=call.call_id,
            body=bytes(MIB),
            pressures=[("p" * 60, 0.5, 1.0)] * 10_000,
        )
        result = await self.call()
        assert isinstance(result, RunAnswer), result
        self.assertEqual((len(result.body), result.pressures), (MIB, []))

    async def test_the_longest_frames_of_correct_nodes_fit(self) -> None:
        """A body that isn't large, with the most fields."""
        self.answer = lambda call: msgspec.structs.replace(
            echo(call),
            fields=bytes(128 * 1024),
            pressures=[("p" * 60, 0.5, 1.0)] * 500,
        )
        result = await self.call(bytes(LARGE_MIN_BYTES), bytes(96 * 1024))
        self.assertIsInstance(result, RunAnswer)


class InvalidCallsTest(MeshTestCase):
    """Guards against frames of callers that do more than end their link."""

    async def test_frames_that_no_node_sends(self) -> None:
        announced = msgspec.structs.replace(CALL, body_length=100)
        cases: dict[str, tuple[Frame, ...]] = {
            "part of an unknown call": (BodyPart(7, b"a"),),
            "part of a call without parts": (CALL, BodyPart(1, b"a")),
            "part longer than the body": (announced, BodyPart(1, bytes(101))),
            "parts longer than the body": (
                announced,
                BodyPart(1, bytes(99)),
                BodyPart(1, bytes(2)),
            ),
            "part after the body": (
                announced,
                BodyPart(1, bytes(100)),
                BodyPart(1, b"a"),
            ),
            "empty part": (announced, BodyPart(1, b"")),
            "part after a cancellation": (
                announced,
                RunCancel(1),
                BodyPart(1, b"a"),
            ),
            "call sent twice": (CALL, CALL),
            "call announced twice": (announced, announced),
            "body and parts": (msgspec.structs.replace(announced, body=b"a"),),
            "grant of no answer": (CALL, BodyGrant(1)),
            "grant of an unknown call": (BodyGrant(7),),
        }
        _, other = self.send()
        await wait_until(lambda: self.started)
        held_bytes = self.runner_budget.held_bytes
        for name, frames in cases.items():
            with self.subTest(name=name):
                peer = await self.connect()
                peer.send(*frames)
                self.assertIsNone(await peer.receive())
                await wait_until(
                    lambda: self.runner_budget.held_bytes == held_bytes
                )
                self.assertEqual(len(self.server._connections), 1)
        self.finish[0](ANSWER)
        await wait_until(lambda: other)
        self.assertEqual(other, [ANSWER])

    async def test_a_refused_call_has_no_more_parts_than_announced(
        self,
    ) -> None:
        self.runner_budget.limit_bytes = 1000
        peer = await self.connect()
        peer.send(msgspec.structs.replace(CALL, body_length=1000))
        self.assert_refused(await peer.receive(), ErrorCode.OVERLOAD)
        peer.send(BodyPart(1, bytes(999)), BodyPart(1, bytes(2)))
        self.assertIsNone(await peer.receive())


class InvalidAnswersTest(MeshTestCase):
    """Guards against frames of a node that break more than its link."""

    async def test_frames_that_no_node_sends(self) -> None:
        announced = msgspec.structs.replace(ANSWER, body_length=100)
        cases: dict[str, tuple[Frame, ...]] = {
            "part of an unknown call": (BodyPart(7, b"a"),),
            "part of no answer": (BodyPart(1, b"a"),),
            "part longer than the body": (announced, BodyPart(1, bytes(101))),
            "empty part": (announced, BodyPart(1, b"")),
            "answer announced twice": (announced, announced),
            "body and parts": (msgspec.structs.replace(announced, body=b"a"),),
        }
        for name, frames in cases.items():
            with self.subTest(name=name):
                peers = await self.listen()
                _, results = self.send()
                peer = await peers.get()
                self.assertIsInstance(await peer.receive(), RunCall)
                peer.send(*frames)
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    while not results:  # noqa: ASYNC110
                        await asyncio.sleep(POLL_SECONDS)
                self.assertEqual(results, [None])
                await self.expect_nothing_held()

    async def test_a_part_before_the_grant(self) -> None:
        self.caller_budget.charge(MemoryUse.REQUESTS, 2 * LIMIT_BYTES)
        peers = await self.listen()
        _, results = self.send()
        peer = await peers.get()
        self.assertIsInstance(await peer.receive(), RunCall)
        peer.send(
            msgspec.structs.replace(ANSWER, body_length=100),
            BodyPart(1, b"a"),
        )
        await wait_until(lambda: results)
        self.assertEqual(results, [None])
        self.caller_budget.release(MemoryUse.REQUESTS, 2 * LIMIT_BYTES)

    async def test_parts_of_a_cancelled_call_are_expected(self) -> None:
        peers = await self.listen()
        call_id, _ = self.send()
        peer = await peers.get()
        self.link.cancel(call_id)
        _, results = self.send()
        peer.send(
            msgspec.structs.replace(ANSWER, body_length=100),
            BodyPart(1, bytes(50)),
            msgspec.structs.replace(ANSWER, call_id=2),
        )
        await wait_until(lambda: results)
        self.assertIsInstance(results[0], RunAnswer)


class RandomFaultsTest(MeshTestCase):
    """Guards against charges left behind and against false verdicts.

    Calls and answers of random sizes meet cancellations, ends of the
    connection and silence at random times.
    """

    STEPS: Final = 150

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.caller_budget.limit_bytes = 3 * MIB
        self.runner_budget.limit_bytes = 3 * MIB

    async def start_runs(self, seed: int) -> None:
        """Act at random, and check what comes of it."""
        self.rng = Random(seed)
        self.started.clear()
        self.finish.clear()
        self.unfinished: list[RunCall] = []
        self.ids: dict[int, int] = {}
        self.results: dict[int, list[RunResult | None]] = {}
        self.bodies: dict[int, bytes] = {}
        self.answers: dict[int, bytes] = {}
        self.cancelled: set[int] = set()
        actions = (
            *(self.send_random,) * 8,
            *(self.finish_random,) * 8,
            *(self.cancel_random,) * 2,
            self.end_connection,
            self.fall_silent,
        )
        for _ in range(self.STEPS):
            self.rng.choice(actions)()
            for _ in range(self.rng.choice((0, 0, 1, 3, 30))):
                await asyncio.sleep(0)
            self.link.tick(ProcessClock().now())
        await self.finish_all()
        self.check_results()
        await self.expect_nothing_held()

    def choose_size(self) -> int:
        """Return a size of a body, large in half of the cases."""
        size = self.rng.choice((100, LARGE_MIN_BYTES, MIB // 2, MIB))
        return self.rng.randrange(size)

    def send_random(self) -> None:
        """Send a call; its target is its number."""
        number = len(self.results)
        results: list[RunResult | None] = []
        self.results[number] = results
        self.bodies[number] = body = self.rng.randbytes(self.choose_size())
        call = msgspec.structs.replace(CALL, target=str(number), body=body)
        call_id = self.link.call(call, results.append)
        self.ids[number] = call_id

    def finish_random(self) -> None:
        """Answer a call that runs."""
        if not self.finish:
            return
        index = self.rng.randrange(len(self.finish))
        finish = self.finish.pop(index)
        call = self.unfinished.pop(index)
        body = self.rng.randbytes(self.choose_size())
        self.answers[int(call.target)] = body
        finish(
            msgspec.structs.replace(ANSWER, call_id=call.call_id, body=body)
        )

    def cancel_random(self) -> None:
        """Cancel a call without a result."""
        numbers = [
            n
            for n, results in self.results.items()
            if not results and n not in self.cancelled
        ]
        if numbers:
            number = self.rng.choice(numbers)
            self.cancelled.add(number)
            self.link.cancel(self.ids[number])

    def end_connection(self) -> None:
        """End the connection on one of its sides."""
        incoming = [i.connection for i in self.server._connections]
        if self.link._connection is not None:
            incoming.append(self.link._connection)
        if incoming:
            self.rng.choice(incoming).abort()

    def fall_silent(self) -> None:
        """Let the node count as silent; it isn't."""
        if self.link._connection is not None:
            self.link._connection.received_data = False
            with patch.object(self.link._silence, "check", lambda _: True):
                self.link.tick(ProcessClock().now())

    def run_call(
        self, call: RunCall, on_result: Callable[[RunResult], None]
    ) -> Callable[[], None]:
        """Leave a call in progress."""
        self.unfinished.append(call)
        return super().run_call(call, on_result)

    async def finish_all(self) -> None:
        """Answer calls until each has its result."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not all(
                results or number in self.cancelled
                for number, results in self.results.items()
            ):
                self.finish_random()
                self.link.tick(ProcessClock().now())
                await asyncio.sleep(0)

    def check_results(self) -> None:
        """Check that each result is whole and true."""
        started = {int(call.target) for call in self.started}
        for number, results in self.results.items():
            self.assertLessEqual(len(results), 1)
            if number in self.cancelled:
                self.assertFalse(results)
            for result in results:
                if isinstance(result, RunAnswer):
                    self.assertTrue(result.body == self.answers[number])
                elif result is not None and not result.may_have_run:
                    self.assertNotIn(number, started)
        for call in self.started:
            self.assertTrue(call.body == self.bodies[int(call.target)])

    async def test_calls_with_faults(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                await self.start_runs(seed)


class HostsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests of callers that the links' limits break."""

    BODY: Final = Random(1).randbytes(900 * 1024)

    async def asyncSetUp(self) -> None:
        self.cluster = HostCluster((echo_body, echo_body), TABLES)
        await self.cluster.start()
        self.addAsyncCleanup(self.cluster.close)
        # All requests to the second host run on the first one.
        self.cluster.report_server(1, 2, leaving=True)

    async def send(self) -> Response:
        """Send an order with a large body to the second host."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            return await self.cluster.send_request(
                "/order/1", method="POST", body=self.BODY, host=1
            )

    async def test_a_large_body_and_answer_pass_and_are_released(self) -> None:
        responses = await asyncio.gather(*(self.send() for _ in range(4)))
        for response in responses:
            self.assertEqual(response.status, 200)
            self.assertTrue(response.body == self.BODY)
        nodes = self.cluster.nodes
        await wait_until(lambda: not any(n._memory.held_bytes for n in nodes))

    async def test_a_call_without_memory_is_refused_as_not_run(self) -> None:
        self.cluster.nodes[0]._memory.limit_bytes = len(self.BODY)
        response = await self.send()
        self.assertEqual(response.status, 503)
        self.assertIn(b"OVERLOAD", response.body)
        server: ScriptedServer = self.cluster.servers[0]
        self.assertFalse(server.received)


# The time limit of this module's calls must outlast its waits.
assert timedelta(milliseconds=CALL.remaining_ms) > timedelta(
    seconds=WAIT_LIMIT_SECONDS
)

if __name__ == "__main__":
    unittest.main()
