"""Tests of the overload report."""

import csv
import io
import json
import unittest
from dataclasses import replace
from datetime import timedelta

from rich.console import Console

from sequoiaseam._clock import EPOCH
from sequoiaseam._metrics import NodeMetrics
from sequoiaseam._operator_messages import HostReport, ReportAnswer
from sequoiaseam._report import (
    Grouping,
    draw_histogram,
    format_csv,
    format_json,
    merge_histograms,
    merge_reports,
    render_report,
    subtract_answer,
)
from sequoiaseam.errors import ErrorCode
from tests.builders import build_sample

SECOND = timedelta(seconds=1)


def build_answer(*counts: tuple[int, int], age: float = 1.0) -> ReportAnswer:
    """Return reports of hosts with (whole, refused) for two workspaces."""
    reports = {}
    for number, (whole, refused) in enumerate(counts):
        metrics = NodeMetrics(f"n{number}", EPOCH)
        codes = [None] * whole + [ErrorCode.QUEUE_FULL] * refused
        for code in codes:
            metrics.record(EPOCH, build_sample(code))
        other = replace(build_sample(), workspace="other-coop")
        metrics.record(EPOCH, other)
        report = metrics.snapshot(EPOCH + 3 * SECOND)
        reports[f"n{number}"] = HostReport(report, age * SECOND)
    return ReportAnswer(reports, missing=("n9",))


class ReportTest(unittest.TestCase):
    """Guards against reports that hide refusals, hosts or their age."""

    def test_merges_hosts(self) -> None:
        report = merge_reports(build_answer((8, 2), (6, 4)))
        row = report.rows[0]
        self.assertEqual(row.group["workspace"], "coop")
        self.assertEqual((row.offered, row.whole), (20, 14))
        self.assertEqual(row.refused, {"QUEUE_FULL": 6})
        self.assertEqual(row.goodput, 0.7)
        self.assertEqual(row.inside_rate_refused, 6)
        self.assertEqual(report.total.worst_served, "coop")
        self.assertEqual(report.total.worst_share, 0.7)
        self.assertEqual(report.missing, ("n9",))
        # The overloaded second ended 2 s before the reports were taken.
        self.assertEqual(row.since_overload, 3 * SECOND)
        service = row.service[99.9] / timedelta(milliseconds=1)
        self.assertAlmostEqual(service, 5, delta=0.05)

    def test_groups_sum_to_the_total(self) -> None:
        answer = build_answer((8, 2), (6, 4))
        for by in (None, *Grouping):
            with self.subTest(by=by):
                report = merge_reports(answer, by)
                total = sum(row.offered for row in report.rows)
                self.assertEqual(total, report.total.offered)

    def test_interval_counts_only_what_is_new(self) -> None:
        old, new = build_answer((8, 2)), build_answer((18, 3), (1, 1))
        gained = subtract_answer(new, old)
        report = merge_reports(gained)
        self.assertEqual(report.total.offered, 11)
        self.assertEqual(report.total.refused, {"QUEUE_FULL": 1})
        self.assertEqual(report.missing, ("n1", "n9"))
        times = merge_histograms(gained, lambda row: row.service_times)
        self.assertEqual(times and times.get_total_count(), 10)

    def test_interval_over_a_restart_counts_all(self) -> None:
        old, new = build_answer((8, 2)), build_answer((3, 0))
        part = new.reports["n0"]
        young = replace(part.report, uptime=SECOND)
        restarted = ReportAnswer({"n0": replace(part, report=young)})
        report = merge_reports(subtract_answer(restarted, old))
        self.assertEqual(report.total.offered, 4)

    def test_table_shows_every_cell_whole(self) -> None:
        report = merge_reports(build_answer((12345, 2), age=75.0))
        for width in (60, 80, 300):
            with self.subTest(width=width):
                console = Console(width=width, file=io.StringIO())
                with console.capture() as capture:
                    console.print(render_report(report, console))
                text = capture.get()
                self.assertNotIn("…", text)
                for cell in ("12345", "QUEUE_FULL 2", "other-coop", "75.0 s"):
                    self.assertIn(cell, text)
                self.assertIn("missing hosts (1): n9", text)

    def test_json_and_csv_hold_the_rows(self) -> None:
        report = merge_reports(build_answer((8, 2)))
        data = json.loads(format_json(report))
        self.assertEqual(data["rows"][0]["refused"], {"QUEUE_FULL": 2})
        self.assertEqual(data["missing"], ["n9"])
        self.assertEqual(data["ages_s"], {"n0": 1.0})
        rows = list(csv.DictReader(io.StringIO(format_csv(report))))
        self.assertEqual(rows[0]["refused_QUEUE_FULL"], "2")
        self.assertEqual(rows[0]["worst_served"], "coop")

    def test_draws_every_request(self) -> None:
        answer = build_answer((8, 2))
        times = merge_histograms(
            answer, lambda row: row.service_times, "history"
        )
        text = draw_histogram("service", times)
        self.assertIn("service: 9 requests", text)
        # 5 ms is recorded with two digits, so it may count as 5.02 ms.
        self.assertRegex(text, r"<= +(5|10) ms #+ +9 100\.0%")
        none = merge_histograms(
            answer, lambda row: row.service_times, "absent"
        )
        self.assertIn("nothing recorded", draw_histogram("service", none))

    def test_empty_fleet(self) -> None:
        report = merge_reports(ReportAnswer({}))
        self.assertEqual(report.rows, ())
        self.assertIsNone(report.total.goodput)
        self.assertTrue(format_csv(report).startswith("route,"))
