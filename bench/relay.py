"""A loopback TCP relay that can go silent without closing."""

import asyncio
import contextlib
import enum
from typing import Final

LOOPBACK: Final = "127.0.0.1"
CHUNK: Final = 64 * 1024


class AcceptPolicy(enum.Enum):
    """What becomes of a new connection."""

    PASS = "pass"  # noqa: S105
    SILENT = "silent"
    REFUSE = "refuse"


class Relay:
    """Forward connections to a port until told otherwise.

    A silent connection stays open on both sides and carries nothing, as
    when a middlebox has lost its state.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.accept_policy = AcceptPolicy.PASS
        # Connections that were accepted since the start.
        self.accepted_count = 0
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default one that the system chooses."""
        self._server = await asyncio.start_server(
            self._accept,
            LOOPBACK,
            port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self, accept_policy: AcceptPolicy = AcceptPolicy.PASS) -> None:
        """Make all present connections silent for good."""
        self.accept_policy = accept_policy
        # Each connection waits on the event of its time.
        self._open.clear()
        self._open = asyncio.Event()
        self._open.set()

    def restore(self) -> None:
        """Let new connections pass again."""
        self.accept_policy = AcceptPolicy.PASS

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.accepted_count += 1
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        # asyncio reports a cancelled connection handler as an error.
        with contextlib.suppress(asyncio.CancelledError):
            if self.accept_policy is AcceptPolicy.REFUSE:
                writer.transport.abort()
            elif self.accept_policy is AcceptPolicy.SILENT:
                await asyncio.Event().wait()
            else:
                await self._forward(reader, writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        gate = self._open
        try:
            back, forth = await asyncio.open_connection(LOOPBACK, self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(_pump(reader, forth, gate))
                group.create_task(_pump(back, writer, gate))
        except* OSError:
            pass
        finally:
            writer.transport.abort()
            forth.transport.abort()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    gate: asyncio.Event,
) -> None:
    """Copy bytes while the gate is open; end both ways at the end."""
    while True:
        data = await reader.read(CHUNK)
        await gate.wait()
        if not data:
            break
        writer.write(data)
        await writer.drain()
    with contextlib.suppress(OSError):
        writer.write_eof()
