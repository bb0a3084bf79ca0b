"""Startup and shutdown of the long-running programs."""

import asyncio
import contextlib
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, NoReturn, Protocol, TypeVar, runtime_checkable

import uvloop

from sequoiaseam._allocator import limit_allocator_cache
from sequoiaseam._logs import (
    Level,
    configure_logging,
    describe_error,
    log_event,
)
from sequoiaseam._process_end import enable_crash_log, log_process_end
from sequoiaseam._tasks import TaskGroup, is_cancelled
from sequoiaseam.errors import SeamError

EXIT_FAILED: Final = 1
EXIT_SETTINGS_INVALID: Final = 2
EXIT_STARTUP_FAILED: Final = 3
HANDLED_SIGNALS: Final = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
GC_THRESHOLDS: Final = (20_000, 20, 50)
LAG_CHECK_INTERVAL: Final = timedelta(milliseconds=100)
# Callers may notice an event loop that is this late. Shorter delays are
# common on a busy machine.
LAG_LOGGED_MIN: Final = timedelta(milliseconds=200)
# How often to look for a signal that the event loop has missed.
SIGNAL_CHECK_INTERVAL: Final = timedelta(milliseconds=250)
# Time for the record of an end in order, which a disk may hold up.
RECORD_TIME_LIMIT: Final = timedelta(milliseconds=100)


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
        # The first signal; empty for a stop without one.
        self.signal_name = ""

    def note_signal(self, signal_number: int, *_: object) -> None:
        """Take the time of the first signal; a handler of ``signal.signal``.

        The interpreter calls it between two instructions, so that the time
        doesn't include what the event loop is late by. What it raised would
        come out of the code that is running.
        """
        with contextlib.suppress(Exception):
            if self._requested_at is None:
                self._requested_at = self._read_time()
                self.signal_name = signal.Signals(signal_number).name

    def set(self) -> None:
        """Request the stop; ignored if it was requested before."""
        if self._requested_at is None:
            self._requested_at = self._read_time()
        self._requested.set()

    def follow_signal(self) -> None:
        """Request the stop if the event loop has missed its signal.

        The loop's own handler may fail, and a signal that the loop has no
        room to note is lost.
        """
        if self._requested_at is not None:
            self._requested.set()

    @property
    def requested(self) -> bool:
        """Return whether the stop is requested."""
        return self._requested.is_set()

    async def wait(self) -> None:
        """Wait until the stop is requested."""
        await self._requested.wait()

    @property
    def elapsed(self) -> timedelta:
        """Return the time since the stop was requested."""
        now = self._read_time()
        return timedelta(seconds=now - (self._requested_at or now))


@runtime_checkable
class DescribesState(Protocol):
    """A service that tells what it has in progress."""

    def describe_state(self) -> dict[str, object]:
        """Return log fields on what it has done and what is unanswered."""


@runtime_checkable
class RecordsEnd(Protocol):
    """A service that leaves a record of its end to the next process."""

    async def record_end(self, reason: str) -> None:
        """Record that the process ends in order, and why."""


class ServiceRun:
    """One run of a service, from its start to its close.

    ``error`` is the first one that the service raised, and ``phase`` the one
    in which it did.
    """

    def __init__(self, service: Service, name: str) -> None:
        self._service = service
        self._name = name
        self._stop_request = StopRequest()
        self.phase = "start"
        self.error: BaseException | None = None
        # Log fields on what was in progress before the close.
        self.state: dict[str, object] = {}

    @property
    def reason(self) -> str:
        """Return why the run ended: a signal, or the phase that failed."""
        if self.error is not None:
            return f"{self.phase} failed"
        return self._stop_request.signal_name

    @property
    def elapsed(self) -> timedelta:
        """Return the time since the stop was requested."""
        return self._stop_request.elapsed

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and close.

        A signal during startup ends the startup. SIGHUP doesn't stop the
        service; settings are read only at startup. What fails doesn't keep
        the rest of a stop from its work.
        """
        raise_descriptor_limit()
        limit_allocator_cache()
        self._handle_signals()
        monitoring = TaskGroup()
        monitoring.start(log_lag(self._name))
        monitoring.start_periodic(
            SIGNAL_CHECK_INTERVAL, self._stop_request.follow_signal
        )
        if await self._guard("start", self._start()):
            await self._stop_request.wait()
        elif self.error is not None:
            # Listeners may have been opened before, and read requests.
            self._stop_request.set()
        log_event(Level.INFO, "draining", host=self._name)
        await self._guard(
            "drain", self._service.drain(self._stop_request.elapsed)
        )
        self._read_state()
        await self._guard(
            "close", _close(self._service, self._name, self._stop_request)
        )
        await monitoring.cancel()
        log_event(
            Level.INFO,
            "stopped",
            host=self._name,
            duration=self._stop_request.elapsed,
        )
        await self._record_end()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        name = self._name
        loop.add_signal_handler(
            signal.SIGHUP,
            lambda: log_event(
                Level.INFO,
                "SIGHUP ignored; settings are read only at startup",
                host=name,
            ),
        )
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_request.set)
            # Replaces a handler of the loop that does nothing.
            signal.signal(signal_number, self._stop_request.note_signal)
            signal.siginterrupt(signal_number, False)  # noqa: FBT003

    async def _guard(self, phase: str, work: Awaitable[bool | None]) -> bool:
        """Do a phase's work; keep its error. Return what the work returns."""
        try:
            return bool(await work)
        except asyncio.CancelledError as error:
            if is_cancelled():
                raise
            failure: BaseException = error
        except Exception as error:  # noqa: BLE001
            failure = error
        with contextlib.suppress(Exception):
            log_event(
                Level.ERROR,
                "unexpected error; going on with the stop",
                host=self._name,
                phase=phase,
                **describe_error(failure),
            )
        if self.error is None:
            self.phase, self.error = phase, failure
        return False

    async def _start(self) -> bool:
        """Start the service; return False if a stop was requested meanwhile.

        The startup is then cancelled, as it may last for as long as a disk
        fails.
        """
        start_task = asyncio.ensure_future(self._service.start())
        stop_task = asyncio.ensure_future(self._stop_request.wait())
        await asyncio.wait(
            (start_task, stop_task), return_when=asyncio.FIRST_COMPLETED
        )
        stop_task.cancel()
        start_task.cancel()
        try:
            await start_task
        except asyncio.CancelledError:
            if is_cancelled() or not self._stop_request.requested:
                raise
            return False
        # Objects allocated during startup are long-lived. Excluding them
        # from later collections shortens the pauses that add to tail
        # latency.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log_event(Level.INFO, "started", host=self._name)
        return True

    def _read_state(self) -> None:
        """Keep what is in progress before the close ends it."""
        if isinstance(self._service, DescribesState):
            with contextlib.suppress(Exception):
                self.state = self._service.describe_state()

    async def _record_end(self) -> None:
        """Record an end in order, if the disk responds."""
        if self.error is not None or not isinstance(self._service, RecordsEnd):
            return
        with contextlib.suppress(Exception):
            async with asyncio.timeout(RECORD_TIME_LIMIT.total_seconds()):
                await self._service.record_end(self.reason)


async def run_service(service: Service, name: str) -> None:
    """Run until SIGTERM or SIGINT, then drain and close.

    Raise the first error of the service once it is closed.
    """
    run = ServiceRun(service, name)
    await run.run()
    if run.error is not None:
        raise run.error


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


def _exit_process(status: int) -> NoReturn:
    """End the process at once.

    The end of the event loop and of the interpreter would wait for threads
    and free each object, which takes long on a busy machine and has no
    effect that lasts: log lines are written unbuffered, and the kernel sends
    what was written to connections.
    """
    if status == 0:
        # A reader that has stopped would hold up the end after a failure,
        # and nothing that matters is buffered.
        for stream in (sys.stdout, sys.stderr):
            with contextlib.suppress(OSError, ValueError):
                stream.flush()
    os._exit(status)


def _log_start_failure(name: str, error: BaseException) -> None:
    """Log what an operator may mend, such as a setting or an address."""
    if isinstance(error, SeamError | OSError):
        code = error.code.value if isinstance(error, SeamError) else "START"
        log_event(
            Level.ERROR,
            "start failed",
            host=name,
            code=code,
            reason=str(error),
        )


async def _run_until_exit(service: Service, name: str) -> NoReturn:
    """Run a service, and end the process once it has stopped."""
    run = ServiceRun(service, name)
    await run.run()
    status = 0
    if run.error is not None:
        status = EXIT_FAILED
        if run.phase == "start":
            status = EXIT_STARTUP_FAILED
            _log_start_failure(name, run.error)
    log_process_end(
        name,
        run.reason,
        status,
        run.error,
        duration=run.elapsed,
        **run.state,
    )
    _exit_process(status)


def _run(
    run: Callable[[Coroutine[Any, Any, NoReturn]], NoReturn],
    create: Callable[[], Service],
    name: str,
) -> NoReturn:
    """Run a service in an event loop and end the process, whatever happens.

    Signals are ignored from the end of the event loop on, so that one that
    is repeated doesn't change the exit status.
    """
    enable_crash_log()
    try:
        run(_run_until_exit(create(), name))
    except BaseException as error:  # noqa: BLE001
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)
        log_process_end(name, "program failed", EXIT_FAILED, error)
    _exit_process(EXIT_FAILED)


def run_embedded(create: Callable[[], Service], name: str) -> NoReturn:
    """Run a service embedded in another program; log to standard output.

    It ends the process: with status 0 after a stop, 3 if startup fails, 1
    after any other failure.
    """
    configure_logging(Level.INFO, sys.stdout)
    _run(uvloop.run, create, name)


def run_program(
    path: Path,
    load: Callable[[Path], SettingsT],
    create: Callable[[SettingsT], Service],
) -> NoReturn:
    """Load and validate the settings, then run the service.

    It ends the process: with status 0 after a stop, 2 if the settings are
    invalid, 3 if startup fails, 1 after any other failure.
    """
    try:
        settings = load(path)
    except SeamError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS_INVALID)
    configure_logging(Level(settings.log_level))
    _run(asyncio.run, lambda: create(settings), settings.name)
