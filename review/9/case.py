"""Nodes that lost the owner of the tokens go on beside those that have it."""

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

SERVICE = "consulta"
KEY = "key-of-cooperativa-0001"
RATE_PER_S = 80
BURST = 80
USUAL_PER_S = 76.0
HOT_FACTOR = 8.0  # the site's largest `hot_tenant`
HOT_S = 6.5
USUAL_S = 26.0  # fills the burst, which starts empty
ZONE = "sul-a"
FREEZE_S = 6.0  # the site's largest freeze of a core machine is 7.5 s
# Bounds of the site.
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20


async def play(record: Record, trouble: bool) -> bool:
    """Return whether more requests of the tenant ran than it may send."""
    fleet = Fleet(record, [SERVICE] * 8, cores=5)
    # Six of eight nodes are in the zone whose core hosts freeze.
    zones = (*(ZONE,) * 6, "sul-b", "sul-c")
    for node, zone in zip(fleet.nodes, zones, strict=True):
        fleet.zones[node] = zone
    frozen = [core for core in fleet.cores if fleet.zones[core] == ZONE]
    sent_at: dict[str, float] = {}
    ran_at: dict[str, float] = {}
    node_of: dict[str, str] = {}
    statuses: dict[int | None, int] = {}

    def note_run(worker: Worker, run: Run) -> float:
        del worker
        ran_at[run.fields["x-sequoiaseam-attempt-id"]] = record.now
        return 0.02

    workers = [
        Worker(fleet, host, note_run, slots=184) for host in fleet.nodes
    ]
    idle: dict[str, list[KeptConnection]] = {h: [] for h in fleet.nodes}
    tasks: set[asyncio.Task[None]] = set()

    async def send(node: str) -> None:
        attempt = create_id()
        connection = (
            idle[node].pop()
            if idle[node]
            else KeptConnection(node, fleet.outbound_port)
        )
        sent_at[attempt] = record.now
        node_of[attempt] = node
        answer = await connection.send(
            "/read/1",
            (
                f"X-Sequoiaseam-Attempt-Id: {attempt}",
                "X-Sequoiaseam-Deadline-Remaining-Ms: 5000",
                f"Authorization: Bearer {KEY}",
            ),
            "zanella.example",
        )
        idle[node].append(connection)
        status = None if answer is None else answer.status
        statuses[status] = statuses.get(status, 0) + 1

    async def press(per_s: float, for_s: float) -> None:
        """Send at a rate, to all nodes in turn."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        nodes = list(fleet.nodes)
        for number in range(int(per_s * for_s)):
            await asyncio.sleep(started + number / per_s - loop.time())
            task = asyncio.create_task(send(nodes[number % len(nodes)]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def disturb() -> None:
        for core in frozen:
            fleet.send_signal(core, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        for core in frozen:
            fleet.send_signal(core, signal.SIGCONT)

    try:
        await fleet.start(*fleet.cores, *fleet.nodes)
        for worker in workers:
            await worker.start()
        await fleet.put(
            create_manifest(
                1,
                0,
                {"r-read": create_route(SERVICE, "/read/")},
                {
                    "cooperativa": create_tenant(
                        KEY, rate=RATE_PER_S, burst=BURST
                    )
                },
                (SERVICE,),
            )
        )
        await fleet.wait_ready()
        # Nodes move to the core hosts of their zones within some seconds.
        await asyncio.sleep(8)
        await press(USUAL_PER_S, USUAL_S)
        record.write("hot time begins", per_s=USUAL_PER_S * HOT_FACTOR)
        disturbance = asyncio.create_task(disturb()) if trouble else None
        await press(USUAL_PER_S * HOT_FACTOR, HOT_S)
        if disturbance is not None:
            await disturbance
        await press(USUAL_PER_S, 3.0)
        while tasks:
            await asyncio.sleep(0.1)
        limit = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
        runs = sorted((sent_at[a], ran_at[a]) for a in ran_at)
        most, most_at = 0, 0.0
        for start, _ in runs:
            count = sum(
                sent >= start and ran <= start + WINDOW_S for sent, ran in runs
            )
            if count > most:
                most, most_at = count, start
        for name, hosts in (("frozen", True), ("other", False)):
            count = sum(
                most_at <= ran_at[a] <= most_at + WINDOW_S
                for a in ran_at
                if (fleet.zones[node_of[a]] == ZONE) is hosts
            )
            record.write("ran in these 5 s", zone=name, runs=count)
        for second in range(int(record.now)):
            ran = sum(second <= at < second + 1 for at in ran_at.values())
            sent = sum(second <= at < second + 1 for at in sent_at.values())
            if sent:
                record.write("in second", second=second, sent=sent, ran=ran)
        record.write("answers", **{str(k): v for k, v in statuses.items()})
        record.say(
            f"{most} requests ran in the {WINDOW_S:g} s from {most_at:.2f} s; "
            f"the limit is {limit:g}"
        )
        return most > limit
    finally:
        for task in list(tasks):
            task.cancel()
        for worker in workers:
            worker.crash()
        with contextlib.suppress(ProcessLookupError):
            await fleet.close()


if __name__ == "__main__":
    run_case(play, FOLDER / "record.txt")
