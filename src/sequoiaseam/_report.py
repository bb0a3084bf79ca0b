"""The overload report, merged from the reports of all hosts."""

import csv
import enum
import io
import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any, Final

from hdrh.histogram import HdrHistogram
from rich.console import Console, Group, RenderableType
from rich.text import Text

from sequoiaseam._console_table import ConsoleTable
from sequoiaseam._metrics import (
    HISTOGRAM_MAX_US,
    HISTOGRAM_SIGNIFICANT_DIGITS,
    NodeReport,
    ReportRow,
    decode_histogram,
    encode_histogram,
    make_histogram,
)
from sequoiaseam._operator_messages import HostReport, ReportAnswer

PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)
# If there are more hosts, only those with the oldest reports are shown.
HOSTS_SHOWN_MAX: Final = 12
BAR_WIDTH_CHARS: Final = 50
# Upper bounds of the bars of a text histogram.
BAR_BOUNDS_US: Final = tuple(
    factor * 10**power for power in range(2, 9) for factor in (1, 2, 5)
)


class Grouping(enum.Enum):
    """Attribute by which the rows of a report are grouped."""

    ROUTE = "route"
    POOL = "pool"
    WORKSPACE = "workspace"
    CLASS = "class"


GROUP_TITLES: Final = tuple(grouping.value for grouping in Grouping)


@dataclass(frozen=True, slots=True)
class FleetRow:
    """Totals of one group; queue and service times by percentile."""

    group: Mapping[str, str]
    offered: int
    whole: int
    refused: Mapping[str, int]
    may_have_run: int
    retries: int
    worth_offered: float
    worth: float
    inside_rate_refused: int
    queue: Mapping[float, timedelta]
    service: Mapping[float, timedelta]
    worst_served: str
    worst_share: float | None
    since_overload: timedelta | None
    recovery: timedelta | None

    @property
    def goodput(self) -> float | None:
        """Return the share of the offered worth that was answered whole."""
        if not self.worth_offered:
            return None
        return self.worth / self.worth_offered


@dataclass(frozen=True, slots=True)
class FleetReport:
    """All rows, the age of each host's report and the missing hosts."""

    rows: tuple[FleetRow, ...]
    total: FleetRow
    ages: Mapping[str, timedelta]
    missing: tuple[str, ...]


@dataclass(slots=True)
class GroupAccumulator:
    """Rows of one group and their merged histograms."""

    rows: list[ReportRow] = field(default_factory=list)
    queue: HdrHistogram | None = None
    service: HdrHistogram | None = None

    def add(self, row: ReportRow) -> None:
        """Add a node's row."""
        self.rows.append(row)
        self.queue = add_encoded_histogram(self.queue, row.queue_times)
        self.service = add_encoded_histogram(self.service, row.service_times)


def add_encoded_histogram(
    total: HdrHistogram | None,
    data: bytes,
) -> HdrHistogram | None:
    """Add an encoded histogram to a total, created if it is None."""
    if not data:
        return total
    if total is None:
        # Eight-byte counts, since fleet totals can exceed four bytes.
        total = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)
    total.add(decode_histogram(data))
    return total


def compute_percentiles(
    histogram: HdrHistogram | None,
) -> Mapping[float, timedelta]:
    """Return the values of PERCENTILES, or {} for an empty histogram."""
    if histogram is None or not histogram.get_total_count():
        return {}
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    return {
        percentile: timedelta(microseconds=int(values[percentile]))
        for percentile in PERCENTILES
    }


def find_worst_served_workspace(
    rows: Iterable[ReportRow],
) -> tuple[str, float | None]:
    """Return the workspace with the smallest share answered whole.

    Only root requests within the workspace's rate limit count.
    """
    offered: dict[str, int] = {}
    whole: dict[str, int] = {}
    for row in rows:
        name = row.workspace
        offered[name] = offered.get(name, 0) + row.inside_rate
        whole[name] = whole.get(name, 0) + row.inside_rate_whole
    shares = {
        name: whole[name] / count for name, count in offered.items() if count
    }
    if not shares:
        return "", None
    worst_name = min(shares, key=lambda name: (shares[name], name))
    return worst_name, shares[worst_name]


def _sum_refusals(rows: Iterable[ReportRow]) -> Mapping[str, int]:
    totals: dict[str, int] = {}
    for row in rows:
        for code, count in row.refused.items():
            totals[code] = totals.get(code, 0) + count
    return dict(sorted(totals.items(), key=lambda item: (-item[1], item[0])))


def _build_fleet_row(
    group: Mapping[str, str],
    accumulator: GroupAccumulator,
) -> FleetRow:
    rows = accumulator.rows
    worst_name, worst_share = find_worst_served_workspace(rows)
    times_since_overload = [
        r.since_overload for r in rows if r.since_overload is not None
    ]
    recoveries = [r.recovery for r in rows if r.recovery is not None]
    return FleetRow(
        group=group,
        offered=sum(row.offered for row in rows),
        whole=sum(row.whole for row in rows),
        refused=_sum_refusals(rows),
        may_have_run=sum(row.may_have_run for row in rows),
        retries=sum(row.retries for row in rows),
        worth_offered=sum(row.worth_offered for row in rows),
        worth=sum(row.worth for row in rows),
        inside_rate_refused=sum(row.inside_rate_refused for row in rows),
        queue=compute_percentiles(accumulator.queue),
        service=compute_percentiles(accumulator.service),
        worst_served=worst_name,
        worst_share=worst_share,
        since_overload=min(times_since_overload, default=None),
        recovery=max(recoveries, default=None),
    )


def _get_group_key(
    row: ReportRow,
    grouping: Grouping | None,
) -> tuple[str, ...]:
    values = {
        Grouping.ROUTE: row.route,
        Grouping.POOL: row.pool,
        Grouping.WORKSPACE: row.workspace,
        Grouping.CLASS: row.importance.name.lower(),
    }
    return tuple(values.values()) if grouping is None else (values[grouping],)


def merge_reports(
    answer: ReportAnswer,
    grouping: Grouping | None = None,
) -> FleetReport:
    """Merge the hosts' reports into one row per group.

    Without ``grouping``, rows are grouped by all four attributes.
    """
    titles = GROUP_TITLES if grouping is None else (grouping.value,)
    groups: dict[tuple[str, ...], GroupAccumulator] = {}
    total = GroupAccumulator()
    for row in _iterate_rows(answer):
        groups.setdefault(
            _get_group_key(row, grouping),
            GroupAccumulator(),
        ).add(row)
        total.add(row)
    return FleetReport(
        rows=tuple(
            _build_fleet_row(dict(zip(titles, key, strict=True)), groups[key])
            for key in sorted(groups)
        ),
        total=_build_fleet_row(dict.fromkeys(titles, "all"), total),
        ages={
            name: host_report.age
            for name, host_report in answer.reports.items()
        },
        missing=tuple(sorted(answer.missing)),
    )


def _iterate_rows(answer: ReportAnswer) -> Iterator[ReportRow]:
    """Yield all rows, with the report's age added to since_overload."""
    for host_report in answer.reports.values():
        for row in host_report.report.rows:
            if row.since_overload is None:
                yield row
            else:
                since_overload = row.since_overload + host_report.age
                yield replace(row, since_overload=since_overload)


# Subtraction of two answers, for the report of an interval.


def subtract_histogram(new: bytes, old: bytes) -> bytes:
    """Return the values recorded in ``new`` but not yet in ``old``."""
    if not new or not old:
        return new
    old_histogram = decode_histogram(old)
    difference = make_histogram()
    for item in decode_histogram(new).get_recorded_iterator():
        value = item.value_iterated_to
        count = item.count_added_in_this_iter_step
        count -= old_histogram.get_count_at_value(value)
        if count > 0:
            difference.record_value(value, count)
    return encode_histogram(difference)


def _subtract_row(new: ReportRow, old: ReportRow) -> ReportRow:
    return replace(
        new,
        offered=new.offered - old.offered,
        roots=new.roots - old.roots,
        whole=new.whole - old.whole,
        refused={
            code: count - old.refused.get(code, 0)
            for code, count in new.refused.items()
            if count > old.refused.get(code, 0)
        },
        may_have_run=new.may_have_run - old.may_have_run,
        retries=new.retries - old.retries,
        worth_offered=new.worth_offered - old.worth_offered,
        worth=new.worth - old.worth,
        inside_rate=new.inside_rate - old.inside_rate,
        inside_rate_whole=new.inside_rate_whole - old.inside_rate_whole,
        inside_rate_refused=(
            new.inside_rate_refused - old.inside_rate_refused
        ),
        queue_times=subtract_histogram(new.queue_times, old.queue_times),
        service_times=subtract_histogram(
            new.service_times,
            old.service_times,
        ),
    )


def _subtract_report(new: NodeReport, old: NodeReport) -> NodeReport:
    if new.uptime < old.uptime:
        # The node has restarted and its counters started from zero.
        return new
    old_rows = {_get_group_key(row, None): row for row in old.rows}
    rows = []
    for row in new.rows:
        old_row = old_rows.get(_get_group_key(row, None))
        rows.append(row if old_row is None else _subtract_row(row, old_row))
    return replace(new, rows=tuple(row for row in rows if row.offered))


def subtract_answer(new: ReportAnswer, old: ReportAnswer) -> ReportAnswer:
    """Return the counts between two answers.

    A host that is absent from the older answer is listed as missing,
    because its counts in the interval are unknown.
    """
    differences = {
        name: HostReport(
            _subtract_report(host_report.report, old.reports[name].report),
            host_report.age,
        )
        for name, host_report in new.reports.items()
        if name in old.reports
    }
    new_hosts = sorted(new.reports.keys() - differences.keys())
    return ReportAnswer(differences, tuple(sorted({*new.missing, *new_hosts})))


# Rendering as tables, JSON, CSV and text histograms.


def _format_ms(value: timedelta) -> str:
    return f"{value / timedelta(milliseconds=1):.3g}"


def format_short_duration(value: timedelta | None) -> str:
    """Format a duration in s, min or h; None gives a dash."""
    if value is None:
        return "-"
    seconds = value.total_seconds()
    if seconds < 120:
        return f"{seconds:.1f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.0f} h"


def _format_share(value: float | None) -> str:
    return "-" if value is None else f"{value * 100:.1f}%"


def _format_times(times: Mapping[float, timedelta]) -> str:
    return "/".join(map(_format_ms, times.values())) or "-"


def _format_refused(row: FleetRow) -> str:
    return "\n".join(f"{code} {n}" for code, n in row.refused.items()) or "-"


def _format_worst_served(row: FleetRow) -> str:
    if row.worst_share is None:
        return "-"
    return f"{row.worst_served} {_format_share(row.worst_share)}"


@dataclass(frozen=True, slots=True)
class ReportColumn:
    """A column of the printed table and how to format its cells."""

    title: str
    format_cell: Callable[[FleetRow], str]
    right_aligned: bool = True


COLUMNS: Final = (
    ReportColumn("offered", lambda row: str(row.offered)),
    ReportColumn("whole", lambda row: str(row.whole)),
    ReportColumn("refused\nby reason", _format_refused, right_aligned=False),
    ReportColumn("may\nhave run", lambda row: str(row.may_have_run)),
    ReportColumn("retries", lambda row: str(row.retries)),
    ReportColumn("goodput", lambda row: _format_share(row.goodput)),
    ReportColumn("queue ms", lambda row: _format_times(row.queue)),
    ReportColumn("service ms", lambda row: _format_times(row.service)),
    ReportColumn("refused\nin rate", lambda r: str(r.inside_rate_refused)),
    ReportColumn("worst served", _format_worst_served, right_aligned=False),
    ReportColumn(
        "overload\nago",
        lambda r: format_short_duration(r.since_overload),
    ),
    ReportColumn("recovery", lambda row: format_short_duration(row.recovery)),
)


def _build_table(report: FleetReport) -> ConsoleTable:
    key_column_count = len(report.total.group)
    return ConsoleTable(
        column_titles=(*report.total.group, *(c.title for c in COLUMNS)),
        rows=[
            (*row.group.values(), *(c.format_cell(row) for c in COLUMNS))
            for row in (*report.rows, report.total)
        ],
        key_column_count=key_column_count,
        right_aligned=frozenset(
            key_column_count + index
            for index, column in enumerate(COLUMNS)
            if column.right_aligned
        ),
        has_total_row=True,
    )


def describe_hosts(report: FleetReport) -> str:
    """Describe the age of each host's report and the missing hosts."""
    ages = sorted(report.ages.items(), key=lambda item: -item[1])
    shown = ", ".join(
        f"{name} {format_short_duration(age)}"
        for name, age in ages[:HOSTS_SHOWN_MAX]
    )
    hidden_count = len(ages) - HOSTS_SHOWN_MAX
    suffix = f", {hidden_count} newer ones" if hidden_count > 0 else ""
    lines = [f"hosts reporting: {len(ages)}; ages: {shown or 'none'}{suffix}"]
    if report.missing:
        names = ", ".join(report.missing)
        lines.append(f"missing hosts ({len(report.missing)}): {names}")
    return "\n".join(lines)


def render_report(report: FleetReport, console: Console) -> RenderableType:
    """Return the table, split if the console is narrow, and a note."""
    note = Text(
        f"{describe_hosts(report)}\n"
        "queue and service times are p50/p90/p99/p99.9",
    )
    return Group(_build_table(report).render(console), note)


def _to_seconds(value: timedelta | None) -> float | None:
    return None if value is None else value.total_seconds()


def _format_percentile_name(percentile: float) -> str:
    return f"p{percentile:g}"


def build_record(row: FleetRow) -> dict[str, Any]:
    """Return a row's values for JSON and CSV; durations in seconds."""
    record: dict[str, Any] = {
        **row.group,
        "offered": row.offered,
        "whole": row.whole,
        "refused": dict(row.refused),
        "may_have_run": row.may_have_run,
        "retries": row.retries,
        "worth_offered": row.worth_offered,
        "worth": row.worth,
        "goodput": row.goodput,
    }
    for name, times in (("queue", row.queue), ("service", row.service)):
        for percentile in PERCENTILES:
            title = f"{name}_{_format_percentile_name(percentile)}_s"
            record[title] = _to_seconds(times.get(percentile))
    record["inside_rate_refused"] = row.inside_rate_refused
    record["worst_served"] = row.worst_served
    record["worst_share"] = row.worst_share
    record["since_overload_s"] = _to_seconds(row.since_overload)
    record["recovery_s"] = _to_seconds(row.recovery)
    return record


def format_json(report: FleetReport) -> str:
    """Return the report as one JSON object."""
    return json.dumps(
        {
            "rows": [build_record(row) for row in report.rows],
            "total": build_record(report.total),
            "ages_s": {
                name: age.total_seconds() for name, age in report.ages.items()
            },
            "missing": list(report.missing),
        },
        indent=2,
    )


def format_csv(report: FleetReport) -> str:
    """Return the rows as CSV, with a column for each refusal code."""
    output = io.StringIO()
    codes = sorted(report.total.refused)
    titles: list[str] = []
    for title in build_record(report.total):
        if title == "refused":
            titles.extend(f"refused_{code}" for code in codes)
        else:
            titles.append(title)
    writer = csv.DictWriter(output, titles, lineterminator="\n")
    writer.writeheader()
    for row in report.rows:
        record = build_record(row)
        refused = record.pop("refused")
        for code in codes:
            record[f"refused_{code}"] = refused.get(code, 0)
        writer.writerow(record)
    return output.getvalue()


def merge_histograms(
    answer: ReportAnswer,
    get_histogram: Callable[[ReportRow], bytes],
    pool: str | None = None,
) -> HdrHistogram | None:
    """Merge a histogram of all rows, or of the rows of one pool."""
    total: HdrHistogram | None = None
    for host_report in answer.reports.values():
        for row in host_report.report.rows:
            if pool is None or row.pool == pool:
                total = add_encoded_histogram(total, get_histogram(row))
    return total


def count_bars(histogram: HdrHistogram) -> list[tuple[int, int]]:
    """Return (upper bound in microseconds, count) of each bar.

    Empty bars before the first and after the last value are dropped.
    """
    counts = dict.fromkeys(BAR_BOUNDS_US, 0)
    for item in histogram.get_recorded_iterator():
        value = item.value_iterated_to
        bound = next((b for b in BAR_BOUNDS_US if value <= b), None)
        counts[bound or BAR_BOUNDS_US[-1]] += (
            item.count_added_in_this_iter_step
        )
    bars = list(counts.items())
    non_empty = [index for index, (_, count) in enumerate(bars) if count]
    return bars[non_empty[0] : non_empty[-1] + 1] if non_empty else []


def draw_histogram(title: str, histogram: HdrHistogram | None) -> str:
    """Format a histogram as text, with one bar per line."""
    bars = [] if histogram is None else count_bars(histogram)
    if histogram is None or not bars:
        return f"{title}: nothing recorded\n"
    max_count = max(count for _, count in bars)
    total = sum(count for _, count in bars)
    lines = [f"{title}: {total} requests"]
    for bound, count in bars:
        bar = "#" * round(count / max_count * BAR_WIDTH_CHARS)
        bound_ms = _format_ms(timedelta(microseconds=bound))
        lines.append(
            f"  <= {bound_ms:>7} ms {bar:<{BAR_WIDTH_CHARS}} "
            f"{count:>9} {count / total * 100:5.1f}%",
        )
    percentile_values = compute_percentiles(histogram).items()
    percentiles = ", ".join(
        f"{_format_percentile_name(percentile)} {_format_ms(value)} ms"
        for percentile, value in percentile_values
    )
    return "\n".join([*lines, f"  {percentiles}"]) + "\n"
