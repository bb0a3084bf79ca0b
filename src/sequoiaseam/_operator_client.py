"""Client that the command line uses to call the control hosts."""

import asyncio
import os
from collections.abc import AsyncIterator, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, TypeVar

from sequoiaseam._access import Credentials, Role
from sequoiaseam._clock import Clock, ProcessClock
from sequoiaseam._control_messages import (
    CALL_PATH,
    FOLLOW_PATH,
    Failure,
    create_control_codec,
)
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    BackupAnswer,
    BackupRequest,
    DrainRequest,
    EditAnswer,
    EvacuateRequest,
    FollowEvent,
    FollowRequest,
    HostReport,
    InForceAnswer,
    InForceRequest,
    ReplaceRequest,
    ReportAnswer,
    ReportRequest,
    RestoreRequest,
    ShowAnswer,
    ShowRequest,
    StatusAnswer,
    StatusRequest,
    UnreachableError,
    WithdrawKeyRequest,
)
from sequoiaseam._rpc import Channel, StreamEndedError
from sequoiaseam._settings import Endpoint, load_secrets
from sequoiaseam.errors import ErrorCode, SeamError

# Short enough that unresponsive control hosts don't delay the withdrawal
# of a key past its guaranteed 5 s, even if three of them are tried first.
HOST_CALL_TIMEOUT: Final = timedelta(seconds=1.2)
# A control host itself waits up to 1.5 s for the reports of its nodes.
REPORT_CALL_TIMEOUT: Final = timedelta(seconds=4)
# Bounds a request over all hosts and retries. Exceeds the time that an
# election takes, so that an edit reaches the next leader.
REQUEST_TIMEOUT: Final = timedelta(seconds=10)
RETRY_INTERVAL_SECONDS: Final = 0.2
NOT_EXECUTED_CODES: Final = (ErrorCode.CONNECTION_LOST, ErrorCode.NOT_LEADER)

T = TypeVar("T")


class RpcOperatorClient:
    """Send each request to the control hosts in turn until one answers."""

    def __init__(
        self,
        endpoints: Sequence[Endpoint],
        credentials: Credentials,
        clock: Clock,
        operator: str,
    ) -> None:
        self._codec = create_control_codec()
        self._credentials = credentials
        self._clock = clock
        self._operator = operator
        self._channels: list[Channel] = [
            Channel(endpoint.host, endpoint.port, self._codec)
            for endpoint in endpoints
        ]

    def _create_proof(self) -> str:
        return self._credentials.sign(
            self._clock.now(),
            Role.OPERATOR,
            self._operator,
            os.urandom(16).hex(),
        )

    async def _call(
        self,
        channel: Channel,
        request: object,
        call_timeout: timedelta = HOST_CALL_TIMEOUT,
    ) -> Any:
        """Return one host's answer; raise SeamError if there is none."""
        try:
            answer = await channel.call(
                CALL_PATH,
                request,
                proof=self._create_proof(),
                timeout_seconds=call_timeout.total_seconds(),
            )
        except (StreamEndedError, TimeoutError) as error:
            raise SeamError(
                ErrorCode.OUTCOME_UNKNOWN,
                "the answer was lost",
            ) from error
        except OSError as error:
            raise SeamError(
                ErrorCode.CONNECTION_LOST,
                "no connection",
            ) from error
        if isinstance(answer, Failure):
            raise SeamError(ErrorCode(answer.code), answer.message)
        return answer

    async def _request_any_host(
        self, request: object, answer_type: type[T]
    ) -> T:
        """Try the hosts in turn until one answers or the time is up.

        Resending an edit is safe: it keeps its edit ID, and the control
        hosts return the first result of an ID for every repeat.
        """
        deadline = self._clock.now() + REQUEST_TIMEOUT
        last_error = SeamError(ErrorCode.CONNECTION_LOST, "not tried")
        unknown_error: SeamError | None = None
        while self._clock.now() < deadline:
            for channel in self._channels:
                try:
                    answer = await self._call(channel, request)
                except SeamError as error:
                    last_error = error
                    if error.code is ErrorCode.OUTCOME_UNKNOWN:
                        unknown_error = error
                    elif error.code not in NOT_EXECUTED_CODES:
                        raise
                    continue
                if not isinstance(answer, answer_type):
                    raise SeamError(
                        ErrorCode.INTERNAL,
                        f"unexpected answer {type(answer).__name__}",
                    )
                return answer
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        if unknown_error is not None:
            raise unknown_error
        if last_error.code is ErrorCode.CONNECTION_LOST:
            raise UnreachableError("no control host answered")
        raise last_error

    async def apply(self, request: ApplyRequest) -> EditAnswer:
        """Replace the tables."""
        return await self._request_any_host(request, EditAnswer)

    async def add_key(self, request: AddKeyRequest) -> EditAnswer:
        """Add a key."""
        return await self._request_any_host(request, EditAnswer)

    async def withdraw_key(self, request: WithdrawKeyRequest) -> EditAnswer:
        """Withdraw a key."""
        return await self._request_any_host(request, EditAnswer)

    async def drain(self, request: DrainRequest) -> EditAnswer:
        """Drain a node's backend server.

        Only the control host that the node is attached to can order it, and
        that one may have done so although its answer is lost.
        """
        error = SeamError(ErrorCode.NOT_FOUND, "no such host")
        for channel in self._channels:
            try:
                answer = await self._call(channel, request)
            except SeamError as caught:
                if error.code is not ErrorCode.OUTCOME_UNKNOWN:
                    error = caught
                continue
            if isinstance(answer, EditAnswer):
                return answer
        if error.code is ErrorCode.CONNECTION_LOST:
            raise UnreachableError("no control host answered")
        raise error

    async def evacuate(self, request: EvacuateRequest) -> EditAnswer:
        """Evacuate a failure domain, or end its evacuation."""
        return await self._request_any_host(request, EditAnswer)

    async def replace(self, request: ReplaceRequest) -> EditAnswer:
        """Replace a control host."""
        return await self._request_any_host(request, EditAnswer)

    async def show(self, request: ShowRequest) -> ShowAnswer:
        """Return the committed configuration."""
        return await self._request_any_host(request, ShowAnswer)

    async def follow(
        self,
        request: FollowRequest,
    ) -> AsyncIterator[FollowEvent]:
        """Yield committed changes; resume at another host on failure."""
        after_index = request.after_index
        while True:
            reached = False
            for channel in self._channels:
                try:
                    async with channel.open_stream(
                        FOLLOW_PATH,
                        self._create_proof(),
                    ) as stream:
                        await stream.send_message(FollowRequest(after_index))
                        async for event in stream:
                            reached = True
                            after_index = event.index
                            yield event
                except (StreamEndedError, OSError, SeamError):
                    continue
            if not reached:
                raise UnreachableError("no control host answered")

    async def report(self, request: ReportRequest) -> ReportAnswer:
        """Merge the reports that all control hosts have of their nodes."""
        results = await asyncio.gather(
            *(
                self._call(channel, request, REPORT_CALL_TIMEOUT)
                for channel in self._channels
            ),
            return_exceptions=True,
        )
        answers = [
            result for result in results if isinstance(result, ReportAnswer)
        ]
        if not answers:
            raise UnreachableError("no control host answered")
        reports: dict[str, HostReport] = {}
        for answer in answers:
            reports.update(answer.reports)
        missing = {name for answer in answers for name in answer.missing}
        return ReportAnswer(reports, tuple(sorted(missing - set(reports))))

    async def status(self, request: StatusRequest) -> StatusAnswer:
        """Return the state of the fleet."""
        return await self._request_any_host(request, StatusAnswer)

    async def backup(self, request: BackupRequest) -> BackupAnswer:
        """Return a snapshot."""
        return await self._request_any_host(request, BackupAnswer)

    async def restore(self, request: RestoreRequest) -> EditAnswer:
        """Restore a backup into an empty group."""
        return await self._request_any_host(request, EditAnswer)

    async def in_force(self, request: InForceRequest) -> InForceAnswer:
        """Return whether all nodes have applied a revision."""
        return await self._request_any_host(request, InForceAnswer)

    async def close(self) -> None:
        """Discard the channels; connections are closed after each call."""
        self._channels.clear()


def connect(
    addresses: Sequence[Endpoint],
    secrets_path: Path,
    operator: str = "operator",
) -> RpcOperatorClient:
    """Return a client; raise SeamError if the secrets are unusable."""
    secrets = load_secrets(secrets_path, ("operators",))
    return RpcOperatorClient(
        addresses,
        Credentials(secrets.fleet, secrets.operators),
        ProcessClock(),
        operator,
    )
