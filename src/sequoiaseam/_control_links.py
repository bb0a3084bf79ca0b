"""Streams between control hosts.

Each host opens one stream to every other host and sends its messages only
on the streams that it opened. The receiver returns only keep-alives.
"""

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._control_messages import PEER_PATH, PeerHello, PeerPing
from sequoiaseam._logs import Level, log_event
from sequoiaseam._rpc import Channel, Stream, StreamEndedError
from sequoiaseam._settings import Endpoint, parse_endpoint
from sequoiaseam._silence import SilenceTimer
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
from sequoiaseam.errors import SeamError

RECONNECT_MIN_SECONDS: Final = 0.05
RECONNECT_MAX_SECONDS: Final = 0.3
# Further messages are dropped; the replica resends what was lost.
SEND_QUEUE_MAX_MESSAGES: Final = 10_000
# Messages posted before the stream is open are sent once it opens, if they
# are not older than this. Otherwise the first vote requests after startup
# would be lost and have to be repeated.
UNSENT_MESSAGE_MAX_AGE_SECONDS: Final = 0.5
UNSENT_MAX_MESSAGES: Final = 64


class ControlLink:
    """Stream from this host to one other control host."""

    def __init__(
        self,
        hello: PeerHello,
        peer: str,
        endpoint: Endpoint,
        codec: Codec,
        clock: Clock,
        rng: Random,
        create_proof: Callable[[], str],
    ) -> None:
        self._hello = hello
        self._peer = peer
        self._endpoint = endpoint
        self._codec = codec
        self._clock = clock
        self._rng = rng
        self._create_proof = create_proof
        self._send_queue: asyncio.Queue[Any] | None = None
        self._silence = SilenceTimer(
            clock.now(), CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
        )
        # Messages posted without a stream, with the event loop's time.
        self._unsent: deque[tuple[float, object]] = deque(
            maxlen=UNSENT_MAX_MESSAGES
        )

    def post(self, message: object) -> None:
        """Send a message; it may be lost while there is no stream."""
        if self._send_queue is not None:
            with contextlib.suppress(asyncio.QueueFull):
                self._send_queue.put_nowait(message)
        else:
            now = asyncio.get_running_loop().time()
            self._unsent.append((now, message))

    def _create_send_queue(self) -> "asyncio.Queue[Any]":
        """Return the send queue of a new stream, with recent messages."""
        queue: asyncio.Queue[Any] = asyncio.Queue(SEND_QUEUE_MAX_MESSAGES)
        oldest_posted_at = (
            asyncio.get_running_loop().time() - UNSENT_MESSAGE_MAX_AGE_SECONDS
        )
        for posted_at, message in self._unsent:
            if posted_at >= oldest_posted_at:
                queue.put_nowait(message)
        self._unsent.clear()
        return queue

    async def run(self) -> None:
        """Keep the stream open, reconnecting until cancelled."""
        while True:
            channel = Channel(
                self._endpoint.host,
                self._endpoint.port,
                self._codec,
            )
            try:
                await self._serve(channel)
            except (
                StreamEndedError,
                OSError,
                TimeoutError,
                SeamError,
            ) as error:
                log_event(
                    Level.DEBUG,
                    "control link lost; reconnecting",
                    peer=self._peer,
                    error=type(error).__name__,
                )
            finally:
                self._send_queue = None
            await asyncio.sleep(
                self._rng.uniform(
                    RECONNECT_MIN_SECONDS,
                    RECONNECT_MAX_SECONDS,
                ),
            )

    async def _serve(self, channel: Channel) -> None:
        tasks = TaskGroup()
        async with channel.open_stream(
            PEER_PATH,
            self._create_proof(),
        ) as stream:
            async with asyncio.timeout(CONNECTION_TIMEOUT.total_seconds()):
                await stream.send_message(self._hello)
            self._send_queue = queue = self._create_send_queue()
            reader = tasks.start(self._read(stream))
            sender = tasks.start(self._send(stream, queue))
            try:
                await self._keep_alive(reader, sender)
            finally:
                await tasks.cancel()

    async def _read(self, stream: Stream) -> None:
        async for _ in stream:
            self._silence.restart(self._clock.now())

    async def _send(self, stream: Stream, queue: "asyncio.Queue[Any]") -> None:
        while True:
            await stream.send_message(await queue.get())

    async def _keep_alive(
        self,
        reader: "asyncio.Task[Any]",
        sender: "asyncio.Task[Any]",
    ) -> None:
        """Send pings until the stream ends or the other host is silent."""
        self._silence.restart(self._clock.now())
        for number in itertools.count():
            self.post(PeerPing(number))
            done, _ = await asyncio.wait(
                (reader, sender),
                timeout=CONNECTION_PING_INTERVAL.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                task.result()
                return
            if self._silence.check(self._clock.now()):
                raise TimeoutError


class ControlLinks:
    """Streams from this host to all other control hosts."""

    def __init__(
        self,
        hello: PeerHello,
        codec: Codec,
        clock: Clock,
        rng: Random,
        create_proof: Callable[[], str],
    ) -> None:
        self._hello = hello
        self._codec = codec
        self._clock = clock
        self._rng = rng
        self._create_proof = create_proof
        self._links: dict[str, tuple[Endpoint, ControlLink]] = {}
        self._link_tasks: dict[str, asyncio.Task[Any]] = {}
        self._tasks = TaskGroup()
        # Whether host names are addresses, so that ``post`` can open a link.
        self.names_are_addresses = False

    def update(self, hosts: Mapping[str, Endpoint]) -> None:
        """Open and close links to match the given hosts."""
        for peer in list(self._links):
            if hosts.get(peer) != self._links[peer][0]:
                del self._links[peer]
                self._link_tasks.pop(peer).cancel()
        for peer, endpoint in hosts.items():
            self._open(peer, endpoint)

    def _open(self, peer: str, endpoint: Endpoint) -> None:
        if peer == self._hello.name or peer in self._links:
            return
        link = ControlLink(
            self._hello,
            peer,
            endpoint,
            self._codec,
            self._clock,
            self._rng,
            self._create_proof,
        )
        self._links[peer] = (endpoint, link)
        self._link_tasks[peer] = self._tasks.start(link.run())

    def open_by_address(self, peer: str) -> None:
        """Open the link to a host that is named by its address."""
        if peer not in self._links:
            self._open(peer, parse_endpoint(peer))

    def post(self, peer: str, message: object) -> None:
        """Send a message to a control host; it may be lost."""
        if self.names_are_addresses:
            self.open_by_address(peer)
        entry = self._links.get(peer)
        if entry is not None:
            entry[1].post(message)

    async def close(self) -> None:
        """Close all links."""
        await self._tasks.cancel()
