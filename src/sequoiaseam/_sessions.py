"""Streams of nodes that are attached to a control host."""

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
from sequoiaseam._feed import FeedSource, Ping, Pong
from sequoiaseam._logs import Level, log_event
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._metrics import NodeReport
from sequoiaseam._operator_messages import HostReport
from sequoiaseam._pending import PendingFutures
from sequoiaseam._replica_host import Confirmation
from sequoiaseam._rpc import Stream
from sequoiaseam._tasks import TaskGroup

QUEUE_LIMIT: Final = 10_000
# A node that sends no ping for this long has gone or is cut off.
SILENCE: Final = timedelta(seconds=4)
REPORT_TIMEOUT: Final = timedelta(seconds=1.5)


@dataclass(slots=True)
class NodeSession:
    """An attached node: what it said, and what is to be sent to it."""

    name: str
    report: MemberReport
    index: int
    heard: datetime
    # The control hosts that the node was told last.
    controls: ControlHosts | None = None
    queue: "asyncio.Queue[Any]" = field(
        default_factory=lambda: asyncio.Queue(QUEUE_LIMIT),
    )
    overrun: asyncio.Event = field(default_factory=asyncio.Event)

    def post(self, message: object) -> None:
        """Send a message; a node that can't keep up is detached."""
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            self.overrun.set()


@dataclass(frozen=True, slots=True)
class SessionHooks:
    """What the sessions need of their control host.

    ``forward`` passes a message of a node to the leader.
    """

    get_confirmation: Callable[[], Confirmation | None]
    forward: Callable[[str, Any], None]


class NodeSessions:
    """Serve the feed, leases and reports of attached nodes."""

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
        self._gone: list[MemberGone] = []
        self._pulls = itertools.count(1)
        self._reports: PendingFutures[tuple[str, int], NodeReport] = (
            PendingFutures()
        )

    @property
    def sessions(self) -> Mapping[str, NodeSession]:
        """Return the attached nodes by name."""
        return self._sessions

    async def serve(self, stream: Stream, name: str) -> None:
        """Serve one node until its stream ends or goes silent."""
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
        overrun = tasks.start(session.overrun.wait())
        try:
            await self._watch(session, reader, sender, overrun)
        finally:
            await tasks.cancel()
            if self._sessions.get(name) is session:
                del self._sessions[name]
                self.feed.unsubscribe(name)

    async def _watch(
        self,
        session: NodeSession,
        *tasks: "asyncio.Task[Any]",
    ) -> None:
        while self._clock.now() - session.heard <= SILENCE:
            done, _ = await asyncio.wait(
                tasks,
                timeout=1.0,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return
        log_event(Level.INFO, "node went silent", node=session.name)

    async def _read(self, stream: Stream, session: NodeSession) -> None:
        async for message in stream:
            session.heard = self._clock.now()
            self._receive(session, message)

    async def _send(self, stream: Stream, session: NodeSession) -> None:
        while True:
            await stream.send_message(await session.queue.get())

    def _subscribe(self, session: NodeSession) -> None:
        # Any node may be a request's entry, so it needs the members of
        # the pools of all routes.
        message = self.feed.subscribe(session.name, session.index, None)
        if message is not None:
            session.post(message)

    def _receive(self, session: NodeSession, message: Any) -> None:
        if isinstance(message, Ping):
            self._answer_ping(session, message)
        elif isinstance(message, NodeHello):
            session.report = message.report
            session.index = message.index
            self._subscribe(session)
        elif isinstance(message, MemberReport):
            session.report = message
            self._hooks.forward(session.name, message)
        elif isinstance(message, MemberGone):
            self._gone.append(message)
            self._hooks.forward(session.name, message)
        elif isinstance(message, ReportPush):
            self._reports.resolve(
                (session.name, message.pull_id),
                message.report,
            )
        else:
            self._hooks.forward(session.name, message)

    def _answer_ping(self, session: NodeSession, ping: Ping) -> None:
        session.index = ping.index
        confirmation = self._hooks.get_confirmation()
        if confirmation is None:
            # An age beyond any lease: the host is up, but can't confirm.
            session.post(Pong(ping.sent, 0, timedelta(days=1)))
            return
        age = self._clock.now() - confirmation.asked
        session.post(Pong(ping.sent, confirmation.index, age))

    def post(self, name: str, message: object) -> None:
        """Send a message to an attached node; drop it for others."""
        session = self._sessions.get(name)
        if session is not None:
            session.post(message)

    def tell_controls(self, hosts: ControlHosts) -> None:
        """Tell every node the control hosts, once after each change."""
        for session in self._sessions.values():
            if session.controls != hosts:
                session.controls = hosts
                session.post(hosts)

    def collect(self, since: datetime) -> tuple[NodeState, ...]:
        """Return the nodes heard from since a time."""
        return tuple(
            NodeState(session.report, session.index)
            for session in self._sessions.values()
            if session.heard >= since
        )

    def take_gone(self) -> tuple[MemberGone, ...]:
        """Return the nodes that said goodbye since the last call."""
        gone, self._gone = tuple(self._gone), []
        return gone

    def drain(self, name: str) -> bool:
        """Order a node to drain; return False if it isn't attached."""
        session = self._sessions.get(name)
        if session is None:
            return False
        session.post(DrainOrder())
        return True

    async def pull_reports(self) -> dict[str, HostReport]:
        """Return the reports of the attached nodes that answer."""
        pull_id = next(self._pulls)
        asked = self._clock.now()
        waits = {}
        for name, session in self._sessions.items():
            waits[name] = self._reports.create((name, pull_id))
            session.post(ReportPull(pull_id))
        if waits:
            await asyncio.wait(
                waits.values(),
                timeout=REPORT_TIMEOUT.total_seconds(),
            )
        reports = {}
        for name, future in waits.items():
            if future.done():
                age = self._clock.now() - asked
                reports[name] = HostReport(future.result(), age)
            else:
                self._reports.discard((name, pull_id))
                future.cancel()
        return reports
