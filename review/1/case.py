"""Core: a host that was frozen while another one was replaced never votes
again, and the one that is gone for good stays a voter."""

import asyncio
import json
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Deployment,
    Record,
    build_manifest,
    build_request_fields,
    build_route,
    request_once,
    run_case,
)

KEY = "6wsjnbanfqasnmgkcuyj"
FROZEN_S = 4.0  # for_s of node_freeze of a core machine
GONE_AFTER_S = 1.0  # after the freeze
NEW_AFTER_S = 1.0  # x of replace_core
CALM_S = 15.0  # catch-up-s is 4
DOWN_S = 1.5  # down_s of the closing faults
RECOVERY_S = 15.0  # recovery-s
READ_TIME_S = 10.0
NEW_HOST = "127.0.1.6"


def build(version: int, base: int) -> dict[str, Any]:
    """Return a manifest."""
    tenants = {
        "coop": {
            "api-keys": [KEY],
            "priority": 1,
            "rate-per-s": 300 + version,
            "burst": 300,
        }
    }
    routes = {"r-orders": build_route("orders", "/orders/")}
    return build_manifest(version, base, routes, ["orders"], tenants)


async def case(record: Record) -> bool:
    """Return whether what was acknowledged doesn't come back."""
    deployment = Deployment(record, ["orders"], core_count=5)
    deployment.zones[NEW_HOST] = "zone-0"
    try:
        return await play(record, deployment)
    finally:
        await deployment.close()


async def play(record: Record, deployment: Deployment) -> bool:
    """Freeze one host, replace another, and later wipe two."""
    await deployment.start()
    status = await deployment.put(build(1, 0))
    record.say(f"manifest 1 -> {status}")
    await deployment.wait_ready()
    await asyncio.sleep(6)
    leader = deployment.find_leader()
    frozen, gone, other, _ = (
        address for address in deployment.core if address != leader
    )
    record.say(f"the leader is {leader}")
    if TROUBLE:
        deployment.processes[frozen].send_signal(signal.SIGSTOP)
        record.say(f"{frozen} freezes")
    await asyncio.sleep(GONE_AFTER_S)
    await deployment.stop_process(gone)
    shutil.rmtree(deployment.folder / gone / "data")
    deployment.core.remove(gone)
    record.say(f"{gone} is gone for good")
    await asyncio.sleep(NEW_AFTER_S)
    deployment.core.append(NEW_HOST)
    await deployment.start_process(NEW_HOST)
    record.say(f"{NEW_HOST} starts, empty")
    await asyncio.sleep(FROZEN_S - GONE_AFTER_S - NEW_AFTER_S)
    if TROUBLE:
        deployment.processes[frozen].send_signal(signal.SIGCONT)
        record.say(f"{frozen} wakes")
    await asyncio.sleep(CALM_S)
    status = await deployment.put(build(2, 1))
    record.say(f"manifest 2 -> {status}")
    if status != 200:
        raise CannotRun("manifest 2 was not acknowledged")
    leader = deployment.find_leader()
    second = other if other != leader else NEW_HOST
    await wipe(record, deployment, (leader, second))
    await asyncio.sleep(RECOVERY_S)
    read = await read_back(record, deployment)
    answer = await request_once(
        f"{deployment.side[0]}:{deployment.outbound_port}",
        "GET",
        "/orders/1",
        build_request_fields("z-1", KEY),
    )
    record.say(f"a client with a key gets {answer.status}")
    record.say(f"newest acknowledged: 2; read back: {read or 'nothing'}")
    return read < 2


async def wipe(
    record: Record, deployment: Deployment, addresses: tuple[str, ...]
) -> None:
    """Kill hosts at once; start them again with empty disks."""
    for address in addresses:
        deployment.processes[address].kill()
    for address in addresses:
        await deployment.stop_process(address)
        shutil.rmtree(deployment.folder / address / "data")
    record.say(f"{' and '.join(addresses)} lose their disks")
    await asyncio.sleep(DOWN_S)
    for address in addresses:
        await deployment.start_process(address)
    record.say("both are back, empty")


async def read_back(record: Record, deployment: Deployment) -> int:
    """Return the newest version that any machine returns, 0 for none."""
    newest = 0
    deadline = record.now() + READ_TIME_S
    while record.now() < deadline and newest < 2:
        for address in deployment.core:
            answer = await deployment.get(address)
            record.write(f"read at {address}: {answer.status}")
            if answer.status == 200:
                version = int(json.loads(answer.body)["version"], 16)
                newest = max(newest, version)
        await asyncio.sleep(0.2)
    return newest


run_case(FOLDER / "record.txt", case, 110.0)
