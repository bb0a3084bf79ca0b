"""A node: the request path around the decision code, and its listeners."""

import asyncio
import contextlib
import os
import secrets
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from aiohttp import web

from sequoiaseam._access import Credentials, Role, Verifier
from sequoiaseam._at_most_once import (
    AtMostOnceFilter,
    AtMostOnceHooks,
    OpenAttemptsFilter,
    WitnessAdapter,
)
from sequoiaseam._backend_api import BackendApi
from sequoiaseam._balancer import Balancer
from sequoiaseam._call_executor import CallExecutor, CallExecutorHooks
from sequoiaseam._clock import Clock, create_incarnation
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._control_messages import (
    DrainOrder,
    NodeHello,
    ReportPull,
    ReportPush,
    create_control_codec,
)
from sequoiaseam._crash_reports import CrashReporter
from sequoiaseam._dispatch import Dispatcher, DispatchHooks
from sequoiaseam._edge import Edge, start_listener
from sequoiaseam._exchange import chain_filters
from sequoiaseam._feed import FeedDelta, FeedSnapshot, NodeView, Ping, Pong
from sequoiaseam._filters import (
    AuthenticationFilter,
    BodyFilter,
    CallerHeadersFilter,
    MetricsFilter,
    NestedCallFilter,
    PressureFilter,
    QuotaFilter,
    RouteFilter,
)
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    RefusalFrame,
    create_frame_codec,
)
from sequoiaseam._handles import HandleTable
from sequoiaseam._logs import Level, log_event
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._metrics import NodeMetrics, format_metrics
from sequoiaseam._neighbors import NeighborHooks, Neighbors
from sequoiaseam._peers import PeerServer
from sequoiaseam._pressure import PressureMap
from sequoiaseam._quota import (
    QuotaSpender,
)
from sequoiaseam._quota_gate import QuotaGate
from sequoiaseam._quota_messages import (
    QuotaGrant,
)
from sequoiaseam._settings import Endpoint, NodeSettings
from sequoiaseam._tables import Pool
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._uplink import Uplink, UplinkHooks
from sequoiaseam._witness import (
    Fence,
    Intent,
    OutcomeRecord,
    Vote,
    Witness,
    mint_request_id,
)

TICK: Final = timedelta(milliseconds=50)
# Other nodes learn of a drain within this time, so callers may still
# enter here until then.
DRAIN_NOTICE: Final = timedelta(seconds=2)
HANDLE_BYTES: Final = 24


class Node:
    """Everything of one ``sequoiaseam-node`` process."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        now = clock.now()
        name = settings.name
        self.incarnation = create_incarnation(now, rng)
        self._credentials = Credentials(
            settings.secrets.fleet,
            settings.secrets.operators,
        )
        self._verifier = Verifier(self._credentials)
        self.view = NodeView()
        self.metrics = NodeMetrics(name, now)
        self._tasks = TaskGroup()
        self._runners: list[web.ServerRunner | web.AppRunner] = []
        self._callers: web.ServerRunner | None = None
        self._draining = False
        self._peer_port = settings.peers.port
        self._reported: Member | None = None
        self._sequence = 0
        self._pressure = PressureMap(rng)
        self._handles = HandleTable(
            lambda: secrets.token_urlsafe(HANDLE_BYTES),
        )
        self._uplink = self._create_uplink()
        self._crashes = CrashReporter(self.view, self._uplink.post)
        self._quota = QuotaGate(
            QuotaSpender(name, self.incarnation),
            clock,
            self._uplink.post,
        )
        self._balancer = Balancer(
            name,
            settings.domain,
            settings.region,
            rng,
        )
        codec = create_frame_codec()
        self._neighbors = Neighbors(
            codec,
            clock,
            self.view,
            self._balancer,
            NeighborHooks(self._create_proof, self._receive_peer),
        )
        self.guard = self._create_guard()
        self._witness = WitnessAdapter(
            Witness(name, now, self.incarnation),
            clock,
            self.view,
            self._post,
        )
        self._once = self._create_once()
        self._dispatcher = self._create_dispatcher()
        self._edge = self._create_edge()
        self._nested = self._create_nested()
        self._peer_server = PeerServer(
            codec,
            lambda proof: self._verifier.verify(clock.now(), proof),
            self.guard.run,
            self._receive_peer,
        )

    # Parts.

    def _create_uplink(self) -> Uplink:
        return Uplink(
            self._settings.control_hosts,
            create_control_codec(),
            self._clock,
            self._rng,
            UplinkHooks(
                create_hello=self._create_hello,
                create_ping=self._create_ping,
                create_proof=self._create_proof,
                handle_message=self._receive_control,
            ),
        )

    def _create_guard(self) -> CallExecutor:
        return CallExecutor(
            self._settings.name,
            self.incarnation,
            self._clock,
            self._rng,
            self._handles,
            CallExecutorHooks(
                post=self._post,
                quarantine=self._crashes.quarantine,
                report_crash=self._crashes.report,
                get_pool=self._get_pool,
            ),
        )

    def _create_once(self) -> AtMostOnceFilter:
        return AtMostOnceFilter(
            self._settings.name,
            self.incarnation,
            self._clock,
            self.view,
            AtMostOnceHooks(
                post=self._post,
                find_incarnation=self._find_incarnation,
                mint_request_id=lambda now: mint_request_id(now, self._rng),
            ),
        )

    def _create_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self._clock,
            self._balancer,
            self._pressure,
            DispatchHooks(
                call=self._call,
                plan_attempt=self._once.plan_attempt,
                get_retry_share=self._get_retry_share,
                check_fingerprint=self._crashes.quarantine.check,
                list_members=self._list_pool,
            ),
        )

    def _create_edge(self) -> Edge:
        chain = chain_filters(
            (
                MetricsFilter(self._clock, self.metrics),
                CallerHeadersFilter(self._settings.headers_limit),
                RouteFilter(self._clock, self.view),
                AuthenticationFilter(self._clock, self.view),
                self._once,
                QuotaFilter(self._quota),
                PressureFilter(self._clock, self._pressure),
                BodyFilter(self._clock, self._settings.body_limit),
                OpenAttemptsFilter(self._once),
            ),
            self._dispatcher.run,
        )
        return Edge(self._clock, chain)

    def _create_nested(self) -> Edge:
        chain = chain_filters(
            (
                MetricsFilter(self._clock, self.metrics),
                NestedCallFilter(self._handles),
                RouteFilter(self._clock, self.view),
                self._once,
                BodyFilter(self._clock, self._settings.body_limit),
                OpenAttemptsFilter(self._once),
            ),
            self._dispatcher.run,
        )
        return Edge(self._clock, chain)

    # Lifecycle.

    async def start(self) -> None:
        """Open the listeners and attach to a control host."""
        self._neighbors.start()
        settings = self._settings
        await self._start_peer_listener()
        local = BackendApi(self.guard, self._nested.handle)
        await self._listen(local.handle, settings.local)
        self._callers = await self._listen(
            self._edge.handle,
            settings.callers,
        )
        if settings.metrics is not None:
            await self._start_metrics_listener()
        self._tasks.start(self._tick())
        self._tasks.start(self._uplink.run())

    async def _listen(
        self,
        handler: Any,
        endpoint: Endpoint,
    ) -> web.ServerRunner:
        runner, _ = await start_listener(handler, endpoint.host, endpoint.port)
        self._runners.append(runner)
        return runner

    async def _start_peer_listener(self) -> None:
        runner = web.AppRunner(
            self._peer_server.create_app(),
            access_log=None,
            handle_signals=False,
        )
        await runner.setup()
        endpoint = self._settings.peers
        await web.TCPSite(runner, endpoint.host, endpoint.port).start()
        self._peer_port = runner.addresses[0][1]
        self._runners.append(runner)

    async def _start_metrics_listener(self) -> None:
        endpoint = self._settings.metrics
        if endpoint is None:
            return
        app = web.Application()
        app.router.add_get("/metrics", self._answer_metrics)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        await web.TCPSite(runner, endpoint.host, endpoint.port).start()
        self._runners.append(runner)

    async def _answer_metrics(self, _: web.Request) -> web.Response:
        text = format_metrics(self.metrics, self._clock.now())
        return web.Response(body=text, content_type="text/plain")

    async def drain(self) -> None:
        """Take no new work; finish what is in progress."""
        self._draining = True
        self.guard.drain()
        self._send_report()
        limit = self._clock.now() + self._settings.drain_timeout
        await asyncio.sleep(DRAIN_NOTICE.total_seconds())
        self._edge.closing = True
        await self._stop_listening()
        left = limit - self._clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left.total_seconds()):
                await self._wait_idle()
        self._quota.close()
        self._uplink.post(MemberGone(self._settings.name, self.incarnation))
        await asyncio.sleep(TICK.total_seconds())

    async def _stop_listening(self) -> None:
        """Refuse new connections of callers; open ones go on.

        Callers that don't know of the drain would keep the node busy
        up to its limit, which then cuts their requests.
        """
        if self._callers is not None:
            for site in list(self._callers.sites):
                await site.stop()

    async def _wait_idle(self) -> None:
        """Wait until callers and other nodes have their answers."""
        await self._edge.wait_idle()
        await self.guard.wait_idle()

    async def close(self) -> None:
        """Close listeners and connections."""
        for runner in self._runners:
            await runner.cleanup()
        await self._tasks.cancel()
        await self._peer_server.close()
        await self._neighbors.close()
        await self._crashes.close()
        await self.guard.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            now = self._clock.now()
            self.guard.tick(now)
            self._quota.tick(now)
            self._once.tick(now)
            self._witness.tick(now)
            self._send_report(only_changed=True)

    # Other nodes.

    async def _call(
        self,
        name: str,
        frame: CallFrame,
    ) -> AnswerFrame | RefusalFrame:
        if name == self._settings.name:
            return await self.guard.run(frame)
        return await self._neighbors.call(name, frame)

    def _post(self, name: str, message: object) -> None:
        if name == self._settings.name:
            self._receive_peer(message)
        else:
            self._neighbors.post(name, message)

    def _receive_peer(self, message: Any) -> None:
        if isinstance(message, Intent | Fence | OutcomeRecord):
            self._witness.receive(message)
        elif isinstance(message, Vote):
            # Attempt and fence ids don't overlap.
            self.guard.receive_vote(message)
            self._once.receive_vote(message)

    # Control hosts.

    def _create_proof(self) -> str:
        return self._credentials.sign(
            self._clock.now(),
            Role.FLEET,
            self._settings.name,
            os.urandom(16).hex(),
        )

    def _create_member(self) -> Member:
        settings = self._settings
        announcement = self.guard.announcement
        if self._draining or self.guard.draining:
            state = MemberState.DRAINING
        elif announcement is None:
            state = MemberState.JOINING
        else:
            state = MemberState.SERVING
        return Member(
            name=settings.name,
            incarnation=self.incarnation,
            host=settings.peers.host,
            port=self._peer_port,
            pool=announcement.pool if announcement else "",
            domain=settings.domain,
            region=settings.region,
            state=state,
            slots=announcement.slots if announcement else 0,
        )

    def _create_hello(self) -> NodeHello:
        return NodeHello(self._create_report(), self.view.index)

    def _create_report(self) -> MemberReport:
        member = self._create_member()
        if member != self._reported:
            self._reported = member
            self._sequence += 1
        return MemberReport(member, self._sequence)

    def _create_ping(self, now: datetime) -> Ping:
        return self.view.ping(now)

    def _send_report(self, *, only_changed: bool = False) -> None:
        if only_changed and self._create_member() == self._reported:
            return
        self._uplink.post(self._create_report())

    def _receive_control(self, message: Any) -> None:
        if isinstance(message, FeedSnapshot | FeedDelta):
            self._apply_feed(message)
        elif isinstance(message, Pong):
            self.view.receive(self._clock.now(), message)
        elif isinstance(message, QuotaGrant):
            self._quota.receive(message)
        elif isinstance(message, ReportPull):
            self._tasks.start(self._push_report(message.pull_id))
        elif isinstance(message, DrainOrder):
            self.guard.drain()
            self._send_report()

    def _apply_feed(self, message: FeedSnapshot | FeedDelta) -> None:
        now = self._clock.now()
        revision = self.view.revision
        if not self.view.apply(now, message):
            self._uplink.post(self._create_hello())
        self._balancer.update(now, self.view.members)
        self._neighbors.follow_members()
        self._witness.assign()
        self._crashes.follow_view()
        if self.view.revision != revision:
            self.guard.configure()
            # Tells the control host at once that the revision is in
            # force here.
            self._uplink.post(self.view.ping(now))
            log_event(
                Level.INFO,
                "configuration in force",
                revision=self.view.revision,
            )

    async def _push_report(self, pull_id: int) -> None:
        """Send the report; other work goes on between its rows."""
        now = self._clock.now()
        rows = []
        for row in self.metrics.iterate_report_rows(now):
            rows.append(row)
            await asyncio.sleep(0)
        report = self.metrics.build_report(now, rows)
        self._uplink.post(ReportPush(pull_id, report))

    # Lookups in the view.

    def _get_pool(self, name: str) -> Pool | None:
        return self.view.tables.pools.get(name)

    def _get_retry_share(self, pool: str) -> float:
        row = self.view.tables.pools.get(pool)
        return row.retry_share if row is not None else 0.0

    def _find_incarnation(self, name: str) -> int:
        if name == self._settings.name:
            return self.incarnation
        member = self.view.members.get(name)
        return member.incarnation if member is not None else 0

    def _list_pool(self, pool: str) -> tuple[str, ...]:
        return tuple(
            name
            for name, member in self.view.members.items()
            if member.pool == pool and member.state is MemberState.SERVING
        )
