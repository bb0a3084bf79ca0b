"""Builders of test data."""

import random
from datetime import timedelta

from sequoiaseam._commands import Member, MemberState
from sequoiaseam._frames import CallFrame
from sequoiaseam._metrics import RequestSample
from sequoiaseam._tables import (
    Importance,
    Pool,
    Route,
    Share,
    Tables,
    Workspace,
)
from sequoiaseam._verdict import Verdict
from sequoiaseam.errors import ErrorCode


def build_route(
    name: str = "quotes",
    path: str = "/quotes",
    pool: str = "history",
    *,
    methods: tuple[str, ...] = ("GET",),
    importance: Importance = Importance.NORMAL,
    open_to_all: bool = False,
    idempotent: bool = True,
    timeout: timedelta = timedelta(seconds=2),
    retries: int = 2,
    shares: tuple[Share, ...] = (),
) -> Route:
    """Return a valid route."""
    return Route(
        name=name,
        path=path,
        pool=pool,
        methods=methods,
        importance=importance,
        open=open_to_all,
        idempotent=idempotent,
        timeout=timeout,
        retries=retries,
        shares=shares,
    )


def build_tables(
    *routes: Route,
    workspaces: tuple[Workspace, ...] = (
        Workspace(name="coop", rate=100.0, burst=200),
    ),
) -> Tables:
    """Return valid tables with the pools of all routes."""
    table_routes = routes or (build_route(),)
    return Tables(
        routes={route.name: route for route in table_routes},
        pools={
            pool: Pool(name=pool)
            for route in table_routes
            for pool in (route.pool, *(share.pool for share in route.shares))
        },
        workspaces={workspace.name: workspace for workspace in workspaces},
    )


def build_member(
    name: str = "node-1",
    *,
    incarnation: int = 1,
    pool: str = "history",
    domain: str = "domain-1",
    region: str = "south",
    port: int = 7001,
    state: MemberState = MemberState.SERVING,
) -> Member:
    """Return a member that serves requests."""
    return Member(
        name=name,
        incarnation=incarnation,
        host="127.0.0.1",
        port=port,
        pool=pool,
        domain=domain,
        region=region,
        state=state,
        slots=100,
    )


def build_sample(
    code: ErrorCode | None = None,
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    inside_rate: bool = True,
    retries: int = 0,
) -> RequestSample:
    """Return the sample of a root request, by default one that succeeded."""
    millisecond = timedelta(milliseconds=1)
    return RequestSample(
        route="quotes",
        pool="history",
        workspace="coop",
        importance=Importance.HIGH,
        code=code,
        verdict=Verdict.RAN if code is None else verdict,
        inside_rate=inside_rate,
        worth=2.0,
        retries=retries,
        queue_time=millisecond if code is None else None,
        service_time=5 * millisecond if code is None else None,
        total_time=6 * millisecond,
        root=True,
    )


def damage_text(rng: random.Random, text: str) -> str:
    """Return the text with one to six random replacements."""
    characters = list(text)
    for _ in range(rng.randint(1, 6)):
        start = rng.randrange(len(characters))
        length = rng.choice((0, 1, 20))
        replacement = rng.choice(
            "[]=;%\n\r\t \0\x1c\u0661abc09.-e/"
        ) * rng.choice(
            (0, 1, 2, 500),
        )
        characters[start : start + length] = replacement or characters[:30]
    return "".join(characters)


def build_call_frame(route: str, pool: str, path: str) -> CallFrame:
    """Return a call that isn't idempotent, as nodes send it to each other."""
    return CallFrame(
        call_id=1,
        route=route,
        pool=pool,
        method="POST",
        path=path,
        headers=(),
        body=b"x",
        workspace="coop",
        importance=Importance.NORMAL,
        weight=1.0,
        remaining_us=60_000_000,
        begun=False,
        budget=0,
        root_id="root",
        depth=0,
        idempotent=False,
    )
