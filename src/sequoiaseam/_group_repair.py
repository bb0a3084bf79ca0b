"""Repair of the group of control hosts without an operator.

The leader looks at its replicas and at the empty ones that wait: a wiped
host takes the place of its former self, a new one that of a host that is
lost, or joins beside the others once all of them answer. A group of an even
number lets go of a lost host, because it needs as many hosts as the next
larger odd one.
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

# A host that is suspended or cut off for less than this keeps its place;
# a replaced one must be back at full strength within 4 s.
LOST_AFTER: Final = timedelta(seconds=2)
# A voter that has answered within this time is there. Beside one that may be
# lost, a new host would raise the quorum without adding a vote to spare.
SOUND_WITHIN: Final = 3 * HEARTBEAT_INTERVAL
# A learner that doesn't answer for this long is let go.
LEARNER_TIMEOUT: Final = timedelta(seconds=2)
# Largest group that an empty host may enlarge.
VOTERS_MAX: Final = 7


@dataclass(frozen=True, slots=True)
class Exchange:
    """Let the waiting replica on ``new`` take the place of ``old``.

    Without ``old`` it joins the others.
    """

    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Retire:
    """Remove the voter on a host."""

    host: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Let go of the learner."""


RepairStep = Exchange | Retire | GiveUp


class GroupRepairer:
    """Decide the next repair of a group, one at a time."""

    def __init__(self, now: datetime) -> None:
        self._began = now
        self._change_since: datetime | None = None

    def decide(
        self, now: datetime, status: ReplicaStatus
    ) -> RepairStep | None:
        """Return the repair to start now, if any."""
        membership = status.membership
        if membership is None:
            return None
        if membership.incoming is not None:
            return self._decide_learner(now, status, membership.incoming)
        self._change_since = None
        if membership.outgoing is not None:
            return None
        return self._decide_waiting(now, status, membership)

    def _decide_learner(
        self,
        now: datetime,
        status: ReplicaStatus,
        incoming: ReplicaId,
    ) -> RepairStep | None:
        """Exchange a learner that was wiped; give up a silent one."""
        if self._change_since is None:
            self._change_since = now
        if any(one.host == incoming.host for one in status.waiting):
            return Exchange(incoming.host, incoming.host)
        acked = dict(status.acked_at).get(incoming.host)
        heard = max(acked or self._change_since, self._change_since)
        return GiveUp() if now - heard > LEARNER_TIMEOUT else None

    def _decide_waiting(
        self,
        now: datetime,
        status: ReplicaStatus,
        membership: Membership,
    ) -> RepairStep | None:
        hosts = {one.host for one in membership.voters}
        for one in status.waiting:
            if one.host in hosts:
                return Exchange(one.host, one.host)
        lost = self._find_lost(now, status, membership)
        if status.waiting:
            new = status.waiting[0].host
            if lost:
                return Exchange(lost[0], new)
            room = len(membership.voters) < VOTERS_MAX
            if room and self._are_sound(now, status, membership):
                return Exchange("", new)
        if lost and not len(membership.voters) % 2:
            return Retire(lost[0])
        return None

    @staticmethod
    def _are_sound(
        now: datetime,
        status: ReplicaStatus,
        membership: Membership,
    ) -> bool:
        """Return whether all voters have answered lately."""
        acked = dict(status.acked_at)
        others = [one for one in membership.voters if one != status.replica]
        heard = [acked.get(one.host) for one in others]
        return all(at is not None and now - at <= SOUND_WITHIN for at in heard)

    def _find_lost(
        self,
        now: datetime,
        status: ReplicaStatus,
        membership: Membership,
    ) -> list[str]:
        """Return the hosts of silent voters, the longest silent first."""
        acked = dict(status.acked_at)
        heard = {
            one.host: max(acked.get(one.host) or self._began, self._began)
            for one in membership.voters
            if one != status.replica
        }
        lost = [h for h, at in heard.items() if now - at > LOST_AFTER]
        return sorted(lost, key=lambda host: heard[host])
