"""Loads reach the nodes that choose endpoints, even if few answers carry hints."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

from sesamepost.internal.coordination.nodes import EndpointInfo, NodeEntry
from sesamepost.internal.forwarding import load_exchange
from sesamepost.internal.forwarding.load_exchange import LoadExchange
from sesamepost.internal.forwarding.messages import LoadHint
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.pool import Address, PeerPool
from tests.waiting import until

KEY = b"k" * 32


def hint(running: int) -> LoadHint:
    return LoadHint("s", running, 0, 3, 200, 50, 0)


class Endpoint:
    """A local endpoint whose load is set by the test."""

    def __init__(self) -> None:
        self.info = EndpointInfo("s", "i", 1, 3, "v", True)
        self.running = 0

    def hint(self) -> LoadHint:
        return hint(self.running)


@asynccontextmanager
async def nodes(domains: list[str], is_partitioned: bool):
    """Run exchanges on loopback; yield them and the hints that each received."""
    async with AsyncExitStack() as stack:
        entries, pools, received, exchanges = {}, [], [], []
        for index, domain in enumerate(domains):
            vm = f"127.0.0.{index + 1}"
            pool = await stack.enter_async_context(PeerPool(new_node_id(vm), KEY))
            address = await pool.listen(Address(vm, 0))
            hints: list[tuple[str, int]] = []
            pool.on(
                LoadHint,
                lambda stream, item, hints=hints: hints.append(
                    (stream.peer.vm, item.running)
                ),
            )
            entries[vm] = NodeEntry(vm, vm, 1, address.port, domain, "r", None)
            pools.append(pool)
            received.append(hints)
        table = SimpleNamespace(nodes=entries)
        for pool, entry in zip(pools, entries.values(), strict=True):
            exchange = LoadExchange(
                entry, pool, table, Endpoint(), lambda service: is_partitioned
            )
            exchanges.append(await stack.enter_async_context(exchange))
        yield exchanges, received


async def test_a_changed_load_is_sent_within_the_failure_domain():
    # Guards against hints that are seconds old, with which nodes choose among the
    # endpoints of a service practically at random.
    async with nodes(["a", "a", "b"], is_partitioned=False) as (exchanges, received):
        exchanges[0].local.running = 2
        await until(lambda: ("127.0.0.1", 2) in received[1])
        assert received[2] == []


async def test_an_unchanged_load_is_sent_once():
    async with nodes(["a", "a"], is_partitioned=False) as (_, received):
        await until(lambda: received[1])
        await asyncio.sleep(3 * load_exchange.SEND_INTERVAL_S)
        assert len(received[1]) == 1


async def test_the_load_of_a_partitioned_service_is_not_sent():
    async with nodes(["a", "a"], is_partitioned=True) as (_, received):
        await asyncio.sleep(2 * load_exchange.SEND_INTERVAL_S)
        assert received[1] == []


async def test_requests_for_loads_are_limited_in_rate():
    # An owner requests loads before it hands over keys. With old hints, it chose
    # targets that had become busy in the meantime.
    async with nodes(["a", "b", "c"], is_partitioned=True) as (exchanges, received):
        exchanges[1].local.running = 3
        assert exchanges[0].request_loads(["127.0.0.2", "127.0.0.3", "127.0.0.9"])
        await until(lambda: ("127.0.0.2", 3) in received[0])
        assert not exchanges[0].request_loads(["127.0.0.2"])
