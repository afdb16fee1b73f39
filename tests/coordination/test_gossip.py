"""Tests of ``KeyGossip``: claims of peers, odd items and the cost of reading."""

import asyncio

from sesamepost.internal.coordination import gossip as gossip_module
from sesamepost.internal.coordination.messages import RevisionNotice
from sesamepost.internal.coordination.store import Item
from tests.coordination.failure_domain import Member, fleet
from tests.coordination.memory_store import MemoryStore, put
from tests.coordination.switched_store import SwitchedStore
from tests.waiting import until

SETTINGS = "settings"
NO_SUCH_REVISION = 10**6


async def claim(sender: Member, receiver: Member, revision: int) -> None:
    stream = await sender.pool.stream_to(receiver.entry.address, receiver.entry.node_id)
    stream.send(RevisionNotice(revision, 0.0, 0.0))


async def new_store() -> MemoryStore:
    store = MemoryStore()
    await put(store, SETTINGS, b"old")
    return store


async def test_a_claim_of_a_revision_that_does_not_exist_costs_one_read():
    # Guards against a peer whose claims make nodes call the store without end.
    store = await new_store()
    async with fleet(store, [2], lambda: SwitchedStore(store)) as (sender, receiver):
        for _ in range(10):
            await claim(sender, receiver, NO_SUCH_REVISION)
            await asyncio.sleep(0.05)
        await until(lambda: receiver.gossip.refuted_revision == NO_SUCH_REVISION)
        assert receiver.store.calls.count("get") == 1
        assert receiver.mirror.get(SETTINGS).value == b"old"


async def test_ever_higher_claims_cost_reads_at_a_bounded_rate():
    store = await new_store()
    async with fleet(store, [2], lambda: SwitchedStore(store)) as (sender, receiver):
        for number in range(50):
            await claim(sender, receiver, NO_SUCH_REVISION + number)
            await asyncio.sleep(0.02)
        assert receiver.store.calls.count("get") <= 4


async def test_later_settings_come_in_spite_of_a_refuted_claim():
    store = await new_store()
    async with fleet(store, [2], lambda: SwitchedStore(store)) as (sender, receiver):
        await claim(sender, receiver, NO_SUCH_REVISION)
        await until(lambda: receiver.gossip.refuted_revision == NO_SUCH_REVISION)
        await put(store, SETTINGS, b"new")
        await until(lambda: receiver.mirror.get(SETTINGS).value == b"new")


async def test_an_odd_item_of_a_peer_changes_nothing():
    # Guards against a peer of another version whose item cannot be decoded.
    store = await new_store()
    async with fleet(store, [2], lambda: SwitchedStore(store)) as (sender, receiver):

        async def serve_odd_item():
            return ["settings", "not a revision"]

        sender.relayed.operations[gossip_module.FETCH_OPERATION] = serve_odd_item
        await claim(sender, receiver, NO_SUCH_REVISION)
        await until(lambda: receiver.gossip.refuted_revision == NO_SUCH_REVISION)
        assert receiver.mirror.get(SETTINGS).value == b"old"
        assert receiver.gossip.catching_up is None


async def test_an_older_item_of_a_peer_changes_nothing():
    # Guards against settings that go back.
    store = await new_store()
    async with fleet(store, [2], lambda: SwitchedStore(store)) as (sender, receiver):
        held = receiver.mirror.get(SETTINGS)
        receiver.mirror.offer(Item(SETTINGS, b"newer", held.revision + 100))
        receiver.gossip._offer(held, sender.entry.vm, 0.0)
        assert receiver.mirror.get(SETTINGS).value == b"newer"


async def test_nothing_is_read_while_the_watch_confirms_the_key():
    # Guards against the price of reads that confirm what is known.
    store = await new_store()
    async with fleet(store, [6, 3], lambda: SwitchedStore(store)) as members:
        await asyncio.sleep(4.0)
        assert all("get" not in member.store.calls for member in members)


async def test_reads_become_rare_while_the_store_is_silent_to_all():
    # Guards against calls without end to a store that is down.
    store = await new_store()
    async with fleet(store, [2], lambda: SwitchedStore(store)) as members:
        for member in members:
            member.store.silence()
        await asyncio.sleep(8.0)
        assert all(member.store.calls.count("get") <= 5 for member in members)
