"""What a node measures of the requests it answers."""

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

# Bounds the memory of a node: a row with all three histograms takes
# 26 KB (tracemalloc), so the rows take at most 6 MB.
ROWS_MAX: Final = 200
OTHER: Final = "other"

# Histograms count microseconds up to the longest timeout of a route.
HISTOGRAM_MAX_US: Final = 300_000_000
HISTOGRAM_DIGITS: Final = 2
# Four-byte counts halve the memory of a row. One wraps after 124 days
# of 400 requests a second that all take the same time.
HISTOGRAM_WORD_BYTES: Final = 4
MICROSECOND: Final = timedelta(microseconds=1)
BUCKET_BOUNDS: Final = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
)

# Refusals that show a lack of capacity.
OVERLOAD_CODES: Final = frozenset(
    (
        ErrorCode.OVERLOAD,
        ErrorCode.QUEUE_FULL,
        ErrorCode.DEADLINE,
        ErrorCode.SHED,
        ErrorCode.TIMEOUT,
    ),
)
# Refusals that a caller inside its rate has done nothing to cause.
SYSTEM_CODES: Final = OVERLOAD_CODES | frozenset(
    (
        ErrorCode.STALE,
        ErrorCode.QUOTA,
        ErrorCode.NO_SERVER,
        ErrorCode.DRAINING,
        ErrorCode.RETRIES_EXHAUSTED,
        ErrorCode.NO_WITNESSES,
        ErrorCode.SERVER_FAILED,
        ErrorCode.INCOMPLETE,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.INTERNAL,
    ),
)
# A second counts as overloaded when more than this share of its
# requests is refused for lack of capacity.
OVERLOAD_SHARE: Final = 0.01
# An overload is over after this long without an overloaded second.
OVERLOAD_QUIET: Final = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class RequestSample:
    """One answered request, recorded by the node that answered it.

    Names come from the tables and are empty where there is none, so a
    caller can't add rows by sending other names.
    ``code`` is None for a whole answer. ``queue_time`` and
    ``service_time`` are None for a request that got no slot. ``root``
    is set for a caller's request, not for a nested call.
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
    """What requests are counted by."""

    route: str
    pool: str
    workspace: str
    importance: Importance


@dataclass(frozen=True, slots=True)
class ReportRow:
    """Totals of one row since the node started, and its overload state.

    ``offered`` = ``whole`` + the sum of ``refused`` + ``may_have_run``.
    Worth and the inside-rate columns count root requests only.
    Histograms are in hdrhistogram's encoding, in microseconds.
    ``recovery`` is how long the row's last overload lasted from its
    worst second to its end.
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
    """A node's rows, and the overload state of all of them together."""

    node: str
    uptime: timedelta
    rows: tuple[ReportRow, ...]
    overloaded: bool = False
    since_overload: timedelta | None = None
    recovery: timedelta | None = None


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        1,
        HISTOGRAM_MAX_US,
        HISTOGRAM_DIGITS,
        word_size=HISTOGRAM_WORD_BYTES,
    )


def encode_histogram(histogram: HdrHistogram | None) -> bytes:
    """Return the encoded bytes, or none for an empty histogram."""
    if histogram is None:
        return b""
    return bytes(histogram.encode())


def decode_histogram(data: bytes) -> HdrHistogram:
    """Return the histogram that the bytes encode, empty for none."""
    return HdrHistogram.decode(data) if data else make_histogram()


class Buckets:
    """Counts of durations up to each bound, and their sum.

    Prometheus gets these: finding quantiles in 200 rows of histograms
    at each scrape would stop the node for about a second.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS) + 1)
        self.total = 0.0

    def record(self, value: timedelta) -> None:
        """Count a duration."""
        seconds = value.total_seconds()
        self.counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self.total += seconds

    def add(self, other: "Buckets") -> None:
        """Add the counts of others."""
        self.counts = [
            mine + more
            for mine, more in zip(self.counts, other.counts, strict=True)
        ]
        self.total += other.total


class Distribution:
    """A histogram that takes memory only once something is recorded."""

    __slots__ = ("buckets", "histogram")

    def __init__(self) -> None:
        self.histogram: HdrHistogram | None = None
        self.buckets = Buckets()

    def record(self, value: timedelta | None) -> None:
        """Count a duration; None is not counted."""
        if value is None:
            return
        if self.histogram is None:
            self.histogram = make_histogram()
        microseconds = min(max(value // MICROSECOND, 1), HISTOGRAM_MAX_US)
        self.histogram.record_value(microseconds)
        self.buckets.record(value)


class OverloadWatch:
    """Find overloads from the share of refusals in each second."""

    def __init__(self, now: datetime) -> None:
        self._second = now
        self._offered = 0
        self._refused = 0
        self._peak_share = 0.0
        self._peak_end = now
        self._last_end: datetime | None = None
        self._active = False
        self._recovery: timedelta | None = None

    def record(self, now: datetime, *, refused: bool) -> None:
        """Count a request."""
        self.advance(now)
        self._offered += 1
        self._refused += refused

    def advance(self, now: datetime) -> None:
        """Close the seconds that are over."""
        if now - self._second >= timedelta(seconds=1):
            self._close_second()
            # Seconds without requests need no closing one by one.
            elapsed = (now - self._second) // timedelta(seconds=1)
            self._second += timedelta(seconds=elapsed)
        last = self._last_end
        if self._active and last and now - last >= OVERLOAD_QUIET:
            self._active = False
            self._recovery = last - self._peak_end

    def _close_second(self) -> None:
        share = self._refused / self._offered if self._offered else 0.0
        self._offered = self._refused = 0
        if share <= OVERLOAD_SHARE:
            return
        end = self._second + timedelta(seconds=1)
        if self._last_end and end - self._last_end > OVERLOAD_QUIET:
            self._active = False
        if not self._active or share >= self._peak_share:
            self._peak_share = share
            self._peak_end = end
        self._active = True
        self._last_end = end

    def is_active(self) -> bool:
        """Return whether an overload is in progress."""
        return self._active

    def measure_since(self, now: datetime) -> timedelta | None:
        """Return the time since the end of the last overloaded second."""
        if self._last_end is None:
            return None
        return max(now - self._last_end, timedelta(0))

    def get_recovery(self) -> timedelta | None:
        """Return the last overload's time from its peak to its end."""
        return self._recovery


@dataclass(slots=True)
class RowCounts:
    """Counters of one row."""

    overload: OverloadWatch
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
    queue: Distribution = field(default_factory=Distribution)
    service: Distribution = field(default_factory=Distribution)
    whole_time: Buckets = field(default_factory=Buckets)

    def record(self, now: datetime, sample: RequestSample) -> None:
        """Count a sample."""
        self.overload.record(now, refused=sample.code in OVERLOAD_CODES)
        self.offered += 1
        self.retries += sample.retries
        self.queue.record(sample.queue_time)
        self.service.record(sample.service_time)
        self._record_outcome(sample)
        if sample.root:
            self._record_root(sample)

    def _record_outcome(self, sample: RequestSample) -> None:
        if sample.code is None:
            self.whole += 1
            self.whole_time.record(sample.total_time)
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
            sample.code in SYSTEM_CODES
            and sample.verdict is not Verdict.MAY_HAVE_RUN
        ):
            self.inside_rate_refused += 1

    def build_row(self, now: datetime, key: RowKey) -> ReportRow:
        """Return the totals so far."""
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
            queue_times=encode_histogram(self.queue.histogram),
            service_times=encode_histogram(self.service.histogram),
            since_overload=self.overload.measure_since(now),
            recovery=self.overload.get_recovery(),
        )


class NodeMetrics:
    """Counts of a node, by route, pool, workspace and class."""

    def __init__(self, node: str, now: datetime) -> None:
        self._node = node
        self._started = now
        self._rows: dict[RowKey, RowCounts] = {}
        self._overload = OverloadWatch(now)

    def record(self, now: datetime, sample: RequestSample) -> None:
        """Count a request; once, where its answer is sent."""
        key = RowKey(
            sample.route,
            sample.pool,
            sample.workspace,
            sample.importance,
        )
        self._find_row(now, key).record(now, sample)
        self._overload.record(now, refused=sample.code in OVERLOAD_CODES)

    def _find_row(self, now: datetime, key: RowKey) -> RowCounts:
        row = self._rows.get(key)
        if row is not None:
            return row
        if len(self._rows) >= ROWS_MAX:
            key = RowKey(OTHER, OTHER, OTHER, key.importance)
        return self._rows.setdefault(key, RowCounts(OverloadWatch(now)))

    def snapshot(self, now: datetime) -> NodeReport:
        """Return everything counted so far."""
        return self.build_report(now, self.iterate_report_rows(now))

    def iterate_report_rows(self, now: datetime) -> Iterator[ReportRow]:
        """Yield the rows of a report, each of which takes some time.

        A node that must not stop for all rows at once pauses between
        them and hands them to ``build_report``.
        """
        for key, counts in tuple(self._rows.items()):
            yield counts.build_row(now, key)

    def build_report(
        self,
        now: datetime,
        rows: Iterable[ReportRow],
    ) -> NodeReport:
        """Return a report with rows that were built before."""
        self._overload.advance(now)
        return NodeReport(
            node=self._node,
            uptime=now - self._started,
            rows=tuple(rows),
            overloaded=self._overload.is_active(),
            since_overload=self._overload.measure_since(now),
            recovery=self._overload.get_recovery(),
        )

    def iterate_rows(self) -> Iterator[tuple[RowKey, RowCounts]]:
        """Yield each row's key and counts."""
        yield from self._rows.items()


LABELS: Final = ("route", "pool", "workspace", "class")
# Metric names, their texts, and the attribute of RowCounts.
COUNTERS: Final = (
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
# Times are by pool and class only, to bound the length of a scrape.
TIMES: Final[tuple[tuple[str, str, Callable[[RowCounts], Buckets]], ...]] = (
    ("queue_seconds", "Time in the queue", lambda r: r.queue.buckets),
    (
        "service_seconds",
        "Time in the backend server",
        lambda r: r.service.buckets,
    ),
    ("total_seconds", "Time to a whole answer", lambda r: r.whole_time),
)
Family = CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily
Rows = Sequence[tuple[tuple[str, str, str, str], RowCounts]]


class MetricsCollector(Collector):
    """Hand a node's counts to prometheus-client when it asks."""

    def __init__(self, metrics: NodeMetrics, now: datetime) -> None:
        self._metrics = metrics
        self._now = now

    def collect(self) -> Iterator[Family]:
        """Yield the metric families."""
        rows = [
            (
                (
                    key.route,
                    key.pool,
                    key.workspace,
                    key.importance.name.lower(),
                ),
                counts,
            )
            for key, counts in self._metrics.iterate_rows()
        ]
        yield from _collect_counters(rows)
        yield _collect_refusals(rows)
        yield from _collect_times(rows)
        yield from self._collect_overload()

    def _collect_overload(self) -> Iterator[Family]:
        report = self._metrics.build_report(self._now, ())
        yield GaugeMetricFamily(
            "sequoiaseam_overloaded",
            "1 while an overload is in progress",
            value=float(report.overloaded),
        )
        for name, text, value in (
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
                    text,
                    value=value.total_seconds(),
                )


def _collect_counters(rows: Rows) -> Iterator[Family]:
    for name, text, attribute in COUNTERS:
        family = CounterMetricFamily(
            f"sequoiaseam_{name}",
            text,
            labels=LABELS,
        )
        for labels, counts in rows:
            family.add_metric(labels, getattr(counts, attribute))
        yield family


def _collect_refusals(rows: Rows) -> Family:
    family = CounterMetricFamily(
        "sequoiaseam_refused",
        "Requests refused, by code",
        labels=(*LABELS, "code"),
    )
    for labels, counts in rows:
        for code, count in counts.refused.items():
            family.add_metric((*labels, code), count)
    return family


def _collect_times(rows: Rows) -> Iterator[Family]:
    for name, text, get in TIMES:
        merged: dict[tuple[str, str], Buckets] = {}
        for (_, pool, _, importance), counts in rows:
            buckets = merged.setdefault((pool, importance), Buckets())
            buckets.add(get(counts))
        family = HistogramMetricFamily(
            f"sequoiaseam_{name}",
            text,
            labels=("pool", "class"),
        )
        for labels, buckets in merged.items():
            bounds = (*map(str, BUCKET_BOUNDS), "+Inf")
            family.add_metric(
                labels,
                tuple(zip(bounds, accumulate(buckets.counts), strict=True)),
                buckets.total,
            )
        yield family


def format_metrics(metrics: NodeMetrics, now: datetime) -> bytes:
    """Return the Prometheus text format of a node's counts."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics, now))
    return generate_latest(registry)
