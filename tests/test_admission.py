"""Tests of admission control, its queue and its concurrency limit."""

import heapq
import os
import random
import unittest
from dataclasses import replace
from datetime import datetime, timedelta

from sequoiaseam._admission import Admission, AdmissionAction, Refuse, Start
from sequoiaseam._clock import EPOCH
from sequoiaseam._limiter import Completion, Limiter
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Importance, Pool
from sequoiaseam.errors import ErrorCode
from tests.seeds import iterate_seeds

SCHEDULES = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
MS = timedelta(milliseconds=1)
POOL = Pool("history", slots=4, queue=8, warmup=timedelta(0))


def build_ticket(
    ticket_id: int = 1,
    importance: Importance = Importance.NORMAL,
    workspace: str = "coop",
    *,
    weight: float = 1.0,
    arrived: datetime = EPOCH,
    patience: timedelta = timedelta(seconds=5),
    begun: bool = False,
    exclusive: bool = False,
    latency_group: str = "",
    max_wait: timedelta | None = None,
) -> Ticket:
    """Return a ticket whose deadline is ``patience`` after its arrival."""
    return Ticket(
        ticket_id,
        importance,
        workspace,
        weight,
        arrived,
        arrived + patience,
        begun,
        exclusive,
        latency_group,
        None if max_wait is None else arrived + max_wait,
    )


def build_admission(slots: int = 4, queue: int = 8) -> Admission:
    """Return the admission of a backend server without warmup."""
    pool = replace(POOL, slots=slots, queue=queue)
    return Admission(pool, 0, EPOCH, random.Random(1))


def list_started(actions: tuple[AdmissionAction, ...]) -> list[int]:
    """Return the ids of the tickets that start."""
    return [a.ticket_id for a in actions if isinstance(a, Start)]


def list_refused(
    actions: tuple[AdmissionAction, ...],
) -> list[tuple[int, ErrorCode]]:
    """Return the ids and error codes of the tickets that are refused."""
    return [(a.ticket_id, a.code) for a in actions if isinstance(a, Refuse)]


class StartOrderTest(unittest.TestCase):
    """Guards against tickets that start in the wrong order."""

    def run_sequentially(self, *tickets: Ticket) -> list[int]:
        admission = build_admission(slots=1)
        admission.offer(EPOCH, build_ticket(1000))
        for ticket in tickets:
            self.assertEqual(admission.offer(EPOCH, ticket), ())
        order = [1000]
        while admission.running:
            finished = order[-1]
            order += list_started(
                admission.finish(EPOCH + MS, finished, Completion.OK),
            )
        return order[1:]

    def test_starts_by_class_then_nested_calls_first(self) -> None:
        order = self.run_sequentially(
            build_ticket(1, Importance.LOW, begun=True),
            build_ticket(2, Importance.HIGH),
            build_ticket(3, Importance.CRITICAL),
            build_ticket(4, Importance.HIGH, begun=True),
        )
        self.assertEqual(order, [3, 4, 2, 1])

    def test_shares_starts_by_workspace_weight(self) -> None:
        # A workspace with many waiting tickets must not delay those of
        # the others; twice the weight gets twice the starts.
        tickets = [build_ticket(n, workspace="a") for n in range(1, 5)]
        tickets += [
            build_ticket(n, workspace="b", weight=2.0) for n in range(5, 9)
        ]
        first = self.run_sequentially(*tickets)[:6]
        self.assertEqual(sum(n >= 5 for n in first), 4)


class QueueFullTest(unittest.TestCase):
    """Guards against a full queue that refuses more important tickets."""

    def test_evicts_lowest_class_then_most_over_share(self) -> None:
        admission = build_admission(slots=1, queue=3)
        admission.offer(EPOCH, build_ticket(1))
        low = Importance.LOW
        admission.offer(EPOCH, build_ticket(2, low, "big"))
        admission.offer(EPOCH, build_ticket(3, low, "small"))
        admission.offer(EPOCH, build_ticket(4, low, "big"))
        actions = admission.offer(EPOCH, build_ticket(5, Importance.HIGH))
        self.assertEqual(list_refused(actions), [(4, ErrorCode.QUEUE_FULL)])
        actions = admission.offer(EPOCH, build_ticket(6, low, "big"))
        self.assertEqual(list_refused(actions), [(6, ErrorCode.QUEUE_FULL)])

    def test_uses_slots_without_queue(self) -> None:
        admission = build_admission(slots=1, queue=0)
        first = admission.offer(EPOCH, build_ticket(1))
        second = admission.offer(EPOCH, build_ticket(2))
        self.assertEqual(list_started(first), [1])
        self.assertEqual(list_refused(second), [(2, ErrorCode.QUEUE_FULL)])


class DeadlineTest(unittest.TestCase):
    """Guards against running requests that can't meet their deadline."""

    def test_refuses_ticket_that_cannot_finish_in_time(self) -> None:
        admission = build_admission()
        now = EPOCH
        for n in range(1, 20):
            admission.offer(now, build_ticket(n, arrived=now))
            now += 100 * MS
            admission.finish(now, n, Completion.OK)
        late = build_ticket(50, arrived=now, patience=50 * MS)
        self.assertEqual(
            list_refused(admission.offer(now, late)),
            [(50, ErrorCode.DEADLINE)],
        )
        # Without decay of the estimate, a server that was slow once
        # would never be offered a request again.
        now += timedelta(seconds=3)
        late = build_ticket(51, arrived=now, patience=50 * MS)
        self.assertEqual(list_started(admission.offer(now, late)), [51])

    def test_refuses_waiting_ticket_at_its_deadline(self) -> None:
        admission = build_admission(slots=1)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2, patience=200 * MS))
        due = admission.next_due(EPOCH + 190 * MS)
        self.assertLessEqual(due, EPOCH + 200 * MS)
        actions = admission.tick(EPOCH + 201 * MS)
        self.assertEqual(list_refused(actions), [(2, ErrorCode.DEADLINE)])


class MixedDeadlineTest(unittest.TestCase):
    """Guards against requests refused for the duration of other ones.

    The load is a server whose long requests hold its slots while nested
    calls with short deadlines arrive.
    """

    def build_busy(self) -> Admission:
        """Return the admission of a server that runs mostly long requests."""
        admission = build_admission(slots=2)
        now = EPOCH
        for ticket_id in range(1, 61):
            group, duration = ("long", 900 * MS)
            if ticket_id % 5 == 0:
                group, duration = ("short", 20 * MS)
            admission.offer(
                now,
                build_ticket(ticket_id, arrived=now, latency_group=group),
            )
            now += duration
            admission.finish(now, ticket_id, Completion.OK)
        self.now = now
        return admission

    def test_a_short_call_starts_on_a_free_slot(self) -> None:
        admission = self.build_busy()
        ticket = build_ticket(
            100,
            arrived=self.now,
            patience=300 * MS,
            latency_group="short",
            max_wait=100 * MS,
        )
        self.assertEqual(
            list_started(admission.offer(self.now, ticket)), [100]
        )

    def test_a_short_call_waits_for_a_slot(self) -> None:
        admission = self.build_busy()
        for ticket_id in (100, 101):
            ticket = build_ticket(
                ticket_id, arrived=self.now, latency_group="long"
            )
            admission.offer(self.now, ticket)
        ticket = build_ticket(
            102,
            arrived=self.now,
            patience=300 * MS,
            latency_group="short",
            max_wait=200 * MS,
        )
        self.assertEqual(admission.offer(self.now, ticket), ())
        later = self.now + 150 * MS
        self.assertEqual(admission.tick(later), ())
        self.assertEqual(
            list_started(admission.finish(later, 100, Completion.OK)), [102]
        )

    def test_a_long_request_without_enough_time_is_refused(self) -> None:
        admission = self.build_busy()
        ticket = build_ticket(
            100,
            arrived=self.now,
            patience=300 * MS,
            latency_group="long",
            max_wait=200 * MS,
        )
        self.assertEqual(
            list_refused(admission.offer(self.now, ticket)),
            [(100, ErrorCode.DEADLINE)],
        )

    def test_a_request_waits_no_longer_than_it_may(self) -> None:
        admission = self.build_busy()
        for ticket_id in (100, 101, 102):
            ticket = build_ticket(
                ticket_id,
                arrived=self.now,
                latency_group="long",
                max_wait=100 * MS,
            )
            admission.offer(self.now, ticket)
        self.assertEqual(
            list_refused(admission.tick(self.now + 101 * MS)),
            [(102, ErrorCode.DEADLINE)],
        )


class CancelAndDrainTest(unittest.TestCase):
    """Guards against leaked slots and starts after cancel or drain."""

    def test_cancelled_tickets_free_queue_and_slot(self) -> None:
        admission = build_admission(slots=1)
        for n in (1, 2, 3):
            admission.offer(EPOCH, build_ticket(n))
        self.assertEqual(admission.cancel(EPOCH, 2), ())
        self.assertEqual(list_started(admission.cancel(EPOCH, 1)), [3])
        self.assertEqual(admission.finish(EPOCH, 1, Completion.OK), ())

    def test_draining_runs_waiting_tickets(self) -> None:
        admission = build_admission(slots=1)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2))
        admission.drain(EPOCH)
        refused = admission.offer(EPOCH, build_ticket(3))
        self.assertEqual(list_refused(refused), [(3, ErrorCode.DRAINING)])
        started = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(started), [2])


class SuspendTest(unittest.TestCase):
    """Guards against a limit exhausted by waits for nested calls."""

    def build_limited(self) -> Admission:
        """Return an admission whose limit is 2 of 4 slots."""
        admission = build_admission(slots=4)
        for n in range(1, 5):
            admission.offer(EPOCH, build_ticket(n))
        admission.finish(EPOCH, 4, Completion.SHED)
        admission.finish(EPOCH, 3, Completion.OK)
        self.assertEqual((admission.limit, admission.running), (2, 2))
        return admission

    def test_suspended_requests_free_limit_but_keep_slots(self) -> None:
        admission = self.build_limited()
        for n in range(5, 10):
            self.assertEqual(admission.offer(EPOCH, build_ticket(n)), ())
        self.assertEqual(list_started(admission.suspend(EPOCH, 1)), [5])
        self.assertEqual(list_started(admission.suspend(EPOCH, 2)), [6])
        # All slots are in use.
        self.assertEqual(admission.suspend(EPOCH, 5), ())
        actions = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(actions), [7])

    def test_resumed_requests_count_toward_limit(self) -> None:
        admission = self.build_limited()
        for _ in range(2):
            admission.suspend(EPOCH, 1)
        admission.resume(EPOCH, 1)
        self.assertEqual(
            list_started(admission.offer(EPOCH, build_ticket(5))),
            [5],
        )
        admission.resume(EPOCH, 1)
        admission.resume(EPOCH, 1)
        self.assertEqual(admission.offer(EPOCH, build_ticket(6)), ())
        self.assertEqual(admission.finish(EPOCH, 5, Completion.OK), ())
        actions = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(actions), [6])


class ExclusiveTest(unittest.TestCase):
    """Guards against a suspect that starves or crashes other requests."""

    def test_runs_alone_and_does_not_starve(self) -> None:
        admission = build_admission(slots=2)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2, exclusive=True))
        for n in (3, 4):
            self.assertEqual(admission.offer(EPOCH, build_ticket(n)), ())
        actions = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(actions), [2])
        self.assertEqual(admission.offer(EPOCH, build_ticket(5)), ())
        actions = admission.finish(EPOCH, 2, Completion.OK)
        self.assertEqual(list_started(actions), [3, 4])

    def test_more_important_tickets_overtake(self) -> None:
        admission = build_admission(slots=2)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2, exclusive=True))
        actions = admission.offer(EPOCH, build_ticket(3, Importance.HIGH))
        self.assertEqual(list_started(actions), [3])


class SimulatedServer:
    """Simulated server whose running requests share ``cores``."""

    def __init__(
        self,
        limiter: Limiter,
        cores: int,
        seed: int,
        mean_work: timedelta = 40 * MS,
    ) -> None:
        self.limiter = limiter
        self.cores = cores
        self.mean_work = mean_work
        self.speed = 1.0
        self.shed_threshold = 10_000
        self.shed_probability = 0.0
        self.rng = random.Random(seed)
        self.now = EPOCH
        self.requests: list[tuple[float, datetime]] = []
        self.completed = 0

    def run(self, seconds: float) -> float:
        """Keep the limit in use; return the throughput per second."""
        step = 2 * MS
        completed = self.completed
        for _ in range(round(seconds * 500)):
            self.now += step
            self._start_requests()
            active = max(1, len(self.requests))
            progress = self.speed * min(1.0, self.cores / active) * 0.002
            self.requests = [(w - progress, s) for w, s in self.requests]
            for remaining, started in list(self.requests):
                if remaining <= 0:
                    self.requests.remove((remaining, started))
                    self.limiter.finish(self.now, started, Completion.OK)
                    self.completed += 1
        return (self.completed - completed) / seconds

    def _start_requests(self) -> None:
        while len(self.requests) < self.limiter.limit:
            self.limiter.start(self.now)
            if len(self.requests) >= self.shed_threshold:
                self.limiter.finish(self.now, self.now, Completion.SHED)
                return
            if (
                self.shed_probability
                and self.rng.random() < self.shed_probability
            ):
                self.limiter.finish(self.now, self.now, Completion.SHED)
                continue
            work = self.mean_work.total_seconds() * self.rng.uniform(0.5, 1.5)
            self.requests.append((work, self.now))


class LimiterTest(unittest.TestCase):
    """Guards against a limit that doesn't match the server's capacity."""

    def build(
        self,
        cores: int,
        slots: int = 60,
        *,
        seed: int = 3,
        mean_work: timedelta = 40 * MS,
    ) -> SimulatedServer:
        limiter = Limiter(slots, timedelta(0), EPOCH)
        return SimulatedServer(limiter, cores, seed, mean_work)

    def test_finds_capacity_below_slots(self) -> None:
        server = self.build(cores=10)
        server.run(3)
        self.assertGreater(server.run(3), 0.9 * 250)
        self.assertLess(server.limiter.limit, 25)

    def test_keeps_limit_of_server_that_becomes_slow(self) -> None:
        # A lower limit for a server that is slow at any concurrency
        # would lose part of its remaining capacity.
        server = self.build(cores=60)
        server.run(2)
        server.speed = 0.25
        server.run(3)
        self.assertGreater(server.run(4), 0.9 * 375)

    def test_stays_near_concurrency_at_which_server_sheds(self) -> None:
        server = self.build(cores=60)
        server.shed_threshold = 20
        server.run(2)
        self.assertGreater(server.run(6), 0.85 * 500)

    def test_sheds_at_any_concurrency_keep_the_limit(self) -> None:
        """Guard against a limit of one on a server with 60 slots."""
        for probability in (0.1, 0.3, 0.55):
            with self.subTest(probability=probability):
                server = self.build(cores=60)
                server.run(2)
                server.shed_probability = probability
                server.run(2)
                self.assertGreater(server.run(6), 0.8 * 1500)
                server.shed_probability = 0.0
                server.run(1)
                self.assertGreater(server.run(2), 0.9 * 1500)

    def test_sheds_keep_the_slots_of_a_server_with_long_requests(
        self,
    ) -> None:
        """Guard against few slots with few completions a second.

        The load is a fleet of servers with some twenty slots that refuse
        a part of their requests at any concurrency for seconds.
        """
        for mean_work, slots in ((170 * MS, 21), (800 * MS, 25)):
            capacity = slots / (mean_work / timedelta(seconds=1))
            for seed in iterate_seeds(3):
                with self.subTest(mean_work=mean_work, seed=seed):
                    server = self.build(
                        cores=60, slots=slots, seed=seed, mean_work=mean_work
                    )
                    server.run(5)
                    server.shed_probability = 0.4
                    server.run(4)
                    self.assertGreater(server.run(8), 0.6 * capacity)
                    server.shed_probability = 0.0
                    server.run(2)
                    self.assertGreater(server.run(4), 0.8 * capacity)

    def test_limit_rises_during_warmup(self) -> None:
        limiter = Limiter(60, timedelta(seconds=4), EPOCH)
        server = SimulatedServer(limiter, 60, seed=3)
        self.assertLessEqual(limiter.limit, 6)
        server.run(2)
        self.assertLessEqual(limiter.limit, 30)
        server.run(4)
        self.assertGreater(limiter.limit, 50)

    def test_false_load_report_does_not_hold_down_limit(self) -> None:
        server = self.build(cores=60)
        server.shed_threshold = 6
        server.run(1)
        server.shed_threshold = 10_000
        for _ in range(80):
            server.limiter.record_load(server.now, 1.0)
            server.run(0.1)
        self.assertGreater(server.limiter.limit, 50)


class AdmissionFuzz:
    """Seeded random schedule, checked against a model of all tickets."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.rng = rng
        self.slots = rng.choice((1, 2, 5, 20))
        self.queue_size = rng.choice((0, 1, 4, 30))
        self.now = EPOCH
        pool = replace(
            POOL,
            slots=self.slots,
            queue=self.queue_size,
            warmup=timedelta(seconds=rng.choice((0, 2))),
        )
        self.admission = Admission(pool, 0, EPOCH, random.Random(seed))
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}
        self.suspended: set[int] = set()
        self.count = 0

    def run(self, steps: int) -> None:
        """Run the schedule, then finish all remaining tickets."""
        for _ in range(steps):
            self.now += self.rng.choice((0, 1, 5, 40)) * MS
            choice = self.rng.random()
            if choice < 0.5:
                self.offer()
            elif choice < 0.85:
                self.finish()
            elif choice < 0.92:
                self.cancel()
            elif choice < 0.97:
                self.toggle_nested_call()
            else:
                self.apply(self.admission.tick(self.now))
        for _ in range(1000):
            if not self.running and not self.waiting:
                return
            self.now += 50 * MS
            self.apply(self.admission.tick(self.now))
            self.finish()
        raise AssertionError("tickets are left waiting or running")

    def offer(self) -> None:
        self.count += 1
        rng = self.rng
        ticket = build_ticket(
            self.count,
            Importance(rng.randrange(4)),
            rng.choice("abc"),
            weight=rng.choice((0.5, 1.0, 3.0)),
            arrived=self.now,
            patience=rng.choice((-1, 5, 100, 3000)) * MS,
            begun=rng.random() < 0.3,
            exclusive=rng.random() < 0.05,
        )
        self.waiting[self.count] = ticket
        self.apply(self.admission.offer(self.now, ticket))

    def finish(self) -> None:
        if self.running:
            ticket_id = self.rng.choice(list(self.running))
            del self.running[ticket_id]
            self.suspended.discard(ticket_id)
            completion = self.rng.choice(list(Completion))
            self.apply(self.admission.finish(self.now, ticket_id, completion))

    def cancel(self) -> None:
        ticket_ids = [*self.waiting, *self.running]
        if ticket_ids:
            ticket_id = self.rng.choice(ticket_ids)
            self.waiting.pop(ticket_id, None)
            self.running.pop(ticket_id, None)
            self.suspended.discard(ticket_id)
            self.apply(self.admission.cancel(self.now, ticket_id))

    def toggle_nested_call(self) -> None:
        if not self.running:
            return
        ticket_id = self.rng.choice(list(self.running))
        if ticket_id in self.suspended:
            self.suspended.remove(ticket_id)
            self.admission.resume(self.now, ticket_id)
        else:
            self.suspended.add(ticket_id)
            self.apply(self.admission.suspend(self.now, ticket_id))

    def apply(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            # Raises KeyError on a second action for the same ticket.
            ticket = self.waiting.pop(action.ticket_id)
            if isinstance(action, Start):
                self.check_start(ticket)
                self.running[ticket.ticket_id] = ticket
        assert len(self.running) <= self.slots
        assert len(self.waiting) <= self.queue_size
        assert 1 <= self.admission.limit <= self.slots
        assert 0 <= self.admission.measure_pressure(self.now).level < 4
        assert self.admission.running == len(self.running)
        assert self.admission.queued == len(self.waiting)
        self.check_no_idle_slot()

    def check_start(self, ticket: Ticket) -> None:
        assert ticket.deadline >= self.now, "started after its deadline"
        assert not any(t.exclusive for t in self.running.values())
        assert not (ticket.exclusive and self.running)
        overtaken = [
            other
            for other in self.waiting.values()
            if other.priority > ticket.priority
            and not (other.exclusive and self.running)
            and other.deadline > self.now
        ]
        assert not overtaken, "a more important ticket waits"

    def check_no_idle_slot(self) -> None:
        exclusive_running = any(t.exclusive for t in self.running.values())
        processing = len(self.running) - len(self.suspended)
        slot_free = processing < self.admission.limit and not exclusive_running
        slot_free = slot_free and len(self.running) < self.slots
        if slot_free and self.waiting:
            assert self.running, "an idle server leaves tickets waiting"
            top_priority = max(t.priority for t in self.waiting.values())
            next_tickets = [
                t for t in self.waiting.values() if t.priority == top_priority
            ]
            assert any(t.exclusive for t in next_tickets), (
                "a slot is left unused"
            )


class AdmissionFuzzTest(unittest.TestCase):
    """Guards against invariants that break on unusual event orders."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                AdmissionFuzz(seed).run(120)


class MixedLatencyServer:
    """Simulated server whose latencies don't depend on concurrency.

    Requests of each mean latency form a latency group. Part of them end
    at their timeout.
    """

    def __init__(self, seed: int, *, timeout_probability: float) -> None:
        self.limiter = Limiter(40, timedelta(0), EPOCH)
        self.rng = random.Random(seed)
        self.timeout_probability = timeout_probability
        self.latency_factor = 1.0
        self.now = EPOCH
        self.lowest_limit = self.limiter.limit
        self.in_flight: list[tuple[datetime, int, datetime, str, bool]] = []
        self.count = 0

    def run(self, seconds: float, mean_latencies_ms: tuple[int, ...]) -> None:
        """Keep the limit in use with requests of these mean latencies."""
        until = self.now + timedelta(seconds=seconds)
        while self.now < until:
            while len(self.in_flight) < self.limiter.limit:
                self._start(self.rng.choice(mean_latencies_ms))
            end, _, started, latency_group, timed_out = heapq.heappop(
                self.in_flight
            )
            self.now = end
            completion = Completion.TIMEOUT if timed_out else Completion.OK
            self.limiter.finish(
                end, started, completion, latency_group=latency_group
            )
            self.lowest_limit = min(self.lowest_limit, self.limiter.limit)

    def _start(self, mean_latency_ms: int) -> None:
        timed_out = self.rng.random() < self.timeout_probability
        latency_ms = (
            mean_latency_ms * self.latency_factor * self.rng.uniform(0.6, 1.4)
        )
        duration = (1000 if timed_out else latency_ms) * MS
        self.limiter.start(self.now)
        self.count += 1
        entry = (
            self.now + duration,
            self.count,
            self.now,
            f"{mean_latency_ms}",
            timed_out,
        )
        heapq.heappush(self.in_flight, entry)


class MixedLatencyTest(unittest.TestCase):
    """Guards against a limit that depends on the mix of requests."""

    def test_keeps_limit_for_any_mix(self) -> None:
        phases = ((5,), (160,), (5, 50), (15, 160), (5,), (50, 160), (5, 15))
        for seed in range(5):
            for timeout_probability in (0.0, 0.02):
                with self.subTest(
                    seed=seed, timeout_probability=timeout_probability
                ):
                    server = MixedLatencyServer(
                        seed, timeout_probability=timeout_probability
                    )
                    for mean_latencies_ms in phases:
                        server.run(3, mean_latencies_ms)
                    # Trials lower the limit one at a time and restore it.
                    self.assertGreaterEqual(
                        server.lowest_limit, 0.7 * 0.7 * 40
                    )
                    self.assertGreaterEqual(server.limiter.limit, 0.7 * 40)

    def test_keeps_limit_when_latency_doubles(self) -> None:
        server = MixedLatencyServer(1, timeout_probability=0.0)
        server.run(3, (5, 15, 50, 160))
        server.latency_factor = 2.0
        server.run(6, (5, 15, 50, 160))
        self.assertGreaterEqual(server.limiter.limit, 0.7 * 40)

    def test_trial_with_changed_mix_is_inconclusive(self) -> None:
        now = EPOCH
        limiter = Limiter(40, timedelta(0), now)
        lowest_limit = limiter.limit
        for latency_ms, rounds in ((5, 40), (50, 2), (5, 60)):
            latency = timedelta(milliseconds=latency_ms)
            for _ in range(rounds):
                count = limiter.limit
                for _ in range(count):
                    limiter.start(now)
                started, now = now, now + latency
                for _ in range(count):
                    limiter.finish(now, started, Completion.OK)
                lowest_limit = min(lowest_limit, limiter.limit)
        # One trial lowers the limit and restores it; no other trial
        # starts from the lowered limit.
        self.assertGreaterEqual(lowest_limit, 28)
