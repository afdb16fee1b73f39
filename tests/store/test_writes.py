"""Tests of store failures: lost and late replies, outages, rate caps, ended leases."""

import asyncio
import signal
import sys
import time

import aiohttp
import pytest

from sesamepost.internal.store import envelope as envelope_module
from sesamepost.internal.store.envelope import (
    KEPT_WRITE_IDS,
    EnvelopeError,
    decode_envelope,
    write_document,
)
from sesamepost.internal.store.http import HttpStore
from sesamepost.internal.store.interface import (
    StoreConflictError,
    StoredValue,
    StoreLeaseEndedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from sesamepost.standins.store import StoreStandIn

KEY = "settings/lahore shop"


@pytest.fixture
async def standin():
    async with StoreStandIn() as server:
        yield server


@pytest.fixture
async def store(standin):
    async with HttpStore(standin.url) as client:
        yield client


class InterferingStore:
    """Runs ``action`` once after the first put, before its outcome is read back."""

    def __init__(self, store, action):
        self.store = store
        self.action = action

    async def get(self, key):
        return await self.store.get(key)

    async def put(self, key, value, expected):
        try:
            return await self.store.put(key, value, expected)
        finally:
            action, self.action = self.action, None
            if action is not None:
                await action()


async def wait_until(condition):
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition was not met within 3 s")


async def version_and_body(store):
    stored = await store.get(KEY)
    return stored.version, decode_envelope(stored.value).body


async def test_lost_reply_counts_as_one_successful_write(standin, store):
    # Guards against reporting a failure, or writing twice, when only the reply was
    # lost.
    standin.set_faults(lose_write_replies=1)
    assert await write_document(store, KEY, b"one", "ayesha", 0) == 1
    standin.set_faults(lose_write_replies=1)
    assert await write_document(store, KEY, b"two", "ayesha", 1) == 2
    assert await version_and_body(store) == (2, b"two")
    assert standin.calls["put"] == 2, "a write was resent although it took effect"


async def test_lost_reply_followed_by_other_writes_is_still_success(standin, store):
    # Guards against a false conflict when others write before the outcome is read back.
    await write_document(store, KEY, b"one", "ayesha", 0)

    async def write_as_others():
        await write_document(store, KEY, b"other", "bilal", 2)
        await write_document(store, KEY, b"newest", "bilal", 3)

    standin.set_faults(lose_write_replies=1)
    interfering_store = InterferingStore(store, write_as_others)
    assert await write_document(interfering_store, KEY, b"two", "ayesha", 1) == 2
    assert await version_and_body(store) == (4, b"newest")


async def test_outcome_is_unknown_when_too_many_writes_followed(standin, store):
    # Guards against claiming an outcome after the write's id has been displaced by
    # later ones.
    await write_document(store, KEY, b"one", "ayesha", 0)

    async def write_as_others():
        for version in range(2, 2 + KEPT_WRITE_IDS):
            await write_document(store, KEY, b"other", "bilal", version)

    standin.set_faults(lose_write_replies=1)
    interfering_store = InterferingStore(store, write_as_others)
    with pytest.raises(StoreUnavailableError, match="not known"):
        await write_document(interfering_store, KEY, b"two", "ayesha", 1)


async def test_creation_is_not_repeated_after_it_was_deleted(
    standin, store, monkeypatch
):
    # Guards against restoring a document that was deleted after its creation.
    monkeypatch.setattr(envelope_module, "RESOLVE_TIMEOUT_S", 0.3)
    standin.set_faults(lose_write_replies=1)
    interfering_store = InterferingStore(store, lambda: store.delete(KEY, 1))
    with pytest.raises(StoreUnavailableError, match="not known"):
        await write_document(interfering_store, KEY, b"one", "ayesha", 0)
    assert standin.calls["put"] == 1
    assert await store.get(KEY) is None


async def test_conflict_names_the_author_of_the_winning_write(store):
    # Guards against two writers that both succeed from the same version.
    await write_document(store, KEY, b"one", "ayesha", 0)
    results = await asyncio.gather(
        write_document(store, KEY, b"a", "ayesha", 1),
        write_document(store, KEY, b"b", "bilal", 1),
        return_exceptions=True,
    )
    winners = [item for item in results if item == 2]
    (loser,) = [item for item in results if isinstance(item, StoreConflictError)]
    assert len(winners) == 1
    assert (loser.expected, loser.version) == (1, 2)
    assert loser.author == ("bilal" if results[0] is loser else "ayesha")


async def test_lost_race_is_a_conflict_even_if_its_reply_times_out(standin, store):
    # Guards against reporting an unknown outcome although the kept ids show that
    # another write came first.
    await write_document(store, KEY, b"one", "ayesha", 0)

    class TimingOutStore(InterferingStore):
        async def put(self, key, value, expected):
            await write_document(self.store, key, b"other", "bilal", expected)
            raise StoreUnavailableError("no answer in time")

    with pytest.raises(StoreConflictError, match="version 2, written by bilal"):
        await write_document(TimingOutStore(store, None), KEY, b"two", "ayesha", 1)


async def test_write_that_arrives_late_takes_effect_once(standin, store):
    # Guards against a second effect when a delayed put arrives after its retry.
    await write_document(store, KEY, b"one", "ayesha", 0)

    class LatePutStore(InterferingStore):
        async def put(self, key, value, expected):
            standin.set_faults(delay_ms=1300 if self.action else 0)
            return await super().put(key, value, expected)

    async def end_delay():
        standin.set_faults(delay_ms=0)

    late_store = LatePutStore(store, end_delay)
    assert await write_document(late_store, KEY, b"two", "ayesha", 1) == 2
    await wait_until(lambda: standin.answers[412] == 1)
    assert await version_and_body(store) == (2, b"two")


async def test_outage_reports_that_nothing_was_written(standin, store, monkeypatch):
    # Guards against reporting an unknown outcome when the store refused every attempt.
    monkeypatch.setattr(envelope_module, "RESOLVE_TIMEOUT_S", 0.3)
    await write_document(store, KEY, b"one", "ayesha", 0)
    standin.set_faults(outage=True)
    with pytest.raises(StoreUnavailableError, match="was not written"):
        await write_document(store, KEY, b"two", "ayesha", 1)
    assert standin.answers[503] > 1, "the write was not retried"
    standin.set_faults(outage=False)
    assert await version_and_body(store) == (1, b"one")


async def test_rate_cap_delays_a_write_but_does_not_fail_it(standin, store):
    standin.set_faults(writes_per_s=2)
    for version in range(4):
        assert await write_document(store, KEY, b"x", "ayesha", version) == version + 1
    assert standin.answers[429] > 0, "the rate cap refused no write"


async def test_single_call_above_the_rate_cap_is_refused(standin, store):
    standin.set_faults(reads_per_s=1)
    await store.get(KEY)
    with pytest.raises(StoreRefusedError, match="429"):
        await store.get(KEY)


async def test_unresponsive_store_times_out_after_a_second(standin, store):
    # Guards against calls that hang on a store that accepts connections but does not
    # answer.
    standin.set_faults(delay_ms=1500)
    started = time.monotonic()
    with pytest.raises(StoreUnavailableError, match="no answer in time"):
        await store.list("")
    assert time.monotonic() - started < 1.4


async def test_unreachable_store_is_unavailable():
    async with StoreStandIn() as stopped:
        url = stopped.url
    async with HttpStore(url) as store:
        with pytest.raises(StoreRefusedError):
            await store.put(KEY, b"x", 0)


async def test_version_rises_across_deletion(standin, store):
    assert await store.put(KEY, b"a", 0) == 1
    await store.delete(KEY, 1)
    assert await store.put(KEY, b"b", 0) == 2
    with pytest.raises(StoreConflictError):
        await store.delete(KEY, 1)
    assert await store.list("settings/") == [(KEY, 2)]


async def test_watch_waits_in_a_single_call_and_reports_deletions(standin, store):
    await store.put("other", b"x", 0)
    revision = (await store.watch("settings/", 0, 0)).revision
    watching = asyncio.create_task(store.watch("settings/", revision, 5000))
    await wait_until(lambda: standin.calls["watch"] == 2)
    await store.put("other", b"y", 1)
    await store.put(KEY, b"a", 0)
    changes = await watching
    assert changes.changed == ((KEY, 1),)
    await store.delete(KEY, 1)
    assert (await store.watch("", changes.revision, 5000)).changed == ((KEY, 0),)
    assert standin.calls["watch"] == 3


async def test_outage_ends_a_waiting_watch(standin, store):
    watching = asyncio.create_task(store.watch("", 0, 30_000))
    await wait_until(lambda: standin.calls["watch"] == 1)
    standin.set_faults(outage=True)
    with pytest.raises(StoreUnavailableError, match="503"):
        await asyncio.wait_for(watching, 2)


async def test_expired_lease_removes_its_values_and_rejects_writes(standin, store):
    lease = await store.grant_lease(150)
    await store.put("controller", b"a", 0, lease)
    assert await store.renew_lease(lease)
    revision = (await store.watch("", 0, 0)).revision
    assert (await store.watch("", revision, 2000)).changed == (("controller", 0),)
    assert not await store.renew_lease(lease)
    with pytest.raises(StoreLeaseEndedError):
        await store.put("controller", b"a", 0, lease)


async def test_value_moved_to_another_lease_survives_the_end_of_the_first(store):
    first, second = await store.grant_lease(5000), await store.grant_lease(5000)
    await store.put("controller", b"a", 0, first)
    await store.put("controller", b"b", 1, second)
    await store.end_lease(first)
    assert await store.get("controller") == StoredValue(b"b", 2)


async def test_too_large_value_is_refused_before_it_is_sent(standin, store):
    with pytest.raises(ValueError, match="1048577 bytes"):
        await store.put(KEY, bytes((1 << 20) + 1), 0)
    assert standin.calls["put"] == 0


async def test_value_that_is_not_a_document_is_not_overwritten(store):
    # Guards against destroying a value that another program stored under the key.
    await store.put(KEY, b"plain text", 0)
    with pytest.raises(EnvelopeError):
        await write_document(store, KEY, b"one", "ayesha", 1)


async def test_process_prints_one_line_takes_faults_and_stops_on_sigterm():
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "sesamepost.standins.store", "--port", "0"),
        stdout=asyncio.subprocess.PIPE,
    )
    line = (await asyncio.wait_for(process.stdout.readline(), 10)).decode().split()
    async with aiohttp.ClientSession(line[-1]) as session:
        async with session.post("/control", json={"outage": True}) as answer:
            assert (await answer.json())["faults"]["outage"] is True
        async with session.get("/v1/values/a") as answer:
            assert answer.status == 503
        async with session.post("/control", json={"outrage": True}) as answer:
            assert answer.status == 400
        async with session.get("/control") as answer:
            assert (await answer.json())["calls"] == {"get": 1}
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 5) == 0
    assert await process.stdout.read() == b""
