"""Odd values from other writers: each costs its own entry and ends no task.

Other operators saw machines end, or stop following the list of workers, when one entry
was very deeply nested, held a number too large or named a port out of range.
"""

import asyncio
import json
from dataclasses import asdict

import msgpack
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    NODE_PREFIX,
    EndpointInfo,
    NodeEntry,
    NodeTable,
    Registration,
    decode_node,
)
from sesamepost.internal.coordination.store import (
    Deletion,
    Item,
    StoreSilentError,
    Transaction,
    Write,
)
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ranges.table import Owner, decode_section, new_table
from sesamepost.internal.tasks import TaskOwner, task_failures
from sesamepost.internal.wire.pool import Address, PeerPool
from sesamepost.internal.wire.stream import StreamClosedError
from sesamepost.platform.control_plane import (
    HeartbeatError,
    decode_heartbeat,
    decode_leave,
)
from sesamepost.platform.routing import decode_routing
from sesamepost.platform.store import PlatformStore
from tests.coordination.memory_store import MemoryStore
from tests.odd_values import NESTED_JSON, NESTED_MSGPACK, mangled, with_odd_value
from tests.platform.test_decoding import HEARTBEAT, ROUTING
from tests.waiting import until

VM = "10.0.0.2"
ENTRY = NodeEntry(
    VM, "n", 7, 7600, "a", "r", EndpointInfo("desk", "i-1", 1_700_000, 6, "v1", True)
)
FIELDS = asdict(ENTRY)
SECTION = new_table([Owner("10.0.0.2", "i-1", 1), Owner("10.0.0.3", "i-2", 2)])
SECTION_ROWS = msgpack.unpackb(SECTION.section(0).encode())
ADDRESS = HEARTBEAT["address"]


def item(value: bytes, vm: str = VM) -> Item:
    return Item(NODE_PREFIX + vm, value, 5)


def check_entry(value: bytes) -> None:
    entry = decode_node(item(value))
    if entry is None:
        return
    assert entry.vm == VM
    assert 1 <= entry.peer_port <= 65535
    hash((entry.incarnation, entry.name, entry.region, entry.failure_domain))
    if entry.endpoint is not None:
        hash(entry.endpoint)
        assert 0 <= entry.endpoint.slots < 1 << 20
        assert 0 <= entry.endpoint.born < 1 << 53


@given(with_odd_value(FIELDS).map(msgpack.packb) | mangled(ENTRY.encode()))
def test_an_odd_node_entry_is_dropped_or_usable(value):
    check_entry(value)


@pytest.mark.parametrize(
    "changes",
    [
        {"peer_port": 99_999},
        {"peer_port": -1},
        {"peer_port": 0},
        {"peer_port": "x"},
        {"vm": None},
        {"vm": ["10.0.0.2"]},
        {"vm": "10.0.0.9"},
        {"incarnation": [7]},
        {"region": {"a": 1}},
        {"endpoint": {**FIELDS["endpoint"], "slots": 1 << 63}},
        {"endpoint": {**FIELDS["endpoint"], "slots": "9"}},
        {"endpoint": {**FIELDS["endpoint"], "born": [[]]}},
    ],
)
def test_each_reported_kind_of_odd_entry_is_dropped(changes):
    assert decode_node(item(msgpack.packb({**FIELDS, **changes}))) is None


@given(with_odd_value(SECTION_ROWS).map(msgpack.packb))
def test_an_odd_section_of_a_range_table_is_rejected_or_usable(data):
    try:
        section = decode_section(data, 0)
    except ValueError:
        return
    assert section.fence >= 0
    for r in section.ranges:
        assert 0 <= r.first <= r.last <= 65535
        hash(r)


@given(with_odd_value(HEARTBEAT).map(lambda fields: json.dumps(fields).encode()))
def test_an_odd_heartbeat_is_rejected_or_usable(data):
    try:
        heartbeat = decode_heartbeat("i-1", data, ADDRESS)
    except HeartbeatError:
        return
    check_entry(NodeEntry(VM, "n", 7, 7600, "a", "r", heartbeat.endpoint).encode())
    assert heartbeat.sequence >= 0
    for r in (*heartbeat.held, *heartbeat.released):
        assert 0 <= r.first <= r.last <= 65535


@given(with_odd_value(ROUTING).map(lambda fields: json.dumps(fields).encode()))
@settings(max_examples=200)
def test_odd_routing_settings_are_rejected_or_usable(data):
    routing = decode_routing(data)
    if routing is None:
        return
    routing.index()
    for route in routing.routes:
        assert route.timeout_s >= 0
        assert route.shares


@pytest.mark.parametrize("data", [NESTED_JSON, b'{"version": 1e999}', b'{"x":NaN}'])
def test_nesting_and_numbers_beyond_all_limits_are_rejected(data):
    assert decode_routing(data) is None
    with pytest.raises(HeartbeatError):
        decode_heartbeat("i-1", data, ADDRESS)
    decode_leave(data)


@pytest.mark.parametrize("data", [NESTED_MSGPACK, b"\x81\xa1x" + NESTED_MSGPACK])
def test_nested_entries_are_rejected(data):
    assert decode_node(item(data)) is None
    with pytest.raises(ValueError, match="not a section"):
        decode_section(data, 0)


def test_an_odd_entry_costs_none_of_its_neighbours():
    mirror = Mirror(MemoryStore())
    nodes = NodeTable(mirror)
    with capture_logs() as logs:
        mirror.offer(Item(NODE_PREFIX + "10.0.0.9", NESTED_MSGPACK, 1))
        mirror.offer(item(ENTRY.encode()))
    assert list(nodes.nodes) == [VM]
    assert [line["event"] for line in logs].count("node_entry_unreadable") == 1


async def test_an_entry_that_another_writer_replaced_is_written_again():
    # Guards against a node that is lost for all others until it restarts.
    store = MemoryStore()
    async with (
        Mirror(store) as mirror,
        Registration(store, mirror, ENTRY) as registration,
    ):
        await until(lambda: registration.written_entry == ENTRY)
        key = registration.key
        await store.commit(Transaction({}, (Write(key, b"odd"),)))
        assert store.items[key].value == b"odd"
        await until(lambda: store.items[key].value == ENTRY.encode())


@pytest.mark.parametrize("address", [Address(VM, 99_999), Address("a\0b", 1)])
async def test_an_address_that_cannot_exist_is_a_failed_dial(address):
    async with PeerPool(NodeId("10.0.0.1", 1), b"k") as pool:
        with pytest.raises(StreamClosedError):
            await pool.stream_to(address)


async def test_a_task_goes_on_after_an_unexpected_error():
    # Guards against a node that runs on without, for example, renewing its lease.
    class Part(TaskOwner):
        runs = 0

        async def run(self) -> None:
            self.runs += 1
            if self.runs == 1:
                raise OverflowError("odd")
            await asyncio.Event().wait()

    with capture_logs() as logs:
        async with Part() as part:
            await until(lambda: part.runs == 2)
    assert task_failures["Part"] == 1
    assert [line["event"] for line in logs] == ["task_failed"]


class ScriptedStore:
    """A store that answers every call with the same body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def __aenter__(self) -> str:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        return f"http://{host}:{port}"

    async def __aexit__(self, *error) -> None:
        await self.runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        return web.Response(body=self.body)


@pytest.mark.parametrize("body", [NESTED_JSON, b"", b"7", b'{"atRevision": 1e999}'])
async def test_an_unreadable_response_of_the_store_is_no_response(body):
    # Guards against errors that the callers of the store do not expect: one of them
    # ended the renewal of the lease.
    async with ScriptedStore(body) as url, PlatformStore(url) as store:
        for call in (
            store.get("a"),
            store.list("a"),
            store.watch("a", 1, 0.1),
            store.open_lease(3.0),
        ):
            with pytest.raises(StoreSilentError):
                await call


async def test_an_odd_item_of_the_store_costs_only_itself():
    odd = ['{"key": 7}', '{"key":"b","value":"&","revision":2}', "[]", "1" * 400]
    good = '{"key":"a","value":"eA==","revision":3,"createdRevision":3,"lease":0}'
    gone = '{"key":"c","revision":4,"deleted":true}'
    entries = ",".join([*odd, good, gone])
    body = f'{{"atRevision":9,"items":[{entries}],"events":[{entries}]}}'.encode()
    async with ScriptedStore(body) as url, PlatformStore(url) as store:
        batch = await store.watch("", 1, 0.1)
        assert batch.events == (Item("a", b"x", 3), Deletion("c", 4))
        assert (await store.list("")).revision == 9


@given(st.binary(max_size=40))
def test_arbitrary_bytes_are_no_entry(data):
    check_entry(data)
    assert decode_routing(data) is None
