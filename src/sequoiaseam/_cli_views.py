"""Commands that read state or check files, without submitting edits."""

import os
from pathlib import Path
from typing import Annotated, Final, Literal

from cyclopts import Parameter

from sequoiaseam._cli_environment import (
    ConnectionOptions,
    Environment,
    UsageError,
    validate_duration,
)
from sequoiaseam._ini import read_ini
from sequoiaseam._load_table import tabulate_load
from sequoiaseam._operator_edits import ExitCode, format_changes
from sequoiaseam._operator_messages import (
    BackupRequest,
    FollowRequest,
    OperatorClient,
    ReportAnswer,
    ReportRequest,
    ShowRequest,
    StatusRequest,
    UnreachableError,
)
from sequoiaseam._report import (
    Grouping,
    describe_hosts,
    draw_histogram,
    format_csv,
    format_json,
    merge_histograms,
    merge_reports,
    render_report,
    subtract_answer,
)
from sequoiaseam._settings import (
    load_control_settings,
    load_node_settings,
    load_secrets,
)
from sequoiaseam._tablefile import (
    COLUMNS,
    diff_tables,
    format_tables,
    load_tables,
)
from sequoiaseam._tables import Tables
from sequoiaseam._views import (
    build_keys_table,
    build_pool_states_table,
    build_replicas_table,
    build_show_tables,
    describe_event,
    describe_status,
)
from sequoiaseam.errors import ErrorCode

ShowTarget = Literal[
    "all", "routes", "pools", "workspaces", "keys", "members", "evacuations"
]
FOLLOW_RETRY_DELAY_S: Final = 1.0
MAX_FOLLOW_ATTEMPTS: Final = 10
DEFAULT_LIVE_INTERVAL_S: Final = 2.0
MAX_POLL_ATTEMPTS: Final = 10


class ViewCommands:
    """Commands that read state or check files, without submitting edits."""

    def __init__(self, env: Environment) -> None:
        self._env = env

    async def show(
        self,
        what: ShowTarget = "all",
        *,
        remote: ConnectionOptions,
        ini: bool = False,
    ) -> int:
        """Show the committed tables, keys, members and evacuated domains.

        Parameters
        ----------
        what
            What to show.
        ini
            Print the tables as an INI file that ``apply`` accepts.

        """
        async with self._env.open_client(remote) as client:
            answer = await client.show(ShowRequest())
        if ini:
            self._env.print_result(format_tables(answer.tables).rstrip("\n"))
        else:
            for name, table in build_show_tables(answer).items():
                if what in ("all", name):
                    self._env.print_table(table)
        self._env.print_message(f"revision {answer.revision}")
        return ExitCode.DONE

    async def key_list(self, *, remote: ConnectionOptions) -> int:
        """List the ID and workspace of each key."""
        async with self._env.open_client(remote) as client:
            answer = await client.show(ShowRequest())
        self._env.print_table(build_keys_table(answer.keys))
        return ExitCode.DONE

    async def follow(
        self,
        *,
        remote: ConnectionOptions,
        after: int | None = None,
    ) -> int:
        """Print each change as it is committed.

        Parameters
        ----------
        after
            Log index to start after; defaults to the newest.

        """
        async with self._env.open_client(remote) as client:
            current = await client.show(ShowRequest())
            # The differences made by events before the current index can't
            # be derived from the current tables.
            tables = current.tables if after is None else None
            index = current.index if after is None else after
            failures = 0
            while True:
                try:
                    async for event in client.follow(FollowRequest(index)):
                        failures = 0
                        index = event.index
                        self._env.print_result(describe_event(event))
                        tables = self._print_changes(tables, event.tables)
                except UnreachableError:
                    failures += 1
                    if failures >= MAX_FOLLOW_ATTEMPTS:
                        raise
                self._env.print_message(
                    f"connecting again after index {index}"
                )
                await self._env.sleep(FOLLOW_RETRY_DELAY_S)

    def load(self, log: Path, /, *more_logs: Path) -> int:
        """Tabulate the load that nodes have logged, second by second.

        Parameters
        ----------
        log
            File with the log lines of one node or several.
        more_logs
            Further files.

        """
        lines: list[str] = []
        for path in (log, *more_logs):
            lines += path.read_text(errors="replace").splitlines()
        for table in tabulate_load(lines):
            self._env.print_table(table)
        return ExitCode.DONE

    def _print_changes(
        self,
        old: Tables | None,
        new: Tables | None,
    ) -> Tables | None:
        """Print what an event changed; return the tables after the event."""
        if old is not None and new is not None:
            self._env.print_result(format_changes(diff_tables(old, new)))
        return new or old

    async def report(
        self,
        *,
        remote: ConnectionOptions,
        by: Grouping | None = None,
        format: Literal["table", "json", "csv"] = "table",  # noqa: A002
        live: bool = False,
        last: Annotated[
            float | None,
            Parameter(validator=validate_duration),
        ] = None,
        rounds: int | None = None,
    ) -> int:
        """Report goodput, refusals, times and overloads of the fleet.

        Parameters
        ----------
        by
            What to group by; defaults to one row per route, pool,
            workspace and class.
        format
            Output format.
        live
            Report repeatedly, each time what happened since the previous
            report.
        last
            Measure for this many seconds from now instead of reporting
            totals since each node started. With --live, the seconds
            between reports, 2 by default.
        rounds
            Stop --live after this number of reports.

        """
        if rounds is not None and not live:
            raise UsageError("--rounds needs --live")
        async with self._env.open_client(remote) as client:
            answer = await client.report(ReportRequest())
            if not live and last is None:
                self._print_report(answer, by, format)
                return ExitCode.DONE
            report_count = 0
            while report_count != (rounds if live else 1):
                newer = await self._poll_report(
                    client, last or DEFAULT_LIVE_INTERVAL_S
                )
                if live and self._env.output.is_terminal:
                    self._env.output.clear()
                self._print_report(subtract_answer(newer, answer), by, format)
                answer = newer
                report_count += 1
        return ExitCode.DONE

    async def _poll_report(
        self,
        client: OperatorClient,
        interval_s: float,
    ) -> ReportAnswer:
        """Return the next report, retrying while no control host answers.

        Wait interval_s seconds before each attempt and raise
        UnreachableError if the last attempt fails.
        """
        for _ in range(MAX_POLL_ATTEMPTS - 1):
            await self._env.sleep(interval_s)
            try:
                return await client.report(ReportRequest())
            except UnreachableError as error:
                self._env.print_message(f"no report: {error.message}")
        await self._env.sleep(interval_s)
        return await client.report(ReportRequest())

    def _print_report(
        self,
        answer: ReportAnswer,
        by: Grouping | None,
        format_name: str,
    ) -> None:
        report = merge_reports(answer, by)
        if format_name == "json":
            self._env.print_result(format_json(report))
        elif format_name == "csv":
            self._env.print_result(format_csv(report).rstrip("\n"))
            self._env.print_message(describe_hosts(report))
        else:
            output = self._env.output
            output.print(render_report(report, output))

    async def histogram(
        self,
        *,
        remote: ConnectionOptions,
        pool: str | None = None,
    ) -> int:
        """Draw histograms of queue times and backend server times.

        Parameters
        ----------
        pool
            Pool to draw; defaults to all pools.

        """
        async with self._env.open_client(remote) as client:
            answer = await client.report(ReportRequest())
        for title, times in (
            (
                "queue",
                merge_histograms(answer, lambda row: row.queue_times, pool),
            ),
            (
                "service",
                merge_histograms(answer, lambda row: row.service_times, pool),
            ),
        ):
            self._env.print_result(draw_histogram(title, times))
        self._env.print_message(describe_hosts(merge_reports(answer)))
        return ExitCode.DONE

    async def status(self, *, remote: ConnectionOptions) -> int:
        """Show the state of the control hosts and backend servers."""
        async with self._env.open_client(remote) as client:
            answer = await client.status(StatusRequest())
        self._env.print_result(describe_status(answer))
        self._env.print_table(build_replicas_table(answer.replicas))
        self._env.print_table(build_pool_states_table(answer.members))
        return ExitCode.DONE

    async def control_status(self, *, remote: ConnectionOptions) -> int:
        """Show the state of the control hosts."""
        async with self._env.open_client(remote) as client:
            answer = await client.status(StatusRequest())
        self._env.print_result(describe_status(answer))
        self._env.print_table(build_replicas_table(answer.replicas))
        return ExitCode.DONE

    async def backup(self, file: Path, *, remote: ConnectionOptions) -> int:
        """Write the complete state of the control hosts to a new file.

        Parameters
        ----------
        file
            File to write, which must not exist yet.

        """
        async with self._env.open_client(remote) as client:
            answer = await client.backup(BackupRequest())
        try:
            write_new_file(file, answer.data)
        except OSError as error:
            self._env.print_message(
                f"error: {ErrorCode.DISK_FAILED.value}: {file}: "
                f"{error.strerror}",
            )
            return ExitCode.REFUSED
        self._env.print_message(
            f"{file}: revision {answer.revision}, log index {answer.index}, "
            f"{len(answer.data)} bytes",
        )
        return ExitCode.DONE

    def check(self, file: Path) -> int:
        """Check a settings, secrets or tables file without a running fleet.

        Parameters
        ----------
        file
            File to check; its kind is detected from its sections.

        """
        kind = check_file(file)
        self._env.print_message(f"{file}: sound {kind}")
        return ExitCode.DONE


def write_new_file(file: Path, data: bytes) -> None:
    """Create a file readable only by its owner, write it and sync it.

    Raise FileExistsError if the file exists.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(file, flags, 0o600), "wb") as output:
        output.write(data)
        output.flush()
        os.fsync(output.fileno())
    directory_fd = os.open(file.absolute().parent, os.O_RDONLY)
    try:
        os.fsync(directory_fd)
    finally:
        os.close(directory_fd)


def check_file(file: Path) -> str:
    """Return the kind of a file; raise FileError if it is invalid."""
    ini = read_ini(file, ErrorCode.SETTING_INVALID)
    section_names = set(ini.sections)
    if any(name.partition(" ")[0] in COLUMNS for name in section_names):
        load_tables(file)
        return "tables"
    if "node" in section_names:
        load_node_settings(file)
        return "settings of a node"
    if section_names & {"control", "replicas"}:
        load_control_settings(file)
        return "settings of a control host"
    if section_names & {"fleet", "operators"}:
        secret_sections = ("fleet", "operators")
        load_secrets(
            file,
            tuple(name for name in secret_sections if name in section_names),
        )
        return "secrets"
    ini.report("", "", "has no section of settings, secrets or tables")
    ini.raise_problems(ErrorCode.SETTING_INVALID)
    raise AssertionError(file)
