"""State machine test of admission against a model of all tickets."""

import random
from dataclasses import replace
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from sequoiaseam._admission import Admission, AdmissionAction, Refuse, Start
from sequoiaseam._clock import EPOCH
from sequoiaseam._limiter import Completion
from sequoiaseam._queue import Ticket
from sequoiaseam._tables import Importance, Pool
from sequoiaseam.errors import ErrorCode
from tests.stateful import build_settings

MS = timedelta(milliseconds=1)
POOL = Pool("history", slots=20, connections=20, queue=4)
SLOTS = st.integers(1, 4)
ROOM = st.integers(0, 4)
PICK = st.integers(0, 30)


class AdmissionMachine(RuleBasedStateMachine):
    """Tickets of all kinds, nested calls, edits of the pool, draining."""

    @initialize(slots=SLOTS, room=ROOM, warmup=st.sampled_from((0, 2)))
    def build(self, slots: int, room: int, warmup: int) -> None:
        self.now = EPOCH
        self.slots, self.draining = slots, False
        self.pool = replace(
            POOL,
            queue=room,
            warmup=timedelta(seconds=warmup),
        )
        rng = random.Random(0)
        self.admission = Admission(self.pool, slots, self.now, rng)
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}
        self.suspended: set[int] = set()
        self.count = 0

    @rule(
        importance=st.sampled_from(Importance),
        workspace=st.sampled_from("ab"),
        patience=st.sampled_from((3000, 60, 5, 0)),
        begun=st.booleans(),
        exclusive=st.sampled_from((False, False, False, True)),
    )
    def offer(
        self,
        importance: Importance,
        workspace: str,
        patience: int,
        *,
        begun: bool,
        exclusive: bool,
    ) -> None:
        self.count += 1
        ticket = Ticket(
            ticket_id=self.count,
            importance=importance,
            workspace=workspace,
            weight=1.0,
            arrived=self.now,
            deadline=self.now + patience * MS,
            begun=begun,
            exclusive=exclusive,
        )
        self.waiting[self.count] = ticket
        actions = self.admission.offer(self.now, ticket)
        if self.draining:
            assert [type(action) for action in actions] == [Refuse]
            assert actions[0].ticket_id == self.count
        self.apply(actions)
        assert self.draining or len(self.waiting) <= self.pool.queue

    @precondition(lambda self: self.running)
    @rule(pick=PICK, completion=st.sampled_from(Completion))
    def finish(self, pick: int, completion: Completion) -> None:
        ticket_id = list(self.running)[pick % len(self.running)]
        del self.running[ticket_id]
        self.suspended.discard(ticket_id)
        self.apply(self.admission.finish(self.now, ticket_id, completion))

    @precondition(lambda self: self.running or self.waiting)
    @rule(pick=PICK)
    def cancel(self, pick: int) -> None:
        known = [*self.waiting, *self.running]
        ticket_id = known[pick % len(known)]
        self.waiting.pop(ticket_id, None)
        self.running.pop(ticket_id, None)
        self.suspended.discard(ticket_id)
        self.apply(self.admission.cancel(self.now, ticket_id))

    @precondition(lambda self: self.running)
    @rule(pick=PICK)
    def call_nested(self, pick: int) -> None:
        ticket_id = list(self.running)[pick % len(self.running)]
        if ticket_id in self.suspended:
            self.suspended.remove(ticket_id)
            self.admission.resume(self.now, ticket_id)
        else:
            self.suspended.add(ticket_id)
            self.apply(self.admission.suspend(self.now, ticket_id))

    @rule(step=st.sampled_from((1, 5, 40, 150)))
    def wait(self, step: int) -> None:
        self.now += step * MS
        self.apply(self.admission.tick(self.now))

    @rule(slots=SLOTS, room=ROOM)
    def configure(self, slots: int, room: int) -> None:
        self.slots = slots
        self.pool = replace(self.pool, queue=room)
        self.apply(self.admission.configure(self.now, self.pool, slots))

    @precondition(lambda self: self.count > 4)
    @rule()
    def drain(self) -> None:
        self.draining = True
        self.admission.drain(self.now)

    @precondition(lambda self: self.count > 4)
    @rule()
    def run_out(self) -> None:
        """Every ticket is answered if the server goes on working."""
        for _ in range(100):
            if not self.running and not self.waiting:
                return
            if self.running:
                self.finish(0, Completion.OK)
            self.wait(40)
        raise AssertionError("tickets are left without an answer")

    def apply(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            ticket = self.waiting.pop(action.ticket_id, None)
            assert ticket is not None, "a second answer, or one too late"
            if isinstance(action, Start):
                self.check_start(ticket)
                self.running[ticket.ticket_id] = ticket
            elif action.code is ErrorCode.DRAINING:
                assert self.draining
        assert self.admission.running == len(self.running)
        assert self.admission.queued == len(self.waiting)

    def check_start(self, ticket: Ticket) -> None:
        assert len(self.running) < self.slots, "over the slots"
        assert ticket.deadline >= self.now, "started after its deadline"
        assert not any(other.exclusive for other in self.running.values())
        assert not (ticket.exclusive and self.running), "not alone"
        assert not any(
            other.priority > ticket.priority
            and not (other.exclusive and self.running)
            and other.deadline > self.now
            for other in self.waiting.values()
        ), "a more important ticket waits"


class AdmissionMachineTest(AdmissionMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against tickets lost, decided twice or started out of order."""

    settings = build_settings(120, 40)
