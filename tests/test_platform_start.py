"""Tests of the platform's programs in surroundings that differ."""

import asyncio
import os
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


if __name__ == "__main__":
    unittest.main()
