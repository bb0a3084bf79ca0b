"""Listening TCP sockets, and a check whether others listen."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

DEFAULT_BACKLOG: Final = 128  # pending connections


@dataclass(frozen=True, slots=True)
class Listener:
    """A listening socket and its port.

    ``server`` has the interface of ``asyncio.Server``, but its class depends
    on the event loop in use.
    """

    server: Any
    port: int


async def open_listener(
    create_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    backlog: int = DEFAULT_BACKLOG,
) -> Listener:
    """Listen on an address; port 0 selects a free port."""
    loop = asyncio.get_running_loop()
    server: Any = await loop.create_server(
        create_protocol,
        host,
        port,
        backlog=backlog,
    )
    return Listener(server, int(server.sockets[0].getsockname()[1]))


async def accepts_connections(
    host: str, port: int, timeout_seconds: float
) -> bool:
    """Return whether an address accepts connections within the time."""
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True
