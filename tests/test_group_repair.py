"""Tests of the automatic repair of the replica group."""

import unittest
from datetime import datetime, timedelta
from typing import Final

from sequoiaseam._clock import EPOCH
from sequoiaseam._group_repair import (
    Exchange,
    GiveUp,
    RepairPlanner,
    RepairStep,
    Retire,
)
from sequoiaseam._replica_messages import (
    Membership,
    ReplicaId,
    ReplicaStatus,
    Role,
)

NOW: Final = EPOCH + timedelta(seconds=60)
LOST_AT: Final = NOW - timedelta(seconds=3)


def build_status(
    voters: str,
    *,
    lost_hosts: str = "",
    waiting: tuple[ReplicaId, ...] = (),
    incoming: ReplicaId | None = None,
    incoming_acked: datetime | None = NOW,
    outgoing: ReplicaId | None = None,
) -> ReplicaStatus:
    """Return the status of a leader on host "a".

    Each letter of ``voters`` and ``lost_hosts`` names a host.
    """
    ids = tuple(ReplicaId(host, f"{host}1") for host in voters)
    acked: list[tuple[str, datetime | None]] = [
        (host, LOST_AT if host in lost_hosts else NOW)
        for host in voters
        if host != "a"
    ]
    if incoming is not None:
        acked.append((incoming.host, incoming_acked))
    return ReplicaStatus(
        replica=ids[0],
        role=Role.LEADER,
        term=1,
        leader="a",
        failed=False,
        commit_index=9,
        last_index=9,
        snapshot_index=0,
        membership=Membership(ids, incoming, outgoing),
        match_indexes=(),
        acked_at=tuple(acked),
        waiting=waiting,
    )


class RepairPlannerTest(unittest.TestCase):
    """Guards against a degraded group and hosts removed too early."""

    def test_repair_step_for_each_status(self) -> None:
        new_replica = ReplicaId("x", "x1")
        wiped_replica = ReplicaId("c", "c2")
        cases: dict[str, tuple[ReplicaStatus, RepairStep | None]] = {
            "all voters respond": (build_status("abcde"), None),
            "wiped voter": (
                build_status("abcde", waiting=(wiped_replica,)),
                Exchange("c", "c"),
            ),
            "wiped voter before new host": (
                build_status("abcde", waiting=(new_replica, wiped_replica)),
                Exchange("c", "c"),
            ),
            "new host for a lost voter": (
                build_status("abcde", lost_hosts="d", waiting=(new_replica,)),
                Exchange("d", "x"),
            ),
            "new host as additional voter": (
                build_status("abc", waiting=(new_replica,)),
                Exchange("", "x"),
            ),
            "group is full": (
                build_status("abcdefg", waiting=(new_replica,)),
                None,
            ),
            "lost voter of an odd group": (
                build_status("abcde", lost_hosts="d"),
                None,
            ),
            "lost voter of an even group": (
                build_status("abcdef", lost_hosts="d"),
                Retire("d"),
            ),
            "learner responds": (
                build_status("abc", incoming=new_replica),
                None,
            ),
            "wiped learner": (
                build_status(
                    "abc",
                    incoming=new_replica,
                    waiting=(ReplicaId("x", "x2"),),
                ),
                Exchange("x", "x"),
            ),
            "voter is being replaced": (
                build_status("abcde", outgoing=ReplicaId("c", "c1")),
                None,
            ),
        }
        for name, (status, expected) in cases.items():
            with self.subTest(name=name):
                planner = RepairPlanner(EPOCH)
                self.assertEqual(planner.decide(NOW, status), expected)

    def test_new_leader_grants_every_voter_the_full_timeout(self) -> None:
        status = build_status("abcdef", lost_hosts="d")
        planner = RepairPlanner(NOW)
        self.assertIsNone(planner.decide(NOW, status))
        later = NOW + timedelta(seconds=2.1)
        self.assertIsNotNone(planner.decide(later, status))

    def test_new_host_waits_while_a_voter_may_be_lost(self) -> None:
        new_replica = ReplicaId("x", "x1")
        status = build_status("abc", lost_hosts="b", waiting=(new_replica,))
        planner = RepairPlanner(NOW)
        self.assertIsNone(planner.decide(NOW, status))
        later = NOW + timedelta(seconds=2.1)
        self.assertEqual(planner.decide(later, status), Exchange("b", "x"))

    def test_unresponsive_learner_is_removed(self) -> None:
        new_replica = ReplicaId("x", "x1")
        status = build_status("abc", incoming=new_replica, incoming_acked=None)
        planner = RepairPlanner(EPOCH)
        self.assertIsNone(planner.decide(NOW, status))
        later = NOW + timedelta(seconds=2.1)
        self.assertEqual(planner.decide(later, status), GiveUp())


if __name__ == "__main__":
    unittest.main()
