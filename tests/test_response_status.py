"""Tests of responses of backend servers whose status isn't one of HTTP."""

import asyncio
import unittest
from collections.abc import Sequence
from functools import partial
from typing import Final

from sequoiaseam._http_client import BackendResponse, Failure
from tests.hosts import Handler, HostCluster, ReceivedRequest, echo_body
from tests.test_http_client import RESPONSE, STALE_RESPONSE, ConnectionHarness

WAIT_LIMIT_SECONDS: Final = 20.0
# Three digits that name no status of HTTP, and 101, which answers no request
# that doesn't ask for another protocol. Others are no three digits.
NUMERIC_STATUSES: Final = (
    *("000", "001", "020", "099", "101", "600", "700", "999"),
)
INVALID_STATUSES: Final = (
    *NUMERIC_STATUSES,
    *("20x", "x00", "0200", "2000", "20", "2", "2 0", "", "-20", "+200"),
)
INTERIM_STATUSES: Final = ("100", "102", "103", "199")
ID_LINE: Final = "X-Id: 7\r\n"
SIGNATURE_LINE: Final = (
    "X-Sequoiaseam-Response-Signature: 3e1b.07.5a2.2.0.c9f2a4d1\r\n"
)
FIELD_LINES: Final = (
    "",
    ID_LINE,
    SIGNATURE_LINE,
    ID_LINE + SIGNATURE_LINE,
)
# How the end of the response is marked.
FRAMINGS: Final = (
    "Content-Length: 2\r\n\r\nab",
    "Content-Length: 0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "\r\nab",
)


def format_response(
    status: str, field_lines: str, framing: str = FRAMINGS[0]
) -> bytes:
    """Return a response with a status that may be no number."""
    return f"HTTP/1.1 {status} Any\r\n{field_lines}{framing}".encode()


def feed(harness: ConnectionHarness, data: bytes, part_size: int) -> None:
    """Pass received bytes to a connection in parts."""
    for offset in range(0, len(data), part_size):
        harness.connection.data_received(data[offset : offset + part_size])


class ConnectionTest(unittest.TestCase):
    """Guards against answers without a status, and waits for another one.

    A status below 200 was taken for that of an interim response, and the
    request waited until its deadline.
    """

    def test_an_invalid_status_ends_the_request(self) -> None:
        for status in INVALID_STATUSES:
            for field_lines in FIELD_LINES:
                for framing in FRAMINGS:
                    sent = format_response(status, field_lines, framing)
                    for part_size in (1, len(sent)):
                        with self.subTest(sent=sent, part_size=part_size):
                            self.expect_garbled(sent, part_size)

    def expect_garbled(self, sent: bytes, part_size: int) -> None:
        """Expect that a response ends the request and the connection."""
        for head_only in (False, True):
            harness = ConnectionHarness(head_only=head_only)
            feed(harness, sent, part_size)
            self.assertEqual(harness.outcomes, [Failure.GARBLED])
            self.assertTrue(harness.transport.closed)
            self.assertEqual(harness.budget.held_bytes, 0)
            # No later bytes are taken for an answer.
            feed(harness, RESPONSE, part_size)
            harness.connection.connection_lost(None)
            self.assertEqual(harness.outcomes, [Failure.GARBLED])
            self.assertFalse(harness.is_reusable())

    def test_an_invalid_status_on_a_reused_connection(self) -> None:
        """One that names the request ends it."""
        for status in NUMERIC_STATUSES:
            for framing in FRAMINGS:
                for head_only in (False, True):
                    sent = format_response(status, ID_LINE, framing)
                    with self.subTest(sent=sent, head_only=head_only):
                        harness = ConnectionHarness()
                        harness.connection.data_received(RESPONSE)
                        harness.send(head_only=head_only)
                        harness.connection.data_received(sent + RESPONSE)
                        self.assertEqual(
                            harness.outcomes[1:], [Failure.GARBLED]
                        )
                        self.assertTrue(harness.transport.closed)

    def test_a_surplus_response_with_an_invalid_status_ends_no_request(
        self,
    ) -> None:
        """It belongs to an earlier request, as it doesn't name this one."""
        for status in NUMERIC_STATUSES:
            for field_lines in ("", "X-Id: 6\r\n"):
                for framing in FRAMINGS:
                    surplus = format_response(status, field_lines, framing)
                    for part_size in (1, 7, 1000):
                        with self.subTest(sent=surplus, part_size=part_size):
                            harness = ConnectionHarness()
                            harness.connection.data_received(RESPONSE)
                            harness.send()
                            feed(harness, surplus + RESPONSE, part_size)
                            self.assert_complete(harness)

    def test_the_body_of_a_surplus_response_is_no_response(self) -> None:
        """It may look like the response to the request.

        What follows 101 has no length.
        """
        body = RESPONSE.replace(b"ab", b"no").decode()
        framing = f"Content-Length: {len(body)}\r\n\r\n{body}"
        for status in set(NUMERIC_STATUSES) - {"101"}:
            with self.subTest(status=status):
                harness = ConnectionHarness()
                harness.connection.data_received(RESPONSE)
                harness.send()
                surplus = format_response(status, "X-Id: 6\r\n", framing)
                harness.connection.data_received(surplus + RESPONSE)
                self.assert_complete(harness)

    def assert_complete(self, harness: ConnectionHarness) -> None:
        """Expect the second response, and no further use."""
        (_, outcome) = harness.outcomes
        assert isinstance(outcome, BackendResponse)
        self.assertEqual((outcome.status, outcome.body), (200, b"ab"))
        self.assertFalse(harness.is_reusable())

    def test_a_response_that_trailers_name_has_a_status(self) -> None:
        """Only its end shows that it isn't a surplus one."""
        for status in NUMERIC_STATUSES:
            with self.subTest(status=status):
                harness = ConnectionHarness()
                harness.connection.data_received(RESPONSE)
                harness.send()
                harness.connection.data_received(
                    format_response(
                        status,
                        "",
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nab\r\n0\r\nX-Id: 7\r\n\r\n",
                    )
                )
                for outcome in harness.outcomes[1:]:
                    self.assertIs(outcome, Failure.GARBLED)

    def test_interim_responses_end_no_request(self) -> None:
        for status in INTERIM_STATUSES:
            for field_lines in FIELD_LINES:
                interim = format_response(status, field_lines, "\r\n")
                for part_size in (1, 1000):
                    with self.subTest(sent=interim, part_size=part_size):
                        harness = ConnectionHarness()
                        feed(harness, interim, part_size)
                        self.assertEqual(harness.outcomes, [])
                        feed(harness, RESPONSE, part_size)
                        (outcome,) = harness.outcomes
                        self.assertIsInstance(outcome, BackendResponse)
                        self.assertTrue(harness.is_reusable())

    def test_a_stale_response_with_a_status_is_skipped(self) -> None:
        harness = ConnectionHarness()
        harness.connection.data_received(STALE_RESPONSE)
        self.assertEqual(harness.outcomes, [])


def respond_with_status(
    request: ReceivedRequest, status: str, field_lines: str
) -> None:
    """Send a response with such a status, and keep the connection open."""
    request.transport.write(format_response(status, field_lines))


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers without a status that reach callers.

    The server keeps the connection open, as a wait for another answer would
    last until the deadline, which is in a minute on the route of orders.
    """

    async def start_cluster(
        self, handlers: Sequence[Handler], *, remote: bool
    ) -> HostCluster:
        """Start a node for each server, and one without if it is remote."""
        if remote:
            handlers = (echo_body, *handlers)
        cluster = HostCluster(handlers)
        await cluster.start()
        self.addAsyncCleanup(cluster.close)
        if remote:
            cluster.report_server(0, 2, leaving=True)
        return cluster

    async def test_an_order_may_have_run(self) -> None:
        for status in INVALID_STATUSES:
            for field_lines in FIELD_LINES:
                handler = partial(
                    respond_with_status, status=status, field_lines=field_lines
                )
                for remote in (False, True):
                    with self.subTest(
                        status=status, fields=field_lines, remote=remote
                    ):
                        await self.expect_bad_gateway(handler, remote=remote)

    async def expect_bad_gateway(
        self, handler: Handler, *, remote: bool
    ) -> None:
        """Send an order to a server that responds with such a status."""
        cluster = await self.start_cluster((handler,), remote=remote)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            response = await cluster.send_request(
                "/slow/1", method="POST", body=b"x"
            )
            self.assertEqual(response.status, 502)
            self.assertIn(b"INCOMPLETE", response.body)
            self.assertNotIn("signature", response.head.lower())
            (request,) = cluster.servers[-1].received
            await request.closed.wait()
        await cluster.close()

    async def test_a_safe_request_is_tried_on_another_server(self) -> None:
        for status in NUMERIC_STATUSES:
            for remote in (False, True):
                with self.subTest(status=status, remote=remote):
                    await self.expect_another_server(status, remote=remote)

    async def expect_another_server(
        self, status: str, *, remote: bool
    ) -> None:
        """Send requests until one has got such a response."""
        handler = partial(
            respond_with_status,
            status=status,
            field_lines=ID_LINE + SIGNATURE_LINE,
        )
        cluster = await self.start_cluster((handler, echo_body), remote=remote)
        server = cluster.servers[-2]
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not server.received:
                response = await cluster.send_request("/read/1")
                self.assertEqual(
                    (response.status, response.body), (200, b"whole")
                )
        await cluster.close()


if __name__ == "__main__":
    unittest.main()
