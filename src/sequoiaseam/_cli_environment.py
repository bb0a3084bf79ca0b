"""What commands of the command line share: options and outside."""

import asyncio
import contextlib
import getpass
import importlib
import math
import sys
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final, cast

from cyclopts import Parameter
from rich.console import Console

from sequoiaseam._grid import Grid
from sequoiaseam._ini import FileError
from sequoiaseam._operator_edits import ExitCode, Sleep, choose_exit_code
from sequoiaseam._operator_messages import OperatorClient
from sequoiaseam._settings import Endpoint, load_secrets, parse_endpoint
from sequoiaseam._views import make_console
from sequoiaseam.errors import SeamError

Connect = Callable[[Sequence[Endpoint], Path], OperatorClient]


@Parameter(name="*")
@dataclass(frozen=True)
class Remote:
    """How to reach the control hosts."""

    control: Annotated[
        str,
        Parameter(
            env_var="SEQUOIASEAM_CONTROL",
            help="Addresses of control hosts, IP:port, comma-separated.",
        ),
    ]
    secrets: Annotated[
        Path,
        Parameter(
            env_var="SEQUOIASEAM_SECRETS",
            help="Secrets file with a section [operators].",
        ),
    ]
    operator: Annotated[
        str,
        Parameter(
            env_var="SEQUOIASEAM_OPERATOR",
            help="Name under which edits are recorded.",
        ),
    ] = field(default_factory=getpass.getuser)


def check_seconds(_: object, value: float | None) -> None:
    """Raise ValueError for a duration that is no positive number."""
    if value is not None and not 0 < value < math.inf:
        raise ValueError("must be a number of seconds above 0")


@Parameter(name="*")
@dataclass(frozen=True)
class Waiting:
    """Whether to wait until an edit is in force everywhere."""

    wait: Annotated[
        bool,
        Parameter(help="Wait until the edit is in force on all hosts."),
    ] = False
    wait_timeout: Annotated[
        float,
        Parameter(
            help="How long to wait, in seconds.",
            validator=check_seconds,
        ),
    ] = 30.0


NO_WAIT: Final = Waiting()


class UsageError(Exception):
    """Arguments that can't be used together or parsed."""


def connect_remote(
    addresses: Sequence[Endpoint],
    secrets_path: Path,
) -> OperatorClient:
    """Return a client for the control hosts."""
    # Imported late: offline commands need no gRPC library.
    module = importlib.import_module("sequoiaseam._operator_client")
    return cast("OperatorClient", module.connect(addresses, secrets_path))


def ask_terminal(question: str) -> bool:
    """Ask a person; without a terminal the answer is no."""
    if not sys.stdin.isatty():
        return False
    return input(f"{question} [y/N] ").strip().lower() in ("y", "yes")


@dataclass(frozen=True)
class Environment:
    """What the commands use of the outside; replaced in tests."""

    connect: Connect = connect_remote
    confirm: Callable[[str], bool] = ask_terminal
    sleep: Sleep = asyncio.sleep
    output: Console = field(default_factory=make_console)
    errors: Console = field(default_factory=lambda: make_console(stderr=True))

    def say(self, text: str) -> None:
        """Print a result as it is."""
        self.output.out(text, highlight=False)

    def show(self, grid: Grid) -> None:
        """Print a table."""
        self.output.print(grid.render(self.output))

    def note(self, text: str) -> None:
        """Print what is no result to standard error."""
        self.errors.out(text, highlight=False)

    def fail(self, error: SeamError) -> ExitCode:
        """Print an error, with its code on each line."""
        if isinstance(error, FileError):
            for problem in error.problems:
                self.note(f"error: {error.code.value}: {problem}")
        else:
            self.note(f"error: {error.code.value}: {error.message}")
        return choose_exit_code(error)

    @contextlib.asynccontextmanager
    async def open(self, remote: Remote) -> AsyncIterator[OperatorClient]:
        """Connect for the time of a command."""
        try:
            addresses = tuple(
                parse_endpoint(part.strip())
                for part in remote.control.split(",")
            )
        except ValueError as error:
            raise UsageError(f"--control: {error}") from error
        load_secrets(remote.secrets, ("operators",))
        client = self.connect(addresses, remote.secrets)
        try:
            yield client
        finally:
            await client.close()
