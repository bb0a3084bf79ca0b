"""A deployment whose callers send and read bodies of up to the limits."""

import asyncio
import math
import random
import socket
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

from tests.soak.callers import (
    ANSWER_SLACK_SECONDS,
    CHUNKED,
    RequestIds,
    encode_head,
    parse_head,
)
from tests.soak.calls import Call, End
from tests.soak.content import (
    PART_BYTES_MAX,
    ReceivedBody,
    describe_content,
    find_start,
    iterate_parts,
)
from tests.soak.record import NOT_RUN_STATUSES, Record
from tests.soak.schedule import Action, Kind, Schedule, draw_times
from tests.soak.site import STORES, RouteKind, Site, Work

KIB: Final = 1024
MIB: Final = 1024 * KIB
# The largest body that the configuration allows.
BODY_BYTES_MAX: Final = 64 * MIB
# Sizes of bodies, with how many of each are sent at once to one node.
BURSTS: Final = (
    (16 * KIB, 800),
    (64 * KIB, 700),
    (200_000, 1000),
    (MIB, 120),
    (4 * MIB, 30),
    (16 * MIB, 8),
    (32 * MIB, 6),
    (64 * MIB, 2),
)
# Sizes of a mix, with their weights, and how many are sent at once.
MIX: Final = (
    *((2 * KIB, 50), (16 * KIB, 20), (64 * KIB, 12), (200_000, 9)),
    *((MIB, 6), (4 * MIB, 3), (16 * MIB, 1), (64 * MIB, 0.3)),
)
MIX_COUNT: Final = 150
# Sizes of answers, with how many of each are asked for at once.
EXPORTS: Final = (
    *((64 * KIB, 400), (512 * KIB, 200), (4 * MIB, 30), (16 * MIB, 6)),
)
CROWDS: Final = (500, 1000, 2000)
# Of a crowd: connections with a half sent head, with a half sent body, and
# with a small request. The others are idle.
CROWD_PARTS: Final = ("head", "body", "request", "idle")
# Below the limit of the configuration.
HALF_HEAD_BYTES: Final = 15_000
HALF_BODY_BYTES: Final = 32 * KIB
SMALL_BODY_BYTES: Final = 16 * KIB
# For a body or an answer that is sent or read slowly.
SLOW_SECONDS: Final = (0.5, 2.5)
# Of bodies: those that are sent slowly, and those whose caller leaves midway.
SLOW_RATIO: Final = 0.15
LEAVING_RATIO: Final = 0.1
# Of answers: those that are read slowly, and those that aren't read.
SLOW_READ_RATIO: Final = 0.4
UNREAD_RATIO: Final = 0.3
UNREAD_SECONDS: Final = 3.0
# What the kernel holds for a caller that reads slowly.
RECEIVE_BUFFER_BYTES: Final = 16 * KIB
READ_BYTES: Final = 64 * KIB
PARTS: Final = (16 * KIB, 64 * KIB, PART_BYTES_MAX)
# Connections that are opened at the same moment.
OPENING_MAX: Final = 100
# Between the starts of two actions.
ACTION_SECONDS: Final = 1.2
STOPPED_RATIO: Final = 0.5
STOP_SECONDS: Final = 5.0
EDIT_SECONDS: Final = 5.0

UPLOAD_ROUTE: Final = RouteKind(
    "/upload/",
    "store",
    "POST",
    timeout=10.0,
    large=True,
    work=Work(0.4, 0.3, 1.0),
)
EXPORT_ROUTE: Final = RouteKind(
    "/export/",
    "store",
    "GET",
    timeout=10.0,
    large=True,
    work=Work(0.05, 0.3, 0.3),
)
UPLOADS: Final = replace(
    STORES,
    name="uploads",
    routes=(
        *STORES.routes,
        RouteKind(
            "/reserve/", "store", "POST", weight=8, work=Work(0.4, 0.2, 1.0)
        ),
        UPLOAD_ROUTE,
        EXPORT_ROUTE,
    ),
    # Without rates, which would refuse most of the load.
    settings={
        "limits": {"max-body-bytes": BODY_BYTES_MAX},
        "tenants": {
            workspace: {"api-keys": list(keys)}
            for workspace, keys in STORES.keys.items()
        },
    },
    callers_per_node=15,
    opening_callers_per_node=3,
    think_seconds=0.15,
    serves_all_first=False,
)


@dataclass(frozen=True, slots=True)
class Manner:
    """How a caller sends a body and reads an answer."""

    part_bytes: int = PART_BYTES_MAX
    chunked: bool = False
    # How long sending or reading takes at least.
    sending_seconds: float = 0.0
    reading_seconds: float = 0.0
    # Bytes of the body after which the caller leaves.
    left_after: int | None = None
    reads: bool = True


class LargeExchange:
    """A request with a large body or answer, on a connection of its own."""

    def __init__(self, record: Record, call: Call, manner: Manner) -> None:
        self._record = record
        self._call = call
        self._manner = manner
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)  # noqa: FBT003

    async def run(self, port: int, size: int) -> None:
        """Send a body of a size, or nothing, and record how it ends."""
        call = self._call
        if self._manner.reading_seconds or not self._manner.reads:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        try:
            await self._loop.sock_connect(self._socket, (call.node, port))
        except OSError:
            self._socket.close()
            self._record.strikes["large request without a connection"] += 1
            return
        call.connection = "new"
        self._record.start_call(call)
        end = End.ABANDONED
        try:
            async with asyncio.timeout(call.timeout + ANSWER_SLACK_SECONDS):
                end = await self._exchange(size)
        except TimeoutError:
            end = End.SILENT
        finally:
            self._socket.close()
            call.arrived_at = call.sent_at
            self._record.end_call(call, end)
            if end is End.UNSENT:
                self._record.strikes["large request unsent"] += 1

    async def _exchange(self, size: int) -> End:
        sending = self._loop.create_task(self._send(size))
        try:
            if self._manner.left_after is not None:
                await sending
                return End.ABANDONED
            if not self._manner.reads:
                await asyncio.sleep(UNREAD_SECONDS)
                return End.ABANDONED
            return await self._read()
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    # Sending.

    async def _send(self, size: int) -> None:
        """Send the request; one whose connection ends stays unsent."""
        call, manner = self._call, self._manner
        remaining_ms = round(call.timeout * 1000)
        framing = CHUNKED if manner.chunked else f"Content-Length: {size}"
        if call.method == "GET":
            framing = ""
        sent = 0
        parts = max(1, math.ceil(size / manner.part_bytes))
        try:
            await self._send_all(encode_head(call, remaining_ms, framing))
            for part in iterate_parts(
                find_start(call.request_id), size, manner.part_bytes
            ):
                left = manner.left_after
                if left is not None and sent >= left:
                    return
                await self._send_part(part)
                sent += len(part)
                await asyncio.sleep(manner.sending_seconds / parts)
            if manner.chunked and manner.left_after is None and framing:
                await self._send_all(b"0\r\n\r\n")
        except OSError:
            return
        call.sent_at = self._record.now()

    async def _send_part(self, part: memoryview) -> None:
        if self._manner.chunked:
            await self._send_all(b"%x\r\n" % len(part))
        await self._send_all(part)
        if self._manner.chunked:
            await self._send_all(b"\r\n")

    async def _send_all(self, data: bytes | memoryview) -> None:
        await self._loop.sock_sendall(self._socket, data)

    # Reading.

    async def _read(self) -> End:
        """Read the answer, which may come before all was sent."""
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                received = await self._receive()
                if not received:
                    return End.CUT if data or self._is_sent else End.UNSENT
                data += received
            head, _, rest = data.partition(b"\r\n\r\n")
            return await self._read_answer(head, rest)
        except OSError:
            if data:
                return End.CUT
            return End.UNREAD if self._is_sent else End.UNSENT

    @property
    def _is_sent(self) -> bool:
        return self._call.sent_at < math.inf

    async def _receive(self) -> bytes:
        return await self._loop.sock_recv(self._socket, READ_BYTES)

    async def _read_answer(self, head: bytes, rest: bytes) -> End:
        call = self._call
        first_line, fields = parse_head(head)
        size = int(fields.get("content-length", 0))
        status = int(first_line.split(" ")[1])
        signature = fields.get("x-sequoiaseam-response-signature", "")
        is_content = call.method == "GET" and status == 200
        start = find_start(call.request_id, is_answer=True)
        body = ReceivedBody(size, start if is_content else None)
        pause = self._manner.reading_seconds / max(1, size / READ_BYTES)
        body.feed(rest)
        while not body.complete:
            received = await self._receive()
            if not received:
                return End.CUT
            body.feed(received)
            await asyncio.sleep(pause)
        call.status, call.signature = status, signature
        call.answer = body.kept
        if is_content:
            sent = describe_content(call.request_id, size)
            call.answer = sent if body.sound else b"changed"
        self._check_refusal(fields)
        return End.ANSWERED

    def _check_refusal(self, fields: dict[str, str]) -> None:
        call = self._call
        if call.status in (429, 503) and "retry-after" not in fields:
            self._record.fail("a refusal without a time to return", call)
        if 400 <= call.status < 500 and call.status not in NOT_RUN_STATUSES:
            self._record.fail(f"a proper request got {call.status}", call)


class LargeLoad:
    """Callers with large bodies, and crowds of connections, at one node."""

    def __init__(
        self,
        record: Record,
        rng: random.Random,
        ids: RequestIds,
        site: Site,
        port: int,
    ) -> None:
        self._record = record
        self._rng = rng
        self._ids = ids
        self._site = site
        self._port = port
        self._opening = asyncio.Semaphore(OPENING_MAX)

    async def upload(self, action: Action) -> None:
        """Send bodies at once, of one size or a mix of sizes."""
        rng = self._rng
        sizes: Iterable[int]
        if rng.random() < 1 / 4:
            sizes = rng.choices(
                [size for size, _ in MIX],
                [weight for _, weight in MIX],
                k=MIX_COUNT,
            )
            self._record.strikes["upload of a mix"] += 1
        else:
            size, count = rng.choice(BURSTS)
            sizes = [size] * count
            self._record.strikes[f"upload of {count} of {size}"] += 1
        async with asyncio.TaskGroup() as group:
            for size in sizes:
                call = self._create_call(UPLOAD_ROUTE, action.address, size)
                manner = self._draw_sending(size)
                group.create_task(self._exchange(call, manner, size))

    async def export(self, action: Action) -> None:
        """Ask for large answers at once, and read some slowly or not."""
        size, count = self._rng.choice(EXPORTS)
        self._record.strikes[f"export of {count} of {size}"] += 1
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                call = self._create_call(EXPORT_ROUTE, action.address, 0)
                call.target += f"/{size}"
                group.create_task(self._exchange(call, self._draw_reading()))

    async def crowd(self, action: Action) -> None:
        """Keep many connections for some time."""
        count = self._rng.choice(CROWDS)
        self._record.strikes[f"crowd of {count}"] += 1
        async with asyncio.TaskGroup() as group:
            for index in range(count):
                part = CROWD_PARTS[index % len(CROWD_PARTS)]
                if part == "request":
                    size = SMALL_BODY_BYTES
                    call = self._create_call(
                        UPLOAD_ROUTE, action.address, size
                    )
                    group.create_task(self._exchange(call, Manner(), size))
                else:
                    group.create_task(self._keep_connection(action, part))

    async def _keep_connection(self, action: Action, part: str) -> None:
        """Keep a connection on which no whole request is sent."""
        call = self._create_call(UPLOAD_ROUTE, action.address, 0)
        data = b""
        if part == "head":
            data = encode_head(call, 1, f"X-Any: {'x' * HALF_HEAD_BYTES}")[:-2]
        elif part == "body":
            framing = f"Content-Length: {2 * HALF_BODY_BYTES}"
            data = encode_head(call, 10_000, framing) + bytes(HALF_BODY_BYTES)
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)  # noqa: FBT003
            try:
                async with self._opening:
                    await loop.sock_connect(
                        connection, (action.address, self._port)
                    )
                await loop.sock_sendall(connection, data)
            except OSError:
                # The node is stopping, or refuses what it needn't take.
                return
            await asyncio.sleep(action.duration)

    async def _exchange(
        self, call: Call, manner: Manner, size: int = 0
    ) -> None:
        exchange = LargeExchange(self._record, call, manner)
        await exchange.run(self._port, size)

    def _create_call(self, route: RouteKind, node: str, size: int) -> Call:
        request_id = self._ids.create()
        workspace = self._rng.choice(sorted(self._site.keys))
        return Call(
            request_id,
            node,
            route.method,
            route.prefix + request_id,
            describe_content(request_id, size),
            route.idempotent,
            workspace,
            self._site.services[node],
            route.timeout,
            key=self._site.keys[workspace][0],
        )

    def _draw_sending(self, size: int) -> Manner:
        rng = self._rng
        manner: dict[str, Any] = {
            "part_bytes": rng.choice(PARTS),
            "chunked": rng.random() < 1 / 2,
        }
        draw = rng.random()
        if draw < SLOW_RATIO + LEAVING_RATIO:
            manner["sending_seconds"] = rng.uniform(*SLOW_SECONDS)
        if draw < LEAVING_RATIO:
            # Less than all, also if only one part is sent.
            manner["left_after"] = rng.randrange(size // 2)
            manner["part_bytes"] = min(16 * KIB, max(1, size // 4))
        return Manner(**manner)

    def _draw_reading(self) -> Manner:
        draw = self._rng.random()
        if draw < UNREAD_RATIO:
            return Manner(reads=False)
        if draw < UNREAD_RATIO + SLOW_READ_RATIO:
            return Manner(reading_seconds=self._rng.uniform(*SLOW_SECONDS))
        return Manner()


def build_uploads_schedule(seed: int, seconds: float, site: Site) -> Schedule:
    """Build the schedule of a seed: planned work only, in half of them."""
    rng = random.Random(f"{seed} uploads")
    actions = []
    at = rng.uniform(0.2, 1.0)
    while at < seconds:
        (kind,) = rng.choices(
            (Kind.UPLOAD, Kind.EXPORT, Kind.CROWD), (5, 2, 1)
        )
        duration = rng.uniform(*SLOW_SECONDS)
        actions.append(Action(at, kind, rng.choice(site.nodes), duration))
        at += rng.uniform(0.5, 1.5) * ACTION_SECONDS
    if rng.random() < STOPPED_RATIO:
        for address in (site.nodes, site.controls):
            for at in draw_times(rng, seconds, STOP_SECONDS):
                down = rng.uniform(0, 1.5)
                actions.append(
                    Action(at, Kind.STOP, rng.choice(address), down)
                )
    actions += [
        Action(at, Kind.EDIT, "", 0)
        for at in draw_times(rng, seconds, EDIT_SECONDS)
    ]
    actions.sort(key=lambda action: action.at)
    return Schedule(planned_only=True, actions=tuple(actions))
