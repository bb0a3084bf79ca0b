"""Backend servers of the soak, which record each request they receive."""

import asyncio
import contextlib
import hashlib
import json
import random
from dataclasses import dataclass
from typing import Final

import aiohttp

from tests.soak.callers import (
    NESTED_ROUTES,
    CallerConnection,
    RequestIds,
    encode_request,
    parse_head,
)
from tests.soak.record import Call, Record, Run
from tests.soak.relay import LOOPBACK, FaultRelay

SLOTS: Final = 64
HEARTBEAT_SECONDS: Final = 0.7
HEARTBEAT_TIMEOUT_SECONDS: Final = 1.0
NESTED_CALLS_MAX: Final = 2
LARGE_ANSWER_BYTES: Final = 200_000
# Upper bounds of the time for an answer in seconds, with their weights. No
# request takes longer than a stop leaves it, except for few without nested
# calls, which are still in progress at the end of a stop.
DELAYS: Final = ((0.03, 70), (0.4, 25), (1.2, 5))
SLOW_SECONDS: Final = (2.0, 3.8)
SLOW_RATIO: Final = 0.08
SLOW_PREFIXES: Final = ("/read/", "/ship/")


@dataclass(frozen=True, slots=True)
class Place:
    """Where a backend server runs, and the ports of the node beside it."""

    node: str
    service: str
    api_port: int
    outbound_port: int


class BackendServer:
    """One start of a backend server, with an id of its own.

    The node reaches it through a relay if ``relay_name`` isn't empty.
    """

    def __init__(
        self,
        record: Record,
        rng: random.Random,
        ids: RequestIds,
        place: Place,
        server_id: str,
        session: aiohttp.ClientSession,
        relay_name: str,
    ) -> None:
        self.record = record
        self.rng = rng
        self.server_id = server_id
        self.place = place
        self.relay_name = relay_name
        self.relay: FaultRelay | None = None
        self._announced_port = 0
        self.runs_in_progress: set[asyncio.Task[None]] = set()
        self._ids = ids
        self._session = session
        self._sequence = 0
        self._state = "ready"
        self._born = 0
        self._listener: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._own_connections: list[CallerConnection] = []
        self._heartbeats: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Open the listener, and that of the relay if there is one."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self, self._connections), LOOPBACK, 0
        )
        self._announced_port = self._listener.sockets[0].getsockname()[1]
        if self.relay_name:
            self.relay = FaultRelay(LOOPBACK, self._announced_port)
            await self.relay.start()
            self._announced_port = self.relay.port

    def announce(self, born: int) -> None:
        """Send heartbeats to the node beside the server from now on."""
        self._born = born
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        report = {
            "service": self.place.service,
            "address": f"{LOOPBACK}:{self._announced_port}",
            "zone": "north",
            "version": "v1",
            "slots": SLOTS,
            "state": self._state,
            "cold-remaining-s": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        return await self._call_node("instances.heartbeat", report)

    async def _call_node(self, call: str, body: dict[str, object]) -> bool:
        url = (
            f"http://{self.place.node}:{self.place.api_port}/sequoiaseam/rpc"
            f"?call={call}&of={self.server_id}"
        )
        try:
            # aiohttp's own time limit hides a cancellation that comes with it.
            async with (
                asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS),
                self._session.post(
                    url, data=json.dumps(body).encode()
                ) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    @property
    def leaving(self) -> bool:
        """Return whether the server is about to end."""
        return self._state != "ready"

    async def leave(self, drain_seconds: float) -> None:
        """Leave as planned: drain, finish what is in progress and end."""
        self._state = "draining"
        await self.send_heartbeat()
        await asyncio.sleep(drain_seconds)
        await self._call_node("instances.leave", {"born": self._born})
        await self.finish()
        await self.close()

    async def finish(self) -> None:
        """Wait for the requests in progress, which have time limits."""
        while self.runs_in_progress:
            await asyncio.gather(*self.runs_in_progress)

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._heartbeats
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.close()
        for own_connection in self._own_connections:
            own_connection.close()
        if self.relay is not None:
            await self.relay.close()

    # Runs.

    def choose_delay(self, target: str) -> float:
        """Return how long an answer takes."""
        if target.startswith(SLOW_PREFIXES) and (
            self.rng.random() < SLOW_RATIO
        ):
            return self.rng.uniform(*SLOW_SECONDS)
        (longest,) = self.rng.choices(
            [bound for bound, _ in DELAYS], [weight for _, weight in DELAYS]
        )
        return self.rng.uniform(0, longest)

    async def make_nested_calls(self, remaining: float) -> bool:
        """Send requests through the node; return whether all succeeded."""
        ends_at = self.record.now() + remaining
        for _ in range(self.rng.randint(0, NESTED_CALLS_MAX)):
            call = self._create_nested_call(ends_at - self.record.now())
            try:
                connection = await self._connect()
            except OSError:
                return False
            remaining_ms = max(0, round(call.timeout * 1000))
            await connection.send(call, encode_request(call, remaining_ms))
            if not call.served:
                return False
            if connection.usable:
                self._own_connections.append(connection)
        return True

    def _create_nested_call(self, remaining: float) -> Call:
        route = self.rng.choice(NESTED_ROUTES)
        request_id = self._ids.create()
        return Call(
            request_id,
            self.place.node,
            route.method,
            route.prefix + request_id,
            self.rng.randbytes(100) if route.method == "POST" else b"",
            route.idempotent,
            "",
            self.place.service,
            remaining,
            nested=True,
        )

    async def _connect(self) -> CallerConnection:
        while self._own_connections:
            connection = self._own_connections.pop()
            if connection.usable:
                return connection
            connection.close()
        connection = CallerConnection(
            self.record, self.place.node, self.place.outbound_port
        )
        await connection.open()
        return connection


class ServerConnection(asyncio.Protocol):
    """A node's connection to a backend server."""

    def __init__(
        self, server: BackendServer, connections: "set[ServerConnection]"
    ) -> None:
        self._server = server
        self._connections = connections
        self._data = b""
        self._task: asyncio.Task[None] | None = None
        self._run: Run | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the connection; a run in progress is broken off."""
        if self._run is not None and not self._run.end:
            self._run.broken_off = True
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        first_line, fields = parse_head(head)
        size = int(fields.get("content-length", 0))
        if len(rest) < size:
            return
        body, self._data = rest[:size], rest[size:]
        server = self._server
        if self._task is not None or self._data:
            server.record.fail(f"a request before the last answer: {head!r}")
        method, target, _ = first_line.split(" ")
        self._start(method, target, fields, body)

    def _start(
        self, method: str, target: str, fields: dict[str, str], body: bytes
    ) -> None:
        """Run a request, unless it is for another server."""
        server = self._server
        request_id = fields.get("x-sequoiaseam-attempt-id", "")
        expected_id = fields.get("x-sequoiaseam-expected-instance")
        if expected_id != server.server_id:
            self._write(421, request_id, "", b"")
            return
        run = Run(
            server.server_id,
            server.place.node,
            server.record.now(),
            path=server.relay_name,
        )
        call = server.record.start_run(request_id, run)
        if call is None:
            self._transport.abort()
            return
        received = (
            method,
            target,
            body,
            fields.get("x-sequoiaseam-caller-service"),
            fields.get("x-sequoiaseam-tenant", ""),
            fields.get("authorization", ""),
        )
        sent = (
            *(call.method, call.target, call.body),
            *(call.caller_service, call.workspace, ""),
        )
        if received != sent:
            server.record.fail(f"a request was changed: {fields}", call)
        self._run = run
        remaining_ms = fields.get("x-sequoiaseam-deadline-remaining-ms", "")
        if not remaining_ms.isdigit():
            server.record.fail("a request has no time limit", call)
            remaining_ms = "0"
        self._task = asyncio.create_task(
            self._answer(run, call, int(remaining_ms) / 1000)
        )
        server.runs_in_progress.add(self._task)
        self._task.add_done_callback(server.runs_in_progress.discard)

    async def _answer(self, run: Run, call: Call, remaining: float) -> None:
        server = self._server
        status = 200
        try:
            async with asyncio.timeout(remaining):
                await asyncio.sleep(server.choose_delay(call.target))
                if not call.nested and call.target.startswith(
                    ("/view/", "/order/")
                ):
                    served = await server.make_nested_calls(remaining)
                    status = 200 if served else 500
        except TimeoutError:
            status = 504
        except asyncio.CancelledError:
            server.record.end_run(run, "cut by the node")
            return
        size = server.rng.randrange(200)
        filler = "x" * (LARGE_ANSWER_BYTES if size == 0 else size)
        run.body = f"{call.request_id} by {run.server} {filler}".encode()
        run.status = status
        run.signature = hashlib.sha256(run.body).hexdigest()
        server.record.end_run(run, "answered")
        self._task = None
        self._write(status, call.request_id, run.signature, run.body)

    def _write(
        self, status: int, request_id: str, signature: str, body: bytes
    ) -> None:
        """Send an answer, in rare cases the last one on the connection."""
        closes = self._server.rng.random() < 0.02
        lines = [
            f"HTTP/1.1 {status} Any",
            f"X-Sequoiaseam-Attempt-Id: {request_id}",
            f"Content-Length: {len(body)}",
        ]
        if signature:
            lines.append(f"X-Sequoiaseam-Response-Signature: {signature}")
        if closes:
            lines.append("Connection: close")
        head = "".join(f"{line}\r\n" for line in (*lines, "")).encode()
        self._transport.write(head + body)
        if closes:
            self._transport.close()
