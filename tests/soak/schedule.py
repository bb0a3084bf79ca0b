"""Schedules of stops, faults and edits, made from a seed alone."""

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from tests.soak.relay import Fault

# Delays of a process that waits for the processor. They excuse nothing.
DELAY_SECONDS: Final = (0.1, 0.6)
DELAY_INTERVAL_SECONDS: Final = (0.1, 0.8)
DELAYED_RATIO: Final = 0.5
# Time within which a stopped process has ended and started again, as far as
# the schedule is concerned.
STOP_SECONDS: Final = 8.0


class Kind(enum.Enum):
    """What is done to a process or to the configuration."""

    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    # A pause as short as a busy machine may delay a process.
    DELAY = "delay"
    EDIT = "edit"
    REPLACE_SERVER = "replace server"
    # Take a server and its node away and add them again.
    REMOVE_SERVER = "remove server"
    SLOW_SERVER = "slow server"
    # Send answers again, late, with bytes behind them, or not at all.
    SPOIL_ANSWERS = "spoil answers"
    # Replace servers and stop their nodes in turn, the busiest first.
    RELEASE = "release servers"
    BURST = "burst"
    # Large bodies at one node: sent at once, asked for and read slowly.
    UPLOAD = "upload"
    EXPORT = "export"
    # Many connections at one node, most of which are idle or half sent.
    CROWD = "crowd"
    # Two edits on top of the same version.
    RACE = "race"
    STALL_DISK = "stall disk"
    # Restart a process with another time of day.
    STEP_CLOCK = "step clock"
    # Name other seeds in the settings files, and send SIGHUP.
    RELOAD = "reload"


@dataclass(frozen=True, slots=True)
class Action:
    """One step of a schedule.

    ``address`` is that of a process or the name of a relay.
    ``duration`` is how long a process stays stopped or paused, or how long
    a server that leaves still serves.
    """

    at: float
    kind: Kind | Fault
    address: str
    duration: float


@dataclass(frozen=True, slots=True)
class Schedule:
    """Actions in the order of their times."""

    planned_only: bool
    actions: tuple[Action, ...]
    # Control hosts whose data is wiped when all are killed at the end, counted
    # from the one that acknowledged the last edit. None: they aren't killed.
    wiped: tuple[int, ...] | None = None

    def format(self) -> str:
        """Return one line for each action."""
        title = "planned stops only" if self.planned_only else "with faults"
        if self.wiped is not None:
            title += f", all control hosts killed, {self.wiped} wiped"
        return "\n".join(
            (
                title,
                *(
                    f"{action.at:7.3f} {action.kind.value} {action.address} "
                    f"{action.duration:.3f}"
                    for action in self.actions
                ),
            )
        )


def build_schedule(
    seed: int,
    seconds: float,
    nodes: Sequence[str],
    controls: Sequence[str],
) -> Schedule:
    """Build the schedule of a seed."""
    rng = random.Random(seed)
    planned_only = rng.random() < 0.5
    actions = _build_stop_series(rng, seconds, nodes)
    actions += _build_control_actions(
        rng, seconds, controls, planned_only=planned_only
    )
    for at in draw_times(rng, seconds, rng.uniform(3, 8)):
        actions.append(Action(at, Kind.EDIT, "", 0))
    for at in draw_times(rng, seconds, rng.uniform(6, 20)):
        actions.append(
            Action(
                at,
                Kind.REPLACE_SERVER,
                rng.choice(nodes),
                rng.uniform(0.5, 3),
            )
        )
    if not planned_only:
        actions += _build_node_faults(rng, seconds, nodes)
        actions += _build_relay_faults(rng, seconds, nodes)
    # Drawn last, so that the rest of a schedule is the same without delays.
    if rng.random() < DELAYED_RATIO:
        actions += build_delays(rng, seconds, nodes)
    actions.sort(key=lambda action: action.at)
    return Schedule(planned_only, tuple(actions))


def draw_times(rng: random.Random, seconds: float, mean: float) -> list[float]:
    """Return random times that are ``mean`` apart on average."""
    times = []
    at = rng.expovariate(1 / mean)
    while at < seconds:
        times.append(at)
        at += rng.expovariate(1 / mean)
    return times


def _build_stop_series(
    rng: random.Random, seconds: float, nodes: Sequence[str]
) -> list[Action]:
    """Stop nodes one after the other, the stops overlapping."""
    actions = []
    at = rng.uniform(0.5, 2)
    while at < seconds:
        interval = rng.choice((0.0, 0.4, 0.8, 1.6, 3.2))
        for node in rng.sample(nodes, len(nodes)):
            if at < seconds:
                duration = rng.uniform(0, 1.5)
                actions.append(Action(at, Kind.STOP, node, duration))
            at += interval * rng.uniform(0.8, 1.2)
        # A node is stopped again soon after its restart in some series.
        at += rng.uniform(0, 1.5 * STOP_SECONDS)
    return actions


def _build_control_actions(
    rng: random.Random,
    seconds: float,
    controls: Sequence[str],
    *,
    planned_only: bool,
) -> list[Action]:
    """Stop, kill or pause control hosts, one at a time."""
    actions = []
    kinds = [Kind.STOP]
    if not planned_only:
        kinds += [Kind.KILL, Kind.PAUSE]
    at = rng.uniform(2, 12)
    while at < seconds:
        duration = rng.uniform(0, 3)
        actions.append(
            Action(at, rng.choice(kinds), rng.choice(controls), duration)
        )
        at += rng.uniform(STOP_SECONDS, 2 * STOP_SECONDS)
    return actions


def _build_node_faults(
    rng: random.Random, seconds: float, nodes: Sequence[str]
) -> list[Action]:
    return [
        Action(
            at,
            rng.choice((Kind.KILL, Kind.PAUSE)),
            rng.choice(nodes),
            rng.uniform(0.05, 3),
        )
        for at in draw_times(rng, seconds, rng.uniform(2, 8))
    ]


def build_delays(
    rng: random.Random, seconds: float, nodes: Sequence[str]
) -> list[Action]:
    """Delay each node again and again, one independently of the others."""
    actions = []
    for node in nodes:
        at = rng.uniform(*DELAY_INTERVAL_SECONDS)
        while at < seconds:
            duration = rng.uniform(*DELAY_SECONDS)
            actions.append(Action(at, Kind.DELAY, node, duration))
            at += duration + rng.uniform(*DELAY_INTERVAL_SECONDS)
    return actions


def name_caller_relay(node: str) -> str:
    """Return the name of the relay on the way from callers to a node."""
    return f"callers-{node}"


def name_server_relay(node: str) -> str:
    """Return the name of the relay between a node and its backend server."""
    return f"server-{node}"


def name_link_relay(address: str) -> str:
    """Return the name of the relay on links of other hosts to a host."""
    return f"links-{address}"


def _build_relay_faults(
    rng: random.Random, seconds: float, nodes: Sequence[str]
) -> list[Action]:
    return [
        Action(
            at,
            rng.choice(tuple(Fault)),
            rng.choice((name_caller_relay, name_server_relay))(
                rng.choice(nodes)
            ),
            rng.uniform(0.2, 4),
        )
        for at in draw_times(rng, seconds, rng.uniform(0.7, 3))
    ]
