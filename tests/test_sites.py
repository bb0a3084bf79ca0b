"""Tests of the stop of aiohttp servers."""

import asyncio
import socket
import unittest
from typing import Final

import uvloop
from aiohttp import web

from sequoiaseam._sites import open_site
from tests.hosts import LOCALHOST, format_request, read_response

WAIT_LIMIT_SECONDS: Final = 20.0
ACCEPT_LIMIT_SECONDS: Final = 3.0
REQUEST: Final = format_request("/", method="POST", body=b"x", key=None)


async def respond(_: web.Request) -> web.Response:
    """Return an empty response."""
    return web.Response()


class UnreadRequestTest(unittest.TestCase):
    """Guards against requests that a stop resets before they are read.

    While the event loop is late, requests wait in the kernel, also those on
    connections that it has yet to accept.
    """

    def test_they_are_answered(self) -> None:
        """Use the event loop of the programs."""
        for accepted in (True, False):
            with (
                self.subTest(accepted=accepted),
                asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
            ):
                status = runner.run(self.stop_and_read(accepted=accepted))
                self.assertEqual(status, 200)

    async def stop_and_read(self, *, accepted: bool) -> int:
        """Stop a server as a request arrives; return the response's status.

        Its connection has been accepted before or not.
        """
        app = web.Application()
        app.router.add_post("/", respond)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await open_site(runner, LOCALHOST, 0)
        assert runner.server is not None
        with socket.create_connection(runner.addresses[0]) as connection:
            async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                while accepted and not runner.server.connections:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                connection.sendall(REQUEST)
                await runner.cleanup()
                reader, writer = await asyncio.open_connection(sock=connection)
                try:
                    return (await read_response(reader)).status
                finally:
                    writer.close()

    def test_a_request_on_a_connection_that_is_being_accepted(self) -> None:
        """Stop between the accept and the time that aiohttp learns of it."""
        for create_loop in (asyncio.new_event_loop, uvloop.new_event_loop):
            for passes in range(5):
                with (
                    self.subTest(loop=create_loop.__module__, passes=passes),
                    asyncio.Runner(loop_factory=create_loop) as runner,
                ):
                    line = runner.run(self.send_and_stop(passes))
                    self.assertEqual(line, b"HTTP/1.1 200 OK\r\n")

    async def send_and_stop(self, passes: int) -> bytes:
        """Stop some passes after a request was sent."""
        app = web.Application()
        app.router.add_post("/", respond)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await open_site(runner, LOCALHOST, 0)
        connection = socket.create_connection(runner.addresses[0])
        connection.sendall(REQUEST)
        for _ in range(passes):
            await asyncio.sleep(0)
        await runner.cleanup()
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            async with asyncio.timeout(ACCEPT_LIMIT_SECONDS):
                return await reader.readline()
        except TimeoutError:
            return b""
        finally:
            writer.close()


if __name__ == "__main__":
    unittest.main()
