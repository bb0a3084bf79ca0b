"""Messages between nodes, control hosts and operators."""

from dataclasses import dataclass, field
from typing import Any, Final

from sequoiaseam._codec import Codec
from sequoiaseam._commands import COMMAND_TYPES
from sequoiaseam._feed import FeedDelta, FeedSnapshot, Ping, Pong
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._metrics import NodeReport
from sequoiaseam._operator_messages import OPERATOR_MESSAGE_TYPES
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
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
    """Subscription of a node: its report and the log index it has applied.

    It is the first message of a stream. Sending it again requests a
    resynchronization.
    """

    report: MemberReport
    index: int


@dataclass(frozen=True, slots=True)
class ReportPull:
    """Request for the metrics report of a node."""

    pull_id: int


@dataclass(frozen=True, slots=True)
class ReportPush:
    """Response to ``ReportPull``: the metrics report of a node."""

    pull_id: int
    report: NodeReport


@dataclass(frozen=True, slots=True)
class ControlHosts:
    """The control hosts, in deployments where their names are addresses.

    ``leader`` is "" while no leader is known. ``domains`` are the failure
    domains of ``hosts``, "" where unknown.
    """

    hosts: tuple[str, ...]
    leader: str = ""
    domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DrainOrder:
    """Order to take the node's backend server out of rotation."""


@dataclass(frozen=True, slots=True)
class NodeState:
    """Last report of a node and the log index that it has applied."""

    report: MemberReport
    index: int


@dataclass(frozen=True, slots=True)
class AliveBatch:
    """Nodes that contacted a control host since its last batch."""

    nodes: tuple[NodeState, ...]
    gone: tuple[MemberGone, ...] = ()


@dataclass(frozen=True, slots=True)
class Relay:
    """Message of a node forwarded to another host, or the response to it.

    ``origin`` is set once a receiver has passed the message on: the host of
    the node's session, which gets the response. It isn't passed on again.
    """

    node: str
    payload: bytes = field(repr=False)
    answer: bool = False
    origin: str = ""


@dataclass(frozen=True, slots=True)
class PeerPing:
    """Keep-alive between control hosts, echoed by the receiver."""

    number: int


@dataclass(frozen=True, slots=True)
class PeerHello:
    """First message of a control host, with its name and failure domain.

    ``quota_leases`` tells that its version knows the messages of the quota
    leases; a host of an earlier version would close the connection.
    """

    name: str
    domain: str = ""
    quota_leases: bool = False


@dataclass(frozen=True, slots=True)
class Failure:
    """Response to an operator's request that failed, with the error code."""

    code: str
    message: str
    leader: str = ""


def create_control_codec() -> Codec:
    """Return the codec of all messages to and from control hosts."""
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
        QuotaLeaseReport,
        QuotaLeaseAnswer,
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
