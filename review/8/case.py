"""A request that crashes workers is let through once its route is split."""

import asyncio
import contextlib
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

from standins import (
    Fleet,
    Record,
    Run,
    Worker,
    create_id,
    create_manifest,
    create_route,
    create_tenant,
    request,
    run_case,
)

SERVICE = "consulta"
NODES = 6
POISON = "/accept/p/7/c/41"
WORKER_BACK_S = 3.0
CLIENTS = 3  # at each node, with requests that crash nothing
RESEND_S = 1.0
PLAY_S = 40.0
SPLIT_AFTER_S = 6.0
CONNECTIVITY_WINDOW_S = 3.0
RETRIES_MAX = 3
KEY = "key-of-cooperativa-0001"


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the request reached workers too often."""
    fleet = Fleet(record, [SERVICE] * NODES)
    rng = random.Random(7)
    crashes: list[float] = []
    arrivals: list[tuple[float, float]] = []
    sent_at: dict[str, float] = {}
    restarts: set[asyncio.Task[None]] = set()

    def note_run(worker: Worker, run: Run) -> float:
        if run.target == POISON:
            attempt = run.fields.get("x-sequoiaseam-attempt-id", "")
            arrivals.append((sent_at.get(attempt, 0.0), record.now))
            record.write(
                "crashing request reaches worker",
                worker=worker.host,
                attempt=attempt,
            )
            crashes.append(record.now)
            worker.crash()
            restarts.add(asyncio.create_task(restart(worker)))
        return rng.uniform(0.05, 0.15)

    async def restart(worker: Worker) -> None:
        await asyncio.sleep(WORKER_BACK_S)
        await worker.start()

    workers = [Worker(fleet, host, note_run) for host in fleet.nodes]

    async def send(node: str, target: str) -> int | None:
        attempt = create_id()
        if target == POISON:
            sent_at[attempt] = record.now
            record.write("crashing request sent", to=node, attempt=attempt)
        answer = await request(
            node,
            fleet.outbound_port,
            "GET",
            target,
            (
                f"X-Sequoiaseam-Attempt-Id: {attempt}",
                "X-Sequoiaseam-Deadline-Remaining-Ms: 5000",
                f"Authorization: Bearer {KEY}",
            ),
            timeout_s=5.0,
            name="zanella.example",
        )
        status = None if answer is None else answer.status
        if target == POISON:
            record.write("crashing request answered", status=status)
        statuses[status] = statuses.get(status, 0) + 1
        return status

    statuses: dict[int | None, int] = {}

    async def send_others(node: str, number: int) -> None:
        count = 0
        while True:
            count += 1
            await send(node, f"/read/{number}/{count}")
            await asyncio.sleep(rng.uniform(0.02, 0.08))

    others: list[asyncio.Task[None]] = []
    try:
        await fleet.start(*fleet.cores, *fleet.nodes)
        for worker in workers:
            await worker.start()
        routes = {
            "r-read": create_route(SERVICE, "/read/", priority=2),
            "r-accept": create_route(SERVICE, "/accept/", priority=0),
        }
        # Each manifest splits the route further, as the path is longer.
        splits = [
            ("r-accept-2", "/accept/p/"),
            ("r-accept-3", "/accept/p/7/"),
            ("r-accept-4", "/accept/p/7/c/"),
        ]
        tenants = {"cooperativa": create_tenant(KEY)}
        services = (SERVICE,)
        await fleet.put(create_manifest(1, 0, routes, tenants, services))
        await fleet.wait_ready()
        await asyncio.sleep(3)
        others = [
            asyncio.create_task(send_others(node, number))
            for node in fleet.nodes
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(3)
        ends_at = record.now + PLAY_S
        nodes = list(fleet.nodes)
        version = 1
        while record.now < ends_at:
            is_due = (
                len(crashes) >= 3
                and record.now > crashes[-1] + SPLIT_AFTER_S
                and splits
            )
            if trouble and is_due:
                name, prefix = splits.pop(0)
                routes[name] = create_route(SERVICE, prefix, priority=0)
                manifest = create_manifest(
                    version + 1, version, routes, tenants, services
                )
                version += 1
                await fleet.put(manifest)
            await send(rng.choice(nodes), POISON)
            await asyncio.sleep(RESEND_S)
        late: list[float] = []
        if len(crashes) >= 3:
            late = [
                sent
                for sent, _ in arrivals
                if sent > crashes[2] + CONNECTIVITY_WINDOW_S
            ]
        record.write("answers", **{str(k): v for k, v in statuses.items()})
        record.say(
            f"{len(crashes)} crashes; the third at "
            f"{crashes[2] if len(crashes) > 2 else 0:.1f} s; "
            f"{len(late)} later arrivals in {len(set(late))} client attempts "
            f"sent more than {CONNECTIVITY_WINDOW_S:g} s after it"
        )
        # Counted by client attempts, as one attempt may try two workers.
        return len(set(late)) > RETRIES_MAX
    finally:
        for task in (*others, *restarts):
            task.cancel()
        await asyncio.gather(*others, *restarts, return_exceptions=True)
        for worker in workers:
            worker.crash()
        with contextlib.suppress(ProcessLookupError):
            await fleet.close()


if __name__ == "__main__":
    run_case(play, FOLDER / "record.txt")
