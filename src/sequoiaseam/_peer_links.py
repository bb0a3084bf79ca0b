"""Connections of a node to the other nodes, opened on demand."""

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

# A link that was not used between two checks is closed.
LINK_IDLE_CHECK_INTERVAL: Final = timedelta(minutes=1)


def build_peer_url(member: Member) -> str:
    """Return the URL of a member's peer listener."""
    return f"http://{member.host}:{member.port}{PEER_PATH}"


@dataclass(frozen=True, slots=True)
class PeerLinkHooks:
    """Callbacks into the node that owns the links."""

    create_proof: Callable[[], str]
    handle_message: Callable[[Any], None]


class PeerLinkPool:
    """Links to the members that this node calls, opened on demand."""

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        view: NodeView,
        balancer: Balancer,
        hooks: PeerLinkHooks,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._view = view
        self._balancer = balancer
        self._hooks = hooks
        self._links: dict[str, PeerLink] = {}
        # Links to former members and addresses that calls still use.
        self._retired_links: set[PeerLink] = set()
        self._session: aiohttp.ClientSession | None = None
        self._tasks = TaskGroup()

    def start(self) -> None:
        """Create the client session; requires a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        self._tasks.start(self._close_idle_links())

    async def call(
        self,
        name: str,
        frame: CallFrame,
    ) -> AnswerFrame | RefusalFrame:
        """Send a call to a member and return its answer."""
        return await self._get_link(name).call(frame)

    def post(self, name: str, message: object) -> None:
        """Send a message; drop it if the node is not a member."""
        if name in self._view.members:
            self._get_link(name).post(message)

    def close_departed(self) -> None:
        """Retire the links to nodes that are no longer members.

        Such a node may still run calls, for example if it has lost its lease.
        """
        for name in self._links.keys() - self._view.members.keys():
            self._retire(self._links.pop(name))

    def _retire(self, link: PeerLink) -> None:
        self._retired_links.add(link)
        self._tasks.start(self._close_retired(link))

    async def _close_retired(self, link: PeerLink) -> None:
        await link.retire()
        self._retired_links.discard(link)

    def _get_link(self, name: str) -> PeerLink:
        url = build_peer_url(self._view.members[name])
        link = self._links.get(name)
        if link is not None and link.url == url:
            return link
        if self._session is None:
            raise RuntimeError("the node is not started")
        if link is not None:
            self._retire(link)
        link = PeerLink(
            url,
            self._session,
            self._codec,
            self._clock,
            self._hooks.create_proof,
            self._hooks.handle_message,
            lambda: self._balancer.mark_unreachable(self._clock.now(), name),
            lambda: self._balancer.mark_reachable(self._clock.now(), name),
            lambda: self._is_member_at(name, url),
        )
        self._links[name] = link
        return link

    async def _close_idle_links(self) -> None:
        """Close the links that were not used since the last check.

        An idle link costs memory and heartbeats at both ends, while
        opening a new one takes about 1 ms.
        """
        while True:
            await asyncio.sleep(LINK_IDLE_CHECK_INTERVAL.total_seconds())
            idle_names = [
                peer
                for peer, link in self._links.items()
                if not link.test_and_clear_used()
            ]
            for name in idle_names:
                self._retire(self._links.pop(name))

    def _is_member_at(self, name: str, url: str) -> bool:
        member = self._view.members.get(name)
        return member is not None and build_peer_url(member) == url

    async def close(self) -> None:
        """Close all links and the client session."""
        await self._tasks.cancel()
        for link in (*self._links.values(), *self._retired_links):
            await link.close()
        if self._session is not None:
            await self._session.close()
