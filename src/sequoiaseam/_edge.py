"""HTTP/1.1 server: callers' requests in, whole answers out.

The same server, with another chain, is the loopback listener for the
calls of the backend server.
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
# The parser's own limit; the check of the whole header block, which
# gives a refusal with a request id, comes before it.
PARSER_LIMIT: Final = 2 * HEADERS_LIMIT_MAX_BYTES
# Further connections are closed at once.
CONNECTIONS_MAX: Final = 5_000
# A connection without a whole request head by then is closed.
FIRST_REQUEST_TIMEOUT_SECONDS: Final = 10.0


def create_refusal_response(
    error: RefusalError,
    request_id: str | None,
) -> web.Response:
    """Return the documented HTTP response for a refusal."""
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
    """Return the HTTP response for a whole answer."""
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
    """Answer malformed HTTP with the documented refusal."""

    __slots__ = ("_server", "served")

    def __init__(self, server: "EdgeServer", **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        # Whether a request has come on this connection.
        self.served = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the connections, and the wait for a first request."""
        super().connection_made(transport)
        self._server.open_connections += 1
        if self._server.open_connections > CONNECTIONS_MAX:
            self.force_close()
            return
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_TIMEOUT_SECONDS,
            self._check_served,
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection as closed."""
        self._server.open_connections -= 1
        super().connection_lost(exc)

    def _check_served(self) -> None:
        if not self.served:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a refusal; close the connection after it."""
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
            f"a header is over {PARSER_LIMIT} bytes",
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
    """An aiohttp server that runs each request through a chain."""

    def __init__(
        self,
        handler: Callable[
            [web.BaseRequest],
            Awaitable[web.StreamResponse],
        ],
    ) -> None:
        # With handler_cancellation a request ends when its caller goes.
        super().__init__(handler, handler_cancellation=True)
        self.open_connections = 0

    def __call__(self) -> RequestHandler:
        return EdgeProtocol(
            self,
            loop=asyncio.get_running_loop(),
            max_line_size=PARSER_LIMIT,
            max_field_size=PARSER_LIMIT,
            max_headers=256,
            lingering_time=1.0,
        )


class Edge:
    """Turn HTTP requests into exchanges and answers into responses."""

    def __init__(self, clock: Clock, chain: Handler) -> None:
        self._clock = clock
        self._chain = chain
        self._active = 0
        self._idle = asyncio.Event()
        # Set while the node drains: connections close after the answer.
        self.closing = False

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._active:
            self._idle.clear()
            await self._idle.wait()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self._active += 1
        if isinstance(request.protocol, EdgeProtocol):
            request.protocol.served = True
        try:
            response = await self._run(request)
        finally:
            self._active -= 1
            if not self._active:
                self._idle.set()
        if self.closing:
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
        )
        try:
            answer = await self._chain(exchange)
        except RefusalError as error:
            response = create_refusal_response(error, exchange.request_id)
            if not request.content.is_eof():
                response.force_close()
            return response
        return create_response(answer, exchange.request_id)


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
    """Return the body; raise BODY_TOO_LARGE beyond ``limit`` bytes."""
    too_large = RefusalError(
        ErrorCode.BODY_TOO_LARGE,
        f"the body is over the route's limit of {limit} bytes",
    )
    if (request.content_length or 0) > limit:
        raise too_large
    await _continue(request)
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


async def _continue(request: web.BaseRequest) -> None:
    """Tell a caller that asked first to send the body.

    Here and not ahead of the checks, so that the body of a refused
    request need not be sent. aiohttp does it for applications only.
    """
    expect = request.headers.get(hdrs.EXPECT, "")
    if request.version < HttpVersion11 or expect.lower() != "100-continue":
        return
    writer = request.writer
    await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # Only the answer's own bytes count.
    writer.output_size = 0


async def start_listener(
    handler: Any,
    host: str,
    port: int,
) -> tuple[web.ServerRunner, int]:
    """Serve on an address; return the runner and the bound port."""
    runner = web.ServerRunner(EdgeServer(handler), handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    return runner, runner.addresses[0][1]
