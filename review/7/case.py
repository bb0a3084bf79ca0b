"""A node that wakes from a freeze runs a tenant's request as anonymous."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

from standins import (
    CannotRunError,
    Fleet,
    KeptConnection,
    ReadinessCheck,
    Record,
    Run,
    Worker,
    create_id,
    create_manifest,
    create_route,
    create_tenant,
    run_case,
)

SERVICE = "consulta"
FREEZE_S = 3.0  # the site's largest freeze of a node is 3.5 s
WAIT_BEFORE_SENDING_S = 2.3  # more than config-apply-s after the confirmation
REQUESTS = 12


async def play(record: Record, trouble: bool) -> bool:
    """Return whether a worker ran a request for the wrong tenant."""
    fleet = Fleet(record, [SERVICE] * 3)
    runs: dict[str, str] = {}

    def note_run(worker: Worker, run: Run) -> float:
        attempt = run.fields.get("x-sequoiaseam-attempt-id", "")
        tenant = run.fields.get("x-sequoiaseam-tenant", "")
        runs[attempt] = tenant
        record.write(
            "run", attempt=attempt, worker=worker.host, tenant=tenant or "none"
        )
        return 0.02

    workers = [Worker(fleet, host, note_run) for host in fleet.nodes]
    routes = {
        "r-open": create_route(SERVICE, "/open/", anonymous=True),
        "r-keyed": create_route(SERVICE, "/keyed/"),
    }
    old_tenants = {"cooperativa": create_tenant("key-of-cooperativa-0001")}
    new_tenants = {
        **old_tenants,
        "prefeitura": create_tenant("key-of-prefeitura-0002"),
    }
    try:
        await fleet.start(*fleet.cores, *fleet.nodes)
        for worker in workers:
            await worker.start()
        manifest = create_manifest(1, 0, routes, old_tenants, (SERVICE,))
        await fleet.put(manifest)
        await fleet.wait_ready()
        await asyncio.sleep(4)
        node = next(iter(fleet.nodes))
        connections = [
            KeptConnection(node, fleet.outbound_port) for _ in range(REQUESTS)
        ]

        async def ask(
            connection: KeptConnection, attempt: str, key: str
        ) -> None:
            answer = await connection.send(
                "/open/maps",
                (
                    f"X-Sequoiaseam-Attempt-Id: {attempt}",
                    "X-Sequoiaseam-Deadline-Remaining-Ms: 5000",
                    f"Authorization: Bearer {key}",
                ),
                "zanella.example",
            )
            record.write(
                "answered",
                attempt=attempt,
                status=None if answer is None else answer.status,
                body=b"" if answer is None else answer.body[:40],
            )

        check = ReadinessCheck(fleet, node)
        for connection in connections:
            await ask(connection, create_id(), "key-of-cooperativa-0001")
        loop = asyncio.get_running_loop()
        frozen_at = loop.time()
        if trouble:
            fleet.send_signal(node, signal.SIGSTOP)
        manifest = create_manifest(2, 1, routes, new_tenants, (SERVICE,))
        confirmed_at = await fleet.put(manifest)
        await asyncio.sleep(WAIT_BEFORE_SENDING_S)

        async def send(connection: KeptConnection, attempt: str) -> None:
            record.write(
                "sent",
                attempt=attempt,
                to=node,
                key_of="prefeitura",
                after_confirmation=round(record.now - confirmed_at, 3),
            )
            await ask(connection, attempt, "key-of-prefeitura-0002")

        if not check.admits:
            raise CannotRunError("the platform sends the node no clients")
        attempts = [create_id() for _ in range(REQUESTS)]
        sends = [
            asyncio.create_task(send(connection, attempt))
            for connection, attempt in zip(connections, attempts, strict=True)
        ]
        await asyncio.sleep(max(0.2, FREEZE_S - (loop.time() - frozen_at)))
        if trouble:
            fleet.send_signal(node, signal.SIGCONT)
        await asyncio.gather(*sends)
        wrong = [
            a for a in attempts if runs.get(a, "prefeitura") != "prefeitura"
        ]
        ran = sum(attempt in runs for attempt in attempts)
        check.close()
        record.say(
            f"{ran} of {REQUESTS} requests with the key of prefeitura ran, "
            f"{len(wrong)} of them not for prefeitura"
        )
        return bool(wrong)
    finally:
        for worker in workers:
            worker.crash()
        with contextlib.suppress(ProcessLookupError):
            await fleet.close()


if __name__ == "__main__":
    run_case(play, FOLDER / "record.txt")
