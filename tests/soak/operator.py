"""The operator's edits during a soak."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final

import aiohttp

from tests.soak.callers import API_KEYS, ROUTE_TIMEOUT_SECONDS, ROUTES
from tests.soak.record import Record

CALL_TIMEOUT_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.2
# More than any repair of the control group takes on a busy machine.
WAIT_SECONDS: Final = 60.0
RESEND_RATIO: Final = 0.3


async def wait_until(
    condition: Callable[[], Awaitable[bool]], seconds: float = WAIT_SECONDS
) -> bool:
    """Wait until a condition holds; return False if it takes too long."""
    try:
        async with asyncio.timeout(seconds):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(RETRY_SECONDS)
    except TimeoutError:
        return False
    return True


class Operator:
    """Sends one edit after the other and reads the last one back."""

    def __init__(
        self,
        record: Record,
        rng: random.Random,
        session: aiohttp.ClientSession,
        controls: Sequence[str],
        api_port: int,
    ) -> None:
        self._record = record
        self._rng = rng
        self._session = session
        self._controls = controls
        self._api_port = api_port
        self._version = 0
        self._document = b""
        self._lock = asyncio.Lock()

    async def edit(self) -> None:
        """Replace the configuration by one with other figures."""
        async with self._lock:
            version = self._version + self._rng.randint(1, 5)
            document = self._build_document(version)
            if not await self._put(document):
                return
            self._version, self._document = version, document
            if self._rng.random() < RESEND_RATIO:
                await self._put(document)

    async def _put(self, document: bytes) -> bool:
        """Send an edit until a host accepts it; a refusal is a failure."""
        statuses: list[int] = []

        async def is_answered() -> bool:
            control = self._rng.choice(self._controls)
            status, _ = await self._call(
                control, "configuration.put", document
            )
            statuses.append(status)
            return 0 < status < 500

        answered = await wait_until(is_answered)
        if not answered or statuses[-1] != 200:
            self._record.fail(f"an edit wasn't accepted: {statuses[-20:]}")
            return False
        return True

    async def _call(
        self, control: str, call: str, body: bytes
    ) -> tuple[int, bytes]:
        url = f"http://{control}:{self._api_port}/sequoiaseam/rpc?call={call}"
        try:
            async with self._session.post(
                url,
                data=body,
                timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_SECONDS),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def check_read_back(self) -> None:
        """Check that each host returns the last edit that was accepted."""
        for control in self._controls:
            answers: list[tuple[int, bytes]] = []

            async def is_read(
                control: str = control,
                answers: list[tuple[int, bytes]] = answers,
            ) -> bool:
                answers.append(
                    await self._call(control, "configuration.get", b"")
                )
                return answers[-1][0] == 200

            await wait_until(is_read, WAIT_SECONDS)
            if answers[-1] != (200, self._document):
                self._record.fail(
                    f"{control} returns {answers[-1]!r} and not the last "
                    f"configuration, {self._document!r}"
                )

    def _build_document(self, version: int) -> bytes:
        rng = self._rng
        routes: dict[str, Any] = {}
        for route in ROUTES:
            name = f"r-{route.prefix.strip('/')}"
            routes[name] = {
                "host": "any.example",
                "path-prefix": route.prefix,
                "route-type": "safe" if route.idempotent else "unsafe",
                "timeout-s": ROUTE_TIMEOUT_SECONDS + rng.randint(0, 3),
                "target-latency-s": rng.uniform(1.5, 3),
                "max-attempts": rng.randint(1, 3),
                "priority": rng.randint(0, 2),
                "service": route.service,
                "allow-anonymous": route.nested,
            }
        for index in range(rng.randint(0, 5)):
            routes[f"r-added-{index}"] = {
                **routes["r-read"],
                "path-prefix": f"/added-{index}/",
            }
        return json.dumps(
            {
                "version": f"{version:08x}",
                "base-version": f"{self._version:08x}",
                "routes": routes,
                "services": {
                    service: {"max-connections": rng.randint(60, 100)}
                    for service in ("store", "front")
                },
                "tenants": {
                    workspace: {
                        "api-keys": [key],
                        "rate-per-s": rng.choice((0, 100, 1000)),
                        "burst": 50,
                    }
                    for workspace, key in API_KEYS.items()
                },
            }
        ).encode()
