"""Transports between nodes compared: the same frame, echoed."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from random import Random
from typing import Any, Final

import aiohttp
from aiohttp import web

from bench._figures import Figure
from bench.load import run_load
from bench.processes import LOOPBACK, find_ports
from sequoiaseam._access import Credentials, Identity, Role, Verifier
from sequoiaseam._clock import ProcessClock
from sequoiaseam._codec import Codec
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    compute_checksum,
    create_frame_codec,
)
from sequoiaseam._peers import PEER_PATH, PeerLink, PeerServer
from sequoiaseam._rpc import Channel, RpcServer, Stream
from sequoiaseam._tables import Importance
from sequoiaseam._tasks import TaskGroup

MEASURE: Final = "latency"
RATE: Final = 400.0
SECONDS: Final = 3.0
BODY: Final = b"x" * 512
UNARY_PATH: Final = "/bench/Unary"
STREAM_PATH: Final = "/bench/Stream"
SECRET: Final = b"s" * 32
SILENT: Final = "silent"

CALL: Final = CallFrame(
    call_id=0,
    route="quotes",
    pool="history",
    method="POST",
    path="/quotes/1",
    headers=(("Content-Type", "text/plain"),),
    body=BODY,
    workspace="coop",
    importance=Importance.NORMAL,
    weight=1.0,
    remaining_us=2_000_000,
    begun=False,
    budget=1,
    root_id="root",
    depth=0,
    idempotent=True,
)


def echo(call: CallFrame) -> AnswerFrame:
    """Return an answer with the call's body."""
    return AnswerFrame(
        call.call_id,
        200,
        (),
        call.body,
        compute_checksum(call.body),
        (),
        0,
        0,
        0,
    )


class Bench:
    """Credentials and codec that the variants share."""

    def __init__(self) -> None:
        self.codec: Codec = create_frame_codec()
        self.clock = ProcessClock()
        self._credentials = Credentials((SECRET,), ())
        self.verifier = Verifier(self._credentials)
        self._number = 0

    def create_proof(self) -> str:
        """Return a proof of membership with a fresh nonce."""
        self._number += 1
        return self._credentials.sign(
            self.clock.now(),
            Role.FLEET,
            "bench",
            str(self._number),
        )

    async def measure(
        self,
        variant: str,
        send: Callable[[], Awaitable[str]],
        seed: int,
    ) -> list[Figure]:
        """Return a variant's percentiles and processor time a call."""
        await send()
        started = time.process_time()
        result = await run_load(
            send,
            rate=RATE,
            seconds=SECONDS,
            rng=Random(seed),
        )
        spent = time.process_time() - started
        figures = [
            Figure(
                MEASURE,
                f"transport {variant}",
                label,
                "ms",
                result.get_percentile(percentile),
            )
            for label, percentile in (("p50", 50.0), ("p99", 99.0))
        ]
        calls = result.latencies.get_total_count()
        figures.append(
            Figure(
                MEASURE,
                f"transport {variant}",
                "processor time of both ends a call",
                "us",
                spent / max(1, calls) * 1e6,
            ),
        )
        return figures


async def measure_websocket(bench: Bench, seed: int) -> list[Figure]:
    """Measure the transport in use."""

    async def answer(call: CallFrame) -> AnswerFrame:
        return echo(call)

    server = PeerServer(
        bench.codec,
        lambda proof: bench.verifier.verify(bench.clock.now(), proof),
        answer,
        lambda _: None,
    )
    runner = web.AppRunner(server.create_app(), access_log=None)
    await runner.setup()
    (port,) = find_ports(1)
    await web.TCPSite(runner, LOOPBACK, port).start()
    async with aiohttp.ClientSession() as session:
        link = PeerLink(
            f"http://{LOOPBACK}:{port}{PEER_PATH}",
            session,
            bench.codec,
            bench.create_proof,
            lambda _: None,
            lambda: None,
            lambda: None,
            lambda: False,
        )

        async def send() -> str:
            frame = await link.call(CALL)
            return "" if isinstance(frame, AnswerFrame) else "refused"

        figures = await bench.measure("WebSocket", send, seed)
        await link.close()
    await server.close()
    await runner.cleanup()
    return figures


async def measure_http(bench: Bench, seed: int) -> list[Figure]:
    """Measure one HTTP request a call."""

    async def handle(request: web.Request) -> web.Response:
        call = bench.codec.decode(await request.read())
        return web.Response(body=bench.codec.encode(echo(call)))

    app = web.Application()
    app.router.add_post("/call", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    (port,) = find_ports(1)
    await web.TCPSite(runner, LOOPBACK, port).start()
    async with aiohttp.ClientSession() as session:

        async def send() -> str:
            async with session.post(
                f"http://{LOOPBACK}:{port}/call",
                data=bench.codec.encode(CALL),
            ) as response:
                bench.codec.decode(await response.read())
            return ""

        figures = await bench.measure("HTTP", send, seed)
    await runner.cleanup()
    return figures


async def measure_rpc(bench: Bench, seed: int) -> list[Figure]:
    """Measure a stream for each call and one for all calls."""

    async def unary(stream: Stream, _: Identity) -> None:
        await stream.send_message(echo(await stream.recv_message()))

    async def serve(stream: Stream, _: Identity) -> None:
        async for call in stream:
            await stream.send_message(echo(call))

    server = RpcServer(
        bench.verifier,
        bench.clock,
        bench.codec,
        {UNARY_PATH: unary, STREAM_PATH: serve},
    )
    (port,) = find_ports(1)
    await server.start(LOOPBACK, port)
    channel = Channel(LOOPBACK, port, bench.codec)

    async def send() -> str:
        await channel.call(
            UNARY_PATH,
            CALL,
            proof=bench.create_proof(),
            timeout_seconds=2.0,
        )
        return ""

    figures = await bench.measure("stream a call", send, seed)
    figures.extend(await _measure_stream(bench, channel, seed))
    await server.close()
    return figures


async def _measure_stream(
    bench: Bench,
    channel: Channel,
    seed: int,
) -> list[Figure]:
    pending: dict[int, asyncio.Future[Any]] = {}
    tasks = TaskGroup()
    proof = bench.create_proof()
    async with channel.open_stream(STREAM_PATH, proof) as stream:

        async def read() -> None:
            async for answer in stream:
                pending.pop(answer.call_id).set_result(answer)

        async def send() -> str:
            call_id = len(sent)
            sent.append(call_id)
            future = asyncio.get_running_loop().create_future()
            pending[call_id] = future
            await stream.send_message(replace(CALL, call_id=call_id))
            await future
            return ""

        sent: list[int] = []
        reader = tasks.start(read())
        figures = await bench.measure("one stream", send, seed)
        reader.cancel()
    return figures


async def measure_transports(seed: int) -> Iterator[Figure]:
    """Return the figures of all variants, the one in use first."""
    bench = Bench()
    figures = await measure_websocket(bench, seed)
    figures.extend(await measure_rpc(bench, seed))
    figures.extend(await measure_http(bench, seed))
    return iter(figures)
