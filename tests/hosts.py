"""Nodes on plain connections in one process, with scripted servers."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Final

from sequoiaseam._announcements import ServerReport
from sequoiaseam._clock import ProcessClock
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._feed import FeedSnapshot
from sequoiaseam._header_names import HeaderNames
from sequoiaseam._host_node import HostNode, HostSettings
from sequoiaseam._keyring import compute_digest
from sequoiaseam._settings import Endpoint
from sequoiaseam._tables import (
    AS_ANNOUNCED,
    KeyRecord,
    Pool,
    Route,
    Tables,
    Workspace,
)

HEADER_NAMES: Final = HeaderNames(
    request_id=b"x-id",
    remaining_time=b"x-left-ms",
    caller_pool=b"x-caller",
    workspace=b"x-workspace",
    expected_server_id=b"x-expected",
    not_run=b"x-not-run",
    load=b"x-load",
)
LOCALHOST: Final = "127.0.0.1"
KEY: Final = "coop-key-1"
METHODS: Final = ("GET", "POST")
HOUR: Final = timedelta(hours=1)
SECOND: Final = timedelta(seconds=1)
ROUTES: Final = (
    Route("read", "/read/", "store", METHODS, timeout=SECOND),
    Route("open", "/open/", "store", METHODS, open=True, timeout=SECOND),
    Route(
        "order",
        "/order/",
        "store",
        METHODS,
        idempotent=False,
        timeout=SECOND,
    ),
)
TABLES: Final = Tables(
    routes={route.name: route for route in ROUTES},
    pools={
        "store": Pool(
            "store",
            slots=AS_ANNOUNCED,
            queue=AS_ANNOUNCED,
            retry_share=1.0,
        )
    },
    workspaces={"coop": Workspace("coop", 0.0, 0, limited=False)},
)


@dataclass(slots=True)
class Arrival:
    """A request that a scripted server has read."""

    head: bytes
    body: bytes
    transport: asyncio.Transport = field(repr=False)
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    def find(self, name: str) -> str | None:
        """Return the value of a field."""
        for line in self.head.decode().split("\r\n")[1:]:
            known, _, value = line.partition(": ")
            if known.lower() == name:
                return value
        return None

    def answer(self, status: int, body: bytes, *fields: str) -> None:
        """Send a whole answer."""
        lines = [
            f"HTTP/1.1 {status} Any",
            f"X-Id: {self.find('x-id')}",
            f"Content-Length: {len(body)}",
            *fields,
        ]
        head = "".join(f"{line}\r\n" for line in lines).encode()
        self.transport.write(head + b"\r\n" + body)


Script = Callable[[Arrival], None]


def answer_whole(arrival: Arrival) -> None:
    """Answer with the request's body, or a fixed one."""
    arrival.answer(200, arrival.body or b"whole")


class ScriptedServer(asyncio.Protocol):
    """One connection to a server that does what its script says."""

    def __init__(self, site: "ServerSite") -> None:
        self._site = site
        self._data = b""
        self._arrival: Arrival | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        arrival = Arrival(head, b"", self._transport)
        size = int(arrival.find("content-length") or 0)
        if len(rest) < size:
            return
        arrival.body, self._data = rest[:size], rest[size:]
        self._arrival = arrival
        self._site.arrivals.append(arrival)
        self._site.arrived.set()
        self._site.script(arrival)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        if self._arrival is not None:
            self._arrival.closed.set()


class ServerSite:
    """A scripted backend server and what has arrived there."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.arrivals: list[Arrival] = []
        self.port = 0
        self.arrived = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ScriptedServer(self),
            LOCALHOST,
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


@dataclass(slots=True)
class Reply:
    """What a caller got."""

    status: int
    head: str
    body: bytes


class Hosts:
    """Two hosts, both with a server of the pool "store"."""

    def __init__(
        self,
        scripts: Sequence[Script],
        tables: Tables = TABLES,
    ) -> None:
        self.tables = tables
        self.servers = [ServerSite(script) for script in scripts]
        self.nodes: list[HostNode] = []
        self.ports: list[int] = []

    async def start(self) -> None:
        """Start servers and nodes and let the nodes know each other."""
        for site in self.servers:
            await site.start()
        self.nodes = [self._create(i) for i in range(len(self.servers))]
        for node in self.nodes:
            await node.start()
        self.ports = [node.caller_port for node in self.nodes]
        members = tuple(
            Member(
                f"host-{i}",
                1,
                LOCALHOST,
                node.mesh_port,
                "store",
                "domain-1",
                "south",
                MemberState.SERVING,
                8,
            )
            for i, node in enumerate(self.nodes)
        )
        keys = (KeyRecord("k", compute_digest(KEY), "coop"),)
        for i, node in enumerate(self.nodes):
            node._apply_feed(
                FeedSnapshot(1, 1, None, self.tables, keys, members, {}, ()),
            )
            self.set_fresh(i, fresh=True)
            self.announce(i)

    def set_fresh(self, number: int, *, fresh: bool) -> None:
        """Give a node a lease on its view, or end it."""
        node = self.nodes[number]
        now = node._clock.now()
        node._view.fresh_until = now + HOUR if fresh else now

    def _create(self, number: int) -> HostNode:
        any_port = Endpoint(LOCALHOST, 0)
        return HostNode(
            HostSettings(
                name=f"host-{number}",
                domain="domain-1",
                region="south",
                pool="front",
                caller_endpoint=any_port,
                mesh_endpoint=any_port,
                control_endpoints=(),
                shutdown_time_limit=timedelta(seconds=1),
            ),
            HEADER_NAMES,
            ProcessClock(),
            Random(number),
        )

    def announce(
        self,
        number: int,
        sequence: int = 1,
        *,
        leaving: bool = False,
        slots: int = 8,
    ) -> None:
        """Let a server report to its node."""
        self.nodes[number].accept_server_report(
            ServerReport(
                f"server-{number}",
                "store",
                LOCALHOST,
                self.servers[number].port,
                1,
                sequence,
                slots,
                leaving,
            ),
        )

    async def close(self) -> None:
        """End everything."""
        for node in self.nodes:
            await node.close()
        for site in self.servers:
            site.close()

    async def ask(
        self,
        path: str,
        *fields: str,
        method: str = "GET",
        body: bytes = b"",
        host: int = 0,
        key: str | None = KEY,
    ) -> Reply:
        """Send one request on a connection of its own."""
        reader, writer = await asyncio.open_connection(
            LOCALHOST,
            self.ports[host],
        )
        try:
            writer.write(
                format_request(
                    path, *fields, method=method, body=body, key=key
                )
            )
            return await read_reply(reader)
        finally:
            writer.close()


def format_request(
    path: str,
    *fields: str,
    method: str = "GET",
    body: bytes = b"",
    key: str | None = KEY,
) -> bytes:
    """Return a caller's request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: any.example", "X-Id: 7"]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    text = "".join(f"{line}\r\n" for line in (*lines, *fields))
    return text.encode() + b"\r\n" + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    size = 0
    for line in head.lower().split("\r\n"):
        if line.startswith("content-length: "):
            size = int(line.partition(": ")[2])
    body = await reader.readexactly(size)
    return Reply(int(head.split(" ")[1]), head, body)
