"""Tests of repairs of the group of control hosts."""

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
LOST: Final = NOW - timedelta(seconds=3)


def build_status(
    voters: str,
    *,
    lost: str = "",
    waiting: tuple[ReplicaId, ...] = (),
    incoming: ReplicaId | None = None,
    incoming_acked: datetime | None = NOW,
    outgoing: ReplicaId | None = None,
) -> ReplicaStatus:
    """Return the status of a leader on host "a"; hosts are letters."""
    ids = tuple(ReplicaId(host, f"{host}1") for host in voters)
    acked: list[tuple[str, datetime | None]] = [
        (host, LOST if host in lost else NOW) for host in voters if host != "a"
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
    """Guards against groups that stay weak and hosts thrown out early."""

    def test_repair_of_each_state(self) -> None:
        new = ReplicaId("x", "x1")
        wiped = ReplicaId("c", "c2")
        cases: dict[str, tuple[ReplicaStatus, RepairStep | None]] = {
            "all well": (build_status("abcde"), None),
            "wiped": (
                build_status("abcde", waiting=(wiped,)),
                Exchange("c", "c"),
            ),
            "wiped before new": (
                build_status("abcde", waiting=(new, wiped)),
                Exchange("c", "c"),
            ),
            "new for a lost one": (
                build_status("abcde", lost="d", waiting=(new,)),
                Exchange("d", "x"),
            ),
            "new beside all": (
                build_status("abc", waiting=(new,)),
                Exchange("", "x"),
            ),
            "no room": (build_status("abcdefg", waiting=(new,)), None),
            "lost without successor": (build_status("abcde", lost="d"), None),
            "lost one of six": (build_status("abcdef", lost="d"), Retire("d")),
            "learner well": (build_status("abc", incoming=new), None),
            "learner wiped": (
                build_status(
                    "abc",
                    incoming=new,
                    waiting=(ReplicaId("x", "x2"),),
                ),
                Exchange("x", "x"),
            ),
            "one leaves": (
                build_status("abcde", outgoing=ReplicaId("c", "c1")),
                None,
            ),
        }
        for name, (status, expected) in cases.items():
            with self.subTest(name=name):
                planner = RepairPlanner(EPOCH)
                self.assertEqual(planner.decide(NOW, status), expected)

    def test_a_new_leader_gives_every_host_time_to_answer(self) -> None:
        status = build_status("abcdef", lost="d")
        planner = RepairPlanner(NOW)
        self.assertIsNone(planner.decide(NOW, status))
        later = NOW + timedelta(seconds=2.1)
        self.assertIsNotNone(planner.decide(later, status))

    def test_no_host_joins_beside_one_that_may_be_lost(self) -> None:
        new = ReplicaId("x", "x1")
        status = build_status("abc", lost="b", waiting=(new,))
        planner = RepairPlanner(NOW)
        self.assertIsNone(planner.decide(NOW, status))
        later = NOW + timedelta(seconds=2.1)
        self.assertEqual(planner.decide(later, status), Exchange("b", "x"))

    def test_gives_up_a_silent_learner(self) -> None:
        new = ReplicaId("x", "x1")
        status = build_status("abc", incoming=new, incoming_acked=None)
        planner = RepairPlanner(EPOCH)
        self.assertIsNone(planner.decide(NOW, status))
        later = NOW + timedelta(seconds=2.1)
        self.assertEqual(planner.decide(later, status), GiveUp())


if __name__ == "__main__":
    unittest.main()
