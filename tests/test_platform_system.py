"""Tests of the platform's programs as real processes on loopback."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import aiohttp

from tests.hosts import ScriptedServer

ROOT: Final = Path(__file__).parent.parent
CORES: Final = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
SIDES: Final = ("127.0.2.1", "127.0.2.2")
SPARE: Final = "127.0.1.4"
WAIT_LIMIT: Final = 40.0
PAUSE: Final = 0.2
KEYS: Final = ("key-one", "key-two")


def find_ports(count: int) -> list[int]:
    """Return ports that are free on every loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("0.0.0.0", 0))  # noqa: S104
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class PlatformFleet:
    """Control hosts and nodes, each with a folder and settings."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = find_ports(5)
        self.inner, self.api, self.entry, self.ready, _ = ports
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, address: str, *, first: bool = True) -> None:
        """Start the program of an address."""
        core = address.startswith("127.0.1.")
        home = self.folder / address
        home.mkdir(exist_ok=True)
        settings = home / "settings.toml"
        settings.write_text(self._format(address, first=first, core=core))
        script = "core.py" if core else "sidecar.py"
        with (home / "log").open("ab") as log:
            self.processes[address] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / script),
                stdout=log,
                stderr=log,
                env={**os.environ, "SEQUOIASEAM_CONFIG": str(settings)},
            )

    def _format(self, address: str, *, first: bool, core: bool) -> str:
        seeds = ", ".join(f'"{seed}:{self.api}"' for seed in CORES)
        listen = f'control-plane = "{address}:{self.api}"\n'
        if not core:
            listen += f'outbound = "{address}:{self.entry}"\n'
            listen += f'ready = "{address}:{self.ready}"\n'
        return (
            f'node-name = "host-{address}"\n'
            f'ip-address = "{address}"\n'
            'zone = "north"\nregion = "south"\n'
            f"internal-port-range = [{self.inner}, {self.inner}]\n"
            f"seed-nodes = [{seeds}]\n"
            f"bootstrap = {str(first).lower()}\n"
            'service = "store"\n'
            f'data-directory = "{self.folder / address / "data"}"\n'
            'bounds = ["grace-period-s=6"]\n'
            f"[listen-addresses]\n{listen}"
        )

    async def stop(self, address: str, number: int = signal.SIGKILL) -> int:
        """Send a signal and wait for the end; return the exit code."""
        process = self.processes.pop(address)
        process.send_signal(number)
        return await process.wait()

    def wipe(self, address: str) -> None:
        """Remove a host's data."""
        shutil.rmtree(self.folder / address / "data")

    async def close(self) -> None:
        """End all processes; none may have ended by itself."""
        ended = {
            address: self.read_log(address)[-2000:]
            for address, process in self.processes.items()
            if process.returncode is not None
        }
        for address in set(self.processes) - ended.keys():
            await self.stop(address)
        if ended:
            raise AssertionError(f"ended by themselves: {ended}")

    def read_run(self, address: str) -> str:
        """Return what the newest run of a host's program has written."""
        return self.read_log(address).rpartition('"event": "started"')[2]

    def read_log(self, address: str) -> str:
        """Return what a host's programs have written."""
        return (self.folder / address / "log").read_text()


def build_document(
    version: int,
    base: int,
    keys: tuple[str, ...] = KEYS,
) -> bytes:
    """Return a configuration with one route and one tenant."""
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
            "tenants": {
                "coop": {
                    "api-keys": list(keys),
                    "rate-per-s": 500,
                    "burst": 9,
                },
            },
        },
    ).encode()


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a fleet that doesn't form, repair or agree."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.close)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3),
        )
        self.addAsyncCleanup(self.session.close)

    async def until(
        self,
        check: Callable[[], Awaitable[bool]],
        message: str,
    ) -> None:
        """Wait until a condition holds."""
        try:
            async with asyncio.timeout(WAIT_LIMIT):
                while not await check():  # noqa: ASYNC110
                    await asyncio.sleep(PAUSE)
        except TimeoutError:
            self.fail(message)

    async def call(
        self,
        address: str,
        query: str,
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Make a call of the API; 0 stands for no answer."""
        url = f"http://{address}:{self.fleet.api}/sequoiaseam/rpc?{query}"
        try:
            async with self.session.post(url, data=body) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def put(self, body: bytes, expected: int = 200) -> None:
        """Send a configuration to one host after the other."""

        async def is_answered() -> bool:
            for address in CORES:
                status, _ = await self.call(
                    address,
                    "call=configuration.put",
                    body,
                )
                if status not in (0, 503):
                    self.assertEqual(status, expected)
                    return True
            return False

        await self.until(is_answered, "no answer to an edit")

    async def read(self, address: str) -> bytes:
        """Return the newest configuration as a host reads it."""
        content = b""

        async def is_read() -> bool:
            nonlocal content
            status, content = await self.call(
                address,
                "call=configuration.get",
            )
            return status == 200

        await self.until(is_read, f"{address} reads nothing")
        return content

    async def beat(
        self, address: str, site: ScriptedServer, **fields: Any
    ) -> None:
        """Let a server report to its node."""
        report = {
            "service": "store",
            "address": f"127.0.0.1:{site.port}",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-s": 0,
            "sequence": 1,
            "born": 1,
            **fields,
        }
        status, _ = await self.call(
            address,
            "call=instances.heartbeat&of=i-1",
            json.dumps(report).encode(),
        )
        self.assertEqual(status, 200)

    async def ask(self, address: str, key: str) -> int:
        """Return the status of a caller's request."""
        url = f"http://{address}:{self.fleet.entry}/read/1"
        headers = {
            "Host": "any.example",
            "Authorization": f"Bearer {key}",
            "X-Sequoiaseam-Attempt-Id": "7",
        }
        try:
            async with self.session.get(url, headers=headers) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def until_status(
        self,
        address: str,
        key: str,
        expected: int,
    ) -> None:
        """Wait until a caller gets a status."""

        async def is_expected() -> bool:
            return await self.ask(address, key) == expected

        await self.until(is_expected, f"{address} doesn't answer {expected}")

    async def test_serves_edits_and_withdraws(self) -> None:
        site = ScriptedServer(answer_platform)
        await site.start()
        self.addCleanup(site.close)
        for address in (*CORES, *SIDES):
            await self.fleet.start(address)
        await self.put(build_document(3, 0))
        await self.put(build_document(3, 0))
        await self.put(build_document(4, 1), 412)
        for address in CORES:
            self.assertEqual(await self.read(address), build_document(3, 0))
        await self.beat(SIDES[0], site)
        for address in SIDES:
            await self.until_status(address, KEYS[0], 200)
        await self.put(build_document(9, 3, KEYS[1:]))
        for address in SIDES:
            await self.until_status(address, KEYS[0], 401)
            await self.until_status(address, KEYS[1], 200)
        await self.beat(SIDES[0], site, state="draining", sequence=2)
        self.assertEqual(await self.ask(SIDES[0], KEYS[1]), 503)
        codes = [
            await self.fleet.stop(address, signal.SIGTERM)
            for address in (SIDES[1], CORES[0])
        ]
        self.assertEqual(codes, [0, 0])

    async def test_repairs_the_group(self) -> None:
        for address in CORES:
            await self.fleet.start(address)
        documents = [build_document(3, 0), build_document(5, 3)]
        await self.put(documents[0])
        with self.subTest("a wiped host comes back and counts"):
            await self.fleet.stop(CORES[0])
            self.fleet.wipe(CORES[0])
            await self.fleet.start(CORES[0], first=False)
            self.assertEqual(await self.read(CORES[0]), documents[0])
            await self.until_repaired(CORES[0])
            await self.fleet.stop(CORES[1])
            await self.put(documents[1])
        with self.subTest("a new host takes the place of a lost one"):
            await self.fleet.start(SPARE, first=False)
            self.assertEqual(await self.read(SPARE), documents[1])
            await self.until_repaired(SPARE)
            await self.fleet.stop(CORES[0])
            self.assertEqual(await self.read(SPARE), documents[1])
        with self.subTest("all start again from their disks"):
            for address in (CORES[2], SPARE):
                await self.fleet.stop(address)
            for address in (CORES[0], CORES[2], SPARE):
                await self.fleet.start(address, first=False)
            for address in (CORES[0], CORES[2], SPARE):
                self.assertEqual(await self.read(address), documents[1])

    async def until_repaired(self, address: str) -> None:
        """Wait until a host has seen itself become a voter again.

        A host that is lost before would be one too many.
        """

        async def is_repaired() -> bool:
            lines = [
                json.loads(line)["fields"]
                for line in self.fleet.read_run(address).splitlines()
                if '"group changed"' in line
            ]
            return bool(
                lines
                and lines[-1]["votes"]
                and not (lines[-1]["incoming"] or lines[-1]["outgoing"]),
            )

        await self.until(is_repaired, f"{address} is no voter")


def answer_platform(arrival: Any) -> None:
    """Answer whole, with the platform's name of the request's id."""
    name = "x-sequoiaseam-attempt-id"
    body = b"whole"
    arrival.transport.write(
        b"HTTP/1.1 200 OK\r\n"
        + f"{name}: {arrival.find_field(name)}\r\n".encode()
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body,
    )


if __name__ == "__main__":
    unittest.main()
