"""A node on plain connections: entry and guard of one host, wired.

Its settings come from the program that embeds it, not from a file, and
its backend server's reports from that program too.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from sequoiaseam._access import TrustedNetwork
from sequoiaseam._announcements import ServerReport, StaleReportFilter
from sequoiaseam._balancer import Balancer
from sequoiaseam._clock import Clock, create_incarnation
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._control_messages import (
    ControlHosts,
    NodeHello,
    create_control_codec,
)
from sequoiaseam._dialect import Dialect
from sequoiaseam._feed import FeedDelta, FeedSnapshot, NodeView, Ping, Pong
from sequoiaseam._host_call_executor import HostCallExecutor
from sequoiaseam._http_server import HttpServer
from sequoiaseam._ingress import Ingress
from sequoiaseam._logs import Level, log_event
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._mesh import Mesh, MeshServer
from sequoiaseam._mesh_frames import RunCall, RunResult
from sequoiaseam._pressure import PressureMap
from sequoiaseam._quota import (
    QuotaSpender,
)
from sequoiaseam._quota_gate import QuotaGate
from sequoiaseam._quota_messages import (
    QuotaGrant,
)
from sequoiaseam._settings import Endpoint, parse_endpoint
from sequoiaseam._tables import Pool
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._uplink import Uplink, UplinkHooks

TICK: Final = timedelta(milliseconds=50)
# Callers and other nodes learn of a stop within this time.
STOP_NOTICE: Final = timedelta(seconds=2.5)
# Until then the server's capacity is used by those who don't know yet.
SERVE_ON: Final = timedelta(seconds=1.5)
# Part of the time for a stop after which what still runs is cut.
STOP_PART: Final = 0.9
STOP_POLL: Final = timedelta(milliseconds=50)
# Nodes of a fleet of up to this many attach to the leader, which spares
# a relay of each message to it.
SMALL_FLEET: Final = 100
BACKLOG: Final = 1024  # connections


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a node on plain connections.

    ``pool`` is the one that this host's backend server belongs to, and
    ``controls`` are the control hosts to begin with. ``stop_time`` is
    the time that a stop may take.
    """

    name: str
    domain: str
    region: str
    pool: str
    callers: Endpoint
    mesh: Endpoint
    controls: tuple[Endpoint, ...]
    stop_time: timedelta
    # Part of its rate that a workspace may get beyond it, while the
    # control hosts change their leader; 0 for none.
    quota_slack: float = 0.0
    log_level: str = "info"


class HostNode:
    """Everything of a node's process but its program's own listeners."""

    def __init__(
        self,
        settings: HostSettings,
        dialect: Dialect,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._closing = False
        self._incarnation = create_incarnation(clock.now(), rng)
        self._view = NodeView()
        self._access = TrustedNetwork(settings.name)
        self._reported: Member | None = None
        self._sequence = 0
        self._order = StaleReportFilter()
        self._tasks = TaskGroup()
        self._uplink = Uplink(
            {str(one): one for one in settings.controls},
            create_control_codec(),
            clock,
            rng,
            UplinkHooks(
                create_hello=self._create_hello,
                create_ping=self._create_ping,
                create_proof=self._access.create_proof,
                handle_message=self._receive_control,
            ),
        )
        self._quota = QuotaGate(
            QuotaSpender(
                settings.name,
                self._incarnation,
                use_fallback=settings.quota_slack > 0,
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
        self._mesh = Mesh(clock, self._note_reached)
        pressure = PressureMap(rng)
        self._guard = HostCallExecutor(clock, rng, dialect, pressure)
        self._mesh_server = MeshServer(self._guard.run)
        self._ingress = Ingress(
            clock,
            rng,
            dialect,
            settings.pool,
            self._view,
            self._balancer,
            pressure,
            self._quota,
            self._guard.attribution,
            self._send,
        )
        self._http = HttpServer(clock, self._ingress)
        self.mesh_port = settings.mesh.port
        self.callers_port = settings.callers.port

    # Lifecycle.

    async def start(self) -> None:
        """Open the listeners and attach to a control host."""
        settings = self._settings
        self._guard.start(self._get_pool)
        self._mesh.start()
        mesh = settings.mesh
        self.mesh_port = await self._mesh_server.start(mesh.host, mesh.port)
        self.callers_port = await self._http.start(
            settings.callers.host,
            settings.callers.port,
            BACKLOG,
        )
        self._tasks.start(self._tick())
        self._tasks.start(self._uplink.run())

    def is_ready(self) -> bool:
        """Return whether callers should send requests here."""
        return not self._closing and self._view.revision > 0

    async def drain(self) -> None:
        """Finish what is in progress, while callers turn elsewhere."""
        self._closing = True
        self._send_report()
        limit = self._clock.now() + self._settings.stop_time * STOP_PART
        await asyncio.sleep(SERVE_ON.total_seconds())
        # Others know by now; what comes after moves on.
        self._guard.closing = True
        await asyncio.sleep((STOP_NOTICE - SERVE_ON).total_seconds())
        self._http.closing = True
        self._http.close_idle()
        left = limit - self._clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left.total_seconds()):
                await self._wait_idle()
        self._quota.close()
        gone = MemberGone(self._settings.name, self._incarnation)
        self._uplink.post(gone)
        await asyncio.sleep(STOP_POLL.total_seconds())

    async def _wait_idle(self) -> None:
        await self._http.wait_idle()
        await self._guard.wait_idle()

    async def close(self) -> None:
        """Close listeners and connections."""
        await self._http.close()
        await self._mesh_server.close()
        await self._tasks.cancel()
        await self._mesh.close()
        await self._guard.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            self._quota.tick(self._clock.now())
            self._send_report(only_changed=True)

    # The backend server.

    def announce(self, report: ServerReport) -> None:
        """Take a report of the backend server; an old one is ignored.

        From the return on, a leaving server gets nothing new.
        """
        now = self._clock.now()
        if not self._order.accept(report):
            log_event(
                Level.INFO,
                "old report of a server ignored",
                server=report.server_id,
                sequence=report.sequence,
            )
            return
        self._guard.accept_report(now, report)
        self._send_report(only_changed=True)

    def announce_end(self, server_id: str, born_ms: int) -> None:
        """Take a server's word that it leaves; ``born_ms`` 0 if untold."""
        report = self._order.record_leave(server_id, born_ms)
        if report is not None:
            self._guard.accept_report(self._clock.now(), report)
            self._send_report(only_changed=True)

    def _get_pool(self, name: str) -> Pool | None:
        return self._view.tables.pools.get(name)

    # Other nodes.

    def _send(
        self,
        name: str,
        call: RunCall,
        done: Callable[[RunResult | None], None],
    ) -> Callable[[], None]:
        """Run a call on a host, here or elsewhere."""
        if name == self._settings.name:
            return self._guard.run(call, done)
        member = self._view.members[name]
        link = self._mesh.get_link(name, Endpoint(member.host, member.port))
        call_id = link.call(call, done)
        return lambda: link.cancel(call_id)

    def _note_reached(self, name: str, reached: bool) -> None:  # noqa: FBT001
        now = self._clock.now()
        log_event(Level.INFO, "node reached", peer=name, reached=reached)
        if reached:
            self._balancer.mark_reachable(now, name)
        else:
            self._balancer.mark_unreachable(now, name)

    # Control hosts.

    def _create_member(self) -> Member:
        settings = self._settings
        report = self._guard.report
        if self._closing or (report is not None and report.leaving):
            state = MemberState.DRAINING
        elif self._guard.is_serving(self._clock.now()):
            state = MemberState.SERVING
        else:
            state = MemberState.JOINING
        return Member(
            name=settings.name,
            incarnation=self._incarnation,
            host=settings.mesh.host,
            port=self.mesh_port,
            pool=report.pool if report else "",
            domain=settings.domain,
            region=settings.region,
            state=state,
            slots=report.slots if report else 0,
        )

    def _create_report(self) -> MemberReport:
        member = self._create_member()
        if member != self._reported:
            self._reported = member
            self._sequence += 1
        return MemberReport(member, self._sequence)

    def _create_hello(self) -> NodeHello:
        return NodeHello(self._create_report(), self._view.index)

    def _create_ping(self, now: datetime) -> Ping:
        return self._view.ping(now)

    def _send_report(self, *, only_changed: bool = False) -> None:
        if only_changed and self._create_member() == self._reported:
            return
        self._uplink.post(self._create_report())

    def _receive_control(self, message: Any) -> None:
        if isinstance(message, FeedSnapshot | FeedDelta):
            self._apply_feed(message)
        elif isinstance(message, Pong):
            self._view.receive(self._clock.now(), message)
        elif isinstance(message, QuotaGrant):
            self._quota.receive(message)
        elif isinstance(message, ControlHosts):
            small = len(self._view.members) <= SMALL_FLEET
            self._uplink.set_control_hosts(
                parse_controls(message.hosts),
                message.leader if small else "",
            )

    def _apply_feed(self, message: FeedSnapshot | FeedDelta) -> None:
        now = self._clock.now()
        view = self._view
        tables = view.tables
        if not view.apply(now, message):
            self._uplink.post(self._create_hello())
        self._balancer.update(now, view.members)
        self._mesh.forget(set(view.members))
        if view.tables is not tables:
            self._ingress.follow_view()
            self._http.limits = view.tables.limits
            log_event(Level.INFO, "tables in force", revision=view.revision)


def parse_controls(hosts: tuple[str, ...]) -> Mapping[str, Endpoint]:
    """Return control hosts by their names, which are their addresses."""
    return {name: parse_endpoint(name) for name in hosts}
