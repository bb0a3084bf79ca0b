"""Decision code: plain objects without I/O, clock or random source.

A simulation that controls time and the network can run any number of
these objects in one process. Each call takes the current time, a
``datetime`` in UTC, and returns typed actions or messages; none sleeps
or opens a socket.
"""

from sequoiaseam._access import Credentials, Identity, Role, Verifier
from sequoiaseam._admission import Admission, AdmissionAction, Refuse, Start
from sequoiaseam._attempt import (
    AttemptAction,
    AttemptPlan,
    AttemptTracker,
    Denied,
    EntryAttempts,
    Fenced,
    FenceTracker,
    Granted,
    RequestAttempts,
)
from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._clock import Clock, ManualClock, ProcessClock
from sequoiaseam._feed import FeedSource, NodeView
from sequoiaseam._handles import CallContext, HandleTable
from sequoiaseam._journal import Journal
from sequoiaseam._keyring import Keyring, compute_digest
from sequoiaseam._limiter import Completion
from sequoiaseam._members import MemberRegistry, plan_witnesses
from sequoiaseam._pressure import PoolPressure, PressureMap
from sequoiaseam._quarantine import (
    CrashWatch,
    QuarantineList,
    Standing,
    compute_fingerprint,
)
from sequoiaseam._queue import Ticket
from sequoiaseam._quota import QuotaOwner, QuotaSpender
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam._retry import RetryBudget, RetryShare, compute_retry_after
from sequoiaseam._state import EditResult, EditStatus, FleetState
from sequoiaseam._tables import (
    Importance,
    KeyRecord,
    Pool,
    Route,
    Tables,
    Workspace,
    find_problems,
    match_route,
    validate_tables,
)
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import Decision, Witness, parse_request_id

__all__ = [
    "Admission",
    "AdmissionAction",
    "AttemptAction",
    "AttemptPlan",
    "AttemptTracker",
    "Balancer",
    "CallContext",
    "CallResult",
    "Clock",
    "Completion",
    "CrashWatch",
    "Credentials",
    "Decision",
    "Denied",
    "EditResult",
    "EditStatus",
    "EntryAttempts",
    "FeedSource",
    "FenceTracker",
    "Fenced",
    "FleetState",
    "Granted",
    "HandleTable",
    "Identity",
    "Importance",
    "Journal",
    "KeyRecord",
    "Keyring",
    "ManualClock",
    "MemberRegistry",
    "NodeView",
    "Pool",
    "PoolPressure",
    "PressureMap",
    "ProcessClock",
    "QuarantineList",
    "QuotaOwner",
    "QuotaSpender",
    "Refuse",
    "Replica",
    "ReplicaConfig",
    "RequestAttempts",
    "RetryBudget",
    "RetryShare",
    "Role",
    "Route",
    "Standing",
    "Start",
    "Tables",
    "Ticket",
    "Verdict",
    "Verifier",
    "Witness",
    "Workspace",
    "compute_digest",
    "compute_fingerprint",
    "compute_retry_after",
    "find_problems",
    "match_route",
    "parse_request_id",
    "plan_witnesses",
    "validate_tables",
]
