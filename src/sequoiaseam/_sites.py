"""Listening aiohttp servers.

Apart from ``_listeners``, so that programs without such a server don't
import aiohttp's.
"""

import asyncio
from datetime import timedelta
from typing import Any, Final

from aiohttp import web

from sequoiaseam._listeners import DEFAULT_BACKLOG, retry_while_in_use
from sequoiaseam._unread_input import find_readable

ACCEPT_WAIT_INTERVAL: Final = timedelta(milliseconds=10)
# More than an event loop needs. Callers that keep connecting must not hold
# up a stop.
ACCEPT_WAITS_MAX: Final = 20


class Site(web.TCPSite):
    """A listening address whose waiting connections are accepted at last.

    The kernel resets those that wait as their listener is closed, although
    callers may have sent requests on them while the event loop was late.
    """

    __slots__ = ()

    async def stop(self) -> None:
        """Stop listening once no connection waits to be accepted."""
        for _ in range(ACCEPT_WAITS_MAX):
            if not find_readable(self._list_descriptors()):
                break
            await asyncio.sleep(ACCEPT_WAIT_INTERVAL.total_seconds())
        await super().stop()

    def _list_descriptors(self) -> list[int]:
        server: Any = self._server
        return [socket.fileno() for socket in server.sockets] if server else []


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
