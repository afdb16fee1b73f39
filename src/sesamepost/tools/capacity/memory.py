"""Memory of a daemon's documents, streams and idempotency records."""

import asyncio
import tracemalloc
from collections.abc import Callable

from sesamepost.internal.dispatch.records import (
    IdempotencyRecords,
    Ran,
    StoredAnswer,
    Submission,
)
from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import hash_key
from sesamepost.internal.ownership.assignment import Placement
from sesamepost.internal.ownership.items import Item
from sesamepost.internal.settings.claims import CLAIMS_DOCUMENT, encode_claims
from sesamepost.internal.wire.handshake import Handshake
from sesamepost.internal.wire.stream import PeerStream
from sesamepost.tools.capacity.design_size import (
    build_assignment,
    build_branch,
    build_fleet,
    node_id,
    service_names,
)
from sesamepost.tools.capacity.fit import Series, byte_series, cpu_series
from sesamepost.tools.capacity.messages import (
    BRANCH_SIZES,
    FLEET_SIZES,
    PARTITION_SIZES,
)

STREAM_SIZES = (30, 120, 480)
RECORD_SIZES = (1000, 4000, 16000)
BODY_BYTES = 256


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for the result of ``build``."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


def document_memory() -> list[Series]:
    """Return the memory of one document in the replica and the views."""

    def replica_with(name: str, body: bytes) -> Callable[[], object]:
        def build():
            replica = Replica()
            views = Views(replica)
            replica.offer(name, 1, bytes(bytearray(body)))
            return replica, views

        return build

    claims = encode_claims(dict.fromkeys(service_names(3), "team-0"))

    def branch(size: int) -> Callable[[], object]:
        body = build_branch(service_names(3), size).encode()

        def build():
            replica = Replica()
            views = Views(replica)
            replica.offer(CLAIMS_DOCUMENT, 1, claims)
            replica.offer("settings/team-0", 1, bytes(bytearray(body)))
            return replica, views

        return build

    return [
        byte_series(
            "fleet",
            "nodes",
            {
                n: allocated_bytes(replica_with("fleet", build_fleet(n).encode()))
                for n in FLEET_SIZES
            },
        ),
        byte_series(
            "assignment/S",
            "partitions",
            {
                n: allocated_bytes(
                    replica_with("assignment/s", build_assignment(n, 20).encode())
                )
                for n in PARTITION_SIZES
            },
        ),
        byte_series(
            "settings/T",
            "bytes of the branch",
            {n: allocated_bytes(branch(n)) for n in BRANCH_SIZES},
        ),
    ]


def record_memory() -> list[Series]:
    """Return the memory of idempotency records with an answer of 256 bytes."""

    def fill(number: int):
        records = IdempotencyRecords()
        item = Item("service-00", False, 0)
        placement = Placement(node_id(0), 0, 1, 0)
        records.begin_coverage(item, 0, -1000.0)
        for index in range(number):
            key = f"customer-{index:08}"
            submission = Submission(
                item, key, hash_key(key), f"booking-{index:012}", "", placement
            )
            run = records.begin(submission, 0.0, 0.0)
            body = bytes(bytearray(BODY_BYTES))
            answer = StoredAnswer(200, (("Content-Type", "text/plain"),), body)
            records.finish(run.record, Ran(answer))
        return records

    return [
        byte_series(
            "idempotency records, answers of 256 bytes",
            "records",
            {n: allocated_bytes(lambda n=n: fill(n)) for n in RECORD_SIZES},
        )
    ]


async def stream_costs() -> list[Series]:
    """Return the memory of a stream object and the CPU time of its silence check.

    Buffers of the kernel and of the event loop are not included.
    """

    def build(number: int):
        streams = []
        for index in range(number):
            handshake = Handshake(b"key of the peers", node_id(index), True, None)
            streams.append(
                PeerStream(handshake, lambda stream, item: None, lambda stream: None)
            )
        return streams

    def check(streams: list[PeerStream]):
        now = asyncio.get_running_loop().time()
        for stream in streams:
            stream.check_silence(now)

    memory = {n: allocated_bytes(lambda n=n: build(n)) for n in STREAM_SIZES}
    series = [byte_series("streams, without buffers", "streams", memory)]
    checked = {n: build(n) for n in STREAM_SIZES}
    calls = {n: lambda item=item: check(item) for n, item in checked.items()}
    series.append(
        cpu_series("silence check of all streams, if one is due", "streams", calls)
    )
    await asyncio.sleep(0)
    return series
