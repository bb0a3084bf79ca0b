"""Options and external dependencies that the commands share."""

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

from sequoiaseam._console_table import ConsoleTable
from sequoiaseam._ini import FileError
from sequoiaseam._operator_edits import ExitCode, Sleep, choose_exit_code
from sequoiaseam._operator_messages import OperatorClient
from sequoiaseam._settings import Endpoint, load_secrets, parse_endpoint
from sequoiaseam._views import make_console
from sequoiaseam.errors import SeamError

ClientFactory = Callable[[Sequence[Endpoint], Path], OperatorClient]


@Parameter(name="*")
@dataclass(frozen=True)
class ConnectionOptions:
    """Options for connecting to the control hosts as an operator."""

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


def validate_duration(_: object, value: float | None) -> None:
    """Raise ValueError unless a duration in seconds is positive and finite."""
    if value is not None and not 0 < value < math.inf:
        raise ValueError("must be a number of seconds above 0")


@Parameter(name="*")
@dataclass(frozen=True)
class WaitOptions:
    """Options for waiting until an edit is in force on all hosts."""

    wait: Annotated[
        bool,
        Parameter(help="Wait until the edit is in force on all hosts."),
    ] = False
    wait_timeout: Annotated[
        float,
        Parameter(
            help="How long to wait, in seconds.",
            validator=validate_duration,
        ),
    ] = 30.0


NO_WAIT: Final = WaitOptions()


class UsageError(Exception):
    """Raised for arguments that are malformed or can't be combined."""


def connect_control_hosts(
    addresses: Sequence[Endpoint],
    secrets_path: Path,
) -> OperatorClient:
    """Return a client for the control hosts."""
    # Imported lazily because offline commands don't need the gRPC library.
    module = importlib.import_module("sequoiaseam._operator_client")
    return cast("OperatorClient", module.connect(addresses, secrets_path))


def confirm_in_terminal(question: str) -> bool:
    """Ask for confirmation; return False if stdin is not a terminal."""
    if not sys.stdin.isatty():
        return False
    return input(f"{question} [y/N] ").strip().lower() in ("y", "yes")


@dataclass(frozen=True)
class Environment:
    """External dependencies of the commands, which tests replace."""

    connect: ClientFactory = connect_control_hosts
    confirm: Callable[[str], bool] = confirm_in_terminal
    sleep: Sleep = asyncio.sleep
    output: Console = field(default_factory=make_console)
    errors: Console = field(default_factory=lambda: make_console(stderr=True))

    def print_result(self, text: str) -> None:
        """Print a result to standard output without styling."""
        self.output.out(text, highlight=False)

    def print_table(self, table: ConsoleTable) -> None:
        """Print a table to standard output."""
        self.output.print(table.render(self.output))

    def print_message(self, text: str) -> None:
        """Print a status or error message to standard error."""
        self.errors.out(text, highlight=False)

    def print_error(self, error: SeamError) -> ExitCode:
        """Print an error and return the matching exit code.

        Each line starts with the error code; a FileError has one line per
        problem.
        """
        if isinstance(error, FileError):
            for problem in error.problems:
                self.print_message(f"error: {error.code.value}: {problem}")
        else:
            self.print_message(f"error: {error.code.value}: {error.message}")
        return choose_exit_code(error)

    @contextlib.asynccontextmanager
    async def open_client(
        self, remote: ConnectionOptions
    ) -> AsyncIterator[OperatorClient]:
        """Yield a client for the control hosts and close it afterwards."""
        try:
            addresses = tuple(
                parse_endpoint(address.strip())
                for address in remote.control.split(",")
            )
        except ValueError as error:
            raise UsageError(f"--control: {error}") from error
        load_secrets(remote.secrets, ("operators",))
        client = self.connect(addresses, remote.secrets)
        try:
            yield client
        finally:
            await client.close()
