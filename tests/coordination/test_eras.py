"""Tests of versions, and of the copies of the store, after it came back older."""

import asyncio

import pytest

from sesamepost.internal.coordination.era_record import (
    SETTLE_S,
    EraRecorder,
    era_conditions,
    era_key,
    is_settled,
    open_revision,
)
from sesamepost.internal.coordination.eras import (
    MAX_ERA,
    MAX_RISE,
    StoreEras,
    era_of,
    versioned,
)
from sesamepost.internal.coordination.feed import MIN_GROUP_NODES
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NodeTable
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    StoreRejectedError,
    StoreSilentError,
    Transaction,
    Write,
)
from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S
from tests.checker.versioned_calls import Answer, VersionedCalls
from tests.coordination.failure_domain import failure_domain
from tests.coordination.memory_store import MemoryStore
from tests.coordination.test_relay import RejectingStore, two_nodes
from tests.waiting import until

ODD_ERAS = ["", "-1", "1.0", "x", "9" * 400, str(MAX_ERA + 1), "\u0663", "+3"]


class RestoredStore(VersionedCalls):
    """One node's calls to a store in memory that can come back older.

    ``era`` is what its answers state; several nodes may share the ``store``.
    """

    def __init__(self, store: MemoryStore, era: int | None = 1) -> None:
        super().__init__()
        self.store = store
        self.era = era

    async def ask(self, kind: str, *arguments) -> Answer:
        try:
            outcome = await getattr(self.store, kind)(*arguments)
        except (ConditionFailedError, HistoryGoneError, LeaseEndedError) as error:
            outcome = error
        return Answer(outcome, None if self.era is None else str(self.era))


def restore(store: MemoryStore, items: dict[str, Item], revision: int) -> None:
    """Let a store return with the given items at a revision."""
    store.items = dict(items)
    store.revision = revision
    store.events = []


async def put(store: MemoryStore, key: str, value: bytes) -> None:
    await store.commit(Transaction({}, (Write(key, value),)))


async def step_now(recorder: EraRecorder) -> None:
    """Let it be the turn of a recorder."""
    recorder.due_at = 0.0
    await recorder.step()


def known_eras(era: int) -> StoreEras:
    eras = StoreEras()
    for _ in range(2):
        eras.admit(str(era))
    return eras


@pytest.mark.parametrize("stated", ODD_ERAS)
def test_an_odd_era_costs_itself(stated):
    # Guards against one bad header that ends a call with an unexpected error, or that
    # makes all later answers look old.
    eras = known_eras(3)
    with pytest.raises(StoreSilentError):
        eras.admit(stated)
    assert eras.admit("3") == 3
    assert StoreEras().admit(stated) == 0


def test_one_odd_era_at_the_start_costs_itself():
    # Guards against a process that takes all true eras for old ones.
    eras = StoreEras()
    assert [eras.admit(stated) for stated in ("2000", "3", "3")] == [0, 0, 3]


def test_the_first_era_after_answers_without_one_is_a_rise():
    # Guards against one renewal of a lease that was given out again.
    eras = StoreEras()
    eras.admit(None)
    assert eras.admit(str(MAX_RISE + 1)) == 0
    assert eras.admit("1") == 1
    assert eras.has_risen
    assert not eras.is_current(7)


@pytest.mark.parametrize("stated", [None, "2", str(3 + MAX_RISE + 1)])
def test_an_answer_without_the_present_era_is_not_used(stated):
    # Guards against answers from before the rise that are read after it.
    eras = known_eras(3)
    with pytest.raises(StoreSilentError):
        eras.admit(stated)
    assert eras.newest == 3


def test_without_eras_nothing_is_converted():
    # Guards against a change for deployments whose store states no eras.
    eras = StoreEras()
    assert eras.admit(None) == 0
    transaction = Transaction({"a": 1 << 60}, (Write("a", b"", 1 << 61),))
    assert eras.to_send(transaction) is transaction
    assert eras.version(0, 1 << 62) == eras.number_in(1 << 62) == 1 << 62


def test_facts_of_a_former_era_are_not_sent():
    # Guards against a condition that meets a revision which was given out again.
    eras = known_eras(4)
    old, lease = versioned(3, 70), versioned(3, 1001)
    with pytest.raises(ConditionFailedError):
        eras.to_send(Transaction({"a": old}))
    with pytest.raises(LeaseEndedError):
        eras.to_send(Transaction({}, (Write("a", b"", lease),)))
    sent = eras.to_send(Transaction({"a": versioned(4, 70), "b": 0}))
    assert sent.conditions == {"a": 70, "b": 0}


async def test_a_write_that_meets_another_era_counts_as_unanswered():
    # Guards against a write on a revision that was given out again, taken for done.
    store = RestoredStore(MemoryStore())
    for _ in range(2):
        assert (await store.get("a"))[0] is None
    store.era = 2
    with pytest.raises(StoreSilentError):
        await store.commit(Transaction({"a": 0}, (Write("a", b"1"),)))


async def test_a_mirror_takes_the_older_copy_and_drops_what_is_gone():
    # Guards against a mirror that keeps what is gone and ignores what is new, since its
    # revisions are lower.
    memory = MemoryStore()
    await put(memory, "kept", b"1")
    copy = dict(memory.items)
    for _ in range(5):
        await put(memory, "kept", b"2")
    await put(memory, "gone", b"2")
    store = RestoredStore(memory)
    async with Mirror(store) as mirror:
        await until(lambda: era_of(mirror.revision) == 1 and mirror.get("gone"))
        written_late = mirror.get("gone")
        restore(memory, copy, 1)
        store.era = 2
        await until(lambda: mirror.is_current and era_of(mirror.revision) == 2)
        assert mirror.get("gone") is None
        assert mirror.get("kept").value == b"1"
        mirror.offer(written_late)
        assert mirror.get("gone") is None
        await put(memory, "kept", b"3")
        await until(lambda: mirror.get("kept").value == b"3")
    assert mirror.counters["era_listings"] == 1


async def test_an_era_is_opened_once_and_closes_the_others():
    # Guards against late writes of a former era, which require its key.
    memory = MemoryStore()
    stores = [RestoredStore(memory), RestoredStore(memory)]
    async with Mirror(stores[0]) as first, Mirror(stores[1]) as second:
        await until(lambda: all(store.eras.is_known for store in stores))
        await until(lambda: first.is_current and second.is_current)
        for mirror in (first, second):
            with pytest.raises(StoreRejectedError):
                era_conditions(mirror)
        recorders = [EraRecorder("a", NodeTable(m), m) for m in (first, second)]
        for recorder in recorders:
            await step_now(recorder)
        await until(lambda: open_revision(first) and open_revision(second))
        assert list(memory.items) == [era_key(1)]
        late = era_conditions(first)
        assert not is_settled(first)
        first.store.eras.learned_at -= SETTLE_S
        await step_now(recorders[0])
        await until(lambda: is_settled(second))
        for store in stores:
            store.era = 2
        await until(lambda: era_of(first.revision) == era_of(second.revision) == 2)
        assert open_revision(first) is None
        await step_now(recorders[0])
        assert not is_settled(first)
        assert sorted(memory.items) == [era_key(2)]
        with pytest.raises(ConditionFailedError):
            await memory.commit(Transaction({key: late[key] & 0xFFF for key in late}))


async def test_a_store_without_eras_is_never_written_for_them():
    # Guards against further calls in deployments whose store states no eras.
    store = RestoredStore(MemoryStore(), None)
    async with Mirror(store) as mirror:
        await until(lambda: mirror.has_listed)
        await EraRecorder("a", NodeTable(mirror), mirror).step()
        assert era_conditions(mirror) == {}
        assert is_settled(mirror)
    assert store.store.commits == []


def test_an_era_settles_when_the_last_right_has_ended():
    # Guards against a new holder while one from before the rise may be left.
    assert SETTLE_S >= HOLD_S + TAKEOVER_SLACK_S


async def test_listeners_hear_of_a_rise_that_a_peer_has_seen():
    # Guards against nodes that renew leases of a former era through peers.
    eras = known_eras(1)
    heard = asyncio.Event()
    eras.listeners.append(heard.set)
    eras.note(1)
    eras.note(MAX_ERA)
    assert not heard.is_set()
    eras.note(2)
    assert heard.is_set()
    assert not eras.is_current(versioned(1, 5))
    assert eras.require_lease(versioned(3, 9)) == 9
    assert eras.newest == 3


async def test_followers_and_gossip_take_the_older_copy_and_what_is_new_in_it():
    # Guards against readers and gossip that go on with items of the lost seconds.
    memory = MemoryStore()
    await put(memory, "settings", b"1")
    views: list[RestoredStore] = []

    def view() -> RestoredStore:
        views.append(RestoredStore(memory))
        return views[-1]

    async with failure_domain(memory, MIN_GROUP_NODES, view) as nodes:
        copy, revision = dict(memory.items), memory.revision
        for value in (b"2", b"3", b"4"):
            await put(memory, "settings", value)
        await put(memory, "gone", b"1")
        await until(lambda: all(node.mirror.get("gone") for node in nodes))
        restore(memory, copy, revision)
        for store in views:
            store.era = 2
        await put(memory, "new", b"5")
        for key, value in (("new", b"5"), ("settings", b"1"), ("gone", None)):
            await until(lambda key=key, value=value: all_have(nodes, key, value))
        await put(memory, "settings", b"6")
        await until(lambda: all_have(nodes, "settings", b"6"))
        assert {node.mirror.counters["era_listings"] for node in nodes} == {1}


def all_have(nodes, key: str, value: bytes | None) -> bool:
    held = [node.mirror.get(key) for node in nodes]
    return all(value == (item and item.value) for item in held)


async def test_a_reader_of_a_former_era_rejects_its_follower():
    # Guards against data that counts as confirmed though its reader missed a rise.
    memory = MemoryStore()
    async with failure_domain(memory, 1, lambda: RestoredStore(memory)) as [node]:
        await until(lambda: node.mirror.has_listed)
        with pytest.raises(StoreRejectedError):
            await node.feed.serve(versioned(2, 0), 0.1)


async def test_a_relayed_answer_states_the_era_that_the_peer_has_seen():
    # Guards against a node whose calls the store rejects and that hears of no rise.
    memory = MemoryStore()
    peers_store = RestoredStore(memory)
    async with two_nodes(RejectingStore(), peers_store) as (relayed, _, _):
        for _ in range(2):
            await relayed.get("a")
        lease = await relayed.open_lease(3.0)
        assert era_of(lease) == relayed.eras.newest == 1
        peers_store.era = 2
        with pytest.raises(LeaseEndedError):
            await relayed.renew_lease(lease)
        assert relayed.eras.newest == 2
        assert era_of(await relayed.open_lease(3.0)) == 2
