"""Stateful tests of edits, the feed of control hosts and node views."""

from datetime import datetime, timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import AddKey, EditTables, WithdrawKey
from sequoiaseam._feed import FeedMessage, FeedSource, NodeView, Pong
from sequoiaseam._keyring import compute_digest
from sequoiaseam._state import EditResult, EditStatus, FleetState
from sequoiaseam._tables import KeyRecord, Workspace
from sequoiaseam.const import CONFIGURATION_LEASE
from tests.builders import build_tables
from tests.stateful import build_settings

PICK = st.integers(0, 30)
PAIR = st.integers(0, 1)
TOKENS = ("t0", "t1", "t2")

Edit = EditTables | AddKey | WithdrawKey


# Hypothesis derives the seed of the generated runs from the source of this
# class without comments, so a change of its code changes the runs.
class StateMachine(RuleBasedStateMachine):
    """Two operators edit; two control hosts feed two nodes.

    Each host applies the log at its own pace. Messages to nodes are
    lost, repeated and reordered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = EPOCH
        self.log: list[Edit] = []
        self.leader = FleetState()
        self.history = [self.leader.dump()]
        self.answers: dict[str, EditResult] = {}
        self.seen = [0, 0]
        self.withdrawn: dict[str, datetime] = {}
        self.hosts = [FleetState(), FleetState()]
        self.sources = [FeedSource(host) for host in self.hosts]
        # Time and commit index of each host's last majority confirmation.
        self.confirmed = [(EPOCH, 0), (EPOCH, 0)]
        self.views = [NodeView(), NodeView()]
        self.reached = [0, 0]
        self.mail: list[tuple[int, FeedMessage | Pong]] = []
        self.edit_tables(0, 1)
        for token in TOKENS[:2]:
            self.edit_key(0, token, add=True, checked=True)
        for host in (0, 1):
            self.catch_up(host, len(self.log))
            self.subscribe(host, host)
            self.deliver(0, 1)

    def commit(self, edit: Edit) -> int:
        """Append an edit, check the answer, return its revision."""
        before, known = self.leader.revision, edit.edit_id in self.answers
        self.log.append(edit)
        result = self.leader.apply(len(self.log), edit)
        self.history.append(self.leader.dump())
        assert result is not None
        if known:
            assert result == self.answers[edit.edit_id]
            assert self.leader.revision == before
            return result.revision
        self.answers[edit.edit_id] = result
        won = result.status is EditStatus.ACCEPTED
        stale = edit.base_revision not in (None, before)
        assert (result.status is EditStatus.CONFLICT) is stale
        assert self.leader.revision == result.revision == before + won
        for token in TOKENS:
            if token in self.leader.keys:
                self.withdrawn.pop(token, None)
            elif won and getattr(edit, "key_id", "") == token:
                self.withdrawn[token] = self.now
        return result.revision

    @rule(operator=PAIR, row=st.integers(1, 3))
    def edit_tables(self, operator: int, row: int) -> None:
        workspace = Workspace("coop", rate=float(row), burst=row)
        tables = build_tables(workspaces=(workspace,))
        name, base = f"e{len(self.log)}", self.seen[operator]
        edit = EditTables(name, str(operator), base, tables)
        self.seen[operator] = self.commit(edit)

    @rule(
        operator=PAIR,
        token=st.sampled_from(TOKENS),
        add=st.booleans(),
        checked=st.booleans(),
    )
    def edit_key(
        self,
        operator: int,
        token: str,
        *,
        add: bool,
        checked: bool,
    ) -> None:
        name = f"e{len(self.log)}"
        base = self.seen[operator] if checked else None
        key = KeyRecord(token, compute_digest(token), "coop")
        edit: Edit = WithdrawKey(name, str(operator), base, token)
        if add:
            edit = AddKey(name, str(operator), base, key)
        self.seen[operator] = self.commit(edit)

    @precondition(lambda self: self.log)
    @rule(pick=PICK)
    def resend(self, pick: int) -> None:
        """Send an edit again; its answer was lost."""
        self.commit(self.log[pick % len(self.log)])

    @rule(host=PAIR, count=st.integers(1, 4))
    def catch_up(self, host: int, count: int) -> None:
        state = self.hosts[host]
        for edit in self.log[state.index : state.index + count]:
            index = state.index + 1
            state.apply(index, edit)
            for name, message in self.sources[host].publish(index, edit):
                self.mail.append((int(name), message))
        assert state.dump() == self.history[state.index]

    @rule(host=PAIR, ahead=st.booleans())
    def load(self, host: int, *, ahead: bool) -> None:
        """Restart a host from its own snapshot or the leader's."""
        index = len(self.log) if ahead else self.hosts[host].index
        self.hosts[host] = FleetState.load(self.history[index])
        self.sources[host].replace_state(self.hosts[host])

    @rule(host=PAIR, node=PAIR)
    def subscribe(self, host: int, node: int) -> None:
        view = self.views[node]
        for source in self.sources:
            source.unsubscribe(str(node))
        message = self.sources[host].subscribe(
            str(node),
            view.index,
            view.pools,
            has_pool_members=view.has_pool_members,
        )
        if message is not None:
            self.mail.append((node, message))

    @rule(host=PAIR, node=PAIR, cut_off=st.booleans(), late=st.booleans())
    def ping(
        self,
        host: int,
        node: int,
        *,
        cut_off: bool,
        late: bool,
    ) -> None:
        if not cut_off:
            self.confirmed[host] = (self.now, len(self.log))
        at, index = self.confirmed[host]
        sent = self.views[node].build_ping(self.now).sent
        self.mail.append((node, Pong(sent, index, self.now - at)))
        if not late:
            self.deliver(len(self.mail) - 1, 1)

    @precondition(lambda self: self.mail)
    @rule(pick=PICK, copies=st.sampled_from((1, 2, 0)))
    def deliver(self, pick: int, copies: int) -> None:
        node, message = self.mail.pop(pick % len(self.mail))
        for _ in range(copies):
            if isinstance(message, Pong):
                self.views[node].receive_pong(self.now, message)
            else:
                self.views[node].apply(self.now, message)

    @rule(seconds=st.sampled_from((0.1, 1.0, 2.0, 4.0)))
    def wait(self, seconds: float) -> None:
        self.now += timedelta(seconds=seconds)

    @precondition(lambda self: len(self.mail) > 4)
    @rule(host=PAIR)
    def converge(self, host: int) -> None:
        """Both nodes reach the newest state once messages arrive."""
        self.catch_up(host, len(self.log))
        for node in (0, 1):
            self.subscribe(host, node)
        while self.mail:
            self.deliver(0, 1)
        assert [view.index for view in self.views] == [len(self.log)] * 2

    @invariant()
    def compare_views(self) -> None:
        for node, view in enumerate(self.views):
            assert view.index >= self.reached[node], "a view went back"
            self.reached[node] = view.index
            state = FleetState.load(self.history[view.index])
            assert view.revision == state.revision
            assert view.tables == state.tables
            for token in TOKENS:
                known = view.keyring.identify(token)
                assert known == state.keys.get(token)

    @invariant()
    def refuse_withdrawn(self) -> None:
        old = [
            t
            for t, at in self.withdrawn.items()
            if self.now >= at + CONFIGURATION_LEASE
        ]
        for view in self.views:
            if view.is_fresh(self.now):
                assert not any(map(view.keyring.identify, old))


class StateMachineTest(StateMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against conflicting edits, lost results and wrong views.

    Two edits with the same base revision must not both be accepted.
    """

    settings = build_settings(150, 50)
