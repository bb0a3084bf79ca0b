"""Quarantine of requests that crash backend servers.

Requests are identified by fingerprint. When a backend server crashes,
the fingerprints that were running on it become suspects, and each
suspect next runs alone. A second crash quarantines a fingerprint for a
limited time on the whole fleet. The list is computed from the replicated
log and depends on nothing else.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Final

import xxhash

from sequoiaseam._commands import CrashReported

# A crash counts as a recurrence until this long after the previous one or
# after the quarantine that followed it. Longer than a caller keeps
# resending a request.
SUSPECT_DURATION: Final = timedelta(minutes=10)

# Duration of the first quarantine; it doubles with each further crash.
INITIAL_QUARANTINE_DURATION: Final = timedelta(minutes=5)
QUARANTINE_DOUBLINGS_MAX: Final = 6

# Number of crashes after which a fingerprint is quarantined.
QUARANTINE_CRASH_THRESHOLD: Final = 2
# The same where suspects don't run alone: several requests that were running
# at one crash may be sent again to the next server together.
SHARED_CRASH_THRESHOLD: Final = 3

# Maximum number of fingerprints kept; those whose last crash is the oldest
# are evicted first.
QUARANTINE_ENTRIES_MAX: Final = 10_000

# Number of report ids remembered to detect duplicate reports.
REMEMBERED_CRASH_IDS_MAX: Final = 1_000

# Maximum number of fingerprints in a report; those that started last are
# kept. Replicating more would cost more than the information is worth.
REPORT_FINGERPRINTS_MAX: Final = 1_000

# A trial needs an idle backend server, and a crash makes every request that
# was running a suspect. One backend server in eight runs trials, so that
# the others don't have to become idle.
SERVERS_PER_TRIAL_SERVER: Final = 8


class Standing(enum.Enum):
    """Whether and how requests with a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """Crash history of one fingerprint.

    ``crashed_alone`` is true if nothing else was running during one of
    the crashes, so that no other request can have caused it.
    """

    fingerprint: int
    crash_count: int
    last_crash: datetime
    crashed_alone: bool


def compute_fingerprint(
    workspace: str,
    host: str,
    method: str,
    path: str,
    body: bytes,
) -> int:
    """Return a 64-bit fingerprint that a resent request shares.

    It depends on what the caller sends only, as an edit may put the request
    on another route. ``host`` is the name that the request was sent to,
    empty where routes don't distinguish hosts.
    """
    prefix = "\n".join((workspace, host, method, path, ""))
    return xxhash.xxh3_64_intdigest(prefix.encode() + body)


def choose_trial_server(
    pool: str,
    fingerprint: int,
    members: Collection[str],
) -> str | None:
    """Return the member that runs a suspect, or None if there are none.

    All nodes choose the same member by rendezvous hashing, so that copies
    of a suspect don't crash several backend servers at the same time.
    Only one in SERVERS_PER_TRIAL_SERVER members runs trials, so that the
    others don't have to become idle for them.
    """
    hash_prefix = (
        f"{pool}/"
        f"{fingerprint % (1 + len(members) // SERVERS_PER_TRIAL_SERVER)}"
    )
    return max(
        members,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{hash_prefix}/{name}".encode()),
            name,
        ),
        default=None,
    )


class QuarantineList:
    """Suspect and quarantined fingerprints, computed from crash reports.

    ``crash_threshold`` is the number of crashes that quarantine one.
    """

    def __init__(
        self, crash_threshold: int = QUARANTINE_CRASH_THRESHOLD
    ) -> None:
        self._crash_threshold = crash_threshold
        self._entries: dict[int, QuarantineEntry] = {}
        self._crash_ids: dict[str, None] = {}

    def apply(self, report: CrashReported) -> None:
        """Apply a crash or clearance report; ignore duplicates."""
        if report.crash_id in self._crash_ids:
            return
        self._crash_ids[report.crash_id] = None
        while len(self._crash_ids) > REMEMBERED_CRASH_IDS_MAX:
            del self._crash_ids[next(iter(self._crash_ids))]
        if report.cleared:
            self._clear_suspects(report.fingerprints)
            return
        fingerprints = dict.fromkeys(report.fingerprints)
        for fingerprint in fingerprints:
            self._record_crash(
                fingerprint, report.at, crashed_alone=len(fingerprints) == 1
            )
        while len(self._entries) > QUARANTINE_ENTRIES_MAX:
            del self._entries[next(iter(self._entries))]

    def _clear_suspects(self, fingerprints: tuple[int, ...]) -> None:
        """Remove fingerprints that completed and never crashed alone."""
        for fingerprint in fingerprints:
            entry = self._entries.get(fingerprint)
            if entry is not None and not entry.crashed_alone:
                del self._entries[fingerprint]

    def check(self, now: datetime, fingerprint: int) -> Standing:
        """Return the current standing of a fingerprint."""
        entry = self._entries.get(fingerprint)
        if entry is None or now >= self._compute_suspect_end(entry):
            return Standing.CLEAR
        if now < self._compute_quarantine_end(entry):
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def list_quarantined(
        self,
        now: datetime,
    ) -> tuple[QuarantineEntry, ...]:
        """Return the fingerprints that are quarantined now."""
        return tuple(
            entry
            for entry in self._entries.values()
            if now < self._compute_quarantine_end(entry)
        )

    def dump(self) -> tuple[tuple[QuarantineEntry, ...], tuple[str, ...]]:
        """Return the entries and the crash ids for a snapshot."""
        return tuple(self._entries.values()), tuple(self._crash_ids)

    @classmethod
    def load(
        cls,
        entries: Iterable[QuarantineEntry],
        crash_ids: Iterable[str],
    ) -> "QuarantineList":
        """Restore a list from the values returned by ``dump``."""
        loaded = cls()
        loaded._entries = {entry.fingerprint: entry for entry in entries}
        loaded._crash_ids = dict.fromkeys(crash_ids)
        return loaded

    def _record_crash(
        self, fingerprint: int, crashed_at: datetime, *, crashed_alone: bool
    ) -> None:
        previous = self._entries.pop(fingerprint, None)
        if previous is None or (
            crashed_at >= self._compute_suspect_end(previous)
        ):
            entry = QuarantineEntry(fingerprint, 1, crashed_at, crashed_alone)
        else:
            entry = replace(
                previous,
                crash_count=previous.crash_count + 1,
                last_crash=max(previous.last_crash, crashed_at),
                crashed_alone=previous.crashed_alone or crashed_alone,
            )
        # Entries stay ordered by their last report, for the eviction of
        # the oldest.
        self._entries[fingerprint] = entry

    def _compute_quarantine_end(self, entry: QuarantineEntry) -> datetime:
        """Return the end of the quarantine, or the last crash without one."""
        extra_crashes = entry.crash_count - self._crash_threshold
        if extra_crashes < 0:
            return entry.last_crash
        factor = 1 << min(extra_crashes, QUARANTINE_DOUBLINGS_MAX)
        return entry.last_crash + INITIAL_QUARANTINE_DURATION * factor

    def _compute_suspect_end(self, entry: QuarantineEntry) -> datetime:
        return self._compute_quarantine_end(entry) + SUSPECT_DURATION


class CrashWatch:
    """Fingerprints running on the executing node's backend server.

    Local crashes take effect at once, before the replicated list includes
    them. The adapter delays the responses to requests that were running
    at a crash until the report is committed, but for a second at most, so
    that the report applies to resends of those requests.
    """

    def __init__(
        self, crash_threshold: int = QUARANTINE_CRASH_THRESHOLD
    ) -> None:
        self._fingerprints_by_run: dict[int, int] = {}
        self._running_counts: Counter[int] = Counter()
        self._local_list = QuarantineList(crash_threshold)
        self._completed: dict[int, None] = {}

    def start(self, fingerprint: int, run_id: int) -> None:
        """Record the start of a run on the backend server."""
        self._fingerprints_by_run[run_id] = fingerprint
        self._running_counts[fingerprint] += 1

    def finish(self, run_id: int, *, whole: bool = True) -> None:
        """Record the end of a run.

        ``whole`` tells whether the backend server ran the request and
        answered completely. An answer that says "not run" isn't one.
        """
        fingerprint = self._fingerprints_by_run.pop(run_id, None)
        if fingerprint is None:
            return
        self._decrement_running(fingerprint)
        if whole:
            self._completed[fingerprint] = None

    def crash(self, now: datetime, crash_id: str) -> CrashReported | None:
        """Return the report of a crash, or None if nothing was running."""
        running = dict.fromkeys(reversed(self._fingerprints_by_run.values()))
        self._fingerprints_by_run.clear()
        self._running_counts.clear()
        if not running:
            return None
        report = CrashReported(
            crash_id, tuple(running)[:REPORT_FINGERPRINTS_MAX], now
        )
        self._local_list.apply(report)
        return report

    def check(
        self,
        now: datetime,
        fingerprint: int,
        shared: QuarantineList,
    ) -> Standing:
        """Return the stricter of the fleet-wide and the local standing."""
        standings = {
            shared.check(now, fingerprint),
            self._local_list.check(now, fingerprint),
        }
        if Standing.QUARANTINED in standings:
            return Standing.QUARANTINED
        if Standing.SUSPECT in standings:
            return Standing.SUSPECT
        return Standing.CLEAR

    def report_cleared(
        self,
        now: datetime,
        report_id: str,
        shared: QuarantineList,
    ) -> CrashReported | None:
        """Return a report that clears suspects that completed since.

        Return None if no suspect completed since the last call.
        """
        completed, self._completed = self._completed, {}
        suspects = tuple(
            fingerprint
            for fingerprint in completed
            if self.check(now, fingerprint, shared) is not Standing.CLEAR
        )
        if not suspects:
            return None
        cleared = CrashReported(report_id, suspects, now, cleared=True)
        self._local_list.apply(cleared)
        return cleared

    def count_running(self, fingerprint: int) -> int:
        """Return the number of runs of a fingerprint in progress."""
        return self._running_counts[fingerprint]

    def _decrement_running(self, fingerprint: int) -> None:
        self._running_counts[fingerprint] -= 1
        if self._running_counts[fingerprint] <= 0:
            del self._running_counts[fingerprint]
