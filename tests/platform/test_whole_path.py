"""End-to-end tests of real processes against stand-ins of the platform."""

import asyncio
import json

import pytest

from sesamepost.internal.ranges.holds import HOLD_S
from tests.platform.fleet import ROUTING, Fleet

# The users' recovery target after a loss, excluding the longest hold of the owner.
LOSS_TARGET_S = 4.0
CONFIG_TARGET_S = 2.5
# The platform kills a process this long after SIGTERM.
STOP_TARGET_S = 6.0


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(tmp_path) as fleet:
        yield fleet
        assert fleet.record.problems == []


async def test_requests_reach_the_owner_and_answers_return_unchanged(fleet):
    status, headers, text = await fleet.send_request(1, "/k/a?x=1", 45000)
    assert (status, text) == (200, "GET /k/a?x=1 plain ")
    assert headers["Response-Seal"].startswith("seal-r-")
    status, _, text = await fleet.send_request(0, "/p/b", body="hello")
    assert (status, text) == (200, "POST /p/b keyed hello")
    status, _, _ = await fleet.send_request(0, "/unknown/")
    assert status == 404
    assert all(len(incarnations) == 1 for incarnations in fleet.record.runs.values())


async def test_pipelined_safe_requests_keep_their_bodies(fleet):
    # Guards against bodies of safe requests that are dropped if they are complete
    # before the request is answered (review, case 2).
    connection = await asyncio.open_connection(fleet.ip(1), fleet.ports["callers"])
    reader, writer = connection
    bodies = ["first", "", "third", "x" * 3000]
    for number, body in enumerate(bodies):
        head = (
            f"POST /k/{number} HTTP/1.1\r\nHost: app.example\r\nShard-Key: 9\r\n"
            f"Request-Id: b-{number}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write((head + body).encode())
    for number, body in enumerate(bodies):
        answer = await reader.readuntil(f"POST /k/{number} plain ".encode())
        assert answer.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(len(body)) == body.encode()
    writer.close()


async def test_a_killed_process_recovers_its_keys(fleet):
    # The endpoint keeps running, so its keys must not wait for a lease to expire.
    await fleet.kill(0)
    await fleet.start(0)
    assert await fleet.wait_until_served() < LOSS_TARGET_S


async def test_keys_are_served_after_all_processes_are_killed_at_once(fleet):
    # Guards against a rule that needs a majority of the previous processes.
    await fleet.kill(0, 1, 2, 3)
    await asyncio.gather(*(fleet.start(i) for i in range(4)))
    assert await fleet.wait_until_served() < LOSS_TARGET_S + HOLD_S


async def test_the_keys_of_a_lost_vm_are_served_by_the_other_vms(fleet):
    await fleet.kill(2)
    await fleet.stop_worker(2)
    assert await fleet.wait_until_served() < LOSS_TARGET_S + HOLD_S


async def test_an_endpoint_that_ended_loses_its_keys_at_once(fleet):
    # The closed port proves that no hold is left, so nothing waits for one to expire.
    await fleet.stop_worker(0)
    assert await fleet.wait_until_served() < LOSS_TARGET_S


@pytest.mark.parametrize("service", ["not-named-here", "plain"])
async def test_an_odd_check_in_does_not_void_the_holds_of_the_worker(fleet, service):
    # Guards against two holders: a node took one check-in of another service for the
    # proof that its worker had ended, and gave the keys away (review, case 3).
    worker = fleet.workers[0]
    odd = worker._heartbeat()
    odd["born"] += 1
    odd["serviceInfo"]["service"] = service
    url = f"http://{fleet.ip(0)}:{fleet.ports['control']}/Instances.Heartbeat/odd-1"
    async with fleet.session.post(url, json=odd) as answer:
        assert answer.status == (400 if service == "not-named-here" else 200)
    await asyncio.sleep(HOLD_S / 2)
    await fleet.wait_until_served()


async def test_a_leaving_endpoint_hands_its_keys_over(fleet):
    async def owns_keys() -> bool:
        worker = fleet.workers[0]
        return any(worker.holds_key(key) for key in fleet.record.probed_keys)

    # A node that starts late has no share in the first table.
    await fleet.wait_until(owns_keys, LOSS_TARGET_S)
    fleet.workers[0].state = "draining"

    async def is_handed_over() -> bool:
        return bool(fleet.record.handovers)

    await fleet.wait_until(is_handed_over, LOSS_TARGET_S)
    await fleet.wait_until_served()
    before = len(fleet.record.runs)
    for key in fleet.record.probed_keys:
        assert await fleet.is_served(1, key)
    later_runs = list(fleet.record.runs.values())[before:]
    assert fleet.workers[0].id not in {incarnations[-1] for incarnations in later_runs}


async def test_a_planned_stop_interrupts_no_request(fleet):
    fleet.workers[1].work_s = fleet.workers[3].work_s = 0.3
    requests = [
        asyncio.ensure_future(fleet.send_request(1, "/p/x", body="b")) for _ in range(6)
    ]
    await asyncio.sleep(0.1)
    fleet.terminate(1)
    answers = await asyncio.gather(*requests)
    assert [status for status, _, _ in answers] == [200] * 6
    async with asyncio.timeout(STOP_TARGET_S):
        assert await fleet.processes[1].wait() == 0


async def test_keys_are_served_during_a_short_store_outage(fleet):
    fleet.store.is_down = True
    for _ in range(20):
        assert await fleet.is_served(1, 20000)
        await asyncio.sleep(0.1)
    fleet.store.is_down = False
    await fleet.wait_until_served()


async def test_settings_reach_a_node_that_the_store_rejects(fleet):
    # The node's calls are relayed by peers, so it keeps its keys and gets new settings.
    fleet.store.rejected.add(fleet.ip(0))
    changed = json.loads(json.dumps(ROUTING))
    changed["version"] = 9
    changed["virtualHosts"][0]["paths"][1]["prefix"] = "/new/"
    await fleet.store.put("op/config", changed)

    async def is_in_force() -> bool:
        return (await fleet.send_request(0, "/new/", body="b"))[0] == 200

    await fleet.wait_until(is_in_force, CONFIG_TARGET_S)
    await asyncio.sleep(HOLD_S + 1)
    assert await fleet.is_served(0, 0)
    assert await fleet.is_served(0, 65535)


async def test_a_planned_stop_ends_in_time_while_the_store_is_silent(fleet):
    # Guards against a stop that waits for the store until the platform kills the
    # process, with requests that it has accepted.
    fleet.store.is_silent = True
    await asyncio.sleep(1.5)
    fleet.terminate(0)
    async with asyncio.timeout(STOP_TARGET_S):
        assert await fleet.processes[0].wait() == 0
