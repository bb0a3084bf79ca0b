"""Node on unencrypted connections, embedded in another program.

It connects the ingress and the call executor of one host. The embedding
program passes in the settings, which aren't read from a file, and the
reports of the backend server.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import partial
from random import Random
from typing import Any, Final

from sequoiaseam._access import TrustedNetwork
from sequoiaseam._allocator import TRIM_INTERVAL, MemoryTrimmer
from sequoiaseam._announcements import ServerReport, StaleReportFilter
from sequoiaseam._balance_report import format_balance_metrics, log_balance
from sequoiaseam._balancer import Balancer
from sequoiaseam._clock import Clock, create_incarnation
from sequoiaseam._commands import LeavingServer, Member, MemberState
from sequoiaseam._confirmation_waits import ConfirmationWaits
from sequoiaseam._connection_limit import (
    CALLER_FRACTION,
    DEFAULT_DESCRIPTOR_LIMIT,
    MESH_FRACTION,
    ConnectionLimit,
    compute_connection_limit,
)
from sequoiaseam._control_messages import (
    ControlHosts,
    NodeHello,
    create_control_codec,
)
from sequoiaseam._crash_guard import CrashGuard
from sequoiaseam._crash_reports import CrashReporter
from sequoiaseam._domain_load import NodeLoad
from sequoiaseam._evacuation import log_evacuations
from sequoiaseam._feed import FeedDelta, FeedSnapshot, NodeView, Ping, Pong
from sequoiaseam._header_names import HeaderNames
from sequoiaseam._host_call_executor import HostCallExecutor
from sequoiaseam._http_server import HttpServer
from sequoiaseam._ingress import Ingress
from sequoiaseam._load_report import (
    LOAD_REPORT_INTERVAL,
    format_load_metrics,
    log_route_load,
    log_server_load,
)
from sequoiaseam._logs import Level, RateLimitedLog, log_event
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._memory import (
    DEFAULT_MEMORY_LIMIT_BYTES,
    MemoryBudget,
    compute_held_bytes_limit,
)
from sequoiaseam._memory_report import (
    REPORT_INTERVAL,
    describe_memory,
    format_memory_metrics,
    log_memory,
)
from sequoiaseam._mesh import Mesh
from sequoiaseam._mesh_frames import RunCall, RunResult
from sequoiaseam._mesh_server import MeshServer
from sequoiaseam._pressure import PressureMap
from sequoiaseam._quarantine import SHARED_CRASH_THRESHOLD
from sequoiaseam._quota import (
    QuotaSpender,
)
from sequoiaseam._quota_gate import QuotaGate
from sequoiaseam._quota_messages import (
    QuotaGrant,
)
from sequoiaseam._settings import Endpoint, parse_endpoint
from sequoiaseam._stop_schedule import CLOSE_FRACTION, StopSchedule
from sequoiaseam._tables import BODY_LIMIT_MAX_BYTES, Pool
from sequoiaseam._tasks import StepGuard, TaskGroup
from sequoiaseam._uplink import Uplink, UplinkHooks
from sequoiaseam.errors import ErrorCode, SeamError

TICK_INTERVAL: Final = timedelta(milliseconds=50)
# Passes of the event loop past the end of the wait before listening ends, in
# which what is ready to be read or written is handled. Each may be late.
LATE_PASSES_MAX: Final = 6
# The same for other waits. An event loop may resume the drain before it reads,
# and sends frames to other nodes one pass after it has read.
READ_PASSES: Final = 3
# Checks in passes one after the other that have to find a node idle. An event
# loop accepts a connection up to three passes before its protocol learns of
# it; meanwhile neither the listener nor a connection has input.
IDLE_CHECKS_MIN: Final = 4
IDLE_CHECK_INTERVAL: Final = timedelta(milliseconds=10)
# Time for the last message to reach the control host.
LEAVE_FLUSH_TIME: Final = timedelta(milliseconds=50)
LISTEN_BACKLOG: Final = 1024  # connections


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a node on unencrypted connections.

    ``pool`` is the pool of this host's backend server,
    ``control_endpoints`` are the control hosts to connect to at first.
    ``shutdown_time_limit`` bounds the time from the request to stop to the
    end of the process.
    """

    name: str
    domain: str
    region: str
    pool: str
    caller_endpoint: Endpoint
    mesh_endpoint: Endpoint
    control_endpoints: tuple[Endpoint, ...]
    shutdown_time_limit: timedelta
    # Fraction of its rate that a workspace may exceed it by while the
    # control hosts elect a new leader. 0 disables this.
    quota_overshoot_fraction: float = 0.0
    # Retries that all servers of a pool together may receive in 10 s at any
    # request rate. 0 leaves each its own small number.
    fleet_retries: int = 0
    # The process is ended by its supervisor if it takes more memory.
    memory_limit_bytes: int = DEFAULT_MEMORY_LIMIT_BYTES
    # The file descriptors that the process may have open.
    descriptor_limit: int = DEFAULT_DESCRIPTOR_LIMIT
    log_level: str = "info"


class HostNode:
    """All parts of a node except the embedding program's listeners."""

    def __init__(
        self,
        settings: HostSettings,
        header_names: HeaderNames,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._closing = False
        self._ticked_at = clock.now()
        self._tick_lateness = timedelta(0)
        # Set at the start of a drain.
        self._stop_schedule: StopSchedule | None = None
        # Set when this node has left the fleet, at the end of a drain.
        self._left = False
        self._incarnation = create_incarnation(clock.now(), rng)
        self._view = NodeView()
        self._access = TrustedNetwork(settings.name)
        self._reported_member: Member | None = None
        # Incarnation of this node that was still a member as it attached.
        self._former_incarnation: int | None = None
        # Server that was leaving when this node last stopped.
        self._former_server: LeavingServer | None = None
        self._report_sequence = 0
        self._stale_report_filter = StaleReportFilter()
        self._tasks = TaskGroup()
        self._guard = StepGuard(settings.name)
        self._uplink = Uplink(
            {
                str(endpoint): endpoint
                for endpoint in settings.control_endpoints
            },
            create_control_codec(),
            clock,
            rng,
            UplinkHooks(
                create_hello=self._create_hello,
                create_ping=self._create_ping,
                create_proof=self._access.create_proof,
                handle_message=self._handle_control_message,
                get_index=lambda: self._view.index,
            ),
        )
        self._confirmation_waits = ConfirmationWaits(
            clock, self._view, self._uplink.post
        )
        self._quota_gate = QuotaGate(
            QuotaSpender(
                settings.name,
                self._incarnation,
                use_fallback=settings.quota_overshoot_fraction > 0,
            ),
            clock,
            self._uplink.post,
        )
        self._balancer = Balancer(
            settings.name,
            settings.domain,
            settings.region,
            rng,
        )
        self._balance_log = RateLimitedLog(clock)
        self._load_log = RateLimitedLog(clock)
        self._memory = MemoryBudget(
            compute_held_bytes_limit(settings.memory_limit_bytes)
        )
        self._mesh = Mesh(clock, self._update_reachability, self._memory)
        pressure = PressureMap(rng)
        self._crash_reporter = CrashReporter(
            self._view, self._uplink.post, SHARED_CRASH_THRESHOLD
        )
        self._executor = HostCallExecutor(
            clock,
            rng,
            header_names,
            pressure,
            CrashGuard(clock, rng, self._crash_reporter),
            self._memory,
            settings.fleet_retries,
        )
        self._mesh_server = MeshServer(
            self._executor.run,
            self._memory,
            self._create_connection_limit(MESH_FRACTION),
        )
        self._ingress = Ingress(
            clock,
            rng,
            header_names,
            settings.pool,
            self._view,
            self._confirmation_waits,
            self._balancer,
            pressure,
            self._quota_gate,
            self._executor.attribution,
            self._memory,
            self._start_call,
        )
        self._http_server = HttpServer(
            clock,
            self._ingress,
            self._memory,
            self._ingress,
            self._create_connection_limit(CALLER_FRACTION),
        )
        self.mesh_port = settings.mesh_endpoint.port
        self.caller_port = settings.caller_endpoint.port

    def _create_connection_limit(self, fraction: float) -> ConnectionLimit:
        """Return the limit of a listener with this share of descriptors."""
        return ConnectionLimit(
            compute_connection_limit(self._settings.descriptor_limit, fraction)
        )

    # Lifecycle.

    async def start(self) -> None:
        """Open the listeners and connect to a control host."""
        settings = self._settings
        self._executor.start(self._get_pool, self._get_objective)
        self._mesh.start()
        mesh_endpoint = settings.mesh_endpoint
        self.mesh_port = await self._mesh_server.start(
            mesh_endpoint.host, mesh_endpoint.port
        )
        self.caller_port = await self._http_server.start(
            settings.caller_endpoint.host,
            settings.caller_endpoint.port,
            LISTEN_BACKLOG,
        )
        self._ticked_at = self._clock.now()
        self._tasks.start_periodic(TICK_INTERVAL, self._tick)
        self._tasks.start_periodic(REPORT_INTERVAL, self._log_memory)
        self._tasks.start_periodic(REPORT_INTERVAL, self._log_balance)
        self._tasks.start_periodic(LOAD_REPORT_INTERVAL, self._log_load)
        self._tasks.start_periodic(
            TRIM_INTERVAL, MemoryTrimmer(self._memory).check
        )
        self._tasks.start(self._uplink.run())

    def is_ready(self) -> bool:
        """Return whether callers should send requests here."""
        return not self._closing and self._view.revision > 0

    @property
    def close_time_limit(self) -> timedelta:
        """Return the time from SIGTERM after which ``close`` is cancelled."""
        schedule = self._stop_schedule
        if schedule is None:
            return CLOSE_FRACTION * self._settings.shutdown_time_limit
        return schedule.close_time_limit

    async def drain(self, elapsed: timedelta = timedelta(0)) -> None:
        """Finish requests in progress while callers move to other hosts.

        ``elapsed`` is the time since the stop was requested, from which all
        steps are measured.
        """
        guard = self._guard
        self._closing = True
        schedule = guard.run(
            partial(self._create_stop_schedule, elapsed)
        ) or self._create_stop_schedule(elapsed)
        self._stop_schedule = schedule
        wait_idle = partial(self._wait_idle, schedule)
        guard.run(partial(self._begin_stop, schedule))
        guard.run(self._send_report)
        await guard.wait(
            partial(self._sleep_until, schedule, schedule.serving_ends_at)
        )
        self._log_drain_step("refusing calls of other nodes", schedule)
        # Refuse later calls; callers reroute them to other hosts.
        self._executor.closing = True
        await guard.wait(
            partial(self._sleep_until, schedule, schedule.notice_ends_at)
        )
        # Requests in progress keep the node busy, so past their ends these
        # waits must not use up the passes of the last ones.
        await guard.wait(
            partial(
                wait_idle,
                lambda: schedule.admission_ends_at,
                late_passes=0,
            )
        )
        self._ingress.closing = True
        self._log_drain_step("refusing callers", schedule)
        # The message on the leave arrives while runs still go on.
        await guard.wait(
            partial(
                wait_idle,
                lambda: schedule.runs_end_at_least,
                late_passes=0,
            )
        )
        guard.run(self._leave_fleet)
        left_at = guard.run(self._clock.now)
        # Responses that wait in the kernel until now are passed on.
        await guard.wait(
            partial(
                wait_idle,
                schedule.find_runs_end,
                late_passes=READ_PASSES,
            )
        )
        guard.run(partial(self._log_drain_end, schedule))
        self._refuse_unfinished()
        guard.run(self._http_server.stop_listening)
        if self._executor.busy:
            # What the server still runs is owed to callers of other nodes.
            await guard.wait(
                partial(
                    wait_idle,
                    schedule.find_sending_end,
                    late_passes=READ_PASSES,
                )
            )
            guard.run(self._executor.refuse_all)
        # Requests that waited in the kernel until now are read and refused.
        await guard.wait(partial(wait_idle, schedule.find_sending_end))
        # No event loop iteration may lie between the last check and
        # ``stop_accepting``, as a request read there would be cut off by
        # ``close``.
        closed_count = guard.run(self._http_server.stop_accepting)
        self._log_drain_step(
            "closed idle connections", schedule, closed=closed_count
        )
        guard.run(self._quota_gate.close)
        if left_at is not None:
            await guard.wait(partial(self._flush_leave, schedule, left_at))
        # Responses and refusals may still be in transit to slow readers.
        await guard.wait(
            partial(
                wait_idle,
                schedule.find_sending_end,
                late_passes=READ_PASSES,
                idle_checks=1,
            )
        )

    def _create_stop_schedule(self, elapsed: timedelta) -> StopSchedule:
        now = self._clock.now()
        return StopSchedule(
            now - elapsed,
            self._settings.shutdown_time_limit,
            self._measure_tick_lateness(now),
        )

    def _begin_stop(self, schedule: StopSchedule) -> None:
        self._ingress.stop_schedule = schedule
        # Each response closes its connection from now on, so that few are
        # left that the end of the drain closes as a caller sends a request.
        self._http_server.closing = True
        self._executor.begin_stop(schedule)

    async def _flush_leave(
        self, schedule: StopSchedule, left_at: datetime
    ) -> None:
        """Wait until the last message has reached the control host."""
        if schedule.has_time_for_pass(self._clock.now()):
            await self._sleep_until(
                schedule,
                min(left_at + LEAVE_FLUSH_TIME, schedule.find_sending_end()),
            )

    def _leave_fleet(self) -> None:
        """Tell the control host that this node leaves.

        The other nodes keep the links that carry calls.
        """
        if self._create_member().leaving_server is not None:
            # The member stays until its lease ends, so that the node still
            # knows after a restart that its server is leaving.
            return
        self._left = True
        self._uplink.post(MemberGone(self._settings.name, self._incarnation))

    def describe_state(self) -> dict[str, object]:
        """Return log fields on what is in progress."""
        return {
            "unanswered": self._ingress.pending_request_count,
            "calls": self._executor.call_count,
            "connections": len(self._http_server.connections),
            **describe_memory(self._memory),
        }

    def format_metrics(self) -> bytes:
        """Return this node's metrics in the text format of Prometheus."""
        now = self._clock.now()
        balances = self._balancer.list_balances(now)
        count = len(self._view.evacuated_domains)
        return (
            format_memory_metrics(self._memory)
            + self._http_server.turned_away.format_metrics()
            + format_balance_metrics(balances)
            + format_load_metrics(
                self._executor.measure_capacity(now),
                self._executor.outcomes,
                self._ingress.outcomes,
            )
            + self._confirmation_waits.format_metrics()
            + f"sequoiaseam_evacuated_domains {count}\n".encode()
        )

    def _log_balance(self) -> None:
        balances = self._balancer.list_balances(self._clock.now())
        log_balance(self._balance_log, self._settings.name, balances)

    def _log_load(self) -> None:
        host = self._settings.name
        log_route_load(self._load_log, host, self._ingress.outcomes)
        log_server_load(
            self._load_log,
            host,
            self._executor.measure_capacity(self._clock.now()),
            self._executor.outcomes,
        )

    def _log_memory(self) -> None:
        log_memory(self._settings.name, self._memory)

    def _log_drain_step(
        self,
        step: str,
        schedule: StopSchedule,
        **details: object,
    ) -> None:
        self._guard.run(
            lambda: log_event(
                Level.INFO,
                "drain step",
                host=self._settings.name,
                step=step,
                **self._measure_drain(schedule.started_at),
                **details,
            )
        )

    def _log_drain_end(self, schedule: StopSchedule) -> None:
        log_event(
            Level.INFO,
            "drain ended",
            host=self._settings.name,
            **self._measure_drain(schedule.started_at),
        )

    def _measure_drain(self, started_at: datetime) -> dict[str, object]:
        """Return the age of a drain and what is in progress, for logs."""
        return {
            "duration": self._clock.now() - started_at,
            "requests": self._ingress.pending_request_count,
            "calls": self._executor.call_count,
            "connections": len(self._http_server.connections),
        }

    def _refuse_unfinished(self) -> None:
        """Refuse what is still in progress for callers at the end of a drain.

        The executor comes first, as it knows of the requests of this host's
        callers which of them haven't run. What it runs for other nodes goes
        on: the end of the process, if that came first, would tell them no
        less than a refusal.
        """
        self._ingress.sending_enabled = False
        self._guard.run(self._executor.refuse_queued)
        self._guard.run(self._ingress.refuse_pending)

    async def _sleep_until(
        self, schedule: StopSchedule, time: datetime
    ) -> None:
        """Wait until a time, and for one pass of the event loop at least."""
        started_at = self._clock.now()
        duration = max(timedelta(0), time - started_at)
        await asyncio.sleep(duration.total_seconds())
        schedule.record_wait(self._clock.now() - started_at - duration)

    async def _wait_idle(
        self,
        schedule: StopSchedule,
        find_deadline: Callable[[], datetime],
        late_passes: int = LATE_PASSES_MAX,
        idle_checks: int = IDLE_CHECKS_MIN,
    ) -> None:
        """Wait until nothing is in progress, at most until the deadline.

        What is ready to be read or written is handled also after it, in
        ``late_passes`` of the event loop, as far as the stop has time for
        them. ``idle_checks`` in passes one after the other have to find the
        node idle.
        """
        idle_count = late_count = 0
        while True:
            now = self._clock.now()
            pause = timedelta(0)
            # What can't be found out may be in progress.
            if self._guard.run(self._is_busy) is False:
                idle_count += 1
            elif now < find_deadline():
                # Transports have no event for when all data is sent.
                idle_count = 0
                pause = IDLE_CHECK_INTERVAL
            else:
                idle_count = 0
                late_count += 1
            if idle_count == idle_checks or late_count > late_passes:
                return
            if not schedule.has_time_for_pass(now):
                return
            await self._sleep_until(schedule, now + pause)
            self._guard.run(
                partial(self._stop_listening_if_unneeded, schedule)
            )

    def _stop_listening_if_unneeded(self, schedule: StopSchedule) -> None:
        """Stop listening once all that new connections carry is refused.

        The rest of the drain is then left for the requests on connections
        that were accepted before, which its end would close unread. Until
        the least end of runs, one of this host's server may make calls.
        """
        may_be_called = (
            self._executor.busy
            and self._clock.now() < schedule.runs_end_at_least
        )
        if self._ingress.closing and not may_be_called:
            self._http_server.stop_listening()

    def _is_busy(self) -> bool:
        return (
            self._http_server.busy
            or self._executor.busy
            or self._mesh_server.has_unsent_data
        )

    async def close(self) -> None:
        """Close listeners and connections.

        What a drain has left in progress, or one that failed, is refused
        first.
        """
        guard = self._guard
        # What can't be found out may be in progress.
        if guard.run(self._is_unanswered) is not False:
            await guard.wait(self._refuse_all)
        # Before any wait, as a late close is cancelled at the first one.
        guard.run(self._mesh_server.leave)
        for close in (
            self._http_server.close,
            self._mesh_server.close,
            self._tasks.cancel,
            self._mesh.close,
            self._executor.close,
            self._crash_reporter.close,
        ):
            await guard.wait(close)

    def _is_unanswered(self) -> bool:
        return self._executor.busy or self._ingress.pending_request_count > 0

    async def _refuse_all(self) -> None:
        """Refuse all that is or will be in progress, and send the refusals."""
        self._closing = self._ingress.closing = self._executor.closing = True
        self._http_server.closing = True
        self._refuse_unfinished()
        self._guard.run(self._executor.refuse_all)
        for _ in range(READ_PASSES):
            await asyncio.sleep(0)

    def _tick(self) -> None:
        now = self._clock.now()
        self._tick_lateness = max(
            timedelta(0), now - self._ticked_at - TICK_INTERVAL
        )
        self._ticked_at = now
        self._confirmation_waits.tick()
        self._quota_gate.tick(now)
        self._send_report(only_if_changed=True)

    def _measure_tick_lateness(self, now: datetime) -> timedelta:
        """Return how late the last tick was, or the next one is by now."""
        return max(self._tick_lateness, now - self._ticked_at - TICK_INTERVAL)

    # The backend server.

    def accept_server_report(self, report: ServerReport) -> None:
        """Apply a report of the backend server, ignoring a stale one.

        A leaving server gets no new requests after this method returns.
        Raise SeamError if this node has left the fleet.
        """
        self._require_membership()
        now = self._clock.now()
        if not self._stale_report_filter.accept(report):
            log_event(
                Level.INFO,
                "stale report of a backend server ignored",
                server=report.server_id,
                sequence=report.sequence,
            )
            return
        self._executor.accept_report(now, report)
        self._send_report(only_if_changed=True)

    def accept_server_leave(self, server_id: str, started_at_ms: int) -> None:
        """Record that a backend server leaves.

        ``started_at_ms`` is the server's start time, 0 if not given.
        Raise SeamError if this node has left the fleet.
        """
        self._require_membership()
        self._record_leave(server_id, started_at_ms)

    def _require_membership(self) -> None:
        # What a server reports now couldn't be passed on, and would be
        # unknown after a restart of this node.
        if self._left:
            raise SeamError(ErrorCode.DRAINING, "the node has left the fleet")

    def _record_leave(self, server_id: str, started_at_ms: int) -> None:
        report = self._stale_report_filter.record_leave(
            server_id, started_at_ms
        )
        if report is not None:
            self._executor.accept_report(self._clock.now(), report)
            self._send_report(only_if_changed=True)

    def _get_pool(self, name: str) -> Pool | None:
        return self._view.tables.pools.get(name)

    def _get_objective(self, route: str) -> timedelta | None:
        row = self._view.tables.routes.get(route)
        return row.objective if row else None

    # Other nodes.

    def _start_call(
        self,
        name: str,
        call: RunCall,
        on_result: Callable[[RunResult | None], None],
        on_silence: Callable[[], None] = lambda: None,
    ) -> Callable[[], None]:
        """Start a call on this or another host; return its cancel function."""
        if name == self._settings.name:
            return partial(
                self._cancel_call, self._executor.run(call, on_result)
            )
        member = self._view.members[name]
        link = self._mesh.get_link(name, Endpoint(member.host, member.port))
        call_id = link.call(call, on_result, on_silence)
        return partial(self._cancel_call, partial(link.cancel, call_id))

    def _cancel_call(self, cancel: Callable[[], None]) -> None:
        """Cancel a call; its request is refused even if that fails."""
        self._guard.run(cancel)

    def _update_reachability(self, name: str, reachable: bool) -> None:  # noqa: FBT001
        now = self._clock.now()
        log_event(
            Level.INFO,
            "reachability of a node changed",
            peer=name,
            reached=reachable,
        )
        if reachable:
            self._balancer.mark_reachable(now, name)
        else:
            self._balancer.mark_unreachable(now, name)

    # Control hosts.

    def _create_member(self) -> Member:
        settings = self._settings
        report = self._executor.report
        if self._closing or (report is not None and report.leaving):
            state = MemberState.DRAINING
        elif self._executor.is_serving(self._clock.now()):
            state = MemberState.SERVING
        else:
            state = MemberState.JOINING
        return Member(
            name=settings.name,
            incarnation=self._incarnation,
            host=settings.mesh_endpoint.host,
            port=self.mesh_port,
            pool=report.pool if report else "",
            domain=settings.domain,
            region=settings.region,
            state=state,
            slots=report.slots if report else 0,
            leaving_server=LeavingServer(
                report.server_id, report.started_at_ms
            )
            if report is not None and report.leaving
            else None,
        )

    def _create_report(self) -> MemberReport:
        member = self._create_member()
        if member != self._reported_member:
            self._reported_member = member
            self._report_sequence += 1
        return MemberReport(member, self._report_sequence)

    def _create_hello(self) -> NodeHello:
        return NodeHello(self._create_report(), self._view.index)

    def _create_ping(self, now: datetime) -> Ping:
        pressure = self._executor.measure_pressure(now)
        load = NodeLoad(
            pressure.pool if pressure else "",
            pressure.level if pressure else 0.0,
            self._ingress.take_outcomes(),
            self._ingress.take_rejections(),
        )
        return self._view.build_ping(now, load)

    def _send_report(self, *, only_if_changed: bool = False) -> None:
        if only_if_changed and self._create_member() == self._reported_member:
            return
        self._uplink.post(self._create_report())

    def _handle_control_message(self, message: Any) -> None:
        if isinstance(message, FeedSnapshot | FeedDelta):
            self._apply_feed(message)
        elif isinstance(message, Pong):
            self._view.receive_pong(self._clock.now(), message)
            self._confirmation_waits.release_confirmed()
            if message.load is not None:
                self._ingress.observe_domain(message.load)
        elif isinstance(message, QuotaGrant):
            self._quota_gate.receive(message)
        elif isinstance(message, ControlHosts):
            self._uplink.set_control_hosts(
                parse_control_endpoints(message.hosts),
                find_local_hosts(message, self._settings.domain),
            )

    def _apply_feed(self, message: FeedSnapshot | FeedDelta) -> None:
        now = self._clock.now()
        view = self._view
        previous_tables = view.tables
        previous_evacuated = view.evacuated_domains
        if not view.apply(now, message):
            self._uplink.post(self._create_hello())
        # Precedes what refuses calls, which are then passed to members.
        self._balancer.update(now, view.members, view.evacuated_domains)
        if view.evacuated_domains != previous_evacuated:
            self._follow_evacuations(now, previous_evacuated)
        report = self._executor.report
        if report is not None:
            server_count = sum(
                member.pool == report.pool for member in view.members.values()
            )
            self._executor.set_pool_size(max(1, server_count))
        self._follow_former_incarnation()
        self._crash_reporter.follow_view()
        self._mesh.retire_links_except(set(view.members))
        if view.tables is not previous_tables:
            self._ingress.update_tables()
            limits = view.tables.limits
            body_limit = min(
                limits.body,
                BODY_LIMIT_MAX_BYTES,
                self._memory.largest_request_bytes,
            )
            self._http_server.limits = replace(limits, body=body_limit)
            log_event(Level.INFO, "tables in force", revision=view.revision)
        self._confirmation_waits.release_confirmed()

    def _follow_evacuations(
        self, now: datetime, previous: tuple[str, ...]
    ) -> None:
        """Apply a change of the evacuated failure domains on this host."""
        settings, view = self._settings, self._view
        log_evacuations(
            previous, view.evacuated_domains, settings.name, view.index
        )
        self._executor.set_evacuated(
            now, evacuated=settings.domain in view.evacuated_domains
        )

    def _follow_former_incarnation(self) -> None:
        """Ignore reports of a server that left before this node restarted."""
        member = self._view.members.get(self._settings.name)
        if member is None or member.incarnation == self._incarnation:
            return
        if self._former_incarnation is None:
            # One that stops in order leaves, unless its server is leaving.
            self._former_incarnation = member.incarnation
            log_event(
                Level.INFO
                if member.state is MemberState.DRAINING
                else Level.WARNING,
                "last process of this node is still a member",
                host=self._settings.name,
                incarnation=member.incarnation,
                state=member.state.value,
            )
        server = member.leaving_server
        if server is not None and server != self._former_server:
            self._former_server = server
            self._record_leave(server.server_id, server.started_at_ms)


def find_local_hosts(message: ControlHosts, domain: str) -> frozenset[str]:
    """Return the control hosts of a failure domain."""
    return frozenset(
        host
        for host, host_domain in zip(
            message.hosts, message.domains, strict=False
        )
        if host_domain == domain
    )


def parse_control_endpoints(hosts: tuple[str, ...]) -> Mapping[str, Endpoint]:
    """Return the endpoints of control hosts by name (their addresses)."""
    return {name: parse_endpoint(name) for name in hosts}
