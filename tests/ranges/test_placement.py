"""Owners in evacuated domains and outside of the regions of their service."""

from dataclasses import replace

from sesamepost.internal.coordination.evacuations import Evacuations
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NODE_PREFIX, EndpointInfo
from sesamepost.internal.coordination.store import Item
from sesamepost.internal.ranges.placement import Placement, due_handovers
from sesamepost.internal.ranges.table import KeyRange, Owner
from tests.coordination.memory_store import MemoryStore, SlowStore, put
from tests.ranges.keepers import OWNERS, SERVICE, entry, running_keepers
from tests.waiting import until

PREFIX = "evacuate/"


def placed(owner: Owner, domain: str, region: str = "r"):
    info = EndpointInfo(SERVICE, owner.endpoint_id, owner.born, 3, "v", True)
    node = replace(entry(owner), failure_domain=domain, region=region)
    return replace(node, endpoint=info)


async def test_owners_of_an_evacuated_domain_hand_their_keys_over_to_others():
    # Guards against EVAC, and against keys that go to an endpoint of the same domain.
    store = SlowStore()
    nodes = [placed(*pair) for pair in zip(OWNERS[:5], "aaabb", strict=True)]
    async with running_keepers(store, OWNERS[:5]) as keepers:
        for keeper, node in zip(keepers, nodes, strict=True):
            keeper.registration.entry = node
            keeper.placement.evacuations = Evacuations(PREFIX, keeper.tables.mirror)
            await put(store, NODE_PREFIX + node.vm, node.encode())
        await until(lambda: all(len(k.nodes.nodes) == 5 for k in keepers))
        await put(store, PREFIX + "a", b"{}")
        outside = {OWNERS[3], OWNERS[4]}
        tables = [keeper.tables for keeper in keepers]
        await until(
            lambda: all(t.table.keys_by_owner().keys() <= outside for t in tables)
        )
        assert all(keeper.commands.released for keeper in keepers[:3])


def test_a_range_is_served_until_its_turn_to_move():
    # Guards against keys of a whole domain that are without service at the same time.
    ranges = [KeyRange(i * 10, i * 10 + 9, OWNERS[0], i) for i in range(5)]
    assert due_handovers(ranges, [], is_closed=False) == ranges[:3]
    assert due_handovers(ranges, [(0, 9), (10, 19)], is_closed=False) == ranges[2:3]
    assert due_handovers(ranges, [(0, 9)], is_closed=True) == ranges[1:]


def test_endpoints_that_are_evacuated_or_outside_own_keys_only_without_others():
    mirror = Mirror(MemoryStore())
    placement = Placement(Evacuations(PREFIX, mirror))
    placement.regions = {SERVICE: frozenset({"r"})}
    first, second = placed(OWNERS[0], "a"), placed(OWNERS[1], "b")
    outside = placed(OWNERS[2], "c", "s")
    mirror.offer(Item(PREFIX + "a", b"{}", 1))
    assert placement.best(SERVICE, [first, second, outside]) == [second]
    mirror.offer(Item(PREFIX + "b", b"{}", 2))
    assert placement.best(SERVICE, [first, second, outside]) == [first, second]
    assert placement.best(SERVICE, [outside]) == [outside]
