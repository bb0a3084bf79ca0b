"""Sessions of the nodes that are connected to a control host."""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._control_messages import (
    ControlHosts,
    DrainOrder,
    NodeHello,
    NodeState,
    ReportPull,
    ReportPush,
)
from sequoiaseam._domain_load import DomainLoadAggregator
from sequoiaseam._feed import FeedSource, Ping, Pong
from sequoiaseam._logs import Level, log_event
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._metrics import NodeReport
from sequoiaseam._operator_messages import HostReport
from sequoiaseam._pending import PendingFutures
from sequoiaseam._replica_runner import Confirmation
from sequoiaseam._rpc import Stream
from sequoiaseam._silence import SilenceTimer
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import CONFIGURATION_LEASE

SEND_QUEUE_MAX_MESSAGES: Final = 10_000
# A node that sends nothing for this long has stopped or is unreachable.
NODE_SILENCE_TIMEOUT: Final = timedelta(seconds=4)
SILENCE_CHECK_INTERVAL: Final = timedelta(seconds=1)
REPORT_PULL_TIMEOUT: Final = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class _WaitingPing:
    """A ping that is to be answered again, or not before a confirmation."""

    ping: Ping
    received_at: datetime


@dataclass(slots=True)
class NodeSession:
    """A connected node, its last report and the messages to send to it."""

    name: str
    report: MemberReport
    index: int
    last_received_at: datetime
    # The last ping, while no recent confirmation could answer it.
    waiting_ping: _WaitingPing | None = None
    # The last ping that waits for a confirmation after its receipt.
    newest_ping: _WaitingPing | None = None
    # The control hosts that were last sent to the node.
    control_hosts: ControlHosts | None = None
    send_queue: "asyncio.Queue[Any]" = field(
        default_factory=lambda: asyncio.Queue(SEND_QUEUE_MAX_MESSAGES),
    )
    queue_overflowed: asyncio.Event = field(default_factory=asyncio.Event)

    def post(self, message: object) -> None:
        """Queue a message; disconnect the node if its queue is full."""
        try:
            self.send_queue.put_nowait(message)
        except asyncio.QueueFull:
            self.queue_overflowed.set()


@dataclass(frozen=True, slots=True)
class SessionHooks:
    """Functions that the sessions call on their control host.

    ``forward`` passes a message from a node to the leader.
    ``request_confirmation`` asks for one without delay; it is followed by
    ``NodeSessions.answer_waiting_pings``.
    """

    get_confirmation: Callable[[], Confirmation | None]
    forward: Callable[[str, Any], None]
    request_confirmation: Callable[[], None]


class NodeSessions:
    """Serve the feed, leases and reports of connected nodes."""

    def __init__(
        self,
        feed: FeedSource,
        clock: Clock,
        hooks: SessionHooks,
    ) -> None:
        self.feed = feed
        self._clock = clock
        self._hooks = hooks
        self._sessions: dict[str, NodeSession] = {}
        self._domain_load = DomainLoadAggregator()
        self._leave_notices: list[MemberGone] = []
        self._pull_ids = itertools.count(1)
        self._pending_reports: PendingFutures[tuple[str, int], NodeReport] = (
            PendingFutures()
        )

    @property
    def sessions(self) -> Mapping[str, NodeSession]:
        """Return the sessions of the connected nodes by node name."""
        return self._sessions

    async def serve(self, stream: Stream, name: str) -> None:
        """Serve a node until its stream ends or the node times out."""
        hello = await stream.recv_message()
        if not isinstance(hello, NodeHello):
            return
        if hello.report.member.name != name:
            return
        session = NodeSession(
            name,
            hello.report,
            hello.index,
            self._clock.now(),
        )
        self._sessions[name] = session
        self._subscribe(session)
        tasks = TaskGroup()
        reader = tasks.start(self._read(stream, session))
        sender = tasks.start(self._send(stream, session))
        queue_overflowed = tasks.start(session.queue_overflowed.wait())
        try:
            await self._wait_until_ended(
                session, reader, sender, queue_overflowed
            )
        finally:
            await tasks.cancel()
            if self._sessions.get(name) is session:
                del self._sessions[name]
                self.feed.unsubscribe(name)

    async def _wait_until_ended(
        self,
        session: NodeSession,
        *tasks: "asyncio.Task[Any]",
    ) -> None:
        silence = SilenceTimer(
            session.last_received_at,
            SILENCE_CHECK_INTERVAL,
            NODE_SILENCE_TIMEOUT,
        )
        last_received_at = session.last_received_at
        while not silence.check(self._clock.now()):
            done, _ = await asyncio.wait(
                tasks,
                timeout=SILENCE_CHECK_INTERVAL.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return
            if session.last_received_at > last_received_at:
                last_received_at = session.last_received_at
                silence.restart(last_received_at)
        log_event(Level.INFO, "node timed out", node=session.name)

    async def _read(self, stream: Stream, session: NodeSession) -> None:
        async for message in stream:
            session.last_received_at = self._clock.now()
            self._receive(session, message)

    async def _send(self, stream: Stream, session: NodeSession) -> None:
        while True:
            await stream.send_message(await session.send_queue.get())

    def _subscribe(self, session: NodeSession) -> None:
        # Requests may enter at any node, so each node needs the members of
        # the pools of all routes.
        message = self.feed.subscribe(session.name, session.index, None)
        if message is not None:
            session.post(message)

    def _receive(self, session: NodeSession, message: Any) -> None:
        if isinstance(message, Ping):
            if message.load is not None:
                self._domain_load.record(
                    self._clock.now(), session.name, message.load
                )
            self._receive_ping(session, message)
        elif isinstance(message, NodeHello):
            session.report = message.report
            session.index = message.index
            self._subscribe(session)
        elif isinstance(message, MemberReport):
            session.report = message
            self._hooks.forward(session.name, message)
        elif isinstance(message, MemberGone):
            self._leave_notices.append(message)
            self._hooks.forward(session.name, message)
        elif isinstance(message, ReportPush):
            self._pending_reports.resolve(
                (session.name, message.pull_id),
                message.report,
            )
        else:
            self._hooks.forward(session.name, message)

    def _receive_ping(self, session: NodeSession, ping: Ping) -> None:
        session.index = ping.index
        waiting_ping = _WaitingPing(ping, self._clock.now())
        if ping.wants_newest:
            session.newest_ping = waiting_ping
            self._hooks.request_confirmation()
        else:
            self._answer_ping(session, waiting_ping)

    def _answer_ping(
        self, session: NodeSession, waiting_ping: _WaitingPing
    ) -> None:
        session.waiting_ping = None
        confirmation = self._hooks.get_confirmation()
        if confirmation is None:
            # The host is up but can't confirm the configuration. An age
            # longer than any lease tells the node so.
            session.waiting_ping = waiting_ping
            session.post(Pong(waiting_ping.ping.sent, 0, timedelta(days=1)))
            return
        age = max(
            timedelta(0), waiting_ping.received_at - confirmation.requested_at
        )
        if age > CONFIGURATION_LEASE / 2:
            session.waiting_ping = waiting_ping
        load = self._domain_load.summarize(self._clock.now())
        session.post(
            Pong(
                waiting_ping.ping.sent,
                confirmation.index,
                age,
                load if load.has_content else None,
            )
        )

    def _answer_newest_ping(
        self, session: NodeSession, waiting_ping: _WaitingPing
    ) -> None:
        """Answer a ping if the confirmation was requested after it came."""
        confirmation = self._hooks.get_confirmation()
        if (
            confirmation is None
            or confirmation.requested_at < waiting_ping.received_at
        ):
            return
        session.newest_ping = None
        session.post(
            Pong(waiting_ping.ping.sent, confirmation.index, timedelta(0))
        )

    def answer_waiting_pings(self) -> None:
        """Answer the pings that came before a new confirmation.

        The nodes would otherwise have no lease until their next pings.
        """
        for session in self._sessions.values():
            if session.waiting_ping is not None:
                self._answer_ping(session, session.waiting_ping)
            if session.newest_ping is not None:
                self._answer_newest_ping(session, session.newest_ping)

    def post(self, name: str, message: object) -> None:
        """Send a message to a node; drop it if the node isn't connected."""
        session = self._sessions.get(name)
        if session is not None:
            session.post(message)

    def send_control_hosts(self, hosts: ControlHosts) -> None:
        """Send the control hosts to each node that has other ones."""
        for session in self._sessions.values():
            if session.control_hosts != hosts:
                session.control_hosts = hosts
                session.post(hosts)

    def list_active_nodes(self, since: datetime) -> tuple[NodeState, ...]:
        """Return the nodes that have sent a message since a time."""
        return tuple(
            NodeState(session.report, session.index)
            for session in self._sessions.values()
            if session.last_received_at >= since
        )

    def take_leave_notices(self) -> tuple[MemberGone, ...]:
        """Return the leave notices received since the last call."""
        leave_notices, self._leave_notices = tuple(self._leave_notices), []
        return leave_notices

    def drain(self, name: str) -> bool:
        """Order a node to drain; return False if it isn't connected."""
        session = self._sessions.get(name)
        if session is None:
            return False
        session.post(DrainOrder())
        return True

    async def pull_reports(self) -> dict[str, HostReport]:
        """Return the reports of the connected nodes that respond in time."""
        pull_id = next(self._pull_ids)
        requested_at = self._clock.now()
        report_futures = {}
        for name, session in self._sessions.items():
            report_futures[name] = self._pending_reports.create(
                (name, pull_id)
            )
            session.post(ReportPull(pull_id))
        if report_futures:
            await asyncio.wait(
                report_futures.values(),
                timeout=REPORT_PULL_TIMEOUT.total_seconds(),
            )
        reports = {}
        for name, future in report_futures.items():
            if future.done():
                age = self._clock.now() - requested_at
                reports[name] = HostReport(future.result(), age)
            else:
                self._pending_reports.discard((name, pull_id))
                future.cancel()
        return reports
