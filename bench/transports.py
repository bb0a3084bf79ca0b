"""Compare transports between nodes by echoing the same call frame."""

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
from bench.processes import LOOPBACK, find_free_ports
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

BENCHMARK_NAME: Final = "latency"
REQUEST_RATE: Final = 400.0
LOAD_SECONDS: Final = 3.0
REQUEST_BODY: Final = b"x" * 512
UNARY_PATH: Final = "/bench/Unary"
STREAM_PATH: Final = "/bench/Stream"
FLEET_SECRET: Final = b"s" * 32
SILENT: Final = "silent"

CALL: Final = CallFrame(
    call_id=0,
    route="quotes",
    pool="history",
    method="POST",
    path="/quotes/1",
    headers=(("Content-Type", "text/plain"),),
    body=REQUEST_BODY,
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


def create_answer(call: CallFrame) -> AnswerFrame:
    """Return an answer frame with the body of the call."""
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


class TransportBenchmark:
    """Credentials and codec shared by the measured transports."""

    def __init__(self) -> None:
        self.codec: Codec = create_frame_codec()
        self.clock = ProcessClock()
        self._credentials = Credentials((FLEET_SECRET,), ())
        self.verifier = Verifier(self._credentials)
        self._proof_count = 0

    def create_proof(self) -> str:
        """Return a proof of fleet membership with a new nonce."""
        self._proof_count += 1
        return self._credentials.sign(
            self.clock.now(),
            Role.FLEET,
            "bench",
            str(self._proof_count),
        )

    async def measure(
        self,
        variant: str,
        send: Callable[[], Awaitable[str]],
        seed: int,
    ) -> list[Figure]:
        """Return latency percentiles and CPU time of both ends per call."""
        await send()
        started = time.process_time()
        result = await run_load(
            send,
            rate=REQUEST_RATE,
            seconds=LOAD_SECONDS,
            rng=Random(seed),
        )
        cpu_seconds = time.process_time() - started
        figures = [
            Figure(
                BENCHMARK_NAME,
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
                BENCHMARK_NAME,
                f"transport {variant}",
                "processor time of both ends a call",
                "us",
                cpu_seconds / max(1, calls) * 1e6,
            ),
        )
        return figures


async def measure_websocket(
    benchmark: TransportBenchmark, seed: int
) -> list[Figure]:
    """Measure WebSocket messages, the transport that nodes use."""

    async def answer(call: CallFrame) -> AnswerFrame:
        return create_answer(call)

    server = PeerServer(
        benchmark.codec,
        benchmark.clock,
        lambda proof: benchmark.verifier.verify(benchmark.clock.now(), proof),
        answer,
        lambda _: None,
    )
    runner = web.AppRunner(server.create_app(), access_log=None)
    await runner.setup()
    (port,) = find_free_ports(1)
    await web.TCPSite(runner, LOOPBACK, port).start()
    async with aiohttp.ClientSession() as session:
        link = PeerLink(
            f"http://{LOOPBACK}:{port}{PEER_PATH}",
            session,
            benchmark.codec,
            benchmark.clock,
            benchmark.create_proof,
            lambda _: None,
            lambda: None,
            lambda: None,
            lambda: False,
        )

        async def send() -> str:
            frame = await link.call(CALL)
            return "" if isinstance(frame, AnswerFrame) else "refused"

        figures = await benchmark.measure("WebSocket", send, seed)
        await link.close()
    await server.close()
    await runner.cleanup()
    return figures


async def measure_http(
    benchmark: TransportBenchmark, seed: int
) -> list[Figure]:
    """Measure one HTTP request per call."""

    async def handle(request: web.Request) -> web.Response:
        call = benchmark.codec.decode(await request.read())
        return web.Response(body=benchmark.codec.encode(create_answer(call)))

    app = web.Application()
    app.router.add_post("/call", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    (port,) = find_free_ports(1)
    await web.TCPSite(runner, LOOPBACK, port).start()
    async with aiohttp.ClientSession() as session:

        async def send() -> str:
            async with session.post(
                f"http://{LOOPBACK}:{port}/call",
                data=benchmark.codec.encode(CALL),
            ) as response:
                benchmark.codec.decode(await response.read())
            return ""

        figures = await benchmark.measure("HTTP", send, seed)
    await runner.cleanup()
    return figures


async def measure_rpc(
    benchmark: TransportBenchmark, seed: int
) -> list[Figure]:
    """Measure an RPC stream per call, then one stream for all calls."""

    async def handle_unary(stream: Stream, _: Identity) -> None:
        await stream.send_message(create_answer(await stream.recv_message()))

    async def handle_stream(stream: Stream, _: Identity) -> None:
        async for call in stream:
            await stream.send_message(create_answer(call))

    server = RpcServer(
        benchmark.verifier,
        benchmark.clock,
        benchmark.codec,
        {UNARY_PATH: handle_unary, STREAM_PATH: handle_stream},
    )
    (port,) = find_free_ports(1)
    await server.start(LOOPBACK, port)
    channel = Channel(LOOPBACK, port, benchmark.codec)

    async def send() -> str:
        await channel.call(
            UNARY_PATH,
            CALL,
            proof=benchmark.create_proof(),
            timeout_seconds=2.0,
        )
        return ""

    figures = await benchmark.measure("stream a call", send, seed)
    figures.extend(await _measure_stream(benchmark, channel, seed))
    await server.close()
    return figures


async def _measure_stream(
    benchmark: TransportBenchmark,
    channel: Channel,
    seed: int,
) -> list[Figure]:
    pending: dict[int, asyncio.Future[Any]] = {}
    tasks = TaskGroup()
    proof = benchmark.create_proof()
    async with channel.open_stream(STREAM_PATH, proof) as stream:

        async def read() -> None:
            async for answer in stream:
                pending.pop(answer.call_id).set_result(answer)

        async def send() -> str:
            call_id = len(call_ids)
            call_ids.append(call_id)
            future = asyncio.get_running_loop().create_future()
            pending[call_id] = future
            await stream.send_message(replace(CALL, call_id=call_id))
            await future
            return ""

        call_ids: list[int] = []
        reader = tasks.start(read())
        figures = await benchmark.measure("one stream", send, seed)
        reader.cancel()
    return figures


async def measure_transports(seed: int) -> Iterator[Figure]:
    """Return the figures of all transports, the one in use first."""
    benchmark = TransportBenchmark()
    figures = await measure_websocket(benchmark, seed)
    figures.extend(await measure_rpc(benchmark, seed))
    figures.extend(await measure_http(benchmark, seed))
    return iter(figures)
