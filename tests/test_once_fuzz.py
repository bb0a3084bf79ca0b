"""Seeded schedules of faults against at-most-once, with an oracle."""

import os
import random
import unittest
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from bench.once_emulator import (
    NAMES,
    OFFSET_MAX,
    QUIET,
    RUN,
    Faults,
    Request,
    World,
)

from sequoiaseam._verdict import Verdict
from sequoiaseam.const import CLOCK_SKEW_MAX

SCHEDULES: Final = int(os.environ.get("SEQUOIASEAM_SCHEDULES", "500"))
FIRST_SEED: Final = int(os.environ.get("SEQUOIASEAM_FIRST_SEED", "0"))
START: Final = 20.0
END: Final = 50.0
# By then all messages are delivered and all witnesses vote again.
CALM: Final = 100.0
SKEW: Final = CLOCK_SKEW_MAX.total_seconds()
# Furthest in the future that an id can be minted and pass a fast clock.
AHEAD_MAX: Final = SKEW + OFFSET_MAX - 0.2
FAST: Final = NAMES[:3]
SLOW: Final = NAMES[3:]


@dataclass(frozen=True)
class Profile:
    """Faults of a kind of schedule, and the most of each event.

    ``spread`` is the time in seconds over which an id is sent again, and
    ``window`` when most ids are made, in seconds after a group change.
    ``groups`` are committed at fixed times, with the clocks of the first
    members ahead of the others'; ``cut_off`` loses control before the
    change of that number.
    """

    faults: Faults
    crashes: int = 0
    victims: Sequence[str] = NAMES
    cuts: int = 0
    changes: int = 0
    idempotent: float = 0.2
    spread: Sequence[float] = (0.01, 1.0, 5.0, 20.0)
    window: tuple[float, float] = (-1.0, 8.0)
    groups: Sequence[tuple[float, Sequence[str]]] = ()
    cut_off: Sequence[str] = ()
    cut_before: int = 0


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
        spread=(1.0, 10.0),
        window=(0.0, 4.0),
        groups=((30.0, (*SLOW, FAST[0])),),
        cut_off=FAST,
    ),
    # A witness misses a group in which others voted.
    Profile(
        Faults(0.05, 0.4, failed=0.5),
        spread=(1.0, 10.0),
        window=(-4.0, 2.0),
        groups=((21.0, ("n2", "n4", "n5")), (44.0, ("n1", "n2", "n4"))),
        cut_off=("n1",),
    ),
    # A group shrinks and grows while entry nodes know an older one.
    Profile(
        Faults(0.05, 0.3, failed=0.3),
        spread=(1.0, 10.0),
        window=(-1.0, 12.0),
        groups=((24.0, ("n1",)), (36.0, ("n1", *SLOW))),
        cut_off=("n2", "n3"),
        cut_before=1,
    ),
    # Copies of calls and votes reach nodes that have restarted since.
    Profile(
        Faults(0.02, 0.0, 0.6, 0.3, 0.0, 0.1, 0.1),
        crashes=40,
        victims=SLOW,
    ),
    # Witnesses count different attempts of one id.
    Profile(Faults(0.0, 0.4, 0.1, 0.1, 0.1, 0.1, 0.5), idempotent=0.8),
    # Refusals and resends of one id overlap.
    Profile(
        Faults(0.02, 0.0, 0.1, 0.15, 0.5, 0.1),
        spread=(0.5, 1.0),
    ),
)


class Schedule:
    """One run of a profile's faults and calls."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.profile = PROFILES[seed % len(PROFILES)]
        offsets = {}
        if self.profile.groups:
            offsets = dict.fromkeys(NAMES, -OFFSET_MAX)
            offsets.update(dict.fromkeys(FAST, OFFSET_MAX))
        self.world = World(seed, offsets=offsets)
        self.changes = self.plan_faults()
        for _ in range(12):
            self.plan_calls()

    def run(self) -> World:
        """Run the faults, and wait until the network is calm."""
        world = self.world
        world.advance(START)
        world.faults = self.profile.faults
        world.longest_run = 2.0
        world.advance(END + 20.0)
        world.faults = QUIET
        world.longest_run = RUN
        world.cuts.clear()
        world.advance(CALM)
        return world

    def plan(self, most: int, action: Callable[[], None]) -> list[float]:
        """Plan an action for random times; return these."""
        count = self.rng.randint(0, most)
        times = [self.rng.uniform(START, END) for _ in range(count)]
        for at in times:
            self.world.at(at, action)
        return times

    def plan_faults(self) -> list[float]:
        """Plan all faults; return the times of group changes."""
        rng, world, profile = self.rng, self.world, self.profile

        def cut() -> None:
            world.cut(rng.sample(NAMES, 2), rng.uniform(0.1, 6.0))

        def isolate() -> None:
            for name in profile.cut_off:
                world.cut((name, "control"), rng.choice((4.0, 25.0)))

        self.plan(profile.cuts, cut)
        self.plan(
            profile.crashes,
            lambda: world.crash(rng.choice(profile.victims)),
        )
        for at, group in profile.groups:
            world.at(at, partial(world.commit, group))
        if profile.groups:
            changed, _ = profile.groups[profile.cut_before]
            world.at(changed - rng.choice((0.05, 1.0)), isolate)
        fixed = [at for at, _ in profile.groups]
        return fixed + self.plan(profile.changes, world.change_group)

    def plan_calls(self) -> None:
        """Plan an id that is sent several times, often near a change."""
        rng, world = self.rng, self.world
        start = rng.uniform(START, END)
        if self.changes and rng.random() < 0.7:
            start = rng.choice(self.changes) + rng.uniform(
                *self.profile.window
            )
        ahead = rng.choice((AHEAD_MAX, SKEW, rng.uniform(-20.0, SKEW)))
        idempotent = rng.random() < self.profile.idempotent
        named = rng.random() < 0.9
        limit = rng.randint(1, 3)
        key = world.mint(start + ahead)
        for _ in range(rng.randint(1, 6) if named else 1):
            body = b"other" if rng.random() < 0.1 else b"body"
            request = Request(key, body, 0.0, idempotent, named, limit)
            delay = rng.choice(self.profile.spread) * rng.random()
            world.at(start + delay, partial(world.call, request))


def find_violations(world: World) -> Iterator[str]:
    """Yield what the oracle objects to."""
    runs = defaultdict(list)
    for _, attempt in world.runs:
        request = world.requests[attempt]
        runs[request.key].append(request)
    for key, ran in runs.items():
        most = ran[0].limit if ran[0].idempotent else 1
        if len(ran) > most:
            yield f"{key} ran {len(ran)} times, limit {most}"
    for at, told in world.told:
        if told.verdict is Verdict.NOT_RUN and any(
            request.entered <= at for request in runs[told.key]
        ):
            yield f"{told.key} was told not to run, and ran"
    for request in set(world.requests.values()):
        if request.answer not in (None, request.make_answer()):
            yield f"{request.key} got another's answer"


class OnceScheduleTest(unittest.TestCase):
    """Guards at-most-once, the verdicts and liveness against faults."""

    def check_calm(self, world: World) -> None:
        """Check that a quiet network serves, and resends find outcomes."""
        world.faults = Faults(refused_at_entry=1.0)
        refused = Request(world.mint(CALM - SKEW))
        world.call(refused)
        world.advance(CALM + 1.5)
        world.faults = QUIET
        keys = [world.mint(CALM), world.mint(CALM - SKEW), refused.key]
        served = [world.call(Request(key, limit=1)) for key in keys]
        world.advance(CALM + 3.0)
        served += [world.call(Request(key)) for key in keys]
        world.advance(CALM + 6.0)
        self.assertIs(refused.verdict, Verdict.NOT_RUN)
        self.assertEqual(
            [request.answer for request in served],
            [request.make_answer() for request in served],
        )

    def test_schedules(self) -> None:
        verdicts = Counter[Verdict | None]()
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(seed=seed):
                world = Schedule(seed).run()
                verdicts.update(
                    request.verdict for request in set(world.requests.values())
                )
                self.check_calm(world)
                self.assertEqual(list(find_violations(world)), [])
        # Schedules in which nothing is ever proved would prove nothing.
        self.assertGreater(verdicts[Verdict.NOT_RUN], 0)
        self.assertGreater(verdicts[Verdict.RAN], 0)
