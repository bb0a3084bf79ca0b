"""Startup and shutdown of the long-running programs."""

import asyncio
import contextlib
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Final, NoReturn, Protocol, TypeVar

import uvloop

from sequoiaseam._logs import Level, configure_logging, log_event
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.errors import SeamError

EXIT_SETTINGS_INVALID: Final = 2
EXIT_STARTUP_FAILED: Final = 3
HANDLED_SIGNALS: Final = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
GC_THRESHOLDS: Final = (20_000, 20, 50)
LAG_CHECK_INTERVAL: Final = timedelta(milliseconds=100)
# Callers may notice an event loop that is this late. Shorter delays are
# common on a busy machine.
LAG_LOGGED_MIN: Final = timedelta(milliseconds=200)


class Service(Protocol):
    """The main object of a program."""

    @property
    def close_time_limit(self) -> timedelta:
        """Return the time from SIGTERM after which ``close`` is cancelled."""

    async def start(self) -> None:
        """Start serving."""

    async def drain(self, elapsed: timedelta) -> None:
        """Finish the work in progress.

        ``elapsed`` is the time since the stop was requested.
        """

    async def close(self) -> None:
        """Stop serving and release all resources."""


class Settings(Protocol):
    """Settings that all programs have in common."""

    @property
    def name(self) -> str:
        """Return the name of this host."""

    @property
    def log_level(self) -> str:
        """Return the minimum level of the events that are logged."""


SettingsT = TypeVar("SettingsT", bound=Settings)


def raise_descriptor_limit() -> None:
    """Raise the soft limit of open files to the hard limit.

    A common soft limit is 1,024. Beyond it, the event loop closes each new
    connection, whatever the caller has sent.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == hard_limit:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    except (ValueError, OSError) as error:
        log_event(
            Level.WARNING,
            "cannot raise the limit of open files",
            limit=soft_limit,
            reason=str(error),
        )


async def log_lag(name: str) -> None:
    """Log each time at which the event loop was late."""
    loop = asyncio.get_running_loop()
    interval = LAG_CHECK_INTERVAL.total_seconds()
    while True:
        expected_at = loop.time() + interval
        await asyncio.sleep(interval)
        lag = timedelta(seconds=loop.time() - expected_at)
        if lag >= LAG_LOGGED_MIN:
            log_event(Level.WARNING, "event loop late", host=name, lag=lag)


class StopRequest:
    """The first request to stop, and the time since then.

    ``read_time`` returns seconds of a steady clock. The event loop's own
    time is that of the start of its iteration.
    """

    def __init__(
        self, read_time: Callable[[], float] = time.monotonic
    ) -> None:
        self._read_time = read_time
        self._requested = asyncio.Event()
        self._requested_at: float | None = None

    def note_time(self, *_: object) -> None:
        """Take the time of the first signal; a handler of ``signal.signal``.

        The interpreter calls it between two instructions, so that the time
        doesn't include what the event loop is late by.
        """
        if self._requested_at is None:
            self._requested_at = self._read_time()

    def set(self) -> None:
        """Request the stop; ignored if it was requested before."""
        self.note_time()
        self._requested.set()

    async def wait(self) -> None:
        """Wait until the stop is requested."""
        await self._requested.wait()

    @property
    def elapsed(self) -> timedelta:
        """Return the time since the stop was requested."""
        now = self._read_time()
        return timedelta(seconds=now - (self._requested_at or now))


async def run_service(service: Service, name: str) -> None:
    """Run until SIGTERM or SIGINT, then drain and close.

    A signal during startup ends the startup. SIGHUP doesn't stop the
    service; settings are read only at startup.
    """
    raise_descriptor_limit()
    stop_request = StopRequest()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: log_event(
            Level.INFO,
            "SIGHUP ignored; settings are read only at startup",
            host=name,
        ),
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_request.set)
        # Replaces a handler of the loop that does nothing.
        signal.signal(signal_number, stop_request.note_time)
        signal.siginterrupt(signal_number, False)  # noqa: FBT003
    monitoring = TaskGroup()
    monitoring.start(log_lag(name))
    if await _start(service, stop_request):
        # Objects allocated during startup are long-lived. Excluding them
        # from later collections shortens the pauses that add to tail
        # latency.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log_event(Level.INFO, "started", host=name)
        await stop_request.wait()
    log_event(Level.INFO, "draining", host=name)
    try:
        await service.drain(stop_request.elapsed)
    finally:
        await _close(service, name, stop_request)
        await monitoring.cancel()
    log_event(Level.INFO, "stopped", host=name, duration=stop_request.elapsed)


async def _close(
    service: Service, name: str, stop_request: StopRequest
) -> None:
    """Close the service, for as long as its time limit allows."""
    remaining = service.close_time_limit - stop_request.elapsed
    try:
        async with asyncio.timeout(remaining.total_seconds()) as time_limit:
            await service.close()
    except TimeoutError:
        if not time_limit.expired():
            raise
        log_event(
            Level.WARNING,
            "close took too long",
            host=name,
            duration=stop_request.elapsed,
        )


async def _start(service: Service, stop_request: StopRequest) -> bool:
    """Start the service; return False if a stop was requested meanwhile.

    The startup is then cancelled, as it may last for as long as a disk
    fails.
    """
    start_task = asyncio.ensure_future(service.start())
    stop_task = asyncio.ensure_future(stop_request.wait())
    await asyncio.wait(
        (start_task, stop_task), return_when=asyncio.FIRST_COMPLETED
    )
    stop_task.cancel()
    start_task.cancel()
    try:
        await start_task
    except asyncio.CancelledError:
        return False
    return True


def _exit_process() -> NoReturn:
    """End the process at once with status 0.

    The end of the event loop and of the interpreter would wait for threads
    and free each object, which takes long on a busy machine and has no
    effect that lasts: log lines are written unbuffered, and the kernel sends
    what was written to connections.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(0)


async def _run_until_exit(service: Service, name: str) -> NoReturn:
    """Run a service, and end the process once it has stopped."""
    await run_service(service, name)
    _exit_process()


def run_embedded(create: Callable[[], Service], name: str) -> None:
    """Run a service embedded in another program; log to standard output.

    After a stop, it ends the process. If the service fails, signals are
    ignored from the end of the event loop on, so that one that is repeated
    doesn't change the exit status.
    """
    configure_logging(Level.INFO, sys.stdout)
    try:
        uvloop.run(_run_until_exit(create(), name))
    finally:
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


def run_program(
    path: Path,
    load: Callable[[Path], SettingsT],
    create: Callable[[SettingsT], Service],
) -> None:
    """Load and validate the settings, then run the service.

    After a stop, it ends the process with status 0. Exit with status 2 if
    the settings are invalid, 3 if startup fails.
    """
    try:
        settings = load(path)
    except SeamError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS_INVALID)
    configure_logging(Level(settings.log_level))
    try:
        asyncio.run(_run_until_exit(create(settings), settings.name))
    except (SeamError, OSError) as error:
        code = error.code.value if isinstance(error, SeamError) else "START"
        log_event(
            Level.ERROR,
            "start failed",
            host=settings.name,
            code=code,
            reason=str(error),
        )
        sys.exit(EXIT_STARTUP_FAILED)
