"""A control host: replica, node sessions, leadership and operators."""

import asyncio
import os
import secrets
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final, Protocol

from sequoiaseam._access import (
    Credentials,
    Identity,
    ProofChecker,
    Role,
    TrustedNetwork,
    Verifier,
)
from sequoiaseam._clock import Clock
from sequoiaseam._commands import (
    Command,
    ControlAddressSet,
    CrashReported,
    ReplaceDocument,
)
from sequoiaseam._control_links import ControlLinks
from sequoiaseam._control_messages import (
    ATTACH_PATH,
    CALL_PATH,
    FOLLOW_PATH,
    PEER_PATH,
    AliveBatch,
    ControlHosts,
    Failure,
    PeerHello,
    PeerPing,
    Relay,
    create_control_codec,
)
from sequoiaseam._custody import Custodian
from sequoiaseam._feed import FeedSource
from sequoiaseam._leadership import Leadership
from sequoiaseam._logs import Level, log_event
from sequoiaseam._operations import EventLog, OperationHooks, Operations
from sequoiaseam._operator import EditAnswer, FollowRequest
from sequoiaseam._replica import ReplicaConfig
from sequoiaseam._replica_host import (
    Confirmation,
    ReplicaDisk,
    ReplicaHooks,
    ReplicaHost,
)
from sequoiaseam._replica_messages import (
    Membership,
    ReplicaStatus,
    RoleChanged,
    Snapshot,
)
from sequoiaseam._replica_messages import Role as ReplicaRole
from sequoiaseam._rpc import RpcServer, Stream
from sequoiaseam._sessions import NodeSessions, SessionHooks
from sequoiaseam._settings import ControlSettings, Endpoint, Secrets
from sequoiaseam._state import FleetState
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.errors import ErrorCode, SeamError

TICK: Final = timedelta(milliseconds=100)
ALIVE_INTERVAL: Final = timedelta(milliseconds=500)
IDENTITY_BYTES: Final = 16


class Control:
    """Everything of one ``sequoiaseam-control`` process."""

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._access = create_access(settings, clock)
        self._custodian: Custodian | None = None
        self._group: Membership | None = None
        self._codec = create_control_codec()
        self._tasks = TaskGroup()
        self._links = ControlLinks(
            settings.name,
            self._codec,
            rng,
            self._access.create_proof,
        )
        self._links.named_by_address = settings.repairs
        self._state = FleetState()
        self._events = EventLog()
        self._leadership: Leadership | None = None
        self._leader: str | None = None
        self._applied = asyncio.Event()
        self._alive_at = clock.now()
        # Log index of each revision since the start.
        self._revision_indices: dict[int, int] = {}
        self._sessions = NodeSessions(
            FeedSource(self._state),
            clock,
            SessionHooks(self._get_confirmation, self._forward),
        )
        self._host = ReplicaHost(
            ReplicaDisk(
                str(settings.data),
                lambda: secrets.token_hex(IDENTITY_BYTES),
                replaces_damaged=settings.repairs,
            ),
            ReplicaConfig(
                settings.name,
                tuple(settings.replicas),
                snapshot_interval_entries=settings.snapshot_every,
                bootstrap=settings.forms,
            ),
            clock,
            rng,
            ReplicaHooks(
                send=self._links.post,
                apply=self._apply,
                dump=lambda: self._state.dump(),
                load=self._load,
                change_role=self._change_role,
                restore=self._restore,
            ),
        )
        self._operations = Operations(
            lambda: self._state,
            self._host,
            self._sessions,
            clock,
            OperationHooks(
                get_leadership=lambda: self._leadership,
                wait_applied=self._wait_applied,
                find_index=self._find_index,
            ),
        )
        self._server: RpcServer | None = None

    # Lifecycle.

    async def start(self) -> None:
        """Open the listener and take part in the group."""
        await self._host.start()
        self._server = RpcServer(
            self._access,
            self._clock,
            self._codec,
            {
                ATTACH_PATH: self._attach,
                PEER_PATH: self._peer,
                CALL_PATH: self._call,
                FOLLOW_PATH: self._follow,
            },
        )
        listen = self._settings.listen
        await self._server.start(listen.host, listen.port)
        self._update_links()
        self._tasks.start(self._tick())

    async def drain(self) -> None:
        """End nothing: nodes and replicas move on by themselves."""

    async def close(self) -> None:
        """Close the listener and all connections."""
        await self._tasks.cancel()
        await self._links.close()
        if self._server is not None:
            await self._server.close()
        await self._host.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            now = self._clock.now()
            if now - self._alive_at >= ALIVE_INTERVAL:
                self._report_alive(now)
            if self._leadership is not None:
                self._leadership.tick(now)
            if self._settings.repairs:
                self._repair(now)

    def _repair(self, now: datetime) -> None:
        """Tell nodes the group's hosts; as its leader, repair it."""
        status = self._host.replica.status()
        self._log_group(status)
        if status.membership is not None:
            hosts = tuple(one.host for one in status.membership.voters)
            leader = self._leader or ""
            self._sessions.tell_controls(ControlHosts(hosts, leader))
        if self._leadership is None:
            self._custodian = None
            return
        if self._custodian is None:
            self._custodian = Custodian(now)
        step = self._custodian.decide(now, status)
        if step is not None:
            log_event(
                Level.INFO,
                "group repair started",
                step=type(step).__name__,
                old=getattr(step, "old", getattr(step, "host", "")),
                new=getattr(step, "new", ""),
                voters=[one.host for one in status.membership.voters]
                if status.membership
                else [],
            )
            self._host.repair(step)

    def _log_group(self, status: ReplicaStatus) -> None:
        """Log each change of the group's hosts."""
        membership = status.membership
        if membership is None or membership == self._group:
            return
        self._group = membership
        incoming, outgoing = membership.incoming, membership.outgoing
        log_event(
            Level.INFO,
            "group changed",
            votes=status.replica in membership.voters,
            voters=[one.host for one in membership.voters],
            incoming=incoming.host if incoming else "",
            outgoing=outgoing.host if outgoing else "",
        )

    def _report_alive(self, now: datetime) -> None:
        since, self._alive_at = self._alive_at, now
        batch = AliveBatch(
            self._sessions.collect(since),
            self._sessions.take_gone(),
        )
        if self._leadership is not None:
            self._leadership.renew_leases(now, batch)
        elif self._leader is not None:
            self._links.post(self._leader, batch)

    # Replicated state.

    def _get_confirmation(self) -> Confirmation | None:
        return self._host.confirmation

    def _apply(self, index: int, command: Command) -> None:
        result = self._state.apply(index, command)
        for node, message in self._sessions.feed.publish(index, command):
            self._sessions.post(node, message)
        self._events.record(self._state, command)
        if result is not None:
            log_event(
                Level.INFO,
                "edit applied",
                edit=result.edit_id,
                status=result.status.value,
                revision=result.revision,
                index=index,
            )
            self._revision_indices.setdefault(result.revision, index)
        if isinstance(command, ControlAddressSet):
            self._update_links()
        if self._leadership is not None:
            self._leadership.update_tables(self._clock.now())
        self._applied.set()
        self._applied = asyncio.Event()

    def _update_links(self) -> None:
        """Follow the addresses of settings and log; the log's win."""
        if self._settings.repairs:
            # Links are opened to whomever a message goes.
            return
        hosts = dict(self._settings.replicas)
        for name, address in self._state.control_addresses.items():
            hosts[name] = Endpoint(address.host, address.port)
        self._links.update(hosts)

    def _restore(self, snapshot: Snapshot | None) -> None:
        """Begin anew with what the disk holds."""
        self._leadership = None
        self._leader = None
        self._set_state(
            FleetState.load(snapshot.data) if snapshot else FleetState(),
        )

    def _load(self, data: bytes) -> None:
        self._set_state(FleetState.load(data))

    def _set_state(self, state: FleetState) -> None:
        self._state = state
        self._update_links()
        self._sessions.feed.replace_state(self._state)

    def _find_index(self, revision: int) -> int:
        """Return the index of a revision, or a later one."""
        return self._revision_indices.get(revision, self._state.index)

    async def _wait_applied(self, index: int) -> None:
        while self._host.applied_index < index:
            await self._applied.wait()

    def _change_role(self, change: RoleChanged) -> None:
        self._leader = change.leader
        log_event(
            Level.INFO,
            "role changed",
            control=self._settings.name,
            role=change.role.value,
            term=change.term,
            leader=change.leader or "",
        )
        if change.role is not ReplicaRole.LEADER:
            self._leadership = None
        elif self._leadership is None or self._leadership.term != change.term:
            self._leadership = Leadership(
                self._clock.now(),
                change.term,
                lambda: self._state,
                self._rng,
                self._start_proposal,
            )

    def _start_proposal(self, command: Command) -> None:
        self._tasks.start(self._propose(command))

    async def _propose(self, command: Command) -> None:
        try:
            await self._host.propose(command)
        except SeamError as error:
            log_event(
                Level.INFO,
                "proposal not committed",
                command=type(command).__name__,
                code=error.code.value,
            )

    # Nodes.

    async def _attach(self, stream: Stream, identity: Identity) -> None:
        await self._sessions.serve(stream, identity.name)

    def _forward(self, node: str, message: Any) -> None:
        """Pass a node's message to the leader, here or elsewhere."""
        if self._leadership is not None:
            answer = self._handle_node(message)
            if answer is not None:
                self._sessions.post(node, answer)
        elif self._leader is not None:
            self._links.post(
                self._leader,
                Relay(node, self._codec.encode(message)),
            )

    def _handle_node(self, message: Any) -> object | None:
        if self._leadership is None:
            return None
        now = self._clock.now()
        if isinstance(message, CrashReported):
            self._start_proposal(message)
            return None
        return self._leadership.receive(
            now,
            message,
            lease_valid=self._host.replica.lease_valid(now),
        )

    # Documents, for a program that embeds this host.

    @property
    def name(self) -> str:
        """Return this host's name."""
        return self._settings.name

    @property
    def leader(self) -> str | None:
        """Return the name of the leading host, None while none is known."""
        return self._leader

    async def replace_document(self, command: ReplaceDocument) -> EditAnswer:
        """Commit a whole document; raise SeamError when that is unsure."""
        return await self._operations.replace_document(command)

    async def read_document(self) -> bytes:
        """Return the newest document; raise SeamError when unsure."""
        return await self._operations.read_document()

    # Other control hosts.

    async def _peer(self, stream: Stream, identity: Identity) -> None:
        _require_operator(identity)
        hello = await stream.recv_message()
        if not isinstance(hello, PeerHello) or hello.name != identity.name:
            return
        async for message in stream:
            if isinstance(message, PeerPing):
                await stream.send_message(message)
            else:
                self._receive_peer(hello.name, message)

    def _receive_peer(self, sender: str, message: Any) -> None:
        if isinstance(message, AliveBatch):
            if self._leadership is not None:
                self._leadership.renew_leases(self._clock.now(), message)
        elif isinstance(message, Relay):
            self._receive_relay(sender, message)
        else:
            self._host.receive(sender, message)

    def _receive_relay(self, sender: str, relay: Relay) -> None:
        """Handle a relayed message, or pass its answer to the node."""
        message = self._codec.decode(relay.payload)
        if relay.answer:
            self._sessions.post(relay.node, message)
            return
        answer = self._handle_node(message)
        if answer is not None:
            self._links.post(
                sender,
                Relay(relay.node, self._codec.encode(answer), answer=True),
            )

    # Operators.

    async def _call(self, stream: Stream, identity: Identity) -> None:
        _require_operator(identity)
        request = await stream.recv_message()
        try:
            answer = await self._operations.run(request)
        except SeamError as error:
            answer = Failure(
                error.code.value,
                error.message,
                self._leader or "",
            )
        await stream.send_message(answer)

    async def _follow(self, stream: Stream, identity: Identity) -> None:
        _require_operator(identity)
        request = await stream.recv_message()
        if not isinstance(request, FollowRequest):
            return
        after = request.after_index
        while True:
            for event in await self._events.wait(after):
                await stream.send_message(event)
                after = event.index


class _Access(ProofChecker, Protocol):
    """Makes proofs for this host and checks those of others."""

    def create_proof(self) -> str:
        """Return the proof that opens a connection."""


class _SecretAccess(Verifier):
    """Access by the shared secrets of the settings."""

    def __init__(self, secrets: Secrets, name: str, clock: Clock) -> None:
        credentials = Credentials(secrets.fleet, secrets.operators)
        super().__init__(credentials)
        self._signer = credentials
        self._name = name
        self._clock = clock

    def create_proof(self) -> str:
        """Return a proof as an operator.

        A node has no operators' secret, so it can't pose as a control
        host and append to the log.
        """
        return self._signer.sign(
            self._clock.now(),
            Role.OPERATOR,
            self._name,
            os.urandom(16).hex(),
        )


def create_access(settings: ControlSettings, clock: Clock) -> _Access:
    """Return the access that the settings name."""
    if settings.secrets is None:
        return TrustedNetwork(settings.name, Role.OPERATOR)
    return _SecretAccess(settings.secrets, settings.name, clock)


def _require_operator(identity: Identity) -> None:
    """Raise SeamError ACCESS_DENIED for a node."""
    if identity.role is not Role.OPERATOR:
        raise SeamError(ErrorCode.ACCESS_DENIED, "a node may not do this")
