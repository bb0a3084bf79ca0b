"""Tests of the startup and shutdown of programs."""

import os
import signal
import unittest

from sequoiaseam._program import run_service


class FailingService:
    """A service that is stopped at once and whose drain fails."""

    def __init__(self) -> None:
        self.closed = False

    async def start(self) -> None:
        """Send the signal that ends the program."""
        os.kill(os.getpid(), signal.SIGTERM)

    async def drain(self) -> None:
        raise ValueError("unexpected")

    async def close(self) -> None:
        self.closed = True


class FailingDrainTest(unittest.IsolatedAsyncioTestCase):
    """Guards against journals and connections left as a failed stop ends."""

    async def test_a_service_whose_drain_fails_is_closed(self) -> None:
        service = FailingService()
        with self.assertRaises(ValueError):
            await run_service(service, "host-1")
        self.assertTrue(service.closed)


if __name__ == "__main__":
    unittest.main()
