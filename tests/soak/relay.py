"""TCP relay on loopback that delays, holds, silences or resets traffic."""

import asyncio
import enum
import math
import select
import socket
import struct
from typing import Final

LOOPBACK: Final = "127.0.0.1"
BACKLOG: Final = 100
CHUNK_BYTES: Final = 64 * 1024
DELAY_SECONDS: Final = 0.08
# For connections to end by themselves once the relay doesn't listen anymore.
CLOSE_SECONDS: Final = 1.0
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


class _Direction:
    """One direction of a connection."""

    def __init__(
        self, source: socket.socket, sink: socket.socket, *, is_request: bool
    ) -> None:
        self.source = source
        self.sink = sink
        self.is_request = is_request
        self.passed_bytes = 0
        self.passed_at = math.inf
        # Whether the end of the stream was passed on.
        self.ended = False
        # Whether the sink was reset.
        self.failed = False
        # Whether what waits is being delayed, or was and may pass.
        self.delayed = False
        self.due = False


class RelayedConnection:
    """A connection through a relay, from a caller to the target.

    Both ends see what they would see without the relay. Data stays in the
    kernel until the other side's kernel accepts it, so that nothing is lost
    in the relay itself. The end of a stream is passed on as such, and a
    reset of one side resets the other one.
    """

    def __init__(
        self, relay: "FaultRelay", caller: socket.socket, target: socket.socket
    ) -> None:
        self._relay = relay
        self._requests = _Direction(caller, target, is_request=True)
        self._answers = _Direction(target, caller, is_request=False)
        self._directions = (self._answers, self._requests)
        self._loop = asyncio.get_running_loop()
        self.closed = asyncio.Event()
        # Edge-triggered, as a socket whose data is held, or whose streams
        # have ended, reports that all the time otherwise.
        self._poll = select.epoll()
        for end in (caller, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._poll.register(
                end, select.EPOLLIN | select.EPOLLOUT | select.EPOLLET
            )
        self._loop.add_reader(self._poll.fileno(), self._handle_events)

    @property
    def passed_bytes(self) -> int:
        """Return how much of the caller's data was passed on."""
        return self._requests.passed_bytes

    @property
    def passed_at(self) -> float:
        """Return when the last of it was passed on."""
        return self._requests.passed_at

    def _handle_events(self) -> None:
        self._poll.poll(0)
        self.pass_on()

    def pass_on(self) -> None:
        """Pass on what both sides have sent, as far as no fault holds it."""
        for direction in self._directions:
            self._pass_direction_on(direction)
        for direction in self._directions:
            self._check_reset(direction)
        ended = self._answers.ended and self._requests.ended
        if ended and not self.closed.is_set():
            self._close()

    def _pass_direction_on(self, direction: _Direction) -> None:
        try:
            while self._may_pass(direction) and not direction.ended:
                data = direction.source.recv(CHUNK_BYTES, socket.MSG_PEEK)
                if self._is_delayed(direction):
                    return
                direction.due = False
                if data:
                    self._send(direction, data)
                else:
                    self._end(direction)
        except BlockingIOError:
            # Nothing waits to be read, or the sink takes no more.
            pass
        except OSError:
            self.reset()

    def _may_pass(self, direction: _Direction) -> bool:
        return not (
            self.closed.is_set()
            or direction.failed
            or self._relay.fault in HELD_FAULTS[direction.is_request]
        )

    def _is_delayed(self, direction: _Direction) -> bool:
        """Return whether what waits has to wait for longer."""
        if direction.due:
            return False
        if not direction.delayed and self._relay.fault is Fault.DELAY:
            direction.delayed = True
            self._loop.call_later(DELAY_SECONDS, self._end_delay, direction)
        return direction.delayed

    def _end_delay(self, direction: _Direction) -> None:
        direction.delayed = False
        direction.due = True
        self.pass_on()

    def _send(self, direction: _Direction, data: bytes) -> None:
        try:
            size = direction.sink.send(data)
        except ConnectionError:
            self._reset_source(direction)
            return
        direction.source.recv(size)
        direction.passed_bytes += size
        direction.passed_at = self._loop.time()

    def _check_reset(self, direction: _Direction) -> None:
        """Pass on a reset after the end of the stream.

        Data that is passed on to a closed connection is reset at once.
        Before the end of the stream, reading reports a reset.
        """
        if (
            direction.ended
            and self._may_pass(direction)
            and direction.source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        ):
            self.reset()

    def _reset_source(self, direction: _Direction) -> None:
        """Pass on a reset of the sink, after what the sink sent before it."""
        direction.failed = True
        (opposite,) = (d for d in self._directions if d is not direction)
        self._pass_direction_on(opposite)
        self.reset()

    @staticmethod
    def _end(direction: _Direction) -> None:
        direction.ended = True
        direction.sink.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset both sides."""
        if not self.closed.is_set():
            for direction in self._directions:
                reset_on_close(direction.source)
            self._close()

    def _close(self) -> None:
        self.closed.set()
        self._loop.remove_reader(self._poll.fileno())
        self._poll.close()
        for direction in self._directions:
            direction.source.close()


def reset_on_close(connection: socket.socket) -> None:
    """Have the close of a connection reset it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


class FaultRelay:
    """Forwards connections to an endpoint, with faults on demand."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self.fault: Fault | None = None
        self._connections: set[RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # By the port of a caller that waits for its connection.
        self._awaited: dict[int, asyncio.Future[RelayedConnection]] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that the kernel assigns."""
        self._listener = create_socket()
        self._listener.listen(BACKLOG)
        self.port = self._listener.getsockname()[1]
        self._accepting = asyncio.create_task(self._accept())

    async def connect(self) -> tuple[socket.socket, RelayedConnection]:
        """Connect through the relay; raise OSError if the target refuses.

        A connection that is opened to the relay's port without this method
        is accepted and at once reset if the target refuses.
        """
        loop = asyncio.get_running_loop()
        connection = create_socket()
        port = connection.getsockname()[1]
        awaited = self._awaited[port] = loop.create_future()
        try:
            await loop.sock_connect(connection, (LOOPBACK, self.port))
            return connection, await awaited
        except BaseException:
            connection.close()
            raise
        finally:
            self._awaited.pop(port, None)

    async def inject(self, fault: Fault, seconds: float) -> None:
        """Have a fault for some time.

        What is held is then sent on. Connections that were silenced are
        reset, as they would stay silent.
        """
        self.fault = fault
        if fault is Fault.RESET:
            self._reset()
        else:
            await asyncio.sleep(seconds)
            if fault is Fault.SILENCE:
                self._reset()
        self.fault = None
        for connection in list(self._connections):
            connection.pass_on()

    def _reset(self) -> None:
        for connection in list(self._connections):
            connection.reset()

    async def close(self) -> None:
        """Stop listening and close all connections.

        Those that both sides close have time to end by themselves.
        """
        self._accepting.cancel()
        await asyncio.gather(self._accepting, return_exceptions=True)
        self._listener.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_SECONDS)
        self._reset()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            caller, (_, port) = await loop.sock_accept(self._listener)
            task = asyncio.create_task(
                self._forward(caller, self._awaited.get(port))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        caller: socket.socket,
        awaited: asyncio.Future[RelayedConnection] | None,
    ) -> None:
        target = socket.socket()
        target.setblocking(False)  # noqa: FBT003
        try:
            await asyncio.get_running_loop().sock_connect(target, self._target)
        except (OSError, asyncio.CancelledError) as error:
            target.close()
            reset_on_close(caller)
            caller.close()
            if awaited is not None and not awaited.done():
                awaited.set_exception(ConnectionRefusedError(str(error)))
            return
        connection = RelayedConnection(self, caller, target)
        self._connections.add(connection)
        if awaited is not None and not awaited.done():
            awaited.set_result(connection)
        await connection.closed.wait()
        self._connections.discard(connection)


def create_socket() -> socket.socket:
    """Return a socket at a port that the kernel assigns."""
    created = socket.socket()
    created.setblocking(False)  # noqa: FBT003
    created.bind((LOOPBACK, 0))
    return created
