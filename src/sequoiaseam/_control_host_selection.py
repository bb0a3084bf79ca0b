"""Decision which control host a node is attached to.

A node keeps its stream to the attached control host until another one has
shown to be better. It tries the others beside it, each a short time after
the last one, so that lost hosts delay the configuration once and not one
after the other.
"""

import enum
from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

from sequoiaseam.const import NODE_PING_INTERVAL, UPLINK_TIMEOUT

# A ping that isn't answered within this time makes the node try other hosts.
# An answer takes a few milliseconds, and a host that is merely slow stays
# attached unless another one is faster.
REPLY_TIMEOUT: Final = timedelta(seconds=0.3)
# A control host whose last confirmation of the configuration is older than
# this is partitioned or lagging; another one may be up to date. It is more
# than twice the time between confirmations.
MAX_CONFIRMATION_AGE: Final = timedelta(seconds=1)
# The same counted at the node, up to the confirmation whose index its view
# has reached. It includes the time between two pings.
CONFIRMATION_TIMEOUT: Final = MAX_CONFIRMATION_AGE + NODE_PING_INTERVAL
# Time between the starts of two attempts, and the limit up to which it
# doubles with each attempt after the first ATTEMPTS_FAST: while there is no
# leader, no control host confirms and all nodes look for one.
ATTEMPT_INTERVAL_MIN: Final = timedelta(seconds=0.15)
ATTEMPT_INTERVAL_MAX: Final = timedelta(seconds=0.25)
ATTEMPTS_FAST: Final = 4
ATTEMPT_DOUBLINGS_MAX: Final = 3
ATTEMPT_BACKOFF_MAX: Final = timedelta(seconds=1)
# The same while the attached host is silent too, or there is none.
SILENT_ATTEMPT_BACKOFF_MAX: Final = timedelta(seconds=0.4)
# After this time, an attempt that hasn't led to a confirmation is given up.
ATTEMPT_TIMEOUT: Final = timedelta(seconds=1)
# Limits of the random delay after the end of the attached stream. All nodes of
# a control host lose their streams when it ends.
RECONNECT_DELAY_MIN: Final = timedelta(seconds=0.05)
RECONNECT_DELAY_MAX: Final = timedelta(seconds=0.2)
# A host that has failed is tried after the others for this long.
FAILURE_MEMORY: Final = timedelta(seconds=10)
# Minimum time between attempts to switch to a preferred control host.
PREFERRED_HOST_RETRY_INTERVAL: Final = timedelta(seconds=5)


class HostState(enum.IntEnum):
    """What a control host shows on a stream; higher is better."""

    SILENT = 0
    ANSWERING = 1
    CONFIRMING = 2


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream to a control host; report its opening or its end."""

    stream_id: int
    host: str


@dataclass(frozen=True, slots=True)
class CloseStream:
    """Close a stream, whose end isn't reported."""

    stream_id: int
    host: str
    state: HostState


@dataclass(frozen=True, slots=True)
class SendPing:
    """Send a ping on a stream."""

    stream_id: int


@dataclass(frozen=True, slots=True)
class Attach:
    """Use a stream for what the node sends, instead of ``former``.

    ``former_state`` is that of the host ``former``, which is empty if none
    was attached.
    """

    stream_id: int
    host: str
    state: HostState
    former: str
    former_state: HostState


SelectionAction = OpenStream | CloseStream | SendPing | Attach


@dataclass(slots=True, eq=False)
class _StreamState:
    """What is known of the control host at the other end of a stream."""

    stream_id: int
    host: str
    started_at: datetime
    # None until the stream is open.
    next_ping_at: datetime | None = None
    # Time of the oldest ping that isn't answered, or of a later message.
    unanswered_since: datetime | None = None
    answered: bool = False
    reported_age: timedelta = timedelta(0)
    # Confirmation time and index of the last pong, until the node's view
    # has reached that index.
    pending_confirmation: tuple[datetime, int] | None = None
    confirmed_at: datetime | None = None

    def find_state(self, now: datetime) -> HostState:
        """Return what the control host shows at a time."""
        unanswered_since = self.unanswered_since
        if not self.answered or (
            unanswered_since is not None
            and now - unanswered_since >= REPLY_TIMEOUT
        ):
            return HostState.SILENT
        if (
            self.reported_age > MAX_CONFIRMATION_AGE
            or self.confirmed_at is None
            or now - self.confirmed_at >= CONFIRMATION_TIMEOUT
        ):
            return HostState.ANSWERING
        return HostState.CONFIRMING

    def shift(self, lateness: timedelta) -> None:
        """Don't count a time in which this process couldn't read answers."""
        self.started_at += lateness
        if self.unanswered_since is not None:
            self.unanswered_since += lateness
        if self.confirmed_at is not None:
            self.confirmed_at += lateness

    def list_due_times(self, *, attached: bool) -> tuple[datetime, ...]:
        """Return the times at which the state may change by itself."""
        times = []
        if not attached:
            times.append(self.started_at + ATTEMPT_TIMEOUT)
        if self.next_ping_at is not None:
            times.append(self.next_ping_at)
        if self.unanswered_since is not None:
            times.append(self.unanswered_since + REPLY_TIMEOUT)
            if attached:
                times.append(self.unanswered_since + UPLINK_TIMEOUT)
        if attached and self.confirmed_at is not None:
            times.append(self.confirmed_at + CONFIRMATION_TIMEOUT)
        return tuple(times)


class ControlHostSelector:
    """Choose the control host; ``check`` returns what there is to do.

    Pass in what happens on the streams, then call ``check``, and again at
    the time from ``next_check_at``.
    """

    def __init__(
        self, now: datetime, rng: Random, hosts: Collection[str]
    ) -> None:
        self._rng = rng
        self._started_at = now
        self._hosts = frozenset(hosts)
        self._preferred_hosts: frozenset[str] = frozenset()
        self._preferred_tried_at = now - PREFERRED_HOST_RETRY_INTERVAL
        self._streams: dict[int, _StreamState] = {}
        self._attached_id: int | None = None
        self._last_stream_id = 0
        self._failed_at: dict[str, datetime] = {}
        # Attempts since the attached host has last confirmed.
        self._attempt_count = 0
        self._next_attempt_at = now
        self.next_check_at = now

    @property
    def attached_host(self) -> str | None:
        """Return the attached control host, None if there is none."""
        attached = self._get_attached()
        return attached.host if attached else None

    @property
    def attached_id(self) -> int | None:
        """Return the id of the stream to the attached control host."""
        return self._attached_id

    def _get_attached(self) -> _StreamState | None:
        if self._attached_id is None:
            return None
        return self._streams[self._attached_id]

    def set_hosts(
        self, hosts: Collection[str], preferred_hosts: frozenset[str]
    ) -> None:
        """Replace the control hosts and those to return to."""
        self._hosts = frozenset(hosts)
        self._preferred_hosts = preferred_hosts & self._hosts
        self._failed_at = {
            host: failed_at
            for host, failed_at in self._failed_at.items()
            if host in self._hosts
        }

    # What happens on the streams.

    def record_open(self, now: datetime, stream_id: int) -> None:
        """Record that a stream is open and may be used."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.next_ping_at = now

    def record_message(
        self, now: datetime, stream_id: int, view_index: int
    ) -> None:
        """Record a message; ``view_index`` is that of the node's view."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return
        if stream.unanswered_since is not None:
            stream.unanswered_since = now
        self._apply_confirmation(stream, view_index)

    def record_pong(
        self,
        now: datetime,
        stream_id: int,
        sent_at: datetime,
        age: timedelta,
        index: int,
        view_index: int,
    ) -> None:
        """Record the answer to the ping that was sent at ``sent_at``.

        It confirms the configuration of log index ``index``, as of ``age``
        before it, once the node's view has reached that index.
        """
        stream = self._streams.get(stream_id)
        if stream is None:
            return
        stream.answered = True
        stream.unanswered_since = None
        stream.reported_age = age
        if age <= MAX_CONFIRMATION_AGE:
            stream.pending_confirmation = (min(now, sent_at) - age, index)
        self._apply_confirmation(stream, view_index)

    @staticmethod
    def _apply_confirmation(stream: _StreamState, view_index: int) -> None:
        pending = stream.pending_confirmation
        if pending is not None and pending[1] <= view_index:
            stream.confirmed_at = pending[0]
            stream.pending_confirmation = None

    def record_end(self, now: datetime, stream_id: int) -> None:
        """Record that a stream has ended, or couldn't be opened."""
        stream = self._streams.pop(stream_id, None)
        if stream is None:
            return
        if stream_id != self._attached_id:
            self._failed_at[stream.host] = now
            return
        self._attached_id = None
        if now - stream.started_at < ATTEMPT_TIMEOUT:
            self._failed_at[stream.host] = now
        self._next_attempt_at = now + self._draw_duration(
            RECONNECT_DELAY_MIN, RECONNECT_DELAY_MAX
        )

    def _draw_duration(
        self, shortest: timedelta, longest: timedelta
    ) -> timedelta:
        return shortest + self._rng.random() * (longest - shortest)

    # Decisions.

    def check(self, now: datetime) -> tuple[SelectionAction, ...]:
        """Return what to do now, and update ``next_check_at``."""
        lateness = now - self.next_check_at
        if lateness > timedelta(0):
            for stream in self._streams.values():
                stream.shift(lateness)
        actions = (
            *self._attach_best(now),
            *self._end_attempts(now),
            *self._start_attempt(now),
            *self._send_pings(now),
        )
        self.next_check_at = self._find_next_check(now)
        return actions

    def _is_served(self, now: datetime) -> bool:
        """Return whether the attached host confirms the configuration."""
        attached = self._get_attached()
        return (
            attached is not None
            and attached.find_state(now) is HostState.CONFIRMING
        )

    def _attach_best(self, now: datetime) -> tuple[SelectionAction, ...]:
        """Attach to a host that shows more than the attached one."""
        attached = self._get_attached()
        former_state = (
            attached.find_state(now) if attached else HostState.SILENT
        )
        best = max(
            self._streams.values(),
            key=lambda stream: self._rate(now, stream),
            default=None,
        )
        if best is None or best is attached:
            return ()
        state = best.find_state(now)
        if state is HostState.SILENT:
            return ()
        if attached is not None and (
            self._rate(now, best) <= self._rate(now, attached)
        ):
            return ()
        self._attached_id = best.stream_id
        self._failed_at.pop(best.host, None)
        attach = Attach(
            best.stream_id,
            best.host,
            state,
            attached.host if attached else "",
            former_state,
        )
        if attached is None:
            return (attach,)
        if former_state is not HostState.CONFIRMING:
            self._failed_at[attached.host] = now
        return (attach, self._close(now, attached))

    def _rate(
        self, now: datetime, stream: _StreamState
    ) -> tuple[HostState, bool]:
        """Return a value that is greater for a better stream."""
        state = stream.find_state(now)
        is_preferred = (
            state is HostState.CONFIRMING
            and stream.host in self._preferred_hosts
        )
        return state, is_preferred

    def _close(self, now: datetime, stream: _StreamState) -> CloseStream:
        del self._streams[stream.stream_id]
        if stream.stream_id == self._attached_id:
            self._attached_id = None
        return CloseStream(
            stream.stream_id, stream.host, stream.find_state(now)
        )

    def _end_attempts(self, now: datetime) -> tuple[SelectionAction, ...]:
        """Give up attempts that take too long or aren't needed any more."""
        is_served = self._is_served(now)
        attached = self._get_attached()
        actions = []
        for stream in tuple(self._streams.values()):
            if stream is attached:
                continue
            is_over = now - stream.started_at >= ATTEMPT_TIMEOUT
            is_needed = not is_served or self._may_switch_to(stream.host)
            if is_over:
                self._failed_at[stream.host] = now
            if is_over or not is_needed:
                actions.append(self._close(now, stream))
        if is_served:
            self._attempt_count = 0
            self._next_attempt_at = now
        return tuple(actions)

    def _may_switch_to(self, host: str) -> bool:
        """Return whether a host is preferred to the attached one."""
        return (
            host in self._preferred_hosts
            and self.attached_host not in self._preferred_hosts
        )

    def _start_attempt(self, now: datetime) -> tuple[SelectionAction, ...]:
        if self._is_served(now):
            if not self._is_preferred_due(now):
                return ()
            self._preferred_tried_at = now
            return self._open(now, self._choose_host(self._preferred_hosts))
        if now < self._next_attempt_at:
            return ()
        if self._preferred_hosts:
            self._preferred_tried_at = now
        self._attempt_count += 1
        self._next_attempt_at = now + self._draw_attempt_interval(now)
        host = self._choose_host(self._hosts)
        return self._open(now, host) or self._reopen_attached(now)

    def _is_preferred_due(self, now: datetime) -> bool:
        return (
            bool(self._preferred_hosts)
            and self.attached_host not in self._preferred_hosts
            and now - self._preferred_tried_at >= PREFERRED_HOST_RETRY_INTERVAL
        )

    def _draw_attempt_interval(self, now: datetime) -> timedelta:
        """Return the time to the next attempt."""
        interval = self._draw_duration(
            ATTEMPT_INTERVAL_MIN, ATTEMPT_INTERVAL_MAX
        )
        doublings = max(0, self._attempt_count - ATTEMPTS_FAST)
        factor: int = 1 << min(doublings, ATTEMPT_DOUBLINGS_MAX)
        attached = self._get_attached()
        is_silent = (
            attached is None or attached.find_state(now) is HostState.SILENT
        )
        longest = (
            SILENT_ATTEMPT_BACKOFF_MAX if is_silent else ATTEMPT_BACKOFF_MAX
        )
        return min(interval * factor, longest)

    def _choose_host(self, hosts: frozenset[str]) -> str | None:
        """Return the host to try next, None if each has a stream.

        Those that have failed within FAILURE_MEMORY come last, the latest
        failure at the end, and otherwise the preferred hosts come first.
        """
        names = sorted(hosts - {s.host for s in self._streams.values()})
        self._rng.shuffle(names)
        return min(names, key=self._rank_host, default=None)

    def _rank_host(self, host: str) -> tuple[bool, datetime, bool]:
        is_other = host not in self._preferred_hosts
        failed_at = self._failed_at.get(host)
        if failed_at is None:
            return False, self._started_at, is_other
        return True, failed_at, is_other

    def _open(
        self, now: datetime, host: str | None
    ) -> tuple[SelectionAction, ...]:
        if host is None:
            return ()
        self._forget_failures(now)
        self._last_stream_id += 1
        stream = _StreamState(self._last_stream_id, host, now)
        self._streams[stream.stream_id] = stream
        return (OpenStream(stream.stream_id, host),)

    def _reopen_attached(self, now: datetime) -> tuple[SelectionAction, ...]:
        """Replace a silent stream to the attached host by a new one.

        A connection may be dead while its host is alive. A control host
        serves only the newest stream of a node, so both can't be kept.
        """
        attached = self._get_attached()
        if (
            attached is None
            or attached.host not in self._hosts
            or attached.unanswered_since is None
            or now - attached.unanswered_since < UPLINK_TIMEOUT
        ):
            return ()
        return (
            self._close(now, attached),
            *self._open(now, attached.host),
        )

    def _forget_failures(self, now: datetime) -> None:
        for host, failed_at in tuple(self._failed_at.items()):
            if now - failed_at > FAILURE_MEMORY:
                del self._failed_at[host]

    def _send_pings(self, now: datetime) -> tuple[SelectionAction, ...]:
        actions = []
        for stream in self._streams.values():
            if stream.next_ping_at is not None and now >= stream.next_ping_at:
                stream.next_ping_at = now + NODE_PING_INTERVAL
                if stream.unanswered_since is None:
                    stream.unanswered_since = now
                actions.append(SendPing(stream.stream_id))
        return tuple(actions)

    def _find_next_check(self, now: datetime) -> datetime:
        times = [now + NODE_PING_INTERVAL]
        for stream in self._streams.values():
            times += stream.list_due_times(
                attached=stream.stream_id == self._attached_id
            )
        if not self._is_served(now):
            times.append(self._next_attempt_at)
        elif self.attached_host not in self._preferred_hosts:
            times.append(
                self._preferred_tried_at + PREFERRED_HOST_RETRY_INTERVAL
            )
        later = [time for time in times if time > now]
        return min(later)
