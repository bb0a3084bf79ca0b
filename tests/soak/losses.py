"""The rule LOST, applied to what callers and backend servers recorded.

The rule on the configuration after the final fault isn't part of it; the
operator reads the configuration back.
"""

import enum
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from tests.soak.calls import Call, End, Period
from tests.soak.schedule import name_link_relay

# Of the rule. A node may be killed at the end of its grace period; what is
# cut within this time after it still belongs to the stop.
STOP_SLACK_SECONDS: Final = 1.0
# A request that is sent later after SIGTERM has to be served or refused.
SENDING_SECONDS: Final = 3.0
# In this last part of the grace period runs may be broken off.
LAST_PART: Final = 1 / 6
EDIT_SLACK_SECONDS: Final = 1.0
# Beside edits, a node may cut requests this many times as often.
EDIT_CUT_FACTOR: Final = 3
EDIT_USED_PART: Final = 0.7
KEPT_CLOSES_MAX: Final = 3
# The resolution of the clock, as differences of its times are rounded.
RESOLUTION_SECONDS: Final = 1e-9

# Around the time at which a process is seen to have ended by itself.
OWN_END_SLACK_SECONDS: Final = 1.0

CLOSES: Final = (End.UNSENT, End.UNREAD, End.CUT)


class Sentence(enum.Enum):
    """A sentence of the rule that a request breaks."""

    STOP = "cut around a stop of its entry node"
    REPLACED = "an answer of the node's own for a run in progress at a stop"
    RELOAD = "cut after a SIGHUP of its entry node"
    EDIT = "cut around an edit, as at no other times"
    KEPT = "passed on from a kept connection that was closed"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the rule in seconds."""

    grace_period: float
    connectivity_window: float
    loss_slack: float
    config_apply: float


@dataclass(frozen=True, slots=True)
class Events:
    """What was done to processes and relays, by address or name.

    A stop starts with SIGTERM and ends when the process listens again. An
    edit lasts from its sending to its confirmation.
    """

    stops: Mapping[str, Sequence[Period]] = field(default_factory=dict)
    faults: Mapping[str, Sequence[Period]] = field(default_factory=dict)
    reloads: Mapping[str, Sequence[Period]] = field(default_factory=dict)
    edits: Sequence[Period] = ()
    # Addresses of the control hosts.
    controls: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Loss:
    """A lost request."""

    call: Call
    sentence: Sentence
    evidence: str


@dataclass(frozen=True, slots=True)
class OwnEnd:
    """The end of a process that nobody asked for, and when it was seen."""

    address: str
    at: float
    reason: str


def describe_own_end(
    end: OwnEnd, calls: Iterable[Call], started_at: float
) -> str:
    """Return what the end of a process has cost, which counts as running."""
    lost = [
        call
        for call in calls
        if call.node == end.address
        and call.end in CLOSES
        and call.runs
        and call.started_at <= end.at
        and abs(call.ended_at - end.at) <= OWN_END_SLACK_SECONDS
        and not is_broken_off(call)
    ]
    kept = sum(call.connection == "kept" for call in lost)
    return (
        f"{end.address} ended by itself at {end.at - started_at:.3f}, "
        f"{end.reason}; LOST: {kept} requests from kept connections were "
        f"passed on and not answered, {len(lost) - kept} from new ones"
    )


def find_losses(
    calls: Iterable[Call], events: Events, bounds: Bounds
) -> list[Loss]:
    """Return the lost requests, each with the first sentence it breaks."""
    judge = _Judge(events, bounds)
    ended = [call for call in calls if call.end is not None]
    losses: dict[str, Loss] = {}
    for loss in (
        *(judge.find_stop_loss(call) for call in ended),
        *(judge.find_reload_loss(call) for call in ended),
    ):
        if loss is not None:
            losses.setdefault(loss.call.request_id, loss)
    rest = [call for call in ended if call.request_id not in losses]
    for loss in (*judge.find_edit_losses(rest), *judge.find_kept(ended)):
        losses.setdefault(loss.call.request_id, loss)
    return list(losses.values())


class _Judge:
    """Finds what breaks each sentence."""

    def __init__(self, events: Events, bounds: Bounds) -> None:
        self._events = events
        self._bounds = bounds

    def find_stop_loss(self, call: Call) -> Loss | None:
        """Return the loss around a SIGTERM of the entry node."""
        if self._is_cut(call):
            sentence, times = Sentence.STOP, [call.ended_at]
        elif _is_replaced(call):
            sentence, times = Sentence.REPLACED, _find_breaks(call)
        else:
            return None
        for at in times:
            stop = self._find_stop(call.node, at)
            if stop is not None and not (
                self._is_excused(call) or self._is_late_work(call, stop)
            ):
                text = f"{at - stop.start:.6f} s after SIGTERM"
                return Loss(call, sentence, _describe(call, text))
        return None

    def find_reload_loss(self, call: Call) -> Loss | None:
        """Return the loss after a SIGHUP of the entry node."""
        for reload in self._events.reloads.get(call.node, ()):
            due = reload.start + self._bounds.config_apply
            if (
                self._is_cut(call)
                and call.sent_at <= due
                and call.ended_at >= reload.start
                and not self._is_excused(call)
            ):
                text = f"{call.ended_at - reload.start:.6f} s after SIGHUP"
                return Loss(call, Sentence.RELOAD, _describe(call, text))
        return None

    def find_edit_losses(self, calls: Sequence[Call]) -> list[Loss]:
        """Return the losses of nodes that cut more often beside edits.

        How often is the part of the requests that end at the time.
        """
        # By node and whether beside an edit.
        counts: dict[tuple[str, bool], int] = defaultdict(int)
        cuts: dict[tuple[str, bool], list[Call]] = defaultdict(list)
        for call in calls:
            key = (call.node, self._is_beside_edit(call.ended_at))
            counts[key] += 1
            if self._is_cut(call) and not self._is_excused(call):
                cuts[key].append(call)
        losses = []
        for node in {call.node for call in calls}:
            beside, other = (node, True), (node, False)
            found, usual = len(cuts[beside]), len(cuts[other])
            if usual and found * counts[other] <= (
                EDIT_CUT_FACTOR * usual * counts[beside]
            ):
                continue
            text = (
                f"beside edits {found} of {counts[beside]} are cut, at other "
                f"times {usual} of {counts[other]}"
            )
            losses += [
                Loss(call, Sentence.EDIT, _describe(call, text))
                for call in cuts[beside]
                if call.ended_at - call.started_at + RESOLUTION_SECONDS
                < EDIT_USED_PART * call.timeout
            ]
        return losses

    def find_kept(self, calls: Iterable[Call]) -> list[Loss]:
        """Return the kept connections that were closed, if they are many."""
        found = [
            call
            for call in calls
            if call.connection == "kept"
            and call.end in CLOSES
            and call.runs
            and not is_broken_off(call)
            and not self._is_disturbed(call)
            and self._is_in_touch(call)
        ]
        if len(found) <= KEPT_CLOSES_MAX:
            return []
        text = f"one of {len(found)} such requests"
        return [
            Loss(call, Sentence.KEPT, _describe(call, text)) for call in found
        ]

    def _find_stop(self, node: str, at: float) -> Period | None:
        """Return the last stop of a node, if a time belongs to it."""
        window = self._bounds.grace_period + STOP_SLACK_SECONDS
        starts = [
            stop
            for stop in self._events.stops.get(node, ())
            if stop.start <= at
        ]
        last = max(starts, key=lambda stop: stop.start, default=None)
        return last if last and at <= last.start + window else None

    def _is_cut(self, call: Call) -> bool:
        """Return whether a request was read and its connection then ended.

        A request that wasn't passed on may cross the close for some time.
        """
        return (call.end in CLOSES and bool(call.runs)) or (
            call.end is End.CUT
            and call.ended_at > call.sent_at + self._bounds.loss_slack
        )

    def _is_excused(self, call: Call) -> bool:
        """Return whether a request doesn't count around planned work."""
        return (
            is_time_over(call)
            or is_broken_off(call)
            or self._is_disturbed(call)
        )

    def _is_late_work(self, call: Call, stop: Period) -> bool:
        """Return whether a run was in progress at the end of a stop."""
        end = stop.start + self._bounds.grace_period
        last_part = end - LAST_PART * self._bounds.grace_period
        return call.sent_at <= stop.start + SENDING_SECONDS and any(
            run.started_at <= end
            and min(run.ended_at, call.ended_at) >= last_part
            for run in call.runs
        )

    def _is_disturbed(self, call: Call) -> bool:
        """Return whether a fault was on the way, and not planned."""
        since = call.started_at - self._bounds.connectivity_window
        return overlaps(
            self._events.faults, list_parties(call), since, call.ended_at
        )

    def _is_in_touch(self, call: Call) -> bool:
        """Return whether the node was in touch until it closed."""
        events = self._events
        names = {call.node, *events.controls}
        passed_on_at = min(run.started_at for run in call.runs)
        since = passed_on_at - self._bounds.connectivity_window
        return not (
            overlaps(events.stops, names, since, call.ended_at)
            or overlaps(events.faults, names, since, call.ended_at)
        )

    def _is_beside_edit(self, at: float) -> bool:
        slack = self._bounds.config_apply + EDIT_SLACK_SECONDS
        return any(
            edit.start <= at <= edit.end + slack for edit in self._events.edits
        )


def list_parties(call: Call) -> set[str]:
    """Return the nodes and relays that a request went through."""
    parties = {call.node, call.path}
    for run in call.runs:
        parties |= {run.node, run.path, name_link_relay(run.node)}
    parties.discard("")
    return parties


def overlaps(
    periods: Mapping[str, Sequence[Period]],
    names: Iterable[str],
    start: float,
    end: float,
) -> bool:
    """Return whether a period of one of the names is in a time."""
    return any(
        period.start <= end and period.end >= start
        for name in names
        for period in periods.get(name, ())
    )


def _is_replaced(call: Call) -> bool:
    """Return whether the answer is the node's own, and not a success."""
    return call.end is End.ANSWERED and not (call.signature or call.served)


def _find_breaks(call: Call) -> list[float]:
    """Return when runs without an answer by then were broken off."""
    return [
        min(run.ended_at, call.ended_at)
        for run in call.runs
        if not run.broken_off
        and not (run.status and run.ended_at <= call.ended_at)
    ]


def is_time_over(call: Call) -> bool:
    """Return whether the caller has waited for all of its time."""
    used = call.ended_at - call.started_at
    return used + RESOLUTION_SECONDS >= call.timeout


def is_broken_off(call: Call) -> bool:
    """Return whether the server itself ended the run that ended last."""
    return (
        bool(call.runs)
        and max(call.runs, key=lambda run: run.ended_at).broken_off
    )


def _describe(call: Call, text: str) -> str:
    runs = ", ".join(
        f"{run.server} at {run.node} from {run.started_at:.6f} to "
        f"{run.ended_at:.6f} ({run.end or 'in progress'})"
        for run in call.runs
    )
    return (
        f"{text}; {call.end and call.end.value} {call.status} after "
        f"{call.ended_at - call.started_at:.6f} of {call.timeout:.6f} s; "
        f"runs: {runs or 'none'}"
    )
