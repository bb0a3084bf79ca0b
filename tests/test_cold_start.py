"""Tests of the limit on the requests to a cold backend server."""

import asyncio
import random
import unittest
from bisect import bisect_left
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._admission import Admission, Refuse, Start
from sequoiaseam._announcements import ServerReport
from sequoiaseam._clock import EPOCH
from sequoiaseam._cold_start import (
    COLD_TIME_MAX,
    EXHAUSTED_LOAD,
    RAMP_DURATION,
    REPORT_LATENESS_MAX,
    ColdStart,
)
from sequoiaseam._limiter import Completion
from sequoiaseam._mesh_frames import RunCall, RunRefusal, RunResult
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Importance, Pool
from sequoiaseam.errors import ErrorCode
from tests.hosts import (
    TABLES,
    Handler,
    HostCluster,
    ReceivedRequest,
    echo_body,
)
from tests.seeds import iterate_seeds
from tests.test_host_node import HostTestCase

MS: Final = timedelta(milliseconds=1)
SECOND: Final = timedelta(seconds=1)
RATE: Final = 20.0
# Requests that a cold server may get in any second.
RATE_RATIO_MAX: Final = 1.5
EXTRA_MAX: Final = 8


def find_most_in_a_second(times: list[datetime]) -> int:
    """Return the highest number of times within any second."""
    ordered = sorted(times)
    return max(
        (
            bisect_left(ordered, time + SECOND) - index
            for index, time in enumerate(ordered)
        ),
        default=0,
    )


def collect_starts(
    cold_start: ColdStart, start: datetime, duration: timedelta
) -> list[datetime]:
    """Start whatever is allowed, in steps of a millisecond."""
    starts = []
    for step in range(duration // MS):
        now = start + step * MS
        while cold_start.is_limited(now) and cold_start.allows_start(now):
            cold_start.record_start(now)
            starts.append(now)
    return starts


class ColdLimitTest(unittest.TestCase):
    """Guards against a cold server that gets more than it can serve."""

    def test_bounds_requests_in_any_second_as_the_server_receives_them(
        self,
    ) -> None:
        for rate in (1.0, 5.0, 20.0, 100.0, 1000.0):
            with self.subTest(rate=rate):
                cold_start = ColdStart(EPOCH, rate, 8 * SECOND)
                starts = collect_starts(cold_start, EPOCH, 8 * SECOND)
                bound = RATE_RATIO_MAX * rate + EXTRA_MAX
                self.assertGreaterEqual(len(starts), int(8 * rate))
                for seed in iterate_seeds(20):
                    rng = random.Random(seed)
                    received = [
                        time + rng.uniform(0.0, 0.4) * SECOND
                        for time in starts
                    ]
                    self.assertLessEqual(
                        find_most_in_a_second(received), bound
                    )

    def test_saves_up_only_a_small_burst(self) -> None:
        cold_start = ColdStart(EPOCH, RATE, 60 * SECOND)
        now = EPOCH + 30 * SECOND
        count = 0
        while cold_start.allows_start(now):
            cold_start.record_start(now)
            count += 1
        self.assertEqual(count, 2)

    def test_a_rate_near_zero_gives_a_finite_wait(self) -> None:
        cold_start = ColdStart(EPOCH, 1e-13, 10 * SECOND)
        for _ in range(3):
            cold_start.record_start(EPOCH)
        self.assertLessEqual(
            EPOCH + cold_start.estimate_wait(EPOCH, 5), EPOCH + COLD_TIME_MAX
        )

    def test_no_rate_means_no_limit(self) -> None:
        cold_start = ColdStart(EPOCH, 0.0, 60 * SECOND)
        cold_start.assume_cold(EPOCH)
        for _ in range(1000):
            self.assertTrue(cold_start.allows_start(EPOCH))
            cold_start.record_start(EPOCH)
        self.assertEqual(cold_start.measure_load(EPOCH), 0.0)

    def test_counts_what_was_sent_before_the_server_turned_out_cold(
        self,
    ) -> None:
        # It may have been cold when it received the requests just before.
        cold_start = ColdStart(EPOCH, RATE)
        before = [EPOCH + step * 20 * MS for step in range(100)]
        for now in before:
            cold_start.record_start(now)
        learned_at = before[-1] + MS
        cold_start.record_response(learned_at, 5 * SECOND)
        after = collect_starts(cold_start, learned_at, 5 * SECOND)
        # The second that ends with the first of them holds few of the others.
        self.assertGreaterEqual(min(after), learned_at + 0.9 * SECOND)
        self.assertLessEqual(min(after), learned_at + 1.1 * SECOND)

    def test_a_report_within_an_incarnation_extends_the_cold_time(
        self,
    ) -> None:
        cold_start = ColdStart(EPOCH, RATE, SECOND)
        cold_start.record_report(EPOCH + SECOND / 2, 4 * SECOND)
        self.assertTrue(cold_start.is_cold(EPOCH + 4 * SECOND))
        self.assertFalse(cold_start.is_cold(EPOCH + 5 * SECOND))

    def test_a_warm_server_that_reports_to_be_cold_is_limited(self) -> None:
        cold_start = ColdStart(EPOCH, RATE)
        cold_start.record_report(EPOCH + SECOND, timedelta(0))
        self.assertFalse(cold_start.is_limited(EPOCH + SECOND))
        cold_start.record_report(EPOCH + 2 * SECOND, SECOND)
        self.assertTrue(cold_start.is_limited(EPOCH + 2 * SECOND))

    def test_a_late_report_does_not_shorten_what_a_response_stated(
        self,
    ) -> None:
        cold_start = ColdStart(EPOCH, RATE)
        cold_start.record_response(EPOCH, 20 * SECOND)
        cold_start.record_report(EPOCH + SECOND, timedelta(0))
        self.assertTrue(cold_start.is_cold(EPOCH + 2 * SECOND))
        # By then a report of before has arrived; this is a newer one.
        now = EPOCH + REPORT_LATENESS_MAX
        cold_start.record_report(now, timedelta(0))
        self.assertFalse(cold_start.is_cold(now))

    def test_responses_never_shorten_the_cold_time(self) -> None:
        # They may be received in another order than they were begun.
        cold_start = ColdStart(EPOCH, RATE, 5 * SECOND)
        cold_start.record_response(EPOCH + MS, timedelta(0))
        cold_start.record_response(EPOCH + MS, SECOND)
        self.assertTrue(cold_start.is_cold(EPOCH + 4 * SECOND))

    def test_a_false_statement_is_bounded(self) -> None:
        cold_start = ColdStart(EPOCH, RATE, 1000 * COLD_TIME_MAX)
        cold_start.record_response(EPOCH, 1000 * COLD_TIME_MAX)
        self.assertFalse(cold_start.is_cold(EPOCH + COLD_TIME_MAX))

    def test_an_assumption_lasts_until_the_next_report(self) -> None:
        cold_start = ColdStart(EPOCH, RATE)
        cold_start.assume_cold(EPOCH)
        cold_start.record_response(EPOCH + SECOND, timedelta(0))
        now = EPOCH + 100 * SECOND
        self.assertTrue(cold_start.is_cold(now))
        cold_start.record_report(now, timedelta(0))
        self.assertFalse(cold_start.is_cold(now))
        # The ramp follows, as the report may have been sent before.
        self.assertTrue(cold_start.is_limited(now))

    def test_the_limit_grows_after_the_cold_time(self) -> None:
        cold_start = ColdStart(EPOCH, RATE, SECOND)
        ramp_start = EPOCH + SECOND
        collect_starts(cold_start, EPOCH, SECOND)
        half = RAMP_DURATION / 2
        first = collect_starts(cold_start, ramp_start, half)
        second = collect_starts(cold_start, ramp_start + half, half)
        self.assertGreater(len(first), 2 * RATE)
        self.assertGreater(len(second), 5 * len(first))
        self.assertFalse(cold_start.is_limited(ramp_start + RAMP_DURATION))

    def test_a_server_that_turns_cold_in_its_ramp_gets_no_burst(self) -> None:
        cold_start = ColdStart(EPOCH, 100.0, SECOND)
        now = EPOCH + SECOND + 0.9 * RAMP_DURATION
        self.assertTrue(cold_start.allows_start(now))
        cold_start.record_response(now, 5 * SECOND)
        starts = collect_starts(cold_start, now, 3 * SECOND)
        self.assertLessEqual(find_most_in_a_second(starts), 111)

    def test_a_restart_under_the_limit_keeps_what_was_spent(self) -> None:
        former = ColdStart(EPOCH, RATE)
        former.assume_cold(EPOCH)
        while former.allows_start(EPOCH):
            former.record_start(EPOCH)
        cold_start = ColdStart(EPOCH, RATE, SECOND)
        cold_start.inherit(EPOCH, former)
        self.assertFalse(cold_start.allows_start(EPOCH))

    def test_a_limit_that_becomes_known_late_is_applied(self) -> None:
        # The first report may arrive before the tables.
        cold_start = ColdStart(EPOCH, 0.0, 5 * SECOND)
        self.assertFalse(cold_start.is_limited(EPOCH))
        cold_start.set_rate(EPOCH + SECOND, RATE)
        starts = collect_starts(cold_start, EPOCH + SECOND, SECOND)
        self.assertLessEqual(len(starts), RATE + 2)


class ColdAdmissionTest(unittest.TestCase):
    """Guards against calls that queue at a cold server."""

    def setUp(self) -> None:
        self.cold_start = ColdStart(EPOCH, RATE, 10 * SECOND)
        self.admission = Admission(
            Pool("store", slots=40, queue=20, warmup=timedelta(0)),
            0,
            EPOCH,
            random.Random(1),
            self.cold_start,
        )
        self.count = 0

    def offer(
        self,
        now: datetime,
        wait: timedelta,
        importance: Importance = Importance.NORMAL,
    ) -> tuple[Start | Refuse, ...]:
        self.count += 1
        ticket = Ticket(
            self.count,
            importance,
            "coop",
            1.0,
            now,
            now + 5 * SECOND,
            begun=False,
            start_by=now + wait,
        )
        return self.admission.offer(now, ticket)

    def test_refuses_at_once_what_cannot_start_in_its_waiting_time(
        self,
    ) -> None:
        for _ in range(2):
            (action,) = self.offer(EPOCH, 20 * MS)
            self.assertIsInstance(action, Start)
        (action,) = self.offer(EPOCH, 20 * MS)
        assert isinstance(action, Refuse)
        # A code that entry nodes reroute.
        self.assertIs(action.code, ErrorCode.QUEUE_FULL)
        self.assertEqual(self.admission.queued, 0)

    def test_starts_what_can_wait_for_the_next_token(self) -> None:
        for _ in range(2):
            self.offer(EPOCH, 60 * MS)
        self.assertEqual(self.offer(EPOCH, 60 * MS), ())
        due = self.admission.next_due(EPOCH)
        self.assertEqual(due, EPOCH + 50 * MS)
        self.assertEqual(self.admission.tick(due - MS), ())
        self.assertEqual(self.admission.tick(due), (Start(3),))

    def test_higher_classes_take_the_places_of_lower_ones(self) -> None:
        for _ in range(2):
            self.offer(EPOCH, 60 * MS)
        self.assertEqual(self.offer(EPOCH, 60 * MS, Importance.LOW), ())
        (action,) = self.offer(EPOCH, 60 * MS, Importance.CRITICAL)
        assert isinstance(action, Refuse)
        self.assertEqual(action.ticket_id, 3)
        self.assertEqual(self.admission.tick(EPOCH + 50 * MS), (Start(4),))

    def test_a_queue_is_refused_when_the_server_turns_out_cold(self) -> None:
        cold_start = ColdStart(EPOCH, RATE)
        admission = Admission(
            Pool("store", slots=1, queue=20, warmup=timedelta(0)),
            0,
            EPOCH,
            random.Random(1),
            cold_start,
        )
        for ticket_id in range(10):
            admission.offer(
                EPOCH,
                Ticket(
                    ticket_id,
                    Importance.NORMAL,
                    "coop",
                    1.0,
                    EPOCH,
                    EPOCH + 5 * SECOND,
                    begun=False,
                    start_by=EPOCH + 100 * MS,
                ),
            )
        self.assertEqual(admission.queued, 9)
        cold_start.assume_cold(EPOCH)
        actions = admission.tick(EPOCH)
        codes = {a.code for a in actions if isinstance(a, Refuse)}
        self.assertEqual(codes, {ErrorCode.QUEUE_FULL})
        self.assertLessEqual(admission.queued, 3)

    def test_waiting_for_a_cold_server_does_not_raise_the_pressure(
        self,
    ) -> None:
        # Other servers of the pool aren't cold; their callers must not be
        # refused for this one.
        now = EPOCH
        while now < EPOCH + 3 * SECOND:
            for action in self.offer(now, 60 * MS):
                if isinstance(action, Start):
                    self.admission.finish(now, action.ticket_id, Completion.OK)
            now += 5 * MS
        self.assertEqual(self.admission.measure_pressure(now).level, 0.0)

    def test_reports_a_high_load_while_nothing_may_start(self) -> None:
        self.assertEqual(self.cold_start.measure_load(EPOCH), 0.0)
        for _ in range(2):
            self.offer(EPOCH, 20 * MS)
        self.assertEqual(self.cold_start.measure_load(EPOCH), EXHAUSTED_LOAD)


class ColdServerTest(HostTestCase):
    """Guards against nodes that send a cold server too much over TCP."""

    async def start_store(
        self, handler: Handler, rate: float, count: int = 1
    ) -> HostCluster:
        pool = replace(TABLES.pools["store"], cold_rate=rate)
        tables = replace(TABLES, pools={"store": pool})
        cluster = HostCluster([handler] * count, tables)
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        return cluster

    async def test_a_server_that_states_to_be_cold_gets_few_requests(
        self,
    ) -> None:
        """The header also limits the server, and isn't passed on."""

        def respond(request: ReceivedRequest) -> None:
            request.respond(200, b"whole", "X-Cold-Ms: 60000")

        cluster = await self.start_store(respond, 0.01)
        responses = [await cluster.send_request("/read/1") for _ in range(4)]
        statuses = [response.status for response in responses]
        # The burst is two requests; the next token comes after 100 s.
        self.assertEqual(statuses, [200, 200, 503, 503])
        self.assertNotIn("x-cold-ms", responses[0].head.lower())
        self.assertEqual(len(cluster.servers[0].received), 2)

    async def test_no_second_holds_more_than_the_bound(self) -> None:
        """Callers of two hosts ask far more than a cold server may get."""
        loop = asyncio.get_running_loop()
        times: list[float] = []

        def respond(request: ReceivedRequest) -> None:
            times.append(loop.time())
            request.respond(200, b"whole", "X-Cold-Ms: 60000")

        cluster = await self.start_store(respond, RATE, count=2)
        cluster.report_server(1, 2, leaving=True)
        ends_at = loop.time() + 2.5

        async def keep_asking(host: int) -> None:
            while loop.time() < ends_at:
                await cluster.send_request("/read/1", host=host)
                await asyncio.sleep(0.01)

        await asyncio.gather(*(keep_asking(i % 2) for i in range(8)))
        received = [EPOCH + time * SECOND for time in times]
        self.assertLessEqual(
            find_most_in_a_second(received), RATE_RATIO_MAX * RATE + EXTRA_MAX
        )
        self.assertGreater(len(times), RATE)

    async def test_calls_to_a_cold_server_are_rerouted(self) -> None:
        """The other server of the pool serves what the cold one can't."""

        def respond(request: ReceivedRequest) -> None:
            request.respond(200, b"whole")

        cluster = await self.start_store(respond, 0.01, count=2)
        node = cluster.nodes[0]
        node._executor.assume_cold(node._clock.now())
        for _ in range(10):
            response = await cluster.send_request("/read/1")
            self.assertEqual(response.status, 200)
        self.assertLessEqual(len(cluster.servers[0].received), 2)

    async def test_the_loss_of_all_connections_may_mean_a_restart(
        self,
    ) -> None:
        """A server may restart between two reports and be cold."""

        def respond_and_close(request: ReceivedRequest) -> None:
            request.respond(200, b"whole")
            request.transport.close()

        cluster = await self.start_store(respond_and_close, 0.01)
        statuses = [
            (await cluster.send_request("/read/1")).status for _ in range(4)
        ]
        self.assertEqual(statuses, [200, 200, 503, 503])
        # The next report says otherwise.
        cluster.report_server(0, 2)
        session = cluster.nodes[0]._executor._session
        assert session is not None
        now = cluster.nodes[0]._clock.now()
        self.assertFalse(session.cold_start.is_cold(now))

    async def test_a_refused_connection_may_mean_a_restart(self) -> None:
        cluster = await self.start_store(lambda _: None, 0.01)
        cluster.servers[0].close()
        response = await cluster.send_request("/read/1")
        self.assertEqual(response.status, 503)
        session = cluster.nodes[0]._executor._session
        assert session is not None
        now = cluster.nodes[0]._clock.now()
        self.assertTrue(session.cold_start.is_cold(now))

    async def test_a_new_incarnation_is_cold_as_its_first_report_says(
        self,
    ) -> None:
        cluster = await self.start_store(
            lambda request: request.respond(200, b"whole"), 0.01
        )
        node = cluster.nodes[0]
        node.accept_server_report(
            ServerReport(
                "server-0",
                "store",
                "127.0.0.1",
                cluster.servers[0].port,
                2,
                1,
                8,
                warmup_remaining=timedelta(minutes=1),
            )
        )
        statuses = [
            (await cluster.send_request("/read/1")).status for _ in range(3)
        ]
        self.assertEqual(statuses, [200, 200, 503])

    async def test_a_restarted_node_waits_for_the_first_report(self) -> None:
        """It doesn't know whether its server is cold."""
        cluster = await self.start_store(echo_body, RATE)
        node = cluster._create_node(0)
        await node.start()
        self.addAsyncCleanup(node.close)
        node._executor.assume_cold(node._clock.now())
        results: list[RunResult] = []
        call = RunCall(
            1,
            "read",
            "store",
            "GET",
            "/read/1",
            b"",
            b"",
            "7",
            "coop",
            "coop",
            Importance.NORMAL,
            1.0,
            100,
            1000,
            begun=False,
            idempotent=True,
            repeat=False,
        )
        node._executor.run(call, results.append)
        (result,) = results
        assert isinstance(result, RunRefusal)
        self.assertIs(result.code, ErrorCode.NO_SERVER)
        self.assertFalse(result.may_have_run)
        self.assertEqual(cluster.servers[0].received, [])

    async def test_a_pool_without_a_rate_is_not_limited(self) -> None:
        def respond(request: ReceivedRequest) -> None:
            request.respond(200, b"whole", "X-Cold-Ms: 60000")

        cluster = await self.start_store(respond, 0.0)
        for _ in range(10):
            response = await cluster.send_request("/read/1")
            self.assertEqual(response.status, 200)


if __name__ == "__main__":
    unittest.main()
