"""Runs a replica: timers, disk, messages and pending requests."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._commands import COMMAND_TYPES, Command, Noop
from sequoiaseam._disk_thread import DiskThread
from sequoiaseam._files import DiskFileSystem
from sequoiaseam._group_repair import Exchange, RepairStep, Retire
from sequoiaseam._journal import Journal
from sequoiaseam._logs import Level, log_event
from sequoiaseam._pending import PendingFutures
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam._replica_messages import (
    Action,
    Actions,
    Apply,
    Confirmed,
    InstallSnapshot,
    Persist,
    ProposalCommitted,
    Rejected,
    RestoredState,
    RoleChanged,
    SaveSnapshot,
    Send,
    Snapshot,
)
from sequoiaseam._tasks import TaskGroup
from sequoiaseam.errors import ErrorCode, SeamError

TICK_INTERVAL: Final = timedelta(milliseconds=25)
CONFIRM_INTERVAL: Final = timedelta(milliseconds=400)
# Shortest time between confirmations that nodes ask for. Each costs the
# leader a heartbeat to each control host.
REQUESTED_CONFIRM_INTERVAL: Final = timedelta(milliseconds=50)
# Delay between attempts to open the journal after a disk error.
REOPEN_DELAY: Final = timedelta(milliseconds=300)
# Time for the disk work in progress to end when the replica stops.
DISK_CLOSE_TIME: Final = timedelta(seconds=1)

COMMAND_CODEC: Final = Codec(COMMAND_TYPES)


@dataclass(frozen=True, slots=True)
class ReplicaHooks:
    """Callbacks to the control host that runs the replica.

    ``send`` sends a message to a host and ``apply`` applies a committed
    command. ``dump`` returns a snapshot of the state, and ``load``
    replaces the state by one. ``on_role_change`` is called after each
    change of role, term or leader. ``restore`` discards the state and
    starts from the snapshot in the journal, or empty if it has none.
    ``on_confirmed`` is called after each confirmation.
    """

    send: Callable[[str, object], None]
    apply: Callable[[int, Command], None]
    dump: Callable[[], bytes]
    load: Callable[[bytes], None]
    on_role_change: Callable[[RoleChanged], None]
    restore: Callable[[Snapshot | None], None]
    on_confirmed: Callable[[], None] = lambda: None


@dataclass(frozen=True, slots=True)
class Confirmation:
    """The newest read index and the time at which it was requested."""

    index: int
    requested_at: datetime


class JournalOpener:
    """Opens a replica's journal and gives a new one its identity.

    With ``replaces_damaged``, a folder whose journal is damaged is
    emptied. The replica then starts with a new identity, which the group
    has to admit.
    """

    def __init__(
        self,
        folder: str,
        create_identity: Callable[[], str],
        *,
        replaces_damaged: bool = False,
    ) -> None:
        self._folder = folder
        self._create_identity = create_identity
        self._replaces_damaged = replaces_damaged
        self._files = DiskFileSystem()

    def open(self) -> tuple[Journal, RestoredState]:
        """Return the journal and its contents; close a former one's files.

        Raise SeamError JOURNAL_DAMAGED or DISK_FAILED.
        """
        # A removed file that is still open keeps its room on the disk.
        self._files.close()
        try:
            return self._open_journal()
        except SeamError as error:
            damaged = error.code is ErrorCode.JOURNAL_DAMAGED
            if not (damaged and self._replaces_damaged):
                raise
            log_event(
                Level.ERROR,
                "journal damaged; emptying it and starting as a new replica",
                reason=error.message,
            )
        self._empty_folder()
        return self._open_journal()

    def _open_journal(self) -> tuple[Journal, RestoredState]:
        journal = Journal(self._folder, self._files)
        return journal, journal.open(self._create_identity)

    def _empty_folder(self) -> None:
        """Remove all files; raise SeamError DISK_FAILED to be tried again."""
        try:
            for name in self._files.list_names(self._folder):
                self._files.remove(f"{self._folder}/{name}")
        except OSError as error:
            raise SeamError(
                ErrorCode.DISK_FAILED, str(error), location=self._folder
            ) from error


class ReplicaRunner:
    """Perform a replica's actions in order, with disk work in a thread."""

    def __init__(
        self,
        journal_opener: JournalOpener,
        config: ReplicaConfig,
        clock: Clock,
        rng: Random,
        hooks: ReplicaHooks,
    ) -> None:
        self._journal_opener = journal_opener
        self._config = config
        self._clock = clock
        self._rng = rng
        self._hooks = hooks
        self._tasks = TaskGroup()
        self._disk_thread = DiskThread("journal")
        self._disk_jobs: asyncio.Queue[Callable[[], Awaitable[None]]] = (
            asyncio.Queue()
        )
        self._tokens = itertools.count(1)
        self._proposals: PendingFutures[int, int] = PendingFutures()
        self._reads: PendingFutures[int, int] = PendingFutures()
        self.confirmation: Confirmation | None = None
        self._confirmation_requested = asyncio.Event()
        # Set when the replica's role or its leader changes.
        self._role_changed = asyncio.Event()
        self.applied_index = 0

    async def start(self) -> None:
        """Open the journal and start the replica's tasks."""
        await self._open_journal()
        self._tasks.start(self._tick_periodically())
        self._tasks.start(self._run_disk_jobs())
        self._tasks.start(self._confirm_periodically())
        self._tasks.start(self._confirm_on_request())

    async def close(self) -> None:
        """Cancel the tasks and wait a short time for disk work in progress.

        What isn't written by then hasn't been acknowledged to anyone.
        """
        await self._tasks.cancel()
        if not await self._disk_thread.close(DISK_CLOSE_TIME):
            log_event(
                Level.WARNING,
                "stopped while the disk doesn't respond",
                replica=self._config.host,
            )

    def receive(self, sender: str, message: Any) -> None:
        """Pass a message from the host ``sender`` to the replica."""
        self._perform_actions(
            self.replica.receive(self._clock.now(), sender, message),
        )

    async def propose(self, command: Command) -> int:
        """Commit a command and return its index.

        Raise SeamError OUTCOME_UNKNOWN if it may still be committed, and
        another code such as NOT_LEADER if it won't be.
        """
        token = next(self._tokens)
        future = self._proposals.create(token)
        self._perform_actions(
            self.replica.propose(
                self._clock.now(),
                COMMAND_CODEC.encode(command),
                token,
            ),
        )
        return await future

    async def replace(self, old: str, new: str) -> int:
        """Start a replacement and return the index of its first step."""
        token = next(self._tokens)
        future = self._proposals.create(token)
        self._perform_actions(
            self.replica.replace(self._clock.now(), old, new, token),
        )
        return await future

    def repair(self, step: RepairStep) -> None:
        """Start a repair step; the replica's status shows its outcome."""
        now = self._clock.now()
        replica = self.replica
        if isinstance(step, Exchange):
            actions = replica.replace(now, step.old, step.new, None)
        elif isinstance(step, Retire):
            actions = replica.remove_voter(now, step.host, None)
        else:
            actions = replica.cancel_replacement(now, None)
        self._perform_actions(actions)

    async def read_barrier(self, *, patient: bool = False) -> int:
        """Return an index that covers all commands acknowledged before.

        With ``patient``, wait for the next regular heartbeat.
        """
        token = next(self._tokens)
        future = self._reads.create(token)
        now = self._clock.now()
        self._perform_actions(
            self.replica.confirm(now, token, patient=patient)
        )
        return await future

    def request_confirmation(self) -> None:
        """Confirm soon, without waiting for the next heartbeat.

        Nothing follows if there is no leader.
        """
        self._confirmation_requested.set()

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
            self._perform_actions(self.replica.tick(self._clock.now()))

    async def _confirm_periodically(self) -> None:
        """Renew the read index regularly, for the leases of the nodes."""
        is_confirmed = True
        while True:
            self._role_changed.clear()
            was_confirmed = is_confirmed
            try:
                await self._confirm(patient=True)
                is_confirmed = True
            except SeamError as error:
                # Without a leader the confirmation ages, which nodes see.
                is_confirmed = False
                if was_confirmed:
                    log_event(
                        Level.WARNING,
                        "cannot confirm the configuration; retrying",
                        code=error.code.value,
                    )
            if is_confirmed and not was_confirmed:
                log_event(Level.INFO, "configuration confirmed again")
            await self._wait_to_confirm()

    async def _confirm_on_request(self) -> None:
        """Renew the read index when a node needs it to be the newest."""
        while True:
            await self._confirmation_requested.wait()
            self._confirmation_requested.clear()
            # Failures are logged by the regular renewal.
            with contextlib.suppress(SeamError):
                await self._confirm(patient=False)
            await asyncio.sleep(REQUESTED_CONFIRM_INTERVAL.total_seconds())

    async def _confirm(self, *, patient: bool) -> None:
        """Renew the read index; raise SeamError if there is no leader."""
        requested_at = self._clock.now()
        index = await self.read_barrier(patient=patient)
        last = self.confirmation
        # Another one that was requested later may have been faster.
        if last is None or requested_at > last.requested_at:
            self.confirmation = Confirmation(index, requested_at)
            self._hooks.on_confirmed()

    async def _wait_to_confirm(self) -> None:
        """Wait for the next confirmation, or for another role or leader.

        The nodes' leases may be running out when a leader is elected.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_INTERVAL.total_seconds()):
                await self._role_changed.wait()

    async def _run_disk_jobs(self) -> None:
        """Run the disk jobs one at a time; reopen the journal on an error."""
        while True:
            job = await self._disk_jobs.get()
            try:
                await job()
            except SeamError as error:
                log_event(
                    Level.ERROR,
                    "disk failed; replica stopped, reopening the journal",
                    code=error.code.value,
                    reason=error.message,
                )
                self._perform_actions(
                    self.replica.disk_failed(self._clock.now())
                )
                await asyncio.sleep(REOPEN_DELAY.total_seconds())
                await self._open_journal()

    async def _open_journal(self) -> None:
        """Open the journal, retrying on disk errors; create the replica.

        What a failed disk holds is known only after reading it again.
        """
        while True:
            try:
                journal, restored = await self._disk_thread.run(
                    self._journal_opener.open
                )
                break
            except SeamError as error:
                if error.code is not ErrorCode.DISK_FAILED:
                    raise
                log_event(Level.WARNING, "cannot open the journal; retrying")
                await asyncio.sleep(REOPEN_DELAY.total_seconds())
        self._disk_jobs = asyncio.Queue()
        self._journal = journal
        self.confirmation = None
        snapshot = restored.snapshot
        self.applied_index = snapshot.index if snapshot else 0
        self._hooks.restore(snapshot)
        now = self._clock.now()
        self.replica = Replica(self._config, restored, self._rng, now)

    def _perform_actions(self, actions: Actions) -> None:
        for action in actions:
            self._perform_action(action)

    @singledispatchmethod
    def _perform_action(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform_action.register
    def _(self, action: Send) -> None:
        self._hooks.send(action.to, action.message)

    @_perform_action.register
    def _(self, action: Persist) -> None:
        async def job() -> None:
            await self._disk_thread.run(
                lambda: self._journal.append(action.records),
            )
            self._perform_actions(
                self.replica.synced(self._clock.now(), action.token),
            )

        self._disk_jobs.put_nowait(job)

    @_perform_action.register
    def _(self, action: SaveSnapshot) -> None:
        # Dumps the state now, because the next Apply changes it.
        self._save_snapshot(
            Snapshot(
                action.index,
                action.term,
                action.membership,
                self._hooks.dump(),
            ),
        )

    @_perform_action.register
    def _(self, action: InstallSnapshot) -> None:
        self.applied_index = action.snapshot.index
        self._hooks.load(action.snapshot.data)
        self._save_snapshot(action.snapshot)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        async def job() -> None:
            await self._disk_thread.run(
                lambda: self._journal.save_snapshot(snapshot),
            )
            self._perform_actions(
                self.replica.snapshot_saved(self._clock.now(), snapshot),
            )

        self._disk_jobs.put_nowait(job)

    @_perform_action.register
    def _(self, action: Apply) -> None:
        # Set first, so that tasks woken by the callback see it.
        self.applied_index = action.index
        # Internal entries are passed on as a command without effect, since
        # nodes have to reach their index as well before a confirmation
        # that covers it counts as fresh.
        command = (
            COMMAND_CODEC.decode(action.command) if action.command else Noop()
        )
        self._hooks.apply(action.index, command)

    @_perform_action.register
    def _(self, action: ProposalCommitted) -> None:
        if isinstance(action.token, int):
            self._proposals.resolve(action.token, action.index)

    @_perform_action.register
    def _(self, action: Confirmed) -> None:
        if isinstance(action.token, int):
            self._reads.resolve(action.token, action.index)

    @_perform_action.register
    def _(self, action: Rejected) -> None:
        if not isinstance(action.token, int):
            return
        error = SeamError(
            action.reason,
            f"the leader is {action.leader or 'not known'}",
        )
        self._proposals.fail(action.token, error)
        self._reads.fail(action.token, error)

    @_perform_action.register
    def _(self, action: RoleChanged) -> None:
        self._role_changed.set()
        self._hooks.on_role_change(action)
