"""Tests of what a stopping node does with the connections of its callers."""

import asyncio
from datetime import timedelta
from typing import Final

from sequoiaseam._clock import ManualClock
from sequoiaseam._http_server import FIRST_REQUEST_TIMEOUT, HttpServer
from tests.hosts import (
    HostCluster,
    ReceivedRequest,
    Response,
    echo_body,
    format_request,
    read_response,
)
from tests.test_drain import (
    CALL,
    GRACE_PERIOD,
    WAIT_LIMIT_SECONDS,
    DrainTestCase,
    ignore_request,
)

# When a stop of GRACE_PERIOD ends if the node is idle, and when it refuses
# callers, in seconds after SIGTERM.
NOTICE_END_SECONDS: Final = 2.5
ADMISSION_END_SECONDS: Final = 2.75
# When it may break off runs at the earliest.
RUNS_END_SECONDS: Final = GRACE_PERIOD.total_seconds() * 5 / 6
# From the opening of a connection to its first request.
PAUSE_SECONDS: Final = FIRST_REQUEST_TIMEOUT.total_seconds() / 2

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ClosingConnectionTestCase(DrainTestCase):
    """Base of tests with callers that keep connections to a stopping node."""

    async def open(self, cluster: HostCluster) -> Connection:
        """Open a connection to the first node."""
        connection = await cluster.connect()
        self.addCleanup(connection[1].close)
        server = cluster.nodes[0]._http_server
        await self.wait_until(lambda: server.connections)
        return connection

    async def exchange(self, connection: Connection, path: str) -> Response:
        """Send a request on a connection and return the response."""
        reader, writer = connection
        writer.write(format_request(path))
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            return await read_response(reader)


class KeptConnectionTest(ClosingConnectionTestCase):
    """Guards against requests sent as a stop closes idle connections."""

    async def test_responses_close_their_connections_from_the_start(
        self,
    ) -> None:
        """Leave few connections that the end of the stop has to close."""
        cluster = await self.start_cluster(echo_body, time_limit=GRACE_PERIOD)
        connection = await self.open(cluster)
        response = await self.exchange(connection, "/read/1")
        self.assertNotIn("Connection: close", response.head)
        stop = asyncio.create_task(self.stop(cluster))
        await asyncio.sleep(0)
        response = await self.exchange(connection, "/read/2")
        self.assertIn("Connection: close", response.head)
        self.assertEqual(response.status, 200)
        await stop

    async def test_idle_connections_stay_open_until_the_end(self) -> None:
        """Send requests on idle connections before and after admission."""
        cluster = await self.start_cluster(
            ignore_request, echo_body, time_limit=GRACE_PERIOD
        )
        cluster.nodes[1]._start_call("host-0", CALL, lambda _: None)
        await self.wait_until(lambda: cluster.servers[0].received)
        connections = [await self.open(cluster) for _ in range(2)]
        stop = asyncio.create_task(self.stop(cluster))
        statuses: list[int] = []
        for connection, age in zip(connections, (2.6, 3.5), strict=True):
            await asyncio.sleep(age - len(statuses) * 2.6)
            response = await self.exchange(connection, "/read/1")
            statuses.append(response.status)
        self.assertEqual(statuses, [200, 503])
        cluster.servers[0].received[0].respond(200, b"whole")
        await stop


class NewConnectionTest(ClosingConnectionTestCase):
    """Guards against requests sent as a stop closes new connections."""

    async def test_the_first_request_is_awaited(self) -> None:
        """Connect as nothing else keeps the node from its end."""
        cluster = await self.start_cluster(echo_body, time_limit=GRACE_PERIOD)
        stop = asyncio.create_task(self.stop(cluster))
        await asyncio.sleep(NOTICE_END_SECONDS - PAUSE_SECONDS / 2)
        connection = await self.open(cluster)
        await asyncio.sleep(PAUSE_SECONDS)
        response = await self.exchange(connection, "/read/1")
        self.assertIn(response.status, (200, 503))
        await stop

    async def test_a_caller_that_sends_nothing_is_not_awaited_for_long(
        self,
    ) -> None:
        clock = ManualClock()
        cluster = await self.start_cluster(echo_body)
        server: HttpServer = cluster.nodes[0]._http_server
        server.clock = clock
        await self.open(cluster)
        self.assertTrue(server.busy)
        clock.advance(FIRST_REQUEST_TIMEOUT)
        self.assertFalse(server.busy)

    async def test_a_node_without_runs_stops_listening(self) -> None:
        """Keep the node busy with a request that another node runs."""
        cluster = await self.start_cluster(
            ignore_request, time_limit=GRACE_PERIOD
        )
        cluster.report_server(0, 2, leaving=True)
        running = asyncio.create_task(
            cluster.send_request("/slow/1", method="POST", body=b"x")
        )
        await self.wait_until(lambda: cluster.servers[1].received)
        stop = asyncio.create_task(self.stop(cluster))
        await asyncio.sleep(ADMISSION_END_SECONDS + PAUSE_SECONDS)
        with self.assertRaises(ConnectionRefusedError):
            await cluster.connect()
        cluster.servers[1].received[0].respond(200, b"whole")
        self.assertEqual((await running).status, 200)
        await stop

    async def test_a_node_whose_server_may_make_calls_listens(self) -> None:
        cluster = await self.start_cluster(
            ignore_request, echo_body, time_limit=GRACE_PERIOD
        )
        cluster.nodes[1]._start_call("host-0", CALL, lambda _: None)
        await self.wait_until(lambda: cluster.servers[0].received)
        stop = asyncio.create_task(self.stop(cluster))
        await asyncio.sleep(ADMISSION_END_SECONDS + PAUSE_SECONDS)
        response = await cluster.send_request(
            "/open/1", "X-Left-Ms: 500", key=None
        )
        self.assertEqual(response.status, 200)
        run: ReceivedRequest = cluster.servers[0].received[0]
        run.respond(200, b"whole")
        await stop

    async def test_a_node_with_runs_stops_listening_before_its_end(
        self,
    ) -> None:
        """Leave time for requests on connections that are accepted last."""
        cluster = await self.start_cluster(
            ignore_request, echo_body, time_limit=GRACE_PERIOD
        )
        cluster.nodes[1]._start_call("host-0", CALL, lambda _: None)
        await self.wait_until(lambda: cluster.servers[0].received)
        stop = asyncio.create_task(self.stop(cluster))
        await asyncio.sleep(RUNS_END_SECONDS - PAUSE_SECONDS / 2)
        connection = await self.open(cluster)
        await asyncio.sleep(PAUSE_SECONDS)
        with self.assertRaises(ConnectionRefusedError):
            await cluster.connect()
        response = await self.exchange(connection, "/read/1")
        self.assertEqual(response.status, 503)
        await stop


class DrainDurationTest(ClosingConnectionTestCase):
    """Guards against callers that hold up a stop by connecting."""

    async def test_callers_that_keep_connecting(self) -> None:
        """The stop ends once a node without runs has refused callers."""
        cluster = await self.start_cluster(echo_body, time_limit=GRACE_PERIOD)
        stopped = False

        async def send_requests() -> None:
            while not stopped:
                try:
                    await cluster.send_request("/read/1")
                except (ConnectionError, asyncio.IncompleteReadError):
                    await asyncio.sleep(PAUSE_SECONDS / 10)

        senders = [asyncio.create_task(send_requests()) for _ in range(4)]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self.stop(cluster)
        duration = timedelta(seconds=loop.time() - started_at)
        stopped = True
        await asyncio.gather(*senders)
        self.assertLess(duration, GRACE_PERIOD * 5 / 6)
