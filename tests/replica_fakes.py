"""Fake disk, network, clocks and oracle for tests of the replicated log."""

import heapq
import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Self

import msgspec

from sequoiaseam import _replica_messages as messages
from sequoiaseam._clock import EPOCH
from sequoiaseam._journal import Journal
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam.errors import SeamError


class CrashError(Exception):
    """The process or its host stopped in the middle of a file operation."""


class FakeFile:
    """Contents now and as of the last sync.

    After a failed sync, no later sync makes the contents durable, as
    an operating system may take the lost pages for written.
    """

    def __init__(self) -> None:
        self.data = b""
        self.durable = b""
        self.spoilt = False


class FakeDisk:
    """Files that lose what was not synced when ``crash`` is called."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.names: dict[str, FakeFile] = {}
        self.name_history: list[dict[str, FakeFile]] = [{}]
        # Called before each operation; may raise OSError or CrashError.
        self.fault: Callable[[str], object] = str

    def make_folder(self, _folder: str) -> None:
        self.fault("make_folder")

    def list_names(self, _folder: str) -> tuple[str, ...]:
        return tuple(sorted(path.split("/")[-1] for path in self.names))

    def read(self, path: str) -> bytes:
        return self.names[path].data

    def append(self, path: str, data: bytes) -> None:
        if path not in self.names:
            self.names[path] = FakeFile()
            self.name_history.append(dict(self.names))
        file = self.names[path]
        try:
            self.fault("append")
        except (OSError, CrashError):
            file.data += data[: self.rng.randrange(len(data) + 1)]
            raise
        file.data += data

    def sync(self, path: str) -> None:
        file = self.names[path]
        try:
            self.fault("sync")
        except OSError:
            file.spoilt = True
            raise
        if not file.spoilt:
            file.durable = file.data

    def rename(self, old: str, new: str) -> None:
        self.fault("rename")
        self.names[new] = self.names.pop(old)
        self.name_history.append(dict(self.names))

    def remove(self, path: str) -> None:
        self.fault("remove")
        del self.names[path]
        self.name_history.append(dict(self.names))

    def sync_folder(self, _folder: str) -> None:
        self.fault("sync_folder")
        self.name_history = [dict(self.names)]

    def crash(self) -> None:
        """Lose a random part of what was not synced."""
        self.names = dict(self.rng.choice(self.name_history))
        self.name_history = [dict(self.names)]
        for file in self.names.values():
            self._tear(file)

    def _tear(self, file: FakeFile) -> None:
        tail = file.data[len(file.durable) :]
        tail = tail[: self.rng.randrange(len(tail) + 1)]
        if tail and self.rng.random() < 0.5:
            spot = self.rng.randrange(len(tail))
            tail = tail[:spot] + b"\0" * (len(tail) - spot)
        file.data = file.durable + tail
        file.durable = file.data
        file.spoilt = False


class FakeHost:
    """A replica with its disk, clock and state machine."""

    def __init__(self, fleet: "FakeFleet", config: ReplicaConfig) -> None:
        self.fleet = fleet
        self.name = config.host
        self.config = config
        self.rng = random.Random(fleet.rng.getrandbits(64))
        self.disk = FakeDisk(self.rng)
        self.rate = 1 + fleet.rng.uniform(-0.01, 0.01)
        self.offset = fleet.rng.uniform(0, 1000)
        self.disk_delay = 0.002
        self.replica: Replica
        self.up = False
        self.boots = 0

    @property
    def now(self) -> datetime:
        elapsed = self.fleet.time * self.rate + self.offset
        return EPOCH + timedelta(seconds=elapsed)

    @property
    def leads(self) -> bool:
        return self.up and self.replica.role is messages.Role.LEADER

    def start(self) -> None:
        """Boot from the disk unless it is up."""
        if self.up:
            return
        self.boots += 1
        self.disk.fault = str
        self.disk_free = 0.0
        self.applied: list[tuple[int, bytes]] = []
        self.journal = Journal("data", self.disk)
        identity = f"{self.rng.getrandbits(64):x}"
        restored = self.journal.open(lambda: identity)
        if restored.snapshot is not None:
            self.load(restored.snapshot)
        self.identity = messages.ReplicaId(self.name, restored.identity)
        self.replica = Replica(self.config, restored, self.rng, self.now)
        self.up = True
        self.tick()

    def stop(self, *, power: bool = True) -> None:
        """Stop the process or, with ``power``, the whole host."""
        self.up = False
        if power:
            self.disk.crash()

    def wipe(self) -> None:
        self.stop()
        self.disk = FakeDisk(self.rng)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Call later, unless the host is stopped before."""
        boot = self.boots

        def call_if_up() -> None:
            if self.up and self.boots == boot:
                call()

        self.fleet.after(delay, call_if_up)

    def tick(self) -> None:
        self.run(self.replica.tick(self.now))
        self.after(0.03 + 0.02 * self.rng.random(), self.tick)

    def load(self, snapshot: messages.Snapshot) -> None:
        self.applied = msgspec.msgpack.decode(
            snapshot.data, type=list[tuple[int, bytes]]
        )
        for index, command in self.applied:
            self.fleet.check_committed(index, command)

    def run(self, actions: messages.Actions) -> None:
        for action in actions:
            self.perform(action)
        if self.leads:
            self.fleet.check_leases()

    def perform(self, action: messages.Action) -> None:
        match action:
            case messages.Send(to, message):
                self.fleet.send(self.name, to, message)
            case messages.Persist():
                self.use_disk(lambda: self.persist(action))
            case messages.SaveSnapshot(index, term, membership):
                data = msgspec.msgpack.encode(self.applied)
                snapshot = messages.Snapshot(index, term, membership, data)
                self.use_disk(lambda: self.save(snapshot))
            case messages.InstallSnapshot(snapshot):
                self.load(snapshot)
                self.use_disk(lambda: self.save(snapshot))
            case messages.Apply(index, command):
                self.fleet.check_committed(index, command)
                self.applied.append((index, command))
            case messages.RoleChanged(messages.Role.LEADER, term, _):
                self.fleet.check_leader(term, self.identity)
            case messages.ProposalCommitted(token, index):
                self.fleet.acknowledge(token, index)
            case messages.Confirmed(token, index):
                self.fleet.check_read(token, index)

    def use_disk(self, work: Callable[[], messages.Actions]) -> None:
        """Do disk work later, one after the other."""
        start = max(self.disk_free, self.fleet.time)
        self.disk_free = start + self.disk_delay * self.rng.random()
        delay = self.disk_free - self.fleet.time
        self.after(delay, lambda: self.work_disk(work))

    def work_disk(self, work: Callable[[], messages.Actions]) -> None:
        try:
            done = work()
        except SeamError:
            done = self.replica.disk_failed(self.now)
        except CrashError:
            self.stop()
            return
        self.run(done)

    def persist(self, action: messages.Persist) -> messages.Actions:
        self.journal.append(action.records)
        return self.replica.synced(self.now, action.token)

    def save(self, snapshot: messages.Snapshot) -> messages.Actions:
        self.journal.save_snapshot(snapshot)
        return self.replica.snapshot_saved(self.now, snapshot)


class FakeFleet:
    """Hosts, the network between them, and the oracle."""

    def __init__(self, seed: int, size: int, spares: int = 0) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.duplication = 0.0
        self.delay = 0.005
        self.commands: dict[int, bytes] = {}
        self.acked: dict[bytes, int] = {}
        self.reads: dict[int, int] = {}
        self.confirmed = 0
        self.leaders: dict[int, messages.ReplicaId] = {}
        names = tuple(f"h{number}" for number in range(size + spares))
        self.hosts: dict[str, FakeHost] = {}
        for number, name in enumerate(names):
            hosts = names[:size] if number < size else (*names[:size], name)
            config = ReplicaConfig(name, hosts, 8, 3, 64)
            self.hosts[name] = FakeHost(self, config)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.time + delay, self.count, call))

    def run(self, duration: float) -> None:
        end = self.time + duration
        while self.events and self.events[0][0] <= end:
            self.time, _, call = heapq.heappop(self.events)
            call()
        self.time = end

    def run_until(
        self, condition: Callable[[], object], limit: float = 20.0
    ) -> object:
        """Run until the condition holds; return whether it does."""
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
        if self.rng.random() < self.loss or to not in self.hosts:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay = 0.0005 + self.delay * self.rng.random()
            self.after(delay, lambda: self.deliver(sender, to, message))

    def deliver(
        self, sender: str, to: str, message: messages.ReplicaMessage
    ) -> None:
        host = self.hosts[to]
        if host.up and (sender, to) not in self.cut:
            host.run(host.replica.receive(host.now, sender, message))

    def isolate(self, name: str) -> None:
        for other in self.hosts:
            self.cut |= {(name, other), (other, name)}

    def live(self) -> list[FakeHost]:
        return [host for host in self.hosts.values() if host.up]

    def leader(self) -> FakeHost | None:
        """Return the host that leads with a valid lease, or None."""
        for host in self.live():
            if host.replica.lease_valid(host.now):
                return host
        return None

    def require_leader(self) -> FakeHost:
        """Return the leader; there must be one."""
        leader = self.leader()
        assert leader is not None, "no leader"
        return leader

    def propose(self, host: FakeHost, command: bytes) -> None:
        host.run(host.replica.propose(host.now, command, command))

    def confirm(self, host: FakeHost) -> None:
        token = len(self.reads)
        self.reads[token] = max(self.acked.values(), default=0)
        host.run(host.replica.confirm(host.now, token))

    def replace(self, old: str, new: str) -> None:
        leader = self.require_leader()
        leader.run(leader.replica.replace(leader.now, old, new, b""))

    # Oracle.

    def check_committed(self, index: int, command: bytes) -> None:
        known = self.commands.setdefault(index, command)
        assert known == command, f"two commands at index {index}"

    def check_leader(self, term: int, identity: messages.ReplicaId) -> None:
        known = self.leaders.setdefault(term, identity)
        assert known == identity, f"two leaders in term {term}"

    def check_leases(self) -> None:
        holders = [
            host.name
            for host in self.hosts.values()
            if host.leads and host.replica.lease_valid(host.now)
        ]
        assert len(holders) <= 1, f"lease held by {holders}"

    def acknowledge(self, command: Any, index: int) -> None:
        if command:
            assert self.commands[index] == command
            self.acked[command] = index

    def check_read(self, token: Any, index: int) -> None:
        assert index >= self.reads[token], "read index is too old"
        self.confirmed += 1

    def membership(self) -> messages.Membership | None:
        """Return the leader's membership, if there is a leader."""
        leader = self.leader()
        return leader.replica.status().membership if leader else None

    def members(self) -> list[FakeHost]:
        """Return the hosts that vote."""
        membership = self.membership()
        voters = membership.voters if membership else ()
        return [self.hosts[one.host] for one in voters]

    def has_converged(self) -> bool:
        members = self.members()
        if not members or not all(host.up for host in members):
            return False
        states = {len(host.applied) for host in members}
        last = self.require_leader().replica.status().last_index
        return states == {last}

    def check_end(self) -> None:
        """Check that all replicas agree and have what was acknowledged."""
        for host in self.members():
            held = dict(host.applied)
            assert held == {index: self.commands[index] for index in held}, (
                f"{host.name} differs"
            )
            lost = self.acked.items() - {(c, i) for i, c in held.items()}
            assert not lost, f"{host.name} lost {lost}"
