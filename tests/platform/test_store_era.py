"""Tests of a platform's store that comes back from an older copy."""

import asyncio

import pytest

from sesamepost.internal.coordination.eras import era_of, versioned
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    HistoryGoneError,
    LeaseEndedError,
    Transaction,
    Write,
)
from sesamepost.internal.ranges.era_guard import fence_era
from sesamepost.internal.ranges.holds import HOLD_S
from sesamepost.platform.names import ERA_HEADER
from sesamepost.platform.store import PlatformStore
from tests.platform import store_standin
from tests.platform.fleet import Fleet
from tests.platform.store_standin import StoreStandin

# Until the era is settled, with a listing and the writes of entries and ranges.
RECOVERY_TARGET_S = HOLD_S + 4.0
AWAY_S = 0.3
SETTINGS_TARGET_S = 2.5


def writing(key: str, revision: int = 0, lease: int = 0) -> Transaction:
    return Transaction({key: revision}, (Write(key, b"x", lease),))


async def test_numbers_of_a_former_era_are_neither_sent_nor_believed():
    # Guards against a lease or a revision that is given out again to another node.
    assert store_standin.ERA_HEADER == ERA_HEADER
    async with StoreStandin() as standin:
        standin.era = 1
        async with PlatformStore(f"http://{standin.address}") as store:
            for _ in range(2):
                await store.get("a")
            state = standin.take_copy()
            lease = await store.open_lease(5.0)
            written = await store.commit(writing("a", lease=lease))
            assert era_of(lease) == era_of(written) == 1
            await standin.restore(state)
            assert (await store.get("a"))[0] is None
            calls = standin.calls
            with pytest.raises(ConditionFailedError):
                await store.commit(writing("a", written))
            with pytest.raises(LeaseEndedError):
                await store.renew_lease(lease)
            with pytest.raises(HistoryGoneError):
                await store.watch("", written, 0.1)
            assert standin.calls == calls
            assert await store.open_lease(5.0) == versioned(2, 1000)
            batch = await store.list("")
            assert batch.revision == versioned(2, standin.revision)


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(tmp_path) as fleet:
        yield fleet
        assert fleet.record.problems == []


async def test_keys_have_one_holder_after_the_store_came_back_older(fleet):
    # Guards against two holders and fences given twice: the lost seconds know the end
    # of an endpoint and the new owners of its keys.
    state = fleet.store.take_copy()
    await fleet.stop_worker(0)
    assert await fleet.wait_until_served() < RECOVERY_TARGET_S
    await fleet.restore_store(state, AWAY_S)
    assert await fleet.wait_until_served() < RECOVERY_TARGET_S
    await fleet.restore_store(state, AWAY_S)
    await fleet.kill(2)
    await fleet.start(2)
    assert await fleet.wait_until_served() < RECOVERY_TARGET_S


async def test_a_move_is_fenced_in_the_new_era(fleet):
    # Guards against fences that go back with the store.
    state = fleet.store.take_copy()
    await fleet.restore_store(state, AWAY_S)
    assert await fleet.wait_until_served() < RECOVERY_TARGET_S
    # Under load, one endpoint may have all keys of the first table.
    fences = fleet.record.fences[0]
    life = max(fences, key=fences.get)
    owner = next(i for i, worker in fleet.workers.items() if worker.life == life)
    await fleet.stop_worker(owner)
    assert await fleet.wait_until_served() < RECOVERY_TARGET_S
    fences = fleet.record.fences[0].values()
    assert fence_era(min(fences)) == 0
    assert fence_era(max(fences)) == 1


async def test_settings_stay_in_force_while_the_store_has_older_ones(fleet):
    # Guards against a node that goes back to an older version of the settings.
    state = fleet.store.take_copy()
    await fleet.put_routing(9)

    async def is_in_force(version: int = 9) -> bool:
        path = f"/v{version}/"
        sent = [fleet.send_request(via, path, body="b") for via in range(fleet.count)]
        return all(answer[0] == 200 for answer in await asyncio.gather(*sent))

    await fleet.wait_until(is_in_force, SETTINGS_TARGET_S)
    fleet.store.is_down = True
    await asyncio.sleep(AWAY_S)
    await fleet.store.restore(state)
    fleet.store.is_down = False
    for _ in range(8):
        assert await is_in_force()
        await asyncio.sleep(0.25)
    await fleet.put_routing(11)
    await fleet.wait_until(lambda: is_in_force(11), SETTINGS_TARGET_S)
