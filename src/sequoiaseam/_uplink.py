"""A node's stream to one control host at a time."""

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
from sequoiaseam._logs import Level, log_event
from sequoiaseam._rpc import Channel, Stream, StreamEndedError
from sequoiaseam._settings import Endpoint
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import (
    ATTACH_TIMEOUT,
    LEASE,
    NODE_PING_INTERVAL,
    UPLINK_TIMEOUT,
)
from sequoiaseam.errors import SeamError

RECONNECT_MIN_SECONDS: Final = 0.05
RECONNECT_MAX_SECONDS: Final = 0.4
# Time between attempts to move to the preferred control host.
MOVE_PAUSE: Final = timedelta(seconds=5)
# A control host that last confirmed the configuration longer ago than
# this is cut off or behind; another one may not be.
AGE_LIMIT: Final = LEASE / 2
QUEUE_LIMIT: Final = 10_000


@dataclass(frozen=True, slots=True)
class UplinkHooks:
    """What an uplink needs of its node."""

    create_hello: Callable[[], NodeHello]
    create_ping: Callable[[datetime], Ping]
    create_proof: Callable[[], str]
    handle_message: Callable[[Any], None]


class Uplink:
    """Keep a stream to some control host; move on when it goes silent."""

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
        self._queue: asyncio.Queue[Any] = asyncio.Queue(QUEUE_LIMIT)
        self._attached: str | None = None
        self._preferred = ""
        self._moved_at = clock.now() - MOVE_PAUSE
        self._pong_at = clock.now()
        self._pong_age = timedelta(0)

    @property
    def attached(self) -> str | None:
        """Return the name of the control host, if attached to one."""
        return self._attached

    def set_control_hosts(
        self,
        hosts: Mapping[str, Endpoint],
        preferred: str = "",
    ) -> None:
        """Take over the control hosts to attach to from now on.

        Move to the ``preferred`` one, unless it was tried just now.
        """
        if hosts:
            self._hosts = dict(hosts)
        self._preferred = preferred

    def _wants_move(self) -> bool:
        """Return whether to leave the present host for the preferred."""
        return (
            self._preferred in self._hosts
            and self._preferred != self._attached
            and self._clock.now() - self._moved_at >= MOVE_PAUSE
        )

    def post(self, message: object) -> bool:
        """Send a message; return False when it is dropped."""
        if self._attached is None:
            return False
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def run(self) -> None:
        """Attach to one control host after the other, forever."""
        while True:
            for name in self._order_hosts():
                await self._attach(name)
                if self._wants_move():
                    break
                await asyncio.sleep(
                    self._rng.uniform(
                        RECONNECT_MIN_SECONDS,
                        RECONNECT_MAX_SECONDS,
                    ),
                )

    def _order_hosts(self) -> list[str]:
        """Return the hosts in the order to try, the preferred one first."""
        names = sorted(self._hosts)
        self._rng.shuffle(names)
        if self._preferred in names:
            self._moved_at = self._clock.now()
            names.sort(key=lambda name: name != self._preferred)
        return names or [""]

    async def _attach(self, name: str) -> None:
        endpoint = self._hosts.get(name)
        if endpoint is None:
            return
        channel = Channel(endpoint.host, endpoint.port, self._codec)
        try:
            await self._serve(name, channel)
        except (StreamEndedError, OSError, TimeoutError, SeamError) as error:
            log_event(
                Level.WARNING,
                "control host detached",
                control=name,
                error=type(error).__name__,
            )
        finally:
            self._attached = None

    async def _serve(self, name: str, channel: Channel) -> None:
        proof = self._hooks.create_proof()
        tasks = TaskGroup()
        limit = ATTACH_TIMEOUT.total_seconds()
        async with channel.open_stream(ATTACH_PATH, proof) as stream:
            async with asyncio.timeout(limit):
                await stream.send_message(self._hooks.create_hello())
            self._queue = asyncio.Queue(QUEUE_LIMIT)
            self._pong_at = self._clock.now()
            self._pong_age = timedelta(0)
            self._attached = name
            log_event(Level.INFO, "control host attached", control=name)
            reader = tasks.start(self._read(stream))
            sender = tasks.start(self._send(stream))
            try:
                await self._watch(reader, sender)
            finally:
                await tasks.cancel()

    async def _read(self, stream: Stream) -> None:
        async for message in stream:
            if isinstance(message, Pong):
                self._pong_at = self._clock.now()
                self._pong_age = message.age
            self._hooks.handle_message(message)

    async def _send(self, stream: Stream) -> None:
        while True:
            await stream.send_message(await self._queue.get())

    async def _watch(
        self,
        reader: "asyncio.Task[Any]",
        sender: "asyncio.Task[Any]",
    ) -> None:
        """Ping until the stream ends, goes silent or is behind."""
        interval = NODE_PING_INTERVAL.total_seconds()
        while True:
            self.post(self._hooks.create_ping(self._clock.now()))
            done, _ = await asyncio.wait((reader, sender), timeout=interval)
            for task in done:
                task.result()
            if done or self._wants_move():
                return
            silent = self._clock.now() - self._pong_at
            if silent > UPLINK_TIMEOUT:
                raise TimeoutError
            if self._pong_age > AGE_LIMIT and len(self._hosts) > 1:
                raise TimeoutError
