"""Interface for programs that embed a node."""

from sequoiaseam._host_node import HostNode as HostNode
from sequoiaseam._host_node import HostSettings as HostSettings
