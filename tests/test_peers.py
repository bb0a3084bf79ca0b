"""Tests of the connections between nodes, over loopback."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any, Final

from aiohttp import WSMessage, WSMsgType, web

from sequoiaseam._access import Role, TrustedNetwork
from sequoiaseam._balancer import Balancer
from sequoiaseam._clock import ManualClock, ProcessClock
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._feed import NodeView
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    RefusalFrame,
    compute_checksum,
    create_frame_codec,
)
from sequoiaseam._peer_links import PeerLinkHooks, PeerLinkPool
from sequoiaseam._peers import PeerServer, iterate_messages
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
from tests.builders import build_call_frame

HOST: Final = "127.0.0.1"
WAIT_LIMIT_SECONDS: Final = 10.0
POLL_INTERVAL_SECONDS: Final = 0.01
# Longer than a node takes to notice that a connection is closed.
NOTICE_SECONDS: Final = 0.2
CALL: Final = build_call_frame("orders", "store", "/orders/1")


class PeerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a node that serves calls and one that sends them."""

    async def asyncSetUp(self) -> None:
        self.codec = create_frame_codec()
        self.access = TrustedNetwork("caller", Role.FLEET)
        self.clock = ProcessClock()
        self.received = 0
        self.cancelled = 0
        self.finish = asyncio.Event()
        self.server = PeerServer(
            self.codec,
            self.clock,
            lambda proof: self.access.verify(self.clock.now(), proof),
            self.run_call,
            lambda _: None,
        )
        self.runner = web.AppRunner(self.server.create_app())
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.addAsyncCleanup(self.runner.cleanup)
        self.view = NodeView()
        self.member = Member(
            "callee",
            1,
            HOST,
            self.runner.addresses[0][1],
            "store",
            "north",
            "south",
            MemberState.SERVING,
        )
        self.view.members = {"callee": self.member}
        self.links = PeerLinkPool(
            self.codec,
            self.clock,
            self.view,
            Balancer("caller", "north", "south", Random(1)),
            PeerLinkHooks(self.access.create_proof, lambda _: None),
        )
        self.links.start()
        self.addAsyncCleanup(self.links.close)

    async def run_call(self, call: CallFrame) -> AnswerFrame | RefusalFrame:
        """Answer a call once ``finish`` is set."""
        self.received += 1
        try:
            await self.finish.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return AnswerFrame(
            call.call_id,
            200,
            (),
            b"whole",
            compute_checksum(b"whole"),
            (),
            0,
            0,
            0,
        )

    async def start_call(self) -> "asyncio.Task[AnswerFrame | RefusalFrame]":
        """Start a call and wait until the other node has received it."""
        received = self.received
        task = asyncio.create_task(self.links.call("callee", CALL))
        await self.wait_until(lambda: self.received > received)
        return task

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


class MemberGoneTest(PeerTestCase):
    """Guards against calls cut when their node is removed from the view."""

    async def assert_finished(
        self, call: "asyncio.Task[AnswerFrame | RefusalFrame]"
    ) -> None:
        """Finish a call; it has its answer, and its connection is closed."""
        await asyncio.sleep(NOTICE_SECONDS)
        self.finish.set()
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            answer = await call
        self.assertIsInstance(answer, AnswerFrame)
        self.assertEqual(self.cancelled, 0)

    async def test_a_call_in_progress_is_finished(self) -> None:
        call = await self.start_call()
        self.view.members = {}
        self.links.close_departed()
        await self.assert_finished(call)
        await self.wait_until(lambda: not self.server._sockets)

    async def test_a_call_is_finished_when_the_address_changes(self) -> None:
        call = await self.start_call()
        self.view.members = {"callee": replace(self.member, host="localhost")}
        later_call = await self.start_call()
        await self.assert_finished(call)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await later_call
        await self.wait_until(lambda: len(self.server._sockets) == 1)


class ScriptedSocket:
    """An open connection on which nothing comes, and its pings."""

    def __init__(self) -> None:
        self.ping_count = 0
        # The lengths of the waits for a message, each without one.
        self.waits: list[timedelta] = []
        self.clock = ManualClock()

    async def receive(self, timeout: float | None = None) -> Any:  # noqa: ASYNC109
        """Wait in vain, or return the end once there are no more waits."""
        del timeout
        if not self.waits:
            return WSMessage(WSMsgType.CLOSED, None, None)
        self.clock.advance(self.waits.pop(0))
        raise TimeoutError

    async def ping(self) -> None:
        self.ping_count += 1

    async def pong(self, message: bytes) -> None:
        """Ignore the answer to a ping."""


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that a late loop takes for silent."""

    async def receive(self, *waits: timedelta) -> ScriptedSocket:
        """Wait for messages; return the connection after its end."""
        connection = ScriptedSocket()
        connection.waits = list(waits)
        async for _ in iterate_messages(connection, connection.clock):
            self.fail("there is no message")
        return connection

    async def test_a_late_wait_is_no_proof_of_silence(self) -> None:
        connection = await self.receive(
            10 * CONNECTION_TIMEOUT, CONNECTION_PING_INTERVAL
        )
        self.assertEqual((connection.waits, connection.ping_count), ([], 2))

    async def test_a_silent_connection_ends(self) -> None:
        connection = await self.receive(*(10 * [CONNECTION_PING_INTERVAL]))
        self.assertEqual(
            (len(connection.waits), connection.ping_count), (7, 2)
        )


class IdleConnectionTest(PeerTestCase):
    """Guards against pings that aren't answered on idle connections."""

    async def test_a_long_call_is_finished(self) -> None:
        call = await self.start_call()
        await asyncio.sleep(1.5 * CONNECTION_TIMEOUT.total_seconds())
        self.finish.set()
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            self.assertIsInstance(await call, AnswerFrame)
        self.assertEqual(self.received, 1)


if __name__ == "__main__":
    unittest.main()
