"""Node-side stream to the control plane, one control host at a time."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._control_messages import ATTACH_PATH, NodeHello
from sequoiaseam._feed import Ping, Pong
from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._rpc import Channel, Stream, StreamEndedError
from sequoiaseam._settings import Endpoint
from sequoiaseam._silence import SilenceTimer
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import (
    ATTACH_TIMEOUT,
    NODE_PING_INTERVAL,
    UPLINK_TIMEOUT,
)
from sequoiaseam.errors import SeamError

MIN_RECONNECT_DELAY_SECONDS: Final = 0.05
MAX_RECONNECT_DELAY_SECONDS: Final = 0.4
# Minimum time between attempts to switch to the preferred control host.
PREFERRED_HOST_RETRY_INTERVAL: Final = timedelta(seconds=5)
# A control host whose last confirmation of the configuration is older than
# this is partitioned or lagging; another control host may be up to date. It
# is more than twice the time between confirmations, and leaves time to find
# another host before an edit has to be in force.
MAX_CONFIRMATION_AGE: Final = timedelta(seconds=1)
MAX_QUEUED_MESSAGES: Final = 10_000


@dataclass(frozen=True, slots=True)
class UplinkHooks:
    """Callbacks through which an uplink uses its node."""

    create_hello: Callable[[], NodeHello]
    create_ping: Callable[[datetime], Ping]
    create_proof: Callable[[], str]
    handle_message: Callable[[Any], None]


class Uplink:
    """Keep a stream to one control host; switch to another on failure."""

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
        self._rng = rng
        self._hooks = hooks
        self._queue: asyncio.Queue[Any] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._attached_host: str | None = None
        self._preferred_hosts: frozenset[str] = frozenset()
        self._preferred_tried_at = clock.now() - PREFERRED_HOST_RETRY_INTERVAL
        self._silence = SilenceTimer(
            clock.now(), NODE_PING_INTERVAL, UPLINK_TIMEOUT
        )
        self._attached_at = clock.now()
        self._confirmation_age = timedelta(0)

    @property
    def attached_host(self) -> str | None:
        """Return the name of the attached control host, None if detached."""
        return self._attached_host

    def set_control_hosts(
        self,
        hosts: Mapping[str, Endpoint],
        preferred_hosts: frozenset[str] = frozenset(),
    ) -> None:
        """Replace the control hosts to attach to; no hosts keep the old ones.

        Switch to one of ``preferred_hosts``, unless one was tried less
        than PREFERRED_HOST_RETRY_INTERVAL ago. The feed then stays within
        the node's failure domain.
        """
        if hosts:
            self._hosts = dict(hosts)
        self._preferred_hosts = preferred_hosts

    def _should_switch_host(self) -> bool:
        """Return whether to switch to a preferred control host now."""
        return (
            not self._preferred_hosts.isdisjoint(self._hosts)
            and self._attached_host not in self._preferred_hosts
            and self._clock.now() - self._preferred_tried_at
            >= PREFERRED_HOST_RETRY_INTERVAL
        )

    def post(self, message: object) -> bool:
        """Queue a message; return False if it is dropped.

        It is dropped when no control host is attached or the queue is
        full.
        """
        if self._attached_host is None:
            return False
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def run(self) -> None:
        """Attach to the control hosts in turn until cancelled."""
        while True:
            for name in self._list_hosts_to_try():
                await self._attach(name)
                if self._should_switch_host():
                    break
                await asyncio.sleep(
                    self._rng.uniform(
                        MIN_RECONNECT_DELAY_SECONDS,
                        MAX_RECONNECT_DELAY_SECONDS,
                    ),
                )

    def _list_hosts_to_try(self) -> list[str]:
        """Return the control hosts in random order, preferred ones first."""
        names = sorted(self._hosts)
        self._rng.shuffle(names)
        if not self._preferred_hosts.isdisjoint(names):
            self._preferred_tried_at = self._clock.now()
            names.sort(key=lambda name: name not in self._preferred_hosts)
        return names or [""]

    async def _attach(self, name: str) -> None:
        endpoint = self._hosts.get(name)
        if endpoint is None:
            return
        channel = Channel(endpoint.host, endpoint.port, self._codec)
        try:
            await self._run_stream(name, channel)
        except (StreamEndedError, OSError, TimeoutError, SeamError) as error:
            log_event(
                Level.WARNING,
                "control host detached",
                control=name,
                error=type(error).__name__,
            )
        except Exception as error:  # noqa: BLE001
            # Without a control host, the node would soon refuse everything.
            log_event(
                Level.ERROR,
                "unexpected error; detaching from the control host",
                control=name,
                **describe_error(error),
            )
        finally:
            self._attached_host = None

    async def _run_stream(self, name: str, channel: Channel) -> None:
        proof = self._hooks.create_proof()
        tasks = TaskGroup()
        timeout_seconds = ATTACH_TIMEOUT.total_seconds()
        async with channel.open_stream(ATTACH_PATH, proof) as stream:
            async with asyncio.timeout(timeout_seconds):
                await stream.send_message(self._hooks.create_hello())
            self._queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._attached_at = self._clock.now()
            self._silence.restart(self._attached_at)
            self._confirmation_age = timedelta(0)
            self._attached_host = name
            log_event(Level.INFO, "control host attached", control=name)
            receive_task = tasks.start(self._receive_messages(stream))
            send_task = tasks.start(self._send_messages(stream))
            try:
                await self._monitor(receive_task, send_task)
            finally:
                await tasks.cancel()

    async def _receive_messages(self, stream: Stream) -> None:
        async for message in stream:
            if isinstance(message, Pong):
                self._silence.restart(self._clock.now())
                self._confirmation_age = message.age
            self._hooks.handle_message(message)
            if self._is_outdated():
                return

    def _is_outdated(self) -> bool:
        """Return whether another control host may be more up to date.

        A host that was just attached may be about to confirm.
        """
        attached_for = self._clock.now() - self._attached_at
        return (
            self._confirmation_age > MAX_CONFIRMATION_AGE
            and attached_for >= NODE_PING_INTERVAL
            and len(self._hosts) > 1
        )

    async def _send_messages(self, stream: Stream) -> None:
        while True:
            await stream.send_message(await self._queue.get())

    async def _monitor(
        self,
        receive_task: "asyncio.Task[Any]",
        send_task: "asyncio.Task[Any]",
    ) -> None:
        """Send pings until the stream ends or another host is preferred.

        Raise TimeoutError if the control host stays silent for longer than
        UPLINK_TIMEOUT, or if its confirmation of the configuration is
        older than MAX_CONFIRMATION_AGE and there is another control host.
        """
        ping_interval_seconds = NODE_PING_INTERVAL.total_seconds()
        while True:
            self.post(self._hooks.create_ping(self._clock.now()))
            done, _ = await asyncio.wait(
                (receive_task, send_task), timeout=ping_interval_seconds
            )
            for task in done:
                task.result()
            if self._is_outdated():
                raise TimeoutError
            if done or self._should_switch_host():
                return
            if self._silence.check(self._clock.now()):
                raise TimeoutError
