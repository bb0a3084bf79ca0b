"""Node process: request handling, listeners and control connection."""

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
from sequoiaseam._confirmation_waits import ConfirmationWaits
from sequoiaseam._control_messages import (
    DrainOrder,
    NodeHello,
    ReportPull,
    ReportPush,
    create_control_codec,
)
from sequoiaseam._crash_reports import CrashReporter
from sequoiaseam._dispatch import (
    REFUSAL_TRANSIT_GRACE,
    Dispatcher,
    DispatchHooks,
)
from sequoiaseam._edge import Edge, start_listener
from sequoiaseam._evacuation import log_evacuations
from sequoiaseam._exchange import chain_filters
from sequoiaseam._feed import FeedDelta, FeedSnapshot, NodeView, Ping, Pong
from sequoiaseam._filters import (
    AuthenticationFilter,
    BodyFilter,
    CallerHeadersFilter,
    DrainFilter,
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
from sequoiaseam._memory import MemoryBudget, compute_held_bytes_limit
from sequoiaseam._metrics import NodeMetrics, format_metrics
from sequoiaseam._peer_links import PeerLinkHooks, PeerLinkPool
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
from sequoiaseam._sites import open_site
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

TICK_INTERVAL: Final = timedelta(milliseconds=50)
# All other nodes learn of a drain within this time. Until then, the node
# still accepts requests of callers.
DRAIN_PROPAGATION_DELAY: Final = timedelta(seconds=2)
# Time for the last responses when drain_timeout has passed.
CLOSE_TIME_MIN: Final = timedelta(seconds=1)
# Time after the end of a drain for refusals, last responses and the end of
# all connections.
CLOSE_TIME_MAX: Final = 3 * CLOSE_TIME_MIN
HANDLE_RANDOM_BYTES: Final = 24


class Node:
    """A ``sequoiaseam-node`` process: its components and listeners."""

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
        self._caller_runner: web.ServerRunner | None = None
        self._draining = False
        self._drain_deadline = now
        self._peer_port = settings.peers.port
        self._last_reported_member: Member | None = None
        self._report_sequence = 0
        self._pressure = PressureMap(rng)
        self._memory = MemoryBudget(
            compute_held_bytes_limit(settings.memory_limit_bytes)
        )
        self._handles = HandleTable(
            lambda: secrets.token_urlsafe(HANDLE_RANDOM_BYTES),
        )
        self._uplink = self._create_uplink()
        self._confirmation_waits = ConfirmationWaits(
            clock, self.view, self._uplink.post
        )
        self._crash_reporter = CrashReporter(self.view, self._uplink.post)
        self._quota_gate = QuotaGate(
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
        self._peer_links = PeerLinkPool(
            codec,
            clock,
            self.view,
            self._balancer,
            PeerLinkHooks(self._create_proof, self._handle_peer_message),
        )
        self.executor = self._create_executor()
        self._witness_adapter = WitnessAdapter(
            Witness(name, now, self.incarnation),
            clock,
            self.view,
            self._post,
        )
        self._at_most_once_filter = self._create_at_most_once_filter()
        self._drain_filter = DrainFilter()
        self._dispatcher = self._create_dispatcher()
        self._edge = self._create_edge()
        self._nested_edge = self._create_nested_edge()
        self._peer_server = PeerServer(
            codec,
            clock,
            lambda proof: self._verifier.verify(clock.now(), proof),
            self.executor.run,
            self._handle_peer_message,
        )

    # Construction of the components.

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
                handle_message=self._handle_control_message,
                get_index=lambda: self.view.index,
            ),
        )

    def _create_executor(self) -> CallExecutor:
        return CallExecutor(
            self._settings.name,
            self.incarnation,
            self._clock,
            self._rng,
            self._handles,
            CallExecutorHooks(
                post=self._post,
                quarantine=self._crash_reporter.quarantine,
                report_crash=self._crash_reporter.report,
                get_pool=self._get_pool,
            ),
        )

    def _create_at_most_once_filter(self) -> AtMostOnceFilter:
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
                plan_attempt=self._at_most_once_filter.plan_attempt,
                get_retry_share=self._get_retry_share,
                check_fingerprint=self._crash_reporter.quarantine.check,
                list_members=self._list_serving_members,
            ),
        )

    def _create_body_filter(self) -> BodyFilter:
        return BodyFilter(self._clock, self._settings.body_limit, self._memory)

    def _create_edge(self) -> Edge:
        chain = chain_filters(
            (
                MetricsFilter(self._clock, self.metrics),
                CallerHeadersFilter(self._settings.headers_limit),
                RouteFilter(self.view, self._confirmation_waits),
                AuthenticationFilter(
                    self._clock, self.view, self._confirmation_waits
                ),
                self._at_most_once_filter,
                self._drain_filter,
                QuotaFilter(self._quota_gate),
                PressureFilter(self._clock, self._pressure),
                self._create_body_filter(),
                OpenAttemptsFilter(self._at_most_once_filter),
            ),
            self._dispatcher.run,
        )
        return Edge(self._clock, chain)

    def _create_nested_edge(self) -> Edge:
        chain = chain_filters(
            (
                MetricsFilter(self._clock, self.metrics),
                NestedCallFilter(self._handles),
                RouteFilter(self.view, self._confirmation_waits),
                self._at_most_once_filter,
                self._create_body_filter(),
                OpenAttemptsFilter(self._at_most_once_filter),
            ),
            self._dispatcher.run,
        )
        return Edge(self._clock, chain)

    # Lifecycle.

    async def start(self) -> None:
        """Open the listeners and connect to a control host."""
        self._peer_links.start()
        settings = self._settings
        await self._start_peer_listener()
        backend_api = BackendApi(self.executor, self._nested_edge.handle)
        await self._start_http_listener(backend_api.handle, settings.local)
        self._caller_runner = await self._start_http_listener(
            self._edge.handle,
            settings.callers,
        )
        if settings.metrics is not None:
            await self._start_metrics_listener()
        self._tasks.start(self._tick())
        self._tasks.start(self._uplink.run())

    async def _start_http_listener(
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
        await open_site(runner, endpoint.host, endpoint.port)
        self._peer_port = runner.addresses[0][1]
        self._runners.append(runner)

    async def _start_metrics_listener(self) -> None:
        endpoint = self._settings.metrics
        if endpoint is None:
            return
        app = web.Application()
        app.router.add_get("/metrics", self._handle_metrics)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        await open_site(runner, endpoint.host, endpoint.port)
        self._runners.append(runner)

    async def _handle_metrics(self, _: web.Request) -> web.Response:
        text = format_metrics(
            self.metrics,
            self._clock.now(),
            len(self.view.evacuated_domains),
        )
        return web.Response(body=text, content_type="text/plain")

    @property
    def close_time_limit(self) -> timedelta:
        """Return the time from SIGTERM after which ``close`` is cancelled."""
        drain_time = max(self._settings.drain_timeout, DRAIN_PROPAGATION_DELAY)
        return drain_time + CLOSE_TIME_MAX

    async def drain(self, elapsed: timedelta = timedelta(0)) -> None:
        """Refuse new calls and finish the requests in progress.

        ``elapsed`` is the time since the stop was requested, from which
        ``drain_timeout`` is measured.
        """
        self._draining = True
        self.executor.drain()
        self._send_report()
        started_at = self._clock.now() - elapsed
        self._drain_deadline = started_at + self._settings.drain_timeout
        self._edge.close_connections = True
        await asyncio.sleep(DRAIN_PROPAGATION_DELAY.total_seconds())
        # The calls of backend servers end with the runs that make them.
        self._drain_filter.ends_at = (
            self._drain_deadline - REFUSAL_TRANSIT_GRACE
        )
        await self._stop_accepting_callers()
        remaining = self._drain_deadline - self._clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining.total_seconds()):
                await self._wait_idle()
        log_event(
            Level.INFO,
            "drain ended",
            host=self._settings.name,
            duration=self._clock.now() - started_at,
            requests=self._edge.active_requests,
            calls=self.executor.active_calls,
        )
        await self._refuse_unfinished()
        self._quota_gate.close()
        self._uplink.post(MemberGone(self._settings.name, self.incarnation))
        await asyncio.sleep(TICK_INTERVAL.total_seconds())

    async def _stop_accepting_callers(self) -> None:
        """Refuse new connections of callers; open ones stay open.

        Otherwise callers that do not know of the drain would send
        requests until the drain timeout, which cuts off those that are
        then in progress.
        """
        if self._caller_runner is not None:
            for site in list(self._caller_runner.sites):
                await site.stop()

    async def _refuse_unfinished(self) -> None:
        """Refuse what is still in progress at the end of a drain.

        Calls that haven't run are refused first, so that the nodes that sent
        them, including this one, can send them to others.
        """
        self._edge.closing = True
        self.executor.refuse_queued()
        await asyncio.sleep(TICK_INTERVAL.total_seconds())
        await self._peer_server.refuse_all()
        await self._nested_edge.refuse_all()
        await self._edge.refuse_all()

    async def _wait_idle(self) -> None:
        """Wait until all requests and calls are answered."""
        await self._edge.wait_idle()
        await self.executor.wait_idle()

    async def close(self) -> None:
        """Close all listeners and connections."""
        await self._close_listeners()
        await self._tasks.cancel()
        await self._peer_server.close()
        await self._peer_links.close()
        await self._crash_reporter.close()
        await self.executor.close()

    async def _close_listeners(self) -> None:
        """Close the listeners once the last responses are sent.

        A caller that doesn't read its response can't hold up the stop for
        longer than ``drain_timeout``.
        """
        remaining = max(
            self._drain_deadline - self._clock.now(), CLOSE_TIME_MIN
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining.total_seconds()):
                await asyncio.gather(
                    *(runner.cleanup() for runner in self._runners)
                )

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
            now = self._clock.now()
            self.executor.tick(now)
            self._confirmation_waits.tick()
            self._quota_gate.tick(now)
            self._at_most_once_filter.tick(now)
            self._witness_adapter.tick(now)
            self._send_report(only_changed=True)

    # Other nodes.

    async def _call(
        self,
        name: str,
        frame: CallFrame,
    ) -> AnswerFrame | RefusalFrame:
        if name == self._settings.name:
            return await self.executor.run(frame)
        return await self._peer_links.call(name, frame)

    def _post(self, name: str, message: object) -> None:
        if name == self._settings.name:
            self._handle_peer_message(message)
        else:
            self._peer_links.post(name, message)

    def _handle_peer_message(self, message: Any) -> None:
        if isinstance(message, Intent | Fence | OutcomeRecord):
            self._witness_adapter.receive(message)
        elif isinstance(message, Vote):
            # Attempt ids and fence ids do not overlap, so only one of the two
            # finds a match.
            self.executor.receive_vote(message)
            self._at_most_once_filter.receive_vote(message)

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
        announcement = self.executor.announcement
        if self._draining or self.executor.draining:
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
        if member != self._last_reported_member:
            self._last_reported_member = member
            self._report_sequence += 1
        return MemberReport(member, self._report_sequence)

    def _create_ping(self, now: datetime) -> Ping:
        return self.view.build_ping(now)

    def _send_report(self, *, only_changed: bool = False) -> None:
        if (
            only_changed
            and self._create_member() == self._last_reported_member
        ):
            return
        self._uplink.post(self._create_report())

    def _handle_control_message(self, message: Any) -> None:
        if isinstance(message, FeedSnapshot | FeedDelta):
            self._apply_feed(message)
        elif isinstance(message, Pong):
            self.view.receive_pong(self._clock.now(), message)
            self._confirmation_waits.release_confirmed()
        elif isinstance(message, QuotaGrant):
            self._quota_gate.receive(message)
        elif isinstance(message, ReportPull):
            self._tasks.start(self._push_report(message.pull_id))
        elif isinstance(message, DrainOrder):
            self.executor.drain()
            self._send_report()

    def _apply_feed(self, message: FeedSnapshot | FeedDelta) -> None:
        now = self._clock.now()
        revision = self.view.revision
        evacuated = self.view.evacuated_domains
        if not self.view.apply(now, message):
            self._uplink.post(self._create_hello())
        self._balancer.update(
            now, self.view.members, self.view.evacuated_domains
        )
        if self.view.evacuated_domains != evacuated:
            self._follow_evacuations(evacuated)
        self._peer_links.close_departed()
        self._witness_adapter.assign()
        self._crash_reporter.follow_view()
        if self.view.revision != revision:
            self.executor.configure()
            # Report to the control host without delay that the revision
            # is in force on this node.
            self._uplink.post(self.view.build_ping(now))
            log_event(
                Level.INFO,
                "configuration in force",
                revision=self.view.revision,
            )
        self._confirmation_waits.release_confirmed()

    def _follow_evacuations(self, previous: tuple[str, ...]) -> None:
        """Apply a change of the evacuated failure domains on this host."""
        settings, domains = self._settings, self.view.evacuated_domains
        log_evacuations(previous, domains, settings.name, self.view.index)
        self.executor.set_evacuated(evacuated=settings.domain in domains)

    async def _push_report(self, pull_id: int) -> None:
        """Send the report; yield to the event loop after each row."""
        now = self._clock.now()
        rows = []
        for row in self.metrics.iterate_report_rows(now):
            rows.append(row)
            await asyncio.sleep(0)
        report = self.metrics.build_report(now, rows)
        self._uplink.post(ReportPush(pull_id, report))

    # Lookups in the node's view.

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

    def _list_serving_members(self, pool: str) -> tuple[str, ...]:
        return tuple(
            name
            for name, member in self.view.members.items()
            if member.pool == pool
            and member.state is MemberState.SERVING
            and member.domain not in self.view.evacuated_domains
        )
