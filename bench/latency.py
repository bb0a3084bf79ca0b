"""Measure the latency that nodes add on the local and forwarded path."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator
from random import Random
from typing import Final

import aiohttp

from bench._figures import Figure
from bench.backend import ECHO_HEADER
from bench.load import LoadResult, run_load
from bench.processes import LOOPBACK, Fleet, NodePlan, RunningNode
from bench.transports import measure_transports
from sequoiaseam._keyring import compute_digest
from sequoiaseam._metrics import NodeReport, decode_histogram
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    OperatorClient,
    ReportRequest,
)
from sequoiaseam._tables import Pool, Route, Tables, Workspace

BENCHMARK_NAME: Final = "latency"
REQUEST_RATES: Final = (100.0, 400.0)
LOAD_SECONDS: Final = 4.0
STARTUP_TIMEOUT_SECONDS: Final = 20.0
PERCENTILES: Final = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}
ADDED_P99_TARGET: Final = "<= 2.0"
REQUEST_BODY: Final = b"x" * 512

NODES: Final = (
    NodePlan("server", "domain-1", "history", slots=200, delay_ms=0.0),
    NodePlan("entry", "domain-2", "other", slots=200, delay_ms=0.0),
)
TABLES: Final = Tables(
    routes={
        "quotes": Route(
            "quotes",
            "/quotes",
            "history",
            methods=("GET", "POST"),
        ),
    },
    pools={
        "history": Pool("history", slots=200),
        "other": Pool("other", slots=200),
    },
    workspaces={"coop": Workspace("coop", rate=10_000.0, burst=10_000)},
)


class Sender:
    """Client that sends one kind of request to a URL and checks responses."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        key: str,
    ) -> None:
        self._session = session
        self._url = f"{url}/quotes/1"
        self._key = key

    async def send(self) -> str:
        """Send a request; return "" if it succeeded, else the error code."""
        echo = uuid.uuid4().hex
        headers = {ECHO_HEADER: echo}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        async with self._session.post(
            self._url,
            data=REQUEST_BODY,
            headers=headers,
        ) as response:
            body = await response.json()
        if response.status == 200 and body["echo"] == echo:
            return ""
        return str(body.get("code", "broken"))


async def set_up_access(client: OperatorClient) -> str:
    """Apply the tables, add an API key and return its token."""
    await client.apply(ApplyRequest(uuid.uuid4().hex, "bench", 0, TABLES))
    token = uuid.uuid4().hex
    await client.add_key(
        AddKeyRequest(
            uuid.uuid4().hex,
            "bench",
            "bench",
            compute_digest(token),
            "coop",
        ),
    )
    return token


async def wait_until_ready(send: Callable[[], Awaitable[str]]) -> None:
    """Wait until a request succeeds."""
    deadline = time.monotonic() + STARTUP_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            if not await send():
                return
        except aiohttp.ClientError:
            pass  # The listener is not open yet.
        await asyncio.sleep(0.1)
    raise SystemExit("the fleet did not become ready in time")


def get_caller_url(node: RunningNode) -> str:
    """Return the URL of a node's listener for callers."""
    return f"http://{LOOPBACK}:{node.caller_port}"


async def collect_figures(seed: int) -> list[Figure]:
    """Measure all paths at all request rates on one fleet."""
    figures: list[Figure] = []
    async with (
        Fleet(NODES, control_count=1) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        ) as session,
    ):
        client = fleet.connect()
        key = await set_up_access(client)
        server = fleet.running["server"]
        direct_url = f"http://{LOOPBACK}:{server.backend_port}"
        senders = {
            "direct": Sender(session, direct_url, ""),
            "local": Sender(session, get_caller_url(server), key),
            "forwarded": Sender(
                session,
                get_caller_url(fleet.running["entry"]),
                key,
            ),
        }
        for sender in senders.values():
            await wait_until_ready(sender.send)
        for rate in REQUEST_RATES:
            results: dict[str, LoadResult] = {}
            for path, sender in senders.items():
                results[path] = await run_load(
                    sender.send,
                    rate=rate,
                    seconds=LOAD_SECONDS,
                    rng=Random(seed),
                )
            figures.extend(compare_paths(rate, results))
        figures.extend(await collect_time_parts(client))
        await client.close()
    return figures


def compare_paths(
    rate: float,
    results: dict[str, LoadResult],
) -> Iterator[Figure]:
    """Yield the latency percentiles of paths and what nodes add to them."""
    direct = results["direct"]
    for path, result in results.items():
        name = f"{path} at {rate:.0f}/s"
        for label, percentile in PERCENTILES.items():
            value = result.get_percentile(percentile)
            yield Figure(BENCHMARK_NAME, name, label, "ms", value)
            if path != "direct":
                yield Figure(
                    BENCHMARK_NAME,
                    name,
                    f"added {label}",
                    "ms",
                    value - direct.get_percentile(percentile),
                    ADDED_P99_TARGET if label == "p99" else None,
                )
        failed = float(sum(result.failures.values()))
        yield Figure(
            BENCHMARK_NAME, name, "not whole", "calls", failed, "<= 0"
        )


async def collect_time_parts(client: OperatorClient) -> list[Figure]:
    """Return the median queue and service times that nodes report."""
    answer = await client.report(ReportRequest())
    figures: list[Figure] = []
    paths = {"server": "local", "entry": "forwarded"}
    for name, path in paths.items():
        report = answer.reports[name].report
        figures.extend(compute_time_parts(path, report))
    return figures


def compute_time_parts(path: str, report: NodeReport) -> Iterator[Figure]:
    """Yield the medians of the queue and service times of a path."""
    for row in report.rows:
        parts = {
            "queue": row.queue_times,
            "backend server": row.service_times,
        }
        for part, data in parts.items():
            value = decode_histogram(data).get_value_at_percentile(50.0)
            yield Figure(
                BENCHMARK_NAME,
                path,
                f"part: {part} p50",
                "ms",
                float(value) / 1000,
            )


def run(seed: int) -> Iterator[Figure]:
    """Measure the paths and then the transports between nodes."""
    yield from asyncio.run(collect_figures(seed))
    yield from asyncio.run(measure_transports(seed))
