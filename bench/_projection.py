"""Projections of the fitted costs to the size to design for."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from bench._figures import Figure
from bench._slopes import LinearFit

BENCHMARK_NAME: Final = "capacity"
NODE_COUNT: Final = 1200
FAILURE_DOMAIN_COUNT: Final = 7
CALLS_PER_SECOND: Final = 130_000.0
# Assumes six calls in each call tree; smaller trees mean more roots.
CALLS_PER_ROOT: Final = 6
EDITS_PER_DAY: Final = 1400
RESTARTS_PER_DAY: Final = 91
# A restart removes the member, then adds it as joining and as serving.
DELTAS_PER_RESTART: Final = 3
SECONDS_PER_DAY: Final = 86_400
HOST_COUNTS: Final = (5, 7)
MAX_HOST_COUNT: Final = 8
# Upper limit of the rows that a node keeps.
MAX_REPORT_ROWS: Final = 200
WORKSPACE_COUNT: Final = 80
ROUTE_COUNT: Final = 70
WITNESS_NODE_COUNT: Final = 64 * 3
RECORD_RETENTION_SECONDS: Final = 600
# Fraction of the calls that write records at witnesses.
RECORDED_CALL_SHARE: Final = 0.05
# Log entries that a restart may have to replay.
REPLAYED_ENTRIES: Final = 1000
BYTES_PER_MEGABYTE: Final = 1e6

NODE_TRAFFIC_TARGET: Final = "<= 5000"
NODE_CPU_TARGET: Final = "<= 15"
NODE_MEMORY_TARGET: Final = "<= 32"
ONE_CORE_TARGET: Final = "<= 1000"
IN_FORCE_TIME_TARGET: Final = "<= 18"

FEED_SNAPSHOT_SIZE: Final = "feed snapshot"
NODE_VIEW_MEMORY: Final = "node's view and balancer"
DELTA_APPLY_TIME: Final = "node's handling of a delta"
MEMBER_DELTA_SIZE: Final = "delta of new members"
FOLLOWER_CPU: Final = "follower's code"
FOLLOWER_TRAFFIC: Final = "follower's bytes"
FOLLOWER_MESSAGES: Final = "follower's messages"
LEADER_CPU: Final = "leader's code"
TRANSPORT_CPU: Final = "one end's time for control messages with transport"
ASK_TIME: Final = "owner's handling of an ask"
LOG_SIZE: Final = "log"
REPLAY_TIME: Final = "replay"
IDLE_LINK_MEMORY: Final = "memory of idle links' two ends"
IDLE_LINK_CPU: Final = "time of idle links' two ends"
WITNESS_MEMORY: Final = "witness's records"
REPORT_SIZE: Final = "node's report"
ENTRY_NODE_CPU: Final = "process of the entry node"
GUARD_NODE_CPU: Final = "process of the guarding node"
ROUTE_MATCH_TIME: Final = "match of a route"
ROOT_KINDS: Final = {"rare": "spread over workspaces", "frequent": "of one"}


@dataclass(frozen=True, slots=True)
class FixedCosts:
    """Measured costs that don't depend on the size of the fleet."""

    ping_bytes: int
    table_delta_bytes: int
    idle_node_ms: float
    idle_node_bytes: int
    libraries_bytes: int


def get_quota_series_name(quantity: str, kind: str) -> str:
    """Return the series name of a quantity of quota traffic."""
    return f"node's quota {quantity} for {kind} roots"


def create_figure(
    name: str,
    unit: str,
    value: float,
    target: str | None = None,
) -> Figure:
    """Return a figure projected to the design size."""
    return Figure(BENCHMARK_NAME, "projection", name, unit, value, target)


def project(
    fits: Mapping[str, LinearFit], fixed_costs: FixedCosts
) -> Iterator[Figure]:
    """Yield the projections of all costs."""
    yield from project_node(fits, fixed_costs)
    yield from project_quota(fits, fixed_costs)
    yield from project_requests(fits)
    for hosts in HOST_COUNTS:
        yield from project_hosts(fits, fixed_costs, hosts)
    yield from project_log(fits)


def compute_feed_traffic(
    fits: Mapping[str, LinearFit], fixed_costs: FixedCosts
) -> float:
    """Return a node's bytes/s for pings, edits and membership changes."""
    edit_bytes = EDITS_PER_DAY * fixed_costs.table_delta_bytes
    delta_bytes = fits[MEMBER_DELTA_SIZE].predict(1)
    member_bytes = RESTARTS_PER_DAY * DELTAS_PER_RESTART * delta_bytes
    return (
        fixed_costs.ping_bytes + (edit_bytes + member_bytes) / SECONDS_PER_DAY
    )


def compute_feed_cpu(
    fits: Mapping[str, LinearFit], fixed_costs: FixedCosts
) -> float:
    """Return an idle node's processor time for control traffic in ms/s."""
    deltas = EDITS_PER_DAY + RESTARTS_PER_DAY * DELTAS_PER_RESTART
    apply_ms = (
        deltas * fits[DELTA_APPLY_TIME].predict(NODE_COUNT) / SECONDS_PER_DAY
    )
    return fixed_costs.idle_node_ms + apply_ms


def project_node(
    fits: Mapping[str, LinearFit],
    fixed_costs: FixedCosts,
) -> Iterator[Figure]:
    """Yield a node's costs without quota traffic and requests."""
    yield create_figure(
        "node's bytes for feed and membership",
        "bytes/s",
        compute_feed_traffic(fits, fixed_costs),
        NODE_TRAFFIC_TARGET,
    )
    yield create_figure(
        "node's processor time for feed and membership",
        "ms/s",
        compute_feed_cpu(fits, fixed_costs),
        NODE_CPU_TARGET,
    )
    view_bytes = fits[NODE_VIEW_MEMORY].predict(NODE_COUNT)
    own_bytes = fixed_costs.idle_node_bytes - fixed_costs.libraries_bytes
    yield create_figure(
        "node's memory for control without interpreter and libraries",
        "MB",
        (own_bytes + view_bytes) / BYTES_PER_MEGABYTE,
        NODE_MEMORY_TARGET,
    )
    yield create_figure(
        "node's process, quiet, with interpreter and libraries",
        "MB",
        (fixed_costs.idle_node_bytes + view_bytes) / BYTES_PER_MEGABYTE,
        NODE_MEMORY_TARGET,
    )
    yield create_figure(
        "feed snapshot for a starting node",
        "bytes",
        fits[FEED_SNAPSHOT_SIZE].predict(NODE_COUNT),
    )


def compute_quota_traffic(
    fits: Mapping[str, LinearFit], quantity: str, kind: str
) -> float:
    """Return a node's quota traffic at the design's rate of roots.

    Rare roots are spread over many workspaces, so each costs the slope
    alone; frequent roots all belong to one workspace.
    """
    root_rate = CALLS_PER_SECOND / CALLS_PER_ROOT / NODE_COUNT
    fit = fits[get_quota_series_name(quantity, kind)]
    return fit.slope * root_rate if kind == "rare" else fit.predict(root_rate)


def project_quota(
    fits: Mapping[str, LinearFit],
    fixed_costs: FixedCosts,
) -> Iterator[Figure]:
    """Yield the costs of quota traffic at nodes, its owner and hosts."""
    message_ms = fits[TRANSPORT_CPU].slope
    for kind, scope in ROOT_KINDS.items():
        traffic = compute_quota_traffic(fits, "bytes", kind)
        messages = compute_quota_traffic(fits, "messages", kind)
        yield create_figure(
            f"node's bytes for control with quota, roots {scope}",
            "bytes/s",
            compute_feed_traffic(fits, fixed_costs) + traffic,
            NODE_TRAFFIC_TARGET,
        )
        yield create_figure(
            f"node's processor time for control with quota, roots {scope}",
            "ms/s",
            compute_feed_cpu(fits, fixed_costs) + messages * message_ms,
            NODE_CPU_TARGET,
        )
        asks = compute_quota_traffic(fits, "asks", kind) * NODE_COUNT
        ask_ms = asks * fits[ASK_TIME].predict(WORKSPACE_COUNT) / 1000
        owner_ms = ask_ms + messages * NODE_COUNT * message_ms
        yield create_figure(
            f"asks at the quota's owner, roots {scope}",
            "1/s",
            asks,
        )
        yield create_figure(
            f"processor time of the quota's owner, roots {scope}",
            "ms/s",
            owner_ms,
            ONE_CORE_TARGET,
        )
        # A host other than the owner receives each message and sends it
        # on.
        relay_ms = 2 * messages * NODE_COUNT * message_ms
        for hosts in (*HOST_COUNTS, MAX_HOST_COUNT):
            remote_share = 1 - 1 / hosts
            yield create_figure(
                f"quota's part of a follower, roots {scope}, {hosts} hosts",
                "ms/s",
                relay_ms / hosts,
                ONE_CORE_TARGET,
            )
            yield create_figure(
                "quota's part of a host if buckets were spread, "
                f"roots {scope}, {hosts} hosts",
                "ms/s",
                (owner_ms + relay_ms * remote_share) / hosts,
                ONE_CORE_TARGET,
            )


def project_requests(fits: Mapping[str, LinearFit]) -> Iterator[Figure]:
    """Yield a node's costs for calls, idle links and witness records."""
    call_rate = CALLS_PER_SECOND / NODE_COUNT
    call_ms = call_rate * (
        fits[ENTRY_NODE_CPU].slope + fits[GUARD_NODE_CPU].slope
    )
    yield create_figure("node's processor time for calls", "ms/s", call_ms)
    yield create_figure(
        "match of a route", "us", fits[ROUTE_MATCH_TIME].predict(ROUTE_COUNT)
    )
    for peers, scope in (
        (NODE_COUNT // FAILURE_DOMAIN_COUNT, "own domain"),
        (NODE_COUNT - 1, "all nodes"),
    ):
        # Two nodes have a link in each direction. A node holds one end
        # of both, which cost as much as the two ends of one link.
        yield create_figure(
            f"node's idle links with {scope}, memory",
            "MB",
            fits[IDLE_LINK_MEMORY].slope * peers / BYTES_PER_MEGABYTE,
            NODE_MEMORY_TARGET,
        )
        yield create_figure(
            f"node's idle links with {scope}, processor time",
            "ms/s",
            fits[IDLE_LINK_CPU].slope * peers,
            NODE_CPU_TARGET,
        )
    records = (
        CALLS_PER_SECOND
        * RECORDED_CALL_SHARE
        * RECORD_RETENTION_SECONDS
        * 3
        / WITNESS_NODE_COUNT
    )
    yield create_figure(
        f"records of a witness, {RECORDED_CALL_SHARE:.0%} of calls recorded",
        "records",
        records,
    )
    yield create_figure(
        f"memory of a witness, {RECORDED_CALL_SHARE:.0%} of calls recorded",
        "MB",
        fits[WITNESS_MEMORY].slope * records / BYTES_PER_MEGABYTE,
        NODE_MEMORY_TARGET,
    )


def project_hosts(
    fits: Mapping[str, LinearFit],
    fixed_costs: FixedCosts,
    hosts: int,
) -> Iterator[Figure]:
    """Yield a control host's costs without quota traffic."""
    attached_nodes = NODE_COUNT / hosts
    message_ms = fits[TRANSPORT_CPU].slope
    transport_ms = fits[FOLLOWER_MESSAGES].predict(attached_nodes) * message_ms
    rows = (
        (
            "processor time of a follower",
            "ms/s",
            fits[FOLLOWER_CPU].predict(attached_nodes) + transport_ms,
            ONE_CORE_TARGET,
        ),
        (
            "bytes of a follower",
            "bytes/s",
            fits[FOLLOWER_TRAFFIC].predict(attached_nodes),
            None,
        ),
        (
            "processor time of the leader without quota",
            "ms/s",
            fits[LEADER_CPU].predict(NODE_COUNT) + transport_ms,
            ONE_CORE_TARGET,
        ),
        (
            "time to send an edit to the attached nodes",
            "s",
            attached_nodes * message_ms / 1000,
            IN_FORCE_TIME_TARGET,
        ),
        (
            "bytes to send an edit to the attached nodes",
            "MB",
            attached_nodes
            * fixed_costs.table_delta_bytes
            / BYTES_PER_MEGABYTE,
            None,
        ),
        (
            "snapshots after a failure domain returns",
            "MB",
            fits[FEED_SNAPSHOT_SIZE].predict(NODE_COUNT)
            * attached_nodes
            / FAILURE_DOMAIN_COUNT
            / BYTES_PER_MEGABYTE,
            None,
        ),
    )
    for name, unit, value, target in rows:
        yield create_figure(f"{name}, {hosts} hosts", unit, value, target)


def project_log(fits: Mapping[str, LinearFit]) -> Iterator[Figure]:
    """Yield the sizes of reports and of a day's log, and the replay time."""
    report_megabytes = (
        fits[REPORT_SIZE].predict(MAX_REPORT_ROWS)
        * NODE_COUNT
        / BYTES_PER_MEGABYTE
    )
    yield create_figure(
        "reports of all nodes for one command", "MB", report_megabytes
    )
    log_megabytes = fits[LOG_SIZE].slope * EDITS_PER_DAY / BYTES_PER_MEGABYTE
    yield create_figure("log written a day", "MB", log_megabytes)
    yield create_figure(
        f"replay of {REPLAYED_ENTRIES} edits at a restart",
        "s",
        fits[REPLAY_TIME].predict(REPLAYED_ENTRIES),
        IN_FORCE_TIME_TARGET,
    )
