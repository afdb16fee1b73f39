"""Handovers of keys by one keeper, and by several at the same time."""

import asyncio
from dataclasses import replace

from structlog.testing import capture_logs

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.ranges.balance import Move
from sesamepost.internal.ranges.heartbeat_holds import (
    ANSWER_TIMEOUT_S,
    MAX_ORDER_BYTES,
    ROW_BYTES,
    HeldRange,
    HoldOrder,
    HoldReport,
    ReleasedRange,
)
from sesamepost.internal.ranges.holds import LONGEST_HOLD_S, HoldTracker
from sesamepost.internal.ranges.keeper import ANSWER_WAIT_S, RangeKeeper
from sesamepost.internal.ranges.table import (
    LAST_KEY,
    KeyRange,
    RangeTable,
    new_table,
    reassign,
)
from tests.coordination.memory_store import MemoryStore, SlowStore
from tests.ranges.keepers import OWNERS, SERVICE, entry, running_keepers
from tests.waiting import until


async def test_pieces_of_a_range_go_to_their_targets_with_one_release():
    store = MemoryStore()
    async with running_keepers(store, OWNERS[:3]) as (keeper, *_):
        moves = [Move(100, 199, OWNERS[1]), Move(200, 299, OWNERS[2])]
        keeper.move(moves, "test")
        await until(lambda: not keeper.moves)
        table = keeper.tables.table
        assert table.find(150).owner == OWNERS[1]
        assert table.find(250).owner == OWNERS[2]
        assert table.find(99).owner == table.find(300).owner == OWNERS[0]
        assert table.find(150).handover == "token-100"
        assert keeper.commands.released == [(100, 299, 1)]


async def test_concurrent_moves_of_several_owners_all_succeed():
    # Guards against moves that are abandoned after their keys have been released. This
    # happened to half of them, as each owner's write conflicted four times with others.
    store = SlowStore()
    async with running_keepers(store, OWNERS) as found:
        share = (LAST_KEY + 1) // len(found)
        for index, keeper in enumerate(found):
            first = keeper.tables.table.owned_by(keeper.vm)[0].first
            target = OWNERS[(index + 1) % len(OWNERS)]
            keeper.move([Move(first, first + share // 4, target)], "test")
        await until(lambda: not any(keeper.moves for keeper in found))
        # Each keeper learns the changes of the others from the store.
        await until(lambda: all(k.tables.revision == store.revision for k in found))
        for index, owner in enumerate(OWNERS):
            first = new_table(OWNERS).owned_by(owner.vm)[0].first
            target = OWNERS[(index + 1) % len(OWNERS)]
            assert all(k.tables.table.find(first).owner == target for k in found)


async def test_a_failed_handover_is_retried_only_after_a_pause():
    # Guards against a busy loop when an endpoint leaves with a range that is known from
    # an update but not in the mirror yet. On grown Paani, a node tried to hand over
    # such a range 5,066 times in a second.
    store = MemoryStore()
    async with running_keepers(store, OWNERS[:2]) as (keeper, other):
        for vm in (keeper.vm, other.vm):
            owner = next(o for o in OWNERS if o.vm == vm)
            info = EndpointInfo(SERVICE, owner.endpoint_id, owner.born, 3, "v", True)
            node = replace(entry(owner), endpoint=info)
            keeper.nodes.nodes[vm] = node
        last = LAST_KEY
        updated = KeyRange(last, last, keeper.owner, 99)
        keeper.tables.offer_range(store.revision + 5, updated)
        with capture_logs() as logs:
            keeper.set_endpoint(replace(keeper.endpoint, is_ready=False), False)
            await asyncio.sleep(0.6)
        started = [line for line in logs if line["event"] == "move_started"]
        assert 1 <= sum(line["first"] == last for line in started) <= 3


def held_by(order: HoldOrder) -> list[tuple[int, int, int]]:
    return [(r.first, r.last, r.fence) for r in order.ranges]


async def send_heartbeat(keeper: RangeKeeper, held=(), released=()) -> HoldOrder:
    rows = tuple(HeldRange(*row) for row in held)
    tokens = tuple(ReleasedRange(*row) for row in released)
    return await keeper.answer_heartbeat(HoldReport(rows, tokens, True))


async def test_a_move_between_heartbeats_reaches_its_target_with_a_waiting_answer():
    # Guards against hot keys that are without service until the next heartbeat of their
    # new owner, most of a second.
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (source, target):
        held = held_by(await send_heartbeat(source))
        kept = held_by(await send_heartbeat(target))
        waiting = asyncio.ensure_future(send_heartbeat(target, kept))
        await asyncio.sleep(0.05)
        started = boottime()
        source.move([Move(10, 19, target.owner)], "test")
        await asyncio.sleep(0.02)
        order = await send_heartbeat(source, held)
        assert [r[:2] for r in held_by(order)][:2] == [(0, 9), (20, held[0][1])]
        assert not source.may_run(15)
        rest = held_by(order)
        await send_heartbeat(source, rest, [(10, 19, "token")])
        order = await waiting
        assert (10, 19) in [r[:2] for r in held_by(order)]
        assert "token" in [r.handover for r in order.ranges]
        assert boottime() - started < ANSWER_WAIT_S / 2


async def test_keys_that_move_are_served_until_the_endpoint_is_told():
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (source, target):
        held = held_by(await send_heartbeat(source))
        await until(lambda: source.may_run(15))
        source.move([Move(10, 19, target.owner)], "test")
        await asyncio.sleep(0.05)
        assert source.may_run(15)
        await send_heartbeat(source, held)
        assert not source.may_run(15)
        assert source.may_run(25)


async def test_an_answer_that_orders_nothing_new_arrives_well_within_a_second():
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (keeper, _):
        held = held_by(await send_heartbeat(keeper))
        started = boottime()
        assert held_by(await send_heartbeat(keeper, held)) == held
        assert ANSWER_WAIT_S - 0.05 < boottime() - started < ANSWER_TIMEOUT_S * 0.7


async def test_an_endpoint_that_leaves_is_answered_immediately():
    # Guards against confirming late that it gets no more requests.
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (keeper, _):
        held = held_by(await send_heartbeat(keeper))
        keeper.set_endpoint(replace(keeper.endpoint, is_ready=False), False)
        started = boottime()
        await send_heartbeat(keeper, held)
        assert boottime() - started < 0.1


async def test_ranges_that_do_not_fit_into_an_answer_go_to_other_owners():
    # Guards against keys that no endpoint is ever told to hold.
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (keeper, other):
        for owner in (keeper.owner, other.owner):
            info = EndpointInfo(SERVICE, owner.endpoint_id, owner.born, 3, "v", True)
            keeper.nodes.nodes[owner.vm] = replace(entry(owner), endpoint=info)

        def split(table: RangeTable) -> RangeTable:
            for first in range(0, 4 * MAX_ORDER_BYTES // ROW_BYTES, 2):
                table = reassign(table, first, first, keeper.owner)
            return table

        await keeper.tables.change("test", split)
        order = await send_heartbeat(keeper)
        assert len(order.ranges) <= MAX_ORDER_BYTES // ROW_BYTES
        await until(lambda: not keeper.moves)
        held = {r.first for r in keeper.tables.table.owned_by(keeper.vm)}
        assert held <= {r.first for r in order.ranges}


async def test_a_new_process_does_not_hand_over_what_its_first_heartbeat_reports():
    # Guards against two holders: the endpoint leaves with the first heartbeat that the
    # new process receives, before it knows the table. Found by soak seed 319 with
    # heartbeats.
    async with running_keepers(MemoryStore(), OWNERS[:2], True) as (keeper, other):
        held = held_by(await send_heartbeat(keeper))
        info = EndpointInfo(SERVICE, "i-2", 2, 3, "v", True)
        keeper.nodes.nodes[other.vm] = replace(entry(OWNERS[1]), endpoint=info)
        keeper.holds = HoldTracker(10.0, boottime() + LONGEST_HOLD_S)
        table, keeper.tables.merged_table = keeper.tables.merged_table, None
        keeper.set_endpoint(replace(keeper.endpoint, is_ready=False), False)
        assert await send_heartbeat(keeper, held) is None
        keeper.tables.merged_table = table
        await asyncio.sleep(0.3)
        await send_heartbeat(keeper, held)
        assert keeper.tables.table.find(5).owner == keeper.owner
        await send_heartbeat(keeper)
        await until(lambda: keeper.tables.table.find(5).owner == OWNERS[1])
