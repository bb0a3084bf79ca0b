"""Measure the messages, bytes, CPU time and memory of at-most-once."""

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Final

from bench._figures import Figure, format_figure
from bench.once_emulator import NODE_NAMES, Emulator, Faults, Request
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

RECORD_COUNT: Final = 20_000
REQUEST_COUNT: Final = 300
RESPONSE_BODY: Final = b"x" * 200
WITNESS_READY_AT: Final = EPOCH + ELIGIBILITY_DELAY + timedelta(seconds=1)
# Emulator messages for the forwarded call and response, which aren't
# part of the cost.
FORWARDING_MESSAGES: Final = ("Call", "Reply")
FAULT_CASES: Final = {
    "answered": Faults(),
    "refused at entry": Faults(refused_at_entry=1.0),
    "refused once by guard": Faults(refused_at_executor=0.5),
}


def _create_figure(
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
    """Yield the memory of a witness per record, without and with outcome."""
    codec = Codec(WITNESS_MESSAGES)
    witness = _build_witness()
    encoded = [
        codec.encode(_build_intent(number, WITNESS_READY_AT, rng))
        for number in range(RECORD_COUNT)
    ]
    gc.collect()
    tracemalloc.start()
    for data in encoded:
        message = codec.decode(data)
        witness.receive(WITNESS_READY_AT, fresh=True, message=message)
    del message
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    yield _create_figure(
        "record", "memory", "B", size / RECORD_COUNT, "<= 512"
    )
    for data in encoded:
        intent = codec.decode(data)
        outcome = OutcomeRecord(
            intent.key,
            intent.attempt,
            intent.body_digest,
            200,
            (("Content-Type", "application/json"),),
            RESPONSE_BODY,
        )
        decoded = codec.decode(codec.encode(outcome))
        witness.receive(WITNESS_READY_AT, fresh=True, message=decoded)
    del intent, outcome, decoded
    gc.collect()
    total_size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _create_figure(
        "record and outcome", "memory", "B", total_size / RECORD_COUNT
    )


def _measure_time(rng: random.Random) -> Iterator[Figure]:
    """Yield the CPU time of a vote without decoding, and the intent size."""
    witness = _build_witness()
    intents = [
        _build_intent(n, WITNESS_READY_AT, rng) for n in range(RECORD_COUNT)
    ]
    started = time.process_time()
    for intent in intents:
        witness.receive(WITNESS_READY_AT, fresh=True, message=intent)
    cpu_seconds = time.process_time() - started
    yield _create_figure(
        "vote", "processor", "us", cpu_seconds / RECORD_COUNT * 1e6
    )
    codec = Codec(WITNESS_MESSAGES)
    size = len(codec.encode(intents[0]))
    yield _create_figure("intent", "size", "B", size)


def _count_messages(variant: str, faults: Faults, seed: int) -> Figure:
    """Return the number of witness messages per request."""
    emulator = Emulator(seed)
    emulator.advance(40.0)
    emulator.faults = faults
    emulator.messages.clear()
    requests = []
    for _ in range(REQUEST_COUNT):
        request = Request(emulator.create_key(emulator.time))
        requests.append(
            emulator.call(request, emulator.rng.choice(NODE_NAMES))
        )
        emulator.advance(emulator.time + 0.05)
    emulator.advance(emulator.time + 5.0)
    unproven = sum(r.verdict is Verdict.MAY_HAVE_RUN for r in requests)
    if unproven:
        raise AssertionError(
            f"{unproven} requests were refused without a known verdict"
        )
    count = sum(
        number
        for name, number in emulator.messages.items()
        if name not in FORWARDING_MESSAGES
    )
    return _create_figure(
        variant, "messages", "1/request", count / REQUEST_COUNT
    )


def run(seed: int) -> Iterator[Figure]:
    """Yield the figures of all measurements."""
    rng = random.Random(seed)
    yield from _measure_time(rng)
    yield from _measure_memory(rng)
    for variant, faults in FAULT_CASES.items():
        yield _count_messages(variant, faults, seed)


if __name__ == "__main__":
    for line in map(format_figure, run(1)):
        print(line)
