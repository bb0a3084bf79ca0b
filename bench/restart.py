"""Start-up time of a control host after many edits, on the real disk.

A single replica commits the edits and is started again from its folder. A
fifth of the edits are complete tables of 35 routes, the others add or
withdraw keys. The time runs from opening the folder until every edit is
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

EDIT_COUNTS: Final = (1_000, 10_000)
SERVICE_COUNT: Final = 35
WORKSPACE_COUNT: Final = 16
# Edits that are proposed per sync while the log is filled.
EDITS_PER_BATCH: Final = 50
SINGLE_EDIT_COUNT: Final = 100
NO_SNAPSHOTS: Final = sys.maxsize
COMMAND_CODEC: Final = Codec(COMMAND_TYPES)


def create_tables(rng: random.Random) -> Tables:
    """Return random tables of the size that the system is designed for."""
    service_names = [f"service-{number}" for number in range(SERVICE_COUNT)]
    workspace_names = [
        f"workspace-{number}" for number in range(WORKSPACE_COUNT)
    ]
    return Tables(
        routes={
            name: Route(name, f"/{name}", name, retries=rng.randrange(5))
            for name in service_names
        },
        pools={
            name: Pool(name, slots=rng.randrange(1, 300))
            for name in service_names
        },
        workspaces={
            name: Workspace(name, rng.uniform(1, 500), rng.randrange(1, 1000))
            for name in workspace_names
        },
    )


def create_encoded_edit(rng: random.Random, number: int) -> bytes:
    """Return a random encoded edit."""
    edit_id = f"edit-{number}"
    selector = rng.random()
    if selector < 0.2:
        tables = create_tables(rng)
        return COMMAND_CODEC.encode(EditTables(edit_id, "op", number, tables))
    if selector < 0.8 or number == 0:
        digest = hashlib.sha256(edit_id.encode()).digest()
        workspace = f"workspace-{rng.randrange(WORKSPACE_COUNT)}"
        key = KeyRecord(f"key-{number}", digest, workspace)
        return COMMAND_CODEC.encode(AddKey(edit_id, "op", None, key))
    key_id = f"key-{rng.randrange(number)}"
    return COMMAND_CODEC.encode(WithdrawKey(edit_id, "op", None, key_id))


class StateMachine:
    """The replicated state: tables, keys and the ids of all edits."""

    def __init__(self) -> None:
        self.edit_ids: dict[str, None] = {}
        self.keys: dict[str, AddKey] = {}
        self.tables: EditTables | None = None

    def apply(self, data: bytes) -> None:
        """Apply one encoded edit."""
        command = COMMAND_CODEC.decode(data)
        self.edit_ids[command.edit_id] = None
        match command:
            case EditTables():
                self.tables = command
            case AddKey():
                self.keys[command.key.key_id] = command
            case WithdrawKey():
                self.keys.pop(command.key_id, None)

    def dump(self) -> bytes:
        """Return the state as edit ids and the edits that restore it."""
        commands: list[AddKey | EditTables] = [*self.keys.values()]
        if self.tables is not None:
            commands.append(self.tables)
        encoded_commands = [COMMAND_CODEC.encode(part) for part in commands]
        edit_ids = "\n".join(self.edit_ids).encode()
        chunks = [
            len(part).to_bytes(4, "big") + part for part in encoded_commands
        ]
        return len(edit_ids).to_bytes(4, "big") + edit_ids + b"".join(chunks)

    def load(self, data: bytes) -> None:
        """Replace the state with the content of a dump."""
        end = 4 + int.from_bytes(data[:4], "big")
        edit_ids = data[4:end].decode().split("\n")
        while end < len(data):
            start = end + 4
            end = start + int.from_bytes(data[end:start], "big")
            self.apply(data[start:end])
        self.edit_ids = dict.fromkeys(edit_ids)


class SingleReplicaHost:
    """A control host whose group has one replica, on the real disk."""

    def __init__(self, folder: str, snapshot_entries: int) -> None:
        self.clock = ProcessClock()
        self.files = DiskFileSystem()
        self.state_machine = StateMachine()
        self.committed_count = 0
        self.journal = Journal(folder, self.files)
        restored: RestoredState = self.journal.open(lambda: "bench")
        if restored.snapshot is not None:
            self.state_machine.load(restored.snapshot.data)
        self.replica = Replica(
            ReplicaConfig("host", ("host",), snapshot_entries),
            restored,
            random.Random(1),
            self.clock.now(),
        )
        while not self.replica.lease_valid(self.clock.now()):
            self.perform_actions(self.replica.tick(self.clock.now()))

    def perform_actions(self, actions: Actions) -> None:
        """Perform the actions and those that follow from them."""
        for action in actions:
            self.perform_actions(self.perform_action(action))

    def perform_action(self, action: Action) -> Actions:
        """Perform one action and return the actions that follow from it."""
        match action:
            case Persist(records, token):
                self.journal.append(records)
                return self.replica.synced(self.clock.now(), token)
            case Apply(_, command) if command:
                self.state_machine.apply(command)
            case ProposalCommitted():
                self.committed_count += 1
            case SaveSnapshot(index, term, membership):
                data = self.state_machine.dump()
                snapshot = Snapshot(index, term, membership, data)
                self.journal.save_snapshot(snapshot)
                return self.replica.snapshot_saved(self.clock.now(), snapshot)
        return ()

    def propose(self, commands: list[bytes]) -> None:
        """Commit the commands with as few syncs as possible."""
        pending_actions: list[Action] = []
        for number, command in enumerate(commands):
            now = self.clock.now()
            pending_actions.extend(self.replica.propose(now, command, number))
        self.perform_actions(tuple(pending_actions))

    def close(self) -> None:
        """Close the files."""
        self.files.close()


def measure_disk_usage(folder: str) -> int:
    """Return the total bytes of the files in a folder."""
    return sum(path.stat().st_size for path in Path(folder).iterdir())


def measure_startup(
    folder: str, snapshot_entries: int
) -> tuple[float, StateMachine]:
    """Return the seconds that a start takes, and the restored state."""
    start = time.perf_counter()
    host = SingleReplicaHost(folder, snapshot_entries)
    elapsed = time.perf_counter() - start
    host.close()
    return elapsed, host.state_machine


def measure_memory(folder: str, snapshot_entries: int) -> int:
    """Return the peak memory allocated during a start, in bytes."""
    tracemalloc.start()
    try:
        SingleReplicaHost(folder, snapshot_entries).close()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def measure_variant(
    seed: int, edit_count: int, snapshot_entries: int
) -> Iterator[Figure]:
    """Fill a log with edits, restart from it and yield the figures."""
    snapshot_policy = (
        "no"
        if snapshot_entries == NO_SNAPSHOTS
        else f"every {snapshot_entries}"
    )
    variant = f"{edit_count} edits, {snapshot_policy} snapshots"
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        host = SingleReplicaHost(folder, snapshot_entries)
        edits = [
            create_encoded_edit(rng, number) for number in range(edit_count)
        ]
        for start in range(0, edit_count, EDITS_PER_BATCH):
            host.propose(edits[start : start + EDITS_PER_BATCH])
        host.close()
        assert host.committed_count == edit_count
        stored = measure_disk_usage(folder)
        elapsed, state_machine = measure_startup(folder, snapshot_entries)
        assert state_machine.dump() == host.state_machine.dump(), (
            "the restored state differs from the committed state"
        )
        memory = measure_memory(folder, snapshot_entries)
    for figure, unit, value in (
        ("start", "s", elapsed),
        ("on disk", "MB", stored / 1e6),
        ("peak memory of the start", "MB", memory / 1e6),
    ):
        yield Figure("restart", variant, figure, unit, value)


def measure_commit(seed: int) -> Figure:
    """Measure the median time to commit one edit with its own sync."""
    rng = random.Random(seed)
    times = []
    with tempfile.TemporaryDirectory() as folder:
        host = SingleReplicaHost(folder, NO_SNAPSHOTS)
        for number in range(SINGLE_EDIT_COUNT):
            edit = create_encoded_edit(rng, number)
            start = time.perf_counter()
            host.propose([edit])
            times.append(time.perf_counter() - start)
        host.close()
    median = sorted(times)[len(times) // 2]
    return Figure("restart", "single edits", "p50", "ms", median * 1e3)


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures of each variant."""
    yield measure_commit(seed)
    for edit_count in EDIT_COUNTS:
        for snapshot_entries in (NO_SNAPSHOTS, 1_000):
            yield from measure_variant(seed, edit_count, snapshot_entries)
