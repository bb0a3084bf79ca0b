"""Run control hosts, nodes and backend servers as local processes."""

import asyncio
import itertools
import os
import secrets
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Final, Self

from bench.relay import Relay
from sequoiaseam._operator_client import connect
from sequoiaseam._operator_messages import OperatorClient
from sequoiaseam._settings import Endpoint

LOOPBACK: Final = "127.0.0.1"
STOP_TIMEOUT_SECONDS: Final = 10.0
SECRET_BYTES: Final = 32
PORT_RANGE: Final = range(12_000, 32_000)
# Concurrent runs start at different ports.
CANDIDATE_PORTS: Final = itertools.islice(
    itertools.cycle(PORT_RANGE),
    os.getpid() * 131 % len(PORT_RANGE),
    None,
)


def is_port_free(port: int) -> bool:
    """Return whether a TCP port can be bound on loopback."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def find_free_ports(count: int) -> list[int]:
    """Return free TCP ports that were not returned before.

    All are below the ephemeral port range, so that no outgoing connection
    takes one before its listener opens.
    """
    free = filter(is_port_free, CANDIDATE_PORTS)
    return list(itertools.islice(free, count))


@dataclass(frozen=True, slots=True)
class NodePlan:
    """Settings of a node and of the test backend server beside it."""

    name: str
    domain: str
    pool: str
    slots: int = 40
    delay_ms: float = 5.0
    nested: str = ""
    backend: bool = True


@dataclass(slots=True)
class RunningNode:
    """Processes and ports of a node and its backend server."""

    plan: NodePlan
    caller_port: int
    peer_port: int
    local_port: int
    backend_port: int
    process: asyncio.subprocess.Process
    backend: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Return the URL of the listener for callers."""
        return f"http://{LOOPBACK}:{self.caller_port}"


@dataclass(slots=True)
class Fleet:
    """Control hosts, nodes and test backend servers on loopback.

    Settings, data and logs are in a temporary folder. With ``relayed``,
    all connections among control hosts, among nodes and from nodes to
    control hosts pass through ``relays``, keyed by source and target. The
    source of connections among nodes is "", because all nodes reach a
    node through the same relay.
    """

    nodes: tuple[NodePlan, ...]
    control_count: int = 3
    relayed: bool = False
    relays: dict[tuple[str, str], Relay] = field(default_factory=dict)
    running: dict[str, RunningNode] = field(default_factory=dict)
    control_processes: dict[str, asyncio.subprocess.Process] = field(
        default_factory=dict,
    )
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    _folder: "tempfile.TemporaryDirectory[str] | None" = None

    @property
    def folder(self) -> Path:
        """Return the folder that holds settings, data and logs."""
        if self._folder is None:
            raise RuntimeError("the fleet has not been started")
        return Path(self._folder.name)

    @property
    def secrets_path(self) -> Path:
        """Return the path of the file with the fleet and operator secrets."""
        return self.folder / "secrets.ini"

    @property
    def node_secrets_path(self) -> Path:
        """Return the path of the file with the fleet secret only."""
        return self.folder / "node-secrets.ini"

    async def __aenter__(self) -> Self:
        self._folder = tempfile.TemporaryDirectory(prefix="sequoiaseam-")
        self._write_secrets()
        ports = find_free_ports(self.control_count)
        self.endpoints = {
            f"control-{number}": Endpoint(LOOPBACK, port)
            for number, port in enumerate(ports, 1)
        }
        for name in self.endpoints:
            await self.start_control(name)
        for plan in self.nodes:
            await self.start_node(plan)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await asyncio.gather(
            *(stop_process(process) for process in self._list_processes()),
        )
        for relay in self.relays.values():
            await relay.close()
        if self._folder is not None:
            self._folder.cleanup()

    def _list_processes(self) -> list[asyncio.subprocess.Process]:
        processes = list(self.control_processes.values())
        for node in self.running.values():
            processes.append(node.process)
            if node.backend is not None:
                processes.append(node.backend)
        return processes

    async def kill(self) -> None:
        """Kill all processes with SIGKILL, without a drain."""
        for process in self._list_processes():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def connect(self) -> OperatorClient:
        """Return an operator client for the control hosts."""
        return connect(list(self.endpoints.values()), self.secrets_path)

    def _write_secrets(self) -> None:
        fleet_section = (
            f"[fleet]\ncurrent = {secrets.token_hex(SECRET_BYTES)}\n"
        )
        operators_section = (
            f"[operators]\ncurrent = {secrets.token_hex(SECRET_BYTES)}\n"
        )
        for path, text in (
            (self.secrets_path, fleet_section + operators_section),
            (self.node_secrets_path, fleet_section),
        ):
            path.touch(mode=0o600)
            path.write_text(text)

    async def _get_control_endpoint(
        self, source: str, target: str
    ) -> Endpoint:
        """Return the endpoint at which ``source`` reaches a control host."""
        endpoint = self.endpoints[target]
        if not self.relayed or source == target:
            return endpoint
        relay = await self._ensure_relay(source, target, endpoint.port)
        return Endpoint(LOOPBACK, relay.port)

    async def _ensure_relay(
        self, source: str, target: str, port: int
    ) -> Relay:
        relay = self.relays.get((source, target))
        if relay is None:
            relay = self.relays[source, target] = Relay(port)
            await relay.start()
        relay.target_port = port
        return relay

    async def start_control(self, name: str) -> None:
        """Start a control host, with its existing data if there is any."""
        endpoint = self.endpoints[name]
        endpoints = {
            peer: await self._get_control_endpoint(name, peer)
            for peer in self.endpoints
        }
        replicas = "\n".join(
            f"{peer} = {address}" for peer, address in endpoints.items()
        )
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[control]\nname = {name}\ndomain = {name}\nregion = south\n"
            f"data = {self.folder / (name + '-data')}\nlisten = {endpoint}\n"
            f"[replicas]\n{replicas}\n"
            f"[access]\nsecrets = {self.secrets_path}\n",
        )
        self.control_processes[name] = await self._spawn(
            name,
            "sequoiaseam._control_main",
            str(path),
        )

    async def start_node(self, plan: NodePlan) -> None:
        """Start a node and, if planned, its backend server."""
        ports = find_free_ports(4)
        caller_port, peer_port, local_port, backend_port = ports
        endpoints = {
            peer: await self._get_control_endpoint(plan.name, peer)
            for peer in self.endpoints
        }
        hosts = "\n".join(
            f"    {peer} {address}" for peer, address in endpoints.items()
        )
        path = self.folder / f"{plan.name}.ini"
        path.write_text(
            f"[node]\nname = {plan.name}\ndomain = {plan.domain}\n"
            "region = south\n"
            f"[listen]\ncallers = {LOOPBACK}:{caller_port}\n"
            f"peers = {LOOPBACK}:{peer_port}\n"
            f"local = {LOOPBACK}:{local_port}\n"
            f"[control]\nhosts =\n{hosts}\n"
            f"[access]\nsecrets = {self.node_secrets_path}\n",
        )
        process = await self._start_node_process(plan, path, peer_port)
        node = RunningNode(
            plan, caller_port, peer_port, local_port, backend_port, process
        )
        self.running[plan.name] = node
        if plan.backend:
            await self.start_backend(node)

    async def _start_node_process(
        self,
        plan: NodePlan,
        path: Path,
        peer_port: int,
    ) -> asyncio.subprocess.Process:
        if not self.relayed:
            return await self._spawn(
                plan.name,
                "sequoiaseam._node_main",
                str(path),
            )
        relay = await self._ensure_relay("", plan.name, peer_port)
        return await self._spawn(
            plan.name,
            "bench.relayed_node",
            str(path),
            str(relay.port),
        )

    async def restart_node(self, name: str) -> None:
        """Start the process of a stopped node again with its settings."""
        node = self.running[name]
        node.process = await self._start_node_process(
            node.plan,
            self.folder / f"{name}.ini",
            node.peer_port,
        )

    async def start_backend(self, node: RunningNode) -> None:
        """Start the test backend server beside a node."""
        plan = node.plan
        node.backend = await self._spawn(
            f"{plan.name}-backend",
            "bench.backend",
            "--name",
            plan.name,
            "--pool",
            plan.pool,
            "--port",
            str(node.backend_port),
            "--node-port",
            str(node.local_port),
            "--slots",
            str(plan.slots),
            "--delay-ms",
            str(plan.delay_ms),
            "--nested",
            plan.nested,
            "--runs",
            str(self.folder / f"{plan.name}.runs"),
        )

    def count_runs(self, request_id: str) -> int:
        """Return how often backend servers ran an idempotency key."""
        return sum(
            path.read_text().split().count(request_id)
            for path in self.folder.glob("*.runs")
        )

    async def _spawn(
        self,
        name: str,
        module: str,
        *arguments: str,
    ) -> asyncio.subprocess.Process:
        with (self.folder / f"{name}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=log,
                stderr=log,
            )

    def read_log(self, name: str) -> str:
        """Return the standard output and error output of a process."""
        return (self.folder / f"{name}.log").read_text()


async def stop_process(process: asyncio.subprocess.Process) -> None:
    """Terminate a process, or kill it after STOP_TIMEOUT_SECONDS."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
