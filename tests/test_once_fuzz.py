"""Fuzz test of at-most-once execution under seeded fault schedules."""

import os
import random
import unittest
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from bench.once_emulator import (
    CLOCK_OFFSET_SECONDS_MAX,
    NO_FAULTS,
    NODE_NAMES,
    USUAL_RUN_SECONDS_MAX,
    Emulator,
    Faults,
    Request,
)

from sequoiaseam._verdict import Verdict
from sequoiaseam.const import CLOCK_SKEW_MAX

SCHEDULES: Final = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
FIRST_SEED: Final = int(os.environ.get("SEQUOIASEAM_FIRST_SEED", "0"))
FAULTS_START: Final = 20.0
FAULTS_END: Final = 50.0
# By this time all messages are delivered and all witnesses vote again.
RECOVERED_AT: Final = 100.0
SKEW_SECONDS_MAX: Final = CLOCK_SKEW_MAX.total_seconds()
# How far in the future an id can be minted and still be accepted by a node
# whose clock is fast.
ID_LEAD_MAX: Final = SKEW_SECONDS_MAX + CLOCK_OFFSET_SECONDS_MAX - 0.2
FAST_CLOCK_NODES: Final = NODE_NAMES[:3]
SLOW_CLOCK_NODES: Final = NODE_NAMES[3:]


@dataclass(frozen=True)
class Profile:
    """Faults of a type of schedule, and the maximum number of each event.

    ``resend_spreads`` lists times in seconds over which a request id is
    resent. ``request_window`` is when most requests start, in seconds
    after a group change. ``groups`` are committed at fixed times; if there
    are any, the clocks of FAST_CLOCK_NODES are ahead of the others.
    ``isolated_nodes`` lists nodes that lose their links to the control
    hosts shortly before the fixed group with the index
    ``isolation_change`` is committed.
    """

    faults: Faults
    crashes: int = 0
    crash_targets: Sequence[str] = NODE_NAMES
    cuts: int = 0
    changes: int = 0
    idempotent: float = 0.2
    resend_spreads: Sequence[float] = (0.01, 1.0, 5.0, 20.0)
    request_window: tuple[float, float] = (-1.0, 8.0)
    groups: Sequence[tuple[float, Sequence[str]]] = ()
    isolated_nodes: Sequence[str] = ()
    isolation_change: int = 0


PROFILES: Final = (
    Profile(
        Faults(0.05, 0.0, 0.1, 0.1, 0.1, 0.3, 0.2, 0.05),
        crashes=6,
        cuts=8,
        changes=3,
    ),
    # Two of three witnesses are replaced while the old ones still vote.
    Profile(
        Faults(0.05, 0.2, failed=0.3),
        resend_spreads=(1.0, 10.0),
        request_window=(0.0, 4.0),
        groups=((30.0, (*SLOW_CLOCK_NODES, FAST_CLOCK_NODES[0])),),
        isolated_nodes=FAST_CLOCK_NODES,
    ),
    # A witness misses the commit of a group in which others voted.
    Profile(
        Faults(0.05, 0.4, failed=0.5),
        resend_spreads=(1.0, 10.0),
        request_window=(-4.0, 2.0),
        groups=((21.0, ("n2", "n4", "n5")), (44.0, ("n1", "n2", "n4"))),
        isolated_nodes=("n1",),
    ),
    # A group shrinks and grows while entry nodes still use an older one.
    Profile(
        Faults(0.05, 0.3, failed=0.3),
        resend_spreads=(1.0, 10.0),
        request_window=(-1.0, 12.0),
        groups=((24.0, ("n1",)), (36.0, ("n1", *SLOW_CLOCK_NODES))),
        isolated_nodes=("n2", "n3"),
        isolation_change=1,
    ),
    # Duplicates of calls and votes reach nodes that have since restarted.
    Profile(
        Faults(0.02, 0.0, 0.6, 0.3, 0.0, 0.1, 0.1),
        crashes=40,
        crash_targets=SLOW_CLOCK_NODES,
    ),
    # Witnesses count different attempts of one request id.
    Profile(Faults(0.0, 0.4, 0.1, 0.1, 0.1, 0.1, 0.5), idempotent=0.8),
    # Refusals and resends of one request id overlap.
    Profile(
        Faults(0.02, 0.0, 0.1, 0.15, 0.5, 0.1),
        resend_spreads=(0.5, 1.0),
    ),
)


class Schedule:
    """The faults and calls of one seed, run in an emulated fleet."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.profile = PROFILES[seed % len(PROFILES)]
        offsets = {}
        if self.profile.groups:
            offsets = dict.fromkeys(NODE_NAMES, -CLOCK_OFFSET_SECONDS_MAX)
            offsets.update(
                dict.fromkeys(FAST_CLOCK_NODES, CLOCK_OFFSET_SECONDS_MAX)
            )
        self.emulator = Emulator(seed, clock_offsets=offsets)
        self.changes = self.schedule_faults()
        for _ in range(12):
            self.schedule_calls()

    def run(self) -> Emulator:
        """Run the schedule and wait until the network has recovered."""
        emulator = self.emulator
        emulator.advance(FAULTS_START)
        emulator.faults = self.profile.faults
        emulator.longest_run_seconds = 2.0
        emulator.advance(FAULTS_END + 20.0)
        emulator.faults = NO_FAULTS
        emulator.longest_run_seconds = USUAL_RUN_SECONDS_MAX
        emulator.cuts.clear()
        emulator.advance(RECOVERED_AT)
        return emulator

    def schedule_events(
        self, max_count: int, action: Callable[[], None]
    ) -> list[float]:
        """Schedule an action at random times and return the times."""
        count = self.rng.randint(0, max_count)
        times = [
            self.rng.uniform(FAULTS_START, FAULTS_END) for _ in range(count)
        ]
        for at in times:
            self.emulator.schedule(at, action)
        return times

    def schedule_faults(self) -> list[float]:
        """Schedule all faults and return the times of group changes."""
        rng, emulator, profile = self.rng, self.emulator, self.profile

        def cut_random_link() -> None:
            emulator.cut(rng.sample(NODE_NAMES, 2), rng.uniform(0.1, 6.0))

        def cut_control_links() -> None:
            for name in profile.isolated_nodes:
                emulator.cut((name, "control"), rng.choice((4.0, 25.0)))

        self.schedule_events(profile.cuts, cut_random_link)
        self.schedule_events(
            profile.crashes,
            lambda: emulator.crash(rng.choice(profile.crash_targets)),
        )
        for at, group in profile.groups:
            emulator.schedule(at, partial(emulator.commit, group))
        if profile.groups:
            changed, _ = profile.groups[profile.isolation_change]
            emulator.schedule(
                changed - rng.choice((0.05, 1.0)), cut_control_links
            )
        fixed = [at for at, _ in profile.groups]
        return fixed + self.schedule_events(
            profile.changes, emulator.change_group
        )

    def schedule_calls(self) -> None:
        """Schedule a request id that is resent, often near a group change."""
        rng, emulator = self.rng, self.emulator
        start = rng.uniform(FAULTS_START, FAULTS_END)
        if self.changes and rng.random() < 0.7:
            start = rng.choice(self.changes) + rng.uniform(
                *self.profile.request_window
            )
        id_lead = rng.choice(
            (
                ID_LEAD_MAX,
                SKEW_SECONDS_MAX,
                rng.uniform(-20.0, SKEW_SECONDS_MAX),
            )
        )
        idempotent = rng.random() < self.profile.idempotent
        has_caller_id = rng.random() < 0.9
        limit = rng.randint(1, 3)
        key = emulator.create_key(start + id_lead)
        for _ in range(rng.randint(1, 6) if has_caller_id else 1):
            body = b"other" if rng.random() < 0.1 else b"body"
            request = Request(key, body, 0.0, idempotent, has_caller_id, limit)
            delay = rng.choice(self.profile.resend_spreads) * rng.random()
            emulator.schedule(start + delay, partial(emulator.call, request))


def find_violations(emulator: Emulator) -> Iterator[str]:
    """Yield a message for each broken guarantee."""
    runs = defaultdict(list)
    for _, attempt in emulator.runs:
        request = emulator.requests[attempt]
        runs[request.key].append(request)
    for key, ran in runs.items():
        max_runs = ran[0].limit if ran[0].idempotent else 1
        if len(ran) > max_runs:
            yield f"{key} ran {len(ran)} times, limit {max_runs}"
    for at, reported in emulator.reported_verdicts:
        if reported.verdict is Verdict.NOT_RUN and any(
            request.entered <= at for request in runs[reported.key]
        ):
            yield f"{reported.key} was reported as not run, but ran"
    for request in set(emulator.requests.values()):
        if request.answer not in (None, request.make_answer()):
            yield f"{request.key} got the answer of another request"


class OnceScheduleTest(unittest.TestCase):
    """Guards against repeated runs, false verdicts and lost liveness.

    Messages are lost, delayed, duplicated and reordered while nodes
    restart, links fail and witness groups change.
    """

    def check_recovery(self, emulator: Emulator) -> None:
        """Check that requests succeed again and resends get the outcome."""
        emulator.faults = Faults(refused_at_entry=1.0)
        refused = Request(emulator.create_key(RECOVERED_AT - SKEW_SECONDS_MAX))
        emulator.call(refused)
        emulator.advance(RECOVERED_AT + 1.5)
        emulator.faults = NO_FAULTS
        keys = [
            emulator.create_key(RECOVERED_AT),
            emulator.create_key(RECOVERED_AT - SKEW_SECONDS_MAX),
            refused.key,
        ]
        sent = [emulator.call(Request(key, limit=1)) for key in keys]
        emulator.advance(RECOVERED_AT + 3.0)
        sent += [emulator.call(Request(key)) for key in keys]
        emulator.advance(RECOVERED_AT + 6.0)
        self.assertIs(refused.verdict, Verdict.NOT_RUN)
        self.assertEqual(
            [request.answer for request in sent],
            [request.make_answer() for request in sent],
        )

    def test_schedules(self) -> None:
        verdicts = Counter[Verdict | None]()
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(seed=seed):
                emulator = Schedule(seed).run()
                verdicts.update(
                    request.verdict
                    for request in set(emulator.requests.values())
                )
                self.check_recovery(emulator)
                self.assertEqual(list(find_violations(emulator)), [])
        # The schedules must reach both verdicts that need a proof, or the
        # checks above are vacuous.
        self.assertGreater(verdicts[Verdict.NOT_RUN], 0)
        self.assertGreater(verdicts[Verdict.RAN], 0)
