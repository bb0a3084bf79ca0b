"""Edits as an operator makes them: preview, confirmation, outcome."""

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

# Waits between attempts, in seconds. Together longer than an election
# and the loss of a control host take.
SUBMIT_RETRY_DELAYS_S: Final = (0.5, 1.0, 2.0, 4.0)
IN_FORCE_POLL_S: Final = 0.5
# An edit that removes more rows than this, or more than this share of
# them, is probably made with the wrong or a truncated file.
REMOVED_ROWS_MAX: Final = 5
REMOVED_SHARE_MAX: Final = 0.25


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
    """Return whether so many rows would vanish that it may be a slip."""
    removed = sum(c.kind is ChangeKind.REMOVED for c in changes)
    share = removed / max(count_rows(old), 1)
    return removed > REMOVED_ROWS_MAX or share > REMOVED_SHARE_MAX


def format_changes(changes: Sequence[RowChange]) -> str:
    """Return the changes as lines, one for each row and column."""
    marks = {
        ChangeKind.ADDED: "+",
        ChangeKind.REMOVED: "-",
        ChangeKind.CHANGED: "~",
    }
    lines: list[str] = []
    for change in changes:
        mark = marks[change.kind]
        lines.append(f"{mark} [{change.table} {change.row}]")
        for column in change.columns:
            match change.kind:
                case ChangeKind.ADDED:
                    value = column.new
                case ChangeKind.REMOVED:
                    value = column.old
                case ChangeKind.CHANGED:
                    value = f"{column.old} -> {column.new}"
            lines.append(f"{mark}     {column.column} = {value}")
    return "\n".join(lines)


async def submit_edit(
    edit_id: str,
    send: Callable[[], Awaitable[EditAnswer]],
    sleep: Sleep,
) -> EditAnswer:
    """Send an edit until its outcome is known, or attempts run out.

    ``send`` must send the same edit ID each time, so that the edit takes
    effect once at most. The answer is UNKNOWN if any attempt was sent
    and none was answered: the edit may take effect yet. SeamError is
    raised only for an edit that certainly has no effect.
    """
    unknown: EditAnswer | None = None
    last_error: SeamError | None = None
    for delay in (*SUBMIT_RETRY_DELAYS_S, None):
        try:
            answer = await send()
        except SeamError as error:
            last_error = error
            if error.code is ErrorCode.OUTCOME_UNKNOWN:
                unknown = _make_unknown(edit_id, error.message)
            elif not _is_transient(error):
                if unknown is not None:
                    # The refusal is of this attempt; an earlier one may
                    # have taken effect.
                    return replace(unknown, message=error.message)
                raise
        else:
            if answer.outcome is not EditOutcome.UNKNOWN:
                return answer
            unknown = answer
        if delay is not None:
            await sleep(delay)
    if unknown is not None:
        return unknown
    assert last_error is not None  # noqa: S101 - each attempt sets one
    raise last_error


def _make_unknown(edit_id: str, message: str) -> EditAnswer:
    return EditAnswer(edit_id, EditOutcome.UNKNOWN, 0, message)


def _is_transient(error: SeamError) -> bool:
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
    """Poll until all hosts have a revision; return the last answer.

    The time spent waiting for answers is not counted, so it may take
    longer than ``timeout_s`` seconds when control hosts answer slowly.
    """
    waited_s = 0.0
    while True:
        answer = await _ask_in_force(client, revision)
        if answer.in_force or waited_s >= timeout_s:
            return answer
        await sleep(IN_FORCE_POLL_S)
        waited_s += IN_FORCE_POLL_S


async def _ask_in_force(
    client: OperatorClient,
    revision: int,
) -> InForceAnswer:
    """Ask once; a control host that can't answer is no proof."""
    try:
        return await client.in_force(InForceRequest(revision))
    except SeamError as error:
        if error.code is ErrorCode.ACCESS_DENIED:
            raise
        return InForceAnswer(in_force=False)
