"""Core memory: after hundreds of changes no control host can start again."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    RESTART_DELAY,
    TROUBLE,
    CannotRun,
    Connection,
    Deployment,
    Record,
    build_manifest,
    build_request_fields,
    build_route,
    read_memory_mb,
    read_peak_memory_mb,
    run_case,
)

KEY = "6wsjnbanfqasnmgkcuyj"
MEMORY_MB = 296  # memory-mb of a core machine in the site file
ROUTES = 9 + 350  # those of the site, and big_config of the site file
CHANGES = 350
CHANGES_TIME_S = 50.0
CHECK_INTERVAL_S = 0.02
CORE_COUNT = 5
DOWN_S = 0.5
RECOVERY_S = 15.0  # recovery-s
READ_TIME_S = 9.0  # three times connectivity-window-s


class Platform:
    """Kills each process over its memory, and starts ended ones again."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self._record = record
        self._deployment = deployment
        self.ends = dict.fromkeys(deployment.core, 0)

    async def run(self) -> None:
        """Check all processes of the core regularly."""
        await asyncio.gather(*map(self._watch, self._deployment.core))

    async def _watch(self, address: str) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            process = self._deployment.processes[address]
            used = read_peak_memory_mb(process.pid)
            if used <= MEMORY_MB and process.returncode is None:
                continue
            self.ends[address] += 1
            self._record.write(
                f"{address} uses {used:.0f} MB of {MEMORY_MB}: killed"
                if process.returncode is None
                else f"{address} has ended with {process.returncode}"
            )
            await self._deployment.stop_process(address)
            await asyncio.sleep(RESTART_DELAY)
            await self._deployment.start_process(address)


def build(version: int, base: int) -> bytes:
    """Return a manifest; each version changes a tenant's cap.

    It is indented, as from a file that people edit.
    """
    routes = {
        f"r-{number:05d}": build_route("orders", f"/path{number:05d}/")
        for number in range(ROUTES)
    }
    tenants: dict[str, Any] = {
        f"tenant{number}": {
            "api-keys": [f"{KEY}{number}", f"{KEY}{number}x"],
            "priority": 1,
            "rate-per-s": 300 + (version if number == 0 else 0),
            "burst": 300,
        }
        for number in range(8)
    }
    manifest = build_manifest(version, base, routes, ["orders"], tenants)
    return json.dumps(manifest, indent=4).encode()


async def case(record: Record) -> bool:
    """Return whether the newest manifest can't be read back."""
    deployment = Deployment(record, ["orders"], core_count=CORE_COUNT)
    try:
        return await play(record, deployment)
    finally:
        await deployment.close()


async def play(record: Record, deployment: Deployment) -> bool:
    """Send the changes, kill the core at once, and read back."""
    await deployment.start()
    platform = Platform(record, deployment)
    watch = asyncio.create_task(platform.run())
    try:
        newest = await send_changes(record, deployment)
        await deployment.wait_ready()
        record.say(f"memory by machine: {list_memory(deployment)} MB")
        if any(platform.ends.values()):
            raise CannotRun("a process ended before the final fault")
        if TROUBLE:
            for address in deployment.core:
                deployment.processes[address].kill()
            record.say("all processes of the core killed")
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(RECOVERY_S)
        read = await read_back(record, deployment)
        await ask_node(record, deployment)
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
    record.say(
        f"ends by machine, the kill included: {list(platform.ends.values())}"
    )
    record.say(f"newest acknowledged: {newest}; read: {read or 'nothing'}")
    return read < newest


def list_memory(deployment: Deployment) -> list[int]:
    """Return the resident memory of each control host in MiB."""
    return [
        round(read_memory_mb(deployment.processes[address].pid))
        for address in deployment.core
    ]


async def send_changes(record: Record, deployment: Deployment) -> int:
    """Send one change after the other; return the newest acknowledged."""
    newest = 0
    deadline = record.now() + CHANGES_TIME_S
    index = 0
    for version in range(1, CHANGES + 1):
        body = build(version, newest)
        while record.now() < deadline:
            host = deployment.core[index % CORE_COUNT]
            answer = await deployment.call_core(
                host, "configuration.put", body
            )
            record.write(f"manifest {version} at {host}: {answer.status}")
            if answer.status == 200:
                newest = version
                break
            index += 1
            await asyncio.sleep(0.1)
    record.say(f"{newest} manifests of {len(body)} bytes acknowledged")
    if newest != CHANGES:
        raise CannotRun("the changes took too long")
    return newest


async def read_back(record: Record, deployment: Deployment) -> int:
    """Return the newest version that any machine returns, 0 for none."""
    newest = 0
    deadline = record.now() + READ_TIME_S
    while record.now() < deadline:
        for address in deployment.core:
            answer = await deployment.get(address)
            record.write(f"read at {address}: {answer.status}")
            if answer.status == 200:
                version = int(json.loads(answer.body)["version"], 16)
                newest = max(newest, version)
        await asyncio.sleep(0.2)
    return newest


async def ask_node(record: Record, deployment: Deployment) -> None:
    """Record what a client gets now; it doesn't decide the case."""
    connection = Connection()
    address = deployment.side[0]
    statuses = []
    for number in range(10):
        answer = await connection.request(
            f"{address}:{deployment.outbound_port}",
            "GET",
            "/path00000/x",
            build_request_fields(f"z-{number}", f"{KEY}1"),
        )
        statuses.append(answer.status)
        await asyncio.sleep(0.05)
    connection.close()
    record.say(f"a client with a key gets {statuses}")


run_case(FOLDER / "record.txt", case, 118.0)
