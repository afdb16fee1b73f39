"""Heartbeats without end cost a bounded part of the memory."""

import json
import socket
from contextlib import ExitStack
from types import SimpleNamespace

import aiohttp
import pytest
import uvloop

from sesamepost.internal.limits import MAX_COUNT
from sesamepost.internal.ranges.table import LAST_KEY
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.control_plane import MAX_REPORTED_RANGES, ControlPlane
from tests.forwarding.process_load import ProcessLoad
from tests.platform.flooding_sender import send_flood
from tests.platform.test_decoding import HEARTBEAT

CONNECTIONS = 30
DURATION_S = 2.0
MAX_GROWTH_BYTES = 120 << 20
MAX_STOP_S = 0.1
HEAD = b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: h\r\n"
LONG_CHUNK = b"8000\r\n" + b"z" * 0x8000 + b"\r\n"


@pytest.fixture(scope="module")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    """Run the tests on the event loop of the router process."""
    return uvloop.EventLoopPolicy()


@pytest.fixture
def free_ports() -> list[int]:
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(3)
        ]
        return [listener.getsockname()[1] for listener in sockets]


def control_plane(free_ports: list[int]) -> ControlPlane:
    heartbeat, ready, metrics = (Address("127.0.0.1", port) for port in free_ports)
    settings = SimpleNamespace(
        vm=metrics.host,
        endpoint_address=Address("127.0.0.1", 1),
        heartbeat_address=heartbeat,
        ready_address=ready,
        metrics_port=metrics.port,
    )
    return ControlPlane(SimpleNamespace(settings=settings))


@pytest.mark.parametrize(
    ("prefix", "repeated"),
    [
        (HEAD + b"Content-Length: 999999999\r\n\r\n", b"z"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", LONG_CHUNK),
    ],
    ids=["length", "long chunks"],
)
async def test_heartbeats_without_end_take_bounded_memory(prefix, repeated, free_ports):
    # Guards against a worker whose heartbeats are read for 10 s after their rejection.
    address = Address("127.0.0.1", free_ports[0])
    async with control_plane(free_ports), ProcessLoad() as load:
        await send_flood(address, prefix, repeated, CONNECTIONS, DURATION_S)
    print(
        f"stop {load.longest_stop_s * 1000:.0f} ms, "
        f"growth {load.growth_bytes >> 20} MiB"
    )
    assert load.growth_bytes < MAX_GROWTH_BYTES
    assert load.longest_stop_s < MAX_STOP_S


async def test_the_largest_heartbeat_is_within_the_limit(free_ports):
    # Guards against a limit that rejects a worker that holds many ranges. It names
    # another address than the node's, so status 400 shows that it was decoded.
    rows = [[LAST_KEY, LAST_KEY, MAX_COUNT] for _ in range(MAX_REPORTED_RANGES)]
    released = [[LAST_KEY, LAST_KEY, "t" * 64] for _ in range(MAX_REPORTED_RANGES)]
    body = json.dumps({**HEARTBEAT, "holds": rows, "released": released})
    url = f"http://127.0.0.1:{free_ports[0]}/Instances.Heartbeat/i-1"
    async with (
        control_plane(free_ports),
        aiohttp.ClientSession() as session,
        session.post(url, data=body) as response,
    ):
        assert response.status == 400
        assert "address is" in await response.text()
