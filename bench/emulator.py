"""Discrete-event emulation of services, nodes, callers and network delays.

Runs the production decision code under a manual clock. Backend servers
and callers are emulated; the cluster is not: membership changes and pings
are modelled only by their delays.
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

# Relative loss of throughput per active request in excess of the cores,
# for costs such as context switches and memory.
OVERHEAD_PER_EXCESS_JOB: Final = 0.01
# Shape parameter of the gamma distribution of the work per request.
WORK_GAMMA_SHAPE: Final = 4.0
# Relative speed of the cores right after a restart.
COLD_START_SPEED: Final = 0.3
POISON_WORK_MIN_S: Final = 0.1
# Time from the start of a poison request to the crash of its server.
POISON_CRASH_DELAY_S: Final = 0.02
# Capacity of a token bucket in seconds of its rate. With 1 s, Poisson
# arrivals at 80% of the rate often exceed the capacity, and the resends
# then keep the bucket empty.
QUOTA_BURST_S: Final = 3.0
CONNECT_TIMEOUT_S: Final = 0.25
RESENDS_MAX: Final = 12
RESEND_DELAY_RANGE_S: Final = (0.1, 0.4)
# Callers stop resending a request this long after it arrived.
RESEND_WINDOW_S: Final = 5.0


class Outcome(enum.Enum):
    """Result of a call."""

    OK = "ok"
    REFUSED = "refused"
    # A nested call was refused after this call had run partially.
    NESTED_REFUSAL = "deep"
    FAILED = "failed"
    LOST = "lost"
    EXPIRED = "expired"
    # Not run because the backend server is down.
    DOWN = "down"
    QUOTA = "quota"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class CallPlan:
    """A call: the service that handles it and its nested calls."""

    service: str
    children: tuple["CallPlan", ...] = ()


@dataclass(frozen=True)
class ServiceSpec:
    """A scaled-down service.

    ``work`` is the mean work per request in core-seconds.
    """

    name: str
    servers: int
    slots: int
    connections: int
    cores: int
    work: float
    queue: int


@dataclass(frozen=True)
class RouteSpec:
    """A route with its share of the load."""

    name: str
    plan: CallPlan
    importance: Importance
    worth: float
    share: float
    idempotent: bool = True


@dataclass(frozen=True)
class WorkspaceSpec:
    """A workspace with its share of the load, which is also its weight."""

    name: str
    share: float


@dataclass(frozen=True)
class Deployment:
    """Services, routes and workspaces of a deployment.

    Delays and the timeout are in seconds; ``rate`` is in requests a second.
    """

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
    """Discrete-event scheduler that drives a manual clock."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.time = 0.0
        self.now = self.clock.now()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        entry = (self.time + delay, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run the scheduled actions up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            due, _, action = heapq.heappop(self._events)
            step = timedelta(seconds=due - self.time)
            self.now = self.clock.advance(step)
            self.time = due
            action()


@dataclass(eq=False)
class Job:
    """A request on a backend server."""

    work: float
    on_work_done: Callable[[], None]
    on_failure: Callable[[Outcome], None]
    poison: bool = False
    active: bool = False
    ended: bool = False


class BackendServer:
    """A backend server that shares its cores among active requests.

    A request occupies its slot until it is released, even while it waits
    for nested calls. Requests that find no free slot wait in a backlog.
    """

    def __init__(self, sim: Simulation, spec: ServiceSpec) -> None:
        self.sim = sim
        self.spec = spec
        self.speed = 1.0
        self.alive = True
        self.crashes = 0
        self.backlog_max = spec.connections
        # Load to report instead of the measured load.
        self.load_override: float | None = None
        # A dict, because the iteration order of a set would make runs
        # irreproducible.
        self.jobs: dict[Job, None] = {}
        self.backlog: deque[Job] = deque()
        self.on_crash: Callable[[], None] = lambda: None
        self.on_restart: Callable[[], None] = lambda: None
        self._completions: list[tuple[float, int, Job]] = []
        self._active_count = 0
        self._virtual_time = 0.0
        self._updated_at = 0.0
        self._completion_version = 0
        self._sequence = itertools.count()

    @property
    def load(self) -> float:
        """Return the reported load, from 0 to 1."""
        if self.load_override is not None:
            return self.load_override
        return min(1.0, len(self.jobs) / self.spec.slots)

    def submit(self, job: Job) -> bool:
        """Start or enqueue a job; return False if it is shed."""
        if not self.alive:
            return False
        if len(self.jobs) < self.spec.slots:
            self._start_job(job)
            return True
        while self.backlog and self.backlog[0].ended:
            self.backlog.popleft()
        if len(self.backlog) >= self.backlog_max:
            return False
        self.backlog.append(job)
        return True

    def release(self, job: Job) -> None:
        """Free the slot of a completed or cancelled job."""
        if job.ended:
            return
        job.ended = True
        if job in self.jobs:
            del self.jobs[job]
            if job.active:
                self._deactivate(job)
                self._schedule_completion()
            self._start_backlog()

    def set_speed(self, speed: float) -> None:
        """Set the relative speed of the cores."""
        self._advance_virtual_time()
        self.speed = speed
        self._schedule_completion()

    def crash(self, downtime: float, warmup: float) -> None:
        """Fail all jobs, then restart after ``downtime`` seconds."""
        self.crashes += 1
        self.alive = False
        jobs = [*self.jobs, *self.backlog]
        self.on_crash()
        self.jobs.clear()
        self.backlog.clear()
        self._completions.clear()
        self._active_count = 0
        self._completion_version += 1
        for job in jobs:
            if not job.ended:
                job.ended = True
                job.on_failure(Outcome.LOST)
        self.sim.schedule(downtime, partial(self.restart, warmup))

    def restart(self, warmup: float) -> None:
        """Restart cold and reach full speed after ``warmup`` seconds."""
        self.alive = True
        self.on_restart()
        self.set_speed(COLD_START_SPEED)
        for step in range(1, 6):
            speed = COLD_START_SPEED + (1 - COLD_START_SPEED) * step / 5
            self.sim.schedule(
                warmup * step / 5,
                partial(self.set_speed, speed),
            )

    def _start_job(self, job: Job) -> None:
        self.jobs[job] = None
        self._advance_virtual_time()
        job.active = True
        self._active_count += 1
        entry = (self._virtual_time + job.work, next(self._sequence), job)
        heapq.heappush(self._completions, entry)
        self._schedule_completion()
        if job.poison:
            self.sim.schedule(
                POISON_CRASH_DELAY_S, partial(self._crash_on_poison, job)
            )

    def _crash_on_poison(self, job: Job) -> None:
        if job in self.jobs and not job.ended:
            self.crash(2.0, 2.0)

    def _deactivate(self, job: Job) -> None:
        self._advance_virtual_time()
        job.active = False
        self._active_count -= 1

    def _start_backlog(self) -> None:
        while self.backlog and len(self.jobs) < self.spec.slots:
            job = self.backlog.popleft()
            if not job.ended:
                self._start_job(job)

    def _job_speed(self) -> float:
        if not self._active_count:
            return 0.0
        cores = self.spec.cores
        rate = self.speed * min(1.0, cores / self._active_count)
        return rate / (
            1 + OVERHEAD_PER_EXCESS_JOB * max(0, self._active_count - cores)
        )

    def _advance_virtual_time(self) -> None:
        elapsed = self.sim.time - self._updated_at
        self._virtual_time += elapsed * self._job_speed()
        self._updated_at = self.sim.time

    def _schedule_completion(self) -> None:
        self._completion_version += 1
        while self._completions and not self._completions[0][2].active:
            heapq.heappop(self._completions)
        if self._completions:
            left = max(0.0, self._completions[0][0] - self._virtual_time)
            wait = left / self._job_speed()
            self.sim.schedule(
                wait, partial(self._complete, self._completion_version)
            )

    def _complete(self, version: int) -> None:
        if version != self._completion_version:
            return
        self._advance_virtual_time()
        _, _, job = heapq.heappop(self._completions)
        self._deactivate(job)
        self._schedule_completion()
        job.on_work_done()


@dataclass(eq=False)
class RootAttempt:
    """One attempt of a caller's request, with all its nested calls."""

    number: int
    route: RouteSpec
    workspace: WorkspaceSpec
    deadline: datetime
    poison: bool = False
    cancelled: bool = False
    # Cancel the calls in progress when the caller gives up.
    cancel_callbacks: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a call.

    Controlled nodes add pressures, unused retries and the server's load.
    """

    outcome: Outcome
    pressures: tuple[PoolPressure, ...] = ()
    unused_retries: int = 0
    load: float | None = None


Respond = Callable[[Reply], None]
Forward = Callable[[CallPlan, Respond], None]


class Network:
    """Delays and losses of messages between nodes, which have names."""

    def __init__(self, sim: Simulation, deployment: Deployment) -> None:
        self.sim = sim
        self.deployment = deployment
        self.failure_domains: dict[str, str] = {}
        self.down_nodes: set[str] = set()
        self.silent_pairs: set[frozenset[str]] = set()

    def send(
        self, source: str, target: str, action: Callable[[], object]
    ) -> None:
        """Deliver a message between two nodes, unless it is lost."""
        if source == target:
            action()
            return
        if (
            self.silent_pairs
            and frozenset((source, target)) in self.silent_pairs
        ):
            return
        same_domain = (
            self.failure_domains[source] == self.failure_domains[target]
        )
        delay = (
            self.deployment.same_domain_delay
            if same_domain
            else self.deployment.cross_domain_delay
        )
        self.sim.schedule(
            delay, partial(self._deliver, source, target, action)
        )

    def _deliver(
        self, source: str, target: str, action: Callable[[], object]
    ) -> None:
        if source not in self.down_nodes and target not in self.down_nodes:
            action()


class Quota:
    """Token bucket of each workspace, exact across the fleet.

    Replaces the production quota, which a separate benchmark measures. If
    ``entry_node_count`` is over 1, the bucket holds one entry node's part
    of the rates, as with static limits.
    """

    def __init__(
        self, deployment: Deployment, rate_factor: float, entry_node_count: int
    ) -> None:
        self._rates = {
            workspace.name: workspace.share
            * deployment.rate
            * rate_factor
            / entry_node_count
            for workspace in deployment.workspaces
        }
        self._tokens = {
            name: QUOTA_BURST_S * rate for name, rate in self._rates.items()
        }
        self._updated_at = dict.fromkeys(self._rates, 0.0)

    def spend(self, time: float, name: str) -> bool:
        """Take a token; return False if none is left."""
        rate = self._rates[name]
        tokens = self._tokens[name] + rate * (time - self._updated_at[name])
        tokens = min(tokens, QUOTA_BURST_S * rate)
        self._updated_at[name] = time
        self._tokens[name] = tokens - 1 if tokens >= 1 else tokens
        return tokens >= 1


class EmulatedNode:
    """A node with its backend server; subclasses add load control."""

    def __init__(
        self, fleet: "Fleet", name: str, server: BackendServer
    ) -> None:
        self.fleet = fleet
        self.sim = fleet.sim
        self.name = name
        self.server = server
        # Unanswered calls to other nodes.
        self.pending: dict[object, tuple[str, Respond]] = {}

    def handle_request(self, root: RootAttempt, respond: Respond) -> None:
        """Handle a caller's request as its entry node."""
        raise NotImplementedError

    def drop_peer(self, name: str) -> None:
        """Fail the pending calls to a peer whose connection is lost."""
        lost = [k for k, (peer, _) in self.pending.items() if peer == name]
        for key in lost:
            self.pending.pop(key)[1](Reply(Outcome.LOST))

    def transmit(
        self,
        peer: "EmulatedNode",
        action: Callable[[Respond], object],
        respond: Respond,
    ) -> None:
        """Call a peer; ``respond`` is called at most once."""
        key = object()
        self.pending[key] = (peer.name, respond)

        def answer(reply: Reply) -> None:
            self.fleet.network.send(
                peer.name,
                self.name,
                partial(self._complete_call, key, reply),
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
        """Run a call on this node's server, then its nested calls."""
        mean = self.server.spec.work / WORK_GAMMA_SHAPE
        work = self.sim.rng.gammavariate(WORK_GAMMA_SHAPE, mean)

        def finish(outcome: Outcome) -> None:
            respond(Reply(outcome))

        def step(position: int, reply: Reply) -> None:
            if job.ended:
                return
            if reply.outcome is not Outcome.OK:
                self.server.release(job)
                was_refused = reply.outcome in (Outcome.REFUSED, Outcome.DOWN)
                finish(
                    Outcome.NESTED_REFUSAL if was_refused else reply.outcome
                )
            elif position < len(plan.children):
                forward(plan.children[position], partial(step, position + 1))
            else:
                self.server.release(job)
                finish(Outcome.OK)

        job = Job(work, partial(step, 0, Reply(Outcome.OK)), finish)
        job.poison = root.poison
        if root.poison:
            # Ensures that the server crashes before the job is done.
            job.work = max(job.work, POISON_WORK_MIN_S)
        if not self.server.submit(job):
            finish(Outcome.REFUSED if self.server.alive else Outcome.LOST)
            return None
        return job

    def _complete_call(self, key: object, reply: Reply) -> None:
        entry = self.pending.pop(key, None)
        if entry is not None:
            entry[1](reply)


class UncontrolledNode(EmulatedNode):
    """Node without load control.

    Retries at each hop and trusts the load that servers report.
    """

    RETRIES_PER_HOP: Final = 1

    # This node's part of the rates; set only with static limits.
    quota: Quota | None = None

    def handle_request(self, root: RootAttempt, respond: Respond) -> None:
        """Check only the static limits, then forward the request."""
        name = root.workspace.name
        if self.quota and not self.quota.spend(self.sim.time, name):
            respond(Reply(Outcome.QUOTA))
            return
        self._attempt(root, self.RETRIES_PER_HOP, root.route.plan, respond)

    def _attempt(
        self,
        root: RootAttempt,
        retries: int,
        plan: CallPlan,
        respond: Respond,
    ) -> None:
        """Call the less loaded of two random members; retry any error."""
        members = self.fleet.list_healthy(plan.service)
        if not members:
            respond(Reply(Outcome.FAILED))
            return
        peer = self.sim.rng.choice(members)
        alternative = self.sim.rng.choice(members)
        if alternative.server.load < peer.server.load:
            peer = alternative
        assert isinstance(peer, UncontrolledNode)

        def finish(reply: Reply) -> None:
            if reply.outcome is Outcome.OK or not retries:
                respond(reply)
            else:
                self._attempt(root, retries - 1, plan, respond)

        forward = partial(peer.forward_nested, root)
        self.transmit(
            peer,
            lambda answer: peer.run_job(root, plan, forward, answer),
            finish,
        )

    def forward_nested(
        self, root: RootAttempt, plan: CallPlan, respond: Respond
    ) -> None:
        """Forward a nested call."""
        self._attempt(root, self.RETRIES_PER_HOP, plan, respond)


NodeFactory = Callable[["Fleet", str, BackendServer], EmulatedNode]


class Fleet:
    """All nodes of a deployment, with their health as the platform sees it."""

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
        # Callers connect to two nodes of each failure domain.
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
        """Return the members of a service that pass health checks."""
        if not self.unhealthy:
            return self.pools[service]
        return [
            node
            for node in self.pools[service]
            if node.name not in self.unhealthy
        ]


@dataclass(eq=False)
class Request:
    """A caller's request with all its attempts; times in seconds."""

    number: int
    route: RouteSpec
    workspace: WorkspaceSpec
    arrived_at: float
    poison: bool = False
    attempts: int = 0
    # Time of the complete answer.
    answered_at: float | None = None
    first_outcome: Outcome | None = None


class Callers:
    """Callers that send Poisson arrivals and resend failed requests."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.sim = fleet.sim
        self.deployment = fleet.deployment
        self.requests: list[Request] = []
        self.rate_factors = {
            workspace.name: 1.0 for workspace in self.deployment.workspaces
        }
        self._generation = 0
        self._restart_arrivals()

    def scale(self, factor: float, workspace: str | None = None) -> None:
        """Scale the normal rate of one workspace, or of all."""
        for name in self.rate_factors if workspace is None else (workspace,):
            self.rate_factors[name] = factor
        self._restart_arrivals()

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

    def _restart_arrivals(self) -> None:
        self._generation += 1
        self._schedule_arrival(self._generation)

    def _schedule_arrival(self, generation: int) -> None:
        total = sum(
            workspace.share * self.rate_factors[workspace.name]
            for workspace in self.deployment.workspaces
        )
        wait = self.sim.rng.expovariate(total * self.deployment.rate)
        self.sim.schedule(wait, partial(self._arrive, generation))

    def _arrive(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._schedule_arrival(generation)
        workspaces = self.deployment.workspaces
        weights = [s.share * self.rate_factors[s.name] for s in workspaces]
        (workspace,) = self.sim.rng.choices(workspaces, weights)
        routes = self.deployment.routes
        (route,) = self.sim.rng.choices(routes, [r.share for r in routes])
        self.submit(route, workspace)

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        node = self.sim.rng.choice(self.fleet.entry_nodes)
        if node.name in self.fleet.network.down_nodes:
            self.sim.schedule(
                CONNECT_TIMEOUT_S, partial(self._resend, request)
            )
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
        finish = partial(self._finish_attempt, request, root)

        def respond(reply: Reply) -> None:
            self.sim.schedule(delay, partial(finish, reply.outcome))

        self.sim.schedule(delay, partial(node.handle_request, root, respond))
        self.sim.schedule(
            self.deployment.timeout, partial(finish, Outcome.EXPIRED)
        )

    def _finish_attempt(
        self, request: Request, root: RootAttempt, outcome: Outcome
    ) -> None:
        if root.cancelled:
            return
        root.cancelled = True
        for cancel in root.cancel_callbacks:
            cancel()
        if request.first_outcome is None:
            request.first_outcome = outcome
        if outcome is Outcome.OK:
            request.answered_at = self.sim.time
        else:
            wait = self.sim.rng.uniform(*RESEND_DELAY_RANGE_S)
            self.sim.schedule(wait, partial(self._resend, request))

    def _resend(self, request: Request) -> None:
        expired = self.sim.time - request.arrived_at > RESEND_WINDOW_S
        if not expired and request.attempts <= RESENDS_MAX:
            self._attempt(request)
