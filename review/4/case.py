"""Split routes: a service that only stands second in a split gets nothing."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    TROUBLE,
    Connection,
    Deployment,
    Record,
    build_manifest,
    build_request_fields,
    build_route,
    run_case,
)

KEY = "6wsjnbanfqasnmgkcuyj"
TENANTS = {
    "coop": {
        "api-keys": [KEY],
        "priority": 1,
        "rate-per-s": 1000,
        "burst": 1000,
    }
}
SERVICES = ["orders", "orders-v2"]
REQUESTS = 400
CONFIG_APPLY_S = 2.0


async def case(record: Record) -> bool:
    """Return whether the share of a part is off by more than 0.2."""
    deployment = Deployment(
        record, ["orders", "orders", "orders-v2", "orders-v2"]
    )
    try:
        return await play(record, deployment)
    finally:
        await deployment.close()


async def play(record: Record, deployment: Deployment) -> bool:
    """Play the change and count the runs."""
    await deployment.start()
    routes = {"r-orders": build_route("orders", "/orders/")}
    status = await deployment.put(
        build_manifest(1, 0, routes, SERVICES, TENANTS)
    )
    record.say(f"manifest 1 -> {status}")
    await deployment.wait_ready()
    split = build_route("orders", "/orders/")
    if TROUBLE:
        del split["service"]
        split["weighted-services"] = [
            {"service": "orders", "weight": 50},
            {"service": "orders-v2", "weight": 50},
        ]
    status = await deployment.put(
        build_manifest(2, 1, {"r-orders": split}, SERVICES, TENANTS)
    )
    record.say(f"manifest 2 (split: {TROUBLE}) -> {status}")
    # Three times the bound, so that all workers have reported again.
    await asyncio.sleep(3 * CONFIG_APPLY_S)
    before = len(deployment.runs)
    statuses: dict[int, int] = {}
    connections = {address: Connection() for address in deployment.side}
    for number in range(REQUESTS):
        address = deployment.side[number % len(deployment.side)]
        answer = await connections[address].request(
            f"{address}:{deployment.outbound_port}",
            "GET",
            f"/orders/{number}",
            build_request_fields(f"a-{number}", KEY),
        )
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        record.write(
            f"answer a-{number} at {address}: {answer.status} {answer.body!r}"
        )
        await asyncio.sleep(0.02)
    for connection in connections.values():
        connection.close()
    runs = deployment.runs[before:]
    counts = {
        service: sum(run.service == service for run in runs)
        for service in SERVICES
    }
    record.say(f"answers by status: {statuses}")
    record.say(f"runs by service: {counts}")
    if not TROUBLE:
        return statuses.get(200, 0) < 0.9 * REQUESTS
    share = counts["orders-v2"] / max(1, sum(counts.values()))
    record.say(f"share of orders-v2: {share:.2f}, its weight's: 0.50")
    return abs(share - 0.5) > 0.2


run_case(FOLDER / "record.txt", case, 110.0)
