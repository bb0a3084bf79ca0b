"""Short soaks with fixed seeds, and tests of what the soak can see."""

import asyncio
import math
import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Final

import aiohttp

from tests.soak.callers import CallerConnection, RequestIds, encode_request
from tests.soak.record import (
    GRACE_PERIOD_SECONDS,
    STOP_ADMISSION_SECONDS,
    Call,
    End,
    Record,
    Run,
)
from tests.soak.run import run_soak
from tests.soak.servers import BackendServer, Place
from tests.soak.site import STORES, Site
from tests.soak.waymarks import create_site

LOOPBACK: Final = "127.0.0.1"
SECONDS: Final = 10.0


class SoakTest(unittest.TestCase):
    """Guards against requests that are lost, repeated or mixed up.

    Nodes and control hosts are stopped, killed and paused under load. Each
    seed that ever failed is added with a line on its cause.
    """

    def check_seed(self, seed: int, site: Site = STORES) -> None:
        """Run the soak of a seed."""
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_soak(seed, SECONDS, Path(folder), site))
        self.assertFalse(report.failures, report.format())

    def test_seed_1_with_planned_stops_only(self) -> None:
        self.check_seed(1)

    def test_seed_5_with_faults(self) -> None:
        self.check_seed(5)

    def test_seed_1_of_waymarks_at_a_low_rate(self) -> None:
        self.check_seed(1, create_site(0.02))


def create_call(request_id: str = "7") -> Call:
    """Return a request of a caller."""
    return Call(
        *(request_id, "node", "POST", "/order/7", b"x"),
        *(False, "", "front", 5.0),
    )


class ClosingServer(asyncio.Protocol):
    """A server that closes a connection once it has received a request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        del data
        self.transport.close()


class EarlyClosingServer(ClosingServer):
    """A server that closes a connection before it receives a request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.close()


class UnreadingServer(ClosingServer):
    """A server that closes a connection without reading a request."""

    delay_seconds = 0.05

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(
            self.delay_seconds, self.transport.close
        )


class LateServer(UnreadingServer):
    """A server that closes a connection long after a request was sent."""

    delay_seconds = 0.4


class SilentServer(ClosingServer):
    """A server that doesn't answer."""

    def data_received(self, data: bytes) -> None:
        del data


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a soak that takes a cut request for an unread one."""

    async def send(
        self,
        server: Callable[[], asyncio.Protocol],
        wait: float = 0.0,
        patience: float = math.inf,
    ) -> Record:
        """Send a request to a server that doesn't answer."""
        record = Record()
        listener = await asyncio.get_running_loop().create_server(
            server, LOOPBACK, 0
        )
        port = listener.sockets[0].getsockname()[1]
        connection = CallerConnection(record, LOOPBACK, port)
        await connection.open()
        await asyncio.sleep(wait)
        call = create_call()
        message = encode_request(call, 5000)
        await connection.send(call, message, patience=patience)
        listener.close()
        return record

    async def test_a_request_that_was_read_is_missed(self) -> None:
        record = await self.send(ClosingServer)
        self.assertIs(record.calls["7"].end, End.CUT)
        self.assertEqual(len(record.failures), 1)

    async def test_a_request_that_waited_to_be_read_is_missed(self) -> None:
        record = await self.send(LateServer)
        self.assertIs(record.calls["7"].end, End.UNREAD)
        self.assertEqual(len(record.failures), 1)

    async def test_a_request_that_crosses_a_close_is_not(self) -> None:
        for server, wait in (
            (UnreadingServer, 0.0),
            (EarlyClosingServer, 0.0),
            (EarlyClosingServer, 0.1),
        ):
            with self.subTest(server=server.__name__, wait=wait):
                record = await self.send(server, wait)
                self.assertIn(record.calls["7"].end, (End.UNREAD, End.UNSENT))
                self.assertFalse(record.failures)

    async def test_a_request_that_its_caller_gives_up_is_not(self) -> None:
        record = await self.send(SilentServer, patience=0.05)
        self.assertIs(record.calls["7"].end, End.ABANDONED)
        self.assertFalse(record.failures)


class BackendServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against shed requests that the soak takes for run ones."""

    async def test_requests_beyond_slots_and_queue_are_shed(self) -> None:
        site = create_site(0.001)
        node = next(n for n, s in site.services.items() if s == "hazard-watch")
        pool = site.pools["hazard-watch"]
        held = pool.slots + int(pool.queue)
        record = Record()
        async with aiohttp.ClientSession() as session:
            server = BackendServer(
                record,
                random.Random(1),
                RequestIds(1),
                Place(site, node, 0, 0),
                "i-1",
                session,
                "",
            )
            await server.listen()
            calls = [create_call(f"{n}") for n in range(held + 2)]
            async with asyncio.TaskGroup() as group:
                for call in calls:
                    group.create_task(self.send(server, record, call))
            await server.close()
        refused = [call for call in calls if call.status == 503]
        self.assertEqual(len(refused), 2)
        self.assertFalse([call for call in refused if call.runs])
        self.assertEqual(sum(len(call.runs) for call in calls), held)
        self.assertFalse(record.failures)

    async def send(
        self, server: BackendServer, record: Record, call: Call
    ) -> None:
        """Send a request as a node would."""
        call.target = "/sensor-feed/1"
        connection = CallerConnection(record, LOOPBACK, server.port)
        await connection.open()
        fields = (
            f"X-Sequoiaseam-Expected-Instance: {server.server_id}\r\n"
            f"X-Sequoiaseam-Caller-Service: {call.caller_service}\r\n"
        )
        head, end, body = encode_request(call, 5000).partition(b"\r\n\r\n")
        message = b"%b\r\n%b%b%b" % (head, fields.encode(), end[2:], body)
        await connection.send(call, message)
        connection.close()


class RecordTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a soak that doesn't notice a broken promise."""

    async def asyncSetUp(self) -> None:
        self.record = Record()
        self.call = create_call()
        self.record.start_call(self.call)
        self.call.sent_at = self.record.now()

    def start_run(self) -> Run:
        """Record a run of the request."""
        run = Run("i-1", "runner", self.record.now())
        self.record.start_run("7", run)
        return run

    def end(self, end: End, status: int = 0, answer: bytes = b"") -> None:
        """Record the end of the request."""
        self.call.status, self.call.answer = status, answer
        self.record.end_call(self.call, end)
        self.record.check_all()

    def check_failure(self, text: str) -> None:
        """Check that exactly this failure was recorded."""
        self.assertEqual(len(self.record.failures), 1)
        self.assertIn(text, self.record.failures[0])

    async def test_an_unknown_request(self) -> None:
        self.record.start_run("8", Run("i-1", "runner", 0.0))
        self.check_failure("nobody sent")

    async def test_a_second_run(self) -> None:
        self.start_run()
        self.start_run()
        self.check_failure("ran twice")

    async def test_a_refusal_after_a_run(self) -> None:
        self.start_run().broken_off = True
        self.end(End.ANSWERED, 503)
        self.check_failure("has run")

    async def test_a_run_after_a_refusal(self) -> None:
        self.end(End.ANSWERED, 429)
        self.start_run()
        self.check_failure("refused as not run")

    async def test_an_answer_of_another_request(self) -> None:
        run = self.start_run()
        run.status, run.body = 200, b"whole"
        self.end(End.ANSWERED, 200, b"who")
        self.check_failure("isn't the one")

    async def test_a_replaced_answer(self) -> None:
        self.record.end_run(self.start_run(), "answered")
        self.end(End.ANSWERED, 502)
        self.check_failure("replaced")

    async def test_a_nested_call_that_a_stop_ends(self) -> None:
        """One that is sent late in a stop isn't excused at its end."""
        self.call.nested = True
        self.start_run()
        stop = self.record.add_stop("node")
        stop.start = self.record.now() - GRACE_PERIOD_SECONDS
        self.end(End.ANSWERED, 504)
        self.check_failure("replaced")

    async def test_a_stop_excuses_early_requests_at_its_end(self) -> None:
        self.start_run()
        stop = self.record.add_stop("node")
        stop.start = self.record.now() - GRACE_PERIOD_SECONDS
        self.call.sent_at = stop.start + STOP_ADMISSION_SECONDS
        self.end(End.ANSWERED, 504)
        self.assertFalse(self.record.failures)

    async def test_a_cut_request_that_ran(self) -> None:
        self.start_run()
        self.end(End.UNREAD)
        self.check_failure("no answer")

    async def test_a_stop_excuses_nothing(self) -> None:
        self.record.add_stop("node")
        self.end(End.CUT)
        self.check_failure("no answer")

    async def test_a_kill_excuses_a_cut_request(self) -> None:
        self.start_run()
        self.record.add_fault("node", "killed")
        self.end(End.CUT)
        self.assertFalse(self.record.failures)

    async def test_a_kill_excuses_no_second_run(self) -> None:
        self.record.add_fault("node", "killed")
        self.start_run()
        self.start_run()
        self.check_failure("ran twice")


if __name__ == "__main__":
    unittest.main()
