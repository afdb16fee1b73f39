"""Tests of ``RelayedStore``: calls through peers while the store is unavailable."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from sesamepost.internal.coordination.mirror import Mirror, WatchPace
from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.coordination.relay import RelayedStore
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    StoreError,
    StoreRejectedError,
    StoreSilentError,
    Transaction,
    Write,
)
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.pool import Address, PeerPool
from tests.coordination.memory_store import MemoryStore, put
from tests.coordination.switched_store import CALL_TIMEOUT_S, SwitchedStore
from tests.waiting import until

KEY = b"k" * 32


class RejectingStore(MemoryStore):
    """Rejects every call, as the store does for a node that it turns away."""

    def _check(self) -> None:
        raise StoreRejectedError("busy")


class SilentStore(MemoryStore):
    """Leaves every call unanswered, and may execute it later."""

    def _check(self) -> None:
        raise StoreSilentError("no answer")


def now() -> float:
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def two_nodes(first_store, second_store):
    names = ("127.0.0.1", "127.0.0.2")
    async with (
        PeerPool(new_node_id(names[0]), KEY) as first,
        PeerPool(new_node_id(names[1]), KEY) as second,
    ):
        address = await second.listen(Address(names[1], 0))
        peer = NodeEntry(names[1], "b", 1, address.port, "a", "r", None)
        RelayedStore(second_store, second, list)
        yield RelayedStore(first_store, first, lambda: [peer]), first, second


async def test_calls_go_through_a_peer_with_contact():
    store = MemoryStore()
    async with two_nodes(RejectingStore(), store) as (relayed, _, _):
        lease = await relayed.open_lease(3.0)
        write = Write("a", b"\x00\xff", lease)
        revision = await relayed.commit(Transaction({"a": 0}, (write,)))
        item, _ = await relayed.get("a")
        assert (item.value, item.revision, item.lease) == (b"\x00\xff", revision, lease)
        await relayed.renew_lease(lease)
        await relayed.end_lease(lease)
        assert (await relayed.list("")).events == ()


async def test_a_failed_condition_is_conclusive_and_not_retried():
    # Guards against a second commit through another peer.
    store = MemoryStore()
    async with two_nodes(RejectingStore(), store) as (relayed, _, _):
        await relayed.commit(Transaction({"a": 0}, (Write("a", b"1"),)))
        with pytest.raises(ConditionFailedError):
            await relayed.commit(Transaction({"a": 0}, (Write("a", b"2"),)))
        assert len(store.commits) == 1


async def test_an_unanswered_write_that_a_peer_rejects_is_not_reported_as_rejected():
    # Guards against OWNER: a node that gives a move up grants the range again under its
    # fence, although the store still carries out the direct call, which was unanswered.
    async with two_nodes(SilentStore(), RejectingStore()) as (relayed, _, _):
        with pytest.raises(StoreSilentError):
            await relayed.commit(Transaction({"a": 0}, (Write("a", b"1"),)))


async def test_a_relayed_watch_ends_when_the_peer_disconnects():
    # Guards against a watch that runs until its timeout although the peer disconnected,
    # which delayed settings by seconds.
    async with two_nodes(RejectingStore(), MemoryStore()) as (relayed, _, second):
        watch = asyncio.ensure_future(relayed.watch("", 5, 20.0))
        await until(lambda: relayed.replies)
        for stream in list(second.open):
            stream.close("test")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(StoreError):
            await watch
        assert loop.time() - started_at < 1.5


async def test_the_failure_is_raised_when_no_peer_has_contact():
    async with two_nodes(RejectingStore(), RejectingStore()) as (relayed, _, _):
        with pytest.raises(StoreError, match=r"contact|busy"):
            await relayed.get("a")


async def test_an_unresponsive_peer_delays_a_watch_only_briefly():
    # Guards against settings that arrive late (by 4.7 s) because the watch went through
    # a peer that was cut off.
    async with two_nodes(RejectingStore(), MemoryStore()) as (relayed, _, second):
        second.handlers.clear()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(StoreError):
            await relayed.watch("", 5, 20.0)
        assert loop.time() - started_at < 1.2


async def test_the_peer_that_relayed_last_is_tried_first():
    # Guards against calls that wait for a peer that was just found unreachable.
    store = MemoryStore()
    async with two_nodes(RejectingStore(), store) as (relayed, _, _):
        unreachable = NodeEntry("127.0.0.3", "c", 1, 1, "a", "r", None)
        reachable = relayed.peers()
        await relayed.get("a")
        relayed.peers = lambda: [unreachable, unreachable, unreachable, *reachable]
        for _ in range(20):
            await relayed.get("a")
        assert relayed.counters["relayed"] == 21


class WatchCuttingStore(MemoryStore):
    """Cuts the next ``cuts_left`` watches, as a store may do at any time."""

    cuts_left = 0

    async def watch(self, prefix, after, wait_s):
        if self.cuts_left > 0:
            self.cuts_left -= 1
            raise StoreSilentError("reset")
        return await super().watch(prefix, after, wait_s)


async def test_a_cut_watch_is_repeated_at_once():
    # Guards against a single cut watch that delays settings by two seconds.
    store = WatchCuttingStore()
    async with two_nodes(store, RejectingStore()) as (relayed, _, _):
        store.cuts_left = 1
        assert (await relayed.watch("", 0, 0.05)).events == ()
        assert relayed.is_direct


async def test_a_watch_alone_restores_direct_contact():
    # Guards against a node that relays all calls forever after an outage: its watch
    # failed at once every second and thereby kept other calls from the store.
    store = WatchCuttingStore()
    async with two_nodes(store, RejectingStore()) as (relayed, _, _):
        store.cuts_left = 2
        with pytest.raises(StoreError):
            await relayed.watch("", 0, 0.05)
        assert not relayed.is_direct
        relayed.direct_retry_at = 0.0
        await relayed.watch("", 0, 0.05)
        assert relayed.is_direct


async def test_the_store_is_retried_soon_when_no_peer_helps():
    store = WatchCuttingStore()
    async with two_nodes(store, RejectingStore()) as (relayed, _, _):
        store.cuts_left = 2
        with pytest.raises(StoreError):
            await relayed.watch("", 0, 0.05)
        await asyncio.sleep(0.3)
        assert (await relayed.watch("", 0, 0.05)).events == ()


class OverdueStore(MemoryStore):
    """Fails each watch after its wait, like responses too large for the link."""

    async def watch(self, prefix, after, wait_s):
        await asyncio.sleep(wait_s + 0.1)
        raise StoreSilentError("no response in time")


async def test_an_overdue_watch_is_not_repeated():
    # Guards against late settings (CONFIG on day fresh-576e of grown Paani): an overdue
    # watch was repeated for another 2 s and then sent through three peers. Each call
    # requested all changes since an ever older revision.
    async with two_nodes(OverdueStore(), MemoryStore()) as (relayed, _, _):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(StoreSilentError):
            await relayed.watch("", 0, 0.3)
        assert loop.time() - started_at < 0.6
        assert relayed.is_direct


async def test_settings_arrive_in_time_although_no_watch_is_answered():
    # Guards against a node that has fallen behind and lists the store only after two
    # unanswered watches, each of them repeated: that took over 4 s, and operators allow
    # 3 s.
    store = OverdueStore()
    await put(store, "settings", b"old")
    async with two_nodes(store, RejectingStore()) as (relayed, _, _):
        mirror = Mirror(relayed)
        mirror.feed = FixedPaceFeed(WatchPace(pause_s=0.2, wait_s=1.0))
        async with mirror:
            await until(lambda: mirror.get("settings") is not None)
            await asyncio.sleep(0.5)
            await put(store, "settings", b"new")
            async with asyncio.timeout(3.0):
                while mirror.get("settings").value != b"new":
                    await mirror.wait_for_change(3.0)


class FixedPaceFeed:
    """A feed without changes, so that the store is watched at a fixed pace."""

    def __init__(self, pace: WatchPace) -> None:
        self.fixed_pace = pace

    async def follow(self, revision):
        return None

    def pace(self):
        return self.fixed_pace


async def test_a_watch_is_not_sent_again_into_a_known_silence():
    # Guards against a watch that another call found to be lost and that was then sent
    # once more into the same silence (CONFIG on trouble-1 of grown Valstock).
    store = MemoryStore()
    view = SwitchedStore(store)
    async with two_nodes(view, store) as (relayed, _, _):
        watch = asyncio.ensure_future(relayed.watch("", 0, 2.0))
        await until(lambda: "watch" in view.calls)
        view.silence()
        started_at = now()
        renewal = asyncio.ensure_future(relayed.renew_lease(1))
        await put(store, "settings", b"new")
        batch = await watch
        assert [event.key for event in batch.events] == ["settings"]
        assert now() - started_at < CALL_TIMEOUT_S + 0.3
        assert view.calls.count("watch") == 1
        await asyncio.gather(renewal, return_exceptions=True)


async def test_a_watch_does_not_wait_for_a_store_that_was_lost():
    # Guards against a watch of the whole wait that is sent to find out whether the
    # store answers again. The node learned nothing meanwhile, though peers could tell.
    store = MemoryStore()
    view = SwitchedStore(store)
    async with two_nodes(view, store) as (relayed, _, _):
        view.silence()
        await asyncio.gather(relayed.renew_lease(1), return_exceptions=True)
        assert not relayed.is_direct
        await put(store, "settings", b"new")
        relayed.direct_retry_at = 0.0
        started_at = now()
        batch = await relayed.watch("", 0, 2.0)
        assert [event.key for event in batch.events] == ["settings"]
        assert now() - started_at < 0.8


async def test_the_peers_that_are_tried_are_bounded_in_time():
    # Guards against three silent peers, each within its limit, that together delay a
    # call by 2.7 s.
    async with two_nodes(RejectingStore(), MemoryStore()) as (relayed, _, second):
        second.handlers.clear()
        (peer,) = relayed.peers()
        relayed.peers = lambda: [peer, peer, peer]
        started_at = now()
        with pytest.raises(StoreSilentError):
            await relayed.watch("", 5, 20.0)
        assert now() - started_at < 2.0
