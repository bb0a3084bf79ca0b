"""Emulator of nodes, network, clocks and control hosts for at-most-once.

Each node is entry node, executing node and witness in one process. Time is
emulated; the network loses, delays, repeats and reorders messages while
faults are on. Used by the measurements and the schedule fuzz.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final

from sequoiaseam._attempt import (
    AttemptAction,
    AttemptPlan,
    AttemptTracker,
    Denied,
    EntryAttempts,
    Fenced,
    FenceTracker,
    Granted,
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
    compute_body_digest,
    mint_request_id,
    parse_request_id,
)
from sequoiaseam.const import (
    CLOCK_DRIFT_MAX,
    CLOCK_SKEW_MAX,
    CONFIGURATION_LEASE,
    WITNESS_SHARDS,
)
from sequoiaseam.errors import RefusalError

NAMES: Final = ("n1", "n2", "n3", "n4", "n5")
LIMIT: Final = 3
# Usual most of a run, in seconds.
RUN: Final = 0.05
REFUSED: Final = "refused"
FAILED: Final = "failed"
TIMEOUT: Final = timedelta(seconds=2)
# Two clocks stay within CLOCK_SKEW_MAX of each other for so many seconds.
LENGTH_MAX: Final = 110.0
OFFSET_MAX: Final = (
    CLOCK_SKEW_MAX.total_seconds() - CLOCK_DRIFT_MAX * LENGTH_MAX
) / 2


@dataclass(frozen=True, slots=True)
class Faults:
    """Shares of messages and runs that meet a fault."""

    lost: float = 0.0
    lost_intents: float = 0.0
    repeated: float = 0.0
    slow: float = 0.0
    refused_at_entry: float = 0.0
    refused_at_executor: float = 0.0
    failed: float = 0.0
    misdirected: float = 0.0


QUIET: Final = Faults()


@dataclass(frozen=True)
class Call:
    """A forwarded request."""

    plan: AttemptPlan
    remaining: timedelta


@dataclass(frozen=True)
class Reply:
    """An executing node's answer: a denial, a body, or a refusal."""

    attempt: str
    result: Denied | bytes | str


@dataclass(eq=False)
class Request:
    """One sending of an id by its caller."""

    key: RecordKey
    body: bytes = b"body"
    entered: float = 0.0
    idempotent: bool = False
    # False if the caller gave no id and the entry node made one.
    named: bool = True
    limit: int = LIMIT
    attempts: RequestAttempts | None = None
    verdict: Verdict | None = None
    answer: bytes | None = None

    def make_answer(self) -> bytes:
        """Return the response of a backend server to the request."""
        return f"{self.key.request_id} {self.idempotent} ".encode() + self.body


@dataclass
class Node:
    """A process: entry node, executing node and witness in one."""

    world: "World"
    name: str
    incarnation: int
    offset: float
    rate: float
    index: int = -1
    fresh_until: datetime = EPOCH
    plans: dict[str, AttemptPlan] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = self.world.rng
        self.tracker = AttemptTracker(self.name, self.incarnation)
        self.witness = Witness(self.name, self.now())
        self.entries = EntryAttempts(self.name, self.incarnation)
        self.fences = FenceTracker()

    def now(self) -> datetime:
        """Return the time by this process's clock."""
        seconds = self.offset + self.world.time * self.rate
        return EPOCH + timedelta(seconds=seconds)

    def later(
        self,
        delay: float,
        action: Callable[..., None],
        *args: Any,
    ) -> None:
        """Run an action unless this process has ended by then."""

        def run() -> None:
            if self.world.nodes.get(self.name) is self:
                action(*args)

        self.world.at(delay, run)

    def ping(self) -> None:
        """Ask for the committed index from time to time."""
        self.later(self.rng.uniform(0.5, 1.5), self.ping)
        self.ask()

    def ask(self) -> None:
        """Ask a control host for the committed index, if reachable."""
        world = self.world
        if world.is_cut(self.name, "control"):
            return
        age = self.rng.uniform(0.0, 0.4)
        there, back = self.rng.uniform(0, 0.3), self.rng.uniform(0, 0.3)
        until = self.now() - timedelta(seconds=age) + CONFIGURATION_LEASE
        confirmed = world.time + there - age

        def answer() -> None:
            index = world.find_index(confirmed)
            self.later(back, self.confirm, index, until)

        self.later(there, answer)

    def confirm(self, index: int, until: datetime) -> None:
        """Apply a committed index and extend the freshness lease."""
        if index > self.index:
            self.index = index
            groups = dict.fromkeys(
                range(WITNESS_SHARDS),
                self.world.log[index][1],
            )
            self.witness.assign(self.now(), groups)
        self.fresh_until = max(self.fresh_until, until)

    def enter(self, request: Request) -> None:
        """Take in a caller's request."""
        try:
            parse_request_id(request.key.request_id, self.now())
        except RefusalError as error:
            self.world.tell(request, error.verdict)
            return
        if self.index < 0:
            self.world.tell(request, Verdict.MAY_HAVE_RUN)
            return
        path = request.key.request_id
        request.attempts = self.entries.open(
            self.now(),
            request.key,
            compute_body_digest("POST", path, request.body),
            limit=request.limit,
            idempotent=request.idempotent,
            has_caller_id=request.named,
        )
        if self.world.chance(self.world.faults.refused_at_entry):
            self.conclude(request)
        else:
            self.attempt(request)
        limit = TIMEOUT.total_seconds() + 0.2
        self.later(limit, self.conclude, request)

    def attempt(self, request: Request) -> None:
        """Forward the request to an executing node."""
        assert request.attempts is not None
        executor = self.rng.choice(NAMES)
        incarnation = self.world.starts[executor]
        if self.world.chance(self.world.faults.misdirected):
            incarnation -= 1
        group = self.world.log[self.index][1]
        plan = request.attempts.plan(executor, incarnation, group)
        self.requests[plan.intent.attempt] = request
        self.world.requests[plan.intent.attempt] = request
        self.world.send(self.name, executor, Call(plan, TIMEOUT))
        for witness in group.witnesses:
            self.world.send(self.name, witness, plan.intent)

    def conclude(self, request: Request) -> None:
        """Refuse a request, with a proof if there is one."""
        attempts = request.attempts
        if request.verdict is not None or attempts is None:
            return
        request.attempts = None
        verdict = attempts.find_known_verdict()
        if verdict is not None:
            self.world.tell(request, verdict)
            return
        group = self.world.log[self.index][1]
        fence = attempts.create_fence(group)
        self.requests[fence.fence_id] = request
        now = self.now()
        self.settle(
            self.fences.register_fence(now, fence, group, now + TIMEOUT)
        )
        for witness in group.witnesses:
            self.world.send(self.name, witness, fence)
        self.later(0.6, lambda: self.settle(self.fences.tick(self.now())))

    def settle(self, actions: Iterable[Fenced]) -> None:
        """Tell the callers what the fences proved."""
        for action in actions:
            request = self.requests[action.fence_id]
            self.world.tell(request, action.verdict)

    def receive(self, message: object) -> None:
        """Take in a message."""
        now = self.now()
        if isinstance(message, OutcomeRecord):
            self.witness.receive(now, fresh=False, message=message)
        elif isinstance(message, Intent | Fence):
            fresh = now < self.fresh_until
            vote = self.witness.receive(now, fresh=fresh, message=message)
            if vote is not None:
                self.world.send(self.name, find_counter(message), vote)
        elif isinstance(message, Vote) and message.attempt.endswith("f"):
            self.settle(self.fences.record_vote(now, message))
        elif isinstance(message, Vote):
            self.act(self.tracker.record_vote(now, message))
        elif isinstance(message, Call):
            self.execute(now, message)
        elif isinstance(message, Reply):
            self.take_reply(message)

    def execute(self, now: datetime, call: Call) -> None:
        """Take in a forwarded call."""
        intent = call.plan.intent
        self.plans[intent.attempt] = call.plan
        deadline = now + call.remaining
        self.act(self.tracker.register_call(now, call.plan, deadline))
        wait = call.remaining.total_seconds() * 1.02
        self.later(wait, lambda: self.act(self.tracker.tick(self.now())))

    def act(self, actions: tuple[AttemptAction, ...]) -> None:
        """Carry out the tracker's decisions."""
        for action in actions:
            if isinstance(action, Granted):
                queued = self.rng.uniform(0, 0.5)
                self.later(queued, self.begin, action.attempt)
            else:
                self.reply(action.attempt, action)

    def begin(self, attempt: str) -> None:
        """Run a granted attempt, or refuse it."""
        now = self.now()
        shed = self.world.chance(self.world.faults.refused_at_executor)
        if not shed and self.tracker.start(now, attempt):
            self.world.runs.append((self.world.time, attempt))
            most = self.rng.choice((RUN, self.world.longest_run))
            seconds = most * self.rng.random()
            self.later(seconds, self.finish, attempt)
        elif self.tracker.refuse(now, attempt):
            self.reply(attempt, REFUSED)

    def finish(self, attempt: str) -> None:
        """End a run, by an answer or a server's death."""
        now = self.now()
        plan = self.plans[attempt]
        if self.world.chance(self.world.faults.failed):
            self.tracker.abandon(now, attempt)
            self.reply(attempt, FAILED)
            return
        body = self.world.requests[attempt].make_answer()
        record = self.tracker.complete(now, attempt, 200, (), body)
        self.reply(attempt, body)
        if record is not None and plan.group is not None:
            for witness in plan.group.witnesses:
                self.world.send(self.name, witness, record)

    def reply(self, attempt: str, result: Denied | bytes | str) -> None:
        """Answer the entry node."""
        entry = self.plans[attempt].intent.entry
        self.world.send(self.name, entry, Reply(attempt, result))

    def take_reply(self, reply: Reply) -> None:
        """Answer the caller, try again or refuse."""
        request = self.requests.get(reply.attempt)
        if request is None or request.attempts is None:
            return
        result, again = reply.result, False
        if isinstance(result, bytes):
            request.attempts = None
            self.world.answer(request, result)
            return
        if isinstance(result, Denied):
            if result.outcome is not None:
                request.attempts = None
                self.world.answer(request, result.outcome.body)
                return
            again = request.attempts.record_denial(self.now(), result)
        elif result == REFUSED:
            request.attempts.record_unstarted(reply.attempt)
        again = request.attempts.can_retry() and (
            again or self.rng.random() < 0.7
        )
        if again:
            self.attempt(request)
        else:
            self.conclude(request)


def find_counter(message: Intent | Fence) -> str:
    """Return the node that counts the votes on a message."""
    return message.entry if isinstance(message, Fence) else message.guard


class World:
    """The network, the true time and the control hosts."""

    def __init__(
        self,
        seed: int,
        group: Sequence[str] = NAMES[:3],
        offsets: Mapping[str, float] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.offsets = offsets or {}
        self.time = 0.0
        self.faults = QUIET
        self.longest_run = RUN
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.count = 0
        self.starts = Counter[str]()
        self.nodes: dict[str, Node] = {}
        self.cuts: dict[tuple[str, str], float] = {}
        self.log = [(0.0, WitnessGroup(1, tuple(group)))]
        # Requests by attempt, starts, and answers, for oracles.
        self.requests: dict[str, Request] = {}
        self.runs: list[tuple[float, str]] = []
        self.told: list[tuple[float, Request]] = []
        self.messages = Counter[str]()
        for name in NAMES:
            self.restart(name)

    def at(self, delay: float, action: Callable[[], object]) -> None:
        """Plan an action, in seconds from now."""
        self.count += 1
        heapq.heappush(self.queue, (self.time + delay, self.count, action))

    def advance(self, until: float) -> None:
        """Run the planned actions up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.time, _, action = heapq.heappop(self.queue)
            action()
        self.time = until

    def chance(self, share: float) -> bool:
        """Return True for a share of the cases."""
        return share > 0 and self.rng.random() < share

    def tell(self, request: Request, verdict: Verdict) -> None:
        """Note what a caller is told of a request without an answer."""
        if request.verdict is None:
            request.verdict = verdict
            self.told.append((self.time, request))

    def answer(self, request: Request, body: bytes | None) -> None:
        """Note the answer that a caller gets."""
        if request.verdict is None:
            request.verdict = Verdict.RAN
            request.answer = body

    def restart(self, name: str) -> None:
        """Start a process with another clock error."""
        self.starts[name] += 1
        extreme = self.rng.choice((-OFFSET_MAX, OFFSET_MAX))
        offset = self.rng.choice(
            (extreme, self.rng.uniform(-OFFSET_MAX, OFFSET_MAX)),
        )
        offset = self.offsets.get(name, offset)
        rate = 1 + self.rng.uniform(-CLOCK_DRIFT_MAX, CLOCK_DRIFT_MAX) / 2
        node = Node(self, name, self.starts[name], offset, rate)
        self.nodes[name] = node
        node.ping()

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether messages in a direction are lost."""
        return self.cuts.get((source, target), -1.0) > self.time

    def find_index(self, time: float) -> int:
        """Return the index that was committed last at a time."""
        times = [committed for committed, _ in self.log]
        return max(i for i, at in enumerate(times) if at <= max(time, 0.0))

    def send(self, source: str, target: str, message: object) -> None:
        """Deliver a message late, twice, never, or out of order."""
        self.messages[type(message).__name__] += 1
        faults = self.faults
        intent = isinstance(message, Intent)
        share = faults.lost + (faults.lost_intents if intent else 0.0)
        if self.is_cut(source, target) or self.chance(share):
            return
        for _ in range(2 if self.chance(faults.repeated) else 1):
            delay = self.rng.uniform(0.001, 0.01)
            if self.chance(faults.slow):
                delay = self.rng.choice((0.3, 1.5, 25.0)) * self.rng.random()
            self.at(delay, lambda: self.deliver(target, message))

    def deliver(self, target: str, message: object) -> None:
        """Hand a message to a process, if it is up."""
        node = self.nodes.get(target)
        if node is not None:
            node.receive(message)

    def crash(self, name: str) -> None:
        """End a process and start it again later."""
        self.nodes.pop(name, None)
        pause = self.rng.choice((0.1, 0.1, 3.0)) * self.rng.random()
        self.at(pause, lambda: self.restart(name))

    def change_group(self) -> None:
        """Commit a group while some nodes don't hear of it."""
        _, old = self.log[-1]
        for name in NAMES:
            if self.rng.random() < 0.5:
                until = self.time + self.rng.choice((1.0, 4.0, 20.0))
                self.cuts[(name, "control")] = until
        kept = self.rng.choice((2, 2, 2, 1, 0))
        chosen = self.rng.sample(old.witnesses, min(kept, len(old.witnesses)))
        others = [name for name in NAMES if name not in chosen]
        size = self.rng.choice((3, 3, 3, 3, 2, 1))
        chosen += self.rng.sample(others, max(0, size - len(chosen)))
        self.commit(chosen)

    def commit(self, witnesses: Sequence[str]) -> None:
        """Commit the next group."""
        epoch = self.log[-1][1].epoch + 1
        self.log.append((self.time, WitnessGroup(epoch, tuple(witnesses))))
        for node in self.nodes.values():
            node.ask()

    def cut(self, pair: Sequence[str], seconds: float) -> None:
        """Lose all messages in one direction for a while."""
        self.cuts[pair[0], pair[1]] = self.time + seconds

    def call(self, request: Request, through: str | None = None) -> Request:
        """Send a request now, through a random node if none is given."""
        request.entered = self.time
        node = self.nodes.get(through or self.rng.choice(NAMES))
        if node is not None:
            node.enter(request)
        return request

    def mint(self, at: float) -> RecordKey:
        """Return a key with an id made at a time."""
        minted = EPOCH + timedelta(seconds=at)
        return RecordKey("coop", mint_request_id(minted, self.rng))
