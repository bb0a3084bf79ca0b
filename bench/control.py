"""Configuration, keys and membership on an emulated fleet."""

import time
from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from datetime import datetime, timedelta
from functools import partial
from typing import Final

from bench._control_plane import (
    ControlHost,
    ControlPlane,
    EmulatedNode,
    SubmittedEdit,
)
from bench._figures import Figure
from sequoiaseam._commands import AddKey, Command, Member, MemberState
from sequoiaseam._keyring import compute_digest
from sequoiaseam._operator_client import HOST_CALL_TIMEOUT
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    EditOutcome,
    WithdrawKeyRequest,
)
from sequoiaseam._tables import KeyRecord, Pool, Route, Tables, Workspace

MEASURE: Final = "control"
NODES: Final = 100
DOMAINS: Final = 4
POOLS: Final = 10
LOST_DOMAIN: Final = "domain-1"
WORKSPACES: Final = 8
GROUP_SIZES: Final = (3, 5)

SETTLE_SECONDS: Final = 15.0
QUIET_SECONDS: Final = 10.0
EDIT_TRIALS: Final = 50
# Edits keep coming while a control host is lost.
STREAM_EDITS: Final = 25
STREAM_INTERVAL: Final = 0.3
LOSS_TRIALS: Final = 2
WITHDRAW_TRIALS: Final = 4
MEMBER_TRIALS: Final = 10
P99_TRIALS: Final = 50
POLL_SECONDS: Final = 0.01
# Watched after a withdrawal, and longer for each control host that the
# operator's client has to find silent first.
REFUSAL_SECONDS: Final = 5.0
CLIENT_SECONDS: Final = HOST_CALL_TIMEOUT.total_seconds()
RECOVERY_SECONDS: Final = 4.0
COMMITS: Final = 100
COMMIT_BATCH: Final = 20

IN_FORCE_TARGET: Final = "<= 18"
WITHDRAWN_TARGET: Final = "<= 5"
DEAD_TARGET: Final = "<= 5"
DRAIN_TARGET: Final = "<= 3"
BYTES_TARGET: Final = "<= 5000"
PROCESSOR_TARGET: Final = "<= 15"


def build_members(count: int) -> tuple[Member, ...]:
    """Return serving members, spread over pools and domains."""
    return tuple(
        Member(
            name=f"node-{number:04}",
            incarnation=1_800_000_000_000_000 + number,
            host=f"10.0.{number // 250}.{number % 250}",
            port=7001,
            pool=f"pool-{number % POOLS}",
            domain=f"domain-{number % DOMAINS}",
            region="south",
            state=MemberState.SERVING,
            slots=160,
        )
        for number in range(count)
    )


def build_tables(number: int = 0) -> Tables:
    """Return tables with two routes for each pool."""
    routes = {
        f"route-{n}": Route(
            f"route-{n}",
            f"/service-{n}",
            f"pool-{n % POOLS}",
            worth=1.0 + number,
        )
        for n in range(2 * POOLS)
    }
    pools = {f"pool-{n}": Pool(f"pool-{n}") for n in range(POOLS)}
    workspaces = {
        f"workspace-{n}": Workspace(f"workspace-{n}", 500.0, 1000)
        for n in range(WORKSPACES)
    }
    return Tables(routes, pools, workspaces)


class Trial:
    """An emulated fleet that is ready, and what operators do to it."""

    def __init__(self, seed: int, hosts: int, nodes: int = NODES) -> None:
        self.plane = ControlPlane(seed, hosts, build_members(nodes))
        self.rng = self.plane.rng
        self.tables = 0
        self.keys = 0
        self.plane.start()
        self.plane.run(3.0)
        self.wait_until_in_force(self.submit_tables())
        self.plane.run(SETTLE_SECONDS)

    def now(self) -> datetime:
        """Return the emulated time."""
        return self.plane.loop.now()

    def submit_tables(self) -> SubmittedEdit:
        """Submit an edit of the tables on the newest revision."""
        operator = self.plane.operator
        self.tables += 1
        leader = self.plane.find_leader()
        revision = leader.state.revision if leader else 0
        return operator.submit(
            ApplyRequest(
                operator.create_id(),
                "bench",
                revision,
                build_tables(self.tables),
            ),
        )

    def add_key(self) -> tuple[SubmittedEdit, str]:
        """Submit a new key; return the edit and the token."""
        operator = self.plane.operator
        self.keys += 1
        token = f"token-{self.keys}"
        edit = operator.submit(
            AddKeyRequest(
                operator.create_id(),
                "bench",
                f"key-{self.keys}",
                compute_digest(token),
                f"workspace-{self.keys % WORKSPACES}",
            ),
        )
        return edit, token

    def withdraw_key(self, number: int) -> SubmittedEdit:
        """Submit the withdrawal of a key."""
        operator = self.plane.operator
        return operator.submit(
            WithdrawKeyRequest(operator.create_id(), "bench", f"key-{number}"),
        )

    def wait_until_in_force(
        self, edit: SubmittedEdit, limit: float = 30.0
    ) -> None:
        """Run until an edit is in force on all nodes."""
        end = self.now() + timedelta(seconds=limit)
        while self.find_in_force(edit) is None and self.now() < end:
            self.plane.run(0.1)

    def find_in_force(self, edit: SubmittedEdit) -> float | None:
        """Return the seconds until the last node had the edit."""
        if edit.revision is None or edit.outcome is not EditOutcome.ACCEPTED:
            return None
        latest = edit.submitted_at
        for node in self.plane.list_running_nodes():
            when = find_revision(node, edit.revision)
            if when is None:
                return None
            latest = max(latest, when)
        return (latest - edit.submitted_at).total_seconds()

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Return the seconds until a condition holds, polled."""
        started = self.now()
        while not condition():
            if (self.now() - started).total_seconds() > limit:
                return float("inf")
            self.plane.run(POLL_SECONDS)
        return (self.now() - started).total_seconds()


def find_revision(node: EmulatedNode, revision: int) -> datetime | None:
    """Return when a node first had a revision or a later one."""
    position = bisect_left(node.revisions, revision, key=lambda row: row[1])
    if position == len(node.revisions):
        return None
    return node.revisions[position][0]


def find_quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that a share of all don't exceed."""
    ordered = sorted(values)
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[position]


def summarize(
    variant: str,
    name: str,
    values: Sequence[float],
    target: str,
) -> Iterator[Figure]:
    """Yield the median, p99 if there are enough, and the worst."""
    rows = {"p50": find_quantile(values, 0.5)}
    if len(values) >= P99_TRIALS:
        rows["p99"] = find_quantile(values, 0.99)
    rows["worst"] = max(values)
    for label, value in rows.items():
        yield Figure(MEASURE, variant, f"{name} {label}", "s", value, target)


def measure_quiet(variant: str, trial: Trial) -> Iterator[Figure]:
    """Measure what nodes spend when nothing changes, then edits."""
    yield from measure_node_costs(variant, trial)
    times = []
    for _ in range(EDIT_TRIALS):
        trial.plane.run(trial.rng.uniform(0.2, 0.8))
        edit = trial.submit_tables()
        trial.wait_until_in_force(edit)
        times.append(trial.find_in_force(edit) or float("inf"))
    yield from summarize(
        variant,
        "edit in force on 100 nodes, quiet",
        times,
        IN_FORCE_TARGET,
    )


def measure_node_costs(variant: str, trial: Trial) -> Iterator[Figure]:
    """Yield bytes, messages and processor time of a node a second."""
    nodes = trial.plane.list_running_nodes()
    before = [
        (n.sent_bytes + n.received_bytes, n.message_count, n.cpu_seconds)
        for n in nodes
    ]
    leader = trial.plane.find_leader()
    leader_spent = leader.cpu_seconds if leader else 0.0
    trial.plane.run(QUIET_SECONDS)
    rows = [
        (
            (n.sent_bytes + n.received_bytes - size) / QUIET_SECONDS,
            (n.message_count - messages) / QUIET_SECONDS,
            (n.cpu_seconds - spent) / QUIET_SECONDS * 1000,
        )
        for n, (size, messages, spent) in zip(nodes, before, strict=True)
    ]
    labels = (
        ("bytes of a node, quiet, worst", "bytes/s", BYTES_TARGET),
        ("messages of a node, quiet, worst", "1/s", None),
        (
            "processor time of a node without transport, quiet, worst",
            "ms/s",
            PROCESSOR_TARGET,
        ),
    )
    for position, (name, unit, target) in enumerate(labels):
        worst = max(row[position] for row in rows)
        yield Figure(MEASURE, variant, name, unit, worst, target)
    mean = sum(row[2] for row in rows) / len(rows)
    yield Figure(
        MEASURE,
        variant,
        "processor time of a node without transport, quiet, mean",
        "ms/s",
        mean,
        PROCESSOR_TARGET,
    )
    if leader is not None:
        yield Figure(
            MEASURE,
            variant,
            "processor time of the leader without transport, quiet",
            "ms/s",
            (leader.cpu_seconds - leader_spent) / QUIET_SECONDS * 1000,
        )


def stream_edits(
    trial: Trial, lose: Callable[[], None]
) -> list[SubmittedEdit]:
    """Submit keys at a constant pace; lose a host in the middle."""
    edits = []
    moment = STREAM_EDITS // 4 + trial.rng.random()
    for number in range(STREAM_EDITS):
        if number <= moment < number + 1:
            trial.plane.run(STREAM_INTERVAL * (moment - number))
            lose()
            trial.plane.run(STREAM_INTERVAL * (number + 1 - moment))
        else:
            trial.plane.run(STREAM_INTERVAL)
        edits.append(trial.add_key()[0])
    return edits


def collect_times(trial: Trial, edits: list[SubmittedEdit]) -> list[float]:
    """Wait for edits and return their times, infinite if not in force."""
    for edit in edits:
        trial.wait_until_in_force(edit)
    times = []
    for edit in edits:
        found = trial.find_in_force(edit)
        times.append(float("inf") if found is None else found)
    return times


def require_leader(trial: Trial) -> ControlHost:
    """Return the leader, waiting for one."""
    trial.run_until(lambda: trial.plane.find_leader() is not None, 10.0)
    leader = trial.plane.find_leader()
    if leader is None:
        raise SystemExit("the emulated control hosts elect no leader")
    return leader


def measure_leader_kills(variant: str, trial: Trial) -> Iterator[Figure]:
    """Kill the leader while edits arrive; restart it afterwards."""
    times: list[float] = []
    for _ in range(LOSS_TRIALS):
        leader = require_leader(trial)
        edits = stream_edits(trial, partial(trial.plane.kill_host, leader))
        times.extend(collect_times(trial, edits))
        leader.start()
        trial.plane.run(3.0)
    yield from summarize(
        variant,
        "edit in force on 100 nodes, leader killed",
        times,
        IN_FORCE_TARGET,
    )


def measure_partitions(variant: str, trial: Trial) -> Iterator[Figure]:
    """Cut one control host off silently while edits arrive."""
    for role in ("leader", "follower"):
        times: list[float] = []
        for _ in range(LOSS_TRIALS):
            host = choose_host(trial, role)
            cut = frozenset((host.name,))
            edits = stream_edits(
                trial,
                partial(trial.plane.network.isolate, cut),
            )
            times.extend(collect_times(trial, edits))
            trial.plane.network.isolate(frozenset())
            trial.plane.run(3.0)
        yield from summarize(
            variant,
            f"edit in force on 100 nodes, {role} cut off silently",
            times,
            IN_FORCE_TARGET,
        )


def choose_host(trial: Trial, role: str) -> ControlHost:
    """Return the leader or one that follows it."""
    leader = require_leader(trial)
    if role == "leader":
        return leader
    others = [h for h in trial.plane.hosts.values() if h is not leader]
    return trial.rng.choice(others)


def refuses(node: EmulatedNode, token: str, now: datetime) -> bool:
    """Return whether a node refuses requests with a key."""
    return not node.view.is_fresh(now) or (
        node.view.keyring.identify(token) is None
    )


def time_refusal(trial: Trial, token: str, limit: float) -> float:
    """Return the seconds after which no node takes a key any more."""
    started = trial.now()
    last = started
    while (trial.now() - started).total_seconds() < limit:
        trial.plane.run(POLL_SECONDS)
        now = trial.now()
        nodes = trial.plane.list_running_nodes()
        if not all(refuses(node, token, now) for node in nodes):
            last = now
    return (last - started).total_seconds() + POLL_SECONDS


def withdraw(trial: Trial, lost: int, *, asked_first: bool) -> float:
    """Return the seconds from a request to refusal everywhere.

    ``lost`` following control hosts and their nodes are cut off just
    before, so they hear nothing of it. With ``asked_first`` they are
    the ones that the operator's client asks first.
    """
    edit, token = trial.add_key()
    trial.wait_until_in_force(edit)
    number = trial.keys
    trial.plane.run(trial.rng.random())
    leader = require_leader(trial)
    others = [h for h in trial.plane.hosts.values() if h is not leader]
    cut = trial.rng.sample(others, lost)
    rest = [h for h in trial.plane.hosts.values() if h not in cut]
    order = [*cut, *rest] if asked_first else [*rest, *cut]
    trial.plane.operator.host_order = [host.name for host in order]
    names = [name for host in cut for name in (host.name, *host.sessions)]
    trial.plane.network.isolate(frozenset(names))
    trial.withdraw_key(number)
    watched = REFUSAL_SECONDS + CLIENT_SECONDS * lost * asked_first
    seconds = time_refusal(trial, token, watched)
    if lost:
        trial.plane.network.isolate(frozenset())
        trial.plane.run(RECOVERY_SECONDS)
    return seconds


def measure_withdrawals(variant: str, trial: Trial) -> Iterator[Figure]:
    """Time withdrawals in a whole and in a divided fleet."""
    for lost in range((len(trial.plane.hosts) - 1) // 2 + 1):
        for asked_first in (False, True) if lost else (False,):
            name = f"{lost} control hosts and their nodes cut off"
            if asked_first:
                name += ", the operator's client asks these first"
            yield from summarize(
                variant,
                f"withdrawn key refused on every node, {name}",
                [
                    withdraw(trial, lost, asked_first=asked_first)
                    for _ in range(WITHDRAW_TRIALS - 2 * asked_first)
                ],
                WITHDRAWN_TARGET,
            )


def is_out(trial: Trial, name: str) -> bool:
    """Return whether no node sends new requests to a member."""
    for node in trial.plane.list_running_nodes():
        member = node.view.members.get(name)
        if member is not None and member.state is MemberState.SERVING:
            return False
    return True


def measure_members(variant: str, trial: Trial) -> Iterator[Figure]:
    """Drain some members and kill others, at random moments."""
    chosen = trial.rng.sample(sorted(trial.plane.nodes), 2 * MEMBER_TRIALS)
    drained, killed = [], []
    for name in chosen[:MEMBER_TRIALS]:
        trial.plane.run(trial.rng.random())
        trial.plane.nodes[name].drain()
        drained.append(trial.run_until(partial(is_out, trial, name), 30))
    for name in chosen[MEMBER_TRIALS:]:
        trial.plane.run(trial.rng.random())
        trial.plane.nodes[name].kill()
        killed.append(trial.run_until(partial(is_out, trial, name), 30))
    yield from summarize(
        variant,
        "draining member out on every node",
        drained,
        DRAIN_TARGET,
    )
    yield from summarize(
        variant,
        "killed member out on every node",
        killed,
        DEAD_TARGET,
    )
    yield from measure_domain_loss(variant, trial)


def measure_domain_loss(variant: str, trial: Trial) -> Iterator[Figure]:
    """Kill all nodes of a failure domain at once."""
    nodes = trial.plane.list_running_nodes()
    lost = [n for n in nodes if n.member.domain == LOST_DOMAIN]
    kept = [n for n in nodes if n.member.domain != LOST_DOMAIN]
    before = sum(n.received_bytes for n in kept)
    for node in lost:
        node.kill()
    names = [node.name for node in lost]
    seconds = trial.run_until(
        lambda: all(is_out(trial, name) for name in names),
        30,
    )
    trial.plane.run(RECOVERY_SECONDS)
    received = sum(n.received_bytes for n in kept) - before
    name = f"failure domain of {len(lost)} nodes killed"
    rows = (
        ("out on every node", "s", seconds, DEAD_TARGET),
        (
            "bytes received by a node meanwhile",
            "bytes/s",
            received / len(kept) / (seconds + RECOVERY_SECONDS),
            BYTES_TARGET,
        ),
    )
    for figure, unit, value, target in rows:
        yield Figure(
            MEASURE, variant, f"{name}, {figure}", unit, value, target
        )


def measure_commits(variant: str, trial: Trial) -> Iterator[Figure]:
    """Yield commits a second of the leader's processor time."""
    attached = len(require_leader(trial).sessions)
    yield Figure(
        MEASURE,
        variant,
        f"commits by the leader with {attached} nodes attached",
        "1/s of its processor time",
        time_commits(trial),
    )


def time_commits(trial: Trial) -> float:
    """Return the commits a second of the leader's processor time."""
    leader = require_leader(trial)
    before = leader.replica.commit_index
    spent = leader.cpu_seconds
    for number in range(COMMITS // COMMIT_BATCH):
        started = time.process_time()
        for position in range(COMMIT_BATCH):
            command = build_key(number * COMMIT_BATCH + position)
            leader.propose(command, lambda _index, _error: None)
        leader.cpu_seconds += time.process_time() - started
        trial.plane.run(0.05)
    trial.plane.run(0.5)
    committed = leader.replica.commit_index - before
    return committed / (leader.cpu_seconds - spent)


def build_key(number: int) -> Command:
    """Return an edit that replaces no state, so each costs the same."""
    digest = compute_digest(f"bench-{number}")
    key = KeyRecord("key-of-nobody", digest, "nobody")
    return AddKey(f"bench-{number}", "bench", None, key)


def run(seed: int) -> Iterator[Figure]:
    """Measure groups of three and five control hosts."""
    for hosts in GROUP_SIZES:
        variant = f"{hosts} control hosts"
        trial = Trial(seed, hosts)
        yield from measure_quiet(variant, trial)
        yield from measure_commits(variant, trial)
        yield from measure_withdrawals(variant, trial)
        yield from measure_leader_kills(variant, trial)
        yield from measure_partitions(variant, trial)
        yield from measure_members(variant, trial)
