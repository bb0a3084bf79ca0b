"""Per-node request metrics: counters, histograms and overloads."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import accumulate
from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector

from sequoiaseam._tables import Importance
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode

# Bounds a node's memory: a row with all of its histograms takes 26 KB,
# so the rows take at most 6 MB.
ROWS_MAX: Final = 200
# Replaces the route, pool and workspace of requests beyond ROWS_MAX.
OVERFLOW_NAME: Final = "other"

# Histograms hold microseconds, up to the longest timeout of a route.
HISTOGRAM_MAX_US: Final = 300_000_000
HISTOGRAM_SIGNIFICANT_DIGITS: Final = 2
# Four-byte counts halve the memory of a row. A count wraps around
# after 124 days of 400 requests per second that all fall into one bucket.
HISTOGRAM_WORD_BYTES: Final = 4
MICROSECOND: Final = timedelta(microseconds=1)
BUCKET_BOUNDS_S: Final = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
)

# Refusals caused by a lack of capacity.
OVERLOAD_CODES: Final = frozenset(
    (
        ErrorCode.OVERLOAD,
        ErrorCode.QUEUE_FULL,
        ErrorCode.DEADLINE,
        ErrorCode.SHED,
        ErrorCode.TIMEOUT,
    ),
)
# Refusals that a caller within its rate limit did not cause.
SYSTEM_FAULT_CODES: Final = OVERLOAD_CODES | frozenset(
    (
        ErrorCode.STALE,
        ErrorCode.QUOTA,
        ErrorCode.NO_SERVER,
        ErrorCode.DRAINING,
        ErrorCode.EVACUATED,
        ErrorCode.RETRIES_EXHAUSTED,
        ErrorCode.NO_WITNESSES,
        ErrorCode.SERVER_FAILED,
        ErrorCode.INCOMPLETE,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.INTERNAL,
    ),
)
# A second is overloaded if more than this share of its requests is
# refused for lack of capacity.
OVERLOAD_REFUSED_SHARE: Final = 0.01
# An overload ends after this long without an overloaded second.
OVERLOAD_QUIET_PERIOD: Final = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class RequestSample:
    """One answered request, recorded by the node that answered it.

    Names come from the configured tables and are empty if there is no
    match, so that callers can't create rows by sending arbitrary names.
    ``code`` is None for a whole, that is complete, answer.
    ``queue_time`` and ``service_time`` are None for a request that got
    no slot. ``root`` is true for a caller's request and false for a
    nested call.
    """

    route: str
    pool: str
    workspace: str
    importance: Importance
    code: ErrorCode | None
    verdict: Verdict
    inside_rate: bool
    worth: float
    retries: int
    queue_time: timedelta | None
    service_time: timedelta | None
    total_time: timedelta
    root: bool


class RowKey(NamedTuple):
    """Attributes by which requests are grouped into rows."""

    route: str
    pool: str
    workspace: str
    importance: Importance


@dataclass(frozen=True, slots=True)
class ReportRow:
    """Totals of one row since the node started, and its overload state.

    ``offered`` = ``whole`` + the sum of ``refused`` + ``may_have_run``.
    The worth and ``inside_rate`` fields count root requests only.
    Histograms hold microseconds, in the encoding of hdrhistogram.
    ``recovery`` is the time from the worst second of the row's last
    overload to the end of that overload.
    """

    route: str
    pool: str
    workspace: str
    importance: Importance
    offered: int
    roots: int
    whole: int
    refused: Mapping[str, int]
    may_have_run: int
    retries: int
    worth_offered: float
    worth: float
    inside_rate: int
    inside_rate_whole: int
    inside_rate_refused: int
    queue_times: bytes = b""
    service_times: bytes = b""
    since_overload: timedelta | None = None
    recovery: timedelta | None = None


@dataclass(frozen=True, slots=True)
class NodeReport:
    """A node's rows and the overload state of the whole node."""

    node: str
    uptime: timedelta
    rows: tuple[ReportRow, ...]
    overloaded: bool = False
    since_overload: timedelta | None = None
    recovery: timedelta | None = None


def make_histogram() -> HdrHistogram:
    """Return an empty histogram for microseconds."""
    return HdrHistogram(
        1,
        HISTOGRAM_MAX_US,
        HISTOGRAM_SIGNIFICANT_DIGITS,
        word_size=HISTOGRAM_WORD_BYTES,
    )


def encode_histogram(histogram: HdrHistogram | None) -> bytes:
    """Encode a histogram; None gives empty bytes."""
    if histogram is None:
        return b""
    return bytes(histogram.encode())


def decode_histogram(data: bytes) -> HdrHistogram:
    """Decode a histogram; empty bytes give an empty histogram."""
    return HdrHistogram.decode(data) if data else make_histogram()


class DurationBuckets:
    """Counts of durations per bucket, and the sum of the durations.

    These are exported to Prometheus, because computing quantiles from
    the histograms of 200 rows at each scrape would block the node for
    about a second.
    """

    __slots__ = ("counts", "sum_seconds")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.sum_seconds = 0.0

    def record(self, value: timedelta) -> None:
        """Count a duration."""
        seconds = value.total_seconds()
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.sum_seconds += seconds

    def add(self, other: "DurationBuckets") -> None:
        """Add the counts and the sum of other buckets."""
        self.counts = [
            own + added
            for own, added in zip(self.counts, other.counts, strict=True)
        ]
        self.sum_seconds += other.sum_seconds


class DurationDistribution:
    """Buckets and a histogram, which is allocated on first use."""

    __slots__ = ("buckets", "histogram")

    def __init__(self) -> None:
        self.histogram: HdrHistogram | None = None
        self.buckets = DurationBuckets()

    def record(self, value: timedelta | None) -> None:
        """Count a duration; ignore None."""
        if value is None:
            return
        if self.histogram is None:
            self.histogram = make_histogram()
        microseconds = min(max(value // MICROSECOND, 1), HISTOGRAM_MAX_US)
        self.histogram.record_value(microseconds)
        self.buckets.record(value)


class OverloadDetector:
    """Detect overloads from the share of refusals in each second."""

    def __init__(self, now: datetime) -> None:
        self._second_start = now
        self._offered = 0
        self._refused = 0
        self._peak_refused_share = 0.0
        self._peak_second_end = now
        self._last_overloaded_end: datetime | None = None
        self._active = False
        self._recovery_time: timedelta | None = None

    def record(self, now: datetime, *, refused: bool) -> None:
        """Count a request."""
        self.advance(now)
        self._offered += 1
        self._refused += refused

    def advance(self, now: datetime) -> None:
        """Evaluate the seconds that have elapsed."""
        if now - self._second_start >= timedelta(seconds=1):
            self._close_second()
            # Seconds without requests need no evaluation.
            elapsed = (now - self._second_start) // timedelta(seconds=1)
            self._second_start += timedelta(seconds=elapsed)
        last_end = self._last_overloaded_end
        if (
            self._active
            and last_end
            and now - last_end >= OVERLOAD_QUIET_PERIOD
        ):
            self._active = False
            self._recovery_time = last_end - self._peak_second_end

    def _close_second(self) -> None:
        share = self._refused / self._offered if self._offered else 0.0
        self._offered = self._refused = 0
        if share <= OVERLOAD_REFUSED_SHARE:
            return
        end = self._second_start + timedelta(seconds=1)
        if (
            self._last_overloaded_end
            and end - self._last_overloaded_end > OVERLOAD_QUIET_PERIOD
        ):
            self._active = False
        if not self._active or share >= self._peak_refused_share:
            self._peak_refused_share = share
            self._peak_second_end = end
        self._active = True
        self._last_overloaded_end = end

    def is_active(self) -> bool:
        """Return whether an overload is in progress."""
        return self._active

    def get_time_since_overload(self, now: datetime) -> timedelta | None:
        """Return the time since the end of the last overloaded second."""
        if self._last_overloaded_end is None:
            return None
        return max(now - self._last_overloaded_end, timedelta(0))

    def get_recovery_time(self) -> timedelta | None:
        """Return the time from the last overload's peak to its end."""
        return self._recovery_time


@dataclass(slots=True)
class RowCounters:
    """Counters and distributions of one row."""

    overload: OverloadDetector
    offered: int = 0
    roots: int = 0
    whole: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    may_have_run: int = 0
    retries: int = 0
    worth_offered: float = 0.0
    worth: float = 0.0
    inside_rate: int = 0
    inside_rate_whole: int = 0
    inside_rate_refused: int = 0
    queue_times: DurationDistribution = field(
        default_factory=DurationDistribution,
    )
    service_times: DurationDistribution = field(
        default_factory=DurationDistribution,
    )
    whole_answer_times: DurationBuckets = field(
        default_factory=DurationBuckets,
    )

    def record(self, now: datetime, sample: RequestSample) -> None:
        """Count a request."""
        self.overload.record(now, refused=sample.code in OVERLOAD_CODES)
        self.offered += 1
        self.retries += sample.retries
        self.queue_times.record(sample.queue_time)
        self.service_times.record(sample.service_time)
        self._record_outcome(sample)
        if sample.root:
            self._record_root(sample)

    def _record_outcome(self, sample: RequestSample) -> None:
        if sample.code is None:
            self.whole += 1
            self.whole_answer_times.record(sample.total_time)
        elif sample.verdict is Verdict.MAY_HAVE_RUN:
            self.may_have_run += 1
        else:
            name = sample.code.value
            self.refused[name] = self.refused.get(name, 0) + 1

    def _record_root(self, sample: RequestSample) -> None:
        self.roots += 1
        self.worth_offered += sample.worth
        if sample.code is None:
            self.worth += sample.worth
        if not sample.inside_rate:
            return
        self.inside_rate += 1
        if sample.code is None:
            self.inside_rate_whole += 1
        elif (
            sample.code in SYSTEM_FAULT_CODES
            and sample.verdict is not Verdict.MAY_HAVE_RUN
        ):
            self.inside_rate_refused += 1

    def build_row(self, now: datetime, key: RowKey) -> ReportRow:
        """Return the totals at a time, with histograms encoded."""
        self.overload.advance(now)
        return ReportRow(
            *key,
            offered=self.offered,
            roots=self.roots,
            whole=self.whole,
            refused=dict(self.refused),
            may_have_run=self.may_have_run,
            retries=self.retries,
            worth_offered=self.worth_offered,
            worth=self.worth,
            inside_rate=self.inside_rate,
            inside_rate_whole=self.inside_rate_whole,
            inside_rate_refused=self.inside_rate_refused,
            queue_times=encode_histogram(self.queue_times.histogram),
            service_times=encode_histogram(self.service_times.histogram),
            since_overload=self.overload.get_time_since_overload(now),
            recovery=self.overload.get_recovery_time(),
        )


class NodeMetrics:
    """Request counters by route, pool, workspace and class."""

    def __init__(self, node: str, now: datetime) -> None:
        self._node = node
        self._started_at = now
        self._rows: dict[RowKey, RowCounters] = {}
        self._overload = OverloadDetector(now)

    def record(self, now: datetime, sample: RequestSample) -> None:
        """Count a request; call once, where its answer is sent."""
        key = RowKey(
            sample.route,
            sample.pool,
            sample.workspace,
            sample.importance,
        )
        self._get_or_add_row(now, key).record(now, sample)
        self._overload.record(now, refused=sample.code in OVERLOAD_CODES)

    def _get_or_add_row(self, now: datetime, key: RowKey) -> RowCounters:
        row = self._rows.get(key)
        if row is not None:
            return row
        if len(self._rows) >= ROWS_MAX:
            key = RowKey(
                OVERFLOW_NAME,
                OVERFLOW_NAME,
                OVERFLOW_NAME,
                key.importance,
            )
        return self._rows.setdefault(key, RowCounters(OverloadDetector(now)))

    def snapshot(self, now: datetime) -> NodeReport:
        """Return a report of all requests counted so far."""
        return self.build_report(now, self.iterate_report_rows(now))

    def iterate_report_rows(self, now: datetime) -> Iterator[ReportRow]:
        """Yield the rows of a report, building each on demand.

        Encoding a row's histograms takes time. A node that must not
        block for all rows pauses between them and passes them to
        ``build_report``.
        """
        for key, counters in tuple(self._rows.items()):
            yield counters.build_row(now, key)

    def build_report(
        self,
        now: datetime,
        rows: Iterable[ReportRow],
    ) -> NodeReport:
        """Return a report with rows built in advance."""
        self._overload.advance(now)
        return NodeReport(
            node=self._node,
            uptime=now - self._started_at,
            rows=tuple(rows),
            overloaded=self._overload.is_active(),
            since_overload=self._overload.get_time_since_overload(now),
            recovery=self._overload.get_recovery_time(),
        )

    def iterate_counters(self) -> Iterator[tuple[RowKey, RowCounters]]:
        """Yield the key and the counters of each row."""
        yield from self._rows.items()


ROW_LABELS: Final = ("route", "pool", "workspace", "class")
# Metric name, help text and attribute of RowCounters.
COUNTER_METRICS: Final = (
    ("offered", "Requests received", "offered"),
    ("whole", "Requests answered whole", "whole"),
    ("may_have_run", "Requests that may have run", "may_have_run"),
    ("retries", "Retries made", "retries"),
    ("worth", "Worth of the root requests answered whole", "worth"),
    (
        "inside_rate_refused",
        "Root requests refused inside their workspace's rate",
        "inside_rate_refused",
    ),
)
# Labeled by pool and class only, to limit the size of a scrape.
HISTOGRAM_METRICS: Final[
    tuple[tuple[str, str, Callable[[RowCounters], DurationBuckets]], ...]
] = (
    ("queue_seconds", "Time in the queue", lambda r: r.queue_times.buckets),
    (
        "service_seconds",
        "Time in the backend server",
        lambda r: r.service_times.buckets,
    ),
    (
        "total_seconds",
        "Time to a whole answer",
        lambda r: r.whole_answer_times,
    ),
)
MetricFamily = CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily
LabeledRows = Sequence[tuple[tuple[str, str, str, str], RowCounters]]


class MetricsCollector(Collector):
    """Export a node's metrics to prometheus-client on each scrape."""

    def __init__(
        self, metrics: NodeMetrics, now: datetime, evacuated_domains: int = 0
    ) -> None:
        self._metrics = metrics
        self._now = now
        self._evacuated_domains = evacuated_domains

    def collect(self) -> Iterator[MetricFamily]:
        """Yield the metric families."""
        rows = [
            (
                (
                    key.route,
                    key.pool,
                    key.workspace,
                    key.importance.name.lower(),
                ),
                counters,
            )
            for key, counters in self._metrics.iterate_counters()
        ]
        yield from _collect_counters(rows)
        yield _collect_refusals(rows)
        yield from _collect_histograms(rows)
        yield from self._collect_overload()
        yield GaugeMetricFamily(
            "sequoiaseam_evacuated_domains",
            "Failure domains whose backend servers get no new requests",
            value=float(self._evacuated_domains),
        )

    def _collect_overload(self) -> Iterator[MetricFamily]:
        report = self._metrics.build_report(self._now, ())
        yield GaugeMetricFamily(
            "sequoiaseam_overloaded",
            "1 while an overload is in progress",
            value=float(report.overloaded),
        )
        for name, help_text, value in (
            (
                "since_overload_seconds",
                "Time since the last overloaded second",
                report.since_overload,
            ),
            (
                "recovery_seconds",
                "Time from the peak to the end of the last overload",
                report.recovery,
            ),
        ):
            if value is not None:
                yield GaugeMetricFamily(
                    f"sequoiaseam_{name}",
                    help_text,
                    value=value.total_seconds(),
                )


def _collect_counters(rows: LabeledRows) -> Iterator[MetricFamily]:
    for name, help_text, attribute in COUNTER_METRICS:
        family = CounterMetricFamily(
            f"sequoiaseam_{name}",
            help_text,
            labels=ROW_LABELS,
        )
        for labels, counters in rows:
            family.add_metric(labels, getattr(counters, attribute))
        yield family


def _collect_refusals(rows: LabeledRows) -> MetricFamily:
    family = CounterMetricFamily(
        "sequoiaseam_refused",
        "Requests refused, by code",
        labels=(*ROW_LABELS, "code"),
    )
    for labels, counters in rows:
        for code, count in counters.refused.items():
            family.add_metric((*labels, code), count)
    return family


def _collect_histograms(rows: LabeledRows) -> Iterator[MetricFamily]:
    for name, help_text, get_buckets in HISTOGRAM_METRICS:
        merged: dict[tuple[str, str], DurationBuckets] = {}
        for (_, pool, _, importance), counters in rows:
            buckets = merged.setdefault((pool, importance), DurationBuckets())
            buckets.add(get_buckets(counters))
        family = HistogramMetricFamily(
            f"sequoiaseam_{name}",
            help_text,
            labels=("pool", "class"),
        )
        for labels, buckets in merged.items():
            bounds = (*map(str, BUCKET_BOUNDS_S), "+Inf")
            family.add_metric(
                labels,
                tuple(zip(bounds, accumulate(buckets.counts), strict=True)),
                buckets.sum_seconds,
            )
        yield family


def format_metrics(
    metrics: NodeMetrics, now: datetime, evacuated_domains: int = 0
) -> bytes:
    """Return a node's metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics, now, evacuated_domains))
    return generate_latest(registry)
