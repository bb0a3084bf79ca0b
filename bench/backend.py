"""A stand-in backend server: slots, a service time, nested calls.

The header ``X-Act`` makes it misbehave: pairs ``name=value`` separated
by ``;``. ``server`` limits the rest to one server and ``other`` is what
the others do; ``do`` is an ``Action``; ``delay`` is in milliseconds;
``nested`` is a path to call through the node, by the method ``method``,
with the header ``Authorization`` set to ``key`` and the handle to
``handle`` if given. Runs are counted by idempotency key or, on requests
without one, by the header ``X-Run``.
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
ID_HEADER: Final = "Idempotency-Key"
RUN_HEADER: Final = "X-Run"
ANNOUNCE_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.1
IDLE_POLL_SECONDS: Final = 0.02
PAD: Final = "x" * 400
CUT_LENGTH: Final = 1000
CUT_PART: Final = b"x" * 100
UNFRAMED: Final = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + CUT_PART
EXIT_CRASH: Final = 70

app = cyclopts.App(help="Serve as a small backend server.")


class Action(enum.Enum):
    """How the stand-in misbehaves on a request."""

    NONE = ""
    # Break off the answer, framed in each of the ways of HTTP/1.1.
    CUT_LENGTH = "cut-length"
    CUT_CHUNKED = "cut-chunked"
    CUT_UNFRAMED = "cut-unframed"
    # End the process before or in the middle of the answer.
    CRASH = "crash"
    CRASH_ANSWERING = "crash-answering"
    # Close the connection without an answer.
    DROP = "drop"
    HANG = "hang"
    SHED = "shed"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """Options of the stand-in; ``nested`` is a path it calls.

    ``runs`` is a file with a line for each run of a request that had an
    idempotency key; it outlives the process.
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
    """Count the runs of each request's id, also across crashes."""

    def __init__(self, path: Path | None) -> None:
        self._counts: Counter[str] = Counter()
        self._file = -1
        if path is not None:
            if path.exists():
                self._counts.update(path.read_text().split())
            flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY
            self._file = os.open(path, flags, 0o600)

    def add(self, key: str) -> int:
        """Count a run; return how many there were of the key."""
        if not key:
            return 0
        self._counts[key] += 1
        if self._file >= 0:
            os.write(self._file, f"{key}\n".encode())
        return self._counts[key]


class Backend:
    """Answer each request with an echo that callers can check."""

    def __init__(self, options: BackendOptions) -> None:
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._runs = RunCounter(options.runs)
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

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one request in a slot."""
        act = self._read_act(request)
        action = Action(act.get("do", ""))
        if action is Action.SHED:
            return web.Response(
                status=503,
                headers={VERDICT_HEADER: "not run"},
            )
        self._running += 1
        try:
            async with self._slots:
                return await self._serve(request, act, action)
        finally:
            self._running -= 1

    def _read_act(self, request: web.Request) -> Mapping[str, str]:
        act = dict(
            parse_qsl(request.headers.get(ACT_HEADER, ""), separator=";"),
        )
        if act.get("server", self._options.name) != self._options.name:
            return {"do": act.get("other", "")}
        return act

    async def _serve(
        self,
        request: web.Request,
        act: Mapping[str, str],
        action: Action,
    ) -> web.StreamResponse:
        run_id = request.headers.get(RUN_HEADER, "")
        runs = self._runs.add(request.headers.get(ID_HEADER, run_id))
        body = await request.read()
        delay = self._options.delay
        if "delay" in act:
            delay = float(act["delay"]) / 1000
        await asyncio.sleep(delay)
        if action is Action.HANG:
            await asyncio.Event().wait()
        if action is Action.CRASH:
            os._exit(EXIT_CRASH)
        if action not in (Action.NONE, Action.FAIL):
            return await _break_off(request, action)
        nested, answer = await self._call_nested(request, act)
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
                "pad": PAD,
            },
            status=500 if action is Action.FAIL else 200,
        )

    async def _call_nested(
        self,
        request: web.Request,
        act: Mapping[str, str],
    ) -> tuple[int, Any]:
        """Return the nested call's status and answer, 0 without one."""
        path = act.get("nested", self._options.nested)
        if not path:
            return 0, None
        headers = {
            HANDLE_HEADER: act.get(
                "handle",
                request.headers.get(HANDLE_HEADER, ""),
            ),
            ECHO_HEADER: request.headers.get(ECHO_HEADER, ""),
        }
        if "key" in act:
            headers["Authorization"] = f"Bearer {act['key']}"
        async with self._get_session().request(
            act.get("method", "GET"),
            path,
            headers=headers,
        ) as response:
            return response.status, await response.json(content_type=None)

    async def announce(self) -> None:
        """Announce the server to its node, forever."""
        while True:
            wait = RETRY_SECONDS
            with contextlib.suppress(aiohttp.ClientError):
                await self._put()
                wait = ANNOUNCE_SECONDS
            await asyncio.sleep(wait)

    async def _put(self) -> None:
        options = self._options
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

    async def leave(self) -> None:
        """Drain as docs/backend-servers.md says, then withdraw."""
        self._state = "draining"
        with contextlib.suppress(aiohttp.ClientError):
            await self._put()
        while self._running:  # noqa: ASYNC110
            await asyncio.sleep(IDLE_POLL_SECONDS)
        session = self._get_session()
        with contextlib.suppress(aiohttp.ClientError):
            await session.delete("/v1/backend")

    async def close(self) -> None:
        """Close the connections."""
        await self._get_session().close()


async def _break_off(
    request: web.Request,
    action: Action,
) -> web.StreamResponse:
    """Send a part of an answer, or nothing, and close."""
    response = web.StreamResponse()
    if action is Action.CUT_UNFRAMED and request.transport is not None:
        # Without a length only the end of the connection ends a body.
        request.transport.write(UNFRAMED)
    elif action is not Action.DROP:
        if action is Action.CUT_CHUNKED:
            response.enable_chunked_encoding()
        else:
            response.content_length = CUT_LENGTH
        await response.prepare(request)
        await response.write(CUT_PART)
        # Leaves the part time to arrive ahead of the end.
        await asyncio.sleep(IDLE_POLL_SECONDS)
    if action is Action.CRASH_ANSWERING:
        os._exit(EXIT_CRASH)
    if request.transport is not None:
        request.transport.close()
    return response


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
    await backend.leave()
    await runner.cleanup()
    await backend.close()


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
                runs,
            ),
        ),
    )


if __name__ == "__main__":
    app()
