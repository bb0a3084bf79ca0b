"""Tests of a node's choice of its control host."""

import asyncio
import unittest
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final

from sequoiaseam._access import Identity, TrustedNetwork
from sequoiaseam._clock import Clock, ProcessClock
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._control_messages import (
    ATTACH_PATH,
    ControlHosts,
    NodeHello,
    create_control_codec,
)
from sequoiaseam._feed import Ping, Pong
from sequoiaseam._host_node import find_local_hosts
from sequoiaseam._members import MemberReport
from sequoiaseam._replica_runner import CONFIRM_INTERVAL
from sequoiaseam._rpc import CONNECT_TIMEOUT_SECONDS, RpcServer, Stream
from sequoiaseam._settings import Endpoint
from sequoiaseam._tasks import TaskGroup
from sequoiaseam._uplink import (
    MAX_CONFIRMATION_AGE,
    MAX_RECONNECT_DELAY_SECONDS,
    Uplink,
    UplinkHooks,
)
from sequoiaseam.const import NODE_PING_INTERVAL, UPLINK_TIMEOUT
from tests.hosts import LOCALHOST

WAIT_LIMIT_SECONDS: Final = 20.0
STALE_AGE: Final = timedelta(days=1)


def create_hello() -> NodeHello:
    """Return the subscription of a node without a backend server."""
    member = Member(
        *("node", 1, LOCALHOST, 1, "", "domain-1", "south"),
        state=MemberState.JOINING,
    )
    return NodeHello(MemberReport(member, 1), 0)


def create_ping(now: datetime) -> Ping:
    """Return a ping of a node without any state."""
    return Ping(now, 0)


class SuspendedClock:
    """A process clock after a time in which the process didn't run."""

    def __init__(self) -> None:
        self._clock = ProcessClock()
        self.suspension = timedelta(0)

    def now(self) -> datetime:
        """Return the time including the suspension."""
        return self._clock.now() + self.suspension


class ScriptedControlHost:
    """A control host that answers pings with a confirmation of any age."""

    def __init__(self) -> None:
        self.confirmation_age = timedelta(0)
        self.answers = True
        self.attached = asyncio.Event()
        self.attached_count = 0
        self._server = RpcServer(
            TrustedNetwork("control"),
            ProcessClock(),
            create_control_codec(),
            {ATTACH_PATH: self._serve},
        )

    async def start(self) -> Endpoint:
        """Listen on an ephemeral port and return the address."""
        await self._server.start(LOCALHOST, 0)
        assert self._server._listener is not None
        return Endpoint(LOCALHOST, self._server._listener.port)

    async def close(self) -> None:
        """Close all streams."""
        await self._server.close()

    async def _serve(self, stream: Stream, _: Identity) -> None:
        self.attached_count += 1
        self.attached.set()
        async for message in stream:
            if isinstance(message, Ping) and self.answers:
                await stream.send_message(
                    Pong(message.sent, 0, self.confirmation_age)
                )


class UplinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against nodes without a fresh control host."""

    async def asyncSetUp(self) -> None:
        self.controls = {
            name: ScriptedControlHost() for name in ("near", "far")
        }
        self.endpoints = {}
        for name, control in self.controls.items():
            self.endpoints[name] = await control.start()
            self.addAsyncCleanup(control.close)

    async def start_uplink(
        self,
        *names: str,
        handle_message: Any = lambda _: None,
        clock: Clock | None = None,
    ) -> Uplink:
        """Start an uplink that first knows only the named hosts."""
        uplink = Uplink(
            {name: self.endpoints[name] for name in names},
            create_control_codec(),
            clock or ProcessClock(),
            Random(1),
            UplinkHooks(
                create_hello,
                create_ping,
                TrustedNetwork("node").create_proof,
                handle_message,
            ),
        )
        tasks = TaskGroup()
        tasks.start(uplink.run())
        self.addAsyncCleanup(tasks.cancel)
        return uplink

    async def wait_until_attached(self, name: str) -> None:
        """Wait until a host is attached after this call."""
        control = self.controls[name]
        control.attached.clear()
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await control.attached.wait()

    async def test_attaches_again_after_an_unexpected_error(self) -> None:
        def fail(_: Any) -> None:
            raise KeyError("unexpected")

        await self.start_uplink("near", handle_message=fail)
        await self.wait_until_attached("near")
        await self.wait_until_attached("near")

    async def test_moves_to_the_control_host_of_its_domain(self) -> None:
        uplink = await self.start_uplink("far")
        await self.wait_until_attached("far")
        uplink.set_control_hosts(self.endpoints, frozenset(("near",)))
        await self.wait_until_attached("near")

    async def test_leaves_a_near_host_that_is_not_up_to_date(self) -> None:
        """Keep the lease alive although the near host is partitioned."""
        self.controls["near"].confirmation_age = STALE_AGE
        uplink = await self.start_uplink("far")
        uplink.set_control_hosts(self.endpoints, frozenset(("near",)))
        await self.wait_until_attached("near")
        await self.wait_until_attached("far")

    async def test_stays_attached_after_its_event_loop_was_late(self) -> None:
        """Suspend the process between two pings."""
        clock = SuspendedClock()
        pong_count = 0

        def handle_message(message: Any) -> None:
            nonlocal pong_count
            pong_count += isinstance(message, Pong)
            if pong_count == 1:
                clock.suspension = 4 * UPLINK_TIMEOUT

        await self.start_uplink(
            "near", handle_message=handle_message, clock=clock
        )
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while pong_count < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(self.controls["near"].attached_count, 1)

    async def test_leaves_a_host_that_is_silent(self) -> None:
        self.controls["near"].answers = False
        await self.start_uplink("near")
        await self.wait_until_attached("near")
        await self.wait_until_attached("near")

    def test_a_node_moves_on_before_an_edit_has_to_be_in_force(self) -> None:
        """Bound the time at a control host that is cut off from the others.

        Edits have to be in force within 2.5 s also at its nodes.
        """
        time_to_move = (
            MAX_CONFIRMATION_AGE
            + NODE_PING_INTERVAL
            + timedelta(seconds=MAX_RECONNECT_DELAY_SECONDS)
            + timedelta(seconds=CONNECT_TIMEOUT_SECONDS)
        )
        self.assertLess(time_to_move, timedelta(seconds=2.5))
        self.assertGreater(MAX_CONFIRMATION_AGE, 2 * CONFIRM_INTERVAL)

    def test_local_hosts_are_those_of_the_domain(self) -> None:
        cases: dict[str, tuple[ControlHosts, frozenset[str]]] = {
            "one": (
                ControlHosts(("a", "b"), "a", ("north", "south")),
                frozenset("b"),
            ),
            "none": (
                ControlHosts(("a", "b"), "a", ("north", "")),
                frozenset(),
            ),
            "unknown": (ControlHosts(("a", "b"), "a"), frozenset()),
        }
        for name, (message, expected) in cases.items():
            with self.subTest(name=name):
                self.assertEqual(find_local_hosts(message, "south"), expected)


if __name__ == "__main__":
    unittest.main()
