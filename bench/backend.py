"""Backend server for tests and benchmarks.

The request header ``X-Act`` injects faults. It holds pairs
``name=value`` separated by ``;``:

- ``do``: the ``Action`` to take
- ``server``: the only server that the other pairs apply to
- ``other``: the ``Action`` of all other servers
- ``delay``: the service time in milliseconds
- ``nested``: the path of a nested call through the node
- ``method``: the method of the nested call
- ``key``: the bearer token of the nested call
- ``handle``: the handle sent with the nested call

Runs are counted by idempotency key or, for requests without one, by the
header ``X-Run``.
"""

import asyncio
import contextlib
import enum
import os
import signal
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qsl

import aiohttp
import cyclopts
from aiohttp import web

ECHO_HEADER: Final = "X-Echo"
ACT_HEADER: Final = "X-Act"
HANDLE_HEADER: Final = "Sequoiaseam-Handle"
VERDICT_HEADER: Final = "Sequoiaseam-Verdict"
REQUEST_ID_HEADER: Final = "Idempotency-Key"
RUN_HEADER: Final = "X-Run"
ANNOUNCE_INTERVAL_SECONDS: Final = 1.0
ANNOUNCE_RETRY_SECONDS: Final = 0.1
POLL_SECONDS: Final = 0.02
PADDING: Final = "x" * 400
TRUNCATED_CONTENT_LENGTH: Final = 1000
PARTIAL_BODY: Final = b"x" * 100
UNFRAMED_RESPONSE: Final = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + PARTIAL_BODY
)
CRASH_EXIT_CODE: Final = 70

app = cyclopts.App(help="Run a backend server for tests and benchmarks.")


class Action(enum.Enum):
    """Fault that the server injects into a request."""

    NONE = ""
    # Truncate the response, for each kind of HTTP/1.1 body framing.
    CUT_LENGTH = "cut-length"
    CUT_CHUNKED = "cut-chunked"
    CUT_UNFRAMED = "cut-unframed"
    # Exit the process before or in the middle of the response.
    CRASH = "crash"
    CRASH_ANSWERING = "crash-answering"
    # Close the connection without a response.
    DROP = "drop"
    HANG = "hang"
    SHED = "shed"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """Options of the server.

    ``delay`` is the service time in seconds and ``nested`` the path of the
    default nested call. ``runs`` is a file to which each run of a request
    with an id appends a line, so that counts survive a crash.
    """

    name: str
    pool: str
    port: int
    node_port: int
    slots: int
    delay: float
    nested: str
    runs: Path | None = None


class RunCounter:
    """Counter of the runs of each request id that survives crashes."""

    def __init__(self, path: Path | None) -> None:
        self._counts: Counter[str] = Counter()
        self._descriptor = -1
        if path is not None:
            if path.exists():
                self._counts.update(path.read_text().split())
            flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY
            self._descriptor = os.open(path, flags, 0o600)

    def add(self, key: str) -> int:
        """Count a run and return the number of runs with the key."""
        if not key:
            return 0
        self._counts[key] += 1
        if self._descriptor >= 0:
            os.write(self._descriptor, f"{key}\n".encode())
        return self._counts[key]


class BackendServer:
    """HTTP handlers that echo each request for callers to check."""

    def __init__(self, options: BackendOptions) -> None:
        self._options = options
        self._slot_semaphore = asyncio.Semaphore(options.slots)
        self._run_counter = RunCounter(options.runs)
        self._active_requests = 0
        self._session: aiohttp.ClientSession | None = None
        self._state = "serving"

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                f"http://127.0.0.1:{self._options.node_port}",
                connector=aiohttp.TCPConnector(limit=0),
            )
        return self._session

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve a request once a slot is free."""
        directives = self._parse_act_header(request)
        action = Action(directives.get("do", ""))
        if action is Action.SHED:
            return web.Response(
                status=503,
                headers={VERDICT_HEADER: "not run"},
            )
        self._active_requests += 1
        try:
            async with self._slot_semaphore:
                return await self._serve(request, directives, action)
        finally:
            self._active_requests -= 1

    def _parse_act_header(self, request: web.Request) -> Mapping[str, str]:
        directives = dict(
            parse_qsl(request.headers.get(ACT_HEADER, ""), separator=";"),
        )
        if directives.get("server", self._options.name) != self._options.name:
            return {"do": directives.get("other", "")}
        return directives

    async def _serve(
        self,
        request: web.Request,
        directives: Mapping[str, str],
        action: Action,
    ) -> web.StreamResponse:
        run_id = request.headers.get(RUN_HEADER, "")
        runs = self._run_counter.add(
            request.headers.get(REQUEST_ID_HEADER, run_id)
        )
        body = await request.read()
        delay = self._options.delay
        if "delay" in directives:
            delay = float(directives["delay"]) / 1000
        await asyncio.sleep(delay)
        if action is Action.HANG:
            await asyncio.Event().wait()
        if action is Action.CRASH:
            os._exit(CRASH_EXIT_CODE)
        if action not in (Action.NONE, Action.FAIL):
            return await _send_truncated(request, action)
        nested, answer = await self._call_nested(request, directives)
        return web.json_response(
            {
                "echo": request.headers.get(ECHO_HEADER, ""),
                "server": self._options.name,
                "saw_key": "Authorization" in request.headers,
                "nested": nested,
                "nested_answer": answer,
                "runs": runs,
                "path": request.raw_path,
                "body_size": len(body),
                "headers": [
                    [name.decode("latin-1"), value.decode("latin-1")]
                    for name, value in request.raw_headers
                ],
                "pad": PADDING,
            },
            status=500 if action is Action.FAIL else 200,
        )

    async def _call_nested(
        self,
        request: web.Request,
        directives: Mapping[str, str],
    ) -> tuple[int, Any]:
        """Return status and body of the nested call, 0 and None if none."""
        path = directives.get("nested", self._options.nested)
        if not path:
            return 0, None
        headers = {
            HANDLE_HEADER: directives.get(
                "handle",
                request.headers.get(HANDLE_HEADER, ""),
            ),
            ECHO_HEADER: request.headers.get(ECHO_HEADER, ""),
        }
        if "key" in directives:
            headers["Authorization"] = f"Bearer {directives['key']}"
        async with self._get_session().request(
            directives.get("method", "GET"),
            path,
            headers=headers,
        ) as response:
            return response.status, await response.json(content_type=None)

    async def announce(self) -> None:
        """Announce the server to its node at intervals, until cancelled."""
        while True:
            interval = ANNOUNCE_RETRY_SECONDS
            with contextlib.suppress(aiohttp.ClientError):
                await self._send_announcement()
                interval = ANNOUNCE_INTERVAL_SECONDS
            await asyncio.sleep(interval)

    async def _send_announcement(self) -> None:
        options = self._options
        async with self._get_session().put(
            "/v1/backend",
            json={
                "pool": options.pool,
                "url": f"http://127.0.0.1:{options.port}",
                "slots": options.slots,
                "load": min(1.0, self._active_requests / options.slots),
                "state": self._state,
                "instance": str(os.getpid()),
            },
        ) as response:
            await response.read()

    async def drain(self) -> None:
        """Drain as in docs/backend-servers.md, then deregister."""
        self._state = "draining"
        with contextlib.suppress(aiohttp.ClientError):
            await self._send_announcement()
        while self._active_requests:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        session = self._get_session()
        with contextlib.suppress(aiohttp.ClientError):
            await session.delete("/v1/backend")

    async def close(self) -> None:
        """Close the connections to the node."""
        await self._get_session().close()


async def _send_truncated(
    request: web.Request,
    action: Action,
) -> web.StreamResponse:
    """Send part of a response, or nothing, and close the connection."""
    response = web.StreamResponse()
    if action is Action.CUT_UNFRAMED and request.transport is not None:
        # A body without a length ends when the connection closes.
        request.transport.write(UNFRAMED_RESPONSE)
    elif action is not Action.DROP:
        if action is Action.CUT_CHUNKED:
            response.enable_chunked_encoding()
        else:
            response.content_length = TRUNCATED_CONTENT_LENGTH
        await response.prepare(request)
        await response.write(PARTIAL_BODY)
        # Lets the partial body arrive before the connection closes.
        await asyncio.sleep(POLL_SECONDS)
    if action is Action.CRASH_ANSWERING:
        os._exit(CRASH_EXIT_CODE)
    if request.transport is not None:
        request.transport.close()
    return response


async def serve(options: BackendOptions) -> None:
    """Serve until SIGTERM, then drain and stop."""
    server = BackendServer(options)
    application = web.Application(client_max_size=64 * 1024 * 1024)
    application.router.add_route("*", "/{path:.*}", server.handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    announce_task = asyncio.create_task(server.announce())
    await stop.wait()
    announce_task.cancel()
    await server.drain()
    await runner.cleanup()
    await server.close()


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
    runs: Path | None = None,
) -> None:
    """Start the backend server."""
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
                runs,
            ),
        ),
    )


if __name__ == "__main__":
    app()
