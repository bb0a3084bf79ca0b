"""Tests of the quarantine of requests that crash servers."""

import random
import unittest
from collections import defaultdict
from datetime import datetime, timedelta
from typing import Any

from sequoiaseam._clock import EPOCH
from sequoiaseam._commands import CrashReported
from sequoiaseam._quarantine import (
    INITIAL_QUARANTINE_DURATION,
    QUARANTINE_ENTRIES_MAX,
    SUSPECT_DURATION,
    CrashWatch,
    QuarantineList,
    Standing,
    choose_trial_server,
    compute_fingerprint,
)

SECOND = timedelta(seconds=1)


class QuarantineListTest(unittest.TestCase):
    """Guards against a third crash, and against punishing bystanders."""

    def setUp(self) -> None:
        self.list = QuarantineList()

    def crash(
        self,
        name: str,
        *fingerprints: int,
        at: datetime = EPOCH,
    ) -> None:
        self.list.apply(CrashReported(name, fingerprints, at))

    def check(self, fingerprint: int, at: datetime = EPOCH) -> Standing:
        return self.list.check(at, fingerprint)

    def test_second_crash_quarantines_only_what_recurs(self) -> None:
        self.crash("c1", 1, 2)
        self.assertIs(self.check(1), Standing.SUSPECT)
        self.assertIs(self.check(3), Standing.CLEAR)
        self.crash("c2", 1)
        self.assertIs(self.check(1), Standing.QUARANTINED)
        self.assertIs(self.check(2), Standing.SUSPECT)

    def test_copy_of_a_report_counts_once(self) -> None:
        self.crash("c1", 1)
        self.crash("c1", 1)
        self.assertIs(self.check(1), Standing.SUSPECT)

    def test_completed_bystander_is_cleared(self) -> None:
        self.crash("c1", 1, 2)
        self.crash("c2", 1, 2)
        self.crash("c3", 1)
        self.list.apply(CrashReported("r", (1, 2), EPOCH, cleared=True))
        self.assertIs(self.check(1), Standing.QUARANTINED)
        self.assertIs(self.check(2), Standing.CLEAR)

    def test_standing_over_time(self) -> None:
        self.crash("c1", 1)
        self.assertIs(self.check(1, EPOCH + SUSPECT_DURATION), Standing.CLEAR)
        self.crash("c2", 1)
        end = EPOCH + INITIAL_QUARANTINE_DURATION
        self.assertIs(self.check(1, end - SECOND), Standing.QUARANTINED)
        self.assertIs(self.check(1, end), Standing.SUSPECT)
        self.crash("c3", 1, at=end)
        again = end + 2 * INITIAL_QUARANTINE_DURATION - SECOND
        self.assertIs(self.check(1, again), Standing.QUARANTINED)

    def test_same_log_gives_same_state_after_a_snapshot(self) -> None:
        self.crash("c1", 1, 2)
        loaded = QuarantineList.load(*self.list.dump())
        for one in (self.list, loaded):
            one.apply(CrashReported("c1", (1, 2), EPOCH))
            one.apply(CrashReported("c2", (2,), EPOCH + SECOND))
        self.assertEqual(loaded.dump(), self.list.dump())
        (entry,) = loaded.list_quarantined(EPOCH + SECOND)
        self.assertEqual(entry.fingerprint, 2)

    def test_entries_are_bounded_and_oldest_go(self) -> None:
        self.crash("c1", *range(QUARANTINE_ENTRIES_MAX))
        self.crash("c2", -1, 0)
        self.assertIs(self.check(1), Standing.CLEAR)
        self.assertIs(self.check(0), Standing.QUARANTINED)


class CrashWatchTest(unittest.TestCase):
    """Guards against lost or false reports of one server."""

    def setUp(self) -> None:
        self.watch = CrashWatch()
        self.shared = QuarantineList()

    def check(self, fingerprint: int) -> Standing:
        return self.watch.check(EPOCH, fingerprint, self.shared)

    def test_reports_what_was_running(self) -> None:
        self.watch.start(1, 10)
        self.watch.start(1, 11)
        self.watch.start(2, 12)
        self.watch.start(3, 13)
        self.watch.finish(12)
        self.watch.finish(12)
        self.assertEqual(self.watch.count_running(1), 2)
        report = self.watch.crash(EPOCH, "c1")
        assert report is not None
        self.assertEqual(set(report.fingerprints), {1, 3})
        self.assertIsNone(self.watch.crash(EPOCH, "c2"))

    def test_own_crash_counts_before_it_is_replicated(self) -> None:
        for run_id, standing in (
            (1, Standing.SUSPECT),
            (2, Standing.QUARANTINED),
        ):
            self.watch.start(1, run_id)
            self.watch.crash(EPOCH, f"c{run_id}")
            self.assertIs(self.check(1), standing)

    def test_reports_completed_suspects_once(self) -> None:
        self.shared.apply(CrashReported("c1", (1, 2), EPOCH))
        for run_id, fingerprint in enumerate((1, 3)):
            self.watch.start(fingerprint, run_id)
            self.watch.finish(run_id)
        self.watch.start(2, 9)
        self.watch.finish(9, whole=False)
        cleared = self.watch.report_cleared(EPOCH, "r", self.shared)
        self.assertEqual(
            cleared, CrashReported("r", (1,), EPOCH, cleared=True)
        )
        self.assertIsNone(self.watch.report_cleared(EPOCH, "r", self.shared))


class FleetTest(unittest.TestCase):
    """Guards against a third crash, and against refused bystanders."""

    def run_server(self, watch: CrashWatch, running: list[int]) -> int:
        """Run requests together; return 1 if request 0 crashed them."""
        now, shared = self.now, self.shared
        for run_id, fingerprint in enumerate(running):
            watch.start(fingerprint, run_id)
        if 0 in running:
            report = watch.crash(now, now.isoformat())
            assert report is not None
            shared.apply(report)
            return 1
        for run_id in range(len(running)):
            watch.finish(run_id)
        report_id = f"cleared {now.isoformat()}"
        cleared = watch.report_cleared(now, report_id, shared)
        if cleared is not None:
            shared.apply(cleared)
        return 0

    def run_fleet(self, rng: random.Random) -> tuple[int, set[int]]:
        """Resend request 0 among others; return crashes and refused."""
        watches = {f"n{number}": CrashWatch() for number in range(4)}
        self.shared = QuarantineList()
        crashes, refused = 0, set()
        for step in range(30):
            self.now = EPOCH + step * SECOND
            runs: dict[str, list[int]] = defaultdict(list)
            alone = []
            for one in (0, *rng.choices(range(1, 9), k=12)):
                standing = self.shared.check(self.now, one)
                if standing is Standing.QUARANTINED:
                    refused.add(one)
                elif standing is Standing.SUSPECT:
                    alone.append(one)
                else:
                    runs[rng.choice(list(watches))].append(one)
            for name, running in runs.items():
                crashes += self.run_server(watches[name], running)
            for one in alone:
                name = choose_trial_server("p", one, watches) or ""
                crashes += self.run_server(watches[name], [one])
        return crashes, refused

    def test_two_crashes_and_no_bystander_refused(self) -> None:
        for seed in range(50):
            crashes, refused = self.run_fleet(random.Random(seed))
            self.assertEqual((crashes, refused), (2, {0}))


class ChooseTrialTest(unittest.TestCase):
    """Guards against copies of a suspect crashing several servers."""

    def test_all_nodes_agree_on_few_servers(self) -> None:
        for size, most in ((1, 1), (5, 1), (40, 6)):
            names = [f"n{number}" for number in range(size)]
            turned = names[::-1]
            chosen = {
                choose_trial_server("p", one, names) for one in range(99)
            }
            again = {
                choose_trial_server("p", one, turned) for one in range(99)
            }
            self.assertEqual(chosen, again)
            self.assertLessEqual(len(chosen), most)
        self.assertIsNone(choose_trial_server("p", 1, ()))

    def test_fingerprint_is_of_one_request(self) -> None:
        base: list[Any] = ["coop", "quotes", "POST", "/q", b"body"]
        prints = {compute_fingerprint(*base)}
        for index, value in enumerate(("x", "x", "x", "x", b"x")):
            other = [*base[:index], value, *base[index + 1 :]]
            prints.add(compute_fingerprint(*other))
        self.assertEqual(len(prints), 6)
