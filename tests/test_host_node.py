"""Tests of nodes on plain connections, with scripted servers."""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

from sequoiaseam._host_call_executor import RETRIES_MIN
from sequoiaseam._ingress import choose_status, compute_slot_wait_limit
from sequoiaseam._pressure import LEVEL_MAX, PoolPressure
from sequoiaseam._tables import Workspace
from sequoiaseam.errors import ErrorCode
from tests.hosts import (
    LOCALHOST,
    ROUTES,
    TABLES,
    Arrival,
    Hosts,
    Script,
    ServerSite,
    answer_whole,
    format_request,
)

WAIT_LIMIT = 20.0


def hold(arrival: Arrival) -> None:
    """Answer nothing."""


def break_off(arrival: Arrival) -> None:
    """End the connection without an answer."""
    arrival.transport.abort()


def shed(arrival: Arrival) -> None:
    """Say that the request did not run."""
    arrival.answer(503, b"", "X-Not-Run: 1")


def fail(arrival: Arrival) -> None:
    """Answer with the server's own failure."""
    arrival.answer(500, b"broken", "X-Stamp: s")


class HostsTest(unittest.IsolatedAsyncioTestCase):
    """Has two hosts; the second one's server does what a test says."""

    async def start(self, scripts: Sequence[Script]) -> Hosts:
        """Start hosts whose servers do what the scripts say."""
        hosts = Hosts(scripts)
        await hosts.start()
        self.addAsyncCleanup(hosts.close)
        return hosts

    async def wait_for(self, site: ServerSite, count: int) -> None:
        """Wait until a server has read some requests."""
        async with asyncio.timeout(WAIT_LIMIT):
            while len(site.arrivals) < count:
                site.arrived.clear()
                await site.arrived.wait()


class ForwardTest(HostsTest):
    """Guards against requests and answers that change on their way."""

    async def test_forwards_what_is_the_callers_and_sets_the_rest(
        self,
    ) -> None:
        hosts = await self.start((answer_whole,))
        reply = await hosts.ask(
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
        self.assertEqual((reply.status, reply.body), (200, b"the body"))
        (arrival,) = hosts.servers[0].arrivals
        self.assertTrue(arrival.head.startswith(b"POST /order/1?a=b HTTP/1.1"))
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
        self.assertEqual({n: arrival.find(n) for n in expected}, expected)
        self.assertLessEqual(int(arrival.find("x-left-ms") or 9999), 900)
        for name in ("x-caller", "x-workspace", "x-expected"):
            count = arrival.head.lower().count(name.encode() + b":")
            self.assertEqual(count, 1)

    async def test_reaches_a_server_of_another_host(self) -> None:
        hosts = await self.start((answer_whole, answer_whole))
        hosts.announce(0, 2, leaving=True)
        for _ in range(3):
            reply = await hosts.ask("/read/1")
            self.assertEqual((reply.status, reply.body), (200, b"whole"))
        self.assertEqual(len(hosts.servers[0].arrivals), 0)
        self.assertEqual(len(hosts.servers[1].arrivals), 3)

    async def test_returns_the_servers_own_failure(self) -> None:
        hosts = await self.start((fail,))
        reply = await hosts.ask("/order/1", method="POST", body=b"x")
        self.assertEqual((reply.status, reply.body), (500, b"broken"))
        self.assertIn("x-stamp: s", reply.head.lower())
        self.assertNotIn("x-load", reply.head.lower())

    async def test_keeps_the_order_on_a_connection(self) -> None:
        hosts = await self.start((answer_whole,))
        reader, writer = await asyncio.open_connection(
            LOCALHOST,
            hosts.ports[0],
        )
        bodies = [b"%d" % number for number in range(8)]
        for body in bodies:
            writer.write(
                format_request("/read/1", method="POST", body=body),
            )
        data = b""
        while data.count(b"HTTP/1.1 200") < len(bodies) or data[-1:] != b"7":
            data += await reader.read(4096)
        places = [data.index(b"\r\n\r\n" + body) for body in bodies]
        self.assertEqual(places, sorted(places))
        writer.close()


class RefusalTest(HostsTest):
    """Guards against refusals that are wrong or not true."""

    async def test_status_of_each_refusal(self) -> None:
        hosts = await self.start((answer_whole,))
        cases = (
            ("no route", "/none/1", "coop-key-1", 404),
            ("no key", "/read/1", None, 401),
            ("unknown key", "/read/1", "other", 401),
            ("open route", "/open/1", None, 200),
            ("open route, unknown key", "/open/1", "other", 200),
        )
        for name, path, key, expected in cases:
            with self.subTest(name=name):
                reply = await hosts.ask(path, key=key)
                self.assertEqual(reply.status, expected)

    async def test_a_view_that_is_not_fresh_refuses_keys_only(self) -> None:
        hosts = await self.start((answer_whole,))
        hosts.set_fresh(0, fresh=False)
        self.assertEqual((await hosts.ask("/read/1")).status, 503)
        self.assertEqual((await hosts.ask("/open/1", key=None)).status, 200)

    async def test_a_shed_request_runs_elsewhere(self) -> None:
        for path in ("/read/1", "/order/1"):
            with self.subTest(path=path):
                hosts = await self.start((shed, shed))
                hosts.servers[1].script = answer_whole
                replies = [await hosts.ask(path) for _ in range(4)]
                statuses = {reply.status for reply in replies}
                self.assertEqual(statuses, {200})

    async def test_all_servers_shedding_is_told_as_not_run(self) -> None:
        hosts = await self.start((shed, shed))
        reply = await hosts.ask("/order/1", method="POST", body=b"x")
        self.assertEqual(reply.status, 503)
        self.assertIn("Retry-After: ", reply.head)

    async def test_a_broken_run_is_repeated_only_if_idempotent(self) -> None:
        for path, most, status in (("/read/1", 3, 502), ("/order/1", 1, 502)):
            with self.subTest(path=path):
                hosts = await self.start((break_off, break_off))
                reply = await hosts.ask(path)
                self.assertEqual(reply.status, status)
                runs = sum(len(site.arrivals) for site in hosts.servers)
                self.assertLessEqual(runs, most)
                self.assertGreaterEqual(runs, min(most, 2))

    async def test_a_failure_is_tried_elsewhere_if_idempotent(self) -> None:
        for path, statuses, most in (
            ("/read/1", {200}, 2),
            ("/order/1", {200, 500}, 1),
        ):
            with self.subTest(path=path):
                hosts = await self.start((fail, answer_whole))
                replies = [await hosts.ask(path) for _ in range(4)]
                self.assertLessEqual({r.status for r in replies}, statuses)
                runs = sum(len(site.arrivals) for site in hosts.servers)
                self.assertLessEqual(runs, most * len(replies))

    async def test_a_failure_stays_the_answer_without_a_better_one(
        self,
    ) -> None:
        cases = (("fails too", fail), ("sheds", shed), ("is late", hold))
        for name, script in cases:
            with self.subTest(name=name):
                hosts = await self.start((fail, script))
                hosts.announce(1, 2, leaving=True)
                await hosts.ask("/read/1")
                hosts.announce(1, 3)
                hosts.servers[1].arrivals.clear()
                reply = await hosts.ask("/read/1", "X-Left-Ms: 500")
                self.assertEqual((reply.status, reply.body), (500, b"broken"))

    async def test_hosts_bound_the_runs_that_repeat_others(self) -> None:
        """Nodes that servers call see too few root requests for a bound."""
        hosts = await self.start((shed, shed))
        for _ in range(12):
            await hosts.ask("/open/1", key=None)
        runs = sum(len(site.arrivals) for site in hosts.servers)
        self.assertLessEqual(runs - 12, RETRIES_MIN * len(hosts.servers))

    async def test_a_late_server_ends_at_the_timeout(self) -> None:
        hosts = await self.start((hold,))
        reply = await hosts.ask("/order/1", "X-Left-Ms: 100")
        self.assertEqual(reply.status, 504)
        (arrival,) = hosts.servers[0].arrivals
        async with asyncio.timeout(WAIT_LIMIT):
            await arrival.closed.wait()


class StatusTest(unittest.TestCase):
    """Guards against promises that don't hold and ones not made."""

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


class PressureTest(HostsTest):
    """Guards against quota spent on requests that are not let in."""

    async def test_pressure_is_asked_before_the_quota(self) -> None:
        metered = Workspace("coop", 100.0, 10)
        tables = replace(TABLES, workspaces={"coop": metered})
        hosts = Hosts((answer_whole,), tables)
        await hosts.start()
        self.addAsyncCleanup(hosts.close)
        node = hosts.nodes[0]
        full = (PoolPressure("store", LEVEL_MAX),)
        node._ingress._pressure.observe(node._clock.now(), "read", full)
        for _ in range(50):
            later = node._clock.now() + timedelta(milliseconds=100)
            node._ingress._pressure.observe(later, "read", full)
        reply = await hosts.ask("/read/1")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"OVERLOAD", reply.body)
        self.assertFalse(node._quota_gate._waiting)


class PatienceTest(unittest.TestCase):
    """Guards against calls refused while their tree's work is wasted."""

    def test_a_servers_own_call_waits_longer(self) -> None:
        route = replace(ROUTES[0], objective=timedelta(milliseconds=400))
        cases = (
            ("root", 1000, False, 50),
            ("own call", 1000, True, 200),
            ("own call, little time left", 100, True, 50),
            ("root, little time left", 40, False, 15),
        )
        for name, left, nested, expected in cases:
            with self.subTest(name=name):
                slot_wait_limit = compute_slot_wait_limit(
                    route,
                    timedelta(milliseconds=left),
                    nested=nested,
                )
                self.assertEqual(
                    slot_wait_limit, timedelta(milliseconds=expected)
                )


class EndTest(HostsTest):
    """Guards against work for callers that left and servers that leave."""

    async def test_a_caller_that_leaves_ends_the_run(self) -> None:
        for number in (0, 1):
            with self.subTest(host=number):
                hosts = await self.start((hold, hold))
                hosts.announce(1 - number, 2, leaving=True)
                _, writer = await asyncio.open_connection(
                    LOCALHOST,
                    hosts.ports[0],
                )
                writer.write(format_request("/read/1"))
                site = hosts.servers[number]
                await self.wait_for(site, 1)
                writer.close()
                async with asyncio.timeout(WAIT_LIMIT):
                    await site.arrivals[0].closed.wait()

    async def test_a_leaving_server_gets_nothing_new(self) -> None:
        hosts = await self.start((hold, answer_whole))
        hosts.announce(1, 2, leaving=True)
        first = asyncio.create_task(hosts.ask("/read/1"))
        await self.wait_for(hosts.servers[0], 1)
        hosts.announce(0, 2, leaving=True)
        second = await hosts.ask("/read/1")
        self.assertEqual(second.status, 503)
        hosts.servers[0].arrivals[0].answer(200, b"late")
        self.assertEqual((await first).body, b"late")
        self.assertEqual(len(hosts.servers[0].arrivals), 1)

    async def test_waiting_requests_move_when_their_server_leaves(
        self,
    ) -> None:
        hosts = await self.start((hold, answer_whole))
        hosts.announce(1, 2, leaving=True)
        hosts.announce(0, 2, slots=1)
        tasks = [asyncio.create_task(hosts.ask("/read/1")) for _ in range(10)]
        await self.wait_for(hosts.servers[0], 7)
        hosts.announce(1, 1)
        hosts.announce(0, 3, leaving=True)
        for arrival in list(hosts.servers[0].arrivals):
            arrival.answer(200, b"whole")
        replies = await asyncio.gather(*tasks)
        self.assertLessEqual(
            {reply.status for reply in replies},
            {200, 503},
        )

    async def test_old_reports_change_nothing(self) -> None:
        hosts = await self.start((answer_whole,))
        hosts.announce(0, 5, leaving=True)
        hosts.announce(0, 4)
        hosts.announce(0, 6)
        self.assertEqual((await hosts.ask("/read/1")).status, 503)


if __name__ == "__main__":
    unittest.main()
