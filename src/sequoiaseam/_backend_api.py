"""Loopback HTTP interface for the backend server beside the node.

``PUT /v1/backend`` announces the backend server and ``DELETE`` withdraws
it. All other requests are nested calls, which need a handle.
"""

from collections.abc import Awaitable, Callable
from typing import Final
from urllib.parse import urlsplit

import msgspec
from aiohttp import web

from sequoiaseam._backend import Announcement
from sequoiaseam._call_executor import CallExecutor
from sequoiaseam._edge import create_refusal_response, read_body
from sequoiaseam._logs import Level, log_event
from sequoiaseam.const import ANNOUNCE_INTERVAL, HANDLE_HEADER
from sequoiaseam.errors import ErrorCode, RefusalError

BACKEND_PATH: Final = "/v1/backend"
ANNOUNCEMENT_BYTES_MAX: Final = 4096
ANNOUNCED_STATES: Final = frozenset(("serving", "draining"))
LOOPBACK_ADDRESSES: Final = frozenset(("127.0.0.1", "::1", "localhost"))

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def validate_announcement(announcement: Announcement) -> None:
    """Raise BAD_REQUEST if the announcement is invalid."""
    url = urlsplit(announcement.url)
    problems = {
        "pool is empty": not announcement.pool,
        "url is not http:// on loopback": (
            url.scheme != "http" or url.hostname not in LOOPBACK_ADDRESSES
        ),
        "slots is not positive": announcement.slots < 1,
        "connections is not positive": announcement.connections < 1,
        "load is outside 0 to 1": not 0.0 <= announcement.load <= 1.0,
        "state is unknown": announcement.state not in ANNOUNCED_STATES,
    }
    found = [text for text, bad in problems.items() if bad]
    if found:
        raise RefusalError(ErrorCode.BAD_REQUEST, "; ".join(found))


class BackendApi:
    """Handle announcements and pass on nested calls."""

    def __init__(self, executor: CallExecutor, handle_nested: Handler) -> None:
        self._executor = executor
        self._handle_nested = handle_nested
        self._decoder = msgspec.json.Decoder(Announcement)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a request from the backend server."""
        if request.path != BACKEND_PATH or HANDLE_HEADER in request.headers:
            return await self._handle_nested(request)
        try:
            return await self._handle_announcement(request)
        except RefusalError as error:
            log_event(
                Level.WARNING,
                "announcement refused",
                reason=error.message,
            )
            return create_refusal_response(error, None)

    async def _handle_announcement(
        self, request: web.BaseRequest
    ) -> web.Response:
        if request.method == "DELETE":
            self._executor.withdraw()
            return web.Response(status=204)
        if request.method != "PUT":
            raise RefusalError(
                ErrorCode.METHOD_NOT_ALLOWED,
                f"{BACKEND_PATH} takes PUT and DELETE",
            )
        body = await read_body(request, ANNOUNCEMENT_BYTES_MAX)
        try:
            announcement = self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise RefusalError(
                ErrorCode.BAD_REQUEST,
                str(error),
            ) from error
        validate_announcement(announcement)
        self._executor.accept_announcement(announcement)
        milliseconds = ANNOUNCE_INTERVAL.total_seconds() * 1000
        return web.json_response({"heartbeat_ms": int(milliseconds)})
