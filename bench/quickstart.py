"""Demonstrate the system on loopback.

Sends load with a surge, and meanwhile withdraws a key and edits a table.
"""

import asyncio
import sys
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import Any, Final

import aiohttp
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from bench.backend import ECHO_HEADER
from bench.processes import Fleet, NodePlan
from sequoiaseam._keyring import compute_digest
from sequoiaseam._operator_messages import (
    AddKeyRequest,
    ApplyRequest,
    EditOutcome,
    InForceRequest,
    OperatorClient,
    ReportRequest,
    ShowRequest,
    WithdrawKeyRequest,
)
from sequoiaseam._report import Grouping, merge_reports, render_report
from sequoiaseam._tables import (
    Importance,
    Pool,
    Route,
    Tables,
    Workspace,
)
from sequoiaseam.errors import SeamError

LOAD_SECONDS: Final = 10.0
BASE_REQUESTS_PER_SECOND: Final = 60.0
SURGE_REQUESTS_PER_SECOND: Final = 400.0
SURGE_SECONDS: Final = (3.0, 6.0)
WITHDRAW_AT_SECONDS: Final = 5.0
EDIT_AT_SECONDS: Final = 7.0
STARTUP_TIMEOUT_SECONDS: Final = 25.0
WITHDRAWAL_LIMIT_SECONDS: Final = 5.0
OPERATOR_NAME: Final = "quickstart"
# The backend servers need no warm-up, and a long one would outlast the run.
WARMUP: Final = timedelta(seconds=1)

NODES: Final = (
    NodePlan("history-1", "domain-1", "history", slots=4, delay_ms=20),
    NodePlan("history-2", "domain-2", "history", slots=4, delay_ms=20),
    NodePlan("acceptance-1", "domain-1", "acceptance", nested="/quotes/1"),
    NodePlan("acceptance-2", "domain-2", "acceptance", nested="/quotes/1"),
)
TABLES: Final = Tables(
    routes={
        "quotes": Route(
            "quotes",
            "/quotes",
            "history",
            timeout=timedelta(seconds=2),
        ),
        "accept": Route(
            "accept",
            "/accept",
            "acceptance",
            methods=("POST",),
            importance=Importance.CRITICAL,
            idempotent=False,
            timeout=timedelta(seconds=2),
            worth=10.0,
        ),
    },
    pools={
        "history": Pool("history", slots=4, queue=40, warmup=WARMUP),
        "acceptance": Pool("acceptance", slots=40, queue=80, warmup=WARMUP),
    },
    workspaces={
        "coop": Workspace("coop", rate=600.0, burst=600),
        "farm": Workspace("farm", rate=50.0, burst=50),
    },
)


@dataclass(slots=True)
class CallerResults:
    """Responses to the requests of the callers, by route or code."""

    sent: Counter[str] = field(default_factory=Counter)
    succeeded: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    errors: list[str] = field(default_factory=list)
    latencies: dict[str, HdrHistogram] = field(default_factory=dict)

    def clear(self) -> None:
        """Discard the requests that were sent during startup."""
        for counts in (self.sent, self.succeeded, self.refused):
            counts.clear()
        self.latencies.clear()

    def record_latency(self, route: str, seconds: float) -> None:
        """Record the latency of a successful response."""
        histogram = self.latencies.setdefault(
            route,
            HdrHistogram(1, 60_000_000, 3),
        )
        histogram.record_value(int(seconds * 1e6))


class Caller:
    """Client that sends requests to random nodes and checks responses."""

    def __init__(
        self,
        fleet: Fleet,
        session: aiohttp.ClientSession,
        results: CallerResults,
        rng: Random,
    ) -> None:
        self._urls = [
            f"http://127.0.0.1:{node.caller_port}"
            for node in fleet.running.values()
        ]
        self._session = session
        self._results = results
        self._rng = rng

    async def send(self, key: str) -> None:
        """Send a request, which goes to ``accept`` in one of six cases."""
        accept = self._rng.random() < 1 / 6
        route = "accept" if accept else "quotes"
        await self.request(self._rng.choice(self._urls), route, key)

    async def request(self, url: str, route: str, key: str) -> str:
        """Send a request; return the refusal code, or "" if not refused."""
        echo = uuid.UUID(int=self._rng.getrandbits(128)).hex
        method = "POST" if route == "accept" else "GET"
        path = "/accept" if route == "accept" else "/quotes/7"
        self._results.sent[route] += 1
        started = time.perf_counter()
        async with self._session.request(
            method,
            f"{url}{path}",
            headers={
                "Authorization": f"Bearer {key}",
                ECHO_HEADER: echo,
            },
        ) as response:
            body = await response.json()
        return self._check(response, body, route, echo, started)

    def _check(
        self,
        response: aiohttp.ClientResponse,
        body: Any,
        route: str,
        echo: str,
        started: float,
    ) -> str:
        code = response.headers.get("Sequoiaseam-Code", "")
        if code:
            self._results.refused[code] += 1
            return code
        if response.status == 200 and body.get("echo") == echo:
            self._results.succeeded[route] += 1
            self._results.record_latency(route, time.perf_counter() - started)
            if body.get("saw_key"):
                self._results.errors.append("a backend server saw the key")
        else:
            self._results.errors.append(f"{route}: {response.status}")
        return ""


async def wait_ready(caller: Caller, fleet: Fleet, key: str) -> None:
    """Wait until all nodes serve both routes."""
    deadline = time.monotonic() + STARTUP_TIMEOUT_SECONDS
    for node in fleet.running.values():
        url = f"http://127.0.0.1:{node.caller_port}"
        for route in ("quotes", "accept"):
            while True:
                try:
                    if not await caller.request(url, route, key):
                        break
                except aiohttp.ClientError:
                    pass  # The listener is not open yet.
                if time.monotonic() > deadline:
                    raise SystemExit(f"{node.plan.name} doesn't serve")
                await asyncio.sleep(0.1)


async def set_up(client: OperatorClient) -> dict[str, str]:
    """Apply the tables, add API keys and return their tokens by name."""
    answer = await client.apply(
        ApplyRequest(uuid.uuid4().hex, OPERATOR_NAME, 0, TABLES),
    )
    if answer.outcome is not EditOutcome.ACCEPTED:
        raise SystemExit(f"tables not accepted: {answer}")
    tokens = {name: f"token-{uuid.uuid4().hex}" for name in ("a", "b")}
    for name, token in tokens.items():
        await client.add_key(
            AddKeyRequest(
                uuid.uuid4().hex,
                OPERATOR_NAME,
                f"key-{name}",
                compute_digest(token),
                "coop" if name == "a" else "farm",
            ),
        )
    return tokens


async def send_load(caller: Caller, rng: Random, key: str) -> None:
    """Send open-loop Poisson load with a surge in the middle."""
    started = time.monotonic()
    tasks: set[asyncio.Task[None]] = set()
    due = 0.0
    while due < LOAD_SECONDS:
        rate = (
            SURGE_REQUESTS_PER_SECOND
            if SURGE_SECONDS[0] <= due < SURGE_SECONDS[1]
            else BASE_REQUESTS_PER_SECOND
        )
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, started + due - time.monotonic()))
        task = asyncio.create_task(caller.send(key))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def withdraw_key(
    caller: Caller,
    client: OperatorClient,
    fleet: Fleet,
    key: str,
) -> float:
    """Withdraw a key; return the seconds until all nodes refuse it."""
    await asyncio.sleep(WITHDRAW_AT_SECONDS)
    await client.withdraw_key(
        WithdrawKeyRequest(uuid.uuid4().hex, OPERATOR_NAME, "key-b"),
    )
    started = time.monotonic()
    for node in fleet.running.values():
        url = f"http://127.0.0.1:{node.caller_port}"
        while True:
            code = await caller.request(url, "quotes", key)
            if code == "KEY_UNKNOWN":
                break
            if time.monotonic() - started > 2 * WITHDRAWAL_LIMIT_SECONDS:
                return float("inf")
            await asyncio.sleep(0.02)
    return time.monotonic() - started


async def edit_tables(client: OperatorClient) -> tuple[bool, float]:
    """Edit a route; return whether it took effect and after how long."""
    await asyncio.sleep(EDIT_AT_SECONDS)
    shown = await client.show(ShowRequest())
    route = shown.tables.routes["quotes"]
    routes = {**shown.tables.routes, "quotes": replace(route, worth=2.0)}
    started = time.monotonic()
    answer = await client.apply(
        ApplyRequest(
            uuid.uuid4().hex,
            OPERATOR_NAME,
            shown.revision,
            replace(shown.tables, routes=routes),
        ),
    )
    if answer.outcome is not EditOutcome.ACCEPTED:
        return False, 0.0
    while time.monotonic() - started < 10.0:
        state = await client.in_force(InForceRequest(answer.revision))
        if state.in_force:
            return True, time.monotonic() - started
        await asyncio.sleep(0.05)
    return False, time.monotonic() - started


def print_results(
    console: Console,
    results: CallerResults,
    withdrawal_seconds: float,
    edit: tuple[bool, float],
) -> None:
    """Print the results of the callers."""
    table = Table(title="Requests")
    for title in ("route", "sent", "whole", "p50 ms", "p99 ms"):
        table.add_column(title, justify="right")
    for route in sorted(results.sent):
        histogram = results.latencies.get(route)
        quantiles = ["-", "-"]
        if histogram is not None:
            quantiles = [
                f"{histogram.get_value_at_percentile(p) / 1000:.1f}"
                for p in (50, 99)
            ]
        table.add_row(
            route,
            str(results.sent[route]),
            str(results.succeeded[route]),
            *quantiles,
        )
    console.print(table)
    refusals = Table(title="Refusals")
    refusals.add_column("code")
    refusals.add_column("count", justify="right")
    for code, count in results.refused.most_common():
        refusals.add_row(code, str(count))
    console.print(refusals)
    console.print(
        f"withdrawn key refused on all nodes in {withdrawal_seconds:.2f} s"
    )
    console.print(f"edit in force on all nodes: {edit[0]}, {edit[1]:.2f} s")
    for text in sorted(set(results.errors)):
        console.print(f"broken answer: {text}")


async def print_report(console: Console, client: OperatorClient) -> None:
    """Print the report of the fleet by route, as operators see it."""
    answer = await client.report(ReportRequest())
    report = merge_reports(answer, Grouping.ROUTE)
    console.print(render_report(report, console))


async def run() -> int:
    """Run the quickstart; return the exit code."""
    rng = Random(1)
    results = CallerResults()
    console = Console(width=79)
    async with (
        Fleet(NODES) as fleet,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        ) as session,
    ):
        client = fleet.connect()
        print("started 3 control hosts, 4 nodes, 4 backend servers")
        try:
            tokens = await set_up(client)
            caller = Caller(fleet, session, results, rng)
            await wait_ready(caller, fleet, tokens["a"])
            await wait_ready(caller, fleet, tokens["b"])
            results.clear()
            print(f"ready; sending requests for {LOAD_SECONDS:.0f} s")
            _, withdrawal_seconds, edit = await asyncio.gather(
                send_load(caller, rng, tokens["a"]),
                withdraw_key(caller, client, fleet, tokens["b"]),
                edit_tables(client),
            )
            await print_report(console, client)
        except (SeamError, SystemExit) as error:
            print(f"failed: {error}", file=sys.stderr)
            for path in sorted(fleet.folder.glob("*.log")):
                tail = "\n".join(path.read_text().splitlines()[-12:])
                print(f"== {path.name}\n{tail}", file=sys.stderr)
            return 1
        finally:
            await client.close()
    print_results(console, results, withdrawal_seconds, edit)
    passed = (
        not results.errors
        and bool(results.succeeded["accept"])
        and withdrawal_seconds <= WITHDRAWAL_LIMIT_SECONDS
        and edit[0]
    )
    print("PASS" if passed else "FAIL")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
