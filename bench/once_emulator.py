"""Discrete-event emulator of at-most-once execution.

Emulates nodes, network, clocks and control hosts. Each node is entry node,
executing node and witness in one process. The network loses, delays,
duplicates and reorders messages according to the configured faults. Used
by the measurements and the fuzz test of fault schedules.
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

NODE_NAMES: Final = ("n1", "n2", "n3", "n4", "n5")
ATTEMPT_LIMIT: Final = 3
# Maximum duration of a run unless a schedule has longer runs.
USUAL_RUN_SECONDS_MAX: Final = 0.05
REFUSED: Final = "refused"
FAILED: Final = "failed"
REQUEST_TIMEOUT: Final = timedelta(seconds=2)
# Emulated time for which any two clocks stay within CLOCK_SKEW_MAX.
SCHEDULE_SECONDS_MAX: Final = 110.0
CLOCK_OFFSET_SECONDS_MAX: Final = (
    CLOCK_SKEW_MAX.total_seconds() - CLOCK_DRIFT_MAX * SCHEDULE_SECONDS_MAX
) / 2


@dataclass(frozen=True, slots=True)
class Faults:
    """Probability of each fault, for messages, requests and runs."""

    lost: float = 0.0
    lost_intents: float = 0.0
    duplicated: float = 0.0
    delayed: float = 0.0
    refused_at_entry: float = 0.0
    refused_at_executor: float = 0.0
    failed: float = 0.0
    misdirected: float = 0.0


NO_FAULTS: Final = Faults()


@dataclass(frozen=True)
class Call:
    """A forwarded request."""

    plan: AttemptPlan
    remaining: timedelta


@dataclass(frozen=True)
class Reply:
    """Response of an executing node: a denial, a body or a refusal."""

    attempt: str
    result: Denied | bytes | str


@dataclass(eq=False)
class Request:
    """One request of a caller; resends share the key."""

    key: RecordKey
    body: bytes = b"body"
    entered: float = 0.0
    idempotent: bool = False
    # False if the entry node created the id because the caller sent none.
    has_caller_id: bool = True
    limit: int = ATTEMPT_LIMIT
    attempts: RequestAttempts | None = None
    verdict: Verdict | None = None
    answer: bytes | None = None

    def make_answer(self) -> bytes:
        """Return the response body of a backend server to the request."""
        return f"{self.key.request_id} {self.idempotent} ".encode() + self.body


@dataclass
class Node:
    """A process: entry node, executing node and witness in one."""

    emulator: "Emulator"
    name: str
    incarnation: int
    clock_offset_seconds: float
    clock_rate: float
    index: int = -1
    fresh_until: datetime = EPOCH
    plans: dict[str, AttemptPlan] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = self.emulator.rng
        self.tracker = AttemptTracker(self.name, self.incarnation)
        self.witness = Witness(self.name, self.now())
        self.entries = EntryAttempts(self.name, self.incarnation)
        self.fences = FenceTracker()

    def now(self) -> datetime:
        """Return the time of the clock of this process."""
        seconds = (
            self.clock_offset_seconds + self.emulator.time * self.clock_rate
        )
        return EPOCH + timedelta(seconds=seconds)

    def schedule(
        self,
        delay: float,
        action: Callable[..., None],
        *args: Any,
    ) -> None:
        """Run an action after a delay, unless this process ends earlier."""

        def run() -> None:
            if self.emulator.nodes.get(self.name) is self:
                action(*args)

        self.emulator.schedule(delay, run)

    def ping(self) -> None:
        """Request the committed index at random intervals."""
        self.schedule(self.rng.uniform(0.5, 1.5), self.ping)
        self.request_index()

    def request_index(self) -> None:
        """Request the committed index from a control host, if reachable."""
        emulator = self.emulator
        if emulator.is_cut(self.name, "control"):
            return
        age = self.rng.uniform(0.0, 0.4)
        request_delay, response_delay = (
            self.rng.uniform(0, 0.3),
            self.rng.uniform(0, 0.3),
        )
        until = self.now() - timedelta(seconds=age) + CONFIGURATION_LEASE
        confirmed = emulator.time + request_delay - age

        def answer() -> None:
            index = emulator.find_index(confirmed)
            self.schedule(response_delay, self.apply_index, index, until)

        self.schedule(request_delay, answer)

    def apply_index(self, index: int, until: datetime) -> None:
        """Apply a committed index and extend the freshness lease."""
        if index > self.index:
            self.index = index
            groups = dict.fromkeys(
                range(WITNESS_SHARDS),
                self.emulator.committed_groups[index][1],
            )
            self.witness.assign(self.now(), groups)
        self.fresh_until = max(self.fresh_until, until)

    def handle_request(self, request: Request) -> None:
        """Handle a request from a caller."""
        try:
            parse_request_id(request.key.request_id, self.now())
        except RefusalError as error:
            self.emulator.record_verdict(request, error.verdict)
            return
        if self.index < 0:
            self.emulator.record_verdict(request, Verdict.MAY_HAVE_RUN)
            return
        path = request.key.request_id
        request.attempts = self.entries.open(
            self.now(),
            request.key,
            compute_body_digest("POST", path, request.body),
            limit=request.limit,
            idempotent=request.idempotent,
            has_caller_id=request.has_caller_id,
        )
        if self.emulator.draw(self.emulator.faults.refused_at_entry):
            self.refuse(request)
        else:
            self.attempt(request)
        timeout_seconds = REQUEST_TIMEOUT.total_seconds() + 0.2
        self.schedule(timeout_seconds, self.refuse, request)

    def attempt(self, request: Request) -> None:
        """Forward the request to an executing node."""
        assert request.attempts is not None
        executor = self.rng.choice(NODE_NAMES)
        incarnation = self.emulator.incarnations[executor]
        if self.emulator.draw(self.emulator.faults.misdirected):
            incarnation -= 1
        group = self.emulator.committed_groups[self.index][1]
        plan = request.attempts.plan(executor, incarnation, group)
        self.requests[plan.intent.attempt] = request
        self.emulator.requests[plan.intent.attempt] = request
        self.emulator.send(self.name, executor, Call(plan, REQUEST_TIMEOUT))
        for witness in group.witnesses:
            self.emulator.send(self.name, witness, plan.intent)

    def refuse(self, request: Request) -> None:
        """Refuse a request, after fencing it if the verdict is not known."""
        attempts = request.attempts
        if request.verdict is not None or attempts is None:
            return
        request.attempts = None
        verdict = attempts.find_known_verdict()
        if verdict is not None:
            self.emulator.record_verdict(request, verdict)
            return
        group = self.emulator.committed_groups[self.index][1]
        fence = attempts.create_fence(group)
        self.requests[fence.fence_id] = request
        now = self.now()
        self.report_fences(
            self.fences.register_fence(
                now, fence, group, now + REQUEST_TIMEOUT
            )
        )
        for witness in group.witnesses:
            self.emulator.send(self.name, witness, fence)
        self.schedule(
            0.6, lambda: self.report_fences(self.fences.tick(self.now()))
        )

    def report_fences(self, actions: Iterable[Fenced]) -> None:
        """Report the verdicts of completed fences to the callers."""
        for action in actions:
            request = self.requests[action.fence_id]
            self.emulator.record_verdict(request, action.verdict)

    def receive(self, message: object) -> None:
        """Handle a message from another node."""
        now = self.now()
        if isinstance(message, OutcomeRecord):
            self.witness.receive(now, fresh=False, message=message)
        elif isinstance(message, Intent | Fence):
            fresh = now < self.fresh_until
            vote = self.witness.receive(now, fresh=fresh, message=message)
            if vote is not None:
                self.emulator.send(self.name, find_vote_counter(message), vote)
        elif isinstance(message, Vote) and message.attempt.endswith("f"):
            self.report_fences(self.fences.record_vote(now, message))
        elif isinstance(message, Vote):
            self.carry_out(self.tracker.record_vote(now, message))
        elif isinstance(message, Call):
            self.handle_call(now, message)
        elif isinstance(message, Reply):
            self.handle_reply(message)

    def handle_call(self, now: datetime, call: Call) -> None:
        """Handle a forwarded call as the executing node."""
        intent = call.plan.intent
        self.plans[intent.attempt] = call.plan
        deadline = now + call.remaining
        self.carry_out(self.tracker.register_call(now, call.plan, deadline))
        wait = call.remaining.total_seconds() * 1.02
        self.schedule(
            wait, lambda: self.carry_out(self.tracker.tick(self.now()))
        )

    def carry_out(self, actions: tuple[AttemptAction, ...]) -> None:
        """Carry out the decisions of the attempt tracker."""
        for action in actions:
            if isinstance(action, Granted):
                queue_delay = self.rng.uniform(0, 0.5)
                self.schedule(queue_delay, self.start_attempt, action.attempt)
            else:
                self.reply(action.attempt, action)

    def start_attempt(self, attempt: str) -> None:
        """Start the run of a granted attempt, or refuse it."""
        now = self.now()
        shed = self.emulator.draw(self.emulator.faults.refused_at_executor)
        if not shed and self.tracker.start(now, attempt):
            self.emulator.runs.append((self.emulator.time, attempt))
            max_seconds = self.rng.choice(
                (USUAL_RUN_SECONDS_MAX, self.emulator.longest_run_seconds)
            )
            seconds = max_seconds * self.rng.random()
            self.schedule(seconds, self.finish_attempt, attempt)
        elif self.tracker.refuse(now, attempt):
            self.reply(attempt, REFUSED)

    def finish_attempt(self, attempt: str) -> None:
        """End a run with a response or a failure of the backend server."""
        now = self.now()
        plan = self.plans[attempt]
        if self.emulator.draw(self.emulator.faults.failed):
            self.tracker.abandon(now, attempt)
            self.reply(attempt, FAILED)
            return
        body = self.emulator.requests[attempt].make_answer()
        record = self.tracker.complete(now, attempt, 200, (), body)
        self.reply(attempt, body)
        if record is not None and plan.group is not None:
            for witness in plan.group.witnesses:
                self.emulator.send(self.name, witness, record)

    def reply(self, attempt: str, result: Denied | bytes | str) -> None:
        """Send the result of an attempt to the entry node."""
        entry = self.plans[attempt].intent.entry
        self.emulator.send(self.name, entry, Reply(attempt, result))

    def handle_reply(self, reply: Reply) -> None:
        """Answer the caller, or retry or refuse the request."""
        request = self.requests.get(reply.attempt)
        if request is None or request.attempts is None:
            return
        result, retry = reply.result, False
        if isinstance(result, bytes):
            request.attempts = None
            self.emulator.record_answer(request, result)
            return
        if isinstance(result, Denied):
            if result.outcome is not None:
                request.attempts = None
                self.emulator.record_answer(request, result.outcome.body)
                return
            retry = request.attempts.record_denial(self.now(), result)
        elif result == REFUSED:
            request.attempts.record_unstarted(reply.attempt)
        retry = request.attempts.can_retry() and (
            retry or self.rng.random() < 0.7
        )
        if retry:
            self.attempt(request)
        else:
            self.refuse(request)


def find_vote_counter(message: Intent | Fence) -> str:
    """Return the node that counts the votes on a message."""
    return message.entry if isinstance(message, Fence) else message.guard


class Emulator:
    """Event loop with emulated time, network and control hosts."""

    def __init__(
        self,
        seed: int,
        group: Sequence[str] = NODE_NAMES[:3],
        clock_offsets: Mapping[str, float] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock_offsets = clock_offsets or {}
        self.time = 0.0
        self.faults = NO_FAULTS
        self.longest_run_seconds = USUAL_RUN_SECONDS_MAX
        self.event_queue: list[tuple[float, int, Callable[[], object]]] = []
        self.event_count = 0
        self.incarnations = Counter[str]()
        self.nodes: dict[str, Node] = {}
        self.cuts: dict[tuple[str, str], float] = {}
        self.committed_groups = [(0.0, WitnessGroup(1, tuple(group)))]
        # Requests by attempt, starts of runs, and reported verdicts, which the
        # checks of the fuzz test read.
        self.requests: dict[str, Request] = {}
        self.runs: list[tuple[float, str]] = []
        self.reported_verdicts: list[tuple[float, Request]] = []
        self.messages = Counter[str]()
        for name in NODE_NAMES:
            self.restart(name)

    def schedule(self, delay: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay in seconds."""
        self.event_count += 1
        heapq.heappush(
            self.event_queue, (self.time + delay, self.event_count, action)
        )

    def advance(self, until: float) -> None:
        """Run the scheduled actions up to a time in seconds."""
        while self.event_queue and self.event_queue[0][0] <= until:
            self.time, _, action = heapq.heappop(self.event_queue)
            action()
        self.time = until

    def draw(self, share: float) -> bool:
        """Return True with a probability of ``share``."""
        return share > 0 and self.rng.random() < share

    def record_verdict(self, request: Request, verdict: Verdict) -> None:
        """Record the verdict reported for a request without a response."""
        if request.verdict is None:
            request.verdict = verdict
            self.reported_verdicts.append((self.time, request))

    def record_answer(self, request: Request, body: bytes | None) -> None:
        """Record the response to a caller."""
        if request.verdict is None:
            request.verdict = Verdict.RAN
            request.answer = body

    def restart(self, name: str) -> None:
        """Start the process of a node with a new clock offset and rate."""
        self.incarnations[name] += 1
        extreme = self.rng.choice(
            (-CLOCK_OFFSET_SECONDS_MAX, CLOCK_OFFSET_SECONDS_MAX)
        )
        clock_offset_seconds = self.rng.choice(
            (
                extreme,
                self.rng.uniform(
                    -CLOCK_OFFSET_SECONDS_MAX, CLOCK_OFFSET_SECONDS_MAX
                ),
            ),
        )
        clock_offset_seconds = self.clock_offsets.get(
            name, clock_offset_seconds
        )
        clock_rate = (
            1 + self.rng.uniform(-CLOCK_DRIFT_MAX, CLOCK_DRIFT_MAX) / 2
        )
        node = Node(
            self,
            name,
            self.incarnations[name],
            clock_offset_seconds,
            clock_rate,
        )
        self.nodes[name] = node
        node.ping()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from ``source`` to ``target`` are lost."""
        return self.cuts.get((source, target), -1.0) > self.time

    def find_index(self, time: float) -> int:
        """Return the last index that was committed by a time."""
        times = [committed for committed, _ in self.committed_groups]
        return max(i for i, at in enumerate(times) if at <= max(time, 0.0))

    def send(self, source: str, target: str, message: object) -> None:
        """Send a message over the network, subject to the faults."""
        self.messages[type(message).__name__] += 1
        faults = self.faults
        intent = isinstance(message, Intent)
        share = faults.lost + (faults.lost_intents if intent else 0.0)
        if self.is_cut(source, target) or self.draw(share):
            return
        for _ in range(2 if self.draw(faults.duplicated) else 1):
            delay = self.rng.uniform(0.001, 0.01)
            if self.draw(faults.delayed):
                delay = self.rng.choice((0.3, 1.5, 25.0)) * self.rng.random()
            self.schedule(delay, lambda: self.deliver_message(target, message))

    def deliver_message(self, target: str, message: object) -> None:
        """Deliver a message to a node if its process is running."""
        node = self.nodes.get(target)
        if node is not None:
            node.receive(message)

    def crash(self, name: str) -> None:
        """Stop the process of a node and restart it after a delay."""
        self.nodes.pop(name, None)
        restart_delay = self.rng.choice((0.1, 0.1, 3.0)) * self.rng.random()
        self.schedule(restart_delay, lambda: self.restart(name))

    def change_group(self) -> None:
        """Commit a random witness group while some nodes are isolated."""
        _, old = self.committed_groups[-1]
        for name in NODE_NAMES:
            if self.rng.random() < 0.5:
                until = self.time + self.rng.choice((1.0, 4.0, 20.0))
                self.cuts[(name, "control")] = until
        kept = self.rng.choice((2, 2, 2, 1, 0))
        chosen = self.rng.sample(old.witnesses, min(kept, len(old.witnesses)))
        others = [name for name in NODE_NAMES if name not in chosen]
        size = self.rng.choice((3, 3, 3, 3, 2, 1))
        chosen += self.rng.sample(others, max(0, size - len(chosen)))
        self.commit(chosen)

    def commit(self, witnesses: Sequence[str]) -> None:
        """Commit the next witness group."""
        epoch = self.committed_groups[-1][1].epoch + 1
        self.committed_groups.append(
            (self.time, WitnessGroup(epoch, tuple(witnesses)))
        )
        for node in self.nodes.values():
            node.request_index()

    def cut(self, pair: Sequence[str], seconds: float) -> None:
        """Drop all messages from the first to the second node of a pair."""
        self.cuts[pair[0], pair[1]] = self.time + seconds

    def call(self, request: Request, through: str | None = None) -> Request:
        """Send a request through a node, by default a random one."""
        request.entered = self.time
        node = self.nodes.get(through or self.rng.choice(NODE_NAMES))
        if node is not None:
            node.handle_request(request)
        return request

    def create_key(self, at: float) -> RecordKey:
        """Return a record key whose id was created at a time in seconds."""
        created = EPOCH + timedelta(seconds=at)
        return RecordKey("coop", mint_request_id(created, self.rng))
