"""Tests of configurations acknowledged before hosts are killed and wiped.

The environment variable SEQUOIASEAM_ENDS sets the number of ends,
SEQUOIASEAM_SEED the seed.
"""

import asyncio
import json
import os
import random
import shutil
import tempfile
import time
import unittest
from pathlib import Path
from typing import Final
from unittest.mock import patch

import aiohttp

from tests.platform_fleet import CONTROL_ADDRESSES, ROOT, PlatformFleet
from tests.recording_disk import (
    BROKEN_SYNC_VARIABLE,
    get_record_folder,
    lose_unsynced_data,
)

HOSTS: Final = (*CONTROL_ADDRESSES, "127.0.1.4", "127.0.1.5")
ENDS: Final = int(os.environ.get("SEQUOIASEAM_ENDS", "3"))
SEED: Final = int(os.environ.get("SEQUOIASEAM_SEED", "0"))
WIPED_HOSTS: Final = 2
EDITS_BEFORE_END_MAX: Final = 12
WAIT_TIMEOUT: Final = 60.0
CALL_TIMEOUT: Final = 3.0


class PlatformLossTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a configuration that is gone after all hosts fail.

    All five control hosts are killed at the same moment, right after an
    acknowledgement or while an edit is under way; two are wiped, and the
    others often lose all that they haven't synced.
    """

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.rng = random.Random(SEED)
        self.fleet = PlatformFleet(Path(folder.name))
        self.fleet.control_program = ROOT / "tests" / "recording_disk.py"
        self.addAsyncCleanup(self.fleet.close)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        )
        self.addAsyncCleanup(self.session.close)
        self.version = 0
        self.acknowledged = 0

    async def call(
        self, address: str, query: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Call a host; return status and body, 0 if there is no response."""
        url = f"http://{address}:{self.fleet.api_port}/sequoiaseam/rpc?{query}"
        try:
            async with self.session.post(url, data=body) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def send_edit(self) -> None:
        """Send the next version until it is acknowledged."""
        self.version += 1
        version = self.version
        body = build_document(version, self.acknowledged)
        deadline = time.monotonic() + WAIT_TIMEOUT
        while self.acknowledged < version:
            self.assertLess(time.monotonic(), deadline, "no edit was accepted")
            for address in self.rng.sample(HOSTS, len(HOSTS)):
                status, _ = await self.call(
                    address, "call=configuration.put", body
                )
                self.assertIn(status, (0, 200, 503))
                if status == 200:
                    self.acknowledged = version
                    return
            await asyncio.sleep(0.1)

    async def read_version(self, address: str) -> int:
        """Return the version that a host reads back."""
        deadline = time.monotonic() + WAIT_TIMEOUT
        while time.monotonic() < deadline:
            status, body = await self.call(address, "call=configuration.get")
            if status == 200:
                return int(json.loads(body)["version"], 16)
            await asyncio.sleep(0.1)
        raise AssertionError(
            f"{address} reads nothing back: "
            f"{self.fleet.read_last_run(address)[-3000:]}"
        )

    async def wait_until_all_vote(self) -> None:
        """Wait until the newest membership that a host logged has all."""
        deadline = time.monotonic() + WAIT_TIMEOUT
        while not all(self.is_in_full_group(address) for address in HOSTS):
            self.assertLess(time.monotonic(), deadline, "not all hosts vote")
            await asyncio.sleep(0.2)

    def is_in_full_group(self, address: str) -> bool:
        """Return whether a host has logged that all hosts vote."""
        changes = [
            json.loads(line)["fields"]
            for line in self.fleet.read_last_run(address).splitlines()
            if '"group changed"' in line
        ]
        return bool(
            changes
            and changes[-1]["votes"]
            and len(changes[-1]["voters"]) == len(HOSTS)
            and not (changes[-1]["incoming"] or changes[-1]["outgoing"])
        )

    async def start_all(self) -> None:
        """Start all hosts and send a first version."""
        for address in HOSTS:
            await self.fleet.start(address)
        await self.wait_until_all_vote()
        await self.send_edit()

    async def test_acknowledged_configuration_is_read_back(self) -> None:
        await self.start_all()
        for end in range(ENDS):
            under_way = self.rng.random() < 0.5
            loses_unsynced_data = self.rng.random() < 0.7
            with self.subTest(
                end=end,
                under_way=under_way,
                loses_unsynced_data=loses_unsynced_data,
            ):
                await self.play_end(
                    under_way=under_way,
                    loses_unsynced_data=loses_unsynced_data,
                )

    async def test_check_finds_edits_that_were_not_synced(self) -> None:
        """Guard against ends that lose nothing whatever is synced."""
        await self.start_all()
        with patch.dict(os.environ, {BROKEN_SYNC_VARIABLE: "1"}):
            await self.play_end(under_way=False, loses_unsynced_data=True)
            with self.assertRaisesRegex(AssertionError, "not found in"):
                # The hosts that keep their disks go back to what they had
                # when they started.
                await self.play_end(
                    under_way=False, loses_unsynced_data=True, wiped_count=0
                )

    async def play_end(
        self,
        *,
        under_way: bool,
        loses_unsynced_data: bool,
        wiped_count: int = WIPED_HOSTS,
    ) -> None:
        """Send edits, end all hosts, restart them and read back."""
        for _ in range(self.rng.randint(1, EDITS_BEFORE_END_MAX)):
            await self.send_edit()
        if under_way:
            edit = asyncio.create_task(self.send_edit())
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))
            await self.end_all(
                wiped_count, loses_unsynced_data=loses_unsynced_data
            )
            edit.cancel()
            await asyncio.gather(edit, return_exceptions=True)
        else:
            await self.end_all(
                wiped_count, loses_unsynced_data=loses_unsynced_data
            )
        for address in self.rng.sample(HOSTS, len(HOSTS)):
            await self.fleet.start(address, bootstrap=False)
        versions = {
            address: await self.read_version(address) for address in HOSTS
        }
        # An edit without an answer may be in force or not, but the same way
        # at all hosts.
        self.assertEqual(1, len(set(versions.values())), versions)
        read = versions[HOSTS[0]]
        self.assertIn(read, (self.acknowledged, self.version))
        self.acknowledged = self.version = read
        await self.wait_until_all_vote()

    async def end_all(
        self, wiped_count: int, *, loses_unsynced_data: bool
    ) -> None:
        """Kill all hosts at once; wipe some, others may lose unsynced data."""
        await self.fleet.kill_all()
        wiped = self.rng.sample(HOSTS, wiped_count)
        for address in HOSTS:
            data = self.fleet.folder / address / "data"
            if address in wiped:
                shutil.rmtree(data)
                shutil.rmtree(get_record_folder(str(data)))
                data.mkdir()
            elif loses_unsynced_data:
                lose_unsynced_data(data)


def build_document(version: int, base: int) -> bytes:
    """Return a configuration with one route."""
    return json.dumps(
        {
            "version": f"{version:08x}",
            "base-version": f"{base:08x}",
            "routes": {
                "r-1": {
                    "host": "any.example",
                    "path-prefix": "/read/",
                    "route-type": "safe",
                    "timeout-s": 5,
                    "target-latency-s": 1,
                    "max-attempts": 2,
                    "service": "store",
                },
            },
            "services": {"store": {"max-connections": 100}},
            "tenants": {},
        }
    ).encode()


if __name__ == "__main__":
    unittest.main()
