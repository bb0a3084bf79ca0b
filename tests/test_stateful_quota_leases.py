"""Stateful test of the quota leases against an exact count of tokens."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiaseam._clock import EPOCH
from sequoiaseam._quota import (
    GRANT_TTL,
    NODE_TTL_FACTOR,
    Admit,
    QuotaAction,
    QuotaSpender,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_lease_messages import (
    QuotaLeaseAnswer,
    QuotaLeaseReport,
)
from sequoiaseam._quota_leases import (
    ControlGroup,
    LeaderQuota,
    QuotaLeaseHolder,
    find_shard,
)
from sequoiaseam._quota_messages import QuotaAsk, QuotaGrant, QuotaSettle
from sequoiaseam._tables import Workspace
from sequoiaseam.const import CLOCK_DRIFT_MAX, ELECTION_TIMEOUT_MIN
from tests.stateful import build_settings

MS = timedelta(milliseconds=1)
SLICE = 25 * MS
SLICES_PER_REQUEST = 4
HOSTS = ("c0", "c1", "c2")
HOST = st.integers(0, 2)
NODE = st.integers(0, 1)
MEMBERS = 1_000
# Drifts in parts per thousand; the greatest that the design allows for.
HOST_DRIFTS = (0, 10, -10)
NODE_DRIFTS = (10, -10)
# Units per token; integer amounts keep all sums exact.
UNITS = 10**6
# Longest time for which a node uses a grant, by an exact clock.
GRANT_LIFE_MAX = GRANT_TTL * NODE_TTL_FACTOR / (1 - CLOCK_DRIFT_MAX)

LeaseMail = QuotaLeaseReport | QuotaLeaseAnswer
NodeMail = QuotaAsk | QuotaGrant | QuotaSettle


@dataclass(slots=True)
class Leader:
    """A leader, until when its lease may be valid, and if it is yet."""

    host: int
    term: int
    quota: LeaderQuota
    valid: bool = False
    valid_until: datetime | None = None


@dataclass(frozen=True, slots=True)
class Spent:
    """A spent token and the units refilled until then."""

    allowed: int


class QuotaLeaseMachine(RuleBasedStateMachine):
    """Control hosts hold leases; leaders, hosts and messages fail.

    Messages between a host that is cut off and the others stay in the mail,
    from which they are delivered late, twice or never.
    """

    @initialize(
        rate=st.sampled_from((20, 2, 100)),
        burst=st.integers(1, 9),
        settled=st.sampled_from((7000, 4000, 0)),
    )
    def build(self, rate: int, burst: int, settled: int) -> None:
        self.now, self.allowed = EPOCH, 0
        self.rate, self.burst = rate, burst
        self.rows = {"w": Workspace("w", float(rate), burst)}
        self.shard = find_shard("w")
        self.count = self.slices = 0
        self.processes = list(HOSTS)
        self.holders = [self.create_holder(host) for host in range(3)]
        self.frozen = [False] * 3
        self.cut = [False] * 3
        self.enabled = True
        # The replicated state, and what each host has applied of it.
        self.in_force = False
        self.applied = [False] * 3
        self.proposed: bool | None = None
        self.leaders: list[Leader] = []
        self.spenders = [QuotaSpender("n0"), QuotaSpender("n1")]
        self.lease_mail: list[tuple[int, int, LeaseMail]] = []
        self.mail: list[NodeMail] = []
        self.spent: list[Spent] = []
        # When each process, as holder or as leader, last granted tokens.
        self.granted_at: dict[str, datetime] = {}
        self.elect(0)
        self.wait(settled)

    def create_holder(self, host: int) -> QuotaLeaseHolder:
        self.count += 1
        self.processes[host] = f"{HOSTS[host]} process {self.count}"
        holder = QuotaLeaseHolder(HOSTS[host], self.count)
        holder.configure(self.now, 1, self.rows)
        return holder

    def read_clock(self, host: int) -> datetime:
        return self.now + (self.now - EPOCH) * HOST_DRIFTS[host] / 1000

    def read_node_clock(self, node: int) -> datetime:
        return self.now + (self.now - EPOCH) * NODE_DRIFTS[node] / 1000

    # Leaders.

    def is_valid(self, leader: Leader) -> bool:
        """Return whether the leader may still believe in its lease."""
        return (
            leader.valid
            and not self.frozen[leader.host]
            and (leader.valid_until is None or self.now < leader.valid_until)
        )

    @precondition(lambda self: self.leaders)
    @rule(host=HOST)
    def elect(self, host: int) -> None:
        """Elect a leader; the former one acts until its lease ends."""
        if self.frozen[host] or self.cut[host]:
            return
        for leader in self.leaders:
            leader.valid_until = (
                leader.valid_until or self.now + ELECTION_TIMEOUT_MIN
            )
        self.leaders = [*self.leaders, self.create_leader(host)][-2:]

    def create_leader(self, host: int) -> Leader:
        self.count += 1
        quota = LeaderQuota(
            self.read_clock(host),
            self.count,
            HOSTS[host],
            self.rows,
            index=1,
            in_force=self.applied[host],
            enabled=self.enabled,
        )
        return Leader(host, self.count, quota)

    def lead(self, leader: Leader) -> None:
        """Let a leader with a valid lease follow the log and propose."""
        if self.frozen[leader.host] or leader.valid_until is not None:
            return
        now = self.read_clock(leader.host)
        if not leader.valid:
            # All entries of earlier leaders are applied before the first
            # own one, including those that only now become committed.
            if self.proposed is not None:
                self.in_force, self.proposed = self.proposed, None
            leader.valid = True
        self.apply_log(leader.host)
        if self.proposed is not None or self.cut[leader.host]:
            return
        group = ControlGroup(HOSTS, frozenset(HOSTS))
        self.proposed = leader.quota.plan(now, MEMBERS, group)

    def apply_log(self, host: int) -> None:
        """Let a host apply the log; it may be far behind before this."""
        self.applied[host] = self.in_force
        if not self.in_force:
            self.holders[host].end_all()
        for leader in self.leaders[-1:]:
            if leader.host == host:
                leader.quota.update(
                    self.read_clock(host),
                    self.rows,
                    index=1,
                    in_force=self.in_force,
                )

    @precondition(lambda self: self.proposed is not None)
    @rule(committed=st.booleans())
    def decide_proposal(self, *, committed: bool) -> None:
        leader = self.leaders[-1]
        if committed and leader.valid and not self.frozen[leader.host]:
            self.in_force = bool(self.proposed)
            self.proposed = None
            self.apply_log(leader.host)
        elif not committed:
            self.proposed = None

    @rule(enabled=st.booleans())
    def switch(self, *, enabled: bool) -> None:
        """Change the setting, which takes effect with the next leader."""
        self.enabled = enabled

    # Control hosts.

    @rule(host=HOST, frozen=st.booleans())
    def freeze(self, host: int, *, frozen: bool) -> None:
        self.frozen[host] = frozen

    @rule(host=HOST, cut=st.booleans())
    def cut_off(self, host: int, *, cut: bool) -> None:
        self.cut[host] = cut

    @rule(host=HOST, leaves=st.booleans())
    def restart(self, host: int, *, leaves: bool) -> None:
        """Start a new process, whose replica may start from nothing."""
        if leaves and not self.frozen[host]:
            report = self.holders[host].leave(self.read_clock(host))
            if report is not None and self.leaders:
                self.send(host, self.leaders[-1].host, report)
        self.holders[host] = self.create_holder(host)
        self.applied[host] = False
        for leader in self.leaders:
            if leader.host == host:
                leader.valid_until = leader.valid_until or self.now
                leader.valid = False

    @rule(
        kind=st.sampled_from(
            ("freeze", "cut", "restart", "leave", "elect", "cut and elect")
        ),
        step=st.sampled_from((0, 100, 500, 3000)),
    )
    def disturb_holder(self, kind: str, step: int) -> None:
        """Do something to the host that holds the lease."""
        held = [h for h in range(3) if self.shard in self.holders[h].held]
        for host in held[:1]:
            if kind == "freeze":
                self.freeze(host, frozen=True)
            elif kind in ("restart", "leave"):
                self.restart(host, leaves=kind == "leave")
            elif kind == "elect":
                self.elect(host)
            else:
                self.cut_off(host, cut=True)
                if kind == "cut and elect":
                    self.elect((host + 1) % 3)
        self.wait(step)

    @precondition(lambda self: not any(self.frozen))
    @rule(host=HOST, late=st.sampled_from((2900, 400, 2500, 3300)))
    def answer_late(self, host: int, late: int) -> None:
        """Freeze a host between its report and the answer, and cut it off."""
        self.cut_off(host, cut=True)
        self.wait(300)
        reports = [
            number
            for number, (sender, _, message) in enumerate(self.lease_mail)
            if sender == host and isinstance(message, QuotaLeaseReport)
        ]
        if reports:
            self.deliver_lease_mail(reports[-1], 1)
        self.freeze(host, frozen=True)
        self.wait(late)
        self.freeze(host, frozen=False)
        if self.lease_mail and self.lease_mail[-1][1] == host:
            self.deliver_lease_mail(len(self.lease_mail) - 1, 1)
        self.wait(1000)

    def send(self, sender: int, target: int, message: LeaseMail) -> None:
        self.lease_mail.append((sender, target, message))
        if sender == target or not (
            self.cut[sender] or self.cut[target] or self.frozen[target]
        ):
            self.deliver_lease_mail(len(self.lease_mail) - 1, 1)

    @precondition(lambda self: self.lease_mail)
    @rule(pick=st.integers(0, 30), copies=st.sampled_from((1, 2, 0)))
    def deliver_lease_mail(self, pick: int, copies: int) -> None:
        sender, target, message = self.lease_mail.pop(
            pick % len(self.lease_mail)
        )
        if self.frozen[target]:
            return
        for _ in range(copies):
            if isinstance(message, QuotaLeaseAnswer):
                self.holders[target].receive(self.read_clock(target), message)
                continue
            for leader in self.leaders:
                if leader.host == target and self.is_valid(leader):
                    answer = leader.quota.receive_report(
                        self.read_clock(target), message, HOSTS
                    )
                    if answer is not None:
                        self.send(target, sender, answer)

    def tick_host(self, host: int) -> None:
        if self.frozen[host]:
            return
        now = self.read_clock(host)
        holder = self.holders[host]
        holder.tick(now)
        # A host that is cut off doesn't hear of a new leader.
        leader = self.leaders[-1]
        if self.cut[host] and host != leader.host:
            leader = self.leaders[0]
        elif not self.cut[host]:
            self.apply_log(host)
        if self.applied[host]:
            report = holder.report(now, leader.term, 1)
            if report is not None:
                self.send(host, leader.host, report)

    # Nodes.

    def apply(self, actions: tuple[QuotaAction, ...]) -> None:
        for action in actions:
            if isinstance(action, SendAsk):
                self.mail.append(action.ask)
            elif isinstance(action, SendSettle):
                self.mail.append(action.settle)
            elif isinstance(action, Admit):
                self.spent.append(Spent(self.allowed))

    @rule(node=NODE, count=st.integers(1, 30), heard=st.booleans())
    def request(self, node: int, count: int, *, heard: bool) -> None:
        for _ in range(count):
            self.count += 1
            now = self.read_node_clock(node)
            self.apply(self.spenders[node].request(now, "w", self.count))
        for _ in range(20):
            if self.mail and heard:
                self.deliver(len(self.mail) - 1, 1)

    @precondition(lambda self: self.mail)
    @rule(pick=st.integers(0, 30), copies=st.sampled_from((1, 2, 0)))
    def deliver(self, pick: int, copies: int) -> None:
        message = self.mail.pop(pick % len(self.mail))
        for _ in range(copies):
            if isinstance(message, QuotaAsk):
                self.ask_all(message)
            elif isinstance(message, QuotaSettle):
                self.settle_all(message)
            else:
                node = int(message.node[1:])
                now = self.read_node_clock(node)
                self.apply(self.spenders[node].receive(now, message))

    def ask_all(self, ask: QuotaAsk) -> None:
        """Ask every host that would answer."""
        for host in range(3):
            if self.frozen[host]:
                continue
            now = self.read_clock(host)
            grant = self.holders[host].ask(now, ask)
            if grant is not None:
                self.record_grant(self.processes[host], grant)
        for leader in self.leaders:
            if self.is_valid(leader):
                now = self.read_clock(leader.host)
                grant = leader.quota.ask(now, ask)
                self.record_grant(f"leader {leader.term}", grant)

    def record_grant(self, source: str, grant: QuotaGrant) -> None:
        self.mail.append(grant)
        if not grant.tokens:
            return
        for other, granted_at in self.granted_at.items():
            if other != source:
                assert self.now - granted_at >= GRANT_LIFE_MAX, (
                    f"{source} grants while grants of {other} are valid"
                )
        self.granted_at[source] = self.now

    def settle_all(self, settle: QuotaSettle) -> None:
        for host in range(3):
            if not self.frozen[host]:
                self.holders[host].settle(self.read_clock(host), settle)
        for leader in self.leaders:
            if not self.frozen[leader.host]:
                leader.quota.settle(self.read_clock(leader.host), settle)

    # Time.

    @rule(step=st.sampled_from((100, 25, 500, 1200, 3000, 4500, 31_000)))
    def wait(self, step: int) -> None:
        for _ in range(step * MS // SLICE):
            self.advance()

    def advance(self) -> None:
        self.slices += 1
        milliseconds = SLICE // MS
        refill = self.rate * milliseconds * UNITS // 1000
        # Holders refill by their own clocks.
        refill += refill * max(HOST_DRIFTS) // 1000
        self.now, self.allowed = self.now + SLICE, self.allowed + refill
        for leader in self.leaders:
            if not self.frozen[leader.host]:
                leader.quota.tick(self.read_clock(leader.host))
        self.lead(self.leaders[-1])
        if self.proposed is not None and self.slices % 8 == 0:
            self.decide_proposal(committed=True)
        for host in range(3):
            self.tick_host(host)
        for node, spender in enumerate(self.spenders):
            self.apply(spender.tick(self.read_node_clock(node)))
        if self.slices % SLICES_PER_REQUEST == 0:
            self.request(self.slices // SLICES_PER_REQUEST % 2, 2, heard=True)

    @invariant()
    def have_one_holder(self) -> None:
        holders = [
            HOSTS[host]
            for host in range(3)
            if self.holders[host].find_host(self.read_clock(host), "w")
            == HOSTS[host]
        ]
        assert len(holders) <= 1, f"two hosts hold a lease: {holders}"

    @invariant()
    def keep_the_rate(self) -> None:
        """Check each window from one spent token to another."""
        lowest = 0
        for number, spent in enumerate(self.spent):
            level = number * UNITS - spent.allowed
            start = level + self.burst * UNITS
            lowest = min(lowest, start) if number else start
            assert level + UNITS <= lowest, "a token too many"


class QuotaLeaseMachineTest(QuotaLeaseMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against two grantors of a workspace, and a token too many."""

    settings = build_settings(120, 40)
