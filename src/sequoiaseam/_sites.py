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
# Checks in passes one after the other that have to find no connection. asyncio
# accepts one up to two passes before its server learns of it; a close between
# them leaves the caller without a response or an end.
ACCEPT_CHECKS_MIN: Final = 4


class Site(web.TCPSite):
    """A listening address whose waiting connections are accepted at last.

    The kernel resets those that wait as their listener is closed, although
    callers may have sent requests on them while the event loop was late.
    """

    __slots__ = ()

    async def stop(self) -> None:
        """Stop listening once no connection waits to be accepted."""
        waits = checks = 0
        while waits < ACCEPT_WAITS_MAX:
            if find_readable(self._list_descriptors()):
                waits += 1
                checks = 0
                await asyncio.sleep(ACCEPT_WAIT_INTERVAL.total_seconds())
                continue
            checks += 1
            if checks == ACCEPT_CHECKS_MIN:
                break
            await asyncio.sleep(0)
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
