"""Tests of connections to other processes."""

import asyncio
import socket
import time
import unittest
from typing import Final

from sequoiaseam._listeners import accepts_connections, open_listener
from tests.hosts import LOCALHOST

TIMEOUT_SECONDS: Final = 0.2
WAIT_LIMIT_SECONDS: Final = 10.0


class LateLoopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against servers that only a late loop takes for crashed."""

    async def test_a_check_that_the_loop_finishes_late_is_repeated(
        self,
    ) -> None:
        listener = await open_listener(asyncio.Protocol, LOCALHOST, 0)
        self.addCleanup(listener.server.close)
        check = asyncio.create_task(
            accepts_connections(LOCALHOST, listener.port, TIMEOUT_SECONDS)
        )
        # The attempt begins, and the kernel makes the connection.
        await asyncio.sleep(0)
        block_event_loop(2 * TIMEOUT_SECONDS)
        self.assertTrue(await check)

    async def test_attempts_end_while_the_loop_stays_late(self) -> None:
        """Guard against attempts without end at an address that is silent.

        The kernel drops attempts beyond the backlog.
        """
        silent = socket.create_server((LOCALHOST, 0), backlog=0)
        self.addCleanup(silent.close)
        for _ in range(2):
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.setblocking(False)  # noqa: FBT003
            caller.connect_ex(silent.getsockname())
        port = silent.getsockname()[1]
        check = asyncio.create_task(
            accepts_connections(LOCALHOST, port, TIMEOUT_SECONDS)
        )
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not check.done():
                block_event_loop(2 * TIMEOUT_SECONDS)
                await asyncio.sleep(0)
        self.assertFalse(await check)

    async def test_an_address_without_a_listener_accepts_none(self) -> None:
        listener = await open_listener(asyncio.Protocol, LOCALHOST, 0)
        listener.server.close()
        self.assertFalse(
            await accepts_connections(
                LOCALHOST, listener.port, TIMEOUT_SECONDS
            )
        )


def block_event_loop(seconds: float) -> None:
    """Delay the event loop, as a suspension of the process does."""
    time.sleep(seconds)


if __name__ == "__main__":
    unittest.main()
