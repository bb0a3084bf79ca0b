"""Quota leases: control hosts own the token buckets in place of the leader.

Workspaces are divided into shards, and the leader leases each shard to one
control host, its holder. A holder counts its lease from the time at which
it sent the report that was renewed, so the lease ends at the latest
``LEASE`` after the leader received that report, on the leader's clock. The
leader gives a shard to another host only when the lease and the grants made
under it have expired, or once the holder has reported that it no longer
holds it and its grants have expired. Hence no two hosts grant tokens of one
workspace at the same time, and a new holder can start with empty buckets.

Whether leases are in force is part of the replicated state, so that a new
leader knows whether a former one may have leased anything.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Final

from sequoiaseam._quota import (
    GRANT_TTL,
    RETRY_AFTER_MAX,
    RETRY_AFTER_MIN,
    QuotaOwner,
)
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
from sequoiaseam._quota_messages import QuotaAsk, QuotaGrant, QuotaSettle
from sequoiaseam._tables import Workspace
from sequoiaseam.const import CLOCK_DRIFT_MAX, ELECTION_TIMEOUT_MIN

# A power of two near 20 per holder, so that the shards of a lost holder are
# spread evenly over the others. Holders and leader must agree on it.
SHARDS: Final = 64

LEASE: Final = timedelta(seconds=3)
# The clocks of holder and leader may each drift by CLOCK_DRIFT_MAX in
# opposite directions; the factor allows for twice that difference.
HOLDER_LEASE: Final = LEASE * (1 - 4 * CLOCK_DRIFT_MAX)
# Time from the election after which no lease of an earlier leader, and no
# grant made under one, can be valid. ELECTION_TIMEOUT_MIN allows for the rest
# of the earlier leader's own lease, as in TAKEOVER_WAIT.
LEASE_TAKEOVER_WAIT: Final = (LEASE + ELECTION_TIMEOUT_MIN + GRANT_TTL) * (
    1 + 4 * CLOCK_DRIFT_MAX
)
# A holder gives up a lease that ends within this time instead of reporting it
# to a new leader. An earlier leader that may still act for a while could
# count such a lease as ended and give the shard to another host.
CLAIM_TIME_MIN: Final = ELECTION_TIMEOUT_MIN * (1 + 4 * CLOCK_DRIFT_MAX)
REPORT_INTERVAL: Final = timedelta(milliseconds=250)
# A report replaces the one before, whose answer then has no effect. Waiting
# longer for an answer lets a slow leader renew leases at all, and still
# allows three reports within a lease.
REPORT_TIMEOUT: Final = timedelta(milliseconds=750)
# A host that hasn't reported for this long gets no new leases.
REPORTER_SILENCE_MAX: Final = timedelta(seconds=1)
# A new leader expects reports of all voters for this long before it divides
# the shards among those that have reported.
FIRST_REPORTS_WAIT: Final = timedelta(seconds=1)
# A moved shard's workspaces have no tokens for about GRANT_TTL, so moves
# start once the group is stable and are made a few at a time.
MOVES_WAIT: Final = timedelta(seconds=5)
MOVES_PER_REPORT_MAX: Final = 2
# Asks expire the grants of their workspace; this is for those without any.
OWNER_TICK_INTERVAL: Final = timedelta(seconds=1)
# A free shard is leased with the next report of a host that has room for it.
LEASE_RETRY_AFTER_MIN: Final = REPORT_INTERVAL / 5
# Reporters are forgotten after this time without a report.
REPORTER_TTL: Final = timedelta(seconds=30)

# Leases are in force from this number of members x limited workspaces on.
# With fewer, a node has enough of its own history to bridge an election.
IN_FORCE_PAIRS_MIN: Final = 1_000
# They end below half of it, so that nodes that come and go cause no change.
STAY_IN_FORCE_PAIRS_MIN: Final = IN_FORCE_PAIRS_MIN // 2
CONTROL_HOSTS_MIN: Final = 3
# Each change interrupts the quota for about a second, so the conditions must
# have held for this long.
START_WAIT: Final = timedelta(seconds=2)
END_WAIT: Final = timedelta(seconds=30)
PROPOSAL_INTERVAL: Final = timedelta(seconds=2)
# Bits of a lease number for the count of leases within a term. Numbers of
# leases differ from the terms that identify a leader that grants directly.
_LEASE_COUNT_BITS: Final = 32
_NEVER: Final = datetime.min.replace(tzinfo=UTC)

_ReporterKey = tuple[str, int]


def find_shard(workspace: str) -> int:
    """Return the shard of a workspace."""
    return zlib.crc32(workspace.encode()) % SHARDS


def count_pairs(members: int, workspaces: Mapping[str, Workspace]) -> int:
    """Return the number of pairs of a member and a limited workspace."""
    return members * sum(w.limited for w in workspaces.values())


@dataclass(slots=True)
class _ShardRecord:
    """What the leader knows of the holder of a shard.

    With a holder, ``free_at`` is the time from which the shard is free if
    the lease isn't renewed; without, the time from which it may be leased.
    """

    free_at: datetime
    # True until this leader has leased or confirmed the shard, while a host
    # may hold it under an earlier leader's lease.
    claimable: bool = True
    holder: _ReporterKey | None = None
    number: int = 0


@dataclass(frozen=True, slots=True)
class _Reporter:
    """The last report of a process of a control host."""

    sent: datetime
    received_at: datetime
    leaving: bool


class QuotaLeaseAllocator:
    """Leases the shards to control hosts, at the leader for one term.

    Call ``receive`` only while the leader's own lease is valid. No lease is
    given before ``free_from``.
    """

    def __init__(
        self, now: datetime, term: int, host: str, free_from: datetime
    ) -> None:
        self._term = term
        self._host = host
        self._started_at = now
        self._shards = [_ShardRecord(free_from) for _ in range(SHARDS)]
        self._reporters: dict[_ReporterKey, _Reporter] = {}
        self._lease_count = 0
        # Set when leases are to end: none is given or renewed any more.
        self.closed = False

    def receive(
        self,
        now: datetime,
        report: QuotaLeaseReport,
        voters: tuple[str, ...],
        tables_index: int,
    ) -> QuotaLeaseAnswer | None:
        """Renew, end and give leases; None for an outdated report.

        A host that hasn't applied ``tables_index`` gets no new leases, as
        it would refuse the requests of workspaces that it doesn't know.
        """
        key = (report.host, report.session)
        known = self._reporters.get(key)
        if report.term != self._term or (
            known is not None and report.sent <= known.sent
        ):
            return None
        self._reporters[key] = _Reporter(report.sent, now, report.leaving)
        held = dict(report.held)
        self._end_leases(now, key, held)
        leases: list[int] = []
        if not (self.closed or report.leaving):
            hosts = self._find_eligible(now, frozenset(voters))
            leases = self._renew(now, key, held, hosts)
            if report.index >= tables_index:
                leases += self._give(now, key, held, hosts, len(voters))
        for shard in leases:
            self._shards[shard].free_at = now + LEASE + GRANT_TTL
        return self._build_answer(now, report, leases)

    def find_holder(self, now: datetime, workspace: str) -> str | None:
        """Return the host that may hold the lease of a workspace."""
        return self._find_host(now, self._shards[find_shard(workspace)])

    def find_free_time(self, workspace: str) -> datetime:
        """Return from when a workspace may be leased, unless renewed."""
        return self._shards[find_shard(workspace)].free_at

    def is_free(self, now: datetime) -> bool:
        """Return whether no lease and no grant under one can be valid."""
        return all(record.free_at <= now for record in self._shards)

    def _find_host(self, now: datetime, record: _ShardRecord) -> str | None:
        if record.holder is None or record.free_at <= now:
            return None
        return record.holder[0]

    def _end_leases(
        self, now: datetime, key: _ReporterKey, held: Mapping[int, int]
    ) -> None:
        """End expired leases and those that the reporter doesn't hold.

        The report also rules out that the reporter starts a lease from an
        earlier answer. Only the grants made before it may still be valid.
        """
        for shard, record in enumerate(self._shards):
            if record.holder is None:
                continue
            if record.free_at <= now:
                record.holder = None
            elif record.holder == key and shard not in held:
                record.holder = None
                record.free_at = min(record.free_at, now + GRANT_TTL)
        for other, reporter in list(self._reporters.items()):
            if now - reporter.received_at > REPORTER_TTL:
                del self._reporters[other]

    def _find_eligible(
        self, now: datetime, voters: frozenset[str]
    ) -> frozenset[str]:
        """Return the hosts that should hold leases.

        The leader is one of them only if no other voter is, since its loss
        would cost an election and the end of the leases.
        """
        hosts = frozenset(
            host
            for (host, _), reporter in self._reporters.items()
            if host in voters
            and not reporter.leaving
            and now - reporter.received_at <= REPORTER_SILENCE_MAX
        )
        return (hosts - {self._host}) or hosts

    def _renew(
        self,
        now: datetime,
        key: _ReporterKey,
        held: Mapping[int, int],
        eligible: frozenset[str],
    ) -> list[int]:
        """Return the shards that the reporter may go on holding."""
        renewed: list[int] = []
        for shard, number in sorted(held.items()):
            if not 0 <= shard < SHARDS:
                continue
            record = self._shards[shard]
            if record.claimable and now < record.free_at:
                record.claimable = False
                record.holder, record.number = key, number
                renewed.append(shard)
            elif record.holder == key and record.number == number:
                renewed.append(shard)
        moves = self._count_moves(now, key, len(renewed), eligible)
        return renewed[moves:]

    def _count_moves(
        self,
        now: datetime,
        key: _ReporterKey,
        count: int,
        eligible: frozenset[str],
    ) -> int:
        """Return how many of a holder's leases to end, to move them."""
        others = eligible - {key[0]}
        if now - self._started_at < MOVES_WAIT or not others:
            return 0
        if key[0] not in eligible:
            return min(MOVES_PER_REPORT_MAX, count)
        # A host that has come back gets leases from one that holds more than
        # its share until it has half of its own.
        share = SHARDS // len(eligible)
        lowest = min(self._count_leases(host) for host in others)
        return int(count > share + 1 and lowest < share // 2)

    def _count_leases(self, host: str) -> int:
        return sum(
            record.holder is not None and record.holder[0] == host
            for record in self._shards
        )

    def _give(
        self,
        now: datetime,
        key: _ReporterKey,
        held: Mapping[int, int],
        eligible: frozenset[str],
        voters: int,
    ) -> list[int]:
        """Lease free shards to the reporter, up to its share of all."""
        if key[0] not in eligible:
            return []
        hosts = len(eligible)
        if now - self._started_at < FIRST_REPORTS_WAIT:
            if key[0] == self._host:
                return []
            hosts = max(hosts, voters - 1)
        room = -(-SHARDS // hosts) - self._count_leases(key[0])
        given: list[int] = []
        for shard, record in enumerate(self._shards):
            if len(given) >= room:
                break
            if record.free_at > now or shard in held:
                continue
            self._lease_count += 1
            record.claimable = False
            record.holder = key
            record.number = (
                self._term << _LEASE_COUNT_BITS
            ) + self._lease_count
            given.append(shard)
        return given

    def _build_answer(
        self, now: datetime, report: QuotaLeaseReport, leases: list[int]
    ) -> QuotaLeaseAnswer:
        holders = [self._find_host(now, record) for record in self._shards]
        hosts = tuple(sorted({host for host in holders if host is not None}))
        positions = {host: n for n, host in enumerate(hosts, start=1)}
        return QuotaLeaseAnswer(
            report.session,
            report.term,
            report.sent,
            tuple((shard, self._shards[shard].number) for shard in leases),
            hosts,
            bytes(positions[host] if host else 0 for host in holders),
        )


@dataclass(slots=True)
class _HeldLease:
    """A lease at its holder, with the buckets of the shard."""

    number: int
    ends_at: datetime
    owner: QuotaOwner


class QuotaLeaseHolder:
    """The leases of one process of a control host, and its token buckets.

    ``session`` must differ between all processes that ever use the host's
    name. Times are those of the host's own clock.
    """

    def __init__(self, host: str, session: int) -> None:
        self._host = host
        self._session = session
        self._leases: dict[int, _HeldLease] = {}
        self._workspaces: list[dict[str, Workspace]] = [
            {} for _ in range(SHARDS)
        ]
        self._tables_index = -1
        # The last report, until it is answered, and when it was sent.
        self._unanswered: QuotaLeaseReport | None = None
        self._sent: datetime = _NEVER
        self._reported_term = 0
        # The holders of the shards as the leader last sent them.
        self._hosts: tuple[str | None, ...] = (None,) * SHARDS
        self._leaving = False
        self._owners_ticked_at = _NEVER

    @property
    def held(self) -> tuple[int, ...]:
        """Return the shards with a lease that hadn't expired when checked."""
        return tuple(sorted(self._leases))

    def count_workspaces(self) -> int:
        """Return the number of workspaces in the held shards."""
        return sum(len(self._workspaces[shard]) for shard in self._leases)

    def configure(
        self,
        now: datetime,
        index: int,
        workspaces: Mapping[str, Workspace],
    ) -> None:
        """Apply the workspaces as of a log index; older ones are ignored.

        A replica that reopens its journal applies its log again.
        """
        if index <= self._tables_index:
            return
        self._tables_index = index
        self._workspaces = [{} for _ in range(SHARDS)]
        for name, workspace in workspaces.items():
            self._workspaces[find_shard(name)][name] = workspace
        for shard, lease in self._leases.items():
            lease.owner.configure(now, self._workspaces[shard])

    def tick(self, now: datetime) -> None:
        """End expired leases and grants."""
        self._end_expired(now)
        if now - self._owners_ticked_at >= OWNER_TICK_INTERVAL:
            self._owners_ticked_at = now
            for lease in self._leases.values():
                lease.owner.tick(now)

    def report(
        self, now: datetime, term: int, index: int
    ) -> QuotaLeaseReport | None:
        """Return the report to the leader of a term, if one is due."""
        waited = now - self._sent
        unanswered = self._unanswered is not None
        interval = REPORT_TIMEOUT if unanswered else REPORT_INTERVAL
        if term == self._reported_term and waited < interval:
            return None
        return self._build_report(now, term, index)

    def leave(self, now: datetime) -> QuotaLeaseReport | None:
        """End all leases before a stop; return the report that says so."""
        self._leases.clear()
        self._unanswered = None
        self._leaving = True
        return self._build_report(now, self._reported_term, 0)

    def end_all(self) -> None:
        """End all leases, as leases are no longer in force."""
        self._leases.clear()
        self._unanswered = None
        self._hosts = (None,) * SHARDS

    def receive(self, now: datetime, answer: QuotaLeaseAnswer) -> None:
        """Renew, end and start leases by the answer to the last report."""
        report = self._unanswered
        if report is None or (answer.session, answer.term, answer.sent) != (
            report.session,
            report.term,
            report.sent,
        ):
            return
        self._unanswered = None
        self._hosts = tuple(
            answer.hosts[place - 1] if place else None
            for place in answer.holders
        )
        self._end_expired(now)
        ends_at = report.sent + HOLDER_LEASE
        if ends_at <= now:
            return
        leases = dict(answer.leases)
        for shard, lease in list(self._leases.items()):
            if leases.get(shard) == lease.number:
                lease.ends_at = ends_at
            else:
                del self._leases[shard]
        reported = dict(report.held)
        for shard, number in leases.items():
            # A lease that was reported and has expired meanwhile isn't
            # started again: grants of its former buckets are still valid.
            if shard not in reported:
                owner = QuotaOwner(
                    now,
                    number,
                    self._workspaces[shard],
                    takeover_wait=timedelta(0),
                )
                self._leases[shard] = _HeldLease(number, ends_at, owner)

    def find_host(self, now: datetime, workspace: str) -> str | None:
        """Return the host that holds the workspace, as far as known."""
        shard = find_shard(workspace)
        if self._find_lease(now, shard) is not None:
            return self._host
        host = self._hosts[shard]
        return None if host == self._host else host

    def ask(self, now: datetime, ask: QuotaAsk) -> QuotaGrant | None:
        """Grant tokens of a workspace that this host holds."""
        lease = self._find_lease(now, find_shard(ask.workspace))
        return None if lease is None else lease.owner.ask(now, ask)

    def settle(self, now: datetime, settle: QuotaSettle) -> None:
        """Apply the settlement of a grant that this host made."""
        lease = self._find_lease(now, find_shard(settle.workspace))
        if lease is not None:
            lease.owner.settle(now, settle)

    def _find_lease(self, now: datetime, shard: int) -> _HeldLease | None:
        lease = self._leases.get(shard)
        return lease if lease is not None and now < lease.ends_at else None

    def _end_expired(self, now: datetime) -> None:
        for shard, lease in list(self._leases.items()):
            if lease.ends_at <= now:
                del self._leases[shard]

    def _build_report(
        self, now: datetime, term: int, index: int
    ) -> QuotaLeaseReport | None:
        """Return a report, unless one has been sent at this very time."""
        if now <= self._sent:
            return None
        self._end_expired(
            now if term == self._reported_term else now + CLAIM_TIME_MIN
        )
        self._sent, self._reported_term = now, term
        self._unanswered = QuotaLeaseReport(
            self._host,
            self._session,
            term,
            now,
            tuple(
                (shard, lease.number)
                for shard, lease in sorted(self._leases.items())
            ),
            index,
            self._leaving,
        )
        return self._unanswered


@dataclass(frozen=True, slots=True)
class ControlGroup:
    """The control hosts as the leader knows them.

    ``capable`` are those whose version knows the messages of the leases.
    """

    voters: tuple[str, ...]
    capable: frozenset[str]


class LeaderQuota:
    """The quota at the leader for one term: granted directly or leased.

    ``in_force`` is the replicated state. It must become True before any
    lease is given, and False only after the last one has ended.
    """

    def __init__(
        self,
        now: datetime,
        term: int,
        host: str,
        workspaces: Mapping[str, Workspace],
        *,
        index: int = 0,
        in_force: bool = False,
        enabled: bool = False,
    ) -> None:
        self._term = term
        self._host = host
        self._elected_at = now
        self._workspaces = workspaces
        # Log index of the newest known change of the workspaces.
        self._tables_index = index
        self._enabled = enabled
        self._owner_count = 0
        self._owner: QuotaOwner | None = None
        self._allocator: QuotaLeaseAllocator | None = None
        # Since when the rule has asked for the other state.
        self._change_since: datetime | None = None
        self._proposed_at: datetime | None = None
        if in_force:
            self._start_leasing(now)
        else:
            self._owner = QuotaOwner(now, term, workspaces, keeps_former=True)

    def release_former(self, now: datetime) -> None:
        """Record that all nodes can ask this leader."""
        if self._owner is not None:
            self._owner.release_former(now)

    def update(
        self,
        now: datetime,
        workspaces: Mapping[str, Workspace],
        *,
        index: int,
        in_force: bool,
    ) -> None:
        """Follow the replicated state after each applied command."""
        changed = workspaces is not self._workspaces
        if changed:
            self._workspaces = workspaces
            self._tables_index = index
        if in_force and self._allocator is None:
            self._start_leasing(now)
        elif not in_force and self._allocator is not None:
            self._start_granting(now)
        elif changed and self._owner is not None:
            self._owner.configure(now, workspaces)

    def _start_leasing(self, now: datetime) -> None:
        """Stop granting; lease once all grants and leases have expired.

        The state may have been set by an earlier leader, so its leases count
        even if the command is applied only now.
        """
        self._owner = None
        self._change_since = None
        self._allocator = QuotaLeaseAllocator(
            now,
            self._term,
            self._host,
            max(self._elected_at + LEASE_TAKEOVER_WAIT, now + GRANT_TTL),
        )

    def _start_granting(self, now: datetime) -> None:
        """Grant directly, as all leases have ended."""
        self._allocator = None
        self._change_since = None
        # Settlements for an earlier owner of this term must not apply.
        self._owner_count += 1
        number = -((self._term << _LEASE_COUNT_BITS) + self._owner_count)
        self._owner = QuotaOwner(
            now, number, self._workspaces, keeps_former=True
        )

    def plan(
        self, now: datetime, members: int, group: ControlGroup
    ) -> bool | None:
        """Return whether leases should be in force, to change the state.

        None if there is nothing to propose. Call while the leader's own
        lease is valid.
        """
        in_force = self._allocator is not None
        if self._decide(members, group, in_force=in_force) == in_force:
            self._change_since = None
            return None
        if self._change_since is None:
            self._change_since = now
        wait = END_WAIT if in_force else START_WAIT
        if now - self._change_since < wait:
            return None
        # Leases would start only after this wait, and nobody would grant
        # until then.
        if not in_force and now - self._elected_at < LEASE_TAKEOVER_WAIT:
            return None
        if self._allocator is not None:
            # Not reopened in this term, as the outcome of a proposal to end
            # the leases may not be known.
            self._allocator.closed = True
            if not self._allocator.is_free(now):
                return None
        if (
            self._proposed_at is not None
            and now - self._proposed_at < PROPOSAL_INTERVAL
        ):
            return None
        self._proposed_at = now
        return not in_force

    def _decide(
        self, members: int, group: ControlGroup, *, in_force: bool
    ) -> bool:
        if self._allocator is not None and self._allocator.closed:
            return False
        pairs_min = STAY_IN_FORCE_PAIRS_MIN if in_force else IN_FORCE_PAIRS_MIN
        return (
            self._enabled
            and len(group.voters) >= CONTROL_HOSTS_MIN
            and (in_force or group.capable.issuperset(group.voters))
            and count_pairs(members, self._workspaces) >= pairs_min
        )

    def tick(self, now: datetime) -> None:
        """Expire the grants made directly."""
        if self._owner is not None:
            self._owner.tick(now)

    def ask(self, now: datetime, ask: QuotaAsk) -> QuotaGrant:
        """Grant directly, or answer that nobody can grant at present."""
        if self._owner is not None:
            return self._owner.ask(now, ask)
        return QuotaGrant(
            node=ask.node,
            incarnation=ask.incarnation,
            workspace=ask.workspace,
            ask_id=ask.ask_id,
            owner_term=self._term,
            grant_id=0,
            tokens=0,
            ttl=GRANT_TTL,
            inside=ask.waiting,
            hold=ask.waiting,
            retry_after=self._estimate_wait(now, ask.workspace),
            pace=RETRY_AFTER_MIN,
            opening=True,
        )

    def _estimate_wait(self, now: datetime, workspace: str) -> timedelta:
        """Return when a node should ask again for an unleased workspace."""
        if self._allocator is None:
            return RETRY_AFTER_MAX
        wait = self._allocator.find_free_time(workspace) - now
        return min(max(wait, LEASE_RETRY_AFTER_MIN), RETRY_AFTER_MAX)

    def settle(self, now: datetime, settle: QuotaSettle) -> None:
        """Apply the settlement of a grant made directly."""
        if self._owner is not None:
            self._owner.settle(now, settle)

    def receive_report(
        self, now: datetime, report: QuotaLeaseReport, voters: Iterable[str]
    ) -> QuotaLeaseAnswer | None:
        """Answer a holder's report; call only under a valid leader lease."""
        if self._allocator is None:
            return None
        return self._allocator.receive(
            now, report, tuple(voters), self._tables_index
        )

    def find_holder(self, now: datetime, workspace: str) -> str | None:
        """Return the host to which a workspace is leased, if any."""
        if self._allocator is None:
            return None
        return self._allocator.find_holder(now, workspace)
