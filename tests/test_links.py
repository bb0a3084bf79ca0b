"""Tests of the links between control hosts, over TCP."""

import asyncio
import os
import time
import unittest
from collections import Counter
from datetime import timedelta
from random import Random
from unittest import mock

from bench.processes import find_free_ports
from bench.relay import Relay

from sequoiaseam import _control_links
from sequoiaseam._access import Credentials, Identity, Role, Verifier
from sequoiaseam._clock import ProcessClock
from sequoiaseam._control_links import ControlLink
from sequoiaseam._control_messages import (
    PEER_PATH,
    PeerHello,
    PeerPing,
    create_control_codec,
)
from sequoiaseam._control_messages import (
    Relay as RelayedMessage,
)
from sequoiaseam._rpc import RpcServer, Stream
from sequoiaseam._settings import Endpoint
from sequoiaseam._tasks import TaskGroup

CREDENTIALS = Credentials((b"x" * 32,), (b"y" * 32,))
WAIT_LIMIT_SECONDS = 15.0
PING_INTERVAL = timedelta(milliseconds=100)
TIMEOUT = 2.5 * PING_INTERVAL
PAYLOAD = b"x" * 1024 * 1024


def block_event_loop(duration: timedelta) -> None:
    """Delay the event loop, as a suspension of the process does."""
    time.sleep(duration.total_seconds())


class ControlLinkTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with one link, whose connection can be silenced."""

    async def asyncSetUp(self) -> None:
        self.clock = ProcessClock()
        self.delay_before_echo = timedelta(0)
        self.received_counts: Counter[str] = Counter()
        (port,) = find_free_ports(1)
        codec = create_control_codec()
        self.server = RpcServer(
            Verifier(CREDENTIALS),
            self.clock,
            codec,
            {PEER_PATH: self._receive_messages},
        )
        await self.server.start("127.0.0.1", port)
        self.relay = Relay(port)
        await self.relay.start()
        self.link = ControlLink(
            PeerHello("one"),
            "two",
            Endpoint("127.0.0.1", self.relay.port),
            codec,
            self.clock,
            Random(1),
            self._create_proof,
        )
        self.tasks = TaskGroup()
        self.tasks.start(self.link.run())

    async def asyncTearDown(self) -> None:
        await self.tasks.cancel()
        await self.relay.close()
        await self.server.close()

    def _create_proof(self) -> str:
        return CREDENTIALS.sign(
            self.clock.now(),
            Role.FLEET,
            "one",
            os.urandom(16).hex(),
        )

    async def _receive_messages(self, stream: Stream, _: Identity) -> None:
        async for message in stream:
            self.received_counts[type(message).__name__] += 1
            if isinstance(message, PeerPing):
                delay, self.delay_before_echo = (
                    self.delay_before_echo,
                    timedelta(0),
                )
                block_event_loop(delay)
                await stream.send_message(message)

    async def _wait_for_messages(self, name: str, count: int) -> None:
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while self.received_counts[name] < count:  # noqa: ASYNC110
                await asyncio.sleep(0.02)


class ControlLinkTest(ControlLinkTestCase):
    """Guards against messages lost on links that open late or stall."""

    async def test_message_posted_before_the_stream_opens_is_sent(
        self,
    ) -> None:
        # Otherwise the first vote request is lost, which costs the time of
        # one election after each start of all control hosts.
        self.link.post(RelayedMessage("first", b""))
        await self._wait_for_messages(RelayedMessage.__name__, 1)

    async def test_unresponsive_link_with_full_buffers_reconnects(
        self,
    ) -> None:
        # A stream reset can't be sent on a connection with full buffers.
        await self._wait_for_messages(PeerHello.__name__, 1)
        self.relay.silence()
        for index in range(32):
            self.link.post(RelayedMessage(str(index), PAYLOAD))
        await self._wait_for_messages(PeerHello.__name__, 2)
        self.assertEqual(self.relay.accepted_count, 2)


class LateLoopTest(ControlLinkTestCase):
    """Guards against links closed because this host's event loop is late."""

    async def asyncSetUp(self) -> None:
        patcher = mock.patch.multiple(
            _control_links,
            CONNECTION_PING_INTERVAL=PING_INTERVAL,
            CONNECTION_TIMEOUT=TIMEOUT,
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    async def test_a_link_stays_open(self) -> None:
        """Delay the loop before it can read the answer to a ping."""
        self.delay_before_echo = 2 * TIMEOUT
        await self._wait_for_messages(PeerPing.__name__, 3)
        self.assertEqual(self.received_counts[PeerHello.__name__], 1)


if __name__ == "__main__":
    unittest.main()
