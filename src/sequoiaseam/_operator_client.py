"""Client of the control hosts for the command line."""

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

# A host that is cut off silently must not hold up the withdrawal of a
# key for long: three of them leave time for the promise of 5 s.
HOST_CALL_TIMEOUT: Final = timedelta(seconds=1.2)
# A control host waits for its nodes' reports in turn, 1.5 s at most.
REPORT_TIMEOUT: Final = timedelta(seconds=4)
# Covers an election, so that an edit finds the next leader.
TOTAL_TIMEOUT: Final = timedelta(seconds=10)
RETRY_SECONDS: Final = 0.2
UNSENT: Final = (ErrorCode.CONNECTION_LOST, ErrorCode.NOT_LEADER)

T = TypeVar("T")


class RpcOperatorClient:
    """Ask one control host after the other until one answers."""

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
        limit: timedelta = HOST_CALL_TIMEOUT,
    ) -> Any:
        """Return one host's answer; raise SeamError when it has none."""
        try:
            answer = await channel.call(
                CALL_PATH,
                request,
                proof=self._create_proof(),
                timeout_seconds=limit.total_seconds(),
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

    async def _ask(self, request: object, kind: type[T]) -> T:
        """Ask the hosts in turn; an edit goes on with the same id.

        A resend is safe, because the first answer to an edit id stands.
        """
        limit = self._clock.now() + TOTAL_TIMEOUT
        last = SeamError(ErrorCode.CONNECTION_LOST, "not tried")
        unknown: SeamError | None = None
        while self._clock.now() < limit:
            for channel in self._channels:
                try:
                    answer = await self._call(channel, request)
                except SeamError as error:
                    last = error
                    if error.code is ErrorCode.OUTCOME_UNKNOWN:
                        unknown = error
                    elif error.code not in UNSENT:
                        raise
                    continue
                if not isinstance(answer, kind):
                    raise SeamError(
                        ErrorCode.INTERNAL,
                        f"unexpected answer {type(answer).__name__}",
                    )
                return answer
            await asyncio.sleep(RETRY_SECONDS)
        if unknown is not None:
            raise unknown
        if last.code is ErrorCode.CONNECTION_LOST:
            raise UnreachableError("no control host answered")
        raise last

    async def apply(self, request: ApplyRequest) -> EditAnswer:
        """Replace the tables."""
        return await self._ask(request, EditAnswer)

    async def add_key(self, request: AddKeyRequest) -> EditAnswer:
        """Add a key."""
        return await self._ask(request, EditAnswer)

    async def withdraw_key(self, request: WithdrawKeyRequest) -> EditAnswer:
        """Withdraw a key."""
        return await self._ask(request, EditAnswer)

    async def drain(self, request: DrainRequest) -> EditAnswer:
        """Drain a node's backend server."""
        error = SeamError(ErrorCode.NOT_FOUND, "no such host")
        for channel in self._channels:
            try:
                answer = await self._call(channel, request)
            except SeamError as caught:
                error = caught
                continue
            if isinstance(answer, EditAnswer):
                return answer
        if error.code is ErrorCode.CONNECTION_LOST:
            raise UnreachableError("no control host answered")
        raise error

    async def replace(self, request: ReplaceRequest) -> EditAnswer:
        """Replace a control host."""
        return await self._ask(request, EditAnswer)

    async def show(self, request: ShowRequest) -> ShowAnswer:
        """Return the committed configuration."""
        return await self._ask(request, ShowAnswer)

    async def follow(
        self,
        request: FollowRequest,
    ) -> AsyncIterator[FollowEvent]:
        """Yield committed changes; move on when a host is lost."""
        after = request.after_index
        while True:
            reached = False
            for channel in self._channels:
                try:
                    async with channel.open_stream(
                        FOLLOW_PATH,
                        self._create_proof(),
                    ) as stream:
                        await stream.send_message(FollowRequest(after))
                        async for event in stream:
                            reached = True
                            after = event.index
                            yield event
                except (StreamEndedError, OSError, SeamError):
                    continue
            if not reached:
                raise UnreachableError("no control host answered")

    async def report(self, request: ReportRequest) -> ReportAnswer:
        """Return the reports of the nodes of all control hosts."""
        results = await asyncio.gather(
            *(
                self._call(channel, request, REPORT_TIMEOUT)
                for channel in self._channels
            ),
            return_exceptions=True,
        )
        answers = [one for one in results if isinstance(one, ReportAnswer)]
        if not answers:
            raise UnreachableError("no control host answered")
        reports: dict[str, HostReport] = {}
        for answer in answers:
            reports.update(answer.reports)
        missing = {name for answer in answers for name in answer.missing}
        return ReportAnswer(reports, tuple(sorted(missing - set(reports))))

    async def status(self, request: StatusRequest) -> StatusAnswer:
        """Return the state of the fleet."""
        return await self._ask(request, StatusAnswer)

    async def backup(self, request: BackupRequest) -> BackupAnswer:
        """Return a snapshot."""
        return await self._ask(request, BackupAnswer)

    async def restore(self, request: RestoreRequest) -> EditAnswer:
        """Take over a backup."""
        return await self._ask(request, EditAnswer)

    async def in_force(self, request: InForceRequest) -> InForceAnswer:
        """Return whether a revision is in force everywhere."""
        return await self._ask(request, InForceAnswer)

    async def close(self) -> None:
        """Close the connections."""
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
