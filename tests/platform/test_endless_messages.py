"""Messages without end from the store or the worker cost bounded memory and time."""

import asyncio
import json
import time
from base64 import b64encode

import pytest
import uvloop

from sesamepost.internal.coordination.store import StoreSilentError
from sesamepost.platform.store import PlatformStore
from tests.forwarding.flooding_worker import flooding_worker
from tests.forwarding.process_load import ProcessLoad

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CALLS_AT_ONCE = 12
MAX_GROWTH_BYTES = 150 << 20
MAX_STOP_S = 0.1
# aiohttp parses all bytes of a read at once, which takes 50 ms for these.
SLOW_TO_PARSE = {"short chunks"}

ENDLESS = {
    "a body with a length": (OK_HEAD + b"Content-Length: 999999999\r\n\r\n", b"z"),
    "a body without a length": (OK_HEAD + b"\r\n", b"z"),
    "long chunks": (CHUNKED, b"8000\r\n" + b"z" * 0x8000 + b"\r\n"),
    "short chunks": (CHUNKED, b"5\r\nabcde\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "many headers": (OK_HEAD, b"X: y\r\n"),
    "a header": (OK_HEAD + b"X: ", b"y"),
}


@pytest.fixture(scope="module")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    """Run the tests on the event loop of the router process."""
    return uvloop.EventLoopPolicy()


@pytest.mark.parametrize("where", ENDLESS)
async def test_responses_of_the_store_are_bounded(where):
    # Guards against a store, or a machine in between, whose response fills the memory
    # before the timeout of the call.
    async with (
        flooding_worker(*ENDLESS[where]) as address,
        PlatformStore(f"http://{address.host}:{address.port}") as store,
        ProcessLoad() as load,
    ):
        started = time.monotonic()
        errors = await asyncio.gather(
            *(store.list("x/") for _ in range(CALLS_AT_ONCE)), return_exceptions=True
        )
        seconds = time.monotonic() - started
    print(
        f"{where}: {seconds:.2f} s, stop {load.longest_stop_s * 1000:.0f} ms, "
        f"growth {load.growth_bytes >> 20} MiB"
    )
    assert {type(error) for error in errors} == {StoreSilentError}
    assert load.growth_bytes < MAX_GROWTH_BYTES
    assert store.bytes_in_flight == 0
    if where not in SLOW_TO_PARSE:
        assert load.longest_stop_s < MAX_STOP_S


async def test_large_pages_of_the_store_are_read_whole():
    # Guards against a limit that ends responses with the largest items.
    value = b"v" * (1 << 20)
    item = {"key": "x/a", "revision": 3, "value": b64encode(value).decode()}
    content = json.dumps({"atRevision": 5, "items": [item] * 3}).encode()
    head = OK_HEAD + f"Content-Length: {len(content)}\r\n\r\n".encode()
    async with (
        flooding_worker(head + content, b"") as address,
        PlatformStore(f"http://{address.host}:{address.port}") as store,
    ):
        batches = await asyncio.gather(*(store.list("x/") for _ in range(4)))
        for batch in batches:
            assert [event.value for event in batch.events] == [value] * 3
