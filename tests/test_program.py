"""Tests of the startup and shutdown of programs."""

import asyncio
import os
import signal
import subprocess
import sys
import time
import unittest
from datetime import timedelta
from typing import Final

import uvloop

from sequoiaseam._program import run_service

# A service with a connection that it can't close, a thread that doesn't end
# and objects whose finalization takes long.
STUCK_PROGRAM: Final = """
import asyncio, os, signal, sys, time
from datetime import timedelta
from sequoiaseam._program import run_embedded

class StuckService:
    close_time_limit = timedelta(seconds=1)

    async def start(self):
        loop = asyncio.get_running_loop()
        loop.run_in_executor(None, time.sleep, 60)
        loop.call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)

    async def drain(self, elapsed):
        print("drained", flush=True)

    async def close(self):
        await asyncio.sleep(60 * IS_STUCK)

    def __del__(self):
        time.sleep(60)

run_embedded(StuckService, "host-1")
"""
STUCK_SECONDS_MAX: Final = 20.0


class FailingService:
    """A service that is stopped at once and whose drain fails."""

    close_time_limit = timedelta(seconds=10)

    def __init__(self) -> None:
        self.closed = False

    async def start(self) -> None:
        """Send the signal that ends the program."""
        os.kill(os.getpid(), signal.SIGTERM)

    async def drain(self, elapsed: timedelta) -> None:
        del elapsed
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


class SlowToStartService:
    """A service that is stopped at once and takes long to notice it."""

    close_time_limit = timedelta(seconds=10)

    def __init__(self) -> None:
        self.stopped_at = 0.0
        self.elapsed = timedelta(0)
        self.expected = timedelta(0)

    async def start(self) -> None:
        """Send the signal that ends the program, and hold up its stop."""
        self.stopped_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        try:
            await asyncio.sleep(STUCK_SECONDS_MAX)
        finally:
            await asyncio.sleep(0.2)

    async def drain(self, elapsed: timedelta) -> None:
        self.elapsed = elapsed
        self.expected = timedelta(seconds=time.monotonic() - self.stopped_at)

    async def close(self) -> None:
        pass


class LateToStopService(SlowToStartService):
    """A service whose event loop is late as the signal comes."""

    async def start(self) -> None:
        """Send the signal that ends the program, and block the loop."""
        self.stopped_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.3)  # noqa: ASYNC251
        await asyncio.sleep(STUCK_SECONDS_MAX)


class StopTimeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that are killed as they stop too slowly."""

    async def test_a_drain_is_measured_from_the_signal(self) -> None:
        service = SlowToStartService()
        await run_service(service, "host-1")
        self.assertGreaterEqual(service.elapsed, timedelta(seconds=0.2))
        self.assertLessEqual(service.elapsed, service.expected)

    def test_the_signal_counts_while_the_loop_is_late(self) -> None:
        for create_loop in (asyncio.new_event_loop, uvloop.new_event_loop):
            service = LateToStopService()
            with (
                self.subTest(loop=create_loop.__module__),
                asyncio.Runner(loop_factory=create_loop) as runner,
            ):
                runner.run(run_service(service, "host-1"))
                self.assertGreaterEqual(
                    service.elapsed, timedelta(seconds=0.3)
                )
                self.assertLessEqual(service.elapsed, service.expected)

    def test_the_exit_needs_nothing_that_is_still_open(self) -> None:
        for is_stuck in (0, 1):
            with self.subTest(is_stuck=is_stuck):
                process = subprocess.run(
                    (
                        sys.executable,
                        "-c",
                        STUCK_PROGRAM.replace("IS_STUCK", str(is_stuck)),
                    ),
                    check=False,
                    stdout=subprocess.PIPE,
                    timeout=STUCK_SECONDS_MAX,
                )
                self.assertEqual(process.returncode, 0)
                self.assertIn(b"drained", process.stdout)
                self.assertIn(b'"event": "stopped"', process.stdout)


if __name__ == "__main__":
    unittest.main()
