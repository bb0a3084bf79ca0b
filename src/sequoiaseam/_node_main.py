"""Program ``sequoiaseam-node``, which runs beside a backend server."""

from pathlib import Path
from random import SystemRandom

import cyclopts

from sequoiaseam import __version__
from sequoiaseam._clock import ProcessClock
from sequoiaseam._node import Node
from sequoiaseam._program import run_program
from sequoiaseam._settings import NodeSettings, load_node_settings

app = cyclopts.App(
    name="sequoiaseam-node",
    help="Accept callers' requests and run calls on one backend server.",
    version=__version__,
)


def create_node(settings: NodeSettings) -> Node:
    """Return a node that uses the process clock."""
    return Node(settings, ProcessClock(), SystemRandom())


@app.default
def start(settings: Path) -> None:
    """Start the node.

    Parameters
    ----------
    settings
        INI settings file.
    """
    run_program(settings, load_node_settings, create_node)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
