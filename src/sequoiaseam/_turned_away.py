"""Count and log of callers whose requests or connections aren't served."""

from typing import Final

from sequoiaseam._clock import Clock
from sequoiaseam._logs import Level, RateLimitedLog

# Reasons, which are labels of the metric. Requests that are refused before
# they are complete have the status of their response as reason.
TOO_MANY_CONNECTIONS: Final = "connections"
CLOSED_IDLE: Final = "idle"
STALLED: Final = "stalled"
UNPROVEN: Final = "unproven"


class TurnedAwayCallers:
    """Callers of one listener that were turned away, by reason."""

    def __init__(self, listener: str, clock: Clock) -> None:
        self.listener = listener
        self._log = RateLimitedLog(clock)
        self._counts: dict[str, int] = {}

    def record(self, reason: str, **details: object) -> None:
        """Count a caller, and log it unless there are too many lines."""
        self.count(reason)
        self._log.log(
            Level.INFO,
            "caller turned away",
            listener=self.listener,
            reason=reason,
            **details,
        )

    def record_malformed(self, status: int, cause: str) -> None:
        """Do the same for a malformed request that got this status."""
        self.count(f"status_{status}")
        self._log.log(
            Level.INFO,
            "malformed request refused",
            listener=self.listener,
            status=status,
            reason=cause,
        )

    def count(self, reason: str) -> None:
        """Count a caller whose log line is written elsewhere."""
        self._counts[reason] = self._counts.get(reason, 0) + 1

    def get_count(self, reason: str) -> int:
        """Return how many callers were turned away for a reason."""
        return self._counts.get(reason, 0)

    def format_metrics(self) -> bytes:
        """Return counters in the text format of Prometheus."""
        lines = [
            "sequoiaseam_callers_turned_away_total"
            f'{{listener="{self.listener}",reason="{reason}"}} {count}\n'
            for reason, count in sorted(self._counts.items())
        ]
        return "".join(lines).encode()
