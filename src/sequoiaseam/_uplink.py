"""Node-side streams to the control plane.

One control host is attached: it gets what the node sends. While it isn't
known to be up to date, others are tried beside it, and what they send is
applied too.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from functools import singledispatchmethod
from random import Random
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._commands import CrashReported
from sequoiaseam._control_host_selection import (
    Attach,
    CloseStream,
    ControlHostSelector,
    OpenStream,
    SelectionAction,
    SendPing,
)
from sequoiaseam._control_messages import ATTACH_PATH, NodeHello
from sequoiaseam._feed import Ping, Pong
from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._quota_messages import QuotaSettles
from sequoiaseam._rpc import Channel, Stream, StreamEndedError
from sequoiaseam._settings import Endpoint
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import ATTACH_TIMEOUT
from sequoiaseam.errors import SeamError

MAX_QUEUED_MESSAGES: Final = 10_000
# Messages that may have been lost with their control host are sent again to
# the next one. Their receivers ignore repeated ones. Others are repeated by
# their senders or concern that host only.
RESENT_TYPES: Final = (
    CrashReported,
    MemberGone,
    MemberReport,
    QuotaSettles,
)
MAX_UNCONFIRMED_MESSAGES: Final = 1_000


@dataclass(frozen=True, slots=True)
class UplinkHooks:
    """Callbacks through which an uplink uses its node.

    ``create_ping`` is called for the attached control host only, as a ping
    reports what the node has measured since the last one. ``get_index``
    returns the log index of the node's view.
    """

    create_hello: Callable[[], NodeHello]
    create_ping: Callable[[datetime], Ping]
    create_proof: Callable[[], str]
    handle_message: Callable[[Any], None]
    get_index: Callable[[], int]


@dataclass(slots=True, eq=False)
class _HostStream:
    """A stream to a control host, with the messages to send on it."""

    stream_id: int
    host: str
    queue: "asyncio.Queue[Any]" = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    task: "asyncio.Task[None] | None" = None

    def post(self, message: object) -> bool:
        """Queue a message; return False if the queue is full."""
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True


class Uplink:
    """Keep a node attached to a control host that is up to date."""

    def __init__(
        self,
        hosts: Mapping[str, Endpoint],
        codec: Codec,
        clock: Clock,
        rng: Random,
        hooks: UplinkHooks,
    ) -> None:
        self._hosts = dict(hosts)
        self._codec = codec
        self._clock = clock
        self._hooks = hooks
        self._selector = ControlHostSelector(clock.now(), rng, self._hosts)
        self._streams: dict[int, _HostStream] = {}
        self._tasks = TaskGroup()
        self._wake = asyncio.Event()
        # Messages with the time at which they were posted, until the
        # attached host has answered a later ping.
        self._unconfirmed: deque[tuple[datetime, object]] = deque(
            maxlen=MAX_UNCONFIRMED_MESSAGES
        )

    @property
    def attached_host(self) -> str | None:
        """Return the name of the attached control host, None if detached."""
        return self._selector.attached_host

    def set_control_hosts(
        self,
        hosts: Mapping[str, Endpoint],
        preferred_hosts: frozenset[str] = frozenset(),
    ) -> None:
        """Replace the control hosts to attach to; no hosts keep the old ones.

        Switch to one of ``preferred_hosts`` once it has confirmed the
        configuration. The feed then stays within the node's failure domain.
        """
        if hosts:
            self._hosts = dict(hosts)
        self._selector.set_hosts(self._hosts, preferred_hosts)
        self._wake.set()

    def post(self, message: object) -> bool:
        """Queue a message for the attached host; return False if dropped.

        One of RESENT_TYPES is kept until the control host has received it,
        and is sent again if another host is attached before. Others are
        dropped while no host is attached or the queue is full.
        """
        if isinstance(message, RESENT_TYPES):
            self._unconfirmed.append((self._clock.now(), message))
        attached = self._get_attached()
        return attached is not None and attached.post(message)

    def _get_attached(self) -> _HostStream | None:
        attached_id = self._selector.attached_id
        return None if attached_id is None else self._streams[attached_id]

    async def run(self) -> None:
        """Stay attached to a control host until cancelled."""
        try:
            while True:
                for action in self._selector.check(self._clock.now()):
                    self._perform_action(action)
                await self._wait_for_next_check()
        finally:
            await self._tasks.cancel()

    async def _wait_for_next_check(self) -> None:
        timeout = self._selector.next_check_at - self._clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout.total_seconds())):
                await self._wake.wait()
        self._wake.clear()

    # Actions of the selector.

    @singledispatchmethod
    def _perform_action(self, action: SelectionAction) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform_action.register
    def _(self, action: OpenStream) -> None:
        stream = _HostStream(action.stream_id, action.host)
        self._streams[action.stream_id] = stream
        stream.task = self._tasks.start(self._run_stream(stream))
        log_event(
            Level.INFO,
            "trying a control host",
            control=action.host,
            attached=self.attached_host or "",
        )

    @_perform_action.register
    def _(self, action: CloseStream) -> None:
        stream = self._streams.pop(action.stream_id)
        if stream.task is not None:
            stream.task.cancel()
        log_event(
            Level.INFO,
            "stream to a control host closed",
            control=action.host,
            state=action.state.name.lower(),
            attached=self.attached_host or "",
        )

    @_perform_action.register
    def _(self, action: SendPing) -> None:
        now = self._clock.now()
        if action.stream_id == self._selector.attached_id:
            ping = self._hooks.create_ping(now)
        else:
            ping = Ping(now, self._hooks.get_index())
        self._streams[action.stream_id].post(ping)

    @_perform_action.register
    def _(self, action: Attach) -> None:
        stream = self._streams[action.stream_id]
        for _, message in self._unconfirmed:
            stream.post(message)
        log_event(
            Level.INFO,
            "control host attached",
            control=action.host,
            state=action.state.name.lower(),
            former=action.former,
            former_state=action.former_state.name.lower(),
            resent=len(self._unconfirmed),
        )

    # Streams.

    async def _run_stream(self, stream: _HostStream) -> None:
        """Open a stream and use it until it ends."""
        error_name = ""
        endpoint = self._hosts.get(stream.host)
        try:
            if endpoint is not None:
                await self._exchange_messages(stream, endpoint)
        except (StreamEndedError, OSError, TimeoutError, SeamError) as error:
            error_name = type(error).__name__
        except Exception as error:  # noqa: BLE001
            # Without a control host, the node would soon refuse everything.
            log_event(
                Level.ERROR,
                "unexpected error; detaching from the control host",
                control=stream.host,
                **describe_error(error),
            )
        self._record_end(stream, error_name)

    def _record_end(self, stream: _HostStream, error_name: str) -> None:
        if self._streams.pop(stream.stream_id, None) is None:
            return
        is_attached = stream.stream_id == self._selector.attached_id
        self._selector.record_end(self._clock.now(), stream.stream_id)
        self._wake.set()
        log_event(
            Level.WARNING,
            "control host detached"
            if is_attached
            else "could not attach to a control host",
            control=stream.host,
            error=error_name,
            attached=self.attached_host or "",
        )

    async def _exchange_messages(
        self, stream: _HostStream, endpoint: Endpoint
    ) -> None:
        channel = Channel(endpoint.host, endpoint.port, self._codec)
        tasks = TaskGroup()
        proof = self._hooks.create_proof()
        async with channel.open_stream(ATTACH_PATH, proof) as connection:
            hello = self._hooks.create_hello()
            async with asyncio.timeout(ATTACH_TIMEOUT.total_seconds()):
                await connection.send_message(hello)
            # A change of the member is reported once; this host may not
            # become the attached one.
            self.post(hello.report)
            self._selector.record_open(self._clock.now(), stream.stream_id)
            self._wake.set()
            receive_task = tasks.start(
                self._receive_messages(connection, stream)
            )
            send_task = tasks.start(
                self._send_messages(connection, stream.queue)
            )
            try:
                done, _ = await asyncio.wait(
                    (receive_task, send_task),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    task.result()
            finally:
                await tasks.cancel()

    async def _receive_messages(
        self, connection: Stream, stream: _HostStream
    ) -> None:
        async for message in connection:
            if stream.stream_id not in self._streams:
                return
            self._hooks.handle_message(message)
            self._record_message(stream, message)

    def _record_message(self, stream: _HostStream, message: Any) -> None:
        """Pass what a message says of its control host to the selector."""
        now = self._clock.now()
        index = self._hooks.get_index()
        selector = self._selector
        selector.record_message(now, stream.stream_id, index)
        if not isinstance(message, Pong):
            return
        selector.record_pong(
            now,
            stream.stream_id,
            message.sent,
            message.age,
            message.index,
            index,
        )
        if stream.stream_id == selector.attached_id:
            while self._unconfirmed and (
                self._unconfirmed[0][0] < message.sent
            ):
                self._unconfirmed.popleft()
        self._wake.set()

    async def _send_messages(
        self, connection: Stream, queue: "asyncio.Queue[Any]"
    ) -> None:
        while True:
            await connection.send_message(await queue.get())
