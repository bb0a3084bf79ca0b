"""What only the leading control host does: membership and quota."""

from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from sequoiaseam._commands import Command
from sequoiaseam._control_messages import AliveBatch
from sequoiaseam._members import MemberGone, MemberRegistry, MemberReport
from sequoiaseam._quota import (
    QuotaOwner,
)
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaSettles,
)
from sequoiaseam._state import FleetState
from sequoiaseam.const import WITNESSES_PER_SHARD

# How long the first witness groups wait for enough members.
FORM_TIME: Final = timedelta(seconds=5)
PLAN_INTERVAL: Final = timedelta(milliseconds=500)


class Leadership:
    """Leases of members and buckets of workspaces for one term.

    ``propose`` starts a proposal and doesn't wait; what is lost is
    proposed again.
    """

    def __init__(
        self,
        now: datetime,
        term: int,
        get_state: Callable[[], FleetState],
        rng: Random,
        propose: Callable[[Command], None],
    ) -> None:
        self._get_state = get_state
        self.term = term
        state = get_state()
        self._rng = rng
        self._propose = propose
        self._registry = MemberRegistry(now)
        self._registry.start_leading(now, state.members)
        self._quota = QuotaOwner(now, term, state.tables.workspaces)
        self._tables = state.tables
        self._planned = now
        self._began = now
        # The log index that each node was last known to have applied.
        self.indices: dict[str, int] = {}

    def tick(self, now: datetime) -> None:
        """Expire leases and grants; plan the witness groups."""
        self._propose_all(self._registry.tick(now, self._get_state().members))
        self._quota.tick(now)
        if now - self._planned >= PLAN_INTERVAL:
            self._planned = now
            self._plan(now)

    def _plan(self, now: datetime) -> None:
        if not self._may_assign(now):
            return
        plan = self._registry.plan(now, self._get_state().groups, self._rng)
        if plan is not None:
            self._propose(plan)

    def _may_assign(self, now: datetime) -> bool:
        """Tell whether the first groups may be formed.

        A group formed of the first node alone would take long to grow,
        as one witness is added at a time.
        """
        state = self._get_state()
        if state.groups or len(state.members) >= WITNESSES_PER_SHARD:
            return True
        if not state.members:
            self._began = now
        return now - self._began >= FORM_TIME

    def _propose_all(self, commands: tuple[Command, ...]) -> None:
        for command in commands:
            self._propose(command)

    def configure(self, now: datetime) -> None:
        """Follow an edit of the tables."""
        if self._get_state().tables is not self._tables:
            self._tables = self._get_state().tables
            self._quota.configure(now, self._tables.workspaces)

    def receive(
        self,
        now: datetime,
        message: Any,
        *,
        lease_valid: bool,
    ) -> object | None:
        """Handle a node's message; return the answer, if there is one.

        Tokens are granted only under a valid leader lease, or a newer
        leader could grant the same ones.
        """
        if isinstance(message, QuotaAsk):
            return self._quota.ask(now, message) if lease_valid else None
        if isinstance(message, QuotaSettles):
            for settle in message.settles:
                self._quota.settle(now, settle)
        elif isinstance(message, MemberReport | MemberGone):
            self._propose_all(self._registry.process_reports(now, (message,)))
        return None

    def hear(self, now: datetime, batch: AliveBatch) -> None:
        """Renew the leases of the nodes that a control host reports."""
        for node in batch.nodes:
            self.indices[node.report.member.name] = node.index
        reports = tuple(node.report for node in batch.nodes)
        self._propose_all(
            self._registry.process_reports(now, (*reports, *batch.gone))
        )

    def find_lagging(self, index: int) -> tuple[str, ...]:
        """Return the members that are not known to have an index."""
        return tuple(
            sorted(
                name
                for name in self._get_state().members
                if self.indices.get(name, 0) < index
            ),
        )
