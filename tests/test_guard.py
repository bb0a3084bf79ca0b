"""The guarding side of a node with a backend server on a socket."""

import asyncio
import unittest
from dataclasses import replace
from datetime import timedelta
from random import Random

from bench.processes import find_ports

from sequoiaseam._backend import Announcement
from sequoiaseam._call_executor import CallExecutor, CallExecutorHooks
from sequoiaseam._clock import ProcessClock
from sequoiaseam._commands import CrashReported
from sequoiaseam._frames import CallFrame, RefusalFrame
from sequoiaseam._handles import HandleTable
from sequoiaseam._quarantine import QuarantineList
from sequoiaseam._tables import Importance, Pool
from sequoiaseam.errors import ErrorCode

CALL = CallFrame(
    call_id=1,
    route="records",
    pool="store",
    method="GET",
    path="/records/1",
    headers=(),
    body=b"",
    workspace="coop",
    importance=Importance.NORMAL,
    weight=1.0,
    remaining_us=5_000_000,
    begun=False,
    budget=0,
    root_id="root",
    depth=0,
    idempotent=True,
)


class GuardTest(unittest.IsolatedAsyncioTestCase):
    """Announcements while requests come."""

    async def asyncSetUp(self) -> None:
        self.crashes: list[CrashReported] = []
        self.handles = HandleTable(iter(map(str, range(100))).__next__)
        self.guard = CallExecutor(
            "node-1",
            1,
            ProcessClock(),
            Random(1),
            self.handles,
            CallExecutorHooks(
                post=lambda _name, _message: None,
                quarantine=QuarantineList(),
                report_crash=self._report_crash,
                get_pool=lambda name: Pool(
                    name,
                    slots=50,
                    warmup=timedelta(0),
                ),
            ),
        )
        self.addAsyncCleanup(self.guard.close)

    async def _report_crash(self, report: CrashReported) -> None:
        self.crashes.append(report)

    async def test_restart_after_a_drain_serves_again(self) -> None:
        # A server that drained and ended without withdrawing itself
        # must not be refused for good after its restart.
        (port,) = find_ports(1)
        url = f"http://127.0.0.1:{port}"
        serving = Announcement("store", url, 10)
        self.guard.accept_announcement(serving)
        self.guard.accept_announcement(replace(serving, state="draining"))
        answer = await self.guard.run(CALL)
        assert isinstance(answer, RefusalFrame)
        self.assertIs(answer.code, ErrorCode.DRAINING)
        self.guard.accept_announcement(serving)
        answer = await self.guard.run(CALL)
        assert isinstance(answer, RefusalFrame)
        # It was sent; nothing listens there.
        self.assertIs(answer.code, ErrorCode.NO_SERVER)

    async def test_added_slots_start_waiting_requests(self) -> None:
        # Requests that a larger number of slots lets start must not
        # wait for their deadline.
        arrived = 0
        finish = asyncio.Event()

        async def serve(
            _: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            nonlocal arrived
            arrived += 1
            await finish.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        announced = Announcement("store", f"http://127.0.0.1:{port}", 1)
        self.guard.accept_announcement(announced)
        runs = [
            asyncio.create_task(
                self.guard.run(replace(CALL, path=f"/records/{number}")),
            )
            for number in range(2)
        ]
        async with asyncio.timeout(5.0):
            while arrived < 1:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            self.guard.accept_announcement(replace(announced, slots=50))
            while arrived < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        finish.set()
        await asyncio.gather(*runs)
        server.close()

    async def test_changed_slots_are_no_crash(self) -> None:
        # Running requests must not become suspects, nor waiting ones
        # be refused, when a server announces another number of slots.
        reached = asyncio.Event()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        finish = asyncio.Event()

        async def serve(
            _: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            reached.set()
            await finish.wait()
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        announced = Announcement("store", f"http://127.0.0.1:{port}", 10)
        self.guard.accept_announcement(announced)
        run = asyncio.create_task(self.guard.run(CALL))
        await reached.wait()
        self.guard.accept_announcement(replace(announced, slots=20))
        await asyncio.sleep(0)
        finish.set()
        self.assertNotIsInstance(await run, RefusalFrame)
        self.assertEqual(self.crashes, [])
        server.close()


if __name__ == "__main__":
    unittest.main()
