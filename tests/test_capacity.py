"""Tests of the emulated control plane and of the projections."""

import unittest
from dataclasses import replace
from datetime import datetime

from bench import _projection as projection
from bench._control_plane import ControlPlane
from bench._projection import Constants, project
from bench._slopes import Fit, Series
from bench.control import Trial, build_members

KNOWN = Constants(
    ping_bytes=120,
    table_delta_bytes=20_000,
    idle_node_ms=10.0,
    idle_node_bytes=50_000_000,
    libraries_bytes=40_000_000,
)
NAMES = (
    projection.SNAPSHOT,
    projection.VIEW,
    projection.MERGE,
    projection.NEW_MEMBERS,
    projection.FOLLOWER_CODE,
    projection.FOLLOWER_BYTES,
    projection.FOLLOWER_MESSAGES,
    projection.LEADER_CODE,
    projection.TRANSPORT,
    projection.ASK,
    projection.LOG,
    projection.REPLAY,
    projection.LINK_MEMORY,
    projection.LINK_TIME,
    projection.RECORDS,
    projection.REPORT,
    projection.ENTRY,
    projection.GUARD,
    projection.MATCH,
    *(
        projection.name_quota(quantity, kind)
        for quantity in ("messages", "bytes", "asks")
        for kind in projection.KINDS
    ),
)
FITS = {
    name: Fit(slope=2.0 + number, base=1.0, error=0.0)
    for number, name in enumerate(NAMES)
}

Trace = list[tuple[str, int, int, int, list[tuple[datetime, int]]]]


def run_trial(seed: int) -> Trace:
    """Return what a small fleet does when its leader is killed."""
    trial = Trial(seed, hosts=3, nodes=6)
    leader = trial.plane.find_leader()
    assert leader is not None
    trial.plane.kill_host(leader)
    trial.wait_until_in_force(trial.submit_tables())
    return trace(trial.plane)


def trace(plane: ControlPlane) -> Trace:
    """Return all that should repeat; processor time doesn't."""
    return [
        (
            node.name,
            node.sent_bytes,
            node.received_bytes,
            node.message_count,
            node.revisions,
        )
        for node in plane.nodes.values()
    ]


def collect(fits: dict[str, Fit]) -> dict[str, float]:
    """Return the projected values by name."""
    return {f.figure: f.value for f in project(fits, KNOWN)}


class ControlPlaneTest(unittest.TestCase):
    """Guards against figures that can't be repeated."""

    def test_is_deterministic(self) -> None:
        # A clock or random source of the process would show here.
        first = run_trial(3)
        self.assertEqual(first, run_trial(3))
        self.assertNotEqual(first, run_trial(4))
        self.assertTrue(all(row[4] for row in first))

    def test_partition_silences_nodes(self) -> None:
        # A link that leaks would make cut off nodes look fresh.
        plane = ControlPlane(1, 1, build_members(2))
        plane.start()
        plane.run(5.0)
        one, other = plane.nodes.values()
        self.assertTrue(one.view.is_fresh(plane.loop.now()))
        plane.network.isolate(frozenset((one.name,)))
        plane.run(4.0)
        self.assertFalse(one.view.is_fresh(plane.loop.now()))
        self.assertTrue(other.view.is_fresh(plane.loop.now()))


class ProjectionTest(unittest.TestCase):
    """Guards against projections that ignore a measured slope."""

    def test_fit_recovers_a_line(self) -> None:
        points = tuple((size, 3.0 + 0.5 * size) for size in (10.0, 20.0, 40.0))
        fit = Series("cost", "ms", "nodes", points).fit()
        self.assertAlmostEqual(fit.slope, 0.5)
        self.assertAlmostEqual(fit.base, 3.0)
        self.assertAlmostEqual(fit.error, 0.0)

    def test_each_slope_counts(self) -> None:
        values = collect(FITS)
        for name in NAMES:
            with self.subTest(name):
                fit = replace(FITS[name], slope=2 * FITS[name].slope)
                changed = collect({**FITS, name: fit})
                larger = [k for k in values if changed[k] > values[k]]
                self.assertTrue(larger)

    def test_sizes_are_the_design_s(self) -> None:
        values = collect(FITS)
        log = FITS[projection.LOG].slope
        self.assertAlmostEqual(values["log written a day"], 1400 * log / 1e6)
        snapshot = FITS[projection.SNAPSHOT].predict(1200)
        self.assertAlmostEqual(
            values["feed snapshot for a starting node"],
            snapshot,
        )
        calls = 130_000 / 1200
        self.assertAlmostEqual(
            values["node's processor time for calls"],
            calls
            * (FITS[projection.ENTRY].slope + FITS[projection.GUARD].slope),
        )


if __name__ == "__main__":
    unittest.main()
