"""Tests of even load among few members that many nodes call.

A model of senders and servers without a network compares the choice for
pools with many callers to the one for other pools and to a choice with full
knowledge.
"""

import bisect
import functools
import heapq
import itertools
import random
import statistics
import unittest
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import Member, MemberState
from tests.builders import build_member
from tests.seeds import iterate_seeds

POOL: Final = "history"
DOMAINS: Final = ("a", "b", "c")
SECOND: Final = timedelta(seconds=1)
SERVICE_S: Final = 0.055
# A server slows down by this factor above this part of its slots.
CROWDED_FACTOR: Final = 1.3
OVERLOADED: Final = 0.95
# A server whose used part of the slots is less than this counts as idle.
IDLE: Final = 0.7
STEP_S: Final = 0.01
WARMUP_S: Final = 4.0
# Transit between nodes, in the same and between failure domains.
LOCAL_TRANSIT_S: Final = 0.0002
REMOTE_TRANSIT_S: Final = 0.001
# A call that has waited this long in a server's queue is refused.
QUEUE_WAIT_MAX_S: Final = 0.5


@dataclass(slots=True, eq=False)
class Server:
    """A server that runs calls in its slots in order of arrival."""

    name: str
    domain: str
    slots: int
    slowness: float = 1.0
    # Start and end of the times in which a neighbour slows it.
    slowed: list[tuple[float, float]] = field(default_factory=list)
    absent: tuple[float, float] = (0.0, 0.0)
    # What it states instead of its load, if that is false.
    stated_load: float | None = None
    stated_pace: float | None = None
    running: int = 0
    queue: deque["Call"] = field(default_factory=deque)
    loads: list[float] = field(default_factory=list)
    paces: list[float] = field(default_factory=list)

    @property
    def load(self) -> float:
        """Return running and waiting calls relative to the slots."""
        return (self.running + len(self.queue)) / self.slots

    def compute_pace(self, now: float) -> float:
        """Return the relative duration of work because of a neighbour."""
        index = bisect.bisect_right(self.slowed, (now, 1e9)) - 1
        return 2.5 if index >= 0 and now < self.slowed[index][1] else 1.0

    def compute_factor(self, now: float) -> float:
        """Return the duration of work relative to an idle server's."""
        crowded = self.running > OVERLOADED * self.slots
        factor = CROWDED_FACTOR if crowded else 1.0
        return self.slowness * factor * self.compute_pace(now)

    def is_present(self, now: float) -> bool:
        """Return whether the server is in service."""
        return not self.absent[0] <= now < self.absent[1]


@dataclass(slots=True, eq=False)
class Call:
    """A call in progress."""

    sender: int
    started_at: float
    server: Server
    work_s: float
    hurried: bool
    incarnation: int = 1


@dataclass(slots=True)
class Load:
    """A named load on the servers of a pool."""

    servers: Callable[[random.Random], list[Server]]
    senders: int = 60
    utilization: float = 0.74
    # Age of the load data that responses carry.
    data_age_s: float = 0.5
    sender_weights: dict[str, float] = field(
        default_factory=lambda: dict.fromkeys(DOMAINS, 1.0)
    )
    duration_s: float = 10.0
    # Part of the calls with a short objective.
    hurried: float = 0.0


@dataclass(slots=True)
class Outcome:
    """What the servers and callers met."""

    overload_s: float = 0.0
    calls: int = 0
    local_calls: int = 0
    refused: int = 0
    latencies: list[float] = field(default_factory=list)
    hurried_latencies: list[float] = field(default_factory=list)
    by_server: dict[str, int] = field(default_factory=dict)

    @property
    def mean_latency(self) -> float:
        """Return the mean latency; a refused call counts as its wait."""
        return sum(self.latencies) / len(self.latencies)

    @property
    def hurried_latency(self) -> float:
        """Return the mean latency of calls with a short objective."""
        return sum(self.hurried_latencies) / len(self.hurried_latencies)

    @property
    def tail_latency(self) -> float:
        """Return the latency that one call in a hundred exceeds."""
        return sorted(self.latencies)[int(0.99 * len(self.latencies))]


class Model:
    """Senders with a balancer each, and the servers that they call."""

    def __init__(self, load: Load, choice: str, seed: int) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.choice = choice
        self.servers = load.servers(random.Random(seed + 1000))
        self.by_name = {server.name: server for server in self.servers}
        self.outcome = Outcome()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.ids = itertools.count()
        self.now = 0.0
        self.balancers = [
            Balancer(f"s{i}", DOMAINS[i % 3], "south", self.rng)
            for i in range(load.senders)
        ]
        self.members = self.build_members()
        self.update_members()
        self.weights = list(
            itertools.accumulate(
                load.sender_weights[DOMAINS[i % 3]]
                for i in range(load.senders)
            )
        )

    def build_members(self) -> dict[str, Member]:
        """Return the members of all pools that the balancers know.

        Without those of other pools, few nodes call each member.
        """
        members = {
            s.name: build_member(s.name, domain=s.domain) for s in self.servers
        }
        if self.choice == "new":
            for i in range(self.load.senders - len(self.servers)):
                members[f"s{i}"] = build_member(f"s{i}", pool="other")
        return members

    def update_members(self) -> None:
        for balancer in self.balancers:
            balancer.update(self.get_time(self.now), self.members)

    @staticmethod
    def get_time(now: float) -> datetime:
        return EPOCH + timedelta(seconds=now)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.ids), action))

    def run(self) -> Outcome:
        """Run the load and return what it met."""
        capacity = sum(s.slots / s.slowness for s in self.servers)
        rate = self.load.utilization * capacity / SERVICE_S
        self.schedule(0.0, self.sample)
        for server in self.servers:
            if server.absent[1]:
                for at in server.absent:
                    self.schedule(at, functools.partial(self.toggle, server))

        def arrive() -> None:
            self.schedule(self.rng.expovariate(rate), arrive)
            self.send()

        self.schedule(0.0, arrive)
        while self.now < self.load.duration_s:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.outcome

    def toggle(self, server: Server) -> None:
        """Take a server out of service or bring it back."""
        member = self.members[server.name]
        if server.is_present(self.now):
            self.members[server.name] = replace(
                member,
                incarnation=member.incarnation + 1,
                state=MemberState.SERVING,
            )
        else:
            self.members[server.name] = replace(
                member, state=MemberState.DRAINING
            )
        self.update_members()

    def sample(self) -> None:
        """Record the load of all servers."""
        self.schedule(STEP_S, self.sample)
        for server in self.servers:
            server.loads.append(server.load)
            server.paces.append(server.compute_pace(self.now))
        present = [s for s in self.servers if s.is_present(self.now)]
        if self.now >= WARMUP_S and (
            max(s.load for s in present) > OVERLOADED
            and min(s.load for s in present) < IDLE
        ):
            self.outcome.overload_s += STEP_S

    def send(self) -> None:
        """Let one of the senders make a call."""
        total = self.weights[-1]
        sender = bisect.bisect(self.weights, self.rng.random() * total)
        hurried = self.rng.random() < self.load.hurried
        now = self.get_time(self.now)
        balancer = self.balancers[sender]
        if self.choice == "full":
            server = min(
                (s for s in self.servers if s.is_present(self.now)),
                key=lambda s: s.load,
            )
        else:
            objective = 3 * SERVICE_S * SECOND if hurried else None
            name = balancer.choose(now, POOL, objective=objective)
            assert name is not None
            server = self.by_name[name]
            balancer.start(now, name)
        work_s = SERVICE_S * self.rng.uniform(0.5, 1.5)
        call = Call(sender, self.now, server, work_s, hurried)
        self.schedule(self.get_transit(call), lambda: self.receive(call))

    @staticmethod
    def get_transit(call: Call) -> float:
        local = DOMAINS[call.sender % 3] == call.server.domain
        return LOCAL_TRANSIT_S if local else REMOTE_TRANSIT_S

    def receive(self, call: Call) -> None:
        """Start a call at its server, or queue it there."""
        server = call.server
        if server.running < server.slots:
            self.start_work(call)
            return
        server.queue.append(call)
        self.schedule(QUEUE_WAIT_MAX_S, lambda: self.expire(call))

    def expire(self, call: Call) -> None:
        if call in call.server.queue:
            call.server.queue.remove(call)
            self.respond(call, CallResult.REFUSED)

    def start_work(self, call: Call) -> None:
        server = call.server
        server.running += 1
        duration = call.work_s * server.compute_factor(self.now)
        self.schedule(duration, lambda: self.end_work(call))

    def end_work(self, call: Call) -> None:
        server = call.server
        server.running -= 1
        if server.queue:
            self.start_work(server.queue.popleft())
        self.respond(call, CallResult.OK)

    def respond(self, call: Call, result: CallResult) -> None:
        server = call.server
        index = max(0, len(server.loads) - int(self.load.data_age_s / STEP_S))
        index = min(index, len(server.loads) - 1)
        load = server.stated_load
        pace = server.stated_pace
        self.schedule(
            self.get_transit(call),
            lambda: self.finish(
                call,
                result,
                server.loads[index] if load is None else load,
                server.paces[index] if pace is None else pace,
            ),
        )

    def finish(
        self, call: Call, result: CallResult, load: float, pace: float
    ) -> None:
        """Tell the sender how its call ended."""
        latency = self.now - call.started_at
        name = call.server.name
        if self.choice != "full":
            now = self.get_time(self.now)
            balancer = self.balancers[call.sender]
            balancer.finish(now, name, result, timedelta(seconds=latency))
            balancer.record_load(now, name, load, call.server.slots, pace)
        if call.started_at >= WARMUP_S:
            outcome = self.outcome
            outcome.calls += 1
            outcome.refused += result is CallResult.REFUSED
            local = DOMAINS[call.sender % 3] == call.server.domain
            outcome.local_calls += local
            outcome.latencies.append(latency)
            if call.hurried:
                outcome.hurried_latencies.append(latency)
            outcome.by_server[name] = outcome.by_server.get(name, 0) + 1


def build_servers(*slowness: float, slots: int = 53) -> list[Server]:
    """Return one server in each failure domain."""
    return [
        Server(f"m{i}", DOMAINS[i], slots, factor)
        for i, factor in enumerate(slowness)
    ]


def build_disturbed(rng: random.Random) -> list[Server]:
    """Return servers that a neighbour slows in 15 of 100 intervals."""
    servers = build_servers(1.0, 1.0, 1.0)
    for server in servers:
        server.slowed = [
            (0.6 * i, 0.6 * (i + 1)) for i in range(100) if rng.random() < 0.15
        ]
    return servers


def build_returning() -> list[Server]:
    """Return servers of which one is out of service for some time."""
    servers = build_servers(1.0, 1.0, 1.0)
    servers[0].absent = (4.5, 7.0)
    return servers


def build_false(load: float, pace: float = 1.0) -> list[Server]:
    """Return servers of which one states a false load and pace."""
    servers = build_servers(1.0, 1.0, 1.0)
    servers[0].stated_load, servers[0].stated_pace = load, pace
    return servers


LOADS: Final = {
    "stale": Load(lambda _: build_servers(1, 1, 1)),
    "busy": Load(lambda _: build_servers(1, 1, 1), utilization=0.88),
    "slow": Load(lambda _: build_servers(1, 1, 3)),
    "neighbour": Load(build_disturbed, utilization=0.66),
    "return": Load(lambda _: build_returning(), utilization=0.6),
    "false idle": Load(lambda _: build_false(0.0)),
    "false busy": Load(lambda _: build_false(2.0)),
    "false fast": Load(lambda _: build_false(0.0, 0.1)),
    "own domain": Load(
        lambda _: build_servers(1, 1, 1),
        sender_weights={"a": 3.0, "b": 1.0, "c": 1.0},
    ),
    "hurried": Load(lambda _: build_servers(1, 1, 3), hurried=0.2),
    "low": Load(lambda _: build_servers(1, 1, 1), utilization=0.4),
    "sparse": Load(
        lambda _: build_servers(1, 1, 1), senders=600, data_age_s=0.0
    ),
    "sparse uneven": Load(
        lambda _: build_servers(1, 1, 2),
        senders=600,
        data_age_s=0.0,
        sender_weights={"a": 3.0, "b": 1.0, "c": 1.0},
    ),
}

# Servers are overloaded in turn by the choice for pools with few callers.
IN_TURN: Final = (
    "stale",
    "slow",
    "neighbour",
    "false idle",
    "false busy",
    "false fast",
    "own domain",
    "hurried",
)
# In the sparse loads, each node sees so few calls that its load data are older
# than a call lasts, and chance alone overloads servers.
NAMES: Final = (*IN_TURN, "return", "low", "sparse", "sparse uneven")
SEEDS: Final = 2


@functools.cache
def run(name: str, choice: str) -> list[Outcome]:
    """Return the outcomes of a named load with each seed."""
    return [
        Model(LOADS[name], choice, seed).run() for seed in iterate_seeds(SEEDS)
    ]


def sum_overload(outcomes: list[Outcome]) -> float:
    """Return the seconds in which a server is overloaded and one idle."""
    return sum(outcome.overload_s for outcome in outcomes)


def compute_mean_latency(outcomes: list[Outcome]) -> float:
    """Return the mean latency over all seeds."""
    return statistics.fmean(o.mean_latency for o in outcomes)


def compute_tail_latency(outcomes: list[Outcome]) -> float:
    """Return the mean of the seeds' tail latencies."""
    return statistics.fmean(o.tail_latency for o in outcomes)


class EvenLoadTest(unittest.TestCase):
    """Guards against servers overloaded in turn while others are idle."""

    def test_overload_is_halved(self) -> None:
        for name in IN_TURN:
            with self.subTest(load=name):
                present, new = run(name, "present"), run(name, "new")
                self.assertLessEqual(
                    sum_overload(new), 0.5 * sum_overload(present)
                )

    def test_no_load_is_worse(self) -> None:
        """A millisecond is the cost of a call to another domain."""
        for name in NAMES:
            with self.subTest(load=name):
                present, new = run(name, "present"), run(name, "new")
                self.assertLessEqual(sum_overload(new), sum_overload(present))
                self.assertLessEqual(
                    compute_mean_latency(new),
                    compute_mean_latency(present) + REMOTE_TRANSIT_S,
                )
                self.assertLessEqual(
                    compute_tail_latency(new),
                    compute_tail_latency(present) + REMOTE_TRANSIT_S,
                )

    def test_waits_are_near_those_of_full_knowledge(self) -> None:
        for name in ("stale", "slow", "own domain"):
            with self.subTest(load=name):
                full, new = run(name, "full"), run(name, "new")
                self.assertLess(
                    compute_mean_latency(new),
                    1.1 * compute_mean_latency(full),
                )

    def test_overload_of_all_is_not_worse_than_with_full_knowledge(
        self,
    ) -> None:
        """Full servers are slower, so that even load serves less there."""
        present, new, full = (
            run("busy", choice) for choice in ("present", "new", "full")
        )
        self.assertLessEqual(
            compute_mean_latency(new),
            max(compute_mean_latency(present), compute_mean_latency(full)),
        )

    def test_calls_stay_in_their_domain_without_a_wait(self) -> None:
        for outcome in run("low", "new"):
            self.assertGreater(outcome.local_calls, 0.8 * outcome.calls)

    def test_calls_with_a_short_objective_prefer_fast_servers(self) -> None:
        for outcome in run("hurried", "new"):
            self.assertLess(
                outcome.hurried_latency, 0.9 * outcome.mean_latency
            )


if __name__ == "__main__":
    unittest.main()
