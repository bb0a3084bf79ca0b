"""Tests that malformed messages and unexpected errors stay contained."""

import asyncio
import contextlib
import unittest
from dataclasses import fields, is_dataclass
from datetime import timedelta
from typing import Any, Final, cast

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sequoiaseam._clock import ManualClock
from sequoiaseam._control_messages import create_control_codec
from sequoiaseam._memory import DEFAULT_HELD_BYTES_LIMIT, MemoryBudget
from sequoiaseam._mesh import MeshLink
from sequoiaseam._mesh_connection import LENGTH_PREFIX, FrameConnection
from sequoiaseam._mesh_frames import (
    RunAnswer,
    RunCall,
    RunRefusal,
    RunResult,
    decode_frame,
    encode_frame,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._tables import Importance
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.errors import ErrorCode, SeamError
from tests.hosts import LOCALHOST

WAIT_LIMIT_SECONDS: Final = 20.0
CALL: Final = RunCall(
    *(1, "read", "store", "GET", "/", b"", b"", "id", "", "open"),
    *(Importance.NORMAL, 1.0, 10, 1000, False, True, False),
)
REFUSAL: Final = RunRefusal(1, ErrorCode.SHED, False, 0, 0.0, [])  # noqa: FBT003
BUDGET: Final = MemoryBudget(DEFAULT_HELD_BYTES_LIMIT)
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
# Computes hypothesis's table of characters, which is cached on disk, before
# the first test. Its health check would count that time as slow generation.
VALUES.validate()


class RecordingTransport:
    """A transport that records whether it was aborted."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Accept any limit."""

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
        connection = FrameConnection(frames.append, lambda: None, BUDGET)
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
            "status of an interim response": replace_field(ANSWER, 2, 103),
            "status that does not exist": replace_field(ANSWER, 2, 700),
            "negative capacity": replace_field(ANSWER, 9, -1),
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

    def test_frames_without_the_last_fields_are_read(self) -> None:
        """A node of the previous release sends none of them."""
        for message, field_count in ((REFUSAL, 7), (ANSWER, 9), (ANSWER, 8)):
            with self.subTest(message=type(message).__name__):
                fields = msgspec.msgpack.decode(encode_frame(message))
                older = msgspec.msgpack.encode(fields[:field_count])
                self.assertEqual(decode_frame(older), message)
                self.assertEqual((message.capacity, message.pace), (0, 1.0))

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

        connection = FrameConnection(fail, lambda: None, BUDGET)
        transport = RecordingTransport()
        connection.connection_made(cast("Any", transport))
        connection.data_received(frame(encode_frame(CALL)))
        self.assertTrue(transport.aborted)

    def test_a_malformed_refusal_does_not_mean_not_run(self) -> None:
        """Report a call as lost if its result can't be read."""
        results: list[RunResult | None] = []
        link = MeshLink(
            Endpoint(LOCALHOST, 1), ManualClock(), lambda _: None, BUDGET
        )
        connection = FrameConnection(
            link._handle_frame, link._handle_close, BUDGET
        )
        transport = RecordingTransport()
        connection.connection_made(cast("Any", transport))
        connection.post = lambda frame: None  # type: ignore[method-assign]  # noqa: ARG005
        link._connection = connection
        link.call(CALL, results.append)
        connection.data_received(frame(replace_field(REFUSAL, 2, "NEW_CODE")))
        self.assertTrue(transport.aborted)
        connection.connection_lost(None)
        self.assertEqual(results, [None])


class ControlMessageTest(unittest.TestCase):
    """Guards against messages of control that raise unexpected errors."""

    codec = create_control_codec()

    @given(
        st.sampled_from([t.__name__ for t in codec.types]),
        VALUES | st.dictionaries(st.text(max_size=8), VALUES, max_size=4),
    )
    def test_any_content_of_each_type_is_read_or_refused(
        self, name: str, content: object
    ) -> None:
        data = msgspec.msgpack.encode((name, content))
        try:
            message = self.codec.decode(data)
        except SeamError as error:
            self.assertIs(error.code, ErrorCode.BAD_REQUEST)
        else:
            self.assertEqual(type(message).__name__, name)

    @given(
        st.sampled_from([t for t in codec.types if is_dataclass(t)]),
        st.data(),
    )
    def test_any_changed_field_is_read_or_refused(
        self, message_type: type[Any], data: st.DataObject
    ) -> None:
        """Give some of the fields a value of any type."""
        values = {
            field.name: data.draw(VALUES)
            for field in fields(message_type)
            if data.draw(st.booleans())
        }
        content = msgspec.msgpack.encode((message_type.__name__, values))
        with contextlib.suppress(SeamError):
            self.codec.decode(content)

    @given(st.binary(max_size=64))
    def test_any_bytes_are_refused_or_read(self, content: bytes) -> None:
        for decode in (self.codec.decode, self.codec.decode_compressed):
            with contextlib.suppress(SeamError):
                decode(content)


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


if __name__ == "__main__":
    unittest.main()
