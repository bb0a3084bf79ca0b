"""Leader's lease table of the fleet's nodes, and witness assignment."""

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

# A change that was proposed but isn't committed after this long was
# lost with a leader or a full log, and is proposed again.
PROPOSAL_TIMEOUT: Final = timedelta(seconds=1)
# With more time than this between two ticks the leader itself stood
# still, so that nothing is known about its members meanwhile.
TICK_MAX: Final = timedelta(seconds=1)
# Late reports of a node that said goodbye must not bring it back.
GONE_RETENTION: Final = timedelta(minutes=1)
# A new witness votes only on ids minted this long after its assignment;
# until then a second change of its shard could leave no majority.
WITNESS_SETTLE_TIME: Final = ELIGIBILITY_DELAY + timedelta(seconds=1)
# Moves for balance alone in one plan; they are never urgent.
MOVES_PER_PLAN: Final = 4


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A node is alive in this state.

    ``sequence`` grows with each change of the node's state within one
    incarnation, so that a delayed report doesn't undo a newer one.
    """

    member: Member
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class MemberGone:
    """A node has stopped on purpose."""

    name: str
    incarnation: int


MEMBER_TYPES: Final = (MemberReport, MemberGone)


@dataclass(slots=True)
class _Lease:
    heard: datetime
    report: MemberReport
    # When the reported state was last proposed.
    proposed: datetime | None = None


class MemberRegistry:
    """Who is alive, at the leader only."""

    def __init__(self, now: datetime) -> None:
        self._ticked = now
        self._leases: dict[str, _Lease] = {}
        self._members: Mapping[str, Member] = {}
        self._gone: dict[str, tuple[int, datetime]] = {}
        self._leaving: dict[str, tuple[int, datetime]] = {}
        # When each shard's epoch and each member's incarnation was first
        # seen.
        self._epochs: dict[int, tuple[int, datetime]] = {}
        self._starts: dict[str, tuple[int, datetime]] = {}

    def start_leading(
        self, now: datetime, members: Mapping[str, Member]
    ) -> None:
        """Begin to lead: every member gets a full lease."""
        self._ticked = now
        self._members = members
        self._leases = {
            name: _Lease(now, MemberReport(member, -1))
            for name, member in members.items()
        }
        self._gone.clear()
        self._leaving.clear()
        self._epochs.clear()
        self._starts.clear()

    def process_reports(
        self,
        now: datetime,
        reports: tuple[MemberReport | MemberGone, ...],
    ) -> tuple[Command, ...]:
        """Renew leases; return a command if a member is new or changed."""
        left: dict[str, int] = {}
        for report in reports:
            if isinstance(report, MemberGone):
                self._take_gone(now, report, left)
            else:
                self._take_report(now, report)
        names = {
            report.member.name
            for report in reports
            if isinstance(report, MemberReport)
        }
        return self._propose(now, left, sorted(names & self._leases.keys()))

    def tick(
        self,
        now: datetime,
        members: Mapping[str, Member],
    ) -> tuple[Command, ...]:
        """Return a command for what expired or still isn't committed.

        Call at least every ``TICK_MAX``, about every 100 ms.
        """
        self._members = members
        if now - self._ticked > TICK_MAX:
            for lease in self._leases.values():
                lease.heard = min(now, lease.heard + (now - self._ticked))
        self._ticked = now
        for name, member in members.items():
            known = self._starts.get(name)
            if known is None or known[0] != member.incarnation:
                self._starts[name] = (member.incarnation, now)
        for name in self._starts.keys() - members.keys():
            del self._starts[name]
        for name in [n for n, (_, at) in self._gone.items() if at < now]:
            del self._gone[name]
        for name in self._leaving.keys() - members.keys():
            del self._leaving[name]
        return self._propose(now, self._find_expired(now), self._leases)

    def plan(
        self,
        now: datetime,
        groups: Mapping[int, WitnessGroup],
        rng: random.Random,
    ) -> WitnessesAssigned | None:
        """Plan witness groups for the members of the last tick.

        Shards that changed, or of which a witness restarted, within
        ``WITNESS_SETTLE_TIME`` are left alone unless they can't form a
        majority anyway.
        """
        unsettled = set()
        for shard, group in groups.items():
            epoch, since = self._epochs.get(shard, (0, now))
            if epoch != group.epoch:
                # A new leader knows nothing about the past, so it takes
                # every shard as just changed.
                since = now
                self._epochs[shard] = (group.epoch, now)
            starts = (
                self._starts[name][1]
                for name in group.witnesses
                if name in self._starts
            )
            if now - max((since, *starts)) < WITNESS_SETTLE_TIME:
                unsettled.add(shard)
        return plan_witnesses(
            self._members,
            groups,
            rng,
            unsettled=frozenset(unsettled),
        )

    def _take_gone(
        self,
        now: datetime,
        gone: MemberGone,
        left: dict[str, int],
    ) -> None:
        lease = self._leases.get(gone.name)
        if lease and lease.report.member.incarnation > gone.incarnation:
            return
        self._leases.pop(gone.name, None)
        self._gone[gone.name] = (gone.incarnation, now + GONE_RETENTION)
        left[gone.name] = gone.incarnation

    def _take_report(self, now: datetime, report: MemberReport) -> None:
        member = report.member
        gone = self._gone.get(member.name)
        if gone is not None and member.incarnation <= gone[0]:
            return
        present = self._members.get(member.name)
        if present is not None and member.incarnation < present.incarnation:
            return
        lease = self._leases.get(member.name)
        if lease is None:
            self._leases[member.name] = _Lease(now, report)
            return
        known = lease.report
        if member.incarnation < known.member.incarnation:
            return
        same = member.incarnation == known.member.incarnation
        lease.heard = now
        if same and report.sequence < known.sequence:
            return
        if member != known.member:
            lease.proposed = None
        lease.report = report

    def _find_expired(self, now: datetime) -> dict[str, int]:
        """Return the incarnations of members whose lease ran out."""
        left: dict[str, int] = {}
        for name, lease in list(self._leases.items()):
            if now - lease.heard >= MEMBER_TIMEOUT:
                del self._leases[name]
                left[name] = lease.report.member.incarnation
        for name, member in self._members.items():
            if name in self._leases or name in left:
                continue
            incarnation = member.incarnation
            if self._was_ended(name, incarnation):
                left[name] = incarnation
            else:
                # Proposed by an earlier leader and committed only now.
                self._leases[name] = _Lease(now, MemberReport(member, -1))
        return left

    def _was_ended(self, name: str, incarnation: int) -> bool:
        """Return whether this leader ended the member's lease."""
        for ended in (self._gone.get(name), self._leaving.get(name)):
            if ended is not None and ended[0] >= incarnation:
                return True
        return False

    def _propose(
        self,
        now: datetime,
        left: dict[str, int],
        names: Iterable[str],
    ) -> tuple[Command, ...]:
        """Return one command for what differs from the committed."""
        due = {
            name: incarnation
            for name, incarnation in left.items()
            if name in self._members and not self._is_recent(now, name)
        }
        for name, incarnation in due.items():
            self._leaving[name] = (incarnation, now)
        updated = []
        for name in names:
            lease = self._leases[name]
            if self._members.get(name) == lease.report.member:
                continue
            if _is_pending(now, lease.proposed):
                continue
            lease.proposed = now
            updated.append(lease.report.member)
        if not updated and not due:
            return ()
        return (MembersChanged(tuple(updated), due),)

    def _is_recent(self, now: datetime, name: str) -> bool:
        """Return whether a member's leaving was just proposed."""
        leaving = self._leaving.get(name)
        if leaving is None:
            return False
        recent = _is_pending(now, leaving[1])
        return recent and leaving[0] >= self._members[name].incarnation


def _is_pending(now: datetime, proposed: datetime | None) -> bool:
    return proposed is not None and now - proposed < PROPOSAL_TIMEOUT


def plan_witnesses(
    members: Mapping[str, Member],
    groups: Mapping[int, WitnessGroup],
    rng: random.Random,
    *,
    unsettled: frozenset[int] = frozenset(),
) -> WitnessesAssigned | None:
    """Return new groups for the shards that need one, or None.

    At most one witness of a shard is replaced at a time. One that still
    serves is replaced only in a settled shard whose others serve.
    """
    planner = _Planner(members, groups, rng)
    changed: dict[int, WitnessGroup] = {}
    moves = MOVES_PER_PLAN
    for shard in range(WITNESS_SHARDS):
        group = groups.get(shard)
        if group is None or not group.witnesses:
            witnesses = planner.create()
        else:
            witnesses = planner.repair(group, settled=shard not in unsettled)
            if not witnesses and shard not in unsettled and moves:
                witnesses = planner.improve(group)
                moves -= bool(witnesses)
        if witnesses:
            epoch = 1 if group is None else group.epoch + 1
            incarnations = tuple(
                members[name].incarnation if name in members else 0
                for name in witnesses
            )
            changed[shard] = WitnessGroup(epoch, witnesses, incarnations)
    return WitnessesAssigned(changed) if changed else None


class _Planner:
    """One run of the assignment, with the load it has handed out."""

    def __init__(
        self,
        members: Mapping[str, Member],
        groups: Mapping[int, WitnessGroup],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._able = {
            name: member
            for name, member in members.items()
            if member.state is not MemberState.DRAINING
        }
        self._load = Counter(
            name for group in groups.values() for name in group.witnesses
        )
        self._order = sorted(self._able)
        rng.shuffle(self._order)
        self._size = min(WITNESSES_PER_SHARD, len(self._able))
        domains = {member.domain for member in self._able.values()}
        self._domains = min(self._size, len(domains))

    def create(self) -> tuple[str, ...]:
        """Return a group for a shard that has none."""
        chosen: tuple[str, ...] = ()
        while len(chosen) < self._size:
            chosen = self._replace(chosen, None, self._pick(chosen))
        return chosen

    def repair(self, group: WitnessGroup, *, settled: bool) -> tuple[str, ...]:
        """Return the group with one witness replaced or added, or ()."""
        names = group.witnesses
        able = [n for n in names if n in self._able]
        alive = [n for n in names if n in self._members]
        # Without a majority of its members the shard can't vote anyway,
        # so waiting protects nothing.
        hopeless = 2 * len(alive) <= len(names)
        if not (settled or hopeless) or len(able) >= self._size:
            return ()
        lost = [n for n in names if n not in self._members]
        old = next(iter(lost or set(names) - set(able)), None)
        if old in self._members and not settled:
            return ()
        return self._replace(names, old, self._pick(names, old))

    def improve(self, group: WitnessGroup) -> tuple[str, ...]:
        """Return the group with one move for spread or load, or ()."""
        names = group.witnesses
        if any(name not in self._able for name in names):
            return ()
        domains = Counter(self._able[n].domain for n in names)
        if len(domains) < self._domains:
            crowded = domains.most_common(1)[0][0]
            old = next(n for n in names if self._able[n].domain == crowded)
            return self._replace(names, old, self._pick(names, old))
        return self._relieve(names)

    def _relieve(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Move a shard off a witness with over twice its fair load."""
        fair = WITNESS_SHARDS * self._size / max(1, len(self._able))
        busiest = max(names, key=lambda name: self._load[name])
        if self._load[busiest] <= 2 * fair + 1:
            return ()
        new = self._pick(names, busiest)
        if new is None:
            return ()
        kept = [n for n in names if n != busiest]
        domains = {self._able[n].domain for n in (*kept, new)}
        if len(domains) < self._domains or self._load[new] > fair:
            return ()
        return self._replace(names, busiest, new)

    def _pick(
        self,
        names: tuple[str, ...],
        old: str | None = None,
    ) -> str | None:
        """Return the least loaded member, in another domain if any."""
        domains = {
            self._members[n].domain
            for n in names
            if n != old and n in self._members
        }
        return min(
            (name for name in self._order if name not in names),
            key=lambda n: (self._able[n].domain in domains, self._load[n]),
            default=None,
        )

    def _replace(
        self,
        names: tuple[str, ...],
        old: str | None,
        new: str | None,
    ) -> tuple[str, ...]:
        """Put ``new`` in the place of ``old``, or at the end."""
        if new is None:
            return ()
        self._load[new] += 1
        if old is None:
            return (*names, new)
        self._load[old] -= 1
        return tuple(new if name == old else name for name in names)
