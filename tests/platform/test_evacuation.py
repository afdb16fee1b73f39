"""Evacuated failure domains, with real processes and sockets."""

import asyncio

import pytest

from tests.platform.fleet import Fleet

BOUND_S = 5.0
EVACUATED = "op/evacuate/zone-1"
OTHER = "op/evacuate/zone-0"
KEYS = range(0, 65536, 8192)


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(tmp_path) as fleet:
        yield fleet
        assert fleet.record.problems == []


async def statuses(fleet: Fleet) -> set[int]:
    """Send requests to both services through all nodes; return the statuses."""
    found = set()
    for index in range(fleet.count):
        for key in KEYS:
            found.add((await fleet.send_request(index, "/k/evacuation", key))[0])
            found.add((await fleet.send_request(index, "/p/evacuation", body="x"))[0])
    return found


async def test_an_evacuated_domain_gets_nothing_and_the_other_serves_all(fleet):
    # Guards against EVAC: requests that reach a worker of an evacuated zone, also
    # through a node that restarts there and while the store is away.
    loop = asyncio.get_running_loop()
    evacuated = {fleet.workers[2].id, fleet.workers[3].id}
    await fleet.store.put(EVACUATED, {})
    end = loop.time() + BOUND_S
    while loop.time() < end:
        assert await statuses(fleet) <= {200, 503}
    fleet.record.runs.clear()
    await fleet.kill(3)
    await fleet.start(3)
    await fleet.wait_until(lambda: fleet.is_ready(3), 10.0)
    assert await statuses(fleet) == {200}
    fleet.store.is_down = True
    assert await statuses(fleet) == {200}
    fleet.store.is_down = False
    await asyncio.sleep(BOUND_S)
    assert await statuses(fleet) == {200}
    ran_at = {worker for workers in fleet.record.runs.values() for worker in workers}
    assert not ran_at & evacuated
    await fleet.store.put(OTHER, {})
    await asyncio.sleep(BOUND_S)
    assert await statuses(fleet) == {503}
    await fleet.store.remove(EVACUATED)
    await asyncio.sleep(BOUND_S)
    assert await statuses(fleet) == {200}
