"""Stateful test of at-most-once execution against a list of all runs."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sequoiaseam._attempt import (
    AttemptAction,
    AttemptPlan,
    AttemptTracker,
    Denied,
    EntryAttempts,
    Fenced,
    FenceTracker,
    RequestAttempts,
)
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import WitnessGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import (
    Fence,
    Intent,
    OutcomeRecord,
    RecordKey,
    Vote,
    Witness,
    compute_shard,
    mint_request_id,
)
from sequoiaseam.const import CONFIGURATION_LEASE
from sequoiaseam.errors import ErrorCode
from tests.stateful import build_settings

MS = timedelta(milliseconds=1)
PICK = st.integers(0, 30)
SOON = st.sampled_from((9, 5, 3, 0))
NAMES: Final = ("w0", "w1", "w2", "w3")
EXECUTORS: Final = ("g0", "g1")
Message = Intent | Fence | OutcomeRecord | Vote | AttemptPlan | Denied


@dataclass(eq=False)
class Request:
    """A request at the entry node, with its attempts."""

    attempts: RequestAttempts
    group: WitnessGroup
    executor: int


@dataclass(slots=True)
class Place:
    """A witness, the index of the last group it knows and its incarnation."""

    witness: Witness
    known: int
    incarnation: int = 1


class OnceMachine(RuleBasedStateMachine):
    """One entry, two guards, three witnesses of four, one id.

    Messages are lost, repeated, late and reordered; all parts restart,
    and witnesses hear of a new group within the lease or stop voting.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = EPOCH
        group = WitnessGroup(1, NAMES[:3], (1, 1, 1))
        self.groups = [(EPOCH, group)]
        self.count = 0
        self.mail: list[tuple[str, Message]] = []
        self.runs: list[str] = []
        self.entered: dict[str, datetime] = {}
        self.told: list[datetime] = []
        self.key = RecordKey("coop", mint_request_id(EPOCH, Random(1)))
        self.places = {
            name: Place(Witness(name, EPOCH, 1), 0) for name in NAMES
        }
        for place in self.places.values():
            place.witness.assign(EPOCH, self.list_groups(0))
        self.trackers = [AttemptTracker(name, 1) for name in EXECUTORS]
        self.incarnations = [1, 1]
        self.restart_entry()

    def list_groups(self, number: int) -> dict[int, WitnessGroup]:
        return {compute_shard(self.key): self.groups[number][1]}

    def restart_entry(self) -> None:
        self.count += 1
        self.entry = EntryAttempts("e", self.count)
        self.fences = FenceTracker()
        self.requests: list[Request] = []

    def deliver_soon(self, count: int) -> None:
        """Deliver the newest messages first, the older ones stay."""
        for _ in range(count):
            if self.mail:
                self.receive(*self.mail.pop())

    @rule(guard=st.integers(0, 1), lag=st.integers(0, 1), count=SOON)
    def call(self, guard: int, lag: int, count: int) -> None:
        """Send the id; the entry may know the group before only."""
        group = self.groups[max(0, len(self.groups) - 1 - lag)][1]
        attempts = self.entry.open(
            self.now,
            self.key,
            b"digest",
            limit=2,
            idempotent=False,
            has_caller_id=True,
        )
        request = Request(attempts, group, guard)
        self.requests.append(request)
        self.attempt(request)
        self.deliver_soon(count)

    def attempt(self, request: Request) -> None:
        guard, group = request.executor, request.group
        plan = request.attempts.plan(
            EXECUTORS[guard],
            self.incarnations[guard],
            group,
        )
        self.entered[plan.intent.attempt] = request.attempts.entered
        self.mail.append((EXECUTORS[guard], plan))
        self.mail += [(name, plan.intent) for name in group.witnesses]

    @precondition(lambda self: self.requests)
    @rule(pick=PICK, count=SOON)
    def give_up(self, pick: int, count: int) -> None:
        """Refuse a request once a fence tells whether it ran."""
        request = self.requests.pop(pick % len(self.requests))
        fence, group = (
            request.attempts.create_fence(request.group),
            request.group,
        )
        until = self.now + 400 * MS
        self.conclude(
            self.fences.register_fence(self.now, fence, group, until)
        )
        self.mail += [(name, fence) for name in group.witnesses]
        self.deliver_soon(count)

    def conclude(self, actions: tuple[Fenced, ...]) -> None:
        for action in actions:
            if action.verdict is Verdict.NOT_RUN:
                self.told.append(self.now)

    @precondition(lambda self: self.mail)
    @rule(
        picks=st.lists(PICK, min_size=1, max_size=6),
        copies=st.sampled_from((1, 2, 0)),
    )
    def deliver(self, picks: list[int], copies: int) -> None:
        for pick in picks:
            if self.mail:
                name, message = self.mail.pop(pick % len(self.mail))
                for _ in range(copies):
                    self.receive(name, message)

    def receive(self, name: str, message: Message) -> None:
        if name == "e":
            self.receive_at_entry(message)
        elif name in EXECUTORS:
            self.receive_at_guard(EXECUTORS.index(name), message)
        elif isinstance(message, Intent | Fence | OutcomeRecord):
            place = self.places[name]
            last = place.known + 1 == len(self.groups)
            lease = (
                last
                or self.now
                < self.groups[place.known + 1][0] + CONFIGURATION_LEASE
            )
            vote = place.witness.receive(
                self.now,
                fresh=lease,
                message=message,
            )
            if vote is not None:
                guard = getattr(message, "guard", "e")
                self.mail.append((guard, vote))

    def receive_at_entry(self, message: Message) -> None:
        if isinstance(message, Vote):
            self.conclude(self.fences.record_vote(self.now, message))
        elif isinstance(message, Denied):
            for request in self.requests:
                attempts = request.attempts
                if message.attempt.startswith(f"{attempts.id_prefix}."):
                    attempts.record_denial(self.now, message)
                    if message.unstarted and attempts.can_retry():
                        request.executor = 1 - request.executor
                        self.attempt(request)

    def receive_at_guard(self, guard: int, message: Message) -> None:
        tracker = self.trackers[guard]
        actions: tuple[AttemptAction, ...] = ()
        if isinstance(message, AttemptPlan):
            until = self.now + 2000 * MS
            actions = tracker.register_call(self.now, message, until)
        elif isinstance(message, Vote):
            actions = tracker.record_vote(self.now, message)
        self.act(guard, actions)

    def act(self, guard: int, actions: tuple[AttemptAction, ...]) -> None:
        tracker = self.trackers[guard]
        for action in actions:
            if isinstance(action, Denied):
                self.mail.append(("e", action))
            elif len(self.entered) % 4 == 3 and tracker.refuse(
                self.now,
                action.attempt,
            ):
                # Simulates a full queue.
                code = ErrorCode.QUEUE_FULL
                denied = Denied(action.attempt, code, Verdict.NOT_RUN)
                self.mail.append(("e", denied))
            elif tracker.start(self.now, action.attempt):
                self.runs.append(action.attempt)

    @precondition(lambda self: self.runs)
    @rule(guard=st.integers(0, 1))
    def complete(self, guard: int) -> None:
        outcome = self.trackers[guard].complete(
            self.now,
            self.runs[-1],
            200,
            (),
            b"",
        )
        if outcome is not None:
            names = self.groups[-1][1].witnesses
            self.mail += [(name, outcome) for name in names]

    @rule(step=st.sampled_from((1, 10, 450, 1100)))
    def wait(self, step: int) -> None:
        self.now += step * MS
        self.conclude(self.fences.tick(self.now))
        for guard, tracker in enumerate(self.trackers):
            self.act(guard, tracker.tick(self.now))

    @precondition(lambda self: len(self.entered) % 3 == 2)
    @rule(part=st.sampled_from((*NAMES, *EXECUTORS, "e")))
    def restart(self, part: str) -> None:
        if part == "e":
            self.restart_entry()
        elif part in EXECUTORS:
            guard = EXECUTORS.index(part)
            self.incarnations[guard] += 1
            incarnation = self.incarnations[guard]
            self.trackers[guard] = AttemptTracker(part, incarnation)
        else:
            place = self.places[part]
            place.incarnation += 1
            place.witness = Witness(part, self.now, place.incarnation)
            self.learn(part)

    @precondition(lambda self: len(self.entered) // 3 >= len(self.groups))
    @rule(left_out=st.sampled_from(NAMES), late=st.sampled_from(NAMES))
    def change_group(self, left_out: str, late: str) -> None:
        names = tuple(name for name in NAMES if name != left_out)
        numbers = tuple(self.places[name].incarnation for name in names)
        epoch = len(self.groups) + 1
        self.groups.append((self.now, WitnessGroup(epoch, names, numbers)))
        for name in NAMES:
            if name != late:
                self.learn(name)

    @rule(name=st.sampled_from(NAMES))
    def learn(self, name: str) -> None:
        place = self.places[name]
        place.known = len(self.groups) - 1
        place.witness.assign(self.now, self.list_groups(place.known))

    @invariant()
    def run_at_most_once(self) -> None:
        assert len(self.runs) <= 1, "the request ran twice"
        ran = [self.entered[attempt] for attempt in self.runs]
        for at in self.told:
            assert all(entered > at for entered in ran), "not run is false"


class OnceMachineTest(OnceMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against a second run and a false verdict "not run"."""

    settings = build_settings(200, 40)
