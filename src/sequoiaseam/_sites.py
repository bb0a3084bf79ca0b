"""Listening aiohttp servers.

Apart from ``_listeners``, so that programs without such a server don't
import aiohttp's.
"""

from typing import Any

from aiohttp import web

from sequoiaseam._listeners import (
    DEFAULT_BACKLOG,
    retry_while_in_use,
    wait_until_accepted,
)


class Site(web.TCPSite):
    """A listening address that closes once no connection waits on it."""

    __slots__ = ()

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
) -> None:
    """Let a server listen on an address, as ``open_listener`` does."""

    async def listen() -> None:
        # A site that failed to start can't be started again.
        await Site(runner, host, port, backlog=backlog).start()

    await retry_while_in_use(listen, host, port)
