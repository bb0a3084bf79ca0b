"""A stand-in backend server: slots, a service time, nested calls."""

import asyncio
import contextlib
import os
import signal
from dataclasses import dataclass
from typing import Final

import aiohttp
import cyclopts
from aiohttp import web

ECHO_HEADER: Final = "X-Echo"
HANDLE_HEADER: Final = "Sequoiaseam-Handle"
ANNOUNCE_SECONDS: Final = 1.0
PAD: Final = "x" * 400

app = cyclopts.App(help="Serve as a small backend server.")


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """Options of the stand-in; ``nested`` is a path it calls."""

    name: str
    pool: str
    port: int
    node_port: int
    slots: int
    delay: float
    nested: str


class Backend:
    """Answer each request with an echo that callers can check."""

    def __init__(self, options: BackendOptions) -> None:
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._running = 0
        self._session: aiohttp.ClientSession | None = None
        self._state = "serving"

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                f"http://127.0.0.1:{self._options.node_port}",
                connector=aiohttp.TCPConnector(limit=0),
            )
        return self._session

    async def handle(self, request: web.Request) -> web.Response:
        """Serve one request in a slot."""
        self._running += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._options.delay)
                nested = await self._call_nested(request)
        finally:
            self._running -= 1
        return web.json_response(
            {
                "echo": request.headers.get(ECHO_HEADER, ""),
                "server": self._options.name,
                "saw_key": "Authorization" in request.headers,
                "nested": nested,
                "pad": PAD,
            },
        )

    async def _call_nested(self, request: web.Request) -> int:
        """Return the status of the nested call, 0 without one."""
        if not self._options.nested:
            return 0
        headers = {
            HANDLE_HEADER: request.headers.get(HANDLE_HEADER, ""),
            ECHO_HEADER: request.headers.get(ECHO_HEADER, ""),
        }
        async with self._get_session().get(
            self._options.nested,
            headers=headers,
        ) as response:
            await response.read()
            return response.status

    async def announce(self) -> None:
        """Announce the server to its node, forever."""
        options = self._options
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await self._put(options)
            await asyncio.sleep(ANNOUNCE_SECONDS)

    async def _put(self, options: BackendOptions) -> None:
        async with self._get_session().put(
            "/v1/backend",
            json={
                "pool": options.pool,
                "url": f"http://127.0.0.1:{options.port}",
                "slots": options.slots,
                "load": min(1.0, self._running / options.slots),
                "state": self._state,
                "instance": str(os.getpid()),
            },
        ) as response:
            await response.read()

    async def close(self) -> None:
        """Withdraw the server and close the connections."""
        session = self._get_session()
        with contextlib.suppress(aiohttp.ClientError):
            await session.delete("/v1/backend")
        await session.close()


async def serve(options: BackendOptions) -> None:
    """Serve until SIGTERM."""
    backend = Backend(options)
    application = web.Application(client_max_size=64 * 1024 * 1024)
    application.router.add_route("*", "/{path:.*}", backend.handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    announcing = asyncio.create_task(backend.announce())
    await stop.wait()
    announcing.cancel()
    await backend.close()
    await runner.cleanup()


@app.default
def start(
    *,
    name: str,
    pool: str,
    port: int,
    node_port: int,
    slots: int = 40,
    delay_ms: float = 5.0,
    nested: str = "",
) -> None:
    """Start the stand-in."""
    asyncio.run(
        serve(
            BackendOptions(
                name,
                pool,
                port,
                node_port,
                slots,
                delay_ms / 1000.0,
                nested,
            ),
        ),
    )


if __name__ == "__main__":
    app()
