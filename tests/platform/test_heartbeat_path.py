"""Real processes beside workers that take their keys by heartbeats."""

import asyncio
import time

import pytest

from sesamepost.internal.ranges.holds import HOLD_S
from tests.platform.fleet import HeartbeatFleet

# The users' recovery target after a loss, excluding the longest hold of the owner.
LOSS_TARGET_S = 4.0


@pytest.fixture
async def fleet(tmp_path):
    async with HeartbeatFleet(tmp_path) as fleet:
        yield fleet
        assert fleet.record.problems == []


async def test_a_killed_process_interrupts_its_keys_only_while_it_starts(fleet):
    # The first heartbeat tells the new process what the worker holds.
    await fleet.kill(0)
    await fleet.start(0)
    assert await fleet.wait_until_served() < LOSS_TARGET_S


async def test_a_new_incarnation_of_a_worker_gets_its_keys_with_a_heartbeat(fleet):
    await fleet.stop_worker(0)
    await fleet.start_worker(0)
    assert await fleet.wait_until_served() < LOSS_TARGET_S


async def test_the_keys_of_a_lost_vm_are_served_by_the_other_vms(fleet):
    await fleet.kill(2)
    await fleet.stop_worker(2)
    assert await fleet.wait_until_served() < LOSS_TARGET_S + HOLD_S


async def test_a_leaving_worker_hands_its_keys_over(fleet):
    fleet.workers[0].state = "draining"

    async def is_handed_over() -> bool:
        return bool(fleet.record.handovers)

    await fleet.wait_until(is_handed_over, LOSS_TARGET_S)
    assert await fleet.wait_until_served() < LOSS_TARGET_S
    before = len(fleet.record.runs)
    for key in fleet.record.probed_keys:
        assert await fleet.is_served(1, key)
    later_runs = list(fleet.record.runs.values())[before:]
    assert fleet.workers[0].id not in {incarnations[-1] for incarnations in later_runs}


async def test_a_planned_stop_hands_the_keys_over(fleet):
    fleet.terminate(0)
    started_at = time.monotonic()
    await asyncio.sleep(0.5)
    assert await fleet.wait_until_served() < LOSS_TARGET_S
    assert await fleet.processes[0].wait() == 0
    assert time.monotonic() - started_at < HOLD_S + 1


async def test_renewals_go_on_while_the_store_is_rejecting_the_node(fleet):
    # The node's calls are relayed by peers, so it keeps the right to grant.
    fleet.store.rejected.add(fleet.ip(0))
    end = time.monotonic() + HOLD_S + 2
    while time.monotonic() < end:
        assert await fleet.is_served(0, 0)
        await asyncio.sleep(0.2)
