"""Core memory: hundreds of changes of a manifest of 359 routes."""

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
    Connection,
    Deployment,
    Record,
    build_manifest,
    build_request_fields,
    build_route,
    read_memory_mb,
    run_case,
)

KEY = "6wsjnbanfqasnmgkcuyj"
MEMORY_MB = 296  # memory-mb of a core machine in the site file
FIRST_ROUTES = 9
ADDED_ROUTES = 350  # big_config of the site file
CHANGES = 600
CHANGES_TIME_S = 60.0
CHECK_INTERVAL_S = 0.1
CORE_COUNT = 5
RECOVERY_S = 15.0  # recovery-s
ENDS_MAX = 3
READ_TIME_S = 6.0  # twice connectivity-window-s


class Platform:
    """Kills each process over its memory, and starts ended ones again."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self._record = record
        self._deployment = deployment
        self.ends = dict.fromkeys(deployment.core, 0)
        self.peaks = dict.fromkeys(deployment.core, 0.0)

    async def run(self) -> None:
        """Check all processes of the core regularly."""
        await asyncio.gather(*map(self._watch, self._deployment.core))

    async def _watch(self, address: str) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            process = self._deployment.processes[address]
            used = read_memory_mb(process.pid)
            self.peaks[address] = max(self.peaks[address], used)
            if used <= MEMORY_MB and process.returncode is None:
                continue
            self.ends[address] += 1
            self._record.say(
                f"{address} uses {used:.0f} MB of {MEMORY_MB}: killed"
                if process.returncode is None
                else f"{address} has ended with {process.returncode}"
            )
            await self._deployment.stop_process(address)
            await asyncio.sleep(RESTART_DELAY)
            await self._deployment.start_process(address)


def build(version: int, base: int, route_count: int) -> dict[str, Any]:
    """Return a manifest; each version changes a tenant's cap."""
    routes = {
        f"r-{number:05d}": build_route("orders", f"/path{number:05d}/")
        for number in range(route_count)
    }
    tenants = {
        f"tenant{number}": {
            "api-keys": [f"{KEY}{number}", f"{KEY}{number}x"],
            "priority": 1,
            "rate-per-s": 300 + (version if number == 0 else 0),
            "burst": 300,
        }
        for number in range(8)
    }
    return build_manifest(version, base, routes, ["orders"], tenants)


async def case(record: Record) -> bool:
    """Return whether half of the core's machines ended three times."""
    deployment = Deployment(record, ["orders"], core_count=CORE_COUNT)
    try:
        return await play(record, deployment)
    finally:
        await deployment.close()


async def play(record: Record, deployment: Deployment) -> bool:
    """Send the changes, wait for the recovery and read back."""
    await deployment.start()
    status = await deployment.put(build(1, 0, FIRST_ROUTES))
    record.say(f"manifest 1 with {FIRST_ROUTES} routes -> {status}")
    await deployment.wait_ready()
    platform = Platform(record, deployment)
    watch = asyncio.create_task(platform.run())
    try:
        newest = await send_changes(record, deployment)
        await asyncio.sleep(RECOVERY_S)
        read = await read_back(record, deployment)
        await ask_node(record, deployment)
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
    peaks = ", ".join(f"{peak:.0f}" for peak in platform.peaks.values())
    record.say(f"peak memory: {peaks} MB")
    record.say(f"own ends by machine: {list(platform.ends.values())}")
    record.say(f"newest acknowledged: {newest}; read back: {read}")
    often = sum(ends >= ENDS_MAX for ends in platform.ends.values())
    record.say(
        f"machines with {ENDS_MAX} ends or more: {often} of {CORE_COUNT}"
    )
    return 2 * often >= CORE_COUNT


async def send_changes(record: Record, deployment: Deployment) -> int:
    """Send one change after the other; return the newest acknowledged."""
    route_count = FIRST_ROUTES + (ADDED_ROUTES if TROUBLE else 0)
    newest = 1
    deadline = record.now() + CHANGES_TIME_S
    host = deployment.core[0]
    for version in range(2, CHANGES + 2):
        body = json.dumps(build(version, newest, route_count)).encode()
        while record.now() < deadline:
            host = deployment.find_leader() if version % 50 == 2 else host
            answer = await deployment.call_core(
                host, "configuration.put", body
            )
            record.write(f"manifest {version} at {host}: {answer.status}")
            if answer.status == 200:
                newest = version
                break
            index = deployment.core.index(host) + 1
            host = deployment.core[index % len(deployment.core)]
            await asyncio.sleep(0.1)
        if newest != version:
            break
    record.say(
        f"{newest - 1} changes with {route_count} routes acknowledged"
    )
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
    for number in range(20):
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


run_case(FOLDER, case, 118.0)
