"""The quota at a control host: routes asks, holds leases, reports them."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, Final

from sequoiaseam._codec import Codec
from sequoiaseam._control_messages import Relay
from sequoiaseam._leadership import Leadership
from sequoiaseam._logs import Level, log_event
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
from sequoiaseam._quota_leases import ControlGroup, QuotaLeaseHolder
from sequoiaseam._quota_messages import QuotaAsk, QuotaSettle, QuotaSettles
from sequoiaseam._state import FleetState
from sequoiaseam._tables import Tables

# The rule that puts leases in force reads all workspaces.
PLAN_INTERVAL: Final = timedelta(milliseconds=500)
# Number of hosts that a node's message has passed before this one.
_FROM_NODE: Final = 0
_RELAYED: Final = 1
_PASSED_ON: Final = 2


@dataclass(frozen=True, slots=True)
class QuotaHooks:
    """Functions of the control host.

    ``get_leader`` returns the leader's name and term, ``lease_valid`` tells
    whether the own leader lease is valid, and ``list_voters`` returns the
    voters' names.
    """

    post_to_node: Callable[[str, object], None]
    post_to_host: Callable[[str, object], None]
    get_state: Callable[[], FleetState]
    get_leader: Callable[[], tuple[str, int] | None]
    get_leadership: Callable[[], Leadership | None]
    lease_valid: Callable[[datetime], bool]
    list_voters: Callable[[], tuple[str, ...]]


class QuotaHost:
    """Passes nodes' messages to the holder of a workspace, or the leader.

    A message that reaches a host which doesn't hold the workspace is passed
    on once; after that it is dropped, and the node repeats its ask.
    """

    def __init__(
        self, name: str, session: int, codec: Codec, hooks: QuotaHooks
    ) -> None:
        self._name = name
        self._codec = codec
        self._hooks = hooks
        self._holder = QuotaLeaseHolder(name, session)
        self._tables: Tables | None = None
        self._logged: frozenset[int] = frozenset()
        self._planned_at: datetime | None = None
        # Control hosts whose version knows the messages of the leases.
        self._capable = {name}

    def record_host(self, host: str, *, capable: bool) -> None:
        """Record whether a control host knows the leases' messages."""
        (self._capable.add if capable else self._capable.discard)(host)

    def count_held(self) -> tuple[int, int]:
        """Return the numbers of held shards and of their workspaces."""
        return len(self._holder.held), self._holder.count_workspaces()

    def tick(self, now: datetime) -> None:
        """Expire leases and grants; report to the leader if that is due."""
        if self._planned_at is None or now - self._planned_at >= PLAN_INTERVAL:
            self._planned_at = now
            self._plan(now)
        state = self._hooks.get_state()
        if not state.quota_leases:
            self._holder.end_all()
        else:
            self._configure(now, state)
            self._holder.tick(now)
            self._report(now, state)
        self._log_changes()

    def _plan(self, now: datetime) -> None:
        leadership = self._hooks.get_leadership()
        if leadership is not None and self._hooks.lease_valid(now):
            voters = self._hooks.list_voters()
            group = ControlGroup(voters, frozenset(self._capable))
            leadership.plan_quota_leases(now, group)

    def _configure(self, now: datetime, state: FleetState) -> None:
        if state.tables is not self._tables:
            self._tables = state.tables
            self._holder.configure(now, state.index, state.tables.workspaces)

    def _report(self, now: datetime, state: FleetState) -> None:
        leader = self._hooks.get_leader()
        if leader is None or leader[0] not in self._capable:
            return
        report = self._holder.report(now, leader[1], state.index)
        if report is not None:
            self._send_report(now, leader[0], report)

    def _send_report(
        self, now: datetime, leader: str, report: QuotaLeaseReport
    ) -> None:
        if leader != self._name:
            self._hooks.post_to_host(leader, report)
            return
        answer = self._answer_report(now, report)
        if answer is not None:
            self._holder.receive(now, answer)

    def leave(self, now: datetime) -> None:
        """End all leases before a planned stop, and tell the leader."""
        held = self._holder.held
        report = self._holder.leave(now)
        leader = self._hooks.get_leader()
        if held and report is not None and leader is not None:
            self._send_report(now, leader[0], report)
        self._log_changes()

    def receive_report(
        self, now: datetime, sender: str, report: QuotaLeaseReport
    ) -> None:
        """Answer a holder's report, as the leader."""
        answer = self._answer_report(now, report)
        if answer is not None and sender == report.host:
            self._hooks.post_to_host(sender, answer)

    def _answer_report(
        self, now: datetime, report: QuotaLeaseReport
    ) -> QuotaLeaseAnswer | None:
        leadership = self._hooks.get_leadership()
        if leadership is None or not self._hooks.lease_valid(now):
            return None
        voters = self._hooks.list_voters()
        return leadership.receive_lease_report(now, report, voters)

    def receive_answer(self, now: datetime, answer: QuotaLeaseAnswer) -> None:
        """Follow the leader's answer to the last report."""
        self._holder.receive(now, answer)
        self._log_changes()

    def receive_from_node(
        self, now: datetime, node: str, message: Any
    ) -> None:
        """Handle an ask or settlements of a node attached to this host."""
        self._route(now, node, message, self._name, _FROM_NODE)

    def receive_relay(
        self, now: datetime, sender: str, relay: Relay, message: Any
    ) -> None:
        """Handle a node's message that another control host has sent."""
        if relay.origin:
            self._route(now, relay.node, message, relay.origin, _PASSED_ON)
        else:
            self._route(now, relay.node, message, sender, _RELAYED)

    def _route(
        self, now: datetime, node: str, message: Any, origin: str, hops: int
    ) -> None:
        if isinstance(message, QuotaAsk):
            target = self._find_target(now, message.workspace, origin, hops)
            if target == self._name:
                self._answer_ask(now, node, message, origin)
            elif target is not None:
                self._pass_on(target, node, message, origin, hops)
            return
        settles_by_target: dict[str | None, list[QuotaSettle]] = {}
        for settle in message.settles:
            target = self._find_target(now, settle.workspace, origin, hops)
            settles_by_target.setdefault(target, []).append(settle)
        for target, settles in settles_by_target.items():
            batch = QuotaSettles(tuple(settles))
            if target == self._name:
                self._settle(now, batch)
            elif target is not None:
                self._pass_on(target, node, batch, origin, hops)

    def _find_target(
        self, now: datetime, workspace: str, origin: str, hops: int
    ) -> str | None:
        """Return the host that decides; None if the message is dropped."""
        host = self._holder.find_host(now, workspace)
        if host == self._name:
            return host
        leadership = self._hooks.get_leadership()
        if leadership is not None:
            host = leadership.find_quota_holder(now, workspace)
        elif host is None:
            leader = self._hooks.get_leader()
            host = leader[0] if leader is not None else None
        if hops == _PASSED_ON or host in (None, self._name, origin):
            return self._name if leadership is not None else None
        return host

    def _pass_on(
        self, target: str, node: str, message: object, origin: str, hops: int
    ) -> None:
        relay = Relay(
            node,
            self._codec.encode(message),
            origin="" if hops == _FROM_NODE else origin,
        )
        self._hooks.post_to_host(target, relay)

    def _answer_ask(
        self, now: datetime, node: str, ask: QuotaAsk, origin: str
    ) -> None:
        answer: object | None = self._holder.ask(now, ask)
        leadership = self._hooks.get_leadership()
        if answer is None and leadership is not None:
            lease_valid = self._hooks.lease_valid(now)
            answer = leadership.receive(now, ask, lease_valid=lease_valid)
        if answer is None:
            return
        if origin == self._name:
            self._hooks.post_to_node(node, answer)
        else:
            payload = self._codec.encode(answer)
            self._hooks.post_to_host(origin, Relay(node, payload, answer=True))

    def _settle(self, now: datetime, batch: QuotaSettles) -> None:
        """Apply settlements; those of other owners' grants have no effect."""
        for settle in batch.settles:
            self._holder.settle(now, settle)
        leadership = self._hooks.get_leadership()
        if leadership is not None:
            leadership.receive(now, batch, lease_valid=False)

    def _log_changes(self) -> None:
        held = frozenset(self._holder.held)
        for event, changed in (
            ("quota lease granted", held - self._logged),
            ("quota lease ended", self._logged - held),
        ):
            if changed:
                log_event(
                    Level.INFO,
                    event,
                    control=self._name,
                    shards=len(changed),
                    held_shards=len(held),
                    held_workspaces=self._holder.count_workspaces(),
                )
        self._logged = held
