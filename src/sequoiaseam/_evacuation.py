"""Evacuated failure domains, whose backend servers get no new requests."""

from collections.abc import Iterable
from typing import Final

from sequoiaseam._commands import Member, MemberState
from sequoiaseam._logs import Level, log_event

SERVING_STATES: Final = frozenset((MemberState.WARMING, MemberState.SERVING))


def count_servers(members: Iterable[Member], domain: str) -> int:
    """Return the backend servers in rotation in a failure domain."""
    return sum(
        bool(member.pool)
        and member.state in SERVING_STATES
        and member.domain == domain
        for member in members
    )


def count_servers_by_pool(
    members: Iterable[Member], evacuated_domains: Iterable[str]
) -> dict[str, int]:
    """Return the servers in rotation by pool, 0 where all are evacuated."""
    evacuated = frozenset(evacuated_domains)
    counts: dict[str, int] = {}
    for member in members:
        if member.pool and member.state in SERVING_STATES:
            is_counted = member.domain not in evacuated
            counts[member.pool] = counts.get(member.pool, 0) + is_counted
    return counts


def find_emptied_pools(
    members: Iterable[Member], evacuated_domains: Iterable[str], domain: str
) -> tuple[str, ...]:
    """Return the pools that the evacuation of a domain leaves no server.

    Pools that have none already aren't among them.
    """
    known_members = tuple(members)
    evacuated = frozenset(evacuated_domains)
    before = count_servers_by_pool(known_members, evacuated)
    after = count_servers_by_pool(known_members, evacuated | {domain})
    return tuple(
        sorted(
            pool for pool, count in before.items() if count and not after[pool]
        )
    )


def log_evacuations(
    before: Iterable[str], after: Iterable[str], host: str, index: int
) -> None:
    """Log each domain whose evacuation began or ended at a log index."""
    old, new = frozenset(before), frozenset(after)
    for domain in sorted(new - old):
        log_event(
            Level.INFO,
            "evacuation in force",
            host=host,
            domain=domain,
            index=index,
        )
    for domain in sorted(old - new):
        log_event(
            Level.INFO,
            "evacuation ended",
            host=host,
            domain=domain,
            index=index,
        )
