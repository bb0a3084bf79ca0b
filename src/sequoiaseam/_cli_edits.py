"""Commands that submit edits to the control hosts."""

import hashlib
import secrets
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

from sequoiaseam._cli_environment import (
    NO_WAIT,
    ConnectionOptions,
    Environment,
    UsageError,
    WaitOptions,
)
from sequoiaseam._evacuation import count_servers, find_emptied_pools
from sequoiaseam._operator_edits import (
    EXIT_CODE_TEXTS,
    OUTCOME_ERROR_CODES,
    OUTCOME_EXIT_CODES,
    ExitCode,
    format_changes,
    needs_confirmation,
    submit_edit,
    wait_in_force,
)
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    DrainRequest,
    EditAnswer,
    EditOutcome,
    EvacuateRequest,
    OperatorClient,
    ReplaceRequest,
    RestoreRequest,
    ShowAnswer,
    ShowRequest,
    WithdrawKeyRequest,
)
from sequoiaseam._settings import parse_endpoint, parse_name
from sequoiaseam._tablefile import diff_tables, load_tables
from sequoiaseam._tables import Tables

KEY_TOKEN_BYTES: Final = 32


def make_edit_id() -> str:
    """Return a fresh edit ID."""
    return uuid.uuid4().hex


def read_backup(file: Path) -> bytes:
    """Return a file's content; raise UsageError if it can't be read."""
    try:
        return file.read_bytes()
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error


async def report_outcome(
    env: Environment,
    client: OperatorClient,
    answer: EditAnswer,
    waiting: WaitOptions,
) -> ExitCode:
    """Print the outcome of an edit and return the exit code.

    If the edit was accepted, wait until it is in force if requested.
    """
    if answer.outcome is not EditOutcome.ACCEPTED:
        code = OUTCOME_ERROR_CODES[answer.outcome]
        reason = (
            answer.message
            or EXIT_CODE_TEXTS[OUTCOME_EXIT_CODES[answer.outcome]]
        )
        env.print_message(f"error: {code.value}: {reason}")
    if answer.outcome is EditOutcome.UNKNOWN:
        env.print_message(
            f"The outcome of edit {answer.edit_id} is unknown: "
            "it may have taken effect or may take effect yet.",
        )
    if answer.outcome is EditOutcome.ACCEPTED:
        revision_suffix = (
            f" as revision {answer.revision}" if answer.revision else ""
        )
        env.print_message(f"accepted{revision_suffix}")
        if waiting.wait:
            return await wait_and_report(env, client, answer.revision, waiting)
    return OUTCOME_EXIT_CODES[answer.outcome]


async def wait_and_report(
    env: Environment,
    client: OperatorClient,
    revision: int,
    waiting: WaitOptions,
) -> ExitCode:
    """Wait until a revision is in force on all hosts.

    Print the hosts that still lag behind when the timeout expires.
    """
    in_force_answer = await wait_in_force(
        client,
        revision,
        waiting.wait_timeout,
        env.sleep,
    )
    if in_force_answer.in_force:
        env.print_message(f"revision {revision} is in force on all hosts")
        return ExitCode.DONE
    lagging_hosts = ", ".join(in_force_answer.lagging) or "not known"
    env.print_message(
        f"revision {revision} is accepted but not in force everywhere; "
        f"hosts that lag behind: {lagging_hosts}",
    )
    return ExitCode.NOT_IN_FORCE


class EditCommands:
    """Commands that submit edits to the control hosts."""

    def __init__(self, env: Environment) -> None:
        self._env = env

    async def apply(
        self,
        file: Path,
        *,
        remote: ConnectionOptions,
        waiting: WaitOptions = NO_WAIT,
        dry_run: bool = False,
        yes: bool = False,
        base_revision: int | None = None,
        edit_id: str | None = None,
    ) -> int:
        """Replace the tables with those in a file.

        Parameters
        ----------
        file
            INI file with the new tables.
        dry_run
            Show the differences without applying them.
        yes
            Don't ask for confirmation before removing many rows.
        base_revision
            Revision that the file is based on; defaults to the newest.
        edit_id
            ID of an earlier edit whose outcome is unknown, to submit that
            edit again. Requires --base-revision.

        """
        if edit_id is not None and base_revision is None:
            raise UsageError("--edit-id needs --base-revision")
        tables = load_tables(file)
        async with self._env.open_client(remote) as client:
            current = await client.show(ShowRequest())
            early_exit_code = self._preview_changes(
                current, tables, base_revision, edit_id
            )
            if early_exit_code is not None:
                if early_exit_code is ExitCode.DONE and waiting.wait:
                    return await wait_and_report(
                        self._env,
                        client,
                        current.revision,
                        waiting,
                    )
                return early_exit_code
            if dry_run:
                return ExitCode.DONE
            if not yes and not self._confirm_removals(current, tables):
                return ExitCode.REFUSED
            request = ApplyRequest(
                edit_id or make_edit_id(),
                remote.operator,
                current.revision if base_revision is None else base_revision,
                tables,
            )
            return await self._submit_tables(client, request, file, waiting)

    def _preview_changes(
        self,
        current: ShowAnswer,
        tables: Tables,
        base_revision: int | None,
        edit_id: str | None,
    ) -> ExitCode | None:
        """Print the differences; return an exit code to stop early."""
        changes = diff_tables(current.tables, tables)
        if changes:
            self._env.print_result(format_changes(changes))
        if edit_id is not None:
            # The control hosts know the outcome of the earlier attempt.
            return None
        if base_revision not in (None, current.revision):
            self._env.print_message(
                f"error: CONFLICT: the newest revision is "
                f"{current.revision}, not {base_revision}",
            )
            return ExitCode.CONFLICT
        if not changes:
            self._env.print_message(f"revision {current.revision} is the same")
            return ExitCode.DONE
        return None

    def _confirm_removals(self, current: ShowAnswer, tables: Tables) -> bool:
        changes = diff_tables(current.tables, tables)
        if not needs_confirmation(current.tables, changes):
            return True
        if self._env.confirm("This removes many rows. Apply it?"):
            return True
        self._env.print_message(
            "not applied: many rows would go; confirm with --yes"
        )
        return False

    async def _submit_tables(
        self,
        client: OperatorClient,
        request: ApplyRequest,
        file: Path,
        waiting: WaitOptions,
    ) -> ExitCode:
        # Printed before the edit is submitted, so that the operator can
        # submit it again if the command is interrupted.
        self._env.print_message(f"edit ID {request.edit_id}")
        answer = await submit_edit(
            request.edit_id,
            lambda: client.apply(request),
            self._env.sleep,
        )
        exit_code = await report_outcome(self._env, client, answer, waiting)
        if answer.outcome is EditOutcome.UNKNOWN:
            self._env.print_message(
                "Find out by sending the same edit again: "
                f"sequoiaseam apply {file} --edit-id {request.edit_id} "
                f"--base-revision {request.base_revision}",
            )
        if answer.outcome is EditOutcome.CONFLICT:
            await self._print_conflict(client, request)
        return exit_code

    async def _print_conflict(
        self,
        client: OperatorClient,
        request: ApplyRequest,
    ) -> None:
        current = await client.show(ShowRequest())
        changes = diff_tables(current.tables, request.tables)
        self._env.print_message(
            f"The newest revision is {current.revision}; "
            "the file differs from it by:",
        )
        self._env.print_message(format_changes(changes))

    async def key_add(
        self,
        workspace: str,
        *,
        remote: ConnectionOptions,
        waiting: WaitOptions = NO_WAIT,
    ) -> int:
        """Add a key to a workspace and print its token once.

        Only the token's SHA-256 digest is sent and stored.
        """
        token = secrets.token_urlsafe(KEY_TOKEN_BYTES)
        key_id = f"{workspace}-{secrets.token_hex(4)}"
        request = AddKeyRequest(
            edit_id=make_edit_id(),
            operator=remote.operator,
            key_id=key_id,
            digest=hashlib.sha256(token.encode()).digest(),
            workspace=workspace,
        )
        async with self._env.open_client(remote) as client:
            answer = await submit_edit(
                request.edit_id,
                lambda: client.add_key(request),
                self._env.sleep,
            )
            if answer.outcome is EditOutcome.ACCEPTED:
                self._env.print_message(f"key ID: {key_id}")
                self._env.print_result(token)
            exit_code = await report_outcome(
                self._env, client, answer, waiting
            )
        if answer.outcome is EditOutcome.UNKNOWN:
            self._env.print_message(
                "The token is discarded, so nobody can use the key. "
                f"Withdraw it if it is listed: sequoiaseam key withdraw "
                f"{key_id}",
            )
        return exit_code

    async def key_withdraw(
        self,
        key_id: str,
        *,
        remote: ConnectionOptions,
        waiting: WaitOptions = NO_WAIT,
    ) -> int:
        """Withdraw a key, which stops working within 5 seconds."""
        request = WithdrawKeyRequest(make_edit_id(), remote.operator, key_id)
        return await self._submit_edit(
            remote,
            waiting,
            request.edit_id,
            lambda client: client.withdraw_key(request),
        )

    async def drain(
        self,
        host: str,
        *,
        remote: ConnectionOptions,
    ) -> int:
        """Take a host's backend server out of rotation.

        Requests in progress there finish; new ones go elsewhere.
        """
        request = DrainRequest(make_edit_id(), remote.operator, host)
        return await self._submit_edit(
            remote,
            NO_WAIT,
            request.edit_id,
            lambda client: client.drain(request),
        )

    async def evacuate_start(
        self,
        domain: str,
        *,
        remote: ConnectionOptions,
        dry_run: bool = False,
        allow_empty_pools: bool = False,
    ) -> int:
        """Give the backend servers of a failure domain no new requests.

        Requests in progress there finish.

        Parameters
        ----------
        domain
            Failure domain to evacuate.
        dry_run
            List the pools that would have no server left, without giving
            the order.
        allow_empty_pools
            Give the order even if pools would have no server left.

        """
        request = EvacuateRequest(
            make_edit_id(), remote.operator, domain, evacuated=True
        )
        async with self._env.open_client(remote) as client:
            emptied_pools = self._preview_evacuation(
                await client.show(ShowRequest()), domain
            )
            if dry_run:
                return ExitCode.DONE
            if emptied_pools and not allow_empty_pools:
                self._env.print_message(
                    "not evacuated: pools would have no server left; "
                    "confirm with --allow-empty-pools"
                )
                return ExitCode.REFUSED
        return await self._submit_edit(
            remote,
            NO_WAIT,
            request.edit_id,
            lambda client: client.evacuate(request),
        )

    def _preview_evacuation(
        self, current: ShowAnswer, domain: str
    ) -> tuple[str, ...]:
        """Print what an evacuation affects; return the emptied pools."""
        server_count = count_servers(current.members, domain)
        self._env.print_message(
            f"backend servers in rotation in {domain}: {server_count}"
        )
        emptied_pools = find_emptied_pools(
            current.members, current.evacuated_domains, domain
        )
        for pool in emptied_pools:
            self._env.print_result(f"pool {pool}: no server left")
        return emptied_pools

    async def evacuate_end(
        self,
        domain: str,
        *,
        remote: ConnectionOptions,
    ) -> int:
        """Give the backend servers of a failure domain requests again."""
        request = EvacuateRequest(
            make_edit_id(), remote.operator, domain, evacuated=False
        )
        return await self._submit_edit(
            remote,
            NO_WAIT,
            request.edit_id,
            lambda client: client.evacuate(request),
        )

    async def replace(
        self,
        old: str,
        new: str,
        *,
        remote: ConnectionOptions,
        yes: bool = False,
    ) -> int:
        """Replace a control host.

        Parameters
        ----------
        old
            Name of the control host to remove.
        new
            NAME=IP:port of the control host to add. The name alone is
            enough when a host rejoins after losing its disk.
        yes
            Don't ask for confirmation.

        """
        name, _, address = new.partition("=")
        try:
            parse_name(name)
            endpoint = str(parse_endpoint(address)) if address else ""
        except ValueError as error:
            raise UsageError(f"{new}: {error}") from error
        if not endpoint and name != old:
            raise UsageError(f"{new}: a new host needs NAME=IP:port")
        if not yes and not self._env.confirm(
            f"Replace control host {old} by {new}?",
        ):
            self._env.print_message("not replaced; confirm with --yes")
            return ExitCode.REFUSED
        request = ReplaceRequest(
            make_edit_id(),
            remote.operator,
            old,
            name,
            endpoint,
        )
        return await self._submit_edit(
            remote,
            NO_WAIT,
            request.edit_id,
            lambda client: client.replace(request),
        )

    async def restore(self, file: Path, *, remote: ConnectionOptions) -> int:
        """Restore tables and keys from a backup into a new, empty group.

        Parameters
        ----------
        file
            Backup file written by `control backup`.

        """
        request = RestoreRequest(
            make_edit_id(),
            remote.operator,
            read_backup(file),
        )
        return await self._submit_edit(
            remote,
            NO_WAIT,
            request.edit_id,
            lambda client: client.restore(request),
        )

    async def _submit_edit(
        self,
        remote: ConnectionOptions,
        waiting: WaitOptions,
        edit_id: str,
        send: Callable[[OperatorClient], Awaitable[EditAnswer]],
    ) -> ExitCode:
        async with self._env.open_client(remote) as client:
            answer = await submit_edit(
                edit_id,
                lambda: send(client),
                self._env.sleep,
            )
            return await report_outcome(self._env, client, answer, waiting)
