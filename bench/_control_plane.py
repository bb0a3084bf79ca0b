"""Emulated links and disks around the control plane's decision code.

Control hosts, nodes and operators run in one process under a clock set
by hand. Replica, journal, state machine, feed, membership and codec are
the real ones; the calls come in the order in which the adapters make
them. Processor time of transport is not part of it.
"""

import heapq
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
COMMANDS: Final = Codec(COMMAND_TYPES)

LINK_DELAY: Final = timedelta(milliseconds=1.5)
SYNC_TIME: Final = timedelta(milliseconds=2)
# A snapshot syncs two files and the folder twice.
SNAPSHOT_SYNCS: Final = 4
# HTTP/2 frame header, gRPC prefix and a share of TCP and IP headers.
FRAMING_BYTES: Final = 20

REPLICA_TICK: Final = timedelta(milliseconds=25)
CONFIRM_INTERVAL: Final = timedelta(milliseconds=250)
CONTROL_TICK: Final = timedelta(milliseconds=100)
ALIVE_INTERVAL: Final = timedelta(milliseconds=500)
SESSION_CHECK: Final = timedelta(seconds=1)
SESSION_SILENCE: Final = timedelta(seconds=4)
NODE_TICK: Final = timedelta(milliseconds=50)
RECONNECT_SECONDS: Final = (0.05, 0.4)
EDIT_TIMEOUT: Final = timedelta(seconds=3)
RETRY_PAUSE: Final = timedelta(seconds=0.2)

OUTCOMES: Final = {
    EditStatus.ACCEPTED: EditOutcome.ACCEPTED,
    EditStatus.CONFLICT: EditOutcome.CONFLICT,
    EditStatus.INVALID: EditOutcome.INVALID,
    EditStatus.NOT_FOUND: EditOutcome.NOT_FOUND,
}


class EventLoop:
    """Events in the order of their times; also the clock of all."""

    def __init__(self) -> None:
        self._now = EPOCH
        self._events: list[tuple[datetime, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def now(self) -> datetime:
        """Return the current time."""
        return self._now

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Call later."""
        event = (self._now + delay, next(self._count), call)
        heapq.heappush(self._events, event)

    def run(self, duration: timedelta) -> None:
        """Run the events of the next ``duration``."""
        end = self._now + duration
        while self._events and self._events[0][0] <= end:
            self._now, _, call = heapq.heappop(self._events)
            call()
        self._now = end


class Process:
    """An emulated process and what it has used since it was made.

    ``cpu_seconds`` is real processor time of its own handling.
    """

    def __init__(self, name: str, loop: EventLoop, rng: Random) -> None:
        self.name = name
        self.loop = loop
        self.rng = rng
        self.alive = False
        self.boot = 0
        self.cpu_seconds = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.message_count = 0

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Call later unless the process has ended by then."""
        boot = self.boot

        def run() -> None:
            if self.alive and self.boot == boot:
                started = time.process_time()
                call()
                self.cpu_seconds += time.process_time() - started

        self.loop.call_later(delay, run)

    def every(self, interval: timedelta, call: Callable[[], None]) -> None:
        """Call again and again, starting at a random phase."""

        def run() -> None:
            self.call_later(interval, run)
            call()

        self.call_later(interval * self.rng.random(), run)

    def kill(self) -> None:
        """End the process at once; its memory is lost."""
        self.alive = False
        self.boot += 1


class Network:
    """Links with a constant delay that a partition silences."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._cut: frozenset[str] = frozenset()

    def isolate(self, names: frozenset[str]) -> None:
        """Drop everything between these processes and the others."""
        self._cut = names

    def can_reach(self, one: str, other: str) -> bool:
        """Return whether messages between the two arrive."""
        return (one in self._cut) == (other in self._cut)

    def send(
        self,
        sender: Process,
        target: Process,
        message: object,
        deliver: Callable[[Any], None],
    ) -> None:
        """Encode a message, and decode it where it arrives."""
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
    """Files in memory; what was written counts as synced."""

    def __init__(self) -> None:
        self._files: dict[str, bytearray] = {}

    def make_folder(self, folder: str) -> None:
        """Do nothing; names hold their folder."""

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the names of the files."""
        prefix = f"{folder}/"
        return tuple(
            path.removeprefix(prefix)
            for path in sorted(self._files)
            if path.startswith(prefix)
        )

    def read(self, path: str) -> bytes:
        """Return the whole file."""
        return bytes(self._files[path])

    def append(self, path: str, data: bytes) -> None:
        """Write at the end of the file."""
        self._files.setdefault(path, bytearray()).extend(data)

    def truncate(self, path: str, size: int) -> None:
        """Cut the file."""
        del self._files[path][size:]

    def sync(self, path: str) -> None:
        """Do nothing; the emulator adds the time of a sync."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._files[new] = self._files.pop(old)

    def remove(self, path: str) -> None:
        """Remove a file."""
        del self._files[path]

    def sync_folder(self, folder: str) -> None:
        """Do nothing, as for files."""

    def measure_size(self, prefix: str) -> int:
        """Return the bytes of the files whose names start so."""
        return sum(
            len(data)
            for path, data in self._files.items()
            if path.split("/")[-1].startswith(prefix)
        )


@dataclass(slots=True)
class Session:
    """A node's stream as its control host knows it."""

    node: "EmulatedNode"
    stream: int
    report: MemberReport
    index: int
    heard: datetime


Answer = Callable[[object], None]
Done = Callable[[int | None, ErrorCode | None], None]


class ControlHost(Process):
    """A control host: what Control, ReplicaHost and NodeSessions do."""

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
        """Boot from what the disk holds."""
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
        self.callers: list[Callable[[], None]] = []
        self._tokens = itertools.count(1)
        self._waiting: dict[object, Done] = {}
        self._disk_free = now
        self._alive_at = now
        self.confirmation: tuple[int, datetime] | None = None
        self.every(REPLICA_TICK, self._tick_replica)
        self.every(CONTROL_TICK, self._tick)
        self.every(SESSION_CHECK, self._drop_silent)
        self.call_later(timedelta(0), self._confirm)

    # What ReplicaHost does.

    def _tick_replica(self) -> None:
        self.perform(self.replica.tick(self.loop.now()))

    def _confirm(self) -> None:
        asked = self.loop.now()

        def done(index: int | None, _: ErrorCode | None) -> None:
            if index is not None:
                self.confirmation = (index, asked)
            self.call_later(CONFIRM_INTERVAL, self._confirm)

        token = next(self._tokens)
        self._waiting[token] = done
        self.perform(self.replica.confirm(asked, token))

    def propose(self, command: Command, done: Done) -> None:
        """Propose a command; ``done`` gets its index or an error."""
        token = next(self._tokens)
        self._waiting[token] = done
        self.perform(
            self.replica.propose(
                self.loop.now(),
                COMMANDS.encode(command),
                token,
            ),
        )

    def perform(self, actions: Actions) -> None:
        """Carry out the replica's actions in their order."""
        for action in actions:
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case Send(to, message):
                self._post_peer(to, message)
            case Persist():
                self._use_disk(1, lambda: self._persist(action))
            case SaveSnapshot(index, term, membership):
                data = self.state.dump()
                self._save(Snapshot(index, term, membership, data))
            case InstallSnapshot(snapshot):
                self.state = FleetState.load(snapshot.data)
                self.feed.replace_state(self.state)
                self._save(snapshot)
            case Apply(index, command):
                if command:
                    self._apply(index, COMMANDS.decode(command))
            case ProposalCommitted(token, index) | Confirmed(token, index):
                self._resolve(token, index, None)
            case Rejected(token, reason, _):
                self._resolve(token, None, reason)
            case RoleChanged():
                self._change_role(action)

    def _resolve(
        self,
        token: object,
        index: int | None,
        error: ErrorCode | None,
    ) -> None:
        done = self._waiting.pop(token, None)
        if done is not None:
            done(index, error)

    def _use_disk(self, syncs: int, job: Callable[[], None]) -> None:
        """Do disk work later, one job after the other."""
        now = self.loop.now()
        self._disk_free = max(now, self._disk_free) + SYNC_TIME * syncs
        self.call_later(self._disk_free - now, job)

    def _persist(self, action: Persist) -> None:
        self._journal.append(action.records)
        self.perform(self.replica.synced(self.loop.now(), action.token))

    def _save(self, snapshot: Snapshot) -> None:
        def job() -> None:
            self._journal.save_snapshot(snapshot)
            self.perform(
                self.replica.snapshot_saved(self.loop.now(), snapshot),
            )

        self._use_disk(SNAPSHOT_SYNCS, job)

    # What Control does.

    def _tick(self) -> None:
        now = self.loop.now()
        if now - self._alive_at >= ALIVE_INTERVAL:
            self._report_alive(now)
        if self.leadership is not None:
            self.leadership.tick(now)

    def _report_alive(self, now: datetime) -> None:
        since, self._alive_at = self._alive_at, now
        batch = AliveBatch(
            tuple(
                NodeState(session.report, session.index)
                for session in self.sessions.values()
                if session.heard >= since
            ),
        )
        if self.leadership is not None:
            self.leadership.renew_leases(now, batch)
        elif self.leader is not None:
            self._post_peer(self.leader, batch)

    def _apply(self, index: int, command: Command) -> None:
        self.state.apply(index, command)
        for name, message in self.feed.publish(index, command):
            session = self.sessions.get(name)
            if session is not None:
                self._post_node(session, message)
        if self.leadership is not None:
            self.leadership.update_tables(self.loop.now())

    def _change_role(self, change: RoleChanged) -> None:
        self.leader = change.leader
        if change.role is not Role.LEADER:
            self.leadership = None
        elif self.leadership is None or self.leadership.term != change.term:
            self.leadership = Leadership(
                self.loop.now(),
                change.term,
                lambda: self.state,
                self.rng,
                lambda command: self.propose(command, _ignore),
            )

    def _post_peer(self, name: str, message: object) -> None:
        peer = self._plane.hosts[name]
        self._plane.network.send(
            self,
            peer,
            message,
            lambda received: peer.receive_peer(self.name, received),
        )

    def receive_peer(self, sender: str, message: Any) -> None:
        """Take in another control host's message."""
        now = self.loop.now()
        if isinstance(message, AliveBatch):
            if self.leadership is not None:
                self.leadership.renew_leases(now, message)
        elif isinstance(message, Relay):
            self._lead(CODEC.decode(message.payload))
        else:
            self.perform(self.replica.receive(now, sender, message))

    def _lead(self, message: Any) -> None:
        if self.leadership is not None:
            now = self.loop.now()
            valid = self.replica.lease_valid(now)
            self.leadership.receive(now, message, lease_valid=valid)

    # What NodeSessions does.

    def attach(
        self, node: "EmulatedNode", stream: int, hello: NodeHello
    ) -> None:
        """Serve a node's new stream."""
        session = Session(
            node,
            stream,
            hello.report,
            hello.index,
            self.loop.now(),
        )
        self.sessions[node.name] = session
        self._subscribe(session)

    def _subscribe(self, session: Session) -> None:
        message = self.feed.subscribe(session.node.name, session.index, None)
        if message is not None:
            self._post_node(session, message)

    def _post_node(self, session: Session, message: object) -> None:
        node, stream = session.node, session.stream
        self._plane.network.send(
            self,
            node,
            message,
            lambda received: node.receive(stream, received),
        )

    def receive_node(self, name: str, stream: int, message: Any) -> None:
        """Take in a message of an attached node."""
        session = self.sessions.get(name)
        if session is None or session.stream != stream:
            return
        session.heard = self.loop.now()
        if isinstance(message, Ping):
            self._answer_ping(session, message)
        elif isinstance(message, NodeHello):
            session.report = message.report
            session.index = message.index
            self._subscribe(session)
        elif isinstance(message, MemberReport):
            session.report = message
            if self.leadership is not None:
                self._lead(message)
            elif self.leader is not None:
                self._post_peer(
                    self.leader,
                    Relay(name, CODEC.encode(message)),
                )

    def _answer_ping(self, session: Session, ping: Ping) -> None:
        session.index = ping.index
        if self.confirmation is None:
            pong = Pong(ping.sent, 0, timedelta(days=1))
        else:
            index, asked = self.confirmation
            pong = Pong(ping.sent, index, self.loop.now() - asked)
        self._post_node(session, pong)

    def _drop_silent(self) -> None:
        now = self.loop.now()
        for name, session in list(self.sessions.items()):
            if now - session.heard > SESSION_SILENCE:
                self.detach(name, session.stream)

    def detach(self, name: str, stream: int) -> None:
        """Forget a node's stream that has ended."""
        session = self.sessions.get(name)
        if session is not None and session.stream == stream:
            del self.sessions[name]
            self.feed.unsubscribe(name)

    # What OperatorRequestHandler does for edits.

    def edit(self, request: Any, answer: Answer) -> None:
        """Commit an operator's edit and answer it once."""
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
                outcome = OUTCOMES[result.status]
                reply(EditAnswer(result.edit_id, outcome, result.revision))

        unknown = Failure(ErrorCode.OUTCOME_UNKNOWN.value, "")
        self.call_later(EDIT_TIMEOUT, lambda: reply(unknown))
        self.propose(command, done)


def _ignore(_index: int | None, _error: ErrorCode | None) -> None:
    """Leave a proposal's outcome to the next tick."""


def create_command(request: Any) -> EditTables | AddKey | WithdrawKey:
    """Return the log's command for an operator's request."""
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
    """The control side of a node: its view and its uplink."""

    def __init__(
        self,
        plane: "ControlPlane",
        member: Member,
        rng: Random,
    ) -> None:
        super().__init__(member.name, plane.loop, rng)
        self._plane = plane
        self.member = member
        self._reported: Member | None = None
        self._sequence = 0
        self.view = NodeView()
        # Names of the control hosts in the order of attaching.
        self.host_order = list(plane.host_names)
        rng.shuffle(self.host_order)
        self._next = 0
        self._stream = 0
        self.host: ControlHost | None = None
        self._pong_at = self.loop.now()
        self._pong_age = timedelta(0)
        # When each newer revision came into force.
        self.revisions: list[tuple[datetime, int]] = []

    def start(self) -> None:
        """Attach to a control host."""
        self.alive = True
        self.every(NODE_TICK, self._tick)
        self._connect()

    def _create_report(self) -> MemberReport:
        if self.member != self._reported:
            self._reported = self.member
            self._sequence += 1
        return MemberReport(self.member, self._sequence)

    def drain(self) -> None:
        """Report that the backend server takes no new work."""
        self.member = replace(self.member, state=MemberState.DRAINING)
        self._post(self._create_report())

    def _tick(self) -> None:
        if self.member != self._reported:
            self._post(self._create_report())

    # What Uplink does.

    def _connect(self) -> None:
        name = self.host_order[self._next % len(self.host_order)]
        self._next += 1
        self._stream += 1
        host, stream = self._plane.hosts[name], self._stream
        self.call_later(CONNECTION_TIMEOUT, lambda: self._give_up(stream))
        if not self._plane.network.can_reach(self.name, name):
            return
        # The connection takes a round trip, its refusal as well.
        if host.alive:
            self.call_later(
                2 * LINK_DELAY,
                lambda: self._say_hello(host, stream),
            )
        else:
            self.call_later(2 * LINK_DELAY, lambda: self._detach(stream))

    def _give_up(self, stream: int) -> None:
        if self.host is None:
            self._detach(stream)

    def _say_hello(self, host: ControlHost, stream: int) -> None:
        if stream != self._stream:
            return
        self.host = host
        self._pong_at = self.loop.now()
        self._pong_age = timedelta(0)
        hello = NodeHello(self._create_report(), self.view.index)
        self._plane.network.send(
            self,
            host,
            hello,
            lambda received: host.attach(self, stream, received),
        )
        self._watch(stream)

    def _watch(self, stream: int) -> None:
        if stream != self._stream or self.host is None:
            return
        silent = self.loop.now() - self._pong_at
        behind = self._pong_age > CONFIGURATION_LEASE / 2
        if silent > CONNECTION_TIMEOUT or behind:
            self._detach(stream)
            return
        self._post(self.view.build_ping(self.loop.now()))
        self.call_later(NODE_PING_INTERVAL, lambda: self._watch(stream))

    def lose(self, stream: int) -> None:
        """Notice that the control host closed the stream."""
        self._detach(stream)

    def _detach(self, stream: int) -> None:
        """Leave a control host and try the next one."""
        if stream != self._stream:
            return
        host = self.host
        self.host = None
        self._stream += 1
        if (
            host is not None
            and host.alive
            and self._plane.network.can_reach(self.name, host.name)
        ):
            host.call_later(LINK_DELAY, lambda: host.detach(self.name, stream))
        pause = self.rng.uniform(*RECONNECT_SECONDS)
        self.call_later(timedelta(seconds=pause), self._connect)

    def _post(self, message: object) -> None:
        host, stream = self.host, self._stream
        if host is not None:
            self._plane.network.send(
                self,
                host,
                message,
                lambda received: host.receive_node(
                    self.name,
                    stream,
                    received,
                ),
            )

    def receive(self, stream: int, message: Any) -> None:
        """Take in a control host's message."""
        if stream != self._stream:
            return
        now = self.loop.now()
        if isinstance(message, Pong):
            self._pong_at = now
            self._pong_age = message.age
            self.view.receive_pong(now, message)
        elif isinstance(message, FeedSnapshot | FeedDelta):
            revision = self.view.revision
            if not self.view.apply(now, message):
                self._post(NodeHello(self._create_report(), self.view.index))
            if self.view.revision != revision:
                self.revisions.append((now, self.view.revision))


@dataclass(slots=True)
class SubmittedEdit:
    """An operator's edit: when it was sent and what came of it."""

    edit_id: str
    submitted: datetime
    acknowledged: datetime | None = None
    revision: int | None = None
    outcome: EditOutcome = EditOutcome.UNKNOWN


class Operator(Process):
    """An operator's client, which asks one host after the other."""

    def __init__(self, plane: "ControlPlane", rng: Random) -> None:
        super().__init__("operator", plane.loop, rng)
        self._plane = plane
        self.alive = True
        self._ids = itertools.count(1)
        # Names of the control hosts in the order of asking.
        self.host_order = plane.host_names

    def create_id(self) -> str:
        """Return a fresh edit id."""
        return f"edit-{next(self._ids)}-{self.rng.getrandbits(64):x}"

    def submit(self, request: Any) -> SubmittedEdit:
        """Send an edit until a control host answers it."""
        edit = SubmittedEdit(request.edit_id, self.loop.now())
        self._try(request, edit, 0)
        return edit

    def _try(self, request: Any, edit: SubmittedEdit, number: int) -> None:
        names = self.host_order
        host = self._plane.hosts[names[number % len(names)]]
        settled = False

        def next_host() -> None:
            nonlocal settled
            if settled:
                return
            settled = True
            last = (number + 1) % len(names) == 0
            pause = RETRY_PAUSE if last else timedelta(0)
            self.call_later(
                pause, lambda: self._try(request, edit, number + 1)
            )

        def take(answer: Any) -> None:
            nonlocal settled
            if settled or isinstance(answer, Failure):
                next_host()
                return
            settled = True
            edit.acknowledged = self.loop.now()
            edit.revision = answer.revision
            edit.outcome = answer.outcome

        self.call_later(HOST_CALL_TIMEOUT, next_host)
        if not self._plane.network.can_reach(self.name, host.name):
            return
        if not host.alive:
            self.call_later(2 * LINK_DELAY, next_host)
            return
        host.callers.append(next_host)
        self._plane.network.send(
            self,
            host,
            request,
            lambda received: host.edit(
                received,
                lambda answer: self._plane.network.send(
                    host,
                    self,
                    answer,
                    take,
                ),
            ),
        )


class ControlPlane:
    """Control hosts, nodes, an operator and the links between them."""

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
            name: ControlHost(self, name, self._fork())
            for name in self.host_names
        }
        self.nodes = {
            member.name: EmulatedNode(self, member, self._fork())
            for member in members
        }
        self.operator = Operator(self, self._fork())

    def _fork(self) -> Random:
        return Random(self.rng.getrandbits(64))

    def start(self) -> None:
        """Start all processes."""
        for host in self.hosts.values():
            host.start()
        for node in self.nodes.values():
            delay = timedelta(seconds=self.rng.random())
            self.loop.call_later(delay, node.start)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run(timedelta(seconds=seconds))

    def find_leader(self) -> ControlHost | None:
        """Return the host with a valid leader lease."""
        now = self.loop.now()
        for host in self.hosts.values():
            if host.alive and host.replica.lease_valid(now):
                return host
        return None

    def kill_host(self, host: ControlHost) -> None:
        """End a control host; its connections are closed."""
        host.kill()
        for session in host.sessions.values():
            node, stream = session.node, session.stream
            if self.network.can_reach(node.name, host.name):
                node.call_later(LINK_DELAY, partial(node.lose, stream))
        for notice in host.callers:
            self.operator.call_later(LINK_DELAY, notice)

    def list_alive(self) -> list[EmulatedNode]:
        """Return the nodes that run."""
        return [node for node in self.nodes.values() if node.alive]
