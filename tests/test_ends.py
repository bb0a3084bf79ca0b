"""Tests of the ways in which a process ends, and of what its log tells."""

import asyncio
import inspect
import io
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from functools import partial
from pathlib import Path
from random import Random
from types import FrameType
from typing import Any, ClassVar, Final
from unittest.mock import patch

import uvloop
from bench.processes import find_free_ports

from sequoiaseam import _control, _host_node, _tasks
from sequoiaseam._access import Role, TrustedNetwork
from sequoiaseam._clock import ProcessClock
from sequoiaseam._commands import MemberState
from sequoiaseam._control import Control
from sequoiaseam._control_messages import CALL_PATH, create_control_codec
from sequoiaseam._feed import FeedSnapshot
from sequoiaseam._host_node import HostNode
from sequoiaseam._listeners import open_listener
from sequoiaseam._logs import Level, configure_logging
from sequoiaseam._mesh_frames import RunResult
from sequoiaseam._operator_messages import (
    ApplyRequest,
    EditAnswer,
    EditOutcome,
)
from sequoiaseam._process_end import MARKER_FILE, EndMarker
from sequoiaseam._program import Service, ServiceRun
from sequoiaseam._rpc import Channel, StreamEndedError
from sequoiaseam._settings import ControlSettings, Endpoint
from sequoiaseam._tables import Tables
from sequoiaseam.errors import SeamError
from tests.hosts import (
    LOCALHOST,
    HostCluster,
    echo_body,
    format_request,
    read_response,
)
from tests.platform_fleet import PlatformFleet
from tests.test_drain import (
    CALL,
    DrainTestCase,
    ignore_request,
    respond_later,
)

WAIT_LIMIT_SECONDS: Final = 20.0
POLL_INTERVAL_SECONDS: Final = 0.05
NOW: Final = datetime(2026, 12, 6, tzinfo=UTC)
# A service each of whose steps is replaced by a line of a test.
PROGRAM: Final = """
import asyncio, faulthandler, os, signal, sys
from asyncio import Future
from datetime import timedelta
from sequoiaseam._program import run_embedded

class Service:
    close_time_limit = timedelta(seconds=1)

    def describe_state(self):
        return {"unanswered": 3}

    async def start(self):
        START

    async def drain(self, elapsed):
        DRAIN

    async def close(self):
        CLOSE
        print("closed", flush=True)

run_embedded(Service, "host-1")
"""
TERMINATE: Final = "os.kill(os.getpid(), signal.SIGTERM)"


def run_steps(
    start: str = TERMINATE, drain: str = "pass", close: str = "pass"
) -> tuple[int, list[dict[str, Any]], bool]:
    """Run a service; return its exit status, events and if it was closed."""
    program = (
        PROGRAM.replace("START", start)
        .replace("DRAIN", drain)
        .replace("CLOSE", close)
    )
    process = subprocess.run(
        (sys.executable, "-c", program),
        check=False,
        stdout=subprocess.PIPE,
        timeout=WAIT_LIMIT_SECONDS,
        text=True,
    )
    lines = process.stdout.splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    return process.returncode, events, "closed" in lines


class EndLineTest(unittest.TestCase):
    """Guards against ends whose reason can't be told from the log."""

    def check_end(self, status: int, reason: str, **steps: str) -> None:
        """Check the one line at the end of a service with these steps."""
        with self.subTest(reason=reason, **steps):
            returncode, events, closed = run_steps(**steps)
            ends = [e for e in events if e["event"] == "process ended"]
            self.assertEqual(1, len(ends))
            self.assertEqual(ends[0], events[-1])
            fields = ends[0]["fields"]
            self.assertEqual(reason, fields["reason"])
            self.assertEqual(status, fields["status"])
            self.assertEqual(status, returncode)
            self.assertEqual(3, fields["unanswered"])
            self.assertGreater(fields["peak_memory"], 10_000_000)
            self.assertLess(fields["duration"], WAIT_LIMIT_SECONDS)
            # What fails keeps no connection from its close.
            self.assertEqual("CLOSE" not in steps.get("close", ""), closed)

    def test_signals(self) -> None:
        self.check_end(0, "SIGTERM")
        interrupt = "os.kill(os.getpid(), signal.SIGINT)"
        self.check_end(0, "SIGINT", start=interrupt)
        self.check_end(0, "SIGINT", start=interrupt, drain=TERMINATE)
        self.check_end(0, "SIGTERM", close=TERMINATE)

    def test_errors(self) -> None:
        for error in ("MemoryError", "asyncio.CancelledError", "OSError"):
            step = f"raise {error}('x')"
            self.check_end(3, "start failed", start=step)
            self.check_end(1, "drain failed", drain=step)
            self.check_end(1, "close failed", close=f"print('CLOSE'); {step}")

    def test_the_first_error_is_named(self) -> None:
        _, events, _ = run_steps(
            drain="raise ValueError('secret')", close="raise KeyError"
        )
        fields = events[-1]["fields"]
        self.assertEqual("ValueError", fields["exception"])
        self.assertTrue(fields["frames"][-1].startswith("<string>:"))
        self.assertNotIn("secret", json.dumps(events))

    def test_exits_of_the_event_loop(self) -> None:
        for step in (
            "asyncio.get_running_loop().call_soon(sys.exit); await Future()",
            "sys.exit(5)",
            "raise KeyboardInterrupt",
        ):
            with self.subTest(step=step):
                returncode, events, _ = run_steps(start=step)
                self.assertEqual(1, returncode)
                self.assertEqual("process ended", events[-1]["event"])
                fields = events[-1]["fields"]
                self.assertEqual("program failed", fields["reason"])

    def test_a_signal_that_the_event_loop_misses(self) -> None:
        """Send SIGTERM while the loop isn't notified of signals."""
        status, events, _ = run_steps(
            start="signal.set_wakeup_fd(-1); " + TERMINATE
        )
        self.assertEqual(0, status)
        self.assertEqual("SIGTERM", events[-1]["fields"]["reason"])


class CrashTest(unittest.TestCase):
    """Guards against crashes of compiled code that leave no trace."""

    CRASH: Final = "sys.stdout.flush(); faulthandler._sigsegv()"

    def run_crash(self, output: int) -> int:
        """Crash a service that writes to an output; return its status."""
        process = subprocess.run(
            (sys.executable, "-c", PROGRAM.replace("START", self.CRASH)),
            check=False,
            stdout=output,
            stderr=output,
            timeout=WAIT_LIMIT_SECONDS,
        )
        return process.returncode

    def test_a_crash_is_written_to_the_log(self) -> None:
        with tempfile.TemporaryFile() as log:
            self.assertEqual(-signal.SIGSEGV, self.run_crash(log.fileno()))
            log.seek(0)
            text = log.read().decode()
        self.assertIn("Segmentation fault", text)
        self.assertIn("in start", text)

    def test_a_full_pipe_does_not_hold_it_up(self) -> None:
        reading_end, writing_end = os.pipe()
        self.addCleanup(os.close, reading_end)
        self.addCleanup(os.close, writing_end)
        os.set_blocking(writing_end, False)
        try:
            while True:
                os.write(writing_end, b"x" * 4096)
        except BlockingIOError:
            os.set_blocking(writing_end, True)
        self.assertEqual(-signal.SIGSEGV, self.run_crash(writing_end))


class EndMarkerTest(unittest.TestCase):
    """Guards against a start that doesn't know, or fails by the marker."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_what_the_next_process_learns(self) -> None:
        first = EndMarker(self.folder)
        self.assertIsNone(first.start(NOW))
        killed = EndMarker(self.folder).start(NOW)
        assert killed is not None
        self.assertEqual("", killed.reason)
        second = EndMarker(self.folder)
        second.start(NOW)
        second.end(NOW, "SIGTERM")
        stopped = EndMarker(self.folder).start(NOW)
        assert stopped is not None
        self.assertEqual("SIGTERM", stopped.reason)

    def test_a_late_end_does_not_hide_the_next_process(self) -> None:
        first, second = EndMarker(self.folder), EndMarker(self.folder)
        first.start(NOW)
        second.start(NOW.replace(year=2027))
        first.end(NOW, "SIGTERM")
        former = EndMarker(self.folder).start(NOW)
        assert former is not None
        self.assertEqual("", former.reason)

    def test_a_disk_that_fails_leaves_it_unknown(self) -> None:
        missing = EndMarker(self.folder / "missing")
        self.assertIsNone(missing.start(NOW))
        missing.end(NOW, "SIGTERM")
        for content in (b"", b"\xff{", b"[]", b"{" * 10_000):
            (self.folder / MARKER_FILE).write_bytes(content)
            self.assertIsNone(EndMarker(self.folder).start(NOW))


class FormerProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against ends by the kernel that the next start doesn't tell."""

    async def start(self, fleet: PlatformFleet, address: str) -> str:
        """Start a control host; return its log of this run."""
        path = fleet.folder / address / "log"
        size = path.stat().st_size if path.exists() else 0
        await fleet.start(address)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while True:
                text = path.read_text()[size:]
                if '"started"' in text and (
                    size == 0 or '"last process' in text
                ):
                    return text
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def test_a_control_host_tells_how_it_ended_last(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PlatformFleet(Path(folder.name))
        self.addAsyncCleanup(fleet.close)
        address = fleet.controls[0]
        fleet.controls = (address,)
        self.assertNotIn("last process", await self.start(fleet, address))
        await fleet.stop(address, signal.SIGKILL)
        text = await self.start(fleet, address)
        self.assertIn("last process did not end in order", text)
        self.assertEqual(0, await fleet.stop(address, signal.SIGTERM))
        last_line = fleet.read_log(address).splitlines()[-1]
        self.assertEqual("process ended", json.loads(last_line)["event"])
        text = await self.start(fleet, address)
        self.assertIn("last process ended in order", text)

    async def test_a_node_tells_that_its_last_process_is_a_member(
        self,
    ) -> None:
        cluster = HostCluster([echo_body])
        with capture_events() as events:
            await cluster.start()
            self.addAsyncCleanup(cluster.close)
            node = cluster.nodes[0]
            member = replace(
                node._create_member(), incarnation=1, state=MemberState.SERVING
            )
            for index in (2, 3):
                node._apply_feed(
                    FeedSnapshot(
                        index, 1, None, cluster.tables, (), (member,), {}, ()
                    )
                )
        text = events.getvalue()
        self.assertEqual(1, text.count("last process of this node is still"))


@dataclass(frozen=True, slots=True, order=True)
class Step:
    """A function that a part of a stop calls, with the caller's name."""

    caller: str
    module: str
    called: str


class StopFaultTestCase(DrainTestCase):
    """Base of tests in which a step of a stop fails."""

    # Parts of a stop are the functions of this file that these call.
    file: ClassVar[str]
    stop_functions: ClassVar[tuple[Any, ...]]
    # Their errors come from the steps that they run.
    GUARD_FILES: Final = (_tasks.__file__,)
    # Called by the event loop in its debug mode, and by a finalizer.
    IGNORED_MODULES: Final = ("traceback", "_weakrefset")
    # Without these, callers can't get an answer.
    answering_steps: ClassVar[tuple[str, ...]] = ()
    steps_min: ClassVar[int]

    async def asyncSetUp(self) -> None:
        self.addCleanup(sys.settrace, None)
        self.failed_steps = 0

    async def check_stop(
        self,
        stop: Callable[[Service], Awaitable[None]],
        *,
        answered: bool = True,
    ) -> None:
        """Stop a service; check what its callers get."""
        raise NotImplementedError

    async def stop(self, service: Service) -> None:  # type: ignore[override]
        """Drain and close a service, whatever the drain raises."""
        run = ServiceRun(service, "host-0")
        await run._guard("drain", service.drain(timedelta(0)))
        await run._guard("close", service.close())

    async def collect_steps(self) -> list[Step]:
        """Return all functions that parts of a stop call."""
        steps: set[Step] = set()

        def trace(frame: FrameType, event: str, arg: object) -> None:
            del arg
            step = self.find_step(frame)
            if event == "call" and step is not None:
                steps.add(step)

        async def stop(service: Service) -> None:
            sys.settrace(trace)
            await self.stop(service)
            sys.settrace(None)

        await self.check_stop(stop)
        return sorted(steps)

    def find_step(self, frame: FrameType) -> Step | None:
        """Return the step that a new frame belongs to, if it is one."""
        caller = self.find_caller(frame)
        code = frame.f_code
        if (
            caller is None
            or caller.f_code.co_filename != self.file
            or code.co_filename in self.GUARD_FILES
            or code.co_name.startswith("<")
            or frame.f_globals.get("__name__") in self.IGNORED_MODULES
            or not self.is_part_of_stop(caller)
        ):
            return None
        return Step(
            caller.f_code.co_qualname,
            frame.f_globals.get("__name__", ""),
            code.co_qualname,
        )

    def find_caller(self, frame: FrameType) -> FrameType | None:
        """Return the frame that called another, not counting guards."""
        caller = frame.f_back
        while caller is not None and (
            caller.f_code.co_filename in self.GUARD_FILES
        ):
            caller = caller.f_back
        return caller

    def is_part_of_stop(self, frame: FrameType) -> bool:
        """Return whether a drain or close has called a frame."""
        codes = [function.__code__ for function in self.stop_functions]
        ancestor: FrameType | None = frame
        while ancestor is not None:
            if ancestor.f_code in codes:
                return True
            ancestor = ancestor.f_back
        return False

    async def check_steps_that_fail_once(self) -> None:
        """Stop once for each step, which fails the first time."""
        steps = await self.collect_steps()
        self.assertGreater(len(steps), self.steps_min)
        for step in steps:
            with self.subTest(step=step):
                await self.check_stop(partial(self.fail_once, step))
        # A few depend on which event comes first.
        self.assertGreater(self.failed_steps, 0.9 * len(steps))

    def prepare_failure(self) -> None:
        """Do what a test does as a step is called that will fail."""

    async def fail_once(self, step: Step, service: Service) -> None:
        """Stop a service; the first call of a step raises an error."""

        def trace(frame: FrameType, event: str, arg: object) -> None:
            # The interpreter stops tracing as an error comes out of here.
            del arg
            if event == "call" and self.find_step(frame) == step:
                self.prepare_failure()
                raise MemoryError

        sys.settrace(trace)
        try:
            await self.stop(service)
        finally:
            self.failed_steps += sys.gettrace() is None
            sys.settrace(None)

    async def check_steps_that_fail_always(self) -> None:
        """Stop once for each step, which fails each time."""
        steps = [
            step
            for step in await self.collect_steps()
            if "<locals>" not in step.called
            and step.called not in self.answering_steps
        ]
        self.assertGreater(len(steps), self.steps_min)
        for step in steps:
            with self.subTest(step=step):
                await self.check_stop(
                    partial(self.fail_always, step), answered=False
                )
        self.assertGreater(self.failed_steps, 0.9 * len(steps))

    def find_module(self) -> Any:
        """Return the module of the parts of a stop."""
        return sys.modules[self.stop_functions[0].__module__]

    async def fail_always(self, step: Step, service: Service) -> None:
        """Stop a service; each call of a step by a caller raises an error."""
        *owner_names, name = step.called.split(".")
        owner: Any = sys.modules[step.module]
        for owner_name in owner_names:
            owner = getattr(owner, owner_name)
        if not owner_names and hasattr(self.find_module(), name):
            owner = self.find_module()
        if step.module == "asyncio.tasks":
            owner = asyncio
        original = inspect.getattr_static(owner, name)
        is_property = isinstance(original, property)
        function: Any = original.fget if is_property else original
        failed = False

        def fail(*args: Any, **kwargs: Any) -> Any:
            nonlocal failed
            caller = self.find_caller(sys._getframe())
            if (
                caller is not None
                and caller.f_code.co_qualname == step.caller
                and self.is_part_of_stop(caller)
            ):
                failed = True
                raise MemoryError
            return function(*args, **kwargs)

        with patch.object(
            owner, name, property(fail) if is_property else fail
        ):
            await self.stop(service)
        self.failed_steps += failed


class StopFaultTest(StopFaultTestCase):
    """Guards against a step of a stop that fails and skips the others.

    Callers of the requests in progress would get no answer, as the end of
    the process closes their connections.
    """

    # Of a stop. Runs that never end are refused at five sixths of it.
    TIME_LIMIT: Final = timedelta(seconds=0.5)
    file = _host_node.__file__
    stop_functions = (HostNode.drain, HostNode.close)
    answering_steps = ("HostNode._refuse_unfinished", "Ingress.refuse_pending")
    steps_min = 50

    async def prepare(self) -> HostCluster:
        """Start two hosts, and requests that are in progress on the first.

        Its server runs its callers' requests and a call of the other host,
        and there are more than it has slots for.
        """
        cluster = await self.start_cluster(
            ignore_request, time_limit=self.TIME_LIMIT
        )
        for index, slots in enumerate((2, 8)):
            cluster.report_server(index, 2, slots=slots)
        return cluster

    async def check_stop(
        self,
        stop: Callable[[Service], Awaitable[None]],
        *,
        answered: bool = True,
    ) -> None:
        """Stop the first host as its program does; check what callers get."""
        del answered  # Requests are answered whichever step fails.
        cluster = await self.prepare()
        node = cluster.nodes[0]
        connections = [await cluster.connect() for _ in range(7)]
        (_, idle_writer), *in_use = connections
        for index, (_, writer) in enumerate(in_use):
            writer.write(
                format_request(f"/slow/{index}", method="POST", body=b"x")
            )
        results: list[RunResult | None] = []
        cluster.nodes[1]._start_call("host-0", CALL, results.append)
        await self.wait_until(
            lambda: (
                node._ingress.pending_request_count == len(in_use)
                and node._executor.busy
            )
        )
        await self.wait_until(lambda: self.count_runs(cluster) > 0)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await stop(node)
            answers = [await read_response(reader) for reader, _ in in_use]
            for reader, _ in connections:
                self.assertEqual(b"", await reader.read())
        run_targets = {
            request.head.split()[1].decode()
            for server in cluster.servers
            for request in server.received
        }
        for index, answer in enumerate(answers):
            # 503 says that a request hasn't run.
            has_run = f"/slow/{index}" in run_targets
            self.assertIn(answer.status, (502,) if has_run else (502, 503))
        await self.wait_until(lambda: results)
        with self.assertRaises(OSError):
            await cluster.connect()
        for _, writer in connections:
            writer.close()
        idle_writer.close()
        await cluster.close()

    async def test_each_step_fails_once(self) -> None:
        await self.check_steps_that_fail_once()

    async def test_each_step_fails_always(self) -> None:
        await self.check_steps_that_fail_always()


class StartFaultTest(StopFaultTestCase):
    """Guards against a start that ends with requests read and not answered.

    A step of it fails, or a signal comes as it is called.
    """

    file = _host_node.__file__
    stop_functions = (HostNode.start,)
    steps_min = 4

    async def stop(self, service: Service) -> None:  # type: ignore[override]
        """Run a service from its start to its end."""
        run = ServiceRun(service, "host-0")
        await run.run()
        self.reasons.append(run.reason)

    async def check_stop(
        self,
        stop: Callable[[Service], Awaitable[None]],
        *,
        answered: bool = True,
    ) -> None:
        """Run a node, and send it requests from the first moment on."""
        del answered
        self.reasons: list[str] = []
        (port,) = find_free_ports(1)
        node = HostCluster(
            [echo_body], shutdown_time_limit=timedelta(seconds=0.5)
        )._create_node(0)
        node._settings = replace(
            node._settings, caller_endpoint=Endpoint(LOCALHOST, port)
        )
        self.port = port
        self.connection: socket.socket | None = None
        ending = asyncio.get_running_loop().call_later(
            0.2, os.kill, os.getpid(), signal.SIGTERM
        )
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await stop(node)
        # The program now ends at once.
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((LOCALHOST, port))
        ending.cancel()
        self.assertIn(self.reasons, (["start failed"], ["SIGTERM"]))
        if self.connection is not None:
            self.connection.settimeout(WAIT_LIMIT_SECONDS)
            answer = self.connection.recv(4096)
            self.assertEqual(b"HTTP/1.1 503", answer[:12])
            self.connection.close()

    def prepare_failure(self) -> None:
        """Send a request as the step is called, if the node listens."""
        with suppress(ConnectionRefusedError):
            self.connection = socket.create_connection((LOCALHOST, self.port))
            self.connection.sendall(
                format_request("/slow/1", method="POST", body=b"x")
            )

    async def test_each_step_fails_once(self) -> None:
        await self.check_steps_that_fail_once()

    async def test_a_signal_comes_at_each_step(self) -> None:
        for step in await self.collect_steps():
            with self.subTest(step=step):
                await self.check_stop(partial(self.signal_once, step))
                self.assertEqual(["SIGTERM"], self.reasons)

    async def signal_once(self, step: Step, service: Service) -> None:
        """Run a service; two signals come as a step is called."""

        def trace(frame: FrameType, event: str, arg: object) -> None:
            del arg
            if event == "call" and self.find_step(frame) == step:
                sys.settrace(None)
                self.prepare_failure()
                os.kill(os.getpid(), signal.SIGTERM)
                os.kill(os.getpid(), signal.SIGINT)

        sys.settrace(trace)
        await self.stop(service)
        sys.settrace(None)


class EventFaultTest(DrainTestCase):
    """Guards against an event whose error costs more than its own request.

    Those of other connections are answered, and the node goes on.
    """

    CONNECTIONS: Final = 4
    # After an error, a request without an answer has lost its connection.
    ANSWER_SECONDS: Final = 5.0
    REQUEST: Final = format_request("/slow/1", method="POST", body=b"x")
    # Of connections to servers and other nodes.
    OPENING_HANDLERS: Final = (
        "BackendConnection.connection_made",
        "BackendPool._open",
        "FrameConnection._flush",
        "MeshLink._connect",
        "MeshServer._accept",
    )
    # Catches errors of what it calls, ``MeshServer._accept`` among them. One
    # at its entry can't be caught.
    GUARD: Final = "open_listener.<locals>.create_protocol_or_close"
    PACKAGE: Final = Path(_host_node.__file__).parent.name

    async def asyncSetUp(self) -> None:
        self.addCleanup(sys.settrace, None)

    async def check_event(self, trace: Callable[..., Any] | None) -> None:
        """Send requests while events are traced; check their answers."""
        cluster = await self.start_cluster(
            respond_later, time_limit=timedelta(seconds=0.5)
        )
        connections = [
            await cluster.connect(index % 2)
            for index in range(self.CONNECTIONS)
        ]
        sys.settrace(trace)
        for _, writer in connections:
            writer.write(self.REQUEST)
        outcomes = await asyncio.gather(
            *(self.read_outcome(reader) for reader, _ in connections)
        )
        sys.settrace(None)
        # At most the connection of the event, or the link between nodes.
        self.assertNotIn("no answer", outcomes)
        self.assertGreaterEqual(outcomes.count("200"), 1)
        for host in (0, 1):
            response = await cluster.send_request(
                "/slow/2", method="POST", body=b"x", host=host
            )
            self.assertEqual(200, response.status)
        for _, writer in connections:
            writer.close()
        await self.expect_nothing_held(cluster)
        await cluster.close()

    async def expect_nothing_held(self, cluster: HostCluster) -> None:
        """Expect that no charge remains, once links have read it all."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while any(node._memory.held_bytes for node in cluster.nodes):  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def read_outcome(self, reader: asyncio.StreamReader) -> str:
        """Return the status of an answer, or how it was missed."""
        try:
            async with asyncio.timeout(self.ANSWER_SECONDS):
                return str((await read_response(reader)).status)
        except TimeoutError:
            return "no answer"
        except (asyncio.IncompleteReadError, ConnectionError):
            return "closed"

    def find_event(self, frame: FrameType) -> str | None:
        """Return the handler that an event loop calls in a new frame."""
        caller = frame.f_back
        if caller is not None and self.is_of_package(caller):
            return None
        return frame.f_code.co_qualname if self.is_of_package(frame) else None

    def is_of_package(self, frame: FrameType) -> bool:
        """Return whether a frame is one of this package."""
        return Path(frame.f_code.co_filename).parent.name == self.PACKAGE

    async def collect_handlers(self) -> list[str]:
        """Return all handlers of events that the requests cause."""
        handlers: set[str] = set()

        def collect(frame: FrameType, event: str, arg: object) -> None:
            del arg
            handler = self.find_event(frame)
            if event == "call" and handler is not None:
                handlers.add(handler)

        await self.check_event(collect)
        return sorted(handlers)

    async def check_handlers(self, handlers: list[str]) -> None:
        """Send requests once for each handler, which fails once."""
        for handler in handlers:
            with self.subTest(handler=handler):
                await self.check_event(partial(self.raise_in, handler))

    async def test_each_handler_fails_once(self) -> None:
        handlers = await self.collect_handlers()
        self.assertGreater(len(handlers), 8)
        excluded = (*self.OPENING_HANDLERS, self.GUARD)
        await self.check_handlers(
            [name for name in handlers if name not in excluded]
        )

    async def test_each_handler_of_opened_connections_fails_once(self) -> None:
        await self.check_handlers(list(self.OPENING_HANDLERS))

    def raise_in(
        self, handler: str, frame: FrameType, event: str, arg: object
    ) -> None:
        """Raise an error as a handler is called for the first time.

        Other functions may call those of opened connections.
        """
        del arg
        if event != "call" or not self.is_of_package(frame):
            return
        is_event = self.find_event(frame) is not None
        if frame.f_code.co_qualname == handler and (
            is_event or handler in self.OPENING_HANDLERS
        ):
            raise MemoryError


class AcceptFaultTest(unittest.TestCase):
    """Guards against a listener that accepts nothing after one error.

    uvloop stops to accept if the creation of a protocol fails.
    """

    def test_the_next_connection_is_accepted(self) -> None:
        uvloop.run(self.check_connections())

    async def check_connections(self) -> None:
        """Connect twice; the first protocol can't be created."""
        errors = [MemoryError()]
        served = asyncio.Event()

        def create_protocol() -> asyncio.Protocol:
            if errors:
                raise errors.pop()
            served.set()
            return asyncio.Protocol()

        listener = await open_listener(create_protocol, LOCALHOST, 0)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            reader, first = await asyncio.open_connection(
                LOCALHOST, listener.port
            )
            self.assertEqual(b"", await reader.read())
            _, second = await asyncio.open_connection(LOCALHOST, listener.port)
            await served.wait()
        first.close()
        second.close()
        listener.server.close()


class DescriptorsUsedUpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a lack of descriptors that costs kept connections."""

    LIMIT: Final = 40
    REQUEST: Final = b"GET /read/1 HTTP/1.1\r\nHost: any\r\n\r\n"

    async def test_kept_connections_are_served(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PlatformFleet(Path(folder.name))
        self.addAsyncCleanup(fleet.close)
        address = "127.0.2.1"
        await fleet.start(address)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while '"started"' not in fleet.read_log(address):  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        process = fleet.processes[address]
        limits = (self.LIMIT, self.LIMIT)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        kept = await asyncio.open_connection(address, fleet.outbound_port)
        await self.check_answer(*kept)
        others = [
            await asyncio.open_connection(address, fleet.outbound_port)
            for _ in range(2 * self.LIMIT)
        ]
        for _ in range(5):
            await self.check_answer(*kept)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for _, writer in others:
            writer.close()
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        new = await asyncio.open_connection(address, fleet.outbound_port)
        await self.check_answer(*new)
        kept[1].close()
        new[1].close()
        self.assertEqual(0, await fleet.stop(address, signal.SIGTERM))

    async def check_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send a request and check that it is answered."""
        writer.write(self.REQUEST)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            self.assertEqual(503, (await read_response(reader)).status)


class ControlStopFaultTest(StopFaultTestCase):
    """Guards against a failed step that cuts off an operator's edit."""

    file = _control.__file__
    stop_functions = (Control.drain, Control.close)
    steps_min = 7

    async def check_stop(
        self,
        stop: Callable[[Service], Awaitable[None]],
        *,
        answered: bool = True,
    ) -> None:
        """Stop a control host while it writes an edit to its disk."""
        real_fsync = os.fsync
        written = threading.Event()

        def sync_slowly(descriptor: int) -> None:
            written.set()
            time.sleep(0.2)
            real_fsync(descriptor)

        (port,) = find_free_ports(1)
        endpoint = Endpoint(LOCALHOST, port)
        with tempfile.TemporaryDirectory() as folder:
            control = Control(
                ControlSettings(
                    name="control-1",
                    domain="north",
                    region="south",
                    data=Path(folder),
                    listen=endpoint,
                    replicas={"control-1": endpoint},
                    secrets=None,
                ),
                ProcessClock(),
                Random(1),
            )
            await control.start()
            await self.wait_until(lambda: control._leadership is not None)
            with patch("os.fsync", sync_slowly):
                edit = asyncio.create_task(self.send_edit(port))
                await self.wait_until(
                    lambda: control._calls_in_progress and written.is_set()
                )
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    await stop(control)
                    answer = await edit
            if answered:
                self.assertEqual(EditOutcome.ACCEPTED, answer)
            with self.assertRaises(OSError):
                await asyncio.open_connection(LOCALHOST, port)
            # Whatever a failed step has left open.
            await control.close()

    async def send_edit(self, port: int) -> EditOutcome | None:
        """Return the outcome of an edit, None if the call was cut off."""
        try:
            answer = await Channel(
                LOCALHOST, port, create_control_codec()
            ).call(
                CALL_PATH,
                ApplyRequest("edit-1", "operator", 0, Tables()),
                proof=TrustedNetwork("operator", Role.OPERATOR).create_proof(),
                timeout_seconds=WAIT_LIMIT_SECONDS,
            )
        except (SeamError, StreamEndedError):
            return None
        assert isinstance(answer, EditAnswer)
        return answer.outcome

    async def test_each_step_fails_once(self) -> None:
        await self.check_steps_that_fail_once()

    async def test_each_step_fails_always(self) -> None:
        await self.check_steps_that_fail_always()


@contextmanager
def capture_events() -> Iterator[io.StringIO]:
    """Log to memory."""
    stream = io.StringIO()
    configure_logging(Level.INFO, stream)
    try:
        yield stream
    finally:
        configure_logging(Level.INFO)


if __name__ == "__main__":
    unittest.main()
