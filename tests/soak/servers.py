"""Backend servers of the soak, which record each request they receive."""

import asyncio
import contextlib
import hashlib
import json
import math
import random
from collections import deque
from dataclasses import dataclass, replace
from typing import Final

import aiohttp

from tests.soak.callers import (
    CallerConnection,
    RequestIds,
    encode_request,
    parse_head,
)
from tests.soak.calls import Call, Run
from tests.soak.content import (
    PART_BYTES_MAX,
    ReceivedBody,
    describe_content,
    find_start,
    iterate_parts,
)
from tests.soak.record import Record
from tests.soak.relay import LOOPBACK, FaultRelay
from tests.soak.site import RouteKind, Site

HEARTBEAT_SECONDS: Final = 0.7
HEARTBEAT_TIMEOUT_SECONDS: Final = 1.0
NESTED_CALLS_MAX: Final = 2
LARGE_ANSWER_BYTES: Final = 200_000
# Upper bounds of the time for an answer in seconds, with their weights. No
# request takes longer than a stop leaves it, except for few without nested
# calls, which are still in progress at the end of a stop.
DELAYS: Final = ((0.03, 70), (0.4, 25), (1.2, 5))
SLOW_SECONDS: Final = (2.0, 3.8)
# How much longer than usual a slow server works.
SLOWNESS: Final = (4.0, 12.0)
SLOW_RATIO: Final = 0.08
SLOW_PREFIXES: Final = ("/read/", "/ship/")
SPOILED_RATIO: Final = 0.03
# When a copy or other bytes follow an answer, also as the next request runs.
EXTRA_SECONDS: Final = (0.0, 0.0, 0.002, 0.02, 0.1, 0.5)
# Of large bodies: those of which a server reads the rest later.
PAUSED_BODY_RATIO: Final = 0.2
PAUSED_BODY_SECONDS: Final = (0.1, 1.5)
# How long after its time limit a request may be answered.
LATE_SECONDS_MAX: Final = 0.2


@dataclass(frozen=True, slots=True)
class Place:
    """Where a backend server runs, and the ports of the node beside it."""

    site: Site
    node: str
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
        self.service = place.site.services[place.node]
        self.pool = place.site.pools[self.service]
        self._speed = rng.choice(self.pool.speeds)
        self._cold_until = 0.0
        self._slowness = 1.0
        self._spoils = False
        self.relay_name = relay_name
        self.relay: FaultRelay | None = None
        # The announced one, which is that of the relay if there is one.
        self.port = 0
        self.runs_in_progress: set[asyncio.Task[None]] = set()
        self.waiting: deque[ServerConnection] = deque()
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
        self.port = self._listener.sockets[0].getsockname()[1]
        if self.relay_name:
            self.relay = FaultRelay(LOOPBACK, self.port)
            await self.relay.start()
            self.port = self.relay.port

    def announce(self, born: int) -> None:
        """Send heartbeats to the node beside the server from now on."""
        self._born = born
        self._cold_until = self.record.now() + self.pool.cold_seconds
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        report = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.place.site.zones.get(self.place.node, "north"),
            "version": "v1",
            "slots": self.pool.slots,
            "state": self._state,
            "cold-remaining-s": self._find_cold_seconds(),
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

    async def slow_down(self, seconds: float) -> None:
        """Work several times as long for some time."""
        self._slowness = self.rng.uniform(*SLOWNESS)
        await asyncio.sleep(seconds)
        self._slowness = 1.0

    async def spoil_answers(self, seconds: float) -> None:
        """Answer late and spoil some answers for some time."""
        self._spoils = True
        await asyncio.sleep(seconds)
        self._spoils = False

    def draw_lateness(self) -> float:
        """Return for how long a run goes on after its time limit."""
        return self.rng.uniform(0, LATE_SECONDS_MAX) if self._spoils else 0.0

    def draw_spoiled(self) -> str:
        """Return how an answer is spoiled, or an empty text."""
        if not self._spoils or self.rng.random() >= SPOILED_RATIO:
            return ""
        return self.rng.choice(("lost", "copy", "copy", "bytes"))

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
            # The ends of runs start those that wait.
            await asyncio.sleep(0)

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

    def _find_cold_seconds(self) -> float:
        return max(0.0, self._cold_until - self.record.now())

    def admit(self, connection: "ServerConnection") -> None:
        """Run the request of a connection once a slot is free, or shed it."""
        if len(self.runs_in_progress) < self.pool.slots:
            connection.begin()
        elif len(self.waiting) < self.pool.queue:
            self.waiting.append(connection)
        else:
            connection.shed()

    def start_run(self, run: asyncio.Task[None]) -> None:
        """Hold a slot until the run ends."""
        self.runs_in_progress.add(run)
        run.add_done_callback(self._release)

    def _release(self, run: asyncio.Task[None]) -> None:
        self.runs_in_progress.discard(run)
        while self.waiting and len(self.runs_in_progress) < self.pool.slots:
            self.waiting.popleft().begin()

    def format_load(self) -> str:
        """Return the running and waiting requests and the slots."""
        running = len(self.runs_in_progress)
        return f"{running},{len(self.waiting)},{self.pool.slots}"

    async def serve(self, target: str, remaining: float) -> int:
        """Work on a request and return the status of its answer."""
        route = self.place.site.find_route(target)
        if route.work is None:
            await asyncio.sleep(self._choose_delay(target))
            if route.nested or not target.startswith(("/view/", "/order/")):
                return 200
            nested_routes = self.place.site.nested_routes
            calls = [
                self.rng.choice(nested_routes)
                for _ in range(self.rng.randint(0, NESTED_CALLS_MAX))
            ]
        else:
            factor = self.pool.cold_factor if self._find_cold_seconds() else 1
            seconds = route.work.draw(self.rng) * factor / self._speed
            seconds *= self._slowness
            await asyncio.sleep(seconds)
            if self.rng.random() < route.error_ratio:
                return 500
            calls = [
                self.place.site.find_route(prefix) for prefix in route.calls
            ]
        return 200 if await self._make_calls(calls, remaining) else 500

    def is_large(self, target: str) -> bool:
        """Return whether a target is that of a route for large bodies."""
        return any(
            target.startswith(route.prefix)
            for route in self.place.site.large_routes
        )

    def draw_answer_size(self, target: str) -> int:
        """Return the size of an answer without its first words."""
        mean = self.place.site.find_route(target).answer_bytes
        size = self.rng.randrange(2 * mean or 200)
        return LARGE_ANSWER_BYTES if size == 0 and not mean else size

    def _choose_delay(self, target: str) -> float:
        """Return how long an answer takes."""
        if target.startswith(SLOW_PREFIXES) and (
            self.rng.random() < SLOW_RATIO
        ):
            return self.rng.uniform(*SLOW_SECONDS)
        (longest,) = self.rng.choices(
            [bound for bound, _ in DELAYS], [weight for _, weight in DELAYS]
        )
        return self.rng.uniform(0, longest)

    async def _make_calls(
        self, routes: list[RouteKind], remaining: float
    ) -> bool:
        """Send requests through the node; return whether all succeeded."""
        ends_at = self.record.now() + remaining
        for route in routes:
            # The node gets whole milliseconds.
            remaining_ms = max(0, round((ends_at - self.record.now()) * 1000))
            call = self._create_nested_call(route, remaining_ms / 1000)
            try:
                connection = await self._connect()
            except OSError:
                return False
            await connection.send(call, encode_request(call, remaining_ms))
            if not call.served:
                return False
            if connection.usable:
                self._own_connections.append(connection)
        return True

    def _create_nested_call(self, route: RouteKind, remaining: float) -> Call:
        request_id = self._ids.create()
        return Call(
            request_id,
            self.place.node,
            route.method,
            route.prefix + request_id,
            self.rng.randbytes(100) if route.method == "POST" else b"",
            route.idempotent,
            "",
            self.service,
            min(remaining, route.timeout),
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


@dataclass(frozen=True, slots=True)
class Request:
    """A request as a backend server received it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    received_at: float

    @property
    def request_id(self) -> str:
        """Return the id that its sender gave it."""
        return self.fields.get("x-sequoiaseam-attempt-id", "")


class ServerConnection(asyncio.Protocol):
    """A node's connection to a backend server."""

    def __init__(
        self, server: BackendServer, connections: "set[ServerConnection]"
    ) -> None:
        self._server = server
        self._connections = connections
        self._data = b""
        self._head: tuple[str, dict[str, str]] = ("", {})
        self._body: ReceivedBody | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        self._run: Run | None = None
        self._request: Request | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)
        self._await_request()

    def _await_request(self) -> None:
        """Close the connection if no request comes."""
        seconds = self._server.pool.idle_seconds
        if seconds < math.inf:
            self._idle_timer = asyncio.get_running_loop().call_later(
                seconds, self._transport.close
            )

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self in self._server.waiting:
            self._server.waiting.remove(self)
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the connection; a run in progress is broken off."""
        if self._run is not None and not self._run.end:
            self._run.broken_off = True
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._body is None:
            head, end, rest = (self._data + data).partition(b"\r\n\r\n")
            if not end:
                self._data = head
                return
            self._head = parse_head(head)
            self._body = self._create_body()
            data, self._data = rest, b""
        rest = self._body.feed(data)
        if not self._body.complete:
            return
        first_line, fields = self._head
        body, self._body = self._body, None
        server = self._server
        if self._request is not None or rest:
            server.record.fail(f"a request before the last answer: {rest!r}")
        method, target, _ = first_line.split(" ")
        request = Request(
            method, target, fields, body.kept, server.record.now()
        )
        if server.is_large(target):
            sent = describe_content(request.request_id, body.size)
            request = replace(request, body=sent if body.sound else b"changed")
        self._start(request)

    def _create_body(self) -> ReceivedBody:
        first_line, fields = self._head
        size = int(fields.get("content-length", 0))
        start = None
        if self._server.is_large(first_line.split(" ")[1]):
            start = find_start(fields.get("x-sequoiaseam-attempt-id", "0"))
            self._pause_reading()
        return ReceivedBody(size, start)

    def _pause_reading(self) -> None:
        """Leave a body unread for some time, in some cases."""
        rng = self._server.rng
        if rng.random() < PAUSED_BODY_RATIO:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(
                rng.uniform(*PAUSED_BODY_SECONDS),
                self._transport.resume_reading,
            )

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def _start(self, request: "Request") -> None:
        """Run a request, unless it is for another server."""
        server = self._server
        expected_id = request.fields.get("x-sequoiaseam-expected-instance")
        if request.target == "/health":
            self._write(503 if server.leaving else 200, "", "", b"")
        elif expected_id != server.server_id:
            self._write(421, request.request_id, "", b"")
        else:
            self._request = request
            server.admit(self)

    def shed(self) -> None:
        """Answer that the request hasn't run and won't."""
        assert self._request is not None
        request_id, self._request = self._request.request_id, None
        self._write(503, request_id, "", b"")

    def begin(self) -> None:
        """Run the request, unless its time is over."""
        server = self._server
        request = self._request
        assert request is not None
        fields, request_id = request.fields, request.request_id
        waited = server.record.now() - request.received_at
        remaining_ms = fields.get("x-sequoiaseam-deadline-remaining-ms", "")
        if remaining_ms.isdigit() and int(remaining_ms) < waited * 1000:
            self.shed()
            return
        run = Run(
            server.server_id,
            server.place.node,
            server.record.now(),
            path=server.relay_name,
            received=(
                *(request.method, request.target, request.body),
                fields.get("x-sequoiaseam-caller-service"),
                fields.get("x-sequoiaseam-tenant", ""),
                fields.get("authorization", ""),
            ),
        )
        if not server.record.start_run(request_id, run):
            self._transport.abort()
            return
        self._run = run
        if not remaining_ms.isdigit():
            server.record.fail(f"a request has no time limit: {request_id}")
            remaining_ms = "0"
        self._task = asyncio.create_task(
            self._answer(run, request, int(remaining_ms) / 1000 - waited)
        )
        server.start_run(self._task)

    async def _answer(
        self, run: Run, request: Request, remaining: float
    ) -> None:
        server = self._server
        try:
            async with asyncio.timeout(remaining + server.draw_lateness()):
                status = await server.serve(request.target, remaining)
        except TimeoutError:
            status = 504
        except asyncio.CancelledError:
            server.record.end_run(run, "cut by the node")
            return
        run.status = status
        if (
            status == 200
            and request.method == "GET"
            and (server.is_large(request.target))
        ):
            await self._send_content(run, request)
            return
        filler = "x" * server.draw_answer_size(request.target)
        run.body = f"{request.request_id} by {run.server} {filler}".encode()
        run.signature = hashlib.sha256(run.body).hexdigest()
        server.record.end_run(run, "answered")
        self._task = self._request = None
        spoiled = server.draw_spoiled()
        if spoiled == "lost":
            server.record.strikes["answer lost"] += 1
            run.broken_off = True
            self._transport.abort()
            return
        answer = self._write(
            status, request.request_id, run.signature, run.body
        )
        if spoiled:
            asyncio.get_running_loop().call_later(
                server.rng.choice(EXTRA_SECONDS),
                self._send_extra,
                spoiled,
                answer if spoiled == "copy" else b"extra\r\n",
            )

    async def _send_content(self, run: Run, request: Request) -> None:
        """Answer with as many bytes as the target asks for."""
        size = int(request.target.rpartition("/")[2])
        run.body = describe_content(request.request_id, size)
        run.signature = f"{request.request_id}-{run.server}"
        self._server.record.end_run(run, "answered")
        self._write(200, request.request_id, run.signature, b"", size)
        start = find_start(request.request_id, is_answer=True)
        for part in iterate_parts(start, size, PART_BYTES_MAX):
            await self._writable.wait()
            self._transport.write(part)
        self._task = self._request = None

    def _send_extra(self, spoiled: str, data: bytes) -> None:
        """Send what belongs to no request, if the connection is open."""
        if not self._transport.is_closing():
            when = "in a run" if self._request else "after an answer"
            self._server.record.strikes[f"{spoiled} {when}"] += 1
            self._transport.write(data)

    def _write(
        self,
        status: int,
        request_id: str,
        signature: str,
        body: bytes,
        following: int = 0,
    ) -> bytes:
        """Send an answer, in rare cases the last one on the connection.

        ``following`` is the size of the part of its body that is sent later.
        """
        closes = self._server.rng.random() < 0.02 and not following
        lines = [
            f"HTTP/1.1 {status} Any",
            f"X-Sequoiaseam-Attempt-Id: {request_id}",
            f"Content-Length: {len(body) + following}",
        ]
        if signature:
            lines.append(f"X-Sequoiaseam-Response-Signature: {signature}")
        elif status >= 400:
            lines.append("X-Sequoiaseam-Not-Executed: 1")
        pool = self._server.pool
        if not request_id:
            server_id = self._server.server_id
            lines.append(f"X-Sequoiaseam-Instance-Id: {server_id}")
        if pool.announces_load:
            load = self._server.format_load()
            lines.append(f"X-Sequoiaseam-Server-Load: {load}")
        if pool.idle_seconds < math.inf:
            lines.append(f"Keep-Alive: timeout={pool.idle_seconds:.0f}")
        if closes:
            lines.append("Connection: close")
        head = "".join(f"{line}\r\n" for line in (*lines, "")).encode()
        self._transport.write(head + body)
        if closes:
            self._transport.close()
        else:
            self._await_request()
        return head + body
