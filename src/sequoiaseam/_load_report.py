"""Logs and metrics on the load of routes and of a host's backend server."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final

from sequoiaseam._balance_report import escape_label
from sequoiaseam._logs import Level, RateLimitedLog
from sequoiaseam.errors import ErrorCode

LOAD_REPORT_INTERVAL: Final = timedelta(seconds=1)
# Outcomes of requests that aren't refused. A failed one was answered with a
# status of 500 or above by the backend server.
ANSWERED: Final = "ANSWERED"
FAILED: Final = "FAILED"
CANCELLED: Final = "CANCELLED"
NOT_REFUSED: Final = frozenset((ANSWERED, FAILED, CANCELLED))
# Bounds the memory. Names beyond it are counted as one.
ROUTES_MAX: Final = 200
OTHER_ROUTES: Final = "other"


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """What a backend server may run and what it runs, at one moment.

    ``limit`` is the concurrency limit, at most ``slots``.
    """

    server: str
    pool: str
    slots: int
    limit: int
    running: int
    queued: int
    pressure_level: float


@dataclass(slots=True)
class _Outcomes:
    """Ended requests of a route by outcome, and their time in slots."""

    counts: Counter[str] = field(default_factory=Counter)
    slot_times: dict[str, timedelta] = field(default_factory=dict)

    def add(self, outcome: str, slot_time: timedelta) -> None:
        self.counts[outcome] += 1
        if slot_time:
            self.slot_times[outcome] = (
                self.slot_times.get(outcome, timedelta(0)) + slot_time
            )

    @property
    def has_losses(self) -> bool:
        """Return whether a request wasn't answered successfully."""
        return any(outcome != ANSWERED for outcome in self.counts)

    def describe(self) -> dict[str, object]:
        """Return log fields."""
        refused = [
            f"{outcome}:{count}"
            for outcome, count in sorted(self.counts.items())
            if outcome not in NOT_REFUSED
        ]
        return {
            "answered": self.counts[ANSWERED],
            "failed": self.counts[FAILED],
            "cancelled": self.counts[CANCELLED],
            "refused": refused,
        }


class OutcomeCounts:
    """Outcomes of requests by route, since the start and since a report."""

    def __init__(self) -> None:
        self._totals: dict[str, _Outcomes] = {}
        self._unreported: dict[str, _Outcomes] = {}

    def record_response(
        self, route: str, status: int, slot_time: timedelta = timedelta(0)
    ) -> None:
        """Count a request that a backend server has responded to."""
        self._record(route, FAILED if status >= 500 else ANSWERED, slot_time)

    def record_refusal(
        self,
        route: str,
        code: ErrorCode,
        slot_time: timedelta = timedelta(0),
    ) -> None:
        """Count a request that was refused with ``code``."""
        self._record(route, code.value, slot_time)

    def record_cancellation(
        self, route: str, slot_time: timedelta = timedelta(0)
    ) -> None:
        """Count a request that its caller no longer waits for."""
        self._record(route, CANCELLED, slot_time)

    def _record(self, route: str, outcome: str, slot_time: timedelta) -> None:
        if route not in self._totals and len(self._totals) >= ROUTES_MAX:
            route = OTHER_ROUTES
        for outcomes in (self._totals, self._unreported):
            if route not in outcomes:
                outcomes[route] = _Outcomes()
            outcomes[route].add(outcome, slot_time)

    def take_unreported(self) -> Mapping[str, _Outcomes]:
        """Return the outcomes by route since the last call."""
        unreported, self._unreported = self._unreported, {}
        return unreported

    def iterate_totals(self) -> Iterator[tuple[str, str, int, timedelta]]:
        """Yield route, outcome, count and time in slots since the start."""
        for route, outcomes in self._totals.items():
            for outcome, count in outcomes.counts.items():
                slot_time = outcomes.slot_times.get(outcome, timedelta(0))
                yield route, outcome, count, slot_time


def log_route_load(
    log: RateLimitedLog, host: str, outcomes: OutcomeCounts
) -> None:
    """Log the routes of which callers' requests weren't all answered."""
    for route, counts in outcomes.take_unreported().items():
        if counts.has_losses:
            log.log(
                Level.INFO,
                "requests of a route",
                host=host,
                route=route,
                **counts.describe(),
            )


def log_server_load(
    log: RateLimitedLog,
    host: str,
    capacity: ServerCapacity | None,
    outcomes: OutcomeCounts,
) -> None:
    """Log the load of a backend server that is limited or loses calls."""
    merged = _Outcomes()
    for counts in outcomes.take_unreported().values():
        merged.counts.update(counts.counts)
        for outcome, slot_time in counts.slot_times.items():
            merged.slot_times[outcome] = (
                merged.slot_times.get(outcome, timedelta(0)) + slot_time
            )
    if capacity is None or not (
        merged.has_losses or capacity.limit < capacity.slots
    ):
        return
    slot_time = sum(merged.slot_times.values(), timedelta(0))
    log.log(
        Level.INFO,
        "load of the backend server",
        host=host,
        server=capacity.server,
        pool=capacity.pool,
        slots=capacity.slots,
        limit=capacity.limit,
        running=capacity.running,
        queued=capacity.queued,
        pressure_level=round(capacity.pressure_level, 3),
        slot_time=slot_time,
        slot_time_lost=slot_time
        - merged.slot_times.get(ANSWERED, timedelta(0)),
        **merged.describe(),
    )


def format_load_metrics(
    capacity: ServerCapacity | None,
    server_calls: OutcomeCounts,
    requests: OutcomeCounts,
) -> bytes:
    """Return gauges and counters in the text format of Prometheus."""
    lines: list[str] = []
    if capacity is not None:
        gauges = {
            "slots": capacity.slots,
            "limit": capacity.limit,
            "running": capacity.running,
            "queued": capacity.queued,
            "pressure_level": round(capacity.pressure_level, 3),
        }
        lines += [
            f"sequoiaseam_server_{name} {value}\n"
            for name, value in gauges.items()
        ]
    for name, outcomes in (
        ("server_calls", server_calls),
        ("requests", requests),
    ):
        for route, outcome, count, slot_time in outcomes.iterate_totals():
            labels = f'{{route="{escape_label(route)}",outcome="{outcome}"}}'
            lines.append(f"sequoiaseam_{name}_total{labels} {count}\n")
            if slot_time:
                seconds = round(slot_time.total_seconds(), 3)
                lines.append(
                    f"sequoiaseam_{name}_slot_seconds_total{labels}"
                    f" {seconds}\n"
                )
    return "".join(lines).encode()
