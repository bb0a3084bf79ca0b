"""Tests of connections to other processes."""

import asyncio
import time
import unittest
from typing import Final

from sequoiaseam._listeners import accepts_connections, open_listener
from tests.hosts import LOCALHOST

TIMEOUT_SECONDS: Final = 0.2


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
