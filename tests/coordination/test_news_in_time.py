"""Settings reach each node in time, whichever step of their way fails.

The bound covers the whole way, from the store's answer to the operator to the last node
that is in contact with a node that has the settings.
"""

import asyncio
import itertools
from collections.abc import Sequence

import pytest

from sesamepost.internal.coordination.feed import MIN_GROUP_NODES
from tests.coordination.failure_domain import Member, fleet
from tests.coordination.memory_store import MemoryStore, put
from tests.coordination.switched_store import SwitchedStore
from tests.waiting import until

# Operators allow 3 s.
BOUND_S = 2.0
# Without any fault.
CALM_BOUND_S = 1.0
# A node alone has only its own calls. Small deployments allow 2.5 s.
ALONE_BOUND_S = 2.5
SETTINGS = "settings"
# Three failure domains; those of at least MIN_GROUP_NODES have a reader.
SIZES = (MIN_GROUP_NODES, MIN_GROUP_NODES, 3)


def members_of(members: Sequence[Member], domain: int) -> list[Member]:
    return [member for member in members if member.entry.failure_domain == str(domain)]


async def change_settings(store: MemoryStore, members, bound_s: float) -> None:
    """Write new settings and wait until all ``members`` have them, within a bound."""
    await put(store, SETTINGS, b"new")
    loop = asyncio.get_running_loop()
    end = loop.time() + bound_s
    late = list(members)
    while late and loop.time() < end:
        await asyncio.sleep(0.01)
        late = [m for m in members if not has_settings(m)]
    names = [f"{m.entry.vm} in {m.entry.failure_domain}" for m in late]
    assert not late, f"late after {bound_s} s: {names}"


def has_settings(member: Member) -> bool:
    item = member.mirror.get(SETTINGS)
    return item is not None and item.value == b"new"


async def new_store() -> MemoryStore:
    store = MemoryStore()
    await put(store, SETTINGS, b"old")
    return store


def followers_follow(members: Sequence[Member]) -> bool:
    return all(
        member.mirror.counters["follows"] > 0
        for member in members
        if member.feed.reader() not in (None, member.entry)
    )


async def test_settings_are_in_force_soon_without_faults():
    store = await new_store()
    async with fleet(store, SIZES, lambda: SwitchedStore(store)) as members:
        await until(lambda: followers_follow(members))
        await change_settings(store, members, CALM_BOUND_S)


@pytest.mark.parametrize("silent_s", [0.0, 0.4, 0.8, 1.2])
async def test_nodes_that_the_store_leaves_unanswered_have_settings_in_time(silent_s):
    # Guards against late settings (CONFIG on trouble-1 of grown Valstock): the store
    # was silent to a third of the nodes, whose steps added up: reader, own watch, the
    # same watch again, three peers. Nodes around them had the settings.
    store = await new_store()
    async with fleet(store, SIZES, lambda: SwitchedStore(store)) as members:
        await until(lambda: followers_follow(members))
        for member in members_of(members, 0):
            member.store.silence()
        await asyncio.sleep(silent_s)
        await change_settings(store, members, BOUND_S)


@pytest.mark.parametrize("silent_s", [1.0, 2.0, 3.0, 4.0])
async def test_nodes_have_settings_in_time_after_the_store_answers_again(silent_s):
    # Guards against a watch that was sent into a silence and is waited for after it
    # (CONFIG on trouble-1 of grown Valstock).
    store = await new_store()
    async with fleet(store, SIZES, lambda: SwitchedStore(store)) as members:
        await until(lambda: followers_follow(members))
        for member in members_of(members, 0):
            member.store.silence()
        await asyncio.sleep(silent_s)
        for member in members_of(members, 0):
            member.store.restore()
        await change_settings(store, members, BOUND_S)


async def test_a_node_alone_has_settings_in_time_although_its_watch_is_lost():
    # Guards against a connection that falls silent for good under the only watch: the
    # node waited for the end of the watch and listed the store then.
    store = await new_store()
    async with fleet(store, [1], lambda: SwitchedStore(store)) as members:
        view = members[0].store
        begun = view.calls.count("watch")
        await until(lambda: view.calls.count("watch") > begun + 1)
        view.lose_open_calls()
        await change_settings(store, members, ALONE_BOUND_S)


class LateStore(SwitchedStore):
    """Answers watches; the answers are ``UNDER_WAY_S`` under way once ``is_late``."""

    UNDER_WAY_S = 0.9
    is_late = False

    async def watch(self, prefix, after, wait_s):
        batch = await super().watch(prefix, after, wait_s)
        if self.is_late:
            await asyncio.sleep(self.UNDER_WAY_S)
        return batch


async def change_often(store: MemoryStore) -> None:
    """Change a range table as a fleet does, so that each watch has an answer."""
    for number in itertools.count():
        await put(store, "table", str(number).encode())
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("offset_s", [0.0, 0.35, 0.7, 1.05])
async def test_followers_of_a_slow_reader_have_settings_in_time(offset_s):
    # Guards against an age that counts from the arrival of an answer: a reader whose
    # answers are under way for long passed for fresh, and its followers, which reach
    # the store, stayed with it.
    store = await new_store()
    views = iter([LateStore(store), *(SwitchedStore(store) for _ in range(5))])
    async with fleet(store, [MIN_GROUP_NODES], lambda: next(views)) as members:
        await until(lambda: followers_follow(members))
        members[0].store.is_late = True
        changes = asyncio.ensure_future(change_often(store))
        try:
            await asyncio.sleep(2.0 + offset_s)
            await change_settings(store, members[1:], BOUND_S)
        finally:
            changes.cancel()
