"""Handling of operator requests on a control host."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatchmethod
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec, EncodedMessage
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
    SetEvacuation,
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
    EvacuateRequest,
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
from sequoiaseam._replica_messages import ReplicaId
from sequoiaseam._replica_messages import ReplicaStatus as ReplicaGroupStatus
from sequoiaseam._replica_runner import ReplicaRunner
from sequoiaseam._sessions import NodeSessions
from sequoiaseam._settings import parse_endpoint
from sequoiaseam._state import Edit, EditStatus, FleetState
from sequoiaseam._tables import KeyRecord, find_problems
from sequoiaseam.const import ELECTION_TIMEOUT_MAX
from sequoiaseam.errors import ErrorCode, SeamError

MAX_RETAINED_EVENTS: Final = 1000
# Total size of the retained events, encoded.
RETAINED_EVENTS_MAX_BYTES: Final = 4 * 1024 * 1024
FOLLOW_EVENT_CODEC: Final = Codec((FollowEvent,))
# A replica that has not acknowledged a message for this long is reported as
# lost; the leader sends a heartbeat every 150 ms.
REPLICA_LOST_TIMEOUT: Final = ELECTION_TIMEOUT_MAX
# Bounds the wait for a majority in an edit or a consistent read. Shorter
# than the client's REQUEST_TIMEOUT, so that the answer can report it within
# the request; the client's HOST_CALL_TIMEOUT may end first.
QUORUM_TIMEOUT: Final = timedelta(seconds=3)
# Number of drain orders, and of checks of the member's state after each.
# Together they take 2.5 s, which is less than the client's REQUEST_TIMEOUT.
MAX_DRAIN_ATTEMPTS: Final = 5
DRAIN_POLLS_PER_ATTEMPT: Final = 10
DRAIN_POLL_INTERVAL_SECONDS: Final = 0.05
OUTCOME_BY_STATUS: Final = {
    EditStatus.ACCEPTED: EditOutcome.ACCEPTED,
    EditStatus.CONFLICT: EditOutcome.CONFLICT,
    EditStatus.INVALID: EditOutcome.INVALID,
    EditStatus.NOT_FOUND: EditOutcome.NOT_FOUND,
}


def create_unconfirmed_read_error() -> SeamError:
    """Create the error of a read that another host may be able to answer."""
    return SeamError(
        ErrorCode.NOT_LEADER,
        "no majority has answered in time",
    )


@dataclass(frozen=True, slots=True)
class _RetainedEvent:
    """An encoded event, which takes far less memory than its tables."""

    index: int
    encoded: EncodedMessage


class FollowEventLog:
    """The newest committed changes, for the operators who follow them.

    Both the number of events and their total size are limited.
    """

    def __init__(self) -> None:
        self._events: deque[_RetainedEvent] = deque()
        self._size_bytes = 0
        self._changed = asyncio.Event()

    def record(self, state: FleetState, command: Command) -> None:
        """Append the event of an applied command, if it had an effect."""
        event = describe_command(state, command)
        if event is None:
            return
        encoded = FOLLOW_EVENT_CODEC.encode_compressed(event)
        self._events.append(_RetainedEvent(event.index, encoded))
        self._size_bytes += len(encoded.content)
        while len(self._events) > 1 and (
            len(self._events) > MAX_RETAINED_EVENTS
            or self._size_bytes > RETAINED_EVENTS_MAX_BYTES
        ):
            removed = self._events.popleft()
            self._size_bytes -= len(removed.encoded.content)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, after_index: int) -> FollowEvent:
        """Return the first event after a log index, waiting for one."""
        while True:
            for event in self._events:
                if event.index > after_index:
                    return _decode_event(event.encoded)
            await self._changed.wait()


def _decode_event(encoded: EncodedMessage) -> FollowEvent:
    decode = (
        FOLLOW_EVENT_CODEC.decode_compressed
        if encoded.compressed
        else FOLLOW_EVENT_CODEC.decode
    )
    event: FollowEvent = decode(encoded.content)
    return event


def describe_command(
    state: FleetState,
    command: Command,
) -> FollowEvent | None:
    """Return the event of an applied command, None if it had no effect."""
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
        departed_names = sorted(command.left or {})
        summary = f"updated {', '.join(names) or 'none'}"
        if departed_names:
            summary += f"; left {', '.join(departed_names)}"
        return _create_event(state, FollowKind.MEMBERS, summary)
    if isinstance(command, WitnessesAssigned):
        summary = f"{len(command.groups)} shards assigned"
        return _create_event(state, FollowKind.WITNESSES, summary)
    if isinstance(command, CrashReported):
        summary = f"crash {command.crash_id}"
        return _create_event(state, FollowKind.QUARANTINE, summary)
    return None


def _create_event(
    state: FleetState,
    kind: FollowKind,
    summary: str,
) -> FollowEvent:
    return FollowEvent(state.index, state.revision, kind, summary)


def _describe_edit(
    state: FleetState,
    command: Edit,
) -> FollowEvent:
    tables = None
    if isinstance(command, EditTables | Restore | ReplaceDocument):
        kind, tables = FollowKind.TABLES, command.tables
        summary = f"{len(tables.routes)} routes, {len(tables.pools)} pools"
    elif isinstance(command, AddKey):
        kind = FollowKind.KEY_ADDED
        summary = f"{command.key.key_id} for {command.key.workspace}"
    elif isinstance(command, SetEvacuation):
        kind = FollowKind.EVACUATION
        state_name = "evacuated" if command.evacuated else "in service"
        summary = f"{command.domain} {state_name}"
    else:
        kind, summary = FollowKind.KEY_WITHDRAWN, command.key_id
    return FollowEvent(
        state.index,
        state.revision,
        kind,
        summary,
        command.operator,
        tables,
    )


def describe_replica(
    now: datetime,
    status: ReplicaGroupStatus,
    replica: ReplicaId,
) -> ReplicaStatus:
    """Return the status of a replica as seen by the leader."""
    since_heard: timedelta | None = timedelta(0)
    match_index = status.last_index
    if replica == status.replica:
        role = status.role.value
    else:
        voters = status.membership.voters if status.membership else ()
        role = "voter" if replica in voters else "learner"
        match_index = dict(status.match_indexes).get(replica.host, 0)
        acked = dict(status.acked_at).get(replica.host)
        since_heard = now - acked if acked is not None else None
        if since_heard is None or since_heard > REPLICA_LOST_TIMEOUT:
            role = "lost"
    return ReplicaStatus(
        replica.host,
        replica.identity,
        role,
        match_index,
        since_heard,
    )


@dataclass(frozen=True, slots=True)
class OperatorRequestHooks:
    """Callbacks through which requests use their control host."""

    get_leadership: Callable[[], Leadership | None]
    wait_until_applied: Callable[[int], Awaitable[None]]
    find_revision_index: Callable[[int], int]


class OperatorRequestHandler:
    """Answer each operator request with an answer of the matching type."""

    def __init__(
        self,
        get_state: Callable[[], FleetState],
        replica_runner: ReplicaRunner,
        sessions: NodeSessions,
        clock: Clock,
        hooks: OperatorRequestHooks,
    ) -> None:
        self._get_state = get_state
        self._replica_runner = replica_runner
        self._sessions = sessions
        self._clock = clock
        self._hooks = hooks

    async def handle_request(self, request: Any) -> object:
        """Return the answer to a request; raise SeamError if it fails."""
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
        return await self._commit_edit(
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
        return await self._commit_edit(
            AddKey(request.edit_id, request.operator, None, key),
        )

    @_handle.register
    async def _(self, request: WithdrawKeyRequest) -> object:
        return await self._commit_edit(
            WithdrawKey(
                request.edit_id,
                request.operator,
                None,
                request.key_id,
            ),
        )

    @_handle.register
    async def _(self, request: EvacuateRequest) -> object:
        return await self.set_evacuation(
            SetEvacuation(
                request.edit_id,
                request.operator,
                request.domain,
                request.evacuated,
            ),
        )

    async def set_evacuation(self, command: SetEvacuation) -> EditAnswer:
        """Commit the evacuation of a failure domain, or its end."""
        return await self._commit_edit(command)

    async def replace_document(self, command: ReplaceDocument) -> EditAnswer:
        """Commit a whole document; a repeat returns the first answer."""
        return await self._commit_edit(command)

    async def read_document(self) -> bytes:
        """Return the newest document as it was sent, b"" if there is none.

        Raise SeamError if this host can't confirm that it is the newest.
        """
        await self._wait_for_read_barrier()
        return self._get_state().document

    async def _commit_edit(self, command: Edit) -> EditAnswer:
        """Commit an edit; a repeat of its edit ID returns the first result."""
        if isinstance(command, EditTables | Restore | ReplaceDocument):
            # An unexpected error must occur here and not when each host
            # applies the entry, which would end all of them at every start.
            find_problems(command.tables)
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT.total_seconds()):
                index = await self._replica_runner.propose(command)
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
            OUTCOME_BY_STATUS[result.status],
            result.revision,
            result.message,
        )

    @_handle.register
    async def _(self, _: ShowRequest) -> object:
        await self._wait_for_read_barrier()
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
            state.evacuated_domains,
        )

    async def _wait_for_read_barrier(self) -> None:
        """Wait until the state includes all edits acknowledged before.

        Raise SeamError NOT_LEADER if no majority confirms that in time.
        """
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT.total_seconds()):
                index = await self._replica_runner.read_barrier()
                await self._hooks.wait_until_applied(index)
        except TimeoutError as error:
            raise create_unconfirmed_read_error() from error
        except SeamError as error:
            if error.code is ErrorCode.TIMEOUT:
                raise create_unconfirmed_read_error() from error
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
        status = self._replica_runner.replica.status()
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
        status = self._replica_runner.replica.status()
        if status.membership is None:
            return ()
        now = self._clock.now()
        members = tuple(
            describe_replica(now, status, replica)
            for replica in status.membership.replicas
        )
        waiting = tuple(
            ReplicaStatus(replica.host, replica.identity, "waiting", 0, None)
            for replica in status.waiting
        )
        return members + waiting

    @_handle.register
    async def _(self, request: DrainRequest) -> object:
        """Repeat the drain order until the committed state shows it.

        Orders can be lost while the node moves to another control host,
        which the operator's client asks next.
        """
        for _attempt in range(MAX_DRAIN_ATTEMPTS):
            if not self._sessions.drain(request.host):
                raise SeamError(
                    ErrorCode.NOT_FOUND,
                    f"no host {request.host!r} is attached here",
                )
            for _poll in range(DRAIN_POLLS_PER_ATTEMPT):
                await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
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
            await self._replica_runner.propose(
                ControlAddressSet(
                    request.new_name,
                    endpoint.host,
                    endpoint.port,
                ),
            )
        await self._replica_runner.replace(request.old, request.new_name)
        return EditAnswer(
            request.edit_id,
            EditOutcome.ACCEPTED,
            self._get_state().revision,
        )

    @_handle.register
    async def _(self, _: BackupRequest) -> object:
        await self._wait_for_read_barrier()
        state = self._get_state()
        return BackupAnswer(state.index, state.revision, state.dump())

    @_handle.register
    async def _(self, request: RestoreRequest) -> object:
        state = FleetState.load(request.data)
        return await self._commit_edit(
            Restore(
                request.edit_id,
                request.operator,
                state.revision,
                state.tables,
                tuple(state.keys.values()),
                state.evacuated_domains,
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
