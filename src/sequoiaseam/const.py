"""Constants that more than one module uses, with their units."""

from datetime import timedelta
from typing import Final

# Longest time for which a node may act on a configuration that it last
# confirmed. Bounds how long a withdrawn key still works on a node that
# is cut off; the promise is 5 s, the rest is for delivery.
CONFIGURATION_LEASE: Final = timedelta(seconds=3.5)

# Largest difference that the clocks of two processes or of a caller may
# show in an idempotency key's time.
CLOCK_SKEW_MAX: Final = timedelta(seconds=5)

# How much faster or slower one process's clock may run than another's.
CLOCK_DRIFT_MAX: Final = 0.01

# How long witnesses keep an intent and its outcome.
WITNESS_RETENTION: Final = timedelta(minutes=10)
# More would spread the records over more nodes; 512 were tried, and
# balancing their groups cost a node over 5 KB/s.
WITNESS_SHARDS: Final = 64
WITNESSES_PER_SHARD: Final = 3

# Outcomes with a larger body are recorded without it.
OUTCOME_BODY_MAX_BYTES: Final = 16 * 1024

HEARTBEAT_INTERVAL: Final = timedelta(milliseconds=150)
ELECTION_TIMEOUT_MIN: Final = timedelta(milliseconds=600)
ELECTION_TIMEOUT_MAX: Final = timedelta(milliseconds=1200)

MEMBER_TIMEOUT: Final = timedelta(seconds=3.5)
NODE_PING_INTERVAL: Final = timedelta(seconds=0.5)
# A node that hears nothing of its control host for this long moves to
# another; with one attempt at a host that is down as well, it has the
# configuration of the others within 3 s.
UPLINK_TIMEOUT: Final = timedelta(seconds=1.1)
ATTACH_TIMEOUT: Final = timedelta(seconds=0.6)
ANNOUNCE_INTERVAL: Final = timedelta(seconds=1)

CONNECTION_PING_INTERVAL: Final = timedelta(seconds=1)
CONNECTION_TIMEOUT: Final = timedelta(seconds=2.5)

DEFAULT_HEADERS_LIMIT_BYTES: Final = 16 * 1024
# Largest limit that a node's settings may allow.
HEADERS_LIMIT_MAX_BYTES: Final = 64 * 1024
DEFAULT_BODY_LIMIT_BYTES: Final = 1024 * 1024
DEFAULT_ROUTE_TIMEOUT: Final = timedelta(seconds=10)

# Workspace that requests on open routes are counted under.
OPEN_WORKSPACE: Final = "open"

HEADER_PREFIX: Final = "Sequoiaseam-"
HEADER_TIMEOUT: Final = "Sequoiaseam-Timeout-Ms"
HEADER_CODE: Final = "Sequoiaseam-Code"
HEADER_VERDICT: Final = "Sequoiaseam-Verdict"
HEADER_REQUEST_ID: Final = "Sequoiaseam-Request-Id"
HEADER_HANDLE: Final = "Sequoiaseam-Handle"
HEADER_IDEMPOTENCY: Final = "Idempotency-Key"
