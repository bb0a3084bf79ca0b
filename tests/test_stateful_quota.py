"""Stateful test of the workspace quota against an exact count."""

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
    TAKEOVER_WAIT,
    Admit,
    QuotaAction,
    QuotaOwner,
    QuotaSpender,
    SendAsk,
    SendSettle,
)
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._tables import Workspace
from sequoiaseam.const import ELECTION_TIMEOUT_MIN
from tests.stateful import build_settings

MS = timedelta(milliseconds=1)
PAIR = st.integers(0, 1)
RATE = st.sampled_from((20, 2, 100))
BURST = st.integers(1, 9)
# Units per token; integer amounts keep all sums exact.
UNITS = 10**6
# Clock drift of each node in parts per thousand.
DRIFTS = (10, -10)


@dataclass(frozen=True, slots=True)
class Spent:
    """A spent token, the units refilled until then and the burst in force."""

    allowed: int
    burst: int


class QuotaMachine(RuleBasedStateMachine):
    """Two nodes spend; messages get lost, late, doubled, reordered."""

    @initialize(rate=RATE, burst=BURST)
    def build(self, rate: int, burst: int) -> None:
        self.now, self.allowed = EPOCH, 0
        self.rows = {"w": Workspace("w", float(rate), burst)}
        self.owners = [QuotaOwner(EPOCH, 1, self.rows)]
        self.changed = EPOCH
        self.bursts = [(EPOCH, burst)]
        self.spenders = [QuotaSpender("n0"), QuotaSpender("n1")]
        self.mail: list[QuotaAsk | QuotaGrant | QuotaSettle] = []
        self.spent: list[Spent] = []
        self.count = 0
        self.wait(3000)

    def read_clock(self, node: int) -> datetime:
        elapsed = self.now - EPOCH
        return self.now + elapsed * DRIFTS[node] / 1000

    def apply(self, actions: tuple[QuotaAction, ...]) -> None:
        for action in actions:
            if isinstance(action, SendAsk):
                self.mail.append(action.ask)
            elif isinstance(action, SendSettle):
                self.mail.append(action.settle)
            elif isinstance(action, Admit):
                burst = max(burst for _, burst in self.bursts)
                self.spent.append(Spent(self.allowed, burst))

    @rule(node=PAIR, count=st.integers(1, 30), owner=st.integers(0, 2))
    def request(self, node: int, count: int, owner: int) -> None:
        """Send requests; owner 2 hears of them later or never."""
        for _ in range(count):
            self.count += 1
            now = self.read_clock(node)
            self.apply(self.spenders[node].request(now, "w", self.count))
        for _ in range(20):
            if self.mail and owner < 2:
                self.deliver(len(self.mail) - 1, 1, owner)

    @precondition(lambda self: self.mail)
    @rule(
        pick=st.integers(0, 30),
        copies=st.sampled_from((1, 2, 0)),
        owner=PAIR,
    )
    def deliver(self, pick: int, copies: int, owner: int) -> None:
        message = self.mail.pop(pick % len(self.mail))
        chosen = self.owners[owner % len(self.owners)]
        for _ in range(copies):
            if isinstance(message, QuotaAsk):
                self.mail.append(chosen.ask(self.now, message))
            elif isinstance(message, QuotaSettle):
                chosen.settle(self.now, message)
            else:
                node = int(message.node[1:])
                now = self.read_clock(node)
                self.apply(self.spenders[node].receive(now, message))

    @rule(step=st.sampled_from((30, 1, 110, 480, 520, 2000)))
    def wait(self, step: int) -> None:
        refill = int(self.rows["w"].rate) * step * UNITS // 1000
        self.now, self.allowed = self.now + step * MS, self.allowed + refill
        if self.now >= self.changed + ELECTION_TIMEOUT_MIN:
            del self.owners[:-1]
        # Grants made before the burst was lowered remain valid until they
        # expire.
        life = self.now - GRANT_TTL
        while len(self.bursts) > 1 and self.bursts[1][0] < life:
            del self.bursts[0]
        for owner in self.owners:
            owner.tick(self.now)
        for node, spender in enumerate(self.spenders):
            self.apply(spender.tick(self.read_clock(node)))

    @rule(rate=RATE, burst=BURST)
    def configure(self, rate: int, burst: int) -> None:
        self.rows = {"w": Workspace("w", float(rate), burst)}
        self.bursts.append((self.now, burst))
        for owner in self.owners:
            owner.configure(self.now, self.rows)

    @precondition(lambda self: self.now - self.changed > 3000 * MS)
    @rule(waited=st.booleans())
    def change_owner(self, *, waited: bool) -> None:
        """Elect an owner; the former one answers until its lease ends."""
        self.changed = self.now
        term = 1 + int((self.now - EPOCH) / MS) + self.count
        self.owners.append(QuotaOwner(self.now, term, self.rows))
        if waited:
            self.wait(int(TAKEOVER_WAIT / MS) + 100)

    @precondition(lambda self: self.count % 3 == 1)
    @rule(node=PAIR)
    def restart(self, node: int) -> None:
        self.count += 1
        self.spenders[node] = QuotaSpender(f"n{node}", self.count)

    @invariant()
    def keep_the_rate(self) -> None:
        """Check each window from one spent token to another."""
        lowest = 0
        for number, spent in enumerate(self.spent):
            level = number * UNITS - spent.allowed
            start = level + spent.burst * UNITS
            lowest = min(lowest, start) if number else start
            assert level + UNITS <= lowest, "a token too many"


class QuotaMachineTest(QuotaMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against exceeding the rate by even one token in any window."""

    settings = build_settings(120, 40)
