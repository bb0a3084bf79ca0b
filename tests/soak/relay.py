"""TCP relay on loopback that delays, holds, silences or resets traffic."""

import asyncio
import contextlib
import enum
import socket
import struct
from typing import Final

LOOPBACK: Final = "127.0.0.1"
CHUNK_BYTES: Final = 64 * 1024
DELAY_SECONDS: Final = 0.08
# A close sends a reset.
NO_LINGER: Final = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """What a relay does to its connections."""

    DELAY = "delay"
    HOLD_REQUESTS = "hold requests"
    HOLD_ANSWERS = "hold answers"
    SILENCE = "silence"
    RESET = "reset"


HELD_FAULTS: Final = {
    True: (Fault.HOLD_REQUESTS, Fault.SILENCE),
    False: (Fault.HOLD_ANSWERS, Fault.SILENCE),
}


class FaultRelay:
    """Forwards connections to an endpoint, with faults on demand."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self.fault: Fault | None = None
        self._restored = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the kernel assigns."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def inject(self, fault: Fault, seconds: float) -> None:
        """Have a fault for some time.

        What is held is then sent on. Connections that were silenced are
        reset, as they would stay silent.
        """
        self.fault = fault
        self._restored.clear()
        if fault is Fault.RESET:
            self._reset()
        else:
            await asyncio.sleep(seconds)
            if fault is Fault.SILENCE:
                self._reset()
        self.fault = None
        self._restored.set()

    def _reset(self) -> None:
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, target_writer, is_request=True)
                )
                group.create_task(
                    self._copy(target_reader, writer, is_request=False)
                )
        except* OSError:
            pass
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.fault is Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            while self.fault in HELD_FAULTS[is_request]:
                await self._restored.wait()
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
