"""Tests that the soak notices each way in which something can be lost.

The real programs lose it on purpose here, or a stand-in does.
"""

import asyncio
import json
import math
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any, Final
from unittest.mock import Mock, patch

import aiohttp
from aiohttp import web

from tests.platform_fleet import ProcessLimits, get_limits
from tests.soak.calls import Call, End, Run
from tests.soak.content import (
    PART_BYTES_MAX,
    describe_content,
    find_start,
    iterate_parts,
)
from tests.soak.losses import OwnEnd, describe_own_end
from tests.soak.operator import Operator
from tests.soak.record import Record
from tests.soak.run import Soak
from tests.soak.schedule import Action, Kind, Schedule
from tests.soak.site import STORES, Site
from tests.soak.uploads import KIB, MIB, UPLOADS, LargeExchange, Manner

LOOPBACK: Final = "127.0.0.1"
NODE: Final = "127.0.2.3"
# Callers send during this time before the stop.
CALM_SECONDS: Final = 2.0
# Shorter than some runs of the soak take.
SHORT_TIMEOUT_SECONDS: Final = 0.5
# Longer than any time limit of the soak leaves to a run.
OVERRUN_SECONDS: Final = 5.0
PLAY_SECONDS_MAX: Final = 120.0
SEED: Final = 1


class KillingSoak(Soak):
    """A soak whose process ends at a planned stop as if by itself."""

    async def _stop(self, action: Action) -> None:
        self._fleet.processes[action.address].kill()


class GrowingSoak(Soak):
    """A soak whose process is too large at a planned stop.

    A smaller limit stands in for the size.
    """

    async def _stop(self, action: Action) -> None:
        def get_smaller_limits(address: str) -> ProcessLimits:
            limits = get_limits(address)
            if address == action.address:
                limits = replace(limits, memory_megabytes=1)
            return limits

        with patch("tests.soak.run.get_limits", get_smaller_limits):
            while not self._own_ends:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


class ImpatientSoak(Soak):
    """A soak whose routes have a shorter timeout than its callers know.

    Its servers work on beyond that timeout; they would answer by
    themselves otherwise.
    """

    async def _start(self) -> None:
        build_document = self._operator._build_document

        def build_impatient_document(version: int) -> bytes:
            document = json.loads(build_document(version))
            for route in document["routes"].values():
                route["timeout-s"] = SHORT_TIMEOUT_SECONDS
            return json.dumps(document).encode()

        with patch.object(
            self._operator, "_build_document", build_impatient_document
        ):
            await super()._start()

    async def _start_server(self, node: str) -> None:
        await super()._start_server(node)
        overrun = Mock(return_value=OVERRUN_SECONDS)
        self._servers[node].draw_lateness = overrun  # type: ignore[method-assign]


class LossTest(unittest.TestCase):
    """Guards against a soak that misses what the real programs lose."""

    def run_soak(self, create: type[Soak], site: Site = STORES) -> str:
        """Run a soak with one planned stop; return its failures."""
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(self.play(create, site, Path(folder)))

    async def play(self, create: type[Soak], site: Site, folder: Path) -> str:
        """Run a soak in this event loop; return its failures."""
        schedule = Schedule(
            planned_only=True,
            actions=(Action(CALM_SECONDS, Kind.STOP, NODE, 0),),
        )
        async with asyncio.timeout(PLAY_SECONDS_MAX):
            report = await create(SEED, site, schedule, folder).run()
        return "\n".join(report.failures)

    def test_nothing_is_lost_in_a_planned_stop(self) -> None:
        self.assertEqual(self.run_soak(Soak), "")

    def check_own_end(self, create: type[Soak], reason: str) -> None:
        """Check that the end of a process and what it cost is reported.

        Each node of this site has some requests in progress all the time.
        """
        failures = self.run_soak(create, UPLOADS)
        self.assertRegex(
            failures, f"{NODE} ended by itself at [0-9.]+, {reason}"
        )
        self.assertRegex(failures, "LOST: [1-9][0-9]* requests from kept")
        self.assertIn("got no answer", failures)

    def test_requests_that_a_process_cuts_as_it_ends_by_itself(self) -> None:
        self.check_own_end(KillingSoak, "status -9")

    def test_requests_that_a_process_over_its_memory_cuts(self) -> None:
        self.check_own_end(GrowingSoak, "used [0-9]{8} bytes")

    def test_a_supervisor_that_fails(self) -> None:
        """Guard against a soak that passes without its checks."""
        error = RuntimeError("supervisor")
        with (
            patch.object(Soak, "_check_memory", side_effect=error),
            self.assertRaisesRegex(RuntimeError, "supervisor"),
        ):
            self.run_soak(Soak)

    def test_a_node_that_comes_close_to_its_memory(self) -> None:
        with patch("tests.soak.run.NODE_PEAK_BYTES_MAX", 10_000_000):
            self.assertIn("at the peak", self.run_soak(Soak))

    def test_runs_that_a_node_breaks_off_with_an_answer_of_its_own(
        self,
    ) -> None:
        self.assertIn("answer was replaced", self.run_soak(ImpatientSoak))


class OwnEndTest(unittest.TestCase):
    """Guards against a wrong number of requests that an end has cost."""

    def check(self, lost: int, **changes: object) -> None:
        """Check how many of one request, with changes, count."""
        call = Call(
            *("7", NODE, "POST", "/order/7", b"x"),
            *(False, "", "front", 5.0),
        )
        call.connection, call.end = "kept", End.CUT
        call.started_at, call.ended_at = 9.0, 10.1
        call.runs.append(Run("i-1", "127.0.2.4", 9.5))
        for name, value in changes.items():
            setattr(call, name, value)
        text = describe_own_end(OwnEnd(NODE, 10.0, "status 1"), [call], 4.0)
        self.assertIn(f"{NODE} ended by itself at 6.000, status 1", text)
        self.assertIn(f"LOST: {lost} requests from kept connections", text)

    def test_requests_that_were_passed_on(self) -> None:
        self.check(1)
        self.check(1, end=End.UNREAD)

    def test_other_requests(self) -> None:
        cases: tuple[dict[str, Any], ...] = (
            {"node": "127.0.2.4"},
            {"connection": "new"},
            {"end": End.ANSWERED},
            {"runs": []},
            {"started_at": 10.05},
            {"ended_at": 12.0},
            {"runs": [Run("i-1", NODE, 9.5, broken_off=True)]},
        )
        for changes in cases:
            with self.subTest(**changes):
                self.check(0, **changes)


class LargeExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a soak that misses what happens to large bodies."""

    async def exchange(
        self, answer: bytes, call: Call, manner: Manner, size: int
    ) -> Record:
        """Send a request to a server that answers its first bytes."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self.addCleanup(server.close)
        record = Record()
        port = server.sockets[0].getsockname()[1]
        await LargeExchange(record, call, manner).run(port, size)
        return record

    def create_call(self, method: str) -> Call:
        """Return a request to the server."""
        return Call(
            *("7", LOOPBACK, method, "/any/7", b""),
            *(method == "GET", "", "front", 5.0),
        )

    async def test_an_answer_before_all_was_sent(self) -> None:
        answer = b"HTTP/1.1 503 Any\r\nRetry-After: 1\r\n\r\n"
        call = self.create_call("POST")
        record = await self.exchange(answer, call, Manner(), 64 * MIB)
        self.assertEqual((call.end, call.status), (End.ANSWERED, 503))
        self.assertEqual(call.sent_at, math.inf)
        self.assertFalse(record.failures)

    async def test_a_refusal_without_a_time_to_return(self) -> None:
        call = self.create_call("POST")
        record = await self.exchange(
            b"HTTP/1.1 503 Any\r\n\r\n", call, Manner(), 64 * MIB
        )
        self.assertIn("time to return", "\n".join(record.failures))

    async def test_a_proper_body_that_is_called_too_large(self) -> None:
        call = self.create_call("POST")
        record = await self.exchange(
            b"HTTP/1.1 413 Any\r\n\r\n", call, Manner(), 64 * MIB
        )
        self.assertIn("got 413", "\n".join(record.failures))

    async def test_a_close_before_all_was_sent(self) -> None:
        call = self.create_call("POST")
        record = await self.exchange(b"", call, Manner(), 64 * MIB)
        self.assertIs(call.end, End.UNSENT)
        self.assertEqual(record.strikes["large request unsent"], 1)

    async def read_answer(self, content: bytes) -> bytes:
        """Return what is recorded of an answer with this content."""
        head = b"HTTP/1.1 200 Any\r\nContent-Length: %d\r\n\r\n"
        call = self.create_call("GET")
        await self.exchange(head % len(content) + content, call, Manner(), 0)
        self.assertIs(call.end, End.ANSWERED)
        return call.answer

    async def test_a_changed_byte_of_an_answer(self) -> None:
        start = find_start("7", is_answer=True)
        content = b"".join(iterate_parts(start, 3 * MIB, PART_BYTES_MAX))
        size = len(content)
        expected = describe_content("7", size)
        self.assertEqual(await self.read_answer(content), expected)
        changed = bytearray(content)
        changed[2 * MIB] ^= 1
        self.assertEqual(await self.read_answer(bytes(changed)), b"changed")

    async def test_a_caller_that_leaves_midway(self) -> None:
        call = self.create_call("POST")
        manner = Manner(left_after=MIB, part_bytes=64 * KIB)
        await self.exchange(b"", call, manner, 64 * MIB)
        self.assertIs(call.end, End.ABANDONED)
        self.assertEqual(call.sent_at, math.inf)


class ReadBackTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a soak that misses a lost configuration."""

    async def asyncSetUp(self) -> None:
        self.documents: list[bytes] = []
        app = web.Application()
        app.router.add_post("/sequoiaseam/rpc", self.handle_call)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, LOOPBACK, 0)
        await site.start()
        (address,) = runner.addresses
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.record = Record()
        site_of_one = replace(STORES, controls=(LOOPBACK,))
        self.operator = Operator(
            self.record, Random(SEED), session, site_of_one, address[1]
        )

    async def handle_call(self, request: web.Request) -> web.Response:
        """Acknowledge each edit; return the last one that is kept."""
        if request.query["call"] == "configuration.put":
            document = await request.read()
            if document not in self.documents:
                self.documents.append(document)
            return web.Response()
        if not self.documents:
            return web.Response(status=503)
        return web.Response(body=self.documents[-1])

    async def edit_and_lose(self, kept: int) -> str:
        """Make two edits, of which only the first ones are kept."""
        await self.operator.edit()
        await self.operator.edit()
        del self.documents[kept:]
        with patch("tests.soak.operator.WAIT_SECONDS", 1.0):
            await self.operator.check_read_back()
        return "\n".join(self.record.failures)

    async def test_the_last_edit_is_read_back(self) -> None:
        self.assertEqual(await self.edit_and_lose(2), "")

    async def test_an_older_edit_is_read_back(self) -> None:
        self.assertIn("not the last", await self.edit_and_lose(1))

    async def test_two_edits_on_one_version_are_accepted(self) -> None:
        await self.operator.race()
        self.assertIn("racing edits", "\n".join(self.record.failures))

    async def test_nothing_is_read_back(self) -> None:
        self.assertIn("not the last", await self.edit_and_lose(0))


if __name__ == "__main__":
    unittest.main()
