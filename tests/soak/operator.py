"""The operator's edits during a soak."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

import aiohttp

from tests.soak.calls import Period
from tests.soak.record import Record
from tests.soak.site import RouteKind, Site

CALL_TIMEOUT_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.2
# More than any repair of the control group takes on a busy machine.
WAIT_SECONDS: Final = 60.0
RESEND_RATIO: Final = 0.3
MOVED_RATIO: Final = 0.3
REVOKED_RATIO: Final = 0.1


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
        site: Site,
        api_port: int,
    ) -> None:
        self._record = record
        self._rng = rng
        self._session = session
        self._site = site
        self._controls = site.controls
        self._api_port = api_port
        self._version = 0
        self._document = b""
        self._lock = asyncio.Lock()
        # The control host that acknowledged the last edit.
        self.acknowledged_by = ""

    async def edit(self, *, resends: bool = True) -> None:
        """Replace the configuration by one with other figures."""
        async with self._lock:
            version = self._version + self._rng.randint(1, 5)
            document = self._build_document(version)
            period = Period("edit", self._record.now())
            self._record.edits.append(period)
            if not await self._put(document):
                return
            period.end = self._record.now()
            self._version, self._document = version, document
            if resends and self._rng.random() < RESEND_RATIO:
                self._record.strikes["edit sent again"] += 1
                await self._put(document)

    async def race(self) -> None:
        """Send two edits at once, of which exactly one has to win."""
        async with self._lock:
            versions = [
                self._version + self._rng.randint(1, 5) for _ in range(2)
            ]
            documents = [self._build_document(version) for version in versions]
            statuses = await asyncio.gather(*map(self._send, documents))
            if sorted(statuses) != [200, 412]:
                self._record.fail(f"racing edits were answered {statuses}")
                return
            self._record.strikes["edit lost a race"] += 1
            won = statuses.index(200)
            self._version, self._document = versions[won], documents[won]

    async def _put(self, document: bytes) -> bool:
        """Send an edit until a host accepts it; a refusal is a failure."""
        status = await self._send(document)
        if status != 200:
            self._record.fail(f"an edit wasn't accepted: {status}")
        return status == 200

    async def _send(self, document: bytes) -> int:
        """Send an edit until a host answers it; return the last status."""
        statuses: list[int] = []

        async def is_answered() -> bool:
            control = self._rng.choice(self._controls)
            status, _ = await self._call(
                control, "configuration.put", document
            )
            statuses.append(status)
            self.acknowledged_by = control
            return 0 < status < 500

        await wait_until(is_answered)
        return statuses[-1]

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

    async def read(self, control: str) -> bool | None:
        """Return whether a host returns the last edit that was accepted.

        Return None if it returns none, as it may not know the newest.
        """
        status, body = await self._call(control, "configuration.get", b"")
        return body == self._document if status == 200 else None

    def _build_document(self, version: int) -> bytes:
        rng = self._rng
        site = self._site
        routes = {
            f"r-{route.prefix.strip('/')}": self._draw_route(route)
            for route in site.routes
        }
        first_route = next(iter(routes.values()))
        for index in range(rng.randint(0, 5)):
            routes[f"r-added-{index}"] = {
                **first_route,
                "path-prefix": f"/added-{index}/",
            }
        return json.dumps(
            {
                "version": f"{version:08x}",
                "base-version": f"{self._version:08x}",
                "routes": routes,
                "services": {
                    service: {
                        "max-connections": rng.randint(*pool.connections),
                        **pool.settings,
                    }
                    for service, pool in site.pools.items()
                },
                "tenants": {
                    workspace: {
                        "api-keys": self._draw_keys(keys),
                        "rate-per-s": rng.choice((0, 100, 1000)),
                        "burst": 50,
                    }
                    for workspace, keys in site.keys.items()
                },
                **site.settings,
            }
        ).encode()

    def _draw_route(self, route: RouteKind) -> dict[str, Any]:
        rng = self._rng
        settings: dict[str, Any] = {
            "host": "any.example",
            "path-prefix": route.prefix,
            "route-type": "safe" if route.idempotent else "unsafe",
            "timeout-s": route.timeout * (1 + rng.randint(0, 3) / 4),
            "target-latency-s": rng.uniform(*route.target_latency),
            "max-attempts": rng.randint(1, 3),
            "priority": rng.randint(*route.priorities),
            "service": route.service,
            "allow-anonymous": route.nested,
        }
        if route.other_service and rng.random() < MOVED_RATIO:
            settings["service"] = route.other_service
        elif route.other_service and rng.random() < MOVED_RATIO:
            del settings["service"]
            settings["weighted-services"] = [
                {"service": route.service, "weight": 75},
                {"service": route.other_service, "weight": 25},
            ]
        return settings

    def _draw_keys(self, keys: tuple[str, ...]) -> list[str]:
        """Return the keys in force; callers also use those taken away."""
        if len(keys) > 1 and self._rng.random() < REVOKED_RATIO:
            return list(keys[:-1])
        return list(keys)
