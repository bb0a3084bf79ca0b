"""Tests of the detection of requests that are never answered."""

import asyncio
import heapq
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._unanswered import (
    LATER_ENDED_MIN,
    SERVICE_TIMES_MIN,
    SilentRequest,
    UnansweredRequests,
)
from tests.hosts import (
    TABLES,
    Handler,
    HostCluster,
    ReceivedRequest,
    echo_body,
)
from tests.seeds import iterate_seeds
from tests.test_host_node import (
    WAIT_LIMIT_SECONDS,
    HostTestCase,
    never_respond,
)

MS: Final = timedelta(milliseconds=1)
SECOND: Final = timedelta(seconds=1)
CHECK_INTERVAL: Final = 50 * MS
USUAL: Final = 30 * MS
TIME_LIMIT: Final = 800 * MS


class Server:
    """Requests to a server that is simulated without a network."""

    def __init__(self) -> None:
        self.now = EPOCH
        self.requests = UnansweredRequests(EPOCH)
        self.silent: list[SilentRequest] = []
        self.busy: set[int] = set()
        self._ends: list[tuple[datetime, int]] = []
        self._count = 0
        self._next_check = EPOCH + CHECK_INTERVAL

    def send(
        self,
        service_time: timedelta | None,
        *,
        route: str = "read",
        time_limit: timedelta = TIME_LIMIT,
        objective: timedelta | None = None,
        repeat: bool = False,
    ) -> int:
        """Send a request, which is never answered without service time."""
        self._count += 1
        self.requests.start(
            self.now,
            self._count,
            route,
            time_limit,
            objective,
            repeat=repeat,
        )
        if service_time is not None:
            heapq.heappush(self._ends, (self.now + service_time, self._count))
        return self._count

    def wait(self, duration: timedelta) -> None:
        """Let responses arrive, and check for silent requests."""
        until = self.now + duration
        while self._next_check <= until:
            self._receive(self._next_check)
            self.now = self._next_check
            self.silent += self.requests.find_silent(
                self.now, lambda request_id: request_id not in self.busy
            )
            self._next_check += CHECK_INTERVAL
        self._receive(until)
        self.now = until

    def freeze(self, duration: timedelta) -> None:
        """Let time pass in which this process does nothing."""
        self.now += duration
        self._next_check = self.now

    def learn(self, count: int = 40) -> None:
        """Answer requests in the usual time."""
        for _ in range(count):
            self.send(USUAL)
            self.wait(USUAL)

    def list_silent(self) -> list[int]:
        """Return the ids of the requests found silent."""
        return [silent.request_id for silent in self.silent]

    @property
    def outstanding_count(self) -> int:
        """Return how many requests will be answered yet."""
        return len(self._ends)

    def _receive(self, until: datetime) -> None:
        while self._ends and self._ends[0][0] <= until:
            ended_at, request_id = heapq.heappop(self._ends)
            self.requests.finish(ended_at, request_id)


class SilentRequestTest(unittest.TestCase):
    """Guards against requests that wait in vain until their deadlines."""

    def setUp(self) -> None:
        self.server = Server()

    def test_finds_one_that_later_ones_have_overtaken(self) -> None:
        server = self.server
        server.learn()
        silent = server.send(None)
        started_at = server.now
        for _ in range(20):
            server.send(USUAL)
            server.wait(USUAL)
        self.assertEqual(server.list_silent(), [silent])
        self.assertLess(server.silent[0].quiet_time, TIME_LIMIT / 2)
        self.assertGreaterEqual(server.silent[0].later_ended, 3)
        self.assertGreater(server.now - started_at, 10 * USUAL)

    def test_finds_a_lone_one_in_time_for_a_retry(self) -> None:
        server = self.server
        server.learn()
        silent = server.send(None)
        server.wait(TIME_LIMIT / 2 - CHECK_INTERVAL)
        self.assertEqual(server.list_silent(), [])
        server.wait(2 * CHECK_INTERVAL)
        self.assertEqual(server.list_silent(), [silent])
        self.assertEqual(server.silent[0].later_ended, 0)

    def test_finds_a_lone_one_of_a_route_without_known_times(self) -> None:
        silent = self.server.send(None, objective=TIME_LIMIT / 4)
        self.server.wait(0.75 * TIME_LIMIT - CHECK_INTERVAL)
        self.assertEqual(self.server.list_silent(), [])
        self.server.wait(2 * CHECK_INTERVAL)
        self.assertEqual(self.server.list_silent(), [silent])

    def test_a_server_may_use_all_the_time_of_its_caller(self) -> None:
        # Nothing tells how long such requests usually take.
        for objective in (None, TIME_LIMIT / 3, TIME_LIMIT):
            self.server.send(TIME_LIMIT, objective=objective)
            self.server.wait(TIME_LIMIT)
        self.assertEqual(self.server.list_silent(), [])

    def test_finds_each_one_once(self) -> None:
        self.server.learn()
        self.server.send(None)
        self.server.wait(10 * SECOND)
        self.assertEqual(len(self.server.silent), 1)

    def test_finds_none_that_shows_signs_of_work(self) -> None:
        # Its body is still sent, its response has begun, or its run makes
        # calls of its own.
        server = self.server
        server.learn()
        server.busy.add(server.send(None))
        for _ in range(40):
            server.send(USUAL)
            server.wait(USUAL)
        self.assertEqual(server.list_silent(), [])

    def test_a_pause_of_this_process_is_no_silence(self) -> None:
        # Responses that came meanwhile haven't been read yet.
        server = self.server
        server.learn()
        server.send(USUAL)
        server.freeze(5 * SECOND)
        server.silent += server.requests.find_silent(
            server.now, lambda _: True
        )
        self.assertEqual(server.list_silent(), [])

    def test_one_that_was_sent_before_gets_more_time(self) -> None:
        # It may really take so long; no attempt would ever end otherwise.
        server = self.server
        server.learn()
        server.send(19 * USUAL, repeat=True)
        for _ in range(30):
            server.send(USUAL)
            server.wait(USUAL)
        self.assertEqual(server.list_silent(), [])

    def test_too_few_known_times_are_no_evidence(self) -> None:
        server = self.server
        server.learn(SERVICE_TIMES_MIN - 1)
        server.send(500 * MS)
        server.wait(500 * MS)
        self.assertEqual(server.list_silent(), [])


class SlowServerTest(unittest.TestCase):
    """Guards against slow servers that are taken to be silent."""

    def run_load(
        self,
        rng: random.Random,
        find_service_time: Callable[[timedelta], timedelta],
        slots: int,
    ) -> Server:
        """Keep all slots busy with requests of two routes for 20 s."""
        server = Server()
        while server.now < EPOCH + 20 * SECOND:
            while server.outstanding_count < slots:
                short = rng.random() < 0.7
                base = USUAL if short else 5 * USUAL
                server.send(
                    find_service_time(server.now - EPOCH)
                    / USUAL
                    * base
                    * rng.uniform(0.5, 1.5),
                    route="read" if short else "list",
                    time_limit=TIME_LIMIT if short else 5 * TIME_LIMIT,
                )
            server.wait(5 * MS)
        return server

    def test_a_server_that_becomes_five_times_slower_is_not_silent(
        self,
    ) -> None:
        def find_service_time(elapsed: timedelta) -> timedelta:
            return 5 * USUAL if elapsed // (4 * SECOND) % 2 else USUAL

        for seed in iterate_seeds(8):
            for slots in (1, 4, 40):
                with self.subTest(seed=seed, slots=slots):
                    rng = random.Random(seed)
                    server = self.run_load(rng, find_service_time, slots)
                    self.assertEqual(server.list_silent(), [])

    def test_a_slow_server_is_not_silent_to_a_route_without_known_times(
        self,
    ) -> None:
        requests = UnansweredRequests(EPOCH)
        now = EPOCH
        ids = iter(range(100))
        for duration in (50 * MS,) * 20 + (250 * MS,) * 4:
            request_id = next(ids)
            requests.start(
                now, request_id, "other", SECOND, 400 * MS, repeat=False
            )
            now += duration
            requests.finish(now, request_id)
        lone = next(ids)
        requests.start(now, lone, "summary", 804 * MS, 202 * MS, repeat=False)
        slow = next(ids)
        requests.start(now, slow, "other", SECOND, 400 * MS, repeat=False)
        now += 250 * MS
        requests.finish(now, slow)
        now += 400 * MS
        self.assertEqual(requests.find_silent(now, lambda _: True), [])

    def test_a_request_of_five_times_the_length_is_not_silent(self) -> None:
        for seed in iterate_seeds(8):
            rng = random.Random(seed)

            def find_service_time(
                _: timedelta, rng: random.Random = rng
            ) -> timedelta:
                return 5 * USUAL if rng.random() < 0.01 else USUAL

            for slots in (1, 4, 40):
                with self.subTest(seed=seed, slots=slots):
                    server = self.run_load(rng, find_service_time, slots)
                    self.assertEqual(server.list_silent(), [])


class SilentServerTest(HostTestCase):
    """Guards against requests sent behind ones that are never answered.

    The silence of a server is no reason to end its work sooner.
    """

    async def start_silent_cluster(self, *handlers: Handler) -> HostCluster:
        """Start hosts with tables whose routes have an objective."""
        routes = {
            name: replace(route, objective=SECOND / 5)
            for name, route in TABLES.routes.items()
        }
        cluster = HostCluster(handlers, replace(TABLES, routes=routes))
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        return cluster

    async def test_no_request_is_sent_behind_a_silent_one(self) -> None:
        """The server would answer none on that connection either."""
        cluster = await self.start_cluster((echo_body,))
        server = cluster.servers[0]
        for index in range(SERVICE_TIMES_MIN):
            await cluster.send_request("/read/1", f"X-Id: {index}")
        server.handler = never_respond
        silent = asyncio.create_task(
            cluster.send_request("/read/1", "X-Left-Ms: 2000")
        )
        await self.wait_for_requests(server, SERVICE_TIMES_MIN + 1)
        request = server.received[-1]
        server.handler = echo_body
        later = 0
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not request.closed.is_set():
                await cluster.send_request("/read/1", f"X-Id: {later}")
                later += 1
                await asyncio.sleep(0.005)
        # It is ended at its deadline, and not before.
        self.assertEqual((await silent).status, 504)
        index = server.received.index(request)
        for other in server.received[index + 1 :]:
            self.assertIsNot(other.transport, request.transport)
        self.assertGreater(later, LATER_ENDED_MIN)

    async def test_a_silent_request_keeps_its_slot_and_its_time(self) -> None:
        """The server may be at work on it until its deadline."""
        for path in ("/order/1", "/read/1"):
            with self.subTest(path=path):
                cluster = await self.start_silent_cluster(never_respond)
                (server,) = cluster.servers
                session = cluster.nodes[0]._executor._session
                assert session is not None
                loop = asyncio.get_running_loop()
                started_at = loop.time()
                silent = asyncio.create_task(
                    cluster.send_request(path, "X-Left-Ms: 900")
                )
                await self.wait_for_requests(server, 1)
                (request,) = server.received
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    while session.admission.running:
                        self.assertFalse(request.closed.is_set())
                        await asyncio.sleep(0.001)
                self.assertGreater(loop.time() - started_at, 0.89)
                self.assertEqual((await silent).status, 504)
                await request.closed.wait()
                self.assertEqual(len(server.received), 1)

    async def test_a_late_response_to_a_silent_request_is_passed_on(
        self,
    ) -> None:
        """Its connection isn't used again even then."""
        for path in ("/order/1", "/read/1"):
            with self.subTest(path=path):
                cluster = await self.start_silent_cluster(never_respond)
                (server,) = cluster.servers
                late = asyncio.create_task(
                    cluster.send_request(path, "X-Left-Ms: 900")
                )
                await self.wait_for_requests(server, 1)
                (request,) = server.received
                session = cluster.nodes[0]._executor._session
                assert session is not None
                async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                    connections = session.connections.connections
                    while any(c.is_open for c in connections):  # noqa: ASYNC110
                        await asyncio.sleep(0.001)
                request.respond(200, b"late")
                response = await late
                self.assertEqual(
                    (response.status, response.body), (200, b"late")
                )
                await request.closed.wait()

    async def test_a_server_that_is_merely_slow_is_not_silent(self) -> None:
        delay = 0.01

        def respond_late(request: ReceivedRequest) -> None:
            asyncio.get_running_loop().call_later(
                delay, lambda: request.respond(200, b"whole")
            )

        cluster = await self.start_cluster((respond_late,))
        (server,) = cluster.servers

        async def ask(count: int) -> None:
            for _ in range(count):
                response = await cluster.send_request("/read/1")
                self.assertEqual(response.status, 200)

        await asyncio.gather(*(ask(5) for _ in range(4)))
        delay *= 5
        await asyncio.gather(*(ask(10) for _ in range(4)))
        self.assertEqual(len(server.received), 60)


if __name__ == "__main__":
    unittest.main()
