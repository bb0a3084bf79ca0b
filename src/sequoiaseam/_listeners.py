"""Listening TCP sockets."""

import asyncio
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
