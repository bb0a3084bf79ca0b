"""Start-up time of a control host after many edits, on the real disk.

One replica commits the edits, a fifth of them whole tables of 35 routes
and the rest keys issued and withdrawn, and is started again from its
folder. The time runs from opening the folder until every edit is
decoded and applied. Variants keep the whole log or take snapshots.
"""

import hashlib
import random
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from bench._figures import Figure
from sequoiaseam._clock import ProcessClock
from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    COMMAND_TYPES,
    AddKey,
    EditTables,
    WithdrawKey,
)
from sequoiaseam._files import DiskFileSystem
from sequoiaseam._journal import Journal
from sequoiaseam._replica import Replica, ReplicaConfig
from sequoiaseam._replica_messages import (
    Action,
    Actions,
    Apply,
    Persist,
    ProposalCommitted,
    RestoredState,
    SaveSnapshot,
    Snapshot,
)
from sequoiaseam._tables import KeyRecord, Pool, Route, Tables, Workspace

SIZES: Final = (1_000, 10_000)
SERVICES: Final = 35
WORKSPACES: Final = 16
# Edits proposed between two syncs while the log is filled.
BATCH: Final = 50
SINGLE_EDITS: Final = 100
NO_SNAPSHOTS: Final = sys.maxsize
COMMANDS: Final = Codec(COMMAND_TYPES)


def make_tables(rng: random.Random) -> Tables:
    """Return tables of the size to design for."""
    names = [f"service-{number}" for number in range(SERVICES)]
    spaces = [f"workspace-{number}" for number in range(WORKSPACES)]
    return Tables(
        routes={
            name: Route(name, f"/{name}", name, retries=rng.randrange(5))
            for name in names
        },
        pools={
            name: Pool(name, slots=rng.randrange(1, 300)) for name in names
        },
        workspaces={
            name: Workspace(name, rng.uniform(1, 500), rng.randrange(1, 1000))
            for name in spaces
        },
    )


def make_edit(rng: random.Random, number: int) -> bytes:
    """Return one encoded edit."""
    edit_id = f"edit-{number}"
    kind = rng.random()
    if kind < 0.2:
        tables = make_tables(rng)
        return COMMANDS.encode(EditTables(edit_id, "op", number, tables))
    if kind < 0.8 or number == 0:
        digest = hashlib.sha256(edit_id.encode()).digest()
        workspace = f"workspace-{rng.randrange(WORKSPACES)}"
        key = KeyRecord(f"key-{number}", digest, workspace)
        return COMMANDS.encode(AddKey(edit_id, "op", None, key))
    key_id = f"key-{rng.randrange(number)}"
    return COMMANDS.encode(WithdrawKey(edit_id, "op", None, key_id))


class Model:
    """Tables and keys in force, and every edit's id."""

    def __init__(self) -> None:
        self.edits: dict[str, None] = {}
        self.keys: dict[str, AddKey] = {}
        self.tables: EditTables | None = None

    def apply(self, data: bytes) -> None:
        """Apply one encoded edit."""
        command = COMMANDS.decode(data)
        self.edits[command.edit_id] = None
        match command:
            case EditTables():
                self.tables = command
            case AddKey():
                self.keys[command.key.key_id] = command
            case WithdrawKey():
                self.keys.pop(command.key_id, None)

    def dump(self) -> bytes:
        """Return the state as the edits that make it."""
        parts: list[AddKey | EditTables] = [*self.keys.values()]
        if self.tables is not None:
            parts.append(self.tables)
        encoded = [COMMANDS.encode(part) for part in parts]
        names = "\n".join(self.edits).encode()
        sizes = [len(part).to_bytes(4, "big") + part for part in encoded]
        return len(names).to_bytes(4, "big") + names + b"".join(sizes)

    def load(self, data: bytes) -> None:
        """Replace the state by a dump."""
        end = 4 + int.from_bytes(data[:4], "big")
        edits = data[4:end].decode().split("\n")
        while end < len(data):
            start = end + 4
            end = start + int.from_bytes(data[end:start], "big")
            self.apply(data[start:end])
        self.edits = dict.fromkeys(edits)


class Host:
    """A group of one replica on the real disk."""

    def __init__(self, folder: str, snapshot_entries: int) -> None:
        self.clock = ProcessClock()
        self.files = DiskFileSystem()
        self.model = Model()
        self.committed = 0
        self.journal = Journal(folder, self.files)
        restored: RestoredState = self.journal.open(lambda: "bench")
        if restored.snapshot is not None:
            self.model.load(restored.snapshot.data)
        self.replica = Replica(
            ReplicaConfig("host", ("host",), snapshot_entries),
            restored,
            random.Random(1),
            self.clock.now(),
        )
        while not self.replica.lease_valid(self.clock.now()):
            self.run(self.replica.tick(self.clock.now()))

    def run(self, actions: Actions) -> None:
        """Carry out the actions, and those that follow from them."""
        for action in actions:
            self.run(self.perform(action))

    def perform(self, action: Action) -> Actions:
        """Carry out one action and return what follows."""
        match action:
            case Persist(records, token):
                self.journal.append(records)
                return self.replica.synced(self.clock.now(), token)
            case Apply(_, command) if command:
                self.model.apply(command)
            case ProposalCommitted():
                self.committed += 1
            case SaveSnapshot(index, term, membership):
                data = self.model.dump()
                snapshot = Snapshot(index, term, membership, data)
                self.journal.save_snapshot(snapshot)
                return self.replica.snapshot_saved(self.clock.now(), snapshot)
        return ()

    def propose(self, commands: list[bytes]) -> None:
        """Commit the commands with as few syncs as possible."""
        held: list[Action] = []
        for number, command in enumerate(commands):
            now = self.clock.now()
            held.extend(self.replica.propose(now, command, number))
        self.run(tuple(held))

    def close(self) -> None:
        """Close the files."""
        self.files.close()


def measure_size(folder: str) -> int:
    """Return the bytes of all files in the folder."""
    return sum(path.stat().st_size for path in Path(folder).iterdir())


def measure_start(folder: str, snapshots: int) -> tuple[float, Model]:
    """Return the seconds that a start takes, and the state."""
    start = time.perf_counter()
    host = Host(folder, snapshots)
    elapsed = time.perf_counter() - start
    host.close()
    return elapsed, host.model


def measure_memory(folder: str, snapshots: int) -> int:
    """Return the peak of memory allocated by a start, in bytes."""
    tracemalloc.start()
    try:
        Host(folder, snapshots).close()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def measure_variant(seed: int, size: int, snapshots: int) -> Iterator[Figure]:
    """Fill a log with edits, start again and yield the figures."""
    kind = "no" if snapshots == NO_SNAPSHOTS else f"every {snapshots}"
    variant = f"{size} edits, {kind} snapshots"
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        host = Host(folder, snapshots)
        edits = [make_edit(rng, number) for number in range(size)]
        for start in range(0, size, BATCH):
            host.propose(edits[start : start + BATCH])
        host.close()
        assert host.committed == size
        stored = measure_size(folder)
        elapsed, model = measure_start(folder, snapshots)
        assert model.dump() == host.model.dump(), "state differs"
        memory = measure_memory(folder, snapshots)
    for figure, unit, value in (
        ("start", "s", elapsed),
        ("on disk", "MB", stored / 1e6),
        ("peak memory of the start", "MB", memory / 1e6),
    ):
        yield Figure("restart", variant, figure, unit, value)


def measure_commit(seed: int) -> Figure:
    """Return the median time to commit one edit with its own sync."""
    rng = random.Random(seed)
    times = []
    with tempfile.TemporaryDirectory() as folder:
        host = Host(folder, NO_SNAPSHOTS)
        for number in range(SINGLE_EDITS):
            edit = make_edit(rng, number)
            start = time.perf_counter()
            host.propose([edit])
            times.append(time.perf_counter() - start)
        host.close()
    median = sorted(times)[len(times) // 2]
    return Figure("restart", "single edits", "p50", "ms", median * 1e3)


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures of each variant."""
    yield measure_commit(seed)
    for size in SIZES:
        for snapshots in (NO_SNAPSHOTS, 1_000):
            yield from measure_variant(seed, size, snapshots)
