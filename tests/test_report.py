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
    """Return an answer with the reports of hosts n0, n1 and so on.

    Each count is (requests answered whole, requests refused) of a host in
    workspace coop; workspace other-coop has one whole request per host.
    """
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
    """Guards against reports that omit refusals, hosts or report ages."""

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
        # The overloaded second ended 2 s before the reports were taken, and
        # the reports are a second old.
        self.assertEqual(row.since_overload, 3 * SECOND)
        service = row.service[99.9] / timedelta(milliseconds=1)
        self.assertAlmostEqual(service, 5, delta=0.05)

    def test_groups_sum_to_the_total(self) -> None:
        answer = build_answer((8, 2), (6, 4))
        for grouping in (None, *Grouping):
            with self.subTest(grouping=grouping):
                report = merge_reports(answer, grouping)
                total = sum(row.offered for row in report.rows)
                self.assertEqual(total, report.total.offered)

    def test_interval_excludes_earlier_requests(self) -> None:
        old, new = build_answer((8, 2)), build_answer((18, 3), (1, 1))
        difference = subtract_answer(new, old)
        report = merge_reports(difference)
        self.assertEqual(report.total.offered, 11)
        self.assertEqual(report.total.refused, {"QUEUE_FULL": 1})
        self.assertEqual(report.missing, ("n1", "n9"))
        times = merge_histograms(difference, lambda row: row.service_times)
        self.assertEqual(times and times.get_total_count(), 10)

    def test_interval_across_a_restart_counts_all_requests(self) -> None:
        old, new = build_answer((8, 2)), build_answer((3, 0))
        host_report = new.reports["n0"]
        report_after_restart = replace(host_report.report, uptime=SECOND)
        restarted = ReportAnswer(
            {"n0": replace(host_report, report=report_after_restart)}
        )
        report = merge_reports(subtract_answer(restarted, old))
        self.assertEqual(report.total.offered, 4)

    def test_table_truncates_no_cell(self) -> None:
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

    def test_json_and_csv_contain_the_rows(self) -> None:
        report = merge_reports(build_answer((8, 2)))
        data = json.loads(format_json(report))
        self.assertEqual(data["rows"][0]["refused"], {"QUEUE_FULL": 2})
        self.assertEqual(data["missing"], ["n9"])
        self.assertEqual(data["ages_s"], {"n0": 1.0})
        rows = list(csv.DictReader(io.StringIO(format_csv(report))))
        self.assertEqual(rows[0]["refused_QUEUE_FULL"], "2")
        self.assertEqual(rows[0]["worst_served"], "coop")

    def test_histogram_shows_every_request(self) -> None:
        answer = build_answer((8, 2))
        times = merge_histograms(
            answer, lambda row: row.service_times, "history"
        )
        text = draw_histogram("service", times)
        self.assertIn("service: 9 requests", text)
        # Histograms keep two significant digits, so 5 ms may be recorded
        # as 5.02 ms and fall into the next bar.
        self.assertRegex(text, r"<= +(5|10) ms #+ +9 100\.0%")
        no_times = merge_histograms(
            answer, lambda row: row.service_times, "absent"
        )
        self.assertIn("nothing recorded", draw_histogram("service", no_times))

    def test_report_without_hosts(self) -> None:
        report = merge_reports(ReportAnswer({}))
        self.assertEqual(report.rows, ())
        self.assertIsNone(report.total.goodput)
        self.assertTrue(format_csv(report).startswith("route,"))
