"""Tests of the platform's programs in surroundings that differ."""

import asyncio
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Final

from tests.platform_fleet import ROOT, PlatformFleet

EXIT_STATUS: Final = 7
# Takes the place of the package; the imports of a program run it first.
SIGNALLING_PACKAGE: Final = f"""
import os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.exit({EXIT_STATUS})
"""


class ReloadDuringStartTest(unittest.TestCase):
    """Guards against processes that a reload ends while they start."""

    def test_a_reload_during_the_imports_is_ignored(self) -> None:
        for script in ("core.py", "sidecar.py"):
            with (
                self.subTest(script=script),
                tempfile.TemporaryDirectory() as folder,
            ):
                package = Path(folder) / "sequoiaseam"
                package.mkdir()
                (package / "__init__.py").write_text(SIGNALLING_PACKAGE)
                process = subprocess.run(
                    (sys.executable, str(ROOT / "platform" / script)),
                    env={**os.environ, "PYTHONPATH": folder},
                    check=False,
                    timeout=30,
                )
                self.assertEqual(EXIT_STATUS, process.returncode)


class AddressInUseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that end as a former one is still stopping."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.close)

    async def wait_until_logged(self, address: str, event: str) -> None:
        """Wait until a program has logged an event."""
        async with asyncio.timeout(20):
            while f'"{event}' not in self.fleet.read_log(address):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def test_a_start_waits_for_each_of_its_addresses(self) -> None:
        fleet = self.fleet
        for host, port in (
            ("127.0.2.1", fleet.outbound_port),
            ("127.0.2.2", fleet.internal_port),
            ("127.0.2.3", fleet.ready_port),
            ("127.0.1.1", fleet.api_port),
            ("127.0.1.2", fleet.internal_port),
        ):
            with self.subTest(host=host), socket.socket() as holder:
                holder.bind((host, port))
                holder.listen()
                await fleet.start(host)
                await self.wait_until_logged(host, "address is in use")
                holder.close()
                await self.wait_until_logged(host, "started")

    async def test_a_stop_ends_the_wait(self) -> None:
        host = "127.0.2.1"
        with socket.socket() as holder:
            holder.bind((host, self.fleet.outbound_port))
            holder.listen()
            await self.fleet.start(host)
            await self.wait_until_logged(host, "address is in use")
            status = await self.fleet.stop(host, signal.SIGTERM)
            self.assertEqual(0, status)


class DescriptorLimitTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that are closed for want of descriptors."""

    SOFT_LIMIT: Final = 64

    async def test_more_connections_than_the_soft_limit(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PlatformFleet(Path(folder.name))
        self.addAsyncCleanup(fleet.close)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (self.SOFT_LIMIT, limits[1])
        )
        try:
            await fleet.start("127.0.2.1")
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        async with asyncio.timeout(20):
            while '"started"' not in fleet.read_log("127.0.2.1"):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        connections = []
        for _ in range(2 * self.SOFT_LIMIT):
            reader, writer = await asyncio.open_connection(
                "127.0.2.1", fleet.outbound_port
            )
            self.addCleanup(writer.close)
            writer.write(b"GET /read/1 HTTP/1.1\r\nHost: any\r\n\r\n")
            connections.append(reader)
        async with asyncio.timeout(20):
            answers = [await reader.readline() for reader in connections]
        self.assertEqual(
            {b"HTTP/1.1 503 Service Unavailable\r\n"}, set(answers)
        )


if __name__ == "__main__":
    unittest.main()
