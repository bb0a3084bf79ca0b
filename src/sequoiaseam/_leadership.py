"""Tasks of the leading control host: member leases and quota."""

from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from sequoiaseam._commands import Command, SetQuotaLeases
from sequoiaseam._control_messages import AliveBatch
from sequoiaseam._members import MemberGone, MemberRegistry, MemberReport
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
from sequoiaseam._quota_leases import ControlGroup, LeaderQuota
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaSettles,
)
from sequoiaseam._state import FleetState
from sequoiaseam.const import WITNESSES_PER_SHARD

# How long forming the first witness groups waits for enough members.
GROUP_FORMATION_WAIT: Final = timedelta(seconds=5)
WITNESS_PLAN_INTERVAL: Final = timedelta(milliseconds=500)


class Leadership:
    """Member leases and workspace token buckets during one term.

    ``propose`` starts a proposal without waiting for its outcome; a
    lost proposal is repeated.
    """

    def __init__(
        self,
        now: datetime,
        term: int,
        get_state: Callable[[], FleetState],
        rng: Random,
        propose: Callable[[Command], None],
        *,
        host: str = "",
        assigns_witnesses: bool = True,
        quota_leases: bool = False,
    ) -> None:
        self._get_state = get_state
        self.term = term
        state = get_state()
        self._rng = rng
        self._propose = propose
        self._assigns_witnesses = assigns_witnesses
        self._registry = MemberRegistry(now)
        self._registry.start_leading(now, state.members)
        self._quota = LeaderQuota(
            now,
            term,
            host,
            state.tables.workspaces,
            index=state.index,
            in_force=state.quota_leases,
            enabled=quota_leases,
        )
        self._last_plan_time = now
        self._formation_started = now
        # Last log index that each node is known to have applied.
        self.applied_indexes: dict[str, int] = {}

    def tick(self, now: datetime) -> None:
        """Expire leases and grants; plan the witness groups, if any."""
        self._propose_all(self._registry.tick(now, self._get_state().members))
        self._quota.tick(now)
        if self._registry.has_heard_all:
            self._quota.release_former(now)
        if (
            self._assigns_witnesses
            and now - self._last_plan_time >= WITNESS_PLAN_INTERVAL
        ):
            self._last_plan_time = now
            self._plan(now)

    def _plan(self, now: datetime) -> None:
        if not self._can_plan_groups(now):
            return
        plan = self._registry.plan(now, self._get_state().groups, self._rng)
        if plan is not None:
            self._propose(plan)

    def _can_plan_groups(self, now: datetime) -> bool:
        """Return whether witness groups may be planned.

        The first groups wait for enough members: a group formed of one
        node would grow slowly, as witnesses are added one at a time.
        """
        state = self._get_state()
        if state.groups or len(state.members) >= WITNESSES_PER_SHARD:
            return True
        if not state.members:
            self._formation_started = now
        return now - self._formation_started >= GROUP_FORMATION_WAIT

    def _propose_all(self, commands: tuple[Command, ...]) -> None:
        for command in commands:
            self._propose(command)

    def update_tables(self, now: datetime) -> None:
        """Apply a change of the replicated state to the quota."""
        state = self._get_state()
        self._quota.update(
            now,
            state.tables.workspaces,
            index=state.index,
            in_force=state.quota_leases,
        )

    def plan_quota_leases(self, now: datetime, group: ControlGroup) -> None:
        """Put leases in force or end them; needs a valid leader lease."""
        members = len(self._get_state().members)
        in_force = self._quota.plan(now, members, group)
        if in_force is not None:
            self._propose(SetQuotaLeases(in_force))

    def receive_lease_report(
        self, now: datetime, report: QuotaLeaseReport, voters: tuple[str, ...]
    ) -> QuotaLeaseAnswer | None:
        """Answer a holder's report; needs a valid leader lease."""
        return self._quota.receive_report(now, report, voters)

    def find_quota_holder(self, now: datetime, workspace: str) -> str | None:
        """Return the control host to which a workspace's quota is leased."""
        return self._quota.find_holder(now, workspace)

    def receive(
        self,
        now: datetime,
        message: Any,
        *,
        lease_valid: bool,
    ) -> object | None:
        """Handle a node's message; return the answer, if there is one.

        Tokens are granted only under a valid leader lease; otherwise a
        newer leader could grant the same tokens.
        """
        if isinstance(message, QuotaAsk):
            return self._quota.ask(now, message) if lease_valid else None
        if isinstance(message, QuotaSettles):
            for settle in message.settles:
                self._quota.settle(now, settle)
        elif isinstance(message, MemberReport | MemberGone):
            self._propose_all(self._registry.process_reports(now, (message,)))
        return None

    def renew_leases(self, now: datetime, batch: AliveBatch) -> None:
        """Renew the leases of the nodes that a control host reports."""
        for node in batch.nodes:
            self.applied_indexes[node.report.member.name] = node.index
        reports = tuple(node.report for node in batch.nodes)
        self._propose_all(
            self._registry.process_reports(now, (*reports, *batch.gone))
        )

    def find_lagging(self, index: int) -> tuple[str, ...]:
        """Return the members not known to have applied ``index``."""
        return tuple(
            sorted(
                name
                for name in self._get_state().members
                if self.applied_indexes.get(name, 0) < index
            ),
        )
