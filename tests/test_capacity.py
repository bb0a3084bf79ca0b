"""Tests of the emulated control plane and the capacity projections."""

import unittest
from dataclasses import replace
from datetime import datetime

from bench import _projection as projection
from bench._control_plane import ControlPlane
from bench._projection import FixedCosts, project
from bench._slopes import LinearFit, Series
from bench.control import Trial, build_members

CONSTANTS = FixedCosts(
    ping_bytes=120,
    table_delta_bytes=20_000,
    idle_node_ms=10.0,
    idle_node_bytes=50_000_000,
    libraries_bytes=40_000_000,
)
SERIES_NAMES = (
    projection.FEED_SNAPSHOT_SIZE,
    projection.NODE_VIEW_MEMORY,
    projection.DELTA_APPLY_TIME,
    projection.MEMBER_DELTA_SIZE,
    projection.FOLLOWER_CPU,
    projection.FOLLOWER_TRAFFIC,
    projection.FOLLOWER_MESSAGES,
    projection.LEADER_CPU,
    projection.TRANSPORT_CPU,
    projection.ASK_TIME,
    projection.LOG_SIZE,
    projection.REPLAY_TIME,
    projection.IDLE_LINK_MEMORY,
    projection.IDLE_LINK_CPU,
    projection.WITNESS_MEMORY,
    projection.REPORT_SIZE,
    projection.ENTRY_NODE_CPU,
    projection.EXECUTING_NODE_CPU,
    projection.ROUTE_MATCH_TIME,
    *(
        projection.get_quota_series_name(quantity, kind)
        for quantity in ("messages", "bytes", "asks")
        for kind in projection.ROOT_KINDS
    ),
)
FITS = {
    name: LinearFit(slope=2.0 + number, intercept=1.0, standard_error=0.0)
    for number, name in enumerate(SERIES_NAMES)
}

Trace = list[tuple[str, int, int, int, list[tuple[datetime, int]]]]


def run_trial(seed: int) -> Trace:
    """Return the trace of a small fleet whose leader is killed."""
    trial = Trial(seed, hosts=3, nodes=6)
    leader = trial.plane.find_leader()
    assert leader is not None
    trial.plane.kill_host(leader)
    trial.wait_until_in_force(trial.submit_tables())
    return record_trace(trial.plane)


def record_trace(plane: ControlPlane) -> Trace:
    """Return the reproducible values of each host, so no processor time."""
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


def compute_values(fits: dict[str, LinearFit]) -> dict[str, float]:
    """Return the projected values by the name of their figure."""
    return {figure.figure: figure.value for figure in project(fits, CONSTANTS)}


class ControlPlaneTest(unittest.TestCase):
    """Guards against emulations that are not reproducible."""

    def test_is_deterministic(self) -> None:
        # Fails if the emulation uses the system clock or an unseeded random
        # generator.
        first = run_trial(3)
        self.assertEqual(first, run_trial(3))
        self.assertNotEqual(first, run_trial(4))
        self.assertTrue(all(row[4] for row in first))

    def test_partitioned_host_becomes_stale(self) -> None:
        # A partition that lets messages through would keep the host's view
        # fresh.
        plane = ControlPlane(1, 1, build_members(2))
        plane.start()
        plane.run(5.0)
        isolated, connected = plane.nodes.values()
        self.assertTrue(isolated.view.is_fresh(plane.loop.now()))
        plane.network.isolate(frozenset((isolated.name,)))
        plane.run(4.0)
        self.assertFalse(isolated.view.is_fresh(plane.loop.now()))
        self.assertTrue(connected.view.is_fresh(plane.loop.now()))


class ProjectionTest(unittest.TestCase):
    """Guards against projections that ignore a measured slope."""

    def test_fit_recovers_a_line(self) -> None:
        points = tuple((size, 3.0 + 0.5 * size) for size in (10.0, 20.0, 40.0))
        fit = Series("cost", "ms", "nodes", points).fit()
        self.assertAlmostEqual(fit.slope, 0.5)
        self.assertAlmostEqual(fit.intercept, 3.0)
        self.assertAlmostEqual(fit.standard_error, 0.0)

    def test_each_slope_affects_a_projection(self) -> None:
        values = compute_values(FITS)
        for name in SERIES_NAMES:
            with self.subTest(name):
                fit = replace(FITS[name], slope=2 * FITS[name].slope)
                changed = compute_values({**FITS, name: fit})
                increased = [
                    figure
                    for figure in values
                    if changed[figure] > values[figure]
                ]
                self.assertTrue(increased)

    def test_projections_use_the_design_sizes(self) -> None:
        values = compute_values(FITS)
        log = FITS[projection.LOG_SIZE].slope
        self.assertAlmostEqual(values["log written a day"], 1400 * log / 1e6)
        snapshot = FITS[projection.FEED_SNAPSHOT_SIZE].predict(1200)
        self.assertAlmostEqual(
            values["feed snapshot for a starting node"],
            snapshot,
        )
        calls = 130_000 / 1200
        self.assertAlmostEqual(
            values["node's processor time for calls"],
            calls
            * (
                FITS[projection.ENTRY_NODE_CPU].slope
                + FITS[projection.EXECUTING_NODE_CPU].slope
            ),
        )


if __name__ == "__main__":
    unittest.main()
