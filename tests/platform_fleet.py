"""Processes of the platform's programs on loopback, for tests."""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parent.parent
CONTROL_PROGRAM: Final = ROOT / "platform" / "core.py"
NODE_PROGRAM: Final = ROOT / "platform" / "sidecar.py"
PEAK_MEMORY: Final = re.compile(r"^VmHWM:\s+(\d+) kB", re.MULTILINE)
HOOK_FOLDER: Final = ROOT / "tests" / "soak" / "hook"
CONTROL_ADDRESSES: Final = ("127.0.1.1", "127.0.1.2", "127.0.1.3")


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of a process, which the platform names in its settings."""

    memory_megabytes: int
    file_descriptors: int

    @property
    def memory_bytes(self) -> int:
        """Return the resident size above which the platform kills it."""
        return self.memory_megabytes * 1_000_000


# Those of the platform's pages for nodes, and of its core machines.
NODE_LIMITS: Final = ProcessLimits(300, 4100)
CONTROL_LIMITS: Final = ProcessLimits(296, 4096)


def get_limits(address: str) -> ProcessLimits:
    """Return the limits of the process at an address."""
    return CONTROL_LIMITS if address.startswith("127.0.1.") else NODE_LIMITS


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free on every loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for bound_socket in sockets:
        bound_socket.bind(("0.0.0.0", 0))  # noqa: S104
    ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
    for bound_socket in sockets:
        bound_socket.close()
    return ports


class PlatformFleet:
    """Processes of control hosts and nodes, each with its own folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = find_free_ports(5)
        (
            self.internal_port,
            self.api_port,
            self.outbound_port,
            self.ready_port,
            _,
        ) = ports
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.control_program = CONTROL_PROGRAM
        # Zones of addresses that are not in the zone of the others.
        self.zones: dict[str, str] = {}
        self.controls: tuple[str, ...] = CONTROL_ADDRESSES
        # Control hosts that settings name; all of them if there are none.
        self.seeds: tuple[str, ...] = ()
        self.bounds: tuple[str, ...] = ("grace-period-s=6",)
        # Limits of addresses that differ from those of the platform.
        self.limits: dict[str, ProcessLimits] = {}
        # Further environment variables of the processes.
        self._variables: dict[str, str] = {}
        # Services of nodes whose backend server is not of the service "store".
        self.services: dict[str, str] = {}

    def use_hook(self, relays: dict[str, int]) -> None:
        """Have processes follow files in their folders from now on.

        The disk is stalled while there is a file ``stalled``, and the time
        of day differs by the seconds in ``step``. ``relays`` are ports on
        loopback by the address to which a process would connect.
        """
        (self.folder / "relays.json").write_text(json.dumps(relays))
        path = f"{HOOK_FOLDER}:{os.environ['PYTHONPATH']}"
        self._variables["PYTHONPATH"] = path

    async def start(self, address: str, *, bootstrap: bool = True) -> None:
        """Start the control host or node of an address."""
        settings = self.write_settings(address, bootstrap=bootstrap)
        is_control = address.startswith("127.0.1.")
        program = self.control_program if is_control else NODE_PROGRAM
        with (self.folder / address / "log").open("ab") as log:
            self.processes[address] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(program),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    **self._variables,
                    "SEQUOIASEAM_CONFIG": str(settings),
                },
            )

    def write_settings(self, address: str, *, bootstrap: bool) -> Path:
        """Write the settings file of a host and return its path."""
        host_folder = self.folder / address
        host_folder.mkdir(exist_ok=True)
        settings = host_folder / "settings.toml"
        settings.write_text(
            self._format_settings(address, bootstrap=bootstrap)
        )
        return settings

    def _format_settings(self, address: str, *, bootstrap: bool) -> str:
        is_control = address.startswith("127.0.1.")
        seeds = ", ".join(
            f'"{seed}:{self.api_port}"' for seed in self.seeds or self.controls
        )
        limits = self.limits.get(address) or get_limits(address)
        listen = f'control-plane = "{address}:{self.api_port}"\n'
        if not is_control:
            listen += f'outbound = "{address}:{self.outbound_port}"\n'
            listen += f'ready = "{address}:{self.ready_port}"\n'
        return (
            f'node-name = "host-{address}"\n'
            f'ip-address = "{address}"\n'
            f'zone = "{self.zones.get(address, "north")}"\n'
            'region = "south"\n'
            f"internal-port-range = [{self.internal_port}, "
            f"{self.internal_port}]\n"
            f"seed-nodes = [{seeds}]\n"
            f"bootstrap = {str(bootstrap).lower()}\n"
            f'service = "{self.services.get(address, "store")}"\n'
            f'data-directory = "{self.folder / address / "data"}"\n'
            f"bounds = {json.dumps(self.bounds)}\n"
            f"[listen-addresses]\n{listen}"
            "[limits]\n"
            f"memory-mb = {limits.memory_megabytes}\n"
            f"file-descriptors = {limits.file_descriptors}\n"
        )

    async def stop(
        self, address: str, signal_number: int = signal.SIGKILL
    ) -> int:
        """Send a signal, wait for the exit and return the exit code."""
        process = self.processes.pop(address)
        process.send_signal(signal_number)
        return await process.wait()

    async def kill_all(self) -> None:
        """Kill all processes at the same moment and wait for their exits."""
        processes = tuple(self.processes.values())
        self.processes.clear()
        for process in processes:
            process.kill()
        for process in processes:
            await process.wait()

    def read_peak_memory(self, address: str) -> int:
        """Return the peak resident size of a running process in bytes."""
        peak = self.find_peak_memory(address)
        if not peak:
            raise AssertionError(f"no peak memory of {address} is known")
        return peak

    def find_peak_memory(self, address: str) -> int:
        """Return the peak resident size in bytes, 0 if it has ended."""
        process = self.processes.get(address)
        if process is None:
            return 0
        try:
            status = Path(f"/proc/{process.pid}/status").read_text()
        except OSError:
            return 0
        found = PEAK_MEMORY.search(status)
        return int(found[1]) * 1024 if found else 0

    def count_descriptors(self, address: str) -> int:
        """Return the open file descriptors, 0 if the process has ended."""
        process = self.processes.get(address)
        if process is None:
            return 0
        try:
            folder = Path(f"/proc/{process.pid}/fd")
            return sum(1 for _ in folder.iterdir())
        except OSError:
            return 0

    def wipe_data(self, address: str) -> None:
        """Remove the data directory of a host."""
        shutil.rmtree(self.folder / address / "data")

    async def close(self) -> None:
        """Kill all processes; fail if one has exited by itself."""
        exited = {
            address: self.read_log(address)[-2000:]
            for address, process in self.processes.items()
            if process.returncode is not None
        }
        for address in set(self.processes) - exited.keys():
            # One that was killed a moment ago must not keep the others.
            with contextlib.suppress(ProcessLookupError):
                await self.stop(address)
        if exited:
            raise AssertionError(f"processes exited unexpectedly: {exited}")

    def read_last_run(self, address: str) -> str:
        """Return the log of the last run of a host's program."""
        return self.read_log(address).rpartition('"event": "started"')[2]

    def read_log(self, address: str) -> str:
        """Return the log of all runs of a host's program."""
        return (self.folder / address / "log").read_text()
