"""A node's connections to the other nodes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Final

import aiohttp

from sequoiaseam._balancer import Balancer
from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._commands import Member
from sequoiaseam._feed import NodeView
from sequoiaseam._frames import AnswerFrame, CallFrame, RefusalFrame
from sequoiaseam._peers import PEER_PATH, PeerLink
from sequoiaseam._tasks import TaskGroup

LINK_IDLE: Final = timedelta(minutes=1)


def locate_peer(member: Member) -> str:
    """Return the URL at which other nodes reach a member."""
    return f"http://{member.host}:{member.port}{PEER_PATH}"


@dataclass(frozen=True, slots=True)
class NeighborHooks:
    """What the connections need of their node."""

    create_proof: Callable[[], str]
    receive: Callable[[Any], None]


class Neighbors:
    """Links to the members that this node calls, made when needed."""

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        view: NodeView,
        balancer: Balancer,
        hooks: NeighborHooks,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._view = view
        self._balancer = balancer
        self._hooks = hooks
        self._links: dict[str, PeerLink] = {}
        self._session: aiohttp.ClientSession | None = None
        self._tasks = TaskGroup()

    def start(self) -> None:
        """Make connections possible; needs a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        self._tasks.start(self._sweep())

    async def call(
        self,
        name: str,
        frame: CallFrame,
    ) -> AnswerFrame | RefusalFrame:
        """Send a call to a member and return its answer."""
        return await self._get_link(name).call(frame)

    def post(self, name: str, message: object) -> None:
        """Send a message; drop it for a node that is not a member."""
        if name in self._view.members:
            self._get_link(name).post(message)

    def follow_members(self) -> None:
        """Close the connections to nodes that have left."""
        for name in self._links.keys() - self._view.members.keys():
            self._tasks.start(self._links.pop(name).close())

    def _get_link(self, name: str) -> PeerLink:
        url = locate_peer(self._view.members[name])
        link = self._links.get(name)
        if link is not None and link.url == url:
            return link
        if self._session is None:
            raise RuntimeError("the node is not started")
        if link is not None:
            self._tasks.start(link.close())
        link = PeerLink(
            url,
            self._session,
            self._codec,
            self._hooks.create_proof,
            self._hooks.receive,
            lambda: self._balancer.mark_unreachable(self._clock.now(), name),
            lambda: self._balancer.mark_reachable(self._clock.now(), name),
            lambda: self._is_member_at(name, url),
        )
        self._links[name] = link
        return link

    async def _sweep(self) -> None:
        """Close connections that carried nothing for a while.

        Each costs memory and pings on both sides; a new one takes about
        1 ms.
        """
        while True:
            await asyncio.sleep(LINK_IDLE.total_seconds())
            idle = [n for n, k in self._links.items() if not k.take_used()]
            for name in idle:
                self._tasks.start(self._links.pop(name).close())

    def _is_member_at(self, name: str, url: str) -> bool:
        member = self._view.members.get(name)
        return member is not None and locate_peer(member) == url

    async def close(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        for link in self._links.values():
            await link.close()
        if self._session is not None:
            await self._session.close()
