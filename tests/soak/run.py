"""One soak: a fleet, its load and the actions of a schedule."""

import asyncio
import contextlib
import itertools
import math
import random
import signal
import time
from collections import Counter
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Final

import aiohttp

from tests.platform_fleet import NODE_LIMITS, PlatformFleet, get_limits
from tests.soak.callers import Caller, RequestIds
from tests.soak.calls import Period
from tests.soak.losses import (
    Bounds,
    Events,
    OwnEnd,
    describe_own_end,
    find_losses,
)
from tests.soak.operator import Operator, wait_until
from tests.soak.record import GRACE_PERIOD_SECONDS, Record
from tests.soak.relay import Fault, FaultRelay
from tests.soak.schedule import (
    Action,
    Kind,
    Schedule,
    build_schedule,
    name_caller_relay,
    name_link_relay,
    name_server_relay,
)
from tests.soak.servers import BackendServer, Place
from tests.soak.site import STORES, Site
from tests.soak.uploads import LargeLoad, build_uploads_schedule
from tests.soak.waymarks import STOPPED_RATIO, build_waymarks_schedule

# Callers that reach their node through a relay, if there are relays: one
# that opens a connection for each request and one that keeps its own.
RELAYED_CALLERS: Final = (1, 3)
# Last log lines of a process that didn't stop by itself.
NOTED_LINES: Final = 12
# Start, last restarts and final checks together end a soak that hangs.
OVERHEAD_SECONDS_MAX: Final = 300.0
# Time to find control hosts and backend servers again after a restart.
SETTLE_SECONDS: Final = 5.0
# How long a server that is taken away serves after its last heartbeat.
REMOVED_DRAIN_SECONDS: Final = 2.5
# How long control hosts are down that were killed together.
DOWN_SECONDS: Final = 0.7
WATCH_SECONDS: Final = 0.05
# How often a supervisor looks at its processes, and how soon it starts one
# again that has ended.
SUPERVISION_SECONDS: Final = 0.02
RESTART_SECONDS: Final = 0.3
BOUNDS: Final = Bounds(
    grace_period=GRACE_PERIOD_SECONDS,
    connectivity_window=3.0,
    loss_slack=0.2,
    config_apply=2.0,
)
# Load in a burst, relative to the usual one.
BURST_FACTOR: Final = 1.7
RELEASE_GAP_SECONDS: Final = 1.0
SEEDS: Final = 3
# How far a clock is stepped, forward or backward.
STEPS_SECONDS: Final = (-2.4, 2.4)
# Of a node's memory, which leaves a margin below what ends it.
NODE_PEAK_BYTES_MAX: Final = NODE_LIMITS.memory_bytes * 2 // 3


@dataclass(frozen=True, slots=True)
class Report:
    """The outcome of one soak."""

    seed: int
    schedule: str
    summary: str
    failures: tuple[str, ...]
    notes: tuple[str, ...]

    def format(self) -> str:
        """Return the outcome, with the schedule if something failed."""
        verdict = "failed" if self.failures else "passed"
        lines = [f"seed {self.seed} {verdict}: {self.summary}", *self.notes]
        if self.failures:
            lines += [*self.failures, self.schedule]
        return "\n".join(lines)


class Soak:
    """The processes, callers and backend servers of one soak."""

    def __init__(
        self, seed: int, site: Site, schedule: Schedule, folder: Path
    ) -> None:
        self._seed = seed
        self._site = site
        self._schedule = schedule
        self._fleet = create_fleet(site, folder)
        self._record = Record()
        self._ids = RequestIds(seed)
        self._locks = {
            address: asyncio.Lock()
            for address in (*site.nodes, *site.controls)
        }
        self._waiting: set[str] = set()
        self._session = aiohttp.ClientSession()
        self._operator = Operator(
            self._record,
            self._create_rng("operator"),
            self._session,
            site,
            self._fleet.api_port,
        )
        self._servers: dict[str, BackendServer] = {}
        self._server_count = 0
        self._callers: list[Caller] = []
        self._relays: dict[str, FaultRelay] = {}
        self._load = LargeLoad(
            self._record,
            self._create_rng("large load"),
            self._ids,
            site,
            self._fleet.outbound_port,
        )
        self._own_ends: list[OwnEnd] = []
        # Processes whose end the soak has asked for or recorded.
        self._explained_ends: set[asyncio.subprocess.Process] = set()
        self._restarts: set[asyncio.Task[None]] = set()
        # Largest resident size of each process, over all its starts.
        self._peaks: dict[str, int] = {}
        self._longest_stop = 0.0
        # How late the soak itself was, which delays what it sees.
        self._lateness = 0.0
        self._sending_ends_at = math.inf
        self._notes: list[str] = []

    def _create_rng(self, name: str) -> random.Random:
        return random.Random(f"{self._seed} {name}")

    async def run(self) -> Report:
        """Run the schedule and return what was seen."""
        try:
            await self._start()
            supervision = asyncio.create_task(self._supervise())
            try:
                await self._play()
            finally:
                supervision.cancel()
                await asyncio.gather(*self._restarts)
                # Without it, no check of memory and ends was made.
                with contextlib.suppress(asyncio.CancelledError):
                    await supervision
        finally:
            for server in self._servers.values():
                await server.close()
            await self._session.close()
            for relay in self._relays.values():
                await relay.close()
            try:
                await self._fleet.close()
            except AssertionError as error:
                self._record.fail(str(error))
        failures = self._record.failures
        return Report(
            self._seed,
            self._schedule.format(),
            f"{self._record.summarize()}; strikes: "
            f"{dict(sorted(self._record.strikes.items()))}; longest stop "
            f"{self._longest_stop:.2f} s, the soak was late by at most "
            f"{self._lateness:.2f} s; peaks: {self._format_peaks()}; ended by "
            f"themselves: {len(self._own_ends)}",
            (
                *self._describe_own_ends(),
                *self._describe_peaks(),
                *failures,
                *self._read_log_lines(),
            ),
            tuple(self._notes),
        )

    # Start.

    async def _start(self) -> None:
        site = self._site
        if not self._schedule.planned_only:
            await self._start_link_relays()
        for address in (*site.controls, *site.nodes):
            await self._fleet.start(address)
        await self._operator.edit()
        for node in site.nodes:
            await self._start_server(node)
            if not self._schedule.planned_only:
                relay = FaultRelay(node, self._fleet.outbound_port)
                await relay.start()
                self._relays[name_caller_relay(node)] = relay
        self._create_callers(site.nodes)

    def _create_callers(self, nodes: tuple[str, ...]) -> None:
        site = self._site
        for node in nodes:
            for index in range(site.callers_per_node):
                caller = self._create_caller(
                    node,
                    f"{index}",
                    keeps_connection=index >= site.opening_callers_per_node,
                )
                name = name_caller_relay(node)
                if name in self._relays and index in RELAYED_CALLERS:
                    caller.use_relay(name, self._relays[name])
                self._callers.append(caller)

    async def _start_link_relays(self) -> None:
        fleet = self._fleet
        ports = {}
        for host in self._site.hooked_hosts:
            relay = FaultRelay(host, fleet.internal_port)
            await relay.start()
            self._relays[name_link_relay(host)] = relay
            ports[f"{host}:{fleet.internal_port}"] = relay.port
        fleet.use_hook(ports)

    def _create_caller(
        self, node: str, name: str, *, keeps_connection: bool
    ) -> Caller:
        return Caller(
            self._record,
            self._create_rng(f"caller {node} {name}"),
            self._ids,
            self._site,
            node,
            self._fleet.outbound_port,
            keeps_connection=keeps_connection,
        )

    async def _start_server(self, node: str) -> None:
        self._server_count += 1
        server_id = f"i-{self._server_count}"
        relay_name = name_server_relay(node)
        if self._schedule.planned_only or (
            relay_name not in self._site.list_server_relays()
        ):
            relay_name = ""
        server = BackendServer(
            self._record,
            self._create_rng(f"server {server_id}"),
            self._ids,
            Place(
                self._site,
                node,
                self._fleet.api_port,
                self._fleet.outbound_port,
            ),
            server_id,
            self._session,
            relay_name,
        )
        await server.listen()
        if server.relay is not None:
            self._relays[server.relay_name] = server.relay
        server.announce(born=time.time_ns() // 1_000_000)
        self._servers[node] = server

    # The schedule.

    async def _play(self) -> None:
        async with asyncio.TaskGroup() as group:
            senders = [
                group.create_task(caller.run()) for caller in self._callers
            ]
            watch = group.create_task(self._watch())
            await self._wait_until_served("at the start")
            self._record.started_at = self._record.now()
            async with asyncio.TaskGroup() as actions:
                for action in self._schedule.actions:
                    wait = action.at - (
                        self._record.now() - self._record.started_at
                    )
                    await asyncio.sleep(max(0.0, wait))
                    actions.create_task(self._perform(action))
            await self._kill_all_controls()
            await self._wait_until_served("after all")
            self._sending_ends_at = self._record.now()
            for caller in self._callers:
                caller.stop()
            await asyncio.gather(*senders)
            watch.cancel()
        await self._operator.check_read_back()
        for server in self._servers.values():
            await server.finish()
        self._record.check_all()
        self._check_losses()
        self._check_served()
        if self._site.large_routes:
            self._note_other_requests()

    def _note_other_requests(self) -> None:
        """Note how many requests beside those with large bodies succeed."""
        counts = Counter(
            f"{call.connection} {'served' if call.served else 'not served'}"
            for call in self._record.calls.values()
            if not self._site.find_route(call.target).large
        )
        parts = [f"{name}: {count}" for name, count in sorted(counts.items())]
        self._notes.append(f"requests with small bodies, {', '.join(parts)}")

    def _check_losses(self) -> None:
        """Check the rule LOST where the record found no failure."""
        record = self._record
        events = Events(
            record.stops,
            record.faults,
            record.reloads,
            record.edits,
            controls=self._site.controls,
        )
        for loss in find_losses(record.calls.values(), events, BOUNDS):
            if loss.call.request_id not in record.failed_ids:
                text = f"lost: {loss.sentence.value}: {loss.evidence}"
                record.fail(text, loss.call)

    def _check_served(self) -> None:
        """Check that each node serves requests while it can.

        It can if neither it, nor the control hosts, nor all other nodes of
        its kind have been stopped or disturbed for some time.
        """
        served = [
            (call.node, call.started_at)
            for call in self._record.calls.values()
            if call.served and not call.nested
        ]
        site = self._site
        start = self._record.started_at
        while start + site.window_seconds < self._sending_ends_at:
            calm = {
                address
                for address in (*site.nodes, *site.controls)
                if self._is_calm(address, start)
            }
            served_nodes = {
                node
                for node, at in served
                if 0 < at - start < site.window_seconds
            }
            calm_nodes = calm & site.services.keys()
            if calm.issuperset(site.controls) and len(
                {site.services[node] for node in calm_nodes}
            ) == len(set(site.services.values())):
                for node in calm_nodes - served_nodes:
                    self._record.fail(
                        f"{node} served no request in "
                        f"{site.window_seconds:.1f} s from "
                        f"{start - self._record.started_at:.1f} on"
                    )
            start += site.window_seconds / 2

    def _is_calm(self, address: str, start: float) -> bool:
        end = start + self._site.window_seconds
        span = (start - SETTLE_SECONDS, end)
        names = (
            address,
            name_server_relay(address),
            name_link_relay(address),
        )
        return not (
            self._record.is_stopped(names, *span)
            or self._record.is_disturbed(names, *span)
        )

    async def _wait_until_served(self, when: str) -> None:
        """Check that requests are served from now on.

        Each node serves each route, or each node some and each route is
        served, where a node has too few callers for that in a short time.
        """
        since = self._record.now()

        async def is_served() -> bool:
            return not self._find_unserved(since)

        if not await wait_until(is_served):
            self._record.fail(
                f"requests aren't served {when}: {self._find_unserved(since)}"
            )

    def _find_unserved(self, since: float) -> set[tuple[str, str]]:
        nodes = self._site.nodes
        prefixes = [route.prefix for route in self._site.root_routes]
        unserved = {(node, "") for node in nodes}
        unserved |= {("", prefix) for prefix in prefixes}
        if self._site.serves_all_first:
            unserved |= set(itertools.product(nodes, prefixes))
        for call in self._record.calls.values():
            if call.served and call.started_at >= since:
                prefix = f"/{call.target.split('/')[1]}/"
                unserved -= {
                    (call.node, ""),
                    ("", prefix),
                    (call.node, prefix),
                }
        return unserved

    def _perform(self, action: Action) -> Coroutine[Any, Any, None]:
        kind = action.kind
        if isinstance(kind, Fault):
            return self._disturb(action.address, kind, action.duration)
        if kind is Kind.EDIT:
            return self._operator.edit()
        if kind is Kind.RACE:
            return self._operator.race()
        if kind is Kind.SLOW_SERVER:
            return self._servers[action.address].slow_down(action.duration)
        if kind is Kind.SPOIL_ANSWERS:
            return self._servers[action.address].spoil_answers(action.duration)
        return {
            Kind.REPLACE_SERVER: self._replace_server,
            Kind.REMOVE_SERVER: self._replace_server,
            Kind.RELEASE: self._release,
            Kind.BURST: self._burst,
            Kind.UPLOAD: self._load.upload,
            Kind.EXPORT: self._load.export,
            Kind.CROWD: self._load.crowd,
            Kind.RELOAD: self._reload,
            Kind.STALL_DISK: self._stall_disk,
            Kind.STEP_CLOCK: self._step_clock,
            Kind.STOP: self._stop,
            Kind.KILL: self._kill,
            Kind.DELAY: self._pause,
            Kind.PAUSE: self._pause,
        }[kind](action)

    async def _burst(self, action: Action) -> None:
        """Have more callers for some time, all on new connections."""
        count = round((BURST_FACTOR - 1) * self._site.callers_per_node)
        callers = [
            self._create_caller(
                node, f"{action.at} {index}", keeps_connection=True
            )
            for node in self._site.nodes
            for index in range(count)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                caller.strike = "request of a burst in a stop"
                group.create_task(caller.run())
            await asyncio.sleep(action.duration)
            for caller in callers:
                caller.stop()

    async def _reload(self, action: Action) -> None:
        """Name the control hosts from an address on as seeds."""
        controls = self._site.controls
        first = controls.index(action.address)
        self._fleet.seeds = (*controls[first:], *controls)[:SEEDS]
        for address in (*self._site.nodes, *controls):
            self._fleet.write_settings(address, bootstrap=False)
            process = self._fleet.processes.get(address)
            if process is not None:
                send_signal(process, signal.SIGHUP)
                self._record.strikes["SIGHUP"] += 1
                now = self._record.now()
                self._record.reloads.setdefault(address, []).append(
                    Period("reload", now, now)
                )

    async def _disturb(self, name: str, kind: Fault, seconds: float) -> None:
        """Have a relay inject a fault, unless it already has one."""
        relay = self._relays[name]
        if relay.fault is None:
            fault = self._record.add_fault(name, kind.value)
            if name.startswith("links-"):
                self._record.strikes[f"{kind.value} links"] += 1
            await relay.inject(kind, seconds)
            fault.end = self._record.now()

    async def _replace_server(self, action: Action) -> None:
        """Take a server away, in some cases its node too, and start others."""
        former = self._servers[action.address]
        if former.leaving:
            return
        removed = action.kind is Kind.REMOVE_SERVER
        period = self._record.add_stop(name_server_relay(action.address))
        await former.leave(
            REMOVED_DRAIN_SECONDS if removed else action.duration
        )
        if removed:
            await self._stop(action)
        await self._start_server(action.address)
        period.end = self._record.now()

    async def _release(self, action: Action) -> None:
        """Replace servers and stop their nodes in turn, busy ones first."""
        nodes = sorted(
            self._servers,
            key=lambda node: -len(self._servers[node].runs_in_progress),
        )
        async with asyncio.TaskGroup() as group:
            for node in nodes[: round(STOPPED_RATIO * len(nodes))]:
                step = replace(action, address=node)
                if self._servers[node].runs_in_progress:
                    self._record.strikes["release of a busy server"] += 1
                group.create_task(self._replace_server(step))
                group.create_task(self._stop(step))
                await asyncio.sleep(RELEASE_GAP_SECONDS)

    async def _stop(self, action: Action) -> None:
        """Stop a process as planned and start it again.

        A stop that comes while others wait for the same process is left out.
        """
        address = action.address
        if address in self._waiting:
            return
        self._waiting.add(address)
        async with self._locks[address]:
            self._waiting.discard(address)
            process = self._fleet.processes[address]
            period = self._record.add_stop(address)
            send_signal(process, signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_PERIOD_SECONDS):
                    code = await process.wait()
            except TimeoutError:
                code = await self._end_late_stop(address, period.start)
            now = self._record.now()
            if not self._record.is_disturbed((address,), period.start, now):
                self._check_stop(address, now - period.start, code)
            await self._restart(address, action.duration)
            period.end = self._record.now()

    async def _end_late_stop(self, address: str, started_at: float) -> int:
        """Kill a process at the end of its grace period; return its status.

        One that was disturbed gets another period, in which it has to end.
        """
        process = self._fleet.processes[address]
        if self._record.is_disturbed(
            (address,), started_at, self._record.now()
        ):
            try:
                async with asyncio.timeout(GRACE_PERIOD_SECONDS):
                    return await process.wait()
            except TimeoutError:
                self._record.fail(f"{address} didn't end after SIGTERM")
        send_signal(process, signal.SIGKILL)
        return await process.wait()

    def _check_stop(self, address: str, seconds: float, code: int) -> None:
        """Check that a process ended by itself, within the grace period."""
        self._longest_stop = max(self._longest_stop, seconds)
        if not code:
            return
        self._record.fail(
            f"{address} ended with status {code}, {seconds:.2f} s after "
            "SIGTERM"
        )
        lines = self._fleet.read_last_run(address).splitlines()
        self._notes += lines[-NOTED_LINES:]

    async def _kill(self, action: Action) -> None:
        """Kill a process; one that is stopping is started by its stop."""
        address = action.address
        if self._locks[address].locked():
            await self._kill_process(address)
            return
        async with self._locks[address]:
            fault = await self._kill_process(address)
            await self._restart(address, action.duration)
            fault.end = self._record.now()

    async def _kill_process(self, address: str) -> Period:
        fault = self._record.add_fault(address, "killed")
        process = self._fleet.processes.get(address)
        if process is not None and process.returncode is None:
            self._explained_ends.add(process)
            send_signal(process, signal.SIGKILL)
            await process.wait()
        fault.end = self._record.now()
        return fault

    async def _restart(self, address: str, wait: float) -> None:
        """Start a process that has ended, and wait until it listens."""
        del self._fleet.processes[address]
        await asyncio.sleep(wait)
        await self._fleet.start(address, bootstrap=False)
        is_node = address in self._site.services
        port = self._fleet.outbound_port if is_node else self._fleet.api_port

        async def is_listening() -> bool:
            process = self._fleet.processes[address]
            try:
                _, writer = await asyncio.open_connection(address, port)
            except OSError:
                return process.returncode is not None
            writer.close()
            return True

        if not await wait_until(is_listening):
            self._record.fail(f"{address} doesn't listen after its start")
        elif self._fleet.processes[address].returncode is not None:
            # Killed by another action as it started.
            await self._restart(address, 0)

    async def _pause(self, action: Action) -> None:
        """Pause a process, which is no fault if it is a mere delay."""
        process = self._fleet.processes.get(action.address)
        if process is None or process.returncode is not None:
            return
        fault = None
        if action.kind is Kind.PAUSE:
            fault = self._record.add_fault(action.address, "paused")
        send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(action.duration)
        send_signal(process, signal.SIGCONT)
        if fault is not None:
            fault.end = self._record.now()

    async def _stall_disk(self, action: Action) -> None:
        fault = self._record.add_fault(action.address, "stalled disk")
        self._record.strikes["stalled disk"] += 1
        flag = self._fleet.folder / action.address / "stalled"
        flag.touch()
        await asyncio.sleep(action.duration)
        flag.unlink(missing_ok=True)
        fault.end = self._record.now()

    async def _step_clock(self, action: Action) -> None:
        """Step a clock, and restart the process, which then reads it."""
        step = random.Random(action.at).choice(STEPS_SECONDS)
        file = self._fleet.folder / action.address / "step"
        file.write_text(f"{step}")
        await self._stop(action)
        file.unlink(missing_ok=True)
        self._record.strikes["start with a stepped clock"] += 1

    async def _kill_all_controls(self) -> None:
        """Kill all control hosts right after an edit, and wipe some.

        The edit, which was acknowledged, has to be in force afterwards.
        """
        wiped = self._schedule.wiped
        if wiped is None:
            return
        await self._operator.edit(resends=False)
        controls = self._site.controls
        async with contextlib.AsyncExitStack() as stack:
            for address in controls:
                await stack.enter_async_context(self._locks[address])
            faults = [
                self._record.add_fault(address, "killed")
                for address in controls
            ]
            for address in controls:
                send_signal(self._fleet.processes[address], signal.SIGKILL)
            for address in controls:
                await self._fleet.processes[address].wait()
            first = controls.index(self._operator.acknowledged_by)
            for position in wiped:
                address = controls[(first + position) % len(controls)]
                self._fleet.wipe_data(address)
            async with asyncio.TaskGroup() as group:
                for address in controls:
                    group.create_task(self._restart(address, DOWN_SECONDS))
            for fault in faults:
                fault.end = self._record.now()

    # Supervision.

    async def _watch(self) -> None:
        """Measure how late this process is."""
        while True:
            await self._poll()

    async def _supervise(self) -> None:
        """Do as the platform does with processes that end or are too large.

        Those that end without being asked to are started again.
        """
        while True:
            await asyncio.sleep(SUPERVISION_SECONDS)
            for address, lock in self._locks.items():
                process = self._fleet.processes.get(address)
                if process is None:
                    continue
                self._check_memory(address, process)
                if process.returncode is None or lock.locked():
                    continue
                self._add_own_end(
                    address, process, f"status {process.returncode}"
                )
                restart = asyncio.create_task(
                    self._restart_ended(address, process)
                )
                self._restarts.add(restart)
                restart.add_done_callback(self._restarts.discard)

    def _check_memory(
        self, address: str, process: asyncio.subprocess.Process
    ) -> None:
        """Kill a process that has used more than its memory."""
        size = self._fleet.find_peak_memory(address)
        self._peaks[address] = max(self._peaks.get(address, 0), size)
        if size > get_limits(address).memory_bytes:
            self._add_own_end(address, process, f"used {size} bytes")
            send_signal(process, signal.SIGKILL)

    def _add_own_end(
        self, address: str, process: asyncio.subprocess.Process, what: str
    ) -> None:
        """Record that a process ended, unless the reason is known."""
        if process not in self._explained_ends:
            self._explained_ends.add(process)
            self._own_ends.append(OwnEnd(address, self._record.now(), what))

    async def _restart_ended(
        self, address: str, process: asyncio.subprocess.Process
    ) -> None:
        async with self._locks[address]:
            if self._fleet.processes.get(address) is process:
                await self._restart(address, RESTART_SECONDS)

    async def _poll(self) -> None:
        """Wait until the next look at all connections."""
        loop = asyncio.get_running_loop()
        due = loop.time() + WATCH_SECONDS
        await asyncio.sleep(WATCH_SECONDS)
        lateness = loop.time() - due
        self._lateness = max(self._lateness, lateness)
        # What a late soak finds now may have come since the last time.
        self._record.polled_at = (
            loop.time() if lateness < WATCH_SECONDS else due - WATCH_SECONDS
        )

    def _describe_own_ends(self) -> Iterator[str]:
        for end in self._own_ends:
            yield describe_own_end(
                end, self._record.calls.values(), self._record.started_at
            )

    def _describe_peaks(self) -> Iterator[str]:
        for node in self._site.nodes:
            if self._peaks.get(node, 0) > NODE_PEAK_BYTES_MAX:
                yield (
                    f"{node} used {self._peaks[node]} bytes at the peak, more "
                    f"than {NODE_PEAK_BYTES_MAX}"
                )

    def _format_peaks(self) -> str:
        return ", ".join(
            f"{address} {size // 1_000_000} MB"
            for address, size in sorted(self._peaks.items())
        )

    # Logs.

    def _read_log_lines(self) -> Iterator[str]:
        """Yield the processes' log lines on the first requests that failed."""
        for request_id in dict.fromkeys(self._record.failed_ids[:3]):
            for address in (*self._site.nodes, *self._site.controls):
                for line in self._fleet.read_log(address).splitlines():
                    if request_id in line:
                        yield f"{address}: {line}"


def cancel_on_sigterm() -> None:
    """Have SIGTERM end this task, and so the processes that it starts."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


def create_fleet(site: Site, folder: Path) -> PlatformFleet:
    """Return the fleet of a deployment, which isn't started yet."""
    fleet = PlatformFleet(folder)
    fleet.services = dict(site.services)
    fleet.zones = dict(site.zones)
    fleet.controls = site.controls
    fleet.seeds = site.controls[:SEEDS]
    fleet.bounds = site.bounds
    return fleet


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal to a process, which may have ended meanwhile."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)


async def run_soak(
    seed: int, seconds: float, folder: Path, site: Site = STORES
) -> Report:
    """Run the soak of one seed with the processes' logs in a folder."""
    cancel_on_sigterm()
    if site.name == "waymarks":
        schedule = build_waymarks_schedule(seed, seconds, site)
    elif site.name == "uploads":
        schedule = build_uploads_schedule(seed, seconds, site)
    else:
        schedule = build_schedule(seed, seconds, site.nodes, site.controls)
    async with asyncio.timeout(seconds + OVERHEAD_SECONDS_MAX):
        return await Soak(seed, site, schedule, folder).run()
