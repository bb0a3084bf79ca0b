"""State machine tests of retry budgets and quarantine."""

from dataclasses import dataclass
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import CrashReported
from sequoiaseam._quarantine import CrashWatch, QuarantineList, Standing
from sequoiaseam._retry import RetryBudget
from tests.stateful import build_settings

SECOND = timedelta(seconds=1)
PICK = st.integers(0, 30)
CRASHING = 0
BYSTANDERS = st.sets(st.integers(1, 5), max_size=3)


@dataclass(eq=False)
class Call:
    """Call of the tree; a lost call continues without its caller."""

    budget: RetryBudget
    parent: "Call | None" = None
    lost: bool = False


class BudgetMachine(RuleBasedStateMachine):
    """A tree of calls that fan out, retry, and answer or get lost."""

    @initialize(total=st.integers(0, 9))
    def build(self, total: int) -> None:
        self.total = total
        self.calls = [Call(RetryBudget(total))]
        self.retries = 0

    @rule(pick=PICK)
    def call(self, pick: int) -> None:
        caller = self.calls[pick % len(self.calls)]
        budget = RetryBudget(caller.budget.split())
        self.calls.append(Call(budget, caller))

    @rule(pick=PICK)
    def retry(self, pick: int) -> None:
        budget = self.calls[pick % len(self.calls)].budget
        left = budget.remaining
        assert budget.take() is (left > 0)
        self.retries += left > 0

    @precondition(lambda self: len(self.calls) > 1)
    @rule(pick=PICK)
    def answer(self, pick: int) -> None:
        """Return what is unused; the calls below it go on unheard."""
        call = self.calls.pop(1 + pick % (len(self.calls) - 1))
        for below in self.calls:
            below.lost |= below.parent is call
        if call.parent is not None and not call.lost:
            call.parent.budget.give_back(call.budget.remaining)

    @precondition(lambda self: len(self.calls) > 1)
    @rule(pick=PICK)
    def lose(self, pick: int) -> None:
        self.calls[1 + pick % (len(self.calls) - 1)].lost = True

    @invariant()
    def keep_the_total(self) -> None:
        held = sum(call.budget.remaining for call in self.calls)
        assert self.retries + held <= self.total


class CrashMachine(RuleBasedStateMachine):
    """Resends of one request that crashes each server that runs it.

    All steps together take less than the first quarantine lasts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = EPOCH
        self.watches = [CrashWatch() for _ in range(3)]
        self.shared = QuarantineList()
        self.reports: list[CrashReported] = []
        self.run_id = self.crashes = 0

    def start(self, watch: CrashWatch, fingerprints: set[int]) -> list[int]:
        """Start requests, of which suspects only run alone."""
        first = self.run_id
        standings = {
            one: watch.check(self.now, one, self.shared)
            for one in sorted(fingerprints)
        }
        alone = Standing.SUSPECT in standings.values()
        for one, standing in standings.items():
            if standing is Standing.QUARANTINED:
                continue
            if alone and (standing is Standing.CLEAR or self.run_id > first):
                continue
            watch.start(one, self.run_id)
            self.run_id += 1
        return list(range(first, self.run_id))

    @rule(server=st.integers(0, 2), others=BYSTANDERS)
    def send_crashing(self, server: int, others: set[int]) -> None:
        watch = self.watches[server]
        runs = self.start(watch, {CRASHING, *others})
        if not watch.count_running(CRASHING):
            self.end(server, runs)
            return
        self.crashes += 1
        report = watch.crash(self.now, f"crash {self.crashes}")
        assert report is not None
        # The caller learns of the crash after the report is committed.
        self.shared.apply(report)
        self.reports.append(report)

    @rule(server=st.integers(0, 2), others=BYSTANDERS)
    def send_others(self, server: int, others: set[int]) -> None:
        self.end(server, self.start(self.watches[server], others))

    def end(self, server: int, runs: list[int]) -> None:
        for run_id in runs:
            self.watches[server].finish(run_id)

    @rule(server=st.integers(0, 2), lost=st.booleans())
    def clear(self, server: int, *, lost: bool) -> None:
        report = self.watches[server].report_cleared(
            self.now,
            f"clear {self.run_id} {server} {self.now}",
            self.shared,
        )
        if report is not None and not lost:
            self.shared.apply(report)
            self.reports.append(report)

    @precondition(lambda self: self.reports)
    @rule(pick=PICK)
    def repeat_report(self, pick: int) -> None:
        self.shared.apply(self.reports[pick % len(self.reports)])

    @rule(server=st.integers(0, 2))
    def restart(self, server: int) -> None:
        """Restart a node and load the list from a snapshot."""
        self.watches[server] = CrashWatch()
        self.shared = QuarantineList.load(*self.shared.dump())

    @rule(seconds=st.integers(1, 9))
    def wait(self, seconds: int) -> None:
        self.now += seconds * SECOND

    @invariant()
    def bound_crashes(self) -> None:
        assert self.crashes <= 2
        listed = self.shared.list_quarantined(self.now)
        assert {entry.fingerprint for entry in listed} <= {CRASHING}


class BudgetMachineTest(BudgetMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against a call tree that exceeds its root's retry budget."""

    settings = build_settings(100, 40)


class CrashMachineTest(CrashMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guards against a third crash and quarantine of other requests."""

    settings = build_settings(100, 30)
