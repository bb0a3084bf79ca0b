"""TCP relay on loopback that can drop traffic without closing."""

import asyncio
import contextlib
import enum
from typing import Final

LOOPBACK: Final = "127.0.0.1"
CHUNK_BYTES: Final = 64 * 1024


class AcceptPolicy(enum.Enum):
    """Handling of new connections."""

    PASS = "pass"  # noqa: S105
    SILENT = "silent"
    REFUSE = "refuse"


class Relay:
    """Forward connections to a local port, with faults on demand.

    A silenced connection stays open on both sides but carries no data, as
    if a middlebox had lost its connection state.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.accept_policy = AcceptPolicy.PASS
        self.accepted_count = 0
        self._gate = asyncio.Event()
        self._gate.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default one that the kernel assigns."""
        self._server = await asyncio.start_server(
            self._accept,
            LOOPBACK,
            port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self, accept_policy: AcceptPolicy = AcceptPolicy.PASS) -> None:
        """Stop data on open connections and set how new ones are handled."""
        self.accept_policy = accept_policy
        # Open connections wait for the old event, which is never set again.
        self._gate.clear()
        self._gate = asyncio.Event()
        self._gate.set()

    def restore(self) -> None:
        """Forward new connections again; silenced ones stay silent."""
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
        # asyncio logs the cancellation of a connection handler as an error.
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
        gate = self._gate
        try:
            target_reader, target_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(_copy_stream(reader, target_writer, gate))
                group.create_task(_copy_stream(target_reader, writer, gate))
        except* OSError:
            pass
        finally:
            writer.transport.abort()
            target_writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _copy_stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    gate: asyncio.Event,
) -> None:
    """Copy data until end of file, pausing while ``gate`` is not set."""
    while True:
        data = await reader.read(CHUNK_BYTES)
        await gate.wait()
        if not data:
            break
        writer.write(data)
        await writer.drain()
    with contextlib.suppress(OSError):
        writer.write_eof()
