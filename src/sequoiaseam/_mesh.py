"""Calls on other nodes, multiplexed over plain TCP connections.

Each node opens its own connection to every node that it calls: the side
that opened it sends calls, the other side sends the results. A large body
of an answer is granted once it fits into this node's memory.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial
from typing import Any, Final

import msgspec

from sequoiaseam._clock import Clock
from sequoiaseam._listeners import connect
from sequoiaseam._logs import Level, describe_error, log_event
from sequoiaseam._memory import LARGE_MIN_BYTES, MemoryBudget
from sequoiaseam._mesh_bodies import (
    IncomingAnswer,
    UnexpectedFrameError,
    create_incomplete_refusal,
)
from sequoiaseam._mesh_connection import FrameConnection, FrameTooLongError
from sequoiaseam._mesh_frames import (
    BodyPart,
    MeshLeave,
    MeshPing,
    RunAnswer,
    RunCall,
    RunCancel,
    RunRefusal,
    RunResult,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._silence import SilenceTimer
from sequoiaseam._tasks import TaskGroup, run_each
from sequoiaseam.const import CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
from sequoiaseam.errors import ErrorCode

CONNECT_TIMEOUT: Final = timedelta(seconds=1)
# A link without calls for this long is closed, so that in a large fleet a
# node holds and checks only the connections that it uses.
LINK_IDLE_TIMEOUT: Final = timedelta(seconds=10)

ResultCallback = Callable[[RunResult | None], None]
SilenceCallback = Callable[[], None]


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call without a result."""

    on_result: ResultCallback
    on_silence: SilenceCallback
    answer: IncomingAnswer | None = None

    def finish(self, result: RunResult | None) -> None:
        """Pass on the result, and release the memory of an answer."""
        try:
            self.on_result(result)
        finally:
            self.release()

    def release(self) -> None:
        """Release the memory of an answer."""
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.release()


class _PendingCalls:
    """Calls on one connection that wait for their results."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.by_id: dict[int, _PendingCall] = {}

    def read_result(
        self, frame: Any, connection: FrameConnection
    ) -> RunResult | None:
        """Return the result of a call if the frame completes one."""
        if isinstance(frame, RunAnswer):
            if frame.body_length:
                return self._await_body(frame, connection)
            return frame
        if isinstance(frame, RunRefusal):
            return frame
        if isinstance(frame, BodyPart):
            call = self.by_id.get(frame.call_id)
            if call is None:
                # Sent before the other node learned that it was cancelled.
                return None
            if call.answer is None:
                msg = "body part of no answer"
                raise UnexpectedFrameError(msg)
            return call.answer.add(frame.data)
        return None

    def _await_body(
        self, announced: RunAnswer, connection: FrameConnection
    ) -> RunResult | None:
        """Wait for the body of an answer, or give up one that never fits."""
        call = self.by_id.get(announced.call_id)
        if call is None:
            return None
        if call.answer is not None or announced.body:
            msg = "body announced twice"
            raise UnexpectedFrameError(msg)
        if announced.body_length > self._budget.largest_response_bytes:
            connection.post(RunCancel(announced.call_id))
            return create_incomplete_refusal(announced)
        call.answer = IncomingAnswer(announced, self._budget, connection.post)
        return None

    def take(
        self, call_id: int, connection: FrameConnection
    ) -> _PendingCall | None:
        """Remove a call that has ended, and stop sending its body."""
        if connection.drop_body(call_id):
            connection.post(RunCancel(call_id))
        return self.by_id.pop(call_id, None)


class _SilentConnection:
    """Connection to a silent node with calls in progress.

    The node may only be late, and a result may still come by the deadline of
    the call.
    """

    def __init__(
        self,
        connection: FrameConnection,
        pending: _PendingCalls,
        on_end: Callable[["_SilentConnection"], None],
    ) -> None:
        self._connection = connection
        self._pending = pending
        self._on_end = on_end
        connection.change_owner(self._handle_frame, self._handle_close)

    def _handle_frame(self, frame: Any) -> None:
        if isinstance(frame, MeshLeave):
            for call_id in [
                i for i in self._pending.by_id if i > frame.last_call_id
            ]:
                self._finish(call_id, create_unsent_refusal(call_id))
            return
        result = self._pending.read_result(frame, self._connection)
        if result is not None:
            self._finish(result.call_id, result)

    def _finish(self, call_id: int, result: RunResult) -> None:
        call = self._pending.take(call_id, self._connection)
        self._close_if_unused()
        if call is not None:
            call.finish(result)

    def cancel(self, call_id: int) -> None:
        """Cancel a call, unless it isn't pending here."""
        call = self._pending.by_id.pop(call_id, None)
        if call is not None:
            call.release()
            self._connection.drop_body(call_id)
            self._connection.post(RunCancel(call_id))
            self._close_if_unused()

    def _close_if_unused(self) -> None:
        if not self._pending.by_id:
            # The end of the connection cancels what the node still runs.
            self.close()

    def _handle_close(self) -> None:
        self._on_end(self)
        calls = list(self._pending.by_id.values())
        self._pending.by_id.clear()
        run_each(partial(call.finish, None) for call in calls)

    def close(self) -> None:
        """Close the connection."""
        self._on_end(self)
        self._connection.close_idle()


class MeshLink:
    """Connection from this node to another, opened on demand.

    ``on_reachability_change`` is called with whether the other node can
    be reached. It isn't called when a connection is closed as idle.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock,
        on_reachability_change: Callable[[bool], None],
        budget: MemoryBudget,
    ) -> None:
        self.endpoint = endpoint
        self._budget = budget
        self._on_reachability_change = on_reachability_change
        self._closed = False
        self._unreachable = False
        # Whether the other node has announced that it closes the connection.
        self._peer_leaves = False
        self._clock = clock
        self._connection: FrameConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._pending = _PendingCalls(budget)
        self._silent_connections: set[_SilentConnection] = set()
        self._retired = False
        self._unsent: dict[int, RunCall] = {}
        self._next_id = 0
        self._ping_count = 0
        self._silence = SilenceTimer(
            clock.now(), CONNECTION_PING_INTERVAL, CONNECTION_TIMEOUT
        )
        self._last_call_at = clock.now()

    def call(
        self,
        call: RunCall,
        on_result: ResultCallback,
        on_silence: SilenceCallback = lambda: None,
    ) -> int:
        """Send a call and return its id, which ``cancel`` accepts.

        ``on_result`` receives the result, or None if the connection was
        lost after the call was sent. If no connection could be opened or the
        other node closes it without having started the call, it receives the
        refusal made by ``create_unsent_refusal``, possibly before this method
        returns. ``on_silence`` is called if the other node falls silent; the
        call goes on and ends with a result as any other.
        """
        self._next_id += 1
        call_id = self._next_id
        connection = self._connection
        if self._peer_leaves or (connection and connection.congested):
            on_result(create_unsent_refusal(call_id))
            return call_id
        call = msgspec.structs.replace(call, call_id=call_id)
        self._pending.by_id[call_id] = _PendingCall(on_result, on_silence)
        self._last_call_at = self._clock.now()
        if connection is not None:
            self._post_call(connection, call)
        else:
            self._unsent[call_id] = call
            self._start_connecting()
        return call_id

    def _post_call(self, connection: FrameConnection, call: RunCall) -> None:
        """Send a call, with its body in parts if it is large."""
        body = call.body
        is_large = len(body) > LARGE_MIN_BYTES
        if is_large:
            call = msgspec.structs.replace(
                call, body=b"", body_length=len(body)
            )
        try:
            connection.post(call)
        except FrameTooLongError:
            self._pending.by_id.pop(call.call_id).finish(
                create_unsent_refusal(
                    call.call_id, ErrorCode.HEADERS_TOO_LARGE
                )
            )
            return
        if is_large:
            connection.post_body(call.call_id, body)

    def cancel(self, call_id: int) -> None:
        """Cancel a call, also on the other node if it was sent."""
        call = self._pending.by_id.pop(call_id, None)
        if call is None:
            for silent_connection in list(self._silent_connections):
                silent_connection.cancel(call_id)
            return
        call.release()
        if self._unsent.pop(call_id, None) is None and self._connection:
            self._connection.drop_body(call_id)
            self._connection.post(RunCancel(call_id))

    def _start_connecting(self) -> None:
        if self._connect_task is None:
            self._connect_task = asyncio.get_running_loop().create_task(
                self._connect(),
            )
            self._connect_task.add_done_callback(self._end_connecting)

    def _end_connecting(self, task: asyncio.Task[None]) -> None:
        """Give up the calls of a connection that failed unexpectedly.

        Those that were posted before the error count as sent.
        """
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        log_event(
            Level.ERROR,
            "unexpected error; closing mesh connection",
            peer=str(self.endpoint),
            **describe_error(error),
        )
        self._connect_task = None
        self._unreachable = True
        connection = self._connection
        self._fail_unsent()
        if connection is not None:
            connection.abort()

    def _create_connection(self) -> FrameConnection:
        return FrameConnection(
            self._handle_frame, self._handle_close, self._budget
        )

    async def _connect(self) -> None:
        try:
            connection = await connect(
                self._create_connection,
                self.endpoint.host,
                self.endpoint.port,
                CONNECT_TIMEOUT.total_seconds(),
            )
        except (OSError, TimeoutError) as error:
            log_event(
                Level.WARNING,
                "could not connect to node",
                peer=str(self.endpoint),
                error=type(error).__name__,
            )
            self._unreachable = True
            self._on_reachability_change(False)  # noqa: FBT003
            self._fail_unsent()
        else:
            self._use_connection(connection)
        finally:
            self._connect_task = None

    def _use_connection(self, connection: FrameConnection) -> None:
        """Send the calls that waited for a connection.

        The other node may have closed it, or announced that, before this
        step: nothing written on it would run.
        """
        if connection.closed or self._peer_leaves:
            connection.close_idle()
            self._unreachable = True
            self._peer_leaves = False
            self._fail_unsent()
            return
        self._connection = connection
        self._unreachable = False
        self._silence.restart(self._clock.now())
        self._on_reachability_change(True)  # noqa: FBT003
        unsent, self._unsent = self._unsent, {}
        for call in unsent.values():
            self._post_call(connection, call)

    def _fail_unsent(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for call_id in unsent:
            call = self._pending.by_id.pop(call_id)
            call.finish(create_unsent_refusal(call_id))

    def _handle_frame(self, frame: Any) -> None:
        if isinstance(frame, MeshLeave):
            # It may come before this node learns that it is connected.
            self._handle_leave(frame.last_call_id)
        elif self._connection is not None:
            self._handle_result(frame, self._connection)
        if self._peer_leaves and not self._pending.by_id and self._connection:
            self._connection.abort()

    def _handle_result(self, frame: Any, connection: FrameConnection) -> None:
        if isinstance(frame, BodyPart) and frame.call_id > self._next_id:
            msg = "body part of an unknown call"
            raise UnexpectedFrameError(msg)
        result = self._pending.read_result(frame, connection)
        if result is not None:
            call = self._pending.take(result.call_id, connection)
            if call is not None:
                call.finish(result)

    def _handle_leave(self, last_call_id: int) -> None:
        """Refuse the calls that the other node hasn't started."""
        self._peer_leaves = True
        self._unreachable = True
        self._on_reachability_change(False)  # noqa: FBT003
        for call_id in [i for i in self._pending.by_id if i > last_call_id]:
            self._unsent.pop(call_id, None)
            if self._connection is not None:
                self._connection.drop_body(call_id)
            call = self._pending.by_id.pop(call_id, None)
            if call is not None:
                call.finish(create_unsent_refusal(call_id))

    def _handle_close(self) -> None:
        """Report the calls that were sent as lost: each may have run."""
        connection, self._connection = self._connection, None
        unwritten: set[int] = set()
        if connection is not None:
            # A call runs once its body is complete.
            unwritten.update(connection.list_incomplete_bodies())
            unwritten.update(
                frame.call_id
                for frame in connection.list_unwritten()
                if isinstance(frame, RunCall)
            )
        if not self._closed and not self._peer_leaves:
            self._unreachable = True
            run_each((partial(self._on_reachability_change, False),))  # noqa: FBT003
        self._peer_leaves = False
        pending, self._pending = self._pending, _PendingCalls(self._budget)
        unsent = set(self._unsent)
        ended: list[Callable[[], None]] = []
        for call_id, call in pending.by_id.items():
            if call_id in unsent:
                self._pending.by_id[call_id] = call
            elif call_id in unwritten:
                refusal = create_unsent_refusal(call_id)
                ended.append(partial(call.finish, refusal))
            else:
                ended.append(partial(call.finish, None))
        run_each(ended)

    def _take_incomplete(
        self, connection: FrameConnection
    ) -> dict[int, _PendingCall]:
        """Withdraw the calls whose bodies are incomplete: none has run."""
        calls = {}
        for call_id in connection.list_incomplete_bodies():
            call = self._pending.take(call_id, connection)
            if call is not None:
                calls[call_id] = call
        return calls

    def _keep_for_calls(self, connection: FrameConnection) -> bool:
        """Keep a silent connection for the calls in progress.

        Return False if there are none. None counts as unsent, as the
        connection may still be written to.
        """
        if not self._pending.by_id:
            return False
        pending, self._pending = self._pending, _PendingCalls(self._budget)
        calls = list(pending.by_id.values())
        self._connection = None
        self._peer_leaves = False
        self._unreachable = True
        self._silent_connections.add(
            _SilentConnection(
                connection, pending, self._silent_connections.discard
            )
        )
        self._on_reachability_change(False)  # noqa: FBT003
        for call in calls:
            call.on_silence()
        return True

    def tick(self, now: datetime) -> None:
        """Send a ping if needed, and close an unresponsive connection.

        No ping is needed if data was received since the last tick and no
        call is pending. A lost connection is reopened without a call to
        send, because unreachable nodes receive no calls.
        """
        connection = self._connection
        if connection is None:
            if self._unreachable and not self._retired:
                self._start_connecting()
            return
        is_idle = now - self._last_call_at >= LINK_IDLE_TIMEOUT
        if is_idle and not self._pending.by_id:
            self._connection = None
            self._peer_leaves = False
            connection.close_idle()
            return
        if connection.received_data:
            # Any received data proves as much as a returned ping.
            connection.received_data = False
            self._silence.restart(now)
            if not self._pending.by_id:
                return
        elif self._silence.check(now) and not connection.has_unread_data:
            self._handle_silence(connection)
            return
        self._ping_count += 1
        connection.post(MeshPing(self._ping_count))

    def _handle_silence(self, connection: FrameConnection) -> None:
        incomplete = self._take_incomplete(connection)
        is_kept = self._keep_for_calls(connection)
        log_event(
            Level.WARNING,
            "closing unresponsive connection to node",
            peer=str(self.endpoint),
            kept_for_calls=is_kept,
        )
        if not is_kept:
            connection.abort()
        for call_id, call in incomplete.items():
            call.finish(create_unsent_refusal(call_id))

    @property
    def busy(self) -> bool:
        """Return whether a call waits for its result."""
        return bool(self._pending.by_id or self._silent_connections)

    def retire(self) -> None:
        """Refuse the calls that were not sent, and report no more changes.

        The caller goes on with ``tick`` and closes the link once it isn't
        busy. The other node may still be running the calls that were sent.
        """
        self._retired = True
        self._on_reachability_change = lambda _: None
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._fail_unsent()

    def close(self) -> None:
        """Close the connection."""
        self._closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        for silent_connection in list(self._silent_connections):
            silent_connection.close()
        if self._connection is not None:
            self._connection.abort()


def create_unsent_refusal(
    call_id: int, code: ErrorCode = ErrorCode.CONNECTION_LOST
) -> RunRefusal:
    """Return the refusal of a call that was never sent."""
    return RunRefusal(
        call_id,
        code,
        may_have_run=False,
        retry_after_ms=0,
        load=0.0,
        pressures=[],
    )


class Mesh:
    """Links to other nodes, by name.

    ``on_reachability_change`` is called with a node's name and whether
    it can be reached.
    """

    def __init__(
        self,
        clock: Clock,
        on_reachability_change: Callable[[str, bool], None],
        budget: MemoryBudget,
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._on_reachability_change = on_reachability_change
        self._links: dict[str, MeshLink] = {}
        # Links to former members and addresses that calls still use.
        self._retired_links: set[MeshLink] = set()
        self._tasks = TaskGroup()

    def start(self) -> None:
        """Start to check the links at regular intervals."""
        self._tasks.start_periodic(CONNECTION_PING_INTERVAL, self._tick)

    def _tick(self) -> None:
        now = self._clock.now()
        for link in list(self._links.values()):
            link.tick(now)
        for link in list(self._retired_links):
            if link.busy:
                link.tick(now)
            self._close_if_unused(link)

    def get_link(self, name: str, endpoint: Endpoint) -> MeshLink:
        """Return the link to a node, a new one if its address changed."""
        old_link = self._links.get(name)
        if old_link is not None and old_link.endpoint == endpoint:
            return old_link
        link = self._links[name] = MeshLink(
            endpoint,
            self._clock,
            lambda reachable: self._on_reachability_change(name, reachable),
            self._budget,
        )
        if old_link is not None:
            self._retire(old_link)
        return link

    def retire_links_except(self, retained: set[str]) -> None:
        """Close the links to all nodes that are not in ``retained``.

        A link stays open until the calls that were sent on it have ended: a
        node that has lost its lease, for example, still runs them.
        """
        for name in set(self._links) - retained:
            self._retire(self._links.pop(name))

    def _retire(self, link: MeshLink) -> None:
        self._retired_links.add(link)
        link.retire()
        self._close_if_unused(link)

    def _close_if_unused(self, link: MeshLink) -> None:
        if not link.busy:
            self._retired_links.discard(link)
            link.close()

    async def close(self) -> None:
        """Close all links."""
        with contextlib.suppress(asyncio.CancelledError):
            await self._tasks.cancel()
        for link in (*self._links.values(), *self._retired_links):
            link.close()
