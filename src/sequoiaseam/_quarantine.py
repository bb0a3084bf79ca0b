"""Quarantine of requests that crash the servers that run them.

A request is known by its fingerprint. One crash makes the fingerprints
that were running suspects, which run alone at their next try; a second
crash quarantines a fingerprint fleet-wide for a limited time. The list
is applied from the replicated log, so it depends on nothing else.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Final

import xxhash

from sequoiaseam._commands import CrashReported

# A second crash counts as a recurrence this long after the first. Longer
# than a caller keeps resending one request.
SUSPECT_DURATION: Final = timedelta(minutes=10)

# First quarantine; doubled with each crash after it ended.
INITIAL_QUARANTINE_DURATION: Final = timedelta(minutes=5)
QUARANTINE_DOUBLINGS_MAX: Final = 6

# Crashes that make a fingerprint quarantined.
CRASHES_MAX: Final = 2

# Fingerprints kept at most; those of the oldest crashes go first.
QUARANTINE_ENTRIES_MAX: Final = 10_000

# Reports kept to recognize copies of one.
CRASH_IDS_MAX: Final = 1_000

# More fingerprints in one report would cost more to replicate than they
# tell; the ones that started last are kept.
REPORT_MAX: Final = 1_000


# A crash makes all requests that ran on the server suspects, and each of
# their trials needs an empty server: one server in eight runs them.
TRIAL_SHARE: Final = 8


class Standing(enum.Enum):
    """How a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """Crashes of one fingerprint.

    ``alone`` says that one of them happened with nothing else running,
    so that no other request can be the cause.
    """

    fingerprint: int
    crashes: int
    last: datetime
    alone: bool


def compute_fingerprint(
    workspace: str,
    route: str,
    method: str,
    path: str,
    body: bytes,
) -> int:
    """Return the 64-bit fingerprint that a resend has, too."""
    head = "\n".join((workspace, route, method, path, ""))
    return xxhash.xxh3_64_intdigest(head.encode() + body)


def choose_trial_server(
    pool: str,
    fingerprint: int,
    names: Collection[str],
) -> str | None:
    """Return the server on which a suspect runs, or None without any.

    All nodes choose the same one (by highest hash), so that copies of a
    suspect don't crash several servers at a time. One server of each
    TRIAL_SHARE runs trials, so that the others need not be empty for it.
    """
    place = f"{pool}/{fingerprint % (1 + len(names) // TRIAL_SHARE)}"
    return max(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{place}/{name}".encode()),
            name,
        ),
        default=None,
    )


class QuarantineList:
    """Suspect and quarantined fingerprints, from the crash reports."""

    def __init__(self) -> None:
        self._entries: dict[int, QuarantineEntry] = {}
        self._crash_ids: dict[str, None] = {}

    def apply(self, report: CrashReported) -> None:
        """Count a crash or clear suspects; a copy changes nothing."""
        if report.crash_id in self._crash_ids:
            return
        self._crash_ids[report.crash_id] = None
        while len(self._crash_ids) > CRASH_IDS_MAX:
            del self._crash_ids[next(iter(self._crash_ids))]
        if report.cleared:
            self._clear(report.fingerprints)
            return
        fingerprints = dict.fromkeys(report.fingerprints)
        for fingerprint in fingerprints:
            self._add(fingerprint, report.at, alone=len(fingerprints) == 1)
        while len(self._entries) > QUARANTINE_ENTRIES_MAX:
            del self._entries[next(iter(self._entries))]

    def _clear(self, fingerprints: tuple[int, ...]) -> None:
        """Forget fingerprints that ran whole and never crashed alone."""
        for fingerprint in fingerprints:
            entry = self._entries.get(fingerprint)
            if entry is not None and not entry.alone:
                del self._entries[fingerprint]

    def check(self, now: datetime, fingerprint: int) -> Standing:
        """Return how a fingerprint may run now."""
        entry = self._entries.get(fingerprint)
        if entry is None or now >= _forget_time(entry):
            return Standing.CLEAR
        if now < _release_time(entry):
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def list_quarantined(
        self,
        now: datetime,
    ) -> tuple[QuarantineEntry, ...]:
        """Return what is quarantined now, for reports."""
        return tuple(
            entry
            for entry in self._entries.values()
            if now < _release_time(entry)
        )

    def dump(self) -> tuple[tuple[QuarantineEntry, ...], tuple[str, ...]]:
        """Return the state for a snapshot: entries and crash ids."""
        return tuple(self._entries.values()), tuple(self._crash_ids)

    @classmethod
    def load(
        cls,
        entries: Iterable[QuarantineEntry],
        crash_ids: Iterable[str],
    ) -> "QuarantineList":
        """Return the list that ``dump`` described."""
        loaded = cls()
        loaded._entries = {entry.fingerprint: entry for entry in entries}
        loaded._crash_ids = dict.fromkeys(crash_ids)
        return loaded

    def _add(self, fingerprint: int, at: datetime, *, alone: bool) -> None:
        old = self._entries.pop(fingerprint, None)
        if old is None or at >= _forget_time(old):
            entry = QuarantineEntry(fingerprint, 1, at, alone)
        else:
            entry = replace(
                old,
                crashes=old.crashes + 1,
                last=max(old.last, at),
                alone=old.alone or alone,
            )
        # Entries are kept in the order of their last crash.
        self._entries[fingerprint] = entry


def _release_time(entry: QuarantineEntry) -> datetime:
    """Return when the quarantine ends, if there is one."""
    beyond = entry.crashes - CRASHES_MAX
    if beyond < 0:
        return entry.last
    factor = 1 << min(beyond, QUARANTINE_DOUBLINGS_MAX)
    return entry.last + INITIAL_QUARANTINE_DURATION * factor


def _forget_time(entry: QuarantineEntry) -> datetime:
    return _release_time(entry) + SUSPECT_DURATION


class CrashWatch:
    """Fingerprints running on the guarding node's backend server.

    It acts on its own crashes at once, ahead of the replicated list. The
    adapter answers the requests that ran at a crash only once the report
    is committed, or after a second at most, so that a resend finds it.
    """

    def __init__(self) -> None:
        self._running: dict[int, int] = {}
        self._counts: Counter[int] = Counter()
        self._own = QuarantineList()
        self._whole: dict[int, None] = {}

    def start(self, fingerprint: int, run_id: int) -> None:
        """Note that a run begins on the server."""
        self._running[run_id] = fingerprint
        self._counts[fingerprint] += 1

    def finish(self, run_id: int, *, whole: bool = True) -> None:
        """Note that a run ended; ``whole`` if the server answered it."""
        fingerprint = self._running.pop(run_id, None)
        if fingerprint is None:
            return
        self._release(fingerprint)
        if whole:
            self._whole[fingerprint] = None

    def crash(self, now: datetime, crash_id: str) -> CrashReported | None:
        """Return the report of a crash, or None if nothing was running."""
        latest = dict.fromkeys(reversed(self._running.values()))
        self._running.clear()
        self._counts.clear()
        if not latest:
            return None
        report = CrashReported(crash_id, tuple(latest)[:REPORT_MAX], now)
        self._own.apply(report)
        return report

    def check(
        self,
        now: datetime,
        fingerprint: int,
        shared: QuarantineList,
    ) -> Standing:
        """Return the stricter of the fleet's and the own standing."""
        standings = {
            shared.check(now, fingerprint),
            self._own.check(now, fingerprint),
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
        """Return the suspects completed since the last call, if any."""
        whole, self._whole = self._whole, {}
        suspects = tuple(
            fingerprint
            for fingerprint in whole
            if self.check(now, fingerprint, shared) is not Standing.CLEAR
        )
        if not suspects:
            return None
        cleared = CrashReported(report_id, suspects, now, cleared=True)
        self._own.apply(cleared)
        return cleared

    def count_running(self, fingerprint: int) -> int:
        """Return how many runs of a fingerprint are in progress."""
        return self._counts[fingerprint]

    def _release(self, fingerprint: int) -> None:
        self._counts[fingerprint] -= 1
        if self._counts[fingerprint] <= 0:
            del self._counts[fingerprint]
