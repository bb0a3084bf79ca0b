"""Time that nodes add to a call, on the local and the forwarded path."""

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

MEASURE: Final = "latency"
RATES: Final = (100.0, 400.0)
SECONDS: Final = 4.0
READY_SECONDS: Final = 20.0
PERCENTILES: Final = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}
TARGET: Final = "<= 2.0"
BODY: Final = b"x" * 512

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
    """Send the same request to one URL and check the answer."""

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
        """Return "" for a whole answer, else its code."""
        echo = uuid.uuid4().hex
        headers = {ECHO_HEADER: echo}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        async with self._session.post(
            self._url,
            data=BODY,
            headers=headers,
        ) as response:
            body = await response.json()
        if response.status == 200 and body["echo"] == echo:
            return ""
        return str(body.get("code", "broken"))


async def prepare(client: OperatorClient) -> str:
    """Apply the tables and return a key."""
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


async def wait_until(send: Callable[[], Awaitable[str]]) -> None:
    """Wait until requests are answered whole."""
    limit = time.monotonic() + READY_SECONDS
    while time.monotonic() < limit:
        try:
            if not await send():
                return
        except aiohttp.ClientError:
            pass  # The listener is not open yet.
        await asyncio.sleep(0.1)
    raise SystemExit("the fleet does not serve")


def get_url(node: RunningNode) -> str:
    """Return the URL of a node's listener for callers."""
    return f"http://{LOOPBACK}:{node.callers}"


async def collect_figures(seed: int) -> list[Figure]:
    """Run all rates and paths against one fleet."""
    figures: list[Figure] = []
    async with (
        Fleet(NODES, controls=1) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        ) as session,
    ):
        client = fleet.connect()
        key = await prepare(client)
        server = fleet.running["server"]
        direct_url = f"http://{LOOPBACK}:{server.backend_port}"
        senders = {
            "direct": Sender(session, direct_url, ""),
            "local": Sender(session, get_url(server), key),
            "forwarded": Sender(
                session,
                get_url(fleet.running["entry"]),
                key,
            ),
        }
        for sender in senders.values():
            await wait_until(sender.send)
        for rate in RATES:
            results: dict[str, LoadResult] = {}
            for path, sender in senders.items():
                results[path] = await run_load(
                    sender.send,
                    rate=rate,
                    seconds=SECONDS,
                    rng=Random(seed),
                )
            figures.extend(compare_paths(rate, results))
        figures.extend(await collect_parts(client))
        await client.close()
    return figures


def compare_paths(
    rate: float,
    results: dict[str, LoadResult],
) -> Iterator[Figure]:
    """Yield the time added over the direct call, by percentile."""
    direct = results["direct"]
    for path, result in results.items():
        name = f"{path} at {rate:.0f}/s"
        for label, percentile in PERCENTILES.items():
            value = result.get_percentile(percentile)
            yield Figure(MEASURE, name, label, "ms", value)
            if path != "direct":
                yield Figure(
                    MEASURE,
                    name,
                    f"added {label}",
                    "ms",
                    value - direct.get_percentile(percentile),
                    TARGET if label == "p99" else None,
                )
        failed = float(sum(result.failures.values()))
        yield Figure(MEASURE, name, "not whole", "calls", failed, "<= 0")


async def collect_parts(client: OperatorClient) -> list[Figure]:
    """Return where the time goes, from the nodes' own histograms."""
    answer = await client.report(ReportRequest())
    figures: list[Figure] = []
    paths = {"server": "local", "entry": "forwarded"}
    for name, path in paths.items():
        report = answer.reports[name].report
        figures.extend(split_time(path, report))
    return figures


def split_time(path: str, report: NodeReport) -> Iterator[Figure]:
    """Yield the medians of the parts that the entry node saw."""
    for row in report.rows:
        parts = {
            "queue": row.queue_times,
            "backend server": row.service_times,
        }
        for part, data in parts.items():
            value = decode_histogram(data).get_value_at_percentile(50.0)
            yield Figure(
                MEASURE,
                path,
                f"part: {part} p50",
                "ms",
                float(value) / 1000,
            )


def run(seed: int) -> Iterator[Figure]:
    """Measure the paths, then the transports between nodes."""
    yield from asyncio.run(collect_figures(seed))
    yield from asyncio.run(measure_transports(seed))
