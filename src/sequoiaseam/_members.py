"""Membership leases of the fleet's nodes, and witness assignment.

Both run on the leader of the control hosts.
"""

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._commands import (
    Command,
    Member,
    MembersChanged,
    MemberState,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._witness import ELIGIBILITY_DELAY
from sequoiaseam.const import (
    MEMBER_TIMEOUT,
    WITNESS_SHARDS,
    WITNESSES_PER_SHARD,
)

# A proposed change that isn't committed after this time was lost because
# the leader changed or the log was full; it is proposed again.
PROPOSAL_TIMEOUT: Final = timedelta(seconds=1)
# If more time than this passes between two ticks, the leader itself was
# suspended and received no reports, so leases are extended by that time.
TICK_INTERVAL_MAX: Final = timedelta(seconds=1)
# Time for which reports of a stopped node are ignored, so that a delayed
# one doesn't add the node again.
STOPPED_NODE_RETENTION: Final = timedelta(minutes=1)
# A new witness votes only on request ids created this long after its
# assignment. A second change of its shard before that could leave the
# shard without a majority.
WITNESS_SETTLE_TIME: Final = ELIGIBILITY_DELAY + timedelta(seconds=1)
# Maximum number of moves per plan that only improve the balance; they are
# never urgent.
BALANCE_MOVES_PER_PLAN_MAX: Final = 4


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Report that a node is alive, with its current state.

    ``sequence`` increases with each change of the node's state within an
    incarnation, so that a delayed report doesn't overwrite a newer one.
    """

    member: Member
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class MemberGone:
    """Report that a node was stopped deliberately."""

    name: str
    incarnation: int


MEMBER_TYPES: Final = (MemberReport, MemberGone)


@dataclass(slots=True)
class _Lease:
    renewed_at: datetime
    report: MemberReport
    # Time at which the reported state was last proposed.
    proposed_at: datetime | None = None


class MemberRegistry:
    """Leases of the live members; used on the leader only."""

    def __init__(self, now: datetime) -> None:
        self._last_tick = now
        self._leases: dict[str, _Lease] = {}
        self._members: Mapping[str, Member] = {}
        # Members that haven't been heard of since the start as leader.
        self._unheard: set[str] = set()
        # Incarnation of each stopped node, and the end of its retention.
        self._stopped_nodes: dict[str, tuple[int, datetime]] = {}
        # Incarnation whose removal was proposed, and the time of that.
        self._proposed_removals: dict[str, tuple[int, datetime]] = {}
        # Epoch of each shard and incarnation of each member, with the time
        # at which it was first observed.
        self._observed_epochs: dict[int, tuple[int, datetime]] = {}
        self._observed_incarnations: dict[str, tuple[int, datetime]] = {}

    def start_leading(
        self, now: datetime, members: Mapping[str, Member]
    ) -> None:
        """Start as a new leader; every member gets a full lease."""
        self._last_tick = now
        self._members = members
        self._unheard = set(members)
        self._leases = {
            name: _Lease(now, MemberReport(member, -1))
            for name, member in members.items()
        }
        self._stopped_nodes.clear()
        self._proposed_removals.clear()
        self._observed_epochs.clear()
        self._observed_incarnations.clear()

    @property
    def has_heard_all(self) -> bool:
        """Return whether each former member was heard of or has left."""
        return not self._unheard

    def process_reports(
        self,
        now: datetime,
        reports: tuple[MemberReport | MemberGone, ...],
    ) -> tuple[Command, ...]:
        """Renew leases; return a command if members changed."""
        departed: dict[str, int] = {}
        for report in reports:
            if isinstance(report, MemberGone):
                self._process_stopped(now, report, departed)
            else:
                self._process_alive(now, report)
        names = {
            report.member.name
            for report in reports
            if isinstance(report, MemberReport)
        }
        return self._propose(
            now, departed, sorted(names & self._leases.keys())
        )

    def tick(
        self,
        now: datetime,
        members: Mapping[str, Member],
    ) -> tuple[Command, ...]:
        """Return a command for expired leases and uncommitted changes.

        Call about every 100 ms, and at least every ``TICK_INTERVAL_MAX``.
        """
        self._members = members
        if now - self._last_tick > TICK_INTERVAL_MAX:
            for lease in self._leases.values():
                lease.renewed_at = min(
                    now, lease.renewed_at + (now - self._last_tick)
                )
        self._last_tick = now
        for name, member in members.items():
            observed = self._observed_incarnations.get(name)
            if observed is None or observed[0] != member.incarnation:
                self._observed_incarnations[name] = (member.incarnation, now)
        for name in self._observed_incarnations.keys() - members.keys():
            del self._observed_incarnations[name]
        for name in [
            n for n, (_, end) in self._stopped_nodes.items() if end < now
        ]:
            del self._stopped_nodes[name]
        for name in self._proposed_removals.keys() - members.keys():
            del self._proposed_removals[name]
        return self._propose(now, self._find_expired(now), self._leases)

    def plan(
        self,
        now: datetime,
        groups: Mapping[int, WitnessGroup],
        rng: random.Random,
    ) -> WitnessesAssigned | None:
        """Plan witness groups for the members of the last tick.

        A shard that changed, or one of whose witnesses restarted, within
        ``WITNESS_SETTLE_TIME`` is left unchanged unless it has lost its
        majority anyway.
        """
        unsettled = set()
        for shard, group in groups.items():
            epoch, since = self._observed_epochs.get(shard, (0, now))
            if epoch != group.epoch:
                # A new leader has no history, so it treats every shard
                # as just changed.
                since = now
                self._observed_epochs[shard] = (group.epoch, now)
            starts = (
                self._observed_incarnations[name][1]
                for name in group.witnesses
                if name in self._observed_incarnations
            )
            if now - max((since, *starts)) < WITNESS_SETTLE_TIME:
                unsettled.add(shard)
        return plan_witnesses(
            self._members,
            groups,
            rng,
            unsettled=frozenset(unsettled),
        )

    def _process_stopped(
        self,
        now: datetime,
        report: MemberGone,
        departed: dict[str, int],
    ) -> None:
        lease = self._leases.get(report.name)
        if lease and lease.report.member.incarnation > report.incarnation:
            return
        self._leases.pop(report.name, None)
        self._unheard.discard(report.name)
        self._stopped_nodes[report.name] = (
            report.incarnation,
            now + STOPPED_NODE_RETENTION,
        )
        departed[report.name] = report.incarnation

    def _process_alive(self, now: datetime, report: MemberReport) -> None:
        member = report.member
        stopped = self._stopped_nodes.get(member.name)
        if stopped is not None and member.incarnation <= stopped[0]:
            return
        committed = self._members.get(member.name)
        if (
            committed is not None
            and member.incarnation < committed.incarnation
        ):
            return
        self._unheard.discard(member.name)
        lease = self._leases.get(member.name)
        if lease is None:
            self._leases[member.name] = _Lease(now, report)
            return
        last_report = lease.report
        if member.incarnation < last_report.member.incarnation:
            return
        same_incarnation = member.incarnation == last_report.member.incarnation
        lease.renewed_at = now
        if same_incarnation and report.sequence < last_report.sequence:
            return
        if member != last_report.member:
            lease.proposed_at = None
        lease.report = report

    def _find_expired(self, now: datetime) -> dict[str, int]:
        """Return the incarnations of the members whose lease expired."""
        departed: dict[str, int] = {}
        for name, lease in list(self._leases.items()):
            if now - lease.renewed_at >= MEMBER_TIMEOUT:
                del self._leases[name]
                departed[name] = lease.report.member.incarnation
        for name, member in self._members.items():
            if name in self._leases or name in departed:
                continue
            incarnation = member.incarnation
            if self._was_removed(name, incarnation):
                departed[name] = incarnation
            else:
                # Proposed by a previous leader and committed only now.
                self._leases[name] = _Lease(now, MemberReport(member, -1))
        return departed

    def _was_removed(self, name: str, incarnation: int) -> bool:
        """Return whether this leader ended the member's lease."""
        for removed in (
            self._stopped_nodes.get(name),
            self._proposed_removals.get(name),
        ):
            if removed is not None and removed[0] >= incarnation:
                return True
        return False

    def _propose(
        self,
        now: datetime,
        departed: dict[str, int],
        names: Iterable[str],
    ) -> tuple[Command, ...]:
        """Return a command for the differences from the committed members.

        Differences whose proposal is still pending are left out.
        """
        due_removals = {
            name: incarnation
            for name, incarnation in departed.items()
            if name in self._members
            and not self._is_removal_pending(now, name)
        }
        for name, incarnation in due_removals.items():
            self._proposed_removals[name] = (incarnation, now)
        updated = []
        for name in names:
            lease = self._leases[name]
            if self._members.get(name) == lease.report.member:
                continue
            if _is_pending(now, lease.proposed_at):
                continue
            lease.proposed_at = now
            updated.append(lease.report.member)
        if not updated and not due_removals:
            return ()
        return (MembersChanged(tuple(updated), due_removals),)

    def _is_removal_pending(self, now: datetime, name: str) -> bool:
        """Return whether the removal of a member is proposed and pending."""
        removal = self._proposed_removals.get(name)
        if removal is None:
            return False
        pending = _is_pending(now, removal[1])
        return pending and removal[0] >= self._members[name].incarnation


def _is_pending(now: datetime, proposed_at: datetime | None) -> bool:
    return proposed_at is not None and now - proposed_at < PROPOSAL_TIMEOUT


def plan_witnesses(
    members: Mapping[str, Member],
    groups: Mapping[int, WitnessGroup],
    rng: random.Random,
    *,
    unsettled: frozenset[int] = frozenset(),
) -> WitnessesAssigned | None:
    """Return new groups for the shards that need one, or None.

    At most one witness of a shard is replaced at a time. A witness that
    is still a member is replaced only if its shard is settled and the
    shard's other witnesses are members as well.
    """
    planner = _WitnessPlanner(members, groups, rng)
    changed: dict[int, WitnessGroup] = {}
    remaining_moves = BALANCE_MOVES_PER_PLAN_MAX
    for shard in range(WITNESS_SHARDS):
        group = groups.get(shard)
        if group is None or not group.witnesses:
            witnesses = planner.create()
        else:
            witnesses = planner.repair(group, settled=shard not in unsettled)
            if not witnesses and shard not in unsettled and remaining_moves:
                witnesses = planner.rebalance(group)
                remaining_moves -= bool(witnesses)
        if witnesses:
            epoch = 1 if group is None else group.epoch + 1
            incarnations = tuple(
                members[name].incarnation if name in members else 0
                for name in witnesses
            )
            changed[shard] = WitnessGroup(epoch, witnesses, incarnations)
    return WitnessesAssigned(changed) if changed else None


class _WitnessPlanner:
    """Computation of one plan; tracks the load of each witness."""

    def __init__(
        self,
        members: Mapping[str, Member],
        groups: Mapping[int, WitnessGroup],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._eligible = {
            name: member
            for name, member in members.items()
            if member.state is not MemberState.DRAINING
        }
        self._load = Counter(
            name for group in groups.values() for name in group.witnesses
        )
        self._candidates = sorted(self._eligible)
        rng.shuffle(self._candidates)
        self._group_size = min(WITNESSES_PER_SHARD, len(self._eligible))
        domains = {member.domain for member in self._eligible.values()}
        self._group_domain_count = min(self._group_size, len(domains))

    def create(self) -> tuple[str, ...]:
        """Return a group for a shard that has none."""
        chosen: tuple[str, ...] = ()
        while len(chosen) < self._group_size:
            chosen = self._replace(chosen, None, self._choose_member(chosen))
        return chosen

    def repair(self, group: WitnessGroup, *, settled: bool) -> tuple[str, ...]:
        """Return the group with one witness replaced or added, or ()."""
        names = group.witnesses
        eligible = [n for n in names if n in self._eligible]
        alive = [n for n in names if n in self._members]
        # A shard that has lost its majority can't vote anyway, so waiting
        # for it to settle protects nothing.
        majority_lost = 2 * len(alive) <= len(names)
        if not (settled or majority_lost) or len(eligible) >= self._group_size:
            return ()
        lost = [n for n in names if n not in self._members]
        old = next(iter(lost or set(names) - set(eligible)), None)
        if old in self._members and not settled:
            return ()
        return self._replace(names, old, self._choose_member(names, old))

    def rebalance(self, group: WitnessGroup) -> tuple[str, ...]:
        """Return the group with one witness moved, or ().

        A move spreads the group over more failure domains or takes load
        off an overloaded witness.
        """
        names = group.witnesses
        if any(name not in self._eligible for name in names):
            return ()
        domains = Counter(self._eligible[n].domain for n in names)
        if len(domains) < self._group_domain_count:
            largest_domain = domains.most_common(1)[0][0]
            old = next(
                n for n in names if self._eligible[n].domain == largest_domain
            )
            return self._replace(names, old, self._choose_member(names, old))
        return self._reduce_load(names)

    def _reduce_load(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Move a shard off a witness with over twice its fair share."""
        fair_share = (
            WITNESS_SHARDS * self._group_size / max(1, len(self._eligible))
        )
        busiest = max(names, key=lambda name: self._load[name])
        if self._load[busiest] <= 2 * fair_share + 1:
            return ()
        new = self._choose_member(names, busiest)
        if new is None:
            return ()
        remaining_names = [n for n in names if n != busiest]
        domains = {self._eligible[n].domain for n in (*remaining_names, new)}
        if (
            len(domains) < self._group_domain_count
            or self._load[new] > fair_share
        ):
            return ()
        return self._replace(names, busiest, new)

    def _choose_member(
        self,
        names: tuple[str, ...],
        old: str | None = None,
    ) -> str | None:
        """Return the least loaded member that isn't in the group.

        Members in a failure domain of none of the other witnesses take
        precedence.
        """
        used_domains = {
            self._members[n].domain
            for n in names
            if n != old and n in self._members
        }
        return min(
            (name for name in self._candidates if name not in names),
            key=lambda n: (
                self._eligible[n].domain in used_domains,
                self._load[n],
            ),
            default=None,
        )

    def _replace(
        self,
        names: tuple[str, ...],
        old: str | None,
        new: str | None,
    ) -> tuple[str, ...]:
        """Return the names with ``new`` in place of ``old`` or at the end."""
        if new is None:
            return ()
        self._load[new] += 1
        if old is None:
            return (*names, new)
        self._load[old] -= 1
        return tuple(new if name == old else name for name in names)
