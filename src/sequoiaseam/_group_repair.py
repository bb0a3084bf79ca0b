"""Automatic repair of the replica group on the control hosts.

The leader compares the group's voters with the replicas that wait to
join: empty ones, and those that were removed while they were lost. A
wiped host that comes back replaces its own former replica. Another one
replaces the host that has been lost longest, or joins as an additional
voter while all voters respond. If no replica waits, a group
with an even number of voters removes a lost one, because its quorum is
as large as that of the next larger odd group.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._replica_messages import (
    Membership,
    ReplicaId,
    ReplicaStatus,
)
from sequoiaseam.const import HEARTBEAT_INTERVAL

# A voter that doesn't answer for longer counts as lost. This is shorter than
# ELECTION_TIMEOUT_MAX, after which a leader without a majority steps down: if
# a split follows the loss, the leader can still remove the voter, which counts
# for the majority until then. A host that was lost for a short time joins
# again.
VOTER_TIMEOUT: Final = timedelta(seconds=1)
# A voter that has answered within this time is responsive. A new host isn't
# added while a voter may be lost, because it would raise the quorum without
# tolerating one more failure.
RESPONSIVE_WINDOW: Final = 3 * HEARTBEAT_INTERVAL
# A learner that doesn't answer for longer is removed.
LEARNER_TIMEOUT: Final = timedelta(seconds=2)
# A new host isn't added to a group that has this many voters already.
VOTER_COUNT_MAX: Final = 7


@dataclass(frozen=True, slots=True)
class Exchange:
    """Replace the replica on ``old`` by the one that waits on ``new``.

    If ``old`` is empty, the new replica joins as an additional voter.
    """

    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Retire:
    """Remove the voter on a host without a replacement."""

    host: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Remove the learner and end its replacement."""


RepairStep = Exchange | Retire | GiveUp


class RepairPlanner:
    """Decide the next repair step of a group, one at a time.

    ``now`` is the start of this host's leadership. Voters count as heard
    then, so that each has VOTER_TIMEOUT to answer the new leader.
    """

    def __init__(self, now: datetime) -> None:
        self._started_at = now
        self._learner_since: datetime | None = None

    def decide(
        self, now: datetime, status: ReplicaStatus
    ) -> RepairStep | None:
        """Return the repair step to start now, if any."""
        membership = status.membership
        if membership is None:
            return None
        if membership.incoming is not None:
            return self._decide_learner_repair(
                now, status, membership.incoming
            )
        self._learner_since = None
        if membership.outgoing is not None:
            return None
        return self._decide_voter_repair(now, status, membership)

    def _decide_learner_repair(
        self,
        now: datetime,
        status: ReplicaStatus,
        incoming: ReplicaId,
    ) -> RepairStep | None:
        """Replace a learner that was wiped; remove an unresponsive one."""
        if self._learner_since is None:
            self._learner_since = now
        if any(replica.host == incoming.host for replica in status.waiting):
            return Exchange(incoming.host, incoming.host)
        acked_at = dict(status.acked_at).get(incoming.host)
        heard_at = max(acked_at or self._learner_since, self._learner_since)
        return GiveUp() if now - heard_at > LEARNER_TIMEOUT else None

    def _decide_voter_repair(
        self,
        now: datetime,
        status: ReplicaStatus,
        membership: Membership,
    ) -> RepairStep | None:
        hosts = {voter.host for voter in membership.voters}
        for replica in status.waiting:
            if replica.host in hosts:
                return Exchange(replica.host, replica.host)
        lost_hosts = self._find_lost_hosts(now, status, membership)
        if status.waiting:
            new_host = status.waiting[0].host
            if lost_hosts:
                return Exchange(lost_hosts[0], new_host)
            has_room = len(membership.voters) < VOTER_COUNT_MAX
            if has_room and self._are_responsive(now, status, membership):
                return Exchange("", new_host)
        if lost_hosts and not len(membership.voters) % 2:
            return Retire(lost_hosts[0])
        return None

    @staticmethod
    def _are_responsive(
        now: datetime,
        status: ReplicaStatus,
        membership: Membership,
    ) -> bool:
        """Return whether all other voters have answered recently."""
        acked_at = dict(status.acked_at)
        others = [
            voter for voter in membership.voters if voter != status.replica
        ]
        times = [acked_at.get(voter.host) for voter in others]
        return all(
            time is not None and now - time <= RESPONSIVE_WINDOW
            for time in times
        )

    def _find_lost_hosts(
        self,
        now: datetime,
        status: ReplicaStatus,
        membership: Membership,
    ) -> list[str]:
        """Return the hosts of lost voters, the longest lost first."""
        acked_at = dict(status.acked_at)
        heard_at = {
            voter.host: max(
                acked_at.get(voter.host) or self._started_at, self._started_at
            )
            for voter in membership.voters
            if voter != status.replica
        }
        lost = [
            h for h, time in heard_at.items() if now - time > VOTER_TIMEOUT
        ]
        return sorted(lost, key=lambda host: heard_at[host])
