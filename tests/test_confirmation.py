"""Tests of how soon nodes have a lease again after an election."""

import asyncio
import tempfile
import unittest
from datetime import datetime, timedelta
from random import Random
from typing import Final
from unittest import mock

from sequoiaseam import _replica_runner
from sequoiaseam._clock import ManualClock, ProcessClock
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._feed import FeedSource, Ping, Pong
from sequoiaseam._members import MemberReport
from sequoiaseam._replica import ReplicaConfig
from sequoiaseam._replica_messages import Role, RoleChanged
from sequoiaseam._replica_runner import (
    Confirmation,
    JournalOpener,
    ReplicaHooks,
    ReplicaRunner,
)
from sequoiaseam._sessions import NodeSession, NodeSessions, SessionHooks
from sequoiaseam._state import FleetState
from sequoiaseam.const import CONFIGURATION_LEASE

WAIT_LIMIT_SECONDS: Final = 20.0
MEMBER: Final = Member(
    *("node", 1, "127.0.0.1", 1, "store", "domain-1", "south"),
    state=MemberState.SERVING,
)


class SessionTest(unittest.TestCase):
    """Guards against nodes that wait for their next ping for a lease."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.confirmation: Confirmation | None = None
        self.sessions = NodeSessions(
            FeedSource(FleetState()),
            self.clock,
            SessionHooks(lambda: self.confirmation, lambda *_: None),
        )
        self.session = NodeSession(
            "node", MemberReport(MEMBER, 1), 0, self.clock.now()
        )
        self.sessions._sessions["node"] = self.session

    def take_pongs(self) -> list[Pong]:
        """Return the pongs sent to the node since the last call."""
        queue = self.session.send_queue
        return [queue.get_nowait() for _ in range(queue.qsize())]

    def confirm(self, requested_at: datetime) -> None:
        """Confirm the configuration."""
        self.confirmation = Confirmation(7, requested_at)
        self.sessions.answer_waiting_pings()

    def test_a_ping_before_the_confirmation_is_answered_with_it(self) -> None:
        stale = Confirmation(5, self.clock.now() - CONFIGURATION_LEASE)
        for name, before in (("none", None), ("stale", stale)):
            with self.subTest(confirmation=name):
                self.confirmation = before
                ping = Ping(self.clock.now(), 0)
                self.sessions._receive(self.session, ping)
                self.assertEqual(len(self.take_pongs()), 1)
                now = self.clock.advance(timedelta(milliseconds=300))
                self.confirm(now)
                self.assertEqual(
                    self.take_pongs(), [Pong(ping.sent, 7, timedelta(0))]
                )

    def test_a_ping_is_answered_again_only_once(self) -> None:
        self.sessions._receive(self.session, Ping(self.clock.now(), 0))
        self.confirm(self.clock.now())
        self.take_pongs()
        self.confirm(self.clock.now())
        self.sessions._receive(self.session, Ping(self.clock.now(), 0))
        self.confirm(self.clock.now())
        self.assertEqual(len(self.take_pongs()), 1)


class ElectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against leaders that wait before they confirm."""

    async def test_an_election_is_followed_by_a_confirmation(self) -> None:
        confirmed = asyncio.Event()
        roles: list[Role] = []

        def record_role(change: RoleChanged) -> None:
            roles.append(change.role)

        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(
                _replica_runner, "CONFIRM_INTERVAL", timedelta(hours=1)
            ),
        ):
            runner = ReplicaRunner(
                JournalOpener(folder, lambda: "identity"),
                ReplicaConfig("one", ("one",)),
                ProcessClock(),
                Random(1),
                ReplicaHooks(
                    send=ignore,
                    apply=ignore,
                    dump=lambda: b"",
                    load=ignore,
                    on_role_change=record_role,
                    restore=ignore,
                    on_confirmed=confirmed.set,
                ),
            )
            await runner.start()
            async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                await confirmed.wait()
            self.assertEqual(roles[-1], Role.LEADER)
            await runner.close()


def ignore(*_: object) -> None:
    """Do nothing."""


if __name__ == "__main__":
    unittest.main()
