"""When a node knows that a failure domain is evacuated, and what it does then."""

import asyncio

import pytest

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.evacuations import KEY_SERVING_S, Evacuations
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import Deletion, Item
from tests.clocks import StoppableClock
from tests.coordination.failure_domain import EVACUATION_PREFIX, fleet
from tests.coordination.memory_store import MemoryStore, put
from tests.coordination.switched_store import SwitchedStore
from tests.waiting import until

# Requests may be sent for 5 s; an owner serves its keys for a second of them.
BOUND_S = 2.5
KEY = EVACUATION_PREFIX + "d"


def test_keys_are_served_for_a_bounded_time(monkeypatch):
    # Guards against EVAC by a node that restarts in the domain or hears late.
    clock = StoppableClock(monkeypatch)
    evacuations = Evacuations(EVACUATION_PREFIX, Mirror(MemoryStore()))
    assert not evacuations.may_serve("d", has_key=True)
    evacuations.mirror.confirmed_at = boottime()
    evacuations.mirror.offer(Item(KEY, b"{}", 5))
    assert evacuations.may_serve("d", has_key=True)
    assert not evacuations.may_serve("d", has_key=False)
    clock.stop(KEY_SERVING_S)
    assert not evacuations.may_serve("d", has_key=True)
    evacuations.mirror.offer(Deletion(KEY, 7))
    evacuations.mirror.offer(Item(KEY, b"{}", 6))
    assert evacuations.may_serve("d", has_key=False)
    clock.stop(4.0)
    evacuations.mirror.offer(Item(KEY, b"{}", 8))
    assert not evacuations.may_serve("d", has_key=True)


@pytest.mark.parametrize("name", ["", "a/b", "\n", "x" * 300])
def test_a_malformed_key_costs_itself(name):
    evacuations = Evacuations(EVACUATION_PREFIX, Mirror(MemoryStore()))
    evacuations.mirror.offer(Item(EVACUATION_PREFIX + name, b"\xff", 5))
    evacuations.mirror.offer(Item(KEY, b"\xff", 6))
    assert list(evacuations.closing_at) == ["d"]


class UnwatchableStore(SwitchedStore):
    """Answers all calls but watches."""

    async def watch(self, prefix, after, wait_s):
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("sizes", "silent", "view"),
    [([4, 2], 5, SwitchedStore), ([1], 0, UnwatchableStore)],
)
async def test_nodes_whose_watch_is_late_hear_in_time(sizes, silent, view):
    # Guards against EVAC: an evacuation or its end is known to peers or the store only.
    store = MemoryStore()
    await put(store, "settings", b"{}")
    async with fleet(store, sizes, lambda: view(store)) as members:
        found = [Evacuations(EVACUATION_PREFIX, m.mirror) for m in members]
        for member in members[:silent]:
            member.store.silence()
        await put(store, KEY, b"{}")
        async with asyncio.timeout(BOUND_S):
            await until(lambda: all(e.is_evacuated("d") for e in found))
        await store.remove(KEY)
        async with asyncio.timeout(BOUND_S):
            await until(lambda: not any(e.is_evacuated("d") for e in found))
