"""Listening TCP sockets, and connections to others."""

import asyncio
import errno
import os
import socket
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Final, TypeVar

from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._unread_input import find_readable

DEFAULT_BACKLOG: Final = 128  # pending connections
# A former process of this host may hold the address until it has stopped.
ADDRESS_WAIT_MAX: Final = timedelta(seconds=10)
ADDRESS_RETRY_INTERVAL: Final = timedelta(milliseconds=100)

ACCEPT_WAIT_INTERVAL: Final = timedelta(milliseconds=10)
# More than an event loop needs. Others that keep connecting must not hold up
# a stop.
ACCEPT_WAITS_MAX: Final = 20
# Checks in passes one after the other that have to find no connection. asyncio
# accepts one up to two passes before its server learns of it; a close between
# them leaves the caller without a response or an end.
ACCEPT_CHECKS_MIN: Final = 4
# An event loop that handles a timeout this late has hardly had the chance to
# handle what came before it.
LATENESS_MIN_SECONDS: Final = 0.1
# Attempts of which each timeout may come late. More would go on for as long as
# a busy process is late, although nothing answers at the address.
CONNECT_ATTEMPTS_MAX: Final = 3

ResultT = TypeVar("ResultT")
ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


@dataclass(frozen=True, slots=True)
class Listener:
    """A listening socket and its port.

    ``server`` has the interface of ``asyncio.Server``, but its class depends
    on the event loop in use.
    """

    server: Any
    port: int

    @property
    def descriptor(self) -> int:
        """Return the file descriptor of the socket."""
        return int(self.server.sockets[0].fileno())


def accept_waiting(listener: Listener) -> list[socket.socket]:
    """Accept the connections that wait in the kernel.

    The kernel would reset them as the listener is closed. Close it in the
    same step, as callers may keep connecting while the event loop is late.
    """
    accepted: list[socket.socket] = []
    with socket.socket(fileno=os.dup(listener.descriptor)) as waiting:
        waiting.setblocking(False)  # noqa: FBT003
        while True:
            try:
                connection, _ = waiting.accept()
            except OSError:
                # None waits, or there are no descriptors for more.
                return accepted
            connection.setblocking(False)  # noqa: FBT003
            accepted.append(connection)


async def register_accepted(
    create_protocol: Callable[[], asyncio.Protocol], accepted: socket.socket
) -> None:
    """Have the event loop handle an accepted connection."""
    try:
        await asyncio.get_running_loop().connect_accepted_socket(
            create_protocol, accepted
        )
    except (OSError, asyncio.CancelledError):
        accepted.close()
        raise


async def open_listener(
    create_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    backlog: int = DEFAULT_BACKLOG,
) -> Listener:
    """Listen on an address; port 0 selects a free port.

    Wait at most ADDRESS_WAIT_MAX while another process holds the address.
    """
    loop = asyncio.get_running_loop()

    def create_protocol_or_close() -> asyncio.BaseProtocol:
        # uvloop accepts no further connection after an error here.
        try:
            return create_protocol()
        except Exception as error:  # noqa: BLE001
            log_event(
                Level.ERROR,
                "unexpected error; closing a new connection",
                **describe_error(error),
            )
            return ClosingConnection()

    async def listen() -> Any:
        return await loop.create_server(
            create_protocol_or_close, host, port, backlog=backlog
        )

    server: Any = await retry_while_in_use(listen, host, port)
    return Listener(server, int(server.sockets[0].getsockname()[1]))


async def retry_while_in_use(
    listen: Callable[[], Awaitable[ResultT]], host: str, port: int
) -> ResultT:
    """Return the result of ``listen``, repeating it while it fails so.

    Raise its OSError after ADDRESS_WAIT_MAX, and at once if it isn't that
    another process holds the address.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + ADDRESS_WAIT_MAX.total_seconds()
    waiting = False
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() >= deadline:
                raise
        if not waiting:
            waiting = True
            log_event(
                Level.WARNING,
                "address is in use; waiting for it",
                address=f"{host}:{port}",
            )
        await asyncio.sleep(ADDRESS_RETRY_INTERVAL.total_seconds())


async def wait_until_accepted(sockets: Sequence[Any]) -> None:
    """Wait until no connection waits on listening sockets.

    The kernel resets those that wait as their listener is closed, although
    requests may have been sent on them while the event loop was late. The
    caller closes it in the step in which this function returns.
    """
    descriptors = [socket.fileno() for socket in sockets]
    waits = checks = 0
    while waits < ACCEPT_WAITS_MAX:
        if find_readable(descriptors):
            waits += 1
            checks = 0
            await asyncio.sleep(ACCEPT_WAIT_INTERVAL.total_seconds())
            continue
        checks += 1
        if checks == ACCEPT_CHECKS_MIN:
            return
        await asyncio.sleep(0)


async def connect(
    create_protocol: Callable[[], ProtocolT],
    host: str,
    port: int,
    timeout_seconds: float,
) -> ProtocolT:
    """Open a connection; raise OSError or TimeoutError if it can't be made.

    An attempt that times out while the event loop is late is repeated, as
    the kernel may have made the connection long before.
    """
    loop = asyncio.get_running_loop()
    attempts = 0
    while True:
        attempts += 1
        deadline = loop.time() + timeout_seconds
        try:
            async with asyncio.timeout(timeout_seconds):
                _, protocol = await loop.create_connection(
                    create_protocol, host, port
                )
        except TimeoutError:
            is_late = loop.time() - deadline >= LATENESS_MIN_SECONDS
            if not is_late or attempts == CONNECT_ATTEMPTS_MAX:
                raise
        else:
            return protocol


async def accepts_connections(
    host: str, port: int, timeout_seconds: float
) -> bool:
    """Return whether an address accepts connections within the time."""
    try:
        connection = await connect(
            ClosingConnection, host, port, timeout_seconds
        )
    except (OSError, TimeoutError):
        return False
    await connection.closed.wait()
    return True


class ClosingConnection(asyncio.Protocol):
    """A connection that is closed as soon as it is made."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.closed.set()
