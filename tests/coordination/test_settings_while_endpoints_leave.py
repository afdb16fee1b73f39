"""Settings changes take effect in time while range tables change rapidly."""

import asyncio
import itertools
from contextlib import AsyncExitStack

from sesamepost.internal.coordination.feed import MIN_GROUP_NODES
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.ranges.table import KEYS, Owner, new_table, reassign
from sesamepost.internal.ranges.table_store import TableStore
from tests.coordination.failure_domain import failure_domain
from tests.coordination.memory_store import MemoryStore, put
from tests.coordination.narrow_links import NarrowLinkStore
from tests.waiting import until

LINK_BYTES_PER_S = 5e6 / 8
RTT_S = 0.044
SETTINGS_TIMEOUT_S = 3.0
SETTINGS_CHANGE_DELAY_S = 0.45
OWNERS = [Owner(f"10.0.0.{i}", f"i-{i:010}", 1_770_000_000_000 + i) for i in range(41)]
RANGES_PER_OWNER = 16
OTHER_LEAVING_NODES = 8
BALANCE_WRITES_PER_S = 16


def narrow_link_store(store: MemoryStore) -> NarrowLinkStore:
    return NarrowLinkStore(store, LINK_BYTES_PER_S, RTT_S)


def interleaved_table():
    """Return a table in which the ranges of each owner are spread over all keys."""
    table = new_table([OWNERS[0]])
    count = len(OWNERS) * RANGES_PER_OWNER
    for index in range(count):
        first, last = index * KEYS // count, (index + 1) * KEYS // count - 1
        owner = OWNERS[index % len(OWNERS)]
        table = reassign(table, first, last, owner, f"{index:016}")
    return table


async def reassign_all(tables: TableStore, owner: Owner, target: Owner) -> None:
    """Move each range of ``owner``, as its node does when the endpoint leaves."""
    ranges = [r for r in tables.table.ranges if r.owner == owner]
    moves = [
        tables.change(
            "the endpoint leaves",
            lambda table, r=r: reassign(table, r.first, r.last, target, r.handover),
        )
        for r in ranges
    ]
    await asyncio.gather(*moves)


async def balance_keys(tables: TableStore) -> None:
    """Move keys at the rate of a fleet of this size."""
    for number in itertools.count():
        first = number * 997 % KEYS
        target = OWNERS[number % len(OWNERS)]
        await tables.change(
            "balance",
            lambda table, r=first, o=target: reassign(table, r, r, o, "t" * 16),
        )
        await asyncio.sleep(1 / BALANCE_WRITES_PER_S)


async def test_settings_are_in_force_in_time_while_endpoints_leave():
    # Guards against late settings (CONFIG on the drawn day fresh-576e of grown Paani)
    # when the endpoint of the reader's node leaves together with others. Writes and
    # versions of the range table filled the reader's link, its calls timed out, and its
    # watch was abandoned. The followers' own watches then asked for every version that
    # they had missed.
    store = MemoryStore()
    await put(store, "settings", b"old")
    seed = TableStore(store, Mirror(store), "s")
    await seed.change("test", lambda table: interleaved_table())
    async with AsyncExitStack() as stack:
        domain = failure_domain(
            store, MIN_GROUP_NODES, lambda: narrow_link_store(store)
        )
        members = await stack.enter_async_context(domain)
        mirrors = [member.mirror for member in members]
        leaving = [TableStore(members[0].relayed, mirrors[0], "s")]
        for _ in range(OTHER_LEAVING_NODES):
            narrow_store = narrow_link_store(store)
            mirror = await stack.enter_async_context(Mirror(narrow_store))
            leaving.append(TableStore(narrow_store, mirror, "s"))
        await until(lambda: all(t.table is not None for t in leaving))
        moves = [
            asyncio.ensure_future(reassign_all(t, OWNERS[i], OWNERS[-1]))
            for i, t in enumerate(leaving)
        ]
        moves.append(asyncio.ensure_future(balance_keys(seed)))
        await asyncio.sleep(SETTINGS_CHANGE_DELAY_S)
        await put(store, "settings", b"new")
        try:
            async with asyncio.timeout(SETTINGS_TIMEOUT_S):
                for mirror in mirrors:
                    while mirror.get("settings").value != b"new":
                        await mirror.wait_for_change(SETTINGS_TIMEOUT_S)
        finally:
            for task in moves:
                task.cancel()
            await asyncio.gather(*moves, return_exceptions=True)
