"""Program ``sequoiaseam-control``; runs on 1, 3, 5 or 7 hosts with a disk."""

from pathlib import Path
from random import SystemRandom

import cyclopts

from sequoiaseam import __version__
from sequoiaseam._clock import ProcessClock
from sequoiaseam._control import Control
from sequoiaseam._program import run_program
from sequoiaseam._settings import ControlSettings, load_control_settings

app = cyclopts.App(
    name="sequoiaseam-control",
    help="Hold the configuration and lead the fleet.",
    version=__version__,
)


def create_control(settings: ControlSettings) -> Control:
    """Return a control host that uses the process clock."""
    return Control(settings, ProcessClock(), SystemRandom())


@app.default
def start(settings: Path) -> None:
    """Start the control host.

    Parameters
    ----------
    settings
        INI settings file.
    """
    run_program(settings, load_control_settings, create_control)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
