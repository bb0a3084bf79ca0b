"""Control host: replica, node sessions, leadership and operator calls."""

import asyncio
import contextlib
import os
import secrets
from collections.abc import Iterator
from datetime import datetime, timedelta
from functools import partial
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
from sequoiaseam._clock import Clock, create_incarnation
from sequoiaseam._commands import (
    Command,
    ControlAddressSet,
    CrashReported,
    ReplaceDocument,
    SetEvacuation,
)
from sequoiaseam._connection_limit import (
    INTERNAL_FRACTION,
    ConnectionLimit,
    compute_connection_limit,
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
from sequoiaseam._evacuation import log_evacuations
from sequoiaseam._feed import FeedSource
from sequoiaseam._group_repair import RepairPlanner
from sequoiaseam._leadership import Leadership
from sequoiaseam._logs import Level, log_event
from sequoiaseam._memory import (
    MemoryBudget,
    MemoryUse,
    compute_held_bytes_limit,
)
from sequoiaseam._operator_messages import EditAnswer, FollowRequest
from sequoiaseam._operator_requests import (
    QUORUM_TIMEOUT,
    FollowEventLog,
    OperatorRequestHandler,
    OperatorRequestHooks,
)
from sequoiaseam._process_end import EndMarker, log_former_process
from sequoiaseam._quota_host import QuotaHooks, QuotaHost
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
from sequoiaseam._quota_messages import QuotaAsk, QuotaSettles
from sequoiaseam._replica import ReplicaConfig
from sequoiaseam._replica_messages import (
    Membership,
    ReplicaStatus,
    RoleChanged,
    Snapshot,
)
from sequoiaseam._replica_messages import Role as ReplicaRole
from sequoiaseam._replica_runner import (
    Confirmation,
    JournalOpener,
    ReplicaHooks,
    ReplicaRunner,
)
from sequoiaseam._rpc import RpcServer, Stream, create_stopping_error
from sequoiaseam._sessions import NodeSessions, SessionHooks
from sequoiaseam._settings import ControlSettings, Endpoint, Secrets
from sequoiaseam._state import FleetState
from sequoiaseam._tables import Importance
from sequoiaseam._tasks import StepGuard, TaskGroup
from sequoiaseam.errors import ErrorCode, SeamError

TICK_INTERVAL: Final = timedelta(milliseconds=100)
# A fraction of the quota leases' report interval.
QUOTA_TICK_INTERVAL: Final = timedelta(milliseconds=50)
ALIVE_REPORT_INTERVAL: Final = timedelta(milliseconds=500)
# Time for the answers to operators' calls in a planned stop. An edit waits
# for a majority first.
OPERATOR_CALL_TIME_LIMIT: Final = QUORUM_TIMEOUT + timedelta(seconds=0.5)
# Includes the time for disk work in progress.
CLOSE_TIME_LIMIT: Final = OPERATOR_CALL_TIME_LIMIT + timedelta(seconds=2)
IDENTITY_BYTES: Final = 16
EDIT_ID_BYTES: Final = 16
# Memory that a document takes while it is decoded, compared and logged,
# relative to its size.
DOCUMENT_MEMORY_RATIO: Final = 32
# Revisions whose log indices are kept; older ones are in force everywhere.
REVISION_INDICES_MAX: Final = 10_000


class Control:
    """A control host, run by one ``sequoiaseam-control`` process."""

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._authenticator = create_authenticator(settings, clock)
        self._repair_planner: RepairPlanner | None = None
        self._logged_membership: Membership | None = None
        self._logged_exclusion = False
        self._codec = create_control_codec()
        self._tasks = TaskGroup()
        self._guard = StepGuard(settings.name)
        self._links = ControlLinks(
            PeerHello(settings.name, settings.domain, quota_leases=True),
            self._codec,
            clock,
            rng,
            self._authenticator.create_proof,
        )
        self._links.names_are_addresses = settings.automatic_repair
        # Failure domains of the control hosts that have said hello.
        self._domains = {settings.name: settings.domain}
        self._state = FleetState()
        self._event_log = FollowEventLog()
        self._leadership: Leadership | None = None
        self._leader: str | None = None
        # Term in which the leader is known.
        self._term = 0
        self._entry_applied = asyncio.Event()
        self._last_alive_report_at = clock.now()
        # Log indices of the newest revisions applied since startup.
        self._revision_indices: dict[int, int] = {}
        self._sessions = NodeSessions(
            FeedSource(self._state),
            clock,
            SessionHooks(
                get_confirmation=self._get_confirmation,
                forward=self._forward_to_leader,
                request_confirmation=self._request_confirmation,
            ),
        )
        self._replica_runner = ReplicaRunner(
            JournalOpener(
                str(settings.data),
                lambda: secrets.token_hex(IDENTITY_BYTES),
                replaces_damaged=settings.automatic_repair,
            ),
            ReplicaConfig(
                settings.name,
                tuple(settings.replicas),
                snapshot_interval_entries=settings.snapshot_every,
                bootstrap=settings.forms_group,
            ),
            clock,
            rng,
            ReplicaHooks(
                send=self._links.post,
                apply=self._apply,
                dump=lambda: self._state.dump(),
                load=self._load_snapshot,
                on_role_change=self._handle_role_change,
                restore=self._restore_state,
                on_confirmed=self._sessions.answer_waiting_pings,
            ),
        )
        self._quota_host = QuotaHost(
            settings.name,
            create_incarnation(clock.now(), rng),
            self._codec,
            QuotaHooks(
                post_to_node=self._sessions.post,
                post_to_host=self._links.post,
                get_state=lambda: self._state,
                get_leader=self._get_leader_and_term,
                get_leadership=lambda: self._leadership,
                lease_valid=self._is_lease_valid,
                list_voters=self._list_voters,
            ),
        )
        self._request_handler = OperatorRequestHandler(
            lambda: self._state,
            self._replica_runner,
            self._sessions,
            clock,
            OperatorRequestHooks(
                get_leadership=lambda: self._leadership,
                wait_until_applied=self._wait_applied,
                find_revision_index=self._find_index,
            ),
        )
        self._memory = MemoryBudget(
            compute_held_bytes_limit(settings.memory_limit_bytes)
        )
        self._end_marker = EndMarker(settings.data)
        self._rpc_server: RpcServer | None = None
        self._calls_in_progress: set[asyncio.Task[Any]] = set()
        # Set at the end of a drain.
        self._closing = False

    # Lifecycle.

    async def start(self) -> None:
        """Open the listener and join the replication group."""
        await self._replica_runner.start()
        self._tasks.start(self._follow_former_process())
        self._rpc_server = RpcServer(
            self._authenticator,
            self._clock,
            self._codec,
            {
                ATTACH_PATH: self._serve_node,
                PEER_PATH: self._serve_peer,
                CALL_PATH: self._serve_call,
                FOLLOW_PATH: self._serve_follow,
            },
            ConnectionLimit(
                compute_connection_limit(
                    self._settings.descriptor_limit, INTERNAL_FRACTION
                )
            ),
        )
        listen = self._settings.listen
        await self._rpc_server.start(listen.host, listen.port)
        self._update_links()
        self._tasks.start_periodic(TICK_INTERVAL, self._tick)
        self._tasks.start_periodic(
            QUOTA_TICK_INTERVAL,
            lambda: self._quota_host.tick(self._clock.now()),
        )

    @property
    def close_time_limit(self) -> timedelta:
        """Return the time from SIGTERM after which ``close`` is cancelled."""
        return CLOSE_TIME_LIMIT

    async def drain(
        self,
        elapsed: timedelta = timedelta(0),
        time_limit: timedelta = OPERATOR_CALL_TIME_LIMIT,
    ) -> None:
        """Answer the operators' calls in progress, and refuse later ones.

        Nodes and replicas fail over on their own. The time limit is
        measured from the request to stop, ``elapsed`` ago.
        """
        if self._rpc_server is not None:
            self._guard.run(self._rpc_server.stop_accepting)
        self._guard.run(lambda: self._quota_host.leave(self._clock.now()))
        deadline = self._guard.run(
            lambda: self._clock.now() - elapsed + time_limit
        )
        if deadline is not None:
            await self._guard.wait(partial(self._wait_for_calls, deadline))
        # Set in the same step as the last check, as a call that starts later
        # would be cut off by ``close``.
        self._closing = True

    async def _wait_for_calls(self, deadline: datetime) -> None:
        while self._calls_in_progress and self._clock.now() < deadline:
            await asyncio.wait(
                self._calls_in_progress,
                timeout=(deadline - self._clock.now()).total_seconds(),
            )

    async def close(self) -> None:
        """Close the listener and all connections."""
        guard = self._guard
        await guard.wait(self._tasks.cancel)
        await guard.wait(self._links.close)
        if self._rpc_server is not None:
            await guard.wait(self._rpc_server.close)
        await guard.wait(self._replica_runner.close)

    def describe_state(self) -> dict[str, object]:
        """Return log fields on what is in progress."""
        held_shards, held_workspaces = self._quota_host.count_held()
        return {
            "calls": len(self._calls_in_progress),
            "role": "leader" if self._leadership is not None else "follower",
            "leader": self._leader or "",
            "applied_index": self._replica_runner.applied_index,
            "quota_lease_shards": held_shards,
            "quota_lease_workspaces": held_workspaces,
        }

    def format_metrics(self) -> bytes:
        """Return this host's metrics in the text format of Prometheus."""
        if self._rpc_server is None:
            return b""
        return self._rpc_server.turned_away.format_metrics()

    async def _follow_former_process(self) -> None:
        """Log how the last process of this host ended, if that is known."""
        former = await asyncio.to_thread(
            self._end_marker.start, self._clock.now()
        )
        if former is not None:
            log_former_process(self._settings.name, former)

    async def record_end(self, reason: str) -> None:
        """Record for the next process that this one ends in order."""
        await asyncio.to_thread(
            self._end_marker.end, self._clock.now(), reason
        )

    def _tick(self) -> None:
        now = self._clock.now()
        if now - self._last_alive_report_at >= ALIVE_REPORT_INTERVAL:
            self._report_active_nodes(now)
        if self._leadership is not None:
            self._leadership.tick(now)
        if self._settings.automatic_repair:
            self._repair(now)

    def _repair(self, now: datetime) -> None:
        """Send the group's hosts to the nodes; repair the group as leader."""
        status = self._replica_runner.replica.status()
        self._log_membership(status)
        self._log_exclusion(status)
        if status.membership is not None:
            self._announce_hosts(
                tuple(voter.host for voter in status.membership.voters)
            )
        if self._leadership is None:
            self._repair_planner = None
            return
        if self._repair_planner is None:
            self._repair_planner = RepairPlanner(now)
        step = self._repair_planner.decide(now, status)
        if step is not None:
            log_event(
                Level.INFO,
                "group repair started",
                step=type(step).__name__,
                old=getattr(step, "old", getattr(step, "host", "")),
                new=getattr(step, "new", ""),
                voters=[voter.host for voter in status.membership.voters]
                if status.membership
                else [],
            )
            self._replica_runner.repair(step)

    def _announce_hosts(self, hosts: tuple[str, ...]) -> None:
        """Send the control hosts to the nodes; link this host to them.

        All hosts are linked, so that each learns the domains of the others.
        """
        for host in hosts:
            self._links.open_by_address(host)
        domains = tuple(self._domains.get(host, "") for host in hosts)
        self._sessions.send_control_hosts(
            ControlHosts(hosts, self._leader or "", domains)
        )

    def _log_membership(self, status: ReplicaStatus) -> None:
        """Log each change of the group membership."""
        membership = status.membership
        if membership is None or membership == self._logged_membership:
            return
        self._logged_membership = membership
        incoming, outgoing = membership.incoming, membership.outgoing
        log_event(
            Level.INFO,
            "group changed",
            votes=status.replica in membership.voters,
            voters=[voter.host for voter in membership.voters],
            incoming=incoming.host if incoming else "",
            outgoing=outgoing.host if outgoing else "",
        )

    def _log_exclusion(self, status: ReplicaStatus) -> None:
        """Log that the group removed this host, or admitted it again."""
        if status.excluded == self._logged_exclusion:
            return
        self._logged_exclusion = status.excluded
        if status.excluded:
            log_event(
                Level.WARNING,
                "group has removed this host; asking to join again",
                commit_index=status.commit_index,
            )
        else:
            log_event(Level.INFO, "group admitted this host again")

    def _report_active_nodes(self, now: datetime) -> None:
        since, self._last_alive_report_at = self._last_alive_report_at, now
        batch = AliveBatch(
            self._sessions.list_active_nodes(since),
            self._sessions.take_leave_notices(),
        )
        if self._leadership is not None:
            self._leadership.renew_leases(now, batch)
        elif self._leader is not None:
            self._links.post(self._leader, batch)

    # Replicated state.

    def _request_confirmation(self) -> None:
        self._replica_runner.request_confirmation()

    def _get_confirmation(self) -> Confirmation | None:
        return self._replica_runner.confirmation

    def _apply(self, index: int, command: Command) -> None:
        evacuated = self._state.evacuated_domains
        result = self._state.apply(index, command)
        self._log_evacuations(evacuated)
        for node, message in self._sessions.feed.publish(index, command):
            self._sessions.post(node, message)
        self._event_log.record(self._state, command)
        if result is not None:
            log_event(
                Level.INFO,
                "edit applied",
                edit=result.edit_id,
                status=result.status.value,
                revision=result.revision,
                index=index,
            )
            self._record_revision(result.revision, index)
        if isinstance(command, ControlAddressSet):
            self._update_links()
        if self._leadership is not None:
            self._leadership.update_tables(self._clock.now())
        self._entry_applied.set()
        self._entry_applied = asyncio.Event()

    def _log_evacuations(self, before: tuple[str, ...]) -> None:
        """Log each change of the evacuated failure domains."""
        state = self._state
        if state.evacuated_domains != before:
            log_evacuations(
                before,
                state.evacuated_domains,
                self._settings.name,
                state.index,
            )

    def _record_revision(self, revision: int, index: int) -> None:
        """Keep the index of a revision; drop the oldest beyond the limit."""
        self._revision_indices.setdefault(revision, index)
        if len(self._revision_indices) > REVISION_INDICES_MAX:
            del self._revision_indices[next(iter(self._revision_indices))]

    def _update_links(self) -> None:
        """Update the links; addresses in the log override the settings."""
        if self._settings.automatic_repair:
            # Links are opened on demand, when a message is sent.
            return
        hosts = dict(self._settings.replicas)
        for name, address in self._state.control_addresses.items():
            hosts[name] = Endpoint(address.host, address.port)
        self._links.update(hosts)

    def _restore_state(self, snapshot: Snapshot | None) -> None:
        """Reset roles and load the snapshot on disk, or an empty state."""
        self._leadership = None
        self._leader = None
        self._replace_state(
            FleetState.load(snapshot.data) if snapshot else FleetState(),
        )
        # Entries after the snapshot are applied again, so that what the
        # former state had more hasn't ended.
        self._log_evacuations(())

    def _load_snapshot(self, data: bytes) -> None:
        evacuated = self._state.evacuated_domains
        self._replace_state(FleetState.load(data))
        self._log_evacuations(evacuated)

    def _replace_state(self, state: FleetState) -> None:
        self._state = state
        self._update_links()
        self._sessions.feed.replace_state(self._state)

    def _find_index(self, revision: int) -> int:
        """Return the log index of a revision, or a later index."""
        return self._revision_indices.get(revision, self._state.index)

    async def _wait_applied(self, index: int) -> None:
        while self._replica_runner.applied_index < index:
            await self._entry_applied.wait()

    def _handle_role_change(self, change: RoleChanged) -> None:
        self._leader, self._term = change.leader, change.term
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
                host=self._settings.name,
                assigns_witnesses=self._settings.assigns_witnesses,
                quota_leases=self._settings.quota_leases,
            )

    def _start_proposal(self, command: Command) -> None:
        self._tasks.start(self._propose(command))

    async def _propose(self, command: Command) -> None:
        try:
            await self._replica_runner.propose(command)
        except SeamError as error:
            log_event(
                Level.INFO,
                "proposal not committed",
                command=type(command).__name__,
                code=error.code.value,
            )

    # Nodes.

    async def _serve_node(self, stream: Stream, identity: Identity) -> None:
        await self._sessions.serve(stream, identity.name)

    def _forward_to_leader(self, node: str, message: Any) -> None:
        """Pass a node's message to the leader, on this host or another.

        Quota may be leased to another host than the leader.
        """
        if isinstance(message, QuotaAsk | QuotaSettles):
            self._quota_host.receive_from_node(
                self._clock.now(), node, message
            )
        elif self._leadership is not None:
            answer = self._handle_node_message(message)
            if answer is not None:
                self._sessions.post(node, answer)
        elif self._leader is not None:
            self._links.post(
                self._leader,
                Relay(node, self._codec.encode(message)),
            )

    def _handle_node_message(self, message: Any) -> object | None:
        if self._leadership is None:
            return None
        now = self._clock.now()
        if isinstance(message, CrashReported):
            self._start_proposal(message)
            return None
        return self._leadership.receive(
            now,
            message,
            lease_valid=self._is_lease_valid(now),
        )

    def _is_lease_valid(self, now: datetime) -> bool:
        return self._replica_runner.replica.lease_valid(now)

    def _list_voters(self) -> tuple[str, ...]:
        membership = self._replica_runner.replica.status().membership
        if membership is None:
            return ()
        return tuple(voter.host for voter in membership.voters)

    def _get_leader_and_term(self) -> tuple[str, int] | None:
        return None if self._leader is None else (self._leader, self._term)

    # Interface for programs that embed a control host.

    @property
    def name(self) -> str:
        """Return the name of this host."""
        return self._settings.name

    @property
    def leader(self) -> str | None:
        """Return the name of the leader, or None if it is unknown."""
        return self._leader

    @contextlib.contextmanager
    def hold_document(self, size: int) -> Iterator[None]:
        """Charge a document of this size in bytes until it is handled.

        Raise SeamError, before it is read, if it doesn't fit into memory.
        """
        # One fits alone, whatever its size.
        charged = min(
            DOCUMENT_MEMORY_RATIO * size, self._memory.largest_request_bytes
        )
        if not self._memory.reserve_request(
            MemoryUse.REQUESTS, charged, Importance.CRITICAL
        ):
            raise SeamError(ErrorCode.OVERLOAD, "too many large documents")
        try:
            yield
        finally:
            self._memory.release(MemoryUse.REQUESTS, charged)

    async def replace_document(self, command: ReplaceDocument) -> EditAnswer:
        """Commit a whole document; raise SeamError if unconfirmed."""
        return await self._request_handler.replace_document(command)

    async def set_evacuation(
        self, operator: str, domain: str, *, evacuated: bool
    ) -> EditAnswer:
        """Evacuate a failure domain, or end its evacuation.

        Raise SeamError if the order is unconfirmed; it may be given again.
        """
        return await self._request_handler.set_evacuation(
            SetEvacuation(
                secrets.token_hex(EDIT_ID_BYTES), operator, domain, evacuated
            )
        )

    async def read_document(self) -> bytes:
        """Return the newest document; raise SeamError if unconfirmed."""
        return await self._request_handler.read_document()

    # Other control hosts.

    async def _serve_peer(self, stream: Stream, identity: Identity) -> None:
        _require_operator(identity)
        hello = await stream.recv_message()
        if not isinstance(hello, PeerHello) or hello.name != identity.name:
            return
        self._domains[hello.name] = hello.domain
        self._quota_host.record_host(hello.name, capable=hello.quota_leases)
        async for message in stream:
            if isinstance(message, PeerPing):
                await stream.send_message(message)
            else:
                self._handle_peer_message(hello.name, message)

    def _handle_peer_message(self, sender: str, message: Any) -> None:
        if isinstance(message, AliveBatch):
            if self._leadership is not None:
                self._leadership.renew_leases(self._clock.now(), message)
        elif isinstance(message, Relay):
            self._handle_relay(sender, message)
        elif isinstance(message, QuotaLeaseReport):
            now = self._clock.now()
            self._quota_host.receive_report(now, sender, message)
        elif isinstance(message, QuotaLeaseAnswer):
            self._quota_host.receive_answer(self._clock.now(), message)
        else:
            self._replica_runner.receive(sender, message)

    def _handle_relay(self, sender: str, relay: Relay) -> None:
        """Handle a relayed message, or pass a relayed answer to its node."""
        message = self._codec.decode(relay.payload)
        if relay.answer:
            self._sessions.post(relay.node, message)
            return
        if isinstance(message, QuotaAsk | QuotaSettles):
            now = self._clock.now()
            self._quota_host.receive_relay(now, sender, relay, message)
            return
        answer = self._handle_node_message(message)
        if answer is not None:
            self._links.post(
                sender,
                Relay(relay.node, self._codec.encode(answer), answer=True),
            )

    # Operators.

    async def _serve_call(self, stream: Stream, identity: Identity) -> None:
        _require_operator(identity)
        request = await stream.recv_message()
        if self._closing:
            raise create_stopping_error()
        task = asyncio.current_task()
        assert task is not None  # noqa: S101 - each stream has a task
        self._calls_in_progress.add(task)
        task.add_done_callback(self._calls_in_progress.discard)
        try:
            answer = await self._request_handler.handle_request(request)
        except SeamError as error:
            answer = Failure(
                error.code.value,
                error.message,
                self._leader or "",
            )
        await stream.send_message(answer)

    async def _serve_follow(self, stream: Stream, identity: Identity) -> None:
        _require_operator(identity)
        request = await stream.recv_message()
        if not isinstance(request, FollowRequest):
            return
        last_sent_index = request.after_index
        while True:
            event = await self._event_log.wait(last_sent_index)
            await stream.send_message(event)
            last_sent_index = event.index


class _Authenticator(ProofChecker, Protocol):
    """Create proofs for this host and verify those of others."""

    def create_proof(self) -> str:
        """Return the proof that opens a connection."""


class _SharedSecretAuthenticator(Verifier):
    """Authentication with the shared secrets of the settings."""

    def __init__(self, secrets: Secrets, name: str, clock: Clock) -> None:
        credentials = Credentials(secrets.fleet, secrets.operators)
        super().__init__(credentials)
        self._signer = credentials
        self._name = name
        self._clock = clock

    def create_proof(self) -> str:
        """Return a proof with the operator role.

        A node has no operator secret, so it can't impersonate a control
        host and append to the log.
        """
        return self._signer.sign(
            self._clock.now(),
            Role.OPERATOR,
            self._name,
            os.urandom(16).hex(),
        )


def create_authenticator(
    settings: ControlSettings, clock: Clock
) -> _Authenticator:
    """Return the authenticator that the settings configure."""
    if settings.secrets is None:
        return TrustedNetwork(settings.name, Role.OPERATOR)
    return _SharedSecretAuthenticator(settings.secrets, settings.name, clock)


def _require_operator(identity: Identity) -> None:
    """Raise SeamError ACCESS_DENIED unless the peer is an operator."""
    if identity.role is not Role.OPERATOR:
        raise SeamError(ErrorCode.ACCESS_DENIED, "a node may not do this")
