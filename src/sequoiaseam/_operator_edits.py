"""Operator edits: preview, confirmation, submission and exit codes."""

import enum
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Final

from sequoiaseam._operator_messages import (
    EditAnswer,
    EditOutcome,
    InForceAnswer,
    InForceRequest,
    OperatorClient,
    UnreachableError,
)
from sequoiaseam._tablefile import ChangeKind, RowChange
from sequoiaseam._tables import Tables
from sequoiaseam.errors import ErrorCode, SeamError

Sleep = Callable[[float], Awaitable[None]]

# Delays between attempts to submit an edit. Their sum exceeds the time that
# the loss of a control host and an election take.
SUBMIT_RETRY_DELAYS_S: Final = (0.5, 1.0, 2.0, 4.0)
IN_FORCE_POLL_INTERVAL_S: Final = 0.5
# An edit that removes more rows than this, or a larger share of all rows,
# was probably made with a wrong or truncated file and needs confirmation.
MAX_UNCONFIRMED_REMOVED_ROWS: Final = 5
MAX_UNCONFIRMED_REMOVED_SHARE: Final = 0.25


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6


EXIT_CODE_TEXTS: Final = {
    ExitCode.DONE: "done",
    ExitCode.REFUSED: "refused",
    ExitCode.USAGE: "wrong usage",
    ExitCode.CONFLICT: "conflict with a newer revision",
    ExitCode.UNKNOWN: "outcome unknown",
    ExitCode.UNREACHABLE: "no control host can be reached",
    ExitCode.NOT_IN_FORCE: "accepted, but not in force everywhere in time",
}
OUTCOME_EXIT_CODES: Final = {
    EditOutcome.ACCEPTED: ExitCode.DONE,
    EditOutcome.CONFLICT: ExitCode.CONFLICT,
    EditOutcome.INVALID: ExitCode.REFUSED,
    EditOutcome.NOT_FOUND: ExitCode.REFUSED,
    EditOutcome.UNKNOWN: ExitCode.UNKNOWN,
}
OUTCOME_ERROR_CODES: Final = {
    EditOutcome.CONFLICT: ErrorCode.CONFLICT,
    EditOutcome.INVALID: ErrorCode.TABLE_INVALID,
    EditOutcome.NOT_FOUND: ErrorCode.NOT_FOUND,
    EditOutcome.UNKNOWN: ErrorCode.OUTCOME_UNKNOWN,
}


def choose_exit_code(error: SeamError) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, UnreachableError):
        return ExitCode.UNREACHABLE
    if error.code is ErrorCode.CONFLICT:
        return ExitCode.CONFLICT
    if error.code is ErrorCode.OUTCOME_UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


def count_rows(tables: Tables) -> int:
    """Return the number of rows in all tables."""
    return len(tables.routes) + len(tables.pools) + len(tables.workspaces)


def needs_confirmation(old: Tables, changes: Sequence[RowChange]) -> bool:
    """Return whether so many rows are removed that it may be a mistake."""
    removed = sum(change.kind is ChangeKind.REMOVED for change in changes)
    removed_share = removed / max(count_rows(old), 1)
    return (
        removed > MAX_UNCONFIRMED_REMOVED_ROWS
        or removed_share > MAX_UNCONFIRMED_REMOVED_SHARE
    )


def format_changes(changes: Sequence[RowChange]) -> str:
    """Format the changes, one line for each row and each column."""
    prefixes = {
        ChangeKind.ADDED: "+",
        ChangeKind.REMOVED: "-",
        ChangeKind.CHANGED: "~",
    }
    lines: list[str] = []
    for change in changes:
        prefix = prefixes[change.kind]
        lines.append(f"{prefix} [{change.table} {change.row}]")
        for column in change.columns:
            match change.kind:
                case ChangeKind.ADDED:
                    value = column.new
                case ChangeKind.REMOVED:
                    value = column.old
                case ChangeKind.CHANGED:
                    value = f"{column.old} -> {column.new}"
            lines.append(f"{prefix}     {column.column} = {value}")
    return "\n".join(lines)


async def submit_edit(
    edit_id: str,
    send: Callable[[], Awaitable[EditAnswer]],
    sleep: Sleep,
) -> EditAnswer:
    """Send an edit until its outcome is known or all attempts are used.

    ``send`` must use the same edit ID for each attempt, so that the edit
    takes effect at most once. The answer is UNKNOWN if at least one
    attempt was sent but none was answered; the edit may still take
    effect. Raise SeamError only if the edit certainly has no effect.
    """
    unknown_answer: EditAnswer | None = None
    last_error: SeamError | None = None
    for delay_s in (*SUBMIT_RETRY_DELAYS_S, None):
        try:
            answer = await send()
        except SeamError as error:
            last_error = error
            if error.code is ErrorCode.OUTCOME_UNKNOWN:
                unknown_answer = _create_unknown_answer(edit_id, error.message)
            elif not _is_retryable(error):
                if unknown_answer is not None:
                    # Only this attempt was refused; an earlier one may
                    # have taken effect.
                    return replace(unknown_answer, message=error.message)
                raise
        else:
            if answer.outcome is not EditOutcome.UNKNOWN:
                return answer
            unknown_answer = answer
        if delay_s is not None:
            await sleep(delay_s)
    if unknown_answer is not None:
        return unknown_answer
    assert last_error is not None  # noqa: S101 - set by each failed attempt
    raise last_error


def _create_unknown_answer(edit_id: str, message: str) -> EditAnswer:
    return EditAnswer(edit_id, EditOutcome.UNKNOWN, 0, message)


def _is_retryable(error: SeamError) -> bool:
    return (
        isinstance(error, UnreachableError)
        or error.code is ErrorCode.NOT_LEADER
    )


async def wait_in_force(
    client: OperatorClient,
    revision: int,
    timeout_s: float,
    sleep: Sleep,
) -> InForceAnswer:
    """Poll until all hosts have applied a revision; return the last answer.

    Only the pauses between polls count towards ``timeout_s``, so the call
    takes longer when control hosts answer slowly.
    """
    waited_s = 0.0
    while True:
        answer = await _query_in_force(client, revision)
        if answer.in_force or waited_s >= timeout_s:
            return answer
        await sleep(IN_FORCE_POLL_INTERVAL_S)
        waited_s += IN_FORCE_POLL_INTERVAL_S


async def _query_in_force(
    client: OperatorClient,
    revision: int,
) -> InForceAnswer:
    """Ask once; treat errors other than ACCESS_DENIED as not in force."""
    try:
        return await client.in_force(InForceRequest(revision))
    except SeamError as error:
        if error.code is ErrorCode.ACCESS_DENIED:
            raise
        return InForceAnswer(in_force=False)
