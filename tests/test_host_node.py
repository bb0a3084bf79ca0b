"""Tests of nodes over TCP connections with scripted servers."""

import asyncio
import gc
import tracemalloc
import unittest
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import Final, cast
from unittest.mock import patch

import tests.hosts
from sequoiaseam._announcements import ServerReport
from sequoiaseam._commands import LeavingServer, MemberState
from sequoiaseam._feed import FeedDelta
from sequoiaseam._host_call_executor import (
    FLEET_RETRIES_FRACTION,
    SERVER_RETRIES_MIN,
)
from sequoiaseam._ingress import choose_status, compute_slot_wait_limit
from sequoiaseam._logs import Level
from sequoiaseam._pressure import LEVEL_MAX, PoolPressure
from sequoiaseam._tables import (
    BODY_LIMIT_MAX_BYTES,
    CallerLimits,
    Workspace,
)
from sequoiaseam.errors import ErrorCode
from tests.hosts import (
    API_KEY,
    LOCALHOST,
    ROUTES,
    TABLES,
    Handler,
    HostCluster,
    ReceivedRequest,
    Response,
    ScriptedServer,
    echo_body,
    format_request,
    read_response,
)

WAIT_LIMIT_SECONDS = 20.0


def never_respond(request: ReceivedRequest) -> None:
    """Leave the request without a response."""


def abort_connection(request: ReceivedRequest) -> None:
    """Abort the connection without a response."""
    request.transport.abort()


def respond_not_run(request: ReceivedRequest) -> None:
    """Respond that the request did not run."""
    request.respond(503, b"", "X-Not-Run: 1")


def respond_500(request: ReceivedRequest) -> None:
    """Respond with an internal server error."""
    request.respond(500, b"broken", "X-Stamp: s")


def respond_103(request: ReceivedRequest) -> None:
    """Send an interim response that names its request, and close."""
    request.transport.write(b"HTTP/1.1 103 Any\r\nX-Id: 7\r\n\r\n")
    request.transport.close()


def respond_700(request: ReceivedRequest) -> None:
    """Respond with a status beyond those of HTTP."""
    request.respond(700, b"broken")


def respond_with_load(request: ReceivedRequest, digits: int) -> None:
    """Respond with a load that is a number of so many digits."""
    request.respond(200, b"whole", f"X-Load: {'9' * digits},1,8")


def send_endless_body(request: ReceivedRequest) -> None:
    """Send a body without end until the connection is closed."""
    transport = request.transport
    transport.write(b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n")

    def send_more() -> None:
        if transport.is_closing():
            return
        if not transport.get_write_buffer_size():
            transport.write(b"a" * 1024 * 1024)
        asyncio.get_running_loop().call_later(0, send_more)

    send_more()


class HostTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run hosts with scripted backend servers."""

    async def start_cluster(self, handlers: Sequence[Handler]) -> HostCluster:
        """Start one host for each request handler of a backend server."""
        cluster = HostCluster(handlers)
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        return cluster

    async def wait_for_requests(
        self, server: ScriptedServer, count: int
    ) -> None:
        """Wait until a server has received a number of requests."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while len(server.received) < count:
                server.request_received.clear()
                await server.request_received.wait()


class ForwardingTest(HostTestCase):
    """Guards against requests and responses that are altered in transit."""

    async def test_forwards_end_to_end_fields_and_sets_its_own(
        self,
    ) -> None:
        cluster = await self.start_cluster((echo_body,))
        response = await cluster.send_request(
            "/order/1?a=b",
            "X-Left-Ms: 900",
            "X-Caller: forged",
            "X-Workspace: forged",
            "X-Expected: forged",
            "X-Own: kept",
            "X-Hop: dropped",
            "Connection: keep-alive, x-hop",
            method="POST",
            body=b"the body",
        )
        self.assertEqual((response.status, response.body), (200, b"the body"))
        (request,) = cluster.servers[0].received
        self.assertTrue(request.head.startswith(b"POST /order/1?a=b HTTP/1.1"))
        expected = {
            "x-id": "7",
            "host": "any.example",
            "x-caller": "front",
            "x-workspace": "coop",
            "x-expected": "server-0",
            "x-own": "kept",
            "x-hop": None,
            "authorization": None,
            "content-length": "8",
        }
        self.assertEqual(
            {n: request.find_field(n) for n in expected}, expected
        )
        self.assertLessEqual(int(request.find_field("x-left-ms") or 9999), 900)
        for name in ("x-caller", "x-workspace", "x-expected"):
            count = request.head.lower().count(name.encode() + b":")
            self.assertEqual(count, 1)

    async def test_reaches_a_server_on_another_host(self) -> None:
        cluster = await self.start_cluster((echo_body, echo_body))
        cluster.report_server(0, 2, leaving=True)
        for _ in range(3):
            response = await cluster.send_request("/read/1")
            self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(len(cluster.servers[0].received), 0)
        self.assertEqual(len(cluster.servers[1].received), 3)

    async def test_returns_a_server_error_unchanged(self) -> None:
        cluster = await self.start_cluster((respond_500,))
        response = await cluster.send_request(
            "/order/1", method="POST", body=b"x"
        )
        self.assertEqual((response.status, response.body), (500, b"broken"))
        self.assertIn("x-stamp: s", response.head.lower())
        self.assertNotIn("x-load", response.head.lower())

    async def test_responds_to_pipelined_requests_in_order(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        reader, writer = await asyncio.open_connection(
            LOCALHOST,
            cluster.ports[0],
        )
        bodies = [b"%d" % index for index in range(8)]
        for body in bodies:
            writer.write(
                format_request("/read/1", method="POST", body=body),
            )
        data = b""
        while data.count(b"HTTP/1.1 200") < len(bodies) or data[-1:] != b"7":
            data += await reader.read(4096)
        offsets = [data.index(b"\r\n\r\n" + body) for body in bodies]
        self.assertEqual(offsets, sorted(offsets))
        writer.close()


class RefusalTest(HostTestCase):
    """Guards against wrong statuses and retries of refused requests."""

    async def test_status_of_each_refusal(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        cases = (
            ("no route", "/none/1", "coop-key-1", 404),
            ("no key", "/read/1", None, 401),
            ("unknown key", "/read/1", "other", 401),
            ("open route", "/open/1", None, 200),
            ("open route, unknown key", "/open/1", "other", 200),
        )
        for name, path, key, expected in cases:
            with self.subTest(name=name):
                response = await cluster.send_request(path, key=key)
                self.assertEqual(response.status, expected)

    async def test_a_stale_view_refuses_only_requests_with_a_key(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        cluster.set_view_fresh(0, fresh=False)
        self.assertEqual((await cluster.send_request("/read/1")).status, 503)
        self.assertEqual(
            (await cluster.send_request("/open/1", key=None)).status, 200
        )

    async def test_a_shed_request_is_retried_on_another_server(self) -> None:
        for path in ("/read/1", "/order/1"):
            with self.subTest(path=path):
                cluster = await self.start_cluster(
                    (respond_not_run, respond_not_run)
                )
                cluster.servers[1].handler = echo_body
                responses = [
                    await cluster.send_request(path) for _ in range(4)
                ]
                statuses = {response.status for response in responses}
                self.assertEqual(statuses, {200})

    async def test_shedding_by_all_servers_is_reported_as_not_run(
        self,
    ) -> None:
        cluster = await self.start_cluster((respond_not_run, respond_not_run))
        response = await cluster.send_request(
            "/order/1", method="POST", body=b"x"
        )
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After: ", response.head)

    async def test_a_lost_request_is_retried_only_if_idempotent(self) -> None:
        for path, runs_max, status in (
            ("/read/1", 3, 502),
            ("/order/1", 1, 502),
        ):
            with self.subTest(path=path):
                cluster = await self.start_cluster(
                    (abort_connection, abort_connection)
                )
                response = await cluster.send_request(path)
                self.assertEqual(response.status, status)
                runs = sum(len(server.received) for server in cluster.servers)
                self.assertLessEqual(runs, runs_max)
                self.assertGreaterEqual(runs, min(runs_max, 2))

    async def test_a_server_error_is_retried_only_if_idempotent(self) -> None:
        for path, statuses, runs_max in (
            ("/read/1", {200}, 2),
            ("/order/1", {200, 500}, 1),
        ):
            with self.subTest(path=path):
                cluster = await self.start_cluster((respond_500, echo_body))
                responses = [
                    await cluster.send_request(path) for _ in range(4)
                ]
                self.assertLessEqual({r.status for r in responses}, statuses)
                runs = sum(len(server.received) for server in cluster.servers)
                self.assertLessEqual(runs, runs_max * len(responses))

    async def test_a_server_error_is_returned_if_its_retry_fails(
        self,
    ) -> None:
        cases = (
            ("fails too", respond_500),
            ("sheds", respond_not_run),
            ("times out", never_respond),
        )
        for name, handler in cases:
            with self.subTest(name=name):
                cluster = await self.start_cluster((respond_500, handler))
                cluster.report_server(1, 2, leaving=True)
                await cluster.send_request("/read/1")
                cluster.report_server(1, 3)
                cluster.servers[1].received.clear()
                response = await cluster.send_request(
                    "/read/1", "X-Left-Ms: 500"
                )
                self.assertEqual(
                    (response.status, response.body), (500, b"broken")
                )

    async def test_an_endless_response_is_refused_before_the_deadline(
        self,
    ) -> None:
        cluster = await self.start_cluster((send_endless_body,))
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            response = await cluster.send_request(
                "/slow/1", method="POST", body=b"x"
            )
        self.assertEqual(response.status, 502)
        self.assertIn(b"INCOMPLETE", response.body)
        self.assertFalse(cluster.nodes[0]._executor.busy)
        cluster.servers[0].handler = echo_body
        self.assertEqual((await cluster.send_request("/read/1")).status, 200)

    async def test_hosts_limit_retries_of_their_servers(self) -> None:
        """Limit retries at the hosts of the servers that run them.

        A node that is called by servers sees too few root requests to
        limit the retries itself.
        """
        cluster = await self.start_cluster((respond_not_run, respond_not_run))
        for _ in range(12):
            await cluster.send_request("/open/1", key=None)
        runs = sum(len(server.received) for server in cluster.servers)
        self.assertLessEqual(
            runs - 12, SERVER_RETRIES_MIN * len(cluster.servers)
        )

    async def test_servers_of_a_pool_divide_the_retries_of_the_fleet(
        self,
    ) -> None:
        """Use most of them where servers shed, and no more than all."""
        fleet_retries = 20
        cluster = HostCluster(
            (respond_not_run, respond_not_run), fleet_retries=fleet_retries
        )
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        for i in range(len(cluster.servers)):
            cluster.report_server(i, 2)
            node = cluster.nodes[i]
            members = tuple(node._view.members.values())
            node._apply_feed(FeedDelta(1, 2, 1, members=members))
        count = 3 * fleet_retries
        for _ in range(count):
            await cluster.send_request("/open/1", key=None)
        runs = sum(len(server.received) for server in cluster.servers)
        self.assertGreaterEqual(
            runs - count, int(FLEET_RETRIES_FRACTION * fleet_retries) - 2
        )
        self.assertLessEqual(runs - count, fleet_retries)

    async def test_a_request_is_cancelled_at_its_timeout(self) -> None:
        cluster = await self.start_cluster((never_respond,))
        response = await cluster.send_request("/order/1", "X-Left-Ms: 100")
        self.assertEqual(response.status, 504)
        (request,) = cluster.servers[0].received
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await request.closed.wait()


class PipelinedDeadlineTest(HostTestCase):
    """Guards against pipelined requests that outlive their deadlines."""

    async def test_time_behind_another_request_counts(self) -> None:
        cluster = await self.start_cluster((never_respond,))
        reader, writer = await asyncio.open_connection(
            LOCALHOST, cluster.ports[0]
        )
        writer.write(
            format_request("/order/1", "X-Left-Ms: 300", method="POST")
            + format_request("/order/2", "X-Left-Ms: 200", method="POST")
        )
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            first = await read_response(reader)
            second = await read_response(reader)
        self.assertEqual((first.status, second.status), (504, 503))
        self.assertIn(b"DEADLINE", second.body)
        self.assertEqual(len(cluster.servers[0].received), 1)
        writer.close()


class FieldValueTest(HostTestCase):
    """Guards against requests cut by an unusual value of a field."""

    async def test_a_long_remaining_time_is_limited_by_the_route(
        self,
    ) -> None:
        cluster = await self.start_cluster((echo_body,))
        for path in ("/read/1", "/open/1"):
            for value in ("9" * 15, "9" * 20, "9" * 5000, "0" * 20 + "900"):
                with self.subTest(path=path, digits=len(value)):
                    response = await cluster.send_request(
                        path,
                        f"X-Left-Ms: {value}",
                        key=API_KEY if path == "/read/1" else None,
                    )
                    self.assertEqual(response.status, 200)

    async def test_a_status_that_does_not_exist_is_no_response(self) -> None:
        """Ask a server of the same host, and one of another host.

        A call on the same connection between the hosts isn't affected.
        """
        for handlers, is_remote in (
            ((respond_700,), False),
            ((echo_body, respond_700), True),
        ):
            with self.subTest(remote=is_remote):
                cluster = await self.start_cluster(handlers)
                server = cluster.servers[-1]
                if is_remote:
                    cluster.report_server(0, 2, leaving=True)
                    server.handler = never_respond
                    bystander = asyncio.create_task(
                        cluster.send_request("/slow/1")
                    )
                    await self.wait_for_requests(server, 1)
                    server.handler = respond_700
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    response = await cluster.send_request("/order/1")
                self.assertEqual(response.status, 502)
                if is_remote:
                    server.received[0].respond(200, b"whole")
                    self.assertEqual((await bystander).status, 200)

    async def test_an_interim_response_is_no_response(self) -> None:
        """Break off after it, on a server of the same and another host."""
        for handlers in ((respond_103,), (echo_body, respond_103)):
            with self.subTest(hosts=len(handlers)):
                cluster = await self.start_cluster(handlers)
                if len(handlers) > 1:
                    cluster.report_server(0, 2, leaving=True)
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    response = await cluster.send_request("/order/1")
                self.assertEqual(response.status, 502)

    async def test_a_request_id_outside_of_ascii_is_found(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        message = format_request("/order/1").replace(b"7", b"\xe4")
        reader, writer = await asyncio.open_connection(
            LOCALHOST, cluster.ports[0]
        )
        writer.write(message)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            status_line = await reader.readline()
        self.assertEqual(status_line, b"HTTP/1.1 200 OK\r\n")
        writer.close()

    async def test_a_load_of_many_digits_is_ignored(self) -> None:
        for digits in (400, 5000):
            with self.subTest(digits=digits):
                cluster = await self.start_cluster(
                    (partial(respond_with_load, digits=digits),)
                )
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    response = await cluster.send_request("/slow/1")
                self.assertEqual(response.status, 200)
                session = cluster.nodes[0]._executor._session
                assert session is not None
                self.assertEqual(session.admission.running, 0)

    async def test_the_fourth_number_of_a_load_is_accepted(self) -> None:
        def respond(request: ReceivedRequest) -> None:
            request.respond(200, b"whole", "X-Load: 8,1,8,250")

        cluster = await self.start_cluster((respond,))
        response = await cluster.send_request("/slow/1")
        self.assertEqual(response.status, 200)
        session = cluster.nodes[0]._executor._session
        assert session is not None
        limiter = session.admission._limiter
        self.assertEqual(limiter._reported_load, 1.0)
        self.assertGreater(session.pace.get(cluster.nodes[0]._clock.now()), 1)
        (peer,) = cluster.nodes[0]._balancer._peers.values()
        self.assertEqual(peer.reported_capacity, session.admission.limit)
        self.assertGreater(peer.reported_pace, 1)


class BodyLimitTest(HostTestCase):
    """Guards against bodies that no message between nodes can hold.

    Such a message closed the link, with all other calls on it.
    """

    async def test_a_larger_limit_of_the_tables_is_not_used(self) -> None:
        limits = CallerLimits(body=2 * BODY_LIMIT_MAX_BYTES)
        cluster = HostCluster((echo_body,), replace(TABLES, limits=limits))
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        reader, writer = await asyncio.open_connection(
            LOCALHOST, cluster.ports[0]
        )
        self.addCleanup(writer.close)
        length_line = f"Content-Length: {BODY_LIMIT_MAX_BYTES + 1}"
        writer.write(format_request("/read/1", length_line, method="POST"))
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            status_line = await reader.readline()
        self.assertEqual(status_line, b"HTTP/1.1 413 Content Too Large\r\n")


class BodyMemoryTest(HostTestCase):
    """Guards against bodies that stay in memory after their requests.

    Objects that refer to each other are freed by the garbage collector only,
    which may not run for hundreds of requests.
    """

    BODY_BYTES: Final = 256 * 1024
    REQUEST_COUNT: Final = 8

    async def asyncSetUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def count_bodies(self) -> int:
        """Return the number of allocations of nodes as large as a body."""
        snapshot = tracemalloc.take_snapshot().filter_traces(
            (tracemalloc.Filter(False, tests.hosts.__file__),)  # noqa: FBT003
        )
        return sum(trace.size >= self.BODY_BYTES for trace in snapshot.traces)

    async def expect_no_bodies(self, *, host: int) -> None:
        """Expect that bodies don't remain after requests to a host."""
        cluster = await self.start_cluster((echo_body,) * (host + 1))
        if host:
            # Its own server leaves, so that calls go to the first host.
            cluster.report_server(host, 2, leaving=True)
        for _ in range(self.REQUEST_COUNT):
            response = await cluster.send_request(
                "/order/1",
                method="POST",
                body=bytes(self.BODY_BYTES),
                host=host,
            )
            self.assertEqual(200, response.status)
        await asyncio.sleep(0.1)
        self.assertLessEqual(self.count_bodies(), 2)

    async def test_after_runs_on_the_same_host(self) -> None:
        await self.expect_no_bodies(host=0)

    async def test_after_runs_on_another_host(self) -> None:
        await self.expect_no_bodies(host=1)


class StatusTest(unittest.TestCase):
    """Guards against statuses that misstate whether a request ran."""

    def test_status_follows_the_verdict(self) -> None:
        cases = (
            (ErrorCode.TIMEOUT, False, 503),
            (ErrorCode.TIMEOUT, True, 504),
            (ErrorCode.DEADLINE, False, 503),
            (ErrorCode.CONNECTION_LOST, False, 503),
            (ErrorCode.CONNECTION_LOST, True, 502),
            (ErrorCode.QUOTA, False, 429),
            (ErrorCode.SHED, True, 502),
            (ErrorCode.OVERLOAD, False, 503),
            (ErrorCode.UNKNOWN_ROUTE, False, 404),
            (ErrorCode.KEY_UNKNOWN, False, 401),
        )
        for code, may_have_run, expected in cases:
            with self.subTest(code=code, may_have_run=may_have_run):
                status = choose_status(code, may_have_run=may_have_run)
                self.assertEqual(status, expected)


class PressureBeforeQuotaTest(HostTestCase):
    """Guards against quota spent on requests that are not admitted."""

    async def test_pressure_is_checked_before_the_quota(self) -> None:
        rate_limited = Workspace("coop", 100.0, 10)
        tables = replace(TABLES, workspaces={"coop": rate_limited})
        cluster = HostCluster((echo_body,), tables)
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        node = cluster.nodes[0]
        full_pools = (PoolPressure("store", LEVEL_MAX),)
        node._ingress._pressure.observe(node._clock.now(), "read", full_pools)
        for _ in range(50):
            later = node._clock.now() + timedelta(milliseconds=100)
            node._ingress._pressure.observe(later, "read", full_pools)
        response = await cluster.send_request("/read/1")
        self.assertEqual(response.status, 503)
        self.assertIn(b"OVERLOAD", response.body)
        self.assertFalse(node._quota_gate._waiting)


class RejectingPoolTest(HostTestCase):
    """Guards against trees that are begun though their calls are rejected."""

    async def test_trees_of_many_calls_are_refused_at_the_entry(self) -> None:
        cluster = await self.start_cluster((respond_not_run,))
        ingress = cluster.nodes[0]._ingress
        records: list[dict[str, object]] = []

        def log(_level: Level, event: str, **fields: object) -> None:
            if event == "request refused":
                records.append(fields)

        with patch.object(ingress._log, "log", log):
            for _ in range(60):
                await cluster.send_request("/open/1", key=None)
            records.clear()
            for _ in range(40):
                now = ingress._clock.now()
                calls = (PoolPressure("store", 0.0, 9.0),)
                ingress._pressure._route_pools.pop("read", None)
                ingress._pressure.observe(now, "read", calls)
                await cluster.send_request("/read/1")
        expected = [fields for fields in records if "success" in fields]
        # One in ten is admitted as a probe.
        self.assertGreater(len(expected), 20)
        for fields in expected:
            self.assertIs(fields["code"], ErrorCode.OVERLOAD)
            self.assertTrue(fields["failing"])
            self.assertEqual((fields["pool"], fields["calls"]), ("store", 8.0))
            self.assertFalse(fields["may_have_run"])

    async def test_a_refusal_by_pressure_names_the_pool(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        ingress = cluster.nodes[0]._ingress
        full_pools = (PoolPressure("store", LEVEL_MAX, 4.0),)
        later = ingress._clock.now() + timedelta(milliseconds=100)
        for _ in range(50):
            ingress._pressure.observe(later, "read", full_pools)
        records: list[dict[str, object]] = []

        def log(_level: Level, _event: str, **fields: object) -> None:
            records.append(fields)

        with patch.object(ingress._log, "log", log):
            response = await cluster.send_request("/read/1")
        self.assertEqual(response.status, 503)
        (fields,) = records
        self.assertEqual((fields["pool"], fields["calls"]), ("store", 4.0))
        self.assertGreater(cast("float", fields["pool_level"]), 3.0)


class SlotWaitLimitTest(unittest.TestCase):
    """Guards against refused nested calls.

    The refusal of a nested call wastes the work done so far for its root
    request.
    """

    def test_a_nested_call_waits_longer(self) -> None:
        route = replace(ROUTES[0], objective=timedelta(milliseconds=400))
        cases = (
            ("root", 1000, False, 50),
            ("nested", 1000, True, 200),
            ("nested, little time left", 100, True, 50),
            ("root, little time left", 40, False, 15),
        )
        for name, remaining_ms, nested, expected in cases:
            with self.subTest(name=name):
                slot_wait_limit = compute_slot_wait_limit(
                    route,
                    timedelta(milliseconds=remaining_ms),
                    nested=nested,
                )
                self.assertEqual(
                    slot_wait_limit, timedelta(milliseconds=expected)
                )


class EvacuationTest(HostTestCase):
    """Guards against requests that are lost as their server is evacuated."""

    async def test_waiting_requests_move_and_runs_end(self) -> None:
        """Evacuate the domain of a server that has a queue."""
        cluster = await self.start_cluster((never_respond, echo_body))
        other = cluster.nodes[1]
        other._settings = replace(other._settings, domain="domain-2")
        self.apply_change(cluster, 2, MemberState.JOINING, ())
        tasks = [
            asyncio.create_task(cluster.send_request("/slow/1", method=method))
            for method in ("GET", "POST") * 6
        ]
        executor = cluster.nodes[0]._executor
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not (  # noqa: ASYNC110
                cluster.servers[0].received
                and executor._session
                and executor._session.admission.queued
            ):
                await asyncio.sleep(0.01)
        run_count = len(cluster.servers[0].received)
        self.apply_change(cluster, 3, MemberState.SERVING, ("domain-1",))
        for request in list(cluster.servers[0].received):
            request.respond(200, b"late")
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            responses = await asyncio.gather(*tasks)
            bodies = [r.body for r in responses if r.status == 200]
            later = await cluster.send_request("/read/1")
        self.assertEqual(bodies.count(b"late"), run_count)
        self.assertLessEqual({r.status for r in responses}, {200, 503})
        self.assertGreater(bodies.count(b"whole"), 0)
        self.assertEqual(later.status, 200)
        self.assertEqual(len(cluster.servers[0].received), run_count)
        self.assertIn(
            b"sequoiaseam_evacuated_domains 1\n", other.format_metrics()
        )

    async def test_a_node_that_does_not_know_yet_reroutes(self) -> None:
        """Only the node beside the evacuated server knows of the order."""
        cluster = await self.start_cluster((echo_body, echo_body))
        (first, second) = cluster.nodes
        second._executor.set_evacuated(second._clock.now(), evacuated=True)
        for method in ("GET", "POST") * 20:
            response = await cluster.send_request("/read/1", method=method)
            self.assertEqual(response.status, 200)
        self.assertEqual(cluster.servers[1].received, [])
        first._executor.set_evacuated(first._clock.now(), evacuated=True)
        response = await cluster.send_request("/read/1")
        self.assertEqual(response.status, 503)
        self.assertEqual(len(cluster.servers[0].received), 40)

    def apply_change(
        self,
        cluster: HostCluster,
        index: int,
        state: MemberState,
        evacuated: tuple[str, ...],
    ) -> None:
        """Set the state of the second host, which is in domain-2."""
        for node in reversed(cluster.nodes):
            member = replace(
                node._view.members["host-1"], domain="domain-2", state=state
            )
            node._apply_feed(
                FeedDelta(
                    index - 1,
                    index,
                    1,
                    members=(member,),
                    evacuated=evacuated,
                )
            )


class DisconnectTest(HostTestCase):
    """Guards against work for callers that left and on leaving servers."""

    async def test_a_disconnected_caller_cancels_its_request(self) -> None:
        for index in (0, 1):
            with self.subTest(host=index):
                cluster = await self.start_cluster(
                    (never_respond, never_respond)
                )
                cluster.report_server(1 - index, 2, leaving=True)
                _, writer = await asyncio.open_connection(
                    LOCALHOST,
                    cluster.ports[0],
                )
                writer.write(format_request("/read/1"))
                server = cluster.servers[index]
                await self.wait_for_requests(server, 1)
                writer.close()
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    await server.received[0].closed.wait()

    async def test_a_leaving_server_gets_no_new_requests(self) -> None:
        cluster = await self.start_cluster((never_respond, echo_body))
        cluster.report_server(1, 2, leaving=True)
        first = asyncio.create_task(cluster.send_request("/read/1"))
        await self.wait_for_requests(cluster.servers[0], 1)
        cluster.report_server(0, 2, leaving=True)
        second = await cluster.send_request("/read/1")
        self.assertEqual(second.status, 503)
        cluster.servers[0].received[0].respond(200, b"late")
        self.assertEqual((await first).body, b"late")
        self.assertEqual(len(cluster.servers[0].received), 1)

    async def test_queued_requests_end_when_their_server_leaves(
        self,
    ) -> None:
        cluster = await self.start_cluster((never_respond, echo_body))
        cluster.report_server(1, 2, leaving=True)
        cluster.report_server(0, 2, slots=1)
        tasks = [
            asyncio.create_task(cluster.send_request("/read/1"))
            for _ in range(10)
        ]
        await self.wait_for_requests(cluster.servers[0], 7)
        cluster.report_server(1, 1)
        cluster.report_server(0, 3, leaving=True)
        for request in list(cluster.servers[0].received):
            request.respond(200, b"whole")
        responses = await asyncio.gather(*tasks)
        self.assertLessEqual(
            {response.status for response in responses},
            {200, 503},
        )

    async def test_requests_behind_those_of_a_replaced_server_run(
        self,
    ) -> None:
        """Replace a server on which a caller's first request is queued.

        The second one starts when the first is refused.
        """
        cluster = await self.start_cluster((never_respond,))
        (node,) = cluster.nodes
        executor = node._executor
        successor = ScriptedServer(echo_body)
        await successor.start()
        self.addCleanup(successor.close)
        running = []
        while not executor._session or not executor._session.admission.queued:
            running.append(
                asyncio.create_task(cluster.send_request("/slow/1"))
            )
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(
            LOCALHOST, cluster.ports[0]
        )
        self.addCleanup(writer.close)
        calls = executor.call_count
        message = format_request("/slow/1", method="POST", body=b"x")
        writer.write(message * 2)
        while executor.call_count == calls:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        node.accept_server_report(
            ServerReport(
                "successor", "store", LOCALHOST, successor.port, 2, 1, 8
            )
        )
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            responses = [await read_response(reader) for _ in range(2)]
        self.assertEqual([r.status for r in responses], [503, 200])
        for request in cluster.servers[0].received:
            request.respond(200, b"whole")
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            statuses = [(await task).status for task in running]
        self.assertEqual(statuses.count(200), len(cluster.servers[0].received))
        self.assertLessEqual(set(statuses), {200, 503})

    async def test_a_server_that_left_before_a_restart_gets_no_requests(
        self,
    ) -> None:
        """Ignore a late report of a server whose leave was acknowledged.

        The node that acknowledged it has been restarted since.
        """
        for order in ("feed first", "report first"):
            with self.subTest(order=order):
                cluster = await self.start_cluster((echo_body,))
                node = cluster.nodes[0]
                if order == "report first":
                    cluster.report_server(0, 4)
                row = replace(
                    node._view.members["host-0"],
                    state=MemberState.DRAINING,
                    leaving_server=LeavingServer("server-0", 1),
                )
                node._apply_feed(FeedDelta(1, 2, 1, members=(row,)))
                cluster.report_server(0, 4)
                response = await cluster.send_request("/read/1")
                self.assertEqual(response.status, 503)
                self.assertEqual(cluster.servers[0].received, [])

    async def test_one_change_of_the_view_removes_both_servers(self) -> None:
        """Queued requests aren't passed to the other host, which has left."""
        cluster = await self.start_cluster((never_respond, echo_body))
        node = cluster.nodes[0]
        own, other = (node._view.members[f"host-{i}"] for i in range(2))
        node._apply_feed(FeedDelta(1, 2, 1, left=("host-1",)))
        tasks: list[asyncio.Task[Response]] = []
        while len(tasks) - len(cluster.servers[0].received) < 3:
            tasks.append(asyncio.create_task(cluster.send_request("/slow/1")))
            await asyncio.sleep(0.01)
        calls = node._executor.call_count
        self.assertGreater(calls, len(cluster.servers[0].received))
        node._apply_feed(FeedDelta(2, 3, 1, members=(other,)))
        leaving = replace(
            own,
            state=MemberState.DRAINING,
            leaving_server=LeavingServer("server-0", 1),
        )
        node._apply_feed(
            FeedDelta(3, 4, 1, members=(leaving,), left=("host-1",))
        )
        # Calls that have been started may reach the server later.
        cluster.servers[0].handler = echo_body
        for request in list(cluster.servers[0].received):
            request.respond(200, b"whole")
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            statuses = [(await task).status for task in tasks]
        self.assertEqual(statuses.count(200), len(cluster.servers[0].received))
        self.assertLessEqual(set(statuses), {200, 503})

    async def test_a_member_names_its_leaving_server(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        node = cluster.nodes[0]
        self.assertIsNone(node._create_member().leaving_server)
        cluster.report_server(0, 2, leaving=True)
        self.assertEqual(
            node._create_member().leaving_server, LeavingServer("server-0", 1)
        )

    async def test_outdated_reports_are_ignored(self) -> None:
        cluster = await self.start_cluster((echo_body,))
        cluster.report_server(0, 5, leaving=True)
        cluster.report_server(0, 4)
        cluster.report_server(0, 6)
        self.assertEqual((await cluster.send_request("/read/1")).status, 503)


if __name__ == "__main__":
    unittest.main()
