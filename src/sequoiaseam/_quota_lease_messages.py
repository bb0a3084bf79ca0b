"""Messages of the quota leases between control hosts and their leader."""

from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True, slots=True)
class QuotaLeaseReport:
    """What a control host holds; its request for renewal of these leases.

    ``session`` identifies the process, and ``sent`` the report within it.
    ``held`` lists the shards with their lease numbers. By sending a report
    the host undertakes to start no lease from an answer to an earlier one.
    ``index`` is the log index that the host has applied. A host that is
    ``leaving`` gets no new leases.
    """

    host: str
    session: int
    term: int
    sent: datetime
    held: tuple[tuple[int, int], ...]
    index: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class QuotaLeaseAnswer:
    """The leader's answer to a report: all leases that the host may hold.

    ``leases`` lists shards with their lease numbers; the host stops serving
    the shards that are missing. ``holders`` is, for each shard, the position
    of its holder in ``hosts`` plus one, or 0 if it has none.
    """

    session: int
    term: int
    sent: datetime
    leases: tuple[tuple[int, int], ...]
    hosts: tuple[str, ...]
    holders: bytes
