"""What the fitted slopes give at the size to design for."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from bench._figures import Figure
from bench._slopes import Fit

MEASURE: Final = "capacity"
NODES: Final = 1200
DOMAINS: Final = 7
CALLS: Final = 130_000.0
# If every tree has six calls; smaller trees have more roots.
CALLS_PER_ROOT: Final = 6
EDITS_A_DAY: Final = 1400
RESTARTS_A_DAY: Final = 91
# A restart removes the member and adds it as joining, then serving.
DELTAS_PER_RESTART: Final = 3
DAY_SECONDS: Final = 86_400
HOST_COUNTS: Final = (5, 7)
HOSTS_MAX: Final = 8
# A node keeps at most this many rows.
REPORT_ROWS: Final = 200
WORKSPACES: Final = 80
ROUTES: Final = 70
WITNESS_NODES: Final = 64 * 3
RETENTION_SECONDS: Final = 600
# Share of the calls that write records at witnesses.
RECORDED_SHARE: Final = 0.05
# Log entries that a restart may have to replay.
SNAPSHOT_ENTRIES: Final = 1000
MEGABYTE: Final = 1e6

BYTES_TARGET: Final = "<= 5000"
PROCESSOR_TARGET: Final = "<= 15"
MEMORY_TARGET: Final = "<= 32"
CORE_TARGET: Final = "<= 1000"
IN_FORCE_TARGET: Final = "<= 18"

SNAPSHOT: Final = "feed snapshot"
VIEW: Final = "node's view and balancer"
MERGE: Final = "node's handling of a delta"
NEW_MEMBERS: Final = "delta of new members"
FOLLOWER_CODE: Final = "follower's code"
FOLLOWER_BYTES: Final = "follower's bytes"
FOLLOWER_MESSAGES: Final = "follower's messages"
LEADER_CODE: Final = "leader's code"
TRANSPORT: Final = "one end's time for control messages with transport"
ASK: Final = "owner's handling of an ask"
LOG: Final = "log"
REPLAY: Final = "replay"
LINK_MEMORY: Final = "memory of idle links' two ends"
LINK_TIME: Final = "time of idle links' two ends"
RECORDS: Final = "witness's records"
REPORT: Final = "node's report"
ENTRY: Final = "process of the entry node"
EXECUTOR: Final = "process of the guarding node"
MATCH: Final = "match of a route"
KINDS: Final = {"rare": "spread over workspaces", "frequent": "of one"}


@dataclass(frozen=True, slots=True)
class Constants:
    """Measured values that don't depend on the size."""

    ping_bytes: int
    table_delta_bytes: int
    idle_node_ms: float
    idle_node_bytes: int
    libraries_bytes: int


def name_quota(quantity: str, kind: str) -> str:
    """Return the name of a series of quota traffic."""
    return f"node's quota {quantity} for {kind} roots"


def create_figure(
    name: str,
    unit: str,
    value: float,
    target: str | None = None,
) -> Figure:
    """Return a figure of the design size."""
    return Figure(MEASURE, "projection", name, unit, value, target)


def project(fits: Mapping[str, Fit], known: Constants) -> Iterator[Figure]:
    """Yield all projections."""
    yield from project_node(fits, known)
    yield from project_quota(fits, known)
    yield from project_requests(fits)
    for hosts in HOST_COUNTS:
        yield from project_hosts(fits, known, hosts)
    yield from project_log(fits)


def compute_feed_bytes(fits: Mapping[str, Fit], known: Constants) -> float:
    """Return a node's bytes a second for pings, edits and members."""
    edits = EDITS_A_DAY * known.table_delta_bytes
    delta = fits[NEW_MEMBERS].predict(1)
    members = RESTARTS_A_DAY * DELTAS_PER_RESTART * delta
    return known.ping_bytes + (edits + members) / DAY_SECONDS


def compute_feed_time(fits: Mapping[str, Fit], known: Constants) -> float:
    """Return a node's ms a second for the control side when quiet."""
    deltas = EDITS_A_DAY + RESTARTS_A_DAY * DELTAS_PER_RESTART
    merges = deltas * fits[MERGE].predict(NODES) / DAY_SECONDS
    return known.idle_node_ms + merges


def project_node(
    fits: Mapping[str, Fit],
    known: Constants,
) -> Iterator[Figure]:
    """Yield a node's cost without quota and requests."""
    yield create_figure(
        "node's bytes for feed and membership",
        "bytes/s",
        compute_feed_bytes(fits, known),
        BYTES_TARGET,
    )
    yield create_figure(
        "node's processor time for feed and membership",
        "ms/s",
        compute_feed_time(fits, known),
        PROCESSOR_TARGET,
    )
    view = fits[VIEW].predict(NODES)
    own = known.idle_node_bytes - known.libraries_bytes
    yield create_figure(
        "node's memory for control without interpreter and libraries",
        "MB",
        (own + view) / MEGABYTE,
        MEMORY_TARGET,
    )
    yield create_figure(
        "node's process, quiet, with interpreter and libraries",
        "MB",
        (known.idle_node_bytes + view) / MEGABYTE,
        MEMORY_TARGET,
    )
    yield create_figure(
        "feed snapshot for a starting node",
        "bytes",
        fits[SNAPSHOT].predict(NODES),
    )


def compute_quota(fits: Mapping[str, Fit], quantity: str, kind: str) -> float:
    """Return a node's quota traffic at the design's rate of roots.

    Rare roots are of many workspaces, so each costs what the slope
    says; frequent ones are all of one workspace.
    """
    roots = CALLS / CALLS_PER_ROOT / NODES
    fit = fits[name_quota(quantity, kind)]
    return fit.slope * roots if kind == "rare" else fit.predict(roots)


def project_quota(
    fits: Mapping[str, Fit],
    known: Constants,
) -> Iterator[Figure]:
    """Yield what quota adds at nodes and at its one owner."""
    message = fits[TRANSPORT].slope
    for kind, text in KINDS.items():
        traffic = compute_quota(fits, "bytes", kind)
        messages = compute_quota(fits, "messages", kind)
        yield create_figure(
            f"node's bytes for control with quota, roots {text}",
            "bytes/s",
            compute_feed_bytes(fits, known) + traffic,
            BYTES_TARGET,
        )
        yield create_figure(
            f"node's processor time for control with quota, roots {text}",
            "ms/s",
            compute_feed_time(fits, known) + messages * message,
            PROCESSOR_TARGET,
        )
        asks = compute_quota(fits, "asks", kind) * NODES
        code = asks * fits[ASK].predict(WORKSPACES) / 1000
        total = code + messages * NODES * message
        yield create_figure(
            f"asks at the quota's owner, roots {text}",
            "1/s",
            asks,
        )
        yield create_figure(
            f"processor time of the quota's owner, roots {text}",
            "ms/s",
            total,
            CORE_TARGET,
        )
        # A host that is not the owner takes each message in and passes
        # it on.
        relayed = 2 * messages * NODES * message
        for hosts in (*HOST_COUNTS, HOSTS_MAX):
            away = 1 - 1 / hosts
            yield create_figure(
                f"quota's part of a follower, roots {text}, {hosts} hosts",
                "ms/s",
                relayed / hosts,
                CORE_TARGET,
            )
            yield create_figure(
                "quota's part of a host if buckets were spread, "
                f"roots {text}, {hosts} hosts",
                "ms/s",
                (total + relayed * away) / hosts,
                CORE_TARGET,
            )


def project_requests(fits: Mapping[str, Fit]) -> Iterator[Figure]:
    """Yield what calls, links between nodes and witnesses cost a node."""
    calls = CALLS / NODES
    spent = calls * (fits[ENTRY].slope + fits[EXECUTOR].slope)
    yield create_figure("node's processor time for calls", "ms/s", spent)
    yield create_figure("match of a route", "us", fits[MATCH].predict(ROUTES))
    for peers, text in (
        (NODES // DOMAINS, "own domain"),
        (NODES - 1, "all nodes"),
    ):
        # A pair has a link each way and a node holds one end of both,
        # which together cost what two ends of one do.
        yield create_figure(
            f"node's idle links with {text}, memory",
            "MB",
            fits[LINK_MEMORY].slope * peers / MEGABYTE,
            MEMORY_TARGET,
        )
        yield create_figure(
            f"node's idle links with {text}, processor time",
            "ms/s",
            fits[LINK_TIME].slope * peers,
            PROCESSOR_TARGET,
        )
    records = CALLS * RECORDED_SHARE * RETENTION_SECONDS * 3 / WITNESS_NODES
    yield create_figure(
        f"records of a witness, {RECORDED_SHARE:.0%} of calls recorded",
        "records",
        records,
    )
    yield create_figure(
        f"memory of a witness, {RECORDED_SHARE:.0%} of calls recorded",
        "MB",
        fits[RECORDS].slope * records / MEGABYTE,
        MEMORY_TARGET,
    )


def project_hosts(
    fits: Mapping[str, Fit],
    known: Constants,
    hosts: int,
) -> Iterator[Figure]:
    """Yield a control host's cost without quota."""
    attached = NODES / hosts
    message = fits[TRANSPORT].slope
    transport = fits[FOLLOWER_MESSAGES].predict(attached) * message
    rows = (
        (
            "processor time of a follower",
            "ms/s",
            fits[FOLLOWER_CODE].predict(attached) + transport,
            CORE_TARGET,
        ),
        (
            "bytes of a follower",
            "bytes/s",
            fits[FOLLOWER_BYTES].predict(attached),
            None,
        ),
        (
            "processor time of the leader without quota",
            "ms/s",
            fits[LEADER_CODE].predict(NODES) + transport,
            CORE_TARGET,
        ),
        (
            "time to send an edit to the attached nodes",
            "s",
            attached * message / 1000,
            IN_FORCE_TARGET,
        ),
        (
            "bytes to send an edit to the attached nodes",
            "MB",
            attached * known.table_delta_bytes / MEGABYTE,
            None,
        ),
        (
            "snapshots after a failure domain returns",
            "MB",
            fits[SNAPSHOT].predict(NODES) * attached / DOMAINS / MEGABYTE,
            None,
        ),
    )
    for name, unit, value, target in rows:
        yield create_figure(f"{name}, {hosts} hosts", unit, value, target)


def project_log(fits: Mapping[str, Fit]) -> Iterator[Figure]:
    """Yield what reports, the log of a day and a replay take."""
    report = fits[REPORT].predict(REPORT_ROWS) * NODES / MEGABYTE
    yield create_figure("reports of all nodes for one command", "MB", report)
    written = fits[LOG].slope * EDITS_A_DAY / MEGABYTE
    yield create_figure("log written a day", "MB", written)
    yield create_figure(
        f"replay of {SNAPSHOT_ENTRIES} edits at a restart",
        "s",
        fits[REPLAY].predict(SNAPSHOT_ENTRIES),
        IN_FORCE_TARGET,
    )
