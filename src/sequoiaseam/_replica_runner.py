"""Adapter of the replica: disk, links and waiting proposals."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random
from typing import Any, Final

from sequoiaseam._clock import Clock
from sequoiaseam._codec import Codec
from sequoiaseam._commands import COMMAND_TYPES, Command, Noop
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

TICK: Final = timedelta(milliseconds=25)
CONFIRM_INTERVAL: Final = timedelta(milliseconds=400)
# Between attempts to use a disk that failed.
REOPEN_PAUSE: Final = timedelta(milliseconds=300)

COMMAND_CODEC: Final = Codec(COMMAND_TYPES)


@dataclass(frozen=True, slots=True)
class ReplicaHooks:
    """What the replica's adapter needs of its control host.

    ``apply`` takes a committed command, ``dump`` and ``load`` a
    snapshot of the state; ``on_role_change`` is told of each change of
    role, term or leader.
    """

    send: Callable[[str, object], None]
    apply: Callable[[int, Command], None]
    dump: Callable[[], bytes]
    load: Callable[[bytes], None]
    on_role_change: Callable[[RoleChanged], None]
    # Begins anew from a snapshot, None for an empty state.
    restore: Callable[[Snapshot | None], None]


@dataclass(frozen=True, slots=True)
class Confirmation:
    """The newest read index and when its round was asked for."""

    index: int
    requested_at: datetime


class JournalOpener:
    """Where a replica's journal is, and how it gets an identity.

    With ``replaces_damaged``, a folder that can't be read is emptied:
    the replica comes back as a new one, which the group lets in.
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

    def open(self) -> tuple[Journal, RestoredState]:
        """Return the journal and what it holds; raise SeamError."""
        files = DiskFileSystem()
        journal = Journal(self._folder, files)
        try:
            return journal, journal.open(self._create_identity)
        except SeamError as error:
            files.close()
            damaged = error.code is ErrorCode.JOURNAL_DAMAGED
            if not (damaged and self._replaces_damaged):
                raise
            log_event(
                Level.ERROR,
                "journal damaged, the host begins as a new one",
                reason=error.message,
            )
        for name in files.list_names(self._folder):
            files.remove(f"{self._folder}/{name}")
        journal = Journal(self._folder, DiskFileSystem())
        return journal, journal.open(self._create_identity)


class ReplicaRunner:
    """Run a replica: its actions in order, its disk in a thread."""

    def __init__(
        self,
        disk: JournalOpener,
        config: ReplicaConfig,
        clock: Clock,
        rng: Random,
        hooks: ReplicaHooks,
    ) -> None:
        self._journal_disk = disk
        self._config = config
        self._clock = clock
        self._rng = rng
        self._hooks = hooks
        self._tasks = TaskGroup()
        self._disk = ThreadPoolExecutor(1, "journal")
        self._jobs: asyncio.Queue[Callable[[], Awaitable[None]]] = (
            asyncio.Queue()
        )
        self._tokens = itertools.count(1)
        self._proposals: PendingFutures[int, int] = PendingFutures()
        self._reads: PendingFutures[int, int] = PendingFutures()
        self.confirmation: Confirmation | None = None
        self.applied_index = 0

    async def start(self) -> None:
        """Open the journal; begin to tick, to write and to confirm."""
        await self._open()
        self._tasks.start(self._tick())
        self._tasks.start(self._write())
        self._tasks.start(self._confirm())

    async def close(self) -> None:
        """End the tasks and wait for the disk."""
        await self._tasks.cancel()
        self._disk.shutdown(wait=True)

    def receive(self, sender: str, message: Any) -> None:
        """Take in another replica's message."""
        self._perform(
            self.replica.receive(self._clock.now(), sender, message),
        )

    async def propose(self, command: Command) -> int:
        """Return the index at which the command is committed.

        Raise SeamError NOT_LEADER when it surely is not, and
        OUTCOME_UNKNOWN when it may still be.
        """
        token = next(self._tokens)
        future = self._proposals.create(token)
        self._perform(
            self.replica.propose(
                self._clock.now(),
                COMMAND_CODEC.encode(command),
                token,
            ),
        )
        return await future

    async def replace(self, old: str, new: str) -> int:
        """Replace a replica; return the index of the first step."""
        token = next(self._tokens)
        future = self._proposals.create(token)
        self._perform(
            self.replica.replace(self._clock.now(), old, new, token),
        )
        return await future

    def repair(self, step: RepairStep) -> None:
        """Start a repair of the group; its outcome shows in the status."""
        now = self._clock.now()
        replica = self.replica
        if isinstance(step, Exchange):
            actions = replica.replace(now, step.old, step.new, None)
        elif isinstance(step, Retire):
            actions = replica.remove_voter(now, step.host, None)
        else:
            actions = replica.cancel_replacement(now, None)
        self._perform(actions)

    async def read_barrier(self, *, patient: bool = False) -> int:
        """Return an index that covers all acknowledged before."""
        token = next(self._tokens)
        future = self._reads.create(token)
        now = self._clock.now()
        self._perform(self.replica.confirm(now, token, patient=patient))
        return await future

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            self._perform(self.replica.tick(self._clock.now()))

    async def _confirm(self) -> None:
        """Keep the read index fresh for the nodes' leases."""
        confirmed = True
        while True:
            asked = self._clock.now()
            before = confirmed
            try:
                index = await self.read_barrier(patient=True)
                self.confirmation = Confirmation(index, asked)
                confirmed = True
            except SeamError as error:
                # No leader at present; nodes see the age grow.
                confirmed = False
                if before:
                    log_event(
                        Level.WARNING,
                        "configuration no longer confirmed",
                        code=error.code.value,
                    )
            if confirmed and not before:
                log_event(Level.INFO, "configuration confirmed again")
            await asyncio.sleep(CONFIRM_INTERVAL.total_seconds())

    async def _write(self) -> None:
        """Do the disk's jobs one after the other."""
        while True:
            job = await self._jobs.get()
            try:
                await job()
            except SeamError as error:
                log_event(
                    Level.ERROR,
                    "disk failed, the replica stops taking part",
                    code=error.code.value,
                    reason=error.message,
                )
                self._perform(self.replica.disk_failed(self._clock.now()))
                await asyncio.sleep(REOPEN_PAUSE.total_seconds())
                await self._open()

    async def _open(self) -> None:
        """Open the journal as often as it takes; begin as a new replica.

        What a failed disk holds is known only after it was read again.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                journal, restored = await loop.run_in_executor(
                    self._disk,
                    self._journal_disk.open,
                )
                break
            except SeamError as error:
                if error.code is not ErrorCode.DISK_FAILED:
                    raise
                log_event(Level.WARNING, "disk can't be used yet")
                await asyncio.sleep(REOPEN_PAUSE.total_seconds())
        self._jobs = asyncio.Queue()
        self._journal = journal
        self.confirmation = None
        snapshot = restored.snapshot
        self.applied_index = snapshot.index if snapshot else 0
        self._hooks.restore(snapshot)
        now = self._clock.now()
        self.replica = Replica(self._config, restored, self._rng, now)

    async def _run_on_disk(self, function: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._disk, function)

    def _perform(self, actions: Actions) -> None:
        for action in actions:
            self._act(action)

    @singledispatchmethod
    def _act(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_act.register
    def _(self, action: Send) -> None:
        self._hooks.send(action.to, action.message)

    @_act.register
    def _(self, action: Persist) -> None:
        async def job() -> None:
            await self._run_on_disk(
                lambda: self._journal.append(action.records),
            )
            self._perform(
                self.replica.synced(self._clock.now(), action.token),
            )

        self._jobs.put_nowait(job)

    @_act.register
    def _(self, action: SaveSnapshot) -> None:
        # Dumped at once, because the state moves on with the next Apply.
        self._save(
            Snapshot(
                action.index,
                action.term,
                action.membership,
                self._hooks.dump(),
            ),
        )

    @_act.register
    def _(self, action: InstallSnapshot) -> None:
        self.applied_index = action.snapshot.index
        self._hooks.load(action.snapshot.data)
        self._save(action.snapshot)

    def _save(self, snapshot: Snapshot) -> None:
        async def job() -> None:
            await self._run_on_disk(
                lambda: self._journal.save_snapshot(snapshot),
            )
            self._perform(
                self.replica.snapshot_saved(self._clock.now(), snapshot),
            )

        self._jobs.put_nowait(job)

    @_act.register
    def _(self, action: Apply) -> None:
        # Set first, so that whoever the hook wakes sees it.
        self.applied_index = action.index
        # An entry of the replicas' own counts as a command without
        # effect: nodes must reach its index, too, before a confirmation
        # that covers it makes them fresh.
        command = (
            COMMAND_CODEC.decode(action.command) if action.command else Noop()
        )
        self._hooks.apply(action.index, command)

    @_act.register
    def _(self, action: ProposalCommitted) -> None:
        if isinstance(action.token, int):
            self._proposals.resolve(action.token, action.index)

    @_act.register
    def _(self, action: Confirmed) -> None:
        if isinstance(action.token, int):
            self._reads.resolve(action.token, action.index)

    @_act.register
    def _(self, action: Rejected) -> None:
        if not isinstance(action.token, int):
            return
        error = SeamError(
            action.reason,
            f"the leader is {action.leader or 'not known'}",
        )
        self._proposals.fail(action.token, error)
        self._reads.fail(action.token, error)

    @_act.register
    def _(self, action: RoleChanged) -> None:
        self._hooks.on_role_change(action)
