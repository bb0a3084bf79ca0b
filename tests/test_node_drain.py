"""Tests of planned stops of ``sequoiaseam-node``, in this process."""

import asyncio
import json
import socket
import unittest
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any, ClassVar, Final
from unittest.mock import patch

import aiohttp
from bench.processes import find_free_ports

from sequoiaseam._access import Credentials, Role
from sequoiaseam._clock import ProcessClock
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._feed import FeedSnapshot
from sequoiaseam._frames import RefusalFrame, create_frame_codec
from sequoiaseam._members import MemberGone
from sequoiaseam._node import Node
from sequoiaseam._peers import PEER_PATH, PROOF_HEADER
from sequoiaseam._settings import Endpoint, NodeSettings, Secrets
from sequoiaseam._tables import Pool, Route, Tables
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode, RefusalError
from tests.builders import build_call_frame
from tests.hosts import (
    HOUR,
    LOCALHOST,
    METHODS,
    Response,
    ScriptedServer,
    echo_body,
    format_request,
    read_response,
)
from tests.test_drain import (
    LARGE_BODY,
    ignore_request,
    respond_later,
    respond_with_large_body,
)

WAIT_LIMIT_SECONDS: Final = 20.0
POLL_INTERVAL_SECONDS: Final = 0.01
# Ends shortly after other nodes have learned of the drain.
DRAIN_TIMEOUT: Final = timedelta(seconds=2.5)
SECRETS: Final = Secrets((b"x" * 32,), (b"y" * 32,))
SLOTS: Final = 2
# Without workspaces, whose rates the control hosts grant.
OPEN_TABLES: Final = Tables(
    routes={
        "slow": Route(
            "slow",
            "/slow/",
            "store",
            METHODS,
            open=True,
            idempotent=False,
            timeout=timedelta(minutes=1),
        )
    },
    pools={"store": Pool("store", slots=SLOTS, warmup=timedelta(0))},
    workspaces={},
)
QUEUED_CALLS: Final = 2
REQUEST: Final = format_request("/slow/1", method="POST", body=b"x", key=None)
CALL: Final = build_call_frame("slow", "store", "/slow/1")


class NodeDrainTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that stop a node with one backend server."""

    drain_timeout: ClassVar = DRAIN_TIMEOUT

    async def asyncSetUp(self) -> None:
        self.server = ScriptedServer(ignore_request)
        await self.server.start()
        self.addCleanup(self.server.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        endpoints = [Endpoint(LOCALHOST, port) for port in find_free_ports(3)]
        self.callers, self.peers, self.local = endpoints
        self.clock = ProcessClock()
        self.node = Node(
            NodeSettings(
                name="node-1",
                domain="north",
                region="south",
                callers=self.callers,
                peers=self.peers,
                local=self.local,
                metrics=None,
                control_hosts={},
                secrets=SECRETS,
                drain_timeout=self.drain_timeout,
            ),
            self.clock,
            Random(1),
        )
        await self.node.start()
        member = Member(
            "node-1",
            self.node.incarnation,
            LOCALHOST,
            self.peers.port,
            "store",
            "north",
            "south",
            MemberState.SERVING,
            SLOTS,
        )
        self.node._apply_feed(
            FeedSnapshot(1, 1, None, OPEN_TABLES, (), (member,), {}, ())
        )
        self.node.view.fresh_until = self.clock.now() + HOUR
        await self.announce()
        self.announcing = asyncio.create_task(self.announce_regularly())
        self.addCleanup(self.announcing.cancel)

    async def announce(self) -> None:
        """Announce the backend server to the node."""
        async with self.session.put(
            f"http://{self.local}/v1/backend",
            data=json.dumps(
                {
                    "pool": "store",
                    "url": f"http://{LOCALHOST}:{self.server.port}",
                    "slots": SLOTS,
                }
            ),
        ) as response:
            self.assertEqual(response.status, 200)

    async def announce_regularly(self) -> None:
        """Announce the backend server until the node has stopped."""
        while True:
            await asyncio.sleep(1)
            await self.announce()

    async def stop(self) -> None:
        """Drain and close the node, as its program does on SIGTERM."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await self.node.drain()
            await self.node.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_until_active(self, count: int) -> None:
        """Wait until the node runs or queues a number of calls."""
        await self.wait_until(
            lambda: self.node.executor._active_calls == count
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection."""
        reader, writer = await asyncio.open_connection(
            LOCALHOST, self.callers.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def send_request(self) -> Response:
        """Send a caller's request and return the response."""
        reader, writer = await self.connect()
        writer.write(REQUEST)
        return await read_response(reader)

    async def connect_peer(self) -> aiohttp.ClientWebSocketResponse:
        """Open a connection as another node does."""
        proof = Credentials(SECRETS.fleet, ()).sign(
            self.clock.now(), Role.FLEET, "node-2", "1"
        )
        return await self.session.ws_connect(
            f"http://{self.peers}{PEER_PATH}", headers={PROOF_HEADER: proof}
        )


class TimeLimitTest(NodeDrainTestCase):
    """Guards against requests cut without an answer at the time limit."""

    async def test_requests_of_callers_are_answered(self) -> None:
        """Refuse as not run only what hasn't reached the server."""
        count = SLOTS + QUEUED_CALLS
        tasks = []
        for active in range(1, count + 1):
            tasks.append(asyncio.create_task(self.send_request()))
            await self.wait_until_active(active)
        await self.stop()
        responses = await asyncio.gather(*tasks, return_exceptions=True)
        verdicts = [
            json.loads(response.body)["verdict"]
            if isinstance(response, Response)
            else repr(response)
            for response in responses
        ]
        runs = len(self.server.received)
        self.assertEqual(
            sorted(verdicts),
            sorted(
                [Verdict.MAY_HAVE_RUN.value] * runs
                + [Verdict.NOT_RUN.value] * (count - runs)
            ),
        )

    async def test_calls_of_other_nodes_are_answered(self) -> None:
        """Refuse the queued calls as not run, so that others may run them."""
        codec = create_frame_codec()
        peer = await self.connect_peer()
        count = SLOTS + QUEUED_CALLS
        for _ in range(count):
            await peer.send_bytes(codec.encode(CALL))
        await self.wait_until_active(count)
        stop = asyncio.create_task(self.stop())
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            results = [codec.decode(message.data) async for message in peer]
        await stop
        verdicts = [
            result.verdict
            for result in results
            if isinstance(result, RefusalFrame)
            and result.code is ErrorCode.DRAINING
        ]
        runs = len(self.server.received)
        self.assertEqual(verdicts.count(Verdict.MAY_HAVE_RUN), runs)
        self.assertEqual(verdicts.count(Verdict.NOT_RUN), count - runs)


class LateRequestTest(NodeDrainTestCase):
    """Guards against requests cut at the end of a drain."""

    async def test_a_request_during_the_leave_is_answered_or_not_run(
        self,
    ) -> None:
        """Send a request on an open connection as the node leaves."""
        self.server.handler = respond_later
        reader, writer = await self.connect()
        writer.write(REQUEST)
        self.assertEqual((await read_response(reader)).status, 200)
        original_post = self.node._uplink.post

        def post(message: Any) -> bool:
            if isinstance(message, MemberGone):
                writer.write(REQUEST)
            return original_post(message)

        self.node._uplink.post = post  # type: ignore[method-assign]
        await self.stop()
        try:
            status = (await read_response(reader)).status
        except (ConnectionError, asyncio.IncompleteReadError):
            status = 0
        self.assertEqual(len(self.server.received), 1 + int(status == 200))


class OwedRequestTest(NodeDrainTestCase):
    """Guards against late requests that a drain breaks off at its end.

    Their callers could have sent them to another node.
    """

    drain_timeout: ClassVar = timedelta(seconds=4)

    async def asyncSetUp(self) -> None:
        """Let another node run the requests, as a drain begins."""
        await super().asyncSetUp()
        members = [
            Member(
                name,
                1,
                LOCALHOST,
                self.peers.port,
                "store",
                "north",
                "south",
                state,
                SLOTS,
            )
            for name, state in (
                ("node-1", MemberState.DRAINING),
                ("node-2", MemberState.SERVING),
            )
        ]
        self.node._apply_feed(
            FeedSnapshot(2, 1, None, OPEN_TABLES, (), tuple(members), {}, ())
        )

    async def send_late(self, timeout_ms: int) -> tuple[Response, int]:
        """Send a request on a connection that was open before the drain.

        Return the response and the number of calls to the other node.
        """
        calls: list[Any] = []

        async def call(name: str, frame: Any) -> Any:
            calls.append(name)
            await asyncio.sleep(frame.remaining_us / 1e6)
            raise RefusalError(ErrorCode.TIMEOUT, "no answer in time")

        running = asyncio.create_task(self.send_request())
        with patch.object(self.node._peer_links, "call", call):
            await self.wait_until(lambda: bool(calls))
            reader, writer = await self.connect()
            stop = asyncio.create_task(self.stop())
            drain_filter = self.node._drain_filter
            await self.wait_until(lambda: drain_filter.ends_at is not None)
            calls.clear()
            writer.write(
                format_request(
                    "/slow/1",
                    f"Sequoiaseam-Timeout-Ms: {timeout_ms}",
                    method="POST",
                    body=b"x",
                    key=None,
                )
            )
            async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                response = await read_response(reader)
            await stop
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        return response, len(calls)

    async def test_a_request_that_may_outlast_the_drain_does_not_run(
        self,
    ) -> None:
        response, calls = await self.send_late(60_000)
        self.assertEqual((response.status, calls), (503, 0))
        verdict = json.loads(response.body)["verdict"]
        self.assertEqual(verdict, Verdict.NOT_RUN.value)

    async def test_a_request_that_ends_within_the_drain_runs(self) -> None:
        response, calls = await self.send_late(500)
        code = json.loads(response.body)["code"]
        self.assertEqual((code, calls), (ErrorCode.TIMEOUT.value, 1))


class UnreadRequestTest(NodeDrainTestCase):
    """Guards against requests that a stop resets before they are read.

    While the event loop is late, requests wait in the kernel, also those on
    connections that it has yet to accept.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server.handler = respond_later

    def open_connection(self) -> socket.socket:
        """Connect as a caller without letting the event loop run."""
        connection = socket.create_connection((LOCALHOST, self.callers.port))
        self.addCleanup(connection.close)
        return connection

    async def stop_after(
        self, step: str, connection: socket.socket | None
    ) -> int:
        """Stop the node and send a request right before a step of the stop.

        It is sent on a new connection if there is none. Return the status of
        the response.
        """
        original = getattr(self.node, step)
        connections = [connection] if connection is not None else []

        async def send_first() -> None:
            if not connections:
                connections.append(self.open_connection())
            connections[0].sendall(REQUEST)
            await original()

        with patch.object(self.node, step, send_first):
            await self.stop()
        reader, _ = await asyncio.open_connection(sock=connections[0])
        return (await read_response(reader)).status

    async def test_a_request_on_a_connection_that_is_not_accepted(
        self,
    ) -> None:
        status = await self.stop_after("_stop_accepting_callers", None)
        self.assertEqual(status, 503)

    async def test_a_request_on_a_connection_that_is_closed_as_idle(
        self,
    ) -> None:
        connection = self.open_connection()
        await self.wait_until(lambda: self.count_caller_connections() == 1)
        status = await self.stop_after("_close_listeners", connection)
        self.assertEqual(status, 503)

    def count_caller_connections(self) -> int:
        """Return the number of callers' connections that are accepted."""
        runner = self.node._caller_runner
        assert runner is not None
        assert runner.server is not None
        return len(runner.server.connections)


class KeptConnectionTest(NodeDrainTestCase):
    """Guards against requests sent as a stop closes idle connections."""

    async def test_responses_close_their_connections_from_the_start(
        self,
    ) -> None:
        self.server.handler = echo_body
        reader, writer = await self.connect()
        writer.write(REQUEST)
        response = await read_response(reader)
        self.assertNotIn("connection: close", response.head.lower())
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(0)
        writer.write(REQUEST)
        response = await read_response(reader)
        self.assertIn("connection: close", response.head.lower())
        await stop


class OpenConnectionTest(NodeDrainTestCase):
    """Guards against stops that wait for connections to be closed."""

    async def test_a_connection_of_another_node(self) -> None:
        """Stop a node while one that doesn't know of it stays connected."""
        peer = await self.connect_peer()
        reader = asyncio.create_task(peer.receive())
        await self.stop()
        await reader

    async def test_a_response_that_is_not_read(self) -> None:
        self.server.handler = respond_with_large_body
        _, writer = await self.connect()
        writer.write(REQUEST)
        await self.wait_until(lambda: bool(self.server.received))
        await self.stop()


class SlowReaderTest(NodeDrainTestCase):
    """Guards against responses cut because their callers read slowly."""

    drain_timeout: ClassVar = timedelta(seconds=15)

    async def test_a_response_that_is_read_late(self) -> None:
        """Read a response after the last check of the drain."""
        self.server.handler = respond_with_large_body
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.wait_until(lambda: bool(self.server.received))
        stop = asyncio.create_task(self.stop())
        await self.wait_until(lambda: self.node._edge.closing)
        await asyncio.sleep(0.5)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            response = await read_response(reader)
        await stop
        self.assertEqual(len(response.body), len(LARGE_BODY))


if __name__ == "__main__":
    unittest.main()
