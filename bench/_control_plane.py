"""Emulated control plane: real decision code on simulated links and disks.

Control hosts, nodes and an operator's client run in one process on
simulated time. Replica, journal, state machine, feed, membership and codec
are those of the product and are called in the same order as by its network
and disk code. The processor time of the transport is not measured.
"""

import heapq
import io
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import partial
from random import Random
from typing import Any, Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    COMMAND_TYPES,
    AddKey,
    Command,
    EditTables,
    Member,
    MemberState,
    WithdrawKey,
)
from sequoiaseam._control_messages import (
    AliveBatch,
    Failure,
    NodeHello,
    NodeState,
    Relay,
    create_control_codec,
)
from sequoiaseam._feed import (
    FeedDelta,
    FeedSnapshot,
    FeedSource,
    NodeView,
    Ping,
    Pong,
)
from sequoiaseam._journal import Journal
from sequoiaseam._leadership import Leadership
from sequoiaseam._members import MemberReport
from sequoiaseam._operator_client import HOST_CALL_TIMEOUT
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    EditAnswer,
    EditOutcome,
    WithdrawKeyRequest,
)
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam._replica_messages import (
    Action,
    Actions,
    Apply,
    Confirmed,
    InstallSnapshot,
    Persist,
    ProposalCommitted,
    Rejected,
    Role,
    RoleChanged,
    SaveSnapshot,
    Send,
    Snapshot,
)
from sequoiaseam._state import EditStatus, FleetState
from sequoiaseam._tables import KeyRecord
from sequoiaseam.const import (
    CONFIGURATION_LEASE,
    CONNECTION_TIMEOUT,
    NODE_PING_INTERVAL,
)
from sequoiaseam.errors import ErrorCode

CODEC: Final = create_control_codec()
COMMAND_CODEC: Final = Codec(COMMAND_TYPES)

LINK_DELAY: Final = timedelta(milliseconds=1.5)
SYNC_DELAY: Final = timedelta(milliseconds=2)
# Saving a snapshot syncs two files, and the folder twice.
SNAPSHOT_SYNCS: Final = 4
# Per message: the HTTP/2 frame header, the gRPC prefix and a share of the
# TCP and IP headers.
FRAMING_BYTES: Final = 20

REPLICA_TICK_INTERVAL: Final = timedelta(milliseconds=25)
CONFIRM_INTERVAL: Final = timedelta(milliseconds=250)
CONTROL_TICK_INTERVAL: Final = timedelta(milliseconds=100)
ALIVE_REPORT_INTERVAL: Final = timedelta(milliseconds=500)
SESSION_CHECK_INTERVAL: Final = timedelta(seconds=1)
NODE_SILENCE_TIMEOUT: Final = timedelta(seconds=4)
NODE_TICK_INTERVAL: Final = timedelta(milliseconds=50)
RECONNECT_DELAY_RANGE_SECONDS: Final = (0.05, 0.4)
QUORUM_TIMEOUT: Final = timedelta(seconds=3)
RETRY_INTERVAL: Final = timedelta(seconds=0.2)

OUTCOME_BY_STATUS: Final = {
    EditStatus.ACCEPTED: EditOutcome.ACCEPTED,
    EditStatus.CONFLICT: EditOutcome.CONFLICT,
    EditStatus.INVALID: EditOutcome.INVALID,
    EditStatus.NOT_FOUND: EditOutcome.NOT_FOUND,
}


class EventLoop:
    """A discrete event loop on simulated time, which is every process's clock.

    Events of the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self._now = EPOCH
        self._events: list[tuple[datetime, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def now(self) -> datetime:
        """Return the simulated time."""
        return self._now

    def call_later(
        self, delay: timedelta, callback: Callable[[], None]
    ) -> None:
        """Schedule a call after a delay."""
        event = (self._now + delay, next(self._event_numbers), callback)
        heapq.heappush(self._events, event)

    def run(self, duration: timedelta) -> None:
        """Run the events of the next ``duration`` and advance the clock."""
        end = self._now + duration
        while self._events and self._events[0][0] <= end:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        self._now = end


class Process:
    """An emulated process and its resource use, counted over all boots.

    ``cpu_seconds`` is the real processor time of its scheduled calls.
    """

    def __init__(self, name: str, loop: EventLoop, rng: Random) -> None:
        self.name = name
        self.loop = loop
        self.rng = rng
        self.alive = False
        self.boot_number = 0
        self.cpu_seconds = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.message_count = 0

    def call_later(
        self, delay: timedelta, callback: Callable[[], None]
    ) -> None:
        """Schedule a call, which is dropped if the process ends before it."""
        boot_number = self.boot_number

        def run() -> None:
            if self.alive and self.boot_number == boot_number:
                started = time.process_time()
                callback()
                self.cpu_seconds += time.process_time() - started

        self.loop.call_later(delay, run)

    def call_every(
        self, interval: timedelta, callback: Callable[[], None]
    ) -> None:
        """Call periodically, with a random phase."""

        def run() -> None:
            self.call_later(interval, run)
            callback()

        self.call_later(interval * self.rng.random(), run)

    def kill(self) -> None:
        """Kill the process; its memory and its scheduled calls are lost."""
        self.alive = False
        self.boot_number += 1


class Network:
    """Links with a constant delay; a partition drops messages silently."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._isolated_names: frozenset[str] = frozenset()

    def isolate(self, names: frozenset[str]) -> None:
        """Drop all messages between these processes and the others.

        This replaces the previous partition; an empty set ends it.
        """
        self._isolated_names = names

    def can_reach(self, first_name: str, second_name: str) -> bool:
        """Return whether messages between the two processes arrive."""
        return (first_name in self._isolated_names) == (
            second_name in self._isolated_names
        )

    def send(
        self,
        sender: Process,
        target: Process,
        message: object,
        deliver: Callable[[Any], None],
    ) -> None:
        """Encode a message and deliver the decoded copy after the delay."""
        data = CODEC.encode(message)
        size = len(data) + FRAMING_BYTES
        sender.sent_bytes += size
        sender.message_count += 1

        def arrive() -> None:
            if self.can_reach(sender.name, target.name):
                target.received_bytes += size
                target.message_count += 1
                deliver(CODEC.decode(data))

        target.call_later(LINK_DELAY, arrive)


class MemoryFiles:
    """A file system in memory, on which every write is durable at once."""

    def __init__(self) -> None:
        self._files: dict[str, bytearray] = {}

    def make_folder(self, folder: str) -> None:
        """Do nothing; a path contains the name of its folder."""

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the names of the files in a folder."""
        prefix = f"{folder}/"
        return tuple(
            path.removeprefix(prefix)
            for path in sorted(self._files)
            if path.startswith(prefix)
        )

    def open(self, path: str) -> io.BytesIO:
        """Open a file for reading."""
        return io.BytesIO(self._files[path])

    def append(self, path: str, data: bytes) -> None:
        """Append to a file, creating it if it is missing."""
        self._files.setdefault(path, bytearray()).extend(data)

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        del self._files[path][size:]

    def sync(self, path: str) -> None:
        """Do nothing; ``ControlHost`` simulates the time that a sync takes."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._files[new] = self._files.pop(old)

    def remove(self, path: str) -> None:
        """Remove a file."""
        del self._files[path]

    def sync_folder(self, folder: str) -> None:
        """Do nothing; see ``sync``."""

    def measure_size(self, prefix: str) -> int:
        """Return the total bytes of the files whose names have a prefix."""
        return sum(
            len(data)
            for path, data in self._files.items()
            if path.split("/")[-1].startswith(prefix)
        )


@dataclass(slots=True)
class Session:
    """The state that a control host keeps for an attached node."""

    node: "EmulatedNode"
    stream_id: int
    report: MemberReport
    index: int
    last_received_at: datetime


AnswerCallback = Callable[[object], None]
ProposalCallback = Callable[[int | None, ErrorCode | None], None]


class ControlHost(Process):
    """A control host, emulating Control, ReplicaRunner and NodeSessions."""

    def __init__(self, plane: "ControlPlane", name: str, rng: Random) -> None:
        super().__init__(name, plane.loop, rng)
        self._plane = plane
        self.files = MemoryFiles()
        self.state = FleetState()
        self.feed = FeedSource(self.state)
        self.sessions: dict[str, Session] = {}
        self.leadership: Leadership | None = None
        self.leader: str | None = None

    def start(self) -> None:
        """Boot, restoring the state that is on disk."""
        now = self.loop.now()
        self.alive = True
        self._journal = Journal("data", self.files)
        restored = self._journal.open(
            lambda: f"{self.rng.getrandbits(64):x}",
        )
        self.state = FleetState()
        if restored.snapshot is not None:
            self.state = FleetState.load(restored.snapshot.data)
        self.feed = FeedSource(self.state)
        self.sessions = {}
        self.leadership = None
        self.leader = None
        config = ReplicaConfig(self.name, tuple(self._plane.host_names))
        self.replica = Replica(config, restored, self.rng, now)
        self.connection_lost_callbacks: list[Callable[[], None]] = []
        self._tokens = itertools.count(1)
        self._pending_proposals: dict[object, ProposalCallback] = {}
        self._disk_free_at = now
        self._last_alive_report_at = now
        self.confirmation: tuple[int, datetime] | None = None
        self.call_every(REPLICA_TICK_INTERVAL, self._tick_replica)
        self.call_every(CONTROL_TICK_INTERVAL, self._tick)
        self.call_every(SESSION_CHECK_INTERVAL, self._expire_sessions)
        self.call_later(timedelta(0), self._confirm)

    # Emulates ReplicaRunner.

    def _tick_replica(self) -> None:
        self.perform(self.replica.tick(self.loop.now()))

    def _confirm(self) -> None:
        requested_at = self.loop.now()

        def done(index: int | None, _: ErrorCode | None) -> None:
            if index is not None:
                self.confirmation = (index, requested_at)
            self.call_later(CONFIRM_INTERVAL, self._confirm)

        token = next(self._tokens)
        self._pending_proposals[token] = done
        self.perform(self.replica.confirm(requested_at, token))

    def propose(self, command: Command, done: ProposalCallback) -> None:
        """Propose a command; pass its index or an error to ``done``."""
        token = next(self._tokens)
        self._pending_proposals[token] = done
        self.perform(
            self.replica.propose(
                self.loop.now(),
                COMMAND_CODEC.encode(command),
                token,
            ),
        )

    def perform(self, actions: Actions) -> None:
        """Perform the replica's actions in order."""
        for action in actions:
            self._perform_action(action)

    def _perform_action(self, action: Action) -> None:
        match action:
            case Send(to, message):
                self._send_to_peer(to, message)
            case Persist():
                self._schedule_disk_job(1, lambda: self._persist(action))
            case SaveSnapshot(index, term, membership):
                data = self.state.dump()
                self._save_snapshot(Snapshot(index, term, membership, data))
            case InstallSnapshot(snapshot):
                self.state = FleetState.load(snapshot.data)
                self.feed.replace_state(self.state)
                self._save_snapshot(snapshot)
            case Apply(index, command):
                if command:
                    self._apply(index, COMMAND_CODEC.decode(command))
            case ProposalCommitted(token, index) | Confirmed(token, index):
                self._resolve(token, index, None)
            case Rejected(token, reason, _):
                self._resolve(token, None, reason)
            case RoleChanged():
                self._handle_role_change(action)

    def _resolve(
        self,
        token: object,
        index: int | None,
        error: ErrorCode | None,
    ) -> None:
        done = self._pending_proposals.pop(token, None)
        if done is not None:
            done(index, error)

    def _schedule_disk_job(self, syncs: int, job: Callable[[], None]) -> None:
        """Run a job after its syncs; the disk performs one job at a time."""
        now = self.loop.now()
        self._disk_free_at = max(now, self._disk_free_at) + SYNC_DELAY * syncs
        self.call_later(self._disk_free_at - now, job)

    def _persist(self, action: Persist) -> None:
        self._journal.append(action.records)
        self.perform(self.replica.synced(self.loop.now(), action.token))

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        def job() -> None:
            self._journal.save_snapshot(snapshot)
            self.perform(
                self.replica.snapshot_saved(self.loop.now(), snapshot),
            )

        self._schedule_disk_job(SNAPSHOT_SYNCS, job)

    # Emulates Control.

    def _tick(self) -> None:
        now = self.loop.now()
        if now - self._last_alive_report_at >= ALIVE_REPORT_INTERVAL:
            self._report_active_nodes(now)
        if self.leadership is not None:
            self.leadership.tick(now)

    def _report_active_nodes(self, now: datetime) -> None:
        previous_report_at, self._last_alive_report_at = (
            self._last_alive_report_at,
            now,
        )
        batch = AliveBatch(
            tuple(
                NodeState(session.report, session.index)
                for session in self.sessions.values()
                if session.last_received_at >= previous_report_at
            ),
        )
        if self.leadership is not None:
            self.leadership.renew_leases(now, batch)
        elif self.leader is not None:
            self._send_to_peer(self.leader, batch)

    def _apply(self, index: int, command: Command) -> None:
        self.state.apply(index, command)
        for name, message in self.feed.publish(index, command):
            session = self.sessions.get(name)
            if session is not None:
                self._send_to_node(session, message)
        if self.leadership is not None:
            self.leadership.update_tables(self.loop.now())

    def _handle_role_change(self, change: RoleChanged) -> None:
        self.leader = change.leader
        if change.role is not Role.LEADER:
            self.leadership = None
        elif self.leadership is None or self.leadership.term != change.term:
            self.leadership = Leadership(
                self.loop.now(),
                change.term,
                lambda: self.state,
                self.rng,
                lambda command: self.propose(command, _ignore_result),
            )

    def _send_to_peer(self, name: str, message: object) -> None:
        peer = self._plane.hosts[name]
        self._plane.network.send(
            self,
            peer,
            message,
            lambda received: peer.receive_peer(self.name, received),
        )

    def receive_peer(self, sender: str, message: Any) -> None:
        """Handle a message from another control host."""
        now = self.loop.now()
        if isinstance(message, AliveBatch):
            if self.leadership is not None:
                self.leadership.renew_leases(now, message)
        elif isinstance(message, Relay):
            self._deliver_to_leadership(CODEC.decode(message.payload))
        else:
            self.perform(self.replica.receive(now, sender, message))

    def _deliver_to_leadership(self, message: Any) -> None:
        if self.leadership is not None:
            now = self.loop.now()
            valid = self.replica.lease_valid(now)
            self.leadership.receive(now, message, lease_valid=valid)

    # Emulates NodeSessions.

    def attach(
        self, node: "EmulatedNode", stream_id: int, hello: NodeHello
    ) -> None:
        """Create a session for a node's new stream."""
        session = Session(
            node,
            stream_id,
            hello.report,
            hello.index,
            self.loop.now(),
        )
        self.sessions[node.name] = session
        self._subscribe(session)

    def _subscribe(self, session: Session) -> None:
        message = self.feed.subscribe(session.node.name, session.index, None)
        if message is not None:
            self._send_to_node(session, message)

    def _send_to_node(self, session: Session, message: object) -> None:
        node, stream_id = session.node, session.stream_id
        self._plane.network.send(
            self,
            node,
            message,
            lambda received: node.receive(stream_id, received),
        )

    def receive_node(self, name: str, stream_id: int, message: Any) -> None:
        """Handle a message from an attached node."""
        session = self.sessions.get(name)
        if session is None or session.stream_id != stream_id:
            return
        session.last_received_at = self.loop.now()
        if isinstance(message, Ping):
            self._answer_ping(session, message)
        elif isinstance(message, NodeHello):
            session.report = message.report
            session.index = message.index
            self._subscribe(session)
        elif isinstance(message, MemberReport):
            session.report = message
            if self.leadership is not None:
                self._deliver_to_leadership(message)
            elif self.leader is not None:
                self._send_to_peer(
                    self.leader,
                    Relay(name, CODEC.encode(message)),
                )

    def _answer_ping(self, session: Session, ping: Ping) -> None:
        session.index = ping.index
        if self.confirmation is None:
            pong = Pong(ping.sent, 0, timedelta(days=1))
        else:
            index, requested_at = self.confirmation
            pong = Pong(ping.sent, index, self.loop.now() - requested_at)
        self._send_to_node(session, pong)

    def _expire_sessions(self) -> None:
        now = self.loop.now()
        for name, session in list(self.sessions.items()):
            if now - session.last_received_at > NODE_SILENCE_TIMEOUT:
                self.detach(name, session.stream_id)

    def detach(self, name: str, stream_id: int) -> None:
        """Remove the session of a stream that has ended."""
        session = self.sessions.get(name)
        if session is not None and session.stream_id == stream_id:
            del self.sessions[name]
            self.feed.unsubscribe(name)

    # Emulates OperatorRequestHandler for edits.

    def handle_edit(self, request: Any, answer: AnswerCallback) -> None:
        """Commit an operator's edit and answer it exactly once.

        The answer is the result, an error, or an unknown outcome if the
        edit isn't committed within ``QUORUM_TIMEOUT``.
        """
        command = create_command(request)
        answered = False

        def reply(message: object) -> None:
            nonlocal answered
            if not answered:
                answered = True
                answer(message)

        def done(index: int | None, error: ErrorCode | None) -> None:
            result = self.state.find_result(command.edit_id)
            if index is None or result is None:
                code = error or ErrorCode.INTERNAL
                reply(Failure(code.value, "", self.leader or ""))
            else:
                outcome = OUTCOME_BY_STATUS[result.status]
                reply(EditAnswer(result.edit_id, outcome, result.revision))

        unknown = Failure(ErrorCode.OUTCOME_UNKNOWN.value, "")
        self.call_later(QUORUM_TIMEOUT, lambda: reply(unknown))
        self.propose(command, done)


def _ignore_result(_index: int | None, _error: ErrorCode | None) -> None:
    """Ignore the outcome; leadership checks the state at its next tick."""


def create_command(request: Any) -> EditTables | AddKey | WithdrawKey:
    """Return the replicated command for an operator's edit request."""
    match request:
        case ApplyRequest():
            return EditTables(
                request.edit_id,
                request.operator,
                request.base_revision,
                request.tables,
            )
        case AddKeyRequest():
            key = KeyRecord(
                request.key_id,
                request.digest,
                request.workspace,
            )
            return AddKey(request.edit_id, request.operator, None, key)
        case WithdrawKeyRequest():
            return WithdrawKey(
                request.edit_id,
                request.operator,
                None,
                request.key_id,
            )
    raise TypeError(f"{type(request).__name__} is not an edit")


class EmulatedNode(Process):
    """The part of a node that follows the control plane: view and uplink."""

    def __init__(
        self,
        plane: "ControlPlane",
        member: Member,
        rng: Random,
    ) -> None:
        super().__init__(member.name, plane.loop, rng)
        self._plane = plane
        self.member = member
        self._last_reported_member: Member | None = None
        self._sequence = 0
        self.view = NodeView()
        # Names of the control hosts in the order in which they are tried.
        self.host_order = list(plane.host_names)
        rng.shuffle(self.host_order)
        self._next_position = 0
        self._stream_id = 0
        self.host: ControlHost | None = None
        self._last_pong_at = self.loop.now()
        self._confirmation_age = timedelta(0)
        # The time at which each revision came into force, in order.
        self.revisions: list[tuple[datetime, int]] = []

    def start(self) -> None:
        """Start the node and connect to a control host."""
        self.alive = True
        self.call_every(NODE_TICK_INTERVAL, self._tick)
        self._connect()

    def _create_report(self) -> MemberReport:
        if self.member != self._last_reported_member:
            self._last_reported_member = self.member
            self._sequence += 1
        return MemberReport(self.member, self._sequence)

    def drain(self) -> None:
        """Report the backend server as draining."""
        self.member = replace(self.member, state=MemberState.DRAINING)
        self._send(self._create_report())

    def _tick(self) -> None:
        if self.member != self._last_reported_member:
            self._send(self._create_report())

    # Emulates Uplink.

    def _connect(self) -> None:
        name = self.host_order[self._next_position % len(self.host_order)]
        self._next_position += 1
        self._stream_id += 1
        host, stream_id = self._plane.hosts[name], self._stream_id
        self.call_later(
            CONNECTION_TIMEOUT,
            lambda: self._handle_connection_timeout(stream_id),
        )
        if not self._plane.network.can_reach(self.name, name):
            return
        # Establishing a connection takes a round trip, and so does a refusal.
        if host.alive:
            self.call_later(
                2 * LINK_DELAY,
                lambda: self._send_hello(host, stream_id),
            )
        else:
            self.call_later(2 * LINK_DELAY, lambda: self._detach(stream_id))

    def _handle_connection_timeout(self, stream_id: int) -> None:
        if self.host is None:
            self._detach(stream_id)

    def _send_hello(self, host: ControlHost, stream_id: int) -> None:
        if stream_id != self._stream_id:
            return
        self.host = host
        self._last_pong_at = self.loop.now()
        self._confirmation_age = timedelta(0)
        hello = NodeHello(self._create_report(), self.view.index)
        self._plane.network.send(
            self,
            host,
            hello,
            lambda received: host.attach(self, stream_id, received),
        )
        self._monitor(stream_id)

    def _monitor(self, stream_id: int) -> None:
        if stream_id != self._stream_id or self.host is None:
            return
        silence = self.loop.now() - self._last_pong_at
        is_stale = self._confirmation_age > CONFIGURATION_LEASE / 2
        if silence > CONNECTION_TIMEOUT or is_stale:
            self._detach(stream_id)
            return
        self._send(self.view.build_ping(self.loop.now()))
        self.call_later(NODE_PING_INTERVAL, lambda: self._monitor(stream_id))

    def handle_stream_closed(self, stream_id: int) -> None:
        """Reconnect after the control host has closed the stream."""
        self._detach(stream_id)

    def _detach(self, stream_id: int) -> None:
        """Detach from the control host and connect to the next one."""
        if stream_id != self._stream_id:
            return
        host = self.host
        self.host = None
        self._stream_id += 1
        if (
            host is not None
            and host.alive
            and self._plane.network.can_reach(self.name, host.name)
        ):
            host.call_later(
                LINK_DELAY, lambda: host.detach(self.name, stream_id)
            )
        delay = self.rng.uniform(*RECONNECT_DELAY_RANGE_SECONDS)
        self.call_later(timedelta(seconds=delay), self._connect)

    def _send(self, message: object) -> None:
        host, stream_id = self.host, self._stream_id
        if host is not None:
            self._plane.network.send(
                self,
                host,
                message,
                lambda received: host.receive_node(
                    self.name,
                    stream_id,
                    received,
                ),
            )

    def receive(self, stream_id: int, message: Any) -> None:
        """Handle a message from the control host."""
        if stream_id != self._stream_id:
            return
        now = self.loop.now()
        if isinstance(message, Pong):
            self._last_pong_at = now
            self._confirmation_age = message.age
            self.view.receive_pong(now, message)
        elif isinstance(message, FeedSnapshot | FeedDelta):
            revision = self.view.revision
            if not self.view.apply(now, message):
                self._send(NodeHello(self._create_report(), self.view.index))
            if self.view.revision != revision:
                self.revisions.append((now, self.view.revision))


@dataclass(slots=True)
class SubmittedEdit:
    """An operator's edit with its submission time and its outcome."""

    edit_id: str
    submitted_at: datetime
    acknowledged_at: datetime | None = None
    revision: int | None = None
    outcome: EditOutcome = EditOutcome.UNKNOWN


class Operator(Process):
    """An operator's client, which tries the control hosts in turn."""

    def __init__(self, plane: "ControlPlane", rng: Random) -> None:
        super().__init__("operator", plane.loop, rng)
        self._plane = plane
        self.alive = True
        self._edit_numbers = itertools.count(1)
        # Names of the control hosts in the order in which they are tried.
        self.host_order = plane.host_names

    def create_id(self) -> str:
        """Return a new edit id."""
        return f"edit-{next(self._edit_numbers)}-{self.rng.getrandbits(64):x}"

    def submit(self, request: Any) -> SubmittedEdit:
        """Submit an edit, trying the hosts in turn until one answers."""
        edit = SubmittedEdit(request.edit_id, self.loop.now())
        self._attempt(request, edit, 0)
        return edit

    def _attempt(self, request: Any, edit: SubmittedEdit, number: int) -> None:
        names = self.host_order
        host = self._plane.hosts[names[number % len(names)]]
        attempt_ended = False

        def try_next_host() -> None:
            nonlocal attempt_ended
            if attempt_ended:
                return
            attempt_ended = True
            last = (number + 1) % len(names) == 0
            delay = RETRY_INTERVAL if last else timedelta(0)
            self.call_later(
                delay, lambda: self._attempt(request, edit, number + 1)
            )

        def handle_answer(answer: Any) -> None:
            nonlocal attempt_ended
            if attempt_ended or isinstance(answer, Failure):
                try_next_host()
                return
            attempt_ended = True
            edit.acknowledged_at = self.loop.now()
            edit.revision = answer.revision
            edit.outcome = answer.outcome

        self.call_later(HOST_CALL_TIMEOUT, try_next_host)
        if not self._plane.network.can_reach(self.name, host.name):
            return
        if not host.alive:
            self.call_later(2 * LINK_DELAY, try_next_host)
            return
        host.connection_lost_callbacks.append(try_next_host)
        self._plane.network.send(
            self,
            host,
            request,
            lambda received: host.handle_edit(
                received,
                lambda answer: self._plane.network.send(
                    host,
                    self,
                    answer,
                    handle_answer,
                ),
            ),
        )


class ControlPlane:
    """Control hosts, nodes and an operator's client on one network."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        members: tuple[Member, ...],
    ) -> None:
        self.rng = Random(seed)
        self.loop = EventLoop()
        self.network = Network(self.loop)
        self.host_names = [f"control-{n}" for n in range(1, hosts + 1)]
        self.hosts = {
            name: ControlHost(self, name, self._create_rng())
            for name in self.host_names
        }
        self.nodes = {
            member.name: EmulatedNode(self, member, self._create_rng())
            for member in members
        }
        self.operator = Operator(self, self._create_rng())

    def _create_rng(self) -> Random:
        return Random(self.rng.getrandbits(64))

    def start(self) -> None:
        """Start the control hosts, and the nodes within the next second."""
        for host in self.hosts.values():
            host.start()
        for node in self.nodes.values():
            delay = timedelta(seconds=self.rng.random())
            self.loop.call_later(delay, node.start)

    def run(self, seconds: float) -> None:
        """Run the emulation for some seconds of simulated time."""
        self.loop.run(timedelta(seconds=seconds))

    def find_leader(self) -> ControlHost | None:
        """Return the control host that holds a valid leader lease."""
        now = self.loop.now()
        for host in self.hosts.values():
            if host.alive and host.replica.lease_valid(now):
                return host
        return None

    def kill_host(self, host: ControlHost) -> None:
        """Kill a control host and close its connections."""
        host.kill()
        for session in host.sessions.values():
            node, stream_id = session.node, session.stream_id
            if self.network.can_reach(node.name, host.name):
                node.call_later(
                    LINK_DELAY, partial(node.handle_stream_closed, stream_id)
                )
        for notify_lost in host.connection_lost_callbacks:
            self.operator.call_later(LINK_DELAY, notify_lost)

    def list_running_nodes(self) -> list[EmulatedNode]:
        """Return the running nodes."""
        return [node for node in self.nodes.values() if node.alive]
