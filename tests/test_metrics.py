"""Tests of the request metrics of a host."""

import unittest
from dataclasses import replace
from datetime import timedelta

from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._metrics import (
    ROWS_MAX,
    NodeMetrics,
    NodeReport,
    decode_histogram,
    format_metrics,
)
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode
from tests.builders import build_sample

SECOND = timedelta(seconds=1)


class NodeMetricsTest(unittest.TestCase):
    """Guards against requests omitted or counted twice in reports."""

    def setUp(self) -> None:
        self.metrics = NodeMetrics("n1", EPOCH)

    def test_every_request_has_one_outcome(self) -> None:
        may_have_run = Verdict.MAY_HAVE_RUN
        for sample in (
            build_sample(),
            build_sample(ErrorCode.OVERLOAD),
            build_sample(ErrorCode.OVERLOAD, inside_rate=False),
            build_sample(ErrorCode.BAD_REQUEST),
            build_sample(ErrorCode.TIMEOUT, verdict=may_have_run, retries=2),
            replace(build_sample(), root=False),
        ):
            self.metrics.record(EPOCH, sample)
        (row,) = self.metrics.snapshot(EPOCH).rows
        self.assertEqual(row.offered, 6)
        self.assertEqual((row.whole, row.may_have_run, row.retries), (2, 1, 2))
        self.assertEqual(row.refused, {"OVERLOAD": 2, "BAD_REQUEST": 1})
        self.assertEqual((row.roots, row.worth, row.worth_offered), (5, 2, 10))
        self.assertEqual(row.inside_rate, 4)
        # Refusals inside the rate exclude BAD_REQUEST, which is the caller's
        # error, and TIMEOUT, as the request may have run.
        self.assertEqual(row.inside_rate_refused, 1)
        times = decode_histogram(row.service_times)
        self.assertEqual(times.get_total_count(), 2)
        self.assertAlmostEqual(times.get_max_value(), 5000, delta=50)

    def test_rows_are_bounded(self) -> None:
        for number in range(ROWS_MAX + 100):
            sample = replace(build_sample(), workspace=f"w{number}")
            self.metrics.record(EPOCH, sample)
        rows = self.metrics.snapshot(EPOCH).rows
        self.assertEqual(len(rows), ROWS_MAX + 1)
        self.assertEqual(rows[-1].workspace, "other")
        self.assertEqual(sum(row.offered for row in rows), ROWS_MAX + 100)

    def test_report_codec_round_trip(self) -> None:
        self.metrics.record(EPOCH, build_sample())
        report = self.metrics.snapshot(EPOCH + SECOND)
        codec = Codec((NodeReport,))
        self.assertEqual(codec.decode(codec.encode(report)), report)

    def test_prometheus_text_format(self) -> None:
        self.metrics.record(EPOCH, build_sample(ErrorCode.QUOTA))
        self.metrics.record(EPOCH, build_sample())
        text = format_metrics(self.metrics, EPOCH, 2).decode()
        self.assertIn("sequoiaseam_evacuated_domains 2.0\n", text)
        self.assertRegex(text, r'refused_total\{.*code="QUOTA".*\} 1\.0')
        self.assertRegex(text, r'queue_seconds_bucket\{.*le="0\.001".*\} 1\.0')
        self.assertRegex(text, r"total_seconds_sum\{.*\} 0\.006")

    def test_overload_detection(self) -> None:
        # Number of the 100 requests in each second that are refused; the
        # peak is in the third second.
        refused = (0, 20, 90, 40, 5, 1, 0, 0, 0, 0, 0)
        for second, count in enumerate(refused):
            now = EPOCH + second * SECOND
            for number in range(100):
                code = ErrorCode.OVERLOAD if number < count else None
                self.metrics.record(now, build_sample(code))
            if second == 6:
                self.assertTrue(self.metrics.snapshot(now).overloaded)
        report = self.metrics.snapshot(EPOCH + 12 * SECOND)
        self.assertFalse(report.overloaded)
        self.assertEqual(report.recovery, 2 * SECOND)
        self.assertEqual(report.since_overload, 7 * SECOND)
