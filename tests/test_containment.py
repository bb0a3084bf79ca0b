"""Tests that malformed messages and unexpected errors stay contained."""

import asyncio
import unittest
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final, cast

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sequoiaseam._access import TrustedNetwork
from sequoiaseam._clock import ManualClock, ProcessClock
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._control_messages import (
    ATTACH_PATH,
    NodeHello,
    create_control_codec,
)
from sequoiaseam._feed import Ping, Pong
from sequoiaseam._members import MemberReport
from sequoiaseam._mesh import LENGTH_PREFIX, FrameConnection, MeshLink
from sequoiaseam._mesh_frames import (
    RunAnswer,
    RunCall,
    RunRefusal,
    RunResult,
    decode_frame,
    encode_frame,
)
from sequoiaseam._rpc import RpcServer, Stream
from sequoiaseam._settings import Endpoint
from sequoiaseam._tables import Importance
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._uplink import Uplink, UplinkHooks
from sequoiaseam.errors import ErrorCode
from tests.hosts import LOCALHOST

WAIT_LIMIT_SECONDS: Final = 20.0
CALL: Final = RunCall(
    *(1, "read", "store", "GET", "/", b"", b"", "id", "", "open"),
    *(Importance.NORMAL, 1.0, 10, 1000, False, True, False),
)
REFUSAL: Final = RunRefusal(1, ErrorCode.SHED, False, 0, 0.0, [])  # noqa: FBT003
ANSWER: Final = RunAnswer(1, 200, b"", b"", 0, 0.0, [("store", 0.0, 1.0)])

VALUES: Final = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.binary(max_size=8)
    | st.text(max_size=8),
    lambda children: st.lists(children, max_size=4),
    max_leaves=8,
)


class RecordingTransport:
    """A transport that records whether it was aborted."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True

    def write(self, data: bytes) -> None:
        """Ignore data."""


def frame(content: bytes) -> bytes:
    """Return the content with its length prefix."""
    return LENGTH_PREFIX.pack(len(content)) + content


def replace_field(message: msgspec.Struct, index: int, value: object) -> bytes:
    """Return an encoded frame with one of its fields replaced."""
    fields = msgspec.msgpack.decode(encode_frame(cast("Any", message)))
    fields[index] = value
    return msgspec.msgpack.encode(fields)


class FrameTest(unittest.TestCase):
    """Guards against frames of other nodes that stop this one."""

    def receive(self, content: bytes) -> tuple[bool, int]:
        """Return whether a frame closes its connection, and frames read."""
        frames: list[Any] = []
        connection = FrameConnection(frames.append, lambda: None)
        transport = RecordingTransport()
        connection.connection_made(cast("Any", transport))
        connection.data_received(frame(content))
        return transport.aborted, len(frames)

    def test_fields_out_of_range_are_malformed(self) -> None:
        cases = {
            "importance": replace_field(CALL, 11, 9),
            "weight 0": replace_field(CALL, 12, 0.0),
            "weight is not a number": replace_field(CALL, 12, float("nan")),
            "negative wait": replace_field(CALL, 13, -1),
            "endless deadline": replace_field(CALL, 14, 2**62),
            "unknown code": replace_field(REFUSAL, 2, "NEW_CODE"),
            "code of another type": replace_field(REFUSAL, 2, 5),
            "invalid text": replace_field(CALL, 2, "read").replace(
                b"read", b"\xff\xfe\xfd\xfc"
            ),
            "empty": b"",
            "nested without end": b"\x91" * 5000,
        }
        for name, content in cases.items():
            with self.subTest(name=name):
                self.assertEqual(self.receive(content), (True, 0))

    def test_valid_frames_are_passed_on(self) -> None:
        for message in (CALL, REFUSAL, ANSWER):
            with self.subTest(message=type(message).__name__):
                content = encode_frame(message)
                self.assertEqual(self.receive(content), (False, 1))
                self.assertEqual(decode_frame(content), message)

    @given(st.lists(VALUES, max_size=18))
    def test_any_values_are_read_or_close_the_connection(
        self, values: list[Any]
    ) -> None:
        aborted, count = self.receive(msgspec.msgpack.encode(values))
        self.assertNotEqual(aborted, count == 1)

    @given(st.sampled_from((CALL, REFUSAL, ANSWER)), st.data())
    def test_any_changed_byte_is_read_or_closes_the_connection(
        self, message: RunCall | RunRefusal | RunAnswer, data: st.DataObject
    ) -> None:
        content = bytearray(encode_frame(message))
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] = data.draw(st.integers(0, 255))
        aborted, count = self.receive(bytes(content))
        self.assertNotEqual(aborted, count == 1)

    def test_an_unexpected_error_closes_only_its_connection(self) -> None:
        def fail(_: Any) -> None:
            raise KeyError("unexpected")

        connection = FrameConnection(fail, lambda: None)
        transport = RecordingTransport()
        connection.connection_made(cast("Any", transport))
        connection.data_received(frame(encode_frame(CALL)))
        self.assertTrue(transport.aborted)

    def test_a_malformed_refusal_does_not_mean_not_run(self) -> None:
        """Report a call as lost if its result can't be read."""
        results: list[RunResult | None] = []
        link = MeshLink(Endpoint(LOCALHOST, 1), ManualClock(), lambda _: None)
        connection = FrameConnection(link._handle_frame, link._handle_close)
        transport = RecordingTransport()
        connection.connection_made(cast("Any", transport))
        connection.post = lambda frame: None  # type: ignore[method-assign]  # noqa: ARG005
        link._connection = connection
        link.call(CALL, results.append)
        connection.data_received(frame(replace_field(REFUSAL, 2, "NEW_CODE")))
        self.assertTrue(transport.aborted)
        connection.connection_lost(None)
        self.assertEqual(results, [None])


class PeriodicTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that go on without their timeouts."""

    async def test_an_error_does_not_end_a_periodic_task(self) -> None:
        called = asyncio.Event()
        count = 0

        def fail_once() -> None:
            nonlocal count
            count += 1
            if count == 1:
                raise ValueError("unexpected")
            called.set()

        tasks = TaskGroup()
        tasks.start_periodic(timedelta(milliseconds=1), fail_once)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await called.wait()
        await tasks.cancel()


class UplinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against nodes that stay without a control host."""

    async def test_attaches_again_after_an_unexpected_error(self) -> None:
        clock = ProcessClock()
        codec = create_control_codec()
        attached = 0
        attached_again = asyncio.Event()

        async def serve_node(stream: Stream, _: object) -> None:
            nonlocal attached
            attached += 1
            if attached > 1:
                attached_again.set()
            await stream.recv_message()
            await stream.send_message(Pong(clock.now(), 0, timedelta(0)))
            await stream.recv_message()
            await stream.recv_message()

        server = RpcServer(
            TrustedNetwork("control"),
            clock,
            codec,
            {ATTACH_PATH: serve_node},
        )
        await server.start(LOCALHOST, 0)
        self.addAsyncCleanup(server.close)
        assert server._listener is not None
        endpoint = Endpoint(LOCALHOST, server._listener.port)

        def fail(_: Any) -> None:
            raise KeyError("unexpected")

        uplink = Uplink(
            {"control": endpoint},
            codec,
            clock,
            Random(1),
            UplinkHooks(
                create_hello,
                create_ping,
                TrustedNetwork("node").create_proof,
                fail,
            ),
        )
        tasks = TaskGroup()
        tasks.start(uplink.run())
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await attached_again.wait()
        await tasks.cancel()


def create_hello() -> NodeHello:
    """Return the subscription of a node without a backend server."""
    member = Member(
        *("node", 1, LOCALHOST, 1, "", "domain-1", "south"),
        state=MemberState.JOINING,
    )
    return NodeHello(MemberReport(member, 1), 0)


def create_ping(now: datetime) -> Ping:
    """Return a ping of a node without any state."""
    return Ping(now, 0)


if __name__ == "__main__":
    unittest.main()
