"""Simulated hosts, disks, clocks and network for replica tests.

An oracle in the simulation checks the safety rules of the replicated log.
"""

import contextlib
import heapq
import io
import itertools
import random
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Final, Self

import msgspec

from sequoiaseam import _replica_messages as messages
from sequoiaseam._clock import EPOCH
from sequoiaseam._group_repair import (
    Exchange,
    GiveUp,
    RepairPlanner,
    RepairStep,
    Retire,
)
from sequoiaseam._journal import Journal
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam.errors import ErrorCode, SeamError

REPAIR_INTERVAL_S: Final = 0.1
# Within this time a host that is back must vote again.
CATCH_UP_LIMIT_S: Final = 4.0


class ProcessKilledError(Exception):
    """The process was killed during a file operation."""


class CrashError(Exception):
    """The host lost its power during a file operation."""


class FakeFile:
    """Current contents of a file and its contents at the last sync.

    ``unsynced_writes`` has the offset and data of each write since then.
    After a failed sync, no later sync makes the contents durable,
    because an operating system may mark the lost pages as written.
    """

    def __init__(self, durable: bytes = b"") -> None:
        self.data = durable
        self.durable = durable
        self.unsynced_writes: list[tuple[int, bytes]] = []
        self.sync_failed = False

    def write(self, data: bytes) -> None:
        """Append data that isn't durable yet."""
        self.unsynced_writes.append((len(self.data), data))
        self.data += data

    def make_durable(self) -> None:
        """Make the contents durable, as a sync does."""
        self.durable = self.data
        self.unsynced_writes = []


class FakeDisk:
    """File system that loses unsynced data when ``crash`` is called.

    Each unsynced write is then kept, lost or torn, and each name that was
    created or removed without a sync of the folder is kept or lost, each
    independently of the others.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, FakeFile] = {}
        self.durable_names: dict[str, FakeFile] = {}
        # The file of each name changed since then, None if it was removed.
        self.unsynced_names: list[tuple[str, FakeFile | None]] = []
        # Called before each operation; may raise OSError or CrashError.
        self.fault: Callable[[str], object] = str
        # Whether the sync of a new file makes its name durable too.
        self.sync_covers_name = rng.random() < 0.5
        # How often a crash loses all unsynced data.
        self.total_loss_rate = 0.3
        # Returns whether to report a sync of the path without doing it.
        self.ignores_sync: Callable[[str], bool] = lambda _path: False

    def make_folder(self, _folder: str) -> None:
        self.fault("make_folder")

    def list_names(self, _folder: str) -> tuple[str, ...]:
        return tuple(sorted(path.split("/")[-1] for path in self.files))

    def open(self, path: str) -> io.BytesIO:
        return io.BytesIO(self.files[path].data)

    def append(self, path: str, data: bytes) -> None:
        if path not in self.files:
            self._set_name(path, FakeFile())
        file = self.files[path]
        try:
            self.fault("append")
        except (OSError, CrashError, ProcessKilledError):
            file.write(data[: self.rng.randrange(len(data) + 1)])
            raise
        file.write(data)

    def sync(self, path: str) -> None:
        file = self.files[path]
        try:
            self.fault("sync")
        except OSError:
            file.sync_failed = True
            raise
        if self.ignores_sync(path) or file.sync_failed:
            return
        file.make_durable()
        if self.sync_covers_name and path not in self.durable_names:
            self.durable_names[path] = file
            self.unsynced_names = [
                change for change in self.unsynced_names if change[0] != path
            ]

    def rename(self, old: str, new: str) -> None:
        self.fault("rename")
        file = self.files[old]
        self._set_name(new, file)
        self._set_name(old, None)

    def remove(self, path: str) -> None:
        self.fault("remove")
        self._set_name(path, None)

    def sync_folder(self, _folder: str) -> None:
        self.fault("sync_folder")
        self.durable_names = dict(self.files)
        self.unsynced_names = []

    def crash(self) -> None:
        """Lose a random part of the unsynced data and names.

        At some losses of power all unsynced data is lost.
        """
        loses_all = self.rng.random() < self.total_loss_rate
        self.files = dict(self.durable_names)
        for path, file in self.unsynced_names:
            if self.rng.random() < 0.5:
                self._assign_name(self.files, path, file)
        self.durable_names = dict(self.files)
        self.unsynced_names = []
        for file in dict.fromkeys(self.files.values()):
            if not loses_all:
                self._keep_some_writes(file)
            file.data = file.durable
            file.unsynced_writes = []
            file.sync_failed = False

    def copy_durable(self) -> "FakeDisk":
        """Return a disk with only what is durable on this one."""
        disk = FakeDisk(random.Random(0))
        disk.files = {
            path: FakeFile(file.durable)
            for path, file in self.durable_names.items()
        }
        disk.durable_names = dict(disk.files)
        return disk

    def _set_name(self, path: str, file: FakeFile | None) -> None:
        self._assign_name(self.files, path, file)
        self.unsynced_names.append((path, file))

    @staticmethod
    def _assign_name(
        names: dict[str, FakeFile], path: str, file: FakeFile | None
    ) -> None:
        if file is None:
            names.pop(path, None)
        else:
            names[path] = file

    def _keep_some_writes(self, file: FakeFile) -> None:
        """Keep, lose or tear each unsynced write; fill gaps with zeros."""
        data = bytearray(file.durable)
        for offset, written in file.unsynced_writes:
            kept = self._tear(written)
            if kept:
                data.extend(bytes(max(0, offset - len(data))))
                data[offset : offset + len(kept)] = kept
        file.durable = bytes(data)

    def _tear(self, written: bytes) -> bytes:
        """Return what is kept of a write: all, nothing or a part."""
        outcome = self.rng.random()
        if outcome < 0.25:
            return written
        if outcome < 0.5:
            return b""
        kept = written[: self.rng.randrange(len(written) + 1)]
        if kept and self.rng.random() < 0.5:
            zeroed_from = self.rng.randrange(len(kept))
            kept = kept[:zeroed_from] + bytes(len(kept) - zeroed_from)
        return kept


def decode_applied(snapshot: messages.Snapshot) -> list[tuple[int, bytes]]:
    """Return the index of each command in a snapshot, and the command."""
    return msgspec.msgpack.decode(snapshot.data, type=list[tuple[int, bytes]])


class FakeHost:
    """Host with a replica, its disk, clock and state machine."""

    def __init__(self, fleet: "FakeFleet", config: ReplicaConfig) -> None:
        self.fleet = fleet
        self.name = config.host
        self.config = config
        self.rng = random.Random(fleet.rng.getrandbits(64))
        self.disk = FakeDisk(self.rng)
        self.wiped_disks: list[FakeDisk] = []
        self.clock_rate = 1 + fleet.rng.uniform(-0.01, 0.01)
        self.clock_offset = fleet.rng.uniform(0, 1000)
        self.max_disk_delay = 0.002
        # Time after which a failed journal is opened again; None if the
        # test restarts the host instead.
        self.reopen_delay: float | None = None
        self.disk_operations: deque[Callable[[], messages.Actions]] = deque()
        self.replica: Replica
        self.is_running = False
        self.start_count = 0

    @property
    def now(self) -> datetime:
        elapsed = self.fleet.time * self.clock_rate + self.clock_offset
        return EPOCH + timedelta(seconds=elapsed)

    @property
    def is_leader(self) -> bool:
        return self.is_running and self.replica.role is messages.Role.LEADER

    def start(self) -> None:
        """Start the replica from the disk, unless it is running."""
        if self.is_running:
            return
        self.disk.fault = str
        self.open_journal()

    def open_journal(self) -> None:
        """Create the replica from the journal, which a fault may interrupt."""
        self.start_count += 1
        self.disk_free_at = 0.0
        self.disk_operations.clear()
        self.applied: list[tuple[int, bytes]] = []
        self.journal = Journal("data", self.disk)
        identity = f"{self.rng.getrandbits(64):x}"
        try:
            restored = self.journal.open(lambda: identity)
        except (CrashError, ProcessKilledError) as error:
            self.stop(power=isinstance(error, CrashError))
            return
        except SeamError as error:
            if self.reopen_delay is None or (
                error.code is not ErrorCode.DISK_FAILED
            ):
                raise
            self.reopen_journal_later(self.reopen_delay)
            return
        if restored.snapshot is not None:
            self.load_snapshot(restored.snapshot)
        self.identity = messages.ReplicaId(self.name, restored.identity)
        self.replica = Replica(self.config, restored, self.rng, self.now)
        self.is_running = True
        self.tick()

    def reopen_journal_later(self, delay: float) -> None:
        """Open the journal after a delay unless the host is stopped."""
        self.is_running = False
        start_count = self.start_count

        def open_unless_stopped() -> None:
            if self.start_count == start_count:
                self.open_journal()

        self.fleet.call_later(delay, open_unless_stopped)

    def stop(self, *, power: bool = True) -> None:
        """Stop the process; with ``power``, also lose unsynced data."""
        self.is_running = False
        self.start_count += 1
        if power:
            self.disk.crash()

    def stop_during_disk_operation(self, *, power: bool, step: int) -> None:
        """Stop while the disk has done a part of the next operation."""
        if self.is_running and self.disk_operations:
            remaining = itertools.count(step, -1)

            def fault(_operation: str) -> None:
                if not next(remaining):
                    raise ProcessKilledError

            self.disk.fault = fault
            with contextlib.suppress(ProcessKilledError, SeamError):
                self.disk_operations[0]()
        self.stop(power=power)

    def wipe(self) -> None:
        self.stop()
        self.wiped_disks.append(self.disk)
        self.disk = FakeDisk(self.rng)

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback that a stop of the host cancels."""
        start_count = self.start_count

        def call_if_running() -> None:
            if self.is_running and self.start_count == start_count:
                callback()

        self.fleet.call_later(delay, call_if_running)

    def tick(self) -> None:
        self.run(self.replica.tick(self.now))
        self.call_later(0.03 + 0.02 * self.rng.random(), self.tick)

    def holds_durably(
        self, replica: messages.ReplicaId, command: bytes, index: int
    ) -> bool:
        """Return whether a loss of power would leave a replica's command.

        A disk counts also after it was wiped, since the host may have
        reported the command's sync before.
        """
        return any(
            self._finds_durably(disk, replica, command, index)
            for disk in (self.disk, *self.wiped_disks)
        )

    @staticmethod
    def _finds_durably(
        disk: FakeDisk,
        replica: messages.ReplicaId,
        command: bytes,
        index: int,
    ) -> bool:
        journal = Journal("data", disk.copy_durable())
        try:
            restored = journal.open(str)
        except SeamError:
            return False
        snapshot = restored.snapshot
        applied = decode_applied(snapshot) if snapshot else []
        return restored.identity == replica.identity and (
            (index, command) in applied
            or any(
                entry.index == index and entry.command == command
                for entry in restored.entries
            )
        )

    def load_snapshot(self, snapshot: messages.Snapshot) -> None:
        self.applied = decode_applied(snapshot)
        for index, command in self.applied:
            self.fleet.check_committed(index, command)

    def run(self, actions: messages.Actions) -> None:
        for action in actions:
            self.perform(action)
        if self.is_leader:
            self.fleet.check_leases()

    def perform(self, action: messages.Action) -> None:
        match action:
            case messages.Send(to, message):
                self.fleet.send(self.name, to, message)
            case messages.Persist():
                self.queue_disk_operation(lambda: self.persist(action))
            case messages.SaveSnapshot(index, term, membership):
                data = msgspec.msgpack.encode(self.applied)
                snapshot = messages.Snapshot(index, term, membership, data)
                self.queue_disk_operation(lambda: self.save_snapshot(snapshot))
            case messages.InstallSnapshot(snapshot):
                self.load_snapshot(snapshot)
                self.queue_disk_operation(lambda: self.save_snapshot(snapshot))
            case messages.Apply(index, command):
                self.fleet.check_committed(index, command)
                self.applied.append((index, command))
            case messages.RoleChanged(messages.Role.LEADER, term, _):
                self.fleet.check_leader(term, self.identity)
            case messages.ProposalCommitted(token, index):
                self.fleet.acknowledge(self, token, index)
            case messages.Confirmed(token, index):
                self.fleet.check_read(token, index)

    def queue_disk_operation(
        self, operation: Callable[[], messages.Actions]
    ) -> None:
        """Queue a disk operation; a host runs one at a time."""
        start = max(self.disk_free_at, self.fleet.time)
        self.disk_free_at = start + self.max_disk_delay * self.rng.random()
        delay = self.disk_free_at - self.fleet.time
        self.disk_operations.append(operation)
        self.call_later(delay, self.run_disk_operation)

    def run_disk_operation(self) -> None:
        operation = self.disk_operations.popleft()
        try:
            actions = operation()
        except SeamError as error:
            assert error.code is ErrorCode.DISK_FAILED
            self.run(self.replica.disk_failed(self.now))
            if self.reopen_delay is not None:
                self.reopen_journal_later(self.reopen_delay)
        except (CrashError, ProcessKilledError) as error:
            self.stop(power=isinstance(error, CrashError))
        else:
            self.run(actions)

    def persist(self, action: messages.Persist) -> messages.Actions:
        self.journal.append(action.records)
        return self.replica.synced(self.now, action.token)

    def save_snapshot(self, snapshot: messages.Snapshot) -> messages.Actions:
        self.journal.save_snapshot(snapshot)
        return self.replica.snapshot_saved(self.now, snapshot)


class FakeFleet:
    """Hosts, the network between them and the oracle."""

    def __init__(self, seed: int, size: int, spares: int = 0) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = self.duplication_rate = 0.0
        self.max_delay = 0.005
        self.committed: dict[int, bytes] = {}
        self.acked: dict[bytes, int] = {}
        self.min_read_indexes: dict[int, int] = {}
        self.confirmed_count = 0
        self.leaders: dict[int, messages.ReplicaId] = {}
        # Whether to check at each acknowledgement what the disks hold.
        self.checks_durability = False
        self.on_acknowledged: Callable[[bytes], object] = lambda _command: None
        names = tuple(f"h{number}" for number in range(size + spares))
        self.hosts: dict[str, FakeHost] = {}
        for number, name in enumerate(names):
            hosts = names[:size] if number < size else (*names[:size], name)
            config = ReplicaConfig(name, hosts, 8, 3, 64)
            self.hosts[name] = FakeHost(self, config)

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(
            self.events, (self.time + delay, self.event_count, callback)
        )

    def run(self, duration: float) -> None:
        end = self.time + duration
        while self.events and self.events[0][0] <= end:
            self.time, _, callback = heapq.heappop(self.events)
            callback()
        self.time = end

    def run_until(
        self, condition: Callable[[], object], limit: float = 20.0
    ) -> object:
        """Run until the condition holds or the limit; return its value."""
        end = self.time + limit
        while not condition() and self.time < end:
            self.run(0.1)
        return condition()

    def start(self) -> Self:
        for host in self.hosts.values():
            host.start()
        return self

    def send(
        self, sender: str, to: str, message: messages.ReplicaMessage
    ) -> None:
        if self.rng.random() < self.loss_rate or to not in self.hosts:
            return
        copies = 2 if self.rng.random() < self.duplication_rate else 1
        for _ in range(copies):
            delay = 0.0005 + self.max_delay * self.rng.random()
            self.call_later(delay, lambda: self.deliver(sender, to, message))

    def deliver(
        self, sender: str, to: str, message: messages.ReplicaMessage
    ) -> None:
        host = self.hosts[to]
        if host.is_running and (sender, to) not in self.blocked_links:
            host.run(host.replica.receive(host.now, sender, message))

    def isolate(self, name: str) -> None:
        for other in self.hosts:
            self.blocked_links |= {(name, other), (other, name)}

    def running_hosts(self) -> list[FakeHost]:
        return [host for host in self.hosts.values() if host.is_running]

    def leader(self) -> FakeHost | None:
        """Return the host that holds a valid leader lease, or None."""
        for host in self.running_hosts():
            if host.replica.lease_valid(host.now):
                return host
        return None

    def require_leader(self) -> FakeHost:
        """Return the leader; fail if there is none."""
        leader = self.leader()
        assert leader is not None, "no host holds a valid leader lease"
        return leader

    def propose(self, host: FakeHost, command: bytes) -> None:
        host.run(host.replica.propose(host.now, command, command))

    def confirm(self, host: FakeHost) -> None:
        token = len(self.min_read_indexes)
        self.min_read_indexes[token] = max(self.acked.values(), default=0)
        host.run(host.replica.confirm(host.now, token))

    def replace(self, old: str, new: str) -> None:
        leader = self.require_leader()
        leader.run(leader.replica.replace(leader.now, old, new, b""))

    # Checks of the oracle.

    def check_committed(self, index: int, command: bytes) -> None:
        known = self.committed.setdefault(index, command)
        assert known == command or known not in self.acked, (
            f"acknowledged command {index} was lost and another one committed"
        )
        assert known == command, (
            f"different commands committed at index {index}"
        )

    def check_leader(self, term: int, identity: messages.ReplicaId) -> None:
        known = self.leaders.setdefault(term, identity)
        assert known == identity, f"two leaders in term {term}"

    def check_leases(self) -> None:
        holders = [
            host.name
            for host in self.hosts.values()
            if host.is_leader and host.replica.lease_valid(host.now)
        ]
        assert len(holders) <= 1, (
            f"several hosts hold a valid leader lease: {holders}"
        )

    def acknowledge(self, host: FakeHost, command: Any, index: int) -> None:
        if command:
            assert self.committed[index] == command
            if self.checks_durability:
                self.check_durable(host, command, index)
            self.acked[command] = index
            self.on_acknowledged(command)

    def check_durable(
        self, host: FakeHost, command: bytes, index: int
    ) -> None:
        """Check that a majority's disks would keep a command.

        The leader may have appended another membership in the same step.
        """
        log = host.replica._log
        memberships = (
            log.membership,
            log.find_membership(host.replica.commit_index),
        )
        holders = [
            [
                voter.host
                for voter in membership.voters
                if self.hosts[voter.host].holds_durably(voter, command, index)
            ]
            for membership in memberships
            if membership is not None
        ]
        assert any(
            len(names) >= membership.majority
            for membership, names in zip(memberships, holders, strict=True)
            if membership is not None
        ), (
            f"command {index} was acknowledged by {host.name} "
            f"while only {holders} have synced it"
        )

    def check_read(self, token: Any, index: int) -> None:
        assert index >= self.min_read_indexes[token], (
            "read index precedes an acknowledged command"
        )
        self.confirmed_count += 1

    def membership(self) -> messages.Membership | None:
        """Return the leader's membership, if there is a leader."""
        leader = self.leader()
        return leader.replica.status().membership if leader else None

    def voting_hosts(self) -> list[FakeHost]:
        """Return the hosts of the voters."""
        membership = self.membership()
        voters = membership.voters if membership else ()
        return [self.hosts[voter.host] for voter in voters]

    def has_converged(self) -> bool:
        members = self.voting_hosts()
        if not members or not all(host.is_running for host in members):
            return False
        applied_counts = {len(host.applied) for host in members}
        last = self.require_leader().replica.status().last_index
        return applied_counts == {last}

    def check_agreement(self) -> None:
        """Check that all voters agree and hold every acknowledged command."""
        for host in self.voting_hosts():
            applied = dict(host.applied)
            assert applied == {
                index: self.committed[index] for index in applied
            }, f"{host.name} applied other commands than were committed"
            lost = self.acked.items() - {(c, i) for i, c in applied.items()}
            assert not lost, f"{host.name} lost acknowledged commands {lost}"


class RepairedFleet(FakeFleet):
    """Simulated hosts whose leader repairs the group by itself."""

    def __init__(self, seed: int, size: int, spares: int) -> None:
        super().__init__(seed, size, spares)
        self._planners: dict[str, tuple[int, RepairPlanner]] = {}
        self.call_later(REPAIR_INTERVAL_S, self._repair)

    def start_hosts(self, count: int) -> "RepairedFleet":
        """Start the first hosts and wait until they have a leader."""
        for number in range(count):
            self.hosts[f"h{number}"].start()
        assert self.run_until(self.leader)
        self.run(1.0)
        return self

    def _repair(self) -> None:
        self.call_later(REPAIR_INTERVAL_S, self._repair)
        for host in self.running_hosts():
            if not host.is_leader:
                self._planners.pop(host.name, None)
                continue
            term, planner = self._planners.get(host.name, (0, None))
            if planner is None or term != host.replica.term:
                planner = RepairPlanner(host.now)
                self._planners[host.name] = (host.replica.term, planner)
            step = planner.decide(host.now, host.replica.status())
            if step is not None:
                self._start_step(host, step)

    def _start_step(self, host: FakeHost, step: RepairStep) -> None:
        replica, now = host.replica, host.now
        match step:
            case Exchange(old, new):
                host.run(replica.replace(now, old, new, None))
            case Retire(name):
                host.run(replica.remove_voter(now, name, None))
            case GiveUp():
                host.run(replica.cancel_replacement(now, None))

    def list_voters(self) -> set[str]:
        """Return the names of the voters."""
        return {host.name for host in self.voting_hosts()}

    def list_followers(self) -> list[FakeHost]:
        """Return the running hosts that don't lead."""
        leader = self.require_leader()
        return [host for host in self.running_hosts() if host is not leader]

    def expect_voters(self, expected: set[str]) -> None:
        """Fail unless exactly these hosts vote within the time limit."""
        self.run_until(
            lambda: self.list_voters() == expected, CATCH_UP_LIMIT_S
        )
        assert self.list_voters() == expected, (
            f"{sorted(self.list_voters())} vote, not {sorted(expected)}"
        )

    def expect_survival_of_two_wiped_hosts(self) -> None:
        """Fail if a commit is lost with the disks of two hosts at once."""
        command = b"acknowledged last"
        leader = self.require_leader()
        self.propose(leader, command)
        assert self.run_until(lambda: command in self.acked)
        for host in (leader, self.list_followers()[0]):
            host.wipe()
            host.start()
        assert self.run_until(self.leader), "no leader was elected"
        voters = {host.name for host in self.running_hosts()}
        self.run_until(lambda: self.list_voters() == voters)
        assert self.run_until(self.has_converged)
        self.check_agreement()
