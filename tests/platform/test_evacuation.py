"""Evacuated failure domains, with real processes and sockets."""

import asyncio

from tests.platform.fleet import Fleet

BOUND_S = 5.0


async def statuses(fleet: Fleet) -> set[int]:
    """Send requests to both services through all nodes; return the statuses."""
    found = set()
    for index in range(fleet.count):
        for key in fleet.record.probed_keys:
            found.add((await fleet.send_request(index, "/k/evacuation", key))[0])
            found.add((await fleet.send_request(index, "/p/evacuation", body="x"))[0])
    return found


async def test_an_evacuated_domain_gets_nothing_and_the_other_serves_all(tmp_path):
    # Guards against EVAC: requests that reach an endpoint of an evacuated domain, also
    # through a node that restarts there and while the store is away.
    async with Fleet(tmp_path) as fleet:
        evacuated = {fleet.workers[2].id, fleet.workers[3].id}
        await fleet.store.put("op/evacuate/zone-1", {})
        await asyncio.sleep(BOUND_S)
        fleet.record.runs.clear()
        await fleet.kill(3)
        await fleet.start(3)
        await fleet.wait_until(lambda: fleet.is_ready(3), 10.0)
        for is_down in (False, True, False):
            fleet.store.is_down = is_down
            assert await statuses(fleet) == {200}
        ran_at = {vm for runs in fleet.record.runs.values() for vm in runs}
        assert not ran_at & evacuated
        await fleet.store.put("op/evacuate/zone-0", {})
        await asyncio.sleep(BOUND_S)
        assert await statuses(fleet) == {503}
        await fleet.store.remove("op/evacuate/zone-1")
        await asyncio.sleep(BOUND_S)
        assert await statuses(fleet) == {200}
        assert fleet.record.problems == []
