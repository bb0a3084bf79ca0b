"""Nodes in touch try frozen core hosts in turn and act on an old manifest."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

from standins import (
    Fleet,
    KeptConnection,
    Record,
    Run,
    Worker,
    create_id,
    create_manifest,
    create_route,
    create_tenant,
    run_case,
)

OLD_SERVICE = "contratos"
NEW_SERVICE = "consulta"
SERVICES = (OLD_SERVICE, NEW_SERVICE)
KEY = "key-of-cooperativa-0001"
ZONE = "sul-a"
FREEZE_S = 6.0  # the site's largest freeze of a core machine is 7.5 s
MANIFEST_AFTER_S = 0.5  # from the start of the freeze
CONNECTIVITY_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
REQUEST_GAP_S = 0.05


async def play(record: Record, trouble: bool) -> bool:
    """Return whether a node in touch acted on an old manifest."""
    fleet = Fleet(
        record,
        [
            OLD_SERVICE,
            OLD_SERVICE,
            NEW_SERVICE,
            NEW_SERVICE,
            NEW_SERVICE,
            OLD_SERVICE,
        ],
        cores=5,
    )
    ran_by: dict[str, str] = {}

    def note_run(worker: Worker, run: Run) -> float:
        service = fleet.nodes[worker.host]
        ran_by[run.fields["x-sequoiaseam-attempt-id"]] = service
        return 0.01

    workers = [Worker(fleet, host, note_run) for host in fleet.nodes]
    tenants = {"cooperativa": create_tenant(KEY)}
    sent_by: dict[str, tuple[str, float]] = {}
    statuses: dict[int | None, int] = {}
    callers: set[asyncio.Task[None]] = set()

    async def put(version: int, service: str) -> float:
        routes = {
            "r-keyed": create_route(NEW_SERVICE, "/keyed/"),
            "r-roster": create_route(service, "/roster/", anonymous=True),
        }
        return await fleet.put(
            create_manifest(version, version - 1, routes, tenants, SERVICES)
        )

    async def call(node: str) -> None:
        """Send requests without a key, as the worker beside the node does."""
        connection = KeptConnection(node, fleet.outbound_port)
        while True:
            await asyncio.sleep(REQUEST_GAP_S)
            attempt = create_id()
            sent_by[attempt] = (node, record.now)
            answer = await connection.send(
                "/roster/x",
                (
                    f"X-Sequoiaseam-Attempt-Id: {attempt}",
                    "X-Sequoiaseam-Deadline-Remaining-Ms: 2500",
                ),
                "zanella.example",
            )
            status = None if answer is None else answer.status
            statuses[status] = statuses.get(status, 0) + 1

    try:
        await fleet.start(*fleet.cores, *fleet.nodes)
        for worker in workers:
            await worker.start()
        await put(1, OLD_SERVICE)
        await fleet.wait_ready()
        # Nodes move to the core hosts of their zones within some seconds.
        await asyncio.sleep(8)
        callers.update(asyncio.create_task(call(node)) for node in fleet.nodes)
        await asyncio.sleep(1)
        frozen = [core for core in fleet.cores if fleet.zones[core] == ZONE]
        # The operator goes on with the core hosts that answer.
        fleet.answering = [c for c in fleet.cores if c not in frozen]
        frozen_at = record.now
        if trouble:
            for core in frozen:
                fleet.send_signal(core, signal.SIGSTOP)
        await asyncio.sleep(MANIFEST_AFTER_S)
        confirmed_at = await put(2, NEW_SERVICE)
        await asyncio.sleep(frozen_at + FREEZE_S - record.now)
        if trouble:
            for core in frozen:
                fleet.send_signal(core, signal.SIGCONT)
        await asyncio.sleep(1)
        judged_from = max(
            frozen_at + CONNECTIVITY_WINDOW_S, confirmed_at + CONFIG_APPLY_S
        )
        stale: dict[str, list[float]] = {}
        for attempt, (node, sent) in sent_by.items():
            if (
                judged_from < sent < frozen_at + FREEZE_S
                and ran_by.get(attempt) == OLD_SERVICE
            ):
                stale.setdefault(node, []).append(sent - confirmed_at)
        for node, ages in stale.items():
            record.write(
                "ran by the old service",
                node=node,
                zone=fleet.zones[node],
                requests=len(ages),
                sent_after_confirmation=f"{min(ages):.2f}..{max(ages):.2f}",
            )
        record.write("answers", **{str(k): v for k, v in statuses.items()})
        count = sum(map(len, stale.values()))
        record.say(
            f"{count} requests, sent by {len(stale)} nodes in touch more than "
            f"{CONFIG_APPLY_S:g} s after the confirmation, were run by the "
            f"old service"
        )
        return count > 0
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for worker in workers:
            worker.crash()
        with contextlib.suppress(ProcessLookupError):
            await fleet.close()


if __name__ == "__main__":
    run_case(play, FOLDER / "record.txt")
