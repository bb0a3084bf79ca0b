"""Common interface for programs that embed a node or a control host.

The node and the control host are in ``embed_node`` and ``embed_control``,
so that a program imports only the one that it runs.
"""

import hashlib

from sequoiaseam._announcements import ServerReport as ServerReport
from sequoiaseam._clock import ProcessClock as ProcessClock
from sequoiaseam._commands import ReplaceDocument as ReplaceDocument
from sequoiaseam._connection_limit import API_FRACTION as API_FRACTION
from sequoiaseam._connection_limit import (
    DEFAULT_DESCRIPTOR_LIMIT as DEFAULT_DESCRIPTOR_LIMIT,
)
from sequoiaseam._connection_limit import ConnectionLimit as ConnectionLimit
from sequoiaseam._connection_limit import (
    compute_connection_limit as compute_connection_limit,
)
from sequoiaseam._header_names import HeaderNames as HeaderNames
from sequoiaseam._http_server import HttpRequest as HttpRequest
from sequoiaseam._http_server import HttpServer as HttpServer
from sequoiaseam._keyring import compute_digest as compute_digest
from sequoiaseam._memory import MemoryBudget as MemoryBudget
from sequoiaseam._program import run_embedded as run_embedded
from sequoiaseam._settings import Endpoint as Endpoint
from sequoiaseam._settings import parse_endpoint as parse_endpoint
from sequoiaseam._tables import AS_ANNOUNCED as AS_ANNOUNCED
from sequoiaseam._tables import METHODS as METHODS
from sequoiaseam._tables import CallerLimits as CallerLimits
from sequoiaseam._tables import Importance as Importance
from sequoiaseam._tables import KeyRecord as KeyRecord
from sequoiaseam._tables import Pool as Pool
from sequoiaseam._tables import Route as Route
from sequoiaseam._tables import Share as Share
from sequoiaseam._tables import Tables as Tables
from sequoiaseam._tables import Workspace as Workspace
from sequoiaseam.const import DOCUMENT_MAX_BYTES as DOCUMENT_MAX_BYTES
from sequoiaseam.errors import ErrorCode as ErrorCode
from sequoiaseam.errors import SeamError as SeamError


def compute_document_id(document: bytes) -> str:
    """Return the edit id of a document: its SHA-256 digest in hex."""
    return hashlib.sha256(document).hexdigest()
