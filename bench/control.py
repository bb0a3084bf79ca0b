"""Propagation of configuration, keys and membership in an emulated fleet.

Reports the time until a change has reached every node, without faults and
with control hosts or nodes lost, and what an idle fleet costs.
"""

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
NODE_COUNT: Final = 100
DOMAIN_COUNT: Final = 4
POOL_COUNT: Final = 10
KILLED_DOMAIN: Final = "domain-1"
WORKSPACE_COUNT: Final = 8
GROUP_SIZES: Final = (3, 5)

SETTLE_SECONDS: Final = 15.0
IDLE_SECONDS: Final = 10.0
EDIT_TRIALS: Final = 50
# Edits that are submitted while a control host fails.
STREAM_EDIT_COUNT: Final = 25
STREAM_INTERVAL_SECONDS: Final = 0.3
HOST_LOSS_TRIALS: Final = 2
WITHDRAWAL_TRIALS: Final = 4
MEMBER_TRIALS: Final = 10
P99_MIN_TRIALS: Final = 50
POLL_SECONDS: Final = 0.01
# Time to watch for refusals after a withdrawal. Each isolated control host
# that the operator's client tries first adds one call timeout.
REFUSAL_WATCH_SECONDS: Final = 5.0
HOST_CALL_TIMEOUT_SECONDS: Final = HOST_CALL_TIMEOUT.total_seconds()
RECOVERY_SECONDS: Final = 4.0
COMMIT_COUNT: Final = 100
COMMIT_BATCH_SIZE: Final = 20

IN_FORCE_TARGET: Final = "<= 18"
WITHDRAWAL_TARGET: Final = "<= 5"
NODE_FAILURE_TARGET: Final = "<= 5"
DRAIN_TARGET: Final = "<= 3"
BYTES_TARGET: Final = "<= 5000"
PROCESSOR_TARGET: Final = "<= 15"


def build_members(count: int) -> tuple[Member, ...]:
    """Return serving members, spread over pools and failure domains."""
    return tuple(
        Member(
            name=f"node-{number:04}",
            incarnation=1_800_000_000_000_000 + number,
            host=f"10.0.{number // 250}.{number % 250}",
            port=7001,
            pool=f"pool-{number % POOL_COUNT}",
            domain=f"domain-{number % DOMAIN_COUNT}",
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
            f"pool-{n % POOL_COUNT}",
            worth=1.0 + number,
        )
        for n in range(2 * POOL_COUNT)
    }
    pools = {f"pool-{n}": Pool(f"pool-{n}") for n in range(POOL_COUNT)}
    workspaces = {
        f"workspace-{n}": Workspace(f"workspace-{n}", 500.0, 1000)
        for n in range(WORKSPACE_COUNT)
    }
    return Tables(routes, pools, workspaces)


class Trial:
    """A settled emulated fleet and the operations on it."""

    def __init__(self, seed: int, hosts: int, nodes: int = NODE_COUNT) -> None:
        self.plane = ControlPlane(seed, hosts, build_members(nodes))
        self.rng = self.plane.rng
        self.table_edit_count = 0
        self.key_count = 0
        self.plane.start()
        self.plane.run(3.0)
        self.wait_until_in_force(self.submit_tables())
        self.plane.run(SETTLE_SECONDS)

    def now(self) -> datetime:
        """Return the simulated time."""
        return self.plane.loop.now()

    def submit_tables(self) -> SubmittedEdit:
        """Submit new tables, based on the leader's revision."""
        operator = self.plane.operator
        self.table_edit_count += 1
        leader = self.plane.find_leader()
        revision = leader.state.revision if leader else 0
        return operator.submit(
            ApplyRequest(
                operator.create_id(),
                "bench",
                revision,
                build_tables(self.table_edit_count),
            ),
        )

    def submit_key(self) -> tuple[SubmittedEdit, str]:
        """Submit a new key and return the edit and the key's token."""
        operator = self.plane.operator
        self.key_count += 1
        token = f"token-{self.key_count}"
        edit = operator.submit(
            AddKeyRequest(
                operator.create_id(),
                "bench",
                f"key-{self.key_count}",
                compute_digest(token),
                f"workspace-{self.key_count % WORKSPACE_COUNT}",
            ),
        )
        return edit, token

    def submit_withdrawal(self, number: int) -> SubmittedEdit:
        """Submit the withdrawal of a key."""
        operator = self.plane.operator
        return operator.submit(
            WithdrawKeyRequest(operator.create_id(), "bench", f"key-{number}"),
        )

    def wait_until_in_force(
        self, edit: SubmittedEdit, limit_seconds: float = 30.0
    ) -> None:
        """Run until an edit is in force on all nodes, or until the limit."""
        end = self.now() + timedelta(seconds=limit_seconds)
        while self.compute_in_force_seconds(edit) is None and self.now() < end:
            self.plane.run(0.1)

    def compute_in_force_seconds(self, edit: SubmittedEdit) -> float | None:
        """Return the seconds until an edit was in force on the last node.

        ``None`` means that it isn't accepted or not in force on all nodes.
        """
        if edit.revision is None or edit.outcome is not EditOutcome.ACCEPTED:
            return None
        latest = edit.submitted_at
        for node in self.plane.list_running_nodes():
            when = find_revision_time(node, edit.revision)
            if when is None:
                return None
            latest = max(latest, when)
        return (latest - edit.submitted_at).total_seconds()

    def run_until(
        self, condition: Callable[[], bool], limit_seconds: float
    ) -> float:
        """Return the seconds until a condition holds.

        The condition is polled every ``POLL_SECONDS``; the result is infinite
        if it doesn't hold by the limit.
        """
        started = self.now()
        while not condition():
            if (self.now() - started).total_seconds() > limit_seconds:
                return float("inf")
            self.plane.run(POLL_SECONDS)
        return (self.now() - started).total_seconds()


def find_revision_time(node: EmulatedNode, revision: int) -> datetime | None:
    """Return when a revision or a later one came into force on a node."""
    position = bisect_left(node.revisions, revision, key=lambda row: row[1])
    if position == len(node.revisions):
        return None
    return node.revisions[position][0]


def compute_quantile(values: Sequence[float], quantile: float) -> float:
    """Return the value at a quantile from 0 to 1."""
    ordered = sorted(values)
    position = min(len(ordered) - 1, int(quantile * len(ordered)))
    return ordered[position]


def summarize(
    variant: str,
    name: str,
    values: Sequence[float],
    target: str,
) -> Iterator[Figure]:
    """Yield the median, the worst, and p99 if there are enough values."""
    rows = {"p50": compute_quantile(values, 0.5)}
    if len(values) >= P99_MIN_TRIALS:
        rows["p99"] = compute_quantile(values, 0.99)
    rows["worst"] = max(values)
    for label, value in rows.items():
        yield Figure(MEASURE, variant, f"{name} {label}", "s", value, target)


def measure_idle(variant: str, trial: Trial) -> Iterator[Figure]:
    """Measure the cost of an idle fleet, then the propagation of edits."""
    yield from measure_node_costs(variant, trial)
    times = []
    for _ in range(EDIT_TRIALS):
        trial.plane.run(trial.rng.uniform(0.2, 0.8))
        edit = trial.submit_tables()
        trial.wait_until_in_force(edit)
        times.append(trial.compute_in_force_seconds(edit) or float("inf"))
    yield from summarize(
        variant,
        "edit in force on 100 nodes, quiet",
        times,
        IN_FORCE_TARGET,
    )


def measure_node_costs(variant: str, trial: Trial) -> Iterator[Figure]:
    """Yield the traffic and processor time per second of an idle fleet."""
    nodes = trial.plane.list_running_nodes()
    before = [
        (n.sent_bytes + n.received_bytes, n.message_count, n.cpu_seconds)
        for n in nodes
    ]
    leader = trial.plane.find_leader()
    leader_spent = leader.cpu_seconds if leader else 0.0
    trial.plane.run(IDLE_SECONDS)
    rows = [
        (
            (n.sent_bytes + n.received_bytes - size) / IDLE_SECONDS,
            (n.message_count - messages) / IDLE_SECONDS,
            (n.cpu_seconds - spent) / IDLE_SECONDS * 1000,
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
            (leader.cpu_seconds - leader_spent) / IDLE_SECONDS * 1000,
        )


def stream_edits(
    trial: Trial, inject_loss: Callable[[], None]
) -> list[SubmittedEdit]:
    """Submit keys at a constant rate; inject a loss after a quarter."""
    edits = []
    loss_position = STREAM_EDIT_COUNT // 4 + trial.rng.random()
    for number in range(STREAM_EDIT_COUNT):
        if number <= loss_position < number + 1:
            trial.plane.run(STREAM_INTERVAL_SECONDS * (loss_position - number))
            inject_loss()
            trial.plane.run(
                STREAM_INTERVAL_SECONDS * (number + 1 - loss_position)
            )
        else:
            trial.plane.run(STREAM_INTERVAL_SECONDS)
        edits.append(trial.submit_key()[0])
    return edits


def collect_in_force_seconds(
    trial: Trial, edits: list[SubmittedEdit]
) -> list[float]:
    """Wait for edits and return their times in seconds.

    An edit that isn't in force in time counts as infinite.
    """
    for edit in edits:
        trial.wait_until_in_force(edit)
    times = []
    for edit in edits:
        found = trial.compute_in_force_seconds(edit)
        times.append(float("inf") if found is None else found)
    return times


def require_leader(trial: Trial) -> ControlHost:
    """Return the leader, waiting up to 10 seconds for an election."""
    trial.run_until(lambda: trial.plane.find_leader() is not None, 10.0)
    leader = trial.plane.find_leader()
    if leader is None:
        raise SystemExit("the emulated control hosts elected no leader")
    return leader


def measure_leader_kills(variant: str, trial: Trial) -> Iterator[Figure]:
    """Measure edits while the leader is killed; restart it afterwards."""
    times: list[float] = []
    for _ in range(HOST_LOSS_TRIALS):
        leader = require_leader(trial)
        edits = stream_edits(trial, partial(trial.plane.kill_host, leader))
        times.extend(collect_in_force_seconds(trial, edits))
        leader.start()
        trial.plane.run(3.0)
    yield from summarize(
        variant,
        "edit in force on 100 nodes, leader killed",
        times,
        IN_FORCE_TARGET,
    )


def measure_partitions(variant: str, trial: Trial) -> Iterator[Figure]:
    """Measure edits while a partition silently isolates one control host."""
    for role in ("leader", "follower"):
        times: list[float] = []
        for _ in range(HOST_LOSS_TRIALS):
            host = choose_host(trial, role)
            isolated = frozenset((host.name,))
            edits = stream_edits(
                trial,
                partial(trial.plane.network.isolate, isolated),
            )
            times.extend(collect_in_force_seconds(trial, edits))
            trial.plane.network.isolate(frozenset())
            trial.plane.run(3.0)
        yield from summarize(
            variant,
            f"edit in force on 100 nodes, {role} cut off silently",
            times,
            IN_FORCE_TARGET,
        )


def choose_host(trial: Trial, role: str) -> ControlHost:
    """Return the leader, or a random follower."""
    leader = require_leader(trial)
    if role == "leader":
        return leader
    others = [h for h in trial.plane.hosts.values() if h is not leader]
    return trial.rng.choice(others)


def refuses_key(node: EmulatedNode, token: str, now: datetime) -> bool:
    """Return whether a node refuses requests that use a key."""
    return not node.view.is_fresh(now) or (
        node.view.keyring.identify(token) is None
    )


def measure_refusal_time(
    trial: Trial, token: str, limit_seconds: float
) -> float:
    """Return the seconds after which no node accepts a key any more."""
    started = trial.now()
    last = started
    while (trial.now() - started).total_seconds() < limit_seconds:
        trial.plane.run(POLL_SECONDS)
        now = trial.now()
        nodes = trial.plane.list_running_nodes()
        if not all(refuses_key(node, token, now) for node in nodes):
            last = now
    return (last - started).total_seconds() + POLL_SECONDS


def measure_withdrawal(
    trial: Trial, isolated_count: int, *, isolated_first: bool
) -> float:
    """Return the seconds from a withdrawal until every node refuses the key.

    ``isolated_count`` followers and their nodes are isolated just before, so
    the withdrawal doesn't reach them. With ``isolated_first``, the operator's
    client tries these control hosts first.
    """
    edit, token = trial.submit_key()
    trial.wait_until_in_force(edit)
    number = trial.key_count
    trial.plane.run(trial.rng.random())
    leader = require_leader(trial)
    others = [h for h in trial.plane.hosts.values() if h is not leader]
    isolated = trial.rng.sample(others, isolated_count)
    rest = [h for h in trial.plane.hosts.values() if h not in isolated]
    order = [*isolated, *rest] if isolated_first else [*rest, *isolated]
    trial.plane.operator.host_order = [host.name for host in order]
    names = [name for host in isolated for name in (host.name, *host.sessions)]
    trial.plane.network.isolate(frozenset(names))
    trial.submit_withdrawal(number)
    watch_seconds = (
        REFUSAL_WATCH_SECONDS
        + HOST_CALL_TIMEOUT_SECONDS * isolated_count * isolated_first
    )
    seconds = measure_refusal_time(trial, token, watch_seconds)
    if isolated_count:
        trial.plane.network.isolate(frozenset())
        trial.plane.run(RECOVERY_SECONDS)
    return seconds


def measure_withdrawals(variant: str, trial: Trial) -> Iterator[Figure]:
    """Measure withdrawals in a connected and in a partitioned fleet."""
    for isolated_count in range((len(trial.plane.hosts) - 1) // 2 + 1):
        for isolated_first in (False, True) if isolated_count else (False,):
            name = f"{isolated_count} control hosts and their nodes cut off"
            if isolated_first:
                name += ", the operator's client asks these first"
            yield from summarize(
                variant,
                f"withdrawn key refused on every node, {name}",
                [
                    measure_withdrawal(
                        trial, isolated_count, isolated_first=isolated_first
                    )
                    for _ in range(WITHDRAWAL_TRIALS - 2 * isolated_first)
                ],
                WITHDRAWAL_TARGET,
            )


def is_out_of_service(trial: Trial, name: str) -> bool:
    """Return whether no running node sends new requests to a member."""
    for node in trial.plane.list_running_nodes():
        member = node.view.members.get(name)
        if member is not None and member.state is MemberState.SERVING:
            return False
    return True


def measure_members(variant: str, trial: Trial) -> Iterator[Figure]:
    """Drain some members and kill others, at random times."""
    chosen = trial.rng.sample(sorted(trial.plane.nodes), 2 * MEMBER_TRIALS)
    drained, killed = [], []
    for name in chosen[:MEMBER_TRIALS]:
        trial.plane.run(trial.rng.random())
        trial.plane.nodes[name].drain()
        drained.append(
            trial.run_until(partial(is_out_of_service, trial, name), 30)
        )
    for name in chosen[MEMBER_TRIALS:]:
        trial.plane.run(trial.rng.random())
        trial.plane.nodes[name].kill()
        killed.append(
            trial.run_until(partial(is_out_of_service, trial, name), 30)
        )
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
        NODE_FAILURE_TARGET,
    )
    yield from measure_domain_loss(variant, trial)


def measure_domain_loss(variant: str, trial: Trial) -> Iterator[Figure]:
    """Kill all nodes of a failure domain at once."""
    nodes = trial.plane.list_running_nodes()
    killed = [n for n in nodes if n.member.domain == KILLED_DOMAIN]
    remaining = [n for n in nodes if n.member.domain != KILLED_DOMAIN]
    before = sum(n.received_bytes for n in remaining)
    for node in killed:
        node.kill()
    names = [node.name for node in killed]
    seconds = trial.run_until(
        lambda: all(is_out_of_service(trial, name) for name in names),
        30,
    )
    trial.plane.run(RECOVERY_SECONDS)
    received = sum(n.received_bytes for n in remaining) - before
    name = f"failure domain of {len(killed)} nodes killed"
    rows = (
        ("out on every node", "s", seconds, NODE_FAILURE_TARGET),
        (
            "bytes received by a node meanwhile",
            "bytes/s",
            received / len(remaining) / (seconds + RECOVERY_SECONDS),
            BYTES_TARGET,
        ),
    )
    for figure, unit, value, target in rows:
        yield Figure(
            MEASURE, variant, f"{name}, {figure}", unit, value, target
        )


def measure_commits(variant: str, trial: Trial) -> Iterator[Figure]:
    """Yield the leader's commits per second of its processor time."""
    attached = len(require_leader(trial).sessions)
    yield Figure(
        MEASURE,
        variant,
        f"commits by the leader with {attached} nodes attached",
        "1/s of its processor time",
        measure_commit_rate(trial),
    )


def measure_commit_rate(trial: Trial) -> float:
    """Return the leader's commits per second of its processor time."""
    leader = require_leader(trial)
    before = leader.replica.commit_index
    spent = leader.cpu_seconds
    for number in range(COMMIT_COUNT // COMMIT_BATCH_SIZE):
        started = time.process_time()
        for position in range(COMMIT_BATCH_SIZE):
            command = build_key_command(number * COMMIT_BATCH_SIZE + position)
            leader.propose(command, lambda _index, _error: None)
        leader.cpu_seconds += time.process_time() - started
        trial.plane.run(0.05)
    trial.plane.run(0.5)
    committed = leader.replica.commit_index - before
    return committed / (leader.cpu_seconds - spent)


def build_key_command(number: int) -> Command:
    """Return an edit that changes no state, so that each costs the same.

    The edit is committed but not accepted, as its workspace doesn't exist.
    """
    digest = compute_digest(f"bench-{number}")
    key = KeyRecord("key-of-nobody", digest, "nobody")
    return AddKey(f"bench-{number}", "bench", None, key)


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures for each size of the control group."""
    for hosts in GROUP_SIZES:
        variant = f"{hosts} control hosts"
        trial = Trial(seed, hosts)
        yield from measure_idle(variant, trial)
        yield from measure_commits(variant, trial)
        yield from measure_withdrawals(variant, trial)
        yield from measure_leader_kills(variant, trial)
        yield from measure_partitions(variant, trial)
        yield from measure_members(variant, trial)
