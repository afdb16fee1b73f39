"""From which state of the table a keeper may grant ranges."""

import asyncio

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import Registration
from sesamepost.internal.ranges.balance import Move
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.table import RangeTable, reassign
from tests.coordination.memory_store import LateStore, MemoryStore
from tests.ranges.keepers import OWNERS, entry, running_keepers
from tests.ranges.test_keeper import send_heartbeat
from tests.waiting import until

TAKEN_FIRST, TAKEN_LAST = 0, 999


def take_keys(table: RangeTable) -> RangeTable:
    """Give keys of the first owner to the second one, as a takeover does."""
    return reassign(table, TAKEN_FIRST, TAKEN_LAST, OWNERS[1])


async def return_with_a_new_lease(keeper: RangeKeeper, other: RangeKeeper) -> None:
    """Cut a keeper off, let another node take keys, and give it a new lease."""
    keeper.tables.mirror.task.cancel()
    assert await other.tables.change("owners are gone", take_keys)
    for hold in keeper.holds.holds.values():
        hold.certain_until = hold.retry_at = 0.0
    await keeper.registration._renew_or_write()


async def test_a_node_that_returns_grants_nothing_from_before_its_lease():
    # Guards against two holders: after a cut of 10 s, a node got a new lease before its
    # copy of the table was up to date, and granted ranges that others had got meanwhile
    # (review, case 1).
    async with running_keepers(MemoryStore(), OWNERS[:2]) as (keeper, other):
        keeper.commands.granted.clear()
        await return_with_a_new_lease(keeper, other)
        await until(lambda: keeper.commands.granted)
        await asyncio.sleep(0.1)
        assert all(first > TAKEN_LAST for first, _, _ in keeper.commands.granted)
        assert (TAKEN_LAST + 1, 8191, 1) in keeper.commands.granted


async def test_a_node_that_returns_orders_nothing_from_before_its_lease():
    # As above, for an endpoint that takes its keys with the answers to its heartbeats.
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (keeper, other):
        await return_with_a_new_lease(keeper, other)
        order = await send_heartbeat(keeper)
        assert order is None or all(r.first > TAKEN_LAST for r in order.ranges)
        await until(lambda: keeper.tables.table.find(0).owner == OWNERS[1])
        order = await send_heartbeat(keeper)
        assert order.ranges[0].first == TAKEN_LAST + 1


async def test_a_range_that_others_got_is_released_at_the_endpoint():
    # Guards against a hold that runs on for seconds after a node finds its range given
    # to another owner.
    async with running_keepers(MemoryStore(), OWNERS[:2]) as (keeper, other):
        assert await other.tables.change("owners are gone", take_keys)
        await until(lambda: keeper.commands.released)
        await asyncio.sleep(0.1)
        assert keeper.commands.released == [(TAKEN_FIRST, TAKEN_LAST, 1)]


async def test_a_range_that_moves_is_released_once():
    async with running_keepers(MemoryStore(), OWNERS[:2]) as (keeper, _):
        keeper.move([Move(100, 199, OWNERS[1])], "test")
        await until(lambda: not keeper.moves)
        await asyncio.sleep(0.1)
        assert keeper.commands.released == [(100, 199, 1)]


async def start_unanswered_move(store: LateStore, keeper: RangeKeeper) -> None:
    """Let a keeper send a move that the store leaves unanswered."""
    store.is_late = True
    keeper.move([Move(TAKEN_FIRST, TAKEN_LAST, OWNERS[1])], "test")
    await until(lambda: store.late)


async def test_a_late_write_of_the_former_process_does_not_move_a_range():
    # Guards against two holders: a node was killed while the write of a move was
    # unanswered, its next process granted the range again, and then the store carried
    # the write out (review, case 4).
    store = LateStore()
    async with running_keepers(store, OWNERS[:2]) as (keeper, _):
        await keeper.registration._renew_or_write()
        await start_unanswered_move(store, keeper)
        store.is_late = False
        async with Mirror(store) as mirror:
            await until(lambda: mirror.in_contact)
            next_process = Registration(store, mirror, entry(OWNERS[0]))
            await next_process._renew_or_write()
        before = store.revision
        await store.carry_out()
        assert store.revision == before


async def test_a_range_is_granted_again_only_once_its_unanswered_move_is_void():
    # Guards against two holders within one process: a move was given up after ten
    # unanswered writes, its range was granted again under the old fence, and then the
    # store carried one of the writes out.
    store = LateStore()
    async with running_keepers(store, OWNERS[:2]) as (keeper, _):
        await start_unanswered_move(store, keeper)
        keeper.commands.granted.clear()
        await until(lambda: not keeper.moves)
        await asyncio.sleep(0.5)
        assert all(first > TAKEN_LAST for first, _, _ in keeper.commands.granted)
        store.is_late = False
        await until(lambda: any(first == 0 for first, *_ in keeper.commands.granted))
        before = store.revision
        await store.carry_out()
        assert store.revision == before
        assert keeper.tables.table.find(0).owner == OWNERS[0]
