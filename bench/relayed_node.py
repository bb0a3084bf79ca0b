"""Node that announces the port of a relay instead of its own."""

import sys
from dataclasses import replace
from pathlib import Path
from random import SystemRandom

from sequoiaseam._clock import Clock, ProcessClock
from sequoiaseam._commands import Member
from sequoiaseam._node import Node
from sequoiaseam._program import run_program
from sequoiaseam._settings import NodeSettings, load_node_settings


class RelayedNode(Node):
    """Node that other nodes reach only through a relay."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        announced_port: int,
    ) -> None:
        super().__init__(settings, clock, SystemRandom())
        self._announced_port = announced_port

    def _create_member(self) -> Member:
        return replace(super()._create_member(), port=self._announced_port)


def main() -> None:
    """Run a node; arguments are the settings file and announced port."""
    path, port = sys.argv[1:]
    clock = ProcessClock()
    run_program(
        Path(path),
        load_node_settings,
        lambda settings: RelayedNode(settings, clock, int(port)),
    )


if __name__ == "__main__":
    main()
