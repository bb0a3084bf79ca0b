"""Costs of the decision code, measured without transport."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from random import Random
from statistics import fmean, quantiles
from typing import Final

from bench._control_plane import (
    CODEC,
    FRAMING_BYTES,
    ControlPlane,
    EventLoop,
    MemoryFiles,
)
from bench._slopes import Series, measure_memory, time_call
from sequoiaseam._balancer import Balancer
from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    COMMAND_TYPES,
    EditTables,
    Member,
    MembersChanged,
    MemberState,
    WitnessGroup,
)
from sequoiaseam._control_messages import (
    AliveBatch,
    NodeState,
    Relay,
    ReportPush,
)
from sequoiaseam._feed import (
    FeedMessage,
    FeedSource,
    NodeView,
    Ping,
    Pong,
)
from sequoiaseam._journal import Journal
from sequoiaseam._leadership import Leadership
from sequoiaseam._members import MemberReport, plan_witnesses
from sequoiaseam._metrics import NodeMetrics, RequestSample
from sequoiaseam._quota import (
    GRANT_TTL,
    Admit,
    QuotaAction,
    QuotaOwner,
    QuotaSpender,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._replica_messages import (
    Entries,
    Entry,
    Membership,
    ReplicaId,
    Snapshot,
)
from sequoiaseam._state import FleetState
from sequoiaseam._tables import (
    Importance,
    Pool,
    Route,
    Tables,
    Workspace,
    match_route,
)
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import (
    Intent,
    OutcomeRecord,
    RecordKey,
    Witness,
    mint_request_id,
)

COMMAND_CODEC: Final = Codec(COMMAND_TYPES)
SERVICE_COUNT: Final = 35
# As large as real incarnations, which are microseconds shifted left by
# ten bits.
BASE_INCARNATION: Final = 1_800_000_000_000_000_000
FAILURE_DOMAIN_COUNT: Final = 7
ROUTE_COUNT: Final = 70
WORKSPACE_COUNT: Final = 80
MEMBER_SIZES: Final = (100, 400, 800, 1200)
CHANGE_SIZES: Final = (1, 57, 171)
ROUTE_SIZES: Final = (35, 70, 140, 280)
WORKSPACE_SIZES: Final = (8, 80, 400)
NODE_SIZES: Final = (90, 180, 360)
EDIT_SIZES: Final = (50, 100, 200)
RECORD_SIZES: Final = (1000, 2000, 4000)
# Below and above the rate from which a node prefetches tokens.
RARE_ROOT_RATES: Final = (0.1, 0.2, 0.4, 0.8)
FREQUENT_ROOT_RATES: Final = (20.0, 50.0, 100.0, 200.0)
REPORT_ROW_COUNTS: Final = (10, 50, 200)
SAMPLES_PER_ROW: Final = 200
OUTCOME_BODY_BYTES: Final = 200
QUOTA_RUN_SECONDS: Final = 200
ASKING_NODE_COUNT: Final = 20
# From a node through its control host to the leader.
OWNER_LINK_DELAY: Final = timedelta(milliseconds=3)
NODE_TICK_INTERVAL: Final = timedelta(milliseconds=50)
MAX_SETTLE_SECONDS: Final = 90
QUIET_SECONDS: Final = 11
WINDOW_COUNT: Final = 6
WINDOW_SECONDS: Final = 1.0


def build_member(number: int) -> Member:
    """Return a serving member of a fleet of the design size."""
    return Member(
        name=f"node-{number:04}",
        incarnation=BASE_INCARNATION + number,
        host=f"10.0.{number // 250}.{number % 250}",
        port=7001,
        pool=f"service-{number % SERVICE_COUNT}",
        domain=f"domain-{number % FAILURE_DOMAIN_COUNT}",
        region=f"region-{number % FAILURE_DOMAIN_COUNT % 3}",
        state=MemberState.SERVING,
        slots=160,
    )


def build_tables(
    routes: int = ROUTE_COUNT,
    workspaces: int = WORKSPACE_COUNT,
    worth: float = 1.0,
) -> Tables:
    """Return tables with a pool for each service."""
    return Tables(
        {
            f"route-{n}": Route(
                f"route-{n}",
                f"/service-{n % SERVICE_COUNT}/resource-{n}",
                f"service-{n % SERVICE_COUNT}",
                methods=("GET", "POST"),
                worth=worth,
            )
            for n in range(routes)
        },
        {f"service-{n}": Pool(f"service-{n}") for n in range(SERVICE_COUNT)},
        {
            f"workspace-{n}": Workspace(f"workspace-{n}", 500.0, 1000)
            for n in range(workspaces)
        },
    )


def build_groups(members: dict[str, Member]) -> dict[int, WitnessGroup]:
    """Return the witness groups that are planned for the members."""
    plan = plan_witnesses(members, {}, Random(1))
    return dict(plan.groups) if plan is not None else {}


def build_state(members: int) -> FleetState:
    """Return a fleet's state with tables of the design size."""
    state = FleetState()
    rows = {
        member.name: member for member in map(build_member, range(members))
    }
    state.apply(1, EditTables("first", "bench", 0, build_tables()))
    state.apply(2, MembersChanged(tuple(rows.values())))
    plan = plan_witnesses(rows, {}, Random(1))
    if plan is not None:
        state.apply(3, plan)
    return state


def encode_snapshot(state: FleetState) -> bytes:
    """Return the encoded feed snapshot of a state."""
    return CODEC.encode(FeedSource(state).subscribe("node", 0, None))


def build_view(data: bytes) -> tuple[NodeView, Balancer]:
    """Return the view and balancer that a node builds from a snapshot."""
    message: FeedMessage = CODEC.decode(data)
    view = NodeView()
    view.apply(EPOCH, message)
    balancer = Balancer("node-0000", "domain-0", "region-0", Random(1))
    balancer.update(EPOCH, view.members)
    return view, balancer


def encode_change(state: FleetState, command: MembersChanged) -> bytes:
    """Apply a change and return its encoded feed delta."""
    feed = FeedSource(state)
    feed.subscribe("node", state.index, None)
    index = state.index + 1
    state.apply(index, command)
    (_, message), *_ = feed.publish(index, command)
    return CODEC.encode(message)


def measure_members() -> Iterator[Series]:
    """Yield the costs that grow with the number of members."""
    snapshots, memory, ticks, delta_times = [], [], [], []
    for size in MEMBER_SIZES:
        state = build_state(size)
        data = encode_snapshot(state)
        snapshots.append((size, float(len(data))))
        retained = measure_memory(lambda d=data: build_view(d))  # type: ignore[misc]
        memory.append((size, float(retained)))
        ticks.append((size, time_leadership(state)))
        delta_times.append((size, time_delta(state, data)))
    yield Series("feed snapshot", "bytes", "members", tuple(snapshots))
    yield Series("node's view and balancer", "bytes", "members", tuple(memory))
    yield Series("leader's membership", "ms/s", "members", tuple(ticks))
    yield Series(
        "node's handling of a delta", "ms", "members", tuple(delta_times)
    )
    deltas = []
    for count in CHANGE_SIZES:
        state = build_state(MEMBER_SIZES[-1])
        left = {m.name: m.incarnation for m in map(build_member, range(count))}
        data = encode_change(state, MembersChanged((), left))
        deltas.append((count, float(len(data))))
    yield Series("delta of lost members", "bytes", "changes", tuple(deltas))
    deltas = []
    for count in CHANGE_SIZES:
        state = build_state(MEMBER_SIZES[-1])
        new = tuple(build_member(5000 + number) for number in range(count))
        data = encode_change(state, MembersChanged(new))
        deltas.append((count, float(len(data))))
    yield Series("delta of new members", "bytes", "changes", tuple(deltas))


def time_leadership(state: FleetState) -> float:
    """Return the leader's processor time for leases and plans in ms/s.

    A second has ten ticks, two plans and two batches of reports.
    """
    rng = Random(1)
    leader = Leadership(EPOCH, 1, lambda: state, rng, lambda _: None)
    nodes = tuple(
        NodeState(MemberReport(member, 1), state.index)
        for member in state.members.values()
    )
    batch = AliveBatch(nodes)
    now = EPOCH + timedelta(seconds=20)
    leader.renew_leases(now, batch)
    leader.tick(now)

    def run_second() -> None:
        nonlocal now
        for tick in range(10):
            now += timedelta(milliseconds=100)
            if tick % 5 == 0:
                leader.renew_leases(now, batch)
            leader.tick(now)

    return time_call(run_second, 2) * 1000


def time_delta(state: FleetState, snapshot: bytes) -> float:
    """Return a node's time to decode and apply a one-member delta in ms."""
    view, balancer = build_view(snapshot)
    feed = FeedSource(state)
    feed.subscribe("node", state.index, None)
    encoded = []
    for number in range(20):
        change = MembersChanged((build_member(6000 + number),))
        index = state.index + 1
        state.apply(index, change)
        (_, message), *_ = feed.publish(index, change)
        encoded.append(CODEC.encode(message))
    started = time.process_time()
    for data in encoded:
        view.apply(EPOCH, CODEC.decode(data))
        balancer.update(EPOCH, view.members)
    return (time.process_time() - started) / len(encoded) * 1000


def measure_routes() -> Iterator[Series]:
    """Yield the costs that grow with the number of routes."""
    matches, sizes = [], []
    for size in ROUTE_SIZES:
        tables = build_tables(size)
        last = size - 1
        path = f"/service-{last % SERVICE_COUNT}/resource-{last}/1"
        call = _bind(match_route, tables, "GET", path)
        matches.append((size, time_call(call, 200) * 1e6))
        edit = EditTables("edit", "bench", 1, tables)
        sizes.append((size, float(len(COMMAND_CODEC.encode(edit)))))
    yield Series("match of a route", "us", "routes", tuple(matches))
    yield Series("edit of the tables", "bytes", "routes", tuple(sizes))


def _bind(
    call: Callable[..., object],
    *arguments: object,
) -> Callable[[], object]:
    return lambda: call(*arguments)


def build_ask(workspace: int, ask_id: int) -> QuotaAsk:
    """Return a request to the quota owner that is granted a token."""
    return QuotaAsk(
        node=f"node-{ask_id % 1200:04}",
        incarnation=BASE_INCARNATION,
        workspace=f"workspace-{workspace}",
        ask_id=ask_id,
        waiting=1,
        want=2,
        arrived=1,
        abandoned=0,
    )


def measure_workspaces() -> Iterator[Series]:
    """Yield the quota owner's costs that grow with the workspaces."""
    asks, memory, ticks = [], [], []
    for size in WORKSPACE_SIZES:
        rows = build_tables(1, size).workspaces
        owner = QuotaOwner(EPOCH, 1, rows)
        now = EPOCH + timedelta(seconds=5)
        asks.append((size, time_asks(owner, size)))
        ticks.append((size, time_call(_bind(owner.tick, now), 5) * 1000))
        memory.append(
            (
                size,
                float(measure_memory(_bind(build_owner, rows))),
            ),
        )
    yield Series("owner's handling of an ask", "us", "workspaces", tuple(asks))
    yield Series("owner's tick", "ms", "workspaces", tuple(ticks))
    yield Series("owner's buckets", "bytes", "workspaces", tuple(memory))


def build_owner(rows: dict[str, Workspace]) -> QuotaOwner:
    """Return a quota owner with requests of several nodes per workspace."""
    owner = QuotaOwner(EPOCH, 1, rows)
    now = EPOCH + timedelta(seconds=5)
    for number in range(len(rows)):
        for node in range(ASKING_NODE_COUNT):
            owner.ask(now, build_ask(number, node + 1))
    return owner


def time_asks(owner: QuotaOwner, workspaces: int) -> float:
    """Return the owner's time for a relayed ask and its grant in us."""
    count = 2000
    relays = [
        CODEC.encode(
            Relay(
                "node",
                CODEC.encode(build_ask(number % workspaces, number + 1)),
            ),
        )
        for number in range(count)
    ]
    now = EPOCH + timedelta(seconds=5)
    started = time.process_time()
    for data in relays:
        now += timedelta(milliseconds=1)
        ask = CODEC.decode(CODEC.decode(data).payload)
        grant = owner.ask(now, ask)
        CODEC.encode(Relay("node", CODEC.encode(grant), answer=True))
        if grant.tokens:
            settle = QuotaSettle(
                ask.node,
                ask.incarnation,
                ask.workspace,
                1,
                grant.grant_id,
                grant.tokens,
                0,
            )
            owner.settle(now, settle)
    return (time.process_time() - started) / count * 1e6


class QuotaNode:
    """Node whose root requests spend a workspace's tokens.

    Requests arrive at random with a constant mean rate.
    """

    def __init__(self, seed: int, rate: float) -> None:
        self.loop = EventLoop()
        self.messages = 0
        self.bytes = 0
        self.asks = 0
        # Wait of each admitted request for its token in seconds.
        self.waits: list[float] = []
        self._arrived: dict[int, datetime] = {}
        self._rng = Random(seed)
        self._rate = rate
        self._spender = QuotaSpender("node-0001", BASE_INCARNATION)
        rows = {"workspace-1": Workspace("workspace-1", 10_000.0, 10_000)}
        self._owner = QuotaOwner(EPOCH - 3 * GRANT_TTL, 1, rows)
        self._last_request_id = 0

    def run(self, seconds: int) -> None:
        """Generate requests for some seconds of emulated time."""
        self._arrive()
        self._tick()
        self.loop.run(timedelta(seconds=seconds))

    def _arrive(self) -> None:
        self._last_request_id += 1
        now = self.loop.now()
        self._arrived[self._last_request_id] = now
        self._perform(
            self._spender.request(now, "workspace-1", self._last_request_id)
        )
        interval = timedelta(seconds=self._rng.expovariate(self._rate))
        self.loop.call_later(interval, self._arrive)

    def _tick(self) -> None:
        self._perform(self._spender.tick(self.loop.now()))
        self.loop.call_later(NODE_TICK_INTERVAL, self._tick)

    def _perform(self, actions: tuple[QuotaAction, ...]) -> None:
        for action in actions:
            if isinstance(action, SendAsk):
                self.asks += 1
                self._count(action.ask)
                self.loop.call_later(
                    OWNER_LINK_DELAY, _bind_callback(self._ask, action.ask)
                )
            elif isinstance(action, SendSettle):
                self._count(action.settle)
                settle = action.settle
                self.loop.call_later(
                    OWNER_LINK_DELAY, _bind_callback(self._settle, settle)
                )
            elif isinstance(action, Admit):
                arrived = self._arrived.pop(action.request_id)
                waited = self.loop.now() - arrived
                self.waits.append(waited.total_seconds())

    def _count(self, message: object) -> None:
        self.messages += 1
        self.bytes += len(CODEC.encode(message)) + FRAMING_BYTES

    def _ask(self, ask: QuotaAsk) -> None:
        grant = self._owner.ask(self.loop.now(), ask)
        self._count(grant)
        self.loop.call_later(
            OWNER_LINK_DELAY, _bind_callback(self._receive, grant)
        )

    def _settle(self, settle: QuotaSettle) -> None:
        self._owner.settle(self.loop.now(), settle)

    def _receive(self, grant: QuotaGrant) -> None:
        self._perform(self._spender.receive(self.loop.now(), grant))


def _bind_callback(
    call: Callable[..., None],
    *arguments: object,
) -> Callable[[], None]:
    return lambda: call(*arguments)


def measure_quota(seed: int) -> Iterator[Series]:
    """Yield a node's quota traffic for root requests of one workspace."""
    rates = {
        "rare roots": RARE_ROOT_RATES,
        "frequent roots": FREQUENT_ROOT_RATES,
    }
    for kind, sizes in rates.items():
        nodes = []
        for rate in sizes:
            node = QuotaNode(seed, rate)
            node.run(QUOTA_RUN_SECONDS)
            nodes.append(node)
        yield Series(
            f"p99 wait for a token for {kind}",
            "ms",
            "roots/s",
            tuple(
                (rate, quantiles(node.waits, n=100)[-1] * 1000)
                for rate, node in zip(sizes, nodes, strict=True)
            ),
        )
        for name, unit, counts in (
            ("messages", "1/s", [n.messages for n in nodes]),
            ("bytes", "bytes/s", [n.bytes for n in nodes]),
            ("asks", "1/s", [n.asks for n in nodes]),
        ):
            yield Series(
                f"node's quota {name} for {kind}",
                unit,
                "roots/s",
                tuple(
                    (rate, count / QUOTA_RUN_SECONDS)
                    for rate, count in zip(sizes, counts, strict=True)
                ),
            )


def run_until_quiet(plane: ControlPlane) -> None:
    """Run until no entry has been committed for ``QUIET_SECONDS``.

    Witness groups are distributed over the members in small steps.
    """
    index, quiet = -1, 0
    for _ in range(MAX_SETTLE_SECONDS):
        plane.run(1.0)
        newest = max(h.replica.commit_index for h in plane.hosts.values())
        quiet = quiet + 1 if newest == index else 0
        index = newest
        if quiet > QUIET_SECONDS:
            return


def distribute_nodes(plane: ControlPlane) -> None:
    """Distribute the nodes evenly over the control hosts."""
    names = plane.host_names
    for number, node in enumerate(plane.nodes.values()):
        first = number % len(names)
        node.host_order = [*names[first:], *names[:first]]


@dataclass(frozen=True, slots=True)
class HostCost:
    """Cost per second of a control host in an idle fleet."""

    is_leader: bool
    attached_nodes: int
    cpu_ms: float
    bytes: float
    messages: float


def measure_control_hosts(seed: int, count: int) -> list[HostCost]:
    """Return the costs of three control hosts.

    Takes the least processor time of several windows, as other processes
    share the host.
    """
    members = tuple(map(build_member, range(count)))
    plane = ControlPlane(seed, 3, members)
    distribute_nodes(plane)
    plane.start()
    run_until_quiet(plane)
    leader = plane.find_leader()
    costs_by_host: dict[str, list[HostCost]] = {}
    for _ in range(WINDOW_COUNT):
        hosts = list(plane.hosts.values())
        before = [
            (h.cpu_seconds, h.sent_bytes + h.received_bytes, h.message_count)
            for h in hosts
        ]
        plane.run(WINDOW_SECONDS)
        for host, (spent, size, messages) in zip(hosts, before, strict=True):
            total = host.sent_bytes + host.received_bytes
            costs_by_host.setdefault(host.name, []).append(
                HostCost(
                    host is leader,
                    len(host.sessions),
                    (host.cpu_seconds - spent) / WINDOW_SECONDS * 1000,
                    (total - size) / WINDOW_SECONDS,
                    (host.message_count - messages) / WINDOW_SECONDS,
                ),
            )
    return [
        replace(
            costs[0],
            cpu_ms=min(cost.cpu_ms for cost in costs),
            bytes=fmean(cost.bytes for cost in costs),
            messages=fmean(cost.messages for cost in costs),
        )
        for costs in costs_by_host.values()
    ]


def measure_hosts(seed: int) -> Iterator[Series]:
    """Yield a control host's costs for attached nodes in an idle fleet."""
    followers: list[HostCost] = []
    leaders = []
    for count in NODE_SIZES:
        for cost in measure_control_hosts(seed, count):
            if cost.is_leader:
                leaders.append((float(count), cost.cpu_ms))
            else:
                followers.append(cost)
    for name, unit, points in (
        ("code", "ms/s", [(c.attached_nodes, c.cpu_ms) for c in followers]),
        ("bytes", "bytes/s", [(c.attached_nodes, c.bytes) for c in followers]),
        (
            "messages",
            "1/s",
            [(c.attached_nodes, c.messages) for c in followers],
        ),
    ):
        yield Series(
            f"follower's {name}",
            unit,
            "attached nodes",
            tuple(points),
        )
    yield Series("leader's code", "ms/s", "nodes of the fleet", tuple(leaders))


def measure_edits() -> Iterator[Series]:
    """Yield the sizes and replay times of logs of table edits."""
    logs, dumps, replays = [], [], []
    for count in EDIT_SIZES:
        files = MemoryFiles()
        journal = Journal("data", files)
        journal.open(lambda: "identity")
        initial_state = build_state(MEMBER_SIZES[-1])
        replicas = (ReplicaId("control-1", "identity"),)
        journal.save_snapshot(
            Snapshot(3, 1, Membership(replicas), initial_state.dump()),
        )
        empty_size = files.measure_size("log-")
        for number in range(count):
            tables = build_tables(worth=1.0 + number)
            edit = EditTables(f"edit-{number}", "bench", 1 + number, tables)
            entry = Entry(4 + number, 1, COMMAND_CODEC.encode(edit))
            journal.append((Entries((entry,)),))
        logs.append((count, float(files.measure_size("log-") - empty_size)))
        started = time.process_time()
        state = replay(files)
        replays.append((count, time.process_time() - started))
        dumps.append((count, float(len(state.dump()))))
    yield Series("log", "bytes", "edits", tuple(logs))
    yield Series("snapshot on disk", "bytes", "edits", tuple(dumps))
    yield Series("replay", "s", "edits", tuple(replays))


def replay(files: MemoryFiles) -> FleetState:
    """Restore the state from the journal as a starting control host does."""
    restored = Journal("data", files).open(lambda: "identity")
    if restored.snapshot is None:
        raise SystemExit("the journal has no snapshot")
    state = FleetState.load(restored.snapshot.data)
    for entry in restored.entries:
        state.apply(entry.index, COMMAND_CODEC.decode(entry.command))
    if state.revision != 1 + len(restored.entries):
        raise SystemExit("an edit was rejected during replay")
    return state


def measure_witnesses(seed: int) -> Iterator[Series]:
    """Yield the memory of a witness's records with small outcomes."""
    points = []
    for count in RECORD_SIZES:
        size = measure_memory(_bind(build_witness, seed, count))
        points.append((count, float(size)))
    yield Series("witness's records", "bytes", "records", tuple(points))


def build_witness(seed: int, count: int) -> Witness:
    """Return a witness with granted requests and their outcomes."""
    rng = Random(seed)
    witness = Witness("node-0001", EPOCH)
    group = WitnessGroup(1, ("node-0001", "node-0002", "node-0003"))
    witness.assign(EPOCH, dict.fromkeys(range(64), group))
    now = EPOCH + timedelta(minutes=1)
    for number in range(count):
        key = RecordKey("workspace-1", mint_request_id(now, rng))
        digest = rng.randbytes(16)
        intent = Intent(
            key,
            f"node-0002:{number}",
            digest,
            "node-0003",
            1,
            "node-0002",
            now,
            1,
            3,
        )
        outcome = OutcomeRecord(
            key,
            intent.attempt,
            digest,
            200,
            (("Content-Type", "application/json"),),
            rng.randbytes(OUTCOME_BODY_BYTES),
        )
        witness.receive(now, fresh=True, message=intent)
        witness.receive(now, fresh=True, message=outcome)
    if len(witness) != count:
        raise SystemExit("the witness did not keep every record")
    return witness


def measure_reports(seed: int) -> Iterator[Series]:
    """Yield the size of a node's report to operators by its rows."""
    points = []
    for rows in REPORT_ROW_COUNTS:
        rng = Random(seed)
        metrics = NodeMetrics("node-0001", EPOCH)
        for number in range(rows):
            for _ in range(SAMPLES_PER_ROW):
                metrics.record(EPOCH, build_sample(rng, number))
        push = ReportPush(1, metrics.snapshot(EPOCH))
        points.append((rows, float(len(CODEC.encode(push)))))
    yield Series("node's report", "bytes", "rows", tuple(points))


def build_sample(rng: Random, number: int) -> RequestSample:
    """Return a successful request of one row with a random service time."""
    service = timedelta(milliseconds=rng.lognormvariate(3.0, 0.7))
    return RequestSample(
        route=f"route-{number % ROUTE_COUNT}",
        pool=f"service-{number % SERVICE_COUNT}",
        workspace=f"workspace-{number // ROUTE_COUNT}",
        importance=Importance.NORMAL,
        code=None,
        verdict=Verdict.RAN,
        inside_rate=True,
        worth=1.0,
        retries=0,
        queue_time=service / 10,
        service_time=service,
        total_time=service,
        root=True,
    )


def measure_domain_loss() -> tuple[int, int]:
    """Return the sizes of both deltas after losing a failure domain.

    The first delta contains the members that left, the second the first
    plan of new witness groups. Sizes are in bytes.
    """
    state = build_state(MEMBER_SIZES[-1])
    lost = {
        member.name: member.incarnation
        for member in state.members.values()
        if member.domain == "domain-0"
    }
    members_delta = encode_change(state, MembersChanged((), lost))
    plan = plan_witnesses(state.members, state.groups, Random(1))
    feed = FeedSource(state)
    feed.subscribe("node", state.index, None)
    if plan is None:
        raise SystemExit("losing a failure domain changed no witness group")
    index = state.index + 1
    state.apply(index, plan)
    (_, message), *_ = feed.publish(index, plan)
    return len(members_delta), len(CODEC.encode(message))


def measure_table_delta() -> int:
    """Return the size of the delta of a table edit in bytes."""
    state = build_state(1)
    feed = FeedSource(state)
    feed.subscribe("node", state.index, None)
    edit = EditTables("edit", "bench", state.revision, build_tables(worth=2.0))
    index = state.index + 1
    state.apply(index, edit)
    (_, message), *_ = feed.publish(index, edit)
    return len(CODEC.encode(message))


def measure_ping() -> int:
    """Return the size of a ping and its pong with framing in bytes."""
    ping = Ping(EPOCH + timedelta(microseconds=1), 100_000)
    pong = Pong(ping.sent, ping.index, timedelta(microseconds=123_456))
    return len(CODEC.encode(ping) + CODEC.encode(pong)) + 2 * FRAMING_BYTES
