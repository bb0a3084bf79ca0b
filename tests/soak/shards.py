"""A soak of planned stops whose callers and servers are in several processes.

One process can't send enough to bring nodes to their limit. Each of these has
a part of the nodes, with their callers and backend servers; what they record
is checked as a whole at the end.
"""

import asyncio
import contextlib
import multiprocessing
import pickle
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Final

from tests.soak.calls import Call, End, Run
from tests.soak.record import Record
from tests.soak.run import Report, Soak, cancel_on_sigterm
from tests.soak.schedule import Kind, Schedule
from tests.soak.site import Site
from tests.soak.waymarks import build_stops_schedule

# What the process that stops nodes does. The others change servers.
FLEET_KINDS: Final = frozenset((Kind.STOP, Kind.EDIT, Kind.RACE, Kind.RELOAD))
# For nodes to learn of the first configuration and of their servers.
START_SECONDS: Final = 4.0
# After the last action, for stops that are then in progress.
REST_SECONDS: Final = 4.0
CALLERS_PER_NODE: Final = 60


class ShardRecord(Record):
    """What one process records; it is checked together with the rest."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: list[tuple[str, Run]] = []

    def start_run(self, request_id: str, run: Run) -> bool:
        """Record a run of a request that any process may have sent."""
        self.runs.append((request_id, run))
        return True

    def _check_end(self, call: Call) -> None:
        """Leave the check to the end, when all runs are known."""


@dataclass(frozen=True, slots=True)
class ShardResult:
    """What one process has recorded."""

    calls: tuple[Call, ...]
    runs: tuple[tuple[str, Run], ...]
    failures: tuple[str, ...]
    strikes: Counter[str]
    lateness: float


@dataclass(frozen=True, slots=True)
class Shard:
    """The part of a soak that one process has.

    Times are those of the steady clock, which all processes share.
    """

    index: int
    nodes: tuple[str, ...]
    seed: int
    site: Site
    schedule: Schedule
    folder: Path
    ports: tuple[int, int] = field(default=(0, 0))
    starts_at: float = 0.0
    ends_at: float = 0.0

    @property
    def result_file(self) -> Path:
        """Return the file that gets the result."""
        return self.folder / f"shard-{self.index}"

    def run(self) -> None:
        """Run the part and write its result; the main function."""
        result = asyncio.run(self._run())
        self.result_file.write_bytes(pickle.dumps(result))

    async def _run(self) -> ShardResult:
        return await ShardSoak(self).run_shard()


class ShardSoak(Soak):
    """Callers and servers of some nodes, without the processes."""

    def __init__(self, shard: Shard) -> None:
        # The ids of requests differ between the processes.
        super().__init__(
            shard.seed * 64 + shard.index,
            shard.site,
            shard.schedule,
            shard.folder,
        )
        self._shard = shard
        self._record = self._shard_record = ShardRecord()
        self._fleet.api_port, self._fleet.outbound_port = shard.ports

    async def run_shard(self) -> ShardResult:
        """Send requests until the end and return what was recorded."""
        shard = self._shard
        for node in shard.nodes:
            await self._start_server(node)
        self._create_callers(shard.nodes)
        await asyncio.sleep(shard.starts_at - time.monotonic())
        async with asyncio.TaskGroup() as group:
            senders = [
                group.create_task(caller.run()) for caller in self._callers
            ]
            watch = group.create_task(self._watch())
            actions = group.create_task(self._change_servers())
            await asyncio.sleep(shard.ends_at - time.monotonic())
            actions.cancel()
            for caller in self._callers:
                caller.stop()
            await asyncio.gather(*senders)
            watch.cancel()
        for server in self._servers.values():
            await server.finish()
            await server.close()
        await self._session.close()
        record = self._shard_record
        return ShardResult(
            tuple(record.calls.values()),
            tuple(record.runs),
            tuple(record.failures),
            record.strikes,
            self._lateness,
        )

    async def _change_servers(self) -> None:
        """Perform the actions on servers of this process."""
        async with asyncio.TaskGroup() as group:
            for action in self._schedule.actions:
                due = self._shard.starts_at + action.at
                if (
                    action.kind not in FLEET_KINDS
                    and action.address in self._servers
                ):
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                    group.create_task(self._perform(action))


class ShardedSoak(Soak):
    """The processes of nodes and control hosts, and their stops."""

    def __init__(
        self,
        seed: int,
        site: Site,
        schedule: Schedule,
        folder: Path,
        processes: int,
    ) -> None:
        super().__init__(seed, site, schedule, folder)
        self._shards = [
            Shard(
                index,
                site.nodes[index::processes],
                seed,
                site,
                schedule,
                folder,
            )
            for index in range(processes)
        ]

    async def _start(self) -> None:
        for address in (*self._site.controls, *self._site.nodes):
            await self._fleet.start(address)
        await self._operator.edit()

    async def _play(self) -> None:
        starts_at = time.monotonic() + START_SECONDS
        last = max(action.at for action in self._schedule.actions)
        # A new interpreter, as this one has an event loop with open files.
        context = multiprocessing.get_context("spawn")
        children = []
        for index, shard in enumerate(self._shards):
            self._shards[index] = replace(
                shard,
                ports=(self._fleet.api_port, self._fleet.outbound_port),
                starts_at=starts_at,
                ends_at=starts_at + last + REST_SECONDS,
            )
            child = context.Process(target=self._shards[index].run)
            child.start()
            children.append(child)
        try:
            await self._perform_stops(starts_at)
            for child in children:
                await asyncio.to_thread(child.join)
        finally:
            for child in children:
                child.kill()
        self._collect()
        self._record.check_all()
        self._check_losses()
        await self._operator.check_read_back()

    async def _perform_stops(self, starts_at: float) -> None:
        self._record.started_at = starts_at
        async with asyncio.TaskGroup() as group:
            for action in self._schedule.actions:
                if action.kind in FLEET_KINDS:
                    due = starts_at + action.at
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                    group.create_task(self._perform(action))

    def _collect(self) -> None:
        """Add what the processes have recorded."""
        results: list[ShardResult] = []
        for shard in self._shards:
            with contextlib.suppress(FileNotFoundError):
                content = shard.result_file.read_bytes()
                # A file that this soak's own process has written.
                results.append(pickle.loads(content))  # noqa: S301
        if len(results) < len(self._shards):
            self._record.fail("a process of callers and servers failed")
        for result in results:
            self._lateness = max(self._lateness, result.lateness)
            self._record.strikes += result.strikes
            for failure in result.failures:
                self._record.fail(failure)
        self._record.add_all(
            (call for result in results for call in result.calls),
            (run for result in results for run in result.runs),
        )
        unread = sum(
            call.end is End.UNREAD for call in self._record.calls.values()
        )
        self._notes.append(
            f"{unread} requests crossed the end of their connection"
        )


async def run_sharded_soak(
    seed: int, seconds: float, folder: Path, site: Site, processes: int
) -> Report:
    """Run the soak of one seed with callers and servers in processes."""
    cancel_on_sigterm()
    rate = site.callers_per_node / site.think_seconds
    site = replace(
        site,
        callers_per_node=CALLERS_PER_NODE,
        think_seconds=CALLERS_PER_NODE / rate,
    )
    schedule = build_stops_schedule(seed, seconds, site)
    return await ShardedSoak(seed, site, schedule, folder, processes).run()
