"""Interface for programs that embed a control host."""

from sequoiaseam._connection_limit import (
    OPERATOR_FRACTION as OPERATOR_FRACTION,
)
from sequoiaseam._control import Control as Control
from sequoiaseam._operator_messages import EditAnswer as EditAnswer
from sequoiaseam._operator_messages import EditOutcome as EditOutcome
from sequoiaseam._settings import ControlSettings as ControlSettings
from sequoiaseam._sites import (
    KEEPALIVE_TIMEOUT_SECONDS as KEEPALIVE_TIMEOUT_SECONDS,
)
from sequoiaseam._sites import BoundedConnections as BoundedConnections
from sequoiaseam._sites import open_site as open_site
