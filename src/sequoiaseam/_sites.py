"""Listening aiohttp servers.

Apart from ``_listeners``, so that programs without such a server don't
import aiohttp's.
"""

from aiohttp import web

from sequoiaseam._listeners import DEFAULT_BACKLOG, retry_while_in_use


async def open_site(
    runner: web.BaseRunner,
    host: str,
    port: int,
    backlog: int = DEFAULT_BACKLOG,
) -> None:
    """Let a server listen on an address, as ``open_listener`` does."""

    async def listen() -> None:
        # A site that failed to start can't be started again.
        await web.TCPSite(runner, host, port, backlog=backlog).start()

    await retry_while_in_use(listen, host, port)
