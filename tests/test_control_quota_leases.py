"""Test of the quota leases between control hosts over loopback."""

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path
from random import Random
from typing import Any, Final

from bench.processes import find_free_ports

from sequoiaseam._clock import EPOCH, ProcessClock
from sequoiaseam._commands import EditTables
from sequoiaseam._control import Control
from sequoiaseam._members import MemberReport
from sequoiaseam._quota_leases import SHARDS
from sequoiaseam._quota_messages import QuotaAsk, QuotaGrant
from sequoiaseam._sessions import NodeSession
from sequoiaseam._settings import ControlSettings, Endpoint
from sequoiaseam._tables import Tables, Workspace
from tests.builders import build_member

HOST: Final = "127.0.0.1"
WAIT_LIMIT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05
FOREVER: Final = EPOCH + timedelta(days=100_000)
WORKSPACES: Final = {
    f"w{number}": Workspace(f"w{number}", 50.0, 50) for number in range(20)
}


class ControlLeaseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against leases and asks that are lost between the hosts."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        endpoints = {
            f"control-{number}": Endpoint(HOST, port)
            for number, port in enumerate(find_free_ports(3))
        }
        self.controls = {
            name: Control(
                ControlSettings(
                    name=name,
                    domain="north",
                    region="south",
                    data=Path(folder.name) / name,
                    listen=endpoint,
                    replicas=endpoints,
                    secrets=None,
                    quota_leases=True,
                ),
                ProcessClock(),
                Random(name),
            )
            for name, endpoint in endpoints.items()
        }
        for control in self.controls.values():
            await control.start()

    async def asyncTearDown(self) -> None:
        for control in self.controls.values():
            await control.close()

    async def wait_for(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    def find_leader(self) -> str | None:
        leaders = {control.leader for control in self.controls.values()}
        return leaders.pop() if len(leaders) == 1 else None

    def count_held(self, name: str) -> int:
        fields = self.controls[name].describe_state()
        return int(str(fields["quota_lease_shards"]))

    async def test_followers_hold_leases_and_answer_asks(self) -> None:
        await self.wait_for(self.find_leader)
        leader = self.find_leader()
        assert leader is not None
        runner = self.controls[leader]._replica_runner
        tables = Tables(workspaces=WORKSPACES)
        await runner.propose(EditTables("edit", "operator", 0, tables))
        for number in range(60):
            self.add_session(leader, f"m{number}", FOREVER)
        followers = sorted(self.controls.keys() - {leader})
        await self.wait_for(
            lambda: sum(map(self.count_held, followers)) == SHARDS
        )
        self.assertEqual(
            [self.count_held(name) for name in (leader, *followers)],
            [0, SHARDS // 2, SHARDS // 2],
        )
        for name, control in self.controls.items():
            grants = await self.ask_all(name, control)
            self.assertEqual(set(grants), set(WORKSPACES))

    def add_session(
        self, name: str, node: str, last_received_at: datetime
    ) -> NodeSession:
        """Add the session of a node, reported while it was active lately."""
        report = MemberReport(build_member(node))
        session = NodeSession(node, report, 0, last_received_at)
        self.controls[name]._sessions._sessions[node] = session
        return session

    async def ask_all(
        self, name: str, control: Control
    ) -> dict[str, QuotaGrant]:
        """Ask one host for a token of each workspace until all are given."""
        grants: dict[str, QuotaGrant] = {}
        node = f"node-{name}"
        session = self.add_session(name, node, EPOCH)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            ask_id = 0
            while len(grants) < len(WORKSPACES):
                ask_id += 1
                for workspace in WORKSPACES.keys() - grants.keys():
                    ask = QuotaAsk(node, 1, workspace, ask_id, 1, 1, 1, 0)
                    control._forward_to_leader(node, ask)
                await asyncio.sleep(POLL_SECONDS)
                while not session.send_queue.empty():
                    message = session.send_queue.get_nowait()
                    if isinstance(message, QuotaGrant) and message.tokens:
                        grants[message.workspace] = message
        return grants


if __name__ == "__main__":
    unittest.main()
