"""A daemon whose tasks are not started and whose peers only count bytes.

Each step of a task can be called and timed separately. The store is a dictionary.
"""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sesamepost.internal.clock import boottime
from sesamepost.internal.daemon.daemon import Daemon
from sesamepost.internal.identity import NodeId
from sesamepost.internal.settings.model import ProcessSettings
from sesamepost.internal.store.interface import StoreConflictError, StoredValue
from sesamepost.internal.wire.frames import encode_frames
from sesamepost.internal.wire.messages import encode
from sesamepost.internal.wire.pool import Address
from sesamepost.tools.capacity.design_size import (
    build_documents,
    build_fleet,
    location_of,
    node_id,
)

ANY_PORT = Address("127.0.0.1", 0)
UNUSED_STORE = "http://127.0.0.1:9"


class CountingStream:
    """Replacement of an open stream: encodes and frames messages without sending."""

    is_open = True

    def __init__(self, peer: NodeId) -> None:
        self.peer = peer
        self.bytes_sent = 0
        self.messages_sent = 0

    def send(self, item: object) -> None:
        """Encode a message and count it."""
        self.messages_sent += 1
        for part in encode_frames(encode(item), self.messages_sent):
            self.bytes_sent += len(part)

    def close(self, reason: str) -> None:
        """Do nothing; there is no connection."""


class MemoryStore:
    """In-memory store that checks the expected version of each write."""

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}

    async def get(self, key: str) -> StoredValue | None:
        """Return the value at ``key``, or None."""
        return self.values.get(key)

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write ``value`` by compare-and-swap and return its version."""
        current = self.values.get(key)
        version = 0 if current is None else current.version
        if version != expected:
            raise StoreConflictError(key, expected, version)
        self.values[key] = StoredValue(value, expected + 1)
        return expected + 1

    async def end_lease(self, lease: str) -> None:
        """Do nothing; there are no leases."""


class IdleDaemon(Daemon):
    """A daemon whose tasks are not started."""

    def _start_tasks(self) -> None:
        self.tasks = []


@asynccontextmanager
async def idle_daemon(number: int = 0) -> AsyncIterator[IdleDaemon]:
    """Yield the idle daemon of one VM of the design size."""
    domain, region = location_of(number)
    settings = ProcessSettings(
        vm=node_id(number).vm,
        failure_domain=domain,
        region=region,
        callers=ANY_PORT,
        peers=ANY_PORT,
        operators=ANY_PORT,
        endpoints=ANY_PORT,
        peers_key=b"key of the peers",
        seeds=tuple(build_fleet(30).get(node_id(n)).address for n in (1, 2, 3)),
        store_url=UNUSED_STORE,
    )
    daemon = IdleDaemon(settings)
    daemon.node = node_id(number)
    async with daemon:
        yield daemon


def load_documents(
    daemon: IdleDaemon, nodes: int, services: int, branch_bytes: int = 4096
) -> None:
    """Load all documents into the daemon and add open streams to all nodes."""
    for number in range(nodes):
        node = node_id(number)
        if node != daemon.node:
            daemon.pool.streams[node] = CountingStream(node)
    for name, body in build_documents(nodes, services, branch_bytes).items():
        daemon.replica.offer(name, 1, body)


def make_controller(daemon: IdleDaemon, store: MemoryStore) -> None:
    """Make the daemon the controller, with a store that responds immediately."""
    daemon.store = daemon.controller.store = daemon.leadership.store = store
    daemon.leadership.lease = "lease"
    # The lease is not renewed, so it must not expire during the measurement.
    daemon.leadership.renewed_at = boottime() + 100_000
    daemon.controller.leading_since = boottime() - 1000
    daemon.controller.fencing.observe(daemon.views.fleet, boottime())


def discard_logs() -> None:
    """Discard log lines, which thousands of measured steps would repeat."""
    os.environ["UV_USE_IO_URING"] = "0"
    import structlog

    structlog.configure(
        processors=[structlog.processors.JSONRenderer()],
        logger_factory=structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=False,
    )
