"""Messages between nodes and the owner of the workspace quotas."""

from dataclasses import dataclass
from datetime import datetime, timedelta


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """A node's ask for tokens of a workspace.

    ``ask_id`` increases within an incarnation of the node. ``waiting``
    is the number of requests that need a token now, ``want`` the number
    of tokens asked for, including prefetched ones, and ``arrived`` the
    number of requests since the last ask. If ``abandoned`` is not 0, the
    node will never use grants for the asks from that id up to the one
    before this. ``sent`` is the time on the node's clock, None if the node
    has no fallback, ``fallback_rate`` the rate that its fallback may spend
    at, in tokens per 1,000 s, and ``unanswered_for`` the time for which no
    owner has answered, or could grant tokens.
    """

    node: str
    incarnation: int
    workspace: str
    ask_id: int
    waiting: int
    want: int
    arrived: int
    abandoned: int
    sent: datetime | None = None
    fallback_rate: int = 0
    unanswered_for: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """The owner's answer to an ask.

    Tokens are valid for ``ttl`` from the time the ask was sent. Of the
    requests still waiting, the first ``inside`` are inside the rate. The
    first ``hold`` of those stay queued and are asked for again after
    ``retry_after``; the others are refused. ``pace`` is the minimum time
    until the next ask for waiting requests. While no owner answers a later
    ask, the node may spend ``fallback_rate`` tokens per 1,000 s.
    """

    node: str
    incarnation: int
    workspace: str
    ask_id: int
    owner_term: int
    grant_id: int
    tokens: int
    ttl: timedelta
    inside: int
    hold: int
    retry_after: timedelta
    pace: timedelta
    # The owner is new and can't grant tokens yet.
    opening: bool = False
    fallback_rate: int = 0


@dataclass(frozen=True, slots=True)
class QuotaSettle:
    """Settlement of a grant; the node keeps none of its tokens.

    ``spent`` and ``returned`` are numbers of tokens.
    """

    node: str
    incarnation: int
    workspace: str
    owner_term: int
    grant_id: int
    spent: int
    returned: int


@dataclass(frozen=True, slots=True)
class QuotaSettles:
    """Settlements of several grants, batched to save messages."""

    settles: tuple[QuotaSettle, ...]
