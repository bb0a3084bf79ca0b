"""Interface for programs that embed a control host."""

from sequoiaseam._control import Control as Control
from sequoiaseam._operator_messages import EditAnswer as EditAnswer
from sequoiaseam._operator_messages import EditOutcome as EditOutcome
from sequoiaseam._settings import ControlSettings as ControlSettings
from sequoiaseam._sites import open_site as open_site
