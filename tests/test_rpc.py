"""Tests of RPC streams between processes, over TCP."""

import asyncio
import os
import socket
import struct
import time
import unittest
from typing import Any
from unittest import mock

import msgspec
from bench.processes import find_free_ports

from sequoiaseam import _rpc
from sequoiaseam._access import Credentials, Identity, Role, Verifier
from sequoiaseam._clock import ProcessClock
from sequoiaseam._control_messages import PeerPing, create_control_codec
from sequoiaseam._rpc import (
    FRAME_HEADER,
    MAX_UNREAD_BYTES,
    OPENING_MAX_BYTES,
    UNREAD_FRAMES_MAX,
    Channel,
    Connection,
    Kind,
    RpcServer,
    Stream,
    StreamEndedError,
)
from sequoiaseam.errors import ErrorCode, SeamError

CREDENTIALS = Credentials((b"x" * 32,), (b"y" * 32,))
HOST = "127.0.0.1"
TIMEOUT_SECONDS = 5.0


class RpcTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a server and a channel to it."""

    async def asyncSetUp(self) -> None:
        self.clock = ProcessClock()
        codec = create_control_codec()
        self.server = RpcServer(
            Verifier(CREDENTIALS),
            self.clock,
            codec,
            {
                "/echo": self._echo,
                "/leave": self._end_without_reply,
                "/deny": self._deny,
            },
        )
        (port,) = find_free_ports(1)
        self.port = port
        await self.server.start(HOST, port)
        self.channel = Channel(HOST, port, codec)

    async def asyncTearDown(self) -> None:
        await self.server.close()

    def create_proof(self) -> str:
        return CREDENTIALS.sign(
            self.clock.now(),
            Role.FLEET,
            "one",
            os.urandom(16).hex(),
        )

    async def call(self, path: str, proof: str | None = None) -> Any:
        return await self.channel.call(
            path,
            PeerPing(1),
            proof=self.create_proof() if proof is None else proof,
            timeout_seconds=TIMEOUT_SECONDS,
        )

    @staticmethod
    async def _echo(stream: Stream, _: Identity) -> None:
        async for message in stream:
            await stream.send_message(message)

    @staticmethod
    async def _end_without_reply(stream: Stream, _: Identity) -> None:
        await stream.recv_message()

    @staticmethod
    async def _deny(stream: Stream, _: Identity) -> None:
        await stream.recv_message()
        raise SeamError(ErrorCode.ACCESS_DENIED, "not you")


class RpcTest(RpcTestCase):
    """Guards against reordered messages, lost errors and missing proofs."""

    async def test_messages_keep_their_order(self) -> None:
        count = 3000
        proof = self.create_proof()
        async with self.channel.open_stream("/echo", proof) as stream:

            async def send() -> None:
                for number in range(count):
                    await stream.send_message(PeerPing(number))

            send_task = asyncio.create_task(send())
            numbers = [
                (await stream.recv_message()).number for _ in range(count)
            ]
            await send_task
        self.assertEqual(numbers, list(range(count)))

    async def test_errors_are_returned_to_the_caller(self) -> None:
        cases = {
            "by the method": ("/deny", None, ErrorCode.ACCESS_DENIED),
            "no such method": ("/none", None, ErrorCode.BAD_REQUEST),
            "no proof": ("/echo", "", ErrorCode.ACCESS_DENIED),
        }
        for name, (path, proof, code) in cases.items():
            with (
                self.subTest(name),
                self.assertRaises(SeamError) as caught,
            ):
                await self.call(path, proof)
            self.assertIs(caught.exception.code, code)

    async def test_end_without_a_reply_raises_stream_ended(self) -> None:
        with self.assertRaises(StreamEndedError):
            await self.call("/leave")

    async def test_no_connection_raises_connection_error(self) -> None:
        await self.server.close()
        with self.assertRaises(ConnectionError):
            await self.call("/echo")

    async def test_frame_over_the_limit_closes_the_connection(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(struct.pack(">IB", 2**32 - 1, 0) + b"x" * 100)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with self.assertRaises((ConnectionError, EOFError)):
                await reader.readexactly(1)
        writer.close()


class LateLoopTest(RpcTestCase):
    """Guards against requests dropped because the event loop is late."""

    def connect(self) -> socket.socket:
        """Connect without letting the event loop run."""
        caller = socket.create_connection((HOST, self.port))
        self.addCleanup(caller.close)
        return caller

    def send_request(self, caller: socket.socket) -> None:
        """Send an opening and a message."""
        opening = msgspec.msgpack.encode(("/echo", self.create_proof()))
        message = create_control_codec().encode(PeerPing(1))
        for kind, content in (
            (Kind.OPENING, opening),
            (Kind.MESSAGE, message),
        ):
            caller.sendall(FRAME_HEADER.pack(len(content), kind) + content)

    async def read_kind(self, caller: socket.socket) -> int:
        """Return the kind of the first frame that a caller receives."""
        reader, writer = await asyncio.open_connection(sock=caller)
        self.addCleanup(writer.close)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            header = await reader.readexactly(FRAME_HEADER.size)
        return int(FRAME_HEADER.unpack(header)[1])

    async def test_an_opening_that_waits_unread_is_accepted(self) -> None:
        with mock.patch.object(_rpc, "OPENING_TIMEOUT_SECONDS", 0.1):
            caller = self.connect()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while not self.server._connections:  # noqa: ASYNC110
                    await asyncio.sleep(0)
            # The server begins to wait.
            await asyncio.sleep(0)
            self.send_request(caller)
            time.sleep(0.3)  # noqa: ASYNC251
            kind = await self.read_kind(caller)
        self.assertEqual(kind, Kind.MESSAGE)

    async def test_a_stream_that_is_not_accepted_is_refused(self) -> None:
        """Stop the server while a request waits in the kernel."""
        caller = self.connect()
        self.send_request(caller)
        self.server.stop_accepting()
        self.assertEqual(await self.read_kind(caller), Kind.REFUSAL)


class FakeTransport:
    """A transport that records whether reading is paused."""

    def __init__(self) -> None:
        self.reading = True

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


class BackPressureTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unbounded buffers when a sender is faster."""

    async def test_reading_pauses_until_frames_are_consumed(self) -> None:
        payload_size = MAX_UNREAD_BYTES // 4
        frame = struct.pack(">IB", payload_size, 1) + b"x" * payload_size
        transport: Any = FakeTransport()
        connection = Connection()
        connection.connection_made(transport)
        for _ in range(4):
            connection.data_received(frame)
        self.assertTrue(transport.reading)
        connection.data_received(frame)
        self.assertFalse(transport.reading)
        await connection.read()
        self.assertTrue(transport.reading)

    async def test_only_the_opening_is_read_before_the_proof(self) -> None:
        frames = struct.pack(">IB", 1, 0) + b"x"
        transport: Any = FakeTransport()
        connection = Connection(OPENING_MAX_BYTES)
        connection.connection_made(transport)
        connection.data_received(frames * 100)
        self.assertFalse(transport.reading)
        self.assertEqual(1, len(connection._frames))
        await connection.read()
        self.assertFalse(transport.reading)
        connection.allow_large_frames()
        self.assertTrue(transport.reading)
        self.assertEqual(99, len(connection._frames))

    async def test_many_small_frames_pause_reading(self) -> None:
        frame = struct.pack(">IB", 1, 1) + b"x"
        transport: Any = FakeTransport()
        connection = Connection()
        connection.connection_made(transport)
        connection.data_received(frame * UNREAD_FRAMES_MAX)
        self.assertTrue(transport.reading)
        connection.data_received(frame)
        self.assertFalse(transport.reading)
        await connection.read()
        self.assertTrue(transport.reading)


if __name__ == "__main__":
    unittest.main()
