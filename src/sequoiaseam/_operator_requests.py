"""Operators' requests on a control host."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatchmethod
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._commands import (
    AddKey,
    Command,
    ControlAddressSet,
    CrashReported,
    EditTables,
    MembersChanged,
    MemberState,
    ReplaceDocument,
    Restore,
    WithdrawKey,
    WitnessesAssigned,
)
from sequoiaseam._leadership import Leadership
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    BackupAnswer,
    BackupRequest,
    DrainRequest,
    EditAnswer,
    EditOutcome,
    FollowEvent,
    FollowKind,
    InForceAnswer,
    InForceRequest,
    KeySummary,
    ReplaceRequest,
    ReplicaStatus,
    ReportAnswer,
    ReportRequest,
    RestoreRequest,
    ShowAnswer,
    ShowRequest,
    StatusAnswer,
    StatusRequest,
    WithdrawKeyRequest,
)
from sequoiaseam._quarantine import QuarantineList
from sequoiaseam._replica_host import ReplicaHost
from sequoiaseam._replica_messages import ReplicaId
from sequoiaseam._replica_messages import ReplicaStatus as GroupStatus
from sequoiaseam._sessions import NodeSessions
from sequoiaseam._settings import parse_endpoint
from sequoiaseam._state import Edit, EditStatus, FleetState
from sequoiaseam._tables import KeyRecord
from sequoiaseam.const import ELECTION_TIMEOUT_MAX
from sequoiaseam.errors import ErrorCode, SeamError

EVENTS_KEPT: Final = 1000
# A replica that has not answered for this long is shown as lost; the
# leader sends a heartbeat every 150 ms.
LOST_AFTER: Final = ELECTION_TIMEOUT_MAX
# Shorter than the client's own limit, so that an answer can say so.
EDIT_TIMEOUT: Final = timedelta(seconds=3)
# Orders to drain, and looks at the member's state after each; together
# shorter than the client's limit.
DRAIN_ATTEMPTS: Final = 5
DRAIN_POLLS: Final = 10
DRAIN_POLL_SECONDS: Final = 0.05
OUTCOMES: Final = {
    EditStatus.ACCEPTED: EditOutcome.ACCEPTED,
    EditStatus.CONFLICT: EditOutcome.CONFLICT,
    EditStatus.INVALID: EditOutcome.INVALID,
    EditStatus.NOT_FOUND: EditOutcome.NOT_FOUND,
}


def create_unconfirmed() -> SeamError:
    """Return the error of a read that another host may well answer."""
    return SeamError(
        ErrorCode.NOT_LEADER,
        "no majority has answered in time",
    )


class FollowEventLog:
    """The newest committed changes, for those who follow them."""

    def __init__(self) -> None:
        self._events: deque[FollowEvent] = deque(maxlen=EVENTS_KEPT)
        self._changed = asyncio.Event()

    def record(self, state: FleetState, command: Command) -> None:
        """Add the event of a command that was applied."""
        event = describe_command(state, command)
        if event is not None:
            self._events.append(event)
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait(self, after: int) -> list[FollowEvent]:
        """Return the events after an index, waiting for one."""
        while True:
            found = [event for event in self._events if event.index > after]
            if found:
                return found
            await self._changed.wait()


def describe_command(
    state: FleetState,
    command: Command,
) -> FollowEvent | None:
    """Return the event of a command; None if it had no effect."""
    if isinstance(command, Edit):
        result = state.find_result(command.edit_id)
        accepted = (
            result is not None
            and result.status is EditStatus.ACCEPTED
            and result.index == state.index
        )
        return _describe_edit(state, command) if accepted else None
    if isinstance(command, MembersChanged):
        names = [member.name for member in command.updated]
        left = sorted(command.left or {})
        text = f"updated {', '.join(names) or 'none'}"
        if left:
            text += f"; left {', '.join(left)}"
        return _create_event(state, FollowKind.MEMBERS, text)
    if isinstance(command, WitnessesAssigned):
        text = f"{len(command.groups)} shards assigned"
        return _create_event(state, FollowKind.WITNESSES, text)
    if isinstance(command, CrashReported):
        text = f"crash {command.crash_id}"
        return _create_event(state, FollowKind.QUARANTINE, text)
    return None


def _create_event(
    state: FleetState,
    kind: FollowKind,
    text: str,
) -> FollowEvent:
    return FollowEvent(state.index, state.revision, kind, text)


def _describe_edit(
    state: FleetState,
    command: Edit,
) -> FollowEvent:
    tables = None
    if isinstance(command, EditTables | Restore | ReplaceDocument):
        kind, tables = FollowKind.TABLES, command.tables
        text = f"{len(tables.routes)} routes, {len(tables.pools)} pools"
    elif isinstance(command, AddKey):
        kind = FollowKind.KEY_ADDED
        text = f"{command.key.key_id} for {command.key.workspace}"
    else:
        kind, text = FollowKind.KEY_WITHDRAWN, command.key_id
    return FollowEvent(
        state.index,
        state.revision,
        kind,
        text,
        command.operator,
        tables,
    )


def describe_replica(
    now: datetime,
    status: GroupStatus,
    replica: ReplicaId,
) -> ReplicaStatus:
    """Return a replica's row as its leader sees it."""
    heard: timedelta | None = timedelta(0)
    match = status.last_index
    if replica == status.replica:
        role = status.role.value
    else:
        voters = status.membership.voters if status.membership else ()
        role = "voter" if replica in voters else "learner"
        match = dict(status.matches).get(replica.host, 0)
        acked = dict(status.acked).get(replica.host)
        heard = now - acked if acked is not None else None
        if heard is None or heard > LOST_AFTER:
            role = "lost"
    return ReplicaStatus(
        replica.host,
        replica.identity,
        role,
        match,
        heard,
    )


@dataclass(frozen=True, slots=True)
class OperatorRequestHooks:
    """What operations need of their control host."""

    get_leadership: Callable[[], Leadership | None]
    wait_until_applied: Callable[[int], Awaitable[None]]
    find_revision_index: Callable[[int], int]


class OperatorRequestHandler:
    """Answer operators' requests, each with its typed answer."""

    def __init__(
        self,
        get_state: Callable[[], FleetState],
        host: ReplicaHost,
        sessions: NodeSessions,
        clock: Clock,
        hooks: OperatorRequestHooks,
    ) -> None:
        self._get_state = get_state
        self._host = host
        self._sessions = sessions
        self._clock = clock
        self._hooks = hooks

    async def handle_request(self, request: Any) -> object:
        """Return the answer; raise SeamError when there is none."""
        answer: object = await self._handle(request)
        return answer

    @singledispatchmethod
    async def _handle(self, request: Any) -> object:
        raise SeamError(
            ErrorCode.BAD_REQUEST,
            f"{type(request).__name__} is not an operator's request",
        )

    @_handle.register
    async def _(self, request: ApplyRequest) -> object:
        return await self._edit(
            EditTables(
                request.edit_id,
                request.operator,
                request.base_revision,
                request.tables,
            ),
        )

    @_handle.register
    async def _(self, request: AddKeyRequest) -> object:
        key = KeyRecord(request.key_id, request.digest, request.workspace)
        return await self._edit(
            AddKey(request.edit_id, request.operator, None, key),
        )

    @_handle.register
    async def _(self, request: WithdrawKeyRequest) -> object:
        return await self._edit(
            WithdrawKey(
                request.edit_id,
                request.operator,
                None,
                request.key_id,
            ),
        )

    async def replace_document(self, command: ReplaceDocument) -> EditAnswer:
        """Commit a whole document; a resend gets the first answer."""
        return await self._edit(command)

    async def read_document(self) -> bytes:
        """Return the newest document as it was sent, b"" if none was.

        Raise SeamError where this host can't be sure that it is.
        """
        await self._catch_up()
        return self._get_state().document

    async def _edit(self, command: Edit) -> EditAnswer:
        """Commit an edit; a resend gets the first answer."""
        try:
            async with asyncio.timeout(EDIT_TIMEOUT.total_seconds()):
                index = await self._host.propose(command)
                await self._hooks.wait_until_applied(index)
        except TimeoutError as error:
            raise SeamError(
                ErrorCode.OUTCOME_UNKNOWN,
                "no majority has answered in time",
            ) from error
        result = self._get_state().find_result(command.edit_id)
        if result is None:
            raise SeamError(ErrorCode.INTERNAL, "the edit has no result")
        return EditAnswer(
            result.edit_id,
            OUTCOMES[result.status],
            result.revision,
            result.message,
        )

    @_handle.register
    async def _(self, _: ShowRequest) -> object:
        await self._catch_up()
        state = self._get_state()
        return ShowAnswer(
            state.revision,
            state.index,
            state.tables,
            tuple(
                KeySummary(key.key_id, key.workspace)
                for key in state.keys.values()
            ),
            tuple(state.members.values()),
        )

    async def _catch_up(self) -> None:
        """Wait until the state has all that was acknowledged before."""
        try:
            async with asyncio.timeout(EDIT_TIMEOUT.total_seconds()):
                index = await self._host.read_barrier()
                await self._hooks.wait_until_applied(index)
        except TimeoutError as error:
            raise create_unconfirmed() from error
        except SeamError as error:
            if error.code is ErrorCode.TIMEOUT:
                raise create_unconfirmed() from error
            raise

    @_handle.register
    async def _(self, _: ReportRequest) -> object:
        reports = await self._sessions.pull_reports()
        missing = set(self._get_state().members) - set(reports)
        return ReportAnswer(reports, tuple(sorted(missing)))

    @_handle.register
    async def _(self, _: StatusRequest) -> object:
        leadership = self._require_leadership()
        state = self._get_state()
        status = self._host.replica.status()
        quarantine = QuarantineList()
        for report in state.quarantine:
            quarantine.apply(report)
        return StatusAnswer(
            leader=status.leader or "",
            term=status.term,
            commit_index=status.commit_index,
            revision=state.revision,
            replicas=self._list_replicas(),
            members=tuple(state.members.values()),
            lagging=leadership.find_lagging(state.index),
            quarantined=len(
                quarantine.list_quarantined(self._clock.now()),
            ),
        )

    def _list_replicas(self) -> tuple[ReplicaStatus, ...]:
        status = self._host.replica.status()
        if status.membership is None:
            return ()
        now = self._clock.now()
        return tuple(
            describe_replica(now, status, replica)
            for replica in status.membership.replicas
        )

    @_handle.register
    async def _(self, request: DrainRequest) -> object:
        """Order the drain until the fleet has it on record.

        The node may be leaving this host for another one, where the
        operator's client asks next.
        """
        for _attempt in range(DRAIN_ATTEMPTS):
            if not self._sessions.drain(request.host):
                raise SeamError(
                    ErrorCode.NOT_FOUND,
                    f"no host {request.host!r} is attached here",
                )
            for _poll in range(DRAIN_POLLS):
                await asyncio.sleep(DRAIN_POLL_SECONDS)
                if self._is_draining(request.host):
                    return EditAnswer(
                        request.edit_id,
                        EditOutcome.ACCEPTED,
                        self._get_state().revision,
                    )
        raise SeamError(
            ErrorCode.OUTCOME_UNKNOWN,
            "the host has not said that it drains",
        )

    def _is_draining(self, host: str) -> bool:
        member = self._get_state().members.get(host)
        return member is not None and member.state is MemberState.DRAINING

    @_handle.register
    async def _(self, request: ReplaceRequest) -> object:
        if request.new:
            endpoint = parse_endpoint(request.new)
            await self._host.propose(
                ControlAddressSet(
                    request.new_name,
                    endpoint.host,
                    endpoint.port,
                ),
            )
        await self._host.replace(request.old, request.new_name)
        return EditAnswer(
            request.edit_id,
            EditOutcome.ACCEPTED,
            self._get_state().revision,
        )

    @_handle.register
    async def _(self, _: BackupRequest) -> object:
        await self._catch_up()
        state = self._get_state()
        return BackupAnswer(state.index, state.revision, state.dump())

    @_handle.register
    async def _(self, request: RestoreRequest) -> object:
        state = FleetState.load(request.data)
        return await self._edit(
            Restore(
                request.edit_id,
                request.operator,
                state.revision,
                state.tables,
                tuple(state.keys.values()),
            ),
        )

    @_handle.register
    async def _(self, request: InForceRequest) -> object:
        leadership = self._require_leadership()
        state = self._get_state()
        if state.revision < request.revision:
            return InForceAnswer(
                in_force=False,
                lagging=tuple(sorted(state.members)),
            )
        lagging = leadership.find_lagging(
            self._hooks.find_revision_index(request.revision),
        )
        return InForceAnswer(in_force=not lagging, lagging=lagging)

    def _require_leadership(self) -> Leadership:
        leadership = self._hooks.get_leadership()
        if leadership is None:
            raise SeamError(ErrorCode.NOT_LEADER, "this host doesn't lead")
        return leadership
