"""Tables and lines that the command line prints about the fleet."""

from collections import Counter
from collections.abc import Iterable, Mapping
from datetime import timedelta

from rich.console import Console

from sequoiaseam._commands import Member
from sequoiaseam._console_table import ConsoleTable
from sequoiaseam._operator_messages import (
    FollowEvent,
    KeySummary,
    ReplicaStatus,
    ShowAnswer,
    StatusAnswer,
)
from sequoiaseam._report import format_short_duration
from sequoiaseam._tablefile import COLUMNS, format_row, get_rows
from sequoiaseam._tables import Tables

# Width in columns of output that doesn't go to a terminal, so that its
# lines aren't wrapped.
NON_TERMINAL_WIDTH = 400


def make_console(*, stderr: bool = False) -> Console:
    """Return a console that prints names without markup or highlighting."""
    console = Console(stderr=stderr, markup=False, highlight=False)
    if not console.is_terminal:
        console.width = NON_TERMINAL_WIDTH
    return console


def build_rows_table(tables: Tables, kind: str) -> ConsoleTable:
    """Return the routes, pools or workspaces as a table."""
    column_titles = [column.title for column in COLUMNS[kind].values()]
    rows = sorted(get_rows(tables, kind).items())
    return ConsoleTable(
        column_titles=("name", *column_titles),
        rows=[(name, *format_row(kind, row).values()) for name, row in rows],
        title=f"{kind}s",
    )


def build_keys_table(keys: Iterable[KeySummary]) -> ConsoleTable:
    """Return the keys as a table."""
    return ConsoleTable(
        title="keys",
        column_titles=("key ID", "workspace"),
        rows=sorted((key.key_id, key.workspace) for key in keys),
    )


def build_members_table(members: Iterable[Member]) -> ConsoleTable:
    """Return the members as a table."""
    return ConsoleTable(
        title="members",
        column_titles=(
            "host",
            "pool",
            "state",
            "slots",
            "domain",
            "region",
            "address",
        ),
        rows=sorted(
            (
                member.name,
                member.pool or "-",
                member.state.value,
                str(member.slots),
                member.domain,
                member.region,
                f"{member.host}:{member.port}",
            )
            for member in members
        ),
    )


def build_evacuations_table(domains: Iterable[str]) -> ConsoleTable:
    """Return the evacuated failure domains as a table."""
    return ConsoleTable(
        title="evacuated domains",
        column_titles=("domain",),
        rows=[(domain,) for domain in domains],
    )


def build_show_tables(answer: ShowAnswer) -> Mapping[str, ConsoleTable]:
    """Return the tables by the names that ``show`` accepts."""
    return {
        "routes": build_rows_table(answer.tables, "route"),
        "pools": build_rows_table(answer.tables, "pool"),
        "workspaces": build_rows_table(answer.tables, "workspace"),
        "keys": build_keys_table(answer.keys),
        "members": build_members_table(answer.members),
        "evacuations": build_evacuations_table(answer.evacuated_domains),
    }


def format_last_heard(heard: timedelta | None) -> str:
    """Format the time since the last message from a replica."""
    return "never" if heard is None else format_short_duration(heard)


def build_replicas_table(replicas: Iterable[ReplicaStatus]) -> ConsoleTable:
    """Return the replicas on the control hosts as a table."""
    return ConsoleTable(
        title="control hosts",
        column_titles=("host", "role", "index", "heard", "identity"),
        rows=[
            (
                replica.name,
                replica.role,
                str(replica.match_index),
                format_last_heard(replica.heard),
                replica.identity,
            )
            for replica in sorted(replicas, key=lambda r: r.name)
        ],
    )


def build_pool_states_table(members: Iterable[Member]) -> ConsoleTable:
    """Return the number of members by pool and state as a table."""
    counts = Counter((member.pool, member.state) for member in members)
    return ConsoleTable(
        title="backend servers",
        column_titles=("pool", "state", "hosts"),
        rows=sorted(
            (pool or "-", state.value, str(count))
            for (pool, state), count in counts.items()
        ),
    )


def describe_status(answer: StatusAnswer) -> str:
    """Return a summary of the fleet's status in a few lines."""
    summary = (
        f"leader {answer.leader or 'unknown'}, term {answer.term}, "
        f"revision {answer.revision}, log index {answer.commit_index}"
    )
    lines = [summary]
    if answer.lagging:
        lines.append(
            f"hosts that lag behind ({len(answer.lagging)}): "
            f"{', '.join(answer.lagging)}",
        )
    if answer.quarantined:
        lines.append(f"quarantined requests: {answer.quarantined}")
    return "\n".join(lines)


def describe_event(event: FollowEvent) -> str:
    """Return a line that describes a committed change."""
    author = f" by {event.operator}" if event.operator else ""
    return (
        f"index {event.index} revision {event.revision} "
        f"{event.kind.value}{author}: {event.summary}"
    )
