"""Cost of at-most-once: messages, bytes, processor time and memory."""

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Final

from bench._figures import Figure, format_figure
from bench.once_emulator import NAMES, Faults, Request, World
from sequoiaseam._clock import EPOCH
from sequoiaseam._codec import Codec
from sequoiaseam._commands import WitnessGroup
from sequoiaseam._verdict import Verdict
from sequoiaseam._witness import (
    ELIGIBILITY_DELAY,
    WITNESS_MESSAGES,
    Intent,
    OutcomeRecord,
    RecordKey,
    Witness,
    compute_body_digest,
    mint_request_id,
)
from sequoiaseam.const import WITNESS_SHARDS

RECORDS: Final = 20_000
REQUESTS: Final = 300
ANSWER: Final = b"x" * 200
READY: Final = EPOCH + ELIGIBILITY_DELAY + timedelta(seconds=1)
# The emulator's own messages stand for the forwarded call and response.
FORWARDED: Final = ("Call", "Reply")
CASES: Final = {
    "answered": Faults(),
    "refused at entry": Faults(refused_at_entry=1.0),
    "refused once by guard": Faults(refused_at_executor=0.5),
}


def _figure(
    variant: str,
    figure: str,
    unit: str,
    value: float,
    target: str | None = None,
) -> Figure:
    return Figure("once", variant, figure, unit, value, target)


def _build_intent(number: int, now: datetime, rng: random.Random) -> Intent:
    return Intent(
        key=RecordKey("cooperative", mint_request_id(now, rng)),
        attempt=f"node-17.63f0a1b2c3d4e5.{number:x}.1",
        body_digest=compute_body_digest("POST", "/accept", b"%d" % number),
        guard="node-18",
        guard_incarnation=0x63F0A1B2C3D4E5,
        entry="node-17",
        entered=now,
        epoch=1,
        limit=3,
    )


def _build_witness() -> Witness:
    witness = Witness("node-1", EPOCH)
    group = WitnessGroup(1, ("node-1", "node-2", "node-3"))
    witness.assign(EPOCH, dict.fromkeys(range(WITNESS_SHARDS), group))
    return witness


def _measure_memory(rng: random.Random) -> Iterator[Figure]:
    """Yield the bytes that a witness keeps per record."""
    codec = Codec(WITNESS_MESSAGES)
    witness = _build_witness()
    encoded = [
        codec.encode(_build_intent(number, READY, rng))
        for number in range(RECORDS)
    ]
    gc.collect()
    tracemalloc.start()
    for data in encoded:
        message = codec.decode(data)
        witness.receive(READY, fresh=True, message=message)
    del message
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    yield _figure("record", "memory", "B", size / RECORDS, "<= 512")
    for data in encoded:
        intent = codec.decode(data)
        outcome = OutcomeRecord(
            intent.key,
            intent.attempt,
            intent.body_digest,
            200,
            (("Content-Type", "application/json"),),
            ANSWER,
        )
        decoded = codec.decode(codec.encode(outcome))
        witness.receive(READY, fresh=True, message=decoded)
    del intent, outcome, decoded
    gc.collect()
    more, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _figure("record and outcome", "memory", "B", more / RECORDS)


def _measure_time(rng: random.Random) -> Iterator[Figure]:
    """Yield the processor time of one vote, decoding aside."""
    witness = _build_witness()
    intents = [_build_intent(n, READY, rng) for n in range(RECORDS)]
    began = time.process_time()
    for intent in intents:
        witness.receive(READY, fresh=True, message=intent)
    spent = time.process_time() - began
    yield _figure("vote", "processor", "us", spent / RECORDS * 1e6)
    codec = Codec(WITNESS_MESSAGES)
    size = len(codec.encode(intents[0]))
    yield _figure("intent", "size", "B", size)


def _count_messages(variant: str, faults: Faults, seed: int) -> Figure:
    """Return the messages to and from witnesses per request."""
    world = World(seed)
    world.advance(40.0)
    world.faults = faults
    world.messages.clear()
    requests = []
    for _ in range(REQUESTS):
        request = Request(world.mint(world.time))
        requests.append(world.call(request, world.rng.choice(NAMES)))
        world.advance(world.time + 0.05)
    world.advance(world.time + 5.0)
    told = sum(r.verdict is Verdict.MAY_HAVE_RUN for r in requests)
    if told:
        raise AssertionError(f"{told} requests without proof")
    count = sum(
        number
        for name, number in world.messages.items()
        if name not in FORWARDED
    )
    return _figure(variant, "messages", "1/request", count / REQUESTS)


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures."""
    rng = random.Random(seed)
    yield from _measure_time(rng)
    yield from _measure_memory(rng)
    for variant, faults in CASES.items():
        yield _count_messages(variant, faults, seed)


if __name__ == "__main__":
    for line in map(format_figure, run(1)):
        print(line)
