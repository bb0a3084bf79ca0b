"""Command line for operators."""

import sys
from collections.abc import Sequence
from typing import Final, Literal

from cyclopts import App, CycloptsError, Parameter
from rich.console import Console

from sequoiaseam import __version__
from sequoiaseam._cli_edits import EditCommands
from sequoiaseam._cli_environment import Environment, UsageError
from sequoiaseam._cli_views import ViewCommands
from sequoiaseam._operator_edits import EXIT_CODE_TEXTS, ExitCode
from sequoiaseam.errors import SeamError

Shell = Literal["bash", "zsh", "fish"]
EPILOGUE: Final = "Exit codes: " + ", ".join(
    f"{code.value} {text}" for code, text in EXIT_CODE_TEXTS.items()
)


def build_app(env: Environment) -> App:
    """Return the program with all of its commands."""
    app = App(
        name="sequoiaseam",
        help="Operate a fleet of sequoiaseam nodes and control hosts.",
        help_epilogue=EPILOGUE,
        help_format="plaintext",
        version=__version__,
        exit_on_error=False,
        print_error=True,
        help_formatter="plain",
        error_formatter=lambda error: f"error: {error}",
        default_parameter=Parameter(negative=()),
        console=Console(file=env.output.file),
        error_console=Console(file=env.errors.file),
        result_action="return_value",
    )
    edits = EditCommands(env)
    views = ViewCommands(env)
    for command in (
        edits.apply,
        views.show,
        views.follow,
        views.check,
        views.report,
        views.histogram,
        views.status,
        edits.drain,
    ):
        app.command(command)
    key = App(name="key", help="Give workspaces keys and withdraw them.")
    key.command(edits.key_add, name="add")
    key.command(edits.key_withdraw, name="withdraw")
    key.command(views.key_list, name="list")
    app.command(key)
    control = App(name="control", help="Operate the control hosts.")
    control.command(edits.replace, name="replace")
    control.command(views.control_status, name="status")
    control.command(views.backup, name="backup")
    control.command(edits.restore, name="restore")
    app.command(control)

    @app.command
    def completion(shell: Shell = "bash") -> int:
        """Print a script that completes commands in a shell."""
        env.print_result(app.generate_completion(shell=shell))
        return ExitCode.DONE

    return app


def run(tokens: Sequence[str], env: Environment) -> ExitCode:
    """Run one command and return its exit code."""
    try:
        result = build_app(env)(tokens)
    except CycloptsError:
        # Printed by cyclopts already.
        return ExitCode.USAGE
    except UsageError as error:
        env.print_message(f"error: {error}")
        return ExitCode.USAGE
    except SeamError as error:
        return env.print_error(error)
    return ExitCode(result or 0)


def main() -> None:
    """Run the command of the process's arguments."""
    sys.exit(run(sys.argv[1:], Environment()))


if __name__ == "__main__":
    main()
