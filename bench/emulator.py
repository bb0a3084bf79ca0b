"""Discrete-event emulation of services, nodes, callers and delays.

Drives the real decision code under a manual clock. It emulates backend
servers and callers, not the cluster: membership and pings are replaced
by their delays.
"""

import enum
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import partial
from typing import Final

from sequoiaseam._clock import ManualClock
from sequoiaseam._pressure import PoolPressure
from sequoiaseam._tables import Importance

# Loss of throughput for each request beyond the cores, as from context
# switches and memory.
OVERHEAD: Final = 0.01
WORK_SHAPE: Final = 4.0
COLD_SPEED: Final = 0.3
POISON_WORK: Final = 0.1
POISON_DELAY: Final = 0.02
# Bucket size in seconds of the rate. With 1 s, Poisson arrivals at 80%
# of the rate exceed it often, and their resends then keep it empty.
QUOTA_BURST: Final = 3.0
CONNECT_TIMEOUT: Final = 0.25
RESENDS_MAX: Final = 12
RESEND_WAIT: Final = (0.1, 0.4)
PATIENCE: Final = 5.0


class Outcome(enum.Enum):
    """What a call came to."""

    OK = "ok"
    REFUSED = "refused"
    # A nested call was refused after this one had run in part.
    NESTED_REFUSAL = "deep"
    FAILED = "failed"
    LOST = "lost"
    EXPIRED = "expired"
    # Not run, because the server is down.
    DOWN = "down"
    QUOTA = "quota"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class CallPlan:
    """A call: the service that serves it and the calls that it makes."""

    service: str
    children: tuple["CallPlan", ...] = ()


@dataclass(frozen=True)
class ServiceSpec:
    """One service, scaled; ``work`` is the mean in seconds."""

    name: str
    servers: int
    slots: int
    connections: int
    cores: int
    work: float
    queue: int


@dataclass(frozen=True)
class RouteSpec:
    """One route with its share of the load."""

    name: str
    plan: CallPlan
    importance: Importance
    worth: float
    share: float
    idempotent: bool = True


@dataclass(frozen=True)
class WorkspaceSpec:
    """One workspace with its share of the load, also its weight."""

    name: str
    share: float


@dataclass(frozen=True)
class Deployment:
    """A site: services, routes, workspaces, delays in seconds."""

    name: str
    services: tuple[ServiceSpec, ...]
    routes: tuple[RouteSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    failure_domain_count: int
    client_delay: float
    rate: float
    cross_domain_delay: float = 0.0015
    same_domain_delay: float = 0.0002
    timeout: float = 2.0


class Simulation:
    """Event queue under a manual clock."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.time = 0.0
        self.now = self.clock.now()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Plan an action."""
        entry = (self.time + delay, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run the actions up to a time."""
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            step = timedelta(seconds=at - self.time)
            self.now = self.clock.advance(step)
            self.time = at
            action()


@dataclass(eq=False)
class Job:
    """One request on a backend server."""

    work: float
    worked: Callable[[], None]
    failed: Callable[[Outcome], None]
    poison: bool = False
    active: bool = False
    ended: bool = False


class BackendServer:
    """A backend server that shares its cores among active requests.

    A request holds its slot until it is released, also while it waits
    for nested calls. Requests over the slots wait in a backlog.
    """

    def __init__(self, sim: Simulation, spec: ServiceSpec) -> None:
        self.sim = sim
        self.spec = spec
        self.speed = 1.0
        self.alive = True
        self.crashes = 0
        self.backlog_max = spec.connections
        # What the load endpoint shows instead of the truth.
        self.load_override: float | None = None
        # Ordered, unlike a set, so that runs repeat exactly.
        self.jobs: dict[Job, None] = {}
        self.backlog: deque[Job] = deque()
        self.on_crash: Callable[[], None] = lambda: None
        self.on_restart: Callable[[], None] = lambda: None
        self._active: list[tuple[float, int, Job]] = []
        self._count = 0
        self._virtual = 0.0
        self._updated = 0.0
        self._version = 0
        self._numbers = itertools.count()

    @property
    def load(self) -> float:
        """Return the load that the server reports, from 0 to 1."""
        if self.load_override is not None:
            return self.load_override
        return min(1.0, len(self.jobs) / self.spec.slots)

    def submit(self, job: Job) -> bool:
        """Run a job now or later; return False when it is shed."""
        if not self.alive:
            return False
        if len(self.jobs) < self.spec.slots:
            self._begin(job)
            return True
        while self.backlog and self.backlog[0].ended:
            self.backlog.popleft()
        if len(self.backlog) >= self.backlog_max:
            return False
        self.backlog.append(job)
        return True

    def release(self, job: Job) -> None:
        """Free the slot of a job that is done or cancelled."""
        if job.ended:
            return
        job.ended = True
        if job in self.jobs:
            del self.jobs[job]
            if job.active:
                self._deactivate(job)
                self._plan()
            self._refill()

    def set_speed(self, speed: float) -> None:
        """Set how fast the cores work."""
        self._advance()
        self.speed = speed
        self._plan()

    def crash(self, down: float, warmup: float) -> None:
        """Fail everything that runs; come back cold after a while."""
        self.crashes += 1
        self.alive = False
        jobs = [*self.jobs, *self.backlog]
        self.on_crash()
        self.jobs.clear()
        self.backlog.clear()
        self._active.clear()
        self._count = 0
        self._version += 1
        for job in jobs:
            if not job.ended:
                job.ended = True
                job.failed(Outcome.LOST)
        self.sim.schedule(down, partial(self.restart, warmup))

    def restart(self, warmup: float) -> None:
        """Come back cold."""
        self.alive = True
        self.on_restart()
        self.set_speed(COLD_SPEED)
        for part in range(1, 6):
            speed = COLD_SPEED + (1 - COLD_SPEED) * part / 5
            self.sim.schedule(
                warmup * part / 5,
                partial(self.set_speed, speed),
            )

    def _begin(self, job: Job) -> None:
        self.jobs[job] = None
        self._advance()
        job.active = True
        self._count += 1
        entry = (self._virtual + job.work, next(self._numbers), job)
        heapq.heappush(self._active, entry)
        self._plan()
        if job.poison:
            self.sim.schedule(POISON_DELAY, partial(self._poisoned, job))

    def _poisoned(self, job: Job) -> None:
        if job in self.jobs and not job.ended:
            self.crash(2.0, 2.0)

    def _deactivate(self, job: Job) -> None:
        self._advance()
        job.active = False
        self._count -= 1

    def _refill(self) -> None:
        while self.backlog and len(self.jobs) < self.spec.slots:
            job = self.backlog.popleft()
            if not job.ended:
                self._begin(job)

    def _rate(self) -> float:
        if not self._count:
            return 0.0
        cores = self.spec.cores
        rate = self.speed * min(1.0, cores / self._count)
        return rate / (1 + OVERHEAD * max(0, self._count - cores))

    def _advance(self) -> None:
        elapsed = self.sim.time - self._updated
        self._virtual += elapsed * self._rate()
        self._updated = self.sim.time

    def _plan(self) -> None:
        self._version += 1
        while self._active and not self._active[0][2].active:
            heapq.heappop(self._active)
        if self._active:
            left = max(0.0, self._active[0][0] - self._virtual)
            wait = left / self._rate()
            self.sim.schedule(wait, partial(self._complete, self._version))

    def _complete(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        _, _, job = heapq.heappop(self._active)
        self._deactivate(job)
        self._plan()
        job.worked()


@dataclass(eq=False)
class RootAttempt:
    """One attempt of a caller's request."""

    number: int
    route: RouteSpec
    workspace: WorkspaceSpec
    deadline: datetime
    poison: bool = False
    cancelled: bool = False
    # Undo the calls in progress when the caller gives up.
    cancel_callbacks: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a call, with what controlled nodes add to it."""

    outcome: Outcome
    pressures: tuple[PoolPressure, ...] = ()
    unused_retries: int = 0
    load: float | None = None


Respond = Callable[[Reply], None]
Forward = Callable[[CallPlan, Respond], None]


class Network:
    """Delays and losses between nodes, known by name."""

    def __init__(self, sim: Simulation, deployment: Deployment) -> None:
        self.sim = sim
        self.deployment = deployment
        self.failure_domains: dict[str, str] = {}
        self.down_nodes: set[str] = set()
        self.silent_pairs: set[frozenset[str]] = set()

    def send(self, a: str, b: str, action: Callable[[], object]) -> None:
        """Deliver from node ``a`` to ``b``, unless it is lost."""
        if a == b:
            action()
            return
        if self.silent_pairs and frozenset((a, b)) in self.silent_pairs:
            return
        near = self.failure_domains[a] == self.failure_domains[b]
        delay = (
            self.deployment.same_domain_delay
            if near
            else self.deployment.cross_domain_delay
        )
        self.sim.schedule(delay, partial(self._arrive, a, b, action))

    def _arrive(self, a: str, b: str, action: Callable[[], object]) -> None:
        if a not in self.down_nodes and b not in self.down_nodes:
            action()


class Quota:
    """Token bucket of each workspace, exact over the fleet.

    Stands in for the real quota, which is measured elsewhere. With
    ``entries`` over 1, each entry node has its part, as static limits
    do.
    """

    def __init__(
        self, deployment: Deployment, factor: float, entry_node_count: int
    ) -> None:
        self._rates = {
            space.name: space.share
            * deployment.rate
            * factor
            / entry_node_count
            for space in deployment.workspaces
        }
        self._levels = {
            name: QUOTA_BURST * rate for name, rate in self._rates.items()
        }
        self._times = dict.fromkeys(self._rates, 0.0)

    def spend(self, time: float, name: str) -> bool:
        """Take a token, or return False."""
        rate = self._rates[name]
        level = self._levels[name] + rate * (time - self._times[name])
        level = min(level, QUOTA_BURST * rate)
        self._times[name] = time
        self._levels[name] = level - 1 if level >= 1 else level
        return level >= 1


class EmulatedNode:
    """A node with its server; subclasses add the control."""

    def __init__(
        self, fleet: "Fleet", name: str, server: BackendServer
    ) -> None:
        self.fleet = fleet
        self.sim = fleet.sim
        self.name = name
        self.server = server
        # Calls to other nodes without an answer yet.
        self.pending: dict[object, tuple[str, Respond]] = {}

    def handle_request(self, root: RootAttempt, respond: Respond) -> None:
        """Take a caller's request."""
        raise NotImplementedError

    def drop_peer(self, name: str) -> None:
        """Fail the calls on a connection known to be lost."""
        lost = [k for k, (peer, _) in self.pending.items() if peer == name]
        for key in lost:
            self.pending.pop(key)[1](Reply(Outcome.LOST))

    def transmit(
        self,
        peer: "EmulatedNode",
        action: Callable[[Respond], object],
        respond: Respond,
    ) -> None:
        """Call a peer; the answer, if any, comes once."""
        key = object()
        self.pending[key] = (peer.name, respond)

        def answer(reply: Reply) -> None:
            self.fleet.network.send(
                peer.name,
                self.name,
                partial(self._settle, key, reply),
            )

        send = self.fleet.network.send
        send(self.name, peer.name, partial(action, answer))

    def run_job(
        self,
        root: RootAttempt,
        plan: CallPlan,
        forward: Forward,
        respond: Respond,
    ) -> Job | None:
        """Run a call on the own server, then its nested calls."""
        mean = self.server.spec.work / WORK_SHAPE
        work = self.sim.rng.gammavariate(WORK_SHAPE, mean)

        def fail(outcome: Outcome) -> None:
            respond(Reply(outcome))

        def step(position: int, reply: Reply) -> None:
            if job.ended:
                return
            if reply.outcome is not Outcome.OK:
                self.server.release(job)
                refused = reply.outcome in (Outcome.REFUSED, Outcome.DOWN)
                fail(Outcome.NESTED_REFUSAL if refused else reply.outcome)
            elif position < len(plan.children):
                forward(plan.children[position], partial(step, position + 1))
            else:
                self.server.release(job)
                fail(Outcome.OK)

        job = Job(work, partial(step, 0, Reply(Outcome.OK)), fail)
        job.poison = root.poison
        if root.poison:
            # Long enough to crash the server before it is done.
            job.work = max(job.work, POISON_WORK)
        if not self.server.submit(job):
            fail(Outcome.REFUSED if self.server.alive else Outcome.LOST)
            return None
        return job

    def _settle(self, key: object, reply: Reply) -> None:
        entry = self.pending.pop(key, None)
        if entry is not None:
            entry[1](reply)


class UncontrolledNode(EmulatedNode):
    """No control: retries at each hop, trust in the reported load."""

    HOP_RETRIES: Final = 1

    # Only with static limits; this node's part of the rates.
    quota: Quota | None = None

    def handle_request(self, root: RootAttempt, respond: Respond) -> None:
        """Forward without any check but static limits."""
        name = root.workspace.name
        if self.quota and not self.quota.spend(self.sim.time, name):
            respond(Reply(Outcome.QUOTA))
            return
        self._attempt(root, self.HOP_RETRIES, root.route.plan, respond)

    def _attempt(
        self,
        root: RootAttempt,
        retries: int,
        plan: CallPlan,
        respond: Respond,
    ) -> None:
        """Call the less loaded of two members, retry on any error."""
        members = self.fleet.list_healthy(plan.service)
        if not members:
            respond(Reply(Outcome.FAILED))
            return
        peer = self.sim.rng.choice(members)
        other = self.sim.rng.choice(members)
        if other.server.load < peer.server.load:
            peer = other
        assert isinstance(peer, UncontrolledNode)

        def finish(reply: Reply) -> None:
            if reply.outcome is Outcome.OK or not retries:
                respond(reply)
            else:
                self._attempt(root, retries - 1, plan, respond)

        forward = partial(peer.forward_plain, root)
        self.transmit(
            peer,
            lambda answer: peer.run_job(root, plan, forward, answer),
            finish,
        )

    def forward_plain(
        self, root: RootAttempt, plan: CallPlan, respond: Respond
    ) -> None:
        """Make a nested call."""
        self._attempt(root, self.HOP_RETRIES, plan, respond)


NodeFactory = Callable[["Fleet", str, BackendServer], EmulatedNode]


class Fleet:
    """All nodes of a deployment, and what the platform knows of them."""

    def __init__(
        self,
        sim: Simulation,
        deployment: Deployment,
        factory: NodeFactory,
        *,
        backlog: bool,
        quota: float | None,
    ) -> None:
        self.sim = sim
        self.quota = Quota(deployment, quota, 1) if quota else None
        self.deployment = deployment
        self.network = Network(sim, deployment)
        self.nodes: dict[str, EmulatedNode] = {}
        self.pools: dict[str, list[EmulatedNode]] = {}
        self.unhealthy: set[str] = set()
        for spec in deployment.services:
            self.pools[spec.name] = []
            for number in range(spec.servers):
                name = f"{spec.name}-{number}"
                domain = f"domain-{number % deployment.failure_domain_count}"
                self.network.failure_domains[name] = domain
                server = BackendServer(sim, spec)
                if not backlog:
                    server.backlog_max = spec.queue
                node = factory(self, name, server)
                self.nodes[name] = node
                self.pools[spec.name].append(node)
        # Callers hold connections to two nodes of each domain.
        self.entry_nodes = [
            node
            for pool in list(self.pools.values())[:2]
            for node in pool[: deployment.failure_domain_count]
        ]
        if quota and not backlog:
            for node in self.entry_nodes:
                if isinstance(node, UncontrolledNode):
                    node.quota = Quota(
                        deployment, quota, len(self.entry_nodes)
                    )

    def list_healthy(self, service: str) -> list[EmulatedNode]:
        """Return the members that health checks let through."""
        if not self.unhealthy:
            return self.pools[service]
        return [
            node
            for node in self.pools[service]
            if node.name not in self.unhealthy
        ]


@dataclass(eq=False)
class Request:
    """A caller's request over all its attempts."""

    number: int
    route: RouteSpec
    workspace: WorkspaceSpec
    arrived_at: float
    poison: bool = False
    attempts: int = 0
    # Time of the whole answer, and the result of the first attempt.
    answered_at: float | None = None
    first_outcome: Outcome | None = None


class Callers:
    """Send requests at a rate and resend those that fail."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.sim = fleet.sim
        self.deployment = fleet.deployment
        self.requests: list[Request] = []
        self.factors = {
            space.name: 1.0 for space in self.deployment.workspaces
        }
        self._generation = 0
        self._start()

    def scale(self, factor: float, workspace: str | None = None) -> None:
        """Change the rate of one workspace or of all."""
        for name in self.factors if workspace is None else (workspace,):
            self.factors[name] = factor
        self._start()

    def submit(
        self,
        route: RouteSpec,
        workspace: WorkspaceSpec,
        *,
        poison: bool = False,
    ) -> None:
        """Send a new request."""
        request = Request(
            len(self.requests),
            route,
            workspace,
            self.sim.time,
            poison,
        )
        self.requests.append(request)
        self._attempt(request)

    def _start(self) -> None:
        self._generation += 1
        self._plan(self._generation)

    def _plan(self, generation: int) -> None:
        total = sum(
            space.share * self.factors[space.name]
            for space in self.deployment.workspaces
        )
        wait = self.sim.rng.expovariate(total * self.deployment.rate)
        self.sim.schedule(wait, partial(self._arrive, generation))

    def _arrive(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._plan(generation)
        spaces = self.deployment.workspaces
        weights = [s.share * self.factors[s.name] for s in spaces]
        (space,) = self.sim.rng.choices(spaces, weights)
        routes = self.deployment.routes
        (route,) = self.sim.rng.choices(routes, [r.share for r in routes])
        self.submit(route, space)

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        node = self.sim.rng.choice(self.fleet.entry_nodes)
        if node.name in self.fleet.network.down_nodes:
            self.sim.schedule(CONNECT_TIMEOUT, partial(self._again, request))
            return
        deadline = self.sim.now + timedelta(seconds=self.deployment.timeout)
        root = RootAttempt(
            request.number,
            request.route,
            request.workspace,
            deadline,
            request.poison,
        )
        delay = self.deployment.client_delay
        end = partial(self._end, request, root)

        def respond(reply: Reply) -> None:
            self.sim.schedule(delay, partial(end, reply.outcome))

        self.sim.schedule(delay, partial(node.handle_request, root, respond))
        self.sim.schedule(
            self.deployment.timeout, partial(end, Outcome.EXPIRED)
        )

    def _end(
        self, request: Request, root: RootAttempt, outcome: Outcome
    ) -> None:
        if root.cancelled:
            return
        root.cancelled = True
        for stop in root.cancel_callbacks:
            stop()
        if request.first_outcome is None:
            request.first_outcome = outcome
        if outcome is Outcome.OK:
            request.answered_at = self.sim.time
        else:
            wait = self.sim.rng.uniform(*RESEND_WAIT)
            self.sim.schedule(wait, partial(self._again, request))

    def _again(self, request: Request) -> None:
        late = self.sim.time - request.arrived_at > PATIENCE
        if not late and request.attempts <= RESENDS_MAX:
            self._attempt(request)
