"""Messages between nodes, control hosts and operators."""

from dataclasses import dataclass, field
from typing import Any, Final

from sequoiaseam._codec import Codec
from sequoiaseam._commands import COMMAND_TYPES
from sequoiaseam._feed import FeedDelta, FeedSnapshot, Ping, Pong
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._metrics import NodeReport
from sequoiaseam._operator_messages import OPERATOR_MESSAGE_TYPES
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
    QuotaSettles,
)
from sequoiaseam._replica_messages import MESSAGE_TYPES

ATTACH_PATH: Final = "/sequoiaseam.Control/Attach"
PEER_PATH: Final = "/sequoiaseam.Control/Peer"
CALL_PATH: Final = "/sequoiaseam.Operator/Call"
FOLLOW_PATH: Final = "/sequoiaseam.Operator/Follow"


@dataclass(frozen=True, slots=True)
class NodeHello:
    """A node subscribes: itself and the log index it has.

    It is the first message, and sent again to ask for a resync.
    """

    report: MemberReport
    index: int


@dataclass(frozen=True, slots=True)
class ReportPull:
    """Ask a node for its report."""

    pull_id: int


@dataclass(frozen=True, slots=True)
class ReportPush:
    """A node's report."""

    pull_id: int
    report: NodeReport


@dataclass(frozen=True, slots=True)
class ControlHosts:
    """The control hosts, where they are named by their addresses.

    ``leader`` is "" while none is known.
    """

    hosts: tuple[str, ...]
    leader: str = ""


@dataclass(frozen=True, slots=True)
class DrainOrder:
    """Take the node's backend server out of rotation."""


@dataclass(frozen=True, slots=True)
class NodeState:
    """What a node reported and the log index that it has applied."""

    report: MemberReport
    index: int


@dataclass(frozen=True, slots=True)
class AliveBatch:
    """Nodes that a control host has heard from since its last batch."""

    nodes: tuple[NodeState, ...]
    gone: tuple[MemberGone, ...] = ()


@dataclass(frozen=True, slots=True)
class Relay:
    """A node's message for the leader, or the answer to it."""

    node: str
    payload: bytes = field(repr=False)
    answer: bool = False


@dataclass(frozen=True, slots=True)
class PeerPing:
    """Keep-alive between control hosts; the other side echoes it."""

    number: int


@dataclass(frozen=True, slots=True)
class PeerHello:
    """First message of a control host to another: its name."""

    name: str


@dataclass(frozen=True, slots=True)
class Failure:
    """An operator's request that failed, with the error's code."""

    code: str
    message: str
    leader: str = ""


def create_control_codec() -> Codec:
    """Return the codec of every message to or from a control host."""
    types: tuple[type[Any], ...] = (
        *COMMAND_TYPES,
        *OPERATOR_MESSAGE_TYPES,
        *MESSAGE_TYPES,
        FeedSnapshot,
        FeedDelta,
        Ping,
        Pong,
        MemberReport,
        MemberGone,
        QuotaAsk,
        QuotaGrant,
        QuotaSettle,
        QuotaSettles,
        NodeHello,
        ReportPull,
        ReportPush,
        DrainOrder,
        ControlHosts,
        NodeState,
        AliveBatch,
        Relay,
        PeerPing,
        PeerHello,
        Failure,
    )
    return Codec(types)
