"""Record of requests and runs, and the promises that are checked on it.

It holds what callers and backend servers saw, and the times at which
processes were stopped or disturbed.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Iterable
from typing import Final

from tests.soak.calls import Call, End, Period, Run
from tests.soak.losses import (
    is_broken_off,
    is_time_over,
    list_parties,
    overlaps,
)

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# From SIGTERM to SIGKILL, as PlatformFleet sets it.
GRACE_PERIOD_SECONDS: Final = 6.0
# A stop may break off a request that was sent before the first of these and
# is still in progress at the second, in seconds after SIGTERM.
STOP_ADMISSION_SECONDS: Final = 3.0
STOP_LAST_SIXTH_SECONDS: Final = GRACE_PERIOD_SECONDS * 5 / 6
# How long a fault may still affect requests that are sent after its end.
FAULT_AFTERMATH_SECONDS: Final = 3.0
# A request that arrived this long before its connection ended didn't cross
# a close, also if the process hadn't read it.
CROSSING_SECONDS_MAX: Final = 0.2
# A soak that last looked at its connections longer ago is late.
LATE_SECONDS_MIN: Final = 0.1
FAILURES_MAX: Final = 40


class Record:
    """All requests and their runs; checks each as soon as it can."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.failures: list[str] = []
        self.failed_ids: list[str] = []
        # By address of a process or name of a relay. The stop of a backend
        # server has the name of its relay, also if it has none.
        self.faults: dict[str, list[Period]] = {}
        self.stops: dict[str, list[Period]] = {}
        # Times of SIGHUP.
        self.reloads: dict[str, list[Period]] = {}
        # From the sending of an edit to its confirmation.
        self.edits: list[Period] = []
        # Requests that would be failures if nothing excused them, by excuse.
        self.excused: Counter[str] = Counter()
        # How often disturbances met what they are to disturb.
        self.strikes: Counter[str] = Counter()
        # When the soak last looked at its connections, if it tells.
        self.polled_at = math.inf
        # Times in texts count from here.
        self.started_at = self.now()

    @staticmethod
    def now() -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def fail(self, text: str, call: Call | None = None) -> None:
        """Record a broken promise."""
        if call is not None:
            text = f"{text}\n{self.describe(call)}"
            self.failed_ids.append(call.request_id)
        if len(self.failures) < FAILURES_MAX:
            self.failures.append(text)

    # Stops and faults.

    def add_fault(self, name: str, what: str) -> Period:
        """Record the start of a fault of a process or a relay."""
        period = Period(what, self.now())
        self.faults.setdefault(name, []).append(period)
        return period

    def add_stop(self, address: str) -> Period:
        """Record the start of a planned stop."""
        period = Period("stop", self.now())
        self.stops.setdefault(address, []).append(period)
        return period

    def is_stopped(
        self, names: Iterable[str], start: float, end: float
    ) -> bool:
        """Return whether any of these was stopped or not yet restarted."""
        return overlaps(self.stops, names, start, end)

    def is_disturbed(
        self,
        names: Iterable[str],
        start: float,
        end: float,
        aftermath: float = 0.0,
    ) -> bool:
        """Return whether a fault of any of these was in effect."""
        return overlaps(self.faults, names, start - aftermath, end)

    # Requests.

    def start_call(self, call: Call) -> None:
        """Record that a request is about to be sent."""
        call.started_at = self.now()
        self.calls[call.request_id] = call

    def end_call(self, call: Call, end: End) -> None:
        """Record the end of a request and check what it tells."""
        call.ended_at = self.now()
        call.end = end
        if call.ended_at - self.polled_at > LATE_SECONDS_MIN:
            # The connection may have ended at any time since then.
            call.open_until = self.polled_at
        self._check_end(call)

    def _check_end(self, call: Call) -> None:
        if call.end is End.ANSWERED:
            self._check_answer(call)
        elif call.end not in (None, End.ABANDONED):
            self._check_missing_answer(call)

    def _check_answer(self, call: Call) -> None:
        if call.status in NOT_RUN_STATUSES and call.runs:
            self.fail("a request was refused as not run, but has run", call)
        if not (call.signature or call.served):
            return
        answer = (call.status, call.signature, call.answer)
        if answer not in [(r.status, r.signature, r.body) for r in call.runs]:
            self.fail("an answer isn't the one to its request", call)

    def _check_missing_answer(self, call: Call) -> None:
        ended_at = min(call.ended_at, call.open_until)
        waited = ended_at - call.arrived_at > CROSSING_SECONDS_MAX
        ignored = call.end is End.UNREAD and waited
        lost = call.end in (End.CUT, End.SILENT) or ignored or bool(call.runs)
        if not lost:
            return
        if self.is_disturbed(
            (call.node, call.path), call.started_at, call.ended_at
        ):
            self.excused["no answer, fault"] += 1
        else:
            self.fail(
                "a request that was read or waited to be read got no answer",
                call,
            )

    def start_run(self, request_id: str, run: Run) -> bool:
        """Record that a backend server runs a request; False if unknown."""
        call = self.calls.get(request_id)
        if call is None:
            self.fail(f"a request that nobody sent has run: {request_id}")
            return False
        if run.received and run.received != call.expected:
            self.fail(f"a request was changed: {run.received}", call)
        call.runs.append(run)
        if not call.idempotent and len(call.runs) > 1:
            self.fail("a request that isn't idempotent ran twice", call)
        if call.end is End.ANSWERED and call.status in NOT_RUN_STATUSES:
            self.fail("a request runs that was refused as not run", call)
        return True

    def end_run(self, run: Run, end: str) -> None:
        """Record the end of a run."""
        run.ended_at = self.now()
        run.end = end

    # Checks of the whole.

    def add_all(
        self, calls: Iterable[Call], runs: Iterable[tuple[str, Run]]
    ) -> None:
        """Add and check what several processes have recorded.

        ``runs`` are those that no call has yet, with the ids of the requests.
        """
        self.calls.update((call.request_id, call) for call in calls)
        for request_id, run in sorted(
            runs, key=lambda item: item[1].started_at
        ):
            self.start_run(request_id, run)
        for call in self.calls.values():
            self._check_end(call)

    def check_all(self) -> None:
        """Check what is known only at the end."""
        for call in self.calls.values():
            if call.end is None:
                self.fail("a request has no end", call)
            elif self._is_answer_replaced(call):
                excuse = self._find_excuse(call)
                if excuse:
                    self.excused[f"replaced answer, {excuse}"] += 1
                else:
                    self.fail("a run's answer was replaced by another", call)

    @staticmethod
    def _is_answer_replaced(call: Call) -> bool:
        """Return whether a node answered by itself though a server ran it."""
        return (
            call.end is End.ANSWERED
            and not (call.served or call.signature)
            and bool(call.runs)
        )

    def _find_excuse(self, call: Call) -> str:
        """Return why a run's answer may be replaced, or an empty text.

        Otherwise it was ready or would have been within the time limits.
        """
        if is_broken_off(call):
            return "broken off by its server"
        if is_time_over(call):
            return "time limit"
        if self._is_in_last_sixth(call, {call.node}):
            return "end of a stop"
        # While the node that took the request goes on, nothing is lost in a
        # planned stop of its own.
        if not self.is_stopped(
            {call.node}, call.started_at, call.ended_at
        ) and self._is_in_last_sixth(call, {run.node for run in call.runs}):
            return "end of the stop of its server's node"
        if self.is_disturbed(
            list_parties(call),
            call.started_at,
            call.ended_at,
            FAULT_AFTERMATH_SECONDS,
        ):
            return "fault"
        return ""

    def _is_in_last_sixth(self, call: Call, nodes: Iterable[str]) -> bool:
        """Return whether one of the nodes was about to end."""
        return any(
            call.sent_at <= stop.start + STOP_ADMISSION_SECONDS
            and call.ended_at >= stop.start + STOP_LAST_SIXTH_SECONDS
            for node in nodes
            for stop in self.stops.get(node, ())
        )

    # Texts.

    def describe(self, call: Call) -> str:
        """Return what is known of a request, with times since the start."""
        lines = [
            (
                f"  {call.request_id} {call.method} {call.target} at "
                f"{call.node} {call.connection} {call.path}: "
                f"{self._format(call.started_at)}, sent "
                f"{self._format(call.sent_at)}, arrived "
                f"{self._format(call.arrived_at)}, ended "
                f"{self._format(call.ended_at)}: "
                f"{call.end.value if call.end else 'in progress'} "
                f"{call.status or ''} {call.answer[:60]!r}"
            )
        ]
        lines += [
            f"  run by {run.server} at {run.node}: "
            f"{self._format(run.started_at)} to "
            f"{self._format(run.ended_at)}, {run.end or 'in progress'} "
            f"{run.status or ''} {run.body[:60]!r}"
            for run in call.runs
        ]
        nodes = list_parties(call)
        lines += [
            f"  {node}: {period.what} {self._format(period.start)} to "
            f"{self._format(period.end)}"
            for node in sorted(nodes)
            for periods in (self.stops, self.faults)
            for period in periods.get(node, ())
        ]
        return "\n".join(lines)

    def _format(self, time: float) -> str:
        return f"{time - self.started_at:.3f}" if time < math.inf else "-"

    def summarize(self) -> str:
        """Return how many requests ended how."""
        ends = Counter(
            f"{'nested ' if call.nested else ''}"
            + (
                str(call.status)
                if call.end is End.ANSWERED
                else (call.end.name.lower() if call.end else "open")
            )
            for call in self.calls.values()
        )
        runs = sum(len(call.runs) for call in self.calls.values())
        parts = [f"{name}: {count}" for name, count in sorted(ends.items())]
        excused = [f"{why}: {n}" for why, n in sorted(self.excused.items())]
        return (
            f"{len(self.calls)} requests, {runs} runs; {', '.join(parts)}; "
            f"excused: {', '.join(excused) or 'none'}"
        )
