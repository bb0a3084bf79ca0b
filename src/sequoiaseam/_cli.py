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

ShellName = Literal["bash", "zsh", "fish"]
HELP_EPILOGUE: Final = "Exit codes: " + ", ".join(
    f"{code.value} {text}" for code, text in EXIT_CODE_TEXTS.items()
)


def build_app(env: Environment) -> App:
    """Return the cyclopts application with all commands."""
    app = App(
        name="sequoiaseam",
        help="Operate a fleet of sequoiaseam nodes and control hosts.",
        help_epilogue=HELP_EPILOGUE,
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
        views.load,
        views.status,
        edits.drain,
    ):
        app.command(command)
    key_app = App(name="key", help="Give workspaces keys and withdraw them.")
    key_app.command(edits.key_add, name="add")
    key_app.command(edits.key_withdraw, name="withdraw")
    key_app.command(views.key_list, name="list")
    app.command(key_app)
    evacuate_app = App(
        name="evacuate",
        help="Keep requests from the backend servers of a failure domain.",
    )
    evacuate_app.command(edits.evacuate_start, name="start")
    evacuate_app.command(edits.evacuate_end, name="end")
    app.command(evacuate_app)
    control_app = App(name="control", help="Operate the control hosts.")
    control_app.command(edits.replace, name="replace")
    control_app.command(views.control_status, name="status")
    control_app.command(views.backup, name="backup")
    control_app.command(edits.restore, name="restore")
    app.command(control_app)

    @app.command
    def completion(shell: ShellName = "bash") -> int:
        """Print a shell completion script."""
        env.print_result(app.generate_completion(shell=shell))
        return ExitCode.DONE

    return app


def run(tokens: Sequence[str], env: Environment) -> ExitCode:
    """Run one command and return its exit code."""
    try:
        result = build_app(env)(tokens)
    except CycloptsError:
        # cyclopts has already printed the error.
        return ExitCode.USAGE
    except UsageError as error:
        env.print_message(f"error: {error}")
        return ExitCode.USAGE
    except SeamError as error:
        return env.print_error(error)
    return ExitCode(result or 0)


def main() -> None:
    """Run the command given by the process arguments."""
    sys.exit(run(sys.argv[1:], Environment()))


if __name__ == "__main__":
    main()
