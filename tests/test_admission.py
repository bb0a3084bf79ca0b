"""Tests of the concurrency limit, the queue and admission."""

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
) -> Ticket:
    """Return a ticket that waits up to ``patience``."""
    return Ticket(
        ticket_id,
        importance,
        workspace,
        weight,
        arrived,
        arrived + patience,
        begun,
        exclusive,
    )


def build_admission(slots: int = 4, queue: int = 8) -> Admission:
    """Return the admission of a warm server."""
    pool = replace(POOL, slots=slots, queue=queue)
    return Admission(pool, 0, EPOCH, random.Random(1))


def list_started(actions: tuple[AdmissionAction, ...]) -> list[int]:
    """Return the tickets that start."""
    return [a.ticket_id for a in actions if isinstance(a, Start)]


def list_refused(
    actions: tuple[AdmissionAction, ...],
) -> list[tuple[int, ErrorCode]]:
    """Return the tickets that are refused, with the codes."""
    return [(a.ticket_id, a.code) for a in actions if isinstance(a, Refuse)]


class OrderTest(unittest.TestCase):
    """Guards against starts in the wrong order."""

    def run_one_by_one(self, *tickets: Ticket) -> list[int]:
        admission = build_admission(slots=1)
        admission.offer(EPOCH, build_ticket(1000))
        for ticket in tickets:
            self.assertEqual(admission.offer(EPOCH, ticket), ())
        order = [1000]
        while admission.running:
            done = order[-1]
            order += list_started(
                admission.finish(EPOCH + MS, done, Completion.OK),
            )
        return order[1:]

    def test_class_then_trees_in_progress(self) -> None:
        order = self.run_one_by_one(
            build_ticket(1, Importance.LOW, begun=True),
            build_ticket(2, Importance.HIGH),
            build_ticket(3, Importance.CRITICAL),
            build_ticket(4, Importance.HIGH, begun=True),
        )
        self.assertEqual(order, [3, 4, 2, 1])

    def test_workspaces_by_weight(self) -> None:
        # A workspace with many waiting tickets must not take the turns
        # of the others; twice the weight is twice the starts.
        tickets = [build_ticket(n, workspace="a") for n in range(1, 5)]
        tickets += [
            build_ticket(n, workspace="b", weight=2.0) for n in range(5, 9)
        ]
        first = self.run_one_by_one(*tickets)[:6]
        self.assertEqual(sum(n >= 5 for n in first), 4)


class QueueFullTest(unittest.TestCase):
    """Guards against a full queue that keeps out the important."""

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

    def test_queue_of_zero_still_uses_slots(self) -> None:
        admission = build_admission(slots=1, queue=0)
        first = admission.offer(EPOCH, build_ticket(1))
        second = admission.offer(EPOCH, build_ticket(2))
        self.assertEqual(list_started(first), [1])
        self.assertEqual(list_refused(second), [(2, ErrorCode.QUEUE_FULL)])


class DeadlineTest(unittest.TestCase):
    """Guards against work for requests that end too late."""

    def test_refuses_what_cannot_finish(self) -> None:
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
        # The estimate must fade, or a server that was slow once would
        # never be tried again.
        now += timedelta(seconds=3)
        late = build_ticket(51, arrived=now, patience=50 * MS)
        self.assertEqual(list_started(admission.offer(now, late)), [51])

    def test_refuses_waiting_ticket_when_its_time_is_over(self) -> None:
        admission = build_admission(slots=1)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2, patience=200 * MS))
        due = admission.next_due(EPOCH + 190 * MS)
        self.assertLessEqual(due, EPOCH + 200 * MS)
        actions = admission.tick(EPOCH + 201 * MS)
        self.assertEqual(list_refused(actions), [(2, ErrorCode.DEADLINE)])


class CancelAndDrainTest(unittest.TestCase):
    """Guards against lost slots and work after the end."""

    def test_cancelled_tickets_free_queue_and_slot(self) -> None:
        admission = build_admission(slots=1)
        for n in (1, 2, 3):
            admission.offer(EPOCH, build_ticket(n))
        self.assertEqual(admission.cancel(EPOCH, 2), ())
        self.assertEqual(list_started(admission.cancel(EPOCH, 1)), [3])
        self.assertEqual(admission.finish(EPOCH, 1, Completion.OK), ())

    def test_draining_runs_what_waits(self) -> None:
        admission = build_admission(slots=1)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2))
        admission.drain(EPOCH)
        refused = admission.offer(EPOCH, build_ticket(3))
        self.assertEqual(list_refused(refused), [(3, ErrorCode.DRAINING)])
        started = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(started), [2])


class SuspendTest(unittest.TestCase):
    """Guards against a limit used up by waiting for nested calls."""

    def build(self) -> Admission:
        """Return an admission whose limit is 2 of 4 slots."""
        admission = build_admission(slots=4)
        for n in range(1, 5):
            admission.offer(EPOCH, build_ticket(n))
        admission.finish(EPOCH, 4, Completion.SHED)
        admission.finish(EPOCH, 3, Completion.OK)
        self.assertEqual((admission.limit, admission.running), (2, 2))
        return admission

    def test_waiting_ones_free_the_limit_but_keep_their_slots(self) -> None:
        admission = self.build()
        for n in range(5, 10):
            self.assertEqual(admission.offer(EPOCH, build_ticket(n)), ())
        self.assertEqual(list_started(admission.suspend(EPOCH, 1)), [5])
        self.assertEqual(list_started(admission.suspend(EPOCH, 2)), [6])
        # All slots are taken.
        self.assertEqual(admission.suspend(EPOCH, 5), ())
        done = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(done), [7])

    def test_resumed_ones_count_again(self) -> None:
        admission = self.build()
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
        done = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(done), [6])


class AloneTest(unittest.TestCase):
    """Guards against a suspect that takes others with it, or starves."""

    def test_runs_alone_and_does_not_starve(self) -> None:
        admission = build_admission(slots=2)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2, exclusive=True))
        for n in (3, 4):
            self.assertEqual(admission.offer(EPOCH, build_ticket(n)), ())
        done = admission.finish(EPOCH, 1, Completion.OK)
        self.assertEqual(list_started(done), [2])
        self.assertEqual(admission.offer(EPOCH, build_ticket(5)), ())
        done = admission.finish(EPOCH, 2, Completion.OK)
        self.assertEqual(list_started(done), [3, 4])

    def test_more_important_ones_pass(self) -> None:
        admission = build_admission(slots=2)
        admission.offer(EPOCH, build_ticket(1))
        admission.offer(EPOCH, build_ticket(2, exclusive=True))
        actions = admission.offer(EPOCH, build_ticket(3, Importance.HIGH))
        self.assertEqual(list_started(actions), [3])


class EmulatedServer:
    """A server that shares ``cores`` among the running requests."""

    def __init__(self, limiter: Limiter, cores: int, seed: int) -> None:
        self.limiter = limiter
        self.cores = cores
        self.speed = 1.0
        self.sheds_over = 10_000
        self.sheds_part = 0.0
        self.rng = random.Random(seed)
        self.now = EPOCH
        self.requests: list[tuple[float, datetime]] = []
        self.done = 0

    def run(self, seconds: float) -> float:
        """Keep the limit used; return requests done in a second."""
        step = 2 * MS
        done = self.done
        for _ in range(round(seconds * 500)):
            self.now += step
            self._fill()
            active = max(1, len(self.requests))
            part = self.speed * min(1.0, self.cores / active) * 0.002
            self.requests = [(w - part, s) for w, s in self.requests]
            for work, started in list(self.requests):
                if work <= 0:
                    self.requests.remove((work, started))
                    self.limiter.finish(self.now, started, Completion.OK)
                    self.done += 1
        return (self.done - done) / seconds

    def _fill(self) -> None:
        while len(self.requests) < self.limiter.limit:
            self.limiter.start(self.now)
            if len(self.requests) >= self.sheds_over:
                self.limiter.finish(self.now, self.now, Completion.SHED)
                return
            if self.sheds_part and self.rng.random() < self.sheds_part:
                self.limiter.finish(self.now, self.now, Completion.SHED)
                continue
            work = self.rng.uniform(0.02, 0.06)
            self.requests.append((work, self.now))


class LimiterTest(unittest.TestCase):
    """Guards against a limit far from the server's capacity."""

    def build(self, cores: int, slots: int = 60) -> EmulatedServer:
        limiter = Limiter(slots, timedelta(0), EPOCH)
        return EmulatedServer(limiter, cores, seed=3)

    def test_finds_capacity_below_the_announced_slots(self) -> None:
        server = self.build(cores=10)
        server.run(3)
        self.assertGreater(server.run(3), 0.9 * 250)
        self.assertLess(server.limiter.limit, 25)

    def test_server_that_turns_slow_keeps_its_slots(self) -> None:
        # Cutting the limit of a server that is slow at any concurrency
        # would lose the capacity that is left.
        server = self.build(cores=60)
        server.run(2)
        server.speed = 0.25
        server.run(3)
        self.assertGreater(server.run(4), 0.9 * 375)

    def test_server_that_sheds_is_kept_near_its_level(self) -> None:
        server = self.build(cores=60)
        server.sheds_over = 20
        server.run(2)
        self.assertGreater(server.run(6), 0.85 * 500)

    def test_sheds_at_any_concurrency_do_not_cut_the_limit(self) -> None:
        """Guards against one request at a time on a server with 60 slots."""
        for part in (0.1, 0.3, 0.55):
            with self.subTest(part=part):
                server = self.build(cores=60)
                server.run(2)
                server.sheds_part = part
                server.run(2)
                self.assertGreater(server.run(6), 0.8 * 1500)
                server.sheds_part = 0.0
                server.run(1)
                self.assertGreater(server.run(2), 0.9 * 1500)

    def test_cold_server_starts_small(self) -> None:
        limiter = Limiter(60, timedelta(seconds=4), EPOCH)
        server = EmulatedServer(limiter, 60, seed=3)
        self.assertLessEqual(limiter.limit, 6)
        server.run(2)
        self.assertLessEqual(limiter.limit, 30)
        server.run(4)
        self.assertGreater(limiter.limit, 50)

    def test_false_hint_does_not_pin_the_limit(self) -> None:
        server = self.build(cores=60)
        server.sheds_over = 6
        server.run(1)
        server.sheds_over = 10_000
        for _ in range(80):
            server.limiter.record_load(server.now, 1.0)
            server.run(0.1)
        self.assertGreater(server.limiter.limit, 50)


class AdmissionFuzz:
    """A seeded schedule against an oracle that keeps all tickets."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.rng = rng
        self.slots = rng.choice((1, 2, 5, 20))
        self.room = rng.choice((0, 1, 4, 30))
        self.now = EPOCH
        pool = replace(
            POOL,
            slots=self.slots,
            queue=self.room,
            warmup=timedelta(seconds=rng.choice((0, 2))),
        )
        self.admission = Admission(pool, 0, EPOCH, random.Random(seed))
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}
        self.suspended: set[int] = set()
        self.count = 0

    def run(self, steps: int) -> None:
        """Run the schedule and then let everything end."""
        for _ in range(steps):
            self.now += self.rng.choice((0, 1, 5, 40)) * MS
            step = self.rng.random()
            if step < 0.5:
                self.offer()
            elif step < 0.85:
                self.finish()
            elif step < 0.92:
                self.cancel()
            elif step < 0.97:
                self.wait()
            else:
                self.apply(self.admission.tick(self.now))
        for _ in range(1000):
            if not self.running and not self.waiting:
                return
            self.now += 50 * MS
            self.apply(self.admission.tick(self.now))
            self.finish()
        raise AssertionError("tickets are left without an answer")

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
            end = self.rng.choice(list(Completion))
            self.apply(self.admission.finish(self.now, ticket_id, end))

    def cancel(self) -> None:
        known = [*self.waiting, *self.running]
        if known:
            ticket_id = self.rng.choice(known)
            self.waiting.pop(ticket_id, None)
            self.running.pop(ticket_id, None)
            self.suspended.discard(ticket_id)
            self.apply(self.admission.cancel(self.now, ticket_id))

    def wait(self) -> None:
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
            # A second action for a ticket fails here.
            ticket = self.waiting.pop(action.ticket_id)
            if isinstance(action, Start):
                self.check_start(ticket)
                self.running[ticket.ticket_id] = ticket
        assert len(self.running) <= self.slots
        assert len(self.waiting) <= self.room
        assert 1 <= self.admission.limit <= self.slots
        assert 0 <= self.admission.measure_pressure(self.now).level < 4
        assert self.admission.running == len(self.running)
        assert self.admission.queued == len(self.waiting)
        self.check_progress()

    def check_start(self, ticket: Ticket) -> None:
        assert ticket.deadline >= self.now, "started after its deadline"
        assert not any(t.exclusive for t in self.running.values())
        assert not (ticket.exclusive and self.running)
        better = [
            other
            for other in self.waiting.values()
            if other.priority > ticket.priority
            and not (other.exclusive and self.running)
            and other.deadline > self.now
        ]
        assert not better, "a more important ticket waits"

    def check_progress(self) -> None:
        busy = any(t.exclusive for t in self.running.values())
        working = len(self.running) - len(self.suspended)
        free = working < self.admission.limit and not busy
        free = free and len(self.running) < self.slots
        if free and self.waiting:
            assert self.running, "an idle server leaves tickets waiting"
            top = max(t.priority for t in self.waiting.values())
            heads = [t for t in self.waiting.values() if t.priority == top]
            assert any(t.exclusive for t in heads), "a slot is left unused"


class AdmissionFuzzTest(unittest.TestCase):
    """Guards against rules that hold only in the expected order."""

    def test_schedules(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                AdmissionFuzz(seed).run(120)


class MixedServer:
    """A server that works on each request alone, of several kinds.

    Part of the requests of a kind end at their timeout.
    """

    def __init__(self, seed: int, *, late: float) -> None:
        self.limiter = Limiter(40, timedelta(0), EPOCH)
        self.rng = random.Random(seed)
        self.late = late
        self.slowness = 1.0
        self.now = EPOCH
        self.lowest = self.limiter.limit
        self.ends: list[tuple[datetime, int, datetime, str, bool]] = []
        self.count = 0

    def run(self, seconds: float, kinds: tuple[int, ...]) -> None:
        """Keep the limit used with requests of some milliseconds."""
        until = self.now + timedelta(seconds=seconds)
        while self.now < until:
            while len(self.ends) < self.limiter.limit:
                self._start(self.rng.choice(kinds))
            end, _, started, kind, late = heapq.heappop(self.ends)
            self.now = end
            completion = Completion.TIMEOUT if late else Completion.OK
            self.limiter.finish(end, started, completion, latency_group=kind)
            self.lowest = min(self.lowest, self.limiter.limit)

    def _start(self, milliseconds: int) -> None:
        late = self.rng.random() < self.late
        work = milliseconds * self.slowness * self.rng.uniform(0.6, 1.4)
        took = (1000 if late else work) * MS
        self.limiter.start(self.now)
        self.count += 1
        item = (self.now + took, self.count, self.now, f"{milliseconds}", late)
        heapq.heappush(self.ends, item)


class MixedWorkTest(unittest.TestCase):
    """Guards against a limit that follows the mix of requests."""

    def test_keeps_the_slots_whatever_the_mix(self) -> None:
        phases = ((5,), (160,), (5, 50), (15, 160), (5,), (50, 160), (5, 15))
        for seed in range(5):
            for late in (0.0, 0.02):
                with self.subTest(seed=seed, late=late):
                    server = MixedServer(seed, late=late)
                    for kinds in phases:
                        server.run(3, kinds)
                    # One trial cut at a time, taken back each time.
                    self.assertGreaterEqual(server.lowest, 0.7 * 0.7 * 40)
                    self.assertGreaterEqual(server.limiter.limit, 0.7 * 40)

    def test_keeps_the_slots_of_a_server_twice_as_slow(self) -> None:
        server = MixedServer(1, late=0.0)
        server.run(3, (5, 15, 50, 160))
        server.slowness = 2.0
        server.run(6, (5, 15, 50, 160))
        self.assertGreaterEqual(server.limiter.limit, 0.7 * 40)

    def test_shorter_requests_during_a_trial_prove_nothing(self) -> None:
        now = EPOCH
        limiter = Limiter(40, timedelta(0), now)
        lowest = limiter.limit
        for milliseconds, rounds in ((5, 40), (50, 2), (5, 60)):
            latency = timedelta(milliseconds=milliseconds)
            for _ in range(rounds):
                count = limiter.limit
                for _ in range(count):
                    limiter.start(now)
                started, now = now, now + latency
                for _ in range(count):
                    limiter.finish(now, started, Completion.OK)
                lowest = min(lowest, limiter.limit)
        # One trial cut, which is taken back, and none upon it.
        self.assertGreaterEqual(lowest, 28)
