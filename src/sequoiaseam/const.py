"""Constants shared by several modules."""

from datetime import timedelta
from typing import Final

# Maximum time for which a node may act on its configuration after the last
# confirmation. It bounds how long a withdrawn key still works on a
# partitioned node. The guarantee is 5 s; the difference allows for delivery.
CONFIGURATION_LEASE: Final = timedelta(seconds=3.5)

# Maximum difference between the clocks of two processes, or of a caller and
# a process, in the timestamp of an idempotency key.
CLOCK_SKEW_MAX: Final = timedelta(seconds=5)

# Maximum relative difference in rate between the clocks of two processes.
CLOCK_DRIFT_MAX: Final = 0.01

# How long witnesses keep an intent and its outcome.
WITNESS_RETENTION: Final = timedelta(minutes=10)
# More shards would spread the records over more nodes, but with 512 shards
# balancing their groups cost a node over 5 KB/s.
WITNESS_SHARDS: Final = 64
WITNESSES_PER_SHARD: Final = 3

# An outcome with a larger body is recorded without the body.
OUTCOME_BODY_MAX_BYTES: Final = 16 * 1024

HEARTBEAT_INTERVAL: Final = timedelta(milliseconds=150)
ELECTION_TIMEOUT_MIN: Final = timedelta(milliseconds=600)
ELECTION_TIMEOUT_MAX: Final = timedelta(milliseconds=1200)

MEMBER_TIMEOUT: Final = timedelta(seconds=3.5)
NODE_PING_INTERVAL: Final = timedelta(seconds=0.5)
# A node whose control host has been silent for this long, and that has no
# other one to try, replaces its connection to it.
UPLINK_TIMEOUT: Final = timedelta(seconds=1.1)
ATTACH_TIMEOUT: Final = timedelta(seconds=0.6)
ANNOUNCE_INTERVAL: Final = timedelta(seconds=1)

CONNECTION_PING_INTERVAL: Final = timedelta(seconds=1)
CONNECTION_TIMEOUT: Final = timedelta(seconds=2.5)

DEFAULT_HEADERS_LIMIT_BYTES: Final = 16 * 1024
# Maximum value of the headers limit in a node's settings.
HEADERS_LIMIT_MAX_BYTES: Final = 64 * 1024
DEFAULT_BODY_LIMIT_BYTES: Final = 1024 * 1024
DEFAULT_ROUTE_TIMEOUT: Final = timedelta(seconds=10)

# Workspace to which requests on open routes are attributed.
OPEN_WORKSPACE: Final = "open"

HEADER_PREFIX: Final = "Sequoiaseam-"
TIMEOUT_HEADER: Final = "Sequoiaseam-Timeout-Ms"
CODE_HEADER: Final = "Sequoiaseam-Code"
VERDICT_HEADER: Final = "Sequoiaseam-Verdict"
REQUEST_ID_HEADER: Final = "Sequoiaseam-Request-Id"
HANDLE_HEADER: Final = "Sequoiaseam-Handle"
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
# Of a configuration document. Each control host holds the newest one, decoded
# and encoded, beside those in its log.
DOCUMENT_MAX_BYTES: Final = 32 * 1024 * 1024
