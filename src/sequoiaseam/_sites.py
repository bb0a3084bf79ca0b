"""Listening aiohttp servers.

Apart from ``_listeners``, so that programs without such a server don't
import aiohttp's.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from datetime import datetime
from typing import Any, Final

from aiohttp import web

from sequoiaseam._clock import Clock
from sequoiaseam._connection_limit import IDLE_MIN, ConnectionLimit
from sequoiaseam._http_server import STALL_TIMEOUT
from sequoiaseam._listeners import (
    DEFAULT_BACKLOG,
    ClosingConnection,
    retry_while_in_use,
    wait_until_accepted,
)
from sequoiaseam._turned_away import (
    CLOSED_IDLE,
    TOO_MANY_CONNECTIONS,
    TurnedAwayCallers,
)

# After a response, or before the first request.
KEEPALIVE_TIMEOUT_SECONDS: Final = 75.0


class BoundedConnections:
    """Connections of an aiohttp server, which has no limit on them."""

    def __init__(
        self, clock: Clock, limit: ConnectionLimit, listener_name: str
    ) -> None:
        self.clock = clock
        self._limit = limit
        self._connections: set[_BoundedConnection] = set()
        self.turned_away = TurnedAwayCallers(listener_name, clock)

    def accept(self, inner: web.RequestHandler) -> asyncio.Protocol:
        """Return the protocol of a new connection.

        Idle connections are closed before a new one is refused.
        """
        now = self.clock.now()
        for connection in self._limit.select_idle(self._connections, now):
            self.turned_away.record(
                CLOSED_IDLE, idle_time=now - connection.received_at
            )
            connection.abort()
        if self._limit.is_full(len(self._connections)):
            self.turned_away.record(
                TOO_MANY_CONNECTIONS, open=len(self._connections)
            )
            return ClosingConnection()
        connection = _BoundedConnection(self, inner)
        self._connections.add(connection)
        return connection

    def remove(self, connection: "_BoundedConnection") -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    @contextlib.contextmanager
    def keep(self, request: web.Request) -> Iterator[None]:
        """Don't count the connection of a complete request as idle."""
        kept = [
            connection
            for connection in self._connections
            if connection.transport is request.transport
        ]
        for connection in kept:
            connection.kept = True
        try:
            yield
        finally:
            for connection in kept:
                connection.kept = False
                connection.received_at = self.clock.now()


class _BoundedConnection(asyncio.Protocol):
    """Pass the events of a connection on to aiohttp's protocol."""

    def __init__(
        self, owner: BoundedConnections, inner: web.RequestHandler
    ) -> None:
        self._owner = owner
        self._inner = inner
        self.transport: Any = None
        self.kept = False
        # When anything was last received, or a response began.
        self.received_at = owner.clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._inner.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.remove(self)
        self._inner.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self.received_at = self._owner.clock.now()
        self._inner.data_received(data)

    def eof_received(self) -> None:
        self._inner.eof_received()

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()

    def find_idle_since(self, now: datetime) -> datetime | None:
        """Return since when it waits for its caller, None if it doesn't."""
        if self.kept or self.transport is None:
            return None
        unsent = self.transport.get_write_buffer_size() > 0
        idle_min = STALL_TIMEOUT if unsent else IDLE_MIN
        is_idle = now - self.received_at > idle_min
        return self.received_at if is_idle else None

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()


class Site(web.TCPSite):
    """A listening address that closes once no connection waits on it."""

    __slots__ = ("_bounded", "_listen_arguments")

    def __init__(
        self,
        runner: web.BaseRunner,
        host: str,
        port: int,
        backlog: int,
        bounded: BoundedConnections | None,
    ) -> None:
        super().__init__(runner, host, port, backlog=backlog)
        self._bounded = bounded
        self._listen_arguments = (host, port, backlog)

    async def start(self) -> None:
        """Listen; pass each connection through the limit, if there is one."""
        bounded, inner_factory = self._bounded, self._runner.server
        if bounded is None or inner_factory is None:
            await super().start()
            return
        await web.BaseSite.start(self)
        host, port, backlog = self._listen_arguments
        self._server = await asyncio.get_running_loop().create_server(
            lambda: bounded.accept(inner_factory()),
            host,
            port,
            backlog=backlog,
        )

    async def stop(self) -> None:
        """Accept the connections that wait, and stop listening."""
        server: Any = self._server
        if server is not None:
            await wait_until_accepted(server.sockets)
        await super().stop()


async def open_site(
    runner: web.BaseRunner,
    host: str,
    port: int,
    backlog: int = DEFAULT_BACKLOG,
    bounded: BoundedConnections | None = None,
) -> None:
    """Let a server listen on an address, as ``open_listener`` does."""

    async def listen() -> None:
        # A site that failed to start can't be started again.
        await Site(runner, host, port, backlog, bounded).start()

    await retry_while_in_use(listen, host, port)
