"""HTTP/1.1 server that runs requests through a filter chain.

A response is sent only once it is complete. The same server, with
another chain, serves the nested calls of the backend server on the
loopback listener.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Final

from aiohttp import hdrs, web
from aiohttp.http_exceptions import (
    BadHttpMessage,
    HttpProcessingError,
    LineTooLong,
)
from aiohttp.http_writer import HttpVersion11
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from sequoiaseam._clock import Clock
from sequoiaseam._exchange import Exchange, Handler, Response
from sequoiaseam._logs import Level, log_event
from sequoiaseam._sites import open_site
from sequoiaseam._unread_input import has_unread_input
from sequoiaseam._verdict import Verdict
from sequoiaseam.const import (
    CODE_HEADER,
    HEADERS_LIMIT_MAX_BYTES,
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
)
from sequoiaseam.errors import ErrorCode, RefusalError

SERVER_NAME: Final = "sequoiaseam"
MILLISECOND: Final = timedelta(milliseconds=1)
# Limit of the HTTP parser for the request line and for each header. It is
# above every valid limit of the header block, so that the check of the
# block, whose refusal carries a request id, takes effect first.
PARSER_FIELD_MAX_BYTES: Final = 2 * HEADERS_LIMIT_MAX_BYTES
# Connections beyond this number are closed as soon as they are accepted.
CONNECTIONS_MAX: Final = 5_000
# A connection that has not sent a complete request head within this time
# is closed.
FIRST_REQUEST_TIMEOUT_SECONDS: Final = 10.0
# Time to read what waits in the kernel at the end of that time.
UNREAD_CHECK_DELAY_SECONDS: Final = 0.1


def create_refusal_response(
    error: RefusalError,
    request_id: str | None,
) -> web.Response:
    """Return the HTTP response that reports a refusal."""
    headers = {
        CODE_HEADER: error.code.value,
        VERDICT_HEADER: error.verdict.value,
        hdrs.SERVER: SERVER_NAME,
    }
    retry_after_ms: int | None = None
    if error.retry_after is not None:
        retry_after_ms = max(1, error.retry_after // MILLISECOND)
        headers["Retry-After"] = str(-(-retry_after_ms // 1000))
    if request_id is not None:
        headers[REQUEST_ID_HEADER] = request_id
    body = {
        "code": error.code.value,
        "verdict": error.verdict.value,
        "message": error.message,
        "request_id": request_id,
        "retry_after_ms": retry_after_ms,
    }
    return web.Response(
        status=error.status,
        headers=headers,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )


def create_response(answer: Response, request_id: str | None) -> web.Response:
    """Return the HTTP response for a complete answer."""
    headers = CIMultiDict(answer.headers)
    if request_id is not None:
        headers[REQUEST_ID_HEADER] = request_id
    headers.setdefault(hdrs.SERVER, SERVER_NAME)
    return web.Response(
        status=answer.status,
        headers=headers,
        body=answer.body,
    )


class EdgeProtocol(RequestHandler):
    """HTTP connection that answers malformed requests with a refusal."""

    __slots__ = ("_received_request", "_server")

    def __init__(self, server: "EdgeServer", **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        self._received_request = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the connections and the wait for the first request."""
        super().connection_made(transport)
        self._server.open_connections += 1
        if self._server.open_connections > CONNECTIONS_MAX:
            self.force_close()
            return
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_TIMEOUT_SECONDS,
            self._close_if_unused,
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the count of open ones."""
        self._server.open_connections -= 1
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and note whether it completes a head."""
        super().data_received(data)
        if self._messages:
            self._received_request = True

    def _close_if_unused(self) -> None:
        if self._received_request or self.transport is None:
            return
        if has_unread_input(self.transport):
            # The event loop is late; the request may have come long ago.
            asyncio.get_running_loop().call_later(
                UNREAD_CHECK_DELAY_SECONDS, self._close_if_unused
            )
        else:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a refusal and close the connection after it."""
        del request, message
        error = _classify_error(status, exc)
        if error.code is ErrorCode.INTERNAL:
            log_event(
                Level.ERROR,
                "request handler failed",
                error=type(exc).__name__,
            )
        response = create_refusal_response(error, None)
        response.force_close()
        return response


def _classify_error(status: int, exc: BaseException | None) -> RefusalError:
    if isinstance(exc, LineTooLong):
        return RefusalError(
            ErrorCode.HEADERS_TOO_LARGE,
            f"a header is over {PARSER_FIELD_MAX_BYTES} bytes",
        )
    malformed = isinstance(exc, BadHttpMessage | HttpProcessingError)
    if malformed or status < 500:
        return RefusalError(
            ErrorCode.BAD_REQUEST,
            "the request is not well-formed HTTP/1.1",
        )
    return RefusalError(
        ErrorCode.INTERNAL,
        "the node failed to handle the request",
        verdict=Verdict.MAY_HAVE_RUN,
    )


class EdgeServer(web.Server):
    """aiohttp server that counts its open connections."""

    def __init__(
        self,
        handler: Callable[
            [web.BaseRequest],
            Awaitable[web.StreamResponse],
        ],
    ) -> None:
        # With handler_cancellation, a request is cancelled when its caller
        # disconnects.
        super().__init__(handler, handler_cancellation=True)
        self.open_connections = 0

    def __call__(self) -> RequestHandler:
        return EdgeProtocol(
            self,
            loop=asyncio.get_running_loop(),
            max_line_size=PARSER_FIELD_MAX_BYTES,
            max_field_size=PARSER_FIELD_MAX_BYTES,
            max_headers=256,
            lingering_time=1.0,
        )


class Edge:
    """Convert HTTP requests to exchanges and answers to HTTP responses."""

    def __init__(self, clock: Clock, chain: Handler) -> None:
        self._clock = clock
        self._chain = chain
        self._active_requests: set[asyncio.Task[Any] | None] = set()
        self._idle = asyncio.Event()
        # Set while the node drains: each connection is closed after its
        # next response.
        self.close_connections = False
        # Set at the end of a drain: new requests are refused.
        self.closing = False
        # Set after that: requests in progress are refused.
        self._refusing = False

    @property
    def active_requests(self) -> int:
        """Return the number of requests in progress."""
        return len(self._active_requests)

    async def refuse_all(self) -> None:
        """Refuse the requests in progress, which may have run."""
        self.closing = self._refusing = True
        for task in self._active_requests:
            if task is not None:
                task.cancel()
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._active_requests:
            self._idle.clear()
            await self._idle.wait()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""
        task = asyncio.current_task()
        self._active_requests.add(task)
        try:
            response = await self._run(request)
        finally:
            self._active_requests.discard(task)
            if not self._active_requests:
                self._idle.set()
        if self.close_connections:
            response.force_close()
        return response

    async def _run(self, request: web.BaseRequest) -> web.Response:
        exchange = Exchange(
            method=request.method,
            path=request.raw_path,
            headers=_decode_headers(request),
            body=b"",
            arrived=self._clock.now(),
            read_body=lambda limit: read_body(request, limit),
            announced_length=_find_length(request),
        )
        try:
            answer = await self._run_chain(exchange)
        except RefusalError as error:
            response = create_refusal_response(error, exchange.request_id)
            if not request.content.is_eof():
                response.force_close()
            return response
        return create_response(answer, exchange.request_id)

    async def _run_chain(self, exchange: Exchange) -> Response:
        if self.closing:
            raise RefusalError(ErrorCode.DRAINING, "the node is draining")
        try:
            return await self._chain(exchange)
        except asyncio.CancelledError:
            if not self._refusing:
                raise
            raise RefusalError(
                ErrorCode.DRAINING,
                "the node stopped before the response",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from None


def _find_length(request: web.BaseRequest) -> int | None:
    """Return the length of the body, None if it is only known at its end."""
    if request.content.is_eof():
        return 0
    return request.content_length


def _decode_headers(
    request: web.BaseRequest,
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (
            name.decode("ascii", "surrogateescape"),
            value.decode("utf-8", "surrogateescape"),
        )
        for name, value in request.raw_headers
    )


async def read_body(request: web.BaseRequest, limit: int) -> bytes:
    """Return the body; raise BODY_TOO_LARGE if it exceeds ``limit`` bytes."""
    too_large = RefusalError(
        ErrorCode.BODY_TOO_LARGE,
        f"the body is over the route's limit of {limit} bytes",
    )
    if (request.content_length or 0) > limit:
        raise too_large
    await _send_continue(request)
    chunks: list[bytes] = []
    size = 0
    try:
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > limit:
                raise too_large
            chunks.append(chunk)
    except (HttpProcessingError, ConnectionError) as error:
        raise RefusalError(
            ErrorCode.BAD_REQUEST,
            "the body is not whole",
        ) from error
    return b"".join(chunks)


async def _send_continue(request: web.BaseRequest) -> None:
    """Send 100 Continue to a caller that expects it.

    It is sent only when the body is read, after the checks of the
    request, so that a caller need not send the body of a refused
    request. aiohttp sends it by itself only for ``web.Application``.
    """
    expect = request.headers.get(hdrs.EXPECT, "")
    if request.version < HttpVersion11 or expect.lower() != "100-continue":
        return
    writer = request.writer
    await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The size must cover the bytes of the final response only.
    writer.output_size = 0


async def start_listener(
    handler: Any,
    host: str,
    port: int,
) -> tuple[web.ServerRunner, int]:
    """Start an HTTP server; return its runner and the bound port."""
    runner = web.ServerRunner(EdgeServer(handler), handle_signals=False)
    await runner.setup()
    await open_site(runner, host, port, backlog=1024)
    return runner, runner.addresses[0][1]
