"""Decision when another process counts as silent."""

from datetime import datetime, timedelta


class SilenceTimer:
    """Tells whether another process has sent nothing for a timeout.

    A check that comes late counts as one interval: while the event loop was
    late, messages may have come that it hasn't read yet, and none were sent
    that the other process could have answered.
    """

    def __init__(
        self, now: datetime, check_interval: timedelta, timeout: timedelta
    ) -> None:
        self._check_interval = check_interval
        self._timeout = timeout
        self.restart(now)

    def restart(self, now: datetime) -> None:
        """Record that something was received, or that a connection opened."""
        self._silent_since = self._checked_at = now

    def check(self, now: datetime) -> bool:
        """Return whether the timeout is over.

        Must be called once per interval, unless ``restart`` is.
        """
        lateness = now - self._checked_at - self._check_interval
        self._checked_at = now
        if lateness > timedelta(0):
            self._silent_since += lateness
        return now - self._silent_since > self._timeout
