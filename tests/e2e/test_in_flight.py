"""Requests in flight while settings change, and streams of a stopped daemon."""

import asyncio

import pytest

from sesamepost.internal.clock import boottime
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.pool import PeerPool
from tests.e2e.local import ANY_PORT, BRANCH, running_fleet


@pytest.mark.parametrize(
    "change", ["queue_length = 99\n", "[class:ledger/closings]\nweight = 2\n"]
)
async def test_a_settings_change_cuts_off_no_request(change):
    # Guards against a change of limits that closes the connections to the endpoint
    # while requests are in progress or wait for a slot.
    async with running_fleet(vms=1, work_ms=2000) as fleet:
        (vm,) = fleet.vms
        dispatcher = vm.daemon.dispatcher
        requests = [
            asyncio.create_task(
                fleet.send(vm, f"key-{n}", Sesamepost_Timeout_Ms="9000")
            )
            for n in range(6)
        ]
        await fleet.wait_until(lambda: dispatcher.endpoints["ledger"].gate.queued == 2)
        await fleet.put("team", BRANCH + change, 1)
        await fleet.wait_until(
            lambda: (
                dispatcher.endpoints["ledger"].settings
                is vm.daemon.views.services["ledger"]
                and vm.daemon.views.in_force["settings/team"] == 2
            )
        )
        replies = await asyncio.gather(*requests)
        assert [(reply.status, reply.kind) for reply in replies] == [(200, None)] * 6


async def test_requests_in_flight_count_in_changed_limits():
    # Guards against a change that resets the count of requests in flight, so that the
    # endpoint gets more than its limit.
    async with running_fleet(vms=1, work_ms=1500, slots=8) as fleet:
        (vm,) = fleet.vms
        endpoints = vm.daemon.dispatcher.endpoints

        def send(number):
            return asyncio.create_task(
                fleet.send(vm, f"key-{number}", Sesamepost_Timeout_Ms="9000")
            )

        requests = [send(n) for n in range(6)]
        await fleet.wait_until(lambda: endpoints["ledger"].gate.queued == 2)
        await fleet.put("team", BRANCH + "queue_length = 99\n", 1)
        await fleet.wait_until(lambda: endpoints["ledger"].settings.queue_length == 99)
        requests += [send(n) for n in range(6, 12)]
        assert {reply.status for reply in await asyncio.gather(*requests)} == {200}
        assert vm.endpoint.counters["most_requests"] == 4


async def test_a_settings_change_keeps_the_endpoint_in_service():
    # Guards against a load report without slots that is sent before the next grant and
    # makes the controller move all partitions away from the VM.
    async with running_fleet(vms=1, cold_s=60) as fleet:
        (vm,) = fleet.vms
        dispatcher = vm.daemon.dispatcher
        before = dispatcher.endpoints["ledger"]
        await fleet.put("team", BRANCH + "queue_length = 99\n", 1)
        await fleet.wait_until(
            lambda: vm.daemon.views.services["ledger"].queue_length == 99
        )
        dispatcher.announce(before.announcement)
        after = dispatcher.endpoints["ledger"]
        assert after.settings.queue_length == 99
        assert after.may_own(boottime())
        assert after.ramp.began == before.ramp.began, "the ramp was restarted"


async def test_a_change_of_another_part_of_the_branch_keeps_the_endpoint():
    # Guards against a drain of one VM that resets limits and health on all others.
    async with running_fleet(vms=1) as fleet:
        (vm,) = fleet.vms
        endpoint = vm.daemon.dispatcher.endpoints["ledger"]
        received = endpoint.announcement.received_at
        await fleet.put("team", BRANCH + "[vm:vm-9]\nstate = removed\n", 1)
        await fleet.wait_until(lambda: vm.daemon.views.in_force["settings/team"] == 2)
        settings = vm.daemon.views.services["ledger"]
        await fleet.wait_until(
            lambda: (
                vm.daemon.dispatcher.endpoints["ledger"].announcement.received_at
                > received + 1
            )
        )
        assert vm.daemon.dispatcher.endpoints["ledger"] is endpoint
        assert endpoint.settings == settings


async def test_a_pool_closes_both_streams_of_nodes_that_dialed_each_other():
    # Guards against a second stream to the same peer that stays open after the daemon
    # has stopped and delivers requests to components that are already closed.
    async with PeerPool(new_node_id("a"), b"key of the peers") as first:
        async with PeerPool(new_node_id("b"), b"key of the peers") as second:
            addresses = [await pool.listen(ANY_PORT) for pool in (first, second)]
            streams = await asyncio.gather(
                first.stream_to(addresses[1], second.node),
                second.stream_to(addresses[0], first.node),
            )
            assert all(stream.is_open for stream in streams)
        async with asyncio.timeout(5):
            while any(stream.is_open for stream in streams):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert first.streams == {}
